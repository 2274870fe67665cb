/**
 * @file
 * Other instances that requests can be forwarded to, or that share the
 * allowances of customers, and how they are passed from the thread that hears
 * of them to the one that serves requests. An instance forwards when it has
 * lost the paths to the endpoints of a service (see service_path.h). Selection
 * is pure logic: no I/O, clock or locks.
 */
#ifndef PROCESS_FORWARD_PEERS_H
#define PROCESS_FORWARD_PEERS_H

#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"

enum {
	/** Services whose paths an instance reports as lost; one that has lost
	 * more takes no forwarded requests. */
	LOST_SERVICES_MAX = 16,
};

/** Services whose paths this instance has lost; written by one thread. */
typedef struct lost_services {
	_Atomic uint32_t count; /**< May exceed LOST_SERVICES_MAX. */
	_Atomic uint32_t services[LOST_SERVICES_MAX]; /**< Parts of hashes. */
} lost_services_t;

/** Another instance that is live and does not stop. */
typedef struct forward_peer {
	/** Of its listener for forwarded requests, and, as an address of
	 * datagrams, for allowances. */
	struct sockaddr_in address;
	uint64_t id; /**< Hash of its name. */
	uint64_t incarnation;
	bool refuses_forwarded; /**< It takes no forwarded requests. */
	bool shares_allowances; /**< See allowance.h. */
	bool young;		/**< See allowance_is_young(). */
	uint32_t lost_count;
	uint32_t lost[LOST_SERVICES_MAX];
} forward_peer_t;

typedef struct forward_peers {
	uint64_t number; /**< Of the list; increases with each. */
	/** Registered instances, or the live ones if there are more; 0 while
	 * the list of members is not known. */
	uint32_t instances;
	size_t count;
	forward_peer_t items[];
} forward_peers_t;

/** Passes the newest list to the thread that serves requests. */
typedef struct forward_slot {
	_Atomic bool wanted; /**< Lists are needed at short intervals. */
	_Atomic(forward_peers_t *) newest; /**< NULL if it was taken. */
} forward_slot_t;

/** A service as it stands in the lists of lost services. */
static inline uint32_t lost_service_key(uint64_t service_hash)
{
	return (uint32_t)(service_hash >> 32);
}

/** Replaces the services that are reported as lost. */
void lost_services_set(lost_services_t *lost, const uint64_t *services,
		       size_t count);

/** Replaces the list in the slot; takes over `peers`. */
void forward_slot_put(forward_slot_t *slot, forward_peers_t *peers);

/** Replaces `*peers` by the list in the slot if that has a newer one. */
void forward_slot_update(forward_slot_t *slot, forward_peers_t **peers);

/**
 * Selects at random a peer that reaches the endpoints of the service.
 * @param tried incarnations that are not selected
 * @return NULL if there is none
 */
const forward_peer_t *forward_peers_select(const forward_peers_t *peers,
					   uint64_t service_hash,
					   const uint64_t *tried,
					   size_t tried_count, rng_t *rng);

#endif
