/* Prefix keys, endpoint state, cache index, prefix statistics, routing. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"
#include "process/routing.h"
#include "request/prefix.h"

enum {
	POOL = 20,
	BLOCK_TOKENS = 10,
	TOKEN_BYTES = 4,
	BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES,
	PREFILL_TOKENS_PER_S = 1000,
};

static const prefix_identity_t identity = {
	.salt = "salt",
	.model = "model",
	.adapter = "",
	.weights_version = "v1",
	.block_tokens = BLOCK_TOKENS,
	.token_bytes = TOKEN_BYTES,
};

static char *repeat(char letter, size_t len)
{
	return g_strnfill(len, letter);
}

static void compute(const prefix_identity_t *id, const char *first,
		    const char *second, prefix_t *prefix)
{
	prefix_message_t messages[2] = {
		{ "system", first, strlen(first) },
		{ "user", second ? second : "", second ? strlen(second) : 0 },
	};

	g_assert_cmpint(prefix_compute(id, messages, second ? 2 : 1, prefix),
			==, 0);
}

/* Block keys must equal those of the engines, or no cache event matches. */
static void test_block_keys_match_engine_keys(void)
{
	g_autofree char *first = repeat('a', 95);
	g_autofree char *second = repeat('b', 130);
	g_autofree char *text =
		g_strdup_printf("system\n%s\nuser\n%s\n", first, second);
	uint64_t key = hash_chain_start("salt", "model", "", "v1");
	prefix_t prefix;
	size_t blocks = strlen(text) / BLOCK_BYTES;

	compute(&identity, first, second, &prefix);
	g_assert_cmpuint(prefix.root_key, ==, key);
	g_assert_cmpuint(prefix.block_count, ==, blocks);
	for (size_t i = 0; i < blocks; i++) {
		key = hash_chain(key, text + i * BLOCK_BYTES, BLOCK_BYTES);
		g_assert_cmpuint(prefix.blocks[i], ==, key);
	}
	key = hash_chain(key, text + blocks * BLOCK_BYTES,
			 strlen(text) % BLOCK_BYTES);
	g_assert_cmpuint(prefix.whole_key, ==, key);
	g_assert_cmpuint(prefix.prompt_tokens, ==, (strlen(text) + 3) / 4);
}

static uint32_t common_levels(const prefix_t *a, const prefix_t *b)
{
	uint32_t count = 0;

	while (count < a->level_count && count < b->level_count &&
	       a->levels[count].key == b->levels[count].key)
		count++;
	return count;
}

/* Prompts with a shared prefix must have the same levels in it, whatever
 * follows and however the prompts are divided into messages. */
static void test_levels_of_a_shared_prefix(void)
{
	g_autofree char *manual = repeat('m', 100 * BLOCK_BYTES);
	g_autofree char *one = g_strconcat(manual, "1", NULL);
	g_autofree char *tail = repeat('t', 700 * BLOCK_BYTES);
	g_autofree char *two = g_strconcat(manual, "2", tail, NULL);
	prefix_t a;
	prefix_t b;

	compute(&identity, one, NULL, &a);
	compute(&identity, two, "x", &b);
	/* Blocks 1 to 16, 18 to 32, 36 to 64, 72 to 96. */
	g_assert_cmpuint(common_levels(&a, &b), ==, 16 + 8 + 8 + 4);
	g_assert_cmpuint(b.block_count, ==, PREFIX_BLOCKS_MAX);
	g_assert_cmpuint(b.level_count, <=, PREFIX_LEVELS_MAX);
	for (uint32_t i = 1; i < b.level_count; i++)
		g_assert_cmpuint(b.levels[i].tokens, >, b.levels[i - 1].tokens);
	compute(&identity, manual, "1", &a);
	compute(&identity, manual, "2", &b);
	/* The end of the first message is a level as well. */
	g_assert_cmpuint(common_levels(&a, &b), ==, 16 + 8 + 8 + 4 + 1);
}

