/* Tests of several routers as one system, with real processes. */
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
	PROPAGATION_MS = 4000,
	LEAVING_PROPAGATION_MS = 3000,
	/** Probe round, suspicion and dissemination, with a margin for a busy
	 * machine. */
	FAILURE_DETECTION_MS = 20000,
	/** The store client's longest backoff in an outage, with a margin. */
	STORE_RECOVERY_MS = 45000,
	LONG_ANSWER_TOKENS = 100,
	OPERATORS = 4,
	TICKETS_PER_OPERATOR = 5,
	TICKETS = OPERATORS * TICKETS_PER_OPERATOR,
	FIRST_TICKET = 100,
	LAST_TICKET = FIRST_TICKET + 2 * (TICKETS - 1),
};

#define CONFIG_AGE_METRIC "amv_config_age_ms"
#define CONFIG_READS_METRIC "amv_store_calls_total{purpose=\"config\"}"
#define ASSERT_WITHIN(expression, timeout_ms) \
	g_assert_true(WAIT_UNTIL(expression, timeout_ms))

static json_t *get_status(rig_t *rig, int router)
{
	g_autoptr(http_answer_t) answer =
		rig_admin(rig, router, "status", NULL);

	return json_incref(answer->json);
}

/** `queue_max` of `limits/global` in force; the tests' tickets set it. */
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

	return rig_apply_ticket(rig, router, value, objects);
}

static bool all_have_queue_max(rig_t *rig, int64_t value)
{
	for (int i = 0; i < rig->options.routers; i++) {
		if (program_is_running(rig->routers[i]) &&
		    queue_max(rig, i) != value)
			return false;
	}
	return true;
}

/**
 * State of an instance (list "members") or endpoint (list "endpoints") in a
 * router's status; empty if it is not listed.
 */
static char *listed_state(rig_t *rig, int router, const char *list,
			  const char *name)
{
	CLEANUP_JSON json_t *status = get_status(rig, router);
	const char *key = !strcmp(list, "members") ? "instance" : "endpoint";
	json_t *entry;
	size_t i;

	json_array_foreach (json_object_get(status, list), i, entry) {
		if (!g_strcmp0(json_string_value(json_object_get(entry, key)),
			       name))
			return g_strdup(json_string_value(
				json_object_get(entry, "state")));
	}
	return g_strdup("");
}

