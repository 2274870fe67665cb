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
	/** How often a waiting request checks for a client disconnect. */
	CLIENT_POLL_INTERVAL_MS = 100,
	/**
	 * Longest wait for an idle engine to run a suspect isolated. A suspect
	 * is a request that may crash engines, see process/quarantine.h.
	 */
	ISOLATION_WAIT_MS = 2000,
	ISOLATION_POLL_INTERVAL_MS = 50,
	/** Longest wait for the permission to run a suspect. */
	PERMISSION_WAIT_MS = 10000,
	/** Largest value of X-Deadline-Ms. */
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
	/* Request ids must differ after a restart under the same name. */
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

/* List of the requests in progress. */

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

/* Pool, urgency and prefix keys of a request. */

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

/* Resuming a stream. */

static int reject(chat_problem_t *problem, int err, const char *text)
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
		return reject(problem, ERR_RESUME_TOKEN,
			      "the resume token is of another customer");
	if (token->request_hash != job->chat.fingerprint)
		return reject(problem, ERR_RESUME_TOKEN,
			      "the body differs from the one the resume token "
			      "was given for");
	if (!job->chat.stream)
		return reject(problem, ERR_BAD_FIELD,
			      "only a request with 'stream' can be resumed");
	return 0;
}

/**
 * Checks that the client's `resume_text` is exactly the text that was relayed,
 * and stores it.
 */
static int accept_resume_text(relay_job_t *job, chat_problem_t *problem)
{
	relay_output_t *output = &job->output;
	const chat_request_t *chat = &job->chat;

	output->text_known = output->position == 0;
	if (!chat->resume_text)
		return 0;
	if (relay_text_hash(output->text_hash, chat->resume_text,
			    chat->resume_text_len) != output->token.text_hash)
		return reject(problem, ERR_BAD_FIELD,
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
	output->is_resumed = true;
	output->position = output->token.position;
	err = accept_resume_text(job, problem);
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
		.deadline_ms = job->deadline_ms,
		.preemptible = job->plan.urgency == URGENCY_DEFERRABLE,
	};
	job->admission.preempt = preempt;
	job->admission.context = &job->cancel;
	fleet_submit(job->relay->fleet, &job->admission, clock_now_ms());
	job->submitted = true;
}

/** Waits until the request is admitted, or fails. */
static int wait_for_start(relay_job_t *job)
{
	fleet_request_state_t state;

	while ((state = fleet_wait(job->relay->fleet, &job->admission,
				   CLIENT_POLL_INTERVAL_MS)) ==
	       FLEET_REQUEST_WAITING) {
		int reason = cancel_reason(&job->cancel);

		if (reason && reason != RELAY_PREEMPTED)
			return reason;
		if (server_client_gone(job->request->client_request))
			return ERR_CANCELLED;
	}
	return state == FLEET_REQUEST_SHED ? job->admission.err : 0;
}

/* Choosing an engine. */

static int try_choose(relay_job_t *job, bool isolated, bool same_weights)
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
	/* Demand is counted once, not again for a retry or postponed start. */
	routing->already_counted = true;
	return err;
}

/**
 * Chooses an engine. While the queue of the chosen engine postpones the start,
 * waits and chooses again.
 */
static int choose_or_wait(relay_job_t *job, bool same_weights)
{
	int err = try_choose(job, false, same_weights);

	while (err == FLEET_POSTPONED) {
		err = wait_for_start(job);
		if (!err)
			err = try_choose(job, false, same_weights);
	}
	return err;
}

/** Waits for an idle engine to run a suspect isolated. */
static int choose_isolated(relay_job_t *job)
{
	uint64_t deadline_ms = clock_now_ms() + ISOLATION_WAIT_MS;
	struct timespec step = { .tv_nsec = ISOLATION_POLL_INTERVAL_MS *
					    1000000L };
	int err = try_choose(job, true, true);

	while (err == ERR_NO_ENDPOINT && clock_now_ms() < deadline_ms &&
	       !cancel_reason(&job->cancel) &&
	       !server_client_gone(job->request->client_request)) {
		nanosleep(&step, NULL);
		err = try_choose(job, true, true);
	}
	return err;
}

/**
 * Chooses an engine. A suspect that finds no idle engine in time runs next to
 * other requests instead of failing; ATTEMPT_LOSSES_MAX still applies.
 * A started stream prefers engines with its weights version but continues at
 * others if there is none.
 */
