/* Retry policy: what to do after each end of an attempt. */
#include <glib.h>

#include "request/attempt.h"

enum {
	STEPS_MAX = 5,
	ATTEMPTS_MAX = 3,
};

typedef struct step {
	attempt_end_kind_t kind;
	uint64_t position;
	bool text_lost;		      /**< The relayed text is unknown. */
	int err;		      /**< For ATTEMPT_END_STOPPED. */
	attempt_action_kind_t action; /**< Expected, like all members below. */
	bool needs_budget;
	int give_up_err;
	run_state_t run_state;
} step_t;

typedef struct attempt_case {
	const char *guards; /**< The failure this case guards against. */
	step_t steps[STEPS_MAX];
	size_t step_count;
	bool isolated; /**< Expected after the last step. */
} attempt_case_t;

#define RETRY(end, budget)                              \
	{                                               \
		.kind = (end), .action = ATTEMPT_RETRY, \
		.needs_budget = (budget)                \
	}
#define GIVE_UP(end, error, state)                           \
	{                                                    \
		.kind = (end), .action = ATTEMPT_GIVE_UP,    \
		.give_up_err = (error), .run_state = (state) \
	}

static const attempt_case_t cases[] = {
	{ "a request with a complete answer was retried",
	  { { .kind = ATTEMPT_END_COMPLETE, .action = ATTEMPT_FINISH } },
	  1,
	  false },
	{ "an unreachable engine consumed retry budget or counted as run",
	  { RETRY(ATTEMPT_END_NOT_SENT, false),
	    RETRY(ATTEMPT_END_REFUSED, false),
	    GIVE_UP(ATTEMPT_END_NOT_SENT, ERR_CONNECT, RUN_STATE_NOT_RUN) },
	  3,
	  false },
	{ "\"not run\" was reported after an engine died with the request",
	  { RETRY(ATTEMPT_END_ENGINE_LOST, true),
	    GIVE_UP(ATTEMPT_END_NO_ENDPOINT, ERR_NO_ENDPOINT,
		    RUN_STATE_UNKNOWN) },
	  2,
	  true },
	{ "one request crashed a third engine",
	  { RETRY(ATTEMPT_END_ENGINE_LOST, true),
	    GIVE_UP(ATTEMPT_END_ENGINE_LOST, ERR_QUARANTINED,
		    RUN_STATE_UNKNOWN) },
	  2,
	  true },
	{ "a slow or faulty engine caused the request to be isolated",
	  { RETRY(ATTEMPT_END_TIMEOUT, true),
	    RETRY(ATTEMPT_END_CONNECTION_LOST, true),
	    GIVE_UP(ATTEMPT_END_BAD_ANSWER, ERR_ENDPOINT_ANSWER,
		    RUN_STATE_UNKNOWN) },
	  3,
	  false },
	{ "tokens that the client already has were generated again",
	  { { .kind = ATTEMPT_END_ENGINE_LOST,
	      .position = 5,
	      .action = ATTEMPT_RESUME },
	    { .kind = ATTEMPT_END_NOT_SENT,
	      .position = 5,
	      .action = ATTEMPT_RESUME },
	    { .kind = ATTEMPT_END_COMPLETE,
	      .position = 9,
	      .action = ATTEMPT_FINISH } },
	  3,
	  true },
	{ "a stream was resumed elsewhere without the relayed text",
	  { { .kind = ATTEMPT_END_REFUSED,
	      .position = 5,
	      .text_lost = true,
	      .action = ATTEMPT_GIVE_UP,
	      .give_up_err = ERR_STREAM_GONE,
	      .run_state = RUN_STATE_UNKNOWN } },
	  1,
	  false },
	{ "a preemption by an urgent request counted as a failure",
	  { { .kind = ATTEMPT_END_PREEMPTED, .action = ATTEMPT_REQUEUE },
	    { .kind = ATTEMPT_END_PREEMPTED,
	      .position = 3,
	      .action = ATTEMPT_REQUEUE },
	    { .kind = ATTEMPT_END_PREEMPTED,
	      .position = 4,
	      .action = ATTEMPT_REQUEUE },
	    { .kind = ATTEMPT_END_ENGINE_LOST,
	      .position = 4,
	      .action = ATTEMPT_RESUME } },
	  4,
	  true },
	{ "an invalid request was retried at another engine",
	  { GIVE_UP(ATTEMPT_END_REJECTED, ERR_BAD_FIELD, RUN_STATE_NOT_RUN) },
	  1,
	  false },
	{ "a request continued after its client disconnected",
	  { { .kind = ATTEMPT_END_STOPPED,
	      .err = ERR_CANCELLED,
	      .action = ATTEMPT_GIVE_UP,
	      .give_up_err = ERR_CANCELLED,
	      .run_state = RUN_STATE_UNKNOWN } },
	  1,
	  false },
};

