/**
 * @file
 * Request bodies of the chat completion and completion interfaces: parsing,
 * validation, and the body sent to an engine.
 *
 * Unknown fields are forwarded unchanged.
 */
#ifndef REQUEST_CHAT_H
#define REQUEST_CHAT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/prefix.h"

enum {
	CHAT_MESSAGES_MAX = 1024,
	/** Maximum nesting depth of a JSON text. */
	CHAT_DEPTH_MAX = 64,
	/** Strings with their NUL, bytes. */
	CHAT_FIELD_MAX_BYTES = 48,
	CHAT_TEXT_MAX_BYTES = 160,
	CHAT_MODEL_MAX_BYTES = 64,
	CHAT_ROLE_MAX_BYTES = 64,
	/** Largest `max_tokens`. */
	CHAT_TOKENS_MAX = 1000000,
};

/** Interface that a body belongs to. */
typedef enum chat_kind {
	CHAT_MESSAGES, /**< `/v1/chat/completions` */
	CHAT_PROMPT,   /**< `/v1/completions` */
} chat_kind_t;

/** Why a body is invalid. */
typedef struct chat_problem {
	char field[CHAT_FIELD_MAX_BYTES]; /**< Invalid field; or empty. */
	char text[CHAT_TEXT_MAX_BYTES];	  /**< Error message. */
} chat_problem_t;

/** A parsed request; release with chat_free(). */
typedef struct chat_request {
	chat_kind_t kind;
	json_t *body;
	const char *model; /**< Points into `body`. */
	bool stream;
	/** Strings are in `body`; for CHAT_PROMPT one message without a role.
	 */
	prefix_message_t *messages;
	size_t message_count;
	/** Text that the client already received, when it resumes; or NULL. */
	const char *resume_text;
	size_t resume_text_len;
	/** Hash of all fields but `resume_text` and `stream`. */
	uint64_t fingerprint;
} chat_request_t;

/**
 * Parses and validates a body.
 * @param problem filled in on failure
 * @return 0, ERR_BAD_JSON, ERR_BAD_UTF8, ERR_BAD_FIELD or ERR_NO_MEMORY
 */
int chat_parse(chat_kind_t kind, const char *body, size_t body_len,
	       chat_request_t *chat, chat_problem_t *problem);

/**
 * Whether JSON text is nested deeper than CHAT_DEPTH_MAX. Must be called before
 * untrusted text is parsed: the JSON library recurses up to 2,048 levels, which
 * overflows the stack of a server thread.
 */
bool chat_is_too_deep(const char *body, size_t len);

void chat_free(chat_request_t *chat);

/** URL path of an interface; the same for clients and engines. */
const char *chat_path(chat_kind_t kind);

/**
 * Builds the body for an engine, which always requests a stream.
 * @param resume_text text of the tokens generated so far; NULL if none
 * @return a string to free(); NULL when out of memory
 */
char *chat_engine_body(const chat_request_t *chat, const char *resume_text,
		       size_t resume_text_len);

#endif
