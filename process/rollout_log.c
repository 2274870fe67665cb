#include "process/rollout_log.h"

#include <stdlib.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"

/** Capacity of the first allocation; doubles when it is used up. */
#define ENTRIES_FIRST 16

void rollout_log_record_free(rollout_log_record_t *record)
{
	free(record->entries);
	memset(record, 0, sizeof(*record));
}

static int add_entry(rollout_log_record_t *record,
		     const rollout_log_entry_t *entry)
{
	if (record->count == record->capacity) {
		size_t capacity =
			record->capacity ? 2 * record->capacity : ENTRIES_FIRST;
		rollout_log_entry_t *entries =
			realloc(record->entries, capacity * sizeof(*entries));

		if (!entries)
			return ERR_NO_MEMORY;
		record->entries = entries;
		record->capacity = capacity;
	}
	record->entries[record->count++] = *entry;
	return 0;
}

static rollout_log_order_t *find_order(const rollout_log_t *log, uint64_t key)
{
	for (size_t i = 0; i < log->order_count; i++) {
		if (log->orders[i].entry.key == key)
			return &log->orders[i];
	}
	return NULL;
}

/* The store keeps entries that are settled until the next write. */
static void mark_stale(rollout_log_t *log, uint64_t now_ms)
{
	if (!log->stale)
		log->settled_ms = now_ms;
	log->stale = true;
}

/* Returns NULL when out of memory. */
static rollout_log_order_t *new_order(rollout_log_t *log, uint64_t key)
{
	rollout_log_order_t *order;

	if (log->order_count == log->order_capacity) {
		size_t capacity = log->order_capacity ? 2 * log->order_capacity
						      : ENTRIES_FIRST;

		order = realloc(log->orders, capacity * sizeof(*order));
		if (!order)
			return NULL;
		log->orders = order;
		log->order_capacity = capacity;
	}
	order = &log->orders[log->order_count++];
	memset(order, 0, sizeof(*order));
	order->entry.key = key;
	return order;
}

static void remove_order(rollout_log_t *log, rollout_log_order_t *order)
{
	*order = log->orders[--log->order_count];
}

/* Terms. */

size_t rollout_log_end(rollout_log_t *log)
{
	size_t open = 0;

	for (size_t i = 0; i < log->order_count; i++) {
		const rollout_log_order_t *order = &log->orders[i];

		open += order->state == ROLLOUT_LOG_SENT ||
			(order->state == ROLLOUT_LOG_UNKNOWN &&
			 order->entry.sent);
	}
	log->fencing = 0;
	log->order_count = 0;
	log->earlier.count = 0;
	return open;
}

void rollout_log_begin(rollout_log_t *log, const rollout_term_t *term,
		       uint64_t now_ms)
{
	rollout_log_end(log);
	log->fencing = term->fencing;
	log->era = term->era;
	log->transit_ms = term->transit_ms;
	log->acquired_ms = now_ms;
	log->loaded = false;
	log->superseded = false;
	log->calling = false;
	log->stale = false;
	log->lost = false;
	log->expired_ms = 0;
	log->retry_ms = 0;
	log->revision = 0;
	log->unknown_until_ms = now_ms;
	if (term->observed_ms < term->transit_ms)
		log->unknown_until_ms += term->transit_ms - term->observed_ms;
}

void rollout_log_free(rollout_log_t *log)
{
	rollout_log_record_free(&log->earlier);
	rollout_log_record_free(&log->written);
	free(log->orders);
	memset(log, 0, sizeof(*log));
}

/* Calls to the store. */

static void expire(rollout_log_t *log, uint64_t until_ms)
{
	if (log->expired_ms < until_ms)
		log->expired_ms = until_ms;
}

/* When an order of an earlier holder has arrived at the latest. */
static uint64_t earlier_until_ms(const rollout_log_t *log,
				 const rollout_log_entry_t *entry)
{
	return log->acquired_ms + entry->left_ms;
}

static void settle_earlier(rollout_log_t *log, uint64_t now_ms)
{
	rollout_log_record_t *earlier = &log->earlier;

	for (size_t i = earlier->count; i-- > 0;) {
		const rollout_log_entry_t *entry = &earlier->entries[i];
		rollout_log_order_t *order;

		if (now_ms < earlier_until_ms(log, entry))
			continue;
		order = find_order(log, entry->key);
		if (!order)
			order = new_order(log, entry->key);
		if (!order)
			return;
		if (!order->entry.sent)
			order->state = ROLLOUT_LOG_EXPIRED;
		expire(log, earlier_until_ms(log, entry));
		earlier->entries[i] = earlier->entries[--earlier->count];
		mark_stale(log, now_ms);
	}
}

