/*
 * Machines that are upgraded in turn: a gateway process of the last release
 * beside those of this build, with endpoints and a store that the test
 * simulates.
 */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "t/lib/detour.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 3,
	REQUESTS_MAX = 50000,
	/** Four a second, of 8 that the parts of two instances of three allow.
	 */
	SMALL_REQUESTS = 24,
	SMALL_INTERVAL_US = 250000,
	/** An ask without answer takes longer, ms. */
	HOLD_MIN_MS = 90,
	/** One in so many may take longer on a busy machine. */
	SLOW_ONE_IN = 8,
	/** Time for the parts to reach the owner, ms. */
	GATHER_MS = 20000,
	FLOOD_MS = 4000,
	FLOOD_RATE = 40,
	FLOOD_BURST = 20,
	FLOOD_PAUSE_US = 500,
	/** Time that an endpoint takes for an answer, so that requests are in
	 * progress when an instance stops, ms. */
	ANSWER_MS = 20,
	/** Requests of each sender before and after the replacement. */
	SENT_MIN = 10,
	RETRY_PAUSE_US = 10000,
};

#define RELEASE_PROGRAM "release-gateway"
#define SMALL_LIMIT "{\"rate_per_s\":12,\"burst\":12}"
#define FLOOD_LIMIT "{\"rate_per_s\":40,\"burst\":20}"
#define ASKS "amv_allowance_entries_total{kind=\"ask\"}"
#define ASKS_LOST "amv_allowance_entries_total{kind=\"unanswered\"}"

typedef struct kind {
	const char *name;
	const char *line; /**< With lines of the head that only it has. */
	bool runs_once;
} kind_t;

static const kind_t kinds[] = {
	{ "lookup", "GET /get/1 HTTP/1.1\r\n", false },
	{ "order", "POST /order/1 HTTP/1.1\r\nContent-Length: 0\r\n", true },
	{ "stream",
	  "POST /stream/again/1 HTTP/1.1\r\nContent-Length: 0\r\n" MODEL_HEADERS,
	  false },
};

enum { KINDS = G_N_ELEMENTS(kinds) };

/* Runs of each request, by the number in its id. */
static _Atomic uint32_t runs[REQUESTS_MAX];
static _Atomic uint32_t next_number;

static void count_run(void *context, const endpoint_t *endpoint, const char *id)
{
	(void)context;
	(void)endpoint;
	if (id && g_str_has_prefix(id, "u-"))
		runs[strtoul(id + 2, NULL, 10) % REQUESTS_MAX]++;
}

static char *send_request(const platform_rig_t *rig, int gateway,
			  const kind_t *kind, uint32_t number)
{
	CLEANUP_FREE char *request = g_strdup_printf(
		"%sHost: h.example\r\nRequest-Id: u-%u\r\nKey: key-1\r\n"
		"Deadline-Ms: 2500\r\nConnection: close\r\n\r\n",
		kind->line, number);

	return raw_call(rig->ports[gateway], request);
}

static uint32_t take_number(void)
{
	uint32_t number = next_number++;

	g_assert_cmpuint(number, <, REQUESTS_MAX);
	return number;
}

/* Whether a request was served, and run as often as it may be; one that was
 * not served has not been run. */
static bool is_served(const platform_rig_t *rig, int gateway,
		      const kind_t *kind, uint32_t number)
{
	CLEANUP_FREE char *answer = send_request(rig, gateway, kind, number);

	if (g_str_has_prefix(answer, "HTTP/1.1 200") && raw_is_whole(answer)) {
		g_assert_cmpuint(runs[number], >=, 1);
		if (kind->runs_once)
			g_assert_cmpuint(runs[number], ==, 1);
		return true;
	}
	if (*answer)
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503") ||
			      g_str_has_prefix(answer, "HTTP/1.1 429"));
	g_assert_cmpuint(runs[number], ==, 0);
	return false;
}

static void check_live(const platform_rig_t *rig, int count)
{
	for (int i = 0; i < count; i++)
		g_assert_true(WAIT_UNTIL(
			platform_rig_metric(rig, i, "amv_members_live") ==
				count,
			HARNESS_WAIT_MS));
}

