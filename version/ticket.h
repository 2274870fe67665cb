/**
 * @file
 * Change tickets: parsing, the accepted state, the head and its log, and the
 * decision whether a ticket is accepted.
 *
 * A ticket is accepted as a whole if its number is above the highest accepted
 * number of every object it touches. Nothing here does I/O; the state is
 * owned by the caller.
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
	/** Most objects one ticket touches; bounds its entry in the head. */
	TICKET_OBJECTS_MAX = 4096,
	/** Largest content of a ticket as compact JSON, bytes. */
	TICKET_MAX_BYTES = 900000,
	/** Largest state of one object as compact JSON, bytes. */
	TICKET_OBJECT_MAX_BYTES = 65536,
	TICKET_AUTHOR_MAX_BYTES = 64,
	/** Most entries of the log, in pages and in the head. */
	TICKET_LOG_MAX = 512,
	/** Entries of a page of the log; bounds what a change costs to read. */
	TICKET_PAGE_ENTRIES = 16,
	/** Largest number of entries of a page that a head may name. */
	TICKET_PAGE_ENTRIES_MAX = 256,
};

/** A ticket with valid form; its objects are not validated yet. */
typedef struct ticket {
	uint64_t number;
	char author[TICKET_AUTHOR_MAX_BYTES];
	/** SHA-256 of the content with sorted fields, hex. */
	char digest[HASH_DIGEST_HEX_BYTES];
	json_t *content; /**< Own reference. */
	json_t *objects; /**< Part of the content. */
} ticket_t;

/** The outcome for one ticket. */
typedef struct ticket_result {
	/**
	 * 0: accepted. ERR_TICKET_INVALID, ERR_TICKET_STALE,
	 * ERR_TICKET_CONFLICT, ERR_LIMIT: refused. ERR_STORE_DOWN: not
	 * accepted. ERR_STORE_UNKNOWN: may be accepted; apply it again.
	 */
	int err;
	uint64_t number;
	/** Position of an accepted ticket; 0 if it is older than the log. */
	uint64_t position;
	bool repeated;		 /**< It had been accepted before. */
	uint64_t highest_number; /**< With ERR_TICKET_STALE: of the object. */
	config_problem_t problem;
} ticket_result_t;

/** All objects and numbers at one position. */
typedef struct ticket_state {
	uint64_t position;
	json_t *objects; /**< Key to state, without deleted objects. */
	/** Key to highest accepted number, with deleted objects. */
	json_t *numbers;
} ticket_state_t;

/**
 * The parsed `config/head`, and entries that were added from pages.
 *
 * The log covers the positions above `log_position`. The latest entries are in
 * the head; page n holds the positions n * page_entries + 1 to
 * (n + 1) * page_entries. A page holds accepted entries only, so all writers
 * of a page write the same value.
 */
typedef struct ticket_head {
	uint64_t position;
	uint64_t snapshot_position;
	uint32_t snapshot_shards;
	uint64_t log_position; /**< A multiple of `page_entries`. */
	uint32_t page_entries;
	json_t *log; /**< Array of entries with consecutive positions. */
	/** Entries at the start of `log` that the written head leaves out. */
	size_t paged;
} ticket_head_t;

/**
 * Checks the form of a ticket.
 * @param problem filled in on ERR_TICKET_INVALID
 * @return 0, ERR_TICKET_INVALID or ERR_NO_MEMORY
 */
int ticket_parse(json_t *content, ticket_t *ticket, config_problem_t *problem);
void ticket_free(ticket_t *ticket);

/** Digest of a content; ERR_NO_MEMORY. */
int ticket_digest(const json_t *content, char digest[HASH_DIGEST_HEX_BYTES]);

/** Empty state at position 0; ERR_NO_MEMORY. */
int ticket_state_init(ticket_state_t *state);
void ticket_state_free(ticket_state_t *state);
/** Copy that shares the objects' states, which are never changed. */
int ticket_state_copy(const ticket_state_t *state, ticket_state_t *copy);

