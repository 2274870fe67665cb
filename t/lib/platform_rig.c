#include "t/lib/platform_rig.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/hash.h"
#include "process/rng.h"

enum {
	DEFAULT_BODY_MAX_BYTES = 65536,
	DEFAULT_CONNECTIONS_MAX = 100,
	DEFAULT_TIMEOUT_MS = 3000,
	STREAM_TIMEOUT_S = 10,
	/** How long a dropped order's connection stays open, ms: longer than a
	 * gateway waits for the answer. */
	ORDER_DROP_MS = 2000,
	/** Longest time that an order is on the way. */
	ORDER_DELAY_MS = 20000,
	LEASE_MS = 1000,
	/** Default of platform_rig_options_t::weights_ms. */
	WEIGHTS_MS = 8000,
};

/** So large that tests may begin with retries right after a start, when a
 * process gets a small part of it. */
#define RETRY_SLACK "100000"

static int event_count(const endpoint_t *endpoint)
{
	return endpoint->event_count ? endpoint->event_count : EVENT_COUNT;
}

static char *make_event(const endpoint_t *endpoint, int number)
{
	return g_strdup_printf("id: %d\ndata: e%d%s%s\n\n", number, number,
			       endpoint->names_itself ? " " : "",
			       endpoint->names_itself ? endpoint->id : "");
}

static void pause_before_event(const endpoint_t *endpoint, int number)
{
	if (number > 2 && endpoint->event_pause_ms)
		WAIT_UNTIL(endpoint->release, endpoint->event_pause_ms);
}

static const char *more_headers(const endpoint_t *endpoint)
{
	const char *lines = endpoint->more_headers;

	return lines ? lines : "";
}

static void send_events(const endpoint_t *endpoint, behaviour_t behaviour,
			const raw_request_t *request, const char *id, int after)
{
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n%s\r\n",
		 id, more_headers(endpoint));
	for (int i = after + 1; i <= event_count(endpoint); i++) {
		char *event = make_event(endpoint, i);

		pause_before_event(endpoint, i);
		if (behaviour == STALL && i == 3) {
			g_free(event);
			WAIT_UNTIL(endpoint->release, HARNESS_WAIT_MS);
			return;
		}
		if (behaviour == TRUNCATE_EVENT && i == 3) {
			raw_send(request, "5\r\n%.5s\r\n", event);
			g_free(event);
			return;
		}
		raw_send(request, "%zx\r\n%s\r\n", strlen(event), event);
		g_free(event);
	}
	raw_send(request, "0\r\n\r\n");
}

/* Sends a stream that has neither a length nor chunks. */
static raw_next_t send_unframed_events(const endpoint_t *endpoint,
				       behaviour_t behaviour,
				       const raw_request_t *request,
				       const char *id, int after)
{
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
		 "Content-Type: text/event-stream\r\n\r\n",
		 id);
	for (int i = after + 1; i <= event_count(endpoint); i++) {
		char *event;

		pause_before_event(endpoint, i);
		if (behaviour == UNFRAMED_CUT && i == 3) {
			raw_send(request, "id: %d\nda", i);
			return RAW_CLOSE;
		}
		if (behaviour == UNFRAMED_RESET && i == 3) {
			/* Lets the events arrive before the reset. */
			g_usleep(100000);
			return RAW_RESET;
		}
		event = make_event(endpoint, i);
		raw_send(request, "%s", event);
		g_free(event);
	}
	return RAW_CLOSE;
}

static void send_endless_answer(endpoint_t *endpoint,
				const raw_request_t *request, const char *id)
{
	const endless_answer_t *answer = endpoint->endless;
	GString *start = g_string_new(answer->start);

	g_string_replace(start, "%s", id, 0);
	endpoint->endless_open++;
	raw_send(request, "%s", start->str);
	raw_send_endless(request, answer->piece, answer->pause_ms);
	endpoint->endless_open--;
	g_string_free(start, TRUE);
}

static raw_next_t send_cut_answer(const endpoint_t *endpoint,
				  const raw_request_t *request, const char *id)
{
	GString *answer = g_string_new(endpoint->cut_answer);

	g_string_replace(answer, "%s", id, 0);
	if (answer->len > endpoint->cut_bytes)
		g_string_truncate(answer, endpoint->cut_bytes);
	raw_send(request, "%s", answer->str);
	g_string_free(answer, TRUE);
	return endpoint->cut_resets ? RAW_RESET : RAW_CLOSE;
}

