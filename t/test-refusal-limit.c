/* Instances that share endpoints which fail when they refuse too many requests
 * in a second, on virtual time. */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "process/refusal_limit.h"
#include "process/rng.h"

enum {
	INSTANCES_MAX = 134,
	ENDPOINTS_MAX = 40,
	RUNNING_MAX = 4000,
	REFUSALS_KEPT = 64,
	/** Requests that may arrive in a ms. */
	ARRIVALS_MAX = 8,
	/** Time in which a refusal reaches the instance. */
	LINK_MS = 20,
	/** Endpoints that are tried for one request. */
	TRIES = 3,
	SEEDS = 3,
	RUN_MS = 20000,
	/** As in cmd/gateway_peers.c. */
	HEARTBEAT_MS = 200,
	HEARTBEAT_PER_INSTANCE_MS = 3,
	HEARTBEAT_FULL_RATE_MAX = 20,
	SERVICE_MS = 400,
	BURST_PERIOD_MS = 5000,
	BURST_MS = 1500,
};

typedef struct sim_case {
	const char *name;
	uint32_t instances;
	uint32_t endpoints;
	uint32_t slots;
	uint32_t refusals_max;
	/** Requests/s of what the slots can run, usually and in bursts. */
	double load;
	double burst;
	/** Part of the slots that something unknown takes. */
	double taken;
	/** Requests that are not served, of those that there is room for. */
	double refused_max;
} sim_case_t;

static const sim_case_t cases[] = {
	{ "14-instances", 14, 8, 8, 4, 0.5, 0.5, 0, 0.1 },
	{ "14-instances-burst", 14, 8, 8, 4, 0.6, 3, 0, 0.35 },
	{ "few-refusals", 14, 8, 8, 1, 0.5, 3, 0, 0.35 },
	{ "few-slots", 14, 10, 3, 3, 0.5, 3, 0, 0.35 },
	{ "taken-slots", 14, 8, 8, 4, 0.5, 3, 0.5, 1 },
	{ "134-instances", 134, 40, 16, 5, 0.5, 3, 0, 0.35 },
};

typedef struct running {
	uint32_t instance;
	uint32_t endpoint;
	uint64_t end_ms;
} running_t;

typedef struct sim {
	const sim_case_t *c;
	rng_t rng;
	uint64_t now_ms;
	uint64_t interval_ms;
	uint32_t own[INSTANCES_MAX][ENDPOINTS_MAX];
	/** Own load as last sent to the others. */
	uint32_t sent[INSTANCES_MAX][ENDPOINTS_MAX];
	uint64_t sent_ms[INSTANCES_MAX];
	uint64_t paused_from_ms[INSTANCES_MAX][ENDPOINTS_MAX];
	uint64_t paused_until_ms[INSTANCES_MAX][ENDPOINTS_MAX];
	uint64_t used_ms[INSTANCES_MAX][ENDPOINTS_MAX];
	uint64_t refused_ms[ENDPOINTS_MAX][REFUSALS_KEPT];
	uint32_t refusals[ENDPOINTS_MAX];
	running_t running[RUNNING_MAX];
	uint32_t running_count;
	uint32_t refusals_in_second; /**< Most at one endpoint. */
	uint32_t requests;
	uint32_t served;
	double room; /**< Requests, as far as the slots could run them. */
} sim_t;

static uint32_t load_of(const sim_t *sim, uint32_t endpoint)
{
	uint32_t count = (uint32_t)(sim->c->taken * sim->c->slots);

	for (uint32_t i = 0; i < sim->c->instances; i++)
		count += sim->own[i][endpoint];
	return count;
}

static void count_refusal(sim_t *sim, uint32_t endpoint)
{
	uint32_t in_second = 0;

	sim->refused_ms[endpoint][sim->refusals[endpoint]++ % REFUSALS_KEPT] =
		sim->now_ms;
	for (uint32_t i = 0;
	     i < MIN(sim->refusals[endpoint], (uint32_t)REFUSALS_KEPT); i++)
		in_second += sim->refused_ms[endpoint][i] + 1000 > sim->now_ms;
	sim->refusals_in_second = MAX(sim->refusals_in_second, in_second);
}

static bool may_send(const sim_t *sim, uint32_t self, uint32_t endpoint,
		     uint32_t *known)
{
	const instance_place_t place = { .rank = self,
					 .instances = sim->c->instances };
	refusal_room_t room = {
		.refusals_max = sim->c->refusals_max,
		.slots = sim->c->slots,
		.own_running =
			sim->own[self][endpoint] +
			(sim->now_ms < sim->paused_from_ms[self][endpoint]),
		.rank = endpoint,
		.endpoints = sim->c->endpoints,
		.sent_ms = sim->used_ms[self][endpoint],
	};

	for (uint32_t i = 0; i < sim->c->instances; i++)
		room.peer_running += i == self ? 0 : sim->sent[i][endpoint];
	*known = room.own_running + room.peer_running;
	return (sim->now_ms < sim->paused_from_ms[self][endpoint] ||
		sim->now_ms >= sim->paused_until_ms[self][endpoint]) &&
	       refusal_limit_allows(&room, &place, sim->now_ms);
}

