/*
 * Tests the configuration service and the audit trail against a minimal object
 * API in this process, which can be down or fail after it executed a write.
 */
#include <civetweb.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/audit.h"
#include "process/cleanup.h"
#include "process/error.h"
#include "version/config.h"
#include "version/config_service.h"

enum {
	WAIT_MS = 20000,
	OPERATORS = 4,
	TICKETS = 12,
};

typedef struct object {
	uint64_t version;
	char *text;
} object_t;

/** The object API; the lock guards all members. */
static struct {
	GMutex lock;
	GCond changed;
	GHashTable *objects;
	uint64_t revision;
	bool down;
	/** Every n-th write is executed but answered with 500; 0: none. */
	int lost_write_interval;
	int writes;
	struct mg_context *server;
	char url[64];
} store;

static void free_object(gpointer data)
{
	object_t *object = data;

	g_free(object->text);
	g_free(object);
}

static int answer(struct mg_connection *connection, int status,
		  uint64_t version, const char *text)
{
	mg_printf(connection,
		  "HTTP/1.1 %d X\r\nETag: \"%d\"\r\nContent-Length: %zu\r\n"
		  "Connection: close\r\n\r\n%s",
		  status, (int)version, strlen(text), text);
	return status;
}

static int handle_put(struct mg_connection *connection, const char *key)
{
	const object_t *old = g_hash_table_lookup(store.objects, key);
	const char *expected = mg_get_header(connection, "If-Match");
	uint64_t version = expected ? strtoull(expected + 1, NULL, 10) : 0;
	GString *text = g_string_new(NULL);
	object_t *object;
	char chunk[4096];
	int bytes_read;

	while ((bytes_read = mg_read(connection, chunk, sizeof(chunk))) > 0)
		g_string_append_len(text, chunk, bytes_read);
	if ((old ? old->version : 0) != version) {
		g_string_free(text, TRUE);
		return answer(connection, 412, 0, "");
	}
	object = g_new0(object_t, 1);
	object->version = ++store.revision;
	object->text = g_string_free(text, FALSE);
	g_hash_table_replace(store.objects, g_strdup(key), object);
	g_cond_broadcast(&store.changed);
	if (store.lost_write_interval &&
	    ++store.writes % store.lost_write_interval == 0)
		return answer(connection, 500, 0, "");
	return answer(connection, 200, object->version, "");
}

static int handle_object(struct mg_connection *connection, const char *key)
{
	const object_t *object = g_hash_table_lookup(store.objects, key);

	if (!strcmp(mg_get_request_info(connection)->request_method, "PUT"))
		return handle_put(connection, key);
	if (!strcmp(mg_get_request_info(connection)->request_method, "DELETE"))
		return answer(connection,
			      g_hash_table_remove(store.objects, key) ? 200
								      : 404,
			      0, "");
	if (!object)
		return answer(connection, 404, 0, "");
	return answer(connection, 200, object->version, object->text);
}

/** Lists the objects with the prefix, in any order. */
static int handle_list(struct mg_connection *connection)
{
	const char *query = mg_get_request_info(connection)->query_string;
	g_autoptr(GString) items = g_string_new(NULL);
	g_autofree char *text = NULL;
	GHashTableIter iterator;
	gpointer key;
	gpointer object;
	char prefix[64];

	g_assert_cmpint(mg_get_var(query, strlen(query), "prefix", prefix,
				   sizeof(prefix)),
			>, 0);
	g_hash_table_iter_init(&iterator, store.objects);
	while (g_hash_table_iter_next(&iterator, &key, &object)) {
		const object_t *found = object;

		if (!g_str_has_prefix(key, prefix))
			continue;
		g_string_append_printf(
			items, "%s{\"key\":\"%s\",\"version\":%d,\"value\":%s}",
			items->len ? "," : "", (char *)key, (int)found->version,
			found->text);
	}
	text = g_strdup_printf(
		"{\"revision\":%d,\"more\":false,\"items\":[%s]}",
		(int)store.revision, items->str);
	return answer(connection, 200, 0, text);
}

