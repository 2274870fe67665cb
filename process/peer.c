#include "process/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc.h>
#include <rpc/rpc_com.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"
#include "process/peer_auth.h"
#include "process/rng.h"
#include "process/socket_option.h"

/** Descriptors that the server thread polls, including `stop_fd`. */
#define PEER_POLL_MAX 1024
#define PEER_LISTEN_BACKLOG 128
/** Calls for one request: the first may lack a valid challenge, and so may the
 * second if another process of this instance has just called. */
#define CALLS_MAX 3

/** An idle client connection. */
typedef struct connection {
	CLIENT *client; /**< NULL for a free entry. */
	char address[PEER_ADDRESS_BYTES];
	uint16_t port;
	uint64_t last_used; /**< Value of `use_count` at its last use. */
} connection_t;

struct peer {
	peer_settings_t settings;
	pthread_mutex_t lock; /**< Guards `auth` and `handles`. */
	peer_auth_t auth;
	connection_t connections[PEER_CLIENT_CONNECTIONS_MAX];
	uint64_t use_count;
	uint16_t port;
	int stop_fd;
	SVCXPRT *transport;
	pthread_t thread;
};

/** A global, because the RPC library passes no context to dispatch(). */
static peer_t *serving_peer;

int peer_parse_address(const char *text, char address[PEER_ADDRESS_BYTES])
{
	static const unsigned char mapped[12] = { [10] = 0xff, [11] = 0xff };

	if (inet_pton(AF_INET6, text, address) == 1)
		return 0;
	memcpy(address, mapped, sizeof(mapped));
	if (inet_pton(AF_INET, text, address + sizeof(mapped)) == 1)
		return 0;
	return ERR_BAD_FIELD;
}

static struct sockaddr_in6 socket_address(const char *address, uint16_t port)
{
	struct sockaddr_in6 result = { .sin6_family = AF_INET6 };

	memcpy(&result.sin6_addr, address, PEER_ADDRESS_BYTES);
	result.sin6_port = htons(port);
	return result;
}

void peer_message_free(peer_message_t *message)
{
	xdr_free((xdrproc_t)xdr_peer_message_t, (char *)message);
	memset(message, 0, sizeof(*message));
}

/** Encodes a message as payload of an envelope; the caller frees that. */
static int encode(const peer_message_t *message, peer_envelope_t *envelope)
{
	u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_peer_message_t,
				       (void *)message);
	char *buffer;
	XDR xdr;
	bool_t done;

	if (!size)
		return ERR_INTERNAL;
	buffer = malloc(size);
	if (!buffer)
		return ERR_NO_MEMORY;
	xdrmem_create(&xdr, buffer, size, XDR_ENCODE);
	done = xdr_peer_message_t(&xdr, (peer_message_t *)message);
	xdr_destroy(&xdr);
	if (!done) {
		free(buffer);
		return ERR_INTERNAL;
	}
	envelope->payload.payload_val = buffer;
	envelope->payload.payload_len = size;
	return 0;
}

static int decode(const peer_envelope_t *envelope, peer_message_t *message)
{
	XDR xdr;
	bool_t done;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, envelope->payload.payload_val,
		      envelope->payload.payload_len, XDR_DECODE);
	done = xdr_peer_message_t(&xdr, message);
	xdr_destroy(&xdr);
	if (done)
		return 0;
	peer_message_free(message);
	return ERR_PEER_AUTH;
}

/* Server side. */

static int check_request(peer_t *peer, const peer_envelope_t *request)
{
	SCOPED_LOCK(guard, &peer->lock);

	return peer_auth_check(&peer->auth, request);
}

static void seal_answer(peer_t *peer, const peer_envelope_t *request,
			peer_envelope_t *answer)
{
	SCOPED_LOCK(guard, &peer->lock);

	peer_auth_seal_answer(&peer->auth, answer, request);
}

/* A sender whose challenge is not valid any more repeats its request. */
static void report_rejected(const peer_envelope_t *request, int err)
{
	if (err == ERR_PEER_SESSION) {
		metrics_add(METRIC_PEER_CHALLENGED, 1);
		return;
	}
	metrics_add(METRIC_PEER_REJECTED, 1);
	event_log(EVENT_PEER_REJECTED, "sender=%016llx error=%s",
		  (unsigned long long)request->sender, error_type(err));
}

