#include "request/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform_request.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "process/peer_news.h"
#include "process/placement.h"
#include "request/event_cut.h"
#include "version/view.h"

/** A last answer that says why is sent so long after the time limit, ms. */
#define TIME_LIMIT_SLACK_MS 20
/** An endpoint is given at least so much time; a send with less is none. */
#define SEND_MIN_MS 30
/** First wait that a refusal names, and what is added at random, ms: callers
 * come back spread over half a second. */
#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_SPREAD_MS 500
/** A stream that may be repeated goes on elsewhere after so long without a
 * piece, ms: several times the longest pause that the sheets allow (400). */
#define STALL_MS 1500
/** Before its first piece the estimated time counts so many times. */
#define STALL_ESTIMATES 4
/** A plain request that may be repeated is sent to another endpoint after so
 * many times its target, at least so late, ms. */
#define SLOW_TARGETS 2
#define SLOW_MIN_MS 300
/** The wait there is taken so many times: it is an estimate, and what other
 * instances sent since their last news is not in it. */
#define OLD_WEIGHTS_WAITS 2
/** A beginning is believed to be in an engine's cache for so long after its
 * last use, ms: prompts of their own push it out in about ten seconds. */
#define ENGINE_BELIEF_MS 9000.0
/** The same for the store, which only gets beginnings and their last parts. */
#define STORE_BELIEF_MS 20000.0
/** Part of the store's link that saves may fill, over all instances; the rest
 * is for fetches. */
#define SAVE_LINK_PART 0.6
/** Shorter beginnings are not worth a save, tokens. */
#define SAVE_MIN_TOKENS 500
/** Longest cache salt with its NUL, bytes. */
#define SALT_MAX_BYTES (DESIRED_NAME_MAX_BYTES + 24)
/** Bounds of the priority that engines take. */
#define PRIORITY_MAX 9

/** What is known when an attempt has ended without a whole answer. */
typedef enum attempt_outcome {
	ATTEMPT_NOT_SENT,
	ATTEMPT_NOT_RUN, /**< The endpoint said so. */
	ATTEMPT_FAILED,	 /**< The endpoint ran it and said that it failed. */
	ATTEMPT_UNKNOWN,
} attempt_outcome_t;

typedef struct exchange {
	exchange_env_t *env;
	inbound_request_t *request; /**< NULL after the caller left. */
	view_t *view;
	const desired_route_t *route;
	const desired_customer_t *customer;
	request_facts_t facts;
	char id[EXCHANGE_ID_MAX_BYTES];
	bool has_id;
	struct event *timer;
	uint64_t began_ms;
	uint64_t until_ms; /**< Of the caller and the route. */
	uint32_t service;
	/* The current attempt. */
	const endpoint_entry_t *endpoint;
	outbound_call_t *call;
	uint64_t sent_ms;
	uint64_t piece_ms; /**< The last piece of a stream arrived. */
	uint64_t attempt_until_ms; /**< 0: to the end. */
	uint32_t counted_tokens;
	uint32_t counted_prefill;
	uint64_t weights;
	answer_facts_t answer;
	uint16_t status;
	bool answered; /**< The attempt's head came. */
	bool lengthless;
	/* The beginning: a key for each of its parts and the ones before. */
	uint32_t level_count;
	uint64_t level_keys[REQUEST_PARTS_MAX];
	uint32_t level_tokens[REQUEST_PARTS_MAX];
	bool saving; /**< The attempt saves in the store. */
	/* Over all attempts. */
	uint64_t tried[EXCHANGE_REFUSALS_MAX + 8];
	uint32_t tried_count;
	uint32_t runs;	   /**< Attempts that may have run. */
	uint32_t refusals; /**< Attempts that did not run. */
	bool passing_on;   /**< The caller's answer has begun. */
	uint64_t last_event;
	uint64_t first_event_ms;
	event_cut_t cut;
	struct evbuffer *held_head; /**< Header lines of a held answer. */
	struct evbuffer *held_body;
} exchange_t;

static void place(exchange_t *exchange);
static void note_read(exchange_t *exchange);

static bool may_repeat(const exchange_t *exchange)
{
	const desired_route_t *route = exchange->route;

	switch (route->kind) {
	case REPEAT_IDEMPOTENT:
		return true;
	case REPEAT_NEVER:
		return false;
	case REPEAT_STREAM:
		return route->resumable;
	}
	return false;
}

static bool is_stream(const exchange_t *exchange)
{
	return exchange->route->kind == REPEAT_STREAM;
}

static uint64_t time_left(const exchange_t *exchange, uint64_t now_ms)
{
	return exchange->until_ms > now_ms ? exchange->until_ms - now_ms : 0;
}

/* Work in progress at the endpoint, for placement here and at peers. */

static void count_prefill_done(exchange_t *exchange)
{
	if (exchange->endpoint && exchange->counted_prefill)
		atomic_fetch_sub(&exchange->endpoint->load->own_prefill,
				 exchange->counted_prefill);
	exchange->counted_prefill = 0;
}

