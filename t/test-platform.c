/* Platform adapter: parsing of store objects, reports and request heads. */
#include <glib.h>
#include <string.h>

#include "platform/platform_desired.h"
#include "platform/platform_engine.h"
#include "platform/platform_objects.h"
#include "platform/platform_request.h"
#include "process/cleanup.h"
#include "process/error.h"
#include "process/store_revision.h"

typedef struct entry_case {
	const char *json;
	bool usable;
	bool draining;
	uint64_t started_unix_ms;
} entry_case_t;

#define ENTRY(state, addr, slots)                                              \
	"{\"service\":\"s\",\"addr\":" addr ",\"zone\":\"z\",\"slots\":" slots \
	",\"state\":\"" state "\""

/* Guards against using an endpoint entry that is truncated or written by other
 * software. */
static const entry_case_t entries[] = {
	{ ENTRY("ready", "\"10.0.0.1:80\"", "4") "}", true, false, 0 },
	{ ENTRY("draining", "\"10.0.0.1:80\"", "4") ",\"born\":17}", true, true,
	  17 },
	{ ENTRY("ready", "\"10.0.0.1:80\"", "4") ",\"born\":\"x\"}", true,
	  false, 0 },
	{ ENTRY("resting", "\"10.0.0.1:80\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "7", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:0\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:99999\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"host:80\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:80x\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1: 80\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:+80\"", "4") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:80\"", "\"4\"") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:80\"", "4294967296") "}", false, false,
	  0 },
	{ ENTRY("ready", "\"10.0.0.1:80\"", "1e300") "}", false, false, 0 },
	{ ENTRY("ready", "\"10.0.0.1:80\"", "4") ",\"born\":1e300}", true,
	  false, UINT64_MAX },
	{ "{\"service\":\"s\"}", false, false, 0 },
	{ "[]", false, false, 0 },
	{ "null", false, false, 0 },
};

static void test_entries(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		CLEANUP_JSON json_t *spec =
			json_loads(entries[i].json, JSON_DECODE_ANY, NULL);
		endpoint_entry_t entry;
		int err = platform_read_endpoint("i-1", spec, &entry);

		g_assert_true((err == 0) == entries[i].usable);
		if (err)
			continue;
		g_assert_true(entry.draining == entries[i].draining);
		g_assert_cmpuint(entry.started_unix_ms, ==,
				 entries[i].started_unix_ms);
	}
}

/* Failure: an id with a line break in it added header lines to the requests for
 * its endpoint. */
static void test_endpoint_ids(void)
{
	static const struct {
		const char *id;
		bool usable;
	} ids[] = {
		{ "i-1", true },	  { "a&b c#%\xc3\xa9", true },
		{ "i\r\nKey: x", false }, { "i\n", false },
		{ "i\x7f", false },
	};
	CLEANUP_JSON json_t *spec =
		json_loads(ENTRY("ready", "\"10.0.0.1:80\"", "6") "}", 0, NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		endpoint_entry_t entry;

		g_assert_true(!platform_read_endpoint(ids[i].id, spec,
						      &entry) == ids[i].usable);
	}
}

#define OBJECT(name, spec) \
	"{\"metadata\":{\"name\":\"" name "\",\"rev\":5},\"spec\":" spec "}"

typedef struct odd_case {
	const char *name;
	const char *spec; /**< NULL: `depth` nested arrays. */
	int depth;
} odd_case_t;

static const odd_case_t odd_cases[] = {
	{ "integer-too-large", "{\"seq\":99999999999999999999}", 0 },
	{ "real-too-large", "{\"seq\":1e999}", 0 },
	{ "not-utf-8", "{\"zone\":\"\xff\xfe\"}", 0 },
	{ "nul-in-text", "{\"zone\":\"\\u0000\"}", 0 },
	{ "lone-surrogate", "{\"zone\":\"\\ud800\"}", 0 },
	{ "brackets-in-text", "{\"zone\":\"\\\"]}[{\\\\\",\"n\":1e999}", 0 },
	/* As deep as the parser reads, but not the encoder for peers. */
	{ "deep", NULL, 2044 },
	{ "too-deep", NULL, 3000 },
	{ "much-too-deep", NULL, 400000 },
};

