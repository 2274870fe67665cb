/**
 * @file
 * Head of one HTTP/1.1 message, and an incremental reader of messages.
 *
 * The reader wraps http-parser and adds what a relay must refuse: header lines
 * that were folded, repeated framing headers, and bytes outside a name or
 * value. A head lives as long as the reader's current message.
 */
#ifndef CONNECTION_HTTP_HEAD_H
#define CONNECTION_HTTP_HEAD_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/byte_buffer.h"

enum {
	/** Most header lines of a message; ordinary ones have about ten. */
	HTTP_HEADERS_MAX = 64,
	/** Largest head of an endpoint's or a store's answer, bytes. */
	HTTP_ANSWER_HEAD_MAX_BYTES = 16384,
};

/** One header line; both texts end with a NUL. */
typedef struct http_header {
	uint32_t name_offset;  /**< Offset into http_head_t::text. */
	uint32_t value_offset; /**< Offset into http_head_t::text. */
} http_header_t;

typedef struct http_head {
	byte_buffer_t text; /**< Target, names and values, each with a NUL. */
	uint32_t header_count;
	http_header_t headers[HTTP_HEADERS_MAX];
	uint8_t method;	 /**< enum http_method, of a request. */
	uint16_t status; /**< Of an answer. */
	bool keep_alive; /**< The connection may carry another message. */
	uint64_t content_length; /**< UINT64_MAX in chunks or without one. */
} http_head_t;

/** Target of a request. */
const char *http_head_target(const http_head_t *head);

/** Value of a header, its name compared without case; NULL if absent. */
const char *http_head_find(const http_head_t *head, const char *name);

/** Name and value of a header by position. */
const char *http_head_name(const http_head_t *head, uint32_t at);
const char *http_head_value(const http_head_t *head, uint32_t at);

/**
 * Whether a header concerns one connection only and is not passed on: by its
 * name, or because the head's Connection header names it.
 */
bool http_head_is_hop_by_hop(const http_head_t *head, const char *name);

/** Copies a head, over one of zeros. 0 or ERR_NO_MEMORY */
int http_head_copy(http_head_t *to, const http_head_t *from);

/** Frees the text of a copy. */
void http_head_free(http_head_t *head);

/** What a reader reports; a value other than 0 stops it. */
typedef struct http_reader_callbacks {
	int (*head)(void *context, http_head_t *head);
	int (*body)(void *context, const char *bytes, size_t len);
	int (*end)(void *context);
} http_reader_callbacks_t;

typedef struct http_reader {
	http_parser parser;
	http_head_t head;
	const http_reader_callbacks_t *callbacks;
	void *context;
	uint32_t head_max_bytes;
	bool in_message;  /**< The first byte of a message was read. */
	bool in_value;	  /**< The last text was of a value. */
	bool body_absent; /**< The answer to a HEAD request has no body. */
	int error;	  /**< Of the callback or the limit, else 0. */
} http_reader_t;

/** Starts a reader of requests or of answers. */
void http_reader_init(http_reader_t *reader, enum http_parser_type type,
		      uint32_t head_max_bytes,
		      const http_reader_callbacks_t *calls, void *context);

/** Frees the head. */
void http_reader_free(http_reader_t *reader);

/**
 * Parses bytes up to the end of the current message.
 * @param used receives the number of bytes that belong to it
 * @return 0, ERR_HEADER_TOO_LARGE, ERR_BAD_FIELD for bytes that are not the
 *         protocol, or the value of a callback
 */
int http_reader_feed(http_reader_t *reader, const char *bytes, size_t len,
		     size_t *used);

/** The connection ended; completes an answer that is framed by its end. */
int http_reader_finish(http_reader_t *reader);

/** Starts on the next message after one has ended. */
void http_reader_next(http_reader_t *reader);

#endif
