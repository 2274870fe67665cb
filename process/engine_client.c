#include "process/engine_client.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/controller_codec.h"

enum {
	CONNECT_TIMEOUT_MS = 1000,
	/** A state that arrives later than this is outdated. */
	STATE_TIMEOUT_MS = 2000,
	/** Longest answer to a state request, bytes. */
	ANSWER_MAX_BYTES = 4096,
	URL_MAX_BYTES = 96,
	IDLE_CONNECTIONS_MAX = 64,
};

/** Slot of a call; `easy` is NULL while the slot is free. */
typedef struct engine_call {
	engine_client_t *client;
	CURL *easy;
	engine_name_t name;
	bool is_order;
	bool sent; /**< Part of the request may have been sent. */
	uint64_t requested_ms;
	uint64_t fencing;
	controller_order_t order;
	struct curl_slist *headers;
	char answer[ANSWER_MAX_BYTES];
	size_t answer_bytes;
} engine_call_t;

struct engine_client {
	CURLM *multi;
	char *ca_file;
	engine_client_hooks_t hooks;
	engine_call_t calls[ENGINE_CLIENT_CALLS_MAX];
};

engine_client_t *engine_client_open(const char *ca_file,
				    const engine_client_hooks_t *hooks)
{
	engine_client_t *client = calloc(1, sizeof(*client));

	if (!client)
		return NULL;
	client->hooks = *hooks;
	client->multi = curl_multi_init();
	client->ca_file = ca_file ? strdup(ca_file) : NULL;
	if (!client->multi || (ca_file && !client->ca_file)) {
		engine_client_close(client);
		return NULL;
	}
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)IDLE_CONNECTIONS_MAX);
	return client;
}

static void release_call(engine_call_t *call)
{
	if (!call->easy)
		return;
	curl_multi_remove_handle(call->client->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	call->headers = NULL;
	call->easy = NULL;
}

void engine_client_close(engine_client_t *client)
{
	if (!client)
		return;
	for (size_t i = 0; i < ENGINE_CLIENT_CALLS_MAX; i++)
		release_call(&client->calls[i]);
	curl_multi_cleanup(client->multi);
	free(client->ca_file);
	free(client);
}

static size_t receive_body(char *bytes, size_t size, size_t count,
			   void *context)
{
	engine_call_t *call = context;
	size_t len = size * count;

	if (call->answer_bytes + len > sizeof(call->answer))
		return 0;
	memcpy(call->answer + call->answer_bytes, bytes, len);
	call->answer_bytes += len;
	return len;
}

static int before_send(void *context, char *remote, char *local,
		       int remote_port, int local_port)
{
	engine_call_t *call = context;
	const engine_client_hooks_t *hooks = &call->client->hooks;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	if (call->is_order &&
	    !hooks->may_send(hooks->context, &call->name, call->fencing))
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/** Finds a free slot; NULL unless more than `reserve` slots are free. */
static engine_call_t *find_free_call(engine_client_t *client, size_t reserve)
{
	engine_call_t *found = NULL;
	size_t count = 0;

	for (size_t i = 0; i < ENGINE_CLIENT_CALLS_MAX; i++) {
		if (client->calls[i].easy)
			continue;
		found = &client->calls[i];
		count++;
	}
	return count > reserve ? found : NULL;
}

static void set_url(engine_call_t *call, const engine_address_t *address,
		    const char *path)
{
	bool is_ipv6 = strchr(address->address, ':') != NULL;
	char url[URL_MAX_BYTES];

	snprintf(url, sizeof(url), "%s://%s%s%s:%u%s",
		 address->tls ? "https" : "http", is_ipv6 ? "[" : "",
		 address->address, is_ipv6 ? "]" : "", (unsigned)address->port,
		 path);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
}

/** Prepares a call whose `is_order` and `order` are set already. */
static bool start_call(engine_client_t *client, engine_call_t *call,
		       const engine_name_t *name,
		       const engine_address_t *address, uint32_t timeout_ms)
{
	call->easy = curl_easy_init();
	if (!call->easy)
		return false;
	call->client = client;
	call->name = *name;
	call->sent = false;
	call->answer_bytes = 0;
	call->requested_ms = clock_boot_ms();
	set_url(call, address,
		call->is_order ? "/engine/order" : "/engine/state");
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	if (client->ca_file)
		curl_easy_setopt(call->easy, CURLOPT_CAINFO, client->ca_file);
	return true;
}

bool engine_client_request_state(engine_client_t *client,
				 const engine_name_t *name,
				 const engine_address_t *address)
{
	engine_call_t *call =
		find_free_call(client, ENGINE_CLIENT_ORDER_RESERVE);

	if (!call)
		return false;
	call->is_order = false;
	if (!start_call(client, call, name, address, STATE_TIMEOUT_MS))
		return false;
	curl_multi_add_handle(client->multi, call->easy);
	return true;
}

bool engine_client_send_order(engine_client_t *client,
			      const engine_name_t *name,
			      const engine_address_t *address,
			      const controller_order_t *order, uint64_t fencing,
			      uint32_t timeout_ms)
{
	engine_call_t *call = find_free_call(client, 0);
	CLEANUP_JSON json_t *value =
		controller_order_to_request(order, fencing);
	CLEANUP_FREE char *body =
		value ? json_dumps(value, JSON_COMPACT) : NULL;

	if (!call || !body)
		return false;
	call->is_order = true;
	call->order = *order;
	call->fencing = fencing;
	if (!start_call(client, call, name, address, timeout_ms))
		return false;
	call->headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, body);
	/* Reuse no connection: libcurl repeats a request whose reused
	 * connection was closed before the answer. */
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(client->multi, call->easy);
	return true;
}

static void report_state(const engine_call_t *call)
{
	const engine_client_hooks_t *hooks = &call->client->hooks;
	CLEANUP_JSON json_t *value =
		json_loadb(call->answer, call->answer_bytes, 0, NULL);
	controller_engine_state_t state;

	if (!controller_engine_state_from_json(value, &state))
		hooks->on_state(hooks->context, &call->name, call->requested_ms,
				&state);
}

static controller_order_result_t order_result(const engine_call_t *call,
					      CURLcode code, long status)
{
	if (!call->sent)
		return CONTROLLER_RESULT_REFUSED;
	if (code != CURLE_OK)
		return CONTROLLER_RESULT_UNKNOWN;
	if (status == 200)
		return CONTROLLER_RESULT_DONE;
	/* The engine refuses an order with 503, an invalid one with 4xx
	 * (section 6 of the design). */
	if (status == 503 || (status >= 400 && status < 500))
		return CONTROLLER_RESULT_REFUSED;
	return CONTROLLER_RESULT_UNKNOWN;
}

static void report_end(const engine_call_t *call, CURLcode code)
{
	const engine_client_hooks_t *hooks = &call->client->hooks;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->is_order)
		hooks->on_result(hooks->context, &call->name, &call->order,
				 order_result(call, code, status));
	else if (code == CURLE_OK && status == 200)
		report_state(call);
}

void engine_client_run(engine_client_t *client, uint32_t wait_ms)
{
	CURLMsg *message;
	int count = 0;

	curl_multi_perform(client->multi, &count);
	while ((message = curl_multi_info_read(client->multi, &count))) {
		CURLcode code = message->data.result;
		engine_call_t *call = NULL;

		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &call);
		/* The hook may start other calls; this slot is still in use. */
		report_end(call, code);
		release_call(call);
	}
	curl_multi_poll(client->multi, NULL, 0, (int)wait_ms, NULL);
}
