/**
 * @file
 * Pace of the heartbeats that an instance sends besides its regular ones, to
 * announce changes. Pure logic: no I/O, clock or locks.
 *
 * A heartbeat goes to each other instance, so that its cost grows with their
 * number, and changes come in bursts: while engines load weights, one for each
 * engine. Changes that follow a heartbeat closely are announced together by a
 * later one, so that sending takes at most a part of the thread's time.
 */
#ifndef PROCESS_HEARTBEAT_PACE_H
#define PROCESS_HEARTBEAT_PACE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** Shortest time between the ends of two heartbeats that announce
	 * changes, ms: below the time that an engine drains before its order.
	 */
	HEARTBEAT_PACE_MIN_MS = 50,
	/** Multiple of the time that the last heartbeat took until the next
	 * one, if that is longer. */
	HEARTBEAT_PACE_FACTOR = 4,
};

/** Zeroed at the start; owned by the calling code. */
typedef struct heartbeat_pace {
	uint64_t next_ms; /**< Earliest time of the next announcement. */
	bool wanted;	  /**< A change has not been announced yet. */
} heartbeat_pace_t;

/**
 * Handles a change.
 * @return whether to send a heartbeat now; otherwise one becomes due
 */
bool heartbeat_pace_request(heartbeat_pace_t *pace, uint64_t now_ms);

/** Whether a heartbeat is due for changes that were held back. */
bool heartbeat_pace_is_due(const heartbeat_pace_t *pace, uint64_t now_ms);

/** A heartbeat has been sent to all instances, which announces all changes. */
void heartbeat_pace_sent(heartbeat_pace_t *pace, uint64_t begin_ms,
			 uint64_t end_ms);

#endif
