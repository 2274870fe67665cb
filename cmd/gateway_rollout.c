/* The weights rollout: orders from the lease holder to engines. */
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_control.h"
#include "cmd/gateway_lease.h"
#include "cmd/gateway_rollout_log.h"
#include "platform/platform_engine.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"
#include "process/weights_rollout.h"

enum {
	/** Timeout of an order or a report request, ms. */
	ENGINE_CALL_MS = 500,
	ENGINE_CONNECT_MS = 300,
	/** Engines that have loaded their weights are announced to peers for
	 * this long, ms: enough for several heartbeats. */
	COMPLETED_ANNOUNCE_MS = 1500,
	/** Most engines that are announced as loaded at the same time; others
	 * are known from the endpoint list only. */
	COMPLETED_MAX = 512,
	/** No order is sent this shortly before the lease ends, ms. */
	ORDER_MARGIN_MS = 100,
	/** Capacity of the first allocation for orders that are not logged
	 * yet. */
	UNLOGGED_FIRST = 16,
};

/** An open call to an engine. */
typedef struct engine_call {
	gateway_rollout_t *rollout;
	uint64_t key; /**< See peer_endpoint_key(). */
	char *id;
	char *model;
	uint64_t term; /**< Lease term in which it was sent. */
	bool is_order; /**< Else it is a request for a report. */
	http_call_t *call;
	struct engine_call *next;
} engine_call_t;

/** An engine that has recently loaded its target weights. */
typedef struct completed_engine {
	uint64_t key; /**< See peer_endpoint_key(). */
	uint64_t weights;
	uint64_t announce_until_ms;
} completed_engine_t;

struct gateway_rollout {
	gateway_control_t *control;
	gateway_lease_t *lease;
	uint64_t term; /**< Changes when the lease is acquired or lost. */
	weights_rollout_t engine_states;
	gateway_rollout_log_t *log;
	rollout_action_t *unlogged; /**< Orders that are not logged yet. */
	size_t unlogged_count;
	size_t unlogged_capacity;
	engine_call_t *calls;
	completed_engine_t completed[COMPLETED_MAX];
	size_t completed_count;
	bool stepping;
	rollout_engine_t *engines; /**< Of the current step. */
	size_t capacity;	   /**< Of `engines`. */
	rollout_actions_t actions; /**< Of the current step. */
};

static void step_rollout(gateway_rollout_t *rollout, uint64_t now_ms);

static rollout_log_t *log_state(const gateway_rollout_t *rollout)
{
	return gateway_rollout_log_state(rollout->log);
}

/* Calls to engines. */

static void free_call(engine_call_t *call)
{
	free(call->id);
	free(call->model);
	free(call);
}

static engine_call_t *call_new(gateway_rollout_t *rollout,
			       const endpoint_entry_t *entry, const char *model,
			       uint64_t key)
{
	engine_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->rollout = rollout;
	call->key = key;
	call->term = rollout->term;
	call->id = strdup(entry->id);
	call->model = strdup(model);
	if (!call->id || !call->model) {
		free_call(call);
		return NULL;
	}
	call->next = rollout->calls;
	rollout->calls = call;
	return call;
}

static void end_call(engine_call_t *call)
{
	engine_call_t **link = &call->rollout->calls;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	free_call(call);
}

static void send_engine_call(engine_call_t *call, const endpoint_entry_t *entry,
			     struct evbuffer *message, http_call_fn *done)
{
	gateway_control_t *control = call->rollout->control;
	outbound_target_t target = {
		.address.v4 = entry->address,
		.connections_max = 4,
		.connect_timeout_ms = ENGINE_CONNECT_MS,
		.user_timeout_ms = ENGINE_CALL_MS,
		.reset_on_close = true,
	};

	endpoint_incarnation_key(entry, target.key, sizeof(target.key));
	call->call = http_call_send(control->outbound, control->base, &target,
				    message, HTTP_CALL_ENGINE_MAX_BYTES,
				    ENGINE_CALL_MS, done, call);
	if (!call->call)
		done(call, ERR_CONNECT, 0, "", 0);
}

