#include "process/gossip.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/membership.h"
#include "process/metrics.h"

enum {
	GOSSIP_TICK_MS = 100,
	/** Interval of join attempts while no other member is known. */
	GOSSIP_JOIN_PERIOD_MS = 1000,
	GOSSIP_ADDRESS_TEXT_MAX_BYTES = 64,
	/** One in this many failed joins is logged. */
	GOSSIP_JOIN_LOG_INTERVAL = 10,
	/** Queued indirect probes; more are dropped. */
	GOSSIP_INDIRECT_JOBS_MAX = 16,
};

/** A request of another instance to probe a third one. */
typedef struct indirect_job {
	peer_member_t requester;
	peer_member_t target;
} indirect_job_t;

typedef struct seed {
	char address[PEER_ADDRESS_BYTES];
	uint16_t port;
} seed_t;

struct gossip {
	gossip_hooks_t hooks;
	peer_t *peer;
	pthread_mutex_t lock; /**< Guards `membership`, `stopping`, `wake`. */
	pthread_cond_t changed;
	membership_t membership;
	bool stopping;
	bool wake;
	indirect_job_t indirect_jobs[GOSSIP_INDIRECT_JOBS_MAX];
	size_t indirect_job_count;
	seed_t seeds[GOSSIP_SEEDS_MAX];
	size_t seed_count;
	uint64_t next_join_ms;
	uint64_t join_failures;
	pthread_t thread;
};

/** Wakes the gossip thread; the caller holds the lock. */
static void wake(gossip_t *gossip)
{
	gossip->wake = true;
	pthread_cond_broadcast(&gossip->changed);
}

/* Received messages. */

static void notify_rumors(gossip_t *gossip, const peer_rumor_t *rumors,
			  size_t count)
{
	if (!gossip->hooks.on_rumor)
		return;
	for (size_t i = 0; i < count; i++)
		gossip->hooks.on_rumor(gossip->hooks.context, &rumors[i]);
}

static void notify_config(gossip_t *gossip, const peer_gossip_t *received)
{
	if (gossip->hooks.on_config)
		gossip->hooks.on_config(
			gossip->hooks.context, received->sender.id,
			received->config_position, received->config_age_ms);
}

static void receive(gossip_t *gossip, const peer_gossip_t *received)
{
	peer_rumor_t rumors[PEER_RUMORS_MAX];
	size_t count;

	{
		SCOPED_LOCK(guard, &gossip->lock);
		count = membership_receive(&gossip->membership, received,
					   clock_now_ms(), rumors);
		if (gossip->membership.push_pending)
			wake(gossip);
	}
	notify_rumors(gossip, rumors, count);
	notify_config(gossip, received);
}

/**
 * Fills the gossip part of a message. Its rumors are allocated and are freed
 * with the message. If memory runs out, it has no rumors.
 */
static void fill_gossip(gossip_t *gossip, uint64_t target, peer_gossip_t *out)
{
	peer_rumor_t *storage = calloc(PEER_RUMORS_MAX, sizeof(*storage));
	SCOPED_LOCK(guard, &gossip->lock);

	if (storage) {
		membership_fill_gossip(&gossip->membership, target, out,
				       storage);
		return;
	}
	out->sender = gossip->membership.self;
	out->config_position = gossip->membership.config_position;
	out->config_age_ms = gossip->membership.config_age_ms;
}

static void answer_join(gossip_t *gossip, uint64_t sender,
			peer_message_t *answer)
{
	peer_members_t *members = &answer->peer_message_t_u.members;
	peer_member_t *list = calloc(PEER_MEMBERS_MAX, sizeof(*list));

	answer->kind = PEER_MEMBERS_ANSWER;
	fill_gossip(gossip, sender, &members->gossip);
	if (!list)
		return;
	SCOPED_LOCK(guard, &gossip->lock);
	members->members.members_len = (u_int)membership_live(
		&gossip->membership, list, PEER_MEMBERS_MAX);
	members->members.members_val = list;
}

