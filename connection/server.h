/**
 * @file
 * HTTP server on CivetWeb: limits, timeouts, request access, answers built
 * from the error table and event streams.
 *
 * One thread serves one connection and one request, so the thread count bounds
 * the requests in progress. Reading a request and sending each part of an
 * answer are bounded by the caller timeout. A thread holds no answer data
 * beyond the part it is sending, so a slow caller slows down its endpoint.
 */
#ifndef CONNECTION_SERVER_H
#define CONNECTION_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/error.h"

typedef struct server server_t;
struct mg_connection;

/** One request while its handler runs. */
typedef struct server_request {
	struct mg_connection *connection;
	const char *method;
	const char *path;  /**< As sent, not decoded. */
	const char *query; /**< Without the question mark; or empty. */
	char *body;	   /**< After server_read_body(); NUL-terminated. */
	size_t body_len;
	int fd;	      /**< The caller's socket, or -1 if it is not known. */
	int status;   /**< HTTP status sent, or 0. */
	bool chunked; /**< Whether a streamed answer uses chunks. */
} server_request_t;

/** Serves one request; it must answer, or the connection is closed. */
typedef void server_handler_fn(void *context, server_request_t *request);

typedef struct server_settings {
	const char *address;
	uint32_t port;
	uint32_t thread_count;
	uint32_t thread_stack_bytes;
	/** Reading a request, and sending one part of an answer. */
	uint32_t caller_timeout_ms;
	uint32_t header_max_bytes; /**< Request line and all headers. */
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
 * @return NULL if the address cannot be used or memory is short
 */
server_t *server_start(const server_settings_t *settings);

/** Port in use, also when port 0 was asked for. */
uint32_t server_port(const server_t *server);

/** Stops listening and ends all threads; cuts requests in progress. */
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

/**
 * Reads the whole body.
 * @return 0, ERR_BODY_TOO_LARGE, ERR_BODY_INCOMPLETE or ERR_NO_MEMORY
 */
int server_read_body(server_request_t *request, size_t body_max_bytes);

/** Whether the caller has closed its connection. */
bool server_caller_gone(const server_request_t *request);

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
