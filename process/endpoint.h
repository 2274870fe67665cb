/**
 * @file
 * What this instance knows about one endpoint: identity in force, load,
 * own requests since the last report, waits seen, failures, leaving.
 *
 * No clock and no lock: the caller passes `now_ms` (monotonic) and serialises
 * calls. One endpoint_t takes 560 bytes: 35 endpoints 20 KB, a pool of
 * 800 endpoints 0.45 MB.
 *
 * Calls for each request sent: endpoint_sent(), at most one
 * endpoint_first_token(), and exactly one endpoint_ended().
 */
#ifndef PROCESS_ENDPOINT_H
#define PROCESS_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/belief.h"
#include "process/rng.h"

enum {
	ENDPOINT_NAME_MAX_BYTES = 64,
	ENDPOINT_URGENCY_COUNT = 3,
	/** Failures in a row before an endpoint is ejected. */
	ENDPOINT_FAILURES_MAX = 3,
	ENDPOINT_EJECT_MIN_MS = 1000,
	ENDPOINT_EJECT_MAX_MS = 60000,
	/** Share of traffic rises from 10% to all of it over this time. */
	ENDPOINT_SLOW_START_MS = 10000,
	/** An isolation ends by itself after this time. */
	ENDPOINT_ISOLATION_MAX_MS = 120000,
	/** Without a report for this long, reported load no longer counts. */
	ENDPOINT_REPORT_MAX_AGE_MS = 10000,
	/** Own requests are remembered by time to match a lagging report. */
	ENDPOINT_SENT_BUCKETS = 16,
	ENDPOINT_SENT_BUCKET_MS = 250,
	/** Own requests without progress for longer show a stalled endpoint. */
	ENDPOINT_STALL_MS = 5000,
	/**
	 * A plain service shows no incarnation, so its return is found out by
	 * a call after this time, which it refuses while it still leaves.
	 */
	ENDPOINT_LEAVING_UNKNOWN_MS = 60000,
};

/** Contents of `GET /engine/load`; strings may be NULL if absent. */
typedef struct endpoint_load {
	uint64_t incarnation;
	uint64_t seq;
	uint32_t age_ms; /**< Age of the figures when they were answered. */
	uint32_t running;
	uint32_t queued;
	/** Prompt tokens still to compute: without those it has cached. */
	uint64_t queued_tokens;
	uint32_t kv_used_blocks;
	uint32_t kv_total_blocks;
	bool leaving;
	const char *model;
	const char *adapter;
	const char *weights_version;
} endpoint_load_t;

/** How a request that was sent to an endpoint ended there. */
typedef enum endpoint_outcome {
	ENDPOINT_DONE,	    /**< Complete answer. */
	ENDPOINT_CANCELLED, /**< Cancelled by this side; says nothing. */
	ENDPOINT_REFUSED,   /**< Answered that it is leaving; not run. */
	ENDPOINT_FAILED,    /**< No connection, timeout or bad answer. */
	ENDPOINT_LOST,	    /**< Connection lost in the middle of an answer. */
} endpoint_outcome_t;

/** Whether and why not an endpoint may get new work. */
typedef enum endpoint_state {
	ENDPOINT_USABLE,
	ENDPOINT_SLOW_START,
	ENDPOINT_EJECTED,
	ENDPOINT_LEAVING,
	ENDPOINT_ISOLATED,
} endpoint_state_t;

/** A request in a sent-but-no-first-token state is *waiting*. */
typedef struct endpoint {
	uint64_t id_hash;
	/* Identity in force; incarnation 0 until known. */
	uint64_t incarnation;
	uint64_t event_seq;	   /**< Next cache event expected. */
	uint32_t event_generation; /**< Rises with each gap. */
	char model[ENDPOINT_NAME_MAX_BYTES];
	char adapter[ENDPOINT_NAME_MAX_BYTES];
	char weights_version[ENDPOINT_NAME_MAX_BYTES];
	char role[ENDPOINT_NAME_MAX_BYTES];
	/** Bound to id, incarnation, weights and generation. */
	belief_source_t belief;
	/* Last load report. */
	uint64_t report_at_ms; /**< Time the figures were true; 0 if none. */
	uint64_t report_seq;
	uint32_t report_running;
	uint32_t report_queued;
	uint32_t kv_used_blocks;
	uint32_t kv_total_blocks;
	double report_tokens;
	/* Own requests. */
	/** Tokens to be computed, by the time they were sent. */
	uint32_t sent_tokens[ENDPOINT_SENT_BUCKETS];
	uint64_t sent_bucket; /**< Latest one, now / ENDPOINT_SENT_BUCKET_MS. */
	uint32_t running;     /**< Own requests not ended, waiting ones too. */
	uint32_t waiting;     /**< Own requests without a first token. */
	uint64_t waiting_since_ms; /**< Last progress while any waits. */
	/** Queue waits seen in answers, smoothed, and the time of the last. */
	double seen_wait_ms[ENDPOINT_URGENCY_COUNT];
	uint64_t seen_at_ms[ENDPOINT_URGENCY_COUNT];
	/** Time to first token without queueing over its expected value. */
	double slowness;
	/* Failures. */
	uint32_t failures; /**< In a row. */
	uint32_t ejections;
	uint64_t ejected_until_ms;
	uint64_t slow_start_until_ms;
	uint64_t isolated_until_ms; /**< 0 when not isolated. */
	bool leaving;		    /**< By the configuration. */
	bool leaving_told;	    /**< By list or gossip. */
	uint64_t leaving_told_at_ms;
	uint64_t leaving_incarnation; /**< That `leaving_told` is about. */
	bool leaving_itself;	      /**< By its own report or answer. */
	uint64_t leaving_itself_at_ms;
} endpoint_t;

