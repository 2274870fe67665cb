/* Requests to plain services, with real router, store and service processes. */
#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib/raw_server.h"
#include "t/lib/rig.h"
#include "process/clock.h"

#define DISPATCH "/svc/dispatch/crews"

enum {
	CLIENTS = 8,
	/** As many as a router with `--streams-max 1` has threads. */
	ORDERS = 9,
	/** More than the router has threads, or keeps idle connections open. */
	IDLE_CONNECTIONS = 60,
	/** Requests sent during a planned stop, one at each interval. */
	STOP_CALLS_MAX = 200,
	STOP_CALL_INTERVAL_MS = 25,
	/** Those sent before it. */
	STOP_CALLS_BEFORE = 12,
	/** Enough that each of two endpoints is the first one tried. */
	TRY_ORDERS = 8,
	/** Time limit of requests that get an answer without end. */
	ENDLESS_TIMEOUT_MS = 3000,
};

static http_answer_t *dispatch(rig_t *rig, int router, const char *key,
			       const char *body)
{
	g_autofree char *line =
		key ? g_strdup_printf("Idempotency-Key: %s", key) : NULL;
	const char *const headers[] = { RIG_KEY_1, line, NULL };

	return http_local("POST", rig->ports[router], DISPATCH, headers, body);
}

/** Number of executions, summed over the services that run. */
static int64_t executed(rig_t *rig)
{
	int64_t sum = 0;

	for (int i = 0; i < rig->options.plain_services; i++) {
		if (program_is_running(rig->plain_services[i]))
			sum += http_local_number(rig->plain_ports[i],
						 "/control/executions",
						 "executed");
	}
	return sum;
}

static void assert_run_state(const http_answer_t *answer, long status,
			     const char *type, const char *state)
{
	g_autofree char *actual = http_answer_header(answer, "X-Run-State");
	const char *actual_type = "";

	g_test_message("answer: %s", answer->body);
	g_assert_cmpint(answer->status, ==, status);
	g_assert_cmpstr(actual, ==, state);
	json_unpack(answer->json, "{s:{s:s}}", "error", "type", &actual_type);
	g_assert_cmpstr(actual_type, ==, type);
}

static rig_t *start_rig(int plain_services, int routers, bool check_fencing)
{
	rig_options_t options = {
		.plain_services = plain_services,
		.routers = routers,
		.plain_services_check_fencing = check_fencing,
	};

	return rig_start(&options);
}

/* A repeated order is answered from its stored record, by any router. */
static void test_once(void)
{
	g_autoptr(rig_t) rig = start_rig(2, 2, false);
	g_autoptr(http_answer_t) first = dispatch(rig, 0, "k1", "{\"crew\":7}");
	g_autoptr(http_answer_t) other_body = NULL;

	assert_run_state(first, 200, "", "ran");
	g_assert_nonnull(strstr(first->body, "\"path\":\"/crews\""));
	for (int i = 0; i < 4; i++) {
		g_autoptr(http_answer_t) again =
			dispatch(rig, i % 2, "k1", "{\"crew\":7}");

		assert_run_state(again, 200, "", "ran");
		g_assert_cmpstr(again->body, ==, first->body);
	}
	other_body = dispatch(rig, 1, "k1", "{\"crew\":8}");
	assert_run_state(other_body, 422, "key_reused", "not_run");
	g_assert_cmpint(executed(rig), ==, 1);
}

typedef struct sender {
	rig_t *rig;
	int router;
	const char *key; /**< Idempotency key; NULL for "same". */
	http_answer_t *answer;
} sender_t;

static void *send_one(void *context)
{
	sender_t *sender = context;

	sender->answer = dispatch(sender->rig, sender->router,
				  sender->key ? sender->key : "same", "{}");
	return NULL;
}

/* Concurrent requests with the same idempotency key execute only once. */
static void test_race(void)
{
	g_autoptr(rig_t) rig = start_rig(2, 2, false);
	sender_t senders[CLIENTS];
	pthread_t threads[CLIENTS];
	int done = 0;

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":200}");
	standin_control(rig->plain_ports[1], "{\"answer_delay_ms\":200}");
	for (int i = 0; i < CLIENTS; i++) {
		senders[i] = (sender_t){ .rig = rig, .router = i % 2 };
		pthread_create(&threads[i], NULL, send_one, &senders[i]);
	}
	for (int i = 0; i < CLIENTS; i++) {
		long status;

		pthread_join(threads[i], NULL);
		status = senders[i].answer->status;
		done += status == 200;
		if (status != 200)
			assert_run_state(senders[i].answer, 409,
					 "order_in_progress", "unknown");
		http_answer_free(senders[i].answer);
	}
	g_assert_cmpint(done, >=, 1);
	g_assert_cmpint(executed(rig), ==, 1);
}

