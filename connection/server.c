#include "connection/server.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <netdb.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <urcu/uatomic.h>

#include "connection/tls_front.h"
#include "connection/upstream.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/event.h"
#include "process/metrics.h"

enum {
	NUMBER_TEXT_BYTES = 16,
	ADDRESS_TEXT_BYTES = 80,
	BODY_START_BYTES = 8 * 1024,
	MILLISECONDS_PER_SECOND = 1000,
	/** First descriptor that may be a caller's socket. */
	FIRST_FD = 3,
	OPTION_MAX = 32,
	WATCH_STEP_MS = 50,
	/** Slowest body accepted beyond the caller timeout. */
	BODY_MIN_BYTES_PER_MS = 16,
	/** Length line and line ends of a chunk. */
	CHUNK_FRAME_BYTES = 32,
};

/** A body that is being read. */
typedef struct reading {
	int fd;
	uint64_t deadline_ms;
	struct reading *next;
} reading_t;

struct server {
	struct mg_context *context;
	tls_front_t *front; /**< NULL without TLS. */
	server_settings_t settings;
	pthread_t watchdog;
	pthread_mutex_t lock; /**< Guards `readings`. */
	reading_t *readings;
	bool stopping;
};

/**
 * Ends bodies that arrive too slowly. CivetWeb limits only the pause between
 * two bytes, so a body sent byte by byte would hold a thread for hours.
 */
static void *watch_readings(void *context)
{
	server_t *server = context;
	struct timespec pause = { .tv_nsec = WATCH_STEP_MS * 1000000L };

	while (!uatomic_read(&server->stopping)) {
		uint64_t now_ms = clock_now_ms();

		pthread_mutex_lock(&server->lock);
		for (reading_t *at = server->readings; at; at = at->next) {
			if (now_ms >= at->deadline_ms)
				shutdown(at->fd, SHUT_RD);
		}
		pthread_mutex_unlock(&server->lock);
		nanosleep(&pause, NULL);
	}
	return NULL;
}

static void add_reading(server_t *server, reading_t *reading)
{
	SCOPED_LOCK(lock, &server->lock);

	reading->next = server->readings;
	server->readings = reading;
}

static void remove_reading(server_t *server, const reading_t *reading)
{
	reading_t **link = &server->readings;
	SCOPED_LOCK(lock, &server->lock);

	while (*link != reading)
		link = &(*link)->next;
	*link = reading->next;
}

/** An address of either family. */
typedef union address {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
} address_t;

static int port_of(const address_t *address)
{
	switch (address->any.sa_family) {
	case AF_INET:
		return ntohs(address->v4.sin_port);
	case AF_INET6:
		return ntohs(address->v6.sin6_port);
	default:
		return 0;
	}
}

/** Whether a descriptor is the server side of this connection. */
static bool is_caller_fd(int fd, const struct mg_request_info *info)
{
	address_t peer = { 0 };
	address_t local = { 0 };
	socklen_t peer_bytes = sizeof(peer);
	socklen_t local_bytes = sizeof(local);
	char text[INET6_ADDRSTRLEN] = "";

	if (getpeername(fd, &peer.any, &peer_bytes) ||
	    port_of(&peer) != info->remote_port ||
	    getsockname(fd, &local.any, &local_bytes) ||
	    port_of(&local) != info->server_port)
		return false;
	return !getnameinfo(&peer.any, peer_bytes, text, sizeof(text), NULL, 0,
			    NI_NUMERICHOST) &&
	       !strcmp(text, info->remote_addr);
}

/**
 * Finds the caller's socket by its addresses. CivetWeb does not hand it out,
 * and without it a closed connection is seen only by a failed write.
 */
static int find_caller_fd(const struct mg_request_info *info)
{
	struct rlimit limit;
	int misses = 0;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return -1;
	/* Descriptors are given out from the lowest free number, so a long
	 * run of unused numbers ends the search. */
	for (int fd = FIRST_FD; (rlim_t)fd < limit.rlim_cur && misses < 256;
	     fd++) {
		if (is_caller_fd(fd, info))
			return fd;
		misses = fcntl(fd, F_GETFD) < 0 ? misses + 1 : 0;
	}
	return -1;
}

