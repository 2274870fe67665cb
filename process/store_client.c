#include "process/store_client.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include "process/byte_buffer.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"
#include "process/percent.h"

enum {
	/** Most idle curl handles kept, each with one connection. */
	IDLE_HANDLES_MAX = 16,
	URL_MAX_BYTES = 2048,
	CONNECT_TIMEOUT_MS = 500,
	TOTAL_TIMEOUT_MS = 3000,
	/** Largest answer, such as that of a list, bytes. */
	ANSWER_MAX_BYTES = 64 << 20,
	/** Connections idle for longer than this are not reused. */
	IDLE_CONNECTION_MAX_S = 20,
};

struct store_client {
	char url[URL_MAX_BYTES];
	long connect_timeout_ms;
	long total_timeout_ms;
	bool stopping;
	pthread_mutex_t lock; /**< Protects the members below. */
	store_budget_t budget;
	CURL *idle[IDLE_HANDLES_MAX];
	size_t idle_count;
};

/** One call in progress. */
typedef struct call {
	store_client_t *client;
	store_purpose_t purpose;
	const char *method;
	char path[URL_MAX_BYTES]; /**< After the base URL. */
	char *body;		  /**< NULL for none. */
	char condition[64];	  /**< Header line If-Match or If-None-Match. */
	long extra_timeout_ms;
	long limit_ms; /**< 0 for that of the client. */
	bool watch;
	store_answer_t answer;
	uint64_t version; /**< From ETag; 0 without a valid ETag. */
	uint32_t retry_after_ms;
	byte_buffer_t text; /**< Body of the answer. */
} call_t;

static void free_call(call_t *call)
{
	free(call->body);
	byte_buffer_free(&call->text);
}

#define CLEANUP_CALL __attribute__((cleanup(free_call)))

static int status_error(const store_answer_t *answer)
{
	switch (answer->status) {
	case 200:
	case 201:
	case 204:
		return 0;
	case 404:
		return ERR_NOT_FOUND;
	case 410:
		return ERR_STORE_GONE;
	case 412:
		return ERR_STORE_CONDITION;
	case 413:
		return ERR_LIMIT;
	case 429:
		return ERR_STORE_BUDGET;
	case 503:
		/* The store returns 503 only for calls it did not execute. */
		return ERR_STORE_DOWN;
	default:
		break;
	}
	if (answer->status >= 400 && answer->status < 500)
		return ERR_BAD_FIELD;
	return answer->write ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN;
}

int store_answer_error(const store_answer_t *answer)
{
	if (answer->cancelled)
		return ERR_STOPPING;
	if (answer->code == CURLE_OK)
		return status_error(answer);
	if (answer->code == CURLE_OUT_OF_MEMORY && !answer->sent)
		return ERR_NO_MEMORY;
	if (answer->write && answer->sent)
		return ERR_STORE_UNKNOWN;
	return answer->too_large ? ERR_LIMIT : ERR_STORE_DOWN;
}

int store_client_open(const store_client_options_t *options,
		      store_client_t **client)
{
	store_client_t *new_client = calloc(1, sizeof(*new_client));

	if (!new_client)
		return ERR_NO_MEMORY;
	snprintf(new_client->url, sizeof(new_client->url), "%s", options->url);
	new_client->connect_timeout_ms = options->connect_timeout_ms
						 ? options->connect_timeout_ms
						 : CONNECT_TIMEOUT_MS;
	new_client->total_timeout_ms = options->total_timeout_ms
					       ? options->total_timeout_ms
					       : TOTAL_TIMEOUT_MS;
	pthread_mutex_init(&new_client->lock, NULL);
	store_budget_init(&new_client->budget, &options->budget, options->seed,
			  clock_now_ms());
	*client = new_client;
	return 0;
}

void store_client_stop(store_client_t *client)
{
	__atomic_store_n(&client->stopping, true, __ATOMIC_RELEASE);
}

void store_client_close(store_client_t *client)
{
	if (!client)
		return;
	while (client->idle_count)
		curl_easy_cleanup(client->idle[--client->idle_count]);
	pthread_mutex_destroy(&client->lock);
	free(client);
}

