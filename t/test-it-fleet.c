/* Several routers as one system, as real processes. */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/rig.h"

enum {
	/** Limits from docs/design.md, section 2. */
	IN_FORCE_MS = 4000,
	LEAVING_MS = 3000,
	/** Probe round, suspicion and spreading, with room for a busy machine.
	 */
	FAILURE_MS = 20000,
	/** The store client's longest pause in an outage, with room. */
	RECOVERY_MS = 45000,
	LONG_TOKENS = 100,
	OPERATORS = 4,
	TICKETS_EACH = 5,
	TICKETS = OPERATORS * TICKETS_EACH,
	FIRST_TICKET = 100,
	LAST_TICKET = FIRST_TICKET + 2 * (TICKETS - 1),
};

#define AGE "amv_config_age_ms"
#define READS "amv_store_calls_total{purpose=\"config\"}"
#define ASSERT_SOON(expression, timeout_ms) \
	g_assert_true(WAIT_UNTIL(expression, timeout_ms))

static json_t *status_of(rig_t *rig, int router)
{
	g_autoptr(http_answer_t) answer =
		rig_admin(rig, router, "status", NULL);

	return json_incref(answer->json);
}

/** Value of `limits/global` in force, which the tests' tickets set. */
static int64_t queue_max(rig_t *rig, int router)
{
	g_autoptr(http_answer_t) answer =
		rig_admin(rig, router, "objects", NULL);
	json_t *objects = json_object_get(answer->json, "objects");

	return json_integer_value(json_object_get(
		json_object_get(objects, "limits/global"), "queue_max"));
}

static http_answer_t *set_queue_max(rig_t *rig, int router, int value)
{
	g_autofree char *objects = g_strdup_printf(
		"{\"limits/global\":{\"queue_max\":%d}}", value);

	return rig_ticket(rig, router, value, objects);
}

static bool all_have(rig_t *rig, int64_t value)
{
	for (int i = 0; i < rig->options.routers; i++) {
		if (program_is_running(rig->routers[i]) &&
		    queue_max(rig, i) != value)
			return false;
	}
	return true;
}

/** State in a list of a router's status; empty if it is not listed. */
static char *state_in(rig_t *rig, int router, const char *list,
		      const char *name)
{
	CLEANUP_JSON json_t *status = status_of(rig, router);
	const char *key = !strcmp(list, "members") ? "instance" : "endpoint";
	json_t *row;
	size_t i;

	json_array_foreach (json_object_get(status, list), i, row) {
		if (!g_strcmp0(json_string_value(json_object_get(row, key)),
			       name))
			return g_strdup(json_string_value(
				json_object_get(row, "state")));
	}
	return g_strdup("");
}

/** Whether all other routers that run see one in a state. */
static bool others_see(rig_t *rig, int router, const char *state)
{
	g_autofree char *name = g_strdup_printf("r%d", router);

	for (int i = 0; i < rig->options.routers; i++) {
		g_autofree char *seen = NULL;

		if (i == router || !program_is_running(rig->routers[i]))
			continue;
		seen = state_in(rig, i, "members", name);
		if (strcmp(seen, state) != 0)
			return false;
	}
	return true;
}

static long chat_status(rig_t *rig, int router, const char *text)
{
	CLEANUP_FREE char *body = rig_body(text, 4, false);
	g_autoptr(http_answer_t) answer = rig_chat(rig, router, body);

	return answer->status;
}

static rig_t *start_fleet(int routers, int engines)
{
	rig_options_t options = { .routers = routers,
				  .engines = engines,
				  .domains = 2 };

	return rig_start(&options);
}

/**
 * Whether the audit trail says this of a ticket. It is read from the store
 * itself, as polling would use up a router's budget of calls.
 */
static bool has_entry(rig_t *rig, int ticket, const char *outcome)
{
	g_autofree char *wanted = g_strdup_printf(
		"\"who\": *\"rig\"[^}]*\"which\": *\"ticket/%d\"[^}]*"
		"\"outcome\": *\"%s\"",
		ticket, outcome);
	g_autoptr(http_answer_t) answer = http_local(
		"GET", rig->store_port, "/objects?prefix=audit/", NULL, NULL);

	return g_regex_match_simple(wanted, answer->body, 0, 0);
}

