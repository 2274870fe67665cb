/* Simulates controllers of several pools under seeded fault schedules. */
#include <glib.h>
#include <string.h>

#include "process/controller.h"
#include "process/error.h"
#include "t/lib/sim.h"

enum {
	POOLS = 2,
	ENGINES_PER_POOL = 5,
	CANDIDATES = 2, /**< Instances that compete for each pool's lease. */
	READY_MIN = 3,
	FAULTS_MS = 60000,    /**< Period in which faults start. */
	CONVERGE_MS = 100000, /**< Time limit to converge after that. */
	TICK_MS = 100,
	POLL_INTERVAL_MS = 300,
	REPORT_MAX_AGE_MS = 1500,
	ORDER_MAX_MS = 4000,
	LEASE_MS = 2000, /**< Validity of a lease after each renewal. */
	SCHEDULES = 1000,
};

static const controller_settings_t settings = {
	.order_max_ms = ORDER_MAX_MS,
	.report_max_age_ms = REPORT_MAX_AGE_MS,
	.engine_retry_ms = 500,
	.store_retry_ms = 100,
	.slot_retry_ms = 300,
};

typedef struct world world_t;

typedef struct engine {
	world_t *world;
	char id[8];
	bool checks_fencing;
	bool down;
	uint64_t failed_ms; /**< Time of the last crash or restart; 0: none. */
	uint64_t fencing;
	controller_engine_state_t state;
	controller_order_t loading; /**< Order in execution; id 0: none. */
} engine_t;

/** One instance that competes for the lease of a pool. */
typedef struct candidate {
	world_t *world;
	int pool;
	int index;
	uint64_t epoch; /**< Counts restarts; earlier messages are dropped. */
	uint64_t paused_until_ms;
	uint64_t lease_until_ms;
	/** When the last result of an order to each engine was delivered. */
	uint64_t result_ms[ENGINES_PER_POOL];
	controller_t controller;
} candidate_t;

struct world {
	sim_t sim;
	bool ended;
	controller_engine_config_t desired[POOLS];
	engine_t engines[POOLS][ENGINES_PER_POOL];
	candidate_t candidates[POOLS][CANDIDATES];
	uint64_t fencing[POOLS];
	int lease_holder[POOLS]; /**< Index of the candidate; -1: none. */
	int loads;
	uint64_t load_count;
	int max_loads; /**< In the totals: schedules that reached the limit. */
	uint64_t refused;
};

typedef struct message {
	candidate_t *candidate;
	uint64_t epoch;
	controller_event_t event;
	controller_status_t status;
	controller_slots_t slots;
} message_t;

static void perform(candidate_t *candidate,
		    const controller_actions_t *actions);

static void step(candidate_t *candidate, const controller_event_t *event)
{
	controller_actions_t actions;

	controller_step(&candidate->controller, event,
			candidate->world->sim.now_ms, &actions);
	perform(candidate, &actions);
}

static uint64_t *last_result(candidate_t *candidate, const char *engine)
{
	return &candidate->result_ms[engine[1] - '0'];
}

static void deliver(void *context, uint64_t argument)
{
	message_t *message = context;
	sim_t *sim = &message->candidate->world->sim;

	(void)argument;
	if (sim->now_ms < message->candidate->paused_until_ms) {
		sim_schedule(sim,
			     message->candidate->paused_until_ms - sim->now_ms,
			     deliver, message, 0);
		return;
	}
	if (message->epoch == message->candidate->epoch) {
		if (message->event.kind == CONTROLLER_EVENT_STATUS)
			message->event.status.value = &message->status;
		if (message->event.kind == CONTROLLER_EVENT_SLOTS)
			message->event.slots.value = &message->slots;
		if (message->event.kind == CONTROLLER_EVENT_RESULT)
			*last_result(message->candidate,
				     message->event.result.engine) =
				sim->now_ms;
		step(message->candidate, &message->event);
	}
	g_free(message);
}

static message_t *new_message(candidate_t *candidate,
			      controller_event_kind_t kind)
{
	message_t *message = g_new0(message_t, 1);

	message->candidate = candidate;
	message->epoch = candidate->epoch;
	message->event.kind = kind;
	return message;
}

