#include "process/controller.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"

_Static_assert(sizeof(controller_t) <= CONTROLLER_SIZE_BYTES,
	       "controller_t exceeds CONTROLLER_SIZE_BYTES");

/** An order id is the fencing number, then a counter of this many bits. */
#define ORDER_ID_COUNTER_BITS 24
/** Another pool's slot expires after this many times `order_max_ms`. */
#define SLOT_EXPIRY_FACTOR 3

const controller_settings_t controller_default_settings = {
	.order_max_ms = 30000,
	.report_max_age_ms = 5000,
	.engine_retry_ms = 2000,
	.store_retry_ms = 200,
	.slot_retry_ms = 1000,
};

void controller_init(controller_t *controller, const char *pool,
		     const controller_settings_t *settings)
{
	memset(controller, 0, sizeof(*controller));
	controller->settings = settings;
	snprintf(controller->pool, sizeof(controller->pool), "%s", pool);
}

static controller_engine_t *find_engine(controller_t *controller,
					const char *id)
{
	for (size_t i = 0; i < controller->engine_count; i++) {
		if (strcmp(controller->engines[i].id, id) == 0)
			return &controller->engines[i];
	}
	return NULL;
}

static void remove_unconfigured(controller_t *controller)
{
	size_t kept = 0;

	for (size_t i = 0; i < controller->engine_count; i++) {
		if (!controller->engines[i].removed)
			controller->engines[kept++] = controller->engines[i];
	}
	controller->engine_count = kept;
}

int controller_configure(controller_t *controller,
			 const controller_engine_config_t *desired,
			 uint32_t ready_min,
			 const controller_engine_spec_t *specs, size_t count)
{
	if (count > CONTROLLER_ENGINES_MAX)
		return ERR_LIMIT;
	controller->desired = *desired;
	controller->ready_min = ready_min;
	for (size_t i = 0; i < controller->engine_count; i++) {
		controller_engine_t *engine = &controller->engines[i];

		engine->removed = true;
		for (size_t m = 0; m < count && engine->removed; m++)
			engine->removed = strcmp(engine->id, specs[m].id) != 0;
	}
	remove_unconfigured(controller);
	for (size_t m = 0; m < count; m++) {
		controller_engine_t *engine =
			find_engine(controller, specs[m].id);

		if (!engine) {
			engine = &controller
					  ->engines[controller->engine_count++];
			memset(engine, 0, sizeof(*engine));
			snprintf(engine->id, sizeof(engine->id), "%s",
				 specs[m].id);
		}
		engine->checks_fencing = specs[m].checks_fencing;
	}
	return 0;
}

static bool is_load(controller_order_kind_t kind)
{
	return kind != CONTROLLER_SET_ROLE;
}

static int find_open_order(const controller_t *controller, uint64_t order_id)
{
	for (size_t i = 0; i < controller->status.open_count; i++) {
		if (controller->status.open[i].id == order_id)
			return (int)i;
	}
	return -1;
}

static bool has_open_order(const controller_t *controller, const char *engine)
{
	for (size_t i = 0; i < controller->status.open_count; i++) {
		if (strcmp(controller->status.open[i].engine, engine) == 0)
			return true;
	}
	return false;
}

static bool has_fresh_report(const controller_t *controller,
			     const controller_engine_t *engine, uint64_t now_ms)
{
	return engine->reported && engine->polled_ms > engine->report_min_ms &&
	       now_ms - engine->polled_ms <=
		       controller->settings->report_max_age_ms;
}

static bool is_in_service(const controller_t *controller,
			  const controller_engine_t *engine, uint64_t now_ms)
{
	return has_fresh_report(controller, engine, now_ms) &&
	       engine->state.loaded.model[0] &&
	       !has_open_order(controller, engine->id);
}

uint32_t controller_count_in_service(const controller_t *controller,
				     uint64_t now_ms)
{
	uint32_t count = 0;

	for (size_t i = 0; i < controller->engine_count; i++)
		count += is_in_service(controller, &controller->engines[i],
				       now_ms);
	return count;
}

static bool holds_valid_lease(const controller_t *controller, uint64_t now_ms)
{
	return controller->fencing && now_ms < controller->valid_until_ms;
}

