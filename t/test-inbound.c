/* Client connections, as seen from the client's socket. */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "connection/inbound.h"
#include "process/error.h"

enum {
	WAIT_MS = 5000,
	READ_SIZE = 65536,
	CONNECTIONS_MAX = 8,
	OUTPUT_TOTAL_MAX_BYTES = 400 * 1024,
	OUTPUT_PIECE_BYTES = 4096,
	/** Size line and end of a chunk. */
	CHUNK_FRAME_BYTES = 8,
	/** Allocations of libevent for a new connection, up to its timer and
	 * the counter of its output. At the next one, in
	 * bufferevent_setwatermark(), libevent itself ends the process. */
	ACCEPT_ALLOCATIONS = 6,
};

/** The allocation of libevent that fails, counted from now; 0: none. */
static uint32_t allocations_left;
/** Calls of close() for a descriptor that is not open. */
static int bad_closes;

static bool is_allowed(void)
{
	return !allocations_left || --allocations_left;
}

static void *allocate(size_t size)
{
	return is_allowed() ? malloc(size) : NULL;
}

static void *reallocate(void *old, size_t size)
{
	return is_allowed() ? realloc(old, size) : NULL;
}

int close(int fd)
{
	int result = (int)syscall(SYS_close, fd);

	bad_closes += result < 0 && errno == EBADF;
	return result;
}

/* One listener and one client; the loop runs on the test's thread. */
typedef struct rig {
	struct event_base *base;
	inbound_t *inbound;
	inbound_request_t *request_in_progress;
	uint32_t request_count;
	uint32_t clients_gone;
	int refused;
	int client;
	bool closed_by_server; /**< The client read end of file. */
	bool reset_by_server;
	bool aborts_at_once; /**< Aborts the answer as the request arrives. */
	inbound_limits_t limits;
	GString *body;	   /**< Body of the last request. */
	GString *received; /**< By the client. */
} rig_t;

static inbound_limits_t rig_limits(void *context)
{
	return ((rig_t *)context)->limits;
}

static void begin_and_abort(inbound_request_t *request)
{
	struct evbuffer *headers = evbuffer_new();

	inbound_begin(request, 200, headers, UINT64_MAX);
	inbound_write(request, "part", 4);
	inbound_abort(request);
	evbuffer_free(headers);
}

static void rig_request(void *context, inbound_request_t *request)
{
	rig_t *rig = context;
	size_t len = request->body ? evbuffer_get_length(request->body) : 0;

	if (rig->aborts_at_once) {
		begin_and_abort(request);
		return;
	}
	rig->request_count++;
	rig->request_in_progress = request;
	g_string_truncate(rig->body, 0);
	if (len)
		g_string_append_len(
			rig->body,
			(const char *)evbuffer_pullup(request->body, -1),
			(gssize)len);
}

static void rig_client_gone(void *context, inbound_request_t *request)
{
	rig_t *rig = context;

	g_assert_true(request == rig->request_in_progress);
	rig->request_in_progress = NULL;
	rig->clients_gone++;
}

static void rig_drained(void *context, inbound_request_t *request)
{
	(void)context;
	(void)request;
}

static void rig_refused(void *context, int err, struct evbuffer *headers,
			struct evbuffer *body)
{
	(void)headers;
	(void)body;
	((rig_t *)context)->refused = err;
}

static const inbound_callbacks_t rig_callbacks = {
	.limits = rig_limits,
	.request = rig_request,
	.client_gone = rig_client_gone,
	.drained = rig_drained,
	.refused = rig_refused,
};

static uint16_t free_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, len), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &len);
	close(fd);
	return ntohs(address.sin_port);
}

static void rig_open(rig_t *rig)
{
	inbound_options_t options = {
		.connections_max = CONNECTIONS_MAX,
		.body_total_max_bytes = 1 << 20,
		.output_high_watermark = INBOUND_OUTPUT_HIGH_WATERMARK_BYTES,
		.output_total_max_bytes = OUTPUT_TOTAL_MAX_BYTES,
		.write_timeout_ms = INBOUND_WRITE_TIMEOUT_MS,
		.callbacks = &rig_callbacks,
		.context = rig,
	};

	memset(rig, 0, sizeof(*rig));
	rig->limits = (inbound_limits_t){ 4096, 65536, 300, 2000, 0 };
	rig->body = g_string_new(NULL);
	rig->received = g_string_new(NULL);
	rig->base = event_base_new();
	options.address.v4.sin_family = AF_INET;
	options.address.v4.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	options.address.v4.sin_port = htons(free_port());
	g_assert_cmpint(inbound_open(rig->base, &options, &rig->inbound), ==,
			0);
	rig->client = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(rig->client, &options.address.any,
				sizeof(options.address.v4)),
			==, 0);
}

