/*
 * Orders through real processes behind fault proxies. Every request and its
 * answer is kept in a ledger, which is compared with the executions that the
 * plain service counted: no key twice, and nothing that was answered "not run".
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
	/** Claims are closed 2 s + the route's time limit + 2 s after they
	 * were made. */
	CLOSED_WAIT_MS = 20000,
	/** A repeat costs two calls, and the budget is five a second. */
	REPEAT_MS = 500,
	/** Longer than the send window of a claim. */
	FREEZE_MS = 2300,
};

static struct {
	pthread_mutex_t lock;
	char keys[REQUESTS_MAX][16];
	bool not_run[REQUESTS_MAX];
	size_t count;	/**< In this test. */
	size_t checked; /**< In the whole file. */
	size_t executed;
	size_t duplicates; /**< Requests whose key ran more than once. */
	size_t wrong;	   /**< Answered "not run" and executed. */
} ledger = { .lock = PTHREAD_MUTEX_INITIALIZER };

static size_t ledger_open(const char *key)
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

/** Sends one request with a number of its own and notes the answer. */
static http_answer_t *order(rig_t *rig, int router, const char *key,
			    const char *body)
{
	size_t entry = ledger_open(key);
	g_autofree char *line = g_strdup_printf("Idempotency-Key: %s", key);
	g_autofree char *number = g_strdup_printf("X-Request-Id: %zu", entry);
	const char *const headers[] = { RIG_KEY_1, line, number, NULL };
	http_answer_t *answer =
		http_local("POST", rig->ports[router], "/svc/dispatch/crews",
			   headers, body);
	g_autofree char *state = http_answer_header(answer, "X-Run-State");

	ledger.not_run[entry] = answer->status && !g_strcmp0(state, "not_run");
	g_test_message("%s through r%d: %ld %s", key, router, answer->status,
		       answer->body ? answer->body : "");
	return answer;
}

/** Number in the statistics of the plain services, summed over them. */
static int64_t counted(rig_t *rig, const char *member)
{
	int64_t sum = 0;

	for (int i = 0; i < rig->options.plains; i++)
		sum += http_local_number(rig->plain_ports[i],
					 "/control/executions", member);
	return sum;
}

static int64_t executed(rig_t *rig)
{
	return counted(rig, "executed");
}

/** Compares the ledger with the executions and starts a new one. */
static void check_ledger(rig_t *rig)
{
	for (size_t i = 0; i < ledger.count; i++) {
		g_autofree char *key =
			g_strdup_printf("by_key %s", ledger.keys[i]);
		g_autofree char *request = g_strdup_printf("by_request %zu", i);

		ledger.duplicates += counted(rig, key) > 1;
		ledger.wrong += ledger.not_run[i] && counted(rig, request) > 0;
	}
	g_assert_cmpuint(ledger.duplicates, ==, 0);
	g_assert_cmpuint(ledger.wrong, ==, 0);
	ledger.checked += ledger.count;
	ledger.executed += (size_t)executed(rig);
	ledger.count = 0;
}

static void assert_answer(const http_answer_t *answer, long status,
			  const char *type)
{
	const char *given = "";

	json_unpack(answer->json, "{s:{s:s}}", "error", "type", &given);
	g_assert_cmpstr(given, ==, type);
	g_assert_cmpint(answer->status, ==, status);
}

/** Sends a key again when it is time. @return status of the last answer */
static long repeat(rig_t *rig, int router, const char *key,
		   http_answer_t **answer)
{
	static uint64_t next_ms;

	if (*answer && clock_now_ms() < next_ms)
		return (*answer)->status;
	next_ms = clock_now_ms() + REPEAT_MS;
	if (*answer)
		http_answer_free(*answer);
	*answer = order(rig, router, key, "{}");
	return (*answer)->status;
}

/** Repeats a key until its claim is no longer open. */
static http_answer_t *order_closed(rig_t *rig, int router, const char *key)
{
	http_answer_t *answer = NULL;

	g_assert_true(WAIT_UNTIL(repeat(rig, router, key, &answer) != 409,
				 CLOSED_WAIT_MS));
	return answer;
}

