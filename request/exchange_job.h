/**
 * @file
 * Internal declarations shared by the source files of the exchange; not to be
 * included elsewhere.
 *
 * - exchange.c: start, time limits, retry decision and end of a request;
 * - exchange_admit.c: lookup of route, customer and service, again after a
 *   slow attempt;
 * - exchange_place.c: choice of an endpoint and sending to it;
 * - exchange_answer.c: handling of the endpoint's answer;
 * - exchange_cache.c: cache index, budgets for saves and fetches;
 * - exchange_crash.c: requests and parts of prompts that crash endpoints;
 * - exchange_forward.c: forwarding to another instance;
 * - exchange_resume.c: streams and the software version that began them;
 * - exchange_weights.c: time limit for replaced weights.
 */
#ifndef REQUEST_EXCHANGE_JOB_H
#define REQUEST_EXCHANGE_JOB_H

#include <event2/event.h>

#include "platform/platform_request.h"
#include "process/endpoint_load.h"
#include "process/software.h"
#include "request/exchange.h"
#include "request/sse_splitter.h"
#include "version/view.h"

/** Outcome of an attempt that ended without a complete answer. */
typedef enum attempt_outcome {
	ATTEMPT_NOT_SENT, /**< No byte reached the endpoint. */
	ATTEMPT_NOT_RUN,  /**< The endpoint reported that it did not run. */
	ATTEMPT_FAILED,	  /**< The endpoint ran it and reported a failure. */
	ATTEMPT_UNKNOWN,  /**< It may have run. */
} attempt_outcome_t;

/** State of one client request. Times are monotonic. */
typedef struct exchange {
	exchange_env_t *env;
	LIST_ENTRY(exchange) entry; /**< In exchange_env_t::open. */
	inbound_request_t *request; /**< NULL after the client disconnected. */
	view_t *view;
	const desired_route_t *route;
	const desired_customer_t *customer; /**< NULL: needs no API key. */
	request_headers_t headers;
	/** Id of the request for the log, which may be cut; "-" if none. */
	char id[EXCHANGE_ID_MAX_BYTES];
	uint64_t id_hash; /**< Of the whole id; 0 if none. */
	struct event *timer;
	uint64_t started_ms;
	uint64_t deadline_ms; /**< Earlier one of client and route. */
	uint32_t service;     /**< Index into desired_state_t::services. */
	/* The current attempt. */
	const endpoint_entry_t *endpoint;
	outbound_call_t *call;
	uint64_t sent_ms;
	uint64_t last_chunk_ms; /**< Last event of a stream; 0: none yet. */
	uint64_t attempt_deadline_ms; /**< 0: none but deadline_ms. */
	uint64_t begun_ms; /**< First part of its answer; 0: none yet. */
	bool has_event;	   /**< Its stream had an event. */
	bool keys_cleared; /**< It was reported not to crash endpoints. */
	bool is_probe;	   /**< It tests a blocked key. */
	/** Counted in the endpoint's load: memory and prompt tokens that still
	 * have to be prefilled. */
	uint32_t counted_memory_tokens;
	uint32_t counted_prefill_tokens;
	/** Weights version of the endpoint when sent; 0 if not known. */
	uint64_t weights;
	answer_headers_t answer;
	uint16_t status; /**< HTTP status; 0: no answer yet. */
	bool has_answer_head;
	/* Prefix levels of the prompt. A level's key covers its part of the
	 * prompt and all parts before it; its tokens are counted likewise. */
	uint32_t level_count;
	uint64_t level_keys[REQUEST_PARTS_MAX];
	uint32_t level_tokens[REQUEST_PARTS_MAX];
	bool saving; /**< The engine is asked to save to the cache store. */
	/* All attempts together. */
	uint64_t request_key;	 /**< See exchange_crash.c; 0: not computed. */
	uint64_t retry_after_ms; /**< On ERR_CRASH_BLOCKED. */
	uint64_t tried_id_hashes[EXCHANGE_RUNS_MAX + EXCHANGE_REFUSALS_MAX];
	uint32_t tried_count;
	uint32_t runs;	   /**< Attempts that may have run. */
	uint32_t refusals; /**< Attempts that did not run. */
	/** Attempts that may have run at the instance that forwarded it. */
	uint32_t runs_before;
	bool forwarded;	  /**< By another instance. */
	bool unreached;	  /**< The path to an endpoint failed. */
	bool probes_path; /**< The current attempt probes a lost path. */
	uint64_t tried_peers[EXCHANGE_PEERS_MAX];
	uint32_t tried_peer_count;
	bool relay_started;  /**< The answer's head went to the client. */
	uint64_t last_event; /**< Id of the last relayed event, at first the one
			      * that the client resumes after, or
			      * REQUEST_NO_LAST_EVENT. */
	uint64_t first_event_ms; /**< 0: no event was relayed. */
	/** Version of the endpoints' software at which a stream began that may
	 * be resumed; it goes on at no other one. SOFTWARE_UNKNOWN: none yet.
	 */
	uint32_t software;
	uint64_t stream_id; /**< Of a stream that may be resumed; 0: none. */
	bool recorded;	    /**< The stream is in env->streams. */
	stream_lookup_t lookup;
	sse_splitter_t splitter;
	/** Header lines and body of an answer that is not relayed yet. */
	struct evbuffer *buffered_head;
	struct evbuffer *buffered_body;
} exchange_t;

