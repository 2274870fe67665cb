#include "t/lib/raw_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	CONNECTIONS_MAX = 256,
	READ_BUFFER_BYTES = 65536,
	CALL_TIMEOUT_S = 20,
	/** Pause between pieces, us: the server reads them one by one. */
	PIECE_PAUSE_US = 30000,
	ENDLESS_BLOCK_BYTES = 16384,
};

typedef struct raw_connection {
	raw_server_t *server;
	pthread_t thread;
	int fd; /**< -1: the thread has ended and the slot is free. */
} raw_connection_t;

struct raw_server {
	raw_handler_t *handler;
	void *context;
	int fd;
	uint16_t port;
	pthread_t thread;
	pthread_mutex_t lock;
	raw_connection_t connections[CONNECTIONS_MAX];
	size_t count;
	bool stopping;
	_Atomic bool answers_heads;
};

static size_t body_length(const char *head)
{
	char *value = raw_header(head, "Content-Length");
	size_t len = value ? strtoul(value, NULL, 10) : 0;

	free(value);
	return len;
}

/* Reads until `input` starts with what the handler is called for; false at end
 * of file. */
static bool read_request(const raw_connection_t *connection, GString *input,
			 size_t *head_len)
{
	char bytes[READ_BUFFER_BYTES];
	size_t needed = 0; /* Known once the head is complete. */

	for (;;) {
		const char *end =
			needed ? NULL : strstr(input->str, "\r\n\r\n");
		ssize_t len;

		if (end) {
			*head_len = (size_t)(end - input->str) + 4;
			needed = *head_len;
			if (!connection->server->answers_heads)
				needed += body_length(input->str);
		}
		if (needed && input->len >= needed)
			return true;
		len = recv(connection->fd, bytes, sizeof(bytes), 0);
		if (len <= 0)
			return false;
		g_string_append_len(input, bytes, len);
	}
}

static raw_next_t answer(raw_connection_t *connection, GString *input,
			 size_t head_len, uint32_t earlier_requests)
{
	char *head = g_strndup(input->str, head_len);
	size_t len = MIN(body_length(head), input->len - head_len);
	char *body = g_strndup(input->str + head_len, len);
	raw_request_t request = { connection->fd, head, body,
				  earlier_requests };
	raw_next_t next = connection->server->handler(
		connection->server->context, &request);

	g_string_erase(input, 0, (gssize)(head_len + len));
	g_free(head);
	g_free(body);
	return next;
}

static void *connection_main(void *context)
{
	raw_connection_t *connection = context;
	struct linger reset = { 1, 0 };
	GString *input = g_string_new(NULL);
	raw_next_t next = RAW_KEEP;
	uint32_t earlier_requests = 0;
	size_t head_len;

	while (next == RAW_KEEP && read_request(connection, input, &head_len))
		next = answer(connection, input, head_len, earlier_requests++);
	if (next == RAW_RESET)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	pthread_mutex_lock(&connection->server->lock);
	close(connection->fd);
	connection->fd = -1;
	pthread_mutex_unlock(&connection->server->lock);
	g_string_free(input, TRUE);
	return NULL;
}

/* Returns a slot whose thread has ended, or a new one; NULL if all are in use.
 * The lock is held. */
static raw_connection_t *obtain_slot(raw_server_t *server)
{
	for (size_t i = 0; i < server->count; i++) {
		raw_connection_t *connection = &server->connections[i];

		if (connection->fd >= 0)
			continue;
		pthread_join(connection->thread, NULL);
		return connection;
	}
	return server->count < CONNECTIONS_MAX
		       ? &server->connections[server->count++]
		       : NULL;
}

static void *accept_main(void *context)
{
	raw_server_t *server = context;
	int fd;

	while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
		raw_connection_t *connection;

		pthread_mutex_lock(&server->lock);
		connection = server->stopping ? NULL : obtain_slot(server);
		if (!connection) {
			close(fd);
		} else {
			connection->server = server;
			connection->fd = fd;
			pthread_create(&connection->thread, NULL,
				       connection_main, connection);
		}
		pthread_mutex_unlock(&server->lock);
	}
	return NULL;
}

