#include "t/lib/platform_store.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/raw_server.h"

#define PATH "/v1/objects/"

/* One change; the last one of a kind and name is the current object. */
typedef struct change {
	char *kind;
	char *name;
	uint64_t revision;
	bool deleted;
	json_t *spec;
} change_t;

struct platform_store {
	raw_server_t *server;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GPtrArray *changes;
	uint64_t revision;
	uint64_t forgotten; /**< Watches from before this revision fail. */
	uint64_t era;
	uint32_t calls;
	GHashTable *kind_calls; /**< Number of calls for each kind. */
	uint32_t ignored_calls;
	const char *ignored_kind; /**< NULL for none. */
	bool down;
};

/* Returns the current object, or NULL if it does not exist. */
static change_t *find_object(const platform_store_t *store, const char *kind,
			     const char *name)
{
	for (guint i = store->changes->len; i-- > 0;) {
		change_t *change = g_ptr_array_index(store->changes, i);

		if (!strcmp(change->kind, kind) && !strcmp(change->name, name))
			return change->deleted ? NULL : change;
	}
	return NULL;
}

static change_t *append_change(platform_store_t *store, const char *kind,
			       const char *name, json_t *spec, bool deleted)
{
	change_t *change = g_new0(change_t, 1);

	change->kind = g_strdup(kind);
	change->name = g_strdup(name);
	change->revision = ++store->revision;
	change->deleted = deleted;
	change->spec = json_incref(spec);
	g_ptr_array_add(store->changes, change);
	pthread_cond_broadcast(&store->changed);
	return change;
}

static json_t *object_json(const change_t *change)
{
	return json_pack("{s:{s:s,s:I},s:O?}", "metadata", "name", change->name,
			 "rev", (json_int_t)change->revision, "spec",
			 change->spec);
}

static void send_json(const platform_store_t *store,
		      const raw_request_t *request, int status, json_t *value)
{
	CLEANUP_FREE char *text = value ? json_dumps(value, 0) : strdup("{}");

	raw_send(request,
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Store-Era: %llu\r\nContent-Length: %zu\r\n\r\n%s",
		 status, (unsigned long long)store->era, strlen(text), text);
	json_decref(value);
}

static json_t *list_objects(const platform_store_t *store, const char *kind)
{
	json_t *items = json_array();

	for (guint i = 0; i < store->changes->len; i++) {
		change_t *change = g_ptr_array_index(store->changes, i);

		if (!strcmp(change->kind, kind) &&
		    find_object(store, kind, change->name) == change)
			json_array_append_new(items, object_json(change));
	}
	return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
			 "as_of", (json_int_t)store->revision);
}

static json_t *events_since(const platform_store_t *store, const char *kind,
			    uint64_t revision)
{
	json_t *events = json_array();

	for (guint i = 0; i < store->changes->len; i++) {
		change_t *change = g_ptr_array_index(store->changes, i);

		if (change->revision > revision && !strcmp(change->kind, kind))
			json_array_append_new(
				events, json_pack("{s:b,s:o}", "deleted",
						  change->deleted, "object",
						  object_json(change)));
	}
	return events;
}

static void answer_watch(platform_store_t *store, const raw_request_t *request,
			 const char *kind, const char *query)
{
	uint64_t since = strtoull(strstr(query, "watch=") + 6, NULL, 10);
	const char *wait = strstr(query, "wait_ms=");
	uint64_t deadline_ms =
		clock_now_ms() + (wait ? strtoull(wait + 8, NULL, 10) : 0);
	uint64_t era = store->era;
	json_t *events;

	if (since > store->revision || since < store->forgotten) {
		send_json(store, request, 410, NULL);
		return;
	}
	events = events_since(store, kind, since);
	while (!json_array_size(events) && !store->down && store->era == era) {
		json_decref(events);
		if (!clock_cond_wait_until(&store->changed, &store->lock,
					   deadline_ms)) {
			events = json_array();
			break;
		}
		events = events_since(store, kind, since);
	}
	/* An outage ends open watches, also if it is over already. */
	if (store->down || store->era != era) {
		json_decref(events);
		send_json(store, request, 503, NULL);
		return;
	}
	send_json(store, request, 200,
		  json_pack("{s:o,s:I}", "events", events, "as_of",
			    (json_int_t)store->revision));
}

static void answer_get(platform_store_t *store, const raw_request_t *request,
		       const char *kind, const char *name, const char *query)
{
	const change_t *change;

	if (*name) {
		change = find_object(store, kind, name);
		send_json(store, request, change ? 200 : 404,
			  change ? object_json(change) : NULL);
	} else if (strstr(query, "watch=")) {
		answer_watch(store, request, kind, query);
	} else {
		send_json(store, request, 200, list_objects(store, kind));
	}
}

