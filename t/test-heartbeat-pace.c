/* Pace of heartbeats that announce changes. */
#include <glib.h>

#include "process/heartbeat_pace.h"

enum {
	TICK_MS = 100, /**< Interval at which due heartbeats are sent. */
	RUN_MS = 10000,
};

/** Changes that come at an interval, and what a heartbeat costs. */
typedef struct pace_case {
	const char *name;
	uint64_t change_interval_ms;
	uint64_t send_ms; /**< Time that one heartbeat takes. */
	uint32_t busy_percent_max;
	uint64_t delay_max_ms;
} pace_case_t;

static const pace_case_t pace_cases[] = {
	{ "seldom", 1000, 2, 1, 0 },
	{ "one-for-each-engine", 10, 5, 10, TICK_MS + HEARTBEAT_PACE_MIN_MS },
	{ "slow-sender", 10, 40, 25, 2 * TICK_MS + 160 },
};

typedef struct pace_run {
	heartbeat_pace_t pace;
	uint64_t now_ms;
	uint64_t busy_ms;
	uint64_t changed_ms; /**< First change not announced; 0: none. */
	uint64_t delay_ms;   /**< Longest time until an announcement. */
} pace_run_t;

static void announce(pace_run_t *run, const pace_case_t *test)
{
	uint64_t begin_ms = run->now_ms;

	if (run->changed_ms && begin_ms - run->changed_ms > run->delay_ms)
		run->delay_ms = begin_ms - run->changed_ms;
	run->changed_ms = 0;
	run->now_ms += test->send_ms;
	run->busy_ms += test->send_ms;
	heartbeat_pace_sent(&run->pace, begin_ms, run->now_ms);
}

/* Failure: a lease holder before 298 instances sent a heartbeat to all for each
 * engine that had loaded, had no time left to renew its lease, and began the
 * rollout anew in each term. */
static void test_bursts_are_announced_together(const void *data)
{
	const pace_case_t *test = data;
	pace_run_t run = { .now_ms = 1000 };
	uint64_t next_change_ms = run.now_ms;
	uint64_t next_tick_ms = run.now_ms;
	uint64_t end_ms = run.now_ms + RUN_MS;

	for (; run.now_ms < end_ms; run.now_ms++) {
		if (run.now_ms >= next_change_ms) {
			next_change_ms = run.now_ms + test->change_interval_ms;
			if (!run.changed_ms)
				run.changed_ms = run.now_ms;
			if (heartbeat_pace_request(&run.pace, run.now_ms))
				announce(&run, test);
		}
		if (run.now_ms >= next_tick_ms) {
			next_tick_ms = run.now_ms + TICK_MS;
			if (heartbeat_pace_is_due(&run.pace, run.now_ms))
				announce(&run, test);
		}
	}
	g_assert_cmpuint(run.busy_ms * 100, <=,
			 test->busy_percent_max * RUN_MS);
	g_assert_cmpuint(run.delay_ms, <=, test->delay_max_ms);
	g_assert_false(run.pace.wanted && run.changed_ms &&
		       run.now_ms - run.changed_ms > test->delay_max_ms);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(pace_cases); i++) {
		char *path = g_strdup_printf("/heartbeat-pace/%s",
					     pace_cases[i].name);

		g_test_add_data_func(path, &pace_cases[i],
				     test_bursts_are_announced_together);
		g_free(path);
	}
	return g_test_run();
}
