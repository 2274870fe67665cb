#include "connection/upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "connection/outbound.h"
#include "connection/tls.h"
#include "process/byte_buffer.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"

enum {
	/** Longest wait of a thread for news of its transfer, ms. */
	WAIT_MAX_MS = 1000,
	/** Unacknowledged bytes end a connection after, ms: longer than the
	 * silence of an engine that reads a long prompt. */
	USER_TIMEOUT_MS = 10000,
};

struct upstream_pool {
	loop_t *loop;
	outbound_t *outbound;
	transport_t *tls;
};

/* One transfer; it lives on the stack of the thread that waits for it. */
typedef struct transfer {
	upstream_pool_t *pool;
	const upstream_call_t *call;
	outbound_target_t target;
	struct evbuffer *message; /**< Until it is sent. */
	outbound_call_t *out;	  /**< Of the loop's thread; NULL: none open. */
	loop_call_t begin;
	loop_call_t send;
	loop_call_t resume;
	pthread_mutex_t lock; /**< Guards what follows. */
	pthread_cond_t changed;
	bool ready;	/**< The connection can take the message. */
	bool sent;	/**< The message was given to the connection. */
	bool has_head;	/**< `head` is here. */
	bool paused;	/**< Reading; until the thread has caught up. */
	bool resuming;	/**< `resume` was posted and has not run. */
	bool cancelled; /**< Somebody cancelled; see the reasons. */
	bool ended;
	int end_err;
	http_head_t head;
	byte_buffer_t body; /**< Bytes that the thread has not taken. */
} transfer_t;

static void tell(transfer_t *transfer)
{
	pthread_cond_signal(&transfer->changed);
}

static void set_ended(transfer_t *transfer, int err)
{
	SCOPED_LOCK(lock, &transfer->lock);

	transfer->ended = true;
	/* What failed before decides: the answer is not whole. */
	if (!transfer->end_err)
		transfer->end_err = err;
	tell(transfer);
}

/* On the loop's thread. */

static void write_message(transfer_t *transfer)
{
	if (!transfer->out)
		return;
	outbound_write(transfer->out, transfer->message);
	pthread_mutex_lock(&transfer->lock);
	transfer->sent = true;
	pthread_mutex_unlock(&transfer->lock);
}

static void on_ready(void *context)
{
	transfer_t *transfer = context;

	if (!transfer->call->before_send)
		write_message(transfer);
	pthread_mutex_lock(&transfer->lock);
	transfer->ready = true;
	tell(transfer);
	pthread_mutex_unlock(&transfer->lock);
}

static bool is_final(void *context, const http_head_t *head)
{
	(void)context;
	return head->status >= 200;
}

static void on_head(void *context, const http_head_t *head)
{
	transfer_t *transfer = context;
	SCOPED_LOCK(lock, &transfer->lock);

	if (http_head_copy(&transfer->head, head))
		transfer->end_err = ERR_NO_MEMORY;
	else
		transfer->has_head = true;
	tell(transfer);
}

static void on_body(void *context, const char *bytes, size_t len)
{
	transfer_t *transfer = context;
	SCOPED_LOCK(lock, &transfer->lock);

	if (!transfer->end_err && byte_buffer_add(&transfer->body, bytes, len))
		transfer->end_err = ERR_NO_MEMORY;
	if (transfer->body.len > UPSTREAM_BUFFERED_MAX_BYTES &&
	    !transfer->paused) {
		transfer->paused = true;
		outbound_pause(transfer->out);
	}
	tell(transfer);
}

static int error_of(outbound_result_t result)
{
	switch (result) {
	case OUTBOUND_COMPLETE:
		return 0;
	case OUTBOUND_NOT_SENT:
		return ERR_CONNECT;
	case OUTBOUND_LOST:
	case OUTBOUND_MALFORMED:
		break;
	}
	return ERR_ENDPOINT_LOST;
}

