/* Unit tests of allowances that instances share, on virtual time. */
#include <glib.h>
#include <string.h>

#include "process/allowance.h"
#include "process/error.h"
#include "process/rng.h"
#include "t/lib/allowance_net.h"
#include "t/lib/seeds.h"

enum {
	NOW_MS = 50000,
	CUSTOMER = 11,
	RATE = 1000,
	SELF = 1,
	PEER = 2,
	LONG_MS = 60000,
};

static void set_limit(allowance_t *allowance, uint64_t rate, uint64_t burst,
		      uint64_t now_ms)
{
	allowance_limit_t limit = { CUSTOMER, rate, burst };

	g_assert_cmpint(allowance_set_limits(allowance, &limit, 1, now_ms), ==,
			0);
}

/* An instance that is alone. */
typedef struct balance_step {
	uint64_t at_ms; /**< After the part has converged. */
	uint64_t tokens;
	allowance_verdict_t verdict;
	uint32_t retry_min_ms;
	uint32_t retry_max_ms;
} balance_step_t;

typedef struct balance_case {
	const char *name;
	uint64_t rate;
	uint64_t burst;
	balance_step_t steps[5];
} balance_case_t;

static const balance_case_t balance_cases[] = {
	{ "no-limit", 0, 0, { { 0, 1000000, ALLOWANCE_CHARGED, 0, 0 } } },
	{ "burst-and-rate",
	  1000,
	  1000,
	  { { 0, 900, ALLOWANCE_CHARGED, 0, 0 },
	    { 0, 200, ALLOWANCE_REFUSED, 95, 160 },
	    { 90, 200, ALLOWANCE_REFUSED, 119, 181 },
	    { 101, 200, ALLOWANCE_CHARGED, 0, 0 },
	    { 101, 1, ALLOWANCE_REFUSED, 50, 900 } } },
	/* Failure: such requests were never served. */
	{ "more-than-the-burst",
	  1000,
	  1000,
	  { { 0, 1, ALLOWANCE_CHARGED, 0, 0 },
	    { 0, 3000, ALLOWANCE_REFUSED, 50, 100 },
	    { 1, 3000, ALLOWANCE_CHARGED, 0, 0 },
	    { 2000, 1, ALLOWANCE_REFUSED, 50, 100 },
	    { 2010, 1, ALLOWANCE_CHARGED, 0, 0 } } },
	{ "no-burst",
	  1000,
	  0,
	  { { 0, 1, ALLOWANCE_CHARGED, 0, 0 },
	    { 0, 1, ALLOWANCE_REFUSED, 50, 100 },
	    { 2, 1, ALLOWANCE_CHARGED, 0, 0 } } },
	{ "more-than-a-window",
	  1000,
	  1000,
	  { { 0, 9001, ALLOWANCE_REFUSED, 10000, 15000 },
	    { 0, 9000, ALLOWANCE_CHARGED, 0, 0 } } },
	/* Failure: small requests kept a larger one from ever being served. */
	{ "small-beside-large",
	  1000,
	  1000,
	  { { 0, 1000, ALLOWANCE_CHARGED, 0, 0 },
	    { 0, 500, ALLOWANCE_REFUSED, 480, 800 },
	    { 300, 100, ALLOWANCE_REFUSED, 199, 301 },
	    { 499, 500, ALLOWANCE_REFUSED, 99, 156 },
	    { 502, 500, ALLOWANCE_CHARGED, 0, 0 } } },
};

static void test_balance(const void *data)
{
	const balance_case_t *c = data;
	uint64_t start_ms = NOW_MS + 2 * LONG_MS;
	allowance_t allowance;

	allowance_init(&allowance, SELF, 7, NOW_MS);
	g_assert_cmpint(
		allowance_set_peers(&allowance, NULL, 0, 1, false, NOW_MS), ==,
		0);
	set_limit(&allowance, c->rate, c->burst, NOW_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(c->steps); i++) {
		const balance_step_t *step = &c->steps[i];
		allowance_decision_t decision;

		if (!step->tokens)
			break;
		decision = allowance_take(&allowance, CUSTOMER, step->tokens,
					  false, start_ms + step->at_ms);
		g_assert_cmpint(decision.verdict, ==, step->verdict);
		g_assert_cmpuint(decision.retry_after_ms, >=,
				 step->retry_min_ms);
		g_assert_cmpuint(decision.retry_after_ms, <=,
				 step->retry_max_ms);
	}
	allowance_free(&allowance);
}

