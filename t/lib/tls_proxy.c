#include "t/lib/tls_proxy.h"

#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/uatomic.h>

#include "connection/upstream.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/socket_option.h"

enum {
	BUFFER_BYTES = 16384,
	LISTEN_BACKLOG = 1024,
	/** Maximum time until a thread notices tls_proxy_stop(). */
	POLL_MS = 100,
	PORT_TEXT_BYTES = 8,
	THREAD_STACK_BYTES = 256 * 1024,
};

struct tls_proxy {
	tls_proxy_settings_t settings;
	SSL_CTX *tls;
	int fd;
	uint32_t port;
	bool stopping;
	pthread_t acceptor;
	pthread_attr_t attributes;
	pthread_mutex_t lock;
	pthread_cond_t connection_closed;
	uint32_t open_connections; /**< Protected by `lock`. */
};

/** Data of one direction that was read and is not yet sent. */
typedef struct buffer {
	char bytes[BUFFER_BYTES];
	size_t len;
	size_t sent_bytes;
} buffer_t;

typedef struct proxy_connection {
	tls_proxy_t *proxy;
	SSL *ssl;
	int client;
	int server;
	bool client_closed;
	bool server_closed;
	short client_events; /**< poll() events that OpenSSL waits for. */
	buffer_t to_server;
	buffer_t to_client;
} proxy_connection_t;

/** Waits for events on both sockets; poll() ignores a descriptor of -1. */
static void wait_for_events(const proxy_connection_t *connection,
			    short server_events)
{
	struct pollfd fds[] = {
		{ .fd = connection->client,
		  .events = connection->client_events },
		{ .fd = connection->server, .events = server_events },
	};

	/*
	 * poll() reports a hang-up even if no events are requested, which
	 * would make the loop spin.
	 */
	if (!connection->client_events)
		fds[0].fd = -1;
	if (!server_events)
		fds[1].fd = -1;
	poll(fds, 2, POLL_MS);
}

/** Whether a failed TLS call only has to be repeated after an event. */
static bool is_io_pending(proxy_connection_t *connection, int result)
{
	switch (SSL_get_error(connection->ssl, result)) {
	case SSL_ERROR_WANT_READ:
		connection->client_events |= POLLIN;
		return true;
	case SSL_ERROR_WANT_WRITE:
		connection->client_events |= POLLOUT;
		return true;
	default:
		return false;
	}
}

static bool handshake(proxy_connection_t *connection)
{
	uint64_t deadline_ms = clock_now_ms() +
			       connection->proxy->settings.handshake_timeout_ms;

	while (clock_now_ms() < deadline_ms &&
	       !uatomic_read(&connection->proxy->stopping)) {
		int result;

		ERR_clear_error();
		connection->client_events = 0;
		result = SSL_accept(connection->ssl);
		if (result == 1)
			return true;
		if (!is_io_pending(connection, result))
			return false;
		wait_for_events(connection, 0);
	}
	return false;
}

static void set_non_blocking(int fd)
{
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	socket_option_set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

static int connect_server(uint32_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	if (fd >= 0)
		set_non_blocking(fd);
	return fd;
}

/** @return whether data was read or the client has closed */
static bool read_client(proxy_connection_t *connection)
{
	int got;

	if (connection->to_server.len || connection->client_closed)
		return false;
	ERR_clear_error();
	got = SSL_read(connection->ssl, connection->to_server.bytes,
		       BUFFER_BYTES);
	if (got <= 0 && is_io_pending(connection, got))
		return false;
	if (got > 0)
		connection->to_server.len = (size_t)got;
	else
		connection->client_closed = true;
	return true;
}

static bool write_client(proxy_connection_t *connection)
{
	buffer_t *buffer = &connection->to_client;
	int sent;

	if (!buffer->len)
		return false;
	ERR_clear_error();
	sent = SSL_write(connection->ssl, buffer->bytes + buffer->sent_bytes,
			 (int)(buffer->len - buffer->sent_bytes));
	if (sent <= 0 && is_io_pending(connection, sent))
		return false;
	if (sent <= 0) {
		connection->client_closed = true;
		return true;
	}
	buffer->sent_bytes += (size_t)sent;
	if (buffer->sent_bytes == buffer->len)
		buffer->len = buffer->sent_bytes = 0;
	return true;
}

static bool read_server(proxy_connection_t *connection, short *events)
{
	ssize_t got;

	if (connection->to_client.len || connection->server_closed)
		return false;
	got = recv(connection->server, connection->to_client.bytes,
		   BUFFER_BYTES, 0);
	if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
		*events |= POLLIN;
		return false;
	}
	if (got > 0)
		connection->to_client.len = (size_t)got;
	else
		connection->server_closed = true;
	return true;
}

