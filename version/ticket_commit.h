/**
 * @file
 * Commits a batch of tickets to the object API, and brings a state to the
 * position of the head. A batch without tickets only does the latter.
 *
 * A state machine: it takes events and returns one action at a time. It has
 * no clock and does no I/O. Any action may be lost, repeated or answered late;
 * answers to other than the current action are ignored.
 *
 * The steps are: write each content as `ticket/<N>`; read `config/head`; read
 * the pages, tickets (or snapshot shards) between the state and the head;
 * decide; write full pages of the log, and snapshot shards if the log is full;
 * update the head under its version. After a failed condition or a lost answer
 * it goes on with reading the head.
 *
 * A deciding commit reads older pages only for a ticket that an accepted one
 * has passed and that may have been accepted itself.
 *
 * State: one ticket_commit_t of about 64 KB, two ticket_state_t, and the
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
	/** Most tickets that share a head update. */
	TICKET_BATCH_MAX = 64,
	TICKET_KEY_MAX_BYTES = 64,
};

typedef enum ticket_action_kind {
	TICKET_ACTION_NONE,   /**< The event changed nothing; go on waiting. */
	TICKET_ACTION_GET,    /**< Read `key`. */
	TICKET_ACTION_CREATE, /**< Write `value` if `key` does not exist. */
	TICKET_ACTION_PUT,    /**< Write `value` if `key` has `version`. */
	TICKET_ACTION_WAIT,   /**< Send a time event at `until_ms`. */
	TICKET_ACTION_DONE,   /**< Results and state are final. */
} ticket_action_kind_t;

typedef struct ticket_action {
	ticket_action_kind_t kind;
	uint32_t id; /**< To be given with the answer. */
	char key[TICKET_KEY_MAX_BYTES];
	json_t *value; /**< Borrowed until the next event. */
	uint64_t version;
	uint64_t until_ms;
} ticket_action_t;

typedef enum ticket_event_kind {
	TICKET_EVENT_START,
	TICKET_EVENT_ANSWER,
	TICKET_EVENT_TIME,
} ticket_event_kind_t;

typedef struct ticket_event {
	ticket_event_kind_t kind;
	uint32_t id;	  /**< Of the action that is answered. */
	int err;	  /**< 0 or an error of the store client. */
	uint64_t version; /**< Of an object that was read. */
	json_t *value;	  /**< Of an object that was read; borrowed. */
} ticket_event_t;

typedef struct ticket_commit_options {
	uint32_t log_max;	/**< Entries; 0 for TICKET_LOG_MAX. */
	uint32_t log_keep;	/**< Entries kept by compaction. */
	uint32_t page_entries;	/**< Of a new head; 0: TICKET_PAGE_ENTRIES. */
	size_t head_max_bytes;	/**< 0 for the default. */
	size_t shard_max_bytes; /**< 0 for the default. */
	uint32_t retry_ms;	/**< Longest first delay; 0: default. */
	uint32_t action_timeout_ms;
	uint64_t seed;
} ticket_commit_options_t;

typedef enum ticket_phase {
	TICKET_PHASE_CONTENT,
	TICKET_PHASE_COMPARE,
	TICKET_PHASE_HEAD,
	TICKET_PHASE_LOG,
	TICKET_PHASE_CATCH_UP,
	TICKET_PHASE_SNAPSHOT,
	TICKET_PHASE_PAGE,
	TICKET_PHASE_COMPACT,
	TICKET_PHASE_PUT,
	TICKET_PHASE_DONE,
} ticket_phase_t;

/** One waiting ticket. */
typedef struct ticket_item {
	ticket_t ticket;
	ticket_result_t result;
	bool written; /**< `ticket/<N>` has its content. */
	bool final;
	bool deferred; /**< Left to the next head update. */
	/** It was not accepted at this position or before. */
	uint64_t since;
	/** Position of the head that a lost update may have replaced. */
	uint64_t maybe_position;
	bool maybe;
} ticket_item_t;

typedef struct ticket_commit {
	ticket_commit_options_t options;
	rng_t rng;
	ticket_phase_t phase;
	bool waiting; /**< Between two attempts of the phase. */
	int failure;
	uint32_t action_id;
	uint64_t action_started_ms;
	uint64_t until_ms;
	uint64_t deadline_ms;
	uint64_t at_unix_ms;
	uint32_t attempts; /**< Delays in a row. */
	size_t index;	   /**< Item or shard of the phase. */
	ticket_item_t items[TICKET_BATCH_MAX];
	size_t count;
	ticket_state_t state; /**< At a position read from the store. */
	ticket_state_t next;  /**< State with the accepted tickets. */
	ticket_head_t head;
	ticket_head_t next_head;
	/** Rows `{position, content}` applied since the start or snapshot. */
	json_t *applied;
	uint64_t head_version; /**< 0: the head does not exist. */
	json_t *shards;	       /**< Snapshot that is being written. */
	json_t *value;	       /**< Value of the current action. */
} ticket_commit_t;

/**
 * Starts a commit.
 * @param state where to start from; copied
 * @param at_unix_ms time of day for the log
 * @param deadline_ms when to give up on an unavailable store
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_commit_init(ticket_commit_t *commit,
		       const ticket_commit_options_t *options,
		       const ticket_state_t *state, uint64_t at_unix_ms,
		       uint64_t deadline_ms);

/**
 * Adds a ticket before the start event.
 * @param index receives its place in `items`
 * @return 0, or ERR_LIMIT if the batch is full
 */
int ticket_commit_add(ticket_commit_t *commit, const ticket_t *ticket,
		      size_t *index);

/** Takes an event and gives the next action. */
void ticket_commit_step(ticket_commit_t *commit, const ticket_event_t *event,
			uint64_t now_ms, ticket_action_t *action);

/**
 * After DONE: 0 if the state is at a head that was read or written,
 * ERR_STORE_DOWN if the store could not be read, or another error.
 */
int ticket_commit_error(const ticket_commit_t *commit);

/** Whether a finished commit wrote a head that names a new snapshot. */
bool ticket_commit_has_compacted(const ticket_commit_t *commit);

/** Key of a page of the log. */
void ticket_page_key(uint64_t page, char key[TICKET_KEY_MAX_BYTES]);

/** Key of a snapshot shard. */
void ticket_shard_key(uint64_t position, size_t shard,
		      char key[TICKET_KEY_MAX_BYTES]);

void ticket_commit_free(ticket_commit_t *commit);

#endif