/** Clears the state that is valid only while the lease is held. */
static void reset_holder_state(controller_t *controller)
{
	controller->fencing = 0;
	controller->status_known = false;
	controller->status_dirty = false;
	controller->slots_known = false;
	controller->call_kind = CONTROLLER_CALL_NONE;
	controller->pending_load.engine[0] = '\0';
	memset(&controller->status, 0, sizeof(controller->status));
}

static controller_action_t *add_call(controller_t *controller,
				     controller_actions_t *actions,
				     controller_action_kind_t kind,
				     controller_call_t call, uint64_t now_ms)
{
	controller_action_t *action = &actions->items[actions->count++];

	memset(action, 0, sizeof(*action));
	action->kind = kind;
	action->call_id = ++controller->call_id;
	controller->call_kind = call;
	controller->call_issued_ms = now_ms;
	return action;
}

static void write_status(controller_t *controller,
			 controller_actions_t *actions, uint64_t now_ms)
{
	controller_action_t *action =
		add_call(controller, actions, CONTROLLER_ACTION_WRITE_STATUS,
			 CONTROLLER_CALL_WRITE_STATUS, now_ms);

	controller->status.fencing = controller->fencing;
	action->if_version = controller->status_version;
	action->status = controller->status;
}

/** Replaces the known slots; those that remain keep their first-seen time. */
static void set_slots(controller_t *controller, const controller_slots_t *slots,
		      uint64_t now_ms)
{
	controller_slots_t old = controller->slots;
	uint64_t seen_ms[CONTROLLER_LOADS_MAX];

	memcpy(seen_ms, controller->slot_first_seen_ms, sizeof(seen_ms));
	controller->slots = *slots;
	for (size_t i = 0; i < slots->count; i++) {
		const controller_slot_t *slot = &slots->items[i];

		controller->slot_first_seen_ms[i] = now_ms;
		for (size_t j = 0; j < old.count; j++) {
			if (old.items[j].order_id == slot->order_id &&
			    strcmp(old.items[j].pool, slot->pool) == 0)
				controller->slot_first_seen_ms[i] = seen_ms[j];
		}
	}
}

static void write_slots(controller_t *controller, controller_actions_t *actions,
			const controller_slots_t *slots, uint64_t now_ms)
{
	controller_action_t *action =
		add_call(controller, actions, CONTROLLER_ACTION_WRITE_SLOTS,
			 CONTROLLER_CALL_WRITE_SLOTS, now_ms);

	action->if_version = controller->slots_version;
	action->slots = *slots;
	controller->slots_to_write = *slots;
	/* Unknown until the result of the write arrives. */
	controller->slots_known = false;
}

/**
 * Finds the kind of the next order on the way to the desired state.
 * @return false if the engine has reached it
 */
static bool next_order_kind(const controller_engine_config_t *loaded,
			    const controller_engine_config_t *desired,
			    controller_order_kind_t *kind)
{
	if (strcmp(loaded->model, desired->model) != 0 ||
	    strcmp(loaded->version, desired->version) != 0)
		*kind = CONTROLLER_LOAD_MODEL;
	else if (strcmp(loaded->adapter, desired->adapter) != 0)
		*kind = CONTROLLER_LOAD_ADAPTER;
	else if (strcmp(loaded->role, desired->role) != 0)
		*kind = CONTROLLER_SET_ROLE;
	else
		return false;
	return true;
}

static bool may_order(const controller_t *controller,
		      const controller_engine_t *engine, uint32_t in_service,
		      uint64_t now_ms)
{
	uint64_t earlier_orders_end_ms =
		controller->acquired_ms + controller->settings->order_max_ms;

	if (!has_fresh_report(controller, engine, now_ms) ||
	    now_ms < engine->not_before_ms ||
	    has_open_order(controller, engine->id))
		return false;
	/* It may still execute orders of an earlier holder. */
	if (!engine->checks_fencing && now_ms < earlier_orders_end_ms)
		return false;
	if (!engine->state.loaded.model[0])
		return true;
	return in_service > controller->ready_min;
}

