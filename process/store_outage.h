/**
 * @file
 * Store outage: tells an outage of the store from the loss of contact of single
 * instances and from a change of the watcher. Pure logic: no I/O, clock or
 * locks.
 *
 * There is an outage from when a call of some instance fails while the store
 * answers no other one, until it answers any. A watcher that stops, is killed
 * or has just been elected is no evidence of one.
 */
#ifndef PROCESS_STORE_OUTAGE_H
#define PROCESS_STORE_OUTAGE_H

#include <stdbool.h>

/** What the last calls of this instance, or of all, tell about the store. */
typedef struct store_contact {
	bool answers; /**< It answers this instance, or any. */
	bool fails;   /**< Calls of this instance, or of any, fail. */
} store_contact_t;

typedef enum store_outage_change {
	STORE_OUTAGE_SAME,
	STORE_OUTAGE_BEGAN,
	STORE_OUTAGE_ENDED,
} store_outage_change_t;

typedef struct store_outage {
	bool active;
} store_outage_t;

/**
 * Applies what is known now. The state is kept while nothing is known, so that
 * an outage lasts over a change of the watcher.
 * @param outage zeroed at the start
 */
store_outage_change_t store_outage_update(store_outage_t *outage,
					  store_contact_t contact);

#endif
