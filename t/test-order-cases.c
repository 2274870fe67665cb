/* Orders are executed at most once: one case for each path. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/order.h"

enum {
	STEPS_MAX = 8,
};

static const order_settings_t settings = {
	.send_window_ms = 2000,
	.endpoint_timeout_ms = 1000,
	.clock_drift_ms = 200,
	.retry_ms = 50,
	.retry_max_ms = 1000,
	.record_retry_ms = 20000,
	.retention_ms = 30000,
};

typedef struct step {
	order_event_kind_t kind;
	int value; /**< Result, proof, or -1 for an answer with `X-Not-Run`. */
	int state; /**< Of the record that was read. */
	bool own_nonce; /**< The record that was read has our nonce. */
	uint64_t at_ms;
	const char *actions; /**< Expected actions, see action_letter(). */
	int answer_err;	     /**< Expected error of the answer, if any. */
} step_t;

#define WRITTEN(result) .kind = ORDER_EVENT_WRITTEN, .value = (result)
#define READ(result) .kind = ORDER_EVENT_READ, .value = (result)
#define READ_OWN(record_state) \
	.kind = ORDER_EVENT_READ, .state = (record_state), .own_nonce = true
#define READ_OTHER(record_state) \
	.kind = ORDER_EVENT_READ, .state = (record_state)
#define EVENT(name) .kind = ORDER_EVENT_##name

