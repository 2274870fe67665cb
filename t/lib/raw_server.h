/**
 * @file
 * A server on loopback whose answers a test writes byte by byte, so that it can
 * break off, repeat or spoil them.
 */
#ifndef T_LIB_RAW_SERVER_H
#define T_LIB_RAW_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct raw_server raw_server_t;

/** One request as it was read. */
typedef struct raw_request {
	int fd;
	const char *head; /**< With its empty line. */
	const char *body;
	uint32_t on_connection; /**< Requests on this connection before. */
} raw_request_t;

/** What becomes of the connection after an answer. */
typedef enum raw_next {
	RAW_KEEP,
	RAW_CLOSE,
	RAW_RESET,
} raw_next_t;

/** Answers one request; called on a thread of the connection. */
typedef raw_next_t raw_handler_t(void *context, const raw_request_t *request);

/** Starts on a free port of 127.0.0.1. */
raw_server_t *raw_server_start(raw_handler_t *handler, void *context);

/** Closes all connections and ends the threads. */
void raw_server_stop(raw_server_t *server);

uint16_t raw_server_port(const raw_server_t *server);

/** Sends text; errors are ignored, as the other side may be gone. */
void raw_send(const raw_request_t *request, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Value of a header in a head; free() it; NULL if absent. */
char *raw_header(const char *head, const char *name);

/**
 * Sends a request and reads until the other side ends the connection.
 * @return all that was read; g_free() it
 */
char *raw_request_send(uint16_t port, const char *request);

#endif
