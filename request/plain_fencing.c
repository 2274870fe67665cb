#include "request/plain_fencing.h"

#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"

#define FENCING_PATH "/fencing"

enum {
	/** Longest answer, bytes with the NUL. */
	ANSWER_MAX_BYTES = 1024,
};

typedef struct fencing_answer {
	char text[ANSWER_MAX_BYTES];
	size_t len;
} fencing_answer_t;

static int on_body(void *context, const char *bytes, size_t len)
{
	fencing_answer_t *answer = context;

	if (answer->len + len >= sizeof(answer->text))
		return ERR_ENDPOINT_ANSWER;
	memcpy(answer->text + answer->len, bytes, len);
	answer->len += len;
	return 0;
}

/** Percent-decoded path without query and fragment; to free(). */
static char *decode_path(const char *path)
{
	char *encoded = strndup(path, strcspn(path, "?#"));
	char *decoded = encoded ? evhttp_uridecode(encoded, 0, NULL) : NULL;

	free(encoded);
	return decoded;
}

bool plain_fencing_is_path(const char *path)
{
	CLEANUP_FREE char *decoded = decode_path(path);
	const char *trimmed = decoded;

	/* Out of memory: treat it as reserved, so that nothing is run. */
	if (!decoded)
		return true;
	while (trimmed[0] == '/' && trimmed[1] == '/')
		trimmed++;
	return !strcmp(trimmed, FENCING_PATH) ||
	       !strcmp(trimmed, FENCING_PATH "/");
}

order_proof_t plain_fencing_parse_answer(const char *text, uint64_t number)
{
	CLEANUP_JSON json_t *value = json_loads(text, 0, NULL);
	const json_t *ran = json_object_get(value, "ran");
	const json_t *highest = json_object_get(value, "highest");

	/*
	 * If the service has already stored a higher number, it has not
	 * stored ours, and a request sent with a number between the two
	 * could still run.
	 */
	if (!json_is_false(ran) || !json_is_integer(highest) ||
	    json_integer_value(highest) < 0 ||
	    (uint64_t)json_integer_value(highest) != number)
		return ORDER_PROOF_NONE;
	return ORDER_PROOF_NOT_RUN;
}

static void send_query(upstream_pool_t *pool, const config_endpoint_t *endpoint,
		       const plain_fencing_query_t *query, const char *body,
		       fencing_answer_t *answer, upstream_result_t *result)
{
	upstream_call_t call = {
		.address = endpoint->address,
		.port = endpoint->port,
		.tls = endpoint->tls,
		.method = "POST",
		.path = FENCING_PATH,
		.headers = "Content-Type: application/json\r\n",
		.body = body,
		.body_bytes = strlen(body),
		.connect_timeout_ms = query->connect_timeout_ms,
		.first_byte_timeout_ms = query->answer_timeout_ms,
		.idle_timeout_ms = query->answer_timeout_ms,
		.deadline_ms = clock_now_ms() + query->connect_timeout_ms +
			       query->answer_timeout_ms,
		.fresh_connection = true,
		.on_body = on_body,
		.context = answer,
	};

	upstream_run(pool, &call, result);
}

order_proof_t plain_fencing_query(upstream_pool_t *pool,
				  const config_endpoint_t *endpoint,
				  const plain_fencing_query_t *query)
{
	fencing_answer_t answer = { 0 };
	upstream_result_t result = { 0 };
	CLEANUP_JSON json_t *value =
		json_pack("{s:s,s:I}", "key", query->key, "number",
			  (json_int_t)query->number);
	CLEANUP_FREE char *body =
		value ? json_dumps(value, JSON_COMPACT) : NULL;

	if (!body)
		return ORDER_PROOF_NONE;
	send_query(pool, endpoint, query, body, &answer, &result);
	if (result.err || result.status != 200)
		return ORDER_PROOF_NONE;
	return plain_fencing_parse_answer(answer.text, query->number);
}
