/*
 * Prefix keys of the router compared with those of an engine, and the router's
 * cache index as `/admin/explain` shows it.
 */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/hash.h"
#include "request/chat.h"
#include "t/lib/generate.h"
#include "t/lib/rig.h"

enum {
	/** A prompt of five blocks of 100 tokens of 4 bytes. */
	PROMPT_BYTES = 2000,
	PROMPT_BLOCKS = 5,
	PROMPT_TOKENS = 500,
};

/* One block of 40 bytes: 10 tokens of 4 bytes. */
#define BLOCK "aaaaaaaaaabbbbbbbbbbccccccccccdddddddddd"

static const struct {
	chat_kind_t kind;
	uint32_t blocks;
	const char *fields;
} key_cases[] = {
	{ CHAT_MESSAGES, 4,
	  "\"messages\":[{\"role\":\"system\",\"content\":\"" BLOCK BLOCK "\"},"
	  "{\"role\":\"user\",\"content\":\"" BLOCK BLOCK "\"}]" },
	{ CHAT_PROMPT, 2, "\"prompt\":\"" BLOCK BLOCK "c\"" },
	{ CHAT_PROMPT, 1, "\"prompt\":\"\\n\\u00e9\\\"" BLOCK "\"" },
	{ CHAT_PROMPT, 0, "\"prompt\":\"short\"" },
};

/** Asserts `total` published events, with one for each block of `prefix`. */
static void assert_events(uint16_t port, uint32_t total, const prefix_t *prefix)
{
	g_autoptr(http_answer_t) answer =
		http_local("GET", port, "/engine/events?max=64", NULL, NULL);
	char hex[HASH_KEY_HEX_BYTES];

	g_assert_cmpuint(
		json_array_size(json_object_get(answer->json, "events")), ==,
		total);
	for (uint32_t i = 0; i < prefix->block_count; i++) {
		hash_key_to_hex(prefix->blocks[i], hex);
		g_assert_nonnull(strstr(answer->body, hex));
	}
}

/* Router and engine must compute the same block keys; otherwise the engine's
 * cache events match no prefix. */
static void test_prefix_keys_match_engine(void)
{
	g_autoptr(program_t) engine =
		standin_start("standin-engine", "--block-tokens", "10",
			      "--event-delay-ms", "0", NULL);
	static const char *const headers[] = { "X-Attempt: a.1", NULL };
	uint16_t port = program_main_port(engine);
	uint32_t total = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(key_cases); i++) {
		prefix_identity_t identity = { "", "m1", "", "1", 10, 4 };
		g_autofree char *body = g_strdup_printf(
			"{\"model\":\"m1\",%s,\"max_tokens\":1,\"stream\":true}",
			key_cases[i].fields);
		g_autoptr(http_answer_t) answer =
			http_local("POST", port, chat_path(key_cases[i].kind),
				   headers, body);
		chat_problem_t problem;
		chat_request_t chat;
		prefix_t prefix;

		g_assert_cmpint(answer->status, ==, 200);
		g_assert_cmpint(chat_parse(key_cases[i].kind, body,
					   strlen(body), &chat, &problem),
				==, 0);
		g_assert_cmpint(prefix_compute(&identity, chat.messages,
					       chat.message_count, &prefix),
				==, 0);
		g_assert_cmpuint(prefix.block_count, ==, key_cases[i].blocks);
		total += prefix.block_count;
		assert_events(port, total, &prefix);
		chat_free(&chat);
	}
}

static char *prompt_body(char letter)
{
	g_autofree char *prompt = g_strnfill(PROMPT_BYTES, letter);

	return rig_body(prompt, 2, false);
}

