/* Weights rollout, in virtual time with simulated engines. */
#include <glib.h>
#include <string.h>

#include "process/rng.h"
#include "process/weights_rollout.h"

enum {
	ENGINES_MAX = 1714,
	STEP_MS = 50,
	TIME_LIMIT_MS = 8000,
	LOAD_MS = 630,
	/** Remaining duration of the requests that an engine is running. */
	REQUESTS_MS = 4000,
	ANSWER_MS = 10,
	/** Time after which an order counts as unanswered. */
	TIMEOUT_MS = 500,
	VERSIONS_MAX = 32,
	LATE_ORDERS_MAX = 64,
	/** Of 100 orders, those that are executed late and not answered. */
	LATE_PERCENT = 90,
	LATE_MIN_MS = 2000,
	LATE_MAX_MS = 12000,
};

/* An order that is executed late. */
typedef struct late_order {
	rollout_action_t action;
	uint64_t due_ms;
} late_order_t;

/* An engine that handles orders as the deployment's specification says. */
typedef struct simulated_engine {
	uint64_t weights;
	uint64_t accepted;
	uint64_t target; /**< Of the order being executed; 0: none. */
	uint64_t done_ms;
	uint64_t requests_end_ms; /**< 0: no running requests. */
	rollout_hold_t hold;
	uint32_t polls;
	uint32_t drains;
	uint32_t orders;
	uint64_t polled_ms; /**< Last request for a report. */
	uint64_t poll_interval_min_ms;
	uint64_t poll_interval_max_ms;
	bool lose_answer;  /**< Lose the answer to the next order, which is
			      executed. */
	bool drop_order;   /**< Lose the next order. */
	uint32_t rejected; /**< Orders received while busy, or with a wrong
			      number. */
	late_order_t late_orders[LATE_ORDERS_MAX];
	size_t late_count;
} simulated_engine_t;

/* A call whose answer has not arrived yet. */
typedef struct pending_call {
	rollout_action_t action;
	uint64_t due_ms;
	bool open;
	bool unanswered;
} pending_call_t;

typedef struct simulation {
	weights_rollout_t rollout;
	simulated_engine_t engines[ENGINES_MAX];
	pending_call_t calls[ENGINES_MAX];
	size_t count;
	uint64_t target_version;
	uint64_t target_set_ms[VERSIONS_MAX]; /**< By version. */
	uint64_t now_ms;
	uint32_t max_updating; /**< Engines updated at the same time. */
	uint32_t order_count;
	bool orders_are_late; /**< Most orders are executed late. */
	rng_t rng;
} simulation_t;

static void simulation_init(simulation_t *simulation, size_t count)
{
	weights_rollout_free(&simulation->rollout);
	memset(simulation, 0, sizeof(*simulation));
	simulation->count = count;
	simulation->target_version = 1;
	simulation->now_ms = 1000;
	for (size_t i = 0; i < count; i++)
		simulation->engines[i].weights = 1;
	weights_rollout_reset(&simulation->rollout, TIME_LIMIT_MS);
}

static void set_target(simulation_t *simulation, uint64_t version)
{
	simulation->target_version = version;
	simulation->target_set_ms[version] = simulation->now_ms;
	for (size_t i = 0; i < simulation->count; i++)
		simulation->engines[i].requests_end_ms =
			simulation->now_ms + REQUESTS_MS;
}

static uint16_t handle_order(simulation_t *simulation,
			     simulated_engine_t *engine,
			     const rollout_action_t *action)
{
	uint64_t load_start_ms = simulation->now_ms;

	if (engine->target || action->accepted != engine->accepted) {
		engine->rejected++;
		return 409;
	}
	if (engine->weights == action->version)
		return 200;
	if (!action->runs_left && engine->requests_end_ms > load_start_ms)
		load_start_ms = engine->requests_end_ms;
	engine->accepted++;
	engine->target = action->version;
	engine->done_ms = load_start_ms + LOAD_MS;
	return 202;
}

