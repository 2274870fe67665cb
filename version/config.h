/**
 * @file
 * One immutable version of the configuration, with counted references.
 *
 * A request takes a reference once and uses the same version to its end. The
 * current version is published by RCU; the read section covers only taking
 * the reference.
 */
#ifndef VERSION_CONFIG_H
#define VERSION_CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/hash.h"

enum {
	/** Longest object name or other identifier with its NUL, bytes. */
	CONFIG_ID_MAX_BYTES = 64,
	CONFIG_ADDRESS_MAX_BYTES = 46,
	CONFIG_HOURS_PER_DAY = 24,
	/** Value returned by the find functions when nothing matches. */
	CONFIG_NONE = -1,
};

/** Urgency classes; the lower, the more urgent. */
typedef enum urgency_class {
	URGENCY_URGENT = 0,
	URGENCY_NORMAL = 1,
	URGENCY_DEFERRABLE = 2,
	URGENCY_COUNT = 3,
} urgency_class_t;

typedef enum endpoint_kind {
	ENDPOINT_ENGINE,
	ENDPOINT_PLAIN,
} endpoint_kind_t;

/** `customer/<id>` */
typedef struct config_customer {
	char id[CONFIG_ID_MAX_BYTES];
	/** SHA-256 of the API key, hex; JSON field `key_sha256`. */
	char key_digest[HASH_DIGEST_HEX_BYTES];
	char salt[CONFIG_ID_MAX_BYTES];
	uint32_t weight;	  /**< Share when capacity is short; >= 1. */
	uint32_t rate_per_s;	  /**< Requests; 0 for no limit. */
	uint32_t concurrency_max; /**< Open requests; 0 for no limit. */
	int32_t urgency;	  /**< Index, or CONFIG_NONE. */
	/** Pools this customer may reach; JSON field `pools`. */
	int32_t *pools;
	size_t pool_count;
} config_customer_t;

/** `endpoint/<id>` */
typedef struct config_endpoint {
	char id[CONFIG_ID_MAX_BYTES];
	uint64_t id_hash;
	endpoint_kind_t kind;
	char address[CONFIG_ADDRESS_MAX_BYTES];
	uint16_t port;
	char domain[CONFIG_ID_MAX_BYTES]; /**< Failure domain. */
	int32_t pool;			  /**< Index. */
	bool checks_fencing;
	bool leaving;
	bool tls;
} config_endpoint_t;

/** `pool/<id>`: endpoints that serve the same model or plain service. */
typedef struct config_pool {
	char id[CONFIG_ID_MAX_BYTES];
	char model[CONFIG_ID_MAX_BYTES]; /**< Empty for plain services. */
	char adapter[CONFIG_ID_MAX_BYTES];
	char weights_version[CONFIG_ID_MAX_BYTES];
	char role[CONFIG_ID_MAX_BYTES];
	char weight_store[CONFIG_ID_MAX_BYTES];
	/** Engines that must stay in service during a roll-out. */
	uint32_t ready_min;
	/** Endpoints of this pool, indices in ascending order. */
	int32_t *endpoints;
	size_t endpoint_count;
} config_pool_t;

/** `model/<id>` */
typedef struct config_model {
	char id[CONFIG_ID_MAX_BYTES];
	uint32_t block_tokens;
	uint32_t token_bytes; /**< Rendered bytes for each token. */
	uint32_t prompt_tokens_max;
	/** Prompt tokens an engine computes each second when not cached. */
	uint32_t prefill_tokens_per_s;
} config_model_t;

/** `route/<id>`: a plain service under `/svc/<id>/`. */
typedef struct config_route {
	char id[CONFIG_ID_MAX_BYTES];
	int32_t pool;		     /**< Index. */
	char idempotent_methods[64]; /**< Comma-separated. */
	uint32_t timeout_ms;
} config_route_t;

/** One rule of an urgency object; the first match decides. */
typedef struct config_urgency_rule {
	char kind[CONFIG_ID_MAX_BYTES]; /**< Empty matches every kind. */
	uint8_t from_hour;		/**< Local hour, inclusive. */
	uint8_t to_hour; /**< Exclusive; below from_hour it wraps. */
	urgency_class_t urgency;
} config_urgency_rule_t;