/** Picks the next engine order; engines with no model loaded come first. */
static bool plan_order(const controller_t *controller, bool loads_allowed,
		       uint64_t now_ms, controller_order_t *order)
{
	uint32_t in_service = controller_count_in_service(controller, now_ms);
	bool found = false;

	for (size_t i = 0; i < controller->engine_count; i++) {
		const controller_engine_t *engine = &controller->engines[i];
		controller_order_kind_t kind;
		bool empty = !engine->state.loaded.model[0];

		if ((found && !empty) ||
		    !next_order_kind(&engine->state.loaded,
				     &controller->desired, &kind) ||
		    (is_load(kind) && !loads_allowed) ||
		    !may_order(controller, engine, in_service, now_ms))
			continue;
		memset(order, 0, sizeof(*order));
		order->kind = kind;
		order->target = controller->desired;
		memcpy(order->engine, engine->id, sizeof(order->engine));
		found = true;
		if (empty)
			break;
	}
	return found;
}

/** Adds an order to the status. It is issued after the status is written. */
static void add_open_order(controller_t *controller, controller_order_t *order,
			   uint64_t issue_deadline_ms)
{
	size_t i = controller->status.open_count++;

	controller->status.open[i] = *order;
	memset(&controller->progress[i], 0, sizeof(controller->progress[i]));
	controller->progress[i].issue_deadline_ms = issue_deadline_ms;
	controller->status_dirty = true;
}

static uint64_t new_order_id(controller_t *controller)
{
	controller->status.next_id = ++controller->next_id;
	return controller->fencing << ORDER_ID_COUNTER_BITS |
	       controller->next_id;
}

/**
 * Whether a slot of this pool is still needed. An order that was never written
 * to the status was never issued. Nor can it be issued later: once this holder
 * has written the status, a write by an earlier holder fails.
 */
static bool slot_is_needed(const controller_t *controller, uint64_t order_id)
{
	return find_open_order(controller, order_id) >= 0 ||
	       (controller->pending_load.engine[0] &&
		controller->pending_load.id == order_id);
}

static bool is_own_slot(const controller_t *controller,
			const controller_slot_t *slot)
{
	return strcmp(slot->pool, controller->pool) == 0;
}

/** Returns the slots without those that no order needs any more. */
static controller_slots_t used_slots(const controller_t *controller,
				     uint64_t now_ms)
{
	uint64_t expiry_ms = (uint64_t)controller->settings->order_max_ms *
			     SLOT_EXPIRY_FACTOR;
	controller_slots_t used = { 0 };

	for (size_t i = 0; i < controller->slots.count; i++) {
		const controller_slot_t *slot = &controller->slots.items[i];
		bool needed =
			is_own_slot(controller, slot)
				? slot_is_needed(controller, slot->order_id)
				: now_ms - controller->slot_first_seen_ms[i] <
					  expiry_ms;

		if (needed)
			used.items[used.count++] = *slot;
	}
	return used;
}

static bool has_slot(const controller_slots_t *slots, const char *pool,
		     uint64_t order_id)
{
	for (size_t i = 0; i < slots->count; i++) {
		if (slots->items[i].order_id == order_id &&
		    strcmp(slots->items[i].pool, pool) == 0)
			return true;
	}
	return false;
}

static void add_slot(controller_t *controller, controller_slots_t *used,
		     uint64_t now_ms)
{
	controller_slot_t *slot = &used->items[used->count++];

	memcpy(slot->pool, controller->pool, sizeof(slot->pool));
	slot->order_id = controller->pending_load.id;
	/*
	 * Holders of other pools expire the slot by its age, which they count
	 * from this first write at the earliest. The order's issue deadline
	 * therefore counts from it too.
	 */
	if (!controller->slot_requested_ms)
		controller->slot_requested_ms = now_ms;
}

/** Adds the pending load, whose slot is in the store, to the status. */
static void open_pending_load(controller_t *controller)
{
	add_open_order(controller, &controller->pending_load,
		       controller->slot_requested_ms +
			       controller->settings->order_max_ms);
	controller->pending_load.engine[0] = '\0';
}

static bool slots_need_update(const controller_t *controller)
{
	if (controller->pending_load.engine[0])
		return true;
	for (size_t i = 0; i < controller->slots.count; i++) {
		const controller_slot_t *slot = &controller->slots.items[i];

		if (is_own_slot(controller, slot) &&
		    !slot_is_needed(controller, slot->order_id))
			return true;
	}
	return false;
}

/**
 * Takes a slot for the pending load and frees unneeded ones.
 * @return false if there was nothing to do
 */