static int on_request(struct mg_connection *connection)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	const server_t *server = info->user_data;
	server_request_t request = {
		.connection = connection,
		.method = info->request_method,
		.path = info->local_uri_raw ? info->local_uri_raw : "",
		.query = info->query_string ? info->query_string : "",
		.fd = find_caller_fd(info),
	};

	server->settings.handle(server->settings.context, &request);
	free(request.body);
	return request.status ? request.status : 499;
}

static int error_of_status(int status)
{
	switch (status) {
	case 413:
	case 414:
	case 431:
		return ERR_HEADER_TOO_LARGE;
	case 404:
		return ERR_NOT_FOUND;
	case 408:
		return ERR_BODY_INCOMPLETE;
	case 503:
		return ERR_OVERLOADED;
	default:
		return ERR_BAD_FIELD;
	}
}

/** Answers what CivetWeb refuses by itself before a handler is called. */
static int on_http_error(struct mg_connection *connection, int status,
			 const char *text)
{
	server_request_t request = { .connection = connection, .fd = -1 };
	server_error_t error = { .err = error_of_status(status), .text = text };

	/* CivetWeb does not tell these two apart. */
	if (status == 400 && !strcmp(text, "Malformed message")) {
		error.err = ERR_HEADER_TOO_LARGE;
		error.text = "the headers are malformed or exceed the size "
			     "limit";
	}
	server_answer_error(&request, &error);
	return 0;
}

static int on_log(const struct mg_connection *connection, const char *text)
{
	(void)connection;
	event_log(EVENT_HTTP_SERVER, "text=\"%s\"", text);
	return 1;
}

static struct mg_context *start_context(server_t *server)
{
	const server_settings_t *settings = &server->settings;
	static const struct mg_callbacks callbacks = {
		.begin_request = on_request,
		.http_error = on_http_error,
		.log_message = on_log,
	};
	char listen_on[ADDRESS_TEXT_BYTES];
	char threads[NUMBER_TEXT_BYTES];
	char timeout[NUMBER_TEXT_BYTES];
	char header_max[NUMBER_TEXT_BYTES];
	const char *options[OPTION_MAX] = {
		"listening_ports", listen_on, "num_threads", threads,
		"request_timeout_ms", timeout, "max_request_size", header_max,
		"connection_queue", threads, "listen_backlog", "1024",
		"tcp_nodelay", "1",
		/* An idle connection would hold a thread. */
		"enable_keep_alive", "no",
		/* Paths are forwarded as they were sent. */
		"decode_url", "no", NULL
	};
	bool is_ipv6 = strchr(settings->address, ':') != NULL;

	if (settings->tls_certificate)
		snprintf(listen_on, sizeof(listen_on), "127.0.0.1:0");
	else
		snprintf(listen_on, sizeof(listen_on), "%s%s%s:%u",
			 is_ipv6 ? "[" : "", settings->address,
			 is_ipv6 ? "]" : "", settings->port);
	snprintf(threads, sizeof(threads), "%" PRIu32, settings->thread_count);
	snprintf(timeout, sizeof(timeout), "%" PRIu32,
		 settings->caller_timeout_ms);
	snprintf(header_max, sizeof(header_max), "%" PRIu32,
		 settings->header_max_bytes);
	return mg_start(&callbacks, server, options);
}

/** CivetWeb has no option for the stack size; it uses the default one. */
static bool set_stack_size(size_t bytes, size_t *before)
{
	pthread_attr_t attributes;
	bool ok;

	if (pthread_getattr_default_np(&attributes) != 0)
		return false;
	pthread_attr_getstacksize(&attributes, before);
	ok = !pthread_attr_setstacksize(&attributes, bytes) &&
	     !pthread_setattr_default_np(&attributes);
	pthread_attr_destroy(&attributes);
	return ok;
}

/** Port of the HTTP server, which stands behind TLS if that is used. */
static uint32_t http_port(const server_t *server)
{
	struct mg_server_port ports[1] = { 0 };

	return mg_get_server_ports(server->context, 1, ports) > 0
		       ? (uint32_t)ports[0].port
		       : 0;
}

static bool start_front(server_t *server)
{
	const server_settings_t *settings = &server->settings;
	tls_front_settings_t front = {
		.address = settings->address,
		.port = settings->port,
		.certificate = settings->tls_certificate,
		.target_port = http_port(server),
		.connections_max = settings->thread_count,
		.handshake_timeout_ms = settings->caller_timeout_ms,
	};

	if (settings->tls_certificate)
		server->front = tls_front_start(&front);
	return !settings->tls_certificate || server->front;
}

