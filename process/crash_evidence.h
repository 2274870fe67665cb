/**
 * @file
 * Crash evidence: finds out from crashes of engines which part of a prompt, or
 * which request, crashes every engine that begins to run it, and blocks it.
 * Pure logic: no I/O, clock or locks.
 *
 * A key identifies a part of a prompt or a whole request. When an engine
 * crashes, the keys of the runs that it had not begun to answer are suspects of
 * that crash. A run of the same key that begins to answer clears the key. A key
 * is blocked after CRASH_EVIDENCE_CRASHES_MIN separate crashes without having
 * been cleared; a part only if no single request is a suspect of all of them,
 * because all parts of one request that is sent again and again look alike. Of
 * several such parts the deepest one is blocked, and crashes that it explains
 * no longer count against the others: what stands further down in a prompt is
 * shared by fewer requests. A part that stands above others waits until news of
 * these must have arrived; if it is blocked before, its block ends when a
 * deeper one is blocked and explains the crashes.
 *
 * A blocked key is refused by all instances. One instance, its owner, lets a
 * single run pass from time to time; if that begins to answer, the key is
 * cleared for all.
 *
 * A lost connection is only a sign of a crash. An engine that is shown to have
 * lived after it refutes the crash for all instances: its record is removed,
 * and a block that has too few crashes left without it ends.
 *
 * All instances exchange what they learn as crash_news_t, so that each sees all
 * crashes. News may arrive late, repeatedly, in another order, or not at all.
 */
#ifndef PROCESS_CRASH_EVIDENCE_H
#define PROCESS_CRASH_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/instance_place.h"

enum {
	/** Separate crashes after which a key is blocked. */
	CRASH_EVIDENCE_CRASHES_MIN = 3,
	/** Crashes within this time of each other count as one, ms: engines
	 * that fail together have a common cause that is not the request. */
	CRASH_EVIDENCE_GROUP_MS = 100,
	/** Wait of a part for a deeper one that lacks a single crash, ms: news
	 * that is lost is made up for by the others' blocks, which are sent
	 * each second. */
	CRASH_EVIDENCE_SETTLE_MS = 1500,
	/** Time that news travels if it is not lost, ms. */
	CRASH_EVIDENCE_NEWS_DELAY_MS = 300,
	/** Times that are reported differ by less than this, ms: age_ms does
	 * not contain the time that the news travelled. */
	CRASH_EVIDENCE_JITTER_MS = 500,
	/** A crash is forgotten after this time, ms. */
	CRASH_EVIDENCE_TTL_MS = 120000,
	/** Crashes and suspects of each that are kept; further suspects are
	 * ignored. */
	CRASH_EVIDENCE_CRASHES_MAX = 48,
	CRASH_EVIDENCE_SUSPECTS_MAX = 64,
	/** Keys that were cleared recently; late news of earlier crashes does
	 * not make them suspects again. */
	CRASH_EVIDENCE_CLEARED_MAX = 256,
	CRASH_EVIDENCE_BLOCKED_MAX = 64,
	/** Crashes that were refuted recently; late news of them does not
	 * count.
	 */
	CRASH_EVIDENCE_REFUTED_MAX = 64,
	/** Time from the block to the first probe, ms; the time to each further
	 * one is CRASH_EVIDENCE_PROBE_FACTOR times as long. */
	CRASH_EVIDENCE_PROBE_MS = 10000,
	CRASH_EVIDENCE_PROBE_FACTOR = 4,
	/** Least time until a retry of a run that another instance may probe
	 * already, ms. */
	CRASH_EVIDENCE_RETRY_MIN_MS = 1000,
	/** crash_key_t::depth of a key that identifies a whole request. */
	CRASH_KEY_REQUEST = 255,
};

/** What a run may be refused for. */
typedef struct crash_key {
	uint64_t id;	/**< Not 0. */
	uint32_t depth; /**< Position of the part in the prompt, from 0, or
			     CRASH_KEY_REQUEST. */
} crash_key_t;

typedef enum crash_news_kind {
	/** A run with the key was lost in a crash before its answer began. */
	CRASH_NEWS_SUSPECT,
	/** A run with the key began to answer. */
	CRASH_NEWS_CLEARED,
	/** The key is blocked. */
	CRASH_NEWS_BLOCKED,
	/** The incarnation lived after what was taken for its crash. */
	CRASH_NEWS_REFUTED,
} crash_news_kind_t;