/* Levels at message boundaries must not displace those at block boundaries. */
static void test_many_messages(void)
{
	g_autofree prefix_message_t *messages = g_new0(prefix_message_t, 2000);
	g_autofree char *text = repeat('x', 51);
	prefix_t prefix;

	for (int i = 0; i < 2000; i++)
		messages[i] = (prefix_message_t){ "user", text, 51 };
	g_assert_cmpint(prefix_compute(&identity, messages, 2000, &prefix), ==,
			0);
	g_assert_cmpuint(prefix.level_count, ==, PREFIX_LEVELS_MAX);
	g_assert_cmpuint(prefix.prompt_tokens, ==, 2000 * 57 / 4);
}

/* Sharing cache entries across any of these would break the isolation of
 * customers or use old weights. */
static void test_identity_separates(void)
{
	static const prefix_identity_t others[] = {
		{ "other", "model", "", "v1", BLOCK_TOKENS, TOKEN_BYTES },
		{ "salt", "other", "", "v1", BLOCK_TOKENS, TOKEN_BYTES },
		{ "salt", "model", "other", "v1", BLOCK_TOKENS, TOKEN_BYTES },
		{ "salt", "model", "", "v2", BLOCK_TOKENS, TOKEN_BYTES },
	};
	prefix_identity_t bad = identity;
	prefix_t a;
	prefix_t b;

	compute(&identity, "text", NULL, &a);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		compute(&others[i], "text", NULL, &b);
		g_assert_cmpuint(a.whole_key, !=, b.whole_key);
		g_assert_cmpuint(common_levels(&a, &b), ==, 0);
		/* A weights rollout must not clear a crash suspicion. */
		if (i >= 2)
			g_assert_cmpuint(a.fingerprint, ==, b.fingerprint);
		else
			g_assert_cmpuint(a.fingerprint, !=, b.fingerprint);
	}
	bad.block_tokens = 0;
	g_assert_cmpint(prefix_compute(&bad, NULL, 0, &b), ==, ERR_BAD_FIELD);
}

/* Routing state of one instance and its pool. */
typedef struct fixture {
	routing_t *routing;
	endpoint_t endpoints[POOL];
	endpoint_t *pool[POOL];
	rng_t rng;
	uint64_t now_ms;
	routing_explanation_t explanation;
} fixture_t;

static void fixture_init(fixture_t *f, routing_policy_t policy, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	f->routing = g_new0(routing_t, 1);
	routing_init(f->routing, policy, PREFILL_TOKENS_PER_S);
	rng_init(&f->rng, seed);
	f->now_ms = 100000;
	for (int i = 0; i < POOL; i++) {
		endpoint_init(&f->endpoints[i], hash_rendezvous(3, i));
		f->pool[i] = &f->endpoints[i];
	}
}

static void fixture_clear(fixture_t *f)
{
	g_free(f->routing);
}

static int choose(fixture_t *f, const routing_request_t *request)
{
	return routing_choose(f->routing, f->pool, POOL, request, f->now_ms,
			      &f->rng, &f->explanation);
}

static void report(endpoint_t *endpoint, uint64_t seq, uint64_t tokens,
		   uint64_t now_ms)
{
	engine_load_t load = { .incarnation = 1,
			       .seq = seq,
			       .queued_tokens = tokens,
			       .queued = tokens != 0 };

	endpoint_apply_report(endpoint, &load, now_ms);
}

