/**
 * @file
 * Decision module: what to do after an attempt of a model request has ended.
 *
 * A retry sends the request again from the start, a resume continues after the
 * tokens that the caller already has. A resume is not charged to the retry
 * budget: it replaces work that was lost and does not add any, and refusing it
 * would cut a stream. A loss in the middle makes the request a suspect: its
 * later attempts run isolated, and after ATTEMPT_LOSSES_MAX losses it is given
 * up, so one request never takes more engines with it.
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
	/** Engines that one request may be excluded from. */
	ATTEMPT_EXCLUDED_MAX = 8,
	/** Engines that may be lost to one request. */
	ATTEMPT_LOSSES_MAX = 2,
};

/** How an attempt ended. */
typedef enum attempt_end_kind {
	ATTEMPT_END_COMPLETE,	 /**< Complete answer relayed. */
	ATTEMPT_END_NO_ENDPOINT, /**< None may get the request. */
	ATTEMPT_END_NOT_SENT,	 /**< No connection; no byte was sent. */
	ATTEMPT_END_REFUSED,	 /**< The engine took no work; not run. */
	ATTEMPT_END_REJECTED,	 /**< The engine found the request wrong. */
	ATTEMPT_END_LOST,	 /**< The engine died after sending. */
	ATTEMPT_END_CUT,	 /**< Connection lost, the engine lives. */
	ATTEMPT_END_TIMEOUT,	 /**< No byte for too long. */
	ATTEMPT_END_BAD_ANSWER,	 /**< Broke the protocol. */
	ATTEMPT_END_MISMATCH,	 /**< Answer of another attempt. */
	ATTEMPT_END_PREEMPTED,	 /**< Cancelled for an urgent request. */
	ATTEMPT_END_STOPPED,	 /**< This end gave up; see `err`. */
} attempt_end_kind_t;

typedef struct attempt_end {
	attempt_end_kind_t kind;
	uint64_t endpoint; /**< id_hash; 0 if none was chosen. */
	/** Tokens the caller has, over all attempts. */
	uint64_t position;
	/** The text of these tokens is known, so another engine can go on. */
	bool can_resume;
	int err; /**< ATTEMPT_END_STOPPED: ERR_CANCELLED and the like. */
} attempt_end_t;

typedef enum attempt_action_kind {
	ATTEMPT_FINISH,	 /**< The answer is complete. */
	ATTEMPT_RETRY,	 /**< Send again from the start. */
	ATTEMPT_RESUME,	 /**< Continue after `position` tokens. */
	ATTEMPT_REQUEUE, /**< Wait for admission, then continue. */
	ATTEMPT_GIVE_UP, /**< Answer with an error. */
} attempt_action_kind_t;

typedef struct attempt_action {
	attempt_action_kind_t kind;
	union {
		struct {
			/** Ask for the retry budget first. */
			bool needs_budget;
		} retry;
		struct {
			int err;
			run_state_t run_state;
		} give_up;
	};
} attempt_action_t;

/** State of one request over its attempts. */
typedef struct attempt {
	char request_id[ATTEMPT_REQUEST_ID_MAX_BYTES];
	uint32_t number;   /**< Attempt in progress, from 1. */
	uint32_t failures; /**< Attempts that count against the limit. */
	uint32_t attempts_max;
	uint32_t losses;
	bool isolated; /**< Suspect: the next attempt runs alone. */
	bool ran;      /**< An engine may have run the request. */
	uint64_t excluded[ATTEMPT_EXCLUDED_MAX];
	size_t excluded_count;
} attempt_t;

/** @param attempts_max at least 1 */
void attempt_init(attempt_t *attempt, const char *request_id,
		  uint32_t attempts_max);

/** Starts the next attempt and writes its id. */
void attempt_start(attempt_t *attempt, char id[ATTEMPT_ID_MAX_BYTES]);

/** Whether an engine's echo names the attempt in progress. */
bool attempt_matches(const attempt_t *attempt, const char *echo);

/** Decides what follows the end of an attempt. */
attempt_action_t attempt_ended(attempt_t *attempt, const attempt_end_t *end);

/** The action when the retry budget refused a retry with `err`. */
attempt_action_t attempt_refused(const attempt_t *attempt, int err);

#endif
