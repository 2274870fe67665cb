/**
 * @file
 * HTTP/1.1 connections that clients open, on one event loop.
 *
 * A connection carries one request at a time: the next one is parsed after the
 * answer has ended, and a pipelined one waits in the input buffer. The
 * `request` callback is called once the body is complete. All functions run on
 * the thread of the event loop.
 */
#ifndef CONNECTION_INBOUND_H
#define CONNECTION_INBOUND_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/http_head.h"
#include "connection/transport.h"
#include "process/socket_address.h"

enum {
	/** Output buffered for a slow client above which its source should
	 * pause, bytes: twice the largest socket buffer per connection that a
	 * machine with 96 MB can afford. */
	INBOUND_OUTPUT_HIGH_WATERMARK_BYTES = 256 * 1024,
	INBOUND_OUTPUT_LOW_WATERMARK_BYTES = 16 * 1024,
	/** A client that reads nothing for this long counts as disconnected,
	 * ms: twice the longest expected network disturbance. */
	INBOUND_WRITE_TIMEOUT_MS = 10000,
	/** How long input is discarded after the last answer of a connection,
	 * ms. If the connection were closed at once, a TCP reset could make the
	 * client lose the answer. Several round trips between regions. */
	INBOUND_LINGER_MS = 1000,
};

/** Limits for what a client sends; queried again for each request. */
typedef struct inbound_limits {
	uint32_t head_max_bytes;
	uint32_t body_max_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
	/** Minimum rate of a body, on top of the idle timeout; 0 limits only
	 * the pauses between bytes. */
	uint32_t body_min_bytes_per_ms;
} inbound_limits_t;

typedef struct inbound inbound_t;
typedef struct inbound_request inbound_request_t;

typedef struct inbound_callbacks {
	/** Limits in force now. */
	inbound_limits_t (*limits)(void *context);
	/** A complete request was read. It may be answered during this call or
	 * later. */
	void (*request)(void *context, inbound_request_t *request);
	/** The client disconnected before its answer ended; the request must
	 * not be used any more. */
	void (*client_gone)(void *context, inbound_request_t *request);
	/** All output was sent after it had exceeded the high watermark. */
	void (*drained)(void *context, inbound_request_t *request);
	/**
	 * A request is refused and the connection closed because of what the
	 * client sent. The answer's status is that of `err` in the error table.
	 * The callback adds a body and complete header lines to the buffers.
	 */
	void (*refused)(void *context, int err, struct evbuffer *headers,
			struct evbuffer *body);
} inbound_callbacks_t;

/** The public part of a request. */
struct inbound_request {
	const http_head_t *head;
	struct evbuffer *body;
	uint64_t received_ms; /**< Monotonic time of its last byte. */
	void *user_data;      /**< For the callbacks; not used by the module. */
};

typedef struct inbound_options {
	socket_address_t address; /**< Port 0 lets the system choose. */
	uint32_t connections_max;
	/** Bytes; see INBOUND_OUTPUT_HIGH_WATERMARK_BYTES. */
	uint32_t output_high_watermark;
	/** Unsent bytes of all connections above which a source pauses from
	 * INBOUND_OUTPUT_LOW_WATERMARK_BYTES on; 0: no limit. */
	uint64_t output_total_max_bytes;
	/** See INBOUND_WRITE_TIMEOUT_MS. */
	uint32_t write_timeout_ms;
	const transport_t *transport; /**< NULL for plain TCP. */
	/** Total bytes of bodies of unanswered requests above which further
	 * bodies are refused. */
	uint64_t body_total_max_bytes;
	const inbound_callbacks_t *callbacks;
	void *context;
} inbound_options_t;

/**
 * Opens a listener.
 * @return 0, ERR_LIMIT if the address cannot be bound, ERR_NO_MEMORY
 */
int inbound_open(struct event_base *base, const inbound_options_t *options,
		 inbound_t **inbound);

/** Port of the listener, or 0. */
uint16_t inbound_port(const inbound_t *inbound);

/** From now on answers have `Connection: close`. */
void inbound_stop(inbound_t *inbound);

/** Accepts the connections that the system has established, then closes the
 * listener, so that the system refuses others. */
void inbound_stop_accepting(inbound_t *inbound);

/**
 * Refuses requests that are not completely read, and closes their connections
 * once the answers are sent.
 * @param err as for the `refused` callback
 */
void inbound_refuse_unread(inbound_t *inbound, int err);

/** Closes connections on which no request is in progress. */
void inbound_close_idle(inbound_t *inbound);

/** Number of open connections. */
uint32_t inbound_connection_count(const inbound_t *inbound);

/** Bytes of answers that have not left the process. */
uint64_t inbound_unsent_bytes(const inbound_t *inbound);

/** Closes the listener and all connections. */
void inbound_close(inbound_t *inbound);

/**
 * Sends a complete answer.
 * @param headers complete header lines, each with CR LF; or NULL
 */
void inbound_answer(inbound_request_t *request, uint16_t status,
		    const char *headers, const void *body, size_t body_len);

/** The same for header lines in a buffer, whose bytes are moved out of it. */
void inbound_answer_buffer(inbound_request_t *request, uint16_t status,
			   struct evbuffer *headers, const void *body,
			   size_t body_len);

/**
 * Starts an answer whose body follows.
 * @param headers complete header lines; its bytes are moved out of the buffer
 * @param length of the body in bytes, or UINT64_MAX if it is not known
 */
void inbound_begin(inbound_request_t *request, uint16_t status,
		   struct evbuffer *headers, uint64_t length);

/**
 * Sends a chunk of the body.
 * @return false if the source should pause until the `drained` callback
 */
bool inbound_write(inbound_request_t *request, const void *bytes, size_t len);

/** The same for a buffer, whose bytes are moved out of it. */
bool inbound_write_buffer(inbound_request_t *request, struct evbuffer *chunk);

/** Ends the answer; the request must not be used afterwards. */
void inbound_finish(inbound_request_t *request);

/**
 * Closes the connection so that the client can tell that the answer is not
 * complete. The request must not be used afterwards.
 */
void inbound_abort(inbound_request_t *request);

#endif