/* Own requests must count until a load report includes them, not longer. */
static void test_expected_wait(void)
{
	endpoint_t endpoint;
	engine_load_t late = { .incarnation = 1,
			       .seq = 3,
			       .age_ms = 1000,
			       .queued_tokens = 3000 };
	rng_t rng;

	rng_init(&rng, 1);
	endpoint_init(&endpoint, 1);
	report(&endpoint, 1, 2000, 100000);
	g_assert_cmpfloat_with_epsilon(
		endpoint_expected_wait_ms(&endpoint, 0, 1000, 100500), 1500, 1);
	endpoint_sent(&endpoint, 700, 100500);
	g_assert_cmpfloat_with_epsilon(
		endpoint_expected_wait_ms(&endpoint, 0, 1000, 100500), 2200, 1);
	endpoint_apply_report(&endpoint, &late, 101000);
	g_assert_cmpfloat_with_epsilon(
		endpoint_expected_wait_ms(&endpoint, 0, 1000, 101000), 2700, 1);
	report(&endpoint, 2, 0, 101000);
	g_assert_cmpfloat_with_epsilon(
		endpoint_expected_wait_ms(&endpoint, 0, 1000, 101000), 2700, 1);
	report(&endpoint, 4, 0, 101500);
	g_assert_cmpfloat_with_epsilon(
		endpoint_expected_wait_ms(&endpoint, 0, 1000, 101500), 0, 1);
	/* Stalled: accepts requests and reports no load. */
	g_assert_cmpfloat(endpoint_expected_wait_ms(&endpoint, 0, 1000, 120000),
			  >=, 19000);
	endpoint_ended(&endpoint, ENDPOINT_FAILED, false, &rng, 120000);
	g_assert_cmpfloat_with_epsilon(
		endpoint_expected_wait_ms(&endpoint, 0, 1000, 120000), 0, 1);
}

typedef enum endpoint_event {
	NO_EVENT,
	FAIL,
	LOSE,
	REFUSE,
	SUCCEED,
	RESTART,
	SET_LEAVING,
	OLD_REPORT,
	PASS_2S,
	PASS_12S,
} endpoint_event_t;

static const struct {
	const char *guards; /* Failure that the case guards against. */
	endpoint_event_t events[8];
	endpoint_state_t state;
} endpoint_cases[] = {
	{ "one failure ejects", { FAIL, FAIL }, ENDPOINT_USABLE },
	{ "a failing endpoint is not ejected",
	  { FAIL, FAIL, FAIL },
	  ENDPOINT_EJECTED },
	{ "a success does not reset the failure count",
	  { FAIL, FAIL, SUCCEED, FAIL },
	  ENDPOINT_USABLE },
	{ "a lost connection does not eject at once",
	  { LOSE },
	  ENDPOINT_EJECTED },
	{ "full traffic directly after an ejection",
	  { LOSE, PASS_2S },
	  ENDPOINT_SLOW_START },
	{ "an ejected endpoint never becomes usable again",
	  { LOSE, PASS_12S },
	  ENDPOINT_USABLE },
	{ "repeated ejections are not longer",
	  { LOSE, PASS_12S, LOSE, PASS_12S, LOSE, PASS_2S },
	  ENDPOINT_EJECTED },
	{ "a restart keeps the ejection",
	  { LOSE, RESTART },
	  ENDPOINT_SLOW_START },
	{ "a leaving endpoint gets requests", { REFUSE }, ENDPOINT_LEAVING },
	{ "an older report clears the leaving state",
	  { REFUSE, OLD_REPORT },
	  ENDPOINT_LEAVING },
	{ "a restart keeps the leaving state from an answer",
	  { REFUSE, RESTART, PASS_12S },
	  ENDPOINT_USABLE },
	{ "a restart clears the leaving state of the configuration",
	  { SET_LEAVING, RESTART },
	  ENDPOINT_LEAVING },
};

static void apply_event(endpoint_t *endpoint, endpoint_event_t event,
			rng_t *rng, uint64_t *now_ms)
{
	static const endpoint_outcome_t outcomes[] = {
		[FAIL] = ENDPOINT_FAILED,
		[LOSE] = ENDPOINT_LOST,
		[REFUSE] = ENDPOINT_REFUSED,
		[SUCCEED] = ENDPOINT_DONE,
	};
	engine_load_t old = { .incarnation = 1, .seq = 9, .age_ms = 1000 };

	switch (event) {
	case NO_EVENT:
		break;
	case FAIL:
	case LOSE:
	case REFUSE:
	case SUCCEED:
		endpoint_sent(endpoint, 1, *now_ms);
		endpoint_ended(endpoint, outcomes[event], false, rng, *now_ms);
		break;
	case RESTART:
		endpoint_set_identity(endpoint, 2, NULL, *now_ms);
		break;
	case SET_LEAVING:
		endpoint_set_leaving(endpoint, true);
		break;
	case OLD_REPORT:
		endpoint_apply_report(endpoint, &old, *now_ms);
		break;
	case PASS_2S:
		*now_ms += 2000;
		break;
	case PASS_12S:
		*now_ms += 12000;
		break;
	}
}

