#include "t/lib/http_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "process/cleanup.h"
#include "process/clock.h"

enum {
	BODY_MAX_BYTES = 16 << 20,
	READ_BYTES = 1 << 14,
	EXIT_SETTINGS = 2,
	STOP_POLL_US = 5000,
};

static bool route_matches(const http_route_t *route, const char *method,
			  const char *path)
{
	size_t len = strlen(route->path);

	if (route->method && strcmp(route->method, method) != 0)
		return false;
	if (len && route->path[len - 1] == '*')
		return !strncmp(route->path, path, len - 1);
	return !strcmp(route->path, path);
}

/** Reads the whole body; returns false if it is too large or incomplete. */
static bool read_body(http_request_t *request)
{
	const struct mg_request_info *info = mg_get_request_info(request->conn);
	GString *body = g_string_new(NULL);
	char buffer[READ_BYTES];
	int got;

	while (body->len <= BODY_MAX_BYTES &&
	       (got = mg_read(request->conn, buffer, sizeof(buffer))) > 0)
		g_string_append_len(body, buffer, got);
	request->body_len = body->len;
	request->body = g_string_free(body, FALSE);
	if (info->content_length > 0 &&
	    request->body_len != (size_t)info->content_length)
		return false;
	request->json = json_loadb(request->body, request->body_len,
				   JSON_DECODE_ANY, NULL);
	return request->body_len <= BODY_MAX_BYTES;
}

static int handle_request(struct mg_connection *conn, void *data)
{
	const http_server_t *server = data;
	const struct mg_request_info *info = mg_get_request_info(conn);
	http_request_t request = {
		.conn = conn,
		.method = info->request_method,
		.path = info->local_uri,
	};
	const http_route_t *route = server->routes;

	while (route->handler &&
	       !route_matches(route, request.method, request.path))
		route++;
	if (!read_body(&request)) {
		http_send_error(&request, 413, "", "body not accepted");
		http_close(&request);
	} else if (!route->handler) {
		http_send_error(&request, 404, "", "no such path");
	} else {
		route->handler(&request);
	}
	json_decref(request.json);
	g_free(request.body);
	return 200;
}

