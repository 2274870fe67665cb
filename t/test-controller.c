/* Engine orders of several pools: seeded schedules with faults. */
#include <glib.h>
#include <string.h>

#include "process/controller.h"
#include "process/error.h"
#include "t/lib/sim.h"

enum {
	POOLS = 2,
	ENGINES = 5, /**< Of each pool. */
	HOLDERS = 2, /**< Instances that take turns at each pool. */
	READY_MIN = 3,
	RUN_MS = 60000,
	SETTLE_MS = 100000,
	TICK_MS = 100,
	REPORT_MS = 300,
	REPORT_AGE_MS = 1500,
	ORDER_MAX_MS = 4000,
	LEASE_MS = 2000, /**< Validity that the test's lease grants. */
	SCHEDULES = 1000,
};

static const controller_settings_t settings = {
	.order_max_ms = ORDER_MAX_MS,
	.report_max_age_ms = REPORT_AGE_MS,
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
	uint64_t failed_ms; /**< Last crash. */
	uint64_t fencing;
	controller_state_t state;
	controller_order_t loading; /**< Order id 0: none. */
} engine_t;

/** One instance that may hold the lease of a pool. */
typedef struct holder {
	world_t *world;
	int pool;
	int index;
	uint64_t epoch;
	uint64_t paused_until_ms;
	uint64_t lease_until_ms;
	controller_t controller;
} holder_t;

struct world {
	sim_t sim;
	bool ended;
	controller_target_t desired[POOLS];
	engine_t engines[POOLS][ENGINES];
	holder_t holders[POOLS][HOLDERS];
	uint64_t fencing[POOLS];
	int holding[POOLS];
	int loads;
	uint64_t load_count;
	int loads_peak;
	uint64_t refused;
};

typedef struct message {
	holder_t *holder;
	uint64_t epoch;
	controller_event_t event;
	controller_status_t status;
	controller_slots_t slots;
} message_t;

static void perform(holder_t *holder, const controller_actions_t *actions);

static void step(holder_t *holder, const controller_event_t *event)
{
	controller_actions_t actions;

	controller_step(&holder->controller, event, holder->world->sim.now_ms,
			&actions);
	perform(holder, &actions);
}

static void deliver(void *context, uint64_t argument)
{
	message_t *m = context;
	sim_t *sim = &m->holder->world->sim;

	(void)argument;
	if (sim->now_ms < m->holder->paused_until_ms) {
		sim_after(sim, m->holder->paused_until_ms - sim->now_ms,
			  deliver, m, 0);
		return;
	}
	if (m->epoch == m->holder->epoch) {
		if (m->event.kind == CONTROLLER_EVENT_STATUS)
			m->event.status.value = &m->status;
		if (m->event.kind == CONTROLLER_EVENT_SLOTS)
			m->event.slots.value = &m->slots;
		step(m->holder, &m->event);
	}
	g_free(m);
}

static message_t *new_message(holder_t *holder, controller_event_kind_t kind)
{
	message_t *m = g_new0(message_t, 1);

	m->holder = holder;
	m->epoch = holder->epoch;
	m->event.kind = kind;
	return m;
}

/** `argument`: epoch, call, and whether it is about the slots. */
static void store_answered(void *context, uint64_t argument,
			   const sim_answer_t *answer)
{
	bool slots = argument & 1;
	message_t *m = new_message(context, slots ? CONTROLLER_EVENT_SLOTS
						  : CONTROLLER_EVENT_STATUS);

	m->epoch = argument >> 33;
	m->event.call = (uint32_t)(argument >> 1);
	m->event.status.result = answer->result;
	m->event.status.version = answer->version;
	if (slots) {
		m->event.slots.result = answer->result;
		m->event.slots.version = answer->version;
	}
	if (answer->value && slots)
		m->slots = *(const controller_slots_t *)answer->value;
	else if (answer->value)
		m->status = *(const controller_status_t *)answer->value;
	sim_after(&m->holder->world->sim, 0, deliver, m, 0);
}

/* ---- Engines ---- */

static engine_t *find_engine(world_t *world, const char *id)
{
	return &world->engines[id[0] - 'a'][id[1] - '0'];
}

