/* Unit tests of small modules of the gateway: retry budget, endpoint load,
 * splitter of server-sent events, heartbeat codec, ring of crash reports and
 * target weights. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/crash_ring.h"
#include "process/endpoint_load.h"
#include "process/error.h"
#include "process/list_currency.h"
#include "process/peer_heartbeat.h"
#include "process/retry_budget.h"
#include "process/store_revision.h"
#include "request/sse_splitter.h"
#include "version/view.h"
#include "version/view_builder.h"

enum {
	INSTANCE_COUNT = 14,
	RETRY_SLACK = 108,
	WINDOW_MS = 10000,
	/** Interval between two starts of a process. */
	RESTART_MS = 3000,
	SERVICE_COUNT = 50,
	SERVICE_REQUESTS = 1000,
	/** Models of an engine, and bytes of their names. */
	MODEL_COUNT = 40,
	MODEL_NAME_BYTES = 200,
	/** Reports that are passed between two threads. */
	REPORT_COUNT = 200000,
	NOW_MS = 50000,
};

/* Failure: 14 instances each kept within their retry budget, but together
 * exceeded the budget of the whole system. */
static void test_budget_all_instances(void)
{
	retry_budget_t budgets[INSTANCE_COUNT];
	uint32_t retries = 0;
	uint32_t requests = 0;

	for (int i = 0; i < INSTANCE_COUNT; i++) {
		retry_budget_init(&budgets[i], 0.2, RETRY_SLACK, WINDOW_MS, 0);
		budgets[i].instances = INSTANCE_COUNT;
	}
	for (uint64_t now_ms = WINDOW_MS; now_ms < 2 * WINDOW_MS;
	     now_ms += 100) {
		for (int i = 0; i < INSTANCE_COUNT; i++) {
			retry_budget_count_request(&budgets[i], 7, now_ms);
			requests++;
			while (retry_budget_take(&budgets[i], 7, now_ms))
				retries++;
		}
	}
	g_assert_cmpuint(retries, <=, (uint32_t)(0.2 * requests) + RETRY_SLACK);
	g_assert_cmpuint(retries, >, RETRY_SLACK / 2);
	for (int i = 0; i < INSTANCE_COUNT; i++)
		retry_budget_free(&budgets[i]);
}

/* Failure: a retry budget that was used up was never refilled, or services
 * shared one budget. */
static void test_budget_window(void)
{
	retry_budget_t budget;

	retry_budget_init(&budget, 0.2, 10, WINDOW_MS, 0);
	while (retry_budget_take(&budget, 1, NOW_MS))
		;
	g_assert_true(retry_budget_take(&budget, 2, NOW_MS));
	g_assert_false(retry_budget_take(&budget, 1, NOW_MS + WINDOW_MS / 2));
	g_assert_true(retry_budget_take(&budget, 1, NOW_MS + 2 * WINDOW_MS));
	retry_budget_free(&budget);
}

/* Failure: all instances were killed within a window, and each new process used
 * up its part of the budget again. */
static void test_budget_restarts(void)
{
	retry_budget_t budget;
	uint32_t requests = 0;
	uint32_t retries = 0;
	uint64_t now_ms = NOW_MS;

	retry_budget_init(&budget, 0.2, RETRY_SLACK, WINDOW_MS, 0);
	for (; now_ms < NOW_MS + WINDOW_MS; now_ms += 100) {
		if (now_ms % RESTART_MS == 0) {
			retry_budget_free(&budget);
			retry_budget_init(&budget, 0.2, RETRY_SLACK, WINDOW_MS,
					  now_ms);
		}
		retry_budget_count_request(&budget, 1, now_ms);
		requests++;
		while (retry_budget_take(&budget, 1, now_ms))
			retries++;
	}
	g_assert_cmpuint(retries, <=, (uint32_t)(0.2 * requests) + RETRY_SLACK);
	/* It has its part again a window after the last start. */
	now_ms += WINDOW_MS;
	for (retries = 0; retry_budget_take(&budget, 1, now_ms); retries++)
		;
	g_assert_cmpuint(retries, >, RETRY_SLACK / 2);
	retry_budget_free(&budget);
}

/* Failure: services beyond the 31st shared one budget, and one of them could
 * spend what the requests for the others allow. */
static void test_budget_many_services(void)
{
	retry_budget_t budget;
	uint32_t retries = 0;

	retry_budget_init(&budget, 0.2, RETRY_SLACK, WINDOW_MS, 0);
	for (uint64_t service = 1; service <= SERVICE_COUNT; service++) {
		for (int i = 0; i < SERVICE_REQUESTS; i++)
			retry_budget_count_request(&budget, service, NOW_MS);
	}
	while (retry_budget_take(&budget, SERVICE_COUNT, NOW_MS))
		retries++;
	g_assert_cmpuint(retries, <=, SERVICE_REQUESTS / 5 + RETRY_SLACK);
	g_assert_true(retry_budget_take(&budget, SERVICE_COUNT - 1, NOW_MS));
	/* Services that are gone take no memory. */
	for (uint64_t i = 1; i <= SERVICE_COUNT; i++)
		retry_budget_count_request(&budget, SERVICE_COUNT + i,
					   NOW_MS + 2 * WINDOW_MS);
	g_assert_cmpuint(budget.count, ==, SERVICE_COUNT);
	retry_budget_free(&budget);
}