static void open_rig(platform_rig_t *rig)
{
	const platform_rig_options_t options = { .metrics = true };

	platform_rig_start_with(rig, 0, &options);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig->services[i].on_run = count_run;
		rig->engines[i].on_run = count_run;
	}
}

/* Starts gateways by the names of their programs, NULL for that of this build,
 * and waits until each counts all as live. */
static void start_gateways(platform_rig_t *rig, const char *const *programs,
			   int count)
{
	for (int i = 0; i < count; i++) {
		rig->programs[i] = programs[i];
		platform_rig_start_gateway(rig, i);
	}
	for (int i = 0; i < count; i++)
		g_assert_true(WAIT_UNTIL(platform_rig_is_ready(rig, i),
					 HARNESS_WAIT_MS));
	check_live(rig, count);
}

/* Starts one of the last release, which comes first in rendezvous order of the
 * customer, beside those of this build. */
static int start_beside(platform_rig_t *rig)
{
	const char *programs[GATEWAYS] = { NULL };
	int old = platform_rig_owner(GATEWAYS);

	programs[old] = RELEASE_PROGRAM;
	open_rig(rig);
	start_gateways(rig, programs, GATEWAYS);
	return old;
}

/* Failure: instances did not understand each other's heartbeats, or requests
 * were not served, when two releases ran side by side. */
static void test_beside(void)
{
	platform_rig_t rig;

	start_beside(&rig);
	for (int i = 0; i < GATEWAYS * KINDS; i++)
		g_assert_true(is_served(&rig, i % GATEWAYS,
					&kinds[i / GATEWAYS], take_number()));
	check_live(&rig, GATEWAYS);
	for (int i = 0; i < GATEWAYS; i++)
		g_assert_cmpint(
			platform_rig_metric(&rig, i, "amv_peer_rejected_total"),
			==, 0);
	platform_rig_stop(&rig);
}

static int new_gateway(int old, int number)
{
	return (old + 1 + number % (GATEWAYS - 1)) % GATEWAYS;
}

/* Requests to the new instances that are served in a row, at a rate within
 * their parts; `slow` counts those that took as long as an unanswered ask. */
static int count_in_row(const platform_rig_t *rig, int old, int *slow)
{
	int served = 0;

	*slow = 0;
	for (; served < SMALL_REQUESTS; served++) {
		uint64_t begin_ms = clock_now_ms();

		if (!is_served(rig, new_gateway(old, served), &kinds[0],
			       take_number()))
			break;
		*slow += clock_now_ms() - begin_ms >= HOLD_MIN_MS;
		g_usleep(SMALL_INTERVAL_US);
	}
	return served;
}

static int64_t sum_new(const platform_rig_t *rig, int old, const char *metric)
{
	int64_t sum = 0;

	for (int i = 0; i < GATEWAYS - 1; i++) {
		int64_t value =
			platform_rig_metric(rig, new_gateway(old, i), metric);

		g_assert_cmpint(value, >=, 0);
		sum += value;
	}
	return sum;
}

/* Failure: requests within the limit waited for answers of an instance of a
 * release that does not know of allowances, or were refused. */
static void check_within(platform_rig_t *rig, int old)
{
	int64_t asks;
	int64_t lost;
	int slow;

	platform_rig_set_customer(rig, 2, SMALL_LIMIT);
	g_assert_true(WAIT_UNTIL(
		count_in_row(rig, old, &slow) == SMALL_REQUESTS, GATHER_MS));
	asks = sum_new(rig, old, ASKS);
	lost = sum_new(rig, old, ASKS_LOST);
	g_test_message("%d slow, %d of %d asks unanswered", slow, (int)lost,
		       (int)asks);
	g_assert_cmpint(slow * SLOW_ONE_IN, <=, SMALL_REQUESTS);
	g_assert_cmpint(asks, >, 0);
	g_assert_cmpint(lost * SLOW_ONE_IN, <=, asks);
}

/* Failure: the new instances admitted more than their parts of the limit, or
 * much less, or the old one refused requests. */
