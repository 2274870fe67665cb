/**
 * @file
 * Gateways as real processes, with endpoints and a store that a test plays.
 */
#ifndef T_LIB_PLATFORM_RIG_H
#define T_LIB_PLATFORM_RIG_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "t/lib/harness.h"
#include "t/lib/platform_store.h"
#include "t/lib/raw_server.h"

/** Header lines of a request for the engines of a rig. */
#define MODEL "Model: m\r\nToken-Usage: 100,4\r\nPrompt-Prefix: a:50,b:50\r\n"

enum {
	ENDPOINTS = 2,
	GATEWAYS_MAX = 3,
	EVENTS = 4,
};

/** How an endpoint answers requests. */
typedef enum behaviour {
	ANSWER,
	REFUSE,		  /**< Not run. */
	FAIL,		  /**< Run, with an error of its own. */
	RESET_CONNECTION, /**< Run, and the connection is reset. */
	WRONG_ID_FIRST,	  /**< An answer to another request comes first. */
	CUT_EVENT,	  /**< A stream ends within its third event. */
	NO_LENGTH,	  /**< The answer ends with its connection. */
	HOLD,		  /**< Answers when the test says so. */
	STALL,		  /**< A stream goes silent after two events. */
} behaviour_t;

typedef struct endpoint {
	raw_server_t *server;
	char id[16];
	const char *service;
	int order;
	_Atomic int behaviour;
	_Atomic bool released;
	_Atomic uint32_t arrivals;
	_Atomic uint32_t orders;
	_Atomic uint64_t weights;
	pthread_mutex_t lock;
	char *last_head;
	/** Called for each request that the endpoint runs; may be NULL. */
	void (*ran)(void *context, const struct endpoint *endpoint,
		    const char *id);
	void *context;
	platform_store_t *store; /**< Where it writes its own entry. */
} endpoint_t;

typedef struct world {
	platform_store_t *store;
	endpoint_t plain[ENDPOINTS];
	endpoint_t engines[ENDPOINTS];
	program_t *gateways[GATEWAYS_MAX];
	uint16_t ports[GATEWAYS_MAX];
	uint16_t ready_ports[GATEWAYS_MAX];
	uint16_t peer_ports[GATEWAYS_MAX];
} platform_rig_t;

/** Starts the store, endpoints and gateways, and waits until they are ready. */
void platform_rig_start(platform_rig_t *world, int gateways);
void platform_rig_stop(platform_rig_t *world);

/** Starts a gateway, or starts it again on its ports. */
void platform_rig_start_gateway(platform_rig_t *world, int at);

/** Whether a gateway says that it is ready. */
bool platform_rig_is_ready(platform_rig_t *world, int gateway);

/** Writes an endpoint's entry of the server list. */
void platform_rig_put_entry(endpoint_t *endpoint, const char *state);

/** Writes a desired state in which the customer has one key; another one that
 * is isolated has the key `key-w`. */
void platform_rig_put_desired(platform_rig_t *world, int version,
			      const char *key);

void platform_rig_put_target_weights(platform_rig_t *world, int version);

/** Asks a gateway and reads to the end of the connection; g_free() it. */
char *platform_rig_request(const platform_rig_t *world, int gateway,
			   const char *method, const char *path,
			   const char *more);

/** Requests that both endpoints of a service got. */
uint32_t platform_rig_arrivals(const endpoint_t *endpoints);

void platform_rig_set_behaviour(endpoint_t *endpoints, behaviour_t behaviour);

/** The endpoint that got requests. */
const endpoint_t *platform_rig_used_endpoint(const endpoint_t *endpoints);

#endif
