/* Tests of the object API client against a scripted server on loopback. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/metrics.h"
#include "process/store_client.h"

/** One scripted answer. */
typedef struct scripted_answer {
	int status; /**< 0 ends the script. */
	const char *headers;
	const char *body;
} scripted_answer_t;

/** Status of an entry that closes the connection without an answer. */
#define NO_ANSWER (-1)

enum { TOTAL_TIMEOUT_MS = 5000 };

/** Server that sends one scripted answer per request. */
typedef struct server {
	int fd;
	const scripted_answer_t *answers;
	char requests[4096]; /**< Text of all requests received. */
	int connections;
	GThread *thread;
	char url[64];
} server_t;

/** Appends one request with its body to `requests`; false at end of file. */
static bool read_request(int fd, server_t *server)
{
	size_t start = strlen(server->requests);

	for (;;) {
		char *text = server->requests + start;
		char *end = strstr(text, "\r\n\r\n");
		char *length = strstr(text, "Content-Length: ");
		size_t used = strlen(server->requests);
		size_t body = length ? (size_t)atoi(length + 16) : 0;
		ssize_t got;

		if (end && strlen(end + 4) >= body)
			return true;
		got = read(fd, server->requests + used,
			   sizeof(server->requests) - used - 1);
		if (got <= 0)
			return false;
	}
}

static void send_answer(int fd, const scripted_answer_t *answer)
{
	g_autofree char *text = g_strdup_printf(
		"HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n%s",
		answer->status, answer->headers, strlen(answer->body),
		answer->body);

	g_assert_cmpint(write(fd, text, strlen(text)), ==, strlen(text));
}

static gpointer serve(gpointer user)
{
	server_t *server = user;
	const scripted_answer_t *answer = server->answers;

	while (answer->status) {
		int fd = accept(server->fd, NULL, NULL);

		if (fd < 0)
			break;
		server->connections++;
		while (answer->status && read_request(fd, server)) {
			if (answer->status == NO_ANSWER) {
				answer++;
				break;
			}
			send_answer(fd, answer++);
		}
		close(fd);
	}
	return NULL;
}

/** Starts the server; returns a client for it. */
static store_client_t *start_server(server_t *server,
				    const scripted_answer_t *answers)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	store_client_options_t options = {
		.url = server->url,
		.connect_timeout_ms = 2000,
		.total_timeout_ms = TOTAL_TIMEOUT_MS,
		.budget = { .outage_failures = 100, .backoff_max_ms = 1 },
	};
	store_client_t *client;

	memset(server, 0, sizeof(*server));
	server->answers = answers;
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(server->fd, (struct sockaddr *)&address, size), ==,
			0);
	g_assert_cmpint(
		getsockname(server->fd, (struct sockaddr *)&address, &size), ==,
		0);
	g_snprintf(server->url, sizeof(server->url), "http://127.0.0.1:%d",
		   ntohs(address.sin_port));
	g_assert_cmpint(listen(server->fd, 8), ==, 0);
	server->thread = g_thread_new("server", serve, server);
	g_assert_cmpint(store_client_open(&options, &client), ==, 0);
	return client;
}

/** Closes the client and stops the server. */
static void stop_server(server_t *server, store_client_t *client)
{
	store_client_close(client);
	shutdown(server->fd, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->fd);
}

/* Guards against a wrong error kind, with which an order that ran is repeated
 * or one that did not run is lost. */
