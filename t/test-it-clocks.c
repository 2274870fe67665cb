/*
 * Routers whose times of day differ by hours and jump, beside a store and a
 * plain service.
 */
#include <glib.h>
#include <string.h>

#include "t/lib/rig.h"

enum {
	ROUTERS = 3,
	HOUR_MS = 3600000,
	/** Longer than the retention of order records. */
	TWO_DAYS_MS = 172800000,
	/** Time in which a sweep at the shortest interval lists all records. */
	SWEEP_MS = 3000,
	/** Claims of the service are open for at least this long. */
	ANSWER_DELAY_MS = 2000,
};

#define MEMBERS_METRIC "amv_members_live"
#define LEASE_CHANGES_METRIC "amv_lease_changes_total{change=\"lost\"}"
#define LEASES_METRIC "amv_leases_held"

static http_answer_t *dispatch(const rig_t *rig, int router, const char *key)
{
	g_autofree char *key_header =
		g_strdup_printf("Idempotency-Key: %s", key);
	const char *const headers[] = { RIG_KEY_1, key_header, NULL };

	return http_local("POST", rig->ports[router], "/svc/dispatch/crews",
			  headers, "{}");
}

static int64_t executed(const rig_t *rig)
{
	return http_local_number(rig->plain_ports[0], "/control/executions",
				 "executed");
}

static size_t count_records(const rig_t *rig)
{
	g_autoptr(http_answer_t) answer = http_local(
		"GET", rig->store_port, "/objects?prefix=order/", NULL, NULL);

	g_assert_cmpint(answer->status, ==, 200);
	return json_array_size(json_object_get(answer->json, "items"));
}

typedef struct order_call {
	const rig_t *rig;
	long status;
	GThread *thread;
} order_call_t;

static void *order_call_main(void *context)
{
	order_call_t *call = context;
	g_autoptr(http_answer_t) answer = dispatch(call->rig, 0, "k1");

	call->status = answer->status;
	return NULL;
}

/* The time of day of the second router, relative to the first. */
static const struct {
	const char *name;
	int64_t shift_ms;
} claim_cases[] = {
	{ "ahead-seconds", 5000 },
	{ "ahead-hours", 2 * HOUR_MS },
	{ "back-hours", -2 * HOUR_MS },
};

/* Failure: an instance whose time of day was ahead closed a claim that was
 * live, and the order's outcome was called unknown. */
static void test_open_claim(const void *data)
{
	int64_t shift_ms = *(const int64_t *)data;
	rig_options_t options = { .plain_services = 1,
				  .routers = 2,
				  .own_clocks = true };
	g_autoptr(rig_t) rig = rig_start(&options);
	order_call_t call = { .rig = rig };
	g_autofree char *control =
		g_strdup_printf("{\"answer_delay_ms\":%d}", ANSWER_DELAY_MS);

	clock_shift_set(rig->clocks[1], shift_ms);
	standin_control(rig->plain_ports[0], control);
	call.thread = g_thread_new("order", order_call_main, &call);
	g_assert_true(WAIT_UNTIL(executed(rig) == 1, HARNESS_WAIT_MS));
	{
		g_autoptr(http_answer_t) repeat = dispatch(rig, 1, "k1");

		g_assert_cmpint(repeat->status, ==, 409);
	}
	g_thread_join(call.thread);
	g_assert_cmpint(call.status, ==, 200);
	{
		g_autoptr(http_answer_t) repeat = dispatch(rig, 1, "k1");

		g_assert_cmpint(repeat->status, ==, 200);
	}
	g_assert_cmpint(executed(rig), ==, 1);
}

/* Failure: an instance whose time of day jumped ahead removed the record of an
 * order, and a repeat of its key ran a second time. */
static void test_record_kept(void)
{
	rig_options_t options = { .plain_services = 1,
				  .routers = 2,
				  .own_clocks = true,
				  .router_args = { "--order-sweep-ms",
						   "100" } };
	g_autoptr(rig_t) rig = rig_start(&options);

	for (int repeat = 0; repeat < 2; repeat++) {
		g_autoptr(http_answer_t) answer = dispatch(rig, repeat, "k1");

		g_assert_cmpint(answer->status, ==, 200);
		clock_shift_set(rig->clocks[repeat],
				repeat ? -TWO_DAYS_MS : TWO_DAYS_MS);
		g_assert_false(WAIT_UNTIL(count_records(rig) != 1, SWEEP_MS));
	}
	g_assert_cmpint(executed(rig), ==, 1);
}

static bool all_see(rig_t *rig, int64_t members)
{
	for (int i = 0; i < ROUTERS; i++) {
		if (rig_metric(rig, i, MEMBERS_METRIC) != members)
			return false;
	}
	return true;
}

/* Failure: routers whose times of day differed by more than a minute rejected
 * each other's messages, and one that started again with an earlier time of day
 * was rejected by all others. */
static void test_peers(void)
{
	rig_options_t options = { .routers = ROUTERS,
				  .domains = 2,
				  .own_clocks = true };
	g_autoptr(rig_t) rig = rig_start(&options);

	g_assert_true(WAIT_UNTIL(all_see(rig, ROUTERS), HARNESS_WAIT_MS));
	clock_shift_set(rig->clocks[1], 2 * HOUR_MS);
	rig_kill_router(rig, 1);
	rig_restart_router(rig, 1);
	g_assert_true(WAIT_UNTIL(rig_is_ready(rig, 1), HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(all_see(rig, ROUTERS), HARNESS_WAIT_MS));
	clock_shift_set(rig->clocks[1], -2 * HOUR_MS);
	rig_kill_router(rig, 1);
	g_assert_true(
		WAIT_UNTIL(rig_metric(rig, 0, MEMBERS_METRIC) == ROUTERS - 1,
			   2 * HARNESS_WAIT_MS));
	rig_restart_router(rig, 1);
	g_assert_true(WAIT_UNTIL(rig_is_ready(rig, 1), HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(all_see(rig, ROUTERS), HARNESS_WAIT_MS));
}

/* Failure: the holder of a lease counted its time without that for which its
 * machine had been suspended, and went on ordering beside the next holder. */
static void test_suspended_holder(void)
{
	rig_options_t options = { .engines = 2,
				  .routers = 1,
				  .weights = true,
				  .own_clocks = true,
				  .router_args = { "--lease-ms", "2000" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	int64_t changes;

	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, LEASES_METRIC) == 1,
				 2 * HARNESS_WAIT_MS));
	changes = rig_metric(rig, 0, LEASE_CHANGES_METRIC);
	clock_shift_suspend(rig->clocks[0], HOUR_MS);
	g_assert_true(
		WAIT_UNTIL(rig_metric(rig, 0, LEASE_CHANGES_METRIC) > changes,
			   HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, LEASES_METRIC) == 1,
				 4 * HARNESS_WAIT_MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(claim_cases); i++) {
		char *path = g_strdup_printf("/clocks/open-claim/%s",
					     claim_cases[i].name);

		g_test_add_data_func(path, &claim_cases[i].shift_ms,
				     test_open_claim);
		g_free(path);
	}
	g_test_add_func("/clocks/record-kept", test_record_kept);
	g_test_add_func("/clocks/peers", test_peers);
	g_test_add_func("/clocks/suspended-holder", test_suspended_holder);
	return g_test_run();
}
