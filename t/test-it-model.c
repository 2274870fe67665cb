/* Tests of model requests with real router and engine processes. */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/generate.h"
#include "t/lib/rig.h"

enum {
	/** Length of an answer that is interrupted, and events before that. */
	LONG_ANSWER_TOKENS = 60,
	EVENTS_BEFORE_FAULT = 12,
	/** A prompt of several blocks of 100 tokens. */
	PROMPT_BYTES = 2000,
};

static char *long_prompt(char letter)
{
	return g_strnfill(PROMPT_BYTES, letter);
}

static int64_t usage_value(const http_answer_t *answer, const char *name)
{
	json_t *usage = json_object_get(answer->json, "usage");
	json_t *details = json_object_get(usage, "prompt_tokens_details");
	json_t *value = json_object_get(usage, name);

	return json_integer_value(value ? value
					: json_object_get(details, name));
}

static int64_t cached_tokens(rig_t *rig, const char *key, const char *body)
{
	const char *const headers[] = { key, NULL };
	g_autoptr(http_answer_t) answer =
		http_local("POST", rig->ports[0], RIG_CHAT, headers, body);

	g_assert_cmpint(answer->status, ==, 200);
	return usage_value(answer, "cached_tokens");
}

/* A stream must have every token exactly once and in order, and each event an
 * id to resume from. */
static void test_stream_exactly_once(void)
{
	rig_options_t options = { .engines = 2,
				  .routers = 1,
				  .engine_args = { "--token-ms", "1" } };
	g_autoptr(rig_t) rig = rig_start(&options);

	for (int i = 0; i < 4; i++) {
		g_autofree char *prompt = g_strdup_printf("prompt \"%d\"\n", i);
		CLEANUP_FREE char *body = rig_body(prompt, 200, true);
		g_autoptr(http_stream_t) stream =
			rig_stream(rig, 0, RIG_KEY_1, body, NULL);
		size_t count;

		rig_assert_complete(stream, body);
		count = http_stream_count(stream);
		/* First event, tokens, finish chunk, [DONE]. */
		g_assert_cmpuint(count, ==, 1 + 200 + 1 + 1);
		for (size_t j = 0; j + 1 < count; j++)
			g_assert_nonnull(http_stream_event(stream, j)->id);
	}
	g_assert_cmpint(rig_engine_sum(rig, "requests_run"), ==, 4);
	g_assert_cmpint(rig_metric(rig, 0, "amv_relayed_tokens_total"), ==,
			800);
}