/* Failure: an endpoint that is down was not ejected, so every request was tried
 * there once. */
static void test_ejection(void)
{
	endpoint_load_t *load = endpoint_load_new("i-1", 0);

	g_assert_false(endpoint_load_failed(load, FAILURE_REQUEST, 1000));
	g_assert_true(endpoint_load_failed(load, FAILURE_REQUEST, 1001));
	g_assert_cmpuint(load->ejected_until_ms, ==,
			 1001 + ENDPOINT_LOAD_EJECT_MIN_MS);
	endpoint_load_succeeded(load, 2000);
	g_assert_cmpuint(load->ejected_until_ms, ==, 0);
	g_assert_true(endpoint_load_failed(load, FAILURE_UNREACHABLE, 3000));
	/* A failure right after the end of an ejection makes the next one
	 * longer, up to a limit. */
	for (int i = 0; i < 10; i++)
		endpoint_load_failed(load, FAILURE_UNREACHABLE,
				     10000 + 5000 * i);
	g_assert_cmpuint(load->ejected_until_ms, ==,
			 10000 + 5000 * 9 + ENDPOINT_LOAD_EJECT_MAX_MS);
	endpoint_load_put(load);
}

/* Failure: an instance that was cut off from endpoints reported them as failed,
 * and the other instances ejected them although they still got answers. */
static void test_peer_ejection(void)
{
	endpoint_load_t *load = endpoint_load_new("i-1", 0);

	endpoint_load_succeeded(load, 1000);
	g_assert_false(endpoint_load_peer_failed(load, 500, 1100));
	g_assert_cmpuint(load->ejected_until_ms, ==, 0);
	g_assert_true(endpoint_load_peer_failed(load, 99999, 5000));
	g_assert_cmpuint(load->ejected_until_ms, ==,
			 5000 + ENDPOINT_LOAD_EJECT_MAX_MS);
	endpoint_load_put(load);
}

/* Failure: each renewal of an ejection was logged like a new one, with each
 * heartbeat of each peer. */
static void test_peer_ejection_renewed(void)
{
	endpoint_load_t *load = endpoint_load_new("i-1", 0);

	g_assert_true(endpoint_load_peer_failed(load, 500, 5000));
	g_assert_false(endpoint_load_peer_failed(load, 500, 5200));
	g_assert_cmpuint(load->ejected_until_ms, ==, 5700);
	g_assert_false(endpoint_load_peer_failed(load, 100, 5300));
	g_assert_cmpuint(load->ejected_until_ms, ==, 5700);
	g_assert_true(endpoint_load_peer_failed(load, 500, 5700));
	endpoint_load_put(load);
}

static void collect(void *context, uint64_t id, const char *bytes, size_t len)
{
	g_string_append_printf(context, "[%lld %zu]",
			       id == SSE_SPLITTER_NO_ID ? -1LL : (long long)id,
			       len);
	g_assert_true(bytes[len - 1] == '\n');
}

typedef struct splitter_case {
	const char *bytes;
	const char *events;
	bool partial;
} splitter_case_t;

/* Failure: an incomplete event was relayed after an endpoint had broken off in
 * the middle of it. */
static const splitter_case_t splitter_cases[] = {
	{ "id: 1\ndata: a\n\n", "[1 15]", false },
	{ "id: 1\ndata: a\n\nid: 2\nda", "[1 15]", true },
	{ "id: 1\r\ndata: a\r\n\r\n", "[1 18]", false },
	{ "weight-versions: 3\nid: 7\ndata: a\n\n", "[7 34]", false },
	{ "data: a\n\ndata: b\n\n", "[-1 9][-1 9]", false },
	{ "id: 1\ndata: a\n", "", true },
	{ "id: x\ndata: a\n\n", "[-1 15]", false },
};

static void test_splitter(const void *data)
{
	const splitter_case_t *test_case = data;
	size_t len = strlen(test_case->bytes);

	/* As one chunk, and split into two chunks at every position. */
	for (size_t split = 0; split <= len; split++) {
		sse_splitter_t splitter = { 0 };
		GString *events_seen = g_string_new(NULL);

		g_assert_cmpint(sse_splitter_feed(&splitter, test_case->bytes,
						  split, collect, events_seen),
				==, 0);
		g_assert_cmpint(
			sse_splitter_feed(&splitter, test_case->bytes + split,
					  len - split, collect, events_seen),
			==, 0);
		g_assert_cmpstr(events_seen->str, ==, test_case->events);
		g_assert_true(sse_splitter_is_partial(&splitter) ==
			      test_case->partial);
		sse_splitter_free(&splitter);
		g_string_free(events_seen, TRUE);
	}
}

/* Failure: an event without an end was buffered until memory ran out. */
static void test_splitter_event_limit(void)
{
	sse_splitter_t splitter = { 0 };
	char bytes[4096];
	int err = 0;

	memset(bytes, 'x', sizeof(bytes));
	for (int i = 0; i < 100 && !err; i++)
		err = sse_splitter_feed(&splitter, bytes, sizeof(bytes),
					collect, NULL);
	g_assert_cmpint(err, ==, ERR_ENDPOINT_ANSWER);
	sse_splitter_free(&splitter);
}

