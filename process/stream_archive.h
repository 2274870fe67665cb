/**
 * @file
 * Stream archive: decides when the writer of a failure domain reads and writes
 * the object of its domain in the store, which contains the streams that began
 * at instances of the domain and may be resumed, so that they outlive all
 * instances. Pure logic: no I/O, clock or locks.
 *
 * While there are no streams to record, no call is made.
 */
#ifndef PROCESS_STREAM_ARCHIVE_H
#define PROCESS_STREAM_ARCHIVE_H

#include <jansson.h>

#include "process/stream_table.h"

enum {
	/** Least time from one write to the next, ms. */
	STREAM_ARCHIVE_INTERVAL_MS = 150,
	/** Likewise if streams were only removed. */
	STREAM_ARCHIVE_CLEAN_MS = 2000,
	/** Pause after a failed call, ms. */
	STREAM_ARCHIVE_RETRY_MS = 300,
};

typedef enum stream_archive_action {
	STREAM_ARCHIVE_NONE,
	STREAM_ARCHIVE_READ,  /**< Then call stream_archive_on_read(). */
	STREAM_ARCHIVE_WRITE, /**< `streams`, if the object has `revision`, or
				 if there is none yet (0); then call
				 stream_archive_on_written(). */
} stream_archive_action_t;

/** Zeroed at the start. */
typedef struct stream_archive {
	stream_table_t streams; /**< Of the domain. */
	bool loaded;
	bool calling;
	bool added;	     /**< The object may lack streams. */
	bool removed;	     /**< The object may have streams that ended. */
	uint64_t revision;   /**< Of the object; 0: there is none. */
	uint64_t retry_ms;   /**< No call before this time. */
	uint64_t written_ms; /**< Last write; 0: none. */
} stream_archive_t;

void stream_archive_free(stream_archive_t *archive);

/** Adds a stream that began at an instance of the domain. */
void stream_archive_put(stream_archive_t *archive, const stream_row_t *row);

/** Removes a stream that has ended. */
void stream_archive_remove(stream_archive_t *archive, uint64_t id);

/**
 * Determines the call that is due now, and counts it as open.
 * @param writer this instance watches the store, which answers
 */
stream_archive_action_t stream_archive_step(stream_archive_t *archive,
					    bool writer, uint64_t now_ms);

/**
 * Handles the result of a read; the object's streams are added to `streams`.
 * @param err 0, ERR_NOT_FOUND, ERR_BAD_JSON with the revision of an object
 *            whose value is invalid and is to be replaced, or another error
 * @param read streams of the object; ignored on errors
 */
void stream_archive_on_read(stream_archive_t *archive, int err,
			    uint64_t revision, const stream_table_t *read,
			    uint64_t now_ms);

/** Handles the result of a write; `revision` is that of the object after it. A
 * failed condition makes the object be read again. */
void stream_archive_on_written(stream_archive_t *archive, int err,
			       uint64_t revision, uint64_t now_ms);

/** Value of the object in the store, with the remaining times of the rows; NULL
 * when out of memory. */
json_t *stream_archive_to_json(const stream_table_t *streams, uint64_t now_ms);

/**
 * Adds the rows of an object's value to a table. Their remaining times count
 * from now. Rows that are invalid or have no remaining time are left out.
 * @return 0, ERR_BAD_JSON or ERR_NO_MEMORY; no row was added then
 */
int stream_archive_from_json(const json_t *value, uint64_t now_ms,
			     stream_table_t *streams);

#endif
