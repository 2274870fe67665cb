/* Small decision modules of the gateway. */
#include <glib.h>
#include <string.h>

#include "process/endpoint_load.h"
#include "process/error.h"
#include "process/peer_news.h"
#include "process/retry_budget.h"
#include "request/event_cut.h"
#include "version/view.h"

enum {
	INSTANCES = 14,
	SLACK = 108,
	WINDOW_MS = 10000,
};

/* Failure: 14 instances that each kept the budget broke it together. */
static void test_budget_of_fleet(void)
{
	retry_budget_t budgets[INSTANCES];
	uint32_t repeats = 0;
	uint32_t requests = 0;

	for (int i = 0; i < INSTANCES; i++) {
		retry_budget_init(&budgets[i], 0.2, SLACK, WINDOW_MS);
		budgets[i].instances = INSTANCES;
	}
	for (uint64_t now_ms = 0; now_ms < WINDOW_MS; now_ms += 100) {
		for (int i = 0; i < INSTANCES; i++) {
			retry_budget_request(&budgets[i], 7, now_ms);
			requests++;
			while (retry_budget_take(&budgets[i], 7, now_ms))
				repeats++;
		}
	}
	g_assert_cmpuint(repeats, <=, (uint32_t)(0.2 * requests) + SLACK);
	g_assert_cmpuint(repeats, >, SLACK / 2);
}

/* Failure: a budget that was used up never came back, or services shared it. */
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

/* Failure: an endpoint that is down got each request once. */
static void test_ejected(void)
{
	endpoint_load_t *load = endpoint_load_new("i-1", 0);

	g_assert_false(endpoint_load_failed(load, FAILURE_ONE, 1000));
	g_assert_true(endpoint_load_failed(load, FAILURE_ONE, 1001));
	g_assert_cmpuint(load->ejected_until_ms, ==,
			 1001 + ENDPOINT_EJECT_MIN_MS);
	endpoint_load_succeeded(load, 2000);
	g_assert_cmpuint(load->ejected_until_ms, ==, 0);
	g_assert_true(endpoint_load_failed(load, FAILURE_DOWN, 3000));
	/* Again at once after its return: longer, up to a limit. */
	for (int i = 0; i < 10; i++)
		endpoint_load_failed(load, FAILURE_DOWN, 10000 + 5000 * i);
	g_assert_cmpuint(load->ejected_until_ms, ==,
			 10000 + 5000 * 9 + ENDPOINT_EJECT_MAX_MS);
	endpoint_load_put(load);
}

/* Failure: an instance that is cut off talked the others out of endpoints that
 * answer them. */
static void test_hearsay(void)
{
	endpoint_load_t *load = endpoint_load_new("i-1", 0);

	endpoint_load_succeeded(load, 1000);
	g_assert_false(endpoint_load_peer_failed(load, 500, 1100));
	g_assert_cmpuint(load->ejected_until_ms, ==, 0);
	g_assert_true(endpoint_load_peer_failed(load, 99999, 5000));
	g_assert_cmpuint(load->ejected_until_ms, ==,
			 5000 + ENDPOINT_EJECT_MAX_MS);
	endpoint_load_put(load);
}

static void collect(void *context, uint64_t id, const char *bytes, size_t len)
{
	g_string_append_printf(context, "[%lld %zu]",
			       id == EVENT_CUT_NO_ID ? -1LL : (long long)id,
			       len);
	g_assert_true(bytes[len - 1] == '\n');
}

typedef struct cut_case {
	const char *bytes;
	const char *events;
	bool partial;
} cut_case_t;

/* Failure: an event that an endpoint broke off in its middle was passed on. */
static const cut_case_t cuts[] = {
	{ "id: 1\ndata: a\n\n", "[1 15]", false },
	{ "id: 1\ndata: a\n\nid: 2\nda", "[1 15]", true },
	{ "id: 1\r\ndata: a\r\n\r\n", "[1 18]", false },
	{ "weight-versions: 3\nid: 7\ndata: a\n\n", "[7 34]", false },
	{ "data: a\n\ndata: b\n\n", "[-1 9][-1 9]", false },
	{ "id: 1\ndata: a\n", "", true },
	{ "id: x\ndata: a\n\n", "[-1 15]", false },
};

static void test_cut(const void *data)
{
	const cut_case_t *row = data;
	size_t len = strlen(row->bytes);

	/* In one piece, and in every pair of pieces. */
	for (size_t at = 0; at <= len; at++) {
		event_cut_t cut = { 0 };
		GString *seen = g_string_new(NULL);

		g_assert_cmpint(
			event_cut_feed(&cut, row->bytes, at, collect, seen), ==,
			0);
		g_assert_cmpint(event_cut_feed(&cut, row->bytes + at, len - at,
					       collect, seen),
				==, 0);
		g_assert_cmpstr(seen->str, ==, row->events);
		g_assert_true(event_cut_is_partial(&cut) == row->partial);
		event_cut_free(&cut);
		g_string_free(seen, TRUE);
	}
}

