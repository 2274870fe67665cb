/**
 * @file
 * HTTP server on loopback whose answers a test writes as raw bytes, so that it
 * can truncate, repeat or corrupt them.
 */
#ifndef T_LIB_RAW_SERVER_H
#define T_LIB_RAW_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct raw_server raw_server_t;

/** One received request. */
typedef struct raw_request {
	int fd;
	const char *head; /**< Ends with the empty line. */
	const char *body;
	uint32_t earlier_requests; /**< Earlier ones on this connection. */
} raw_request_t;

/** What to do with the connection after an answer. */
typedef enum raw_next {
	RAW_KEEP,
	RAW_CLOSE,
	RAW_RESET,
} raw_next_t;

/** Answers one request; called on the thread of its connection. */
typedef raw_next_t raw_handler_t(void *context, const raw_request_t *request);

/** Starts a server on a free port of 127.0.0.1. */
raw_server_t *raw_server_start(raw_handler_t *handler, void *context);

/** Closes all connections and joins the threads. */
void raw_server_stop(raw_server_t *server);

uint16_t raw_server_port(const raw_server_t *server);

/** Calls the handler at the head of a request, and leaves the rest unread. */
void raw_server_answer_heads(raw_server_t *server);

/** Ends the answer, and waits until the peer has closed the connection. */
void raw_end_answer(const raw_request_t *request);

/** Sends formatted text; errors are ignored, as the peer may have closed. */
void raw_send(const raw_request_t *request, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * Sends a piece again and again, until the peer closes the connection or the
 * server stops.
 * @param pause_ms time between two pieces; 0 sends as fast as possible
 */
void raw_send_endless(const raw_request_t *request, const char *piece,
		      uint32_t pause_ms);

/** Copy of a header's value; free() it. NULL if absent. */
char *raw_header(const char *head, const char *name);

/**
 * Whether a client takes an answer for a whole one: it has all bytes of its
 * stated length, or the last chunk.
 */
bool raw_is_whole(const char *answer);

/**
 * Sends a request and reads until the peer closes the connection.
 * @return everything received; g_free() it
 */
char *raw_call(uint16_t port, const char *request);

/** As raw_call(), with a pause after `first_bytes` of the request, so that the
 * server reads it in two pieces. */
char *raw_call_in_pieces(uint16_t port, const char *request,
			 size_t first_bytes);

#endif
