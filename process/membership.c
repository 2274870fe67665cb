#include "process/membership.h"

#include <string.h>

#include "process/hash.h"

/** One probe in this many goes to a failed member. */
#define FAILED_PROBE_INTERVAL 8

static void spread_member(membership_t *membership, const peer_member_t *member)
{
	peer_rumor_t rumor = { .kind = PEER_RUMOR_MEMBER };

	rumor.peer_rumor_t_u.member = *member;
	if (rumor_add(&membership->rumors, &rumor))
		membership->push_pending = true;
}

void membership_init(membership_t *membership, const peer_member_t *self,
		     uint64_t seed, uint64_t now_ms)
{
	memset(membership, 0, sizeof(*membership));
	membership->self = *self;
	membership->self.state = PEER_MEMBER_ALIVE;
	membership->config_age_ms = UINT32_MAX;
	rumor_init(&membership->rumors);
	rng_init(&membership->rng, seed);
	/* Instances that start together must not probe at the same time. */
	membership->next_probe_ms =
		now_ms +
		rng_below(&membership->rng, MEMBERSHIP_PROBE_PERIOD_MS);
	spread_member(membership, &membership->self);
}

static membership_member_t *find_member(membership_t *membership, uint64_t id)
{
	for (size_t i = 0; i < membership->count; i++) {
		if (membership->members[i].wire.id == id)
			return &membership->members[i];
	}
	return NULL;
}

static bool is_live(const membership_member_t *member)
{
	return member->wire.state == PEER_MEMBER_ALIVE ||
	       member->wire.state == PEER_MEMBER_SUSPECT;
}

static bool is_in_own_domain(const membership_t *membership,
			     const membership_member_t *member)
{
	return member->wire.domain == membership->self.domain;
}

static void set_state(membership_t *membership, membership_member_t *member,
		      peer_member_state_t state, uint64_t now_ms)
{
	member->wire.state = state;
	member->state_since_ms = now_ms;
	member->probe_deadline_ms = 0;
	spread_member(membership, &member->wire);
}

/** The entry to replace in a full table: the one failed or left longest. */
static membership_member_t *longest_gone_member(membership_t *membership)
{
	membership_member_t *oldest = NULL;

	for (size_t i = 0; i < membership->count; i++) {
		membership_member_t *member = &membership->members[i];

		if (is_live(member))
			continue;
		if (!oldest || member->state_since_ms < oldest->state_since_ms)
			oldest = member;
	}
	return oldest;
}

static membership_member_t *
add_member(membership_t *membership, const peer_member_t *wire, uint64_t now_ms)
{
	membership_member_t *member;

	if (membership->count < MEMBERSHIP_MAX)
		member = &membership->members[membership->count++];
	else
		member = longest_gone_member(membership);
	if (!member)
		return NULL;
	memset(member, 0, sizeof(*member));
	member->wire = *wire;
	member->config_age_ms = UINT32_MAX;
	member->state_since_ms = now_ms;
	return member;
}

/** Whether `update` is newer than what is known of the same member. */
static bool supersedes(const peer_member_t *update, const peer_member_t *known)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	return update->state > known->state;
}

/**
 * Refutes an update that says that this instance is not alive, or that is of an
 * earlier process of it, by spreading a higher incarnation.
 */
static void refute(membership_t *membership, const peer_member_t *update)
{
	peer_member_t *self = &membership->self;

	if (self->state != PEER_MEMBER_ALIVE ||
	    update->incarnation < self->incarnation ||
	    (update->state == PEER_MEMBER_ALIVE &&
	     update->incarnation == self->incarnation))
		return;
	self->incarnation = update->incarnation + 1;
	spread_member(membership, self);
}

/**
 * A state on the wire can be any number. An entry with an unknown state would
 * never be removed, and an update with the highest incarnation could not be
 * refuted.
 */
static bool is_valid(const peer_member_t *member)
{
	return member->state >= PEER_MEMBER_ALIVE &&
	       member->state <= PEER_MEMBER_LEFT &&
	       member->incarnation < UINT64_MAX;
}

