/**
 * @file
 * Lock-free ring buffer that passes items from one producer thread to one
 * consumer thread. Items that don't fit are dropped.
 */
#ifndef PROCESS_SPSC_RING_H
#define PROCESS_SPSC_RING_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Defines the type `name`_t, a ring of at most `capacity` items of type
 * `item_t`, which is empty when zeroed, and its functions:
 *
 * - `bool name_put(name_t *ring, const item_t *item)` appends an item; false
 *   if the ring is full; for the producer only;
 * - `bool name_take(name_t *ring, item_t *item)` removes the oldest item; false
 *   if the ring is empty; for the consumer only;
 * - `bool name_is_empty(const name_t *ring)`; for the consumer only.
 */
#define DEFINE_SPSC_RING(name, item_t, capacity)                            \
	typedef struct name {                                               \
		_Atomic uint32_t head; /* Written by the consumer only. */  \
		_Atomic uint32_t tail; /* Written by the producer only. */  \
		item_t items[capacity];                                     \
	} name##_t;                                                         \
                                                                            \
	static inline bool name##_put(name##_t *ring, const item_t *item)   \
	{                                                                   \
		uint32_t tail = atomic_load_explicit(&ring->tail,           \
						     memory_order_relaxed); \
                                                                            \
		if (tail - atomic_load_explicit(&ring->head,                \
						memory_order_acquire) ==    \
		    (capacity))                                             \
			return false;                                       \
		ring->items[tail % (capacity)] = *item;                     \
		atomic_store_explicit(&ring->tail, tail + 1,                \
				      memory_order_release);                \
		return true;                                                \
	}                                                                   \
                                                                            \
	static inline bool name##_is_empty(const name##_t *ring)            \
	{                                                                   \
		return atomic_load_explicit(&ring->head,                    \
					    memory_order_relaxed) ==        \
		       atomic_load_explicit(&ring->tail,                    \
					    memory_order_acquire);          \
	}                                                                   \
                                                                            \
	static inline bool name##_take(name##_t *ring, item_t *item)        \
	{                                                                   \
		uint32_t head = atomic_load_explicit(&ring->head,           \
						     memory_order_relaxed); \
                                                                            \
		if (name##_is_empty(ring))                                  \
			return false;                                       \
		*item = ring->items[head % (capacity)];                     \
		atomic_store_explicit(&ring->head, head + 1,                \
				      memory_order_release);                \
		return true;                                                \
	}                                                                   \
                                                                            \
	/* Positions wrap around at 2^32. */                                \
	_Static_assert(((capacity) & ((capacity)-1)) == 0,                  \
		       #name ": the capacity is not a power of two")

#endif
