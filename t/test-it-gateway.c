/*
 * Gateways as real processes, between callers, endpoints and a store that the
 * test plays.
 */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "t/lib/harness.h"
#include "t/lib/platform_store.h"
#include "t/lib/raw_server.h"

enum {
	ENDPOINTS = 2,
	GATEWAYS_MAX = 2,
	EVENTS = 4,
};

/** How an endpoint answers requests. */
typedef enum behaviour {
	ANSWER,
	REFUSE,	   /**< Not run. */
	FAIL,	   /**< Run, with an error of its own. */
	VANISH,	   /**< Run, and the connection is reset. */
	EXTRA,	   /**< An answer to another request comes first. */
	CUT_EVENT, /**< A stream ends within its third event. */
	NO_LENGTH, /**< The answer ends with its connection. */
	HOLD,	   /**< Answers when the test says so. */
	STALL,	   /**< A stream goes silent after two events. */
} behaviour_t;

typedef struct endpoint {
	raw_server_t *server;
	char id[16];
	const char *service;
	int order;
	_Atomic int behaviour;
	_Atomic bool released;
	_Atomic uint32_t arrivals;
	_Atomic uint32_t orders;
	_Atomic uint64_t weights;
	pthread_mutex_t lock;
	char *last_head;
} endpoint_t;

typedef struct world {
	platform_store_t *store;
	endpoint_t plain[ENDPOINTS];
	endpoint_t engines[ENDPOINTS];
	program_t *gateways[GATEWAYS_MAX];
	uint16_t ports[GATEWAYS_MAX];
	uint16_t ready_ports[GATEWAYS_MAX];
	uint16_t peer_ports[GATEWAYS_MAX];
} world_t;

static void send_events(const endpoint_t *endpoint,
			const raw_request_t *request, const char *id, int after)
{
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 id);
	for (int i = after + 1; i <= EVENTS; i++) {
		char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);

		if (endpoint->behaviour == STALL && i == 3) {
			g_free(event);
			WAIT_UNTIL(endpoint->released, HARNESS_WAIT_MS);
			return;
		}
		if (endpoint->behaviour == CUT_EVENT && i == 3) {
			raw_send(request, "5\r\n%.5s\r\n", event);
			g_free(event);
			return;
		}
		raw_send(request, "%zx\r\n%s\r\n", strlen(event), event);
		g_free(event);
	}
	raw_send(request, "0\r\n\r\n");
}

static void send_answer(const raw_request_t *request, const char *id,
			int status, const char *more, const char *body)
{
	raw_send(request,
		 "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %zu\r\n"
		 "Keep-Alive: timeout=30\r\n\r\n%s",
		 status, id, more, strlen(body), body);
}

static raw_next_t answer_request(endpoint_t *endpoint,
				 const raw_request_t *request)
{
	CLEANUP_FREE char *id = raw_header(request->head, "Request-Id");
	CLEANUP_FREE char *last = raw_header(request->head, "Last-Event-Id");
	bool stream = strstr(request->head, "/stream/") != NULL;

	switch ((behaviour_t)endpoint->behaviour) {
	case REFUSE:
		send_answer(request, id, 503, "Not-Executed: 1\r\n", "");
		return RAW_KEEP;
	case FAIL:
		send_answer(request, id, 500, "Response-Stamp: s\r\n", "bad");
		return RAW_KEEP;
	case VANISH:
		return RAW_RESET;
	case EXTRA:
		send_answer(request, "of-another", 200, "Response-Stamp: s\r\n",
			    "not yours");
		break;
	case NO_LENGTH:
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			 "Response-Stamp: s\r\n\r\nwhole",
			 id);
		return RAW_CLOSE;
	case HOLD:
		WAIT_UNTIL(endpoint->released, HARNESS_WAIT_MS);
		break;
	case CUT_EVENT:
	case STALL:
	case ANSWER:
		break;
	}
	if (stream) {
		send_events(endpoint, request, id, last ? atoi(last) : 0);
		return endpoint->behaviour == CUT_EVENT ? RAW_CLOSE : RAW_KEEP;
	}
	send_answer(request, id, 200, "Response-Stamp: s\r\n", endpoint->id);
	return RAW_KEEP;
}

