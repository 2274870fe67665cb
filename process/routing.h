/**
 * @file
 * Choice of an endpoint for a model request, with its explanation.
 *
 * Cost of one choice: one pass over the pool's endpoints (state and one hash
 * each), one more for each narrowing step of the plan, then the expected TTFT
 * of two endpoints. With 56 levels it took 6 to 8 us of processor time at
 * 35 endpoints a pool and 19 to 23 us at 800 (t/bench-policies, seeds 1 to 3).
 * Nothing depends on the size of the fleet outside the pool. A call uses about
 * 11 KB of stack.
 *
 * One routing_t per pool, about 0.36 MB (prefix statistics and beliefs). The
 * caller owns it and the endpoints and serialises all calls for one pool.
 *
 * Calls for each attempt: routing_choose(), routing_sent() when the request is
 * sent, routing_first_token() with the prefill event, routing_ended().
 */
#ifndef PROCESS_ROUTING_H
#define PROCESS_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/cache_index.h"
#include "process/endpoint.h"
#include "process/prefix_stats.h"
#include "process/rng.h"

enum {
	ROUTING_CANDIDATES_MAX = 8,
	/** Endpoints of one pool. */
	ROUTING_ENDPOINTS_MAX = 1024,
	/**
	 * The first choice is left only for a gain of this many times the
	 * recomputation it causes, in the mean over the branches below its
	 * level: leaving at a lower gain, or at a load threshold, adds
	 * recomputation under overload and feeds itself.
	 */
	ROUTING_LEAVE_FACTOR = 4,
	/** The median wait of a pool is found to the step of these classes. */
	ROUTING_WAIT_CLASS_MS = 50,
	ROUTING_WAIT_CLASSES = 1024,
};

/** Policies; all but `prefix` are baselines for comparison. */
typedef enum routing_policy {
	ROUTING_PREFIX,
	ROUTING_RANDOM,
	ROUTING_ROUND_ROBIN,
	ROUTING_LEAST_LOADED,
	ROUTING_PROMPT_HASH,
	ROUTING_FIRST_LEVEL_HASH,
	ROUTING_POLICY_COUNT,
} routing_policy_t;

/** State of one pool. */
typedef struct routing {
	routing_policy_t policy;
	uint32_t prefill_tokens_per_s;
	/** KV import speed; 0 if the pool has no KV cache store. */
	uint32_t import_tokens_per_s;
	uint32_t round_robin;
	double busy_share; /**< Of the endpoints, smoothed. */
	uint64_t busy_updated_ms;
	prefix_stats_t stats;
	cache_index_t beliefs;
} routing_t;

/** One request; all pointers are borrowed for the call. */
typedef struct routing_request {
	const prefix_level_t *levels; /**< From prefix_t. */
	size_t level_count;
	uint64_t whole_key;
	uint32_t prompt_tokens;
	uint32_t urgency; /**< 0..2 */
	/** Endpoints (id_hash) tried before or otherwise not allowed. */
	const uint64_t *excluded;
	size_t excluded_count;
	/** Suspect: the endpoint must be idle and gets no other work. */
	bool isolated;
	/** Was chosen for before: not counted again as demand. */
	bool again;
	/** Prompt tokens whose blocks the KV cache store holds; 0 if none. */
	uint32_t kv_store_tokens;
	/**
	 * Only endpoints with this model, adapter and weights version in
	 * force, where known; NULL accepts any. Give the version when a
	 * started stream resumes.
	 */
	const char *model;
	const char *adapter;
	const char *weights_version;
} routing_request_t;

/** Why the chosen endpoint was chosen. */
typedef enum routing_reason {
	ROUTING_REASON_POLICY,	     /**< Baseline policies. */
	ROUTING_REASON_FIRST_CHOICE, /**< Rendezvous on the level. */
	ROUTING_REASON_SECOND_CHOICE,
	ROUTING_REASON_FIRST_UNUSABLE, /**< First choice may get no work. */
	ROUTING_REASON_ISOLATED,
	ROUTING_REASON_SLOW_START, /**< First choice is in slow start. */
} routing_reason_t;

typedef struct routing_candidate {
	uint32_t endpoint; /**< Index in the pool's array. */
	endpoint_state_t state;
	uint32_t cached_tokens; /**< Expected. */
	/** The part of them that beliefs about this endpoint say. */
	uint32_t believed_tokens;
	uint32_t wait_ms;
	uint32_t recompute_ms; /**< Computing all tokens not cached. */
	/** Import and rest of the computing; UINT32_MAX without import. */
	uint32_t import_ms;
	uint32_t ttft_ms; /**< Wait and the lower of the two above. */
} routing_candidate_t;

/** The whole decision. */
typedef struct routing_explanation {
	routing_policy_t policy;
	routing_reason_t reason;
	uint64_t level_key; /**< Placement level; 0 if none. */
	uint32_t level_tokens;
	uint32_t replicas;  /**< Endpoints the level stands on. */
	uint32_t endpoints; /**< In the pool. */
	uint32_t usable;    /**< Of these, may get this request. */
	uint32_t chosen;    /**< Index in `candidates`. */
	bool import_kv;	    /**< Import the blocks before sending. */
	uint32_t candidate_count;
	routing_candidate_t candidates[ROUTING_CANDIDATES_MAX];
} routing_explanation_t;

/** Starts with no statistics; placement works at once without them. */
void routing_init(routing_t *routing, routing_policy_t policy,
		  uint32_t prefill_tokens_per_s);

/**
 * Chooses an endpoint. Counts the request in the prefix statistics unless
 * it was chosen for before (`again`).
 * @param endpoints the pool, in the same order for all requests
 * @param explanation filled in on success and on ERR_NO_ENDPOINT
 * @return index into `endpoints`; ERR_NO_ENDPOINT if none may get the request;
 *         ERR_LIMIT if the pool has more than ROUTING_ENDPOINTS_MAX
 */
int routing_choose(routing_t *routing, endpoint_t *const *endpoints,
		   size_t endpoint_count, const routing_request_t *request,
		   uint64_t now_ms, rng_t *rng,
		   routing_explanation_t *explanation);

/** Records that a request was sent to the endpoint an explanation names. */
void routing_sent(routing_t *routing, endpoint_t *endpoint,
		  const routing_request_t *request,
		  const routing_explanation_t *explanation, uint64_t now_ms);

/**
 * Learns from the prefill event.
 * @param sent_at_ms time of routing_sent()
 * @param cached_tokens, queue_ms as reported by the engine
 */
void routing_first_token(routing_t *routing, endpoint_t *endpoint,
			 const routing_request_t *request,
			 uint32_t cached_tokens, uint32_t queue_ms,
			 uint64_t sent_at_ms, uint64_t now_ms);

/** Records the end of an attempt, and of its isolation. */
void routing_ended(endpoint_t *endpoint, const routing_request_t *request,
		   endpoint_outcome_t outcome, bool had_first_token, rng_t *rng,
		   uint64_t now_ms);

/**
 * Expected wait of the pool for admission, ms: median over its usable
 * endpoints; UINT32_MAX if none is usable.
 */
uint32_t routing_pool_wait_ms(const routing_t *routing,
			      endpoint_t *const *endpoints,
			      size_t endpoint_count, uint64_t now_ms);

/** Name of a policy in settings and tables. */
const char *routing_policy_name(routing_policy_t policy);

/** Name of a reason in explanations. */
const char *routing_reason_name(routing_reason_t reason);

#endif
