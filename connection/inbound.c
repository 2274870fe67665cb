#include "connection/inbound.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/socket_option.h"

/** Waiting connections of the listener; a domain's callers after a restart. */
#define LISTEN_BACKLOG 512
/** Bytes read ahead of the current request. */
#define READ_AHEAD_BYTES (256 * 1024)
/** Unacknowledged output for so long ends a connection, ms. */
#define USER_TIMEOUT_MS 10000

typedef enum connection_state {
	CONNECTION_IDLE,
	CONNECTION_READING,
	CONNECTION_ANSWERING,
	CONNECTION_LINGERING, /**< Refused; reading on so that it arrives. */
} connection_state_t;

typedef struct connection {
	inbound_request_t request; /**< First, so that it can be cast. */
	inbound_t *inbound;
	struct bufferevent *stream;
	struct event *timer;
	http_reader_t reader;
	connection_state_t state;
	uint64_t body_bytes;
	uint64_t body_until_ms; /**< The whole body is here; 0: no bound. */
	bool began;		/**< The answer's head was sent. */
	bool chunked;		/**< The answer's body goes in chunks. */
	bool keep;		/**< Another request may follow the answer. */
	bool over_high;		/**< The source was told to pause. */
	bool in_reader;		/**< On the stack of serve_input(). */
	bool close_after_flush;
	LIST_ENTRY(connection) entry;
	TAILQ_ENTRY(connection) resting; /**< While idle. */
} connection_t;

struct inbound {
	struct event_base *base;
	struct evconnlistener *listener;
	inbound_options_t options;
	LIST_HEAD(, connection) connections;
	/** Idle ones, the longest first: they make room for new ones. */
	TAILQ_HEAD(, connection) idle;
	uint32_t count;
	uint64_t body_total_bytes;
	bool full; /**< No connection is accepted. */
	bool stopping;
};

static const char *reason_phrase(uint16_t status)
{
	return http_status_str((enum http_status)status);
}

static void set_timer(connection_t *connection, uint32_t timeout_ms)
{
	struct timeval delay = {
		.tv_sec = timeout_ms / 1000,
		.tv_usec = (timeout_ms % 1000) * 1000,
	};

	if (timeout_ms)
		evtimer_add(connection->timer, &delay);
	else
		evtimer_del(connection->timer);
}

static inbound_limits_t current_limits(const connection_t *connection)
{
	const inbound_options_t *options = &connection->inbound->options;

	return options->callbacks->limits(options->context);
}

static void release_body(connection_t *connection)
{
	connection->inbound->body_total_bytes -= connection->body_bytes;
	connection->body_bytes = 0;
	if (connection->request.body)
		evbuffer_drain(connection->request.body,
			       evbuffer_get_length(connection->request.body));
}

static void set_state(connection_t *connection, connection_state_t state)
{
	inbound_t *inbound = connection->inbound;

	if (connection->state == CONNECTION_IDLE)
		TAILQ_REMOVE(&inbound->idle, connection, resting);
	if (state == CONNECTION_IDLE)
		TAILQ_INSERT_TAIL(&inbound->idle, connection, resting);
	connection->state = state;
}

static void connection_free(connection_t *connection)
{
	inbound_t *inbound = connection->inbound;

	if (connection->state == CONNECTION_IDLE)
		TAILQ_REMOVE(&inbound->idle, connection, resting);
	release_body(connection);
	LIST_REMOVE(connection, entry);
	inbound->count--;
	if (inbound->full &&
	    inbound->count < inbound->options.connections_max) {
		inbound->full = false;
		evconnlistener_enable(inbound->listener);
	}
	if (connection->request.body)
		evbuffer_free(connection->request.body);
	event_free(connection->timer);
	bufferevent_free(connection->stream);
	http_reader_free(&connection->reader);
	free(connection);
}

/* A reset, so that an unfinished answer cannot be taken for a whole one. */
static void connection_reset(connection_t *connection)
{
	socket_option_reset_on_close(bufferevent_getfd(connection->stream));
	connection_free(connection);
}

