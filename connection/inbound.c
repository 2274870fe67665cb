#include "connection/inbound.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/socket_option.h"

/** Backlog of the listener, connections: the clients of a failure domain that
 * reconnect at once after a restart. */
#define LISTEN_BACKLOG 512
/** Largest amount of input buffered beyond what was parsed, bytes. */
#define READ_AHEAD_BYTES (256 * 1024)
/** TCP_USER_TIMEOUT: output that stays unacknowledged for this long ends a
 * connection, ms. */
#define USER_TIMEOUT_MS 10000

typedef enum connection_state {
	CONNECTION_IDLE,
	CONNECTION_READING,
	CONNECTION_ANSWERING,
	/** Discards input, so that no TCP reset destroys the last answer. */
	CONNECTION_LINGERING,
} connection_state_t;

typedef struct connection {
	inbound_request_t request; /**< First member; see to_connection(). */
	inbound_t *inbound;
	struct bufferevent *stream;
	struct event *timer;
	http_reader_t reader;
	connection_state_t state;
	uint64_t body_bytes;
	uint64_t body_deadline_ms; /**< For the whole body; 0 for none. */
	bool head_sent;
	bool chunked;	       /**< The answer uses chunked encoding. */
	bool keep_alive;       /**< Another request may follow the answer. */
	bool above_watermark;  /**< The source should pause. */
	bool in_process_input; /**< process_input() is on the stack. */
	bool close_after_flush;
	LIST_ENTRY(connection) entry;
	TAILQ_ENTRY(connection) idle_entry; /**< In the idle list. */
} connection_t;

struct inbound {
	struct event_base *base;
	struct evconnlistener *listener; /**< NULL: accepts no more. */
	inbound_options_t options;
	LIST_HEAD(, connection) connections;
	/** Idle connections, longest idle first; at the connection limit they
	 * are closed in this order. */
	TAILQ_HEAD(, connection) idle;
	uint32_t connection_count;
	uint64_t body_total_bytes;
	uint64_t output_total_bytes; /**< Unsent. */
	bool accept_paused;	     /**< All connections are in use. */
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
		TAILQ_REMOVE(&inbound->idle, connection, idle_entry);
	if (state == CONNECTION_IDLE)
		TAILQ_INSERT_TAIL(&inbound->idle, connection, idle_entry);
	connection->state = state;
}

static void connection_free(connection_t *connection)
{
	inbound_t *inbound = connection->inbound;

	if (connection->state == CONNECTION_IDLE)
		TAILQ_REMOVE(&inbound->idle, connection, idle_entry);
	release_body(connection);
	LIST_REMOVE(connection, entry);
	inbound->connection_count--;
	if (inbound->accept_paused && inbound->listener &&
	    inbound->connection_count < inbound->options.connections_max) {
		inbound->accept_paused = false;
		evconnlistener_enable(inbound->listener);
	}
	if (connection->request.body)
		evbuffer_free(connection->request.body);
	event_free(connection->timer);
	connection->inbound->output_total_bytes -=
		evbuffer_get_length(bufferevent_get_output(connection->stream));
	bufferevent_free(connection->stream);
	http_reader_free(&connection->reader);
	free(connection);
}

/* Closes with a TCP reset, so that the client cannot mistake an incomplete
 * answer for a complete one. */
static void connection_reset(connection_t *connection)
{
	socket_option_reset_on_close(bufferevent_getfd(connection->stream));
	connection_free(connection);
}

static void shutdown_output(connection_t *connection)
{
	const transport_t *transport = connection->inbound->options.transport;

	if (transport)
		transport->shutdown_output(connection->stream);
	else
		shutdown(bufferevent_getfd(connection->stream), SHUT_WR);
}

static void start_linger(connection_t *connection)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	set_state(connection, CONNECTION_LINGERING);
	if (evbuffer_get_length(output))
		connection->close_after_flush = true;
	else
		shutdown_output(connection);
	set_timer(connection, INBOUND_LINGER_MS);
}

static void refuse_request(connection_t *connection, int err)
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
	start_linger(connection);
}

/* Bounds the time for a body, which a client may otherwise send byte by byte
 * for hours. */
static void set_body_deadline(connection_t *connection, const http_head_t *head,
			      const inbound_limits_t *limits)
{
	uint64_t expected = head->content_length != UINT64_MAX
				    ? head->content_length
				    : limits->body_max_bytes;

	connection->body_deadline_ms = 0;
	if (limits->body_min_bytes_per_ms)
		connection->body_deadline_ms =
			clock_now_ms() + limits->idle_timeout_ms +
			expected / limits->body_min_bytes_per_ms;
}

