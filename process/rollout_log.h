/**
 * @file
 * Write-ahead log of the orders that the holder of the weights lease sends to
 * engines. Pure logic: no I/O, clock or locks.
 *
 * A lease bounds when an order is sent, not when it arrives: its bytes may
 * still wait on a link after the holder has lost the lease. So an order is sent
 * only after the log in the store names it, and a later holder reads the log
 * before it sends anything. It sends nothing to an engine while an order of an
 * earlier holder may be on the way there: until the engine has counted that
 * order, or the transit time has passed. Thus the fencing numbers that an
 * engine receives never fall, as long as no order takes longer than the transit
 * time from the acquisition of the next lease.
 *
 * A store that was restored from an older copy has lost the newest entries.
 * Then, and if there is no log, any engine may have an order on the way; the
 * transit time counts from when the holder first knew the lease as it found it.
 *
 * An instance whose last order was followed by those of another holder sends
 * nothing for the transit time after it, so that no two take turns within it.
 */
#ifndef PROCESS_ROLLOUT_LOG_H
#define PROCESS_ROLLOUT_LOG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Pause after a failed call to the store, ms. */
	ROLLOUT_LOG_RETRY_MS = 200,
	/** Entries that are settled stay in the store for this long, ms, so
	 * that the next order often replaces them without a call of their own.
	 * What is on the way from earlier holders is written again after it,
	 * with the time that is left, so that this does not begin anew with
	 * each holder. */
	ROLLOUT_LOG_CLEAN_MS = 1000,
};

#define ROLLOUT_LOG_UNCOUNTED INT64_MAX

/** Orders with one number that may not have arrived at an engine yet. */
typedef struct rollout_log_entry {
	uint64_t key; /**< Incarnation of the engine. */
	/** Orders that it had accepted before; ROLLOUT_LOG_UNCOUNTED: not
	 * known, so that a higher number doesn't show that it has arrived. */
	uint64_t accepted;
	/** Orders sent with this number; the engine accepts at most one. */
	uint32_t sent;
	/** Longest time from the next acquisition of the lease, or from the
	 * write by an earlier holder, until they arrive, ms. */
	uint32_t left_ms;
} rollout_log_entry_t;

/** Value of the log in the store. */
typedef struct rollout_log_record {
	uint64_t fencing; /**< Of the holder that wrote it; 0: unreadable. */
	uint64_t era;	  /**< Era of the store that it was written in. */
	/** Time from the write for which any engine may have an order on the
	 * way, ms. */
	uint32_t unknown_ms;
	rollout_log_entry_t *entries;
	size_t count;
	size_t capacity;
} rollout_log_record_t;

typedef enum rollout_log_state {
	ROLLOUT_LOG_WANTED,  /**< Not in the store yet. */
	ROLLOUT_LOG_WRITING, /**< In the open write. */
	ROLLOUT_LOG_LOGGED,  /**< May be sent. */
	ROLLOUT_LOG_SENT,    /**< Its answer has not arrived. */
	ROLLOUT_LOG_UNKNOWN, /**< It may arrive until `until_ms`. */
	/** It has arrived or never will, but the engine may yet execute it, so
	 * that its count does not show the arrival of the next one. */
	ROLLOUT_LOG_EXPIRED,
} rollout_log_state_t;

/** An order of this holder. */
typedef struct rollout_log_order {
	rollout_log_entry_t entry;
	rollout_log_state_t state;
	uint64_t until_ms;
} rollout_log_order_t;

/** What an engine may get from this holder now. */
typedef enum rollout_hold {
	ROLLOUT_HOLD_NONE,    /**< Orders. */
	ROLLOUT_HOLD_REPORTS, /**< Requests for a report, which may show that an
				 earlier order has arrived. */
	ROLLOUT_HOLD_ALL,     /**< Nothing: which orders are on the way is not
				 known. */
} rollout_hold_t;

typedef enum rollout_log_action {
	ROLLOUT_LOG_NONE,
	ROLLOUT_LOG_READ,  /**< Then call rollout_log_on_read(). */
	ROLLOUT_LOG_WRITE, /**< `written`, if the object has `revision`, or if
			      there is none yet (0); then call
			      rollout_log_on_written(). */
} rollout_log_action_t;

