/**
 * @file
 * Asks engines for their state and sends them orders, many at a time over
 * libcurl, without blocking. Used by one thread.
 *
 * State: ENGINE_CLIENT_CALLS_MAX calls with their answer buffers, under
 * 400 KiB.
 */
#ifndef PROCESS_ENGINE_CLIENT_H
#define PROCESS_ENGINE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/controller.h"

enum {
	/** Calls in progress. */
	ENGINE_CLIENT_CALLS_MAX = 64,
	/** Calls kept free for orders while states are asked for. */
	ENGINE_CLIENT_ORDERS_RESERVE = 32,
	/** Longest IP address with its NUL, bytes. */
	ENGINE_ADDRESS_MAX_BYTES = 46,
};

/** Where an engine listens. */
typedef struct engine_address {
	char address[ENGINE_ADDRESS_MAX_BYTES];
	uint16_t port;
	bool tls;
} engine_address_t;

/** Pool and engine a call belongs to. */
typedef struct engine_name {
	char pool[CONTROLLER_ID_MAX_BYTES];
	char engine[CONTROLLER_ID_MAX_BYTES];
} engine_name_t;

typedef struct engine_client_hooks {
	/**
	 * Whether an order under this number may be sent now. Asked on the
	 * open connection, right before the first byte.
	 */
	bool (*may_send)(void *context, const engine_name_t *name,
			 uint64_t fencing);
	void (*state)(void *context, const engine_name_t *name,
		      uint64_t asked_ms, const controller_state_t *state);
	void (*result)(void *context, const engine_name_t *name,
		       const controller_order_t *order,
		       controller_result_t result);
	void *context;
} engine_client_hooks_t;

typedef struct engine_client engine_client_t;

/**
 * @param ca_file authorities of TLS endpoints, or NULL for the system's
 * @return NULL when out of memory
 */
engine_client_t *engine_client_open(const char *ca_file,
				    const engine_client_hooks_t *hooks);

/** Cuts the calls in progress without a report; NULL is allowed. */
void engine_client_close(engine_client_t *client);

/** Asks for the state; false if too many calls are in progress. */
bool engine_client_ask(engine_client_t *client, const engine_name_t *name,
		       const engine_address_t *address);

/**
 * Sends an order on a new connection.
 * @param timeout_ms longest time to its answer
 * @return false if too many calls are in progress; nothing is sent then
 */
bool engine_client_order(engine_client_t *client, const engine_name_t *name,
			 const engine_address_t *address,
			 const controller_order_t *order, uint64_t fencing,
			 uint32_t timeout_ms);

/** Moves data, reports what has ended, and waits up to `wait_ms` for more. */
void engine_client_run(engine_client_t *client, uint32_t wait_ms);

#endif