static void send_answer(const raw_request_t *request, const char *id,
			int status, const char *more, const char *body)
{
	raw_send(request,
		 "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %zu\r\n"
		 "Keep-Alive: timeout=30\r\n\r\n%s",
		 status, id, more, strlen(body), body);
}

static behaviour_t next_behaviour(const endpoint_t *endpoint, bool stream)
{
	if (stream && endpoint->next_behaviour)
		return (behaviour_t)atomic_exchange(endpoint->next_behaviour,
						    ANSWER);
	return (behaviour_t)endpoint->behaviour;
}

static raw_next_t answer_request(endpoint_t *endpoint,
				 const raw_request_t *request)
{
	CLEANUP_FREE char *id = raw_header(request->head, "Request-Id");
	CLEANUP_FREE char *last = raw_header(request->head, "Last-Event-Id");
	bool stream = strstr(request->head, "/stream/") != NULL;
	/* Read once, as the test may change it at any time. */
	behaviour_t behaviour = next_behaviour(endpoint, stream);
	char *more;
	char *body;

	if (endpoint->on_run && behaviour != REFUSE)
		endpoint->on_run(endpoint->context, endpoint, id);
	if (endpoint->delay_ms)
		WAIT_UNTIL(endpoint->release, endpoint->delay_ms);
	if (behaviour == HOLD) {
		WAIT_UNTIL(endpoint->release, HARNESS_WAIT_MS);
		behaviour = (behaviour_t)endpoint->after_release;
	}
	switch (behaviour) {
	case REFUSE:
		more = g_strdup_printf("Not-Executed: 1\r\n%s",
				       more_headers(endpoint));
		send_answer(request, id, 503, more, "");
		g_free(more);
		return RAW_KEEP;
	case FAIL:
		send_answer(request, id, 500, "Response-Stamp: s\r\n", "bad");
		return RAW_KEEP;
	case RESET_CONNECTION:
		return RAW_RESET;
	case CUT:
		return send_cut_answer(endpoint, request, id);
	case WRONG_ID_FIRST:
		send_answer(request, "of-another", 200, "Response-Stamp: s\r\n",
			    "not yours");
		break;
	case EXTRA_FIRST:
		raw_send(request, "%s", endpoint->extra_bytes);
		break;
	case STALE_REFUSAL:
		send_answer(request, "of-another", 503, "Not-Executed: 1\r\n",
			    "");
		break;
	case NAMELESS_REFUSAL:
	case NAMELESS_MISDIRECTED:
		raw_send(request,
			 "HTTP/1.1 %d X\r\nNot-Executed: 1\r\n"
			 "Content-Length: 0\r\nKeep-Alive: timeout=30\r\n\r\n",
			 behaviour == NAMELESS_REFUSAL ? 503 : 421);
		break;
	case NO_LENGTH:
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			 "Response-Stamp: s\r\n\r\nwhole",
			 id);
		return RAW_CLOSE;
	case NO_LENGTH_END:
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			 "Response-Stamp: s\r\n\r\npart",
			 id);
		raw_end_answer(request);
		return RAW_RESET;
	case NO_LENGTH_RESET:
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			 "Response-Stamp: s\r\n\r\npart",
			 id);
		/* Lets the bytes arrive before the reset. */
		g_usleep(100000);
		return RAW_RESET;
	case ENDLESS:
		send_endless_answer(endpoint, request, id);
		return RAW_CLOSE;
	case UNFRAMED_STREAM:
	case UNFRAMED_CUT:
	case UNFRAMED_RESET:
		return send_unframed_events(endpoint, behaviour, request, id,
					    last ? atoi(last) : 0);
	case HOLD:
	case TRUNCATE_EVENT:
	case STALL:
	case ANSWER:
		break;
	}
	if (stream) {
		send_events(endpoint, behaviour, request, id,
			    last ? atoi(last) : 0);
		return behaviour == TRUNCATE_EVENT ? RAW_CLOSE : RAW_KEEP;
	}
	body = g_strdup_printf("%s for %s", endpoint->id, id);
	more = g_strdup_printf("Response-Stamp: s\r\n%s",
			       more_headers(endpoint));
	send_answer(request, id, 200, more, body);
	g_free(more);
	g_free(body);
	return RAW_KEEP;
}

