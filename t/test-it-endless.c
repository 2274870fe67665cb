/*
 * Runs gateway processes before endpoints whose answers have no end, or end
 * with their connection.
 */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "t/lib/platform_rig.h"

enum {
	UNFRAMED_REQUESTS = 3,
};

typedef struct unframed_case {
	const char *name;
	const char *path;
	behaviour_t first;
	behaviour_t second;
	bool complete;
} unframed_case_t;

static const unframed_case_t unframed_cases[] = {
	{ "whole-once", "/stream/once/1", UNFRAMED_STREAM, UNFRAMED_STREAM,
	  true },
	{ "whole-again", "/stream/again/1", UNFRAMED_STREAM, UNFRAMED_STREAM,
	  true },
	{ "cut-once", "/stream/once/1", UNFRAMED_CUT, UNFRAMED_CUT, false },
	{ "cut-again", "/stream/again/1", UNFRAMED_CUT, UNFRAMED_STREAM, true },
	{ "reset-once", "/stream/once/1", UNFRAMED_RESET, UNFRAMED_RESET,
	  false },
	{ "reset-again", "/stream/again/1", UNFRAMED_RESET, ANSWER, true },
};

/* Failure: a stream without chunks that broke off looked complete or didn't
 * count as a failure, or a whole one looked broken off. */
