/*
 * Runs gateway processes with clients, endpoints and a store that the test
 * simulates.
 */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "t/lib/platform_rig.h"

static void assert_header(const endpoint_t *endpoint, const char *name,
			  const char *value)
{
	CLEANUP_FREE char *found = raw_header(endpoint->last_head, name);

	g_assert_cmpstr(found, ==, value);
}

/* Failure: a reserved header of the client was trusted, or its key was
 * forwarded. */
static void test_headers(void)
{
	platform_rig_t rig;
	const endpoint_t *endpoint;
	char *answer;

	platform_rig_start(&rig, 1);
	answer = platform_rig_request(
		&rig, 0, "GET", "/get/1",
		"Tenant: other\r\nHold: x\r\nCache-Salt: y\r\n"
		"X-Own: kept\r\n");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_nonnull(strstr(answer, "Response-Stamp: s"));
	endpoint = platform_rig_used_endpoint(rig.services);
	assert_header(endpoint, "Tenant", "cust");
	assert_header(endpoint, "Key", NULL);
	assert_header(endpoint, "Hold", NULL);
	assert_header(endpoint, "Cache-Salt", NULL);
	assert_header(endpoint, "X-Own", "kept");
	assert_header(endpoint, "Expect-Instance", endpoint->id);
	g_free(answer);
	platform_rig_stop(&rig);
}

static char *cache_salt_of(platform_rig_t *rig, const char *key)
{
	g_autofree char *request = g_strdup_printf(
		"POST /stream/once/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: r-%s\r\nKey: %s\r\nConnection: close\r\n" MODEL_HEADERS
		"\r\n",
		key, key);
	uint32_t before[ENDPOINT_COUNT];

	for (int i = 0; i < ENDPOINT_COUNT; i++)
		before[i] = rig->engines[i].arrivals;
	g_free(raw_call(rig->ports[0], request));
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		if (rig->engines[i].arrivals > before[i])
			return raw_header(rig->engines[i].last_head,
					  "Cache-Salt");
	}
	return NULL;
}

/* Failure: an isolated customer shared the cache of another one. */
static void test_isolated_customer(void)
{
	platform_rig_t rig;
	char *shared;
	char *isolated;

	platform_rig_start(&rig, 1);
	shared = cache_salt_of(&rig, "key-1");
	isolated = cache_salt_of(&rig, "key-w");
	g_assert_nonnull(shared);
	g_assert_nonnull(isolated);
	g_assert_cmpstr(shared, !=, isolated);
	g_assert_nonnull(strstr(isolated, "isolated-cust"));
	free(shared);
	free(isolated);
	platform_rig_stop(&rig);
}

typedef struct answer_case {
	const char *name; /**< The failure it guards against. */
	const char *method;
	const char *path;
	behaviour_t first;
	behaviour_t second;
	const char *status;
	uint32_t arrivals;
} answer_case_t;

static const answer_case_t answer_cases[] = {
	{ "an order was sent again after it may have run", "POST", "/order/1",
	  RESET_CONNECTION, RESET_CONNECTION, "HTTP/1.1 502", 1 },
	{ "an order that ran was reported as not run", "POST", "/order/1", FAIL,
	  FAIL, "HTTP/1.1 500", 1 },
	{ "an order that did not run was not retried", "POST", "/order/1",
	  REFUSE, REFUSE, "HTTP/1.1 503", 2 },
	{ "a lookup failed because its endpoint failed", "GET", "/get/1",
	  RESET_CONNECTION, ANSWER, "HTTP/1.1 200", 0 },
	{ "a lookup failed though another could serve it", "GET", "/get/1",
	  FAIL, ANSWER, "HTTP/1.1 200", 0 },
	{ "an answer without a length was dropped", "GET", "/get/1", NO_LENGTH,
	  NO_LENGTH, "HTTP/1.1 200", 1 },
	{ "an answer that was reset on the way was passed on as complete",
	  "GET", "/get/1", NO_LENGTH_RESET, NO_LENGTH_RESET, "HTTP/1.1 502",
	  2 },
	{ "an order whose answer was reset was passed on as complete", "POST",
	  "/order/1", NO_LENGTH_RESET, NO_LENGTH_RESET, "HTTP/1.1 502", 1 },
	{ "a lookup failed because its answer was reset on the way", "GET",
	  "/get/1", NO_LENGTH_RESET, ANSWER, "HTTP/1.1 200", 0 },
	{ "a route that does not exist was served", "GET", "/none/1", ANSWER,
	  ANSWER, "HTTP/1.1 404", 0 },
};

