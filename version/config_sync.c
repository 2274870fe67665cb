#include "version/config_sync.h"

#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

enum {
	/** A fetch without a result after this time counts as failed. */
	FETCH_TIMEOUT_MS = 10000,
	/** How long no fetch is sent to a peer after a failed one. */
	PEER_AVOID_MS = 2000,
	/** Peers that may fail at start-up before the store is read. */
	START_PEERS_MAX = 3,
	/** How long a known change may wait for a peer that has it before it
	 * is read from the store. */
	PEER_WAIT_MS = 1500,
	/** An instance that received neither gossip nor a store answer for
	 * this time reads the store itself. */
	GOSSIP_SILENCE_MS = 2500,
	/** So does an instance whose configuration was not confirmed as
	 * current for this time although it receives gossip. */
	CONFIRM_MAX_AGE_MS = 15000,
	/** Longest delay after a successful store fetch; doubles with each
	 * failure up to STORE_RETRY_MAX_MS. */
	STORE_RETRY_MS = 500,
	STORE_RETRY_MAX_MS = 30000,
};

void config_sync_init(config_sync_t *sync, uint64_t self, uint64_t domain,
		      bool has_bootstrap, uint64_t seed, uint64_t now_ms)
{
	memset(sync, 0, sizeof(*sync));
	sync->self = self;
	sync->domain = domain;
	sync->has_bootstrap = has_bootstrap;
	sync->started_ms = now_ms;
	sync->last_contact_ms = now_ms;
	rng_init(&sync->rng, seed);
}

uint64_t config_sync_age_ms(const config_sync_t *sync, uint64_t now_ms)
{
	if (!sync->confirmed)
		return CONFIG_AGE_UNKNOWN;
	return now_ms > sync->confirmed_ms ? now_ms - sync->confirmed_ms : 0;
}

static config_sync_member_t *find_member(config_sync_t *sync, uint64_t id)
{
	for (size_t i = 0; i < sync->member_count; i++) {
		if (sync->members[i].id == id)
			return &sync->members[i];
	}
	return NULL;
}

static void confirm(config_sync_t *sync, uint64_t at_ms)
{
	if (!sync->confirmed || at_ms > sync->confirmed_ms)
		sync->confirmed_ms = at_ms;
	sync->confirmed = true;
}

static void raise_target(config_sync_t *sync, uint64_t position,
			 uint64_t now_ms)
{
	if (position <= sync->target)
		return;
	if (sync->position == sync->target)
		sync->behind_since_ms = now_ms;
	sync->target = position;
}

static void raise_position(config_sync_t *sync, uint64_t position)
{
	sync->in_force = true;
	if (position > sync->position)
		sync->position = position;
	if (sync->position > sync->target)
		sync->target = sync->position;
	if (sync->store_head && sync->position >= sync->store_head)
		confirm(sync, sync->store_head_seen_ms);
}

static void on_members(config_sync_t *sync, const config_sync_member_t *listed,
		       size_t count)
{
	config_sync_member_t *old =
		calloc(sync->member_count + 1, sizeof(*old));
	size_t old_count = sync->member_count;

	if (!old)
		return;
	memcpy(old, sync->members, old_count * sizeof(*old));
	sync->member_count = 0;
	for (size_t i = 0; i < count; i++) {
		config_sync_member_t *member;

		if (listed[i].id == sync->self ||
		    sync->member_count == CONFIG_SYNC_MEMBERS_MAX)
			continue;
		member = &sync->members[sync->member_count++];
		*member = (config_sync_member_t){
			.id = listed[i].id,
			.domain = listed[i].domain,
			.position = listed[i].position,
		};
		for (size_t j = 0; j < old_count; j++) {
			if (old[j].id == member->id)
				*member = old[j];
		}
	}
	free(old);
}

static void on_gossip(config_sync_t *sync, const config_sync_event_t *event,
		      uint64_t now_ms)
{
	config_sync_member_t *member = find_member(sync, event->gossip.member);
	uint64_t position = event->gossip.position;
	uint64_t age_ms = event->gossip.age_ms;

	if (member && position > member->position)
		member->position = position;
	sync->last_contact_ms = now_ms;
	raise_target(sync, position, now_ms);
	/* The member's configuration was current age_ms ago, and this one is
	 * not older. */
	if (age_ms != CONFIG_AGE_UNKNOWN && age_ms <= now_ms &&
	    position <= sync->position)
		confirm(sync, now_ms - age_ms);
}