/* A ticket that stays on some instances, and instances that all read the store
 * for each change. */
static void test_ticket_everywhere(void)
{
	g_autoptr(rig_t) rig = start_fleet(6, 1);
	g_autoptr(http_answer_t) stale = NULL;
	int64_t reads[RIG_ROUTERS_MAX];
	int watchers = 0;

	for (int i = 0; i < 6; i++)
		reads[i] = rig_metric(rig, i, READS);
	for (int i = 0; i < 6; i++) {
		g_autoptr(http_answer_t) answer =
			set_queue_max(rig, i, 100 + i);

		g_assert_cmpint(answer->status, ==, 200);
		ASSERT_SOON(all_have(rig, 100 + i), IN_FORCE_MS);
	}
	for (int i = 0; i < 6; i++) {
		CLEANUP_JSON json_t *status = status_of(rig, i);
		bool watching =
			json_is_true(json_object_get(status, "watching"));

		watchers += watching;
		if (!watching)
			g_assert_cmpint(rig_metric(rig, i, READS), ==,
					reads[i]);
	}
	g_assert_cmpint(watchers, ==, 4);
	stale = set_queue_max(rig, 3, 99);
	g_assert_cmpint(stale->status, ==, 409);
	ASSERT_SOON(has_entry(rig, 99, "ticket_stale"), HARNESS_WAIT_MS);
	ASSERT_SOON(has_entry(rig, 105, "accepted"), HARNESS_WAIT_MS);
}

typedef struct operator_run {
	rig_t *rig;
	int router;
	long *answers; /**< Status of each ticket, by its number. */
	gint *decided; /**< Tickets with an answer. */
} operator_run_t;

/** Sends a ticket until it is decided: an outage or a lost answer ends. */
static long decide_ticket(rig_t *rig, int router, int number)
{
	uint64_t until_ms = clock_now_ms() + RECOVERY_MS;
	long status = 0;

	while (status != 200 && status != 409 && clock_now_ms() < until_ms) {
		g_autoptr(http_answer_t) answer =
			set_queue_max(rig, router, number);

		status = answer->status;
		g_assert_cmpint(status, !=, 422);
	}
	return status;
}

static void *run_operator(void *data)
{
	operator_run_t *run = data;

	for (int i = 0; i < TICKETS_EACH; i++) {
		int number = i * OPERATORS + run->router;

		run->answers[number] = decide_ticket(run->rig, run->router,
						     FIRST_TICKET + 2 * number);
		/* The next lower number is too late in any case. */
		g_assert_cmpint(decide_ticket(run->rig, run->router,
					      FIRST_TICKET + 2 * number - 1),
				==, 409);
		g_atomic_int_inc(run->decided);
	}
	return NULL;
}

/** Reads all instances while operators race: no value may go down. */
static void watch_for_reverts(rig_t *rig, gint *decided)
{
	int64_t last[RIG_ROUTERS_MAX] = { 0 };

	while (g_atomic_int_get(decided) < TICKETS) {
		for (int i = 0; i < rig->options.routers; i++) {
			int64_t value = queue_max(rig, i);

			g_assert_cmpint(value, >=, last[i]);
			last[i] = value;
		}
	}
}

/** The log must hold each ticket answered as accepted once, and no other. */
static void assert_log(rig_t *rig, const long *answers)
{
	g_autoptr(http_answer_t) head = http_local(
		"GET", rig->store_port, "/objects/config/head", NULL, NULL);
	int found[TICKETS] = { 0 };
	json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(head->json, "log"), i, entry) {
		json_int_t number =
			json_integer_value(json_object_get(entry, "ticket"));

		if (number == 1)
			continue;
		g_assert_cmpint(number % 2, ==, 0);
		found[(number - FIRST_TICKET) / 2]++;
	}
	for (int n = 0; n < TICKETS; n++)
		g_assert_cmpint(found[n], ==, answers[n] == 200);
	/* The highest number is above all others, so it is accepted. */
	g_assert_cmpint(found[TICKETS - 1], ==, 1);
}

