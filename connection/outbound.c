#include "connection/outbound.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/hash.h"
#include "process/socket_option.h"

/** Hash buckets for connection pools; the endpoints of a small deployment. */
#define POOL_BUCKETS 128
/** TCP keep-alive; see outbound_dead_path_ms(). */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/** Largest amount of input buffered beyond what was parsed, bytes. */
#define READ_AHEAD_BYTES (64 * 1024)

typedef struct connection connection_t;

/** Connections to one target. */
typedef struct connection_pool {
	char key[OUTBOUND_KEY_MAX_BYTES];
	uint32_t connection_count;
	LIST_HEAD(, connection) idle; /**< Most recently used first. */
	LIST_ENTRY(connection_pool) entry;
} connection_pool_t;

uint32_t outbound_dead_path_ms(uint32_t user_timeout_ms)
{
	uint32_t probe_ms = (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S) * 1000;

	if (!user_timeout_ms)
		return (KEEPALIVE_IDLE_S +
			KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S) *
		       1000;
	while (probe_ms < user_timeout_ms)
		probe_ms += KEEPALIVE_INTERVAL_S * 1000;
	return probe_ms;
}

uint32_t outbound_silence_max_ms(uint32_t user_timeout_ms)
{
	/* The silence may begin just before the first probe. */
	uint32_t idle_ms = outbound_dead_path_ms(user_timeout_ms) -
			   KEEPALIVE_IDLE_S * 1000;

	return user_timeout_ms && user_timeout_ms < idle_ms ? user_timeout_ms
							    : idle_ms;
}

/* A call; freed when it no longer uses its connection. */
struct outbound_call {
	connection_t *connection;
	const outbound_callbacks_t *callbacks;
	void *context;
	size_t message_bytes;
	bool reused;
	bool awaits_message; /**< Until outbound_write(). */
};

struct connection {
	outbound_t *outbound;
	connection_pool_t *pool;
	struct bufferevent *stream;
	http_reader_t reader;
	outbound_call_t *call; /**< NULL while idle. */
	bool connected;
	uint64_t connected_ms;
	bool skipping_answer;	/**< The current answer belongs to no call. */
	uint64_t skipped_bytes; /**< During the current call. */
	bool keep_alive;	/**< The server keeps the connection open. */
	bool is_idle;		/**< In the pool's idle list. */
	bool in_read_input;	/**< Reader callbacks are on the stack. */
	bool free_pending;	/**< To be freed once the reader returns. */
	/** While idle: monotonic time from which it is not reused. During an
	 * answer: how long it may be idle afterwards. */
	uint64_t idle_until_ms;
	LIST_ENTRY(connection) entry; /**< In the pool's idle list. */
};

struct outbound {
	struct event_base *base;
	LIST_HEAD(, connection_pool) pools[POOL_BUCKETS];
	uint32_t connection_count;
	outbound_counts_t counts;
};

static void connection_free(connection_t *connection)
{
	if (connection->is_idle)
		LIST_REMOVE(connection, entry);
	connection->pool->connection_count--;
	connection->outbound->connection_count--;
	bufferevent_free(connection->stream);
	http_reader_free(&connection->reader);
	free(connection);
}

/* Detaches the call from its connection and reports its end. */
static void end_call(connection_t *connection, outbound_result_t result)
{
	outbound_call_t *call = connection->call;

	connection->call = NULL;
	call->callbacks->end(call->context, result);
	free(call);
}

static uint64_t unsent_bytes(const connection_t *connection)
{
	return evbuffer_get_length(bufferevent_get_output(connection->stream));
}

static outbound_result_t failure_result(const connection_t *connection)
{
	if (!connection->connected ||
	    unsent_bytes(connection) >= connection->call->message_bytes)
		return OUTBOUND_NOT_SENT;
	return OUTBOUND_LOST;
}

/* Makes the close discard what has not arrived of the request: the server would
 * begin to run it when the path is back, though it has been given up. */
static void abandon_request(connection_t *connection)
{
	if (connection->connected)
		socket_option_reset_on_close(
			bufferevent_getfd(connection->stream));
}

static void close_connection(connection_t *connection, outbound_result_t result)
{
	if (connection->call && result != OUTBOUND_COMPLETE)
		abandon_request(connection);
	if (connection->call)
		end_call(connection, result);
	connection_free(connection);
}

