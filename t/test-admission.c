/* Admission: urgency, fair shares, limits, deadlines, preemption, retries. */
#include <glib.h>

#include "process/admission.h"
#include "process/fleet.h"
#include "process/rng.h"

typedef enum step_kind {
	END,	   /* Unused step. */
	LOAD,	   /* Pool wait `ms`, at most `streams_max` streams. */
	SUBMIT,	   /* Request `id`; deadline in `ms`, 0 for none. */
	NEXT,	   /* Next action that is due. */
	FINISH,	   /* Request `id` ended. */
	PREEMPTED, /* The stream of `id` was cancelled. */
	POSTPONE, /* Endpoint wait `ms`; `expected`: whether it is postponed. */
	ADVANCE,  /* Advance the time by `ms`. */
} step_kind_t;

enum {
	NONE = 100, /* No action is due. */
	QUEUE_MAX = 3,
};

typedef struct step {
	step_kind_t kind;
	uint64_t id;
	uint32_t urgency;
	uint32_t ms;
	uint32_t streams_max; /* 0 for no limit. */
	int expected;	      /* admission_kind_t, NONE, or a flag. */
	int expected_err;     /* Error of a shed request. */
} step_t;

typedef struct script {
	const char *guards; /* Failure that the script guards against. */
	uint32_t rate_per_s;
	uint32_t concurrency_max;
	step_t steps[14];
} script_t;

