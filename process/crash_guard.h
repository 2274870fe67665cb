/**
 * @file
 * Prevents a request that crashes engines from reaching more of them: connects
 * the quarantine with gossip and with the requests that this instance runs.
 *
 * Each model request calls crash_guard_begin() before an attempt and
 * crash_guard_end() after it. A suspect waits for the permission of the
 * instance that owns its fingerprint and must then run alone on an engine.
 */
#ifndef PROCESS_CRASH_GUARD_H
#define PROCESS_CRASH_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "process/gossip.h"

enum {
	/** Concurrent attempts of this instance that are tracked. */
	CRASH_GUARD_RUNS_MAX = 2048,
	/** The permission for an isolated run expires after this time. */
	CRASH_GUARD_RUN_LIMIT_MS = 120000,
};

typedef struct crash_guard crash_guard_t;

/** How an attempt ended. */
typedef enum crash_guard_result {
	/** The engine finished the request. */
	CRASH_GUARD_COMPLETED,
	/** The engine crashed while it ran the request. */
	CRASH_GUARD_CRASHED,
	/** Unknown: cancelled, connection lost, or never sent. */
	CRASH_GUARD_ABANDONED,
} crash_guard_result_t;

/** An attempt that the guard tracks. */
typedef struct crash_guard_run {
	uint64_t fingerprint;
	uint64_t run_id; /**< Unique id. */
	bool isolated;	 /**< It must run on an engine without other work. */
} crash_guard_run_t;

/**
 * @param block_ms how long a request that crashed two engines is rejected
 * @return 0 or ERR_NO_MEMORY
 */
int crash_guard_open(uint64_t block_ms, uint64_t seed, crash_guard_t **guard);

/** Changes block_ms; blocks that have begun keep their end. */
void crash_guard_set_block(crash_guard_t *guard, uint64_t block_ms);

void crash_guard_close(crash_guard_t *guard);

/**
 * Connects the guard with gossip. Without gossip the guard decides alone.
 * Must be called at most once, before requests are served.
 */
void crash_guard_connect(crash_guard_t *guard, gossip_t *gossip);

/** Callbacks for gossip_hooks_t; the context is the guard. */
void crash_guard_on_rumor(void *context, const peer_rumor_t *rumor);
peer_claim_answer_t crash_guard_on_claim(void *context,
					 const peer_claim_t *claim);
void crash_guard_on_tick(void *context);

/**
 * Begins an attempt. Blocks while a suspect waits for permission.
 * @param deadline_ms monotonic time until which it may wait
 * @param retry_after_ms on ERR_QUARANTINED, the time until the block ends
 * @return 0, ERR_QUARANTINED, ERR_DEADLINE, or ERR_LIMIT
 */
int crash_guard_begin(crash_guard_t *guard, uint64_t fingerprint,
		      uint64_t deadline_ms, crash_guard_run_t *run,
		      uint64_t *retry_after_ms);

/**
 * Reports how an attempt ended.
 * @param crash id of the crash, see crash_guard_crash_id(); used with
 *              CRASH_GUARD_CRASHED only
 */
void crash_guard_end(crash_guard_t *guard, const crash_guard_run_t *run,
		     crash_guard_result_t result, uint64_t crash);

/** Id of the crash of one incarnation of an endpoint. */
uint64_t crash_guard_crash_id(uint64_t endpoint, uint64_t incarnation);

#endif