static raw_next_t answer_duty(endpoint_t *endpoint,
			      const raw_request_t *request)
{
	char *body;

	if (g_str_has_prefix(request->head, "POST")) {
		CLEANUP_JSON json_t *order = json_loads(request->body, 0, NULL);

		endpoint->orders++;
		endpoint->weights = (uint64_t)json_integer_value(
			json_object_get(order, "version"));
		send_answer(request, "", 202, "", "{}");
		return RAW_KEEP;
	}
	body = g_strdup_printf("{\"busy\":false,\"seq\":%u,\"models\":[{"
			       "\"name\":\"m\",\"version\":%llu}]}",
			       endpoint->orders,
			       (unsigned long long)endpoint->weights);
	send_answer(request, "", 200, "", body);
	g_free(body);
	return RAW_KEEP;
}

static raw_next_t answer_endpoint(void *context, const raw_request_t *request)
{
	endpoint_t *endpoint = context;

	if (strstr(request->head, " /v1/"))
		return answer_duty(endpoint, request);
	pthread_mutex_lock(&endpoint->lock);
	g_free(endpoint->last_head);
	endpoint->last_head = g_strdup(request->head);
	pthread_mutex_unlock(&endpoint->lock);
	endpoint->arrivals++;
	return answer_request(endpoint, request);
}

static void put_entry(world_t *world, endpoint_t *endpoint, const char *state)
{
	char address[32];
	json_t *models =
		strcmp(endpoint->service, "llm")
			? json_array()
			: json_pack("[{s:s,s:I}]", "name", "m", "version",
				    (json_int_t)endpoint->weights);

	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   raw_server_port(endpoint->server));
	platform_store_put(world->store, "servers", endpoint->id,
			   json_pack("{s:s,s:s,s:s,s:i,s:s,s:o,s:I}", "service",
				     endpoint->service, "addr", address, "zone",
				     "z", "slots", 8, "state", state, "models",
				     models, "born",
				     (json_int_t)1000 + endpoint->order));
}

static void start_endpoint(world_t *world, endpoint_t *endpoint,
			   const char *service, int order)
{
	memset(endpoint, 0, sizeof(*endpoint));
	g_snprintf(endpoint->id, sizeof(endpoint->id), "%s-%d", service, order);
	endpoint->service = service;
	endpoint->order = order;
	endpoint->weights = 1;
	pthread_mutex_init(&endpoint->lock, NULL);
	endpoint->server = raw_server_start(answer_endpoint, endpoint);
	put_entry(world, endpoint, "ready");
}

static json_t *route(const char *name, const char *kind, const char *service,
		     bool resumable)
{
	char *prefix = g_strdup_printf("/%s/", name);
	json_t *made = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b}", "name", name,
		"host", "h.example", "path_prefix", prefix, "kind", kind,
		"timeout_ms", 3000, "target_latency_ms", 150, "priority", 1,
		"service", service, "max_attempts", 2, "anonymous", 0,
		"resumable", resumable);

	g_free(prefix);
	return made;
}

static void put_desired(world_t *world, int version, const char *key)
{
	json_t *routes = json_pack(
		"[o,o,o,o]", route("get", "idempotent", "desk", false),
		route("order", "non_idempotent", "desk", false),
		route("stream/again", "stream", "llm", true),
		route("stream/once", "stream", "llm", false));
	json_t *services = json_pack(
		"[{s:s,s:s,s:i},{s:s,s:s,s:i,s:{s:i,s:i,s:i,s:f}}]", "name",
		"desk", "health_path", "/healthz", "max_conns", 100, "name",
		"llm", "health_path", "/healthz", "max_conns", 100, "engine",
		"slots", 8, "kv_capacity", 90000, "kv_token_bytes", 1000,
		"link_mbps", 1000.0);

	platform_store_put(
		world->store, "config", "main",
		json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i},s:[{s:s,s:[s]}]}",
			  "version", version, "routes", routes, "services",
			  services, "limits", "max_header_bytes", 16384,
			  "max_body_bytes", 65536, "header_timeout_ms", 1000,
			  "idle_timeout_ms", 5000, "tenants", "name", "cust",
			  "api_keys", key));
}

static void name_weights(world_t *world, int version)
{
	platform_store_put(
		world->store, "versions", "m",
		json_pack("{s:s,s:i}", "model", "m", "version", version));
}

