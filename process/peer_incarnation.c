#include "process/peer_incarnation.h"

static peer_run_t *find_ended(peer_incarnation_t *peer, uint64_t incarnation)
{
	for (size_t i = 0; i < PEER_ENDED_MAX; i++) {
		if (peer->ended[i].incarnation == incarnation)
			return &peer->ended[i];
	}
	return NULL;
}

static peer_run_t *next_ended(peer_incarnation_t *peer)
{
	peer_run_t *entry = &peer->ended[peer->next_ended];

	peer->next_ended = (peer->next_ended + 1) % PEER_ENDED_MAX;
	return entry;
}

static void set_running(peer_incarnation_t *peer, uint64_t incarnation,
			uint32_t sequence, uint64_t now_ms)
{
	peer->running = (peer_run_t){ incarnation, sequence };
	peer->received_ms = now_ms;
}

peer_datagram_t peer_incarnation_receive(peer_incarnation_t *peer,
					 uint64_t incarnation,
					 uint32_t sequence, uint64_t now_ms)
{
	peer_run_t *ended;

	if (incarnation == peer->running.incarnation) {
		if (sequence <= peer->running.sequence)
			return PEER_DATAGRAM_OLD;
		set_running(peer, incarnation, sequence, now_ms);
		return PEER_DATAGRAM_NEXT;
	}
	ended = find_ended(peer, incarnation);
	if (ended && (sequence <= ended->sequence ||
		      now_ms - peer->received_ms < PEER_DATAGRAM_DELAY_MAX_MS))
		return PEER_DATAGRAM_OLD;
	if (peer->running.incarnation)
		*(ended ? ended : next_ended(peer)) = peer->running;
	set_running(peer, incarnation, sequence, now_ms);
	return PEER_DATAGRAM_NEW_PROCESS;
}
