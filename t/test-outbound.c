/* Connections to endpoints; the loop runs on the test's thread. */
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/http_call.h"
#include "connection/outbound.h"
#include "process/error.h"
#include "request/exchange.h"
#include "t/lib/raw_server.h"

enum {
	WAIT_MS = 5000,
	STEP_US = 2000,
	/** A second or so, with a margin: a sound server may be silent. */
	SILENCE_MS = 1800,
	/** A dead path must be noticed within this time. */
	DEAD_PATH_MAX_MS = 3000,
	/** More than the buffers of a connection that is not read hold. */
	LARGE_MESSAGE_BYTES = 32 * 1024 * 1024,
};

#define GET_REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

typedef struct rig {
	struct event_base *base;
	outbound_t *outbound;
	raw_server_t *server;
	outbound_target_t target;
	outbound_call_t *call;
	bool awaits_early;	/**< See `sends_early`. */
	bool sends_unsolicited; /**< The server sends a second answer. */
	const char *endless;	/**< Sent without end instead of an answer. */
	const char *start;	/**< Of the answer; NULL: status 200. */
	const struct upload_case *upload; /**< NULL: the answer has a length. */
	_Atomic bool sends_early; /**< The next answer before its request. */
	_Atomic bool early_sent;
	_Atomic bool endless_ended;
	_Atomic size_t body_bytes; /**< Of the answer, received. */
	uint32_t ready_count;
	_Atomic uint32_t end_count;
	outbound_result_t result;
} rig_t;

typedef enum upload_end {
	END_CLOSE,     /**< A reset if the request is not read. */
	END_RESET,     /**< Once the part of the answer has arrived. */
	END_SHUTDOWN,  /**< Goes on to neither read nor reset. */
	END_FIN_RESET, /**< A reset follows the end of the answer. */
} upload_end_t;

/* An answer that has no length, to a request with a body. */
typedef struct upload_case {
	const char *name;
	size_t bytes;
	bool reads_request;
	upload_end_t end;
	outbound_result_t result;
} upload_case_t;

static bool wait_in_server(const _Atomic size_t *bytes,
			   const _Atomic uint32_t *count)
{
	gint64 end = g_get_monotonic_time() + WAIT_MS * 1000;

	while (!*bytes && !*count && g_get_monotonic_time() < end)
		g_usleep(STEP_US);
	return *bytes > 0;
}

static raw_next_t answer_upload(rig_t *rig, const raw_request_t *request)
{
	static const _Atomic size_t none;

	raw_send(request, "HTTP/1.1 200 OK\r\n\r\n%s", "part");
	switch (rig->upload->end) {
	case END_CLOSE:
		return RAW_CLOSE;
	case END_RESET:
		wait_in_server(&rig->body_bytes, &rig->end_count);
		return RAW_RESET;
	case END_SHUTDOWN:
		shutdown(request->fd, SHUT_WR);
		wait_in_server(&none, &rig->end_count);
		return RAW_CLOSE;
	case END_FIN_RESET:
		shutdown(request->fd, SHUT_WR);
		return RAW_RESET;
	}
	return RAW_CLOSE;
}

static raw_next_t answer(void *context, const raw_request_t *request)
{
	rig_t *rig = context;

	if (rig->upload)
		return answer_upload(rig, request);
	if (rig->awaits_early && !rig->early_sent) {
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok%s",
			 "");
		while (!rig->sends_early)
			g_usleep(STEP_US);
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold%s",
			 "");
		rig->early_sent = true;
		return RAW_KEEP;
	}
	if (rig->start) {
		raw_send(request, "%s\r\nContent-Length: 2\r\n\r\nok",
			 rig->start);
		/* An interim answer alone is none. */
		return strstr(rig->start, " 199 ") ? RAW_CLOSE : RAW_KEEP;
	}
	if (rig->endless) {
		raw_send_endless(request, rig->endless, 0);
		rig->endless_ended = true;
		return RAW_CLOSE;
	}
	raw_send(request, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok%s",
		 "");
	if (rig->sends_unsolicited) {
		raw_send_endless(request, "HTTP/1.1 200 OK\r\n", 0);
		return RAW_CLOSE;
	}
	return RAW_KEEP;
}

