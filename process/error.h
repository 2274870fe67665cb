/**
 * @file
 * All error kinds and the HTTP response that each one maps to.
 *
 * Functions return 0 (or a count) on success and one of these negative
 * numbers on failure.
 */
#ifndef PROCESS_ERROR_H
#define PROCESS_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/** Error kinds; functions report no other error numbers. */
typedef enum err {
	ERR_OK = 0,
	/* The request itself is wrong. */
	ERR_BAD_JSON = -1,
	ERR_BAD_UTF8 = -2,
	ERR_BAD_FIELD = -3,
	ERR_BODY_TOO_LARGE = -4,
	ERR_HEADER_TOO_LARGE = -5,
	ERR_BODY_INCOMPLETE = -6,
	ERR_METHOD_NOT_ALLOWED = -7,
	ERR_NOT_FOUND = -8,
	/* The customer may not do this. */
	ERR_UNAUTHENTICATED = -9,
	ERR_FORBIDDEN = -10,
	ERR_UNKNOWN_MODEL = -11,
	ERR_UNKNOWN_ROUTE = -12,
	/* Admission and limits. */
	ERR_RATE_LIMITED = -13,
	ERR_CONCURRENCY_LIMITED = -14,
	ERR_OVERLOADED = -15,
	ERR_DEADLINE = -16,
	ERR_NOT_READY = -17,
	ERR_STOPPING = -18,
	ERR_QUARANTINED = -19,
	/* Endpoints and streams. */
	ERR_NO_ENDPOINT = -20,
	ERR_CONNECT = -21,
	ERR_ENDPOINT_LEAVING = -22,
	ERR_ENDPOINT_LOST = -23,
	ERR_ENDPOINT_ANSWER = -24,
	ERR_ATTEMPT_MISMATCH = -25,
	ERR_RESUME_TOKEN = -26,
	ERR_STREAM_GONE = -27,
	ERR_SLOW_READER = -28,
	ERR_CANCELLED = -29,
	ERR_TIMEOUT = -30,
	/* Non-idempotent requests. */
	ERR_KEY_MISSING = -31,
	ERR_KEY_REUSED = -32,
	ERR_ORDER_IN_PROGRESS = -33,
	ERR_ORDER_UNKNOWN = -34,
	ERR_ORDER_NOT_RUN = -35,
	/* Object API of the store. */
	ERR_STORE_DOWN = -36,
	ERR_STORE_UNKNOWN = -37,
	ERR_STORE_CONDITION = -38,
	ERR_STORE_BUDGET = -39,
	ERR_STORE_GONE = -40,
	/* Tickets, leases, peers. */
	ERR_TICKET_INVALID = -41,
	ERR_TICKET_STALE = -42,
	ERR_TICKET_CONFLICT = -43,
	ERR_LEASE_LOST = -44,
	ERR_FENCED = -45,
	ERR_PEER_AUTH = -46,
	ERR_PEER_REPLAY = -47,
	/* The process itself. */
	ERR_SETTING = -48,
	ERR_LIMIT = -49,
	ERR_NO_MEMORY = -50,
	ERR_INTERNAL = -51,
	/* Requests that crash endpoints. */
	ERR_CRASH_BLOCKED = -52,
	ERR_PEER_SESSION = -53,
	ERR_STREAM_UNKNOWN = -54,
	/** Number of kinds including ERR_OK; keep last. */
	ERR_KIND_COUNT = 55,
} err_t;

/** What is known about the execution of a request that failed. */
typedef enum run_state {
	RUN_STATE_NOT_RUN,
	RUN_STATE_UNKNOWN,
	RUN_STATE_RAN,
} run_state_t;

/** When the client may send the request again. */
typedef enum retry_advice {
	RETRY_NEVER,	/**< The same request fails again. */
	RETRY_LATER,	/**< After `retry_after_ms`. */
	RETRY_NOW,	/**< Immediately, to this or another instance. */
	RETRY_SAME_KEY, /**< Only with the same idempotency key. */
} retry_advice_t;

/** The answer that a client gets for an error kind. */
typedef struct error_answer {
	const char *type; /**< Stable name used in JSON and metrics. */
	const char *text; /**< Default message. */
	uint16_t http_status;
	retry_advice_t advice;
	run_state_t run_state;
	uint32_t retry_after_ms; /**< Default delay; 0 for no Retry-After. */
} error_answer_t;

/**
 * Answer for an error kind.
 * @param err any value; unknown ones are mapped to ERR_INTERNAL
 */
const error_answer_t *error_answer(int err);

/** Stable name of an error kind, as used in logs. */
const char *error_type(int err);

/** Name of a run state, as sent to clients. */
const char *run_state_name(run_state_t state);

#endif
