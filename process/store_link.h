/**
 * @file
 * Calls to the platform's store, and the newest era that its answers showed.
 *
 * A store that was restored from a copy begins a new era: what it had
 * acknowledged since the copy is gone, and revisions are given out again, so
 * that a revision identifies a change only together with the era.
 */
#ifndef PROCESS_STORE_LINK_H
#define PROCESS_STORE_LINK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/outbound.h"

/** The store as this instance knows it; owned by the calling code. */
typedef struct store_link {
	outbound_t *outbound;
	struct event_base *base;
	outbound_target_t target;
	uint64_t era; /**< Newest that is known; 0 if none was stated. */
	/** Called after a newer era became known. */
	void (*era_changed)(void *context);
	void *context;
} store_link_t;

typedef struct store_answer {
	/** 0, ERR_NOT_FOUND, ERR_STORE_*, or ERR_BAD_FIELD if the era cannot
	 * be read. A late answer of an earlier era is ERR_STORE_UNKNOWN. */
	int err;
	bool too_long; /**< It is ERR_STORE_UNKNOWN: not all was received. */
	uint64_t era;  /**< 0 if the answer does not state one. */
	const char *body;
	size_t len;
} store_answer_t;

typedef void store_call_fn(void *context, const store_answer_t *answer);

typedef struct store_call store_call_t;

/**
 * Sends one call to the store; it is never retried here.
 * @param message head and body; its bytes are moved out of the buffer
 * @return the call, or NULL if it could not be sent; then `done` is not called
 */
store_call_t *store_call_send(store_link_t *link, struct evbuffer *message,
			      uint32_t timeout_ms, store_call_fn *done,
			      void *context);

/** Ends a call without calling `done`. */
void store_call_cancel(store_call_t *call);

#endif