/** `argument`: epoch << 33 | call id << 1 | 1 for slots, 0 for status. */
static void on_store_answer(void *context, uint64_t argument,
			    const sim_answer_t *answer)
{
	bool slots = argument & 1;
	message_t *message =
		new_message(context, slots ? CONTROLLER_EVENT_SLOTS
					   : CONTROLLER_EVENT_STATUS);

	message->epoch = argument >> 33;
	message->event.call_id = (uint32_t)(argument >> 1);
	message->event.status.result = answer->result;
	message->event.status.version = answer->version;
	if (slots) {
		message->event.slots.result = answer->result;
		message->event.slots.version = answer->version;
	}
	if (answer->value && slots)
		message->slots = *(const controller_slots_t *)answer->value;
	else if (answer->value)
		message->status = *(const controller_status_t *)answer->value;
	sim_schedule(&message->candidate->world->sim, 0, deliver, message, 0);
}

/* ---- Engines ---- */

static engine_t *find_engine(world_t *world, const char *id)
{
	return &world->engines[id[0] - 'a'][id[1] - '0'];
}

/** Whether reports may still show the engine as ready, even if it failed. */
static bool may_count_as_ready(const engine_t *engine)
{
	uint64_t lag_ms = REPORT_MAX_AGE_MS + ORDER_MAX_MS;

	return (!engine->down && engine->state.loaded.model[0] &&
		!engine->loading.id) ||
	       (engine->failed_ms &&
		engine->world->sim.now_ms - engine->failed_ms < lag_ms);
}

/** An order takes an engine out of service: READY_MIN others must remain. */
static void check_ready_min(const engine_t *engine)
{
	const world_t *world = engine->world;
	const engine_t *pool = world->engines[engine->id[0] - 'a'];
	int ready = 0;

	if (!engine->state.loaded.model[0])
		return;
	for (int i = 0; i < ENGINES_PER_POOL; i++)
		ready += &pool[i] != engine && may_count_as_ready(&pool[i]);
	g_assert_cmpint(ready, >=, READY_MIN);
}

static void answer_order(candidate_t *candidate, uint64_t epoch,
			 const controller_order_t *order,
			 controller_order_result_t result)
{
	message_t *message = new_message(candidate, CONTROLLER_EVENT_RESULT);

	message->epoch = epoch;
	message->event.result.order_id = order->id;
	message->event.result.engine =
		find_engine(candidate->world, order->engine)->id;
	message->event.result.result = result;
	sim_schedule(&candidate->world->sim,
		     1 + rng_below(&candidate->world->sim.rng, 100), deliver,
		     message, 0);
}

typedef struct order_delivery {
	candidate_t *candidate;
	uint64_t epoch;
	uint64_t fencing;
	uint64_t incarnation;
	controller_order_t order;
} order_delivery_t;

static void end_load(engine_t *engine)
{
	if (engine->loading.id && engine->loading.kind != CONTROLLER_SET_ROLE)
		engine->world->loads--;
	engine->loading.id = 0;
}

static void apply_order(engine_t *engine, const controller_order_t *order)
{
	controller_engine_config_t *loaded = &engine->state.loaded;

	switch (order->kind) {
	case CONTROLLER_LOAD_MODEL:
		memcpy(loaded->model, order->target.model,
		       sizeof(loaded->model));
		memcpy(loaded->version, order->target.version,
		       sizeof(loaded->version));
		loaded->adapter[0] = '\0';
		break;
	case CONTROLLER_LOAD_ADAPTER:
		memcpy(loaded->adapter, order->target.adapter,
		       sizeof(loaded->adapter));
		break;
	case CONTROLLER_SET_ROLE:
		memcpy(loaded->role, order->target.role, sizeof(loaded->role));
		break;
	}
	engine->state.last_order_id = order->id;
}