static bool write_server(proxy_connection_t *connection, short *events)
{
	buffer_t *buffer = &connection->to_server;
	ssize_t sent;

	if (!buffer->len)
		return false;
	sent = send(connection->server, buffer->bytes + buffer->sent_bytes,
		    buffer->len - buffer->sent_bytes, MSG_NOSIGNAL);
	if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
		*events |= POLLOUT;
		return false;
	}
	if (sent < 0) {
		/*
		 * Drop the rest of the request, but go on reading: the server
		 * may have sent an answer.
		 */
		buffer->len = buffer->sent_bytes = 0;
		return true;
	}
	buffer->sent_bytes += (size_t)sent;
	if (buffer->sent_bytes == buffer->len)
		buffer->len = buffer->sent_bytes = 0;
	return true;
}

/** Forwards data in both directions until one side has closed. */
static void relay(proxy_connection_t *connection)
{
	while (!uatomic_read(&connection->proxy->stopping) &&
	       !connection->client_closed &&
	       (!connection->server_closed || connection->to_client.len)) {
		short server_events = 0;
		bool moved = false;

		connection->client_events = 0;
		moved |= read_client(connection);
		moved |= write_server(connection, &server_events);
		moved |= read_server(connection, &server_events);
		moved |= write_client(connection);
		if (!moved)
			wait_for_events(connection, server_events);
	}
	if (!connection->client_closed)
		SSL_shutdown(connection->ssl);
}

static void free_connection(proxy_connection_t *connection)
{
	tls_proxy_t *proxy = connection->proxy;

	SSL_free(connection->ssl);
	close(connection->client);
	if (connection->server >= 0)
		close(connection->server);
	free(connection);
	pthread_mutex_lock(&proxy->lock);
	proxy->open_connections--;
	pthread_cond_signal(&proxy->connection_closed);
	pthread_mutex_unlock(&proxy->lock);
}

static void *run_connection(void *context)
{
	proxy_connection_t *connection = context;

	if (handshake(connection)) {
		connection->server =
			connect_server(connection->proxy->settings.target_port);
		if (connection->server >= 0)
			relay(connection);
	}
	free_connection(connection);
	return NULL;
}

static proxy_connection_t *new_connection(tls_proxy_t *proxy, int fd)
{
	proxy_connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->proxy = proxy;
	connection->client = fd;
	connection->server = -1;
	connection->ssl = SSL_new(proxy->tls);
	if (!connection->ssl || !SSL_set_fd(connection->ssl, fd)) {
		SSL_free(connection->ssl);
		free(connection);
		return NULL;
	}
	set_non_blocking(fd);
	return connection;
}

static bool reserve_connection(tls_proxy_t *proxy)
{
	SCOPED_LOCK(lock, &proxy->lock);

	if (proxy->open_connections == proxy->settings.connections_max)
		return false;
	proxy->open_connections++;
	return true;
}

static void start_connection(tls_proxy_t *proxy, int fd)
{
	proxy_connection_t *connection;
	pthread_t thread;

	if (!reserve_connection(proxy)) {
		close(fd);
		return;
	}
	connection = new_connection(proxy, fd);
	if (connection && !pthread_create(&thread, &proxy->attributes,
					  run_connection, connection))
		return;
	if (connection) {
		free_connection(connection);
		return;
	}
	close(fd);
	SCOPED_LOCK(lock, &proxy->lock);
	proxy->open_connections--;
}

static void *run_acceptor(void *context)
{
	tls_proxy_t *proxy = context;
	struct pollfd waiting = { .fd = proxy->fd, .events = POLLIN };

	while (!uatomic_read(&proxy->stopping)) {
		int fd;

		if (poll(&waiting, 1, POLL_MS) <= 0)
			continue;
		fd = accept4(proxy->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd >= 0)
			start_connection(proxy, fd);
	}
	return NULL;
}

