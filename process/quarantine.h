/**
 * @file
 * Quarantine: decides whether a request that may crash engines runs, waits or
 * is refused. Pure logic: no I/O, clock or locks.
 *
 * A request is identified by its fingerprint, a hash of cache salt, model and
 * content. When an engine crashes, the fingerprint of each request that it was
 * running becomes a suspect. A suspect may run again only in isolation: one run
 * at a time among all instances, on an engine that runs nothing else, and with
 * the permission of the instance that owns the fingerprint. A run that
 * completes clears the fingerprint; a second crash blocks it for some time.
 *
 * After the first crash, the owner waits QUARANTINE_SETTLE_MS before it permits
 * a run, so that instances that are running the same request at that moment can
 * report this. Otherwise a third engine could crash.
 *
 * The size of quarantine_t is 50 KB.
 */
#ifndef PROCESS_QUARANTINE_H
#define PROCESS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	QUARANTINE_ENTRIES_MAX = 256,
	/** Crashes after which a fingerprint is blocked. */
	QUARANTINE_CRASHES_MAX = 2,
	/** Concurrent runs of one fingerprint that are tracked. */
	QUARANTINE_RUNS_MAX = 8,
	/** Wait after the first crash before a run is permitted. */
	QUARANTINE_SETTLE_MS = 400,
	/** A suspect is forgotten this long after its last change. */
	QUARANTINE_SUSPECT_TTL_MS = 300000,
	/** Pause before a claim is repeated while another run is permitted. */
	QUARANTINE_RETRY_MS = 250,
};

typedef struct quarantine_run {
	uint64_t run_id; /**< 0 if the slot is free. */
	uint64_t deadline_ms;
} quarantine_run_t;

typedef struct quarantine_entry {
	uint64_t fingerprint;
	uint64_t crashes[QUARANTINE_CRASHES_MAX];
	/** Crash that it was cleared of; late reports of it are ignored. */
	uint64_t cleared_crash;
	uint64_t first_crash_ms;
	uint64_t updated_ms; /**< Last crash or clearing, or creation. */
	uint64_t blocked_until_ms;
	uint32_t crash_count;
	quarantine_run_t runs[QUARANTINE_RUNS_MAX];
} quarantine_entry_t;

typedef struct quarantine {
	quarantine_entry_t entries[QUARANTINE_ENTRIES_MAX];
	size_t count;
	uint64_t block_ms;
} quarantine_t;

typedef enum quarantine_status {
	QUARANTINE_FREE,    /**< No crash is known; it may run. */
	QUARANTINE_SUSPECT, /**< It needs permission to run. */
	QUARANTINE_BLOCKED, /**< Refuse it with ERR_QUARANTINED. */
} quarantine_status_t;

typedef enum quarantine_decision_kind {
	QUARANTINE_GRANTED,
	QUARANTINE_WAIT,
	QUARANTINE_REFUSED,
} quarantine_decision_kind_t;

typedef struct quarantine_decision {
	quarantine_decision_kind_t kind;
	uint64_t wait_ms; /**< Until the next claim, or the end of the block. */
} quarantine_decision_t;

/** @param block_ms how long a fingerprint stays blocked */
void quarantine_init(quarantine_t *quarantine, uint64_t block_ms);

/**
 * Returns the status of a fingerprint.
 * @param wait_ms receives the time until a block ends; may be NULL
 */
quarantine_status_t quarantine_check(const quarantine_t *quarantine,
				     uint64_t fingerprint, uint64_t now_ms,
				     uint64_t *wait_ms);

/**
 * Records a crash. The same crash may be reported many times.
 * @param crash id of the crash: hash of endpoint and incarnation
 * @return whether the crash was not known before
 */
bool quarantine_record_crash(quarantine_t *quarantine, uint64_t fingerprint,
			     uint64_t crash, uint64_t now_ms);

/**
 * Records that a suspect completed.
 * @return whether that changed its status
 */
bool quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint,
		      uint64_t now_ms);

/**
 * Requests permission for an isolated run. Only the instance that owns the
 * fingerprint decides.
 * @param run_id unique among all instances
 * @param run_ms time after which the permission expires without a result
 */
quarantine_decision_t quarantine_claim(quarantine_t *quarantine,
				       uint64_t fingerprint, uint64_t run_id,
				       uint64_t run_ms, uint64_t now_ms);

/**
 * Records a run that had started before its instance learned of the crash. New
 * runs wait until it ends, or for run_ms.
 */
void quarantine_record_run(quarantine_t *quarantine, uint64_t fingerprint,
			   uint64_t run_id, uint64_t run_ms, uint64_t now_ms);

/** Records the end of a run; its result, if any, is reported separately. */
void quarantine_end_run(quarantine_t *quarantine, uint64_t fingerprint,
			uint64_t run_id);

#endif
