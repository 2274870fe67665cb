/**
 * @file
 * Notes about cached beginnings, handed from one thread to one other without a
 * lock. A full ring drops the note: it is a hint, and the next request makes
 * another.
 */
#ifndef PROCESS_NOTE_RING_H
#define PROCESS_NOTE_RING_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Notes that wait; a second of a busy instance. */
	NOTE_RING_SIZE = 512,
};

/** An endpoint or the cache store has read a beginning. */
typedef struct cache_note {
	uint64_t source; /**< See belief_source_t::id. */
	uint64_t key;
	uint32_t tokens;
} cache_note_t;

typedef struct note_ring {
	_Atomic uint32_t head; /**< Written by the one that takes. */
	_Atomic uint32_t tail; /**< Written by the one that puts. */
	cache_note_t notes[NOTE_RING_SIZE];
} note_ring_t;

/** @return false if the ring is full */
static inline bool note_ring_put(note_ring_t *ring, const cache_note_t *note)
{
	uint32_t tail = atomic_load_explicit(&ring->tail, memory_order_relaxed);

	if (tail - atomic_load_explicit(&ring->head, memory_order_acquire) ==
	    NOTE_RING_SIZE)
		return false;
	ring->notes[tail % NOTE_RING_SIZE] = *note;
	atomic_store_explicit(&ring->tail, tail + 1, memory_order_release);
	return true;
}

/** @return false if the ring is empty */
static inline bool note_ring_take(note_ring_t *ring, cache_note_t *note)
{
	uint32_t head = atomic_load_explicit(&ring->head, memory_order_relaxed);

	if (head == atomic_load_explicit(&ring->tail, memory_order_acquire))
		return false;
	*note = ring->notes[head % NOTE_RING_SIZE];
	atomic_store_explicit(&ring->head, head + 1, memory_order_release);
	return true;
}

#endif
