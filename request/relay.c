#include "request/relay.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "request/relay_job.h"

enum {
	/** Longest wait between two looks at the caller's socket. */
	WAIT_STEP_MS = 100,
	/** Wait for an engine that can run a suspect alone. */
	ISOLATION_WAIT_MS = 2000,
	ISOLATION_STEP_MS = 50,
	/** Wait for the permission to run a suspect. */
	PERMISSION_WAIT_MS = 10000,
	/** Longest value of X-Deadline-Ms. */
	DEADLINE_MAX_MS = 24 * 3600 * 1000,
};

void relay_init(relay_t *relay, const relay_settings_t *settings,
		fleet_t *fleet, upstream_pool_t *pool, crash_guard_t *guard)
{
	*relay = (relay_t){
		.settings = *settings,
		.fleet = fleet,
		.pool = pool,
		.guard = guard,
	};
	/* Request ids must differ between runs of one instance name. */
	snprintf(relay->instance, sizeof(relay->instance), "%08x%08x",
		 (unsigned)(hash_string(settings->instance) & UINT32_MAX),
		 randombytes_random());
	resume_key_init(&relay->key, settings->cluster_key);
	pthread_mutex_init(&relay->lock, NULL);
}

void relay_destroy(relay_t *relay)
{
	pthread_mutex_destroy(&relay->lock);
	sodium_memzero(&relay->key, sizeof(relay->key));
}

/* Register of the requests in progress. */

static uint64_t register_job(relay_t *relay, relay_job_t *job)
{
	SCOPED_LOCK(lock, &relay->lock);

	job->next = relay->jobs;
	relay->jobs = job;
	metrics_add(METRIC_OPEN_STREAMS, 1);
	return ++relay->request_count;
}

static void unregister_job(relay_t *relay, const relay_job_t *job)
{
	relay_job_t **link = &relay->jobs;
	SCOPED_LOCK(lock, &relay->lock);

	while (*link != job)
		link = &(*link)->next;
	*link = job->next;
	metrics_add(METRIC_OPEN_STREAMS, -1);
}

uint32_t relay_cancel_all(relay_t *relay, int reason)
{
	uint32_t count = 0;
	SCOPED_LOCK(lock, &relay->lock);

	for (relay_job_t *job = relay->jobs; job; job = job->next) {
		cancel_set(&job->cancel, reason);
		count++;
	}
	return count;
}

/* Plan: pool, urgency, keys. */

static int compute_prefix(const config_customer_t *customer,
			  const chat_request_t *chat, relay_plan_t *plan,
			  chat_problem_t *problem)
{
	prefix_identity_t identity = {
		.salt = customer->salt,
		.model = plan->pool->model,
		.adapter = plan->pool->adapter,
		.weights_version = plan->pool->weights_version,
		.block_tokens = plan->model->block_tokens,
		.token_bytes = plan->model->token_bytes,
	};
	uint32_t max = plan->model->prompt_tokens_max;
	int err = prefix_compute(&identity, chat->messages, chat->message_count,
				 &plan->prefix);

	if (err || (max && plan->prefix.prompt_tokens > max)) {
		snprintf(problem->text, sizeof(problem->text),
			 "the prompt has more than %u tokens", max);
		return ERR_BAD_FIELD;
	}
	return 0;
}

int relay_plan(relay_t *relay, const config_t *config, int32_t customer_index,
	       const char *kind_name, const chat_request_t *chat,
	       relay_plan_t *plan, chat_problem_t *problem)
{
	const config_customer_t *customer = &config->customers[customer_index];
	int32_t pool =
		config_find_customer_model(config, customer, chat->model);
	int32_t model = config_find_model(config, chat->model);

	*plan = (relay_plan_t){ 0 };
	if (pool == CONFIG_NONE || model == CONFIG_NONE)
		return ERR_UNKNOWN_MODEL;
	plan->pool = &config->pools[pool];
	plan->model = &config->models[model];
	plan->urgency = config_urgency(config, customer, kind_name,
				       (int64_t)time(NULL));
	plan->fleet_pool = fleet_find_pool(relay->fleet, plan->pool->id);
	if (plan->fleet_pool < 0)
		return ERR_NO_ENDPOINT;
	return compute_prefix(customer, chat, plan, problem);
}

