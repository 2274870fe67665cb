/* Endpoints whose entries are removed while the watcher of the store changes or
 * the store is away. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "process/clock.h"
#include "t/lib/platform_rig.h"

enum {
	/** A gone endpoint must get no requests after this time, ms
	 * (drain_ms). */
	GONE_MS = 2000,
	/** For how long it is checked that it gets none, ms. */
	CHECKED_MS = 1500,
	/** Endpoints write their entries again within this time after the
	 * store's return, ms. */
	LAPSED_MS = 1500,
	/** Failed calls after which another instance watches. */
	FAILED_CALLS = 12,
	GATEWAYS = 2,
};

static const int gateways[GATEWAYS] = { 0, 1 };

static void request_until(const platform_rig_t *rig, int gateway,
			  uint64_t end_ms)
{
	while (clock_now_ms() < end_ms)
		g_assert_true(platform_rig_has_status(rig, gateway, "200"));
}

/* Failure: the instance that took the watch over from one that was killed held
 * a removal as after an outage, and sent requests to the endpoint for 3.3 s. */
static void test_watcher_killed(const void *data)
{
	int killed = *(const int *)data;
	platform_rig_t rig;
	uint64_t removed_ms;
	uint32_t arrivals;

	platform_rig_start(&rig, GATEWAYS);
	program_signal(rig.gateways[killed], SIGKILL);
	platform_store_remove(rig.store, "servers", rig.services[0].id);
	removed_ms = clock_now_ms();
	request_until(&rig, 1 - killed, removed_ms + GONE_MS);
	arrivals = rig.services[0].arrivals;
	request_until(&rig, 1 - killed, removed_ms + GONE_MS + CHECKED_MS);
	g_assert_cmpuint(rig.services[0].arrivals, ==, arrivals);
	platform_rig_stop(&rig);
}

/* Failure: endpoints whose entries had lapsed in an outage in which the watcher
 * changed were dropped before they could write them again. */
static void test_lapsed(void)
{
	platform_rig_t rig;
	uint32_t calls;
	uint64_t returned_ms;

	platform_rig_start(&rig, GATEWAYS);
	platform_store_set_down(rig.store, true);
	calls = platform_store_calls(rig.store);
	g_assert_true(WAIT_UNTIL(platform_store_calls(rig.store) >=
					 calls + FAILED_CALLS,
				 2 * HARNESS_WAIT_MS));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		platform_store_remove(rig.store, "servers", rig.services[i].id);
	platform_store_set_down(rig.store, false);
	returned_ms = clock_now_ms();
	while (clock_now_ms() < returned_ms + LAPSED_MS) {
		for (int i = 0; i < GATEWAYS; i++)
			g_assert_true(platform_rig_has_status(&rig, i, "200"));
	}
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		platform_rig_put_entry(&rig.services[i], "ready");
	for (int i = 0; i < GATEWAYS; i++)
		request_until(&rig, i, clock_now_ms() + LAPSED_MS);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (int i = 0; i < GATEWAYS; i++) {
		g_autofree char *path = g_strdup_printf(
			"/it-removed/watcher-killed/%d", gateways[i]);

		g_test_add_data_func(path, &gateways[i], test_watcher_killed);
	}
	g_test_add_func("/it-removed/lapsed", test_lapsed);
	return g_test_run();
}
