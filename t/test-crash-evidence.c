/* Crash evidence: the part or the request that crashes engines is blocked, and
 * what it shares with sound requests is not. */
#include <glib.h>
#include <string.h>

#include "process/crash_evidence.h"
#include "process/rng.h"
#include "t/lib/seeds.h"
#include "t/lib/sim.h"

enum {
	/** Ids of parts; those of requests are above. */
	MANUAL = 1,
	SECTION = 2,
	DEADLY = 3,
	OTHER = 10,
	R1 = 101,
	R2 = 102,
	R3 = 103,
	R4 = 104,
	NEWS_MAX = 40,
};

static const uint32_t depth_of[] = {
	[MANUAL] = 0, [SECTION] = 1, [DEADLY] = 2
};

static crash_key_t key_of(uint64_t id)
{
	if (id >= R1)
		return (crash_key_t){ .id = id, .depth = CRASH_KEY_REQUEST };
	if (id <= DEADLY)
		return (crash_key_t){ .id = id, .depth = depth_of[id] };
	return (crash_key_t){ .id = id, .depth = 1 };
}

static crash_news_t suspect(uint64_t crash, uint64_t id, uint64_t request)
{
	return (crash_news_t){
		.kind = CRASH_NEWS_SUSPECT,
		.key = key_of(id),
		.crash = crash,
		.request = request,
	};
}

static bool clear_key(crash_evidence_t *evidence, uint64_t id, uint64_t now_ms)
{
	const crash_news_t news = { .kind = CRASH_NEWS_CLEARED,
				    .key = key_of(id) };

	return crash_evidence_apply(evidence, &news, now_ms);
}

static bool block_key(crash_evidence_t *evidence, uint64_t id, uint32_t probes,
		      uint32_t age_ms, uint64_t now_ms)
{
	const crash_news_t news = { .kind = CRASH_NEWS_BLOCKED,
				    .key = key_of(id),
				    .probes = probes,
				    .age_ms = age_ms };

	return crash_evidence_apply(evidence, &news, now_ms);
}

static bool add_suspect(crash_evidence_t *evidence, uint64_t crash, uint64_t id,
			uint64_t request, uint64_t now_ms)
{
	const crash_news_t news = suspect(crash, id, request);

	return crash_evidence_apply(evidence, &news, now_ms);
}

static void assert_blocked(const crash_evidence_t *evidence,
			   const uint64_t *ids, const char *name)
{
	size_t count = 0;

	g_test_message("%s", name);
	for (; ids[count]; count++)
		g_assert_nonnull(crash_evidence_blocked(evidence, ids[count]));
	g_assert_cmpuint(evidence->blocked_count, ==, count);
}

/* ---- Cases ---- */

/** A run that was lost, or an answer that began. */
typedef struct step {
	uint64_t at_ms;
	uint64_t crash; /**< 0: the answer of a run with these parts began. */
	uint64_t request;
	uint64_t parts[4];
} step_t;

static const struct {
	const char *name;
	step_t steps[12];
	uint64_t blocked[4];
} cases[] = {
	{ "a deadly part is not found, or what it shares is blocked",
	  { { 5046, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 5046, 1, 201, { MANUAL, OTHER } },
	    { 5046, 1, 202, { OTHER + 1, OTHER + 2 } },
	    { 5368, 2, R2, { MANUAL, SECTION, DEADLY } },
	    { 5368, 2, 203, { MANUAL, OTHER + 3 } },
	    { 5368, 2, 201, { MANUAL, OTHER } },
	    { 5529, 3, R1, { MANUAL, SECTION, DEADLY } },
	    { 5529, 3, 204, { MANUAL, OTHER + 4 } } },
	  { DEADLY } },
	{ "two crashes are enough",
	  { { 5046, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 5368, 2, R2, { MANUAL, SECTION, DEADLY } } },
	  { 0 } },
	{ "a section is blocked for crashes that a part below it explains",
	  { { 5046, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 5368, 2, R2, { MANUAL, SECTION, DEADLY } },
	    { 5529, 3, R3, { MANUAL, SECTION, DEADLY } },
	    { 5699, 4, R4, { MANUAL, SECTION, DEADLY } },
	    { 5821, 5, R2, { MANUAL, SECTION, DEADLY } },
	    { 6170, 6, 201, { MANUAL, SECTION } },
	    { 6647, 7, 202, { MANUAL, SECTION } } },
	  { DEADLY } },
	{ "a section that crashes engines without the part is not found",
	  { { 5046, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 5368, 2, R2, { MANUAL, SECTION, DEADLY } },
	    { 5529, 3, R3, { MANUAL, SECTION, DEADLY } },
	    { 6170, 6, 201, { SECTION } },
	    { 6647, 7, 202, { SECTION } },
	    { 6847, 8, 203, { SECTION } } },
	  { DEADLY, SECTION } },
	{ "a hot part is blocked in spite of an answer between the crashes",
	  { { 1000, 1, R1, { MANUAL } },
	    { 1300, 2, R2, { MANUAL } },
	    { 1400, 0, R3, { MANUAL } },
	    { 1600, 3, R4, { MANUAL } },
	    { 1900, 4, R1, { MANUAL } } },
	  { 0 } },
	{ "crashes before an answer count after it",
	  { { 1000, 1, R1, { MANUAL } },
	    { 1050, 0, R3, { MANUAL } },
	    { 1300, 2, R2, { MANUAL } },
	    { 1600, 3, R4, { MANUAL } },
	    { 1900, 4, R1, { MANUAL } } },
	  { MANUAL } },
	{ "engines that fail together block what they were running",
	  { { 1000, 1, R1, { MANUAL, SECTION } },
	    { 1040, 2, R2, { MANUAL, SECTION } },
	    { 1060, 3, R3, { MANUAL, OTHER } },
	    { 1099, 4, R4, { MANUAL, SECTION } } },
	  { 0 } },
	{ "a common failure counts more than once",
	  { { 1000, 1, R1, { MANUAL } },
	    { 1099, 2, R2, { MANUAL } },
	    { 1150, 3, R3, { MANUAL } } },
	  { 0 } },
	{ "a group grows for as long as crashes follow each other",
	  { { 1000, 1, R1, { MANUAL } },
	    { 1090, 2, R2, { MANUAL } },
	    { 1100, 3, R3, { MANUAL } },
	    { 1180, 4, R4, { MANUAL } },
	    { 1200, 5, R1, { MANUAL } } },
	  { MANUAL } },
	{ "parts of one request that is sent again are blocked",
	  { { 1000, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 2000, 2, R1, { MANUAL, SECTION, DEADLY } },
	    { 3000, 3, R1, { MANUAL, SECTION, DEADLY } } },
	  { R1 } },
	{ "a part is blocked for a bystander of a request that is sent again",
	  { { 1000, 1, R1, { MANUAL, SECTION } },
	    { 1000, 1, R2, { MANUAL, OTHER } },
	    { 4000, 2, R1, { MANUAL, SECTION } },
	    { 7000, 3, R1, { MANUAL, SECTION } } },
	  { R1 } },
	{ "a blocked request hides the part that crashes engines",
	  { { 1000, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 2000, 2, R1, { MANUAL, SECTION, DEADLY } },
	    { 3000, 3, R1, { MANUAL, SECTION, DEADLY } },
	    { 4000, 4, R2, { MANUAL, SECTION, DEADLY } } },
	  { R1, DEADLY } },
	{ "a deadly first part is not found",
	  { { 1000, 1, R1, { MANUAL, OTHER } },
	    { 1300, 2, R2, { MANUAL, OTHER + 1 } },
	    { 1600, 3, R3, { MANUAL, OTHER + 2 } },
	    { 1900, 0, R4, { OTHER + 3 } } },
	  { MANUAL } },
	{ "a deeper part that crashed engines twice hides a deadly one",
	  { { 1000, 1, R1, { MANUAL, OTHER } },
	    { 1300, 2, R2, { MANUAL, OTHER } },
	    { 1600, 3, R3, { MANUAL, OTHER + 1 } },
	    { 3100, 0, R4, { OTHER + 2 } } },
	  { MANUAL } },
	{ "a part is blocked before news of a deeper one arrives",
	  { { 1000, 1, R1, { MANUAL, SECTION, DEADLY } },
	    { 1300, 2, R2, { MANUAL, SECTION, DEADLY } },
	    { 1600, 3, R3, { MANUAL, SECTION } } },
	  { 0 } },
};

