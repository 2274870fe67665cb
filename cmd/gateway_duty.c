/* The weights duty: the lease, and the orders of its holder. */
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_control.h"
#include "platform/platform_engine.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/controller_codec.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/lease.h"
#include "process/metrics.h"
#include "process/weights_roll.h"

enum {
	/** An order or a question that is not answered within, ms. */
	ENGINE_CALL_MS = 500,
	ENGINE_CONNECT_MS = 300,
	/** Finished engines are told for so long, ms: some datagrams. */
	DONE_TOLD_MS = 1500,
	/** Part of the lease bound of the platform that a lease lasts, 1 in so
	 * many, so that a successor is at work within the bound. */
	LEASE_PART = 2,
	/** No order is sent so shortly before the lease's end, ms. */
	ORDER_MARGIN_MS = 100,
};

/** Name of the object that the lease lies in. */
#define LEASE_NAME "weights"

/** A call to an engine that is open. */
typedef struct engine_call {
	gateway_duty_t *duty;
	uint64_t key;
	char id[ENDPOINT_ID_MAX_BYTES];
	char model[DESIRED_NAME_MAX_BYTES];
	uint64_t term; /**< Of the lease it was sent in. */
	http_call_t *call;
	struct engine_call *next;
} engine_call_t;

/** An engine that was finished lately. */
typedef struct done_row {
	uint64_t key;
	uint64_t weights;
	uint64_t until_ms;
} done_row_t;

struct gateway_duty {
	gateway_control_t *control;
	lease_t lease;
	http_call_t *lease_call;
	uint32_t lease_call_id;
	bool lease_call_writes;
	bool lease_begun;
	bool waiting; /**< For the lease's timer. */
	uint32_t wait_call_id;
	uint64_t wait_until_ms;
	uint64_t term; /**< Counts the terms of this process. */
	weights_roll_t roll;
	engine_call_t *calls;
	done_row_t done[ROLL_ENGINES_MAX];
	size_t done_count;
};

static void run_lease_actions(gateway_duty_t *duty, lease_actions_t *actions);
static void step_roll(gateway_duty_t *duty, uint64_t now_ms);

static void step_lease(gateway_duty_t *duty, const lease_event_t *event)
{
	lease_actions_t actions;

	lease_step(&duty->lease, event, clock_boot_ms(), &actions);
	run_lease_actions(duty, &actions);
}

static int read_lease(const char *body, size_t len, uint64_t *version,
		      lease_record_t *record)
{
	CLEANUP_JSON json_t *root = NULL;
	object_item_t item;
	int err = platform_read_object(body, len, &root, &item);

	if (err)
		return err;
	*version = item.revision;
	return lease_record_from_json(item.spec, record);
}

static void on_lease_answer(void *context, int err, uint16_t status,
			    const char *body, size_t len)
{
	gateway_duty_t *duty = context;
	lease_event_t event = { .call = duty->lease_call_id };
	lease_record_t record;
	uint64_t version = 0;
	int result = gateway_control_store_error(err, status);

	duty->lease_call = NULL;
	if (!result && read_lease(body, len, &version, &record))
		result = ERR_STORE_UNKNOWN;
	if (duty->lease_call_writes) {
		event.kind = LEASE_EVENT_WRITTEN;
		event.written.result = result;
		event.written.version = version;
	} else {
		event.kind = LEASE_EVENT_READ;
		event.read.result = result;
		event.read.version = version;
		event.read.record = &record;
	}
	step_lease(duty, &event);
}