static void rig_close(rig_t *rig)
{
	inbound_close(rig->inbound);
	event_base_free(rig->base);
	if (rig->client >= 0)
		close(rig->client);
	g_string_free(rig->body, TRUE);
	g_string_free(rig->received, TRUE);
}

static void read_client(rig_t *rig)
{
	char bytes[READ_SIZE];
	ssize_t len = recv(rig->client, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (len > 0)
		g_string_append_len(rig->received, bytes, len);
	if (len == 0)
		rig->closed_by_server = true;
	if (len < 0 && errno == ECONNRESET)
		rig->reset_by_server = true;
}

static void run_loop_step(rig_t *rig)
{
	struct timeval step = { .tv_usec = 2000 };

	event_base_loopexit(rig->base, &step);
	event_base_dispatch(rig->base);
	if (rig->client >= 0)
		read_client(rig);
}

#define wait_for(rig, condition)                                      \
	do {                                                          \
		gint64 end = g_get_monotonic_time() + WAIT_MS * 1000; \
		while (!(condition) && g_get_monotonic_time() < end)  \
			run_loop_step(rig);                           \
		g_assert_true(condition);                             \
	} while (0)

static void send_text(rig_t *rig, const char *text)
{
	g_assert_cmpint(send(rig->client, text, strlen(text), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(text));
}

#define GET_REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

/* Failure: a planned stop closed a keep-alive connection after the last chunk
 * of an answer was written and before it was sent, so the client got a
 * truncated answer. */
static void test_stop_completes_answer(void)
{
	struct evbuffer *headers = evbuffer_new();
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, GET_REQUEST);
	wait_for(&rig, rig.request_in_progress);
	inbound_begin(rig.request_in_progress, 200, headers, UINT64_MAX);
	inbound_stop(rig.inbound);
	inbound_write(rig.request_in_progress, "chunk", 5);
	inbound_finish(rig.request_in_progress);
	inbound_close_idle(rig.inbound);
	wait_for(&rig, rig.closed_by_server);
	g_assert_nonnull(strstr(rig.received->str, "5\r\nchunk\r\n0\r\n\r\n"));
	evbuffer_free(headers);
	rig_close(&rig);
}

/* Failure: an aborted answer looked complete. */
static void test_abort_is_incomplete(void)
{
	struct evbuffer *headers = evbuffer_new();
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, GET_REQUEST);
	wait_for(&rig, rig.request_in_progress);
	inbound_begin(rig.request_in_progress, 200, headers, UINT64_MAX);
	inbound_write(rig.request_in_progress, "chunk", 5);
	wait_for(&rig, strstr(rig.received->str, "chunk"));
	inbound_abort(rig.request_in_progress);
	wait_for(&rig, !inbound_connection_count(rig.inbound));
	run_loop_step(&rig);
	g_assert_null(strstr(rig.received->str, "\r\n0\r\n"));
	evbuffer_free(headers);
	rig_close(&rig);
}

/* Failure: an answer that ends with its connection looked complete, as it was
 * aborted while the request was being read. */
