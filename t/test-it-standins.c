/*
 * Tests of the stand-in programs for engine, plain service, stores and faulty
 * network, as sections 6 to 8 of docs/design.md describe them, and of the test
 * harness.
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/hash.h"
#include "t/lib/generate.h"
#include "t/lib/harness.h"

enum {
	/** Exit status of standin-engine when it simulates a crash. */
	EXIT_CRASH = 86,
	/** Value of `--block-tokens`. */
	BLOCK_TOKENS = 10,
};

/** Request body with a prompt of 2 full blocks and an answer of 6 tokens. */
#define CHAT_BODY                                                         \
	"{\"model\":\"m1\",\"stream\":true,\"max_tokens\":6,"             \
	"\"messages\":[{\"role\":\"system\",\"content\":\"manual manual " \
	"manual manual manual manual manual manual manual\"},"            \
	"{\"role\":\"user\",\"content\":\"pump 7\"}]}"
#define CRASH_BODY                                                       \
	"{\"model\":\"m1\",\"stream\":true,\"max_tokens\":6,\"prompt\":" \
	"\"please CRASH now\"}"
#define LONG_BODY                                                               \
	"{\"model\":\"m1\",\"stream\":true,\"max_tokens\":100000,\"prompt\":\"" \
	"long\"}"

static http_stream_t *open_path(uint16_t port, const char *method,
				const char *path, const char *const *headers,
				const char *body)
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u%s", port, path);

	return http_stream_open(method, url, headers, body);
}

static http_stream_t *open_chat(uint16_t port, const char *body,
				const char *attempt, const char *extra)
{
	g_autofree char *attempt_header =
		g_strconcat("X-Attempt: ", attempt, NULL);
	const char *headers[] = { attempt_header, extra, NULL };

	return open_path(port, "POST", "/v1/chat/completions", headers, body);
}

static long call_status(const char *method, uint16_t port, const char *path,
			const char *header, const char *body)
{
	const char *headers[] = { header, NULL };
	g_autoptr(http_answer_t) answer =
		http_local(method, port, path, headers, body);

	return answer->curl_result ? -answer->curl_result : answer->status;
}

static http_stream_t *open_order(program_t *engine, const char *body)
{
	return open_path(program_main_port(engine), "POST", "/engine/order",
			 NULL, body);
}

#define ASSERT_STATUS(expected, ...) \
	g_assert_cmpint(call_status(__VA_ARGS__), ==, expected)
#define ASSERT_NUMBER(port, path, member, expected) \
	g_assert_cmpint(http_local_number(port, path, member), ==, expected)

/* Tests can compute the exact answer that a client has to receive. */
static void test_engine_answer(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=2", NULL);
	g_autoptr(http_stream_t) stream =
		open_chat(program_main_port(engine), CHAT_BODY, "r1.1", NULL);
	const http_answer_t *answer = http_stream_wait(stream);
	g_autofree char *echo = http_answer_header(answer, "X-Attempt");
	g_autofree char *text = http_stream_text(stream);
	g_autofree char *expected = generate_answer(CHAT_BODY);

	g_assert_cmpint(answer->status, ==, 200);
	g_assert_cmpstr(echo, ==, "r1.1");
	g_assert_cmpstr(text, ==, expected);
	g_assert_true(http_stream_is_done(stream));
	/* One prefill event, 6 tokens, the end and [DONE]. */
	g_assert_cmpuint(http_stream_count(stream), ==, 9);
	g_assert_cmpstr(http_stream_event(stream, 6)->id, ==, "5");
	ASSERT_NUMBER(program_main_port(engine), "/control/stats",
		      "attempts r1.1", 1);
	g_assert_cmpint(program_stop(engine), ==, 0);
}

static int64_t cached_tokens(http_stream_t *stream)
{
	CLEANUP_JSON json_t *prefill = NULL;

	http_stream_wait(stream);
	prefill = json_loads(http_stream_event(stream, 0)->data, 0, NULL);
	return json_integer_value(json_object_get(prefill, "cached_tokens"));
}