static void on_head(config_sync_t *sync, uint64_t position, uint64_t now_ms)
{
	/* Below a position seen before: ignore the stale read. */
	if (position < sync->store_head || position < sync->position)
		return;
	sync->store_head = position;
	sync->store_head_seen_ms = now_ms;
	sync->last_contact_ms = now_ms;
	sync->store_failures = 0;
	raise_target(sync, position, now_ms);
	if (sync->in_force && position == sync->position)
		confirm(sync, now_ms);
}

static uint64_t store_backoff_ms(config_sync_t *sync)
{
	uint32_t shift = sync->store_failures < 8 ? sync->store_failures : 8;
	uint64_t bound_ms = (uint64_t)STORE_RETRY_MS << shift;

	if (bound_ms > STORE_RETRY_MAX_MS)
		bound_ms = STORE_RETRY_MAX_MS;
	return bound_ms / 2 + rng_below(&sync->rng, bound_ms / 2 + 1);
}

static void on_peer_fetch_end(config_sync_t *sync, bool progress,
			      uint64_t now_ms)
{
	config_sync_member_t *member = find_member(sync, sync->fetch.peer);

	if (progress)
		return;
	if (!sync->in_force)
		sync->start_failures++;
	if (member) {
		member->avoid_until_ms = now_ms + PEER_AVOID_MS;
		/* It may have restarted and lost its configuration. */
		member->position = 0;
	}
}

static void on_store_fetch_end(config_sync_t *sync, int err, uint64_t now_ms)
{
	if (err)
		sync->store_failures++;
	else
		sync->store_failures = 0;
	sync->store_not_before_ms = now_ms + store_backoff_ms(sync);
	/* At start-up, peers are tried again after the store. */
	sync->start_failures = 0;
	if (err)
		return;
	sync->last_contact_ms = now_ms;
	confirm(sync, sync->fetch_started_ms);
}

static void end_fetch(config_sync_t *sync, int err, uint64_t position,
		      uint64_t now_ms)
{
	bool progress = !err && (position > sync->position || !sync->in_force);

	sync->fetching = false;
	if (!err)
		raise_position(sync, position);
	switch (sync->fetch.kind) {
	case CONFIG_SYNC_FETCH_PEER:
		on_peer_fetch_end(sync, progress, now_ms);
		break;
	case CONFIG_SYNC_FETCH_STORE:
		on_store_fetch_end(sync, err, now_ms);
		break;
	case CONFIG_SYNC_LOAD_BOOTSTRAP:
		sync->has_bootstrap = false;
		break;
	default:
		break;
	}
}

/** Whether this instance is among the watchers of its failure domain. */
static bool should_watch(const config_sync_t *sync)
{
	uint64_t own_weight = hash_rendezvous(sync->domain, sync->self);
	int higher = 0;

	for (size_t i = 0; i < sync->member_count; i++) {
		const config_sync_member_t *member = &sync->members[i];
		uint64_t weight;

		if (member->domain != sync->domain)
			continue;
		weight = hash_rendezvous(sync->domain, member->id);
		higher += weight > own_weight ||
			  (weight == own_weight && member->id > sync->self);
	}
	return higher < CONFIG_SYNC_WATCHERS;
}

/** Rank of a peer to fetch from: higher is better, 0 excludes it. */
static int rank_peer(const config_sync_t *sync,
		     const config_sync_member_t *member, uint64_t now_ms)
{
	bool same_domain = member->domain == sync->domain;

	if (now_ms < member->avoid_until_ms)
		return 0;
	/* Peers with a known position first: when many instances restart
	 * together, most have no configuration yet. */
	if (!sync->in_force)
		return (member->position ? 3 : 1) + same_domain;
	if (member->position <= sync->position)
		return 0;
	return (member->position >= sync->target ? 3 : 1) + same_domain;
}

/** Picks a peer of the highest rank at random; NULL if there is none. */
static const config_sync_member_t *choose_peer(config_sync_t *sync,
					       uint64_t now_ms)
{
	const config_sync_member_t *best = NULL;
	int best_rank = 0;
	uint64_t ties = 0;

	for (size_t i = 0; i < sync->member_count; i++) {
		int rank = rank_peer(sync, &sync->members[i], now_ms);

		if (!rank || rank < best_rank)
			continue;
		ties = rank > best_rank ? 1 : ties + 1;
		best_rank = rank;
		if (!rng_below(&sync->rng, ties))
			best = &sync->members[i];
	}
	return best;
}