static int listen_on(const tls_proxy_settings_t *settings)
{
	struct addrinfo hints = {
		.ai_socktype = SOCK_STREAM,
		.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
	};
	struct addrinfo *found = NULL;
	char port[PORT_TEXT_BYTES];
	int fd;

	snprintf(port, sizeof(port), "%u", settings->port);
	if (getaddrinfo(settings->address, port, &hints, &found))
		return -1;
	fd = socket(found->ai_family,
		    SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	socket_option_set(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (fd >= 0 && (bind(fd, found->ai_addr, found->ai_addrlen) ||
			listen(fd, LISTEN_BACKLOG))) {
		close(fd);
		fd = -1;
	}
	freeaddrinfo(found);
	return fd;
}

static uint32_t port_of(int fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} address = { 0 };
	socklen_t bytes = sizeof(address);

	if (getsockname(fd, &address.any, &bytes))
		return 0;
	return ntohs(address.any.sa_family == AF_INET6 ? address.v6.sin6_port
						       : address.v4.sin_port);
}

static SSL_CTX *new_tls_context(const char *certificate)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

	if (!tls)
		return NULL;
	SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	SSL_CTX_set_mode(tls, SSL_MODE_ENABLE_PARTIAL_WRITE |
				      SSL_MODE_RELEASE_BUFFERS);
	if (SSL_CTX_use_certificate_chain_file(tls, certificate) == 1 &&
	    SSL_CTX_use_PrivateKey_file(tls, certificate, SSL_FILETYPE_PEM) ==
		    1 &&
	    SSL_CTX_check_private_key(tls) == 1)
		return tls;
	SSL_CTX_free(tls);
	return NULL;
}

/** Starts the acceptor with SIGPIPE blocked; its threads inherit the mask. */
static int start_thread(tls_proxy_t *proxy)
{
	sigset_t blocked;
	sigset_t before;
	int err;

	/* OpenSSL writes to sockets without MSG_NOSIGNAL. */
	sigemptyset(&blocked);
	sigaddset(&blocked, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &blocked, &before);
	err = pthread_create(&proxy->acceptor, NULL, run_acceptor, proxy);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return err;
}

static void free_proxy(tls_proxy_t *proxy)
{
	if (proxy->fd >= 0)
		close(proxy->fd);
	SSL_CTX_free(proxy->tls);
	pthread_attr_destroy(&proxy->attributes);
	pthread_cond_destroy(&proxy->connection_closed);
	pthread_mutex_destroy(&proxy->lock);
	free(proxy);
}

tls_proxy_t *tls_proxy_start(const tls_proxy_settings_t *settings)
{
	tls_proxy_t *proxy = calloc(1, sizeof(*proxy));

	if (!proxy)
		return NULL;
	proxy->settings = *settings;
	pthread_mutex_init(&proxy->lock, NULL);
	pthread_cond_init(&proxy->connection_closed, NULL);
	pthread_attr_init(&proxy->attributes);
	pthread_attr_setdetachstate(&proxy->attributes,
				    PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&proxy->attributes, THREAD_STACK_BYTES);
	proxy->tls = new_tls_context(settings->certificate);
	proxy->fd = proxy->tls ? listen_on(settings) : -1;
	if (proxy->fd >= 0)
		proxy->port = port_of(proxy->fd);
	if (proxy->fd >= 0 && !start_thread(proxy))
		return proxy;
	free_proxy(proxy);
	return NULL;
}

uint32_t tls_proxy_port(const tls_proxy_t *proxy)
{
	return proxy->port;
}

void tls_proxy_stop(tls_proxy_t *proxy)
{
	if (!proxy)
		return;
	uatomic_set(&proxy->stopping, true);
	pthread_join(proxy->acceptor, NULL);
	pthread_mutex_lock(&proxy->lock);
	while (proxy->open_connections)
		pthread_cond_wait(&proxy->connection_closed, &proxy->lock);
	pthread_mutex_unlock(&proxy->lock);
	free_proxy(proxy);
}