static void test_endpoint_states(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endpoint_cases); i++) {
		uint64_t now_ms = 100000;
		endpoint_t endpoint;
		rng_t rng;

		g_test_message("guards against: %s", endpoint_cases[i].guards);
		rng_init(&rng, i);
		endpoint_init(&endpoint, 1);
		endpoint_set_identity(&endpoint, 1, "v1", now_ms);
		for (size_t j = 0; j < 8; j++)
			apply_event(&endpoint, endpoint_cases[i].events[j],
				    &rng, &now_ms);
		g_assert_cmpint(endpoint_state(&endpoint, now_ms), ==,
				endpoint_cases[i].state);
	}
}

/* An entry of the cache index must end with the cached prefix, or requests are
 * sent to an engine that must recompute it. */
static void test_cache_index_invalidation(void)
{
	g_autofree cache_index_t *index = g_new0(cache_index_t, 1);
	endpoint_t endpoint;

	cache_index_init(index);
	endpoint_init(&endpoint, 1);
	endpoint_set_identity(&endpoint, 1, "v1", 1000);
	g_assert_false(cache_index_apply_event(
		index, &endpoint.cache_index_source, 5, true, 1000));
	g_assert_cmpuint(cache_index_tokens(index, &endpoint.cache_index_source,
					    5, 1000),
			 ==, 0);
	for (int i = 0; i < 5; i++) {
		uint64_t now_ms = 1000;

		cache_index_confirm(index, &endpoint.cache_index_source, 5, 70,
				    now_ms);
		g_assert_cmpuint(
			cache_index_tokens(index, &endpoint.cache_index_source,
					   5, now_ms),
			==, 70);
		if (i == 0)
			g_assert_true(cache_index_apply_event(
				index, &endpoint.cache_index_source, 5, false,
				now_ms));
		else if (i == 1)
			endpoint_set_identity(&endpoint, 2, NULL, now_ms);
		else if (i == 2)
			endpoint_set_identity(&endpoint, 2, "v2", now_ms);
		else if (i == 3)
			now_ms += CACHE_INDEX_EXPIRY_START_MS + 1;
		else
			break;
		g_assert_cmpuint(
			cache_index_tokens(index, &endpoint.cache_index_source,
					   5, now_ms),
			==, 0);
	}
	g_assert_true(endpoint_check_events(&endpoint, 2, 10, 20, 1000));
	g_assert_true(endpoint_check_events(&endpoint, 2, 20, 25, 1000));
	g_assert_cmpuint(cache_index_tokens(index, &endpoint.cache_index_source,
					    5, 1000),
			 ==, 70);
	g_assert_false(endpoint_check_events(&endpoint, 2, 26, 30, 1000));
	g_assert_cmpuint(cache_index_tokens(index, &endpoint.cache_index_source,
					    5, 1000),
			 ==, 0);
}

/* The expiry must adapt to the cached tokens in answers, both up and down. */
static void test_cache_index_expiry_is_learned(void)
{
	static const uint64_t retention_ms[] = { 2000, 200000 };
	g_autofree cache_index_t *index = g_new0(cache_index_t, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(retention_ms); i++) {
		uint64_t now_ms = 1000;
		endpoint_t endpoint;
		rng_t rng;

		rng_init(&rng, i);
		cache_index_init(index);
		endpoint_init(&endpoint, 1);
		for (uint64_t j = 0; j < 500; j++) {
			uint64_t age = rng_below(&rng, 2 * retention_ms[i]);
			uint32_t cached = age < retention_ms[i] ? 70 : 0;

			cache_index_confirm(index, &endpoint.cache_index_source,
					    j, 70, now_ms);
			now_ms += age;
			cache_index_learn_expiry(index,
						 &endpoint.cache_index_source,
						 j, 70, cached, now_ms);
		}
		g_assert_cmpfloat(endpoint.cache_index_source.expiry_ms, >=,
				  retention_ms[i] / 2.0);
		g_assert_cmpfloat(endpoint.cache_index_source.expiry_ms, <=,
				  retention_ms[i] * 2.0);
	}
}

