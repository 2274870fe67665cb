/* Orders that run at most once: seeded schedules with faults. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/order.h"
#include "t/lib/sim.h"

enum {
	NODES = 3,
	ENDPOINTS = 3,
	KEYS = 4,
	ATTEMPTS = 24,
	RUN_MS = 60000,
	SCHEDULES = 1500,
};

static const order_settings_t settings = {
	.send_window_ms = 2000,
	.endpoint_timeout_ms = 1000,
	.clock_skew_ms = 200,
	.retry_ms = 50,
	.retry_max_ms = 1000,
	.record_retry_ms = 20000,
	.retention_ms = 30000,
};

/** Two executions of a key closer than this belong to one record's life. */
#define SAME_ORDER_MS 20000

typedef struct world world_t;

typedef struct attempt {
	world_t *world;
	int node;
	uint64_t epoch;
	int key;
	char digest[2];
	uint64_t nonce;
	uint64_t begun_ms;
	uint64_t send_call;
	order_t order;
	order_answer_t answer;
	uint64_t executed; /**< Times this very request ran. */
	bool sent;
	int replies;
	int err;
	bool finished;
} attempt_t;

typedef struct node {
	world_t *world;
	uint64_t paused_until_ms;
	uint64_t epoch;
	int64_t skew_ms;
} node_t;

struct world {
	sim_t sim;
	bool fencing;
	node_t nodes[NODES];
	bool endpoint_down[ENDPOINTS];
	uint64_t fence[ENDPOINTS][KEYS];
	uint64_t ran_at_ms[KEYS];
	char paths[KEYS][SIM_KEY_MAX_BYTES];
	uint64_t seen_fencing[KEYS];
	int executions[KEYS];
	attempt_t attempts[ATTEMPTS];
	size_t attempt_count;
	order_sweep_t sweep;
};

/** An event on its way to a node; waits while the node is paused. */
typedef struct message {
	attempt_t *attempt;
	order_event_t event;
	order_record_t record;
} message_t;

static void perform(attempt_t *attempt, const order_actions_t *actions);

static int64_t wall_ms(const node_t *node)
{
	return (int64_t)node->world->sim.now_ms + node->skew_ms;
}

static void deliver(void *context, uint64_t argument)
{
	message_t *message = context;
	attempt_t *attempt = message->attempt;
	world_t *world = attempt->world;
	node_t *node = &world->nodes[attempt->node];
	order_actions_t actions;

	(void)argument;
	if (world->sim.now_ms < node->paused_until_ms) {
		sim_after(&world->sim,
			  node->paused_until_ms - world->sim.now_ms, deliver,
			  message, 0);
		return;
	}
	if (attempt->epoch == node->epoch && !attempt->finished) {
		if (message->event.kind == ORDER_EVENT_READ) {
			message->event.read.record = &message->record;
			message->event.read.unix_ms = wall_ms(node);
		}
		order_step(&attempt->order, &message->event, world->sim.now_ms,
			   &actions);
		perform(attempt, &actions);
	}
	g_free(message);
}

static void post(attempt_t *attempt, const order_event_t *event,
		 const order_record_t *record, uint64_t delay_ms)
{
	message_t *message = g_new0(message_t, 1);

	message->attempt = attempt;
	message->event = *event;
	if (record)
		message->record = *record;
	sim_after(&attempt->world->sim, delay_ms, deliver, message, 0);
}

static void post_kind(attempt_t *attempt, order_event_kind_t kind,
		      uint32_t call, uint64_t delay_ms)
{
	order_event_t event = { .kind = kind, .call = call };

	post(attempt, &event, NULL, delay_ms);
}

static void store_answered(void *context, uint64_t call,
			   const sim_answer_t *answer)
{
	order_event_t event = { .kind = ORDER_EVENT_WRITTEN,
				.call = (uint32_t)(call >> 1) };

	if (call & 1) {
		event.kind = ORDER_EVENT_READ;
		event.read.result = answer->result;
		event.read.version = answer->version;
	} else {
		event.written.result = answer->result;
		event.written.version = answer->version;
	}
	post(context, &event, answer->value, 0);
}

static uint64_t travel(world_t *world, uint64_t max_ms)
{
	return 1 + rng_below(&world->sim.rng, max_ms);
}

/** Executes a request and checks that nothing ran before it. */
static void execute(attempt_t *attempt)
{
	world_t *world = attempt->world;
	int key = attempt->key;

	attempt->executed++;
	g_assert_cmpuint(attempt->executed, ==, 1);
	if (world->executions[key]++)
		g_assert_cmpuint(world->sim.now_ms - world->ran_at_ms[key], >=,
				 SAME_ORDER_MS);
	world->ran_at_ms[key] = world->sim.now_ms;
}

