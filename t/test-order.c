/* Orders are executed at most once: seeded random schedules with faults. */
#include <glib.h>
#include <string.h>

#include "process/claim_watch.h"
#include "process/error.h"
#include "process/order_sweep.h"
#include "t/lib/sim.h"

enum {
	INSTANCES = 3,
	ENDPOINTS = 3,
	KEYS = 4,
	ATTEMPTS = 24,
	RUN_MS = 60000,
	SCHEDULES = 1500,
	DAY_MS = 86400000,
};

static const order_settings_t settings = {
	.send_window_ms = 2000,
	.endpoint_timeout_ms = 1000,
	.clock_drift_ms = 200,
	.retry_ms = 50,
	.retry_max_ms = 1000,
	.record_retry_ms = 20000,
	.retention_ms = 30000,
};

/** Two executions of a key within this time are a fault: both fall into the
 * lifetime of one record. */
#define MIN_RERUN_INTERVAL_MS 20000

typedef struct run run_t;

typedef struct attempt {
	run_t *run;
	int instance;
	uint64_t incarnation;
	int key;
	char digest[2];
	uint64_t nonce;
	uint64_t started_ms;
	uint64_t send_call;
	order_t order;
	order_answer_t answer;
	uint64_t executed; /**< Times that this request was executed. */
	bool sent;
	int answer_count;
	int err;
	bool finished;
} attempt_t;

typedef struct instance {
	run_t *run;
	uint64_t paused_until_ms;
	uint64_t incarnation;
	int64_t wall_offset_ms;
	claim_watch_t claims;
} instance_t;

/** State of one simulated schedule. */
struct run {
	sim_t sim;
	bool fencing; /**< The endpoints check fencing numbers. */
	instance_t instances[INSTANCES];
	bool endpoint_down[ENDPOINTS];
	uint64_t highest_fencing[ENDPOINTS][KEYS];
	uint64_t last_run_ms[KEYS];
	char paths[KEYS][SIM_KEY_MAX_BYTES];
	uint64_t record_fencing[KEYS];
	int executions[KEYS];
	attempt_t attempts[ATTEMPTS];
	size_t attempt_count;
	order_sweep_t sweep;
	uint64_t removed; /**< Records. */
};

/** An event for an instance, delayed while the instance is paused. */
typedef struct message {
	attempt_t *attempt;
	order_event_t event;
	order_record_t record;
} message_t;

static void perform(attempt_t *attempt, const order_actions_t *actions);

static int64_t wall_ms(const instance_t *instance)
{
	return (int64_t)instance->run->sim.now_ms + instance->wall_offset_ms;
}

static void deliver(void *context, uint64_t argument)
{
	message_t *message = context;
	attempt_t *attempt = message->attempt;
	run_t *run = attempt->run;
	instance_t *instance = &run->instances[attempt->instance];
	order_actions_t actions;

	(void)argument;
	if (run->sim.now_ms < instance->paused_until_ms) {
		sim_schedule(&run->sim,
			     instance->paused_until_ms - run->sim.now_ms,
			     deliver, message, 0);
		return;
	}
	if (attempt->incarnation == instance->incarnation &&
	    !attempt->finished) {
		if (message->event.kind == ORDER_EVENT_READ) {
			message->event.read.record = &message->record;
			message->event.read.unchanged_ms = claim_watch_read(
				&instance->claims, attempt->order.path,
				message->event.read.version, run->sim.now_ms);
		}
		order_step(&attempt->order, &message->event, run->sim.now_ms,
			   &actions);
		perform(attempt, &actions);
	}
	g_free(message);
}

static void post_event(attempt_t *attempt, const order_event_t *event,
		       const order_record_t *record, uint64_t delay_ms)
{
	message_t *message = g_new0(message_t, 1);

	message->attempt = attempt;
	message->event = *event;
	if (record)
		message->record = *record;
	sim_schedule(&attempt->run->sim, delay_ms, deliver, message, 0);
}

static void post_event_kind(attempt_t *attempt, order_event_kind_t kind,
			    uint32_t call, uint64_t delay_ms)
{
	order_event_t event = { .kind = kind, .call_id = call };

	post_event(attempt, &event, NULL, delay_ms);
}

