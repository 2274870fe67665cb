/* Request bodies: validation, and the body sent to an engine. */
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "request/chat.h"
#include "request/relay_output.h"

#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"
#define BODY(more) "{\"model\":\"m\"," MESSAGES more "}"

typedef struct chat_case {
	const char *body;
	const char *field; /**< Expected invalid field. */
	int result;
	chat_kind_t kind;
} chat_case_t;

static const chat_case_t cases[] = {
	{ BODY(""), "", 0, CHAT_MESSAGES },
	{ BODY(",\"stream\":true,\"max_tokens\":1,\"n\":1"), "", 0,
	  CHAT_MESSAGES },
	{ BODY(",\"temperature\":null,\"unknown\":{\"a\":[1]}"), "", 0,
	  CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"prompt\":\"hi\"}", "", 0, CHAT_PROMPT },
	/* Not JSON, not UTF-8. */
	{ "", "", ERR_BAD_JSON, CHAT_MESSAGES },
	{ "{", "", ERR_BAD_JSON, CHAT_MESSAGES },
	{ BODY("") "x", "", ERR_BAD_JSON, CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"model\":\"n\"}", "", ERR_BAD_JSON,
	  CHAT_MESSAGES },
	{ "{\"model\":\"\xff\"}", "", ERR_BAD_UTF8, CHAT_MESSAGES },
	{ "{\"model\":\"\xc0\xaf\"}", "", ERR_BAD_UTF8, CHAT_MESSAGES },
	{ "{\"model\":\"\xed\xa0\x80\"}", "", ERR_BAD_UTF8, CHAT_MESSAGES },
	{ "{\"model\":\"a\\u0000b\"}", "", ERR_BAD_JSON, CHAT_MESSAGES },
	{ "[1]", "", ERR_BAD_FIELD, CHAT_MESSAGES },
	/* Missing fields and wrong types. */
	{ "{" MESSAGES "}", "model", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ "{\"model\":7," MESSAGES "}", "model", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ "{\"model\":\"\"," MESSAGES "}", "model", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
	{ "{\"model\":\"m\"}", "messages", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"messages\":[]}", "messages", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"messages\":\"hi\"}", "messages", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"messages\":[1]}", "messages[0].role",
	  ERR_BAD_FIELD, CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"messages\":[{\"role\":\"a\\nb\","
	  "\"content\":\"\"}]}",
	  "messages[0].role", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
	  "\"content\":[]}]}",
	  "messages[0].content", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ "{\"model\":\"m\"}", "prompt", ERR_BAD_FIELD, CHAT_PROMPT },
	{ "{\"model\":\"m\",\"prompt\":\"\"}", "prompt", ERR_BAD_FIELD,
	  CHAT_PROMPT },
	{ BODY(",\"stream\":1"), "stream", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ BODY(",\"max_tokens\":0"), "max_tokens", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
	{ BODY(",\"max_tokens\":1.5"), "max_tokens", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
	{ BODY(",\"n\":2"), "n", ERR_BAD_FIELD, CHAT_MESSAGES },
	{ BODY(",\"temperature\":2.1"), "temperature", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
	{ BODY(",\"resume_text\":3"), "resume_text", ERR_BAD_FIELD,
	  CHAT_MESSAGES },
};

static void test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const chat_case_t *c = &cases[i];
		chat_request_t chat;
		chat_problem_t problem;
		int result = chat_parse(c->kind, c->body, strlen(c->body),
					&chat, &problem);

		g_test_message("body %s: %s", c->body, problem.text);
		g_assert_cmpint(result, ==, c->result);
		g_assert_cmpstr(problem.field, ==, c->field);
		if (result)
			g_assert_cmpstr(problem.text, !=, "");
		chat_free(&chat);
	}
}

static char *nested(size_t depth)
{
	g_autofree char *open = g_strnfill(depth, '[');
	g_autofree char *close = g_strnfill(depth, ']');

	return g_strdup_printf("{\"model\":\"m\"," MESSAGES ",\"x\":%s%s}",
			       open, close);
}

/* Deep nesting must not overflow the small stack of a server thread. */
static void test_depth(void)
{
	static const struct {
		size_t depth;
		int result;
	} depth_cases[] = {
		{ CHAT_DEPTH_MAX - 1, 0 },
		{ CHAT_DEPTH_MAX, ERR_BAD_JSON },
		{ 100000, ERR_BAD_JSON },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(depth_cases); i++) {
		g_autofree char *body = nested(depth_cases[i].depth);
		chat_request_t chat;
		chat_problem_t problem;

		g_assert_cmpint(chat_parse(CHAT_MESSAGES, body, strlen(body),
					   &chat, &problem),
				==, depth_cases[i].result);
		chat_free(&chat);
	}
}

static uint64_t fingerprint(const char *body)
{
	chat_request_t chat;
	chat_problem_t problem;
	uint64_t value;

	g_assert_cmpint(
		chat_parse(CHAT_MESSAGES, body, strlen(body), &chat, &problem),
		==, 0);
	value = chat.fingerprint;
	chat_free(&chat);
	return value;
}

/* A resume token must be valid for the same request only; the order of fields
 * does not matter. */
static void test_fingerprint(void)
{
	uint64_t plain = fingerprint(BODY(""));

	g_assert_cmpuint(plain, ==,
			 fingerprint("{" MESSAGES ",\"model\":\"m\"}"));
	g_assert_cmpuint(plain, ==,
			 fingerprint(BODY(",\"resume_text\":\"x\"")));
	g_assert_cmpuint(plain, ==, fingerprint(BODY(",\"stream\":true")));
	g_assert_cmpuint(plain, !=, fingerprint(BODY(",\"max_tokens\":9")));
	g_assert_cmpuint(plain, !=, fingerprint(BODY(",\"unknown\":1")));
}

/* Unknown fields are sent to the engine; the client's resume_text is not. */
static void test_engine_body(void)
{
	static const char body[] =
		BODY(",\"stream\":false,\"resume_text\":\"old\",\"tools\":[1]");
	chat_request_t chat;
	chat_problem_t problem;
	CLEANUP_FREE char *first = NULL;
	CLEANUP_FREE char *resumed = NULL;
	CLEANUP_JSON json_t *first_json = NULL;
	CLEANUP_JSON json_t *resumed_json = NULL;

	g_assert_cmpint(
		chat_parse(CHAT_MESSAGES, body, strlen(body), &chat, &problem),
		==, 0);
	first = chat_engine_body(&chat, NULL, 0);
	resumed = chat_engine_body(&chat, "\"\xc3\xa9\n", 4);
	chat_free(&chat);
	first_json = json_loads(first, 0, NULL);
	resumed_json = json_loads(resumed, 0, NULL);
	g_assert_true(json_is_true(json_object_get(first_json, "stream")));
	g_assert_null(json_object_get(first_json, "resume_text"));
	g_assert_cmpuint(json_array_size(json_object_get(first_json, "tools")),
			 ==, 1);
	g_assert_cmpstr(
		json_string_value(json_object_get(resumed_json, "resume_text")),
		==, "\"\xc3\xa9\n");
}

static void *take_deep_chunk(void *output)
{
	g_autoptr(GString) text = g_string_new("");
	sse_event_t event = { .event = "", .id = "" };

	for (int i = 0; i < 2000; i++)
		g_string_append(text, "{\"a\":");
	g_string_append_c(text, '1');
	for (int i = 0; i < 2000; i++)
		g_string_append_c(text, '}');
	event.data = text->str;
	event.data_len = text->len;
	return GINT_TO_POINTER(relay_output_on_event(output, &event));
}

/* A deeply nested chunk from an engine must not overflow a server thread's
 * stack. */
static void test_engine_depth(void)
{
	relay_output_t output = { 0 };
	pthread_attr_t attributes;
	pthread_t thread;
	void *err;

	relay_output_init(&output);
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 128 * 1024);
	g_assert_cmpint(
		pthread_create(&thread, &attributes, take_deep_chunk, &output),
		==, 0);
	pthread_join(thread, &err);
	g_assert_cmpint(GPOINTER_TO_INT(err), ==, ERR_ENDPOINT_ANSWER);
	pthread_attr_destroy(&attributes);
	relay_output_free(&output);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/chat/cases", test_cases);
	g_test_add_func("/chat/depth", test_depth);
	g_test_add_func("/chat/engine-depth", test_engine_depth);
	g_test_add_func("/chat/fingerprint", test_fingerprint);
	g_test_add_func("/chat/engine-body", test_engine_body);
	return g_test_run();
}