/* What an instance holds changes with the limit, refunds and new customers. */
static void test_limits(void)
{
	allowance_limit_t limits[2] = { { CUSTOMER, RATE, RATE },
					{ CUSTOMER + 1, RATE, RATE } };
	uint64_t now_ms = NOW_MS;
	allowance_view_t view;
	allowance_t allowance;

	allowance_init(&allowance, SELF, 7, now_ms);
	g_assert_cmpint(
		allowance_set_peers(&allowance, NULL, 0, 4, false, now_ms), ==,
		0);
	set_limit(&allowance, RATE, RATE, now_ms);
	g_assert_true(allowance_view(&allowance, CUSTOMER, now_ms, &view));
	g_assert_cmpfloat(view.part, ==, 0);
	now_ms += LONG_MS;
	g_assert_true(allowance_view(&allowance, CUSTOMER, now_ms, &view));
	g_assert_cmpfloat_with_epsilon(view.part, 0.25, 1e-6);
	g_assert_cmpfloat_with_epsilon(view.tokens, RATE / 4.0, 1e-3);
	set_limit(&allowance, 2 * RATE, RATE / 2, now_ms);
	g_assert_true(allowance_view(&allowance, CUSTOMER, now_ms, &view));
	g_assert_cmpfloat_with_epsilon(view.tokens, RATE / 8.0, 1e-3);
	g_assert_cmpint(allowance_take(&allowance, CUSTOMER, 100, false, now_ms)
				.verdict,
			==, ALLOWANCE_CHARGED);
	allowance_return(&allowance, CUSTOMER, 1000, now_ms);
	g_assert_true(allowance_view(&allowance, CUSTOMER, now_ms, &view));
	g_assert_cmpfloat_with_epsilon(view.tokens, RATE / 8.0, 1e-3);
	/* New, so that no other instance has any of it. */
	g_assert_cmpint(allowance_set_limits(&allowance, limits, 2, now_ms), ==,
			0);
	g_assert_true(allowance_view(&allowance, CUSTOMER + 1, now_ms, &view));
	g_assert_cmpfloat(view.part, ==, 0.25);
	/* Known before: what another instance may have is not given twice. */
	set_limit(&allowance, RATE, RATE, now_ms);
	g_assert_false(allowance_view(&allowance, CUSTOMER + 1, now_ms, &view));
	g_assert_cmpint(
		allowance_set_peers(&allowance, NULL, 0, 0, false, now_ms), ==,
		0);
	now_ms += LONG_MS;
	g_assert_cmpint(allowance_set_limits(&allowance, limits, 2, now_ms), ==,
			0);
	g_assert_true(allowance_view(&allowance, CUSTOMER + 1, now_ms, &view));
	g_assert_cmpfloat(view.part, <, 1e-6);
	allowance_free(&allowance);
}

/* Failure: at the first start of all, each claimed its share of the few that
 * had registered by then. */
static void test_first_start(void)
{
	allowance_peer_t peers[4];
	uint64_t now_ms = NOW_MS;
	allowance_view_t view;
	allowance_t allowance;

	allowance_init(&allowance, SELF, 7, now_ms);
	set_limit(&allowance, RATE, RATE, now_ms);
	for (uint32_t i = 0; i < G_N_ELEMENTS(peers); i++) {
		allowance_view(&allowance, CUSTOMER, now_ms, &view);
		g_assert_cmpfloat(view.part, <, 0.1);
		peers[i] = (allowance_peer_t){ PEER + i, 7, true };
		allowance_set_peers(&allowance, peers, i, i + 1, false, now_ms);
		now_ms += 200;
		g_assert_true(allowance_is_young(&allowance, now_ms));
		allowance_set_peers(&allowance, peers, i, i + 1, false, now_ms);
	}
	now_ms += 400;
	allowance_take(&allowance, CUSTOMER, 1, false, now_ms);
	g_assert_false(allowance_is_young(&allowance, now_ms));
	allowance_view(&allowance, CUSTOMER, now_ms, &view);
	g_assert_cmpfloat(view.part, >, 0.2);
	g_assert_cmpfloat(view.part, <, 0.3);
	allowance_free(&allowance);
}

static void test_too_many(void)
{
	allowance_limit_t *limits =
		g_new0(allowance_limit_t, ALLOWANCE_CUSTOMERS_MAX + 1);
	allowance_view_t view;
	allowance_t allowance;

	for (uint64_t i = 0; i <= ALLOWANCE_CUSTOMERS_MAX; i++)
		limits[i] = (allowance_limit_t){ i + CUSTOMER, RATE, RATE };
	allowance_init(&allowance, SELF, 7, NOW_MS);
	set_limit(&allowance, RATE, RATE, NOW_MS);
	g_assert_cmpint(allowance_set_limits(&allowance, limits,
					     ALLOWANCE_CUSTOMERS_MAX + 1,
					     NOW_MS),
			==, ERR_LIMIT);
	g_assert_true(allowance_view(&allowance, CUSTOMER, NOW_MS, &view));
	g_assert_cmpint(allowance_set_limits(&allowance, limits + 1,
					     ALLOWANCE_CUSTOMERS_MAX, NOW_MS),
			==, 0);
	g_assert_false(allowance_view(&allowance, CUSTOMER, NOW_MS, &view));
	for (uint64_t i = 1; i <= ALLOWANCE_CUSTOMERS_MAX; i++)
		g_assert_true(allowance_view(&allowance, i + CUSTOMER, NOW_MS,
					     &view));
	allowance_free(&allowance);
	g_free(limits);
}

/* A pair of which PEER is the owner and has all. */
typedef struct pair {
	allowance_t self;
	allowance_t peer;
	uint64_t now_ms;
	allowance_message_t ask;
	allowance_message_t grant;
} pair_t;

