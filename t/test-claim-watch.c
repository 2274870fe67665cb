/* Unit tests of how long open claims have been known. */
#include <glib.h>

#include "process/claim_watch.h"

enum {
	READS_MAX = 6,
};

typedef struct claim_read {
	const char *path;
	uint64_t version;
	uint64_t now_ms;
	uint64_t known_ms;
} claim_read_t;

static const struct {
	const char *path;
	claim_read_t reads[READS_MAX];
} cases[] = {
	{ "/claim-watch/known-since-first-read",
	  { { "order/c/1", 7, 1000, 0 },
	    { "order/c/1", 7, 1500, 500 },
	    { "order/c/2", 8, 1500, 0 },
	    { "order/c/1", 7, 40000, 39000 } } },
	{ "/claim-watch/new-version",
	  { { "order/c/1", 7, 1000, 0 },
	    { "order/c/1", 9, 2000, 0 },
	    { "order/c/1", 9, 2100, 100 },
	    { "order/c/1", 7, 2200, 0 } } },
	/* Another thread has read it later, and noted that first. */
	{ "/claim-watch/read-before-first",
	  { { "order/c/1", 7, 1000, 0 },
	    { "order/c/1", 7, 999, 0 },
	    { "order/c/1", 7, 1001, 1 } } },
};

static void test_reads(const void *data)
{
	const claim_read_t *read = data;
	claim_watch_t watch = CLAIM_WATCH_INIT;

	for (int i = 0; i < READS_MAX && read[i].path; i++)
		g_assert_cmpuint(claim_watch_read(&watch, read[i].path,
						  read[i].version,
						  read[i].now_ms),
				 ==, read[i].known_ms);
}

/* A claim that was replaced in a full table must not seem older than it is. */
static void test_full_table(void)
{
	claim_watch_t watch = CLAIM_WATCH_INIT;

	for (uint64_t i = 0; i <= CLAIM_WATCH_MAX; i++) {
		char path[32];

		g_snprintf(path, sizeof(path), "order/c/%u", (unsigned int)i);
		g_assert_cmpuint(claim_watch_read(&watch, path, 1, 1000 + i),
				 ==, 0);
	}
	g_assert_cmpuint(watch.count, ==, CLAIM_WATCH_MAX);
	g_assert_cmpuint(claim_watch_read(&watch, "order/c/0", 1, 9000), ==, 0);
	g_assert_cmpuint(claim_watch_read(&watch, "order/c/512", 1, 9000), ==,
			 9000 - 1000 - CLAIM_WATCH_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, cases[i].reads, test_reads);
	g_test_add_func("/claim-watch/full-table", test_full_table);
	return g_test_run();
}
