/**
 * @file
 * HTTP requests of the operator command to an instance.
 */
#ifndef CMD_OPERATOR_CLIENT_H
#define CMD_OPERATOR_CLIENT_H

#include <jansson.h>
#include <stdint.h>

typedef struct operator_client {
	const char *url; /**< Of any instance, without a trailing slash. */
	const char *key; /**< Operator key. */
	const char *ca;	 /**< File with CA certificates, or NULL. */
	uint32_t timeout_ms;
} operator_client_t;

/**
 * Sends a request to an instance. Errors are also printed on standard error,
 * except ERR_NO_MEMORY.
 * @param body JSON text for a POST, or NULL for a GET
 * @param answer receives the parsed answer; release it with json_decref()
 * @return 0; ERR_CONNECT without an answer; ERR_BAD_JSON if it is not JSON;
 *         ERR_FORBIDDEN for status 401 or 403 and ERR_INTERNAL for another
 *         error status; ERR_NO_MEMORY
 */
int operator_call(const operator_client_t *client, const char *path,
		  const char *body, json_t **answer);

#endif
