#include "process/peer_loads.h"

#include <stdlib.h>
#include <string.h>

#include "process/error.h"

enum {
	/** Turns through all keys after which a load is dropped that no
	 * heartbeat covered: the first report after it may be lost. */
	ROUNDS_KEPT = 3,
	CAPACITY_MIN = 8,
};

static int compare_in_turn(const void *a, const void *b, void *context)
{
	const uint64_t *last_key = context;
	uint64_t distance_a = ((const peer_load_t *)a)->endpoint - *last_key;
	uint64_t distance_b = ((const peer_load_t *)b)->endpoint - *last_key;

	/* The last key itself comes last. */
	distance_a--;
	distance_b--;
	return (distance_a > distance_b) - (distance_a < distance_b);
}

/* Returns the number of endpoints with load. */
static size_t move_loaded_first(peer_load_t *loads, size_t count)
{
	size_t loaded = 0;

	for (size_t i = 0; i < count; i++) {
		peer_load_t load = loads[i];

		if (!load.runs)
			continue;
		loads[i] = loads[loaded];
		loads[loaded++] = load;
	}
	return loaded;
}

size_t peer_loads_select(peer_load_t *loads, size_t count, size_t room,
			 uint64_t *last_key)
{
	size_t loaded;

	if (count <= room)
		return count;
	loaded = move_loaded_first(loads, count);
	if (!room || loaded == room)
		return room;
	if (loaded > room)
		qsort_r(loads, loaded, sizeof(*loads), compare_in_turn,
			last_key);
	else
		qsort_r(loads + loaded, count - loaded, sizeof(*loads),
			compare_in_turn, last_key);
	*last_key = loads[room - 1].endpoint;
	return room;
}

/* Whether the sender may have had more loads. It adds hints after them. */
static bool is_full(const peer_heartbeat_t *heartbeat)
{
	/* It lists idle endpoints only if all loads fit. */
	for (uint32_t i = 0; i < heartbeat->load_count; i++) {
		if (!heartbeat->loads[i].runs)
			return false;
	}
	return heartbeat->load_count == PEER_LOADS_MAX ||
	       peer_heartbeat_free_bytes(heartbeat) +
			       heartbeat->hint_count * PEER_HINT_BYTES <
		       peer_heartbeat_load_bytes(heartbeat);
}

/* Whether the loads are in the circular order of their keys; those of older
 * builds are not. */
static bool is_in_turn(const peer_heartbeat_t *heartbeat)
{
	uint32_t count = heartbeat->load_count;
	uint32_t descents = 0;

	for (uint32_t i = 0; i < count; i++)
		descents += heartbeat->loads[(i + 1) % count].endpoint <=
			    heartbeat->loads[i].endpoint;
	return descents <= 1;
}

/* Whether a heartbeat goes on behind the last key. One that was sent to a
 * single peer does not advance the turn, so the next may begin before it. */
static bool goes_on_behind(uint64_t last_key, const peer_heartbeat_t *heartbeat)
{
	uint32_t count = heartbeat->load_count;

	return !count ||
	       heartbeat->loads[0].endpoint - last_key - 1 <=
		       heartbeat->loads[count - 1].endpoint - last_key - 1;
}

/* Whether a key is behind `after` and not behind `last` in circular order. */
static bool is_covered(uint64_t key, uint64_t after, uint64_t last)
{
	return key - after - 1 <= last - after - 1;
}

/* Drops the loads that the heartbeat covers, and those not reported for
 * long. */
static void drop_covered(peer_loads_t *loads, const peer_heartbeat_t *heartbeat,
			 uint64_t after)
{
	uint32_t count = heartbeat->load_count;
	size_t kept = 0;

	for (size_t i = 0; i < loads->count; i++) {
		const kept_load_t *entry = &loads->entries[i];

		if (loads->round - entry->round >= ROUNDS_KEPT ||
		    (count && is_covered(entry->load.endpoint, after,
					 heartbeat->loads[count - 1].endpoint)))
			continue;
		loads->entries[kept++] = *entry;
	}
	loads->count = kept;
}