/* A client that requests no stream must get one JSON answer with all text. */
static void test_non_streaming_answer(void)
{
	rig_options_t options = { .engines = 1,
				  .routers = 1,
				  .engine_args = { "--token-ms", "1" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	static const char *const headers[] = { RIG_KEY_1, NULL };
	static const char prompt[] =
		"{\"model\":\"m1\",\"prompt\":\"once\",\"max_tokens\":40}";
	CLEANUP_FREE char *body = rig_body("hello", 100, false);
	g_autofree char *expected = generate_answer(body);
	g_autofree char *expected_prompt = generate_answer(prompt);
	g_autoptr(http_answer_t) answer = rig_chat(rig, 0, body);
	g_autoptr(http_answer_t) completion = http_local(
		"POST", rig->ports[0], "/v1/completions", headers, prompt);
	const char *text = NULL;

	g_assert_cmpint(answer->status, ==, 200);
	g_assert_cmpint(json_unpack(answer->json, "{s:[{s:{s:s}}]}", "choices",
				    "message", "content", &text),
			==, 0);
	g_assert_cmpstr(text, ==, expected);
	g_assert_cmpint(usage_value(answer, "completion_tokens"), ==, 100);
	g_assert_cmpint(json_unpack(completion->json, "{s:[{s:s}]}", "choices",
				    "text", &text),
			==, 0);
	g_assert_cmpstr(text, ==, expected_prompt);
}

/* An engine is killed during a stream: the stream must go on without a gap or a
 * repeated token, up to its end marker. */
static void test_engine_lost(void)
{
	rig_options_t options = { .engines = 2, .routers = 1 };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body =
		rig_body("interrupted", LONG_ANSWER_TOKENS, true);
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);

	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	rig_kill_engine(rig, rig_busy_engine(rig));
	rig_assert_complete(stream, body);
	g_assert_cmpuint(http_stream_count(stream), ==, LONG_ANSWER_TOKENS + 3);
}

/* No engine is left to continue a stream: the client must get an error event,
 * so that it does not take the partial answer as complete. */
static void test_no_engine_to_resume_on(void)
{
	rig_options_t options = { .engines = 1, .routers = 1 };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("cut", LONG_ANSWER_TOKENS, true);
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	const sse_event_t *last;

	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	rig_kill_engine(rig, 0);
	http_stream_wait(stream);
	last = http_stream_event(stream, http_stream_count(stream) - 1);
	g_assert_cmpstr(last->event, ==, "error");
	g_assert_nonnull(strstr(last->data, "\"ran\":\"unknown\""));
	g_assert_false(http_stream_is_done(stream));
}

/* A request that crashes its engines must not crash a third one, also when its
 * client sends it again. */
static void test_at_most_two_engines_are_lost(void)
{
	rig_options_t options = {
		.engines = 4,
		.routers = 1,
		.engine_args = { "--crash-marker", "poison",
				 "--crash-after-tokens", "3" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("poison", LONG_ANSWER_TOKENS, true);
	CLEANUP_FREE char *harmless_body = rig_body("harmless", 10, true);
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	g_autoptr(http_stream_t) other = NULL;

	http_stream_wait(stream);
	g_assert_false(http_stream_is_done(stream));
	g_assert_true(
		WAIT_UNTIL(rig_running_engines(rig) == 2, HARNESS_WAIT_MS));
	for (int i = 0; i < 3; i++) {
		g_autoptr(http_answer_t) repeated = rig_chat(rig, 0, body);

		rig_assert_refused(repeated, 422, "quarantined");
	}
	g_assert_cmpint(rig_running_engines(rig), ==, 2);
	other = rig_stream(rig, 0, RIG_KEY_1, harmless_body, NULL);
	rig_assert_complete(other, harmless_body);
}

/** Engine that `/admin/explain` names for a request body. */
static int explain_engine(rig_t *rig, const char *body)
{
	static const char *const headers[] = { RIG_OPERATOR, NULL };
	g_autofree char *explain_body =
		g_strdup_printf("{\"customer\":\"c1\",\"request\":%s}", body);
	g_autoptr(http_answer_t) answer = http_local(
		"POST", rig->ports[0], "/admin/explain", headers, explain_body);
	const char *name = NULL;

	g_assert_cmpint(answer->status, ==, 200);
	g_assert_cmpint(json_unpack(answer->json, "{s:s}", "endpoint", &name),
			==, 0);
	return name[1] - '0';
}

/** Ticket 1: the objects in force, but without model m1 for customer c1. */
static char *make_withdrawal_ticket(rig_t *rig)
{
	static const char *const headers[] = { RIG_OPERATOR, NULL };
	g_autoptr(http_answer_t) answer = http_local(
		"GET", rig->ports[0], "/admin/objects", headers, NULL);
	json_t *objects = json_object_get(answer->json, "objects");
	CLEANUP_JSON json_t *ticket =
		json_pack("{s:i,s:s,s:O}", "ticket", 1, "author", "test",
			  "objects", objects);

	g_assert_nonnull(ticket);
	json_array_remove(
		json_object_get(json_object_get(objects, "customer/c1"),
				"pools"),
		0);
	return json_dumps(ticket, JSON_COMPACT);
}

static long chat_status(rig_t *rig, int router, const char *body)
{
	g_autoptr(http_answer_t) answer = rig_chat(rig, router, body);

	return answer->status;
}

/* A ticket accepted by one router must come into force at every router. */
static void test_ticket(void)
{
	static const char *const headers[] = { RIG_OPERATOR, NULL };
	rig_options_t options = { .engines = 1, .routers = 2 };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("ticket", 1, false);
	CLEANUP_FREE char *ticket = make_withdrawal_ticket(rig);
	g_autoptr(http_answer_t) answer = NULL;

	g_assert_cmpint(chat_status(rig, 0, body), ==, 200);
	answer = http_local("POST", rig->ports[0], "/admin/tickets", headers,
			    ticket);
	g_test_message("answer: %s", answer->body);
	g_assert_cmpint(answer->status, ==, 200);
	for (int i = 0; i < 2; i++)
		g_assert_true(WAIT_UNTIL(chat_status(rig, i, body) == 404,
					 HARNESS_WAIT_MS));
}

/* The connection is lost but the engine still runs: the request must not be
 * suspected of crashing engines, and must continue at once. */
static void test_connection_cut(void)
{
	rig_options_t options = { .engines = 2, .routers = 1 };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("cut off", LONG_ANSWER_TOKENS, true);
	int engine = explain_engine(rig, body);
	g_autoptr(http_stream_t) stream = NULL;

	standin_control(rig->engine_ports[engine],
			"{\"close_streams\":1,\"close_after_tokens\":5}");
	stream = rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	rig_assert_complete(stream, body);
	g_assert_cmpuint(http_stream_count(stream), ==, LONG_ANSWER_TOKENS + 3);
	g_assert_cmpint(
		rig_metric(rig, 0, "amv_errors_total{type=\"quarantined\"}"),
		==, 0);
}

/* An answer with the number of another attempt must not reach the client. */
static void test_wrong_attempt_is_discarded(void)
{
	rig_options_t options = { .engines = 2,
				  .routers = 1,
				  .engine_args = { "--token-ms", "1" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("mine", 20, true);
	g_autoptr(http_stream_t) failed = NULL;
	g_autoptr(http_stream_t) stream = NULL;

	standin_control(rig->engine_ports[0], "{\"wrong_attempts\":1}");
	standin_control(rig->engine_ports[1], "{\"wrong_attempts\":1}");
	failed = rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	http_stream_wait(failed);
	g_assert_cmpint(http_stream_wait(failed)->status, ==, 503);
	g_assert_cmpuint(http_stream_count(failed), ==, 0);
	stream = rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	rig_assert_complete(stream, body);
	g_assert_cmpuint(http_stream_count(stream), ==, 20 + 3);
}

/* Customers must not learn from cached tokens that another customer sent the
 * same prompt. */
static void test_customers_do_not_share_cache(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.engine_args = { "--token-ms", "1", "--block-tokens", "100" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	g_autofree char *prompt = long_prompt('a');
	CLEANUP_FREE char *body = rig_body(prompt, 4, false);

	g_assert_cmpint(cached_tokens(rig, RIG_KEY_1, body), ==, 0);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_1, body), >=, 500);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_2, body), ==, 0);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_2, body), >=, 500);
}

