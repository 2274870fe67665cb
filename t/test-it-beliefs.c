/* Prompt keys against those of an engine, and what a router believes about the
 * caches of engines, as `explain` shows it. */
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
	WARM_BLOCKS = 5,
	WARM_TOKENS = 500,
};

/* One block of 40 bytes. */
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

/** Asserts that `total` events were published, some for these blocks. */
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

/* Keys that differ from the engine's make its events useless. */
static void test_keys(void)
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

/** Sum over the candidates of the tokens believed to be cached. */
static int64_t believed_tokens(rig_t *rig, const char *customer,
			       const char *body)
{
	static const char *const headers[] = { RIG_OPERATOR, NULL };
	g_autofree char *question = g_strdup_printf(
		"{\"customer\":\"%s\",\"request\":%s}", customer, body);
	g_autoptr(http_answer_t) answer = http_local(
		"POST", rig->ports[0], "/admin/explain", headers, question);
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

/** Waits until nothing is believed of a prompt. */
#define FORGETS(rig, body) \
	WAIT_UNTIL(believed_tokens((rig), "c1", (body)) == 0, HARNESS_WAIT_MS)

/** Sends the prompt until the router believes that an engine has it. */
static void warm(rig_t *rig, const char *body)
{
	for (int i = 0; i < 4; i++)
		http_answer_free(rig_chat(rig, 0, body));
	g_assert_cmpint(believed_tokens(rig, "c1", body), >=, WARM_TOKENS);
}

static rig_t *start(const char *events_rate)
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

/* Beliefs must end with the process and with the weights, not by their age,
 * and must not count for another customer. */
static void test_identity(void)
{
	g_autoptr(rig_t) rig = start("0");
	CLEANUP_FREE char *body = prompt_body('p');
	g_autoptr(http_answer_t) order = NULL;

	warm(rig, body);
	g_assert_cmpint(believed_tokens(rig, "c2", body), ==, 0);
	rig_kill_engine(rig, 0);
	rig_restart_engine(rig, 0);
	g_assert_true(FORGETS(rig, body));
	warm(rig, body);
	order = http_local("POST", rig->engine_ports[0], "/engine/order", NULL,
			   "{\"order_id\":\"o1\",\"kind\":\"load_model\","
			   "\"model\":\"m1\",\"version\":\"2\","
			   "\"fencing\":1}");
	g_assert_cmpint(order->status, ==, 200);
	g_assert_true(FORGETS(rig, body));
}

/* An eviction must end the belief before the next answer does; lost events may
 * have been evictions and end all beliefs about the engine. */
static void test_events(void)
{
	g_autoptr(rig_t) rig = start("8192");
	CLEANUP_FREE char *body = prompt_body('p');
	CLEANUP_FREE char *other = prompt_body('o');

	warm(rig, body);
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_cache_events_total") >=
					 WARM_BLOCKS,
				 HARNESS_WAIT_MS));
	g_assert_cmpint(believed_tokens(rig, "c1", body), >=, WARM_TOKENS);
	standin_control(rig->engine_ports[0], "{\"clear_cache\":1}");
	g_assert_true(FORGETS(rig, body));
	g_assert_cmpint(rig_metric(rig, 0, "amv_cache_event_gaps_total"), ==,
			0);
	warm(rig, body);
	standin_control(rig->engine_ports[0], "{\"drop_events\":2}");
	http_answer_free(rig_chat(rig, 0, other));
	g_assert_true(FORGETS(rig, body));
	g_assert_cmpint(rig_metric(rig, 0, "amv_cache_event_gaps_total"), ==,
			1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/beliefs/keys", test_keys);
	g_test_add_func("/beliefs/identity", test_identity);
	g_test_add_func("/beliefs/events", test_events);
	return g_test_run();
}