/* Cached blocks are shared only by requests with the same cache salt. */
static void test_engine_cache(void)
{
	static const struct {
		const char *salt;
		int64_t cached;
	} cases[] = {
		{ "X-Cache-Salt: a", 0 },
		{ "X-Cache-Salt: a", 2 * BLOCK_TOKENS },
		{ "X-Cache-Salt: b", 0 },
		{ "X-Cache-Salt: a", 2 * BLOCK_TOKENS },
	};
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=2",
			      "--block-tokens=10", "--event-delay-ms=0", NULL);
	uint16_t port = program_main_port(engine);
	uint64_t key = hash_chain_start("a", "m1", "", "1");
	CLEANUP_JSON json_t *body = json_loads(CHAT_BODY, 0, NULL);
	g_autofree char *prompt = generate_prompt(body);
	g_autoptr(http_answer_t) events = NULL;
	char hex[HASH_KEY_HEX_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(http_stream_t) stream =
			open_chat(port, CHAT_BODY, "r.1", cases[i].salt);

		g_assert_cmpint(cached_tokens(stream), ==, cases[i].cached);
	}
	events = http_local("GET", port, "/engine/events?since=0&max=9", NULL,
			    NULL);
	hash_key_to_hex(
		hash_chain(key, prompt, BLOCK_TOKENS * GENERATE_TOKEN_BYTES),
		hex);
	g_assert_nonnull(strstr(events->body, hex));
}

static bool has_events(uint16_t port, size_t count)
{
	g_autoptr(http_answer_t) events =
		http_local("GET", port, "/engine/events?since=0", NULL, NULL);

	return json_array_size(json_object_get(events->json, "events")) ==
	       count;
}

/* The sequence numbers of cache events show that an event was lost. */
static void test_engine_event_gap(void)
{
	g_autoptr(program_t) engine = standin_start(
		"standin-engine", "--token-ms=2", "--block-tokens=10",
		"--event-delay-ms=300", NULL);
	uint16_t port = program_main_port(engine);
	g_autoptr(http_stream_t) stream = NULL;
	g_autoptr(http_answer_t) events = NULL;
	json_int_t seq = 0;
	uint64_t started_ms = clock_now_ms();

	standin_control(port, "{\"drop_events\":1}");
	stream = open_chat(port, CHAT_BODY, "r.1", NULL);
	http_stream_wait(stream);
	g_assert_true(WAIT_UNTIL(has_events(port, 1), HARNESS_WAIT_MS));
	g_assert_cmpuint(clock_now_ms() - started_ms, >=, 300);
	events = http_local("GET", port, "/engine/events?since=0", NULL, NULL);
	g_assert_cmpint(
		json_unpack(events->json, "{s:[{s:I}]}", "events", "seq", &seq),
		==, 0);
	g_assert_cmpint(seq, ==, 2);
}

/* A resumed stream continues without a gap, and only from the exact text. */
static void test_engine_resume(void)
{
	static const struct {
		uint32_t from;
		bool correct_text;
		long status;
	} cases[] = {
		{ 0, true, 200 },
		{ 4, true, 200 },
		{ 4, false, 400 },
		{ 7, true, 400 },
	};
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=2", NULL);
	g_autofree char *whole = generate_answer(CHAT_BODY);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		CLEANUP_JSON json_t *body = json_loads(CHAT_BODY, 0, NULL);
		g_autofree char *prompt = generate_prompt(body);
		g_autofree char *before = generate_text(prompt, cases[i].from);
		g_autofree char *header =
			g_strdup_printf("X-Resume-From: %u", cases[i].from);
		CLEANUP_FREE char *text = NULL;
		g_autoptr(http_stream_t) stream = NULL;
		g_autofree char *rest = NULL;

		json_object_set_new(
			body, "resume_text",
			json_string(cases[i].correct_text ? before : "other"));
		text = json_dumps(body, 0);
		stream = open_chat(program_main_port(engine), text, "r.2",
				   header);
		g_assert_cmpint(http_stream_wait(stream)->status, ==,
				cases[i].status);
		if (cases[i].status != 200)
			continue;
		rest = http_stream_text(stream);
		g_assert_cmpstr(rest, ==, whole + strlen(before));
	}
}

