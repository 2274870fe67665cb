/*
 * Planned stops of gateway processes, with clients, endpoints and a store that
 * the test simulates.
 */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib/platform_rig.h"

/* Failure: a planned stop aborted a request in progress. */
static void test_stop(void)
{
	platform_rig_t rig;
	platform_rig_call_t call;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.services, HOLD);
	platform_rig_start_call(&call, &rig, "POST", "/order/1", "");
	g_assert_true(WAIT_UNTIL(platform_rig_arrivals(rig.services) == 1,
				 HARNESS_WAIT_MS));
	program_signal(rig.gateways[0], SIGTERM);
	g_assert_true(
		WAIT_UNTIL(!platform_rig_is_ready(&rig, 0), HARNESS_WAIT_MS));
	rig.services[0].release = true;
	rig.services[1].release = true;
	platform_rig_join_call(&call);
	g_assert_true(g_str_has_prefix(call.answer, "HTTP/1.1 200"));
	g_assert_cmpint(program_wait(rig.gateways[0], HARNESS_WAIT_MS), ==, 0);
	g_free(call.answer);
	platform_rig_stop(&rig);
}

enum {
	/** Requests sent during a planned stop, one at each interval, until the
	 * process ends. */
	STOP_REQUESTS_MAX = 200,
	STOP_REQUEST_INTERVAL_MS = 50,
	/** Time that an endpoint takes for an answer once it is slow. */
	SLOW_ANSWER_MS = 700,
};

/** One request of many that are sent during a planned stop. */
typedef struct stop_call {
	const platform_rig_t *rig;
	int number;
	_Atomic bool reached_endpoint;
	char *answer;
	pthread_t thread;
} stop_call_t;

static void *stop_call_main(void *context)
{
	stop_call_t *call = context;
	char *request = g_strdup_printf(
		"POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: s-%d\r\nKey: key-1\r\nDeadline-Ms: 2500\r\n\r\n",
		call->number);

	call->answer = raw_call(call->rig->ports[0], request);
	g_free(request);
	return NULL;
}

static void record_stop_call(void *context, const endpoint_t *endpoint,
			     const char *id)
{
	stop_call_t *calls = context;

	(void)endpoint;
	calls[atoi(id + strlen("s-"))].reached_endpoint = true;
}

/* Failure: a request that arrived late in a planned stop was sent to an
 * endpoint and got no answer. */
static void test_stop_answers_late_request(void)
{
	static stop_call_t calls[STOP_REQUESTS_MAX];
	platform_rig_t rig;
	int refused = 0;
	int count = 0;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.services, HOLD);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig.services[i].context = calls;
		rig.services[i].on_run = record_stop_call;
	}
	program_signal(rig.gateways[0], SIGTERM);
	do {
		calls[count] = (stop_call_t){ .rig = &rig, .number = count };
		pthread_create(&calls[count].thread, NULL, stop_call_main,
			       &calls[count]);
		count++;
	} while (count < STOP_REQUESTS_MAX &&
		 !WAIT_UNTIL(!program_is_running(rig.gateways[0]),
			     STOP_REQUEST_INTERVAL_MS));
	g_assert_cmpint(program_wait(rig.gateways[0], HARNESS_WAIT_MS), ==, 0);
	rig.services[0].release = true;
	rig.services[1].release = true;
	for (int i = 0; i < count; i++) {
		pthread_join(calls[i].thread, NULL);
		if (calls[i].reached_endpoint)
			g_assert_cmpstr(calls[i].answer, !=, "");
		refused += g_str_has_prefix(calls[i].answer, "HTTP/1.1 503");
		g_free(calls[i].answer);
	}
	g_assert_cmpint(refused, >, 0);
	platform_rig_stop(&rig);
}

/* Failure: an instance acquired the lease of the weights during its planned
 * stop, and took it along until it expired. */
static void test_stop_leaves_lease(void)
{
	platform_rig_t rig;
	json_t *lease;

	platform_rig_start(&rig, 1);
	lease = platform_store_get(rig.store, "amv-leases", "weights");
	g_assert_null(lease);
	program_signal(rig.gateways[0], SIGTERM);
	g_assert_cmpint(program_wait(rig.gateways[0], 2 * HARNESS_WAIT_MS), ==,
			0);
	lease = platform_store_get(rig.store, "amv-leases", "weights");
	g_assert_null(lease);
	platform_rig_stop(&rig);
}

