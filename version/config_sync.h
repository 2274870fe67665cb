/**
 * @file
 * Decides how an instance receives configuration changes: whether it watches
 * the store, and when it fetches from which peer or from the store.
 *
 * Two instances of each failure domain, chosen by rendezvous hashing over the
 * live members, watch the store. The others receive positions by gossip and
 * fetch from peers. The position never decreases.
 *
 * Takes events and returns actions. Pure logic: no I/O, clock or locks.
 *
 * Memory: one config_sync_t of about 33 KB. The log of recent ticket contents
 * holds at most CONFIG_LOG_MAX_BYTES of JSON text.
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
	/** Most ticket contents kept for deltas. */
	CONFIG_LOG_ENTRIES_MAX = 512,
	CONFIG_LOG_MAX_BYTES = 2 << 20,
	/** Larger deltas are sent in parts. */
	CONFIG_DELTA_MAX_BYTES = 256 << 10,
};

/** Age of a configuration that was never known to be current, or whose age the
 * sender of the gossip did not state. */
#define CONFIG_AGE_UNKNOWN UINT64_MAX

/** A live member; `id` and `domain` are hash_string() of the names. */
typedef struct config_sync_member {
	uint64_t id;
	uint64_t domain;
	uint64_t position;	 /**< Highest position it is known to have. */
	uint64_t avoid_until_ms; /**< No fetches from it before this time. */
} config_sync_member_t;

typedef enum config_sync_event_kind {
	CONFIG_SYNC_TICK,
	CONFIG_SYNC_MEMBERS, /**< The live members changed. */
	CONFIG_SYNC_GOSSIP,  /**< Gossip gave the position of a member. */
	CONFIG_SYNC_HEAD,    /**< The watch read the store's head. */
	CONFIG_SYNC_FETCHED, /**< A fetch or load ended. */
	/** The position rose without a fetch action: through a ticket that was
	 * committed here or a change that the watch reported. */
	CONFIG_SYNC_ADOPTED,
} config_sync_event_kind_t;

typedef struct config_sync_event {
	config_sync_event_kind_t kind;
	union {
		struct {
			/** Only id, domain and position are used. */
			const config_sync_member_t *entries;
			size_t count;
		} members;
		struct {
			uint64_t member;
			uint64_t position;
			/** Age of its configuration, or CONFIG_AGE_UNKNOWN. */
			uint64_t age_ms;
		} gossip;
		struct {
			uint64_t position;
		} head;
		struct {
			uint32_t id; /**< Of the fetch action. */
			int err;
			uint64_t position; /**< Now in force here. */
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
	CONFIG_SYNC_FETCH_PEER,	    /**< Fetch everything after `from`. */
	CONFIG_SYNC_FETCH_STORE,    /**< Read the store up to its head. */
	CONFIG_SYNC_LOAD_BOOTSTRAP, /**< Load the file, as a last resort. */
} config_sync_action_kind_t;

typedef struct config_sync_action {
	config_sync_action_kind_t kind;
	uint32_t id;   /**< Of a fetch or load; returned with its result. */
	uint64_t peer; /**< Only of FETCH_PEER. */
	uint64_t from; /**< Only of FETCH_PEER; 0 asks for a snapshot. */
} config_sync_action_t;

typedef struct config_sync {
	uint64_t self;	 /**< Member id of this instance. */
	uint64_t domain; /**< Its failure domain. */
	rng_t rng;
	bool has_bootstrap; /**< A bootstrap file may still be loaded. */
	bool in_force;	    /**< A configuration is in force. */
	uint64_t position;
	uint64_t target;	  /**< Highest position known anywhere. */
	uint64_t behind_since_ms; /**< Start of `position` < `target`. */
	uint64_t last_contact_ms; /**< Last gossip or store answer. */
	uint64_t store_head;	  /**< Highest position seen in the store. */
	uint64_t store_head_seen_ms;
	uint64_t started_ms;
	bool confirmed;
	uint64_t confirmed_ms; /**< Last time the position was current. */
	bool watching;
	config_sync_member_t members[CONFIG_SYNC_MEMBERS_MAX];
	size_t member_count;
	bool fetching;
	config_sync_action_t fetch;
	uint64_t fetch_started_ms;
	uint64_t store_not_before_ms; /**< Earliest store fetch. */
	uint32_t store_failures;      /**< Consecutive. */
	uint32_t start_failures;      /**< Failed peer fetches at start-up. */
} config_sync_t;

/**
 * Initializes the state, with no configuration in force.
 * @param self hash_string() of the instance's id
 * @param domain hash_string() of its failure domain
 */
void config_sync_init(config_sync_t *sync, uint64_t self, uint64_t domain,
		      bool has_bootstrap, uint64_t seed, uint64_t now_ms);

/** Handles an event; the next step returns the action that results. */
void config_sync_handle_event(config_sync_t *sync,
			      const config_sync_event_t *event,
			      uint64_t now_ms);

/**
 * Handles an event and returns the next action. Call again with a tick until
 * the action is CONFIG_SYNC_NONE.
 */
void config_sync_step(config_sync_t *sync, const config_sync_event_t *event,
		      uint64_t now_ms, config_sync_action_t *action);

/**
 * Time since the configuration was last known to be current, in milliseconds;
 * CONFIG_AGE_UNKNOWN if it never was, as after a start from a peer.
 */
uint64_t config_sync_age_ms(const config_sync_t *sync, uint64_t now_ms);

/** Recent ticket contents, at consecutive positions. */
typedef struct config_log {
	json_t *entries;   /**< Array of `{position, content}`. */
	size_t bytes;	   /**< Size of the entries as compact JSON. */
	uint64_t position; /**< Of the last entry. */
} config_log_t;

/** @return 0 or ERR_NO_MEMORY */
int config_log_init(config_log_t *log);
void config_log_free(config_log_t *log);

/**
 * Appends a ticket content. Earlier entries are dropped if the position does
 * not follow theirs, and the oldest ones to stay within the size limits.
 * @return 0 or ERR_NO_MEMORY
 */
int config_log_add(config_log_t *log, uint64_t position, json_t *content);

/**
 * Makes the answer to a peer that has everything up to `from`: a delta
 * `{position, tickets}`, or a snapshot if the log does not reach back to
 * `from`.
 * @return NULL when out of memory or if the state is not above `from`
 */
json_t *config_sync_answer(const config_log_t *log, const ticket_state_t *state,
			   uint64_t from);

/**
 * Applies a peer's answer.
 * @param state current state; replaced on success
 * @param contents JSON array; receives the `{position, content}` entries of a
 *        delta, and is empty after a snapshot
 * @return 0, ERR_BAD_FIELD if the answer is malformed or does not lead to a
 *         higher position, or ERR_NO_MEMORY
 */
int config_sync_apply(ticket_state_t *state, const json_t *answer,
		      json_t *contents);

#endif