/* After its connection was lost, a stream can be read again from any token. */
static void test_engine_replay(void)
{
	g_autoptr(program_t) engine = standin_start(
		"standin-engine", "--token-ms=2", "--hold-ms=20000", NULL);
	uint16_t port = program_main_port(engine);
	g_autoptr(http_stream_t) first = NULL;
	g_autoptr(http_stream_t) second = NULL;
	g_autofree char *start = NULL;
	g_autofree char *rest = NULL;
	g_autofree char *both = NULL;
	g_autofree char *whole = generate_answer(CHAT_BODY);

	standin_control(port, "{\"close_streams\":1,\"close_after_tokens\":2}");
	first = open_chat(port, CHAT_BODY, "r.1", NULL);
	g_assert_cmpint(http_stream_wait(first)->curl_result, !=, 0);
	g_assert_false(http_stream_is_done(first));
	second = open_path(port, "GET", "/engine/stream?id=s1&from=2", NULL,
			   NULL);
	http_stream_wait(second);
	start = http_stream_text(first);
	rest = http_stream_text(second);
	both = g_strconcat(start, rest, NULL);
	g_assert_cmpstr(both, ==, whole);
	g_assert_true(http_stream_is_done(second));
	ASSERT_STATUS(404, "GET", port, "/engine/stream?id=s9&from=0", NULL,
		      NULL);
}

/* The engine crashes at the configured token, and the connection is lost. */
static void test_engine_crash_marker(void)
{
	static const char *const flags[] = { "--crash-after-tokens=0",
					     "--crash-after-tokens=2" };

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
		g_autoptr(program_t) engine =
			standin_start("standin-engine", "--token-ms=2",
				      "--crash-marker=CRASH", flags[i], NULL);
		g_autoptr(http_stream_t) good = open_chat(
			program_main_port(engine), CHAT_BODY, "r.1", NULL);
		g_autoptr(http_stream_t) bad = NULL;
		g_autofree char *text = NULL;

		http_stream_wait(good);
		g_assert_true(http_stream_is_done(good));
		bad = open_chat(program_main_port(engine), CRASH_BODY, "r.2",
				NULL);
		g_assert_cmpint(http_stream_wait(bad)->curl_result, !=, 0);
		text = http_stream_text(bad);
		g_assert_cmpuint(strlen(text), ==,
				 2 * i * GENERATE_TOKEN_BYTES);
		g_assert_cmpint(program_wait(engine, HARNESS_WAIT_MS), ==,
				EXIT_CRASH);
	}
}

static bool engine_shows(uint16_t port, const char *member, int64_t value)
{
	return http_local_number(port, "/engine/load", member) == value;
}

static uint64_t first_token_ms(http_stream_t *stream)
{
	http_stream_wait(stream);
	return http_stream_event(stream, 1)->at_ms;
}

/* An urgent request starts before less urgent ones that were queued earlier. */
static void test_engine_priority(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=10",
			      "--streams-max=1", "--load-lag-ms=0", NULL);
	uint16_t port = program_main_port(engine);
	g_autoptr(http_stream_t) running =
		open_chat(port, LONG_BODY, "r.1", "X-Priority: 9");
	g_autoptr(http_stream_t) later = NULL;
	g_autoptr(http_stream_t) urgent = NULL;

	g_assert_true(
		WAIT_UNTIL(http_stream_count(running) > 1, HARNESS_WAIT_MS));
	later = open_chat(port, CHAT_BODY, "r.2", "X-Priority: 9");
	g_assert_true(
		WAIT_UNTIL(engine_shows(port, "queued", 1), HARNESS_WAIT_MS));
	urgent = open_chat(port, CHAT_BODY, "r.3", "X-Priority: 0");
	g_assert_true(
		WAIT_UNTIL(engine_shows(port, "queued", 2), HARNESS_WAIT_MS));
	ASSERT_STATUS(200, "POST", port, "/engine/cancel", NULL,
		      "{\"stream_id\":\"s1\"}");
	g_assert_cmpuint(first_token_ms(urgent), <, first_token_ms(later));
	http_stream_wait(running);
	g_assert_false(http_stream_is_done(running));
	ASSERT_NUMBER(port, "/control/stats", "cancelled", 1);
}