static void apply_step(crash_evidence_t *evidence, const step_t *step)
{
	for (size_t i = 0; step->parts[i]; i++) {
		if (step->crash)
			add_suspect(evidence, step->crash, step->parts[i],
				    step->request, step->at_ms);
		else
			clear_key(evidence, step->parts[i], step->at_ms);
	}
	if (step->crash)
		add_suspect(evidence, step->crash, step->request, step->request,
			    step->at_ms);
}

static void test_case(size_t index)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	crash_evidence_init(evidence);
	g_assert_true(crash_evidence_is_empty(evidence));
	for (const step_t *step = cases[index].steps; step->at_ms; step++)
		apply_step(evidence, step);
	assert_blocked(evidence, cases[index].blocked, cases[index].name);
}

static void test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		test_case(i);
}

/* ---- Order of news ---- */

static const uint64_t deadly_request[] = { MANUAL, SECTION, DEADLY };

/** News of four crashes of deadly requests and a bystander. */
static size_t make_timeline(crash_news_t *news, uint64_t now_ms)
{
	static const struct {
		uint64_t at_ms;
		uint64_t request;
	} crashes[] = {
		{ 5046, R1 }, { 5368, R2 }, { 5529, R1 }, { 5699, R3 }
	};
	size_t count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(crashes); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(deadly_request); j++) {
			news[count] = suspect(i + 1, deadly_request[j],
					      crashes[i].request);
			news[count++].age_ms =
				(uint32_t)(now_ms - crashes[i].at_ms);
		}
		news[count] = suspect(i + 1, MANUAL, 200 + i);
		news[count++].age_ms = (uint32_t)(now_ms - crashes[i].at_ms);
	}
	return count;
}

typedef enum news_order {
	TWICE,
	REVERSE,
	ONE_LOST,
	SHUFFLED,
} news_order_t;

static void arrange_news(crash_news_t *news, size_t *count, news_order_t order,
			 rng_t *rng)
{
	switch (order) {
	case TWICE:
		memcpy(news + *count, news, *count * sizeof(*news));
		*count *= 2;
		return;
	case REVERSE:
		for (size_t i = 0; i < *count / 2; i++) {
			const crash_news_t other = news[i];

			news[i] = news[*count - 1 - i];
			news[*count - 1 - i] = other;
		}
		return;
	case ONE_LOST:
		(*count)--;
		news[rng_below(rng, *count + 1)] = news[*count];
		return;
	case SHUFFLED:
		for (size_t i = 0; i < *count; i++) {
			const size_t j = i + rng_below(rng, *count - i);
			const crash_news_t other = news[i];

			news[i] = news[j];
			news[j] = other;
		}
		return;
	}
}

static void run_news_order(news_order_t order, rng_t *rng)
{
	static const uint64_t expected[] = { DEADLY, 0 };
	static const char *const names[] = {
		[TWICE] = "repeated news counts twice",
		[REVERSE] = "news in reverse order blocks something else",
		[ONE_LOST] = "lost news blocks something else",
		[SHUFFLED] = "news in another order blocks something else",
	};
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	crash_news_t news[NEWS_MAX];
	const uint64_t now_ms = 30000;
	size_t count = make_timeline(news, now_ms);

	crash_evidence_init(evidence);
	arrange_news(news, &count, order, rng);
	for (size_t i = 0; i < count; i++)
		crash_evidence_apply(evidence, &news[i], now_ms);
	assert_blocked(evidence, expected, names[order]);
	for (size_t i = 1; i < evidence->record_count; i++)
		g_assert_cmpuint(evidence->records[i - 1].time_ms, <=,
				 evidence->records[i].time_ms);
}

static void run_news_orders(uint64_t seed)
{
	rng_t rng;

	rng_init(&rng, seed);
	for (int order = TWICE; order <= SHUFFLED; order++)
		run_news_order((news_order_t)order, &rng);
}

