/**
 * @file
 * State that this instance keeps about one endpoint: its identity, its last
 * load report, the requests this instance sent since, queue waits observed in
 * answers, failures, and whether it is leaving (shutting down).
 *
 * "Own" requests are those sent by this instance. Pure logic: no I/O, clock or
 * locks; the caller passes `now_ms` (monotonic) and serialises calls. One
 * endpoint_t takes 560 bytes: 35 endpoints 20 KB, a pool of 800 endpoints
 * 0.45 MB.
 *
 * Calls for each request sent: endpoint_sent(), at most one
 * endpoint_first_token(), and exactly one endpoint_ended().
 */
#ifndef PROCESS_ENDPOINT_H
#define PROCESS_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/cache_index.h"
#include "process/rng.h"

enum {
	ENDPOINT_NAME_MAX_BYTES = 64,
	ENDPOINT_URGENCY_COUNT = 3,
	/** Consecutive failures after which an endpoint is ejected. */
	ENDPOINT_FAILURES_MAX = 3,
	ENDPOINT_EJECT_MIN_MS = 1000,
	ENDPOINT_EJECT_MAX_MS = 60000,
	/** The share of its usual traffic rises from 10% to 100% over this
	 * time. */
	ENDPOINT_SLOW_START_MS = 10000,
	/** An isolation that is not ended by then expires. */
	ENDPOINT_ISOLATION_MAX_MS = 120000,
	/** An older load report is ignored. */
	ENDPOINT_REPORT_MAX_AGE_MS = 10000,
	/** Tokens sent are counted by time, so that those that a load report
	 * does not cover yet can be added to it. */
	ENDPOINT_SENT_BUCKETS = 16,
	ENDPOINT_SENT_BUCKET_MS = 250,
	/** An endpoint is stalled if no own request made progress for longer
	 * than this. */
	ENDPOINT_STALL_MS = 5000,
	/**
	 * A plain service reports no incarnation, so a restart cannot end its
	 * leaving mark. The mark expires after this time instead; a service
	 * that is still leaving refuses the next call, which renews the mark.
	 */
	ENDPOINT_LEAVING_UNKNOWN_MS = 60000,
};

/** Answer to `GET /engine/load`; absent strings are NULL. */
typedef struct engine_load {
	uint64_t incarnation;
	uint64_t seq;
	uint32_t age_ms; /**< Age of the values when the engine answered. */
	uint32_t running;
	uint32_t queued;
	/** Prompt tokens still to prefill, without cached tokens. */
	uint64_t queued_tokens;
	uint32_t kv_used_blocks;
	uint32_t kv_total_blocks;
	bool leaving;
	const char *model;
	const char *adapter;
	const char *weights_version;
} engine_load_t;

/** Outcome of a request that was sent to an endpoint. */
typedef enum endpoint_outcome {
	ENDPOINT_DONE,	    /**< Complete answer. */
	ENDPOINT_CANCELLED, /**< Cancelled by this instance; no sign of health
			       or failure. */
	ENDPOINT_REFUSED,   /**< Not run: the endpoint answered that it is
			       leaving. */
	ENDPOINT_FAILED,    /**< No connection, timeout or bad answer. */
	ENDPOINT_LOST,	    /**< Connection lost in the middle of an answer. */
} endpoint_outcome_t;

/** Whether an endpoint may get new requests; if not, the reason. */
typedef enum endpoint_state {
	ENDPOINT_USABLE,
	ENDPOINT_SLOW_START,
	ENDPOINT_EJECTED,
	ENDPOINT_LEAVING,
	ENDPOINT_ISOLATED,
} endpoint_state_t;

/** State of one endpoint. A request is waiting until its first token. */
typedef struct endpoint {
	uint64_t id_hash;
	/* Current identity; incarnation is 0 until known. */
	uint64_t incarnation;
	uint64_t event_seq;	   /**< Next cache event expected. */
	uint32_t event_generation; /**< Incremented at each gap in events. */
	char model[ENDPOINT_NAME_MAX_BYTES];
	char adapter[ENDPOINT_NAME_MAX_BYTES];
	char weights_version[ENDPOINT_NAME_MAX_BYTES];
	char role[ENDPOINT_NAME_MAX_BYTES];
	/** Its id is a hash of endpoint id, incarnation, weights version and
	 * event generation, so that a change of any of them invalidates all
	 * entries of the cache index for this endpoint. */
	cache_index_source_t cache_index_source;
	/* Last load report. */
	uint64_t report_at_ms; /**< Time of measurement; 0 if no report. */
	uint64_t report_seq;
	uint32_t report_running;
	uint32_t report_queued;
	uint32_t kv_used_blocks;
	uint32_t kv_total_blocks;
	double report_tokens;
	/* Own requests. */
	/** Ring of time buckets: prompt tokens to prefill, by time sent. */
	uint32_t sent_tokens[ENDPOINT_SENT_BUCKETS];
	uint64_t sent_bucket; /**< Latest: now_ms / ENDPOINT_SENT_BUCKET_MS. */
	uint32_t running;     /**< Own open requests, with those waiting. */
	uint32_t waiting;     /**< Own requests without a first token. */
	uint64_t waiting_since_ms; /**< Last progress while any waits. */
	/** Smoothed queue waits from answers, and the time of the last one. */
	double observed_wait_ms[ENDPOINT_URGENCY_COUNT];
	uint64_t observed_at_ms[ENDPOINT_URGENCY_COUNT];
	/** Smoothed ratio of the time to the first token, without queueing, to
	 * its expected value. */
	double slowness;
	/* Failures. */
	uint32_t failures;  /**< Consecutive. */
	uint32_t ejections; /**< Since the last success after a slow start. */
	uint64_t ejected_until_ms;
	uint64_t slow_start_until_ms;
	uint64_t isolated_until_ms; /**< 0 when not isolated. */
	bool leaving;		    /**< By the configuration. */
	bool leaving_marked;	    /**< By instance list or gossip. */
	uint64_t leaving_marked_at_ms;
	uint64_t leaving_marked_incarnation; /**< 0 if not known. */
	bool leaving_reported; /**< By its load report or answer. */
	uint64_t leaving_reported_at_ms;
} endpoint_t;

