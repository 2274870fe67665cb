#include "process/quarantine.h"

#include <string.h>

void quarantine_init(quarantine_t *quarantine, uint64_t block_ms)
{
	memset(quarantine, 0, sizeof(*quarantine));
	quarantine->block_ms = block_ms;
}

static bool is_blocked(const quarantine_entry_t *entry, uint64_t now_ms)
{
	return entry->blocked_until_ms > now_ms;
}

/** Whether an entry may be discarded. */
static bool is_stale(const quarantine_entry_t *entry, uint64_t now_ms)
{
	return !is_blocked(entry, now_ms) &&
	       now_ms - entry->updated_ms >= QUARANTINE_SUSPECT_TTL_MS;
}

static const quarantine_entry_t *find_entry(const quarantine_t *quarantine,
					    uint64_t fingerprint)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		if (quarantine->entries[i].fingerprint == fingerprint)
			return &quarantine->entries[i];
	}
	return NULL;
}

/** Priority for keeping an entry in a full table: the lowest is replaced. */
static uint64_t retention_rank(const quarantine_entry_t *entry, uint64_t now_ms)
{
	if (is_stale(entry, now_ms))
		return 0;
	return entry->updated_ms + 1 +
	       (is_blocked(entry, now_ms) ? UINT64_MAX / 2 : 0);
}

static quarantine_entry_t *allocate_entry(quarantine_t *quarantine,
					  uint64_t now_ms)
{
	quarantine_entry_t *slot;

	if (quarantine->count < QUARANTINE_ENTRIES_MAX)
		return &quarantine->entries[quarantine->count++];
	slot = &quarantine->entries[0];
	for (size_t i = 1; i < QUARANTINE_ENTRIES_MAX; i++) {
		if (retention_rank(&quarantine->entries[i], now_ms) <
		    retention_rank(slot, now_ms))
			slot = &quarantine->entries[i];
	}
	return slot;
}

static quarantine_entry_t *get_entry(quarantine_t *quarantine,
				     uint64_t fingerprint, uint64_t now_ms)
{
	/* The cast is safe: the table is not constant here. */
	quarantine_entry_t *entry =
		(quarantine_entry_t *)find_entry(quarantine, fingerprint);

	if (entry && !is_stale(entry, now_ms))
		return entry;
	if (!entry)
		entry = allocate_entry(quarantine, now_ms);
	memset(entry, 0, sizeof(*entry));
	entry->fingerprint = fingerprint;
	entry->updated_ms = now_ms;
	return entry;
}

quarantine_status_t quarantine_check(const quarantine_t *quarantine,
				     uint64_t fingerprint, uint64_t now_ms,
				     uint64_t *wait_ms)
{
	const quarantine_entry_t *entry = find_entry(quarantine, fingerprint);

	if (!entry || is_stale(entry, now_ms))
		return QUARANTINE_FREE;
	if (is_blocked(entry, now_ms)) {
		if (wait_ms)
			*wait_ms = entry->blocked_until_ms - now_ms;
		return QUARANTINE_BLOCKED;
	}
	if (!entry->crash_count)
		return QUARANTINE_FREE;
	return QUARANTINE_SUSPECT;
}

static bool knows_crash(const quarantine_entry_t *entry, uint64_t crash)
{
	if (entry->cleared_crash == crash)
		return true;
	for (uint32_t i = 0; i < entry->crash_count; i++) {
		if (entry->crashes[i] == crash)
			return true;
	}
	return false;
}

bool quarantine_record_crash(quarantine_t *quarantine, uint64_t fingerprint,
			     uint64_t crash, uint64_t now_ms)
{
	quarantine_entry_t *entry = get_entry(quarantine, fingerprint, now_ms);

	if (knows_crash(entry, crash) ||
	    entry->crash_count == QUARANTINE_CRASHES_MAX)
		return false;
	if (!entry->crash_count)
		entry->first_crash_ms = now_ms;
	entry->crashes[entry->crash_count++] = crash;
	entry->updated_ms = now_ms;
	if (entry->crash_count == QUARANTINE_CRASHES_MAX)
		entry->blocked_until_ms = now_ms + quarantine->block_ms;
	return true;
}

