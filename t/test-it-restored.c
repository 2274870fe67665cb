/* Gateways beside a store that comes back from an older copy: what it had
 * acknowledged since is gone, and its revisions are given out again. */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/object_table.h"
#include "t/lib/platform_rig.h"

enum {
	/** Time until a change that is written after the return of the store
	 * must be in force, ms: instances are held to the limit of 2 s once the
	 * store has been stable for 3 s. */
	IN_FORCE_MS = 5000,
	/** Likewise for a leaving endpoint. */
	LEAVING_MS = 5000,
	/** Endpoints that are lost must be used for at least this long, ms:
	 * they register again within 2 s. */
	HELD_MS = 1900,
	LEASE_GATEWAYS = 3,
	/** Calls to the store after which all tables have been listed again. */
	LIST_CALLS = 12,
};

static void restore_store(platform_rig_t *rig, uint64_t revision)
{
	platform_store_set_down(rig->store, true);
	platform_store_restore(rig->store, revision);
	platform_store_set_down(rig->store, false);
}

/* Whether all gateways accept or reject the key of the rig's requests. */
static bool all_have_status(const platform_rig_t *rig, int gateways,
			    const char *status)
{
	for (int i = 0; i < gateways; i++) {
		if (!platform_rig_has_status(rig, i, status))
			return false;
	}
	return true;
}

typedef struct config_case {
	const char *name;
	int lost;  /**< Changes that are lost. */
	int later; /**< Changes of other objects after the next one. */
} config_case_t;

static const config_case_t config_cases[] = {
	/* The store's revision stays below that of the lost changes. */
	{ "lower-revision", 8, 0 },
	/* It is above it when the watches are sent again. */
	{ "higher-revision", 3, 10 },
	{ "same-revision", 3, 2 },
};

/* Failure: a change after the return of the store was in force nowhere, because
 * the instances knew higher revisions, or continued a watch from one that had
 * been given out again (rule CONFIG, day restored). The second gateway follows
 * the first. */
static void test_config(const void *data)
{
	const config_case_t *c = data;
	platform_rig_t rig;
	uint64_t copied;
	int version = 1;

	platform_rig_start(&rig, 2);
	copied = platform_store_revision(rig.store);
	while (version <= c->lost)
		platform_rig_put_desired(&rig, ++version, "key-2");
	g_assert_true(
		WAIT_UNTIL(all_have_status(&rig, 2, "401"), HARNESS_WAIT_MS));
	platform_store_set_down(rig.store, true);
	platform_store_restore(rig.store, copied);
	platform_rig_put_desired(&rig, version + 1, "key-1");
	for (int i = 0; i < c->later; i++)
		platform_store_put(rig.store, "other", "o", json_pack("{}"));
	platform_store_set_down(rig.store, false);
	g_assert_true(WAIT_UNTIL(all_have_status(&rig, 2, "200"), IN_FORCE_MS));
	platform_rig_put_desired(&rig, version + 2, "key-2");
	g_assert_true(WAIT_UNTIL(all_have_status(&rig, 2, "401"), IN_FORCE_MS));
	platform_rig_stop(&rig);
}

/* Failure: an instance that starts after the return takes the older state of
 * the store though another instance knows a newer one. */
static void test_older_state(void)
{
	platform_rig_t rig;
	uint64_t copied;
	uint32_t calls;

	platform_rig_start(&rig, 2);
	copied = platform_store_revision(rig.store);
	platform_rig_put_desired(&rig, 2, "key-2");
	g_assert_true(
		WAIT_UNTIL(all_have_status(&rig, 2, "401"), HARNESS_WAIT_MS));
	restore_store(&rig, copied);
	calls = platform_store_calls(rig.store);
	g_assert_true(
		WAIT_UNTIL(platform_store_calls(rig.store) > calls + LIST_CALLS,
			   HARNESS_WAIT_MS));
	g_assert_true(all_have_status(&rig, 2, "401"));
	program_signal(rig.gateways[1], SIGKILL);
	program_free(rig.gateways[1]);
	platform_rig_start_gateway(&rig, 1);
	g_assert_true(
		WAIT_UNTIL(platform_rig_is_ready(&rig, 1), HARNESS_WAIT_MS));
	g_assert_true(all_have_status(&rig, 2, "401"));
	platform_rig_stop(&rig);
}

