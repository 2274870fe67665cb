/* Tickets: form, decision, snapshots, and commits under faults. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "version/ticket_commit.h"

enum {
	SCHEDULES = 1500,
	OPERATORS = 3,
	REQUESTS = 8, /**< Tickets each operator applies in a schedule. */
	NUMBERS = 120,
	KEYS = 5,
	POSITIONS_MAX = 256,
	LOG_MAX = 6,
	LOG_KEEP = 3,
	SHARD_MAX_BYTES = 400,
	ACTION_TIMEOUT_MS = 400,
};

static json_t *parse(const char *text)
{
	g_autofree char *copy = g_strdelimit(g_strdup(text), "'", '"');
	json_t *value = json_loads(copy, JSON_DECODE_ANY, NULL);

	g_assert_nonnull(value);
	return value;
}

/* A ticket of wrong form must be refused with the field that is wrong. */
static void test_form(void)
{
	static const struct {
		const char *text;
		const char *object;
		const char *field;
	} cases[] = {
		{ "[]", "", "" },
		{ "{}", "", "ticket" },
		{ "{'ticket':0}", "", "ticket" },
		{ "{'ticket':-1}", "", "ticket" },
		{ "{'ticket':1.0}", "", "ticket" },
		{ "{'ticket':9007199254740993}", "", "ticket" },
		{ "{'ticket':1}", "", "author" },
		{ "{'ticket':1,'author':''}", "", "author" },
		{ "{'ticket':1,'author':'a'}", "", "objects" },
		{ "{'ticket':1,'author':'a','objects':{}}", "", "objects" },
		{ "{'ticket':1,'author':'a','objects':{'model/m':1}}",
		  "model/m", "" },
		{ "{'ticket':1,'author':'a','objects':{'model/m':{}},'x':1}",
		  "", "x" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		CLEANUP_JSON json_t *content = parse(cases[i].text);
		config_problem_t problem;
		ticket_t ticket;

		g_test_message("case %zu", i);
		g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==,
				ERR_TICKET_INVALID);
		g_assert_cmpstr(problem.object, ==, cases[i].object);
		g_assert_cmpstr(problem.field, ==, cases[i].field);
	}
}

static ticket_t make_ticket(const char *text)
{
	CLEANUP_JSON json_t *content = parse(text);
	config_problem_t problem;
	ticket_t ticket;

	g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==, 0);
	return ticket;
}

static void accept_ticket(ticket_head_t *head, ticket_state_t *state,
			  const char *text)
{
	ticket_t ticket = make_ticket(text);

	g_assert_cmpint(ticket_head_append(head, &ticket, 1), ==, 0);
	g_assert_cmpint(
		ticket_state_apply(state, head->position, ticket.content), ==,
		0);
	ticket_free(&ticket);
}

/* The rules of acceptance; each row is decided on the same state. */
static void test_decision(void)
{
	static const struct {
		const char *text;
		bool acceptable;
		int err;
		uint64_t position;
		const char *object;
	} cases[] = {
		{ "{'ticket':8,'author':'a','objects':{'model/a':{}}}", true, 0,
		  0, "" },
		{ "{'ticket':6,'author':'a','objects':{'model/b':{}}}", true, 0,
		  0, "" },
		{ "{'ticket':6,'author':'a','objects':{'model/a':{}}}", false,
		  ERR_TICKET_STALE, 0, "model/a" },
		/* One old object refuses the whole ticket. */
		{ "{'ticket':6,'author':'a',"
		  "'objects':{'model/b':{},'model/a':{},'model/z':{}}}",
		  false, ERR_TICKET_STALE, 0, "model/a" },
		/* A deleted object keeps its number. */
		{ "{'ticket':4,'author':'a','objects':{'model/c':{}}}", false,
		  ERR_TICKET_STALE, 0, "model/c" },
		{ "{'author':'a','objects':{'model/a':{}},'ticket':7}", false,
		  0, 2, "" },
		{ "{'ticket':7,'author':'b','objects':{'model/a':{}}}", false,
		  ERR_TICKET_CONFLICT, 0, "" },
	};
	ticket_state_t state;
	ticket_head_t head;

	g_assert_cmpint(ticket_state_init(&state), ==, 0);
	g_assert_cmpint(ticket_head_init(&head), ==, 0);
	accept_ticket(&head, &state,
		      "{'ticket':5,'author':'a',"
		      "'objects':{'model/b':{},'model/c':null}}");
	accept_ticket(&head, &state,
		      "{'ticket':7,'author':'a','objects':{'model/a':{}}}");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ticket_t ticket = make_ticket(cases[i].text);
		ticket_result_t result;

		g_test_message("case %zu", i);
		g_assert_cmpint(ticket_decide(&head, &state, &ticket, &result),
				==, cases[i].acceptable);
		g_assert_cmpint(result.err, ==, cases[i].err);
		g_assert_cmpuint(result.position, ==, cases[i].position);
		if (result.err)
			g_assert_cmpstr(result.problem.object, ==,
					cases[i].object);
		ticket_free(&ticket);
	}
	ticket_state_free(&state);
	ticket_head_free(&head);
}