static bool is_ready(world_t *world, int gateway)
{
	char *answer = raw_call(world->ready_ports[gateway],
				"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
				"Connection: close\r\n\r\n");
	bool ready = g_str_has_prefix(answer, "HTTP/1.1 200");

	g_free(answer);
	return ready;
}

static void start_gateway(world_t *world, int at)
{
	/* Instances have one port and an address each; on loopback the address
	 * tells them apart. */
	char *listen;
	char *ready;
	char *store;
	char *peer_ip = g_strdup_printf("127.0.0.%d", at + 2);
	char *peer_port = g_strdup_printf("%u", world->peer_ports[0]);
	char *name = g_strdup_printf("gw-%d", at);

	world->ports[at] = harness_free_port();
	world->ready_ports[at] = harness_free_port();
	listen = g_strdup_printf("127.0.0.1:%u", world->ports[at]);
	ready = g_strdup_printf("127.0.0.1:%u", world->ready_ports[at]);
	store = g_strdup_printf("127.0.0.1:%u",
				platform_store_port(world->store));
	world->gateways[at] = program_start(
		"amaranthvale-gateway", "--listen", listen, "--ready-listen",
		ready, "--store", store, "--peer-ip", peer_ip, "--peer-port",
		peer_port, "--name", name, "--grace-s", "6", "--lease-ms",
		"1000", NULL);
	g_assert_true(WAIT_UNTIL(is_ready(world, at), HARNESS_WAIT_MS));
	g_free(listen);
	g_free(ready);
	g_free(store);
	g_free(peer_ip);
	g_free(peer_port);
	g_free(name);
}

static void world_start(world_t *world, int gateways)
{
	memset(world, 0, sizeof(*world));
	world->store = platform_store_start();
	world->peer_ports[0] = harness_free_port();
	put_desired(world, 1, "key-1");
	name_weights(world, 1);
	for (int i = 0; i < ENDPOINTS; i++) {
		start_endpoint(world, &world->plain[i], "desk", i);
		start_endpoint(world, &world->engines[i], "llm", i);
	}
	for (int i = 0; i < gateways; i++)
		start_gateway(world, i);
}

static void stop_endpoint(endpoint_t *endpoint)
{
	endpoint->released = true;
	raw_server_stop(endpoint->server);
	pthread_mutex_destroy(&endpoint->lock);
	g_free(endpoint->last_head);
}

static void world_stop(world_t *world)
{
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (!world->gateways[i])
			continue;
		program_signal(world->gateways[i], SIGKILL);
		program_free(world->gateways[i]);
	}
	for (int i = 0; i < ENDPOINTS; i++) {
		stop_endpoint(&world->plain[i]);
		stop_endpoint(&world->engines[i]);
	}
	platform_store_stop(world->store);
}

static char *ask(const world_t *world, int gateway, const char *method,
		 const char *path, const char *more)
{
	char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"
		"Key: key-1\r\nDeadline-Ms: 2500\r\nConnection: close\r\n"
		"%s\r\n",
		method, path, more);
	char *answer = raw_call(world->ports[gateway], request);

	g_free(request);
	return answer;
}

#define MODEL "Model: m\r\nToken-Usage: 100,4\r\nPrompt-Prefix: a:50,b:50\r\n"

static uint32_t arrivals(const endpoint_t *endpoints)
{
	return endpoints[0].arrivals + endpoints[1].arrivals;
}

static void behave(endpoint_t *endpoints, behaviour_t behaviour)
{
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i].behaviour = behaviour;
}

static const endpoint_t *used(const endpoint_t *endpoints)
{
	return endpoints[0].arrivals ? &endpoints[0] : &endpoints[1];
}

static void assert_header(const endpoint_t *endpoint, const char *name,
			  const char *value)
{
	CLEANUP_FREE char *found = raw_header(endpoint->last_head, name);

	g_assert_cmpstr(found, ==, value);
}

