/**
 * @file
 * Immutable snapshot that requests are routed with: the desired state, the
 * endpoints and the target weights. Published by RCU, with a reference count.
 */
#ifndef VERSION_VIEW_H
#define VERSION_VIEW_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/ref.h>

#include "process/endpoint_load.h"
#include "version/desired.h"

enum {
	/** Target versions of a model that are kept: those set during the 10 s
	 * in which an older version may still serve, at three a second. If
	 * there are more, engines that are further behind count as outdated
	 * for longer than they are. */
	VIEW_TARGET_VERSIONS_MAX = 32,
};

/** Weights version of one model at an endpoint. */
typedef struct model_weights {
	const char *model;
	uint64_t version;
} model_weights_t;

/** Target weights of one model: the last versions, newest first. */
typedef struct target_weights {
	char *model;
	uint32_t count; /**< At least 1. */
	uint64_t versions[VIEW_TARGET_VERSIONS_MAX];
	uint64_t known_since_ms[VIEW_TARGET_VERSIONS_MAX]; /**< Monotonic. */
} target_weights_t;

/** Entry of the endpoint list. The strings and models of an entry in a view
 * belong to the view. */
typedef struct endpoint_entry {
	const char *id;
	const char *service;
	const char *domain;	  /**< Failure domain. */
	const char *address_text; /**< IP:PORT */
	struct sockaddr_in address;
	uint32_t slots;
	uint32_t warm_up_ms;
	/** Version of its software, and its number; see software_number(). */
	const char *software_name;
	uint32_t software;
	bool draining;
	/** Time of its start; 0 if not known. */
	uint64_t started_unix_ms;
	uint64_t revision; /**< Of its last change in the store. */
	uint32_t model_count;
	model_weights_t *models;
	endpoint_load_t *load;
} endpoint_entry_t;

/** The endpoints of one service. */
typedef struct view_group {
	const endpoint_entry_t **entries;
	const uint64_t *id_hashes; /**< Of the entries, in order. */
	size_t count;
} view_group_t;

typedef struct view {
	struct urcu_ref ref;
	desired_state_t *desired;
	endpoint_entry_t *endpoints;
	size_t endpoint_count;
	view_group_t *groups; /**< One per service of the desired state. */
	/** Arrays behind the groups: entries and their id hashes by service. */
	const endpoint_entry_t **grouped;
	uint64_t *grouped_hashes;
	size_t weights_count;
	target_weights_t *weights;
	/** Arrays behind the endpoints: their strings and models. */
	char *texts;
	model_weights_t *models;
} view_t;

/**
 * Creates a view with one reference. It takes references of its own to the
 * desired state and to the loads of the endpoints, and copies the rest.
 * @return NULL when out of memory
 */
view_t *view_new(desired_state_t *desired, const endpoint_entry_t *endpoints,
		 size_t endpoint_count, const target_weights_t *weights,
		 size_t weights_count);

/**
 * Publishes a view for view_acquire() and drops the previous one after a grace
 * period. Takes over the caller's reference to `view`.
 */
void view_publish(view_t *view);

/** Returns the published view with a new reference; NULL if none yet. */
view_t *view_acquire(void);

/** Drops a reference; NULL is allowed. */
void view_put(view_t *view);

/** Target weights of a model; NULL if it has none. */
const target_weights_t *view_weights(const view_t *view, const char *model);

/** Adds a version if it is newer than all versions of the model so far. */
void target_weights_add(target_weights_t *target, uint64_t version,
			uint64_t now_ms);

/**
 * Time since a target version newer than `version` became known, ms; 0 if there
 * is none.
 */
uint64_t target_weights_outdated_ms(const target_weights_t *target,
				    uint64_t version, uint64_t now_ms);

/** Writes the key of one incarnation of an endpoint, of fixed length: a hash of
 * the id, and the start time. */
void endpoint_incarnation_key(const endpoint_entry_t *endpoint, char *key,
			      size_t size);

/**
 * Weights version of a model at an endpoint: from its entry or, if it has
 * one model only, from a newer answer or report; 0 if not known.
 */
uint64_t endpoint_weights(const endpoint_entry_t *endpoint, const char *model);

#endif