/* An answer may say `not_run` only if the service did not execute the order. */
static void test_not_run(void)
{
	g_autoptr(rig_t) rig = start_rig(1, 1, false);
	static const char *const other[] = { RIG_KEY_2, "Idempotency-Key: k",
					     NULL };
	g_autoptr(http_answer_t) no_key = dispatch(rig, 0, NULL, "{}");
	g_autoptr(http_answer_t) no_grant =
		http_local("POST", rig->ports[0], DISPATCH, other, "{}");
	g_autoptr(http_answer_t) leaving = NULL;
	g_autoptr(http_answer_t) no_service = NULL;
	g_autoptr(http_answer_t) no_store = NULL;

	assert_run_state(no_key, 400, "key_missing", "not_run");
	assert_run_state(no_grant, 404, "unknown_route", "not_run");
	standin_control(rig->plain_ports[0], "{\"leaving\":true}");
	leaving = dispatch(rig, 0, "k2", "{}");
	assert_run_state(leaving, 503, "order_not_run", "not_run");
	g_assert_cmpint(executed(rig), ==, 0);
	program_signal(rig->plain_services[0], SIGKILL);
	program_wait(rig->plain_services[0], HARNESS_WAIT_MS);
	no_service = dispatch(rig, 0, "k3", "{}");
	g_assert_cmpint(no_service->status, >=, 502);
	g_assert_nonnull(strstr(no_service->body, "\"ran\":\"not_run\""));
	program_signal(rig->store, SIGKILL);
	program_wait(rig->store, HARNESS_WAIT_MS);
	no_store = dispatch(rig, 0, "k4", "{}");
	g_assert_cmpint(no_store->status, ==, 503);
	g_assert_nonnull(strstr(no_store->body, "\"ran\":\"not_run\""));
}

/* An order whose answer is lost must not be sent again, not even when the
 * client repeats it. */
static void check_answer_lost(bool check_fencing)
{
	g_autoptr(rig_t) rig = start_rig(2, 2, check_fencing);
	g_autoptr(http_answer_t) lost = NULL;

	standin_control(rig->plain_ports[0], "{\"lose_answers\":1}");
	standin_control(rig->plain_ports[1], "{\"lose_answers\":1}");
	lost = dispatch(rig, 0, "k1", "{}");
	assert_run_state(lost, 502, "order_unknown", "unknown");
	for (int i = 0; i < 2; i++) {
		g_autoptr(http_answer_t) again = dispatch(rig, i, "k1", "{}");

		assert_run_state(again, 502, "order_unknown", "unknown");
	}
	g_assert_cmpint(executed(rig), ==, 1);
}

static void test_answer_lost(void)
{
	check_answer_lost(false);
}

static void test_answer_lost_with_fencing(void)
{
	check_answer_lost(true);
}

/* If an endpoint is dead, the order is sent to another one under its claim. */
static void test_endpoint_dead(void)
{
	g_autoptr(rig_t) rig = start_rig(2, 1, false);

	program_signal(rig->plain_services[0], SIGKILL);
	program_wait(rig->plain_services[0], HARNESS_WAIT_MS);
	for (int i = 0; i < 4; i++) {
		g_autofree char *key = g_strdup_printf("k%d", i);
		g_autoptr(http_answer_t) answer = dispatch(rig, 0, key, "{}");

		assert_run_state(answer, 200, "", "ran");
	}
	g_assert_cmpint(executed(rig), ==, 4);
}

/* If the router dies after it sent the order, a repeated order through another
 * router is not executed while the claim is open. */
static void test_router_lost(void)
{
	g_autoptr(rig_t) rig = start_rig(1, 2, false);
	sender_t sender = { .rig = rig };
	pthread_t thread;
	g_autoptr(http_answer_t) again = NULL;

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":3000}");
	pthread_create(&thread, NULL, send_one, &sender);
	g_assert_true(WAIT_UNTIL(executed(rig) == 1, HARNESS_WAIT_MS));
	program_signal(rig->routers[0], SIGKILL);
	pthread_join(thread, NULL);
	http_answer_free(sender.answer);
	again = dispatch(rig, 1, "same", "{}");
	assert_run_state(again, 409, "order_in_progress", "unknown");
	g_assert_cmpint(executed(rig), ==, 1);
}