static void on_end(void *context, outbound_result_t result)
{
	transfer_t *transfer = context;

	transfer->out = NULL;
	if (result == OUTBOUND_NOT_SENT) {
		pthread_mutex_lock(&transfer->lock);
		transfer->sent = false;
		pthread_mutex_unlock(&transfer->lock);
	}
	set_ended(transfer, error_of(result));
}

static const outbound_callbacks_t transfer_calls = {
	.ready = on_ready,
	.matches_call = is_final,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void run_begin(loop_call_t *call)
{
	transfer_t *transfer = caa_container_of(call, transfer_t, begin);
	const upstream_call_t *what = transfer->call;
	int err = outbound_send(transfer->pool->outbound, &transfer->target,
				NULL, what->fresh_connection,
				!strcmp(what->method, "HEAD"), &transfer_calls,
				transfer, &transfer->out);

	if (err)
		set_ended(transfer, err);
	else if (outbound_was_reused(transfer->out))
		on_ready(transfer);
}

static void run_send(loop_call_t *call)
{
	write_message(caa_container_of(call, transfer_t, send));
}

static void run_resume(loop_call_t *call)
{
	transfer_t *transfer = caa_container_of(call, transfer_t, resume);

	if (transfer->out)
		outbound_resume(transfer->out);
	pthread_mutex_lock(&transfer->lock);
	transfer->resuming = false;
	pthread_mutex_unlock(&transfer->lock);
}

static void run_close(void *context)
{
	transfer_t *transfer = context;

	if (transfer->out)
		outbound_cancel(transfer->out);
	transfer->out = NULL;
}

/* On the thread that waits. */

static void on_cancel(void *context)
{
	transfer_t *transfer = context;
	SCOPED_LOCK(lock, &transfer->lock);

	transfer->cancelled = true;
	tell(transfer);
}

static int reason_of(const upstream_call_t *call)
{
	int reason = call->cancel ? cancel_reason(call->cancel) : 0;

	if (!reason && call->caller)
		reason = cancel_reason(call->caller);
	return reason;
}

/* Times of a transfer, as its thread sees them. */
typedef struct times {
	uint64_t start_ms;
	uint64_t last_byte_ms;
	bool ready;
	bool received;
} times_t;

/**
 * Error that time brings, or 0.
 * @param next_ms receives when to look again
 */
static int check_times(const upstream_call_t *call, const times_t *times,
		       uint64_t now_ms, uint64_t *next_ms)
{
	const struct {
		uint64_t at_ms;
		int err;
		bool applies;
	} limits[] = {
		{ call->deadline_ms, ERR_DEADLINE, call->deadline_ms },
		{ times->start_ms + call->connect_timeout_ms, ERR_CONNECT,
		  !times->ready && call->connect_timeout_ms },
		{ times->start_ms + call->first_byte_timeout_ms, ERR_TIMEOUT,
		  !times->received && call->first_byte_timeout_ms },
		{ times->last_byte_ms + call->idle_timeout_ms, ERR_TIMEOUT,
		  times->received && call->idle_timeout_ms },
	};

	*next_ms = now_ms + WAIT_MAX_MS;
	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		if (!limits[i].applies)
			continue;
		if (now_ms >= limits[i].at_ms)
			return limits[i].err;
		if (limits[i].at_ms < *next_ms)
			*next_ms = limits[i].at_ms;
	}
	return 0;
}

static void wait_until(transfer_t *transfer, uint64_t until_ms)
{
	struct timespec until = {
		.tv_sec = (time_t)(until_ms / 1000),
		.tv_nsec = (long)(until_ms % 1000) * 1000000L,
	};

	pthread_cond_timedwait(&transfer->changed, &transfer->lock, &until);
}

/* What is new since the thread looked last. */
typedef struct news {
	bool ready;
	bool head;
	byte_buffer_t body;
	bool ended;
	int end_err;
} news_t;