/* The stream of a disconnected client ends and frees its slot. */
static void test_engine_lost_client(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=10",
			      "--hold-ms=100", "--load-lag-ms=200", NULL);
	uint16_t port = program_main_port(engine);
	g_autoptr(http_stream_t) stream =
		open_chat(port, LONG_BODY, "r.1", NULL);

	g_assert_true(
		WAIT_UNTIL(engine_shows(port, "running", 1), HARNESS_WAIT_MS));
	g_assert_cmpint(http_local_number(port, "/engine/load", "age_ms"), >=,
			100);
	http_stream_cancel(stream);
	g_assert_true(
		WAIT_UNTIL(engine_shows(port, "running", 0), HARNESS_WAIT_MS));
	ASSERT_NUMBER(port, "/control/stats", "expired", 1);
}

/* A router can distinguish a wrong attempt number, a stall and a leaving
 * engine. */
static void test_engine_faults(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=2", NULL);
	uint16_t port = program_main_port(engine);
	g_autoptr(http_stream_t) wrong = NULL;
	g_autoptr(http_stream_t) refused = NULL;
	g_autoptr(http_stream_t) stalled = NULL;
	g_autofree char *echo = NULL;
	g_autofree char *leaving = NULL;
	uint64_t started_ms = clock_now_ms();

	standin_control(port, "{\"wrong_attempts\":1}");
	wrong = open_chat(port, CHAT_BODY, "r.1", NULL);
	echo = http_answer_header(http_stream_wait(wrong), "X-Attempt");
	g_assert_cmpstr(echo, !=, "r.1");
	standin_control(port, "{\"stall_ms\":400}");
	stalled = open_chat(port, CHAT_BODY, "r.2", NULL);
	g_assert_cmpuint(first_token_ms(stalled), >=, started_ms + 400);
	standin_control(port, "{\"leaving\":true}");
	refused = open_chat(port, CHAT_BODY, "r.3", NULL);
	g_assert_cmpint(http_stream_wait(refused)->status, ==, 503);
	leaving = http_answer_header(http_stream_wait(refused), "X-Leaving");
	g_assert_cmpstr(leaving, ==, "1");
	ASSERT_NUMBER(port, "/control/stats", "requests_run", 2);
}

/* With `--check-fencing` an engine refuses an old fencing number; without it,
 * the number is ignored. */