/* Whether the first endpoint gets some of 20 requests to a gateway, of which
 * each goes to one of two endpoints. */
static bool gets_requests(platform_rig_t *rig, int gateway)
{
	uint32_t before = rig->services[0].arrivals;

	for (int i = 0; i < 20; i++)
		g_free(platform_rig_request(rig, gateway, "GET", "/get/1", ""));
	return rig->services[0].arrivals > before;
}

static bool gets_no_requests(platform_rig_t *rig)
{
	return !gets_requests(rig, 0) && !gets_requests(rig, 1);
}

/* Failure: an endpoint said after the return that it leaves, and got requests
 * until the end of the day (rule DRAIN, day restored-drain). */
static void test_leaving(void)
{
	platform_rig_t rig;
	uint64_t copied;

	platform_rig_start(&rig, 2);
	copied = platform_store_revision(rig.store);
	platform_rig_put_entry(&rig.services[0], "draining");
	g_assert_true(WAIT_UNTIL(gets_no_requests(&rig), HARNESS_WAIT_MS));
	for (int i = 0; i < 20; i++)
		platform_store_put(rig.store, "other", "o", json_pack("{}"));
	platform_rig_put_entry(&rig.services[0], "ready");
	g_assert_true(
		WAIT_UNTIL(gets_requests(&rig, 0) && gets_requests(&rig, 1),
			   HARNESS_WAIT_MS));
	restore_store(&rig, copied);
	platform_rig_put_entry(&rig.services[0], "draining");
	g_assert_true(WAIT_UNTIL(gets_no_requests(&rig), LEAVING_MS));
	g_assert_true(gets_no_requests(&rig));
	platform_rig_stop(&rig);
}

/* Failure: endpoints that had registered after the copy was made got no
 * requests until they registered again. */