static void test_news_order(void)
{
	seeds_run(200, run_news_orders);
}

/** Failure: the same news is sent on and on. */
static void test_repeated_news(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	crash_evidence_init(evidence);
	g_assert_true(add_suspect(evidence, 1, MANUAL, R1, 1000));
	g_assert_false(add_suspect(evidence, 1, MANUAL, R1, 1001));
	g_assert_true(add_suspect(evidence, 1, MANUAL, R2, 1002));
	g_assert_true(crash_evidence_has(evidence, MANUAL));
	g_assert_true(clear_key(evidence, MANUAL, 1003));
	g_assert_false(clear_key(evidence, MANUAL, 1004));
	g_assert_true(crash_evidence_is_empty(evidence));
	g_assert_true(block_key(evidence, DEADLY, 0, 0, 1005));
	g_assert_false(block_key(evidence, DEADLY, 0, 0, 1100));
	g_assert_true(block_key(evidence, DEADLY, 1, 0, 1101));
	g_assert_false(block_key(evidence, DEADLY, 0, 96, 1102));
	g_assert_cmpuint(crash_evidence_blocked(evidence, DEADLY)->blocked_ms,
			 ==, 1005);
	g_assert_cmpuint(crash_evidence_blocked(evidence, DEADLY)->probes, ==,
			 1);
}

/** Failure: late news of a crash before an answer makes a suspect again. */
static void test_late_suspect(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	crash_news_t news = suspect(1, MANUAL, R1);

	crash_evidence_init(evidence);
	g_assert_false(clear_key(evidence, MANUAL, 1000));
	news.age_ms = 200;
	g_assert_false(crash_evidence_apply(evidence, &news, 1200));
	g_assert_true(crash_evidence_is_empty(evidence));
	news.age_ms = 199;
	g_assert_true(crash_evidence_apply(evidence, &news, 1200));
}

/** Failure: other instances' old reports block a cleared key again. */
static void test_late_block(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	crash_evidence_init(evidence);
	g_assert_true(block_key(evidence, DEADLY, 0, 300, 1000));
	g_assert_true(clear_key(evidence, DEADLY, 2000));
	g_assert_null(crash_evidence_blocked(evidence, DEADLY));
	for (uint32_t age_ms = 1300; age_ms < 30000; age_ms += 1000)
		g_assert_false(
			block_key(evidence, DEADLY, 0, age_ms, 700 + age_ms));
	g_assert_true(crash_evidence_is_empty(evidence));
	g_assert_true(block_key(evidence, DEADLY, 0, 0, 31000));
	g_assert_nonnull(crash_evidence_blocked(evidence, DEADLY));
}

/** Failure: a part stays hidden after a block that explained its crashes was
 * wrong. */
static void test_wrong_block(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	crash_evidence_init(evidence);
	for (uint64_t i = 1; i <= 4; i++) {
		add_suspect(evidence, i, SECTION, 100 + i, 1000 * i);
		add_suspect(evidence, i, DEADLY, 100 + i, 1000 * i);
	}
	g_assert_nonnull(crash_evidence_blocked(evidence, DEADLY));
	g_assert_null(crash_evidence_blocked(evidence, SECTION));
	clear_key(evidence, DEADLY, 5000);
	g_assert_null(crash_evidence_blocked(evidence, DEADLY));
	g_assert_nonnull(crash_evidence_blocked(evidence, SECTION));
}

/* ---- Paths that are lost ---- */

static bool refute(crash_evidence_t *evidence, uint64_t crash, uint32_t age_ms,
		   uint64_t now_ms)
{
	const crash_news_t news = { .kind = CRASH_NEWS_REFUTED,
				    .crash = crash,
				    .age_ms = age_ms };

	return crash_evidence_apply(evidence, &news, now_ms);
}

/** Loses connections to the engines 1 to `count`, 200 ms after each other. */
static void lose_engines(crash_evidence_t *evidence, uint64_t count,
			 uint64_t from_ms)
{
	crash_evidence_init(evidence);
	for (uint64_t i = 1; i <= count; i++)
		add_suspect(evidence, i, MANUAL, R1 + i,
			    from_ms + 200 * (i - 1));
}

/** Failure: paths that were cut block a part although the engines live, or a
 * refuted crash takes others with it. */
static void test_refuted(void)
{
	static const struct {
		const char *name;
		uint64_t crashes;
		uint64_t refuted[4];
		uint32_t age_ms;
		bool blocked;
	} refutations[] = {
		{ "a cut path blocks a part", 3, { 2 }, 0, false },
		{ "a block outlives all of its crashes",
		  3,
		  { 1, 2, 3 },
		  0,
		  false },
		{ "a block ends with three crashes left", 4, { 2 }, 0, true },
		{ "of four crashes two are enough", 4, { 2, 4 }, 0, false },
		{ "another engine's life ends a block", 3, { 9 }, 0, true },
		{ "life before the crash refutes it", 3, { 2 }, 900, true },
	};
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(refutations); i++) {
		g_test_message("%s", refutations[i].name);
		lose_engines(evidence, refutations[i].crashes, 1000);
		g_assert_nonnull(crash_evidence_blocked(evidence, MANUAL));
		for (size_t j = 0; refutations[i].refuted[j]; j++)
			refute(evidence, refutations[i].refuted[j],
			       refutations[i].age_ms, 2000);
		g_assert_cmpint(crash_evidence_blocked(evidence, MANUAL) !=
					NULL,
				==, refutations[i].blocked);
	}
}

/** Failure: late or repeated news brings a refuted crash or its block back, or
 * the real crash of that engine does not count. */
static void test_news_after_refutation(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	crash_news_t late = suspect(2, MANUAL, R2);

	lose_engines(evidence, 3, 1000);
	g_assert_true(refute(evidence, 2, 0, 2000));
	g_assert_false(refute(evidence, 2, 100, 2100));
	late.age_ms = 1000;
	g_assert_false(crash_evidence_apply(evidence, &late, 2200));
	for (uint32_t age_ms = 800; age_ms < 30000; age_ms += 1000)
		g_assert_false(
			block_key(evidence, MANUAL, 0, age_ms, 1400 + age_ms));
	g_assert_null(crash_evidence_blocked(evidence, MANUAL));
	g_assert_true(add_suspect(evidence, 2, MANUAL, R4, 33000));
	g_assert_nonnull(crash_evidence_blocked(evidence, MANUAL));
}