static void start_fetch(config_sync_t *sync, config_sync_action_kind_t kind,
			uint64_t peer, uint64_t now_ms,
			config_sync_action_t *action)
{
	sync->fetching = true;
	sync->fetch_started_ms = now_ms;
	sync->fetch.kind = kind;
	sync->fetch.id++;
	sync->fetch.peer = peer;
	sync->fetch.from = sync->in_force ? sync->position : 0;
	*action = sync->fetch;
}

/** Tries peers, then the store, then the bootstrap file. */
static void start_initial_fetch(config_sync_t *sync, uint64_t now_ms,
				config_sync_action_t *action)
{
	const config_sync_member_t *peer = NULL;

	if (sync->start_failures < START_PEERS_MAX)
		peer = choose_peer(sync, now_ms);
	if (peer)
		start_fetch(sync, CONFIG_SYNC_FETCH_PEER, peer->id, now_ms,
			    action);
	else if (sync->store_failures && sync->has_bootstrap)
		start_fetch(sync, CONFIG_SYNC_LOAD_BOOTSTRAP, 0, now_ms,
			    action);
	else if (now_ms >= sync->store_not_before_ms)
		start_fetch(sync, CONFIG_SYNC_FETCH_STORE, 0, now_ms, action);
}

static bool is_behind(const config_sync_t *sync)
{
	return sync->position < sync->target;
}

/** Whether to fetch from the store now. */
static bool should_fetch_from_store(config_sync_t *sync, uint64_t now_ms)
{
	bool store_is_ahead = sync->store_head > sync->position;
	uint64_t since_ms =
		sync->confirmed ? sync->confirmed_ms : sync->started_ms;

	if (store_is_ahead && sync->watching && !sync->store_failures)
		return true;
	if (now_ms < sync->store_not_before_ms)
		return false;
	if (is_behind(sync))
		return now_ms - sync->behind_since_ms > PEER_WAIT_MS;
	return now_ms - sync->last_contact_ms > GOSSIP_SILENCE_MS ||
	       now_ms - since_ms > CONFIRM_MAX_AGE_MS;
}

static void start_catch_up(config_sync_t *sync, uint64_t now_ms,
			   config_sync_action_t *action)
{
	const config_sync_member_t *peer = choose_peer(sync, now_ms);

	if (peer)
		start_fetch(sync, CONFIG_SYNC_FETCH_PEER, peer->id, now_ms,
			    action);
	else if (should_fetch_from_store(sync, now_ms))
		start_fetch(sync, CONFIG_SYNC_FETCH_STORE, 0, now_ms, action);
}

static void choose_action(config_sync_t *sync, uint64_t now_ms,
			  config_sync_action_t *action)
{
	bool watch = should_watch(sync);

	if (watch != sync->watching) {
		sync->watching = watch;
		action->kind = watch ? CONFIG_SYNC_WATCH_START
				     : CONFIG_SYNC_WATCH_STOP;
		return;
	}
	if (sync->fetching &&
	    now_ms - sync->fetch_started_ms >= FETCH_TIMEOUT_MS)
		end_fetch(sync, ERR_TIMEOUT, 0, now_ms);
	if (sync->fetching)
		return;
	if (sync->in_force)
		start_catch_up(sync, now_ms, action);
	else
		start_initial_fetch(sync, now_ms, action);
}

void config_sync_handle_event(config_sync_t *sync,
			      const config_sync_event_t *event, uint64_t now_ms)
{
	switch (event->kind) {
	case CONFIG_SYNC_TICK:
		break;
	case CONFIG_SYNC_MEMBERS:
		on_members(sync, event->members.entries, event->members.count);
		break;
	case CONFIG_SYNC_GOSSIP:
		on_gossip(sync, event, now_ms);
		break;
	case CONFIG_SYNC_HEAD:
		on_head(sync, event->head.position, now_ms);
		break;
	case CONFIG_SYNC_FETCHED:
		/* The result of a fetch that has timed out still counts. */
		if (sync->fetching && event->fetched.id == sync->fetch.id)
			end_fetch(sync, event->fetched.err,
				  event->fetched.position, now_ms);
		else if (!event->fetched.err)
			raise_position(sync, event->fetched.position);
		break;
	case CONFIG_SYNC_ADOPTED:
		raise_position(sync, event->adopted.position);
		break;
	}
}