static const script_t scripts[] = {
	{ .guards = "an idle instance delays a request of any class",
	  .steps = { { SUBMIT, 1, 0, .expected = ADMISSION_START },
		     { SUBMIT, 2, 1, .expected = ADMISSION_START },
		     { SUBMIT, 3, 2, .expected = ADMISSION_START },
		     { NEXT, .expected = NONE } } },
	{ .guards = "overload delays urgent requests, or normal ones before "
		    "deferrable ones",
	  .steps = { { LOAD, .ms = ADMISSION_DEFERRABLE_HOLD_MS + 1 },
		     { SUBMIT, 1, 2, .expected = ADMISSION_WAIT },
		     { SUBMIT, 2, 1, .expected = ADMISSION_START },
		     { LOAD, .ms = ADMISSION_NORMAL_HOLD_MS + 1 },
		     { SUBMIT, 3, 1, .expected = ADMISSION_WAIT },
		     { SUBMIT, 4, 0, .expected = ADMISSION_START },
		     { NEXT, .expected = NONE },
		     { LOAD, .ms = 0 },
		     { NEXT, 3, .expected = ADMISSION_START },
		     { NEXT, 1, .expected = ADMISSION_START },
		     { NEXT, .expected = NONE } } },
	{ .guards = "a held class is released and held again around its limit",
	  .steps = { { LOAD, .ms = ADMISSION_DEFERRABLE_HOLD_MS + 1 },
		     { SUBMIT, 1, 2, .expected = ADMISSION_WAIT },
		     { LOAD, .ms = ADMISSION_DEFERRABLE_HOLD_MS - 1 },
		     { NEXT, .expected = NONE },
		     { LOAD, .ms = ADMISSION_DEFERRABLE_HOLD_MS / 2 },
		     { NEXT, 1, .expected = ADMISSION_START } } },
	{ .guards = "a full queue sheds urgent requests or grows",
	  .steps = { { LOAD, .ms = 0, .streams_max = 1 },
		     { SUBMIT, 1, 0, .expected = ADMISSION_START },
		     { SUBMIT, 2, 2, .expected = ADMISSION_WAIT },
		     { SUBMIT, 3, 1, .expected = ADMISSION_WAIT },
		     { SUBMIT, 4, 2, .expected = ADMISSION_WAIT },
		     { SUBMIT, 5, 2, .expected = ADMISSION_SHED,
		       .expected_err = ERR_OVERLOADED },
		     { SUBMIT, 6, 0, .expected = ADMISSION_WAIT },
		     { NEXT, 4, .expected = ADMISSION_SHED,
		       .expected_err = ERR_OVERLOADED },
		     { NEXT, .expected = NONE },
		     { FINISH, 1 },
		     { NEXT, 6, .expected = ADMISSION_START },
		     { FINISH, 6 },
		     { NEXT, 3, .expected = ADMISSION_START } } },
	{ .guards = "a request starts after its deadline",
	  .steps = { { LOAD, .ms = 0, .streams_max = 1 },
		     { SUBMIT, 1, 0, .expected = ADMISSION_START },
		     { SUBMIT, 2, 0, .ms = 500, .expected = ADMISSION_WAIT },
		     { SUBMIT, 3, 0, .expected = ADMISSION_WAIT },
		     { ADVANCE, .ms = 499 },
		     { NEXT, .expected = NONE },
		     { ADVANCE, .ms = 1 },
		     { NEXT, 2, .expected = ADMISSION_SHED,
		       .expected_err = ERR_DEADLINE },
		     { FINISH, 1 },
		     { NEXT, 3, .expected = ADMISSION_START } } },
	{ .guards = "a request waits that cannot meet its deadline",
	  .steps = { { LOAD, .ms = 600 },
		     { SUBMIT, 1, 0, .ms = 500, .expected = ADMISSION_SHED,
		       .expected_err = ERR_DEADLINE },
		     { SUBMIT, 2, 0, .ms = 700,
		       .expected = ADMISSION_START } } },
	{ .guards =
		  "a customer exceeds its rate limit, or gets no more requests "
		  "afterwards",
	  .rate_per_s = 2,
	  .steps = { { SUBMIT, 1, 0, .expected = ADMISSION_START },
		     { SUBMIT, 2, 0, .expected = ADMISSION_START },
		     { SUBMIT, 3, 0, .expected = ADMISSION_SHED,
		       .expected_err = ERR_RATE_LIMITED },
		     { ADVANCE, .ms = 500 },
		     { SUBMIT, 4, 0, .expected = ADMISSION_START },
		     { SUBMIT, 5, 0, .expected = ADMISSION_SHED,
		       .expected_err = ERR_RATE_LIMITED } } },
	{ .guards = "a customer has too many open requests",
	  .concurrency_max = 1,
	  .steps = { { SUBMIT, 1, 0, .expected = ADMISSION_START },
		     { SUBMIT, 2, 0, .expected = ADMISSION_SHED,
		       .expected_err = ERR_CONCURRENCY_LIMITED },
		     { FINISH, 1 },
		     { SUBMIT, 3, 0, .expected = ADMISSION_START } } },
	{ .guards = "an urgent request waits behind a deferrable stream, or "
		    "the cancelled stream is lost",
	  .steps = { { LOAD, .ms = 0, .streams_max = 2 },
		     { SUBMIT, 1, 2, .expected = ADMISSION_START },
		     { SUBMIT, 2, 1, .expected = ADMISSION_START },
		     { SUBMIT, 3, 0, .expected = ADMISSION_WAIT },
		     { NEXT, 1, .expected = ADMISSION_PREEMPT },
		     { NEXT, .expected = NONE },
		     { PREEMPTED, 1 },
		     { NEXT, 3, .expected = ADMISSION_START },
		     { NEXT, .expected = NONE },
		     { FINISH, 2 },
		     { NEXT, 1, .expected = ADMISSION_START },
		     { NEXT, .expected = NONE } } },
	{ .guards =
		  "one urgent request preempts several streams, or not the one "
		  "started last",
	  .steps = { { LOAD, .ms = 0, .streams_max = 2 },
		     { SUBMIT, 1, 2, .expected = ADMISSION_START },
		     { ADVANCE, .ms = 1 },
		     { SUBMIT, 2, 2, .expected = ADMISSION_START },
		     { SUBMIT, 3, 0, .expected = ADMISSION_WAIT },
		     { NEXT, 2, .expected = ADMISSION_PREEMPT },
		     { NEXT, .expected = NONE },
		     { SUBMIT, 4, 0, .expected = ADMISSION_WAIT },
		     { NEXT, 1, .expected = ADMISSION_PREEMPT },
		     { NEXT, .expected = NONE } } },
	{ .guards =
		  "a preempted stream is shed at the deadline of its first token",
	  .steps = { { LOAD, .ms = 0, .streams_max = 1 },
		     { SUBMIT, 1, 2, .ms = 500, .expected = ADMISSION_START },
		     { SUBMIT, 2, 0, .expected = ADMISSION_WAIT },
		     { NEXT, 1, .expected = ADMISSION_PREEMPT },
		     { PREEMPTED, 1 },
		     { NEXT, 2, .expected = ADMISSION_START },
		     { ADVANCE, .ms = 1000 },
		     { NEXT, .expected = NONE },
		     { FINISH, 2 },
		     { NEXT, 1, .expected = ADMISSION_START } } },
	{ .guards = "a stream that ends before its cancellation is run again",
	  .steps = { { LOAD, .ms = 0, .streams_max = 1 },
		     { SUBMIT, 1, 2, .expected = ADMISSION_START },
		     { SUBMIT, 2, 0, .expected = ADMISSION_WAIT },
		     { NEXT, 1, .expected = ADMISSION_PREEMPT },
		     { FINISH, 1 },
		     { PREEMPTED, 1 },
		     { NEXT, 2, .expected = ADMISSION_START },
		     { FINISH, 2 },
		     { NEXT, .expected = NONE } } },
	{ .guards = "a postponed request is lost or started at once, or an "
		    "urgent request is postponed",
	  .steps = { { SUBMIT, 1, 2, .expected = ADMISSION_START },
		     { POSTPONE, 1, .ms = ADMISSION_DEFERRABLE_HOLD_MS + 1,
		       .expected = true },
		     { NEXT, .expected = NONE },
		     { ADVANCE, .ms = ADMISSION_POSTPONE_MS },
		     { NEXT, 1, .expected = ADMISSION_START },
		     { POSTPONE, 1, .ms = ADMISSION_DEFERRABLE_HOLD_MS,
		       .expected = false },
		     { SUBMIT, 2, 0, .expected = ADMISSION_START },
		     { POSTPONE, 2, .ms = 30000, .expected = false } } },
};

