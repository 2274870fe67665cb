/**
 * @file
 * Decision module: this instance's share of the fleet's budget for sending a
 * request once more, for each service, over a sliding window.
 *
 * The share is safe without talking to peers: each instance spends at most its
 * ratio of its own requests and an equal part of the slack.
 */
#ifndef PROCESS_RETRY_BUDGET_H
#define PROCESS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** Services that are told apart; more share the last row. */
	RETRY_SERVICES_MAX = 32,
	/** Buckets of a window. */
	RETRY_BUCKETS = 10,
};

typedef struct retry_row {
	uint64_t service; /**< Hash of its name; 0: free. */
	uint64_t epochs[RETRY_BUCKETS];
	uint32_t requests[RETRY_BUCKETS];
	uint32_t repeats[RETRY_BUCKETS];
} retry_row_t;

typedef struct retry_budget {
	double ratio;	/**< Repeats for each request. */
	uint32_t slack; /**< Repeats of the whole fleet beside that. */
	uint32_t window_ms;
	uint32_t instances; /**< That share the slack; at least 1. */
	retry_row_t rows[RETRY_SERVICES_MAX];
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, double ratio, uint32_t slack,
		       uint32_t window_ms);

/** Counts a request for a service. */
void retry_budget_request(retry_budget_t *budget, uint64_t service,
			  uint64_t now_ms);

/** Takes one repeat; false if the budget is used up. */
bool retry_budget_take(retry_budget_t *budget, uint64_t service,
		       uint64_t now_ms);

#endif
