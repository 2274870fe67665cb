#include "process/weights_roll.h"

#include <string.h>

void weights_roll_init(weights_roll_t *roll, uint32_t bound_ms)
{
	memset(roll, 0, sizeof(*roll));
	roll->bound_ms = bound_ms;
}

static roll_row_t *find_row(const weights_roll_t *roll, uint64_t key)
{
	for (size_t i = 0; i < roll->count; i++) {
		if (roll->rows[i].key == key)
			return (roll_row_t *)&roll->rows[i];
	}
	return NULL;
}

static roll_row_t *obtain_row(weights_roll_t *roll, uint64_t key)
{
	roll_row_t *row = find_row(roll, key);

	if (row || roll->count == ROLL_ENGINES_MAX)
		return row;
	row = &roll->rows[roll->count++];
	memset(row, 0, sizeof(*row));
	row->key = key;
	return row;
}

static void drop_unseen(weights_roll_t *roll)
{
	for (size_t i = roll->count; i-- > 0;) {
		if (!roll->rows[i].seen)
			roll->rows[i] = roll->rows[--roll->count];
	}
}

static bool in_progress(const roll_row_t *row)
{
	return row->state == ROLL_AVOIDED || row->state == ROLL_ORDERED ||
	       row->state == ROLL_LOADING;
}

static void enter(roll_row_t *row, roll_state_t state, uint64_t now_ms,
		  uint64_t pause_ms)
{
	row->state = state;
	row->since_ms = now_ms;
	row->next_ms = now_ms + pause_ms;
}

static roll_action_t *add(roll_actions_t *actions, roll_action_kind_t kind,
			  const roll_engine_t *engine)
{
	roll_action_t *action = &actions->items[actions->count++];

	action->kind = kind;
	action->index = engine->index;
	action->key = engine->key;
	action->version = engine->named;
	action->accepted = 0;
	action->runs_left = false;
	return action;
}

static uint64_t version_of(const roll_row_t *row, const roll_engine_t *engine)
{
	return row->confirmed > engine->weights ? row->confirmed
						: engine->weights;
}

static bool needs_weights(const roll_row_t *row, const roll_engine_t *engine)
{
	return engine->named && version_of(row, engine) < engine->named;
}

static void order(roll_row_t *row, const roll_engine_t *engine, uint64_t now_ms,
		  roll_actions_t *actions)
{
	roll_action_t *action;

	if (engine->runs && now_ms - row->since_ms < ROLL_FINISH_MS)
		return;
	action = add(actions, ROLL_ACTION_ORDER, engine);
	action->accepted = row->accepted;
	action->runs_left = engine->runs > 0;
	row->target = engine->named;
	enter(row, ROLL_ORDERED, now_ms, UINT32_MAX);
}

/* Goes on with an engine whose turn it is. */
static void advance(roll_row_t *row, const roll_engine_t *engine,
		    uint64_t now_ms, roll_actions_t *actions)
{
	switch (row->state) {
	case ROLL_AVOIDED:
		order(row, engine, now_ms, actions);
		return;
	case ROLL_LOADING:
		if (row->confirmed >= row->target) {
			add(actions, ROLL_ACTION_DONE, engine)->version =
				row->confirmed;
			enter(row, ROLL_KNOWN, now_ms, 0);
			return;
		}
		add(actions, ROLL_ACTION_ASK, engine);
		row->next_ms = now_ms + UINT32_MAX;
		return;
	case ROLL_IDLE:
	case ROLL_ASKING:
	case ROLL_KNOWN:
	case ROLL_ORDERED:
		return;
	}
}

/* The longer an engine has been overdue, the sooner; among those alike, the
 * one with the least work to finish. */
static bool goes_before(const roll_engine_t *a, const roll_engine_t *b)
{
	uint64_t turn_a = a->overdue_ms / ROLL_ENGINE_MS;
	uint64_t turn_b = b->overdue_ms / ROLL_ENGINE_MS;

	return turn_a != turn_b ? turn_a > turn_b : a->runs < b->runs;
}

static const roll_engine_t *next_engine(weights_roll_t *roll,
					const roll_engine_t *engines,
					size_t count, uint64_t now_ms)
{
	const roll_engine_t *best = NULL;

	for (size_t i = 0; i < count; i++) {
		const roll_engine_t *engine = &engines[i];
		const roll_row_t *row = find_row(roll, engine->key);

		if (!row || !engine->reachable || now_ms < row->next_ms ||
		    (row->state != ROLL_IDLE && row->state != ROLL_KNOWN) ||
		    !needs_weights(row, engine))
			continue;
		if (!best || goes_before(engine, best))
			best = engine;
	}
	return best;
}