static int endpoint_index(const char *id)
{
	return id[1] - '0';
}

/** A request reaches its endpoint. */
static void arrive(void *context, uint64_t e)
{
	attempt_t *attempt = context;
	world_t *world = attempt->world;
	order_event_t event = { .kind = ORDER_EVENT_ANSWERED,
				.call = (uint32_t)attempt->send_call };
	uint64_t *fence = &world->fence[e][attempt->key];

	if (world->endpoint_down[e])
		return;
	event.answered.answer = &attempt->answer;
	/* Refused for its number, or because the endpoint is leaving. */
	event.answered.not_run =
		(world->fencing &&
		 attempt->order.claim.claim_fencing < *fence) ||
		sim_chance(&world->sim, 5);
	if (!event.answered.not_run) {
		*fence = attempt->order.claim.claim_fencing;
		execute(attempt);
	}
	if (!sim_chance(&world->sim, 15))
		post(attempt, &event, NULL, travel(world, 300));
}

static void send_request(attempt_t *attempt, const order_action_t *action)
{
	world_t *world = attempt->world;
	const order_t *order = &attempt->order;
	int e = endpoint_index(order->claim.endpoints[order->endpoint]);

	g_assert_false(attempt->sent);
	g_assert_cmpuint(world->sim.now_ms, <,
			 attempt->begun_ms + settings.send_window_ms);
	g_assert_cmpuint(action->send.fencing, ==, order->claim.claim_fencing);
	attempt->sent = true;
	attempt->send_call = order->call;
	post_kind(attempt, ORDER_EVENT_LOST, order->call,
		  settings.endpoint_timeout_ms);
	if (!sim_chance(&world->sim, 10))
		sim_after(&world->sim, travel(world, 1800), arrive, attempt,
			  (uint64_t)e);
}

static void ask_endpoint(attempt_t *attempt, const order_action_t *action)
{
	world_t *world = attempt->world;
	int e = endpoint_index(action->ask.endpoint);
	uint64_t *fence = &world->fence[e][attempt->key];
	order_event_t event = { .kind = ORDER_EVENT_ASKED,
				.call = action->call };

	event.asked.proof = ORDER_PROOF_NONE;
	if (!world->endpoint_down[e] && action->ask.fencing >= *fence &&
	    !sim_chance(&world->sim, 10)) {
		*fence = action->ask.fencing;
		if (!world->executions[attempt->key])
			event.asked.proof = ORDER_PROOF_NOT_RUN;
	}
	post(attempt, &event, NULL, travel(world, 300));
}

static void store_action(attempt_t *attempt, const order_action_t *action)
{
	sim_t *sim = &attempt->world->sim;
	uint64_t argument = (uint64_t)action->call << 1;

	if (action->kind == ORDER_ACTION_WRITE)
		sim_write(sim, attempt->order.path, action->write.if_version,
			  &action->write.record, sizeof(action->write.record),
			  store_answered, attempt, argument);
	else
		sim_read(sim, attempt->order.path, store_answered, attempt,
			 argument | 1);
}

static void perform_one(attempt_t *attempt, const order_action_t *action)
{
	world_t *world = attempt->world;
	int e;

	switch (action->kind) {
	case ORDER_ACTION_WRITE:
	case ORDER_ACTION_READ:
		store_action(attempt, action);
		return;
	case ORDER_ACTION_WAIT:
		post_kind(attempt, ORDER_EVENT_TIMER, action->call,
			  action->wait.until_ms - world->sim.now_ms);
		return;
	case ORDER_ACTION_CONNECT:
		e = endpoint_index(action->connect.endpoint);
		post_kind(attempt,
			  world->endpoint_down[e] ? ORDER_EVENT_CONNECT_FAILED
						  : ORDER_EVENT_CONNECTED,
			  action->call, travel(world, 100));
		return;
	case ORDER_ACTION_SEND:
		send_request(attempt, action);
		return;
	case ORDER_ACTION_CLOSE:
		return;
	case ORDER_ACTION_ASK:
		ask_endpoint(attempt, action);
		return;
	case ORDER_ACTION_REPLY:
		attempt->replies++;
		attempt->err = action->reply.err;
		if (attempt->err == 0) {
			const attempt_t *ran =
				(const attempt_t *)action->reply.answer->body;

			g_assert_cmpuint(ran->executed, ==, 1);
			g_assert_cmpint(ran->key, ==, attempt->key);
			g_assert_cmpstr(ran->digest, ==, attempt->digest);
		}
		return;
	case ORDER_ACTION_FINISH:
		attempt->finished = true;
		return;
	}
}