static void test_unframed_stream(const void *data)
{
	const unframed_case_t *test_case = data;
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	/* Either engine may be the first. */
	for (int i = 0; i < UNFRAMED_REQUESTS; i++) {
		int first = i % ENDPOINT_COUNT;

		rig.engines[first].behaviour = test_case->first;
		rig.engines[1 - first].behaviour = test_case->second;
		answer = platform_rig_request(&rig, 0, "POST", test_case->path,
					      MODEL_HEADERS);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n") ==
			      test_case->complete);
		if (test_case->complete)
			platform_rig_assert_events(answer);
		g_free(answer);
	}
	/* Of three failures, one endpoint has two. */
	if (!test_case->complete)
		g_assert_true(
			WAIT_UNTIL(strstr(program_output(rig.gateways[0]),
					  "name=endpoint_ejected") != NULL,
				   HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

enum {
	ENDLESS_CLIENTS = 4,
	/** Time limit of the clients' requests. */
	ENDLESS_DEADLINE_MS = 2500,
	/** What scheduling may add to a bound. */
	ENDLESS_SLACK_MS = 700,
	/** Longest wait of another client during endless answers. */
	ENDLESS_OTHER_MAX_MS = 500,
	/** Most memory that the endless answers may cost. */
	ENDLESS_MEMORY_MAX_KB = 48 * 1024,
	/** Likewise of engines, to reports and orders. */
	CONTROL_MEMORY_MAX_KB = 2 * 1024,
	DRAIN_START_BYTES = 2048,
	/** Length of the last chunk of a complete answer. */
	DRAIN_END_BYTES = 5,
};

#define HEAD_200 "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
#define HEAD_500 "HTTP/1.1 500 X\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
#define HEAD_503 "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n\r\n"
#define WRONG_ANSWER \
	"HTTP/1.1 200 X\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad"
#define TEXT "0123456789abcdef"
#define TEXT_CHUNK "10\r\n" TEXT "\r\n"

typedef struct endless_case {
	const char *name;
	const char *method;
	const char *path;
	const char *status;  /**< If both endpoints do it. */
	uint32_t bound_ms;   /**< Until the answer's end; likewise. */
	bool other_answers;  /**< Another endpoint then serves the request. */
	bool counts_failure; /**< Ends at once and counts as a failure. */
	endless_answer_t answer;
} endless_case_t;

static const endless_case_t endless_cases[] = {
#define LOOKUP "GET", "/get/1"
#define ORDER "POST", "/order/1"
#define ONCE "POST", "/stream/once/1"
#define AGAIN "POST", "/stream/again/1"
	{ "head-lines",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200, "A: b\r\n", 0 } },
	{ "head-lines-lookup",
	  LOOKUP,
	  "HTTP/1.1 502",
	  0,
	  true,
	  true,
	  { HEAD_200, "A: b\r\n", 0 } },
	{ "head-lines-stream",
	  AGAIN,
	  "HTTP/1.1 502",
	  0,
	  true,
	  true,
	  { HEAD_200, "A: b\r\n", 0 } },
	{ "head-line",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200 "A: ", TEXT, 0 } },
	{ "head-spaces",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200 "A:", " ", 0 } },
	{ "head-slow",
	  LOOKUP,
	  "HTTP/1.1 504",
	  ENDLESS_DEADLINE_MS,
	  true,
	  false,
	  { HEAD_200 "A: ", "x", 100 } },
	{ "status-line",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { "HTTP/1.1 200 ", TEXT, 0 } },
	{ "empty-lines",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { "", "\r\n", 0 } },
	{ "garbage",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { "", "\x16\x03\x01", 0 } },
	{ "body-order",
	  ORDER,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  false,
	  false,
	  { HEAD_200 "\r\n", TEXT, 0 } },
	{ "body-lookup",
	  LOOKUP,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  false,
	  false,
	  { HEAD_200 "\r\n", TEXT, 0 } },
	{ "body-chunked",
	  ORDER,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  false,
	  false,
	  { HEAD_200 CHUNKED, TEXT_CHUNK, 0 } },
	{ "body-slow",
	  ORDER,
	  "HTTP/1.1 504",
	  ENDLESS_DEADLINE_MS,
	  false,
	  false,
	  { HEAD_200 "\r\n", "x", 100 } },
	{ "refusal-body",
	  ORDER,
	  "HTTP/1.1 503",
	  0,
	  true,
	  true,
	  { HEAD_503 "\r\n", TEXT, 0 } },
	{ "error-body",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_500 "\r\n", TEXT, 0 } },
	{ "error-body-lookup",
	  LOOKUP,
	  "HTTP/1.1 502",
	  0,
	  true,
	  true,
	  { HEAD_500 "\r\n", TEXT, 0 } },
	{ "error-body-stream",
	  AGAIN,
	  "HTTP/1.1 502",
	  0,
	  true,
	  true,
	  { HEAD_500 "\r\n", TEXT, 0 } },
	{ "chunk-size",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200 CHUNKED, "0", 0 } },
	{ "chunk-extension",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200 CHUNKED "5;", TEXT, 0 } },
	{ "trailer-lines",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200 CHUNKED "0\r\n", "A: b\r\n", 0 } },
	{ "trailer-line",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { HEAD_200 CHUNKED "0\r\nA: ", TEXT, 0 } },
	{ "continue",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { "", "HTTP/1.1 100 Continue\r\n\r\n", 0 } },
	{ "continue-lookup",
	  LOOKUP,
	  "HTTP/1.1 502",
	  0,
	  true,
	  true,
	  { "", "HTTP/1.1 100 Continue\r\n\r\n", 0 } },
	{ "wrong-answers",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { "", WRONG_ANSWER, 0 } },
	{ "wrong-body",
	  ORDER,
	  "HTTP/1.1 502",
	  0,
	  false,
	  true,
	  { "HTTP/1.1 200 X\r\nRequest-Id: other\r\n\r\n", TEXT, 0 } },
	{ "event",
	  ONCE,
	  "HTTP/1.1 200",
	  0,
	  false,
	  true,
	  { HEAD_200 EVENTS "data: ", TEXT, 0 } },
	{ "event-again",
	  AGAIN,
	  "HTTP/1.1 200",
	  0,
	  true,
	  true,
	  { HEAD_200 EVENTS "data: ", TEXT, 0 } },
	{ "event-lines",
	  AGAIN,
	  "HTTP/1.1 200",
	  0,
	  true,
	  true,
	  { HEAD_200 EVENTS, "data: x\n", 0 } },
	{ "event-chunked",
	  AGAIN,
	  "HTTP/1.1 200",
	  0,
	  true,
	  true,
	  { HEAD_200 CHUNKED, TEXT_CHUNK, 0 } },
	{ "event-slow",
	  AGAIN,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  true,
	  false,
	  { HEAD_200 EVENTS "data: ", "x", 100 } },
	{ "comments",
	  AGAIN,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  true,
	  false,
	  { HEAD_200 EVENTS, ": x\n\n", 0 } },
	{ "comments-slow",
	  AGAIN,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  true,
	  false,
	  { HEAD_200 EVENTS, ": x\n\n", 100 } },
	{ "comments-once",
	  ONCE,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  false,
	  false,
	  { HEAD_200 EVENTS, ": x\n\n", 0 } },
	{ "events-repeated",
	  AGAIN,
	  "HTTP/1.1 200",
	  ENDLESS_DEADLINE_MS,
	  true,
	  false,
	  { HEAD_200 EVENTS "id: 1\ndata: e1\n\n", "id: 1\ndata: e1\n\n", 0 } },
};

/** A client that keeps only the start and the end of its answer. */
typedef struct drain_call {
	const platform_rig_t *rig;
	const endless_case_t *test_case;
	pthread_t thread;
	uint64_t took_ms;
	const _Atomic bool *may_read; /**< NULL: it reads at once. */
	GString *start;
	char end[DRAIN_END_BYTES + 1];
} drain_call_t;

