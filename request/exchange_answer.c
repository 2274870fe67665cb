#include "request/exchange_job.h"

#include <string.h>

#include "process/clock.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "process/refusal_limit.h"

/** How long an engine is avoided that has other weights than expected, ms: the
 * watch of the endpoint list is renewed within 500 ms, and a change then
 * reaches the other instances. */
#define WEIGHTS_UNKNOWN_MS 800

bool exchange_is_answer_to_request(void *context, const http_head_t *head)
{
	exchange_t *exchange = context;
	answer_headers_t headers;

	if (head->status < 200)
		return false;
	platform_read_answer(head, &headers);
	if (!headers.id || !exchange->id_hash)
		return true;
	return hash_string(headers.id) == exchange->id_hash;
}

static void record_weights(exchange_t *exchange)
{
	endpoint_load_t *load = exchange->endpoint->load;

	if (exchange->answer.weights_version >
	    atomic_load(&load->observed_weights))
		atomic_store(&load->observed_weights,
			     exchange->answer.weights_version);
}

static void record_limit(const exchange_t *exchange)
{
	const answer_headers_t *answer = &exchange->answer;
	endpoint_load_t *load = exchange->endpoint->load;
	uint64_t now_ms = clock_now_ms();

	if (!endpoint_load_set_limit(load, answer->limit, now_ms))
		return;
	atomic_store(&load->limit_changed_ms, now_ms);
	event_log(EVENT_ENDPOINT_LIMIT, "endpoint=%s per_1000_s=%lld id=%s",
		  load->id, endpoint_limit_logged(answer->limit), exchange->id);
}

static void record_refusals_max(const exchange_t *exchange)
{
	uint32_t refusals_max = exchange->answer.refusals_max;
	endpoint_load_t *load = exchange->endpoint->load;

	atomic_store(&load->refusals_known_ms, clock_now_ms());
	if (atomic_exchange(&load->refusals_max, refusals_max) != refusals_max)
		event_log(EVENT_ENDPOINT_REFUSALS_MAX,
			  "endpoint=%s per_s=%lld id=%s", load->id,
			  endpoint_limit_logged(refusals_max), exchange->id);
}

static void record_leaving(const exchange_t *exchange)
{
	endpoint_load_t *load = exchange->endpoint->load;

	if (exchange->answer.leaving && !atomic_exchange(&load->leaving, true))
		event_log(EVENT_ENDPOINT_LEAVING, "endpoint=%s id=%s", load->id,
			  exchange->id);
}

static void record_pause(const exchange_t *exchange)
{
	const answer_headers_t *answer = &exchange->answer;
	endpoint_load_t *load = exchange->endpoint->load;
	uint32_t pause_ms = answer->retry_after_ms;
	uint64_t until_ms;

	if (answer->not_run && answer->refusals_max != ENDPOINT_UNLIMITED &&
	    pause_ms < REFUSAL_PAUSE_MS)
		pause_ms = REFUSAL_PAUSE_MS;
	until_ms = clock_now_ms() + pause_ms;
	if (exchange->status != HTTP_STATUS_SERVICE_UNAVAILABLE || !pause_ms ||
	    until_ms <= atomic_load(&load->paused_until_ms))
		return;
	atomic_store(&load->paused_until_ms, until_ms);
	event_log(EVENT_ENDPOINT_PAUSED, "endpoint=%s for_ms=%u id=%s",
		  load->id, pause_ms, exchange->id);
}

/* What the endpoint says of itself. */
static void record_endpoint_state(const exchange_t *exchange)
{
	/* Another server may have answered. */
	if (exchange->status == HTTP_STATUS_MISDIRECTED_REQUEST)
		return;
	record_limit(exchange);
	record_refusals_max(exchange);
	record_leaving(exchange);
	record_pause(exchange);
}

static void start_stream_relay(exchange_t *exchange, const http_head_t *head)
{
	struct evbuffer *lines = evbuffer_new();

	platform_write_answer(lines, head);
	inbound_begin(exchange->request, head->status, lines, UINT64_MAX);
	exchange->relay_started = true;
	/* The client takes the endpoint of the head for that of the events. */
	if (exchange->software == SOFTWARE_UNKNOWN)
		exchange->software = exchange->endpoint->software;
	evbuffer_free(lines);
}

