/*
 * TCP proxy on loopback that injects faults: it listens on one port, forwards
 * to a target port, and takes `POST /control` on another port.
 *
 * A single thread moves the data in a poll loop. Each direction of a
 * connection is a queue of chunks with the time at which each is to be sent.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/http_server.h"

enum {
	CHUNK_BYTES = 16384,
	/** A direction with this many queued chunks is not read. */
	QUEUE_MAX_CHUNKS = 64,
	/** Likewise while the rate is limited, so that connections share it. */
	LIMITED_QUEUE_MAX_CHUNKS = 1,
	/** Smallest chunk while the rate is limited: a packet. */
	LIMITED_CHUNK_MIN_BYTES = 1460,
	/** Maximum time until the loop applies a control call. */
	POLL_MS = 5,
	CONNECTIONS_MAX = 1024,
};

typedef struct chunk {
	uint64_t due_ms;
	size_t len;
	size_t sent;
	char data[CHUNK_BYTES];
} chunk_t;

/** One direction of a connection. */
typedef struct pipe {
	int from;
	int to;
	bool eof;      /**< End of file was read from `from`. */
	bool eof_sent; /**< `to` was shut down for writing. */
	bool is_answer;
	GQueue chunks;
	uint64_t sent_bytes;
} pipe_t;

typedef struct connection {
	int client;
	int target; /**< -1 if accepted in blackhole mode. */
	pipe_t request;
	pipe_t answer;
	bool broken;
} connection_t;

static const char *listen_address;
static uint32_t listen_port;
static const char *target_address;
static uint32_t target_port;
static http_server_t server;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t delay_changed;
	pthread_t thread;
	bool stopping;
	int listener;		/**< -1 while connections are refused. */
	uint64_t delay_ms;	/**< Of each chunk. */
	uint64_t next_delay_ms; /**< Replaces `delay_ms` once no input waits. */
	uint64_t refuse;	/**< Whether to refuse connections. */
	uint64_t blackhole;	/**< Whether to accept but forward nothing. */
	/** Whether new connections hang, and open ones forward nothing. */
	uint64_t silent;
	/** While connections are refused, keeps others from taking the port;
	 * -1: none. */
	int holder;
	int filler; /**< Keeps the listener's queue full; -1: none. */
	/** Bytes of answer forwarded per connection; the rest is dropped. */
	uint64_t answer_limit_bytes;
	/** Rate of the answers of all connections together; 0: no limit. */
	uint64_t answer_bytes_per_ms;
	uint64_t answers_sent_us; /**< End of the last answer at this rate. */
	uint64_t accepted;
	GPtrArray *connections;
} proxy = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .delay_changed = PTHREAD_COND_INITIALIZER,
	    .listener = -1,
	    .holder = -1,
	    .filler = -1,
	    .answer_limit_bytes = UINT64_MAX };

static struct sockaddr_in loopback(const char *address, uint32_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = inet_addr(address),
	};
}

/** Binds a socket; sets `listen_port` if it was 0. */
static int bind_port(void)
{
	struct sockaddr_in address = loopback(listen_address, listen_port);
	socklen_t len = sizeof(address);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, len) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		g_error("cannot bind port %u: %s", listen_port,
			g_strerror(errno));
	listen_port = ntohs(address.sin_port);
	return fd;
}

static void open_listener(void)
{
	if (proxy.holder >= 0)
		close(proxy.holder);
	proxy.holder = -1;
	proxy.listener = bind_port();
	if (listen(proxy.listener, SOMAXCONN) != 0)
		g_error("cannot listen on port %u: %s", listen_port,
			g_strerror(errno));
}

static void close_listener(void)
{
	if (proxy.listener < 0)
		return;
	/* close() alone keeps the port open while poll() uses the socket. */
	shutdown(proxy.listener, SHUT_RDWR);
	close(proxy.listener);
	proxy.listener = -1;
	proxy.holder = bind_port();
}

/* The kernel drops attempts to connect while the listener's queue, which is
 * made as short as possible, is full. */