/* Failure: a request that one endpoint refused and another one ran, in either
 * order, was reported as not run. */
static void test_refused_and_lost(void)
{
	static const char *const headers[] = { RIG_KEY_1, NULL };

	for (int i = 0; i < TRY_ORDERS; i++) {
		g_autoptr(rig_t) rig = start_rig(2, 1, false);
		g_autoptr(http_answer_t) answer = NULL;

		standin_control(rig->plain_ports[0], "{\"leaving\":true}");
		standin_control(rig->plain_ports[1], "{\"lose_answers\":9}");
		answer = http_local("GET", rig->ports[0], DISPATCH, headers,
				    NULL);
		g_assert_cmpint(executed(rig), ==, 1);
		assert_run_state(answer, 502, "endpoint_lost", "unknown");
	}
}

/* An idempotent request whose answer is lost is sent again to another endpoint.
 * Path and query are forwarded unchanged. */
static void test_idempotent(void)
{
	static const char *const headers[] = { RIG_KEY_1, NULL };
	g_autoptr(rig_t) rig = start_rig(2, 1, false);
	g_autoptr(http_answer_t) no_subpath = NULL;

	standin_control(rig->plain_ports[0], "{\"lose_answers\":1000}");
	for (int i = 0; i < 8; i++) {
		g_autoptr(http_answer_t) answer =
			http_local("GET", rig->ports[0],
				   "/svc/dispatch/a%20b?x=1", headers, NULL);

		g_assert_cmpint(answer->status, ==, 200);
		g_assert_nonnull(strstr(answer->body, "\"method\":\"GET\""));
		g_assert_nonnull(strstr(answer->body, "/a b"));
	}
	/* At least one answer of the first endpoint was lost and its request
	 * sent again. */
	g_assert_cmpint(executed(rig), >, 8);
	no_subpath = http_local("GET", rig->ports[0], "/svc/dispatch", headers,
				NULL);
	g_assert_cmpint(no_subpath->status, ==, 200);
}

typedef struct endless_case {
	const char *name;
	const char *start;
	const char *piece;
	long status; /**< Of the requests that get this answer. */
} endless_case_t;

static const endless_case_t endless_cases[] = {
	{ "head", "HTTP/1.1 200 X\r\n", "A: b\r\n", 200 },
	{ "continue", "", "HTTP/1.1 100 Continue\r\n\r\n", 200 },
	{ "body", "HTTP/1.1 200 X\r\n\r\n", "0123456789abcdef", 502 },
};

typedef struct endless_service {
	const endless_case_t *test_case;
	_Atomic uint32_t requests;
	_Atomic uint32_t open;
} endless_service_t;

static raw_next_t answer_endless(void *context, const raw_request_t *request)
{
	endless_service_t *service = context;

	service->requests++;
	service->open++;
	raw_send(request, "%s", service->test_case->start);
	raw_send_endless(request, service->test_case->piece, 0);
	service->open--;
	return RAW_CLOSE;
}

/* Failure: an answer without end kept a lookup until its time limit. */
static void test_endless(const void *data)
{
	static const char *const headers[] = { RIG_KEY_1, NULL };
	endless_service_t service = { .test_case = data };
	raw_server_t *server = raw_server_start(answer_endless, &service);
	g_autofree char *endpoint = g_strdup_printf(
		"\"endpoint/p9\":{\"address\":\"127.0.0.1\",\"port\":%u,"
		"\"domain\":\"d1\",\"kind\":\"plain\",\"pool\":\"crews\"},",
		raw_server_port(server));
	rig_options_t options = {
		.plain_services = 1,
		.routers = 1,
		.objects = endpoint,
		.dispatch_timeout_ms = ENDLESS_TIMEOUT_MS,
	};
	rig_t *rig = rig_start(&options);

	for (int i = 0; i < CLIENTS; i++) {
		uint64_t start_ms = clock_now_ms();
		g_autoptr(http_answer_t) answer = http_local(
			"GET", rig->ports[0], "/svc/dispatch/a", headers, NULL);

		g_assert_true(answer->status == 200 ||
			      answer->status == service.test_case->status);
		g_assert_cmpuint(clock_now_ms() - start_ms, <,
				 ENDLESS_TIMEOUT_MS);
	}
	g_assert_cmpuint(service.requests, >, 0);
	g_assert_true(WAIT_UNTIL(!service.open, HARNESS_WAIT_MS));
	rig_free(rig);
	raw_server_stop(server);
}