/** Failure: a probe that lost its path ends the block that it tested. */
static void test_refuted_after_block(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	crash_evidence_init(evidence);
	g_assert_true(block_key(evidence, MANUAL, 1, 0, 1000));
	add_suspect(evidence, 7, MANUAL, R1, 12000);
	g_assert_true(refute(evidence, 7, 0, 13000));
	g_assert_nonnull(crash_evidence_blocked(evidence, MANUAL));
}

/** Failure: an answer that a dead process or its successor may have sent
 * refutes a crash. */
static void test_outlived(void)
{
	static const struct {
		uint64_t crash;
		uint64_t connected_ms;
		uint64_t sent_ms;
		bool outlived;
	} answers[] = {
		{ 1, 4499, 5501, true },  { 2, 4499, 5501, false },
		{ 1, 0, 5501, false },	  { 1, 4500, 5501, false },
		{ 1, 5200, 9000, false }, { 1, 100, 4900, false },
		{ 1, 100, 5500, false },  { 1, 100, 99000, true },
	};
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);

	lose_engines(evidence, 1, 5000);
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++)
		g_assert_cmpint(
			crash_evidence_is_outlived(evidence, answers[i].crash,
						   answers[i].connected_ms,
						   answers[i].sent_ms),
			==, answers[i].outlived);
}

/* ---- Probes ---- */

static const struct {
	const char *name;
	uint64_t at_ms; /**< After the block. */
	uint64_t rank;
	uint64_t keys[3];
	crash_verdict_t verdict;
	uint64_t retry_after_ms;
} decisions[] = {
	{ "other keys are refused", 0, 0, { OTHER }, CRASH_RUN, 0 },
	{ "a blocked key runs", 0, 3, { DEADLY }, CRASH_REFUSE, 10000 },
	{ "a probe is early", 9999, 3, { DEADLY, OTHER }, CRASH_REFUSE, 1 },
	{ "not the owner probes", 10000, 2, { DEADLY }, CRASH_REFUSE, 1000 },
	{ "two owners probe", 10000, 3, { DEADLY, 9 }, CRASH_REFUSE, 1000 },
	{ "the probe is refused", 10000, 3, { DEADLY }, CRASH_PROBE, 0 },
	{ "it is not counted", 10001, 3, { DEADLY }, CRASH_REFUSE, 29999 },
	{ "the second is early", 39999, 3, { DEADLY }, CRASH_REFUSE, 1 },
	{ "not all are owned", 40000, 3, { DEADLY, 9 }, CRASH_REFUSE, 1000 },
	{ "all are owned and due", 40000, 3, { DEADLY, 13 }, CRASH_PROBE, 0 },
	{ "a missed one is due at once",
	  40001,
	  3,
	  { 13 },
	  CRASH_REFUSE,
	  119999 },
	{ "not the latest counts",
	  40001,
	  3,
	  { DEADLY, 13 },
	  CRASH_REFUSE,
	  119999 },
};

static void test_probes(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	const uint64_t blocked_ms = 500;

	crash_evidence_init(evidence);
	block_key(evidence, DEADLY, 0, 0, blocked_ms);
	block_key(evidence, 9, 0, 0, blocked_ms);
	block_key(evidence, 13, 0, 0, blocked_ms);
	for (size_t i = 0; i < G_N_ELEMENTS(decisions); i++) {
		const instance_place_t owner = { (uint32_t)decisions[i].rank,
						 5 };
		crash_key_t keys[3];
		size_t count = 0;
		uint64_t retry_after_ms = 0;

		g_test_message("%s", decisions[i].name);
		for (; count < 3 && decisions[i].keys[count]; count++)
			keys[count] = key_of(decisions[i].keys[count]);
		g_assert_cmpint(
			crash_evidence_decide(evidence, keys, count, &owner,
					      blocked_ms + decisions[i].at_ms,
					      &retry_after_ms),
			==, decisions[i].verdict);
		g_assert_cmpuint(retry_after_ms, ==,
				 decisions[i].retry_after_ms);
	}
}

/** Failure: the time of a probe overflows and every run is one. */
static void test_probe_overflow(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	const instance_place_t owner = { 0, 1 };
	const crash_key_t key = key_of(DEADLY);
	static const uint32_t probes[] = { 20, 25, 26, 32, 1000, UINT32_MAX };

	crash_evidence_init(evidence);
	for (size_t i = 0; i < G_N_ELEMENTS(probes); i++) {
		block_key(evidence, DEADLY, probes[i], 0, 100);
		g_assert_cmpint(crash_evidence_decide(evidence, &key, 1, &owner,
						      1000000000, NULL),
				==, CRASH_REFUSE);
	}
}

/** Failure: another instance cannot adopt a block as described. */
static void test_describe(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	g_autofree crash_evidence_t *other = g_new(crash_evidence_t, 1);
	crash_news_t news;

	crash_evidence_init(evidence);
	crash_evidence_init(other);
	block_key(evidence, DEADLY, 2, 0, 1000);
	crash_evidence_describe_blocked(evidence, 0, 5000, &news);
	g_assert_true(crash_evidence_apply(other, &news, 105000));
	g_assert_cmpuint(other->blocked[0].blocked_ms, ==, 101000);
	g_assert_cmpuint(other->blocked[0].probes, ==, 2);
	g_assert_cmpuint(other->blocked[0].key.depth, ==, 2);
	/* A clock that starts later than the block. */
	crash_evidence_init(other);
	g_assert_true(crash_evidence_apply(other, &news, 10));
	g_assert_cmpuint(other->blocked[0].blocked_ms, ==, 0);
}

/* ---- Limits ---- */