static char *odd_spec(const odd_case_t *c)
{
	GString *spec = g_string_new(c->spec);

	for (int i = 0; i < c->depth; i++)
		g_string_append_c(spec, '[');
	for (int i = 0; i < c->depth; i++)
		g_string_append_c(spec, ']');
	return g_string_free(spec, FALSE);
}

/* Failure: one entry of another writer that cannot be read ended the list of
 * endpoints, so instances stopped following it. */
static void test_odd_entry(const void *data)
{
	char *spec = odd_spec(data);
	char *list = g_strdup_printf(
		"{\"items\":[" OBJECT("a", "{}") "," OBJECT(
			"odd",
			"%s") "," OBJECT("b",
					 "{}") "],\"has_more\":false,\"as_of\":9}",
		spec);
	char *watch = g_strdup_printf(
		"{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
			"odd",
			"%s") "},{\"deleted\":true,\"object\":" OBJECT("b",
								       "{}") "}],\"as_of\":9}",
		spec);
	object_page_t page;

	g_assert_cmpint(platform_read_page(OBJECT_ENDPOINTS, list, strlen(list),
					   1, &page),
			==, 0);
	g_assert_cmpuint(page.count, ==, 2);
	g_assert_cmpstr(page.items[0].name, ==, "a");
	g_assert_cmpstr(page.items[1].name, ==, "b");
	g_assert_cmpuint(store_revision_number(page.revision), ==, 9);
	g_assert_true(page.unreadable);
	object_page_free(&page);
	g_assert_cmpint(platform_read_page(OBJECT_ENDPOINTS, watch,
					   strlen(watch), 1, &page),
			==, 0);
	g_assert_cmpuint(page.count, ==, 1);
	g_assert_true(page.items[0].deleted);
	g_assert_true(page.unreadable);
	object_page_free(&page);
	g_free(spec);
	g_free(list);
	g_free(watch);
}

/* Bodies without a whole list hold no entries that could be saved. */
static void test_cut_page(void)
{
	const char *body = "{\"items\":[" OBJECT("a", "{}") "," OBJECT(
		"b", "{}") "],\"as_of\":9}";

	for (size_t len = 0; len < strlen(body); len++) {
		object_page_t page;

		g_assert_cmpint(platform_read_page(OBJECT_ENDPOINTS, body, len,
						   1, &page),
				==, ERR_BAD_JSON);
	}
}

#define ROUTES                                                                \
	"{\"version\":7,\"routes\":["                                         \
	"{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/p/\","             \
	"\"kind\":\"stream\",\"timeout_ms\":5000,\"priority\":1,"             \
	"\"resumable\":true,\"max_attempts\":2,\"traffic_split\":["           \
	"{\"service\":\"x\",\"weight\":90},{\"service\":\"y\",\"weight\":10}" \
	"]},"                                                                 \
	"{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/p/q/\","           \
	"\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"service\":\"y\"}],"
#define SERVICES                                                \
	"\"services\":[{\"name\":\"x\",\"health_path\":\"/h\"," \
	"\"engine\":{\"slots\":48,\"kv_capacity\":9000}},"      \
	"{\"name\":\"y\",\"health_path\":\"/h\"},"              \
	"{\"name\":\"c\",\"kv_store_addr\":\"10.0.0.9:1\",\"zone\":\"z\"}]"
#define CUSTOMERS                                                     \
	",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"]," \
	"\"priority\":3,\"isolated\":true}]}"

static desired_state_t *read_state(const char *text)
{
	CLEANUP_JSON json_t *spec = json_loads(text, 0, NULL);
	desired_state_t *state = NULL;

	g_assert_nonnull(spec);
	if (platform_read_desired(spec, 5, &state))
		return NULL;
	return state;
}

/* Guards against choosing a route by a shorter path prefix, another host or the
 * query. */
