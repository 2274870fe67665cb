#include "connection/outbound.h"

#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/hash.h"
#include "process/socket_option.h"

/** Buckets of the table of targets; endpoints of a small site. */
#define TARGET_BUCKETS 128
/** A connection that went silent, with a call waiting on it, is found after
 * the idle time and the probes: within the time after which a disturbance
 * counts as over (3 s). */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/** Bytes read ahead of what was passed on. */
#define READ_AHEAD_BYTES (64 * 1024)

typedef struct link link_t;

typedef struct target_row {
	char key[OUTBOUND_KEY_MAX_BYTES];
	uint32_t connections;
	LIST_HEAD(, link) idle; /**< The last used first. */
	LIST_ENTRY(target_row) entry;
} target_row_t;

/* One call; it lives as long as it uses its connection. */
struct outbound_call {
	link_t *link;
	const outbound_callbacks_t *calls;
	void *context;
	size_t message_bytes;
	bool reused;
	bool is_waiting; /**< For its message. */
};

struct link {
	outbound_t *outbound;
	target_row_t *row;
	struct bufferevent *stream;
	http_reader_t reader;
	outbound_call_t *call; /**< NULL while kept. */
	bool connected;
	bool skipping;		/**< The current answer belongs to nobody. */
	bool keep;		/**< The other side keeps the connection. */
	bool idle;		/**< In the row's list. */
	bool in_input;		/**< On the stack of read_input(). */
	bool dead;		/**< Free it when read_input() returns. */
	uint64_t idle_until_ms; /**< Reuse before this time. */
	LIST_ENTRY(link) entry; /**< In the row's idle list. */
};

struct outbound {
	struct event_base *base;
	LIST_HEAD(, target_row) rows[TARGET_BUCKETS];
	uint32_t connections;
	outbound_counts_t counts;
};

static void link_free(link_t *link)
{
	if (link->idle)
		LIST_REMOVE(link, entry);
	link->row->connections--;
	link->outbound->connections--;
	bufferevent_free(link->stream);
	http_reader_free(&link->reader);
	free(link);
}

/* Takes a call off its link and reports its end. */
static void end_call(link_t *link, outbound_result_t result)
{
	outbound_call_t *call = link->call;

	link->call = NULL;
	call->calls->end(call->context, result);
	free(call);
}

static uint64_t unsent_bytes(const link_t *link)
{
	return evbuffer_get_length(bufferevent_get_output(link->stream));
}

static outbound_result_t broken_result(const link_t *link)
{
	if (!link->connected || unsent_bytes(link) >= link->call->message_bytes)
		return OUTBOUND_NOT_SENT;
	return OUTBOUND_LOST;
}

static void break_link(link_t *link, outbound_result_t result)
{
	if (link->call)
		end_call(link, result);
	link_free(link);
}

static uint64_t keep_time_ms(const http_head_t *head)
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
	link_t *link = context;
	outbound_call_t *call = link->call;

	link->skipping = !call->calls->matches_call(call->context, head);
	if (link->skipping) {
		link->outbound->counts.answers_skipped++;
		return 0;
	}
	link->keep = head->keep_alive;
	link->idle_until_ms = keep_time_ms(head);
	call->calls->head(call->context, head);
	return link->call ? 0 : ERR_CANCELLED;
}

static int on_body(void *context, const char *bytes, size_t len)
{
	link_t *link = context;
	outbound_call_t *call = link->call;

	if (link->skipping)
		return 0;
	call->calls->body(call->context, bytes, len);
	return link->call ? 0 : ERR_CANCELLED;
}

static void set_read_timeout(link_t *link, uint64_t after_ms)
{
	struct timeval after = {
		.tv_sec = (time_t)(after_ms / 1000),
		.tv_usec = (suseconds_t)(after_ms % 1000) * 1000,
	};

	bufferevent_set_timeouts(link->stream, &after, NULL);
}

static void keep_or_close(link_t *link)
{
	struct evbuffer *input = bufferevent_get_input(link->stream);

	if (!link->keep || !link->idle_until_ms || unsent_bytes(link) ||
	    evbuffer_get_length(input)) {
		if (evbuffer_get_length(input))
			link->outbound->counts.unsolicited_closes++;
		link_free(link);
		return;
	}
	set_read_timeout(link, link->idle_until_ms);
	link->idle_until_ms += clock_now_ms();
	link->idle = true;
	bufferevent_enable(link->stream, EV_READ);
	LIST_INSERT_HEAD(&link->row->idle, link, entry);
}