/* Failure: a header of the caller's was believed, or the key passed on. */
static void test_headers(void)
{
	world_t world;
	const endpoint_t *endpoint;
	char *answer;

	world_start(&world, 1);
	answer = ask(&world, 0, "GET", "/get/1",
		     "Tenant: other\r\nHold: x\r\nCache-Salt: y\r\n"
		     "X-Own: kept\r\n");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_nonnull(strstr(answer, "Response-Stamp: s"));
	endpoint = used(world.plain);
	assert_header(endpoint, "Tenant", "cust");
	assert_header(endpoint, "Key", NULL);
	assert_header(endpoint, "Hold", NULL);
	assert_header(endpoint, "Cache-Salt", NULL);
	assert_header(endpoint, "X-Own", "kept");
	assert_header(endpoint, "Expect-Instance", endpoint->id);
	g_free(answer);
	world_stop(&world);
}

typedef struct answer_case {
	const char *name; /**< The failure it guards against. */
	const char *method;
	const char *path;
	behaviour_t first;
	behaviour_t second;
	const char *status;
	uint32_t arrivals;
} answer_case_t;

static const answer_case_t answer_cases[] = {
	{ "an order was sent again after it may have run", "POST", "/order/1",
	  VANISH, VANISH, "HTTP/1.1 502", 1 },
	{ "an order that ran was called not run", "POST", "/order/1", FAIL,
	  FAIL, "HTTP/1.1 500", 1 },
	{ "an order that did not run was given up", "POST", "/order/1", REFUSE,
	  REFUSE, "HTTP/1.1 503", 2 },
	{ "a lookup failed with its endpoint", "GET", "/get/1", VANISH, ANSWER,
	  "HTTP/1.1 200", 0 },
	{ "a lookup failed though another could serve it", "GET", "/get/1",
	  FAIL, ANSWER, "HTTP/1.1 200", 0 },
	{ "an answer without a length was dropped", "GET", "/get/1", NO_LENGTH,
	  NO_LENGTH, "HTTP/1.1 200", 1 },
	{ "a route that does not exist was served", "GET", "/none/1", ANSWER,
	  ANSWER, "HTTP/1.1 404", 0 },
};

static void test_answers(const void *data)
{
	const answer_case_t *row = data;
	world_t world;
	char *answer;

	world_start(&world, 1);
	world.plain[0].behaviour = row->first;
	world.plain[1].behaviour = row->second;
	answer = ask(&world, 0, row->method, row->path, "");
	g_assert_true(g_str_has_prefix(answer, row->status));
	if (row->arrivals)
		g_assert_cmpuint(arrivals(world.plain), ==, row->arrivals);
	if (strstr(row->status, "503"))
		g_assert_nonnull(strstr(answer, "Retry-After: 0."));
	g_free(answer);
	world_stop(&world);
}

/* Failure: a caller got the answer to another request, which arrived late on a
 * kept connection. */
static void test_extra_answer(void)
{
	world_t world;
	char *answer;

	world_start(&world, 1);
	behave(world.plain, EXTRA);
	answer = ask(&world, 0, "POST", "/order/1", "");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_null(strstr(answer, "not yours"));
	g_assert_nonnull(strstr(answer, "desk-"));
	g_free(answer);
	world_stop(&world);
}

static void assert_events(const char *answer)
{
	const char *at = answer;

	for (int i = 1; i <= EVENTS; i++) {
		char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);

		at = strstr(at, event);
		g_assert_nonnull(at);
		at += strlen(event);
		g_assert_null(strstr(at, event));
		g_free(event);
	}
}

/* Failure: a stream that broke off in an event lost or repeated a piece. */
static void test_stream_goes_on(void)
{
	world_t world;
	char *answer;

	world_start(&world, 1);
	/* Whichever is first breaks off; the other one goes on. */
	world.engines[0].behaviour = CUT_EVENT;
	for (int i = 0; i < 6; i++) {
		answer = ask(&world, 0, "POST", "/stream/again/1", MODEL);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		assert_events(answer);
		g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
		g_free(answer);
		world.engines[0].behaviour =
			world.engines[0].behaviour == CUT_EVENT ? ANSWER
								: CUT_EVENT;
		world.engines[1].behaviour =
			world.engines[0].behaviour == CUT_EVENT ? ANSWER
								: CUT_EVENT;
	}
	g_assert_cmpuint(arrivals(world.engines), >, 6);
	world_stop(&world);
}

