#include "request/relay_job.h"

#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** Longest path of a replay request with its NUL, bytes. */
	PATH_MAX_BYTES = 256,
	/** Timeouts of cancels and probes, which block the server thread. */
	CANCEL_CONNECT_MS = 200,
	CANCEL_TOTAL_MS = 1000,
	/** Longest accepted body of an error answer, bytes. */
	ERROR_BODY_MAX_BYTES = 64 * 1024,
	/** Longest accepted load report, bytes. */
	PROBE_MAX_BYTES = 4096,
};

/** X-Priority of each urgency class; lower is more urgent. */
static const int engine_priorities[URGENCY_COUNT] = { 0, 4, 8 };

static metric_histogram_t ttft_histogram(urgency_class_t urgency)
{
	switch (urgency) {
	case URGENCY_URGENT:
		return METRIC_TTFT_URGENT;
	case URGENCY_NORMAL:
		return METRIC_TTFT_NORMAL;
	case URGENCY_DEFERRABLE:
	case URGENCY_COUNT:
		break;
	}
	return METRIC_TTFT_DEFERRABLE;
}

static void on_prefill(void *context, const relay_prefill_t *prefill)
{
	relay_job_t *job = context;

	if (job->is_replay)
		return;
	fleet_first_token(job->relay->fleet, job->plan.fleet_pool, &job->choice,
			  &job->routing, prefill->cached_tokens,
			  prefill->queue_ms, clock_now_ms());
	metrics_add(METRIC_PROMPT_TOKENS, prefill->prompt_tokens);
	metrics_add(METRIC_CACHED_TOKENS, prefill->cached_tokens);
}

static void on_token(void *context)
{
	relay_job_t *job = context;

	/* The deadline of a stream covers its first token only. */
	if (job->output.is_stream)
		job->call.deadline_ms = 0;
	if (!job->token_received)
		metrics_observe_ms(ttft_histogram(job->plan.urgency),
				   clock_now_ms() - job->started_ms);
	job->token_received = true;
}

static bool copy_header(const http_head_t *head, const char *name,
			char value[RELAY_HEADER_MAX_BYTES])
{
	const char *text = http_head_find(head, name);

	value[0] = '\0';
	if (!text || strlen(text) >= RELAY_HEADER_MAX_BYTES)
		return false;
	snprintf(value, RELAY_HEADER_MAX_BYTES, "%s", text);
	return *value != '\0';
}

/** Incarnation as a number; the hash of a value that is not a number. */
static uint64_t incarnation_number(const char *text)
{
	char *end;
	uint64_t number = strtoull(text, &end, 10);

	return *end || !number ? hash_string(text) | 1 : number;
}

/** In a replay the engine echoes the attempt that started the stream. */
static bool is_answer_to_attempt(const relay_job_t *job, const char *echo)
{
	if (!job->is_replay)
		return attempt_matches(&job->attempt, echo);
	return echo && !strcmp(echo, job->attempt_id);
}

static void set_stream_identity(relay_job_t *job)
{
	resume_token_t *token = &job->output.token;

	snprintf(token->request_id, sizeof(token->request_id), "%s",
		 job->attempt_id);
	snprintf(token->endpoint, sizeof(token->endpoint), "%s",
		 job->choice.target.id);
	snprintf(token->incarnation, sizeof(token->incarnation), "%s",
		 job->incarnation);
	snprintf(token->stream_id, sizeof(token->stream_id), "%s",
		 job->stream_id);
}

static int on_stream_head(relay_job_t *job, const http_head_t *head)
{
	if (!is_answer_to_attempt(job, http_head_find(head, "X-Attempt"))) {
		event_log(EVENT_ATTEMPT_MISMATCH, "endpoint=%s attempt=%s",
			  job->choice.target.id, job->attempt_id);
		return ERR_ATTEMPT_MISMATCH;
	}
	if (!copy_header(head, "X-Stream-Id", job->stream_id) ||
	    !copy_header(head, "X-Engine-Incarnation", job->incarnation))
		return ERR_ENDPOINT_ANSWER;
	copy_header(head, "X-Weights-Version", job->weights_version);
	/* Stream ids are unique within one incarnation only. */
	if (job->is_replay &&
	    strcmp(job->incarnation, job->output.token.incarnation) != 0)
		return ERR_ENDPOINT_ANSWER;
	fleet_set_identity(job->relay->fleet, &job->choice,
			   incarnation_number(job->incarnation),
			   *job->weights_version ? job->weights_version : NULL,
			   clock_now_ms());
	if (!job->is_replay)
		set_stream_identity(job);
	return 0;
}