static void answer_config(gossip_t *gossip, bool snapshot,
			  uint64_t from_position, peer_message_t *answer)
{
	peer_document_t *document = &answer->peer_message_t_u.document;
	uint64_t position = 0;
	size_t bytes = 0;
	int err = ERR_NOT_FOUND;

	answer->kind = PEER_DOCUMENT_ANSWER;
	if (gossip->hooks.config_read)
		err = gossip->hooks.config_read(
			gossip->hooks.context, snapshot, from_position,
			&position, &document->document.document_val, &bytes);
	if (err < 0) {
		answer->kind = PEER_ERROR_ANSWER;
		answer->peer_message_t_u.error = err;
		return;
	}
	document->position = position;
	document->document.document_len = (u_int)bytes;
}

static void answer_claim(gossip_t *gossip, const peer_claim_t *claim,
			 peer_message_t *answer)
{
	if (!gossip->hooks.on_claim) {
		answer->kind = PEER_ERROR_ANSWER;
		answer->peer_message_t_u.error = ERR_NOT_FOUND;
		return;
	}
	answer->kind = PEER_CLAIM_ANSWER;
	answer->peer_message_t_u.claim_answer =
		gossip->hooks.on_claim(gossip->hooks.context, claim);
}

/**
 * Queues an indirect probe for the gossip thread, because the server thread
 * must not call peers.
 */
static void queue_indirect_probe(gossip_t *gossip,
				 const peer_indirect_t *indirect)
{
	SCOPED_LOCK(guard, &gossip->lock);
	indirect_job_t *job;

	if (gossip->indirect_job_count == GOSSIP_INDIRECT_JOBS_MAX)
		return;
	job = &gossip->indirect_jobs[gossip->indirect_job_count++];
	job->requester = indirect->gossip.sender;
	job->target = indirect->target;
	wake(gossip);
}

static void handle_message(void *context, uint64_t sender,
			   const peer_message_t *request,
			   peer_message_t *answer)
{
	gossip_t *gossip = context;

	switch (request->kind) {
	case PEER_PROBE:
	case PEER_PUSH:
		receive(gossip, &request->peer_message_t_u.gossip);
		break;
	case PEER_JOIN:
		receive(gossip, &request->peer_message_t_u.gossip);
		answer_join(gossip, sender, answer);
		return;
	case PEER_INDIRECT:
		receive(gossip, &request->peer_message_t_u.indirect.gossip);
		queue_indirect_probe(gossip,
				     &request->peer_message_t_u.indirect);
		break;
	case PEER_INDIRECT_ACK: {
		const peer_indirect_ack_t *ack =
			&request->peer_message_t_u.indirect_ack;

		receive(gossip, &ack->gossip);
		SCOPED_LOCK(guard, &gossip->lock);
		membership_indirect_ack(&gossip->membership, ack->target,
					ack->target_incarnation);
		break;
	}
	case PEER_CONFIG_FETCH:
		answer_config(gossip, false,
			      request->peer_message_t_u.from_position, answer);
		return;
	case PEER_SNAPSHOT_FETCH:
		answer_config(gossip, true, 0, answer);
		return;
	case PEER_CLAIM:
		answer_claim(gossip, &request->peer_message_t_u.claim, answer);
		return;
	default:
		answer->kind = PEER_ERROR_ANSWER;
		answer->peer_message_t_u.error = ERR_BAD_FIELD;
		return;
	}
	answer->kind = PEER_GOSSIP_ANSWER;
	fill_gossip(gossip, sender, &answer->peer_message_t_u.gossip);
}

/* Sent messages. */

int gossip_call(gossip_t *gossip, const peer_member_t *member,
		const peer_message_t *request, peer_message_t *answer,
		uint32_t timeout_ms)
{
	return peer_call(gossip->peer, member->address, (uint16_t)member->port,
			 member->id, request, answer, timeout_ms);
}

/**
 * Sends a gossip message, applies the answer and frees the message.
 * @return 0 or an error
 */
