/**
 * @file
 * HTTP calls of the operator command to an instance.
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
 * Calls an instance.
 * @param body JSON text for a POST, or NULL for a GET
 * @param answer receives the parsed answer; drop it with json_decref()
 * @return 0; or ERR_CONNECT if there is no answer, ERR_BAD_JSON if it is not
 *         JSON, ERR_FORBIDDEN or ERR_INTERNAL if the instance refused; a
 *         message was printed on standard error
 */
int operator_call(const operator_client_t *client, const char *path,
		  const char *body, json_t **answer);

#endif