static void start_pair(pair_t *pair, uint64_t tokens)
{
	allowance_peer_t self = { SELF, 7, false };
	/* One of these outranks SELF for the customer. */
	allowance_peer_t peer = { PEER, 8, false };
	uint64_t to_id;

	pair->now_ms = NOW_MS;
	allowance_init(&pair->self, SELF, 7, NOW_MS);
	for (;; peer.id++) {
		allowance_view_t view;

		set_limit(&pair->self, RATE, RATE, NOW_MS);
		allowance_set_peers(&pair->self, &peer, 1, 1, false,
				    NOW_MS + LONG_MS);
		allowance_set_peers(&pair->self, &peer, 1, 0, false,
				    NOW_MS + 2 * LONG_MS);
		allowance_view(&pair->self, CUSTOMER, NOW_MS + 3 * LONG_MS,
			       &view);
		if (!view.owner)
			break;
		allowance_free(&pair->self);
		allowance_init(&pair->self, SELF, 7, NOW_MS);
	}
	allowance_init(&pair->peer, peer.id, 8, NOW_MS);
	set_limit(&pair->peer, RATE, RATE, NOW_MS);
	allowance_set_peers(&pair->peer, &self, 1, 1, false, NOW_MS);
	pair->now_ms += 4 * LONG_MS;
	g_assert_cmpint(allowance_take(&pair->self, CUSTOMER, tokens, false,
				       pair->now_ms)
				.verdict,
			==, ALLOWANCE_ASK_OWNER);
	g_assert_true(allowance_next_message(&pair->self, pair->now_ms, &to_id,
					     &pair->ask));
	g_assert_cmpuint(to_id, ==, peer.id);
	g_assert_cmpint(pair->ask.kind, ==, ALLOWANCE_ASK);
	g_assert_cmpuint(pair->ask.entries[0].tokens, ==, tokens);
	allowance_receive(&pair->peer, SELF, &pair->ask, pair->now_ms);
	g_assert_true(allowance_next_message(&pair->peer, pair->now_ms, &to_id,
					     &pair->grant));
	g_assert_cmpint(pair->grant.kind, ==, ALLOWANCE_GRANT);
	g_assert_cmpuint(pair->grant.answered, ==, pair->ask.sequence);
}

static double tokens_of(allowance_t *allowance, uint64_t now_ms)
{
	allowance_view_t view;

	g_assert_true(allowance_view(allowance, CUSTOMER, now_ms, &view));
	return view.tokens;
}

static void free_pair(pair_t *pair)
{
	allowance_free(&pair->self);
	allowance_free(&pair->peer);
}

/* Failure: what a repeated or late datagram transfers was counted twice, or
 * spent after it had been given up. */
static void test_grant_once(void)
{
	pair_t pair;
	uint64_t peer_id;

	start_pair(&pair, 300);
	peer_id = pair.peer.self_id;
	/* The owner answers an ask once. */
	g_assert_cmpfloat_with_epsilon(tokens_of(&pair.peer, pair.now_ms), 700,
				       1);
	allowance_receive(&pair.peer, SELF, &pair.ask, pair.now_ms);
	g_assert_cmpuint(pair.peer.reply_count, ==, 0);
	/* Of another process, or to another one. */
	pair.grant.incarnation++;
	allowance_receive(&pair.self, peer_id, &pair.grant, pair.now_ms);
	pair.grant.incarnation--;
	pair.grant.receiver++;
	allowance_receive(&pair.self, peer_id, &pair.grant, pair.now_ms);
	pair.grant.receiver--;
	allowance_receive(&pair.self, SELF, &pair.grant, pair.now_ms);
	g_assert_cmpfloat_with_epsilon(tokens_of(&pair.self, pair.now_ms), 0,
				       1);
	for (int i = 0; i < 2; i++) {
		allowance_receive(&pair.self, peer_id, &pair.grant,
				  pair.now_ms);
		g_assert_cmpfloat_with_epsilon(
			tokens_of(&pair.self, pair.now_ms), 300, 1);
	}
	/* Not answered by the second grant of another number either. */
	pair.grant.sequence++;
	allowance_receive(&pair.self, peer_id, &pair.grant, pair.now_ms);
	g_assert_cmpfloat_with_epsilon(tokens_of(&pair.self, pair.now_ms), 300,
				       1);
	g_assert_cmpuint(pair.self.counters.grants_late, ==, 1);
	g_assert_cmpint(
		allowance_take(&pair.self, CUSTOMER, 300, true, pair.now_ms)
			.verdict,
		==, ALLOWANCE_CHARGED);
	free_pair(&pair);
}

/* Failure: tokens granted under an earlier limit stayed spendable under a lower
 * one. */
