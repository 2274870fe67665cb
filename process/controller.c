#include "process/controller.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"

_Static_assert(sizeof(controller_t) <= CONTROLLER_SIZE_BYTES,
	       "controller_t has grown");

/** Order ids are the fencing number followed by a counter of this width. */
#define ORDER_ID_COUNTER_BITS 24
/** Another pool's slot is freed after this many times the longest order. */
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

static void remove_vanished(controller_t *controller)
{
	size_t kept = 0;

	for (size_t i = 0; i < controller->engine_count; i++) {
		if (!controller->engines[i].vanished)
			controller->engines[kept++] = controller->engines[i];
	}
	controller->engine_count = kept;
}

int controller_configure(controller_t *controller,
			 const controller_target_t *desired, uint32_t ready_min,
			 const controller_member_t *members, size_t count)
{
	if (count > CONTROLLER_ENGINES_MAX)
		return ERR_LIMIT;
	controller->desired = *desired;
	controller->ready_min = ready_min;
	for (size_t i = 0; i < controller->engine_count; i++) {
		controller_engine_t *engine = &controller->engines[i];

		engine->vanished = true;
		for (size_t m = 0; m < count && engine->vanished; m++)
			engine->vanished =
				strcmp(engine->id, members[m].id) != 0;
	}
	remove_vanished(controller);
	for (size_t m = 0; m < count; m++) {
		controller_engine_t *engine =
			find_engine(controller, members[m].id);

		if (!engine) {
			engine = &controller
					  ->engines[controller->engine_count++];
			memset(engine, 0, sizeof(*engine));
			snprintf(engine->id, sizeof(engine->id), "%s",
				 members[m].id);
		}
		engine->checks_fencing = members[m].checks_fencing;
	}
	return 0;
}

static bool is_load(controller_order_kind_t kind)
{
	return kind != CONTROLLER_SET_ROLE;
}

static int find_open(const controller_t *controller, uint64_t order_id)
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

static bool is_current(const controller_t *controller,
		       const controller_engine_t *engine, uint64_t now_ms)
{
	return engine->reported &&
	       engine->asked_ms >= engine->report_after_ms &&
	       now_ms - engine->asked_ms <=
		       controller->settings->report_max_age_ms;
}

static bool is_in_service(const controller_t *controller,
			  const controller_engine_t *engine, uint64_t now_ms)
{
	return is_current(controller, engine, now_ms) &&
	       engine->state.holds.model[0] &&
	       !has_open_order(controller, engine->id);
}

uint32_t controller_in_service(const controller_t *controller, uint64_t now_ms)
{
	uint32_t count = 0;

	for (size_t i = 0; i < controller->engine_count; i++)
		count += is_in_service(controller, &controller->engines[i],
				       now_ms);
	return count;
}

static bool is_valid(const controller_t *controller, uint64_t now_ms)
{
	return controller->fencing && now_ms < controller->valid_until_ms;
}

