#include "t/lib/seeds.h"

#include <glib.h>
#include <stdlib.h>

/** Printed by the handler when an assertion ends the program. */
static uint64_t current_seed;

static void print_seed(const char *domain, GLogLevelFlags level,
		       const char *text, void *context)
{
	(void)domain;
	(void)level;
	(void)context;
	g_printerr("%s\nreplay with AMV_TEST_SEED=%" G_GUINT64_FORMAT "\n",
		   text, current_seed);
}

void seeds_run(uint64_t count, void (*schedule)(uint64_t seed))
{
	const char *only = g_getenv("AMV_TEST_SEED");

	g_log_set_default_handler(print_seed, NULL);
	if (only) {
		schedule(strtoull(only, NULL, 10));
		return;
	}
	for (current_seed = 1; current_seed <= count; current_seed++)
		schedule(current_seed);
	g_test_message("seeds 1 to %" G_GUINT64_FORMAT, count);
}
