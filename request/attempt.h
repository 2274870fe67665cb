/**
 * @file
 * Retry policy of a model request: decides what follows the end of an attempt.
 * Pure logic: no I/O, clock or locks.
 *
 * A retry sends the request again from the start; a resume continues after the
 * tokens that the client already has. A resume is not charged to the retry
 * budget: it replaces lost work instead of adding load, and refusing it would
 * truncate the stream. If an engine dies while it runs the request, the request
 * is suspected of crashing engines: its later attempts run isolated, on an
 * engine without other work. After ATTEMPT_LOSSES_MAX lost engines the request
 * fails, which limits the number of engines that one request can crash.
 */
#ifndef REQUEST_ATTEMPT_H
#define REQUEST_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/error.h"

enum {
	ATTEMPT_REQUEST_ID_MAX_BYTES = 48,
	/** `<request id>.<attempt>` with its NUL, bytes. */
	ATTEMPT_ID_MAX_BYTES = 64,
	/** Maximum number of engines excluded for one request. */
	ATTEMPT_EXCLUDED_MAX = 8,
	/** Lost engines after which a request fails. */
	ATTEMPT_LOSSES_MAX = 2,
};

/** How an attempt ended. */
typedef enum attempt_end_kind {
	ATTEMPT_END_COMPLETE,	 /**< The complete answer was relayed. */
	ATTEMPT_END_NO_ENDPOINT, /**< No usable endpoint. */
	ATTEMPT_END_NOT_SENT,	 /**< No connection; nothing was sent. */
	ATTEMPT_END_REFUSED,	 /**< Not run; the engine refused it. */
	ATTEMPT_END_REJECTED,	 /**< The engine found the request invalid. */
	ATTEMPT_END_ENGINE_LOST, /**< The engine died after the request was
				    sent. */
	ATTEMPT_END_CONNECTION_LOST, /**< Connection lost; the engine is still
					up. */
	ATTEMPT_END_TIMEOUT,	     /**< No data within the timeout. */
	ATTEMPT_END_BAD_ANSWER,	     /**< The answer violates the protocol. */
	ATTEMPT_END_MISMATCH,  /**< The answer belongs to another attempt. */
	ATTEMPT_END_PREEMPTED, /**< Cancelled for an urgent request. */
	ATTEMPT_END_STOPPED,   /**< Cancelled or failed here; see `err`. */
} attempt_end_kind_t;

/** Result of an attempt. */
typedef struct attempt_end {
	attempt_end_kind_t kind;
	uint64_t endpoint; /**< id_hash; 0 if none was chosen. */
	/** Tokens relayed to the client in all attempts. */
	uint64_t position;
	/** The text of these tokens is known, which a resume requires. */
	bool can_resume;
	int err; /**< Error kind for ATTEMPT_END_STOPPED. */
} attempt_end_t;

typedef enum attempt_action_kind {
	ATTEMPT_FINISH,	 /**< The answer is complete. */
	ATTEMPT_RETRY,	 /**< Send again from the start. */
	ATTEMPT_RESUME,	 /**< Continue after `position` tokens. */
	ATTEMPT_REQUEUE, /**< Wait for admission again, then retry or
			   resume. */
	ATTEMPT_GIVE_UP, /**< Send an error to the client. */
} attempt_action_kind_t;

/** What to do next. */
typedef struct attempt_action {
	attempt_action_kind_t kind;
	union {
		struct {
			/** Only if the retry budget allows it. */
			bool needs_budget;
		} retry;
		struct {
			int err;
			run_state_t run_state;
		} give_up;
	};
} attempt_action_t;

/** State of one request across its attempts. */
typedef struct attempt {
	char request_id[ATTEMPT_REQUEST_ID_MAX_BYTES];
	uint32_t number;   /**< Number of the attempt in progress, from 1. */
	uint32_t failures; /**< Failed attempts; limited by `attempts_max`. */
	uint32_t attempts_max;
	uint32_t losses;   /**< Engines that died during an attempt. */
	bool must_isolate; /**< The next attempt must run isolated. */
	bool may_have_run; /**< An engine may have run the request. */
	/** id_hash of the engines that failed this request. */
	uint64_t excluded[ATTEMPT_EXCLUDED_MAX];
	size_t excluded_count;
} attempt_t;

/** @param attempts_max at least 1 */
void attempt_init(attempt_t *attempt, const char *request_id,
		  uint32_t attempts_max);

/** Starts the next attempt and returns its id in `id`. */
void attempt_start(attempt_t *attempt, char id[ATTEMPT_ID_MAX_BYTES]);

/**
 * Whether the attempt id echoed by an engine is that of the attempt in
 * progress; `echo` may be NULL.
 */
bool attempt_matches(const attempt_t *attempt, const char *echo);

/** Records the end of an attempt and decides what to do next. */
attempt_action_t attempt_ended(attempt_t *attempt, const attempt_end_t *end);

/** Returns the action for a retry that the budget refused with `err`. */
attempt_action_t attempt_budget_refused(const attempt_t *attempt, int err);

#endif