static void take_news(transfer_t *transfer, const times_t *times, bool had_head,
		      uint64_t until_ms, news_t *news)
{
	SCOPED_LOCK(lock, &transfer->lock);

	while (!transfer->ended && !transfer->cancelled &&
	       transfer->ready == times->ready &&
	       transfer->has_head == had_head && !transfer->body.len &&
	       clock_now_ms() < until_ms)
		wait_until(transfer, until_ms);
	transfer->cancelled = false;
	*news = (news_t){
		.ready = transfer->ready && !times->ready,
		.head = transfer->has_head && !had_head,
		.body = transfer->body,
		.ended = transfer->ended,
		.end_err = transfer->end_err,
	};
	transfer->body = (byte_buffer_t){ 0 };
}

static void resume_if_paused(transfer_t *transfer)
{
	bool post;

	pthread_mutex_lock(&transfer->lock);
	post = transfer->paused && !transfer->ended;
	transfer->paused = false;
	transfer->resuming |= post;
	pthread_mutex_unlock(&transfer->lock);
	if (post)
		loop_post(transfer->pool->loop, &transfer->resume);
}

static int take_answer(transfer_t *transfer, const news_t *news,
		       upstream_result_t *result)
{
	const upstream_call_t *call = transfer->call;
	int err = 0;

	if (news->head) {
		result->received = true;
		result->status = transfer->head.status;
		if (call->take_head)
			err = call->take_head(call->context, &transfer->head);
	}
	if (err >= 0 && news->body.len) {
		if (call->take_body)
			err = call->take_body(call->context, news->body.bytes,
					      news->body.len);
		resume_if_paused(transfer);
	}
	return err < 0 ? err : 0;
}

static int send_when_ready(transfer_t *transfer)
{
	const upstream_call_t *call = transfer->call;
	int err;

	if (!call->before_send)
		return 0;
	err = call->before_send(call->context);
	if (err < 0)
		return err;
	loop_post(transfer->pool->loop, &transfer->send);
	return 0;
}

/* Waits for the transfer and returns the error it ends with. */
static int drive(transfer_t *transfer, upstream_result_t *result)
{
	const upstream_call_t *call = transfer->call;
	times_t times = { .start_ms = clock_now_ms() };
	bool had_head = false;

	for (;;) {
		uint64_t next_ms;
		news_t news;
		int err = reason_of(call);

		if (!err)
			err = check_times(call, &times, clock_now_ms(),
					  &next_ms);
		if (err)
			return err;
		take_news(transfer, &times, had_head, next_ms, &news);
		had_head |= news.head;
		if (news.ready) {
			times.ready = true;
			err = send_when_ready(transfer);
		}
		if (!err)
			err = take_answer(transfer, &news, result);
		if (news.head || news.body.len) {
			times.received = true;
			/* Taken after the callbacks, which may wait for a slow
			 * caller. */
			times.last_byte_ms = clock_now_ms();
		}
		byte_buffer_free(&news.body);
		if (err)
			return err;
		if (news.ended)
			return news.end_err;
	}
}

static bool takes_body(const char *method)
{
	return !strcmp(method, "POST") || !strcmp(method, "PUT") ||
	       !strcmp(method, "PATCH");
}

static struct evbuffer *write_call(const upstream_call_t *call)
{
	bool is_ipv6 = strchr(call->address, ':') != NULL;
	struct evbuffer *message = evbuffer_new();

	if (!message)
		return NULL;
	evbuffer_add_printf(message,
			    "%s %s HTTP/1.1\r\nHost: %s%s%s:%u\r\n"
			    "Accept: */*\r\n%s",
			    call->method, call->path, is_ipv6 ? "[" : "",
			    call->address, is_ipv6 ? "]" : "",
			    (unsigned)call->port,
			    call->headers ? call->headers : "");
	if (call->body || takes_body(call->method))
		evbuffer_add_printf(message, "Content-Length: %zu\r\n",
				    call->body ? call->body_bytes : 0);
	evbuffer_add(message, "\r\n", 2);
	if (call->body &&
	    evbuffer_add(message, call->body, call->body_bytes) < 0) {
		evbuffer_free(message);
		return NULL;
	}
	return message;
}

