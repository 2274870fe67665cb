/**
 * @file
 * The endpoints, pools and admission state of this instance, protected by one
 * lock. Request threads, the load poller and configuration updates share it.
 *
 * Every call holds the lock for one decision, some microseconds, and never
 * during I/O. Memory: 0.3 MB for admission, about 0.4 MB for each pool of
 * engines in use, 0.6 KB for each endpoint.
 */
#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/admission.h"
#include "process/endpoint.h"
#include "process/routing.h"

enum {
	FLEET_ENDPOINTS_MAX = 2048,
	FLEET_ID_MAX_BYTES = 64,
	FLEET_ADDRESS_MAX_BYTES = 46,
	/** An endpoint used within this time counts as in use and is polled at
	 * the short interval.
	 */
	FLEET_IN_USE_MS = 30000,
};

typedef struct fleet fleet_t;

/** Configuration of an endpoint. */
typedef struct fleet_endpoint_config {
	const char *id;
	uint64_t id_hash;
	const char *address;
	uint16_t port;
	bool tls;
	bool leaving;
} fleet_endpoint_config_t;

/** Configuration of a pool. */
typedef struct fleet_pool_config {
	const char *id;
	bool engines; /**< Model engines; otherwise a plain service. */
	uint32_t prefill_tokens_per_s;
	uint32_t streams_max; /**< 0 for no limit. */
	const fleet_endpoint_config_t *endpoints;
	size_t endpoint_count;
} fleet_pool_config_t;

/** Copy of the address of an endpoint; valid after the endpoint is removed. */
typedef struct fleet_target {
	char id[FLEET_ID_MAX_BYTES];
	uint64_t id_hash;
	char address[FLEET_ADDRESS_MAX_BYTES];
	uint16_t port;
	bool tls;
} fleet_target_t;

typedef enum fleet_request_state {
	FLEET_REQUEST_WAITING,
	FLEET_REQUEST_STARTED,
	FLEET_REQUEST_SHED,
} fleet_request_state_t;

/** A model request that waits or runs; owned by its thread. */
typedef struct fleet_request {
	admission_request_t admission;
	fleet_request_state_t state;
	err_t err; /**< With FLEET_REQUEST_SHED; so is `retry_after_ms`. */
	uint32_t retry_after_ms;
	/** Called with the lock held, to end the running stream. */
	void (*preempt)(void *context);
	void *context;
	bool preempting; /**< preempt() was called. */
	pthread_cond_t changed;
	struct fleet_request *next;
} fleet_request_t;

/** An endpoint chosen for one attempt; end it with fleet_ended(). */
typedef struct fleet_choice {
	fleet_target_t target;
	routing_explanation_t explanation;
	uint64_t sent_at_ms;
	bool had_first_token;
	/** Slot of the endpoint, or negative if it is gone; internal. */
	int slot;
} fleet_choice_t;

/** @param seed seeds all random choices of this instance */
fleet_t *fleet_new(routing_policy_t policy, uint64_t seed);
void fleet_free(fleet_t *fleet);

/**
 * Applies the pools and endpoints of a configuration version. Endpoints that
 * it no longer contains get no new requests.
 * @return 0; ERR_LIMIT if there are too many, and the excess is left out;
 *         ERR_NO_MEMORY
 */
int fleet_configure(fleet_t *fleet, const fleet_pool_config_t *pools,
		    size_t pool_count, uint32_t queue_max,
		    uint32_t retry_budget_percent, uint64_t now_ms);

/** Index of a pool for the calls below, or ERR_NO_ENDPOINT. */
int fleet_find_pool(fleet_t *fleet, const char *id);

/** Submits a request to admission and sets its state. */
void fleet_submit(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms);

/** Blocks while the request is FLEET_REQUEST_WAITING, at most `timeout_ms`. */
fleet_request_state_t fleet_wait(fleet_t *fleet, fleet_request_t *request,
				 uint32_t timeout_ms);

/** Puts a preempted request back into the queue. */
void fleet_requeue(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms);

/** Removes a request, whatever its state. */
void fleet_finished(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms);

/** Asks the retry budget for a retry; see admission_retry(). */
int fleet_retry(fleet_t *fleet, int pool, uint64_t deadline_ms,
		uint64_t now_ms);

/** Result of fleet_choose(): the request waits again; send nothing. */
enum { FLEET_POSTPONED = 1 };

/**
 * Chooses an engine and counts the request as sent to it.
 * @param start the started request if it may be postponed because of the
 *        engine's queue; NULL for a retry, a resumed stream or a request that
 *        is suspected of crashing engines
 * @return 0; FLEET_POSTPONED, after which the caller waits with
 *         fleet_wait() and chooses again; an error
 */
int fleet_choose(fleet_t *fleet, int pool, const routing_request_t *request,
		 fleet_request_t *start, uint64_t now_ms,
		 fleet_choice_t *choice);

/** Makes the decision of fleet_choose() without counting it. */
int fleet_explain(fleet_t *fleet, int pool, const routing_request_t *request,
		  uint64_t now_ms, fleet_choice_t *choice);

/** Name of candidate `index` of an explanation; empty if it is gone. */
void fleet_endpoint_name(fleet_t *fleet, int pool, uint32_t index,
			 char id[FLEET_ID_MAX_BYTES]);

