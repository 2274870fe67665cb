/**
 * @file
 * Asks a plain service that checks fencing whether a key has run, and makes it
 * refuse lower numbers of that key from then on (`POST /fencing`).
 */
#ifndef REQUEST_PLAIN_FENCING_H
#define REQUEST_PLAIN_FENCING_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/upstream.h"
#include "process/order.h"
#include "version/config.h"

typedef struct plain_fencing {
	const char *key; /**< `Idempotency-Key` of the order. */
	uint64_t number; /**< Above the number the order was sent with. */
	uint32_t connect_timeout_ms;
	uint32_t answer_timeout_ms;
} plain_fencing_t;

/**
 * Sends the question once on a new connection and waits for the answer.
 * @return ORDER_PROOF_NOT_RUN only for a complete answer that says so
 */
order_proof_t plain_fencing_ask(upstream_pool_t *pool,
				const config_endpoint_t *endpoint,
				const plain_fencing_t *question);

/**
 * Whether a path at the endpoint is that of the question, also with
 * characters escaped. Callers are refused there, as they could otherwise raise
 * the numbers of other customers' keys.
 * @param path with the query
 */
bool plain_fencing_is_path(const char *path);

/**
 * What an answer proves.
 * @param text body of an answer with status 200, with a NUL
 */
order_proof_t plain_fencing_read(const char *text, uint64_t number);

#endif
