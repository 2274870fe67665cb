/**
 * @file
 * Removes old records in the background. Deletes are conditional, so that
 * several instances can sweep at the same time.
 *
 * The age of a record is not read from a time of day. The object
 * ORDER_MARKS_PATH holds its own earlier versions, the marks. An instance that
 * has seen it unchanged for an ORDER_MARKS-th part of the retention on its
 * monotonic clock replaces it and adds the version that it replaces. Versions
 * are revisions of the whole store, so a record with a version below the oldest
 * of ORDER_MARKS marks was last changed before the retention. Late and repeated
 * writes, pauses and restarts can only lengthen the time between two marks.
 *
 * Pure logic: no I/O, clock or locks.
 */
#ifndef PROCESS_ORDER_SWEEP_H
#define PROCESS_ORDER_SWEEP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/order.h"
#include "process/rng.h"

enum {
	/** Upper bound of sizeof(order_sweep_t), checked at compile time. */
	ORDER_SWEEP_SIZE_BYTES = 4096,
	/** Maximum number of records in one page of a sweep. */
	ORDER_SWEEP_PAGE = 16,
	/** Marks that divide the retention. */
	ORDER_MARKS = 8,
};

/** Object with the marks of the sweeps. */
#define ORDER_MARKS_PATH "order-sweep/marks"

typedef struct order_sweep {
	const order_settings_t *settings;
	rng_t *rng;
	uint64_t marks_version;	 /**< As last read; 0: none. */
	uint64_t marks_since_ms; /**< When this version was first read. */
	uint64_t marks_read_ms;	 /**< When they are to be read next. */
	bool marks_known;
	bool marks_due; /**< To be replaced. */
	bool marks_pending;
	bool has_read_marks;	     /**< Since the last page was listed. */
	uint64_t marks[ORDER_MARKS]; /**< Oldest first. */
	size_t mark_count;
	/** Mean time between the sweeps of all instances together. */
	uint32_t interval_ms;
	uint32_t member_count; /**< Number of instances that sweep. */
	uint64_t next_ms;
	uint32_t call_id;
	bool list_pending;
	/** The next page lists the paths after this one. */
	char last_path[ORDER_PATH_MAX_BYTES];
	size_t pending_count; /**< Records to delete. */
	char pending[ORDER_SWEEP_PAGE][ORDER_PATH_MAX_BYTES];
	uint64_t pending_version[ORDER_SWEEP_PAGE];
	bool more; /**< The store has further pages. */
} order_sweep_t;

/** One record of a page of the listing. */
typedef struct order_sweep_item {
	const char *path;
	uint64_t version;
} order_sweep_item_t;

/** Result of ORDER_SWEEP_READ_MARKS. */
typedef struct order_sweep_marks {
	int result; /**< 0, ERR_NOT_FOUND or another error kind. */
	uint64_t version;
	const uint64_t *marks; /**< Oldest first. */
	size_t count;
} order_sweep_marks_t;

typedef enum order_sweep_action_kind {
	ORDER_SWEEP_NONE,
	ORDER_SWEEP_READ_MARKS,	 /**< Read ORDER_MARKS_PATH. */
	ORDER_SWEEP_WRITE_MARKS, /**< Write it if it has `version`. */
	ORDER_SWEEP_LIST,	 /**< List `order/` after `path`. */
	ORDER_SWEEP_DELETE,	 /**< Delete `path` if it has `version`. */
} order_sweep_action_kind_t;

typedef struct order_sweep_action {
	order_sweep_action_kind_t kind;
	uint32_t call_id;
	const char *path;
	uint64_t version;      /**< Of a write; 0: create. */
	const uint64_t *marks; /**< To write, oldest first. */
	size_t mark_count;
} order_sweep_action_t;

/**
 * Schedules the first sweep at a random time within `interval_ms` times
 * `member_count`.
 */
void order_sweep_init(order_sweep_t *sweep, const order_settings_t *settings,
		      rng_t *rng, uint32_t interval_ms, uint32_t member_count,
		      uint64_t now_ms);

/**
 * Returns the next store call that is due; at most one per step, to leave
 * store capacity for claims.
 */
order_sweep_action_t order_sweep_step(order_sweep_t *sweep, uint64_t now_ms);

/** Handles the result of ORDER_SWEEP_READ_MARKS. */
void order_sweep_handle_marks(order_sweep_t *sweep, uint32_t call_id,
			      const order_sweep_marks_t *marks,
			      uint64_t now_ms);

/**
 * Handles the result of ORDER_SWEEP_WRITE_MARKS.
 * @param result 0, or an error kind, after which the marks are read again
 * @param version that was written
 */
void order_sweep_handle_marks_written(order_sweep_t *sweep, uint32_t call_id,
				      int result, uint64_t version,
				      uint64_t now_ms);

/**
 * Handles the result of ORDER_SWEEP_LIST.
 * @param result 0, or an error kind, which ends this sweep
 * @param count at most ORDER_SWEEP_PAGE items are used
 */
void order_sweep_handle_page(order_sweep_t *sweep, uint32_t call_id, int result,
			     const order_sweep_item_t *items, size_t count,
			     bool more);

#endif
