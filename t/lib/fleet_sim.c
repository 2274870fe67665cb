#include "t/lib/fleet_sim.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "process/admission.h"
#include "process/hash.h"
#include "request/prefix.h"

enum {
	MANUAL_COUNT = 20,
	SECTION_COUNT = 20,
	NOTES_COUNT = 6,
	MANUAL_BLOCKS = 10,
	SECTION_BLOCKS = 4,
	NOTES_BLOCKS = 2,
	PROMPT_BLOCKS = MANUAL_BLOCKS + SECTION_BLOCKS + NOTES_BLOCKS,
	TOKEN_BYTES = 4,
	BLOCK_BYTES = SIM_BLOCK_TOKENS * TOKEN_BYTES,
	LEVELS_MAX = PROMPT_BLOCKS + 3,
	/** Interval of load snapshots of the engines. */
	SNAPSHOT_MS = 100,
	/** Snapshots kept of each engine. */
	SNAPSHOTS_MAX = 64,
	/** Interval at which a router polls the load reports. */
	POLL_MS = 500,
	ADMISSION_TICK_MS = 50,
	/** One-way delay between routers and engines. */
	NETWORK_MS = 1,
	/** Time an engine spends on a request in addition to its prefill. */
	OVERHEAD_MS = 20,
	BLOCK_MS = SIM_BLOCK_TOKENS * 1000 / SIM_PREFILL_TOKENS_PER_S,
	CACHE_MAX_BLOCKS = 1024,
	CUSTOMER_COUNT = 8,
};

static const double UNIQUE_NOTES_SHARE = 0.5;
/**
 * Blocks of a request that an engine prefills at the target hit rate, which is
 * 0.9 of the hit rate of an unbounded cache. That one is about 0.88.
 */
static const double TARGET_UNCACHED_BLOCKS = 3.3;
static const double CLASS_SHARE[SIM_CLASSES] = { 0.3, 0.3, 0.4 };
static const uint32_t DEADLINE_MS[SIM_CLASSES] = { 60000, 60000, 120000 };

typedef enum sim_event_kind {
	SIM_ARRIVAL,
	SIM_ENGINE_ARRIVAL,
	SIM_PREFILL_DONE,
	SIM_FIRST_TOKEN,
	SIM_SNAPSHOT,
	SIM_POLL,
	SIM_TICK,
	SIM_RESHUFFLE,
} sim_event_kind_t;

typedef struct sim_event {
	uint64_t at_ms;
	uint64_t seq; /**< Events of the same time run in this order. */
	sim_event_kind_t kind;
	uint32_t index; /**< Of a request, engine or router, by kind. */
} sim_event_t;

typedef struct sim_request {
	uint64_t blocks[PROMPT_BLOCKS];
	prefix_level_t levels[LEVELS_MAX];
	uint32_t level_count;
	uint64_t whole_key;
	uint32_t prompt_tokens;
	uint32_t urgency;
	uint32_t router;
	uint32_t engine;
	uint32_t customer;
	uint32_t queued_tokens;
	uint32_t cached_blocks;
	uint64_t arrived_ms;
	uint64_t sent_ms;
	uint64_t engine_arrival_ms;
	uint64_t prefill_started_ms;
	bool routed;
	routing_explanation_t explanation;
} sim_request_t;

typedef struct sim_snapshot {
	uint64_t at_ms;
	uint32_t queued;
	uint32_t running;
	uint64_t tokens; /**< Left to prefill, queued or running. */
} sim_snapshot_t;

typedef struct sim_engine {
	uint64_t keys[CACHE_MAX_BLOCKS]; /**< Most recently used first. */
	uint32_t key_count;
	GQueue queues[SIM_CLASSES];
	uint64_t queued_tokens;
	int64_t running; /**< Index of a request, or -1. */
	uint64_t done_ms;
	uint32_t served;
	uint64_t snapshot_count;
	sim_snapshot_t snapshots[SNAPSHOTS_MAX];
} sim_engine_t;

