/**
 * @file
 * One HTTP request on the control thread's event loop, to the platform's store,
 * a peer or an engine. It is sent once and never retried here: if no answer
 * arrives, the calling code has to find out whether it was carried out.
 */
#ifndef CONNECTION_HTTP_CALL_H
#define CONNECTION_HTTP_CALL_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/outbound.h"

enum {
	/** Largest answer body of the store, bytes; a page of a list has about
	 * 1 MB. */
	HTTP_CALL_STORE_MAX_BYTES = 4 * 1024 * 1024,
	/** Largest answer body of an engine, bytes: a report lists its runs. */
	HTTP_CALL_ENGINE_MAX_BYTES = 64 * 1024,
	/** Minimum rate of an answer, bytes per ms: a fifth of a link of 10
	 * Mbit/s. */
	HTTP_CALL_MIN_BYTES_PER_MS = 250,
};

/**
 * Receives the outcome of a call.
 * @param err 0 with any status, ERR_LIMIT if the answer is too large,
 *            ERR_CONNECT if nothing was sent, ERR_TIMEOUT or
 *            ERR_ENDPOINT_LOST if the request may have been carried out
 */
typedef void http_call_fn(void *context, int err, uint16_t status,
			  const char *body, size_t len);

/** Receives the head of the answer, before the outcome; must not end the call.
 */
typedef void http_call_head_fn(void *context, const http_head_t *head);

typedef struct http_call http_call_t;

/**
 * Sends one request and collects its answer; for the store, peers and engine
 * orders.
 * @param message head and body; its bytes are moved out of the buffer
 * @param answer_max_bytes of its body; a larger one ends the call
 * @param timeout_ms until the answer is complete; each byte that arrives
 *        extends it by its time at the minimum rate
 * @return the call, or NULL if it could not be sent; then `done` is not called
 */
http_call_t *http_call_send(outbound_t *outbound, struct event_base *base,
			    const outbound_target_t *target,
			    struct evbuffer *message, size_t answer_max_bytes,
			    uint32_t timeout_ms, http_call_fn *done,
			    void *context);

/** Sets the receiver of the answer's head. */
void http_call_on_head(http_call_t *call, http_call_head_fn *head);

/** Ends a call without calling `done`. */
void http_call_cancel(http_call_t *call);

#endif
