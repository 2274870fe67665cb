#include "process/crash_guard.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/quarantine.h"
#include "process/rng.h"

enum {
	/** Capacity for claims that the gossip thread has yet to send to
	 * owners. */
	CRASH_GUARD_OUTBOX_MAX = 256,
	CRASH_GUARD_CALL_TIMEOUT_MS = 300,
	/** Pause before a claim is sent again to an owner that did not
	 * answer. */
	CRASH_GUARD_RETRY_MS = 200,
};

struct crash_guard {
	gossip_t *gossip;
	pthread_mutex_t lock; /**< Guards everything below. */
	quarantine_t quarantine;
	crash_guard_run_t runs[CRASH_GUARD_RUNS_MAX];
	size_t run_count;
	peer_claim_t outbox[CRASH_GUARD_OUTBOX_MAX];
	size_t outbox_count;
	rng_t rng;
};

int crash_guard_open(uint64_t block_ms, uint64_t seed, crash_guard_t **guard)
{
	crash_guard_t *created = calloc(1, sizeof(*created));

	if (!created)
		return ERR_NO_MEMORY;
	pthread_mutex_init(&created->lock, NULL);
	quarantine_init(&created->quarantine, block_ms);
	rng_init(&created->rng, seed);
	*guard = created;
	return 0;
}

void crash_guard_close(crash_guard_t *guard)
{
	if (!guard)
		return;
	pthread_mutex_destroy(&guard->lock);
	free(guard);
}

void crash_guard_set_block(crash_guard_t *guard, uint64_t block_ms)
{
	SCOPED_LOCK(held, &guard->lock);

	guard->quarantine.block_ms = block_ms;
}

void crash_guard_connect(crash_guard_t *guard, gossip_t *gossip)
{
	guard->gossip = gossip;
}

uint64_t crash_guard_crash_id(uint64_t endpoint, uint64_t incarnation)
{
	return hash_chain(endpoint, &incarnation, sizeof(incarnation));
}

static void queue_claim(crash_guard_t *guard, const peer_claim_t *claim)
{
	if (guard->outbox_count < CRASH_GUARD_OUTBOX_MAX)
		guard->outbox[guard->outbox_count++] = *claim;
}

static void queue_running(crash_guard_t *guard, const crash_guard_run_t *run)
{
	peer_claim_t claim = {
		.kind = PEER_CLAIM_RUNNING,
		.fingerprint = run->fingerprint,
		.run = run->run_id,
		.run_ms = CRASH_GUARD_RUN_LIMIT_MS,
	};

	queue_claim(guard, &claim);
}

/**
 * Reports the running attempts of a fingerprint that has become suspect to its
 * owner.
 */
static void queue_running_attempts(crash_guard_t *guard, uint64_t fingerprint)
{
	for (size_t i = 0; i < guard->run_count; i++) {
		if (guard->runs[i].fingerprint == fingerprint)
			queue_running(guard, &guard->runs[i]);
	}
}

static void log_crash(crash_guard_t *guard, uint64_t fingerprint)
{
	quarantine_status_t status = quarantine_check(
		&guard->quarantine, fingerprint, clock_now_ms(), NULL);

	event_log(status == QUARANTINE_BLOCKED ? EVENT_CRASH_BLOCKED
					       : EVENT_CRASH_SUSPECT,
		  "fingerprint=%016llx", (unsigned long long)fingerprint);
}

static bool record_crash(crash_guard_t *guard, uint64_t fingerprint,
			 uint64_t crash)
{
	SCOPED_LOCK(held, &guard->lock);

	if (!quarantine_record_crash(&guard->quarantine, fingerprint, crash,
				     clock_now_ms()))
		return false;
	queue_running_attempts(guard, fingerprint);
	log_crash(guard, fingerprint);
	return true;
}

static bool record_cleared(crash_guard_t *guard, uint64_t fingerprint)
{
	SCOPED_LOCK(held, &guard->lock);

	if (!quarantine_clear(&guard->quarantine, fingerprint, clock_now_ms()))
		return false;
	event_log(EVENT_CRASH_CLEARED, "fingerprint=%016llx",
		  (unsigned long long)fingerprint);
	return true;
}

void crash_guard_on_rumor(void *context, const peer_rumor_t *rumor)
{
	crash_guard_t *guard = context;

	switch (rumor->kind) {
	case PEER_RUMOR_CRASH:
		record_crash(guard, rumor->peer_rumor_t_u.crash.fingerprint,
			     rumor->peer_rumor_t_u.crash.crash);
		break;
	case PEER_RUMOR_CLEARED:
		record_cleared(guard,
			       rumor->peer_rumor_t_u.cleared.fingerprint);
		break;
	case PEER_RUMOR_MEMBER:
	case PEER_RUMOR_ENDPOINT:
		break;
	}
}

