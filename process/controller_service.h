/**
 * @file
 * Runs the leases and controllers of all pools in one thread, with their store
 * calls, calls to engines, log events, metrics and audit entries.
 *
 * An instance competes for the lease of a pool only if it is among the first
 * CONTROLLER_LEASE_CANDIDATES instances in the pool's rendezvous order, so that
 * the number of store calls does not grow with the number of instances. A
 * controller, of up to CONTROLLER_SIZE_BYTES, exists only while its lease is
 * held.
 *
 * Store calls block the thread. A slow one may let the leases of other pools
 * expire; no order is issued under an expired lease.
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
	/** Maximum number of pools. */
	CONTROLLER_POOLS_MAX = 64,
	/** Instances that compete for the lease of one pool. */
	CONTROLLER_LEASE_CANDIDATES = 3,
	/** Maximum number of other live instances. */
	CONTROLLER_INSTANCES_MAX = 1024,
	/** Engine states requested per second, over all pools held. */
	CONTROLLER_POLLS_PER_S = 20,
};

typedef struct controller_service controller_service_t;

typedef struct controller_service_options {
	const char *instance;
	store_client_t *store;
	const char *endpoint_ca;
	uint32_t lease_ms;	/**< Duration of a lease. */
	uint32_t order_max_ms;	/**< Maximum duration of an engine order. */
	uint32_t state_poll_ms; /**< Poll interval of each engine's state. */
	uint64_t seed;
	/** Records the audit entry of an engine order; may be NULL. */
	void (*audit)(void *context, const audit_entry_t *entry);
	void *audit_context;
} controller_service_options_t;

/** One engine in the configuration. */
typedef struct controller_service_engine {
	const char *id;
	engine_address_t address;
	bool checks_fencing;
} controller_service_engine_t;

/** One pool with its desired state. Strings are copied. */
typedef struct controller_service_pool {
	const char *id;
	const char *weight_store; /**< Empty means "default". */
	controller_engine_config_t desired;
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
 * Sets the pools of a configuration version. The lease of a removed pool is
 * released. That of a pool whose weight store changed is released and competed
 * for again, so that its loads take slots of the new weight store.
 * @return 0, ERR_LIMIT if some pools did not fit, or ERR_NO_MEMORY
 */
int controller_service_configure(controller_service_t *service,
				 const controller_service_pool_t *pools,
				 size_t count);

/** Sets the live instances; this one always counts as one of them. */
void controller_service_set_members(controller_service_t *service,
				    const char *const *ids, size_t count);

/** Runs leases and controllers, then waits up to `wait_ms` for engines. */
void controller_service_run(controller_service_t *service, uint32_t wait_ms);

/**
 * Releases all leases, which makes store calls; no engine order is sent
 * afterwards.
 */
void controller_service_stop(controller_service_t *service);

/**
 * Whether an instance is among the lease candidates of a pool.
 * @param self hash of this instance's id
 * @param members hashes of the ids of the live instances, with or
 *        without `self`
 */
bool controller_is_candidate(const char *pool, uint64_t self,
			     const uint64_t *members, size_t count);

#endif