static void test_abort_at_once(void)
{
	rig_t rig;

	rig_open(&rig);
	rig.aborts_at_once = true;
	send_text(&rig, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
	wait_for(&rig, rig.closed_by_server || rig.reset_by_server);
	g_assert_true(rig.reset_by_server);
	rig_close(&rig);
}

/* Failure: when memory was short, a descriptor was closed twice, which may be
 * that of another connection by then. */
static void test_short_memory(void)
{
	rig_t rig;

	for (uint32_t i = 1; i <= ACCEPT_ALLOCATIONS; i++) {
		rig_open(&rig);
		allocations_left = i;
		event_base_loop(rig.base, EVLOOP_NONBLOCK);
		g_assert_cmpuint(allocations_left, ==, 0);
		g_assert_cmpint(bad_closes, ==, 0);
		rig_close(&rig);
	}
}

/* Failure: a pipelined request was lost, or answered before the first one. */
static void test_pipelined(void)
{
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, GET_REQUEST "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	wait_for(&rig, rig.request_in_progress);
	run_loop_step(&rig);
	g_assert_cmpuint(rig.request_count, ==, 1);
	g_assert_cmpstr(http_head_target(rig.request_in_progress->head), ==,
			"/a");
	inbound_answer(rig.request_in_progress, 200, NULL, "one", 3);
	wait_for(&rig, rig.request_count == 2);
	g_assert_cmpstr(http_head_target(rig.request_in_progress->head), ==,
			"/b");
	inbound_answer(rig.request_in_progress, 200, NULL, "two", 3);
	wait_for(&rig, strstr(rig.received->str, "two"));
	rig_close(&rig);
}

/* Failure: a request was processed further after its client had
 * disconnected. */
static void test_client_disconnects(void)
{
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, GET_REQUEST);
	wait_for(&rig, rig.request_in_progress);
	close(rig.client);
	rig.client = -1;
	wait_for(&rig, rig.clients_gone == 1);
	g_assert_cmpuint(inbound_connection_count(rig.inbound), ==, 0);
	rig_close(&rig);
}

typedef struct bad_case {
	const char *name;
	const char *bytes;
	const char *status; /**< Start of the answer. */
	int err;
	size_t body_bytes; /**< Sent after `bytes`. */
} bad_case_t;

/* Each guards against request smuggling or against a request without a size
 * limit. */
static const bad_case_t bad_cases[] = {
	{ "two_lengths",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Content-Length: 1\r\n\r\nx",
	  "HTTP/1.1 400 ", ERR_BAD_FIELD, 0 },
	{ "length_and_chunks",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
	  "HTTP/1.1 400 ", ERR_BAD_FIELD, 0 },
	{ "unknown_coding",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked"
	  "\r\n\r\n0\r\n\r\n",
	  "HTTP/1.1 400 ", ERR_BAD_FIELD, 0 },
	{ "space_before_colon",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd",
	  "HTTP/1.1 400 ", ERR_BAD_FIELD, 0 },
	{ "no_http", "hello\r\n\r\n", "HTTP/1.1 400 ", ERR_BAD_FIELD, 0 },
	{ "body_too_large",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n",
	  "HTTP/1.1 413 ", ERR_BODY_TOO_LARGE, 0 },
	{ "chunks_too_large",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "ffffff\r\n",
	  "HTTP/1.1 413 ", ERR_BODY_TOO_LARGE, 70000 },
	{ "half_a_head", "GET /a HTTP/1.1\r\nHo", "HTTP/1.1 400 ",
	  ERR_BODY_INCOMPLETE, 0 },
};

static void test_bad_request(const void *data)
{
	const bad_case_t *bad = data;
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, bad->bytes);
	if (bad->body_bytes) {
		g_autofree char *body = g_strnfill(bad->body_bytes, 'x');

		send_text(&rig, body);
	}
	wait_for(&rig, rig.closed_by_server);
	g_assert_true(g_str_has_prefix(rig.received->str, bad->status));
	g_assert_cmpint(rig.refused, ==, bad->err);
	g_assert_null(strstr(rig.received->str + 1, "HTTP/1.1"));
	g_assert_cmpuint(rig.request_count, ==, 0);
	rig_close(&rig);
}

/* Failure: an endless head used an unbounded amount of memory. */
static void test_head_too_large(void)
{
	GString *head = g_string_new("GET /a HTTP/1.1\r\nX: ");
	rig_t rig;

	rig_open(&rig);
	while (head->len < 8192)
		g_string_append_c(head, 'x');
	send_text(&rig, head->str);
	wait_for(&rig, rig.closed_by_server);
	g_assert_true(g_str_has_prefix(rig.received->str, "HTTP/1.1 431 "));
	g_string_free(head, TRUE);
	rig_close(&rig);
}

/* Failure: a chunked body was forwarded to the endpoint with its chunk
 * headers. */
