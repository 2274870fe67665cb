/**
 * @file
 * Ring buffer that passes cache hints between two threads. Hints that don't fit
 * are dropped: the next request with the same prefix produces another one.
 */
#ifndef PROCESS_HINT_RING_H
#define PROCESS_HINT_RING_H

#include <stdint.h>

#include "process/spsc_ring.h"

enum {
	/** Capacity, hints: about one second of a busy instance. */
	HINT_RING_SIZE = 512,
};

/** Reports that an endpoint or the cache store has cached a prefix. */
typedef struct cache_hint {
	uint64_t source; /**< See cache_index_source_t::id. */
	uint64_t key;	 /**< Of the cached prefix. */
	uint32_t tokens; /**< Length of the prefix. */
} cache_hint_t;

DEFINE_SPSC_RING(hint_ring, cache_hint_t, HINT_RING_SIZE);

#endif
