/* Choice of fetch sources, with a simulation of the load on the links. */
#include <glib.h>
#include <string.h>

#include "process/fetch_source.h"
#include "process/rng.h"

enum {
	ENGINES = 60,
	DOMAINS = 4,
	PREFIX_TOKENS = 6300,
	FETCHES = 2000,
	FETCHES_PER_S = 200,
};

/* By the deployment's specification: 163,840 bytes per token, links of 1,100
 * (engine) and 300 Gbit/s (store). */
static const fetch_links_t links = {
	.engine_tokens_per_ms = 839,
	.store_tokens_per_ms = 229,
	.store_domain = 1,
};

static void fill(fetch_engine_t *engines)
{
	memset(engines, 0, ENGINES * sizeof(*engines));
	for (uint32_t i = 0; i < ENGINES; i++) {
		engines[i].domain = i % DOMAINS;
		engines[i].weights = 1;
		engines[i].serves_fetches = true;
	}
}

/* Load: 200 fetches a second of 6,300 tokens that the store and three engines
 * have (enlarged deployment subsol, simulated day scale-1). Failure: all came
 * from the store, 95 GB/s over its link of 37 GB/s, and first tokens came later
 * than 600 ms. Target: fetches use half of the time of the store's link, plus a
 * burst, and at most half of that of any engine's link. */
static void test_links(void)
{
	fetch_engine_t engines[ENGINES];
	fetch_source_t sources[ENGINES];
	fetch_links_t current_links = links;
	double engine_busy_ms[ENGINES] = { 0 };
	link_budget_t budget = { 0 };
	double store_busy_ms = 0;
	double span_ms = FETCHES * 1000.0 / FETCHES_PER_S;
	rng_t rng;

	rng_init(&rng, 3);
	for (int i = 0; i < FETCHES; i++) {
		uint32_t target = (uint32_t)rng_below(&rng, ENGINES);

		fill(engines);
		for (int h = 0; h < 3; h++)
			engines[rng_below(&rng, ENGINES)].cached_tokens =
				PREFIX_TOKENS;
		for (int e = 0; e < ENGINES; e++)
			engines[e].stored_tokens = PREFIX_TOKENS;
		if (engines[target].cached_tokens)
			continue;
		current_links.store_over_budget = !link_budget_refill(
			&budget, links.store_tokens_per_ms / 2,
			(uint64_t)(i * 1000.0 / FETCHES_PER_S));
		fetch_source_find(engines, ENGINES, &current_links,
				  rng_next(&rng), sources);
		if (sources[target].from >= 0) {
			engine_busy_ms[sources[target].from] +=
				PREFIX_TOKENS / 839.0 * 2;
			continue;
		}
		link_budget_take(&budget, PREFIX_TOKENS, target % DOMAINS != 1);
		store_busy_ms +=
			PREFIX_TOKENS / 229.0 * (target % DOMAINS != 1 ? 2 : 1);
	}
	g_assert_cmpfloat(store_busy_ms, <, span_ms * 0.55);
	for (int e = 0; e < ENGINES; e++)
		g_assert_cmpfloat(engine_busy_ms[e], <, span_ms / 2);
}

typedef struct source_case {
	const char *failure;
	fetch_engine_t holder;	       /**< Engine 1. */
	uint32_t target_cached_tokens; /**< Of engine 0, which fetches. */
	uint32_t target_stored_tokens;
	bool store_over_budget;
	int32_t from;
	uint32_t tokens;
} source_case_t;

#define HOLDER .domain = 0, .serves_fetches = true