static void rig_ready(void *context)
{
	((rig_t *)context)->ready_count++;
}

static bool rig_matches_call(void *context, const http_head_t *head)
{
	(void)context;
	return head->status == 200;
}

static void rig_head(void *context, const http_head_t *head)
{
	(void)context;
	(void)head;
}

static void rig_body(void *context, const char *bytes, size_t len)
{
	(void)bytes;
	((rig_t *)context)->body_bytes += len;
}

static void rig_end(void *context, outbound_result_t result)
{
	rig_t *rig = context;

	rig->result = result;
	rig->call = NULL;
	rig->end_count++;
}

static const outbound_callbacks_t rig_callbacks = {
	.ready = rig_ready,
	.matches_call = rig_matches_call,
	.head = rig_head,
	.body = rig_body,
	.end = rig_end,
};

static void rig_open(rig_t *rig)
{
	memset(rig, 0, sizeof(*rig));
	rig->base = event_base_new();
	rig->outbound = outbound_open(rig->base);
	rig->server = raw_server_start(answer, rig);
	rig->target.connections_max = 1;
	rig->target.connect_timeout_ms = WAIT_MS;
	g_strlcpy(rig->target.key, "server", sizeof(rig->target.key));
	rig->target.address.v4.sin_family = AF_INET;
	rig->target.address.v4.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rig->target.address.v4.sin_port = htons(raw_server_port(rig->server));
}

static void rig_close(rig_t *rig)
{
	outbound_close(rig->outbound);
	event_base_free(rig->base);
	raw_server_stop(rig->server);
}

static void run_loop_step(rig_t *rig)
{
	struct timeval step = { .tv_usec = STEP_US };

	event_base_loopexit(rig->base, &step);
	event_base_dispatch(rig->base);
}

#define wait_for(rig, condition)                                      \
	do {                                                          \
		gint64 end = g_get_monotonic_time() + WAIT_MS * 1000; \
		while (!(condition) && g_get_monotonic_time() < end)  \
			run_loop_step(rig);                           \
		g_assert_true(condition);                             \
	} while (0)

static int begin_call(rig_t *rig, const char *message)
{
	struct evbuffer *bytes = message ? evbuffer_new() : NULL;
	int err;

	if (bytes)
		evbuffer_add(bytes, message, strlen(message));
	err = outbound_send(rig->outbound, &rig->target, bytes, false, false,
			    &rig_callbacks, rig, &rig->call);
	if (bytes)
		evbuffer_free(bytes);
	return err;
}

static void send_message(rig_t *rig)
{
	struct evbuffer *bytes = evbuffer_new();

	evbuffer_add(bytes, GET_REQUEST, strlen(GET_REQUEST));
	outbound_write(rig->call, bytes);
	evbuffer_free(bytes);
}

/* Failure: idle connections stayed open for as long as the server allowed, and
 * together used up its connection limit (enlarged deployment subsol, simulated
 * day scale-1). */
static void test_idle_connection_expires(void)
{
	rig_t rig;

	rig_open(&rig);
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, 0);
	wait_for(&rig, rig.end_count == 1);
	g_assert_cmpint(rig.result, ==, OUTBOUND_COMPLETE);
	g_assert_cmpuint(outbound_connection_count(rig.outbound), ==, 1);
	wait_for(&rig, outbound_connection_count(rig.outbound) == 0);
	rig_close(&rig);
}

/* Failure: an order was sent before its claim had been checked. */
static void test_message_after_ready(void)
{
	rig_t rig;

	rig_open(&rig);
	g_assert_cmpint(begin_call(&rig, NULL), ==, 0);
	wait_for(&rig, rig.ready_count == 1);
	g_assert_false(outbound_was_sent(rig.call));
	send_message(&rig);
	wait_for(&rig, rig.end_count == 1);
	g_assert_cmpint(rig.result, ==, OUTBOUND_COMPLETE);
	rig_close(&rig);
}

/* Failure: unsolicited bytes on an idle connection were taken for the answer to
 * the next request. */