static void test_engine_orders(void)
{
	static const struct {
		const char *flag;
		long old_status;
	} cases[] = { { "--check-fencing", 409 }, { NULL, 200 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(program_t) engine = standin_start(
			"standin-engine", "--load-ms=50", cases[i].flag, NULL);
		uint16_t port = program_main_port(engine);

		ASSERT_STATUS(200, "POST", port, "/engine/order", NULL,
			      "{\"order_id\":\"a\",\"kind\":"
			      "\"load_model\",\"version\":\"2\","
			      "\"fencing\":5}");
		ASSERT_NUMBER(port, "/engine/state", "fencing", 5);
		ASSERT_STATUS(cases[i].old_status, "POST", port,
			      "/engine/order", NULL,
			      "{\"order_id\":\"b\",\"kind\":"
			      "\"set_role\",\"role\":\"x\","
			      "\"fencing\":4}");
	}
}

/* Concurrent weight loads share the transfer limit of the weight store. */
static void test_weight_store_limit(void)
{
	static const char order[] =
		"{\"order_id\":\"a\",\"kind\":\"load_model\","
		"\"version\":\"2\",\"fencing\":1}";
	g_autoptr(program_t) weights =
		standin_start("standin-weights", "--transfers-max=1", NULL);
	uint16_t weights_port = program_main_port(weights);
	g_autofree char *flag = g_strdup_printf(
		"--weights-url=http://127.0.0.1:%u", weights_port);
	g_autoptr(program_t) a =
		standin_start("standin-engine", "--load-ms=500", flag, NULL);
	g_autoptr(program_t) b =
		standin_start("standin-engine", "--load-ms=500", flag, NULL);
	uint64_t started_ms = clock_now_ms();
	g_autoptr(http_stream_t) first = open_order(a, order);
	g_autoptr(http_stream_t) second = open_order(b, order);

	g_assert_cmpint(http_stream_wait(first)->status, ==, 200);
	g_assert_cmpint(http_stream_wait(second)->status, ==, 200);
	g_assert_cmpuint(clock_now_ms() - started_ms, >=, 1000);
	ASSERT_NUMBER(weights_port, "/control/stats", "running_max", 1);
	ASSERT_NUMBER(weights_port, "/control/stats", "open_max", 2);
}

/* Blocks imported from the KV store count as cached on the importing engine. */
static void test_kv_transfer(void)
{
	g_autoptr(program_t) kv =
		standin_start("standin-weights", "--role=kv", NULL);
	g_autofree char *flag = g_strdup_printf("--kv-url=http://127.0.0.1:%u",
						program_main_port(kv));
	g_autoptr(program_t) a = standin_start(
		"standin-engine", "--token-ms=2", "--block-tokens=10",
		"--event-delay-ms=0", flag, NULL);
	g_autoptr(program_t) b = standin_start("standin-engine", "--token-ms=2",
					       "--block-tokens=10", flag, NULL);
	g_autoptr(http_stream_t) first =
		open_chat(program_main_port(a), CHAT_BODY, "r.1", NULL);
	g_autoptr(http_stream_t) second = NULL;
	g_autoptr(http_answer_t) events = NULL;
	const char *keys[2];
	g_autofree char *body = NULL;

	g_assert_cmpint(cached_tokens(first), ==, 0);
	events = http_local("GET", program_main_port(a),
			    "/engine/events?since=0", NULL, NULL);
	g_assert_cmpint(json_unpack(events->json, "{s:[{s:s},{s:s}]}", "events",
				    "key", &keys[0], "key", &keys[1]),
			==, 0);
	body = g_strdup_printf("{\"keys\":[\"%s\",\"%s\"]}", keys[0], keys[1]);
	ASSERT_STATUS(200, "POST", program_main_port(a), "/engine/kv/export",
		      NULL, body);
	ASSERT_STATUS(200, "POST", program_main_port(b), "/engine/kv/import",
		      NULL, body);
	second = open_chat(program_main_port(b), CHAT_BODY, "r.1", NULL);
	g_assert_cmpint(cached_tokens(second), ==, 2 * BLOCK_TOKENS);
}

/* A write takes effect only if its condition holds. */
static void test_store_conditions(void)
{
	static const struct {
		const char *method;
		const char *condition;
		const char *body;
		long status;
	} cases[] = {
		{ "GET", NULL, NULL, 404 },
		{ "PUT", "If-Match: \"1\"", "{}", 412 },
		{ "PUT", NULL, "{}", 428 },
		{ "PUT", "If-None-Match: *", "{broken", 400 },
		{ "PUT", "If-None-Match: *", "{\"a\":1}", 201 },
		{ "PUT", "If-None-Match: *", "{\"a\":2}", 412 },
		{ "PUT", "If-Match: \"1\"", "{\"a\":3}", 200 },
		{ "PUT", "If-Match: \"1\"", "{\"a\":4}", 412 },
		{ "GET", NULL, NULL, 200 },
		{ "DELETE", "If-Match: \"1\"", NULL, 412 },
		{ "DELETE", "If-Match: \"2\"", NULL, 200 },
		{ "GET", NULL, NULL, 404 },
		{ "PUT", "If-None-Match: *", "{\"a\":5}", 201 },
	};
	g_autoptr(program_t) store = standin_start("standin-store", NULL);
	uint16_t port = program_main_port(store);
	g_autofree char *large = g_strnfill((1 << 20) + 1, '1');

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ASSERT_STATUS(cases[i].status, cases[i].method, port,
			      "/objects/order/a", cases[i].condition,
			      cases[i].body);
	ASSERT_STATUS(413, "PUT", port, "/objects/order/b", "If-None-Match: *",
		      large);
	ASSERT_NUMBER(port, "/control/stats", "calls PUT order/", 9);
	ASSERT_NUMBER(port, "/objects/order/a", "a", 5);
	g_assert_cmpint(program_stop(store), ==, 0);
}

static long create(uint16_t port, const char *path)
{
	return call_status("PUT", port, path, "If-None-Match: *", "{\"a\":1}");
}

/* A watch reports each change once, and answers 410 if its start is no longer
 * in the history. */
static void test_store_list_and_watch(void)
{
	g_autoptr(program_t) store =
		standin_start("standin-store", "--history=2", NULL);
	uint16_t port = program_main_port(store);
	g_autoptr(http_answer_t) list = NULL;
	g_autoptr(http_stream_t) watch = NULL;
	const char *key;
	int more;

	create(port, "/objects/p/a");
	create(port, "/objects/p/b");
	create(port, "/objects/q");
	list = http_local("GET", port, "/objects?prefix=p/&after=p/a&limit=1",
			  NULL, NULL);
	g_assert_cmpint(json_unpack(list->json, "{s:[{s:s}!],s:b}", "items",
				    "key", &key, "more", &more),
			==, 0);
	g_assert_cmpstr(key, ==, "p/b");
	g_assert_false(more);
	ASSERT_STATUS(410, "GET", port, "/watch?prefix=p/&after=0", NULL, NULL);
	watch = open_path(port, "GET", "/watch?prefix=p/&after=3", NULL, NULL);
	g_assert_true(WAIT_UNTIL(http_local_number(port, "/control/stats",
						   "calls WATCH p/") == 2,
				 HARNESS_WAIT_MS));
	create(port, "/objects/other");
	g_assert_false(http_stream_ended(watch));
	create(port, "/objects/p/c");
	g_assert_nonnull(strstr(http_stream_wait(watch)->body, "\"p/c\""));
	g_assert_null(strstr(http_stream_wait(watch)->body, "other"));
}

/* Lost answers, stale reads, outages and the rate limit are distinguishable. */
static void test_store_faults(void)
{
	g_autoptr(program_t) store = standin_start(
		"standin-store", "--writes-per-s=3", "--latency-ms=0", NULL);
	uint16_t port = program_main_port(store);
	int limited = 0;

	standin_control(port, "{\"drop_write_answers\":1,"
			      "\"drop_prefix\":\"order/\"}");
	g_assert_cmpint(create(port, "/objects/status/a"), ==, 201);
	g_assert_cmpint(create(port, "/objects/order/a"), ==,
			-CURLE_GOT_NOTHING);
	ASSERT_NUMBER(port, "/objects/order/a", "a", 1);
	standin_control(port, "{\"stale_ms\":60000}");
	ASSERT_STATUS(404, "GET", port, "/objects/order/a", NULL, NULL);
	standin_control(port, "{\"stale_ms\":0,\"outage_ms\":-1}");
	g_assert_cmpint(create(port, "/objects/order/b"), ==, 503);
	standin_control(port, "{\"outage_ms\":0}");
	ASSERT_STATUS(404, "GET", port, "/objects/order/b", NULL, NULL);
	for (int i = 0; i < 20; i++)
		limited += create(port, "/objects/order/a") == 429;
	g_assert_cmpint(limited, >, 0);
	ASSERT_NUMBER(port, "/control/stats", "rate_limited", limited);
}

static bool lists_instance(uint16_t port, const char *id)
{
	g_autoptr(http_answer_t) answer =
		http_local("GET", port, "/instances", NULL, NULL);

	return strstr(answer->body, id) != NULL;
}

/* After a change, the old instance list is served for `instances_lag_ms`. Tests
 * of membership rely on this. */
static void test_instance_list_lags(void)
{
	g_autoptr(program_t) store = standin_start("standin-store", NULL);
	uint16_t port = program_main_port(store);
	uint64_t started_ms = clock_now_ms();

	standin_control(port, "{\"instances\":[{\"id\":\"r1\"}]}");
	g_assert_true(lists_instance(port, "r1"));
	standin_control(port, "{\"instances_lag_ms\":300,"
			      "\"instances\":[{\"id\":\"r2\"}]}");
	g_assert_true(WAIT_UNTIL(lists_instance(port, "r2"), HARNESS_WAIT_MS));
	g_assert_cmpuint(clock_now_ms() - started_ms, >=, 300);
	g_assert_false(lists_instance(port, "r1"));
}

/* The count of executions is exact; tests use it to find duplicate and lost
 * orders. */
static void test_plain_executions(void)
{
	static const struct {
		const char *fencing;
		const char *control;
		long status;
		int64_t executed;
	} cases[] = {
		{ "X-Fencing-Number: 5", "{}", 200, 1 },
		{ "X-Fencing-Number: 5", "{}", 200, 2 },
		{ "X-Fencing-Number: 4", "{}", 409, 2 },
		{ "X-Fencing-Number: 6", "{\"lose_answers\":1}",
		  -CURLE_GOT_NOTHING, 3 },
		{ NULL, "{\"delay_ms\":20}", 200, 4 },
		{ NULL, "{\"leaving\":true}", 503, 4 },
	};
	g_autoptr(program_t) plain =
		standin_start("standin-plain", "--check-fencing", NULL);
	uint16_t port = program_main_port(plain);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *headers[] = { "Idempotency-Key: k",
					  cases[i].fencing, NULL };
		g_autoptr(http_answer_t) answer = NULL;

		standin_control(port, cases[i].control);
		answer = http_local("POST", port, "/dispatch", headers, "{}");
		g_assert_cmpint(answer->curl_result ? -answer->curl_result
						    : answer->status,
				==, cases[i].status);
		ASSERT_NUMBER(port, "/control/executions", "by_key k",
			      cases[i].executed);
	}
	ASSERT_NUMBER(port, "/control/executions", "by_path /dispatch", 4);
	g_assert_cmpint(program_stop(plain), ==, 0);
}