static void start(roll_row_t *row, const roll_engine_t *engine, uint64_t now_ms,
		  roll_actions_t *actions)
{
	if (row->state == ROLL_IDLE) {
		add(actions, ROLL_ACTION_ASK, engine);
		enter(row, ROLL_ASKING, now_ms, UINT32_MAX);
		return;
	}
	add(actions, ROLL_ACTION_AVOID, engine);
	enter(row, ROLL_AVOIDED, now_ms, ROLL_AVOID_MS);
}

/* How many engines may be on their way: a part of them, or more when the rest
 * would not be done in time. */
static size_t engines_at_once(const weights_roll_t *roll,
			      const roll_engine_t *engines, size_t count)
{
	size_t limit = (count + ROLL_PART - 1) / ROLL_PART;
	uint64_t overdue_ms = 0;
	uint64_t left_ms = ROLL_ENGINE_MS;
	size_t pressing = 0;
	size_t needed;

	for (size_t i = 0; i < count; i++) {
		const roll_row_t *row = find_row(roll, engines[i].key);

		if (!row || !needs_weights(row, &engines[i]))
			continue;
		if (engines[i].overdue_ms > overdue_ms)
			overdue_ms = engines[i].overdue_ms;
		pressing += engines[i].overdue_ms > roll->bound_ms / 2;
	}
	if (overdue_ms + ROLL_MARGIN_MS + ROLL_ENGINE_MS < roll->bound_ms)
		left_ms = roll->bound_ms - ROLL_MARGIN_MS - overdue_ms;
	needed = (pressing * ROLL_ENGINE_MS + left_ms - 1) / left_ms;
	return needed > limit ? needed : limit;
}

void weights_roll_step(weights_roll_t *roll, const roll_engine_t *engines,
		       size_t count, uint64_t now_ms, roll_actions_t *actions)
{
	size_t limit;
	size_t busy = 0;
	const roll_engine_t *engine;

	actions->count = 0;
	for (size_t i = 0; i < roll->count; i++)
		roll->rows[i].seen = false;
	for (size_t i = 0; i < count; i++) {
		roll_row_t *row = obtain_row(roll, engines[i].key);

		if (!row)
			continue;
		row->seen = true;
		if (actions->count < ROLL_ACTIONS_MAX && now_ms >= row->next_ms)
			advance(row, &engines[i], now_ms, actions);
		busy += in_progress(row) || row->state == ROLL_ASKING;
	}
	drop_unseen(roll);
	limit = engines_at_once(roll, engines, count);
	while (busy < limit && actions->count < ROLL_ACTIONS_MAX) {
		engine = next_engine(roll, engines, count, now_ms);
		if (!engine)
			return;
		start(find_row(roll, engine->key), engine, now_ms, actions);
		busy++;
	}
}

void weights_roll_reported(weights_roll_t *roll, uint64_t key,
			   const roll_report_t *report, uint64_t now_ms)
{
	roll_row_t *row = find_row(roll, key);

	if (!row || (row->state != ROLL_ASKING && row->state != ROLL_LOADING))
		return;
	if (report->result) {
		/* It may have restarted: its numbers start anew. */
		enter(row, ROLL_IDLE, now_ms, ROLL_FAILED_MS);
		return;
	}
	row->confirmed = report->weights;
	row->accepted = report->accepted;
	if (row->state == ROLL_ASKING && report->busy) {
		/* An order of an earlier holder is carried out. */
		row->target = UINT64_MAX;
		enter(row, ROLL_LOADING, now_ms, ROLL_ASK_MS);
	} else if (report->busy) {
		row->next_ms = now_ms + ROLL_ASK_MS;
	} else if (row->state == ROLL_LOADING &&
		   report->weights >= row->target) {
		row->next_ms = now_ms;
	} else {
		/* It was not carried out, or is the first for it. */
		enter(row, ROLL_KNOWN, now_ms, 0);
	}
}

void weights_roll_answered(weights_roll_t *roll, uint64_t key, uint16_t status,
			   uint64_t now_ms)
{
	roll_row_t *row = find_row(roll, key);

	if (!row || row->state != ROLL_ORDERED)
		return;
	switch (status) {
	case 202:
		row->accepted++;
		enter(row, ROLL_LOADING, now_ms, ROLL_FIRST_ASK_MS);
		return;
	case 200:
		enter(row, ROLL_LOADING, now_ms, 0);
		row->confirmed = row->target;
		return;
	case 0:
		enter(row, ROLL_LOADING, now_ms, ROLL_FAILED_MS);
		return;
	default:
		enter(row, ROLL_IDLE, now_ms, ROLL_FAILED_MS);
		return;
	}
}

bool weights_roll_is_loading(const weights_roll_t *roll, uint64_t key)
{
	const roll_row_t *row = find_row(roll, key);

	return row && in_progress(row);
}
