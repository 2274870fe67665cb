/* Orders that run at most once: cases, and seeded schedules with faults. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/order.h"
#include "process/order_journal.h"
#include "t/lib/sim.h"

enum {
	STEPS_MAX = 8,
	NODES = 3,
	ENDPOINTS = 3,
	KEYS = 4,
	ATTEMPTS = 24,
	SHARDS = 2,
	JOURNAL_ENTRIES = 32,
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

/* ---- Cases ---- */

typedef struct step {
	order_event_kind_t kind;
	int value; /**< Result, proof, or -1 for an answer `X-Not-Run`. */
	int state; /**< Of the record that was read. */
	bool ours; /**< The record that was read has our nonce. */
	uint64_t at_ms;
	const char *actions; /**< First letters, see letter(). */
	int reply;	     /**< Checked if the actions have a reply. */
} step_t;

#define W(result) .kind = ORDER_EVENT_WRITTEN, .value = (result)
#define R(result) .kind = ORDER_EVENT_READ, .value = (result)
#define OURS(s) .kind = ORDER_EVENT_READ, .state = (s), .ours = true
#define OTHER(s) .kind = ORDER_EVENT_READ, .state = (s)
#define K(name) .kind = ORDER_EVENT_##name

static const struct {
	const char *name;
	bool fencing;
	bool other_body;
	int64_t read_unix_ms;
	step_t steps[STEPS_MAX];
} cases[] = {
	{ "done", .steps = { { W(0), .actions = "C" },
			     { K(CONNECTED), .actions = "S" },
			     { K(ANSWERED), .actions = "PW" },
			     { W(0), .actions = "F" } } },
	{ "store down before the claim is not run",
	  .steps = { { W(ERR_STORE_DOWN), .actions = "PF",
		       .reply = ERR_STORE_DOWN } } },
	{ "lost claim found by its nonce is used",
	  .steps = { { W(ERR_STORE_UNKNOWN), .actions = "R" },
		     { OURS(ORDER_STATE_OPEN), .actions = "C" },
		     { K(CONNECTED), .actions = "S" } } },
	{ "lost claim and lost reads: not run, then marked so",
	  .steps = { { W(ERR_STORE_UNKNOWN), .actions = "R" },
		     { R(ERR_STORE_UNKNOWN), .actions = "T" },
		     { K(TIMER), .actions = "R" },
		     { R(ERR_STORE_DOWN), .at_ms = 2000, .actions = "PW",
		       .reply = ERR_ORDER_NOT_RUN },
		     { W(ERR_STORE_CONDITION), .actions = "R" },
		     { OURS(ORDER_STATE_OPEN), .actions = "W" },
		     { W(0), .actions = "F" } } },
	{ "claim that lapsed while connecting is not sent",
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECTED), .at_ms = 2000, .actions = "XPW",
		       .reply = ERR_ORDER_NOT_RUN } } },
	{ "refused connections try every endpoint of the claim",
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECT_FAILED), .actions = "C" },
		     { K(CONNECT_FAILED), .actions = "PW",
		       .reply = ERR_CONNECT } } },
	{ "lost answer is unknown",
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECTED), .actions = "S" },
		     { K(LOST), .actions = "PW", .reply = ERR_ORDER_UNKNOWN },
		     { W(0), .actions = "F" } } },
	{ "lost answer is resolved at endpoints that check fencing",
	  .fencing = true,
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECTED), .actions = "S" },
		     { K(LOST), .actions = "W" },
		     { W(0), .actions = "A" },
		     { K(ASKED), .value = ORDER_PROOF_NOT_RUN, .actions = "A" },
		     { K(ASKED), .value = ORDER_PROOF_NOT_RUN, .actions = "PW",
		       .reply = ERR_ORDER_NOT_RUN } } },
	{ "one endpoint without proof leaves it unknown", .fencing = true,
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECTED), .actions = "S" },
		     { K(LOST), .actions = "W" },
		     { W(0), .actions = "A" },
		     { K(ASKED), .value = ORDER_PROOF_NOT_RUN, .actions = "A" },
		     { K(ASKED), .value = ORDER_PROOF_NONE, .actions = "PF",
		       .reply = ERR_ORDER_UNKNOWN } } },
	{ "endpoint says not run",
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECTED), .actions = "S" },
		     { K(ANSWERED), .value = -1, .actions = "PW",
		       .reply = ERR_ORDER_NOT_RUN } } },
	{ "record of a done order is retried in the background",
	  .steps = { { W(0), .actions = "C" },
		     { K(CONNECTED), .actions = "S" },
		     { K(ANSWERED), .actions = "PW" },
		     { W(ERR_STORE_DOWN), .actions = "T" },
		     { K(TIMER), .actions = "R" },
		     { OURS(ORDER_STATE_UNKNOWN), .actions = "W" },
		     { W(0), .actions = "F" } } },
	{ "repeat of a done order",
	  .steps = { { W(ERR_STORE_CONDITION), .actions = "R" },
		     { OTHER(ORDER_STATE_DONE), .actions = "PF" } } },
	{ "repeat while open",
	  .steps = { { W(ERR_STORE_CONDITION), .actions = "R" },
		     { OTHER(ORDER_STATE_OPEN), .actions = "PF",
		       .reply = ERR_ORDER_IN_PROGRESS } } },
	{ "repeat after the deadline closes the claim as unknown",
	  .read_unix_ms = 100000,
	  .steps = { { W(ERR_STORE_CONDITION), .actions = "R" },
		     { OTHER(ORDER_STATE_OPEN), .actions = "W" },
		     { W(0), .actions = "PF", .reply = ERR_ORDER_UNKNOWN } } },
	{ "another's open claim is never overwritten as not run",
	  .read_unix_ms = 100000,
	  .steps = { { W(ERR_STORE_UNKNOWN), .actions = "R" },
		     { OTHER(ORDER_STATE_OPEN), .actions = "W" },
		     { W(ERR_STORE_UNKNOWN), .actions = "T" },
		     { K(TIMER), .actions = "R" },
		     { R(ERR_STORE_DOWN), .at_ms = 2500, .actions = "PF",
		       .reply = ERR_ORDER_IN_PROGRESS } } },
	{ "repeat of an order that did not run claims again",
	  .steps = { { W(ERR_STORE_CONDITION), .actions = "R" },
		     { OTHER(ORDER_STATE_NOT_RUN), .actions = "W" },
		     { W(0), .actions = "C" } } },
	{ "same key, other body", .other_body = true,
	  .steps = { { W(ERR_STORE_CONDITION), .actions = "R" },
		     { OTHER(ORDER_STATE_DONE), .actions = "PF",
		       .reply = ERR_KEY_REUSED } } },
};