/**
 * Finds route, customer, deadline and service of a new request.
 * @return 0, ERR_NOT_READY, ERR_BAD_FIELD, ERR_UNKNOWN_ROUTE,
 *         ERR_UNAUTHENTICATED or ERR_STOPPING
 */
int exchange_admit(exchange_t *exchange);

/**
 * Switches to the newest view before another attempt, since the endpoints,
 * weights, keys and routes of the current one may be seconds old.
 * @return 0, or the reason why the request may not be sent again; then the old
 *         view stays in use
 */
int exchange_refresh_view(exchange_t *exchange);

/**
 * Finds out at which version of the endpoints' software a stream began that the
 * client resumes, then places the request or refuses it. May free the exchange.
 */
void exchange_resume(exchange_t *exchange);

/** Records at which version of the software a stream began, if that may be
 * needed to resume it; to be called with each of its events. */
void exchange_record_stream(exchange_t *exchange);

/** Removes the record of a stream that the client has whole. */
void exchange_forget_stream(exchange_t *exchange);

/** Whether the request may run more than once. */
bool exchange_is_repeatable(const exchange_t *exchange);

bool exchange_is_stream(const exchange_t *exchange);

/** Time left until the deadline, ms. */
uint64_t exchange_time_left(const exchange_t *exchange, uint64_t now_ms);

/** Sets the timer to the earlier of the request's and attempt's deadlines. */
void exchange_arm_timer(exchange_t *exchange);

/** Cancels the call to the endpoint and removes it from the endpoint's load. */
void exchange_cancel_attempt(exchange_t *exchange);

/** Logs an attempt that ended without a complete answer. */
void exchange_log_failure(exchange_t *exchange, const char *why);

/**
 * Marks the endpoint of the current attempt because of what this instance saw
 * of it, and tells the others.
 * @return false if that was known
 */
bool exchange_report_endpoint(exchange_t *exchange, endpoint_news_kind_t kind,
			      uint64_t until_ms);

/** Marks an engine that has refused the request although it should have free
 * slots. */
void exchange_report_refusal(exchange_t *exchange);

/** Counts a failure of the endpoint, which may eject it. */
void exchange_count_endpoint_failure(exchange_t *exchange,
				     failure_severity_t severity);

/** Retries after an attempt that ended without a complete answer, or ends the
 * request. May free the exchange. */
void exchange_after_attempt(exchange_t *exchange, attempt_outcome_t outcome);

/** Ends the request with an error answer of this instance, or breaks off an
 * answer that is already being relayed. Frees the exchange. */
void exchange_refuse(exchange_t *exchange, int err);

/** Relays the buffered answer and ends the request. Frees the exchange. */
void exchange_relay_buffered(exchange_t *exchange);

/** Ends the request after a complete answer. Frees the exchange. */
void exchange_finish(exchange_t *exchange);

/**
 * Forwards the request to another instance.
 * @return false if there is none that may take it; then nothing was done
 */
bool exchange_forward(exchange_t *exchange, uint64_t now_ms);

/** Whether the paths to the service's endpoints are lost, so that a direct
 * attempt would be in vain; one that may serve as a probe is not avoided. */
bool exchange_avoids_paths(exchange_t *exchange, uint64_t now_ms);

