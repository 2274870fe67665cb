/*
 * Soak test of gateways as real processes with fault injection. Random faults,
 * which may overlap, are injected while clients send requests. The test checks
 * what clients and endpoints see, and that the gateways recover after the last
 * fault.
 *
 * SOAK_SEEDS=N runs N new seeds, SOAK_SEED=S repeats one. By default the table
 * `seeds` runs, with every seed that has failed before.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/rng.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 3,
	CLIENTS = 4,
	FAULT_COUNT = 14,
	/** After one in this many faults the store is restored. */
	RESTORE_INTERVAL_FAULTS = 6,
	/** After one in this many faults, answers of a service get other
	 * headers, and the next configuration another number of idle routes. */
	ANSWER_INTERVAL_FAULTS = 4,
	/** After one in this many faults the time of day of a gateway jumps. */
	CLOCK_INTERVAL_FAULTS = 2,
	IDLE_ROUTES_MAX = 1000,
	/** Most changes of the store that a restore loses. */
	LOST_CHANGES_MAX = 60,
	/** Random time between two faults. */
	FAULT_INTERVAL_MIN_MS = 80,
	FAULT_INTERVAL_SPREAD_MS = 400,
	/** Time limit for recovery after the last fault: the platform allows
	 * 12 s for a restart of all instances. */
	RECOVERY_MS = 12000,
	/** Consecutive requests that must succeed at a recovered gateway. */
	RECOVERY_REQUESTS = 12,
	/** Part of a gateway's log that is printed with a failure. */
	LOG_TAIL_BYTES = 4000,
};

/** A kind of request, and what is allowed for it. */
typedef struct request_kind {
	const char *method;
	const char *path;
	bool once; /**< Must run at most once. */
	bool stream;
} request_kind_t;

static const request_kind_t kinds[] = {
	{ "GET", "/get/1", false, false },
	{ "POST", "/order/1", true, false },
	{ "POST", "/stream/again/1", false, true },
	{ "POST", "/stream/once/1", true, true },
};

/** A request that was sent, with what client and endpoints saw of it. */
typedef struct request_entry {
	const request_kind_t *kind;
	uint32_t runs;
	char ran_at[16]; /**< Endpoint of the last run. */
	bool refused;	 /**< The answer said that it was not run. */
} request_entry_t;

typedef struct soak {
	platform_rig_t rig;
	uint64_t seed;
	rng_t rng;
	/** Of its own, so that a seed's other faults remain the same. */
	rng_t restore_rng;
	rng_t answer_rng;	 /**< Likewise, for headers and idle routes. */
	rng_t clock_rng;	 /**< Likewise, for times of day. */
	uint64_t first_revision; /**< Of the store, once gateways are ready. */
	pthread_mutex_t lock;
	GHashTable *requests; /**< Request id to request_entry_t. */
	/** Changes of a gateway's availability; odd while it is stopped,
	 * starting or paused. */
	_Atomic uint32_t transitions[GATEWAYS];
	/** Incremented when a gateway is killed, paused or continued. Only
	 * requests sent before that, or while `transitions` is odd, may remain
	 * without an answer. */
	_Atomic uint32_t interruptions[GATEWAYS];
	_Atomic bool stopping;
	_Atomic uint32_t sent;
	_Atomic uint32_t served;
	_Atomic uint32_t key; /**< Number of the customer's current key. */
	int desired_version;  /**< Of the desired state. */
	int target_weights;   /**< Version. */
	bool paused[GATEWAYS];
	bool store_down;
	bool draining; /**< Whether service 0 is draining. */
} soak_t;

typedef struct client {
	soak_t *soak;
	rng_t rng;
	pthread_t thread;
} client_t;

static void record_run(void *context, const endpoint_t *endpoint,
		       const char *id)
{
	soak_t *soak = context;
	request_entry_t *entry;

	pthread_mutex_lock(&soak->lock);
	entry = id ? g_hash_table_lookup(soak->requests, id) : NULL;
	if (entry) {
		entry->runs++;
		if (entry->kind->once && entry->runs > 1)
			g_error("seed %llu: %s %s ran twice, at %s and %s",
				(unsigned long long)soak->seed,
				entry->kind->path, id, entry->ran_at,
				endpoint->id);
		if (entry->refused)
			g_error("seed %llu: %s ran after it was refused",
				(unsigned long long)soak->seed, id);
		g_strlcpy(entry->ran_at, endpoint->id, sizeof(entry->ran_at));
	}
	pthread_mutex_unlock(&soak->lock);
}