static int on_head(void *context, const http_head_t *head)
{
	relay_job_t *job = context;
	const char *leaving = http_head_find(head, "X-Leaving");
	const char *not_run = http_head_find(head, "X-Not-Run");

	job->status = head->status;
	job->is_leaving = leaving && !strcmp(leaving, "1");
	job->is_not_run = not_run && !strcmp(not_run, "1");
	return head->status == 200 ? on_stream_head(job, head) : 0;
}

static int on_body(void *context, const char *bytes, size_t len)
{
	relay_job_t *job = context;

	if (job->status == 200)
		return sse_parser_feed(&job->parser, bytes, len);
	job->error_body_bytes += len;
	return job->error_body_bytes > ERROR_BODY_MAX_BYTES
		       ? ERR_ENDPOINT_ANSWER
		       : 0;
}

static int write_headers(relay_job_t *job, byte_buffer_t *headers)
{
	const relay_request_t *request = job->request;
	const config_customer_t *customer =
		&request->config->customers[request->customer];
	uint64_t now_ms = clock_now_ms();
	int err = byte_buffer_print(headers,
				    "Content-Type: application/json\r\n"
				    "X-Attempt: %s\r\nX-Priority: %d\r\n"
				    "X-Cache-Salt: %s\r\n",
				    job->attempt_id,
				    engine_priorities[job->plan.urgency],
				    customer->salt);

	if (!err && job->call.deadline_ms > now_ms)
		err = byte_buffer_print(headers,
					"X-Deadline-Ms: %" PRIu64 "\r\n",
					job->call.deadline_ms - now_ms);
	if (!err && job->output.position)
		err = byte_buffer_print(headers,
					"X-Resume-From: %" PRIu64 "\r\n",
					job->output.position);
	return err;
}

static void fill_call(relay_job_t *job)
{
	const relay_settings_t *settings = &job->relay->settings;
	const fleet_target_t *target = &job->choice.target;
	bool with_deadline = !job->output.is_stream || !job->token_received;

	job->call = (upstream_call_t){
		.address = target->address,
		.port = target->port,
		.tls = target->tls,
		.connect_timeout_ms = settings->connect_timeout_ms,
		.first_byte_timeout_ms = settings->first_byte_timeout_ms,
		.idle_timeout_ms = settings->idle_timeout_ms,
		.deadline_ms = with_deadline ? job->deadline_ms : 0,
		.client_gone = &job->request->client_request->client_gone,
		.cancel = &job->cancel,
		.on_head = on_head,
		.on_body = on_body,
		.context = job,
	};
	job->status = 0;
	job->is_leaving = false;
	job->is_not_run = false;
	job->error_body_bytes = 0;
	job->stream_id[0] = '\0';
	job->output.on_prefill = on_prefill;
	job->output.on_token = on_token;
	job->output.context = job;
	relay_output_start_attempt(&job->output);
}

static attempt_end_kind_t end_kind_of_status(const relay_job_t *job)
{
	if (job->status == 200)
		return ATTEMPT_END_BAD_ANSWER; /* Ended without [DONE]. */
	if (!job->is_not_run && !(job->is_leaving && job->status == 503))
		return ATTEMPT_END_BAD_ANSWER;
	return job->status == 400 || job->status == 422 ? ATTEMPT_END_REJECTED
							: ATTEMPT_END_REFUSED;
}

static attempt_end_kind_t attempt_end_kind_of(const relay_job_t *job,
					      const upstream_result_t *result)
{
	if (job->output.done_received)
		return ATTEMPT_END_COMPLETE;
	if (job->output.client_err)
		return ATTEMPT_END_STOPPED;
	switch (result->err) {
	case 0:
		return end_kind_of_status(job);
	case RELAY_PREEMPTED:
		return ATTEMPT_END_PREEMPTED;
	case ERR_CANCELLED:
	case ERR_STOPPING:
	case ERR_DEADLINE:
	case ERR_NO_MEMORY:
	case ERR_LIMIT:
		return ATTEMPT_END_STOPPED;
	case ERR_CONNECT:
		return ATTEMPT_END_NOT_SENT;
	case ERR_ENDPOINT_LOST:
		return ATTEMPT_END_ENGINE_LOST;
	case ERR_TIMEOUT:
		return result->sent ? ATTEMPT_END_TIMEOUT
				    : ATTEMPT_END_NOT_SENT;
	case ERR_ATTEMPT_MISMATCH:
		return ATTEMPT_END_MISMATCH;
	default:
		return ATTEMPT_END_BAD_ANSWER;
	}
}