static void fill_routing(const relay_plan_t *plan, routing_request_t *routing)
{
	*routing = (routing_request_t){
		.levels = plan->prefix.levels,
		.level_count = plan->prefix.level_count,
		.whole_key = plan->prefix.whole_key,
		.prompt_tokens = plan->prefix.prompt_tokens,
		.urgency = (uint32_t)plan->urgency,
		.model = plan->pool->model,
	};
}

/* Resume through this router. */

static int refuse(chat_problem_t *problem, int err, const char *text)
{
	snprintf(problem->text, sizeof(problem->text), "%s", text);
	return err;
}

static int check_token(const relay_job_t *job, const resume_token_t *token,
		       chat_problem_t *problem)
{
	const relay_request_t *request = job->request;
	const char *customer = request->config->customers[request->customer].id;

	if (token->customer_hash != hash_string(customer))
		return refuse(problem, ERR_RESUME_TOKEN,
			      "the resume token is of another customer");
	if (token->request_hash != job->chat.fingerprint)
		return refuse(problem, ERR_RESUME_TOKEN,
			      "the body differs from the one the resume token "
			      "was given for");
	if (!job->chat.stream)
		return refuse(problem, ERR_BAD_FIELD,
			      "only a request with 'stream' can be resumed");
	return 0;
}

/** Takes the caller's text if it is exactly what was relayed. */
static int take_resume_text(relay_job_t *job, chat_problem_t *problem)
{
	relay_output_t *output = &job->output;
	const chat_request_t *chat = &job->chat;

	output->text_known = output->position == 0;
	if (!chat->resume_text)
		return 0;
	if (relay_text_hash(output->text_hash, chat->resume_text,
			    chat->resume_text_len) != output->token.text_hash)
		return refuse(problem, ERR_BAD_FIELD,
			      "field 'resume_text' must be the text of all "
			      "tokens received");
	return relay_output_set_text(output, chat->resume_text,
				     chat->resume_text_len);
}

static int begin_resume(relay_job_t *job, const char *text,
			chat_problem_t *problem)
{
	relay_output_t *output = &job->output;
	int err = resume_token_decode(&job->relay->key, text,
				      (uint64_t)time(NULL), &output->token);

	if (!err)
		err = check_token(job, &output->token, problem);
	if (err)
		return err;
	output->resumed = true;
	output->position = output->token.position;
	err = take_resume_text(job, problem);
	output->text_hash = output->token.text_hash;
	return err;
}

/* Admission. */

static void preempt(void *context)
{
	cancel_set(context, RELAY_PREEMPTED);
}

static void submit(relay_job_t *job, uint64_t id)
{
	const relay_request_t *request = job->request;
	const config_customer_t *customer =
		&request->config->customers[request->customer];

	job->admission.admission = (admission_request_t){
		.id = id,
		.customer = { .id_hash = hash_string(customer->id) | 1,
			      .weight = customer->weight,
			      .rate_per_s = customer->rate_per_s,
			      .concurrency_max = customer->concurrency_max },
		.urgency = (uint32_t)job->plan.urgency,
		.pool = (uint32_t)job->plan.fleet_pool,
		.tokens = job->plan.prefix.prompt_tokens,
		.deadline_at_ms = job->deadline_at_ms,
		.preemptible = job->plan.urgency == URGENCY_DEFERRABLE,
	};
	job->admission.preempt = preempt;
	job->admission.context = &job->cancel;
	fleet_submit(job->relay->fleet, &job->admission, clock_now_ms());
	job->admitted = true;
}