static void record_refused(soak_t *soak, const char *id)
{
	request_entry_t *entry;

	pthread_mutex_lock(&soak->lock);
	entry = g_hash_table_lookup(soak->requests, id);
	entry->refused = true;
	if (entry->kind->once && entry->runs)
		g_error("seed %llu: %s was reported as not run, but had run",
			(unsigned long long)soak->seed, id);
	pthread_mutex_unlock(&soak->lock);
}

/** Whether the status means that the request was not run. */
static bool says_not_run(const char *answer)
{
	static const char *const statuses[] = { "408", "421", "429", "503" };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		if (!strncmp(answer + strlen("HTTP/1.1 "), statuses[i], 3))
			return true;
	}
	return false;
}

/* The events of a stream must be in order without duplicates, and none may be
 * missing if the HTTP body is complete. */
static void check_stream(const soak_t *soak, const char *id, const char *answer)
{
	bool complete = g_str_has_suffix(answer, "0\r\n\r\n");
	const char *at = answer;
	int next = 1;

	while ((at = strstr(at, "id: "))) {
		if (atoi(at + 4) != next++)
			g_error("seed %llu: %s has events out of order: %s",
				(unsigned long long)soak->seed, id, answer);
		at += 4;
	}
	if (complete && next != EVENT_COUNT + 1)
		g_error("seed %llu: %s has a complete body with %d events",
			(unsigned long long)soak->seed, id, next - 1);
}

static void check_answer(soak_t *soak, const request_kind_t *kind,
			 const char *id, const char *answer)
{
	CLEANUP_FREE char *echoed = raw_header(answer, "Request-Id");

	if (says_not_run(answer))
		record_refused(soak, id);
	if (!g_str_has_prefix(answer, "HTTP/1.1 200"))
		return;
	soak->served++;
	if (g_strcmp0(echoed, id) != 0)
		g_error("seed %llu: %s got the answer to %s",
			(unsigned long long)soak->seed, id,
			echoed ? echoed : "nothing");
	if (kind->stream)
		check_stream(soak, id, answer);
	else if (!strstr(answer, id))
		g_error("seed %llu: %s got the body of another request: %s",
			(unsigned long long)soak->seed, id, answer);
}

static char *call_gateway(soak_t *soak, int gateway, const request_kind_t *kind,
			  const char *id, uint32_t key)
{
	char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
		"Key: key-%u\r\nDeadline-Ms: 2500\r\nConnection: close\r\n"
		"%s\r\n",
		kind->method, kind->path, id, key,
		kind->stream ? MODEL_HEADERS : "");
	char *answer = raw_call(soak->rig.ports[gateway], request);

	g_free(request);
	return answer;
}

static char *register_request(soak_t *soak, const request_kind_t *kind)
{
	request_entry_t *entry = g_new0(request_entry_t, 1);
	char *id = g_strdup_printf("s%u", soak->sent++);

	entry->kind = kind;
	pthread_mutex_lock(&soak->lock);
	g_hash_table_insert(soak->requests, g_strdup(id), entry);
	pthread_mutex_unlock(&soak->lock);
	return id;
}

static void send_one(client_t *client)
{
	soak_t *soak = client->soak;
	const request_kind_t *kind =
		&kinds[rng_below(&client->rng, G_N_ELEMENTS(kinds))];
	int gateway = (int)rng_below(&client->rng, GATEWAYS);
	uint32_t interruptions = soak->interruptions[gateway];
	bool available = soak->transitions[gateway] % 2 == 0;
	uint32_t key = soak->key;
	char *id = register_request(soak, kind);
	char *answer = call_gateway(soak, gateway, kind, id, key);

	if (*answer)
		check_answer(soak, kind, id, answer);
	else if (available && soak->interruptions[gateway] == interruptions)
		g_error("seed %llu: %s %s got no answer from gateway %d, %s",
			(unsigned long long)soak->seed, kind->path, id, gateway,
			program_is_running(soak->rig.gateways[gateway])
				? "which is running"
				: "which has exited");
	g_free(answer);
	g_free(id);
}

static void *client_main(void *context)
{
	client_t *client = context;

	while (!client->soak->stopping)
		send_one(client);
	return NULL;
}

/* Faults. */