static void test_unsolicited_bytes(void)
{
	rig_t rig;

	rig_open(&rig);
	rig.sends_unsolicited = true;
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, 0);
	wait_for(&rig, rig.end_count == 1);
	wait_for(&rig, outbound_connection_count(rig.outbound) == 0);
	g_assert_cmpuint(outbound_counts(rig.outbound)->unsolicited_closes, ==,
			 1);
	rig_close(&rig);
}

/* Failure: bytes that had arrived before a request was sent were taken for its
 * answer. */
static void test_bytes_before_request(void)
{
	rig_t rig;

	rig_open(&rig);
	rig.awaits_early = true;
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, 0);
	wait_for(&rig, rig.end_count == 1);
	rig.sends_early = true;
	while (!rig.early_sent)
		g_usleep(STEP_US);
	rig.body_bytes = 0;
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, 0);
	wait_for(&rig, rig.end_count == 2);
	g_assert_cmpint(rig.result, ==, OUTBOUND_COMPLETE);
	g_assert_cmpuint(rig.body_bytes, ==, strlen("ok"));
	g_assert_cmpuint(outbound_counts(rig.outbound)->unsolicited_closes, ==,
			 1);
	rig_close(&rig);
}

/* Failure: a call at the connection limit opened another connection. */
static void test_limit(void)
{
	outbound_call_t *first;
	rig_t rig;

	rig_open(&rig);
	g_assert_cmpint(begin_call(&rig, NULL), ==, 0);
	first = rig.call;
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, ERR_LIMIT);
	outbound_cancel(first);
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, 0);
	wait_for(&rig, rig.end_count == 1);
	rig_close(&rig);
}

typedef struct endless_case {
	const char *name;
	const char *piece;
} endless_case_t;

static const endless_case_t endless_cases[] = {
	{ "empty-lines", "\r\n" },
	{ "garbage", "\x16\x03\x01" },
	{ "status-line", "HTTP/1.1 200 " },
	{ "continue", "HTTP/1.1 100 Continue\r\n\r\n" },
	{ "other-answers", "HTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\nx" },
	{ "other-answer", "HTTP/1.1 404 X\r\n\r\n" },
};

/* Failure: a call skipped interim answers or answers to other requests for as
 * long as the server sent them. */
static void test_endless(const void *data)
{
	const endless_case_t *test_case = data;
	rig_t rig;

	rig_open(&rig);
	rig.endless = test_case->piece;
	g_assert_cmpint(begin_call(&rig, GET_REQUEST), ==, 0);
	wait_for(&rig, rig.end_count == 1);
	g_assert_cmpint(rig.result, ==, OUTBOUND_MALFORMED);
	g_assert_cmpuint(outbound_connection_count(rig.outbound), ==, 0);
	wait_for(&rig, rig.endless_ended);
	rig_close(&rig);
}

typedef struct call_case {
	const char *name;
	const char *piece;
	int err;
} call_case_t;

static const call_case_t call_cases[] = {
	{ "body", "HTTP/1.1 200 X\r\n\r\n", ERR_LIMIT },
	{ "head", "HTTP/1.1 200 X\r\nA: b\r\n", ERR_ENDPOINT_LOST },
	{ "continue", "HTTP/1.1 100 Continue\r\n\r\n", ERR_ENDPOINT_LOST },
};

typedef struct call_end {
	bool ended;
	int err;
	size_t len;
} call_end_t;

static void record_call_end(void *context, int err, uint16_t status,
			    const char *body, size_t len)
{
	(void)status;
	(void)body;
	*(call_end_t *)context = (call_end_t){ true, err, len };
}

/* Failure: a call of the control thread read an answer without end until its
 * time limit. */
static void test_endless_http_call(const void *data)
{
	const call_case_t *test_case = data;
	struct evbuffer *message = evbuffer_new();
	call_end_t outcome = { 0 };
	rig_t rig;

	rig_open(&rig);
	rig.endless = test_case->piece;
	evbuffer_add(message, GET_REQUEST, strlen(GET_REQUEST));
	g_assert_nonnull(http_call_send(rig.outbound, rig.base, &rig.target,
					message, HTTP_CALL_ENGINE_MAX_BYTES,
					2 * WAIT_MS, record_call_end,
					&outcome));
	evbuffer_free(message);
	wait_for(&rig, outcome.ended);
	g_assert_cmpint(outcome.err, ==, test_case->err);
	g_assert_cmpuint(outcome.len, <=, HTTP_CALL_ENGINE_MAX_BYTES);
	g_assert_cmpuint(outbound_connection_count(rig.outbound), ==, 0);
	wait_for(&rig, rig.endless_ended);
	rig_close(&rig);
}