/* Field by field, so that padding stays zero and memory can be compared. */
static void add_crash_news(peer_heartbeat_t *heartbeat)
{
	uint32_t number = heartbeat->crash_news_count++;
	crash_news_t *news = &heartbeat->crash_news[number];

	news->kind = (crash_news_kind_t)(number % (CRASH_NEWS_BLOCKED + 1));
	news->key.id = UINT64_MAX - number;
	news->key.depth = number % 2 ? number : CRASH_KEY_REQUEST;
	news->crash = (2ULL << 40) + number;
	news->request = (3ULL << 40) + number;
	news->probes = 4000 + number;
	news->age_ms = UINT32_MAX - number;
}

static void fill_heartbeat(peer_heartbeat_t *heartbeat, int crash_news_count)
{
	memset(heartbeat, 0, sizeof(*heartbeat));
	heartbeat->incarnation = 1ULL << 41;
	heartbeat->fencing = 3;
	memset(heartbeat->name, 'n', sizeof(heartbeat->name) - 1);
	heartbeat->watching = true;
	heartbeat->weights_count = 20;
	heartbeat->failed_count = PEER_FAILED_MAX;
	heartbeat->failed[PEER_FAILED_MAX - 1].ejected_ms = 300;
	while ((int)heartbeat->crash_news_count < crash_news_count)
		add_crash_news(heartbeat);
	while (peer_heartbeat_free_bytes(heartbeat) >= PEER_LOAD_BYTES &&
	       heartbeat->load_count < PEER_LOADS_MAX)
		heartbeat->loads[heartbeat->load_count++].tokens = 17;
	while (peer_heartbeat_free_bytes(heartbeat) >= PEER_HINT_BYTES &&
	       heartbeat->hint_count < PEER_HINTS_MAX)
		heartbeat->hints[heartbeat->hint_count++].tokens = 18;
}

/* Failure: a full heartbeat did not fit into a datagram and was never sent. */
static void test_heartbeat_full(const void *crash_news_count)
{
	peer_heartbeat_t heartbeat;
	peer_heartbeat_t decoded;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	fill_heartbeat(&heartbeat, GPOINTER_TO_INT(crash_news_count));
	g_assert_cmpuint(peer_heartbeat_free_bytes(&heartbeat), <,
			 PEER_LOAD_BYTES);
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(peer_heartbeat_decode(&decoded, bytes, (size_t)len), ==,
			0);
	g_assert_cmpmem(&heartbeat, sizeof(heartbeat), &decoded,
			sizeof(decoded));
}

/* Failure: a truncated or foreign datagram was accepted as a heartbeat. */
static void test_heartbeat_malformed(const void *crash_news_count)
{
	int news = GPOINTER_TO_INT(crash_news_count);
	peer_heartbeat_t heartbeat;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int accepted = 0;
	int len;

	fill_heartbeat(&heartbeat, news);
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	for (int truncated_len = 0; truncated_len < len; truncated_len += 4) {
		if (peer_heartbeat_decode(&heartbeat, bytes,
					  (size_t)truncated_len))
			continue;
		g_assert_cmpuint(heartbeat.crash_news_count, ==, 0);
		accepted++;
	}
	/* Without its news it is a heartbeat of the version before them. */
	g_assert_cmpint(accepted, ==, news > 0);
	bytes[0] ^= 1;
	g_assert_cmpint(peer_heartbeat_decode(&heartbeat, bytes, (size_t)len),
			==, ERR_BAD_FIELD);
}

/* Failure: instances compared revisions of different eras of the store, so that
 * those with tables of the era before seemed to be ahead. */
static void test_heartbeat_era(void)
{
	peer_heartbeat_t sent;
	peer_heartbeat_t received;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	fill_heartbeat(&sent, 0);
	sent.tables[OBJECT_DESIRED].revision = store_revision_make(3, 71);
	sent.tables[OBJECT_ENDPOINTS].revision = store_revision_make(2, 75);
	len = peer_heartbeat_encode(&sent, bytes, sizeof(bytes));
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes, (size_t)len),
			==, 0);
	g_assert_cmpuint(received.tables[OBJECT_DESIRED].revision, ==,
			 store_revision_make(3, 71));
	/* This table has not been read in the new era. */
	g_assert_cmpuint(received.tables[OBJECT_ENDPOINTS].revision, ==, 0);
	/* As an instance of a version without eras reads it. */
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes,
					      (size_t)len - sizeof(uint64_t)),
			==, 0);
	g_assert_cmpuint(received.tables[OBJECT_DESIRED].revision, ==, 71);
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes,
					      (size_t)len - sizeof(uint32_t)),
			==, ERR_BAD_FIELD);
}

/* Failure: limits of endpoints were lost or misread; an instance of a version
 * without them must read the rest. */
