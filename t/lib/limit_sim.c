#include "t/lib/limit_sim.h"

#include <glib.h>
#include <string.h>

#include "process/endpoint_limit.h"
#include "process/hash.h"
#include "process/rng.h"

enum {
	STEP_MS = 20,
	/** Period in which live instances are counted and turns drawn. */
	TICK_MS = 100,
	RUN_MS = 48000,
	STEPS = RUN_MS / STEP_MS,
	/** As in cmd/gateway_peers.c. */
	HEARTBEAT_MS = 200,
	HEARTBEAT_PER_INSTANCE_MS = 3,
	HEARTBEAT_FULL_RATE_MAX = 20,
	LIVE_HEARTBEATS = 6,
	DISCOVERY_MS = 700,
	DELAY_MS = 20,
	FAULT_PERIOD_MS = 12000,
	DOWN_MS = 600,
	FREEZE_MS = 3000,
	/** An instance is excused for this long after a fault of its own. */
	EXCUSED_MS = 5000,
	SLOT_MS = 500,
	TIME_OF_DAY_START_MS = 1000000000,
};

typedef struct instance {
	uint64_t name;
	int64_t clock_off_ms;
	uint64_t frozen_ms;	/**< Total; the monotonic clock lacks it. */
	uint64_t down_until_ms; /**< 0: it runs. */
	bool killed;		/**< It starts anew then. */
	uint64_t started_ms;
	uint64_t excused_until_ms;
	uint64_t sent_ms;
	uint64_t heard_ms[LIMIT_SIM_INSTANCES_MAX]; /**< 0: never. */
	uint64_t others[LIMIT_SIM_INSTANCES_MAX]; /**< Live at the last tick. */
	size_t live;				  /**< Number of them. */
	uint64_t tick_ms;
	limit_turns_t turns;
	endpoint_limit_t share;
	uint64_t slot_ms;
	bool slot_used;
} instance_t;

typedef struct sim {
	const limit_sim_options_t *options;
	limit_division_t division;
	instance_t *instances;
	bool *deaf; /**< By receiver and sender. */
	uint64_t interval_ms;
	uint64_t now_ms;
	rng_t rng;
} sim_t;

static uint64_t monotonic_ms(const sim_t *sim, const instance_t *instance)
{
	return sim->now_ms - instance->frozen_ms;
}

static void start_instance(sim_t *sim, instance_t *instance)
{
	instance->started_ms = sim->now_ms;
	memset(instance->heard_ms, 0, sizeof(instance->heard_ms));
	memset(&instance->share, 0, sizeof(instance->share));
	limit_turns_init(&instance->turns, monotonic_ms(sim, instance));
	instance->slot_ms = rng_next(&sim->rng);
}

static void send_heartbeat(sim_t *sim, uint32_t from)
{
	instance_t *sender = &sim->instances[from];
	uint64_t clock_ms =
		limit_turns_clock(&sender->turns, monotonic_ms(sim, sender));

	sender->sent_ms = sim->now_ms;
	for (uint32_t to = 0; to < sim->options->instances; to++) {
		instance_t *receiver = &sim->instances[to];

		if (to == from || receiver->down_until_ms > sim->now_ms ||
		    sim->deaf[to * LIMIT_SIM_INSTANCES_MAX + from] ||
		    rng_unit(&sim->rng) < sim->options->loss)
			continue;
		receiver->heard_ms[from] = monotonic_ms(sim, receiver) + 1;
		limit_turns_receive(&receiver->turns,
				    clock_ms - rng_below(&sim->rng, DELAY_MS),
				    monotonic_ms(sim, receiver));
	}
}

static void apply_faults(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->options->instances; i++) {
		instance_t *instance = &sim->instances[i];

		if (rng_unit(&sim->rng) < sim->options->restarts) {
			instance->down_until_ms = sim->now_ms + DOWN_MS;
			instance->killed = true;
		} else if (rng_unit(&sim->rng) < sim->options->freezes) {
			instance->down_until_ms = sim->now_ms + FREEZE_MS;
			instance->frozen_ms += FREEZE_MS;
		} else {
			continue;
		}
		instance->excused_until_ms =
			instance->down_until_ms + EXCUSED_MS;
	}
}

/* Position among the live ones by name, and their number. */
static limit_turn_t ranked_turn(const sim_t *sim, const instance_t *self,
				uint64_t clock_ms)
{
	limit_turn_t turn = {
		.number = clock_ms / LIMIT_TURN_MS,
		.begin_ms = monotonic_ms(sim, self) - clock_ms % LIMIT_TURN_MS,
		.instances = (uint32_t)self->live + 1,
	};
	uint32_t per_s = sim->options->limit / 1000;
	uint32_t senders = per_s < 1 ? 1 : MIN(per_s, turn.instances);
	uint64_t rank = 0;

	for (size_t i = 0; i < self->live; i++)
		rank += self->others[i] < self->name;
	turn.position =
		(uint32_t)((rank + turn.number * senders) % turn.instances);
	return turn;
}

/* One request in each own slot, whose period follows from the limit. */
static bool own_slot_allows(const sim_t *sim, instance_t *self)
{
	uint64_t period_ms = (uint64_t)(1e6 * (double)(self->live + 1) /
					sim->options->limit);
	uint64_t at_ms =
		(monotonic_ms(sim, self) + self->slot_ms) % MAX(period_ms, 1);

	if (at_ms >= SLOT_MS && period_ms > SLOT_MS)
		self->slot_used = false;
	return (at_ms < SLOT_MS || period_ms <= SLOT_MS) && !self->slot_used;
}

