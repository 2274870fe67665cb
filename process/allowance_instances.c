/* Who takes part and who is the owner, when parts are sent, and what a restart
 * of all instances changes. */
#include "process/allowance_private.h"

#include <math.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"

enum {
	/** Datagrams with parts that an instance sends per second at most, and
	 * those that the owner of one customer receives. */
	PARTS_SENT_PER_S = 32,
	PARTS_RECEIVED_PER_S = 128,
	/** The same at least, in periods in which parts are sent. */
	CONVERGE_PERIODS_MIN = 4,
	/** Of so many instances one may be unheard when shares are claimed; it
	 * is waited for, ms. */
	CLAIM_UNHEARD = 16,
	CLAIM_WAIT_MS = 300,
	/** No share is claimed until the number of instances has been the same
	 * for this long: at the first start of all they register one by one. */
	CLAIM_STABLE_MS = 500,
	/** Claimed shares are sent to the owners within this time, ms. */
	CLAIM_SPREAD_MS = 100,
	/** Part of the burst that is claimed with the share, ms of the rate: no
	 * process accrued tokens while none ran and until they had heard of
	 * each other, which takes at least as long. */
	CLAIM_CREDIT_MS = 500,
	PIECES_SHARES = 4,
};

/** A part above this is large with few instances, too: the first datagram of a
 * large one makes the receiver ask for the clock, without which it would drop
 * the part. */
#define PIECES_PART 0.25

