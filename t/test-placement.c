/* Placement rules, each under the load it is made for. */
#include <glib.h>
#include <string.h>

#include "process/hash.h"
#include "process/placement.h"
#include "process/rng.h"

enum {
	ENGINES = 18,
	CACHE_TOKENS = 98960,
	PREFIX_TOKENS = 6300,
	SUFFIX_TOKENS = 2890,
	SHORT_PREFIX_TOKENS = 198,
};

static void fill(placement_candidate_t *candidates, size_t count)
{
	memset(candidates, 0, count * sizeof(*candidates));
	for (size_t i = 0; i < count; i++) {
		candidates[i].id_hash = hash_rendezvous(i + 1, 77);
		candidates[i].slots = 48;
		candidates[i].cache_capacity_tokens = CACHE_TOKENS;
		candidates[i].same_domain = true;
	}
}

static placement_request_t make_request(uint64_t key)
{
	return (placement_request_t){ .prefix_key = key,
				      .prefix_tokens = PREFIX_TOKENS,
				      .suffix_tokens = SUFFIX_TOKENS,
				      .output_tokens = 13,
				      .tie_break = key,
				      .pause_max_ms = 400 };
}

static int32_t choose(const placement_candidate_t *candidates, size_t count,
		      const placement_request_t *request)
{
	placement_choice_t choice;

	placement_choose(candidates, count, request, &choice);
	return choice.index;
}

/* Failure: instances with an empty cache index placed one prefix on many
 * engines, and each of them computed it. */
static void test_same_preferred_endpoint(void)
{
	placement_candidate_t candidates[ENGINES];
	placement_candidate_t reversed[ENGINES];

	fill(candidates, ENGINES);
	for (int i = 0; i < ENGINES; i++)
		reversed[i] = candidates[ENGINES - 1 - i];
	for (uint64_t key = 1; key < 200; key++) {
		placement_request_t request =
			make_request(hash_rendezvous(key, 1));
		int32_t a = choose(candidates, ENGINES, &request);
		int32_t b = choose(reversed, ENGINES, &request);

		g_assert_cmpuint(candidates[a].id_hash, ==,
				 reversed[b].id_hash);
	}
}

/* Failure: most prefixes were placed on a few engines. */
static void test_spread(void)
{
	placement_candidate_t candidates[ENGINES];
	uint32_t counts[ENGINES] = { 0 };

	fill(candidates, ENGINES);
	for (uint64_t key = 1; key <= 3600; key++) {
		placement_request_t request =
			make_request(hash_rendezvous(key, 9));

		counts[choose(candidates, ENGINES, &request)]++;
	}
	for (int i = 0; i < ENGINES; i++) {
		g_assert_cmpuint(counts[i], >, 3600 / ENGINES / 2);
		g_assert_cmpuint(counts[i], <, 3600 / ENGINES * 2);
	}
}

typedef struct choice_case {
	const char *name;	 /**< The failure it guards against. */
	placement_candidate_t a; /**< It has the whole prefix, or no tokens. */
	placement_candidate_t b;
	bool a_is_chosen;
} choice_case_t;

#define ENGINE \
	.slots = 48, .cache_capacity_tokens = CACHE_TOKENS, .same_domain = true