/** Waits until the request may start. */
static int wait_for_start(relay_job_t *job)
{
	fleet_request_state_t state;

	while ((state = fleet_wait(job->relay->fleet, &job->admission,
				   WAIT_STEP_MS)) == FLEET_REQUEST_WAITING) {
		int reason = cancel_reason(&job->cancel);

		if (reason && reason != RELAY_PREEMPTED)
			return reason;
		if (server_client_gone(job->request->caller))
			return ERR_CANCELLED;
	}
	return state == FLEET_REQUEST_SHED ? job->admission.err : 0;
}

/* Choice of an engine. */

static int choose_once(relay_job_t *job, bool isolated, bool same_weights)
{
	routing_request_t *routing = &job->routing;
	bool first = !isolated && !job->attempt.excluded_count &&
		     !job->output.position;
	int err;

	routing->isolated = isolated;
	routing->excluded = job->attempt.excluded;
	routing->excluded_count = job->attempt.excluded_count;
	routing->weights_version =
		same_weights && job->output.position && *job->weights_version
			? job->weights_version
			: NULL;
	err = fleet_choose(job->relay->fleet, job->plan.fleet_pool, routing,
			   first ? &job->admission : NULL, clock_now_ms(),
			   &job->choice);
	/* The demand was counted; a retry or a later start is the same. */
	routing->again = true;
	return err;
}

/** Chooses again each time the chosen engine's queue puts the start off. */
static int choose_in_time(relay_job_t *job, bool same_weights)
{
	int err = choose_once(job, false, same_weights);

	while (err == FLEET_POSTPONED) {
		err = wait_for_start(job);
		if (!err)
			err = choose_once(job, false, same_weights);
	}
	return err;
}

/** Waits for an idle engine to run a suspect alone. */
static int choose_isolated(relay_job_t *job)
{
	uint64_t until_ms = clock_now_ms() + ISOLATION_WAIT_MS;
	struct timespec step = { .tv_nsec = ISOLATION_STEP_MS * 1000000L };
	int err = choose_once(job, true, true);

	while (err == ERR_NO_ENDPOINT && clock_now_ms() < until_ms &&
	       !cancel_reason(&job->cancel) &&
	       !server_client_gone(job->request->caller)) {
		nanosleep(&step, NULL);
		err = choose_once(job, true, true);
	}
	return err;
}

/**
 * Chooses an engine. A suspect that finds no idle engine in time runs beside
 * others rather than being cut; the limit of lost engines holds all the same.
 * A started stream prefers its weights version but goes on without it.
 */
static int choose(relay_job_t *job)
{
	int err = ERR_NO_ENDPOINT;

	if (job->attempt.isolated || job->guard_run.isolated)
		err = choose_isolated(job);
	if (err == ERR_NO_ENDPOINT)
		err = choose_in_time(job, true);
	if (err == ERR_NO_ENDPOINT && job->output.position)
		err = choose_in_time(job, false);
	return err;
}

/* The request from begin to end. */

static attempt_end_t end_unsent(const relay_job_t *job, int err)
{
	return (attempt_end_t){
		.kind = err == ERR_NO_ENDPOINT ? ATTEMPT_END_NO_ENDPOINT
					       : ATTEMPT_END_STOPPED,
		.position = job->output.position,
		.err = err,
	};
}

/** Asks whether the request may run; a suspect waits for its permission. */
static int begin_guarded(relay_job_t *job)
{
	uint64_t until_ms = clock_now_ms() + PERMISSION_WAIT_MS;
	uint64_t retry_after_ms = 0;
	int err;

	if (job->deadline_at_ms && !job->had_token &&
	    job->deadline_at_ms < until_ms)
		until_ms = job->deadline_at_ms;
	err = crash_guard_begin(job->relay->guard, job->plan.prefix.fingerprint,
				until_ms, &job->guard_run, &retry_after_ms);
	job->retry_after_ms = (uint32_t)retry_after_ms;
	return err;
}

