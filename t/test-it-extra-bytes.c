/* A gateway before endpoints that send bytes which belong to no request, where
 * their next answer is expected. */
#include <glib.h>
#include <string.h>

#include "t/lib/platform_rig.h"

enum {
	/** Requests until each endpoint has had one. */
	REQUESTS_MAX = 50,
	/** Streams of which at least one goes on at the other engine. */
	RESUMED_STREAMS = 4,
	/** So many failures eject both endpoints. */
	CLIENT_ERRORS = 10,
};

/** In the bytes of no request, and in no answer. */
#define EXTRA "extra"

typedef struct extra_case {
	const char *name;
	const char *bytes;
} extra_case_t;

static const extra_case_t extra_cases[] = {
	{ "success", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" EXTRA },
	{ "events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		    "Content-Length: 19\r\n\r\nid: 3\ndata: " EXTRA "\n\n" },
	{ "stamped", "HTTP/1.1 200 OK\r\nResponse-Stamp: t\r\n"
		     "Content-Length: 5\r\n\r\n" EXTRA },
	{ "no-content", "HTTP/1.1 204 No Content\r\n\r\n" },
	{ "no-length", "HTTP/1.1 200 OK\r\n\r\n" EXTRA },
	{ "redirect", "HTTP/1.1 302 Found\r\nLocation: /" EXTRA "\r\n"
		      "Content-Length: 0\r\n\r\n" },
	{ "not-found",
	  "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\n" EXTRA },
	{ "stamped-not-found", "HTTP/1.1 404 Not Found\r\nResponse-Stamp: t\r\n"
			       "Content-Length: 5\r\n\r\n" EXTRA },
	{ "failure", "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n" EXTRA },
};

typedef struct request_case {
	const char *name;
	const char *method;
	const char *path;
	bool stream;
	bool repeatable; /**< Another endpoint may answer. */
} request_case_t;

static const request_case_t request_cases[] = {
	{ "lookup", "GET", "/get/1", false, true },
	{ "order", "POST", "/order/1", false, false },
	{ "stream-once", "POST", "/stream/once/1", true, false },
	{ "stream-again", "POST", "/stream/again/1", true, true },
};

typedef struct extra_test {
	const request_case_t *request;
	const extra_case_t *extra;
} extra_test_t;

typedef struct extra_rig {
	platform_rig_t rig;
	const extra_test_t *test;
	endpoint_t *endpoints; /**< That the requests go to. */
} extra_rig_t;

static void start(extra_rig_t *rig, const extra_test_t *test)
{
	rig->test = test;
	platform_rig_start(&rig->rig, 1);
	rig->endpoints =
		test->request->stream ? rig->rig.engines : rig->rig.services;
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig->endpoints[i].extra_bytes = test->extra->bytes;
}

/* Sends a request; returns whether it was served. An answer is that of an
 * endpoint which ran it, or the gateway's own; for a request that must not run
 * again this one says that it may have run. */
static bool is_served(const extra_rig_t *rig)
{
	const request_case_t *request = rig->test->request;
	g_autofree char *answer = platform_rig_request(
		&rig->rig, 0, request->method, request->path,
		request->stream ? MODEL_HEADERS : "");

	g_test_message("%.80s", answer);
	g_assert_null(strstr(answer, EXTRA));
	if (!g_str_has_prefix(answer, "HTTP/1.1 200")) {
		g_assert_true(g_str_has_prefix(
			answer,
			request->repeatable ? "HTTP/1.1 50" : "HTTP/1.1 502"));
		return false;
	}
	g_assert_nonnull(strstr(answer, "Response-Stamp: s\r\n"));
	if (!raw_is_whole(answer))
		return false;
	if (request->stream)
		platform_rig_assert_events(answer);
	else
		g_assert_nonnull(strstr(answer, "for r-1"));
	return true;
}

/* Failure: a client got a success without a receipt, or another answer that no
 * endpoint gave to its request (rule MIXED, review/9). */
static void test_both(const void *data)
{
	extra_rig_t rig;

	start(&rig, data);
	platform_rig_set_behaviour(rig.endpoints, EXTRA_FIRST);
	is_served(&rig);
	platform_rig_stop(&rig.rig);
}

/* Failure: likewise, or a request that may be repeated was not served by the
 * endpoint that answers. */
static void test_one(const void *data)
{
	const extra_test_t *test = data;
	extra_rig_t rig;

	start(&rig, test);
	rig.endpoints[0].behaviour = EXTRA_FIRST;
	for (int i = 0; i < REQUESTS_MAX && !rig.endpoints[0].arrivals; i++)
		g_assert_true(is_served(&rig) || !test->request->repeatable);
	g_assert_cmpuint(rig.endpoints[0].arrivals, >, 0);
	platform_rig_stop(&rig.rig);
}

/* Failure: a stream that went on at another engine got events from bytes that
 * belong to no request. */
static void test_resumed(const void *data)
{
	extra_rig_t rig;

	start(&rig, data);
	rig.endpoints[0].behaviour = TRUNCATE_EVENT;
	rig.endpoints[1].behaviour = EXTRA_FIRST;
	for (int i = 0; i < RESUMED_STREAMS; i++)
		is_served(&rig);
	platform_rig_stop(&rig.rig);
}

/* Failure: an endpoint got no more requests because of what bytes that belong
 * to no request said of it. */
static void test_endpoint_state(void)
{
	static const extra_case_t extra = {
		"state",
		"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n"
		"Content-Length: 5\r\n\r\n" EXTRA
	};
	const extra_test_t test = { &request_cases[0], &extra };
	extra_rig_t rig;

	start(&rig, &test);
	platform_rig_set_behaviour(rig.endpoints, EXTRA_FIRST);
	g_assert_false(is_served(&rig));
	platform_rig_set_behaviour(rig.endpoints, ANSWER);
	g_assert_true(is_served(&rig));
	platform_rig_stop(&rig.rig);
}

/* Failure: a client whose requests a server could not read got it ejected. */
static void test_client_error(void)
{
	static const extra_case_t extra = {
		"client-error", "HTTP/1.1 431 X\r\nContent-Length: 0\r\n\r\n"
	};
	const extra_test_t test = { &request_cases[0], &extra };
	extra_rig_t rig;

	start(&rig, &test);
	platform_rig_set_behaviour(rig.endpoints, EXTRA_FIRST);
	for (int i = 0; i < CLIENT_ERRORS; i++)
		g_assert_false(is_served(&rig));
	g_assert_null(strstr(program_output(rig.rig.gateways[0]),
			     "name=endpoint_ejected"));
	platform_rig_set_behaviour(rig.endpoints, ANSWER);
	g_assert_true(is_served(&rig));
	platform_rig_stop(&rig.rig);
}

/* Failure: an engine kept old weights, as bytes that belong to no request were
 * taken for its answer to an order that it did not take. */
static void test_order_to_engine(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig.engines[i].extra_bytes = extra_cases[0].bytes;
		rig.engines[i].drops_orders = true;
	}
	platform_rig_set_behaviour(rig.engines, EXTRA_FIRST);
	platform_rig_put_target_weights(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(
			WAIT_UNTIL(rig.engines[i].orders > 0, HARNESS_WAIT_MS));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].drops_orders = false;
	platform_rig_set_behaviour(rig.engines, ANSWER);
	g_assert_true(WAIT_UNTIL(platform_rig_have_weights(&rig, 2),
				 HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

static void add_test(const char *name, const request_case_t *request,
		     const extra_case_t *extra, GTestDataFunc function)
{
	extra_test_t *test = g_new(extra_test_t, 1);
	g_autofree char *path = g_strdup_printf(
		"/it-extra-bytes/%s/%s/%s", name, request->name, extra->name);

	*test = (extra_test_t){ request, extra };
	g_test_add_data_func_full(path, test, function, g_free);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed case ends what it started. */
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(extra_cases); j++) {
			const request_case_t *request = &request_cases[i];
			const extra_case_t *extra = &extra_cases[j];

			add_test("both", request, extra, test_both);
			add_test("one", request, extra, test_one);
			if (request->stream && request->repeatable)
				add_test("resumed", request, extra,
					 test_resumed);
		}
	}
	g_test_add_func("/it-extra-bytes/endpoint-state", test_endpoint_state);
	g_test_add_func("/it-extra-bytes/client-error", test_client_error);
	g_test_add_func("/it-extra-bytes/order-to-engine",
			test_order_to_engine);
	return g_test_run();
}
