/**
 * @file
 * Keeps the configuration current and commits tickets, with threads that
 * drive config_sync and ticket_commit in real time: one for fetches, one for
 * the store watch, one for commits.
 */
#ifndef VERSION_CONFIG_SERVICE_H
#define VERSION_CONFIG_SERVICE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/audit.h"
#include "process/store_client.h"
#include "version/config_sync.h"
#include "version/ticket_commit.h"

typedef struct config_service config_service_t;

/**
 * Fetches from a peer: sends `{"from": N}` and receives the answer that
 * config_service_answer() gives there.
 * @param peer hash_string() of the member's id
 * @param answer receives a JSON value, to be dropped
 * @return 0 or an error
 */
typedef int (*config_fetch_peer_t)(void *user, uint64_t peer, uint64_t from,
				   json_t **answer);

typedef struct config_service_options {
	store_client_t *client; /**< Outlives the service. */
	audit_t *audit;		/**< May be NULL; outlives the service. */
	const char *instance;	/**< Id of this instance. */
	const char *domain;	/**< Its failure domain. */
	/** Members that are known at the start; may be none. */
	const config_sync_member_t *members;
	size_t member_count;
	const char *bootstrap_file;	/**< May be NULL. */
	config_fetch_peer_t fetch_peer; /**< May be NULL. */
	void *fetch_user;
	uint64_t seed;
	ticket_commit_options_t commit; /**< Zeroed for the defaults. */
	uint32_t commit_timeout_ms;	/**< Of a ticket; 0: default. */
	uint32_t watch_timeout_ms;	/**< Of one watch; 0: default. */
} config_service_options_t;

typedef struct config_service_status {
	bool in_force;
	uint64_t position;
	uint64_t age_ms; /**< CONFIG_AGE_UNKNOWN if never confirmed. */
	bool watching;
} config_service_status_t;

/**
 * Starts the threads; the first configuration is loaded in the background.
 * @return 0, ERR_NO_MEMORY, or ERR_INTERNAL if a thread cannot start
 */
int config_service_start(const config_service_options_t *options,
			 config_service_t **service);

/**
 * Stops the threads. Waiting tickets get their result first. The store client
 * is stopped too, so that a waiting watch ends.
 */
void config_service_stop(config_service_t *service);

/**
 * Applies a ticket and waits for the result.
 * @param operator name for the audit trail
 * @return `result->err`
 */
int config_service_apply_ticket(config_service_t *service, json_t *content,
				const char *operator, ticket_result_t * result);

/** Tells the live members (id, domain and position of each row are used). */
void config_service_set_members(config_service_t *service,
				const config_sync_member_t *rows, size_t count);

/** Tells what a member has in force. */
void config_service_gossip(config_service_t *service, uint64_t member,
			   uint64_t position, uint64_t age_ms);

/**
 * Answer to a peer's fetch; NULL if there is nothing newer. It shares parts
 * with the state and must not be changed.
 */
json_t *config_service_answer(config_service_t *service, uint64_t from);

/**
 * Finds where a ticket was accepted, in the recent contents kept here or else
 * in the store.
 * @return 0, ERR_NOT_FOUND, or an error of the store
 */
int config_service_find_ticket(config_service_t *service, uint64_t number,
			       uint64_t *position);

void config_service_status(config_service_t *service,
			   config_service_status_t *status);

#endif