static void test_routes(void)
{
	desired_state_t *state = read_state(ROUTES SERVICES CUSTOMERS);
	uint32_t counts[3] = { 0 };

	g_assert_nonnull(state);
	g_assert_cmpstr(desired_find_route(state, "h:80", "/p/x")->name, ==,
			"a");
	g_assert_cmpstr(desired_find_route(state, "H", "/p/q/x")->name, ==,
			"b");
	g_assert_cmpstr(desired_find_route(state, "h", "/p/x?y=/p/q/")->name,
			==, "a");
	g_assert_null(desired_find_route(state, "other", "/p/x"));
	g_assert_null(desired_find_route(state, "h", "/p"));
	g_assert_null(desired_find_route(state, "h", "/?/p/"));
	for (uint64_t draw = 0; draw < 1000; draw++)
		counts[desired_pick_service(&state->routes[0], draw)]++;
	g_assert_cmpuint(counts[0], ==, 900);
	g_assert_cmpuint(counts[1], ==, 100);
	desired_put(state);
}

/* Guards against accepting an unknown key or a prefix of a key. */
static void test_keys(void)
{
	desired_state_t *state = read_state(ROUTES SERVICES CUSTOMERS);

	g_assert_cmpstr(desired_find_key(state, "k2")->name, ==, "t");
	g_assert_true(desired_find_key(state, "k1")->isolated);
	g_assert_cmpint(desired_find_key(state, "k1")->priority, ==, 3);
	g_assert_null(desired_find_key(state, "k"));
	g_assert_null(desired_find_key(state, "k12"));
	g_assert_null(desired_find_key(state, ""));
	desired_put(state);
}

typedef struct allowance_case {
	const char *name;
	const char *fields;
	uint64_t rate_per_s;
	uint64_t burst;
	bool counts_tokens;
	uint64_t plain_tokens;
} allowance_case_t;

static const allowance_case_t allowance_cases[] = {
	{ "tokens",
	  "\"rate_per_s\":29000,\"burst\":30000,\"unit\":\"tokens\","
	  "\"plain_tokens\":400",
	  29000, 30000, true, 400 },
	{ "requests", "\"rate_per_s\":5,\"burst\":10", 5, 10, false, 0 },
	{ "other-unit", "\"rate_per_s\":5,\"burst\":1,\"unit\":\"x\"", 5, 1,
	  false, 0 },
	{ "none", "\"isolated\":true", 0, 0, false, 0 },
	{ "zero", "\"rate_per_s\":0,\"unit\":\"tokens\"", 0, 0, true, 0 },
	{ "no-burst", "\"rate_per_s\":1000", 1000, 500, false, 0 },
	{ "fraction", "\"rate_per_s\":0.25", 1, 1, false, 0 },
	{ "negative", "\"rate_per_s\":-4,\"burst\":-1", 0, 0, false, 0 },
	{ "huge", "\"rate_per_s\":1e30,\"burst\":1e30", 1000000000000,
	  1000000000000, false, 0 },
	{ "wrong-types",
	  "\"rate_per_s\":\"5\",\"burst\":[],\"unit\":7,"
	  "\"plain_tokens\":true",
	  0, 0, false, 0 },
};

/* Guards against a limit that is read as another one or as none, and against a
 * field of a wrong type that makes the whole state invalid. */
static void test_allowance_fields(const void *data)
{
	const allowance_case_t *c = data;
	CLEANUP_FREE char *text =
		g_strdup_printf(ROUTES SERVICES ",\"tenants\":[{\"name\":\"t\","
						"\"api_keys\":[\"k\"],%s}]}",
				c->fields);
	desired_state_t *state = read_state(text);
	const desired_customer_t *customer;

	g_assert_nonnull(state);
	customer = desired_find_key(state, "k");
	g_assert_cmpuint(customer->rate_per_s, ==, c->rate_per_s);
	g_assert_cmpuint(customer->burst, ==, c->burst);
	g_assert_true(customer->counts_tokens == c->counts_tokens);
	g_assert_cmpuint(customer->plain_tokens, ==, c->plain_tokens);
	desired_put(state);
}

/* Guards against numbers that wrap around to small ones: 2^32 + 1 ms is not
 * 1 ms. */
