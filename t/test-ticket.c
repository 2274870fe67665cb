/* Tickets: commits under faults. */
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
	LOG_MAX = 8,
	LOG_KEEP = 5,
	PAGE_ENTRIES = 2,
	SHARD_MAX_BYTES = 400,
	ACTION_TIMEOUT_MS = 400,
};

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

/** Cases reached, over all schedules. */
typedef struct counts {
	int positions;
	int refused;
	int shards;
	int pages;
	int pages_read;
	/** Heads read while the head still holds a page that was written. */
	int early_heads;
} counts_t;

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
	uint64_t paged;	  /**< Position up to which pages were written. */
	uint64_t start;	  /**< Position before the first entry of the head. */
	counts_t *counts;
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

/* A page must hold what was accepted, whichever writer comes first. */
static void check_page(const world_t *world, uint64_t page, const json_t *value)
{
	const json_t *log = json_object_get(value, "log");

	g_assert_cmpuint(json_array_size(log), ==, PAGE_ENTRIES);
	for (size_t i = 0; i < PAGE_ENTRIES; i++) {
		uint64_t position = page * PAGE_ENTRIES + i + 1;
		CLEANUP_JSON json_t *entry =
			json_copy(world->accepted[position]);

		g_assert_cmpuint(position, <=, world->position);
		json_object_del(entry, "keys");
		g_assert_true(json_equal(json_array_get(log, i), entry));
	}
}

/* What the log covers must be in the head or in a page at all times. */
static void check_head(world_t *world, const json_t *value)
{
	ticket_head_t head;

	g_assert_cmpint(ticket_head_from_json(value, &head), ==, 0);
	g_assert_cmpuint(head.position, >, world->position);
	g_assert_cmpuint(head.position - head.log_position, <=,
			 LOG_MAX + PAGE_ENTRIES);
	/* Two tickets of the last update, and less than a page before them. */
	g_assert_cmpuint(json_array_size(head.log), <=, 2 + PAGE_ENTRIES - 1);
	world->start = ticket_head_start(&head);
	for (uint64_t i = head.log_position; i < world->start;
	     i += PAGE_ENTRIES) {
		char key[TICKET_KEY_MAX_BYTES];

		ticket_page_key(i / PAGE_ENTRIES, key);
		g_assert_nonnull(latest(revisions_of(world, key)));
	}
	for (uint64_t i = world->start + 1; i <= world->position; i++)
		g_assert_true(json_equal(ticket_head_entry(&head, i),
					 world->accepted[i]));
	while (world->position < head.position)
		check_accepted(world,
			       ticket_head_entry(&head, world->position + 1));
	ticket_head_free(&head);
}