static char letter(order_action_kind_t kind)
{
	static const char letters[] = "WRTCSXAPF";

	return letters[kind];
}

static void check_actions(const char *name, const order_actions_t *actions,
			  const step_t *step)
{
	char got[ORDER_ACTIONS_MAX + 1] = "";

	for (size_t i = 0; i < actions->count; i++) {
		got[i] = letter(actions->items[i].kind);
		if (actions->items[i].kind == ORDER_ACTION_REPLY)
			g_assert_cmpint(actions->items[i].reply.err, ==,
					step->reply);
	}
	g_test_message("%s: %s", name, got);
	g_assert_cmpstr(got, ==, step->actions);
}

/* A wrong turn on any of these paths runs an order twice or not at all. */
static void test_cases(void)
{
	static const order_answer_t answer = { .http_status = 201 };

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		order_request_t request = {
			.customer = "c",
			.key = "k",
			.digest = "d",
			.owner = "n",
			.endpoints = { "e1", "e2" },
			.endpoint_count = 2,
			.endpoints_check_fencing = cases[c].fencing,
			.nonce = 7,
		};
		order_actions_t actions;
		order_t order;

		order_begin(&order, &settings, &request, 0, &actions);
		for (const step_t *s = cases[c].steps; s->actions; s++) {
			order_record_t record = order.claim;
			order_event_t event = { .kind = s->kind,
						.call = order.call };

			record.state = s->state;
			record.nonce = s->ours ? 7 : 8;
			record.answer = &answer;
			if (cases[c].other_body)
				record.digest[0] = 'x';
			switch (s->kind) {
			case ORDER_EVENT_READ:
				event.read.result = s->value;
				event.read.record = &record;
				event.read.version = 5;
				event.read.unix_ms = cases[c].read_unix_ms;
				break;
			case ORDER_EVENT_ASKED:
				event.asked.proof = s->value;
				break;
			case ORDER_EVENT_ANSWERED:
				event.answered.answer = &answer;
				event.answered.not_run = s->value < 0;
				break;
			default:
				event.written.result = s->value;
				event.written.version = 5;
				break;
			}
			order_step(&order, &event, s->at_ms, &actions);
			check_actions(cases[c].name, &actions, s);
			/* The same answer again must do nothing. */
			event.call = order.call - 1;
			order_step(&order, &event, s->at_ms, &actions);
			g_assert_cmpuint(actions.count, ==, 0);
		}
	}
}