bool store_client_is_down(store_client_t *client)
{
	SCOPED_LOCK(lock, &client->lock);

	return store_budget_is_down(&client->budget);
}

static int acquire_budget(store_client_t *client, store_purpose_t purpose)
{
	SCOPED_LOCK(lock, &client->lock);
	store_verdict_t verdict =
		store_budget_acquire(&client->budget, purpose, clock_now_ms());

	switch (verdict.kind) {
	case STORE_VERDICT_ALLOW:
		return 0;
	case STORE_VERDICT_OVER_BUDGET:
		return ERR_STORE_BUDGET;
	case STORE_VERDICT_DOWN:
		return ERR_STORE_DOWN;
	}
	return ERR_INTERNAL;
}

static store_outcome_t outcome_of(const call_t *call, int err)
{
	if (call->limit_ms && call->answer.code == CURLE_OPERATION_TIMEDOUT)
		return STORE_OUTCOME_CANCELLED;
	switch (err) {
	case ERR_STOPPING:
		return STORE_OUTCOME_CANCELLED;
	case ERR_STORE_BUDGET:
		return STORE_OUTCOME_THROTTLED;
	case ERR_STORE_DOWN:
	case ERR_STORE_UNKNOWN:
		return STORE_OUTCOME_FAILED;
	default:
		return call->answer.status ? STORE_OUTCOME_ANSWERED
					   : STORE_OUTCOME_CANCELLED;
	}
}

static void report_outcome(const call_t *call, int err)
{
	store_client_t *client = call->client;
	bool was_down;
	bool is_down;

	pthread_mutex_lock(&client->lock);
	was_down = store_budget_is_down(&client->budget);
	store_budget_report(&client->budget, outcome_of(call, err),
			    call->retry_after_ms, clock_now_ms());
	is_down = store_budget_is_down(&client->budget);
	pthread_mutex_unlock(&client->lock);
	if (is_down && !was_down)
		event_log(EVENT_STORE_OUTAGE, "error=%s", error_type(err));
	if (was_down && !is_down)
		event_log(EVENT_STORE_RECOVERED, NULL);
}

static CURL *take_handle(store_client_t *client)
{
	SCOPED_LOCK(lock, &client->lock);

	if (client->idle_count)
		return client->idle[--client->idle_count];
	return curl_easy_init();
}

static void return_handle(store_client_t *client, CURL *handle)
{
	SCOPED_LOCK(lock, &client->lock);

	/* curl_easy_reset() keeps the connection open. */
	curl_easy_reset(handle);
	if (client->idle_count < IDLE_HANDLES_MAX)
		client->idle[client->idle_count++] = handle;
	else
		curl_easy_cleanup(handle);
}

static size_t receive_body(char *data, size_t size, size_t count, void *user)
{
	call_t *call = user;
	size_t bytes = size * count;

	if (call->text.len + bytes > ANSWER_MAX_BYTES) {
		call->answer.too_large = true;
		return 0;
	}
	return byte_buffer_add(&call->text, data, bytes) ? 0 : bytes;
}

/**
 * Called before a request is sent. libcurl repeats a request when a reused
 * connection is closed before the answer. If a write took effect, its
 * repetition would fail its If-Match or If-None-Match condition, so a write is
 * sent only once.
 */
static int before_request(void *user, char *remote_address, char *local_address,
			  int remote_port, int local_port)
{
	call_t *call = user;

	(void)remote_address;
	(void)local_address;
	(void)remote_port;
	(void)local_port;
	if (call->answer.sent && call->answer.write)
		return CURL_PREREQFUNC_ABORT;
	call->answer.sent = true;
	return CURL_PREREQFUNC_OK;
}

static int on_progress(void *user, curl_off_t down_total, curl_off_t down,
		       curl_off_t up_total, curl_off_t up)
{
	call_t *call = user;

	(void)down_total;
	(void)down;
	(void)up_total;
	(void)up;
	if (!call->watch ||
	    !__atomic_load_n(&call->client->stopping, __ATOMIC_ACQUIRE))
		return 0;
	call->answer.cancelled = true;
	return 1;
}