static bool may_have_looked_ready(const engine_t *engine)
{
	uint64_t lag_ms = REPORT_AGE_MS + ORDER_MAX_MS;

	return (!engine->down && engine->state.holds.model[0] &&
		!engine->loading.id) ||
	       (engine->failed_ms &&
		engine->world->sim.now_ms - engine->failed_ms < lag_ms);
}

/** An order takes an engine out of service: enough others must remain. */
static void check_ready_min(const engine_t *engine)
{
	const world_t *world = engine->world;
	const engine_t *pool = world->engines[engine->id[0] - 'a'];
	int ready = 0;

	if (!engine->state.holds.model[0])
		return;
	for (int i = 0; i < ENGINES; i++)
		ready += &pool[i] != engine && may_have_looked_ready(&pool[i]);
	g_assert_cmpint(ready, >=, READY_MIN);
}

static void answer_order(holder_t *holder, uint64_t epoch, uint64_t order_id,
			 controller_result_t result)
{
	message_t *m = new_message(holder, CONTROLLER_EVENT_RESULT);

	m->epoch = epoch;
	m->event.result.order_id = order_id;
	m->event.result.result = result;
	sim_after(&holder->world->sim,
		  1 + rng_below(&holder->world->sim.rng, 100), deliver, m, 0);
}

typedef struct delivery {
	holder_t *holder;
	uint64_t epoch;
	uint64_t fencing;
	uint64_t incarnation;
	controller_order_t order;
} delivery_t;

static void end_load(engine_t *engine)
{
	if (engine->loading.id && engine->loading.kind != CONTROLLER_SET_ROLE)
		engine->world->loads--;
	engine->loading.id = 0;
}

static void apply_order(engine_t *engine, const controller_order_t *order)
{
	controller_target_t *holds = &engine->state.holds;

	switch (order->kind) {
	case CONTROLLER_LOAD_MODEL:
		memcpy(holds->model, order->target.model, sizeof(holds->model));
		memcpy(holds->version, order->target.version,
		       sizeof(holds->version));
		holds->adapter[0] = '\0';
		break;
	case CONTROLLER_LOAD_ADAPTER:
		memcpy(holds->adapter, order->target.adapter,
		       sizeof(holds->adapter));
		break;
	case CONTROLLER_SET_ROLE:
		memcpy(holds->role, order->target.role, sizeof(holds->role));
		break;
	}
	engine->state.last_order_id = order->id;
}

static void order_done(void *context, uint64_t argument)
{
	delivery_t *d = context;
	engine_t *engine = find_engine(d->holder->world, d->order.engine);

	(void)argument;
	/* A crash since then has ended the load already. */
	if (engine->state.incarnation == d->incarnation) {
		end_load(engine);
		apply_order(engine, &d->order);
		if (!sim_chance(&engine->world->sim, 15))
			answer_order(d->holder, d->epoch, d->order.id,
				     CONTROLLER_RESULT_DONE);
	}
	g_free(d);
}

static void order_arrives(void *context, uint64_t argument)
{
	delivery_t *d = context;
	world_t *world = d->holder->world;
	engine_t *engine = find_engine(world, d->order.engine);
	uint64_t duration_ms = 20;

	(void)argument;
	if (engine->down) {
		g_free(d);
		return;
	}
	if ((engine->checks_fencing && d->fencing < engine->fencing) ||
	    engine->loading.id) {
		world->refused++;
		answer_order(d->holder, d->epoch, d->order.id,
			     CONTROLLER_RESULT_REFUSED);
		g_free(d);
		return;
	}
	/*
	 * An engine that was empty when the order was issued may have come
	 * back with weights; its holder could not count it as ready.
	 */
	if (engine->state.incarnation == d->incarnation)
		check_ready_min(engine);
	engine->fencing = d->fencing;
	engine->loading = d->order;
	if (d->order.kind != CONTROLLER_SET_ROLE) {
		duration_ms = 600 + rng_below(&world->sim.rng, 900);
		world->load_count++;
		world->loads++;
		world->loads_peak = MAX(world->loads_peak, world->loads);
		g_assert_cmpint(world->loads, <=, CONTROLLER_LOADS_MAX);
	}
	d->incarnation = engine->state.incarnation;
	sim_after(&world->sim, duration_ms, order_done, d, 0);
}