bool quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint,
		      uint64_t now_ms)
{
	quarantine_entry_t *entry = get_entry(quarantine, fingerprint, now_ms);

	if (!entry->crash_count || is_blocked(entry, now_ms))
		return false;
	entry->cleared_crash = entry->crashes[0];
	entry->crash_count = 0;
	entry->updated_ms = now_ms;
	return true;
}

static quarantine_run_t *find_run(quarantine_entry_t *entry, uint64_t run_id)
{
	for (size_t i = 0; i < QUARANTINE_RUNS_MAX; i++) {
		if (entry->runs[i].run_id == run_id)
			return &entry->runs[i];
	}
	return NULL;
}

static void expire_runs(quarantine_entry_t *entry, uint64_t now_ms)
{
	for (size_t i = 0; i < QUARANTINE_RUNS_MAX; i++) {
		if (now_ms >= entry->runs[i].deadline_ms)
			entry->runs[i].run_id = 0;
	}
}

static bool has_other_run(const quarantine_entry_t *entry, uint64_t run_id)
{
	for (size_t i = 0; i < QUARANTINE_RUNS_MAX; i++) {
		if (entry->runs[i].run_id && entry->runs[i].run_id != run_id)
			return true;
	}
	return false;
}

static quarantine_decision_t make_decision(quarantine_decision_kind_t kind,
					   uint64_t wait_ms)
{
	return (quarantine_decision_t){ .kind = kind, .wait_ms = wait_ms };
}

static void add_run(quarantine_entry_t *entry, uint64_t run_id,
		    uint64_t deadline_ms)
{
	quarantine_run_t *slot = find_run(entry, run_id);

	if (!slot)
		slot = find_run(entry, 0);
	if (!slot)
		return;
	slot->run_id = run_id;
	slot->deadline_ms = deadline_ms;
}

quarantine_decision_t quarantine_claim(quarantine_t *quarantine,
				       uint64_t fingerprint, uint64_t run_id,
				       uint64_t run_ms, uint64_t now_ms)
{
	quarantine_entry_t *entry;
	uint64_t wait_ms = 0;
	uint64_t settled_ms;

	switch (quarantine_check(quarantine, fingerprint, now_ms, &wait_ms)) {
	case QUARANTINE_FREE:
		return make_decision(QUARANTINE_GRANTED, 0);
	case QUARANTINE_BLOCKED:
		return make_decision(QUARANTINE_REFUSED, wait_ms);
	case QUARANTINE_SUSPECT:
		break;
	}
	entry = get_entry(quarantine, fingerprint, now_ms);
	settled_ms = entry->first_crash_ms + QUARANTINE_SETTLE_MS;
	if (now_ms < settled_ms)
		return make_decision(QUARANTINE_WAIT, settled_ms - now_ms);
	expire_runs(entry, now_ms);
	if (has_other_run(entry, run_id))
		return make_decision(QUARANTINE_WAIT, QUARANTINE_RETRY_MS);
	add_run(entry, run_id, now_ms + run_ms);
	return make_decision(QUARANTINE_GRANTED, 0);
}

void quarantine_record_run(quarantine_t *quarantine, uint64_t fingerprint,
			   uint64_t run_id, uint64_t run_ms, uint64_t now_ms)
{
	quarantine_entry_t *entry = get_entry(quarantine, fingerprint, now_ms);

	expire_runs(entry, now_ms);
	add_run(entry, run_id, now_ms + run_ms);
}

void quarantine_end_run(quarantine_t *quarantine, uint64_t fingerprint,
			uint64_t run_id)
{
	quarantine_entry_t *entry =
		(quarantine_entry_t *)find_entry(quarantine, fingerprint);
	quarantine_run_t *slot = entry ? find_run(entry, run_id) : NULL;

	if (slot)
		slot->run_id = 0;
}
