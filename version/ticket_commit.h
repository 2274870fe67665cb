/**
 * @file
 * Commits a batch of tickets to the object store, and brings a state to the
 * position of the head. A batch without tickets only does the latter.
 *
 * Takes events and returns one action at a time. Any action may be lost,
 * repeated or answered late; answers to any but the current action are ignored.
 * Pure logic: no I/O, clock or locks, except that config_build() loads time
 * zones.
 *
 * The steps are: write the content of each ticket as `ticket/<N>`; read
 * `config/head`; read the log pages and tickets (or snapshot shards) between
 * the state and the head; decide; write full pages of the log, and snapshot
 * shards if the log is full; update the head if its version is unchanged.
 * After a version conflict or a lost answer the commit reads the head again.
 *
 * To decide, a commit reads older log pages only for a ticket with an outdated
 * number that may have been accepted itself.
 *
 * Memory: one ticket_commit_t of about 64 KB, two ticket_state_t, and the
 * tickets of the batch.
 */
#ifndef VERSION_TICKET_COMMIT_H
#define VERSION_TICKET_COMMIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"
#include "version/ticket.h"

#define TICKET_PAGE_PREFIX "config/log/"

enum {
	/** Most tickets in one commit. */
	TICKET_BATCH_MAX = 64,
	TICKET_KEY_MAX_BYTES = 64,
};

typedef enum ticket_action_kind {
	TICKET_ACTION_NONE,   /**< Event had no effect; keep waiting. */
	TICKET_ACTION_GET,    /**< Read `key`. */
	TICKET_ACTION_CREATE, /**< Write `value` if `key` does not exist. */
	TICKET_ACTION_PUT,    /**< Write `value` if `key` has `version`. */
	TICKET_ACTION_WAIT,   /**< Send a timer event at `wait_until_ms`. */
	TICKET_ACTION_DONE,   /**< Results and state are final. */
} ticket_action_kind_t;

/** What the caller of ticket_commit_step() has to do next. */
typedef struct ticket_action {
	ticket_action_kind_t kind;
	uint32_t id; /**< Goes into the answer event. */
	char key[TICKET_KEY_MAX_BYTES];
	json_t *value;	  /**< Borrowed until the next event. */
	uint64_t version; /**< For TICKET_ACTION_PUT. */
	uint64_t wait_until_ms;
} ticket_action_t;

typedef enum ticket_event_kind {
	TICKET_EVENT_START,
	TICKET_EVENT_ANSWER, /**< The store answered an action. */
	TICKET_EVENT_TIMER,  /**< Time has passed; checks the timeouts. */
} ticket_event_kind_t;

/** Input of ticket_commit_step(). */
typedef struct ticket_event {
	ticket_event_kind_t kind;
	uint32_t id;	  /**< Of the answered action. */
	int err;	  /**< 0 or an error of the store client. */
	uint64_t version; /**< Of the object read. */
	json_t *value;	  /**< Content of the object read; borrowed. */
} ticket_event_t;

/** Limits and times of a commit; tests use smaller ones. */
typedef struct ticket_commit_options {
	uint32_t log_max;	/**< Entries; 0: TICKET_LOG_MAX. */
	uint32_t log_keep;	/**< Entries kept by compaction; 0: default. */
	uint32_t page_entries;	/**< Of a new head; 0: TICKET_PAGE_ENTRIES. */
	size_t head_max_bytes;	/**< 0: default. */
	size_t shard_max_bytes; /**< 0: default. */
	uint32_t first_retry_max_ms; /**< Longest first delay; 0: default. */
	uint32_t action_timeout_ms;  /**< 0: default. */
	uint64_t seed;		     /**< For the retry jitter. */
} ticket_commit_options_t;

