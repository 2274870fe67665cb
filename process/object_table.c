#include "process/object_table.h"

#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"
#include "process/store_revision.h"

size_t object_table_max_bytes(object_kind_t kind)
{
	switch (kind) {
	case OBJECT_ENDPOINTS:
		return OBJECT_ENDPOINTS_MAX_BYTES;
	case OBJECT_WEIGHTS:
	case OBJECT_MEMBERS:
		return OBJECT_OTHERS_MAX_BYTES;
	case OBJECT_DESIRED:
	case OBJECT_LEASES:
	case OBJECT_CRASHES:
	case OBJECT_STREAMS:
	case OBJECT_KIND_COUNT:
		break;
	}
	return 0;
}

static void clear_entry(object_entry_t *entry)
{
	free(entry->name);
	json_decref(entry->spec);
}

void object_table_free(object_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		clear_entry(&table->entries[i]);
	free(table->entries);
	memset(table, 0, sizeof(*table));
}

/* Searches from the last entry found on: lists and the tables of peers have
 * about the same order. */
static object_entry_t *find_entry(object_table_t *table, const char *name)
{
	for (size_t n = 0; n < table->count; n++) {
		size_t i = (table->cursor + n) % table->count;

		if (!strcmp(table->entries[i].name, name)) {
			table->cursor = i;
			return &table->entries[i];
		}
	}
	return NULL;
}

static object_entry_t *add_entry(object_table_t *table, const char *name)
{
	object_entry_t *entry;

	if (table->count == table->size) {
		size_t size = table->size ? table->size * 2 : 16;
		object_entry_t *entries =
			realloc(table->entries, size * sizeof(*entries));

		if (!entries)
			return NULL;
		table->entries = entries;
		table->size = size;
	}
	entry = &table->entries[table->count];
	memset(entry, 0, sizeof(*entry));
	entry->name = strdup(name);
	if (!entry->name)
		return NULL;
	table->count++;
	return entry;
}

static void remember_removed(object_table_t *table, const object_entry_t *entry)
{
	removed_object_t *removed =
		&table->removed[table->removed_count++ % OBJECT_REMOVED_MAX];

	removed->name_hash = hash_string(entry->name);
	removed->revision = table->revision;
	removed->order = table->order(table->kind, entry->spec);
}

/* Takes an entry out of the table; the last one gets its place. */
static void drop_entry(object_table_t *table, object_entry_t *entry)
{
	table->bytes -= entry->bytes;
	clear_entry(entry);
	*entry = table->entries[--table->count];
}

static void remove_entry(object_table_t *table, object_entry_t *entry)
{
	if (table->order && table->kind == OBJECT_ENDPOINTS)
		remember_removed(table, entry);
	drop_entry(table, entry);
	table->has_room = table->left_out > 0;
}

static size_t count_values(const json_t *value)
{
	const char *key;
	json_t *item;
	size_t index;
	size_t count = 1;

	json_array_foreach (value, index, item)
		count += count_values(item);
	json_object_foreach ((json_t *)value, key, item)
		count += count_values(item);
	return count;
}

static size_t entry_bytes(const object_entry_t *entry)
{
	CLEANUP_JSON json_t *row =
		json_pack("[s,O?]", entry->name, entry->spec);
	size_t text_bytes = json_dumpb(row, NULL, 0, JSON_COMPACT);
	size_t value_bytes = count_values(row) * OBJECT_VALUE_BYTES;

	return OBJECT_ROW_BYTES +
	       (text_bytes > value_bytes ? text_bytes : value_bytes);
}

/* Whether an entry is left out before another one. */
static bool is_larger(const object_entry_t *a, const object_entry_t *b)
{
	return a->bytes != b->bytes ? a->bytes > b->bytes
				    : strcmp(a->name, b->name) > 0;
}

/* Counts an entry whose content is new, and leaves out the largest entries if
 * there are too many bytes. */
static void update_bytes(object_table_t *table, object_entry_t *entry)
{
	table->bytes -= entry->bytes;
	entry->bytes = entry_bytes(entry);
	table->bytes += entry->bytes;
	while (table->max_bytes && table->bytes > table->max_bytes) {
		object_entry_t *largest = &table->entries[0];

		for (size_t i = 1; i < table->count; i++) {
			if (is_larger(&table->entries[i], largest))
				largest = &table->entries[i];
		}
		drop_entry(table, largest);
		table->left_out++;
	}
}

void object_table_hold(object_table_t *table, uint64_t now_ms)
{
	if (table->hold_ms)
		table->hold_until_ms = now_ms + table->hold_ms;
}

/* Removes an entry, or marks it for removal while removals are held; 1 if the
 * table changed. */
static int remove_or_hold(object_table_t *table, object_entry_t *entry,
			  uint64_t now_ms)
{
	if (now_ms >= table->hold_until_ms) {
		remove_entry(table, entry);
		return 1;
	}
	if (!entry->drop_at_ms)
		entry->drop_at_ms = table->hold_until_ms;
	return 0;
}