/* Ends an attempt that may have run; what was received of a stream's current
 * event isn't joined with the answer of the next attempt. */
static void end_failed_attempt(exchange_t *exchange)
{
	sse_splitter_reset(&exchange->splitter);
	exchange_after_attempt(exchange, ATTEMPT_UNKNOWN);
}

static void fail_attempt(exchange_t *exchange, const char *why)
{
	exchange_log_failure(exchange, why);
	exchange_count_endpoint_failure(exchange, FAILURE_REQUEST);
	end_failed_attempt(exchange);
}

/* Whether the answer is one that the endpoint gave to this request. Others are
 * bytes behind an earlier answer, or an earlier refusal sent once more: they
 * lack the request's id or, as a success, a receipt. They say nothing of the
 * endpoint either. */
static bool is_authentic(const exchange_t *exchange)
{
	const answer_headers_t *answer = &exchange->answer;

	if (exchange->id_hash && !answer->id)
		return false;
	return exchange->status / 100 != 2 || answer->has_response_stamp;
}

static void fail_without_receipt(exchange_t *exchange)
{
	exchange_log_failure(exchange, "no_receipt");
	/* A server answers so to a head that it cannot read: the client must
	 * not be able to get it ejected. */
	if (exchange->status / 100 != 4)
		exchange_count_endpoint_failure(exchange, FAILURE_REQUEST);
	end_failed_attempt(exchange);
}

static void on_answer_head(void *context, const http_head_t *head)
{
	exchange_t *exchange = context;

	platform_read_answer(head, &exchange->answer);
	exchange->status = head->status;
	atomic_store(&exchange->endpoint->load->last_byte_ms, clock_now_ms());
	exchange_path_answered(exchange);
	if (!is_authentic(exchange)) {
		fail_without_receipt(exchange);
		return;
	}
	exchange->has_answer_head = true;
	record_weights(exchange);
	record_endpoint_state(exchange);
	exchange_report_head(exchange);
	if (exchange_is_stream(exchange) && head->status / 100 == 2) {
		if (exchange->request && !exchange->relay_started)
			start_stream_relay(exchange, head);
		return;
	}
	exchange_report_progress(exchange, clock_now_ms());
	evbuffer_drain(exchange->buffered_head,
		       evbuffer_get_length(exchange->buffered_head));
	evbuffer_drain(exchange->buffered_body,
		       evbuffer_get_length(exchange->buffered_body));
	platform_write_answer(exchange->buffered_head, head);
}

static void record_first_chunk(exchange_t *exchange)
{
	uint64_t first_ms;

	exchange->first_event_ms = exchange->last_chunk_ms;
	first_ms = exchange->first_event_ms - exchange->started_ms;
	metrics_observe_ms(METRIC_GATEWAY_FIRST_MS, first_ms);
	first_token_timeout_record(&exchange->env->first_token_timeout,
				   first_ms);
}

/* Whether an event shows that the stream goes on. Events of a resumable stream
 * have ids; comments may come from an engine that makes no more events. */
static bool is_progress(const exchange_t *exchange, uint64_t id)
{
	return id != SSE_SPLITTER_NO_ID || !exchange_is_repeatable(exchange);
}

static void record_progress(exchange_t *exchange)
{
	uint64_t now_ms = clock_now_ms();

	exchange_learn_event(exchange, now_ms);
	exchange->last_chunk_ms = now_ms;
	if (!exchange->begun_ms)
		exchange_check_begun_weights(exchange, exchange->last_chunk_ms);
	exchange_report_progress(exchange, exchange->last_chunk_ms);
	if (!exchange->first_event_ms)
		record_first_chunk(exchange);
	if (exchange->counted_prefill_tokens)
		exchange_record_cached_prefix(exchange);
	exchange_release_prefill_load(exchange);
}

