/* Unit tests of an instance's share in an endpoint's limit, on virtual time. */
#include <glib.h>
#include <string.h>

#include "process/limit_turns.h"
#include "t/lib/limit_sim.h"
#include "t/lib/seeds.h"

enum {
	HOUR_MS = 3600000,
	NOW_MS = 50000,
	SEEDS = 3,
};

typedef struct limit_case {
	const char *name;
	limit_sim_options_t options;
	/** Of the limit that must be used if there are always requests. */
	double used_min;
	/** Longest time without a request, ms; 0: any. */
	uint64_t idle_max_ms;
} limit_case_t;

static const limit_case_t cases[] = {
	{ "one-instance", { .instances = 1, .limit = 1400 }, 0.7, 6000 },
	{ "14-instances", { 14, 1400, .loss = 0.03 }, 0.7, 6000 },
	{ "340-instances", { 340, 1400, .loss = 0.03 }, 0.7, 6000 },
	{ "less-than-one-a-turn", { .instances = 14, .limit = 200 }, 0.4, 0 },
	{ "smallest", { .instances = 14, .limit = 50 }, 0.4, 0 },
	{ "more-than-instances",
	  { .instances = 14, .limit = 100000 },
	  0.7,
	  6000 },
	{ "about-as-many-as-instances",
	  { 134, 120000, .loss = 0.03 },
	  0.7,
	  6000 },
	{ "clocks-off-2400-ms",
	  { 14, 1400, .clocks_off = 0.25, .clock_off_ms = 2400 },
	  0.7,
	  6000 },
	{ "clocks-off-an-hour",
	  { 14, 4000, .clocks_off = 0.25, .clock_off_ms = HOUR_MS },
	  0.7,
	  6000 },
	{ "all-clocks-off-an-hour",
	  { 134, 1400, .clocks_off = 1, .clock_off_ms = HOUR_MS },
	  0.7,
	  6000 },
	{ "restarts", { 14, 2000, .restarts = 0.3 }, 0.5, 0 },
	{ "restarts-of-many", { 134, 4000, .restarts = 0.6 }, 0.4, 0 },
	{ "restarts-of-all", { 14, 2000, .restarts = 1 }, 0.4, 0 },
	{ "freezes", { 14, 2000, .freezes = 0.2 }, 0.5, 0 },
	{ "unheard-some", { 14, 1400, .deaf_pairs = 0.1 }, 0.7, 0 },
	{ "unheard-many", { 134, 4000, .deaf_pairs = 0.1 }, 0.7, 0 },
	{ "all-together",
	  { 134, 4000, 0.3, HOUR_MS, 0.2, 0.1, 0.02, 0.05 },
	  0.4,
	  0 },
	{ "all-together-at-340",
	  { 340, 20000, 0.3, HOUR_MS, 0.2, 0.1, 0.02, 0.05 },
	  0.4,
	  0 },
};

/* Failure: instances together sent more than one and a half times what an
 * endpoint accepts, or so little that it was idle, because their turns were
 * read from times of day that differed (rule LIMIT, incident second1). */
static void test_all_instances(const void *data)
{
	const limit_case_t *c = data;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		limit_sim_result_t result =
			limit_sim_run(&c->options, DIVIDE_DRAWN_TURNS, seed);

		g_assert_cmpfloat(result.over, <=, 1);
		g_assert_cmpfloat(result.used, >=, c->used_min);
		if (c->idle_max_ms)
			g_assert_cmpuint(result.idle_ms, <=, c->idle_max_ms);
	}
}

/* The clock of the turns goes on from the highest that was heard. */
static void test_turn_clock(void)
{
	limit_turns_t turns;
	limit_turn_t turn;

	limit_turns_init(&turns, NOW_MS);
	g_assert_cmpuint(limit_turns_clock(&turns, NOW_MS), ==, 0);
	g_assert_false(limit_turns_current(&turns, NOW_MS, &turn));
	limit_turns_receive(&turns, 90000, NOW_MS + 10);
	g_assert_cmpuint(limit_turns_clock(&turns, NOW_MS + 20), ==, 90010);
	limit_turns_receive(&turns, 80000, NOW_MS + 20);
	limit_turns_receive(&turns, 0, NOW_MS + 20);
	limit_turns_receive(&turns, UINT64_MAX, NOW_MS + 20);
	g_assert_cmpuint(limit_turns_clock(&turns, NOW_MS + 30), ==, 90020);
	limit_turns_draw(&turns, 1, NULL, 0, NOW_MS + 30);
	g_assert_true(limit_turns_current(&turns, NOW_MS + 30, &turn));
	g_assert_cmpuint(turn.number, ==, 90020 / LIMIT_TURN_MS);
	g_assert_cmpuint(turn.begin_ms, ==,
			 NOW_MS + 30 - 90020 % LIMIT_TURN_MS);
	g_assert_cmpuint(turn.position, ==, 0);
	g_assert_cmpuint(turn.instances, ==, 1);
	/* The next turn is drawn too, but not the one after it. */
	g_assert_true(
		limit_turns_current(&turns, NOW_MS + LIMIT_TURN_MS, &turn));
	g_assert_false(
		limit_turns_current(&turns, NOW_MS + 3 * LIMIT_TURN_MS, &turn));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path =
			g_strdup_printf("/endpoint-limit/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_all_instances);
		g_free(path);
	}
	g_test_add_func("/endpoint-limit/turn-clock", test_turn_clock);
	return g_test_run();
}
