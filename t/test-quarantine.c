/* Quarantine: a request crashes at most two engines, and requests that ran on
 * the same engine as the crashing one are cleared. */
#include <glib.h>
#include <string.h>

#include "process/quarantine.h"
#include "process/rng.h"
#include "t/lib/seeds.h"

enum {
	BLOCK_MS = 600000,
	INSTANCES = 6,
	ENGINES = 12,
};

static void test_two_crashes_block(void)
{
	quarantine_t quarantine;
	uint64_t wait_ms = 0;

	quarantine_init(&quarantine, BLOCK_MS);
	g_assert_cmpint(quarantine_check(&quarantine, 1, 0, NULL), ==,
			QUARANTINE_FREE);
	g_assert_true(quarantine_record_crash(&quarantine, 1, 100, 0));
	/* Another report of the same crash must not count. */
	g_assert_false(quarantine_record_crash(&quarantine, 1, 100, 5));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 5, NULL), ==,
			QUARANTINE_SUSPECT);
	g_assert_true(quarantine_record_crash(&quarantine, 1, 200, 10));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 11, &wait_ms), ==,
			QUARANTINE_BLOCKED);
	g_assert_cmpuint(wait_ms, ==, BLOCK_MS - 1);
	g_assert_cmpint(quarantine_check(&quarantine, 1, 10 + BLOCK_MS, NULL),
			!=, QUARANTINE_BLOCKED);
}

/* A cleared request, which only shared an engine with the crashing one, starts
 * without crashes again. */
static void test_cleared_request(void)
{
	quarantine_t quarantine;

	quarantine_init(&quarantine, BLOCK_MS);
	quarantine_record_crash(&quarantine, 1, 100, 0);
	g_assert_true(quarantine_clear(&quarantine, 1, 10));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 11, NULL), ==,
			QUARANTINE_FREE);
	g_assert_false(quarantine_record_crash(&quarantine, 1, 100, 20));
	g_assert_true(quarantine_record_crash(&quarantine, 1, 300, 30));
	g_assert_cmpint(quarantine_check(&quarantine, 1, 31, NULL), ==,
			QUARANTINE_SUSPECT);
}

/* Two concurrent isolated runs could each crash an engine. */
static void test_one_run_at_a_time(void)
{
	quarantine_t quarantine;
	quarantine_decision_t decision;
	const uint64_t settled_ms = QUARANTINE_SETTLE_MS;

	quarantine_init(&quarantine, BLOCK_MS);
	quarantine_record_crash(&quarantine, 1, 100, 0);
	decision = quarantine_claim(&quarantine, 1, 7, 1000, 0);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_WAIT);
	decision = quarantine_claim(&quarantine, 1, 7, 1000, settled_ms);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_GRANTED);
	decision = quarantine_claim(&quarantine, 1, 8, 1000, settled_ms);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_WAIT);
	quarantine_end_run(&quarantine, 1, 7);
	decision = quarantine_claim(&quarantine, 1, 8, 1000, settled_ms);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_GRANTED);
	/* A run without a result must not block other runs forever. */
	decision = quarantine_claim(&quarantine, 1, 9, 1000, settled_ms + 1000);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_GRANTED);
	quarantine_record_run(&quarantine, 1, 10, 1000, settled_ms + 1000);
	quarantine_end_run(&quarantine, 1, 9);
	decision =
		quarantine_claim(&quarantine, 1, 11, 1000, settled_ms + 1000);
	g_assert_cmpint(decision.kind, ==, QUARANTINE_WAIT);
}

/* More fingerprints than entries must not remove a block. */
static void test_full_table_keeps_blocks(void)
{
	quarantine_t quarantine;

	quarantine_init(&quarantine, BLOCK_MS);
	quarantine_record_crash(&quarantine, 1, 100, 0);
	quarantine_record_crash(&quarantine, 1, 200, 0);
	for (uint64_t i = 2; i < 4 * QUARANTINE_ENTRIES_MAX; i++)
		quarantine_record_crash(&quarantine, i, 100, i);
	g_assert_cmpint(quarantine_check(&quarantine, 1, 5000, NULL), ==,
			QUARANTINE_BLOCKED);
}

/**
 * A request that crashes engines is repeated through random instances. A first
 * run goes to one of the two engines that placement allows. An instance that
 * finds its engine crashed waits; the report of the crash arrives before it
 * tries again. A suspect runs isolated on any live engine.
 */
