#include "request/plain_fencing.h"

#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"

#define FENCING_PATH "/fencing"

enum {
	/** Longest answer to the question, bytes with the NUL. */
	ANSWER_MAX_BYTES = 1024,
};

typedef struct fencing_answer {
	char text[ANSWER_MAX_BYTES];
	size_t len;
} fencing_answer_t;

static int take_head(void *context, CURL *transfer, long status)
{
	(void)context;
	(void)transfer;
	(void)status;
	return 0;
}

static int take_body(void *context, const char *bytes, size_t len)
{
	fencing_answer_t *answer = context;

	if (answer->len + len >= sizeof(answer->text))
		return ERR_ENDPOINT_ANSWER;
	memcpy(answer->text + answer->len, bytes, len);
	answer->len += len;
	return 0;
}

bool plain_fencing_is_path(const char *path)
{
	int len = 0;
	char *plain =
		curl_easy_unescape(NULL, path, (int)strcspn(path, "?#"), &len);
	const char *rest = plain;
	bool is_path;

	/* Without memory the path is refused, which runs nothing. */
	if (!plain)
		return true;
	while (rest[0] == '/' && rest[1] == '/')
		rest++;
	is_path =
		!strcmp(rest, FENCING_PATH) || !strcmp(rest, FENCING_PATH "/");
	curl_free(plain);
	return is_path;
}

order_proof_t plain_fencing_read(const char *text, uint64_t number)
{
	CLEANUP_JSON json_t *value = json_loads(text, 0, NULL);
	const json_t *ran = json_object_get(value, "ran");
	const json_t *highest = json_object_get(value, "highest");

	/*
	 * With a higher number in force ours was not kept, so a request sent
	 * under a number between the two could still run.
	 */
	if (!json_is_false(ran) || !json_is_integer(highest) ||
	    json_integer_value(highest) < 0 ||
	    (uint64_t)json_integer_value(highest) != number)
		return ORDER_PROOF_NONE;
	return ORDER_PROOF_NOT_RUN;
}

static void send_question(upstream_pool_t *pool,
			  const config_endpoint_t *endpoint,
			  const plain_fencing_t *question, const char *body,
			  fencing_answer_t *answer, upstream_result_t *result)
{
	struct curl_slist *headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	upstream_call_t call = {
		.address = endpoint->address,
		.port = endpoint->port,
		.tls = endpoint->tls,
		.method = "POST",
		.path = FENCING_PATH,
		.headers = headers,
		.body = body,
		.body_bytes = strlen(body),
		.connect_timeout_ms = question->connect_timeout_ms,
		.first_byte_timeout_ms = question->answer_timeout_ms,
		.idle_timeout_ms = question->answer_timeout_ms,
		.deadline_ms = clock_now_ms() + question->connect_timeout_ms +
			       question->answer_timeout_ms,
		.fresh_connection = true,
		.caller_fd = -1,
		.take_head = take_head,
		.take_body = take_body,
		.context = answer,
	};

	upstream_run(pool, &call, result);
	curl_slist_free_all(headers);
}

order_proof_t plain_fencing_ask(upstream_pool_t *pool,
				const config_endpoint_t *endpoint,
				const plain_fencing_t *question)
{
	fencing_answer_t answer = { 0 };
	upstream_result_t result = { 0 };
	CLEANUP_JSON json_t *value =
		json_pack("{s:s,s:I}", "key", question->key, "number",
			  (json_int_t)question->number);
	CLEANUP_FREE char *body =
		value ? json_dumps(value, JSON_COMPACT) : NULL;

	if (!body)
		return ORDER_PROOF_NONE;
	send_question(pool, endpoint, question, body, &answer, &result);
	if (result.err || result.status != 200)
		return ORDER_PROOF_NONE;
	return plain_fencing_read(answer.text, question->number);
}