/* A restarted engine, or one with other weights, has an empty cache. Cached
 * prefixes of its previous incarnation in the cache index must affect neither
 * the answer nor the counted cache hits. */
static void test_stale_cache_index(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.engine_args = { "--token-ms", "1", "--block-tokens", "100",
				 "--load-ms", "10", "--load-lag-ms", "50" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	g_autofree char *prompt = long_prompt('b');
	CLEANUP_FREE char *body = rig_body(prompt, 50, true);
	CLEANUP_FREE char *short_body = rig_body(prompt, 4, false);
	g_autoptr(http_answer_t) order = NULL;
	g_autoptr(http_stream_t) stream = NULL;
	int64_t cached;

	cached_tokens(rig, RIG_KEY_1, short_body);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_1, short_body), >=, 500);
	rig_kill_engine(rig, 0);
	rig_restart_engine(rig, 0);
	cached = rig_metric(rig, 0, "amv_cached_prompt_tokens_total");
	stream = rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	rig_assert_complete(stream, body);
	g_assert_cmpint(rig_metric(rig, 0, "amv_cached_prompt_tokens_total"),
			==, cached);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_1, short_body), >=, 500);
	order = http_local("POST", rig->engine_ports[0], "/engine/order", NULL,
			   "{\"order_id\":\"o1\",\"kind\":\"load_model\","
			   "\"model\":\"m1\",\"version\":\"2\","
			   "\"fencing\":1}");
	g_assert_cmpint(order->status, ==, 200);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_1, short_body), ==, 0);
	g_assert_cmpint(cached_tokens(rig, RIG_KEY_1, short_body), >=, 500);
}