static admission_request_t make_request(const script_t *script,
					const step_t *step, uint64_t now_ms)
{
	return (admission_request_t){
		.id = step->id,
		.customer = { .id_hash = 9,
			      .weight = 1,
			      .rate_per_s = script->rate_per_s,
			      .concurrency_max = script->concurrency_max },
		.urgency = step->urgency,
		.tokens = 100,
		.deadline_ms = step->ms ? now_ms + step->ms : 0,
		.preemptible = step->urgency == 2,
	};
}

static void check_action(const step_t *step, const admission_action_t *action)
{
	g_assert_cmpint(action->kind, ==, step->expected);
	g_assert_cmpuint(action->id, ==, step->id);
	if (action->kind != ADMISSION_SHED)
		return;
	g_assert_cmpint(action->shed.err, ==, step->expected_err);
	g_assert_cmpuint(action->shed.retry_after_ms, >=,
			 ADMISSION_RETRY_AFTER_MIN_MS);
}

static void run_step(admission_t *admission, const script_t *script,
		     const step_t *step, uint64_t *now_ms)
{
	admission_request_t request = make_request(script, step, *now_ms);
	admission_action_t action = { 0 };

	switch (step->kind) {
	case LOAD:
		admission_set_pool(admission, 0, step->ms, step->streams_max);
		break;
	case SUBMIT:
		action = admission_submit(admission, &request, *now_ms);
		check_action(step, &action);
		break;
	case NEXT:
		if (!admission_next(admission, *now_ms, &action))
			g_assert_cmpint(step->expected, ==, NONE);
		else
			check_action(step, &action);
		break;
	case FINISH:
		admission_finished(admission, step->id, *now_ms);
		break;
	case PREEMPTED:
		admission_preempted(admission, step->id, *now_ms);
		break;
	case POSTPONE:
		g_assert_cmpint(admission_postpone(admission, step->id,
						   step->ms, *now_ms),
				==, step->expected);
		break;
	case ADVANCE:
		*now_ms += step->ms;
		break;
	case END:
		break;
	}
}

