/**
 * @file
 * Connections to endpoints and other HTTP/1.1 servers on one event loop.
 *
 * A call is sent exactly once, on an idle pooled connection or a new one; it is
 * never retried here. Idle connections are closed after their keep-alive time.
 * A connection whose state is uncertain is closed: after unsolicited bytes, an
 * answer before the request was sent, or a cancelled call.
 */
#ifndef CONNECTION_OUTBOUND_H
#define CONNECTION_OUTBOUND_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/http_head.h"
#include "connection/transport.h"
#include "process/socket_address.h"

enum {
	/** Largest key of a target including its NUL, bytes. */
	OUTBOUND_KEY_MAX_BYTES = 96,
	/** An idle connection is not reused in the last part of the keep-alive
	 * timeout that the server stated, ms: covers a round trip between
	 * regions and a late timer. */
	OUTBOUND_IDLE_MARGIN_MS = 400,
	/** How long an idle connection is reused if the server stated no
	 * keep-alive timeout, ms. */
	OUTBOUND_IDLE_DEFAULT_MS = 400,
	/** Most bytes of interim answers and answers to other requests that one
	 * call skips; more are taken for an answer without end. */
	OUTBOUND_SKIPPED_MAX_BYTES = 1024 * 1024,
};

typedef struct outbound outbound_t;
typedef struct outbound_call outbound_call_t;

/** How a call ended. */
typedef enum outbound_result {
	OUTBOUND_COMPLETE,  /**< The complete answer was read. */
	OUTBOUND_NOT_SENT,  /**< No byte of the request was sent. */
	OUTBOUND_LOST,	    /**< Sent, but no complete answer arrived. */
	OUTBOUND_MALFORMED, /**< Sent, but the answer is not valid HTTP, or too
			     * many bytes were skipped. */
} outbound_result_t;

/**
 * Callbacks of a call, called in this order. After `end` the call must not be
 * used any more.
 */
typedef struct outbound_callbacks {
	/** A new connection is established, for a call whose message follows by
	 * outbound_write(). */
	void (*ready)(void *context);
	/** Whether an answer belongs to this call; others are skipped. */
	bool (*matches_call)(void *context, const http_head_t *head);
	void (*head)(void *context, const http_head_t *head);
	void (*body)(void *context, const char *bytes, size_t len);
	void (*end)(void *context, outbound_result_t result);
} outbound_callbacks_t;

/** Destination of a call. */
typedef struct outbound_target {
	/** Idle connections are pooled by this key, which differs for each
	 * incarnation of an endpoint. */
	char key[OUTBOUND_KEY_MAX_BYTES];
	socket_address_t address;
	const transport_t *transport; /**< NULL for plain TCP. */
	uint32_t connections_max;     /**< Under this key. */
	uint32_t connect_timeout_ms;
	/** TCP_USER_TIMEOUT: bytes that stay unacknowledged for this long end a
	 * connection, ms; 0 for the system's default. It also decides when
	 * keep-alive gives up. */
	uint32_t user_timeout_ms;
	/** Closing a connection discards bytes that have not arrived yet. */
	bool reset_on_close;
} outbound_target_t;

/**
 * When the system ends an idle connection whose path is dead, ms after the last
 * byte: at the first keep-alive probe from user_timeout_ms on, once an earlier
 * one is unanswered. The number of probes counts only if that is 0.
 */
uint32_t outbound_dead_path_ms(uint32_t user_timeout_ms);

/** Longest silence of a peer that no connection is ended for, ms. */
uint32_t outbound_silence_max_ms(uint32_t user_timeout_ms);

/** Counters since outbound_open(). */
typedef struct outbound_counts {
	uint64_t connections_opened;
	uint64_t reused;	  /**< Calls on an idle connection. */
	uint64_t answers_skipped; /**< Answers that belonged to no open call. */
	/** Connections closed after bytes that belonged to no call. */
	uint64_t unsolicited_closes;
} outbound_counts_t;

/** Returns NULL when out of memory. */
outbound_t *outbound_open(struct event_base *base);

/** Closes all connections. No call may be open. */
void outbound_close(outbound_t *outbound);

/**
 * Sends a request.
 * @param message head and body; its bytes are moved out of the buffer. If NULL,
 *        the message follows by outbound_write(): at once if
 *        outbound_was_reused(), else after the `ready` callback
 * @param fresh_only do not reuse an idle connection
 * @param no_body the answer has no body (HEAD)
 * @param call receives the call
 * @return 0, ERR_LIMIT at the connection limit, ERR_CONNECT, ERR_NO_MEMORY;
 *         on failure nothing was sent and no callback is called
 */
int outbound_send(outbound_t *outbound, const outbound_target_t *target,
		  struct evbuffer *message, bool fresh_only, bool no_body,
		  const outbound_callbacks_t *callbacks, void *context,
		  outbound_call_t **call);

/** Sends the message of a call that was started without one. */
void outbound_write(outbound_call_t *call, struct evbuffer *message);

/** Ends a call without a callback and resets its connection, so that what has
 * not arrived of the request never does. */
void outbound_cancel(outbound_call_t *call);

/** Pauses and resumes reading the answer. */
void outbound_pause(outbound_call_t *call);
void outbound_resume(outbound_call_t *call);

/** Whether bytes of the request may have reached the server. */
bool outbound_was_sent(const outbound_call_t *call);

/** Whether the call reuses an idle connection. */
bool outbound_was_reused(const outbound_call_t *call);

/** When the call's connection was established, monotonic, ms; 0: it is not. */
uint64_t outbound_connected_ms(const outbound_call_t *call);

/** Closes the idle connections under each key that `is_in_use` rejects. */
void outbound_sweep(outbound_t *outbound,
		    bool (*is_in_use)(void *context, const char *key),
		    void *context);

/** Number of open connections, including idle ones. */
uint32_t outbound_connection_count(const outbound_t *outbound);

const outbound_counts_t *outbound_counts(const outbound_t *outbound);

#endif