static uint16_t replicas_of(prefix_stats_t *stats, uint64_t key,
			    uint64_t now_ms)
{
	prefix_level_t level = { key, 100, 100, 0 };
	prefix_plan_t plan;

	prefix_stats_plan(stats, &level, 1, POOL, 1, now_ms, &plan);
	return plan.step_count ? plan.steps[0].replicas : POOL;
}

/* Replicas must follow a surge on one prefix, and its end, within seconds. */
static void test_replicas_follow_a_surge(void)
{
	g_autofree prefix_stats_t *stats = g_new0(prefix_stats_t, 1);
	uint64_t now_ms = 1000;
	uint16_t replicas_before;

	prefix_stats_init(stats);
	/* 35 requests a second over 100 equally popular prefixes. */
	for (uint64_t i = 0; i < 35 * 60; i++, now_ms += 29) {
		prefix_level_t level = { 1 + i % 100, 100, 100, 0 };

		prefix_stats_request(stats, &level, 1, now_ms);
	}
	replicas_before = replicas_of(stats, 1, now_ms);
	g_assert_cmpuint(replicas_before, ==, 1);
	/* For 5 s half of the requests are for prefix 1. */
	for (uint64_t i = 0; i < 35 * 5; i++, now_ms += 29) {
		prefix_level_t level = { i % 2 ? 1 : 2 + i % 99, 100, 100, 0 };

		prefix_stats_request(stats, &level, 1, now_ms);
	}
	/* The demand needs ten endpoints; at least half of them is required. */
	g_assert_cmpuint(replicas_of(stats, 1, now_ms), >=, 5);
	for (uint64_t i = 0; i < 35 * 120; i++, now_ms += 29) {
		prefix_level_t level = { 1 + i % 100, 100, 100, 0 };

		prefix_stats_request(stats, &level, 1, now_ms);
	}
	g_assert_cmpuint(replicas_of(stats, 1, now_ms), ==, 1);
}

/** Replica changes of a prefix in 600 s that has one in `rarity` requests. */
static uint32_t count_changes(uint64_t rarity)
{
	g_autofree prefix_stats_t *stats = g_new0(prefix_stats_t, 1);
	uint32_t changes = 0;
	uint16_t previous = 0;
	rng_t rng;

	rng_init(&rng, rarity);
	prefix_stats_init(stats);
	for (uint64_t i = 0; i < 21000; i++) {
		uint64_t key = rng_below(&rng, rarity) ? 2 + i : 1;
		prefix_level_t level = { key, 100, 100, 0 };
		uint16_t replicas;

		prefix_stats_request(stats, &level, 1, 1000 + i * 29);
		replicas = replicas_of(stats, 1, 1000 + i * 29);
		changes += replicas != previous;
		previous = replicas;
	}
	return changes;
}

/* Replica counts that follow every fluctuation would move prefixes for nothing.
 * Demand is constant here, so there must be less than one change per time
 * constant. */
static void test_replicas_have_hysteresis(void)
{
	for (uint64_t rarity = 3; rarity <= 12; rarity++) {
		uint32_t changes = count_changes(rarity);

		g_test_message("1 in %u: %u changes", (unsigned)rarity,
			       changes);
		g_assert_cmpuint(changes, <, 600000 / PREFIX_STATS_SLOW_MS);
	}
}

/* Fills the levels of a prompt made of a manual (levels 0 to 9), a section of
 * it (10 to 13) and notes (from 14). */
