/* Requests that crash engines: bound of two engines, neighbours cleared. */
#include <glib.h>
#include <string.h>

#include "process/quarantine.h"
#include "process/rng.h"
#include "t/lib/seeds.h"

enum {
	BLOCK_MS = 600000,
	ROUTERS = 6,
	ENGINES = 12,
};

static void test_two_crashes_block(void)
{
	quarantine_t quarantine;
	uint64_t wait_ms = 0;

	quarantine_init(&quarantine, BLOCK_MS);
	g_assert_cmpint(quarantine_check(&quarantine, 1, 0, NULL), ==,
			QUARANTINE_FREE);
	g_assert_true(quarantine_crash(&quarantine, 1, 100, 0));
	/* The same crash heard again must not count twice. */
	g_assert_false(quarantine_crash(&quarantine, 1, 100, 5));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 5, NULL), ==,
			QUARANTINE_SUSPECT);
	g_assert_true(quarantine_crash(&quarantine, 1, 200, 10));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 11, &wait_ms), ==,
			QUARANTINE_BLOCKED);
	g_assert_cmpuint(wait_ms, ==, BLOCK_MS - 1);
	g_assert_cmpint(quarantine_check(&quarantine, 1, 10 + BLOCK_MS, NULL),
			!=, QUARANTINE_BLOCKED);
}

/* A neighbour of the culprit that was cleared starts from nothing again. */
static void test_cleared_neighbour(void)
{
	quarantine_t quarantine;

	quarantine_init(&quarantine, BLOCK_MS);
	quarantine_crash(&quarantine, 1, 100, 0);
	g_assert_true(quarantine_clear(&quarantine, 1, 10));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 11, NULL), ==,
			QUARANTINE_FREE);
	g_assert_false(quarantine_crash(&quarantine, 1, 100, 20));
	g_assert_true(quarantine_crash(&quarantine, 1, 300, 30));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 31, NULL), ==,
			QUARANTINE_SUSPECT);
}

/* Two isolated runs at once could each kill an engine. */
static void test_one_run_at_a_time(void)
{
	quarantine_t quarantine;
	quarantine_decision_t decision;
	const uint64_t settled_ms = QUARANTINE_SETTLE_MS;

	quarantine_init(&quarantine, BLOCK_MS);
	quarantine_crash(&quarantine, 1, 100, 0);
	decision = quarantine_claim(&quarantine, 1, 7, 1000, 0);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_WAIT);
	decision = quarantine_claim(&quarantine, 1, 7, 1000, settled_ms);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_GRANTED);
	decision = quarantine_claim(&quarantine, 1, 8, 1000, settled_ms);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_WAIT);
	quarantine_release(&quarantine, 1, 7);
	decision = quarantine_claim(&quarantine, 1, 8, 1000, settled_ms);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_GRANTED);
	/* A holder that never reports must not hold the place for ever. */
	decision = quarantine_claim(&quarantine, 1, 9, 1000, settled_ms + 1000);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_GRANTED);
	quarantine_running(&quarantine, 1, 10, 1000, settled_ms + 1000);
	quarantine_release(&quarantine, 1, 9);
	decision =
		quarantine_claim(&quarantine, 1, 11, 1000, settled_ms + 1000);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_WAIT);
}

/* More fingerprints than places must not lift a block. */
static void test_full_table_keeps_blocks(void)
{
	quarantine_t quarantine;

	quarantine_init(&quarantine, BLOCK_MS);
	quarantine_crash(&quarantine, 1, 100, 0);
	quarantine_crash(&quarantine, 1, 200, 0);
	for (uint64_t i = 2; i < 4 * QUARANTINE_MAX; i++)
		quarantine_crash(&quarantine, i, 100, i);
	g_assert_cmpint(quarantine_check(&quarantine, 1, 5000, NULL), ==,
			QUARANTINE_BLOCKED);
}

/**
 * One crashing request is sent again and again through random routers. The
 * first run goes to one of the two engines that placement allows; a router
 * that finds its engine dead waits, which is longer than the news take. A
 * suspect runs isolated on any live engine.
 */
typedef struct fleet {
	quarantine_t routers[ROUTERS];
	rng_t rng;
	uint64_t now_ms;
	bool dead[ENGINES];
	uint64_t crashes;
	/** When the news of a crash reach each router. */
	uint64_t news_ms[ROUTERS][ENGINES];
	/** Run in progress; id 0 for none. */
	uint64_t run_id[ROUTERS];
	uint64_t run_until_ms[ROUTERS];
	size_t run_engine[ROUTERS];
} fleet_t;