/**
 * Applies the content of the ticket at the next position.
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_FIELD if the content has not the form
 *         of a ticket or the position is not the next one
 */
int ticket_state_apply(ticket_state_t *state, uint64_t position,
		       const json_t *content);

/** Snapshot `{position, objects, numbers}`; NULL when out of memory. */
json_t *ticket_state_to_json(const ticket_state_t *state);

/**
 * Reads a snapshot.
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_FIELD if a member is missing or an
 *         object has no number
 */
int ticket_state_from_json(const json_t *snapshot, ticket_state_t *state);

/** Empty head at position 0; ERR_NO_MEMORY. */
int ticket_head_init(ticket_head_t *head, uint32_t page_entries);
/** Reads a head; ERR_BAD_FIELD, ERR_NO_MEMORY. */
int ticket_head_from_json(const json_t *value, ticket_head_t *head);
json_t *ticket_head_to_json(const ticket_head_t *head);
int ticket_head_copy(const ticket_head_t *head, ticket_head_t *copy);
void ticket_head_free(ticket_head_t *head);

/** Entry of the log at a position; NULL if the log does not hold it. */
const json_t *ticket_head_entry(const ticket_head_t *head, uint64_t position);

/** Entry of a ticket; NULL if the entries held do not have it. */
const json_t *ticket_head_find(const ticket_head_t *head, uint64_t number);

/**
 * Appends an accepted ticket at the next position.
 * @param at_unix_ms time of day of the acceptance
 */
int ticket_head_append(ticket_head_t *head, const ticket_t *ticket,
		       uint64_t at_unix_ms);

/** Position before the first entry that is held in memory. */
uint64_t ticket_head_start(const ticket_head_t *head);

/** Number of the page that holds a position above 0. */
uint64_t ticket_head_page(const ticket_head_t *head, uint64_t position);

/**
 * Makes the value of the next page.
 * @param accepted position up to which the entries are accepted
 * @param number receives the number of the page
 * @return NULL if no page is full or when out of memory
 */
json_t *ticket_head_full_page(const ticket_head_t *head, uint64_t accepted,
			      uint64_t *number);

/** Leaves out the entries of the next page, which has been written. */
void ticket_head_drop_page(ticket_head_t *head);

/**
 * Adds the page that ends at ticket_head_start().
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_FIELD if it is another page
 */
int ticket_head_add_page(ticket_head_t *head, const json_t *page);

/**
 * Drops the keys of accepted entries if the head is larger than `max_bytes`;
 * `ticket/<N>` has them.
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_head_trim(ticket_head_t *head, uint64_t accepted, size_t max_bytes);

/** Whether the log needs compaction before the head is written. */
bool ticket_head_is_full(const ticket_head_t *head, size_t log_max);

/**
 * Makes the head name a snapshot and drops whole pages that it covers, down
 * to `keep` entries.
 */
void ticket_head_compact(ticket_head_t *head, uint64_t snapshot_position,
			 uint32_t shards, size_t keep);

/**
 * Whether an accepted ticket touches an object with this number or a higher
 * one. If not, this ticket has not been accepted.
 */
bool ticket_is_passed(const ticket_state_t *state, const ticket_t *ticket);

/**
 * Decides about a ticket by its number.
 * @param head the log; must be at the state's position
 * @return whether it can be accepted now; otherwise the result is filled in
 */
bool ticket_decide(const ticket_head_t *head, const ticket_state_t *state,
		   const ticket_t *ticket, ticket_result_t *result);

/**
 * Splits a state into snapshot shards. The same state always gives the same
 * shards, so that racing writers write equal values.
 * @return JSON array of shards of at most `max_bytes`; NULL when out of
 *         memory or if one object is too large
 */
json_t *ticket_snapshot_split(const ticket_state_t *state, size_t max_bytes);

/** Adds a shard to a state that is being loaded; ERR_BAD_FIELD. */
int ticket_snapshot_merge(ticket_state_t *state, const json_t *shard);

#endif
