/**
 * @file
 * Head of one HTTP/1.1 message, and an incremental reader of messages.
 *
 * The reader wraps http-parser and also rejects what a proxy must not forward:
 * folded header lines, repeated framing headers, bytes that are not allowed in
 * a header name or value, and a status that is none. A head is valid as long as
 * the reader's current message.
 */
#ifndef CONNECTION_HTTP_HEAD_H
#define CONNECTION_HTTP_HEAD_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/byte_buffer.h"

enum {
	/** Most header lines of a message; a typical one has about ten. */
	HTTP_HEADERS_MAX = 64,
	/** Largest head of an answer from an endpoint or the store, bytes: 16
	 * KiB and the id of a request, which may be nearly as long as a
	 * request's head (16 KiB). */
	HTTP_ANSWER_HEAD_MAX_BYTES = 32768,
	HTTP_STATUS_MIN = 100,
	HTTP_STATUS_MAX = 599,
};

/** One header line; name and value are NUL-terminated. */
typedef struct http_header {
	uint32_t name_offset;  /**< Offset into http_head_t::text. */
	uint32_t value_offset; /**< Offset into http_head_t::text. */
} http_header_t;

typedef struct http_head {
	byte_buffer_t text; /**< Target, names and values, NUL-terminated. */
	uint32_t header_count;
	http_header_t headers[HTTP_HEADERS_MAX];
	uint8_t method;	 /**< enum http_method; of requests only. */
	uint16_t status; /**< Of answers only. */
	bool keep_alive; /**< The connection may carry another message. */
	uint64_t content_length; /**< UINT64_MAX if chunked or not given. */
} http_head_t;

/** Target of a request; empty in an answer. */
const char *http_head_target(const http_head_t *head);

/** Value of the first header with this name, ignoring case; NULL if absent. */
const char *http_head_find(const http_head_t *head, const char *name);

/** Name and value of the header at an index. */
const char *http_head_name(const http_head_t *head, uint32_t index);
const char *http_head_value(const http_head_t *head, uint32_t index);

/**
 * Whether a header is hop-by-hop, so that a proxy does not forward it: by its
 * name, or because the message's Connection header lists it.
 */
bool http_head_is_hop_by_hop(const http_head_t *head, const char *name);

/** Copies a head into a zeroed one. @return 0 or ERR_NO_MEMORY */
int http_head_copy(http_head_t *to, const http_head_t *from);

/** Frees the text of a copy. */
void http_head_free(http_head_t *head);

/** Callbacks of a reader; a return value other than 0 stops parsing. */
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
	bool in_message;   /**< At least one byte of the message was read. */
	bool in_value;	   /**< Parsing a header value, not a name. */
	bool body_absent;  /**< The answer to a HEAD request has no body. */
	bool status_begun; /**< The first digit of the status was read. */
	char last_byte;	   /**< Last one before or of this digit. */
	int error;	   /**< From a callback or a failed check, else 0. */
} http_reader_t;

/** Initializes a reader of requests or of answers. */
void http_reader_init(http_reader_t *reader, enum http_parser_type type,
		      uint32_t head_max_bytes,
		      const http_reader_callbacks_t *callbacks, void *context);

/** Frees the head. */
void http_reader_free(http_reader_t *reader);

/**
 * Parses bytes up to the end of the current message.
 * @param used receives the number of bytes consumed
 * @return 0, ERR_HEADER_TOO_LARGE, ERR_BAD_FIELD for bytes that are not valid
 *         HTTP, ERR_NO_MEMORY, or the return value of a callback
 */
int http_reader_feed(http_reader_t *reader, const char *bytes, size_t len,
		     size_t *used);

/** Call at end of file: completes an answer that the close delimits. */
int http_reader_finish(http_reader_t *reader);

/** Prepares the reader for the next message after one has ended. */
void http_reader_next(http_reader_t *reader);

#endif
