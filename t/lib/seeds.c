#include "t/lib/seeds.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

/** Printed with the message of a failed assertion. */
static uint64_t current_seed;

static void print_with_seed(const char *text)
{
	fprintf(stderr, "%sreplay with AMV_TEST_SEED=%" G_GUINT64_FORMAT "\n",
		text, current_seed);
}

void seeds_run(uint64_t count, void (*test)(uint64_t seed))
{
	const char *only = g_getenv("AMV_TEST_SEED");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t last = only ? first : count;
	GPrintFunc previous = g_set_printerr_handler(print_with_seed);

	for (current_seed = first; current_seed <= last; current_seed++)
		test(current_seed);
	g_set_printerr_handler(previous);
	g_test_message("seeds %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
		       first, last);
}