static void test_large_numbers(void)
{
	desired_state_t *state = read_state(
		"{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"path_prefix\":\"/p/\",\"kind\":\"stream\","
		"\"timeout_ms\":4294967297,\"target_latency_ms\":4294967297,"
		"\"gap_aim_ms\":4294967297,\"max_attempts\":4294967297,"
		"\"traffic_split\":[{\"service\":\"x\","
		"\"weight\":4294967297}]}],"
		"\"services\":[{\"name\":\"x\",\"max_conns\":4294967297,"
		"\"engine\":{\"slots\":4294967297}}],"
		"\"limits\":{\"max_header_bytes\":4294967297,"
		"\"max_body_bytes\":4294967297,\"header_timeout_ms\":1e30,"
		"\"idle_timeout_ms\":4294967297}}");
	CLEANUP_JSON json_t *entry =
		json_loads(ENTRY("ready", "\"10.0.0.1:80\"",
				 "4") ",\"cold_left_ms\":4294967297}",
			   0, NULL);
	const desired_route_t *route = &state->routes[0];
	endpoint_entry_t endpoint;

	g_assert_cmpuint(route->timeout_ms, ==, UINT32_MAX);
	g_assert_cmpuint(route->target_latency_ms, ==, UINT32_MAX);
	g_assert_cmpuint(route->gap_target_ms, ==, UINT32_MAX);
	g_assert_cmpuint(route->attempts_max, ==, UINT32_MAX);
	g_assert_cmpuint(route->splits[0].weight, ==, UINT32_MAX);
	g_assert_cmpuint(state->services[0].connections_max, ==, UINT32_MAX);
	g_assert_cmpuint(state->services[0].engine.slots, ==, UINT32_MAX);
	g_assert_cmpuint(state->limits.header_max_bytes, ==, UINT32_MAX);
	g_assert_cmpuint(state->limits.body_max_bytes, ==, UINT32_MAX);
	g_assert_cmpuint(state->limits.header_timeout_ms, ==, UINT32_MAX);
	g_assert_cmpuint(state->limits.idle_timeout_ms, ==, UINT32_MAX);
	g_assert_cmpint(platform_read_endpoint("i-1", entry, &endpoint), ==, 0);
	g_assert_cmpuint(endpoint.warm_up_ms, ==, UINT32_MAX);
	desired_put(state);
}