static uint64_t idle_time_ms(const http_head_t *head)
{
	const char *value = http_head_find(head, "Keep-Alive");
	const char *timeout = value ? strcasestr(value, "timeout=") : NULL;
	uint64_t time_ms;

	if (!timeout)
		return OUTBOUND_IDLE_DEFAULT_MS;
	time_ms = strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	return time_ms > OUTBOUND_IDLE_MARGIN_MS
		       ? time_ms - OUTBOUND_IDLE_MARGIN_MS
		       : 0;
}

static int on_head(void *context, http_head_t *head)
{
	connection_t *connection = context;
	outbound_call_t *call = connection->call;

	connection->skipping_answer =
		!call->callbacks->matches_call(call->context, head);
	if (connection->skipping_answer) {
		connection->outbound->counts.answers_skipped++;
		return 0;
	}
	connection->keep_alive = head->keep_alive;
	connection->idle_until_ms = idle_time_ms(head);
	call->callbacks->head(call->context, head);
	return connection->call ? 0 : ERR_CANCELLED;
}

static int on_body(void *context, const char *bytes, size_t len)
{
	connection_t *connection = context;
	outbound_call_t *call = connection->call;

	if (connection->skipping_answer)
		return 0;
	call->callbacks->body(call->context, bytes, len);
	return connection->call ? 0 : ERR_CANCELLED;
}

static void set_read_timeout(connection_t *connection, uint64_t after_ms)
{
	struct timeval after = {
		.tv_sec = (time_t)(after_ms / 1000),
		.tv_usec = (suseconds_t)(after_ms % 1000) * 1000,
	};

	bufferevent_set_timeouts(connection->stream, &after, NULL);
}

static void make_idle_or_close(connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);

	if (!connection->keep_alive || !connection->idle_until_ms ||
	    unsent_bytes(connection) || evbuffer_get_length(input)) {
		if (evbuffer_get_length(input))
			connection->outbound->counts.unsolicited_closes++;
		connection_free(connection);
		return;
	}
	set_read_timeout(connection, connection->idle_until_ms);
	connection->idle_until_ms += clock_now_ms();
	connection->is_idle = true;
	bufferevent_enable(connection->stream, EV_READ);
	LIST_INSERT_HEAD(&connection->pool->idle, connection, entry);
}

static int on_end(void *context)
{
	connection_t *connection = context;

	if (connection->skipping_answer) {
		http_reader_next(&connection->reader);
		return 0;
	}
	return 1; /* Makes feed_input() return. */
}

static const http_reader_callbacks_t reader_callbacks = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* Parses input until it is consumed or the answer has ended. Returns 1 at the
 * end of the answer. */
static int feed_input(connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);

	while (evbuffer_get_length(input)) {
		struct evbuffer_iovec chunk;
		size_t used = 0;
		int err;

		evbuffer_peek(input, -1, NULL, &chunk, 1);
		err = http_reader_feed(&connection->reader, chunk.iov_base,
				       chunk.iov_len, &used);
		evbuffer_drain(input, used);
		if (err || connection->free_pending)
			return err;
		if (connection->skipping_answer)
			connection->skipped_bytes += used;
		if (connection->skipped_bytes > OUTBOUND_SKIPPED_MAX_BYTES)
			return ERR_LIMIT;
	}
	return 0;
}

static void read_input(connection_t *connection)
{
	int err;

	connection->in_read_input = true;
	err = feed_input(connection);
	connection->in_read_input = false;
	if (connection->free_pending) {
		connection_free(connection);
		return;
	}
	if (err == 1) {
		http_reader_next(&connection->reader);
		end_call(connection, OUTBOUND_COMPLETE);
		make_idle_or_close(connection);
	} else if (err) {
		close_connection(connection, OUTBOUND_MALFORMED);
	}
}

static void on_read(struct bufferevent *stream, void *context)
{
	connection_t *connection = context;

	(void)stream;
	if (!connection->call || connection->call->awaits_message) {
		connection->outbound->counts.unsolicited_closes++;
		close_connection(connection, OUTBOUND_NOT_SENT);
		return;
	}
	read_input(connection);
}

/* Whether the server has acknowledged the whole request. */
static bool is_request_received(const connection_t *connection)
{
	int unacknowledged = 0;

	if (unsent_bytes(connection))
		return false;
	/* Not every system tells. */
	return ioctl(bufferevent_getfd(connection->stream), TIOCOUTQ,
		     &unacknowledged) < 0 ||
	       !unacknowledged;
}

/* Whether the close completes an answer that has no length. While the request
 * is on the way, a reset may follow or have been read as end of file. */
static bool close_ends_answer(connection_t *connection)
{
	int err;

	if (!connection->reader.in_message || connection->skipping_answer ||
	    !is_request_received(connection))
		return false;
	connection->in_read_input = true;
	err = http_reader_finish(&connection->reader);
	connection->in_read_input = false;
	return err == 1 && !connection->free_pending;
}

