#include "process/order_sweep.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"

_Static_assert(sizeof(order_sweep_t) <= ORDER_SWEEP_SIZE_BYTES,
	       "order_sweep_t exceeds ORDER_SWEEP_SIZE_BYTES");

static uint64_t mark_interval_ms(const order_sweep_t *sweep)
{
	return (uint64_t)sweep->settings->retention_ms / ORDER_MARKS;
}

static uint64_t next_sweep_ms(const order_sweep_t *sweep, uint64_t now_ms)
{
	uint64_t mean_ms = (uint64_t)sweep->interval_ms * sweep->member_count;

	return now_ms + mean_ms / 2 + rng_below(sweep->rng, mean_ms + 1);
}

void order_sweep_init(order_sweep_t *sweep, const order_settings_t *settings,
		      rng_t *rng, uint32_t interval_ms, uint32_t member_count,
		      uint64_t now_ms)
{
	memset(sweep, 0, sizeof(*sweep));
	sweep->settings = settings;
	sweep->rng = rng;
	sweep->interval_ms = interval_ms;
	sweep->member_count = member_count ? member_count : 1;
	sweep->next_ms = now_ms + rng_below(rng, (uint64_t)interval_ms *
							 sweep->member_count);
	/* Instances that start together do not read at the same time. */
	sweep->marks_read_ms =
		now_ms + rng_below(rng, mark_interval_ms(sweep) / 2 + 1);
}

/* Records with a lower version are removed; 0: none. */
static uint64_t oldest_kept_version(const order_sweep_t *sweep)
{
	return sweep->mark_count == ORDER_MARKS ? sweep->marks[0] : 0;
}

static order_sweep_action_t write_marks(order_sweep_t *sweep)
{
	order_sweep_action_t action = {
		.kind = ORDER_SWEEP_WRITE_MARKS,
		.call_id = ++sweep->call_id,
		.path = ORDER_MARKS_PATH,
		.version = sweep->marks_version,
	};

	if (sweep->marks_version && sweep->mark_count == ORDER_MARKS)
		memmove(sweep->marks, sweep->marks + 1,
			--sweep->mark_count * sizeof(sweep->marks[0]));
	if (sweep->marks_version)
		sweep->marks[sweep->mark_count++] = sweep->marks_version;
	action.marks = sweep->marks;
	action.mark_count = sweep->mark_count;
	sweep->marks_due = false;
	sweep->marks_pending = true;
	return action;
}

static order_sweep_action_t read_marks(order_sweep_t *sweep, uint64_t now_ms)
{
	sweep->marks_pending = true;
	sweep->has_read_marks = true;
	sweep->marks_read_ms = now_ms + mark_interval_ms(sweep) / 2;
	return (order_sweep_action_t){
		.kind = ORDER_SWEEP_READ_MARKS,
		.call_id = ++sweep->call_id,
		.path = ORDER_MARKS_PATH,
	};
}

/* Each mark is an earlier version of the object. Records are removed by the
 * marks, so a list that some other writer changed counts as empty. */
static bool are_marks_valid(const order_sweep_marks_t *marks)
{
	uint64_t previous = 0;

	if (marks->count > ORDER_MARKS)
		return false;
	for (size_t i = 0; i < marks->count; i++) {
		if (marks->marks[i] <= previous ||
		    marks->marks[i] >= marks->version)
			return false;
		previous = marks->marks[i];
	}
	return true;
}

void order_sweep_handle_marks(order_sweep_t *sweep, uint32_t call_id,
			      const order_sweep_marks_t *marks, uint64_t now_ms)
{
	if (!sweep->marks_pending || call_id != sweep->call_id)
		return;
	sweep->marks_pending = false;
	sweep->mark_count = 0;
	if (marks->result && marks->result != ERR_NOT_FOUND)
		return;
	if (marks->result == ERR_NOT_FOUND) {
		sweep->marks_version = 0;
		sweep->marks_due = true;
		return;
	}
	if (!sweep->marks_known || marks->version != sweep->marks_version)
		sweep->marks_since_ms = now_ms;
	sweep->marks_known = true;
	sweep->marks_version = marks->version;
	if (are_marks_valid(marks)) {
		sweep->mark_count = marks->count;
		memcpy(sweep->marks, marks->marks,
		       marks->count * sizeof(sweep->marks[0]));
	}
	sweep->marks_due =
		now_ms - sweep->marks_since_ms >= mark_interval_ms(sweep);
}

void order_sweep_handle_marks_written(order_sweep_t *sweep, uint32_t call_id,
				      int result, uint64_t version,
				      uint64_t now_ms)
{
	if (!sweep->marks_pending || call_id != sweep->call_id)
		return;
	sweep->marks_pending = false;
	if (result) {
		/* Another instance may have written first. */
		sweep->mark_count = 0;
		sweep->marks_read_ms = now_ms;
		return;
	}
	sweep->marks_known = true;
	sweep->marks_version = version;
	sweep->marks_since_ms = now_ms;
}

order_sweep_action_t order_sweep_step(order_sweep_t *sweep, uint64_t now_ms)
{
	order_sweep_action_t action = { .kind = ORDER_SWEEP_NONE };
	bool list_due;

	if (sweep->pending_count) {
		size_t i = --sweep->pending_count;

		action.kind = ORDER_SWEEP_DELETE;
		action.path = sweep->pending[i];
		action.version = sweep->pending_version[i];
		return action;
	}
	if (sweep->list_pending || sweep->marks_pending)
		return action;
	if (sweep->marks_due)
		return write_marks(sweep);
	list_due = oldest_kept_version(sweep) &&
		   (sweep->more || now_ms >= sweep->next_ms);
	/* In turn, so that with short intervals neither waits for ever. */
	if (now_ms >= sweep->marks_read_ms &&
	    !(list_due && sweep->has_read_marks))
		return read_marks(sweep, now_ms);
	if (!list_due)
		return action;
	sweep->has_read_marks = false;
	if (!sweep->more) {
		sweep->last_path[0] = '\0';
		sweep->next_ms = next_sweep_ms(sweep, now_ms);
	}
	sweep->list_pending = true;
	action.kind = ORDER_SWEEP_LIST;
	action.call_id = ++sweep->call_id;
	action.path = sweep->last_path;
	return action;
}

void order_sweep_handle_page(order_sweep_t *sweep, uint32_t call_id, int result,
			     const order_sweep_item_t *items, size_t count,
			     bool more)
{
	if (!sweep->list_pending || call_id != sweep->call_id)
		return;
	sweep->list_pending = false;
	sweep->more = result == 0 && more && count > 0;
	if (result != 0)
		return;
	if (count > ORDER_SWEEP_PAGE) {
		count = ORDER_SWEEP_PAGE;
		sweep->more = true;
	}
	for (size_t i = 0; i < count; i++) {
		size_t n = sweep->pending_count;

		snprintf(sweep->last_path, sizeof(sweep->last_path), "%s",
			 items[i].path);
		if (items[i].version >= oldest_kept_version(sweep))
			continue;
		snprintf(sweep->pending[n], sizeof(sweep->pending[n]), "%s",
			 items[i].path);
		sweep->pending_version[n] = items[i].version;
		sweep->pending_count++;
	}
}