static void count_end(exchange_t *exchange)
{
	if (!exchange->endpoint)
		return;
	count_prefill_done(exchange);
	atomic_fetch_sub(&exchange->endpoint->load->own_runs, 1);
	atomic_fetch_sub(&exchange->endpoint->load->own_tokens,
			 exchange->counted_tokens);
	exchange->counted_tokens = 0;
	exchange->endpoint = NULL;
}

static void count_begin(exchange_t *exchange, const endpoint_entry_t *endpoint,
			const placement_request_t *need,
			const placement_candidate_t *candidate)
{
	endpoint_load_t *load = endpoint->load;

	exchange->endpoint = endpoint;
	exchange->counted_tokens = need->own_tokens + need->output_tokens;
	/* One more, so that it is never 0 while the prompt is being read. */
	exchange->counted_prefill =
		need->own_tokens + need->shared_tokens + 1 -
		(candidate->fetchable_tokens > candidate->held_tokens
			 ? candidate->fetchable_tokens
			 : candidate->held_tokens);
	atomic_fetch_add(&load->own_runs, 1);
	atomic_fetch_add(&load->own_tokens, exchange->counted_tokens);
	atomic_fetch_add(&load->own_prefill, exchange->counted_prefill);
}

/* Beliefs about cached beginnings. */

static uint64_t source_of(const endpoint_load_t *load)
{
	return peer_endpoint_key(load->id_hash, load->born_ms);
}

/* Engines bind nothing to weights: the key does. */
static uint64_t key_under(uint64_t level_key, uint64_t weights)
{
	return hash_rendezvous(level_key, weights);
}

static void note(exchange_t *exchange, uint64_t source, uint64_t weights)
{
	exchange_env_t *env = exchange->env;
	belief_source_t about = { .id = source };
	uint64_t now_ms = clock_now_ms();

	for (uint32_t i = 0; i < exchange->level_count; i++) {
		cache_note_t said = {
			.source = source,
			.key = key_under(exchange->level_keys[i], weights),
			.tokens = exchange->level_tokens[i],
		};

		belief_confirm(&env->beliefs, &about, said.key, said.tokens,
			       now_ms);
		note_ring_put(env->own_notes, &said);
	}
}

static void take_peer_notes(exchange_env_t *env, uint64_t now_ms)
{
	cache_note_t said;

	while (note_ring_take(env->peer_notes, &said)) {
		belief_source_t about = { .id = said.source };

		belief_confirm(&env->beliefs, &about, said.key, said.tokens,
			       now_ms);
	}
}

/* Tokens of the beginning that a cache is believed to hold. */
static uint32_t believed_tokens(const exchange_t *exchange, uint64_t source,
				double expiry_ms, uint64_t weights,
				uint64_t now_ms)
{
	belief_source_t about = { .id = source, .expiry_ms = expiry_ms };

	for (uint32_t i = exchange->level_count; i-- > 0;) {
		uint32_t tokens = belief_tokens(
			&exchange->env->beliefs, &about,
			key_under(exchange->level_keys[i], weights), now_ms);

		if (tokens)
			return tokens;
	}
	return 0;
}

/* All parts but the last are shared; customers that are walled off share with
 * nobody. */
static void read_levels(exchange_t *exchange)
{
	const request_facts_t *facts = &exchange->facts;
	bool walled = exchange->customer && exchange->customer->isolated;
	uint64_t key = walled ? hash_string(exchange->customer->name) : 1;
	uint32_t tokens = 0;

	if (facts->model)
		key = hash_chain(key, facts->model, strlen(facts->model));
	for (uint32_t i = 0; i + 1 < facts->part_count; i++) {
		tokens += facts->parts[i].tokens;
		key = hash_chain(key, &facts->parts[i].id,
				 sizeof(facts->parts[i].id));
		exchange->level_keys[i] = key;
		exchange->level_tokens[i] = tokens;
		exchange->level_count = i + 1;
	}
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
		  (unsigned long long)(now_ms - exchange->began_ms),
		  exchange->first_event_ms
			  ? (long long)(exchange->first_event_ms -
					exchange->began_ms)
			  : -1LL,
		  exchange->last_event == REQUEST_NO_EVENT
			  ? -1LL
			  : (long long)exchange->last_event);
}

static void exchange_free(exchange_t *exchange)
{
	if (exchange->call)
		outbound_cancel(exchange->call);
	count_end(exchange);
	if (exchange->timer)
		event_free(exchange->timer);
	if (exchange->held_head)
		evbuffer_free(exchange->held_head);
	if (exchange->held_body)
		evbuffer_free(exchange->held_body);
	event_cut_free(&exchange->cut);
	view_put(exchange->view);
	exchange->env->open--;
	free(exchange);
}

static uint32_t retry_after_ms(exchange_t *exchange, int err)
{
	if (error_answer(err)->run_state != RUN_STATE_NOT_RUN ||
	    error_answer(err)->http_status != 503)
		return 0;
	return RETRY_AFTER_MIN_MS +
	       (uint32_t)rng_below(&exchange->env->rng, RETRY_AFTER_SPREAD_MS);
}

