/* Tests of the budget of calls to the object API, with virtual time. */
#include <glib.h>

#include "process/store_budget.h"

static store_budget_t make_budget(uint64_t seed)
{
	static const store_budget_options_t options = {
		.rate_per_s = 10,
		.burst = 20,
		.backoff_ms = 100,
		.backoff_max_ms = 5000,
		.outage_failures = 3,
		.probe_timeout_ms = 1000,
	};
	store_budget_t budget;

	store_budget_init(&budget, &options, seed, 1000);
	return budget;
}

static bool is_allowed(store_budget_t *budget, store_purpose_t purpose,
		       uint64_t now_ms)
{
	store_verdict_t verdict = store_budget_acquire(budget, purpose, now_ms);

	if (verdict.kind != STORE_VERDICT_ALLOW)
		g_assert_cmpuint(verdict.retry_after_ms, >, 0);
	return verdict.kind == STORE_VERDICT_ALLOW;
}

static int count_allowed(store_budget_t *budget, store_purpose_t purpose)
{
	int count = 0;

	while (is_allowed(budget, purpose, 1000))
		count++;
	return count;
}

/* Guards against status reports that use up the bucket and make claims of
 * orders fail. */
static void test_reserve_by_purpose(void)
{
	static const int allowed[STORE_PURPOSE_COUNT] = { 20, 20, 16, 14,
							  12, 10, 8 };

	for (int purpose = 0; purpose < STORE_PURPOSE_COUNT; purpose++) {
		store_budget_t budget = make_budget(1);

		g_assert_cmpint(count_allowed(&budget, purpose), ==,
				allowed[purpose]);
		g_assert_cmpint(count_allowed(&budget, STORE_PURPOSE_ORDER), ==,
				20 - allowed[purpose]);
	}
}

/* Guards against a start limited by the bucket, which takes 21 s, and against a
 * startup allowance that does not expire, with which every instance could
 * exceed its rate. */
static void test_start_allowance(void)
{
	static const store_budget_options_t options = { .rate_per_s = 10,
							.burst = 20,
							.startup_calls = 100 };
	store_budget_t budget;

	store_budget_init(&budget, &options, 1, 1000);
	g_assert_cmpint(count_allowed(&budget, STORE_PURPOSE_STATUS), ==, 8);
	/* 12 tokens are left, of which 6 are reserved for other purposes. */
	g_assert_cmpint(count_allowed(&budget, STORE_PURPOSE_CONFIG), ==,
			100 + 12 - 6);
	store_budget_init(&budget, &options, 1, 1000);
	for (int i = 0; i < 14; i++)
		g_assert_true(is_allowed(&budget, STORE_PURPOSE_CONFIG,
					 1000 + STORE_BUDGET_STARTUP_MS));
	g_assert_false(is_allowed(&budget, STORE_PURPOSE_CONFIG,
				  1000 + STORE_BUDGET_STARTUP_MS));
}

/* Guards against a rate above the setting, which would use more of the store
 * than is paid for. */
static void test_rate_over_time(void)
{
	store_budget_t budget = make_budget(1);
	int count = 0;

	for (uint64_t now_ms = 1000; now_ms <= 61000; now_ms += 7)
		count += is_allowed(&budget, STORE_PURPOSE_ORDER, now_ms);
	g_assert_cmpint(count, >=, 20 + 590);
	g_assert_cmpint(count, <=, 20 + 600);
}

/* Guards against a retry delay that is too short, which causes a busy loop. */
static void test_retry_after_is_sufficient(void)
{
	store_budget_t budget = make_budget(1);
	store_verdict_t verdict;

	count_allowed(&budget, STORE_PURPOSE_STATUS);
	verdict = store_budget_acquire(&budget, STORE_PURPOSE_STATUS, 1000);
	g_assert_cmpint(verdict.kind, ==, STORE_VERDICT_OVER_BUDGET);
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_STATUS,
				 1000 + verdict.retry_after_ms));
}

static void fail_times(store_budget_t *budget, int times, uint64_t now_ms)
{
	while (times--)
		store_budget_report(budget, STORE_OUTCOME_FAILED, 0, now_ms);
}

/* Guards against claims of orders that are refused after a single failure. */
static void test_one_failure_delays_only_background(void)
{
	bool delayed = false;

	for (uint64_t seed = 0; seed < 20; seed++) {
		store_budget_t budget = make_budget(seed);

		fail_times(&budget, 1, 1000);
		g_assert_false(store_budget_is_down(&budget));
		g_assert_true(is_allowed(&budget, STORE_PURPOSE_ORDER, 1000));
		delayed |= !is_allowed(&budget, STORE_PURPOSE_STATUS, 1000);
		g_assert_true(is_allowed(&budget, STORE_PURPOSE_STATUS, 1101));
	}
	g_assert_true(delayed);
}