static void test_answers(const void *data)
{
	const answer_case_t *test_case = data;
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	rig.services[0].behaviour = test_case->first;
	rig.services[1].behaviour = test_case->second;
	answer = platform_rig_request(&rig, 0, test_case->method,
				      test_case->path, "");
	g_assert_true(g_str_has_prefix(answer, test_case->status));
	if (test_case->arrivals)
		g_assert_cmpuint(platform_rig_arrivals(rig.services), ==,
				 test_case->arrivals);
	if (strstr(test_case->status, "503"))
		g_assert_nonnull(strstr(answer, "Retry-After: 0."));
	g_free(answer);
	platform_rig_stop(&rig);
}

/* Failure: a client got the answer to another request, which arrived late on a
 * reused connection. */
static void test_extra_answer(void)
{
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.services, WRONG_ID_FIRST);
	answer = platform_rig_request(&rig, 0, "POST", "/order/1", "");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_null(strstr(answer, "not yours"));
	g_assert_nonnull(strstr(answer, "desk-"));
	g_free(answer);
	platform_rig_stop(&rig);
}

/* Failure: an endpoint sent an earlier refusal once more, and the client was
 * told "not run" for a request that ran, or it ran at a second endpoint. */
static void test_stale_refusal(void)
{
	static const behaviour_t behaviours[] = { STALE_REFUSAL,
						  NAMELESS_REFUSAL,
						  NAMELESS_MISDIRECTED };

	for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++) {
		platform_rig_t rig;
		char *answer;

		platform_rig_start(&rig, 1);
		platform_rig_set_behaviour(rig.services, behaviours[i]);
		answer = platform_rig_request(&rig, 0, "POST", "/order/1", "");
		g_assert_false(g_str_has_prefix(answer, "HTTP/1.1 503"));
		g_assert_false(g_str_has_prefix(answer, "HTTP/1.1 421"));
		g_assert_cmpuint(platform_rig_arrivals(rig.services), ==, 1);
		g_free(answer);
		platform_rig_stop(&rig);
	}
}

/* Failure: a stream that broke off within an event lost or repeated an event
 * when it resumed at another engine. */
static void test_stream_resumes(void)
{
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	/* The engines take turns: one breaks off, the other resumes. */
	rig.engines[0].behaviour = TRUNCATE_EVENT;
	for (int i = 0; i < 6; i++) {
		answer = platform_rig_request(&rig, 0, "POST",
					      "/stream/again/1", MODEL_HEADERS);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		platform_rig_assert_events(answer);
		g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
		g_free(answer);
		rig.engines[0].behaviour =
			rig.engines[0].behaviour == TRUNCATE_EVENT
				? ANSWER
				: TRUNCATE_EVENT;
		rig.engines[1].behaviour =
			rig.engines[0].behaviour == TRUNCATE_EVENT
				? ANSWER
				: TRUNCATE_EVENT;
	}
	g_assert_cmpuint(platform_rig_arrivals(rig.engines), >, 6);
	platform_rig_stop(&rig);
}

/* Failure: the rest of an answer was lost while its connection stayed open, and
 * the client waited until its own timeout. */