static int drain_connect(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	return fd;
}

static void drain_send(int fd, const endless_case_t *test_case)
{
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"
		"Key: key-1\r\nDeadline-Ms: %d\r\nConnection: close\r\n%s\r\n",
		test_case->method, test_case->path, ENDLESS_DEADLINE_MS,
		strstr(test_case->path, "stream") ? MODEL_HEADERS : "");

	g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
			(gssize)strlen(request));
}

static void *drain_main(void *context)
{
	drain_call_t *call = context;
	uint64_t start_ms = clock_now_ms();
	int fd = drain_connect(call->rig->ports[0]);
	char bytes[65536];
	ssize_t len;

	call->start = g_string_new(NULL);
	drain_send(fd, call->test_case);
	if (call->may_read)
		g_assert_true(WAIT_UNTIL(*call->may_read, HARNESS_WAIT_MS));
	while ((len = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
		size_t kept = (size_t)len < DRAIN_END_BYTES ? (size_t)len
							    : DRAIN_END_BYTES;

		memmove(call->end, call->end + kept, DRAIN_END_BYTES - kept);
		memcpy(call->end + DRAIN_END_BYTES - kept, bytes + len - kept,
		       kept);
		if (call->start->len < DRAIN_START_BYTES)
			g_string_append_len(call->start, bytes,
					    MIN(len, DRAIN_START_BYTES));
	}
	call->took_ms = clock_now_ms() - start_ms;
	close(fd);
	return NULL;
}

/* Peak memory of a process, KB. */
static uint64_t peak_memory_kb(const program_t *program)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/status", program_pid(program));
	g_autofree char *text = NULL;
	const char *line;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmHWM:");
	g_assert_nonnull(line);
	return strtoull(line + strlen("VmHWM:"), NULL, 10);
}

static void start_endless_rig(platform_rig_t *rig,
			      const endless_case_t *test_case)
{
	endpoint_t *endpoints;

	platform_rig_start(rig, 1);
	endpoints = strstr(test_case->path, "stream") ? rig->engines
						      : rig->services;
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		endpoints[i].endless = &test_case->answer;
		endpoints[i].behaviour = ENDLESS;
	}
}

static uint32_t endless_open(const platform_rig_t *rig)
{
	uint32_t open = 0;

	for (int i = 0; i < ENDPOINT_COUNT; i++)
		open += rig->services[i].endless_open +
			rig->engines[i].endless_open;
	return open;
}

/* Asks endpoints that aren't endless, to see that other clients are served. */
static uint64_t slowest_other_ms(const platform_rig_t *rig,
				 const endless_case_t *test_case,
				 uint64_t until_ms)
{
	bool stream = strstr(test_case->path, "stream") != NULL;
	uint64_t slowest_ms = 0;

	do {
		uint64_t start_ms = clock_now_ms();
		char *answer = platform_rig_request(
			rig, 0, stream ? "GET" : "POST",
			stream ? "/get/2" : "/stream/once/2",
			stream ? "" : MODEL_HEADERS);

		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		g_free(answer);
		slowest_ms = MAX(slowest_ms, clock_now_ms() - start_ms);
	} while (clock_now_ms() < until_ms);
	return slowest_ms;
}

static void assert_endless_answer(const drain_call_t *call)
{
	const endless_case_t *test_case = call->test_case;
	const char *start = call->start->str;

	g_test_message("%s: %llu ms", test_case->name,
		       (unsigned long long)call->took_ms);
	g_assert_true(g_str_has_prefix(start, test_case->status) ||
		      g_str_has_prefix(start, "HTTP/1.1 503"));
	g_assert_cmpuint(call->took_ms, <,
			 test_case->bound_ms + ENDLESS_SLACK_MS);
	if (g_str_has_prefix(start, "HTTP/1.1 200")) {
		g_assert_cmpstr(call->end, !=, "0\r\n\r\n");
	} else {
		CLEANUP_FREE char *length = raw_header(start, "Content-Length");
		const char *body = strstr(start, "\r\n\r\n") + 4;

		g_assert_nonnull(length);
		g_assert_cmpuint(strlen(body), ==, strtoul(length, NULL, 10));
	}
}

/* Failure: an answer without end used up memory, held up other clients, kept
 * its connection open or looked complete. */