static void shutdown_output(connection_t *connection)
{
	const transport_t *kind = connection->inbound->options.transport;

	if (kind)
		kind->shutdown_output(connection->stream);
	else
		shutdown(bufferevent_getfd(connection->stream), SHUT_WR);
}

static void linger(connection_t *connection)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	set_state(connection, CONNECTION_LINGERING);
	if (evbuffer_get_length(output))
		connection->close_after_flush = true;
	else
		shutdown_output(connection);
	set_timer(connection, INBOUND_LINGER_MS);
}

static void refuse(connection_t *connection, int err)
{
	const error_answer_t *answer = error_answer(err);
	const inbound_options_t *options = &connection->inbound->options;

	struct evbuffer *output = bufferevent_get_output(connection->stream);
	struct evbuffer *headers = evbuffer_new();
	struct evbuffer *body = evbuffer_new();

	release_body(connection);
	if (headers && body) {
		options->callbacks->refused(options->context, err, headers,
					    body);
		evbuffer_add_printf(output,
				    "HTTP/1.1 %u %s\r\nConnection: close\r\n"
				    "Content-Length: %zu\r\n",
				    answer->http_status,
				    reason_phrase(answer->http_status),
				    evbuffer_get_length(body));
		evbuffer_add_buffer(output, headers);
		evbuffer_add(output, "\r\n", 2);
		evbuffer_add_buffer(output, body);
	}
	if (headers)
		evbuffer_free(headers);
	if (body)
		evbuffer_free(body);
	linger(connection);
}

/* A body that is sent byte by byte must not last for hours. */
static void bound_body(connection_t *connection, const http_head_t *head,
		       const inbound_limits_t *limits)
{
	uint64_t expected = head->content_length != UINT64_MAX
				    ? head->content_length
				    : limits->body_max_bytes;

	connection->body_until_ms = 0;
	if (limits->body_min_bytes_per_ms)
		connection->body_until_ms =
			clock_now_ms() + limits->idle_timeout_ms +
			expected / limits->body_min_bytes_per_ms;
}

static void arm_body(connection_t *connection, const inbound_limits_t *limits)
{
	uint64_t now_ms = clock_now_ms();
	uint64_t wait_ms = limits->idle_timeout_ms;

	if (connection->body_until_ms) {
		uint64_t left_ms = connection->body_until_ms > now_ms
					   ? connection->body_until_ms - now_ms
					   : 1;

		wait_ms = left_ms < wait_ms ? left_ms : wait_ms;
	}
	set_timer(connection, (uint32_t)wait_ms);
}