static int send_gossip(gossip_t *gossip, const peer_member_t *target,
		       peer_message_t *message)
{
	peer_message_t answer;
	int err = gossip_call(gossip, target, message, &answer,
			      GOSSIP_CALL_TIMEOUT_MS);

	if (!err && answer.kind == PEER_GOSSIP_ANSWER)
		receive(gossip, &answer.peer_message_t_u.gossip);
	peer_message_free(&answer);
	peer_message_free(message);
	return err;
}

static int send_gossip_message(gossip_t *gossip, peer_kind_t kind,
			       const peer_member_t *target)
{
	peer_message_t message = { .kind = kind };

	fill_gossip(gossip, target->id, &message.peer_message_t_u.gossip);
	return send_gossip(gossip, target, &message);
}

static void send_indirect(gossip_t *gossip, const membership_action_t *action)
{
	peer_message_t message = { .kind = PEER_INDIRECT };
	peer_indirect_t *indirect = &message.peer_message_t_u.indirect;

	fill_gossip(gossip, action->target.id, &indirect->gossip);
	indirect->target = action->subject;
	send_gossip(gossip, &action->target, &message);
}

static void probe(gossip_t *gossip, const peer_member_t *target)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count;

	if (!send_gossip_message(gossip, PEER_PROBE, target))
		return;
	{
		SCOPED_LOCK(guard, &gossip->lock);
		count = membership_probe_failed(&gossip->membership, target->id,
						clock_now_ms(), actions);
	}
	for (size_t i = 0; i < count; i++)
		send_indirect(gossip, &actions[i]);
}

static void perform(gossip_t *gossip, const membership_action_t *action)
{
	switch (action->kind) {
	case MEMBERSHIP_SEND_PROBE:
		probe(gossip, &action->target);
		break;
	case MEMBERSHIP_SEND_PUSH:
		send_gossip_message(gossip, PEER_PUSH, &action->target);
		break;
	case MEMBERSHIP_SEND_INDIRECT:
		send_indirect(gossip, action);
		break;
	case MEMBERSHIP_FAILED:
		event_log(EVENT_MEMBER_FAILED, "member=%016llx",
			  (unsigned long long)action->target.id);
		break;
	}
}

static void run_indirect(gossip_t *gossip, const indirect_job_t *job)
{
	peer_message_t message = { .kind = PEER_INDIRECT_ACK };
	peer_indirect_ack_t *ack = &message.peer_message_t_u.indirect_ack;

	if (send_gossip_message(gossip, PEER_PROBE, &job->target))
		return;
	fill_gossip(gossip, job->requester.id, &ack->gossip);
	ack->target = job->target.id;
	ack->target_incarnation = job->target.incarnation;
	send_gossip(gossip, &job->requester, &message);
}

static bool take_indirect_job(gossip_t *gossip, indirect_job_t *job)
{
	SCOPED_LOCK(guard, &gossip->lock);

	if (!gossip->indirect_job_count)
		return false;
	*job = gossip->indirect_jobs[--gossip->indirect_job_count];
	return true;
}

/* Joining. */

/** Fetches the members from one seed. @return 0 or an error */
static int join_seed(gossip_t *gossip, const seed_t *seed)
{
	peer_message_t request = { .kind = PEER_JOIN };
	peer_message_t answer;
	int err;

	fill_gossip(gossip, 0, &request.peer_message_t_u.gossip);
	err = peer_call(gossip->peer, seed->address, seed->port, 0, &request,
			&answer, GOSSIP_CALL_TIMEOUT_MS);
	peer_message_free(&request);
	if (!err && answer.kind == PEER_MEMBERS_ANSWER) {
		const peer_members_t *members =
			&answer.peer_message_t_u.members;

		receive(gossip, &members->gossip);
		SCOPED_LOCK(guard, &gossip->lock);
		for (size_t i = 0; i < members->members.members_len; i++)
			membership_add_listed_member(
				&gossip->membership,
				&members->members.members_val[i],
				clock_now_ms());
		event_log(EVENT_MEMBER_JOINED, "members=%zu",
			  membership_live_count(&gossip->membership));
	}
	peer_message_free(&answer);
	return err;
}

static bool is_alone(gossip_t *gossip)
{
	SCOPED_LOCK(guard, &gossip->lock);

	return membership_live_count(&gossip->membership) == 1;
}

