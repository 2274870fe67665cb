/**
 * @file
 * HTTP client that reads the state of engines and sends them orders. It runs
 * many calls concurrently with libcurl's non-blocking multi interface. Not
 * thread-safe: used by one thread.
 *
 * Memory: ENGINE_CLIENT_CALLS_MAX calls with their answer buffers, under
 * 400 KiB.
 */
#ifndef PROCESS_ENGINE_CLIENT_H
#define PROCESS_ENGINE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/controller.h"

enum {
	/** Most calls in progress. */
	ENGINE_CLIENT_CALLS_MAX = 64,
	/** Calls reserved for orders; state requests leave them free. */
	ENGINE_CLIENT_ORDER_RESERVE = 32,
	/** Longest IP address with its NUL, bytes. */
	ENGINE_ADDRESS_MAX_BYTES = 46,
};

/** Address an engine listens on. */
typedef struct engine_address {
	char address[ENGINE_ADDRESS_MAX_BYTES];
	uint16_t port;
	bool tls;
} engine_address_t;

/** Pool and engine that a call is for. */
typedef struct engine_name {
	char pool[CONTROLLER_ID_MAX_BYTES];
	char engine[CONTROLLER_ID_MAX_BYTES];
} engine_name_t;

/** Callbacks of a client; `context` is passed to each of them. */
typedef struct engine_client_hooks {
	/**
	 * Whether an order with this fencing number may be sent now. Called
	 * after the connection is open, right before the first byte is sent.
	 */
	bool (*may_send)(void *context, const engine_name_t *name,
			 uint64_t fencing);
	void (*on_state)(void *context, const engine_name_t *name,
			 uint64_t requested_ms,
			 const controller_engine_state_t *state);
	void (*on_result)(void *context, const engine_name_t *name,
			  const controller_order_t *order,
			  controller_order_result_t result);
	void *context;
} engine_client_hooks_t;

typedef struct engine_client engine_client_t;

/**
 * @param ca_file certificate authorities for TLS endpoints, or NULL for the
 *                system's
 * @return NULL when out of memory
 */
engine_client_t *engine_client_open(const char *ca_file,
				    const engine_client_hooks_t *hooks);

/** Aborts the calls in progress without calling a hook; NULL is allowed. */
void engine_client_close(engine_client_t *client);

/**
 * Requests the state of an engine.
 * @return false if too many calls are in progress or memory is exhausted
 */
bool engine_client_request_state(engine_client_t *client,
				 const engine_name_t *name,
				 const engine_address_t *address);

/**
 * Sends an order on a new connection.
 * @param timeout_ms time limit until the complete answer
 * @return false if nothing is sent, as too many calls are in progress or memory
 *         is exhausted
 */
bool engine_client_send_order(engine_client_t *client,
			      const engine_name_t *name,
			      const engine_address_t *address,
			      const controller_order_t *order, uint64_t fencing,
			      uint32_t timeout_ms);

/**
 * Transfers data, calls the hooks of finished calls, and waits up to `wait_ms`
 * for more data.
 */
void engine_client_run(engine_client_t *client, uint32_t wait_ms);

#endif