static void call_lease(gateway_duty_t *duty, const lease_action_t *action)
{
	struct evbuffer *message = evbuffer_new();
	int err = 0;

	duty->lease_call_id = action->call;
	duty->lease_call_writes = action->kind == LEASE_ACTION_WRITE;
	if (duty->lease_call_writes) {
		CLEANUP_JSON json_t *spec =
			lease_record_to_json(&action->write.record);

		if (action->write.if_version)
			err = platform_write_replace(
				message, OBJECT_LEASES, LEASE_NAME,
				action->write.if_version, spec);
		else
			err = platform_write_create(message, OBJECT_LEASES,
						    LEASE_NAME, spec);
	} else {
		platform_write_get(message, OBJECT_LEASES, LEASE_NAME);
	}
	if (duty->lease_call)
		http_call_cancel(duty->lease_call);
	duty->lease_call =
		err ? NULL
		    : gateway_control_store_call(duty->control, message,
						 on_lease_answer, duty);
	evbuffer_free(message);
	if (!duty->lease_call) {
		/* As if the store were down; the next tick reports it. */
		duty->waiting = true;
		duty->wait_call_id = 0;
		duty->wait_until_ms = 0;
	}
}

static void begin_term(gateway_duty_t *duty, uint64_t fencing)
{
	duty->term++;
	weights_roll_init(
		&duty->roll,
		(uint32_t)duty->control->gateway->settings.weights_ms);
	metrics_add(METRIC_LEASES_ACQUIRED, 1);
	event_log(EVENT_LEASE_ACQUIRED, "lease=%s fencing=%llu", LEASE_NAME,
		  (unsigned long long)fencing);
	gateway_peers_tell(duty->control->peers);
}

static void end_term(gateway_duty_t *duty)
{
	duty->term++;
	weights_roll_init(
		&duty->roll,
		(uint32_t)duty->control->gateway->settings.weights_ms);
	metrics_add(METRIC_LEASES_LOST, 1);
	event_log(EVENT_LEASE_LOST, "lease=%s", LEASE_NAME);
}

static void run_lease_actions(gateway_duty_t *duty, lease_actions_t *actions)
{
	for (size_t i = 0; i < actions->count; i++) {
		const lease_action_t *action = &actions->items[i];

		switch (action->kind) {
		case LEASE_ACTION_READ:
		case LEASE_ACTION_WRITE:
			call_lease(duty, action);
			break;
		case LEASE_ACTION_WAIT:
			duty->waiting = true;
			duty->wait_call_id = action->call;
			duty->wait_until_ms = action->until_ms;
			break;
		case LEASE_ACTION_ACQUIRED:
			begin_term(duty, action->fencing);
			break;
		case LEASE_ACTION_LOST:
			end_term(duty);
			break;
		case LEASE_ACTION_STOPPED:
			event_log(EVENT_LEASE_RELEASED, "lease=%s", LEASE_NAME);
			break;
		}
	}
}

static void begin_lease(gateway_duty_t *duty)
{
	gateway_control_t *control = duty->control;
	lease_actions_t actions;

	duty->lease_begun = true;
	lease_begin(
		&duty->lease, control->gateway->settings.name,
		control->incarnation ^ rng_next(&control->rng),
		(uint32_t)(control->gateway->settings.lease_ms / LEASE_PART),
		&control->rng, &actions);
	/* The platform starts a process again after it has ended. */
	lease_bind_name(&duty->lease);
	run_lease_actions(duty, &actions);
}

static void restart_lease(gateway_duty_t *duty)
{
	lease_event_t event = { .kind = duty->lease_call_writes
						? LEASE_EVENT_WRITTEN
						: LEASE_EVENT_READ,
				.call = duty->lease_call_id };

	if (duty->lease_call_writes)
		event.written.result = ERR_STORE_DOWN;
	else
		event.read.result = ERR_STORE_DOWN;
	step_lease(duty, &event);
}

static void run_lease_timer(gateway_duty_t *duty, uint64_t now_ms)
{
	lease_event_t event = { .kind = LEASE_EVENT_TIMER,
				.call = duty->wait_call_id };

	if (!duty->waiting || clock_boot_ms() < duty->wait_until_ms)
		return;
	/* While the holder is heard there is nothing to read. A slow instance
	 * would be late with its orders and leaves the lease to others. */
	if (duty->lease.phase == LEASE_PHASE_WATCHING &&
	    (gateway_peers_holder(duty->control->peers, now_ms) ||
	     !gateway_peers_may_lead(duty->control->peers, now_ms)))
		return;
	duty->waiting = false;
	if (duty->wait_call_id)
		step_lease(duty, &event);
	else
		restart_lease(duty);
}