typedef struct half_case {
	const char *name;
	const char *request;
	const char *answer_part;
} half_case_t;

static const half_case_t half_cases[] = {
	{ "body",
	  "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"
	  "Key: key-1\r\nContent-Length: 9\r\n\r\nabc",
	  "HTTP/1.1 503" },
	{ "expect",
	  "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"
	  "Key: key-1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	  "\r\n\r\nHTTP/1.1 503" },
};

typedef struct half_call {
	uint16_t port;
	const char *request;
	char *answer;
	pthread_t thread;
} half_call_t;

static void *half_call_main(void *context)
{
	half_call_t *call = context;

	call->answer = raw_call(call->port, call->request);
	return NULL;
}

/* Failure: a planned stop closed a connection on which a request had arrived in
 * part, without telling the client that it did not run. */
static void test_stop_refuses_half_request(void)
{
	half_call_t calls[G_N_ELEMENTS(half_cases)];
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	program_signal(rig.gateways[0], SIGTERM);
	g_assert_true(
		WAIT_UNTIL(!platform_rig_is_ready(&rig, 0), HARNESS_WAIT_MS));
	for (size_t i = 0; i < G_N_ELEMENTS(half_cases); i++) {
		calls[i] = (half_call_t){ .port = rig.ports[0],
					  .request = half_cases[i].request };
		pthread_create(&calls[i].thread, NULL, half_call_main,
			       &calls[i]);
	}
	g_assert_cmpint(program_wait(rig.gateways[0], 2 * HARNESS_WAIT_MS), ==,
			0);
	for (size_t i = 0; i < G_N_ELEMENTS(half_cases); i++) {
		pthread_join(calls[i].thread, NULL);
		g_test_message("%s: %s", half_cases[i].name, calls[i].answer);
		g_assert_nonnull(
			strstr(calls[i].answer, half_cases[i].answer_part));
		g_free(calls[i].answer);
	}
	g_assert_cmpuint(platform_rig_arrivals(rig.services), ==, 0);
	platform_rig_stop(&rig);
}

typedef struct kept_kind {
	const char *name;
	const char *method;
	const char *path;
	const char *headers;
	uint32_t deadline_ms; /**< Of the requests. */
} kept_kind_t;

static const kept_kind_t kept_kinds[] = {
	{ "lookup", "GET", "/get/1", "", 1500 },
	{ "order", "POST", "/order/1", "", 1500 },
	{ "order-long", "POST", "/order/1", "", 20000 },
	{ "stream-once", "POST", "/stream/once/1", MODEL_HEADERS, 5000 },
	{ "stream-again", "POST", "/stream/again/1", MODEL_HEADERS, 5000 },
};

enum {
	KEPT_CONNECTIONS = 4, /**< Of each kind. */
	KEPT_CALLS_MAX = 400, /**< Of each connection. */
	KEPT_CLIENTS = G_N_ELEMENTS(kept_kinds) * KEPT_CONNECTIONS,
	KEPT_ANSWER_MAX_BYTES = 16384,
};

/** A client that sends one request after the other over kept connections until
 * the instance accepts none any more. */
typedef struct kept_client {
	const platform_rig_t *rig;
	const kept_kind_t *kind;
	int number;
	int calls;
	_Atomic bool reached[KEPT_CALLS_MAX]; /**< An endpoint ran it. */
	bool answered[KEPT_CALLS_MAX];
	bool called_not_run[KEPT_CALLS_MAX];
	pthread_t thread;
} kept_client_t;

static int kept_connect(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/* Reads one answer; false if the connection ended before its end. */
static bool kept_read(int fd, char answer[KEPT_ANSWER_MAX_BYTES])
{
	size_t len = 0;
	ssize_t got;

	answer[0] = '\0';
	while (!raw_is_whole(answer)) {
		got = recv(fd, answer + len, KEPT_ANSWER_MAX_BYTES - 1 - len,
			   0);
		if (got <= 0)
			return false;
		len += (size_t)got;
		answer[len] = '\0';
	}
	return true;
}

static bool kept_call(kept_client_t *client, int fd)
{
	char answer[KEPT_ANSWER_MAX_BYTES];
	int call = client->calls++;
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: k-%d-%d\r\n"
		"Key: key-1\r\nDeadline-Ms: %u\r\n%s\r\n",
		client->kind->method, client->kind->path, client->number, call,
		client->kind->deadline_ms, client->kind->headers);

	if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0 ||
	    !kept_read(fd, answer))
		return false;
	client->answered[call] = true;
	client->called_not_run[call] =
		g_str_has_prefix(answer, "HTTP/1.1 503") ||
		g_str_has_prefix(answer, "HTTP/1.1 429") ||
		g_str_has_prefix(answer, "HTTP/1.1 408");
	return !strstr(answer, "Connection: close");
}

