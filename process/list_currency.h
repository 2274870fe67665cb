/**
 * @file
 * Currency of the endpoint list: the time as of which this instance's list is
 * known to contain all that the store's did. Pure logic: no I/O, clock or
 * locks.
 *
 * It rests on answers of the store to watchers, and on what these tell in their
 * heartbeats. While the store answers no instance, nobody can get a newer list;
 * an instance that hears nobody cannot tell this from being cut off.
 */
#ifndef PROCESS_LIST_CURRENCY_H
#define PROCESS_LIST_CURRENCY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** An instance that was ahead has told others within this time, ms. */
	LIST_AHEAD_MS = 1000,
};

/** Age of a list that nothing is known of. */
#define LIST_AGE_UNKNOWN UINT32_MAX

/** Another instance, heard at any time: it may have left or be out of reach. */
typedef struct currency_peer {
	uint32_t domain;
	bool ahead;	   /**< Its list is newer. */
	uint32_t age_ms;   /**< Of its list when it sent its last heartbeat, or
				LIST_AGE_UNKNOWN. */
	uint64_t heard_ms; /**< Its last heartbeat was sent after this time. */
} currency_peer_t;

typedef struct currency_self {
	bool outage;	     /**< The store seems to answer no instance. */
	uint64_t checked_ms; /**< By the store's answers; 0: unknown. */
} currency_self_t;

/** @return the time as of which the list is current; 0: unknown */
uint64_t list_currency_as_of(const currency_self_t *self,
			     const currency_peer_t *peers, size_t count,
			     uint64_t now_ms);

#endif