/** The first router is the home instance of the fingerprint. */
static quarantine_t *home(fleet_t *fleet)
{
	return &fleet->routers[0];
}

static void deliver_news(fleet_t *fleet, size_t router)
{
	for (size_t i = 0; i < ENGINES; i++) {
		if (!fleet->dead[i] ||
		    fleet->news_ms[router][i] > fleet->now_ms)
			continue;
		if (quarantine_crash(&fleet->routers[router], 1, i + 1,
				     fleet->now_ms) &&
		    fleet->run_id[router])
			quarantine_running(home(fleet), 1,
					   fleet->run_id[router], 60000,
					   fleet->now_ms);
	}
}

static void crash_engine(fleet_t *fleet, size_t engine)
{
	fleet->dead[engine] = true;
	fleet->crashes++;
	g_assert_cmpuint(fleet->crashes, <=, QUARANTINE_CRASHES_MAX);
	for (size_t i = 0; i < ROUTERS; i++) {
		fleet->news_ms[i][engine] =
			fleet->now_ms +
			rng_below(&fleet->rng, QUARANTINE_SETTLE_MS / 4);
		if (!fleet->run_id[i] || fleet->run_engine[i] != engine)
			continue;
		/* Who ran it there sees the crash and reports it at once. */
		fleet->news_ms[i][engine] = fleet->now_ms;
		fleet->news_ms[0][engine] = fleet->now_ms;
		quarantine_release(home(fleet), 1, fleet->run_id[i]);
		fleet->run_id[i] = 0;
	}
	deliver_news(fleet, 0);
}

/** @return the engine to run on, or ENGINES if the request may not run */
static size_t choose_engine(fleet_t *fleet, size_t router, uint64_t id)
{
	size_t engine = rng_below(&fleet->rng, 2);

	switch (quarantine_check(&fleet->routers[router], 1, fleet->now_ms,
				 NULL)) {
	case QUARANTINE_FREE:
		return fleet->dead[engine] ? ENGINES : engine;
	case QUARANTINE_SUSPECT:
		break;
	case QUARANTINE_BLOCKED:
		return ENGINES;
	}
	if (quarantine_claim(home(fleet), 1, id, 60000, fleet->now_ms).kind !=
	    QUARANTINE_GRANTED)
		return ENGINES;
	do
		engine = rng_below(&fleet->rng, ENGINES);
	while (fleet->dead[engine]);
	return engine;
}

static void step_router(fleet_t *fleet, size_t router)
{
	uint64_t id = rng_next(&fleet->rng) | 1;
	size_t engine;

	deliver_news(fleet, router);
	if (fleet->run_id[router]) {
		if (fleet->now_ms >= fleet->run_until_ms[router])
			crash_engine(fleet, fleet->run_engine[router]);
		return;
	}
	if (rng_below(&fleet->rng, 20))
		return;
	engine = choose_engine(fleet, router, id);
	if (engine == ENGINES)
		return;
	fleet->run_id[router] = id;
	fleet->run_engine[router] = engine;
	fleet->run_until_ms[router] =
		fleet->now_ms + 1 + rng_below(&fleet->rng, 2000);
}

static void run_fleet(uint64_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	rng_init(&fleet->rng, seed);
	for (size_t i = 0; i < ROUTERS; i++)
		quarantine_init(&fleet->routers[i], BLOCK_MS);
	for (; fleet->now_ms < 20000; fleet->now_ms += 20) {
		for (size_t i = 0; i < ROUTERS; i++)
			step_router(fleet, i);
	}
	g_assert_cmpuint(fleet->crashes, ==, QUARANTINE_CRASHES_MAX);
	g_free(fleet);
}

static void test_bound_over_the_fleet(void)
{
	seeds_run(1000, run_fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quarantine/two-crashes", test_two_crashes_block);
	g_test_add_func("/quarantine/cleared", test_cleared_neighbour);
	g_test_add_func("/quarantine/one-run", test_one_run_at_a_time);
	g_test_add_func("/quarantine/full-table", test_full_table_keeps_blocks);
	g_test_add_func("/quarantine/fleet", test_bound_over_the_fleet);
	return g_test_run();
}