static rig_t *start(int plains, bool check_fencing)
{
	rig_options_t options = {
		.plains = plains,
		.routers = 2,
		.plains_check_fencing = check_fencing,
		.proxies = true,
		.plain_timeout_ms = 1000,
	};

	return rig_start(&options);
}

/** A request of router 0 in a thread of its own. */
typedef struct sender {
	rig_t *rig;
	pthread_t thread;
	http_answer_t *answer;
} sender_t;

static void *send_order(void *context)
{
	sender_t *sender = context;

	sender->answer = order(sender->rig, 0, "k", "{}");
	return NULL;
}

static void begin_order(sender_t *sender, rig_t *rig)
{
	*sender = (sender_t){ .rig = rig };
	pthread_create(&sender->thread, NULL, send_order, sender);
}

static void end_order(sender_t *sender)
{
	pthread_join(sender->thread, NULL);
}

/** Answer of an order whose router is killed now, and is released. */
static void kill_router(sender_t *sender)
{
	rig_kill_router(sender->rig, 0);
	end_order(sender);
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

static int64_t accepted(const rig_proxy_t *proxy)
{
	return http_local_number(proxy->control, "/control/stats", "accepted");
}

static bool wait_for_execution(rig_t *rig)
{
	return WAIT_UNTIL(executed(rig) == 1, HARNESS_WAIT_MS);
}

/* A router that dies before its claim leaves the key free. */
static void test_killed_before_claim(void)
{
	g_autoptr(rig_t) rig = start(1, false);
	int64_t before;
	sender_t sender;
	g_autoptr(http_answer_t) again = NULL;

	standin_control(rig->store_proxies[0].control,
			"{\"blackhole\":true,\"cut\":true}");
	before = accepted(&rig->store_proxies[0]);
	begin_order(&sender, rig);
	g_assert_true(WAIT_UNTIL(accepted(&rig->store_proxies[0]) > before,
				 HARNESS_WAIT_MS));
	kill_router(&sender);
	g_assert_cmpint(record_writes(rig), ==, 0);
	again = order(rig, 1, "k", "{}");
	assert_answer(again, 200, "");
	g_assert_cmpint(executed(rig), ==, 1);
	check_ledger(rig);
}

/* A claim that takes effect after its router died must not be run by the next
 * router: it cannot know that nothing was sent, unless the service proves it.
 */
static void test_killed_after_claim(gconstpointer fencing)
{
	bool check_fencing = fencing != NULL;
	g_autoptr(rig_t) rig = start(1, check_fencing);
	sender_t sender;
	g_autoptr(http_answer_t) open = NULL;
	g_autoptr(http_answer_t) closed = NULL;
	g_autoptr(http_answer_t) again = NULL;

	standin_control(rig->store_port, "{\"slow_ms\":500}");
	begin_order(&sender, rig);
	g_assert_true(WAIT_UNTIL(record_writes(rig) == 1, HARNESS_WAIT_MS));
	kill_router(&sender);
	standin_control(rig->store_port, "{\"slow_ms\":0}");
	g_assert_true(WAIT_UNTIL(record_exists(rig), HARNESS_WAIT_MS));
	open = order_closed(rig, 1, "k");
	if (!check_fencing) {
		assert_answer(open, 502, "order_unknown");
		g_assert_cmpint(executed(rig), ==, 0);
	} else {
		assert_answer(open, 503, "order_not_run");
		g_assert_cmpint(executed(rig), ==, 0);
		again = order(rig, 1, "k", "{}");
		assert_answer(again, 200, "");
	}
	check_ledger(rig);
}

/* An order that ran before its router died must not run again, and must not
 * be answered "not run". */
static void test_killed_after_send(gconstpointer fencing)
{
	bool check_fencing = fencing != NULL;
	g_autoptr(rig_t) rig = start(1, check_fencing);
	sender_t sender;
	g_autoptr(http_answer_t) closed = NULL;
	g_autoptr(http_answer_t) again = NULL;

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":2000}");
	begin_order(&sender, rig);
	g_assert_true(wait_for_execution(rig));
	kill_router(&sender);
	closed = order_closed(rig, 1, "k");
	assert_answer(closed, 502, "order_unknown");
	again = order(rig, 1, "k", "{}");
	assert_answer(again, 502, "order_unknown");
	g_assert_cmpint(executed(rig), ==, 1);
	check_ledger(rig);
}