static void test_lost_endpoints(void)
{
	platform_rig_t rig;
	uint64_t copied;
	uint64_t held_until_ms;
	uint32_t calls;

	platform_rig_start(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		platform_store_remove(rig.store, "servers", rig.services[i].id);
	g_assert_true(
		WAIT_UNTIL(all_have_status(&rig, 2, "503"), HARNESS_WAIT_MS));
	copied = platform_store_revision(rig.store);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		platform_rig_put_entry(&rig.services[i], "ready");
	g_assert_true(
		WAIT_UNTIL(all_have_status(&rig, 2, "200"), HARNESS_WAIT_MS));
	restore_store(&rig, copied);
	calls = platform_store_calls(rig.store);
	held_until_ms = clock_now_ms() + HELD_MS;
	while (platform_store_calls(rig.store) <= calls + LIST_CALLS &&
	       clock_now_ms() < held_until_ms)
		g_assert_true(all_have_status(&rig, 2, "200"));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		platform_rig_put_entry(&rig.services[i], "ready");
	/* One that does not register again is gone. */
	platform_store_remove(rig.store, "servers", rig.services[0].id);
	g_assert_true(WAIT_UNTIL(gets_no_requests(&rig), LEAVING_MS));
	g_assert_true(all_have_status(&rig, 2, "200"));
	platform_rig_stop(&rig);
}

/* Failure: an instance that had registered after the copy was made was not
 * registered any more, so that later ones did not know it. */
static void test_members(void)
{
	platform_rig_t rig;
	uint64_t copied;

	platform_rig_start(&rig, 1);
	copied = platform_store_revision(rig.store);
	platform_rig_start_gateway(&rig, 1);
	g_assert_true(
		WAIT_UNTIL(platform_rig_is_ready(&rig, 1), HARNESS_WAIT_MS));
	restore_store(&rig, copied);
	g_assert_null(platform_store_get(rig.store, "amv-members", "gw-1"));
	g_assert_true(WAIT_UNTIL(({
					 CLEANUP_JSON json_t *member =
						 platform_store_get(
							 rig.store,
							 "amv-members", "gw-1");

					 member != NULL;
				 }),
				 HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/* Failure: an endpoint that was gone got requests again, because it stood in
 * the copy that the store was restored from. */
static void test_gone_endpoint(void)
{
	platform_rig_t rig;
	uint64_t copied;
	uint64_t suspect_until_ms;
	uint32_t calls;

	platform_rig_start(&rig, 2);
	copied = platform_store_revision(rig.store);
	platform_store_remove(rig.store, "servers", rig.services[0].id);
	g_assert_true(WAIT_UNTIL(gets_no_requests(&rig), LEAVING_MS));
	restore_store(&rig, copied);
	suspect_until_ms = clock_now_ms() + OBJECT_SUSPECT_MS;
	calls = platform_store_calls(rig.store);
	g_assert_true(
		WAIT_UNTIL(platform_store_calls(rig.store) > calls + LIST_CALLS,
			   HARNESS_WAIT_MS));
	g_assert_true(gets_no_requests(&rig) ||
		      clock_now_ms() >= suspect_until_ms);
	/* It starts again. */
	rig.services[0].crashes++;
	platform_rig_put_entry(&rig.services[0], "ready");
	g_assert_true(
		WAIT_UNTIL(gets_requests(&rig, 0) && gets_requests(&rig, 1),
			   HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/* Failure: engines stayed on older weights to the end of the day (rule VERSION,
 * day restored-lease). */
static void test_weights(void)
{
	platform_rig_t rig;
	uint64_t copied = 0;

	platform_rig_start(&rig, 2);
	copied = platform_store_revision(rig.store);
	for (int version = 2; version <= 5; version++)
		platform_rig_put_target_weights(&rig, version);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(WAIT_UNTIL(rig.engines[i].weights == 5,
					 HARNESS_WAIT_MS));
	restore_store(&rig, copied);
	platform_rig_put_target_weights(&rig, 6);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(WAIT_UNTIL(rig.engines[i].weights == 6,
					 HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/** Index of the gateway that holds the lease by its record; -1: none. */
static bool has_other_holder(platform_rig_t *rig, int holder)
{
	int current = platform_rig_lease_holder(rig);

	return current >= 0 && current != holder;
}

static void roll_out_weights(platform_rig_t *rig, int version)
{
	platform_rig_put_target_weights(rig, version);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(
			WAIT_UNTIL(rig->engines[i].weights == (uint64_t)version,
				   HARNESS_WAIT_MS));
}

/** Writes other objects until revisions are above those before a restore. */
static void pass_revision(platform_rig_t *rig, uint64_t revision)
{
	while (platform_store_revision(rig->store) <= revision)
		platform_store_put(rig->store, "others", "other",
				   json_object());
}

/** What happens to the first holder before the second one takes over. */
static const int first_holder_signals[] = { SIGKILL, SIGSTOP };

/* Failure: the holders before and after the lost one had its fencing number. */
static void test_lease_number(const void *data)
{
	int signal_number = *(const int *)data;
	platform_rig_t rig;
	uint64_t copied;
	uint64_t lost;
	int first;
	int second;

	platform_rig_start(&rig, LEASE_GATEWAYS);
	g_assert_true(WAIT_UNTIL(platform_rig_lease_holder(&rig) >= 0,
				 HARNESS_WAIT_MS));
	first = platform_rig_lease_holder(&rig);
	copied = platform_store_revision(rig.store);
	program_signal(rig.gateways[first], signal_number);
	g_assert_true(
		WAIT_UNTIL(has_other_holder(&rig, first), HARNESS_WAIT_MS));
	second = platform_rig_lease_holder(&rig);
	roll_out_weights(&rig, 2);
	lost = platform_store_revision(rig.store);
	platform_store_restore(rig.store, copied);
	program_signal(rig.gateways[second], SIGKILL);
	program_signal(rig.gateways[first], SIGCONT);
	pass_revision(&rig, lost);
	roll_out_weights(&rig, 3);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_cmpuint(rig.engines[i].fenced_orders, ==, 0);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(config_cases); i++) {
		char *path = g_strdup_printf("/it-restored/config/%s",
					     config_cases[i].name);

		g_test_add_data_func(path, &config_cases[i], test_config);
		g_free(path);
	}
	g_test_add_func("/it-restored/older-state", test_older_state);
	g_test_add_func("/it-restored/leaving", test_leaving);
	g_test_add_func("/it-restored/lost-endpoints", test_lost_endpoints);
	g_test_add_func("/it-restored/gone-endpoint", test_gone_endpoint);
	g_test_add_func("/it-restored/members", test_members);
	g_test_add_func("/it-restored/weights", test_weights);
	g_test_add_data_func("/it-restored/lease-number/killed",
			     &first_holder_signals[0], test_lease_number);
	g_test_add_data_func("/it-restored/lease-number/paused",
			     &first_holder_signals[1], test_lease_number);
	return g_test_run();
}
