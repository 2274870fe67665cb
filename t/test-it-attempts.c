/*
 * Tests of requests whose attempt ends, or must end, after the state has
 * changed that they were sent with: a gateway process with endpoints that the
 * test simulates.
 */
#include <glib.h>
#include <string.h>

#include "process/clock.h"
#include "request/exchange.h"
#include "t/lib/platform_rig.h"

enum {
	/** Time for which outdated weights may be used, ms. */
	PLAIN_LIMIT_MS = 500,
	/** Time limit for replaced weights, ms: shorter than the time after
	 * which a stream without a first event is sent elsewhere. */
	WEIGHTS_LIMIT_MS = 1600,
	/** More than a gateway makes, and endpoints for all of them. */
	ATTEMPTS_MAX = 40,
	/** Several ticks, in each of which requests may be withdrawn, ms. */
	TICKS_MS = 500,
};

/* Waits until one of the endpoints has a request; returns the other one. */
static endpoint_t *wait_for_arrival(endpoint_t *endpoints, endpoint_t **used)
{
	int index;

	g_assert_true(WAIT_UNTIL(platform_rig_arrivals(endpoints) == 1,
				 HARNESS_WAIT_MS));
	index = endpoints[0].arrivals ? 0 : 1;
	*used = &endpoints[index];
	return &endpoints[1 - index];
}

static bool has_logged(platform_rig_t *rig, const char *text)
{
	return strstr(program_output(rig->gateways[0]), text) != NULL;
}

static void set_target(platform_rig_t *rig, int version)
{
	g_autofree char *text = g_strdup_printf(" weights=%d\n", version);

	platform_rig_put_target_weights(rig, version);
	g_assert_true(WAIT_UNTIL(has_logged(rig, text), HARNESS_WAIT_MS));
}

typedef struct waiting_case {
	const char *name; /**< The failure it guards against. */
	const char *path;
	const char *status;
} waiting_case_t;

static const waiting_case_t waiting_cases[] = {
	{ "begins on expired weights", "/stream/once/1", "HTTP/1.1 502" },
	{ "is not sent to the new weights", "/stream/again/1", "HTTP/1.1 200" },
};

/* Failure: a request waited at an engine until its weights had been replaced
 * for longer than the time limit, and then began on them. */
static void test_waiting(const void *data)
{
	const waiting_case_t *test_case = data;
	const platform_rig_options_t options = { .weights_ms =
							 WEIGHTS_LIMIT_MS };
	platform_rig_t rig;
	platform_rig_call_t call;
	endpoint_t *used;
	endpoint_t *other;

	platform_rig_start_with(&rig, 1, &options);
	/* The other engine has to load the new weights within the limit. */
	g_assert_true(WAIT_UNTIL(has_logged(&rig, "lease_acquired"),
				 HARNESS_WAIT_MS));
	platform_rig_set_behaviour(rig.engines, HOLD);
	platform_rig_start_call(&call, &rig, "POST", test_case->path,
				MODEL_HEADERS);
	other = wait_for_arrival(rig.engines, &used);
	used->drops_orders = true;
	other->behaviour = ANSWER;
	set_target(&rig, 2);
	g_assert_true(WAIT_UNTIL(call.done, WEIGHTS_LIMIT_MS));
	used->release = true;
	g_assert_true(g_str_has_prefix(call.answer, test_case->status));
	if (strstr(test_case->status, "200")) {
		platform_rig_assert_events(call.answer);
		g_assert_nonnull(strstr(other->last_head, "Expect-Version: 2"));
	}
	g_assert_false(has_logged(&rig, "request_begun_outdated"));
	platform_rig_join_call(&call);
	g_free(call.answer);
	platform_rig_stop(&rig);
}

/* Failure: with a time limit shorter than the margins, requests were not sent
 * to engines with the newest weights, or were withdrawn from them. */
static void test_current_weights(void)
{
	const platform_rig_options_t options = {
		.weights_ms = EXCHANGE_WITHDRAW_MARGIN_MS / 2
	};
	platform_rig_t rig;
	platform_rig_call_t call;
	endpoint_t *used;

	platform_rig_start_with(&rig, 1, &options);
	platform_rig_set_behaviour(rig.engines, HOLD);
	platform_rig_start_call(&call, &rig, "POST", "/stream/again/1",
				MODEL_HEADERS);
	(void)wait_for_arrival(rig.engines, &used);
	g_assert_false(WAIT_UNTIL(has_logged(&rig, "weights_limit"), TICKS_MS));
	used->release = true;
	g_assert_true(WAIT_UNTIL(call.done, HARNESS_WAIT_MS));
	platform_rig_assert_events(call.answer);
	platform_rig_join_call(&call);
	g_free(call.answer);
	platform_rig_stop(&rig);
}

/* Failure: a request whose engine was lost while newer weights were set was
 * sent again with the target weights of its arrival, to weights past their
 * limit. */
static void test_lost_attempt(void)
{
	const platform_rig_options_t options = {
		.weights_ms = EXCHANGE_OLD_WEIGHTS_MARGIN_MS
	};
	platform_rig_t rig;
	platform_rig_call_t call;
	endpoint_t *used;
	endpoint_t *other;

	platform_rig_start_with(&rig, 1, &options);
	platform_rig_set_behaviour(rig.engines, HOLD);
	platform_rig_start_call(&call, &rig, "POST", "/stream/again/1",
				MODEL_HEADERS);
	other = wait_for_arrival(rig.engines, &used);
	used->drops_orders = true;
	other->drops_orders = true;
	other->behaviour = ANSWER;
	set_target(&rig, 2);
	used->after_release = RESET_CONNECTION;
	used->release = true;
	g_assert_true(WAIT_UNTIL(call.done, HARNESS_WAIT_MS));
	g_assert_cmpuint(other->arrivals, ==, 0);
	platform_rig_join_call(&call);
	g_free(call.answer);
	platform_rig_stop(&rig);
}