/** What one instance tells the others. */
typedef struct crash_news {
	crash_news_kind_t kind;
	crash_key_t key;  /**< Not of REFUTED. */
	uint64_t crash;	  /**< SUSPECT: the incarnation that crashed; REFUTED:
			       that lived. */
	uint64_t request; /**< SUSPECT: the request that ran on it. */
	uint32_t probes;  /**< BLOCKED: runs that were let pass since. */
	uint32_t age_ms;  /**< Since the crash, the answer, the block or the
			       sign of life. */
} crash_news_t;

typedef struct crash_suspect {
	crash_key_t key;
	uint64_t request;
} crash_suspect_t;

typedef struct crash_record {
	uint64_t crash;
	uint64_t time_ms;    /**< The earliest one reported. */
	uint64_t learned_ms; /**< When the first news of it was applied. */
	uint32_t suspect_count;
	crash_suspect_t suspects[CRASH_EVIDENCE_SUSPECTS_MAX];
} crash_record_t;

typedef struct blocked_key {
	crash_key_t key;
	uint64_t blocked_ms;
	uint32_t probes;
	/** For the caller, which logs and shares each block once. */
	bool announced;
} blocked_key_t;

typedef struct cleared_key {
	uint64_t id;	       /**< 0 when free. */
	uint64_t cleared_ms;   /**< 0: never. */
	uint64_t unblocked_ms; /**< Blocks until then are void; 0: none. */
} cleared_key_t;

typedef struct refuted_crash {
	uint64_t crash;
	uint64_t alive_ms; /**< 0 when free. */
} refuted_crash_t;

/** About 80 KB. */
typedef struct crash_evidence {
	crash_record_t records[CRASH_EVIDENCE_CRASHES_MAX]; /**< By time. */
	size_t record_count;
	blocked_key_t blocked[CRASH_EVIDENCE_BLOCKED_MAX];
	size_t blocked_count;
	cleared_key_t cleared[CRASH_EVIDENCE_CLEARED_MAX];
	size_t next_cleared;
	refuted_crash_t refuted[CRASH_EVIDENCE_REFUTED_MAX];
	size_t next_refuted;
	/** When a key that waits is to be blocked, or UINT64_MAX. */
	uint64_t recheck_ms;
} crash_evidence_t;

/** What to do with a run. */
typedef enum crash_verdict {
	CRASH_RUN,
	/** Run it; it tests a blocked key. */
	CRASH_PROBE,
	/** Refuse it with ERR_CRASH_BLOCKED. */
	CRASH_REFUSE,
} crash_verdict_t;

void crash_evidence_init(crash_evidence_t *evidence);

/** Whether any key is a suspect or blocked; if not, nothing needs to be
 * looked up. */
static inline bool crash_evidence_is_empty(const crash_evidence_t *evidence)
{
	return !evidence->record_count && !evidence->blocked_count;
}

/**
 * Applies what this instance saw (with age_ms 0) or another one reported.
 * @return whether it was news: an own observation that was not news need not be
 *         sent to the others
 */
bool crash_evidence_apply(crash_evidence_t *evidence, const crash_news_t *news,
			  uint64_t now_ms);

/** Forgets old crashes and blocks keys whose wait is over; to be called
 * periodically. */
void crash_evidence_advance(crash_evidence_t *evidence, uint64_t now_ms);

/**
 * Whether an answer shows that an incarnation outlived what is kept as its
 * crash: a process that crashed has lost its connections.
 * @param connected_ms when the connection was established
 * @param sent_ms when the request was sent
 */
bool crash_evidence_is_outlived(const crash_evidence_t *evidence,
				uint64_t crash, uint64_t connected_ms,
				uint64_t sent_ms);

/** Whether the key is a suspect of a crash that is kept, or blocked. */
bool crash_evidence_has(const crash_evidence_t *evidence, uint64_t key_id);

/** The blocked key with this id, or NULL. */
const blocked_key_t *crash_evidence_blocked(const crash_evidence_t *evidence,
					    uint64_t key_id);

/**
 * Decides whether a run with these keys may be sent to an engine. A probe is
 * permitted only if every blocked key of the run is due for one and owned by
 * this instance; it is counted at once.
 * @param retry_after_ms on CRASH_REFUSE, time until the next probe; may be NULL
 */
crash_verdict_t crash_evidence_decide(crash_evidence_t *evidence,
				      const crash_key_t *keys, size_t count,
				      const instance_place_t *owner,
				      uint64_t now_ms,
				      uint64_t *retry_after_ms);

/** News of the blocked key at `index`, for the other instances. */
void crash_evidence_describe_blocked(const crash_evidence_t *evidence,
				     size_t index, uint64_t now_ms,
				     crash_news_t *news);

#endif