static void check_flood(platform_rig_t *rig, int old)
{
	int served[GATEWAYS] = { 0 };
	int sent[GATEWAYS] = { 0 };
	uint64_t end_ms;
	int sum = 0;

	platform_rig_set_customer(rig, 3, FLOOD_LIMIT);
	end_ms = clock_now_ms() + FLOOD_MS;
	for (int i = 0; clock_now_ms() < end_ms; i = (i + 1) % GATEWAYS) {
		sent[i]++;
		served[i] += is_served(rig, i, &kinds[0], take_number());
		g_usleep(FLOOD_PAUSE_US);
	}
	for (int i = 0; i < GATEWAYS; i++) {
		g_test_message("gateway %d%s: served %d of %d", i,
			       i == old ? " (old)" : "", served[i], sent[i]);
		sum += i == old ? 0 : served[i];
	}
	g_assert_cmpint(served[old], ==, sent[old]);
	g_assert_cmpint(sent[old], >, FLOOD_RATE * FLOOD_MS / 1000);
	/* The old one counts as an instance: its part is not used. */
	g_assert_cmpint(sum * 10 * GATEWAYS, <=,
			(FLOOD_RATE * FLOOD_MS / 1000 + FLOOD_BURST) * 11 *
				(GATEWAYS - 1));
	g_assert_cmpint(sum * 10 * GATEWAYS, >=,
			FLOOD_RATE * FLOOD_MS / 1000 * 8 * (GATEWAYS - 1));
}

static void test_limit(void)
{
	platform_rig_t rig;
	int old = start_beside(&rig);

	check_within(&rig, old);
	check_flood(&rig, old);
	platform_rig_stop(&rig);
}

typedef struct forward_case {
	const char *name;
	/** Of the one that has lost its paths, and of the other. */
	const char *programs[2];
} forward_case_t;

static const forward_case_t forward_cases[] = {
	{ "old-to-new", { "release-detoured-gateway", NULL } },
	{ "new-to-old", { "detoured-gateway", RELEASE_PROGRAM } },
};

/* Leads the connections of the first gateway to endpoints to a port where
 * nothing listens. */
static char *write_detours(const platform_rig_t *rig)
{
	detour_t detours[2 * ENDPOINT_COUNT];
	uint16_t closed = harness_free_port();
	char *path = NULL;
	int fd = g_file_open_tmp("detour-XXXXXX", &path, NULL);

	g_assert_cmpint(fd, >=, 0);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		detours[i] =
			(detour_t){ raw_server_port(rig->services[i].server),
				    closed };
		detours[ENDPOINT_COUNT + i] =
			(detour_t){ raw_server_port(rig->engines[i].server),
				    closed };
	}
	g_assert_cmpint(write(fd, detours, sizeof(detours)), ==,
			sizeof(detours));
	close(fd);
	return path;
}

/* Failure: an instance that had lost its paths to all endpoints did not have
 * its requests served by one of the release before or after. */
static void test_forward(const void *data)
{
	const forward_case_t *c = data;
	platform_rig_t rig;
	CLEANUP_FREE char *path = NULL;

	open_rig(&rig);
	path = write_detours(&rig);
	rig.detour_files[0] = path;
	start_gateways(&rig, c->programs, G_N_ELEMENTS(c->programs));
	for (int i = 0; i < KINDS; i++)
		g_assert_true(
			WAIT_UNTIL(is_served(&rig, 0, &kinds[i], take_number()),
				   HARNESS_WAIT_MS));
	g_assert_nonnull(strstr(program_output(rig.gateways[0]),
				"name=request_forwarded "));
	platform_rig_stop(&rig);
	unlink(path);
}

/* Sends requests of a kind, one after the other, to an instance, or to the
 * others in turn as long as that one does not run them. */
typedef struct sender {
	const platform_rig_t *rig;
	const kind_t *kind;
	_Atomic bool *ends;
	pthread_t thread;
	int gateway;
	_Atomic uint32_t sent;
	_Atomic uint32_t direct; /**< Served by the first one tried. */
	uint32_t lost;
} sender_t;

