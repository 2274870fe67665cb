/**
 * @file
 * State of the router daemon that its parts share.
 */
#ifndef CMD_ROUTER_H
#define CMD_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/server.h"
#include "connection/upstream.h"
#include "process/audit.h"
#include "process/fleet.h"
#include "process/store_client.h"
#include "request/plain.h"
#include "request/relay.h"
#include "version/config.h"
#include "version/config_service.h"

/** Values of the flags and environment variables. */
typedef struct router_settings {
	const char *instance;
	const char *domain;
	const char *address;
	uint32_t port;
	uint32_t streams_max;
	uint32_t thread_stack_kib;
	uint32_t header_max_bytes;
	uint32_t caller_timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t poll_ms;
	uint32_t poll_idle_ms;
	uint32_t polls_per_s;
	uint32_t stop_limit_ms;
	uint32_t drain_ms;
	uint32_t lease_ms;
	uint32_t engine_order_max_ms;
	uint32_t engine_state_ms;
	uint32_t log_level;
	uint32_t policy;
	const char *seed;
	const char *store_url;
	const char *bootstrap;
	const char *tls_certificate;
	const char *endpoint_ca;
	const char *cluster_key;
	const char *operator_key;
} router_settings_t;

typedef struct router {
	router_settings_t settings;
	char instance[RELAY_INSTANCE_MAX_BYTES * 2];
	fleet_t *fleet;
	upstream_pool_t *pool;
	store_client_t *store; /**< NULL without a store. */
	audit_t *audit;
	config_service_t *config; /**< NULL without a store. */
	crash_guard_t *guard;
	/** Takes the audit entries of engine orders; NULL without a trail. */
	void (*audit_entry)(void *context, const audit_entry_t *entry);
	void *audit_context;
	relay_t relay;
	plain_t plain;
	server_t *server;
	/** Requests between their first byte and the end of their answer. */
	unsigned long open_requests;
	bool stopping; /**< No new requests. */
	bool ending;   /**< The threads end. */
	uint64_t applied_position;
	bool has_applied;
	uint64_t applied_at_ms; /**< Monotonic. */
} router_t;

/** Serves one HTTP request; a server_handler_fn. */
void router_handle(void *router, server_request_t *request);

/** Serves a path under `/admin/`; the operator key was checked. */
void router_admin(router_t *router, server_request_t *request);

/**
 * Reads the bootstrap file and publishes it.
 * @return 0, or an error after logging what is wrong
 */
int router_load_bootstrap(const char *path);

/** Takes the published configuration over into the fleet if it is new. */
void router_apply_config(router_t *router);

/** Thread that polls the load of the endpoints in use; takes a router_t. */
void *router_poll_thread(void *router);

/** Thread that drives admission and takes over configurations. */
void *router_timer_thread(void *router);

#endif
