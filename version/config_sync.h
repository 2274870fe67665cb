/**
 * @file
 * Decides how an instance learns of configuration changes: whether it watches
 * the store, and what it fetches from which peer or from the store.
 *
 * Two instances of each failure domain, chosen by rendezvous hashing over the
 * live members, watch the store; the others learn positions by gossip and
 * fetch from peers. The position only rises.
 *
 * State: one config_sync_t of about 48 KB. The log of recent contents holds
 * at most CONFIG_LOG_MAX_BYTES of JSON text.
 */
#ifndef VERSION_CONFIG_SYNC_H
#define VERSION_CONFIG_SYNC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"
#include "version/ticket.h"

enum {
	CONFIG_SYNC_MEMBERS_MAX = 1024,
	/** Instances of a failure domain that watch the store. */
	CONFIG_SYNC_WATCHERS = 2,
	/** Most contents kept for deltas. */
	CONFIG_LOG_MAX = 512,
	CONFIG_LOG_MAX_BYTES = 2 << 20,
	/** A larger delta is answered with a snapshot or in parts. */
	CONFIG_DELTA_MAX_BYTES = 256 << 10,
};

/** Age in a gossip event whose sender did not state one. */
#define CONFIG_AGE_UNKNOWN UINT64_MAX

/** A live member; ids and domains are hash_string() of their names. */
typedef struct config_sync_member {
	uint64_t id;
	uint64_t domain;
	uint64_t position; /**< Highest position it is known to have. */
	uint64_t avoid_until_ms;
} config_sync_member_t;

typedef enum config_sync_event_kind {
	CONFIG_SYNC_TICK,
	CONFIG_SYNC_MEMBERS, /**< The live members changed. */
	CONFIG_SYNC_GOSSIP,  /**< A member has a position. */
	CONFIG_SYNC_HEAD,    /**< The store's head was seen by the watch. */
	CONFIG_SYNC_FETCHED, /**< The current fetch ended. */
	CONFIG_SYNC_ADOPTED, /**< Another way raised the position. */
} config_sync_event_kind_t;

typedef struct config_sync_event {
	config_sync_event_kind_t kind;
	union {
		struct {
			/** Id, domain and position. */
			const config_sync_member_t *rows;
			size_t count;
		} members;
		struct {
			uint64_t member;
			uint64_t position;
			/** Of its configuration, or CONFIG_AGE_UNKNOWN. */
			uint64_t age_ms;
		} gossip;
		struct {
			uint64_t position;
		} head;
		struct {
			uint32_t id; /**< Of the fetch action. */
			int err;
			uint64_t position; /**< What is in force now. */
		} fetched;
		struct {
			uint64_t position;
		} adopted;
	};
} config_sync_event_t;

typedef enum config_sync_action_kind {
	CONFIG_SYNC_NONE,
	CONFIG_SYNC_WATCH_START,
	CONFIG_SYNC_WATCH_STOP,
	CONFIG_SYNC_FETCH_PEER,	    /**< Everything after `from`. */
	CONFIG_SYNC_FETCH_STORE,    /**< Catch up with the head. */
	CONFIG_SYNC_LOAD_BOOTSTRAP, /**< Last source at start-up. */
} config_sync_action_kind_t;

typedef struct config_sync_action {
	config_sync_action_kind_t kind;
	uint32_t id;   /**< Of a fetch or load; given with its result. */
	uint64_t peer; /**< Only of FETCH_PEER. */
	uint64_t from; /**< Only of FETCH_PEER; 0 asks for a snapshot. */
} config_sync_action_t;

typedef struct config_sync {
	uint64_t self;
	uint64_t domain;
	rng_t rng;
	bool has_bootstrap;
	bool in_force; /**< Some configuration is in force. */
	uint64_t position;
	uint64_t target;     /**< Highest position known anywhere. */
	uint64_t behind_ms;  /**< When it last fell behind the target. */
	uint64_t news_ms;    /**< Last gossip or answer of the store. */
	uint64_t store_head; /**< Highest position seen in the store. */
	uint64_t store_head_ms;
	uint64_t started_ms;
	bool confirmed;
	uint64_t confirmed_ms; /**< When the position was known current. */
	bool watching;
	config_sync_member_t members[CONFIG_SYNC_MEMBERS_MAX];
	size_t member_count;
	bool fetching;
	config_sync_action_t fetch;
	uint64_t fetch_started_ms;
	uint64_t store_after_ms; /**< No fetch from the store before. */
	uint32_t store_failures; /**< Consecutive. */
	uint32_t start_failures; /**< Failed peers at start-up. */
} config_sync_t;

/**
 * Starts with nothing in force.
 * @param self hash_string() of the instance's id
 * @param domain hash_string() of its failure domain
 */
void config_sync_init(config_sync_t *sync, uint64_t self, uint64_t domain,
		      bool has_bootstrap, uint64_t seed, uint64_t now_ms);

/** Takes an event; the next step gives the action that follows from it. */
void config_sync_note(config_sync_t *sync, const config_sync_event_t *event,
		      uint64_t now_ms);

/**
 * Takes an event and gives the next action. Call again with a tick until
 * there is none.
 */
void config_sync_step(config_sync_t *sync, const config_sync_event_t *event,
		      uint64_t now_ms, config_sync_action_t *action);

/**
 * Time since the configuration was last known to be current, in milliseconds;
 * CONFIG_AGE_UNKNOWN if it never was, as after a start from a peer.
 */
uint64_t config_sync_age_ms(const config_sync_t *sync, uint64_t now_ms);

/** Recent ticket contents with consecutive positions. */
typedef struct config_log {
	json_t *rows; /**< Array of `{position, content}`. */
	size_t bytes;
	uint64_t position; /**< Of the last row. */
} config_log_t;

/** ERR_NO_MEMORY */
int config_log_init(config_log_t *log);
void config_log_free(config_log_t *log);

/** Adds the next content; a gap empties the log first. */
int config_log_add(config_log_t *log, uint64_t position, json_t *content);

/**
 * Answer to a peer that has everything up to `from`: `{position, tickets}`,
 * or a snapshot when the log does not reach back or is larger than one.
 * @return NULL when out of memory or if the state is not above `from`
 */
json_t *config_sync_answer(const config_log_t *log, const ticket_state_t *state,
			   uint64_t from);

/**
 * Applies a peer's answer.
 * @param state where to start from; replaced on success
 * @param contents receives `{position, content}` rows of a delta; empty after
 *        a snapshot
 * @return 0, ERR_BAD_FIELD for an answer of wrong form or one that does not
 *         lead to a higher position, or ERR_NO_MEMORY
 */
int config_sync_apply(ticket_state_t *state, const json_t *answer,
		      json_t *contents);

#endif