static void run_late_orders(simulation_t *simulation,
			    simulated_engine_t *engine)
{
	for (size_t i = engine->late_count; i-- > 0;) {
		late_order_t order = engine->late_orders[i];

		if (simulation->now_ms < order.due_ms)
			continue;
		engine->late_orders[i] =
			engine->late_orders[--engine->late_count];
		handle_order(simulation, engine, &order.action);
	}
}

/* Whether an order is executed late and not answered. */
static bool delay_order(simulation_t *simulation, simulated_engine_t *engine,
			const rollout_action_t *action)
{
	if (!simulation->orders_are_late ||
	    rng_below(&simulation->rng, 100) >= LATE_PERCENT)
		return false;
	g_assert_cmpuint(engine->late_count, <, LATE_ORDERS_MAX);
	engine->late_orders[engine->late_count++] = (late_order_t){
		*action,
		simulation->now_ms + LATE_MIN_MS +
			rng_below(&simulation->rng, LATE_MAX_MS - LATE_MIN_MS),
	};
	return true;
}

static void run_engines(simulation_t *simulation)
{
	for (size_t i = 0; i < simulation->count; i++) {
		simulated_engine_t *engine = &simulation->engines[i];

		if (engine->target && simulation->now_ms >= engine->done_ms) {
			engine->weights = engine->target;
			engine->target = 0;
		}
		run_late_orders(simulation, engine);
	}
}

static void answer_poll(simulation_t *simulation,
			const simulated_engine_t *engine, uint64_t key)
{
	rollout_report_t report = { .busy = engine->target != 0,
				    .accepted = engine->accepted,
				    .weights = engine->weights };

	weights_rollout_on_report(&simulation->rollout, key, &report,
				  simulation->now_ms);
}

static void answer_order(simulation_t *simulation, simulated_engine_t *engine,
			 const rollout_action_t *action)
{
	uint16_t status = 0;

	if (engine->drop_order)
		engine->drop_order = false;
	else
		status = handle_order(simulation, engine, action);
	if (engine->lose_answer) {
		engine->lose_answer = false;
		status = 0;
	}
	weights_rollout_on_answer(&simulation->rollout, action->key, status,
				  simulation->now_ms);
}

static void run_calls(simulation_t *simulation)
{
	for (size_t i = 0; i < simulation->count; i++) {
		pending_call_t *call = &simulation->calls[i];

		if (!call->open || simulation->now_ms < call->due_ms)
			continue;
		call->open = false;
		if (call->action.kind == ROLLOUT_ACTION_POLL)
			answer_poll(simulation, &simulation->engines[i],
				    call->action.key);
		else if (call->unanswered)
			weights_rollout_on_answer(&simulation->rollout,
						  call->action.key, 0,
						  simulation->now_ms);
		else
			answer_order(simulation, &simulation->engines[i],
				     &call->action);
	}
}

static void count_poll(simulated_engine_t *engine, uint64_t now_ms)
{
	uint64_t interval_ms = now_ms - engine->polled_ms;

	engine->polled_ms = now_ms;
	if (engine->polls++ == 0)
		return;
	if (engine->polls == 2 || interval_ms < engine->poll_interval_min_ms)
		engine->poll_interval_min_ms = interval_ms;
	if (interval_ms > engine->poll_interval_max_ms)
		engine->poll_interval_max_ms = interval_ms;
}

static void count_action(simulation_t *simulation,
			 const rollout_action_t *action)
{
	simulated_engine_t *engine = &simulation->engines[action->index];

	switch (action->kind) {
	case ROLLOUT_ACTION_POLL:
		count_poll(engine, simulation->now_ms);
		return;
	case ROLLOUT_ACTION_DRAIN:
		engine->drains++;
		return;
	case ROLLOUT_ACTION_ORDER:
		/* The number of orders is that of the last report. */
		g_assert_cmpuint(action->counted_ms, ==, engine->polled_ms);
		engine->orders++;
		return;
	case ROLLOUT_ACTION_DONE:
		return;
	}
}