uint64_t gateway_duty_fencing(const gateway_duty_t *duty)
{
	return duty && duty->lease_begun
		       ? lease_fencing(&duty->lease, clock_boot_ms())
		       : 0;
}

/* Calls to engines. */

static engine_call_t *call_new(gateway_duty_t *duty,
			       const endpoint_entry_t *entry, const char *model,
			       uint64_t key)
{
	engine_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->duty = duty;
	call->key = key;
	call->term = duty->term;
	snprintf(call->id, sizeof(call->id), "%s", entry->id);
	snprintf(call->model, sizeof(call->model), "%s", model);
	call->next = duty->calls;
	duty->calls = call;
	return call;
}

static void call_free(engine_call_t *call)
{
	engine_call_t **link = &call->duty->calls;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	free(call);
}

static void send_engine_call(engine_call_t *call, const endpoint_entry_t *entry,
			     struct evbuffer *message, http_call_fn *done)
{
	gateway_control_t *control = call->duty->control;
	outbound_target_t target = {
		.address = entry->address,
		.connections_max = 4,
		.connect_timeout_ms = ENGINE_CONNECT_MS,
		.user_timeout_ms = ENGINE_CALL_MS,
	};

	endpoint_key(entry, target.key, sizeof(target.key));
	call->call = http_call_send(control->outbound, control->base, &target,
				    message, ENGINE_CALL_MS, done, call);
	if (!call->call)
		done(call, ERR_CONNECT, 0, "", 0);
}

static void on_report(void *context, int err, uint16_t status, const char *body,
		      size_t len)
{
	engine_call_t *call = context;
	gateway_duty_t *duty = call->duty;
	engine_report_t report;
	roll_report_t read = { .result = err };

	if (!err && status != 200)
		read.result = ERR_ENDPOINT_ANSWER;
	if (!read.result)
		read.result = platform_read_report(body, len, &report);
	if (!read.result) {
		read.busy = report.busy;
		read.accepted = report.accepted;
		for (uint32_t i = 0; i < report.model_count; i++) {
			if (!strcmp(report.models[i].model, call->model))
				read.weights = report.models[i].version;
		}
	}
	event_log(EVENT_ENGINE_REPORT,
		  "endpoint=%s result=%s status=%u busy=%d accepted=%llu "
		  "weights=%llu running=%u",
		  call->id, error_type(read.result), status, read.busy,
		  (unsigned long long)read.accepted,
		  (unsigned long long)read.weights,
		  read.result ? 0 : report.running);
	if (call->term == duty->term)
		weights_roll_reported(&duty->roll, call->key, &read,
				      clock_now_ms());
	call_free(call);
	if (gateway_duty_fencing(duty))
		step_roll(duty, clock_now_ms());
}

static void on_ordered(void *context, int err, uint16_t status,
		       const char *body, size_t len)
{
	engine_call_t *call = context;
	gateway_duty_t *duty = call->duty;

	(void)body;
	(void)len;
	event_log(err ? EVENT_ENGINE_ORDER_UNKNOWN : EVENT_ENGINE_ORDER_RESULT,
		  "endpoint=%s result=%s status=%u", call->id, error_type(err),
		  status);
	if (call->term == duty->term)
		weights_roll_answered(&duty->roll, call->key, err ? 0 : status,
				      clock_now_ms());
	call_free(call);
}

static void ask(gateway_duty_t *duty, const endpoint_entry_t *entry,
		const char *model, uint64_t key)
{
	engine_call_t *call = call_new(duty, entry, model, key);
	struct evbuffer *message = evbuffer_new();

	if (call && message) {
		platform_write_report_call(message, entry->id);
		send_engine_call(call, entry, message, on_report);
	} else if (call) {
		on_report(call, ERR_NO_MEMORY, 0, "", 0);
	} else {
		roll_report_t nothing = { .result = ERR_NO_MEMORY };

		weights_roll_reported(&duty->roll, key, &nothing,
				      clock_now_ms());
	}
	if (message)
		evbuffer_free(message);
}