static void on_event(struct bufferevent *stream, short what, void *context)
{
	connection_t *connection = context;

	(void)stream;
	if (what & BEV_EVENT_CONNECTED) {
		connection->connected = true;
		connection->connected_ms = clock_now_ms();
		bufferevent_set_timeouts(connection->stream, NULL, NULL);
		if (connection->call && connection->call->awaits_message)
			connection->call->callbacks->ready(
				connection->call->context);
		return;
	}
	if (connection->call && (what & BEV_EVENT_EOF) &&
	    close_ends_answer(connection))
		close_connection(connection, OUTBOUND_COMPLETE);
	else
		close_connection(connection,
				 connection->call ? failure_result(connection)
						  : OUTBOUND_LOST);
}

static connection_pool_t *find_or_add_pool(outbound_t *outbound,
					   const char *key)
{
	size_t bucket = hash_string(key) % POOL_BUCKETS;
	connection_pool_t *pool;

	LIST_FOREACH(pool, &outbound->pools[bucket], entry)
	{
		if (!strcmp(pool->key, key))
			return pool;
	}
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		return NULL;
	snprintf(pool->key, sizeof(pool->key), "%s", key);
	LIST_INIT(&pool->idle);
	LIST_INSERT_HEAD(&outbound->pools[bucket], pool, entry);
	return pool;
}

/* Whether the server has sent bytes or closed, which the loop has not seen yet:
 * the bytes would be taken for the answer to the next request. */