typedef struct bad_case {
	const char *name;
	const char *method;
	const char *path;
	const char *headers[3];
	const char *body;
	long status;
	const char *type;
} bad_case_t;

#define VALID_BODY "{\"model\":\"m1\",\"prompt\":\"x\"}"

static const bad_case_t bad_cases[] = {
	{ "no key",
	  "POST",
	  "/v1/completions",
	  { NULL },
	  VALID_BODY,
	  401,
	  "unauthenticated" },
	{ "unknown key",
	  "POST",
	  "/v1/completions",
	  { "Authorization: Bearer nobody" },
	  VALID_BODY,
	  401,
	  "unauthenticated" },
	{ "other scheme",
	  "POST",
	  "/v1/completions",
	  { "Authorization: Basic key-of-customer-1" },
	  VALID_BODY,
	  401,
	  "unauthenticated" },
	{ "malformed JSON",
	  "POST",
	  RIG_CHAT,
	  { RIG_KEY_1 },
	  "{\"model\":",
	  400,
	  "bad_json" },
	{ "no body", "POST", RIG_CHAT, { RIG_KEY_1 }, "", 400, "bad_json" },
	{ "bad UTF-8",
	  "POST",
	  RIG_CHAT,
	  { RIG_KEY_1 },
	  "{\"model\":\"\xff\xfe\"}",
	  400,
	  "bad_utf8" },
	{ "missing field",
	  "POST",
	  RIG_CHAT,
	  { RIG_KEY_1 },
	  "{\"model\":\"m1\"}",
	  400,
	  "bad_field" },
	{ "unknown model",
	  "POST",
	  "/v1/completions",
	  { RIG_KEY_1 },
	  "{\"model\":\"m9\",\"prompt\":\"x\"}",
	  404,
	  "unknown_model" },
	{ "model of another customer",
	  "POST",
	  "/v1/completions",
	  { RIG_KEY_1 },
	  "{\"model\":\"m2\",\"prompt\":\"x\"}",
	  404,
	  "unknown_model" },
	{ "resume_text alone",
	  "POST",
	  "/v1/completions",
	  { RIG_KEY_1 },
	  "{\"model\":\"m1\",\"prompt\":\"x\",\"resume_text\":\"y\"}",
	  400,
	  "bad_field" },
	{ "false resume token",
	  "POST",
	  "/v1/completions",
	  { RIG_KEY_1, "Last-Event-ID: AAAA" },
	  VALID_BODY,
	  400,
	  "resume_token" },
	{ "bad deadline",
	  "POST",
	  "/v1/completions",
	  { RIG_KEY_1, "X-Deadline-Ms: soon" },
	  VALID_BODY,
	  400,
	  "bad_field" },
	{ "wrong method",
	  "GET",
	  RIG_CHAT,
	  { RIG_KEY_1 },
	  NULL,
	  405,
	  "method_not_allowed" },
	{ "unknown path",
	  "GET",
	  "/v1/other",
	  { RIG_KEY_1 },
	  NULL,
	  404,
	  "not_found" },
	{ "customer as operator",
	  "GET",
	  "/admin/config",
	  { RIG_KEY_1 },
	  NULL,
	  401,
	  "unauthenticated" },
};

static int connect_to(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int receive_buffer_bytes = 4096;

	g_assert_cmpint(fd, >=, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
		   sizeof(receive_buffer_bytes));
	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	size_t len = strlen(text);

	g_assert_cmpint(send(fd, text, len, MSG_NOSIGNAL), ==, (ssize_t)len);
}

