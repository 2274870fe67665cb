/*
 * Requests that crash the endpoints that run them: gateway processes with
 * endpoints and a store that the test simulates.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "process/cleanup.h"
#include "t/lib/platform_rig.h"

enum {
	/** Requests of a kind that crashes endpoints. */
	DEADLY_REQUESTS = 10,
	/** Endpoints may crash this often before the kind is known, and this
	 * many more requests may reach them. */
	DEADLY_CRASHES_MIN = 3,
	DEADLY_CRASHES_MAX = 5,
	DEADLY_ARRIVALS_AFTER_MAX = 3,
	/** Position of the part that crashes endpoints, in the second case. */
	DEADLY_PART_DEPTH = 2,
	/** Requests do not count this soon after a start, ms
	 * (stable_window_ms). */
	STABLE_MS = 3000,
	/** Longer than all pieces that are sent first. */
	DEADLY_BODY_BYTES = 60000,
};

typedef struct deadly_case {
	const char *name;
	const char *path;
	const char *deadly_text;
	const char *deadly_parts;
	bool numbered; /**< No two deadly requests are alike. */
	bool has_body; /**< It arrives in different pieces each time. */
	bool unframed; /**< See endpoint_t::crashes_unframed. */
} deadly_case_t;

static const deadly_case_t deadly_cases[] = {
	{ "part", "/stream/again/", "dead:", "a:50,b:20,dead:10", true, false,
	  false },
	{ "part-once", "/stream/once/", "dead:", "a:50,b:20,dead:10", true,
	  false, false },
	{ "part-unframed", "/stream/again/", "dead:", "a:50,b:20,dead:10", true,
	  false, true },
	{ "first-part", "/stream/again/", "dead:", "dead:50,b:20", true, false,
	  false },
	{ "request", "/get/deadly", "/get/deadly", "a:50", false, false,
	  false },
	{ "body", "/get/deadly", "/get/deadly", NULL, false, true, false },
};

static char *send_numbered(const platform_rig_t *rig, int gateway,
			   const char *path, const char *parts, int number)
{
	CLEANUP_FREE char *target = g_strdup_printf("%s%d", path, number);
	CLEANUP_FREE char *headers = g_strdup_printf(
		"Model: m\r\nToken-Usage: 100,4\r\nPrompt-Prefix: %s,%x:5\r\n",
		parts, 0x1000 + number);

	return platform_rig_request(rig, gateway, "GET", target, headers);
}

static uint32_t all_crashes(const platform_rig_t *rig)
{
	uint32_t crashes = 0;

	for (int i = 0; i < ENDPOINT_COUNT; i++)
		crashes += rig->engines[i].crashes + rig->services[i].crashes;
	return crashes;
}

static int count_views(const platform_rig_t *rig, int gateway)
{
	const char *at = program_output(rig->gateways[gateway]);
	int count = 0;

	while ((at = strstr(at, "name=view_published"))) {
		at++;
		count++;
	}
	return count;
}

/* Sends a request whose body arrives in two pieces, cut at a place that differs
 * with the number. */
static char *send_with_body(const platform_rig_t *rig, int gateway,
			    const char *path, int number)
{
	CLEANUP_FREE char *body = g_strnfill(DEADLY_BODY_BYTES, 'b');
	CLEANUP_FREE char *head = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"
		"Key: key-1\r\nDeadline-Ms: 2500\r\nConnection: close\r\n"
		"Content-Length: %d\r\n\r\n",
		path, DEADLY_BODY_BYTES);
	CLEANUP_FREE char *request = g_strconcat(head, body, NULL);

	return raw_call_in_pieces(rig->ports[gateway], request,
				  strlen(head) + (100U << number));
}

static char *send_deadly_request(const platform_rig_t *rig,
				 const deadly_case_t *type, int number)
{
	if (type->has_body)
		return send_with_body(rig, number % 2, type->path, number);
	return send_numbered(rig, number % 2, type->path, type->deadly_parts,
			     type->numbered ? number : 0);
}

/* Sends a request and, if it crashes an endpoint, waits until both gateways
 * know the endpoint's next incarnation. */
static void send_deadly(const platform_rig_t *rig, const deadly_case_t *type,
			int number)
{
	int views[] = { count_views(rig, 0), count_views(rig, 1) };
	uint32_t crashes = all_crashes(rig);

	g_free(send_deadly_request(rig, type, number));
	for (int i = 0; i < 2 && all_crashes(rig) > crashes; i++)
		g_assert_true(WAIT_UNTIL(count_views(rig, i) > views[i],
					 HARNESS_WAIT_MS));
}

/* Failure: requests with one part of a prompt, or one request sent again and
 * again, crashed endpoint after endpoint at every instance. */