static int on_end(void *context)
{
	link_t *link = context;

	if (link->skipping) {
		http_reader_next(&link->reader);
		return 0;
	}
	return 1; /* Ends the loop of read_input(). */
}

static const http_reader_callbacks_t reader_calls = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* Reads the input until it is used up or the answer has ended. */
static int feed_input(link_t *link)
{
	struct evbuffer *input = bufferevent_get_input(link->stream);

	while (evbuffer_get_length(input)) {
		struct evbuffer_iovec piece;
		size_t used = 0;
		int err;

		evbuffer_peek(input, -1, NULL, &piece, 1);
		err = http_reader_feed(&link->reader, piece.iov_base,
				       piece.iov_len, &used);
		evbuffer_drain(input, used);
		if (err || link->dead)
			return err;
	}
	return 0;
}

static void read_input(link_t *link)
{
	int err;

	link->in_input = true;
	err = feed_input(link);
	link->in_input = false;
	if (link->dead) {
		link_free(link);
		return;
	}
	if (err == 1) {
		http_reader_next(&link->reader);
		end_call(link, OUTBOUND_COMPLETE);
		keep_or_close(link);
	} else if (err) {
		break_link(link, OUTBOUND_MALFORMED);
	}
}

static void on_read(struct bufferevent *stream, void *context)
{
	link_t *link = context;

	(void)stream;
	if (!link->call || link->call->is_waiting) {
		link->outbound->counts.unsolicited_closes++;
		break_link(link, OUTBOUND_NOT_SENT);
		return;
	}
	read_input(link);
}

/* The end of the connection completes an answer without a length. */
static bool ended_by_close(link_t *link)
{
	int err;

	if (!link->reader.in_message || link->skipping)
		return false;
	link->in_input = true;
	err = http_reader_finish(&link->reader);
	link->in_input = false;
	return err == 1 && !link->dead;
}

static void on_event(struct bufferevent *stream, short what, void *context)
{
	link_t *link = context;

	(void)stream;
	if (what & BEV_EVENT_CONNECTED) {
		link->connected = true;
		bufferevent_set_timeouts(link->stream, NULL, NULL);
		if (link->call && link->call->is_waiting)
			link->call->calls->ready(link->call->context);
		return;
	}
	if (link->call && (what & BEV_EVENT_EOF) && ended_by_close(link))
		break_link(link, OUTBOUND_COMPLETE);
	else
		break_link(link,
			   link->call ? broken_result(link) : OUTBOUND_LOST);
}

static target_row_t *find_row(outbound_t *outbound, const char *key)
{
	size_t bucket = hash_string(key) % TARGET_BUCKETS;
	target_row_t *row;

	LIST_FOREACH(row, &outbound->rows[bucket], entry)
	{
		if (!strcmp(row->key, key))
			return row;
	}
	row = calloc(1, sizeof(*row));
	if (!row)
		return NULL;
	snprintf(row->key, sizeof(row->key), "%s", key);
	LIST_INIT(&row->idle);
	LIST_INSERT_HEAD(&outbound->rows[bucket], row, entry);
	return row;
}

static link_t *take_idle(target_row_t *row)
{
	uint64_t now_ms = clock_now_ms();
	link_t *link = LIST_FIRST(&row->idle);

	while (link && now_ms >= link->idle_until_ms) {
		link_t *next = LIST_NEXT(link, entry);

		link_free(link);
		link = next;
	}
	if (link) {
		LIST_REMOVE(link, entry);
		link->idle = false;
		bufferevent_set_timeouts(link->stream, NULL, NULL);
	}
	return link;
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
}

static link_t *link_new(outbound_t *outbound, target_row_t *row,
			const outbound_target_t *target)
{
	struct timeval limit = {
		.tv_sec = target->connect_timeout_ms / 1000,
		.tv_usec = (target->connect_timeout_ms % 1000) * 1000,
	};
	link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->outbound = outbound;
	link->row = row;
	link->stream = target->transport
			       ? target->transport->new_stream(
					 target->transport, outbound->base, -1,
					 &target->address.any)
			       : bufferevent_socket_new(outbound->base, -1,
							BEV_OPT_CLOSE_ON_FREE);
	if (!link->stream) {
		free(link);
		return NULL;
	}
	http_reader_init(&link->reader, HTTP_RESPONSE,
			 HTTP_ANSWER_HEAD_MAX_BYTES, &reader_calls, link);
	bufferevent_setcb(link->stream, on_read, NULL, on_event, link);
	bufferevent_setwatermark(link->stream, EV_READ, 0, READ_AHEAD_BYTES);
	bufferevent_set_timeouts(link->stream, NULL, &limit);
	row->connections++;
	outbound->connections++;
	return link;
}