static void run_actions(simulation_t *simulation,
			const rollout_actions_t *actions)
{
	for (size_t i = 0; i < actions->count; i++) {
		const rollout_action_t *action = &actions->items[i];
		bool unanswered;

		count_action(simulation, action);
		if (action->kind != ROLLOUT_ACTION_POLL &&
		    action->kind != ROLLOUT_ACTION_ORDER)
			continue;
		simulation->order_count += action->kind == ROLLOUT_ACTION_ORDER;
		g_assert_false(simulation->calls[action->index].open);
		unanswered = action->kind == ROLLOUT_ACTION_ORDER &&
			     delay_order(simulation,
					 &simulation->engines[action->index],
					 action);
		simulation->calls[action->index] = (pending_call_t){
			*action,
			simulation->now_ms +
				(unanswered ? TIMEOUT_MS : ANSWER_MS),
			true,
			unanswered,
		};
	}
}

static void count_updating(simulation_t *simulation)
{
	uint32_t updating = 0;

	for (size_t i = 0; i < simulation->count; i++)
		updating += weights_rollout_is_updating(&simulation->rollout,
							i + 1);
	if (updating > simulation->max_updating)
		simulation->max_updating = updating;
}

static void step(simulation_t *simulation)
{
	rollout_engine_t engines[ENGINES_MAX];
	rollout_actions_t actions;

	run_engines(simulation);
	run_calls(simulation);
	for (size_t i = 0; i < simulation->count; i++) {
		const simulated_engine_t *simulated = &simulation->engines[i];
		bool old = simulated->weights < simulation->target_version;
		uint64_t first_ms =
			simulation->target_set_ms[simulated->weights + 1];

		engines[i] = (rollout_engine_t){
			.key = i + 1,
			.index = (uint32_t)i,
			.weights = simulated->weights,
			.target_version = simulation->target_version,
			.runs = simulated->requests_end_ms > simulation->now_ms
					? 3
					: 0,
			.outdated_ms = old ? simulation->now_ms - first_ms : 0,
			.reachable = true,
			.hold = simulated->hold,
		};
	}
	weights_rollout_step(&simulation->rollout, engines, simulation->count,
			     simulation->now_ms, &actions);
	run_actions(simulation, &actions);
	count_updating(simulation);
	simulation->now_ms += STEP_MS;
}

static bool all_loaded(const simulation_t *simulation, uint64_t version)
{
	for (size_t i = 0; i < simulation->count; i++) {
		if (simulation->engines[i].weights != version)
			return false;
	}
	return true;
}

static void run_until_loaded(simulation_t *simulation, uint64_t version,
			     uint64_t limit_ms)
{
	uint64_t deadline_ms = simulation->now_ms + limit_ms;

	while (!all_loaded(simulation, version) &&
	       simulation->now_ms < deadline_ms)
		step(simulation);
	g_assert_true(all_loaded(simulation, version));
}

typedef struct rollout_case {
	const char *name;
	size_t engines;
} rollout_case_t;

static const rollout_case_t cases[] = {
	{ "1-engine", 1 },
	{ "9-engines", 9 },	  /* deployment kiln */
	{ "18-engines", 18 },	  /* deployment subsol */
	{ "1714-engines", 1714 }, /* largest region of the plan */
};

/* Failure: engines waited for their running requests (up to 7 s) and missed the
 * time limit of 8 s; or too few engines were left for the traffic. */
static void test_in_time(const void *data)
{
	const rollout_case_t *test_case = data;
	static simulation_t simulation;

	simulation_init(&simulation, test_case->engines);
	set_target(&simulation, 2);
	run_until_loaded(&simulation, 2, TIME_LIMIT_MS);
	g_assert_cmpuint(simulation.max_updating, <=,
			 (test_case->engines + ROLLOUT_SHARE_DIVISOR - 1) /
				 ROLLOUT_SHARE_DIVISOR);
	g_assert_cmpuint(simulation.order_count, ==, test_case->engines);
}

/* Failure: with new target weights every 3 s, an engine with the oldest weights
 * was skipped each time. */
