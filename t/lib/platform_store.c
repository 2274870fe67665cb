#include "t/lib/platform_store.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/raw_server.h"

#define PATH "/v1/objects/"

enum {
	/** Largest page of a list. */
	PAGE_ITEMS = 500,
	PAGE_BYTES = 1048576,
};

/* One change; the last one of a kind and name is the current object. */
typedef struct change {
	char *kind;
	char *name;
	uint64_t revision;
	bool deleted;
	json_t *spec;
	char *text; /**< Of the whole object; NULL: it is made of the others. */
	char *mark; /**< Text that stands for it. */
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
	size_t page_items; /**< Largest page of a list. */
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
	if (change->text)
		return json_sprintf("object of revision %llu",
				    (unsigned long long)change->revision);
	return json_pack("{s:{s:s,s:I},s:O?}", "metadata", "name", change->name,
			 "rev", (json_int_t)change->revision, "spec",
			 change->spec);
}

/* Puts the texts of objects in the place of what stands for them. */
static char *insert_texts(const platform_store_t *store, const char *text)
{
	GString *all = g_string_new(text);

	for (guint i = 0; i < store->changes->len; i++) {
		const change_t *change = g_ptr_array_index(store->changes, i);

		if (change->text)
			g_string_replace(all, change->mark, change->text, 0);
	}
	return g_string_free(all, FALSE);
}

static void send_json(const platform_store_t *store,
		      const raw_request_t *request, int status, json_t *value)
{
	char *printed = value ? json_dumps(value, 0) : strdup("{}");
	g_autofree char *text = insert_texts(store, printed);

	free(printed);
	raw_send(request,
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Store-Era: %llu\r\nContent-Length: %zu\r\n\r\n%s",
		 status, (unsigned long long)store->era, strlen(text), text);
	json_decref(value);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const change_t *const *first = a;
	const change_t *const *second = b;

	return strcmp((*first)->name, (*second)->name);
}

/* Current objects of a kind, by name. */
static GPtrArray *current_objects(const platform_store_t *store,
				  const char *kind)
{
	GPtrArray *objects = g_ptr_array_new();

	for (guint i = 0; i < store->changes->len; i++) {
		change_t *change = g_ptr_array_index(store->changes, i);

		if (!strcmp(change->kind, kind) &&
		    find_object(store, kind, change->name) == change)
			g_ptr_array_add(objects, change);
	}
	g_ptr_array_sort(objects, compare_names);
	return objects;
}