/* An older ticket that wins over a newer one, instances that end up different,
 * a change that is undone, and an answer that is not what happened. */
static void test_race(gconstpointer store_fault)
{
	g_autoptr(rig_t) rig = start_fleet(OPERATORS, 0);
	operator_run_t runs[OPERATORS];
	GThread *threads[OPERATORS];
	long answers[TICKETS] = { 0 };
	gint decided = 0;

	standin_control(rig->store_port, store_fault);
	for (int i = 0; i < OPERATORS; i++) {
		runs[i] = (operator_run_t){ rig, i, answers, &decided };
		threads[i] = g_thread_new("operator", run_operator, &runs[i]);
	}
	watch_for_reverts(rig, &decided);
	for (int i = 0; i < OPERATORS; i++)
		g_thread_join(threads[i]);
	assert_log(rig, answers);
	ASSERT_SOON(all_have(rig, LAST_TICKET), IN_FORCE_MS);
	ASSERT_SOON(has_entry(rig, LAST_TICKET, "accepted"), HARNESS_WAIT_MS);
}

/* An outage of the store that stops requests, takes a ticket that is lost, or
 * leaves the instances behind when it ends. */
static void test_store_outage(void)
{
	g_autoptr(rig_t) rig = start_fleet(4, 1);
	g_autoptr(http_answer_t) refused = NULL;

	rig_set_store_out(rig, true);
	refused = set_queue_max(rig, 1, 100);
	rig_assert_refused(refused, 503, "store_down");
	for (int i = 0; i < 4; i++) {
		g_assert_cmpint(chat_status(rig, i, "served"), ==, 200);
		ASSERT_SOON(rig_metric(rig, i, AGE) > 6000, HARNESS_WAIT_MS);
		g_assert_cmpint(queue_max(rig, i), ==, 0);
	}
	rig_set_store_out(rig, false);
	g_assert_cmpint(decide_ticket(rig, 2, 101), ==, 200);
	ASSERT_SOON(all_have(rig, 101), IN_FORCE_MS);
	for (int i = 0; i < 4; i++)
		ASSERT_SOON(rig_metric(rig, i, AGE) < 6000, RECOVERY_MS);
}

/* A restart that serves nothing until the store answers, and one that serves
 * without a configuration. */
/*
 * The routers from `data` on restart: the last one and all of them while the
 * store is out, all but one while it is not.
 */
static void test_restart(gconstpointer data)
{
	int first = GPOINTER_TO_INT(data);
	g_autoptr(rig_t) rig = start_fleet(4, 1);
	g_autoptr(http_answer_t) answer = set_queue_max(rig, 0, 100);

	g_assert_cmpint(answer->status, ==, 200);
	ASSERT_SOON(all_have(rig, 100), IN_FORCE_MS);
	if (first != 1)
		rig_set_store_out(rig, true);
	for (int i = first; i < 4; i++)
		program_signal(rig->routers[i], SIGKILL);
	for (int i = first; i < 4; i++)
		rig_restart_router(rig, i);
	for (int i = first; i < 4 && first; i++) {
		ASSERT_SOON(rig_is_ready(rig, i), HARNESS_WAIT_MS);
		g_assert_cmpint(chat_status(rig, i, "again"), ==, 200);
		g_assert_cmpint(queue_max(rig, i), ==, 100);
		g_assert_cmpint(
			rig_metric(rig, i, "amv_start_source{source=\"peer\"}"),
			==, 1);
		/* A lone restart does not need the store at all. */
		if (first == 3)
			g_assert_cmpint(
				rig_metric(rig, i, "amv_start_store_calls"), ==,
				0);
	}
	if (first)
		return;
	for (int i = 0; i < 4; i++) {
		CLEANUP_FREE char *body = rig_body("early", 4, false);
		g_autoptr(http_answer_t) refused = rig_chat(rig, i, body);

		rig_assert_refused(refused, 503, "not_ready");
		g_assert_false(rig_is_ready(rig, i));
	}
	rig_set_store_out(rig, false);
	for (int i = 0; i < 4; i++)
		ASSERT_SOON(rig_is_ready(rig, i), RECOVERY_MS);
	g_assert_true(all_have(rig, 100));
}

