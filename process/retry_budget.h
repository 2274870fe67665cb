/**
 * @file
 * Retry budget: this instance's share of the fleet's retries, for each service,
 * over a sliding window. Pure logic: no I/O, clock or locks.
 *
 * The fleet's limit holds without communication between instances: each one
 * retries at most the given ratio of its own requests plus an equal part of the
 * slack.
 *
 * A process may have been started because the one before it was killed after it
 * had used its part up. In its first window it therefore gets only one retry,
 * or what is left as a margin otherwise, in proportion to the time since its
 * start: starts that follow each other get no more of it together.
 */
#ifndef PROCESS_RETRY_BUDGET_H
#define PROCESS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Buckets of the sliding window. */
	RETRY_BUCKETS = 10,
};

/** Counts for one service. */
typedef struct retry_entry {
	uint64_t service; /**< Hash of its name. */
	/** Number of the bucket's period since time 0; a bucket of an older
	 * window is stale. */
	uint64_t epochs[RETRY_BUCKETS];
	uint32_t requests[RETRY_BUCKETS];
	uint32_t retries[RETRY_BUCKETS];
} retry_entry_t;

typedef struct retry_budget {
	double ratio;	/**< Retries allowed per request. */
	uint32_t slack; /**< Extra retries per window, of all instances. */
	uint32_t window_ms;
	uint32_t instances;	/**< Sharing the slack; at least 1. */
	uint64_t started_ms;	/**< Start of the process, monotonic. */
	retry_entry_t *entries; /**< Of the services of the last window. */
	size_t count;
	size_t capacity;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, double ratio, uint32_t slack,
		       uint32_t window_ms, uint64_t now_ms);

/** Frees what an initialised budget holds. */
void retry_budget_free(retry_budget_t *budget);

/** Counts a request for a service. */
void retry_budget_count_request(retry_budget_t *budget, uint64_t service,
				uint64_t now_ms);

/** Takes one retry from the budget. @return false if it is used up, or when out
 * of memory */
bool retry_budget_take(retry_budget_t *budget, uint64_t service,
		       uint64_t now_ms);

#endif