static void test_heartbeat_limits(void)
{
	peer_heartbeat_t sent;
	peer_heartbeat_t received;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	fill_heartbeat(&sent, 0);
	sent.limit_count = 2;
	sent.limits[0] = (peer_limit_t){ 7, 1400, 30 };
	sent.limits[1] = (peer_limit_t){ 8, ENDPOINT_UNLIMITED, 5 };
	len = peer_heartbeat_encode(&sent, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes, (size_t)len),
			==, 0);
	g_assert_cmpmem(received.limits, sizeof(received.limits), sent.limits,
			sizeof(sent.limits));
	g_assert_cmpint(
		peer_heartbeat_decode(&received, bytes, (size_t)len - 4), ==,
		ERR_BAD_FIELD);
	g_assert_cmpint(
		peer_heartbeat_decode(&received, bytes,
				      (size_t)len - 2 * PEER_LIMIT_BYTES - 4),
		==, 0);
	g_assert_cmpuint(received.limit_count, ==, 0);
}

/* Failure: speeds of endpoints were lost or did not fit; an instance of a
 * version without them must read the rest. */
static void test_heartbeat_speeds(void)
{
	peer_heartbeat_t sent = { .has_speeds = true };
	peer_heartbeat_t received;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	memset(sent.name, 'n', sizeof(sent.name) - 1);
	sent.incarnation = 1;
	sent.tables[0].revision = store_revision_make(3, 71);
	sent.weights_count = 40;
	while (peer_heartbeat_free_bytes(&sent) >=
	       peer_heartbeat_load_bytes(&sent))
		sent.speeds[sent.load_count++] = 77;
	len = peer_heartbeat_encode(&sent, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes, (size_t)len),
			==, 0);
	g_assert_cmpmem(&sent, sizeof(sent), &received, sizeof(received));
	len -= (int)(sizeof(uint32_t) + (sent.load_count + 3) / 4 * 4);
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes, (size_t)len),
			==, 0);
	g_assert_false(received.has_speeds);
	g_assert_cmpuint(received.load_count, ==, sent.load_count);
}

typedef struct clock_case {
	const char *name;
	uint64_t turn_clock_ms;
	uint32_t limits;
} clock_case_t;

static const clock_case_t clock_cases[] = {
	{ "alone", 1ULL << 40, 0 },
	{ "with-limits", 77, PEER_LIMITS_MAX },
	{ "none", 0, 2 },
};

/* Failure: the clock of the turns got lost where an instance knew of a limit
 * only from others, so their turns differed. */
static void test_heartbeat_turn_clock(const void *data)
{
	const clock_case_t *c = data;
	peer_heartbeat_t heartbeat = { .name = "n",
				       .incarnation = 1,
				       .turn_clock_ms = c->turn_clock_ms,
				       .limit_count = c->limits };
	peer_heartbeat_t received;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));

	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(peer_heartbeat_decode(&received, bytes, (size_t)len),
			==, 0);
	g_assert_cmpuint(received.turn_clock_ms, ==, c->turn_clock_ms);
	g_assert_cmpuint(received.limit_count, ==, c->limits);
}

static const size_t flag_offsets[] = {
	offsetof(peer_heartbeat_t, stopping),
	offsetof(peer_heartbeat_t, watching),
	offsetof(peer_heartbeat_t, store_fails),
	offsetof(peer_heartbeat_t, yielded),
	offsetof(peer_heartbeat_t, software_mixed),
	offsetof(peer_heartbeat_t, software_complete),
	offsetof(peer_heartbeat_t, takes_forwarded),
	offsetof(peer_heartbeat_t, shares_allowances),
	offsetof(peer_heartbeat_t, young),
};

/* Failure: a flag was lost, was read as another one, or took more bytes. */
static void test_heartbeat_flags(void)
{
	uint32_t count = G_N_ELEMENTS(flag_offsets);
	int empty_len = 0;

	for (uint32_t set = 0; set < 1U << count; set++) {
		peer_heartbeat_t heartbeat;
		peer_heartbeat_t decoded;
		char bytes[PEER_HEARTBEAT_MAX_BYTES];
		int len;

		memset(&heartbeat, 0, sizeof(heartbeat));
		heartbeat.name[0] = 'n';
		heartbeat.incarnation = 1;
		for (uint32_t i = 0; i < count; i++) {
			bool *flag =
				(bool *)((char *)&heartbeat + flag_offsets[i]);

			*flag = set & 1U << i;
		}
		len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
		empty_len = set ? empty_len : len;
		g_assert_cmpint(len, ==, empty_len);
		g_assert_cmpint(
			peer_heartbeat_decode(&decoded, bytes, (size_t)len), ==,
			0);
		g_assert_cmpmem(&heartbeat, sizeof(heartbeat), &decoded,
				sizeof(decoded));
	}
}

/* Failure: a heartbeat with a flag that the receiver's version does not know
 * was refused, so that two versions could not run side by side; versions before
 * the allowances read the flags in the same way. */
static void test_heartbeat_unknown_flag(void)
{
	const uint32_t unknown = 1U << 15;
	peer_heartbeat_t heartbeat = { .name = "n", .incarnation = 1 };
	peer_heartbeat_t decoded;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	/* Magic, length and text of the name, incarnation, sequence, domain and
	 * link come before the flags. */
	size_t flags_at = 4 + 4 + 4 + 8 + 4 + 4 + 4;
	uint32_t flags;
	int len;

	heartbeat.watching = true;
	heartbeat.shares_allowances = true;
	heartbeat.list_age_ms = LIST_AGE_UNKNOWN;
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	memcpy(&flags, bytes + flags_at, sizeof(flags));
	g_assert_cmphex(ntohl(flags), ==, 2 + 128);
	flags |= htonl(unknown);
	memcpy(bytes + flags_at, &flags, sizeof(flags));
	g_assert_cmpint(peer_heartbeat_decode(&decoded, bytes, (size_t)len), ==,
			0);
	g_assert_cmpmem(&heartbeat, sizeof(heartbeat), &decoded,
			sizeof(decoded));
}

