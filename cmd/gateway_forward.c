/* Which instances requests can be forwarded to, or that share the allowances of
 * customers, between this one and others. */
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_peers.h"

enum {
	/** Interval at which the instances are listed while no requests are
	 * forwarded and the instances stay the same, ms. */
	FORWARD_LIST_MS = 1000,
};

void gateway_forward_fill_heartbeat(const gateway_t *gateway,
				    peer_heartbeat_t *heartbeat)
{
	const lost_services_t *lost = &gateway->lost_services;
	uint32_t count = atomic_load(&lost->count);

	heartbeat->shares_allowances = gateway->settings.forward_port != 0;
	heartbeat->young = heartbeat->shares_allowances &&
			   atomic_load(&gateway->allowances_young);
	heartbeat->takes_forwarded =
		heartbeat->shares_allowances && count <= LOST_SERVICES_MAX;
	if (count > LOST_SERVICES_MAX)
		count = LOST_SERVICES_MAX;
	for (uint32_t i = 0; i < count; i++)
		heartbeat->lost[i] = atomic_load(&lost->services[i]);
	heartbeat->lost_count = count;
}

static bool is_listed(const gateway_peers_t *peers, const peer_t *peer,
		      uint64_t now_ms)
{
	const peer_heartbeat_t *heartbeat = &peer->heartbeat;

	return gateway_peer_is_live(peers, peer, now_ms) &&
	       !heartbeat->stopping &&
	       (heartbeat->takes_forwarded || heartbeat->shares_allowances);
}

static void add_forward_peer(const gateway_peers_t *peers, const peer_t *peer,
			     forward_peers_t *list)
{
	const gateway_settings_t *settings = &peers->control->gateway->settings;
	const peer_heartbeat_t *heartbeat = &peer->heartbeat;
	forward_peer_t *added = &list->items[list->count++];

	*added = (forward_peer_t){
		.address = peer->address,
		.id = peer->name_hash,
		.incarnation = heartbeat->incarnation,
		.refuses_forwarded = !heartbeat->takes_forwarded,
		.shares_allowances = heartbeat->shares_allowances,
		.young = heartbeat->young,
		.lost_count = heartbeat->lost_count,
	};
	added->address.sin_port = htons((uint16_t)settings->forward_port);
	memcpy(added->lost, heartbeat->lost, sizeof(added->lost));
}

static uint32_t count_instances(const gateway_peers_t *peers)
{
	const gateway_control_t *control = peers->control;
	const object_table_t *members =
		&control->view_builder.tables[OBJECT_MEMBERS];
	uint32_t live = atomic_load(&control->gateway->instances);

	if (!members->complete)
		return 0;
	return members->count > live ? (uint32_t)members->count : live;
}

/* A number that differs when the instances do. */
static uint64_t instances_digest(const gateway_peers_t *peers, uint64_t now_ms)
{
	uint64_t digest = count_instances(peers);

	for (size_t i = 0; i < peers->peer_count; i++) {
		if (is_listed(peers, peers->peers[i], now_ms))
			digest += peers->peers[i]->heartbeat.incarnation;
	}
	return digest;
}

void gateway_forward_list_peers(gateway_peers_t *peers, uint64_t now_ms)
{
	const gateway_t *gateway = peers->control->gateway;
	forward_slot_t *slot = &peers->control->gateway->forward_slot;
	uint64_t digest = instances_digest(peers, now_ms);
	forward_peers_t *list;

	if (!atomic_load(&slot->wanted) && digest == peers->listed_digest &&
	    now_ms - peers->listed_ms < FORWARD_LIST_MS)
		return;
	list = calloc(1, sizeof(*list) +
				 peers->peer_count * sizeof(list->items[0]));
	if (!list)
		return;
	peers->listed_ms = now_ms;
	peers->listed_digest = digest;
	list->number = ++peers->lists;
	list->instances = count_instances(peers);
	for (size_t i = 0;
	     gateway->settings.forward_port && i < peers->peer_count; i++) {
		if (is_listed(peers, peers->peers[i], now_ms))
			add_forward_peer(peers, peers->peers[i], list);
	}
	forward_slot_put(slot, list);
}