static bool has_unseen_input(connection_t *connection)
{
	char byte;
	ssize_t len = recv(bufferevent_getfd(connection->stream), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	if (len > 0)
		connection->outbound->counts.unsolicited_closes++;
	return len >= 0 || (errno != EAGAIN && errno != EINTR);
}

static connection_t *take_idle_connection(connection_pool_t *pool)
{
	uint64_t now_ms = clock_now_ms();
	connection_t *connection = LIST_FIRST(&pool->idle);

	while (connection && (now_ms >= connection->idle_until_ms ||
			      has_unseen_input(connection))) {
		connection_t *next = LIST_NEXT(connection, entry);

		connection_free(connection);
		connection = next;
	}
	if (connection) {
		LIST_REMOVE(connection, entry);
		connection->is_idle = false;
		bufferevent_set_timeouts(connection->stream, NULL, NULL);
	}
	return connection;
}

static void set_options(evutil_socket_t fd, const outbound_target_t *target)
{
	socket_option_set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	socket_option_set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	socket_option_set(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	socket_option_set(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	socket_option_set(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	if (target->user_timeout_ms)
		socket_option_set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
				  (int)target->user_timeout_ms);
	if (target->reset_on_close)
		socket_option_reset_on_close(fd);
}

static connection_t *connection_new(outbound_t *outbound,
				    connection_pool_t *pool,
				    const outbound_target_t *target)
{
	struct timeval connect_timeout = {
		.tv_sec = target->connect_timeout_ms / 1000,
		.tv_usec = (target->connect_timeout_ms % 1000) * 1000,
	};
	connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->outbound = outbound;
	connection->pool = pool;
	connection->stream =
		target->transport
			? target->transport->new_stream(target->transport,
							outbound->base, -1,
							&target->address.any)
			: bufferevent_socket_new(outbound->base, -1,
						 BEV_OPT_CLOSE_ON_FREE);
	if (!connection->stream) {
		free(connection);
		return NULL;
	}
	http_reader_init(&connection->reader, HTTP_RESPONSE,
			 HTTP_ANSWER_HEAD_MAX_BYTES, &reader_callbacks,
			 connection);
	bufferevent_setcb(connection->stream, on_read, NULL, on_event,
			  connection);
	bufferevent_setwatermark(connection->stream, EV_READ, 0,
				 READ_AHEAD_BYTES);
	bufferevent_set_timeouts(connection->stream, NULL, &connect_timeout);
	pool->connection_count++;
	outbound->connection_count++;
	return connection;
}

static int start_connect(connection_t *connection,
			 const outbound_target_t *target)
{
	if (bufferevent_socket_connect(
		    connection->stream, &target->address.any,
		    (int)socket_address_len(&target->address)) < 0)
		return ERR_CONNECT;
	set_options(bufferevent_getfd(connection->stream), target);
	connection->outbound->counts.connections_opened++;
	return 0;
}

static int get_connection(outbound_t *outbound, const outbound_target_t *target,
			  bool fresh_only, connection_t **connection)
{
	connection_pool_t *pool = find_or_add_pool(outbound, target->key);

	if (!pool)
		return ERR_NO_MEMORY;
	*connection = fresh_only ? NULL : take_idle_connection(pool);
	if (*connection) {
		outbound->counts.reused++;
		return 0;
	}
	if (pool->connection_count >= target->connections_max)
		return ERR_LIMIT;
	*connection = connection_new(outbound, pool, target);
	return *connection ? 0 : ERR_NO_MEMORY;
}

int outbound_send(outbound_t *outbound, const outbound_target_t *target,
		  struct evbuffer *message, bool fresh_only, bool no_body,
		  const outbound_callbacks_t *callbacks, void *context,
		  outbound_call_t **call)
{
	outbound_call_t *new_call = calloc(1, sizeof(*new_call));
	connection_t *connection = NULL;
	int err;

	if (!new_call)
		return ERR_NO_MEMORY;
	err = get_connection(outbound, target, fresh_only, &connection);
	if (err) {
		free(new_call);
		return err;
	}
	new_call->connection = connection;
	new_call->callbacks = callbacks;
	new_call->context = context;
	new_call->awaits_message = !message;
	new_call->reused = connection->connected;
	connection->reader.body_absent = no_body;
	connection->keep_alive = false;
	connection->skipping_answer = false;
	connection->skipped_bytes = 0;
	if (message) {
		new_call->message_bytes = evbuffer_get_length(message);
		evbuffer_add_buffer(bufferevent_get_output(connection->stream),
				    message);
	}
	bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
	if (!connection->connected) {
		/* The call is attached only afterwards, so that an event during
		 * the connect does not call its callbacks. */
		err = start_connect(connection, target);
		if (err) {
			free(new_call);
			connection_free(connection);
			return err;
		}
	}
	connection->call = new_call;
	*call = new_call;
	return 0;
}

void outbound_write(outbound_call_t *call, struct evbuffer *message)
{
	call->awaits_message = false;
	call->message_bytes = evbuffer_get_length(message);
	evbuffer_add_buffer(bufferevent_get_output(call->connection->stream),
			    message);
}

void outbound_cancel(outbound_call_t *call)
{
	connection_t *connection = call->connection;

	abandon_request(connection);
	connection->call = NULL;
	free(call);
	if (connection->in_read_input)
		connection->free_pending = true;
	else
		connection_free(connection);
}

void outbound_pause(outbound_call_t *call)
{
	bufferevent_disable(call->connection->stream, EV_READ);
}

void outbound_resume(outbound_call_t *call)
{
	bufferevent_enable(call->connection->stream, EV_READ);
}

bool outbound_was_sent(const outbound_call_t *call)
{
	return call->connection->connected &&
	       unsent_bytes(call->connection) < call->message_bytes;
}

bool outbound_was_reused(const outbound_call_t *call)
{
	return call->reused;
}

uint64_t outbound_connected_ms(const outbound_call_t *call)
{
	return call->connection->connected_ms;
}

static void close_idle_connections(connection_pool_t *pool)
{
	connection_t *connection = LIST_FIRST(&pool->idle);

	while (connection) {
		connection_t *next = LIST_NEXT(connection, entry);

		connection_free(connection);
		connection = next;
	}
}

void outbound_sweep(outbound_t *outbound,
		    bool (*is_in_use)(void *context, const char *key),
		    void *context)
{
	for (size_t i = 0; i < POOL_BUCKETS; i++) {
		connection_pool_t *pool = LIST_FIRST(&outbound->pools[i]);

		while (pool) {
			connection_pool_t *next = LIST_NEXT(pool, entry);

			if (!is_in_use(context, pool->key))
				close_idle_connections(pool);
			if (!pool->connection_count) {
				LIST_REMOVE(pool, entry);
				free(pool);
			}
			pool = next;
		}
	}
}

static bool keep_none(void *context, const char *key)
{
	(void)context;
	(void)key;
	return false;
}

void outbound_close(outbound_t *outbound)
{
	outbound_sweep(outbound, keep_none, NULL);
	free(outbound);
}

outbound_t *outbound_open(struct event_base *base)
{
	outbound_t *outbound = calloc(1, sizeof(*outbound));

	if (outbound)
		outbound->base = base;
	return outbound;
}

uint32_t outbound_connection_count(const outbound_t *outbound)
{
	return outbound->connection_count;
}

const outbound_counts_t *outbound_counts(const outbound_t *outbound)
{
	return &outbound->counts;
}
