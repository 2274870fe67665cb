/*
 * Compares the placement policies in one run on virtual time and prints a
 * table: bench-policies [--seed=N] [--duration-s=N].
 */
#include <stdio.h>
#include <stdlib.h>

#include "process/settings.h"
#include "t/lib/fleet_sim.h"

static uint32_t seed;
static uint32_t duration_s;

static const setting_t rows[] = {
	{ .flag = "seed",
	  .type = SETTING_NUMBER,
	  .value = &seed,
	  .text = "seed of the run",
	  .fallback = "1",
	  .max = UINT32_MAX },
	{ .flag = "duration-s",
	  .type = SETTING_NUMBER,
	  .value = &duration_s,
	  .text = "virtual seconds of each cell",
	  .fallback = "180",
	  .min = 30,
	  .max = 3600 },
	{ 0 },
};

/** One block of the table: all policies under the same conditions. */
typedef struct bench_case {
	const char *name;
	uint32_t cache_blocks;
	double load;
	bool single_message;
	bool admission;
} bench_case_t;

static const bench_case_t cases[] = {
	{ "cache 160, load 0.5", 160, 0.5, false, false },
	{ "cache 160, load 0.5, one message", 160, 0.5, true, false },
	{ "cache 160, load 1.0", 160, 1.0, false, false },
	{ "cache 80, load 0.5", 80, 0.5, false, false },
	{ "cache 160, load 0.5, admission", 160, 0.5, false, true },
	{ "cache 160, load 1.5, admission", 160, 1.5, false, true },
};

static void print_row(const char *name, const sim_result_t *result)
{
	printf("%-17s %5.3f %5.3f %6.3f %5.2f  %6.0f %6.0f %6.0f  %7.0f "
	       "%7.0f  %6u %5u\n",
	       name, result->hit_rate, result->relative_hit, result->wasted,
	       result->imbalance, result->p50_ms[0], result->p95_ms[0],
	       result->p99_ms[0], result->p99_ms[1], result->p99_ms[2],
	       result->requests, result->shed);
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
		print_row(routing_policy_name(options.policy), &result);
	}
}

int main(int argc, char **argv)
{
	int outcome = settings_read(argc, (const char **)argv, rows, "", NULL);

	if (outcome != SETTINGS_RUN)
		return outcome == SETTINGS_EXIT ? EXIT_SUCCESS : EXIT_FAILURE;
	printf("seed %u, %u s; times in ms, u/n/d: urgent, normal, "
	       "deferrable\n",
	       seed, duration_s);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
	return EXIT_SUCCESS;
}