/* A request that is still on its way when "not run" is proved must be refused
 * by the service when it arrives. */
static void test_late_request(void)
{
	g_autoptr(rig_t) rig = start(1, true);
	const rig_proxy_t *proxy = &rig->plain_proxies[0];
	sender_t sender;
	g_autoptr(http_answer_t) proved = NULL;

	standin_control(proxy->control, "{\"delay_ms\":9000}");
	begin_order(&sender, rig);
	g_assert_true(WAIT_UNTIL(
		http_local_number(proxy->control, "/control/stats", "held") > 0,
		HARNESS_WAIT_MS));
	kill_router(&sender);
	standin_control(proxy->control, "{\"delay_ms\":0}");
	proved = order_closed(rig, 1, "k");
	assert_answer(proved, 503, "order_not_run");
	g_assert_cmpint(executed(rig), ==, 0);
	g_assert_true(WAIT_UNTIL(counted(rig, "fenced") == 1, CLOSED_WAIT_MS));
	g_assert_cmpint(executed(rig), ==, 0);
	check_ledger(rig);
}

/* An outcome that was never recorded must not lead to a second execution. */
static void test_killed_before_record(void)
{
	g_autoptr(rig_t) rig = start(1, false);
	sender_t sender;
	g_autoptr(http_answer_t) closed = NULL;

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":300}");
	begin_order(&sender, rig);
	g_assert_true(wait_for_execution(rig));
	standin_control(rig->store_proxies[0].control,
			"{\"blackhole\":true,\"cut\":true}");
	end_order(&sender);
	assert_answer(sender.answer, 200, "");
	rig_kill_router(rig, 0);
	http_answer_free(sender.answer);
	closed = order_closed(rig, 1, "k");
	assert_answer(closed, 502, "order_unknown");
	g_assert_cmpint(executed(rig), ==, 1);
	check_ledger(rig);
}

/* A claim whose answer is lost took effect and is used, not made again. */
static void test_claim_answer_lost(void)
{
	g_autoptr(rig_t) rig = start(1, false);
	g_autoptr(http_answer_t) answer = NULL;
	g_autoptr(http_answer_t) again = NULL;

	standin_control(rig->store_port, "{\"drop_write_answers\":1,"
					 "\"drop_prefix\":\"order/\"}");
	answer = order(rig, 0, "k", "{}");
	g_assert_cmpint(http_local_number(rig->store_port, "/control/stats",
					  "answers_dropped"),
			==, 1);
	assert_answer(answer, 200, "");
	again = order(rig, 1, "k", "{}");
	assert_answer(again, 200, "");
	g_assert_cmpint(executed(rig), ==, 1);
	check_ledger(rig);
}

/* Without a store nothing is sent; an outage after the send changes neither
 * the answer nor, once it has ended, the record. */
static void test_store_outage(void)
{
	g_autoptr(rig_t) rig = start(1, false);
	sender_t sender;
	g_autoptr(http_answer_t) refused = NULL;
	g_autoptr(http_answer_t) again = NULL;

	standin_control(rig->store_port, "{\"outage_ms\":-1}");
	refused = order(rig, 1, "k0", "{}");
	assert_answer(refused, 503, "store_down");
	g_assert_cmpint(executed(rig), ==, 0);
	standin_control(rig->store_port, "{\"outage_ms\":0}");
	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":300}");
	begin_order(&sender, rig);
	g_assert_true(wait_for_execution(rig));
	standin_control(rig->store_port, "{\"outage_ms\":1000}");
	end_order(&sender);
	assert_answer(sender.answer, 200, "");
	g_assert_true(
		WAIT_UNTIL(repeat(rig, 1, "k", &again) == 200, CLOSED_WAIT_MS));
	g_assert_cmpstr(again->body, ==, sender.answer->body);
	http_answer_free(sender.answer);
	g_assert_cmpint(executed(rig), ==, 1);
	check_ledger(rig);
}