static int on_head(void *context, http_head_t *head)
{
	connection_t *connection = context;
	inbound_limits_t limits = current_limits(connection);
	const char *expect = http_head_find(head, "Expect");

	if (head->content_length != UINT64_MAX &&
	    head->content_length > limits.body_max_bytes)
		return ERR_BODY_TOO_LARGE;
	bound_body(connection, head, &limits);
	arm_body(connection, &limits);
	if (expect && !strcasecmp(expect, "100-continue"))
		evbuffer_add_printf(bufferevent_get_output(connection->stream),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int on_body(void *context, const char *bytes, size_t len)
{
	connection_t *connection = context;
	inbound_t *inbound = connection->inbound;
	inbound_limits_t limits = current_limits(connection);

	if (connection->body_bytes + len > limits.body_max_bytes)
		return ERR_BODY_TOO_LARGE;
	if (inbound->body_total_bytes + len >
	    inbound->options.body_total_max_bytes)
		return ERR_OVERLOADED;
	if (!connection->request.body)
		connection->request.body = evbuffer_new();
	if (!connection->request.body ||
	    evbuffer_add(connection->request.body, bytes, len) < 0)
		return ERR_NO_MEMORY;
	connection->body_bytes += len;
	inbound->body_total_bytes += len;
	arm_body(connection, &limits);
	return 0;
}

static int on_end(void *context)
{
	connection_t *connection = context;

	set_state(connection, CONNECTION_ANSWERING);
	return 0;
}

static const http_reader_callbacks_t reader_calls = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void hand_on(connection_t *connection)
{
	const inbound_options_t *options = &connection->inbound->options;

	set_timer(connection, 0);
	connection->began = false;
	connection->chunked = false;
	connection->over_high = false;
	connection->keep = connection->reader.head.keep_alive;
	connection->request.head = &connection->reader.head;
	connection->request.received_ms = clock_now_ms();
	connection->request.user_data = NULL;
	options->callbacks->request(options->context, &connection->request);
}

/* Reads requests until one is in progress or the input is used up. */
static void serve_input(connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);

	connection->in_reader = true;
	while (connection->state <= CONNECTION_READING &&
	       evbuffer_get_length(input)) {
		struct evbuffer_iovec piece;
		size_t used = 0;
		int err;

		evbuffer_peek(input, -1, NULL, &piece, 1);
		if (connection->state == CONNECTION_IDLE) {
			inbound_limits_t limits = current_limits(connection);

			set_state(connection, CONNECTION_READING);
			connection->reader.head_max_bytes =
				limits.head_max_bytes;
			set_timer(connection, limits.head_timeout_ms);
		}
		err = http_reader_feed(&connection->reader, piece.iov_base,
				       piece.iov_len, &used);
		evbuffer_drain(input, used);
		if (err) {
			refuse(connection, err);
			break;
		}
		if (connection->state == CONNECTION_ANSWERING)
			hand_on(connection);
	}
	connection->in_reader = false;
}

static void on_read(struct bufferevent *stream, void *context)
{
	connection_t *connection = context;

	if (connection->state == CONNECTION_LINGERING) {
		struct evbuffer *input = bufferevent_get_input(stream);

		evbuffer_drain(input, evbuffer_get_length(input));
		return;
	}
	serve_input(connection);
}

static void on_write(struct bufferevent *stream, void *context)
{
	connection_t *connection = context;
	const inbound_options_t *options = &connection->inbound->options;

	(void)stream;
	if (connection->close_after_flush) {
		connection->close_after_flush = false;
		shutdown_output(connection);
		return;
	}
	if (connection->over_high) {
		connection->over_high = false;
		if (connection->state == CONNECTION_ANSWERING)
			options->callbacks->drained(options->context,
						    &connection->request);
	}
}

static void on_event(struct bufferevent *stream, short what, void *context)
{
	connection_t *connection = context;
	const inbound_options_t *options = &connection->inbound->options;

	(void)stream;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return;
	/* The other half of the connection may still carry the refusal. */
	if ((what & BEV_EVENT_EOF) && connection->state == CONNECTION_READING &&
	    connection->reader.in_message) {
		refuse(connection, ERR_BODY_INCOMPLETE);
		return;
	}
	if (connection->state == CONNECTION_ANSWERING) {
		set_state(connection, CONNECTION_LINGERING);
		options->callbacks->client_gone(options->context,
						&connection->request);
	}
	connection_free(connection);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	connection_t *connection = context;

	(void)fd;
	(void)what;
	if (connection->state == CONNECTION_READING &&
	    connection->reader.in_message)
		refuse(connection, ERR_BODY_INCOMPLETE);
	else if (connection->close_after_flush)
		/* The write timeout ends a caller that reads nothing. */
		set_timer(connection, INBOUND_LINGER_MS);
	else
		connection_free(connection);
}

static int connection_prepare(connection_t *connection, evutil_socket_t fd)
{
	inbound_t *inbound = connection->inbound;
	const inbound_options_t *options = &inbound->options;
	struct timeval stall = {
		.tv_sec = options->write_timeout_ms / 1000,
		.tv_usec = (options->write_timeout_ms % 1000) * 1000,
	};

	connection->stream =
		options->transport
			? options->transport->new_stream(
				  options->transport, inbound->base, fd, NULL)
			: bufferevent_socket_new(inbound->base, fd,
						 BEV_OPT_CLOSE_ON_FREE);
	if (!connection->stream)
		return ERR_NO_MEMORY;
	connection->timer = evtimer_new(inbound->base, on_timer, connection);
	if (!connection->timer) {
		bufferevent_free(connection->stream);
		return ERR_NO_MEMORY;
	}
	socket_option_set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	socket_option_set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	bufferevent_setcb(connection->stream, on_read, on_write, on_event,
			  connection);
	bufferevent_setwatermark(connection->stream, EV_READ, 0,
				 READ_AHEAD_BYTES);
	bufferevent_set_timeouts(connection->stream, NULL, &stall);
	return bufferevent_enable(connection->stream, EV_READ | EV_WRITE) < 0
		       ? ERR_NO_MEMORY
		       : 0;
}

/* Whether a connection waits for its caller and has nothing to send. */
static bool is_resting(const connection_t *connection)
{
	return !connection->in_reader &&
	       !evbuffer_get_length(bufferevent_get_output(connection->stream));
}

/* At the limit the connection that was idle for longest is closed; if none is,
 * no other one is accepted. */
static void make_room(inbound_t *inbound, const connection_t *newest)
{
	connection_t *connection = TAILQ_FIRST(&inbound->idle);

	if (inbound->count < inbound->options.connections_max)
		return;
	while (connection && (connection == newest || !is_resting(connection)))
		connection = TAILQ_NEXT(connection, resting);
	if (connection) {
		connection_free(connection);
		return;
	}
	inbound->full = true;
	evconnlistener_disable(inbound->listener);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *context)
{
	inbound_t *inbound = context;
	connection_t *connection = calloc(1, sizeof(*connection));

	(void)listener;
	(void)address;
	(void)len;
	if (!connection) {
		evutil_closesocket(fd);
		return;
	}
	connection->inbound = inbound;
	if (connection_prepare(connection, fd)) {
		evutil_closesocket(fd);
		free(connection);
		return;
	}
	http_reader_init(&connection->reader, HTTP_REQUEST, 0, &reader_calls,
			 connection);
	LIST_INSERT_HEAD(&inbound->connections, connection, entry);
	TAILQ_INSERT_TAIL(&inbound->idle, connection, resting);
	set_timer(connection, current_limits(connection).idle_timeout_ms);
	inbound->count++;
	make_room(inbound, connection);
}

int inbound_open(struct event_base *base, const inbound_options_t *options,
		 inbound_t **inbound)
{
	inbound_t *made = calloc(1, sizeof(*made));

	if (!made)
		return ERR_NO_MEMORY;
	made->base = base;
	made->options = *options;
	LIST_INIT(&made->connections);
	TAILQ_INIT(&made->idle);
	made->listener = evconnlistener_new_bind(
		base, on_accept, made,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, &options->address.any,
		(int)socket_address_len(&options->address));
	if (!made->listener) {
		free(made);
		return ERR_LIMIT;
	}
	*inbound = made;
	return 0;
}

uint16_t inbound_port(const inbound_t *inbound)
{
	socket_address_t address = { 0 };
	socklen_t len = sizeof(address);

	if (getsockname(evconnlistener_get_fd(inbound->listener), &address.any,
			&len) < 0)
		return 0;
	return socket_address_port(&address);
}

void inbound_stop(inbound_t *inbound)
{
	inbound->stopping = true;
}

void inbound_close_idle(inbound_t *inbound)
{
	connection_t *connection = LIST_FIRST(&inbound->connections);

	while (connection) {
		connection_t *next = LIST_NEXT(connection, entry);

		if (connection->state == CONNECTION_IDLE &&
		    is_resting(connection))
			connection_free(connection);
		connection = next;
	}
}

uint32_t inbound_connection_count(const inbound_t *inbound)
{
	return inbound->count;
}

void inbound_close(inbound_t *inbound)
{
	connection_t *connection = LIST_FIRST(&inbound->connections);

	while (connection) {
		connection_t *next = LIST_NEXT(connection, entry);

		connection_free(connection);
		connection = next;
	}
	evconnlistener_free(inbound->listener);
	free(inbound);
}

static connection_t *connection_of(inbound_request_t *request)
{
	return (connection_t *)request;
}

static bool http_1_0(const connection_t *connection)
{
	return connection->reader.parser.http_major == 1 &&
	       connection->reader.parser.http_minor == 0;
}

/* The head is written in one piece with what its caller adds. */
static void write_head(connection_t *connection, uint16_t status,
		       uint64_t length)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);
	bool has_body = connection->reader.head.method != HTTP_HEAD;

	/* Others wait for the connection of this caller. */
	if (connection->inbound->stopping || connection->inbound->full)
		connection->keep = false;
	connection->began = true;
	connection->chunked =
		length == UINT64_MAX && has_body && !http_1_0(connection);
	if (length == UINT64_MAX && has_body && !connection->chunked)
		connection->keep = false;
	evbuffer_add_printf(output, "HTTP/1.1 %u %s\r\n", status,
			    reason_phrase(status));
	if (connection->chunked)
		evbuffer_add_printf(output, "Transfer-Encoding: chunked\r\n");
	else if (length != UINT64_MAX)
		evbuffer_add_printf(output, "Content-Length: %llu\r\n",
				    (unsigned long long)length);
	if (!connection->keep)
		evbuffer_add_printf(output, "Connection: close\r\n");
}