/** Whether all other running routers list this router in a state. */
static bool others_list_state(rig_t *rig, int router, const char *state)
{
	g_autofree char *name = g_strdup_printf("r%d", router);

	for (int i = 0; i < rig->options.routers; i++) {
		g_autofree char *listed = NULL;

		if (i == router || !program_is_running(rig->routers[i]))
			continue;
		listed = listed_state(rig, i, "members", name);
		if (strcmp(listed, state) != 0)
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
 * Whether the audit log has an entry with this outcome for a ticket. Reads the
 * store directly, as polling would use up a router's store call budget.
 */
static bool has_audit_entry(rig_t *rig, int ticket, const char *outcome)
{
	g_autofree char *pattern = g_strdup_printf(
		"\"who\": *\"rig\"[^}]*\"which\": *\"ticket/%d\"[^}]*"
		"\"outcome\": *\"%s\"",
		ticket, outcome);
	g_autoptr(http_answer_t) answer = http_local(
		"GET", rig->store_port, "/objects?prefix=audit/", NULL, NULL);

	return g_regex_match_simple(pattern, answer->body, 0, 0);
}

/* Guards against a ticket that reaches only some instances, and against all
 * instances reading the store for each change: only the 4 watchers may. */
static void test_ticket_propagation(void)
{
	g_autoptr(rig_t) rig = start_fleet(6, 1);
	g_autoptr(http_answer_t) stale = NULL;
	int64_t reads[RIG_ROUTERS_MAX];
	int watchers = 0;

	for (int i = 0; i < 6; i++)
		reads[i] = rig_metric(rig, i, CONFIG_READS_METRIC);
	for (int i = 0; i < 6; i++) {
		g_autoptr(http_answer_t) answer =
			set_queue_max(rig, i, 100 + i);

		g_assert_cmpint(answer->status, ==, 200);
		ASSERT_WITHIN(all_have_queue_max(rig, 100 + i), PROPAGATION_MS);
	}
	for (int i = 0; i < 6; i++) {
		CLEANUP_JSON json_t *status = get_status(rig, i);
		bool watching =
			json_is_true(json_object_get(status, "watching"));

		watchers += watching;
		if (!watching)
			g_assert_cmpint(rig_metric(rig, i, CONFIG_READS_METRIC),
					==, reads[i]);
	}
	g_assert_cmpint(watchers, ==, 4);
	stale = set_queue_max(rig, 3, 99);
	g_assert_cmpint(stale->status, ==, 409);
	ASSERT_WITHIN(has_audit_entry(rig, 99, "ticket_stale"),
		      HARNESS_WAIT_MS);
	ASSERT_WITHIN(has_audit_entry(rig, 105, "accepted"), HARNESS_WAIT_MS);
}

typedef struct operator_run {
	rig_t *rig;
	int router;
	long *answers; /**< HTTP status of each ticket, by its index. */
	gint *decided; /**< Tickets accepted or refused. */
} operator_run_t;

/** Sends a ticket until it is accepted or refused, as an answer may be lost or
 * the store be down for a while. */
static long submit_until_decided(rig_t *rig, int router, int number)
{
	uint64_t deadline_ms = clock_now_ms() + STORE_RECOVERY_MS;
	long status = 0;

	while (status != 200 && status != 409 && clock_now_ms() < deadline_ms) {
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

	for (int i = 0; i < TICKETS_PER_OPERATOR; i++) {
		int ticket_index = i * OPERATORS + run->router;

		run->answers[ticket_index] = submit_until_decided(
			run->rig, run->router, FIRST_TICKET + 2 * ticket_index);
		/* The next lower number is stale whatever the outcome was. */
		g_assert_cmpint(submit_until_decided(
					run->rig, run->router,
					FIRST_TICKET + 2 * ticket_index - 1),
				==, 409);
		g_atomic_int_inc(run->decided);
	}
	return NULL;
}

/** Polls all instances while the operators run: no value may decrease. */
static void assert_no_reverts(rig_t *rig, gint *decided)
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

/** The log must have each accepted ticket exactly once, and no other. */
static void assert_config_log(rig_t *rig, const long *answers)
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
	/* No ticket has a higher number, so this one must be accepted. */
	g_assert_cmpint(found[TICKETS - 1], ==, 1);
}

/* Operators send tickets at the same time. Guards against an older ticket that
 * replaces a newer one, instances that end with different configurations, a
 * change that is reverted, and an answer that contradicts the log. */
static void test_concurrent_tickets(gconstpointer store_fault)
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
	assert_no_reverts(rig, &decided);
	for (int i = 0; i < OPERATORS; i++)
		g_thread_join(threads[i]);
	assert_config_log(rig, answers);
	ASSERT_WITHIN(all_have_queue_max(rig, LAST_TICKET), PROPAGATION_MS);
	ASSERT_WITHIN(has_audit_entry(rig, LAST_TICKET, "accepted"),
		      HARNESS_WAIT_MS);
}

/* Guards against a store outage in which requests are refused or a ticket is
 * accepted and lost, and after which instances keep an old configuration. */
static void test_store_outage(void)
{
	g_autoptr(rig_t) rig = start_fleet(4, 1);
	g_autoptr(http_answer_t) refused = NULL;

	rig_set_store_down(rig, true);
	refused = set_queue_max(rig, 1, 100);
	rig_assert_refused(refused, 503, "store_down");
	for (int i = 0; i < 4; i++) {
		g_assert_cmpint(chat_status(rig, i, "served"), ==, 200);
		ASSERT_WITHIN(rig_metric(rig, i, CONFIG_AGE_METRIC) > 6000,
			      HARNESS_WAIT_MS);
		g_assert_cmpint(queue_max(rig, i), ==, 0);
	}
	rig_set_store_down(rig, false);
	g_assert_cmpint(submit_until_decided(rig, 2, 101), ==, 200);
	ASSERT_WITHIN(all_have_queue_max(rig, 101), PROPAGATION_MS);
	for (int i = 0; i < 4; i++)
		ASSERT_WITHIN(rig_metric(rig, i, CONFIG_AGE_METRIC) < 6000,
			      STORE_RECOVERY_MS);
}

/*
 * Guards against a restarted router that cannot serve until the store answers
 * although a peer has the configuration, and against one that serves without a
 * configuration.
 *
 * Restarts the routers from number `data` on: 3 (the last one) and 0 (all)
 * while the store is down, 1 (all but one) while it is up.
 */
static void test_restart(gconstpointer data)
{
	int first_restarted = GPOINTER_TO_INT(data);
	g_autoptr(rig_t) rig = start_fleet(4, 1);
	g_autoptr(http_answer_t) answer = set_queue_max(rig, 0, 100);

	g_assert_cmpint(answer->status, ==, 200);
	ASSERT_WITHIN(all_have_queue_max(rig, 100), PROPAGATION_MS);
	if (first_restarted != 1)
		rig_set_store_down(rig, true);
	for (int i = first_restarted; i < 4; i++)
		program_signal(rig->routers[i], SIGKILL);
	for (int i = first_restarted; i < 4; i++)
		rig_restart_router(rig, i);
	for (int i = first_restarted; i < 4 && first_restarted; i++) {
		ASSERT_WITHIN(rig_is_ready(rig, i), HARNESS_WAIT_MS);
		g_assert_cmpint(chat_status(rig, i, "again"), ==, 200);
		g_assert_cmpint(queue_max(rig, i), ==, 100);
		g_assert_cmpint(
			rig_metric(rig, i, "amv_start_source{source=\"peer\"}"),
			==, 1);
		/* A single restart makes no store call. */
		if (first_restarted == 3)
			g_assert_cmpint(
				rig_metric(rig, i, "amv_start_store_calls"), ==,
				0);
	}
	if (first_restarted)
		return;
	for (int i = 0; i < 4; i++) {
		CLEANUP_FREE char *body = rig_body("early", 4, false);
		g_autoptr(http_answer_t) refused = rig_chat(rig, i, body);

		rig_assert_refused(refused, 503, "not_ready");
		g_assert_false(rig_is_ready(rig, i));
	}
	rig_set_store_down(rig, false);
	for (int i = 0; i < 4; i++)
		ASSERT_WITHIN(rig_is_ready(rig, i), STORE_RECOVERY_MS);
	g_assert_true(all_have_queue_max(rig, 100));
}

static bool sees_leaving(rig_t *rig, int router)
{
	g_autofree char *state = listed_state(rig, router, "endpoints", "e0");

	return !strcmp(state, "leaving");
}

/** Whether a router has received a load report of both engines. */
static bool has_polled(rig_t *rig, int router)
{
	CLEANUP_JSON json_t *status = get_status(rig, router);
	json_int_t first = 0;
	json_int_t second = 0;

	json_unpack(status, "{s:[{s:I},{s:I}]}", "endpoints", "incarnation",
		    &first, "incarnation", &second);
	return first && second;
}

/** Sends a prompt through r0. @return whether r0 then lists e0 as leaving */
static bool prompt_and_check_leaving(rig_t *rig)
{
	g_autofree char *text = g_strdup_printf("%u", g_random_int());

	g_assert_cmpint(chat_status(rig, 0, text), ==, 200);
	return sees_leaving(rig, 0);
}

/* Guards against a leaving endpoint that still gets requests from instances
 * that did not receive its state themselves. */
static void test_leaving_endpoint(void)
{
	rig_options_t options = {
		.routers = 4,
		.engines = 2,
		.domains = 2,
		/* These override earlier flags. No router polls often enough
		 * to learn the state in time; only r0 learns it, from an
		 * answer. */
		.router_args = { "--poll-ms", "20000", "--poll-idle-ms",
				 "20000" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	uint64_t deadline_ms;
	int64_t refused_before;

	/* After the first poll; the next one comes after the time limit. */
	for (int i = 0; i < 4; i++)
		ASSERT_WITHIN(has_polled(rig, i), HARNESS_WAIT_MS);
	rig_set_store_down(rig, true);
	standin_control(rig->engine_ports[0], "{\"leaving\":true}");
	ASSERT_WITHIN(prompt_and_check_leaving(rig), HARNESS_WAIT_MS);
	deadline_ms = clock_now_ms() + LEAVING_PROPAGATION_MS;
	for (int i = 0; i < 4; i++)
		ASSERT_WITHIN(sees_leaving(rig, i) &&
				      clock_now_ms() < deadline_ms,
			      LEAVING_PROPAGATION_MS);
	refused_before = http_local_number(rig->engine_ports[0],
					   "/control/stats", "refused");
	for (int i = 0; i < 40; i++) {
		g_autofree char *text = g_strdup_printf("after %d", i);

		g_assert_cmpint(chat_status(rig, i % 4, text), ==, 200);
	}
	g_assert_cmpint(http_local_number(rig->engine_ports[0],
					  "/control/stats", "refused"),
			==, refused_before);
	rig_kill_engine(rig, 0);
	rig_restart_engine(rig, 0);
	for (int i = 0; i < 4; i++)
		ASSERT_WITHIN(!sees_leaving(rig, i), 3 * HARNESS_WAIT_MS);
}

/* A client sends a request that crashes its engine to another router after each
 * crash. At most two engines may be lost. */
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
	CLEANUP_FREE char *crash_body =
		rig_body("poison", LONG_ANSWER_TOKENS, false);

	for (int i = 0; i < 12; i++) {
		g_autofree char *text = g_strdup_printf("neighbour %d", i);
		g_autoptr(http_answer_t) answer =
			rig_chat(rig, i % 4, crash_body);

		g_assert_cmpint(answer->status, !=, 200);
		g_assert_cmpint(chat_status(rig, (i + 1) % 4, text), ==, 200);
		g_assert_cmpint(rig_running_engines(rig), >=, 2);
	}
	g_assert_cmpint(rig_running_engines(rig), ==, 2);
}

/* Guards against a planned stop that interrupts a stream, or that other routers
 * notice only by failed probes. */
static void test_planned_stop(void)
{
	g_autoptr(rig_t) rig = start_fleet(4, 1);

	for (int router = 2; router < 4; router++) {
		CLEANUP_FREE char *body =
			rig_body("long", LONG_ANSWER_TOKENS, true);
		g_autoptr(http_stream_t) stream =
			rig_stream(rig, router, RIG_KEY_1, body, NULL);

		ASSERT_WITHIN(http_stream_count(stream) > 5, HARNESS_WAIT_MS);
		if (router == 2) {
			g_autoptr(http_answer_t) answer =
				rig_admin(rig, router, "drain", "{}");

			g_assert_cmpint(answer->status, ==, 200);
		} else {
			program_signal(rig->routers[router], SIGTERM);
		}
		ASSERT_WITHIN(!rig_is_ready(rig, router), 1000);
		rig_assert_complete(stream, body);
		g_assert_cmpint(
			program_wait(rig->routers[router], HARNESS_WAIT_MS), ==,
			0);
		/* Shorter than the suspicion timeout. */
		ASSERT_WITHIN(others_list_state(rig, router, ""), 2000);
	}
}

/* Guards against a killed or frozen instance that still counts as alive, and
 * against one that is not readmitted when it returns. */
static void test_failed_member(void)
{
	static const int signals[] = { SIGKILL, SIGSTOP };
	g_autoptr(rig_t) rig = start_fleet(4, 0);

	for (int i = 0; i < 2; i++) {
		program_signal(rig->routers[3], signals[i]);
		ASSERT_WITHIN(others_list_state(rig, 3, "failed"),
			      FAILURE_DETECTION_MS);
		if (signals[i] == SIGSTOP)
			program_signal(rig->routers[3], SIGCONT);
		else
			rig_restart_router(rig, 3);
		ASSERT_WITHIN(others_list_state(rig, 3, "alive"),
			      FAILURE_DETECTION_MS);
	}
}

static int operator_command_status(rig_t *rig, const char *const arguments[3])
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u", rig->ports[0]);
	g_autoptr(program_t) program =
		program_start("amaranthvale", "--router", url, arguments[0],
			      arguments[1], arguments[2], NULL);

	return program_wait(program, HARNESS_WAIT_MS);
}

/* Every operator command must be understood by the admin interface. */
static void test_operator_command(void)
{
	static const char ticket[] =
		"{\"ticket\":100,\"author\":\"rig\",\"objects\":"
		"{\"limits/global\":{\"queue_max\":100}}}";
	g_autoptr(rig_t) rig = start_fleet(2, 0);
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("ticket-XXXXXX", &path, NULL);
	const struct {
		const char *arguments[3];
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
		/* A change may take some time to be in force everywhere. */
		ASSERT_WITHIN(
			operator_command_status(rig, commands[i].arguments) ==
				commands[i].status,
			PROPAGATION_MS);
	}
	g_assert_cmpint(program_wait(rig->routers[0], HARNESS_WAIT_MS), ==, 0);
	remove(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/fleet/ticket-propagation", test_ticket_propagation);
	g_test_add_data_func("/fleet/race", "{}", test_concurrent_tickets);
	g_test_add_data_func(
		"/fleet/race-with-lost-answers",
		"{\"drop_write_answers\":6,\"drop_prefix\":\"config/\"}",
		test_concurrent_tickets);
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