static void *kept_main(void *context)
{
	kept_client_t *client = context;
	int fd;

	while (client->calls < KEPT_CALLS_MAX &&
	       (fd = kept_connect(client->rig->ports[0])) >= 0) {
		while (client->calls < KEPT_CALLS_MAX && kept_call(client, fd))
			WAIT_UNTIL(false, STOP_REQUEST_INTERVAL_MS);
		close(fd);
	}
	return NULL;
}

static void record_kept_call(void *context, const endpoint_t *endpoint,
			     const char *id)
{
	kept_client_t *clients = context;
	int number;
	int call;

	(void)endpoint;
	if (sscanf(id, "k-%d-%d", &number, &call) == 2)
		clients[number].reached[call] = true;
}

static uint32_t count_answered(const kept_client_t *clients)
{
	uint32_t count = 0;

	for (size_t i = 0; i < KEPT_CLIENTS; i++) {
		for (int call = 0; call < clients[i].calls; call++)
			count += clients[i].answered[call];
	}
	return count;
}

/* Failure: requests that came late in a planned stop over kept connections were
 * passed on and cut without an answer, or called "not run" although they ran.
 * The endpoints are slow from its begin on: one answers nothing any more. */
static void test_stop_kept_connections(void)
{
	static kept_client_t clients[KEPT_CLIENTS];
	platform_rig_t rig;

	memset(clients, 0, sizeof(clients));
	platform_rig_start(&rig, 1);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig.services[i].context = clients;
		rig.services[i].on_run = record_kept_call;
		rig.engines[i].context = clients;
		rig.engines[i].on_run = record_kept_call;
	}
	for (size_t i = 0; i < KEPT_CLIENTS; i++) {
		clients[i].rig = &rig;
		clients[i].kind = &kept_kinds[i / KEPT_CONNECTIONS];
		clients[i].number = (int)i;
		pthread_create(&clients[i].thread, NULL, kept_main,
			       &clients[i]);
	}
	g_assert_true(WAIT_UNTIL(count_answered(clients) >= 2 * KEPT_CLIENTS,
				 HARNESS_WAIT_MS));
	program_signal(rig.gateways[0], SIGTERM);
	rig.services[0].behaviour = HOLD;
	rig.engines[0].behaviour = HOLD;
	rig.services[1].delay_ms = SLOW_ANSWER_MS;
	rig.engines[1].delay_ms = SLOW_ANSWER_MS;
	g_assert_cmpint(program_wait(rig.gateways[0], HARNESS_WAIT_MS), ==, 0);
	platform_rig_release(rig.services);
	platform_rig_release(rig.engines);
	for (size_t i = 0; i < KEPT_CLIENTS; i++)
		pthread_join(clients[i].thread, NULL);
	platform_rig_stop(&rig);
	for (size_t i = 0; i < KEPT_CLIENTS; i++) {
		for (int call = 0; call < clients[i].calls; call++) {
			if (!clients[i].reached[call])
				continue;
			g_test_message("%s %d-%d", clients[i].kind->name,
				       clients[i].number, call);
			g_assert_true(clients[i].answered[call]);
			g_assert_false(clients[i].called_not_run[call] &&
				       strstr(clients[i].kind->name, "order"));
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-gateway/stop", test_stop);
	g_test_add_func("/it-gateway/stop-answers-late-request",
			test_stop_answers_late_request);
	g_test_add_func("/it-gateway/stop-kept-connections",
			test_stop_kept_connections);
	g_test_add_func("/it-gateway/stop-leaves-lease",
			test_stop_leaves_lease);
	g_test_add_func("/it-gateway/stop-refuses-half-request",
			test_stop_refuses_half_request);
	return g_test_run();
}
