/*
 * Orders (requests to a plain service with an idempotency key) through real
 * processes behind fault proxies. A ledger records every request and its
 * answer, and is compared with the executions that the plain service counted:
 * no key may run twice, and no request that was answered "not run" may run.
 */
#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "request/plain_fencing.h"
#include "process/clock.h"
#include "t/lib/rig.h"

enum {
	REQUESTS_MAX = 512,
	/** A claim is closed 2 s + the route's time limit + 2 s after it was
	 * made. */
	CLOSED_WAIT_MS = 20000,
	/** Interval of repeats: each costs two store calls of a budget of
	 * 5 calls/s. */
	REPEAT_MS = 500,
	/** Longer than the send window of a claim. */
	FREEZE_MS = 2300,
};

static struct {
	pthread_mutex_t lock;
	char keys[REQUESTS_MAX][16];
	bool not_run[REQUESTS_MAX];
	size_t count;	       /**< Requests of the current test. */
	size_t total_requests; /**< Requests of all tests. */
	size_t executed;       /**< Executions in all tests. */
	size_t duplicates;     /**< Requests whose key ran more than once. */
	size_t false_not_run;  /**< Requests answered "not run" but run. */
} ledger = { .lock = PTHREAD_MUTEX_INITIALIZER };

/** Adds a request. @return its index, which is also its request id */
static size_t ledger_add(const char *key)
{
	size_t entry;

	pthread_mutex_lock(&ledger.lock);
	g_assert_cmpuint(ledger.count, <, REQUESTS_MAX);
	entry = ledger.count++;
	g_strlcpy(ledger.keys[entry], key, sizeof(ledger.keys[entry]));
	ledger.not_run[entry] = false;
	pthread_mutex_unlock(&ledger.lock);
	return entry;
}

/** Sends a request with its own request id and records the answer. */
static http_answer_t *send_order(rig_t *rig, int router, const char *key,
				 const char *body)
{
	size_t entry = ledger_add(key);
	g_autofree char *key_header =
		g_strdup_printf("Idempotency-Key: %s", key);
	g_autofree char *request_id_header =
		g_strdup_printf("X-Request-Id: %zu", entry);
	const char *const headers[] = { RIG_KEY_1, key_header,
					request_id_header, NULL };
	http_answer_t *answer =
		http_local("POST", rig->ports[router], "/svc/dispatch/crews",
			   headers, body);
	g_autofree char *state = http_answer_header(answer, "X-Run-State");

	ledger.not_run[entry] = answer->status && !g_strcmp0(state, "not_run");
	g_test_message("%s through r%d: %ld %s", key, router, answer->status,
		       answer->body ? answer->body : "");
	return answer;
}

/** Value from `/control/executions`, summed over the plain services. */
static int64_t plain_stat(rig_t *rig, const char *member)
{
	int64_t sum = 0;

	for (int i = 0; i < rig->options.plain_services; i++)
		sum += http_local_number(rig->plain_ports[i],
					 "/control/executions", member);
	return sum;
}

static int64_t executions(rig_t *rig)
{
	return plain_stat(rig, "executed");
}

/** Compares the ledger with the executions and clears it. */
static void check_ledger(rig_t *rig)
{
	for (size_t i = 0; i < ledger.count; i++) {
		g_autofree char *key =
			g_strdup_printf("by_key %s", ledger.keys[i]);
		g_autofree char *request = g_strdup_printf("by_request %zu", i);

		ledger.duplicates += plain_stat(rig, key) > 1;
		ledger.false_not_run +=
			ledger.not_run[i] && plain_stat(rig, request) > 0;
	}
	g_assert_cmpuint(ledger.duplicates, ==, 0);
	g_assert_cmpuint(ledger.false_not_run, ==, 0);
	ledger.total_requests += ledger.count;
	ledger.executed += (size_t)executions(rig);
	ledger.count = 0;
}

static void assert_answer(const http_answer_t *answer, long status,
			  const char *type)
{
	const char *actual_type = "";

	json_unpack(answer->json, "{s:{s:s}}", "error", "type", &actual_type);
	g_assert_cmpstr(actual_type, ==, type);
	g_assert_cmpint(answer->status, ==, status);
}

/**
 * Sends a key again if REPEAT_MS have passed.
 * @return status of the last answer
 */