static void test_repeated_targets(void)
{
	static simulation_t simulation;
	uint64_t first_ms;

	simulation_init(&simulation, 18);
	first_ms = simulation.now_ms;
	for (uint64_t version = 2; version <= 5; version++) {
		uint64_t deadline_ms = simulation.now_ms + 3000;

		set_target(&simulation, version);
		while (simulation.now_ms < deadline_ms)
			step(&simulation);
		if (simulation.now_ms - first_ms < TIME_LIMIT_MS)
			continue;
		for (size_t i = 0; i < simulation.count; i++)
			g_assert_cmpuint(simulation.engines[i].weights, >=, 2);
	}
	run_until_loaded(&simulation, 5, TIME_LIMIT_MS);
}

/* Failure: an order without an answer was abandoned, or executed twice. */
static void test_lost_answer(void)
{
	static simulation_t simulation;

	simulation_init(&simulation, 3);
	simulation.engines[1].lose_answer = true;
	simulation.engines[2].drop_order = true;
	set_target(&simulation, 2);
	run_until_loaded(&simulation, 2, TIME_LIMIT_MS);
	g_assert_cmpuint(simulation.engines[1].accepted, ==, 1);
	g_assert_cmpuint(simulation.engines[2].accepted, ==, 1);
	g_assert_cmpuint(simulation.engines[1].rejected, ==, 0);
}

/* Failure: a new lease holder did not know the orders of the previous one, and
 * an order with an old number could undo a newer one. */
static void test_new_lease_holder(void)
{
	static simulation_t simulation;

	simulation_init(&simulation, 9);
	set_target(&simulation, 2);
	for (int i = 0; i < 40; i++)
		step(&simulation);
	weights_rollout_reset(&simulation.rollout, TIME_LIMIT_MS);
	memset(simulation.calls, 0, sizeof(simulation.calls));
	run_until_loaded(&simulation, 2, TIME_LIMIT_MS);
	for (size_t i = 0; i < simulation.count; i++) {
		g_assert_cmpuint(simulation.engines[i].accepted, ==, 1);
		g_assert_cmpuint(simulation.engines[i].rejected, ==, 0);
	}
}

/* Failure: all further orders to a restarted engine had the number from before
 * its restart. */
static void test_restarted_engine(void)
{
	static simulation_t simulation;

	simulation_init(&simulation, 3);
	set_target(&simulation, 2);
	run_until_loaded(&simulation, 2, TIME_LIMIT_MS);
	simulation.engines[0].accepted = 0;
	set_target(&simulation, 3);
	run_until_loaded(&simulation, 3, TIME_LIMIT_MS);
	g_assert_cmpuint(simulation.engines[0].accepted, ==, 1);
}

static size_t count_outdated(const simulation_t *simulation)
{
	size_t count = 0;

	for (size_t i = 0; i < simulation->count; i++)
		count += simulation->engines[i].weights <
			 simulation->target_version;
	return count;
}

/* Failure: unanswered orders were repeated so rarely that late orders for
 * replaced weights were executed first, and the engines missed the time limit
 * for the newest weights. */
static void test_late_orders(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		static simulation_t simulation;
		uint64_t end_ms;

		simulation_init(&simulation, 18);
		rng_init(&simulation.rng, seed);
		simulation.orders_are_late = true;
		for (uint64_t version = 2; version <= 28; version++) {
			end_ms = simulation.now_ms + 700;
			set_target(&simulation, version);
			while (simulation.now_ms < end_ms)
				step(&simulation);
		}
		end_ms = simulation.target_set_ms[28] + 3 * TIME_LIMIT_MS / 2;
		while (simulation.now_ms < end_ms)
			step(&simulation);
		g_test_message("seed %d: %zu outdated, %u orders", (int)seed,
			       count_outdated(&simulation),
			       simulation.order_count);
		/* At most a tenth. */
		g_assert_cmpuint(count_outdated(&simulation), <=, 1);
	}
}

typedef struct hold_case {
	const char *name;
	size_t engines;
	size_t held; /**< The first of them. */
	rollout_hold_t hold;
} hold_case_t;

