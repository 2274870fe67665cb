/*
 * Instances that lose their connections to engines which go on answering the
 * others: gateway processes with endpoints and a store that the test simulates.
 */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "t/lib/platform_rig.h"

enum {
	LOST_ENGINES = 4,
	/** Enough for the other gateway to use each engine. */
	WARM_REQUESTS = 16,
	/** Age of its connections when the paths are lost, us. */
	CONNECTION_AGE_US = 800000,
	/** Between two requests that are lost, us. */
	LOST_INTERVAL_US = 250000,
	/** Well below the time of the first probe of a block, ms. */
	SERVED_AGAIN_MS = 5000,
};

static char *send_with_parts(const platform_rig_t *rig, int gateway,
			     const char *parts, int number)
{
	CLEANUP_FREE char *target = g_strdup_printf("/stream/once/%d", number);
	CLEANUP_FREE char *headers = g_strdup_printf(
		"Model: m\r\nToken-Usage: 100,4\r\nPrompt-Prefix: %s,%x:5\r\n",
		parts, 0x1000 + number);

	return platform_rig_request(rig, gateway, "GET", target, headers);
}

/* A request to the second gateway that shares nothing with any other. */
static void send_other(const platform_rig_t *rig, int number)
{
	CLEANUP_FREE char *parts = g_strdup_printf("%x:50", 0x9000 + number);
	CLEANUP_FREE char *answer = send_with_parts(rig, 1, parts, number);

	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
}

static void set_engines(platform_rig_t *rig, behaviour_t behaviour)
{
	for (int i = 0; i < LOST_ENGINES; i++)
		rig->engines[i].behaviour = behaviour;
}

static bool has_blocked(const platform_rig_t *rig, int gateway)
{
	return strstr(program_output(rig->gateways[gateway]),
		      "name=crash_key_blocked");
}

/* Loses connections until both gateways have blocked what was lost. */
static void lose_paths(platform_rig_t *rig, int *number)
{
	set_engines(rig, RESET_CONNECTION);
	for (int i = 0; i < WARM_REQUESTS; i++) {
		g_free(send_with_parts(rig, 0, "a:50,b:20", (*number)++));
		if (has_blocked(rig, 0) && has_blocked(rig, 1))
			break;
		g_usleep(LOST_INTERVAL_US);
	}
	set_engines(rig, ANSWER);
	g_assert_true(has_blocked(rig, 0) && has_blocked(rig, 1));
}

static bool is_served(const platform_rig_t *rig, int gateway, int number)
{
	CLEANUP_FREE char *answer =
		send_with_parts(rig, gateway, "a:50,b:20", number);

	return g_str_has_prefix(answer, "HTTP/1.1 200");
}

/* Failure: an instance that lost its paths to engines took them for crashed,
 * and all instances refused the parts of the requests that were lost. */
static void test_lost_paths(void)
{
	const platform_rig_options_t options = { .engines = LOST_ENGINES,
						 .no_forwarding = true };
	platform_rig_t rig;
	int number = 0;

	platform_rig_start_with(&rig, 2, &options);
	for (int i = 0; i < LOST_ENGINES; i++)
		rig.engines[i].more_headers = "Keep-Alive: timeout=60\r\n";
	for (int i = 0; i < WARM_REQUESTS; i++)
		send_other(&rig, number++);
	g_usleep(CONNECTION_AGE_US);
	lose_paths(&rig, &number);
	for (int gateway = 0; gateway < 2; gateway++) {
		const int64_t end_us =
			g_get_monotonic_time() + SERVED_AGAIN_MS * 1000;
		bool served = false;

		while (!served && g_get_monotonic_time() < end_us) {
			send_other(&rig, number++);
			served = is_served(&rig, gateway, number++);
		}
		g_assert_true(served);
	}
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-gateway/lost-paths", test_lost_paths);
	return g_test_run();
}
