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
		membership->push_wanted = true;
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
	/* Instances that start together must not probe in step. */
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

static bool is_near(const membership_t *membership,
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

/** The entry that can make room: the one that has been gone the longest. */
static membership_member_t *oldest_gone(membership_t *membership)
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
		member = oldest_gone(membership);
	if (!member)
		return NULL;
	memset(member, 0, sizeof(*member));
	member->wire = *wire;
	member->config_age_ms = UINT32_MAX;
	member->state_since_ms = now_ms;
	return member;
}

/** Whether `news` says more than what is known of the same member. */
static bool overrides(const peer_member_t *news, const peer_member_t *known)
{
	if (news->incarnation != known->incarnation)
		return news->incarnation > known->incarnation;
	return news->state > known->state;
}

/** Another instance believes that this one is gone: contradict it. */
static void refute(membership_t *membership, const peer_member_t *news)
{
	peer_member_t *self = &membership->self;

	if (self->state != PEER_MEMBER_ALIVE ||
	    news->state == PEER_MEMBER_ALIVE ||
	    news->incarnation < self->incarnation)
		return;
	self->incarnation = news->incarnation + 1;
	spread_member(membership, self);
}

/**
 * The wire form holds any number as a state. An entry with an unknown state
 * would never be forgotten, and nobody can outbid the highest incarnation.
 */
static bool is_valid(const peer_member_t *member)
{
	return member->state >= PEER_MEMBER_ALIVE &&
	       member->state <= PEER_MEMBER_LEFT &&
	       member->incarnation < UINT64_MAX;
}

static void learn(membership_t *membership, const peer_member_t *news,
		  uint64_t now_ms, bool spread)
{
	membership_member_t *member;

	if (!is_valid(news))
		return;
	if (news->id == membership->self.id) {
		refute(membership, news);
		return;
	}
	member = find_member(membership, news->id);
	if (!member) {
		/* A member that is gone already is of no interest. */
		if (news->state >= PEER_MEMBER_FAILED ||
		    !add_member(membership, news, now_ms))
			return;
		if (spread)
			spread_member(membership, news);
		return;
	}
	if (!overrides(news, &member->wire))
		return;
	/*
	 * A member that was known from a list only is no news: others have
	 * the list too. Spreading it cost more than all other gossip.
	 */
	if (!member->wire.incarnation && news->state == PEER_MEMBER_ALIVE) {
		member->wire = *news;
		member->state_since_ms = now_ms;
		return;
	}
	member->wire = *news;
	set_state(membership, member, news->state, now_ms);
}

void membership_learn(membership_t *membership, const peer_member_t *member,
		      uint64_t now_ms)
{
	learn(membership, member, now_ms, false);
}

/** A message from a member proves that this incarnation of it lives. */
static void learn_sender(membership_t *membership, const peer_gossip_t *gossip,
			 uint64_t now_ms)
{
	const peer_member_t *sender = &gossip->sender;
	membership_member_t *member = find_member(membership, sender->id);

	/* A restarted instance may not have what it had before. */
	if (member && sender->incarnation > member->wire.incarnation)
		member->config_position = 0;
	learn(membership, sender, now_ms, true);
	member = find_member(membership, sender->id);
	if (!member || sender->incarnation < member->wire.incarnation)
		return;
	member->heard_ms = now_ms;
	member->probe_deadline_ms = 0;
	if (gossip->config_position > member->config_position)
		member->config_position = gossip->config_position;
	member->config_age_ms = gossip->config_age_ms;
}

/** @return whether the rumor is news for other modules */
static bool learn_rumor(membership_t *membership, const peer_rumor_t *rumor,
			uint64_t now_ms)
{
	switch (rumor->kind) {
	case PEER_RUMOR_MEMBER:
		learn(membership, &rumor->peer_rumor_t_u.member, now_ms, true);
		return false;
	case PEER_RUMOR_ENDPOINT:
	case PEER_RUMOR_CRASH:
	case PEER_RUMOR_CLEARED:
		return membership_spread(membership, rumor);
	}
	return false;
}

size_t membership_receive(membership_t *membership, const peer_gossip_t *gossip,
			  uint64_t now_ms, peer_rumor_t *news)
{
	size_t count = 0;

	learn_sender(membership, gossip, now_ms);
	for (size_t i = 0; i < gossip->rumors.rumors_len; i++) {
		const peer_rumor_t *rumor = &gossip->rumors.rumors_val[i];

		if (learn_rumor(membership, rumor, now_ms))
			news[count++] = *rumor;
	}
	return count;
}

bool membership_spread(membership_t *membership, const peer_rumor_t *rumor)
{
	if (!rumor_add(&membership->rumors, rumor))
		return false;
	membership->push_wanted = true;
	return true;
}

void membership_set_position(membership_t *membership, uint64_t position)
{
	if (position <= membership->config_position)
		return;
	membership->config_position = position;
	membership->push_wanted = true;
}

static void new_round(membership_t *membership)
{
	size_t count = membership->count;

	for (size_t i = 0; i < count; i++) {
		size_t j = rng_below(&membership->rng, i + 1);

		membership->round[i] = membership->round[j];
		membership->round[j] = (uint16_t)i;
	}
	membership->round_count = count;
	membership->round_next = 0;
}

