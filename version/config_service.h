/**
 * @file
 * Keeps the configuration current and commits change tickets. Three threads
 * drive the state machines config_sync and ticket_commit: one fetches, one
 * watches the store, and one commits.
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
 * Fetches from a peer: sends `{"from": N}` and receives the result of
 * config_service_answer() at the peer.
 * @param peer hash_string() of the member's id
 * @param answer receives a JSON value; the caller releases it
 * @return 0 or an error
 */
typedef int (*config_fetch_peer_t)(void *user, uint64_t peer, uint64_t from,
				   json_t **answer);

typedef struct config_service_options {
	store_client_t *client; /**< Outlives the service. */
	audit_t *audit;		/**< May be NULL; outlives the service. */
	const char *instance;	/**< Id of this instance. */
	const char *domain;	/**< Its failure domain. */
	/** Live members that are known at the start; may be none. */
	const config_sync_member_t *members;
	size_t member_count;
	const char *bootstrap_file;	/**< May be NULL. */
	config_fetch_peer_t fetch_peer; /**< May be NULL. */
	void *fetch_user;
	uint64_t seed;
	ticket_commit_options_t commit; /**< Zeros select the defaults. */
	uint32_t commit_timeout_ms;	/**< For a batch; 0: default. */
	uint32_t watch_timeout_ms;	/**< For a watch call; 0: default. */
} config_service_options_t;

typedef struct config_service_status {
	bool in_force;	   /**< A configuration is in force. */
	uint64_t position; /**< Of the configuration in force. */
	uint64_t age_ms;   /**< See config_sync_age_ms(). */
	bool watching;	   /**< This instance watches the store. */
} config_service_status_t;

/**
 * Starts the threads. The first configuration is loaded in the background.
 * @return 0, ERR_NO_MEMORY, or ERR_INTERNAL if a thread cannot start
 */
int config_service_start(const config_service_options_t *options,
			 config_service_t **service);

/**
 * Stops the threads after the pending tickets have got their results. Also
 * stops the store client, which ends a watch call in progress.
 */
void config_service_stop(config_service_t *service);

/**
 * Commits a ticket and waits for the result.
 * @param operator_name recorded in the audit trail
 * @return `result->err`
 */
int config_service_apply_ticket(config_service_t *service, json_t *content,
				const char *operator_name,
				ticket_result_t *result);

/** Sets the live members; uses only their id, domain and position. */
void config_service_set_members(config_service_t *service,
				const config_sync_member_t *members,
				size_t count);

/**
 * Reports the position and age that a member gave in its gossip.
 * @param age_ms age of its configuration, or CONFIG_AGE_UNKNOWN
 */
void config_service_gossip(config_service_t *service, uint64_t member,
			   uint64_t position, uint64_t age_ms);

/**
 * Makes the answer to a peer that has everything up to `from`; NULL if there
 * is nothing newer. It shares JSON values with the state, so it must not be
 * modified.
 */
json_t *config_service_answer(config_service_t *service, uint64_t from);

/**
 * Finds the position at which a ticket was accepted, in the local log or else
 * in the store.
 * @return 0, ERR_NOT_FOUND, or an error of the store
 */
int config_service_find_ticket(config_service_t *service, uint64_t number,
			       uint64_t *position);

void config_service_status(config_service_t *service,
			   config_service_status_t *status);

#endif