static endpoint_outcome_t endpoint_outcome(const relay_job_t *job,
					   attempt_end_kind_t kind)
{
	switch (kind) {
	case ATTEMPT_END_COMPLETE:
		return ENDPOINT_DONE;
	case ATTEMPT_END_STOPPED:
	case ATTEMPT_END_PREEMPTED:
	case ATTEMPT_END_REJECTED:
	case ATTEMPT_END_NO_ENDPOINT:
		return ENDPOINT_CANCELLED;
	case ATTEMPT_END_REFUSED:
		/* A refusal by a busy engine is no failure: its load report
		 * already shows that it is busy. */
		return job->is_leaving ? ENDPOINT_REFUSED : ENDPOINT_CANCELLED;
	case ATTEMPT_END_ENGINE_LOST:
		return ENDPOINT_LOST;
	case ATTEMPT_END_CONNECTION_LOST:
	case ATTEMPT_END_NOT_SENT:
	case ATTEMPT_END_TIMEOUT:
	case ATTEMPT_END_BAD_ANSWER:
	case ATTEMPT_END_MISMATCH:
		break;
	}
	return ENDPOINT_FAILED;
}

/** Whether the engine may still run a stream that has ended here. */
static bool may_still_run(const relay_job_t *job, attempt_end_kind_t kind)
{
	/* After a mismatch the id may be that of another request's stream. */
	return *job->stream_id &&
	       (kind == ATTEMPT_END_STOPPED || kind == ATTEMPT_END_PREEMPTED ||
		kind == ATTEMPT_END_TIMEOUT || kind == ATTEMPT_END_BAD_ANSWER);
}

/** Cancels the stream, which the engine would otherwise continue for a while.
 */
static void cancel_stream(const relay_job_t *job)
{
	CLEANUP_JSON json_t *value =
		json_pack("{s:s}", "stream_id", job->stream_id);
	CLEANUP_FREE char *body = value ? json_dumps(value, 0) : NULL;
	upstream_call_t call = {
		.address = job->call.address,
		.port = job->call.port,
		.tls = job->call.tls,
		.method = "POST",
		.path = "/engine/cancel",
		.body = body,
		.body_bytes = body ? strlen(body) : 0,
		.connect_timeout_ms = CANCEL_CONNECT_MS,
		.deadline_ms = clock_now_ms() + CANCEL_TOTAL_MS,
	};
	upstream_result_t result = { 0 };

	if (body)
		upstream_run(job->relay->pool, &call, &result);
}

/** Load report of a probe. */
typedef struct load_probe {
	char text[PROBE_MAX_BYTES];
	size_t len;
} load_probe_t;

static int on_probe_body(void *context, const char *bytes, size_t len)
{
	load_probe_t *probe = context;

	if (probe->len + len > sizeof(probe->text))
		return ERR_ENDPOINT_ANSWER;
	memcpy(probe->text + probe->len, bytes, len);
	probe->len += len;
	return 0;
}

static uint64_t probed_incarnation(const load_probe_t *probe)
{
	CLEANUP_JSON json_t *report =
		json_loadb(probe->text, probe->len, 0, NULL);

	return (uint64_t)json_integer_value(
		json_object_get(report, "incarnation"));
}

/**
 * Probes an engine to distinguish its death or restart from the loss of a
 * connection. Only the former makes its requests suspects.
 */
static bool is_engine_dead(const relay_job_t *job, uint64_t incarnation)
{
	load_probe_t probe = { .len = 0 };
	upstream_result_t result = { 0 };
	upstream_call_t call = {
		.address = job->call.address,
		.port = job->call.port,
		.tls = job->call.tls,
		.method = "GET",
		.path = "/engine/load",
		.connect_timeout_ms = CANCEL_CONNECT_MS,
		.deadline_ms = clock_now_ms() + CANCEL_TOTAL_MS,
		.fresh_connection = true,
		.on_body = on_probe_body,
		.context = &probe,
	};

	upstream_run(job->relay->pool, &call, &result);
	if (result.err)
		return result.err == ERR_CONNECT ||
		       result.err == ERR_ENDPOINT_LOST;
	return incarnation && probed_incarnation(&probe) != incarnation;
}