static void perform(attempt_t *attempt, const order_actions_t *actions)
{
	for (size_t i = 0; i < actions->count; i++)
		perform_one(attempt, &actions->items[i]);
}

/* ---- The course of a schedule ---- */

static void begin_attempt(void *context, uint64_t argument)
{
	world_t *world = context;
	attempt_t *attempt = &world->attempts[world->attempt_count++];
	rng_t *rng = &world->sim.rng;
	node_t *node = &world->nodes[rng_below(rng, NODES)];
	char key[16];
	order_request_t request = {
		.customer = "c",
		.key = key,
		.digest = attempt->digest,
		.owner = "node",
		.endpoints = { "e0", "e1", "e2" },
		.endpoint_count = ENDPOINTS,
		.endpoints_check_fencing = world->fencing,
		.nonce = rng_next(rng),
		.unix_ms = wall_ms(node),
	};
	order_actions_t actions;

	(void)argument;
	if (world->sim.now_ms < node->paused_until_ms) {
		attempt->finished = true; /* The caller cannot connect. */
		return;
	}
	attempt->world = world;
	attempt->node = (int)(node - world->nodes);
	attempt->epoch = node->epoch;
	attempt->key = (int)rng_below(rng, KEYS);
	attempt->digest[0] = sim_chance(&world->sim, 10) ? 'x' : 'd';
	attempt->nonce = request.nonce;
	attempt->begun_ms = world->sim.now_ms;
	attempt->answer.http_status = 201;
	attempt->answer.body = (const char *)attempt;
	g_snprintf(key, sizeof(key), "key%d", attempt->key);
	order_begin(&attempt->order, &settings, &request, world->sim.now_ms,
		    &actions);
	perform(attempt, &actions);
}

static void pause_node(void *context, uint64_t duration_ms)
{
	node_t *node = context;

	node->paused_until_ms = node->world->sim.now_ms + duration_ms;
}

static void restart_node(void *context, uint64_t argument)
{
	node_t *node = context;

	(void)argument;
	node->epoch++;
}

static void switch_store(void *context, uint64_t down)
{
	((world_t *)context)->sim.store_down = down;
}

static void switch_endpoint(void *context, uint64_t argument)
{
	((world_t *)context)->endpoint_down[argument >> 1] = argument & 1;
}

static void sweep(void *context, uint64_t argument)
{
	world_t *world = context;
	sim_t *sim = &world->sim;
	order_sweep_item_t items[ORDER_SWEEP_PAGE];
	order_sweep_action_t action =
		order_sweep_step(&world->sweep, sim->now_ms);

	if (action.kind == ORDER_SWEEP_DELETE) {
		sim_delete(sim, action.path, action.version);
	} else if (action.kind == ORDER_SWEEP_LIST) {
		size_t count = MIN(sim->object_count, ORDER_SWEEP_PAGE);

		for (size_t i = 0; i < count; i++) {
			const order_record_t *record = sim->objects[i].value;

			items[i].path = sim->objects[i].key;
			items[i].version = sim->objects[i].version;
			items[i].created_unix_ms = record->created_unix_ms;
		}
		order_sweep_page(&world->sweep, action.call, 0, items, count,
				 false, (int64_t)sim->now_ms);
	}
	if (argument)
		sim_after(sim, 200, sweep, world, argument - 1);
}

static void plan_faults(world_t *world)
{
	sim_t *sim = &world->sim;
	rng_t *rng = &sim->rng;

	for (int n = 0; n < NODES; n++) {
		node_t *node = &world->nodes[n];

		for (int i = 0; i < 3; i++)
			sim_after(sim, rng_below(rng, RUN_MS), pause_node, node,
				  rng_below(rng, i ? 6000 : 45000));
		sim_after(sim, rng_below(rng, RUN_MS), restart_node, node, 0);
	}
	for (int i = 0; i < 3; i++) {
		uint64_t at_ms = rng_below(rng, RUN_MS);

		sim_after(sim, at_ms, switch_store, world, 1);
		sim_after(sim, at_ms + rng_below(rng, 4000), switch_store,
			  world, 0);
	}
	for (uint64_t e = 0; e < ENDPOINTS; e++) {
		uint64_t at_ms = rng_below(rng, RUN_MS);

		sim_after(sim, at_ms, switch_endpoint, world, e << 1 | 1);
		sim_after(sim, at_ms + rng_below(rng, 20000), switch_endpoint,
			  world, e << 1);
	}
}

