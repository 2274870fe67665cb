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
	/** Longest wait before a thread checks its timeouts again, ms. */
	WAIT_MAX_MS = 1000,
	/** Limit for unacknowledged bytes (TCP_USER_TIMEOUT), ms: longer than
	 * the silence of an engine during the prefill of a long prompt. */
	USER_TIMEOUT_MS = 10000,
};

struct upstream_pool {
	loop_t *loop;
	outbound_t *outbound;
	transport_t *tls;
};

/* One transfer; stored on the stack of the thread that waits for it. */
typedef struct transfer {
	upstream_pool_t *pool;
	const upstream_call_t *call;
	outbound_target_t target;
	struct evbuffer *message; /**< The request; empty once it is sent. */
	outbound_call_t *out;	  /**< Used by the loop; NULL: not open. */
	loop_call_t begin;
	loop_call_t send;
	loop_call_t resume;
	pthread_mutex_t lock; /**< Protects the members below. */
	pthread_cond_t changed;
	bool connected; /**< The message can be sent. */
	bool sent;	/**< The message was passed to the connection. */
	bool has_head;	/**< `head` is set. */
	bool paused; /**< Reading pauses until the thread has taken the body. */
	bool resuming;	/**< `resume` was posted and has not run. */
	bool cancelled; /**< A cancel was set; see cancel_reason_of(). */
	bool ended;
	int end_err;
	http_head_t head;
	byte_buffer_t unread_body; /**< Not yet taken by the thread. */
} transfer_t;

static void signal_waiter(transfer_t *transfer)
{
	pthread_cond_signal(&transfer->changed);
}

static void set_ended(transfer_t *transfer, int err)
{
	SCOPED_LOCK(lock, &transfer->lock);

	transfer->ended = true;
	/* An earlier failure takes precedence: the answer is incomplete. */
	if (!transfer->end_err)
		transfer->end_err = err;
	signal_waiter(transfer);
}

/* Functions called on the loop's thread. */

static void write_message(transfer_t *transfer)
{
	if (!transfer->out)
		return;
	outbound_write(transfer->out, transfer->message);
	pthread_mutex_lock(&transfer->lock);
	transfer->sent = true;
	pthread_mutex_unlock(&transfer->lock);
}

static void on_connected(void *context)
{
	transfer_t *transfer = context;

	if (!transfer->call->before_send)
		write_message(transfer);
	pthread_mutex_lock(&transfer->lock);
	transfer->connected = true;
	signal_waiter(transfer);
	pthread_mutex_unlock(&transfer->lock);
}

static bool is_final_head(void *context, const http_head_t *head)
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
	signal_waiter(transfer);
}

static void on_body(void *context, const char *bytes, size_t len)
{
	transfer_t *transfer = context;
	SCOPED_LOCK(lock, &transfer->lock);

	if (!transfer->end_err &&
	    byte_buffer_add(&transfer->unread_body, bytes, len))
		transfer->end_err = ERR_NO_MEMORY;
	if (transfer->unread_body.len > UPSTREAM_BUFFERED_MAX_BYTES &&
	    !transfer->paused) {
		transfer->paused = true;
		outbound_pause(transfer->out);
	}
	signal_waiter(transfer);
}

static int outbound_error(outbound_result_t result)
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
	set_ended(transfer, outbound_error(result));
}

