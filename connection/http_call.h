/**
 * @file
 * One HTTP call on the control thread's event loop: to the platform's store, a
 * peer or an engine. It is sent once; what became of a call without an answer
 * is the caller's to find out.
 */
#ifndef CONNECTION_HTTP_CALL_H
#define CONNECTION_HTTP_CALL_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/outbound.h"

enum {
	/** Largest answer that is read, bytes: a page is about 1 MB. */
	HTTP_CALL_ANSWER_MAX_BYTES = 4 * 1024 * 1024,
};

/**
 * Answer to a call.
 * @param err 0 with any status, ERR_CONNECT if nothing was sent, ERR_TIMEOUT
 *            or ERR_ENDPOINT_LOST if it may have been carried out
 */
typedef void http_call_fn(void *context, int err, uint16_t status,
			  const char *body, size_t len);

typedef struct http_call http_call_t;

/**
 * Sends one request and collects its answer within a time; for the store,
 * peers and engine orders.
 * @param message its bytes are moved away
 * @return the call, or NULL when it could not be sent; then no report follows
 */
http_call_t *http_call_send(outbound_t *outbound, struct event_base *base,
			    const outbound_target_t *target,
			    struct evbuffer *message, uint32_t timeout_ms,
			    http_call_fn *done, void *context);

/** Ends a call without a report. */
void http_call_cancel(http_call_t *call);

#endif