static void fill_levels(prefix_level_t *levels, size_t count, uint64_t manual,
			uint64_t section, uint64_t notes)
{
	for (size_t i = 0; i < count; i++) {
		uint64_t key = hash_rendezvous(i, manual);

		if (i >= 10)
			key = hash_rendezvous(key, section);
		if (i >= 14)
			key = hash_rendezvous(key, notes);
		levels[i] = (prefix_level_t){ key, (uint32_t)(i + 1) * 10,
					      (uint32_t)(i + 1) * 10, 0 };
	}
}

/* Unique notes must not determine the placement, and a hot manual must not be
 * placed on one engine only. */
static void test_placement_level_is_found(void)
{
	g_autofree prefix_stats_t *stats = g_new0(prefix_stats_t, 1);
	prefix_level_t levels[16];
	prefix_plan_t plan;
	rng_t rng;

	rng_init(&rng, 1);
	prefix_stats_init(stats);
	for (uint64_t i = 0; i < 2000; i++) {
		/* Manual 0 has half of the requests, the others 2.5% each. */
		uint64_t manual =
			rng_below(&rng, 2) ? 0 : 1 + rng_below(&rng, 20);

		fill_levels(levels, 16, manual, rng_below(&rng, 40), i);
		prefix_stats_request(stats, levels, 16, 1000 + i * 29);
	}
	fill_levels(levels, 16, 0, 7, 99999);
	prefix_stats_plan(stats, levels, 16, POOL, 1, 59000, &plan);
	g_assert_cmpuint(plan.step_count, ==, 2);
	g_assert_cmpuint(plan.steps[0].tokens, <=, 100);
	g_assert_cmpuint(plan.steps[0].replicas, >=, 10);
	g_assert_cmpuint(plan.steps[1].tokens, ==, 110);
	g_assert_cmpuint(plan.steps[1].replicas, ==, 1);
	fill_levels(levels, 16, 5, 7, 99999);
	prefix_stats_plan(stats, levels, 16, POOL, 1, 59000, &plan);
	g_assert_cmpuint(plan.step_count, ==, 1);
	g_assert_cmpuint(plan.steps[0].tokens, ==, 10);
	g_assert_cmpuint(plan.steps[0].replicas, ==, 1);
}

/* Instances without shared state must send equal prompts to the same engine. */
static void test_instances_agree(void)
{
	prefix_level_t levels[16];
	routing_request_t request = { .levels = levels,
				      .level_count = 16,
				      .prompt_tokens = 160 };
	fixture_t a;
	fixture_t b;

	fixture_init(&a, ROUTING_PREFIX, 1);
	fixture_init(&b, ROUTING_PREFIX, 2);
	for (uint64_t i = 0; i < 50; i++) {
		fill_levels(levels, 16, i, i, i);
		g_assert_cmpint(choose(&a, &request), ==, choose(&b, &request));
		g_assert_cmpint(a.explanation.reason, ==,
				ROUTING_REASON_FIRST_CHOICE);
	}
	fixture_clear(&a);
	fixture_clear(&b);
}

/**
 * Routes sections of a manual until their branches are known, then queues
 * tokens at the first choice.
 * @return bit mask of the sections that go to the second choice
 */
static uint32_t moved_sections(uint64_t seed, uint64_t queued_tokens)
{
	prefix_level_t levels[16];
	routing_request_t request = { .levels = levels,
				      .level_count = 16,
				      .prompt_tokens = 160 };
	uint32_t moved = 0;
	fixture_t f;
	int first = -1;

	fixture_init(&f, ROUTING_PREFIX, seed);
	for (uint64_t i = 0; i < 60; i++) {
		fill_levels(levels, 16, 1, rng_below(&f.rng, 20), i);
		first = choose(&f, &request);
		routing_first_token(f.routing, f.pool[first], &request, 140, 0,
				    f.now_ms, f.now_ms);
	}
	report(f.pool[first], 1, queued_tokens, f.now_ms);
	for (uint64_t section = 0; section < 20; section++) {
		fill_levels(levels, 16, 1, section, 1000);
		choose(&f, &request);
		if (f.explanation.reason == ROUTING_REASON_SECOND_CHOICE)
			moved |= 1U << section;
	}
	fixture_clear(&f);
	return moved;
}