void config_sync_step(config_sync_t *sync, const config_sync_event_t *event,
		      uint64_t now_ms, config_sync_action_t *action)
{
	memset(action, 0, sizeof(*action));
	config_sync_handle_event(sync, event, now_ms);
	choose_action(sync, now_ms, action);
}

int config_log_init(config_log_t *log)
{
	memset(log, 0, sizeof(*log));
	log->entries = json_array();
	return log->entries ? 0 : ERR_NO_MEMORY;
}

void config_log_free(config_log_t *log)
{
	json_decref(log->entries);
	log->entries = NULL;
}

static size_t entry_bytes(const json_t *entry)
{
	return json_dumpb(entry, NULL, 0, JSON_COMPACT);
}

static void drop_oldest(config_log_t *log)
{
	log->bytes -= entry_bytes(json_array_get(log->entries, 0));
	json_array_remove(log->entries, 0);
}

int config_log_add(config_log_t *log, uint64_t position, json_t *content)
{
	json_t *entry = json_pack("{s:I, s:O}", "position",
				  (json_int_t)position, "content", content);

	if (!entry)
		return ERR_NO_MEMORY;
	if (position != log->position + 1) {
		json_array_clear(log->entries);
		log->bytes = 0;
	}
	log->position = position;
	log->bytes += entry_bytes(entry);
	if (json_array_append_new(log->entries, entry))
		return ERR_NO_MEMORY;
	while (json_array_size(log->entries) > CONFIG_LOG_ENTRIES_MAX ||
	       log->bytes > CONFIG_LOG_MAX_BYTES)
		drop_oldest(log);
	return 0;
}

/** Makes a delta after `from`; NULL if the log does not reach back to it. */
static json_t *make_delta(const config_log_t *log, uint64_t from,
			  uint64_t position)
{
	size_t count = json_array_size(log->entries);
	json_t *tickets;
	size_t bytes = 0;

	if (log->position != position || position - from > count)
		return NULL;
	tickets = json_array();
	for (size_t i = count - (size_t)(position - from); i < count; i++) {
		json_t *entry = json_array_get(log->entries, i);

		bytes += entry_bytes(entry);
		/* At least one entry, so that the peer makes progress. */
		if (bytes > CONFIG_DELTA_MAX_BYTES && json_array_size(tickets))
			break;
		json_array_append(tickets, entry);
		from++;
	}
	return json_pack("{s:I, s:o}", "position", (json_int_t)from, "tickets",
			 tickets);
}

json_t *config_sync_answer(const config_log_t *log, const ticket_state_t *state,
			   uint64_t from)
{
	json_t *delta = NULL;

	if (state->position <= from)
		return NULL;
	if (from)
		delta = make_delta(log, from, state->position);
	return delta ? delta : ticket_state_to_json(state);
}

static int apply_delta(ticket_state_t *state, const json_t *tickets,
		       json_t *contents)
{
	json_t *entry;
	size_t i;

	json_array_foreach (tickets, i, entry) {
		json_int_t position =
			json_integer_value(json_object_get(entry, "position"));
		int err;

		/* Already applied: it was fetched from another source
		 * meanwhile. */
		if (position <= (json_int_t)state->position)
			continue;
		err = ticket_state_apply(state, (uint64_t)position,
					 json_object_get(entry, "content"));
		if (err)
			return err;
		if (json_array_append(contents, entry))
			return ERR_NO_MEMORY;
	}
	return 0;
}

int config_sync_apply(ticket_state_t *state, const json_t *answer,
		      json_t *contents)
{
	const json_t *tickets = json_object_get(answer, "tickets");
	ticket_state_t next = { 0 };
	int err;

	json_array_clear(contents);
	if (tickets) {
		err = ticket_state_copy(state, &next);
		if (!err)
			err = apply_delta(&next, tickets, contents);
	} else {
		err = ticket_state_from_json(answer, &next);
	}
	if (!err && next.position <= state->position)
		err = ERR_BAD_FIELD;
	if (err) {
		ticket_state_free(&next);
		json_array_clear(contents);
		return err;
	}
	ticket_state_free(state);
	*state = next;
	return 0;
}