static void on_order_completed(void *context, uint64_t argument)
{
	order_delivery_t *delivery = context;
	engine_t *engine =
		find_engine(delivery->candidate->world, delivery->order.engine);

	(void)argument;
	/* After a crash or restart, the load has ended already. */
	if (engine->state.incarnation == delivery->incarnation) {
		end_load(engine);
		apply_order(engine, &delivery->order);
		if (!sim_chance(&engine->world->sim, 15))
			answer_order(delivery->candidate, delivery->epoch,
				     &delivery->order, CONTROLLER_RESULT_DONE);
	}
	g_free(delivery);
}

static void on_order_received(void *context, uint64_t argument)
{
	order_delivery_t *delivery = context;
	world_t *world = delivery->candidate->world;
	engine_t *engine = find_engine(world, delivery->order.engine);
	uint64_t duration_ms = 20;

	(void)argument;
	if (engine->down) {
		g_free(delivery);
		return;
	}
	if ((engine->checks_fencing && delivery->fencing < engine->fencing) ||
	    engine->loading.id) {
		world->refused++;
		answer_order(delivery->candidate, delivery->epoch,
			     &delivery->order, CONTROLLER_RESULT_REFUSED);
		g_free(delivery);
		return;
	}
	/*
	 * An engine that was empty when the order was issued may have restarted
	 * with a model since; the lease holder could not count it as ready.
	 */
	if (engine->state.incarnation == delivery->incarnation)
		check_ready_min(engine);
	engine->fencing = delivery->fencing;
	engine->loading = delivery->order;
	if (delivery->order.kind != CONTROLLER_SET_ROLE) {
		duration_ms = 600 + rng_below(&world->sim.rng, 900);
		world->load_count++;
		world->loads++;
		world->max_loads = MAX(world->max_loads, world->loads);
		g_assert_cmpint(world->loads, <=, CONTROLLER_LOADS_MAX);
	}
	delivery->incarnation = engine->state.incarnation;
	sim_schedule(&world->sim, duration_ms, on_order_completed, delivery, 0);
}

static void on_report_received(void *context, uint64_t argument)
{
	deliver(context, argument);
}

/** Polls every engine of the pool for its state; answers may be late. */
static void poll_engine_states(void *context, uint64_t argument)
{
	candidate_t *candidate = context;
	world_t *world = candidate->world;
	sim_t *sim = &world->sim;

	(void)argument;
	if (world->ended)
		return;
	for (int i = 0; i < ENGINES_PER_POOL; i++) {
		engine_t *engine = &world->engines[candidate->pool][i];
		message_t *message;

		if (engine->down || sim_chance(sim, 10))
			continue;
		message = new_message(candidate, CONTROLLER_EVENT_REPORT);
		message->event.report.engine = engine->id;
		message->event.report.polled_ms = sim->now_ms;
		message->event.report.state = engine->state;
		sim_schedule(sim, 1 + rng_below(&sim->rng, 400),
			     on_report_received, message, 0);
	}
	sim_schedule(sim, POLL_INTERVAL_MS, poll_engine_states, candidate, 0);
}

/** `down`: 1 crashes the engine, 0 restarts it, empty or with weights v0. */
static void set_engine_down(void *context, uint64_t down)
{
	engine_t *engine = context;
	controller_engine_config_t *loaded = &engine->state.loaded;

	if (engine->world->ended)
		down = 0;
	/* An engine that restarts without an outage counted as ready. */
	if (!engine->down)
		engine->failed_ms = engine->world->sim.now_ms;
	engine->down = down;
	end_load(engine);
	engine->state.incarnation++;
	engine->state.last_order_id = 0;
	if (down)
		return;
	memset(loaded, 0, sizeof(*loaded));
	if (sim_chance(&engine->world->sim, 50)) {
		g_strlcpy(loaded->model, "m", sizeof(loaded->model));
		g_strlcpy(loaded->version, "v0", sizeof(loaded->version));
	}
}

/* ---- Candidates ---- */

/** An order must not go by a report from before the end of the last one. */
static void check_report(candidate_t *candidate, const char *engine)
{
	const controller_t *controller = &candidate->controller;

	for (size_t i = 0; i < controller->engine_count; i++) {
		if (!strcmp(controller->engines[i].id, engine))
			g_assert_cmpuint(controller->engines[i].polled_ms, >,
					 *last_result(candidate, engine));
	}
}