/* A shard above the value limit would end every later change. */
static void test_snapshot_shards(void)
{
	ticket_state_t state;
	ticket_state_t loaded;
	json_t *shards;
	json_t *shard;
	size_t i;

	g_assert_cmpint(ticket_state_init(&state), ==, 0);
	g_assert_cmpint(ticket_state_init(&loaded), ==, 0);
	for (int n = 0; n < 3000; n++) {
		g_autofree char *key = g_strdup_printf("endpoint/e%d", n);
		g_autofree char *text = g_strnfill((gsize)n % 900, 'x');

		json_object_set_new(state.numbers, key, json_integer(n + 1));
		if (n % 7)
			json_object_set_new(state.objects, key,
					    json_pack("{s:s}", "t", text));
	}
	shards = ticket_snapshot_split(&state, 100000);
	g_assert_cmpuint(json_array_size(shards), >, 10);
	json_array_foreach (shards, i, shard) {
		g_assert_cmpuint(json_dumpb(shard, NULL, 0, JSON_COMPACT), <=,
				 100000);
		g_assert_cmpint(ticket_snapshot_merge(&loaded, shard), ==, 0);
	}
	g_assert_true(json_equal(state.objects, loaded.objects));
	g_assert_true(json_equal(state.numbers, loaded.numbers));
	json_decref(shards);
	ticket_state_free(&state);
	ticket_state_free(&loaded);
}

/** One version of an object in the simulated store. */
typedef struct revision {
	uint64_t version;
	json_t *value;
} revision_t;

/** What the operator was told about a ticket last. */
typedef enum claim {
	CLAIM_NONE,
	CLAIM_OPEN,
	CLAIM_REFUSED,
	CLAIM_UNKNOWN,
	CLAIM_ACCEPTED,
} claim_t;

typedef struct operator
{
	ticket_commit_t commit;
	bool running;
	uint64_t number;
	int requests;
	claim_t claims[NUMBERS + 1];
	bool first[NUMBERS + 1]; /**< No earlier request had this ticket. */
	/** An earlier request may still take effect. */
	bool doubt[NUMBERS + 1];
	ticket_state_t state;
}
operator_t;

typedef struct pending {
	uint64_t at_ms;
	int operator;
	uint32_t run; /**< Start of the operator's process it belongs to. */
	bool is_answer;
	ticket_event_t event; /**< Holds a reference to its value. */
	ticket_action_t action;
	bool lost; /**< The answer to the action is not sent. */
} pending_t;

typedef struct world {
	rng_t rng;
	uint64_t now_ms;
	bool faults;
	GHashTable *objects; /**< Key to GArray of revision_t. */
	uint64_t version;
	GArray *pendings;
	operator_t operators[OPERATORS];
	uint32_t runs[OPERATORS];
	json_t *accepted[POSITIONS_MAX]; /**< Log entries by position. */
	ticket_state_t truth[POSITIONS_MAX];
	uint64_t position;
	uint64_t highest; /**< Accepted number. */
	int refused;
	int compactions;
} world_t;

static bool happens(world_t *world, int percent)
{
	return world->faults && (int)rng_below(&world->rng, 100) < percent;
}

static GArray *revisions_of(world_t *world, const char *key)
{
	GArray *revisions = g_hash_table_lookup(world->objects, key);

	if (!revisions) {
		revisions = g_array_new(FALSE, TRUE, sizeof(revision_t));
		g_hash_table_insert(world->objects, g_strdup(key), revisions);
	}
	return revisions;
}

static const revision_t *latest(const GArray *revisions)
{
	return revisions->len ? &g_array_index(revisions, revision_t,
					       revisions->len - 1)
			      : NULL;
}

