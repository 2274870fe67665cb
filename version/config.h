/**
 * @file
 * Immutable, reference-counted versions of the configuration.
 *
 * A request takes one reference and uses that version until it ends. The
 * current version is published with RCU; the read-side critical section covers
 * only the increment of the reference count.
 */
#ifndef VERSION_CONFIG_H
#define VERSION_CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/hash.h"

enum {
	/** Size of an object id or other identifier, bytes with the NUL. */
	CONFIG_ID_MAX_BYTES = 64,
	CONFIG_ADDRESS_MAX_BYTES = 46, /**< INET6_ADDRSTRLEN */
	CONFIG_HOURS_PER_DAY = 24,
	/** Value returned by the find functions when nothing matches. */
	CONFIG_NONE = -1,
};

/** Urgency classes; a lower value is more urgent. */
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
	/** Cache salt: customers with different salts share no prefixes. */
	char salt[CONFIG_ID_MAX_BYTES];
	uint32_t weight;	  /**< Weight in fair queueing; >= 1. */
	uint32_t rate_per_s;	  /**< Requests per second; 0: no limit. */
	uint32_t concurrency_max; /**< Open requests; 0: no limit. */
	int32_t urgency;	  /**< Index in `urgencies`, or CONFIG_NONE. */
	/** Pools this customer may use, as indices; JSON field `pools`. */
	int32_t *pools;
	size_t pool_count;
} config_customer_t;

/** `endpoint/<id>` */
typedef struct config_endpoint {
	char id[CONFIG_ID_MAX_BYTES];
	uint64_t id_hash; /**< hash_string() of `id`. */
	endpoint_kind_t kind;
	char address[CONFIG_ADDRESS_MAX_BYTES];
	uint16_t port;
	char domain[CONFIG_ID_MAX_BYTES]; /**< Failure domain. */
	int32_t pool;			  /**< Index in `pools`. */
	bool checks_fencing; /**< Rejects orders with an old fencing number. */
	bool leaving;	     /**< Shutting down; gets no new requests. */
	bool tls;
} config_endpoint_t;

/** `pool/<id>`: endpoints that serve the same model or plain service. */
typedef struct config_pool {
	char id[CONFIG_ID_MAX_BYTES];
	char model[CONFIG_ID_MAX_BYTES]; /**< Empty for plain services. */
	char adapter[CONFIG_ID_MAX_BYTES];
	char weights_version[CONFIG_ID_MAX_BYTES];
	char role[CONFIG_ID_MAX_BYTES];
	/** Store that engines load weights from; empty for the default. */
	char weight_store[CONFIG_ID_MAX_BYTES];
	/** Engines that must stay in service during a weights rollout. */
	uint32_t ready_min;
	/** Endpoints of this pool, indices in ascending order. */
	int32_t *endpoints;
	size_t endpoint_count;
} config_pool_t;

/** `model/<id>` */
typedef struct config_model {
	char id[CONFIG_ID_MAX_BYTES];
	uint32_t block_tokens; /**< Tokens in a block of the prefix cache. */
	uint32_t token_bytes;  /**< Assumed prompt bytes per token. */
	uint32_t prompt_tokens_max;
	/** Prefill rate of an engine for uncached tokens. */
	uint32_t prefill_tokens_per_s;
} config_model_t;

/** `route/<id>`: a plain service under `/svc/<id>/`. */
typedef struct config_route {
	char id[CONFIG_ID_MAX_BYTES];
	int32_t pool;		     /**< Index in `pools`. */
	char idempotent_methods[64]; /**< Comma-separated. */
	uint32_t timeout_ms;
} config_route_t;

/** One rule of an urgency object; the first match decides. */
typedef struct config_urgency_rule {
	char kind[CONFIG_ID_MAX_BYTES]; /**< Empty matches every kind. */
	uint8_t from_hour;		/**< Local hour, inclusive. */
	/** Exclusive; at or below from_hour the range passes midnight. */
	uint8_t to_hour;
	urgency_class_t urgency;
} config_urgency_rule_t;