static bool may_send(sim_t *sim, instance_t *self)
{
	uint64_t now_ms = monotonic_ms(sim, self);
	limit_turn_t turn;

	switch (sim->division) {
	case DIVIDE_DRAWN_TURNS:
		if (!limit_turns_current(&self->turns, now_ms, &turn))
			return false;
		break;
	case DIVIDE_RANKED_TURNS:
		turn = ranked_turn(sim, self,
				   limit_turns_clock(&self->turns, now_ms));
		break;
	case DIVIDE_TIME_OF_DAY:
		turn = ranked_turn(sim, self,
				   TIME_OF_DAY_START_MS + sim->now_ms +
					   (uint64_t)self->clock_off_ms);
		break;
	default:
		return own_slot_allows(sim, self);
	}
	return endpoint_limit_allows(&self->share, sim->options->limit, &turn,
				     1, now_ms);
}

static void tick(sim_t *sim, instance_t *self)
{
	uint64_t now_ms = monotonic_ms(sim, self);

	self->tick_ms = sim->now_ms;
	self->live = 0;
	for (uint32_t i = 0; i < sim->options->instances; i++) {
		if (self->heard_ms[i] &&
		    now_ms - self->heard_ms[i] + 1 <
			    LIVE_HEARTBEATS * sim->interval_ms)
			self->others[self->live++] = sim->instances[i].name;
	}
	limit_turns_draw(&self->turns, self->name, self->others, self->live,
			 now_ms);
}

/* Sends whatever is allowed; returns how much of it counts. */
static uint32_t send_requests(sim_t *sim, instance_t *self, uint32_t *sent)
{
	uint32_t counted = 0;

	if (sim->now_ms - self->started_ms < DISCOVERY_MS)
		return 0;
	if (sim->now_ms >= self->tick_ms + TICK_MS)
		tick(sim, self);
	while (may_send(sim, self)) {
		endpoint_limit_count(&self->share);
		self->slot_used = true;
		(*sent)++;
		counted += self->excused_until_ms <= sim->now_ms;
	}
	return counted;
}

static uint32_t run_step(sim_t *sim, uint32_t *sent)
{
	uint32_t counted = 0;

	for (uint32_t i = 0; i < sim->options->instances; i++) {
		instance_t *instance = &sim->instances[i];

		if (instance->down_until_ms > sim->now_ms)
			continue;
		if (instance->killed)
			start_instance(sim, instance);
		instance->killed = false;
		instance->down_until_ms = 0;
		if (sim->now_ms >= instance->sent_ms + sim->interval_ms)
			send_heartbeat(sim, i);
		counted += send_requests(sim, instance, sent);
	}
	return counted;
}

static void init(sim_t *sim)
{
	const limit_sim_options_t *options = sim->options;
	uint32_t n = options->instances;

	sim->interval_ms = HEARTBEAT_MS;
	if (n > HEARTBEAT_FULL_RATE_MAX)
		sim->interval_ms += (n - HEARTBEAT_FULL_RATE_MAX) *
				    HEARTBEAT_PER_INSTANCE_MS;
	for (uint32_t i = 0; i < n; i++) {
		instance_t *instance = &sim->instances[i];

		instance->name = rng_next(&sim->rng);
		if (rng_unit(&sim->rng) < options->clocks_off)
			instance->clock_off_ms = (int64_t)rng_below(
				&sim->rng, options->clock_off_ms);
		start_instance(sim, instance);
		instance->sent_ms =
			sim->now_ms - rng_below(&sim->rng, sim->interval_ms);
		instance->tick_ms = sim->now_ms - rng_below(&sim->rng, TICK_MS);
		for (uint32_t j = 0; j < n; j++)
			sim->deaf[i * LIMIT_SIM_INSTANCES_MAX + j] =
				rng_unit(&sim->rng) < options->deaf_pairs;
	}
}

limit_sim_result_t limit_sim_run(const limit_sim_options_t *options,
				 limit_division_t division, uint64_t seed)
{
	sim_t sim = {
		.options = options,
		.division = division,
		.instances = g_new0(instance_t, LIMIT_SIM_INSTANCES_MAX),
		.deaf = g_new0(bool, (size_t)LIMIT_SIM_INSTANCES_MAX
					     *LIMIT_SIM_INSTANCES_MAX),
		.now_ms = RUN_MS,
	};
	uint32_t *counted = g_new0(uint32_t, STEPS);
	double allowed = 1.5 * LIMIT_SIM_WINDOW_MS / 1e6 * options->limit + 5;
	limit_sim_result_t result = { 0 };
	uint64_t last_sent_ms = sim.now_ms;
	uint32_t in_window = 0;
	uint32_t total = 0;

	rng_init(&sim.rng, seed);
	init(&sim);
	for (uint32_t step = 0; step < STEPS; step++, sim.now_ms += STEP_MS) {
		uint32_t before = total;

		if (step % (FAULT_PERIOD_MS / STEP_MS) ==
		    FAULT_PERIOD_MS / STEP_MS / 2)
			apply_faults(&sim);
		counted[step] = run_step(&sim, &total);
		in_window += counted[step];
		if (step >= LIMIT_SIM_WINDOW_MS / STEP_MS)
			in_window -=
				counted[step - LIMIT_SIM_WINDOW_MS / STEP_MS];
		result.over = MAX(result.over, in_window / allowed);
		if (total > before)
			last_sent_ms = sim.now_ms;
		result.idle_ms = MAX(result.idle_ms, sim.now_ms - last_sent_ms);
	}
	result.used = total / (options->limit * (RUN_MS / 1e6));
	g_free(sim.instances);
	g_free(sim.deaf);
	g_free(counted);
	return result;
}