static void restart_body_timer(connection_t *connection,
			       const inbound_limits_t *limits)
{
	uint64_t now_ms = clock_now_ms();
	uint64_t wait_ms = limits->idle_timeout_ms;

	if (connection->body_deadline_ms) {
		uint64_t left_ms =
			connection->body_deadline_ms > now_ms
				? connection->body_deadline_ms - now_ms
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
	set_body_deadline(connection, head, &limits);
	restart_body_timer(connection, &limits);
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
	restart_body_timer(connection, &limits);
	return 0;
}

static int on_end(void *context)
{
	connection_t *connection = context;

	set_state(connection, CONNECTION_ANSWERING);
	return 0;
}

static const http_reader_callbacks_t reader_callbacks = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void dispatch_request(connection_t *connection)
{
	const inbound_options_t *options = &connection->inbound->options;

	set_timer(connection, 0);
	connection->head_sent = false;
	connection->chunked = false;
	connection->above_watermark = false;
	connection->keep_alive = connection->reader.head.keep_alive;
	connection->request.head = &connection->reader.head;
	connection->request.received_ms = clock_now_ms();
	connection->request.user_data = NULL;
	options->callbacks->request(options->context, &connection->request);
}

/* Parses requests until one is in progress or all input is consumed. */
static void process_input(connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);

	connection->in_process_input = true;
	while (connection->state <= CONNECTION_READING &&
	       evbuffer_get_length(input)) {
		struct evbuffer_iovec chunk;
		size_t used = 0;
		int err;

		evbuffer_peek(input, -1, NULL, &chunk, 1);
		if (connection->state == CONNECTION_IDLE) {
			inbound_limits_t limits = current_limits(connection);

			set_state(connection, CONNECTION_READING);
			connection->reader.head_max_bytes =
				limits.head_max_bytes;
			set_timer(connection, limits.head_timeout_ms);
		}
		err = http_reader_feed(&connection->reader, chunk.iov_base,
				       chunk.iov_len, &used);
		evbuffer_drain(input, used);
		if (err) {
			refuse_request(connection, err);
			break;
		}
		if (connection->state == CONNECTION_ANSWERING)
			dispatch_request(connection);
	}
	connection->in_process_input = false;
}

