#include "process/weights_rollout.h"

#include <stdlib.h>
#include <string.h>

/** Capacity of the first allocation; doubles when it is used up. */
#define ENTRIES_FIRST 64

void weights_rollout_free(weights_rollout_t *rollout)
{
	free(rollout->entries);
	memset(rollout, 0, sizeof(*rollout));
}

void weights_rollout_reset(weights_rollout_t *rollout, uint32_t time_limit_ms)
{
	rollout->count = 0;
	rollout->time_limit_ms = time_limit_ms;
}

/* Index of the first entry whose key is not lower. */
static size_t find_index(const weights_rollout_t *rollout, uint64_t key)
{
	size_t low = 0;
	size_t high = rollout->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (rollout->entries[middle].key < key)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static rollout_entry_t *find_entry(const weights_rollout_t *rollout,
				   uint64_t key)
{
	size_t i = find_index(rollout, key);

	return i < rollout->count && rollout->entries[i].key == key
		       ? &rollout->entries[i]
		       : NULL;
}

static bool reserve_entry(weights_rollout_t *rollout)
{
	size_t capacity =
		rollout->capacity ? 2 * rollout->capacity : ENTRIES_FIRST;
	rollout_entry_t *entries;

	if (rollout->count < rollout->capacity)
		return true;
	entries = realloc(rollout->entries, capacity * sizeof(*entries));
	if (!entries)
		return false;
	rollout->entries = entries;
	rollout->capacity = capacity;
	return true;
}

static void add_entry(weights_rollout_t *rollout, uint64_t key)
{
	size_t i = find_index(rollout, key);
	rollout_entry_t *entry;

	if (!reserve_entry(rollout))
		return;
	entry = &rollout->entries[i];
	memmove(entry + 1, entry, (rollout->count++ - i) * sizeof(*entry));
	memset(entry, 0, sizeof(*entry));
	entry->key = key;
}

/* Makes the entries those of the listed engines. */
static void update_entries(weights_rollout_t *rollout,
			   const rollout_engine_t *engines, size_t count)
{
	size_t kept = 0;

	for (size_t i = 0; i < rollout->count; i++)
		rollout->entries[i].seen = false;
	for (size_t i = 0; i < count; i++) {
		rollout_entry_t *entry = find_entry(rollout, engines[i].key);

		if (entry)
			entry->seen = true;
	}
	for (size_t i = 0; i < rollout->count; i++) {
		if (rollout->entries[i].seen)
			rollout->entries[kept++] = rollout->entries[i];
	}
	rollout->count = kept;
	for (size_t i = 0; i < count; i++) {
		if (!find_entry(rollout, engines[i].key))
			add_entry(rollout, engines[i].key);
	}
}

static bool in_progress(const rollout_entry_t *entry)
{
	return entry->state == ROLLOUT_DRAINING ||
	       entry->state == ROLLOUT_ORDERED ||
	       entry->state == ROLLOUT_LOADING;
}

static void enter_state(rollout_entry_t *entry, rollout_state_t state,
			uint64_t now_ms, uint64_t pause_ms)
{
	entry->state = state;
	entry->since_ms = now_ms;
	entry->not_before_ms = now_ms + pause_ms;
}

static rollout_action_t *add_action(rollout_actions_t *actions,
				    rollout_action_kind_t kind,
				    const rollout_engine_t *engine)
{
	rollout_action_t *action = &actions->items[actions->count++];

	action->kind = kind;
	action->index = engine->index;
	action->key = engine->key;
	action->version = engine->target_version;
	action->accepted = 0;
	action->counted_ms = 0;
	action->runs_left = false;
	return action;
}

static uint64_t current_version(const rollout_entry_t *entry,
				const rollout_engine_t *engine)
{
	return entry->confirmed > engine->weights ? entry->confirmed
						  : engine->weights;
}

static bool is_outdated(const rollout_entry_t *entry,
			const rollout_engine_t *engine)
{
	return engine->target_version &&
	       current_version(entry, engine) < engine->target_version;
}

static void order_load(rollout_entry_t *entry, const rollout_engine_t *engine,
		       uint64_t now_ms, rollout_actions_t *actions)
{
	rollout_action_t *action;

	if (!engine->reachable || engine->hold != ROLLOUT_HOLD_NONE) {
		enter_state(entry, ROLLOUT_READY, now_ms, 0);
		return;
	}
	if (engine->runs && now_ms - entry->drain_since_ms < ROLLOUT_DRAIN_MS)
		return;
	action = add_action(actions, ROLLOUT_ACTION_ORDER, engine);
	action->accepted = entry->accepted;
	action->counted_ms = entry->counted_ms;
	action->runs_left = engine->runs > 0;
	entry->ordered_version = engine->target_version;
	enter_state(entry, ROLLOUT_ORDERED, now_ms, UINT32_MAX);
}

/* Performs the due action of an engine whose update is in progress. */
static void advance(rollout_entry_t *entry, const rollout_engine_t *engine,
		    uint64_t now_ms, rollout_actions_t *actions)
{
	switch (entry->state) {
	case ROLLOUT_DRAINING:
		order_load(entry, engine, now_ms, actions);
		return;
	case ROLLOUT_LOADING:
		if (entry->confirmed >= entry->ordered_version) {
			add_action(actions, ROLLOUT_ACTION_DONE, engine)
				->version = entry->confirmed;
			enter_state(entry, ROLLOUT_READY, now_ms, 0);
			return;
		}
		add_action(actions, ROLLOUT_ACTION_POLL, engine);
		entry->counted_ms = now_ms;
		entry->not_before_ms = now_ms + UINT32_MAX;
		return;
	case ROLLOUT_IDLE:
	case ROLLOUT_POLLING:
	case ROLLOUT_READY:
	case ROLLOUT_ORDERED:
		return;
	}
}

/* Engines that have been outdated for longer go first; among those outdated for
 * about the same time, the one that runs the fewest requests. */
static bool has_priority(const rollout_engine_t *a, const rollout_engine_t *b)
{
	uint64_t age_a = a->outdated_ms / ROLLOUT_ENGINE_MS;
	uint64_t age_b = b->outdated_ms / ROLLOUT_ENGINE_MS;

	return age_a != age_b ? age_a > age_b : a->runs < b->runs;
}

/* Whether the engine's update may begin, or its next report is due. */
static bool is_due(const rollout_entry_t *entry, const rollout_engine_t *engine,
		   uint64_t now_ms)
{
	if (now_ms < entry->not_before_ms ||
	    (entry->state != ROLLOUT_IDLE && entry->state != ROLLOUT_READY))
		return false;
	switch (engine->hold) {
	case ROLLOUT_HOLD_NONE:
		return true;
	case ROLLOUT_HOLD_REPORTS:
		return entry->state == ROLLOUT_IDLE ||
		       now_ms >= entry->since_ms + ROLLOUT_POLL_MS;
	case ROLLOUT_HOLD_ALL:
		return false;
	}
	return false;
}

static const rollout_engine_t *next_engine(weights_rollout_t *rollout,
					   const rollout_engine_t *engines,
					   size_t count, uint64_t now_ms)
{
	const rollout_engine_t *best = NULL;

	for (size_t i = 0; i < count; i++) {
		const rollout_engine_t *engine = &engines[i];
		const rollout_entry_t *entry = find_entry(rollout, engine->key);

		if (!entry || !engine->reachable ||
		    !is_due(entry, engine, now_ms) ||
		    !is_outdated(entry, engine))
			continue;
		if (!best || has_priority(engine, best))
			best = engine;
	}
	return best;
}

static void begin_update(rollout_entry_t *entry, const rollout_engine_t *engine,
			 uint64_t now_ms, rollout_actions_t *actions)
{
	if (entry->state == ROLLOUT_IDLE ||
	    engine->hold == ROLLOUT_HOLD_REPORTS) {
		add_action(actions, ROLLOUT_ACTION_POLL, engine);
		entry->counted_ms = now_ms;
		enter_state(entry, ROLLOUT_POLLING, now_ms, UINT32_MAX);
		return;
	}
	add_action(actions, ROLLOUT_ACTION_DRAIN, engine);
	entry->drain_since_ms = now_ms;
	enter_state(entry, ROLLOUT_DRAINING, now_ms, ROLLOUT_ANNOUNCE_MS);
}

/* Returns how many engines may be updated at the same time: a fixed share, or
 * more if the rest would miss the time limit otherwise. */
static size_t concurrency_limit(const weights_rollout_t *rollout,
				const rollout_engine_t *engines, size_t count)
{
	size_t limit =
		(count + ROLLOUT_SHARE_DIVISOR - 1) / ROLLOUT_SHARE_DIVISOR;
	uint64_t outdated_ms = 0;
	uint64_t left_ms = ROLLOUT_ENGINE_MS;
	size_t urgent = 0;
	size_t needed;

	for (size_t i = 0; i < count; i++) {
		const rollout_entry_t *entry =
			find_entry(rollout, engines[i].key);

		if (!entry || !is_outdated(entry, &engines[i]))
			continue;
		if (engines[i].outdated_ms > outdated_ms)
			outdated_ms = engines[i].outdated_ms;
		urgent += engines[i].outdated_ms > rollout->time_limit_ms / 2;
	}
	if (outdated_ms + ROLLOUT_MARGIN_MS + ROLLOUT_ENGINE_MS <
	    rollout->time_limit_ms)
		left_ms = rollout->time_limit_ms - ROLLOUT_MARGIN_MS -
			  outdated_ms;
	needed = (urgent * ROLLOUT_ENGINE_MS + left_ms - 1) / left_ms;
	return needed > limit ? needed : limit;
}

void weights_rollout_step(weights_rollout_t *rollout,
			  const rollout_engine_t *engines, size_t count,
			  uint64_t now_ms, rollout_actions_t *actions)
{
	size_t limit;
	size_t busy = 0;
	const rollout_engine_t *engine;

	actions->count = 0;
	update_entries(rollout, engines, count);
	for (size_t i = 0; i < count; i++) {
		rollout_entry_t *entry = find_entry(rollout, engines[i].key);

		if (!entry)
			continue;
		if (actions->count < ROLLOUT_ACTIONS_MAX &&
		    now_ms >= entry->not_before_ms)
			advance(entry, &engines[i], now_ms, actions);
		busy += in_progress(entry) || entry->state == ROLLOUT_POLLING;
	}
	limit = concurrency_limit(rollout, engines, count);
	while (busy < limit && actions->count < ROLLOUT_ACTIONS_MAX) {
		engine = next_engine(rollout, engines, count, now_ms);
		if (!engine)
			return;
		begin_update(find_entry(rollout, engine->key), engine, now_ms,
			     actions);
		busy++;
	}
}

void weights_rollout_on_report(weights_rollout_t *rollout, uint64_t key,
			       const rollout_report_t *report, uint64_t now_ms)
{
	rollout_entry_t *entry = find_entry(rollout, key);

	if (!entry || (entry->state != ROLLOUT_POLLING &&
		       entry->state != ROLLOUT_LOADING))
		return;
	if (report->result) {
		/* It may have restarted, which resets the numbers that it
		 * reports. */
		enter_state(entry, ROLLOUT_IDLE, now_ms, ROLLOUT_RETRY_MS);
		return;
	}
	entry->confirmed = report->weights;
	entry->accepted = report->accepted;
	if (entry->state == ROLLOUT_POLLING && report->busy) {
		/* It executes an order of a previous lease holder. */
		entry->ordered_version = UINT64_MAX;
		enter_state(entry, ROLLOUT_LOADING, now_ms, ROLLOUT_POLL_MS);
	} else if (report->busy) {
		entry->not_before_ms = now_ms + ROLLOUT_POLL_MS;
	} else if (entry->state == ROLLOUT_LOADING &&
		   report->weights >= entry->ordered_version) {
		entry->not_before_ms = now_ms;
	} else if (entry->state == ROLLOUT_LOADING) {
		/* The order is repeated at once: it may have been lost, or wait
		 * behind late orders for older weights, which the first one
		 * that is executed invalidates. */
		enter_state(entry, ROLLOUT_DRAINING, now_ms, 0);
	} else {
		enter_state(entry, ROLLOUT_READY, now_ms, 0);
	}
}

void weights_rollout_on_answer(weights_rollout_t *rollout, uint64_t key,
			       uint16_t status, uint64_t now_ms)
{
	rollout_entry_t *entry = find_entry(rollout, key);

	if (!entry || entry->state != ROLLOUT_ORDERED)
		return;
	switch (status) {
	case 202:
		entry->accepted++;
		enter_state(entry, ROLLOUT_LOADING, now_ms,
			    ROLLOUT_FIRST_POLL_MS);
		return;
	case 200:
		/* It says that it has the weights; its report tells whether the
		 * answer was one to this order. */
		enter_state(entry, ROLLOUT_LOADING, now_ms, 0);
		return;
	case 0:
		enter_state(entry, ROLLOUT_LOADING, now_ms, ROLLOUT_RETRY_MS);
		return;
	default:
		enter_state(entry, ROLLOUT_IDLE, now_ms, ROLLOUT_RETRY_MS);
		return;
	}
}

bool weights_rollout_is_updating(const weights_rollout_t *rollout, uint64_t key)
{
	const rollout_entry_t *entry = find_entry(rollout, key);

	return entry && in_progress(entry);
}
