#include "process/lease.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"
#include "process/store_revision.h"

_Static_assert(sizeof(lease_t) <= LEASE_SIZE_BYTES,
	       "lease_t exceeds LEASE_SIZE_BYTES");

/** Share of the duration that the holder uses; others wait all of it. */
#define VALID_NUMERATOR 2
#define VALID_DENOMINATOR 3
/** Renewals start after this share of the duration. */
#define RENEW_DENOMINATOR 3
/** Delay between failed store calls, as a share of the duration. */
#define RETRY_DENOMINATOR 20
/** Random part of the takeover time, as a share of the duration. */
#define TAKEOVER_JITTER_DENOMINATOR 10

static lease_action_t *add(lease_t *lease, lease_actions_t *actions,
			   lease_action_kind_t kind)
{
	lease_action_t *action = &actions->items[actions->count++];

	memset(action, 0, sizeof(*action));
	action->kind = kind;
	action->call_id = lease->call_id;
	return action;
}

static lease_action_t *add_call(lease_t *lease, lease_actions_t *actions,
				lease_action_kind_t kind)
{
	lease->call_id++;
	return add(lease, actions, kind);
}

static void read_record(lease_t *lease, lease_actions_t *actions,
			lease_phase_t phase)
{
	lease->phase = phase;
	add_call(lease, actions, LEASE_ACTION_READ);
}

static void wait_until(lease_t *lease, lease_actions_t *actions,
		       uint64_t wait_until_ms)
{
	add_call(lease, actions, LEASE_ACTION_WAIT)->wait_until_ms =
		wait_until_ms;
}

static void write_record(lease_t *lease, lease_actions_t *actions,
			 lease_phase_t phase, uint64_t now_ms)
{
	lease_action_t *action = add_call(lease, actions, LEASE_ACTION_WRITE);

	lease->phase = phase;
	lease->written_at_ms = now_ms;
	/*
	 * If two writes had equal values, a late one could be taken for the
	 * newer one, and the validity would be counted from the wrong time.
	 */
	lease->written.write_id = ++lease->last_write_id;
	action->write.if_version = lease->have_record ? lease->version : 0;
	action->write.record = lease->written;
}

static uint64_t retry_at_ms(lease_t *lease, uint64_t now_ms)
{
	uint64_t step_ms = lease->duration_ms / RETRY_DENOMINATOR + 1;

	return now_ms + step_ms + rng_below(lease->rng, step_ms);
}

void lease_begin(lease_t *lease, const char *self, uint64_t nonce,
		 uint32_t duration_ms, rng_t *rng, lease_actions_t *actions)
{
	memset(lease, 0, sizeof(*lease));
	actions->count = 0;
	snprintf(lease->self, sizeof(lease->self), "%s", self);
	lease->nonce = nonce;
	lease->duration_ms = duration_ms;
	lease->rng = rng;
	read_record(lease, actions, LEASE_PHASE_READING);
}

/** Whether a record is exactly the value of our latest write. */
static bool is_our_write(const lease_t *lease, const lease_record_t *record)
{
	return record->nonce == lease->written.nonce &&
	       record->fencing == lease->written.fencing &&
	       record->write_id == lease->written.write_id &&
	       strcmp(record->holder, lease->written.holder) == 0;
}

/** Whether this process wrote the record under its current fencing number. */
static bool is_from_current_term(const lease_t *lease,
				 const lease_record_t *record)
{
	return record->nonce == lease->nonce && record->holder[0] &&
	       record->fencing == lease->record.fencing;
}

/**
 * Fencing number of the next acquisition. The records of a restored store may
 * be older than the last acquisition, and a write of an earlier era that takes
 * effect late may replace a newer record. The era and the revision that the
 * acquisition replaces rise nevertheless.
 */
static uint64_t next_fencing(const lease_t *lease)
{
	uint64_t fencing = lease->have_record ? lease->record.fencing : 0;
	uint64_t number =
		lease->have_record ? store_revision_number(lease->version) : 0;
	uint64_t least =
		lease->era ? store_revision_make(lease->era, number) : 0;

	return (fencing > least ? fencing : least) + 1;
}

