#include "connection/http_call.h"

#include <stdlib.h>

#include "process/clock.h"
#include "process/error.h"

struct http_call {
	outbound_call_t *call;
	struct event *timer;
	struct evbuffer *body;
	size_t answer_max_bytes; /**< Of its body. */
	uint64_t timeout_at_ms;	 /**< Without the bytes that arrived. */
	uint16_t status;
	http_call_head_fn *head; /**< NULL for none. */
	http_call_fn *done;
	void *context;
};

static void call_free(http_call_t *call)
{
	event_free(call->timer);
	evbuffer_free(call->body);
	free(call);
}

static void report(http_call_t *call, int err)
{
	size_t len = evbuffer_get_length(call->body);
	const char *body = (const char *)evbuffer_pullup(call->body, -1);

	call->done(call->context, err, call->status, body ? body : "", len);
	call_free(call);
}

static bool is_final_answer(void *context, const http_head_t *head)
{
	(void)context;
	return head->status >= 200;
}

static void on_head(void *context, const http_head_t *head)
{
	http_call_t *call = context;

	call->status = head->status;
	if (call->head)
		call->head(call->context, head);
}

static void on_body(void *context, const char *bytes, size_t len)
{
	http_call_t *call = context;

	if (evbuffer_get_length(call->body) + len <= call->answer_max_bytes) {
		evbuffer_add(call->body, bytes, len);
		return;
	}
	outbound_cancel(call->call);
	call->call = NULL;
	report(call, ERR_LIMIT);
}

static void on_end(void *context, outbound_result_t result)
{
	http_call_t *call = context;

	call->call = NULL;
	switch (result) {
	case OUTBOUND_COMPLETE:
		report(call, 0);
		return;
	case OUTBOUND_NOT_SENT:
		report(call, ERR_CONNECT);
		return;
	case OUTBOUND_LOST:
	case OUTBOUND_MALFORMED:
		report(call, ERR_ENDPOINT_LOST);
		return;
	}
}

static const outbound_callbacks_t callbacks = {
	.matches_call = is_final_answer,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void start_timer(http_call_t *call, uint64_t after_ms)
{
	struct timeval after = {
		.tv_sec = (time_t)(after_ms / 1000),
		.tv_usec = (suseconds_t)(after_ms % 1000) * 1000,
	};

	evtimer_add(call->timer, &after);
}

static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	http_call_t *call = context;
	int err = outbound_was_sent(call->call) ? ERR_TIMEOUT : ERR_CONNECT;
	uint64_t now_ms = clock_now_ms();
	uint64_t timeout_at_ms =
		call->timeout_at_ms +
		evbuffer_get_length(call->body) / HTTP_CALL_MIN_BYTES_PER_MS;

	(void)fd;
	(void)what;
	if (now_ms < timeout_at_ms) {
		start_timer(call, timeout_at_ms - now_ms);
		return;
	}
	outbound_cancel(call->call);
	call->call = NULL;
	report(call, err);
}

http_call_t *http_call_send(outbound_t *outbound, struct event_base *base,
			    const outbound_target_t *target,
			    struct evbuffer *message, size_t answer_max_bytes,
			    uint32_t timeout_ms, http_call_fn *done,
			    void *context)
{
	http_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->answer_max_bytes = answer_max_bytes;
	call->done = done;
	call->context = context;
	call->body = evbuffer_new();
	call->timer = evtimer_new(base, on_timeout, call);
	if (!call->body || !call->timer ||
	    outbound_send(outbound, target, message, false, false, &callbacks,
			  call, &call->call)) {
		if (call->timer)
			event_free(call->timer);
		if (call->body)
			evbuffer_free(call->body);
		free(call);
		return NULL;
	}
	call->timeout_at_ms = clock_now_ms() + timeout_ms;
	start_timer(call, timeout_ms);
	return call;
}

void http_call_on_head(http_call_t *call, http_call_head_fn *head)
{
	call->head = head;
}

void http_call_cancel(http_call_t *call)
{
	if (call->call)
		outbound_cancel(call->call);
	call_free(call);
}