static void order(gateway_duty_t *duty, const endpoint_entry_t *entry,
		  const char *model, const roll_action_t *action)
{
	uint64_t fencing = gateway_duty_fencing(duty);
	engine_order_t sent = {
		.instance = entry->id,
		.model = model,
		.version = action->version,
		.mode = action->runs_left ? WEIGHTS_CONTINUE : WEIGHTS_FINISH,
		.holder = duty->control->gateway->settings.name,
		.fencing = fencing,
		.accepted = action->accepted,
	};
	engine_call_t *call;
	struct evbuffer *message;

	/* Whatever keeps an order from being sent, the engine is asked next. */
	if (!lease_is_valid(&duty->lease, clock_boot_ms() + ORDER_MARGIN_MS)) {
		weights_roll_answered(&duty->roll, action->key, 0,
				      clock_now_ms());
		return;
	}
	call = call_new(duty, entry, model, action->key);
	message = evbuffer_new();
	event_log(
		EVENT_ENGINE_ORDER,
		"endpoint=%s model=%s version=%llu fencing=%llu accepted=%llu "
		"runs_left=%d",
		entry->id, model, (unsigned long long)action->version,
		(unsigned long long)fencing,
		(unsigned long long)action->accepted, action->runs_left);
	metrics_add(METRIC_ENGINE_ORDERS_SENT, 1);
	if (call && message && !platform_write_order(message, &sent))
		send_engine_call(call, entry, message, on_ordered);
	else if (call)
		on_ordered(call, ERR_NO_MEMORY, 0, "", 0);
	else
		weights_roll_answered(&duty->roll, action->key, 0,
				      clock_now_ms());
	if (message)
		evbuffer_free(message);
}

static void note_done(gateway_duty_t *duty, uint64_t key, uint64_t weights,
		      uint64_t now_ms)
{
	done_row_t *row = NULL;

	for (size_t i = 0; i < duty->done_count; i++) {
		if (duty->done[i].key == key || duty->done[i].until_ms < now_ms)
			row = &duty->done[i];
	}
	if (!row && duty->done_count < ROLL_ENGINES_MAX)
		row = &duty->done[duty->done_count++];
	if (row)
		*row = (done_row_t){ key, weights, now_ms + DONE_TOLD_MS };
}

/* Engines of the view whose model has named weights. */
static size_t fill_engines(const view_t *view, uint64_t now_ms,
			   roll_engine_t *engines, const char **models)
{
	size_t count = 0;

	for (size_t i = 0; i < view->endpoint_count; i++) {
		const endpoint_entry_t *entry = &view->endpoints[i];
		const endpoint_load_t *load = entry->load;
		const named_weights_t *named;
		uint64_t held;
		roll_engine_t *engine = &engines[count];

		if (!entry->model_count || count == ROLL_ENGINES_MAX)
			continue;
		named = view_weights(view, entry->models[0].model);
		if (!named)
			continue;
		models[count++] = entry->models[0].model;
		held = endpoint_weights(entry, named->model);
		*engine = (roll_engine_t){
			.key = peer_endpoint_key(load->id_hash, load->born_ms),
			.index = (uint32_t)i,
			.weights = held,
			.overdue_ms =
				named_weights_overdue(named, held, now_ms),
			.named = named->versions[0],
			.runs = load->own_runs + load->peer_runs,
			.reachable = !entry->draining && !load->leaving &&
				     now_ms >= load->ejected_until_ms,
		};
	}
	return count;
}

static void run_action(gateway_duty_t *duty, const roll_action_t *action,
		       uint64_t now_ms)
{
	const view_t *view = duty->control->assembly.view;
	const endpoint_entry_t *entry = &view->endpoints[action->index];
	const char *model = entry->models[0].model;

	switch (action->kind) {
	case ROLL_ACTION_ASK:
		ask(duty, entry, model, action->key);
		break;
	case ROLL_ACTION_AVOID:
		atomic_store(&entry->load->loading_until_ms,
			     now_ms + ROLL_LOADING_MS);
		break;
	case ROLL_ACTION_ORDER:
		order(duty, entry, model, action);
		break;
	case ROLL_ACTION_DONE:
		atomic_store(&entry->load->seen_weights, action->version);
		atomic_store(&entry->load->loading_until_ms, 0);
		note_done(duty, action->key, action->version, now_ms);
		metrics_add(METRIC_ENGINE_ORDERS_DONE, 1);
		break;
	}
}

