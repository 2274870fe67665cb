/**
 * @file
 * Limits the calls of an instance to the object API.
 *
 * A token bucket limits the rate; part of it is reserved for more important
 * purposes. Failures are followed by a backoff with full jitter, which orders
 * and leases skip. After several consecutive failures the store counts as down:
 * all calls are refused, except one probe at a time after each backoff.
 *
 * An instance that starts without a peer has to read the ticket log, up to 256
 * objects, which took 21 s at 5 calls per second. A separate startup allowance
 * covers these reads, for configuration calls only and for a limited time; the
 * store's rate limit and the backoff still apply. If all 340 instances of a
 * large fleet start without a peer, they make at most 87,000 reads, which is
 * 44 s of the object API's rate; once one of them is ready, the others read
 * from it instead.
 *
 * Memory: one store_budget_t, under 144 bytes.
 */
#ifndef PROCESS_STORE_BUDGET_H
#define PROCESS_STORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "process/rng.h"

/** Purpose of a call, from the most to the least important. */
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
	double rate_per_s;	   /**< Calls per second; 0 for the default. */
	double burst;		   /**< Calls; 0 for the default. */
	uint32_t backoff_ms;	   /**< First backoff; 0 for the default. */
	uint32_t backoff_max_ms;   /**< Longest backoff; 0 for the default. */
	uint32_t outage_failures;  /**< Consecutive; 0 for the default. */
	uint32_t probe_timeout_ms; /**< Until a probe counts as lost. */
	/** Configuration calls allowed at startup in addition to the bucket. */
	uint32_t startup_calls;
} store_budget_options_t;

enum {
	/** Startup allowance, calls; covers a ticket log that is not yet
	 * compacted. */
	STORE_BUDGET_STARTUP_CALLS = 256,
	/** Time after the start when unused startup calls expire, ms. */
	STORE_BUDGET_STARTUP_MS = 30000,
};

typedef struct store_budget {
	store_budget_options_t options;
	rng_t rng;
	double tokens;
	uint64_t refilled_ms;
	uint64_t blocked_until_ms;
	uint64_t throttled_until_ms;
	uint64_t probe_deadline_ms; /**< 0 if no probe is in progress. */
	uint64_t startup_deadline_ms;
	uint32_t startup_calls; /**< Left of the startup allowance. */
	uint32_t failures;	/**< Consecutive. */
} store_budget_t;

typedef enum store_verdict_kind {
	STORE_VERDICT_ALLOW,
	STORE_VERDICT_OVER_BUDGET, /**< Refused: no token for this purpose. */
	STORE_VERDICT_DOWN,	   /**< Refused: the store is failing. */
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
	/** The call was cancelled here; says nothing about the store. */
	STORE_OUTCOME_CANCELLED,
} store_outcome_t;

/** Initializes a budget with a full bucket. */
void store_budget_init(store_budget_t *budget,
		       const store_budget_options_t *options, uint64_t seed,
		       uint64_t now_ms);

/** Requests one call; the end of an allowed one must be reported. */
store_verdict_t store_budget_acquire(store_budget_t *budget,
				     store_purpose_t purpose, uint64_t now_ms);

/**
 * Reports how an allowed call ended.
 * @param retry_after_ms Retry-After of the store; used for
 *                       STORE_OUTCOME_THROTTLED
 */
void store_budget_report(store_budget_t *budget, store_outcome_t outcome,
			 uint32_t retry_after_ms, uint64_t now_ms);

/** Whether the store counts as down. */
bool store_budget_is_down(const store_budget_t *budget);

/** Name of a purpose, as used in metrics and logs. */
const char *store_purpose_name(store_purpose_t purpose);

#endif
