/**
 * @file
 * Runs leases and controllers of the pools in one thread: store calls, calls
 * to engines, events, metrics and the audit trail.
 *
 * An instance competes for the lease of a pool only if it is among the first
 * CONTROLLER_CANDIDATES members in the pool's rendezvous order, so that the
 * number of store calls does not grow with the fleet. A controller exists only
 * while its lease is held: CONTROLLER_SIZE_BYTES for each.
 *
 * Store calls block the thread. While one takes long, the leases of other
 * pools may lapse; nothing is issued under a lapsed lease.
 */
#ifndef PROCESS_CONTROLLER_SERVICE_H
#define PROCESS_CONTROLLER_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/audit.h"
#include "process/controller.h"
#include "process/engine_client.h"
#include "process/store_client.h"

enum {
	/** Pools with a controller. */
	CONTROLLER_POOLS_MAX = 64,
	/** Members that compete for the lease of a pool. */
	CONTROLLER_CANDIDATES = 3,
	/** Instances of the fleet. */
	CONTROLLER_MEMBERS_MAX = 1024,
	/** States asked for each second, over all pools held. */
	CONTROLLER_STATES_PER_S = 20,
};

typedef struct controller_service controller_service_t;

typedef struct controller_service_options {
	const char *instance;
	store_client_t *store;
	const char *endpoint_ca;
	uint32_t lease_ms;	/**< Duration of a lease. */
	uint32_t order_max_ms;	/**< Longest engine order. */
	uint32_t state_poll_ms; /**< Between two states of an engine. */
	uint64_t seed;
	/** Takes the entry of one engine order; NULL for none. */
	void (*audit)(void *context, const audit_entry_t *entry);
	void *audit_context;
} controller_service_options_t;

/** One engine as the configuration has it. */
typedef struct controller_service_engine {
	const char *id;
	engine_address_t address;
	bool checks_fencing;
} controller_service_engine_t;

/** One pool with its desired state. Text is copied. */
typedef struct controller_service_pool {
	const char *id;
	const char *weight_store; /**< Empty: the one named "default". */
	controller_target_t desired;
	uint32_t ready_min;
	const controller_service_engine_t *engines;
	size_t engine_count;
} controller_service_pool_t;

/** @return 0 or ERR_NO_MEMORY */
int controller_service_open(const controller_service_options_t *options,
			    controller_service_t **service);

/** Frees everything without releasing leases; NULL is allowed. */
void controller_service_close(controller_service_t *service);

/**
 * Takes the pools of a configuration version. The lease of a pool that is gone
 * is released; that of a pool with another weight store is released and
 * competed for again, so that its orders are counted anew.
 * @return 0; ERR_LIMIT if some pools or engines did not fit; ERR_NO_MEMORY
 */
int controller_service_configure(controller_service_t *service,
				 const controller_service_pool_t *pools,
				 size_t count);

/** Takes the live instances; this one always counts as a member. */
void controller_service_members(controller_service_t *service,
				const char *const *ids, size_t count);

/** Does what is due, then waits for engines up to `wait_ms`. */
void controller_service_run(controller_service_t *service, uint32_t wait_ms);

/** Releases all leases and sends nothing more; makes store calls. */
void controller_service_stop(controller_service_t *service);

/**
 * Whether an instance is among the candidates for a pool.
 * @param members hashes of the instances' ids, with that of `self`
 */
bool controller_is_candidate(const char *pool, uint64_t self,
			     const uint64_t *members, size_t count);

#endif
