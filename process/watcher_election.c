#include "process/watcher_election.h"

void watcher_election_init(watcher_election_t *election, uint64_t rank,
			   uint64_t now_ms)
{
	*election = (watcher_election_t){ .rank = rank, .started_ms = now_ms };
}

bool watcher_election_has_yielded(const watcher_election_t *election,
				  uint64_t now_ms)
{
	return now_ms < election->yield_until_ms;
}

static void update_contact(watcher_election_t *election, bool in_contact,
			   uint64_t now_ms)
{
	if (!election->watching) {
		election->unanswered_since_ms = 0;
	} else if (in_contact) {
		election->unanswered_since_ms = 0;
		election->yield_until_ms = 0;
	} else if (!election->unanswered_since_ms) {
		election->unanswered_since_ms = now_ms;
	} else if (now_ms - election->unanswered_since_ms >=
		   ELECTION_CONTACT_TIMEOUT_MS) {
		election->yield_until_ms = now_ms + ELECTION_YIELD_MS;
	}
}

static bool any_in_contact(const election_peer_t *peers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (peers[i].in_contact)
			return true;
	}
	return false;
}

/* An instance that yields in an outage for all is no worse than the others when
 * that is over. It ends its yield only for a peer in contact, which goes on
 * watching meanwhile: in a domain that still looks for one the search would
 * begin anew. */
static void update_yield(watcher_election_t *election,
			 const election_peer_t *peers, size_t count,
			 bool others_in_contact, uint64_t now_ms)
{
	if (!watcher_election_has_yielded(election, now_ms)) {
		election->yields_in_outage = false;
	} else if (!others_in_contact) {
		election->yields_in_outage = true;
	} else if (election->yields_in_outage && any_in_contact(peers, count)) {
		election->yields_in_outage = false;
		election->yield_until_ms = 0;
		election->unanswered_since_ms = 0;
	}
}

/* Before heartbeats of the peers arrive, every instance would elect itself. */
static bool may_participate(const watcher_election_t *election, uint64_t now_ms)
{
	if (election->first_heartbeat_ms &&
	    now_ms - election->first_heartbeat_ms >= ELECTION_ANSWER_WAIT_MS)
		return true;
	return now_ms - election->started_ms >= ELECTION_START_TIMEOUT_MS;
}

/* A watcher in contact with the store remains until a peer of higher rank is
 * in contact, too. */
static bool may_keep_watching(const watcher_election_t *election,
			      const election_peer_t *peers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (peers[i].rank > election->rank && peers[i].in_contact)
			return false;
	}
	return true;
}

/* Elects the highest rank among the instances that do not yield; if all yield,
 * the highest rank of all. */
static bool is_elected(const watcher_election_t *election,
		       const election_peer_t *peers, size_t count,
		       uint64_t now_ms)
{
	bool has_yielded = watcher_election_has_yielded(election, now_ms);

	for (size_t i = 0; i < count; i++) {
		bool is_preferred = peers[i].rank > election->rank;

		if (has_yielded ? is_preferred || !peers[i].yielded
				: is_preferred && !peers[i].yielded)
			return false;
	}
	return true;
}

bool watcher_election_step(watcher_election_t *election,
			   const election_peer_t *peers, size_t count,
			   const election_self_t *self, uint64_t now_ms)
{
	update_contact(election, self->in_contact, now_ms);
	update_yield(election, peers, count, self->others_in_contact, now_ms);
	if (!self->complete &&
	    now_ms - election->started_ms >= ELECTION_STATE_TIMEOUT_MS)
		election->watching = true;
	else if (!may_participate(election, now_ms))
		election->watching = false;
	else if (election->watching && self->in_contact)
		election->watching = may_keep_watching(election, peers, count);
	else
		election->watching = is_elected(election, peers, count, now_ms);
	if (!election->watching)
		election->unanswered_since_ms = 0;
	return election->watching;
}