typedef struct sim_router {
	routing_t routing;
	admission_t admission;
	endpoint_t endpoints[64];
	endpoint_t *pool[64];
	rng_t rng;
} sim_router_t;

typedef struct sim {
	const sim_options_t *options;
	uint64_t now_ms;
	uint64_t seq;
	rng_t rng;
	GSequence *events;
	GPtrArray *requests;
	sim_engine_t *engines;
	sim_router_t *routers;
	GHashTable *unbounded; /**< Keys in an unbounded cache. */
	uint32_t manual_by_rank[MANUAL_COUNT];
	uint32_t section_by_rank[MANUAL_COUNT][SECTION_COUNT];
	double mean_interarrival_ms;
	uint64_t prompt_blocks;
	uint64_t cached_blocks;
	uint64_t unbounded_blocks;
	uint64_t avoidable_blocks;
	uint32_t shed;
	GArray *ttft[SIM_CLASSES];
} sim_t;

sim_options_t sim_defaults(uint64_t seed)
{
	return (sim_options_t){
		.seed = seed,
		.policy = ROUTING_PREFIX,
		.engines = 20,
		.routers = 14,
		.cache_blocks = 160,
		.report_lag_ms = 1000,
		.reshuffle_ms = 60000,
		.duration_ms = 180000,
		.warm_up_ms = 20000,
		.load = 0.5,
	};
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	const sim_event_t *x = a;
	const sim_event_t *y = b;

	(void)unused;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

static void schedule_event(sim_t *sim, uint64_t at_ms, sim_event_kind_t kind,
			   uint32_t index)
{
	sim_event_t event = { at_ms, sim->seq++, kind, index };

	g_sequence_insert_sorted(sim->events, g_memdup2(&event, sizeof(event)),
				 compare_events, NULL);
}

static sim_event_t next_event(sim_t *sim)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
	sim_event_t event = *(sim_event_t *)g_sequence_get(first);

	g_sequence_remove(first);
	return event;
}

static void shuffle(rng_t *rng, uint32_t *ranks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		ranks[i] = i;
	for (uint32_t i = count; i > 1; i--) {
		uint32_t j = (uint32_t)rng_below(rng, i);
		uint32_t rank = ranks[i - 1];

		ranks[i - 1] = ranks[j];
		ranks[j] = rank;
	}
}

static void reshuffle(sim_t *sim)
{
	shuffle(&sim->rng, sim->manual_by_rank, MANUAL_COUNT);
	for (uint32_t i = 0; i < MANUAL_COUNT; i++)
		shuffle(&sim->rng, sim->section_by_rank[i], SECTION_COUNT);
}

/** Draws a rank below `count` from an exponential distribution. */
static uint32_t draw_rank(rng_t *rng, double mean, uint32_t count)
{
	for (;;) {
		double rank = rng_exponential(rng, mean);

		if (rank < count)
			return (uint32_t)rank;
	}
}

/** Fills `len` bytes with text that depends on `key` alone. */
static void fill_text(char *text, size_t len, uint64_t key)
{
	rng_t rng;

	rng_init(&rng, key);
	for (size_t i = 0; i < len; i++)
		text[i] = (char)('a' + rng_below(&rng, 26));
}