static char *read_all(int fd)
{
	GString *text = g_string_new(NULL);
	char buffer[1024];
	ssize_t received;

	while ((received = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(text, buffer, received);
	return g_string_free(text, FALSE);
}

/* The body ends before its Content-Length: the request must not run. */
static void check_truncated_body(rig_t *rig)
{
	CLEANUP_FD int fd = connect_to(rig->ports[0]);
	g_autofree char *answer = NULL;

	send_text(fd, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" RIG_KEY_1
		      "\r\nContent-Length: 500\r\n\r\n{\"model\":");
	shutdown(fd, SHUT_WR);
	answer = read_all(fd);
	g_assert_nonnull(strstr(answer, "400 "));
	g_assert_nonnull(strstr(answer, "\"body_incomplete\""));
	g_assert_nonnull(strstr(answer, "X-Run-State: not_run"));
}

/* A body sent byte by byte must not occupy its thread for longer than
 * the client timeout. */
static void check_trickled_body(rig_t *rig)
{
	CLEANUP_FD int fd = connect_to(rig->ports[0]);
	uint64_t deadline_ms = clock_now_ms() + HARNESS_WAIT_MS;
	char first = '\0';

	send_text(fd, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" RIG_KEY_1
		      "\r\nContent-Length: 4000\r\n\r\n");
	while (recv(fd, &first, 1, MSG_DONTWAIT) != 1 &&
	       clock_now_ms() < deadline_ms) {
		send(fd, " ", 1, MSG_NOSIGNAL);
		clock_sleep_us((uint64_t)HARNESS_POLL_MS * 1000);
	}
	g_assert_true(first == 'H');
}

static void check_oversized_input(rig_t *rig)
{
	g_autofree char *large = g_strnfill(5000, 'x');
	CLEANUP_FREE char *body = rig_body(large, 1, false);
	g_autofree char *header = g_strdup_printf("X-Long: %s", large);
	const char *const headers[] = { RIG_KEY_1, header, NULL };
	g_autoptr(http_answer_t) answer = rig_chat(rig, 0, body);
	g_autoptr(http_answer_t) long_header = http_local(
		"POST", rig->ports[0], RIG_CHAT, headers, VALID_BODY);

	rig_assert_refused(answer, 413, "body_too_large");
	rig_assert_refused(long_header, 431, "header_too_large");
}

/* Bad input must get a specific error and must not reach an engine. */
static void test_bad_input(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.router_args = { "--header-max-bytes", "4096",
				 "--caller-timeout-ms", "1000" },
		.objects = "\"limits/global\":{\"body_max_bytes\":4096},",
	};
	g_autoptr(rig_t) rig = rig_start(&options);

	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		const bad_case_t *c = &bad_cases[i];
		g_autoptr(http_answer_t) answer = http_local(
			c->method, rig->ports[0], c->path, c->headers, c->body);

		g_test_message("%s: %s", c->name, answer->body);
		rig_assert_refused(answer, c->status, c->type);
	}
	check_truncated_body(rig);
	check_trickled_body(rig);
	check_oversized_input(rig);
	g_assert_cmpint(rig_engine_sum(rig, "requests_run"), ==, 0);
	g_assert_cmpint(rig_engine_sum(rig, "refused"), ==, 0);
}

/* A client that does not read its stream must not hold memory, a thread or an
 * engine. */
