/**
 * @file
 * Drives one model request end to end: admission, choice of an engine,
 * attempts, relay of the answer, resume.
 *
 * Resuming through another router: the caller sends the same body again with
 * `Last-Event-ID`. The router first asks the engine named there to replay the
 * stream. When the engine no longer holds it, the router continues on another
 * engine if the body has the field `resume_text` with exactly the text of all
 * tokens received; otherwise the answer is ERR_STREAM_GONE.
 *
 * `X-Deadline-Ms` limits the time to the first token of a stream, and the time
 * to the whole answer when the caller asked for no stream.
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

/** What all model requests of the process share. */
typedef struct relay {
	relay_settings_t settings;
	fleet_t *fleet;
	upstream_pool_t *pool;
	crash_guard_t *guard;
	resume_key_t key;
	char instance[RELAY_INSTANCE_MAX_BYTES];
	pthread_mutex_t lock;
	struct relay_job *jobs; /**< Requests in progress. */
	uint64_t request_count;
} relay_t;

/** A request as the server hands it over, with the body read. */
typedef struct relay_request {
	server_request_t *caller;
	const config_t *config;
	int32_t customer; /**< Index in `config`. */
	chat_kind_t kind;
} relay_request_t;

void relay_init(relay_t *relay, const relay_settings_t *settings,
		fleet_t *fleet, upstream_pool_t *pool, crash_guard_t *guard);
void relay_destroy(relay_t *relay);

/** Serves one request; always answers unless the caller is gone. */
void relay_serve(relay_t *relay, const relay_request_t *request);

/** Ends all requests in progress with an error. @return how many */
uint32_t relay_cancel_all(relay_t *relay, int reason);

/** What an operator asks to have explained. */
typedef struct relay_question {
	const config_t *config;
	int32_t customer;      /**< Index in `config`. */
	const char *kind_name; /**< As in X-Kind; or empty. */
	chat_kind_t kind;
	const char *body;
	size_t body_len;
} relay_question_t;

/**
 * Routing decision for a body as JSON, without sending anything.
 * @return a new reference; NULL after filling in `error` and `problem`
 */
json_t *relay_explain(relay_t *relay, const relay_question_t *question,
		      server_error_t *error, chat_problem_t *problem);

/** Settles the pool, urgency and prompt keys of a body. */
typedef struct relay_plan {
	const config_pool_t *pool;
	const config_model_t *model;
	int fleet_pool;
	urgency_class_t urgency;
	prefix_t prefix;
} relay_plan_t;

/** @return 0, ERR_UNKNOWN_MODEL, ERR_BAD_FIELD or ERR_NO_ENDPOINT */
int relay_plan(relay_t *relay, const config_t *config, int32_t customer,
	       const char *kind_name, const chat_request_t *chat,
	       relay_plan_t *plan, chat_problem_t *problem);

#endif