/** `urgency/<id>` */
typedef struct config_urgency {
	char id[CONFIG_ID_MAX_BYTES];
	char time_zone[CONFIG_ID_MAX_BYTES]; /**< IANA name. */
	urgency_class_t fallback;	     /**< Class if no rule matches. */
	struct _GTimeZone *zone; /**< Loaded when the version is built. */
	config_urgency_rule_t *rules;
	size_t rule_count;
} config_urgency_t;

/** `limits/global` */
typedef struct config_limits {
	uint32_t body_max_bytes;
	uint32_t queue_max;	       /**< Queued requests per instance. */
	uint32_t retry_budget_percent; /**< Retries per hundred requests. */
	uint32_t attempts_max;	       /**< Attempts per request. */
	uint32_t endpoint_streams_max; /**< Open streams per endpoint. */
	/** How long a request that crashed several engines is rejected. */
	uint32_t quarantine_ms;
	/** Time limit of a request that states none. */
	uint32_t default_deadline_ms;
} config_limits_t;

/** One configuration version. The arrays are sorted by id. */
typedef struct config {
	/** Position in the log of change tickets; 0 before the first ticket. */
	uint64_t position;
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
	long refcount;
} config_t;

/** A validation error: object, field, and a text with the accepted values. */
typedef struct config_problem {
	char object[2 * CONFIG_ID_MAX_BYTES];
	char field[CONFIG_ID_MAX_BYTES];
	char text[160];
} config_problem_t;

/**
 * Validates all objects and builds a version from them.
 * @param objects JSON object that maps object keys to objects; the version
 *        keeps a reference
 * @param problem filled in on ERR_TICKET_INVALID
 * @return 0 with one reference in `*config`, ERR_TICKET_INVALID, or
 *         ERR_NO_MEMORY
 */
int config_build(uint64_t position, json_t *objects, config_t **config,
		 config_problem_t *problem);

/**
 * Returns the published version with a reference for the caller, who must
 * release it; NULL if none was published yet.
 */
config_t *config_acquire(void);

/** Drops a reference; NULL is allowed. */
void config_release(config_t *config);

/**
 * Publishes a version if its position is above that of the published one.
 * Takes ownership of the caller's reference in either case.
 * @return whether it was published
 */
bool config_publish(config_t *config);

static inline void config_cleanup(config_t **config)
{
	config_release(*config);
}

/** Releases the reference in a `config_t *` variable at scope exit. */
#define CLEANUP_CONFIG __attribute__((cleanup(config_cleanup)))

/** Index of an object by id, or CONFIG_NONE. */
int32_t config_find_customer(const config_t *config, const char *id);
int32_t config_find_endpoint(const config_t *config, const char *id);
int32_t config_find_pool(const config_t *config, const char *id);
int32_t config_find_model(const config_t *config, const char *id);
int32_t config_find_route(const config_t *config, const char *id);
int32_t config_find_urgency(const config_t *config, const char *id);

/** Customer with this API key, or CONFIG_NONE. */
int32_t config_find_customer_by_key(const config_t *config,
				    const char *api_key);

/** Whether a customer may use a pool. */
bool config_customer_has_pool(const config_customer_t *customer, int32_t pool);

/** First pool with this model that the customer may use, or CONFIG_NONE. */
int32_t config_find_customer_model(const config_t *config,
				   const config_customer_t *customer,
				   const char *model);

/** Whether a route treats a method as idempotent. */
bool config_route_is_idempotent(const config_route_t *route,
				const char *method);

/**
 * Urgency of a request.
 * @param kind kind of the request; empty if the client gave none
 * @param now_unix_s time of day in seconds since the epoch
 */
urgency_class_t config_urgency(const config_t *config,
			       const config_customer_t *customer,
			       const char *kind, int64_t now_unix_s);

/** Name of an urgency class in JSON, logs and metrics. */
const char *urgency_name(urgency_class_t urgency);

#endif