static void settle(rollout_log_t *log, uint64_t now_ms)
{
	settle_earlier(log, now_ms);
	for (size_t i = log->order_count; i-- > 0;) {
		rollout_log_order_t *order = &log->orders[i];

		if (order->state != ROLLOUT_LOG_UNKNOWN ||
		    now_ms < order->until_ms)
			continue;
		mark_stale(log, now_ms);
		if (!order->entry.sent) {
			remove_order(log, order);
			continue;
		}
		expire(log, order->until_ms);
		order->entry.sent = 0;
		order->state = ROLLOUT_LOG_EXPIRED;
	}
}

static bool is_write_due(const rollout_log_t *log, uint64_t now_ms)
{
	for (size_t i = 0; i < log->order_count; i++) {
		if (log->orders[i].state == ROLLOUT_LOG_WANTED)
			return true;
	}
	return log->lost ||
	       (log->stale && now_ms - log->settled_ms >= ROLLOUT_LOG_CLEAN_MS);
}

/* Without memory for it, the write is due again with the next step. */
static bool prepare_write(rollout_log_t *log, uint64_t now_ms)
{
	rollout_log_record_t *written = &log->written;
	rollout_log_entry_t entry;
	uint64_t until_ms;

	written->fencing = log->fencing;
	written->era = log->era;
	written->unknown_ms =
		now_ms < log->unknown_until_ms
			? (uint32_t)(log->unknown_until_ms - now_ms)
			: 0;
	written->count = 0;
	for (size_t i = 0; i < log->earlier.count; i++) {
		entry = log->earlier.entries[i];
		until_ms = earlier_until_ms(log, &entry);
		entry.left_ms =
			until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
		if (add_entry(written, &entry))
			return false;
	}
	for (size_t i = 0; i < log->order_count; i++) {
		entry = log->orders[i].entry;
		entry.left_ms = log->transit_ms;
		if (log->orders[i].state != ROLLOUT_LOG_EXPIRED &&
		    add_entry(written, &entry))
			return false;
	}
	for (size_t i = 0; i < log->order_count; i++) {
		if (log->orders[i].state == ROLLOUT_LOG_WANTED)
			log->orders[i].state = ROLLOUT_LOG_WRITING;
	}
	log->stale = false;
	log->lost = false;
	if (written->unknown_ms || log->earlier.count)
		mark_stale(log, now_ms);
	return true;
}

rollout_log_action_t rollout_log_step(rollout_log_t *log, uint64_t now_ms)
{
	if (!log->fencing || log->superseded || log->calling ||
	    now_ms < log->retry_ms)
		return ROLLOUT_LOG_NONE;
	if (!log->loaded) {
		log->calling = true;
		return ROLLOUT_LOG_READ;
	}
	settle(log, now_ms);
	if (!is_write_due(log, now_ms) || !prepare_write(log, now_ms))
		return ROLLOUT_LOG_NONE;
	log->calling = true;
	return ROLLOUT_LOG_WRITE;
}

/* Takes over the entries of an earlier holder. */
static int inherit(rollout_log_t *log, const rollout_log_record_t *record)
{
	log->earlier.count = 0;
	for (size_t i = 0; i < record->count; i++) {
		rollout_log_entry_t entry = record->entries[i];

		if (entry.left_ms > log->transit_ms)
			entry.left_ms = log->transit_ms;
		if (add_entry(&log->earlier, &entry))
			return ERR_NO_MEMORY;
	}
	return 0;
}

/* Whether another holder may have sent orders since this instance did. */
static bool has_returned(const rollout_log_t *log,
			 const rollout_log_record_t *record)
{
	return log->sent_ms && record->fencing != log->sent_fencing;
}

/* Sets until when no engine gets anything, although there is a log. */
static void set_unknown(rollout_log_t *log, const rollout_log_record_t *record)
{
	uint64_t known_ms = log->acquired_ms + record->unknown_ms;
	uint64_t return_ms =
		has_returned(log, record) ? log->sent_ms + log->transit_ms : 0;

	if (known_ms < log->unknown_until_ms)
		log->unknown_until_ms = known_ms;
	if (return_ms > log->unknown_until_ms)
		log->unknown_until_ms = return_ms;
}

