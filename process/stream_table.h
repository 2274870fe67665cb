/**
 * @file
 * Streams and the version of the endpoints' software at which each began, until
 * no client can resume them any more. Pure logic: no I/O, clock or locks.
 */
#ifndef PROCESS_STREAM_TABLE_H
#define PROCESS_STREAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Most streams; above it, those that expire first are left out. */
	STREAM_TABLE_MAX = 16384,
};

/** One stream. */
typedef struct stream_row {
	uint64_t id;	   /**< Hash of the id of its first request; not 0. */
	uint32_t software; /**< See process/software.h; not 0. */
	/** The object of the domain may contain it; only in a stream archive,
	 * kept when a put changes just the expiry. */
	bool archived;
	uint64_t expires_ms;
} stream_row_t;

/** Zeroed at the start; holds no memory until the first row. */
typedef struct stream_table {
	stream_row_t *rows; /**< The first expires first; others unordered. */
	size_t count;
	size_t capacity;
} stream_table_t;

void stream_table_free(stream_table_t *table);

/**
 * Adds a stream, or replaces its row. A row with the id or version 0 is left
 * out.
 * @return true if the stream was not contained or had another version; false
 *         also when out of memory, or if the row was left out
 */
bool stream_table_put(stream_table_t *table, const stream_row_t *row);

/** The row of a stream; NULL if there is none or it has expired. */
const stream_row_t *stream_table_find(const stream_table_t *table, uint64_t id,
				      uint64_t now_ms);

/** @return true if the stream was contained */
bool stream_table_remove(stream_table_t *table, uint64_t id);

/** Removes the rows that have expired; frees the memory of an empty table. */
void stream_table_expire(stream_table_t *table, uint64_t now_ms);

#endif
