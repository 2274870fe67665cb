#include "process/forward_peers.h"

#include <stdlib.h>

void lost_services_set(lost_services_t *lost, const uint64_t *services,
		       size_t count)
{
	for (size_t i = 0; i < count && i < LOST_SERVICES_MAX; i++)
		atomic_store(&lost->services[i], lost_service_key(services[i]));
	atomic_store(&lost->count, (uint32_t)count);
}

void forward_slot_put(forward_slot_t *slot, forward_peers_t *peers)
{
	free(atomic_exchange(&slot->newest, peers));
}

void forward_slot_update(forward_slot_t *slot, forward_peers_t **peers)
{
	forward_peers_t *newest = atomic_exchange(&slot->newest, NULL);

	if (!newest)
		return;
	free(*peers);
	*peers = newest;
}

static bool has_lost(const forward_peer_t *peer, uint32_t service)
{
	for (uint32_t i = 0; i < peer->lost_count; i++) {
		if (peer->lost[i] == service)
			return true;
	}
	return false;
}

static bool was_tried(const forward_peer_t *peer, const uint64_t *tried,
		      size_t tried_count)
{
	for (size_t i = 0; i < tried_count; i++) {
		if (tried[i] == peer->incarnation)
			return true;
	}
	return false;
}

const forward_peer_t *forward_peers_select(const forward_peers_t *peers,
					   uint64_t service_hash,
					   const uint64_t *tried,
					   size_t tried_count, rng_t *rng)
{
	uint32_t service = lost_service_key(service_hash);
	const forward_peer_t *selected = NULL;
	uint64_t candidates = 0;

	for (size_t i = 0; peers && i < peers->count; i++) {
		const forward_peer_t *peer = &peers->items[i];

		if (peer->refuses_forwarded || has_lost(peer, service) ||
		    was_tried(peer, tried, tried_count))
			continue;
		if (!rng_below(rng, ++candidates))
			selected = peer;
	}
	return selected;
}
