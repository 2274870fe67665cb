/**
 * @file
 * Runtime state of one incarnation of an endpoint, in addition to its entry in
 * the endpoint list: requests in progress, weights and failures.
 *
 * Shared by the front thread, which counts its own requests and records their
 * answers, and the control thread, which adds what peers report. Every field is
 * atomic on its own; fields that are read together may be inconsistent.
 */
#ifndef PROCESS_ENDPOINT_LOAD_H
#define PROCESS_ENDPOINT_LOAD_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/ref.h>

#include "process/endpoint_limit.h"

enum {
	/** Consecutive failures after which an endpoint is ejected. */
	ENDPOINT_LOAD_FAILURES_MAX = 2,
	/** First and longest ejection time, ms. The first covers the connection
	 * resets of a restart; the longest is a fraction of clients' timeouts.
	 */
	ENDPOINT_LOAD_EJECT_MIN_MS = 300,
	ENDPOINT_LOAD_EJECT_MAX_MS = 3000,
	/** An endpoint that answered this instance within this time is not
	 * ejected because of failures at a peer, ms. */
	ENDPOINT_LOAD_TRUST_OWN_MS = 400,
	/** Weight of a new sample in the error rate, in 1/1024. */
	ENDPOINT_LOAD_ERROR_WEIGHT = 96,
};

/** Limit of an endpoint that has named none. */
#define ENDPOINT_UNLIMITED UINT32_MAX

/** Why an endpoint takes no requests; see endpoint_news.h. */
typedef enum endpoint_news_kind {
	ENDPOINT_NEWS_REPLACED,	   /**< Another server has its address. */
	ENDPOINT_NEWS_UNREACHABLE, /**< Connections are refused or reset. */
	/** It refuses requests although it should have free slots. */
	ENDPOINT_NEWS_NOT_SERVING,
	ENDPOINT_NEWS_KIND_COUNT,
} endpoint_news_kind_t;

/** What this instance or a peer saw; times are monotonic. */
typedef struct endpoint_mark {
	_Atomic uint64_t seen_ms;
	_Atomic uint64_t until_ms; /**< 0: none. */
	_Atomic uint64_t reporter; /**< Name hash of the peer; 0: this one. */
} endpoint_mark_t;

typedef struct endpoint_load {
	struct urcu_ref ref;
	char *id;
	/** Time of its start; 0 if not known. */
	uint64_t started_unix_ms;
	uint64_t id_hash;
	/** Requests of this instance in progress, the KV cache they need, and
	 * their prompt tokens still to prefill. */
	_Atomic uint32_t own_running;
	_Atomic uint32_t own_reserved_tokens;
	_Atomic uint32_t own_prefill_tokens;
	/** The same of all other instances, by their last heartbeats. */
	_Atomic uint32_t peer_running;
	_Atomic uint32_t peer_reserved_tokens;
	_Atomic uint32_t peer_prefill_tokens;
	/** Newest weights version in an answer or a report; 0 if none. */
	_Atomic uint64_t observed_weights;
	/** No new requests before this monotonic time, ms: it loads weights, or
	 * its weights are not known. */
	_Atomic uint64_t loading_until_ms;
	/** No new requests before this monotonic time, ms: it failed. */
	_Atomic uint64_t ejected_until_ms;
	/** No requests of this instance before this monotonic time, ms: the
	 * endpoint asked for it. */
	_Atomic uint64_t paused_until_ms;
	/** No new streams that may be resumed before this monotonic time, ms,
	 * unless nothing else is usable: not all instances may know the version
	 * of its software. */
	_Atomic uint64_t streams_from_ms;
	_Atomic uint32_t failures;     /**< Consecutive. */
	_Atomic uint32_t ejections;    /**< Since the last success. */
	_Atomic uint32_t error_rate;   /**< Moving average, in 1/1024. */
	_Atomic uint32_t latency_us;   /**< Moving average, plain services. */
	_Atomic uint64_t last_byte_ms; /**< Of any answer, monotonic. */
	_Atomic uint64_t accepted_ms;  /**< When it last began to answer a
					    request with success. */
	_Atomic bool leaving;	       /**< Reported by its answers. */
	endpoint_mark_t marks[ENDPOINT_NEWS_KIND_COUNT];
	/** Requests that it accepts from all instances together, per 1000 s,
	 * or ENDPOINT_UNLIMITED; and the monotonic time of the answer. */
	_Atomic uint32_t limit;
	_Atomic uint64_t limit_known_ms;
	/** When the limit changed by an answer to this instance; 0: never. */
	_Atomic uint64_t limit_changed_ms;
	/** Refusals for want of room that it withstands in a second, or
	 * ENDPOINT_UNLIMITED; and the monotonic time of the answer, 0: none.
	 */
	_Atomic uint32_t refusals_max;
	_Atomic uint64_t refusals_known_ms;
	/** When this instance last sent it a request; used by the front thread.
	 */
	uint64_t sent_ms;
	/** Share of this instance in the limit; used by the front thread. */
	endpoint_limit_t limit_share;
} endpoint_load_t;

/** Allocates one with one reference; NULL when out of memory. */
endpoint_load_t *endpoint_load_new(const char *id, uint64_t started_unix_ms);

/** Adds and drops a reference. */
void endpoint_load_get(endpoint_load_t *load);
void endpoint_load_put(endpoint_load_t *load);

/** Records an answer from a healthy endpoint; ends an ejection. */
void endpoint_load_succeeded(endpoint_load_t *load, uint64_t now_ms);

/** Avoids the endpoint until `until_ms`, or longer if it loads weights. */
void endpoint_load_avoid(endpoint_load_t *load, uint64_t until_ms);

/** A limit as it is logged: -1 for none. */
static inline long long endpoint_limit_logged(uint32_t limit)
{
	return limit == ENDPOINT_UNLIMITED ? -1 : (long long)limit;
}

/**
 * Sets the limit that an answer named, unless a newer one is known.
 * @param known_ms monotonic time of the answer
 * @return true if the limit has changed
 */
bool endpoint_load_set_limit(endpoint_load_t *load, uint32_t limit,
			     uint64_t known_ms);

/** Severity of a failure. */
typedef enum failure_severity {
	FAILURE_REQUEST,     /**< One request failed. */
	FAILURE_LOST,	     /**< Likewise, as its connection was lost. */
	FAILURE_UNREACHABLE, /**< Not reachable: ejected at once. */
	FAILURE_REFUSED,     /**< Likewise: its machine refuses connections. */
} failure_severity_t;

/** Whether an ejection at this time would not follow another one. */
bool endpoint_load_ejection_is_first(const endpoint_load_t *load,
				     uint64_t now_ms);

/** The next ejection is longer than one of `ejected_ms` at a peer. */
void endpoint_load_continue_ejection(endpoint_load_t *load,
				     uint64_t ejected_ms);

/**
 * Records a failed attempt that the endpoint is to blame for.
 * @return true if this ejects the endpoint
 */
bool endpoint_load_failed(endpoint_load_t *load, failure_severity_t severity,
			  uint64_t now_ms);

/**
 * Ejects an endpoint that a peer reports as ejected for another `ejected_ms`.
 * Ignored if it answered this instance within ENDPOINT_LOAD_TRUST_OWN_MS.
 * @return true if the endpoint was not ejected here before
 */
bool endpoint_load_peer_failed(endpoint_load_t *load, uint32_t ejected_ms,
			       uint64_t now_ms);

#endif