/* Ends the request with an answer of this instance's own. */
static void refuse(exchange_t *exchange, int err)
{
	const error_answer_t *answer = error_answer(err);
	char lines[256];

	metrics_count_error(err);
	if (!exchange->request) {
		log_end(exchange, error_type(err), 0);
		exchange_free(exchange);
		return;
	}
	log_end(exchange, error_type(err),
		exchange->passing_on ? 0 : answer->http_status);
	if (exchange->passing_on) {
		inbound_abort(exchange->request);
	} else {
		platform_write_refusal(lines, sizeof(lines), exchange->facts.id,
				       retry_after_ms(exchange, err));
		inbound_answer(exchange->request, answer->http_status, lines,
			       answer->text, strlen(answer->text));
	}
	exchange_free(exchange);
}

static void finish(exchange_t *exchange)
{
	log_end(exchange, "served", exchange->status);
	metrics_observe_ms(METRIC_GATEWAY_ANSWER_MS,
			   clock_now_ms() - exchange->began_ms);
	if (exchange->request)
		inbound_finish(exchange->request);
	exchange_free(exchange);
}

/* Timer: the caller's or the attempt's time is over. */

static void arm(exchange_t *exchange)
{
	uint64_t now_ms = clock_now_ms();
	uint64_t until_ms = exchange->until_ms;
	uint64_t delay_ms;
	struct timeval delay;

	if (exchange->attempt_until_ms && exchange->attempt_until_ms < until_ms)
		until_ms = exchange->attempt_until_ms;
	delay_ms = until_ms > now_ms ? until_ms - now_ms : 0;
	delay.tv_sec = (time_t)(delay_ms / 1000);
	delay.tv_usec = (suseconds_t)(delay_ms % 1000) * 1000;
	evtimer_add(exchange->timer, &delay);
}

static void leave_endpoint(exchange_t *exchange)
{
	if (exchange->call)
		outbound_cancel(exchange->call);
	exchange->call = NULL;
	count_end(exchange);
}

static void note_failure(exchange_t *exchange, const char *why)
{
	const endpoint_entry_t *endpoint = exchange->endpoint;

	event_log(EVENT_REQUEST_ATTEMPT_FAILED,
		  "id=%s endpoint=%s why=%s status=%u sent_ms=%llu "
		  "last_event=%lld",
		  exchange->id, endpoint->id, why, exchange->status,
		  (unsigned long long)(clock_now_ms() - exchange->sent_ms),
		  exchange->last_event == REQUEST_NO_EVENT
			  ? -1LL
			  : (long long)exchange->last_event);
}

static void note_endpoint_failed(exchange_t *exchange, failure_weight_t weight)
{
	endpoint_load_t *load = exchange->endpoint->load;
	uint64_t now_ms = clock_now_ms();

	if (endpoint_load_failed(load, weight, now_ms))
		event_log(
			EVENT_ENDPOINT_EJECTED,
			"endpoint=%s failures=%u for_ms=%llu", load->id,
			atomic_load(&load->failures),
			(unsigned long long)(load->ejected_until_ms - now_ms));
}

static bool take_retry(exchange_t *exchange)
{
	uint64_t service = hash_string(
		exchange->view->desired->services[exchange->service].name);

	if (retry_budget_take(&exchange->env->retries, service, clock_now_ms()))
		return true;
	event_log(EVENT_RETRY_REFUSED, "id=%s budget used up", exchange->id);
	return false;
}

static void relay_held_answer(exchange_t *exchange)
{
	inbound_request_t *request = exchange->request;
	size_t len = evbuffer_get_length(exchange->held_body);

	if (!request) {
		finish(exchange);
		return;
	}
	inbound_begin(request, exchange->status, exchange->held_head, len);
	if (len)
		inbound_write(request, evbuffer_pullup(exchange->held_body, -1),
			      len);
	finish(exchange);
}

/* Decides what follows an attempt that gave no whole answer. */
static void after_attempt(exchange_t *exchange, attempt_outcome_t outcome)
{
	bool again = false;
	uint64_t now_ms = clock_now_ms();
	bool has_held = exchange->answered && outcome == ATTEMPT_FAILED;

	leave_endpoint(exchange);
	switch (outcome) {
	case ATTEMPT_NOT_SENT:
		exchange->runs--;
		exchange->refusals++;
		again = exchange->refusals <= EXCHANGE_REFUSALS_MAX;
		break;
	case ATTEMPT_NOT_RUN:
		exchange->runs--;
		exchange->refusals++;
		again = exchange->refusals <= EXCHANGE_REFUSALS_MAX &&
			take_retry(exchange);
		break;
	case ATTEMPT_FAILED:
	case ATTEMPT_UNKNOWN:
		again = may_repeat(exchange) &&
			exchange->runs < exchange->route->attempts_max &&
			take_retry(exchange);
		break;
	}
	if (again && exchange->request &&
	    time_left(exchange, now_ms) > SEND_MIN_MS) {
		place(exchange);
		return;
	}
	if (has_held)
		relay_held_answer(exchange);
	else if (!exchange->runs)
		refuse(exchange, ERR_OVERLOADED);
	else
		refuse(exchange, ERR_ENDPOINT_LOST);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	exchange_t *exchange = context;
	uint64_t now_ms = clock_now_ms();

	(void)fd;
	(void)what;
	if (now_ms < exchange->until_ms) {
		/* The endpoint is slow; another one may be faster. */
		if (is_stream(exchange) &&
		    now_ms < exchange->piece_ms + STALL_MS) {
			exchange->attempt_until_ms =
				exchange->piece_ms + STALL_MS;
			arm(exchange);
			return;
		}
		exchange->attempt_until_ms = 0;
		if ((exchange->answered && !is_stream(exchange)) ||
		    exchange->runs >= exchange->route->attempts_max ||
		    !take_retry(exchange)) {
			arm(exchange);
			return;
		}
		note_failure(exchange,
			     is_stream(exchange) ? "stalled" : "slow");
		event_cut_reset(&exchange->cut);
		note_endpoint_failed(exchange, FAILURE_ONE);
		leave_endpoint(exchange);
		place(exchange);
		return;
	}
	if (exchange->endpoint)
		note_failure(exchange, "time_limit");
	leave_endpoint(exchange);
	refuse(exchange, exchange->runs ? ERR_TIMEOUT : ERR_DEADLINE);
}

