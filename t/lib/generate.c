#include "t/lib/generate.h"

#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/hash.h"

enum {
	LETTERS = 26,
	/** One token in this many needs JSON escapes and is not ASCII. */
	NON_ASCII_TOKEN_PERIOD = 16,
};

static char *render_messages(json_t *messages)
{
	GString *text = g_string_new(NULL);
	size_t i;
	json_t *message;

	json_array_foreach (messages, i, message) {
		json_t *role = json_object_get(message, "role");
		json_t *content = json_object_get(message, "content");

		if (!json_is_string(role) || !json_is_string(content)) {
			g_string_free(text, TRUE);
			return NULL;
		}
		g_string_append_printf(text, "%s\n%s\n",
				       json_string_value(role),
				       json_string_value(content));
	}
	return g_string_free(text, FALSE);
}

char *generate_prompt(json_t *body)
{
	json_t *messages = json_object_get(body, "messages");
	const char *prompt = json_string_value(json_object_get(body, "prompt"));

	if (json_is_array(messages) && json_array_size(messages) > 0)
		return render_messages(messages);
	return g_strdup(prompt);
}

uint32_t generate_prompt_tokens(const char *prompt)
{
	return (uint32_t)((strlen(prompt) + GENERATE_TOKEN_BYTES - 1) /
			  GENERATE_TOKEN_BYTES);
}

uint32_t generate_answer_tokens(json_t *body)
{
	json_int_t max_tokens =
		json_integer_value(json_object_get(body, "max_tokens"));

	return max_tokens > 0 ? (uint32_t)max_tokens : GENERATE_DEFAULT_TOKENS;
}

void generate_token(uint64_t prompt_hash, uint32_t index,
		    char token[GENERATE_TOKEN_BYTES + 1])
{
	uint64_t bits = hash_chain(prompt_hash, &index, sizeof(index));

	token[GENERATE_TOKEN_BYTES] = '\0';
	if (bits % NON_ASCII_TOKEN_PERIOD == 0) {
		memcpy(token, "\"\xc3\xa9\n", GENERATE_TOKEN_BYTES);
		return;
	}
	for (int i = 0; i < GENERATE_TOKEN_BYTES; i++) {
		bits >>= 8;
		token[i] = (char)('a' + bits % LETTERS);
	}
	token[0] = ' ';
}

char *generate_text(const char *prompt, uint32_t tokens)
{
	GString *text = g_string_new(NULL);
	uint64_t prompt_hash = hash_string(prompt);
	char token[GENERATE_TOKEN_BYTES + 1];

	for (uint32_t i = 0; i < tokens; i++) {
		generate_token(prompt_hash, i, token);
		g_string_append(text, token);
	}
	return g_string_free(text, FALSE);
}

char *generate_answer(const char *body_text)
{
	CLEANUP_JSON json_t *body = json_loads(body_text, 0, NULL);
	g_autofree char *prompt = generate_prompt(body);

	return prompt ? generate_text(prompt, generate_answer_tokens(body))
		      : NULL;
}
