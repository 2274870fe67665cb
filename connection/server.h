/**
 * @file
 * HTTP server with blocking handlers: access to requests, answers built from
 * the error table, and event streams.
 *
 * All connections are served by one event loop (connection/inbound), so an open
 * connection needs no thread. A request whose body is complete is handed to one
 * of a fixed number of threads, which limits the requests in progress. Reading
 * a request and sending each chunk of an answer are limited by the client
 * timeout. A handler's thread blocks while more than
 * SERVER_OUTPUT_HIGH_WATERMARK_BYTES are unsent, so that a slow client slows
 * down its endpoint.
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
	/** Unsent answer bytes above which the handler's thread blocks; a
	 * socket buffer holds several times as much. */
	SERVER_OUTPUT_HIGH_WATERMARK_BYTES = 16 * 1024,
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
	/** Set when the client closes its connection, or by server_stop(). */
	cancel_t client_gone;
	int status; /**< HTTP status sent, or 0. */
} server_request_t;

/**
 * Serves one request. If it returns before the answer is complete, the
 * connection is closed, so that the client sees a truncated answer.
 */
typedef void server_handler_fn(void *context, server_request_t *request);

typedef struct server_settings {
	const char *address;
	uint32_t port;
	uint32_t thread_count;
	uint32_t thread_stack_bytes;
	/** Limit for reading a request and for sending a chunk of an answer. */
	uint32_t client_timeout_ms;
	uint32_t header_max_bytes; /**< Request line and all headers. */
	/** Returns the current largest body size of all handlers, bytes. */
	uint32_t (*body_max_bytes)(void *context);
	/** PEM file with certificate and key; NULL for plain HTTP. */
	const char *tls_certificate;
	server_handler_fn *handle;
	void *context;
} server_settings_t;

/** An error answer; fields left at zero are taken from the error table. */
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
 * @return NULL if the address or the certificate cannot be used, or when out of
 *         memory
 */
server_t *server_start(const server_settings_t *settings);

/** Port that the server listens on, also if the settings say port 0. */
uint32_t server_port(const server_t *server);

/**
 * Stops to read requests, waits for all handlers and until their answers are
 * sent, closes all connections. `client_gone` of requests in progress is set:
 * to ERR_STOPPING if an answer can still be sent, else to ERR_CANCELLED.
 */
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

/** Whether the client has closed its connection. */
bool server_client_gone(server_request_t *request);

/**
 * Sends a complete answer.
 * @param headers more header lines, each with CR LF; or NULL
 * @return 0, ERR_CANCELLED if the client closed its connection,
 *         ERR_SLOW_READER if it reads too slowly, or ERR_NO_MEMORY
 */
int server_answer(server_request_t *request, int status,
		  const char *content_type, const char *headers,
		  const char *body, size_t body_len);

/** Sends an error answer with the values of the error table. */
int server_answer_error(server_request_t *request, const server_error_t *error);

/** JSON body of an error answer; free() it. NULL when out of memory. */
char *server_error_body(const server_error_t *error);

/** Starts an answer whose length is not known yet; errors as above. */
int server_stream_begin(server_request_t *request, int status,
			const char *content_type, const char *headers);

/** Sends a chunk of a streamed answer; errors as above. */
int server_stream_write(server_request_t *request, const char *bytes,
			size_t len);

/**
 * Marks a streamed answer as complete. Without it the client sees a truncated
 * answer.
 */
int server_stream_end(server_request_t *request);

#endif