/** Computes the keys of a prompt of three messages, or of a single one. */
static void compute_keys(const sim_t *sim, sim_request_t *request,
			 const uint64_t parts[3])
{
	static const uint32_t blocks[3] = { MANUAL_BLOCKS, SECTION_BLOCKS,
					    NOTES_BLOCKS };
	static const char *const role = "user";
	/* The role and two newlines are part of the rendered text. */
	const size_t role_bytes = strlen(role) + 2;
	const prefix_identity_t identity = {
		.salt = "subsol",
		.model = "inspect",
		.adapter = "",
		.weights_version = "1",
		.block_tokens = SIM_BLOCK_TOKENS,
		.token_bytes = TOKEN_BYTES,
	};
	char text[PROMPT_BLOCKS * BLOCK_BYTES];
	prefix_message_t messages[3];
	prefix_t prefix;
	size_t at = 0;

	for (int i = 0; i < 3; i++) {
		size_t len = (size_t)blocks[i] * BLOCK_BYTES;

		fill_text(text + at, len, parts[i]);
		messages[i] =
			(prefix_message_t){ role, text + at, len - role_bytes };
		at += len;
	}
	if (sim->options->single_message)
		messages[0].content_bytes = at - role_bytes;
	g_assert_cmpint(prefix_compute(&identity, messages,
				       sim->options->single_message ? 1 : 3,
				       &prefix),
			==, 0);
	g_assert_cmpuint(prefix.block_count, ==, PROMPT_BLOCKS);
	g_assert_cmpuint(prefix.level_count, <=, LEVELS_MAX);
	memcpy(request->blocks, prefix.blocks, sizeof(request->blocks));
	memcpy(request->levels, prefix.levels, sizeof(request->levels));
	request->level_count = prefix.level_count;
	request->whole_key = prefix.whole_key;
	request->prompt_tokens = prefix.prompt_tokens;
}

static uint32_t draw_urgency(rng_t *rng)
{
	double unit = rng_unit(rng);
	uint32_t urgency = 0;

	while (urgency + 1 < SIM_CLASSES && unit >= CLASS_SHARE[urgency])
		unit -= CLASS_SHARE[urgency++];
	return urgency;
}

static sim_request_t *new_request(sim_t *sim)
{
	sim_request_t *request = g_new0(sim_request_t, 1);
	rng_t *rng = &sim->rng;
	uint32_t manual = sim->manual_by_rank[draw_rank(rng, 4, MANUAL_COUNT)];
	uint32_t section =
		sim->section_by_rank[manual][draw_rank(rng, 4, SECTION_COUNT)];
	uint64_t notes = draw_rank(rng, 2, NOTES_COUNT);
	uint64_t parts[3];

	if (rng_unit(rng) < UNIQUE_NOTES_SHARE)
		notes = NOTES_COUNT + sim->requests->len;
	parts[0] = hash_rendezvous(1, manual);
	parts[1] = hash_rendezvous(parts[0], section);
	parts[2] = hash_rendezvous(parts[1], notes);
	compute_keys(sim, request, parts);
	request->urgency = draw_urgency(rng);
	request->router = (uint32_t)rng_below(rng, sim->options->routers);
	request->customer = (uint32_t)rng_below(rng, CUSTOMER_COUNT);
	request->arrived_ms = sim->now_ms;
	return request;
}

static sim_request_t *request_at(const sim_t *sim, uint32_t index)
{
	return g_ptr_array_index(sim->requests, index);
}

static int64_t find_key(const sim_engine_t *engine, uint64_t key)
{
	for (uint32_t i = 0; i < engine->key_count; i++) {
		if (engine->keys[i] == key)
			return i;
	}
	return -1;
}

static uint32_t cached_prefix_blocks(const sim_engine_t *engine,
				     const sim_request_t *request)
{
	uint32_t blocks = 0;

	while (blocks < PROMPT_BLOCKS &&
	       find_key(engine, request->blocks[blocks]) >= 0)
		blocks++;
	return blocks;
}

/** Makes a key the most recently used one; evicts the oldest if needed. */
static void mark_key_used(sim_engine_t *engine, uint64_t key, uint32_t capacity)
{
	int64_t position = find_key(engine, key);

	if (position < 0) {
		if (engine->key_count < capacity)
			engine->key_count++;
		position = engine->key_count - 1;
	}
	memmove(engine->keys + 1, engine->keys,
		(size_t)position * sizeof(engine->keys[0]));
	engine->keys[0] = key;
}

/** Marks the last block first, so that leading blocks are evicted last. */
static void mark_prompt_used(const sim_t *sim, sim_engine_t *engine,
			     const sim_request_t *request)
{
	for (uint32_t i = PROMPT_BLOCKS; i > 0; i--)
		mark_key_used(engine, request->blocks[i - 1],
			      sim->options->cache_blocks);
}