static void put_entry(endpoint_t *endpoint, const char *id, const char *state)
{
	char address[32];
	json_t *models =
		strcmp(endpoint->service, "llm")
			? json_array()
			: json_pack("[{s:s,s:I}]", "name", "m", "version",
				    (json_int_t)endpoint->weights);
	json_t *entry;

	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   raw_server_port(endpoint->server));
	entry = json_pack("{s:s,s:s,s:s,s:i,s:s,s:o,s:i,s:I}", "service",
			  endpoint->service, "addr", address, "zone", "z",
			  "slots", 8, "state", state, "models", models, "seq",
			  ++endpoint->entries, "born",
			  (json_int_t)1000 + endpoint->number +
				  ENGINES_MAX * endpoint->crashes);
	if (endpoint->software)
		json_object_set_new(entry, "version",
				    json_string(endpoint->software));
	platform_store_put(endpoint->store, "servers", id, entry);
}

void platform_rig_put_entry(endpoint_t *endpoint, const char *state)
{
	put_entry(endpoint, endpoint->id, state);
}

void platform_rig_put_alias(endpoint_t *endpoint, const char *id)
{
	put_entry(endpoint, id, "ready");
}

static void check_order_fencing(endpoint_t *endpoint, const json_t *order)
{
	uint64_t fencing =
		(uint64_t)json_integer_value(json_object_get(order, "fence"));
	const char *holder =
		json_string_value(json_object_get(order, "holder"));

	pthread_mutex_lock(&endpoint->lock);
	if (fencing > endpoint->fencing) {
		endpoint->fencing = fencing;
		g_strlcpy(endpoint->holder, holder, sizeof(endpoint->holder));
	} else if (fencing < endpoint->fencing ||
		   strcmp(endpoint->holder, holder) != 0) {
		endpoint->fenced_orders++;
	}
	pthread_mutex_unlock(&endpoint->lock);
}

/* Whether the order was on the way for longer. */
static bool delay_order(endpoint_t *endpoint)
{
	if (!atomic_exchange(&endpoint->delays_order, false))
		return false;
	endpoint->delayed_orders++;
	WAIT_UNTIL(endpoint->order_arrives, ORDER_DELAY_MS);
	return true;
}

static raw_next_t answer_control_request(endpoint_t *endpoint,
					 const raw_request_t *request)
{
	char *body;

	if (endpoint->endless_control) {
		raw_send(request, "%s", endpoint->endless_control->start);
		raw_send_endless(request, endpoint->endless_control->piece,
				 endpoint->endless_control->pause_ms);
		endpoint->endless_control_ends++;
		return RAW_CLOSE;
	}
	if (g_str_has_prefix(request->head, "POST")) {
		CLEANUP_JSON json_t *order = json_loads(request->body, 0, NULL);

		bool delayed = delay_order(endpoint);

		if (endpoint->behaviour == EXTRA_FIRST)
			raw_send(request, "%s", endpoint->extra_bytes);
		endpoint->orders++;
		check_order_fencing(endpoint, order);
		if (delayed)
			endpoint->delayed_orders--;
		if (endpoint->drops_orders) {
			WAIT_UNTIL(endpoint->release, ORDER_DROP_MS);
			return RAW_CLOSE;
		}
		endpoint->weights = (uint64_t)json_integer_value(
			json_object_get(order, "version"));
		/* As the platform's engines do when their weights change. */
		platform_rig_put_entry(endpoint, "ready");
		send_answer(request, "", 202, "", "{}");
		return RAW_KEEP;
	}
	endpoint->reports++;
	body = g_strdup_printf("{\"busy\":false,\"seq\":%u,\"models\":[{"
			       "\"name\":\"m\",\"version\":%llu}]}",
			       endpoint->orders,
			       (unsigned long long)endpoint->weights);
	send_answer(request, "", 200, "", body);
	g_free(body);
	return RAW_KEEP;
}

/* Starts a new incarnation, which the endpoint list tells the gateways. */
static raw_next_t crash(endpoint_t *endpoint, const raw_request_t *request)
{
	CLEANUP_FREE char *id = raw_header(request->head, "Request-Id");

	endpoint->crashes++;
	platform_rig_put_entry(endpoint, "ready");
	if (!endpoint->crashes_unframed)
		return RAW_RESET;
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		 "Response-Stamp: s\r\n\r\n",
		 id);
	return RAW_CLOSE;
}