/* Failure: connections to a server that was silent for a second were ended by
 * TCP_USER_TIMEOUT, or those over a dead path too late. */
static void test_silence(void)
{
	g_assert_cmpuint(outbound_silence_max_ms(EXCHANGE_USER_TIMEOUT_MS), >=,
			 SILENCE_MS);
	g_assert_cmpuint(outbound_dead_path_ms(EXCHANGE_USER_TIMEOUT_MS), <=,
			 DEAD_PATH_MAX_MS);
	g_assert_cmpuint(EXCHANGE_USER_TIMEOUT_MS, <=, DEAD_PATH_MAX_MS);
}

static void read_all(int fd, char *bytes, size_t size, size_t *received)
{
	ssize_t len;

	while ((len = recv(fd, bytes, size, MSG_DONTWAIT)) > 0)
		*received += (size_t)len;
}

/* Listens on a free port, which becomes that of the rig's calls. */
static int listen_for_calls(rig_t *rig)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t address_len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(
		bind(listener, (struct sockaddr *)&address, address_len), ==,
		0);
	g_assert_cmpint(listen(listener, 1), ==, 0);
	getsockname(listener, (struct sockaddr *)&address, &address_len);
	rig->target.address.v4.sin_port = address.sin_port;
	return listener;
}

/* Failure: a request was given up because the server did not read for a second,
 * after which it went on. */