/* Guards against more than one probe at a time during an outage. */
static void test_outage_allows_single_probes(void)
{
	for (uint64_t seed = 0; seed < 50; seed++) {
		store_budget_t budget = make_budget(seed);
		uint64_t now_ms = 1000;
		int probes = 0;

		fail_times(&budget, 3, now_ms);
		g_assert_true(store_budget_is_down(&budget));
		for (; now_ms < 121000; now_ms += 10) {
			if (!is_allowed(&budget, STORE_PURPOSE_STATUS, now_ms))
				continue;
			probes++;
			g_assert_false(is_allowed(&budget, STORE_PURPOSE_ORDER,
						  now_ms));
			now_ms += 200;
			fail_times(&budget, 1, now_ms);
		}
		/* The mean wait is about 2.5 s at the longest backoff. */
		g_assert_cmpint(probes, >, 20);
		g_assert_cmpint(probes, <, 110);
	}
}

/* Guards against a store that stays down because a probe is never reported. */
static void test_lost_probe_is_replaced(void)
{
	store_budget_t budget = make_budget(3);

	fail_times(&budget, 3, 1000);
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_LEASE, 10000));
	g_assert_false(is_allowed(&budget, STORE_PURPOSE_LEASE, 10999));
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_LEASE, 11000));
	store_budget_report(&budget, STORE_OUTCOME_CANCELLED, 0, 11001);
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_LEASE, 11001));
}

/* After an outage all instances send calls at the same time. Guards against
 * less important calls that use up the budget before claims of orders. */
static void test_recovery_starts_with_reserves(void)
{
	store_budget_t budget = make_budget(3);

	fail_times(&budget, 3, 1000);
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_STATUS, 10000));
	store_budget_report(&budget, STORE_OUTCOME_ANSWERED, 0, 10001);
	g_assert_false(store_budget_is_down(&budget));
	g_assert_false(is_allowed(&budget, STORE_PURPOSE_STATUS, 10001));
	for (int i = 0; i < 5; i++)
		g_assert_true(is_allowed(&budget, STORE_PURPOSE_ORDER, 10001));
	g_assert_false(is_allowed(&budget, STORE_PURPOSE_ORDER, 10001));
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_STATUS, 12001));
}

/* Guards against answers with status 429 that are counted as an outage. */
static void test_throttling(void)
{
	store_budget_t budget = make_budget(3);

	for (int i = 0; i < 5; i++)
		store_budget_report(&budget, STORE_OUTCOME_THROTTLED, 2000,
				    1000);
	g_assert_false(store_budget_is_down(&budget));
	g_assert_false(is_allowed(&budget, STORE_PURPOSE_CONFIG, 2999));
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_ORDER, 2999));
	g_assert_true(is_allowed(&budget, STORE_PURPOSE_CONFIG, 3101));
}

/* Guards against equal backoffs, with which all instances probe at the same
 * time. */
static void test_backoff_has_full_jitter(void)
{
	uint64_t low_ms = UINT64_MAX;
	uint64_t high_ms = 0;

	for (uint64_t seed = 0; seed < 200; seed++) {
		store_budget_t budget = make_budget(seed);

		fail_times(&budget, 12, 1000);
		low_ms = MIN(low_ms, budget.blocked_until_ms - 1000);
		high_ms = MAX(high_ms, budget.blocked_until_ms - 1000);
	}
	g_assert_cmpuint(low_ms, <, 500);
	g_assert_cmpuint(high_ms, >, 4500);
	g_assert_cmpuint(high_ms, <=, 5000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-budget/reserve", test_reserve_by_purpose);
	g_test_add_func("/store-budget/start", test_start_allowance);
	g_test_add_func("/store-budget/rate", test_rate_over_time);
	g_test_add_func("/store-budget/retry-after",
			test_retry_after_is_sufficient);
	g_test_add_func("/store-budget/one-failure",
			test_one_failure_delays_only_background);
	g_test_add_func("/store-budget/outage",
			test_outage_allows_single_probes);
	g_test_add_func("/store-budget/lost-probe",
			test_lost_probe_is_replaced);
	g_test_add_func("/store-budget/recovery",
			test_recovery_starts_with_reserves);
	g_test_add_func("/store-budget/throttling", test_throttling);
	g_test_add_func("/store-budget/jitter", test_backoff_has_full_jitter);
	return g_test_run();
}
