/**
 * @file
 * Change tickets: parsing, the accepted state, the head and its log, and the
 * decision whether a ticket is accepted.
 *
 * A ticket is a numbered change to one or more configuration objects. It is
 * accepted as a whole if its number is above the highest accepted number of
 * every object it touches. Each accepted ticket gets the next position. The
 * head, stored as `config/head`, holds the latest position and the log of
 * accepted tickets; older log entries are moved to pages of the log.
 *
 * The caller owns the state. Pure logic: no I/O, clock or locks.
 */
#ifndef VERSION_TICKET_H
#define VERSION_TICKET_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/hash.h"
#include "version/config.h"

enum {
	/** Most objects in one ticket; limits its log entry in the head. */
	TICKET_OBJECTS_MAX = 4096,
	/** Largest content of a ticket as compact JSON, bytes. */
	TICKET_MAX_BYTES = 900000,
	/** Largest state of one object as compact JSON, bytes. */
	TICKET_OBJECT_MAX_BYTES = 65536,
	/** With the terminating NUL. */
	TICKET_AUTHOR_MAX_BYTES = 64,
	/** Most entries in the log, counting pages and the head. */
	TICKET_LOG_MAX = 512,
	/** Entries in a page of the log; limits the bytes read per change. */
	TICKET_PAGE_ENTRIES = 16,
	/** Largest `page_entries` accepted in a stored head. */
	TICKET_PAGE_ENTRIES_MAX = 256,
};

/** A ticket with a valid structure; its objects are not validated yet. */
typedef struct ticket {
	uint64_t number;
	char author[TICKET_AUTHOR_MAX_BYTES];
	/** SHA-256 of the compact JSON with sorted keys, hex. */
	char digest[HASH_DIGEST_HEX_BYTES];
	json_t *content; /**< Owned reference. */
	json_t *objects; /**< Borrowed from `content`. */
} ticket_t;

/** The outcome for one ticket. */
typedef struct ticket_result {
	/**
	 * 0: accepted. ERR_TICKET_INVALID, ERR_TICKET_STALE,
	 * ERR_TICKET_CONFLICT, ERR_LIMIT: refused. ERR_STORE_DOWN: not
	 * accepted. ERR_STORE_UNKNOWN: may have been accepted; submit it
	 * again.
	 */
	int err;
	uint64_t number;
	/** Position of an accepted ticket; 0 if the log no longer has it. */
	uint64_t position;
	bool repeated; /**< Accepted by an earlier request. */
	/** With ERR_TICKET_STALE: highest accepted number of the object. */
	uint64_t highest_number;
	config_problem_t problem;
} ticket_result_t;

/** All objects and their ticket numbers at one position. */
typedef struct ticket_state {
	uint64_t position;
	json_t *objects; /**< Object by key, without deleted objects. */
	/** Highest accepted ticket number by key, with deleted objects. */
	json_t *numbers;
} ticket_state_t;

/**
 * The parsed `config/head`, and log entries that were loaded from pages.
 *
 * The log covers the positions above `log_position`. The latest entries are in
 * the head; page n holds the positions n * page_entries + 1 to
 * (n + 1) * page_entries. A page holds accepted entries only, so concurrent
 * writers of a page write equal values.
 */
typedef struct ticket_head {
	uint64_t position;
	uint64_t snapshot_position;
	uint32_t snapshot_shards;
	uint64_t log_position; /**< A multiple of `page_entries`. */
	uint32_t page_entries;
	json_t *log; /**< Array of entries with consecutive positions. */
	/** Leading entries of `log` that the stored head omits; pages have
	 * them. */
	size_t paged_count;
} ticket_head_t;

/**
 * Checks the structure of a ticket.
 * @param ticket filled in on success; holds a reference to `content`
 * @param problem filled in on ERR_TICKET_INVALID
 * @return 0, ERR_TICKET_INVALID or ERR_NO_MEMORY
 */
int ticket_parse(json_t *content, ticket_t *ticket, config_problem_t *problem);
void ticket_free(ticket_t *ticket);

/** SHA-256 of a ticket's content, hex. @return 0 or ERR_NO_MEMORY */
int ticket_digest(const json_t *content, char digest[HASH_DIGEST_HEX_BYTES]);

/** Creates an empty state at position 0. @return 0 or ERR_NO_MEMORY */
int ticket_state_init(ticket_state_t *state);
void ticket_state_free(ticket_state_t *state);
/**
 * Copies a state. Both share the objects, which are never modified.
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_state_copy(const ticket_state_t *state, ticket_state_t *copy);

/**
 * Applies the content of the ticket at the next position.
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_FIELD if the content is not a ticket
 *         or the position is not the next one
 */
