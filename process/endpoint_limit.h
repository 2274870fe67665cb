/**
 * @file
 * The share of one instance in the requests that an endpoint accepts from all
 * instances together. Pure logic: no I/O, clock or locks.
 *
 * A limit of a few requests a second is too small to be split between all
 * instances. In each turn as many of them send as the limit has requests a
 * second, in the order in which they were drawn; the others send elsewhere. See
 * process/limit_turns.h.
 */
#ifndef PROCESS_ENDPOINT_LIMIT_H
#define PROCESS_ENDPOINT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/limit_turns.h"

enum {
	/** Unused share that an instance may use at once, ms. */
	ENDPOINT_LIMIT_BURST_MS = 500,
	/** Lower limits count as this one, requests per 1000 s, so that one
	 * request in 20 s shows whether the limit has ended. */
	ENDPOINT_LIMIT_MIN = 50,
};

typedef struct endpoint_limit {
	double requests;      /**< That may be sent now. */
	uint64_t refilled_ms; /**< Monotonic time. */
	/** Number of the turn that they are of, plus 1; 0: none yet. */
	uint64_t turn_after;
} endpoint_limit_t;

/**
 * Whether the instance may send a request now.
 * @param limit of all instances, requests per 1000 s
 * @param endpoint hash of the endpoint's id
 * @param now_ms monotonic time
 */
bool endpoint_limit_allows(endpoint_limit_t *state, uint32_t limit,
			   const limit_turn_t *turn, uint64_t endpoint,
			   uint64_t now_ms);

/** Counts a request that was sent. */
void endpoint_limit_count(endpoint_limit_t *state);

#endif