/** Initialises to usable and idle, with an unknown identity. */
void endpoint_init(endpoint_t *endpoint, uint64_t id_hash);

/**
 * Applies the identity from an answer or report. A new incarnation or weights
 * version invalidates the cache index for this endpoint; a new incarnation
 * also ends ejection, isolation and the leaving state that the old one
 * reported, and starts a slow start.
 * @param weights_version NULL if not given
 * @return whether incarnation or weights version changed
 */
bool endpoint_set_identity(endpoint_t *endpoint, uint64_t incarnation,
			   const char *weights_version, uint64_t now_ms);

/** Sets model, adapter and role; NULL leaves one unchanged. */
void endpoint_set_role(endpoint_t *endpoint, const char *model,
		       const char *adapter, const char *role);

/** Applies a load report, unless it is older than the last one. */
void endpoint_apply_report(endpoint_t *endpoint, const engine_load_t *load,
			   uint64_t now_ms);

/**
 * Checks that a batch of cache events continues the last one. After a gap, the
 * cache index for this endpoint is invalid.
 * @param first_seq sequence number of the first event the endpoint still has
 *        at or after the one asked for
 * @param next_seq number after the last event of the batch
 * @return false after a gap
 */
bool endpoint_check_events(endpoint_t *endpoint, uint64_t incarnation,
			   uint64_t first_seq, uint64_t next_seq,
			   uint64_t now_ms);

/** Counts a request sent. @param tokens prompt tokens to prefill */
void endpoint_sent(endpoint_t *endpoint, uint32_t tokens, uint64_t now_ms);

/**
 * Records the prefill event (first token) of a request.
 * @param urgency 0..2
 * @param queue_ms time in the engine's queue as reported by the engine
 * @param compute_ms time from sending to the event without `queue_ms`
 * @param expected_ms expected `compute_ms` for the tokens computed
 */
void endpoint_first_token(endpoint_t *endpoint, uint32_t urgency,
			  uint32_t queue_ms, uint32_t compute_ms,
			  uint32_t expected_ms, uint64_t now_ms);

/**
 * Records the end of a request.
 * @param had_first_token whether endpoint_first_token() was called for it
 * @param rng for the jitter of the ejection time
 */
void endpoint_ended(endpoint_t *endpoint, endpoint_outcome_t outcome,
		    bool had_first_token, rng_t *rng, uint64_t now_ms);

/** Sets or clears the leaving mark of the configuration. */
void endpoint_set_leaving(endpoint_t *endpoint, bool leaving);

/**
 * Sets or clears the leaving mark of an incarnation from the instance list or
 * gossip. An answer or report of another incarnation clears the mark.
 * @param incarnation 0 if it is not known
 */
void endpoint_mark_leaving(endpoint_t *endpoint, uint64_t incarnation,
			   bool leaving, uint64_t now_ms);

/**
 * Whether the instance list, gossip or the endpoint itself reported that it is
 * leaving; the configuration does not count.
 */
bool endpoint_is_observed_leaving(const endpoint_t *endpoint, uint64_t now_ms);

/** Keeps all other requests away while an isolated request runs here. */
void endpoint_isolate(endpoint_t *endpoint, uint64_t now_ms);
void endpoint_end_isolation(endpoint_t *endpoint);

/** Whether the endpoint may get new requests, and why not. */
endpoint_state_t endpoint_state(const endpoint_t *endpoint, uint64_t now_ms);

/** Share of its usual traffic during a slow start, 0.1 to 1. */
double endpoint_slow_start_share(const endpoint_t *endpoint, uint64_t now_ms);

/**
 * Whether requests are queued or in prefill here, by the last report or,
 * without a recent report, by own requests.
 */
bool endpoint_is_busy(const endpoint_t *endpoint, uint64_t now_ms);

/** Whether neither the last report nor own requests show work here. */
bool endpoint_is_idle(const endpoint_t *endpoint, uint64_t now_ms);

/**
 * Expected queue wait of a request sent now, ms. It combines the reported
 * backlog, less what was prefilled since, plus own tokens sent since; queue
 * waits observed after the report; and, for a stalled endpoint, the time
 * without progress.
 * @param prefill_tokens_per_s speed of the model; 0: tokens do not count
 */
double endpoint_expected_wait_ms(const endpoint_t *endpoint, uint32_t urgency,
				 uint32_t prefill_tokens_per_s,
				 uint64_t now_ms);

/** Name of a state, for explanations and logs. */
const char *endpoint_state_name(endpoint_state_t state);

#endif