/* Failure: the rest of an answer was lost while its connection stayed open, and
 * the caller waited until its patience ended. */
static void test_stream_stalls(void)
{
	world_t world;
	char *answer;

	world_start(&world, 1);
	behave(world.engines, STALL);
	world.engines[1].behaviour = ANSWER;
	for (int i = 0; i < 2; i++) {
		answer = ask(&world, 0, "POST", "/stream/again/1", MODEL);
		assert_events(answer);
		g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
		g_free(answer);
		world.engines[0].behaviour = ANSWER;
		world.engines[1].behaviour = STALL;
	}
	g_assert_cmpuint(arrivals(world.engines), >=, 3);
	world_stop(&world);
}

/* Failure: a stream that may not be repeated was, or its cut end looked like
 * the end of the answer. */
static void test_stream_once(void)
{
	world_t world;
	char *answer;

	world_start(&world, 1);
	behave(world.engines, CUT_EVENT);
	answer = ask(&world, 0, "POST", "/stream/once/1", MODEL);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_false(g_str_has_suffix(answer, "0\r\n\r\n"));
	g_assert_cmpuint(arrivals(world.engines), ==, 1);
	g_free(answer);
	world_stop(&world);
}

/* Failure: an outage of the store stopped requests, or a change made during
 * it was never seen. */
static void test_store_outage(void)
{
	world_t world;
	char *answer;

	world_start(&world, 1);
	platform_store_set_down(world.store, true);
	answer = ask(&world, 0, "GET", "/get/1", "");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_free(answer);
	put_desired(&world, 2, "key-2");
	platform_store_set_down(world.store, false);
	g_assert_true(WAIT_UNTIL(
		({
			char *text = ask(&world, 0, "GET", "/get/1", "");
			bool out = g_str_has_prefix(text, "HTTP/1.1 401");

			g_free(text);
			out;
		}),
		HARNESS_WAIT_MS));
	world_stop(&world);
}

/* Whether the first endpoint gets none of ten requests. */
static bool gets_no_work(world_t *world)
{
	uint32_t before = world->plain[0].arrivals;

	for (int i = 0; i < 10; i++)
		g_free(ask(world, 0, "GET", "/get/1", ""));
	return world->plain[0].arrivals == before;
}

/* Failure: an endpoint that is leaving got work after the bound of 2 s. */
static void test_leaving(void)
{
	world_t world;

	world_start(&world, 1);
	put_entry(&world, &world.plain[0], "draining");
	g_assert_true(WAIT_UNTIL(gets_no_work(&world), 2000));
	g_assert_true(gets_no_work(&world));
	world_stop(&world);
}

/* Failure: engines stayed on old weights, or got two orders from two
 * instances; requests asked for the old weights. */
static void test_new_weights(void)
{
	world_t world;
	char *answer;

	world_start(&world, 2);
	name_weights(&world, 2);
	for (int i = 0; i < ENDPOINTS; i++)
		g_assert_true(WAIT_UNTIL(world.engines[i].weights == 2,
					 HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(({
					 char *text =
						 ask(&world, 1, "POST",
						     "/stream/once/1", MODEL);

					 g_free(text);
					 strstr(used(world.engines)->last_head,
						"Expect-Version: 2") != NULL;
				 }),
				 HARNESS_WAIT_MS));
	for (int i = 0; i < ENDPOINTS; i++)
		g_assert_cmpuint(world.engines[i].orders, ==, 1);
	answer = ask(&world, 0, "POST", "/stream/again/1", MODEL);
	assert_events(answer);
	g_free(answer);
	world_stop(&world);
}

typedef struct held_call {
	const world_t *world;
	char *answer;
} held_call_t;

static void *held_main(void *context)
{
	held_call_t *call = context;

	call->answer = ask(call->world, 0, "POST", "/order/1", "");
	return NULL;
}

/* Failure: a planned stop cut a request in progress. */
static void test_stop(void)
{
	world_t world;
	held_call_t call = { &world, NULL };
	pthread_t thread;

	world_start(&world, 1);
	behave(world.plain, HOLD);
	pthread_create(&thread, NULL, held_main, &call);
	g_assert_true(WAIT_UNTIL(arrivals(world.plain) == 1, HARNESS_WAIT_MS));
	program_signal(world.gateways[0], SIGTERM);
	g_assert_true(WAIT_UNTIL(!is_ready(&world, 0), HARNESS_WAIT_MS));
	world.plain[0].released = true;
	world.plain[1].released = true;
	pthread_join(thread, NULL);
	g_assert_true(g_str_has_prefix(call.answer, "HTTP/1.1 200"));
	g_assert_cmpint(program_wait(world.gateways[0], HARNESS_WAIT_MS), ==,
			0);
	g_free(call.answer);
	world_stop(&world);
}

/* Failure: a caller that sent half a request, or nonsense, held or ended the
 * process. */
static void test_bad_callers(void)
{
	static const char *const bad[] = {
		"GET /get/1 HTTP/1.1\r\nHost: h.example\r\n",
		"POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
		"\x16\x03\x01\x02\x00\x01",
		"GET /get/1 HTTP/1.1\r\n\r\n",
	};
	world_t world;
	char *answer;

	world_start(&world, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		answer = raw_call(world.ports[0], bad[i]);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 4") ||
			      !*answer);
		g_free(answer);
	}
	answer = ask(&world, 0, "GET", "/get/1", "");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_cmpuint(arrivals(world.plain), ==, 1);
	g_free(answer);
	world_stop(&world);
}

