/**
 * @file
 * State of one model request, shared by relay.c, which admits the request and
 * chooses engines, and relay_attempt.c, which runs one attempt.
 */
#ifndef REQUEST_RELAY_JOB_H
#define REQUEST_RELAY_JOB_H

#include "request/attempt.h"
#include "request/relay.h"
#include "request/relay_output.h"

enum {
	/** Cancel reason of a stream preempted by an urgent request. */
	RELAY_PREEMPTED = ERR_OVERLOADED,
	/** Longest engine header value stored, with its NUL, bytes. */
	RELAY_HEADER_MAX_BYTES = 64,
};

/** One model request in progress. */
typedef struct relay_job {
	relay_t *relay;
	const relay_request_t *request;
	chat_request_t chat;
	relay_plan_t plan;
	relay_output_t output;
	attempt_t attempt;
	fleet_request_t admission;
	cancel_t cancel;
	routing_request_t routing;
	fleet_choice_t choice;
	uint64_t started_ms;
	uint64_t deadline_ms; /**< Monotonic; 0: none. */
	bool token_received;  /**< A token was received in any attempt. */
	bool submitted;	      /**< `admission` was submitted to the fleet. */
	crash_guard_run_t guard_run;
	uint64_t crash_id; /**< Crash that ended the attempt; 0: none. */
	/** Time until a quarantine ends; for ERR_QUARANTINED. */
	uint32_t retry_after_ms;
	/* State of the attempt in progress. */
	upstream_call_t call;
	sse_parser_t parser;
	bool is_replay;	 /**< An engine replays an existing stream. */
	uint16_t status; /**< HTTP status; 0 before the answer. */
	bool is_leaving; /**< `X-Leaving: 1`: the engine shuts down. */
	bool is_not_run; /**< `X-Not-Run: 1`: it did not run the request. */
	size_t error_body_bytes; /**< Received, if `status` is not 200. */
	char attempt_id[ATTEMPT_ID_MAX_BYTES];
	char stream_id[RELAY_HEADER_MAX_BYTES];
	char incarnation[RELAY_HEADER_MAX_BYTES];
	char weights_version[RELAY_HEADER_MAX_BYTES];
	struct relay_job *next;
} relay_job_t;

/** Sends the request to the chosen engine and relays until it ends. */
attempt_end_t relay_run_attempt(relay_job_t *job);

/**
 * Asks the engine in `job->choice.target` to replay the stream named by
 * `job->output.token` from the current position.
 */
attempt_end_t relay_run_replay(relay_job_t *job);

#endif
