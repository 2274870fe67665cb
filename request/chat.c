#include "request/chat.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

/** Type and range of an optional field. */
typedef struct field_rule {
	const char *name;
	enum {
		FIELD_BOOLEAN,
		FIELD_INTEGER,
		FIELD_REAL,
		FIELD_TEXT,
	} type;
	double min;
	double max;
	const char *accepted;
} field_rule_t;

static const field_rule_t field_rules[] = {
	{ "stream", FIELD_BOOLEAN, 0, 0, "true or false" },
	{ "max_tokens", FIELD_INTEGER, 1, CHAT_TOKENS_MAX,
	  "a whole number from 1 to 1000000" },
	{ "max_completion_tokens", FIELD_INTEGER, 1, CHAT_TOKENS_MAX,
	  "a whole number from 1 to 1000000" },
	/* A stream position counts the tokens of a single choice. */
	{ "n", FIELD_INTEGER, 1, 1, "1" },
	{ "best_of", FIELD_INTEGER, 1, 1, "1" },
	{ "temperature", FIELD_REAL, 0, 2, "a number from 0 to 2" },
	{ "top_p", FIELD_REAL, 0, 1, "a number from 0 to 1" },
	{ "presence_penalty", FIELD_REAL, -2, 2, "a number from -2 to 2" },
	{ "frequency_penalty", FIELD_REAL, -2, 2, "a number from -2 to 2" },
	{ "user", FIELD_TEXT, 0, 0, "a string" },
	{ "resume_text", FIELD_TEXT, 0, 0, "a string" },
};

#define FIELD_RULE_COUNT (sizeof(field_rules) / sizeof(field_rules[0]))

__attribute__((format(printf, 4, 5))) static int reject(chat_problem_t *problem,
							int err,
							const char *field,
							const char *fmt, ...)
{
	va_list args;

	snprintf(problem->field, sizeof(problem->field), "%s", field);
	va_start(args, fmt);
	vsnprintf(problem->text, sizeof(problem->text), fmt, args);
	va_end(args);
	return err;
}

bool chat_is_too_deep(const char *body, size_t len)
{
	bool in_string = false;
	int depth = 0;

	for (size_t i = 0; i < len; i++) {
		char c = body[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
			continue;
		}
		if (c == '"')
			in_string = true;
		else if (c == '{' || c == '[')
			depth++;
		else if (c == '}' || c == ']')
			depth--;
		if (depth > CHAT_DEPTH_MAX)
			return true;
	}
	return false;
}

static int parse_json(const char *body, size_t len, json_t **value,
		      chat_problem_t *problem)
{
	json_error_t error;

	if (chat_is_too_deep(body, len))
		return reject(problem, ERR_BAD_JSON, "",
			      "the body is nested deeper than %d levels",
			      CHAT_DEPTH_MAX);
	*value = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
	if (*value && !json_is_object(*value))
		return reject(problem, ERR_BAD_FIELD, "",
			      "the body must be a JSON object");
	if (*value)
		return 0;
	if (json_error_code(&error) == json_error_invalid_utf8)
		return reject(problem, ERR_BAD_UTF8, "",
			      "the body is not valid UTF-8 near byte %d",
			      error.position);
	return reject(problem, ERR_BAD_JSON, "",
		      "the body is not valid JSON near byte %d: %s",
		      error.position, error.text);
}

static bool matches_rule(const field_rule_t *rule, const json_t *value)
{
	switch (rule->type) {
	case FIELD_BOOLEAN:
		return json_is_boolean(value);
	case FIELD_INTEGER:
		return json_is_integer(value) &&
		       json_number_value(value) >= rule->min &&
		       json_number_value(value) <= rule->max;
	case FIELD_REAL:
		return json_is_number(value) &&
		       json_number_value(value) >= rule->min &&
		       json_number_value(value) <= rule->max;
	case FIELD_TEXT:
		return json_is_string(value);
	}
	return false;
}

/** A null field counts as absent, because clients send null for defaults. */
static int check_fields(const json_t *body, chat_problem_t *problem)
{
	for (size_t i = 0; i < FIELD_RULE_COUNT; i++) {
		const field_rule_t *rule = &field_rules[i];
		const json_t *value = json_object_get(body, rule->name);

		if (!value || json_is_null(value) || matches_rule(rule, value))
			continue;
		return reject(problem, ERR_BAD_FIELD, rule->name,
			      "field '%s' must be %s", rule->name,
			      rule->accepted);
	}
	return 0;
}

static int check_model(chat_request_t *chat, chat_problem_t *problem)
{
	const json_t *model = json_object_get(chat->body, "model");
	size_t len = json_string_length(model);

	if (!json_is_string(model) || !len || len >= CHAT_MODEL_MAX_BYTES)
		return reject(problem, ERR_BAD_FIELD, "model",
			      "field 'model' must be a string of 1 to %d bytes",
			      CHAT_MODEL_MAX_BYTES - 1);
	chat->model = json_string_value(model);
	return 0;
}