static void check_step(attempt_t *attempt, const step_t *step, uint64_t number)
{
	attempt_end_t end = {
		.kind = step->kind,
		.endpoint = step->kind == ATTEMPT_END_NO_ENDPOINT ? 0 : number,
		.position = step->position,
		.can_resume = !step->text_lost,
		.err = step->err,
	};
	char id[ATTEMPT_ID_MAX_BYTES];
	attempt_action_t action;

	attempt_start(attempt, id);
	action = attempt_ended(attempt, &end);
	g_assert_cmpint(action.kind, ==, step->action);
	if (action.kind == ATTEMPT_RETRY)
		g_assert_cmpint(action.retry.needs_budget, ==,
				step->needs_budget);
	if (action.kind != ATTEMPT_GIVE_UP)
		return;
	g_assert_cmpint(action.give_up.err, ==, step->give_up_err);
	g_assert_cmpint(action.give_up.run_state, ==, step->run_state);
}

static void test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const attempt_case_t *c = &cases[i];
		attempt_t attempt;

		g_test_message("guards against: %s", c->guards);
		attempt_init(&attempt, "r", ATTEMPTS_MAX);
		for (size_t j = 0; j < c->step_count; j++)
			check_step(&attempt, &c->steps[j], j + 1);
		g_assert_cmpint(attempt.must_isolate, ==, c->isolated);
	}
}

/* An engine that failed must not get the same request again. */
static void test_failed_engines_are_excluded(void)
{
	attempt_end_t end = { .kind = ATTEMPT_END_TIMEOUT, .endpoint = 77 };
	attempt_t attempt;

	attempt_init(&attempt, "r", 100);
	for (int i = 0; i < 20; i++)
		attempt_ended(&attempt, &end);
	g_assert_cmpuint(attempt.excluded_count, ==, ATTEMPT_EXCLUDED_MAX);
	g_assert_cmpuint(attempt.excluded[0], ==, 77);
}

/* An answer to an earlier attempt or another request must not be relayed. */
static void test_identity(void)
{
	char id[ATTEMPT_ID_MAX_BYTES];
	attempt_t attempt;

	attempt_init(&attempt, "abc", ATTEMPTS_MAX);
	attempt_start(&attempt, id);
	g_assert_cmpstr(id, ==, "abc.1");
	g_assert_true(attempt_matches(&attempt, "abc.1"));
	attempt_start(&attempt, id);
	g_assert_true(attempt_matches(&attempt, "abc.2"));
	g_assert_false(attempt_matches(&attempt, "abc.1"));
	g_assert_false(attempt_matches(&attempt, "abc.22"));
	g_assert_false(attempt_matches(&attempt, "abd.2"));
	g_assert_false(attempt_matches(&attempt, NULL));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt/cases", test_cases);
	g_test_add_func("/attempt/excluded", test_failed_engines_are_excluded);
	g_test_add_func("/attempt/identity", test_identity);
	return g_test_run();
}