static struct mg_context *start_civetweb(http_server_t *server)
{
	g_autofree char *port = g_strdup_printf("127.0.0.1:%u", server->port);
	g_autofree char *threads = g_strdup_printf("%u", server->threads);
	const char *options[] = { "listening_ports",
				  port,
				  "num_threads",
				  threads,
				  "enable_keep_alive",
				  "yes",
				  "tcp_nodelay",
				  "1",
				  "connection_queue",
				  "1024",
				  "listen_backlog",
				  "1024",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *context = mg_start(&callbacks, server, options);

	if (context)
		mg_set_request_handler(context, "**", handle_request, server);
	return context;
}

static void *stop_civetweb(void *context)
{
	mg_stop(context);
	return NULL;
}

/**
 * Stops the server without delay. CivetWeb's accept thread checks for a stop
 * only after poll(), which has a timeout of 2 s; connecting wakes it earlier.
 */
static void stop_server(struct mg_context *context, int port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	pthread_t stopper;

	if (pthread_create(&stopper, NULL, stop_civetweb, context) != 0) {
		mg_stop(context);
		return;
	}
	while (pthread_tryjoin_np(stopper, NULL) != 0) {
		CLEANUP_FD int fd =
			socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		(void)connect(fd, (struct sockaddr *)&address, sizeof(address));
		clock_sleep_us(STOP_POLL_US);
	}
}

static int serve(http_server_t *server, const sigset_t *signals)
{
	struct mg_server_port bound = { 0 };
	struct mg_context *context;
	int received;

	if (server->start)
		server->start();
	context = start_civetweb(server);
	if (!context || mg_get_server_ports(context, 1, &bound) < 1) {
		fprintf(stderr, "cannot listen on port %u\n", server->port);
		return EXIT_FAILURE;
	}
	printf("%s=%d\n", server->port_label ? server->port_label : "port",
	       bound.port);
	fflush(stdout);
	sigwait(signals, &received);
	if (server->stop)
		server->stop();
	stop_server(context, bound.port);
	return EXIT_SUCCESS;
}

int http_server_main(int argc, char **argv, const setting_t *settings,
		     http_server_t *server)
{
	sigset_t signals;
	int outcome =
		settings_read(argc, (const char **)argv, settings, "", NULL);
	int status;

	if (outcome != SETTINGS_RUN)
		return outcome < 0 ? EXIT_SETTINGS : EXIT_SUCCESS;
	/* All threads inherit the mask, so only sigwait() gets the signals. */
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	mg_init_library(0);
	status = serve(server, &signals);
	mg_exit_library();
	return status;
}

const char *http_header(const http_request_t *request, const char *name,
			const char *fallback)
{
	const char *value = mg_get_header(request->conn, name);

	return value ? value : fallback;
}

void http_query(const http_request_t *request, const char *name, char *value,
		size_t size)
{
	const char *query = mg_get_request_info(request->conn)->query_string;

	if (!query || mg_get_var(query, strlen(query), name, value, size) < 0)
		*value = '\0';
}

uint64_t http_query_number(const http_request_t *request, const char *name,
			   uint64_t fallback)
{
	char text[32];

	http_query(request, name, text, sizeof(text));
	return *text ? strtoull(text, NULL, 10) : fallback;
}

void http_send_json(http_request_t *request, int status, const char *headers,
		    json_t *value)
{
	CLEANUP_JSON json_t *owned = value;
	CLEANUP_FREE char *dump =
		json_dumps(owned, JSON_COMPACT | JSON_ENCODE_ANY);
	/* `value` is NULL if json_pack() got a string that is not UTF-8. */
	const char *text = dump ? dump : "{}";
	g_autofree char *answer = g_strdup_printf(
		"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n%s\r\n%s",
		status, mg_get_response_code_text(request->conn, status),
		strlen(text), headers, text);

	mg_write(request->conn, answer, strlen(answer));
}

void http_send_ok(http_request_t *request)
{
	http_send_json(request, 200, "", json_object());
}

void http_send_error(http_request_t *request, int status, const char *headers,
		     const char *text)
{
	http_send_json(request, status, headers,
		       json_pack("{s:s}", "error", text));
}

bool http_start_chunks(http_request_t *request, const char *headers)
{
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n",
		headers);
	int len = (int)strlen(head);

	return mg_write(request->conn, head, (size_t)len) == len;
}

bool http_send_chunk(http_request_t *request, const char *data, size_t len)
{
	g_autoptr(GString) chunk = g_string_new(NULL);

	g_string_printf(chunk, "%zx\r\n", len);
	g_string_append_len(chunk, data, (gssize)len);
	g_string_append(chunk, "\r\n");
	return mg_write(request->conn, chunk->str, chunk->len) ==
	       (int)chunk->len;
}

void http_close(http_request_t *request)
{
	mg_disable_connection_keep_alive(request->conn);
}

const char *http_body_text(const http_request_t *request, const char *name,
			   const char *fallback)
{
	json_t *value = json_object_get(request->json, name);

	return json_is_string(value) ? json_string_value(value) : fallback;
}

uint64_t http_body_number(const http_request_t *request, const char *name,
			  uint64_t fallback)
{
	http_update_number(request, name, &fallback);
	return fallback;
}

void http_update_number(const http_request_t *request, const char *name,
			uint64_t *value)
{
	json_t *member = json_object_get(request->json, name);

	if (json_is_integer(member))
		*value = (uint64_t)json_integer_value(member);
	else if (json_is_boolean(member))
		*value = json_is_true(member);
}

void json_counter_add(json_t *counters, const char *name, int64_t amount)
{
	json_int_t old = json_integer_value(json_object_get(counters, name));

	json_object_set_new(counters, name, json_integer(old + amount));
}