static void answer_envelope(peer_t *peer, const peer_envelope_t *request,
			    peer_envelope_t *answer)
{
	peer_message_t request_message = { 0 };
	peer_message_t answer_message = { 0 };
	int err = check_request(peer, request);

	if (!err)
		err = decode(request, &request_message);
	if (!err) {
		peer->settings.handler(peer->settings.context, request->sender,
				       &request_message, &answer_message);
		peer_message_free(&request_message);
	} else {
		report_rejected(request, err);
		answer_message.kind = PEER_ERROR_ANSWER;
		answer_message.peer_message_t_u.error = err;
	}
	if (!encode(&answer_message, answer))
		seal_answer(peer, request, answer);
	metrics_add(METRIC_PEER_BYTES_RECEIVED, request->payload.payload_len);
	metrics_add(METRIC_PEER_BYTES_SENT, answer->payload.payload_len);
	peer_message_free(&answer_message);
}

static void dispatch(struct svc_req *call, SVCXPRT *transport)
{
	peer_envelope_t request = { 0 };
	peer_envelope_t answer = { 0 };

	if (call->rq_proc == NULLPROC) {
		svc_sendreply(transport, (xdrproc_t)(void (*)(void))xdr_void,
			      NULL);
		return;
	}
	if (call->rq_proc != AMV_EXCHANGE) {
		svcerr_noproc(transport);
		return;
	}
	if (!svc_getargs(transport, (xdrproc_t)xdr_peer_envelope_t, &request)) {
		svcerr_decode(transport);
		return;
	}
	answer_envelope(serving_peer, &request, &answer);
	svc_sendreply(transport, (xdrproc_t)xdr_peer_envelope_t, &answer);
	svc_freeargs(transport, (xdrproc_t)xdr_peer_envelope_t, &request);
	free(answer.payload.payload_val);
}

/**
 * Collects the descriptors of the RPC library, then `stop_fd`.
 * @return number of descriptors before `stop_fd`
 */
static nfds_t collect_descriptors(const peer_t *peer, struct pollfd *fds)
{
	nfds_t count = 0;

	for (int i = 0; i < svc_max_pollfd && count < PEER_POLL_MAX - 1; i++) {
		if (svc_pollfd[i].fd >= 0)
			fds[count++] = svc_pollfd[i];
	}
	fds[count].fd = peer->stop_fd;
	fds[count].events = POLLIN;
	return count;
}

static void *serve(void *context)
{
	peer_t *peer = context;
	struct pollfd fds[PEER_POLL_MAX];

	for (;;) {
		nfds_t count = collect_descriptors(peer, fds);
		int ready = poll(fds, count + 1, -1);

		if (ready < 0 && errno != EINTR)
			break;
		if (ready <= 0)
			continue;
		if (fds[count].revents)
			break;
		svc_getreq_poll(fds, (int)count);
	}
	return NULL;
}

