/**
 * @file
 * Cache index: bounded, expiring table of the prefixes that endpoints are
 * assumed to have in their caches.
 *
 * An entry is keyed by cache_index_source_t.id and a level or block key. The
 * source covers id, incarnation, weights version and event generation, so a
 * restart, new weights or a gap in the events invalidates all entries of an
 * endpoint at once without a pass over the table.
 *
 * Size: 8,192 entries of 24 bytes, 196,608 bytes. A full set replaces the
 * entry confirmed longest ago.
 */
#ifndef PROCESS_CACHE_INDEX_H
#define PROCESS_CACHE_INDEX_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** The table is set-associative: a key may be in any way of its set. */
	CACHE_INDEX_SETS = 1024,
	CACHE_INDEX_WAYS = 8,
	/** Bounds and initial value of the learned expiry. */
	CACHE_INDEX_EXPIRY_MIN_MS = 500,
	CACHE_INDEX_EXPIRY_START_MS = 20000,
	CACHE_INDEX_EXPIRY_MAX_MS = 3600000,
};

/** The cache of one endpoint in its present state. */
typedef struct cache_index_source {
	uint64_t id; /**< Names the cache and its state, see above. */
	/** Age up to which its entries are assumed to be valid, ms; learned. */
	double expiry_ms;
} cache_index_source_t;

/** An entry of the index. */
typedef struct cached_prefix {
	uint64_t tag; /**< Hash of source and key; 0 when free. */
	uint64_t confirmed_ms;
	uint32_t tokens; /**< Length of the prefix. */
	bool evicted;	 /**< By an event; kept so that a re-add is noticed. */
} cached_prefix_t;

typedef struct cache_index {
	cached_prefix_t sets[CACHE_INDEX_SETS][CACHE_INDEX_WAYS];
} cache_index_t;

/** Empties the table. */
void cache_index_init(cache_index_t *index);

/**
 * Length of the prefix of `key` if it is assumed to be cached, tokens.
 * @return 0 if there is no entry, it was evicted, or it is older than the
 *         endpoint's learned expiry
 */
uint32_t cache_index_tokens(const cache_index_t *index,
			    const cache_index_source_t *source, uint64_t key,
			    uint64_t now_ms);

/** Records that an endpoint has the prefix of a key in its cache. */
void cache_index_confirm(cache_index_t *index,
			 const cache_index_source_t *source, uint64_t key,
			 uint32_t tokens, uint64_t now_ms);

/**
 * Adjusts the endpoint's expiry by the cached tokens that an answer reports.
 * Must be called before the prompt's prefix levels are confirmed. If a prefix
 * of `tokens` tokens that was assumed to be cached is missing, the expiry gets
 * shorter; if one older than half the expiry is still there, it gets longer.
 */
void cache_index_learn_expiry(cache_index_t *index,
			      cache_index_source_t *source, uint64_t key,
			      uint32_t tokens, uint32_t cached_tokens,
			      uint64_t now_ms);

/**
 * Applies a cache event. Events for keys that are not in the table are ignored.
 * @param added false for an eviction
 * @return whether the key is in the table
 */
bool cache_index_apply_event(cache_index_t *index,
			     const cache_index_source_t *source, uint64_t key,
			     bool added, uint64_t now_ms);

#endif