/** Starts with nothing known: usable, idle, identity unknown. */
void endpoint_init(endpoint_t *endpoint, uint64_t id_hash);

/**
 * Takes over the identity an answer or report shows. A new incarnation or
 * weights version ends all beliefs; a new incarnation also ends ejection,
 * isolation and what the old one said about leaving, and begins a slow start.
 * @param weights_version NULL if not shown
 * @return whether incarnation or weights version changed
 */
bool endpoint_identity(endpoint_t *endpoint, uint64_t incarnation,
		       const char *weights_version, uint64_t now_ms);

/** Takes over model, adapter and role in force; NULL leaves one unchanged. */
void endpoint_role(endpoint_t *endpoint, const char *model, const char *adapter,
		   const char *role);

/** Takes over a load report; one that is older than the last is ignored. */
void endpoint_report(endpoint_t *endpoint, const endpoint_load_t *load,
		     uint64_t now_ms);

/**
 * Checks a batch of cache events for continuity.
 * @param first_seq sequence number of the first event the endpoint still has
 *        at or after the one asked for
 * @param next_seq number after the last event of the batch
 * @return whether the batch follows the last one; otherwise all beliefs about
 *         this endpoint have ended
 */
bool endpoint_events(endpoint_t *endpoint, uint64_t incarnation,
		     uint64_t first_seq, uint64_t next_seq, uint64_t now_ms);

/** Counts a request sent. @param tokens prompt tokens it has to compute */
void endpoint_sent(endpoint_t *endpoint, uint32_t tokens, uint64_t now_ms);

/**
 * Counts the prefill event of a request.
 * @param urgency 0..2
 * @param queue_ms wait reported by the engine
 * @param compute_ms time from sending to the event without `queue_ms`
 * @param expected_ms what `compute_ms` should be for the tokens computed
 */
void endpoint_first_token(endpoint_t *endpoint, uint32_t urgency,
			  uint32_t queue_ms, uint32_t compute_ms,
			  uint32_t expected_ms, uint64_t now_ms);

/**
 * Counts the end of a request.
 * @param had_first_token whether endpoint_first_token() was called for it
 * @param rng jitter of the ejection time
 */
void endpoint_ended(endpoint_t *endpoint, endpoint_outcome_t outcome,
		    bool had_first_token, rng_t *rng, uint64_t now_ms);

/** Marks as leaving by the configuration, or no longer so. */
void endpoint_set_leaving(endpoint_t *endpoint, bool leaving);

/**
 * Marks an incarnation as leaving by list or gossip, or no longer so. Another
 * incarnation that shows itself ends the mark.
 * @param incarnation 0 if it is not known
 */
void endpoint_tell_leaving(endpoint_t *endpoint, uint64_t incarnation,
			   bool leaving, uint64_t now_ms);

/** Whether it is marked as leaving by other sources than the configuration. */
bool endpoint_is_told_leaving(const endpoint_t *endpoint, uint64_t now_ms);

/** Keeps all other work away while an isolated request runs here. */
void endpoint_isolate(endpoint_t *endpoint, uint64_t now_ms);
void endpoint_isolation_end(endpoint_t *endpoint);

/** Whether the endpoint may get new work. */
endpoint_state_t endpoint_state(const endpoint_t *endpoint, uint64_t now_ms);

/** Share of its usual traffic during a slow start, 0.1 to 1. */
double endpoint_slow_start_share(const endpoint_t *endpoint, uint64_t now_ms);

/** Whether requests wait or compute a prompt here, by report or own count. */
bool endpoint_is_busy(const endpoint_t *endpoint, uint64_t now_ms);

/** Whether neither the last report nor this instance has work here. */
bool endpoint_is_idle(const endpoint_t *endpoint, uint64_t now_ms);

/**
 * Expected wait before a request sent now starts to compute, ms: reported
 * backlog less what was computed since, plus own tokens since the report;
 * queue waits seen after the report; and the time since which own requests
 * wait without any progress.
 * @param prefill_tokens_per_s speed of the model; 0 counts no tokens
 */
double endpoint_expected_wait_ms(const endpoint_t *endpoint, uint32_t urgency,
				 uint32_t prefill_tokens_per_s,
				 uint64_t now_ms);

/** Name of a state in explanations and logs. */
const char *endpoint_state_name(endpoint_state_t state);

#endif