/* Failure: an order that its endpoint did not run was sent to an endpoint that
 * had said since the order's arrival that it leaves. */
static void test_refused_attempt(void)
{
	platform_rig_t rig;
	platform_rig_call_t call;
	endpoint_t *used;
	endpoint_t *other;
	g_autofree char *text = NULL;

	platform_rig_start(&rig, 1);
	platform_rig_set_behaviour(rig.services, HOLD);
	platform_rig_start_call(&call, &rig, "POST", "/order/1", "");
	other = wait_for_arrival(rig.services, &used);
	other->behaviour = ANSWER;
	platform_rig_put_entry(other, "draining");
	text = g_strdup_printf(
		"endpoints_revision=%llu ",
		(unsigned long long)platform_store_revision(rig.store));
	g_assert_true(WAIT_UNTIL(has_logged(&rig, text), HARNESS_WAIT_MS));
	used->after_release = REFUSE;
	used->release = true;
	platform_rig_join_call(&call);
	g_free(call.answer);
	g_assert_cmpuint(other->arrivals, ==, 0);
	platform_rig_stop(&rig);
}

/* Failure: an engine refused a request because it had loaded other weights than
 * expected; it was taken to have the newest ones, was never ordered to load
 * them, and got requests for them that it refused again. */
static void test_unexpected_weights(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		rig.engines[i].drops_orders = true;
		rig.engines[i].checks_weights = true;
		rig.engines[i].weights = 2;
	}
	set_target(&rig, 3);
	g_assert_true(
		WAIT_UNTIL(({
				   g_free(platform_rig_request(&rig, 0, "POST",
							       "/stream/once/1",
							       MODEL_HEADERS));
				   has_logged(&rig, "status=421");
			   }),
			   HARNESS_WAIT_MS));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		rig.engines[i].drops_orders = false;
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(WAIT_UNTIL(rig.engines[i].weights == 3,
					 HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

/* Registers a case under a path made of its name. */
static void add_waiting_case(const waiting_case_t *test_case)
{
	g_autofree char *name = g_strdup(test_case->name);
	g_autofree char *path = NULL;

	g_strdelimit(name, " ", '-');
	path = g_strdup_printf("/attempts/waiting-request-%s", name);
	g_test_add_data_func(path, test_case, test_waiting);
}

/* Failure: with a route of many attempts, the gateway wrote past the list of
 * those that a request had made. */
static void test_many(void)
{
	const platform_rig_options_t options = { .attempts_max = ATTEMPTS_MAX };
	g_autofree char *all_listed = g_strdup_printf(
		" endpoints=%d ", ATTEMPTS_MAX + 2 * ENDPOINT_COUNT);
	g_autofree char *answer = NULL;
	platform_rig_t rig;

	platform_rig_start_with(&rig, 1, &options);
	platform_rig_set_behaviour(rig.services, FAIL);
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		g_autofree char *id = g_strdup_printf("alias-%d", i);

		platform_rig_put_alias(&rig.services[0], id);
	}
	g_assert_true(
		WAIT_UNTIL(has_logged(&rig, all_listed), HARNESS_WAIT_MS));
	answer = platform_rig_request(&rig, 0, "GET", "/get/1", "");
	g_test_message("%u arrivals: %s", platform_rig_arrivals(rig.services),
		       answer);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 500"));
	g_assert_cmpuint(platform_rig_arrivals(rig.services), ==,
			 EXCHANGE_RUNS_MAX);
	platform_rig_set_behaviour(rig.services, ANSWER);
	g_assert_true(platform_rig_has_status(&rig, 0, "200"));
	platform_rig_stop(&rig);
}

/* Failure: a lookup that named a model was refused once the time limit of the
 * model's weights had passed, though its service has no models. */
static void test_model_at_plain_service(void)
{
	platform_rig_t rig;
	uint64_t end_ms;
	const platform_rig_options_t options = {
		.weights_ms = EXCHANGE_OLD_WEIGHTS_MARGIN_MS + PLAIN_LIMIT_MS,
	};

	platform_rig_start_with(&rig, 1, &options);
	end_ms = clock_now_ms() + 2 * PLAIN_LIMIT_MS;
	while (clock_now_ms() < end_ms) {
		g_autofree char *answer = platform_rig_request(
			&rig, 0, "GET", "/get/1", MODEL_HEADERS);

		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	}
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(waiting_cases); i++)
		add_waiting_case(&waiting_cases[i]);
	g_test_add_func("/attempts/request-on-current-weights-is-withdrawn",
			test_current_weights);
	g_test_add_func("/attempts/lost-one-is-repeated-on-expired-weights",
			test_lost_attempt);
	g_test_add_func("/attempts/many", test_many);
	g_test_add_func("/attempts/refused-one-goes-to-leaving-endpoint",
			test_refused_attempt);
	g_test_add_func("/attempts/refusing-engine-is-taken-for-up-to-date",
			test_unexpected_weights);
	g_test_add_func("/attempts/model-at-plain-service",
			test_model_at_plain_service);
	return g_test_run();
}