static long repeat_if_due(rig_t *rig, int router, const char *key,
			  http_answer_t **answer)
{
	static uint64_t next_ms;

	if (*answer && clock_now_ms() < next_ms)
		return (*answer)->status;
	next_ms = clock_now_ms() + REPEAT_MS;
	if (*answer)
		http_answer_free(*answer);
	*answer = send_order(rig, router, key, "{}");
	return (*answer)->status;
}

/** Repeats a key until its claim is no longer open. */
static http_answer_t *repeat_until_closed(rig_t *rig, int router,
					  const char *key)
{
	http_answer_t *answer = NULL;

	g_assert_true(
		WAIT_UNTIL(repeat_if_due(rig, router, key, &answer) != 409,
			   CLOSED_WAIT_MS));
	return answer;
}

static rig_t *start_rig(int plain_services, bool check_fencing)
{
	rig_options_t options = {
		.plain_services = plain_services,
		.routers = 2,
		.plain_services_check_fencing = check_fencing,
		.proxies = true,
		.dispatch_timeout_ms = 1000,
	};

	return rig_start(&options);
}

/** A request through router 0, sent by its own thread. */
typedef struct sender {
	rig_t *rig;
	pthread_t thread;
	http_answer_t *answer;
} sender_t;

static void *run_sender(void *context)
{
	sender_t *sender = context;

	sender->answer = send_order(sender->rig, 0, "k", "{}");
	return NULL;
}

static void start_sender(sender_t *sender, rig_t *rig)
{
	*sender = (sender_t){ .rig = rig };
	pthread_create(&sender->thread, NULL, run_sender, sender);
}

static void join_sender(sender_t *sender)
{
	pthread_join(sender->thread, NULL);
}

/** Kills the router that handles the request, and discards the answer. */
static void kill_router_and_join(sender_t *sender)
{
	rig_kill_router(sender->rig, 0);
	join_sender(sender);
	http_answer_free(sender->answer);
}

/** Writes of order records that reached the object API. */
static int64_t record_writes(rig_t *rig)
{
	return http_local_number(rig->store_port, "/control/stats",
				 "calls PUT order/");
}

static bool record_exists(rig_t *rig)
{
	g_autoptr(http_answer_t) list = http_local(
		"GET", rig->store_port, "/objects?prefix=order/", NULL, NULL);

	return json_array_size(json_object_get(list->json, "items")) > 0;
}

static int64_t connections_accepted(const rig_proxy_t *proxy)
{
	return http_local_number(proxy->control, "/control/stats", "accepted");
}

static bool wait_until_executed(rig_t *rig)
{
	return WAIT_UNTIL(executions(rig) == 1, HARNESS_WAIT_MS);
}

/* A router is killed before its claim reaches the store: another router must be
 * able to run the key. */
static void test_killed_before_claim(void)
{
	g_autoptr(rig_t) rig = start_rig(1, false);
	int64_t before;
	sender_t sender;
	g_autoptr(http_answer_t) repeated = NULL;

	standin_control(rig->store_proxies[0].control,
			"{\"blackhole\":true,\"cut\":true}");
	before = connections_accepted(&rig->store_proxies[0]);
	start_sender(&sender, rig);
	g_assert_true(WAIT_UNTIL(connections_accepted(&rig->store_proxies[0]) >
					 before,
				 HARNESS_WAIT_MS));
	kill_router_and_join(&sender);
	g_assert_cmpint(record_writes(rig), ==, 0);
	repeated = send_order(rig, 1, "k", "{}");
	assert_answer(repeated, 200, "");
	g_assert_cmpint(executions(rig), ==, 1);
	check_ledger(rig);
}

/* A claim takes effect after its router was killed. The next router must not
 * run the order, because it cannot know that nothing was sent, unless the
 * service proves by its fencing numbers that the order did not run. */