static void test_stream_stalls(void)
{
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.engines, STALL);
	rig.engines[1].behaviour = ANSWER;
	for (int i = 0; i < 2; i++) {
		answer = platform_rig_request(&rig, 0, "POST",
					      "/stream/again/1", MODEL_HEADERS);
		platform_rig_assert_events(answer);
		g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
		g_free(answer);
		rig.engines[0].behaviour = ANSWER;
		rig.engines[1].behaviour = STALL;
	}
	g_assert_cmpuint(platform_rig_arrivals(rig.engines), >=, 3);
	platform_rig_stop(&rig);
}

/* Failure: a stream was resumed at an engine that failed it, and that engine's
 * error ended the answer as if it were complete (found by the soak test). */
static void test_resume_fails(void)
{
	static const behaviour_t second_behaviours[] = { FAIL, REFUSE,
							 RESET_CONNECTION };
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(second_behaviours); i++) {
		/* Either engine may be the first. */
		for (int first = 0; first < ENDPOINT_COUNT; first++) {
			rig.engines[first].behaviour = TRUNCATE_EVENT;
			rig.engines[1 - first].behaviour = second_behaviours[i];
			answer = platform_rig_request(&rig, 0, "POST",
						      "/stream/again/1",
						      MODEL_HEADERS);
			g_assert_false(
				g_str_has_suffix(answer, "0\r\n\r\n") &&
				g_str_has_prefix(answer, "HTTP/1.1 200"));
			/* Nor does it stand in the middle. */
			g_assert_null(strstr(answer + 1, "HTTP/1.1"));
			if (g_str_has_prefix(answer, "HTTP/1.1 200"))
				g_assert_null(strstr(answer, "bad"));
			g_free(answer);
		}
	}
	platform_rig_stop(&rig);
}

/* Failure: a stream that may not be repeated was repeated, or its truncated
 * answer looked complete. */
static void test_stream_once(void)
{
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.engines, TRUNCATE_EVENT);
	answer = platform_rig_request(&rig, 0, "POST", "/stream/once/1",
				      MODEL_HEADERS);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_false(g_str_has_suffix(answer, "0\r\n\r\n"));
	g_assert_cmpuint(platform_rig_arrivals(rig.engines), ==, 1);
	g_free(answer);
	platform_rig_stop(&rig);
}

enum {
	BURST = 60,
};

typedef struct burst_call {
	const platform_rig_t *rig;
	pthread_barrier_t *barrier;
	int number;
	pthread_t thread;
} burst_call_t;

static void *burst_main(void *context)
{
	const burst_call_t *call = context;
	char *request = g_strdup_printf(
		"POST /stream/once/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: r-%d\r\nKey: key-1\r\nDeadline-Ms: 200\r\n"
		"Connection: close\r\n" MODEL_HEADERS "\r\n",
		call->number);

	pthread_barrier_wait(call->barrier);
	g_free(raw_call(call->rig->ports[0], request));
	g_free(request);
	return NULL;
}

/* Failure: timers of requests that arrived together fired early, by the time
 * that the event loop had spent on them. Their endpoints were taken for slow,
 * and streams that may not be repeated went to a second engine (found by the
 * soak test). */
static void test_time_limit(void)
{
	platform_rig_t rig;
	burst_call_t calls[BURST];
	pthread_barrier_t barrier;
	uint32_t sent = 0;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.engines, HOLD);
	pthread_barrier_init(&barrier, NULL, BURST);
	for (int i = 0; i < BURST; i++) {
		calls[i] = (burst_call_t){ &rig, &barrier, i, 0 };
		pthread_create(&calls[i].thread, NULL, burst_main, &calls[i]);
	}
	for (int i = 0; i < BURST; i++)
		pthread_join(calls[i].thread, NULL);
	for (const char *at = program_output(rig.gateways[0]);
	     (at = strstr(at, "name=request_placed")); at++)
		sent++;
	g_assert_cmpuint(sent, ==, BURST);
	g_assert_null(strstr(program_output(rig.gateways[0]), "why=slow"));
	g_assert_null(strstr(program_output(rig.gateways[0]), "why=stalled"));
	pthread_barrier_destroy(&barrier);
	platform_rig_stop(&rig);
}