static void answer_write(platform_store_t *store, const raw_request_t *request,
			 const char *kind, const char *name)
{
	CLEANUP_JSON json_t *object = json_loads(request->body, 0, NULL);
	const json_t *metadata = json_object_get(object, "metadata");
	json_t *spec = json_object_get(object, "spec");
	uint64_t revision =
		(uint64_t)json_integer_value(json_object_get(metadata, "rev"));
	bool create = g_str_has_prefix(request->head, "POST");
	const change_t *current;

	if (create)
		name = json_string_value(json_object_get(metadata, "name"));
	current = find_object(store, kind, name);
	if (!create && !current)
		send_json(store, request, 404, NULL);
	else if (current &&
		 (create || (revision && revision != current->revision)))
		send_json(store, request, 409, object_json(current));
	else
		send_json(store, request, 200,
			  object_json(append_change(store, kind, name, spec,
						    false)));
}

static void count_call(platform_store_t *store, const char *kind)
{
	guint count =
		GPOINTER_TO_UINT(g_hash_table_lookup(store->kind_calls, kind));

	g_hash_table_insert(store->kind_calls, g_strdup(kind),
			    GUINT_TO_POINTER(count + 1));
}

static raw_next_t answer(void *context, const raw_request_t *request)
{
	platform_store_t *store = context;
	const char *path = strstr(request->head, PATH);
	char kind[64] = "";
	char name[128] = "";
	char query[256] = "";

	if (path) {
		path += strlen(PATH);
		sscanf(path, "%63[^/? ]", kind);
		path += strlen(kind);
		sscanf(path, "/%127[^? ]", name);
		path += strcspn(path, "? ");
		sscanf(path, "?%255[^ ]", query);
	}
	SCOPED_LOCK(guard, &store->lock);
	store->calls++;
	count_call(store, kind);
	if (store->ignored_kind && !strcmp(kind, store->ignored_kind))
		store->ignored_calls++;
	else if (store->down || !*kind)
		send_json(store, request, store->down ? 503 : 404, NULL);
	else if (g_str_has_prefix(request->head, "GET"))
		answer_get(store, request, kind, name, query);
	else
		answer_write(store, request, kind, name);
	return RAW_KEEP;
}

static void free_change(gpointer data)
{
	change_t *change = data;

	g_free(change->kind);
	g_free(change->name);
	json_decref(change->spec);
	g_free(change);
}

platform_store_t *platform_store_start(void)
{
	platform_store_t *store = g_new0(platform_store_t, 1);

	pthread_mutex_init(&store->lock, NULL);
	clock_cond_init(&store->changed);
	store->changes = g_ptr_array_new_with_free_func(free_change);
	store->kind_calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->revision = 1;
	store->era = 1;
	store->server = raw_server_start(answer, store);
	return store;
}

void platform_store_stop(platform_store_t *store)
{
	platform_store_set_down(store, true);
	raw_server_stop(store->server);
	g_ptr_array_free(store->changes, TRUE);
	g_hash_table_destroy(store->kind_calls);
	pthread_cond_destroy(&store->changed);
	pthread_mutex_destroy(&store->lock);
	g_free(store);
}

uint16_t platform_store_port(const platform_store_t *store)
{
	return raw_server_port(store->server);
}

void platform_store_put(platform_store_t *store, const char *kind,
			const char *name, json_t *spec)
{
	SCOPED_LOCK(guard, &store->lock);
	append_change(store, kind, name, spec, false);
	json_decref(spec);
}

void platform_store_remove(platform_store_t *store, const char *kind,
			   const char *name)
{
	SCOPED_LOCK(guard, &store->lock);
	append_change(store, kind, name, NULL, true);
}

json_t *platform_store_get(platform_store_t *store, const char *kind,
			   const char *name)
{
	SCOPED_LOCK(guard, &store->lock);
	const change_t *change = find_object(store, kind, name);

	return change ? json_incref(change->spec) : NULL;
}

uint64_t platform_store_revision(platform_store_t *store)
{
	SCOPED_LOCK(guard, &store->lock);
	return store->revision;
}

void platform_store_set_down(platform_store_t *store, bool down)
{
	SCOPED_LOCK(guard, &store->lock);
	store->down = down;
	pthread_cond_broadcast(&store->changed);
}

void platform_store_forget(platform_store_t *store)
{
	SCOPED_LOCK(guard, &store->lock);
	store->forgotten = store->revision;
}

void platform_store_ignore(platform_store_t *store, const char *kind)
{
	SCOPED_LOCK(guard, &store->lock);
	store->ignored_kind = kind;
}

uint32_t platform_store_ignored(platform_store_t *store)
{
	SCOPED_LOCK(guard, &store->lock);
	return store->ignored_calls;
}

void platform_store_restore(platform_store_t *store, uint64_t revision)
{
	SCOPED_LOCK(guard, &store->lock);
	while (store->changes->len) {
		const change_t *last = g_ptr_array_index(
			store->changes, store->changes->len - 1);

		if (last->revision <= revision)
			break;
		g_ptr_array_set_size(store->changes,
				     (gint)store->changes->len - 1);
	}
	store->revision = revision;
	store->era++;
	pthread_cond_broadcast(&store->changed);
}

uint32_t platform_store_calls(platform_store_t *store)
{
	SCOPED_LOCK(guard, &store->lock);
	return store->calls;
}

uint32_t platform_store_calls_of(platform_store_t *store, const char *kind)
{
	SCOPED_LOCK(guard, &store->lock);
	return GPOINTER_TO_UINT(g_hash_table_lookup(store->kind_calls, kind));
}