static const source_case_t cases[] = {
	{ "a prefix in the store was fetched from an engine, which may evict it",
	  { HOLDER, .weights = 1, .cached_tokens = PREFIX_TOKENS },
	  0,
	  PREFIX_TOKENS,
	  false,
	  FETCH_SOURCE_STORE,
	  PREFIX_TOKENS },
	{ "a prefix that an engine has cached waited for a busy store",
	  { HOLDER, .weights = 1, .cached_tokens = PREFIX_TOKENS },
	  0,
	  PREFIX_TOKENS,
	  true,
	  1,
	  PREFIX_TOKENS },
	{ "a cache with other weights was used",
	  { HOLDER, .weights = 2, .cached_tokens = PREFIX_TOKENS },
	  0,
	  0,
	  false,
	  FETCH_SOURCE_NONE,
	  0 },
	{ "an unreachable engine was chosen",
	  { .weights = 1, .cached_tokens = PREFIX_TOKENS },
	  0,
	  PREFIX_TOKENS,
	  false,
	  FETCH_SOURCE_STORE,
	  PREFIX_TOKENS },
	{ "a prefix that was cached already was fetched",
	  { HOLDER, .weights = 1, .cached_tokens = PREFIX_TOKENS },
	  PREFIX_TOKENS,
	  PREFIX_TOKENS,
	  false,
	  FETCH_SOURCE_NONE,
	  PREFIX_TOKENS },
	{ "the longer prefix in the store was not used",
	  { HOLDER, .weights = 1, .cached_tokens = 2500 },
	  0,
	  PREFIX_TOKENS,
	  false,
	  FETCH_SOURCE_STORE,
	  PREFIX_TOKENS },
	{ "a busy store was chosen",
	  { HOLDER, .weights = 1, .cached_tokens = 2500 },
	  0,
	  PREFIX_TOKENS,
	  true,
	  1,
	  2500 },
	{ "30 tokens queued behind transfers of GBs",
	  { HOLDER, .weights = 1, .cached_tokens = 30 },
	  0,
	  30,
	  false,
	  FETCH_SOURCE_NONE,
	  0 },
};

static void test_case(const void *data)
{
	const source_case_t *test = data;
	fetch_engine_t engines[2] = { { HOLDER, .weights = 1,
					.cached_tokens =
						test->target_cached_tokens },
				      test->holder };
	fetch_source_t sources[2];
	fetch_links_t current_links = links;

	g_test_message("%s", test->failure);
	engines[0].stored_tokens = test->target_stored_tokens;
	current_links.store_over_budget = test->store_over_budget;
	fetch_source_find(engines, 2, &current_links, 0, sources);
	g_assert_cmpint(sources[0].from, ==, test->from);
	g_assert_cmpuint(sources[0].tokens, ==, test->tokens);
}

/* Failure: an engine was chosen as its own fetch source. */
static void test_not_from_itself(void)
{
	fetch_engine_t engines[ENGINES];
	fetch_source_t sources[ENGINES];

	fill(engines);
	engines[7].cached_tokens = PREFIX_TOKENS;
	for (uint64_t draw = 0; draw < 10; draw++) {
		fetch_source_find(engines, ENGINES, &links, draw, sources);
		g_assert_cmpint(sources[7].from, ==, FETCH_SOURCE_NONE);
		g_assert_cmpint(sources[8].from, ==, 7);
	}
}

/* Failure: of many engines with a part of the prefix, the one with most of it
 * was left out, as its index was high or others had it with older weights. */
static void test_most_tokens(gconstpointer data)
{
	uint64_t older_weights = GPOINTER_TO_UINT(data);
	fetch_engine_t engines[ENGINES];
	fetch_source_t sources[ENGINES];

	fill(engines);
	for (int i = 1; i < ENGINES - 1; i++) {
		engines[i].cached_tokens = PREFIX_TOKENS / 2;
		engines[i].weights -= older_weights;
	}
	engines[ENGINES - 1].cached_tokens =
		older_weights ? PREFIX_TOKENS / 4 : PREFIX_TOKENS;
	fetch_source_find(engines, ENGINES, &links, 0, sources);
	g_assert_cmpint(sources[0].from, ==, ENGINES - 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fetch-source/links", test_links);
	g_test_add_func("/fetch-source/not-from-itself", test_not_from_itself);
	g_test_add_data_func("/fetch-source/most-tokens", GUINT_TO_POINTER(0),
			     test_most_tokens);
	g_test_add_data_func("/fetch-source/most-tokens-of-its-weights",
			     GUINT_TO_POINTER(1), test_most_tokens);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/fetch-source/case/%zu", i);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	return g_test_run();
}