/* Reports of the call to the endpoint. */

static bool answer_belongs(void *context, const http_head_t *head)
{
	exchange_t *exchange = context;
	answer_facts_t facts;

	if (head->status < 200)
		return false;
	platform_read_answer(head, &facts);
	if (!facts.id || !exchange->has_id)
		return true;
	return !strncmp(facts.id, exchange->id, sizeof(exchange->id) - 1);
}

static void note_weights(exchange_t *exchange)
{
	endpoint_load_t *load = exchange->endpoint->load;

	if (exchange->answer.weights > atomic_load(&load->seen_weights))
		atomic_store(&load->seen_weights, exchange->answer.weights);
}

static void begin_passing_on(exchange_t *exchange, const http_head_t *head)
{
	struct evbuffer *lines = evbuffer_new();

	platform_write_answer(lines, head);
	inbound_begin(exchange->request, head->status, lines, UINT64_MAX);
	exchange->passing_on = true;
	evbuffer_free(lines);
}

static void on_answer_head(void *context, const http_head_t *head)
{
	exchange_t *exchange = context;

	platform_read_answer(head, &exchange->answer);
	exchange->answered = true;
	exchange->status = head->status;
	atomic_store(&exchange->endpoint->load->last_byte_ms, clock_now_ms());
	note_weights(exchange);
	if (is_stream(exchange) && head->status / 100 == 2) {
		if (exchange->request && !exchange->passing_on)
			begin_passing_on(exchange, head);
		return;
	}
	evbuffer_drain(exchange->held_head,
		       evbuffer_get_length(exchange->held_head));
	evbuffer_drain(exchange->held_body,
		       evbuffer_get_length(exchange->held_body));
	platform_write_answer(exchange->held_head, head);
}

static void pass_event_on(void *context, uint64_t id, const char *bytes,
			  size_t len)
{
	exchange_t *exchange = context;

	if (id != EVENT_CUT_NO_ID) {
		if (exchange->last_event != REQUEST_NO_EVENT &&
		    id <= exchange->last_event)
			return;
		exchange->last_event = id;
	}
	exchange->piece_ms = clock_now_ms();
	if (!exchange->first_event_ms) {
		exchange->first_event_ms = exchange->piece_ms;
		metrics_observe_ms(METRIC_GATEWAY_FIRST_MS,
				   exchange->first_event_ms -
					   exchange->began_ms);
	}
	if (exchange->counted_prefill)
		note_read(exchange);
	count_prefill_done(exchange);
	if (exchange->request &&
	    !inbound_write(exchange->request, bytes, len) && exchange->call)
		outbound_pause(exchange->call);
}

/* A plain answer that is too large to be held goes on as it comes. */
static void pass_held_on(exchange_t *exchange)
{
	size_t len = evbuffer_get_length(exchange->held_body);

	if (!exchange->passing_on) {
		inbound_begin(exchange->request, exchange->status,
			      exchange->held_head, UINT64_MAX);
		exchange->passing_on = true;
	}
	if (!inbound_write(exchange->request,
			   evbuffer_pullup(exchange->held_body, -1), len))
		outbound_pause(exchange->call);
	evbuffer_drain(exchange->held_body, len);
}

static void on_answer_body(void *context, const char *bytes, size_t len)
{
	exchange_t *exchange = context;

	atomic_store(&exchange->endpoint->load->last_byte_ms, clock_now_ms());
	if (is_stream(exchange) && exchange->status / 100 == 2) {
		if (event_cut_feed(&exchange->cut, bytes, len, pass_event_on,
				   exchange)) {
			note_failure(exchange, "event_too_long");
			after_attempt(exchange, ATTEMPT_UNKNOWN);
		}
		return;
	}
	evbuffer_add(exchange->held_body, bytes, len);
	if (exchange->request &&
	    (exchange->passing_on || evbuffer_get_length(exchange->held_body) >
					     EXCHANGE_HOLD_MAX_BYTES))
		pass_held_on(exchange);
}

