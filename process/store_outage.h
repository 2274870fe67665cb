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
	bool answers; /**< The last call was answered, of any instance. */
	bool fails;   /**< The last call failed, of any instance. */
} store_contact_t;

typedef enum store_outage_change {
	STORE_OUTAGE_SAME,
	STORE_OUTAGE_BEGAN,
	STORE_OUTAGE_ENDED,
} store_outage_change_t;

typedef struct store_outage {
	bool active;
} store_outage_t;

store_outage_change_t store_outage_update(store_outage_t *outage,
					  store_contact_t contact);

#endif