static int handle_watch(struct mg_connection *connection)
{
	const char *query = mg_get_request_info(connection)->query_string;
	uint64_t after = strtoull(strstr(query, "after=") + 6, NULL, 10);
	int64_t timeout_ms = atoi(strstr(query, "timeout_ms=") + 11);
	int64_t end_us = g_get_monotonic_time() + timeout_ms * 1000;
	const object_t *head;
	g_autofree char *text = NULL;

	do {
		head = g_hash_table_lookup(store.objects, "config/head");
	} while (!(head && head->version > after) && !store.down &&
		 g_cond_wait_until(&store.changed, &store.lock, end_us));
	text = g_strdup_printf(
		"{\"revision\":%d,\"changes\":[%s]}", (int)store.revision,
		head && head->version > after
			? "{\"key\":\"config/head\",\"version\":1}"
			: "");
	return answer(connection, store.down ? 503 : 200, 0, text);
}

static int handle(struct mg_connection *connection, void *user)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	int status;

	(void)user;
	g_mutex_lock(&store.lock);
	if (store.down)
		status = answer(connection, 503, 0, "");
	else if (g_str_has_prefix(path, "/objects/"))
		status = handle_object(connection, path + 9);
	else if (!strcmp(path, "/watch"))
		status = handle_watch(connection);
	else
		status = handle_list(connection);
	g_mutex_unlock(&store.lock);
	return status;
}

static void start_store(void)
{
	const char *options[] = { "listening_ports", "127.0.0.1:0",
				  "num_threads", "24", NULL };
	struct mg_server_port port;

	memset(&store, 0, sizeof(store));
	store.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_object);
	store.server = mg_start(NULL, NULL, options);
	g_assert_nonnull(store.server);
	g_assert_cmpint(mg_get_server_ports(store.server, 1, &port), ==, 1);
	g_snprintf(store.url, sizeof(store.url), "http://127.0.0.1:%d",
		   port.port);
	mg_set_request_handler(store.server, "/", handle, NULL);
}

static void stop_store(void)
{
	mg_stop(store.server);
	g_hash_table_destroy(store.objects);
}

static int count_keys(const char *prefix)
{
	GHashTableIter iterator;
	gpointer key;
	int count = 0;

	g_mutex_lock(&store.lock);
	g_hash_table_iter_init(&iterator, store.objects);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		count += g_str_has_prefix(key, prefix);
	g_mutex_unlock(&store.lock);
	return count;
}

static void set_down(bool down)
{
	g_mutex_lock(&store.lock);
	store.down = down;
	g_cond_broadcast(&store.changed);
	g_mutex_unlock(&store.lock);
}

/** One instance with its client, audit trail and service. */
typedef struct instance {
	store_client_t *client;
	audit_t *audit;
	config_service_t *service;
} instance_t;

/** Size limit of the ticket log, entries; 0 for the default. */
static uint32_t log_max;

static instance_t start_instance(const char *name, const char *url,
				 config_fetch_peer_t fetch_peer, void *user,
				 const char *bootstrap_file)
{
	const store_client_options_t client_options = {
		.url = url,
		.budget = { .rate_per_s = 1000,
			    .burst = 1000,
			    .backoff_ms = 20,
			    .backoff_max_ms = 200 },
	};
	instance_t instance;
	config_service_options_t options = {
		.instance = name,
		.domain = "d1",
		.bootstrap_file = bootstrap_file,
		.fetch_peer = fetch_peer,
		.fetch_user = user,
		.seed = g_str_hash(name),
		.commit = { .log_max = log_max,
			    .log_keep = log_max / 2,
			    .page_entries = log_max / 4 },
		.watch_timeout_ms = 500,
	};

	g_assert_cmpint(store_client_open(&client_options, &instance.client),
			==, 0);
	g_assert_cmpint(audit_open(instance.client, name, options.seed,
				   &instance.audit),
			==, 0);
	options.client = instance.client;
	options.audit = instance.audit;
	g_assert_cmpint(config_service_start(&options, &instance.service), ==,
			0);
	return instance;
}

static void stop_instance(instance_t *instance)
{
	config_service_stop(instance->service);
	audit_close(instance->audit);
	store_client_close(instance->client);
}

static json_t *make_ticket(int number, const char *key)
{
	return json_pack("{s:i, s:s, s:{s:{s:i}}}", "ticket", number, "author",
			 "test", "objects", key, "block_tokens", number);
}

static int apply(instance_t *instance, int number, const char *key,
		 ticket_result_t *result)
{
	CLEANUP_JSON json_t *content = make_ticket(number, key);

	return config_service_apply_ticket(instance->service, content, "op",
					   result);
}

static bool is_at(instance_t *instance, uint64_t position)
{
	config_service_status_t status;

	config_service_status(instance->service, &status);
	return status.in_force && status.position == position;
}

