/**
 * @file
 * Client side of a model request: receives the engine's events, relays each
 * token exactly once and in order, and builds the answer.
 *
 * The data of a token event is relayed unchanged. The text of the relayed
 * tokens is stored so that another engine can continue after them. A stream
 * with more than RELAY_TEXT_MAX_BYTES of text cannot be resumed at another
 * engine.
 */
#ifndef REQUEST_RELAY_OUTPUT_H
#define REQUEST_RELAY_OUTPUT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/server.h"
#include "connection/sse.h"
#include "process/byte_buffer.h"
#include "request/chat.h"
#include "request/resume_token.h"

enum {
	RELAY_TEXT_MAX_BYTES = 1024 * 1024,
	/** Longest line and event accepted from an engine. */
	RELAY_EVENT_MAX_BYTES = 64 * 1024,
	/** A resume token is valid for this long. */
	RELAY_TOKEN_VALID_S = 3600,
};

/** Content of the engine's prefill event. */
typedef struct relay_prefill {
	uint32_t cached_tokens;
	uint32_t prompt_tokens;
	uint32_t queue_ms; /**< Time in the engine's queue. */
} relay_prefill_t;

/** Answer to the client across all attempts. */
typedef struct relay_output {
	server_request_t *client_request;
	const resume_key_t *key;
	chat_kind_t kind;
	bool is_stream;		/**< The client requested a stream. */
	bool is_resumed;	/**< The request has Last-Event-ID. */
	bool head_sent;		/**< Status and headers were sent. */
	bool finish_chunk_sent; /**< The chunk with finish_reason was sent. */
	resume_token_t token;	/**< Identifies the current stream. */
	uint64_t position;	/**< Tokens relayed. */
	uint64_t text_hash;	/**< relay_text_hash() of the relayed text. */
	bool text_known; /**< `text` is the text of all relayed tokens. */
	byte_buffer_t text;
	/* State of the attempt in progress. */
	bool prefill_received;
	bool finish_chunk_received; /**< With finish_reason. */
	bool done_received;	    /**< `[DONE]` followed it. */
	relay_prefill_t prefill;
	json_t *finish_chunk;
	/** Called at the prefill event and at each new token. */
	void (*on_prefill)(void *context, const relay_prefill_t *prefill);
	void (*on_token)(void *context);
	void *context;
	int client_err; /**< Error of a write to the client, or 0. */
} relay_output_t;

void relay_output_init(relay_output_t *output);
void relay_output_free(relay_output_t *output);

/**
 * Extends a hash by a text. The result does not depend on how the text is
 * divided into tokens.
 */
uint64_t relay_text_hash(uint64_t hash, const char *text, size_t len);

/**
 * Sets the text that the client received from another instance.
 * @return 0 or ERR_NO_MEMORY
 */
int relay_output_set_text(relay_output_t *output, const char *text,
			  size_t text_len);

/** Resets the state that belongs to one attempt. */
void relay_output_start_attempt(relay_output_t *output);

/** Handles an event from the engine; an sse_event_fn. */
int relay_output_on_event(void *output, const sse_event_t *event);

/** Completes the answer: ends the stream or sends the JSON answer. */
int relay_output_finish(relay_output_t *output, const char *request_id,
			const char *model);

/** Sends an error as the answer, or as an event after the status was sent. */
void relay_output_fail(relay_output_t *output, const server_error_t *error);

#endif