static void keep_avoided(gateway_duty_t *duty, uint64_t now_ms)
{
	const view_t *view = duty->control->assembly.view;

	for (size_t i = 0; i < view->endpoint_count; i++) {
		endpoint_load_t *load = view->endpoints[i].load;

		if (weights_roll_is_loading(
			    &duty->roll,
			    peer_endpoint_key(load->id_hash, load->born_ms)))
			atomic_store(&load->loading_until_ms,
				     now_ms + ROLL_LOADING_MS);
	}
}

static void step_roll(gateway_duty_t *duty, uint64_t now_ms)
{
	const view_t *view = duty->control->assembly.view;
	static roll_engine_t engines[ROLL_ENGINES_MAX];
	static const char *models[ROLL_ENGINES_MAX];
	roll_actions_t actions;
	bool news = false;
	size_t count;

	if (!view)
		return;
	count = fill_engines(view, now_ms, engines, models);
	weights_roll_step(&duty->roll, engines, count, now_ms, &actions);
	for (size_t i = 0; i < actions.count; i++) {
		run_action(duty, &actions.items[i], now_ms);
		news |= actions.items[i].kind == ROLL_ACTION_AVOID ||
			actions.items[i].kind == ROLL_ACTION_DONE;
	}
	keep_avoided(duty, now_ms);
	if (news)
		gateway_peers_tell(duty->control->peers);
}

void gateway_duty_news(gateway_duty_t *duty, peer_news_t *news, uint64_t now_ms)
{
	const view_t *view;

	if (!duty || !news->fencing)
		return;
	view = duty->control->assembly.view;
	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_load_t *load = view->endpoints[i].load;
		uint64_t key = peer_endpoint_key(load->id_hash, load->born_ms);

		if (weights_roll_is_loading(&duty->roll, key) &&
		    news->weights_count < PEER_WEIGHTS_MAX &&
		    peer_news_room(news) >= PEER_WEIGHTS_BYTES)
			news->weights[news->weights_count++] =
				(peer_weights_t){ key, 0, ROLL_LOADING_MS };
	}
	for (size_t i = 0; i < duty->done_count; i++) {
		const done_row_t *row = &duty->done[i];

		if (row->until_ms > now_ms &&
		    !weights_roll_is_loading(&duty->roll, row->key) &&
		    news->weights_count < PEER_WEIGHTS_MAX &&
		    peer_news_room(news) >= PEER_WEIGHTS_BYTES)
			news->weights[news->weights_count++] =
				(peer_weights_t){ row->key, row->weights, 0 };
	}
}

void gateway_duty_tick(gateway_duty_t *duty, uint64_t now_ms)
{
	bool leads = gateway_peers_may_lead(duty->control->peers, now_ms);

	if (!duty->lease_begun) {
		if (!leads || !assembly_is_complete(&duty->control->assembly))
			return;
		begin_lease(duty);
	}
	run_lease_timer(duty, now_ms);
	if (gateway_duty_fencing(duty))
		step_roll(duty, now_ms);
}

void gateway_duty_release(gateway_duty_t *duty)
{
	lease_event_t event = { .kind = LEASE_EVENT_RELEASE };

	if (duty->lease_begun)
		step_lease(duty, &event);
}

gateway_duty_t *gateway_duty_open(gateway_control_t *control)
{
	gateway_duty_t *duty = calloc(1, sizeof(*duty));

	if (duty)
		duty->control = control;
	return duty;
}

void gateway_duty_close(gateway_duty_t *duty)
{
	if (!duty)
		return;
	if (duty->lease_call)
		http_call_cancel(duty->lease_call);
	for (engine_call_t *call = duty->calls; call;) {
		engine_call_t *next = call->next;

		if (call->call)
			http_call_cancel(call->call);
		free(call);
		call = next;
	}
	free(duty);
}
