/*
 * Fuzzes the parser of request bodies. Guards against bodies that the engine
 * parses differently from the instance: the body sent to the engine must parse
 * to the same messages and fingerprint. After an error nothing may be left
 * allocated, and the error must have a text.
 */
#include <string.h>

#include "process/cleanup.h"
#include "request/chat.h"
#include "t/lib/fuzz.h"

/** A raw prompt has no role. */
static bool is_same_role(const char *a, const char *b)
{
	return a && b ? !strcmp(a, b) : a == b;
}

static void check_same(const chat_request_t *a, const chat_request_t *b)
{
	FUZZ_CHECK(a->fingerprint == b->fingerprint);
	FUZZ_CHECK(!strcmp(a->model, b->model));
	FUZZ_CHECK(a->message_count == b->message_count);
	for (size_t i = 0; i < a->message_count; i++) {
		const prefix_message_t *x = &a->messages[i];
		const prefix_message_t *y = &b->messages[i];

		FUZZ_CHECK(is_same_role(x->role, y->role));
		FUZZ_CHECK(x->content_bytes == y->content_bytes);
		FUZZ_CHECK(!memcmp(x->content, y->content, x->content_bytes));
	}
}

static void check_keys(const chat_request_t *chat)
{
	prefix_identity_t identity = { "salt", chat->model, "", "1", 8, 4 };
	prefix_t prefix;
	uint32_t last = 0;

	FUZZ_CHECK(!prefix_compute(&identity, chat->messages,
				   chat->message_count, &prefix));
	for (uint32_t i = 0; i < prefix.level_count; i++) {
		FUZZ_CHECK(prefix.levels[i].tokens >= last);
		last = prefix.levels[i].tokens;
	}
	FUZZ_CHECK(last <= prefix.prompt_tokens);
}

static void check_engine_body(const chat_request_t *chat)
{
	CLEANUP_FREE char *text = chat_engine_body(chat, chat->resume_text,
						   chat->resume_text_len);
	chat_request_t again;
	chat_problem_t problem;

	FUZZ_CHECK(text);
	FUZZ_CHECK(
		!chat_parse(chat->kind, text, strlen(text), &again, &problem));
	FUZZ_CHECK(again.stream);
	FUZZ_CHECK(again.resume_text_len == chat->resume_text_len);
	check_same(chat, &again);
	chat_free(&again);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	for (int kind = CHAT_MESSAGES; kind <= CHAT_PROMPT; kind++) {
		chat_request_t chat;
		chat_problem_t problem;

		if (chat_parse((chat_kind_t)kind, (const char *)data, size,
			       &chat, &problem)) {
			FUZZ_CHECK(!chat.body && !chat.messages);
			FUZZ_CHECK(*problem.text);
			continue;
		}
		FUZZ_CHECK(chat.message_count);
		check_engine_body(&chat);
		check_keys(&chat);
		chat_free(&chat);
	}
	return 0;
}