static void test_chunked_body(void)
{
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, "POST /a HTTP/1.1\r\nHost: h\r\n"
			"Transfer-Encoding: chunked\r\n\r\n"
			"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
	wait_for(&rig, rig.request_in_progress);
	g_assert_cmpstr(rig.body->str, ==, "abcde");
	inbound_answer(rig.request_in_progress, 200, NULL, NULL, 0);
	rig_close(&rig);
}

static int connect_another(const rig_t *rig)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	getpeername(rig->client, (struct sockaddr *)&address, &len);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, len), ==, 0);
	return fd;
}

/* Failure: clients with idle connections used up the connection limit, and the
 * next client waited for 30 s (enlarged deployment subsol, simulated day
 * scale-1: instances that requested the state of a peer). */
static void test_idle_closed_at_limit(void)
{
	int others[CONNECTIONS_MAX];
	rig_t rig;

	rig_open(&rig);
	send_text(&rig, GET_REQUEST);
	wait_for(&rig, rig.request_in_progress);
	rig.limits.idle_timeout_ms = 10 * WAIT_MS;
	for (int i = 0; i < CONNECTIONS_MAX - 1; i++)
		others[i] = connect_another(&rig);
	wait_for(&rig,
		 inbound_connection_count(rig.inbound) >= CONNECTIONS_MAX - 1);
	others[CONNECTIONS_MAX - 1] = connect_another(&rig);
	g_assert_cmpint(send(others[CONNECTIONS_MAX - 1], GET_REQUEST,
			     strlen(GET_REQUEST), MSG_NOSIGNAL),
			==, (ssize_t)strlen(GET_REQUEST));
	wait_for(&rig, rig.request_count == 2);
	g_assert_cmpuint(rig.clients_gone, ==, 0);
	g_assert_cmpuint(inbound_connection_count(rig.inbound), <=,
			 CONNECTIONS_MAX);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		close(others[i]);
	rig_close(&rig);
}

/* Failure: clients that do not read, each below the limit of one connection,
 * together made the instance keep more than its memory. */
static void test_output_total(void)
{
	static char piece[OUTPUT_PIECE_BYTES];
	inbound_request_t *requests[CONNECTIONS_MAX - 1];
	int others[CONNECTIONS_MAX - 1];
	struct evbuffer *headers = evbuffer_new();
	uint64_t total = 0;
	rig_t rig;

	rig_open(&rig);
	for (uint32_t i = 0; i < CONNECTIONS_MAX - 1; i++) {
		others[i] = connect_another(&rig);
		g_assert_cmpint(send(others[i], GET_REQUEST,
				     strlen(GET_REQUEST), MSG_NOSIGNAL),
				==, (ssize_t)strlen(GET_REQUEST));
		wait_for(&rig, rig.request_count == i + 1);
		requests[i] = rig.request_in_progress;
		inbound_begin(requests[i], 200, headers, UINT64_MAX);
	}
	for (int i = 0; i < CONNECTIONS_MAX - 1; i++) {
		while (inbound_write(requests[i], piece, sizeof(piece)))
			;
	}
	total = inbound_unsent_bytes(rig.inbound);
	g_assert_cmpuint(total, >, OUTPUT_TOTAL_MAX_BYTES);
	g_assert_cmpuint(
		total, <,
		OUTPUT_TOTAL_MAX_BYTES +
			CONNECTIONS_MAX *
				(INBOUND_OUTPUT_LOW_WATERMARK_BYTES +
				 2 * (OUTPUT_PIECE_BYTES + CHUNK_FRAME_BYTES)));
	for (int i = 0; i < CONNECTIONS_MAX - 1; i++) {
		inbound_abort(requests[i]);
		close(others[i]);
	}
	wait_for(&rig, inbound_unsent_bytes(rig.inbound) == 0);
	evbuffer_free(headers);
	rig_close(&rig);
}

/* Failure: connections were established with an instance that accepts none any
 * more at the end of a planned stop, and their requests were not answered. */
