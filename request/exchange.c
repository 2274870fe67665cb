#include "request/exchange_job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

/** No further attempt is made with less time left, ms. */
#define ATTEMPT_MIN_MS 30
/** Shortest retry delay that a refusal asks for, ms, and the range of the
 * random part added to it, so that clients return spread over half a second.
 */
#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_SPREAD_MS 500
/** Size of the text that lists a prompt's shared parts, bytes: eight of them;
 * more are cut off. */
#define SHARED_PARTS_TEXT_BYTES (8 * 17 + 1)

bool exchange_is_repeatable(const exchange_t *exchange)
{
	const desired_route_t *route = exchange->route;

	switch (route->kind) {
	case ROUTE_IDEMPOTENT:
		return true;
	case ROUTE_NON_IDEMPOTENT:
		return false;
	case ROUTE_STREAM:
		return route->resumable;
	}
	return false;
}

bool exchange_is_stream(const exchange_t *exchange)
{
	return exchange->route->kind == ROUTE_STREAM;
}

bool exchange_is_resumed(const exchange_t *exchange)
{
	return exchange->last_event != REQUEST_NO_LAST_EVENT &&
	       exchange_is_stream(exchange) && exchange_is_repeatable(exchange);
}

uint64_t exchange_time_left(const exchange_t *exchange, uint64_t now_ms)
{
	return exchange->deadline_ms > now_ms ? exchange->deadline_ms - now_ms
					      : 0;
}

/* The end of a request. */

static void log_end(const exchange_t *exchange, const char *outcome,
		    uint16_t status)
{
	uint64_t now_ms = clock_now_ms();

	event_log(EVENT_REQUEST_ENDED,
		  "id=%s outcome=%s status=%u route=%s endpoint=%s runs=%u "
		  "refusals=%u ms=%llu first_ms=%lld last_event=%lld",
		  exchange->id, outcome, status,
		  exchange->route ? exchange->route->name : "-",
		  exchange->endpoint ? exchange->endpoint->id : "-",
		  exchange->runs, exchange->refusals,
		  (unsigned long long)(now_ms - exchange->started_ms),
		  exchange->first_event_ms
			  ? (long long)(exchange->first_event_ms -
					exchange->started_ms)
			  : -1LL,
		  exchange->last_event == REQUEST_NO_LAST_EVENT
			  ? -1LL
			  : (long long)exchange->last_event);
}

static void count_buffered(struct evbuffer *buffer,
			   const struct evbuffer_cb_info *info, void *context)
{
	exchange_env_t *env = context;

	(void)buffer;
	env->buffered_bytes += info->n_added;
	env->buffered_bytes -= info->n_deleted;
}

static void exchange_free(exchange_t *exchange)
{
	if (exchange->call)
		outbound_cancel(exchange->call);
	exchange_end_charge(exchange);
	stream_lookup_cancel(&exchange->env->stream_lookups, &exchange->lookup);
	exchange_release_load(exchange);
	if (exchange->timer)
		event_free(exchange->timer);
	if (exchange->buffered_head)
		evbuffer_free(exchange->buffered_head);
	if (exchange->buffered_body) {
		exchange->env->buffered_bytes -=
			evbuffer_get_length(exchange->buffered_body);
		evbuffer_free(exchange->buffered_body);
	}
	sse_splitter_free(&exchange->splitter);
	view_put(exchange->view);
	LIST_REMOVE(exchange, entry);
	exchange->env->open_requests--;
	if (exchange->forwarded)
		exchange->env->forwarded_requests--;
	free(exchange);
}

static uint32_t retry_after_ms(exchange_t *exchange, int err)
{
	if (err == ERR_CRASH_BLOCKED || err == ERR_RATE_LIMITED)
		return (uint32_t)exchange->retry_after_ms;
	if (error_answer(err)->run_state != RUN_STATE_NOT_RUN ||
	    error_answer(err)->http_status != 503)
		return 0;
	return RETRY_AFTER_MIN_MS +
	       (uint32_t)rng_below(&exchange->env->rng, RETRY_AFTER_SPREAD_MS);
}

/* customer_limited counts requests beyond a limit: a line for each would use up
 * what the log may write. */
