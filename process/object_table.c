#include "process/object_table.h"

#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

static void row_clear(object_row_t *row)
{
	free(row->name);
	json_decref(row->spec);
}

void object_table_free(object_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		row_clear(&table->rows[i]);
	free(table->rows);
	memset(table, 0, sizeof(*table));
}

static object_row_t *find_row(const object_table_t *table, const char *name)
{
	for (size_t i = 0; i < table->count; i++) {
		if (!strcmp(table->rows[i].name, name))
			return &table->rows[i];
	}
	return NULL;
}

static object_row_t *add_row(object_table_t *table, const char *name)
{
	object_row_t *row;

	if (table->count == table->size) {
		size_t size = table->size ? table->size * 2 : 16;
		object_row_t *rows = realloc(table->rows, size * sizeof(*rows));

		if (!rows)
			return NULL;
		table->rows = rows;
		table->size = size;
	}
	row = &table->rows[table->count];
	memset(row, 0, sizeof(*row));
	row->name = strdup(name);
	if (!row->name)
		return NULL;
	table->count++;
	return row;
}

static void remove_row(object_table_t *table, object_row_t *row)
{
	row_clear(row);
	*row = table->rows[--table->count];
}

void object_table_hold(object_table_t *table, uint64_t now_ms)
{
	if (table->hold_ms)
		table->hold_until_ms = now_ms + table->hold_ms;
}

/* Ends a row, or holds it; 1 if something changed. */
static int end_row(object_table_t *table, object_row_t *row, uint64_t now_ms)
{
	if (now_ms >= table->hold_until_ms) {
		remove_row(table, row);
		return 1;
	}
	if (!row->lapsed_until_ms)
		row->lapsed_until_ms = table->hold_until_ms;
	return 0;
}

static int put_item(object_table_t *table, const object_item_t *item)
{
	object_row_t *row = find_row(table, item->name);

	if (row && row->revision >= item->revision) {
		row->listed = true;
		row->lapsed_until_ms = 0;
		return 0;
	}
	if (!row)
		row = add_row(table, item->name);
	if (!row)
		return ERR_NO_MEMORY;
	json_decref(row->spec);
	row->spec = json_incref(item->spec);
	row->revision = item->revision;
	row->lapsed_until_ms = 0;
	row->listed = true;
	return 1;
}

void object_table_list_begin(object_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		table->rows[i].listed = false;
}

int object_table_list_add(object_table_t *table, const object_item_t *item)
{
	return put_item(table, item);
}

int object_table_list_end(object_table_t *table, uint64_t revision,
			  uint64_t now_ms)
{
	int changed = !table->complete;

	for (size_t i = table->count; i-- > 0;) {
		if (!table->rows[i].listed)
			changed |= end_row(table, &table->rows[i], now_ms);
	}
	table->complete = true;
	if (revision > table->revision)
		table->revision = revision;
	table->updated_ms = now_ms;
	return changed;
}

int object_table_apply(object_table_t *table, const object_page_t *page,
		       uint64_t now_ms)
{
	int changed = 0;

	for (size_t i = 0; i < page->count; i++) {
		const object_item_t *item = &page->items[i];
		object_row_t *row = find_row(table, item->name);
		int result = 0;

		if (!item->deleted)
			result = put_item(table, item);
		else if (row && row->revision <= item->revision)
			result = end_row(table, row, now_ms);
		if (result < 0)
			return result;
		changed |= result;
	}
	/* No event is no proof that there was none: the store may be about to
	 * drop its history, and says so when asked from here again. */
	if (page->count && page->revision > table->revision)
		table->revision = page->revision;
	table->updated_ms = now_ms;
	return changed;
}

int object_table_expire(object_table_t *table, uint64_t now_ms)
{
	int changed = 0;

	for (size_t i = table->count; i-- > 0;) {
		object_row_t *row = &table->rows[i];

		if (row->lapsed_until_ms && now_ms >= row->lapsed_until_ms) {
			remove_row(table, row);
			changed = 1;
		}
	}
	return changed;
}

uint64_t object_table_digest(const object_table_t *table)
{
	uint64_t digest = 0;

	for (size_t i = 0; i < table->count; i++) {
		const object_row_t *row = &table->rows[i];

		if (!row->lapsed_until_ms)
			digest ^= hash_chain(row->revision, row->name,
					     strlen(row->name));
	}
	return digest;
}

json_t *object_table_export(const object_table_t *table, uint64_t since)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < table->count; i++) {
		const object_row_t *row = &table->rows[i];

		if (row->lapsed_until_ms)
			continue;
		json_array_append_new(
			rows,
			json_pack("[s,I,O?]", row->name,
				  (json_int_t)row->revision,
				  row->revision > since ? row->spec : NULL));
	}
	return json_pack("{s:I,s:b,s:o}", "revision",
			 (json_int_t)table->revision, "complete",
			 table->complete, "rows", rows);
}

/* One row of a peer's table; as put_item(). */
static int import_row(object_table_t *table, const json_t *row)
{
	object_item_t item = {
		.name = json_string_value(json_array_get(row, 0)),
		.revision =
			(uint64_t)json_integer_value(json_array_get(row, 1)),
		.spec = json_array_get(row, 2),
	};
	const object_row_t *mine;

	if (!item.name)
		return ERR_BAD_JSON;
	mine = find_row(table, item.name);
	if (json_is_null(item.spec) &&
	    (!mine || mine->revision < item.revision))
		return ERR_BAD_JSON;
	return put_item(table, &item);
}

int object_table_import(object_table_t *table, const json_t *peer_table,
			uint64_t now_ms)
{
	const json_t *rows = json_object_get(peer_table, "rows");
	uint64_t revision = (uint64_t)json_integer_value(
		json_object_get(peer_table, "revision"));
	int changed = 0;
	size_t at;
	json_t *row;

	if (!json_is_array(rows))
		return ERR_BAD_JSON;
	if (!json_is_true(json_object_get(peer_table, "complete")) ||
	    (table->complete && revision <= table->revision))
		return 0;
	object_table_list_begin(table);
	json_array_foreach (rows, at, row) {
		int result = import_row(table, row);

		if (result < 0)
			return result;
		changed |= result;
	}
	return changed | object_table_list_end(table, revision, now_ms);
}