/** Failure: a crash is kept after its time, or counted with later ones. */
static void test_ttl(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	const instance_place_t owner = { 0, 1 };
	const crash_key_t key = key_of(MANUAL);
	crash_news_t news = suspect(9, MANUAL, R1);

	crash_evidence_init(evidence);
	add_suspect(evidence, 1, MANUAL, R1, 0);
	add_suspect(evidence, 2, MANUAL, R2, 1000);
	add_suspect(evidence, 3, MANUAL, R3, CRASH_EVIDENCE_TTL_MS);
	g_assert_cmpuint(evidence->blocked_count, ==, 0);
	g_assert_cmpuint(evidence->record_count, ==, 2);
	crash_evidence_decide(evidence, &key, 1, &owner,
			      2 * CRASH_EVIDENCE_TTL_MS - 1, NULL);
	g_assert_false(crash_evidence_is_empty(evidence));
	crash_evidence_decide(evidence, &key, 1, &owner,
			      2 * CRASH_EVIDENCE_TTL_MS, NULL);
	g_assert_true(crash_evidence_is_empty(evidence));
	news.age_ms = CRASH_EVIDENCE_TTL_MS;
	g_assert_false(crash_evidence_apply(evidence, &news, 1000000));
	g_assert_true(crash_evidence_is_empty(evidence));
}

/** Failure: a full table is written beyond its end, or keeps old entries. */
static void test_full_tables(void)
{
	g_autofree crash_evidence_t *evidence = g_new(crash_evidence_t, 1);
	const uint64_t crashes = 3 * CRASH_EVIDENCE_CRASHES_MAX;

	crash_evidence_init(evidence);
	for (uint64_t i = 0; i < crashes; i++) {
		for (uint64_t j = 0; j < 2 * CRASH_EVIDENCE_SUSPECTS_MAX; j++)
			add_suspect(evidence, 1 + i, 1000 + j, 1000 + j,
				    10 * i);
	}
	g_assert_cmpuint(evidence->record_count, ==,
			 CRASH_EVIDENCE_CRASHES_MAX);
	g_assert_cmpuint(evidence->records[0].crash, ==,
			 1 + crashes - CRASH_EVIDENCE_CRASHES_MAX);
	g_assert_cmpuint(evidence->blocked_count, ==,
			 CRASH_EVIDENCE_SUSPECTS_MAX);
	for (uint64_t i = 1; i <= 3 * CRASH_EVIDENCE_BLOCKED_MAX; i++)
		block_key(evidence, i, 0, 0, 100000 + i);
	g_assert_cmpuint(evidence->blocked_count, ==,
			 CRASH_EVIDENCE_BLOCKED_MAX);
	g_assert_null(crash_evidence_blocked(evidence, 1));
	g_assert_nonnull(crash_evidence_blocked(
		evidence, 3 * CRASH_EVIDENCE_BLOCKED_MAX));
	for (uint64_t i = 1; i <= 3 * CRASH_EVIDENCE_CLEARED_MAX; i++)
		clear_key(evidence, i, 200000);
	g_assert_cmpuint(evidence->blocked_count, ==, 0);
}

/* ---- Load ---- */

enum {
	INSTANCES = 14,
	ENGINES_MAX = 18,
	RUNS_MAX = 4096,
	PARTS_MAX = 4,
	REQUEST_KEYS_MAX = PARTS_MAX + 1,
	MANUALS = 4,
	SECTIONS = 62,
	FIRST_DEADLY_MS = 5000,
	LOAD_END_MS = 60000,
	ARRIVAL_MEAN_US = 62500,
	NEWS_DELAY_MAX_MS = 250,
	NEWS_LOST_PERCENT = 2,
	DESCRIBE_INTERVAL_MS = 1000,
	RESTART_MS = 3300,
	/** Wait for a live engine. */
	ENGINE_WAIT_MS = 50,
	LATE_MS = 3000,
	SOUND_CHECK_MS = 6000,
	LATE_RUNS_MAX = 3,
	ALLOWED_PERCENT_MIN = 90,
	LOAD_SEEDS = 20,
	CHECKED_CRASHES = 5,
	/** The first instances lose each run in a part of each period, and
	 * others are answered by the engine later. */
	CUT_INSTANCES = 5,
	CUT_PERIOD_MS = 10000,
	CUT_MS = 4000,
	CUT_RUN_MS = 50,
	ANSWERED_AFTER_MS = 700,
	/** Ids of parts; those of requests and their own parts are above. */
	FIRST_MANUAL = 1000,
	FIRST_SECTION = 2000,
	DEADLY_PART = 3000,
	FIRST_OWN = 10000,
};

typedef enum run_state {
	RUN_WAITING,
	RUN_PREFILL,
	RUN_ENDED,
} run_state_t;

typedef struct run {
	crash_key_t keys[REQUEST_KEYS_MAX]; /**< The last is the request. */
	size_t key_count;
	size_t instance;
	size_t engine;
	uint64_t incarnation; /**< Of the engine that runs it. */
	uint32_t attempts;
	bool deadly;
	bool client_retries;
	run_state_t state;
} run_t;

typedef struct load_engine {
	uint64_t incarnation;
	bool is_up;
} load_engine_t;

typedef struct delivery {
	crash_news_t news;
	size_t instance;
} delivery_t;

typedef struct load {
	sim_t sim;
	crash_evidence_t instances[INSTANCES];
	load_engine_t engines[ENGINES_MAX];
	size_t engine_count;
	uint32_t deadly_percent;
	uint64_t next_id;
	run_t runs[RUNS_MAX];
	size_t run_count;
	uint64_t crash_ms[RUNS_MAX];
	size_t crash_count;
	uint64_t deadly_start_ms[RUNS_MAX];
	size_t deadly_start_count;
	uint64_t sound_ms[RUNS_MAX];
	bool sound_allowed[RUNS_MAX];
	size_t sound_count;
	uint64_t blocked_ms; /**< First block of the deadly part; 0: none. */
	size_t blocked_crashes;
	uint64_t blocked_everywhere_ms;
	bool section_blocked[SECTIONS];
	size_t others_blocked;
	size_t manuals_blocked;
} load_t;

