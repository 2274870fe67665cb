/**
 * @file
 * Splits a stream of server-sent events into complete events without changing
 * their bytes. A stream that breaks off can then be resumed at another endpoint
 * after the last complete event.
 */
#ifndef REQUEST_SSE_SPLITTER_H
#define REQUEST_SSE_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/byte_buffer.h"

enum {
	/** Longest event, bytes; the deployment's specification has events of
	 * about 300 bytes. */
	SSE_SPLITTER_EVENT_MAX_BYTES = 65536,
};

/** Id of an event without a numeric id field. */
#define SSE_SPLITTER_NO_ID UINT64_MAX

typedef struct sse_splitter {
	byte_buffer_t event; /**< Received bytes of the incomplete event. */
	size_t scanned;	     /**< Bytes already searched for its end. */
	size_t line_start;   /**< Offset of the line being searched. */
} sse_splitter_t;

/** Receives one complete event, including the empty line that ends it. */
typedef void sse_splitter_fn(void *context, uint64_t id, const char *bytes,
			     size_t len);

/** Frees the buffer and drops an incomplete event. */
void sse_splitter_free(sse_splitter_t *splitter);

/**
 * Appends bytes and calls the callback for each event that they complete.
 * @return 0, ERR_ENDPOINT_ANSWER for an event that is too long, ERR_NO_MEMORY
 */
int sse_splitter_feed(sse_splitter_t *splitter, const char *bytes, size_t len,
		      sse_splitter_fn *callback, void *context);

/** Whether an event has been received in part. */
bool sse_splitter_is_partial(const sse_splitter_t *splitter);

/** Drops an incomplete event. */
void sse_splitter_reset(sse_splitter_t *splitter);

#endif
