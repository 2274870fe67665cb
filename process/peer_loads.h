/**
 * @file
 * Loads of peers at the endpoints, from their heartbeats. Pure logic: no I/O,
 * clock or locks.
 *
 * A heartbeat that has room for all loads of its sender lists all of them; an
 * endpoint that is missing has none. Otherwise the sender reports as many as
 * fit, in the circular order of the endpoints' keys, and the next heartbeat
 * goes on behind the last key. Idle endpoints, which are listed for their
 * speed, take turns in the room that the loads leave. A receiver keeps what it
 * knows of the endpoints that a heartbeat does not cover. Older builds send the
 * first loads of their list, which is not ordered by keys, and know only the
 * last heartbeat.
 */
#ifndef PROCESS_PEER_LOADS_H
#define PROCESS_PEER_LOADS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer_heartbeat.h"

enum {
	/** Loads of one peer that are kept: 8 KB. A peer of the largest
	 * deployment has some 100 requests in progress. */
	PEER_LOADS_KEPT_MAX = 256,
};

#define PEER_LOADS_NONE SIZE_MAX

typedef struct kept_load {
	peer_load_t load;
	uint32_t round; /**< Of peer_loads_t, when it was reported. */
} kept_load_t;

/** Loads of one peer; starts zeroed. */
typedef struct peer_loads {
	kept_load_t *entries;
	size_t count;
	size_t capacity;
	uint64_t incarnation;
	uint32_t sequence; /**< Of the last heartbeat. */
	uint32_t round;	   /**< Counts the turns through all keys. */
	uint64_t last_key; /**< Last one of the last heartbeat. */
	bool in_turn;	   /**< The last heartbeat had only a part. */
} peer_loads_t;

/**
 * Selects the own loads that the next heartbeat reports and moves them to the
 * front. Reorders the loads only if there are more than `room`. Those without
 * requests come last.
 * @param last_key the last key reported; updated if not all fit
 * @return number of loads to report
 */
size_t peer_loads_select(peer_load_t *loads, size_t count, size_t room,
			 uint64_t *last_key);

/** Handles a heartbeat that is newer than those before. When memory is short,
 * the loads that do not fit are missing. */
void peer_loads_receive(peer_loads_t *loads, const peer_heartbeat_t *heartbeat);

void peer_loads_free(peer_loads_t *loads);

/** Sums over peers for each endpoint, by its position in the endpoint list;
 * starts zeroed. */
typedef struct load_sums {
	peer_load_t *sums;
	size_t count;
	uint32_t *table; /**< Hash table: positions + 1; 0: empty. */
	size_t table_mask;
} load_sums_t;

/**
 * Replaces the endpoints, which start without load.
 * @param count below UINT32_MAX
 * @return 0, or ERR_NO_MEMORY, which leaves none
 */
int load_sums_set_endpoints(load_sums_t *sums, const uint64_t *keys,
			    size_t count);

/** Position of an endpoint, or PEER_LOADS_NONE. */
size_t load_sums_find(const load_sums_t *sums, uint64_t key);

/** Sets all loads to 0. */
void load_sums_clear(load_sums_t *sums);

/** Adds the loads of one peer. */
void load_sums_add(load_sums_t *sums, const peer_loads_t *loads);

void load_sums_free(load_sums_t *sums);

#endif
