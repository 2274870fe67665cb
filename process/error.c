#include "process/error.h"

#define NOT_RUN RUN_STATE_NOT_RUN
#define UNKNOWN RUN_STATE_UNKNOWN

/** Indexed by the negated error number. */
static const error_answer_t answers[ERR_KIND_COUNT] = {
	{ "ok", "success", 200, RETRY_NEVER, RUN_STATE_RAN, 0 },
	{ "bad_json", "the body is not valid JSON", 400, RETRY_NEVER, NOT_RUN,
	  0 },
	{ "bad_utf8", "the body is not valid UTF-8", 400, RETRY_NEVER, NOT_RUN,
	  0 },
	{ "bad_field", "a field is missing or invalid", 400, RETRY_NEVER,
	  NOT_RUN, 0 },
	{ "body_too_large", "the body exceeds the size limit", 413, RETRY_NEVER,
	  NOT_RUN, 0 },
	{ "header_too_large", "a header exceeds the size limit", 431,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "body_incomplete", "the body ended before its stated length", 400,
	  RETRY_NOW, NOT_RUN, 0 },
	{ "method_not_allowed", "the method is not allowed here", 405,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "not_found", "no such resource", 404, RETRY_NEVER, NOT_RUN, 0 },
	{ "unauthenticated", "the API key is missing or unknown", 401,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "forbidden", "the customer has no access to this", 403, RETRY_NEVER,
	  NOT_RUN, 0 },
	{ "unknown_model", "the model does not exist for this customer", 404,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "unknown_route", "the route does not exist for this customer", 404,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "rate_limited", "the customer's request rate is exhausted", 429,
	  RETRY_LATER, NOT_RUN, 1000 },
	{ "concurrency_limited", "the customer has too many open requests", 429,
	  RETRY_LATER, NOT_RUN, 500 },
	{ "overloaded", "no capacity for this urgency class", 503, RETRY_LATER,
	  NOT_RUN, 2000 },
	{ "deadline", "the deadline cannot be met", 504, RETRY_NEVER, NOT_RUN,
	  0 },
	{ "not_ready", "the instance has no configuration yet", 503,
	  RETRY_LATER, NOT_RUN, 1000 },
	{ "stopping", "the instance is stopping", 503, RETRY_NOW, NOT_RUN, 0 },
	{ "quarantined", "this request has crashed engines before", 422,
	  RETRY_LATER, NOT_RUN, 600000 },
	{ "no_endpoint", "no eligible endpoint is available", 503, RETRY_LATER,
	  NOT_RUN, 1000 },
	{ "connect", "the endpoint refused the connection", 502, RETRY_LATER,
	  NOT_RUN, 200 },
	{ "endpoint_leaving", "the endpoint takes no new work", 503, RETRY_NOW,
	  NOT_RUN, 0 },
	{ "endpoint_lost", "the connection to the endpoint was lost", 502,
	  RETRY_NOW, UNKNOWN, 0 },
	{ "endpoint_answer", "the endpoint gave an invalid answer", 502,
	  RETRY_NOW, UNKNOWN, 0 },
	{ "attempt_mismatch", "the endpoint answered another request", 502,
	  RETRY_NOW, UNKNOWN, 0 },
	{ "resume_token", "the resume token is invalid or expired", 400,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "stream_gone", "the stream can no longer be resumed", 410,
	  RETRY_NEVER, UNKNOWN, 0 },
	{ "slow_reader", "the caller read too slowly", 408, RETRY_NOW, UNKNOWN,
	  0 },
	{ "cancelled", "the request was cancelled", 499, RETRY_NEVER, UNKNOWN,
	  0 },
	{ "timeout", "the endpoint did not answer in time", 504, RETRY_NOW,
	  UNKNOWN, 0 },
	{ "key_missing", "a non-idempotent request needs an Idempotency-Key",
	  400, RETRY_NEVER, NOT_RUN, 0 },
	{ "key_reused", "the idempotency key was used with another body", 422,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "order_in_progress", "a request with this key is still running", 409,
	  RETRY_SAME_KEY, UNKNOWN, 500 },
	{ "order_unknown", "whether the request ran is not known", 502,
	  RETRY_NEVER, UNKNOWN, 0 },
	{ "order_not_run", "the request was not run", 503, RETRY_NOW, NOT_RUN,
	  0 },
	{ "store_down", "the object API is not available", 503, RETRY_LATER,
	  NOT_RUN, 2000 },
	{ "store_unknown", "the object API's answer was lost", 503, RETRY_LATER,
	  UNKNOWN, 1000 },
	{ "store_condition", "the object was changed by another writer", 409,
	  RETRY_NOW, NOT_RUN, 0 },
	{ "store_budget", "the budget for object API calls is used up", 503,
	  RETRY_LATER, NOT_RUN, 1000 },
	{ "store_gone", "the watch history no longer reaches back", 410,
	  RETRY_NOW, NOT_RUN, 0 },
	{ "ticket_invalid", "the ticket failed validation", 422, RETRY_NEVER,
	  NOT_RUN, 0 },
	{ "ticket_stale", "a higher ticket was accepted for an object", 409,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "ticket_conflict", "the ticket number exists with other content", 409,
	  RETRY_NEVER, NOT_RUN, 0 },
	{ "lease_lost", "the lease is held by another instance", 409,
	  RETRY_LATER, NOT_RUN, 1000 },
	{ "fenced", "the fencing number is too old", 409, RETRY_NEVER, NOT_RUN,
	  0 },
	{ "peer_auth", "the peer's message is not authentic", 403, RETRY_NEVER,
	  NOT_RUN, 0 },
	{ "peer_replay", "the peer's message was seen before", 403, RETRY_NEVER,
	  NOT_RUN, 0 },
	{ "setting", "a setting is invalid", 500, RETRY_NEVER, NOT_RUN, 0 },
	{ "limit", "a fixed limit of the program was reached", 503, RETRY_LATER,
	  NOT_RUN, 1000 },
	{ "no_memory", "out of memory", 503, RETRY_LATER, NOT_RUN, 1000 },
	{ "internal", "internal error", 500, RETRY_NOW, UNKNOWN, 0 },
	{ "crash_blocked",
	  "this request, or a part of its prompt, has crashed endpoints", 503,
	  RETRY_LATER, NOT_RUN, 10000 },
	{ "peer_session", "the peer's message lacks the valid challenge", 403,
	  RETRY_NOW, NOT_RUN, 0 },
	{ "stream_unknown",
	  "the software version at which the stream began is not known", 503,
	  RETRY_LATER, NOT_RUN, 1000 },
};

const error_answer_t *error_answer(int err)
{
	if (err > 0 || err <= -ERR_KIND_COUNT)
		err = ERR_INTERNAL;
	return &answers[-err];
}

const char *error_type(int err)
{
	return error_answer(err)->type;
}

const char *run_state_name(run_state_t state)
{
	switch (state) {
	case RUN_STATE_NOT_RUN:
		return "not_run";
	case RUN_STATE_UNKNOWN:
		return "unknown";
	case RUN_STATE_RAN:
		return "ran";
	}
	return "unknown";
}
