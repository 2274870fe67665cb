/**
 * @file
 * Server-sent events: an incremental parser with bounded memory, and a writer.
 *
 * A parser holds at most one line and one event; both have a fixed limit, so
 * its memory is at most the sum of the two limits.
 */
#ifndef CONNECTION_SSE_H
#define CONNECTION_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "process/byte_buffer.h"

enum {
	/** Longest value of an `id` or `event` field with its NUL, bytes. */
	SSE_FIELD_MAX_BYTES = 512,
};

/** One event. The strings are valid until the callback returns. */
typedef struct sse_event {
	const char *event; /**< Event name; empty for the default. */
	const char *id;	   /**< Value of this event's id field; or empty. */
	const char *data;  /**< NUL-terminated; lines are joined by LF. */
	size_t data_len;
} sse_event_t;

/** Receives one event; a negative return value stops the parser. */
typedef int sse_event_fn(void *context, const sse_event_t *event);

typedef struct sse_parser {
	byte_buffer_t line;
	size_t line_max;
	byte_buffer_t data;
	size_t data_max;
	char event[SSE_FIELD_MAX_BYTES];
	char id[SSE_FIELD_MAX_BYTES];
	bool has_data;
	bool last_was_cr; /**< An LF that follows belongs to it. */
	/** The first line, which may start with a BOM, was read. */
	bool first_line_done;
	sse_event_fn *on_event;
	void *context;
} sse_parser_t;

/**
 * Initializes a parser.
 * @param line_max longest line in bytes
 * @param event_max largest data of one event in bytes
 */
void sse_parser_init(sse_parser_t *parser, size_t line_max, size_t event_max,
		     sse_event_fn *on_event, void *context);

/** Frees the buffers. An event without its final empty line is dropped. */
void sse_parser_free(sse_parser_t *parser);

/**
 * Parses the next bytes and calls the callback for each complete event.
 * @return 0, ERR_ENDPOINT_ANSWER if a limit is exceeded or a field is invalid,
 *         ERR_NO_MEMORY, or the negative return value of the callback
 */
int sse_parser_feed(sse_parser_t *parser, const char *bytes, size_t len);

/**
 * Serializes one event.
 * @param len receives the length in bytes
 * @return a string to free(), or NULL when out of memory or when the id or the
 *         event name contains a line break
 */
char *sse_format(const sse_event_t *event, size_t *len);

#endif