static void apply_update(membership_t *membership, const peer_member_t *update,
			 uint64_t now_ms, bool spread)
{
	membership_member_t *member;

	if (!is_valid(update))
		return;
	if (update->id == membership->self.id) {
		refute(membership, update);
		return;
	}
	member = find_member(membership, update->id);
	if (!member) {
		/* An unknown member that failed or left is not added. */
		if (update->state >= PEER_MEMBER_FAILED ||
		    !add_member(membership, update, now_ms))
			return;
		if (spread)
			spread_member(membership, update);
		return;
	}
	if (!supersedes(update, &member->wire))
		return;
	/*
	 * A member that was known only from the instance list is not spread,
	 * because others have the list too. Spreading such members cost more
	 * than all other gossip.
	 */
	if (!member->wire.incarnation && update->state == PEER_MEMBER_ALIVE) {
		member->wire = *update;
		member->state_since_ms = now_ms;
		return;
	}
	member->wire = *update;
	set_state(membership, member, update->state, now_ms);
}

void membership_add_listed_member(membership_t *membership,
				  const peer_member_t *member, uint64_t now_ms)
{
	apply_update(membership, member, now_ms, false);
}

/** A message from a member proves that this incarnation of it is alive. */
static void apply_sender_update(membership_t *membership,
				const peer_gossip_t *gossip, uint64_t now_ms)
{
	const peer_member_t *sender = &gossip->sender;
	membership_member_t *member = find_member(membership, sender->id);

	/* A restarted instance may have an older configuration. */
	if (member && sender->incarnation > member->wire.incarnation)
		member->config_position = 0;
	apply_update(membership, sender, now_ms, true);
	member = find_member(membership, sender->id);
	if (!member)
		return;
	member->sent_lower = sender->incarnation < member->wire.incarnation;
	if (member->sent_lower)
		return;
	member->probe_deadline_ms = 0;
	if (gossip->config_position > member->config_position)
		member->config_position = gossip->config_position;
	member->config_age_ms = gossip->config_age_ms;
	member->config_age_received_ms = now_ms;
}

uint32_t membership_config_age_ms(const membership_member_t *member,
				  uint64_t now_ms)
{
	uint64_t age_ms = member->config_age_ms +
			  (now_ms - member->config_age_received_ms);

	if (member->config_age_ms == UINT32_MAX || age_ms >= UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)age_ms;
}

/** @return whether the rumor is new and is meant for other modules */
static bool apply_rumor(membership_t *membership, const peer_rumor_t *rumor,
			uint64_t now_ms)
{
	switch (rumor->kind) {
	case PEER_RUMOR_MEMBER:
		apply_update(membership, &rumor->peer_rumor_t_u.member, now_ms,
			     true);
		return false;
	case PEER_RUMOR_ENDPOINT:
	case PEER_RUMOR_CRASH:
	case PEER_RUMOR_CLEARED:
		return membership_spread_rumor(membership, rumor);
	}
	return false;
}

size_t membership_receive(membership_t *membership, const peer_gossip_t *gossip,
			  uint64_t now_ms, peer_rumor_t *new_rumors)
{
	size_t count = 0;

	apply_sender_update(membership, gossip, now_ms);
	for (size_t i = 0; i < gossip->rumors.rumors_len; i++) {
		const peer_rumor_t *rumor = &gossip->rumors.rumors_val[i];

		if (apply_rumor(membership, rumor, now_ms))
			new_rumors[count++] = *rumor;
	}
	return count;
}

bool membership_spread_rumor(membership_t *membership,
			     const peer_rumor_t *rumor)
{
	if (!rumor_add(&membership->rumors, rumor))
		return false;
	membership->push_pending = true;
	return true;
}

void membership_set_config_position(membership_t *membership, uint64_t position)
{
	if (position <= membership->config_position)
		return;
	membership->config_position = position;
	membership->push_pending = true;
}

static void shuffle_probe_order(membership_t *membership)
{
	size_t count = membership->count;

	for (size_t i = 0; i < count; i++) {
		size_t j = rng_below(&membership->rng, i + 1);

		membership->probe_order[i] = membership->probe_order[j];
		membership->probe_order[j] = (uint16_t)i;
	}
	membership->probe_order_count = count;
	membership->probe_order_next = 0;
}

static bool should_probe(membership_t *membership, membership_member_t *member)
{
	switch (member->wire.state) {
	case PEER_MEMBER_ALIVE:
	case PEER_MEMBER_SUSPECT:
		return true;
	case PEER_MEMBER_FAILED:
		return !rng_below(&membership->rng, FAILED_PROBE_INTERVAL);
	case PEER_MEMBER_LEFT:
		return false;
	}
	return false;
}

