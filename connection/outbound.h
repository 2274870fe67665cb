/**
 * @file
 * Connections to endpoints and other HTTP/1.1 servers on one event loop.
 *
 * A call is sent exactly once, on a kept connection or a new one; nothing is
 * ever repeated here. A kept connection is closed after its time. A connection
 * that is in doubt is closed: bytes that nobody waits for, an answer before the
 * request was sent, a cancelled call.
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
	/** Longest key of a target with its NUL, bytes. */
	OUTBOUND_KEY_MAX_BYTES = 96,
	/** A kept connection is not reused so shortly before the other side's
	 * stated time-out, ms: a round trip between regions and a late timer.
	 */
	OUTBOUND_IDLE_MARGIN_MS = 400,
	/** Reuse of a kept connection whose time-out was not stated, ms. */
	OUTBOUND_IDLE_DEFAULT_MS = 400,
};

typedef struct outbound outbound_t;
typedef struct outbound_call outbound_call_t;

/** How a call ended. */
typedef enum outbound_result {
	OUTBOUND_COMPLETE,  /**< The whole answer was read. */
	OUTBOUND_NOT_SENT,  /**< No byte of the request left. */
	OUTBOUND_LOST,	    /**< It was sent; no complete answer came. */
	OUTBOUND_MALFORMED, /**< It was sent; the answer is not HTTP. */
} outbound_result_t;

/** Reports of a call, in this order; after `end` the call is gone. */
typedef struct outbound_callbacks {
	/** A new connection of a call without a message is ready for it. */
	void (*ready)(void *context);
	/** Whether an answer belongs to this call; others are skipped. */
	bool (*matches_call)(void *context, const http_head_t *head);
	void (*head)(void *context, const http_head_t *head);
	void (*body)(void *context, const char *bytes, size_t len);
	void (*end)(void *context, outbound_result_t result);
} outbound_callbacks_t;

/** Where a call goes. */
typedef struct outbound_target {
	/** Connections are kept under this key: one for each lifetime. */
	char key[OUTBOUND_KEY_MAX_BYTES];
	socket_address_t address;
	const transport_t *transport;
	uint32_t connections_max;
	uint32_t connect_timeout_ms;
	/** Unacknowledged bytes for so long end a connection, ms. */
	uint32_t user_timeout_ms;
} outbound_target_t;

/** Numbers of the module since its start. */
typedef struct outbound_counts {
	uint64_t connections_opened;
	uint64_t reused;
	uint64_t answers_skipped;    /**< They belonged to no open call. */
	uint64_t unsolicited_closes; /**< Connections closed for such bytes. */
} outbound_counts_t;

/** @return NULL when out of memory */
outbound_t *outbound_open(struct event_base *base);

/** Closes all connections; no call is open. */
void outbound_close(outbound_t *outbound);

/**
 * Sends a request.
 * @param message head and body; its bytes are moved away. NULL: it follows by
 *        outbound_write(), on a kept connection at once, else after `ready`
 * @param fresh_only do not reuse a kept connection
 * @param no_body the answer has no body (HEAD)
 * @param call receives the call
 * @return 0, ERR_LIMIT at the connection limit, ERR_CONNECT, ERR_NO_MEMORY;
 *         on failure nothing was sent and no report follows
 */
int outbound_send(outbound_t *outbound, const outbound_target_t *target,
		  struct evbuffer *message, bool fresh_only, bool no_body,
		  const outbound_callbacks_t *calls, void *context,
		  outbound_call_t **call);

/** Sends the message of a call that has none yet. */
void outbound_write(outbound_call_t *call, struct evbuffer *message);

/** Ends a call without a report and closes its connection. */
void outbound_cancel(outbound_call_t *call);

/** Stops and goes on reading the answer. */
void outbound_pause(outbound_call_t *call);
void outbound_resume(outbound_call_t *call);

/** Whether bytes of the request may have reached the other side. */
bool outbound_was_sent(const outbound_call_t *call);

/** Whether the call runs on a connection that was kept. */
bool outbound_was_reused(const outbound_call_t *call);

/** Closes kept connections whose key the function does not want any more. */
void outbound_sweep(outbound_t *outbound,
		    bool (*wanted)(void *context, const char *key),
		    void *context);

/** Number of open connections, kept ones too. */
uint32_t outbound_connection_count(const outbound_t *outbound);

const outbound_counts_t *outbound_counts(const outbound_t *outbound);

#endif