/** `urgency/<id>` */
typedef struct config_urgency {
	char id[CONFIG_ID_MAX_BYTES];
	char time_zone[CONFIG_ID_MAX_BYTES]; /**< IANA name. */
	urgency_class_t fallback;
	struct _GTimeZone *zone; /**< Loaded when the version is built. */
	config_urgency_rule_t *rules;
	size_t rule_count;
} config_urgency_t;

/** `limits/global` */
typedef struct config_limits {
	uint32_t body_max_bytes;
	uint32_t queue_max;	       /**< Waiting requests an instance. */
	uint32_t retry_budget_percent; /**< Retries a hundred requests. */
	uint32_t attempts_max;	       /**< Attempts a request. */
	uint32_t endpoint_streams_max; /**< Streams an endpoint runs at once. */
	uint32_t quarantine_ms;
	uint32_t default_deadline_ms;
} config_limits_t;

/** One configuration version. Arrays are sorted by id. */
typedef struct config {
	uint64_t position; /**< Log position; 0 before the first ticket. */
	config_customer_t *customers;
	size_t customer_count;
	config_endpoint_t *endpoints;
	size_t endpoint_count;
	config_pool_t *pools;
	size_t pool_count;
	config_model_t *models;
	size_t model_count;
	config_route_t *routes;
	size_t route_count;
	config_urgency_t *urgencies;
	size_t urgency_count;
	config_limits_t limits;
	/** The objects this version was built from, for snapshots. */
	json_t *objects;
	long references;
} config_t;

/** Text of a validation error: object, field and what is accepted. */
typedef struct config_problem {
	char object[2 * CONFIG_ID_MAX_BYTES];
	char field[CONFIG_ID_MAX_BYTES];
	char text[160];
} config_problem_t;

/**
 * Builds a version from all its objects.
 * @param objects JSON object: object key to state; a reference is kept
 * @param problem filled in on ERR_TICKET_INVALID
 * @return 0 with one reference in `*config`, ERR_TICKET_INVALID, or
 *         ERR_NO_MEMORY
 */
int config_build(uint64_t position, json_t *objects, config_t **config,
		 config_problem_t *problem);

/** Takes the published version; NULL before the first. Drop after use. */
config_t *config_acquire(void);

/** Drops a reference; NULL is allowed. */
void config_release(config_t *config);

/**
 * Publishes a version if its position is above the published one, and takes
 * over the caller's reference either way.
 * @return whether it was published
 */
bool config_publish(config_t *config);

static inline void config_cleanup(config_t **config)
{
	config_release(*config);
}

/** Drops the reference in a `config_t *` variable at scope exit. */
#define CLEANUP_CONFIG __attribute__((cleanup(config_cleanup)))

/** Index of an object by id, or CONFIG_NONE. */
int32_t config_find_customer(const config_t *config, const char *id);
int32_t config_find_endpoint(const config_t *config, const char *id);
int32_t config_find_pool(const config_t *config, const char *id);
int32_t config_find_model(const config_t *config, const char *id);
int32_t config_find_route(const config_t *config, const char *id);
int32_t config_find_urgency(const config_t *config, const char *id);

/** Customer with this API key, or CONFIG_NONE. */
int32_t config_find_key(const config_t *config, const char *api_key);

/** Whether a customer may reach a pool. */
bool config_customer_has_pool(const config_customer_t *customer, int32_t pool);

/** Pool with this model that the customer may reach, or CONFIG_NONE. */
int32_t config_find_customer_model(const config_t *config,
				   const config_customer_t *customer,
				   const char *model);

/** Whether a route treats a method as idempotent. */
bool config_route_is_idempotent(const config_route_t *route,
				const char *method);

/**
 * Urgency of a request.
 * @param kind kind of the request; empty if the caller named none
 * @param now_unix_s time of day in seconds since the epoch
 */
urgency_class_t config_urgency(const config_t *config,
			       const config_customer_t *customer,
			       const char *kind, int64_t now_unix_s);

/** Name of an urgency class in JSON, logs and metrics. */
const char *urgency_name(urgency_class_t urgency);

#endif