void rollout_log_on_read(rollout_log_t *log, int err, uint64_t revision,
			 const rollout_log_record_t *record, uint64_t now_ms)
{
	bool complete;

	log->calling = false;
	if (err && err != ERR_NOT_FOUND) {
		log->retry_ms = now_ms + ROLLOUT_LOG_RETRY_MS;
		return;
	}
	complete = !err && record->fencing && record->era == log->era;
	if (!err && record->fencing > log->fencing) {
		log->superseded = true;
		return;
	}
	/* What this holder wrote contains what it had read. */
	if (complete && record->fencing < log->fencing &&
	    inherit(log, record)) {
		log->retry_ms = now_ms + ROLLOUT_LOG_RETRY_MS;
		return;
	}
	if (complete && record->fencing < log->fencing) {
		set_unknown(log, record);
		if (record->unknown_ms || record->count)
			mark_stale(log, now_ms);
	}
	log->lost = !complete;
	log->loaded = true;
	log->revision = err ? 0 : revision;
}

static void end_writing(rollout_log_t *log, rollout_log_state_t state)
{
	for (size_t i = 0; i < log->order_count; i++) {
		if (log->orders[i].state == ROLLOUT_LOG_WRITING)
			log->orders[i].state = state;
	}
}

void rollout_log_on_written(rollout_log_t *log, int err, uint64_t revision,
			    uint64_t now_ms)
{
	log->calling = false;
	if (!err) {
		log->revision = revision;
		end_writing(log, ROLLOUT_LOG_LOGGED);
		return;
	}
	end_writing(log, ROLLOUT_LOG_WANTED);
	mark_stale(log, now_ms);
	/* It may have taken effect; or a write of an earlier holder has. */
	log->loaded = false;
	if (err != ERR_STORE_CONDITION)
		log->retry_ms = now_ms + ROLLOUT_LOG_RETRY_MS;
}

/* Orders. */

static const rollout_log_entry_t *find_earlier(const rollout_log_t *log,
					       uint64_t key)
{
	for (size_t i = 0; i < log->earlier.count; i++) {
		if (log->earlier.entries[i].key == key)
			return &log->earlier.entries[i];
	}
	return NULL;
}

rollout_hold_t rollout_log_hold(const rollout_log_t *log, uint64_t key,
				uint64_t now_ms)
{
	const rollout_log_entry_t *earlier = find_earlier(log, key);
	bool never_read = !log->loaded && !log->revision;

	if (never_read || now_ms < log->unknown_until_ms)
		return ROLLOUT_HOLD_ALL;
	return earlier && now_ms < earlier_until_ms(log, earlier)
		       ? ROLLOUT_HOLD_REPORTS
		       : ROLLOUT_HOLD_NONE;
}

int rollout_log_add(rollout_log_t *log, uint64_t key, uint64_t accepted,
		    uint64_t counted_ms)
{
	rollout_log_order_t *order = find_order(log, key);
	bool was_expired = order && order->state == ROLLOUT_LOG_EXPIRED;

	if (!order)
		order = new_order(log, key);
	if (!order)
		return ERR_NO_MEMORY;
	if (!order->entry.sent) {
		/* An order that arrived after the report would be taken for
		 * this one. */
		order->entry.accepted = counted_ms < log->expired_ms ||
							was_expired ||
							find_earlier(log, key)
						? ROLLOUT_LOG_UNCOUNTED
						: accepted;
	}
	/* Which of several orders has arrived is not known from a count. */
	order->entry.sent++;
	order->state = ROLLOUT_LOG_WANTED;
	return 0;
}

bool rollout_log_is_logged(const rollout_log_t *log, uint64_t key)
{
	const rollout_log_order_t *order = find_order(log, key);

	return log->fencing && order && order->state == ROLLOUT_LOG_LOGGED;
}

void rollout_log_on_sent(rollout_log_t *log, uint64_t key, uint64_t now_ms)
{
	rollout_log_order_t *order = find_order(log, key);

	if (!order)
		return;
	order->state = ROLLOUT_LOG_SENT;
	log->sent_ms = now_ms;
	log->sent_fencing = log->fencing;
}

