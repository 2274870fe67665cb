/*
 * A gateway before endpoints whose answers end within their head, or within a
 * body of known length: at each byte, on new and on kept connections, closed in
 * order or reset, for each kind of request.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib/platform_rig.h"

/** Length of the request's id in this file, bytes, like that of `%s` there. */
#define ID_FORMAT "c-%05u"

enum {
	ID_BYTES = 7,
	ID_PLACE_BYTES = 2,
	/** Length of an answer that is relayed as it arrives, and where it
	 * ends.
	 */
	OVERSIZED_BYTES = 400000,
	OVERSIZED_SENT_BYTES = 300000,
	/** More than the receive buffer of a socket. */
	UPLOAD_BYTES = 900000,
};

#define HEAD "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
#define OVERSIZED_TEXT "400000"
#define TEN_BYTES "0123456789"

typedef struct cut_case {
	const char *name;
	const char *method;
	const char *path; /**< Without the number at its end. */
	const char *answer;
	bool repeatable; /**< Another endpoint may answer. */
} cut_case_t;

static const cut_case_t cut_cases[] = {
	{ "lookup", "GET", "/get/", HEAD "Content-Length: 10\r\n\r\n" TEN_BYTES,
	  true },
	{ "lookup-chunked", "GET", "/get/",
	  HEAD "Transfer-Encoding: chunked\r\n\r\na\r\n" TEN_BYTES
	       "\r\n0\r\n\r\n",
	  true },
	{ "lookup-no-length", "GET", "/get/", HEAD "\r\n", true },
	{ "lookup-empty", "GET", "/get/", HEAD "Content-Length: 0\r\n\r\n",
	  true },
	{ "order", "POST", "/order/",
	  HEAD "Content-Length: 10\r\n\r\n" TEN_BYTES, false },
	{ "order-no-length", "POST", "/order/", HEAD "\r\n", false },
	{ "stream-once", "POST", "/stream/once/",
	  HEAD "Content-Type: text/event-stream\r\n"
	       "Transfer-Encoding: chunked\r\n\r\n",
	  false },
	{ "stream-again", "POST", "/stream/again/",
	  HEAD "Content-Type: text/event-stream\r\n\r\n", true },
};

typedef struct cut_rig {
	platform_rig_t rig;
	const cut_case_t *cut;
	endpoint_t *endpoints;
	uint32_t requests;
} cut_rig_t;

/* Each request has a prompt of its own, so that none is taken for one that has
 * crashed endpoints. */
static char *send_request(cut_rig_t *rig)
{
	uint32_t number = rig->requests++;
	g_autofree char *text = g_strdup_printf(
		"%s %s%u HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " ID_FORMAT
		"\r\nKey: key-1\r\nDeadline-Ms: 2000\r\nConnection: close\r\n"
		"%s%x:50,%x:50\r\n\r\n",
		rig->cut->method, rig->cut->path, number, number,
		"Model: m\r\nToken-Usage: 100,4\r\nPrompt-Prefix: ",
		2 * number + 1, 2 * number + 2);

	return raw_call(rig->rig.ports[0], text);
}

/* An order may have run, so it must not be called "not run". */
static void assert_failed(const cut_case_t *cut, const char *answer)
{
	if (g_str_has_prefix(answer, "HTTP/1.1 200")) {
		g_assert_false(raw_is_whole(answer));
		return;
	}
	if (cut->repeatable)
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 50"));
	else
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502"));
}

static void set_cut(cut_rig_t *rig, int endpoint, uint32_t bytes, bool reset)
{
	rig->endpoints[endpoint].cut_bytes = bytes;
	rig->endpoints[endpoint].cut_resets = reset;
	rig->endpoints[endpoint].behaviour = CUT;
}

/* Makes the gateway keep a connection; returns the endpoint at its end. The
 * other one may be ejected because of answers that were cut before. */
static int warm_up(cut_rig_t *rig)
{
	uint32_t before = rig->endpoints[0].arrivals;
	g_autofree char *answer = NULL;

	platform_rig_set_behaviour(rig->endpoints, ANSWER);
	answer = send_request(rig);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	return rig->endpoints[0].arrivals > before ? 0 : 1;
}