static const char *found_note(const lease_t *lease)
{
	static const char no_note[LEASE_NOTE_MAX_BYTES];

	return lease->have_record ? lease->record.note : no_note;
}

static void try_acquire(lease_t *lease, lease_actions_t *actions,
			uint64_t now_ms)
{
	lease_record_t *record = &lease->written;

	memset(record, 0, sizeof(*record));
	memcpy(record->holder, lease->self, sizeof(record->holder));
	record->nonce = lease->nonce;
	record->fencing = next_fencing(lease);
	record->era = lease->era;
	record->duration_ms = lease->duration_ms;
	memcpy(record->note, found_note(lease), sizeof(record->note));
	lease->acquiring = true;
	write_record(lease, actions, LEASE_PHASE_ACQUIRING, now_ms);
}

static void end_validity(lease_t *lease, lease_actions_t *actions)
{
	if (lease->valid_until_ms)
		add(lease, actions, LEASE_ACTION_LOST);
	lease->valid_until_ms = 0;
}

/** Our write is in the store; validity counts from before it was issued. */
static void apply_own_write(lease_t *lease, lease_actions_t *actions,
			    uint64_t version, uint64_t now_ms)
{
	bool is_new = lease->acquiring;
	uint64_t valid_until_ms = lease->written_at_ms +
				  (uint64_t)lease->duration_ms *
					  VALID_NUMERATOR / VALID_DENOMINATOR;

	lease->have_record = true;
	lease->record = lease->written;
	lease->version = version;
	/* An expired lease isn't continued under its old fencing number. */
	if (now_ms >= valid_until_ms || (!is_new && !lease->valid_until_ms)) {
		end_validity(lease, actions);
		try_acquire(lease, actions, now_ms);
		return;
	}
	lease->acquiring = false;
	lease->phase = LEASE_PHASE_HELD;
	lease->valid_until_ms = valid_until_ms;
	lease->renew_at_ms =
		lease->written_at_ms + lease->duration_ms / RENEW_DENOMINATOR;
	if (is_new) {
		memcpy(lease->note, lease->record.note, sizeof(lease->note));
		add(lease, actions, LEASE_ACTION_ACQUIRED)->fencing =
			lease->record.fencing;
	}
	wait_until(lease, actions, lease->renew_at_ms);
}

static void renew(lease_t *lease, lease_actions_t *actions, uint64_t now_ms)
{
	lease->written = lease->record;
	memcpy(lease->written.note, lease->note, sizeof(lease->written.note));
	write_record(lease, actions, LEASE_PHASE_RENEWING, now_ms);
}

void lease_set_note(lease_t *lease, const char *note)
{
	if (lease->valid_until_ms)
		snprintf(lease->note, sizeof(lease->note), "%s", note);
}

const char *lease_note(const lease_t *lease)
{
	return lease->valid_until_ms ? lease->note : found_note(lease);
}

static bool may_take_released(const lease_t *lease)
{
	const lease_record_t *record = &lease->record;

	return !record->successor[0] ||
	       strcmp(record->successor, lease->self) == 0;
}

/** Whether a record that was written later may have been lost in a restore of
 * the store; its holder may be valid for the rest of its lease. */
static bool may_be_superseded(const lease_t *lease)
{
	return lease->have_record ? lease->record.era != lease->era
				  : lease->era != 0;
}

/** Whether nobody holds the lease. */
static bool is_free(const lease_t *lease)
{
	const lease_record_t *record = &lease->record;

	if (may_be_superseded(lease))
		return false;
	return !lease->have_record ||
	       (!record->holder[0] && may_take_released(lease)) ||
	       /* Our own expired lease, which no other instance took over. */
	       record->nonce == lease->nonce ||
	       (lease->id_is_unique && !strcmp(record->holder, lease->self));
}