/**
 * Tries the seeds in order, starting at a random one, until another member is
 * known.
 */
static void join(gossip_t *gossip)
{
	size_t start;

	{
		SCOPED_LOCK(guard, &gossip->lock);
		start = rng_below(&gossip->membership.rng, gossip->seed_count);
	}
	for (size_t i = 0; i < gossip->seed_count; i++) {
		size_t index = (start + i) % gossip->seed_count;

		if (!join_seed(gossip, &gossip->seeds[index]) &&
		    !is_alone(gossip))
			return;
	}
	if (gossip->join_failures++ % GOSSIP_JOIN_LOG_INTERVAL == 0)
		event_log(EVENT_JOIN_FAILED, "seeds=%zu", gossip->seed_count);
}

static void join_if_alone(gossip_t *gossip)
{
	uint64_t now_ms = clock_now_ms();

	if (!gossip->seed_count || now_ms < gossip->next_join_ms ||
	    !is_alone(gossip))
		return;
	gossip->next_join_ms = now_ms + GOSSIP_JOIN_PERIOD_MS;
	join(gossip);
}

/* Gossip thread. */

/** Waits for the next tick or wake(). @return false if stopping */
static bool wait_for_tick(gossip_t *gossip)
{
	uint64_t deadline_ms = clock_now_ms() + GOSSIP_TICK_MS;
	SCOPED_LOCK(guard, &gossip->lock);

	while (!gossip->stopping && !gossip->wake) {
		if (!clock_cond_wait_until(&gossip->changed, &gossip->lock,
					   deadline_ms))
			break;
	}
	gossip->wake = false;
	return !gossip->stopping;
}

static void *run(void *context)
{
	gossip_t *gossip = context;
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	indirect_job_t job;

	do {
		size_t count;

		join_if_alone(gossip);
		{
			SCOPED_LOCK(guard, &gossip->lock);
			count = membership_tick(&gossip->membership,
						clock_now_ms(), actions);
			metrics_set(METRIC_MEMBERS_LIVE,
				    (int64_t)membership_live_count(
					    &gossip->membership));
		}
		for (size_t i = 0; i < count; i++)
			perform(gossip, &actions[i]);
		while (take_indirect_job(gossip, &job))
			run_indirect(gossip, &job);
		if (gossip->hooks.on_tick)
			gossip->hooks.on_tick(gossip->hooks.context);
	} while (wait_for_tick(gossip));
	return NULL;
}

/* Public functions. */

/** Parses "address:port"; an IPv6 address is in brackets. */
static int parse_seed(const char *text, seed_t *seed)
{
	char host[GOSSIP_ADDRESS_TEXT_MAX_BYTES];
	const char *colon = strrchr(text, ':');
	const char *begin = text;
	unsigned long port;
	size_t len;
	char *end;

	if (!colon)
		return ERR_SETTING;
	len = (size_t)(colon - text);
	if (len >= 2 && *text == '[' && text[len - 1] == ']') {
		begin++;
		len -= 2;
	}
	port = strtoul(colon + 1, &end, 10);
	if (len >= sizeof(host) || *end || !port || port > UINT16_MAX)
		return ERR_SETTING;
	memcpy(host, begin, len);
	host[len] = '\0';
	seed->port = (uint16_t)port;
	return peer_parse_address(host, seed->address) < 0 ? ERR_SETTING : 0;
}

static int add_seed(gossip_t *gossip, const char *text, size_t len)
{
	char item[GOSSIP_ADDRESS_TEXT_MAX_BYTES];

	if (len >= sizeof(item) || gossip->seed_count == GOSSIP_SEEDS_MAX)
		return ERR_SETTING;
	memcpy(item, text, len);
	item[len] = '\0';
	if (parse_seed(item, &gossip->seeds[gossip->seed_count]) < 0)
		return ERR_SETTING;
	gossip->seed_count++;
	return 0;
}

