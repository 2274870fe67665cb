#include "version/config_sync.h"

#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

enum {
	/** A fetch without a result after this time has failed. */
	FETCH_TIMEOUT_MS = 10000,
	/** A peer that failed is not asked again for this time. */
	AVOID_MS = 2000,
	/** Peers asked at start-up before the store. */
	START_PEERS = 3,
	/** Time a change known by gossip may wait for a peer that has it. */
	PEER_GRACE_MS = 1500,
	/** Without gossip for this time an instance asks the store itself. */
	SILENCE_MS = 2500,
	/** With gossip, but none that is more recent than this, too. */
	STALE_MS = 15000,
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
	sync->news_ms = now_ms;
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
		sync->behind_ms = now_ms;
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
		confirm(sync, sync->store_head_ms);
}

static void on_members(config_sync_t *sync, const config_sync_member_t *rows,
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

		if (rows[i].id == sync->self ||
		    sync->member_count == CONFIG_SYNC_MEMBERS_MAX)
			continue;
		member = &sync->members[sync->member_count++];
		*member = (config_sync_member_t){
			.id = rows[i].id,
			.domain = rows[i].domain,
			.position = rows[i].position,
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
	sync->news_ms = now_ms;
	raise_target(sync, position, now_ms);
	/* Its configuration was current then, and ours is not older. */
	if (age_ms != CONFIG_AGE_UNKNOWN && age_ms <= now_ms &&
	    position <= sync->position)
		confirm(sync, now_ms - age_ms);
}

static void on_head(config_sync_t *sync, uint64_t position, uint64_t now_ms)
{
	/* A lagging read says nothing. */
	if (position < sync->store_head || position < sync->position)
		return;
	sync->store_head = position;
	sync->store_head_ms = now_ms;
	sync->news_ms = now_ms;
	sync->store_failures = 0;
	raise_target(sync, position, now_ms);
	if (sync->in_force && position == sync->position)
		confirm(sync, now_ms);
}

static uint64_t store_delay_ms(config_sync_t *sync)
{
	uint32_t shift = sync->store_failures < 8 ? sync->store_failures : 8;
	uint64_t bound_ms = (uint64_t)STORE_RETRY_MS << shift;

	if (bound_ms > STORE_RETRY_MAX_MS)
		bound_ms = STORE_RETRY_MAX_MS;
	return bound_ms / 2 + rng_below(&sync->rng, bound_ms / 2 + 1);
}

static void peer_ended(config_sync_t *sync, bool progress, uint64_t now_ms)
{
	config_sync_member_t *member = find_member(sync, sync->fetch.peer);

	if (progress)
		return;
	if (!sync->in_force)
		sync->start_failures++;
	if (member) {
		member->avoid_until_ms = now_ms + AVOID_MS;
		/* It may have restarted without what it had. */
		member->position = 0;
	}
}

static void store_ended(config_sync_t *sync, int err, uint64_t now_ms)
{
	if (err)
		sync->store_failures++;
	else
		sync->store_failures = 0;
	sync->store_after_ms = now_ms + store_delay_ms(sync);
	/* A new round over the peers follows at start-up. */
	sync->start_failures = 0;
	if (err)
		return;
	sync->news_ms = now_ms;
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
		peer_ended(sync, progress, now_ms);
		break;
	case CONFIG_SYNC_FETCH_STORE:
		store_ended(sync, err, now_ms);
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
	uint64_t own = hash_rendezvous(sync->domain, sync->self);
	int above = 0;

	for (size_t i = 0; i < sync->member_count; i++) {
		const config_sync_member_t *member = &sync->members[i];
		uint64_t weight;

		if (member->domain != sync->domain)
			continue;
		weight = hash_rendezvous(sync->domain, member->id);
		above += weight > own ||
			 (weight == own && member->id > sync->self);
	}
	return above < CONFIG_SYNC_WATCHERS;
}

/** Rank of a peer as a source: higher is better, 0 is none. */
static int rank_peer(const config_sync_t *sync,
		     const config_sync_member_t *member, uint64_t now_ms)
{
	bool near = member->domain == sync->domain;

	if (now_ms < member->avoid_until_ms)
		return 0;
	/* After a restart of many, most peers have nothing to give yet. */
	if (!sync->in_force)
		return (member->position ? 3 : 1) + near;
	if (member->position <= sync->position)
		return 0;
	return (member->position >= sync->target ? 3 : 1) + near;
}

/** The best source, at random among equal ones; NULL if there is none. */
static const config_sync_member_t *choose_peer(config_sync_t *sync,
					       uint64_t now_ms)
{
	const config_sync_member_t *best = NULL;
	int best_rank = 0;
	uint64_t equal = 0;

	for (size_t i = 0; i < sync->member_count; i++) {
		int rank = rank_peer(sync, &sync->members[i], now_ms);

		if (!rank || rank < best_rank)
			continue;
		equal = rank > best_rank ? 1 : equal + 1;
		best_rank = rank;
		if (!rng_below(&sync->rng, equal))
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

/** At start-up: peers, then the store, then the bootstrap file. */
static void start_up(config_sync_t *sync, uint64_t now_ms,
		     config_sync_action_t *action)
{
	const config_sync_member_t *peer = NULL;

	if (sync->start_failures < START_PEERS)
		peer = choose_peer(sync, now_ms);
	if (peer)
		start_fetch(sync, CONFIG_SYNC_FETCH_PEER, peer->id, now_ms,
			    action);
	else if (sync->store_failures && sync->has_bootstrap)
		start_fetch(sync, CONFIG_SYNC_LOAD_BOOTSTRAP, 0, now_ms,
			    action);
	else if (now_ms >= sync->store_after_ms)
		start_fetch(sync, CONFIG_SYNC_FETCH_STORE, 0, now_ms, action);
}

static bool is_behind(const config_sync_t *sync)
{
	return sync->position < sync->target;
}

/** Whether the store is the source to ask now. */
static bool should_ask_store(config_sync_t *sync, uint64_t now_ms)
{
	bool saw_it = sync->store_head > sync->position;
	uint64_t known_ms =
		sync->confirmed ? sync->confirmed_ms : sync->started_ms;

	if (saw_it && sync->watching && !sync->store_failures)
		return true;
	if (now_ms < sync->store_after_ms)
		return false;
	if (is_behind(sync))
		return now_ms - sync->behind_ms > PEER_GRACE_MS;
	return now_ms - sync->news_ms > SILENCE_MS ||
	       now_ms - known_ms > STALE_MS;
}

static void catch_up(config_sync_t *sync, uint64_t now_ms,
		     config_sync_action_t *action)
{
	const config_sync_member_t *peer = choose_peer(sync, now_ms);

	if (peer)
		start_fetch(sync, CONFIG_SYNC_FETCH_PEER, peer->id, now_ms,
			    action);
	else if (should_ask_store(sync, now_ms))
		start_fetch(sync, CONFIG_SYNC_FETCH_STORE, 0, now_ms, action);
}

static void decide(config_sync_t *sync, uint64_t now_ms,
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
		catch_up(sync, now_ms, action);
	else
		start_up(sync, now_ms, action);
}

void config_sync_note(config_sync_t *sync, const config_sync_event_t *event,
		      uint64_t now_ms)
{
	switch (event->kind) {
	case CONFIG_SYNC_TICK:
		break;
	case CONFIG_SYNC_MEMBERS:
		on_members(sync, event->members.rows, event->members.count);
		break;
	case CONFIG_SYNC_GOSSIP:
		on_gossip(sync, event, now_ms);
		break;
	case CONFIG_SYNC_HEAD:
		on_head(sync, event->head.position, now_ms);
		break;
	case CONFIG_SYNC_FETCHED:
		/* A result that comes after its timeout still counts. */
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
	config_sync_note(sync, event, now_ms);
	decide(sync, now_ms, action);
}

int config_log_init(config_log_t *log)
{
	memset(log, 0, sizeof(*log));
	log->rows = json_array();
	return log->rows ? 0 : ERR_NO_MEMORY;
}

void config_log_free(config_log_t *log)
{
	json_decref(log->rows);
	log->rows = NULL;
}

static size_t row_bytes(const json_t *row)
{
	return json_dumpb(row, NULL, 0, JSON_COMPACT);
}

static void drop_oldest(config_log_t *log)
{
	log->bytes -= row_bytes(json_array_get(log->rows, 0));
	json_array_remove(log->rows, 0);
}

int config_log_add(config_log_t *log, uint64_t position, json_t *content)
{
	json_t *row = json_pack("{s:I, s:O}", "position", (json_int_t)position,
				"content", content);

	if (!row)
		return ERR_NO_MEMORY;
	if (position != log->position + 1) {
		json_array_clear(log->rows);
		log->bytes = 0;
	}
	log->position = position;
	log->bytes += row_bytes(row);
	if (json_array_append_new(log->rows, row))
		return ERR_NO_MEMORY;
	while (json_array_size(log->rows) > CONFIG_LOG_MAX ||
	       log->bytes > CONFIG_LOG_MAX_BYTES)
		drop_oldest(log);
	return 0;
}

/** Rows after `from`; NULL if the log does not hold all of them. */
static json_t *make_delta(const config_log_t *log, uint64_t from,
			  uint64_t position)
{
	size_t count = json_array_size(log->rows);
	json_t *rows;
	size_t bytes = 0;

	if (log->position != position || position - from > count)
		return NULL;
	rows = json_array();
	for (size_t i = count - (size_t)(position - from); i < count; i++) {
		json_t *row = json_array_get(log->rows, i);

		bytes += row_bytes(row);
		/* Always one row, so that the peer makes progress. */
		if (bytes > CONFIG_DELTA_MAX_BYTES && json_array_size(rows))
			break;
		json_array_append(rows, row);
		from++;
	}
	return json_pack("{s:I, s:o}", "position", (json_int_t)from, "tickets",
			 rows);
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

static int apply_delta(ticket_state_t *state, const json_t *rows,
		       json_t *contents)
{
	json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		json_int_t position =
			json_integer_value(json_object_get(row, "position"));
		int err;

		/* What a faster source has brought meanwhile is skipped. */
		if (position <= (json_int_t)state->position)
			continue;
		err = ticket_state_apply(state, (uint64_t)position,
					 json_object_get(row, "content"));
		if (err)
			return err;
		if (json_array_append(contents, row))
			return ERR_NO_MEMORY;
	}
	return 0;
}

int config_sync_apply(ticket_state_t *state, const json_t *answer,
		      json_t *contents)
{
	const json_t *rows = json_object_get(answer, "tickets");
	ticket_state_t next = { 0 };
	int err;

	json_array_clear(contents);
	if (rows) {
		err = ticket_state_copy(state, &next);
		if (!err)
			err = apply_delta(&next, rows, contents);
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