static bool update_slots(controller_t *controller,
			 controller_actions_t *actions, uint64_t now_ms)
{
	controller_slots_t used;
	bool take;

	if (!slots_need_update(controller) && controller->slots_known)
		return false;
	if (!controller->slots_known) {
		add_call(controller, actions, CONTROLLER_ACTION_READ_SLOTS,
			 CONTROLLER_CALL_READ_SLOTS, now_ms);
		return true;
	}
	used = used_slots(controller, now_ms);
	take = controller->pending_load.engine[0] &&
	       used.count < CONTROLLER_LOADS_MAX;
	if (!take && used.count == controller->slots.count) {
		/* All slots are taken: read them again later. */
		controller->pending_load.engine[0] = '\0';
		controller->slots_known = false;
		controller->store_not_before_ms =
			now_ms + controller->settings->slot_retry_ms;
		return true;
	}
	if (take)
		add_slot(controller, &used, now_ms);
	write_slots(controller, actions, &used, now_ms);
	return true;
}

/**
 * Resolves an order whose maximum duration has passed. The engine's state
 * counts only from a new report on.
 */
static void expire_order(controller_t *controller, size_t i, uint64_t now_ms)
{
	controller_engine_t *engine =
		find_engine(controller, controller->status.open[i].engine);

	controller->progress[i].resolved = true;
	if (engine)
		engine->report_min_ms = now_ms;
}

/** Removes orders that neither run nor will run from the status. */
static void remove_resolved_orders(controller_t *controller, uint64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_order_progress_t *progress =
			&controller->progress[i];

		if (progress->expires_ms && now_ms >= progress->expires_ms &&
		    !progress->resolved)
			expire_order(controller, i, now_ms);
		if (!progress->issued && progress->issue_deadline_ms &&
		    now_ms >= progress->issue_deadline_ms)
			progress->resolved = true;
		if (progress->resolved) {
			controller->status_dirty = true;
			continue;
		}
		controller->status.open[kept] = controller->status.open[i];
		controller->progress[kept++] = *progress;
	}
	controller->status.open_count = kept;
}

static void plan_next_order(controller_t *controller, uint64_t now_ms)
{
	controller_order_t order;
	bool loads_allowed = !controller->pending_load.engine[0];
	size_t planned = controller->status.open_count +
			 (controller->pending_load.engine[0] != '\0');

	if (planned >= CONTROLLER_OPEN_ORDERS_MAX ||
	    !plan_order(controller, loads_allowed, now_ms, &order))
		return;
	if (controller->pending_load.engine[0] &&
	    strcmp(controller->pending_load.engine, order.engine) == 0)
		return;
	order.id = new_order_id(controller);
	if (is_load(order.kind)) {
		controller->pending_load = order;
		controller->slot_requested_ms = 0;
	} else {
		add_open_order(controller, &order,
			       now_ms + controller->settings->order_max_ms);
	}
}

/** Cancels the pending load if its engine or target changed meanwhile. */
static void cancel_stale_load(controller_t *controller, uint64_t now_ms)
{
	controller_engine_t *engine;
	controller_order_kind_t kind;

	if (!controller->pending_load.engine[0])
		return;
	engine = find_engine(controller, controller->pending_load.engine);
	if (!engine ||
	    !may_order(controller, engine,
		       controller_count_in_service(controller, now_ms),
		       now_ms) ||
	    !next_order_kind(&engine->state.loaded, &controller->desired,
			     &kind) ||
	    kind != controller->pending_load.kind)
		controller->pending_load.engine[0] = '\0';
}

/** Plans the next order and starts the next store call, if none is open. */
static void start_next_call(controller_t *controller, uint64_t now_ms,
			    controller_actions_t *actions)
{
	if (!holds_valid_lease(controller, now_ms) ||
	    controller->call_kind != CONTROLLER_CALL_NONE ||
	    now_ms < controller->store_not_before_ms)
		return;
	if (!controller->status_known) {
		add_call(controller, actions, CONTROLLER_ACTION_READ_STATUS,
			 CONTROLLER_CALL_READ_STATUS, now_ms);
		return;
	}
	remove_resolved_orders(controller, now_ms);
	cancel_stale_load(controller, now_ms);
	plan_next_order(controller, now_ms);
	if (controller->status_dirty) {
		write_status(controller, actions, now_ms);
		return;
	}
	update_slots(controller, actions, now_ms);
}

/**
 * Whether an order may still be issued. Since it was planned, an earlier order
 * to its engine may have ended, and other engines may have failed; its own
 * engine already counts as out of service.
 */