static void test_slow_client(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.engine_args = { "--token-ms", "0.1", "--stream-ms", "0" },
		.router_args = { "--caller-timeout-ms", "300" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("slow", 1000000, true);
	g_autofree char *request = g_strdup_printf(
		"POST " RIG_CHAT " HTTP/1.1\r\nHost: x\r\n" RIG_KEY_1
		"\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	CLEANUP_FD int fd = connect_to(rig->ports[0]);

	send_text(fd, request);
	g_assert_true(WAIT_UNTIL(
		rig_metric(rig, 0, "amv_errors_total{type=\"slow_reader\"}") ==
			1,
		6 * HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(rig_engine_sum(rig, "cancelled") == 1,
				 HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_open_streams") == 0,
				 HARNESS_WAIT_MS));
}

/* When a client disconnects, its request must be cancelled at the engine, both
 * before and after the first token. */
static void test_client_gone(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.engine_args = { "--prefill-tokens-per-s", "100", "--hold-ms",
				 "60000" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	g_autofree char *prompt = long_prompt('c');
	CLEANUP_FREE char *slow_body = rig_body(prompt, 10, false);
	CLEANUP_FREE char *body = rig_body("gone", 10000, true);
	g_autoptr(http_stream_t) waiting = NULL;
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);

	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	http_stream_cancel(stream);
	g_assert_true(WAIT_UNTIL(rig_engine_sum(rig, "cancelled") == 1,
				 HARNESS_WAIT_MS));
	waiting = rig_stream(rig, 0, RIG_KEY_1, slow_body, NULL);
	g_assert_true(
		WAIT_UNTIL(rig_engine_sum(rig, "open") == 1, HARNESS_WAIT_MS));
	http_stream_cancel(waiting);
	g_assert_true(WAIT_UNTIL(rig_engine_sum(rig, "cancelled") == 2,
				 HARNESS_WAIT_MS));
}

/* A deferrable stream must be preempted by an urgent request, and continue
 * later without a gap or a repeated token. */
static void test_preemption(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.objects = "\"limits/global\":{\"endpoint_streams_max\":1},",
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("summary", LONG_ANSWER_TOKENS, true);
	CLEANUP_FREE char *urgent_body = rig_body("verdict", 10, true);
	g_autoptr(http_stream_t) deferred =
		rig_kind_stream(rig, 0, "X-Kind: summary", body);
	g_autoptr(http_stream_t) urgent = NULL;

	g_assert_true(
		WAIT_UNTIL(http_stream_count(deferred) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	urgent = rig_kind_stream(rig, 0, "X-Kind: verdict", urgent_body);
	rig_assert_complete(urgent, urgent_body);
	g_assert_false(http_stream_ended(deferred));
	rig_assert_complete(deferred, body);
	g_assert_cmpuint(http_stream_count(deferred), ==,
			 LONG_ANSWER_TOKENS + 3);
	g_assert_cmpint(rig_engine_sum(rig, "running_max"), ==, 1);
}

/* An engine that is leaving must get no new requests, and clients must get no
 * error. */
static void test_leaving_engine(void)
{
	rig_options_t options = { .engines = 2,
				  .routers = 1,
				  .engine_args = { "--token-ms", "1" } };
	g_autoptr(rig_t) rig = rig_start(&options);

	standin_control(rig->engine_ports[0], "{\"leaving\":true}");
	for (int i = 0; i < 8; i++) {
		g_autofree char *prompt = g_strdup_printf("%d", i);
		CLEANUP_FREE char *body = rig_body(prompt, 2, false);
		g_autoptr(http_answer_t) answer = rig_chat(rig, 0, body);

		g_assert_cmpint(answer->status, ==, 200);
	}
	g_assert_cmpint(http_local_number(rig->engine_ports[0],
					  "/control/stats", "requests_run"),
			==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/model/stream", test_stream_exactly_once);
	g_test_add_func("/model/non-streaming", test_non_streaming_answer);
	g_test_add_func("/model/engine-lost", test_engine_lost);
	g_test_add_func("/model/no-engine-left", test_no_engine_to_resume_on);
	g_test_add_func("/model/two-engines",
			test_at_most_two_engines_are_lost);
	g_test_add_func("/model/connection-cut", test_connection_cut);
	g_test_add_func("/model/wrong-attempt",
			test_wrong_attempt_is_discarded);
	g_test_add_func("/model/customers", test_customers_do_not_share_cache);
	g_test_add_func("/model/stale-cache-index", test_stale_cache_index);
	g_test_add_func("/model/bad-input", test_bad_input);
	g_test_add_func("/model/slow-reader", test_slow_client);
	g_test_add_func("/model/client-gone", test_client_gone);
	g_test_add_func("/model/preemption", test_preemption);
	g_test_add_func("/model/ticket", test_ticket);
	g_test_add_func("/model/leaving-engine", test_leaving_engine);
	return g_test_run();
}