/** Operator by the author field "op<N>". */
static int author_of(const json_t *entry)
{
	return json_string_value(json_object_get(entry, "author"))[2] - '0';
}

/* Checks each acceptance against everything accepted before. */
static void check_accepted(world_t *world, const json_t *entry)
{
	const ticket_state_t *before = &world->truth[world->position];
	uint64_t number =
		(uint64_t)json_integer_value(json_object_get(entry, "ticket"));
	g_autofree char *key = g_strdup_printf("ticket/%d", (int)number);
	const revision_t *content = latest(revisions_of(world, key));
	char digest[HASH_DIGEST_HEX_BYTES];
	claim_t claim = world->operators[author_of(entry)].claims[number];
	json_t *object;
	size_t i;

	json_array_foreach (json_object_get(entry, "keys"), i, object) {
		g_assert_cmpuint(
			json_integer_value(json_object_get(
				before->numbers, json_string_value(object))),
			<, number);
	}
	g_assert_nonnull(content);
	g_assert_cmpint(ticket_digest(content->value, digest), ==, 0);
	g_assert_cmpstr(digest, ==,
			json_string_value(json_object_get(entry, "digest")));
	/* What was reported as refused must not be accepted later. */
	g_assert_true(claim == CLAIM_OPEN || claim == CLAIM_UNKNOWN);
	g_assert_cmpuint(world->position + 1, <, POSITIONS_MAX);
	g_assert_cmpint(
		ticket_state_copy(before, &world->truth[world->position + 1]),
		==, 0);
	world->position++;
	g_assert_cmpint(ticket_state_apply(&world->truth[world->position],
					   world->position, content->value),
			==, 0);
	world->accepted[world->position] = json_deep_copy(entry);
	world->highest = MAX(world->highest, number);
}

static void check_head(world_t *world, const json_t *value)
{
	ticket_head_t head;

	g_assert_cmpint(ticket_head_from_json(value, &head), ==, 0);
	g_assert_cmpuint(head.position, >, world->position);
	g_assert_cmpuint(json_array_size(head.log), <=, LOG_MAX);
	while (world->position < head.position)
		check_accepted(world,
			       ticket_head_entry(&head, world->position + 1));
	ticket_head_free(&head);
}

static int store_write(world_t *world, const ticket_action_t *action)
{
	GArray *revisions = revisions_of(world, action->key);
	const revision_t *old = latest(revisions);
	revision_t new = { .version = world->version + 1 };

	if (action->kind == TICKET_ACTION_CREATE
		    ? old != NULL
		    : !old || old->version != action->version)
		return ERR_STORE_CONDITION;
	if (!strcmp(action->key, "config/head"))
		check_head(world, action->value);
	if (g_str_has_prefix(action->key, "config/snapshot/")) {
		world->compactions++;
		g_assert_cmpuint(
			json_dumpb(action->value, NULL, 0, JSON_COMPACT), <=,
			SHARD_MAX_BYTES);
	}
	world->version++;
	new.value = json_deep_copy(action->value);
	g_array_append_val(revisions, new);
	return 0;
}

/** Fills in the answer to a read, sometimes from an older revision. */
static void store_read(world_t *world, const ticket_action_t *action,
		       ticket_event_t *event)
{
	GArray *revisions = revisions_of(world, action->key);
	guint index = revisions->len;
	const revision_t *found;

	if (happens(world, 10))
		index = (guint)rng_below(&world->rng, index + 1);
	if (!index) {
		event->err = ERR_NOT_FOUND;
		return;
	}
	found = &g_array_index(revisions, revision_t, index - 1);
	event->version = found->version;
	event->value = json_incref(found->value);
}

static void push(world_t *world, pending_t pending)
{
	json_incref(pending.action.value);
	json_incref(pending.event.value);
	g_array_append_val(world->pendings, pending);
}

static uint64_t delay_ms(world_t *world)
{
	return world->now_ms + 1 + rng_below(&world->rng, 20);
}

static void push_answer(world_t *world, const pending_t *of, int err,
			uint64_t at_ms)
{
	pending_t answer = { .at_ms = at_ms,
			     .operator= of->operator,
			     .run = of->run,
			     .is_answer = true,
			     .event = { .kind = TICKET_EVENT_ANSWER,
					.id = of->action.id,
					.err = err } };

	push(world, answer);
}