static void end_of_stream(exchange_t *exchange)
{
	if (event_cut_is_partial(&exchange->cut)) {
		note_failure(exchange, "cut_in_event");
		event_cut_reset(&exchange->cut);
		after_attempt(exchange, ATTEMPT_UNKNOWN);
		return;
	}
	endpoint_load_succeeded(exchange->endpoint->load, clock_now_ms());
	finish(exchange);
}

/* Another server has the address, or the weights are others. */
static void note_misdirected(exchange_t *exchange)
{
	const answer_facts_t *answer = &exchange->answer;
	endpoint_load_t *load = exchange->endpoint->load;
	const named_weights_t *named;

	if (answer->instance && strcmp(answer->instance, load->id) != 0) {
		atomic_store(&load->leaving, true);
		event_log(EVENT_ENDPOINT_REPLACED, "endpoint=%s found=%s",
			  load->id, answer->instance);
		return;
	}
	named = exchange->facts.model
			? view_weights(exchange->view, exchange->facts.model)
			: NULL;
	if (named && !answer->weights)
		atomic_store(&load->seen_weights, named->versions[0]);
}

static void end_of_plain(exchange_t *exchange)
{
	uint16_t status = exchange->status;
	bool success = status / 100 == 2;

	if (exchange->answer.not_run) {
		note_failure(exchange, "not_run");
		if (status == 421)
			note_misdirected(exchange);
		after_attempt(exchange, ATTEMPT_NOT_RUN);
	} else if (success && !exchange->answer.has_receipt) {
		note_failure(exchange, "no_receipt");
		note_endpoint_failed(exchange, FAILURE_ONE);
		after_attempt(exchange, ATTEMPT_UNKNOWN);
	} else if (exchange->passing_on) {
		finish(exchange);
	} else if (success || status < 500) {
		/* These statuses promise that nothing ran; it may have. */
		if (status == 429 || status == 408) {
			note_failure(exchange, "broken_promise");
			after_attempt(exchange, ATTEMPT_UNKNOWN);
			return;
		}
		endpoint_load_succeeded(exchange->endpoint->load,
					clock_now_ms());
		relay_held_answer(exchange);
	} else {
		note_failure(exchange, "server_error");
		note_endpoint_failed(exchange, FAILURE_ONE);
		after_attempt(exchange,
			      status == 503 ? ATTEMPT_UNKNOWN : ATTEMPT_FAILED);
	}
}

static void on_answer_end(void *context, outbound_result_t result)
{
	exchange_t *exchange = context;

	exchange->call = NULL;
	if (exchange->answer.leaving && exchange->answered &&
	    result == OUTBOUND_COMPLETE)
		metrics_add(METRIC_ENDPOINT_CLOSES, 1);
	switch (result) {
	case OUTBOUND_COMPLETE:
		if (is_stream(exchange) && exchange->status / 100 == 2)
			end_of_stream(exchange);
		else
			end_of_plain(exchange);
		return;
	case OUTBOUND_NOT_SENT:
		note_failure(exchange, "not_sent");
		note_endpoint_failed(exchange, FAILURE_DOWN);
		after_attempt(exchange, ATTEMPT_NOT_SENT);
		return;
	case OUTBOUND_LOST:
	case OUTBOUND_MALFORMED:
		note_failure(exchange,
			     result == OUTBOUND_LOST ? "lost" : "malformed");
		note_endpoint_failed(exchange, FAILURE_ONE);
		event_cut_reset(&exchange->cut);
		exchange->answered = false;
		after_attempt(exchange, ATTEMPT_UNKNOWN);
		return;
	}
}

static const outbound_calls_t answer_calls = {
	.belongs = answer_belongs,
	.head = on_answer_head,
	.body = on_answer_body,
	.end = on_answer_end,
};

/* Placement. */

static bool was_tried(const exchange_t *exchange, uint64_t id_hash)
{
	for (uint32_t i = 0; i < exchange->tried_count; i++) {
		if (exchange->tried[i] == id_hash)
			return true;
	}
	return false;
}

static candidate_state_t state_of(const exchange_t *exchange,
				  const endpoint_entry_t *entry,
				  uint64_t now_ms)
{
	const endpoint_load_t *load = entry->load;

	if (entry->draining || atomic_load(&load->leaving) ||
	    was_tried(exchange, load->id_hash))
		return CANDIDATE_BARRED;
	if (now_ms < atomic_load(&load->loading_until_ms) ||
	    now_ms < atomic_load(&load->ejected_until_ms))
		return CANDIDATE_AVOIDED;
	return CANDIDATE_USABLE;
}