static const hold_case_t hold_cases[] = {
	{ "all", 1, 1, ROLLOUT_HOLD_ALL },
	{ "reports", 1, 1, ROLLOUT_HOLD_REPORTS },
	{ "all-of-nine", 9, 1, ROLLOUT_HOLD_ALL },
	{ "reports-of-nine", 9, 1, ROLLOUT_HOLD_REPORTS },
	{ "all-of-two-thirds", 9, 6, ROLLOUT_HOLD_ALL },
	{ "reports-of-two-thirds", 9, 6, ROLLOUT_HOLD_REPORTS },
};

static void run_until_others_loaded(simulation_t *simulation, size_t held)
{
	uint64_t deadline_ms = simulation->now_ms + TIME_LIMIT_MS;

	while (simulation->now_ms < deadline_ms)
		step(simulation);
	for (size_t i = held; i < simulation->count; i++)
		g_assert_cmpuint(simulation->engines[i].weights, ==, 2);
}

static void check_held(const simulated_engine_t *engine,
		       const hold_case_t *test_case)
{
	g_assert_cmpuint(engine->weights, ==, 1);
	g_assert_cmpuint(engine->drains, ==, 0);
	g_assert_cmpuint(engine->orders, ==, 0);
	if (test_case->hold == ROLLOUT_HOLD_ALL) {
		g_assert_cmpuint(engine->polls, ==, 0);
		return;
	}
	g_assert_cmpuint(engine->polls, >, 1);
	g_assert_cmpuint(engine->poll_interval_min_ms, >=, ROLLOUT_POLL_MS);
	/* A poll and its answer take a step each. */
	if (test_case->engines == 1)
		g_assert_cmpuint(engine->poll_interval_max_ms, <=,
				 ROLLOUT_POLL_MS + STEP_MS);
}

/* Failure: an engine to which an order of an earlier lease holder was on the
 * way got another one; or it stopped the update of other engines. */
static void test_hold(const void *data)
{
	const hold_case_t *test_case = data;
	static simulation_t simulation;

	simulation_init(&simulation, test_case->engines);
	for (size_t i = 0; i < test_case->held; i++)
		simulation.engines[i].hold = test_case->hold;
	set_target(&simulation, 2);
	run_until_others_loaded(&simulation, test_case->held);
	for (size_t i = 0; i < test_case->held; i++) {
		check_held(&simulation.engines[i], test_case);
		simulation.engines[i].hold = ROLLOUT_HOLD_NONE;
	}
	run_until_loaded(&simulation, 2, TIME_LIMIT_MS);
}

/* Failure: an engine got an order although it was held since its drain began.
 */
static void test_hold_while_draining(void)
{
	static simulation_t simulation;
	simulated_engine_t *engine = &simulation.engines[0];

	simulation_init(&simulation, 1);
	set_target(&simulation, 2);
	while (!engine->drains)
		step(&simulation);
	engine->hold = ROLLOUT_HOLD_REPORTS;
	for (int i = 0; i < TIME_LIMIT_MS / STEP_MS; i++)
		step(&simulation);
	g_assert_cmpuint(engine->orders, ==, 0);
	engine->hold = ROLLOUT_HOLD_NONE;
	run_until_loaded(&simulation, 2, TIME_LIMIT_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/weights-rollout/in-time/%s",
					     cases[i].name);

		g_test_add_data_func(path, &cases[i], test_in_time);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(hold_cases); i++) {
		char *path = g_strdup_printf("/weights-rollout/hold/%s",
					     hold_cases[i].name);

		g_test_add_data_func(path, &hold_cases[i], test_hold);
		g_free(path);
	}
	g_test_add_func("/weights-rollout/hold-while-draining",
			test_hold_while_draining);
	g_test_add_func("/weights-rollout/repeated-targets",
			test_repeated_targets);
	g_test_add_func("/weights-rollout/lost-answer", test_lost_answer);
	g_test_add_func("/weights-rollout/new-lease-holder",
			test_new_lease_holder);
	g_test_add_func("/weights-rollout/late-orders", test_late_orders);
	g_test_add_func("/weights-rollout/restarted-engine",
			test_restarted_engine);
	return g_test_run();
}
