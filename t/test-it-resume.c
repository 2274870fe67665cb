/* Resuming streams whose router stops or dies. */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "process/cleanup.h"
#include "t/lib/generate.h"
#include "t/lib/rig.h"

enum {
	/** Length of an answer whose stream is interrupted. */
	ANSWER_TOKENS = 60,
	/** Events received before the router is stopped or killed. */
	EVENTS_BEFORE_FAULT = 12,
};

/* On a planned stop, open streams complete and new requests are refused. */
static void test_graceful_stop(void)
{
	rig_options_t options = { .engines = 1,
				  .routers = 1,
				  .router_args = { "--drain-ms", "500" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("stopping", ANSWER_TOKENS, true);
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	g_autofree char *ready =
		g_strdup_printf("http://127.0.0.1:%u/readyz", rig->ports[0]);
	g_autoptr(http_answer_t) refused = NULL;

	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	program_signal(rig->routers[0], SIGTERM);
	g_assert_true(WAIT_UNTIL(!url_answers(ready), HARNESS_WAIT_MS));
	refused = rig_chat(rig, 0, body);
	rig_assert_refused(refused, 503, "stopping");
	rig_assert_complete(stream, body);
	g_assert_cmpint(program_wait(rig->routers[0], HARNESS_WAIT_MS), ==, 0);
}

/* When the stop limit is exceeded, open streams end with an error event. */
static void test_stop_limit(void)
{
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.router_args = { "--stop-limit-ms", "100", "--drain-ms", "0" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("endless", 100000, true);
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	const sse_event_t *last;

	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	program_signal(rig->routers[0], SIGTERM);
	http_stream_wait(stream);
	last = http_stream_event(stream, http_stream_count(stream) - 1);
	g_assert_cmpstr(last->event, ==, "error");
	g_assert_nonnull(strstr(last->data, "\"stopping\""));
	g_assert_cmpint(program_wait(rig->routers[0], HARNESS_WAIT_MS), ==, 0);
}

/** Kills the router of a stream. @return id of the last event received */
static char *kill_router_midstream(rig_t *rig, http_stream_t *stream)
{
	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) >= EVENTS_BEFORE_FAULT,
			   HARNESS_WAIT_MS));
	program_signal(rig->routers[0], SIGKILL);
	http_stream_wait(stream);
	g_assert_false(http_stream_is_done(stream));
	return g_strdup(
		http_stream_event(stream, http_stream_count(stream) - 1)->id);
}

static void assert_joined(http_stream_t *first, http_stream_t *second,
			  const char *body)
{
	g_autofree char *expected = generate_answer(body);
	g_autofree char *first_text = http_stream_text(first);
	g_autofree char *joined = NULL;
	g_autofree char *second_text = NULL;

	http_stream_wait(second);
	second_text = http_stream_text(second);
	joined = g_strconcat(first_text, second_text, NULL);
	g_assert_cmpstr(joined, ==, expected);
	g_assert_true(http_stream_is_done(second));
}

/* When the router dies, the client resumes through another router, which shares
 * no state with the first, on the engine that still holds the stream. */
static void test_router_lost(void)
{
	rig_options_t options = { .engines = 2, .routers = 2 };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("router lost", ANSWER_TOKENS, true);
	CLEANUP_FREE char *other =
		rig_body("another body", ANSWER_TOKENS, true);
	g_autoptr(http_stream_t) first =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	g_autofree char *id = kill_router_midstream(rig, first);
	g_autoptr(http_stream_t) wrong_body =
		rig_stream(rig, 1, RIG_KEY_1, other, id);
	g_autoptr(http_stream_t) wrong_customer =
		rig_stream(rig, 1, RIG_KEY_2, body, id);
	g_autoptr(http_stream_t) second = NULL;

	rig_assert_refused(http_stream_wait(wrong_body), 400, "resume_token");
	rig_assert_refused(http_stream_wait(wrong_customer), 400,
			   "resume_token");
	second = rig_stream(rig, 1, RIG_KEY_1, body, id);
	assert_joined(first, second, body);
	g_assert_cmpint(rig_engine_sum(rig, "requests_run"), ==, 1);
}

static char *with_resume_text(const char *body, const char *text)
{
	CLEANUP_JSON json_t *value = json_loads(body, 0, NULL);

	json_object_set_new(value, "resume_text", json_string(text));
	return json_dumps(value, JSON_COMPACT);
}

/* When router and engine die, another engine resumes from the text that the
 * client sends, and only if that is exactly the text received so far. */
static void test_router_and_engine_lost(void)
{
	rig_options_t options = { .engines = 2, .routers = 2 };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("both lost", ANSWER_TOKENS, true);
	g_autoptr(http_stream_t) first =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);
	g_autofree char *id = kill_router_midstream(rig, first);
	g_autofree char *text = http_stream_text(first);
	CLEANUP_FREE char *with_text = with_resume_text(body, text);
	CLEANUP_FREE char *with_other = with_resume_text(body, "other");
	g_autoptr(http_stream_t) no_text = NULL;
	g_autoptr(http_stream_t) other_text = NULL;
	g_autoptr(http_stream_t) second = NULL;

	rig_kill_engine(rig, rig_busy_engine(rig));
	no_text = rig_stream(rig, 1, RIG_KEY_1, body, id);
	g_assert_cmpint(http_stream_wait(no_text)->status, ==, 410);
	other_text = rig_stream(rig, 1, RIG_KEY_1, with_other, id);
	rig_assert_refused(http_stream_wait(other_text), 400, "bad_field");
	second = rig_stream(rig, 1, RIG_KEY_1, with_text, id);
	assert_joined(first, second, body);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/resume/graceful-stop", test_graceful_stop);
	g_test_add_func("/resume/stop-limit", test_stop_limit);
	g_test_add_func("/resume/router-lost", test_router_lost);
	g_test_add_func("/resume/router-and-engine-lost",
			test_router_and_engine_lost);
	return g_test_run();
}