static void fill_candidate(const exchange_t *exchange,
			   const endpoint_entry_t *entry, uint64_t now_ms,
			   const named_weights_t *named,
			   placement_candidate_t *candidate)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	endpoint_load_t *load = entry->load;

	*candidate = (placement_candidate_t){
		.state = state_of(exchange, entry, now_ms),
		.id_hash = load->id_hash,
		.slots = entry->slots,
		.runs = atomic_load(&load->own_runs) +
			atomic_load(&load->peer_runs),
		.tokens = atomic_load(&load->own_tokens) +
			  atomic_load(&load->peer_tokens),
		.prefill = atomic_load(&load->own_prefill) +
			   atomic_load(&load->peer_prefill),
		.cache_tokens = service->role == SERVICE_ENGINE
					? service->engine.cache_tokens
					: 0,
		.error_rate = atomic_load(&load->error_rate),
		.cold_left_ms = entry->cold_left_ms,
		.same_domain = !strcmp(entry->domain, exchange->env->domain),
	};
	if (named) {
		uint64_t overdue_ms = named_weights_overdue(
			named, endpoint_weights(entry, exchange->facts.model),
			now_ms);

		candidate->old_weights = overdue_ms > 0;
		if (overdue_ms + EXCHANGE_OLD_WEIGHTS_MARGIN_MS +
			    OLD_WEIGHTS_WAITS * placement_wait_ms(candidate) >
		    exchange->env->weights_ms)
			candidate->state = CANDIDATE_BARRED;
	}
}

static const desired_service_t *cache_store_of(const exchange_t *exchange)
{
	const desired_state_t *desired = exchange->view->desired;

	for (size_t i = 0; i < desired->service_count; i++) {
		if (desired->services[i].role == SERVICE_CACHE_STORE)
			return &desired->services[i];
	}
	return NULL;
}

static void write_salt(const exchange_t *exchange, char salt[SALT_MAX_BYTES])
{
	const desired_customer_t *customer = exchange->customer;

	snprintf(salt, SALT_MAX_BYTES, "%s.%llu",
		 customer && customer->isolated ? customer->name : "",
		 (unsigned long long)exchange->weights);
}

static int32_t priority_of(const exchange_t *exchange)
{
	int32_t priority = exchange->route->priority;

	if (exchange->customer &&
	    exchange->customer->priority != DESIRED_NO_PRIORITY)
		priority = exchange->customer->priority;
	return priority > PRIORITY_MAX ? PRIORITY_MAX : priority;
}

static uint32_t connections_of(const exchange_t *exchange)
{
	uint32_t most = exchange->view->desired->services[exchange->service]
				.connections_max;
	uint32_t share = most * (100 - EXCHANGE_CONNECTIONS_FREE_PERCENT) /
			 100 / exchange->env->instances;

	return share > 2 ? share : 2;
}

/* Saves are spread over the instances, and over the store's link. */
static bool take_save(exchange_t *exchange, const desired_service_t *store,
		      uint64_t weights, uint64_t now_ms)
{
	exchange_env_t *env = exchange->env;
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	double rate = SAVE_LINK_PART * store->engine.link_mbps * 125 /
		      ((double)service->engine.token_bytes + 1) /
		      env->instances;
	uint32_t shared =
		exchange->level_count
			? exchange->level_tokens[exchange->level_count - 1]
			: 0;

	env->save_tokens += rate * (double)(now_ms - env->save_filled_ms);
	if (env->save_tokens > rate * 1000)
		env->save_tokens = rate * 1000;
	env->save_filled_ms = now_ms;
	if (shared < SAVE_MIN_TOKENS || env->save_tokens <= 0 ||
	    believed_tokens(exchange, hash_string(store->cache_address),
			    STORE_BELIEF_MS, weights, now_ms) >= shared)
		return false;
	env->save_tokens -= exchange->facts.prompt_tokens;
	return true;
}

static int send_to(exchange_t *exchange, const endpoint_entry_t *endpoint,
		   const char *cache_source, uint64_t now_ms)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	const desired_service_t *store = NULL;
	struct evbuffer *body = exchange->request->body;
	struct evbuffer *message = evbuffer_new();
	char salt[SALT_MAX_BYTES];
	outbound_target_t target = {
		.address = endpoint->address,
		.connections_max = connections_of(exchange),
		.connect_timeout_ms = EXCHANGE_CONNECT_MS,
		.user_timeout_ms = EXCHANGE_USER_TIMEOUT_MS,
	};
	dispatch_facts_t dispatch = {
		.deadline_ms = (uint32_t)time_left(exchange, now_ms),
		.instance = endpoint->id,
		.customer =
			exchange->customer ? exchange->customer->name : NULL,
		.priority = -1,
		.last_event = exchange->last_event,
		.body_bytes = body ? evbuffer_get_length(body) : 0,
	};
	int err;

	if (!message)
		return ERR_NO_MEMORY;
	exchange->saving = false;
	if (service->role == SERVICE_ENGINE) {
		store = cache_store_of(exchange);
		exchange->saving =
			store &&
			take_save(exchange, store, exchange->weights, now_ms);
		write_salt(exchange, salt);
		dispatch.cache_salt = salt;
		dispatch.weights = exchange->weights;
		dispatch.priority = priority_of(exchange);
		dispatch.cache_from = cache_source;
		dispatch.cache_to =
			exchange->saving ? store->cache_address : NULL;
	}
	endpoint_key(endpoint, target.key, sizeof(target.key));
	platform_write_request(message, exchange->request->head, &dispatch);
	if (body)
		evbuffer_add_buffer_reference(message, body);
	err = outbound_send(exchange->env->outbound, &target, message, false,
			    exchange->request->head->method == HTTP_HEAD,
			    &answer_calls, exchange, &exchange->call);
	evbuffer_free(message);
	return err;
}