static void relay_event(void *context, uint64_t id, const char *bytes,
			size_t len)
{
	exchange_t *exchange = context;

	exchange->has_event = true;
	exchange_record_stream(exchange);
	if (id != SSE_SPLITTER_NO_ID) {
		if (exchange->last_event != REQUEST_NO_LAST_EVENT &&
		    id <= exchange->last_event)
			return;
		exchange->last_event = id;
	}
	if (is_progress(exchange, id))
		record_progress(exchange);
	if (exchange->request &&
	    !inbound_write(exchange->request, bytes, len) && exchange->call)
		outbound_pause(exchange->call);
}

/* Relays an answer that is too large to be buffered as it is received. */
static void relay_oversized_answer(exchange_t *exchange)
{
	size_t len = evbuffer_get_length(exchange->buffered_body);

	if (!exchange->relay_started) {
		inbound_begin(exchange->request, exchange->status,
			      exchange->buffered_head, UINT64_MAX);
		exchange->relay_started = true;
	}
	if (!inbound_write(exchange->request,
			   evbuffer_pullup(exchange->buffered_body, -1), len))
		outbound_pause(exchange->call);
	evbuffer_drain(exchange->buffered_body, len);
}

/* Whether the answer says that the request failed, so that its body may be
 * given up. */
static bool is_error_answer(const exchange_t *exchange)
{
	return exchange->status >= 500 || exchange->answer.not_run ||
	       (exchange_is_stream(exchange) && exchange->status / 100 != 2);
}

static void fail_oversized_error(exchange_t *exchange)
{
	exchange_log_failure(exchange, "error_too_long");
	exchange_count_endpoint_failure(exchange, FAILURE_REQUEST);
	exchange_after_attempt(exchange, exchange->answer.not_run
						 ? ATTEMPT_NOT_RUN
						 : ATTEMPT_UNKNOWN);
}

static void on_answer_body(void *context, const char *bytes, size_t len)
{
	exchange_t *exchange = context;

	atomic_store(&exchange->endpoint->load->last_byte_ms, clock_now_ms());
	if (exchange_is_stream(exchange) && exchange->status / 100 == 2) {
		if (sse_splitter_feed(&exchange->splitter, bytes, len,
				      relay_event, exchange))
			fail_attempt(exchange, "event_too_long");
		return;
	}
	/* Nothing is relayed without a client, nor can an error body be relayed
	 * in a stream that has started. */
	if (!exchange->request ||
	    (exchange_is_stream(exchange) && exchange->relay_started))
		return;
	evbuffer_add(exchange->buffered_body, bytes, len);
	if (!exchange->relay_started &&
	    evbuffer_get_length(exchange->buffered_body) <=
		    EXCHANGE_BUFFERED_ANSWER_MAX_BYTES &&
	    exchange->env->buffered_bytes <= exchange->env->buffered_max_bytes)
		return;
	if (is_error_answer(exchange))
		fail_oversized_error(exchange);
	else
		relay_oversized_answer(exchange);
}

/* Whether a stream ended before its first event. One that goes on after the
 * client's last event may have nothing left to send. */
static bool is_stream_empty(const exchange_t *exchange)
{
	return !exchange->has_event &&
	       exchange->last_event == REQUEST_NO_LAST_EVENT;
}

static void on_stream_end(exchange_t *exchange)
{
	if (is_stream_empty(exchange)) {
		exchange_report_crash(exchange);
		fail_attempt(exchange, "no_event");
		return;
	}
	if (sse_splitter_is_partial(&exchange->splitter)) {
		exchange_report_crash(exchange);
		fail_attempt(exchange, "cut_in_event");
		return;
	}
	endpoint_load_succeeded(exchange->endpoint->load, clock_now_ms());
	exchange_learn_end(exchange, clock_now_ms());
	if (exchange->begun_ms)
		exchange_report_completed(exchange);
	exchange_finish(exchange);
}

/* Handles status 421: another server has the endpoint's address, or the
 * endpoint has other weights than the request asked for. Which ones is known
 * from its next entry or report; until then it is avoided. */
