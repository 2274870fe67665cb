/**
 * @file
 * Endpoints, pools and admission of this instance behind one lock: the shared
 * state that requests, the load poller and the configuration work on.
 *
 * Every call takes the lock for one decision, some microseconds, and never
 * during I/O. Size: 0.3 MB for admission, about 0.4 MB a pool of engines in
 * use, 0.6 KB an endpoint.
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
	/** An endpoint used within this time is polled at the short interval.
	 */
	FLEET_IN_USE_MS = 30000,
};

typedef struct fleet fleet_t;

/** An endpoint as the configuration describes it. */
typedef struct fleet_endpoint_setup {
	const char *id;
	uint64_t id_hash;
	const char *address;
	uint16_t port;
	bool tls;
	bool leaving;
} fleet_endpoint_setup_t;

/** A pool as the configuration describes it. */
typedef struct fleet_pool_setup {
	const char *id;
	bool engines; /**< Model engines; otherwise a plain service. */
	uint32_t prefill_tokens_per_s;
	uint32_t streams_max; /**< 0 for no limit. */
	const fleet_endpoint_setup_t *endpoints;
	size_t endpoint_count;
} fleet_pool_setup_t;

/** Where to connect; a copy that stays valid. */
typedef struct fleet_target {
	char id[FLEET_ID_MAX_BYTES];
	uint64_t id_hash;
	char address[FLEET_ADDRESS_MAX_BYTES];
	uint16_t port;
	bool tls;
} fleet_target_t;

typedef enum fleet_state {
	FLEET_WAITING,
	FLEET_STARTED,
	FLEET_SHED,
} fleet_state_t;

/** A model request while it waits and runs; owned by its thread. */
typedef struct fleet_request {
	admission_request_t admission;
	fleet_state_t state;
	err_t err; /**< FLEET_SHED */
	uint32_t retry_after_ms;
	/** Called under the lock to end the running stream. */
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
	/** Slot of the endpoint; internal. */
	int slot;
} fleet_choice_t;

/** @param seed of all random choices of this instance */
fleet_t *fleet_new(routing_policy_t policy, uint64_t seed);
void fleet_free(fleet_t *fleet);

/**
 * Takes over pools and endpoints of a configuration version. What is not
 * named any more gets no new work.
 * @return 0; ERR_LIMIT if there are too many, which are then left out
 */
int fleet_configure(fleet_t *fleet, const fleet_pool_setup_t *pools,
		    size_t pool_count, uint32_t queue_max,
		    uint32_t retry_budget_percent, uint64_t now_ms);

/** Number of a pool for the calls below, or ERR_NO_ENDPOINT. */
int fleet_find_pool(fleet_t *fleet, const char *id);

/** Submits a request; its state says what became of it. */
void fleet_submit(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms);

/** Waits until the request no longer waits, at most `timeout_ms`. */
fleet_state_t fleet_wait(fleet_t *fleet, fleet_request_t *request,
			 uint32_t timeout_ms);

/** Puts a preempted request back into the queue. */
void fleet_requeue(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms);

/** Takes a request out, in whatever state it is. */
void fleet_finished(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms);

/** Asks for a retry out of the budget; as admission_retry(). */
int fleet_retry(fleet_t *fleet, int pool, uint64_t deadline_at_ms,
		uint64_t now_ms);

/** Result of fleet_choose(): the request waits again, nothing is sent. */
enum { FLEET_PUT_OFF = 1 };

/**
 * Chooses an engine and counts the request as sent to it.
 * @param start the started request if the engine's queue may put its start
 *        off; NULL for a retry, a resumed stream or a suspect
 * @return 0; FLEET_PUT_OFF, after which the caller waits with fleet_wait() and
 *         chooses again; an error
 */
int fleet_choose(fleet_t *fleet, int pool, const routing_request_t *request,
		 fleet_request_t *start, uint64_t now_ms,
		 fleet_choice_t *choice);

/** The decision of fleet_choose() alone, counting nothing. */
int fleet_explain(fleet_t *fleet, int pool, const routing_request_t *request,
		  uint64_t now_ms, fleet_choice_t *choice);

/** Name of a candidate of an explanation; empty if it is gone. */
void fleet_endpoint_name(fleet_t *fleet, int pool, uint32_t index,
			 char id[FLEET_ID_MAX_BYTES]);

/**
 * Lists usable endpoints of a plain service in random order; endpoints with
 * failures come last.
 * @return count, at most `max`
 */
