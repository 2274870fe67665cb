/**
 * @file
 * Software history: which versions of the endpoints' software may have begun
 * streams that clients can still resume. Pure logic: no I/O, clock or locks.
 *
 * While there has been one version only, every stream began at it, and nothing
 * is recorded. An instance that has just started does not know which versions
 * there were: it learns it from an instance that does, or, if all have started
 * at once, from the record of the weights lease, in which each holder keeps the
 * versions that it knows.
 */
#ifndef PROCESS_SOFTWARE_HISTORY_H
#define PROCESS_SOFTWARE_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** A stream is resumed within this time after its endpoint has left,
	 * ms, or not at all. */
	SOFTWARE_KEEP_MS = 60000,
	/** A version beside which another one is known gets no new streams for
	 * this time, ms: by then all instances know it. */
	SOFTWARE_NEW_MS = 2000,
	/** Most versions that are known at once; with more, `mixed` stays set
	 * for SOFTWARE_KEEP_MS. */
	SOFTWARE_HISTORY_MAX = 32,
	/** Longest note for the lease record with its NUL, bytes. */
	SOFTWARE_NOTE_MAX_BYTES = 256,
};

/** A version of a service's software. */
typedef struct software_key {
	uint32_t service;  /**< Hash of its name. */
	uint32_t software; /**< See process/software.h. */
} software_key_t;

typedef struct software_entry {
	software_key_t key;
	uint64_t first_ms; /**< When it was first seen. */
	uint64_t last_ms;  /**< When it was last seen. */
	bool seen;	   /**< It was present in a step. */
	bool is_new;	   /**< Others of the service were seen before. */
} software_entry_t;

/** What the live instances say in their heartbeats. */
typedef struct software_peers {
	bool any_complete; /**< One that is complete is heard. */
	bool any_mixed;	   /**< One says that versions are mixed. */
} software_peers_t;

typedef struct software_history {
	uint64_t started_ms;
	uint64_t stepped_ms; /**< Time of the latest step or note. */
	bool complete;
	uint64_t mixed_until_ms; /**< Complete instances say so. */
	/** Versions that are not in `entries` may have been in use: there were
	 * too many, the note did not name them, or a complete instance said so
	 * while this one was not complete or had run for less than
	 * SOFTWARE_KEEP_MS. */
	uint64_t unlisted_until_ms;
	software_entry_t entries[SOFTWARE_HISTORY_MAX];
	size_t count;
} software_history_t;

void software_history_init(software_history_t *history, uint64_t now_ms);

/**
 * Applies the versions that the endpoint list shows now, and what others say.
 * @param present versions of the services that have streams, without
 *        duplicates
 */
void software_history_step(software_history_t *history,
			   const software_key_t *present, size_t count,
			   const software_peers_t *peers, uint64_t now_ms);

/** Applies the note of the lease record that this instance has acquired; an
 * empty text if there was none. The history is complete from then on. */
void software_history_read_note(software_history_t *history, const char *note,
				uint64_t now_ms);

/** Note for the lease record as of the latest step: `service:software` in
 * lower-case hex, joined by commas, or "*" if more than these may be mixed or
 * they do not fit. */
void software_history_write_note(const software_history_t *history,
				 char note[SOFTWARE_NOTE_MAX_BYTES]);

/** Whether some service has had several versions lately. */
bool software_history_is_mixed(const software_history_t *history,
			       uint64_t now_ms);

/** What the instance says to others in its heartbeats: whether versions are
 * mixed by its own knowledge. What it only hears from them is left out, so that
 * instances do not keep each other mixed. */
bool software_history_says_mixed(const software_history_t *history,
				 uint64_t now_ms);

/** Whether it is known which versions there were. */
bool software_history_is_complete(const software_history_t *history);

/** Whether a version gets no new streams yet; also before the first step that
 * shows it beside another one. */
bool software_history_is_new(const software_history_t *history,
			     software_key_t key, uint64_t now_ms);

#endif