static void handle_misdirected(exchange_t *exchange)
{
	const answer_headers_t *answer = &exchange->answer;
	endpoint_load_t *load = exchange->endpoint->load;

	if (answer->endpoint_id && strcmp(answer->endpoint_id, load->id) != 0) {
		atomic_store(&load->leaving, true);
		event_log(EVENT_ENDPOINT_REPLACED, "endpoint=%s found=%s",
			  load->id, answer->endpoint_id);
		return;
	}
	if (!answer->weights_version)
		endpoint_load_avoid(load, clock_now_ms() + WEIGHTS_UNKNOWN_MS);
}

static void on_plain_end(exchange_t *exchange)
{
	uint16_t status = exchange->status;
	bool success = status / 100 == 2;

	if (!exchange->answer.not_run)
		exchange_report_completed(exchange);
	if (exchange->answer.not_run) {
		exchange_log_failure(exchange, "not_run");
		if (status == 421)
			handle_misdirected(exchange);
		exchange_after_attempt(exchange, ATTEMPT_NOT_RUN);
	} else if (exchange->relay_started && !exchange_is_stream(exchange)) {
		exchange_finish(exchange);
	} else if (exchange->relay_started) {
		/* The request was for the rest of a stream. */
		exchange_log_failure(exchange, "not_resumed");
		exchange_after_attempt(exchange, ATTEMPT_FAILED);
	} else if (success || status < 500) {
		/* These statuses mean that the request did not run, but without
		 * a header that says so it may have. */
		if (status == 429 || status == 408 ||
		    status == HTTP_STATUS_MISDIRECTED_REQUEST) {
			exchange_log_failure(exchange, "broken_promise");
			exchange_after_attempt(exchange, ATTEMPT_UNKNOWN);
			return;
		}
		endpoint_load_succeeded(exchange->endpoint->load,
					clock_now_ms());
		if (success)
			exchange_learn_end(exchange, clock_now_ms());
		exchange_relay_buffered(exchange);
	} else {
		exchange_log_failure(exchange, "server_error");
		exchange_count_endpoint_failure(exchange, FAILURE_REQUEST);
		exchange_after_attempt(exchange, status == 503
							 ? ATTEMPT_UNKNOWN
							 : ATTEMPT_FAILED);
	}
}

static void on_answer_end(void *context, outbound_result_t result)
{
	exchange_t *exchange = context;
	bool reused = outbound_was_reused(exchange->call);

	exchange->call = NULL;
	if (result == OUTBOUND_LOST)
		exchange_report_crash(exchange);
	if (exchange->answer.closing && exchange->has_answer_head &&
	    result == OUTBOUND_COMPLETE)
		metrics_add(METRIC_ENDPOINT_CLOSES, 1);
	switch (result) {
	case OUTBOUND_COMPLETE:
		if (exchange_is_stream(exchange) && exchange->status / 100 == 2)
			on_stream_end(exchange);
		else
			on_plain_end(exchange);
		return;
	case OUTBOUND_NOT_SENT:
		exchange_path_failed(exchange, PATH_BROKEN);
		exchange_log_failure(exchange, "not_sent");
		exchange_count_endpoint_failure(exchange, FAILURE_UNREACHABLE);
		exchange_after_attempt(exchange, ATTEMPT_NOT_SENT);
		return;
	case OUTBOUND_LOST:
	case OUTBOUND_MALFORMED:
		/* Endpoints close idle connections without notice. */
		if (result == OUTBOUND_LOST && !exchange->has_answer_head &&
		    !reused)
			exchange_path_failed(exchange, PATH_BROKEN);
		exchange_log_failure(exchange, result == OUTBOUND_LOST
						       ? "lost"
						       : "malformed");
		exchange_count_endpoint_failure(exchange, FAILURE_REQUEST);
		sse_splitter_reset(&exchange->splitter);
		exchange->has_answer_head = false;
		exchange_after_attempt(exchange, ATTEMPT_UNKNOWN);
		return;
	}
}

const outbound_callbacks_t exchange_answer_callbacks = {
	.matches_call = exchange_is_answer_to_request,
	.head = on_answer_head,
	.body = on_answer_body,
	.end = on_answer_end,
};