static long dispatch_status(rig_t *rig, const char *key)
{
	g_autoptr(http_answer_t) answer = dispatch(rig, 0, key, "{}");

	return answer->status;
}

/* Orders whose record cannot be written must not block the threads that serve
 * clients. The records are written when the store is available again. */
static void test_record_in_background(void)
{
	static const char *const keys[ORDERS] = { "1", "2", "3", "4", "5",
						  "6", "7", "8", "9" };
	rig_options_t options = { .plain_services = 1,
				  .routers = 1,
				  .router_args = { "--streams-max", "1" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	sender_t senders[ORDERS];
	pthread_t threads[ORDERS];
	g_autofree char *health =
		g_strdup_printf("http://127.0.0.1:%u/healthz", rig->ports[0]);

	standin_control(rig->plain_ports[0], "{\"answer_delay_ms\":1000}");
	for (int i = 0; i < ORDERS; i++) {
		senders[i] = (sender_t){ .rig = rig, .key = keys[i] };
		pthread_create(&threads[i], NULL, send_one, &senders[i]);
	}
	g_assert_true(WAIT_UNTIL(executed(rig) == ORDERS, HARNESS_WAIT_MS));
	standin_control(rig->store_port, "{\"outage_ms\":-1}");
	for (int i = 0; i < ORDERS; i++) {
		pthread_join(threads[i], NULL);
		assert_run_state(senders[i].answer, 200, "", "ran");
		http_answer_free(senders[i].answer);
	}
	g_assert_true(url_answers(health));
	g_assert_true(
		WAIT_UNTIL(rig_metric(rig, 0, "amv_order_backlog") == ORDERS,
			   HARNESS_WAIT_MS));
	standin_control(rig->store_port, "{\"outage_ms\":0}");
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_order_backlog") == 0,
				 6 * HARNESS_WAIT_MS));
	/* The store budget may refuse a repeated order for a short time. */
	for (int i = 0; i < ORDERS; i++)
		g_assert_true(WAIT_UNTIL(dispatch_status(rig, keys[i]) == 200,
					 HARNESS_WAIT_MS));
	g_assert_cmpint(executed(rig), ==, ORDERS);
}

static size_t count_records(rig_t *rig)
{
	g_autoptr(http_answer_t) answer = http_local(
		"GET", rig->store_port, "/objects?prefix=order/", NULL, NULL);

	g_assert_cmpint(answer->status, ==, 200);
	return json_array_size(json_object_get(answer->json, "items"));
}

