/**
 * @file
 * Lock-free ring buffer that passes cache hints from one producer thread to one
 * consumer thread. Hints that don't fit are dropped: the next request with the
 * same prefix produces another one.
 */
#ifndef PROCESS_HINT_RING_H
#define PROCESS_HINT_RING_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

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

typedef struct hint_ring {
	_Atomic uint32_t head; /**< Written by the consumer only. */
	_Atomic uint32_t tail; /**< Written by the producer only. */
	cache_hint_t hints[HINT_RING_SIZE];
} hint_ring_t;

/** Appends a hint. @return false if the ring is full */
static inline bool hint_ring_put(hint_ring_t *ring, const cache_hint_t *hint)
{
	uint32_t tail = atomic_load_explicit(&ring->tail, memory_order_relaxed);

	if (tail - atomic_load_explicit(&ring->head, memory_order_acquire) ==
	    HINT_RING_SIZE)
		return false;
	ring->hints[tail % HINT_RING_SIZE] = *hint;
	atomic_store_explicit(&ring->tail, tail + 1, memory_order_release);
	return true;
}

/** Removes the oldest hint. @return false if the ring is empty */
static inline bool hint_ring_take(hint_ring_t *ring, cache_hint_t *hint)
{
	uint32_t head = atomic_load_explicit(&ring->head, memory_order_relaxed);

	if (head == atomic_load_explicit(&ring->tail, memory_order_acquire))
		return false;
	*hint = ring->hints[head % HINT_RING_SIZE];
	atomic_store_explicit(&ring->head, head + 1, memory_order_release);
	return true;
}

#endif
