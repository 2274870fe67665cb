/* What endpoints ask for in their answers: a limit for all instances together,
 * no new requests because they leave, or none from one instance for some time.
 */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/room.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 3,
	/** Requests that are sent to each gateway after it was told. */
	REQUESTS = 20,
	/** Window in which requests are counted. */
	WINDOW_MS = 4000,
	SLOTS = 16, /**< Of both endpoints. */
};

static char *get(const platform_rig_t *rig, int gateway)
{
	return platform_rig_request(rig, gateway, "GET", "/get/1", "");
}

/* Sends requests to a gateway until both endpoints have answered it. */
static void tell_gateway(platform_rig_t *rig, int gateway)
{
	uint32_t before[ENDPOINT_COUNT];
	bool told = false;

	for (int i = 0; i < ENDPOINT_COUNT; i++)
		before[i] = rig->services[i].arrivals;
	for (int i = 0; i < 200 && !told; i++) {
		g_free(get(rig, gateway));
		told = rig->services[0].arrivals > before[0] &&
		       rig->services[1].arrivals > before[1];
	}
	g_assert_true(told);
}

/* Sends requests to all gateways; returns how many reached an endpoint. */
static uint32_t send_requests(platform_rig_t *rig)
{
	uint32_t before = platform_rig_arrivals(rig->services);

	for (int i = 0; i < REQUESTS * GATEWAYS; i++)
		g_free(get(rig, i % GATEWAYS));
	return platform_rig_arrivals(rig->services) - before;
}

typedef struct limit_case {
	const char *name;
	const char *header;
	double per_s;
} limit_case_t;

static const limit_case_t limit_cases[] = {
	{ "fraction", "Server-Limit: 1.4\r\n", 1.4 },
	{ "zero", "Server-Limit: 0\r\n", 0 },
};

/* Failure: an endpoint got more requests than the limit that it had named
 * (rule LIMIT, incident second1). */
static void test_limit(const void *data)
{
	const limit_case_t *c = data;
	platform_rig_t rig;
	uint64_t begin_ms;
	uint32_t arrivals;
	uint64_t windows;

	platform_rig_start(&rig, GATEWAYS);
	platform_rig_set_headers(rig.services, c->header);
	for (int i = 0; i < GATEWAYS; i++)
		tell_gateway(&rig, i);
	begin_ms = clock_now_ms();
	arrivals = send_requests(&rig);
	/* Windows of 4 s that the requests touch. */
	windows = 1 + (clock_now_ms() - begin_ms) / WINDOW_MS;
	g_assert_cmpfloat(arrivals, <=,
			  ENDPOINT_COUNT * (double)windows *
				  (1.5 * 4 * c->per_s + 5));
	platform_rig_stop(&rig);
}

