/**
 * @file
 * Decision module: a lease on one record of the object API, with a fencing
 * number that rises with every acquisition.
 *
 * A holder counts its time from before it issued the write, and only two
 * thirds of the lease's duration; others wait a whole duration on their own
 * monotonic clock during which the record did not change. Wall clocks are not
 * used. The record is never deleted, because its number would start again.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"

enum {
	/** Longest holder id with its NUL, bytes. */
	LEASE_ID_MAX_BYTES = 64,
	LEASE_ACTIONS_MAX = 4,
	/** Upper bound of sizeof(lease_t), checked at compile time. */
	LEASE_SIZE_BYTES = 1024,
};

/** Value of the lease's record. */
typedef struct lease_record {
	char holder[LEASE_ID_MAX_BYTES]; /**< Empty: released. */
	/** Who may take a released lease at once; empty: anyone. */
	char successor[LEASE_ID_MAX_BYTES];
	uint64_t nonce;	   /**< Of the holding process, random. */
	uint64_t fencing;  /**< Only rises. */
	uint64_t write_id; /**< Differs in every write of one nonce. */
	uint32_t duration_ms;
} lease_record_t;

typedef enum lease_phase {
	LEASE_PHASE_READING,   /**< Looking at the record. */
	LEASE_PHASE_WATCHING,  /**< Another holds it; waiting. */
	LEASE_PHASE_ACQUIRING, /**< Write that would make us the holder. */
	LEASE_PHASE_HELD,      /**< Holder, no call open. */
	LEASE_PHASE_RENEWING,  /**< Holder, renewal under way. */
	LEASE_PHASE_CHECKING,  /**< Holder, reading a renewal back. */
	LEASE_PHASE_RELEASING,
	LEASE_PHASE_STOPPED,
} lease_phase_t;

/** State of one lease in one process; owned by the caller of the module. */
typedef struct lease {
	lease_phase_t phase;
	rng_t *rng;
	uint32_t call;
	uint32_t failures;
	bool acquiring;	    /**< `written` would make us the holder. */
	bool name_is_bound; /**< See lease_bind_name(). */
	uint64_t last_write_id;
	char self[LEASE_ID_MAX_BYTES];
	uint64_t nonce;
	uint32_t duration_ms;
	bool have_record; /**< False: the record does not exist. */
	lease_record_t record;
	uint64_t version;
	lease_record_t written;	 /**< Last value we tried to write. */
	uint64_t written_at_ms;	 /**< Before that write was issued. */
	uint64_t observed_at_ms; /**< `version` was first seen. */
	uint64_t valid_until_ms; /**< 0: not the holder. */
	uint64_t renew_at_ms;
} lease_t;

typedef enum lease_event_kind {
	LEASE_EVENT_READ,
	LEASE_EVENT_WRITTEN,
	LEASE_EVENT_TIMER,
	/** Give the lease up, to `successor` if that is set; then stop. */
	LEASE_EVENT_RELEASE,
} lease_event_kind_t;

typedef struct lease_event {
	lease_event_kind_t kind;
	uint32_t call; /**< Of the action this is the result of. */
	union {
		struct {
			int result; /**< 0, ERR_NOT_FOUND or ERR_STORE_*. */
			uint64_t version;
			const lease_record_t *record;
		} read;
		struct {
			int result;
			uint64_t version;
		} written;
		struct {
			const char *successor; /**< NULL: anyone. */
		} release;
	};
} lease_event_t;

typedef enum lease_action_kind {
	LEASE_ACTION_READ,
	LEASE_ACTION_WRITE,    /**< Conditional write of the record. */
	LEASE_ACTION_WAIT,     /**< Report LEASE_EVENT_TIMER at `until_ms`. */
	LEASE_ACTION_ACQUIRED, /**< Now the holder under `fencing`. */
	LEASE_ACTION_LOST,     /**< No longer the holder. */
	LEASE_ACTION_STOPPED,  /**< Nothing more will happen. */
} lease_action_kind_t;

typedef struct lease_action {
	lease_action_kind_t kind;
	uint32_t call;
	union {
		struct {
			uint64_t if_version; /**< 0: create only. */
			lease_record_t record;
		} write;
		uint64_t until_ms;
		uint64_t fencing;
	};
} lease_action_t;

typedef struct lease_actions {
	size_t count;
	lease_action_t items[LEASE_ACTIONS_MAX];
} lease_actions_t;

/**
 * Starts to compete for a lease.
 * @param self id of this instance
 * @param nonce random, new for each start of the process
 */
void lease_begin(lease_t *lease, const char *self, uint64_t nonce,
		 uint32_t duration_ms, rng_t *rng, lease_actions_t *actions);

/**
 * Says that only one process at a time can have this name: a record of an
 * earlier process under it is taken over at once, since that one has ended.
 */
static inline void lease_bind_name(lease_t *lease)
{
	lease->name_is_bound = true;
}

/** Advances the lease by one event. */
void lease_step(lease_t *lease, const lease_event_t *event, uint64_t now_ms,
		lease_actions_t *actions);

/** Whether an action under this lease may be performed at this moment. */
static inline bool lease_is_valid(const lease_t *lease, uint64_t now_ms)
{
	return now_ms < lease->valid_until_ms;
}

/** Fencing number of the holder; 0 if the lease is not valid. */
static inline uint64_t lease_fencing(const lease_t *lease, uint64_t now_ms)
{
	return lease_is_valid(lease, now_ms) ? lease->record.fencing : 0;
}

#endif