static void send_one(sender_t *sender)
{
	uint32_t number = take_number();
	uint64_t end_ms = clock_now_ms() + HARNESS_WAIT_MS;

	for (int i = 0; clock_now_ms() < end_ms; i++) {
		int gateway = (sender->gateway + i) % GATEWAYS;

		if (is_served(sender->rig, gateway, sender->kind, number)) {
			sender->direct += !i;
			return;
		}
		g_usleep(RETRY_PAUSE_US);
	}
	sender->lost++;
}

static void *sender_main(void *context)
{
	sender_t *sender = context;

	while (!*sender->ends) {
		send_one(sender);
		sender->sent++;
	}
	return NULL;
}

/* Waits until each sender had requests served by its own gateway. */
static void wait_direct(const platform_rig_t *rig, const sender_t *senders)
{
	for (int i = 0; i < GATEWAYS * KINDS; i++) {
		uint32_t before = senders[i].direct;

		g_assert_true(WAIT_UNTIL(senders[i].direct >= before + SENT_MIN,
					 HARNESS_WAIT_MS));
		(void)program_output(rig->gateways[senders[i].gateway]);
	}
}

static void replace(platform_rig_t *rig, int gateway)
{
	program_signal(rig->gateways[gateway], SIGTERM);
	g_assert_cmpint(program_wait(rig->gateways[gateway], HARNESS_WAIT_MS),
			==, 0);
	program_free(rig->gateways[gateway]);
	rig->programs[gateway] = NULL;
	platform_rig_start_gateway(rig, gateway);
	g_assert_true(WAIT_UNTIL(platform_rig_is_ready(rig, gateway),
				 HARNESS_WAIT_MS));
}

/* Failure: requests in progress were lost, or run twice, when an instance of
 * the last release was replaced by a new one. */
static void test_replace(void)
{
	platform_rig_t rig;
	sender_t senders[GATEWAYS * KINDS];
	_Atomic bool ends = false;
	int old = start_beside(&rig);

	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig.services[i].delay_ms = ANSWER_MS;
		rig.engines[i].delay_ms = ANSWER_MS;
	}
	for (int i = 0; i < GATEWAYS * KINDS; i++) {
		senders[i] = (sender_t){ .rig = &rig,
					 .kind = &kinds[i / GATEWAYS],
					 .gateway = i % GATEWAYS,
					 .ends = &ends };
		pthread_create(&senders[i].thread, NULL, sender_main,
			       &senders[i]);
	}
	wait_direct(&rig, senders);
	replace(&rig, old);
	check_live(&rig, GATEWAYS);
	wait_direct(&rig, senders);
	ends = true;
	for (int i = 0; i < GATEWAYS * KINDS; i++) {
		pthread_join(senders[i].thread, NULL);
		g_test_message("%s at gateway %d: %u sent, %u served there",
			       senders[i].kind->name, senders[i].gateway,
			       senders[i].sent, senders[i].direct);
		g_assert_cmpuint(senders[i].lost, ==, 0);
	}
	platform_rig_stop(&rig);
}

/* The last release cannot be built in a clone without history. */
static bool has_release(void)
{
	const char *build = g_getenv("BUILD");
	g_autofree char *path = g_build_filename(build ? build : "build", "t",
						 RELEASE_PROGRAM, NULL);

	return g_file_test(path, G_FILE_TEST_IS_EXECUTABLE);
}

static void skip_all(void)
{
	g_test_skip("no gateway of the last release: clone without history");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (!has_release()) {
		g_test_add_func("/it-upgrade/skipped", skip_all);
		return g_test_run();
	}
	g_test_add_func("/it-upgrade/beside", test_beside);
	g_test_add_func("/it-upgrade/limit", test_limit);
	for (size_t i = 0; i < G_N_ELEMENTS(forward_cases); i++) {
		CLEANUP_FREE char *path = g_strdup_printf(
			"/it-upgrade/forward/%s", forward_cases[i].name);

		g_test_add_data_func(path, &forward_cases[i], test_forward);
	}
	g_test_add_func("/it-upgrade/replace", test_replace);
	return g_test_run();
}