/** Stops a gateway with a signal and starts it again. */
static void restart_gateway(soak_t *soak, int gateway, int signal_number)
{
	platform_rig_t *rig = &soak->rig;

	if (soak->paused[gateway])
		program_signal(rig->gateways[gateway], SIGCONT);
	else
		soak->transitions[gateway]++;
	soak->paused[gateway] = false;
	soak->interruptions[gateway] += signal_number == SIGKILL;
	program_signal(rig->gateways[gateway], signal_number);
	g_assert_cmpint(program_wait(rig->gateways[gateway], HARNESS_WAIT_MS),
			!=, -1);
	program_free(rig->gateways[gateway]);
	platform_rig_start_gateway(rig, gateway);
	g_assert_true(
		WAIT_UNTIL(port_accepts(rig->ports[gateway]), HARNESS_WAIT_MS));
	soak->transitions[gateway]++;
}

static void toggle_pause(soak_t *soak, int gateway)
{
	soak->paused[gateway] = !soak->paused[gateway];
	soak->interruptions[gateway]++;
	if (soak->paused[gateway])
		soak->transitions[gateway]++;
	program_signal(soak->rig.gateways[gateway],
		       soak->paused[gateway] ? SIGSTOP : SIGCONT);
	if (!soak->paused[gateway])
		soak->transitions[gateway]++;
}

static void change_key(soak_t *soak)
{
	char name[32];

	g_snprintf(name, sizeof(name), "key-%u", soak->key + 1);
	platform_rig_put_desired(&soak->rig, ++soak->desired_version, name);
	soak->key++;
}

static void set_random_behaviour(soak_t *soak, endpoint_t *endpoints)
{
	static const behaviour_t behaviours[] = {
		ANSWER,		REFUSE,		FAIL, RESET_CONNECTION,
		WRONG_ID_FIRST, TRUNCATE_EVENT, STALL
	};
	int at = (int)rng_below(&soak->rng, ENDPOINT_COUNT);

	endpoints[at].release = false;
	endpoints[at].behaviour =
		behaviours[rng_below(&soak->rng, G_N_ELEMENTS(behaviours))];
}

static void toggle_draining(soak_t *soak)
{
	soak->draining = !soak->draining;
	platform_rig_put_entry(&soak->rig.services[0],
			       soak->draining ? "draining" : "ready");
}

/* Restores the store from an older copy. The operator and the endpoints write
 * again what it has lost, the gateways have to do so themselves. */
static void restore_store(soak_t *soak)
{
	platform_rig_t *rig = &soak->rig;
	uint64_t kept =
		platform_store_revision(rig->store) - soak->first_revision;
	uint64_t lost = rng_below(&soak->restore_rng, LOST_CHANGES_MAX);
	char name[32];

	platform_store_set_down(rig->store, true);
	platform_store_restore(rig->store,
			       soak->first_revision +
				       (kept > lost ? kept - lost : 0));
	g_snprintf(name, sizeof(name), "key-%u", soak->key);
	platform_rig_put_desired(rig, soak->desired_version, name);
	platform_rig_put_target_weights(rig, soak->target_weights);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		platform_rig_put_entry(&rig->services[i], soak->draining && !i
								  ? "draining"
								  : "ready");
		platform_rig_put_entry(&rig->engines[i], "ready");
	}
	platform_store_set_down(rig->store, soak->store_down);
}

/* Changes what a service says of itself, and the size of the configuration. */
static void change_answers(soak_t *soak)
{
	static const char *const headers[] = { NULL, "Server-Limit: 3\r\n",
					       "Server-Limit: 0.5\r\n",
					       "Retry-After: 0.5\r\n" };
	rng_t *rng = &soak->answer_rng;

	soak->rig.services[rng_below(rng, ENDPOINT_COUNT)].more_headers =
		headers[rng_below(rng, G_N_ELEMENTS(headers))];
	soak->rig.options.idle_routes = (int)rng_below(rng, IDLE_ROUTES_MAX);
}

/* Sets the time of day of a gateway ahead or back, by seconds or hours, or
 * right again. It stays so when the gateway is started again. */
static void jump_clock(soak_t *soak)
{
	static const int64_t spans_ms[] = { 0, 3000, 3600000, 90000000 };
	rng_t *rng = &soak->clock_rng;
	int64_t span_ms = spans_ms[rng_below(rng, G_N_ELEMENTS(spans_ms))];
	int gateway = (int)rng_below(rng, GATEWAYS);

	if (rng_below(rng, 2))
		span_ms = -span_ms;
	g_test_message("gateway %d: time of day off by %lld ms", gateway,
		       (long long)span_ms);
	clock_shift_set(soak->rig.clocks[gateway], span_ms);
}