static void log_refused(const exchange_t *exchange, int err, uint16_t status)
{
	if (err != ERR_RATE_LIMITED)
		log_end(exchange, error_type(err), status);
}

static void answer_error(exchange_t *exchange, int err)
{
	const error_answer_t *answer = error_answer(err);
	struct evbuffer *lines = evbuffer_new();

	if (!lines) {
		inbound_abort(exchange->request);
		return;
	}
	platform_write_error_headers(
		lines, exchange->headers.id, retry_after_ms(exchange, err),
		exchange->forwarded && answer->run_state == RUN_STATE_NOT_RUN);
	inbound_answer_buffer(exchange->request, answer->http_status, lines,
			      answer->text, strlen(answer->text));
	evbuffer_free(lines);
}

void exchange_refuse(exchange_t *exchange, int err)
{
	const error_answer_t *answer = error_answer(err);

	metrics_count_error(err);
	if (!exchange->request) {
		log_refused(exchange, err, 0);
		exchange_free(exchange);
		return;
	}
	log_refused(exchange, err,
		    exchange->relay_started ? 0 : answer->http_status);
	if (exchange->relay_started)
		inbound_abort(exchange->request);
	else
		answer_error(exchange, err);
	exchange_free(exchange);
}

void exchange_finish(exchange_t *exchange)
{
	log_end(exchange, "served", exchange->status);
	metrics_observe_ms(METRIC_GATEWAY_ANSWER_MS,
			   clock_now_ms() - exchange->started_ms);
	if (exchange->request) {
		/* The instance that forwarded it may still lose the client. */
		if (!exchange->forwarded)
			exchange_forget_stream(exchange);
		inbound_finish(exchange->request);
	}
	exchange_free(exchange);
}

/* Attempts and their deadlines. */

void exchange_arm_timer(exchange_t *exchange)
{
	uint64_t now_ms = clock_now_ms();
	uint64_t deadline_ms = exchange->deadline_ms;
	uint64_t delay_ms;
	struct timeval delay;

	if (exchange->attempt_deadline_ms &&
	    exchange->attempt_deadline_ms < deadline_ms)
		deadline_ms = exchange->attempt_deadline_ms;
	if (exchange->hold && exchange->hold_until_ms < deadline_ms)
		deadline_ms = exchange->hold_until_ms;
	delay_ms = deadline_ms > now_ms ? deadline_ms - now_ms : 0;
	delay.tv_sec = (time_t)(delay_ms / 1000);
	delay.tv_usec = (suseconds_t)(delay_ms % 1000) * 1000;
	evtimer_add(exchange->timer, &delay);
}

void exchange_cancel_attempt(exchange_t *exchange)
{
	if (exchange->call)
		outbound_cancel(exchange->call);
	exchange->call = NULL;
	exchange_release_load(exchange);
}

/* Lists the ids of the prompt's parts that other requests may share: all but
 * the last one. */
static void format_shared_parts(const exchange_t *exchange, char *text,
				size_t size)
{
	const request_headers_t *headers = &exchange->headers;
	size_t used = 0;

	snprintf(text, size, "-");
	for (uint32_t i = 0; i + 1 < headers->part_count && used < size; i++)
		used += (size_t)snprintf(
			text + used, size - used, "%s%llx", i ? "," : "",
			(unsigned long long)headers->parts[i].id);
}

void exchange_log_failure(exchange_t *exchange, const char *why)
{
	const endpoint_entry_t *endpoint = exchange->endpoint;
	char parts[SHARED_PARTS_TEXT_BYTES];

	format_shared_parts(exchange, parts, sizeof(parts));

	event_log(EVENT_REQUEST_ATTEMPT_FAILED,
		  "id=%s endpoint=%s why=%s status=%u sent_ms=%llu "
		  "last_event=%lld parts=%s",
		  exchange->id, endpoint ? endpoint->id : "-", why,
		  exchange->status,
		  (unsigned long long)(clock_now_ms() - exchange->sent_ms),
		  exchange->last_event == REQUEST_NO_LAST_EVENT
			  ? -1LL
			  : (long long)exchange->last_event,
		  parts);
}