static const choice_case_t choice_cases[] = {
	{ "recomputes a prefix although another engine has it cached",
	  { ENGINE, .id_hash = 1, .cached_tokens = PREFIX_TOKENS,
	    .prefill_tokens = 2000 },
	  { ENGINE, .id_hash = 2 },
	  true },
	{ "waits for seconds of queued prompts to avoid a fetch",
	  { ENGINE, .id_hash = 1, .cached_tokens = PREFIX_TOKENS,
	    .prefill_tokens = 40000 },
	  { ENGINE, .id_hash = 2, .fetchable_tokens = PREFIX_TOKENS,
	    .fetch_ms = 32 },
	  false },
	{ "chooses an engine whose memory is used up",
	  { ENGINE, .id_hash = 1, .cached_tokens = PREFIX_TOKENS,
	    .reserved_tokens = 95000 },
	  { ENGINE, .id_hash = 2, .fetchable_tokens = PREFIX_TOKENS,
	    .fetch_ms = 32 },
	  false },
	{ "chooses an engine that is loading new weights",
	  { ENGINE, .id_hash = 1, .cached_tokens = PREFIX_TOKENS,
	    .state = CANDIDATE_AVOIDED },
	  { ENGINE, .id_hash = 2 },
	  false },
	{ "chooses old weights to avoid a short wait",
	  { ENGINE, .id_hash = 1, .old_weights = true },
	  { ENGINE, .id_hash = 2, .prefill_tokens = 2000 },
	  false },
	{ "leaves old weights idle while new ones are overloaded",
	  { ENGINE, .id_hash = 1, .old_weights = true },
	  { ENGINE, .id_hash = 2, .prefill_tokens = 30000 },
	  true },
	{ "sends to an engine that fails every second request",
	  { ENGINE, .id_hash = 1, .error_rate = 512 },
	  { ENGINE, .id_hash = 2, .prefill_tokens = 5000 },
	  false },
	{ "leaves the failure domain without need",
	  { .slots = 6, .id_hash = 1 },
	  { .slots = 6, .id_hash = 2, .same_domain = true },
	  false },
	{ "sends to the slower of two engines",
	  { ENGINE, .id_hash = 1, .cached_tokens = SHORT_PREFIX_TOKENS,
	    .prefill_tokens = 9000, .speed = 0.6 },
	  { ENGINE, .id_hash = 2, .cached_tokens = SHORT_PREFIX_TOKENS,
	    .prefill_tokens = 9000 },
	  false },
	{ "sends to the slower of two plain endpoints",
	  { .slots = 6, .id_hash = 1, .speed = 0.6, .same_domain = true },
	  { .slots = 6, .id_hash = 2, .running = 2, .same_domain = true },
	  false },
	{ "sends a stream where pauses are too long",
	  { ENGINE, .id_hash = 1, .cached_tokens = SHORT_PREFIX_TOKENS,
	    .prefill_tokens = 12000, .speed = 0.6 },
	  { ENGINE, .id_hash = 2, .prefill_tokens = 12000, .running = 47,
	    .error_rate = 64 },
	  false },
	{ "computes a long prefix again because of pauses",
	  { ENGINE, .id_hash = 1, .cached_tokens = PREFIX_TOKENS,
	    .prefill_tokens = 12000, .speed = 0.6 },
	  { ENGINE, .id_hash = 2, .prefill_tokens = 9000 },
	  true },
	{ "avoids an engine of average speed because of its pauses",
	  { ENGINE, .id_hash = 1, .cached_tokens = SHORT_PREFIX_TOKENS,
	    .prefill_tokens = 15000 },
	  { ENGINE, .id_hash = 2, .prefill_tokens = 15500 },
	  true },
	{ "waits at a plain endpoint while another is idle",
	  { .slots = 6, .id_hash = 1, .running = 12, .same_domain = true },
	  { .slots = 6, .id_hash = 2 },
	  false },
};

static void test_choice(const void *data)
{
	const choice_case_t *test = data;
	placement_candidate_t candidates[2] = { test->a, test->b };
	placement_request_t request = make_request(5);

	if (test->a.cached_tokens)
		request.prefix_tokens = test->a.cached_tokens;
	g_assert_cmpint(choose(candidates, 2, &request), ==,
			test->a_is_chosen ? 0 : 1);
}

/* Failure: a request was sent to a leaving endpoint or one tried before. */
static void test_excluded(void)
{
	placement_candidate_t candidates[2];
	placement_request_t request = make_request(5);

	fill(candidates, 2);
	candidates[0].state = CANDIDATE_EXCLUDED;
	g_assert_cmpint(choose(candidates, 2, &request), ==, 1);
	candidates[1].state = CANDIDATE_AVOIDED;
	g_assert_cmpint(choose(candidates, 2, &request), ==, 1);
	/* Long pauses are no reason to refuse. */
	request.prefix_tokens = SHORT_PREFIX_TOKENS;
	candidates[1].state = CANDIDATE_USABLE;
	candidates[1].prefill_tokens = 12000;
	candidates[1].speed = 0.6;
	g_assert_cmpint(choose(candidates, 2, &request), ==, 1);
	candidates[1].state = CANDIDATE_EXCLUDED;
	g_assert_cmpint(choose(candidates, 2, &request), ==, PLACEMENT_NONE);
}

