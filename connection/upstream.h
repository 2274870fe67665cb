/**
 * @file
 * One HTTP transfer to an endpoint, driven by the calling thread.
 *
 * A transfer can be cancelled from another thread, ends when the caller of the
 * router disconnects, and reports whether a byte of the request was sent. Idle
 * connections are kept in a pool of at most UPSTREAM_IDLE_MAX; a connection
 * enters it only after a complete answer, so no unread bytes of an earlier
 * answer can be taken for the next one.
 */
#ifndef CONNECTION_UPSTREAM_H
#define CONNECTION_UPSTREAM_H

#include <curl/curl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Idle connections in a pool. */
	UPSTREAM_IDLE_MAX = 64,
	/** Longest `scheme://address:port`, bytes. */
	UPSTREAM_ORIGIN_MAX_BYTES = 80,
};

typedef struct upstream_pool upstream_pool_t;

/** Lets another thread end a transfer; one may be used for many in turn. */
typedef struct upstream_cancel {
	pthread_mutex_t lock;
	CURLM *multi; /**< Transfer in progress, or NULL. */
	int reason;   /**< 0, or the error number to end with. */
} upstream_cancel_t;

/** What to send and how long to wait for it. */
typedef struct upstream_call {
	const char *address;
	uint16_t port;
	bool tls;
	const char *method;
	const char *path; /**< With the query, starting with a slash. */
	const struct curl_slist *headers;
	const char *body; /**< NULL for none. */
	size_t body_bytes;
	uint32_t connect_timeout_ms;
	/** From the start to the first byte of the answer. */
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms; /**< Between bytes of the answer. */
	uint64_t deadline_ms;	  /**< Monotonic; 0 for none. */
	/** Never use an idle connection, on which a request may get lost. */
	bool fresh_connection;
	int caller_fd; /**< Socket whose closing ends the transfer, or -1. */
	upstream_cancel_t *cancel; /**< Or NULL. */
	/**
	 * Called when the connection is ready, right before the first byte is
	 * sent; a negative value ends the transfer with nothing sent.
	 */
	int (*before_send)(void *context);
	/** Called once the status and all headers of the answer are here. */
	int (*take_head)(void *context, CURL *transfer, long status);
	/** Called with body bytes; a negative value ends the transfer. */
	int (*take_body)(void *context, const char *bytes, size_t len);
	void *context;
} upstream_call_t;

/** How a transfer ended. */
typedef struct upstream_result {
	/**
	 * 0 if the answer is complete at the HTTP level; ERR_CONNECT,
	 * ERR_ENDPOINT_LOST, ERR_TIMEOUT, ERR_DEADLINE, ERR_CANCELLED (caller
	 * gone), the reason of a cancel, or the value of a callback.
	 */
	int err;
	long status;   /**< HTTP status, or 0. */
	bool sent;     /**< Whether a byte of the request may have been sent. */
	bool received; /**< Whether a byte of the answer arrived. */
} upstream_result_t;

/** Trust settings for TLS endpoints; NULL uses the system's authorities. */
upstream_pool_t *upstream_pool_new(const char *ca_file);
void upstream_pool_free(upstream_pool_t *pool);

void upstream_cancel_init(upstream_cancel_t *cancel);
void upstream_cancel_destroy(upstream_cancel_t *cancel);

/** Ends the transfer in progress and all later ones. The first reason stays. */
void upstream_cancel(upstream_cancel_t *cancel, int reason);

/** Takes back a cancel with this reason, so that later transfers run. */
void upstream_cancel_clear(upstream_cancel_t *cancel, int reason);

/** Reason given to upstream_cancel(), or 0. */
int upstream_cancel_reason(upstream_cancel_t *cancel);

/** Runs one transfer to its end. */
void upstream_run(upstream_pool_t *pool, const upstream_call_t *call,
		  upstream_result_t *result);

/** Value of an answer header, valid during the callback; NULL if absent. */
const char *upstream_header(CURL *transfer, const char *name);

/** Whether a socket's other side has closed or reset the connection. */
bool upstream_peer_gone(int fd);

#endif