/* Failure: lists grew until the datagram could not be encoded. */
static void test_heartbeat_free_bytes(void)
{
	peer_heartbeat_t heartbeat = { 0 };
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	size_t free_bytes;
	int empty_len;
	int len;

	memset(heartbeat.name, 'n', sizeof(heartbeat.name) - 1);
	free_bytes = peer_heartbeat_free_bytes(&heartbeat);
	empty_len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	g_assert_cmpint(empty_len, >, 0);
	g_assert_cmpint(empty_len, <=, PEER_HEARTBEAT_HEADER_BYTES);
	for (int count = 1; count <= PEER_CRASH_NEWS_MAX; count++) {
		add_crash_news(&heartbeat);
		len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
		/* The list's length is sent only with news. */
		g_assert_cmpint(len - empty_len, ==,
				(int)sizeof(uint32_t) +
					count * PEER_CRASH_NEWS_BYTES);
		g_assert_cmpuint(free_bytes -
					 peer_heartbeat_free_bytes(&heartbeat),
				 ==, (size_t)count * PEER_CRASH_NEWS_BYTES);
	}
}

typedef struct bad_news_case {
	const char *name;
	uint32_t news_count; /**< In the datagram. */
	uint32_t count;	     /**< As the datagram states it. */
	uint32_t last_kind;
	int result;
} bad_news_case_t;

static const bad_news_case_t bad_news_cases[] = {
	{ "all", 12, 12, CRASH_NEWS_BLOCKED, 0 },
	{ "unknown-kind", 12, 12, CRASH_NEWS_BLOCKED + 1, ERR_BAD_FIELD },
	{ "huge-kind", 12, 12, UINT32_MAX, ERR_BAD_FIELD },
	{ "too-many", 13, 13, CRASH_NEWS_BLOCKED, ERR_BAD_FIELD },
	{ "huge-count", 13, UINT32_MAX, CRASH_NEWS_BLOCKED, ERR_BAD_FIELD },
};

static void put_number(char *bytes, uint32_t number)
{
	uint32_t big_endian = GUINT32_TO_BE(number);

	memcpy(bytes, &big_endian, sizeof(big_endian));
}

/* Failure: news of an unknown kind, or more than fit the list, were accepted.
 */
static void test_heartbeat_bad_news(const void *data)
{
	const bad_news_case_t *test = data;
	peer_heartbeat_t heartbeat = { .name = "n", .incarnation = 1 };
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	char *count_at;
	char *end;

	/* The news are the last list: their count, then the items. */
	count_at =
		bytes + peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	put_number(count_at, test->count);
	end = count_at + sizeof(uint32_t);
	for (uint32_t i = 0; i < test->news_count; i++) {
		memset(end, 0, PEER_CRASH_NEWS_BYTES);
		end += PEER_CRASH_NEWS_BYTES;
	}
	put_number(end - PEER_CRASH_NEWS_BYTES, test->last_kind);
	g_assert_cmpint(
		peer_heartbeat_decode(&heartbeat, bytes, (size_t)(end - bytes)),
		==, test->result);
}

/* Failure: a refuted crash got lost on its way, or an instance that does not
 * know of such news refused the heartbeat that brought it. */
static void test_heartbeat_refuted(void)
{
	const crash_news_t news = { .kind = CRASH_NEWS_REFUTED,
				    .crash = 77,
				    .age_ms = 700 };
	peer_heartbeat_t heartbeat = { .name = "n",
				       .incarnation = 1,
				       .crash_news_count = 1,
				       .crash_news = { news } };
	peer_heartbeat_t decoded;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	uint32_t kind;

	memcpy(&kind, bytes + len - PEER_CRASH_NEWS_BYTES, sizeof(kind));
	g_assert_cmpuint(GUINT32_FROM_BE(kind), <=, CRASH_NEWS_BLOCKED);
	g_assert_cmpint(peer_heartbeat_decode(&decoded, bytes, (size_t)len), ==,
			0);
	g_assert_cmpmem(&decoded.crash_news[0], sizeof(news), &news,
			sizeof(news));
}

static crash_report_t make_report(uint64_t number)
{
	return (crash_report_t){ .news.key.id = number,
				 .news.request = ~number,
				 .time_ms = number };
}

static void assert_report(const crash_report_t *report, uint64_t number)
{
	g_assert_cmpuint(report->news.key.id, ==, number);
	g_assert_cmpuint(report->news.request, ==, ~number);
	g_assert_cmpuint(report->time_ms, ==, number);
}

/* Failure: a full ring overwrote reports, or lost their order when its
 * positions wrapped around. */