/**
 * Lists usable endpoints of a plain service in random order; endpoints with
 * failures come last.
 * @return count, at most `max`
 */
size_t fleet_list_usable(fleet_t *fleet, int pool, fleet_target_t *targets,
			 size_t max, uint64_t now_ms);

/** Counts a call to a plain service; end it with fleet_ended(). */
void fleet_sent(fleet_t *fleet, const fleet_target_t *target, uint64_t now_ms,
		fleet_choice_t *choice);

/** Finds a configured endpoint of a pool by name. */
int fleet_find_endpoint(fleet_t *fleet, int pool, const char *id,
			fleet_target_t *target);

/** Applies the identity of an endpoint from its answer. */
void fleet_set_identity(fleet_t *fleet, const fleet_choice_t *choice,
			uint64_t incarnation, const char *weights_version,
			uint64_t now_ms);

/** Incarnation of the endpoint; 0 if not known. */
uint64_t fleet_get_incarnation(fleet_t *fleet, const fleet_choice_t *choice);

/** Records the prefill event (first token) of an attempt. */
void fleet_first_token(fleet_t *fleet, int pool, fleet_choice_t *choice,
		       const routing_request_t *request, uint32_t cached_tokens,
		       uint32_t queue_ms, uint64_t now_ms);

/** Records the end of an attempt. @param request NULL for a plain service */
void fleet_ended(fleet_t *fleet, fleet_choice_t *choice,
		 const routing_request_t *request, endpoint_outcome_t outcome,
		 uint64_t now_ms);

/** Applies a leaving mark from gossip; see endpoint_mark_leaving(). */
void fleet_mark_leaving(fleet_t *fleet, uint64_t id_hash, uint64_t incarnation,
			bool leaving, uint64_t now_ms);

/**
 * Applies the leaving mark of an endpoint's entry in the instance list. Only a
 * change from the previous list counts.
 */
void fleet_apply_list_entry(fleet_t *fleet, uint64_t id_hash, bool leaving,
			    uint64_t now_ms);

/** An endpoint that started leaving, or no longer is. */
typedef struct fleet_leaving {
	uint64_t id_hash;
	uint64_t incarnation; /**< 0 if it is not known. */
	bool leaving;
} fleet_leaving_t;

/**
 * Changes of leaving endpoints to send to other instances: those that this
 * instance or the instance list observed and that were not returned before.
 * Changes received by gossip are not returned.
 * @return count, at most `max`
 */
size_t fleet_leaving_changes(fleet_t *fleet, fleet_leaving_t *changes,
			     size_t max, uint64_t now_ms);

/** State of an endpoint as shown to operators. */
typedef struct fleet_status {
	char id[FLEET_ID_MAX_BYTES];
	uint64_t incarnation;
	endpoint_state_t state;
	uint32_t running; /**< Requests of this instance. */
} fleet_status_t;

/** Copies the state of the configured endpoints. @return count */
size_t fleet_status(fleet_t *fleet, fleet_status_t *out, size_t max,
		    uint64_t now_ms);

/**
 * Intervals at which endpoints are polled; each delay has a jitter of a
 * quarter. If all polls together exceeded `polls_per_s`, all delays grow by one
 * factor.
 */
typedef struct fleet_poll_interval {
	uint32_t in_use_ms;
	uint32_t idle_ms;
	uint32_t polls_per_s;
} fleet_poll_interval_t;

/** Engines whose load is to be polled now. @return count, at most `max` */
size_t fleet_poll_due(fleet_t *fleet, const fleet_poll_interval_t *interval,
		      uint64_t now_ms, fleet_target_t *targets, size_t max);

/** Applies a load report; `load` is NULL if the poll failed. */
void fleet_apply_report(fleet_t *fleet, const fleet_target_t *target,
			const engine_load_t *load, uint64_t now_ms);

/** A cache event of an engine: a prefix was added or evicted. */
typedef struct fleet_event {
	uint64_t seq;
	uint64_t key;
	bool added; /**< False for an eviction. */
} fleet_event_t;

/** Answer to `GET /engine/events`. */
typedef struct fleet_events {
	uint64_t incarnation;
	uint64_t first_seq; /**< Oldest event that the engine still has. */
	uint64_t since;	    /**< Requested: events after this number. */
	const fleet_event_t *events;
	size_t count;
} fleet_events_t;

/**
 * Picks the engine in use whose cache events were fetched longest ago.
 * @param interval_ms shortest time between two fetches from one engine
 * @param since set to the sequence number of the last event received
 * @return 0, or ERR_NO_ENDPOINT if none is due
 */
int fleet_events_due(fleet_t *fleet, uint32_t interval_ms, uint64_t now_ms,
		     fleet_target_t *target, uint64_t *since);

/**
 * Applies cache events of tracked prefixes to the cache index. Missing events
 * and a new incarnation invalidate the cache index for the engine.
 * @return number of events of tracked prefixes, or ERR_NOT_FOUND after a gap
 */
int fleet_apply_events(fleet_t *fleet, const fleet_target_t *target,
		       const fleet_events_t *events, uint64_t now_ms);

/**
 * Updates the expected waits of the pools and starts requests that may start.
 * @return milliseconds until the next call is due
 */
uint32_t fleet_tick(fleet_t *fleet, uint64_t now_ms);

#endif
