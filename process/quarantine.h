/**
 * @file
 * Decision module: requests that crash the engines that run them.
 *
 * When an engine dies, the fingerprint of each request that ran on it becomes
 * a suspect. A suspect may run again only with a permission, one run at a time
 * in the whole fleet and on an engine without other work. The permission is
 * granted by the fingerprint's home instance. A run that completes clears the
 * fingerprint; a second crash blocks it for a time.
 *
 * The home waits QUARANTINE_SETTLE_MS after the first crash before it grants
 * a run, so that instances which run the same request at that moment can say
 * so. Otherwise a third engine could be lost.
 *
 * Size: 50 KB.
 */
#ifndef PROCESS_QUARANTINE_H
#define PROCESS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	QUARANTINE_MAX = 256,
	/** Crashes after which a fingerprint is blocked. */
	QUARANTINE_CRASHES_MAX = 2,
	/** Runs of one fingerprint that are known at the same time. */
	QUARANTINE_RUNS_MAX = 8,
	QUARANTINE_SETTLE_MS = 400,
	/** A suspect without further news is forgotten after this time. */
	QUARANTINE_SUSPECT_MS = 300000,
	/** Time a caller of quarantine_claim() waits while another runs. */
	QUARANTINE_RETRY_MS = 250,
};

typedef struct quarantine_run {
	uint64_t run; /**< Unique id of the run; 0 for a free place. */
	uint64_t deadline_ms;
} quarantine_run_t;

typedef struct quarantine_entry {
	uint64_t fingerprint;
	uint64_t crashes[QUARANTINE_CRASHES_MAX];
	/** Crash it was cleared of; late news of it counts no more. */
	uint64_t cleared_crash;
	uint64_t first_crash_ms;
	uint64_t last_news_ms;
	uint64_t blocked_until_ms;
	uint32_t crash_count;
	quarantine_run_t runs[QUARANTINE_RUNS_MAX];
} quarantine_entry_t;

typedef struct quarantine {
	quarantine_entry_t entries[QUARANTINE_MAX];
	size_t count;
	uint64_t block_ms;
} quarantine_t;

typedef enum quarantine_status {
	QUARANTINE_FREE,    /**< Nothing is known against the request. */
	QUARANTINE_SUSPECT, /**< It needs a permission to run. */
	QUARANTINE_BLOCKED, /**< Refuse it with ERR_QUARANTINED. */
} quarantine_status_t;

typedef enum quarantine_decision_kind {
	QUARANTINE_GRANTED,
	QUARANTINE_WAIT,
	QUARANTINE_REFUSED,
} quarantine_decision_kind_t;

typedef struct quarantine_decision {
	quarantine_decision_kind_t kind;
	uint64_t wait_ms; /**< Until the next try, or until the block ends. */
} quarantine_decision_t;

/** @param block_ms how long a fingerprint stays blocked */
void quarantine_init(quarantine_t *quarantine, uint64_t block_ms);

/**
 * What is known of a fingerprint.
 * @param wait_ms receives the time until a block ends; may be NULL
 */
quarantine_status_t quarantine_check(const quarantine_t *quarantine,
				     uint64_t fingerprint, uint64_t now_ms,
				     uint64_t *wait_ms);

/**
 * Takes the news of a crash. The same crash may be reported many times.
 * @param crash identity of the crash: endpoint and incarnation, hashed
 * @return whether the crash is news
 */
bool quarantine_crash(quarantine_t *quarantine, uint64_t fingerprint,
		      uint64_t crash, uint64_t now_ms);

/**
 * Takes the news that a suspect completed.
 * @return whether that is news
 */
bool quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint,
		      uint64_t now_ms);

/**
 * Asks for an isolated run; only the fingerprint's home instance decides.
 * @param run id of the run, unique in the fleet
 * @param run_ms the permission ends after this time without a result
 */
quarantine_decision_t quarantine_claim(quarantine_t *quarantine,
				       uint64_t fingerprint, uint64_t run,
				       uint64_t run_ms, uint64_t now_ms);

/** An instance was running the request when the news reached it. */
void quarantine_running(quarantine_t *quarantine, uint64_t fingerprint,
			uint64_t run, uint64_t run_ms, uint64_t now_ms);

/** A run ended; its result, if there is one, is reported separately. */
void quarantine_release(quarantine_t *quarantine, uint64_t fingerprint,
			uint64_t run);

#endif