/** The endpoint of the current attempt has answered. */
void exchange_path_answered(exchange_t *exchange);

/** Records what the current attempt shows of the path to its endpoint. */
void exchange_path_failed(exchange_t *exchange, path_failure_t failure);

/** Whether an answer belongs to the exchange in `context`. */
bool exchange_is_answer_to_request(void *context, const http_head_t *head);

/** Sets the time after which the attempt counts as slow; `estimate_ms` is the
 * expected time to the first event of a stream. */
void exchange_set_attempt_deadline(exchange_t *exchange, uint64_t now_ms,
				   double estimate_ms);

/** Sends the request to the best endpoint, or refuses it. May free the
 * exchange. */
void exchange_place(exchange_t *exchange);

/** Removes the prompt from the endpoint's load after its prefill. */
void exchange_release_prefill_load(exchange_t *exchange);

/** Removes the request from the endpoint's load. */
void exchange_release_load(exchange_t *exchange);

/** Time since a view has newer weights than `weights` for the request's model,
 * ms; 0 if it has none. */
uint64_t exchange_outdated_ms(const exchange_t *exchange, const view_t *view,
			      uint64_t weights, uint64_t now_ms);

/** Logs a request that an engine began on weights past their time limit. */
void exchange_check_begun_weights(const exchange_t *exchange, uint64_t now_ms);

/** Callbacks of the call to the endpoint. */
extern const outbound_callbacks_t exchange_answer_callbacks;

/** Computes keys and lengths of the prompt's prefix levels. */
void exchange_compute_prefix_levels(exchange_t *exchange);

/** Adds the cache hints of other instances to the cache index. */
void exchange_apply_peer_hints(exchange_env_t *env, uint64_t now_ms);

/** Id of an endpoint's cache in the cache index. */
uint64_t exchange_cache_index_source(const endpoint_load_t *load);

/** Tokens of the shared prefix in an engine's cache by the cache index. */
uint32_t exchange_engine_cached_tokens(const exchange_t *exchange,
				       const endpoint_load_t *load,
				       uint64_t weights, uint64_t now_ms);

/** Tokens of the shared prefix in the cache store by the cache index. */
uint32_t exchange_store_cached_tokens(const exchange_t *exchange,
				      const desired_service_t *store,
				      uint64_t weights, uint64_t now_ms);

/** The service of the cache store; NULL if there is none. */
const desired_service_t *exchange_cache_store(const exchange_t *exchange);

/** Bandwidth of a service's link, in tokens of the engines' model per ms. */
double exchange_link_tokens_per_ms(const desired_service_t *service,
				   const desired_service_t *engines);

/** Whether this instance's share of the store's link allows a fetch. */
bool exchange_may_fetch(const exchange_t *exchange,
			const desired_service_t *store, uint64_t now_ms);

/** Whether the engine shall save this prompt to the store; if so, the save is
 * taken from the budget. */
bool exchange_reserve_save(exchange_t *exchange, const desired_service_t *store,
			   uint64_t weights, uint64_t now_ms);

/** Records after the prefill that the engine's cache holds the shared prefix,
 * and so does the store if the attempt saves to it. */
void exchange_record_cached_prefix(exchange_t *exchange);

/** Reports that the endpoint was lost during the current attempt. */
void exchange_report_crash(exchange_t *exchange);

/** Reports the head of an answer: the endpoint has not crashed if the request
 * was sent after a loss that was taken for a crash. */
void exchange_report_head(exchange_t *exchange);

/** Reports that a part of the current attempt's answer has arrived. */
void exchange_report_progress(exchange_t *exchange, uint64_t now_ms);

/** Reports that the current attempt's answer is complete. */
void exchange_report_completed(exchange_t *exchange);

/**
 * Decides whether the request may be sent to an endpoint, by the newest
 * evidence; a probe that it permits is counted.
 * @return 0 or ERR_CRASH_BLOCKED; then retry_after_ms is set
 */
int exchange_check_crash_evidence(exchange_t *exchange, uint64_t now_ms);

/** Applies what other instances reported, and what changes with time. */
void exchange_apply_crash_news(exchange_env_t *env, uint64_t now_ms);

/** Tells the other instances which keys are blocked. */
void exchange_share_blocked(exchange_env_t *env, uint64_t now_ms);

#endif