static bool expects_other_weights(const endpoint_t *endpoint,
				  const raw_request_t *request)
{
	CLEANUP_FREE char *expected =
		raw_header(request->head, "Expect-Version");

	return expected && strtoull(expected, NULL, 10) != endpoint->weights;
}

static raw_next_t answer_endpoint(void *context, const raw_request_t *request)
{
	endpoint_t *endpoint = context;

	if (strstr(request->head, " /v1/"))
		return answer_control_request(endpoint, request);
	pthread_mutex_lock(&endpoint->lock);
	g_free(endpoint->last_head);
	endpoint->last_head = g_strdup(request->head);
	pthread_mutex_unlock(&endpoint->lock);
	endpoint->arrivals++;
	if (endpoint->checks_weights &&
	    expects_other_weights(endpoint, request)) {
		CLEANUP_FREE char *id = raw_header(request->head, "Request-Id");

		send_answer(request, id, 421, "Not-Executed: 1\r\n", "");
		return RAW_KEEP;
	}
	if (endpoint->deadly_text &&
	    strstr(request->head, endpoint->deadly_text))
		return crash(endpoint, request);
	return answer_request(endpoint, request);
}

static void start_endpoint(platform_rig_t *rig, endpoint_t *endpoint,
			   const char *service, int number,
			   const char *software)
{
	memset(endpoint, 0, sizeof(*endpoint));
	g_snprintf(endpoint->id, sizeof(endpoint->id), "%s-%d", service,
		   number);
	endpoint->service = service;
	endpoint->software = software;
	endpoint->names_itself = software;
	endpoint->number = number;
	endpoint->weights = 1;
	endpoint->store = rig->store;
	pthread_mutex_init(&endpoint->lock, NULL);
	endpoint->server = raw_server_start(answer_endpoint, endpoint);
	platform_rig_put_entry(endpoint, "ready");
}

static json_t *route(const char *name, const char *kind, const char *service,
		     bool resumable)
{
	char *prefix = g_strdup_printf("/%s/", name);
	json_t *route_json = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b}", "name", name,
		"host", "h.example", "path_prefix", prefix, "kind", kind,
		"timeout_ms", DEFAULT_TIMEOUT_MS, "target_latency_ms", 150,
		"priority", 1, "service", service, "max_attempts", 2,
		"anonymous", 0, "resumable", resumable);

	g_free(prefix);
	return route_json;
}

/* Adds routes whose names and hosts do not repeat, as those of many customers.
 */
static void add_idle_routes(const platform_rig_t *rig, json_t *routes)
{
	rng_t rng;

	rng_init(&rng, 1);
	for (int i = 0; i < rig->options.idle_routes; i++) {
		char *name =
			g_strdup_printf("idle%08x", (uint32_t)rng_next(&rng));
		char *host = g_strdup_printf("h%06x.example",
					     (uint32_t)rng_next(&rng) >> 8);
		json_t *idle = route(name, "idempotent", "desk", false);

		json_object_set_new(idle, "host", json_string(host));
		json_array_append_new(routes, idle);
		g_free(name);
		g_free(host);
	}
}

static void set_in_routes(json_t *routes, const char *field, int value)
{
	size_t index;
	json_t *item;

	json_array_foreach (routes, index, item)
		json_object_set_new(item, field, json_integer(value));
}

static json_t *first_customer(const platform_rig_t *rig, const char *key)
{
	json_t *customer =
		json_pack("{s:s,s:[s]}", "name", "cust", "api_keys", key);

	if (rig->options.customer_fields) {
		CLEANUP_JSON json_t *fields =
			json_loads(rig->options.customer_fields, 0, NULL);

		g_assert_nonnull(fields);
		json_object_update(customer, fields);
	}
	return customer;
}