static void test_scripts(void)
{
	g_autofree admission_t *admission = g_new0(admission_t, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		uint64_t now_ms = 1000;

		g_test_message("guards against: %s", scripts[i].guards);
		admission_init(admission, QUEUE_MAX, 10);
		for (size_t j = 0; j < G_N_ELEMENTS(scripts[i].steps); j++)
			run_step(admission, &scripts[i], &scripts[i].steps[j],
				 &now_ms);
	}
}

/* A customer with many requests must not get more than its weighted share. */
static void test_fair_shares(void)
{
	static const uint32_t weights[3] = { 1, 1, 2 };
	g_autofree admission_t *admission = g_new0(admission_t, 1);
	admission_action_t action;
	uint32_t started[3] = { 0 };
	uint64_t id = 1;

	admission_init(admission, 600, 10);
	admission_set_pool(admission, 0, ADMISSION_NORMAL_HOLD_MS + 1, 1);
	/* Customer 0 comes first and has eight times as many requests. */
	for (uint32_t i = 0; i < 500; i++) {
		uint32_t customer = i < 400 ? 0 : 1 + i % 2;
		admission_request_t request = {
			.id = id++,
			.customer = { .id_hash = customer + 1,
				      .weight = weights[customer] },
			.urgency = 1,
			.tokens = 1000,
		};

		action = admission_submit(admission, &request, 1);
		g_assert_cmpint(action.kind, ==, ADMISSION_WAIT);
	}
	admission_set_pool(admission, 0, 0, 1);
	for (uint32_t i = 0; i < 80; i++) {
		g_assert_true(admission_next(admission, 1, &action));
		g_assert_cmpint(action.kind, ==, ADMISSION_START);
		started[action.id <= 400 ? 0 : 1 + (action.id - 1) % 2]++;
		admission_finished(admission, action.id, 1);
	}
	g_assert_cmpuint(started[0], >=, 19);
	g_assert_cmpuint(started[0], <=, 21);
	g_assert_cmpuint(started[1], >=, 19);
	g_assert_cmpuint(started[2], >=, 38);
}

/* Retries without a budget would multiply the load while endpoints fail. */
static void test_retry_budget(void)
{
	g_autofree admission_t *admission = g_new0(admission_t, 1);
	uint32_t allowed = 0;

	admission_init(admission, 100, 10);
	for (uint64_t id = 1; id <= 1000; id++) {
		admission_request_t request = {
			.id = id, .customer = { .id_hash = 1, .weight = 1 }
		};

		admission_submit(admission, &request, 1);
		admission_finished(admission, id, 1);
		allowed += admission_retry(admission, 0, 0, 1) == 0;
	}
	g_assert_cmpuint(allowed, >=, 100);
	g_assert_cmpuint(allowed, <=, 100 + ADMISSION_RETRY_BURST);
	g_assert_cmpint(admission_retry(admission, 500, 1000, 501), ==,
			ERR_DEADLINE);
}

/* Times out of order, from several threads, must not refill the rate limit. */
static void test_times_out_of_order(void)
{
	g_autofree admission_t *admission = g_new0(admission_t, 1);
	admission_request_t request = {
		.id = 1,
		.customer = { .id_hash = 1, .weight = 1, .rate_per_s = 1 },
	};
	admission_action_t action;

	admission_init(admission, 100, 10);
	action = admission_submit(admission, &request, 5000);
	g_assert_cmpint(action.kind, ==, ADMISSION_START);
	request.id = 2;
	action = admission_submit(admission, &request, 4000);
	g_assert_cmpint(action.shed.err, ==, ERR_RATE_LIMITED);
	action = admission_submit(admission, &request, 5500);
	g_assert_cmpint(action.shed.err, ==, ERR_RATE_LIMITED);
	action = admission_submit(admission, &request, 6000);
	g_assert_cmpint(action.kind, ==, ADMISSION_START);
}

