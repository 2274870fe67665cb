/*
 * Concurrent ticket commits against a simulated store with lost and late
 * answers, stale reads and process restarts.
 */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "version/ticket_commit.h"

enum {
	SCHEDULES = 1500,
	OPERATORS = 3,
	/** Commits that each operator starts in a schedule. */
	REQUESTS_PER_OPERATOR = 8,
	TICKET_NUMBERS = 120, /**< Highest ticket number. */
	OBJECT_KEYS = 5,
	MAX_POSITIONS = 256,
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

/** Latest outcome that an operator received for a ticket. */
typedef enum reported {
	REPORTED_NONE,	  /**< Never submitted. */
	REPORTED_PENDING, /**< The current commit has it. */
	REPORTED_REFUSED,
	REPORTED_UNKNOWN,
	REPORTED_ACCEPTED,
} reported_t;

/** A simulated operator, which runs one commit at a time. */
typedef struct operator_sim {
	ticket_commit_t commit;
	bool running;
	uint64_t number; /**< Ticket of the latest request. */
	int requests;	 /**< Left to start. */
	reported_t reported[TICKET_NUMBERS + 1];
	/** No earlier request had this ticket. */
	bool is_first[TICKET_NUMBERS + 1];
	/** An earlier request may still take effect. */
	bool earlier_unknown[TICKET_NUMBERS + 1];
	ticket_state_t state;
} operator_sim_t;

/** A request on its way to the store, or an event for a commit. */
typedef struct sim_event {
	uint64_t at_ms;
	int op_index;
	uint32_t commit_number; /**< Events for earlier commits are ignored. */
	bool is_answer;		/**< Store answer or timer, for the commit. */
	ticket_event_t event;	/**< Holds a reference to its value. */
	ticket_action_t action;
	bool lost; /**< The answer to the action is not sent. */
} sim_event_t;

/** How often all schedules together reached the relevant cases. */
typedef struct coverage {
	int positions;
	int refused;
	int shards;
	int pages;
	int pages_read;
	/** Reads of a head whose log still has entries of a written page. */
	int head_reads_after_page;
} coverage_t;

typedef struct sim {
	rng_t rng;
	uint64_t now_ms;
	bool faults;
	GHashTable *objects; /**< Key to GArray of revision_t. */
	uint64_t version;    /**< Latest version in the store. */
	GArray *events;	     /**< Of sim_event_t, unordered. */
	operator_sim_t operators[OPERATORS];
	uint32_t commit_numbers[OPERATORS];
	json_t *accepted[MAX_POSITIONS];	/**< Log entries by position. */
	ticket_state_t expected[MAX_POSITIONS]; /**< States by position. */
	uint64_t position;			/**< Of the stored head. */
	uint64_t highest_number; /**< Highest accepted ticket number. */
	uint64_t paged_position; /**< Position up to which pages exist. */
	/** Position before the first entry in the stored head. */
	uint64_t base_position;
	coverage_t *coverage;
} sim_t;

static bool draw_fault(sim_t *sim, int percent)
{
	return sim->faults && (int)rng_below(&sim->rng, 100) < percent;
}

static GArray *revisions_of(sim_t *sim, const char *key)
{
	GArray *revisions = g_hash_table_lookup(sim->objects, key);

	if (!revisions) {
		revisions = g_array_new(FALSE, TRUE, sizeof(revision_t));
		g_hash_table_insert(sim->objects, g_strdup(key), revisions);
	}
	return revisions;
}

static const revision_t *latest_revision(const GArray *revisions)
{
	return revisions->len ? &g_array_index(revisions, revision_t,
					       revisions->len - 1)
			      : NULL;
}

/** Index of the operator, from the author "op<N>". */
static int read_author(const json_t *entry)
{
	return json_string_value(json_object_get(entry, "author"))[2] - '0';
}

/* Checks an accepted ticket against all tickets accepted before. */
static void check_accepted(sim_t *sim, const json_t *entry)
{
	const ticket_state_t *before = &sim->expected[sim->position];
	uint64_t number =
		(uint64_t)json_integer_value(json_object_get(entry, "ticket"));
	g_autofree char *key = g_strdup_printf("ticket/%d", (int)number);
	const revision_t *content = latest_revision(revisions_of(sim, key));
	char digest[HASH_DIGEST_HEX_BYTES];
	reported_t reported =
		sim->operators[read_author(entry)].reported[number];
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
	/* A ticket reported as refused must not be accepted later. */
	g_assert_true(reported == REPORTED_PENDING ||
		      reported == REPORTED_UNKNOWN);
	g_assert_cmpuint(sim->position + 1, <, MAX_POSITIONS);
	g_assert_cmpint(
		ticket_state_copy(before, &sim->expected[sim->position + 1]),
		==, 0);
	sim->position++;
	g_assert_cmpint(ticket_state_apply(&sim->expected[sim->position],
					   sim->position, content->value),
			==, 0);
	sim->accepted[sim->position] = json_deep_copy(entry);
	sim->highest_number = MAX(sim->highest_number, number);
}

/* A page must hold the accepted entries, whichever writer comes first. */
static void check_page(const sim_t *sim, uint64_t page, const json_t *value)
{
	const json_t *log = json_object_get(value, "log");

	g_assert_cmpuint(json_array_size(log), ==, PAGE_ENTRIES);
	for (size_t i = 0; i < PAGE_ENTRIES; i++) {
		uint64_t position = page * PAGE_ENTRIES + i + 1;
		CLEANUP_JSON json_t *entry = json_copy(sim->accepted[position]);

		g_assert_cmpuint(position, <=, sim->position);
		json_object_del(entry, "keys");
		g_assert_true(json_equal(json_array_get(log, i), entry));
	}
}

/* Each entry of the log must be in the head or in a page at all times. */
static void check_head(sim_t *sim, const json_t *value)
{
	ticket_head_t head;

	g_assert_cmpint(ticket_head_from_json(value, &head), ==, 0);
	g_assert_cmpuint(head.position, >, sim->position);
	g_assert_cmpuint(head.position - head.log_position, <=,
			 LOG_MAX + PAGE_ENTRIES);
	/* Two tickets of the last update, and less than a page before them. */
	g_assert_cmpuint(json_array_size(head.log), <=, 2 + PAGE_ENTRIES - 1);
	sim->base_position = ticket_head_base_position(&head);
	for (uint64_t i = head.log_position; i < sim->base_position;
	     i += PAGE_ENTRIES) {
		char key[TICKET_KEY_MAX_BYTES];

		ticket_page_key(i / PAGE_ENTRIES, key);
		g_assert_nonnull(latest_revision(revisions_of(sim, key)));
	}
	for (uint64_t i = sim->base_position + 1; i <= sim->position; i++)
		g_assert_true(json_equal(ticket_head_entry(&head, i),
					 sim->accepted[i]));
	while (sim->position < head.position)
		check_accepted(sim,
			       ticket_head_entry(&head, sim->position + 1));
	ticket_head_free(&head);
}

/** Checks the value of a page and records how far pages were written. */
static void check_page_write(sim_t *sim, const ticket_action_t *action)
{
	uint64_t page =
		g_ascii_strtoull(strrchr(action->key, '/') + 1, NULL, 10);

	check_page(sim, page, action->value);
	sim->coverage->pages++;
	sim->paged_position =
		MAX(sim->paged_position, (page + 1) * PAGE_ENTRIES);
}

static int store_write(sim_t *sim, const ticket_action_t *action)
{
	GArray *revisions = revisions_of(sim, action->key);
	const revision_t *old = latest_revision(revisions);
	revision_t new = { .version = sim->version + 1 };

	if (action->kind == TICKET_ACTION_CREATE
		    ? old != NULL
		    : !old || old->version != action->version)
		return ERR_STORE_CONDITION;
	if (!strcmp(action->key, "config/head"))
		check_head(sim, action->value);
	if (g_str_has_prefix(action->key, "config/log/"))
		check_page_write(sim, action);
	if (g_str_has_prefix(action->key, "config/snapshot/")) {
		sim->coverage->shards++;
		g_assert_cmpuint(
			json_dumpb(action->value, NULL, 0, JSON_COMPACT), <=,
			SHARD_MAX_BYTES);
	}
	sim->version++;
	new.value = json_deep_copy(action->value);
	g_array_append_val(revisions, new);
	return 0;
}

/** Fills in the answer to a read, sometimes from an older revision. */
static void store_read(sim_t *sim, const ticket_action_t *action,
		       ticket_event_t *event)
{
	GArray *revisions = revisions_of(sim, action->key);
	guint index = revisions->len;
	const revision_t *found;

	if (draw_fault(sim, 10))
		index = (guint)rng_below(&sim->rng, index + 1);
	if (!index) {
		event->err = ERR_NOT_FOUND;
		return;
	}
	found = &g_array_index(revisions, revision_t, index - 1);
	if (g_str_has_prefix(action->key, "config/log/"))
		sim->coverage->pages_read++;
	if (!strcmp(action->key, "config/head") &&
	    sim->paged_position > sim->base_position)
		sim->coverage->head_reads_after_page++;
	event->version = found->version;
	event->value = json_incref(found->value);
}

static void schedule(sim_t *sim, sim_event_t pending)
{
	json_incref(pending.action.value);
	json_incref(pending.event.value);
	g_array_append_val(sim->events, pending);
}

static uint64_t random_arrival_ms(sim_t *sim)
{
	return sim->now_ms + 1 + rng_below(&sim->rng, 20);
}

static sim_event_t answer_to(const sim_event_t *request, int err,
			     uint64_t at_ms)
{
	return (sim_event_t){ .at_ms = at_ms,
			      .op_index = request->op_index,
			      .commit_number = request->commit_number,
			      .is_answer = true,
			      .event = { .kind = TICKET_EVENT_ANSWER,
					 .id = request->action.id,
					 .err = err } };
}

static void deliver(sim_t *sim, const sim_event_t *request)
{
	sim_event_t answer = answer_to(request, 0, random_arrival_ms(sim));

	if (request->action.kind == TICKET_ACTION_GET)
		store_read(sim, &request->action, &answer.event);
	else
		answer.event.err = store_write(sim, &request->action);
	if (!request->lost) {
		schedule(sim, answer);
		if (draw_fault(sim, 5)) {
			answer.at_ms += 50;
			schedule(sim, answer);
		}
	}
	json_decref(answer.event.value);
}

/** Sends a request to the store with the faults of the schedule. */
static void send_request(sim_t *sim, int op_index,
			 const ticket_action_t *action)
{
	sim_event_t request = { .at_ms = random_arrival_ms(sim),
				.op_index = op_index,
				.commit_number = sim->commit_numbers[op_index],
				.action = *action };
	bool write = action->kind != TICKET_ACTION_GET;
	int err = write ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN;

	if (draw_fault(sim, 4)) {
		schedule(sim,
			 answer_to(&request, ERR_STORE_DOWN, request.at_ms));
		return;
	}
	if (draw_fault(sim, 8)) {
		/* The answer is lost; the write may take effect later. */
		schedule(sim, answer_to(&request, err, request.at_ms));
		request.at_ms += rng_below(&sim->rng, 300);
		request.lost = true;
	} else if (draw_fault(sim, 3)) {
		request.lost = true;
	} else if (draw_fault(sim, 3)) {
		request.at_ms += 2 * ACTION_TIMEOUT_MS;
	}
	if (!draw_fault(sim, 2))
		schedule(sim, request);
}

static json_t *make_content(int op_index, uint64_t number)
{
	static const char *const keys[OBJECT_KEYS] = { "model/a", "model/b",
						       "model/c", "model/d",
						       "model/e" };
	g_autofree char *author = g_strdup_printf("op%d", op_index);
	json_t *objects = json_object();
	rng_t rng;

	/* An operator uses the same content for a number each time. */
	rng_init(&rng, number * OPERATORS + (uint64_t)op_index);
	for (int i = 0; i < 3; i++) {
		const char *key = keys[rng_below(&rng, OBJECT_KEYS)];

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

static void perform_action(sim_t *sim, int op_index,
			   const ticket_action_t *action);

static void step_commit(sim_t *sim, int op_index, const ticket_event_t *event)
{
	ticket_action_t action;

	ticket_commit_step(&sim->operators[op_index].commit, event, sim->now_ms,
			   &action);
	perform_action(sim, op_index, &action);
}

static void add_ticket(operator_sim_t *op, int op_index, uint64_t number)
{
	CLEANUP_JSON json_t *content = make_content(op_index, number);
	config_problem_t problem;
	ticket_t ticket;
	size_t index;

	g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==, 0);
	g_assert_cmpint(ticket_commit_add(&op->commit, &ticket, &index), ==, 0);
	ticket_free(&ticket);
	op->is_first[number] = op->reported[number] == REPORTED_NONE;
	op->earlier_unknown[number] = op->reported[number] == REPORTED_UNKNOWN;
	op->reported[number] = REPORTED_PENDING;
}

/** A number near the highest, so that some are stale and some collide. */
static uint64_t random_number(sim_t *sim)
{
	uint64_t number = sim->highest_number + rng_below(&sim->rng, 8);

	return CLAMP(number, 3, TICKET_NUMBERS) - 2;
}

static void init_commit(sim_t *sim, int op_index, uint64_t timeout_ms)
{
	operator_sim_t *op = &sim->operators[op_index];
	const ticket_commit_options_t options = {
		.log_max = LOG_MAX,
		.log_keep = 1 + (uint32_t)rng_below(&sim->rng, LOG_KEEP),
		.page_entries = PAGE_ENTRIES,
		.shard_max_bytes = SHARD_MAX_BYTES,
		.action_timeout_ms = ACTION_TIMEOUT_MS,
		.seed = rng_next(&sim->rng),
	};

	sim->commit_numbers[op_index]++;
	op->running = true;
	g_assert_cmpint(ticket_commit_init(&op->commit, &options, &op->state, 1,
					   sim->now_ms + timeout_ms),
			==, 0);
}

static void start_commit(sim_t *sim, int op_index)
{
	const ticket_event_t event = { .kind = TICKET_EVENT_START };

	step_commit(sim, op_index, &event);
}

/** Starts a commit of the operator's number and sometimes a second one. */
static void start_request(sim_t *sim, int op_index)
{
	operator_sim_t *op = &sim->operators[op_index];
	uint64_t second = random_number(sim);

	init_commit(sim, op_index, 20 + rng_below(&sim->rng, 4000));
	add_ticket(op, op_index, op->number);
	if (second != op->number && rng_below(&sim->rng, 3) == 0)
		add_ticket(op, op_index, second);
	start_commit(sim, op_index);
}

static void reset_state(operator_sim_t *op)
{
	ticket_state_free(&op->state);
	g_assert_cmpint(ticket_state_init(&op->state), ==, 0);
}

static reported_t check_result(sim_t *sim, const operator_sim_t *op,
			       const ticket_item_t *item)
{
	const ticket_result_t *result = &item->result;
	const char *digest = item->ticket.digest;
	uint64_t log_position = op->commit.head.log_position;
	bool accepted = false;

	for (uint64_t i = 1; i <= sim->position; i++) {
		const json_t *entry = sim->accepted[i];

		if (strcmp(json_string_value(json_object_get(entry, "digest")),
			   digest) != 0)
			continue;
		g_assert_false(accepted);
		accepted = true;
		/* A repeat is recognized while the log covers it. */
		if (result->err == ERR_TICKET_STALE)
			g_assert_cmpuint(i, <=, log_position);
		if (!result->err && (result->position || i > log_position))
			g_assert_cmpuint(result->position, ==, i);
	}
	switch (result->err) {
	case 0:
		g_assert_true(accepted);
		return REPORTED_ACCEPTED;
	case ERR_STORE_UNKNOWN:
		return REPORTED_UNKNOWN;
	case ERR_TICKET_STALE:
		sim->coverage->refused++;
		g_assert_cmpuint(json_integer_value(json_object_get(
					 sim->expected[sim->position].numbers,
					 result->problem.object)),
				 >, item->ticket.number);
		/* An accepted first request must not be reported as stale. */
		g_assert_false(accepted && op->is_first[item->ticket.number]);
		return accepted ? REPORTED_ACCEPTED : REPORTED_REFUSED;
	case ERR_TICKET_CONFLICT:
		sim->coverage->refused++;
		g_assert_false(accepted);
		return REPORTED_REFUSED;
	case ERR_STORE_DOWN:
		g_assert_false(accepted && op->is_first[item->ticket.number]);
		if (accepted)
			return REPORTED_ACCEPTED;
		/* The error covers the last request only. */
		return op->earlier_unknown[item->ticket.number]
			       ? REPORTED_UNKNOWN
			       : REPORTED_REFUSED;
	default:
		g_error("unexpected result %s", error_type(result->err));
	}
}

/* A partly applied ticket would make the state differ at its position. */
static void check_state(const sim_t *sim, const ticket_state_t *state)
{
	const ticket_state_t *expected = &sim->expected[state->position];

	g_assert_cmpuint(state->position, <=, sim->position);
	g_assert_true(json_equal(state->objects, expected->objects));
	g_assert_true(json_equal(state->numbers, expected->numbers));
}

static void next_request(sim_t *sim, int op_index)
{
	operator_sim_t *op = &sim->operators[op_index];

	if (op->requests-- <= 0)
		return;
	/* Some requests repeat the last ticket. */
	if (!op->number || rng_below(&sim->rng, 4))
		op->number = random_number(sim);
	start_request(sim, op_index);
}

static void finish_request(sim_t *sim, int op_index)
{
	operator_sim_t *op = &sim->operators[op_index];

	for (size_t i = 0; i < op->commit.count; i++) {
		const ticket_item_t *item = &op->commit.items[i];

		g_assert_true(item->final);
		op->reported[item->ticket.number] = check_result(sim, op, item);
	}
	check_state(sim, &op->commit.state);
	g_assert_cmpuint(op->commit.state.position, >=, op->state.position);
	ticket_state_free(&op->state);
	g_assert_cmpint(ticket_state_copy(&op->commit.state, &op->state), ==,
			0);
	ticket_commit_free(&op->commit);
	op->running = false;
	next_request(sim, op_index);
}

static void perform_action(sim_t *sim, int op_index,
			   const ticket_action_t *action)
{
	sim_event_t timer = { .op_index = op_index,
			      .commit_number = sim->commit_numbers[op_index],
			      .is_answer = true,
			      .event = { .kind = TICKET_EVENT_TIMER } };

	switch (action->kind) {
	case TICKET_ACTION_NONE:
		return;
	case TICKET_ACTION_DONE:
		finish_request(sim, op_index);
		return;
	case TICKET_ACTION_WAIT:
		timer.at_ms = action->wait_until_ms;
		schedule(sim, timer);
		return;
	default:
		send_request(sim, op_index, action);
		timer.at_ms = sim->now_ms + ACTION_TIMEOUT_MS;
		schedule(sim, timer);
		return;
	}
}

/** Simulates a restart of an operator's process, which then retries. */
static void restart_operator(sim_t *sim, int op_index)
{
	operator_sim_t *op = &sim->operators[op_index];

	for (size_t i = 0; i < op->commit.count; i++)
		op->reported[op->commit.items[i].ticket.number] =
			REPORTED_UNKNOWN;
	ticket_commit_free(&op->commit);
	reset_state(op);
	start_request(sim, op_index);
}

static void run_next_event(sim_t *sim)
{
	GArray *events = sim->events;
	guint earliest = 0;
	sim_event_t pending;

	for (guint i = 1; i < events->len; i++) {
		if (g_array_index(events, sim_event_t, i).at_ms <
		    g_array_index(events, sim_event_t, earliest).at_ms)
			earliest = i;
	}
	pending = g_array_index(events, sim_event_t, earliest);
	g_array_remove_index_fast(events, earliest);
	sim->now_ms = MAX(sim->now_ms, pending.at_ms);
	if (!pending.is_answer) {
		deliver(sim, &pending);
	} else if (sim->operators[pending.op_index].running &&
		   pending.commit_number ==
			   sim->commit_numbers[pending.op_index]) {
		if (draw_fault(sim, 1))
			restart_operator(sim, pending.op_index);
		else
			step_commit(sim, pending.op_index, &pending.event);
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

static sim_t *make_sim(uint64_t seed, coverage_t *coverage)
{
	sim_t *sim = g_new0(sim_t, 1);

	rng_init(&sim->rng, seed);
	sim->faults = true;
	sim->coverage = coverage;
	sim->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_revisions);
	sim->events = g_array_new(FALSE, FALSE, sizeof(sim_event_t));
	ticket_state_init(&sim->expected[0]);
	for (int i = 0; i < OPERATORS; i++) {
		ticket_state_init(&sim->operators[i].state);
		sim->operators[i].requests = REQUESTS_PER_OPERATOR;
	}
	return sim;
}

static void free_sim(sim_t *sim)
{
	for (uint64_t i = 0; i <= sim->position; i++) {
		ticket_state_free(&sim->expected[i]);
		json_decref(sim->accepted[i]);
	}
	for (int i = 0; i < OPERATORS; i++)
		ticket_state_free(&sim->operators[i].state);
	g_hash_table_destroy(sim->objects);
	g_array_free(sim->events, TRUE);
	g_free(sim);
}

static void run_all_events(sim_t *sim)
{
	while (sim->events->len)
		run_next_event(sim);
	for (int i = 0; i < OPERATORS; i++)
		g_assert_false(sim->operators[i].running);
}

/** A commit without tickets must catch up from an empty state. */
static void check_reader(sim_t *sim)
{
	operator_sim_t *op = &sim->operators[0];

	sim->faults = false;
	op->requests = 0;
	reset_state(op);
	init_commit(sim, 0, 60000);
	start_commit(sim, 0);
	run_all_events(sim);
	g_assert_cmpuint(op->state.position, ==, sim->position);
}

/*
 * Concurrent operators, lost and late answers, repeats, stale reads, restarts
 * and compaction must not let a lower ticket number replace a higher one, a
 * ticket apply in part, or a refused ticket take effect.
 */
static void test_schedules(void)
{
	coverage_t coverage = { 0 };

	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		sim_t *sim = make_sim(seed, &coverage);

		g_test_message("seed %d", (int)seed);
		for (int i = 0; i < OPERATORS; i++)
			next_request(sim, i);
		run_all_events(sim);
		check_reader(sim);
		coverage.positions += (int)sim->position;
		free_sim(sim);
	}
	/* The schedules must reach the cases under test. */
	g_test_message("%d positions, %d refused, %d shards, %d pages, "
		       "%d pages read, %d heads read before their update",
		       coverage.positions, coverage.refused, coverage.shards,
		       coverage.pages, coverage.pages_read,
		       coverage.head_reads_after_page);
	g_assert_cmpint(coverage.positions, >, SCHEDULES * 8);
	g_assert_cmpint(coverage.refused, >, SCHEDULES);
	g_assert_cmpint(coverage.shards, >, SCHEDULES);
	g_assert_cmpint(coverage.pages, >, SCHEDULES);
	g_assert_cmpint(coverage.pages_read, >, SCHEDULES);
	g_assert_cmpint(coverage.head_reads_after_page, >, SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ticket/schedules", test_schedules);
	return g_test_run();
}