static int choose_engine(relay_job_t *job)
{
	int err = ERR_NO_ENDPOINT;

	if (job->attempt.must_isolate || job->guard_run.isolated)
		err = choose_isolated(job);
	if (err == ERR_NO_ENDPOINT)
		err = choose_or_wait(job, true);
	if (err == ERR_NO_ENDPOINT && job->output.position)
		err = choose_or_wait(job, false);
	return err;
}

/* Running the attempts. */

static attempt_end_t unsent_attempt_end(const relay_job_t *job, int err)
{
	return (attempt_end_t){
		.kind = err == ERR_NO_ENDPOINT ? ATTEMPT_END_NO_ENDPOINT
					       : ATTEMPT_END_STOPPED,
		.position = job->output.position,
		.err = err,
	};
}

/** Asks the crash guard for permission; blocks while a suspect must wait. */
static int enter_crash_guard(relay_job_t *job)
{
	uint64_t deadline_ms = clock_now_ms() + PERMISSION_WAIT_MS;
	uint64_t retry_after_ms = 0;
	int err;

	if (job->deadline_ms && !job->token_received &&
	    job->deadline_ms < deadline_ms)
		deadline_ms = job->deadline_ms;
	err = crash_guard_begin(job->relay->guard, job->plan.prefix.fingerprint,
				deadline_ms, &job->guard_run, &retry_after_ms);
	job->retry_after_ms = (uint32_t)retry_after_ms;
	return err;
}

static crash_guard_result_t crash_guard_result_of(attempt_end_kind_t kind)
{
	switch (kind) {
	case ATTEMPT_END_COMPLETE:
		return CRASH_GUARD_COMPLETED;
	case ATTEMPT_END_ENGINE_LOST:
		return CRASH_GUARD_CRASHED;
	default:
		return CRASH_GUARD_ABANDONED;
	}
}

static attempt_end_t run_new_attempt(relay_job_t *job)
{
	attempt_end_t end;
	int err = enter_crash_guard(job);

	if (err)
		return unsent_attempt_end(job, err);
	job->crash_id = 0;
	err = choose_engine(job);
	end = err ? unsent_attempt_end(job, err) : relay_run_attempt(job);
	crash_guard_end(job->relay->guard, &job->guard_run,
			crash_guard_result_of(end.kind), job->crash_id);
	return end;
}

static attempt_end_t run_first_attempt(relay_job_t *job)
{
	resume_token_t *token = &job->output.token;

	if (job->output.is_resumed &&
	    !fleet_find_endpoint(job->relay->fleet, job->plan.fleet_pool,
				 token->endpoint, &job->choice.target))
		return relay_run_replay(job);
	if (job->output.is_resumed && !job->output.text_known)
		return (attempt_end_t){
			.kind = ATTEMPT_END_REFUSED,
			.position = job->output.position,
		};
	return run_new_attempt(job);
}

/**
 * Resumes a stream after a failed attempt. If only the connection was lost, the
 * engine may still have the stream: a replay needs no recompute.
 */
static attempt_end_t run_resume_attempt(relay_job_t *job,
					const attempt_end_t *before)
{
	attempt_end_t end;

	if (before->kind != ATTEMPT_END_CONNECTION_LOST || job->is_replay)
		return run_new_attempt(job);
	end = relay_run_replay(job);
	return end.kind == ATTEMPT_END_REFUSED ? run_new_attempt(job) : end;
}

static attempt_action_t apply_retry_budget(relay_job_t *job,
					   const attempt_action_t *action)
{
	int err = 0;

	if (action->kind == ATTEMPT_RETRY && action->retry.needs_budget)
		err = fleet_retry(job->relay->fleet, job->plan.fleet_pool,
				  job->deadline_ms, clock_now_ms());
	return err ? attempt_budget_refused(&job->attempt, err) : *action;
}

/** Waits for admission again after an urgent request preempted the stream. */
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

	if (job->submitted && job->admission.state == FLEET_REQUEST_SHED)
		error.retry_after_ms = job->admission.retry_after_ms;
	else if (err == ERR_QUARANTINED)
		error.retry_after_ms = job->retry_after_ms;
	relay_output_fail(&job->output, &error);
}

