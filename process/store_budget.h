/**
 * @file
 * Decides whether a call to the object API may be made now.
 *
 * A token bucket keeps a reserve for the more important purposes. Failures
 * are followed by a backoff with full jitter. After several consecutive
 * failures the store counts as down: calls are refused at once, except one
 * probe at a time after each backoff.
 *
 * An instance that starts without a peer has to read the log of tickets, up
 * to 256 objects, which took 21 s at 5 calls a second. It has an allowance of
 * its own for that, only for the configuration and only for a short time; the
 * store's rate limit and the backoff hold for it as well. If all 340 instances
 * of a large fleet start with no peer, they ask for at most 87,000 reads, 44 s
 * of the object API's rate; as soon as one is ready, the others read from it.
 *
 * State: one store_budget_t, under 144 bytes.
 */
#ifndef PROCESS_STORE_BUDGET_H
#define PROCESS_STORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "process/rng.h"

/** What a call is for, from the most to the least important. */
typedef enum store_purpose {
	STORE_PURPOSE_ORDER,
	STORE_PURPOSE_LEASE,
	STORE_PURPOSE_TICKET,
	STORE_PURPOSE_CONFIG,
	STORE_PURPOSE_AUDIT,
	STORE_PURPOSE_MEMBERSHIP,
	STORE_PURPOSE_STATUS,
	STORE_PURPOSE_COUNT,
} store_purpose_t;

typedef struct store_budget_options {
	double rate_per_s;	   /**< Calls a second; 0 for the default. */
	double burst;		   /**< Calls; 0 for the default. */
	uint32_t backoff_ms;	   /**< First backoff; 0 for the default. */
	uint32_t backoff_max_ms;   /**< Longest one; 0 for the default. */
	uint32_t outage_failures;  /**< Failures in a row; 0 for default. */
	uint32_t probe_timeout_ms; /**< When a probe counts as lost. */
	/** Calls for the configuration beside the bucket after the start. */
	uint32_t start_calls;
} store_budget_options_t;

enum {
	/** Allowance that covers a log that was not compacted yet. */
	STORE_BUDGET_START_CALLS = 256,
	/** Time after which the rest of the allowance ends. */
	STORE_BUDGET_START_MS = 30000,
};

typedef struct store_budget {
	store_budget_options_t options;
	rng_t rng;
	double tokens;
	uint64_t refilled_ms;
	uint64_t blocked_until_ms;
	uint64_t throttled_until_ms;
	uint64_t probe_until_ms; /**< 0 when no probe is open. */
	uint64_t start_until_ms;
	uint32_t start_calls; /**< Left of the allowance. */
	uint32_t failures;    /**< Consecutive. */
} store_budget_t;

typedef enum store_verdict_kind {
	STORE_VERDICT_ALLOW,
	STORE_VERDICT_BUDGET, /**< Refused: no token for this purpose. */
	STORE_VERDICT_DOWN,   /**< Refused: the store is failing. */
} store_verdict_kind_t;

typedef struct store_verdict {
	store_verdict_kind_t kind;
	uint32_t retry_after_ms; /**< Earliest useful retry of a refusal. */
} store_verdict_t;

/** How a call ended. */
typedef enum store_outcome {
	STORE_OUTCOME_ANSWERED,
	STORE_OUTCOME_FAILED,
	STORE_OUTCOME_THROTTLED, /**< HTTP 429. */
	/** Nothing was learned: the call was cancelled here. */
	STORE_OUTCOME_CANCELLED,
} store_outcome_t;

/** Starts with a full bucket. */
void store_budget_init(store_budget_t *budget,
		       const store_budget_options_t *options, uint64_t seed,
		       uint64_t now_ms);

/** Asks for one call; an allowed one must be reported when it ends. */
store_verdict_t store_budget_ask(store_budget_t *budget,
				 store_purpose_t purpose, uint64_t now_ms);

/**
 * Reports how an allowed call ended.
 * @param retry_after_ms delay the store asked for; used for THROTTLED
 */
void store_budget_report(store_budget_t *budget, store_outcome_t outcome,
			 uint32_t retry_after_ms, uint64_t now_ms);

/** Whether the store counts as down. */
bool store_budget_is_down(const store_budget_t *budget);

/** Name of a purpose in metrics and logs. */
const char *store_purpose_name(store_purpose_t purpose);

#endif