/* Returns false if no endpoint may be used. */
static bool try_endpoint(sim_t *sim, uint32_t self, bool *tried)
{
	uint32_t start = (uint32_t)rng_below(&sim->rng, sim->c->endpoints);
	uint32_t best = ENDPOINTS_MAX;
	uint32_t best_load = 0;
	uint32_t known;

	for (uint32_t i = 0; i < sim->c->endpoints; i++) {
		uint32_t endpoint = (start + i) % sim->c->endpoints;

		if (tried[endpoint] || !may_send(sim, self, endpoint, &known))
			continue;
		if (best == ENDPOINTS_MAX || known < best_load) {
			best = endpoint;
			best_load = known;
		}
	}
	if (best == ENDPOINTS_MAX)
		return false;
	tried[best] = true;
	sim->used_ms[self][best] = sim->now_ms;
	if (load_of(sim, best) >= sim->c->slots) {
		count_refusal(sim, best);
		if (sim->now_ms >= sim->paused_until_ms[self][best])
			sim->paused_from_ms[self][best] = sim->now_ms + LINK_MS;
		sim->paused_until_ms[self][best] =
			sim->now_ms + LINK_MS + REFUSAL_PAUSE_MS;
		return true;
	}
	g_assert_cmpuint(sim->running_count, <, RUNNING_MAX);
	sim->own[self][best]++;
	sim->running[sim->running_count++] =
		(running_t){ self, best,
			     sim->now_ms + 1 +
				     (uint64_t)rng_exponential(&sim->rng,
							       SERVICE_MS) };
	sim->served++;
	return false;
}

static void send_request(sim_t *sim, uint32_t self)
{
	bool tried[ENDPOINTS_MAX] = { false };

	sim->requests++;
	for (int i = 0; i < TRIES && try_endpoint(sim, self, tried); i++)
		;
}

static void end_requests(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->running_count;) {
		running_t *running = &sim->running[i];

		if (running->end_ms > sim->now_ms) {
			i++;
			continue;
		}
		sim->own[running->instance][running->endpoint]--;
		*running = sim->running[--sim->running_count];
	}
}

static void send_heartbeats(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->c->instances; i++) {
		if (sim->now_ms < sim->sent_ms[i] + sim->interval_ms)
			continue;
		sim->sent_ms[i] = sim->now_ms;
		memcpy(sim->sent[i], sim->own[i], sizeof(sim->sent[i]));
	}
}

static void run_step(sim_t *sim)
{
	const sim_case_t *c = sim->c;
	bool burst = sim->now_ms % BURST_PERIOD_MS < BURST_MS;
	double capacity = c->endpoints * c->slots / (double)SERVICE_MS;
	double rate = capacity * (burst ? c->burst : c->load);
	uint32_t before;

	end_requests(sim);
	send_heartbeats(sim);
	before = sim->requests;
	for (uint32_t i = 0; i < ARRIVALS_MAX; i++) {
		if (rng_unit(&sim->rng) < rate / ARRIVALS_MAX)
			send_request(sim, (uint32_t)rng_below(&sim->rng,
							      c->instances));
	}
	sim->room += rate > capacity ? capacity : sim->requests - before;
}

static void run(sim_t *sim, uint64_t seed)
{
	uint32_t n = sim->c->instances;

	rng_init(&sim->rng, seed);
	sim->interval_ms = HEARTBEAT_MS;
	if (n > HEARTBEAT_FULL_RATE_MAX)
		sim->interval_ms += (n - HEARTBEAT_FULL_RATE_MAX) *
				    HEARTBEAT_PER_INSTANCE_MS;
	sim->now_ms = RUN_MS;
	for (uint32_t i = 0; i < n; i++)
		sim->sent_ms[i] =
			sim->now_ms - rng_below(&sim->rng, sim->interval_ms);
	for (; sim->now_ms < (uint64_t)2 * RUN_MS; sim->now_ms++)
		run_step(sim);
}

/* Failure: instances together made an endpoint refuse more requests in a second
 * than it withstands, or left its slots idle (rule LIMIT). */
static void test_refusals(const void *data)
{
	const sim_case_t *c = data;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = g_new0(sim_t, 1);

		sim->c = c;
		run(sim, seed);
		g_test_message("seed %d: %u refusals in a second, served %u of "
			       "%u, room for %.0f",
			       (int)seed, sim->refusals_in_second, sim->served,
			       sim->requests, sim->room);
		g_assert_cmpuint(sim->refusals_in_second, <=, c->refusals_max);
		g_assert_cmpfloat(sim->served, >=,
				  (1 - c->refused_max) * sim->room);
		g_free(sim);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path =
			g_strdup_printf("/refusal-limit/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_refusals);
		g_free(path);
	}
	return g_test_run();
}