/* Guards against replacing a valid desired state by an invalid one. */
static void test_bad_states(void)
{
	static const char *const invalid[] = {
		"{}",
		"{\"version\":\"7\",\"routes\":[],\"services\":[]}",
		ROUTES "\"services\":[]}",
		"{\"version\":7,\"services\":[],\"routes\":[{}]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_null(read_state(invalid[i]));
}

/* Guards against wrong ids or sizes of prompt parts. */
static void test_request(void)
{
	static char text[] = "/p\0Request-Id\0r\0Prompt-Prefix\0"
			     "5c1e07a2:800, 91bd3f06:410,e4402b7d:250\0"
			     "Token-Usage\0"
			     "1460,80\0Last-Event-Id\0x\0";
	http_head_t head = { .text = { .bytes = text, .len = sizeof(text) },
			     .header_count = 4 };
	const char *field = text + strlen(text) + 1;
	request_headers_t headers;

	for (int i = 0; i < 4; i++) {
		head.headers[i].name_offset = (uint32_t)(field - text);
		field += strlen(field) + 1;
		head.headers[i].value_offset = (uint32_t)(field - text);
		field += strlen(field) + 1;
	}
	platform_read_request(&head, &headers);
	g_assert_cmpuint(headers.part_count, ==, 3);
	g_assert_cmphex(headers.parts[1].id, ==, 0x91bd3f06);
	g_assert_cmpuint(headers.parts[2].tokens, ==, 250);
	g_assert_cmpuint(headers.prompt_tokens, ==, 1460);
	g_assert_cmpuint(headers.output_tokens_max, ==, 80);
	g_assert_true(headers.has_tokens);
	g_assert_true(headers.last_event == REQUEST_NO_LAST_EVENT);
	g_assert_null(headers.key);
}

typedef struct page_case {
	const char *body;
	int err;
	size_t count;
} page_case_t;

/* Guards against applying a truncated answer or an object without a name. */
static const page_case_t pages[] = {
	{ "{\"items\":[],\"as_of\":5}", 0, 0 },
	{ "{\"events\":[{\"deleted\":true,\"object\":{\"metadata\":{\"name\":"
	  "\"a\",\"rev\":4}}}],\"as_of\":5}",
	  0, 1 },
	{ "{\"items\":[{\"metadata\":{\"rev\":4}},{\"metadata\":{\"name\":"
	  "\"b\"}}],\"as_of\":5}",
	  0, 1 },
	{ "{\"items\":[{\"metadata\":{\"name\":\"a\"", ERR_BAD_JSON, 0 },
	{ "{\"as_of\":5}", ERR_BAD_JSON, 0 },
	{ "", ERR_BAD_JSON, 0 },
};

/* Failure: a revision of a new era of the store that is not above all of the
 * era before, or a call to the store that contains the era. */
static void test_revisions(void)
{
	static const char body[] = "{\"items\":[{\"metadata\":{\"name\":\"a\","
				   "\"rev\":4},\"spec\":{}}],\"as_of\":5}";
	struct evbuffer *message = evbuffer_new();
	CLEANUP_OBJECT_PAGE object_page_t page = { 0 };
	const char *text;

	g_assert_cmpint(platform_read_page(OBJECT_ENDPOINTS, body, strlen(body),
					   3, &page),
			==, 0);
	g_assert_cmpuint(page.items[0].revision, >,
			 store_revision_make(2, STORE_REVISION_MASK));
	g_assert_cmpuint(page.items[0].revision, <, page.revision);
	platform_write_watch(message, OBJECT_ENDPOINTS, page.revision, 10);
	platform_write_delete(message, OBJECT_MEMBERS, "m", page.revision);
	platform_write_replace(message, OBJECT_LEASES, "l", page.revision,
			       page.items[0].spec);
	evbuffer_add(message, "", 1);
	text = (const char *)evbuffer_pullup(message, -1);
	g_assert_nonnull(strstr(text, "?watch=5&"));
	g_assert_nonnull(strstr(text, "?rev=5 "));
	g_assert_nonnull(strstr(text, "\"rev\":5}"));
	evbuffer_free(message);
}

static void test_pages(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		CLEANUP_OBJECT_PAGE object_page_t page = { 0 };

		g_assert_cmpint(
			platform_read_page(OBJECT_ENDPOINTS, pages[i].body,
					   strlen(pages[i].body), 3, &page),
			==, pages[i].err);
		g_assert_cmpuint(page.count, ==, pages[i].count);
	}
}

/* Guards against sending an order after a report without the number of accepted
 * orders. */
static void test_reports(void)
{
	static const char valid[] =
		"{\"busy\":true,\"seq\":2,\"models\":[{\"name\":\"m\","
		"\"version\":3},{\"name\":7}]}";
	static const char invalid[] = "{\"busy\":true}";
	engine_report_t report;

	g_assert_cmpint(
		platform_read_report(valid, strlen(valid), "m", &report), ==,
		0);
	g_assert_true(report.busy);
	g_assert_cmpuint(report.accepted_orders, ==, 2);
	g_assert_cmpuint(report.weights, ==, 3);
	g_assert_cmpint(
		platform_read_report(valid, strlen(valid), "n", &report), ==,
		0);
	g_assert_cmpuint(report.weights, ==, 0);
	g_assert_cmpint(
		platform_read_report(invalid, strlen(invalid), "m", &report),
		==, ERR_BAD_JSON);
}

/** Memory that the JSON library has allocated, bytes. */
static size_t json_bytes;
static size_t json_bytes_most;

static void *count_malloc(size_t size)
{
	size_t *block = malloc(size + sizeof(max_align_t));

	g_assert_nonnull(block);
	*block = size;
	json_bytes += size;
	json_bytes_most = MAX(json_bytes_most, json_bytes);
	return (char *)block + sizeof(max_align_t);
}

