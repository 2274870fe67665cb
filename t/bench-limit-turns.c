/* Compares ways in which instances divide an endpoint's limit, on virtual time.
 * Prints for each the largest count of requests in a window, of what the rule
 * allows, and the requests, of the limit: the worst of some seeds. */
#include <glib.h>
#include <stdio.h>

#include "t/lib/limit_sim.h"

enum {
	SEEDS = 4,
	HOUR_MS = 3600000,
};

static const char *const division_names[LIMIT_DIVISION_COUNT] = {
	[DIVIDE_DRAWN_TURNS] = "drawn turns",
	[DIVIDE_RANKED_TURNS] = "ranked turns",
	[DIVIDE_TIME_OF_DAY] = "time of day",
	[DIVIDE_OWN_SLOTS] = "own slots",
};

static const struct {
	const char *name;
	limit_sim_options_t options;
} rows[] = {
	{ "14, 1.4/s, calm", { .instances = 14, .limit = 1400 } },
	{ "340, 1.4/s, calm", { 340, 1400, .loss = 0.03 } },
	{ "14, 1.4/s, clocks off 2.4 s",
	  { 14, 1400, .clocks_off = 0.25, .clock_off_ms = 2400 } },
	{ "14, 4/s, clocks off 1 h",
	  { 14, 4000, .clocks_off = 0.25, .clock_off_ms = HOUR_MS } },
	{ "134, 1.4/s, clocks off 1 h",
	  { 134, 1400, .clocks_off = 1, .clock_off_ms = HOUR_MS } },
	{ "14, 2/s, restarts", { 14, 2000, .restarts = 0.3 } },
	{ "14, 2/s, freezes", { 14, 2000, .freezes = 0.2 } },
	{ "134, 4/s, unheard 10%", { 134, 4000, .deaf_pairs = 0.1 } },
	{ "134, 4/s, all together",
	  { 134, 4000, 0.3, HOUR_MS, 0.2, 0.1, 0.02, 0.05 } },
	{ "340, 20/s, all together",
	  { 340, 20000, 0.3, HOUR_MS, 0.2, 0.1, 0.02, 0.05 } },
};

int main(void)
{
	printf("%-28s", "instances, limit, faults");
	for (int d = 0; d < LIMIT_DIVISION_COUNT; d++)
		printf(" %14s", division_names[d]);
	printf("\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		printf("%-28s", rows[i].name);
		for (int d = 0; d < LIMIT_DIVISION_COUNT; d++) {
			double over = 0;
			double used = 1e9;

			for (uint64_t seed = 1; seed <= SEEDS; seed++) {
				limit_sim_result_t result = limit_sim_run(
					&rows[i].options, (limit_division_t)d,
					seed);

				over = MAX(over, result.over);
				used = MIN(used, result.used);
			}
			printf("    %5.2f %5.2f", over, used);
			fflush(stdout);
		}
		printf("\n");
	}
	return 0;
}