static bool precedes(object_order_t a, object_order_t b)
{
	return a.incarnation != b.incarnation ? a.incarnation < b.incarnation
					      : a.sequence < b.sequence;
}

/* Whether an item with a newer revision has an older content. The operator
 * numbers what it sets, and only a restore goes back. The time of an endpoint's
 * start may be from another clock, so it decides only after a restore. */
static bool has_older_content(const object_table_t *table,
			      const object_entry_t *entry,
			      const object_item_t *item)
{
	if (!table->order || (table->kind == OBJECT_ENDPOINTS &&
			      store_revision_era(item->revision) ==
				      store_revision_era(entry->revision)))
		return false;
	return precedes(table->order(table->kind, item->spec),
			table->order(table->kind, entry->spec));
}

/* Whether a restored store contains an object as it was before its removal. */
static bool is_copy_of_removed(const object_table_t *table,
			       const object_item_t *item)
{
	uint64_t name_hash = hash_string(item->name);
	uint32_t count = table->removed_count < OBJECT_REMOVED_MAX
				 ? table->removed_count
				 : OBJECT_REMOVED_MAX;

	for (uint32_t i = 0; i < count; i++) {
		const removed_object_t *removed = &table->removed[i];

		if (removed->name_hash == name_hash &&
		    store_revision_era(removed->revision) <
			    store_revision_era(item->revision) &&
		    !precedes(removed->order,
			      table->order(table->kind, item->spec)))
			return true;
	}
	return false;
}

/* The entry, and others, may be left out for want of room. */
static int put_item(object_table_t *table, const object_item_t *item)
{
	object_entry_t *entry = find_entry(table, item->name);
	bool resized = !entry;
	bool suspect =
		(!entry || entry->suspect) && is_copy_of_removed(table, item);

	if (entry && entry->revision >= item->revision) {
		entry->listed = true;
		entry->drop_at_ms = 0;
		return 0;
	}
	if (!entry)
		entry = add_entry(table, item->name);
	if (!entry)
		return ERR_NO_MEMORY;
	if (!json_equal(entry->spec, item->spec) &&
	    !has_older_content(table, entry, item)) {
		entry->content_revision = item->revision;
		json_decref(entry->spec);
		entry->spec = json_incref(item->spec);
		resized = true;
	}
	entry->revision = item->revision;
	entry->suspect = suspect;
	entry->suspect_until_ms = 0;
	entry->drop_at_ms = 0;
	entry->listed = true;
	if (resized)
		update_bytes(table, entry);
	return 1;
}

void object_table_list_begin(object_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		table->entries[i].listed = false;
	table->left_out = 0;
	table->has_room = false;
}

int object_table_list_add(object_table_t *table, const object_item_t *item)
{
	return put_item(table, item);
}

/* Whether an object that a list does not contain was set by the operator and
 * lost by a restore, as opposed to removed. */
static bool is_lost_setting(const object_table_t *table,
			    const object_entry_t *entry, uint64_t list_revision)
{
	return (table->kind == OBJECT_DESIRED ||
		table->kind == OBJECT_WEIGHTS) &&
	       store_revision_era(entry->revision) <
		       store_revision_era(list_revision);
}

int object_table_list_end(object_table_t *table, uint64_t revision,
			  uint64_t now_ms)
{
	int changed = !table->complete;

	if (table->complete &&
	    store_revision_era(revision) > store_revision_era(table->revision))
		object_table_hold(table, now_ms);
	for (size_t i = table->count; i-- > 0;) {
		object_entry_t *entry = &table->entries[i];

		if (!entry->listed && !is_lost_setting(table, entry, revision))
			changed |= remove_or_hold(table, entry, now_ms);
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
		object_entry_t *entry = find_entry(table, item->name);
		int result = 0;

		if (!item->deleted)
			result = put_item(table, item);
		else if (entry && entry->revision <= item->revision)
			result = remove_or_hold(table, entry, now_ms);
		if (result < 0)
			return result;
		changed |= result;
	}
	/* An empty answer does not prove that nothing changed: while the store
	 * drops its history, watches report no events. Keeping the revision
	 * makes the next watch fail, which leads to a new list. */
	if (page->count && page->revision > table->revision)
		table->revision = page->revision;
	table->updated_ms = now_ms;
	return changed;
}

int object_table_expire(object_table_t *table, uint64_t now_ms)
{
	int changed = 0;

	for (size_t i = table->count; i-- > 0;) {
		object_entry_t *entry = &table->entries[i];

		if (entry->suspect && !entry->suspect_until_ms)
			entry->suspect_until_ms = now_ms + OBJECT_SUSPECT_MS;
		if (entry->suspect && now_ms >= entry->suspect_until_ms) {
			entry->suspect = false;
			changed = 1;
		}
		if (entry->drop_at_ms && now_ms >= entry->drop_at_ms) {
			remove_entry(table, entry);
			changed = 1;
		}
	}
	return changed;
}