static void perform(candidate_t *candidate, const controller_actions_t *actions)
{
	sim_t *sim = &candidate->world->sim;
	char status_key[32];

	g_snprintf(status_key, sizeof(status_key), "status/pool/%d",
		   candidate->pool);
	for (size_t i = 0; i < actions->count; i++) {
		const controller_action_t *action = &actions->items[i];
		uint64_t argument =
			candidate->epoch << 33 | (uint64_t)action->call_id << 1;
		order_delivery_t *delivery;

		switch (action->kind) {
		case CONTROLLER_ACTION_READ_STATUS:
			sim_read(sim, status_key, on_store_answer, candidate,
				 argument);
			break;
		case CONTROLLER_ACTION_WRITE_STATUS:
			sim_write(sim, status_key, action->if_version,
				  &action->status, sizeof(action->status),
				  on_store_answer, candidate, argument);
			break;
		case CONTROLLER_ACTION_READ_SLOTS:
			sim_read(sim, "slots/w", on_store_answer, candidate,
				 argument | 1);
			break;
		case CONTROLLER_ACTION_WRITE_SLOTS:
			sim_write(sim, "slots/w", action->if_version,
				  &action->slots, sizeof(action->slots),
				  on_store_answer, candidate, argument | 1);
			break;
		case CONTROLLER_ACTION_ISSUE:
			g_assert_cmpuint(sim->now_ms, <,
					 candidate->lease_until_ms);
			check_report(candidate, action->issue.order.engine);
			/* The call may time out before the engine ends. */
			if (sim_chance(sim, 30))
				answer_order(candidate, candidate->epoch,
					     &action->issue.order,
					     CONTROLLER_RESULT_UNKNOWN);
			if (sim_chance(sim, 5))
				break;
			delivery = g_new0(order_delivery_t, 1);
			delivery->candidate = candidate;
			delivery->epoch = candidate->epoch;
			delivery->fencing = action->issue.fencing;
			delivery->order = action->issue.order;
			delivery->incarnation =
				find_engine(candidate->world,
					    delivery->order.engine)
					->state.incarnation;
			sim_schedule(sim, 1 + rng_below(&sim->rng, 1500),
				     on_order_received, delivery, 0);
			break;
		}
	}
}

static void configure(world_t *world, int pool)
{
	for (int h = 0; h < CANDIDATES; h++) {
		controller_engine_spec_t specs[ENGINES_PER_POOL];

		for (int i = 0; i < ENGINES_PER_POOL; i++) {
			specs[i].id = world->engines[pool][i].id;
			specs[i].checks_fencing =
				world->engines[pool][i].checks_fencing;
		}
		g_assert_cmpint(controller_configure(
					&world->candidates[pool][h].controller,
					&world->desired[pool], READY_MIN, specs,
					ENGINES_PER_POOL),
				==, 0);
	}
}

static void tick(void *context, uint64_t argument)
{
	candidate_t *candidate = context;
	world_t *world = candidate->world;
	controller_event_t event = { .kind = CONTROLLER_EVENT_TICK };

	(void)argument;
	if (world->ended)
		return;
	sim_schedule(&world->sim, TICK_MS, tick, candidate, 0);
	if (world->sim.now_ms < candidate->paused_until_ms)
		return;
	if (world->lease_holder[candidate->pool] == candidate->index) {
		/* Not reached while paused, so that the lease expires. */
		candidate->lease_until_ms = world->sim.now_ms + LEASE_MS;
		event.kind = CONTROLLER_EVENT_LEASE;
		event.lease.fencing = world->fencing[candidate->pool];
		event.lease.valid_until_ms = candidate->lease_until_ms;
	}
	step(candidate, &event);
}

static void acquire_lease(void *context, uint64_t candidate_index)
{
	candidate_t *candidate = context;
	world_t *world = candidate->world;
	candidate_t *next =
		&world->candidates[candidate->pool][candidate_index];

	if (world->ended)
		return;
	world->fencing[next->pool]++;
	world->lease_holder[next->pool] = next->index;
}