static void add_reported(peer_loads_t *loads, const peer_heartbeat_t *heartbeat)
{
	size_t needed = loads->count + heartbeat->load_count;
	size_t capacity = needed > CAPACITY_MIN ? 2 * needed : CAPACITY_MIN;
	kept_load_t *entries;

	if (needed > loads->capacity && loads->capacity < PEER_LOADS_KEPT_MAX) {
		if (capacity > PEER_LOADS_KEPT_MAX)
			capacity = PEER_LOADS_KEPT_MAX;
		entries = realloc(loads->entries, capacity * sizeof(*entries));
		if (entries) {
			loads->entries = entries;
			loads->capacity = capacity;
		}
	}
	for (uint32_t i = 0; i < heartbeat->load_count; i++) {
		if (loads->count == loads->capacity)
			return;
		loads->entries[loads->count++] = (kept_load_t){
			.load = heartbeat->loads[i],
			.round = loads->round,
		};
	}
}

/* Counts the turn if the heartbeat passes the end of the keys. */
static void count_round(peer_loads_t *loads, const peer_heartbeat_t *heartbeat)
{
	uint64_t key = loads->last_key;

	for (uint32_t i = 0; i < heartbeat->load_count; i++) {
		if (heartbeat->loads[i].endpoint <= key)
			loads->round++;
		key = heartbeat->loads[i].endpoint;
	}
	/* Without room for any load, each heartbeat counts. */
	loads->round += !heartbeat->load_count;
	loads->last_key = key;
}

void peer_loads_receive(peer_loads_t *loads, const peer_heartbeat_t *heartbeat)
{
	bool is_next = loads->in_turn &&
		       loads->incarnation == heartbeat->incarnation &&
		       loads->sequence + 1 == heartbeat->sequence &&
		       goes_on_behind(loads->last_key, heartbeat);
	uint64_t after = is_next ? loads->last_key
			 : heartbeat->load_count
				 ? heartbeat->loads[0].endpoint - 1
				 : 0;

	loads->in_turn = is_full(heartbeat) && is_in_turn(heartbeat);
	if (!loads->in_turn || loads->incarnation != heartbeat->incarnation)
		loads->count = 0;
	loads->incarnation = heartbeat->incarnation;
	loads->sequence = heartbeat->sequence;
	if (loads->in_turn) {
		count_round(loads, heartbeat);
		drop_covered(loads, heartbeat, after);
	}
	add_reported(loads, heartbeat);
}

void peer_loads_free(peer_loads_t *loads)
{
	free(loads->entries);
	memset(loads, 0, sizeof(*loads));
}

/* Keys are hashes, so their low bits are spread evenly. */
static size_t find_slot(const load_sums_t *sums, uint64_t key)
{
	size_t slot = (size_t)key & sums->table_mask;

	while (sums->table[slot] &&
	       sums->sums[sums->table[slot] - 1].endpoint != key)
		slot = (slot + 1) & sums->table_mask;
	return slot;
}

int load_sums_set_endpoints(load_sums_t *sums, const uint64_t *keys,
			    size_t count)
{
	size_t table_size = 16;

	load_sums_free(sums);
	while (table_size < 2 * count)
		table_size *= 2;
	sums->sums = calloc(count + 1, sizeof(*sums->sums));
	sums->table = calloc(table_size, sizeof(*sums->table));
	if (!sums->sums || !sums->table) {
		load_sums_free(sums);
		return ERR_NO_MEMORY;
	}
	sums->table_mask = table_size - 1;
	sums->count = count;
	for (size_t i = 0; i < count; i++) {
		size_t slot = find_slot(sums, keys[i]);

		sums->sums[i].endpoint = keys[i];
		if (!sums->table[slot])
			sums->table[slot] = (uint32_t)i + 1;
	}
	return 0;
}

size_t load_sums_find(const load_sums_t *sums, uint64_t key)
{
	uint32_t position = sums->count ? sums->table[find_slot(sums, key)] : 0;

	return position ? position - 1 : PEER_LOADS_NONE;
}

void load_sums_clear(load_sums_t *sums)
{
	for (size_t i = 0; i < sums->count; i++)
		sums->sums[i] = (peer_load_t){
			.endpoint = sums->sums[i].endpoint,
		};
}

void load_sums_add(load_sums_t *sums, const peer_loads_t *loads)
{
	for (size_t i = 0; i < loads->count; i++) {
		const peer_load_t *load = &loads->entries[i].load;
		size_t at = load_sums_find(sums, load->endpoint);

		if (at == PEER_LOADS_NONE)
			continue;
		sums->sums[at].runs += load->runs;
		sums->sums[at].tokens += load->tokens;
		sums->sums[at].prefill += load->prefill;
	}
}

void load_sums_free(load_sums_t *sums)
{
	free(sums->sums);
	free(sums->table);
	memset(sums, 0, sizeof(*sums));
}