/* Failure: a store outage stopped requests, or a change made during the outage
 * was never applied. */
static void test_store_outage(void)
{
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	platform_store_set_down(rig.store, true);
	answer = platform_rig_request(&rig, 0, "GET", "/get/1", "");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_free(answer);
	platform_rig_put_desired(&rig, 2, "key-2");
	platform_store_set_down(rig.store, false);
	g_assert_true(WAIT_UNTIL(({
					 char *text = platform_rig_request(
						 &rig, 0, "GET", "/get/1", "");
					 bool rejected = g_str_has_prefix(
						 text, "HTTP/1.1 401");

					 g_free(text);
					 rejected;
				 }),
				 HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/* Whether the first endpoint gets none of 40 requests. Each goes to one of two
 * endpoints, so that this does not happen by chance. */
static bool gets_no_requests(platform_rig_t *rig)
{
	uint32_t before = rig->services[0].arrivals;

	for (int i = 0; i < 40; i++)
		g_free(platform_rig_request(rig, 0, "GET", "/get/1", ""));
	return rig->services[0].arrivals == before;
}

/* Failure: a leaving endpoint got requests after the time limit of 2 s. */
static void test_leaving(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	platform_rig_put_entry(&rig.services[0], "draining");
	g_assert_true(WAIT_UNTIL(gets_no_requests(&rig), 2000));
	g_assert_true(gets_no_requests(&rig));
	platform_rig_stop(&rig);
}

enum {
	/** Time from the moment at which the store answers again until a
	 * leaving endpoint gets no requests, ms: instances are held to the
	 * limit of 2 s once the store has been stable for 3 s. */
	LEAVING_AFTER_SILENCE_MS = 5000,
	/** Likewise until engines have new weights; the limit is 8 s. */
	WEIGHTS_AFTER_SILENCE_MS = 11000,
};

/* Makes the next watch of a kind one that the store never answers. */
static void lose_watch(platform_rig_t *rig, const char *kind,
		       void (*change)(platform_rig_t *rig))
{
	platform_store_ignore(rig->store, kind);
	change(rig);
	g_assert_true(WAIT_UNTIL(platform_store_ignored(rig->store) > 0,
				 HARNESS_WAIT_MS));
	platform_store_ignore(rig->store, NULL);
}

static void change_entry(platform_rig_t *rig)
{
	platform_rig_put_entry(&rig->services[0], "ready");
}

static void change_weights(platform_rig_t *rig)
{
	platform_rig_put_target_weights(rig, 2);
}

/* Failure: a watch that was sent while the store was silent for 0.3 s was not
 * answered, and a leaving endpoint got requests for 20 s (rule DRAIN). */
static void test_unanswered_endpoints(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	lose_watch(&rig, "servers", change_entry);
	platform_rig_put_entry(&rig.services[0], "draining");
	g_assert_true(
		WAIT_UNTIL(gets_no_requests(&rig), LEAVING_AFTER_SILENCE_MS));
	platform_rig_stop(&rig);
}

/* Failure: likewise, and engines kept old weights. */
static void test_unanswered_weights(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	lose_watch(&rig, "versions", change_weights);
	platform_rig_put_target_weights(&rig, 3);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(WAIT_UNTIL(rig.engines[i].weights == 3,
					 WEIGHTS_AFTER_SILENCE_MS));
	platform_rig_stop(&rig);
}

/* Failure: engines kept old weights, or got orders from two instances; or
 * requests demanded the old weights. */
static void test_new_weights(void)
{
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 2);
	platform_rig_put_target_weights(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(WAIT_UNTIL(rig.engines[i].weights == 2,
					 HARNESS_WAIT_MS));
	g_assert_true(WAIT_UNTIL(
		({
			char *text = platform_rig_request(&rig, 1, "POST",
							  "/stream/once/1",
							  MODEL_HEADERS);

			g_free(text);
			strstr(platform_rig_used_endpoint(rig.engines)
				       ->last_head,
			       "Expect-Version: 2") != NULL;
		}),
		HARNESS_WAIT_MS));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_cmpuint(rig.engines[i].orders, ==, 1);
	answer = platform_rig_request(&rig, 0, "POST", "/stream/again/1",
				      MODEL_HEADERS);
	platform_rig_assert_events(answer);
	g_free(answer);
	platform_rig_stop(&rig);
}

enum {
	/** More than the stack of a process holds nested steps for. */
	UNREACHABLE_ENGINES = 400,
};

/* Failure: engines whose addresses cannot be connected to ended the holder of
 * the weights lease when it asked them for their state. */
static void test_unreachable_engines(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	for (int i = 0; i < UNREACHABLE_ENGINES; i++) {
		g_autofree char *name = g_strdup_printf("gone-%d", i);

		/* connect() to a broadcast address fails at once. */
		platform_store_put(
			rig.store, "servers", name,
			json_pack("{s:s,s:s,s:s,s:i,s:s,s:[{s:s,s:i}],s:i}",
				  "service", "llm", "addr",
				  "255.255.255.255:80", "zone", "z", "slots", 8,
				  "state", "ready", "models", "name", "m",
				  "version", 1, "born", 5000 + i));
	}
	platform_rig_put_target_weights(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(WAIT_UNTIL(rig.engines[i].weights == 2,
					 2 * HARNESS_WAIT_MS));
	g_assert_true(program_is_running(rig.gateways[0]));
	platform_rig_stop(&rig);
}

/* Failure: a request that was retried at another endpoint after seconds was
 * placed with the state of its arrival: that endpoint had been leaving for
 * 3.8 s (enlarged deployment kiln, simulated day trouble-1). */
static void test_retry_state(void)
{
	platform_rig_t rig;
	platform_rig_call_t call;
	endpoint_t *other;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.engines, STALL);
	platform_rig_start_call(&call, &rig, "POST", "/stream/again/1",
				MODEL_HEADERS);
	g_assert_true(WAIT_UNTIL(platform_rig_arrivals(rig.engines) == 1,
				 HARNESS_WAIT_MS));
	other = &rig.engines[rig.engines[0].arrivals ? 1 : 0];
	platform_rig_put_entry(other, "draining");
	platform_rig_join_call(&call);
	g_assert_cmpuint(other->arrivals, ==, 0);
	g_free(call.answer);
	platform_rig_stop(&rig);
}

/* Failure: a request was retried at another endpoint after its key had been
 * revoked. */
static void test_retry_key(void)
{
	platform_rig_t rig;
	platform_rig_call_t call;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.engines, STALL);
	platform_rig_start_call(&call, &rig, "POST", "/stream/again/1",
				MODEL_HEADERS);
	g_assert_true(WAIT_UNTIL(platform_rig_arrivals(rig.engines) == 1,
				 HARNESS_WAIT_MS));
	platform_rig_put_desired(&rig, 5, "key-2");
	platform_rig_join_call(&call);
	g_assert_cmpuint(platform_rig_arrivals(rig.engines), ==, 1);
	g_free(call.answer);
	platform_rig_stop(&rig);
}

/* Failure: a client that sent an incomplete or malformed request blocked or
 * crashed the process. */
static void test_bad_clients(void)
{
	static const char *const bad_requests[] = {
		"GET /get/1 HTTP/1.1\r\nHost: h.example\r\n",
		"POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
		"\x16\x03\x01\x02\x00\x01",
		"GET /get/1 HTTP/1.1\r\n\r\n",
	};
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
		answer = raw_call(rig.ports[0], bad_requests[i]);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 4") ||
			      !*answer);
		g_free(answer);
	}
	answer = platform_rig_request(&rig, 0, "GET", "/get/1", "");
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_cmpuint(platform_rig_arrivals(rig.services), ==, 1);
	g_free(answer);
	platform_rig_stop(&rig);
}

