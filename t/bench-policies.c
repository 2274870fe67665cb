/*
 * Compares the placement policies in one simulation with virtual time. Prints a
 * table and the CPU time of one routing_choose(): bench-policies [--seed=N]
 * [--duration-s=N].
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "process/hash.h"
#include "process/settings.h"
#include "t/lib/fleet_sim.h"

static uint32_t seed;
static uint32_t duration_s;

static const setting_t settings[] = {
	{ .flag = "seed",
	  .type = SETTING_NUMBER,
	  .value = &seed,
	  .text = "seed of the run",
	  .fallback = "1",
	  .max = UINT32_MAX },
	{ .flag = "duration-s",
	  .type = SETTING_NUMBER,
	  .value = &duration_s,
	  .text = "simulated seconds of each policy in each case",
	  .fallback = "180",
	  .min = 30,
	  .max = 3600 },
	{ 0 },
};

/** Conditions under which all policies are compared; a block of the table. */
typedef struct bench_case {
	const char *name;
	double load;
	uint32_t cache_blocks;
	bool single_message;
	bool admission;
} bench_case_t;

static const bench_case_t cases[] = {
	{ "cache 160, load 0.5", 0.5, 160, false, false },
	{ "cache 160, load 0.5, one message", 0.5, 160, true, false },
	{ "cache 160, load 1.0", 1.0, 160, false, false },
	{ "cache 80, load 0.5", 0.5, 80, false, false },
	{ "cache 160, load 0.5, admission", 0.5, 160, false, true },
	{ "cache 160, load 1.5, admission", 1.5, 160, false, true },
};

static void print_result(const char *name, const sim_result_t *result)
{
	printf("%-17s %5.3f %5.3f %6.3f %5.2f  %6.0f %6.0f %6.0f  %7.0f "
	       "%7.0f  %6u %5u\n",
	       name, result->hit_rate, result->relative_hit_rate,
	       result->avoidable_recompute, result->imbalance,
	       result->p50_ms[0], result->p95_ms[0], result->p99_ms[0],
	       result->p99_ms[1], result->p99_ms[2], result->requests,
	       result->shed);
}

static void run_case(const bench_case_t *bench)
{
	printf("\n%s\n%-17s %5s %5s %6s %5s  %6s %6s %6s  %7s %7s  %6s %5s\n",
	       bench->name, "policy", "hit", "rel", "wasted", "imbal", "u p50",
	       "u p95", "u p99", "n p99", "d p99", "done", "shed");
	for (int i = 0; i < ROUTING_POLICY_COUNT; i++) {
		sim_options_t options = sim_defaults(seed);
		sim_result_t result;

		options.policy = (routing_policy_t)i;
		options.duration_ms = duration_s * 1000;
		options.cache_blocks = bench->cache_blocks;
		options.load = bench->load;
		options.single_message = bench->single_message;
		options.admission = bench->admission;
		result = sim_run(&options);
		print_result(routing_policy_name(options.policy), &result);
	}
}

/* CPU time of one choice. */

enum {
	COST_LEVELS = 56,
	COST_CHOICES = 20000,
};

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/** Mean CPU time of routing_choose() for prompts of COST_LEVELS levels, us. */
static double choice_us(uint32_t endpoint_count)
{
	routing_t *routing = calloc(1, sizeof(*routing));
	endpoint_t *endpoints = calloc(endpoint_count, sizeof(*endpoints));
	endpoint_t **pool = calloc(endpoint_count, sizeof(endpoint_t *));
	prefix_level_t levels[COST_LEVELS];
	routing_request_t request = { .levels = levels,
				      .level_count = COST_LEVELS,
				      .prompt_tokens = 100000 };
	routing_explanation_t why;
	double elapsed_us;
	rng_t rng;

	rng_init(&rng, seed);
	routing_init(routing, ROUTING_PREFIX, 8000);
	for (uint32_t i = 0; i < endpoint_count; i++) {
		endpoint_init(&endpoints[i], hash_rendezvous(1, i));
		pool[i] = &endpoints[i];
	}
	elapsed_us = cpu_us();
	for (uint64_t i = 0; i < COST_CHOICES; i++) {
		uint64_t prompt = rng_below(&rng, 100);

		for (uint32_t j = 0; j < COST_LEVELS; j++)
			levels[j] = (prefix_level_t){
				hash_rendezvous(j,
						j < 10 ? prompt / 10 : prompt),
				(j + 1) * 1000, (j + 1) * 1000, 0
			};
		routing_choose(routing, pool, endpoint_count, &request,
			       1000 + i * 29, &rng, &why);
	}
	elapsed_us = cpu_us() - elapsed_us;
	free(pool);
	free(endpoints);
	free(routing);
	return elapsed_us / COST_CHOICES;
}

int main(int argc, char **argv)
{
	int outcome =
		settings_read(argc, (const char **)argv, settings, "", NULL);

	if (outcome != SETTINGS_RUN)
		return outcome == SETTINGS_EXIT ? EXIT_SUCCESS : EXIT_FAILURE;
	printf("seed %u, %u s; times in ms, u/n/d: urgent, normal, "
	       "deferrable\n",
	       seed, duration_s);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
	printf("\nCPU time of one choice, %d levels: 35 endpoints %.1f us, "
	       "800 endpoints %.1f us\n",
	       COST_LEVELS, choice_us(35), choice_us(800));
	return EXIT_SUCCESS;
}