static membership_member_t *next_to_probe(membership_t *membership)
{
	for (size_t tries = 0; tries <= 2 * membership->count; tries++) {
		size_t i;

		if (membership->probe_order_next >=
		    membership->probe_order_count)
			shuffle_probe_order(membership);
		if (!membership->probe_order_count)
			return NULL;
		i = membership->probe_order[membership->probe_order_next++];
		if (i < membership->count &&
		    should_probe(membership, &membership->members[i]))
			return &membership->members[i];
	}
	return NULL;
}

/**
 * Picks a random live member other than `except`, of the same failure domain
 * or of another one.
 */
static membership_member_t *random_member(membership_t *membership,
					  bool same_domain, uint64_t except)
{
	membership_member_t *pick = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < membership->count; i++) {
		membership_member_t *member = &membership->members[i];

		if (!is_live(member) || member->wire.id == except ||
		    is_in_own_domain(membership, member) != same_domain)
			continue;
		if (!rng_below(&membership->rng, ++seen))
			pick = member;
	}
	return pick;
}

static size_t add_action(membership_action_t *actions, size_t used,
			 membership_action_kind_t kind,
			 const peer_member_t *target)
{
	if (used == MEMBERSHIP_ACTIONS_MAX)
		return used;
	memset(&actions[used], 0, sizeof(actions[used]));
	actions[used].kind = kind;
	actions[used].target = *target;
	return used + 1;
}

static size_t push_updates(membership_t *membership,
			   membership_action_t *actions, size_t used)
{
	uint64_t last = 0;

	for (int i = 0;
	     i < MEMBERSHIP_PUSH_SAME_DOMAIN + MEMBERSHIP_PUSH_CROSS_DOMAIN;
	     i++) {
		membership_member_t *member = random_member(
			membership, i < MEMBERSHIP_PUSH_SAME_DOMAIN, last);

		if (!member)
			continue;
		last = member->wire.id;
		used = add_action(actions, used, MEMBERSHIP_SEND_PUSH,
				  &member->wire);
	}
	membership->push_pending = false;
	return used;
}

static bool is_expired(const membership_member_t *member, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - member->state_since_ms;

	switch (member->wire.state) {
	case PEER_MEMBER_ALIVE:
	case PEER_MEMBER_SUSPECT:
		return false;
	case PEER_MEMBER_FAILED:
		return age_ms > MEMBERSHIP_FAILED_RETENTION_MS;
	case PEER_MEMBER_LEFT:
		return age_ms > MEMBERSHIP_LEFT_RETENTION_MS;
	}
	return false;
}

static size_t check_member(membership_t *membership,
			   membership_member_t *member, uint64_t now_ms,
			   membership_action_t *actions, size_t used)
{
	if (member->wire.state == PEER_MEMBER_ALIVE &&
	    member->probe_deadline_ms && now_ms >= member->probe_deadline_ms)
		set_state(membership, member, PEER_MEMBER_SUSPECT, now_ms);
	if (member->wire.state == PEER_MEMBER_SUSPECT &&
	    now_ms - member->state_since_ms >=
		    MEMBERSHIP_SUSPICION_TIMEOUT_MS) {
		set_state(membership, member, PEER_MEMBER_FAILED, now_ms);
		used = add_action(actions, used, MEMBERSHIP_FAILED,
				  &member->wire);
	}
	return used;
}

static size_t check_members(membership_t *membership, uint64_t now_ms,
			    membership_action_t *actions, size_t used)
{
	size_t i = 0;

	while (i < membership->count) {
		membership_member_t *member = &membership->members[i];

		if (is_expired(member, now_ms)) {
			*member = membership->members[--membership->count];
			continue;
		}
		/* Actions that exceed the array are returned next time. */
		if (used < MEMBERSHIP_ACTIONS_MAX)
			used = check_member(membership, member, now_ms, actions,
					    used);
		i++;
	}
	return used;
}

static size_t start_next_probe(membership_t *membership, uint64_t now_ms,
			       membership_action_t *actions, size_t used)
{
	membership_member_t *member = next_to_probe(membership);

	membership->next_probe_ms = now_ms + MEMBERSHIP_PROBE_PERIOD_MS;
	if (!member)
		return used;
	member->probe_deadline_ms = now_ms + MEMBERSHIP_PROBE_TIMEOUT_MS;
	member->indirect_requested = false;
	return add_action(actions, used, MEMBERSHIP_SEND_PROBE, &member->wire);
}