static int fill_target(const upstream_pool_t *pool, const upstream_call_t *call,
		       outbound_target_t *target)
{
	snprintf(target->key, sizeof(target->key), "%s://%s|%u",
		 call->tls ? "https" : "http", call->address,
		 (unsigned)call->port);
	target->transport = call->tls ? pool->tls : NULL;
	target->connections_max = UPSTREAM_CONNECTIONS_MAX;
	target->connect_timeout_ms = call->connect_timeout_ms;
	target->user_timeout_ms = USER_TIMEOUT_MS;
	return socket_address_read(call->address, call->port, &target->address);
}

static void transfer_init(transfer_t *transfer)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&transfer->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	pthread_mutex_init(&transfer->lock, NULL);
	transfer->begin.run = run_begin;
	transfer->send.run = run_send;
	transfer->resume.run = run_resume;
}

static void transfer_free(transfer_t *transfer)
{
	http_head_free(&transfer->head);
	byte_buffer_free(&transfer->body);
	if (transfer->message)
		evbuffer_free(transfer->message);
	pthread_cond_destroy(&transfer->changed);
	pthread_mutex_destroy(&transfer->lock);
}

static void listen_to_cancels(transfer_t *transfer, void (*wake)(void *))
{
	const upstream_call_t *call = transfer->call;

	if (call->cancel)
		cancel_set_callback(call->cancel, wake, transfer);
	if (call->caller)
		cancel_set_callback(call->caller, wake, transfer);
}

static void run_transfer(transfer_t *transfer, upstream_result_t *result)
{
	bool in_loop;

	listen_to_cancels(transfer, on_cancel);
	loop_post(transfer->pool->loop, &transfer->begin);
	result->err = drive(transfer, result);
	listen_to_cancels(transfer, NULL);
	pthread_mutex_lock(&transfer->lock);
	in_loop = !transfer->ended || transfer->resuming;
	pthread_mutex_unlock(&transfer->lock);
	/* After this nothing that was posted refers to the transfer. */
	if (in_loop)
		loop_run(transfer->pool->loop, run_close, transfer);
	result->sent = transfer->sent;
}

void upstream_run(upstream_pool_t *pool, const upstream_call_t *call,
		  upstream_result_t *result)
{
	transfer_t transfer = { .pool = pool, .call = call };

	*result = (upstream_result_t){ .err = ERR_CONNECT };
	if (fill_target(pool, call, &transfer.target))
		return;
	transfer_init(&transfer);
	transfer.message = write_call(call);
	if (transfer.message)
		run_transfer(&transfer, result);
	else
		result->err = ERR_NO_MEMORY;
	transfer_free(&transfer);
}

/* Pool. */

static void open_on_loop(void *context)
{
	upstream_pool_t *pool = context;

	pool->outbound = outbound_open(loop_base(pool->loop));
}

static void close_on_loop(void *context)
{
	upstream_pool_t *pool = context;

	if (pool->outbound)
		outbound_close(pool->outbound);
}

upstream_pool_t *upstream_pool_new(const char *ca_file)
{
	upstream_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->tls = tls_client_new(ca_file);
	pool->loop = pool->tls ? loop_start(0) : NULL;
	if (pool->loop)
		loop_run(pool->loop, open_on_loop, pool);
	if (pool->outbound)
		return pool;
	upstream_pool_free(pool);
	return NULL;
}

void upstream_pool_free(upstream_pool_t *pool)
{
	if (!pool)
		return;
	if (pool->loop)
		loop_run(pool->loop, close_on_loop, pool);
	loop_stop(pool->loop);
	tls_free(pool->tls);
	free(pool);
}
