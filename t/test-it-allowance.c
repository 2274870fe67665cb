/*
 * Limits of customers over several instances: gateway processes with endpoints
 * and a store that the test simulates.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 3,
	/** Time in which instances that have just started hold nine tenths of
	 * the limit, us. */
	GATHER_US = 9000000,
	/** Instances that have restarted all at once hold the limit again after
	 * this time, us. */
	RESTART_US = 1500000,
	FLOOD_MS = 4000,
	FLOOD_RATE = 40,
	FLOOD_BURST = 20,
	SMALL_REQUESTS = 24,
	/** Six a second over all instances, with a limit of 12. */
	SMALL_INTERVAL_US = 166000,
	/** Requests that show that a customer is served at its rate again. */
	SERVED_IN_ROW = 10,
	RECOVERY_MS = 20000,
	/** More than the limit allows in their time; the tokens of those that
	 * are under way to the owner are less than the burst. */
	REFUSED_REQUESTS = 80,
	REFUSED_INTERVAL_US = 50000,
	FROZEN_REQUESTS = 10,
	/** Shortest time of a request that was held: one ask without answer;
	 * and well below the deadline, above the longest hold, ms. */
	HOLD_MIN_MS = 90,
	HOLD_LIMIT_MS = 1000,
	/** In a row at each instance, beyond any limit set before. */
	MANY_REQUESTS = 100,
};

#define SMALL_LIMIT "{\"rate_per_s\":12,\"burst\":12}"
#define FLOOD_LIMIT "{\"rate_per_s\":40,\"burst\":20}"
#define TOKEN_LIMIT                                                \
	"{\"rate_per_s\":1000,\"burst\":1000,\"unit\":\"tokens\"," \
	"\"plain_tokens\":100}"

static void start_limited(platform_rig_t *rig)
{
	platform_rig_start(rig, GATEWAYS);
	platform_rig_set_customer(rig, 2, SMALL_LIMIT);
	g_usleep(GATHER_US);
}

static char *get(const platform_rig_t *rig, int gateway)
{
	return platform_rig_request(rig, gateway, "GET", "/get/1", "");
}

static bool is_served(const platform_rig_t *rig, int gateway)
{
	CLEANUP_FREE char *answer = get(rig, gateway);
	bool refused = g_str_has_prefix(answer, "HTTP/1.1 429");

	if (!refused)
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	return !refused;
}

/* Whether an answer says when to come back, in seconds above 0. */
static bool has_retry_after(const char *answer)
{
	const char *field = strstr(answer, "Retry-After: ");

	return field &&
	       g_ascii_strtod(field + strlen("Retry-After: "), NULL) > 0;
}

/* Failure: a customer within its limit was refused because each instance had
 * only a part of the limit, less than one request. */
static void check_small(platform_rig_t *rig)
{
	int served = 0;

	for (int i = 0; i < SMALL_REQUESTS; i++) {
		served += is_served(rig, i % GATEWAYS);
		g_usleep(SMALL_INTERVAL_US);
	}
	g_assert_cmpint(served, ==, SMALL_REQUESTS);
}

typedef struct flood {
	const platform_rig_t *rig;
	int gateway;
	uint64_t until_ms;
	int served;
	int refused;
	pthread_t thread;
} flood_t;

static void *flood_main(void *context)
{
	flood_t *flood = context;

	while (clock_now_ms() < flood->until_ms) {
		CLEANUP_FREE char *answer = get(flood->rig, flood->gateway);

		if (g_str_has_prefix(answer, "HTTP/1.1 200")) {
			flood->served++;
		} else {
			g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 429"));
			g_assert_true(has_retry_after(answer));
			flood->refused++;
		}
	}
	return NULL;
}

/* Sends as much as the instances answer; returns how many were served. */
static int send_flood(const platform_rig_t *rig, int *refused)
{
	flood_t floods[GATEWAYS];
	int served = 0;

	*refused = 0;
	for (int i = 0; i < GATEWAYS; i++) {
		floods[i] = (flood_t){ .rig = rig,
				       .gateway = i,
				       .until_ms = clock_now_ms() + FLOOD_MS };
		pthread_create(&floods[i].thread, NULL, flood_main, &floods[i]);
	}
	for (int i = 0; i < GATEWAYS; i++) {
		pthread_join(floods[i].thread, NULL);
		served += floods[i].served;
		*refused += floods[i].refused;
	}
	return served;
}

