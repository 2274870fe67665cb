/**
 * @file
 * Definition of fleet_t, private to fleet*.c.
 */
#ifndef PROCESS_FLEET_STATE_H
#define PROCESS_FLEET_STATE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/fleet.h"

typedef struct fleet_endpoint {
	endpoint_t state;
	fleet_target_t target;
	int pool;
	bool configured;
	bool configured_leaving;
	bool engine;
	bool listed_leaving;   /**< In the last instance list. */
	bool gossiped_leaving; /**< Last sent to or received from others. */
	uint64_t gossiped_incarnation;
	uint32_t references; /**< Open attempts. */
	uint64_t used_ms;
	uint64_t next_poll_ms;
	uint64_t events_read_ms; /**< Last fetch of cache events. */
} fleet_endpoint_t;

typedef struct fleet_pool {
	char id[FLEET_ID_MAX_BYTES];
	bool engines;
	uint32_t streams_max;
	routing_t *routing; /**< NULL for a plain service. */
	endpoint_t **endpoints;
	int *slots; /**< Slot of each endpoint. */
	size_t count;
} fleet_pool_t;

struct fleet {
	pthread_mutex_t lock;
	routing_policy_t policy;
	rng_t rng;
	admission_t admission;
	fleet_request_t *requests;
	fleet_pool_t pools[ADMISSION_POOLS_MAX];
	size_t pool_count;
	fleet_endpoint_t *slots[FLEET_ENDPOINTS_MAX];
	size_t slot_count;
};

/**
 * Finds the slot of an endpoint; the caller holds the lock.
 * @return its index or ERR_NO_ENDPOINT
 */
int fleet_find_slot(const fleet_t *fleet, uint64_t id_hash);

#endif
