/**
 * @file
 * State and functions shared by the source files of the router daemon.
 */
#ifndef CMD_ROUTER_H
#define CMD_ROUTER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/server.h"
#include "connection/upstream.h"
#include "process/audit.h"
#include "process/fleet.h"
#include "process/gossip.h"
#include "process/store_client.h"
#include "request/plain_proxy.h"
#include "request/relay.h"
#include "version/config.h"
#include "version/config_service.h"

/** Values of the flags and environment variables. */
typedef struct router_settings {
	const char *instance;
	const char *address;
	uint32_t port;
	uint32_t streams_max;
	uint32_t thread_stack_kib;
	uint32_t header_max_bytes;
	uint32_t client_timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t poll_ms;
	uint32_t poll_idle_ms;
	uint32_t events_bytes_per_s; /**< 0: cache events are not read. */
	uint32_t order_retention_ms;
	uint32_t order_sweep_ms;
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
	const char *cluster;
	const char *domain;
	const char *peer_address;
	uint32_t peer_port;
	const char *peer_advertise;
	const char *peers;
	uint32_t instances_ms;
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
	crash_guard_t *crash_guard;
	gossip_t *gossip;
	bool hooks_ready; /**< All members that gossip hooks use are set. */
	uint64_t seed;
	uint64_t started_ms; /**< Monotonic. */
	audit_t *audit;
	/** Held for reading while `service` is used by hooks and threads. */
	pthread_rwlock_t service_lock;
	config_service_t *service; /**< NULL without a store or before start. */
	gossip_member_t *members_buffer; /**< For the gossip thread. */
	/** Of the live members that were passed to the service last. */
	uint64_t members_digest;
	pthread_mutex_t instances_lock; /**< For the next two members. */
	store_instance_t *instances;	/**< Instance list as read last. */
	size_t instance_count;
	relay_t relay;
	plain_proxy_t plain_proxy;
	server_t *server;
	/** Requests from the call of their handler to the end of the answer. */
	unsigned long open_requests;
	bool stopping;		   /**< New requests are refused. */
	bool exiting;		   /**< All threads are to return. */
	uint64_t applied_position; /**< Of the configuration in the fleet. */
	bool config_applied;
	uint64_t applied_at_ms; /**< Monotonic. */
} router_t;

/** Handles one HTTP request; a server_handler_fn. */
void router_handle(void *router, server_request_t *request);

/** Returns the current largest body size of all handlers, bytes. */
uint32_t router_body_max(void *router);

/** Handles a path under `/admin/`; the caller has checked the operator key. */
void router_admin(router_t *router, server_request_t *request);

/** Sends `value` with status 200, or ERR_NO_MEMORY if it is NULL. */
void router_answer_json(server_request_t *request, json_t *value);

/** Sends the answer for `err` from the error table. */
void router_answer_error(server_request_t *request, int err);

/** Whether a configuration is in force and the instance is not stopping. */
bool router_is_ready(router_t *router);

/**
 * Starts gossip and connects the crash guard to it.
 * @return 0 or an error; a wrong setting is reported on standard error
 */
int router_members_open(router_t *router);

/** Stops gossip after announcing that this instance leaves. */
void router_members_close(router_t *router);

/** Reads the instance list and passes it to the fleet and to gossip. */
void router_members_read_list(router_t *router);

/** Whether another live instance is known. */
bool router_members_has_peers(router_t *router);

/** Sets `name` to a member's name if the list has it, else its id in hex. */
void router_members_name(router_t *router, uint64_t id,
			 char name[STORE_NAME_MAX_BYTES]);

/** Passes position and age of the configuration in force to gossip. */
void router_members_set_config(router_t *router);

/** Copies the live members for the configuration service. @return count */
size_t router_members_copy_live(router_t *router,
				config_sync_member_t *sync_members, size_t max);

/**
 * Returns the configuration for a peer that fetches it; a gossip hook.
 * @param from_position ignored for a snapshot
 * @param document receives JSON, to be freed by the caller
 * @return 0, ERR_NOT_FOUND if there is nothing newer, or ERR_NO_MEMORY
 */
int router_tickets_serve_peer(void *router, bool snapshot,
			      uint64_t from_position, uint64_t *position,
			      char **document, size_t *document_bytes);

/**
 * Starts the configuration service; does nothing without a store.
 * @return 0 or an error
 */
int router_tickets_open(router_t *router);

/** Stops the configuration service. Pending tickets get their result. */
void router_tickets_close(router_t *router);

/**
 * Adds an entry to the audit trail unless the configuration service has
 * stopped.
 * @param router a router_t
 */
void router_tickets_add_audit(void *router, const audit_entry_t *entry);

/** Status of the service; without one, of unknown age and otherwise zero. */
config_service_status_t router_tickets_status(router_t *router);

/** `POST /admin/tickets` */
void router_tickets_apply(router_t *router, server_request_t *request);

/** `GET /admin/tickets/<N>` */
void router_tickets_show(router_t *router, server_request_t *request);

/** `GET /admin/objects` */
void router_tickets_objects(router_t *router, server_request_t *request);

/** `GET /admin/audit` */
void router_tickets_audit(router_t *router, server_request_t *request);

/** `GET /admin/status` */
void router_control_status(router_t *router, server_request_t *request);

/** `POST /admin/drain`: begins a planned stop. */
void router_control_drain(router_t *router, server_request_t *request);

/**
 * Members with their configuration positions, as a JSON array; NULL when out of
 * memory.
 */
json_t *router_control_members(router_t *router);

/**
 * Thread that finds peers, starts the configuration service and then reads the
 * instance list every `--instances-ms` on average; takes a router_t.
 */
void *router_control_thread(void *router);

/**
 * Validates the bootstrap file.
 * @param publish whether to put it in force; for instances without a store
 * @return 0, or an error that was logged
 */
int router_load_bootstrap(const char *path, bool publish);

/** Applies the published configuration to the fleet if it is new. */
void router_apply_config(router_t *router);

/** Thread that polls the load of the engines; takes a router_t. */
void *router_poll_thread(void *router);

/** Thread that runs admission and applies configurations; takes a router_t. */
void *router_timer_thread(void *router);

#endif
