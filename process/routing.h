/**
 * @file
 * Chooses the endpoint for a model request and explains the choice.
 *
 * Cost of one choice: one pass over the pool's endpoints (state and one hash
 * each), one more for each narrowing step of the plan, then the expected time
 * to first token (TTFT) of two endpoints. With 56 prefix levels it took 6 to
 * 8 us of CPU time at 35 endpoints per pool and 19 to 23 us at 800
 * (t/bench-policies, seeds 1 to 3). It does not depend on the size of the fleet
 * outside the pool. A call uses about 11 KB of stack.
 *
 * One routing_t per pool, about 0.36 MB (prefix statistics and cache index).
 * The caller owns it and the endpoints and serialises all calls for one pool.
 *
 * Calls for each attempt: routing_choose(), routing_sent() when the request is
 * sent, routing_first_token() on the prefill event, routing_ended().
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
	 * The second choice is used only if it shortens the wait by this many
	 * times the time it adds for recompute or import. This is the mean over
	 * the branches (different continuations) of the placement level.
	 * Switching at a lower gain, or at a load threshold, adds recompute
	 * under overload, which causes more switching.
	 */
	ROUTING_MIN_GAIN_FACTOR = 4,
	/** Histogram bins with which the median wait of a pool is found. */
	ROUTING_WAIT_BIN_MS = 50,
	ROUTING_WAIT_BINS = 1024,
};

/** Routing policies; all but ROUTING_PREFIX are baselines for comparison. */
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
	uint32_t round_robin; /**< Choices made by ROUTING_ROUND_ROBIN. */
	double busy_share;    /**< Share of busy endpoints, 0 to 1; smoothed. */
	uint64_t busy_updated_ms;
	prefix_stats_t stats;
	cache_index_t cache_index;
} routing_t;

/** One request; its pointers are used during the call only. */
typedef struct routing_request {
	const prefix_level_t *levels; /**< Prefix levels from prefix_t. */
	size_t level_count;
	uint64_t whole_key; /**< Key of the whole prompt. */
	uint32_t prompt_tokens;
	uint32_t urgency; /**< 0 (most urgent) to 2. */
	/** Endpoints (id_hash) that were tried before or are not allowed. */
	const uint64_t *excluded;
	size_t excluded_count;
	/** Suspected of crashing engines: runs alone on an idle endpoint. */
	bool isolated;
	/** An earlier choice counted it in the prefix statistics. */
	bool already_counted;
	/** Prompt tokens whose blocks the KV cache store holds; 0 if none. */
	uint32_t kv_store_tokens;
	/**
	 * Required model, adapter and weights version; NULL for any. An
	 * endpoint whose own value is not known is allowed. The version must
	 * be given when a started stream resumes.
	 */
	const char *model;
	const char *adapter;
	const char *weights_version;
} routing_request_t;

/** Reason for the choice of an endpoint. */
typedef enum routing_reason {
	ROUTING_REASON_POLICY,	     /**< By a baseline policy. */
	ROUTING_REASON_FIRST_CHOICE, /**< By rendezvous hashing on the level. */
	ROUTING_REASON_SECOND_CHOICE,  /**< Its wait is much shorter. */
	ROUTING_REASON_FIRST_UNUSABLE, /**< First choice is not allowed. */
	ROUTING_REASON_ISOLATED,       /**< Request runs alone. */
	ROUTING_REASON_SLOW_START,     /**< First choice is in slow start. */
} routing_reason_t;

typedef struct routing_candidate {
	uint32_t endpoint; /**< Index in the pool's array. */
	endpoint_state_t state;
	uint32_t cached_tokens; /**< Expected cached tokens of the prompt. */
	/** Cached tokens that the cache index has for this endpoint. */
	uint32_t indexed_tokens;
	uint32_t wait_ms;
	uint32_t recompute_ms; /**< Prefill of all tokens not cached. */
	/** Import and prefill of the rest; UINT32_MAX without import. */
	uint32_t import_ms;
	uint32_t ttft_ms; /**< Wait plus the lower of these two. */
} routing_candidate_t;

/** A choice with the values it was based on. */
typedef struct routing_explanation {
	routing_policy_t policy;
	routing_reason_t reason;
	uint64_t level_key; /**< Placement level; 0 if none. */
	uint32_t level_tokens;
	uint32_t replicas;  /**< Endpoints that carry the level. */
	uint32_t endpoints; /**< In the pool. */
	uint32_t usable;    /**< Of these, allowed for this request. */
	uint32_t chosen;    /**< Index in `candidates`. */
	bool import_kv;	    /**< Import KV blocks before sending. */
	uint32_t candidate_count;
	routing_candidate_t candidates[ROUTING_CANDIDATES_MAX];
} routing_explanation_t;

/** Initialises with empty statistics; placement works without them. */
void routing_init(routing_t *routing, routing_policy_t policy,
		  uint32_t prefill_tokens_per_s);

/**
 * Chooses an endpoint. Counts the request in the prefix statistics unless
 * `already_counted` is set.
 * @param endpoints the pool, in the same order for all requests
 * @param explanation filled in on success and on ERR_NO_ENDPOINT
 * @return index into `endpoints`; ERR_NO_ENDPOINT if none is allowed;
 *         ERR_LIMIT if the pool has more than ROUTING_ENDPOINTS_MAX
 */
int routing_choose(routing_t *routing, endpoint_t *const *endpoints,
		   size_t endpoint_count, const routing_request_t *request,
		   uint64_t now_ms, rng_t *rng,
		   routing_explanation_t *explanation);

/** Records that a request was sent to the endpoint chosen. */
void routing_sent(routing_t *routing, endpoint_t *endpoint,
		  const routing_request_t *request,
		  const routing_explanation_t *explanation, uint64_t now_ms);

/**
 * Updates endpoint, cache index and prefix statistics on the prefill event.
 * @param cached_tokens as reported by the engine
 * @param queue_ms time in the engine's queue as reported by the engine
 * @param sent_at_ms time of routing_sent()
 */
void routing_first_token(routing_t *routing, endpoint_t *endpoint,
			 const routing_request_t *request,
			 uint32_t cached_tokens, uint32_t queue_ms,
			 uint64_t sent_at_ms, uint64_t now_ms);

/** Records the end of an attempt and ends its isolation. */
void routing_ended(endpoint_t *endpoint, const routing_request_t *request,
		   endpoint_outcome_t outcome, bool had_first_token, rng_t *rng,
		   uint64_t now_ms);

/**
 * Expected wait of the pool, ms, for admission: median over its usable
 * endpoints in steps of ROUTING_WAIT_BIN_MS; UINT32_MAX if none is usable.
 */
uint32_t routing_pool_wait_ms(const routing_t *routing,
			      endpoint_t *const *endpoints,
			      size_t endpoint_count, uint64_t now_ms);

/** Name of a policy in settings and reports. */
const char *routing_policy_name(routing_policy_t policy);

/** Name of a reason in explanations. */
const char *routing_reason_name(routing_reason_t reason);

#endif
