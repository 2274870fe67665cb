#include "process/list_currency.h"

static void extend(uint64_t *as_of_ms, uint64_t to_ms)
{
	if (*as_of_ms < to_ms)
		*as_of_ms = to_ms;
}

static uint64_t last_heard(const currency_peer_t *peers, size_t count,
			   uint32_t domain)
{
	uint64_t heard_ms = 0;

	for (size_t i = 0; i < count; i++) {
		if (peers[i].domain == domain)
			extend(&heard_ms, peers[i].heard_ms);
	}
	return heard_ms;
}

/* In an outage: when the failure domain that has been silent for longest was
 * last heard. The store may answer the instances there. */
static uint64_t all_heard(const currency_peer_t *peers, size_t count,
			  uint64_t now_ms)
{
	uint64_t all_ms = now_ms;

	for (size_t i = 0; i < count; i++) {
		uint64_t heard_ms = last_heard(peers, count, peers[i].domain);

		if (heard_ms < all_ms)
			all_ms = heard_ms;
	}
	return all_ms;
}

/* Whether a peer had a newer list that the proof of currency may not cover. */
static bool is_behind(uint64_t as_of_ms, const currency_peer_t *peers,
		      size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (peers[i].ahead &&
		    as_of_ms < peers[i].heard_ms + LIST_AHEAD_MS)
			return true;
	}
	return false;
}

uint64_t list_currency_as_of(const currency_self_t *self,
			     const currency_peer_t *peers, size_t count,
			     uint64_t now_ms)
{
	uint64_t as_of_ms = self->checked_ms;

	if (self->outage)
		extend(&as_of_ms, all_heard(peers, count, now_ms));
	for (size_t i = 0; i < count; i++) {
		const currency_peer_t *peer = &peers[i];

		if (peer->age_ms < peer->heard_ms)
			extend(&as_of_ms, peer->heard_ms - peer->age_ms);
	}
	return is_behind(as_of_ms, peers, count) ? 0 : as_of_ms;
}