/** Figures of all seeds of one kind of load. */
typedef struct figures {
	size_t crashes_max;
	size_t crashes_sum;
	uint64_t block_delay_max_ms; /**< From the first crash, everywhere. */
	uint64_t block_delay_sum_ms;
	size_t late_max;
	size_t sections_max;
	size_t sections_sum;
	size_t others_max;
	double allowed_min;
} figures_t;

static size_t load_engine_limit;
static uint32_t load_deadly_percent;
/** Deadly requests have a part of their own below the deadly one. */
static bool load_own_part;
static bool load_cut_paths;
static figures_t figures;

static bool is_within(uint64_t id, uint64_t first, uint64_t count)
{
	return id >= first && id < first + count;
}

static void note_block(load_t *load, const crash_key_t *key)
{
	if (key->id == DEADLY_PART && !load->blocked_ms) {
		load->blocked_ms = load->sim.now_ms;
		load->blocked_crashes = load->crash_count;
	}
	if (is_within(key->id, FIRST_MANUAL, MANUALS))
		load->manuals_blocked++;
	else if (is_within(key->id, FIRST_SECTION, SECTIONS))
		load->section_blocked[key->id - FIRST_SECTION] = true;
	else if (key->id != DEADLY_PART && key->depth != CRASH_KEY_REQUEST)
		load->others_blocked++;
}

static bool apply_at(load_t *load, size_t instance, const crash_news_t *news)
{
	crash_evidence_t *evidence = &load->instances[instance];
	const bool is_news =
		crash_evidence_apply(evidence, news, load->sim.now_ms);

	for (size_t i = 0; i < evidence->blocked_count; i++)
		note_block(load, &evidence->blocked[i].key);
	for (size_t i = 0;
	     i < INSTANCES && !load->blocked_everywhere_ms && load->blocked_ms;
	     i++) {
		if (!crash_evidence_blocked(&load->instances[i], DEADLY_PART))
			return is_news;
		if (i == INSTANCES - 1)
			load->blocked_everywhere_ms = load->sim.now_ms;
	}
	return is_news;
}

static void deliver(void *context, uint64_t argument)
{
	/* The cast is safe: broadcast() passes what it allocated. */
	g_autofree delivery_t *delivery = (delivery_t *)(uintptr_t)argument;

	apply_at(context, delivery->instance, &delivery->news);
}

static void broadcast(load_t *load, size_t from, const crash_news_t *news)
{
	for (size_t i = 0; i < INSTANCES; i++) {
		delivery_t *delivery;

		if (i == from || sim_chance(&load->sim, NEWS_LOST_PERCENT))
			continue;
		delivery = g_new(delivery_t, 1);
		delivery->news = *news;
		delivery->instance = i;
		sim_schedule(&load->sim,
			     rng_below(&load->sim.rng, NEWS_DELAY_MAX_MS + 1),
			     deliver, load, (uint64_t)(uintptr_t)delivery);
	}
}

static void observe(load_t *load, const run_t *run, crash_news_kind_t kind)
{
	for (size_t i = 0; i < run->key_count; i++) {
		const crash_news_t news = {
			.kind = kind,
			.key = run->keys[i],
			.crash = run->engine * 100000 + run->incarnation,
			.request = run->keys[run->key_count - 1].id,
		};

		if (apply_at(load, run->instance, &news))
			broadcast(load, run->instance, &news);
	}
}

static void describe_blocked(void *context, uint64_t instance)
{
	load_t *load = context;
	const crash_evidence_t *evidence = &load->instances[instance];

	for (size_t i = 0; i < evidence->blocked_count; i++) {
		crash_news_t news;

		crash_evidence_describe_blocked(evidence, i, load->sim.now_ms,
						&news);
		broadcast(load, instance, &news);
	}
	if (load->sim.now_ms < LOAD_END_MS)
		sim_schedule(&load->sim, DESCRIBE_INTERVAL_MS, describe_blocked,
			     load, instance);
}

static void start_run(void *context, uint64_t index);

/** The instance repeats a lost run once, the client of a deadly one later. */
static void repeat_run(load_t *load, size_t index)
{
	run_t *run = &load->runs[index];

	run->state = RUN_WAITING;
	if (run->attempts % 2) {
		sim_schedule(&load->sim, rng_below(&load->sim.rng, 20),
			     start_run, load, index);
		return;
	}
	if (!run->deadly || !run->client_retries) {
		run->state = RUN_ENDED;
		return;
	}
	run->client_retries = false;
	run->instance = rng_below(&load->sim.rng, INSTANCES);
	sim_schedule(&load->sim, 200 + rng_below(&load->sim.rng, 800),
		     start_run, load, index);
}

static void restart_engine(void *context, uint64_t engine)
{
	load_t *load = context;

	load->engines[engine].is_up = true;
}

static bool is_running(const load_t *load, const run_t *run)
{
	return run->state == RUN_PREFILL &&
	       run->incarnation == load->engines[run->engine].incarnation;
}

static void crash_engine(void *context, uint64_t index)
{
	load_t *load = context;
	run_t *cause = &load->runs[index];
	const size_t engine = cause->engine;

	if (!is_running(load, cause))
		return;
	load->crash_ms[load->crash_count++] = load->sim.now_ms;
	load->engines[engine].is_up = false;
	sim_schedule(&load->sim, RESTART_MS, restart_engine, load, engine);
	for (size_t i = 0; i < load->run_count; i++) {
		run_t *run = &load->runs[i];

		if (!is_running(load, run) || run->engine != engine)
			continue;
		observe(load, run, CRASH_NEWS_SUSPECT);
		repeat_run(load, i);
	}
	load->engines[engine].incarnation++;
}

/** The engine's identity in news. */
static uint64_t crash_id(uint64_t engine, uint64_t incarnation)
{
	return engine * 100000 + incarnation;
}

/** An instance is answered by an engine that is still the same. */
static void answer_other(void *context, uint64_t crash)
{
	load_t *load = context;
	const load_engine_t *engine = &load->engines[crash / 100000];
	const size_t instance =
		CUT_INSTANCES +
		rng_below(&load->sim.rng, INSTANCES - CUT_INSTANCES);
	const crash_news_t news = { .kind = CRASH_NEWS_REFUTED,
				    .crash = crash };

	if (!engine->is_up || engine->incarnation != crash % 100000)
		return;
	if (apply_at(load, instance, &news))
		broadcast(load, instance, &news);
}