static void inject_fault(soak_t *soak)
{
	int gateway = (int)rng_below(&soak->rng, GATEWAYS);

	uint64_t fault = rng_below(&soak->rng, 9);

	g_test_message("fault %llu, gateway %d", (unsigned long long)fault,
		       gateway);
	switch (fault) {
	case 0:
		restart_gateway(soak, gateway, SIGKILL);
		return;
	case 1:
		restart_gateway(soak, gateway, SIGTERM);
		return;
	case 2:
		toggle_pause(soak, gateway);
		return;
	case 3:
		soak->store_down = !soak->store_down;
		platform_store_set_down(soak->rig.store, soak->store_down);
		return;
	case 4:
		change_key(soak);
		return;
	case 5:
		platform_rig_put_target_weights(&soak->rig,
						++soak->target_weights);
		return;
	case 6:
		toggle_draining(soak);
		return;
	case 7:
		set_random_behaviour(soak, soak->rig.services);
		return;
	default:
		set_random_behaviour(soak, soak->rig.engines);
		return;
	}
}

static void clear_faults(soak_t *soak)
{
	for (int i = 0; i < GATEWAYS; i++) {
		if (soak->paused[i])
			toggle_pause(soak, i);
	}
	platform_store_set_down(soak->rig.store, false);
	platform_rig_set_headers(soak->rig.services, NULL);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		soak->rig.services[i].behaviour = ANSWER;
		soak->rig.engines[i].behaviour = ANSWER;
		soak->rig.services[i].release = true;
		soak->rig.engines[i].release = true;
	}
	if (soak->draining)
		toggle_draining(soak);
}

/* Checks after the last fault. */

static bool answers_with(soak_t *soak, int gateway, const request_kind_t *kind,
			 uint32_t key, const char *status)
{
	char *id = register_request(soak, kind);
	char *answer = call_gateway(soak, gateway, kind, id, key);
	bool found = g_str_has_prefix(answer, status);

	g_free(answer);
	g_free(id);
	return found;
}

static bool serves_all_kinds(soak_t *soak, int gateway)
{
	for (int i = 0; i < RECOVERY_REQUESTS; i++) {
		if (!answers_with(soak, gateway,
				  &kinds[(size_t)i % G_N_ELEMENTS(kinds)],
				  soak->key, "HTTP/1.1 200"))
			return false;
	}
	return true;
}

/* Last log lines of a gateway, without the events 1800 to 1899 (requests). */
static char *log_tail(soak_t *soak, int gateway)
{
	char **lines = g_strsplit(program_output(soak->rig.gateways[gateway]),
				  "\n", -1);
	GString *tail = g_string_new(NULL);

	for (char **line = lines; *line; line++) {
		if (!strstr(*line, " event=18"))
			g_string_append_printf(tail, "%s\n", *line);
	}
	g_strfreev(lines);
	if (tail->len > LOG_TAIL_BYTES)
		g_string_erase(tail, 0, (gssize)(tail->len - LOG_TAIL_BYTES));
	return g_string_free(tail, FALSE);
}

/* Empties the pipes of the gateways' logs; for the main thread only. */
static void drain_logs(soak_t *soak)
{
	for (int g = 0; g < GATEWAYS; g++)
		(void)program_output(soak->rig.gateways[g]);
}

static bool has_target_weights(soak_t *soak, int engine)
{
	drain_logs(soak);
	return soak->rig.engines[engine].weights ==
	       (uint64_t)soak->target_weights;
}

static void check_recovery(soak_t *soak)
{
	for (int g = 0; g < GATEWAYS; g++) {
		if (!WAIT_UNTIL(serves_all_kinds(soak, g), RECOVERY_MS))
			g_error("seed %llu: gateway %d did not recover:\n%s",
				(unsigned long long)soak->seed, g,
				log_tail(soak, g));
		if (soak->key > 1 &&
		    !answers_with(soak, g, &kinds[0], soak->key - 1,
				  "HTTP/1.1 401"))
			g_error("seed %llu: gateway %d accepts an old key",
				(unsigned long long)soak->seed, g);
	}
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		if (!WAIT_UNTIL(has_target_weights(soak, i), RECOVERY_MS))
			g_error("seed %llu: engine %d has weights %llu, not "
				"%d:\n%s\n%s\n%s",
				(unsigned long long)soak->seed, i,
				(unsigned long long)soak->rig.engines[i]
					.weights,
				soak->target_weights, log_tail(soak, 0),
				log_tail(soak, 1), log_tail(soak, 2));
	}
}