static void start(cut_rig_t *rig, const cut_case_t *cut)
{
	*rig = (cut_rig_t){ .cut = cut };
	platform_rig_start(&rig->rig, 1);
	rig->endpoints = strstr(cut->path, "stream") ? rig->rig.engines
						     : rig->rig.services;
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig->endpoints[i].cut_answer = cut->answer;
}

static uint32_t answer_bytes(const cut_case_t *cut)
{
	return (uint32_t)strlen(cut->answer) - ID_PLACE_BYTES + ID_BYTES;
}

/* Failure: an answer that broke off within its head, or before its end, reached
 * the client as a whole answer. */
static void test_cut(const void *data)
{
	const cut_case_t *cut = data;
	cut_rig_t rig;
	uint32_t arrived;

	start(&rig, cut);
	for (int reset = 0; reset < 2; reset++) {
		for (uint32_t bytes = 0; bytes < answer_bytes(cut); bytes++) {
			uint32_t sent = rig.requests;
			g_autofree char *answer = NULL;

			arrived = platform_rig_arrivals(rig.endpoints);
			for (int i = 0; i < ENDPOINT_COUNT; i++)
				set_cut(&rig, i, bytes, reset);
			answer = send_request(&rig);
			g_test_message("%s %u bytes reset=%d: %.60s", cut->name,
				       bytes, reset, answer);
			assert_failed(cut, answer);
			g_assert_cmpuint(platform_rig_arrivals(rig.endpoints) -
						 arrived,
					 >=, rig.requests - sent);
		}
	}
	platform_rig_stop(&rig.rig);
}

/* Failure: likewise, on a connection that had been kept; or a request that may
 * be repeated was not served by the endpoint that answers. */
static void test_cut_kept(const void *data)
{
	const cut_case_t *cut = data;
	cut_rig_t rig;

	start(&rig, cut);
	for (uint32_t bytes = 0; bytes < answer_bytes(cut); bytes++) {
		g_autofree char *answer = NULL;
		int kept;

		kept = warm_up(&rig);
		for (int i = 0; i < ENDPOINT_COUNT; i++)
			set_cut(&rig, i, bytes, bytes % 2);
		if (cut->repeatable)
			rig.endpoints[1 - kept].behaviour = ANSWER;
		answer = send_request(&rig);
		if (!cut->repeatable) {
			assert_failed(cut, answer);
			continue;
		}
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		g_assert_true(raw_is_whole(answer));
		if (rig.endpoints == rig.rig.engines)
			platform_rig_assert_events(answer);
		else
			g_assert_nonnull(strstr(answer, "for c-"));
	}
	platform_rig_stop(&rig.rig);
}

typedef struct oversized_case {
	const char *name;
	const char *head;
	bool resets;
} oversized_case_t;

static const oversized_case_t oversized_cases[] = {
	{ "length", HEAD "Content-Length: " OVERSIZED_TEXT "\r\n\r\n", false },
	{ "length-reset", HEAD "Content-Length: " OVERSIZED_TEXT "\r\n\r\n",
	  true },
	{ "no-stamp",
	  "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n"
	  "Content-Length: " OVERSIZED_TEXT "\r\n\r\n",
	  false },
};

/* Failure: an answer that was too large to be buffered and broke off while it
 * was relayed was continued with the body of another run, and ended as
 * complete. */
static void test_oversized(const void *data)
{
	static const cut_case_t lookup = { "lookup", "GET", "/get/", "", true };
	const oversized_case_t *test_case = data;
	g_autofree char *body = g_strnfill(OVERSIZED_BYTES, 'x');
	g_autofree char *cut_answer = g_strconcat(test_case->head, body, NULL);
	cut_rig_t rig;

	start(&rig, &lookup);
	rig.endpoints[0].cut_answer = cut_answer;
	set_cut(&rig, 0, OVERSIZED_SENT_BYTES, test_case->resets);
	while (!rig.endpoints[0].arrivals) {
		g_autofree char *answer = send_request(&rig);

		if (strstr(answer, "xxx"))
			g_assert_false(raw_is_whole(answer));
		else
			g_assert_nonnull(strstr(answer, "desk-1 for c-"));
	}
	platform_rig_stop(&rig.rig);
}