static void test_killed_after_claim(gconstpointer fencing)
{
	bool check_fencing = fencing != NULL;
	g_autoptr(rig_t) rig = start_rig(1, check_fencing);
	sender_t sender;
	g_autoptr(http_answer_t) outcome = NULL;
	g_autoptr(http_answer_t) closed = NULL;
	g_autoptr(http_answer_t) repeated = NULL;

	standin_control(rig->store_port, "{\"slow_ms\":500}");
	start_sender(&sender, rig);
	g_assert_true(WAIT_UNTIL(record_writes(rig) == 1, HARNESS_WAIT_MS));
	kill_router_and_join(&sender);
	standin_control(rig->store_port, "{\"slow_ms\":0}");
	g_assert_true(WAIT_UNTIL(record_exists(rig), HARNESS_WAIT_MS));
	outcome = repeat_until_closed(rig, 1, "k");
	if (!check_fencing) {
		assert_answer(outcome, 502, "order_unknown");
		g_assert_cmpint(executions(rig), ==, 0);
	} else {
		assert_answer(outcome, 503, "order_not_run");
		g_assert_cmpint(executions(rig), ==, 0);
		repeated = send_order(rig, 1, "k", "{}");
		assert_answer(repeated, 200, "");
	}
	check_ledger(rig);
}

/* An order that ran before its router was killed must not run again, and must
 * not be answered "not run". */
static void test_killed_after_send(gconstpointer fencing)
{
	bool check_fencing = fencing != NULL;
	g_autoptr(rig_t) rig = start_rig(1, check_fencing);
	sender_t sender;
	g_autoptr(http_answer_t) closed = NULL;
	g_autoptr(http_answer_t) repeated = NULL;

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":2000}");
	start_sender(&sender, rig);
	g_assert_true(wait_until_executed(rig));
	kill_router_and_join(&sender);
	closed = repeat_until_closed(rig, 1, "k");
	assert_answer(closed, 502, "order_unknown");
	repeated = send_order(rig, 1, "k", "{}");
	assert_answer(repeated, 502, "order_unknown");
	g_assert_cmpint(executions(rig), ==, 1);
	check_ledger(rig);
}

/* A request is still in transit when the service proves "not run": the service
 * must refuse it when it arrives. */
static void test_late_request(void)
{
	g_autoptr(rig_t) rig = start_rig(1, true);
	const rig_proxy_t *proxy = &rig->plain_proxies[0];
	sender_t sender;
	g_autoptr(http_answer_t) closed = NULL;

	standin_control(proxy->control, "{\"delay_ms\":9000}");
	start_sender(&sender, rig);
	g_assert_true(WAIT_UNTIL(
		http_local_number(proxy->control, "/control/stats", "held") > 0,
		HARNESS_WAIT_MS));
	kill_router_and_join(&sender);
	standin_control(proxy->control, "{\"delay_ms\":0}");
	closed = repeat_until_closed(rig, 1, "k");
	assert_answer(closed, 503, "order_not_run");
	g_assert_cmpint(executions(rig), ==, 0);
	g_assert_true(
		WAIT_UNTIL(plain_stat(rig, "fenced") == 1, CLOSED_WAIT_MS));
	g_assert_cmpint(executions(rig), ==, 0);
	check_ledger(rig);
}

/* An order runs, but its router is killed before it can record the outcome: the
 * order must not run a second time. */
static void test_killed_before_record(void)
{
	g_autoptr(rig_t) rig = start_rig(1, false);
	sender_t sender;
	g_autoptr(http_answer_t) closed = NULL;

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":300}");
	start_sender(&sender, rig);
	g_assert_true(wait_until_executed(rig));
	standin_control(rig->store_proxies[0].control,
			"{\"blackhole\":true,\"cut\":true}");
	join_sender(&sender);
	assert_answer(sender.answer, 200, "");
	rig_kill_router(rig, 0);
	http_answer_free(sender.answer);
	closed = repeat_until_closed(rig, 1, "k");
	assert_answer(closed, 502, "order_unknown");
	g_assert_cmpint(executions(rig), ==, 1);
	check_ledger(rig);
}

/* The store applies a claim, but its answer is lost: the router must find and
 * use the claim instead of making another. */
static void test_claim_answer_lost(void)
{
	g_autoptr(rig_t) rig = start_rig(1, false);
	g_autoptr(http_answer_t) answer = NULL;
	g_autoptr(http_answer_t) repeated = NULL;

	standin_control(rig->store_port, "{\"drop_write_answers\":1,"
					 "\"drop_prefix\":\"order/\"}");
	answer = send_order(rig, 0, "k", "{}");
	g_assert_cmpint(http_local_number(rig->store_port, "/control/stats",
					  "answers_dropped"),
			==, 1);
	assert_answer(answer, 200, "");
	repeated = send_order(rig, 1, "k", "{}");
	assert_answer(repeated, 200, "");
	g_assert_cmpint(executions(rig), ==, 1);
	check_ledger(rig);
}