static void test_crash_ring_full(void)
{
	crash_ring_t *ring = g_new0(crash_ring_t, 1);
	crash_report_t report;

	atomic_store(&ring->head, UINT32_MAX - 10);
	atomic_store(&ring->tail, UINT32_MAX - 10);
	for (uint64_t round = 0; round < 3; round++) {
		g_assert_true(crash_ring_is_empty(ring));
		g_assert_false(crash_ring_take(ring, &report));
		for (uint64_t i = 0; i < CRASH_RING_SIZE; i++) {
			report = make_report(round + i);
			g_assert_true(crash_ring_put(ring, &report));
		}
		report = make_report(0);
		g_assert_false(crash_ring_put(ring, &report));
		g_assert_false(crash_ring_is_empty(ring));
		for (uint64_t i = 0; i < CRASH_RING_SIZE; i++) {
			g_assert_true(crash_ring_take(ring, &report));
			assert_report(&report, round + i);
		}
	}
	g_free(ring);
}

static void *put_reports(void *ring)
{
	for (uint64_t number = 0; number < REPORT_COUNT; number++) {
		crash_report_t report = make_report(number);

		while (!crash_ring_put(ring, &report))
			g_thread_yield();
	}
	return NULL;
}

/* Failure: the consumer read a report before the producer had written it. */
static void test_crash_ring_threads(void)
{
	crash_ring_t *ring = g_new0(crash_ring_t, 1);
	GThread *producer = g_thread_new("producer", put_reports, ring);
	crash_report_t report;

	for (uint64_t number = 0; number < REPORT_COUNT; number++) {
		while (!crash_ring_take(ring, &report))
			g_thread_yield();
		assert_report(&report, number);
	}
	g_thread_join(producer);
	g_assert_true(crash_ring_is_empty(ring));
	g_free(ring);
}

typedef struct report_age_case {
	uint64_t time_ms;
	uint64_t now_ms;
	uint32_t age_ms;
} report_age_case_t;

static const report_age_case_t report_age_cases[] = {
	{ NOW_MS, NOW_MS, 0 },
	{ NOW_MS - 180, NOW_MS, 180 },
	{ NOW_MS + 1, NOW_MS, 0 },
	{ 0, UINT32_MAX, UINT32_MAX },
	{ 0, UINT32_MAX + 5ULL, UINT32_MAX },
};

/* Failure: the time that news waited for a heartbeat did not count, so that
 * each instance dated the same crash differently. */
static void test_crash_report_age(void)
{
	crash_news_t news = { .kind = CRASH_NEWS_CLEARED, .age_ms = 700 };
	crash_report_t report = crash_report_from_news(&news, NOW_MS);

	g_assert_cmpuint(report.time_ms, ==, NOW_MS - 700);
	g_assert_cmpint(report.news.kind, ==, CRASH_NEWS_CLEARED);
	g_assert_cmpuint(crash_report_news(&report, NOW_MS + 200).age_ms, ==,
			 900);
	g_assert_cmpuint(crash_report_from_news(&news, 699).time_ms, ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(report_age_cases); i++) {
		const report_age_case_t *test = &report_age_cases[i];

		report.time_ms = test->time_ms;
		news = crash_report_news(&report, test->now_ms);
		g_assert_cmpuint(news.age_ms, ==, test->age_ms);
		g_assert_cmpint(news.kind, ==, CRASH_NEWS_CLEARED);
	}
}

/* Failure: the time limit for old weights started again with each newer target
 * version, and requests started on weights that had been replaced 9.6 s before.
 */
static void test_outdated_weights(void)
{
	target_weights_t target = { .model = "m" };

	target_weights_add(&target, 1, 100);
	g_assert_cmpuint(target_weights_outdated_ms(&target, 1, 5000), ==, 0);
	target_weights_add(&target, 2, 2000);
	target_weights_add(&target, 3, 5000);
	target_weights_add(&target, 3, 9000);
	target_weights_add(&target, 2, 9000);
	g_assert_cmpuint(target_weights_outdated_ms(&target, 1, 9000), ==,
			 7000);
	g_assert_cmpuint(target_weights_outdated_ms(&target, 2, 9000), ==,
			 4000);
	g_assert_cmpuint(target_weights_outdated_ms(&target, 3, 9000), ==, 0);
	for (uint64_t version = 4; version < 40; version++)
		target_weights_add(&target, version, 9000 + version);
	g_assert_cmpuint(target.count, ==, VIEW_TARGET_VERSIONS_MAX);
	g_assert_cmpuint(target.versions[0], ==, 39);
}

/* Failure: so many versions were set within the time limit that the first ones
 * were forgotten, and engines on the weights before them were never taken to be
 * past it. */
static void test_versions_in_quick_succession(void)
{
	target_weights_t target = { .model = "m" };
	uint64_t now_ms = 100;

	target_weights_add(&target, 1, now_ms);
	for (uint64_t version = 2; version <= 200; version++) {
		now_ms += 70;
		target_weights_add(&target, version, now_ms);
		g_assert_cmpuint(target_weights_outdated_ms(&target, 1, now_ms),
				 >=, now_ms - 170);
	}
	/* Those that are kept are exact. */
	g_assert_cmpuint(target_weights_outdated_ms(&target, 200, now_ms), ==,
			 0);
	g_assert_cmpuint(target_weights_outdated_ms(&target, 195, now_ms), ==,
			 4 * 70);
}