static void test_reading_stops(void)
{
	static const char answer_bytes[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	char *message = g_malloc0(LARGE_MESSAGE_BYTES + 1);
	size_t received = 0;
	gint64 silent_until;
	rig_t rig;
	int listener;
	int fd;

	rig_open(&rig);
	listener = listen_for_calls(&rig);
	rig.target.user_timeout_ms = EXCHANGE_USER_TIMEOUT_MS;
	memset(message, 'x', LARGE_MESSAGE_BYTES);
	g_assert_cmpint(begin_call(&rig, message), ==, 0);
	fd = accept(listener, NULL, NULL);
	silent_until = g_get_monotonic_time() + SILENCE_MS * 1000;
	while (g_get_monotonic_time() < silent_until)
		run_loop_step(&rig);
	while (received < LARGE_MESSAGE_BYTES && !rig.end_count) {
		read_all(fd, message, LARGE_MESSAGE_BYTES, &received);
		run_loop_step(&rig);
	}
	g_assert_cmpuint(received, ==, LARGE_MESSAGE_BYTES);
	g_assert_cmpint(
		send(fd, answer_bytes, strlen(answer_bytes), MSG_NOSIGNAL), >,
		0);
	wait_for(&rig, rig.end_count);
	g_assert_cmpint(rig.result, ==, OUTBOUND_COMPLETE);
	close(fd);
	close(listener);
	g_free(message);
	rig_close(&rig);
}

/** How a call ends whose request has not arrived yet. */
typedef struct abandon_case {
	const char *name;
	const char *answer; /**< That the server sends; NULL: none. */
	bool half_close;    /**< The server goes on reading. */
	bool cancels;
} abandon_case_t;

static const abandon_case_t abandon_cases[] = {
	{ "cancelled", NULL, false, true },
	{ "cancelled-in-answer",
	  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false, true },
	{ "malformed", "no answer\r\n\r\n", false, false },
	{ "half-closed", NULL, true, false },
};

/* Reads what has arrived; returns whether that is all. `err` is EAGAIN at
 * first, and then why the connection ended, 0 if in order. */
static bool has_ended(int fd, char *bytes, int *err)
{
	ssize_t len = 1;

	while (*err == EAGAIN && len > 0)
		len = recv(fd, bytes, LARGE_MESSAGE_BYTES, MSG_DONTWAIT);
	if (*err == EAGAIN)
		*err = len ? errno : 0;
	return *err != EAGAIN;
}

/* Failure: a request that had been given up arrived when its path was back, and
 * the server began to run it (rule DRAIN, review/7). */
static void test_abandoned(const void *data)
{
	const abandon_case_t *test_case = data;
	const char *answer = test_case->answer;
	g_autofree char *message = g_strnfill(LARGE_MESSAGE_BYTES, 'x');
	rig_t rig;
	int listener;
	int err = EAGAIN;
	int fd;

	rig_open(&rig);
	listener = listen_for_calls(&rig);
	g_assert_cmpint(begin_call(&rig, message), ==, 0);
	fd = accept(listener, NULL, NULL);
	wait_for(&rig, outbound_was_sent(rig.call));
	if (answer)
		g_assert_cmpint(send(fd, answer, strlen(answer), MSG_NOSIGNAL),
				>, 0);
	if (test_case->half_close)
		shutdown(fd, SHUT_WR);
	if (test_case->cancels && answer)
		wait_for(&rig, rig.body_bytes);
	if (test_case->cancels)
		outbound_cancel(rig.call);
	else
		wait_for(&rig, rig.end_count);
	g_assert_cmpuint(outbound_connection_count(rig.outbound), ==, 0);
	/* A close in order would have let all arrive that the system holds. */
	wait_for(&rig, has_ended(fd, message, &err));
	g_assert_cmpint(err, ==, ECONNRESET);
	close(fd);
	close(listener);
	rig_close(&rig);
}

enum {
	/** What the sockets of both sides hold, and what they do not. */
	UPLOAD_HELD_BYTES = 512 * 1024,
	UPLOAD_LONG_BYTES = 32 * 1024 * 1024,
};

static const upload_case_t upload_cases[] = {
	{ "whole", UPLOAD_LONG_BYTES, true, END_CLOSE, OUTBOUND_COMPLETE },
	{ "whole-shutdown", UPLOAD_LONG_BYTES, true, END_SHUTDOWN,
	  OUTBOUND_COMPLETE },
	{ "whole-reset", UPLOAD_LONG_BYTES, true, END_RESET, OUTBOUND_LOST },
	{ "close", UPLOAD_LONG_BYTES, false, END_CLOSE, OUTBOUND_LOST },
	{ "reset", UPLOAD_LONG_BYTES, false, END_RESET, OUTBOUND_LOST },
	{ "shutdown", UPLOAD_LONG_BYTES, false, END_SHUTDOWN, OUTBOUND_LOST },
	{ "fin-reset", UPLOAD_LONG_BYTES, false, END_FIN_RESET, OUTBOUND_LOST },
	{ "held-close", UPLOAD_HELD_BYTES, false, END_CLOSE, OUTBOUND_LOST },
	{ "held-reset", UPLOAD_HELD_BYTES, false, END_RESET, OUTBOUND_LOST },
	{ "held-shutdown", UPLOAD_HELD_BYTES, false, END_SHUTDOWN,
	  OUTBOUND_LOST },
};

/* Failure: an answer without length was taken for complete when its connection
 * ended while the request was still being sent. */
static void test_upload(const void *data)
{
	const upload_case_t *test_case = data;
	g_autofree char *body = g_strnfill(test_case->bytes, 'x');
	/* The server answers at the head of a request without length. */
	g_autofree char *length = g_strdup_printf(
		test_case->reads_request
			? "Content-Length: %zu\r\n\r\n"
			: "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
		test_case->bytes);
	g_autofree char *message = g_strconcat(
		"POST /a HTTP/1.1\r\nHost: h\r\n", length, body, NULL);
	rig_t rig;

	rig_open(&rig);
	rig.upload = test_case;
	g_assert_cmpint(begin_call(&rig, message), ==, 0);
	wait_for(&rig, rig.end_count == 1);
	g_assert_cmpint(rig.result, ==, test_case->result);
	g_assert_cmpuint(outbound_connection_count(rig.outbound), ==, 0);
	rig_close(&rig);
}

typedef struct status_case {
	const char *name;
	const char *start; /**< Of the answer. */
	int err;
} status_case_t;

static const status_case_t status_cases[] = {
	{ "000", "HTTP/1.1 000 X", ERR_ENDPOINT_LOST },
	{ "000-no-reason", "HTTP/1.1 000", ERR_ENDPOINT_LOST },
	{ "0", "HTTP/1.1 0", ERR_ENDPOINT_LOST },
	{ "20", "HTTP/1.1 20 X", ERR_ENDPOINT_LOST },
	{ "099", "HTTP/1.1 099 X", ERR_ENDPOINT_LOST },
	{ "0200", "HTTP/1.1 0200 X", ERR_ENDPOINT_LOST },
	{ "600", "HTTP/1.1 600 X", ERR_ENDPOINT_LOST },
	{ "999", "HTTP/1.1 999 X", ERR_ENDPOINT_LOST },
	{ "2000", "HTTP/1.1 2000 X", ERR_ENDPOINT_LOST },
	{ "none", "HTTP/1.1 X", ERR_ENDPOINT_LOST },
	{ "letters", "HTTP/1.1 2oo X", ERR_ENDPOINT_LOST },
	{ "sign", "HTTP/1.1 -200 X", ERR_ENDPOINT_LOST },
	{ "interim-only", "HTTP/1.1 199 X", ERR_ENDPOINT_LOST },
	{ "200", "HTTP/1.1 200 X", 0 },
	{ "200-no-reason", "HTTP/1.1 200", 0 },
	{ "599", "HTTP/1.1 599 X", 0 },
};

/* Failure: an answer whose status is none was passed on, or waited for until
 * the time limit. */
static void test_status(const void *data)
{
	const status_case_t *test_case = data;
	struct evbuffer *message = evbuffer_new();
	call_end_t outcome = { 0 };
	gint64 start_us = g_get_monotonic_time();
	rig_t rig;

	rig_open(&rig);
	rig.start = test_case->start;
	evbuffer_add(message, GET_REQUEST, strlen(GET_REQUEST));
	g_assert_nonnull(http_call_send(rig.outbound, rig.base, &rig.target,
					message, HTTP_CALL_ENGINE_MAX_BYTES,
					2 * WAIT_MS, record_call_end,
					&outcome));
	evbuffer_free(message);
	wait_for(&rig, outcome.ended);
	g_test_message("err %d after %" G_GINT64_FORMAT " ms", outcome.err,
		       (g_get_monotonic_time() - start_us) / 1000);
	g_assert_cmpint(outcome.err, ==, test_case->err);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN); /* As the programs do. */
	g_test_add_func("/outbound/idle-connection-expires",
			test_idle_connection_expires);
	g_test_add_func("/outbound/message-after-ready",
			test_message_after_ready);
	g_test_add_func("/outbound/unsolicited-bytes", test_unsolicited_bytes);
	g_test_add_func("/outbound/bytes-before-request",
			test_bytes_before_request);
	g_test_add_func("/outbound/limit", test_limit);
	g_test_add_func("/outbound/silence", test_silence);
	g_test_add_func("/outbound/reading-stops", test_reading_stops);
	for (size_t i = 0; i < G_N_ELEMENTS(abandon_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/outbound/abandoned/%s", abandon_cases[i].name);

		g_test_add_data_func(path, &abandon_cases[i], test_abandoned);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(endless_cases); i++) {
		g_autofree char *path = g_strdup_printf("/outbound/endless/%s",
							endless_cases[i].name);

		g_test_add_data_func(path, &endless_cases[i], test_endless);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(upload_cases); i++) {
		g_autofree char *path = g_strdup_printf("/outbound/upload/%s",
							upload_cases[i].name);

		g_test_add_data_func(path, &upload_cases[i], test_upload);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(status_cases); i++) {
		g_autofree char *path = g_strdup_printf("/outbound/status/%s",
							status_cases[i].name);

		g_test_add_data_func(path, &status_cases[i], test_status);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/outbound/endless-http-call/%s", call_cases[i].name);

		g_test_add_data_func(path, &call_cases[i],
				     test_endless_http_call);
	}
	return g_test_run();
}