static int parse_message(chat_request_t *chat, size_t i, const json_t *message,
			 chat_problem_t *problem)
{
	const json_t *role = json_object_get(message, "role");
	const json_t *content = json_object_get(message, "content");
	size_t role_len = json_string_length(role);
	char field[CHAT_FIELD_MAX_BYTES];

	if (!json_is_string(role) || !role_len ||
	    role_len >= CHAT_ROLE_MAX_BYTES ||
	    strchr(json_string_value(role), '\n')) {
		snprintf(field, sizeof(field), "messages[%zu].role", i);
		return reject(problem, ERR_BAD_FIELD, field,
			      "field '%s' must be one line of 1 to %d bytes",
			      field, CHAT_ROLE_MAX_BYTES - 1);
	}
	if (!json_is_string(content)) {
		snprintf(field, sizeof(field), "messages[%zu].content", i);
		return reject(problem, ERR_BAD_FIELD, field,
			      "field '%s' must be a string", field);
	}
	chat->messages[i] = (prefix_message_t){
		.role = json_string_value(role),
		.content = json_string_value(content),
		.content_bytes = json_string_length(content),
	};
	return 0;
}

static int parse_messages(chat_request_t *chat, chat_problem_t *problem)
{
	json_t *messages = json_object_get(chat->body, "messages");
	size_t count = json_array_size(messages);
	json_t *message;
	size_t i;

	if (!count || count > CHAT_MESSAGES_MAX)
		return reject(problem, ERR_BAD_FIELD, "messages",
			      "field 'messages' must be an array of 1 to %d "
			      "messages",
			      CHAT_MESSAGES_MAX);
	chat->messages = calloc(count, sizeof(*chat->messages));
	if (!chat->messages)
		return reject(problem, ERR_NO_MEMORY, "", "out of memory");
	chat->message_count = count;
	json_array_foreach (messages, i, message) {
		int err = parse_message(chat, i, message, problem);

		if (err)
			return err;
	}
	return 0;
}

static int parse_prompt(chat_request_t *chat, chat_problem_t *problem)
{
	const json_t *prompt = json_object_get(chat->body, "prompt");

	if (!json_string_length(prompt))
		return reject(problem, ERR_BAD_FIELD, "prompt",
			      "field 'prompt' must be a non-empty string");
	chat->messages = calloc(1, sizeof(*chat->messages));
	if (!chat->messages)
		return reject(problem, ERR_NO_MEMORY, "", "out of memory");
	chat->message_count = 1;
	chat->messages[0] = (prefix_message_t){
		.role = NULL,
		.content = json_string_value(prompt),
		.content_bytes = json_string_length(prompt),
	};
	return 0;
}

static json_t *copy_forwarded_fields(const chat_request_t *chat)
{
	json_t *copy = json_copy(chat->body);

	if (copy) {
		json_object_del(copy, "resume_text");
		json_object_del(copy, "stream");
	}
	return copy;
}

static int compute_fingerprint(chat_request_t *chat, chat_problem_t *problem)
{
	CLEANUP_JSON json_t *copy = copy_forwarded_fields(chat);
	CLEANUP_FREE char *text =
		json_dumps(copy, JSON_COMPACT | JSON_SORT_KEYS);

	if (!text)
		return reject(problem, ERR_NO_MEMORY, "", "out of memory");
	chat->fingerprint =
		hash_chain((uint64_t)chat->kind, text, strlen(text));
	return 0;
}

int chat_parse(chat_kind_t kind, const char *body, size_t body_len,
	       chat_request_t *chat, chat_problem_t *problem)
{
	const json_t *resume_text;
	int err;

	*chat = (chat_request_t){ .kind = kind };
	*problem = (chat_problem_t){ 0 };
	err = parse_json(body, body_len, &chat->body, problem);
	if (!err)
		err = check_fields(chat->body, problem);
	if (!err)
		err = check_model(chat, problem);
	if (!err && kind == CHAT_MESSAGES)
		err = parse_messages(chat, problem);
	if (!err && kind == CHAT_PROMPT)
		err = parse_prompt(chat, problem);
	if (!err)
		err = compute_fingerprint(chat, problem);
	if (err) {
		chat_free(chat);
		return err;
	}
	chat->stream = json_is_true(json_object_get(chat->body, "stream"));
	resume_text = json_object_get(chat->body, "resume_text");
	chat->resume_text = json_string_value(resume_text);
	chat->resume_text_len = json_string_length(resume_text);
	return 0;
}

void chat_free(chat_request_t *chat)
{
	json_decref(chat->body);
	free(chat->messages);
	*chat = (chat_request_t){ 0 };
}

const char *chat_path(chat_kind_t kind)
{
	return kind == CHAT_MESSAGES ? "/v1/chat/completions"
				     : "/v1/completions";
}

char *chat_engine_body(const chat_request_t *chat, const char *resume_text,
		       size_t resume_text_len)
{
	CLEANUP_JSON json_t *copy = copy_forwarded_fields(chat);

	if (!copy || json_object_set_new(copy, "stream", json_true()))
		return NULL;
	if (resume_text &&
	    json_object_set_new(copy, "resume_text",
				json_stringn(resume_text, resume_text_len)))
		return NULL;
	return json_dumps(copy, JSON_COMPACT);
}
