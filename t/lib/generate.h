/**
 * @file
 * Text that the engine stand-in generates. It depends on the prompt only, so a
 * test can compute the exact answer it must receive.
 */
#ifndef T_LIB_GENERATE_H
#define T_LIB_GENERATE_H

#include <jansson.h>
#include <stdint.h>

enum {
	/** Every token has this many bytes, prompt and answer alike. */
	GENERATE_TOKEN_BYTES = 4,
	/** Length of an answer when the request has no `max_tokens`. */
	GENERATE_DEFAULT_TOKENS = 32,
};

/**
 * Prompt text of a request body with `messages` or `prompt`.
 * @return a string to g_free(), or NULL if the body has neither
 */
char *generate_prompt(json_t *body);

/** Tokens of a rendered prompt. */
uint32_t generate_prompt_tokens(const char *prompt);

/** Length of the answer in tokens. */
uint32_t generate_answer_tokens(json_t *body);

/** Writes token `index` of the answer to a prompt with this hash_string(). */
void generate_token(uint64_t prompt_hash, uint32_t index,
		    char token[GENERATE_TOKEN_BYTES + 1]);

/** First `tokens` tokens of the answer to a prompt; to g_free(). */
char *generate_text(const char *prompt, uint32_t tokens);

/** Whole answer to a request body given as JSON text; to g_free(). */
char *generate_answer(const char *body_text);

#endif