/** Moves the lease after the last holder's validity has certainly ended. */
static void lose_lease(void *context, uint64_t pool)
{
	world_t *world = context;
	int last = world->lease_holder[pool];

	if (last < 0)
		return;
	world->lease_holder[pool] = -1;
	sim_schedule(&world->sim, LEASE_MS + 500, acquire_lease,
		     &world->candidates[pool][last],
		     rng_below(&world->sim.rng, CANDIDATES));
}

static void restart_candidate(void *context, uint64_t argument)
{
	candidate_t *candidate = context;
	char pool[8];

	(void)argument;
	if (candidate->world->lease_holder[candidate->pool] == candidate->index)
		lose_lease(candidate->world, (uint64_t)candidate->pool);
	candidate->epoch++;
	memset(candidate->result_ms, 0, sizeof(candidate->result_ms));
	g_snprintf(pool, sizeof(pool), "%d", candidate->pool);
	controller_init(&candidate->controller, pool, &settings);
	configure(candidate->world, candidate->pool);
}

/** Pauses a candidate; if it holds the lease, the lease moves meanwhile. */
static void pause_candidate(void *context, uint64_t duration_ms)
{
	candidate_t *candidate = context;

	candidate->paused_until_ms = candidate->world->sim.now_ms + duration_ms;
	if (candidate->world->lease_holder[candidate->pool] == candidate->index)
		lose_lease(candidate->world, (uint64_t)candidate->pool);
}

/** Changes a pool's desired state. `argument`: pool << 8 | version number. */
static void change_desired(void *context, uint64_t argument)
{
	world_t *world = context;
	controller_engine_config_t *desired = &world->desired[argument >> 8];

	g_snprintf(desired->version, sizeof(desired->version), "v%d",
		   (int)(argument & 0xff));
	g_strlcpy(desired->adapter, argument & 1 ? "a" : "",
		  sizeof(desired->adapter));
	configure(world, (int)(argument >> 8));
}

static void set_store_down(void *context, uint64_t down)
{
	((world_t *)context)->sim.store_down = down;
}

static void start_pool(world_t *world, int pool)
{
	controller_engine_config_t *desired = &world->desired[pool];

	g_strlcpy(desired->model, "m", sizeof(desired->model));
	g_strlcpy(desired->version, "v1", sizeof(desired->version));
	g_strlcpy(desired->role, "both", sizeof(desired->role));
	for (int i = 0; i < ENGINES_PER_POOL; i++) {
		engine_t *engine = &world->engines[pool][i];

		engine->world = world;
		g_snprintf(engine->id, sizeof(engine->id), "%c%d", 'a' + pool,
			   i);
		engine->checks_fencing = sim_chance(&world->sim, 50);
		engine->state.incarnation = 1;
		if (sim_chance(&world->sim, 80))
			engine->state.loaded = *desired;
	}
	world->lease_holder[pool] = -1;
	for (int h = 0; h < CANDIDATES; h++) {
		candidate_t *candidate = &world->candidates[pool][h];

		candidate->world = world;
		candidate->pool = pool;
		candidate->index = h;
		restart_candidate(candidate, 0);
		sim_schedule(&world->sim, 0, tick, candidate, 0);
		sim_schedule(&world->sim, 0, poll_engine_states, candidate, 0);
	}
	sim_schedule(&world->sim, 0, acquire_lease, &world->candidates[pool][0],
		     0);
}