static int listen_on(const peer_settings_t *settings, uint16_t *port)
{
	char address[PEER_ADDRESS_BYTES];
	struct sockaddr_in6 name;
	socklen_t len = sizeof(name);

	int fd;

	if (peer_parse_address(settings->address, address) < 0)
		return ERR_SETTING;
	name = socket_address(address, settings->port);
	fd = socket(AF_INET6, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_INTERNAL;
	socket_option_set(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	socket_option_set(fd, IPPROTO_IPV6, IPV6_V6ONLY, 0);
	if (bind(fd, (struct sockaddr *)&name, sizeof(name)) < 0 ||
	    listen(fd, PEER_LISTEN_BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&name, &len) < 0) {
		close(fd);
		return ERR_SETTING;
	}
	*port = ntohs(name.sin6_port);
	return fd;
}

static int start_server(peer_t *peer)
{
	/* A maximum also makes the library read in non-blocking mode, so that
	 * a slow sender cannot block it. */
	int record_max_bytes = PEER_PAYLOAD_MAX;
	int fd = listen_on(&peer->settings, &peer->port);

	if (fd < 0)
		return fd;
	rpc_control(RPC_SVC_CONNMAXREC_SET, &record_max_bytes);
	peer->transport = svc_vc_create(fd, 0, 0);
	if (!peer->transport) {
		close(fd);
		return ERR_INTERNAL;
	}
	serving_peer = peer;
	if (!svc_reg(peer->transport, AMV_PEER_PROGRAM, AMV_PEER_VERSION,
		     dispatch, NULL))
		return ERR_INTERNAL;
	peer->stop_fd = eventfd(0, EFD_CLOEXEC);
	if (peer->stop_fd < 0 ||
	    pthread_create(&peer->thread, NULL, serve, peer))
		return ERR_INTERNAL;
	return 0;
}

int peer_open(const peer_settings_t *settings, peer_t **peer)
{
	peer_t *created = calloc(1, sizeof(*created));
	int err;

	if (!created)
		return ERR_NO_MEMORY;
	/* The library creates its global "none" authenticator at the first use
	 * without a lock, so two threads could each create one. */
	authnone_create();
	created->settings = *settings;
	created->stop_fd = -1;
	pthread_mutex_init(&created->lock, NULL);
	peer_auth_init(&created->auth, settings->cluster, settings->secret,
		       settings->id, rng_system_seed());
	err = start_server(created);
	if (err) {
		free(created);
		return err;
	}
	*peer = created;
	return 0;
}

uint16_t peer_port(const peer_t *peer)
{
	return peer->port;
}

/** Closes the connections that the library accepted. */
static void close_server(peer_t *peer)
{
	svc_unreg(AMV_PEER_PROGRAM, AMV_PEER_VERSION);
	SVC_DESTROY(peer->transport);
	svc_exit();
	for (int i = 0; i < svc_max_pollfd; i++) {
		if (svc_pollfd[i].fd >= 0)
			shutdown(svc_pollfd[i].fd, SHUT_RDWR);
	}
}

void peer_close(peer_t *peer)
{
	const uint64_t one = 1;

	if (!peer)
		return;
	if (write(peer->stop_fd, &one, sizeof(one)) == sizeof(one))
		pthread_join(peer->thread, NULL);
	close_server(peer);
	for (size_t i = 0; i < PEER_CLIENT_CONNECTIONS_MAX; i++) {
		if (peer->connections[i].client)
			clnt_destroy(peer->connections[i].client);
	}
	close(peer->stop_fd);
	pthread_mutex_destroy(&peer->lock);
	free(peer);
}

/* Client side. */

/** Connects with a timeout. @return a descriptor or an error */
static int connect_to(const struct sockaddr_in6 *name, uint32_t timeout_ms)
{
	int fd =
		socket(AF_INET6, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd wait = { .fd = fd, .events = POLLOUT };

	int failure = 0;
	socklen_t len = sizeof(failure);

	if (fd < 0)
		return ERR_INTERNAL;
	if (connect(fd, (const struct sockaddr *)name, sizeof(*name)) < 0 &&
	    errno != EINPROGRESS)
		goto failed;
	if (poll(&wait, 1, (int)timeout_ms) != 1)
		goto failed;
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &len);
	if (failure)
		goto failed;
	socket_option_set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	/* The RPC library expects a blocking descriptor. */
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
failed:
	close(fd);
	return ERR_CONNECT;
}

static CLIENT *open_client(const char *address, uint16_t port,
			   uint32_t timeout_ms)
{
	struct sockaddr_in6 name = socket_address(address, port);
	struct netbuf buffer = { .maxlen = sizeof(name),
				 .len = sizeof(name),
				 .buf = &name };
	int fd = connect_to(&name, timeout_ms);
	CLIENT *client;

	if (fd < 0)
		return NULL;
	client = clnt_vc_create(fd, &buffer, AMV_PEER_PROGRAM, AMV_PEER_VERSION,
				0, 0);
	if (!client) {
		close(fd);
		return NULL;
	}
	clnt_control(client, CLSET_FD_CLOSE, NULL);
	return client;
}

/** Takes an idle connection from the table, so that no other thread uses it. */
static CLIENT *take_idle_connection(peer_t *peer, const char *address,
				    uint16_t port)
{
	SCOPED_LOCK(guard, &peer->lock);

	for (size_t i = 0; i < PEER_CLIENT_CONNECTIONS_MAX; i++) {
		connection_t *connection = &peer->connections[i];
		CLIENT *client = connection->client;

		if (!client || connection->port != port ||
		    memcmp(connection->address, address, PEER_ADDRESS_BYTES) !=
			    0)
			continue;
		connection->client = NULL;
		return client;
	}
	return NULL;
}

/** Keeps a connection for reuse; replaces the one idle for longest. */
static void add_idle_connection(peer_t *peer, const char *address,
				uint16_t port, CLIENT *client)
{
	SCOPED_LOCK(guard, &peer->lock);
	connection_t *slot = &peer->connections[0];

	for (size_t i = 0; i < PEER_CLIENT_CONNECTIONS_MAX; i++) {
		connection_t *connection = &peer->connections[i];

		if (!connection->client) {
			slot = connection;
			break;
		}
		if (connection->last_used < slot->last_used)
			slot = connection;
	}
	if (slot->client)
		clnt_destroy(slot->client);
	slot->client = client;
	memcpy(slot->address, address, PEER_ADDRESS_BYTES);
	slot->port = port;
	slot->last_used = ++peer->use_count;
}

static int exchange(CLIENT *client, const peer_envelope_t *request,
		    peer_envelope_t *answer, uint32_t timeout_ms)
{
	struct timeval limit = { .tv_sec = timeout_ms / 1000,
				 .tv_usec = timeout_ms % 1000 * 1000L };

	switch (clnt_call(client, AMV_EXCHANGE, (xdrproc_t)xdr_peer_envelope_t,
			  (char *)request, (xdrproc_t)xdr_peer_envelope_t,
			  (char *)answer, limit)) {
	case RPC_SUCCESS:
		return 0;
	case RPC_TIMEDOUT:
		return ERR_TIMEOUT;
	default:
		return ERR_CONNECT;
	}
}

/**
 * Exchanges envelopes with a receiver. The receiver may have closed an idle
 * connection, so a failure on one is retried once on a new connection. The
 * receiver rejects a repeated sequence number, so that no request is handled
 * twice.
 */
static int send_envelope(peer_t *peer, const char *address, uint16_t port,
			 const peer_envelope_t *request,
			 peer_envelope_t *answer, uint32_t timeout_ms)
{
	CLIENT *client = take_idle_connection(peer, address, port);
	int err = ERR_CONNECT;

	if (client) {
		err = exchange(client, request, answer, timeout_ms);
		if (err)
			clnt_destroy(client);
	}
	if (err == ERR_CONNECT) {
		client = open_client(address, port, timeout_ms);
		if (!client)
			return ERR_CONNECT;
		err = exchange(client, request, answer, timeout_ms);
		if (err)
			clnt_destroy(client);
	}
	if (!err)
		add_idle_connection(peer, address, port, client);
	return err;
}

static uint64_t find_challenge(peer_t *peer, uint64_t receiver)
{
	SCOPED_LOCK(guard, &peer->lock);

	return peer_auth_challenge(&peer->auth, receiver);
}

static void seal_request(peer_t *peer, peer_envelope_t *request,
			 uint64_t receiver, uint64_t challenge)
{
	SCOPED_LOCK(guard, &peer->lock);

	peer_auth_seal(&peer->auth, request, receiver, challenge);
}

static int check_answer(peer_t *peer, const peer_envelope_t *envelope,
			uint64_t sequence, uint64_t receiver)
{
	SCOPED_LOCK(guard, &peer->lock);

	return peer_auth_check_answer(&peer->auth, envelope, sequence,
				      receiver);
}

static int open_answer(peer_t *peer, const peer_envelope_t *envelope,
		       uint64_t sequence, uint64_t receiver,
		       peer_message_t *answer)
{
	int err = check_answer(peer, envelope, sequence, receiver);

	if (!err)
		err = decode(envelope, answer);
	if (err)
		return err;
	if (answer->kind == PEER_ERROR_ANSWER) {
		err = answer->peer_message_t_u.error;
		return err < 0 ? err : ERR_INTERNAL;
	}
	return 0;
}

/** Sends a request once and opens the answer. */
static int call_once(peer_t *peer, const char *address, uint16_t port,
		     uint64_t receiver, uint64_t *challenge,
		     peer_envelope_t *request, peer_message_t *answer,
		     uint32_t timeout_ms)
{
	peer_envelope_t received = { 0 };
	int err;

	peer_message_free(answer);
	seal_request(peer, request, receiver, *challenge);
	err = send_envelope(peer, address, port, request, &received,
			    timeout_ms);
	if (!err)
		err = open_answer(peer, &received, request->sequence, receiver,
				  answer);
	*challenge = received.challenge;
	metrics_add(METRIC_PEER_CALLS, 1);
	metrics_add(METRIC_PEER_BYTES_SENT, request->payload.payload_len);
	metrics_add(METRIC_PEER_BYTES_RECEIVED, received.payload.payload_len);
	xdr_free((xdrproc_t)xdr_peer_envelope_t, (char *)&received);
	return err;
}

int peer_call(peer_t *peer, const char address[PEER_ADDRESS_BYTES],
	      uint16_t port, uint64_t receiver, const peer_message_t *request,
	      peer_message_t *answer, uint32_t timeout_ms)
{
	peer_envelope_t envelope = { 0 };
	uint64_t challenge = find_challenge(peer, receiver);
	int err = encode(request, &envelope);
	int calls = 0;

	memset(answer, 0, sizeof(*answer));
	if (err)
		return err;
	if (!timeout_ms)
		timeout_ms = peer->settings.timeout_ms;
	do {
		err = call_once(peer, address, port, receiver, &challenge,
				&envelope, answer, timeout_ms);
	} while (err == ERR_PEER_SESSION && ++calls < CALLS_MAX);
	free(envelope.payload.payload_val);
	return err;
}