static crash_guard_result_t guard_result(attempt_end_kind_t kind)
{
	switch (kind) {
	case ATTEMPT_END_COMPLETE:
		return CRASH_GUARD_COMPLETED;
	case ATTEMPT_END_LOST:
		return CRASH_GUARD_CRASHED;
	default:
		return CRASH_GUARD_ABANDONED;
	}
}

static attempt_end_t run_once(relay_job_t *job)
{
	attempt_end_t end;
	int err = begin_guarded(job);

	if (err)
		return end_unsent(job, err);
	job->crash = 0;
	err = choose(job);
	end = err ? end_unsent(job, err) : relay_run_attempt(job);
	crash_guard_end(job->relay->guard, &job->guard_run,
			guard_result(end.kind), job->crash);
	return end;
}

static attempt_end_t run_first(relay_job_t *job)
{
	resume_token_t *token = &job->output.token;

	if (job->output.resumed &&
	    !fleet_find_endpoint(job->relay->fleet, job->plan.fleet_pool,
				 token->endpoint, &job->choice.target))
		return relay_run_replay(job);
	if (job->output.resumed && !job->output.text_known)
		return (attempt_end_t){
			.kind = ATTEMPT_END_REFUSED,
			.position = job->output.position,
		};
	return run_once(job);
}

/**
 * Goes on after a failed attempt. An engine that lives may still hold the
 * stream when only its connection was lost; that costs no recomputation.
 */
static attempt_end_t run_next(relay_job_t *job, const attempt_end_t *before)
{
	attempt_end_t end;

	if (before->kind != ATTEMPT_END_CUT || job->is_replay)
		return run_once(job);
	end = relay_run_replay(job);
	return end.kind == ATTEMPT_END_REFUSED ? run_once(job) : end;
}

static attempt_action_t ask_budget(relay_job_t *job,
				   const attempt_action_t *action)
{
	int err = 0;

	if (action->kind == ATTEMPT_RETRY && action->retry.needs_budget)
		err = fleet_retry(job->relay->fleet, job->plan.fleet_pool,
				  job->deadline_at_ms, clock_now_ms());
	return err ? attempt_refused(&job->attempt, err) : *action;
}

/** Waits in the queue again after the stream yielded to an urgent one. */
static int requeue(relay_job_t *job)
{
	cancel_clear(&job->cancel, RELAY_PREEMPTED);
	fleet_requeue(job->relay->fleet, &job->admission, clock_now_ms());
	return wait_for_start(job);
}

static void fail(relay_job_t *job, int err, const run_state_t *run_state,
		 const char *text)
{
	server_error_t error = {
		.err = err,
		.text = text && *text ? text : NULL,
		.has_run_state = run_state != NULL,
		.run_state = run_state ? *run_state : RUN_STATE_UNKNOWN,
	};

	if (job->admitted && job->admission.state == FLEET_REQUEST_SHED)
		error.retry_after_ms = job->admission.retry_after_ms;
	else if (err == ERR_QUARANTINED)
		error.retry_after_ms = job->retry_after_ms;
	relay_output_fail(&job->output, &error);
}

static void run_attempts(relay_job_t *job)
{
	attempt_end_t end = run_first(job);

	for (;;) {
		attempt_action_t action = attempt_ended(&job->attempt, &end);
		int err = 0;

		action = ask_budget(job, &action);
		switch (action.kind) {
		case ATTEMPT_FINISH:
			relay_output_finish(&job->output,
					    job->attempt.request_id,
					    job->chat.model);
			return;
		case ATTEMPT_GIVE_UP:
			fail(job, action.give_up.err, &action.give_up.run_state,
			     NULL);
			return;
		case ATTEMPT_REQUEUE:
			err = requeue(job);
			break;
		case ATTEMPT_RETRY:
		case ATTEMPT_RESUME:
			break;
		}
		if (err) {
			end = (attempt_end_t){
				.kind = ATTEMPT_END_STOPPED,
				.position = job->output.position,
				.err = err,
			};
			continue;
		}
		end = action.kind == ATTEMPT_RESUME ? run_next(job, &end)
						    : run_once(job);
	}
}