int ticket_state_apply(ticket_state_t *state, uint64_t position,
		       const json_t *content);

/** Builds `{position, objects, numbers}`; NULL when out of memory. */
json_t *ticket_state_to_json(const ticket_state_t *state);

/**
 * Reads a snapshot that ticket_state_to_json() built.
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_FIELD if a member is missing or an
 *         object has no valid number
 */
int ticket_state_from_json(const json_t *snapshot, ticket_state_t *state);

/** Creates an empty head at position 0. @return 0 or ERR_NO_MEMORY */
int ticket_head_init(ticket_head_t *head, uint32_t page_entries);
/** Reads a stored head. @return 0, ERR_BAD_FIELD or ERR_NO_MEMORY */
int ticket_head_from_json(const json_t *value, ticket_head_t *head);
/** Value to store, without entries in pages; NULL when out of memory. */
json_t *ticket_head_to_json(const ticket_head_t *head);
/** Copies a head; both share the entries. @return 0 or ERR_NO_MEMORY */
int ticket_head_copy(const ticket_head_t *head, ticket_head_t *copy);
void ticket_head_free(ticket_head_t *head);

/** Log entry at a position; NULL if it is not in memory. */
const json_t *ticket_head_entry(const ticket_head_t *head, uint64_t position);

/** Log entry of a ticket; NULL if it is not in memory. */
const json_t *ticket_head_find(const ticket_head_t *head, uint64_t number);

/**
 * Appends an accepted ticket at the next position.
 * @param at_unix_ms wall-clock time of acceptance
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_head_append(ticket_head_t *head, const ticket_t *ticket,
		       uint64_t at_unix_ms);

/** Position before the first log entry in memory. */
uint64_t ticket_head_base_position(const ticket_head_t *head);

/** Number of the page for a position; positions start at 1. */
uint64_t ticket_head_page_number(const ticket_head_t *head, uint64_t position);

/**
 * Makes the value of the next page to write.
 * @param accepted position up to which the entries are accepted
 * @param number receives the page number
 * @return NULL if there is no full page of accepted entries, or when out of
 *         memory
 */
json_t *ticket_head_make_page(const ticket_head_t *head, uint64_t accepted,
			      uint64_t *number);

/** Omits the entries of the page just written from the stored head. */
void ticket_head_mark_page_written(ticket_head_t *head);

/**
 * Prepends the page that ends at ticket_head_base_position().
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_FIELD if it is not that page
 */
int ticket_head_prepend_page(ticket_head_t *head, const json_t *page);

/**
 * Drops the object keys from accepted entries if the stored head would be
 * larger than `max_bytes`. The keys remain available in `ticket/<N>`.
 * @param accepted position up to which the entries are accepted
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_head_trim(ticket_head_t *head, uint64_t accepted, size_t max_bytes);

/** Whether the log needs compaction before the head is written. */
bool ticket_head_needs_compaction(const ticket_head_t *head, size_t log_max);

/**
 * Makes the head refer to a snapshot and removes whole pages that the snapshot
 * covers from the log, keeping at least `keep` entries.
 */
void ticket_head_compact(ticket_head_t *head, uint64_t snapshot_position,
			 uint32_t shards, size_t keep);

/**
 * Whether an object of the ticket has an accepted number equal to or above the
 * ticket's. If not, this ticket has not been accepted.
 */
bool ticket_is_outdated(const ticket_state_t *state, const ticket_t *ticket);

/**
 * Decides by number whether a ticket can be accepted.
 * @param head must be at the state's position; its log finds repeats
 * @param result filled in; if false is returned, it is the outcome
 * @return whether the ticket can be accepted now
 */
bool ticket_decide(const ticket_head_t *head, const ticket_state_t *state,
		   const ticket_t *ticket, ticket_result_t *result);

/**
 * Splits a state into snapshot shards. The result depends on the state only,
 * so concurrent writers write equal values.
 * @return JSON array of shards of at most `max_bytes` each; NULL when out of
 *         memory or if an object does not fit into a shard
 */
json_t *ticket_snapshot_split(const ticket_state_t *state, size_t max_bytes);

/**
 * Adds a snapshot shard to a state that is being loaded.
 * @return 0, ERR_BAD_FIELD or ERR_NO_MEMORY
 */
int ticket_snapshot_merge(ticket_state_t *state, const json_t *shard);

#endif
