/**
 * @file
 * Crash archive: decides when the crash evidence is read from the store and
 * written to it, so that it outlives all instances. Pure logic: no I/O, clock
 * or locks.
 *
 * Each instance reads the evidence once, when it first watches the store, and
 * tells it to the others as news. One of the watchers, the writer, writes what
 * has changed; writes are conditional, so that two writers merge what they
 * know.
 */
#ifndef PROCESS_CRASH_ARCHIVE_H
#define PROCESS_CRASH_ARCHIVE_H

#include "process/crash_snapshot.h"

enum {
	/** Least time from a read or a write to the next write, ms. */
	CRASH_ARCHIVE_INTERVAL_MS = 1000,
	/** Pause after a failed call, ms. */
	CRASH_ARCHIVE_RETRY_MS = 1000,
};

typedef enum crash_archive_action {
	CRASH_ARCHIVE_NONE,
	CRASH_ARCHIVE_READ,  /**< Then call crash_archive_on_read(). */
	CRASH_ARCHIVE_WRITE, /**< `sent`, if the object has `revision`, or if
				there is none yet (0); then call
				crash_archive_on_written(). */
} crash_archive_action_t;

/** What this instance knows at a step. */
typedef struct crash_archive_input {
	bool reachable; /**< It watches the store, which answers. */
	bool writer;	/**< It is the one that writes. */
	/** The newest evidence, with what was read; NULL if not known. */
	const crash_snapshot_t *current;
} crash_archive_input_t;

/** Zeroed at the start. */
typedef struct crash_archive {
	bool loaded;
	bool calling;
	uint64_t revision;   /**< Of the object; 0: there is none. */
	uint64_t retry_ms;   /**< No call before this time. */
	uint64_t changed_ms; /**< Of the last read or write. */
	crash_snapshot_t stored;
	crash_snapshot_t sent;
} crash_archive_t;

/** Determines the call that is due now, and counts it as open. */
crash_archive_action_t crash_archive_step(crash_archive_t *archive,
					  const crash_archive_input_t *input,
					  uint64_t now_ms);

/**
 * Handles the result of a read.
 * @param err 0, ERR_NOT_FOUND or another error
 * @param rows evidence that was read; may be NULL on errors
 */
void crash_archive_on_read(crash_archive_t *archive, int err, uint64_t revision,
			   const crash_snapshot_t *rows, uint64_t now_ms);

/** Handles the result of a write; `revision` is that of the object after it. */
void crash_archive_on_written(crash_archive_t *archive, int err,
			      uint64_t revision, uint64_t now_ms);

#endif