static bool is_measured(const sim_t *sim, const sim_request_t *request)
{
	return request->arrived_ms >= sim->options->warm_up_ms;
}

static uint32_t unbounded_prefix_blocks(const sim_t *sim,
					const sim_request_t *request)
{
	uint32_t blocks = 0;

	while (blocks < PROMPT_BLOCKS &&
	       g_hash_table_contains(sim->unbounded, &request->blocks[blocks]))
		blocks++;
	return blocks;
}

static void count_block_hits(sim_t *sim, const sim_request_t *request)
{
	uint32_t best = 0;

	for (uint32_t i = 0; i < sim->options->engines; i++) {
		uint32_t blocks =
			cached_prefix_blocks(&sim->engines[i], request);

		if (blocks > best)
			best = blocks;
	}
	sim->prompt_blocks += PROMPT_BLOCKS;
	sim->cached_blocks += request->cached_blocks;
	sim->avoidable_blocks += best - request->cached_blocks;
	sim->unbounded_blocks += unbounded_prefix_blocks(sim, request);
}

/** Starts the most urgent queued request if the engine is idle. */
static void start_next(sim_t *sim, uint32_t index)
{
	sim_engine_t *engine = &sim->engines[index];
	sim_request_t *request;
	uint32_t urgency = 0;

	if (engine->running >= 0)
		return;
	while (urgency < SIM_CLASSES &&
	       g_queue_is_empty(&engine->queues[urgency]))
		urgency++;
	if (urgency == SIM_CLASSES)
		return;
	engine->running =
		GPOINTER_TO_UINT(g_queue_pop_head(&engine->queues[urgency]));
	request = request_at(sim, (uint32_t)engine->running);
	engine->queued_tokens -= request->queued_tokens;
	request->prefill_started_ms = sim->now_ms;
	request->cached_blocks = cached_prefix_blocks(engine, request);
	if (is_measured(sim, request))
		count_block_hits(sim, request);
	for (uint32_t i = 0; i < PROMPT_BLOCKS; i++)
		g_hash_table_add(sim->unbounded, &request->blocks[i]);
	engine->served++;
	engine->done_ms = sim->now_ms + OVERHEAD_MS +
			  (PROMPT_BLOCKS - request->cached_blocks) * BLOCK_MS;
	schedule_event(sim, engine->done_ms, SIM_PREFILL_DONE, index);
}

static void handle_engine_arrival(sim_t *sim, uint32_t index)
{
	sim_request_t *request = request_at(sim, index);
	sim_engine_t *engine = &sim->engines[request->engine];

	request->engine_arrival_ms = sim->now_ms;
	request->queued_tokens =
		(PROMPT_BLOCKS - cached_prefix_blocks(engine, request)) *
		SIM_BLOCK_TOKENS;
	engine->queued_tokens += request->queued_tokens;
	g_queue_push_tail(&engine->queues[request->urgency],
			  GUINT_TO_POINTER(index));
	start_next(sim, request->engine);
}

static void handle_prefill_done(sim_t *sim, uint32_t index)
{
	sim_engine_t *engine = &sim->engines[index];
	uint32_t request = (uint32_t)engine->running;

	mark_prompt_used(sim, engine, request_at(sim, request));
	engine->running = -1;
	schedule_event(sim, sim->now_ms + NETWORK_MS, SIM_FIRST_TOKEN, request);
	start_next(sim, index);
}

static routing_request_t to_routing_request(const sim_request_t *request)
{
	return (routing_request_t){
		.levels = request->levels,
		.level_count = request->level_count,
		.whole_key = request->whole_key,
		.prompt_tokens = request->prompt_tokens,
		.urgency = request->urgency,
		.already_counted = request->routed,
	};
}