static void on_read(struct bufferevent *stream, void *context)
{
	connection_t *connection = context;

	if (connection->state == CONNECTION_LINGERING) {
		struct evbuffer *input = bufferevent_get_input(stream);

		evbuffer_drain(input, evbuffer_get_length(input));
		return;
	}
	process_input(connection);
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
	if (connection->above_watermark) {
		connection->above_watermark = false;
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
	/* The client may have closed only its sending side; it can then still
	 * receive the refusal. */
	if ((what & BEV_EVENT_EOF) && connection->state == CONNECTION_READING &&
	    connection->reader.in_message) {
		refuse_request(connection, ERR_BODY_INCOMPLETE);
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
		refuse_request(connection, ERR_BODY_INCOMPLETE);
	else if (connection->close_after_flush)
		/* Output is still being sent; if the client reads nothing, the
		 * write timeout closes the connection. */
		set_timer(connection, INBOUND_LINGER_MS);
	else
		connection_free(connection);
}

/* Frees what connection_init() has made, and closes the descriptor. */
static void discard_connection(connection_t *connection, evutil_socket_t fd)
{
	if (connection->timer)
		event_free(connection->timer);
	if (connection->stream)
		bufferevent_free(connection->stream);
	else
		evutil_closesocket(fd);
	free(connection);
}

static void count_output(struct evbuffer *output,
			 const struct evbuffer_cb_info *info, void *context)
{
	inbound_t *inbound = context;

	(void)output;
	inbound->output_total_bytes += info->n_added;
	inbound->output_total_bytes -= info->n_deleted;
}

static int connection_init(connection_t *connection, evutil_socket_t fd)
{
	inbound_t *inbound = connection->inbound;
	const inbound_options_t *options = &inbound->options;
	struct timeval write_timeout = {
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
	if (!connection->timer ||
	    !evbuffer_add_cb(bufferevent_get_output(connection->stream),
			     count_output, inbound))
		return ERR_NO_MEMORY;
	socket_option_set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	socket_option_set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	bufferevent_setcb(connection->stream, on_read, on_write, on_event,
			  connection);
	bufferevent_setwatermark(connection->stream, EV_READ, 0,
				 READ_AHEAD_BYTES);
	bufferevent_set_timeouts(connection->stream, NULL, &write_timeout);
	return bufferevent_enable(connection->stream, EV_READ | EV_WRITE) < 0
		       ? ERR_NO_MEMORY
		       : 0;
}

/* Whether the client has sent a part of a request, which may still be in the
 * buffer of the socket. */
static bool has_unread_request(const connection_t *connection)
{
	int unread = 0;

	if (connection->state == CONNECTION_READING)
		return true;
	return connection->state == CONNECTION_IDLE &&
	       !ioctl(bufferevent_getfd(connection->stream), FIONREAD,
		      &unread) &&
	       unread > 0;
}

/* Whether an idle connection can be closed: it has no output to send and no
 * input that is being processed or not read yet. */
static bool is_closable(const connection_t *connection)
{
	return !connection->in_process_input &&
	       !has_unread_request(connection) &&
	       !evbuffer_get_length(bufferevent_get_output(connection->stream));
}

/* At the connection limit, closes the connection that was idle for longest. If
 * there is none, stops accepting until a connection ends. */
static void enforce_connection_limit(inbound_t *inbound,
				     const connection_t *newest)
{
	connection_t *connection = TAILQ_FIRST(&inbound->idle);

	if (inbound->connection_count < inbound->options.connections_max)
		return;
	while (connection && (connection == newest || !is_closable(connection)))
		connection = TAILQ_NEXT(connection, idle_entry);
	if (connection) {
		connection_free(connection);
		return;
	}
	inbound->accept_paused = true;
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
	if (connection_init(connection, fd)) {
		discard_connection(connection, fd);
		return;
	}
	http_reader_init(&connection->reader, HTTP_REQUEST, 0,
			 &reader_callbacks, connection);
	LIST_INSERT_HEAD(&inbound->connections, connection, entry);
	TAILQ_INSERT_TAIL(&inbound->idle, connection, idle_entry);
	set_timer(connection, current_limits(connection).idle_timeout_ms);
	inbound->connection_count++;
	enforce_connection_limit(inbound, connection);
}

int inbound_open(struct event_base *base, const inbound_options_t *options,
		 inbound_t **inbound)
{
	inbound_t *new_inbound = calloc(1, sizeof(*new_inbound));

	if (!new_inbound)
		return ERR_NO_MEMORY;
	new_inbound->base = base;
	new_inbound->options = *options;
	LIST_INIT(&new_inbound->connections);
	TAILQ_INIT(&new_inbound->idle);
	new_inbound->listener = evconnlistener_new_bind(
		base, on_accept, new_inbound,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, &options->address.any,
		(int)socket_address_len(&options->address));
	if (!new_inbound->listener) {
		free(new_inbound);
		return ERR_LIMIT;
	}
	*inbound = new_inbound;
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

void inbound_stop_accepting(inbound_t *inbound)
{
	evutil_socket_t fd;

	if (!inbound->listener)
		return;
	inbound->accept_paused = false;
	while ((fd = accept4(evconnlistener_get_fd(inbound->listener), NULL,
			     NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		on_accept(inbound->listener, fd, NULL, 0, inbound);
	evconnlistener_free(inbound->listener);
	inbound->listener = NULL;
}

void inbound_refuse_unread(inbound_t *inbound, int err)
{
	connection_t *connection;

	LIST_FOREACH(connection, &inbound->connections, entry)
	{
		if (has_unread_request(connection))
			refuse_request(connection, err);
	}
}

void inbound_close_idle(inbound_t *inbound)
{
	connection_t *connection = LIST_FIRST(&inbound->connections);

	while (connection) {
		connection_t *next = LIST_NEXT(connection, entry);

		if (connection->state == CONNECTION_IDLE &&
		    is_closable(connection))
			connection_free(connection);
		connection = next;
	}
}

uint32_t inbound_connection_count(const inbound_t *inbound)
{
	return inbound->connection_count;
}

uint64_t inbound_unsent_bytes(const inbound_t *inbound)
{
	return inbound->output_total_bytes;
}

void inbound_close(inbound_t *inbound)
{
	connection_t *connection = LIST_FIRST(&inbound->connections);

	while (connection) {
		connection_t *next = LIST_NEXT(connection, entry);

		connection_free(connection);
		connection = next;
	}
	if (inbound->listener)
		evconnlistener_free(inbound->listener);
	free(inbound);
}

static connection_t *to_connection(inbound_request_t *request)
{
	return (connection_t *)request;
}

static bool is_http_1_0(const connection_t *connection)
{
	return connection->reader.parser.http_major == 1 &&
	       connection->reader.parser.http_minor == 0;
}

/* Writes the status line and the framing headers. The calling function adds the
 * other headers and the empty line. */
static void write_head(connection_t *connection, uint16_t status,
		       uint64_t length)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);
	bool has_body = connection->reader.head.method != HTTP_HEAD;

	/* At the connection limit, other clients wait for this connection to
	 * close. */
	if (connection->inbound->stopping || connection->inbound->accept_paused)
		connection->keep_alive = false;
	connection->head_sent = true;
	connection->chunked =
		length == UINT64_MAX && has_body && !is_http_1_0(connection);
	if (length == UINT64_MAX && has_body && !connection->chunked)
		connection->keep_alive = false;
	evbuffer_add_printf(output, "HTTP/1.1 %u %s\r\n", status,
			    reason_phrase(status));
	if (connection->chunked)
		evbuffer_add_printf(output, "Transfer-Encoding: chunked\r\n");
	else if (length != UINT64_MAX)
		evbuffer_add_printf(output, "Content-Length: %llu\r\n",
				    (unsigned long long)length);
	if (!connection->keep_alive)
		evbuffer_add_printf(output, "Connection: close\r\n");
}

static void finish_with_body(inbound_request_t *request, const void *body,
			     size_t len)
{
	connection_t *connection = to_connection(request);

	if (len && request->head->method != HTTP_HEAD)
		evbuffer_add(bufferevent_get_output(connection->stream), body,
			     len);
	inbound_finish(request);
}

void inbound_answer(inbound_request_t *request, uint16_t status,
		    const char *headers, const void *body, size_t body_len)
{
	connection_t *connection = to_connection(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	write_head(connection, status, body_len);
	evbuffer_add_printf(output, "%s\r\n", headers ? headers : "");
	finish_with_body(request, body, body_len);
}

void inbound_answer_buffer(inbound_request_t *request, uint16_t status,
			   struct evbuffer *headers, const void *body,
			   size_t body_len)
{
	inbound_begin(request, status, headers, body_len);
	finish_with_body(request, body, body_len);
}

void inbound_begin(inbound_request_t *request, uint16_t status,
		   struct evbuffer *headers, uint64_t length)
{
	connection_t *connection = to_connection(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	write_head(connection, status, length);
	evbuffer_add_buffer(output, headers);
	evbuffer_add(output, "\r\n", 2);
}

static uint32_t output_watermark(const inbound_t *inbound)
{
	const inbound_options_t *options = &inbound->options;

	return options->output_total_max_bytes &&
			       inbound->output_total_bytes >
				       options->output_total_max_bytes
		       ? INBOUND_OUTPUT_LOW_WATERMARK_BYTES
		       : options->output_high_watermark;
}

/* Returns whether the source may continue. */
static bool check_watermark(connection_t *connection)
{
	if (evbuffer_get_length(bufferevent_get_output(connection->stream)) >
	    output_watermark(connection->inbound))
		connection->above_watermark = true;
	return !connection->above_watermark;
}

bool inbound_write(inbound_request_t *request, const void *bytes, size_t len)
{
	connection_t *connection = to_connection(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (len) {
		if (connection->chunked)
			evbuffer_add_printf(output, "%zx\r\n", len);
		evbuffer_add(output, bytes, len);
		if (connection->chunked)
			evbuffer_add(output, "\r\n", 2);
	}
	return check_watermark(connection);
}

bool inbound_write_buffer(inbound_request_t *request, struct evbuffer *chunk)
{
	connection_t *connection = to_connection(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);
	size_t len = evbuffer_get_length(chunk);

	if (len) {
		if (connection->chunked)
			evbuffer_add_printf(output, "%zx\r\n", len);
		evbuffer_add_buffer(output, chunk);
		if (connection->chunked)
			evbuffer_add(output, "\r\n", 2);
	}
	return check_watermark(connection);
}

void inbound_finish(inbound_request_t *request)
{
	connection_t *connection = to_connection(request);
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (connection->chunked)
		evbuffer_add(output, "0\r\n\r\n", 5);
	release_body(connection);
	request->user_data = NULL;
	/* inbound_stop() may have been called after the head was sent. */
	if (!connection->keep_alive || connection->inbound->stopping) {
		start_linger(connection);
		return;
	}
	set_state(connection, CONNECTION_IDLE);
	http_reader_next(&connection->reader);
	set_timer(connection, current_limits(connection).idle_timeout_ms);
	if (!connection->in_process_input)
		process_input(connection);
}

void inbound_abort(inbound_request_t *request)
{
	connection_t *connection = to_connection(request);

	release_body(connection);
	request->user_data = NULL;
	/* The missing last chunk tells the client that the answer is
	 * incomplete. A reset would discard data that the client has not read
	 * yet. */
	if (connection->chunked) {
		start_linger(connection);
		return;
	}
	set_state(connection, CONNECTION_LINGERING);
	if (connection->in_process_input) {
		/* process_input() still uses the connection; the timer frees
		 * it. */
		socket_option_reset_on_close(
			bufferevent_getfd(connection->stream));
		connection->close_after_flush = false;
		set_timer(connection, 1);
		return;
	}
	connection_reset(connection);
}