static void soak_start(soak_t *soak, uint64_t seed)
{
	memset(soak, 0, sizeof(*soak));
	soak->seed = seed;
	rng_init(&soak->rng, seed);
	rng_init(&soak->restore_rng, ~seed);
	rng_init(&soak->answer_rng, seed ^ (~seed << 1));
	rng_init(&soak->clock_rng, seed * 2 + 1);
	pthread_mutex_init(&soak->lock, NULL);
	soak->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->key = 1;
	soak->desired_version = 1;
	soak->target_weights = 1;
	platform_rig_start_with(
		&soak->rig, GATEWAYS,
		&(platform_rig_options_t){ .own_clocks = true });
	soak->first_revision = platform_store_revision(soak->rig.store);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		soak->rig.services[i].context = soak;
		soak->rig.services[i].on_run = record_run;
		soak->rig.engines[i].context = soak;
		soak->rig.engines[i].on_run = record_run;
	}
}

static void soak_stop(soak_t *soak)
{
	platform_rig_stop(&soak->rig);
	g_hash_table_destroy(soak->requests);
	pthread_mutex_destroy(&soak->lock);
}

static void run_seed(uint64_t seed)
{
	static soak_t soak;
	client_t clients[CLIENTS];

	g_test_message("seed %llu", (unsigned long long)seed);
	soak_start(&soak, seed);
	for (int i = 0; i < CLIENTS; i++) {
		clients[i] = (client_t){ .soak = &soak };
		rng_init(&clients[i].rng, seed * CLIENTS + (uint64_t)i);
		pthread_create(&clients[i].thread, NULL, client_main,
			       &clients[i]);
	}
	for (int i = 0; i < FAULT_COUNT; i++) {
		inject_fault(&soak);
		if (!rng_below(&soak.restore_rng, RESTORE_INTERVAL_FAULTS))
			restore_store(&soak);
		if (!rng_below(&soak.answer_rng, ANSWER_INTERVAL_FAULTS))
			change_answers(&soak);
		if (!rng_below(&soak.clock_rng, CLOCK_INTERVAL_FAULTS))
			jump_clock(&soak);
		drain_logs(&soak);
		clock_sleep_ms(FAULT_INTERVAL_MIN_MS +
			       rng_below(&soak.rng, FAULT_INTERVAL_SPREAD_MS));
	}
	clear_faults(&soak);
	soak.stopping = true;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i].thread, NULL);
	check_recovery(&soak);
	g_test_message("seed %llu: %u sent, %u served",
		       (unsigned long long)seed, soak.sent, soak.served);
	g_assert_cmpuint(soak.served, >, 0);
	soak_stop(&soak);
}

static void test_seed(const void *data)
{
	run_seed(GPOINTER_TO_SIZE(data));
}

static void add_seed(uint64_t seed)
{
	char *path =
		g_strdup_printf("/soak/seed/%llu", (unsigned long long)seed);

	g_test_add_data_func(path, GSIZE_TO_POINTER(seed), test_seed);
	g_free(path);
}

/** Seeds 1 and 2, which never failed, and those that did, with the cause. */
static const uint64_t seeds[] = {
	1,
	2,
	/* The timer of the request's time limit fired early, and a stream that
	 * must not be repeated was sent to a second engine; 1796370824209
	 * failed in the same way. */
	1796370865258,
	/* A stream was resumed at another engine, whose error answer was
	 * relayed as the regular end of the stream. */
	1796371012281,
};

int main(int argc, char **argv)
{
	const char *single_seed = g_getenv("SOAK_SEED");
	const char *seed_count = g_getenv("SOAK_SEEDS");

	g_test_init(&argc, &argv, NULL);
	if (single_seed) {
		add_seed(strtoull(single_seed, NULL, 10));
	} else if (seed_count) {
		uint64_t first = clock_unix_ms();

		for (uint64_t i = 0; i < strtoull(seed_count, NULL, 10); i++)
			add_seed(first + i);
	} else {
		for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
			add_seed(seeds[i]);
	}
	return g_test_run();
}
