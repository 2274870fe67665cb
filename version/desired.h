/**
 * @file
 * The desired state, that is the configuration that an operator sets on the
 * users' platform: one immutable version of routes, services, customers and
 * limits, with a reference count. The platform sets no limit to the length of a
 * name or the number of entries, other than the size of the object.
 */
#ifndef VERSION_DESIRED_H
#define VERSION_DESIRED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/ref.h>

enum {
	/** Priority of a customer without a priority of its own. */
	DESIRED_NO_PRIORITY = -1,
};

/** Kind of a route: whether its requests may be retried. */
typedef enum route_kind {
	ROUTE_IDEMPOTENT,     /**< Requests may be retried. */
	ROUTE_NON_IDEMPOTENT, /**< Runs at most once. */
	ROUTE_STREAM,	      /**< Event stream; see `resumable`. */
} route_kind_t;

typedef struct desired_split {
	uint32_t service; /**< Index into desired_state_t::services. */
	uint32_t weight;
} desired_split_t;

typedef struct desired_route {
	char *name;
	char *host;
	char *path_prefix;
	route_kind_t kind;
	bool resumable; /**< Stream may resume at another endpoint. */
	bool anonymous; /**< No API key needed. */
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t gap_target_ms; /**< For the longest gap between events. */
	uint32_t attempts_max;	/**< Most attempts, each at a new endpoint. */
	int32_t priority;	/**< 0 is the most urgent. */
	uint32_t split_count;
	desired_split_t *splits;
} desired_route_t;

/** Capacity of each engine of a service. */
typedef struct desired_engine {
	uint32_t slots;
	uint64_t cache_tokens;
	uint64_t token_bytes;
	double link_mbps;
} desired_engine_t;

typedef enum service_role {
	SERVICE_PLAIN,
	SERVICE_ENGINE,
	SERVICE_CACHE_STORE, /**< Stores KV cache; serves no requests. */
} service_role_t;

typedef struct desired_service {
	char *name;
	char *domain;	     /**< Failure domain of a cache store. */
	char *cache_address; /**< IP:PORT of a cache store. */
	service_role_t role;
	uint32_t connections_max;
	desired_engine_t engine;
} desired_service_t;

typedef struct desired_customer {
	char *name;
	int32_t priority; /**< Or DESIRED_NO_PRIORITY. */
	bool isolated;	  /**< Shares no cache with other customers. */
	/** Tokens, or requests, per second; 0: no limit. */
	uint64_t rate_per_s;
	uint64_t burst;	       /**< Above the rate; not 0 if there is one. */
	bool counts_tokens;    /**< Else each request costs 1. */
	uint64_t plain_tokens; /**< Cost of one that states no tokens. */
} desired_customer_t;

typedef struct desired_key {
	char *text;
	uint32_t customer;
	struct desired_key *next;
} desired_key_t;

typedef struct desired_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} desired_limits_t;

typedef struct desired_state {
	struct urcu_ref ref;
	uint64_t version;  /**< Set by the operator; never decreases. */
	uint64_t revision; /**< Of the object in the store. */
	desired_limits_t limits;
	desired_route_t *routes;
	size_t route_count;
	desired_service_t *services;
	size_t service_count;
	desired_customer_t *customers;
	size_t customer_count;
	bool has_customers; /**< Requests need a key. */
	desired_key_t **key_buckets;
	size_t bucket_count; /**< A power of two, or 0. */
} desired_state_t;

/** An empty state with one reference; NULL when out of memory. */
desired_state_t *desired_new(void);

/** Adds and drops a reference. */
void desired_get(desired_state_t *state);
void desired_put(desired_state_t *state);

/** Allocates the hash table for `count` keys; 0 or ERR_NO_MEMORY. */
int desired_reserve_keys(desired_state_t *state, size_t count);

/** Adds an API key of a customer; 0 or ERR_NO_MEMORY. */
int desired_add_key(desired_state_t *state, const char *text,
		    uint32_t customer);

/** Customer with an API key; NULL if there is none. */
const desired_customer_t *desired_find_key(const desired_state_t *state,
					   const char *text);

/**
 * Route of a request: the one with its host and the longest matching path
 * prefix; NULL if none matches.
 * @param host may end in a port
 * @param target path and query
 */
const desired_route_t *desired_find_route(const desired_state_t *state,
					  const char *host, const char *target);

/**
 * Picks a service of a route at random, by weight.
 * @param random_value uniform random number
 * @return index into desired_state_t::services
 */
uint32_t desired_pick_service(const desired_route_t *route,
			      uint64_t random_value);

#endif
