/*
 * Stand-in for the platform's object API and instance list (section 8 of
 * docs/design.md). It keeps data in memory, counts calls and injects faults.
 *
 * Deleted objects stay in the table without a value, so that a stale read can
 * still return them.
 */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/http_server.h"

enum {
	VALUE_MAX_BYTES = 1 << 20,
	KEY_MAX_BYTES = 512,
	LIST_DEFAULT_ITEMS = 1000,
	WATCH_DEFAULT_MS = 30000,
};

typedef struct object {
	char *key;
	json_t *value;	   /**< NULL if deleted. */
	uint64_t version;  /**< Revision of the last change. */
	json_t *old_value; /**< Before the last change, for stale reads. */
	uint64_t old_version;
	uint64_t changed_ms;
} object_t;

typedef struct change {
	uint64_t revision;
	object_t *object;
	bool deleted;
} change_t;

/** Token bucket that limits the rate of calls of one kind. */
typedef struct bucket {
	uint32_t per_s; /**< 0 for no limit. */
	double tokens;
	uint64_t refilled_ms;
} bucket_t;

static uint32_t history_max;
static uint32_t latency_ms;
static http_server_t server;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool stopping;
	GTree *objects;
	uint64_t revision;
	GQueue history; /**< `change_t *`, oldest first. */
	json_t *calls;	/**< Calls by method and first segment of the key. */
	json_t *totals;
	bucket_t reads;
	bucket_t writes;
	uint64_t down_until_ms;
	uint64_t slow_ms;  /**< Added to the latency of each call. */
	uint64_t stale_ms; /**< Time until reads return a change. */
	/** Remaining writes that are applied without an answer. */
	uint64_t drop_write_answers;
	char drop_prefix[KEY_MAX_BYTES]; /**< Key prefix of such writes. */
	uint64_t instances_lag_ms;
	/** When reads start to return the new list. */
	uint64_t instances_visible_ms;
	json_t *instances;
	json_t *old_instances;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER };

