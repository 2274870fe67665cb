/* Targets of docs/design.md, checked in a simulation on virtual time. */
#include <glib.h>

#include "t/lib/fleet_sim.h"

static sim_result_t run_sim(routing_policy_t policy, uint64_t seed,
			    bool single_message)
{
	sim_options_t options = sim_defaults(seed);

	options.policy = policy;
	options.single_message = single_message;
	return sim_run(&options);
}

/* Targets for the hit rate relative to one unbounded cache, and for the share
 * of avoidably recomputed tokens, with caches that can hold the working set. */
static void test_targets_at_half_load(void)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		for (int single_message = 0; single_message <= 1;
		     single_message++) {
			sim_result_t result =
				run_sim(ROUTING_PREFIX, seed, single_message);

			g_test_message("seed %u single %d rel %.3f waste %.3f",
				       (unsigned)seed, single_message,
				       result.relative_hit_rate,
				       result.avoidable_recompute);
			g_assert_cmpfloat(result.relative_hit_rate, >=, 0.9);
			g_assert_cmpfloat(result.avoidable_recompute, <, 0.05);
		}
	}
}

enum {
	/* Noise of the mean relative hit rate over three seeds. */
	HIT_TOLERANCE_PERCENT = 1,
};

static double mean_relative_hit(routing_policy_t policy)
{
	double sum = 0;

	for (uint64_t seed = 1; seed <= 3; seed++)
		sum += run_sim(policy, seed, false).relative_hit_rate;
	return sum / 3;
}

static void assert_hit_not_below(routing_policy_t baseline)
{
	double prefix_hit = mean_relative_hit(ROUTING_PREFIX);
	double baseline_hit = mean_relative_hit(baseline);

	g_test_message("relative hit: prefix %.3f, %s %.3f", prefix_hit,
		       routing_policy_name(baseline), baseline_hit);
	g_assert_cmpfloat(prefix_hit + HIT_TOLERANCE_PERCENT / 100.0, >=,
			  baseline_hit);
}

/* Prefix routing must not have a lower hit rate than any baseline; otherwise it
 * would not be worth the state that it keeps. */
static void test_hit_rate_against_baselines(void)
{
	assert_hit_not_below(ROUTING_RANDOM);
	assert_hit_not_below(ROUTING_ROUND_ROBIN);
	assert_hit_not_below(ROUTING_LEAST_LOADED);
	assert_hit_not_below(ROUTING_PROMPT_HASH);
}

static void test_hit_rate_against_first_level(void)
{
	assert_hit_not_below(ROUTING_FIRST_LEVEL_HASH);
}

/* Overload with non-urgent requests must not make urgent requests wait. */
static void test_urgent_tail_under_overload(void)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		sim_options_t options = sim_defaults(seed);
		sim_result_t at_half_load;
		sim_result_t overloaded;

		options.admission = true;
		at_half_load = sim_run(&options);
		options.load = 1.5;
		overloaded = sim_run(&options);
		g_test_message("seed %u urgent p99 %.0f ms, %.0f ms at 1.5x",
			       (unsigned)seed, at_half_load.p99_ms[0],
			       overloaded.p99_ms[0]);
		g_assert_cmpfloat(overloaded.p99_ms[0], <=,
				  2 * at_half_load.p99_ms[0]);
	}
}

/* Equal options must give equal results, so that runs can be compared. */
static void test_simulation_is_deterministic(void)
{
	sim_result_t first = run_sim(ROUTING_PREFIX, 7, false);
	sim_result_t second = run_sim(ROUTING_PREFIX, 7, false);

	g_assert_cmpmem(&first, sizeof(first), &second, sizeof(second));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed experiment must not keep the other tests from running. */
	g_test_set_nonfatal_assertions();
	g_test_add_func("/experiment/replay", test_simulation_is_deterministic);
	g_test_add_func("/experiment/targets", test_targets_at_half_load);
	g_test_add_func("/experiment/baselines",
			test_hit_rate_against_baselines);
	g_test_add_func("/experiment/first-level",
			test_hit_rate_against_first_level);
	g_test_add_func("/experiment/urgent-tail",
			test_urgent_tail_under_overload);
	return g_test_run();
}
