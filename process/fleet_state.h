/**
 * @file
 * State behind fleet_t, for the source files of the fleet only.
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
	bool listed_leaving; /**< By the last row of the instance list. */
	bool spread_leaving; /**< What other instances were told last. */
	uint64_t spread_incarnation;
	uint32_t references; /**< Attempts in progress. */
	uint64_t used_ms;
	uint64_t next_poll_ms;
	uint64_t events_read_ms; /**< Last read of cache events. */
} fleet_endpoint_t;

typedef struct fleet_pool {
	char id[FLEET_ID_MAX_BYTES];
	bool engines;
	uint32_t streams_max;
	routing_t *routing; /**< Engines only. */
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
 * Slot of an endpoint; the caller holds the lock.
 * @return its number or ERR_NO_ENDPOINT
 */
int fleet_find_slot(const fleet_t *fleet, uint64_t id_hash);

#endif
