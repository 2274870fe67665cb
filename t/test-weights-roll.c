/* Bringing engines to new weights, on virtual time with modelled engines. */
#include <glib.h>
#include <string.h>

#include "process/weights_roll.h"

enum {
	ENGINES_MAX = 20,
	STEP_MS = 50,
	BOUND_MS = 8000,
	LOAD_MS = 630,
	RUN_MS = 4000, /**< Runs that a modelled engine has last so long. */
	ANSWER_MS = 10,
	VERSIONS_MAX = 8,
};

/* An engine that takes orders as the platform's pages say. */
typedef struct model_engine {
	uint64_t weights;
	uint64_t accepted;
	uint64_t target; /**< Of the order in progress; 0: none. */
	uint64_t done_ms;
	uint64_t runs_end_ms; /**< 0: no runs. */
	bool lose_answer;     /**< Of the next order; it is carried out. */
	bool drop_order;      /**< The next order never arrives. */
	uint32_t refused;     /**< Orders with a wrong number. */
} model_engine_t;

/* An answer under way to the holder. */
typedef struct model_call {
	roll_action_t action;
	uint64_t due_ms;
	bool open;
} model_call_t;

typedef struct world {
	weights_roll_t roll;
	model_engine_t engines[ENGINES_MAX];
	model_call_t calls[ENGINES_MAX];
	size_t count;
	uint64_t named;
	uint64_t named_ms[VERSIONS_MAX]; /**< By version. */
	uint64_t now_ms;
	uint32_t most_away; /**< Engines without new work at once. */
	uint32_t orders;
} world_t;

static void world_init(world_t *world, size_t count)
{
	memset(world, 0, sizeof(*world));
	world->count = count;
	world->named = 1;
	world->now_ms = 1000;
	for (size_t i = 0; i < count; i++)
		world->engines[i].weights = 1;
	weights_roll_init(&world->roll, BOUND_MS);
}

static void name_weights(world_t *world, uint64_t version)
{
	world->named = version;
	world->named_ms[version] = world->now_ms;
	for (size_t i = 0; i < world->count; i++)
		world->engines[i].runs_end_ms = world->now_ms + RUN_MS;
}

static uint16_t take_order(world_t *world, model_engine_t *engine,
			   const roll_action_t *action)
{
	uint64_t begin_ms = world->now_ms;

	if (engine->target || action->accepted != engine->accepted) {
		engine->refused++;
		return 409;
	}
	if (engine->weights == action->version)
		return 200;
	if (!action->runs_left && engine->runs_end_ms > begin_ms)
		begin_ms = engine->runs_end_ms;
	engine->accepted++;
	engine->target = action->version;
	engine->done_ms = begin_ms + LOAD_MS;
	return 202;
}

static void run_engines(world_t *world)
{
	for (size_t i = 0; i < world->count; i++) {
		model_engine_t *engine = &world->engines[i];

		if (engine->target && world->now_ms >= engine->done_ms) {
			engine->weights = engine->target;
			engine->target = 0;
		}
	}
}

static void answer_ask(world_t *world, const model_engine_t *engine,
		       uint64_t key)
{
	roll_report_t report = { .busy = engine->target != 0,
				 .accepted = engine->accepted,
				 .weights = engine->weights };

	weights_roll_reported(&world->roll, key, &report, world->now_ms);
}

static void answer_order(world_t *world, model_engine_t *engine,
			 const roll_action_t *action)
{
	uint16_t status = 0;

	if (engine->drop_order)
		engine->drop_order = false;
	else
		status = take_order(world, engine, action);
	if (engine->lose_answer) {
		engine->lose_answer = false;
		status = 0;
	}
	weights_roll_answered(&world->roll, action->key, status, world->now_ms);
}

static void run_calls(world_t *world)
{
	for (size_t i = 0; i < world->count; i++) {
		model_call_t *call = &world->calls[i];

		if (!call->open || world->now_ms < call->due_ms)
			continue;
		call->open = false;
		if (call->action.kind == ROLL_ACTION_ASK)
			answer_ask(world, &world->engines[i], call->action.key);
		else
			answer_order(world, &world->engines[i], &call->action);
	}
}

static void run_actions(world_t *world, const roll_actions_t *actions)
{
	for (size_t i = 0; i < actions->count; i++) {
		const roll_action_t *action = &actions->items[i];

		if (action->kind != ROLL_ACTION_ASK &&
		    action->kind != ROLL_ACTION_ORDER)
			continue;
		world->orders += action->kind == ROLL_ACTION_ORDER;
		g_assert_false(world->calls[action->index].open);
		world->calls[action->index] =
			(model_call_t){ *action, world->now_ms + ANSWER_MS,
					true };
	}
}

static void count_away(world_t *world)
{
	uint32_t away = 0;

	for (size_t i = 0; i < world->count; i++)
		away += weights_roll_is_loading(&world->roll, i + 1);
	if (away > world->most_away)
		world->most_away = away;
}