static struct curl_slist *make_headers(const call_t *call)
{
	struct curl_slist *headers = NULL;

	/* Without this, curl waits for status 100 before a large body. */
	headers = curl_slist_append(headers, "Expect:");
	if (call->body)
		headers = curl_slist_append(headers,
					    "Content-Type: application/json");
	if (*call->condition)
		headers = curl_slist_append(headers, call->condition);
	return headers;
}

static void set_options(CURL *handle, call_t *call, struct curl_slist *headers,
			const char *url)
{
	const store_client_t *client = call->client;

	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(handle, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
			 (long)IDLE_CONNECTION_MAX_S);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
			 client->connect_timeout_ms);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
			 call->limit_ms ? call->limit_ms
					: client->total_timeout_ms +
						  call->extra_timeout_ms);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(handle, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(handle, CURLOPT_XFERINFODATA, call);
	if (!call->body)
		return;
	curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)strlen(call->body));
}

/** Parses `"12"` or `12`; 0 if it is not a version. */
static uint64_t parse_version(const char *text)
{
	const char *digits = text + (*text == '"');
	char *end;
	uint64_t version;

	if (*digits < '0' || *digits > '9')
		return 0;
	version = strtoull(digits, &end, 10);
	end += *end == '"';
	return *end ? 0 : version;
}

static void read_answer(CURL *handle, call_t *call)
{
	struct curl_header *etag = NULL;
	curl_off_t retry_after_s = 0;

	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &call->answer.status);
	curl_easy_getinfo(handle, CURLINFO_RETRY_AFTER, &retry_after_s);
	if (retry_after_s > 60)
		retry_after_s = 60;
	call->retry_after_ms = (uint32_t)retry_after_s * 1000;
	if (curl_easy_header(handle, "ETag", 0, CURLH_HEADER, -1, &etag) ==
	    CURLHE_OK)
		call->version = parse_version(etag->value);
}

static int64_t transferred_bytes(CURL *handle)
{
	long request_bytes = 0;
	long header_bytes = 0;
	curl_off_t up_bytes = 0;
	curl_off_t down_bytes = 0;

	curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &header_bytes);
	curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &up_bytes);
	curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &down_bytes);
	return request_bytes + header_bytes + up_bytes + down_bytes;
}

static void transfer(CURL *handle, call_t *call)
{
	struct curl_slist *headers = make_headers(call);
	char url[URL_MAX_BYTES * 2];

	snprintf(url, sizeof(url), "%s%s", call->client->url, call->path);
	set_options(handle, call, headers, url);
	call->answer.code = curl_easy_perform(handle);
	read_answer(handle, call);
	metrics_add(METRIC_STORE_BYTES_ORDER + call->purpose,
		    transferred_bytes(handle));
	curl_slist_free_all(headers);
}

static int perform(call_t *call)
{
	CURL *handle;
	int err;

	if (call->watch &&
	    __atomic_load_n(&call->client->stopping, __ATOMIC_ACQUIRE))
		return ERR_STOPPING;
	err = acquire_budget(call->client, call->purpose);
	if (err) {
		metrics_add(METRIC_STORE_REFUSED, 1);
		return err;
	}
	handle = take_handle(call->client);
	if (!handle) {
		report_outcome(call, ERR_NO_MEMORY);
		return ERR_NO_MEMORY;
	}
	metrics_add(METRIC_STORE_CALLS_ORDER + call->purpose, 1);
	transfer(handle, call);
	return_handle(call->client, handle);
	err = store_answer_error(&call->answer);
	if (outcome_of(call, err) == STORE_OUTCOME_FAILED)
		metrics_add(METRIC_STORE_FAILURES_ORDER + call->purpose, 1);
	report_outcome(call, err);
	return err;
}

static int object_path(const char *key, char path[URL_MAX_BYTES])
{
	size_t used = (size_t)snprintf(path, URL_MAX_BYTES, "/objects/");

	if (!*key || strlen(key) >= STORE_KEY_MAX_BYTES)
		return ERR_BAD_FIELD;
	return percent_encode(key, true, path + used, URL_MAX_BYTES - used);
}