static void test_stop_accepting(void)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	int other;
	rig_t rig;

	rig_open(&rig);
	getpeername(rig.client, (struct sockaddr *)&address, &len);
	send_text(&rig, GET_REQUEST);
	wait_for(&rig, rig.request_in_progress);
	inbound_stop_accepting(rig.inbound);
	other = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(other, (struct sockaddr *)&address, len), ==,
			-1);
	inbound_abort(rig.request_in_progress);
	wait_for(&rig, !inbound_connection_count(rig.inbound));
	g_assert_cmpint(connect(other, (struct sockaddr *)&address, len), ==,
			-1);
	run_loop_step(&rig);
	g_assert_cmpuint(inbound_connection_count(rig.inbound), ==, 0);
	g_assert_cmpuint(rig.request_count, ==, 1);
	close(other);
	rig_close(&rig);
}

typedef struct unread_case {
	const char *name;
	const char *sent;
	bool accepted; /**< The loop ran before the request was sent. */
	bool read;     /**< The loop ran after it. */
} unread_case_t;

static const unread_case_t unread_cases[] = {
	{ "half-a-head", "GET /a HTT", false, true },
	{ "half-a-body", "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
	  false, true },
	{ "in-the-socket", GET_REQUEST, true, false },
	{ "in-the-backlog", GET_REQUEST, false, false },
};

/* Failure: at the limit of a planned stop, a connection was closed without an
 * answer to what its client had sent. */
static void test_refuse_unread(const void *data)
{
	const unread_case_t *unread_case = data;
	rig_t rig;

	rig_open(&rig);
	if (unread_case->accepted)
		wait_for(&rig, inbound_connection_count(rig.inbound) == 1);
	send_text(&rig, unread_case->sent);
	if (unread_case->read) {
		wait_for(&rig, inbound_connection_count(rig.inbound) == 1);
		run_loop_step(&rig);
	}
	inbound_stop_accepting(rig.inbound);
	inbound_refuse_unread(rig.inbound, ERR_STOPPING);
	inbound_close_idle(rig.inbound);
	wait_for(&rig, rig.closed_by_server);
	g_assert_true(g_str_has_prefix(rig.received->str, "HTTP/1.1 503"));
	g_assert_cmpint(rig.refused, ==, ERR_STOPPING);
	g_assert_cmpuint(rig.request_count, ==, 0);
	rig_close(&rig);
}

/* Failure: a request that had arrived, but was not read yet, was lost when idle
 * connections were closed. */
static void test_close_idle_unread(void)
{
	rig_t rig;

	rig_open(&rig);
	wait_for(&rig, inbound_connection_count(rig.inbound) == 1);
	send_text(&rig, GET_REQUEST);
	inbound_close_idle(rig.inbound);
	wait_for(&rig, rig.request_in_progress);
	inbound_answer(rig.request_in_progress, 200, NULL, NULL, 0);
	wait_for(&rig, strstr(rig.received->str, "HTTP/1.1 200"));
	inbound_close_idle(rig.inbound);
	wait_for(&rig, rig.closed_by_server);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/inbound/output-total", test_output_total);
	event_set_mem_functions(allocate, reallocate, free);
	g_test_add_func("/inbound/abort-at-once", test_abort_at_once);
	g_test_add_func("/inbound/short-memory", test_short_memory);
	g_test_add_func("/inbound/stop-completes-answer",
			test_stop_completes_answer);
	g_test_add_func("/inbound/abort-is-incomplete",
			test_abort_is_incomplete);
	g_test_add_func("/inbound/pipelined", test_pipelined);
	g_test_add_func("/inbound/client-disconnects", test_client_disconnects);
	g_test_add_func("/inbound/head-too-large", test_head_too_large);
	g_test_add_func("/inbound/chunked-body", test_chunked_body);
	g_test_add_func("/inbound/idle-closed-at-limit",
			test_idle_closed_at_limit);
	g_test_add_func("/inbound/stop-accepting", test_stop_accepting);
	g_test_add_func("/inbound/close-idle-unread", test_close_idle_unread);
	for (size_t i = 0; i < G_N_ELEMENTS(unread_cases); i++) {
		char *path = g_strdup_printf("/inbound/refuse-unread/%s",
					     unread_cases[i].name);

		g_test_add_data_func(path, &unread_cases[i],
				     test_refuse_unread);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		char *path =
			g_strdup_printf("/inbound/bad/%s", bad_cases[i].name);

		g_test_add_data_func(path, &bad_cases[i], test_bad_request);
		g_free(path);
	}
	return g_test_run();
}
