#include "t/lib/block_cache.h"

#include <glib.h>

#include "process/hash.h"
#include "process/rng.h"
#include "t/lib/clock.h"

enum {
	/** Events kept for readers; older ones are gone. */
	EVENTS_MAX = 8192,
};

typedef struct cache_event {
	uint64_t seq;
	uint64_t key;
	uint64_t visible_ms;
	bool evicted;
} cache_event_t;

struct block_cache {
	uint32_t capacity_blocks;
	uint32_t event_delay_ms;
	uint32_t loss_permille;
	uint32_t drop_next;
	rng_t rng;
	/** Least recently used first; elements are `uint64_t *`. */
	GQueue order;
	GHashTable *links; /**< Key to its link in `order`. */
	GQueue events;
	uint64_t last_seq;
	uint64_t first_seq;
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
	g_queue_init(&cache->order);
	g_queue_init(&cache->events);
	cache->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	return cache;
}

uint32_t block_cache_used(const block_cache_t *cache)
{
	return cache->order.length;
}

static void log_event(block_cache_t *cache, uint64_t key, bool evicted)
{
	cache_event_t *event;

	cache->last_seq++;
	if (cache->drop_next > 0) {
		cache->drop_next--;
		return;
	}
	if (rng_below(&cache->rng, 1000) < cache->loss_permille)
		return;
	event = g_new(cache_event_t, 1);
	*event = (cache_event_t){
		.seq = cache->last_seq,
		.key = key,
		.visible_ms = clock_now_ms() + cache->event_delay_ms,
		.evicted = evicted,
	};
	g_queue_push_tail(&cache->events, event);
	if (cache->events.length > EVENTS_MAX) {
		event = g_queue_pop_head(&cache->events);
		cache->first_seq = event->seq + 1;
		g_free(event);
	}
}

static void evict_oldest(block_cache_t *cache)
{
	uint64_t *key = g_queue_pop_head(&cache->order);

	g_hash_table_remove(cache->links, key);
	log_event(cache, *key, true);
	g_free(key);
}

static GList *find(const block_cache_t *cache, uint64_t key)
{
	return g_hash_table_lookup(cache->links, &key);
}

static void mark_used(block_cache_t *cache, GList *link)
{
	g_queue_unlink(&cache->order, link);
	g_queue_push_tail_link(&cache->order, link);
}

bool block_cache_has(const block_cache_t *cache, uint64_t key)
{
	return find(cache, key) != NULL;
}

uint32_t block_cache_match(block_cache_t *cache, const uint64_t *keys,
			   uint32_t count)
{
	uint32_t held = 0;
	GList *link;

	while (held < count && (link = find(cache, keys[held]))) {
		mark_used(cache, link);
		held++;
	}
	return held;
}

void block_cache_add(block_cache_t *cache, uint64_t key)
{
	GList *link = find(cache, key);

	if (link) {
		mark_used(cache, link);
		return;
	}
	if (!cache->capacity_blocks)
		return;
	while (cache->order.length >= cache->capacity_blocks)
		evict_oldest(cache);
	g_queue_push_tail(&cache->order, g_memdup2(&key, sizeof(key)));
	g_hash_table_insert(cache->links, cache->order.tail->data,
			    cache->order.tail);
	log_event(cache, key, false);
}

void block_cache_clear(block_cache_t *cache)
{
	while (cache->order.length > 0)
		evict_oldest(cache);
}

void block_cache_drop_events(block_cache_t *cache, uint32_t count)
{
	cache->drop_next += count;
}

json_t *block_cache_events(block_cache_t *cache, uint64_t since, uint32_t max,
			   uint64_t incarnation)
{
	uint64_t now_ms = clock_now_ms();
	json_t *list = json_array();
	GList *link = cache->events.head;

	for (; link && json_array_size(list) < max; link = link->next) {
		const cache_event_t *event = link->data;
		char hex[HASH_KEY_HEX_BYTES];

		if (event->visible_ms > now_ms)
			break;
		if (event->seq <= since)
			continue;
		hash_key_to_hex(event->key, hex);
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:s}", "seq",
					(json_int_t)event->seq, "op",
					event->evicted ? "evict" : "add", "key",
					hex));
	}
	return json_pack("{s:I,s:I,s:o}", "incarnation",
			 (json_int_t)incarnation, "first_seq",
			 (json_int_t)cache->first_seq, "events", list);
}
