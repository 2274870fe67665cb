/* Tests of the decision which requests a planned stop still takes. */
#include <glib.h>

#include "process/planned_stop.h"
#include "process/rng.h"

enum {
	START_MS = 100000,
};

typedef struct take_case {
	const char *name;
	uint64_t grace_ms;
	uint64_t arrives_ms; /**< After the start of the stop. */
	uint64_t patience_ms;
	bool taken;
} take_case_t;

static const take_case_t take_cases[] = {
	{ "long-at-start", 8000, 0, 15000, true },
	{ "long-while-balancer-notices", 8000, 2600, 15000, true },
	{ "long-later", 8000, 2700, 15000, false },
	{ "short-later", 8000, 5000, 800, true },
	{ "short-near-limit", 8000, 7290, 800, false },
	{ "ends-at-limit", 8000, 6500, 800, true },
	{ "ends-after-limit", 8000, 6501, 800, false },
	{ "past-limit", 8000, 7400, 1, false },
	{ "long-with-long-grace", 60000, 40000, 15000, true },
	{ "long-with-short-grace", 3000, 1000, 15000, false },
	{ "no-time", 500, 0, 1, false },
};

/* Failure: a request was taken that could not be answered before the process
 * ended. */
static void test_take(const void *data)
{
	const take_case_t *take_case = data;
	planned_stop_t stop = { 0 };
	uint64_t now_ms = START_MS + take_case->arrives_ms;

	g_assert_true(planned_stop_takes(&stop, now_ms, now_ms));
	planned_stop_begin(&stop, take_case->grace_ms, START_MS);
	g_assert_cmpint(planned_stop_takes(
				&stop, now_ms + take_case->patience_ms, now_ms),
			==, take_case->taken);
}

typedef struct end_case {
	const char *name;
	uint64_t at_ms; /**< After the start of the stop. */
	planned_stop_work_t work;
	bool over;
} end_case_t;

static const end_case_t end_cases[] = {
	{ "arrivals-expected", 2000, { 0, 0, 0 }, false },
	{ "idle", 2700, { 0, 0, 0 }, true },
	{ "connection-open", 5000, { 0, 1, 0 }, false },
	{ "request-open", 5000, { 1, 1, 0 }, false },
	{ "nothing-unsent-at-limit", 7300, { 0, 3, 0 }, true },
	{ "answer-unsent-at-limit", 7300, { 0, 1, 72 }, false },
	{ "request-open-at-limit", 7300, { 1, 1, 0 }, false },
	{ "answer-unsent-at-end", 7650, { 0, 1, 72 }, true },
	{ "request-open-at-end", 7650, { 1, 1, 0 }, true },
};

/* Failure: the process ended at the limit of the stop while an answer had not
 * left it. */
static void test_end(const void *data)
{
	const end_case_t *end_case = data;
	planned_stop_t stop = { 0 };

	planned_stop_begin(&stop, 8000, START_MS);
	g_assert_cmpint(planned_stop_is_over(&stop, &end_case->work,
					     START_MS + end_case->at_ms),
			==, end_case->over);
}

/* Failure: under load a request was in progress when the process ended, though
 * it had been taken long after the start of the stop. */
static void test_load(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		planned_stop_t stop = { 0 };
		uint32_t taken = 0;
		uint32_t refused = 0;
		rng_t rng;

		rng_init(&rng, seed);
		planned_stop_begin(&stop, 8000, START_MS);
		for (uint64_t at_ms = 0; at_ms < 8000; at_ms++) {
			uint64_t now_ms = START_MS + at_ms;
			uint64_t deadline_ms =
				now_ms + 100 + rng_below(&rng, 5000);

			if (!planned_stop_takes(&stop, deadline_ms, now_ms)) {
				refused++;
				continue;
			}
			taken++;
			g_assert_cmpuint(planned_stop_cap(&stop, deadline_ms),
					 <=, stop.limit_ms);
			if (at_ms >= PLANNED_STOP_ARRIVALS_MS)
				g_assert_cmpuint(deadline_ms, <=,
						 stop.limit_ms);
		}
		/* Short requests are served until shortly before the limit. */
		g_assert_cmpuint(taken, >, 4000);
		g_assert_cmpuint(refused, >, 1000);
		g_assert_cmpuint(stop.limit_ms, ==,
				 START_MS + 8000 - PLANNED_STOP_MARGIN_MS);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(take_cases); i++) {
		char *path = g_strdup_printf("/planned-stop/take/%s",
					     take_cases[i].name);

		g_test_add_data_func(path, &take_cases[i], test_take);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(end_cases); i++) {
		char *path = g_strdup_printf("/planned-stop/end/%s",
					     end_cases[i].name);

		g_test_add_data_func(path, &end_cases[i], test_end);
		g_free(path);
	}
	g_test_add_func("/planned-stop/load", test_load);
	return g_test_run();
}
