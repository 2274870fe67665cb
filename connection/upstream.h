/**
 * @file
 * Blocking HTTP client for requests to endpoints.
 *
 * The pool's event loop sends and receives (connection/outbound) and sends each
 * request exactly once. Timeouts and callbacks run on the thread that called
 * upstream_run(). A transfer can be cancelled from another thread and reports
 * whether a byte of the request may have been sent.
 */
#ifndef CONNECTION_UPSTREAM_H
#define CONNECTION_UPSTREAM_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/cancel.h"
#include "connection/http_head.h"
#include "connection/loop.h"

enum {
	/** Most connections to one endpoint: the most streams that an instance
	 * runs at a time. */
	UPSTREAM_CONNECTIONS_MAX = 4096,
	/** Answer bytes not yet taken by the waiting thread above which reading
	 * from the connection pauses. */
	UPSTREAM_BUFFERED_MAX_BYTES = 64 * 1024,
};

typedef struct upstream_pool upstream_pool_t;

/** What to send and how long to wait for it. */
typedef struct upstream_call {
	const char *address; /**< IPv4 or IPv6. */
	uint16_t port;
	bool tls;
	const char *method;
	const char *path;    /**< With the query, starting with a slash. */
	const char *headers; /**< Whole lines, each with CR LF; or NULL. */
	const char *body;    /**< NULL for none. */
	size_t body_bytes;
	uint32_t connect_timeout_ms;
	/** From the start to the first byte of the answer. */
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms; /**< Between bytes of the answer. */
	uint64_t deadline_ms;	  /**< Monotonic; 0 for none. */
	/** Open a new connection: the endpoint may close a reused one while
	 * the request is on its way. */
	bool fresh_connection;
	/** Ends the transfer when the client has left; or NULL. */
	cancel_t *client_gone;
	cancel_t *cancel; /**< Ends it for other reasons; or NULL. */
	/**
	 * Called when the connection is ready, right before the first byte is
	 * sent; a negative value ends the transfer with nothing sent.
	 */
	int (*before_send)(void *context);
	/** Called when the status and all headers of the answer are received;
	 * a negative value ends the transfer. */
	int (*on_head)(void *context, const http_head_t *head);
	/** Called with body bytes; a negative value ends the transfer. */
	int (*on_body)(void *context, const char *bytes, size_t len);
	void *context;
} upstream_call_t;

/** How a transfer ended. */
typedef struct upstream_result {
	/**
	 * 0 if the answer is complete at the HTTP level; ERR_CONNECT,
	 * ERR_ENDPOINT_LOST, ERR_TIMEOUT, ERR_DEADLINE, ERR_LIMIT (too many
	 * connections), the reason of a cancel, or the negative value of a
	 * callback.
	 */
	int err;
	uint16_t status; /**< HTTP status, or 0. */
	bool sent;     /**< Whether a byte of the request may have been sent. */
	bool received; /**< Whether a byte of the answer arrived. */
} upstream_result_t;

/**
 * Starts the event loop.
 * @param ca_file CA certificates for TLS endpoints, PEM; NULL: the system's
 * @return NULL if it cannot be started or the file cannot be used
 */
upstream_pool_t *upstream_pool_new(const char *ca_file);

/** Stops the event loop; no transfer may be running. NULL is allowed. */
void upstream_pool_free(upstream_pool_t *pool);

/** Runs one transfer and blocks until it has ended. */
void upstream_run(upstream_pool_t *pool, const upstream_call_t *call,
		  upstream_result_t *result);

#endif