static bool take_token(bucket_t *bucket, uint64_t now_ms)
{
	double gained =
		(double)(now_ms - bucket->refilled_ms) * bucket->per_s / 1000;

	bucket->tokens = MIN(bucket->tokens + gained, bucket->per_s);
	bucket->refilled_ms = now_ms;
	if (!bucket->per_s)
		return true;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

/** Counts a call by method and first segment of its key. */
static void count_call(const char *method, const char *key)
{
	const char *slash = strchr(key, '/');
	g_autofree char *prefix =
		slash ? g_strndup(key, (gsize)(slash - key) + 1)
		      : g_strdup(key);
	json_t *counters = json_object_get(store.calls, method);

	if (!counters) {
		counters = json_object();
		json_object_set_new(store.calls, method, counters);
	}
	json_counter_add(counters, prefix, 1);
}

static bool is_down(void)
{
	return clock_now_ms() < store.down_until_ms;
}

/**
 * Counts a call, delays it, and refuses it in an outage or above the rate.
 * @return false if the call was refused and answered
 */
static bool admit(http_request_t *request, const char *method, const char *key,
		  bucket_t *bucket)
{
	uint64_t delay_ms;
	bool down;
	bool allowed;

	pthread_mutex_lock(&store.lock);
	count_call(method, key);
	delay_ms = latency_ms + store.slow_ms;
	down = is_down();
	allowed = down || take_token(bucket, clock_now_ms());
	if (!allowed)
		json_counter_add(store.totals, "rate_limited", 1);
	pthread_mutex_unlock(&store.lock);
	clock_sleep_us(delay_ms * 1000);
	if (down)
		http_send_error(request, 503, "Retry-After: 1\r\n", "outage");
	else if (!allowed)
		http_send_error(request, 429, "Retry-After: 1\r\n",
				"rate limit");
	return !down && allowed;
}

/** Value that a read returns: the old one if the change is too recent. */
static json_t *visible_value(const object_t *object, uint64_t *version)
{
	bool stale = store.stale_ms &&
		     clock_now_ms() < object->changed_ms + store.stale_ms;

	*version = stale ? object->old_version : object->version;
	return stale ? object->old_value : object->value;
}

static const char *object_key(const http_request_t *request)
{
	return request->path + strlen("/objects/");
}

static void version_header(char header[64], uint64_t version)
{
	snprintf(header, 64, "ETag: \"%llu\"\r\n", (unsigned long long)version);
}

static void handle_get(http_request_t *request)
{
	const char *key = object_key(request);
	json_t *value = NULL;
	object_t *object;
	uint64_t version;
	char header[64];

	if (!admit(request, "GET", key, &store.reads))
		return;
	pthread_mutex_lock(&store.lock);
	object = g_tree_lookup(store.objects, key);
	if (object)
		value = json_incref(visible_value(object, &version));
	pthread_mutex_unlock(&store.lock);
	if (!value) {
		http_send_error(request, 404, "", "no such object");
		return;
	}
	version_header(header, version);
	http_send_json(request, 200, header, value);
}

/** Whether If-Match or If-None-Match allows the write. */
static bool condition_holds(const http_request_t *request,
			    const object_t *object)
{
	const char *match = http_header(request, "If-Match", NULL);
	char current[32];

	if (!match)
		return !object || !object->value;
	if (!object || !object->value)
		return false;
	snprintf(current, sizeof(current), "\"%llu\"",
		 (unsigned long long)object->version);
	return !strcmp(match, current);
}

static void log_change(object_t *object)
{
	change_t *change = g_new(change_t, 1);

	*change = (change_t){
		.revision = store.revision,
		.object = object,
		.deleted = !object->value,
	};
	g_queue_push_tail(&store.history, change);
	while (store.history.length > history_max)
		g_free(g_queue_pop_head(&store.history));
	pthread_cond_broadcast(&store.changed);
}

/** Sets or, if `value` is NULL, deletes an object. @return new version */
static uint64_t change_object(object_t *object, const char *key, json_t *value)
{
	if (!object) {
		object = g_new0(object_t, 1);
		object->key = g_strdup(key);
		g_tree_insert(store.objects, object->key, object);
	}
	json_decref(object->old_value);
	object->old_value = object->value;
	object->old_version = object->version;
	object->value = json_incref(value);
	object->version = ++store.revision;
	object->changed_ms = clock_now_ms();
	log_change(object);
	return object->version;
}

/** Whether to drop the answer to a write that was applied. */
static bool should_drop_answer(const char *key)
{
	if (!store.drop_write_answers ||
	    !g_str_has_prefix(key, store.drop_prefix))
		return false;
	store.drop_write_answers--;
	json_counter_add(store.totals, "answers_dropped", 1);
	return true;
}

/** Conditional write. @return new version, or 0 if the condition failed */
static uint64_t write_object(const http_request_t *request, json_t *value,
			     bool *created, bool *dropped)
{
	const char *key = object_key(request);
	object_t *object;
	uint64_t version;
	SCOPED_LOCK(held, &store.lock);

	object = g_tree_lookup(store.objects, key);
	if (!condition_holds(request, object))
		return 0;
	*created = !object || !object->value;
	version = change_object(object, key, value);
	*dropped = should_drop_answer(key);
	return version;
}

static void answer_write(http_request_t *request, json_t *value)
{
	bool created = false;
	bool dropped = false;
	uint64_t version = write_object(request, value, &created, &dropped);
	char header[64];

	if (!version) {
		http_send_error(request, 412, "", "condition failed");
		return;
	}
	if (dropped) {
		http_close(request);
		return;
	}
	version_header(header, version);
	http_send_json(request, created ? 201 : 200, header, json_object());
}

static void handle_write(http_request_t *request)
{
	bool is_delete = !strcmp(request->method, "DELETE");
	bool conditional =
		http_header(request, "If-Match", NULL) ||
		(!is_delete && http_header(request, "If-None-Match", NULL));

	if (!admit(request, request->method, object_key(request),
		   &store.writes))
		return;
	if (!conditional)
		http_send_error(request, 428, "", "condition required");
	else if (!is_delete && request->body_len > VALUE_MAX_BYTES)
		http_send_error(request, 413, "", "value above 1 MB");
	else if (!is_delete && !request->json)
		http_send_error(request, 400, "", "value is not JSON");
	else
		answer_write(request, is_delete ? NULL : request->json);
}

static json_t *list_objects(const char *prefix, const char *after,
			    uint64_t limit)
{
	json_t *items = json_array();
	const char *from = strcmp(after, prefix) > 0 ? after : prefix;
	bool more = false;
	SCOPED_LOCK(held, &store.lock);
	GTreeNode *node = g_tree_lower_bound(store.objects, from);

	for (; node; node = g_tree_node_next(node)) {
		object_t *object = g_tree_node_value(node);
		uint64_t version;
		json_t *value = visible_value(object, &version);

		if (!g_str_has_prefix(object->key, prefix))
			break;
		if (!value || !strcmp(object->key, after))
			continue;
		more = json_array_size(items) >= limit;
		if (more)
			break;
		json_array_append_new(items, json_pack("{s:s,s:I,s:O}", "key",
						       object->key, "version",
						       (json_int_t)version,
						       "value", value));
	}
	return json_pack("{s:I,s:o,s:b}", "revision",
			 (json_int_t)store.revision, "items", items, "more",
			 more);
}

static void handle_list(http_request_t *request)
{
	char prefix[KEY_MAX_BYTES];
	char after[KEY_MAX_BYTES];

	http_query(request, "prefix", prefix, sizeof(prefix));
	http_query(request, "after", after, sizeof(after));
	if (admit(request, "LIST", prefix, &store.reads))
		http_send_json(
			request, 200, "",
			list_objects(prefix, after,
				     http_query_number(request, "limit",
						       LIST_DEFAULT_ITEMS)));
}

/** Changes after a revision, or NULL if the history starts later. */
static json_t *changes_after(const char *prefix, uint64_t after)
{
	uint64_t kept_from = store.revision - store.history.length;
	json_t *changes = json_array();

	for (GList *link = store.history.head; link; link = link->next) {
		const change_t *change = link->data;

		if (change->revision > after &&
		    g_str_has_prefix(change->object->key, prefix))
			json_array_append_new(
				changes,
				json_pack("{s:s,s:I,s:b}", "key",
					  change->object->key, "version",
					  (json_int_t)change->revision,
					  "deleted", change->deleted));
	}
	if (after >= kept_from)
		return changes;
	json_decref(changes);
	return NULL;
}

/** Waits for changes; sets `status`. @return body of the answer */
static json_t *wait_for_changes(const char *prefix, uint64_t after,
				uint64_t timeout_ms, int *status)
{
	uint64_t deadline_ms = clock_now_ms() + timeout_ms;
	json_t *changes;
	SCOPED_LOCK(held, &store.lock);

	changes = changes_after(prefix, after);
	while (changes && !json_array_size(changes) && !store.stopping &&
	       !is_down() && clock_now_ms() < deadline_ms) {
		json_decref(changes);
		clock_cond_wait(&store.changed, &store.lock,
				deadline_ms - MIN(deadline_ms, clock_now_ms()));
		changes = changes_after(prefix, after);
	}
	*status = is_down() ? 503 : changes ? 200 : 410;
	return json_pack("{s:I,s:o}", "revision", (json_int_t)store.revision,
			 "changes", changes ? changes : json_array());
}

static void handle_watch(http_request_t *request)
{
	uint64_t after = http_query_number(request, "after", 0);
	uint64_t timeout_ms =
		http_query_number(request, "timeout_ms", WATCH_DEFAULT_MS);
	char prefix[KEY_MAX_BYTES];
	json_t *answer;
	int status;

	http_query(request, "prefix", prefix, sizeof(prefix));
	if (!admit(request, "WATCH", prefix, &store.reads))
		return;
	answer = wait_for_changes(prefix, after, timeout_ms, &status);
	http_send_json(request, status, "", answer);
}

/* The instance list is a separate service without the store's outages. */

static void handle_instances(http_request_t *request)
{
	bool lags;
	SCOPED_LOCK(held, &store.lock);

	lags = clock_now_ms() < store.instances_visible_ms;
	count_call("GET", "instances");
	http_send_json(request, 200, "",
		       json_pack("{s:O}", "instances",
				 lags ? store.old_instances : store.instances));
}

/** Replaces the instance list; reads return it after `instances_lag_ms`. */
static void set_instances(json_t *list)
{
	json_decref(store.old_instances);
	store.old_instances = store.instances;
	store.instances = json_incref(list);
	store.instances_visible_ms = clock_now_ms() + store.instances_lag_ms;
}

static void handle_control(http_request_t *request)
{
	json_t *outage = json_object_get(request->json, "outage_ms");
	json_t *list = json_object_get(request->json, "instances");
	json_int_t outage_ms = json_integer_value(outage);
	SCOPED_LOCK(held, &store.lock);

	/* An outage of negative duration lasts until the next control call. */
	if (outage)
		store.down_until_ms =
			outage_ms < 0 ? UINT64_MAX
				      : clock_now_ms() + (uint64_t)outage_ms;
	http_update_number(request, "slow_ms", &store.slow_ms);
	http_update_number(request, "stale_ms", &store.stale_ms);
	http_update_number(request, "drop_write_answers",
			   &store.drop_write_answers);
	g_strlcpy(store.drop_prefix,
		  http_body_text(request, "drop_prefix", store.drop_prefix),
		  KEY_MAX_BYTES);
	http_update_number(request, "instances_lag_ms",
			   &store.instances_lag_ms);
	if (list)
		set_instances(list);
	pthread_cond_broadcast(&store.changed);
	http_send_ok(request);
}

static void handle_stats(http_request_t *request)
{
	json_t *stats;
	SCOPED_LOCK(held, &store.lock);

	stats = json_deep_copy(store.totals);
	json_object_set(stats, "calls", store.calls);
	http_send_json(request, 200, "", stats);
}

static const http_route_t routes[] = {
	{ "GET", "/objects", handle_list },
	{ "GET", "/objects/*", handle_get },
	{ "PUT", "/objects/*", handle_write },
	{ "DELETE", "/objects/*", handle_write },
	{ "GET", "/watch", handle_watch },
	{ "GET", "/instances", handle_instances },
	{ "POST", "/control", handle_control },
	{ "GET", "/control/stats", handle_stats },
	{ 0 },
};

static const setting_t settings[] = {
	SERVER_ENTRIES(server, "port", "128"),
	NUMBER_ENTRY("writes-per-s", store.writes.per_s, "500",
		     "writes allowed each second; 0 for no limit"),
	NUMBER_ENTRY("reads-per-s", store.reads.per_s, "2000",
		     "reads, lists and watches each second; 0 for no limit"),
	NUMBER_ENTRY("history", history_max, "10000",
		     "changes kept for watches"),
	NUMBER_ENTRY("latency-ms", latency_ms, "2",
		     "ms until a call takes effect"),
	{ 0 },
};

static void start(void)
{
	clock_cond_init(&store.changed);
	store.objects = g_tree_new((GCompareFunc)strcmp);
	store.calls = json_object();
	store.totals = json_object();
	store.instances = json_array();
	store.old_instances = json_array();
	store.writes.tokens = store.writes.per_s;
	store.reads.tokens = store.reads.per_s;
	store.writes.refilled_ms = store.reads.refilled_ms = clock_now_ms();
}

static void stop(void)
{
	pthread_mutex_lock(&store.lock);
	store.stopping = true;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static http_server_t server = {
	.routes = routes,
	.start = start,
	.stop = stop,
};

int main(int argc, char **argv)
{
	return http_server_main(argc, argv, settings, &server);
}