/* The client sees each fault of the proxy as the failure that it simulates. */
static void test_proxy(void)
{
	g_autoptr(program_t) plain = standin_start("standin-plain", NULL);
	g_autofree char *target =
		g_strdup_printf("--target-port=%u", program_main_port(plain));
	g_autoptr(program_t) proxy = standin_start("fault-proxy", target, NULL);
	uint16_t port = program_main_port(proxy);
	uint16_t control = program_port(proxy, "control");
	g_autoptr(http_stream_t) unanswered = NULL;
	g_autoptr(http_stream_t) truncated = NULL;
	uint64_t started_ms;

	ASSERT_STATUS(200, "POST", port, "/a", NULL, "{}");
	standin_control(control, "{\"delay_ms\":100}");
	started_ms = clock_now_ms();
	ASSERT_STATUS(200, "POST", port, "/a", NULL, "{}");
	g_assert_cmpuint(clock_now_ms() - started_ms, >=, 200);
	standin_control(control, "{\"delay_ms\":0,\"refuse\":true}");
	ASSERT_STATUS(-CURLE_COULDNT_CONNECT, "POST", port, "/a", NULL, "{}");
	standin_control(control, "{\"refuse\":false,\"blackhole\":true}");
	unanswered = open_path(port, "POST", "/b", NULL, "{}");
	g_assert_true(WAIT_UNTIL(
		http_local_number(control, "/control/stats", "accepted") == 3,
		HARNESS_WAIT_MS));
	g_assert_false(http_stream_ended(unanswered));
	standin_control(control, "{\"blackhole\":false,\"cut\":true}");
	g_assert_cmpint(http_stream_wait(unanswered)->curl_result, !=, 0);
	standin_control(control, "{\"answer_limit_bytes\":20}");
	truncated = open_path(port, "POST", "/c", NULL, "{}");
	g_assert_true(WAIT_UNTIL(http_local_number(program_main_port(plain),
						   "/control/executions",
						   "by_path /c") == 1,
				 HARNESS_WAIT_MS));
	standin_control(control, "{\"cut\":true}");
	g_assert_cmpint(http_stream_wait(truncated)->curl_result, !=, 0);
	ASSERT_NUMBER(program_main_port(plain), "/control/executions",
		      "by_path /b", 0);
	g_assert_cmpint(program_stop(proxy), ==, 0);
}