static void store_answered(void *context, uint64_t call,
			   const sim_answer_t *answer)
{
	order_event_t event = { .kind = ORDER_EVENT_WRITTEN,
				.call_id = (uint32_t)(call >> 1) };

	if (call & 1) {
		event.kind = ORDER_EVENT_READ;
		event.read.result = answer->result;
		event.read.version = answer->version;
	} else {
		event.written.result = answer->result;
		event.written.version = answer->version;
	}
	post_event(context, &event, answer->value, 0);
}

static uint64_t random_delay_ms(run_t *run, uint64_t max_ms)
{
	return 1 + rng_below(&run->sim.rng, max_ms);
}

/**
 * Executes a request; checks that neither it nor, recently, another request
 * with its key was executed before.
 */
static void execute(attempt_t *attempt)
{
	run_t *run = attempt->run;
	int key = attempt->key;

	attempt->executed++;
	g_assert_cmpuint(attempt->executed, ==, 1);
	if (run->executions[key]++)
		g_assert_cmpuint(run->sim.now_ms - run->last_run_ms[key], >=,
				 MIN_RERUN_INTERVAL_MS);
	run->last_run_ms[key] = run->sim.now_ms;
}

static int endpoint_index(const char *id)
{
	return id[1] - '0';
}

/** A request reaches its endpoint. */
static void request_arrives(void *context, uint64_t e)
{
	attempt_t *attempt = context;
	run_t *run = attempt->run;
	order_event_t event = { .kind = ORDER_EVENT_ANSWERED,
				.call_id = (uint32_t)attempt->send_call };
	uint64_t *highest_fencing = &run->highest_fencing[e][attempt->key];

	if (run->endpoint_down[e])
		return;
	event.answered.answer = &attempt->answer;
	/* Refused for its fencing number, or because the endpoint is leaving.
	 */
	event.answered.not_run =
		(run->fencing &&
		 attempt->order.claim.claim_fencing < *highest_fencing) ||
		sim_chance(&run->sim, 5);
	if (!event.answered.not_run) {
		*highest_fencing = attempt->order.claim.claim_fencing;
		execute(attempt);
	}
	if (!sim_chance(&run->sim, 15))
		post_event(attempt, &event, NULL, random_delay_ms(run, 300));
}

static void send_request(attempt_t *attempt, const order_action_t *action)
{
	run_t *run = attempt->run;
	const order_t *order = &attempt->order;
	int e = endpoint_index(order->claim.endpoints[order->endpoint]);

	g_assert_false(attempt->sent);
	g_assert_cmpuint(run->sim.now_ms, <,
			 attempt->started_ms + settings.send_window_ms);
	g_assert_cmpuint(action->send.fencing, ==, order->claim.claim_fencing);
	attempt->sent = true;
	attempt->send_call = order->call_id;
	post_event_kind(attempt, ORDER_EVENT_ANSWER_LOST, order->call_id,
			settings.endpoint_timeout_ms);
	if (!sim_chance(&run->sim, 10))
		sim_schedule(&run->sim, random_delay_ms(run, 1800),
			     request_arrives, attempt, (uint64_t)e);
}

static void query_endpoint(attempt_t *attempt, const order_action_t *action)
{
	run_t *run = attempt->run;
	int e = endpoint_index(action->query.endpoint);
	uint64_t *highest_fencing = &run->highest_fencing[e][attempt->key];
	order_event_t event = { .kind = ORDER_EVENT_QUERIED,
				.call_id = action->call_id };

	event.queried.proof = ORDER_PROOF_NONE;
	if (!run->endpoint_down[e] &&
	    action->query.fencing >= *highest_fencing &&
	    !sim_chance(&run->sim, 10)) {
		*highest_fencing = action->query.fencing;
		if (!run->executions[attempt->key])
			event.queried.proof = ORDER_PROOF_NOT_RUN;
	}
	post_event(attempt, &event, NULL, random_delay_ms(run, 300));
}