/* Failure: an endless event filled the memory. */
static void test_cut_limit(void)
{
	event_cut_t cut = { 0 };
	char bytes[4096];
	int err = 0;

	memset(bytes, 'x', sizeof(bytes));
	for (int i = 0; i < 100 && !err; i++)
		err = event_cut_feed(&cut, bytes, sizeof(bytes), collect, NULL);
	g_assert_cmpint(err, ==, ERR_ENDPOINT_ANSWER);
	event_cut_free(&cut);
}

static void fill_news(peer_news_t *news)
{
	memset(news, 0, sizeof(*news));
	news->incarnation = 1ULL << 41;
	news->fencing = 3;
	memset(news->name, 'n', sizeof(news->name) - 1);
	news->watching = true;
	news->weights_count = 20;
	news->failed_count = PEER_FAILED_MAX;
	news->failed[PEER_FAILED_MAX - 1].ejected_ms = 300;
	while (peer_news_room(news) >= PEER_LOAD_BYTES &&
	       news->load_count < PEER_LOADS_MAX)
		news->loads[news->load_count++].tokens = 17;
	while (peer_news_room(news) >= PEER_NOTE_BYTES &&
	       news->note_count < PEER_NOTES_MAX)
		news->notes[news->note_count++].tokens = 18;
}

/* Failure: full news did not fit into a datagram and were never told. */
static void test_news(void)
{
	peer_news_t news;
	peer_news_t read;
	char bytes[PEER_NEWS_MAX_BYTES];
	int len;

	fill_news(&news);
	len = peer_news_encode(&news, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(peer_news_decode(&read, bytes, (size_t)len), ==, 0);
	g_assert_cmpmem(&news, sizeof(news), &read, sizeof(read));
}

/* Failure: a cut or foreign datagram was taken for news. */
static void test_bad_news(void)
{
	peer_news_t news;
	char bytes[PEER_NEWS_MAX_BYTES];
	int len;

	fill_news(&news);
	len = peer_news_encode(&news, bytes, sizeof(bytes));
	for (int cut = 0; cut < len; cut += 4)
		g_assert_cmpint(peer_news_decode(&news, bytes, (size_t)cut), ==,
				ERR_BAD_FIELD);
	bytes[0] ^= 1;
	g_assert_cmpint(peer_news_decode(&news, bytes, (size_t)len), ==,
			ERR_BAD_FIELD);
}

/* Failure: the time for weights began anew with each newer name, and requests
 * began on weights that had been replaced 9.6 s before. */
static void test_overdue(void)
{
	named_weights_t named = { .model = "m" };

	named_weights_add(&named, 1, 100);
	g_assert_cmpuint(named_weights_overdue(&named, 1, 5000), ==, 0);
	named_weights_add(&named, 2, 2000);
	named_weights_add(&named, 3, 5000);
	named_weights_add(&named, 3, 9000);
	named_weights_add(&named, 2, 9000);
	g_assert_cmpuint(named_weights_overdue(&named, 1, 9000), ==, 7000);
	g_assert_cmpuint(named_weights_overdue(&named, 2, 9000), ==, 4000);
	g_assert_cmpuint(named_weights_overdue(&named, 3, 9000), ==, 0);
	for (uint64_t version = 4; version < 40; version++)
		named_weights_add(&named, version, 9000 + version);
	g_assert_cmpuint(named.count, ==, VIEW_NAMED_MAX);
	g_assert_cmpuint(named.versions[0], ==, 39);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-budget/fleet", test_budget_of_fleet);
	g_test_add_func("/retry-budget/window", test_budget_window);
	g_test_add_func("/endpoint-load/ejected", test_ejected);
	g_test_add_func("/endpoint-load/hearsay", test_hearsay);
	g_test_add_func("/event-cut/limit", test_cut_limit);
	g_test_add_func("/peer-news/full", test_news);
	g_test_add_func("/peer-news/bad", test_bad_news);
	g_test_add_func("/view/overdue", test_overdue);
	for (size_t i = 0; i < G_N_ELEMENTS(cuts); i++) {
		char *path = g_strdup_printf("/event-cut/cases/%zu", i);

		g_test_add_data_func(path, &cuts[i], test_cut);
		g_free(path);
	}
	return g_test_run();
}
