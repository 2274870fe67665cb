/* The first engine order that a controller issues in each of some cases. */
#include <glib.h>
#include <string.h>

#include "process/controller.h"
#include "process/error.h"

static const controller_settings_t settings = {
	.order_max_ms = 4000,
	.report_max_age_ms = 1500,
	.engine_retry_ms = 500,
	.store_retry_ms = 100,
	.slot_retry_ms = 300,
};

static controller_actions_t step_at(controller_t *controller,
				    controller_event_t event, uint64_t now_ms)
{
	controller_actions_t actions;

	controller_step(controller, &event, now_ms, &actions);
	return actions;
}

static void report(controller_t *controller, const char *id,
		   const char *version, uint64_t now_ms)
{
	controller_event_t event = { .kind = CONTROLLER_EVENT_REPORT };

	event.report.engine = id;
	event.report.polled_ms = now_ms;
	g_strlcpy(event.report.state.loaded.model, *version ? "m" : "",
		  CONTROLLER_ID_MAX_BYTES);
	g_strlcpy(event.report.state.loaded.version, version,
		  CONTROLLER_ID_MAX_BYTES);
	step_at(controller, event, now_ms);
}

/* Versions that two engines report, and the expected first order. */
static const struct {
	const char *name;
	const char *versions[2];
	bool checks_fencing;
	/** The store has two open loads of an earlier holder, in both slots. */
	bool inherited;
	const char *first_engine; /**< Engine of the first order; NULL: none. */
	/** Engine that is found empty while the order is being recorded. */
	const char *emptied_engine;
} cases[] = {
	{ "nothing to do", { "v1", "v1" }, true, false, NULL, NULL },
	{ "an empty engine is loaded", { "v1", "" }, true, false, "e1", NULL },
	{ "ready_min keeps the last engine",
	  { "v0", "" },
	  true,
	  false,
	  "e1",
	  NULL },
	{ "old weights are replaced", { "v1", "v0" }, true, false, "e1", NULL },
	{ "no order once too few engines are left",
	  { "v1", "v0" },
	  true,
	  false,
	  "e0",
	  "e0" },
	{ "engines without fencing wait",
	  { "v1", "v0" },
	  false,
	  false,
	  NULL,
	  NULL },
	{ "inherited loads keep their slots",
	  { "v1", "" },
	  true,
	  true,
	  NULL,
	  NULL },
};

/** Answers store calls until the controller issues an order or stops. */
static const char *run_case(controller_t *controller,
			    controller_actions_t actions,
			    const controller_status_t *status,
			    const controller_slots_t *slots, bool inherited,
			    const char *emptied_engine, char *engine)
{
	for (int i = 0; i < 12 && actions.count; i++) {
		const controller_action_t *action = &actions.items[0];
		controller_event_t event = { .call_id = action->call_id };

		if (emptied_engine &&
		    action->kind == CONTROLLER_ACTION_WRITE_STATUS &&
		    action->status.open_count)
			report(controller, emptied_engine, "", 1000);

		switch (action->kind) {
		case CONTROLLER_ACTION_READ_STATUS:
		case CONTROLLER_ACTION_WRITE_STATUS:
			event.kind = CONTROLLER_EVENT_STATUS;
			event.status.value = status;
			event.status.result =
				action->kind == CONTROLLER_ACTION_READ_STATUS &&
						!inherited
					? ERR_NOT_FOUND
					: 0;
			break;
		case CONTROLLER_ACTION_READ_SLOTS:
		case CONTROLLER_ACTION_WRITE_SLOTS:
			event.kind = CONTROLLER_EVENT_SLOTS;
			event.slots.value = slots;
			event.slots.result =
				action->kind == CONTROLLER_ACTION_READ_SLOTS &&
						!inherited
					? ERR_NOT_FOUND
					: 0;
			break;
		case CONTROLLER_ACTION_ISSUE:
			g_strlcpy(engine, action->issue.order.engine,
				  CONTROLLER_ID_MAX_BYTES);
			return engine;
		}
		actions = step_at(controller, event, 1000);
	}
	return NULL;
}