static json_t *parse_text(const call_t *call)
{
	if (!call->text.bytes)
		return NULL;
	return json_loadb(call->text.bytes, call->text.len, JSON_DECODE_ANY,
			  NULL);
}

int store_client_get(store_client_t *client, store_purpose_t purpose,
		     const char *key, store_object_t *object)
{
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = purpose,
				     .method = "GET" };
	int err = object_path(key, call.path);

	memset(object, 0, sizeof(*object));
	if (!err)
		err = perform(&call);
	if (err)
		return err;
	object->version = call.version;
	object->value = parse_text(&call);
	if (object->value && object->version)
		return 0;
	/* Truncated answer, or one that is not from the store. */
	store_object_free(object);
	return ERR_STORE_DOWN;
}

static int put(call_t *call, const char *key, const json_t *value,
	       uint64_t *version)
{
	int err = object_path(key, call->path);

	if (err)
		return err;
	call->method = "PUT";
	call->answer.write = true;
	call->body = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	if (!call->body)
		return ERR_NO_MEMORY;
	if (strlen(call->body) > STORE_VALUE_MAX_BYTES)
		return ERR_LIMIT;
	err = perform(call);
	if (err)
		return err;
	if (!call->version)
		return ERR_STORE_UNKNOWN;
	if (version)
		*version = call->version;
	return 0;
}

int store_client_create(store_client_t *client, store_purpose_t purpose,
			const char *key, const json_t *value, uint64_t *version)
{
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = purpose,
				     .condition = "If-None-Match: *" };

	return put(&call, key, value, version);
}

int store_client_update(store_client_t *client, store_purpose_t purpose,
			const char *key, const json_t *value, uint64_t expected,
			uint64_t *version)
{
	return store_client_update_within(client, purpose, key, value, expected,
					  0, version);
}

int store_client_update_within(store_client_t *client, store_purpose_t purpose,
			       const char *key, const json_t *value,
			       uint64_t expected, uint32_t limit_ms,
			       uint64_t *version)
{
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = purpose,
				     .limit_ms = limit_ms };

	snprintf(call.condition, sizeof(call.condition),
		 "If-Match: \"%" PRIu64 "\"", expected);
	return put(&call, key, value, version);
}

int store_client_delete(store_client_t *client, store_purpose_t purpose,
			const char *key, uint64_t expected)
{
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = purpose,
				     .method = "DELETE" };
	int err = object_path(key, call.path);

	if (err)
		return err;
	call.answer.write = true;
	snprintf(call.condition, sizeof(call.condition),
		 "If-Match: \"%" PRIu64 "\"", expected);
	return perform(&call);
}

static uint64_t json_version(const json_t *value)
{
	if (json_is_integer(value) && json_integer_value(value) > 0)
		return (uint64_t)json_integer_value(value);
	return json_is_string(value) ? parse_version(json_string_value(value))
				     : 0;
}

static bool copy_name(const json_t *value, char *name, size_t size)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) >= size)
		return false;
	memcpy(name, text, strlen(text) + 1);
	return true;
}

static bool parse_items(const json_t *root, const char *field,
			store_items_t *items)
{
	const json_t *array = json_object_get(root, field);
	const json_t *entry;
	size_t i;

	if (!json_is_array(array) ||
	    !json_is_integer(json_object_get(root, "revision")))
		return false;
	items->revision =
		(uint64_t)json_integer_value(json_object_get(root, "revision"));
	items->more = json_is_true(json_object_get(root, "more"));
	items->items =
		calloc(json_array_size(array) + 1, sizeof(*items->items));
	if (!items->items)
		return false;
	json_array_foreach (array, i, entry) {
		store_item_t *item = &items->items[items->count++];

		item->version = json_version(json_object_get(entry, "version"));
		item->deleted = json_is_true(json_object_get(entry, "deleted"));
		item->value = json_incref(json_object_get(entry, "value"));
		if (!copy_name(json_object_get(entry, "key"), item->key,
			       sizeof(item->key)))
			return false;
	}
	return true;
}