static void put_object(view_builder_t *builder, object_kind_t kind,
		       const char *name, uint64_t revision, json_t *spec)
{
	object_item_t item = { .name = name,
			       .revision = revision,
			       .spec = spec };

	g_assert_nonnull(spec);
	object_table_list_begin(&builder->tables[kind]);
	g_assert_cmpint(object_table_list_add(&builder->tables[kind], &item),
			>=, 0);
	object_table_list_end(&builder->tables[kind], revision, NOW_MS);
	json_decref(spec);
}

static void put_weights(view_builder_t *builder, int version)
{
	put_object(builder, OBJECT_WEIGHTS, "m", (uint64_t)version,
		   json_pack("{s:s,s:i}", "model", "m", "version", version));
}

static uint64_t outdated_ms(const view_builder_t *builder, uint64_t version,
			    uint64_t now_ms)
{
	return target_weights_outdated_ms(view_weights(builder->view, "m"),
					  version, now_ms);
}

typedef struct pause_case {
	const char *name;
	uint64_t pause_ms; /**< 0: none. */
	uint64_t known_ms; /**< When the new weights are known after it. */
	uint64_t outdated_ms;
} pause_case_t;

static const pause_case_t pause_cases[] = {
	{ "no-pause", 0, 50, 0 },
	{ "first-event", 4000, 0, 4000 },
	{ "after-a-tick", 4000, 120, 4120 },
	{ "set-later", 4000, VIEW_SETTLING_MS, 0 },
};

static void build_first_view(view_builder_t *builder)
{
	put_object(builder, OBJECT_DESIRED, "d", 1,
		   json_pack("{s:i,s:[],s:[]}", "version", 1, "routes",
			     "services"));
	put_object(builder, OBJECT_ENDPOINTS, "e", 1, json_null());
	put_weights(builder, 1);
	view_builder_tick(builder, NOW_MS);
	g_assert_cmpint(view_builder_publish(builder, NOW_MS), ==, 0);
}

/* Failure: an instance that was paused while new weights were set counted the
 * time limit for the old ones from the end of the pause. */
static void test_weights_set_in_pause(const void *data)
{
	const pause_case_t *test_case = data;
	view_builder_t builder = { 0 };
	uint64_t now_ms = NOW_MS;
	uint64_t known_ms;

	build_first_view(&builder);
	now_ms += test_case->pause_ms;
	known_ms = now_ms + test_case->known_ms;
	for (; now_ms < known_ms; now_ms += 100)
		view_builder_tick(&builder, now_ms);
	put_weights(&builder, 2);
	g_assert_cmpint(view_builder_publish(&builder, known_ms), ==, 0);
	g_assert_cmpuint(outdated_ms(&builder, 1, known_ms), ==,
			 test_case->outdated_ms);
	view_builder_free(&builder);
}

/* Failure: an instance whose peer did not send new weights in time counted the
 * time limit for the old ones from the answer of the next peer. */
static void test_weights_fetched_late(void)
{
	view_builder_t builder = { 0 };

	build_first_view(&builder);
	view_builder_tick(&builder, NOW_MS + 200);
	put_weights(&builder, 2);
	view_builder_fetched_weights(&builder, NOW_MS + 50);
	g_assert_cmpint(view_builder_publish(&builder, NOW_MS + 250), ==, 0);
	g_assert_cmpuint(outdated_ms(&builder, 1, NOW_MS + 250), ==, 200);
	/* Later ones are not concerned. */
	put_weights(&builder, 3);
	g_assert_cmpint(view_builder_publish(&builder, NOW_MS + 300), ==, 0);
	g_assert_cmpuint(outdated_ms(&builder, 2, NOW_MS + 300), ==, 0);
	view_builder_free(&builder);
}

static char *model_name(int number)
{
	g_autofree char *prefix = g_strnfill(MODEL_NAME_BYTES, 'm');

	return g_strdup_printf("%s-%d", prefix, number);
}

static json_t *pack_models(int version)
{
	json_t *models = json_array();

	for (int i = 0; i < MODEL_COUNT; i++) {
		g_autofree char *name = model_name(i);

		json_array_append_new(models,
				      json_pack("{s:s,s:i}", "name", name,
						"version", version));
	}
	return models;
}

/* Adds the target weights of all models in one list. */
static void put_many_weights(view_builder_t *builder, int version)
{
	object_table_t *table = &builder->tables[OBJECT_WEIGHTS];

	object_table_list_begin(table);
	for (int i = 0; i < MODEL_COUNT; i++) {
		g_autofree char *name = model_name(i);
		CLEANUP_JSON json_t *spec = json_pack("{s:s,s:i}", "model",
						      name, "version", version);
		object_item_t item = { .name = name,
				       .revision = (uint64_t)version,
				       .spec = spec };

		g_assert_cmpint(object_table_list_add(table, &item), ==, 1);
	}
	object_table_list_end(table, (uint64_t)version, NOW_MS);
}

/* Failure: a model with a name of 64 bytes or more, or beyond the 16th, had no
 * target weights, so engines kept the old ones. */
