/* Weights rollouts by gateways whose lease ends while their orders to engines
 * are on the way. */
#include <glib.h>
#include <signal.h>

#include "process/clock.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 3,
	/** Long enough that the order arrives within the transit time on a
	 * busy machine. */
	TEST_LEASE_MS = 6000,
	/** Reports that the next holder requests before the order arrives. */
	REPORTS = 3,
	TAKEOVER_WAIT_MS = 3 * TEST_LEASE_MS,
};

static endpoint_t *find_delayed(platform_rig_t *rig)
{
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		if (rig->engines[i].delayed_orders)
			return &rig->engines[i];
	}
	return NULL;
}

static bool has_other_holder(const platform_rig_t *rig, int holder)
{
	int current = platform_rig_lease_holder(rig);

	return current >= 0 && current != holder;
}

/** How the term of the first holder ends. */
typedef struct term_end {
	const char *name;
	int signal_number;
} term_end_t;

static const term_end_t term_ends[] = {
	{ "killed", SIGKILL },
	{ "paused", SIGSTOP },
	{ "stopped", SIGTERM },
};

/* Failure: an order arrived after the orders of the next lease holder. */
static void test_order_outlives_lease(const void *data)
{
	const term_end_t *term_end = data;
	const platform_rig_options_t options = { .lease_ms = TEST_LEASE_MS };
	platform_rig_t rig;
	endpoint_t *engine;
	uint32_t reports;
	int first;

	platform_rig_start_with(&rig, GATEWAYS, &options);
	g_assert_true(WAIT_UNTIL(platform_rig_lease_holder(&rig) >= 0,
				 HARNESS_WAIT_MS));
	first = platform_rig_lease_holder(&rig);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].delays_order = true;
	platform_rig_put_target_weights(&rig, 2);
	g_assert_true(WAIT_UNTIL(find_delayed(&rig), TAKEOVER_WAIT_MS));
	engine = find_delayed(&rig);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].delays_order = false;
	program_signal(rig.gateways[first], term_end->signal_number);
	g_assert_true(
		WAIT_UNTIL(has_other_holder(&rig, first), TAKEOVER_WAIT_MS));
	reports = engine->reports;
	g_assert_true(WAIT_UNTIL(engine->orders > 0 ||
					 engine->reports >= reports + REPORTS,
				 TAKEOVER_WAIT_MS));
	engine->order_arrives = true;
	g_assert_true(WAIT_UNTIL(!engine->delayed_orders, HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(platform_rig_have_weights(&rig, 2),
				 TAKEOVER_WAIT_MS));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_cmpuint(rig.engines[i].fenced_orders, ==, 0);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(term_ends); i++) {
		char *path =
			g_strdup_printf("/it-rollout/order-outlives-lease/%s",
					term_ends[i].name);

		g_test_add_data_func(path, &term_ends[i],
				     test_order_outlives_lease);
		g_free(path);
	}
	return g_test_run();
}