/* While the store is down no order is sent. An outage after the send must not
 * change the answer, nor the record once the outage has ended. */
static void test_store_outage(void)
{
	g_autoptr(rig_t) rig = start_rig(1, false);
	sender_t sender;
	g_autoptr(http_answer_t) refused = NULL;
	g_autoptr(http_answer_t) repeated = NULL;

	standin_control(rig->store_port, "{\"outage_ms\":-1}");
	refused = send_order(rig, 1, "k0", "{}");
	assert_answer(refused, 503, "store_down");
	g_assert_cmpint(executions(rig), ==, 0);
	standin_control(rig->store_port, "{\"outage_ms\":0}");
	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":300}");
	start_sender(&sender, rig);
	g_assert_true(wait_until_executed(rig));
	standin_control(rig->store_port, "{\"outage_ms\":1000}");
	join_sender(&sender);
	assert_answer(sender.answer, 200, "");
	g_assert_true(WAIT_UNTIL(repeat_if_due(rig, 1, "k", &repeated) == 200,
				 CLOSED_WAIT_MS));
	g_assert_cmpstr(repeated->body, ==, sender.answer->body);
	http_answer_free(sender.answer);
	g_assert_cmpint(executions(rig), ==, 1);
	check_ledger(rig);
}

/* A service runs the order and closes the connection without an answer: the
 * order must not run again. */
static void test_answer_lost(gconstpointer fencing)
{
	bool check_fencing = fencing != NULL;
	g_autoptr(rig_t) rig = start_rig(2, check_fencing);

	for (int i = 0; i < 2; i++)
		standin_control(rig->plain_ports[i], "{\"lose_answers\":1}");
	for (int i = 0; i < 3; i++) {
		g_autoptr(http_answer_t) answer =
			send_order(rig, i % 2, "k", "{}");

		assert_answer(answer, 502, "order_unknown");
	}
	g_assert_cmpint(executions(rig), ==, 1);
	/* One fencing query for each request; it answers that the order ran. */
	g_assert_cmpint(plain_stat(rig, "asked"), ==, check_fencing ? 3 : 0);
	check_ledger(rig);
}

/* A router that was frozen for longer than the send window of its claim must
 * not send the order. */
static void test_frozen_router(void)
{
	g_autoptr(rig_t) rig = start_rig(1, false);
	sender_t sender;
	uint64_t thaw_ms;

	standin_control(rig->store_port, "{\"slow_ms\":300}");
	start_sender(&sender, rig);
	g_assert_true(WAIT_UNTIL(record_writes(rig) == 1, HARNESS_WAIT_MS));
	program_signal(rig->routers[0], SIGSTOP);
	thaw_ms = clock_now_ms() + FREEZE_MS;
	g_assert_true(WAIT_UNTIL(clock_now_ms() >= thaw_ms, HARNESS_WAIT_MS));
	standin_control(rig->store_port, "{\"slow_ms\":0}");
	program_signal(rig->routers[0], SIGCONT);
	join_sender(&sender);
	assert_answer(sender.answer, 503, "order_not_run");
	http_answer_free(sender.answer);
	g_assert_cmpint(executions(rig), ==, 0);
	check_ledger(rig);
}

/* Any router must answer a repeated key from the record and refuse the key with
 * another body. Clients must not reach the path of the fencing query. */
static void test_repeat(void)
{
	static const char *const headers[] = { RIG_KEY_1, "Idempotency-Key: f",
					       NULL };
	static const char *const paths[] = { "/svc/dispatch/fencing",
					     "/svc/dispatch/%66encing?x",
					     "/svc/dispatch//fencing/" };
	g_autoptr(rig_t) rig = start_rig(1, true);
	g_autoptr(http_answer_t) first = send_order(rig, 0, "k", "{}");
	g_autoptr(http_answer_t) repeated = send_order(rig, 1, "k", "{}");
	g_autoptr(http_answer_t) other =
		send_order(rig, 1, "k", "{\"crew\":2}");

	assert_answer(first, 200, "");
	assert_answer(repeated, 200, "");
	g_assert_cmpstr(repeated->body, ==, first->body);
	assert_answer(other, 422, "key_reused");
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		g_autoptr(http_answer_t) closed =
			http_local("POST", rig->ports[0], paths[i], headers,
				   "{\"key\":\"k9\",\"number\":9}");

		assert_answer(closed, 404, "unknown_route");
	}
	g_assert_cmpint(plain_stat(rig, "asked"), ==, 0);
	g_assert_cmpint(executions(rig), ==, 1);
	check_ledger(rig);
}