static void test_many_models(void)
{
	view_builder_t builder = { 0 };

	build_first_view(&builder);
	put_object(&builder, OBJECT_ENDPOINTS, "e", 2,
		   json_pack("{s:s,s:s,s:s,s:i,s:s,s:o}", "service", "s",
			     "addr", "10.0.0.1:80", "zone", "z", "slots", 4,
			     "state", "ready", "models", pack_models(1)));
	put_many_weights(&builder, 2);
	g_assert_cmpint(view_builder_publish(&builder, NOW_MS), ==, 0);
	g_assert_cmpuint(builder.view->endpoint_count, ==, 1);
	for (int i = 0; i < MODEL_COUNT; i++) {
		g_autofree char *name = model_name(i);
		const target_weights_t *target =
			view_weights(builder.view, name);

		g_assert_nonnull(target);
		g_assert_cmpuint(target->versions[0], ==, 2);
		g_assert_cmpuint(
			endpoint_weights(&builder.view->endpoints[0], name), ==,
			1);
	}
	view_builder_free(&builder);
}

/* Failure: instances whose names begin with the same 63 bytes were taken for
 * one, also in the lease. */
static void test_peer_names(void)
{
	char name[2 * PEER_NAME_MAX_BYTES];
	char first[PEER_NAME_MAX_BYTES];
	char second[PEER_NAME_MAX_BYTES];

	peer_name_make(first, "front-1");
	g_assert_cmpstr(first, ==, "front-1");
	memset(name, 'n', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	peer_name_make(first, name);
	name[sizeof(name) - 2] = 'o';
	peer_name_make(second, name);
	g_assert_cmpstr(first, !=, second);
	g_assert_cmpuint(strlen(first), ==, PEER_NAME_MAX_BYTES - 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-budget/all-instances",
			test_budget_all_instances);
	g_test_add_func("/retry-budget/window", test_budget_window);
	g_test_add_func("/retry-budget/restarts", test_budget_restarts);
	g_test_add_func("/retry-budget/many-services",
			test_budget_many_services);
	g_test_add_func("/endpoint-load/ejection", test_ejection);
	g_test_add_func("/endpoint-load/peer-ejection", test_peer_ejection);
	g_test_add_func("/endpoint-load/peer-ejection-renewed",
			test_peer_ejection_renewed);
	g_test_add_func("/sse-splitter/event-limit", test_splitter_event_limit);
	g_test_add_data_func("/peer-heartbeat/full", GINT_TO_POINTER(0),
			     test_heartbeat_full);
	g_test_add_data_func("/peer-heartbeat/full-crash-news",
			     GINT_TO_POINTER(PEER_CRASH_NEWS_MAX),
			     test_heartbeat_full);
	g_test_add_data_func("/peer-heartbeat/malformed", GINT_TO_POINTER(0),
			     test_heartbeat_malformed);
	g_test_add_data_func("/peer-heartbeat/malformed-crash-news",
			     GINT_TO_POINTER(PEER_CRASH_NEWS_MAX),
			     test_heartbeat_malformed);
	g_test_add_func("/peer-heartbeat/refuted", test_heartbeat_refuted);
	g_test_add_func("/peer-heartbeat/free-bytes",
			test_heartbeat_free_bytes);
	g_test_add_func("/gateway-parts/heartbeat/unknown-flag",
			test_heartbeat_unknown_flag);
	g_test_add_func("/peer-heartbeat/flags", test_heartbeat_flags);
	g_test_add_func("/peer-heartbeat/era", test_heartbeat_era);
	g_test_add_func("/peer-heartbeat/limits", test_heartbeat_limits);
	g_test_add_func("/peer-heartbeat/speeds", test_heartbeat_speeds);
	for (size_t i = 0; i < G_N_ELEMENTS(clock_cases); i++) {
		char *path = g_strdup_printf("/peer-heartbeat/turn-clock/%s",
					     clock_cases[i].name);

		g_test_add_data_func(path, &clock_cases[i],
				     test_heartbeat_turn_clock);
		g_free(path);
	}
	g_test_add_func("/crash-ring/full", test_crash_ring_full);
	g_test_add_func("/crash-ring/threads", test_crash_ring_threads);
	g_test_add_func("/crash-ring/report-age", test_crash_report_age);
	g_test_add_func("/view/outdated-weights", test_outdated_weights);
	g_test_add_func("/view/versions-in-quick-succession",
			test_versions_in_quick_succession);
	g_test_add_func("/view/weights-fetched-late",
			test_weights_fetched_late);
	for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
		char *path = g_strdup_printf("/view/weights-set-in-pause/%s",
					     pause_cases[i].name);

		g_test_add_data_func(path, &pause_cases[i],
				     test_weights_set_in_pause);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(splitter_cases); i++) {
		char *path = g_strdup_printf("/sse-splitter/cases/%zu", i);

		g_test_add_data_func(path, &splitter_cases[i], test_splitter);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bad_news_cases); i++) {
		char *path = g_strdup_printf("/peer-heartbeat/news/%s",
					     bad_news_cases[i].name);

		g_test_add_data_func(path, &bad_news_cases[i],
				     test_heartbeat_bad_news);
		g_free(path);
	}
	g_test_add_func("/view-builder/many-models", test_many_models);
	g_test_add_func("/peers/long-names", test_peer_names);
	return g_test_run();
}