static const outbound_callbacks_t transfer_callbacks = {
	.ready = on_connected,
	.matches_call = is_final_head,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void run_begin(loop_call_t *call)
{
	transfer_t *transfer = caa_container_of(call, transfer_t, begin);
	const upstream_call_t *request = transfer->call;
	int err = outbound_send(transfer->pool->outbound, &transfer->target,
				NULL, request->fresh_connection,
				!strcmp(request->method, "HEAD"),
				&transfer_callbacks, transfer, &transfer->out);

	if (err)
		set_ended(transfer, err);
	else if (outbound_was_reused(transfer->out))
		on_connected(transfer);
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

/* Called on the thread that cancels. */
static void on_cancel(void *context)
{
	transfer_t *transfer = context;
	SCOPED_LOCK(lock, &transfer->lock);

	transfer->cancelled = true;
	signal_waiter(transfer);
}

/* Functions called on the waiting thread. */

static int cancel_reason_of(const upstream_call_t *call)
{
	int reason = call->cancel ? cancel_reason(call->cancel) : 0;

	if (!reason && call->client_gone)
		reason = cancel_reason(call->client_gone);
	return reason;
}

/* Times and progress of a transfer as known to the waiting thread. */
typedef struct transfer_times {
	uint64_t start_ms;
	uint64_t last_byte_ms;
	bool connected;
	bool received;
} transfer_times_t;

/**
 * Returns the error of a timeout that has expired, or 0.
 * @param next_ms receives the monotonic time of the next check
 */
static int check_timeouts(const upstream_call_t *call,
			  const transfer_times_t *times, uint64_t now_ms,
			  uint64_t *next_ms)
{
	const struct {
		uint64_t at_ms;
		int err;
		bool applies;
	} limits[] = {
		{ call->deadline_ms, ERR_DEADLINE, call->deadline_ms },
		{ times->start_ms + call->connect_timeout_ms, ERR_CONNECT,
		  !times->connected && call->connect_timeout_ms },
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

static void wait_until(transfer_t *transfer, uint64_t deadline_ms)
{
	struct timespec deadline = {
		.tv_sec = (time_t)(deadline_ms / 1000),
		.tv_nsec = (long)(deadline_ms % 1000) * 1000000L,
	};

	pthread_cond_timedwait(&transfer->changed, &transfer->lock, &deadline);
}

/* Changes of a transfer since the waiting thread last checked it. */
typedef struct progress {
	bool connected;
	bool head;
	byte_buffer_t body;
	bool ended;
	int end_err;
} progress_t;

static void wait_for_progress(transfer_t *transfer,
			      const transfer_times_t *times, bool had_head,
			      uint64_t deadline_ms, progress_t *progress)
{
	SCOPED_LOCK(lock, &transfer->lock);

	while (!transfer->ended && !transfer->cancelled &&
	       transfer->connected == times->connected &&
	       transfer->has_head == had_head && !transfer->unread_body.len &&
	       clock_now_ms() < deadline_ms)
		wait_until(transfer, deadline_ms);
	transfer->cancelled = false;
	*progress = (progress_t){
		.connected = transfer->connected && !times->connected,
		.head = transfer->has_head && !had_head,
		.body = transfer->unread_body,
		.ended = transfer->ended,
		.end_err = transfer->end_err,
	};
	transfer->unread_body = (byte_buffer_t){ 0 };
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

/* Passes new data of the answer to the callbacks; 0 or their error. */
static int pass_answer(transfer_t *transfer, const progress_t *progress,
		       upstream_result_t *result)
{
	const upstream_call_t *call = transfer->call;
	int err = 0;

	if (progress->head) {
		result->received = true;
		result->status = transfer->head.status;
		if (call->on_head)
			err = call->on_head(call->context, &transfer->head);
	}
	if (err >= 0 && progress->body.len) {
		if (call->on_body)
			err = call->on_body(call->context, progress->body.bytes,
					    progress->body.len);
		resume_if_paused(transfer);
	}
	return err < 0 ? err : 0;
}

/* Sends the request if before_send() permits it; 0 or its error. */
static int send_after_check(transfer_t *transfer)
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

/* Runs the callbacks until the transfer ends; returns its error or 0. */
static int wait_for_end(transfer_t *transfer, upstream_result_t *result)
{
	const upstream_call_t *call = transfer->call;
	transfer_times_t times = { .start_ms = clock_now_ms() };
	bool had_head = false;

	for (;;) {
		uint64_t next_ms;
		progress_t progress;
		int err = cancel_reason_of(call);

		if (!err)
			err = check_timeouts(call, &times, clock_now_ms(),
					     &next_ms);
		if (err)
			return err;
		wait_for_progress(transfer, &times, had_head, next_ms,
				  &progress);
		had_head |= progress.head;
		if (progress.connected) {
			times.connected = true;
			err = send_after_check(transfer);
		}
		if (!err)
			err = pass_answer(transfer, &progress, result);
		if (progress.head || progress.body.len) {
			times.received = true;
			/* Set after the callbacks, as they may block on a slow
			 * client. */
			times.last_byte_ms = clock_now_ms();
		}
		byte_buffer_free(&progress.body);
		if (err)
			return err;
		if (progress.ended)
			return progress.end_err;
	}
}

static bool method_has_body(const char *method)
{
	return !strcmp(method, "POST") || !strcmp(method, "PUT") ||
	       !strcmp(method, "PATCH");
}

static struct evbuffer *build_message(const upstream_call_t *call)
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
	if (call->body || method_has_body(call->method))
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
	return socket_address_parse(call->address, call->port,
				    &target->address);
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
	byte_buffer_free(&transfer->unread_body);
	if (transfer->message)
		evbuffer_free(transfer->message);
	pthread_cond_destroy(&transfer->changed);
	pthread_mutex_destroy(&transfer->lock);
}

static void set_cancel_callbacks(transfer_t *transfer, void (*wake)(void *))
{
	const upstream_call_t *call = transfer->call;

	if (call->cancel)
		cancel_set_callback(call->cancel, wake, transfer);
	if (call->client_gone)
		cancel_set_callback(call->client_gone, wake, transfer);
}

static void run_transfer(transfer_t *transfer, upstream_result_t *result)
{
	bool loop_holds_transfer;

	set_cancel_callbacks(transfer, on_cancel);
	loop_post(transfer->pool->loop, &transfer->begin);
	result->err = wait_for_end(transfer, result);
	set_cancel_callbacks(transfer, NULL);
	pthread_mutex_lock(&transfer->lock);
	loop_holds_transfer = !transfer->ended || transfer->resuming;
	pthread_mutex_unlock(&transfer->lock);
	/* After this no posted call refers to the transfer. */
	if (loop_holds_transfer)
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
	transfer.message = build_message(call);
	if (transfer.message)
		run_transfer(&transfer, result);
	else
		result->err = ERR_NO_MEMORY;
	transfer_free(&transfer);
}

/* The pool. */

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