/* Load: 28% of 33 requests a second share one prefix. It is cached, so
 * these 9 requests a second with 2,890 further tokens each use 0.7 of one
 * engine. Failure: all
 * requests waited at the preferred endpoint or spread over all engines. */
static void test_hot_prefix(void)
{
	placement_candidate_t candidates[ENGINES];
	placement_request_t request = make_request(4711);
	double backlog[ENGINES] = { 0 };
	bool cached[ENGINES] = { false };
	uint32_t used = 0;
	double longest_wait_ms = 0;

	for (int i = 0; i < 400; i++) {
		int32_t chosen;

		fill(candidates, ENGINES);
		for (int e = 0; e < ENGINES; e++) {
			/* 30 ms apart: three times the specified load. */
			backlog[e] = MAX(0, backlog[e] - 30 * 38.4);
			candidates[e].prefill_tokens = (uint32_t)backlog[e];
			candidates[e].cached_tokens =
				cached[e] ? PREFIX_TOKENS : 0;
			candidates[e].fetchable_tokens = i ? PREFIX_TOKENS : 0;
			candidates[e].fetch_ms = 32;
		}
		chosen = choose(candidates, ENGINES, &request);
		longest_wait_ms = MAX(longest_wait_ms, backlog[chosen] / 38.4);
		backlog[chosen] += SUFFIX_TOKENS;
		cached[chosen] = true;
	}
	for (int e = 0; e < ENGINES; e++)
		used += cached[e];
	/* The target for the time to first token is 600 ms. */
	g_assert_cmpfloat(longest_wait_ms, <, 300);
	g_assert_cmpuint(used, <=, 9);
}

enum {
	MANY_ENGINES = 3001,
	MANY_KEYS = 400,
};

/* Failure: the first 256 of 3,001 engines got all requests (simulated day of
 * the enlarged deployment with 300 machines), or instances selected different
 * preferred endpoints. */
static void test_many_engines(void)
{
	static uint64_t hashes[MANY_ENGINES];
	static bool used[MANY_ENGINES];
	uint32_t selected[PLACEMENT_CANDIDATES_MAX];
	uint32_t unused = 0;

	for (uint64_t i = 0; i < MANY_ENGINES; i++)
		hashes[i] = hash_rendezvous(i + 1, 77);
	for (uint64_t key = 1; key <= MANY_KEYS; key++) {
		uint64_t best = 0;

		for (uint64_t i = 1; i < MANY_ENGINES; i++) {
			if (hash_rendezvous(key, hashes[i]) >
			    hash_rendezvous(key, hashes[best]))
				best = i;
		}
		for (uint64_t draw = 0; draw < 3; draw++) {
			size_t count =
				placement_select(hashes, MANY_ENGINES, key,
						 draw * 1000, selected);
			bool has_best = false;

			g_assert_cmpuint(count, <=, PLACEMENT_CANDIDATES_MAX);
			g_assert_cmpuint(count, >, 150);
			for (size_t i = 0; i < count; i++) {
				used[selected[i]] = true;
				has_best |= selected[i] == best;
			}
			g_assert_true(has_best);
		}
	}
	for (int i = 0; i < MANY_ENGINES; i++)
		unused += !used[i];
	g_assert_cmpuint(unused, ==, 0);
}