/* A service that executes and closes without an answer. */
static void test_answer_lost(gconstpointer fencing)
{
	bool check_fencing = fencing != NULL;
	g_autoptr(rig_t) rig = start(2, check_fencing);

	for (int i = 0; i < 2; i++)
		standin_control(rig->plain_ports[i], "{\"lose_answers\":1}");
	for (int i = 0; i < 3; i++) {
		g_autoptr(http_answer_t) answer = order(rig, i % 2, "k", "{}");

		assert_answer(answer, 502, "order_unknown");
	}
	g_assert_cmpint(executed(rig), ==, 1);
	/* Each order asked once: the service said that it ran. */
	g_assert_cmpint(counted(rig, "asked"), ==, check_fencing ? 3 : 0);
	check_ledger(rig);
}

/* A router that was frozen beyond its claim's send window must not send. */
static void test_frozen_router(void)
{
	g_autoptr(rig_t) rig = start(1, false);
	sender_t sender;
	uint64_t until_ms;

	standin_control(rig->store_port, "{\"slow_ms\":300}");
	begin_order(&sender, rig);
	g_assert_true(WAIT_UNTIL(record_writes(rig) == 1, HARNESS_WAIT_MS));
	program_signal(rig->routers[0], SIGSTOP);
	until_ms = clock_now_ms() + FREEZE_MS;
	g_assert_true(WAIT_UNTIL(clock_now_ms() >= until_ms, HARNESS_WAIT_MS));
	standin_control(rig->store_port, "{\"slow_ms\":0}");
	program_signal(rig->routers[0], SIGCONT);
	end_order(&sender);
	assert_answer(sender.answer, 503, "order_not_run");
	http_answer_free(sender.answer);
	g_assert_cmpint(executed(rig), ==, 0);
	check_ledger(rig);
}

/* A repeat is answered from the record through any router; another body is
 * refused; the path of the fencing question is closed to callers. */
static void test_repeat(void)
{
	static const char *const headers[] = { RIG_KEY_1, "Idempotency-Key: f",
					       NULL };
	static const char *const paths[] = { "/svc/dispatch/fencing",
					     "/svc/dispatch/%66encing?x",
					     "/svc/dispatch//fencing/" };
	g_autoptr(rig_t) rig = start(1, true);
	g_autoptr(http_answer_t) first = order(rig, 0, "k", "{}");
	g_autoptr(http_answer_t) again = order(rig, 1, "k", "{}");
	g_autoptr(http_answer_t) other = order(rig, 1, "k", "{\"crew\":2}");

	assert_answer(first, 200, "");
	assert_answer(again, 200, "");
	g_assert_cmpstr(again->body, ==, first->body);
	assert_answer(other, 422, "key_reused");
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		g_autoptr(http_answer_t) closed =
			http_local("POST", rig->ports[0], paths[i], headers,
				   "{\"key\":\"k9\",\"number\":9}");

		assert_answer(closed, 404, "unknown_route");
	}
	g_assert_cmpint(counted(rig, "asked"), ==, 0);
	g_assert_cmpint(executed(rig), ==, 1);
	check_ledger(rig);
}

/* Only a complete answer under our own number proves that a key did not run. */
static void test_proof(void)
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
		g_assert_cmpint(plain_fencing_read(cases[i].text, 7), ==,
				cases[i].proof);
}

int main(int argc, char **argv)
{
	/* Run with a service that ignores fencing and with one that checks. */
	static const struct {
		const char *name;
		GTestDataFunc test;
	} both[] = {
		{ "killed-after-claim", test_killed_after_claim },
		{ "killed-after-send", test_killed_after_send },
		{ "answer-lost", test_answer_lost },
	};
	int result;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/orders/proof", test_proof);
	g_test_add_func("/orders/repeat", test_repeat);
	g_test_add_func("/orders/killed-before-claim",
			test_killed_before_claim);
	for (size_t i = 0; i < G_N_ELEMENTS(both); i++) {
		g_autofree char *plain =
			g_strdup_printf("/orders/%s", both[i].name);
		g_autofree char *checked =
			g_strdup_printf("/orders/%s-fencing", both[i].name);

		g_test_add_data_func(plain, NULL, both[i].test);
		g_test_add_data_func(checked, "", both[i].test);
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
		ledger.checked, ledger.executed, ledger.duplicates,
		ledger.wrong);
	return result;
}
