/* Targets of the design page in the experiment on virtual time. */
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

/* Targets of the design page, for caches that can hold the working set. */
static void test_targets_at_half_load(void)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		for (int single = 0; single <= 1; single++) {
			sim_result_t r = run_sim(ROUTING_PREFIX, seed, single);

			g_test_message("seed %u single %d rel %.3f waste %.3f",
				       (unsigned)seed, single, r.relative_hit,
				       r.wasted);
			g_assert_cmpfloat(r.relative_hit, >=, 0.9);
			g_assert_cmpfloat(r.wasted, <, 0.05);
		}
	}
}

enum {
	HIT_NOISE_PERCENT = 1, /* Of the hit rate, over three seeds. */
};

static double mean_hit(routing_policy_t policy)
{
	double sum = 0;

	for (uint64_t seed = 1; seed <= 3; seed++)
		sum += run_sim(policy, seed, false).relative_hit;
	return sum / 3;
}

static void check_hit_against(routing_policy_t baseline)
{
	double ours = mean_hit(ROUTING_PREFIX);
	double theirs = mean_hit(baseline);

	g_test_message("relative hit: prefix %.3f, %s %.3f", ours,
		       routing_policy_name(baseline), theirs);
	g_assert_cmpfloat(ours + HIT_NOISE_PERCENT / 100.0, >=, theirs);
}

/* Placement that loses to a baseline is not worth its state. */
static void test_hit_rate_against_baselines(void)
{
	check_hit_against(ROUTING_RANDOM);
	check_hit_against(ROUTING_ROUND_ROBIN);
	check_hit_against(ROUTING_LEAST_LOADED);
	check_hit_against(ROUTING_PROMPT_HASH);
}

static void test_hit_rate_against_first_level(void)
{
	check_hit_against(ROUTING_FIRST_LEVEL_HASH);
}

/* Overload of non-urgent work must not make urgent callers wait. */
static void test_urgent_tail_under_overload(void)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		sim_options_t options = sim_defaults(seed);
		sim_result_t half;
		sim_result_t over;

		options.admission = true;
		half = sim_run(&options);
		options.load = 1.5;
		over = sim_run(&options);
		g_test_message("seed %u urgent p99 %.0f ms, %.0f ms at 1.5x",
			       (unsigned)seed, half.p99_ms[0], over.p99_ms[0]);
		g_assert_cmpfloat(over.p99_ms[0], <=, 2 * half.p99_ms[0]);
	}
}

/* Results that differ between runs cannot be compared. */
static void test_experiment_is_replayed(void)
{
	sim_result_t a = run_sim(ROUTING_PREFIX, 7, false);
	sim_result_t b = run_sim(ROUTING_PREFIX, 7, false);

	g_assert_cmpmem(&a, sizeof(a), &b, sizeof(b));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed experiment must not keep the other tests from running. */
	g_test_set_nonfatal_assertions();
	g_test_add_func("/experiment/replay", test_experiment_is_replayed);
	g_test_add_func("/experiment/targets", test_targets_at_half_load);
	g_test_add_func("/experiment/baselines",
			test_hit_rate_against_baselines);
	g_test_add_func("/experiment/first-level",
			test_hit_rate_against_first_level);
	g_test_add_func("/experiment/urgent-tail",
			test_urgent_tail_under_overload);
	return g_test_run();
}