typedef enum ticket_phase {
	/** Write the content of a ticket as `ticket/<N>`. */
	TICKET_PHASE_WRITE_CONTENT,
	/** Compare an existing `ticket/<N>` with the ticket. */
	TICKET_PHASE_COMPARE_CONTENT,
	TICKET_PHASE_READ_HEAD,
	/** Read the log page before the entries in memory. */
	TICKET_PHASE_READ_PAGE,
	/** Read the ticket at the position after the state's. */
	TICKET_PHASE_READ_TICKET,
	TICKET_PHASE_READ_SHARD,
	TICKET_PHASE_WRITE_PAGE,
	TICKET_PHASE_WRITE_SHARD,
	TICKET_PHASE_WRITE_HEAD,
	TICKET_PHASE_DONE,
} ticket_phase_t;

/** One ticket of the batch. */
typedef struct ticket_item {
	ticket_t ticket;
	ticket_result_t result;
	bool content_written; /**< `ticket/<N>` exists. */
	bool final;	      /**< `result` does not change any more. */
	bool deferred;	      /**< Left for the next head update. */
	/** The ticket was not accepted at this position or an earlier one. */
	uint64_t unaccepted_position;
	/** Head position before the update whose answer was lost. */
	uint64_t unknown_update_position;
	/** A head update with this ticket may have taken effect. */
	bool update_unknown;
} ticket_item_t;

typedef struct ticket_commit {
	ticket_commit_options_t options;
	rng_t rng;
	ticket_phase_t phase;
	bool waiting; /**< Delay before retrying the phase. */
	int err;
	uint32_t action_id;
	uint64_t action_started_ms;
	uint64_t wait_until_ms;
	uint64_t deadline_ms;
	uint64_t at_unix_ms;
	uint32_t retries; /**< Consecutive retries; sets the delay. */
	size_t index;	  /**< Item, shard or page of the phase. */
	ticket_item_t items[TICKET_BATCH_MAX];
	size_t count;
	ticket_state_t state;	   /**< At a position that the store has. */
	ticket_state_t next_state; /**< `state` and tickets to be accepted. */
	ticket_head_t head;
	ticket_head_t next_head;
	/** Array of `{position, content}` applied since start or snapshot. */
	json_t *applied;
	uint64_t head_version; /**< 0: the head does not exist. */
	json_t *shards;	       /**< Shards of the snapshot to write. */
	json_t *action_value;  /**< Value to write, owned. */
} ticket_commit_t;

/**
 * Starts a commit.
 * @param state state to start from; copied
 * @param at_unix_ms wall-clock time for the log entries
 * @param deadline_ms when to give up on an unavailable store, by the clock of
 *        `now_ms` in ticket_commit_step()
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_commit_init(ticket_commit_t *commit,
		       const ticket_commit_options_t *options,
		       const ticket_state_t *state, uint64_t at_unix_ms,
		       uint64_t deadline_ms);

/**
 * Adds a ticket before the start event.
 * @param index receives the ticket's index in `items`
 * @return 0, or ERR_LIMIT if the batch is full
 */
int ticket_commit_add(ticket_commit_t *commit, const ticket_t *ticket,
		      size_t *index);

/** Handles an event and fills in the next action. */
void ticket_commit_step(ticket_commit_t *commit, const ticket_event_t *event,
			uint64_t now_ms, ticket_action_t *action);

/**
 * After DONE: 0 if the state is at a head that was read or written,
 * ERR_STORE_DOWN if the store could not be read, or another error.
 */
int ticket_commit_error(const ticket_commit_t *commit);

/** Whether a finished commit wrote a head that refers to a new snapshot. */
bool ticket_commit_has_compacted(const ticket_commit_t *commit);

/** Store key of a page of the log. */
void ticket_page_key(uint64_t page, char key[TICKET_KEY_MAX_BYTES]);

/** Store key of a snapshot shard. */
void ticket_shard_key(uint64_t position, size_t shard,
		      char key[TICKET_KEY_MAX_BYTES]);

void ticket_commit_free(ticket_commit_t *commit);

#endif
