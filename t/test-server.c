/* The server that runs handlers on threads, as seen from a client's socket. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/server.h"

enum {
	/** A stop that follows an answer at once is a race. */
	STOPS = 50,
	/** Requests whose handler returns while the loop sends its answer. */
	CLIENTS = 4,
	REQUESTS = 10000,
	HANDLER_THREADS = 8,
};

typedef struct rig {
	GMutex lock;
	GCond changed;
	bool handled;
} rig_t;

static uint32_t body_max(void *context)
{
	(void)context;
	return 4096;
}

static void handle(void *context, server_request_t *request)
{
	rig_t *rig = context;

	server_answer(request, 200, "text/plain", NULL, "done", 4);
	g_mutex_lock(&rig->lock);
	rig->handled = true;
	g_cond_signal(&rig->changed);
	g_mutex_unlock(&rig->lock);
}

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

static int send_request(const server_t *server)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)server_port(server)),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(request));
	return fd;
}

/* Failure: the server closed the connection of a request between the return of
 * its handler and the sending of its answer. */
static void test_stop_after_handler(void)
{
	for (int i = 0; i < STOPS; i++) {
		rig_t rig = { .handled = false };
		server_settings_t settings = {
			.address = "127.0.0.1",
			.thread_count = 2,
			.client_timeout_ms = 1000,
			.header_max_bytes = 4096,
			.body_max_bytes = body_max,
			.handle = handle,
			.context = &rig,
		};
		server_t *server = server_start(&settings);
		g_autoptr(GString) received = g_string_new(NULL);
		char bytes[1024];
		ssize_t len;
		int fd = send_request(server);

		g_mutex_lock(&rig.lock);
		while (!rig.handled)
			g_cond_wait(&rig.changed, &rig.lock);
		g_mutex_unlock(&rig.lock);
		server_stop(server);
		while ((len = recv(fd, bytes, sizeof(bytes), 0)) > 0)
			g_string_append_len(received, bytes, len);
		close(fd);
		g_test_message("stop %d", i);
		g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 200"));
		g_assert_true(g_str_has_suffix(received->str, "done"));
	}
}

/* Sends requests one after the other on one connection. */
static gpointer run_client(gpointer data)
{
	int fd = send_request(data);

	for (int i = 1;; i++) {
		g_autoptr(GString) received = g_string_new(NULL);
		char bytes[1024];

		while (!g_str_has_suffix(received->str, "done")) {
			ssize_t len = recv(fd, bytes, sizeof(bytes), 0);

			g_assert_cmpint(len, >, 0);
			g_string_append_len(received, bytes, len);
		}
		if (i == REQUESTS)
			break;
		g_assert_cmpint(
			send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(request));
	}
	close(fd);
	return NULL;
}

/* Failure: the loop freed a request at a flush that saw its handler return,
 * while the handler's thread posted another flush of it. */
static void test_flush_after_return(void)
{
	rig_t rig = { .handled = false };
	server_settings_t settings = {
		.address = "127.0.0.1",
		.thread_count = HANDLER_THREADS,
		.client_timeout_ms = 10000,
		.header_max_bytes = 4096,
		.body_max_bytes = body_max,
		.handle = handle,
		.context = &rig,
	};
	server_t *server = server_start(&settings);
	GThread *clients[CLIENTS];

	for (int i = 0; i < CLIENTS; i++)
		clients[i] = g_thread_new("client", run_client, server);
	for (int i = 0; i < CLIENTS; i++)
		g_thread_join(clients[i]);
	server_stop(server);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server/stop-after-handler", test_stop_after_handler);
	g_test_add_func("/server/flush-after-return", test_flush_after_return);
	return g_test_run();
}
