/**
 * @file
 * Serves one model request from start to end: admission, choice of an engine,
 * attempts, relaying the answer, resuming.
 *
 * Resuming through another instance: the client sends the same body again with
 * `Last-Event-ID`. The instance first asks the engine named there to replay the
 * stream. If the engine no longer has the stream, the request continues on
 * another engine, provided that the body field `resume_text` is exactly the
 * text of all tokens received; otherwise the answer is ERR_STREAM_GONE.
 *
 * `X-Deadline-Ms` limits the time to the first token of a stream, or the time
 * to the complete answer if the client did not request a stream.
 */
#ifndef REQUEST_RELAY_H
#define REQUEST_RELAY_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/server.h"
#include "connection/upstream.h"
#include "process/crash_guard.h"
#include "process/fleet.h"
#include "request/chat.h"
#include "request/resume_token.h"
#include "version/config.h"

enum {
	/** Prefix of the request ids of a process, with its NUL, bytes. */
	RELAY_INSTANCE_MAX_BYTES = 24,
};

typedef struct relay_settings {
	const char *instance; /**< Unique name of this instance. */
	const char *cluster_key;
	uint32_t connect_timeout_ms;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
} relay_settings_t;

struct relay_job;

/** State shared by all model requests. */
typedef struct relay {
	relay_settings_t settings;
	fleet_t *fleet;
	upstream_pool_t *pool;
	crash_guard_t *guard;
	resume_key_t key;
	/** Prefix of request ids; differs after each restart. */
	char instance[RELAY_INSTANCE_MAX_BYTES];
	pthread_mutex_t lock;
	struct relay_job *jobs; /**< Requests in progress. */
	uint64_t request_count;
} relay_t;

/** A client's request whose body was received completely. */
typedef struct relay_request {
	server_request_t *client_request;
	const config_t *config;
	int32_t customer; /**< Index in `config`. */
	chat_kind_t kind;
} relay_request_t;

void relay_init(relay_t *relay, const relay_settings_t *settings,
		fleet_t *fleet, upstream_pool_t *pool, crash_guard_t *guard);
void relay_destroy(relay_t *relay);

/** Serves one request; always answers unless the client disconnects. */
void relay_serve(relay_t *relay, const relay_request_t *request);

/** Cancels all requests in progress with `reason`. @return how many */
uint32_t relay_cancel_all(relay_t *relay, int reason);

/** An operator's request to explain how a body would be routed. */
typedef struct relay_explain_request {
	const config_t *config;
	int32_t customer;      /**< Index in `config`. */
	const char *kind_name; /**< Value of X-Kind; or empty. */
	chat_kind_t kind;
	const char *body;
	size_t body_len;
} relay_explain_request_t;

/**
 * Returns the routing decision for a body as JSON; sends nothing.
 * @return a new reference; NULL after filling in `error` and `problem`
 */
json_t *relay_explain(relay_t *relay, const relay_explain_request_t *request,
		      server_error_t *error, chat_problem_t *problem);

/** Pool, urgency and prefix keys of a request. */
typedef struct relay_plan {
	const config_pool_t *pool;
	const config_model_t *model;
	int fleet_pool; /**< Index of `pool` in the fleet. */
	urgency_class_t urgency;
	prefix_t prefix;
} relay_plan_t;

/**
 * Determines the pool, urgency and prefix keys of a request.
 * @return 0, ERR_UNKNOWN_MODEL, ERR_BAD_FIELD or ERR_NO_ENDPOINT
 */
int relay_plan(relay_t *relay, const config_t *config, int32_t customer,
	       const char *kind_name, const chat_request_t *chat,
	       relay_plan_t *plan, chat_problem_t *problem);

#endif