static program_t *start_store_on(uint16_t port)
{
	g_autofree char *flag = g_strdup_printf("--port=%u", port);
	const char *args[] = { flag, NULL };
	program_t *store = program_start_args("standin-store", args);

	g_assert_true(WAIT_UNTIL(port_accepts(port), HARNESS_WAIT_MS));
	return store;
}

/* The harness reports a killed program, and its port can be reused. */
static void test_harness_restart(void)
{
	uint16_t port = harness_free_port();
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u/instances", port);
	g_autoptr(program_t) first = start_store_on(port);
	g_autoptr(program_t) second = NULL;

	program_signal(first, SIGKILL);
	g_assert_cmpint(program_wait(first, HARNESS_WAIT_MS), ==,
			128 + SIGKILL);
	g_assert_false(url_answers(url));
	second = start_store_on(port);
	g_assert_true(program_is_running(second));
	g_assert_true(WAIT_UNTIL(url_answers(url), HARNESS_WAIT_MS));
}

/* Started programs are stopped when a test aborts, as on a failed assertion. */
static void test_harness_abort(void)
{
	g_autofree char *port_text = NULL;
	uint16_t port;

	if (g_test_subprocess()) {
		start_store_on((uint16_t)atoi(g_getenv("TEST_PORT")));
		printf("store is running\n");
		fflush(stdout);
		abort();
	}
	port = harness_free_port();
	port_text = g_strdup_printf("%u", port);
	g_setenv("TEST_PORT", port_text, TRUE);
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_failed();
	g_test_trap_assert_stdout("*store is running*");
	g_assert_true(WAIT_UNTIL(!port_accepts(port), HARNESS_WAIT_MS));
}