/** Routes a request and sends it, unless admission postpones it. */
static void send_request(sim_t *sim, uint32_t index)
{
	sim_request_t *request = request_at(sim, index);
	sim_router_t *router = &sim->routers[request->router];
	routing_request_t routing_request = to_routing_request(request);
	int chosen = routing_choose(&router->routing, router->pool,
				    sim->options->engines, &routing_request,
				    sim->now_ms, &router->rng,
				    &request->explanation);

	g_assert_cmpint(chosen, >=, 0);
	request->routed = true;
	if (sim->options->admission &&
	    admission_postpone(
		    &router->admission, index + 1,
		    request->explanation.candidates[request->explanation.chosen]
			    .wait_ms,
		    sim->now_ms))
		return;
	request->engine = (uint32_t)chosen;
	request->sent_ms = sim->now_ms;
	routing_sent(&router->routing, router->pool[chosen], &routing_request,
		     &request->explanation, sim->now_ms);
	schedule_event(sim, sim->now_ms + NETWORK_MS, SIM_ENGINE_ARRIVAL,
		       index);
}

static void update_load(const sim_t *sim, sim_router_t *router)
{
	admission_set_pool(&router->admission, 0,
			   routing_pool_wait_ms(&router->routing, router->pool,
						sim->options->engines,
						sim->now_ms),
			   0);
}

/** Performs all admission actions that are due at a router. */
static void run_admission(sim_t *sim, uint32_t index)
{
	sim_router_t *router = &sim->routers[index];
	admission_action_t action;

	update_load(sim, router);
	while (admission_next(&router->admission, sim->now_ms, &action)) {
		switch (action.kind) {
		case ADMISSION_START:
			send_request(sim, (uint32_t)action.id - 1);
			update_load(sim, router);
			break;
		case ADMISSION_SHED:
			sim->shed++;
			break;
		case ADMISSION_WAIT:
		case ADMISSION_PREEMPT:
			g_assert_not_reached();
		}
	}
}

static void submit(sim_t *sim, uint32_t index)
{
	const sim_request_t *request = request_at(sim, index);
	sim_router_t *router = &sim->routers[request->router];
	admission_request_t admission_request = {
		.id = index + 1,
		.customer = { .id_hash = request->customer + 1, .weight = 1 },
		.urgency = request->urgency,
		.tokens = request->prompt_tokens,
		.deadline_ms = sim->now_ms + DEADLINE_MS[request->urgency],
	};
	admission_action_t action;

	update_load(sim, router);
	action = admission_submit(&router->admission, &admission_request,
				  sim->now_ms);
	if (action.kind == ADMISSION_START)
		send_request(sim, index);
	else if (action.kind == ADMISSION_SHED)
		sim->shed++;
	run_admission(sim, request->router);
}

static void handle_arrival(sim_t *sim)
{
	uint32_t index = sim->requests->len;

	g_ptr_array_add(sim->requests, new_request(sim));
	if (sim->options->admission)
		submit(sim, index);
	else
		send_request(sim, index);
	schedule_event(
		sim,
		sim->now_ms +
			(uint64_t)(rng_exponential(&sim->rng,
						   sim->mean_interarrival_ms) +
				   0.5),
		SIM_ARRIVAL, 0);
}

static void handle_first_token(sim_t *sim, uint32_t index)
{
	const sim_request_t *request = request_at(sim, index);
	sim_router_t *router = &sim->routers[request->router];
	endpoint_t *endpoint = router->pool[request->engine];
	routing_request_t routing_request = to_routing_request(request);
	double ttft = (double)(sim->now_ms - request->arrived_ms);

	routing_first_token(&router->routing, endpoint, &routing_request,
			    request->cached_blocks * SIM_BLOCK_TOKENS,
			    (uint32_t)(request->prefill_started_ms -
				       request->engine_arrival_ms),
			    request->sent_ms, sim->now_ms);
	routing_ended(endpoint, &routing_request, ENDPOINT_DONE, true,
		      &router->rng, sim->now_ms);
	if (is_measured(sim, request))
		g_array_append_val(sim->ttft[request->urgency], ttft);
	if (!sim->options->admission)
		return;
	admission_finished(&router->admission, index + 1, sim->now_ms);
	run_admission(sim, request->router);
}