/** When a lease that may be held has certainly expired. */
static uint64_t expiry_ms(const lease_t *lease)
{
	uint32_t duration_ms =
		lease->have_record ? lease->record.duration_ms : 0;

	if (may_be_superseded(lease) && duration_ms < lease->duration_ms)
		duration_ms = lease->duration_ms;
	return lease->observed_at_ms + duration_ms;
}

/** Acquires the lease or waits, after a read while not the holder. */
static void decide_after_read(lease_t *lease, lease_actions_t *actions,
			      uint64_t now_ms)
{
	if (is_free(lease) || now_ms >= expiry_ms(lease)) {
		try_acquire(lease, actions, now_ms);
		return;
	}
	lease->phase = LEASE_PHASE_WATCHING;
	wait_until(
		lease, actions,
		expiry_ms(lease) +
			rng_below(lease->rng,
				  lease->duration_ms /
						  TAKEOVER_JITTER_DENOMINATOR +
					  1));
}

static void update_record(lease_t *lease, const lease_event_t *event,
			  uint64_t now_ms)
{
	bool found = event->read.result != ERR_NOT_FOUND;
	uint64_t version = found ? event->read.version : 0;

	/*
	 * The age counts from the answer to the first read that showed this
	 * version, as the version was written before that.
	 */
	if (!lease->observed || lease->have_record != found ||
	    lease->version != version)
		lease->observed_at_ms = now_ms;
	lease->observed = true;
	lease->have_record = found;
	lease->version = version;
	if (found)
		lease->record = *event->read.record;
}

static void stop(lease_t *lease, lease_actions_t *actions)
{
	lease->phase = LEASE_PHASE_STOPPED;
	add(lease, actions, LEASE_ACTION_STOPPED);
}

/**
 * Begins a newer era of the store. What is known of the record is no longer
 * true, and a write with its revision could replace another record.
 */
static void begin_era(lease_t *lease, lease_actions_t *actions, uint64_t era)
{
	end_validity(lease, actions);
	lease->era = era;
	lease->observed = false;
	lease->have_record = false;
	lease->version = 0;
}

/** Begins a newer era and reads the record again. */
static void restart_in_era(lease_t *lease, lease_actions_t *actions,
			   uint64_t era)
{
	begin_era(lease, actions, era);
	/* A release has nothing left to release. */
	if (lease->phase == LEASE_PHASE_RELEASING)
		stop(lease, actions);
	else
		read_record(lease, actions, LEASE_PHASE_READING);
}

/** Result of a call; an answer of an earlier era says nothing about now. */
static int current_result(const lease_t *lease, const lease_event_t *event,
			  int result)
{
	return event->era < lease->era && (!result || result == ERR_NOT_FOUND)
		       ? ERR_STORE_UNKNOWN
		       : result;
}

static void on_read(lease_t *lease, const lease_event_t *event, uint64_t now_ms,
		    lease_actions_t *actions)
{
	int result = current_result(lease, event, event->read.result);

	if (event->era > lease->era) {
		begin_era(lease, actions, event->era);
		lease->phase = LEASE_PHASE_READING;
	}
	if (lease->valid_until_ms && !lease_is_valid(lease, now_ms))
		end_validity(lease, actions);
	if (result != 0 && result != ERR_NOT_FOUND) {
		wait_until(lease, actions, retry_at_ms(lease, now_ms));
		return;
	}
	if (lease->phase == LEASE_PHASE_CHECKING && result == 0) {
		if (is_our_write(lease, event->read.record)) {
			apply_own_write(lease, actions, event->read.version,
					now_ms);
			return;
		}
		if (lease->valid_until_ms &&
		    is_from_current_term(lease, event->read.record)) {
			lease->version = event->read.version;
			renew(lease, actions, now_ms);
			return;
		}
	}
	end_validity(lease, actions);
	update_record(lease, event, now_ms);
	decide_after_read(lease, actions, now_ms);
}

static void on_release_written(lease_t *lease, int result, uint64_t now_ms,
			       lease_actions_t *actions)
{
	/* If the release didn't take effect, the lease expires by itself. */
	if (result == 0 || result == ERR_STORE_CONDITION ||
	    ++lease->failures > 2) {
		stop(lease, actions);
		return;
	}
	wait_until(lease, actions, retry_at_ms(lease, now_ms));
}