static uint64_t max_ms(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/* Whom to ask. */

/* Whether the instance ranks higher than the best so far. */
static bool outranks(uint64_t key, uint64_t id, uint64_t best)
{
	return !best || hash_rendezvous(key, id) > hash_rendezvous(key, best);
}

static void rank_peer(allowance_customer_t *customer, uint64_t id)
{
	for (int i = 0; i < ALLOWANCE_RANKED; i++) {
		uint64_t next = customer->ranked[i];

		if (!outranks(customer->key, id, next))
			continue;
		customer->ranked[i] = id;
		if (!next)
			return;
		id = next;
	}
}

static uint64_t find_owner(allowance_t *allowance,
			   allowance_customer_t *customer, uint64_t now_ms)
{
	uint64_t owner = 0;

	memset(customer->ranked, 0, sizeof(customer->ranked));
	if (!allowance->stopping && now_ms >= allowance->eligible_ms)
		owner = allowance->self_id;
	for (size_t i = 0; i < allowance->sender_count; i++) {
		const allowance_sender_t *sender = &allowance->senders[i];

		if (!sender->live)
			continue;
		rank_peer(customer, sender->id);
		if (now_ms >= sender->eligible_ms &&
		    outranks(customer->key, sender->id, owner))
			owner = sender->id;
	}
	if (owner)
		return owner;
	return customer->ranked[0] ? customer->ranked[0] : allowance->self_id;
}

/* Parts for the same owner are due together, and the owners in turn. */
uint64_t allowance_next_due_ms(const allowance_t *allowance, uint64_t owner,
			       uint64_t now_ms)
{
	uint64_t period_ms = allowance->period_ms;
	uint64_t phase_ms =
		hash_rendezvous(owner, allowance->self_id) % period_ms;

	return now_ms + period_ms - (now_ms + phase_ms) % period_ms;
}

bool allowance_is_large(const allowance_t *allowance,
			const allowance_customer_t *customer)
{
	return customer->part * allowance->instances_max > PIECES_SHARES ||
	       customer->part > PIECES_PART;
}

static void plan_parts(allowance_t *allowance, allowance_customer_t *customer,
		       uint64_t due_ms)
{
	customer->pieces = 0;
	customer->parts_due_ms = due_ms;
	if (due_ms < allowance->parts_due_ms)
		allowance->parts_due_ms = due_ms;
}

/*
 * An owner that leaves its place sends its part at once. Any other that has a
 * large one was sent it as the owner, and keeps it until all have heard who is.
 */
void allowance_plan_transfer(allowance_t *allowance,
			     allowance_customer_t *customer, bool was_owner,
			     uint64_t now_ms)
{
	if (allowance_is_owner(allowance, customer)) {
		allowance_merge_returned(customer);
		plan_parts(allowance, customer, UINT64_MAX);
	} else if (was_owner || allowance->stopping) {
		plan_parts(allowance, customer, now_ms);
	} else if (allowance_is_large(allowance, customer)) {
		plan_parts(allowance, customer, now_ms + SEASON_MS);
	} else {
		plan_parts(allowance, customer,
			   allowance_next_due_ms(allowance, customer->owner,
						 now_ms));
	}
}

void allowance_rank_customer(allowance_t *allowance,
			     allowance_customer_t *customer, uint64_t now_ms)
{
	uint64_t owner = find_owner(allowance, customer, now_ms);
	bool was_owner = allowance_is_owner(allowance, customer);

	if (owner != customer->owner) {
		customer->owner = owner;
		customer->owner_since_ms = now_ms;
		if (owner == allowance->self_id &&
		    customer->ask_step < OWNER_STEPS)
			customer->ask_step = OWNER_STEPS;
	} else if (customer->pieces || !allowance->stopping) {
		return;
	}
	allowance_plan_transfer(allowance, customer, was_owner, now_ms);
}

static void rank_all(allowance_t *allowance, uint64_t now_ms)
{
	uint64_t self_ms = allowance->eligible_ms;

	for (size_t i = 0; i < allowance->customer_count; i++) {
		if (allowance->customers[i].limited)
			allowance_rank_customer(
				allowance, &allowance->customers[i], now_ms);
	}
	allowance->rank_ms = self_ms > now_ms ? self_ms : UINT64_MAX;
	for (size_t i = 0; i < allowance->sender_count; i++) {
		const allowance_sender_t *sender = &allowance->senders[i];

		if (sender->live && sender->eligible_ms > now_ms &&
		    sender->eligible_ms < allowance->rank_ms)
			allowance->rank_ms = sender->eligible_ms;
	}
}

/* Instances and period. */

/* A process that has just started knows no earlier values. */
static bool holds_parts(const allowance_t *allowance)
{
	for (size_t i = 0; i < allowance->customer_count; i++) {
		if (allowance->customers[i].part > 0)
			return true;
	}
	return false;
}

void allowance_set_period(allowance_t *allowance, uint64_t now_ms)
{
	uint64_t instances = allowance->instances_max;
	uint64_t owners = instances < allowance->limited_count
				  ? instances
				  : allowance->limited_count;
	uint64_t period_ms =
		max_ms(PERIOD_MIN_MS, owners * 1000 / PARTS_SENT_PER_S);
	uint64_t converge = CONVERGE_PERIODS * period_ms;

	period_ms = max_ms(period_ms, instances * 1000 / PARTS_RECEIVED_PER_S);
	converge = max_ms(converge, CONVERGE_PERIODS_MIN * period_ms);
	allowance->period_ms = period_ms;
	if (converge == allowance->converge_ms)
		return;
	allowance->converge_ms = converge;
	if (converge < allowance->converge_min_ms || !holds_parts(allowance))
		allowance->converge_min_ms = converge;
	if (converge > allowance->converge_max_ms || !holds_parts(allowance))
		allowance->converge_max_ms = converge;
	allowance->settled_ms = now_ms + SETTLE_MS;
}

static void set_instances(allowance_t *allowance, uint32_t instances,
			  bool stopping, uint64_t now_ms)
{
	if (instances == allowance->instances &&
	    stopping == allowance->stopping)
		return;
	allowance_update_all(allowance, now_ms);
	allowance->stopping = stopping;
	allowance->instances = instances;
	if (instances > allowance->instances_max)
		allowance->instances_max = instances;
	else
		allowance->settled_ms = now_ms + SETTLE_MS;
	allowance_set_period(allowance, now_ms);
}

/* A restart of all instances. */

/* Decides whether and when this process claims its share. */
static void plan_claim(allowance_t *allowance, uint64_t now_ms)
{
	uint32_t unheard = allowance->instances - 1;
	uint64_t stable_ms = allowance->instances_ms + CLAIM_STABLE_MS;

	if (!allowance_is_young(allowance, now_ms) || !allowance->instances) {
		allowance->claim_ms = UINT64_MAX;
		return;
	}
	for (size_t i = 0; i < allowance->sender_count && unheard; i++)
		unheard -= allowance->senders[i].live;
	if (unheard > allowance->instances / CLAIM_UNHEARD)
		allowance->claim_ms = UINT64_MAX;
	else if (!unheard)
		allowance->claim_ms = stable_ms;
	else if (allowance->claim_ms == UINT64_MAX)
		allowance->claim_ms = max_ms(stable_ms, now_ms + CLAIM_WAIT_MS);
}

/*
 * All have restarted, so that the share of each belongs to nobody, apart from
 * what the parts have grown by since then. What was denied until now need not
 * be.
 */
static void claim_shares(allowance_t *allowance, uint64_t now_ms)
{
	double age_ms = (double)(now_ms - allowance->started_ms);
	double left = allowance_share(allowance) *
		      exp(-age_ms / (double)allowance->converge_min_ms);
	uint64_t due_ms = now_ms + allowance->self_id % CLAIM_SPREAD_MS;

	allowance->young = false;
	allowance->eligible_ms = now_ms;
	for (size_t i = 0; i < allowance->sender_count; i++)
		allowance->senders[i].eligible_ms = now_ms;
	rank_all(allowance, now_ms);
	for (size_t i = 0; i < allowance->customer_count; i++) {
		allowance_customer_t *customer = &allowance->customers[i];

		if (!customer->limited)
			continue;
		customer->part += left;
		customer->tokens +=
			left * customer->rate_per_ms * CLAIM_CREDIT_MS;
		allowance_cap_tokens(customer);
		customer->backlog = 0;
		customer->denied_until_ms = now_ms;
		customer->room_ms = now_ms;
		customer->owner_since_ms = 0;
		if (!allowance_is_owner(allowance, customer))
			plan_parts(allowance, customer, due_ms);
	}
}

/* Applies what the passage of time changes for all customers. */
void allowance_tick(allowance_t *allowance, uint64_t now_ms)
{
	if (now_ms >= allowance->settled_ms) {
		allowance_update_all(allowance, now_ms);
		allowance->settled_ms = UINT64_MAX;
		allowance->instances_max = allowance->instances;
		allowance->converge_min_ms = allowance->converge_ms;
		allowance->converge_max_ms = allowance->converge_ms;
		allowance_set_period(allowance, now_ms);
	}
	if (now_ms >= allowance->rank_ms) {
		allowance_update_all(allowance, now_ms);
		rank_all(allowance, now_ms);
	}
	if (now_ms >= allowance->claim_ms && allowance->configured) {
		allowance->claim_ms = UINT64_MAX;
		allowance_update_all(allowance, now_ms);
		if (allowance_is_young(allowance, now_ms))
			claim_shares(allowance, now_ms);
	}
}

bool allowance_is_young(const allowance_t *allowance, uint64_t now_ms)
{
	return allowance->young && !allowance->stopping &&
	       now_ms < allowance->started_ms + YOUNG_MS;
}

/* Peers. */

/* Reuses the entry of the peer that has been absent for the longest time. */
static allowance_sender_t *add_sender(allowance_t *allowance)
{
	allowance_sender_t *oldest = NULL;

	if (allowance->sender_count < ALLOWANCE_PEERS_MAX)
		return &allowance->senders[allowance->sender_count++];
	for (size_t i = 0; i < allowance->sender_count; i++) {
		allowance_sender_t *sender = &allowance->senders[i];

		if (!sender->listed &&
		    (!oldest || sender->absent_ms < oldest->absent_ms))
			oldest = sender;
	}
	return oldest;
}

static void mark_listed(allowance_t *allowance, const allowance_peer_t *peers,
			size_t count)
{
	for (size_t i = 0; i < allowance->sender_count; i++)
		allowance->senders[i].listed = false;
	for (size_t i = 0; i < count; i++) {
		allowance_sender_t *sender =
			allowance_find_sender(allowance, peers[i].id);

		/* What an ended process sent may still arrive, also again. */
		if (sender)
			sender->listed =
				!sender->retired ||
				sender->retired != peers[i].incarnation;
	}
}

/* Returns whether it is a change. */
static bool list_peer(allowance_t *allowance, const allowance_peer_t *peer,
		      uint64_t now_ms)
{
	allowance_sender_t *sender = allowance_find_sender(allowance, peer->id);
	bool starting = now_ms < allowance->started_ms + SEASON_MS;

	if (!sender) {
		sender = add_sender(allowance);
		*sender = (allowance_sender_t){ .id = peer->id };
		sender->listed = true;
	}
	if (!sender->listed ||
	    (sender->live && sender->incarnation == peer->incarnation))
		return false;
	if (sender->incarnation != peer->incarnation) {
		/* Others may have what one that restarts again had claimed. */
		if (!peer->young || sender->incarnation)
			allowance->young = false;
		sender->retired = sender->incarnation;
		sender->incarnation = peer->incarnation;
		sender->heard = false;
		sender->clock_known = false;
	}
	sender->live = true;
	sender->absent_ms = UINT64_MAX;
	sender->eligible_ms = starting ? now_ms : now_ms + SEASON_MS;
	return true;
}

static bool drop_unlisted(allowance_t *allowance, uint64_t now_ms)
{
	bool changed = false;

	for (size_t i = 0; i < allowance->sender_count; i++) {
		allowance_sender_t *sender = &allowance->senders[i];

		if (!sender->live || sender->listed)
			continue;
		sender->live = false;
		sender->absent_ms = now_ms;
		changed = true;
	}
	return changed;
}

/* Equal for lists with the same peers. */
static uint64_t digest_peers(const allowance_peer_t *peers, size_t count)
{
	uint64_t digest = count;

	for (size_t i = 0; i < count; i++)
		digest += hash_rendezvous(peers[i].id, peers[i].incarnation);
	return digest;
}

int allowance_set_peers(allowance_t *allowance, const allowance_peer_t *peers,
			size_t count, uint32_t instances, bool stopping,
			uint64_t now_ms)
{
	bool changed = stopping != allowance->stopping;
	uint64_t digest = digest_peers(peers, count);
	size_t wanted = allowance->sender_count + count;
	int ret;

	if (count >= ALLOWANCE_PEERS_MAX)
		return ERR_LIMIT;
	if (wanted > ALLOWANCE_PEERS_MAX)
		wanted = ALLOWANCE_PEERS_MAX;
	ret = allowance_grow((void **)&allowance->senders,
			     &allowance->sender_capacity, wanted,
			     sizeof(*allowance->senders));
	if (ret)
		return ret;
	allowance_tick(allowance, now_ms);
	if (instances != allowance->instances) {
		allowance->instances_ms = now_ms;
		allowance->claim_ms = UINT64_MAX;
	}
	set_instances(allowance, instances, stopping, now_ms);
	if (digest == allowance->peers_digest && !changed) {
		plan_claim(allowance, now_ms);
		return 0;
	}
	allowance->peers_digest = digest;
	mark_listed(allowance, peers, count);
	for (size_t i = 0; i < count; i++) {
		if (peers[i].id && peers[i].id != allowance->self_id)
			changed |= list_peer(allowance, &peers[i], now_ms);
	}
	changed |= drop_unlisted(allowance, now_ms);
	if (changed) {
		allowance_update_all(allowance, now_ms);
		rank_all(allowance, now_ms);
	}
	plan_claim(allowance, now_ms);
	return 0;
}
