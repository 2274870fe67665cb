/**
 * @file
 * HTTP server for handlers that wait: request access, answers built from the
 * error table, and event streams.
 *
 * Connections live on one event loop (connection/inbound), so an open one costs
 * no thread. A request that was read whole is handed to one of a fixed number
 * of threads, which bounds the requests in progress. Reading a request and
 * sending each part of an answer are bounded by the caller timeout. A thread
 * waits while more than SERVER_OUTPUT_HIGH_BYTES are on their way, so a slow
 * caller slows down its endpoint.
 */
#ifndef CONNECTION_SERVER_H
#define CONNECTION_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/cancel.h"
#include "connection/http_head.h"
#include "process/error.h"

enum {
	/** Answer bytes on their way to a caller above which its thread waits;
	 * a socket's buffer holds some times as much. */
	SERVER_OUTPUT_HIGH_BYTES = 16 * 1024,
};

typedef struct server server_t;
struct server_job;

/** One request while its handler runs. */
typedef struct server_request {
	struct server_job *job;
	const http_head_t *head;
	const char *method;
	const char *path;  /**< As sent, not decoded. */
	const char *query; /**< Without the question mark; or empty. */
	const char *body;  /**< NUL-terminated. */
	size_t body_len;
	cancel_t gone; /**< Set when the caller closes its connection. */
	int status;    /**< HTTP status sent, or 0. */
} server_request_t;

/** Serves one request; an answer that it does not end is cut. */
typedef void server_handler_fn(void *context, server_request_t *request);

typedef struct server_settings {
	const char *address;
	uint32_t port;
	uint32_t thread_count;
	uint32_t thread_stack_bytes;
	/** Reading a request, and sending one part of an answer. */
	uint32_t client_timeout_ms;
	uint32_t header_max_bytes; /**< Request line and all headers. */
	/** Largest body that any handler takes now. */
	uint32_t (*body_max_bytes)(void *context);
	/** PEM file with certificate and key; NULL for plain HTTP. */
	const char *tls_certificate;
	server_handler_fn *handle;
	void *context;
} server_settings_t;

/** A refusal; fields left at zero are taken from the error table. */
typedef struct server_error {
	int err;
	const char *text;
	/** Overrides the run state of the table. */
	bool has_run_state;
	run_state_t run_state;
	uint32_t retry_after_ms;
} server_error_t;

/**
 * Starts the threads and listens.
 * @return NULL if the address or the certificate cannot be used, or memory is
 *         short
 */
server_t *server_start(const server_settings_t *settings);

/** Port in use, also when port 0 was asked for. */
uint32_t server_port(const server_t *server);

/** Cuts requests in progress, closes all connections and ends all threads. */
void server_stop(server_t *server);

/** Value of a request header, or NULL. */
const char *server_header(const server_request_t *request, const char *name);

/**
 * Request header by number, from 0.
 * @return false past the last one
 */
bool server_header_at(const server_request_t *request, int index,
		      const char **name, const char **value);

/** Key in `Authorization: Bearer`, or NULL. */
const char *server_bearer_key(const server_request_t *request);

/** 0, or ERR_BODY_TOO_LARGE above the handler's own limit. */
int server_check_body(const server_request_t *request, size_t body_max_bytes);

/** Whether the caller has closed its connection. */
bool server_client_gone(server_request_t *request);

/**
 * Sends a whole answer.
 * @param headers more header lines, each with CR LF; or NULL
 * @return 0, ERR_CANCELLED if the caller is gone, or ERR_SLOW_READER
 */
int server_answer(server_request_t *request, int status,
		  const char *content_type, const char *headers,
		  const char *body, size_t body_len);

/** Sends a refusal in the form of the error table. */
int server_answer_error(server_request_t *request, const server_error_t *error);

/** Body of a refusal; to free(). NULL when out of memory. */
char *server_error_body(const server_error_t *error);

/** Starts an answer whose length is not known yet; errors as above. */
int server_stream_begin(server_request_t *request, int status,
			const char *content_type, const char *headers);

/** Sends a part of a streamed answer; errors as above. */
int server_stream_write(server_request_t *request, const char *bytes,
			size_t len);

/**
 * Marks a streamed answer as complete. Without it the caller sees that the
 * answer was cut.
 */
int server_stream_end(server_request_t *request);

#endif