/* Failure: an endpoint was selected twice, or none of a small service was. */
static void test_select_sizes(void)
{
	static const size_t sizes[] = { 0,
					1,
					18,
					PLACEMENT_CANDIDATES_MAX,
					PLACEMENT_CANDIDATES_MAX + 1,
					700 };
	static uint64_t hashes[MANY_ENGINES];
	uint32_t selected[PLACEMENT_CANDIDATES_MAX];

	for (uint64_t i = 0; i < MANY_ENGINES; i++)
		hashes[i] = hash_rendezvous(i + 1, 5);
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		bool seen[MANY_ENGINES] = { false };
		size_t count =
			placement_select(hashes, sizes[s], 9, 12345, selected);

		if (sizes[s] <= PLACEMENT_CANDIDATES_MAX)
			g_assert_cmpuint(count, ==, sizes[s]);
		for (size_t i = 0; i < count; i++) {
			g_assert_cmpuint(selected[i], <, sizes[s]);
			g_assert_false(seen[selected[i]]);
			seen[selected[i]] = true;
		}
	}
}

enum {
	FLEET_ENGINES = 60,
	FLEET_INSTANCES = 120,
	FLEET_PREFIXES = 300,
	FLEET_REQUESTS = 1230,
};

/* Load: 10 s of the enlarged deployment subsol after new target weights were
 * set: 123 requests a second with 300 shared prefixes arrive at 120 instances,
 * each of which knows only what it sent itself, while requests of another kind
 * keep the engines unevenly busy. Failure: requests went to another engine than
 * the prefix's preferred endpoint because it had one request less or a shorter
 * queue, so every engine computed the prefix again. Target: one engine computes
 * a prefix, and a second one where the preferred endpoint is busy, which is the
 * case for every second prefix. */
static void test_unknown_prefixes(void)
{
	static bool assumed_cached[FLEET_INSTANCES][FLEET_PREFIXES]
				  [FLEET_ENGINES];
	static bool cached[FLEET_PREFIXES][FLEET_ENGINES];
	placement_candidate_t candidates[FLEET_ENGINES];
	bool requested[FLEET_PREFIXES] = { false };
	uint32_t prefix_count = 0;
	uint32_t prefill_count = 0;
	rng_t rng;

	rng_init(&rng, 20261204);
	for (int i = 0; i < FLEET_REQUESTS; i++) {
		uint64_t instance = rng_below(&rng, FLEET_INSTANCES);
		uint64_t prefix = rng_below(&rng, FLEET_PREFIXES);
		placement_request_t request =
			make_request(hash_rendezvous(prefix + 1, 3));
		int32_t chosen;

		fill(candidates, FLEET_ENGINES);
		for (int e = 0; e < FLEET_ENGINES; e++) {
			candidates[e].running = (uint32_t)rng_below(&rng, 20);
			candidates[e].prefill_tokens =
				(uint32_t)rng_below(&rng, 2 * SUFFIX_TOKENS);
			candidates[e].same_domain = e % 4 == 0;
			if (assumed_cached[instance][prefix][e])
				candidates[e].cached_tokens = PREFIX_TOKENS;
		}
		chosen = choose(candidates, FLEET_ENGINES, &request);
		prefix_count += !requested[prefix];
		prefill_count += !cached[prefix][chosen];
		requested[prefix] = true;
		cached[prefix][chosen] = true;
		assumed_cached[instance][prefix][chosen] = true;
	}
	g_test_message("%u prefixes, computed %u times", prefix_count,
		       prefill_count);
	g_assert_cmpuint(prefill_count, <=, prefix_count * 3 / 2);
}

/* Load: the same, while one third of the engines have the new weights. Failure:
 * preferred endpoints were chosen among engines with old weights too, so most
 * prefixes were spread over many engines with the new ones. */
static void test_preferred_on_new_weights(void)
{
	placement_candidate_t candidates[FLEET_ENGINES];
	uint32_t scattered = 0;
	rng_t rng;

	rng_init(&rng, 7);
	for (uint64_t prefix = 1; prefix <= FLEET_PREFIXES; prefix++) {
		placement_request_t request =
			make_request(hash_rendezvous(prefix, 3));
		bool used[FLEET_ENGINES] = { false };
		uint32_t count = 0;

		for (int i = 0; i < 10; i++) {
			int32_t chosen;

			fill(candidates, FLEET_ENGINES);
			for (int e = 0; e < FLEET_ENGINES; e++) {
				candidates[e].old_weights = e % 3 != 0;
				candidates[e].running =
					(uint32_t)rng_below(&rng, 20);
			}
			chosen = choose(candidates, FLEET_ENGINES, &request);
			count += !used[chosen];
			used[chosen] = true;
		}
		scattered += count > 2;
	}
	g_assert_cmpuint(scattered, ==, 0);
}