/** Performs a list or watch call and parses the answer. */
static int read_items(call_t *call, const char *field, store_items_t *items)
{
	CLEANUP_JSON json_t *root = NULL;
	int err = perform(call);

	if (err)
		return err;
	root = parse_text(call);
	if (root && parse_items(root, field, items))
		return 0;
	store_items_free(items);
	return ERR_STORE_DOWN;
}

int store_client_list(store_client_t *client, store_purpose_t purpose,
		      const char *prefix, const char *after, uint32_t limit,
		      store_items_t *items)
{
	char prefix_text[STORE_KEY_MAX_BYTES * 3];
	char after_text[STORE_KEY_MAX_BYTES * 3];
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = purpose,
				     .method = "GET" };

	memset(items, 0, sizeof(*items));
	if (percent_encode(prefix, false, prefix_text, sizeof(prefix_text)) ||
	    percent_encode(after ? after : "", false, after_text,
			   sizeof(after_text)))
		return ERR_BAD_FIELD;
	snprintf(call.path, sizeof(call.path),
		 "/objects?prefix=%s%s%s&limit=%" PRIu32, prefix_text,
		 after ? "&after=" : "", after_text, limit);
	return read_items(&call, "items", items);
}

int store_client_watch(store_client_t *client, store_purpose_t purpose,
		       const char *prefix, uint64_t after, uint32_t timeout_ms,
		       store_items_t *changes)
{
	char prefix_text[STORE_KEY_MAX_BYTES * 3];
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = purpose,
				     .method = "GET",
				     .extra_timeout_ms = timeout_ms,
				     .watch = true };

	memset(changes, 0, sizeof(*changes));
	if (percent_encode(prefix, false, prefix_text, sizeof(prefix_text)))
		return ERR_BAD_FIELD;
	snprintf(call.path, sizeof(call.path),
		 "/watch?prefix=%s&after=%" PRIu64 "&timeout_ms=%" PRIu32,
		 prefix_text, after, timeout_ms);
	return read_items(&call, "changes", changes);
}

void store_items_free(store_items_t *items)
{
	for (size_t i = 0; i < items->count; i++)
		json_decref(items->items[i].value);
	free(items->items);
	memset(items, 0, sizeof(*items));
}

static bool parse_instance(const json_t *entry, store_instance_t *instance)
{
	static const char *const kinds[] = { "router", "engine", "plain" };
	const char *kind = json_string_value(json_object_get(entry, "kind"));
	const char *state = json_string_value(json_object_get(entry, "state"));
	json_int_t port = json_integer_value(json_object_get(entry, "port"));
	size_t i = 0;

	while (kind && i < 3 && strcmp(kind, kinds[i]) != 0)
		i++;
	if (!kind || i == 3 || !state || port < 1 || port > 65535)
		return false;
	instance->kind = (store_instance_kind_t)i;
	instance->port = (uint16_t)port;
	instance->leaving = strcmp(state, "live") != 0;
	return copy_name(json_object_get(entry, "id"), instance->id,
			 sizeof(instance->id)) &&
	       copy_name(json_object_get(entry, "address"), instance->address,
			 sizeof(instance->address)) &&
	       copy_name(json_object_get(entry, "domain"), instance->domain,
			 sizeof(instance->domain));
}

int store_client_instances(store_client_t *client, store_instance_t **instances,
			   size_t *count)
{
	CLEANUP_JSON json_t *root = NULL;
	const json_t *array;
	const json_t *entry;
	size_t i;
	CLEANUP_CALL call_t call = { .client = client,
				     .purpose = STORE_PURPOSE_MEMBERSHIP,
				     .method = "GET",
				     .path = "/instances" };
	int err = perform(&call);

	*instances = NULL;
	*count = 0;
	if (err)
		return err;
	root = parse_text(&call);
	array = json_object_get(root, "instances");
	if (!json_is_array(array))
		return ERR_STORE_DOWN;
	*instances = calloc(json_array_size(array) + 1, sizeof(**instances));
	if (!*instances)
		return ERR_NO_MEMORY;
	/* Skip invalid entries, so that they do not hide the others. */
	json_array_foreach (array, i, entry) {
		if (parse_instance(entry, &(*instances)[*count]))
			(*count)++;
	}
	return 0;
}