typedef struct log_case {
	const char *name;
	const char *path;
	behaviour_t behaviour;
	const char *status;
	const char *log_lines[3]; /**< Expected in this order. */
} log_case_t;

/* The three examples of docs/OPERATIONS.md. Failure: the log did not show the
 * cause of a request's failure under the request's id. */
static const log_case_t log_cases[] = {
	{ "order-refused",
	  "/order/1",
	  REFUSE,
	  "HTTP/1.1 503",
	  { "name=request_attempt_failed id=r-1 endpoint=desk-",
	    "why=not_run status=503", "outcome=overloaded status=503" } },
	{ "order-unknown",
	  "/order/1",
	  RESET_CONNECTION,
	  "HTTP/1.1 502",
	  { "name=request_placed id=r-1 endpoint=desk-", "why=lost",
	    "outcome=endpoint_lost status=502" } },
	{ "stream-broken",
	  "/stream/once/1",
	  TRUNCATE_EVENT,
	  "HTTP/1.1 200",
	  { "name=request_placed id=r-1 endpoint=llm-", "last_event=2",
	    "outcome=endpoint_lost status=0" } },
};

static bool has_log_lines(platform_rig_t *rig, const log_case_t *log_case)
{
	const char *at = program_output(rig->gateways[0]);

	for (size_t i = 0; at && i < G_N_ELEMENTS(log_case->log_lines); i++)
		at = strstr(at, log_case->log_lines[i]);
	return at != NULL;
}