/* A client that retries after `retry_after_ms` must not be shed again. */
static void test_retry_after_suffices(void)
{
	g_autofree admission_t *admission = g_new0(admission_t, 1);
	admission_request_t request = {
		.id = 1,
		.customer = { .id_hash = 1, .weight = 1, .rate_per_s = 4 },
	};
	admission_action_t action;
	uint64_t now_ms = 1000;

	admission_init(admission, 100, 10);
	for (; request.id <= 4; request.id++)
		admission_submit(admission, &request, now_ms);
	action = admission_submit(admission, &request, now_ms);
	g_assert_cmpint(action.kind, ==, ADMISSION_SHED);
	now_ms += action.shed.retry_after_ms;
	action = admission_submit(admission, &request, now_ms);
	g_assert_cmpint(action.kind, ==, ADMISSION_START);
}

/* Random calls must not lose or repeat a request or leak a slot. */
static void test_random_calls(void)
{
	g_autofree admission_t *admission = g_new0(admission_t, 1);
	g_autofree uint8_t *state = g_new0(uint8_t, 20001);
	enum { UNSEEN, WAITING, RUNNING, GONE };
	uint64_t now_ms = 1;
	rng_t rng;

	rng_init(&rng, 5);
	admission_init(admission, 50, 10);
	for (uint64_t id = 1; id <= 20000; id++) {
		admission_request_t request = {
			.id = id,
			.customer = { .id_hash = 1 + rng_below(&rng, 2000),
				      .weight = 1 },
			.urgency = (uint32_t)rng_below(&rng, 3),
			.deadline_ms = now_ms + rng_below(&rng, 2000),
			.tokens = 10,
			.preemptible = true,
		};
		admission_action_t action;
		uint64_t other = 1 + rng_below(&rng, id);

		now_ms += rng_below(&rng, 20);
		admission_set_pool(admission, 0,
				   (uint32_t)rng_below(&rng, 1500), 8);
		action = admission_submit(admission, &request, now_ms);
		state[id] = action.kind == ADMISSION_START  ? RUNNING
			    : action.kind == ADMISSION_WAIT ? WAITING
							    : GONE;
		while (admission_next(admission, now_ms, &action)) {
			uint8_t *request_state = &state[action.id];

			if (action.kind == ADMISSION_PREEMPT) {
				g_assert_cmpint(*request_state, ==, RUNNING);
				admission_preempted(admission, action.id,
						    now_ms);
				*request_state = WAITING;
				continue;
			}
			g_assert_cmpint(*request_state, ==, WAITING);
			*request_state =
				action.kind == ADMISSION_START ? RUNNING : GONE;
		}
		admission_finished(admission, other, now_ms);
		state[other] = GONE;
		g_assert_cmpuint(admission->pools[0].running, <=, 8);
	}
	for (uint64_t id = 1; id <= 20000; id++)
		admission_finished(admission, id, now_ms);
	g_assert_cmpuint(admission->waiting_count, ==, 0);
	g_assert_cmpuint(admission->running_count, ==, 0);
	g_assert_cmpuint(admission->preempting_count, ==, 0);
	g_assert_cmpuint(admission->pools[0].preempting, ==, 0);
	for (size_t i = 0; i < ADMISSION_CUSTOMERS_MAX; i++) {
		g_assert_cmpuint(admission->customers[i].running, ==, 0);
		g_assert_cmpuint(admission->customers[i].waiting, ==, 0);
	}
}