/** Forgets everything that only a holder may rely on. */
static void stop_holding(controller_t *controller)
{
	controller->fencing = 0;
	controller->status_known = false;
	controller->status_dirty = false;
	controller->slots_known = false;
	controller->call_kind = CONTROLLER_CALL_NONE;
	controller->wanted.engine[0] = '\0';
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
	action->call = ++controller->call;
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

/** Replaces the known slots; those that stay keep when they were seen. */
static void set_slots(controller_t *controller, const controller_slots_t *slots,
		      uint64_t now_ms)
{
	controller_slots_t old = controller->slots;
	uint64_t seen_ms[CONTROLLER_LOADS_MAX];

	memcpy(seen_ms, controller->slot_seen_ms, sizeof(seen_ms));
	controller->slots = *slots;
	for (size_t i = 0; i < slots->count; i++) {
		const controller_slot_t *slot = &slots->items[i];

		controller->slot_seen_ms[i] = now_ms;
		for (size_t j = 0; j < old.count; j++) {
			if (old.items[j].order_id == slot->order_id &&
			    strcmp(old.items[j].pool, slot->pool) == 0)
				controller->slot_seen_ms[i] = seen_ms[j];
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
	controller->slots_written = *slots;
	/* Until the answer says that it was written. */
	controller->slots_known = false;
}

/** Kind of the next order that brings an engine nearer to the target. */
static bool next_kind(const controller_target_t *holds,
		      const controller_target_t *desired,
		      controller_order_kind_t *kind)
{
	if (strcmp(holds->model, desired->model) != 0 ||
	    strcmp(holds->version, desired->version) != 0)
		*kind = CONTROLLER_LOAD_MODEL;
	else if (strcmp(holds->adapter, desired->adapter) != 0)
		*kind = CONTROLLER_LOAD_ADAPTER;
	else if (strcmp(holds->role, desired->role) != 0)
		*kind = CONTROLLER_SET_ROLE;
	else
		return false;
	return true;
}

static bool may_order(const controller_t *controller,
		      const controller_engine_t *engine, uint32_t in_service,
		      uint64_t now_ms)
{
	uint64_t wait_out_ms =
		controller->acquired_ms + controller->settings->order_max_ms;

	if (!is_current(controller, engine, now_ms) ||
	    now_ms < engine->not_before_ms ||
	    has_open_order(controller, engine->id))
		return false;
	/* Orders of an earlier holder may still reach this engine. */
	if (!engine->checks_fencing && now_ms < wait_out_ms)
		return false;
	if (!engine->state.holds.model[0])
		return true;
	return in_service > controller->ready_min;
}

/** Picks the next engine order: engines out of service first. */
static bool plan(const controller_t *controller, bool loads_allowed,
		 uint64_t now_ms, controller_order_t *order)
{
	uint32_t in_service = controller_in_service(controller, now_ms);
	bool found = false;

	for (size_t i = 0; i < controller->engine_count; i++) {
		const controller_engine_t *engine = &controller->engines[i];
		controller_order_kind_t kind;
		bool empty = !engine->state.holds.model[0];

		if ((found && !empty) ||
		    !next_kind(&engine->state.holds, &controller->desired,
			       &kind) ||
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

/** Takes an order into the status; it is issued once that is written. */
static void open_order(controller_t *controller, controller_order_t *order,
		       uint64_t issue_by_ms)
{
	size_t i = controller->status.open_count++;

	controller->status.open[i] = *order;
	memset(&controller->open[i], 0, sizeof(controller->open[i]));
	controller->open[i].issue_by_ms = issue_by_ms;
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
 * to the status was never issued, and cannot be once our status is written.
 */
static bool needs_slot(const controller_t *controller, uint64_t order_id)
{
	return find_open(controller, order_id) >= 0 ||
	       (controller->wanted.engine[0] &&
		controller->wanted.id == order_id);
}

static bool is_ours(const controller_t *controller,
		    const controller_slot_t *slot)
{
	return strcmp(slot->pool, controller->pool) == 0;
}

/** Slots without those that no order uses any more. */
static controller_slots_t used_slots(const controller_t *controller,
				     uint64_t now_ms)
{
	uint64_t expiry_ms = (uint64_t)controller->settings->order_max_ms *
			     SLOT_EXPIRY_FACTOR;
	controller_slots_t used = { 0 };

	for (size_t i = 0; i < controller->slots.count; i++) {
		const controller_slot_t *slot = &controller->slots.items[i];
		bool needed = is_ours(controller, slot)
				      ? needs_slot(controller, slot->order_id)
				      : now_ms - controller->slot_seen_ms[i] <
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

static void take_slot(controller_t *controller, controller_slots_t *used,
		      uint64_t now_ms)
{
	controller_slot_t *slot = &used->items[used->count++];

	memcpy(slot->pool, controller->pool, sizeof(slot->pool));
	slot->order_id = controller->wanted.id;
	/* Others count the slot's age from its first write at the earliest. */
	if (!controller->wanted_slot_ms)
		controller->wanted_slot_ms = now_ms;
}

/** The wanted load's slot is in the store: record the order next. */
static void use_slot(controller_t *controller)
{
	open_order(controller, &controller->wanted,
		   controller->wanted_slot_ms +
			   controller->settings->order_max_ms);
	controller->wanted.engine[0] = '\0';
}

static bool slots_are_needed(const controller_t *controller)
{
	if (controller->wanted.engine[0])
		return true;
	for (size_t i = 0; i < controller->slots.count; i++) {
		const controller_slot_t *slot = &controller->slots.items[i];

		if (is_ours(controller, slot) &&
		    !needs_slot(controller, slot->order_id))
			return true;
	}
	return false;
}

/** Takes or frees slots; true if a store call was started. */
static bool update_slots(controller_t *controller,
			 controller_actions_t *actions, uint64_t now_ms)
{
	controller_slots_t used;
	bool take;

	if (!slots_are_needed(controller) && controller->slots_known)
		return false;
	if (!controller->slots_known) {
		add_call(controller, actions, CONTROLLER_ACTION_READ_SLOTS,
			 CONTROLLER_CALL_READ_SLOTS, now_ms);
		return true;
	}
	used = used_slots(controller, now_ms);
	take = controller->wanted.engine[0] &&
	       used.count < CONTROLLER_LOADS_MAX;
	if (!take && used.count == controller->slots.count) {
		/* All slots are taken: look again later. */
		controller->wanted.engine[0] = '\0';
		controller->slots_known = false;
		controller->store_after_ms =
			now_ms + controller->settings->slot_retry_ms;
		return true;
	}
	if (take)
		take_slot(controller, &used, now_ms);
	write_slots(controller, actions, &used, now_ms);
	return true;
}

/** The longest duration has passed: verify what the engine holds. */
static void expire(controller_t *controller, size_t i, uint64_t now_ms)
{
	controller_engine_t *engine =
		find_engine(controller, controller->status.open[i].engine);

	controller->open[i].resolved = true;
	if (engine)
		engine->report_after_ms = now_ms;
}

/** Removes orders that no longer run from the status. */
static void drop_resolved(controller_t *controller, uint64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_open_t *open = &controller->open[i];

		if (open->expires_ms && now_ms >= open->expires_ms &&
		    !open->resolved)
			expire(controller, i, now_ms);
		if (!open->issued && open->issue_by_ms &&
		    now_ms >= open->issue_by_ms)
			open->resolved = true;
		if (open->resolved) {
			controller->status_dirty = true;
			continue;
		}
		controller->status.open[kept] = controller->status.open[i];
		controller->open[kept++] = *open;
	}
	controller->status.open_count = kept;
}

static void plan_next(controller_t *controller, uint64_t now_ms)
{
	controller_order_t order;
	bool loads_allowed = !controller->wanted.engine[0];
	size_t planned = controller->status.open_count +
			 (controller->wanted.engine[0] != '\0');

	if (planned >= CONTROLLER_OPEN_MAX ||
	    !plan(controller, loads_allowed, now_ms, &order))
		return;
	if (controller->wanted.engine[0] &&
	    strcmp(controller->wanted.engine, order.engine) == 0)
		return;
	order.id = new_order_id(controller);
	if (is_load(order.kind)) {
		controller->wanted = order;
		controller->wanted_slot_ms = 0;
	} else {
		open_order(controller, &order,
			   now_ms + controller->settings->order_max_ms);
	}
}

/** A wanted load whose engine or target changed is not ordered. */
static void check_wanted(controller_t *controller, uint64_t now_ms)
{
	controller_engine_t *engine;
	controller_order_kind_t kind;

	if (!controller->wanted.engine[0])
		return;
	engine = find_engine(controller, controller->wanted.engine);
	if (!engine ||
	    !may_order(controller, engine,
		       controller_in_service(controller, now_ms), now_ms) ||
	    !next_kind(&engine->state.holds, &controller->desired, &kind) ||
	    kind != controller->wanted.kind)
		controller->wanted.engine[0] = '\0';
}

/** Starts the next store call if none is under way. */
static void advance(controller_t *controller, uint64_t now_ms,
		    controller_actions_t *actions)
{
	if (!is_valid(controller, now_ms) ||
	    controller->call_kind != CONTROLLER_CALL_NONE ||
	    now_ms < controller->store_after_ms)
		return;
	if (!controller->status_known) {
		add_call(controller, actions, CONTROLLER_ACTION_READ_STATUS,
			 CONTROLLER_CALL_READ_STATUS, now_ms);
		return;
	}
	drop_resolved(controller, now_ms);
	check_wanted(controller, now_ms);
	plan_next(controller, now_ms);
	if (controller->status_dirty) {
		write_status(controller, actions, now_ms);
		return;
	}
	update_slots(controller, actions, now_ms);
}

/**
 * Whether an order may still be issued. Its engine already counts as out of
 * service; others may have failed since it was planned.
 */
static bool may_issue(controller_t *controller, size_t i, uint64_t now_ms)
{
	const controller_engine_t *engine =
		find_engine(controller, controller->status.open[i].engine);

	if (!engine || now_ms >= controller->open[i].issue_by_ms)
		return false;
	return !engine->state.holds.model[0] ||
	       controller_in_service(controller, now_ms) >=
		       controller->ready_min;
}

/** Issues the orders that stand in the written status. */
static void issue_written(controller_t *controller, uint64_t now_ms,
			  controller_actions_t *actions)
{
	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_open_t *open = &controller->open[i];
		controller_action_t *action;

		if (open->issued || open->resolved)
			continue;
		if (actions->count >= CONTROLLER_ACTIONS_MAX - 1)
			return;
		if (!may_issue(controller, i, now_ms)) {
			open->resolved = true;
			continue;
		}
		open->issued = true;
		open->expires_ms = now_ms + controller->settings->order_max_ms;
		action = &actions->items[actions->count++];
		memset(action, 0, sizeof(*action));
		action->kind = CONTROLLER_ACTION_ISSUE;
		action->issue.order = controller->status.open[i];
		action->issue.fencing = controller->fencing;
	}
}

/** The outcome of inherited orders is unknown: they may run even now. */
static void inherit(controller_t *controller, uint64_t now_ms)
{
	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_open_t *open = &controller->open[i];

		memset(open, 0, sizeof(*open));
		open->issued = true;
		open->expires_ms = now_ms + controller->settings->order_max_ms;
	}
}

static void after_store_failure(controller_t *controller, uint64_t now_ms)
{
	controller->store_after_ms =
		now_ms + controller->settings->store_retry_ms;
}

static void status_was_read(controller_t *controller,
			    const controller_event_t *event, uint64_t now_ms)
{
	int result = event->status.result;

	if (result != 0 && result != ERR_NOT_FOUND) {
		after_store_failure(controller, now_ms);
		return;
	}
	memset(&controller->status, 0, sizeof(controller->status));
	controller->status_version = 0;
	if (result == 0) {
		controller->status = *event->status.value;
		controller->status_version = event->status.version;
	}
	if (controller->status.fencing > controller->fencing) {
		stop_holding(controller);
		return;
	}
	if (controller->next_id < controller->status.next_id)
		controller->next_id = controller->status.next_id;
	inherit(controller, now_ms);
	/* Written under our number before anything else is done. */
	controller->status_known = true;
	controller->status_dirty = true;
	controller->slots_known = false;
}

static void status_was_written(controller_t *controller,
			       const controller_event_t *event, uint64_t now_ms,
			       controller_actions_t *actions)
{
	if (event->status.result == 0) {
		controller->status_version = event->status.version;
		controller->status_dirty = false;
		if (is_valid(controller, now_ms))
			issue_written(controller, now_ms, actions);
		return;
	}
	after_store_failure(controller, now_ms);
	if (event->status.result == ERR_STORE_DOWN ||
	    event->status.result == ERR_STORE_BUDGET)
		return;
	/*
	 * The write may have taken effect. Reading it again treats our own
	 * open orders as inherited, which is safe for those never issued.
	 */
	controller->status_known = false;
	controller->wanted.engine[0] = '\0';
}

static void slots_were_read(controller_t *controller,
			    const controller_event_t *event, uint64_t now_ms)
{
	static const controller_slots_t empty;
	int result = event->slots.result;

	if (result != 0 && result != ERR_NOT_FOUND) {
		after_store_failure(controller, now_ms);
		return;
	}
	controller->slots_version = result == 0 ? event->slots.version : 0;
	set_slots(controller, result == 0 ? event->slots.value : &empty,
		  now_ms);
	controller->slots_known = true;
	if (controller->wanted.engine[0] &&
	    has_slot(&controller->slots, controller->pool,
		     controller->wanted.id))
		use_slot(controller);
}

static void slots_were_written(controller_t *controller,
			       const controller_event_t *event, uint64_t now_ms)
{
	if (event->slots.result != 0) {
		after_store_failure(controller, now_ms);
		/*
		 * Read again if the write may have taken effect. Otherwise the
		 * slots are as they were: with a budget for one call at a time
		 * a read would use what the next write needs, for ever.
		 */
		controller->slots_known =
			event->slots.result == ERR_STORE_DOWN ||
			event->slots.result == ERR_STORE_BUDGET;
		return;
	}
	set_slots(controller, &controller->slots_written, now_ms);
	controller->slots_version = event->slots.version;
	controller->slots_known = true;
	if (controller->wanted.engine[0] &&
	    has_slot(&controller->slots, controller->pool,
		     controller->wanted.id))
		use_slot(controller);
}

static void on_report(controller_t *controller, const controller_event_t *event)
{
	controller_engine_t *engine =
		find_engine(controller, event->report.engine);

	if (!engine ||
	    (engine->reported && event->report.asked_ms < engine->asked_ms))
		return;
	engine->reported = true;
	engine->asked_ms = event->report.asked_ms;
	engine->state = event->report.state;
	for (size_t i = 0; i < controller->status.open_count; i++) {
		controller_order_t *order = &controller->status.open[i];

		if (strcmp(order->engine, engine->id) == 0 &&
		    order->id == engine->state.last_order_id)
			controller->open[i].resolved = true;
	}
}

static void on_result(controller_t *controller, const controller_event_t *event,
		      uint64_t now_ms)
{
	int i = find_open(controller, event->result.order_id);
	controller_engine_t *engine;

	if (i < 0)
		return;
	engine = find_engine(controller, controller->status.open[i].engine);
	if (engine) {
		/* Only a report from after the order verifies it. */
		engine->report_after_ms = now_ms;
		if (event->result.result != CONTROLLER_RESULT_DONE)
			engine->not_before_ms =
				now_ms + controller->settings->engine_retry_ms;
	}
	if (event->result.result != CONTROLLER_RESULT_UNKNOWN)
		controller->open[i].resolved = true;
}

static void on_lease(controller_t *controller, const controller_event_t *event,
		     uint64_t now_ms)
{
	if (controller->fencing != event->lease.fencing) {
		stop_holding(controller);
		controller->fencing = event->lease.fencing;
		controller->acquired_ms = now_ms;
		controller->store_after_ms = 0;
	}
	controller->valid_until_ms = event->lease.valid_until_ms;
}

static void on_store(controller_t *controller, const controller_event_t *event,
		     uint64_t now_ms, controller_actions_t *actions)
{
	controller_call_t kind = controller->call_kind;

	if (event->call != controller->call)
		return;
	controller->call_kind = CONTROLLER_CALL_NONE;
	switch (kind) {
	case CONTROLLER_CALL_READ_STATUS:
		status_was_read(controller, event, now_ms);
		return;
	case CONTROLLER_CALL_WRITE_STATUS:
		status_was_written(controller, event, now_ms, actions);
		return;
	case CONTROLLER_CALL_READ_SLOTS:
		slots_were_read(controller, event, now_ms);
		return;
	case CONTROLLER_CALL_WRITE_SLOTS:
		slots_were_written(controller, event, now_ms);
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
		stop_holding(controller);
		break;
	case CONTROLLER_EVENT_REPORT:
		on_report(controller, event);
		break;
	case CONTROLLER_EVENT_RESULT:
		on_result(controller, event, now_ms);
		break;
	case CONTROLLER_EVENT_STATUS:
	case CONTROLLER_EVENT_SLOTS:
		on_store(controller, event, now_ms, actions);
		break;
	}
	advance(controller, now_ms, actions);
}