static void report_arrives(void *context, uint64_t argument)
{
	deliver(context, argument);
}

/** Asks every engine of the pool for its state; answers may be late. */
static void poll_engines(void *context, uint64_t argument)
{
	holder_t *holder = context;
	world_t *world = holder->world;
	sim_t *sim = &world->sim;

	(void)argument;
	if (world->ended)
		return;
	for (int i = 0; i < ENGINES; i++) {
		engine_t *engine = &world->engines[holder->pool][i];
		message_t *m;

		if (engine->down || sim_chance(sim, 10))
			continue;
		m = new_message(holder, CONTROLLER_EVENT_REPORT);
		m->event.report.engine = engine->id;
		m->event.report.asked_ms = sim->now_ms;
		m->event.report.state = engine->state;
		sim_after(sim, 1 + rng_below(&sim->rng, 400), report_arrives, m,
			  0);
	}
	sim_after(sim, REPORT_MS, poll_engines, holder, 0);
}

/** 1 crashes, 0 returns empty or with the weights of its start. */
static void switch_engine(void *context, uint64_t down)
{
	engine_t *engine = context;
	controller_target_t *holds = &engine->state.holds;

	if (engine->world->ended)
		down = 0;
	/* Also an engine that restarts at once looked ready until now. */
	if (!engine->down)
		engine->failed_ms = engine->world->sim.now_ms;
	engine->down = down;
	end_load(engine);
	engine->state.incarnation++;
	engine->state.last_order_id = 0;
	if (down)
		return;
	memset(holds, 0, sizeof(*holds));
	if (sim_chance(&engine->world->sim, 50)) {
		g_strlcpy(holds->model, "m", sizeof(holds->model));
		g_strlcpy(holds->version, "v0", sizeof(holds->version));
	}
}

/* ---- Holders ---- */

static void perform(holder_t *holder, const controller_actions_t *actions)
{
	sim_t *sim = &holder->world->sim;
	char status_key[32];

	g_snprintf(status_key, sizeof(status_key), "status/pool/%d",
		   holder->pool);
	for (size_t i = 0; i < actions->count; i++) {
		const controller_action_t *a = &actions->items[i];
		uint64_t argument = holder->epoch << 33 | (uint64_t)a->call
								  << 1;
		delivery_t *d;

		switch (a->kind) {
		case CONTROLLER_ACTION_READ_STATUS:
			sim_read(sim, status_key, store_answered, holder,
				 argument);
			break;
		case CONTROLLER_ACTION_WRITE_STATUS:
			sim_write(sim, status_key, a->if_version, &a->status,
				  sizeof(a->status), store_answered, holder,
				  argument);
			break;
		case CONTROLLER_ACTION_READ_SLOTS:
			sim_read(sim, "slots/w", store_answered, holder,
				 argument | 1);
			break;
		case CONTROLLER_ACTION_WRITE_SLOTS:
			sim_write(sim, "slots/w", a->if_version, &a->slots,
				  sizeof(a->slots), store_answered, holder,
				  argument | 1);
			break;
		case CONTROLLER_ACTION_ISSUE:
			g_assert_cmpuint(sim->now_ms, <,
					 holder->lease_until_ms);
			/* The client may give up long before the engine. */
			if (sim_chance(sim, 30))
				answer_order(holder, holder->epoch,
					     a->issue.order.id,
					     CONTROLLER_RESULT_UNKNOWN);
			if (sim_chance(sim, 5))
				break;
			d = g_new0(delivery_t, 1);
			d->holder = holder;
			d->epoch = holder->epoch;
			d->fencing = a->issue.fencing;
			d->order = a->issue.order;
			d->incarnation =
				find_engine(holder->world, d->order.engine)
					->state.incarnation;
			sim_after(sim, 1 + rng_below(&sim->rng, 1500),
				  order_arrives, d, 0);
			break;
		}
	}
}

static void configure(world_t *world, int pool)
{
	for (int h = 0; h < HOLDERS; h++) {
		controller_member_t members[ENGINES];

		for (int i = 0; i < ENGINES; i++) {
			members[i].id = world->engines[pool][i].id;
			members[i].checks_fencing =
				world->engines[pool][i].checks_fencing;
		}
		g_assert_cmpint(controller_configure(
					&world->holders[pool][h].controller,
					&world->desired[pool], READY_MIN,
					members, ENGINES),
				==, 0);
	}
}