static bool is_cut(const load_t *load, const run_t *run)
{
	return load_cut_paths && run->instance < CUT_INSTANCES &&
	       load->sim.now_ms % CUT_PERIOD_MS >= CUT_PERIOD_MS - CUT_MS;
}

/** The context is that of an answer. */
static void lose_path(void *context, uint64_t argument)
{
	load_t *load = context;
	run_t *run = &load->runs[argument / 8];

	if (!is_running(load, run) || run->attempts != argument % 8)
		return;
	observe(load, run, CRASH_NEWS_SUSPECT);
	sim_schedule(&load->sim, ANSWERED_AFTER_MS, answer_other, load,
		     crash_id(run->engine, run->incarnation));
	repeat_run(load, argument / 8);
}

/** The context of an answer is its attempt: a lost one must not answer. */
static void begin_answer(void *context, uint64_t argument)
{
	load_t *load = context;
	run_t *run = &load->runs[argument / 8];

	if (!is_running(load, run) || run->attempts != argument % 8)
		return;
	run->state = RUN_ENDED;
	if (!crash_evidence_is_empty(&load->instances[run->instance]))
		observe(load, run, CRASH_NEWS_CLEARED);
}

/** @return a random live engine, or the number of engines */
static size_t choose_engine(load_t *load)
{
	const size_t first = rng_below(&load->sim.rng, load->engine_count);

	for (size_t i = 0; i < load->engine_count; i++) {
		const size_t engine = (first + i) % load->engine_count;

		if (load->engines[engine].is_up)
			return engine;
	}
	return load->engine_count;
}

static void prefill(load_t *load, size_t index)
{
	run_t *run = &load->runs[index];
	rng_t *rng = &load->sim.rng;

	run->state = RUN_PREFILL;
	run->attempts++;
	run->incarnation = load->engines[run->engine].incarnation;
	if (is_cut(load, run)) {
		sim_schedule(&load->sim, CUT_RUN_MS, lose_path, load,
			     index * 8 + run->attempts);
		return;
	}
	if (run->deadly) {
		load->deadly_start_ms[load->deadly_start_count++] =
			load->sim.now_ms;
		sim_schedule(&load->sim, 50 + rng_below(rng, 251), crash_engine,
			     load, index);
		return;
	}
	sim_schedule(&load->sim, 150 + rng_below(rng, 451), begin_answer, load,
		     index * 8 + run->attempts);
}

static bool is_allowed(load_t *load, const run_t *run)
{
	const instance_place_t owner = { (uint32_t)run->instance, INSTANCES };

	return crash_evidence_decide(&load->instances[run->instance], run->keys,
				     run->key_count, &owner, load->sim.now_ms,
				     NULL) != CRASH_REFUSE;
}

static void start_run(void *context, uint64_t index)
{
	load_t *load = context;
	run_t *run = &load->runs[index];
	const size_t engine = choose_engine(load);

	if (engine == load->engine_count) {
		sim_schedule(&load->sim, ENGINE_WAIT_MS, start_run, load,
			     index);
		return;
	}
	if (!is_allowed(load, run)) {
		run->state = RUN_ENDED;
		return;
	}
	run->engine = engine;
	prefill(load, index);
}

static void add_key(run_t *run, uint64_t id, uint32_t depth)
{
	run->keys[run->key_count++] = (crash_key_t){ .id = id, .depth = depth };
}

static void make_parts(load_t *load, run_t *run)
{
	rng_t *rng = &load->sim.rng;
	const uint64_t kind = rng_below(rng, 10);
	const uint64_t section = rng_below(rng, SECTIONS);
	const uint64_t manual = section % MANUALS;

	if (run->deadly) {
		add_key(run, FIRST_MANUAL, 0);
		add_key(run, FIRST_SECTION, 1);
		add_key(run, DEADLY_PART, 2);
		if (load_own_part)
			add_key(run, load->next_id++, 3);
	} else if (kind < 2) {
		add_key(run, load->next_id++, 0);
		add_key(run, load->next_id++, 1);
	} else {
		add_key(run, FIRST_MANUAL + manual, 0);
		add_key(run,
			kind < 8 ? FIRST_SECTION + section : load->next_id++,
			1);
		if (kind < 5)
			add_key(run, load->next_id++, 2);
	}
	add_key(run, load->next_id++, CRASH_KEY_REQUEST);
}

static void arrive(void *context, uint64_t argument)
{
	load_t *load = context;
	rng_t *rng = &load->sim.rng;
	const size_t index = load->run_count++;
	run_t *run = &load->runs[index];

	(void)argument;
	run->deadly = load->sim.now_ms >= FIRST_DEADLY_MS &&
		      sim_chance(&load->sim, load->deadly_percent);
	run->instance = rng_below(rng, INSTANCES);
	run->client_retries = sim_chance(&load->sim, 50);
	make_parts(load, run);
	start_run(load, index);
	if (!run->deadly) {
		load->sound_ms[load->sound_count] = load->sim.now_ms;
		load->sound_allowed[load->sound_count++] =
			run->state != RUN_ENDED;
	}
	if (load->sim.now_ms < LOAD_END_MS)
		sim_schedule(&load->sim,
			     (uint64_t)(rng_exponential(rng, ARRIVAL_MEAN_US) /
						1000 +
					0.5),
			     arrive, load, 0);
}

static size_t count_after(const uint64_t *times_ms, size_t count,
			  uint64_t after_ms)
{
	size_t later = 0;

	for (size_t i = 0; i < count; i++)
		later += times_ms[i] > after_ms;
	return later;
}

static double allowed_percent(const load_t *load, uint64_t after_ms)
{
	size_t sound = 0;
	size_t allowed = 0;

	for (size_t i = 0; i < load->sound_count; i++) {
		if (load->sound_ms[i] <= after_ms)
			continue;
		sound++;
		allowed += load->sound_allowed[i];
	}
	return sound ? 100.0 * (double)allowed / (double)sound : 100;
}