/** Cached tokens in the router's cache index, summed over the candidates. */
static int64_t indexed_tokens(rig_t *rig, const char *customer,
			      const char *body)
{
	static const char *const headers[] = { RIG_OPERATOR, NULL };
	g_autofree char *explain_body = g_strdup_printf(
		"{\"customer\":\"%s\",\"request\":%s}", customer, body);
	g_autoptr(http_answer_t) answer = http_local(
		"POST", rig->ports[0], "/admin/explain", headers, explain_body);
	json_t *candidates = json_object_get(answer->json, "candidates");
	json_t *candidate;
	int64_t sum = 0;
	size_t i;

	g_assert_cmpint(answer->status, ==, 200);
	json_array_foreach (candidates, i, candidate)
		sum += json_integer_value(
			json_object_get(candidate, "believed_tokens"));
	return sum;
}

/** Waits until the cache index has no cached tokens of a prompt. */
#define WAIT_UNTIL_NOT_INDEXED(rig, body) \
	WAIT_UNTIL(indexed_tokens((rig), "c1", (body)) == 0, HARNESS_WAIT_MS)

/** Sends the prompt several times; asserts that the cache index has it. */
static void warm_cache(rig_t *rig, const char *body)
{
	for (int i = 0; i < 4; i++)
		http_answer_free(rig_chat(rig, 0, body));
	g_assert_cmpint(indexed_tokens(rig, "c1", body), >=, PROMPT_TOKENS);
}

static rig_t *start_rig(const char *events_rate)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.engine_args = { "--token-ms", "1", "--block-tokens", "100",
				 "--load-ms", "10", "--load-lag-ms", "50",
				 "--event-delay-ms", "10" },
		.router_args = { "--events-bytes-per-s", events_rate },
	};

	return rig_start(&options);
}

/* Cached prefixes must be removed when the engine restarts or loads other
 * weights, not only when they expire, and must not count for another
 * customer. */
static void test_index_identity(void)
{
	g_autoptr(rig_t) rig = start_rig("0");
	CLEANUP_FREE char *body = prompt_body('p');
	g_autoptr(http_answer_t) order = NULL;

	warm_cache(rig, body);
	g_assert_cmpint(indexed_tokens(rig, "c2", body), ==, 0);
	rig_kill_engine(rig, 0);
	rig_restart_engine(rig, 0);
	g_assert_true(WAIT_UNTIL_NOT_INDEXED(rig, body));
	warm_cache(rig, body);
	order = http_local("POST", rig->engine_ports[0], "/engine/order", NULL,
			   "{\"order_id\":\"o1\",\"kind\":\"load_model\","
			   "\"model\":\"m1\",\"version\":\"2\","
			   "\"fencing\":1}");
	g_assert_cmpint(order->status, ==, 200);
	g_assert_true(WAIT_UNTIL_NOT_INDEXED(rig, body));
}

/* An eviction event must remove the cached prefix without waiting for the next
 * answer. Lost events may have been evictions, so a gap in the events must
 * remove all cached prefixes of the engine. */
static void test_index_follows_cache_events(void)
{
	g_autoptr(rig_t) rig = start_rig("8192");
	CLEANUP_FREE char *body = prompt_body('p');
	CLEANUP_FREE char *other_body = prompt_body('o');

	warm_cache(rig, body);
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_cache_events_total") >=
					 PROMPT_BLOCKS,
				 HARNESS_WAIT_MS));
	g_assert_cmpint(indexed_tokens(rig, "c1", body), >=, PROMPT_TOKENS);
	standin_control(rig->engine_ports[0], "{\"clear_cache\":1}");
	g_assert_true(WAIT_UNTIL_NOT_INDEXED(rig, body));
	g_assert_cmpint(rig_metric(rig, 0, "amv_cache_event_gaps_total"), ==,
			0);
	warm_cache(rig, body);
	standin_control(rig->engine_ports[0], "{\"drop_events\":2}");
	http_answer_free(rig_chat(rig, 0, other_body));
	g_assert_true(WAIT_UNTIL_NOT_INDEXED(rig, body));
	g_assert_cmpint(rig_metric(rig, 0, "amv_cache_event_gaps_total"), ==,
			1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/cache-index/keys", test_prefix_keys_match_engine);
	g_test_add_func("/cache-index/identity", test_index_identity);
	g_test_add_func("/cache-index/events", test_index_follows_cache_events);
	return g_test_run();
}