typedef struct story_case {
	const char *name;
	const char *path;
	behaviour_t behaviour;
	const char *status;
	const char *lines[3]; /**< In this order, each with the id. */
} story_case_t;

/* The three stories of docs/OPERATIONS.md. Failure: a log that does not lead
 * from a request's id to its cause. */
static const story_case_t stories[] = {
	{ "order-refused",
	  "/order/1",
	  REFUSE,
	  "HTTP/1.1 503",
	  { "name=request_attempt_failed id=r-1 endpoint=desk-",
	    "why=not_run status=503", "outcome=overloaded status=503" } },
	{ "order-unknown",
	  "/order/1",
	  VANISH,
	  "HTTP/1.1 502",
	  { "name=request_placed id=r-1 endpoint=desk-", "why=lost",
	    "outcome=endpoint_lost status=502" } },
	{ "stream-broken",
	  "/stream/once/1",
	  CUT_EVENT,
	  "HTTP/1.1 200",
	  { "name=request_placed id=r-1 endpoint=llm-", "last_event=2",
	    "outcome=endpoint_lost status=0" } },
};

static bool tells_story(world_t *world, const story_case_t *story)
{
	const char *at = program_output(world->gateways[0]);

	for (size_t i = 0; at && i < G_N_ELEMENTS(story->lines); i++)
		at = strstr(at, story->lines[i]);
	return at != NULL;
}

static void test_story(const void *data)
{
	const story_case_t *story = data;
	world_t world;
	char *answer;

	world_start(&world, 1);
	behave(world.plain, story->behaviour);
	behave(world.engines, story->behaviour);
	answer = ask(&world, 0, "POST", story->path, MODEL);
	g_assert_true(g_str_has_prefix(answer, story->status));
	g_assert_true(WAIT_UNTIL(tells_story(&world, story), HARNESS_WAIT_MS));
	g_free(answer);
	world_stop(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-gateway/headers", test_headers);
	g_test_add_func("/it-gateway/extra-answer", test_extra_answer);
	g_test_add_func("/it-gateway/stream-goes-on", test_stream_goes_on);
	g_test_add_func("/it-gateway/stream-stalls", test_stream_stalls);
	g_test_add_func("/it-gateway/stream-once", test_stream_once);
	g_test_add_func("/it-gateway/store-outage", test_store_outage);
	g_test_add_func("/it-gateway/leaving", test_leaving);
	g_test_add_func("/it-gateway/new-weights", test_new_weights);
	g_test_add_func("/it-gateway/stop", test_stop);
	g_test_add_func("/it-gateway/bad-callers", test_bad_callers);
	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		char *path = g_strdup_printf("/it-gateway/answers/%zu", i);

		g_test_add_data_func(path, &answer_cases[i], test_answers);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(stories); i++) {
		char *path = g_strdup_printf("/it-gateway/story/%s",
					     stories[i].name);

		g_test_add_data_func(path, &stories[i], test_story);
		g_free(path);
	}
	return g_test_run();
}