void rollout_log_drop(rollout_log_t *log, uint64_t key, uint64_t now_ms)
{
	rollout_log_order_t *order = find_order(log, key);

	if (!order)
		return;
	/* The store may have it; the next step settles it, unless a call of an
	 * earlier order was open. */
	order->entry.sent--;
	order->state = ROLLOUT_LOG_UNKNOWN;
	if (order->entry.sent)
		order->until_ms = now_ms + log->transit_ms;
}

void rollout_log_on_answer(rollout_log_t *log, uint64_t key, bool answered,
			   uint64_t now_ms)
{
	rollout_log_order_t *order = find_order(log, key);

	if (!order || order->state != ROLLOUT_LOG_SENT)
		return;
	if (answered && order->entry.sent == 1) {
		remove_order(log, order);
		mark_stale(log, now_ms);
		return;
	}
	order->state = ROLLOUT_LOG_UNKNOWN;
	order->until_ms = now_ms + log->transit_ms;
}

static bool has_arrived(const rollout_log_entry_t *entry, uint64_t key,
			uint64_t accepted)
{
	return entry->key == key && entry->sent == 1 &&
	       accepted > entry->accepted;
}

void rollout_log_on_report(rollout_log_t *log, uint64_t key, uint64_t accepted,
			   uint64_t now_ms)
{
	rollout_log_order_t *order = find_order(log, key);
	rollout_log_record_t *earlier = &log->earlier;

	if (order && order->state == ROLLOUT_LOG_UNKNOWN &&
	    has_arrived(&order->entry, key, accepted)) {
		remove_order(log, order);
		mark_stale(log, now_ms);
	}
	for (size_t i = 0; i < earlier->count; i++) {
		if (!has_arrived(&earlier->entries[i], key, accepted))
			continue;
		earlier->entries[i] = earlier->entries[--earlier->count];
		mark_stale(log, now_ms);
		return;
	}
}

/* Value in the store. */

json_t *rollout_log_to_json(const rollout_log_record_t *record)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < record->count; i++) {
		const rollout_log_entry_t *entry = &record->entries[i];
		char key[HASH_KEY_HEX_BYTES];

		hash_key_to_hex(entry->key, key);
		if (json_array_append_new(
			    rows, json_pack("[s,I,I,I]", key,
					    (json_int_t)entry->accepted,
					    (json_int_t)entry->sent,
					    (json_int_t)entry->left_ms))) {
			json_decref(rows);
			return NULL;
		}
	}
	return json_pack("{s:I,s:I,s:I,s:o}", "fencing",
			 (json_int_t)record->fencing, "era",
			 (json_int_t)record->era, "unknown_ms",
			 (json_int_t)record->unknown_ms, "orders", rows);
}

static bool read_number(const json_t *value, uint64_t max, uint64_t *number)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return false;
	*number = (uint64_t)json_integer_value(value);
	return true;
}

static bool read_entry(const json_t *row, rollout_log_entry_t *entry)
{
	const char *key = json_string_value(json_array_get(row, 0));
	uint64_t sent;
	uint64_t left_ms;

	if (!key || hash_key_from_hex(key, &entry->key) ||
	    !read_number(json_array_get(row, 1), INT64_MAX, &entry->accepted) ||
	    !read_number(json_array_get(row, 2), UINT32_MAX, &sent) ||
	    !read_number(json_array_get(row, 3), UINT32_MAX, &left_ms))
		return false;
	entry->sent = (uint32_t)sent;
	entry->left_ms = (uint32_t)left_ms;
	return true;
}

int rollout_log_from_json(const json_t *value, rollout_log_record_t *record)
{
	const json_t *rows = json_object_get(value, "orders");
	uint64_t unknown_ms;

	if (!json_is_array(rows) ||
	    !read_number(json_object_get(value, "fencing"), INT64_MAX,
			 &record->fencing) ||
	    !read_number(json_object_get(value, "era"), INT64_MAX,
			 &record->era) ||
	    !read_number(json_object_get(value, "unknown_ms"), UINT32_MAX,
			 &unknown_ms))
		return ERR_BAD_JSON;
	record->unknown_ms = (uint32_t)unknown_ms;
	for (size_t i = 0; i < json_array_size(rows); i++) {
		rollout_log_entry_t entry;

		if (!read_entry(json_array_get(rows, i), &entry))
			return ERR_BAD_JSON;
		if (add_entry(record, &entry))
			return ERR_NO_MEMORY;
	}
	return 0;
}