static void schedule_faults(world_t *world, int pool)
{
	sim_t *sim = &world->sim;
	rng_t *rng = &sim->rng;

	for (int h = 0; h < CANDIDATES; h++) {
		candidate_t *candidate = &world->candidates[pool][h];

		for (int i = 0; i < 3; i++)
			sim_schedule(sim, rng_below(rng, FAULTS_MS),
				     pause_candidate, candidate,
				     rng_below(rng, 8000));
		sim_schedule(sim, rng_below(rng, FAULTS_MS), restart_candidate,
			     candidate, 0);
	}
	for (int i = 0; i < 3; i++) {
		engine_t *engine =
			&world->engines[pool][rng_below(rng, ENGINES_PER_POOL)];
		uint64_t at_ms = rng_below(rng, FAULTS_MS);

		sim_schedule(sim, at_ms, set_engine_down, engine, 1);
		sim_schedule(sim, at_ms + 500 + rng_below(rng, 10000),
			     set_engine_down, engine, 0);
		sim_schedule(sim, rng_below(rng, FAULTS_MS), change_desired,
			     world, (uint64_t)pool << 8 | (uint64_t)(i + 2));
	}
}

/** Finds an engine that differs from its pool's desired state, or NULL. */
static const engine_t *find_unconverged(const world_t *world)
{
	for (int p = 0; p < POOLS; p++) {
		for (int i = 0; i < ENGINES_PER_POOL; i++) {
			const engine_t *engine = &world->engines[p][i];

			if (memcmp(&engine->state.loaded, &world->desired[p],
				   sizeof(controller_engine_config_t)) != 0)
				return engine;
		}
	}
	return NULL;
}

/** Runs on after the faults until every engine has the desired state. */
static void run_until_converged(world_t *world, uint64_t check_ms,
				uint64_t deadline_ms)
{
	const engine_t *engine;

	for (;;) {
		while (sim_run_one(&world->sim, check_ms))
			;
		engine = find_unconverged(world);
		if (!engine)
			return;
		if (check_ms >= deadline_ms)
			g_error("engine %s did not converge: version '%s', adapter '%s'",
				engine->id, engine->state.loaded.version,
				engine->state.loaded.adapter);
		check_ms += 1000;
	}
}

static void run_schedule(uint64_t seed, world_t *totals)
{
	static const sim_faults_t faults = { .lose_request = 2,
					     .lose_answer = 6,
					     .late_effect = 4,
					     .repeat_answer = 10,
					     .delay_max_ms = 40 };
	world_t *world = g_new0(world_t, 1);
	uint64_t deadline_ms;
	uint64_t outage_ms;

	sim_init(&world->sim, seed, &faults);
	deadline_ms = world->sim.now_ms + FAULTS_MS + CONVERGE_MS;
	outage_ms = rng_below(&world->sim.rng, FAULTS_MS);
	for (int p = 0; p < POOLS; p++) {
		start_pool(world, p);
		schedule_faults(world, p);
	}
	sim_schedule(&world->sim, outage_ms, set_store_down, world, 1);
	sim_schedule(&world->sim, outage_ms + 5000, set_store_down, world, 0);
	/* Engine and store outages may last until 11 s after FAULTS_MS. */
	run_until_converged(world, deadline_ms - CONVERGE_MS + 11000,
			    deadline_ms);
	world->ended = true;
	while (sim_run_one(&world->sim, UINT64_MAX))
		;
	totals->load_count += world->load_count;
	totals->refused += world->refused;
	totals->max_loads += world->max_loads == CONTROLLER_LOADS_MAX;
	sim_clear(&world->sim);
	g_free(world);
}

/*
 * Guards against more than CONTROLLER_LOADS_MAX loads at a weight store that
 * two pools share, fewer than ready_min engines in service, an order issued
 * without a valid lease, and engines that never reach the desired state.
 */
static void test_schedules(void)
{
	world_t *totals = g_new0(world_t, 1);
	uint64_t first;
	uint64_t last;

	sim_seed_range(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, totals);
	}
	g_print("# loads %" G_GUINT64_FORMAT ", refused orders "
		"%" G_GUINT64_FORMAT ", schedules with two loads at once %d\n",
		totals->load_count, totals->refused, totals->max_loads);
	/* With few loads, or never two at once, the checks prove nothing. */
	g_assert_cmpuint(totals->load_count, >, 10 * (last - first + 1));
	g_assert_cmpint(totals->max_loads, >, (int)(last - first) / 2);
	g_free(totals);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller/schedules", test_schedules);
	return g_test_run();
}