static uint64_t deadline_of(const relay_job_t *job)
{
	const relay_request_t *request = job->request;
	const char *text = server_header(request->caller, "X-Deadline-Ms");
	uint64_t limit_ms = request->config->limits.default_deadline_ms;

	if (text)
		limit_ms = strtoull(text, NULL, 10);
	return limit_ms ? job->started_ms + limit_ms : 0;
}

static int check_headers(const relay_job_t *job, chat_problem_t *problem)
{
	const server_request_t *caller = job->request->caller;
	const char *deadline = server_header(caller, "X-Deadline-Ms");
	const char *kind = server_header(caller, "X-Kind");

	if (deadline && (!*deadline || strlen(deadline) > 8 ||
			 strspn(deadline, "0123456789") != strlen(deadline) ||
			 strtoul(deadline, NULL, 10) > DEADLINE_MAX_MS))
		return refuse(problem, ERR_BAD_FIELD,
			      "header 'X-Deadline-Ms' must be a whole number "
			      "from 0 to 86400000");
	if (kind && strlen(kind) >= CONFIG_ID_MAX_BYTES)
		return refuse(problem, ERR_BAD_FIELD,
			      "header 'X-Kind' must be at most 63 bytes");
	return 0;
}

/** Everything that is checked before the request is submitted. */
static int prepare(relay_job_t *job, chat_problem_t *problem)
{
	const relay_request_t *request = job->request;
	const server_request_t *caller = request->caller;
	const char *kind = server_header(caller, "X-Kind");
	const char *resume = server_header(caller, "Last-Event-ID");
	int err = check_headers(job, problem);

	if (!err)
		err = chat_parse(request->kind, caller->body, caller->body_len,
				 &job->chat, problem);
	if (!err)
		err = relay_plan(job->relay, request->config, request->customer,
				 kind ? kind : "", &job->chat, &job->plan,
				 problem);
	if (err)
		return err;
	job->output.stream = job->chat.stream;
	fill_routing(&job->plan, &job->routing);
	job->deadline_at_ms = deadline_of(job);
	if (resume && *resume)
		return begin_resume(job, resume, problem);
	if (job->chat.resume_text)
		return refuse(problem, ERR_BAD_FIELD,
			      "field 'resume_text' needs the header "
			      "'Last-Event-ID'");
	return 0;
}

static void serve(relay_job_t *job, uint64_t number)
{
	const relay_request_t *request = job->request;
	const config_t *config = request->config;
	run_state_t not_run = RUN_STATE_NOT_RUN;
	chat_problem_t problem = { 0 };
	char id[ATTEMPT_REQUEST_ID_MAX_BYTES];
	uint32_t attempts_max = config->limits.attempts_max;
	int err = prepare(job, &problem);

	if (err) {
		fail(job, err, NULL, problem.text);
		return;
	}
	if (!job->output.resumed) {
		job->output.token.customer_hash =
			hash_string(config->customers[request->customer].id);
		job->output.token.request_hash = job->chat.fingerprint;
	}
	snprintf(id, sizeof(id), "%s-%" PRIx64, job->relay->instance, number);
	attempt_init(&job->attempt, id, attempts_max ? attempts_max : 1);
	submit(job, number);
	err = wait_for_start(job);
	if (err)
		fail(job, err, &not_run, NULL);
	else
		run_attempts(job);
	fleet_finished(job->relay->fleet, &job->admission, clock_now_ms());
}