/* A page of the objects with a name above `after`, or from the first one on. */
static json_t *list_page(const platform_store_t *store, const char *kind,
			 const char *after)
{
	GPtrArray *objects = current_objects(store, kind);
	json_t *items = json_array();
	size_t bytes = 0;
	bool more = false;

	for (guint i = 0; i < objects->len && !more; i++) {
		const change_t *change = g_ptr_array_index(objects, i);
		json_t *object;

		if (after && strcmp(change->name, after) <= 0)
			continue;
		object = object_json(change);
		bytes += json_dumpb(object, NULL, 0, 0);
		more = json_array_size(items) &&
		       (json_array_size(items) == store->page_items ||
			bytes > PAGE_BYTES);
		if (more)
			json_decref(object);
		else
			json_array_append_new(items, object);
	}
	g_ptr_array_free(objects, TRUE);
	return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
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

/* Value of a parameter of a query; g_free() it. NULL if there is none. */
static char *query_value(const char *query, const char *name)
{
	g_auto(GStrv) parameters = g_strsplit(query, "&", -1);

	for (char **parameter = parameters; *parameter; parameter++) {
		const char *value = strchr(*parameter, '=');

		if (value && (size_t)(value - *parameter) == strlen(name) &&
		    g_str_has_prefix(*parameter, name))
			return g_uri_unescape_string(value + 1, NULL);
	}
	return NULL;
}

static void answer_get(platform_store_t *store, const raw_request_t *request,
		       const char *kind, const char *name, const char *query)
{
	g_autofree char *after = query_value(query, "after");
	const change_t *change;

	if (*name) {
		change = find_object(store, kind, name);
		send_json(store, request, change ? 200 : 404,
			  change ? object_json(change) : NULL);
	} else if (strstr(query, "watch=")) {
		answer_watch(store, request, kind, query);
	} else {
		send_json(store, request, 200, list_page(store, kind, after));
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

/* Whether a URL has valid escapes only and no character that must be escaped
 * (RFC 3986). */
static bool is_valid_target(const char *target)
{
	for (const char *c = target; *c; c++) {
		if (*c == '%' &&
		    !(g_ascii_isxdigit(c[1]) && g_ascii_isxdigit(c[2])))
			return false;
		if (*c <= ' ' || *c >= 0x7f || strchr("\"<>\\^`{|}", *c))
			return false;
	}
	return true;
}

/* The parts of a request's target, decoded as far as they are names. */
typedef struct target {
	char *kind;
	char *name; /**< Empty if there is none. */
	char *query;
} target_t;

static void clear_target(target_t *target)
{
	g_free(target->kind);
	g_free(target->name);
	g_free(target->query);
}

/* Returns false unless the request line has three words, the second of which is
 * a valid URL. `kind` is empty for a path of no object. */
static bool read_target(const char *head, target_t *target)
{
	g_autofree char *line = g_strndup(head, strcspn(head, "\r\n"));
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	g_auto(GStrv) path = NULL;
	g_auto(GStrv) parts = NULL;

	if (g_strv_length(words) != 3 || !is_valid_target(words[1]))
		return false;
	words[1][strcspn(words[1], "#")] = '\0';
	path = g_strsplit(words[1], "?", 2);
	target->query = g_strdup(path[1] ? path[1] : "");
	if (!g_str_has_prefix(path[0], PATH)) {
		target->kind = g_strdup("");
		target->name = g_strdup("");
		return true;
	}
	parts = g_strsplit(path[0] + strlen(PATH), "/", 2);
	target->kind = g_strdup(parts[0]);
	target->name = parts[0] && parts[1]
			       ? g_uri_unescape_string(parts[1], NULL)
			       : g_strdup("");
	return target->kind && target->name;
}

static raw_next_t answer(void *context, const raw_request_t *request)
{
	platform_store_t *store = context;
	__attribute__((cleanup(clear_target))) target_t target = { 0 };
	bool valid = read_target(request->head, &target);
	const char *kind = valid ? target.kind : "";

	SCOPED_LOCK(guard, &store->lock);
	store->calls++;
	count_call(store, kind);
	if (!valid)
		send_json(store, request, 400, NULL);
	else if (store->ignored_kind && !strcmp(kind, store->ignored_kind))
		store->ignored_calls++;
	else if (store->down || !*kind)
		send_json(store, request, store->down ? 503 : 404, NULL);
	else if (g_str_has_prefix(request->head, "GET"))
		answer_get(store, request, kind, target.name, target.query);
	else
		answer_write(store, request, kind, target.name);
	return RAW_KEEP;
}

static void free_change(gpointer data)
{
	change_t *change = data;

	g_free(change->kind);
	g_free(change->name);
	json_decref(change->spec);
	g_free(change->text);
	g_free(change->mark);
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
	store->page_items = PAGE_ITEMS;
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

void platform_store_put_text(platform_store_t *store, const char *kind,
			     const char *name, const char *text)
{
	SCOPED_LOCK(guard, &store->lock);
	change_t *change = append_change(store, kind, name, NULL, false);

	change->text = g_strdup(text);
	change->mark = g_strdup_printf("\"object of revision %llu\"",
				       (unsigned long long)change->revision);
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

void platform_store_set_page_items(platform_store_t *store, size_t items)
{
	SCOPED_LOCK(guard, &store->lock);
	store->page_items = items;
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
