/**
 * @file
 * Client of `POST /fencing`: asks a plain service that checks fencing numbers
 * whether the request with an idempotency key has run, and makes it refuse
 * lower numbers for that key from then on.
 */
#ifndef REQUEST_PLAIN_FENCING_H
#define REQUEST_PLAIN_FENCING_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/upstream.h"
#include "process/order.h"
#include "version/config.h"

/** A query for one order. */
typedef struct plain_fencing_query {
	const char *key; /**< `Idempotency-Key` */
	uint64_t number; /**< Higher than that of the order. */
	uint32_t connect_timeout_ms;
	uint32_t answer_timeout_ms;
} plain_fencing_query_t;

/**
 * Sends the query once on a new connection and waits for the answer.
 * @return ORDER_PROOF_NOT_RUN only if a complete answer proves it
 */
order_proof_t plain_fencing_query(upstream_pool_t *pool,
				  const config_endpoint_t *endpoint,
				  const plain_fencing_query_t *query);

/**
 * Whether a path at the endpoint is `/fencing`, also if percent-encoded. Such a
 * request from a client is rejected, because it could raise the fencing numbers
 * of other customers' keys.
 * @param path including the query string
 */
bool plain_fencing_is_path(const char *path);

/**
 * Determines what an answer proves.
 * @param text NUL-terminated body of an answer with status 200
 * @param number the number that was queried
 */
order_proof_t plain_fencing_parse_answer(const char *text, uint64_t number);

#endif