static int link_connect(link_t *link, const outbound_target_t *target)
{
	if (bufferevent_socket_connect(
		    link->stream, &target->address.any,
		    (int)socket_address_len(&target->address)) < 0)
		return ERR_CONNECT;
	set_options(bufferevent_getfd(link->stream), target);
	link->outbound->counts.connections_opened++;
	return 0;
}

static int obtain_link(outbound_t *outbound, const outbound_target_t *target,
		       bool fresh_only, link_t **link)
{
	target_row_t *row = find_row(outbound, target->key);

	if (!row)
		return ERR_NO_MEMORY;
	*link = fresh_only ? NULL : take_idle(row);
	if (*link) {
		outbound->counts.reused++;
		return 0;
	}
	if (row->connections >= target->connections_max)
		return ERR_LIMIT;
	*link = link_new(outbound, row, target);
	return *link ? 0 : ERR_NO_MEMORY;
}

int outbound_send(outbound_t *outbound, const outbound_target_t *target,
		  struct evbuffer *message, bool fresh_only, bool no_body,
		  const outbound_callbacks_t *calls, void *context,
		  outbound_call_t **call)
{
	outbound_call_t *made = calloc(1, sizeof(*made));
	link_t *link = NULL;
	int err;

	if (!made)
		return ERR_NO_MEMORY;
	err = obtain_link(outbound, target, fresh_only, &link);
	if (err) {
		free(made);
		return err;
	}
	made->link = link;
	made->calls = calls;
	made->context = context;
	made->is_waiting = !message;
	made->reused = link->connected;
	link->reader.body_absent = no_body;
	link->keep = false;
	link->skipping = false;
	if (message) {
		made->message_bytes = evbuffer_get_length(message);
		evbuffer_add_buffer(bufferevent_get_output(link->stream),
				    message);
	}
	bufferevent_enable(link->stream, EV_READ | EV_WRITE);
	if (!link->connected) {
		/* Connecting may report at once; that is not a report yet. */
		err = link_connect(link, target);
		if (err) {
			free(made);
			link_free(link);
			return err;
		}
	}
	link->call = made;
	*call = made;
	return 0;
}

void outbound_write(outbound_call_t *call, struct evbuffer *message)
{
	call->is_waiting = false;
	call->message_bytes = evbuffer_get_length(message);
	evbuffer_add_buffer(bufferevent_get_output(call->link->stream),
			    message);
}

void outbound_cancel(outbound_call_t *call)
{
	link_t *link = call->link;

	link->call = NULL;
	free(call);
	if (link->in_input)
		link->dead = true;
	else
		link_free(link);
}

void outbound_pause(outbound_call_t *call)
{
	bufferevent_disable(call->link->stream, EV_READ);
}

void outbound_resume(outbound_call_t *call)
{
	bufferevent_enable(call->link->stream, EV_READ);
}

bool outbound_was_sent(const outbound_call_t *call)
{
	return call->link->connected &&
	       unsent_bytes(call->link) < call->message_bytes;
}

bool outbound_was_reused(const outbound_call_t *call)
{
	return call->reused;
}

static void close_idle(target_row_t *row)
{
	link_t *link = LIST_FIRST(&row->idle);

	while (link) {
		link_t *next = LIST_NEXT(link, entry);

		link_free(link);
		link = next;
	}
}

void outbound_sweep(outbound_t *outbound,
		    bool (*wanted)(void *context, const char *key),
		    void *context)
{
	for (size_t i = 0; i < TARGET_BUCKETS; i++) {
		target_row_t *row = LIST_FIRST(&outbound->rows[i]);

		while (row) {
			target_row_t *next = LIST_NEXT(row, entry);

			if (!wanted(context, row->key))
				close_idle(row);
			if (!row->connections) {
				LIST_REMOVE(row, entry);
				free(row);
			}
			row = next;
		}
	}
}

static bool nothing_wanted(void *context, const char *key)
{
	(void)context;
	(void)key;
	return false;
}

void outbound_close(outbound_t *outbound)
{
	outbound_sweep(outbound, nothing_wanted, NULL);
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
	return outbound->connections;
}

const outbound_counts_t *outbound_counts(const outbound_t *outbound)
{
	return &outbound->counts;
}