static void on_report_answer(void *context, int err, uint16_t status,
			     const char *body, size_t len)
{
	engine_call_t *call = context;
	gateway_rollout_t *rollout = call->rollout;
	uint64_t now_ms = clock_now_ms();
	engine_report_t report;
	rollout_report_t parsed = { .result = err };

	if (!err && status != 200)
		parsed.result = ERR_ENDPOINT_ANSWER;
	if (!parsed.result)
		parsed.result =
			platform_read_report(body, len, call->model, &report);
	if (!parsed.result) {
		parsed.busy = report.busy;
		parsed.accepted = report.accepted_orders;
		parsed.weights = report.weights;
	}
	if (call->term == rollout->term && !parsed.result)
		rollout_log_on_report(log_state(rollout), call->key,
				      parsed.accepted, now_ms);
	event_log(EVENT_ENGINE_REPORT,
		  "endpoint=%s result=%s status=%u busy=%d accepted=%llu "
		  "weights=%llu running=%u hold=%d",
		  call->id, error_type(parsed.result), status, parsed.busy,
		  (unsigned long long)parsed.accepted,
		  (unsigned long long)parsed.weights,
		  parsed.result ? 0 : report.running,
		  rollout_log_hold(log_state(rollout), call->key, now_ms));
	if (call->term == rollout->term)
		weights_rollout_on_report(&rollout->engine_states, call->key,
					  &parsed, now_ms);
	end_call(call);
	if (gateway_lease_fencing(rollout->lease, 0))
		step_rollout(rollout, now_ms);
}

static void on_order_answer(void *context, int err, uint16_t status,
			    const char *body, size_t len)
{
	engine_call_t *call = context;
	gateway_rollout_t *rollout = call->rollout;

	(void)body;
	(void)len;
	event_log(err ? EVENT_ENGINE_ORDER_UNKNOWN : EVENT_ENGINE_ORDER_RESULT,
		  "endpoint=%s result=%s status=%u", call->id, error_type(err),
		  status);
	if (call->term == rollout->term) {
		rollout_log_on_answer(log_state(rollout), call->key, !err,
				      clock_now_ms());
		weights_rollout_on_answer(&rollout->engine_states, call->key,
					  err ? 0 : status, clock_now_ms());
	}
	end_call(call);
}

static void request_report(gateway_rollout_t *rollout,
			   const endpoint_entry_t *entry, const char *model,
			   uint64_t key)
{
	engine_call_t *call = call_new(rollout, entry, model, key);
	struct evbuffer *message = evbuffer_new();

	if (call && message) {
		platform_write_report_request(message, entry->id);
		send_engine_call(call, entry, message, on_report_answer);
	} else if (call) {
		on_report_answer(call, ERR_NO_MEMORY, 0, "", 0);
	} else {
		rollout_report_t no_report = { .result = ERR_NO_MEMORY };

		weights_rollout_on_report(&rollout->engine_states, key,
					  &no_report, clock_now_ms());
	}
	if (message)
		evbuffer_free(message);
}

/* An order that is not sent counts as unanswered: the engine's report is
 * requested next. */
static void drop_order(gateway_rollout_t *rollout, uint64_t key)
{
	rollout_log_drop(log_state(rollout), key, clock_now_ms());
	weights_rollout_on_answer(&rollout->engine_states, key, 0,
				  clock_now_ms());
}

static void send_order(gateway_rollout_t *rollout,
		       const endpoint_entry_t *entry, const char *model,
		       const rollout_action_t *action)
{
	uint64_t fencing = gateway_lease_fencing(rollout->lease, 0);
	engine_order_t order = {
		.engine_id = entry->id,
		.model = model,
		.version = action->version,
		.mode = action->runs_left ? WEIGHTS_CONTINUE : WEIGHTS_FINISH,
		.holder = rollout->control->gateway->settings.name,
		.fencing = fencing,
		.expected_orders = action->accepted,
	};
	engine_call_t *call = call_new(rollout, entry, model, action->key);
	struct evbuffer *message = evbuffer_new();

	if (call && message && !platform_write_order(message, &order)) {
		call->is_order = true;
		event_log(EVENT_ENGINE_ORDER,
			  "endpoint=%s model=%s version=%llu fencing=%llu "
			  "accepted=%llu runs_left=%d",
			  entry->id, model, (unsigned long long)action->version,
			  (unsigned long long)fencing,
			  (unsigned long long)action->accepted,
			  action->runs_left);
		metrics_add(METRIC_ENGINE_ORDERS_SENT, 1);
		rollout_log_on_sent(log_state(rollout), action->key,
				    clock_now_ms());
		send_engine_call(call, entry, message, on_order_answer);
	} else {
		if (call)
			end_call(call);
		drop_order(rollout, action->key);
	}
	if (message)
		evbuffer_free(message);
}