static void deliver(world_t *world, const pending_t *request)
{
	pending_t answer = { .at_ms = delay_ms(world),
			     .operator= request->operator,
			     .run = request->run,
			     .is_answer = true,
			     .event = { .kind = TICKET_EVENT_ANSWER,
					.id = request->action.id } };

	if (request->action.kind == TICKET_ACTION_GET)
		store_read(world, &request->action, &answer.event);
	else
		answer.event.err = store_write(world, &request->action);
	if (!request->lost) {
		push(world, answer);
		if (happens(world, 5)) {
			answer.at_ms += 50;
			push(world, answer);
		}
	}
	json_decref(answer.event.value);
}

/** Sends a request to the store with the faults of the schedule. */
static void send_request(world_t *world, int operator,
			 const ticket_action_t * action)
{
	pending_t request = { .at_ms = delay_ms(world),
			      .operator= operator,
			      .run = world->runs[operator], .action = *action };
	bool write = action->kind != TICKET_ACTION_GET;
	int err = write ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN;

	if (happens(world, 4)) {
		push_answer(world, &request, ERR_STORE_DOWN, request.at_ms);
		return;
	}
	if (happens(world, 8)) {
		/* The answer is lost; the effect may come much later. */
		push_answer(world, &request, err, request.at_ms);
		request.at_ms += rng_below(&world->rng, 300);
		request.lost = true;
	} else if (happens(world, 3)) {
		request.lost = true;
	} else if (happens(world, 3)) {
		request.at_ms += 2 * ACTION_TIMEOUT_MS;
	}
	if (!happens(world, 2))
		push(world, request);
}

static json_t *make_content(int operator, uint64_t number)
{
	static const char *const keys[KEYS] = { "model/a", "model/b", "model/c",
						"model/d", "model/e" };
	g_autofree char *author = g_strdup_printf("op%d", operator);
	json_t *objects = json_object();
	rng_t rng;

	/* The same operator gives a number the same content each time. */
	rng_init(&rng, number * OPERATORS + (uint64_t) operator);
	for (int i = 0; i < 3; i++) {
		const char *key = keys[rng_below(&rng, KEYS)];

		if (rng_below(&rng, 5))
			json_object_set_new(objects, key,
					    json_pack("{s:I}", "block_tokens",
						      (json_int_t)number));
		else
			json_object_set_new(objects, key, json_null());
	}
	return json_pack("{s:I, s:s, s:o}", "ticket", (json_int_t)number,
			 "author", author, "objects", objects);
}

static void take_action(world_t *world, int operator,
			const ticket_action_t * action);

static void step(world_t *world, int operator, const ticket_event_t * event)
{
	ticket_action_t action;

	ticket_commit_step(&world->operators[operator].commit, event,
			   world->now_ms, &action);
	take_action(world, operator, & action);
}

static void add_ticket(operator_t *self, int operator, uint64_t number)
{
	CLEANUP_JSON json_t *content = make_content(operator, number);
	config_problem_t problem;
	ticket_t ticket;
	size_t index;

	g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==, 0);
	g_assert_cmpint(ticket_commit_add(&self->commit, &ticket, &index), ==,
			0);
	ticket_free(&ticket);
	self->first[number] = self->claims[number] == CLAIM_NONE;
	self->doubt[number] = self->claims[number] == CLAIM_UNKNOWN;
	self->claims[number] = CLAIM_OPEN;
}

/** A number near the highest ones, so that some are stale and some meet. */
static uint64_t random_number(world_t *world)
{
	uint64_t number = world->highest + rng_below(&world->rng, 8);

	return CLAMP(number, 3, NUMBERS) - 2;
}

/** Starts a commit of the operator's number and sometimes a second one. */
static void start_request(world_t *world, int operator)
{
	operator_t *self = &world->operators[operator];
	const ticket_event_t event = { .kind = TICKET_EVENT_START };
	const ticket_commit_options_t options = {
		.log_max = LOG_MAX,
		.log_keep = 1 + (uint32_t)rng_below(&world->rng, LOG_KEEP),
		.shard_max_bytes = SHARD_MAX_BYTES,
		.action_timeout_ms = ACTION_TIMEOUT_MS,
		.seed = rng_next(&world->rng),
	};
	uint64_t second = random_number(world);

	world->runs[operator]++;
	self->running = true;
	g_assert_cmpint(
		ticket_commit_init(&self->commit, &options, &self->state, 1,
				   world->now_ms + 20 +
					   rng_below(&world->rng, 4000)),
		==, 0);
	add_ticket(self, operator, self->number);
	if (second != self->number && rng_below(&world->rng, 3) == 0)
		add_ticket(self, operator, second);
	step(world, operator, & event);
}