static void test_endless(const void *data)
{
	const endless_case_t *test_case = data;
	drain_call_t calls[ENDLESS_CLIENTS];
	platform_rig_t rig;
	uint64_t before_kb;
	uint64_t others_ms;

	start_endless_rig(&rig, test_case);
	before_kb = peak_memory_kb(rig.gateways[0]);
	for (int i = 0; i < ENDLESS_CLIENTS; i++) {
		calls[i] =
			(drain_call_t){ .rig = &rig, .test_case = test_case };
		pthread_create(&calls[i].thread, NULL, drain_main, &calls[i]);
	}
	others_ms = slowest_other_ms(&rig, test_case,
				     clock_now_ms() + test_case->bound_ms);
	for (int i = 0; i < ENDLESS_CLIENTS; i++) {
		pthread_join(calls[i].thread, NULL);
		assert_endless_answer(&calls[i]);
		g_string_free(calls[i].start, TRUE);
	}
	g_assert_true(WAIT_UNTIL(!endless_open(&rig), ENDLESS_SLACK_MS));
	g_test_message("others: %llu ms", (unsigned long long)others_ms);
	g_assert_cmpuint(others_ms, <, ENDLESS_OTHER_MAX_MS);
	g_assert_cmpuint(peak_memory_kb(rig.gateways[0]) - before_kb, <,
			 ENDLESS_MEMORY_MAX_KB);
	if (test_case->counts_failure)
		g_assert_true(
			WAIT_UNTIL(strstr(program_output(rig.gateways[0]),
					  "name=endpoint_ejected") != NULL,
				   HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/* Failure: an endpoint with an endless answer kept a request that another one
 * could serve. */
static void test_endless_retry(const void *data)
{
	const endless_case_t *test_case = data;
	bool stream = strstr(test_case->path, "stream") != NULL;
	endpoint_t *endpoints;
	platform_rig_t rig;
	char *answer;

	start_endless_rig(&rig, test_case);
	endpoints = stream ? rig.engines : rig.services;
	/* Either endpoint may be the first. */
	for (int first = 0; first < ENDPOINT_COUNT; first++) {
		endpoints[first].behaviour = ENDLESS;
		endpoints[1 - first].behaviour = ANSWER;
		answer = platform_rig_request(&rig, 0, test_case->method,
					      test_case->path,
					      stream ? MODEL_HEADERS : "");
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		if (stream) {
			platform_rig_assert_events(answer);
			g_assert_null(strstr(answer, TEXT));
			g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
		} else {
			g_assert_nonnull(strstr(answer, "for r-1"));
		}
		g_free(answer);
	}
	platform_rig_stop(&rig);
}

/* Failure: the rest of an endless answer to an order was buffered after its
 * client had gone. */
static void test_endless_without_client(void)
{
	static const endless_case_t test_case = {
		"no-client",
		ORDER,
		"",
		0,
		false,
		false,
		{ HEAD_200 "\r\n", TEXT, 0 }
	};
	platform_rig_t rig;
	uint64_t before_kb;
	int fd;

	start_endless_rig(&rig, &test_case);
	before_kb = peak_memory_kb(rig.gateways[0]);
	fd = drain_connect(rig.ports[0]);
	drain_send(fd, &test_case);
	g_assert_true(WAIT_UNTIL(endless_open(&rig) == 1, HARNESS_WAIT_MS));
	close(fd);
	g_assert_true(WAIT_UNTIL(!endless_open(&rig),
				 ENDLESS_DEADLINE_MS + ENDLESS_SLACK_MS));
	g_assert_cmpuint(peak_memory_kb(rig.gateways[0]) - before_kb, <,
			 ENDLESS_MEMORY_MAX_KB);
	platform_rig_stop(&rig);
}

enum {
	/** Endless answers at once, more than would fit into the machine's 96
	 * MB if each was kept up to the limit of one answer. */
	MANY_CLIENTS = 320,
	MANY_CONNECTIONS_MAX = 600,
};

typedef struct many_case {
	const char *name;
	const char *method;
	const char *path;
	endless_answer_t answer;
	bool slow_clients; /**< They read once no answer is open any more. */
} many_case_t;

#define PIECE TEXT TEXT TEXT TEXT TEXT TEXT TEXT TEXT
#define LONG_PIECE PIECE PIECE PIECE PIECE PIECE PIECE PIECE PIECE

static const many_case_t many_cases[] = {
	{ "order", ORDER, { HEAD_200 "\r\n", LONG_PIECE, 2 }, false },
	{ "lookup", LOOKUP, { HEAD_200 "\r\n", LONG_PIECE, 2 }, false },
	{ "error", ORDER, { HEAD_500 "\r\n", LONG_PIECE, 2 }, false },
	{ "stream", AGAIN, { HEAD_200 EVENTS "data: ", LONG_PIECE, 2 }, false },
	{ "order-slow-clients",
	  ORDER,
	  { HEAD_200 "\r\n", LONG_PIECE, 2 },
	  true },
	{ "stream-slow-clients",
	  AGAIN,
	  { HEAD_200 EVENTS, "data: " PIECE PIECE "\n\n", 2 },
	  true },
	{ "head", LOOKUP, { HEAD_200, "A: " PIECE "\r\n", 2 }, false },
};

/* Failure: endless answers on many connections, each within the limit of one,
 * together used up the memory of the machine. */
static void test_endless_many(const void *data)
{
	const many_case_t *many = data;
	const endless_case_t test_case = { .name = many->name,
					   .method = many->method,
					   .path = many->path };
	const platform_rig_options_t options = { .connections_max =
							 MANY_CONNECTIONS_MAX };
	static drain_call_t calls[MANY_CLIENTS];
	platform_rig_t rig;
	endpoint_t *endpoints;
	uint64_t before_kb;
	_Atomic bool may_read = false;

	platform_rig_start_with(&rig, 1, &options);
	endpoints = strstr(many->path, "stream") ? rig.engines : rig.services;
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		endpoints[i].endless = &many->answer;
		endpoints[i].behaviour = ENDLESS;
	}
	before_kb = peak_memory_kb(rig.gateways[0]);
	for (int i = 0; i < MANY_CLIENTS; i++) {
		calls[i] = (drain_call_t){
			.rig = &rig,
			.test_case = &test_case,
			.may_read = many->slow_clients ? &may_read : NULL,
		};
		pthread_create(&calls[i].thread, NULL, drain_main, &calls[i]);
	}
	if (many->slow_clients) {
		g_assert_true(
			WAIT_UNTIL(endless_open(&rig) > 0, HARNESS_WAIT_MS));
		g_assert_true(WAIT_UNTIL(!endless_open(&rig), HARNESS_WAIT_MS));
	}
	may_read = true;
	for (int i = 0; i < MANY_CLIENTS; i++) {
		pthread_join(calls[i].thread, NULL);
		g_string_free(calls[i].start, TRUE);
	}
	g_test_message("%s: %llu KB", many->name,
		       (unsigned long long)(peak_memory_kb(rig.gateways[0]) -
					    before_kb));
	g_assert_cmpuint(peak_memory_kb(rig.gateways[0]) - before_kb, <,
			 ENDLESS_MEMORY_MAX_KB);
	g_assert_true(program_is_running(rig.gateways[0]));
	platform_rig_stop(&rig);
}

static const endless_answer_t endless_control = {
	"HTTP/1.1 200 X\r\nContent-Type: application/json\r\n\r\n", LONG_PIECE,
	0
};

/* Failure: the answers of engines to reports and orders were kept up to the
 * size of a listing of the store, each of them. */
static void test_endless_control(void)
{
	platform_rig_t rig;
	uint64_t before_kb;

	platform_rig_start(&rig, 1);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].endless_control = &endless_control;
	before_kb = peak_memory_kb(rig.gateways[0]);
	platform_rig_put_target_weights(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(
			WAIT_UNTIL(rig.engines[i].endless_control_ends > 1,
				   2 * HARNESS_WAIT_MS));
	g_test_message("%llu KB",
		       (unsigned long long)(peak_memory_kb(rig.gateways[0]) -
					    before_kb));
	g_assert_cmpuint(peak_memory_kb(rig.gateways[0]) - before_kb, <,
			 CONTROL_MEMORY_MAX_KB);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-endless/endless-control", test_endless_control);
	for (size_t i = 0; i < G_N_ELEMENTS(many_cases); i++) {
		char *path = g_strdup_printf("/it-endless/endless-many/%s",
					     many_cases[i].name);

		g_test_add_data_func(path, &many_cases[i], test_endless_many);
		g_free(path);
	}
	g_test_add_func("/it-endless/endless-without-client",
			test_endless_without_client);
	for (size_t i = 0; i < G_N_ELEMENTS(unframed_cases); i++) {
		char *path = g_strdup_printf("/it-endless/unframed/%s",
					     unframed_cases[i].name);

		g_test_add_data_func(path, &unframed_cases[i],
				     test_unframed_stream);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(endless_cases); i++) {
		char *path = g_strdup_printf("/it-endless/endless/%s",
					     endless_cases[i].name);
		char *retry = g_strdup_printf("/it-endless/endless-retry/%s",
					      endless_cases[i].name);

		g_test_add_data_func(path, &endless_cases[i], test_endless);
		if (endless_cases[i].other_answers)
			g_test_add_data_func(retry, &endless_cases[i],
					     test_endless_retry);
		g_free(path);
		g_free(retry);
	}
	return g_test_run();
}
