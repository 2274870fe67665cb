/*
 * Stand-in for a plain service (section 7 of docs/design.md). It counts each
 * call that is not refused as an execution and does not deduplicate calls.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/http_server.h"

#define NOT_RUN "X-Not-Run: 1\r\n"

enum {
	EXIT_CRASH = 86,
};

static bool check_fencing;
static http_server_t server;

static struct {
	pthread_mutex_t lock;
	uint64_t leaving;
	uint64_t delay_ms;     /**< Before the execution. */
	uint64_t lose_answers; /**< Remaining executions without an answer. */
	uint64_t answer_delay_ms; /**< Between execution and answer. */
	json_t *highest_fencing;  /**< Highest fencing number by key. */
	json_t *totals;		  /**< Calls by outcome. */
	json_t *by_key;		  /**< Executions by Idempotency-Key. */
	json_t *by_path;	  /**< Executions by path. */
	json_t *by_request;	  /**< Executions by the X-Request-Id sent. */
} service = { .lock = PTHREAD_MUTEX_INITIALIZER };

/** Records the highest number; returns whether the given one is lower. */
static bool is_stale_fencing(const char *key, const char *number_text)
{
	json_int_t number = (json_int_t)strtoull(number_text, NULL, 10);
	json_int_t highest;

	if (!check_fencing || !*number_text)
		return false;
	highest = json_integer_value(
		json_object_get(service.highest_fencing, key));
	if (number > highest)
		json_object_set_new(service.highest_fencing, key,
				    json_integer(number));
	return number < highest;
}

/** Executes or refuses a call. @return its status; 200 if it was executed */
static int execute(const http_request_t *request, const char **headers,
		   bool *answer_lost)
{
	const char *key = http_header(request, "Idempotency-Key", "-");
	const char *number = http_header(request, "X-Fencing-Number", "");
	SCOPED_LOCK(held, &service.lock);

	*headers = NOT_RUN "X-Leaving: 1\r\n";
	if (service.leaving) {
		json_counter_add(service.totals, "refused", 1);
		return 503;
	}
	*headers = NOT_RUN;
	if (is_stale_fencing(key, number)) {
		json_counter_add(service.totals, "fenced", 1);
		return 409;
	}
	*headers = "";
	json_counter_add(service.totals, "executed", 1);
	json_counter_add(service.by_key, key, 1);
	json_counter_add(service.by_path, request->path, 1);
	json_counter_add(service.by_request,
			 http_header(request, "X-Request-Id", "-"), 1);
	*answer_lost = service.lose_answers > 0;
	service.lose_answers -= *answer_lost;
	return 200;
}

/** Sleeps for a delay that is protected by the lock. */
static void sleep_configured_ms(const uint64_t *delay_ms)
{
	uint64_t duration_ms;

	pthread_mutex_lock(&service.lock);
	duration_ms = *delay_ms;
	pthread_mutex_unlock(&service.lock);
	clock_sleep_us(duration_ms * 1000);
}

static void handle_call(http_request_t *request)
{
	const char *headers;
	bool answer_lost = false;
	int status;

	sleep_configured_ms(&service.delay_ms);
	status = execute(request, &headers, &answer_lost);
	sleep_configured_ms(&service.answer_delay_ms);
	if (answer_lost)
		http_close(request);
	else if (status != 200)
		http_send_error(request, status, headers, "not run");
	else
		http_send_json(
			request, 200, headers,
			json_pack("{s:s,s:s,s:s,s:s}", "method",
				  request->method, "path", request->path, "key",
				  http_header(request, "Idempotency-Key", "-"),
				  "body", request->body));
}

/** Raises a key's fencing number; reports whether a call with it has run. */
static void handle_fencing(http_request_t *request)
{
	const char *key = http_body_text(request, "key", "");
	json_int_t number = (json_int_t)http_body_number(request, "number", 0);
	json_int_t highest;
	SCOPED_LOCK(held, &service.lock);

	if (!check_fencing) {
		http_send_error(request, 404, "", "fencing is not checked");
		return;
	}
	highest = json_integer_value(
		json_object_get(service.highest_fencing, key));
	if (number > highest)
		highest = number;
	json_object_set_new(service.highest_fencing, key,
			    json_integer(highest));
	json_counter_add(service.totals, "asked", 1);
	http_send_json(request, 200, "",
		       json_pack("{s:I,s:b}", "highest", highest, "ran",
				 json_object_get(service.by_key, key) != NULL));
}

static void handle_control(http_request_t *request)
{
	SCOPED_LOCK(held, &service.lock);

	if (http_body_number(request, "crash", 0))
		_exit(EXIT_CRASH);
	http_update_number(request, "leaving", &service.leaving);
	http_update_number(request, "delay_ms", &service.delay_ms);
	http_update_number(request, "answer_delay_ms",
			   &service.answer_delay_ms);
	http_update_number(request, "lose_answers", &service.lose_answers);
	http_send_ok(request);
}

static void handle_executions(http_request_t *request)
{
	json_t *report;
	SCOPED_LOCK(held, &service.lock);

	report = json_deep_copy(service.totals);
	json_object_set(report, "by_key", service.by_key);
	json_object_set(report, "by_path", service.by_path);
	json_object_set(report, "by_request", service.by_request);
	http_send_json(request, 200, "", report);
}

static const http_route_t routes[] = {
	{ "POST", "/control", handle_control },
	{ "GET", "/control/executions", handle_executions },
	{ "POST", "/fencing", handle_fencing },
	{ NULL, "*", handle_call },
	{ 0 },
};

static const setting_t settings[] = {
	SERVER_ENTRIES(server, "port", "64"),
	SWITCH_ENTRY("check-fencing", check_fencing,
		     "refuse a call with an old fencing number for its key"),
	{ 0 },
};

static void start(void)
{
	service.highest_fencing = json_object();
	service.totals = json_object();
	service.by_key = json_object();
	service.by_path = json_object();
	service.by_request = json_object();
}

static http_server_t server = { .routes = routes, .start = start };

int main(int argc, char **argv)
{
	return http_server_main(argc, argv, settings, &server);
}