/** Determines whether a lost connection means a crash, and its crash id. */
static attempt_end_kind_t classify_lost_connection(relay_job_t *job)
{
	uint64_t incarnation =
		*job->stream_id ? incarnation_number(job->incarnation)
				: fleet_get_incarnation(job->relay->fleet,
							&job->choice);

	if (!is_engine_dead(job, incarnation))
		return ATTEMPT_END_CONNECTION_LOST;
	job->crash_id =
		crash_guard_crash_id(job->choice.target.id_hash, incarnation);
	return ATTEMPT_END_ENGINE_LOST;
}

static attempt_end_t end_attempt(relay_job_t *job,
				 const upstream_result_t *result)
{
	attempt_end_kind_t kind = attempt_end_kind_of(job, result);

	if (kind == ATTEMPT_END_ENGINE_LOST)
		kind = classify_lost_connection(job);
	if (kind != ATTEMPT_END_COMPLETE)
		event_log(EVENT_ATTEMPT_ENDED,
			  "attempt=%s endpoint=%s kind=%d error=%s status=%u "
			  "position=%" PRIu64,
			  job->attempt_id, job->choice.target.id, (int)kind,
			  error_type(result->err), job->status,
			  job->output.position);
	if (may_still_run(job, kind))
		cancel_stream(job);
	return (attempt_end_t){
		.kind = kind,
		.endpoint = result->sent || kind != ATTEMPT_END_STOPPED
				    ? job->choice.target.id_hash
				    : 0,
		.position = job->output.position,
		.can_resume = job->output.text_known,
		.err = job->output.client_err ? job->output.client_err
					      : result->err,
	};
}

attempt_end_t relay_run_attempt(relay_job_t *job)
{
	__attribute__((cleanup(byte_buffer_free)))
	byte_buffer_t headers = { 0 };
	CLEANUP_FREE char *body = NULL;
	upstream_result_t result = { .err = ERR_NO_MEMORY };
	relay_output_t *output = &job->output;
	attempt_end_t end;

	attempt_start(&job->attempt, job->attempt_id);
	job->is_replay = false;
	fill_call(job);
	body = chat_engine_body(&job->chat,
				output->position ? output->text.bytes : NULL,
				output->text.len);
	job->call.method = "POST";
	job->call.path = chat_path(job->chat.kind);
	job->call.body = body;
	job->call.body_bytes = body ? strlen(body) : 0;
	sse_parser_init(&job->parser, RELAY_EVENT_MAX_BYTES,
			RELAY_EVENT_MAX_BYTES, relay_output_on_event, output);
	if (body && !write_headers(job, &headers)) {
		job->call.headers = headers.bytes;
		upstream_run(job->relay->pool, &job->call, &result);
	}
	sse_parser_free(&job->parser);
	end = end_attempt(job, &result);
	fleet_ended(job->relay->fleet, &job->choice, &job->routing,
		    endpoint_outcome(job, end.kind), clock_now_ms());
	return end;
}

/** A replay that did not start does not count against the engine. */
static void adjust_replay_end(const relay_job_t *job, attempt_end_t *end)
{
	bool started = job->status == 200 && job->output.prefill_received;

	if (started || end->kind == ATTEMPT_END_STOPPED ||
	    end->kind == ATTEMPT_END_PREEMPTED)
		return;
	end->kind = ATTEMPT_END_REFUSED;
	end->endpoint = 0;
}

attempt_end_t relay_run_replay(relay_job_t *job)
{
	upstream_result_t result = { .err = ERR_NO_MEMORY };
	const resume_token_t *token = &job->output.token;
	CLEANUP_FREE char *id = NULL;
	char path[PATH_MAX_BYTES];
	attempt_end_t end;

	job->is_replay = true;
	snprintf(job->attempt_id, sizeof(job->attempt_id), "%s",
		 token->request_id);
	fill_call(job);
	id = evhttp_encode_uri(token->stream_id);
	snprintf(path, sizeof(path), "/engine/stream?id=%s&from=%" PRIu64,
		 id ? id : "", job->output.position);
	job->call.method = "GET";
	job->call.path = path;
	sse_parser_init(&job->parser, RELAY_EVENT_MAX_BYTES,
			RELAY_EVENT_MAX_BYTES, relay_output_on_event,
			&job->output);
	fleet_sent(job->relay->fleet, &job->choice.target, clock_now_ms(),
		   &job->choice);
	if (job->choice.slot >= 0)
		upstream_run(job->relay->pool, &job->call, &result);
	sse_parser_free(&job->parser);
	end = end_attempt(job, &result);
	fleet_ended(job->relay->fleet, &job->choice, NULL,
		    endpoint_outcome(job, end.kind), clock_now_ms());
	adjust_replay_end(job, &end);
	return end;
}
