/**
 * @file
 * Lease on one record of the object API: when to acquire, renew and release it,
 * with a fencing number that rises with every acquisition. Pure logic: no I/O,
 * clock or locks.
 *
 * The holder considers its lease valid for two thirds of the duration, counted
 * from before it issued the write. Other instances take the lease over once
 * the record has not changed for the whole duration on their own monotonic
 * clock. Wall clocks are not used. The record is never deleted, because the
 * fencing numbers would start again from 1.
 *
 * A store that states its era may be restored from an older copy, which begins
 * a new era. The record is then an earlier one or absent, while a holder of
 * before may be valid for the rest of its lease. So a lease ends in the era in
 * which it was written, and what is found of an earlier era is only taken over
 * after a whole duration. Fencing numbers contain the era.
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
	/** Longest note with its NUL, bytes. */
	LEASE_NOTE_MAX_BYTES = 256,
	/** Maximum number of actions returned by one step. */
	LEASE_ACTIONS_MAX = 4,
	/** Upper bound of sizeof(lease_t), checked at compile time. */
	LEASE_SIZE_BYTES = 1536,
};

/** Value of the lease's record in the store. */
typedef struct lease_record {
	char holder[LEASE_ID_MAX_BYTES]; /**< Empty if released. */
	/** Who may take a released lease at once; empty for anyone. */
	char successor[LEASE_ID_MAX_BYTES];
	uint64_t nonce;	   /**< Random, new at each start of a process. */
	uint64_t fencing;  /**< Never decreases. */
	uint64_t write_id; /**< Different in each write with this nonce. */
	uint64_t era;	   /**< Era of the store that it was written in. */
	uint32_t duration_ms;
	/** Text of the holders; kept until one of them replaces it. */
	char note[LEASE_NOTE_MAX_BYTES];
} lease_record_t;

typedef enum lease_phase {
	LEASE_PHASE_READING,   /**< Not the holder, reading the record. */
	LEASE_PHASE_WATCHING,  /**< Another holds it; waiting for its expiry. */
	LEASE_PHASE_ACQUIRING, /**< Write of an acquisition is pending. */
	LEASE_PHASE_HELD,      /**< Holder, no call pending. */
	LEASE_PHASE_RENEWING,  /**< Holder, write of a renewal is pending. */
	LEASE_PHASE_CHECKING,  /**< Reading back a write with unknown result. */
	LEASE_PHASE_RELEASING,
	LEASE_PHASE_STOPPED,
} lease_phase_t;

/** State of one lease in one process; owned by the calling code. */
typedef struct lease {
	lease_phase_t phase;
	rng_t *rng;
	uint32_t call_id;
	uint32_t failures;
	bool acquiring;	   /**< `written` is an acquisition, not a renewal. */
	bool id_is_unique; /**< Set by lease_set_id_unique(). */
	uint64_t last_write_id;
	char self[LEASE_ID_MAX_BYTES];
	uint64_t nonce;
	uint32_t duration_ms;
	uint64_t era;	  /**< Newest known; 0: the store states none. */
	bool observed;	  /**< The store was read in this era. */
	bool have_record; /**< False: the record does not exist. */
	lease_record_t record;
	uint64_t version;
	lease_record_t written; /**< Value of our latest write. */
	uint64_t written_at_ms; /**< Just before that write was issued. */
	/** When `version`, or that there is no record, was first seen. */
	uint64_t observed_at_ms;
	uint64_t valid_until_ms; /**< 0 if not the holder. */
	uint64_t renew_at_ms;
	char note[LEASE_NOTE_MAX_BYTES]; /**< For our next renewals. */
} lease_t;

typedef enum lease_event_kind {
	LEASE_EVENT_READ,
	LEASE_EVENT_WRITTEN,
	LEASE_EVENT_TIMER,
	/** Release the lease, for `successor` if that is set; then stop. */
	LEASE_EVENT_RELEASE,
	/** The store's era is known from another call. */
	LEASE_EVENT_ERA,
} lease_event_kind_t;

typedef struct lease_event {
	lease_event_kind_t kind;
	uint32_t call_id; /**< Of the action with this result. */
	uint64_t era;	  /**< That the store stated; 0 if none. */
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
			const char *successor; /**< NULL for anyone. */
		} release;
	};
} lease_event_t;

typedef enum lease_action_kind {
	LEASE_ACTION_READ,
	LEASE_ACTION_WRITE,    /**< Conditional write of the record. */
	LEASE_ACTION_WAIT,     /**< Report a timer event at `wait_until_ms`. */
	LEASE_ACTION_ACQUIRED, /**< Now the holder under `fencing`. */
	LEASE_ACTION_LOST,     /**< No longer the holder. */
	LEASE_ACTION_STOPPED,  /**< No more actions. */
} lease_action_kind_t;

typedef struct lease_action {
	lease_action_kind_t kind;
	uint32_t call_id;
	union {
		struct {
			uint64_t if_version; /**< 0: create only. */
			lease_record_t record;
		} write;
		uint64_t wait_until_ms;
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
 * Declares that only one process at a time runs under this id. A lease that an
 * earlier process held under it is then taken over at once, because that
 * process has ended.
 */
static inline void lease_set_id_unique(lease_t *lease)
{
	lease->id_is_unique = true;
}

/**
 * Replaces the note in the record, from the holder's next renewal or release
 * on. Without effect while not the holder, as its next acquisition keeps the
 * note that it finds.
 * @param note at most LEASE_NOTE_MAX_BYTES; the rest is cut off
 */
void lease_set_note(lease_t *lease, const char *note);

/** The holder's note, which after an acquisition is that of the holders before;
 * while not the holder, the one of the record as last read. */
const char *lease_note(const lease_t *lease);

/** Advances the lease by one event. */
void lease_step(lease_t *lease, const lease_event_t *event, uint64_t now_ms,
		lease_actions_t *actions);

/** Whether an action that needs this lease may be performed now. */
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