static void test_deadly(const void *data)
{
	const deadly_case_t *type = data;
	platform_rig_t rig;

	platform_rig_start(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig.engines[i].deadly_text = type->deadly_text;
		rig.engines[i].crashes_unframed = type->unframed;
		rig.services[i].deadly_text = type->deadly_text;
	}
	for (int i = 0; i < DEADLY_REQUESTS; i++) {
		char *answer;

		send_deadly(&rig, type, i);
		answer = send_numbered(&rig, i % 2, "/stream/again/",
				       "a:50,b:20", 100 + i);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		g_free(answer);
	}
	g_assert_cmpuint(all_crashes(&rig), <=,
			 DEADLY_CRASHES_MAX + DEADLY_ARRIVALS_AFTER_MAX);
	platform_rig_stop(&rig);
}

/* Failure: a part that waited for news of deeper ones was not blocked in time:
 * without further news, nothing looked at it again. */
static void test_deadly_waiting(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].deadly_text = "dead:";
	for (int i = 0; i < DEADLY_CRASHES_MIN; i++) {
		CLEANUP_FREE char *parts =
			g_strdup_printf("dead:50,%x:20", 0x2000 + i);
		const deadly_case_t type = {
			.path = "/stream/once/",
			.deadly_parts = parts,
			.numbered = true,
		};

		send_deadly(&rig, &type, i);
	}
	g_assert_cmpuint(all_crashes(&rig), ==, DEADLY_CRASHES_MIN);
	for (int i = 0; i < 2; i++)
		g_assert_true(WAIT_UNTIL(strstr(program_output(rig.gateways[i]),
						"name=crash_key_blocked"),
					 HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

typedef struct killed_case {
	const char *name;
	int crashes; /**< Before all gateways are killed. */
} killed_case_t;

static const killed_case_t killed_cases[] = {
	{ "blocked", DEADLY_CRASHES_MIN },
	{ "suspected", DEADLY_CRASHES_MIN - 1 },
};

/* Whether the store has evidence of this many crashes: as suspects, or as a
 * block if they are enough. */
static bool is_stored(const platform_rig_t *rig, int crashes)
{
	CLEANUP_JSON json_t *spec =
		platform_store_get(rig->store, "amv-crashes", "evidence");
	const json_t *rows = json_object_get(spec, "keys");
	const char *wanted = crashes < DEADLY_CRASHES_MIN ? "s" : "b";
	int count = 0;
	size_t i;
	json_t *row;

	json_array_foreach (rows, i, row) {
		const char *kind = json_string_value(json_array_get(row, 0));

		count += !strcmp(kind, wanted) &&
			 json_integer_value(json_array_get(row, 2)) ==
				 DEADLY_PART_DEPTH;
	}
	return count >= (crashes < DEADLY_CRASHES_MIN ? crashes : 1);
}

static void restart_all(platform_rig_t *rig)
{
	for (int i = 0; i < 2; i++)
		program_signal(rig->gateways[i], SIGKILL);
	for (int i = 0; i < 2; i++) {
		program_free(rig->gateways[i]);
		platform_rig_start_gateway(rig, i);
	}
	for (int i = 0; i < 2; i++)
		g_assert_true(WAIT_UNTIL(platform_rig_is_ready(rig, i),
					 HARNESS_WAIT_MS));
}

/* A gateway that knows of crashes since its start, or any if none does after
 * the time in which requests do not count. */
static int find_informed(const platform_rig_t *rig)
{
	int gateway = 0;

	WAIT_UNTIL(strstr(program_output(rig->gateways[gateway ^= 1]),
			  "name=crash_key_"),
		   STABLE_MS);
	return gateway;
}

/* Failure: after all gateways had been killed, what was known to crash
 * endpoints was sent to them again as if it were new. */
static void test_all_killed(const void *data)
{
	const killed_case_t *test_case = data;
	platform_rig_t rig;
	int gateway;

	platform_rig_start(&rig, 2);
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].deadly_text = "dead:";
	for (int i = 0; i < test_case->crashes; i++) {
		send_deadly(&rig, &deadly_cases[1], i);
		g_free(send_numbered(&rig, i % 2, "/stream/again/", "a:50,b:20",
				     100 + i));
		/* Without evidence in the store, no instance knows of it after
		 * the kill. */
		WAIT_UNTIL(is_stored(&rig, i + 1), STABLE_MS);
	}
	g_assert_cmpuint(all_crashes(&rig), ==, (uint32_t)test_case->crashes);
	restart_all(&rig);
	gateway = find_informed(&rig);
	for (int i = 0; i < DEADLY_REQUESTS; i++)
		g_free(send_numbered(&rig, gateway, deadly_cases[1].path,
				     deadly_cases[1].deadly_parts, 200 + i));
	g_assert_cmpuint(all_crashes(&rig), ==, DEADLY_CRASHES_MIN);
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-gateway/deadly-waiting", test_deadly_waiting);
	for (size_t i = 0; i < G_N_ELEMENTS(deadly_cases); i++) {
		char *path = g_strdup_printf("/it-gateway/deadly/%s",
					     deadly_cases[i].name);

		g_test_add_data_func(path, &deadly_cases[i], test_deadly);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(killed_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/it-gateway/deadly-all-killed/%s",
					killed_cases[i].name);

		g_test_add_data_func(path, &killed_cases[i], test_all_killed);
	}
	return g_test_run();
}
