#include "request/attempt.h"

#include <stdio.h>
#include <string.h>

void attempt_init(attempt_t *attempt, const char *request_id,
		  uint32_t attempts_max)
{
	*attempt = (attempt_t){ .attempts_max = attempts_max };
	snprintf(attempt->request_id, sizeof(attempt->request_id), "%s",
		 request_id);
}

static void format_attempt_id(const attempt_t *attempt,
			      char id[ATTEMPT_ID_MAX_BYTES])
{
	snprintf(id, ATTEMPT_ID_MAX_BYTES, "%s.%u", attempt->request_id,
		 attempt->number);
}

void attempt_start(attempt_t *attempt, char id[ATTEMPT_ID_MAX_BYTES])
{
	attempt->number++;
	format_attempt_id(attempt, id);
}

bool attempt_matches(const attempt_t *attempt, const char *echo)
{
	char id[ATTEMPT_ID_MAX_BYTES];

	format_attempt_id(attempt, id);
	return echo && !strcmp(echo, id);
}

static attempt_action_t give_up(const attempt_t *attempt, int err)
{
	/* The attempts determine the run state, not the error's default. */
	return (attempt_action_t){
		.kind = ATTEMPT_GIVE_UP,
		.give_up = { .err = err,
			     .run_state = attempt->may_have_run
						  ? RUN_STATE_UNKNOWN
						  : RUN_STATE_NOT_RUN },
	};
}

static void exclude_endpoint(attempt_t *attempt, uint64_t endpoint)
{
	if (endpoint && attempt->excluded_count < ATTEMPT_EXCLUDED_MAX)
		attempt->excluded[attempt->excluded_count++] = endpoint;
}

/** Continues at another engine if the limits allow it; else fails. */
static attempt_action_t try_next_engine(attempt_t *attempt,
					const attempt_end_t *end, int err,
					bool needs_budget)
{
	exclude_endpoint(attempt, end->endpoint);
	if (++attempt->failures >= attempt->attempts_max)
		return give_up(attempt, err);
	if (!end->position)
		return (attempt_action_t){
			.kind = ATTEMPT_RETRY,
			.retry = { .needs_budget = needs_budget },
		};
	if (!end->can_resume)
		return give_up(attempt, ERR_STREAM_GONE);
	return (attempt_action_t){ .kind = ATTEMPT_RESUME };
}

static attempt_action_t handle_engine_loss(attempt_t *attempt,
					   const attempt_end_t *end)
{
	attempt->may_have_run = true;
	attempt->must_isolate = true;
	if (++attempt->losses >= ATTEMPT_LOSSES_MAX)
		return give_up(attempt, ERR_QUARANTINED);
	return try_next_engine(attempt, end, ERR_ENDPOINT_LOST, true);
}

static attempt_action_t handle_failure(attempt_t *attempt,
				       const attempt_end_t *end, int err)
{
	attempt->may_have_run = true;
	return try_next_engine(attempt, end, err, true);
}

static attempt_action_t handle_preemption(attempt_t *attempt,
					  const attempt_end_t *end)
{
	attempt->may_have_run = true;
	if (end->position && !end->can_resume)
		return give_up(attempt, ERR_STREAM_GONE);
	return (attempt_action_t){ .kind = ATTEMPT_REQUEUE };
}

attempt_action_t attempt_ended(attempt_t *attempt, const attempt_end_t *end)
{
	/* A relayed token proves that the request ran. */
	attempt->may_have_run = attempt->may_have_run || end->position > 0;
	switch (end->kind) {
	case ATTEMPT_END_COMPLETE:
		return (attempt_action_t){ .kind = ATTEMPT_FINISH };
	case ATTEMPT_END_NO_ENDPOINT:
		return give_up(attempt, ERR_NO_ENDPOINT);
	case ATTEMPT_END_NOT_SENT:
		return try_next_engine(attempt, end, ERR_CONNECT, false);
	case ATTEMPT_END_REFUSED:
		return try_next_engine(attempt, end, ERR_ENDPOINT_LEAVING,
				       false);
	case ATTEMPT_END_REJECTED:
		return give_up(attempt, ERR_BAD_FIELD);
	case ATTEMPT_END_ENGINE_LOST:
		return handle_engine_loss(attempt, end);
	case ATTEMPT_END_CONNECTION_LOST:
		return handle_failure(attempt, end, ERR_ENDPOINT_LOST);
	case ATTEMPT_END_TIMEOUT:
		return handle_failure(attempt, end, ERR_TIMEOUT);
	case ATTEMPT_END_BAD_ANSWER:
		return handle_failure(attempt, end, ERR_ENDPOINT_ANSWER);
	case ATTEMPT_END_MISMATCH:
		return handle_failure(attempt, end, ERR_ATTEMPT_MISMATCH);
	case ATTEMPT_END_PREEMPTED:
		return handle_preemption(attempt, end);
	case ATTEMPT_END_STOPPED:
		attempt->may_have_run = attempt->may_have_run || end->endpoint;
		return give_up(attempt, end->err);
	}
	return give_up(attempt, ERR_INTERNAL);
}

attempt_action_t attempt_budget_refused(const attempt_t *attempt, int err)
{
	return give_up(attempt, err);
}