static void begin_silence(void)
{
	struct sockaddr_in address = loopback(listen_address, listen_port);

	listen(proxy.listener, 0);
	proxy.filler =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	(void)connect(proxy.filler, (struct sockaddr *)&address,
		      sizeof(address));
}

static void end_silence(void)
{
	close(proxy.filler);
	proxy.filler = -1;
	listen(proxy.listener, SOMAXCONN);
}

static int connect_target(void)
{
	struct sockaddr_in address = loopback(target_address, target_port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	/* On loopback, connect() succeeds or fails without delay. */
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/** Closes a socket; with `reset` the peer gets a TCP reset. */
static void close_socket(int fd, bool reset)
{
	struct linger linger = { .l_onoff = reset };

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void free_connection(void *data)
{
	connection_t *connection = data;

	close_socket(connection->client, connection->broken);
	close_socket(connection->target, connection->broken);
	g_queue_clear_full(&connection->request.chunks, g_free);
	g_queue_clear_full(&connection->answer.chunks, g_free);
	g_free(connection);
}

static void accept_connection(void)
{
	int client = accept4(proxy.listener, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK);
	connection_t *connection;
	int target;

	if (client < 0)
		return;
	target = proxy.blackhole ? -1 : connect_target();
	if (target < 0 && !proxy.blackhole) {
		close_socket(client, true);
		return;
	}
	proxy.accepted++;
	connection = g_new0(connection_t, 1);
	connection->client = client;
	connection->target = target;
	connection->request = (pipe_t){ .from = client, .to = target };
	connection->answer =
		(pipe_t){ .from = target, .to = client, .is_answer = true };
	g_ptr_array_add(proxy.connections, connection);
}

/** Time at which bytes that were read now are to be sent, ms. */
static uint64_t due_ms(const pipe_t *pipe, size_t len)
{
	uint64_t now_us = clock_now_ms() * 1000;

	if (!pipe->is_answer || !proxy.answer_bytes_per_ms)
		return clock_now_ms() + proxy.delay_ms;
	proxy.answers_sent_us = MAX(proxy.answers_sent_us, now_us) +
				len * 1000 / proxy.answer_bytes_per_ms;
	return proxy.answers_sent_us / 1000;
}

/** Bytes to read at once: what the loop sends in two turns at a limited rate.
 */
static size_t chunk_bytes(const pipe_t *pipe)
{
	uint64_t limited = proxy.answer_bytes_per_ms * 2 * POLL_MS;

	if (!pipe->is_answer || !limited)
		return CHUNK_BYTES;
	return MIN(MAX(limited, LIMITED_CHUNK_MIN_BYTES), CHUNK_BYTES);
}

/** Reads one chunk; returns false if the connection is broken. */
static bool read_chunk(pipe_t *pipe)
{
	chunk_t *chunk = g_new(chunk_t, 1);
	ssize_t got = read(pipe->from, chunk->data, chunk_bytes(pipe));

	if (got <= 0) {
		g_free(chunk);
		pipe->eof = got == 0;
		return got == 0 || errno == EAGAIN;
	}
	chunk->due_ms = due_ms(pipe, (size_t)got);
	chunk->len = (size_t)got;
	chunk->sent = 0;
	g_queue_push_tail(&pipe->chunks, chunk);
	return true;
}

/** Bytes of a chunk within the answer limit; the rest is dropped. */
static size_t allowed_bytes(const pipe_t *pipe, size_t wanted)
{
	if (!pipe->is_answer)
		return wanted;
	if (pipe->sent_bytes >= proxy.answer_limit_bytes)
		return 0;
	return MIN(wanted, proxy.answer_limit_bytes - pipe->sent_bytes);
}

/** Sends chunks that are due; returns false if the connection is broken. */
static bool write_chunks(pipe_t *pipe, uint64_t now_ms)
{
	chunk_t *chunk;

	while ((chunk = g_queue_peek_head(&pipe->chunks)) &&
	       chunk->due_ms <= now_ms) {
		size_t left = chunk->len - chunk->sent;
		size_t allowed = allowed_bytes(pipe, left);
		ssize_t written = 0;

		if (allowed)
			written = send(pipe->to, chunk->data + chunk->sent,
				       allowed, MSG_NOSIGNAL);
		if (written < 0)
			return errno == EAGAIN;
		pipe->sent_bytes += (uint64_t)written;
		chunk->sent += (size_t)written;
		if (chunk->sent < chunk->len && allowed == left)
			return true;
		if (chunk->sent < chunk->len && written)
			continue;
		g_free(g_queue_pop_head(&pipe->chunks));
	}
	if (pipe->eof && !chunk && !pipe->eof_sent) {
		shutdown(pipe->to, SHUT_WR);
		pipe->eof_sent = true;
	}
	return true;
}

static bool can_read(const pipe_t *pipe)
{
	guint queue_max = pipe->is_answer && proxy.answer_bytes_per_ms
				  ? LIMITED_QUEUE_MAX_CHUNKS
				  : QUEUE_MAX_CHUNKS;

	return pipe->from >= 0 && !pipe->eof && pipe->chunks.length < queue_max;
}

static void add_poll(GArray *fds, const pipe_t *pipe)
{
	struct pollfd entry = { .fd = can_read(pipe) ? pipe->from : -1,
				.events = POLLIN };

	g_array_append_val(fds, entry);
}

static bool forwards(void)
{
	return !proxy.blackhole && !proxy.silent;
}

/**
 * Waits for input with the lock released.
 * @param fds receives the listener, then two entries for each connection
 * @return result of poll()
 */
static int wait_for_input(GArray *fds)
{
	int ready;
	struct pollfd listener = { .fd = proxy.listener, .events = POLLIN };

	g_array_set_size(fds, 0);
	if (proxy.connections->len >= CONNECTIONS_MAX || proxy.silent)
		listener.fd = -1;
	g_array_append_val(fds, listener);
	for (guint i = 0; forwards() && i < proxy.connections->len; i++) {
		connection_t *connection =
			g_ptr_array_index(proxy.connections, i);

		add_poll(fds, &connection->request);
		add_poll(fds, &connection->answer);
	}
	pthread_mutex_unlock(&proxy.lock);
	ready = poll((struct pollfd *)(void *)fds->data, fds->len, POLL_MS);
	pthread_mutex_lock(&proxy.lock);
	return ready;
}

/** Moves data in one direction; returns false if the connection is broken. */
static bool relay(pipe_t *pipe, const struct pollfd *ready, uint64_t now_ms)
{
	if (pipe->from < 0 || pipe->to < 0)
		return true;
	if (ready->revents && !read_chunk(pipe))
		return false;
	return write_chunks(pipe, now_ms);
}

static void relay_all(const GArray *fds)
{
	uint64_t now_ms = clock_now_ms();

	/* Iterates backwards because finished connections are removed. */
	for (guint i = (fds->len - 1) / 2; i > 0; i--) {
		connection_t *connection =
			g_ptr_array_index(proxy.connections, i - 1);
		const struct pollfd *ready =
			&g_array_index(fds, struct pollfd, 2 * i - 1);

		if (!relay(&connection->request, &ready[0], now_ms) ||
		    !relay(&connection->answer, &ready[1], now_ms))
			connection->broken = true;
		if (connection->broken || (connection->request.eof_sent &&
					   connection->answer.eof_sent))
			g_ptr_array_remove_index(proxy.connections, i - 1);
	}
}

static void *run_proxy(void *unused)
{
	g_autoptr(GArray) fds =
		g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	SCOPED_LOCK(held, &proxy.lock);

	(void)unused;
	while (!proxy.stopping) {
		uint64_t next_ms = proxy.next_delay_ms;

		/* Data sent before a change of the delay keeps the old one. */
		if (!wait_for_input(fds) && proxy.delay_ms != next_ms) {
			proxy.delay_ms = next_ms;
			pthread_cond_broadcast(&proxy.delay_changed);
		}
		/* A control call may have removed connections during poll(). */
		if (fds->len == 1 + 2 * proxy.connections->len && forwards())
			relay_all(fds);
		if (proxy.listener >= 0 && !proxy.silent &&
		    g_array_index(fds, struct pollfd, 0).revents)
			accept_connection();
	}
	return NULL;
}

static void reset_all(void)
{
	for (guint i = 0; i < proxy.connections->len; i++) {
		connection_t *connection =
			g_ptr_array_index(proxy.connections, i);

		connection->broken = true;
	}
	g_ptr_array_set_size(proxy.connections, 0);
}

static void handle_control(http_request_t *request)
{
	SCOPED_LOCK(held, &proxy.lock);

	http_update_number(request, "delay_ms", &proxy.next_delay_ms);
	while (proxy.delay_ms != proxy.next_delay_ms && !proxy.stopping)
		pthread_cond_wait(&proxy.delay_changed, &proxy.lock);
	http_update_number(request, "blackhole", &proxy.blackhole);
	http_update_number(request, "silent", &proxy.silent);
	http_update_number(request, "refuse", &proxy.refuse);
	/* A negative number is converted to a huge one: no limit. */
	http_update_number(request, "answer_limit_bytes",
			   &proxy.answer_limit_bytes);
	http_update_number(request, "answer_bytes_per_ms",
			   &proxy.answer_bytes_per_ms);
	if (proxy.refuse)
		close_listener();
	else if (proxy.listener < 0)
		open_listener();
	if (proxy.silent && proxy.filler < 0)
		begin_silence();
	else if (!proxy.silent && proxy.filler >= 0)
		end_silence();
	if (http_body_number(request, "cut", 0))
		reset_all();
	http_send_ok(request);
}

/** Number of request chunks that are queued. */
static int count_delayed(void)
{
	guint count = 0;

	for (guint i = 0; i < proxy.connections->len; i++) {
		connection_t *connection =
			g_ptr_array_index(proxy.connections, i);

		count += g_queue_get_length(&connection->request.chunks);
	}
	return (int)count;
}

static void handle_stats(http_request_t *request)
{
	SCOPED_LOCK(held, &proxy.lock);

	http_send_json(request, 200, "",
		       json_pack("{s:I,s:i,s:i}", "accepted",
				 (json_int_t)proxy.accepted, "open",
				 (int)proxy.connections->len, "held",
				 count_delayed()));
}

static const http_route_t routes[] = {
	{ "POST", "/control", handle_control },
	{ "GET", "/control/stats", handle_stats },
	{ 0 },
};

static const setting_t settings[] = {
	SERVER_ENTRIES(server, "control-port", "8"),
	SETTING_ENTRY("port", SETTING_NUMBER, listen_port, "0",
		      "loopback port to listen on; 0 picks a free one", 0,
		      65535),
	SETTING_ENTRY("address", SETTING_TEXT, listen_address, "127.0.0.1",
		      "loopback address to listen on", 0, 0),
	SETTING_ENTRY("target-address", SETTING_TEXT, target_address,
		      "127.0.0.1", "loopback address to forward to", 0, 0),
	SETTING_ENTRY("target-port", SETTING_NUMBER, target_port, NULL,
		      "loopback port to forward to", 1, 65535),
	{ 0 },
};

static void start(void)
{
	proxy.connections = g_ptr_array_new_with_free_func(free_connection);
	open_listener();
	printf("port=%u\n", listen_port);
	if (pthread_create(&proxy.thread, NULL, run_proxy, NULL) != 0)
		g_error("cannot start the proxy thread");
}

static void stop(void)
{
	pthread_mutex_lock(&proxy.lock);
	proxy.stopping = true;
	pthread_cond_broadcast(&proxy.delay_changed);
	pthread_mutex_unlock(&proxy.lock);
	pthread_join(proxy.thread, NULL);
	close_listener();
	g_ptr_array_set_size(proxy.connections, 0);
}

static http_server_t server = {
	.routes = routes,
	.start = start,
	.stop = stop,
	.port_label = "control",
};

int main(int argc, char **argv)
{
	return http_server_main(argc, argv, settings, &server);
}