static void take_snapshots(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->options->engines; i++) {
		sim_engine_t *engine = &sim->engines[i];
		uint32_t queued = 0;
		uint64_t remaining_tokens = 0;

		for (int j = 0; j < SIM_CLASSES; j++)
			queued += g_queue_get_length(&engine->queues[j]);
		if (engine->running >= 0)
			remaining_tokens = (engine->done_ms - sim->now_ms) *
					   SIM_PREFILL_TOKENS_PER_S / 1000;
		engine->snapshots[engine->snapshot_count++ % SNAPSHOTS_MAX] =
			(sim_snapshot_t){
				.at_ms = sim->now_ms,
				.queued = queued,
				.running = engine->running >= 0,
				.tokens = engine->queued_tokens +
					  remaining_tokens,
			};
	}
	schedule_event(sim, sim->now_ms + SNAPSHOT_MS, SIM_SNAPSHOT, 0);
}

static void poll_engine(const sim_t *sim, const sim_engine_t *engine,
			endpoint_t *endpoint)
{
	uint64_t lag = sim->options->report_lag_ms / SNAPSHOT_MS;
	const sim_snapshot_t *snapshot;
	engine_load_t load = { .incarnation = 1 };

	if (engine->snapshot_count <= lag)
		return;
	load.seq = engine->snapshot_count - 1 - lag;
	snapshot = &engine->snapshots[load.seq % SNAPSHOTS_MAX];
	load.age_ms = (uint32_t)(sim->now_ms - snapshot->at_ms);
	load.running = snapshot->running;
	load.queued = snapshot->queued;
	load.queued_tokens = snapshot->tokens;
	endpoint_apply_report(endpoint, &load, sim->now_ms);
}

static void poll_engines(sim_t *sim, uint32_t index)
{
	for (uint32_t i = 0; i < sim->options->engines; i++)
		poll_engine(sim, &sim->engines[i],
			    &sim->routers[index].endpoints[i]);
	schedule_event(sim, sim->now_ms + POLL_MS, SIM_POLL, index);
}

static void handle_event(sim_t *sim, const sim_event_t *event)
{
	switch (event->kind) {
	case SIM_ARRIVAL:
		handle_arrival(sim);
		break;
	case SIM_ENGINE_ARRIVAL:
		handle_engine_arrival(sim, event->index);
		break;
	case SIM_PREFILL_DONE:
		handle_prefill_done(sim, event->index);
		break;
	case SIM_FIRST_TOKEN:
		handle_first_token(sim, event->index);
		break;
	case SIM_SNAPSHOT:
		take_snapshots(sim);
		break;
	case SIM_POLL:
		poll_engines(sim, event->index);
		break;
	case SIM_TICK:
		run_admission(sim, event->index);
		schedule_event(sim, sim->now_ms + ADMISSION_TICK_MS, SIM_TICK,
			       event->index);
		break;
	case SIM_RESHUFFLE:
		reshuffle(sim);
		schedule_event(sim, sim->now_ms + sim->options->reshuffle_ms,
			       SIM_RESHUFFLE, 0);
		break;
	}
}

static void init_routers(sim_t *sim)
{
	const sim_options_t *options = sim->options;

	sim->routers = g_new0(sim_router_t, options->routers);
	for (uint32_t i = 0; i < options->routers; i++) {
		sim_router_t *router = &sim->routers[i];

		routing_init(&router->routing, options->policy,
			     SIM_PREFILL_TOKENS_PER_S);
		router->routing.round_robin = i;
		admission_init(&router->admission, 256, 10);
		rng_init(&router->rng, options->seed * 1000 + i);
		for (uint32_t j = 0; j < options->engines; j++) {
			endpoint_init(&router->endpoints[j],
				      hash_rendezvous(7, j));
			router->pool[j] = &router->endpoints[j];
		}
		schedule_event(sim, i * POLL_MS / options->routers, SIM_POLL,
			       i);
		if (options->admission)
			schedule_event(sim, i, SIM_TICK, i);
	}
}