server_t *server_start(const server_settings_t *settings)
{
	server_t *server = calloc(1, sizeof(*server));
	size_t before = 0;
	size_t ignored;

	if (!server)
		return NULL;
	server->settings = *settings;
	pthread_mutex_init(&server->lock, NULL);
	mg_init_library(MG_FEATURES_DEFAULT);
	if (settings->thread_stack_bytes)
		set_stack_size(settings->thread_stack_bytes, &before);
	server->context = start_context(server);
	if (before)
		set_stack_size(before, &ignored);
	if (server->context && start_front(server) &&
	    !pthread_create(&server->watchdog, NULL, watch_readings, server))
		return server;
	tls_front_stop(server->front);
	if (server->context)
		mg_stop(server->context);
	mg_exit_library();
	pthread_mutex_destroy(&server->lock);
	free(server);
	return NULL;
}

uint32_t server_port(const server_t *server)
{
	return server->front ? tls_front_port(server->front)
			     : http_port(server);
}

void server_stop(server_t *server)
{
	if (!server)
		return;
	tls_front_stop(server->front);
	mg_stop(server->context);
	mg_exit_library();
	uatomic_set(&server->stopping, true);
	pthread_join(server->watchdog, NULL);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

const char *server_header(const server_request_t *request, const char *name)
{
	return mg_get_header(request->connection, name);
}

bool server_header_at(const server_request_t *request, int index,
		      const char **name, const char **value)
{
	const struct mg_request_info *info =
		mg_get_request_info(request->connection);

	if (index >= info->num_headers)
		return false;
	*name = info->http_headers[index].name;
	*value = info->http_headers[index].value;
	return true;
}

const char *server_bearer_key(const server_request_t *request)
{
	static const char scheme[] = "Bearer ";
	const char *value = server_header(request, "Authorization");

	if (!value || strncasecmp(value, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	value += sizeof(scheme) - 1;
	return *value ? value : NULL;
}

static int grow_body(server_request_t *request, size_t *size, size_t max)
{
	size_t wanted = *size ? *size * 2 : BODY_START_BYTES;
	char *grown;

	if (wanted > max + 2)
		wanted = max + 2;
	grown = realloc(request->body, wanted);
	if (!grown)
		return ERR_NO_MEMORY;
	request->body = grown;
	*size = wanted;
	return 0;
}

static void send_continue(const server_request_t *request)
{
	const char *expect = server_header(request, "Expect");

	if (expect && !strcasecmp(expect, "100-continue"))
		mg_printf(request->connection, "HTTP/1.1 100 Continue\r\n\r\n");
}

static int read_body(server_request_t *request, size_t body_max_bytes,
		     long long stated)
{
	size_t size = 0;
	int got = 0;

	do {
		if (request->body_len + 2 > size &&
		    grow_body(request, &size, body_max_bytes))
			return ERR_NO_MEMORY;
		got = mg_read(request->connection,
			      request->body + request->body_len,
			      size - request->body_len - 1);
		if (got > 0)
			request->body_len += (size_t)got;
		if (request->body_len > body_max_bytes)
			return ERR_BODY_TOO_LARGE;
	} while (got > 0);
	request->body[request->body_len] = '\0';
	if (got < 0 || (stated > 0 && request->body_len < (size_t)stated))
		return ERR_BODY_INCOMPLETE;
	return 0;
}

int server_read_body(server_request_t *request, size_t body_max_bytes)
{
	const struct mg_request_info *info =
		mg_get_request_info(request->connection);
	server_t *server = info->user_data;
	long long stated = info->content_length;
	uint64_t expected = stated > 0 ? (uint64_t)stated : body_max_bytes;
	reading_t reading = {
		.fd = request->fd,
		.deadline_ms = clock_now_ms() +
			       server->settings.caller_timeout_ms +
			       expected / BODY_MIN_BYTES_PER_MS,
	};
	int err;

	if (stated > 0 && (unsigned long long)stated > body_max_bytes)
		return ERR_BODY_TOO_LARGE;
	send_continue(request);
	if (reading.fd >= 0)
		add_reading(server, &reading);
	err = read_body(request, body_max_bytes, stated);
	if (reading.fd >= 0)
		remove_reading(server, &reading);
	return err;
}

bool server_caller_gone(const server_request_t *request)
{
	return upstream_peer_gone(request->fd);
}

static int send_all(const server_request_t *request, const char *bytes,
		    size_t len)
{
	if (!len || mg_write(request->connection, bytes, len) == (int)len)
		return 0;
	return request->fd < 0 || server_caller_gone(request) ? ERR_CANCELLED
							      : ERR_SLOW_READER;
}

static int send_head(server_request_t *request, int status,
		     const char *content_type, const char *headers,
		     const char *framing)
{
	CLEANUP_FREE char *head = NULL;
	const char *reason =
		mg_get_response_code_text(request->connection, status);
	int len = asprintf(&head,
			   "HTTP/1.1 %d %s\r\n%s%s%s%s%sConnection: close"
			   "\r\n\r\n",
			   status, reason, content_type ? "Content-Type: " : "",
			   content_type ? content_type : "",
			   content_type ? "\r\n" : "", headers ? headers : "",
			   framing);

	if (len < 0)
		return ERR_NO_MEMORY;
	request->status = status;
	return send_all(request, head, (size_t)len);
}

int server_answer(server_request_t *request, int status,
		  const char *content_type, const char *headers,
		  const char *body, size_t body_len)
{
	char framing[64];
	int err;

	snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", body_len);
	err = send_head(request, status, content_type, headers, framing);
	if (err || (request->method && !strcmp(request->method, "HEAD")))
		return err;
	return send_all(request, body, body_len);
}

static run_state_t run_state_of(const server_error_t *error)
{
	return error->has_run_state ? error->run_state
				    : error_answer(error->err)->run_state;
}

static uint32_t retry_after_of(const server_error_t *error)
{
	return error->retry_after_ms ? error->retry_after_ms
				     : error_answer(error->err)->retry_after_ms;
}

char *server_error_body(const server_error_t *error)
{
	const error_answer_t *answer = error_answer(error->err);
	const char *text = error->text ? error->text : answer->text;
	CLEANUP_JSON json_t *body = json_pack(
		"{s:{s:s,s:s,s:s,s:I}}", "error", "type", answer->type,
		"message", text, "ran", run_state_name(run_state_of(error)),
		"retry_after_ms", (json_int_t)retry_after_of(error));

	return body ? json_dumps(body, JSON_COMPACT) : NULL;
}

int server_answer_error(server_request_t *request, const server_error_t *error)
{
	const error_answer_t *answer = error_answer(error->err);
	CLEANUP_FREE char *body = server_error_body(error);
	uint32_t after_ms = retry_after_of(error);
	char headers[128];
	char retry[48] = "";

	metrics_count_error(error->err);
	if (!body)
		return ERR_NO_MEMORY;
	if (after_ms)
		snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
			 (after_ms + MILLISECONDS_PER_SECOND - 1) /
				 MILLISECONDS_PER_SECOND);
	snprintf(headers, sizeof(headers), "X-Run-State: %s\r\n%s",
		 run_state_name(run_state_of(error)), retry);
	return server_answer(request, answer->http_status, "application/json",
			     headers, body, strlen(body));
}

int server_stream_begin(server_request_t *request, int status,
			const char *content_type, const char *headers)
{
	const struct mg_request_info *info =
		mg_get_request_info(request->connection);

	/* HTTP/1.0 has no chunks; the end of the connection ends the body. */
	request->chunked =
		info->http_version && !strcmp(info->http_version, "1.1");
	return send_head(request, status, content_type, headers,
			 request->chunked ? "Transfer-Encoding: chunked\r\n"
					  : "");
}

int server_stream_write(server_request_t *request, const char *bytes,
			size_t len)
{
	char *chunk;
	int head_len;
	int err;

	if (!len)
		return 0;
	if (!request->chunked)
		return send_all(request, bytes, len);
	/* One write, so that a token leaves as one packet. */
	chunk = malloc(len + CHUNK_FRAME_BYTES);
	if (!chunk)
		return ERR_NO_MEMORY;
	head_len = snprintf(chunk, CHUNK_FRAME_BYTES, "%zx\r\n", len);
	memcpy(chunk + head_len, bytes, len);
	chunk[head_len + len] = '\r';
	chunk[head_len + len + 1] = '\n';
	err = send_all(request, chunk, (size_t)head_len + len + 2);
	free(chunk);
	return err;
}

int server_stream_end(server_request_t *request)
{
	static const char last[] = "0\r\n\r\n";

	return request->chunked ? send_all(request, last, sizeof(last) - 1) : 0;
}