void exchange_count_endpoint_failure(exchange_t *exchange,
				     failure_severity_t severity)
{
	endpoint_load_t *load;
	uint64_t now_ms = clock_now_ms();

	if (!exchange->endpoint)
		return;
	load = exchange->endpoint->load;
	if (endpoint_load_failed(load, severity, now_ms))
		event_log(
			EVENT_ENDPOINT_EJECTED,
			"endpoint=%s failures=%u for_ms=%llu", load->id,
			atomic_load(&load->failures),
			(unsigned long long)(load->ejected_until_ms - now_ms));
}

static bool reserve_retry(exchange_t *exchange)
{
	uint64_t service = hash_string(
		exchange->view->desired->services[exchange->service].name);

	if (retry_budget_take(&exchange->env->retry_budget, service,
			      clock_now_ms()))
		return true;
	event_log(EVENT_RETRY_REFUSED, "id=%s budget used up", exchange->id);
	return false;
}

/* Whether the request may be sent again after an attempt that may have run. */
static bool may_run_again(const exchange_t *exchange)
{
	return exchange_is_repeatable(exchange) &&
	       exchange->runs + exchange->runs_before <
		       exchange->route->attempts_max &&
	       exchange->runs < EXCHANGE_RUNS_MAX;
}

void exchange_relay_buffered(exchange_t *exchange)
{
	inbound_request_t *request = exchange->request;
	size_t len = evbuffer_get_length(exchange->buffered_body);

	if (!request) {
		exchange_finish(exchange);
		return;
	}
	inbound_begin(request, exchange->status, exchange->buffered_head, len);
	if (len)
		inbound_write(request,
			      evbuffer_pullup(exchange->buffered_body, -1),
			      len);
	exchange_finish(exchange);
}

/* Whether another attempt can go on where the last one ended. Only a stream
 * can: its events have ids, while the bytes of two runs cannot be joined. */
static bool can_go_on(const exchange_t *exchange)
{
	return !exchange->relay_started || exchange_is_stream(exchange);
}

void exchange_after_attempt(exchange_t *exchange, attempt_outcome_t outcome)
{
	bool retry = false;
	uint64_t now_ms = clock_now_ms();
	bool has_buffered_answer = exchange->has_answer_head &&
				   !exchange->relay_started &&
				   outcome == ATTEMPT_FAILED;

	exchange_cancel_attempt(exchange);
	if (!can_go_on(exchange)) {
		exchange_refuse(exchange, ERR_ENDPOINT_LOST);
		return;
	}
	switch (outcome) {
	case ATTEMPT_NOT_SENT:
		exchange->runs--;
		exchange->refusals++;
		retry = exchange->refusals <= EXCHANGE_REFUSALS_MAX;
		break;
	case ATTEMPT_NOT_RUN:
		exchange->runs--;
		exchange->refusals++;
		retry = exchange->refusals <= EXCHANGE_REFUSALS_MAX &&
			reserve_retry(exchange);
		break;
	case ATTEMPT_FAILED:
	case ATTEMPT_UNKNOWN:
		retry = may_run_again(exchange) && reserve_retry(exchange);
		break;
	}
	if (retry && exchange->request &&
	    exchange_time_left(exchange, now_ms) > ATTEMPT_MIN_MS &&
	    !exchange_refresh_view(exchange)) {
		exchange_place(exchange);
		return;
	}
	if (outcome == ATTEMPT_NOT_SENT && exchange->unreached &&
	    exchange_time_left(exchange, now_ms) > ATTEMPT_MIN_MS &&
	    exchange_forward(exchange, now_ms))
		return;
	if (has_buffered_answer)
		exchange_relay_buffered(exchange);
	else if (!exchange->runs)
		exchange_refuse(exchange, ERR_OVERLOADED);
	else
		exchange_refuse(exchange, ERR_ENDPOINT_LOST);
}

/* Sends the request to another endpoint, which may be faster, if the attempt's
 * deadline has passed. The timer may also fire a fraction of a ms early; then
 * it is set again. */
