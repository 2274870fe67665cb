/**
 * @file
 * Body of a model request: parse, check, and the body sent to an engine.
 *
 * Fields that are not known here are kept and forwarded as they are.
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
	/** Nested arrays and objects in a body. */
	CHAT_DEPTH_MAX = 64,
	CHAT_FIELD_MAX_BYTES = 48,
	CHAT_TEXT_MAX_BYTES = 160,
	CHAT_MODEL_MAX_BYTES = 64,
	CHAT_ROLE_MAX_BYTES = 64,
	/** Largest `max_tokens`. */
	CHAT_TOKENS_MAX = 1000000,
};

/** Which of the two interfaces a body belongs to. */
typedef enum chat_kind {
	CHAT_MESSAGES, /**< `/v1/chat/completions` */
	CHAT_PROMPT,   /**< `/v1/completions` */
} chat_kind_t;

/** Text of a refusal: the field and what is accepted. */
typedef struct chat_problem {
	char field[CHAT_FIELD_MAX_BYTES];
	char text[CHAT_TEXT_MAX_BYTES];
} chat_problem_t;

/** A parsed request; release with chat_free(). */
typedef struct chat_request {
	chat_kind_t kind;
	json_t *body;
	const char *model; /**< In `body`. */
	bool stream;
	/** Messages in `body`; one without a role for CHAT_PROMPT. */
	prefix_message_t *messages;
	size_t message_count;
	/** Text the caller received before, to resume after it; or NULL. */
	const char *resume_text;
	size_t resume_text_len;
	/** Hash of all fields but `resume_text` and `stream`. */
	uint64_t fingerprint;
} chat_request_t;

/**
 * Parses and checks a body.
 * @param problem filled in on failure
 * @return 0, ERR_BAD_JSON, ERR_BAD_UTF8, ERR_BAD_FIELD or ERR_NO_MEMORY
 */
int chat_parse(chat_kind_t kind, const char *body, size_t body_len,
	       chat_request_t *chat, chat_problem_t *problem);

/**
 * Whether JSON text is nested deeper than CHAT_DEPTH_MAX. To be asked before
 * text from outside is parsed: the JSON library recurses up to 2,048 levels,
 * which is more than the stack of a server thread holds.
 */
bool chat_is_too_deep(const char *body, size_t len);

void chat_free(chat_request_t *chat);

/** Path of this interface, the same at callers and engines. */
const char *chat_path(chat_kind_t kind);

/**
 * Body for an engine: always a stream.
 * @param resume_text tokens produced before, or NULL at the start
 * @return a string to free(), or NULL when out of memory
 */
char *chat_engine_body(const chat_request_t *chat, const char *resume_text,
		       size_t resume_text_len);

#endif
