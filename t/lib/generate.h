/**
 * @file
 * Prompt rendering and text generation of the engine stand-in. The text depends
 * only on the prompt, so tests can compute the expected answer.
 */
#ifndef T_LIB_GENERATE_H
#define T_LIB_GENERATE_H

#include <jansson.h>
#include <stdint.h>

enum {
	/** Size of each token of prompts and answers. */
	GENERATE_TOKEN_BYTES = 4,
	/** Length of an answer when the request has no `max_tokens`. */
	GENERATE_DEFAULT_TOKENS = 32,
};

/**
 * Renders the prompt of a request body with `messages` or `prompt`.
 * @return a string to g_free(), or NULL if the body has neither
 */
char *generate_prompt(json_t *body);

/** Number of tokens of a rendered prompt. */
uint32_t generate_prompt_tokens(const char *prompt);

/** Number of tokens of the answer to a request body. */
uint32_t generate_answer_tokens(json_t *body);

/**
 * Writes token `index` of the answer to a prompt.
 * @param prompt_hash hash_string() of the rendered prompt
 */
void generate_token(uint64_t prompt_hash, uint32_t index,
		    char token[GENERATE_TOKEN_BYTES + 1]);

/** Returns the first `tokens` tokens of an answer; g_free() the string. */
char *generate_text(const char *prompt, uint32_t tokens);

/** Returns the complete answer to a JSON request body; g_free() the string. */
char *generate_answer(const char *body_text);

#endif