static void retry_elsewhere_if_slow(exchange_t *exchange, uint64_t now_ms)
{
	bool stream = exchange_is_stream(exchange);

	if (stream &&
	    now_ms < exchange->last_chunk_ms + STREAM_STALL_TIMEOUT_MS)
		exchange->attempt_deadline_ms =
			exchange->last_chunk_ms + STREAM_STALL_TIMEOUT_MS;
	if (!exchange->attempt_deadline_ms ||
	    now_ms < exchange->attempt_deadline_ms) {
		exchange_arm_timer(exchange);
		return;
	}
	exchange->attempt_deadline_ms = 0;
	if (!may_run_again(exchange) ||
	    (exchange->has_answer_head && !stream) ||
	    !reserve_retry(exchange)) {
		exchange_arm_timer(exchange);
		return;
	}
	if (exchange->endpoint && !exchange->has_answer_head)
		exchange_path_failed(exchange, PATH_LATE);
	exchange_log_failure(exchange, stream ? "stalled" : "slow");
	sse_splitter_reset(&exchange->splitter);
	exchange_count_endpoint_failure(exchange, FAILURE_REQUEST);
	exchange_cancel_attempt(exchange);
	if (exchange_refresh_view(exchange))
		exchange_refuse(exchange, ERR_ENDPOINT_LOST);
	else
		exchange_place(exchange);
}

/* The time before the deadline is up in which something else was to happen. */
static void continue_late(exchange_t *exchange, uint64_t now_ms)
{
	switch (exchange->hold) {
	case EXCHANGE_NOT_HELD:
		retry_elsewhere_if_slow(exchange, now_ms);
		return;
	case EXCHANGE_HELD_FOR_ALLOWANCE:
		if (now_ms < exchange->hold_until_ms) {
			exchange_arm_timer(exchange);
			return;
		}
		exchange_give_up_hold(exchange);
		exchange_refuse(exchange, ERR_RATE_LIMITED);
		return;
	}
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	exchange_t *exchange = context;
	uint64_t now_ms = clock_now_ms();

	(void)fd;
	(void)what;
	if (now_ms < exchange->deadline_ms) {
		continue_late(exchange, now_ms);
		return;
	}
	if (exchange->endpoint && !exchange->has_answer_head)
		exchange_path_failed(exchange, PATH_LATE);
	if (exchange->endpoint)
		exchange_log_failure(exchange, "time_limit");
	exchange_cancel_attempt(exchange);
	exchange_refuse(exchange, exchange->runs ? ERR_TIMEOUT : ERR_DEADLINE);
}

/* Start of a request and events of its client. */

static exchange_t *exchange_new(exchange_env_t *env, inbound_request_t *request)
{
	exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return NULL;
	exchange->env = env;
	exchange->request = request;
	exchange->started_ms = request->received_ms;
	platform_read_request(request->head, &exchange->headers);
	snprintf(exchange->id, sizeof(exchange->id), "%s",
		 exchange->headers.id ? exchange->headers.id : "-");
	if (exchange->headers.id)
		exchange->id_hash = hash_string(exchange->headers.id);
	exchange->last_event = exchange->headers.last_event;
	exchange->timer = evtimer_new(env->base, on_timer, exchange);
	exchange->buffered_head = evbuffer_new();
	exchange->buffered_body = evbuffer_new();
	LIST_INSERT_HEAD(&env->open, exchange, entry);
	env->open_requests++;
	if (!exchange->timer || !exchange->buffered_head ||
	    !exchange->buffered_body ||
	    !evbuffer_add_cb(exchange->buffered_body, count_buffered, env)) {
		exchange_free(exchange);
		return NULL;
	}
	return exchange;
}

/* Starts a request that its customer's limit allows. */
static void start_charged(exchange_t *exchange)
{
	exchange_env_t *env = exchange->env;
	const desired_state_t *desired = exchange->view->desired;

	exchange_compute_prefix_levels(exchange);
	/* The instance that forwarded a request has counted it. */
	if (!exchange->forwarded)
		retry_budget_count_request(
			&env->retry_budget,
			hash_string(desired->services[exchange->service].name),
			clock_now_ms());
	if (exchange_is_resumed(exchange))
		exchange_resume(exchange);
	else
		exchange_place(exchange);
}