static const endpoint_entry_t *find_engine(const gateway_rollout_t *rollout,
					   uint64_t key)
{
	const view_t *view = rollout->control->view_builder.view;

	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_entry_t *entry = &view->endpoints[i];

		if (entry->model_count &&
		    peer_endpoint_key(entry->load->id_hash,
				      entry->load->started_unix_ms) == key)
			return entry;
	}
	return NULL;
}

/* Sends an order once it has been logged, while the lease lasts. */
static void send_logged_order(gateway_rollout_t *rollout,
			      const rollout_action_t *action)
{
	const endpoint_entry_t *entry = find_engine(rollout, action->key);

	if (entry && gateway_lease_fencing(rollout->lease, ORDER_MARGIN_MS))
		send_order(rollout, entry, entry->models[0].model, action);
	else
		drop_order(rollout, action->key);
}

static void on_logged(void *context)
{
	gateway_rollout_t *rollout = context;
	size_t count = rollout->unlogged_count;
	size_t kept = 0;

	for (size_t i = 0; i < count; i++) {
		rollout_action_t action = rollout->unlogged[i];

		if (rollout_log_is_logged(log_state(rollout), action.key))
			send_logged_order(rollout, &action);
		else
			rollout->unlogged[kept++] = action;
	}
	rollout->unlogged_count = kept;
}

static bool reserve_unlogged(gateway_rollout_t *rollout)
{
	size_t capacity = rollout->unlogged_capacity
				  ? 2 * rollout->unlogged_capacity
				  : UNLOGGED_FIRST;
	rollout_action_t *unlogged;

	if (rollout->unlogged_count < rollout->unlogged_capacity)
		return true;
	unlogged = realloc(rollout->unlogged, capacity * sizeof(*unlogged));
	if (!unlogged)
		return false;
	rollout->unlogged = unlogged;
	rollout->unlogged_capacity = capacity;
	return true;
}

static void log_order(gateway_rollout_t *rollout,
		      const rollout_action_t *action)
{
	if (!reserve_unlogged(rollout) ||
	    rollout_log_add(log_state(rollout), action->key, action->accepted,
			    action->counted_ms)) {
		weights_rollout_on_answer(&rollout->engine_states, action->key,
					  0, clock_now_ms());
		return;
	}
	rollout->unlogged[rollout->unlogged_count++] = *action;
}

static void record_completed(gateway_rollout_t *rollout, uint64_t key,
			     uint64_t weights, uint64_t now_ms)
{
	completed_engine_t *completed = NULL;

	for (size_t i = 0; i < rollout->completed_count; i++) {
		if (rollout->completed[i].key == key ||
		    rollout->completed[i].announce_until_ms < now_ms)
			completed = &rollout->completed[i];
	}
	if (!completed && rollout->completed_count < COMPLETED_MAX)
		completed = &rollout->completed[rollout->completed_count++];
	if (completed)
		*completed =
			(completed_engine_t){ key, weights,
					      now_ms + COMPLETED_ANNOUNCE_MS };
}

static bool reserve_engines(gateway_rollout_t *rollout, size_t count)
{
	rollout_engine_t *engines;

	if (count <= rollout->capacity)
		return true;
	engines = realloc(rollout->engines, count * sizeof(*engines));
	if (!engines)
		return false;
	rollout->engines = engines;
	rollout->capacity = count;
	return true;
}