static void test_limit_falls(void)
{
	static const struct {
		uint64_t rate;
		uint64_t burst;
		double left;
	} cases[] = { { RATE / 10, RATE, 30 },
		      { RATE, 20, 20 },
		      { 2 * RATE, RATE, 300 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		pair_t pair;

		start_pair(&pair, 300);
		allowance_receive(&pair.self, pair.peer.self_id, &pair.grant,
				  pair.now_ms);
		set_limit(&pair.self, cases[i].rate, cases[i].burst,
			  pair.now_ms);
		g_assert_cmpfloat_with_epsilon(
			tokens_of(&pair.self, pair.now_ms), cases[i].left, 1);
		free_pair(&pair);
	}
}

/* An answer counts as long as the request is held, and then no longer. */
static void test_grant_late(void)
{
	static const uint64_t timeouts_ms[] = { 50, 50, 100, 100 };
	pair_t pair;
	uint64_t to_id;

	start_pair(&pair, 300);
	for (size_t i = 0; i < G_N_ELEMENTS(timeouts_ms); i++) {
		allowance_message_t again;

		g_assert_false(allowance_next_message(
			&pair.self, pair.now_ms + timeouts_ms[i] - 1, &to_id,
			&again));
		pair.now_ms += timeouts_ms[i];
		if (i + 1 == G_N_ELEMENTS(timeouts_ms))
			break;
		g_assert_true(allowance_next_message(&pair.self, pair.now_ms,
						     &to_id, &again));
		g_assert_cmpint(again.kind, ==, ALLOWANCE_ASK);
		g_assert_cmpuint(again.entries[0].tokens, ==, 300);
	}
	g_assert_cmpint(
		allowance_take(&pair.self, CUSTOMER, 300, true, pair.now_ms)
			.verdict,
		==, ALLOWANCE_REFUSED);
	allowance_receive(&pair.self, pair.peer.self_id, &pair.grant,
			  pair.now_ms);
	g_assert_cmpfloat_with_epsilon(tokens_of(&pair.self, pair.now_ms), 0,
				       1);
	g_assert_cmpuint(pair.self.counters.grants_late, ==, 1);
	free_pair(&pair);
	start_pair(&pair, 300);
	pair.now_ms += 60;
	allowance_receive(&pair.self, pair.peer.self_id, &pair.grant,
			  pair.now_ms);
	g_assert_cmpint(
		allowance_take(&pair.self, CUSTOMER, 300, true, pair.now_ms)
			.verdict,
		==, ALLOWANCE_CHARGED);
	free_pair(&pair);
}

/* Messages. */

static void test_message(void)
{
	char bytes[ALLOWANCE_MESSAGE_MAX_BYTES];
	allowance_message_t message = { .kind = ALLOWANCE_PARTS,
					.incarnation = 1ULL << 40,
					.receiver = 9,
					.sequence = 3,
					.clock_ms = 77,
					.count = ALLOWANCE_ENTRIES_MAX };
	allowance_message_t decoded;
	int len;

	for (uint32_t i = 0; i < message.count; i++)
		message.entries[i] =
			(allowance_entry_t){ i, i << 20, i << 10, 0, i };
	len = allowance_message_encode(&message, bytes, sizeof(bytes));
	g_assert_cmpint(len, ==, ALLOWANCE_MESSAGE_MAX_BYTES);
	g_assert_cmpint(
		allowance_message_encode(&message, bytes, sizeof(bytes) - 1),
		==, ERR_LIMIT);
	g_assert_cmpint(allowance_message_decode(&decoded, bytes, (size_t)len),
			==, 0);
	g_assert_cmpmem(&decoded, sizeof(decoded), &message, sizeof(message));
	for (size_t cut = 0; cut < (size_t)len; cut++)
		g_assert_cmpint(allowance_message_decode(&decoded, bytes, cut),
				==, ERR_BAD_FIELD);
	/* Magic, kind and count. */
	for (size_t at = 0; at < ALLOWANCE_HEADER_BYTES; at += 4) {
		char copy[sizeof(bytes)];

		if (at > 4 && at < ALLOWANCE_HEADER_BYTES - 4)
			continue;
		memcpy(copy, bytes, sizeof(bytes));
		copy[at + 3] = (char)(copy[at + 3] + 100);
		g_assert_cmpint(
			allowance_message_decode(&decoded, copy, (size_t)len),
			==, ERR_BAD_FIELD);
	}
	message.kind = ALLOWANCE_ASK;
	message.count = 1;
	message.entries[0].unit = 5;
	len = allowance_message_encode(&message, bytes, sizeof(bytes));
	g_assert_cmpint(len, ==,
			ALLOWANCE_HEADER_BYTES + ALLOWANCE_ENTRY_BYTES);
	g_assert_cmpint(allowance_message_decode(&decoded, bytes, (size_t)len),
			==, 0);
	g_assert_cmpuint(decoded.entries[0].unit, ==, 5);
	g_assert_cmpuint(decoded.entries[0].wait_ms, ==, 0);
}

/** What operators tolerate beyond the limit, and the least share of the limit
 * of 8 s that is used with it by a customer that sends far more. */
#define OVERAGE 0.1
#define SHARE_USED_MIN 1.0

/* Random histories. */

enum {
	CHAOS_INSTANCES_MAX = 6,
	CHAOS_CUSTOMERS = 3,
	CHAOS_STEPS = 6000,
	CHAOS_MESSAGES = 128,
	CHAOS_SEEDS = 100,
	CHAOS_RATE = 1000000,
	CHAOS_CHARGES = 4096,
	CONFIG_LAG_MS = 4000,
};

typedef struct chaos {
	rng_t rng;
	double overage;
	uint64_t now_ms;
	uint32_t count;
	uint64_t incarnations[CHAOS_INSTANCES_MAX];
	uint64_t known[CHAOS_INSTANCES_MAX][CHAOS_INSTANCES_MAX];
	uint64_t configured_ms[CHAOS_INSTANCES_MAX]; /**< With all. */
	uint64_t changed_ms; /**< The last customer was added. */
	allowance_t instances[CHAOS_INSTANCES_MAX];
	struct {
		uint32_t from;
		uint32_t to;
		allowance_message_t message;
	} messages[CHAOS_MESSAGES];
	size_t message_count;
	struct {
		uint64_t at_ms;
		double cost;
	} charges[CHAOS_CUSTOMERS][CHAOS_CHARGES];
	size_t charge_count[CHAOS_CUSTOMERS];
} chaos_t;

static void chaos_configure(chaos_t *chaos, uint32_t i, bool all)
{
	allowance_limit_t limits[CHAOS_CUSTOMERS];

	for (uint64_t c = 0; c < CHAOS_CUSTOMERS; c++)
		limits[c] =
			(allowance_limit_t){ c + 1, CHAOS_RATE, CHAOS_RATE };
	chaos->configured_ms[i] = all ? chaos->now_ms : 0;
	g_assert_cmpint(allowance_set_limits(&chaos->instances[i], limits,
					     CHAOS_CUSTOMERS - !all,
					     chaos->now_ms),
			==, 0);
}

static void chaos_start(chaos_t *chaos, uint32_t i)
{
	bool all = chaos->now_ms >= chaos->changed_ms + CONFIG_LAG_MS;

	allowance_free(&chaos->instances[i]);
	chaos->incarnations[i] = rng_next(&chaos->rng) | 1;
	allowance_init(&chaos->instances[i], i + 1, chaos->incarnations[i],
		       chaos->now_ms);
	allowance_set_overage(&chaos->instances[i], chaos->overage);
	chaos_configure(chaos, i, all);
}

/* Some have not heard of a restart, some are cut off. */
static void chaos_list(chaos_t *chaos, uint32_t i, bool stopping)
{
	allowance_peer_t peers[CHAOS_INSTANCES_MAX];
	size_t count = 0;

	for (uint32_t j = 0; j < chaos->count; j++) {
		if (rng_below(&chaos->rng, 3))
			chaos->known[i][j] = chaos->incarnations[j];
		if (j != i && chaos->known[i][j] && rng_below(&chaos->rng, 8))
			peers[count++] = (allowance_peer_t){
				j + 1, chaos->known[i][j],
				chaos->known[i][j] == chaos->incarnations[j] &&
					allowance_is_young(&chaos->instances[j],
							   chaos->now_ms)
			};
	}
	g_assert_cmpint(allowance_set_peers(&chaos->instances[i], peers, count,
					    chaos->count, stopping,
					    chaos->now_ms),
			==, 0);
}

static void chaos_collect(chaos_t *chaos, uint32_t i)
{
	allowance_message_t message;
	uint64_t to_id;

	while (allowance_next_message(&chaos->instances[i], chaos->now_ms,
				      &to_id, &message)) {
		if (chaos->message_count == CHAOS_MESSAGES)
			continue;
		chaos->messages[chaos->message_count].from = i;
		chaos->messages[chaos->message_count].to = (uint32_t)to_id - 1;
		chaos->messages[chaos->message_count++].message = message;
	}
}

/* In any order; some are lost, and some arrive again later. */
static void chaos_deliver(chaos_t *chaos)
{
	size_t k = rng_below(&chaos->rng, chaos->message_count);
	uint32_t to;

	if (!chaos->message_count)
		return;
	to = chaos->messages[k].to;
	if (rng_below(&chaos->rng, 20))
		allowance_receive(&chaos->instances[to],
				  chaos->messages[k].from + 1,
				  &chaos->messages[k].message, chaos->now_ms);
	if (rng_below(&chaos->rng, 5))
		chaos->messages[k] = chaos->messages[--chaos->message_count];
	chaos_collect(chaos, to);
}

static void chaos_take(chaos_t *chaos, uint32_t i)
{
	size_t c = rng_below(&chaos->rng, CHAOS_CUSTOMERS);
	uint64_t cost = 1 + rng_below(&chaos->rng, CHAOS_RATE / 4);
	size_t n = chaos->charge_count[c];
	double window = 0;

	if (c + 1 == CHAOS_CUSTOMERS && !chaos->configured_ms[i])
		return;
	if (allowance_take(&chaos->instances[i], c + 1, cost,
			   rng_below(&chaos->rng, 2), chaos->now_ms)
		    .verdict == ALLOWANCE_CHARGED) {
		chaos->charges[c][n % CHAOS_CHARGES].at_ms = chaos->now_ms;
		chaos->charges[c][n % CHAOS_CHARGES].cost = (double)cost;
		chaos->charge_count[c]++;
	}
	for (n = chaos->charge_count[c];
	     n-- && chaos->charges[c][n % CHAOS_CHARGES].at_ms + NET_WINDOW_MS >
			    chaos->now_ms;)
		window += chaos->charges[c][n % CHAOS_CHARGES].cost;
	g_assert_cmpfloat(window, <=, 9.0 * CHAOS_RATE * 1.1 + NET_SLACK);
	chaos_collect(chaos, i);
}

static void chaos_step(chaos_t *chaos)
{
	uint32_t i = (uint32_t)rng_below(&chaos->rng, chaos->count);
	uint64_t kind = rng_below(&chaos->rng, 1000);

	chaos->now_ms += rng_below(&chaos->rng, kind % 50 ? 30 : 3000);
	if (kind < 4) {
		chaos_start(chaos, i);
	} else if (kind < 8) {
		chaos_list(chaos, i, true);
		chaos_collect(chaos, i);
		chaos_start(chaos, i);
	} else if (kind < 60) {
		chaos_list(chaos, i, false);
	} else if (kind < 300) {
		chaos_take(chaos, i);
	} else if (kind < 650) {
		chaos_deliver(chaos);
	} else {
		chaos_collect(chaos, i);
	}
	/* The configuration arrives at each within the lag. */
	if (chaos->now_ms >= chaos->changed_ms && !chaos->configured_ms[i])
		chaos_configure(chaos, i, true);
}

static void chaos_check(chaos_t *chaos, double most[CHAOS_CUSTOMERS])
{
	for (uint64_t c = 0; c < CHAOS_CUSTOMERS; c++) {
		double parts = 0;
		double tokens = 0;

		for (uint32_t i = 0; i < chaos->count; i++) {
			allowance_view_t view;

			if (!allowance_view(&chaos->instances[i], c + 1,
					    chaos->now_ms, &view))
				continue;
			parts += view.part;
			tokens += view.tokens;
		}
		g_assert_cmpfloat(parts, <=, 1 + 1e-9);
		/* The burst and what was granted within half a second. */
		g_assert_cmpfloat(tokens, <=,
				  1.5 * (1 + chaos->overage) * CHAOS_RATE + 1);
		most[c] = MAX(most[c], parts);
	}
}

/* Failure: parts were doubled when datagrams were repeated, late or sent to an
 * earlier process, when instances saw different peers, and when a customer was
 * added. */
static void run_chaos(uint64_t seed)
{
	chaos_t *chaos = g_new0(chaos_t, 1);
	double most[CHAOS_CUSTOMERS] = { 0 };

	rng_init(&chaos->rng, seed);
	chaos->overage = seed % 2 ? 0 : OVERAGE;
	chaos->count =
		2 + (uint32_t)rng_below(&chaos->rng, CHAOS_INSTANCES_MAX - 1);
	chaos->now_ms = NOW_MS;
	chaos->changed_ms = NOW_MS + LONG_MS / 2;
	for (uint32_t i = 0; i < chaos->count; i++)
		chaos_start(chaos, i);
	for (int i = 0; i < CHAOS_STEPS; i++) {
		chaos_step(chaos);
		chaos_check(chaos, most);
	}
	/* The histories reach what they are to guard against. */
	for (size_t c = 0; c < CHAOS_CUSTOMERS; c++)
		g_assert_cmpfloat(most[c], >, 0.5);
	for (uint32_t i = 0; i < chaos->count; i++)
		allowance_free(&chaos->instances[i]);
	g_free(chaos);
}

static void test_chaos(void)
{
	seeds_run(CHAOS_SEEDS, run_chaos);
}

/* Networks. */

enum {
	STEADY,
	BURSTING,
	SMALL,
	/** Parts have converged to 0.99 of the limit, and peers are known. */
	START_PHASE_MS = 30000,
	BURST_MS = 6000,
};

#define USUAL 0.55

static const net_sender_t net_senders[NET_SENDERS_MAX] = {
	[STEADY] = { 1400000, USUAL, .costs = { 9199, 875 } },
	[BURSTING] = { 1400000, USUAL, .costs = { 9199, 875 } },
	[SMALL] = { 29000, USUAL, .costs = { 9190, 9190 } },
};

/* Of what was offered: refused although one bucket for all would admit it. */
static double refused_within(const net_sender_t *sender)
{
	return (sender->charged_single - sender->charged) / sender->offered;
}

static void print_sender(const char *title, const net_sender_t *sender)
{
	g_test_message("%s: %u requests, refused within %.4f, refused %.4f, "
		       "worst 8 s %.3f%s",
		       title, sender->requests, refused_within(sender),
		       1 - sender->charged / sender->offered, sender->worst,
		       sender->beyond ? " BEYOND" : "");
}

typedef struct figure_case {
	net_options_t options;
	uint64_t start_ms;
	const char *name;
} figure_case_t;

static const figure_case_t figure_cases[] = {
	{ { 14, 16, 0, NET_OWNERS, 1, 0 }, START_PHASE_MS, "14" },
	{ { 14, 16, 0.025, NET_OWNERS, 1, 0 }, START_PHASE_MS, "14-loss" },
	{ { 114, 16, 0, NET_OWNERS, 1, 0 }, START_PHASE_MS, "114" },
	{ { 114, 16, 0.025, NET_OWNERS, 1, 0 }, START_PHASE_MS, "114-loss" },
	{ { 340, 16, 0, NET_OWNERS, 1, 0 }, 2 * START_PHASE_MS, "340" },
	{ { 340, 16, 0.025, NET_OWNERS, 1, 0 },
	  2 * START_PHASE_MS,
	  "340-loss" },
	{ { 14, 16, 0, NET_OWNERS, 1, OVERAGE }, START_PHASE_MS, "14-overage" },
	{ { 114, 16, 0, NET_OWNERS, 1, OVERAGE },
	  START_PHASE_MS,
	  "114-overage" },
	{ { 340, 16, 0, NET_OWNERS, 1, OVERAGE },
	  2 * START_PHASE_MS,
	  "340-overage" },
	{ { 14, 16, 0, NET_EQUAL, 1, 0 }, START_PHASE_MS, "14-equal" },
	{ { 114, 16, 0, NET_EQUAL, 1, 0 }, START_PHASE_MS, "114-equal" },
	{ { 340, 16, 0, NET_EQUAL, 1, 0 }, START_PHASE_MS, "340-equal" },
	{ { 14, 16, 0, NET_DEMAND, 1, 0 }, START_PHASE_MS, "14-demand" },
	{ { 114, 16, 0, NET_DEMAND, 1, 0 }, START_PHASE_MS, "114-demand" },
	{ { 340, 16, 0, NET_DEMAND, 1, 0 }, START_PHASE_MS, "340-demand" },
};

/*
 * Bounds of requests refused within the limit. A steady one is refused only if
 * three asks or their answers in a row are lost, which happens to 1 ask in
 * 8,000 at 2.5%; other requests at that instance are held with it. What bursts
 * lacks the tokens that are on the way to the owner (1/8 of the limit at the
 * most), are granted and not used, or were lost. A small customer's request is
 * a third of its burst, so that each of these may refuse one; it is counted
 * over all phases, some of which have 30 of its requests.
 */
#define SMALL_REFUSED_MAX 0.08

static void check_figures(const net_sender_t *sender, size_t number, bool burst)
{
	g_assert_false(sender->beyond);
	if (number != SMALL)
		g_assert_cmpfloat(refused_within(sender), <=,
				  burst ? 0.05 : 0.003);
}

/* A small customer sends some 30 requests in a burst of another, too few for a
 * bound of each, so that its bound is that of all phases together. */
static void add_small(const net_sender_t *sender, double *refused,
		      double *offered)
{
	*refused += sender->charged_single - sender->charged;
	*offered += sender->offered;
}

static void test_figures(const void *data)
{
	static const double demands[] = { 1, 4, 7.5, 4 };
	static const uint64_t durations_ms[] = { BURST_MS, BURST_MS, BURST_MS,
						 2 * BURST_MS };
	const figure_case_t *c = data;
	net_t *net = net_new(&c->options, net_senders, NET_SENDERS_MAX);
	double small_refused = 0;
	double small_offered = 0;

	net_run(net, c->start_ms);
	for (size_t i = 0; i < G_N_ELEMENTS(demands); i++) {
		net_reset(net);
		net_sender(net, BURSTING)->demand = USUAL * demands[i];
		net_run(net, durations_ms[i]);
		net_sender(net, BURSTING)->demand = USUAL;
		net_run(net, i ? 2 * BURST_MS : 10 * BURST_MS);
		for (size_t k = 0; k < NET_SENDERS_MAX; k++) {
			const net_sender_t *sender = net_sender(net, k);
			char title[64];

			g_snprintf(title, sizeof(title), "%s x%.1f sender %zu",
				   c->name, demands[i], k);
			print_sender(title, sender);
			if (c->options.policy == NET_OWNERS)
				check_figures(sender, k,
					      k == BURSTING && i > 0);
		}
		add_small(net_sender(net, SMALL), &small_refused,
			  &small_offered);
		/* Failure: a tenth of the limit was never used. */
		if (c->options.overage > 0 && durations_ms[i] > NET_WINDOW_MS)
			g_assert_cmpfloat(net_sender(net, BURSTING)->worst, >=,
					  SHARE_USED_MIN);
		g_test_message("%s x%.1f: busiest instance %.0f bytes/s",
			       c->name, demands[i], net_bytes_per_s(net));
	}
	if (c->options.policy == NET_OWNERS)
		g_assert_cmpfloat(small_refused / small_offered, <=,
				  SMALL_REFUSED_MAX);
	net_free(net);
}

typedef struct failure_case {
	const char *name;
	void (*run)(net_t *net, uint32_t instances);
	/** Of the steady customer, refused within the limit while it runs, and
	 * after that. */
	double refused_max;
	double after_max;
} failure_case_t;

static void kill_owner(net_t *net, uint32_t instances)
{
	uint32_t owner = net_owner(net, STEADY);

	(void)instances;
	net_kill(net, owner);
	net_run(net, 6000);
	net_start(net, owner);
	net_run(net, 6000);
}

static void kill_half(net_t *net, uint32_t instances)
{
	for (uint32_t i = 0; i < instances; i += 2)
		net_kill(net, i);
	net_run(net, 3000);
	for (uint32_t i = 0; i < instances; i += 2)
		net_start(net, i);
	net_run(net, 9000);
}

static void kill_all(net_t *net, uint32_t instances)
{
	net_kill_some(net, 0, instances, 700);
	net_run(net, 11300);
}

/* Counts from 1.5 s after the start of the processes. */
static void kill_all_after(net_t *net, uint32_t instances)
{
	net_kill_some(net, 0, instances, 700);
	net_run(net, 1500);
	net_reset(net);
	net_run(net, 4000);
}

/* All of 55% from that after `skipped` others on. */
static void kill_many(net_t *net, uint32_t instances, uint32_t skipped)
{
	net_sender(net, BURSTING)->demand = 2;
	net_kill_some(net, skipped, instances * 55 / 100, 700);
	net_run(net, 3000);
}

static void kill_with_owner(net_t *net, uint32_t instances)
{
	kill_many(net, instances, net_owner(net, BURSTING));
	net_run(net, 6000);
}

static void kill_without_owner(net_t *net, uint32_t instances)
{
	kill_many(net, instances, net_owner(net, BURSTING) + 1);
	net_run(net, 6000);
}

static void kill_twice(net_t *net, uint32_t instances)
{
	kill_many(net, instances, 0);
	kill_many(net, instances, instances * 45 / 100);
	net_run(net, 6000);
}

static void kill_all_then_many(net_t *net, uint32_t instances)
{
	for (uint64_t pause_ms = 1000; pause_ms <= 4000; pause_ms += 1000) {
		net_sender(net, BURSTING)->demand = 2;
		net_kill_some(net, 0, instances, 700);
		net_run(net, pause_ms);
		kill_many(net, instances, net_owner(net, BURSTING) + 1);
		net_run(net, 20000);
	}
}

/* All of one side restart while they can't hear the others. */
static void kill_side(net_t *net, uint32_t instances)
{
	for (uint32_t side = 0; side < 2; side++) {
		net_sender(net, BURSTING)->demand = 2;
		net_cut(net, instances / 3);
		net_run(net, 1);
		net_kill_some(net, side ? instances / 3 : 0,
			      side ? instances - instances / 3 : instances / 3,
			      700);
		net_run(net, 9000);
		net_cut(net, 0);
		net_run(net, 15000);
	}
}

static void cut_in_two(net_t *net, uint32_t instances)
{
	net_cut(net, instances / 3);
	net_run(net, 20000);
	net_cut(net, 0);
	net_run(net, 10000);
}

static void freeze_owner(net_t *net, uint32_t instances)
{
	(void)instances;
	net_freeze(net, net_owner(net, STEADY), 8000);
	net_run(net, 16000);
}

static void join_by_the_dozen(net_t *net, uint32_t instances)
{
	for (uint32_t i = 0; i < instances / 3; i++)
		net_stop(net, i);
	net_run(net, 20000);
	net_reset(net);
	for (uint32_t i = 0; i < instances / 3; i++)
		net_start(net, i);
	net_run(net, 10000);
}

static void stop_in_turn(net_t *net, uint32_t instances)
{
	for (uint32_t i = 0; i < instances; i++) {
		net_stop(net, i);
		net_run(net, 1000);
		net_start(net, i);
		net_run(net, instances > 100 ? 200 : 3000);
	}
}

static void change_limit(net_t *net, uint32_t instances)
{
	uint64_t rate = net_sender(net, STEADY)->rate_per_s;

	(void)instances;
	net_set_rate(net, STEADY, rate * 3 / 2);
	net_run(net, 10000);
	net_set_rate(net, STEADY, rate);
	net_run(net, 10000);
}

static void run_usual(net_t *net, uint32_t instances)
{
	(void)instances;
	net_run(net, 20000);
}

/*
 * What a process held is lost when it is killed or frozen, and is restored in
 * 4 s (63%), or within a second of the start if all have restarted; others
 * notice after 2 to 2.5 s. Nothing is lost in planned stops,
 * joins and changes of the limit, so that the bounds there are near those of
 * the usual operation.
 */
static const failure_case_t failure_cases[] = {
	{ "owner-killed", kill_owner, 0.45, 0.003 },
	{ "half-killed", kill_half, 0.55, 0.003 },
	{ "all-killed", kill_all, 0.15, 0.003 },
	{ "all-killed-after", kill_all_after, 0.03, 0.003 },
	{ "with-owner", kill_with_owner, 0.55, 0.003 },
	{ "without-owner", kill_without_owner, 0.55, 0.003 },
	{ "twice", kill_twice, 0.55, 0.003 },
	{ "all-then-many", kill_all_then_many, 0.55, 0.003 },
	{ "one-side", kill_side, 0.55, 0.003 },
	{ "two-sides", cut_in_two, 0.08, 0.003 },
	{ "owner-frozen", freeze_owner, 0.35, 0.003 },
	{ "join-by-the-dozen", join_by_the_dozen, 0.01, 0.003 },
	{ "stop-in-turn", stop_in_turn, 0.005, 0.003 },
	{ "limit-changes", change_limit, 0.003, 0.003 },
	{ "nothing", run_usual, 0.003, 0.003 },
};

static void run_failure(const failure_case_t *c, uint32_t instances,
			uint64_t seed, double overage)
{
	net_options_t options = { instances,  16,   0.025,
				  NET_OWNERS, seed, overage };
	net_t *net = net_new(&options, net_senders, NET_SENDERS_MAX);

	net_run(net, START_PHASE_MS);
	net_reset(net);
	c->run(net, instances);
	for (size_t i = 0; i < NET_SENDERS_MAX; i++) {
		print_sender(c->name, net_sender(net, i));
		g_assert_false(net_sender(net, i)->beyond);
	}
	g_assert_cmpfloat(refused_within(net_sender(net, STEADY)), <=,
			  c->refused_max);
	net_sender(net, BURSTING)->demand = USUAL;
	net_run(net, START_PHASE_MS);
	net_reset(net);
	net_run(net, START_PHASE_MS);
	print_sender("after", net_sender(net, STEADY));
	g_assert_cmpfloat(refused_within(net_sender(net, STEADY)), <=,
			  c->after_max);
	net_free(net);
}

static void test_failure(const void *data)
{
	run_failure(data, 14, 1, 0);
	run_failure(data, 114, 2, 0);
	run_failure(data, 14, 3, OVERAGE);
	run_failure(data, 114, 4, OVERAGE);
}

static void add_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(figure_cases); i++) {
		char *path = g_strdup_printf("/allowance/figures/%s",
					     figure_cases[i].name);

		g_test_add_data_func(path, &figure_cases[i], test_figures);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(failure_cases); i++) {
		char *path = g_strdup_printf("/allowance/failure/%s",
					     failure_cases[i].name);

		g_test_add_data_func(path, &failure_cases[i], test_failure);
		g_free(path);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(balance_cases); i++) {
		char *path = g_strdup_printf("/allowance/balance/%s",
					     balance_cases[i].name);

		g_test_add_data_func(path, &balance_cases[i], test_balance);
		g_free(path);
	}
	g_test_add_func("/allowance/limits", test_limits);
	g_test_add_func("/allowance/first-start", test_first_start);
	g_test_add_func("/allowance/too-many", test_too_many);
	g_test_add_func("/allowance/grant-once", test_grant_once);
	g_test_add_func("/allowance/grant-late", test_grant_late);
	g_test_add_func("/allowance/limit-falls", test_limit_falls);
	g_test_add_func("/allowance/message", test_message);
	g_test_add_func("/allowance/chaos", test_chaos);
	add_cases();
	return g_test_run();
}