/* Sections that move to the second choice at random are computed at both
 * choices. So all instances must move the same ones, and a longer queue must
 * move more of them. */
static void test_instances_move_the_same_branches(void)
{
	static const uint64_t queued_tokens[] = { 0, 300, 1000, 12000 };
	uint32_t moved_before = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(queued_tokens); i++) {
		uint32_t moved = moved_sections(1, queued_tokens[i]);

		g_assert_cmphex(moved, ==, moved_sections(2, queued_tokens[i]));
		g_assert_cmphex(moved & moved_before, ==, moved_before);
		if (i > 0)
			g_assert_cmphex(moved, !=, moved_before);
		moved_before = moved;
	}
	g_assert_cmphex(moved_before, ==, (1U << 20) - 1);
}

/* Under overload, moving to the second choice at a lower gain adds recompute,
 * which causes more moves. */
static void test_second_choice_needs_a_gain(void)
{
	static const struct {
		uint64_t queued_tokens; /* Prefill takes 1 ms per token. */
		uint32_t store_tokens;
		routing_reason_t reason;
	} cases[] = {
		{ 0, 0, ROUTING_REASON_FIRST_CHOICE },
		{ 4 * 150, 0, ROUTING_REASON_FIRST_CHOICE },
		{ 4 * 160 - 5, 0, ROUTING_REASON_FIRST_CHOICE },
		{ 4 * 160 + 5, 0, ROUTING_REASON_SECOND_CHOICE },
		/* Import at ten times the prefill speed reduces the gain
		 * needed. */
		{ 4 * 20, 160, ROUTING_REASON_SECOND_CHOICE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		prefix_level_t levels[16];
		routing_request_t request = {
			.levels = levels,
			.level_count = 16,
			.prompt_tokens = 160,
			.kv_store_tokens = cases[i].store_tokens,
		};
		fixture_t f;
		int first;
		int chosen;

		fixture_init(&f, ROUTING_PREFIX, 1);
		f.routing->import_tokens_per_s = 10 * PREFILL_TOKENS_PER_S;
		fill_levels(levels, 16, 1, 1, 1);
		first = choose(&f, &request);
		routing_first_token(f.routing, f.pool[first], &request, 160, 0,
				    f.now_ms, f.now_ms);
		report(f.pool[first], 1, cases[i].queued_tokens, f.now_ms);
		chosen = choose(&f, &request);
		g_assert_cmpint(f.explanation.reason, ==, cases[i].reason);
		g_assert_cmpuint(f.explanation.candidates[0].cached_tokens, ==,
				 160);
		if (cases[i].reason == ROUTING_REASON_FIRST_CHOICE)
			g_assert_cmpint(chosen, ==, first);
		else
			g_assert_cmpint(chosen, !=, first);
		g_assert_cmpint(f.explanation.import_kv, ==,
				cases[i].store_tokens != 0);
		fixture_clear(&f);
	}
}

/* No policy may choose an endpoint that is not allowed. */
static void test_no_policy_uses_an_unusable_endpoint(void)
{
	for (int policy = 0; policy < ROUTING_POLICY_COUNT; policy++) {
		uint64_t excluded[2];
		routing_request_t request = { .prompt_tokens = 10,
					      .model = "m",
					      .weights_version = "v1",
					      .excluded = excluded,
					      .excluded_count = 2 };
		fixture_t f;

		fixture_init(&f, policy, 1);
		excluded[0] = f.endpoints[0].id_hash;
		excluded[1] = f.endpoints[1].id_hash;
		endpoint_set_leaving(&f.endpoints[2], true);
		endpoint_sent(&f.endpoints[3], 1, f.now_ms);
		endpoint_ended(&f.endpoints[3], ENDPOINT_LOST, true, &f.rng,
			       f.now_ms);
		endpoint_isolate(&f.endpoints[4], f.now_ms);
		endpoint_set_role(&f.endpoints[5], "other", NULL, NULL);
		endpoint_set_identity(&f.endpoints[6], 1, "v0", f.now_ms);
		for (uint64_t i = 0; i < 500; i++) {
			request.whole_key = i;
			g_assert_cmpint(choose(&f, &request), >, 6);
			g_assert_cmpuint(f.explanation.usable, ==, POOL - 7);
		}
		for (int i = 0; i < POOL; i++)
			endpoint_set_leaving(&f.endpoints[i], true);
		g_assert_cmpint(choose(&f, &request), ==, ERR_NO_ENDPOINT);
		fixture_clear(&f);
	}
}

/* A request suspected of crashing engines must run alone, or a crash would end
 * other requests, too. */
static void test_isolation(void)
{
	routing_request_t suspect = { .isolated = true };
	routing_request_t other = { 0 };
	fixture_t f;
	int index;

	fixture_init(&f, ROUTING_PREFIX, 1);
	for (int i = 0; i < POOL; i++) {
		if (i != 11)
			endpoint_sent(&f.endpoints[i], 1, f.now_ms);
	}
	index = choose(&f, &suspect);
	g_assert_cmpint(index, ==, 11);
	g_assert_cmpint(f.explanation.reason, ==, ROUTING_REASON_ISOLATED);
	routing_sent(f.routing, f.pool[index], &suspect, &f.explanation,
		     f.now_ms);
	g_assert_cmpint(choose(&f, &suspect), ==, ERR_NO_ENDPOINT);
	for (uint64_t i = 0; i < 500; i++) {
		other.whole_key = i;
		g_assert_cmpint(choose(&f, &other), !=, index);
	}
	routing_ended(f.pool[index], &suspect, ENDPOINT_DONE, false, &f.rng,
		      f.now_ms);
	g_assert_cmpint(choose(&f, &suspect), ==, index);
	fixture_clear(&f);
}

/* An endpoint in slow start must get some of its usual requests, not all. */
static void test_slow_start_share(void)
{
	prefix_level_t levels[16];
	routing_request_t request = { .levels = levels,
				      .level_count = 16,
				      .prompt_tokens = 160 };
	uint32_t sent = 0;
	fixture_t f;
	int first;

	fixture_init(&f, ROUTING_PREFIX, 1);
	fill_levels(levels, 16, 1, 1, 1);
	first = choose(&f, &request);
	f.endpoints[first].incarnation = 1;
	endpoint_set_identity(&f.endpoints[first], 2, NULL, f.now_ms);
	f.now_ms += ENDPOINT_SLOW_START_MS / 2;
	request.already_counted = true;
	for (int i = 0; i < 1000; i++)
		sent += choose(&f, &request) == first;
	g_assert_cmpuint(sent, >=, 400);
	g_assert_cmpuint(sent, <=, 600);
	fixture_clear(&f);
}

static const struct {
	const char *path;
	void (*run)(void);
} tests[] = {
	{ "/prefix/block-keys", test_block_keys_match_engine_keys },
	{ "/prefix/shared-prefix", test_levels_of_a_shared_prefix },
	{ "/prefix/many-messages", test_many_messages },
	{ "/prefix/identity", test_identity_separates },
	{ "/endpoint/wait", test_expected_wait },
	{ "/endpoint/states", test_endpoint_states },
	{ "/cache-index/invalidation", test_cache_index_invalidation },
	{ "/cache-index/expiry", test_cache_index_expiry_is_learned },
	{ "/stats/surge", test_replicas_follow_a_surge },
	{ "/stats/hysteresis", test_replicas_have_hysteresis },
	{ "/stats/placement-level", test_placement_level_is_found },
	{ "/routing/agree", test_instances_agree },
	{ "/routing/branches", test_instances_move_the_same_branches },
	{ "/routing/gain", test_second_choice_needs_a_gain },
	{ "/routing/unusable", test_no_policy_uses_an_unusable_endpoint },
	{ "/routing/isolation", test_isolation },
	{ "/routing/slow-start", test_slow_start_share },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add_func(tests[i].path, tests[i].run);
	return g_test_run();
}