/* A request without a key, or with an answer too large to keep. */
static void test_limits(void)
{
	order_request_t request = { .customer = "c",
				    .digest = "d",
				    .owner = "n",
				    .endpoints = { "e" },
				    .endpoint_count = 1 };
	order_answer_t answer = { .http_status = 200,
				  .body = "x",
				  .body_bytes = ORDER_BODY_MAX_BYTES + 1 };
	order_event_t event = { .kind = ORDER_EVENT_WRITTEN };
	order_actions_t actions;
	order_t order;

	order_begin(&order, &settings, &request, 0, &actions);
	g_assert_cmpint(actions.items[0].reply.err, ==, ERR_KEY_MISSING);
	request.key = "k";
	order_begin(&order, &settings, &request, 0, &actions);
	event.call = order.call;
	order_step(&order, &event, 0, &actions);
	event.kind = ORDER_EVENT_CONNECTED;
	event.call = order.call;
	order_step(&order, &event, 0, &actions);
	event.kind = ORDER_EVENT_ANSWERED;
	event.answered.answer = &answer;
	order_step(&order, &event, 0, &actions);
	g_assert_true(actions.items[0].reply.answer == &answer);
	g_assert_true(actions.items[1].write.record.answer->body_omitted);
	g_assert_cmpuint(actions.items[1].write.record.answer->body_bytes, ==,
			 0);
}

/* ---- Schedules ---- */

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
	order_journal_t journals[SHARDS];
	order_journal_entry_t entries[SHARDS][JOURNAL_ENTRIES];
} node_t;

struct world {
	sim_t sim;
	bool journal;
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
static void perform_journal(node_t *node, int shard,
			    const order_journal_actions_t *actions);

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
	world_t *world = attempt->world;
	node_t *node = &world->nodes[attempt->node];
	int shard = attempt->key % SHARDS;
	order_journal_actions_t actions;

