/**
 * @file
 * A small deployment for the cases of the third review: the store, gateways
 * with the deploy file's command and settings template, model servers with a
 * KV cache, and consumers. All on loopback addresses.
 */
#ifndef REVIEW_STANDIN_3_DEPLOYMENT_H
#define REVIEW_STANDIN_3_DEPLOYMENT_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "t/lib/harness.h"
#include "t/lib/platform_store.h"
#include "t/lib/raw_server.h"

enum {
	/** Bounds of the small sites. */
	VERSION_MS = 8000,
	LEASE_MS = 3000,
	HEARTBEAT_MS = 1200,
	/** A server takes so long to load new weights. */
	LOAD_MS = 630,
	ENGINES_MAX_3 = 8,
	GATEWAYS_MAX_3 = 14,
	DESKS_3 = 2,
	/** `memory_mb` of the small sites. */
	MEMORY_MB = 96,
	PARTS_MAX_3 = 16,
};

/** One part of a prompt in a cache. */
typedef struct kv_part {
	char salt[64];
	char id[32];
	uint64_t made_version; /**< Of the weights that it was made under. */
} kv_part_t;

/** A cache: that of a model server, or the store of kept KV cache. */
typedef struct kv_cache {
	GArray *parts; /**< Of kv_part_t. */
} kv_cache_t;

typedef struct deployment deployment_t;

/** A model server. */
typedef struct engine {
	deployment_t *deployment;
	raw_server_t *server;
	char id[32];
	char address[32];
	uint64_t version; /**< Of its weights. */
	uint64_t loading; /**< Version that it loads; 0: none. */
	uint64_t loaded_at_ms;
	uint64_t orders; /**< Accepted ones. */
	uint64_t entries;
	kv_cache_t cache;
} engine_t;

/** A server of the plain service. */
typedef struct desk {
	deployment_t *deployment;
	raw_server_t *server;
	char id[32];
} desk_t;

struct deployment {
	pthread_mutex_t lock; /**< Guards all below. */
	FILE *record;
	uint64_t started_ms;
	platform_store_t *store;
	raw_server_t *kv_server;
	char kv_address[32];
	kv_cache_t kv_store;
	engine_t engines[ENGINES_MAX_3];
	int engine_count;
	desk_t desks[DESKS_3];
	char *folder; /**< Of the settings files. */
	program_t *gateways[GATEWAYS_MAX_3];
	char gateway_ip[GATEWAYS_MAX_3][32];
	int gateway_count;
	uint16_t front_port;
	uint16_t ready_port;
	uint16_t control_port;
	uint16_t first_port;
	/** Runs that used a part made under another version. */
	uint32_t stale_runs;
	uint32_t runs;
	uint32_t orders_run;
	/** Orders that a model server ran. */
	uint32_t orders_misrouted;
	uint32_t served; /**< Complete answers to consumers. */
	uint32_t sent;
};

/** Starts everything but consumers, and waits until all gateways are ready.
 * @return false if that takes too long */
bool deployment_start(deployment_t *deployment, const char *record_path,
		      int engines, int gateways);
void deployment_stop(deployment_t *deployment);

/** Ends the gateways only, and removes their settings. */
void deployment_stop_gateways(deployment_t *deployment);

/** Starts a gateway, or starts it again after its end. */
bool deployment_start_gateway(deployment_t *deployment, int index);

/** Appends a line to the record, with the time since the start. */
void deployment_note(deployment_t *deployment, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Writes a server's entry as the server does. */
void deployment_put_entry(engine_t *engine);

/** Names new weights for the model, as the operator does. */
void deployment_name_weights(deployment_t *deployment, int version);

/** Whether all model servers have these weights and load none. */
bool deployment_has_weights(deployment_t *deployment, uint64_t version);

/**
 * Sends one stream request as a consumer does, and reads the answer.
 * @param model_line header line of the model, with its line end
 * @return whether the answer is a complete success
 */
bool deployment_request(deployment_t *deployment, int gateway,
			const char *model_line, const char *prefix);

/** Sends one order, which may run once at most, and reads the answer.
 * @return whether the answer is a complete success */
bool deployment_order(deployment_t *deployment, int gateway);

#endif