size_t membership_tick(membership_t *membership, uint64_t now_ms,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	size_t used = 0;

	if (now_ms >= membership->next_probe_ms)
		used = start_next_probe(membership, now_ms, actions, used);
	if (membership->push_pending)
		used = push_updates(membership, actions, used);
	return check_members(membership, now_ms, actions, used);
}

size_t
membership_probe_failed(membership_t *membership, uint64_t id, uint64_t now_ms,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	membership_member_t *member = find_member(membership, id);
	uint64_t last = id;
	size_t used = 0;

	if (!member || !is_live(member) || member->indirect_requested ||
	    now_ms >= member->probe_deadline_ms)
		return 0;
	member->indirect_requested = true;
	for (int i = 0; i < MEMBERSHIP_INDIRECT_PROBES; i++) {
		/*
		 * One in the same domain and one in another, in case the
		 * network between domains is partitioned.
		 */
		membership_member_t *via =
			random_member(membership, i == 0, last);

		if (!via || via->wire.id == id)
			continue;
		last = via->wire.id;
		used = add_action(actions, used, MEMBERSHIP_SEND_INDIRECT,
				  &via->wire);
		actions[used - 1].subject = member->wire;
	}
	return used;
}

void membership_indirect_ack(membership_t *membership, uint64_t id,
			     uint64_t incarnation)
{
	membership_member_t *member = find_member(membership, id);

	if (!member || incarnation < member->wire.incarnation)
		return;
	member->probe_deadline_ms = 0;
}

void membership_fill_gossip(membership_t *membership, uint64_t target,
			    peer_gossip_t *gossip, peer_rumor_t *storage)
{
	const membership_member_t *member = find_member(membership, target);
	size_t used = 0;

	gossip->sender = membership->self;
	gossip->config_position = membership->config_position;
	gossip->config_age_ms = membership->config_age_ms;
	if (member &&
	    (member->wire.state != PEER_MEMBER_ALIVE || member->sent_lower)) {
		storage[used].kind = PEER_RUMOR_MEMBER;
		storage[used++].peer_rumor_t_u.member = member->wire;
	}
	used += rumor_pick(&membership->rumors,
			   membership_live_count(membership), storage + used,
			   PEER_RUMORS_MAX - used);
	gossip->rumors.rumors_val = storage;
	gossip->rumors.rumors_len = (u_int)used;
}

size_t membership_leave(membership_t *membership,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	membership->self.state = PEER_MEMBER_LEFT;
	spread_member(membership, &membership->self);
	return push_updates(membership, actions, 0);
}

size_t membership_live_count(const membership_t *membership)
{
	size_t live = 1;

	for (size_t i = 0; i < membership->count; i++)
		live += is_live(&membership->members[i]);
	return live;
}

size_t membership_live(const membership_t *membership, peer_member_t *out,
		       size_t max)
{
	size_t used = 0;

	if (max)
		out[used++] = membership->self;
	for (size_t i = 0; i < membership->count && used < max; i++) {
		if (is_live(&membership->members[i]))
			out[used++] = membership->members[i].wire;
	}
	return used;
}

bool membership_find_live(membership_t *membership, uint64_t id,
			  peer_member_t *member)
{
	const membership_member_t *found = find_member(membership, id);

	if (!found || !is_live(found))
		return false;
	*member = found->wire;
	return true;
}

peer_member_t membership_owner(const membership_t *membership, uint64_t key)
{
	const peer_member_t *best = &membership->self;
	uint64_t best_weight = hash_rendezvous(key, best->id);

	for (size_t i = 0; i < membership->count; i++) {
		const membership_member_t *member = &membership->members[i];
		uint64_t weight = hash_rendezvous(key, member->wire.id);

		/* The requesting instance may not reach a suspected owner. */
		if (member->wire.state != PEER_MEMBER_ALIVE ||
		    weight <= best_weight)
			continue;
		best = &member->wire;
		best_weight = weight;
	}
	return *best;
}

bool membership_config_source(membership_t *membership, uint64_t position,
			      peer_member_t *source)
{
	bool found_same_domain = false;
	uint64_t seen = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const membership_member_t *member = &membership->members[i];
		bool same_domain = is_in_own_domain(membership, member);

		if (!is_live(member) || member->config_position <= position ||
		    (found_same_domain && !same_domain))
			continue;
		if (same_domain && !found_same_domain)
			seen = 0;
		found_same_domain = found_same_domain || same_domain;
		if (!rng_below(&membership->rng, ++seen))
			*source = member->wire;
	}
	return seen > 0;
}
