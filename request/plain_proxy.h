/**
 * @file
 * Forwards requests to plain HTTP services, that is endpoints other than model
 * engines.
 *
 * An idempotent request may be retried at another endpoint. The retry is
 * charged to the retry budget unless the endpoint certainly did not run the
 * request. A non-idempotent request is an order (process/order.h): it is
 * claimed in the object API and sent at most once.
 */
#ifndef REQUEST_PLAIN_PROXY_H
#define REQUEST_PLAIN_PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/server.h"
#include "connection/upstream.h"
#include "process/byte_buffer.h"
#include "process/claim_watch.h"
#include "process/fleet.h"
#include "process/order.h"
#include "process/store_client.h"
#include "request/order_backlog.h"
#include "version/config.h"

enum {
	/** Maximum number of endpoints tried for one idempotent request. */
	PLAIN_TRIES_MAX = 3,
	/** Answer headers that are forwarded, bytes with the NUL. */
	PLAIN_HEADERS_MAX_BYTES = 4096,
};

typedef struct plain_proxy_settings {
	const char *instance; /**< Unique name of this instance. */
	uint32_t connect_timeout_ms;
} plain_proxy_settings_t;

/** State shared by all requests to plain services. */
typedef struct plain_proxy {
	plain_proxy_settings_t settings;
	fleet_t *fleet;
	upstream_pool_t *pool;
	store_client_t *store;	  /**< NULL: orders are refused. */
	order_backlog_t *backlog; /**< NULL: server threads retry. */
	claim_watch_t *claims;	  /**< Open claims that were read. */
} plain_proxy_t;

/** A client's request whose body was received completely. */
typedef struct plain_request {
	server_request_t *client_request;
	const config_t *config;
	int32_t customer; /**< Index in `config`. */
	int32_t route;	  /**< Index in `config`. */
	const char *path; /**< Path at the endpoint, including the query. */
} plain_request_t;

/** Answer of an endpoint; release with plain_answer_free(). */
typedef struct plain_answer {
	long status;
	bool is_leaving; /**< `X-Leaving: 1`: the endpoint shuts down. */
	bool is_not_run; /**< `X-Not-Run: 1`: it did not run the request. */
	bool too_large;	 /**< The body exceeds `body_max_bytes`. */
	char content_type[128];
	char headers[PLAIN_HEADERS_MAX_BYTES]; /**< `Name: value\r\n` lines
						  without Content-Type. */
	byte_buffer_t body;
	size_t body_max_bytes;
} plain_answer_t;

/** One transfer to an endpoint: settings and answer. */
typedef struct plain_transfer {
	const plain_proxy_t *proxy;
	const plain_request_t *request;
	plain_answer_t answer;
	uint64_t fencing; /**< X-Fencing-Number; 0: none. */
	/**
	 * Called once connected, before the first byte is sent; or NULL. A
	 * negative value ends the transfer with nothing sent.
	 */
	int (*before_send)(void *context);
	void *context;
	uint64_t deadline_ms; /**< Monotonic. */
	uint32_t connect_timeout_ms;
	bool ignore_disconnect; /**< Continue if the client disconnects. */
	bool fresh_connection;
} plain_transfer_t;

/** Serves one request; always answers unless the client disconnects. */
void plain_proxy_serve(const plain_proxy_t *proxy,
		       const plain_request_t *request);

/** Sends the request to one endpoint and reads the complete answer. */
void plain_send(plain_transfer_t *transfer, const fleet_target_t *target,
		upstream_result_t *result);

void plain_answer_free(plain_answer_t *answer);

/**
 * Retries the write of an order's record; an order_backlog_fn. In
 * plain_order.c.
 */
bool plain_retry_order(void *order, bool last, uint64_t *due_ms);

/** Serves a request that must run at most once; in plain_order.c. */
void plain_serve_order(const plain_proxy_t *proxy,
		       const plain_request_t *request);

#endif