static void tick(void *context, uint64_t argument)
{
	holder_t *holder = context;
	world_t *world = holder->world;
	controller_event_t event = { .kind = CONTROLLER_EVENT_TICK };

	(void)argument;
	if (world->ended)
		return;
	sim_after(&world->sim, TICK_MS, tick, holder, 0);
	if (world->sim.now_ms < holder->paused_until_ms)
		return;
	if (world->holding[holder->pool] == holder->index) {
		/* A paused holder cannot renew, so its validity ends. */
		holder->lease_until_ms = world->sim.now_ms + LEASE_MS;
		event.kind = CONTROLLER_EVENT_LEASE;
		event.lease.fencing = world->fencing[holder->pool];
		event.lease.valid_until_ms = holder->lease_until_ms;
	}
	step(holder, &event);
}

static void take_over(void *context, uint64_t holder_index)
{
	holder_t *holder = context;
	world_t *world = holder->world;
	holder_t *next = &world->holders[holder->pool][holder_index];

	if (world->ended)
		return;
	world->fencing[next->pool]++;
	world->holding[next->pool] = next->index;
}

/** The lease moves once the last holder's validity has ended for sure. */
static void lose_lease(void *context, uint64_t pool)
{
	world_t *world = context;
	int last = world->holding[pool];

	if (last < 0)
		return;
	world->holding[pool] = -1;
	sim_after(&world->sim, LEASE_MS + 500, take_over,
		  &world->holders[pool][last],
		  rng_below(&world->sim.rng, HOLDERS));
}

static void restart_holder(void *context, uint64_t argument)
{
	holder_t *holder = context;
	char pool[8];

	(void)argument;
	if (holder->world->holding[holder->pool] == holder->index)
		lose_lease(holder->world, (uint64_t)holder->pool);
	holder->epoch++;
	g_snprintf(pool, sizeof(pool), "%d", holder->pool);
	controller_init(&holder->controller, pool, &settings);
	configure(holder->world, holder->pool);
}

/** A pause beyond the lease, during which the lease moves. */
static void pause_holder(void *context, uint64_t duration_ms)
{
	holder_t *holder = context;

	holder->paused_until_ms = holder->world->sim.now_ms + duration_ms;
	if (holder->world->holding[holder->pool] == holder->index)
		lose_lease(holder->world, (uint64_t)holder->pool);
}

static void roll_out(void *context, uint64_t argument)
{
	world_t *world = context;
	controller_target_t *desired = &world->desired[argument >> 8];

	g_snprintf(desired->version, sizeof(desired->version), "v%d",
		   (int)(argument & 0xff));
	g_strlcpy(desired->adapter, argument & 1 ? "a" : "",
		  sizeof(desired->adapter));
	configure(world, (int)(argument >> 8));
}

static void switch_store(void *context, uint64_t down)
{
	((world_t *)context)->sim.store_down = down;
}

static void start_pool(world_t *world, int pool)
{
	controller_target_t *desired = &world->desired[pool];

	g_strlcpy(desired->model, "m", sizeof(desired->model));
	g_strlcpy(desired->version, "v1", sizeof(desired->version));
	g_strlcpy(desired->role, "both", sizeof(desired->role));
	for (int i = 0; i < ENGINES; i++) {
		engine_t *engine = &world->engines[pool][i];

		engine->world = world;
		g_snprintf(engine->id, sizeof(engine->id), "%c%d", 'a' + pool,
			   i);
		engine->checks_fencing = sim_chance(&world->sim, 50);
		engine->state.incarnation = 1;
		if (sim_chance(&world->sim, 80))
			engine->state.holds = *desired;
	}
	world->holding[pool] = -1;
	for (int h = 0; h < HOLDERS; h++) {
		holder_t *holder = &world->holders[pool][h];

		holder->world = world;
		holder->pool = pool;
		holder->index = h;
		restart_holder(holder, 0);
		sim_after(&world->sim, 0, tick, holder, 0);
		sim_after(&world->sim, 0, poll_engines, holder, 0);
	}
	sim_after(&world->sim, 0, take_over, &world->holders[pool][0], 0);
}