raw_server_t *raw_server_start(raw_handler_t *handler, void *context)
{
	raw_server_t *server = g_new0(raw_server_t, 1);
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	server->handler = handler;
	server->context = context;
	pthread_mutex_init(&server->lock, NULL);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(server->fd, (struct sockaddr *)&address, len), ==,
			0);
	g_assert_cmpint(listen(server->fd, 64), ==, 0);
	getsockname(server->fd, (struct sockaddr *)&address, &len);
	server->port = ntohs(address.sin_port);
	g_assert_cmpint(
		pthread_create(&server->thread, NULL, accept_main, server), ==,
		0);
	return server;
}

void raw_server_stop(raw_server_t *server)
{
	pthread_mutex_lock(&server->lock);
	server->stopping = true;
	for (size_t i = 0; i < server->count; i++) {
		if (server->connections[i].fd >= 0)
			shutdown(server->connections[i].fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&server->lock);
	shutdown(server->fd, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	for (size_t i = 0; i < server->count; i++)
		pthread_join(server->connections[i].thread, NULL);
	close(server->fd);
	pthread_mutex_destroy(&server->lock);
	g_free(server);
}

uint16_t raw_server_port(const raw_server_t *server)
{
	return server->port;
}

void raw_server_answer_heads(raw_server_t *server)
{
	server->answers_heads = true;
}

void raw_end_answer(const raw_request_t *request)
{
	struct pollfd peer = { .fd = request->fd, .events = POLLRDHUP };

	shutdown(request->fd, SHUT_WR);
	poll(&peer, 1, CALL_TIMEOUT_S * 1000);
}

void raw_send(const raw_request_t *request, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	(void)send(request->fd, text, strlen(text), MSG_NOSIGNAL);
	g_free(text);
}

void raw_send_endless(const raw_request_t *request, const char *piece,
		      uint32_t pause_ms)
{
	GString *block = g_string_new(piece);
	size_t sent = 0;
	ssize_t len;

	while (!pause_ms && block->len < ENDLESS_BLOCK_BYTES)
		g_string_append(block, piece);
	while ((len = send(request->fd, block->str + sent, block->len - sent,
			   MSG_NOSIGNAL)) > 0) {
		sent = (sent + (size_t)len) % block->len;
		g_usleep(pause_ms * 1000UL);
	}
	g_string_free(block, TRUE);
}

char *raw_header(const char *head, const char *name)
{
	size_t len = strlen(name);

	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line + 2, "\r\n")) {
		const char *value = line + 2 + len;

		if (strncasecmp(line + 2, name, len) != 0 || *value != ':')
			continue;
		value += 1 + strspn(value + 1, " ");
		return strndup(value, strcspn(value, "\r\n"));
	}
	return NULL;
}

bool raw_is_whole(const char *answer)
{
	const char *body = strstr(answer, "\r\n\r\n");
	char *length;
	bool whole;

	if (!body)
		return false;
	length = raw_header(answer, "Content-Length");
	whole = length ? strlen(body + 4) >= strtoul(length, NULL, 10)
		       : g_str_has_suffix(answer, "\r\n0\r\n\r\n");
	free(length);
	return whole;
}

static bool send_in_pieces(int fd, const char *request, size_t first_bytes)
{
	const char *rest = request + first_bytes;

	if (send(fd, request, first_bytes, MSG_NOSIGNAL) <= 0)
		return false;
	if (!*rest)
		return true;
	g_usleep(PIECE_PAUSE_US);
	return send(fd, rest, strlen(rest), MSG_NOSIGNAL) > 0;
}

char *raw_call_in_pieces(uint16_t port, const char *request, size_t first_bytes)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	struct timeval limit = { .tv_sec = CALL_TIMEOUT_S };
	GString *answer_text = g_string_new(NULL);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char bytes[READ_BUFFER_BYTES];
	ssize_t len = -1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    send_in_pieces(fd, request, first_bytes)) {
		while ((len = recv(fd, bytes, sizeof(bytes), 0)) > 0)
			g_string_append_len(answer_text, bytes, len);
	}
	close(fd);
	return g_string_free(answer_text, FALSE);
}

char *raw_call(uint16_t port, const char *request)
{
	return raw_call_in_pieces(port, request, strlen(request));
}
