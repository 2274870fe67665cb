/**
 * @file
 * Audit trail in the object API: who did what, when, to which object, with
 * which outcome. It is stored in AUDIT_SHARDS objects `audit/<shard>`, each of
 * which keeps its newest AUDIT_SHARD_ENTRIES entries.
 *
 * Entries are queued in a bounded queue and appended in batches by
 * audit_flush(). Each entry has a unique id, so that a batch is not appended
 * twice if the answer to its write is lost. Thread-safe.
 */
#ifndef PROCESS_AUDIT_H
#define PROCESS_AUDIT_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "process/store_client.h"

enum {
	AUDIT_SHARDS = 16,
	AUDIT_SHARD_ENTRIES = 1024,
	/** Longest text of an entry with its NUL; longer ones are truncated. */
	AUDIT_TEXT_MAX_BYTES = 96,
	/** Most queued entries; above this the oldest are dropped. */
	AUDIT_QUEUE_MAX = 4096,
	/** Most entries appended by one write. */
	AUDIT_BATCH_MAX = 128,
};

/** One decision; NULL texts are stored as empty. */
typedef struct audit_entry {
	uint64_t at_unix_ms;
	const char *who;     /**< Operator, or the instance that decided. */
	const char *what;    /**< Such as "ticket" or "engine_order". */
	const char *which;   /**< The ticket, endpoint or other object. */
	const char *before;  /**< Version before; empty if none. */
	const char *after;   /**< Version after; empty if none. */
	const char *outcome; /**< "accepted", "done" or an error type. */
} audit_entry_t;

typedef struct audit audit_t;

/**
 * @param instance id of this instance; entry ids consist of it, `seed` and a
 *                 sequence number
 * @return 0 or ERR_NO_MEMORY
 */
int audit_open(store_client_t *client, const char *instance, uint64_t seed,
	       audit_t **audit);
void audit_close(audit_t *audit);

/** Queues an entry; no I/O. */
void audit_add(audit_t *audit, const audit_entry_t *entry);

/** Number of entries that are not known to be stored. */
size_t audit_pending(audit_t *audit);

/**
 * Appends one batch, if any entries are queued. Entries that could not be
 * appended are kept for the next call.
 * @return 0 or an error of the store client
 */
int audit_flush(audit_t *audit);

/**
 * Appends entries to the value of a shard, skipping those already in it.
 * @param shard value read, or NULL if the object does not exist
 * @param batch JSON array of entries
 * @return new value, or NULL when out of memory
 */
json_t *audit_merge(const json_t *shard, const json_t *batch);

/**
 * Reads the whole trail.
 * @param entries receives a JSON array in order of time; the caller releases it
 *                with json_decref()
 */
int audit_read(store_client_t *client, json_t **entries);

#endif