/* Lists the engines of the view whose model has target weights. */
static size_t list_engines(const view_t *view, const rollout_log_t *log,
			   uint64_t now_ms, rollout_engine_t *engines)
{
	size_t count = 0;

	for (size_t i = 0; i < view->endpoint_count; i++) {
		const endpoint_entry_t *entry = &view->endpoints[i];
		const endpoint_load_t *load = entry->load;
		const target_weights_t *target;
		uint64_t current_version;
		rollout_engine_t *engine = &engines[count];

		if (!entry->model_count)
			continue;
		target = view_weights(view, entry->models[0].model);
		if (!target)
			continue;
		count++;
		current_version = endpoint_weights(entry, target->model);
		*engine = (rollout_engine_t){
			.key = peer_endpoint_key(load->id_hash,
						 load->started_unix_ms),
			.index = (uint32_t)i,
			.weights = current_version,
			.outdated_ms = target_weights_outdated_ms(
				target, current_version, now_ms),
			.target_version = target->versions[0],
			.runs = load->own_running + load->peer_running,
			.reachable = !entry->draining && !load->leaving &&
				     now_ms >= load->ejected_until_ms,
		};
		engine->hold = rollout_log_hold(log, engine->key, now_ms);
	}
	return count;
}

static void execute_action(gateway_rollout_t *rollout,
			   const rollout_action_t *action, uint64_t now_ms)
{
	const view_t *view = rollout->control->view_builder.view;
	const endpoint_entry_t *entry = &view->endpoints[action->index];
	const char *model = entry->models[0].model;

	switch (action->kind) {
	case ROLLOUT_ACTION_POLL:
		request_report(rollout, entry, model, action->key);
		break;
	case ROLLOUT_ACTION_DRAIN:
		atomic_store(&entry->load->loading_until_ms,
			     now_ms + ROLLOUT_LOADING_TTL_MS);
		break;
	case ROLLOUT_ACTION_ORDER:
		log_order(rollout, action);
		break;
	case ROLLOUT_ACTION_DONE:
		atomic_store(&entry->load->observed_weights, action->version);
		atomic_store(&entry->load->loading_until_ms, 0);
		record_completed(rollout, action->key, action->version, now_ms);
		metrics_add(METRIC_ENGINE_ORDERS_DONE, 1);
		break;
	}
}

static void extend_loading(gateway_rollout_t *rollout, uint64_t now_ms)
{
	const view_t *view = rollout->control->view_builder.view;

	for (size_t i = 0; i < view->endpoint_count; i++) {
		endpoint_load_t *load = view->endpoints[i].load;

		if (weights_rollout_is_updating(
			    &rollout->engine_states,
			    peer_endpoint_key(load->id_hash,
					      load->started_unix_ms)))
			atomic_store(&load->loading_until_ms,
				     now_ms + ROLLOUT_LOADING_TTL_MS);
	}
}

static void step_rollout(gateway_rollout_t *rollout, uint64_t now_ms)
{
	const view_t *view = rollout->control->view_builder.view;
	const rollout_actions_t *actions = &rollout->actions;
	bool must_announce = false;
	size_t count;

	/* A call that fails at once reports its end within a step. Then, and
	 * without memory, the rollout goes on with the next tick. */
	if (!view || rollout->stepping ||
	    !reserve_engines(rollout, view->endpoint_count))
		return;
	rollout->stepping = true;
	count = list_engines(view, log_state(rollout), now_ms,
			     rollout->engines);
	weights_rollout_step(&rollout->engine_states, rollout->engines, count,
			     now_ms, &rollout->actions);
	for (size_t i = 0; i < actions->count; i++) {
		execute_action(rollout, &actions->items[i], now_ms);
		must_announce |=
			actions->items[i].kind == ROLLOUT_ACTION_DRAIN ||
			actions->items[i].kind == ROLLOUT_ACTION_DONE;
	}
	rollout->stepping = false;
	gateway_rollout_log_step(rollout->log);
	extend_loading(rollout, now_ms);
	if (must_announce)
		gateway_peers_announce(rollout->control->peers);
}