static void count_free(void *memory)
{
	size_t *block =
		memory ? (void *)((char *)memory - sizeof(max_align_t)) : NULL;

	json_bytes -= block ? *block : 0;
	free(block);
}

enum {
	/** `value_bytes` of the platform. */
	VALUE_BYTES = 1048576,
	/** Entries of that size in one answer. */
	LARGE_ENTRIES = 3,
	/** For the memory of the smallest instance: what the contents of a page
	 * may take while it is read, bytes. */
	PAGE_DECODED_MAX_BYTES = 4 * 1024 * 1024,
};

#define READY ENTRY("ready", "\"10.0.0.1:80\"", "6")

/** An entry whose text is `begin`, as many times `part` as fit, and `end`. */
static const struct {
	const char *name;
	const char *begin;
	const char *part;
	const char *end;
	bool usable; /**< It names an endpoint. */
} large_entries[] = {
	{ "list-as-service", "{\"zone\":\"z\",\"service\":[0", ",{\"a\":1}",
	  "]}", false },
	{ "empty-objects", "{\"service\":[0", ",{}", "]}", false },
	{ "empty-lists", "{\"x\":[0", ",[]", "]}", false },
	{ "many-members", "{\"x\":0", ",\"y\":{\"z\":[]}", "}", false },
	{ "not-an-object", "[0", ",{}", "]", false },
	{ "long-state", READY ",\"state\":\"x", "xxxxxxxx", "\"}", false },
	{ "unknown-field", READY ",\"x\":[0", ",{}", "]}", true },
	{ "models", READY ",\"models\":[0", ",{}", "]}", true },
};

static char *large_list(const char *begin, const char *part, const char *end)
{
	GString *list = g_string_new("{\"items\":[");

	for (int i = 0; i < LARGE_ENTRIES; i++) {
		size_t from = list->len;

		g_string_append_printf(list,
				       "%s{\"metadata\":{\"name\":\"e%d\","
				       "\"rev\":%d},\"spec\":%s",
				       i ? "," : "", i, i + 1, begin);
		while (list->len - from < VALUE_BYTES)
			g_string_append(list, part);
		g_string_append_printf(list, "%s,\"status\":null}", end);
	}
	g_string_append(list, "],\"as_of\":9}");
	return g_string_free(list, FALSE);
}

/* Failure: large entries of another writer took the memory of all instances
 * that read the list. */
static void test_large_entries(void)
{
	json_set_alloc_funcs(count_malloc, count_free);
	for (size_t i = 0; i < G_N_ELEMENTS(large_entries); i++) {
		g_autofree char *body =
			large_list(large_entries[i].begin,
				   large_entries[i].part, large_entries[i].end);
		CLEANUP_OBJECT_PAGE object_page_t page = { 0 };
		size_t before = json_bytes;

		json_bytes_most = before;
		g_assert_cmpint(platform_read_page(OBJECT_ENDPOINTS, body,
						   strlen(body), 1, &page),
				==, 0);
		g_assert_cmpuint(json_bytes_most - before, <,
				 PAGE_DECODED_MAX_BYTES);
		g_assert_cmpuint(page.count, ==, LARGE_ENTRIES);
		for (size_t k = 0; k < page.count; k++) {
			endpoint_entry_t entry;
			int err = platform_read_endpoint(
				"e", page.items[k].spec, &entry);

			g_assert_true((err == 0) == large_entries[i].usable);
			if (!err)
				free(entry.models);
		}
	}
	json_set_alloc_funcs(malloc, free);
}

/* Failure: an id that did not fit into a buffer left a header line of an error
 * answer without its end. */