static bool may_issue(controller_t *controller, size_t i, uint64_t now_ms)
{
	const controller_order_t *order = &controller->status.open[i];
	const controller_engine_t *engine =
		find_engine(controller, order->engine);
	controller_order_kind_t kind;

	if (!engine || now_ms >= controller->progress[i].issue_deadline_ms ||
	    !has_fresh_report(controller, engine, now_ms) ||
	    !next_order_kind(&engine->state.loaded, &order->target, &kind) ||
	    kind != order->kind)
		return false;
	return !engine->state.loaded.model[0] ||
	       controller_count_in_service(controller, now_ms) >=
		       controller->ready_min;
}

/** Issues the orders that the status in the store contains. */
static void issue_recorded_orders(controller_t *controller, uint64_t now_ms,
				  controller_actions_t *actions)
{
	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_order_progress_t *progress =
			&controller->progress[i];
		controller_action_t *action;

		if (progress->issued || progress->resolved)
			continue;
		if (actions->count >= CONTROLLER_ACTIONS_MAX - 1)
			return;
		if (!may_issue(controller, i, now_ms)) {
			progress->resolved = true;
			continue;
		}
		progress->issued = true;
		progress->expires_ms =
			now_ms + controller->settings->order_max_ms;
		action = &actions->items[actions->count++];
		memset(action, 0, sizeof(*action));
		action->kind = CONTROLLER_ACTION_ISSUE;
		action->issue.order = controller->status.open[i];
		action->issue.fencing = controller->fencing;
	}
}

/**
 * Marks the orders of a status just read as issued: their outcome is unknown,
 * and they may still be running.
 */
static void adopt_open_orders(controller_t *controller, uint64_t now_ms)
{
	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_order_progress_t *progress =
			&controller->progress[i];

		memset(progress, 0, sizeof(*progress));
		progress->issued = true;
		progress->expires_ms =
			now_ms + controller->settings->order_max_ms;
	}
}

static void delay_store_retry(controller_t *controller, uint64_t now_ms)
{
	controller->store_not_before_ms =
		now_ms + controller->settings->store_retry_ms;
}

static void on_status_read(controller_t *controller,
			   const controller_event_t *event, uint64_t now_ms)
{
	int result = event->status.result;

	if (result != 0 && result != ERR_NOT_FOUND) {
		delay_store_retry(controller, now_ms);
		return;
	}
	memset(&controller->status, 0, sizeof(controller->status));
	controller->status_version = 0;
	if (result == 0) {
		controller->status = *event->status.value;
		controller->status_version = event->status.version;
	}
	if (controller->status.fencing > controller->fencing) {
		reset_holder_state(controller);
		return;
	}
	if (controller->next_id < controller->status.next_id)
		controller->next_id = controller->status.next_id;
	adopt_open_orders(controller, now_ms);
	/* Write it under our own fencing number before anything else. */
	controller->status_known = true;
	controller->status_dirty = true;
	controller->slots_known = false;
}

static void on_status_written(controller_t *controller,
			      const controller_event_t *event, uint64_t now_ms,
			      controller_actions_t *actions)
{
	if (event->status.result == 0) {
		controller->status_version = event->status.version;
		controller->status_dirty = false;
		if (holds_valid_lease(controller, now_ms))
			issue_recorded_orders(controller, now_ms, actions);
		return;
	}
	delay_store_retry(controller, now_ms);
	if (event->status.result == ERR_STORE_DOWN ||
	    event->status.result == ERR_STORE_BUDGET)
		return;
	/*
	 * The write may have taken effect. After a new read, our own open
	 * orders are treated like an earlier holder's: as issued. This is
	 * safe for those that were not.
	 */
	controller->status_known = false;
	controller->pending_load.engine[0] = '\0';
}

static void on_slots_read(controller_t *controller,
			  const controller_event_t *event, uint64_t now_ms)
{
	static const controller_slots_t empty;
	int result = event->slots.result;

	if (result != 0 && result != ERR_NOT_FOUND) {
		delay_store_retry(controller, now_ms);
		return;
	}
	controller->slots_version = result == 0 ? event->slots.version : 0;
	set_slots(controller, result == 0 ? event->slots.value : &empty,
		  now_ms);
	controller->slots_known = true;
	if (controller->pending_load.engine[0] &&
	    has_slot(&controller->slots, controller->pool,
		     controller->pending_load.id))
		open_pending_load(controller);
}

