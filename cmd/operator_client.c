#include "cmd/operator_client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/byte_buffer.h"
#include "process/cleanup.h"
#include "process/error.h"

enum {
	OPERATOR_URL_MAX_BYTES = 1024,
	/** Limit of an answer; the whole configuration has to fit. */
	OPERATOR_ANSWER_MAX_BYTES = 64 * 1024 * 1024,
};

static size_t append_bytes(char *data, size_t size, size_t count, void *context)
{
	byte_buffer_t *buffer = context;
	size_t len = size * count;

	if (buffer->len + len > OPERATOR_ANSWER_MAX_BYTES ||
	    byte_buffer_add(buffer, data, len))
		return 0;
	return len;
}

static void set_options(CURL *curl, const operator_client_t *client,
			const char *url, const char *body)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)client->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (client->ca)
		curl_easy_setopt(curl, CURLOPT_CAINFO, client->ca);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_bytes);
	if (!body)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
}

/** Prints the error answer of an instance. @return error code */
static int report_refusal(long status, json_t *answer)
{
	json_t *error = json_object_get(answer, "error");
	const char *type = json_string_value(json_object_get(error, "type"));
	const char *text = json_string_value(json_object_get(error, "message"));

	fprintf(stderr, "refused (HTTP %ld): %s: %s\n", status,
		type ? type : "error", text ? text : "no message");
	return status == 401 || status == 403 ? ERR_FORBIDDEN : ERR_INTERNAL;
}

static int perform(CURL *curl, const operator_client_t *client,
		   const char *path, byte_buffer_t *buffer, long *status)
{
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_WRITEDATA, buffer);
	code = curl_easy_perform(curl);
	if (code != CURLE_OK) {
		fprintf(stderr, "%s%s: %s\n", client->url, path,
			curl_easy_strerror(code));
		return ERR_CONNECT;
	}
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
	return 0;
}

static int exchange(const operator_client_t *client, const char *path,
		    const char *body, byte_buffer_t *buffer, long *status)
{
	char url[OPERATOR_URL_MAX_BYTES];
	char header[OPERATOR_URL_MAX_BYTES];
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	int err = ERR_NO_MEMORY;

	snprintf(url, sizeof(url), "%s%s", client->url, path);
	snprintf(header, sizeof(header), "Authorization: Bearer %s",
		 client->key);
	headers = curl_slist_append(NULL, header);
	if (curl && headers) {
		set_options(curl, client, url, body);
		curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
		err = perform(curl, client, path, buffer, status);
	}
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return err;
}

int operator_call(const operator_client_t *client, const char *path,
		  const char *body, json_t **answer)
{
	__attribute__((cleanup(byte_buffer_free))) byte_buffer_t buffer = { 0 };
	json_error_t problem;
	long status = 0;
	int err;

	*answer = NULL;
	err = exchange(client, path, body, &buffer, &status);
	if (err)
		return err;
	*answer = json_loads(buffer.bytes ? buffer.bytes : "", 0, &problem);
	if (status >= 300) {
		err = report_refusal(status, *answer);
		json_decref(*answer);
		*answer = NULL;
		return err;
	}
	if (*answer)
		return 0;
	fprintf(stderr, "%s%s: the answer is not JSON: %s\n", client->url, path,
		problem.text);
	return ERR_BAD_JSON;
}
