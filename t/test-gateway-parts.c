/* Unit tests of small modules of the gateway: retry budget, endpoint load,
 * splitter of server-sent events, heartbeat codec and target weights. */
#include <glib.h>
#include <string.h>

#include "process/endpoint_load.h"
#include "process/error.h"
#include "process/peer_heartbeat.h"
#include "process/retry_budget.h"
#include "request/sse_splitter.h"
#include "version/view.h"

enum {
	INSTANCE_COUNT = 14,
	RETRY_SLACK = 108,
	WINDOW_MS = 10000,
};

/* Failure: 14 instances each kept within their retry budget, but together
 * exceeded the budget of the whole system. */
static void test_budget_all_instances(void)
{
	retry_budget_t budgets[INSTANCE_COUNT];
	uint32_t retries = 0;
	uint32_t requests = 0;

	for (int i = 0; i < INSTANCE_COUNT; i++) {
		retry_budget_init(&budgets[i], 0.2, RETRY_SLACK, WINDOW_MS);
		budgets[i].instances = INSTANCE_COUNT;
	}
	for (uint64_t now_ms = 0; now_ms < WINDOW_MS; now_ms += 100) {
		for (int i = 0; i < INSTANCE_COUNT; i++) {
			retry_budget_count_request(&budgets[i], 7, now_ms);
			requests++;
			while (retry_budget_take(&budgets[i], 7, now_ms))
				retries++;
		}
	}
	g_assert_cmpuint(retries, <=, (uint32_t)(0.2 * requests) + RETRY_SLACK);
	g_assert_cmpuint(retries, >, RETRY_SLACK / 2);
}

/* Failure: a retry budget that was used up was never refilled, or services
 * shared one budget. */
static void test_budget_window(void)
{
	retry_budget_t budget;

	retry_budget_init(&budget, 0.2, 10, WINDOW_MS);
	while (retry_budget_take(&budget, 1, 5000))
		;
	g_assert_true(retry_budget_take(&budget, 2, 5000));
	g_assert_false(retry_budget_take(&budget, 1, 5000 + WINDOW_MS / 2));
	g_assert_true(retry_budget_take(&budget, 1, 5000 + 2 * WINDOW_MS));
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

static void fill_heartbeat(peer_heartbeat_t *heartbeat)
{
	memset(heartbeat, 0, sizeof(*heartbeat));
	heartbeat->incarnation = 1ULL << 41;
	heartbeat->fencing = 3;
	memset(heartbeat->name, 'n', sizeof(heartbeat->name) - 1);
	heartbeat->watching = true;
	heartbeat->weights_count = 20;
	heartbeat->failed_count = PEER_FAILED_MAX;
	heartbeat->failed[PEER_FAILED_MAX - 1].ejected_ms = 300;
	while (peer_heartbeat_free_bytes(heartbeat) >= PEER_LOAD_BYTES &&
	       heartbeat->load_count < PEER_LOADS_MAX)
		heartbeat->loads[heartbeat->load_count++].tokens = 17;
	while (peer_heartbeat_free_bytes(heartbeat) >= PEER_HINT_BYTES &&
	       heartbeat->hint_count < PEER_HINTS_MAX)
		heartbeat->hints[heartbeat->hint_count++].tokens = 18;
}

/* Failure: a full heartbeat did not fit into a datagram and was never sent. */
static void test_heartbeat_full(void)
{
	peer_heartbeat_t heartbeat;
	peer_heartbeat_t decoded;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	fill_heartbeat(&heartbeat);
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(peer_heartbeat_decode(&decoded, bytes, (size_t)len), ==,
			0);
	g_assert_cmpmem(&heartbeat, sizeof(heartbeat), &decoded,
			sizeof(decoded));
}

/* Failure: a truncated or foreign datagram was accepted as a heartbeat. */
static void test_heartbeat_malformed(void)
{
	peer_heartbeat_t heartbeat;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	fill_heartbeat(&heartbeat);
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	for (int truncated_len = 0; truncated_len < len; truncated_len += 4)
		g_assert_cmpint(peer_heartbeat_decode(&heartbeat, bytes,
						      (size_t)truncated_len),
				==, ERR_BAD_FIELD);
	bytes[0] ^= 1;
	g_assert_cmpint(peer_heartbeat_decode(&heartbeat, bytes, (size_t)len),
			==, ERR_BAD_FIELD);
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-budget/all-instances",
			test_budget_all_instances);
	g_test_add_func("/retry-budget/window", test_budget_window);
	g_test_add_func("/endpoint-load/ejection", test_ejection);
	g_test_add_func("/endpoint-load/peer-ejection", test_peer_ejection);
	g_test_add_func("/sse-splitter/event-limit", test_splitter_event_limit);
	g_test_add_func("/peer-heartbeat/full", test_heartbeat_full);
	g_test_add_func("/peer-heartbeat/malformed", test_heartbeat_malformed);
	g_test_add_func("/view/outdated-weights", test_outdated_weights);
	for (size_t i = 0; i < G_N_ELEMENTS(splitter_cases); i++) {
		char *path = g_strdup_printf("/sse-splitter/cases/%zu", i);

		g_test_add_data_func(path, &splitter_cases[i], test_splitter);
		g_free(path);
	}
	return g_test_run();
}