/** Zeroed at the start; owned by the calling code. */
typedef struct rollout_log {
	uint64_t fencing; /**< 0: not the holder. */
	uint64_t era;
	uint32_t transit_ms;
	uint64_t acquired_ms;
	bool loaded;	 /**< The log has been read in this term. */
	bool superseded; /**< A later holder has written it. */
	bool calling;
	bool stale;	     /**< The store has entries that are settled. */
	bool lost;	     /**< There is no log of this era. */
	uint64_t settled_ms; /**< When the first of them was. */
	uint64_t retry_ms;   /**< No call before this time. */
	uint64_t revision;   /**< Of the object; 0: there is none. */
	/** When the last entry was settled by time, not by a report: an order
	 * may have been accepted until then. */
	uint64_t expired_ms;
	/** Any engine may have an order on the way until then. */
	uint64_t unknown_until_ms;
	rollout_log_order_t *orders;
	size_t order_count;
	size_t order_capacity;
	/** Of this instance's last order, also in earlier terms; 0: none. */
	uint64_t sent_ms;
	uint64_t sent_fencing;
	/** Orders of earlier holders, each until `acquired_ms + left_ms`. */
	rollout_log_record_t earlier;
	rollout_log_record_t written;
} rollout_log_t;

/** Term of a holder. */
typedef struct rollout_term {
	uint64_t fencing;
	uint64_t era; /**< Of the store. */
	/** Longest time from the acquisition of the lease until an order of an
	 * earlier holder arrives, ms. */
	uint32_t transit_ms;
	/** Time for which this holder has known the lease as another left it,
	 * ms; if the log is lost, the transit time counts from then. */
	uint64_t observed_ms;
} rollout_term_t;

/** Begins a term of this holder. */
void rollout_log_begin(rollout_log_t *log, const rollout_term_t *term,
		       uint64_t now_ms);

/** Ends the term; returns how many orders of it may not have arrived. */
size_t rollout_log_end(rollout_log_t *log);

void rollout_log_free(rollout_log_t *log);

/** Determines the call that is due now, and counts it as open. */
rollout_log_action_t rollout_log_step(rollout_log_t *log, uint64_t now_ms);

/**
 * Handles the result of a read.
 * @param err 0, ERR_NOT_FOUND or another error
 * @param record that was read; ignored on errors
 */
void rollout_log_on_read(rollout_log_t *log, int err, uint64_t revision,
			 const rollout_log_record_t *record, uint64_t now_ms);

/** Handles the result of a write; `revision` is that of the object after it. */
void rollout_log_on_written(rollout_log_t *log, int err, uint64_t revision,
			    uint64_t now_ms);

/** What an engine may get now. */
rollout_hold_t rollout_log_hold(const rollout_log_t *log, uint64_t key,
				uint64_t now_ms);

/**
 * Asks for an order to be logged.
 * @param accepted number of orders that the engine has accepted
 * @param counted_ms when the report of that number was requested
 * @return 0 or ERR_NO_MEMORY
 */
int rollout_log_add(rollout_log_t *log, uint64_t key, uint64_t accepted,
		    uint64_t counted_ms);

/** Whether an order has been logged and may be sent. */
bool rollout_log_is_logged(const rollout_log_t *log, uint64_t key);

/** The order that was logged has been sent. */
void rollout_log_on_sent(rollout_log_t *log, uint64_t key, uint64_t now_ms);

/** The order that was added will not be sent. */
void rollout_log_drop(rollout_log_t *log, uint64_t key, uint64_t now_ms);

/** The call of the order has ended; `answered`: by an answer of the engine. */
void rollout_log_on_answer(rollout_log_t *log, uint64_t key, bool answered,
			   uint64_t now_ms);

/** An engine reports how many orders it has accepted. */
void rollout_log_on_report(rollout_log_t *log, uint64_t key, uint64_t accepted,
			   uint64_t now_ms);

/** Value of the object in the store; NULL when out of memory. */
json_t *rollout_log_to_json(const rollout_log_record_t *record);

/**
 * Reads what rollout_log_to_json() wrote.
 * @param record zeroed; free it with rollout_log_record_free()
 * @return 0, ERR_BAD_JSON or ERR_NO_MEMORY
 */
int rollout_log_from_json(const json_t *value, rollout_log_record_t *record);

void rollout_log_record_free(rollout_log_record_t *record);

#define CLEANUP_ROLLOUT_LOG_RECORD \
	__attribute__((cleanup(rollout_log_record_free)))

#endif
