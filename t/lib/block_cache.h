/**
 * @file
 * LRU block cache of the engine stand-in. Each insertion and eviction is logged
 * as an event, which becomes visible after a delay or is lost. Not thread-safe.
 */
#ifndef T_LIB_BLOCK_CACHE_H
#define T_LIB_BLOCK_CACHE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct block_cache block_cache_t;

/**
 * Creates an empty cache.
 * @param event_delay_ms time until an event becomes visible
 * @param loss_permille share of lost events, per thousand
 * @param seed seed of the choice of lost events
 */
block_cache_t *block_cache_new(uint32_t capacity_blocks,
			       uint32_t event_delay_ms, uint32_t loss_permille,
			       uint64_t seed);

/** Number of cached blocks. */
uint32_t block_cache_used(const block_cache_t *cache);

/** Whether a block is cached; does not mark it as used. */
bool block_cache_has(const block_cache_t *cache, uint64_t key);

/** Counts the leading keys that are cached and marks them as used. */
uint32_t block_cache_match(block_cache_t *cache, const uint64_t *keys,
			   uint32_t count);

/** Adds a block or marks it as used. */
void block_cache_add(block_cache_t *cache, uint64_t key);

/** Evicts every block. */
void block_cache_clear(block_cache_t *cache);

/** Drops the next `count` events. */
void block_cache_drop_events(block_cache_t *cache, uint64_t count);

/**
 * Returns the body of `GET /engine/events`.
 * @param since only events with a higher `seq` are returned
 * @param max maximum number of events
 */
json_t *block_cache_events(block_cache_t *cache, uint64_t since, uint64_t max,
			   uint64_t incarnation);

#endif
