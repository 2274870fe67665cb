#include "process/stream_table.h"

#include <stdlib.h>
#include <string.h>

/* The rows are a binary heap, so that the one that expires first is found at
 * once. Behind them, in the same allocation, is a hash table with linear
 * probing: twice as many slots, each with the index of a row plus 1, or 0. */

enum {
	CAPACITY_MIN = 16,
	SLOTS_PER_ROW = 2,
};

/** 2^64 divided by the golden ratio (Fibonacci hashing). */
#define HASH_FACTOR 0x9e3779b97f4a7c15U

_Static_assert(STREAM_TABLE_MAX < UINT16_MAX, "rows are counted by slots");
_Static_assert(STREAM_TABLE_MAX % CAPACITY_MIN == 0 &&
		       (STREAM_TABLE_MAX & (STREAM_TABLE_MAX - 1)) == 0,
	       "the capacity is doubled up to the limit");

static uint16_t *slots_of(const stream_table_t *table)
{
	return (uint16_t *)(table->rows + table->capacity);
}

static size_t slot_mask(const stream_table_t *table)
{
	return table->capacity * SLOTS_PER_ROW - 1;
}

static size_t home_slot(const stream_table_t *table, uint64_t id)
{
	return (size_t)(id * HASH_FACTOR >> 32) & slot_mask(table);
}

/* The slot of a row, or the empty one where it would be put. */
static size_t find_slot(const stream_table_t *table, uint64_t id)
{
	const uint16_t *slots = slots_of(table);
	size_t slot = home_slot(table, id);

	while (slots[slot] && table->rows[slots[slot] - 1].id != id)
		slot = (slot + 1) & slot_mask(table);
	return slot;
}

/* Moves the rows behind an emptied slot, so that no search ends there too
 * early. */
static void clear_slot(stream_table_t *table, size_t empty)
{
	uint16_t *slots = slots_of(table);
	size_t mask = slot_mask(table);

	for (size_t slot = (empty + 1) & mask; slots[slot];
	     slot = (slot + 1) & mask) {
		size_t home = home_slot(table, table->rows[slots[slot] - 1].id);

		if (((slot - home) & mask) < ((slot - empty) & mask))
			continue;
		slots[empty] = slots[slot];
		empty = slot;
	}
	slots[empty] = 0;
}

static void swap_rows(stream_table_t *table, size_t a, size_t b)
{
	uint16_t *slots = slots_of(table);
	size_t slot_a = find_slot(table, table->rows[a].id);
	size_t slot_b = find_slot(table, table->rows[b].id);
	stream_row_t row = table->rows[a];

	table->rows[a] = table->rows[b];
	table->rows[b] = row;
	slots[slot_a] = (uint16_t)(b + 1);
	slots[slot_b] = (uint16_t)(a + 1);
}

static bool expires_before(const stream_table_t *table, size_t a, size_t b)
{
	return table->rows[a].expires_ms < table->rows[b].expires_ms;
}

static void sift_up(stream_table_t *table, size_t i)
{
	while (i && expires_before(table, i, (i - 1) / 2)) {
		swap_rows(table, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(stream_table_t *table, size_t i)
{
	for (;;) {
		size_t first = i;

		for (size_t child = 2 * i + 1;
		     child <= 2 * i + 2 && child < table->count; child++) {
			if (expires_before(table, child, first))
				first = child;
		}
		if (first == i)
			return;
		swap_rows(table, i, first);
		i = first;
	}
}

/* Restores the order of the heap after row `i` has changed. */
static void sift(stream_table_t *table, size_t i)
{
	sift_up(table, i);
	sift_down(table, i);
}

static void remove_row(stream_table_t *table, size_t i)
{
	size_t last = table->count - 1;

	if (i != last)
		swap_rows(table, i, last);
	clear_slot(table, find_slot(table, table->rows[last].id));
	table->count--;
	if (i < table->count)
		sift(table, i);
}

static bool grow(stream_table_t *table)
{
	stream_table_t grown = { .count = table->count,
				 .capacity = table->capacity
						     ? table->capacity * 2
						     : CAPACITY_MIN };

	grown.rows =
		calloc(grown.capacity,
		       sizeof(*grown.rows) + SLOTS_PER_ROW * sizeof(uint16_t));
	if (!grown.rows)
		return false;
	if (table->rows)
		memcpy(grown.rows, table->rows,
		       table->count * sizeof(*grown.rows));
	for (size_t i = 0; i < grown.count; i++)
		slots_of(&grown)[find_slot(&grown, grown.rows[i].id)] =
			(uint16_t)(i + 1);
	free(table->rows);
	*table = grown;
	return true;
}

static void append_row(stream_table_t *table, const stream_row_t *row)
{
	size_t i = table->count++;

	table->rows[i] = *row;
	slots_of(table)[find_slot(table, row->id)] = (uint16_t)(i + 1);
	sift_up(table, i);
}

/* The row of a stream, expired or not. */
static stream_row_t *find_row(const stream_table_t *table, uint64_t id)
{
	uint16_t number;

	if (!table->rows)
		return NULL;
	number = slots_of(table)[find_slot(table, id)];
	return number ? &table->rows[number - 1] : NULL;
}

static bool replace_row(stream_table_t *table, stream_row_t *old,
			const stream_row_t *row)
{
	bool changed = old->software != row->software;

	if (changed)
		*old = *row;
	else
		old->expires_ms = row->expires_ms;
	sift(table, (size_t)(old - table->rows));
	return changed;
}

void stream_table_free(stream_table_t *table)
{
	free(table->rows);
	memset(table, 0, sizeof(*table));
}

bool stream_table_put(stream_table_t *table, const stream_row_t *row)
{
	stream_row_t *old;

	if (!row->id || !row->software)
		return false;
	old = find_row(table, row->id);
	if (old)
		return replace_row(table, old, row);
	if (table->rows && table->count == STREAM_TABLE_MAX) {
		if (row->expires_ms <= table->rows[0].expires_ms)
			return false;
		remove_row(table, 0);
	}
	if ((!table->rows || table->count == table->capacity) && !grow(table))
		return false;
	append_row(table, row);
	return true;
}

const stream_row_t *stream_table_find(const stream_table_t *table, uint64_t id,
				      uint64_t now_ms)
{
	const stream_row_t *row = find_row(table, id);

	return row && row->expires_ms > now_ms ? row : NULL;
}

bool stream_table_remove(stream_table_t *table, uint64_t id)
{
	const stream_row_t *row = find_row(table, id);

	if (!row)
		return false;
	remove_row(table, (size_t)(row - table->rows));
	return true;
}

void stream_table_expire(stream_table_t *table, uint64_t now_ms)
{
	while (table->count && table->rows[0].expires_ms <= now_ms)
		remove_row(table, 0);
	if (!table->count)
		stream_table_free(table);
}