static void test_error_mapping(void)
{
	static const struct {
		CURLcode code;
		bool sent;
		bool write;
		long status;
		int err;
	} cases[] = {
		{ CURLE_OK, true, true, 200, 0 },
		{ CURLE_OK, true, true, 201, 0 },
		{ CURLE_OK, true, false, 404, ERR_NOT_FOUND },
		{ CURLE_OK, true, false, 410, ERR_STORE_GONE },
		{ CURLE_OK, true, true, 412, ERR_STORE_CONDITION },
		{ CURLE_OK, true, true, 413, ERR_LIMIT },
		{ CURLE_OK, true, true, 429, ERR_STORE_BUDGET },
		{ CURLE_OK, true, true, 503, ERR_STORE_DOWN },
		{ CURLE_OK, true, true, 500, ERR_STORE_UNKNOWN },
		{ CURLE_OK, true, true, 504, ERR_STORE_UNKNOWN },
		{ CURLE_OK, true, false, 500, ERR_STORE_DOWN },
		{ CURLE_OK, true, true, 400, ERR_BAD_FIELD },
		{ CURLE_COULDNT_CONNECT, false, true, 0, ERR_STORE_DOWN },
		{ CURLE_OPERATION_TIMEDOUT, false, true, 0, ERR_STORE_DOWN },
		{ CURLE_OPERATION_TIMEDOUT, true, true, 0, ERR_STORE_UNKNOWN },
		{ CURLE_OPERATION_TIMEDOUT, true, false, 0, ERR_STORE_DOWN },
		{ CURLE_GOT_NOTHING, true, true, 0, ERR_STORE_UNKNOWN },
		{ CURLE_SEND_ERROR, true, true, 0, ERR_STORE_UNKNOWN },
		{ CURLE_PARTIAL_FILE, true, true, 200, ERR_STORE_UNKNOWN },
		{ CURLE_ABORTED_BY_CALLBACK, true, true, 0, ERR_STORE_UNKNOWN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		store_answer_t answer = { .code = cases[i].code,
					  .sent = cases[i].sent,
					  .write = cases[i].write,
					  .status = cases[i].status };

		g_test_message("case %zu", i);
		g_assert_cmpint(store_answer_error(&answer), ==, cases[i].err);
	}
}

/* Guards against requests without their condition and objects without their
 * version. */
static void test_objects(void)
{
	static const scripted_answer_t answers[] = {
		{ 201, "ETag: \"7\"\r\n", "" },
		{ 200, "ETag: \"8\"\r\n", "" },
		{ 200, "ETag: \"8\"\r\n", "{\"a\":1}" },
		{ 200, "ETag: \"8\"\r\n", "{\"a\":1" },
		{ 200, "", "" },
		{ 200, "", "" },
		{ 0 },
	};
	int64_t calls = metrics_get(METRIC_STORE_CALLS_ORDER);
	int64_t bytes = metrics_get(METRIC_STORE_BYTES_ORDER);
	CLEANUP_JSON json_t *value = json_pack("{s:i}", "a", 1);
	store_object_t object;
	uint64_t version = 0;
	server_t server;
	store_client_t *client = start_server(&server, answers);

	g_assert_cmpint(store_client_create(client, STORE_PURPOSE_ORDER,
					    "order/a b/?", value, &version),
			==, 0);
	g_assert_cmpuint(version, ==, 7);
	g_assert_cmpint(store_client_update(client, STORE_PURPOSE_ORDER, "k",
					    value, 7, &version),
			==, 0);
	g_assert_cmpuint(version, ==, 8);
	g_assert_cmpint(
		store_client_get(client, STORE_PURPOSE_ORDER, "k", &object), ==,
		0);
	g_assert_cmpuint(object.version, ==, 8);
	g_assert_true(json_equal(object.value, value));
	store_object_free(&object);
	/* A body that is not valid JSON is not taken for a value. */
	g_assert_cmpint(
		store_client_get(client, STORE_PURPOSE_ORDER, "k", &object), ==,
		ERR_STORE_DOWN);
	g_assert_null(object.value);
	/* A write may have taken effect if its answer has no version. */
	g_assert_cmpint(store_client_update(client, STORE_PURPOSE_ORDER, "k",
					    value, 8, &version),
			==, ERR_STORE_UNKNOWN);
	g_assert_cmpint(
		store_client_delete(client, STORE_PURPOSE_ORDER, "k", 9), ==,
		0);
	stop_server(&server, client);
	g_assert_cmpint(server.connections, ==, 1);
	g_assert_nonnull(strstr(server.requests,
				"PUT /objects/order/a%20b/%3F HTTP/1.1"));
	g_assert_nonnull(strstr(server.requests, "If-None-Match: *\r\n"));
	g_assert_nonnull(strstr(server.requests, "If-Match: \"7\"\r\n"));
	g_assert_nonnull(strstr(server.requests, "DELETE /objects/k "));
	g_assert_nonnull(strstr(server.requests, "If-Match: \"9\"\r\n"));
	g_assert_cmpint(metrics_get(METRIC_STORE_CALLS_ORDER) - calls, ==, 6);
	g_assert_cmpint(metrics_get(METRIC_STORE_BYTES_ORDER) - bytes, >, 600);
}

/*
 * Guards against a write that libcurl repeats after its answer was lost. If
 * the first one took effect, the repetition fails its condition and would be
 * reported as a conflict with another writer.
 */
static void test_lost_write_is_not_repeated(void)
{
	static const scripted_answer_t answers[] = {
		{ 200, "ETag: \"1\"\r\n", "1" },
		{ NO_ANSWER, "", "" },
		{ 412, "", "" },
		{ 0 },
	};
	CLEANUP_JSON json_t *value = json_integer(1);
	store_object_t object;
	uint64_t version;
	server_t server;
	store_client_t *client = start_server(&server, answers);

	g_assert_cmpint(
		store_client_get(client, STORE_PURPOSE_LEASE, "k", &object), ==,
		0);
	store_object_free(&object);
	g_assert_cmpint(store_client_update(client, STORE_PURPOSE_LEASE, "k",
					    value, 1, &version),
			==, ERR_STORE_UNKNOWN);
	g_assert_cmpint(store_client_update(client, STORE_PURPOSE_LEASE, "k",
					    value, 1, &version),
			==, ERR_STORE_CONDITION);
	stop_server(&server, client);
}

static void test_lists(void)
{
	static const scripted_answer_t answers[] = {
		{ 200, "",
		  "{\"revision\":5,\"more\":true,\"items\":"
		  "[{\"key\":\"a\",\"version\":3,\"value\":9}]}\n" },
		{ 200, "",
		  "{\"revision\":6,\"changes\":"
		  "[{\"key\":\"a\",\"version\":4,\"deleted\":true}]}\n " },
		{ 410, "", "" },
		{ 200, "",
		  "{\"instances\":[{\"id\":\"r1\",\"kind\":\"router\","
		  "\"address\":\"127.0.0.1\",\"port\":80,\"domain\":\"d\","
		  "\"state\":\"leaving\"},{\"id\":\"bad\"},"
		  "{\"id\":\"e\",\"kind\":\"engine\",\"address\":\"::1\","
		  "\"port\":1,\"domain\":\"d\",\"state\":\"live\"}]}    " },
		{ 0 },
	};
	store_items_t items;
	store_instance_t *instances;
	size_t count;
	server_t server;
	store_client_t *client = start_server(&server, answers);

	g_assert_cmpint(store_client_list(client, STORE_PURPOSE_AUDIT, "audit/",
					  "audit/3", 10, &items),
			==, 0);
	g_assert_cmpuint(items.revision, ==, 5);
	g_assert_true(items.more);
	g_assert_cmpuint(items.count, ==, 1);
	g_assert_cmpint(json_integer_value(items.items[0].value), ==, 9);
	store_items_free(&items);
	g_assert_cmpint(store_client_watch(client, STORE_PURPOSE_CONFIG,
					   "config/head", 5, 1000, &items),
			==, 0);
	g_assert_true(items.items[0].deleted);
	g_assert_cmpuint(items.items[0].version, ==, 4);
	store_items_free(&items);
	g_assert_cmpint(store_client_watch(client, STORE_PURPOSE_CONFIG,
					   "config/head", 5, 1000, &items),
			==, ERR_STORE_GONE);
	g_assert_cmpint(store_client_instances(client, &instances, &count), ==,
			0);
	g_assert_cmpuint(count, ==, 2);
	g_assert_true(instances[0].leaving);
	g_assert_cmpint(instances[1].kind, ==, STORE_INSTANCE_ENGINE);
	free(instances);
	store_client_stop(client);
	g_assert_cmpint(store_client_watch(client, STORE_PURPOSE_CONFIG,
					   "config/head", 5, 1000, &items),
			==, ERR_STOPPING);
	stop_server(&server, client);
	g_assert_nonnull(strstr(
		server.requests,
		"GET /objects?prefix=audit%2F&after=audit%2F3&limit=10 "));
	g_assert_nonnull(strstr(
		server.requests,
		"GET /watch?prefix=config%2Fhead&after=5&timeout_ms=1000 "));
}

/* Guards against a refused connection that is reported as a write that may have
 * taken effect. */
static void test_refused_connection(void)
{
	static const scripted_answer_t answers[] = { { 0 } };
	CLEANUP_JSON json_t *value = json_integer(1);
	server_t server;
	store_client_t *client = start_server(&server, answers);

	g_thread_join(server.thread);
	close(server.fd);
	g_assert_cmpint(store_client_create(client, STORE_PURPOSE_ORDER, "k",
					    value, NULL),
			==, ERR_STORE_DOWN);
	store_client_close(client);
}

/* Guards against a store that counts as down because a caller could not wait
 * for it. */
static void test_own_limit(void)
{
	static const scripted_answer_t answers[] = { { 0 } };
	CLEANUP_JSON json_t *value = json_integer(1);
	int64_t failures = metrics_get(METRIC_STORE_FAILURES_ORDER);
	uint64_t start_ms = clock_now_ms();
	server_t server;
	/* Connections are made, but nothing reads from them. */
	store_client_t *client = start_server(&server, answers);

	g_assert_cmpint(store_client_update_within(client, STORE_PURPOSE_ORDER,
						   "k", value, 1, 100, NULL),
			==, ERR_STORE_UNKNOWN);
	g_assert_cmpuint(clock_now_ms() - start_ms, <, TOTAL_TIMEOUT_MS);
	g_assert_cmpint(metrics_get(METRIC_STORE_FAILURES_ORDER), ==, failures);
	stop_server(&server, client);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/store-client/errors", test_error_mapping);
	g_test_add_func("/store-client/objects", test_objects);
	g_test_add_func("/store-client/lost-write",
			test_lost_write_is_not_repeated);
	g_test_add_func("/store-client/lists", test_lists);
	g_test_add_func("/store-client/own-limit", test_own_limit);
	g_test_add_func("/store-client/refused", test_refused_connection);
	return g_test_run();
}