typedef struct status_case {
	const char *name;
	const char *answer;
} status_case_t;

#define AFTER_STATUS                                    \
	" X\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n" \
	"Content-Length: 10\r\n\r\n" TEN_BYTES

static const status_case_t status_cases[] = {
	{ "000", "HTTP/1.1 000" AFTER_STATUS },
	{ "099", "HTTP/1.1 099" AFTER_STATUS },
	{ "199", "HTTP/1.1 199" AFTER_STATUS },
	{ "600", "HTTP/1.1 600" AFTER_STATUS },
	{ "999", "HTTP/1.1 999" AFTER_STATUS },
	{ "0200", "HTTP/1.1 0200" AFTER_STATUS },
};

static const cut_case_t status_requests[] = {
	{ "lookup", "GET", "/get/", NULL, true },
	{ "order", "POST", "/order/", NULL, false },
	{ "stream-once", "POST", "/stream/once/", NULL, false },
	{ "stream-again", "POST", "/stream/again/", NULL, true },
};

/* Failure: an answer whose status is none reached the client, or a request that
 * may be repeated was not served by the endpoint that answers. */
static void test_status(const void *data)
{
	const status_case_t *test_case = data;

	for (size_t i = 0; i < G_N_ELEMENTS(status_requests); i++) {
		const cut_case_t *cut = &status_requests[i];
		g_autofree char *answer = NULL;
		cut_rig_t rig;
		int kept;

		start(&rig, cut);
		kept = warm_up(&rig);
		for (int j = 0; j < ENDPOINT_COUNT; j++) {
			rig.endpoints[j].cut_answer = test_case->answer;
			set_cut(&rig, j, OVERSIZED_BYTES, false);
		}
		if (cut->repeatable)
			rig.endpoints[1 - kept].behaviour = ANSWER;
		answer = send_request(&rig);
		g_test_message("%s: %.60s", cut->name, answer);
		g_assert_true(g_str_has_prefix(
			answer,
			cut->repeatable ? "HTTP/1.1 200" : "HTTP/1.1 502"));
		g_assert_null(strstr(answer, TEN_BYTES));
		platform_rig_stop(&rig.rig);
	}
}

/* Failure: an order got a part of an answer as a whole one, because it ended
 * while the order was still being sent. */
static void test_upload(void)
{
	static const platform_rig_options_t options = {
		.body_max_bytes = UPLOAD_BYTES,
	};
	platform_rig_t rig;
	g_autofree char *body = g_strnfill(UPLOAD_BYTES, 'x');
	g_autofree char *headers =
		g_strdup_printf("Content-Length: %d\r\n", UPLOAD_BYTES);
	g_autofree char *request = NULL;
	g_autofree char *answer = NULL;

	platform_rig_start_with(&rig, 1, &options);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		raw_server_answer_heads(rig.services[i].server);
	platform_rig_set_behaviour(rig.services, NO_LENGTH_END);
	request = g_strconcat("POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
			      "Request-Id: c-1\r\nKey: key-1\r\n"
			      "Connection: close\r\n",
			      headers, "\r\n", body, NULL);
	answer = raw_call(rig.ports[0], request);
	g_test_message("%.60s", answer);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502"));
	g_assert_cmpuint(platform_rig_arrivals(rig.services), ==, 1);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cut_cases); i++) {
		char *path =
			g_strdup_printf("/it-cut/new/%s", cut_cases[i].name);
		char *kept =
			g_strdup_printf("/it-cut/kept/%s", cut_cases[i].name);

		g_test_add_data_func(path, &cut_cases[i], test_cut);
		g_test_add_data_func(kept, &cut_cases[i], test_cut_kept);
		g_free(path);
		g_free(kept);
	}
	g_test_add_func("/it-cut/upload", test_upload);
	for (size_t i = 0; i < G_N_ELEMENTS(status_cases); i++) {
		g_autofree char *path = g_strdup_printf("/it-cut/status/%s",
							status_cases[i].name);

		g_test_add_data_func(path, &status_cases[i], test_status);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(oversized_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/it-cut/oversized/%s", oversized_cases[i].name);

		g_test_add_data_func(path, &oversized_cases[i], test_oversized);
	}
	return g_test_run();
}
