/**
 * @file
 * Block cache of the engine stand-in: least recently used blocks go first, and
 * every change is an event that appears late or not at all. Not thread-safe.
 */
#ifndef T_LIB_BLOCK_CACHE_H
#define T_LIB_BLOCK_CACHE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct block_cache block_cache_t;

/**
 * @param event_delay_ms time until an event can be read
 * @param loss_permille events that never appear, of a thousand
 */
block_cache_t *block_cache_new(uint32_t capacity_blocks,
			       uint32_t event_delay_ms, uint32_t loss_permille,
			       uint64_t seed);

uint32_t block_cache_used(const block_cache_t *cache);

/** Whether a block is held; its age does not change. */
bool block_cache_has(const block_cache_t *cache, uint64_t key);

/** Counts the leading keys that are held and marks them as used. */
uint32_t block_cache_match(block_cache_t *cache, const uint64_t *keys,
			   uint32_t count);

/** Adds a block or marks it as used. */
void block_cache_add(block_cache_t *cache, uint64_t key);

/** Evicts every block. */
void block_cache_clear(block_cache_t *cache);

/** Loses the next `count` events. */
void block_cache_drop_events(block_cache_t *cache, uint64_t count);

/** Visible events with `seq` above `since`, for `GET /engine/events`. */
json_t *block_cache_events(block_cache_t *cache, uint64_t since, uint64_t max,
			   uint64_t incarnation);

#endif