void platform_rig_put_desired(platform_rig_t *rig, int version, const char *key)
{
	json_t *routes = json_pack(
		"[o,o,o,o]", route("get", "idempotent", "desk", false),
		route("order", "non_idempotent", "desk", false),
		route("stream/again", "stream", "llm", true),
		route("stream/once", "stream", "llm", false));
	int connections_max = rig->options.connections_max
				      ? rig->options.connections_max
				      : DEFAULT_CONNECTIONS_MAX;
	int body_max_bytes = rig->options.body_max_bytes
				     ? rig->options.body_max_bytes
				     : DEFAULT_BODY_MAX_BYTES;
	json_t *services = json_pack(
		"[{s:s,s:s,s:i},{s:s,s:s,s:i,s:{s:i,s:i,s:i,s:f}}]", "name",
		"desk", "health_path", "/healthz", "max_conns", connections_max,
		"name", "llm", "health_path", "/healthz", "max_conns",
		connections_max, "engine", "slots", 8, "kv_capacity", 90000,
		"kv_token_bytes", 1000, "link_mbps", 1000.0);

	add_idle_routes(rig, routes);
	if (rig->options.attempts_max)
		set_in_routes(routes, "max_attempts",
			      rig->options.attempts_max);
	if (rig->options.timeout_ms)
		set_in_routes(routes, "timeout_ms", rig->options.timeout_ms);
	platform_store_put(
		rig->store, "config", "main",
		json_pack(
			"{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i},s:[o,{s:s,s:[s],s:b}]}",
			"version", version, "routes", routes, "services",
			services, "limits", "max_header_bytes", 16384,
			"max_body_bytes", body_max_bytes, "header_timeout_ms",
			1000, "idle_timeout_ms", 5000, "tenants",
			first_customer(rig, key), "name", "isolated-cust",
			"api_keys", "key-w", "isolated", 1));
}

void platform_rig_set_customer(platform_rig_t *rig, int version,
			       const char *fields)
{
	CLEANUP_FREE char *text =
		g_strdup_printf("desired_version=%d ", version);

	rig->options.customer_fields = fields;
	platform_rig_put_desired(rig, version, "key-1");
	for (int i = 0; i < GATEWAYS_MAX; i++)
		g_assert_true(
			!rig->gateways[i] ||
			WAIT_UNTIL(
				strstr(program_output(rig->gateways[i]), text),
				HARNESS_WAIT_MS));
}

int platform_rig_owner(int gateways)
{
	uint64_t customer = hash_string("cust");
	uint64_t best = 0;
	int owner = 0;

	for (int i = 0; i < gateways; i++) {
		CLEANUP_FREE char *name = g_strdup_printf("gw-%d", i);
		uint64_t rank = hash_rendezvous(customer, hash_string(name));

		if (rank > best) {
			best = rank;
			owner = i;
		}
	}
	return owner;
}

int64_t platform_rig_metric(const platform_rig_t *rig, int gateway,
			    const char *metric)
{
	CLEANUP_FREE char *url =
		g_strdup_printf("http://127.0.0.%d:%u/metrics", gateway + 2,
				rig->metrics_ports[gateway]);
	CLEANUP_FREE char *line = g_strdup_printf("\n%s ", metric);
	g_autoptr(http_answer_t) answer = http_call("GET", url, NULL, NULL);
	const char *at = answer->body ? strstr(answer->body, line) : NULL;

	return at ? g_ascii_strtoll(at + strlen(line), NULL, 10) : -1;
}

bool platform_rig_have_weights(const platform_rig_t *rig, uint64_t version)
{
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		if (rig->engines[i].weights != version)
			return false;
	}
	return true;
}

void platform_rig_put_target_weights(platform_rig_t *rig, int version)
{
	platform_store_put(
		rig->store, "versions", "m",
		json_pack("{s:s,s:i}", "model", "m", "version", version));
}

bool platform_rig_is_ready(platform_rig_t *rig, int gateway)
{
	char *answer = raw_call(rig->ready_ports[gateway],
				"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
				"Connection: close\r\n\r\n");
	bool ready = g_str_has_prefix(answer, "HTTP/1.1 200");

	g_free(answer);
	return ready;
}

static const char *gateway_program(const platform_rig_t *rig, int index)
{
	if (rig->programs[index])
		return rig->programs[index];
	if (rig->detour_files[index])
		return "detoured-gateway";
	return rig->clocks[index] ? "shifted-gateway" : "amaranthvale-gateway";
}