static void start_exchange(exchange_t *exchange)
{
	int err = exchange_admit(exchange);

	if (err) {
		exchange_refuse(exchange, err);
		return;
	}
	switch (exchange_charge(exchange)) {
	case EXCHANGE_CHARGED:
		start_charged(exchange);
		return;
	case EXCHANGE_HELD:
		exchange_arm_timer(exchange);
		return;
	case EXCHANGE_OVER_LIMIT:
		exchange_refuse(exchange, ERR_RATE_LIMITED);
		return;
	}
}

void exchange_retry_held(exchange_env_t *env)
{
	exchange_t *next = TAILQ_FIRST(&env->allowances.held);
	exchange_charge_t charge;
	exchange_t *exchange;

	while ((exchange = exchange_next_unheld(&next, &charge))) {
		int err = charge == EXCHANGE_CHARGED
				  ? exchange_refresh_view(exchange)
				  : ERR_RATE_LIMITED;

		if (err)
			exchange_refuse(exchange, err);
		else
			start_charged(exchange);
	}
}

static exchange_t *exchange_open(exchange_env_t *env,
				 inbound_request_t *request)
{
	exchange_t *exchange = exchange_new(env, request);

	request->user_data = exchange;
	if (!exchange)
		inbound_answer(request, 503, NULL, NULL, 0);
	return exchange;
}

void exchange_begin(exchange_env_t *env, inbound_request_t *request)
{
	exchange_t *exchange = exchange_open(env, request);

	if (exchange)
		start_exchange(exchange);
}

void exchange_begin_forwarded(exchange_env_t *env, inbound_request_t *request)
{
	exchange_t *exchange = exchange_open(env, request);

	if (!exchange)
		return;
	exchange->forwarded = true;
	exchange->runs_before = exchange->headers.runs_before;
	metrics_add(METRIC_REQUESTS_TAKEN_OVER, 1);
	if (++env->forwarded_requests > EXCHANGE_FORWARDED_MAX)
		exchange_refuse(exchange, ERR_OVERLOADED);
	else
		start_exchange(exchange);
}

void exchange_client_gone(inbound_request_t *request)
{
	exchange_t *exchange = request->user_data;

	if (!exchange)
		return;
	/* The headers point into the request, which is freed. */
	exchange->request = NULL;
	exchange->headers = (request_headers_t){ 0 };
	log_end(exchange, "caller_gone", 0);
	if (exchange->call && exchange->route->kind == ROUTE_NON_IDEMPOTENT) {
		/* A request that may not run twice runs to its end without a
		 * client. */
		outbound_resume(exchange->call);
		return;
	}
	exchange_free(exchange);
}

void exchange_client_drained(inbound_request_t *request)
{
	exchange_t *exchange = request->user_data;

	if (exchange && exchange->call)
		outbound_resume(exchange->call);
}

void exchange_begin_stop(exchange_env_t *env, uint64_t grace_ms)
{
	exchange_t *exchange;

	planned_stop_begin(&env->stop, grace_ms, clock_now_ms());
	LIST_FOREACH(exchange, &env->open, entry)
	{
		exchange->deadline_ms =
			planned_stop_cap(&env->stop, exchange->deadline_ms);
		exchange_arm_timer(exchange);
	}
}

void exchange_log_cut(const exchange_env_t *env)
{
	uint64_t now_ms = clock_now_ms();
	const exchange_t *exchange;

	LIST_FOREACH(exchange, &env->open, entry)
	{
		event_log(EVENT_REQUEST_CUT,
			  "id=%s route=%s endpoint=%s age_ms=%llu sent_ms=%lld "
			  "left_ms=%llu runs=%u begun=%d client=%d",
			  exchange->id,
			  exchange->route ? exchange->route->name : "-",
			  exchange->endpoint ? exchange->endpoint->id : "-",
			  (unsigned long long)(now_ms - exchange->started_ms),
			  exchange->endpoint
				  ? (long long)(now_ms - exchange->sent_ms)
				  : -1LL,
			  (unsigned long long)exchange_time_left(exchange,
								 now_ms),
			  exchange->runs, exchange->relay_started,
			  exchange->request != NULL);
	}
}
