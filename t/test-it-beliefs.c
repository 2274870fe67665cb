/* What a router believes about the caches of engines, as `explain` shows it. */
#include <curl/curl.h>
#include <glib.h>

#include "process/cleanup.h"
#include "t/lib/rig.h"

enum {
	/** A prompt of five blocks of 100 tokens. */
	PROMPT_BYTES = 2000,
	/** Tokens in the blocks that a warm engine holds. */
	WARM_TOKENS = 500,
};

#define ENGINE_ARGS                                                    \
	"--token-ms", "1", "--block-tokens", "100", "--load-ms", "10", \
		"--load-lag-ms", "50"

static char *prompt_body(void)
{
	g_autofree char *prompt = g_strnfill(PROMPT_BYTES, 'p');

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

/** Sends the prompt until the router believes that an engine has it. */
static void warm(rig_t *rig, const char *body)
{
	for (int i = 0; i < 4; i++) {
		g_autoptr(http_answer_t) answer = rig_chat(rig, 0, body);

		g_assert_cmpint(answer->status, ==, 200);
	}
	g_assert_cmpint(believed_tokens(rig, "c1", body), >=, WARM_TOKENS);
}

/* A belief about a dead process must end with it, not by its age. */
static void test_new_incarnation(void)
{
	rig_options_t options = { .engines = 1,
				  .routers = 1,
				  .engine_args = { ENGINE_ARGS } };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = prompt_body();

	warm(rig, body);
	rig_kill_engine(rig, 0);
	rig_restart_engine(rig, 0);
	g_assert_true(WAIT_UNTIL(believed_tokens(rig, "c1", body) == 0,
				 HARNESS_WAIT_MS));
	warm(rig, body);
}

/* A belief about a cache that was filled under older weights must end. */
static void test_new_weights(void)
{
	rig_options_t options = { .engines = 1,
				  .routers = 1,
				  .engine_args = { ENGINE_ARGS } };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = prompt_body();
	g_autoptr(http_answer_t) order = NULL;

	warm(rig, body);
	order = http_local("POST", rig->engine_ports[0], "/engine/order", NULL,
			   "{\"order_id\":\"o1\",\"kind\":\"load_model\","
			   "\"model\":\"m1\",\"version\":\"2\","
			   "\"fencing\":1}");
	g_assert_cmpint(order->status, ==, 200);
	g_assert_true(WAIT_UNTIL(believed_tokens(rig, "c1", body) == 0,
				 HARNESS_WAIT_MS));
}

/* What one customer's requests taught must not count for another's. */
static void test_customers(void)
{
	rig_options_t options = { .engines = 2,
				  .routers = 1,
				  .engine_args = { ENGINE_ARGS } };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = prompt_body();

	warm(rig, body);
	g_assert_cmpint(believed_tokens(rig, "c2", body), ==, 0);
}

static rig_options_t with_events(void)
{
	return (rig_options_t){
		.engines = 1,
		.routers = 1,
		.engine_args = { ENGINE_ARGS, "--event-delay-ms", "10" },
		.router_args = { "--events-bytes-per-s", "8192" },
	};
}

/** Waits until the reader has the events that filling the cache made. */
static void await_events(rig_t *rig, int64_t count)
{
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_cache_events_total") >=
					 count,
				 HARNESS_WAIT_MS));
}

/* An eviction that was read must end the belief before the next answer. */
static void test_events_evict(void)
{
	rig_options_t options = with_events();
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = prompt_body();

	warm(rig, body);
	await_events(rig, WARM_TOKENS / 100);
	g_assert_cmpint(believed_tokens(rig, "c1", body), >=, WARM_TOKENS);
	standin_control(rig->engine_ports[0], "{\"clear_cache\":1}");
	g_assert_true(WAIT_UNTIL(believed_tokens(rig, "c1", body) == 0,
				 HARNESS_WAIT_MS));
	g_assert_cmpint(rig_metric(rig, 0, "amv_cache_event_gaps_total"), ==,
			0);
	g_assert_cmpint(rig_metric(rig, 0, "amv_cache_events_tracked_total"),
			>=, WARM_TOKENS / 100);
}

/* Lost events may have been evictions: all beliefs about the engine end. */
static void test_events_gap(void)
{
	rig_options_t options = with_events();
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = prompt_body();
	g_autofree char *other_prompt = g_strnfill(PROMPT_BYTES, 'o');
	CLEANUP_FREE char *other = rig_body(other_prompt, 2, false);
	g_autoptr(http_answer_t) answer = NULL;

	warm(rig, body);
	await_events(rig, WARM_TOKENS / 100);
	standin_control(rig->engine_ports[0], "{\"drop_events\":2}");
	answer = rig_chat(rig, 0, other);
	g_assert_cmpint(answer->status, ==, 200);
	g_assert_true(WAIT_UNTIL(
		rig_metric(rig, 0, "amv_cache_event_gaps_total") == 1,
		HARNESS_WAIT_MS));
	g_assert_cmpint(believed_tokens(rig, "c1", body), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/beliefs/incarnation", test_new_incarnation);
	g_test_add_func("/beliefs/weights", test_new_weights);
	g_test_add_func("/beliefs/customers", test_customers);
	g_test_add_func("/beliefs/events-evict", test_events_evict);
	g_test_add_func("/beliefs/events-gap", test_events_gap);
	return g_test_run();
}