void platform_rig_start_gateway(platform_rig_t *rig, int index)
{
	/* Peers share one port and differ by address; use a loopback address
	 * for each gateway. */
	char *listen;
	char *ready;
	char *store;
	char *peer_ip = g_strdup_printf("127.0.0.%d", index + 2);
	char *peer_port = g_strdup_printf("%u", rig->peer_ports[0]);
	char *forward_port = g_strdup_printf("%u", rig->forward_port);
	char *name = g_strdup_printf("gw-%d", index);
	char *weights_ms = g_strdup_printf("%u", rig->options.weights_ms);
	char *lease_ms = g_strdup_printf("%u", rig->options.lease_ms);
	char *metrics_port;

	if (!rig->ports[index]) {
		rig->ports[index] = harness_free_port();
		rig->ready_ports[index] = harness_free_port();
		if (rig->options.metrics)
			rig->metrics_ports[index] = harness_free_port();
	}
	metrics_port = g_strdup_printf("%u", rig->metrics_ports[index]);
	listen = g_strdup_printf("127.0.0.1:%u", rig->ports[index]);
	ready = g_strdup_printf("127.0.0.1:%u", rig->ready_ports[index]);
	store = g_strdup_printf("127.0.0.1:%u",
				rig->store_ports[index]
					? rig->store_ports[index]
					: platform_store_port(rig->store));
	if (rig->options.own_clocks && !rig->clocks[index])
		rig->clocks[index] = clock_shift_new();
	if (rig->clocks[index])
		clock_shift_use(rig->clocks[index]);
	if (rig->detour_files[index])
		g_setenv("DETOUR_FILE", rig->detour_files[index], TRUE);
	/* The last release ends at once if it is given settings that it does
	 * not know. */
	rig->gateways[index] = program_start(
		gateway_program(rig, index), "--listen", listen,
		"--ready-listen", ready, "--store", store, "--peer-ip", peer_ip,
		"--peer-port", peer_port, "--forward-port", forward_port,
		"--name", name, "--grace-s", "6", "--lease-ms", lease_ms,
		"--weights-ms", weights_ms, "--retry-slack", RETRY_SLACK,
		"--metrics-port", metrics_port, NULL);
	g_free(metrics_port);
	g_free(weights_ms);
	g_free(lease_ms);
	g_free(listen);
	g_free(ready);
	g_free(store);
	g_free(peer_ip);
	g_free(peer_port);
	g_free(forward_port);
	g_free(name);
}

void platform_rig_kill_gateways(platform_rig_t *rig)
{
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (rig->gateways[i])
			program_signal(rig->gateways[i], SIGKILL);
	}
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (rig->gateways[i])
			program_free(rig->gateways[i]);
		rig->gateways[i] = NULL;
	}
}

void platform_rig_start(platform_rig_t *rig, int gateways)
{
	platform_rig_start_with(rig, gateways, &(platform_rig_options_t){ 0 });
}

void platform_rig_start_with(platform_rig_t *rig, int gateways,
			     const platform_rig_options_t *options)
{
	memset(rig, 0, sizeof(*rig));
	rig->options = *options;
	if (!rig->options.weights_ms)
		rig->options.weights_ms = WEIGHTS_MS;
	if (!rig->options.lease_ms)
		rig->options.lease_ms = LEASE_MS;
	if (!rig->options.engines)
		rig->options.engines = ENDPOINT_COUNT;
	rig->store = platform_store_start();
	rig->peer_ports[0] = harness_free_port();
	rig->forward_port =
		rig->options.no_forwarding ? 0 : harness_free_port();
	platform_rig_put_desired(rig, 1, "key-1");
	platform_rig_put_target_weights(rig, 1);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		start_endpoint(rig, &rig->services[i], "desk", i, NULL);
	for (int i = 0; i < rig->options.engines; i++)
		start_endpoint(rig, &rig->engines[i], "llm", i,
			       options->engine_software
				       ? options->engine_software[i]
				       : NULL);
	for (int i = 0; i < gateways; i++)
		platform_rig_start_gateway(rig, i);
	for (int i = 0; i < gateways; i++)
		g_assert_true(WAIT_UNTIL(platform_rig_is_ready(rig, i),
					 HARNESS_WAIT_MS));
}

static void stop_endpoint(endpoint_t *endpoint)
{
	endpoint->release = true;
	raw_server_stop(endpoint->server);
	pthread_mutex_destroy(&endpoint->lock);
	g_free(endpoint->last_head);
}