void gateway_rollout_fill_heartbeat(gateway_rollout_t *rollout,
				    peer_heartbeat_t *heartbeat,
				    uint64_t now_ms)
{
	const view_t *view;

	if (!rollout || !heartbeat->fencing)
		return;
	view = rollout->control->view_builder.view;
	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_load_t *load = view->endpoints[i].load;
		uint64_t key =
			peer_endpoint_key(load->id_hash, load->started_unix_ms);

		if (weights_rollout_is_updating(&rollout->engine_states, key) &&
		    heartbeat->weights_count < PEER_WEIGHTS_MAX &&
		    peer_heartbeat_free_bytes(heartbeat) >= PEER_WEIGHTS_BYTES)
			heartbeat->weights[heartbeat->weights_count++] =
				(peer_weights_t){ key, 0,
						  ROLLOUT_LOADING_TTL_MS };
	}
	for (size_t i = 0; i < rollout->completed_count; i++) {
		const completed_engine_t *completed = &rollout->completed[i];

		if (completed->announce_until_ms > now_ms &&
		    !weights_rollout_is_updating(&rollout->engine_states,
						 completed->key) &&
		    heartbeat->weights_count < PEER_WEIGHTS_MAX &&
		    peer_heartbeat_free_bytes(heartbeat) >= PEER_WEIGHTS_BYTES)
			heartbeat->weights[heartbeat->weights_count++] =
				(peer_weights_t){ completed->key,
						  completed->weights, 0 };
	}
}

/* Withdraws the orders that have no answer, as far as their bytes have not left
 * yet; the others may still arrive. */
static void withdraw_orders(gateway_rollout_t *rollout)
{
	engine_call_t *next;

	for (engine_call_t *call = rollout->calls; call; call = next) {
		next = call->next;
		if (!call->is_order)
			continue;
		event_log(EVENT_ENGINE_ORDER_OPEN, "endpoint=%s model=%s",
			  call->id, call->model);
		http_call_cancel(call->call);
		end_call(call);
	}
}

static void on_term_changed(void *context)
{
	gateway_rollout_t *rollout = context;

	withdraw_orders(rollout);
	rollout->term++;
	rollout->unlogged_count = 0;
	weights_rollout_reset(
		&rollout->engine_states,
		(uint32_t)rollout->control->gateway->settings.weights_ms);
	gateway_rollout_log_set_term(rollout->log,
				     gateway_lease_fencing(rollout->lease, 0),
				     gateway_lease_observed_ms(rollout->lease));
}

uint64_t gateway_rollout_fencing(const gateway_rollout_t *rollout)
{
	return rollout ? gateway_lease_fencing(rollout->lease, 0) : 0;
}

void gateway_rollout_tick(gateway_rollout_t *rollout, uint64_t now_ms)
{
	gateway_lease_tick(rollout->lease, now_ms);
	if (gateway_lease_fencing(rollout->lease, 0))
		step_rollout(rollout, now_ms);
}

void gateway_rollout_store_era(gateway_rollout_t *rollout)
{
	gateway_lease_store_era(rollout->lease);
}

void gateway_rollout_release(gateway_rollout_t *rollout)
{
	gateway_lease_release(rollout->lease);
}

gateway_rollout_t *gateway_rollout_open(gateway_control_t *control)
{
	gateway_rollout_t *rollout = calloc(1, sizeof(*rollout));

	if (!rollout)
		return NULL;
	rollout->control = control;
	rollout->log = gateway_rollout_log_open(control, on_logged, rollout);
	if (rollout->log)
		rollout->lease =
			gateway_lease_open(control, on_term_changed, rollout);
	if (rollout->lease)
		return rollout;
	if (rollout->log)
		gateway_rollout_log_close(rollout->log);
	free(rollout);
	return NULL;
}

void gateway_rollout_close(gateway_rollout_t *rollout)
{
	if (!rollout)
		return;
	gateway_lease_close(rollout->lease);
	for (engine_call_t *call = rollout->calls; call;) {
		engine_call_t *next = call->next;

		if (call->call)
			http_call_cancel(call->call);
		free_call(call);
		call = next;
	}
	gateway_rollout_log_close(rollout->log);
	weights_rollout_free(&rollout->engine_states);
	free(rollout->unlogged);
	free(rollout->engines);
	free(rollout);
}
