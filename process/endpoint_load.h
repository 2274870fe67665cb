/**
 * @file
 * What this instance knows of one lifetime of an endpoint besides its entry in
 * the list: work in progress, weights, failures.
 *
 * Shared by the front thread, which counts its own work and sees the answers,
 * and the control thread, which adds what peers report. Every field is atomic
 * and stands for itself; readers accept that two fields may be of different
 * moments.
 */
#ifndef PROCESS_ENDPOINT_LOAD_H
#define PROCESS_ENDPOINT_LOAD_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/ref.h>

enum {
	/** Longest id of an endpoint with its NUL, bytes. */
	ENDPOINT_ID_MAX_BYTES = 64,
	/** Consecutive failures after which an endpoint gets no work. */
	ENDPOINT_FAILURES_MAX = 2,
	/** First and longest time without work after failures, ms: the first
	 * covers a restart's reset connections, the longest is a fraction of
	 * the time limits that callers have. */
	ENDPOINT_EJECT_MIN_MS = 300,
	ENDPOINT_EJECT_MAX_MS = 3000,
	/** An own answer so recent outweighs what others say, ms. */
	ENDPOINT_DOUBT_MS = 400,
	/** Weight of a new sample in the running error rate, in 1/1024. */
	ENDPOINT_ERROR_WEIGHT = 96,
};

typedef struct endpoint_load {
	struct urcu_ref ref;
	char id[ENDPOINT_ID_MAX_BYTES];
	uint64_t born_ms; /**< Unix time of the start; 0 if not stated. */
	uint64_t id_hash;
	/** Work of this instance. */
	_Atomic uint32_t own_runs;
	_Atomic uint32_t own_tokens;  /**< Memory its runs need, tokens. */
	_Atomic uint32_t own_prefill; /**< Prompt tokens not read yet. */
	/** Work of the other instances, as they said last. */
	_Atomic uint32_t peer_runs;
	_Atomic uint32_t peer_tokens;
	_Atomic uint32_t peer_prefill;
	/** Newest weights seen in an answer or a report; 0 if none. */
	_Atomic uint64_t seen_weights;
	/** No new work before, monotonic ms: it takes new weights. */
	_Atomic uint64_t loading_until_ms;
	/** No new work before, monotonic ms: it failed. */
	_Atomic uint64_t ejected_until_ms;
	_Atomic uint32_t failures;     /**< Consecutive. */
	_Atomic uint32_t ejections;    /**< Since the last success. */
	_Atomic uint32_t error_rate;   /**< Running, in 1/1024. */
	_Atomic uint32_t latency_us;   /**< Running mean of plain answers. */
	_Atomic uint64_t last_byte_ms; /**< Of any answer, monotonic. */
	_Atomic bool leaving;	       /**< Its answers said so. */
} endpoint_load_t;

/** A new one with one reference; NULL when out of memory. */
endpoint_load_t *endpoint_load_new(const char *id, uint64_t born_ms);

/** Adds and drops a reference. */
void endpoint_load_get(endpoint_load_t *load);
void endpoint_load_put(endpoint_load_t *load);

/** An answer came that speaks for the endpoint's health. */
void endpoint_load_succeeded(endpoint_load_t *load, uint64_t now_ms);

/** How much a failure says about an endpoint. */
typedef enum failure_weight {
	FAILURE_ONE,  /**< It failed one request. */
	FAILURE_DOWN, /**< It could not be reached. */
} failure_weight_t;

/**
 * An attempt failed in a way that speaks against the endpoint.
 * @return true if the endpoint gets no work now because of it
 */
bool endpoint_load_failed(endpoint_load_t *load, failure_weight_t weight,
			  uint64_t now_ms);

/**
 * Another instance gives an endpoint no work for `ejected_ms` because it
 * failed there. Own answers of the last ENDPOINT_DOUBT_MS speak against it.
 * @return true if it gets no work here either
 */
bool endpoint_load_peer_failed(endpoint_load_t *load, uint32_t ejected_ms,
			       uint64_t now_ms);

#endif