enum {
	/** Time that a new request of the test runs at an engine, ms. */
	RUN_MS = 2000,
	ARRIVAL_INTERVAL_MS = 7,
	ARRIVALS = 140,
	/** Time that is left for requests to begin, ms. */
	LEFT_MS = 2500,
};

/* Failure: an engine without a free slot was expected to begin new requests at
 * once, and they began after the time limit for its weights. */
static void test_full_engine(void)
{
	uint64_t slot_free_ms[48] = { 0 };
	uint64_t end_ms[ARRIVALS];
	size_t sent = 0;

	for (uint64_t now_ms = 0; now_ms < ARRIVALS * ARRIVAL_INTERVAL_MS;
	     now_ms += ARRIVAL_INTERVAL_MS) {
		placement_candidate_t engine = { .slots = 48 };
		uint64_t *slot = &slot_free_ms[sent % 48];
		uint64_t begin_ms = *slot > now_ms ? *slot : now_ms;

		for (size_t i = 0; i < sent; i++)
			engine.running += end_ms[i] > now_ms;
		if (!placement_begins_within(&engine, LEFT_MS - now_ms))
			continue;
		g_assert_cmpuint(begin_ms, <=, LEFT_MS);
		*slot = begin_ms + RUN_MS;
		end_ms[sent++] = *slot;
	}
	/* Free slots are used. */
	g_assert_cmpuint(sent, >=, 48);
}

/* Failure: where endpoints are alike and the load is low, so that what others
 * have sent meanwhile fits each endpoint, requests were placed otherwise than
 * before. */
static void test_unseen(void)
{
	placement_candidate_t candidates[ENGINES];
	rng_t rng;

	rng_init(&rng, 3);
	for (uint64_t key = 1; key <= 500; key++) {
		placement_request_t request =
			make_request(hash_rendezvous(key, 9));
		int32_t before;

		if (key % 2)
			request.prefix_key = request.prefix_tokens = 0;
		fill(candidates, ENGINES);
		for (int i = 0; i < ENGINES; i++) {
			candidates[i].running = (uint32_t)rng_below(&rng, 12);
			candidates[i].prefill_tokens =
				(uint32_t)rng_below(&rng, SUFFIX_TOKENS);
			candidates[i].same_domain = rng_below(&rng, 3) == 0;
		}
		before = choose(candidates, ENGINES, &request);
		/* 33 requests a second, loads up to 250 ms old. */
		request.unseen = 33 * 0.25;
		g_assert_cmpint(choose(candidates, ENGINES, &request), ==,
				before);
	}
}

/* Failure: speeds and requests of other instances moved prompts with 6,300
 * shared tokens between engines, which computed them 1.3 to 1.5 times as
 * often. */
static void test_long_prefix_stays(void)
{
	static const double speeds[] = { 0.6, 1, 1.6 };
	placement_candidate_t candidates[ENGINES];
	rng_t rng;

	rng_init(&rng, 5);
	for (uint64_t key = 1; key <= 500; key++) {
		placement_request_t request =
			make_request(hash_rendezvous(key, 9));
		int32_t nominal;

		fill(candidates, ENGINES);
		for (int i = 0; i < ENGINES; i++) {
			candidates[i].running = (uint32_t)rng_below(&rng, 60);
			candidates[i].prefill_tokens =
				(uint32_t)rng_below(&rng, 15000);
			candidates[i].fetchable_tokens =
				key % 2 ? PREFIX_TOKENS : 0;
		}
		nominal = choose(candidates, ENGINES, &request);
		for (int i = 0; i < ENGINES; i++)
			candidates[i].speed = speeds[rng_below(&rng, 3)];
		request.unseen = (double)rng_below(&rng, 400);
		request.tie_break = rng_next(&rng);
		g_assert_cmpint(choose(candidates, ENGINES, &request), ==,
				nominal);
	}
}