static peer_claim_answer_t decide_claim(crash_guard_t *guard,
					const peer_claim_t *claim)
{
	quarantine_decision_t decision =
		quarantine_claim(&guard->quarantine, claim->fingerprint,
				 claim->run, claim->run_ms, clock_now_ms());
	peer_claim_answer_t answer = { .wait_ms = (u_int)decision.wait_ms };

	switch (decision.kind) {
	case QUARANTINE_GRANTED:
		answer.result = PEER_CLAIM_GRANTED;
		break;
	case QUARANTINE_WAIT:
		answer.result = PEER_CLAIM_WAIT;
		break;
	case QUARANTINE_REFUSED:
		answer.result = PEER_CLAIM_BLOCKED;
		break;
	}
	return answer;
}

peer_claim_answer_t crash_guard_on_claim(void *context,
					 const peer_claim_t *claim)
{
	crash_guard_t *guard = context;
	quarantine_t *quarantine = &guard->quarantine;
	peer_claim_answer_t answer = { .result = PEER_CLAIM_GRANTED };
	uint64_t now_ms = clock_now_ms();
	SCOPED_LOCK(held, &guard->lock);

	switch (claim->kind) {
	case PEER_CLAIM_ASK:
		/* The sender may know of a crash before this instance does. */
		if (claim->crash)
			quarantine_record_crash(quarantine, claim->fingerprint,
						claim->crash, now_ms);
		return decide_claim(guard, claim);
	case PEER_CLAIM_RUNNING:
		quarantine_record_run(quarantine, claim->fingerprint,
				      claim->run, claim->run_ms, now_ms);
		break;
	case PEER_CLAIM_CLEARED:
		quarantine_clear(quarantine, claim->fingerprint, now_ms);
		quarantine_end_run(quarantine, claim->fingerprint, claim->run);
		break;
	case PEER_CLAIM_CRASHED:
		quarantine_record_crash(quarantine, claim->fingerprint,
					claim->crash, now_ms);
		quarantine_end_run(quarantine, claim->fingerprint, claim->run);
		break;
	case PEER_CLAIM_ABANDONED:
		quarantine_end_run(quarantine, claim->fingerprint, claim->run);
		break;
	}
	return answer;
}

/**
 * Sends a claim to the owner of its fingerprint, which may be this instance.
 * @return 0 or an error of the peer protocol
 */
static int send_claim(crash_guard_t *guard, const peer_claim_t *claim,
		      peer_claim_answer_t *answer)
{
	peer_message_t request = { .kind = PEER_CLAIM };
	peer_message_t message;
	peer_member_t owner;
	bool is_self = true;
	int err;

	if (guard->gossip)
		owner = gossip_owner(guard->gossip, claim->fingerprint,
				     &is_self);
	if (is_self) {
		*answer = crash_guard_on_claim(guard, claim);
		return 0;
	}
	request.peer_message_t_u.claim = *claim;
	err = gossip_call(guard->gossip, &owner, &request, &message,
			  CRASH_GUARD_CALL_TIMEOUT_MS);
	if (!err && message.kind != PEER_CLAIM_ANSWER)
		err = ERR_BAD_FIELD;
	if (!err)
		*answer = message.peer_message_t_u.claim_answer;
	peer_message_free(&message);
	return err;
}

void crash_guard_on_tick(void *context)
{
	crash_guard_t *guard = context;
	peer_claim_answer_t answer;

	for (;;) {
		peer_claim_t claim;

		{
			SCOPED_LOCK(held, &guard->lock);
			if (!guard->outbox_count)
				return;
			claim = guard->outbox[--guard->outbox_count];
		}
		/* If the claim is lost, the run's time limit applies. */
		send_claim(guard, &claim, &answer);
	}
}

/** Returns a known crash of the fingerprint, or 0. */
static uint64_t find_crash(const crash_guard_t *guard, uint64_t fingerprint)
{
	for (size_t i = 0; i < guard->quarantine.count; i++) {
		const quarantine_entry_t *entry = &guard->quarantine.entries[i];

		if (entry->fingerprint == fingerprint && entry->crash_count)
			return entry->crashes[0];
	}
	return 0;
}

/**
 * Asks the owner for permission for an isolated run, again and again until it
 * decides or the deadline passes.
 * @return 0, ERR_QUARANTINED or ERR_DEADLINE
 */
static int request_permission(crash_guard_t *guard,
			      const crash_guard_run_t *run, uint64_t crash,
			      uint64_t deadline_ms, uint64_t *retry_after_ms)
{
	peer_claim_t claim = {
		.kind = PEER_CLAIM_ASK,
		.fingerprint = run->fingerprint,
		.crash = crash,
		.run = run->run_id,
		.run_ms = CRASH_GUARD_RUN_LIMIT_MS,
	};

	while (clock_now_ms() < deadline_ms) {
		peer_claim_answer_t answer = { 0 };
		uint64_t wait_ms = CRASH_GUARD_RETRY_MS;

		if (!send_claim(guard, &claim, &answer)) {
			if (answer.result == PEER_CLAIM_GRANTED)
				return 0;
			if (answer.result == PEER_CLAIM_BLOCKED) {
				*retry_after_ms = answer.wait_ms;
				return ERR_QUARANTINED;
			}
			wait_ms = answer.wait_ms;
		}
		if (clock_now_ms() + wait_ms >= deadline_ms)
			break;
		clock_sleep_ms(wait_ms);
	}
	return ERR_DEADLINE;
}

