/**
 * @file
 * Connections of callers on one event loop.
 *
 * A connection carries one request at a time: the next one is parsed after the
 * answer has ended, and a pipelined one waits in the socket's buffer. A request
 * is handed on when its body is complete. All functions run on the thread of
 * the event loop.
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
	/** Output waiting for a slow caller above which sources pause, bytes.
	 * Two of the largest socket buffers a machine of 96 MB can afford for
	 * each of its connections. */
	INBOUND_OUTPUT_HIGH_WATERMARK_BYTES = 256 * 1024,
	/** Callers that take nothing for so long are gone, ms; two of the
	 * longest disturbances of a link. */
	INBOUND_WRITE_TIMEOUT_MS = 10000,
	/** How long a refused connection is read on, so that the refusal is
	 * not lost by a reset, ms; some round trips between regions. */
	INBOUND_LINGER_MS = 1000,
};

/** What a caller may send; read anew for each request. */
typedef struct inbound_limits {
	uint32_t head_max_bytes;
	uint32_t body_max_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
	/** Slowest body beyond the idle time-out; 0: only pauses count. */
	uint32_t body_min_bytes_per_ms;
} inbound_limits_t;

typedef struct inbound inbound_t;
typedef struct inbound_request inbound_request_t;

typedef struct inbound_callbacks {
	/** Limits in force now. */
	inbound_limits_t (*limits)(void *context);
	/** A whole request was read; it is answered now or later. */
	void (*request)(void *context, inbound_request_t *request);
	/** The caller left before its answer ended; the request is gone. */
	void (*client_gone)(void *context, inbound_request_t *request);
	/** Output that had passed the limit was sent. */
	void (*drained)(void *context, inbound_request_t *request);
	/**
	 * A connection ends because of what the caller sent. The answer has the
	 * status of the error table; `headers` takes whole lines.
	 */
	void (*refused)(void *context, int err, struct evbuffer *headers,
			struct evbuffer *body);
} inbound_callbacks_t;

/** What the user of the module may read of a request. */
struct inbound_request {
	const http_head_t *head;
	struct evbuffer *body;
	uint64_t received_ms; /**< Monotonic time of the last byte. */
	void *user_data;      /**< Of the user of the module. */
};

typedef struct inbound_options {
	socket_address_t address; /**< Port 0 picks one. */
	uint32_t connections_max;
	uint32_t output_high_watermark; /**< See
				       INBOUND_OUTPUT_HIGH_WATERMARK_BYTES. */
	/** A caller that takes nothing for so long is gone, ms. */
	uint32_t write_timeout_ms;
	const transport_t *transport;
	/** Bytes of unanswered bodies above which new ones are refused. */
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

/** Port in use. */
uint16_t inbound_port(const inbound_t *inbound);

/** Answers say `Connection: close` from now on. */
void inbound_stop(inbound_t *inbound);

/** Closes connections on which no request is in progress. */
void inbound_close_idle(inbound_t *inbound);

/** Number of open connections. */
uint32_t inbound_connection_count(const inbound_t *inbound);

/** Closes everything. */
void inbound_close(inbound_t *inbound);

/** A complete answer with a body of its own. `headers` holds whole lines. */
void inbound_answer(inbound_request_t *request, uint16_t status,
		    const char *headers, const void *body, size_t body_len);

/**
 * Begins an answer whose body follows.
 * @param headers whole header lines; its bytes are moved away
 * @param length of the body in bytes, or UINT64_MAX if it is not known
 */
void inbound_begin(inbound_request_t *request, uint16_t status,
		   struct evbuffer *headers, uint64_t length);

/**
 * Sends a piece of the body.
 * @return false if the source should pause until `drained`
 */
bool inbound_write(inbound_request_t *request, const void *bytes, size_t len);

/** The same for a buffer, whose bytes are moved away. */
bool inbound_write_buffer(inbound_request_t *request, struct evbuffer *piece);

/** Ends the answer; the request is gone afterwards. */
void inbound_finish(inbound_request_t *request);

/** Ends the connection so that the answer does not look complete. */
void inbound_abort(inbound_request_t *request);

#endif