static void init_engines(sim_t *sim)
{
	sim->engines = g_new0(sim_engine_t, sim->options->engines);
	for (uint32_t i = 0; i < sim->options->engines; i++) {
		sim->engines[i].running = -1;
		for (int j = 0; j < SIM_CLASSES; j++)
			g_queue_init(&sim->engines[i].queues[j]);
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile(const GArray *sorted, double share)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, double,
			     (guint)(share * (sorted->len - 1)));
}

static void compute_result(sim_t *sim, sim_result_t *result)
{
	uint32_t busiest = 0;
	uint32_t served = 0;

	for (int i = 0; i < SIM_CLASSES; i++) {
		g_array_sort(sim->ttft[i], compare_doubles);
		result->p50_ms[i] = percentile(sim->ttft[i], 0.5);
		result->p95_ms[i] = percentile(sim->ttft[i], 0.95);
		result->p99_ms[i] = percentile(sim->ttft[i], 0.99);
		result->class_requests[i] = sim->ttft[i]->len;
		result->requests += sim->ttft[i]->len;
	}
	for (uint32_t i = 0; i < sim->options->engines; i++) {
		served += sim->engines[i].served;
		if (sim->engines[i].served > busiest)
			busiest = sim->engines[i].served;
	}
	result->imbalance = (double)busiest * sim->options->engines / served;
	result->shed = sim->shed;
	result->hit_rate = (double)sim->cached_blocks / sim->prompt_blocks;
	result->unbounded_hit_rate =
		(double)sim->unbounded_blocks / sim->prompt_blocks;
	result->relative_hit_rate =
		result->hit_rate / result->unbounded_hit_rate;
	result->avoidable_recompute =
		(double)sim->avoidable_blocks / sim->prompt_blocks;
}

static void free_sim(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->options->engines; i++) {
		for (int j = 0; j < SIM_CLASSES; j++)
			g_queue_clear(&sim->engines[i].queues[j]);
	}
	for (int i = 0; i < SIM_CLASSES; i++)
		g_array_unref(sim->ttft[i]);
	g_hash_table_destroy(sim->unbounded);
	g_ptr_array_unref(sim->requests);
	g_sequence_free(sim->events);
	g_free(sim->engines);
	g_free(sim->routers);
}

sim_result_t sim_run(const sim_options_t *options)
{
	sim_t sim = { .options = options };
	sim_result_t result = { 0 };
	double target_ms = OVERHEAD_MS + TARGET_UNCACHED_BLOCKS * BLOCK_MS;

	g_assert_cmpuint(options->engines, <=, 64);
	g_assert_cmpuint(options->cache_blocks, <=, CACHE_MAX_BLOCKS);
	rng_init(&sim.rng, options->seed);
	sim.mean_interarrival_ms = target_ms / options->engines / options->load;
	sim.events = g_sequence_new(g_free);
	sim.requests = g_ptr_array_new_with_free_func(g_free);
	sim.unbounded = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (int i = 0; i < SIM_CLASSES; i++)
		sim.ttft[i] = g_array_new(FALSE, FALSE, sizeof(double));
	init_engines(&sim);
	init_routers(&sim);
	schedule_event(&sim, 0, SIM_RESHUFFLE, 0);
	schedule_event(&sim, 0, SIM_SNAPSHOT, 0);
	schedule_event(&sim, 1, SIM_ARRIVAL, 0);
	for (sim_event_t event = next_event(&sim);
	     event.at_ms < options->duration_ms; event = next_event(&sim)) {
		sim.now_ms = event.at_ms;
		handle_event(&sim, &event);
	}
	compute_result(&sim, &result);
	free_sim(&sim);
	return result;
}