static const struct {
	const char *name;
	bool fencing;
	bool other_body;
	bool no_endpoint;
	uint64_t unchanged_ms;
	step_t steps[STEPS_MAX];
} cases[] = {
	{ "done", .steps = { { WRITTEN(0), .actions = "C" },
			     { EVENT(CONNECTED), .actions = "S" },
			     { EVENT(ANSWERED), .actions = "W" },
			     { WRITTEN(0), .actions = "PF" } } },
	{ "store down before the claim is not run",
	  .steps = { { WRITTEN(ERR_STORE_DOWN), .actions = "PF",
		       .answer_err = ERR_STORE_DOWN } } },
	{ "lost claim found by its nonce is used",
	  .steps = { { WRITTEN(ERR_STORE_UNKNOWN), .actions = "R" },
		     { READ_OWN(ORDER_STATE_OPEN), .actions = "C" },
		     { EVENT(CONNECTED), .actions = "S" } } },
	{ "lost claim and lost reads: not run, and recorded as such",
	  .steps = { { WRITTEN(ERR_STORE_UNKNOWN), .actions = "R" },
		     { READ(ERR_STORE_UNKNOWN), .actions = "T" },
		     { EVENT(TIMER), .actions = "R" },
		     { READ(ERR_STORE_DOWN), .at_ms = 2000, .actions = "PW",
		       .answer_err = ERR_ORDER_NOT_RUN },
		     { WRITTEN(ERR_STORE_CONDITION), .actions = "R" },
		     { READ_OWN(ORDER_STATE_OPEN), .actions = "W" },
		     { WRITTEN(0), .actions = "F" } } },
	{ "lost claim that another closed is not sent", .fencing = true,
	  .steps = { { WRITTEN(ERR_STORE_UNKNOWN), .actions = "R" },
		     { READ_OWN(ORDER_STATE_UNKNOWN), .actions = "W" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_ORDER_NOT_RUN } } },
	{ "claim whose send window ended while connecting is not sent",
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECTED), .at_ms = 2000, .actions = "XW" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_ORDER_NOT_RUN } } },
	{ "refused connections try every endpoint of the claim",
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECT_FAILED), .actions = "C" },
		     { EVENT(CONNECT_FAILED), .actions = "W" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_CONNECT } } },
	{ "lost answer is unknown",
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECTED), .actions = "S" },
		     { EVENT(ANSWER_LOST), .actions = "W" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_ORDER_UNKNOWN } } },
	{ "lost answer is resolved by endpoints that check fencing",
	  .fencing = true,
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECTED), .actions = "S" },
		     { EVENT(ANSWER_LOST), .actions = "W" },
		     { WRITTEN(0), .actions = "Q" },
		     { EVENT(QUERIED), .value = ORDER_PROOF_NOT_RUN,
		       .actions = "Q" },
		     { EVENT(QUERIED), .value = ORDER_PROOF_NOT_RUN,
		       .actions = "W" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_ORDER_NOT_RUN } } },
	{ "one endpoint without proof leaves it unknown", .fencing = true,
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECTED), .actions = "S" },
		     { EVENT(ANSWER_LOST), .actions = "W" },
		     { WRITTEN(0), .actions = "Q" },
		     { EVENT(QUERIED), .value = ORDER_PROOF_NOT_RUN,
		       .actions = "Q" },
		     { EVENT(QUERIED), .value = ORDER_PROOF_NONE,
		       .actions = "PF", .answer_err = ERR_ORDER_UNKNOWN } } },
	{ "endpoint says not run",
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECTED), .actions = "S" },
		     { EVENT(ANSWERED), .value = -1, .actions = "W" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_ORDER_NOT_RUN } } },
	{ "record of a done order is retried in the background",
	  .steps = { { WRITTEN(0), .actions = "C" },
		     { EVENT(CONNECTED), .actions = "S" },
		     { EVENT(ANSWERED), .actions = "W" },
		     { WRITTEN(ERR_STORE_DOWN), .actions = "PT" },
		     { EVENT(TIMER), .actions = "R" },
		     { READ_OWN(ORDER_STATE_UNKNOWN), .actions = "W" },
		     { WRITTEN(0), .actions = "F" } } },
	{ "repeat of a done order",
	  .steps = { { WRITTEN(ERR_STORE_CONDITION), .actions = "R" },
		     { READ_OTHER(ORDER_STATE_DONE), .actions = "PF" } } },
	{ "repeat while open",
	  .steps = { { WRITTEN(ERR_STORE_CONDITION), .actions = "R" },
		     { READ_OTHER(ORDER_STATE_OPEN), .actions = "PF",
		       .answer_err = ERR_ORDER_IN_PROGRESS } } },
	{ "repeat after the deadline closes the claim as unknown",
	  .unchanged_ms = 100000,
	  .steps = { { WRITTEN(ERR_STORE_CONDITION), .actions = "R" },
		     { READ_OTHER(ORDER_STATE_OPEN), .actions = "W" },
		     { WRITTEN(0), .actions = "PF",
		       .answer_err = ERR_ORDER_UNKNOWN } } },
	{ "another's open claim is never overwritten as not run",
	  .unchanged_ms = 100000,
	  .steps = { { WRITTEN(ERR_STORE_UNKNOWN), .actions = "R" },
		     { READ_OTHER(ORDER_STATE_OPEN), .actions = "W" },
		     { WRITTEN(ERR_STORE_UNKNOWN), .actions = "T" },
		     { EVENT(TIMER), .actions = "R" },
		     { READ(ERR_STORE_DOWN), .at_ms = 2500, .actions = "PF",
		       .answer_err = ERR_ORDER_IN_PROGRESS } } },
	{ "repeat of an order that did not run claims again",
	  .steps = { { WRITTEN(ERR_STORE_CONDITION), .actions = "R" },
		     { READ_OTHER(ORDER_STATE_NOT_RUN), .actions = "W" },
		     { WRITTEN(0), .actions = "C" } } },
	{ "without an endpoint nothing is claimed", .no_endpoint = true,
	  .steps = { { READ(ERR_NOT_FOUND), .actions = "PF",
		       .answer_err = ERR_NO_ENDPOINT } } },
	{ "repeat of a done order without an endpoint", .no_endpoint = true,
	  .steps = { { READ_OTHER(ORDER_STATE_DONE), .actions = "PF" } } },
	{ "repeat of an order that did not run, without an endpoint",
	  .no_endpoint = true,
	  .steps = { { READ_OTHER(ORDER_STATE_NOT_RUN), .actions = "PF",
		       .answer_err = ERR_NO_ENDPOINT } } },
	{ "lost reads without an endpoint write nothing", .no_endpoint = true,
	  .steps = { { READ(ERR_STORE_UNKNOWN), .actions = "T" },
		     { EVENT(TIMER), .actions = "R" },
		     { READ(ERR_STORE_DOWN), .at_ms = 2000, .actions = "PF",
		       .answer_err = ERR_NO_ENDPOINT } } },
	{ "same key, other body", .other_body = true,
	  .steps = { { WRITTEN(ERR_STORE_CONDITION), .actions = "R" },
		     { READ_OTHER(ORDER_STATE_DONE), .actions = "PF",
		       .answer_err = ERR_KEY_REUSED } } },
};

/**
 * W: write, R: read, T: wait for a timer, C: connect, S: send, X: close,
 * Q: query, P: answer the client, F: finish
 */
static char action_letter(order_action_kind_t kind)
{
	static const char letters[] = "WRTCSXQPF";

	return letters[kind];
}