size_t fleet_list(fleet_t *fleet, int pool, fleet_target_t *targets, size_t max,
		  uint64_t now_ms);

/** Counts a call to a plain service; end it with fleet_ended(). */
void fleet_sent(fleet_t *fleet, const fleet_target_t *target, uint64_t now_ms,
		fleet_choice_t *choice);

/** Finds a configured endpoint of a pool by name. */
int fleet_find_endpoint(fleet_t *fleet, int pool, const char *id,
			fleet_target_t *target);

/** Takes over the identity shown by an answer. */
void fleet_identity(fleet_t *fleet, const fleet_choice_t *choice,
		    uint64_t incarnation, const char *weights_version,
		    uint64_t now_ms);

/** Incarnation of the endpoint as far as it is known; 0 if not. */
uint64_t fleet_incarnation(fleet_t *fleet, const fleet_choice_t *choice);

/** Learns from the prefill event. */
void fleet_first_token(fleet_t *fleet, int pool, fleet_choice_t *choice,
		       const routing_request_t *request, uint32_t cached_tokens,
		       uint32_t queue_ms, uint64_t now_ms);

/** Counts the end of an attempt. @param request NULL for a plain service */
void fleet_ended(fleet_t *fleet, fleet_choice_t *choice,
		 const routing_request_t *request, endpoint_outcome_t outcome,
		 uint64_t now_ms);

/** Takes a mark from gossip; see endpoint_tell_leaving(). */
void fleet_tell_leaving(fleet_t *fleet, uint64_t id_hash, uint64_t incarnation,
			bool leaving, uint64_t now_ms);

/** Takes a row of the instance list; only a change of the row counts. */
void fleet_listed(fleet_t *fleet, uint64_t id_hash, bool leaving,
		  uint64_t now_ms);

/** An endpoint that began or ended to leave. */
typedef struct fleet_leaving {
	uint64_t id_hash;
	uint64_t incarnation; /**< 0 if it is not known. */
	bool leaving;
} fleet_leaving_t;

/**
 * Changes seen by this instance or in the list that were not returned before,
 * for other instances. What gossip told is not returned.
 * @return count, at most `max`
 */
size_t fleet_leaving_news(fleet_t *fleet, fleet_leaving_t *news, size_t max,
			  uint64_t now_ms);

/** What an operator is shown of an endpoint. */
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
 * How often endpoints are polled; each delay varies by a quarter. If all polls
 * together would be more than `polls_per_s`, all delays grow by one factor.
 */
typedef struct fleet_poll_interval {
	uint32_t in_use_ms;
	uint32_t idle_ms;
	uint32_t polls_per_s;
} fleet_poll_interval_t;

/** Engines whose load is to be polled now. @return count, at most `max` */
size_t fleet_poll_due(fleet_t *fleet, const fleet_poll_interval_t *interval,
		      uint64_t now_ms, fleet_target_t *targets, size_t max);

/** Takes over a load report; NULL if the poll failed. */
void fleet_report(fleet_t *fleet, const fleet_target_t *target,
		  const endpoint_load_t *load, uint64_t now_ms);

/** One cache event of an engine. */
typedef struct fleet_event {
	uint64_t seq;
	uint64_t key;
	bool added; /**< False for an eviction. */
} fleet_event_t;

/** An answer to `GET /engine/events`. */
typedef struct fleet_events {
	uint64_t incarnation;
	uint64_t first_seq; /**< Oldest event that the engine still has. */
	uint64_t since;	    /**< Sequence number that was asked for. */
	const fleet_event_t *events;
	size_t count;
} fleet_events_t;

/**
 * Engine in use whose cache events were read longest ago.
 * @param interval_ms shortest time between two reads of one engine
 * @param since sequence number of the last event read
 * @return 0, or ERR_NO_ENDPOINT if none is due
 */
int fleet_events_due(fleet_t *fleet, uint32_t interval_ms, uint64_t now_ms,
		     fleet_target_t *target, uint64_t *since);

/**
 * Applies cache events of tracked prefixes. Missing events and a new
 * incarnation end all beliefs about the engine.
 * @return events of tracked prefixes, or ERR_NOT_FOUND after a gap
 */
int fleet_take_events(fleet_t *fleet, const fleet_target_t *target,
		      const fleet_events_t *events, uint64_t now_ms);

/**
 * Updates the pools' waits and starts what may start.
 * @return milliseconds until the next call is due
 */
uint32_t fleet_tick(fleet_t *fleet, uint64_t now_ms);

#endif