#define WAIT_FOR(condition)                                                 \
	do {                                                                \
		int64_t end_us =                                            \
			g_get_monotonic_time() + (int64_t)WAIT_MS * 1000;   \
		while (!(condition)) {                                      \
			g_assert_cmpint(g_get_monotonic_time(), <, end_us); \
			g_usleep(2000);                                     \
		}                                                           \
	} while (0)

static int fetch_from_instance(void *user, uint64_t peer, uint64_t from,
			       json_t **value)
{
	instance_t *instance = user;

	(void)peer;
	*value = config_service_answer(instance->service, from);
	return *value ? 0 : ERR_NOT_FOUND;
}

typedef struct test_operator {
	instance_t *instance;
	int first; /**< Number of its first ticket. */
	int accepted;
} test_operator_t;

static gpointer run_operator(gpointer user)
{
	test_operator_t *self = user;

	for (int i = 0; i < TICKETS; i++) {
		ticket_result_t result;
		int number = self->first + i * OPERATORS;
		int err = apply(self->instance, number, "model/m", &result);

		/* The log still holds every ticket whose answer was lost, so
		 * the result is never unknown. */
		g_assert_true(!err || err == ERR_TICKET_STALE);
		self->accepted += !err;
	}
	return NULL;
}

/** Counts the audit entries with this outcome. */
static int count_entries(const json_t *entries, const char *outcome)
{
	const json_t *entry;
	size_t i;
	int count = 0;

	json_array_foreach (entries, i, entry)
		count += !strcmp(
			json_string_value(json_object_get(entry, "outcome")),
			outcome);
	return count;
}

/*
 * Operators apply tickets concurrently at two instances while answers to
 * writes are lost. Both instances must end with the highest ticket number, and
 * the audit trail must have each decision exactly once.
 */
static void test_racing_operators(void)
{
	GThread *threads[OPERATORS];
	test_operator_t operators[OPERATORS] = { 0 };
	instance_t instances[2];
	json_t *entries;
	int accepted = 0;
	config_t *config;

	start_store();
	store.lost_write_interval = 5;
	log_max = 0;
	instances[0] = start_instance("a", store.url, NULL, NULL, NULL);
	instances[1] = start_instance("b", store.url, NULL, NULL, NULL);
	for (int i = 0; i < OPERATORS; i++) {
		operators[i].instance = &instances[i % 2];
		operators[i].first = 1 + i;
		threads[i] =
			g_thread_new("operator", run_operator, &operators[i]);
	}
	for (int i = 0; i < OPERATORS; i++) {
		g_thread_join(threads[i]);
		accepted += operators[i].accepted;
	}
	g_assert_cmpint(accepted, >=, TICKETS);
	for (int i = 0; i < 2; i++)
		WAIT_FOR(is_at(&instances[i], (uint64_t)accepted));
	config = config_acquire();
	g_assert_cmpuint(config->position, ==, accepted);
	g_assert_cmpuint(config->models[0].block_tokens, ==,
			 OPERATORS * TICKETS);
	config_release(config);
	for (int i = 0; i < 2; i++)
		WAIT_FOR(!audit_pending(instances[i].audit));
	g_assert_cmpint(audit_read(instances[0].client, &entries), ==, 0);
	g_assert_cmpint(count_entries(entries, "accepted"), ==, accepted);
	g_assert_cmpint(json_array_size(entries), ==, OPERATORS * TICKETS);
	json_decref(entries);
	for (int i = 0; i < 2; i++)
		stop_instance(&instances[i]);
	stop_store();
}

/*
 * An instance that starts during an outage of the store must get the
 * configuration from a peer, and commit tickets after the outage.
 */