/* Candidates for one placement, and where each beginning can be fetched. */
typedef struct candidates {
	placement_candidate_t items[PLACEMENT_CANDIDATES_MAX];
	uint64_t weights[PLACEMENT_CANDIDATES_MAX];
	const char *sources[PLACEMENT_CANDIDATES_MAX];
	size_t count;
} candidates_t;

/* An engine that is about to load new weights still has its cache. */
static bool can_give(const endpoint_entry_t *entry, uint64_t now_ms)
{
	return !atomic_load(&entry->load->leaving) &&
	       now_ms >= atomic_load(&entry->load->ejected_until_ms);
}

/* The best other cache for each candidate: another engine with the same
 * weights, or the store. */
static void find_sources(const exchange_t *exchange, candidates_t *all,
			 const desired_service_t *store, uint64_t now_ms)
{
	const view_group_t *group = &exchange->view->groups[exchange->service];
	uint64_t store_id = store ? hash_string(store->cache_address) : 0;

	for (size_t i = 0; i < all->count; i++) {
		placement_candidate_t *item = &all->items[i];

		all->sources[i] = store ? store->cache_address : NULL;
		if (store)
			item->fetchable_tokens = believed_tokens(
				exchange, store_id, STORE_BELIEF_MS,
				all->weights[i], now_ms);
		for (size_t j = 0; j < all->count; j++) {
			if (j == i || all->weights[j] != all->weights[i] ||
			    !can_give(group->entries[j], now_ms) ||
			    all->items[j].held_tokens <= item->held_tokens ||
			    all->items[j].held_tokens <= item->fetchable_tokens)
				continue;
			item->fetchable_tokens = all->items[j].held_tokens;
			all->sources[i] = group->entries[j]->address_text;
		}
	}
}

static void fill_candidates(const exchange_t *exchange, uint64_t now_ms,
			    candidates_t *all)
{
	const view_group_t *group = &exchange->view->groups[exchange->service];
	const char *model = exchange->facts.model;
	const named_weights_t *named =
		model ? view_weights(exchange->view, model) : NULL;

	all->count = 0;
	while (all->count < group->count &&
	       all->count < PLACEMENT_CANDIDATES_MAX) {
		const endpoint_entry_t *entry = group->entries[all->count];
		placement_candidate_t *item = &all->items[all->count];
		uint64_t weights = model ? endpoint_weights(entry, model) : 0;

		fill_candidate(exchange, entry, now_ms, named, item);
		item->held_tokens =
			believed_tokens(exchange, source_of(entry->load),
					ENGINE_BELIEF_MS, weights, now_ms);
		all->weights[all->count++] = weights;
	}
	if (exchange->level_count)
		find_sources(exchange, all, cache_store_of(exchange), now_ms);
}

static void read_need(const exchange_t *exchange, placement_request_t *need)
{
	const request_facts_t *facts = &exchange->facts;
	uint32_t last = exchange->level_count;

	memset(need, 0, sizeof(*need));
	need->output_tokens = facts->output_tokens_max;
	need->tie_break = rng_next(&exchange->env->rng);
	if (last) {
		need->shared_key = exchange->level_keys[last - 1];
		need->shared_tokens = exchange->level_tokens[last - 1];
	}
	need->own_tokens = facts->prompt_tokens > need->shared_tokens
				   ? facts->prompt_tokens - need->shared_tokens
				   : 0;
}

/* The prompt has been read: its beginning is in the engine's cache. */
static void note_read(exchange_t *exchange)
{
	const desired_service_t *store = cache_store_of(exchange);

	note(exchange, source_of(exchange->endpoint->load), exchange->weights);
	if (exchange->saving && store)
		note(exchange, hash_string(store->cache_address),
		     exchange->weights);
}

static void start_attempt(exchange_t *exchange, uint64_t now_ms,
			  double estimate_ms)
{
	exchange->sent_ms = now_ms;
	exchange->answered = false;
	exchange->status = 0;
	exchange->piece_ms = 0;
	exchange->attempt_until_ms = 0;
	if (is_stream(exchange) && may_repeat(exchange))
		exchange->attempt_until_ms =
			now_ms + STALL_MS +
			(uint64_t)(STALL_ESTIMATES * estimate_ms);
	if (exchange->route->kind == REPEAT_IDEMPOTENT) {
		uint64_t limit_ms =
			SLOW_TARGETS * exchange->route->target_latency_ms;

		exchange->attempt_until_ms =
			now_ms +
			(limit_ms > SLOW_MIN_MS ? limit_ms : SLOW_MIN_MS);
	}
	arm(exchange);
}