/**
 * Reports to the owner how an isolated run ended. If the report is lost, the
 * run's time limit applies.
 */
static void report_result(crash_guard_t *guard, const crash_guard_run_t *run,
			  peer_claim_kind_t kind, uint64_t crash)
{
	peer_claim_t claim = {
		.kind = kind,
		.fingerprint = run->fingerprint,
		.crash = crash,
		.run = run->run_id,
	};
	peer_claim_answer_t answer;

	send_claim(guard, &claim, &answer);
}

static quarantine_status_t init_run(crash_guard_t *guard,
				    crash_guard_run_t *run, uint64_t *crash,
				    uint64_t *retry_after_ms)
{
	quarantine_status_t status =
		quarantine_check(&guard->quarantine, run->fingerprint,
				 clock_now_ms(), retry_after_ms);

	run->run_id = rng_next(&guard->rng) | 1;
	run->isolated = status == QUARANTINE_SUSPECT;
	*crash = find_crash(guard, run->fingerprint);
	return status;
}

static int track_run(crash_guard_t *guard, const crash_guard_run_t *run)
{
	if (guard->run_count == CRASH_GUARD_RUNS_MAX)
		return ERR_LIMIT;
	guard->runs[guard->run_count++] = *run;
	return 0;
}

static void untrack_run(crash_guard_t *guard, uint64_t run_id)
{
	for (size_t i = 0; i < guard->run_count; i++) {
		if (guard->runs[i].run_id != run_id)
			continue;
		guard->runs[i] = guard->runs[--guard->run_count];
		return;
	}
}

int crash_guard_begin(crash_guard_t *guard, uint64_t fingerprint,
		      uint64_t deadline_ms, crash_guard_run_t *run,
		      uint64_t *retry_after_ms)
{
	uint64_t crash = 0;
	int err = 0;

	memset(run, 0, sizeof(*run));
	run->fingerprint = fingerprint;
	{
		SCOPED_LOCK(held, &guard->lock);
		switch (init_run(guard, run, &crash, retry_after_ms)) {
		case QUARANTINE_BLOCKED:
			return ERR_QUARANTINED;
		case QUARANTINE_SUSPECT:
			break;
		case QUARANTINE_FREE:
			return track_run(guard, run);
		}
	}
	err = request_permission(guard, run, crash, deadline_ms,
				 retry_after_ms);
	if (err)
		return err;
	{
		SCOPED_LOCK(held, &guard->lock);
		err = track_run(guard, run);
	}
	if (err)
		report_result(guard, run, PEER_CLAIM_ABANDONED, 0);
	return err;
}

static void gossip_crash(crash_guard_t *guard, uint64_t fingerprint,
			 uint64_t crash)
{
	peer_rumor_t rumor = { .kind = PEER_RUMOR_CRASH };

	if (!guard->gossip)
		return;
	rumor.peer_rumor_t_u.crash.fingerprint = fingerprint;
	rumor.peer_rumor_t_u.crash.crash = crash;
	gossip_spread_rumor(guard->gossip, &rumor);
}

static void gossip_cleared(crash_guard_t *guard, uint64_t fingerprint)
{
	peer_rumor_t rumor = { .kind = PEER_RUMOR_CLEARED };

	if (!guard->gossip)
		return;
	rumor.peer_rumor_t_u.cleared.fingerprint = fingerprint;
	gossip_spread_rumor(guard->gossip, &rumor);
}

static bool is_suspect(crash_guard_t *guard, uint64_t fingerprint)
{
	SCOPED_LOCK(held, &guard->lock);

	return quarantine_check(&guard->quarantine, fingerprint, clock_now_ms(),
				NULL) == QUARANTINE_SUSPECT;
}

void crash_guard_end(crash_guard_t *guard, const crash_guard_run_t *run,
		     crash_guard_result_t result, uint64_t crash)
{
	{
		SCOPED_LOCK(held, &guard->lock);
		untrack_run(guard, run->run_id);
	}
	switch (result) {
	case CRASH_GUARD_COMPLETED:
		/* A completed isolated run shows that the request does not
		 * crash engines. */
		if (run->isolated) {
			record_cleared(guard, run->fingerprint);
			gossip_cleared(guard, run->fingerprint);
			report_result(guard, run, PEER_CLAIM_CLEARED, 0);
			return;
		}
		break;
	case CRASH_GUARD_CRASHED:
		record_crash(guard, run->fingerprint, crash);
		gossip_crash(guard, run->fingerprint, crash);
		report_result(guard, run, PEER_CLAIM_CRASHED, crash);
		return;
	case CRASH_GUARD_ABANDONED:
		if (!run->isolated && !is_suspect(guard, run->fingerprint))
			break;
		report_result(guard, run, PEER_CLAIM_ABANDONED, 0);
		break;
	}
}