/* Failure: a limit stayed in force after the endpoint had stopped naming it. */
static void test_limit_ends(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, GATEWAYS);
	platform_rig_set_headers(rig.services, "Server-Limit: 2\r\n");
	for (int i = 0; i < GATEWAYS; i++)
		tell_gateway(&rig, i);
	platform_rig_set_headers(rig.services, NULL);
	g_assert_true(WAIT_UNTIL(send_requests(&rig) == REQUESTS * GATEWAYS,
				 2 * HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/* Failure: requests reached an endpoint whose answers had said that it leaves
 * (rule DRAIN). */
static void test_leaving(void)
{
	platform_rig_t rig;
	uint32_t before;

	platform_rig_start(&rig, GATEWAYS);
	rig.services[0].more_headers = "Server-Leaving: 1\r\n";
	for (int i = 0; i < GATEWAYS; i++)
		tell_gateway(&rig, i);
	before = rig.services[0].arrivals;
	g_assert_cmpuint(send_requests(&rig), ==, REQUESTS * GATEWAYS);
	g_assert_cmpuint(rig.services[0].arrivals, ==, before);
	platform_rig_stop(&rig);
}

typedef struct pause_case {
	const char *name;
	const char *header;
	bool paused; /**< Whether the endpoint gets no requests after it. */
} pause_case_t;

static const pause_case_t pause_cases[] = {
	{ "seconds", "Retry-After: 30\r\n", true },
	{ "fraction", "Retry-After: 29.5\r\n", true },
	{ "zero", "Retry-After: 0\r\n", false },
	{ "invalid", "Retry-After: later\r\n", false },
};

/* Failure: requests of an instance reached an endpoint that had asked it for
 * none for some time (rule BUDGET). */
static void test_pause(const void *data)
{
	const pause_case_t *c = data;
	platform_rig_t rig;
	uint32_t before;

	platform_rig_start(&rig, GATEWAYS);
	rig.services[0].behaviour = REFUSE;
	rig.services[0].more_headers = c->header;
	for (int i = 0; i < GATEWAYS; i++)
		tell_gateway(&rig, i);
	before = rig.services[0].arrivals;
	rig.services[0].behaviour = ANSWER;
	g_assert_cmpuint(send_requests(&rig), ==, REQUESTS * GATEWAYS);
	if (c->paused)
		g_assert_cmpuint(rig.services[0].arrivals, ==, before);
	else
		g_assert_cmpuint(rig.services[0].arrivals, >, before);
	platform_rig_stop(&rig);
}

/* Failure: an endpoint that withstands few refusals a second had to refuse more
 * (rule LIMIT). */
static void test_refusals(void)
{
	platform_rig_t rig;
	uint64_t begin_ms;
	uint32_t before;
	uint64_t seconds;

	platform_rig_start(&rig, GATEWAYS);
	platform_rig_set_headers(rig.services, "Server-Brittle: 3\r\n");
	for (int i = 0; i < GATEWAYS; i++)
		tell_gateway(&rig, i);
	rig.services[0].behaviour = REFUSE;
	before = rig.services[0].arrivals;
	begin_ms = clock_now_ms();
	for (int i = 0; i < 4; i++)
		g_assert_cmpuint(send_requests(&rig), >=, REQUESTS * GATEWAYS);
	seconds = 1 + (clock_now_ms() - begin_ms) / 1000;
	g_assert_cmpuint(rig.services[0].arrivals, >, before);
	g_assert_cmpuint(rig.services[0].arrivals - before, <=, 3 * seconds);
	platform_rig_stop(&rig);
}

/* Failure: requests went on to an endpoint that had no room for others. */
static void test_full(void)
{
	platform_rig_t rig;
	platform_rig_call_t calls[SLOTS];
	uint32_t before;
	uint64_t begin_ms;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.services, HOLD);
	before = platform_rig_arrivals(rig.services) + SLOTS;
	for (int i = 0; i < SLOTS; i++)
		platform_rig_start_call(&calls[i], &rig, "POST", "/order/1",
					"");
	g_assert_true(WAIT_UNTIL(platform_rig_arrivals(rig.services) == before,
				 HARNESS_WAIT_MS));
	rig.services[0].behaviour = REFUSE;
	rig.services[1].behaviour = ANSWER;
	before = rig.services[0].arrivals;
	begin_ms = clock_now_ms();
	for (int i = 0; i < 2 * REQUESTS; i++)
		g_free(get(&rig, 0));
	g_assert_cmpuint(rig.services[0].arrivals - before, <=,
			 1 + (clock_now_ms() - begin_ms) / ROOM_FULL_MS);
	platform_rig_release(rig.services);
	for (int i = 0; i < SLOTS; i++) {
		platform_rig_join_call(&calls[i]);
		g_free(calls[i].answer);
	}
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed case ends what it started. */
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
		char *path = g_strdup_printf("/limits/all-instances/%s",
					     limit_cases[i].name);

		g_test_add_data_func(path, &limit_cases[i], test_limit);
		g_free(path);
	}
	g_test_add_func("/limits/ends", test_limit_ends);
	g_test_add_func("/limits/refusals", test_refusals);
	g_test_add_func("/limits/full", test_full);
	g_test_add_func("/limits/leaving", test_leaving);
	for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
		char *path = g_strdup_printf("/limits/pause/%s",
					     pause_cases[i].name);

		g_test_add_data_func(path, &pause_cases[i], test_pause);
		g_free(path);
	}
	return g_test_run();
}