/* Records are removed from the store after their retention, not earlier. */
static void test_sweep(void)
{
	rig_options_t options = {
		.plain_services = 1,
		.routers = 1,
		.router_args = { "--order-retention-ms", "2000",
				 "--order-sweep-ms", "100" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	uint64_t start_ms = clock_now_ms();

	g_assert_cmpint(dispatch_status(rig, "k1"), ==, 200);
	g_assert_cmpint(dispatch_status(rig, "k2"), ==, 200);
	g_assert_cmpuint(count_records(rig), ==, 2);
	g_assert_true(WAIT_UNTIL(count_records(rig) == 0, HARNESS_WAIT_MS));
	g_assert_cmpuint(clock_now_ms() - start_ms, >=, 2000);
}

/* Clients with idle connections must not block others. Each idle connection
 * used to occupy one of the router's nine threads. */
static void test_idle_connections(void)
{
	rig_options_t options = { .plain_services = 1,
				  .routers = 1,
				  .router_args = { "--streams-max", "1" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(rig->ports[0]) };
	int fds[IDLE_CONNECTIONS];

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		g_assert_cmpint(connect(fds[i], (struct sockaddr *)&address,
					sizeof(address)),
				==, 0);
	}
	g_assert_cmpint(dispatch_status(rig, "k1"), ==, 200);
	g_assert_cmpint(executed(rig), ==, 1);
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		close(fds[i]);
}

typedef struct stop_case {
	const char *name; /**< The failure it guards against. */
	const char *stop_limit_ms;
	const char *control; /**< JSON for the services. */
} stop_case_t;

static const stop_case_t stop_cases[] = {
	{ "a request whose handler had just ended got no answer", "20000",
	  "{\"answer_delay_ms\":400}" },
	{ "a request in progress at the limit got no answer", "100",
	  "{\"answer_delay_ms\":4500}" },
};

/** One request of many that are sent around a planned stop. */
typedef struct stop_call {
	rig_t *rig;
	int number;
	http_answer_t *answer;
	pthread_t thread;
} stop_call_t;

static void *stop_call_main(void *context)
{
	stop_call_t *call = context;
	g_autofree char *key =
		g_strdup_printf("Idempotency-Key: s-%d", call->number);
	const char *const headers[] = { RIG_KEY_1, key, NULL };
	bool order = call->number % 2;

	call->answer = http_local(order ? "POST" : "GET", call->rig->ports[0],
				  DISPATCH, headers, order ? "{}" : NULL);
	return NULL;
}

static bool reached_endpoint(rig_t *rig, const stop_call_t *call)
{
	g_autofree char *key = g_strdup_printf("s-%d", call->number);
	bool reached = false;

	for (int i = 0; i < rig->options.plain_services; i++) {
		g_autoptr(http_answer_t) report =
			http_local("GET", rig->plain_ports[i],
				   "/control/executions", NULL, NULL);

		reached |=
			json_object_get(json_object_get(report->json, "by_key"),
					key) != NULL;
	}
	return reached;
}

/** A request that reached an endpoint gets a complete answer, and one that says
 * "not run" reached none. @return whether it was answered with success */
static bool check_stop_call(rig_t *rig, const stop_call_t *call)
{
	const http_answer_t *answer = call->answer;
	g_autofree char *state = http_answer_header(answer, "X-Run-State");
	bool reached = reached_endpoint(rig, call);

	g_test_message("%d: reached=%d status=%ld curl=%d state=%s %s",
		       call->number, reached, answer->status,
		       answer->curl_result, state ? state : "-", answer->body);
	if (reached) {
		g_assert_cmpint(answer->curl_result, ==, 0);
		g_assert_cmpint(answer->status, !=, 503);
		g_assert_cmpstr(state, !=, "not_run");
	}
	return answer->status == 200;
}

/* Each request that reaches an endpoint around a planned stop is answered. */
static void test_stop_answers(const void *data)
{
	const stop_case_t *test_case = data;
	rig_options_t options = {
		.plain_services = 2,
		.routers = 1,
		.dispatch_timeout_ms = 8000,
		.router_args = { "--stop-limit-ms", test_case->stop_limit_ms,
				 "--drain-ms", "300" },
	};
	g_autoptr(rig_t) rig = rig_start(&options);
	static stop_call_t calls[STOP_CALLS_MAX];
	int served = 0;
	int count = 0;

	standin_control(rig->plain_ports[0], test_case->control);
	standin_control(rig->plain_ports[1], test_case->control);
	do {
		calls[count] = (stop_call_t){ .rig = rig, .number = count };
		pthread_create(&calls[count].thread, NULL, stop_call_main,
			       &calls[count]);
		if (++count == STOP_CALLS_BEFORE)
			program_signal(rig->routers[0], SIGTERM);
	} while (count < STOP_CALLS_MAX &&
		 !WAIT_UNTIL(!program_is_running(rig->routers[0]),
			     STOP_CALL_INTERVAL_MS));
	g_assert_cmpint(program_wait(rig->routers[0], HARNESS_WAIT_MS), ==, 0);
	for (int i = 0; i < count; i++) {
		pthread_join(calls[i].thread, NULL);
		served += check_stop_call(rig, &calls[i]);
		http_answer_free(calls[i].answer);
	}
	g_assert_cmpint(served, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/plain/once", test_once);
	g_test_add_func("/plain/race", test_race);
	g_test_add_func("/plain/not-run", test_not_run);
	g_test_add_func("/plain/answer-lost", test_answer_lost);
	g_test_add_func("/plain/answer-lost-fencing",
			test_answer_lost_with_fencing);
	g_test_add_func("/plain/endpoint-dead", test_endpoint_dead);
	g_test_add_func("/plain/router-lost", test_router_lost);
	g_test_add_func("/plain/refused-and-lost", test_refused_and_lost);
	g_test_add_func("/plain/idempotent", test_idempotent);
	g_test_add_func("/plain/record-in-background",
			test_record_in_background);
	for (size_t i = 0; i < G_N_ELEMENTS(stop_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/plain/stop-answers/%s", stop_cases[i].stop_limit_ms);

		g_test_add_data_func(path, &stop_cases[i], test_stop_answers);
	}
	g_test_add_func("/plain/sweep", test_sweep);
	g_test_add_func("/plain/idle-connections", test_idle_connections);
	for (size_t i = 0; i < G_N_ELEMENTS(endless_cases); i++) {
		g_autofree char *path = g_strdup_printf("/plain/endless/%s",
							endless_cases[i].name);

		g_test_add_data_func(path, &endless_cases[i], test_endless);
	}
	return g_test_run();
}