	if (world->journal) {
		g_assert_cmpint(
			order_journal_submit(&node->journals[shard], attempt,
					     attempt->order.path, action,
					     world->sim.now_ms, &actions),
			==, 0);
		perform_journal(node, shard, &actions);
	} else if (action->kind == ORDER_ACTION_WRITE) {
		sim_write(&world->sim, attempt->order.path,
			  action->write.if_version, &action->write.record,
			  sizeof(action->write.record), store_answered, attempt,
			  (uint64_t)action->call << 1);
	} else {
		sim_read(&world->sim, attempt->order.path, store_answered,
			 attempt, (uint64_t)action->call << 1 | 1);
	}
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

/* ---- Journal driver ---- */

typedef struct journal_message {
	node_t *node;
	int shard;
	uint64_t epoch;
	order_journal_action_kind_t kind;
	uint32_t call;
	sim_answer_t answer;
} journal_message_t;

static void deliver_journal(void *context, uint64_t argument)
{
	journal_message_t *m = context;
	node_t *node = m->node;
	sim_t *sim = &node->world->sim;
	order_journal_t *journal = &node->journals[m->shard];
	const order_journal_entry_t *entries = m->answer.value;
	order_journal_actions_t actions = { 0 };

	(void)argument;
	if (sim->now_ms < node->paused_until_ms) {
		sim_after(sim, node->paused_until_ms - sim->now_ms,
			  deliver_journal, m, 0);
		return;
	}
	if (m->epoch == node->epoch) {
		if (m->kind == ORDER_JOURNAL_WAIT)
			order_journal_timer(journal, m->call, sim->now_ms,
					    wall_ms(node), &actions);
		else if (m->kind == ORDER_JOURNAL_READ)
			order_journal_was_read(
				journal, m->call, m->answer.result,
				m->answer.version, entries,
				m->answer.size / sizeof(*entries), sim->now_ms,
				wall_ms(node), &actions);
		else
			order_journal_was_written(
				journal, m->call, m->answer.result,
				m->answer.version, sim->now_ms, wall_ms(node),
				&actions);
		perform_journal(node, m->shard, &actions);
	}
	g_free((void *)m->answer.value);
	g_free(m);
}

/** Hands the context of a journal's store call to its node, with a copy. */
static void journal_answered(void *context, uint64_t argument,
			     const sim_answer_t *answer)
{
	const journal_message_t *call = context;
	journal_message_t *m = g_memdup2(call, sizeof(*call));

	m->kind = argument & 1 ? ORDER_JOURNAL_READ : ORDER_JOURNAL_WRITE;
	m->call = (uint32_t)(argument >> 1);
	m->answer = *answer;
	m->answer.value = g_memdup2(answer->value, answer->size);
	sim_after(&m->node->world->sim, 0, deliver_journal, m, 0);
}

static GPtrArray *journal_calls;

static void perform_journal(node_t *node, int shard,
			    const order_journal_actions_t *actions)
{
	sim_t *sim = &node->world->sim;
	char key[SIM_KEY_MAX_BYTES];

	g_snprintf(key, sizeof(key), "journal/%d", shard);
	for (size_t i = 0; i < actions->count; i++) {
		const order_journal_action_t *a = &actions->items[i];
		const order_event_t *event = &a->reply.event;
		journal_message_t *m;

		if (a->kind == ORDER_JOURNAL_REPLY) {
			post(a->reply.owner, event,
			     event->kind == ORDER_EVENT_READ
				     ? event->read.record
				     : NULL,
			     0);
			continue;
		}
		m = g_new0(journal_message_t, 1);
		m->node = node;
		m->shard = shard;
		m->epoch = node->epoch;
		m->kind = a->kind;
		m->call = a->call;
		if (a->kind == ORDER_JOURNAL_WAIT) {
			sim_after(sim, a->until_ms - sim->now_ms,
				  deliver_journal, m, 0);
			continue;
		}
		g_ptr_array_add(journal_calls, m);
		if (a->kind == ORDER_JOURNAL_READ)
			sim_read(sim, key, journal_answered, m,
				 (uint64_t)a->call << 1 | 1);
		else
			sim_write(sim, key, a->write.if_version,
				  a->write.entries,
				  a->write.count * sizeof(*a->write.entries),
				  journal_answered, m, (uint64_t)a->call << 1);
	}
}

static void start_journals(node_t *node)
{
	for (int s = 0; s < SHARDS; s++)
		order_journal_init(&node->journals[s], &settings,
				   &node->world->sim.rng, node->entries[s],
				   JOURNAL_ENTRIES, 5);
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
	start_journals(node);
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
	for (int k = 0; k < KEYS && !world->journal; k++) {
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
	for (size_t i = 0; i < world->sim.object_count && !world->journal; i++)
		check_record(world, world->sim.objects[i].value);
}

static void run_schedule(uint64_t seed, bool journal, uint64_t *counts)
{
	static const sim_faults_t faults = { .lose_request = 3,
					     .lose_answer = 8,
					     .late_effect = 4,
					     .repeat_answer = 10,
					     .delay_max_ms = 30 };
	world_t *world = g_new0(world_t, 1);
	uint64_t steps = 0;

	journal_calls = g_ptr_array_new_with_free_func(g_free);
	sim_init(&world->sim, seed, &faults);
	world->journal = journal;
	world->fencing = seed % 2;
	for (int n = 0; n < NODES; n++) {
		world->nodes[n].world = world;
		world->nodes[n].skew_ms =
			(int64_t)rng_below(&world->sim.rng, 3000) - 1500;
		start_journals(&world->nodes[n]);
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
	if (!journal)
		sim_after(&world->sim, 0, sweep, world, 2 * RUN_MS / 200);
	plan_faults(world);
	plan_attempts(world);
	while (sim_run_one(&world->sim, UINT64_MAX)) {
		g_assert_cmpuint(++steps, <, 1000000);
		check_fencing_rises(world);
	}
	check_end(world, counts);
	sim_clear(&world->sim);
	g_ptr_array_free(journal_calls, TRUE);
	g_free(world);
}

static void run_schedules(bool journal, uint64_t count)
{
	uint64_t counts[ERR_KIND_COUNT] = { 0 };
	uint64_t first;
	uint64_t last;

	sim_seeds(count, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, journal, counts);
	}
	for (int i = 0; i < ERR_KIND_COUNT; i++) {
		if (counts[i])
			g_print("# %s: %" G_GUINT64_FORMAT "\n", error_type(-i),
				counts[i]);
	}
	/* A run in which nothing happens would prove nothing. */
	if (last - first + 1 == count) {
		g_assert_cmpuint(counts[0], >, count);
		g_assert_cmpuint(counts[-ERR_ORDER_UNKNOWN], >, count / 4);
		g_assert_cmpuint(counts[-ERR_ORDER_NOT_RUN], >, count / 4);
	}
}

/* Two executions of one key, or one of a request answered "not run". */
static void test_schedules(void)
{
	run_schedules(false, SCHEDULES);
}

/* The same with grouped claims in journal objects. */
static void test_journal_schedules(void)
{
	run_schedules(true, SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order/cases", test_cases);
	g_test_add_func("/order/limits", test_limits);
	g_test_add_func("/order/schedules", test_schedules);
	g_test_add_func("/order/journal-schedules", test_journal_schedules);
	return g_test_run();
}