/* Sends the request to the best endpoint, or refuses it. */
static void place(exchange_t *exchange)
{
	const view_group_t *group = &exchange->view->groups[exchange->service];
	uint64_t now_ms = clock_now_ms();
	placement_request_t need;
	placement_choice_t choice;
	candidates_t all;
	const endpoint_entry_t *endpoint;
	int err;

	take_peer_notes(exchange->env, now_ms);
	read_need(exchange, &need);
	fill_candidates(exchange, now_ms, &all);
	placement_choose(all.items, all.count, &need, &choice);
	if (choice.index == PLACEMENT_NONE) {
		if (exchange->runs)
			refuse(exchange, ERR_ENDPOINT_LOST);
		else
			refuse(exchange, exchange->refusals ? ERR_OVERLOADED
							    : ERR_NO_ENDPOINT);
		return;
	}
	endpoint = group->entries[choice.index];
	exchange->weights = all.weights[choice.index];
	err = send_to(exchange, endpoint, all.sources[choice.index], now_ms);
	exchange->tried[exchange->tried_count++] = endpoint->load->id_hash;
	exchange->runs++;
	count_begin(exchange, endpoint, &need, &all.items[choice.index]);
	event_log(EVENT_REQUEST_PLACED,
		  "id=%s endpoint=%s home=%d weights=%llu cost_ms=%.0f "
		  "shared=%u held=%u fetchable=%u saving=%d prefill=%u runs=%u "
		  "left_ms=%llu reused=%d err=%s",
		  exchange->id, endpoint->id, choice.index == choice.home,
		  (unsigned long long)exchange->weights, choice.cost_ms,
		  need.shared_tokens, all.items[choice.index].held_tokens,
		  all.items[choice.index].fetchable_tokens, exchange->saving,
		  all.items[choice.index].prefill, all.items[choice.index].runs,
		  (unsigned long long)time_left(exchange, now_ms),
		  !err && outbound_was_reused(exchange->call), error_type(err));
	start_attempt(exchange, now_ms, choice.cost_ms);
	if (err)
		after_attempt(exchange, ATTEMPT_NOT_SENT);
}

/* Arrival. */

static int admit(exchange_t *exchange)
{
	const desired_state_t *desired = exchange->view->desired;
	const request_facts_t *facts = &exchange->facts;

	if (!facts->host)
		return ERR_BAD_FIELD;
	exchange->route =
		desired_find_route(desired, facts->host,
				   http_head_target(exchange->request->head));
	if (!exchange->route)
		return ERR_UNKNOWN_ROUTE;
	if (desired->has_customers && !exchange->route->anonymous) {
		if (!facts->key)
			return ERR_UNAUTHENTICATED;
		exchange->customer = desired_find_key(desired, facts->key);
		if (!exchange->customer)
			return ERR_UNAUTHENTICATED;
	}
	if (exchange->env->refuse_streams && is_stream(exchange))
		return ERR_STOPPING;
	return 0;
}

static void set_time_limit(exchange_t *exchange)
{
	uint64_t limit_ms = exchange->route->timeout_ms;

	if (exchange->facts.deadline_ms &&
	    exchange->facts.deadline_ms < limit_ms)
		limit_ms = exchange->facts.deadline_ms;
	exchange->until_ms = exchange->began_ms + limit_ms;
}

static exchange_t *exchange_new(exchange_env_t *env, inbound_request_t *request)
{
	exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return NULL;
	exchange->env = env;
	exchange->request = request;
	exchange->began_ms = request->received_ms;
	platform_read_request(request->head, &exchange->facts);
	snprintf(exchange->id, sizeof(exchange->id), "%s",
		 exchange->facts.id ? exchange->facts.id : "-");
	exchange->has_id = exchange->facts.id != NULL;
	exchange->last_event = exchange->facts.last_event;
	exchange->timer = evtimer_new(env->base, on_timer, exchange);
	exchange->held_head = evbuffer_new();
	exchange->held_body = evbuffer_new();
	env->open++;
	if (!exchange->timer || !exchange->held_head || !exchange->held_body) {
		exchange_free(exchange);
		return NULL;
	}
	return exchange;
}

void exchange_begin(exchange_env_t *env, inbound_request_t *request)
{
	exchange_t *exchange = exchange_new(env, request);
	const desired_state_t *desired;
	int err;

	if (!exchange) {
		inbound_answer(request, 503, NULL, NULL, 0);
		return;
	}
	request->owner = exchange;
	exchange->view = view_acquire();
	if (!exchange->view) {
		refuse(exchange, ERR_NOT_READY);
		return;
	}
	desired = exchange->view->desired;
	err = admit(exchange);
	if (err) {
		refuse(exchange, err);
		return;
	}
	set_time_limit(exchange);
	read_levels(exchange);
	exchange->service =
		desired_pick_service(exchange->route, rng_next(&env->rng));
	retry_budget_request(
		&env->retries,
		hash_string(desired->services[exchange->service].name),
		exchange->began_ms);
	place(exchange);
}

void exchange_caller_gone(inbound_request_t *request)
{
	exchange_t *exchange = request->owner;

	if (!exchange)
		return;
	/* What the facts point to goes with the request. */
	exchange->request = NULL;
	exchange->facts = (request_facts_t){ 0 };
	log_end(exchange, "caller_gone", 0);
	if (exchange->call && exchange->route->kind == REPEAT_NEVER) {
		/* It runs to its end; nobody is told. */
		outbound_resume(exchange->call);
		return;
	}
	exchange_free(exchange);
}

void exchange_caller_drained(inbound_request_t *request)
{
	exchange_t *exchange = request->owner;

	if (exchange && exchange->call)
		outbound_resume(exchange->call);
}