static void check_actions(const char *name, const order_actions_t *actions,
			  const step_t *step, uint64_t fencing)
{
	char got[ORDER_ACTIONS_MAX + 1] = "";

	for (size_t i = 0; i < actions->count; i++) {
		got[i] = action_letter(actions->items[i].kind);
		if (actions->items[i].kind == ORDER_ACTION_ANSWER)
			g_assert_cmpint(actions->items[i].answer.err, ==,
					step->answer_err);
		if (actions->items[i].kind == ORDER_ACTION_WRITE)
			g_assert_cmpuint(actions->items[i].write.record.fencing,
					 >=, fencing);
	}
	g_test_message("%s: %s", name, got);
	g_assert_cmpstr(got, ==, step->actions);
}

/* A fault in any of these paths could run an order twice or not at all. */
static void test_cases(void)
{
	static const order_answer_t answer = { .http_status = 201 };

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		order_request_t request = {
			.customer = "c",
			.key = "k",
			.digest = "d",
			.owner = "n",
			.endpoints = { "e1", "e2" },
			.endpoint_count = cases[c].no_endpoint ? 0 : 2,
			.endpoints_check_fencing = cases[c].fencing,
			.nonce = 7,
		};
		order_actions_t actions;
		order_t order;

		uint64_t fencing = 0;

		order_begin(&order, &settings, &request, 0, &actions);
		for (const step_t *step = cases[c].steps; step->actions;
		     step++) {
			order_record_t record = order.claim;
			order_event_t event = { .kind = step->kind,
						.call_id = order.call_id };

			record.state = step->state;
			record.nonce = step->own_nonce ? 7 : 8;
			record.answer = &answer;
			/* A closed claim has a raised fencing number. */
			record.fencing += step->state == ORDER_STATE_UNKNOWN;
			if (step->kind == ORDER_EVENT_READ && !step->value)
				fencing = record.fencing;
			if (cases[c].other_body)
				record.digest[0] = 'x';
			switch (step->kind) {
			case ORDER_EVENT_READ:
				event.read.result = step->value;
				event.read.record = &record;
				event.read.version = 5;
				event.read.unchanged_ms = cases[c].unchanged_ms;
				break;
			case ORDER_EVENT_QUERIED:
				event.queried.proof = step->value;
				break;
			case ORDER_EVENT_ANSWERED:
				event.answered.answer = &answer;
				event.answered.not_run = step->value < 0;
				break;
			default:
				event.written.result = step->value;
				event.written.version = 5;
				break;
			}
			order_step(&order, &event, step->at_ms, &actions);
			check_actions(cases[c].name, &actions, step, fencing);
			/* A duplicate of the result must have no effect. */
			event.call_id = order.call_id - 1;
			order_step(&order, &event, step->at_ms, &actions);
			g_assert_cmpuint(actions.count, ==, 0);
		}
	}
}

/* A request without a key, and an answer too large to store. */
static void test_limits(void)
{
	order_request_t request = { .customer = "c",
				    .digest = "d",
				    .owner = "n",
				    .endpoints = { "e" },
				    .endpoint_count = 1 };
	order_answer_t answer = { .http_status = 200,
				  .body = "x",
				  .body_bytes = ORDER_BODY_MAX_BYTES + 1 };
	order_event_t event = { .kind = ORDER_EVENT_WRITTEN };
	order_actions_t actions;
	order_t order;

	order_begin(&order, &settings, &request, 0, &actions);
	g_assert_cmpint(actions.items[0].answer.err, ==, ERR_KEY_MISSING);
	request.key = "k";
	order_begin(&order, &settings, &request, 0, &actions);
	event.call_id = order.call_id;
	order_step(&order, &event, 0, &actions);
	event.kind = ORDER_EVENT_CONNECTED;
	event.call_id = order.call_id;
	order_step(&order, &event, 0, &actions);
	event.kind = ORDER_EVENT_ANSWERED;
	event.answered.answer = &answer;
	order_step(&order, &event, 0, &actions);
	g_assert_true(actions.items[0].write.record.answer->body_omitted);
	g_assert_cmpuint(actions.items[0].write.record.answer->body_bytes, ==,
			 0);
	event = (order_event_t){ .kind = ORDER_EVENT_WRITTEN,
				 .call_id = order.call_id };
	order_step(&order, &event, 0, &actions);
	g_assert_true(actions.items[0].answer.answer == &answer);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order/cases", test_cases);
	g_test_add_func("/order/limits", test_limits);
	return g_test_run();
}