void platform_rig_stop(platform_rig_t *rig)
{
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (!rig->gateways[i])
			continue;
		program_signal(rig->gateways[i], SIGKILL);
		program_free(rig->gateways[i]);
		clock_shift_free(rig->clocks[i]);
	}
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		stop_endpoint(&rig->services[i]);
	for (int i = 0; i < rig->options.engines; i++)
		stop_endpoint(&rig->engines[i]);
	platform_store_stop(rig->store);
}

char *platform_rig_request(const platform_rig_t *rig, int gateway,
			   const char *method, const char *path,
			   const char *more)
{
	char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"
		"Key: key-1\r\nDeadline-Ms: 2500\r\nConnection: close\r\n"
		"%s\r\n",
		method, path, more);
	char *answer = raw_call(rig->ports[gateway], request);

	g_free(request);
	return answer;
}

void platform_rig_open_stream(platform_rig_stream_t *stream,
			      const platform_rig_t *rig, int gateway,
			      const char *request)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(rig->ports[gateway]),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = STREAM_TIMEOUT_S };

	stream->answer = g_string_new(NULL);
	stream->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(stream->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!connect(stream->fd, (struct sockaddr *)&address, sizeof(address)))
		(void)send(stream->fd, request, strlen(request), MSG_NOSIGNAL);
}

static bool has_event(const char *answer, int number)
{
	CLEANUP_FREE char *start = g_strdup_printf("id: %d\n", number);
	const char *event = strstr(answer, start);

	return event && strstr(event, "\n\n");
}

bool platform_rig_read_event(platform_rig_stream_t *stream, int number)
{
	char bytes[4096];
	ssize_t len;

	while (!has_event(stream->answer->str, number)) {
		len = recv(stream->fd, bytes, sizeof(bytes), 0);
		if (len <= 0)
			return false;
		g_string_append_len(stream->answer, bytes, len);
	}
	return true;
}

void platform_rig_close_stream(platform_rig_stream_t *stream)
{
	close(stream->fd);
	g_string_free(stream->answer, TRUE);
}

static void *call_main(void *context)
{
	platform_rig_call_t *call = context;

	call->answer = platform_rig_request(call->rig, 0, call->method,
					    call->path, call->headers);
	call->done = true;
	return NULL;
}

void platform_rig_start_call(platform_rig_call_t *call,
			     const platform_rig_t *rig, const char *method,
			     const char *path, const char *headers)
{
	*call = (platform_rig_call_t){
		.rig = rig, .method = method, .path = path, .headers = headers
	};
	pthread_create(&call->thread, NULL, call_main, call);
}

void platform_rig_join_call(platform_rig_call_t *call)
{
	pthread_join(call->thread, NULL);
}

bool platform_rig_has_status(const platform_rig_t *rig, int gateway,
			     const char *status)
{
	char *answer = platform_rig_request(rig, gateway, "GET", "/get/1", "");
	char *line = g_strdup_printf("HTTP/1.1 %s", status);
	bool has = g_str_has_prefix(answer, line);

	g_free(line);
	g_free(answer);
	return has;
}

int platform_rig_lease_holder(const platform_rig_t *rig)
{
	CLEANUP_JSON json_t *record =
		platform_store_get(rig->store, "amv-leases", "weights");
	const char *holder =
		json_string_value(json_object_get(record, "holder"));

	return holder && g_str_has_prefix(holder, "gw-") ? atoi(holder + 3)
							 : -1;
}

void platform_rig_release(endpoint_t *endpoints)
{
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		endpoints[i].release = true;
}

uint32_t platform_rig_arrivals(const endpoint_t *endpoints)
{
	return endpoints[0].arrivals + endpoints[1].arrivals;
}

void platform_rig_set_headers(endpoint_t *endpoints, const char *lines)
{
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		endpoints[i].more_headers = lines;
}

void platform_rig_set_behaviour(endpoint_t *endpoints, behaviour_t behaviour)
{
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		endpoints[i].behaviour = behaviour;
}

const endpoint_t *platform_rig_used_endpoint(const endpoint_t *endpoints)
{
	return endpoints[0].arrivals ? &endpoints[0] : &endpoints[1];
}

void platform_rig_assert_events(const char *answer)
{
	const char *at = answer;

	for (int i = 1; i <= EVENT_COUNT; i++) {
		g_autofree char *event =
			g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);

		at = strstr(at, event);
		g_assert_nonnull(at);
		if (!at) /* The test goes on after failed assertions. */
			return;
		at += strlen(event);
		g_assert_null(strstr(at, event));
	}
}