static claim_t check_result(world_t *world, const operator_t *self,
			    const ticket_item_t *item)
{
	const ticket_result_t *result = &item->result;
	const char *digest = item->ticket.digest;
	bool accepted = false;

	for (uint64_t i = 1; i <= world->position; i++) {
		const json_t *entry = world->accepted[i];

		if (strcmp(json_string_value(json_object_get(entry, "digest")),
			   digest) != 0)
			continue;
		g_assert_false(accepted);
		accepted = true;
		if (!result->err && result->position)
			g_assert_cmpuint(result->position, ==, i);
	}
	switch (result->err) {
	case 0:
		g_assert_true(accepted);
		return CLAIM_ACCEPTED;
	case ERR_STORE_UNKNOWN:
		return CLAIM_UNKNOWN;
	case ERR_TICKET_STALE:
		world->refused++;
		g_assert_cmpuint(json_integer_value(json_object_get(
					 world->truth[world->position].numbers,
					 result->problem.object)),
				 >, item->ticket.number);
		/* A first request that was accepted must not say stale. */
		g_assert_false(accepted && self->first[item->ticket.number]);
		return accepted ? CLAIM_ACCEPTED : CLAIM_REFUSED;
	case ERR_TICKET_CONFLICT:
		world->refused++;
		g_assert_false(accepted);
		return CLAIM_REFUSED;
	case ERR_STORE_DOWN:
		g_assert_false(accepted && self->first[item->ticket.number]);
		if (accepted)
			return CLAIM_ACCEPTED;
		/* This speaks for the last request only. */
		return self->doubt[item->ticket.number] ? CLAIM_UNKNOWN
							: CLAIM_REFUSED;
	default:
		g_error("unexpected result %s", error_type(result->err));
	}
}

/* A state must equal the truth at its position, so no ticket is in half. */
static void check_state(const world_t *world, const ticket_state_t *state)
{
	const ticket_state_t *truth = &world->truth[state->position];

	g_assert_cmpuint(state->position, <=, world->position);
	g_assert_true(json_equal(state->objects, truth->objects));
	g_assert_true(json_equal(state->numbers, truth->numbers));
}

static void next_request(world_t *world, int operator)
{
	operator_t *self = &world->operators[operator];

	if (self->requests-- <= 0)
		return;
	/* Some requests repeat the last ticket. */
	if (!self->number || rng_below(&world->rng, 4))
		self->number = random_number(world);
	start_request(world, operator);
}

static void finish_request(world_t *world, int operator)
{
	operator_t *self = &world->operators[operator];

	for (size_t i = 0; i < self->commit.count; i++) {
		const ticket_item_t *item = &self->commit.items[i];

		g_assert_true(item->final);
		self->claims[item->ticket.number] =
			check_result(world, self, item);
	}
	check_state(world, &self->commit.state);
	g_assert_cmpuint(self->commit.state.position, >=, self->state.position);
	ticket_state_free(&self->state);
	g_assert_cmpint(ticket_state_copy(&self->commit.state, &self->state),
			==, 0);
	ticket_commit_free(&self->commit);
	self->running = false;
	next_request(world, operator);
}

static void take_action(world_t *world, int operator,
			const ticket_action_t * action)
{
	pending_t timer = {
		.operator= operator,
		.run = world->runs[operator], .is_answer = true,
				   .event = { .kind = TICKET_EVENT_TIME } };

	switch (action->kind) {
	case TICKET_ACTION_NONE:
		return;
	case TICKET_ACTION_DONE:
		finish_request(world, operator);
		return;
	case TICKET_ACTION_WAIT:
		timer.at_ms = action->until_ms;
		push(world, timer);
		return;
	default:
		send_request(world, operator, action);
		timer.at_ms = world->now_ms + ACTION_TIMEOUT_MS;
		push(world, timer);
		return;
	}
}

/** Ends an operator's process and applies the same ticket again. */
static void restart(world_t *world, int operator)
{
	operator_t *self = &world->operators[operator];

	for (size_t i = 0; i < self->commit.count; i++)
		self->claims[self->commit.items[i].ticket.number] =
			CLAIM_UNKNOWN;
	ticket_commit_free(&self->commit);
	ticket_state_free(&self->state);
	g_assert_cmpint(ticket_state_init(&self->state), ==, 0);
	start_request(world, operator);
}