static void check_load(const load_t *load, uint64_t seed)
{
	const uint64_t fifth_ms =
		load->crash_count >= CHECKED_CRASHES
			? load->crash_ms[CHECKED_CRASHES - 1]
			: load->crash_ms[load->crash_count - 1];
	const size_t late =
		count_after(load->deadly_start_ms, load->deadly_start_count,
			    fifth_ms + LATE_MS);
	const double allowed = allowed_percent(load, fifth_ms + SOUND_CHECK_MS);
	const uint64_t delay_ms =
		load->blocked_everywhere_ms - load->crash_ms[0];
	size_t sections = 0;

	for (size_t i = 0; i < SECTIONS; i++)
		sections += load->section_blocked[i];
	g_test_message("seed %" G_GUINT64_FORMAT ": crashes %zu, blocked "
		       "after %zu crashes and %" G_GUINT64_FORMAT
		       " ms, everywhere after %" G_GUINT64_FORMAT
		       " ms, late %zu, manuals %zu, sections %zu, others "
		       "%zu, allowed %.1f%%",
		       seed, load->crash_count, load->blocked_crashes,
		       load->blocked_ms - load->crash_ms[0], delay_ms, late,
		       load->manuals_blocked, sections, load->others_blocked,
		       allowed);
	figures.crashes_max = MAX(figures.crashes_max, load->crash_count);
	figures.crashes_sum += load->crash_count;
	figures.block_delay_max_ms = MAX(figures.block_delay_max_ms, delay_ms);
	figures.block_delay_sum_ms += delay_ms;
	figures.late_max = MAX(figures.late_max, late);
	figures.sections_max = MAX(figures.sections_max, sections);
	figures.sections_sum += sections;
	figures.others_max = MAX(figures.others_max, load->others_blocked);
	figures.allowed_min = MIN(figures.allowed_min, allowed);
	g_assert_cmpuint(load->blocked_everywhere_ms, >, 0);
	g_assert_cmpuint(late, <=, LATE_RUNS_MAX);
	if (!load_cut_paths)
		g_assert_cmpuint(load->manuals_blocked, ==, 0);
	for (size_t i = 0; i < INSTANCES * MANUALS; i++)
		g_assert_null(
			crash_evidence_blocked(&load->instances[i / MANUALS],
					       FIRST_MANUAL + i % MANUALS));
	g_assert_cmpfloat(allowed, >=, ALLOWED_PERCENT_MIN);
}

static void run_load(uint64_t seed)
{
	static const sim_faults_t faults;
	g_autofree load_t *load = g_new0(load_t, 1);

	sim_init(&load->sim, seed, &faults);
	load->sim.now_ms = 0;
	load->engine_count = load_engine_limit;
	load->deadly_percent = load_deadly_percent;
	load->next_id = FIRST_OWN;
	for (size_t i = 0; i < load->engine_count; i++)
		load->engines[i].is_up = true;
	for (size_t i = 0; i < INSTANCES; i++) {
		crash_evidence_init(&load->instances[i]);
		sim_schedule(&load->sim,
			     rng_below(&load->sim.rng, DESCRIBE_INTERVAL_MS),
			     describe_blocked, load, i);
	}
	sim_schedule(&load->sim, 0, arrive, load, 0);
	while (sim_run_one(&load->sim, UINT64_MAX))
		;
	check_load(load, seed);
	sim_clear(&load->sim);
}

/** Failure: deadly requests reach engines too long, or sound ones do not. */
static void test_load(void)
{
	static const struct {
		size_t engines;
		uint32_t deadly_percent;
		bool own_part;
		bool cut_paths;
	} loads[] = { { 9, 5, false, false },  { 18, 5, false, false },
		      { 9, 30, false, false }, { 18, 30, false, false },
		      { 9, 5, true, false },   { 9, 30, true, false },
		      { 9, 5, false, true },   { 18, 5, false, true },
		      { 9, 30, false, true } };

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		load_engine_limit = loads[i].engines;
		load_deadly_percent = loads[i].deadly_percent;
		load_own_part = loads[i].own_part;
		load_cut_paths = loads[i].cut_paths;
		figures = (figures_t){ .allowed_min = 100 };
		seeds_run(LOAD_SEEDS, run_load);
		g_test_message(
			"%zu engines, %u%% deadly%s: crashes %zu in "
			"all, at most %zu; block everywhere %" G_GUINT64_FORMAT
			" ms after the first crash in all, at "
			"most %" G_GUINT64_FORMAT
			"; late at most %zu; sections "
			"blocked %zu in all, at most %zu; others at "
			"most %zu; allowed at least %.1f%%",
			loads[i].engines, loads[i].deadly_percent,
			loads[i].own_part    ? " above own parts"
			: loads[i].cut_paths ? " beside cut paths"
					     : "",
			figures.crashes_sum, figures.crashes_max,
			figures.block_delay_sum_ms, figures.block_delay_max_ms,
			figures.late_max, figures.sections_sum,
			figures.sections_max, figures.others_max,
			figures.allowed_min);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-evidence/cases", test_cases);
	g_test_add_func("/crash-evidence/news-order", test_news_order);
	g_test_add_func("/crash-evidence/repeated-news", test_repeated_news);
	g_test_add_func("/crash-evidence/late-suspect", test_late_suspect);
	g_test_add_func("/crash-evidence/late-block", test_late_block);
	g_test_add_func("/crash-evidence/wrong-block", test_wrong_block);
	g_test_add_func("/crash-evidence/refuted", test_refuted);
	g_test_add_func("/crash-evidence/news-after-refutation",
			test_news_after_refutation);
	g_test_add_func("/crash-evidence/refuted-after-block",
			test_refuted_after_block);
	g_test_add_func("/crash-evidence/outlived", test_outlived);
	g_test_add_func("/crash-evidence/probes", test_probes);
	g_test_add_func("/crash-evidence/probe-overflow", test_probe_overflow);
	g_test_add_func("/crash-evidence/describe", test_describe);
	g_test_add_func("/crash-evidence/ttl", test_ttl);
	g_test_add_func("/crash-evidence/full-tables", test_full_tables);
	g_test_add_func("/crash-evidence/load", test_load);
	return g_test_run();
}