static void test_log_trace(const void *data)
{
	const log_case_t *log_case = data;
	platform_rig_t rig;
	char *answer;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.services, log_case->behaviour);
	platform_rig_set_behaviour(rig.engines, log_case->behaviour);
	answer = platform_rig_request(&rig, 0, "POST", log_case->path,
				      MODEL_HEADERS);
	g_assert_true(g_str_has_prefix(answer, log_case->status));
	g_assert_true(
		WAIT_UNTIL(has_log_lines(&rig, log_case), HARNESS_WAIT_MS));
	g_free(answer);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-gateway/headers", test_headers);
	g_test_add_func("/it-gateway/extra-answer", test_extra_answer);
	g_test_add_func("/it-gateway/stale-refusal", test_stale_refusal);
	g_test_add_func("/it-gateway/stream-resumes", test_stream_resumes);
	g_test_add_func("/it-gateway/stream-stalls", test_stream_stalls);
	g_test_add_func("/it-gateway/isolated-customer",
			test_isolated_customer);
	g_test_add_func("/it-gateway/retry-state", test_retry_state);
	g_test_add_func("/it-gateway/retry-key", test_retry_key);
	g_test_add_func("/it-gateway/resume-fails", test_resume_fails);
	g_test_add_func("/it-gateway/stream-once", test_stream_once);
	g_test_add_func("/it-gateway/time-limit", test_time_limit);
	g_test_add_func("/it-gateway/store-outage", test_store_outage);
	g_test_add_func("/it-gateway/leaving", test_leaving);
	g_test_add_func("/it-gateway/unanswered-endpoints",
			test_unanswered_endpoints);
	g_test_add_func("/it-gateway/unanswered-weights",
			test_unanswered_weights);
	g_test_add_func("/it-gateway/new-weights", test_new_weights);
	g_test_add_func("/it-gateway/unreachable-engines",
			test_unreachable_engines);
	g_test_add_func("/it-gateway/bad-clients", test_bad_clients);
	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		char *path = g_strdup_printf("/it-gateway/answers/%zu", i);

		g_test_add_data_func(path, &answer_cases[i], test_answers);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(log_cases); i++) {
		char *path = g_strdup_printf("/it-gateway/log-trace/%s",
					     log_cases[i].name);

		g_test_add_data_func(path, &log_cases[i], test_log_trace);
		g_free(path);
	}
	return g_test_run();
}