static int parse_seeds(gossip_t *gossip, const char *text)
{
	while (text && *text) {
		size_t len = strcspn(text, ",");

		if (add_seed(gossip, text, len) < 0) {
			fprintf(stderr,
				"setting --peers: '%.*s' is not accepted; give "
				"at most %d numeric address:port, separated by "
				"commas\n",
				(int)len, text, GOSSIP_SEEDS_MAX);
			return ERR_SETTING;
		}
		text += len;
		text += *text == ',';
	}
	return 0;
}

uint32_t gossip_domain_id(const char *domain)
{
	return (uint32_t)hash_string(domain);
}

static int open_peer(gossip_t *gossip, const gossip_settings_t *settings,
		     peer_member_t *self)
{
	peer_settings_t peer = {
		.cluster = hash_string(settings->cluster),
		.secret = settings->secret,
		.id = hash_string(settings->instance),
		.address = settings->listen,
		.port = settings->port,
		.timeout_ms = GOSSIP_CALL_TIMEOUT_MS,
		.handler = handle_message,
		.context = gossip,
	};
	int err;

	memset(self, 0, sizeof(*self));
	if (peer_parse_address(settings->advertise, self->address) < 0)
		return ERR_SETTING;
	self->id = peer.id;
	self->incarnation =
		1 + rng_system_seed() % MEMBERSHIP_START_INCARNATION_MAX;
	self->domain = gossip_domain_id(settings->domain);
	/*
	 * The server may receive a message as soon as it is open, but `self`
	 * needs its port. The lock makes handlers wait until membership is
	 * initialized.
	 */
	SCOPED_LOCK(guard, &gossip->lock);
	err = peer_open(&peer, &gossip->peer);
	if (err)
		return err;
	self->port = settings->advertise_port ? settings->advertise_port
					      : peer_port(gossip->peer);
	membership_init(&gossip->membership, self, settings->seed,
			clock_now_ms());
	return 0;
}

static void init_locks(gossip_t *gossip)
{
	clock_cond_init(&gossip->changed);
	pthread_mutex_init(&gossip->lock, NULL);
}

int gossip_open(const gossip_settings_t *settings, gossip_t **gossip)
{
	gossip_t *created = calloc(1, sizeof(*created));
	peer_member_t self;
	int err;

	if (!created)
		return ERR_NO_MEMORY;
	created->hooks = settings->hooks;
	init_locks(created);
	err = parse_seeds(created, settings->seeds);
	if (!err)
		err = open_peer(created, settings, &self);
	if (!err && pthread_create(&created->thread, NULL, run, created))
		err = ERR_INTERNAL;
	if (err) {
		peer_close(created->peer);
		free(created);
		return err;
	}
	*gossip = created;
	return 0;
}

static void announce_leave(gossip_t *gossip)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count;

	{
		SCOPED_LOCK(guard, &gossip->lock);
		count = membership_leave(&gossip->membership, actions);
	}
	for (size_t i = 0; i < count; i++)
		perform(gossip, &actions[i]);
}

void gossip_close(gossip_t *gossip)
{
	if (!gossip)
		return;
	{
		SCOPED_LOCK(guard, &gossip->lock);
		gossip->stopping = true;
		pthread_cond_broadcast(&gossip->changed);
	}
	pthread_join(gossip->thread, NULL);
	announce_leave(gossip);
	peer_close(gossip->peer);
	pthread_mutex_destroy(&gossip->lock);
	pthread_cond_destroy(&gossip->changed);
	free(gossip);
}

uint16_t gossip_port(const gossip_t *gossip)
{
	return peer_port(gossip->peer);
}

uint64_t gossip_id(const gossip_t *gossip)
{
	return gossip->membership.self.id;
}

void gossip_add_listed_instance(gossip_t *gossip, const char *instance,
				const char *address, uint16_t port,
				const char *domain)
{
	peer_member_t member = {
		.id = hash_string(instance),
		.port = port,
		.domain = gossip_domain_id(domain),
		.state = PEER_MEMBER_ALIVE,
	};

	/* Incarnation 0: any state that the instance sends is newer. */
	if (peer_parse_address(address, member.address) < 0)
		return;
	SCOPED_LOCK(guard, &gossip->lock);
	membership_add_listed_member(&gossip->membership, &member,
				     clock_now_ms());
}