typedef struct fleet {
	quarantine_t instances[INSTANCES];
	rng_t rng;
	uint64_t now_ms;
	bool crashed[ENGINES];
	uint64_t crashes;
	/** When the report of a crash reaches each instance. */
	uint64_t report_ms[INSTANCES][ENGINES];
	/** Run in progress; id 0 for none. */
	uint64_t run_id[INSTANCES];
	uint64_t run_end_ms[INSTANCES];
	size_t run_engine[INSTANCES];
} fleet_t;

/** The first instance owns the fingerprint. */
static quarantine_t *owner(fleet_t *fleet)
{
	return &fleet->instances[0];
}

static void deliver_reports(fleet_t *fleet, size_t instance)
{
	for (size_t i = 0; i < ENGINES; i++) {
		if (!fleet->crashed[i] ||
		    fleet->report_ms[instance][i] > fleet->now_ms)
			continue;
		if (quarantine_record_crash(&fleet->instances[instance], 1,
					    i + 1, fleet->now_ms) &&
		    fleet->run_id[instance])
			quarantine_record_run(owner(fleet), 1,
					      fleet->run_id[instance], 60000,
					      fleet->now_ms);
	}
}

static void crash_engine(fleet_t *fleet, size_t engine)
{
	fleet->crashed[engine] = true;
	fleet->crashes++;
	g_assert_cmpuint(fleet->crashes, <=, QUARANTINE_CRASHES_MAX);
	for (size_t i = 0; i < INSTANCES; i++) {
		fleet->report_ms[i][engine] =
			fleet->now_ms +
			rng_below(&fleet->rng, QUARANTINE_SETTLE_MS / 4);
		if (!fleet->run_id[i] || fleet->run_engine[i] != engine)
			continue;
		/* The instance of this run sees the crash and reports it to the
		 * owner at once. */
		fleet->report_ms[i][engine] = fleet->now_ms;
		fleet->report_ms[0][engine] = fleet->now_ms;
		quarantine_end_run(owner(fleet), 1, fleet->run_id[i]);
		fleet->run_id[i] = 0;
	}
	deliver_reports(fleet, 0);
}

/** @return the engine to run on, or ENGINES if the request may not run */
static size_t choose_engine(fleet_t *fleet, size_t instance, uint64_t id)
{
	size_t engine = rng_below(&fleet->rng, 2);

	switch (quarantine_check(&fleet->instances[instance], 1, fleet->now_ms,
				 NULL)) {
	case QUARANTINE_FREE:
		return fleet->crashed[engine] ? ENGINES : engine;
	case QUARANTINE_SUSPECT:
		break;
	case QUARANTINE_BLOCKED:
		return ENGINES;
	}
	if (quarantine_claim(owner(fleet), 1, id, 60000, fleet->now_ms).kind !=
	    QUARANTINE_GRANTED)
		return ENGINES;
	do
		engine = rng_below(&fleet->rng, ENGINES);
	while (fleet->crashed[engine]);
	return engine;
}

static void step_instance(fleet_t *fleet, size_t instance)
{
	uint64_t id = rng_next(&fleet->rng) | 1;
	size_t engine;

	deliver_reports(fleet, instance);
	if (fleet->run_id[instance]) {
		if (fleet->now_ms >= fleet->run_end_ms[instance])
			crash_engine(fleet, fleet->run_engine[instance]);
		return;
	}
	if (rng_below(&fleet->rng, 20))
		return;
	engine = choose_engine(fleet, instance, id);
	if (engine == ENGINES)
		return;
	fleet->run_id[instance] = id;
	fleet->run_engine[instance] = engine;
	fleet->run_end_ms[instance] =
		fleet->now_ms + 1 + rng_below(&fleet->rng, 2000);
}

static void run_fleet(uint64_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	rng_init(&fleet->rng, seed);
	for (size_t i = 0; i < INSTANCES; i++)
		quarantine_init(&fleet->instances[i], BLOCK_MS);
	for (; fleet->now_ms < 20000; fleet->now_ms += 20) {
		for (size_t i = 0; i < INSTANCES; i++)
			step_instance(fleet, i);
	}
	g_assert_cmpuint(fleet->crashes, ==, QUARANTINE_CRASHES_MAX);
	g_free(fleet);
}

static void test_crash_limit(void)
{
	seeds_run(1000, run_fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quarantine/two-crashes", test_two_crashes_block);
	g_test_add_func("/quarantine/cleared", test_cleared_request);
	g_test_add_func("/quarantine/one-run", test_one_run_at_a_time);
	g_test_add_func("/quarantine/full-table", test_full_table_keeps_blocks);
	g_test_add_func("/quarantine/fleet", test_crash_limit);
	return g_test_run();
}