static void on_written(lease_t *lease, const lease_event_t *event,
		       uint64_t now_ms, lease_actions_t *actions)
{
	int result = current_result(lease, event, event->written.result);

	/* Also a write that succeeded, as it may have replaced a record that
	 * was given the same revision again. */
	if (event->era > lease->era) {
		restart_in_era(lease, actions, event->era);
		return;
	}
	if (lease->phase == LEASE_PHASE_RELEASING) {
		on_release_written(lease, result, now_ms, actions);
		return;
	}
	if (result == 0) {
		apply_own_write(lease, actions, event->written.version, now_ms);
		return;
	}
	if (lease->valid_until_ms && !lease_is_valid(lease, now_ms))
		end_validity(lease, actions);
	if (result == ERR_STORE_DOWN || result == ERR_STORE_BUDGET) {
		wait_until(lease, actions, retry_at_ms(lease, now_ms));
		return;
	}
	/*
	 * Also after a failed condition, which may be due to an earlier write
	 * of ours whose answer was lost.
	 */
	read_record(lease, actions, LEASE_PHASE_CHECKING);
}

static void on_timer(lease_t *lease, uint64_t now_ms, lease_actions_t *actions)
{
	if (lease->phase == LEASE_PHASE_RELEASING) {
		write_record(lease, actions, LEASE_PHASE_RELEASING, now_ms);
		return;
	}
	if (lease->valid_until_ms && !lease_is_valid(lease, now_ms))
		end_validity(lease, actions);
	switch (lease->phase) {
	case LEASE_PHASE_HELD:
	case LEASE_PHASE_RENEWING:
		if (lease->valid_until_ms)
			renew(lease, actions, now_ms);
		else
			read_record(lease, actions, LEASE_PHASE_READING);
		return;
	case LEASE_PHASE_CHECKING:
		read_record(lease, actions, LEASE_PHASE_CHECKING);
		return;
	default:
		read_record(lease, actions, LEASE_PHASE_READING);
		return;
	}
}

static void start_release(lease_t *lease, const char *successor,
			  uint64_t now_ms, lease_actions_t *actions)
{
	bool was_valid = lease_is_valid(lease, now_ms);

	/*
	 * Validity ends before the write, so that we no longer act under the
	 * lease when the next holder starts to.
	 */
	end_validity(lease, actions);
	if (!was_valid || !lease->have_record) {
		lease->call_id++;
		stop(lease, actions);
		return;
	}
	lease->written = lease->record;
	lease->written.holder[0] = '\0';
	memcpy(lease->written.note, lease->note, sizeof(lease->written.note));
	snprintf(lease->written.successor, sizeof(lease->written.successor),
		 "%s", successor ? successor : "");
	write_record(lease, actions, LEASE_PHASE_RELEASING, now_ms);
}

void lease_step(lease_t *lease, const lease_event_t *event, uint64_t now_ms,
		lease_actions_t *actions)
{
	actions->count = 0;
	if (lease->phase == LEASE_PHASE_STOPPED)
		return;
	if (event->kind == LEASE_EVENT_RELEASE) {
		if (lease->phase != LEASE_PHASE_RELEASING)
			start_release(lease, event->release.successor, now_ms,
				      actions);
		return;
	}
	if (event->kind == LEASE_EVENT_ERA) {
		if (event->era > lease->era)
			restart_in_era(lease, actions, event->era);
		return;
	}
	if (event->call_id != lease->call_id)
		return;
	switch (event->kind) {
	case LEASE_EVENT_READ:
		on_read(lease, event, now_ms, actions);
		return;
	case LEASE_EVENT_WRITTEN:
		on_written(lease, event, now_ms, actions);
		return;
	case LEASE_EVENT_TIMER:
		on_timer(lease, now_ms, actions);
		return;
	case LEASE_EVENT_RELEASE:
	case LEASE_EVENT_ERA:
		return;
	}
}