static bool wants_probe(membership_t *membership, membership_member_t *member)
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

		if (membership->round_next >= membership->round_count)
			new_round(membership);
		if (!membership->round_count)
			return NULL;
		i = membership->round[membership->round_next++];
		if (i < membership->count &&
		    wants_probe(membership, &membership->members[i]))
			return &membership->members[i];
	}
	return NULL;
}

/** Picks a random live member, near or far, that is not `except`. */
static membership_member_t *random_member(membership_t *membership, bool near,
					  uint64_t except)
{
	membership_member_t *pick = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < membership->count; i++) {
		membership_member_t *member = &membership->members[i];

		if (!is_live(member) || member->wire.id == except ||
		    is_near(membership, member) != near)
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

static size_t push_news(membership_t *membership, membership_action_t *actions,
			size_t used)
{
	uint64_t last = 0;

	for (int i = 0; i < MEMBERSHIP_PUSH_NEAR + MEMBERSHIP_PUSH_FAR; i++) {
		membership_member_t *member = random_member(
			membership, i < MEMBERSHIP_PUSH_NEAR, last);

		if (!member)
			continue;
		last = member->wire.id;
		used = add_action(actions, used, MEMBERSHIP_SEND_PUSH,
				  &member->wire);
	}
	membership->push_wanted = false;
	return used;
}

static bool is_forgotten(const membership_member_t *member, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - member->state_since_ms;

	switch (member->wire.state) {
	case PEER_MEMBER_ALIVE:
	case PEER_MEMBER_SUSPECT:
		return false;
	case PEER_MEMBER_FAILED:
		return age_ms > MEMBERSHIP_FORGET_MS;
	case PEER_MEMBER_LEFT:
		return age_ms > MEMBERSHIP_LEFT_FORGET_MS;
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
	    now_ms - member->state_since_ms >= MEMBERSHIP_SUSPICION_MS) {
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

		if (is_forgotten(member, now_ms)) {
			*member = membership->members[--membership->count];
			continue;
		}
		/* Actions that find no room come with the next call. */
		if (used < MEMBERSHIP_ACTIONS_MAX)
			used = check_member(membership, member, now_ms, actions,
					    used);
		i++;
	}
	return used;
}

static size_t probe_next(membership_t *membership, uint64_t now_ms,
			 membership_action_t *actions, size_t used)
{
	membership_member_t *member = next_to_probe(membership);

	membership->next_probe_ms = now_ms + MEMBERSHIP_PROBE_PERIOD_MS;
	if (!member)
		return used;
	member->probe_deadline_ms = now_ms + MEMBERSHIP_PROBE_LIMIT_MS;
	member->indirect_asked = false;
	return add_action(actions, used, MEMBERSHIP_SEND_PROBE, &member->wire);
}

size_t membership_tick(membership_t *membership, uint64_t now_ms,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	size_t used = 0;

	if (now_ms >= membership->next_probe_ms)
		used = probe_next(membership, now_ms, actions, used);
	if (membership->push_wanted)
		used = push_news(membership, actions, used);
	return check_members(membership, now_ms, actions, used);
}

size_t
membership_probe_failed(membership_t *membership, uint64_t id, uint64_t now_ms,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	membership_member_t *member = find_member(membership, id);
	uint64_t last = id;
	size_t used = 0;

	if (!member || !is_live(member) || member->indirect_asked ||
	    now_ms >= member->probe_deadline_ms)
		return 0;
	member->indirect_asked = true;
	for (int i = 0; i < MEMBERSHIP_INDIRECT_COUNT; i++) {
		/* One near and one far, to see past a cut between domains. */
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
			     uint64_t incarnation, uint64_t now_ms)
{
	membership_member_t *member = find_member(membership, id);

	if (!member || incarnation < member->wire.incarnation)
		return;
	member->heard_ms = now_ms;
	member->probe_deadline_ms = 0;
}

void membership_fill(membership_t *membership, uint64_t target,
		     peer_gossip_t *gossip, peer_rumor_t *storage)
{
	const membership_member_t *member = find_member(membership, target);
	size_t used = 0;

	gossip->sender = membership->self;
	gossip->config_position = membership->config_position;
	gossip->config_age_ms = membership->config_age_ms;
	if (member && member->wire.state != PEER_MEMBER_ALIVE) {
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
	return push_news(membership, actions, 0);
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

peer_member_t membership_home(const membership_t *membership, uint64_t key)
{
	const peer_member_t *best = &membership->self;
	uint64_t best_weight = hash_rendezvous(key, best->id);

	for (size_t i = 0; i < membership->count; i++) {
		const membership_member_t *member = &membership->members[i];
		uint64_t weight = hash_rendezvous(key, member->wire.id);

		/* A suspected home may be unreachable for the one who asks. */
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
	bool found_near = false;
	uint64_t seen = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const membership_member_t *member = &membership->members[i];
		bool near = is_near(membership, member);

		if (!is_live(member) || member->config_position <= position ||
		    (found_near && !near))
			continue;
		if (near && !found_near)
			seen = 0;
		found_near = found_near || near;
		if (!rng_below(&membership->rng, ++seen))
			*source = member->wire;
	}
	return seen > 0;
}