static void on_slots_written(controller_t *controller,
			     const controller_event_t *event, uint64_t now_ms)
{
	if (event->slots.result != 0) {
		delay_store_retry(controller, now_ms);
		/*
		 * Read the slots again only if the write may have taken
		 * effect. If it did not, a read is not needed, and with a store
		 * budget of one call at a time it would use up what the retried
		 * write needs, in every round.
		 */
		controller->slots_known =
			event->slots.result == ERR_STORE_DOWN ||
			event->slots.result == ERR_STORE_BUDGET;
		return;
	}
	set_slots(controller, &controller->slots_to_write, now_ms);
	controller->slots_version = event->slots.version;
	controller->slots_known = true;
	if (controller->pending_load.engine[0] &&
	    has_slot(&controller->slots, controller->pool,
		     controller->pending_load.id))
		open_pending_load(controller);
}

static void on_report(controller_t *controller, const controller_event_t *event)
{
	controller_engine_t *engine =
		find_engine(controller, event->report.engine);

	if (!engine ||
	    (engine->reported && event->report.polled_ms < engine->polled_ms))
		return;
	engine->reported = true;
	engine->polled_ms = event->report.polled_ms;
	engine->state = event->report.state;
	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_order_t *order = &controller->status.open[i];

		if (strcmp(order->engine, engine->id) == 0 &&
		    order->id == engine->state.last_order_id)
			controller->progress[i].resolved = true;
	}
}

static void on_result(controller_t *controller, const controller_event_t *event,
		      uint64_t now_ms)
{
	int i = find_open_order(controller, event->result.order_id);
	controller_engine_t *engine =
		find_engine(controller, event->result.engine);

	/* Also for an order that was taken for ended and is not listed. */
	if (engine) {
		/* Only a report requested after the result confirms it. */
		engine->report_min_ms = now_ms;
		if (event->result.result != CONTROLLER_RESULT_DONE)
			engine->not_before_ms =
				now_ms + controller->settings->engine_retry_ms;
	}
	if (i >= 0 && event->result.result != CONTROLLER_RESULT_UNKNOWN)
		controller->progress[i].resolved = true;
}

static void on_lease(controller_t *controller, const controller_event_t *event,
		     uint64_t now_ms)
{
	if (controller->fencing != event->lease.fencing) {
		reset_holder_state(controller);
		controller->fencing = event->lease.fencing;
		controller->acquired_ms = now_ms;
		controller->store_not_before_ms = 0;
	}
	controller->valid_until_ms = event->lease.valid_until_ms;
}

static void on_store_result(controller_t *controller,
			    const controller_event_t *event, uint64_t now_ms,
			    controller_actions_t *actions)
{
	controller_call_t kind = controller->call_kind;

	if (event->call_id != controller->call_id)
		return;
	controller->call_kind = CONTROLLER_CALL_NONE;
	switch (kind) {
	case CONTROLLER_CALL_READ_STATUS:
		on_status_read(controller, event, now_ms);
		return;
	case CONTROLLER_CALL_WRITE_STATUS:
		on_status_written(controller, event, now_ms, actions);
		return;
	case CONTROLLER_CALL_READ_SLOTS:
		on_slots_read(controller, event, now_ms);
		return;
	case CONTROLLER_CALL_WRITE_SLOTS:
		on_slots_written(controller, event, now_ms);
		return;
	case CONTROLLER_CALL_NONE:
		return;
	}
}

void controller_step(controller_t *controller, const controller_event_t *event,
		     uint64_t now_ms, controller_actions_t *actions)
{
	actions->count = 0;
	switch (event->kind) {
	case CONTROLLER_EVENT_TICK:
		break;
	case CONTROLLER_EVENT_LEASE:
		on_lease(controller, event, now_ms);
		break;
	case CONTROLLER_EVENT_LEASE_LOST:
		reset_holder_state(controller);
		break;
	case CONTROLLER_EVENT_REPORT:
		on_report(controller, event);
		break;
	case CONTROLLER_EVENT_RESULT:
		on_result(controller, event, now_ms);
		break;
	case CONTROLLER_EVENT_STATUS:
	case CONTROLLER_EVENT_SLOTS:
		on_store_result(controller, event, now_ms, actions);
		break;
	}
	start_next_call(controller, now_ms, actions);
}