/* A pool of one engine that prefills a token in 1 ms. */
static fleet_t *new_fleet(void)
{
	const fleet_endpoint_config_t engine = { .id = "e",
						 .id_hash = 1,
						 .address = "127.0.0.1" };
	const fleet_pool_config_t pool = { .id = "pool",
					   .engines = true,
					   .prefill_tokens_per_s = 1000,
					   .endpoints = &engine,
					   .endpoint_count = 1 };
	fleet_t *fleet = fleet_new(ROUTING_PREFIX, 1);

	g_assert_cmpint(fleet_configure(fleet, &pool, 1, 100, 10, 1000), ==, 0);
	return fleet;
}

static void report_queue(fleet_t *fleet, uint64_t tokens, uint64_t now_ms)
{
	const fleet_target_t engine = { .id_hash = 1 };
	const engine_load_t load = { .incarnation = 1,
				     .seq = now_ms,
				     .queued_tokens = tokens };

	fleet_apply_report(fleet, &engine, &load, now_ms);
}

static void submit_to(fleet_t *fleet, fleet_request_t *request, uint64_t id,
		      uint32_t urgency, uint64_t now_ms)
{
	request->admission = (admission_request_t){ .id = id,
						    .customer = { .id_hash = 1,
								  .weight = 1 },
						    .urgency = urgency,
						    .tokens = 2000 };
	fleet_submit(fleet, request, now_ms);
}

static int choose_for(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms,
		      fleet_choice_t *choice)
{
	const routing_request_t routing = {
		.prompt_tokens = 2000, .urgency = request->admission.urgency
	};

	return fleet_choose(fleet, 0, &routing, request, now_ms, choice);
}

/* Normal requests for a hot prefix must not queue at its engine ahead of urgent
 * ones, and one low load report must not release all held requests. */
static void test_fleet_holds_requests(void)
{
	fleet_request_t requests[4] = { 0 };
	fleet_t *fleet = new_fleet();
	fleet_choice_t choice;

	submit_to(fleet, &requests[0], 1, 1, 1000);
	submit_to(fleet, &requests[1], 2, 0, 1000);
	report_queue(fleet, 5000, 1000);
	g_assert_cmpint(requests[0].state, ==, FLEET_REQUEST_STARTED);
	g_assert_cmpint(choose_for(fleet, &requests[0], 1000, &choice), ==,
			FLEET_POSTPONED);
	g_assert_cmpint(requests[0].state, ==, FLEET_REQUEST_WAITING);
	g_assert_cmpint(choose_for(fleet, &requests[1], 1000, &choice), ==, 0);
	fleet_ended(fleet, &choice, NULL, ENDPOINT_DONE, 1000);
	submit_to(fleet, &requests[2], 3, 1, 1000);
	submit_to(fleet, &requests[3], 4, 1, 1000);
	report_queue(fleet, 0, 9000);
	fleet_tick(fleet, 9000);
	g_assert_cmpint(requests[0].state, ==, FLEET_REQUEST_STARTED);
	g_assert_cmpint(requests[2].state, ==, FLEET_REQUEST_WAITING);
	g_assert_cmpint(choose_for(fleet, &requests[0], 9000, &choice), ==, 0);
	fleet_tick(fleet, 9050);
	g_assert_cmpint(requests[2].state, ==, FLEET_REQUEST_WAITING);
	g_assert_cmpint(requests[3].state, ==, FLEET_REQUEST_WAITING);
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
		fleet_finished(fleet, &requests[i], 9100);
	fleet_free(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/scripts", test_scripts);
	g_test_add_func("/admission/fair-shares", test_fair_shares);
	g_test_add_func("/admission/retry-budget", test_retry_budget);
	g_test_add_func("/admission/retry-after", test_retry_after_suffices);
	g_test_add_func("/admission/times-out-of-order",
			test_times_out_of_order);
	g_test_add_func("/admission/random-calls", test_random_calls);
	g_test_add_func("/fleet/held-requests", test_fleet_holds_requests);
	return g_test_run();
}