void inbound_answer(inbound_request_t *request, uint16_t status,
		    const char *headers, const void *body, size_t body_len)
{
	connection_t *connection = connection_of(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	write_head(connection, status, body_len);
	evbuffer_add_printf(output, "%s\r\n", headers ? headers : "");
	if (body_len && request->head->method != HTTP_HEAD)
		evbuffer_add(output, body, body_len);
	inbound_finish(request);
}

void inbound_begin(inbound_request_t *request, uint16_t status,
		   struct evbuffer *headers, uint64_t length)
{
	connection_t *connection = connection_of(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	write_head(connection, status, length);
	evbuffer_add_buffer(output, headers);
	evbuffer_add(output, "\r\n", 2);
}

/* Whether the source may go on. */
static bool note_output(connection_t *connection)
{
	if (evbuffer_get_length(bufferevent_get_output(connection->stream)) >
	    connection->inbound->options.output_high_watermark)
		connection->over_high = true;
	return !connection->over_high;
}

bool inbound_write(inbound_request_t *request, const void *bytes, size_t len)
{
	connection_t *connection = connection_of(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (len) {
		if (connection->chunked)
			evbuffer_add_printf(output, "%zx\r\n", len);
		evbuffer_add(output, bytes, len);
		if (connection->chunked)
			evbuffer_add(output, "\r\n", 2);
	}
	return note_output(connection);
}

bool inbound_write_buffer(inbound_request_t *request, struct evbuffer *piece)
{
	connection_t *connection = connection_of(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);
	size_t len = evbuffer_get_length(piece);

	if (len) {
		if (connection->chunked)
			evbuffer_add_printf(output, "%zx\r\n", len);
		evbuffer_add_buffer(output, piece);
		if (connection->chunked)
			evbuffer_add(output, "\r\n", 2);
	}
	return note_output(connection);
}

void inbound_finish(inbound_request_t *request)
{
	connection_t *connection = connection_of(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (connection->chunked)
		evbuffer_add(output, "0\r\n\r\n", 5);
	release_body(connection);
	request->user_data = NULL;
	/* A stop may have begun after the answer's head was sent. */
	if (!connection->keep || connection->inbound->stopping) {
		linger(connection);
		return;
	}
	set_state(connection, CONNECTION_IDLE);
	http_reader_next(&connection->reader);
	set_timer(connection, current_limits(connection).idle_timeout_ms);
	if (!connection->in_reader)
		serve_input(connection);
}

void inbound_abort(inbound_request_t *request)
{
	connection_t *connection = connection_of(request);

	release_body(connection);
	request->user_data = NULL;
	/* A missing last chunk tells the caller, and a reset would take what
	 * it has not read yet. */
	if (connection->chunked) {
		linger(connection);
		return;
	}
	set_state(connection, CONNECTION_LINGERING);
	if (connection->in_reader) {
		/* The caller of hand_on() still uses the connection. */
		connection->close_after_flush = false;
		set_timer(connection, 1);
		return;
	}
	connection_reset(connection);
}