static void plan_attempts(world_t *world)
{
	rng_t *rng = &world->sim.rng;
	uint64_t at_ms = 0;

	/* Bursts of repeats, with gaps around the claims' deadline. */
	for (int i = 0; i < ATTEMPTS; i++) {
		at_ms += rng_below(rng,
				   sim_chance(&world->sim, 50) ? 300 : 5000);
		sim_after(&world->sim, at_ms, begin_attempt, world, 0);
	}
}

/* The number of a key must not fall while its record exists. */
static void check_fencing_rises(world_t *world)
{
	for (int k = 0; k < KEYS; k++) {
		const sim_object_t *object =
			sim_find(&world->sim, world->paths[k]);
		uint64_t fencing;

		fencing = object ? ((const order_record_t *)object->value)
					   ->fencing
				 : 0;
		if (object)
			g_assert_cmpuint(fencing, >=, world->seen_fencing[k]);
		world->seen_fencing[k] = fencing;
	}
}

static void check_record(const world_t *world, const order_record_t *record)
{
	if (record->state != ORDER_STATE_NOT_RUN)
		return;
	for (size_t i = 0; i < world->attempt_count; i++) {
		if (world->attempts[i].nonce == record->nonce)
			g_assert_cmpuint(world->attempts[i].executed, ==, 0);
	}
}

static void check_end(world_t *world, uint64_t *counts)
{
	for (size_t i = 0; i < world->attempt_count; i++) {
		attempt_t *attempt = &world->attempts[i];

		if (!attempt->world)
			continue;
		g_assert_cmpint(attempt->replies, <=, 1);
		if (attempt->epoch == world->nodes[attempt->node].epoch) {
			g_assert_cmpint(attempt->replies, ==, 1);
			g_assert_true(attempt->finished);
		}
		if (!attempt->replies)
			continue;
		counts[-attempt->err]++;
		if (error_answer(attempt->err)->run_state == RUN_STATE_NOT_RUN)
			g_assert_cmpuint(attempt->executed, ==, 0);
	}
	for (size_t i = 0; i < world->sim.object_count; i++)
		check_record(world, world->sim.objects[i].value);
}

static void run_schedule(uint64_t seed, uint64_t *counts)
{
	static const sim_faults_t faults = { .lose_request = 3,
					     .lose_answer = 8,
					     .late_effect = 4,
					     .repeat_answer = 10,
					     .delay_max_ms = 30 };
	world_t *world = g_new0(world_t, 1);
	uint64_t steps = 0;

	sim_init(&world->sim, seed, &faults);
	world->fencing = seed % 2;
	for (int n = 0; n < NODES; n++) {
		world->nodes[n].world = world;
		world->nodes[n].skew_ms =
			(int64_t)rng_below(&world->sim.rng, 3000) - 1500;
	}
	for (int k = 0; k < KEYS; k++) {
		char name[16];
		char hash[HASH_DIGEST_HEX_BYTES];

		g_snprintf(name, sizeof(name), "key%d", k);
		hash_digest_hex(name, strlen(name), hash);
		g_snprintf(world->paths[k], SIM_KEY_MAX_BYTES, "order/c/%s",
			   hash);
	}
	order_sweep_init(&world->sweep, &settings, &world->sim.rng, 1000, 1,
			 world->sim.now_ms);
	sim_after(&world->sim, 0, sweep, world, 2 * RUN_MS / 200);
	plan_faults(world);
	plan_attempts(world);
	while (sim_run_one(&world->sim, UINT64_MAX)) {
		g_assert_cmpuint(++steps, <, 1000000);
		check_fencing_rises(world);
	}
	check_end(world, counts);
	sim_clear(&world->sim);
	g_free(world);
}

/* Two executions of one key, or one of a request answered "not run". */
static void test_schedules(void)
{
	uint64_t counts[ERR_KIND_COUNT] = { 0 };
	uint64_t first;
	uint64_t last;

	sim_seeds(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, counts);
	}
	for (int i = 0; i < ERR_KIND_COUNT; i++) {
		if (counts[i])
			g_print("# %s: %" G_GUINT64_FORMAT "\n", error_type(-i),
				counts[i]);
	}
	/* A run in which nothing happens would prove nothing. */
	if (last - first + 1 == SCHEDULES) {
		g_assert_cmpuint(counts[0], >, SCHEDULES);
		g_assert_cmpuint(counts[-ERR_ORDER_UNKNOWN], >, SCHEDULES / 4);
		g_assert_cmpuint(counts[-ERR_ORDER_NOT_RUN], >, SCHEDULES / 4);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order/schedules", test_schedules);
	return g_test_run();
}