static void test_error_headers(void)
{
	static const size_t id_bytes[] = { 0, 1, 241, 242, 243, 256, 16000 };
	static const uint32_t retry_ms[] = { 0, 1250 };

	for (size_t i = 0; i < G_N_ELEMENTS(id_bytes) * 4; i++) {
		g_autofree char *id = g_strnfill(id_bytes[i / 4], 'i');
		bool not_run = i % 2;
		uint32_t retry_after_ms = retry_ms[i / 2 % 2];
		g_autofree char *expected = g_strdup_printf(
			"Request-Id: %s\r\n%s%s", id,
			not_run ? "Not-Executed: 1\r\n" : "",
			retry_after_ms ? "Retry-After: 1.250\r\n" : "");
		struct evbuffer *lines = evbuffer_new();

		platform_write_error_headers(lines, id, retry_after_ms,
					     not_run);
		g_assert_cmpmem(evbuffer_pullup(lines, -1),
				evbuffer_get_length(lines), expected,
				strlen(expected));
		evbuffer_free(lines);
	}
}

static const struct {
	const char *name;
	const char *escaped;
} url_names[] = {
	{ "i-7.f_3~a", "i-7.f_3~a" }, { "a&b=c", "a%26b%3Dc" },
	{ "a+b c", "a%2Bb%20c" },     { "a#b?c/d", "a%23b%3Fc%2Fd" },
	{ "a%2", "a%252" },	      { "\"\\\r\n", "%22%5C%0D%0A" },
	{ "\xc3\xa9", "%C3%A9" },     { "", "" },
};

static void assert_request_line(struct evbuffer *message, char *line)
{
	g_autofree char *expected = line;
	size_t len = strlen(line);

	g_assert_cmpmem(evbuffer_pullup(message, (ev_ssize_t)len), len, line,
			len);
	evbuffer_drain(message, evbuffer_get_length(message));
}

/* Failure: a name with a special character in the URL of a call to the store
 * named another object, or made the call invalid. */
static void test_url_names(void)
{
	struct evbuffer *message = evbuffer_new();
	CLEANUP_JSON json_t *spec = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(url_names); i++) {
		const char *name = url_names[i].name;
		const char *escaped = url_names[i].escaped;

		platform_write_list(message, OBJECT_STREAMS, name);
		assert_request_line(
			message, g_strdup_printf("GET /v1/objects/amv-streams"
						 "?after=%s HTTP/1.1\r\n",
						 escaped));
		platform_write_get(message, OBJECT_CRASHES, name);
		assert_request_line(
			message, g_strdup_printf("GET /v1/objects/amv-crashes/"
						 "%s HTTP/1.1\r\n",
						 escaped));
		platform_write_delete(message, OBJECT_MEMBERS, name, 7);
		assert_request_line(
			message,
			g_strdup_printf("DELETE /v1/objects/amv-members/"
					"%s?rev=7 HTTP/1.1\r\n",
					escaped));
		g_assert_cmpint(platform_write_replace(message, OBJECT_LEASES,
						       name, 7, spec),
				==, 0);
		assert_request_line(
			message, g_strdup_printf("PUT /v1/objects/amv-leases/"
						 "%s HTTP/1.1\r\n",
						 escaped));
	}
	evbuffer_free(message);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_cases); i++) {
		char *path = g_strdup_printf("/platform/odd-entry/%s",
					     odd_cases[i].name);

		g_test_add_data_func(path, &odd_cases[i], test_odd_entry);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(allowance_cases); i++) {
		char *path = g_strdup_printf("/platform/allowance/%s",
					     allowance_cases[i].name);

		g_test_add_data_func(path, &allowance_cases[i],
				     test_allowance_fields);
		g_free(path);
	}
	g_test_add_func("/platform/cut-page", test_cut_page);
	g_test_add_func("/platform/entries", test_entries);
	g_test_add_func("/platform/endpoint-ids", test_endpoint_ids);
	g_test_add_func("/platform/routes", test_routes);
	g_test_add_func("/platform/keys", test_keys);
	g_test_add_func("/platform/bad-states", test_bad_states);
	g_test_add_func("/platform/large-numbers", test_large_numbers);
	g_test_add_func("/platform/request", test_request);
	g_test_add_func("/platform/error-headers", test_error_headers);
	g_test_add_func("/platform/large-entries", test_large_entries);
	g_test_add_func("/platform/url-names", test_url_names);
	g_test_add_func("/platform/pages", test_pages);
	g_test_add_func("/platform/revisions", test_revisions);
	g_test_add_func("/platform/reports", test_reports);
	return g_test_run();
}
