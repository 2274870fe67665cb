/**
 * @file
 * Crash snapshot: the crash evidence that outlives all instances, as it is kept
 * in the store: blocked keys, and the suspects of crashes that count towards a
 * block. Pure logic: no I/O, clock or locks.
 */
#ifndef PROCESS_CRASH_SNAPSHOT_H
#define PROCESS_CRASH_SNAPSHOT_H

#include <jansson.h>
#include <stdatomic.h>

#include "process/crash_evidence.h"

enum {
	/** Most news in a snapshot: all blocked keys, and the suspects of some
	 * crashes. */
	CRASH_SNAPSHOT_MAX = 4 * CRASH_EVIDENCE_BLOCKED_MAX,
	/** Age from which a crash is part of a snapshot, ms: by then most of
	 * its suspects have been cleared by their next run. */
	CRASH_SNAPSHOT_SETTLE_MS = 1000,
};

/** Ages are those when it was taken. */
typedef struct crash_snapshot {
	size_t count;
	crash_news_t news[CRASH_SNAPSHOT_MAX];
} crash_snapshot_t;

/** Passes the newest snapshot from one thread to another. */
typedef struct crash_snapshot_slot {
	_Atomic bool wanted;
	_Atomic(crash_snapshot_t *) newest; /**< NULL if it was taken. */
} crash_snapshot_slot_t;

/**
 * Takes a snapshot: the blocked keys, then the newest crashes. A crash is
 * contained with all of its suspects or not at all, since the deepest suspects
 * explain it for the others.
 */
void crash_snapshot_take(crash_snapshot_t *snapshot,
			 const crash_evidence_t *evidence, uint64_t now_ms);

/** Whether `snapshot` contains all news of `part`, of whatever age. */
bool crash_snapshot_contains(const crash_snapshot_t *snapshot,
			     const crash_snapshot_t *part);

/** Value of the object in the store; NULL when out of memory. */
json_t *crash_snapshot_to_json(const crash_snapshot_t *snapshot);

/** Reads what crash_snapshot_to_json() wrote; what is invalid is left out. */
void crash_snapshot_from_json(const json_t *value, crash_snapshot_t *snapshot);

/** Replaces the snapshot in the slot by a copy. */
void crash_snapshot_put(crash_snapshot_slot_t *slot,
			const crash_snapshot_t *snapshot);

/** Takes the snapshot out of the slot; NULL if there is none. Free it with
 * free(). */
crash_snapshot_t *crash_snapshot_get(crash_snapshot_slot_t *slot);

#endif
