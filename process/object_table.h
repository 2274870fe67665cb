/**
 * @file
 * Local copy of the store's objects of one kind, updated from lists and watches
 * of the store or from the table of a peer with a higher revision. Pure logic:
 * no I/O, clock or locks.
 *
 * The revisions of an object and of the table never go back, and neither does
 * the content of an object when the store is restored from an older copy. After
 * an outage of the store, removals are held: objects that expired during the
 * outage stay in the table for some time, since their owners write them again.
 * It is the same for objects that a restored store has lost; what the operator
 * has set is kept until it is set again.
 */
#ifndef PROCESS_OBJECT_TABLE_H
#define PROCESS_OBJECT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/object.h"

enum {
	/** Removed objects that are remembered, to recognise older copies. */
	OBJECT_REMOVED_MAX = 128,
	/** An older copy of a removed endpoint is not used for this long, ms:
	 * the store removes it again after three missing heartbeats of 1.2 s.
	 * If it stays, the endpoint is alive. */
	OBJECT_SUSPECT_MS = 4000,
	/** Contents of the endpoint list, bytes as object_entry counts them: a
	 * tenth of the memory of the smallest instance (96 MB). 12,000
	 * endpoints take 9 MB. */
	OBJECT_ENDPOINTS_MAX_BYTES = 10 * 1024 * 1024,
	/** Likewise of the lists of weights and of members: a hundred models,
	 * and over a thousand instances, take less than half of it. */
	OBJECT_OTHERS_MAX_BYTES = 1024 * 1024,
	/** What a decoded value counts for at least, bytes. */
	OBJECT_VALUE_BYTES = 48,
	/** Revisions and times of an entry in the text for peers, bytes. */
	OBJECT_ROW_BYTES = 64,
};

typedef struct object_entry {
	char *name;
	uint64_t revision;
	json_t *spec;
	/** At which the content was written; a restored store has the same
	 * content with another revision. */
	uint64_t content_revision;
	/** An older copy of an object that was removed; not to be used. */
	bool suspect;
	uint64_t suspect_until_ms; /**< Monotonic; 0: not known yet. */
	/** Monotonic time at which a removed object that is held is dropped;
	 * 0: not removed. */
	uint64_t drop_at_ms;
	bool listed; /**< Contained in the list that is being read. */
	/** Size of the name and the content: of their text for peers, but at
	 * least OBJECT_VALUE_BYTES for each value. */
	size_t bytes;
} object_entry_t;

/** See platform_object_order(). */
typedef object_order_t object_order_fn(object_kind_t kind, const json_t *spec);

/** An object that was removed. */
typedef struct removed_object {
	uint64_t name_hash;
	uint64_t revision; /**< Of the table at the removal. */
	object_order_t order;
} removed_object_t;

typedef struct object_table {
	object_kind_t kind;
	/** Tells older contents from newer ones; NULL: only revisions do. */
	object_order_fn *order;
	object_entry_t *entries;
	size_t count;
	size_t size;
	size_t cursor;	   /**< Where the next search begins. */
	uint64_t revision; /**< Of the store; all changes up to it are here. */
	bool complete;	   /**< A whole list was read at least once. */
	uint64_t hold_until_ms; /**< Removals before this time are held. */
	uint64_t hold_ms;	/**< Time to hold them; 0: do not hold. */
	uint64_t updated_ms;	/**< Monotonic time of the last update. */
	removed_object_t removed[OBJECT_REMOVED_MAX]; /**< Ring. */
	uint32_t removed_count; /**< Objects put into the ring so far. */
	size_t bytes;		/**< Of all entries. */
	/** Largest size of all entries, beyond which the largest ones are left
	 * out; 0: no limit. */
	size_t max_bytes;
	/** Entries left out since the last list began. */
	uint32_t left_out;
	/** One was removed since then, so that a list may find room. */
	bool has_room;
} object_table_t;

/** Default of `max_bytes` for tables of a kind; 0 for what is no list. */
size_t object_table_max_bytes(object_kind_t kind);

/** Frees the entries and clears the table. */
void object_table_free(object_table_t *table);

/** Holds removals for `hold_ms` from now on, if that is not 0; to be called at
 * the end of an outage of the store. */
void object_table_hold(object_table_t *table, uint64_t now_ms);

/**
 * Reads a whole list: begin, add each item, end. The end removes the objects
 * that the list does not contain.
 */
void object_table_list_begin(object_table_t *table);

/** @return 1 if it changed something, 0, or ERR_NO_MEMORY */
int object_table_list_add(object_table_t *table, const object_item_t *item);
int object_table_list_end(object_table_t *table, uint64_t revision,
			  uint64_t now_ms);

/**
 * Applies the answer to a watch.
 * @return 1 if it changed something, 0, or ERR_NO_MEMORY
 */
int object_table_apply(object_table_t *table, const object_page_t *page,
		       uint64_t now_ms);

/** Drops held entries whose time has passed, and admits suspect ones whose time
 * has passed; 1 if there were any. */
int object_table_expire(object_table_t *table, uint64_t now_ms);

/** Hash of names and revisions; equal for tables with the same content. */
uint64_t object_table_digest(const object_table_t *table);

/**
 * Encodes the table for a peer; NULL when out of memory. It has all names and
 * revisions, but the content only of objects written after `since`, and
 * the remaining time of objects that are held.
 */
json_t *object_table_export(const object_table_t *table, uint64_t since,
			    uint64_t now_ms);

/**
 * Encodes the whole table as object_table_export() does, but with the revision
 * of its newest object, so that instances with the same objects encode the
 * same.
 */
json_t *object_table_export_content(const object_table_t *table);

/**
 * Applies a peer's table if it is complete and its revision of the store is
 * higher.
 * @return 1 if it changed something, 0, ERR_NO_MEMORY, or ERR_BAD_JSON if it
 *         is invalid or lacks content that this table does not have; the table
 *         then keeps its revision
 */
int object_table_import(object_table_t *table, const json_t *peer_table,
			uint64_t now_ms);

#endif