static void run_pending(world_t *world)
{
	GArray *pendings = world->pendings;
	guint first = 0;
	pending_t pending;

	for (guint i = 1; i < pendings->len; i++) {
		if (g_array_index(pendings, pending_t, i).at_ms <
		    g_array_index(pendings, pending_t, first).at_ms)
			first = i;
	}
	pending = g_array_index(pendings, pending_t, first);
	g_array_remove_index_fast(pendings, first);
	world->now_ms = MAX(world->now_ms, pending.at_ms);
	if (!pending.is_answer) {
		deliver(world, &pending);
	} else if (world->operators[pending.operator].running &&
		   pending.run == world->runs[pending.operator]) {
		if (happens(world, 1))
			restart(world, pending.operator);
		else
			step(world, pending.operator, & pending.event);
	}
	json_decref(pending.event.value);
	json_decref(pending.action.value);
}

static void free_revisions(gpointer data)
{
	GArray *revisions = data;

	for (guint i = 0; i < revisions->len; i++)
		json_decref(g_array_index(revisions, revision_t, i).value);
	g_array_free(revisions, TRUE);
}

static world_t *make_world(uint64_t seed)
{
	world_t *world = g_new0(world_t, 1);

	rng_init(&world->rng, seed);
	world->faults = true;
	world->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_revisions);
	world->pendings = g_array_new(FALSE, FALSE, sizeof(pending_t));
	ticket_state_init(&world->truth[0]);
	for (int i = 0; i < OPERATORS; i++) {
		ticket_state_init(&world->operators[i].state);
		world->operators[i].requests = REQUESTS;
	}
	return world;
}

static void free_world(world_t *world)
{
	for (uint64_t i = 0; i <= world->position; i++) {
		ticket_state_free(&world->truth[i]);
		json_decref(world->accepted[i]);
	}
	for (int i = 0; i < OPERATORS; i++)
		ticket_state_free(&world->operators[i].state);
	g_hash_table_destroy(world->objects);
	g_array_free(world->pendings, TRUE);
	g_free(world);
}

/** Reads everything from an empty state and without faults. */
static void check_reader(world_t *world)
{
	operator_t *self = &world->operators[0];
	const ticket_event_t event = { .kind = TICKET_EVENT_START };
	const ticket_commit_options_t options = { 0 };

	world->faults = false;
	world->runs[0]++;
	ticket_state_free(&self->state);
	g_assert_cmpint(ticket_state_init(&self->state), ==, 0);
	self->requests = 0;
	self->running = true;
	g_assert_cmpint(ticket_commit_init(&self->commit, &options,
					   &self->state, 1,
					   world->now_ms + 60000),
			==, 0);
	step(world, 0, &event);
	while (world->pendings->len)
		run_pending(world);
	g_assert_false(self->running);
	g_assert_cmpuint(self->state.position, ==, world->position);
}

/*
 * Racing operators, lost and late answers, repeats, stale reads, restarts and
 * compaction must not let a lower ticket win, a ticket apply in part, or a
 * refused ticket take effect.
 */
static void test_schedules(void)
{
	uint64_t positions = 0;
	int refused = 0;
	int compactions = 0;

	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		world_t *world = make_world(seed);

		g_test_message("seed %d", (int)seed);
		for (int i = 0; i < OPERATORS; i++)
			next_request(world, i);
		while (world->pendings->len)
			run_pending(world);
		for (int i = 0; i < OPERATORS; i++)
			g_assert_false(world->operators[i].running);
		check_reader(world);
		positions += world->position;
		refused += world->refused;
		compactions += world->compactions;
		free_world(world);
	}
	/* The schedules reach the cases they are meant for. */
	g_test_message("%d positions, %d refused, %d shards", (int)positions,
		       refused, compactions);
	g_assert_cmpuint(positions, >, SCHEDULES * 8);
	g_assert_cmpint(refused, >, SCHEDULES);
	g_assert_cmpint(compactions, >, SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ticket/form", test_form);
	g_test_add_func("/ticket/decision", test_decision);
	g_test_add_func("/ticket/snapshot", test_snapshot_shards);
	g_test_add_func("/ticket/schedules", test_schedules);
	return g_test_run();
}