/* A client that stops reading for a time still receives the whole stream. */
static void test_slow_reader(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--token-ms=2", NULL);
	g_autoptr(http_stream_t) stream =
		open_chat(program_main_port(engine), CHAT_BODY, "r.1", NULL);
	g_autofree char *expected = generate_answer(CHAT_BODY);
	g_autofree char *text = NULL;
	size_t count;

	http_stream_pause(stream, true);
	count = http_stream_count(stream);
	g_assert_true(WAIT_UNTIL(http_local_number(program_main_port(engine),
						   "/control/stats",
						   "generated_tokens") == 6,
				 HARNESS_WAIT_MS));
	g_assert_cmpuint(http_stream_count(stream), ==, count);
	http_stream_pause(stream, false);
	http_stream_wait(stream);
	text = http_stream_text(stream);
	g_assert_cmpstr(text, ==, expected);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/engine/answer", test_engine_answer);
	g_test_add_func("/engine/cache", test_engine_cache);
	g_test_add_func("/engine/event-gap", test_engine_event_gap);
	g_test_add_func("/engine/resume", test_engine_resume);
	g_test_add_func("/engine/replay", test_engine_replay);
	g_test_add_func("/engine/crash-marker", test_engine_crash_marker);
	g_test_add_func("/engine/priority", test_engine_priority);
	g_test_add_func("/engine/lost-client", test_engine_lost_client);
	g_test_add_func("/engine/faults", test_engine_faults);
	g_test_add_func("/engine/orders", test_engine_orders);
	g_test_add_func("/engine/slow-reader", test_slow_reader);
	g_test_add_func("/weights/limit", test_weight_store_limit);
	g_test_add_func("/kv/transfer", test_kv_transfer);
	g_test_add_func("/store/conditions", test_store_conditions);
	g_test_add_func("/store/list-and-watch", test_store_list_and_watch);
	g_test_add_func("/store/faults", test_store_faults);
	g_test_add_func("/store/instances", test_instance_list_lags);
	g_test_add_func("/plain/executions", test_plain_executions);
	g_test_add_func("/proxy/faults", test_proxy);
	g_test_add_func("/harness/restart", test_harness_restart);
	g_test_add_func("/harness/abort", test_harness_abort);
	return g_test_run();
}