static void run_attempts(relay_job_t *job)
{
	attempt_end_t end = run_first_attempt(job);

	for (;;) {
		attempt_action_t action = attempt_ended(&job->attempt, &end);
		int err = 0;

		action = apply_retry_budget(job, &action);
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
		end = action.kind == ATTEMPT_RESUME
			      ? run_resume_attempt(job, &end)
			      : run_new_attempt(job);
	}
}

static uint64_t compute_deadline(const relay_job_t *job)
{
	const relay_request_t *request = job->request;
	const char *text =
		server_header(request->client_request, "X-Deadline-Ms");
	uint64_t limit_ms = request->config->limits.default_deadline_ms;

	if (text)
		limit_ms = strtoull(text, NULL, 10);
	return limit_ms ? job->started_ms + limit_ms : 0;
}

static int check_headers(const relay_job_t *job, chat_problem_t *problem)
{
	const server_request_t *client_request = job->request->client_request;
	const char *deadline = server_header(client_request, "X-Deadline-Ms");
	const char *kind = server_header(client_request, "X-Kind");

	if (deadline && (!*deadline || strlen(deadline) > 8 ||
			 strspn(deadline, "0123456789") != strlen(deadline) ||
			 strtoul(deadline, NULL, 10) > DEADLINE_MAX_MS))
		return reject(problem, ERR_BAD_FIELD,
			      "header 'X-Deadline-Ms' must be a whole number "
			      "from 0 to 86400000");
	if (kind && strlen(kind) >= CONFIG_ID_MAX_BYTES)
		return reject(problem, ERR_BAD_FIELD,
			      "header 'X-Kind' must be at most 63 bytes");
	return 0;
}

/** Parses and checks the request before it is submitted. */
static int prepare(relay_job_t *job, chat_problem_t *problem)
{
	const relay_request_t *request = job->request;
	const server_request_t *client_request = request->client_request;
	const char *kind = server_header(client_request, "X-Kind");
	const char *resume = server_header(client_request, "Last-Event-ID");
	int err = check_headers(job, problem);

	if (!err)
		err = chat_parse(request->kind, client_request->body,
				 client_request->body_len, &job->chat, problem);
	if (!err)
		err = relay_plan(job->relay, request->config, request->customer,
				 kind ? kind : "", &job->chat, &job->plan,
				 problem);
	if (err)
		return err;
	job->output.is_stream = job->chat.stream;
	fill_routing(&job->plan, &job->routing);
	job->deadline_ms = compute_deadline(job);
	if (resume && *resume)
		return begin_resume(job, resume, problem);
	if (job->chat.resume_text)
		return reject(problem, ERR_BAD_FIELD,
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
	if (!job->output.is_resumed) {
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
		server_answer_error(request->client_request, &no_memory);
		return;
	}
	job->relay = relay;
	job->request = request;
	job->started_ms = clock_now_ms();
	cancel_init(&job->cancel);
	relay_output_init(&job->output);
	job->output.client_request = request->client_request;
	job->output.key = &relay->key;
	job->output.kind = request->kind;
	number = register_job(relay, job);
	serve(job, number);
	unregister_job(relay, job);
	relay_output_free(&job->output);
	chat_free(&job->chat);
	cancel_destroy(&job->cancel);
}

/* Explaining a routing decision. */

static json_t *explain_candidate(relay_t *relay, int pool,
				 const routing_candidate_t *candidate)
{
	char id[FLEET_ID_MAX_BYTES];

	fleet_endpoint_name(relay->fleet, pool, candidate->endpoint, id);
	return json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I}", "endpoint", id,
			 "state", endpoint_state_name(candidate->state),
			 "cached_tokens", (json_int_t)candidate->cached_tokens,
			 "believed_tokens",
			 (json_int_t)candidate->indexed_tokens, "wait_ms",
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

json_t *relay_explain(relay_t *relay, const relay_explain_request_t *request,
		      server_error_t *error, chat_problem_t *problem)
{
	json_t *explanation = NULL;
	chat_request_t chat;
	relay_plan_t *plan;

	error->err = chat_parse(request->kind, request->body, request->body_len,
				&chat, problem);
	if (error->err)
		return NULL;
	error->err = ERR_NO_MEMORY;
	plan = calloc(1, sizeof(*plan));
	if (plan)
		error->err =
			relay_plan(relay, request->config, request->customer,
				   request->kind_name, &chat, plan, problem);
	if (!error->err)
		explanation = explain_chat(relay, plan, error);
	free(plan);
	chat_free(&chat);
	return explanation;
}