static void plan_faults(world_t *world, int pool)
{
	sim_t *sim = &world->sim;
	rng_t *rng = &sim->rng;

	for (int h = 0; h < HOLDERS; h++) {
		holder_t *holder = &world->holders[pool][h];

		for (int i = 0; i < 3; i++)
			sim_after(sim, rng_below(rng, RUN_MS), pause_holder,
				  holder, rng_below(rng, 8000));
		sim_after(sim, rng_below(rng, RUN_MS), restart_holder, holder,
			  0);
	}
	for (int i = 0; i < 3; i++) {
		engine_t *engine =
			&world->engines[pool][rng_below(rng, ENGINES)];
		uint64_t at_ms = rng_below(rng, RUN_MS);

		sim_after(sim, at_ms, switch_engine, engine, 1);
		sim_after(sim, at_ms + 500 + rng_below(rng, 10000),
			  switch_engine, engine, 0);
		sim_after(sim, rng_below(rng, RUN_MS), roll_out, world,
			  (uint64_t)pool << 8 | (uint64_t)(i + 2));
	}
}

/** An engine that does not hold what its pool wants, or NULL. */
static const engine_t *find_unsettled(const world_t *world)
{
	for (int p = 0; p < POOLS; p++) {
		for (int i = 0; i < ENGINES; i++) {
			const engine_t *engine = &world->engines[p][i];

			if (memcmp(&engine->state.holds, &world->desired[p],
				   sizeof(controller_target_t)) != 0)
				return engine;
		}
	}
	return NULL;
}

/** Runs on after the faults until every engine holds the desired state. */
static void settle(world_t *world, uint64_t until_ms, uint64_t end_ms)
{
	const engine_t *engine;

	for (;;) {
		while (sim_run_one(&world->sim, until_ms))
			;
		engine = find_unsettled(world);
		if (!engine)
			return;
		if (until_ms >= end_ms)
			g_error("engine %s holds %s %s", engine->id,
				engine->state.holds.version,
				engine->state.holds.adapter);
		until_ms += 1000;
	}
}

static void run_schedule(uint64_t seed, world_t *sum)
{
	static const sim_faults_t faults = { .lose_request = 2,
					     .lose_answer = 6,
					     .late_effect = 4,
					     .repeat_answer = 10,
					     .delay_max_ms = 40 };
	world_t *world = g_new0(world_t, 1);
	uint64_t end_ms;
	uint64_t outage_ms;

	sim_init(&world->sim, seed, &faults);
	end_ms = world->sim.now_ms + RUN_MS + SETTLE_MS;
	outage_ms = rng_below(&world->sim.rng, RUN_MS);
	for (int p = 0; p < POOLS; p++) {
		start_pool(world, p);
		plan_faults(world, p);
	}
	sim_after(&world->sim, outage_ms, switch_store, world, 1);
	sim_after(&world->sim, outage_ms + 5000, switch_store, world, 0);
	/* Outages and repairs of engines end this long after the schedule. */
	settle(world, end_ms - SETTLE_MS + 11000, end_ms);
	world->ended = true;
	while (sim_run_one(&world->sim, UINT64_MAX))
		;
	sum->load_count += world->load_count;
	sum->refused += world->refused;
	sum->loads_peak += world->loads_peak == CONTROLLER_LOADS_MAX;
	sim_clear(&world->sim);
	g_free(world);
}

/*
 * More than two loads at a weight store that two pools share, a pool below
 * ready_min, an order issued without a valid lease, or engines that never
 * reach the desired state.
 */
static void test_schedules(void)
{
	world_t *sum = g_new0(world_t, 1);
	uint64_t first;
	uint64_t last;

	sim_seeds(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, sum);
	}
	g_print("# loads %" G_GUINT64_FORMAT ", refused orders "
		"%" G_GUINT64_FORMAT ", schedules with two loads at once %d\n",
		sum->load_count, sum->refused, sum->loads_peak);
	/* Few loads, or never two at once, would prove nothing. */
	g_assert_cmpuint(sum->load_count, >, 10 * (last - first + 1));
	g_assert_cmpint(sum->loads_peak, >, (int)(last - first) / 2);
	g_free(sum);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller/schedules", test_schedules);
	return g_test_run();
}
