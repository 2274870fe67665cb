#include "process/refusal_limit.h"

/** While less than this part of the slots is in use, an instance with a share
 * may exceed it by one request. */
#define FREE_SLOTS_DIVISOR 2

static uint32_t smaller(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* How many instances have a share; at least 1. */
static uint32_t holder_count(const refusal_room_t *room, uint32_t instances)
{
	uint32_t endpoints = room->endpoints ? room->endpoints : 1;
	uint32_t needed = (instances + endpoints - 1) / endpoints;
	uint32_t count = smaller(room->refusals_max, instances);

	if (room->slots)
		count = smaller(count, room->slots);
	return count > needed ? count : needed;
}

/* Slots that the instance may use; 0 without a share. Successive endpoints have
 * successive holders, so that all instances have about as many slots. */
static uint32_t slot_share(const refusal_room_t *room,
			   const instance_place_t *place)
{
	uint32_t instances = place->instances ? place->instances : 1;
	uint32_t holders = holder_count(room, instances);
	uint64_t first = (uint64_t)room->rank * holders;
	uint32_t position = (uint32_t)((place->rank + first) % instances);

	if (position >= holders)
		return 0;
	if (!room->slots)
		return UINT32_MAX;
	if (room->slots < holders)
		return 1;
	return room->slots / holders + (position < room->slots % holders);
}

bool refusal_limit_allows(const refusal_room_t *room,
			  const instance_place_t *place, uint64_t now_ms)
{
	uint32_t running = room->own_running + room->peer_running;
	uint32_t share = slot_share(room, place);

	/* Otherwise several requests could be refused before the pause. */
	if (room->own_running && now_ms < room->sent_ms + REFUSAL_ARRIVES_MS)
		return false;
	if (room->slots && running >= room->slots)
		return false;
	/* All holders together exceed the slots by what is withstood. */
	if (share && running < room->slots / FREE_SLOTS_DIVISOR &&
	    holder_count(room, place->instances) <= room->refusals_max)
		share++;
	return room->own_running < share;
}