void relay_serve(relay_t *relay, const relay_request_t *request)
{
	CLEANUP_FREE relay_job_t *job = calloc(1, sizeof(*job));
	server_error_t no_memory = { .err = ERR_NO_MEMORY };
	uint64_t number;

	metrics_add(METRIC_REQUESTS_MODEL, 1);
	if (!job) {
		server_answer_error(request->caller, &no_memory);
		return;
	}
	job->relay = relay;
	job->request = request;
	job->started_ms = clock_now_ms();
	cancel_init(&job->cancel);
	relay_output_init(&job->output);
	job->output.caller = request->caller;
	job->output.key = &relay->key;
	job->output.kind = request->kind;
	number = register_job(relay, job);
	serve(job, number);
	unregister_job(relay, job);
	relay_output_free(&job->output);
	chat_free(&job->chat);
	cancel_destroy(&job->cancel);
}

/* Explanation. */

static json_t *explain_candidate(relay_t *relay, int pool,
				 const routing_candidate_t *candidate)
{
	char id[FLEET_ID_MAX_BYTES];

	fleet_endpoint_name(relay->fleet, pool, candidate->endpoint, id);
	return json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I}", "endpoint", id,
			 "state", endpoint_state_name(candidate->state),
			 "cached_tokens", (json_int_t)candidate->cached_tokens,
			 "believed_tokens",
			 (json_int_t)candidate->believed_tokens, "wait_ms",
			 (json_int_t)candidate->wait_ms, "recompute_ms",
			 (json_int_t)candidate->recompute_ms, "ttft_ms",
			 (json_int_t)candidate->ttft_ms);
}

static json_t *explain_choice(relay_t *relay, const relay_plan_t *plan,
			      const fleet_choice_t *choice, int err)
{
	const routing_explanation_t *explanation = &choice->explanation;
	char key[HASH_KEY_HEX_BYTES];
	json_t *candidates = json_array();

	hash_key_to_hex(explanation->level_key, key);
	for (uint32_t i = 0; i < explanation->candidate_count; i++)
		json_array_append_new(
			candidates,
			explain_candidate(relay, plan->fleet_pool,
					  &explanation->candidates[i]));
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:I,s:I,s:I,s:I,s:o}",
		"endpoint", err ? "" : choice->target.id, "error",
		err ? error_type(err) : "", "policy",
		routing_policy_name(explanation->policy), "reason",
		routing_reason_name(explanation->reason), "urgency",
		urgency_name(plan->urgency), "prompt_tokens",
		(json_int_t)plan->prefix.prompt_tokens, "levels",
		(json_int_t)plan->prefix.level_count, "level_key", key,
		"level_tokens", (json_int_t)explanation->level_tokens,
		"replicas", (json_int_t)explanation->replicas, "endpoints",
		(json_int_t)explanation->endpoints, "usable",
		(json_int_t)explanation->usable, "candidates", candidates);
}

static json_t *explain_chat(relay_t *relay, const relay_plan_t *plan,
			    server_error_t *error)
{
	fleet_choice_t choice = { 0 };
	routing_request_t routing;

	fill_routing(plan, &routing);
	error->err = fleet_explain(relay->fleet, plan->fleet_pool, &routing,
				   clock_now_ms(), &choice);
	return explain_choice(relay, plan, &choice, error->err);
}

json_t *relay_explain(relay_t *relay, const relay_question_t *question,
		      server_error_t *error, chat_problem_t *problem)
{
	json_t *explanation = NULL;
	chat_request_t chat;
	relay_plan_t *plan;

	error->err = chat_parse(question->kind, question->body,
				question->body_len, &chat, problem);
	if (error->err)
		return NULL;
	error->err = ERR_NO_MEMORY;
	plan = calloc(1, sizeof(*plan));
	if (plan)
		error->err =
			relay_plan(relay, question->config, question->customer,
				   question->kind_name, &chat, plan, problem);
	if (!error->err)
		explanation = explain_chat(relay, plan, error);
	free(plan);
	chat_free(&chat);
	return explanation;
}