static void perform_store_action(attempt_t *attempt,
				 const order_action_t *action)
{
	sim_t *sim = &attempt->run->sim;
	uint64_t argument = (uint64_t)action->call_id << 1;

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
	run_t *run = attempt->run;
	int e;

	switch (action->kind) {
	case ORDER_ACTION_WRITE:
	case ORDER_ACTION_READ:
		perform_store_action(attempt, action);
		return;
	case ORDER_ACTION_WAIT:
		post_event_kind(attempt, ORDER_EVENT_TIMER, action->call_id,
				action->wait.deadline_ms - run->sim.now_ms);
		return;
	case ORDER_ACTION_CONNECT:
		e = endpoint_index(action->connect.endpoint);
		post_event_kind(attempt,
				run->endpoint_down[e]
					? ORDER_EVENT_CONNECT_FAILED
					: ORDER_EVENT_CONNECTED,
				action->call_id, random_delay_ms(run, 100));
		return;
	case ORDER_ACTION_SEND:
		send_request(attempt, action);
		return;
	case ORDER_ACTION_CLOSE:
		return;
	case ORDER_ACTION_QUERY:
		query_endpoint(attempt, action);
		return;
	case ORDER_ACTION_ANSWER:
		attempt->answer_count++;
		attempt->err = action->answer.err;
		if (attempt->err == 0) {
			const attempt_t *origin_attempt =
				(const attempt_t *)action->answer.answer->body;

			g_assert_cmpuint(origin_attempt->executed, ==, 1);
			g_assert_cmpint(origin_attempt->key, ==, attempt->key);
			g_assert_cmpstr(origin_attempt->digest, ==,
					attempt->digest);
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

/* ---- Schedules ---- */

static void begin_attempt(void *context, uint64_t argument)
{
	run_t *run = context;
	attempt_t *attempt = &run->attempts[run->attempt_count++];
	rng_t *rng = &run->sim.rng;
	instance_t *instance = &run->instances[rng_below(rng, INSTANCES)];
	char key[16];
	order_request_t request = {
		.customer = "c",
		.key = key,
		.digest = attempt->digest,
		.owner = "node",
		.endpoints = { "e0", "e1", "e2" },
		.endpoint_count = ENDPOINTS,
		.endpoints_check_fencing = run->fencing,
		.nonce = rng_next(rng),
		.unix_ms = wall_ms(instance),
	};
	order_actions_t actions;

	(void)argument;
	if (run->sim.now_ms < instance->paused_until_ms) {
		attempt->finished = true; /* The client cannot connect. */
		return;
	}
	attempt->run = run;
	attempt->instance = (int)(instance - run->instances);
	attempt->incarnation = instance->incarnation;
	attempt->key = (int)rng_below(rng, KEYS);
	attempt->digest[0] = sim_chance(&run->sim, 10) ? 'x' : 'd';
	attempt->nonce = request.nonce;
	attempt->started_ms = run->sim.now_ms;
	attempt->answer.http_status = 201;
	attempt->answer.body = (const char *)attempt;
	g_snprintf(key, sizeof(key), "key%d", attempt->key);
	order_begin(&attempt->order, &settings, &request, run->sim.now_ms,
		    &actions);
	perform(attempt, &actions);
}

/* Sets the time of day ahead or back, by up to two days. */
static void jump_clock(void *context, uint64_t argument)
{
	instance_t *instance = context;

	(void)argument;
	instance->wall_offset_ms =
		(int64_t)rng_below(&instance->run->sim.rng, 4 * DAY_MS) -
		2 * DAY_MS;
}

static void pause_instance(void *context, uint64_t duration_ms)
{
	instance_t *instance = context;

	instance->paused_until_ms = instance->run->sim.now_ms + duration_ms;
}

static void restart_instance(void *context, uint64_t argument)
{
	instance_t *instance = context;

	(void)argument;
	instance->incarnation++;
	instance->claims.count = 0;
}

static void set_store_down(void *context, uint64_t down)
{
	((run_t *)context)->sim.store_down = down;
}

static void set_endpoint_down(void *context, uint64_t argument)
{
	((run_t *)context)->endpoint_down[argument >> 1] = argument & 1;
}

/* Value of ORDER_MARKS_PATH. */
typedef struct marks {
	uint64_t versions[ORDER_MARKS];
	size_t count;
} marks_t;

static void marks_written(void *context, uint64_t call,
			  const sim_answer_t *answer)
{
	run_t *run = context;

	order_sweep_handle_marks_written(&run->sweep, (uint32_t)call,
					 answer->result, answer->version,
					 run->sim.now_ms);
}

static void read_marks(run_t *run, const order_sweep_action_t *action)
{
	const sim_object_t *object = sim_find(&run->sim, ORDER_MARKS_PATH);
	order_sweep_marks_t read = { .result = ERR_NOT_FOUND };

	if (object) {
		const marks_t *value = object->value;

		read = (order_sweep_marks_t){ .version = object->version,
					      .marks = value->versions,
					      .count = value->count };
	}
	order_sweep_handle_marks(&run->sweep, action->call_id, &read,
				 run->sim.now_ms);
}

static void write_marks(run_t *run, const order_sweep_action_t *action)
{
	marks_t value = { .count = action->mark_count };

	memcpy(value.versions, action->marks,
	       action->mark_count * sizeof(value.versions[0]));
	sim_write(&run->sim, ORDER_MARKS_PATH, action->version, &value,
		  sizeof(value), marks_written, run, action->call_id);
}

static void list_records(run_t *run, const order_sweep_action_t *action)
{
	order_sweep_item_t items[ORDER_SWEEP_PAGE];
	const sim_t *sim = &run->sim;
	size_t count = 0;

	for (size_t i = 0; i < sim->object_count && count < ORDER_SWEEP_PAGE;
	     i++) {
		if (!strcmp(sim->objects[i].key, ORDER_MARKS_PATH))
			continue;
		items[count].path = sim->objects[i].key;
		items[count++].version = sim->objects[i].version;
	}
	order_sweep_handle_page(&run->sweep, action->call_id, 0, items, count,
				false);
}

static void run_sweep(void *context, uint64_t argument)
{
	run_t *run = context;
	order_sweep_action_t action =
		order_sweep_step(&run->sweep, run->sim.now_ms);

	switch (action.kind) {
	case ORDER_SWEEP_NONE:
		break;
	case ORDER_SWEEP_READ_MARKS:
		read_marks(run, &action);
		break;
	case ORDER_SWEEP_WRITE_MARKS:
		write_marks(run, &action);
		break;
	case ORDER_SWEEP_LIST:
		list_records(run, &action);
		break;
	case ORDER_SWEEP_DELETE:
		run->removed++;
		sim_delete(&run->sim, action.path, action.version);
		break;
	}
	if (argument)
		sim_schedule(&run->sim, 200, run_sweep, run, argument - 1);
}

static void schedule_faults(run_t *run)
{
	sim_t *sim = &run->sim;
	rng_t *rng = &sim->rng;

	for (int n = 0; n < INSTANCES; n++) {
		instance_t *instance = &run->instances[n];

		for (int i = 0; i < 3; i++)
			sim_schedule(sim, rng_below(rng, RUN_MS),
				     pause_instance, instance,
				     rng_below(rng, i ? 6000 : 45000));
		sim_schedule(sim, rng_below(rng, RUN_MS), restart_instance,
			     instance, 0);
		sim_schedule(sim, rng_below(rng, RUN_MS), jump_clock, instance,
			     0);
	}
	for (int i = 0; i < 3; i++) {
		uint64_t at_ms = rng_below(rng, RUN_MS);

		sim_schedule(sim, at_ms, set_store_down, run, 1);
		sim_schedule(sim, at_ms + rng_below(rng, 4000), set_store_down,
			     run, 0);
	}
	for (uint64_t e = 0; e < ENDPOINTS; e++) {
		uint64_t at_ms = rng_below(rng, RUN_MS);

		sim_schedule(sim, at_ms, set_endpoint_down, run, e << 1 | 1);
		sim_schedule(sim, at_ms + rng_below(rng, 20000),
			     set_endpoint_down, run, e << 1);
	}
}

static void schedule_attempts(run_t *run)
{
	rng_t *rng = &run->sim.rng;
	uint64_t at_ms = 0;

	/* Bursts of repeated keys, with gaps as long as a claim's deadline. */
	for (int i = 0; i < ATTEMPTS; i++) {
		at_ms += rng_below(rng, sim_chance(&run->sim, 50) ? 300 : 5000);
		sim_schedule(&run->sim, at_ms, begin_attempt, run, 0);
	}
}

/* A key's fencing number must not fall while its record exists. */
static void check_fencing_rises(run_t *run)
{
	for (int k = 0; k < KEYS; k++) {
		const sim_object_t *object = sim_find(&run->sim, run->paths[k]);
		uint64_t fencing;

		fencing = object ? ((const order_record_t *)object->value)
					   ->fencing
				 : 0;
		if (object)
			g_assert_cmpuint(fencing, >=, run->record_fencing[k]);
		run->record_fencing[k] = fencing;
	}
}

static void check_record(const run_t *run, const order_record_t *record)
{
	if (record->state != ORDER_STATE_NOT_RUN)
		return;
	for (size_t i = 0; i < run->attempt_count; i++) {
		if (run->attempts[i].nonce == record->nonce)
			g_assert_cmpuint(run->attempts[i].executed, ==, 0);
	}
}

static void check_end(run_t *run, uint64_t *counts)
{
	for (size_t i = 0; i < run->attempt_count; i++) {
		attempt_t *attempt = &run->attempts[i];

		if (!attempt->run)
			continue;
		g_assert_cmpint(attempt->answer_count, <=, 1);
		if (attempt->incarnation ==
		    run->instances[attempt->instance].incarnation) {
			g_assert_cmpint(attempt->answer_count, ==, 1);
			g_assert_true(attempt->finished);
		}
		if (!attempt->answer_count)
			continue;
		counts[-attempt->err]++;
		if (error_answer(attempt->err)->run_state == RUN_STATE_NOT_RUN)
			g_assert_cmpuint(attempt->executed, ==, 0);
	}
	for (size_t i = 0; i < run->sim.object_count; i++) {
		if (strcmp(run->sim.objects[i].key, ORDER_MARKS_PATH) != 0)
			check_record(run, run->sim.objects[i].value);
	}
}

static uint64_t run_schedule(uint64_t seed, uint64_t *counts)
{
	static const sim_faults_t faults = { .lose_request = 3,
					     .lose_answer = 8,
					     .late_effect = 4,
					     .repeat_answer = 10,
					     .delay_max_ms = 30 };
	run_t *run = g_new0(run_t, 1);
	uint64_t steps = 0;
	uint64_t removed;

	sim_init(&run->sim, seed, &faults);
	run->fencing = seed % 2;
	for (int n = 0; n < INSTANCES; n++) {
		run->instances[n].run = run;
		run->instances[n].claims = (claim_watch_t)CLAIM_WATCH_INIT;
		jump_clock(&run->instances[n], 0);
	}
	for (int k = 0; k < KEYS; k++) {
		char name[16];
		char hash[HASH_DIGEST_HEX_BYTES];

		g_snprintf(name, sizeof(name), "key%d", k);
		hash_digest_hex(name, strlen(name), hash);
		g_snprintf(run->paths[k], SIM_KEY_MAX_BYTES, "order/c/%s",
			   hash);
	}
	order_sweep_init(&run->sweep, &settings, &run->sim.rng, 1000, 1,
			 run->sim.now_ms);
	sim_schedule(&run->sim, 0, run_sweep, run, 2 * RUN_MS / 200);
	schedule_faults(run);
	schedule_attempts(run);
	while (sim_run_one(&run->sim, UINT64_MAX)) {
		g_assert_cmpuint(++steps, <, 1000000);
		check_fencing_rises(run);
	}
	check_end(run, counts);
	removed = run->removed;
	sim_clear(&run->sim);
	g_free(run);
	return removed;
}

/*
 * Guards against two executions of one key, and against the execution of a
 * request that was answered "not run".
 */
static void test_schedules(void)
{
	uint64_t counts[ERR_KIND_COUNT] = { 0 };
	uint64_t removed = 0;
	uint64_t first;
	uint64_t last;

	sim_seed_range(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		removed += run_schedule(seed, counts);
	}
	for (int i = 0; i < ERR_KIND_COUNT; i++) {
		if (counts[i])
			g_print("# %s: %" G_GUINT64_FORMAT "\n", error_type(-i),
				counts[i]);
	}
	/* Too few outcomes of a kind mean that its paths were not tested. */
	if (last - first + 1 == SCHEDULES) {
		g_assert_cmpuint(counts[0], >, SCHEDULES);
		g_assert_cmpuint(removed, >, SCHEDULES / 4);
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