void gossip_set_config_position(gossip_t *gossip, uint64_t position)
{
	SCOPED_LOCK(guard, &gossip->lock);

	membership_set_config_position(&gossip->membership, position);
	if (gossip->membership.push_pending)
		wake(gossip);
}

void gossip_set_config_age(gossip_t *gossip, uint32_t age_ms)
{
	SCOPED_LOCK(guard, &gossip->lock);

	gossip->membership.config_age_ms = age_ms;
}

size_t gossip_members(gossip_t *gossip, gossip_member_t *out, size_t max)
{
	const membership_t *membership = &gossip->membership;
	uint64_t now_ms = clock_now_ms();
	size_t used = 0;
	SCOPED_LOCK(guard, &gossip->lock);

	if (max)
		out[used++] = (gossip_member_t){ membership->self,
						 membership->config_position,
						 membership->config_age_ms };
	for (size_t i = 0; i < membership->count && used < max; i++) {
		const membership_member_t *member = &membership->members[i];

		if (member->wire.state != PEER_MEMBER_LEFT)
			out[used++] = (gossip_member_t){
				member->wire, member->config_position,
				membership_config_age_ms(member, now_ms)
			};
	}
	return used;
}

int gossip_probe(gossip_t *gossip, const peer_member_t *member)
{
	return send_gossip_message(gossip, PEER_PROBE, member);
}

void gossip_spread_rumor(gossip_t *gossip, const peer_rumor_t *rumor)
{
	SCOPED_LOCK(guard, &gossip->lock);

	if (membership_spread_rumor(&gossip->membership, rumor))
		wake(gossip);
}

size_t gossip_live_count(gossip_t *gossip)
{
	SCOPED_LOCK(guard, &gossip->lock);

	return membership_live_count(&gossip->membership);
}

size_t gossip_live(gossip_t *gossip, peer_member_t *out, size_t max)
{
	SCOPED_LOCK(guard, &gossip->lock);

	return membership_live(&gossip->membership, out, max);
}

peer_member_t gossip_owner(gossip_t *gossip, uint64_t key, bool *is_self)
{
	SCOPED_LOCK(guard, &gossip->lock);
	peer_member_t owner = membership_owner(&gossip->membership, key);

	*is_self = owner.id == gossip->membership.self.id;
	return owner;
}

static int take_config_document(peer_message_t *answer, uint64_t *position,
				char **document, size_t *document_bytes)
{
	peer_document_t *received = &answer->peer_message_t_u.document;

	if (answer->kind != PEER_DOCUMENT_ANSWER)
		return ERR_BAD_FIELD;
	*position = received->position;
	*document = received->document.document_val;
	*document_bytes = received->document.document_len;
	received->document.document_val = NULL;
	received->document.document_len = 0;
	return 0;
}

static bool find_source(gossip_t *gossip, uint64_t member,
			uint64_t from_position, peer_member_t *source)
{
	SCOPED_LOCK(guard, &gossip->lock);

	if (member)
		return membership_find_live(&gossip->membership, member,
					    source);
	return membership_config_source(&gossip->membership, from_position,
					source);
}

int gossip_fetch_config(gossip_t *gossip, uint64_t member, bool snapshot,
			uint64_t from_position, uint64_t *position,
			char **document, size_t *document_bytes)
{
	peer_message_t request = { .kind = snapshot ? PEER_SNAPSHOT_FETCH
						    : PEER_CONFIG_FETCH };
	peer_message_t answer;
	peer_member_t source;
	int err;

	if (!find_source(gossip, member, from_position, &source))
		return ERR_NOT_FOUND;
	if (!snapshot)
		request.peer_message_t_u.from_position = from_position;
	err = gossip_call(gossip, &source, &request, &answer,
			  GOSSIP_FETCH_TIMEOUT_MS);
	if (!err)
		err = take_config_document(&answer, position, document,
					   document_bytes);
	peer_message_free(&answer);
	return err;
}