static bool sees_leaving(rig_t *rig, int router)
{
	g_autofree char *state = state_in(rig, router, "endpoints", "e0");

	return !strcmp(state, "leaving");
}

/** Whether a router has had a load report of both engines. */
static bool has_polled(rig_t *rig, int router)
{
	CLEANUP_JSON json_t *status = status_of(rig, router);
	json_int_t first = 0;
	json_int_t second = 0;

	json_unpack(status, "{s:[{s:I},{s:I}]}", "endpoints", "incarnation",
		    &first, "incarnation", &second);
	return first && second;
}

/** Sends one more prompt to r0. @return whether it knows of the leaving */
static bool finds_leaving(rig_t *rig)
{
	g_autofree char *text = g_strdup_printf("%u", g_random_int());

	g_assert_cmpint(chat_status(rig, 0, text), ==, 200);
	return sees_leaving(rig, 0);
}

/* An endpoint that says it leaves and still gets work from instances that did
 * not hear it themselves. */
static void test_leaving_endpoint(void)
{
	rig_options_t options = {
		.routers = 4,
		.engines = 2,
		.domains = 2,
		/* Later flags win: no router learns it by its own polls in
		 * time, and the first answer that says it goes to r0. */
		.router_args = { "--poll-ms", "20000", "--poll-idle-ms",
				 "20000" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	uint64_t until_ms;
	int64_t ran;

	/* After the first poll; the next one comes later than the limit. */
	for (int i = 0; i < 4; i++)
		ASSERT_SOON(has_polled(rig, i), HARNESS_WAIT_MS);
	rig_set_store_out(rig, true);
	standin_control(rig->engine_ports[0], "{\"leaving\":true}");
	ASSERT_SOON(finds_leaving(rig), HARNESS_WAIT_MS);
	until_ms = clock_now_ms() + LEAVING_MS;
	for (int i = 0; i < 4; i++)
		ASSERT_SOON(sees_leaving(rig, i) && clock_now_ms() < until_ms,
			    LEAVING_MS);
	ran = http_local_number(rig->engine_ports[0], "/control/stats",
				"refused");
	for (int i = 0; i < 40; i++) {
		g_autofree char *text = g_strdup_printf("after %d", i);

		g_assert_cmpint(chat_status(rig, i % 4, text), ==, 200);
	}
	g_assert_cmpint(http_local_number(rig->engine_ports[0],
					  "/control/stats", "refused"),
			==, ran);
	rig_kill_engine(rig, 0);
	rig_restart_engine(rig, 0);
	for (int i = 0; i < 4; i++)
		ASSERT_SOON(!sees_leaving(rig, i), 3 * HARNESS_WAIT_MS);
}

/* A request that its caller sends to another router after each crash, until
 * all engines are lost. */
static void test_crashing_request(void)
{
	rig_options_t options = {
		.routers = 4,
		.engines = 4,
		.domains = 2,
		.engine_args = { "--crash-marker", "poison",
				 "--crash-after-tokens", "3" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *poison = rig_body("poison", LONG_TOKENS, false);

	for (int i = 0; i < 12; i++) {
		g_autofree char *text = g_strdup_printf("neighbour %d", i);
		g_autoptr(http_answer_t) answer = rig_chat(rig, i % 4, poison);

		g_assert_cmpint(answer->status, !=, 200);
		g_assert_cmpint(chat_status(rig, (i + 1) % 4, text), ==, 200);
		g_assert_cmpint(rig_running_engines(rig), >=, 2);
	}
	g_assert_cmpint(rig_running_engines(rig), ==, 2);
}

/* A stop that cuts a stream, or that others find out only by failed probes. */
static void test_planned_stop(void)
{
	g_autoptr(rig_t) rig = start_fleet(4, 1);

	for (int router = 2; router < 4; router++) {
		CLEANUP_FREE char *body = rig_body("long", LONG_TOKENS, true);
		g_autoptr(http_stream_t) stream =
			rig_stream(rig, router, RIG_KEY_1, body, NULL);

		ASSERT_SOON(http_stream_count(stream) > 5, HARNESS_WAIT_MS);
		if (router == 2) {
			g_autoptr(http_answer_t) answer =
				rig_admin(rig, router, "drain", "{}");

			g_assert_cmpint(answer->status, ==, 200);
		} else {
			program_signal(rig->routers[router], SIGTERM);
		}
		ASSERT_SOON(!rig_is_ready(rig, router), 1000);
		rig_assert_complete(stream, body);
		g_assert_cmpint(
			program_wait(rig->routers[router], HARNESS_WAIT_MS), ==,
			0);
		/* Sooner than a suspicion could end. */
		ASSERT_SOON(others_see(rig, router, ""), 2000);
	}
}

/* A dead or frozen instance that stays a member, or one that is not taken back
 * when it returns. */
static void test_failed_member(void)
{
	static const int signals[] = { SIGKILL, SIGSTOP };
	g_autoptr(rig_t) rig = start_fleet(4, 0);

	for (int i = 0; i < 2; i++) {
		program_signal(rig->routers[3], signals[i]);
		ASSERT_SOON(others_see(rig, 3, "failed"), FAILURE_MS);
		if (signals[i] == SIGSTOP)
			program_signal(rig->routers[3], SIGCONT);
		else
			rig_restart_router(rig, 3);
		ASSERT_SOON(others_see(rig, 3, "alive"), FAILURE_MS);
	}
}

static int run_command(rig_t *rig, const char *const words[3])
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u", rig->ports[0]);
	g_autoptr(program_t) program =
		program_start("amaranthvale", "--router", url, words[0],
			      words[1], words[2], NULL);

	return program_wait(program, HARNESS_WAIT_MS);
}

/* Commands that the admin interface does not understand. */
static void test_operator_command(void)
{
	static const char ticket[] =
		"{\"ticket\":100,\"author\":\"rig\",\"objects\":"
		"{\"limits/global\":{\"queue_max\":100}}}";
	g_autoptr(rig_t) rig = start_fleet(2, 0);
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("ticket-XXXXXX", &path, NULL);
	const struct {
		const char *words[3];
		int status;
	} commands[] = {
		{ { "ticket", "diff", path }, 0 },
		{ { "ticket", "status", "100" }, 1 },
		{ { "ticket", "apply", path }, 0 },
		{ { "ticket", "status", "100" }, 0 },
		{ { "status" }, 0 },
		{ { "audit" }, 0 },
		{ { "drain" }, 0 },
	};

	close(fd);
	g_assert_true(g_file_set_contents(path, ticket, -1, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		/* A change may take its time to be in force everywhere. */
		ASSERT_SOON(run_command(rig, commands[i].words) ==
				    commands[i].status,
			    IN_FORCE_MS);
	}
	g_assert_cmpint(program_wait(rig->routers[0], HARNESS_WAIT_MS), ==, 0);
	remove(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/fleet/ticket-everywhere", test_ticket_everywhere);
	g_test_add_data_func("/fleet/race", "{}", test_race);
	g_test_add_data_func(
		"/fleet/race-with-lost-answers",
		"{\"drop_write_answers\":6,\"drop_prefix\":\"config/\"}",
		test_race);
	g_test_add_func("/fleet/store-outage", test_store_outage);
	g_test_add_data_func("/fleet/restart-in-outage", GINT_TO_POINTER(3),
			     test_restart);
	g_test_add_data_func("/fleet/restart-all-but-one", GINT_TO_POINTER(1),
			     test_restart);
	g_test_add_data_func("/fleet/restart-all", GINT_TO_POINTER(0),
			     test_restart);
	g_test_add_func("/fleet/leaving-endpoint", test_leaving_endpoint);
	g_test_add_func("/fleet/crashing-request", test_crashing_request);
	g_test_add_func("/fleet/planned-stop", test_planned_stop);
	g_test_add_func("/fleet/failed-member", test_failed_member);
	g_test_add_func("/fleet/operator-command", test_operator_command);
	return g_test_run();
}