uint64_t object_table_digest(const object_table_t *table)
{
	uint64_t digest = 0;

	for (size_t i = 0; i < table->count; i++) {
		const object_entry_t *entry = &table->entries[i];

		if (!entry->drop_at_ms)
			digest ^= hash_chain(entry->revision, entry->name,
					     strlen(entry->name));
	}
	return digest;
}

/* Number of a revision for a peer that knows the era; 0, which is older than
 * all others, if it is from an earlier era. */
static json_int_t number_within(uint64_t era, uint64_t revision)
{
	return store_revision_era(revision) == era
		       ? (json_int_t)store_revision_number(revision)
		       : 0;
}

static json_t *export_entry(const object_table_t *table,
			    const object_entry_t *entry, uint64_t since,
			    uint64_t now_ms)
{
	uint64_t era = store_revision_era(table->revision);
	json_int_t number = number_within(era, entry->revision);
	uint64_t held_ms = entry->drop_at_ms ? entry->drop_at_ms - now_ms : 0;
	json_t *row =
		json_pack("[s,I,O?]", entry->name, number,
			  entry->content_revision > since ? entry->spec : NULL);

	/* A peer takes the revision for that of the content. */
	if (row &&
	    (held_ms || entry->content_revision !=
				store_revision_make(era, (uint64_t)number))) {
		json_array_append_new(row, json_integer((json_int_t)held_ms));
		json_array_append_new(
			row, json_integer((json_int_t)entry->content_revision));
	}
	return row;
}

json_t *object_table_export(const object_table_t *table, uint64_t since,
			    uint64_t now_ms)
{
	uint64_t era = store_revision_era(table->revision);
	json_t *entries = json_array();

	for (size_t i = 0; i < table->count; i++) {
		const object_entry_t *entry = &table->entries[i];

		if (!entry->drop_at_ms || entry->drop_at_ms > now_ms)
			json_array_append_new(
				entries,
				export_entry(table, entry, since, now_ms));
	}
	return json_pack("{s:I,s:I,s:b,s:o}", "era", (json_int_t)era,
			 "revision", number_within(era, table->revision),
			 "complete", table->complete, "rows", entries);
}

json_t *object_table_export_content(const object_table_t *table)
{
	uint64_t era = store_revision_era(table->revision);
	json_t *state = object_table_export(table, 0, 0);
	json_int_t newest = 0;

	for (size_t i = 0; i < table->count; i++) {
		json_int_t number =
			number_within(era, table->entries[i].revision);

		if (number > newest)
			newest = number;
	}
	json_object_set_new(state, "revision", json_integer(newest));
	return state;
}

/* Applies one entry of a peer's table; returns as put_item(). */
static int import_entry(object_table_t *table, uint64_t era,
			const json_t *entry, uint64_t now_ms)
{
	uint64_t held_ms =
		(uint64_t)json_integer_value(json_array_get(entry, 3));
	object_item_t item = {
		.name = json_string_value(json_array_get(entry, 0)),
		.revision = store_revision_make(
			era,
			(uint64_t)json_integer_value(json_array_get(entry, 1))),
		.spec = json_array_get(entry, 2),
	};
	const json_t *content = json_array_get(entry, 4);
	uint64_t content_revision =
		content ? (uint64_t)json_integer_value(content) : item.revision;
	object_entry_t *current;
	int result;

	if (!item.name)
		return ERR_BAD_JSON;
	current = find_entry(table, item.name);
	if (json_is_null(item.spec)) {
		if (!current || (current->revision < item.revision &&
				 current->content_revision != content_revision))
			return ERR_BAD_JSON;
		item.spec = current->spec;
	}
	result = put_item(table, &item);
	if (result < 0)
		return result;
	current = find_entry(table, item.name);
	if (!current)
		return result;
	if (result && current->spec == item.spec)
		current->content_revision = content_revision;
	if (held_ms)
		current->drop_at_ms = now_ms + held_ms;
	return result;
}

int object_table_import(object_table_t *table, const json_t *peer_table,
			uint64_t now_ms)
{
	const json_t *entries = json_object_get(peer_table, "rows");
	uint64_t era = (uint64_t)json_integer_value(
		json_object_get(peer_table, "era"));
	uint64_t revision = store_revision_make(
		era, (uint64_t)json_integer_value(
			     json_object_get(peer_table, "revision")));
	int changed = 0;
	size_t i;
	json_t *entry;

	if (!json_is_array(entries))
		return ERR_BAD_JSON;
	if (!json_is_true(json_object_get(peer_table, "complete")) ||
	    (table->complete && revision <= table->revision))
		return 0;
	object_table_list_begin(table);
	json_array_foreach (entries, i, entry) {
		int result = import_entry(table, era, entry, now_ms);

		if (result < 0)
			return result;
		changed |= result;
	}
	return changed | object_table_list_end(table, revision, now_ms);
}