static void test_outage(void)
{
	const config_sync_member_t member = { .id = 7, .domain = 8 };
	config_service_status_t status;
	ticket_result_t result;
	instance_t first;
	instance_t second;
	instance_t third;

	start_store();
	/* A short log makes the third instance read snapshot shards. */
	log_max = 8;
	first = start_instance("a", store.url, NULL, NULL, NULL);
	for (int i = 1; i <= 20; i++)
		g_assert_cmpint(apply(&first, 100 + i, "model/n", &result), ==,
				0);
	WAIT_FOR(is_at(&first, 20));
	/* Replaced snapshots and pages must not accumulate in the store. */
	WAIT_FOR(count_keys("config/snapshot/") == 1);
	WAIT_FOR(count_keys("config/log/") == 3);
	set_down(true);
	second = start_instance("b", store.url, fetch_from_instance, &first,
				NULL);
	config_service_set_members(second.service, &member, 1);
	WAIT_FOR(is_at(&second, 20));
	config_service_status(second.service, &status);
	g_assert_true(status.age_ms == CONFIG_AGE_UNKNOWN);
	set_down(false);
	g_assert_cmpint(apply(&second, 200, "model/n", &result), ==, 0);
	g_assert_cmpuint(result.position, ==, 21);
	WAIT_FOR(is_at(&first, 21));
	third = start_instance("c", store.url, NULL, NULL, NULL);
	WAIT_FOR(is_at(&third, 21));
	stop_instance(&third);
	stop_instance(&first);
	stop_instance(&second);
	stop_store();
}

/** Starts from a bootstrap file and waits for its position. */
static void check_bootstrap(const char *text, uint64_t position)
{
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("amv-bootstrap-XXXXXX", &path, NULL);
	instance_t instance;

	g_assert_cmpint(write(fd, text, strlen(text)), ==, strlen(text));
	close(fd);
	instance = start_instance("a", store.url, NULL, NULL, path);
	WAIT_FOR(is_at(&instance, position));
	stop_instance(&instance);
	g_assert_cmpint(unlink(path), ==, 0);
}

/* Without peers and store, the bootstrap file is the last resort. */
static void test_bootstrap(void)
{
	config_t *config;

	start_store();
	set_down(true);
	/* Without `numbers` the position is 0, so that any accepted ticket
	 * replaces these objects. */
	check_bootstrap("{\"position\":900,\"objects\":{\"model/b\":{}}}", 0);
	check_bootstrap("{\"position\":1000,\"objects\":{\"model/b\":{}},"
			"\"numbers\":{\"model/b\":7}}",
			1000);
	config = config_acquire();
	g_assert_cmpuint(config->position, ==, 1000);
	g_assert_cmpint(config_find_model(config, "b"), ==, 0);
	config_release(config);
	stop_store();
}

/* The result of an invalid ticket must name the object, and the ticket must
 * not be written to the head. */
static void test_invalid_ticket(void)
{
	ticket_result_t result;
	instance_t instance;

	start_store();
	instance = start_instance("a", store.url, NULL, NULL, NULL);
	g_assert_cmpint(apply(&instance, 1, "engine/x", &result), ==,
			ERR_TICKET_INVALID);
	g_assert_cmpstr(result.problem.object, ==, "engine/x");
	g_assert_cmpint(count_keys("config/head"), ==, 0);
	stop_instance(&instance);
	stop_store();
}

static json_t *make_entries(int first, int count)
{
	json_t *entries = json_array();

	for (int i = 0; i < count; i++) {
		g_autofree char *id = g_strdup_printf("e%d", first + i);

		json_array_append_new(entries, json_pack("{s:s}", "id", id));
	}
	return entries;
}

/* A batch that is merged again after a lost answer must not add duplicates. */
static void test_audit_merge_is_idempotent(void)
{
	CLEANUP_JSON json_t *first = make_entries(0, 1000);
	CLEANUP_JSON json_t *second = make_entries(990, 100);
	CLEANUP_JSON json_t *shard = audit_merge(NULL, first);
	CLEANUP_JSON json_t *merged_twice = audit_merge(shard, first);
	CLEANUP_JSON json_t *more = audit_merge(shard, second);
	json_t *entries = json_object_get(more, "entries");

	g_assert_true(json_equal(shard, merged_twice));
	g_assert_cmpuint(json_array_size(entries), ==, AUDIT_SHARD_ENTRIES);
	g_assert_cmpstr(
		json_string_value(json_object_get(
			json_array_get(entries, AUDIT_SHARD_ENTRIES - 1),
			"id")),
		==, "e1089");
	g_assert_cmpstr(json_string_value(json_object_get(
				json_array_get(entries, 0), "id")),
			==, "e66");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	mg_init_library(0);
	g_test_add_func("/audit/merge", test_audit_merge_is_idempotent);
	g_test_add_func("/config-service/race", test_racing_operators);
	g_test_add_func("/config-service/outage", test_outage);
	g_test_add_func("/config-service/invalid", test_invalid_ticket);
	g_test_add_func("/config-service/bootstrap", test_bootstrap);
	return g_test_run();
}