static void test_cases(void)
{
	static const controller_engine_config_t desired = { .model = "m",
							    .version = "v1" };
	static const controller_status_t status = {
		.fencing = 4,
		.next_id = 2,
		.open_count = 2,
		.open = { { .id = 1, .engine = "gone" },
			  { .id = 2, .engine = "gone" } },
	};
	static const controller_slots_t slots = {
		.count = 2,
		.items = { { "p", 1 }, { "p", 2 } },
	};
	controller_t *controller = g_new0(controller_t, 1);

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		controller_engine_spec_t specs[] = {
			{ "e0", cases[c].checks_fencing },
			{ "e1", cases[c].checks_fencing },
		};
		controller_event_t lease = { .kind = CONTROLLER_EVENT_LEASE };
		char engine[CONTROLLER_ID_MAX_BYTES];
		const char *first_engine;

		lease.lease.fencing = 5;
		lease.lease.valid_until_ms = 5000;
		controller_init(controller, "p", &settings);
		controller_configure(controller, &desired, 1, specs, 2);
		report(controller, "e0", cases[c].versions[0], 1000);
		report(controller, "e1", cases[c].versions[1], 1000);
		first_engine =
			run_case(controller, step_at(controller, lease, 1000),
				 &status, &slots, cases[c].inherited,
				 cases[c].emptied_engine, engine);
		g_test_message("%s: %s", cases[c].name,
			       first_engine ? first_engine : "-");
		g_assert_cmpstr(first_engine, ==, cases[c].first_engine);
	}
	g_free(controller);
}

/*
 * A slots write that the store budget refuses must be retried without a read
 * before it. The read would use the one call that the budget allows, so that
 * the write would be refused in every round.
 */
static void test_refused_slots(void)
{
	static const controller_engine_config_t desired = { .model = "m",
							    .version = "v1" };
	static const controller_engine_spec_t spec = { "e0", true };
	controller_t *controller = g_new0(controller_t, 1);
	controller_event_t event = { .kind = CONTROLLER_EVENT_LEASE };
	controller_actions_t actions;

	event.lease.fencing = 1;
	event.lease.valid_until_ms = 5000;
	controller_init(controller, "p", &settings);
	controller_configure(controller, &desired, 0, &spec, 1);
	report(controller, "e0", "v0", 1000);
	actions = step_at(controller, event, 1000);
	while (actions.items[0].kind != CONTROLLER_ACTION_WRITE_SLOTS) {
		bool reads =
			actions.items[0].kind ==
				CONTROLLER_ACTION_READ_STATUS ||
			actions.items[0].kind == CONTROLLER_ACTION_READ_SLOTS;

		event = (controller_event_t){
			.kind = actions.items[0].kind ==
						CONTROLLER_ACTION_READ_SLOTS
					? CONTROLLER_EVENT_SLOTS
					: CONTROLLER_EVENT_STATUS,
			.call_id = actions.items[0].call_id,
			.status = { .result = reads ? ERR_NOT_FOUND : 0 },
		};
		actions = step_at(controller, event, 1000);
		g_assert_cmpuint(actions.count, ==, 1);
	}
	event.kind = CONTROLLER_EVENT_SLOTS;
	event.call_id = actions.items[0].call_id;
	event.slots.result = ERR_STORE_BUDGET;
	actions = step_at(controller, event, 1000);
	g_assert_cmpuint(actions.count, ==, 0);
	event.kind = CONTROLLER_EVENT_TICK;
	actions = step_at(controller, event, 1000 + settings.store_retry_ms);
	g_assert_cmpuint(actions.count, ==, 1);
	g_assert_cmpint(actions.items[0].kind, ==,
			CONTROLLER_ACTION_WRITE_SLOTS);
	g_assert_cmpuint(actions.items[0].slots.count, ==, 1);
	g_free(controller);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller/cases", test_cases);
	g_test_add_func("/controller/refused-slots", test_refused_slots);
	return g_test_run();
}
