#include "t/lib/block_cache.h"

#include <glib.h>

#include "process/hash.h"
#include "process/rng.h"
#include "process/clock.h"

enum {
	/** Events kept for readers; older ones are discarded. */
	EVENTS_MAX = 8192,
};

typedef struct block {
	uint64_t key;
	uint64_t last_use; /**< `use_count` of the cache at the last use. */
} block_t;

typedef struct cache_event {
	uint64_t seq;
	uint64_t key;
	uint64_t visible_ms;
	bool evicted;
} cache_event_t;

/* Engines hold a few hundred blocks, so a linear search is fast enough. */
struct block_cache {
	uint32_t capacity_blocks;
	uint32_t event_delay_ms;
	uint32_t loss_permille;
	uint64_t events_to_drop;
	rng_t rng;
	GArray *blocks; /**< `block_t`, unordered. */
	uint64_t use_count;
	GArray *events; /**< `cache_event_t`, oldest first. */
	uint64_t last_seq;
	uint64_t first_seq; /**< Lower numbers were discarded. */
};

block_cache_t *block_cache_new(uint32_t capacity_blocks,
			       uint32_t event_delay_ms, uint32_t loss_permille,
			       uint64_t seed)
{
	block_cache_t *cache = g_new0(block_cache_t, 1);

	cache->capacity_blocks = capacity_blocks;
	cache->event_delay_ms = event_delay_ms;
	cache->loss_permille = loss_permille;
	cache->first_seq = 1;
	rng_init(&cache->rng, seed);
	cache->blocks = g_array_new(FALSE, FALSE, sizeof(block_t));
	cache->events = g_array_new(FALSE, FALSE, sizeof(cache_event_t));
	return cache;
}

uint32_t block_cache_used(const block_cache_t *cache)
{
	return cache->blocks->len;
}

static void log_event(block_cache_t *cache, uint64_t key, bool evicted)
{
	cache_event_t event = {
		.seq = ++cache->last_seq,
		.key = key,
		.visible_ms = clock_now_ms() + cache->event_delay_ms,
		.evicted = evicted,
	};

	if (cache->events_to_drop > 0)
		cache->events_to_drop--;
	else if (rng_below(&cache->rng, 1000) >= cache->loss_permille)
		g_array_append_val(cache->events, event);
	if (cache->events->len > EVENTS_MAX) {
		event = g_array_index(cache->events, cache_event_t, 0);
		cache->first_seq = event.seq + 1;
		g_array_remove_index(cache->events, 0);
	}
}

static block_t *find(const block_cache_t *cache, uint64_t key)
{
	for (guint i = 0; i < cache->blocks->len; i++) {
		block_t *block = &g_array_index(cache->blocks, block_t, i);

		if (block->key == key)
			return block;
	}
	return NULL;
}

static void evict_oldest(block_cache_t *cache)
{
	guint oldest = 0;
	uint64_t key;

	for (guint i = 1; i < cache->blocks->len; i++) {
		if (g_array_index(cache->blocks, block_t, i).last_use <
		    g_array_index(cache->blocks, block_t, oldest).last_use)
			oldest = i;
	}
	key = g_array_index(cache->blocks, block_t, oldest).key;
	g_array_remove_index_fast(cache->blocks, oldest);
	log_event(cache, key, true);
}

bool block_cache_has(const block_cache_t *cache, uint64_t key)
{
	return find(cache, key) != NULL;
}

uint32_t block_cache_match(block_cache_t *cache, const uint64_t *keys,
			   uint32_t count)
{
	uint32_t matched = 0;
	block_t *block;

	while (matched < count && (block = find(cache, keys[matched]))) {
		block->last_use = ++cache->use_count;
		matched++;
	}
	return matched;
}

void block_cache_add(block_cache_t *cache, uint64_t key)
{
	block_t block = { .key = key, .last_use = ++cache->use_count };
	block_t *old = find(cache, key);

	if (old) {
		*old = block;
		return;
	}
	if (!cache->capacity_blocks)
		return;
	if (cache->blocks->len >= cache->capacity_blocks)
		evict_oldest(cache);
	g_array_append_val(cache->blocks, block);
	log_event(cache, key, false);
}

void block_cache_clear(block_cache_t *cache)
{
	while (cache->blocks->len > 0)
		evict_oldest(cache);
}

void block_cache_drop_events(block_cache_t *cache, uint64_t count)
{
	cache->events_to_drop += count;
}

json_t *block_cache_events(block_cache_t *cache, uint64_t since, uint64_t max,
			   uint64_t incarnation)
{
	uint64_t now_ms = clock_now_ms();
	json_t *list = json_array();

	for (guint i = 0; i < cache->events->len; i++) {
		cache_event_t event =
			g_array_index(cache->events, cache_event_t, i);
		char hex[HASH_KEY_HEX_BYTES];

		if (event.visible_ms > now_ms || json_array_size(list) >= max)
			break;
		if (event.seq <= since)
			continue;
		hash_key_to_hex(event.key, hex);
		json_array_append_new(list,
				      json_pack("{s:I,s:s,s:s}", "seq",
						(json_int_t)event.seq, "op",
						event.evicted ? "evict" : "add",
						"key", hex));
	}
	return json_pack("{s:I,s:I,s:o}", "incarnation",
			 (json_int_t)incarnation, "first_seq",
			 (json_int_t)cache->first_seq, "events", list);
}