/* Failure: where the requests of others may not fit the best endpoint, one got
 * all; or a slow one got as many as a fast one. */
static void test_short_prefixes_spread(void)
{
	static const uint32_t prefix_tokens[] = { 0, SHORT_PREFIX_TOKENS,
						  2047 };
	placement_candidate_t candidates[ENGINES];

	for (size_t p = 0; p < 2 * G_N_ELEMENTS(prefix_tokens); p++) {
		bool is_plain = p % 2;
		uint32_t counts[ENGINES] = { 0 };

		fill(candidates, ENGINES);
		for (int i = 0; i < ENGINES; i++) {
			candidates[i].running = i ? 2 : 1;
			candidates[i].speed = i % 2 ? 1.6 : 0.6;
			if (is_plain)
				candidates[i].cache_capacity_tokens = 0;
		}
		for (uint64_t key = 1; key <= 3600; key++) {
			placement_request_t request = make_request(4711);

			request.prefix_tokens = prefix_tokens[p / 2];
			request.prefix_key = request.prefix_tokens ? 4711 : 0;
			request.tie_break = hash_rendezvous(key, 4);
			request.unseen = 100;
			counts[choose(candidates, ENGINES, &request)]++;
		}
		/* 35 + 100 requests at a sum of speeds of 19.8 give a level
		 * of 6.8, so the rooms are 2.1 and 8.9. */
		for (int i = 2; i < ENGINES; i++) {
			g_assert_cmpuint(counts[i], >, i % 2 ? 270 : 50);
			g_assert_cmpuint(counts[i], <, i % 2 ? 370 : 110);
		}
	}
}

/* Failure: an engine whose memory is used up was drawn while others had some,
 * or one got all requests because no engine had any. */
static void test_draw_memory(void)
{
	placement_candidate_t candidates[ENGINES];

	for (int full = ENGINES / 2; full <= ENGINES; full += ENGINES / 2) {
		uint32_t counts[ENGINES] = { 0 };

		fill(candidates, ENGINES);
		for (int i = 0; i < full; i++)
			candidates[i].reserved_tokens = 95000;
		for (uint64_t key = 1; key <= 1800; key++) {
			placement_request_t request = {
				.suffix_tokens = SUFFIX_TOKENS,
				.tie_break = hash_rendezvous(key, 4),
				.unseen = 100
			};

			counts[choose(candidates, ENGINES, &request)]++;
		}
		for (int i = 0; i < ENGINES; i++) {
			if (full < ENGINES && i < full)
				g_assert_cmpuint(counts[i], ==, 0);
			else
				g_assert_cmpuint(counts[i], >,
						 1800 / ENGINES / 2);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/same-preferred-endpoint",
			test_same_preferred_endpoint);
	g_test_add_func("/placement/spread", test_spread);
	g_test_add_func("/placement/excluded", test_excluded);
	g_test_add_func("/placement/full-engine-begins-late", test_full_engine);
	g_test_add_func("/placement/hot-prefix", test_hot_prefix);
	g_test_add_func("/placement/many-engines", test_many_engines);
	g_test_add_func("/placement/select-sizes", test_select_sizes);
	g_test_add_func("/placement/unseen", test_unseen);
	g_test_add_func("/placement/long-prefix-stays", test_long_prefix_stays);
	g_test_add_func("/placement/short-prefixes-spread",
			test_short_prefixes_spread);
	g_test_add_func("/placement/draw-memory", test_draw_memory);
	g_test_add_func("/placement/unknown-prefixes", test_unknown_prefixes);
	g_test_add_func("/placement/preferred-on-new-weights",
			test_preferred_on_new_weights);
	for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
		char *path = g_strdup_printf("/placement/choice/%zu", i);

		g_test_add_data_func(path, &choice_cases[i], test_choice);
		g_free(path);
	}
	return g_test_run();
}
