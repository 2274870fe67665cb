/* The router's prompt keys against the cache events of an engine. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/hash.h"
#include "request/chat.h"
#include "t/lib/generate.h"
#include "t/lib/harness.h"

enum {
	BLOCK_TOKENS = 10,
	EVENTS_MAX = 64,
};

/* Three blocks of 40 bytes and a part of a fourth. */
#define TEXT                                                                \
	"aaaaaaaaaabbbbbbbbbbccccccccccddddddddddeeeeeeeeeeffffffffffggggg" \
	"ggggghhhhhhhhhhiiiiiiiiiijjjjjjjjjjkkkkkkkkkkllllllllllmmmmm"

typedef struct key_case {
	const char *name;
	chat_kind_t kind;
	const char *fields; /**< Members of the body after `model`. */
	uint32_t blocks;
} key_case_t;

static const key_case_t cases[] = {
	{ "one message", CHAT_MESSAGES,
	  "\"messages\":[{\"role\":\"user\",\"content\":\"" TEXT "\"}]", 3 },
	{ "two messages", CHAT_MESSAGES,
	  "\"messages\":[{\"role\":\"system\",\"content\":\"" TEXT "\"},"
	  "{\"role\":\"user\",\"content\":\"" TEXT "\"}]",
	  6 },
	{ "raw prompt", CHAT_PROMPT, "\"prompt\":\"" TEXT "\"", 3 },
	{ "raw prompt with escapes", CHAT_PROMPT,
	  "\"prompt\":\"\\n\\u00e9\\\"" TEXT "\"", 3 },
	{ "raw prompt below a block", CHAT_PROMPT, "\"prompt\":\"short\"", 0 },
	{ "raw prompt of one whole block", CHAT_PROMPT,
	  "\"prompt\":\"aaaaaaaaaabbbbbbbbbbccccccccccdddddddddd\"", 1 },
};

static char *make_body(const key_case_t *row)
{
	return g_strdup_printf(
		"{\"model\":\"m1\",%s,\"max_tokens\":1,\"stream\":true}",
		row->fields);
}

static void router_keys(const key_case_t *row, const char *salt,
			prefix_t *prefix)
{
	prefix_identity_t identity = {
		.salt = salt,
		.model = "m1",
		.adapter = "",
		.weights_version = "1",
		.block_tokens = BLOCK_TOKENS,
		.token_bytes = GENERATE_TOKEN_BYTES,
	};
	g_autofree char *body = make_body(row);
	chat_request_t chat;
	chat_problem_t problem;

	g_assert_cmpint(
		chat_parse(row->kind, body, strlen(body), &chat, &problem), ==,
		0);
	g_assert_cmpint(prefix_compute(&identity, chat.messages,
				       chat.message_count, prefix),
			==, 0);
	chat_free(&chat);
}

/** Runs the request at the engine under its own salt. */
static void run(uint16_t port, const key_case_t *row, const char *salt)
{
	g_autofree char *body = make_body(row);
	g_autofree char *salt_line = g_strdup_printf("X-Cache-Salt: %s", salt);
	const char *const headers[] = { "X-Attempt: a.1", salt_line, NULL };
	g_autoptr(http_answer_t) answer =
		http_local("POST", port, chat_path(row->kind), headers, body);

	g_assert_cmpint(answer->status, ==, 200);
}

/** Asserts that the events after `since` add exactly these blocks. */
static void assert_events(uint16_t port, uint64_t since, const prefix_t *prefix)
{
	g_autofree char *path = g_strdup_printf(
		"/engine/events?since=%" G_GUINT64_FORMAT "&max=%d", since,
		EVENTS_MAX);
	g_autoptr(http_answer_t) answer =
		http_local("GET", port, path, NULL, NULL);
	json_t *events = json_object_get(answer->json, "events");
	json_t *event;
	size_t i;

	g_assert_cmpuint(json_array_size(events), ==, prefix->block_count);
	json_array_foreach (events, i, event) {
		char hex[HASH_KEY_HEX_BYTES];

		hash_key_to_hex(prefix->blocks[i], hex);
		g_assert_cmpstr(
			json_string_value(json_object_get(event, "key")), ==,
			hex);
	}
}

/* Keys that differ from the engine's make its cache events useless and its
 * cached blocks look missing. */
static void test_keys_are_the_engines(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--block-tokens", "10",
			      "--event-delay-ms", "0", "--token-ms", "1", NULL);
	uint16_t port = program_main_port(engine);
	uint64_t since = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *salt = g_strdup_printf("salt-%zu", i);
		prefix_t prefix;

		g_test_message("case: %s", cases[i].name);
		router_keys(&cases[i], salt, &prefix);
		g_assert_cmpuint(prefix.block_count, ==, cases[i].blocks);
		run(port, &cases[i], salt);
		assert_events(port, since, &prefix);
		since += prefix.block_count;
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keys/engine", test_keys_are_the_engines);
	return g_test_run();
}