/* Failure: a customer got its limit at each instance, or, beyond the limit,
 * much less than it, or tokens of the limit before, in another unit; the log
 * told nothing of it, or too much. */
static void check_flood(platform_rig_t *rig)
{
	uint32_t before = platform_rig_arrivals(rig->services);
	int refused;
	int served;

	platform_rig_set_customer(rig, 4, FLOOD_LIMIT);
	served = send_flood(rig, &refused);
	g_test_message("served %d, refused %d", served, refused);
	g_assert_cmpint(served * 10, <=,
			(FLOOD_RATE * FLOOD_MS / 1000 + FLOOD_BURST) * 11);
	g_assert_cmpint(served * 10, >=, FLOOD_RATE * FLOOD_MS / 1000 * 8);
	g_assert_cmpint(refused, >, served);
	g_assert_cmpint((int)(platform_rig_arrivals(rig->services) - before),
			==, served);
	for (int i = 0; i < GATEWAYS; i++) {
		char **lines =
			g_strsplit(program_output(rig->gateways[i]),
				   "name=customer_limited customer=cust", -1);

		g_assert_cmpuint(g_strv_length(lines) - 1, >=, 1);
		g_assert_cmpuint(g_strv_length(lines) - 1, <=,
				 FLOOD_MS / 1000 + 2);
		g_strfreev(lines);
		/* Of these, each line would be one that others lack. */
		g_assert_null(strstr(program_output(rig->gateways[i]),
				     "outcome=rate_limited"));
	}
}

/* Requests at the instances other than `gone` that are served in a row. */
static int count_in_row(const platform_rig_t *rig, int gone)
{
	int gateway = gone;
	int served = 0;

	for (; served < SERVED_IN_ROW; served++) {
		gateway = (gateway + 1) % GATEWAYS;
		if (gateway == gone)
			gateway = (gateway + 1) % GATEWAYS;
		if (!is_served(rig, gateway))
			break;
		g_usleep(SMALL_INTERVAL_US);
	}
	return served;
}

/* Failure: after the instance that held a limit was killed, the customer was
 * refused for ever, or requests were held until their deadline. */
static void test_owner_killed(void)
{
	platform_rig_t rig;
	int owner = platform_rig_owner(GATEWAYS);

	start_limited(&rig);
	program_signal(rig.gateways[owner], SIGKILL);
	program_free(rig.gateways[owner]);
	rig.gateways[owner] = NULL;
	g_assert_true(WAIT_UNTIL(count_in_row(&rig, owner) == SERVED_IN_ROW,
				 RECOVERY_MS));
	platform_rig_stop(&rig);
}

/* Sends a request that is held while the owner does not answer. */
static void open_held(platform_rig_stream_t *stream, const platform_rig_t *rig,
		      int gateway)
{
	platform_rig_open_stream(stream, rig, gateway,
				 "GET /get/held HTTP/1.1\r\nHost: h.example\r\n"
				 "Request-Id: held\r\nKey: key-1\r\n"
				 "Deadline-Ms: 2500\r\n\r\n");
}

/* Failure: while the owner was frozen, requests were held until their deadline,
 * and one whose client was gone, or that was held when its instance stopped,
 * ended the process. */
static void test_owner_frozen(void)
{
	platform_rig_t rig;
	platform_rig_stream_t stream;
	int owner = platform_rig_owner(GATEWAYS);
	int other = (owner + 1) % GATEWAYS;
	bool held = false;

	start_limited(&rig);
	program_signal(rig.gateways[owner], SIGSTOP);
	for (int i = 0; i < FROZEN_REQUESTS; i++) {
		uint64_t begin_ms = clock_now_ms();
		uint64_t taken_ms;

		is_served(&rig, other);
		taken_ms = clock_now_ms() - begin_ms;
		g_assert_cmpuint(taken_ms, <, HOLD_LIMIT_MS);
		held |= taken_ms >= HOLD_MIN_MS;
		open_held(&stream, &rig, other);
		platform_rig_close_stream(&stream);
	}
	g_assert_true(held);
	open_held(&stream, &rig, other);
	program_signal(rig.gateways[other], SIGTERM);
	g_assert_cmpint(program_wait(rig.gateways[other], HARNESS_WAIT_MS), ==,
			0);
	platform_rig_close_stream(&stream);
	platform_rig_stop(&rig);
}