/** Checks the value of a page and notes how far pages were written. */
static void write_page(world_t *world, const ticket_action_t *action)
{
	uint64_t page =
		g_ascii_strtoull(strrchr(action->key, '/') + 1, NULL, 10);

	check_page(world, page, action->value);
	world->counts->pages++;
	world->paged = MAX(world->paged, (page + 1) * PAGE_ENTRIES);
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
	if (g_str_has_prefix(action->key, "config/log/"))
		write_page(world, action);
	if (g_str_has_prefix(action->key, "config/snapshot/")) {
		world->counts->shards++;
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
	if (g_str_has_prefix(action->key, "config/log/"))
		world->counts->pages_read++;
	if (!strcmp(action->key, "config/head") && world->paged > world->start)
		world->counts->early_heads++;
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

static pending_t make_answer(const pending_t *of, int err, uint64_t at_ms)
{
	return (pending_t){ .at_ms = at_ms,
			    .operator= of->operator,
			    .run = of->run,
			    .is_answer = true,
			    .event = { .kind = TICKET_EVENT_ANSWER,
				       .id = of->action.id,
				       .err = err } };
}

static void deliver(world_t *world, const pending_t *request)
{
	pending_t answer = make_answer(request, 0, delay_ms(world));

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
		push(world,
		     make_answer(&request, ERR_STORE_DOWN, request.at_ms));
		return;
	}
	if (happens(world, 8)) {
		/* The answer is lost; the effect may come much later. */
		push(world, make_answer(&request, err, request.at_ms));
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

static void init_commit(world_t *world, int operator, uint64_t timeout_ms)
{
	operator_t *self = &world->operators[operator];
	const ticket_commit_options_t options = {
		.log_max = LOG_MAX,
		.log_keep = 1 + (uint32_t)rng_below(&world->rng, LOG_KEEP),
		.page_entries = PAGE_ENTRIES,
		.shard_max_bytes = SHARD_MAX_BYTES,
		.action_timeout_ms = ACTION_TIMEOUT_MS,
		.seed = rng_next(&world->rng),
	};

	world->runs[operator]++;
	self->running = true;
	g_assert_cmpint(ticket_commit_init(&self->commit, &options,
					   &self->state, 1,
					   world->now_ms + timeout_ms),
			==, 0);
}

static void start_commit(world_t *world, int operator)
{
	const ticket_event_t event = { .kind = TICKET_EVENT_START };

	step(world, operator, & event);
}

/** Starts a commit of the operator's number and sometimes a second one. */
static void start_request(world_t *world, int operator)
{
	operator_t *self = &world->operators[operator];
	uint64_t second = random_number(world);

	init_commit(world, operator, 20 + rng_below(&world->rng, 4000));
	add_ticket(self, operator, self->number);
	if (second != self->number && rng_below(&world->rng, 3) == 0)
		add_ticket(self, operator, second);
	start_commit(world, operator);
}

static void forget_state(operator_t *self)
{
	ticket_state_free(&self->state);
	g_assert_cmpint(ticket_state_init(&self->state), ==, 0);
}

static claim_t check_result(world_t *world, const operator_t *self,
			    const ticket_item_t *item)
{
	const ticket_result_t *result = &item->result;
	const char *digest = item->ticket.digest;
	uint64_t log_position = self->commit.head.log_position;
	bool accepted = false;

	for (uint64_t i = 1; i <= world->position; i++) {
		const json_t *entry = world->accepted[i];

		if (strcmp(json_string_value(json_object_get(entry, "digest")),
			   digest) != 0)
			continue;
		g_assert_false(accepted);
		accepted = true;
		/* A repeat is found as long as the log covers it. */
		if (result->err == ERR_TICKET_STALE)
			g_assert_cmpuint(i, <=, log_position);
		if (!result->err && (result->position || i > log_position))
			g_assert_cmpuint(result->position, ==, i);
	}
	switch (result->err) {
	case 0:
		g_assert_true(accepted);
		return CLAIM_ACCEPTED;
	case ERR_STORE_UNKNOWN:
		return CLAIM_UNKNOWN;
	case ERR_TICKET_STALE:
		world->counts->refused++;
		g_assert_cmpuint(json_integer_value(json_object_get(
					 world->truth[world->position].numbers,
					 result->problem.object)),
				 >, item->ticket.number);
		/* A first request that was accepted must not say stale. */
		g_assert_false(accepted && self->first[item->ticket.number]);
		return accepted ? CLAIM_ACCEPTED : CLAIM_REFUSED;
	case ERR_TICKET_CONFLICT:
		world->counts->refused++;
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
	forget_state(self);
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

static world_t *make_world(uint64_t seed, counts_t *counts)
{
	world_t *world = g_new0(world_t, 1);

	rng_init(&world->rng, seed);
	world->faults = true;
	world->counts = counts;
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

static void run_all(world_t *world)
{
	while (world->pendings->len)
		run_pending(world);
	for (int i = 0; i < OPERATORS; i++)
		g_assert_false(world->operators[i].running);
}

/** Reads everything from an empty state and without faults. */
static void check_reader(world_t *world)
{
	operator_t *self = &world->operators[0];

	world->faults = false;
	self->requests = 0;
	forget_state(self);
	init_commit(world, 0, 60000);
	start_commit(world, 0);
	run_all(world);
	g_assert_cmpuint(self->state.position, ==, world->position);
}

/*
 * Racing operators, lost and late answers, repeats, stale reads, restarts and
 * compaction must not let a lower ticket win, a ticket apply in part, or a
 * refused ticket take effect.
 */
static void test_schedules(void)
{
	counts_t counts = { 0 };

	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		world_t *world = make_world(seed, &counts);

		g_test_message("seed %d", (int)seed);
		for (int i = 0; i < OPERATORS; i++)
			next_request(world, i);
		run_all(world);
		check_reader(world);
		counts.positions += (int)world->position;
		free_world(world);
	}
	/* The schedules reach the cases they are meant for. */
	g_test_message("%d positions, %d refused, %d shards, %d pages, "
		       "%d pages read, %d heads read before their update",
		       counts.positions, counts.refused, counts.shards,
		       counts.pages, counts.pages_read, counts.early_heads);
	g_assert_cmpint(counts.positions, >, SCHEDULES * 8);
	g_assert_cmpint(counts.refused, >, SCHEDULES);
	g_assert_cmpint(counts.shards, >, SCHEDULES);
	g_assert_cmpint(counts.pages, >, SCHEDULES);
	g_assert_cmpint(counts.pages_read, >, SCHEDULES);
	g_assert_cmpint(counts.early_heads, >, SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ticket/schedules", test_schedules);
	return g_test_run();
}