/* A repeat that follows an answer must not find the claim open, however far the
 * store is. */
static void test_repeat_at_once(void)
{
	g_autoptr(rig_t) rig = start_rig(1, false);
	g_autoptr(http_answer_t) first = NULL;
	g_autoptr(http_answer_t) repeated = NULL;

	standin_control(rig->store_proxies[0].control, "{\"delay_ms\":200}");
	first = send_order(rig, 0, "k", "{}");
	repeated = send_order(rig, 1, "k", "{}");
	assert_answer(first, 200, "");
	assert_answer(repeated, 200, "");
	g_assert_cmpstr(repeated->body, ==, first->body);
	check_ledger(rig);
}

/* Only a complete answer with the queried number proves that a key did not
 * run. */
static void test_fencing_answer_proof(void)
{
	static const struct {
		const char *text;
		order_proof_t proof;
	} cases[] = {
		{ "{\"highest\":7,\"ran\":false}", ORDER_PROOF_NOT_RUN },
		{ "{\"highest\":7,\"ran\":true}", ORDER_PROOF_NONE },
		{ "{\"highest\":8,\"ran\":false}", ORDER_PROOF_NONE },
		{ "{\"highest\":6,\"ran\":false}", ORDER_PROOF_NONE },
		{ "{\"highest\":-1,\"ran\":false}", ORDER_PROOF_NONE },
		{ "{\"highest\":\"7\",\"ran\":false}", ORDER_PROOF_NONE },
		{ "{\"highest\":7}", ORDER_PROOF_NONE },
		{ "{\"ran\":false}", ORDER_PROOF_NONE },
		{ "{\"highest\":7,\"ran\":fal", ORDER_PROOF_NONE },
		{ "", ORDER_PROOF_NONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(plain_fencing_parse_answer(cases[i].text, 7),
				==, cases[i].proof);
}

int main(int argc, char **argv)
{
	/* Run with a service that ignores fencing numbers and with one that
	 * checks them. */
	static const struct {
		const char *name;
		GTestDataFunc test;
	} fencing_variants[] = {
		{ "killed-after-claim", test_killed_after_claim },
		{ "killed-after-send", test_killed_after_send },
		{ "answer-lost", test_answer_lost },
	};
	int result;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/orders/proof", test_fencing_answer_proof);
	g_test_add_func("/orders/repeat", test_repeat);
	g_test_add_func("/orders/repeat-at-once", test_repeat_at_once);
	g_test_add_func("/orders/killed-before-claim",
			test_killed_before_claim);
	for (size_t i = 0; i < G_N_ELEMENTS(fencing_variants); i++) {
		g_autofree char *name =
			g_strdup_printf("/orders/%s", fencing_variants[i].name);
		g_autofree char *name_with_fencing = g_strdup_printf(
			"/orders/%s-fencing", fencing_variants[i].name);

		g_test_add_data_func(name, NULL, fencing_variants[i].test);
		g_test_add_data_func(name_with_fencing, "",
				     fencing_variants[i].test);
	}
	g_test_add_func("/orders/killed-before-record",
			test_killed_before_record);
	g_test_add_func("/orders/late-request", test_late_request);
	g_test_add_func("/orders/claim-answer-lost", test_claim_answer_lost);
	g_test_add_func("/orders/store-outage", test_store_outage);
	g_test_add_func("/orders/frozen-router", test_frozen_router);
	result = g_test_run();
	g_print("# %zu requests, %zu executions, %zu duplicates, %zu executed "
		"though answered \"not run\"\n",
		ledger.total_requests, ledger.executed, ledger.duplicates,
		ledger.false_not_run);
	return result;
}