/* Failure: a planned stop of the instance that held a limit lost the limit, so
 * that the customer was refused. */
static void test_owner_stopped(void)
{
	platform_rig_t rig;
	int owner = platform_rig_owner(GATEWAYS);

	start_limited(&rig);
	program_signal(rig.gateways[owner], SIGTERM);
	g_assert_cmpint(program_wait(rig.gateways[owner], HARNESS_WAIT_MS), ==,
			0);
	g_assert_cmpint(count_in_row(&rig, owner), ==, SERVED_IN_ROW);
	platform_rig_stop(&rig);
}

/* Failure: after all instances had restarted at once, most requests of a
 * customer within its limit were refused for seconds. */
static void test_all_restarted(void)
{
	platform_rig_t rig;

	start_limited(&rig);
	platform_rig_kill_gateways(&rig);
	for (int i = 0; i < GATEWAYS; i++)
		platform_rig_start_gateway(&rig, i);
	g_usleep(RESTART_US);
	check_small(&rig);
	platform_rig_stop(&rig);
}

/* Failure: requests that were not run were charged, so that a customer whose
 * endpoints were full used up its limit. */
static void check_refund(platform_rig_t *rig)
{
	platform_rig_set_behaviour(rig->services, REFUSE);
	for (int i = 0; i < REFUSED_REQUESTS; i++) {
		CLEANUP_FREE char *answer = get(rig, i % GATEWAYS);

		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503"));
		g_usleep(REFUSED_INTERVAL_US);
	}
	platform_rig_set_behaviour(rig->services, ANSWER);
}

static bool has_status(const platform_rig_t *rig, int gateway,
		       const char *headers, const char *status)
{
	CLEANUP_FREE char *answer = platform_rig_request(
		rig, gateway, "GET", "/stream/again/1", headers);
	CLEANUP_FREE char *line = g_strdup_printf("HTTP/1.1 %s", status);

	return g_str_has_prefix(answer, line);
}

/* Failure: the cost of a request was not taken from its headers, or a stream
 * that a client resumes was charged. */
static void check_tokens(platform_rig_t *rig)
{
	/* More than the limit of a whole window. */
	static const char large[] = "Model: m\r\nToken-Usage: 9000,9000\r\n";
	static const char resumed[] = "Model: m\r\nToken-Usage: 9000,9000\r\n"
				      "Last-Event-Id: 1\r\n";

	platform_rig_set_customer(rig, 3, TOKEN_LIMIT);
	for (int i = 0; i < GATEWAYS; i++) {
		g_assert_true(has_status(rig, i, large, "429"));
		g_assert_true(has_status(rig, i, resumed, "200"));
		g_assert_true(
			WAIT_UNTIL(has_status(rig, i, MODEL_HEADERS, "200"),
				   HARNESS_WAIT_MS));
		g_assert_true(WAIT_UNTIL(is_served(rig, i), HARNESS_WAIT_MS));
	}
}

static bool serves_many(const platform_rig_t *rig)
{
	for (int i = 0; i < GATEWAYS * MANY_REQUESTS; i++) {
		if (!is_served(rig, i % GATEWAYS))
			return false;
	}
	return true;
}

/* Failure: customers without a limit were refused, or requests were held. */
static void check_unlimited(platform_rig_t *rig)
{
	int refused;

	platform_rig_set_customer(rig, 5, NULL);
	g_assert_true(WAIT_UNTIL(serves_many(rig), HARNESS_WAIT_MS));
	g_assert_cmpint(send_flood(rig, &refused), >, FLOOD_RATE);
	g_assert_cmpint(refused, ==, 0);
}

static void test_served(void)
{
	platform_rig_t rig;

	start_limited(&rig);
	check_small(&rig);
	check_refund(&rig);
	check_tokens(&rig);
	check_flood(&rig);
	check_unlimited(&rig);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-allowance/served", test_served);
	g_test_add_func("/it-allowance/owner-killed", test_owner_killed);
	g_test_add_func("/it-allowance/owner-frozen", test_owner_frozen);
	g_test_add_func("/it-allowance/owner-stopped", test_owner_stopped);
	g_test_add_func("/it-allowance/all-restarted", test_all_restarted);
	return g_test_run();
}