static void step(world_t *world)
{
	roll_engine_t engines[ENGINES_MAX];
	roll_actions_t actions;

	run_engines(world);
	run_calls(world);
	for (size_t i = 0; i < world->count; i++) {
		const model_engine_t *model = &world->engines[i];
		bool old = model->weights < world->named;
		uint64_t first_ms = world->named_ms[model->weights + 1];

		engines[i] = (roll_engine_t){
			.key = i + 1,
			.index = (uint32_t)i,
			.weights = model->weights,
			.named = world->named,
			.runs = model->runs_end_ms > world->now_ms ? 3 : 0,
			.overdue_ms = old ? world->now_ms - first_ms : 0,
			.reachable = true,
		};
	}
	weights_roll_step(&world->roll, engines, world->count, world->now_ms,
			  &actions);
	run_actions(world, &actions);
	count_away(world);
	world->now_ms += STEP_MS;
}

static bool all_have(const world_t *world, uint64_t version)
{
	for (size_t i = 0; i < world->count; i++) {
		if (world->engines[i].weights != version)
			return false;
	}
	return true;
}

static void run_until(world_t *world, uint64_t version, uint64_t limit_ms)
{
	uint64_t end_ms = world->now_ms + limit_ms;

	while (!all_have(world, version) && world->now_ms < end_ms)
		step(world);
	g_assert_true(all_have(world, version));
}

typedef struct size_case {
	const char *name;
	size_t engines;
} size_case_t;

static const size_case_t sizes[] = {
	{ "one", 1 },
	{ "kiln", 9 },
	{ "subsol", 18 },
};

/* Failure: engines waited for their runs (up to 7 s) and the bound of 8 s was
 * missed; or too few engines were left for the traffic. */
static void test_in_time(const void *data)
{
	const size_case_t *size = data;
	world_t world;

	world_init(&world, size->engines);
	name_weights(&world, 2);
	run_until(&world, 2, BOUND_MS);
	g_assert_cmpuint(world.most_away, <=,
			 (size->engines + ROLL_PART - 1) / ROLL_PART);
	g_assert_cmpuint(world.orders, ==, size->engines);
}

/* Failure: with weights named every three seconds an engine with the oldest
 * ones was passed over each time. */
static void test_named_again(void)
{
	world_t world;
	uint64_t first_ms;

	world_init(&world, 18);
	first_ms = world.now_ms;
	for (uint64_t version = 2; version <= 5; version++) {
		uint64_t end_ms = world.now_ms + 3000;

		name_weights(&world, version);
		while (world.now_ms < end_ms)
			step(&world);
		if (world.now_ms - first_ms < BOUND_MS)
			continue;
		for (size_t i = 0; i < world.count; i++)
			g_assert_cmpuint(world.engines[i].weights, >=, 2);
	}
	run_until(&world, 5, BOUND_MS);
}

/* Failure: an order without an answer was given up, or given twice. */
static void test_lost_answer(void)
{
	world_t world;

	world_init(&world, 3);
	world.engines[1].lose_answer = true;
	world.engines[2].drop_order = true;
	name_weights(&world, 2);
	run_until(&world, 2, BOUND_MS);
	g_assert_cmpuint(world.engines[1].accepted, ==, 1);
	g_assert_cmpuint(world.engines[2].accepted, ==, 1);
	g_assert_cmpuint(world.engines[1].refused, ==, 0);
}

/* Failure: a new holder did not know what the one before had ordered, and an
 * order with an old number would undo a newer one. */
static void test_new_holder(void)
{
	world_t world;

	world_init(&world, 9);
	name_weights(&world, 2);
	for (int i = 0; i < 40; i++)
		step(&world);
	weights_roll_init(&world.roll, BOUND_MS);
	memset(world.calls, 0, sizeof(world.calls));
	run_until(&world, 2, BOUND_MS);
	for (size_t i = 0; i < world.count; i++) {
		g_assert_cmpuint(world.engines[i].accepted, ==, 1);
		g_assert_cmpuint(world.engines[i].refused, ==, 0);
	}
}

/* Failure: an engine that restarted was asked with its old number for ever. */
static void test_restarted_engine(void)
{
	world_t world;

	world_init(&world, 3);
	name_weights(&world, 2);
	run_until(&world, 2, BOUND_MS);
	world.engines[0].accepted = 0;
	name_weights(&world, 3);
	run_until(&world, 3, BOUND_MS);
	g_assert_cmpuint(world.engines[0].accepted, ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *path = g_strdup_printf("/weights-roll/in-time/%s",
					     sizes[i].name);

		g_test_add_data_func(path, &sizes[i], test_in_time);
		g_free(path);
	}
	g_test_add_func("/weights-roll/named-again", test_named_again);
	g_test_add_func("/weights-roll/lost-answer", test_lost_answer);
	g_test_add_func("/weights-roll/new-holder", test_new_holder);
	g_test_add_func("/weights-roll/restarted-engine",
			test_restarted_engine);
	return g_test_run();
}
