#include "process/crash_evidence.h"

#include <string.h>

/** Crashes that count against a key. */
typedef struct tally {
	uint32_t crashes; /**< Separate ones. */
	/** When all of the first CRASH_EVIDENCE_CRASHES_MIN were known. */
	uint64_t known_ms;
} tally_t;

void crash_evidence_init(crash_evidence_t *evidence)
{
	memset(evidence, 0, sizeof(*evidence));
	evidence->recheck_ms = UINT64_MAX;
}

static uint64_t add_saturating(uint64_t a, uint64_t b)
{
	return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

static uint64_t time_of_news(const crash_news_t *news, uint64_t now_ms)
{
	return news->age_ms < now_ms ? now_ms - news->age_ms : 0;
}

static bool is_part(const crash_key_t *key)
{
	return key->depth != CRASH_KEY_REQUEST;
}

/* ---- Cleared keys ---- */

static cleared_key_t *find_cleared(crash_evidence_t *evidence, uint64_t id)
{
	for (size_t i = 0; i < CRASH_EVIDENCE_CLEARED_MAX; i++) {
		if (evidence->cleared[i].id == id)
			return &evidence->cleared[i];
	}
	return NULL;
}

static cleared_key_t *get_cleared(crash_evidence_t *evidence, uint64_t id)
{
	cleared_key_t *cleared = find_cleared(evidence, id);

	if (!cleared) {
		cleared = &evidence->cleared[evidence->next_cleared];
		evidence->next_cleared = (evidence->next_cleared + 1) %
					 CRASH_EVIDENCE_CLEARED_MAX;
		*cleared = (cleared_key_t){ .id = id };
	}
	return cleared;
}

static void remember_cleared(crash_evidence_t *evidence, uint64_t id,
			     uint64_t cleared_ms)
{
	cleared_key_t *cleared = get_cleared(evidence, id);

	if (cleared->cleared_ms < cleared_ms)
		cleared->cleared_ms = cleared_ms;
}

static bool is_cleared_since(crash_evidence_t *evidence, uint64_t id,
			     uint64_t time_ms)
{
	const cleared_key_t *cleared = find_cleared(evidence, id);

	return cleared && cleared->cleared_ms >= time_ms;
}

/** Whether a clearing ends a block. */
static bool ends_block(uint64_t cleared_ms, uint64_t blocked_ms)
{
	return add_saturating(cleared_ms, CRASH_EVIDENCE_JITTER_MS) >
	       blocked_ms;
}

/* ---- Refuted crashes ---- */

static refuted_crash_t *find_refuted(crash_evidence_t *evidence, uint64_t crash)
{
	for (size_t i = 0; i < CRASH_EVIDENCE_REFUTED_MAX; i++) {
		refuted_crash_t *refuted = &evidence->refuted[i];

		if (refuted->alive_ms && refuted->crash == crash)
			return refuted;
	}
	return NULL;
}

static void remember_refuted(crash_evidence_t *evidence, uint64_t crash,
			     uint64_t alive_ms)
{
	refuted_crash_t *refuted = find_refuted(evidence, crash);

	if (!refuted) {
		refuted = &evidence->refuted[evidence->next_refuted];
		evidence->next_refuted = (evidence->next_refuted + 1) %
					 CRASH_EVIDENCE_REFUTED_MAX;
		*refuted = (refuted_crash_t){ .crash = crash };
	}
	if (refuted->alive_ms < alive_ms)
		refuted->alive_ms = alive_ms;
}

static bool is_refuted(crash_evidence_t *evidence, uint64_t crash,
		       uint64_t time_ms)
{
	const refuted_crash_t *refuted = find_refuted(evidence, crash);

	return refuted && refuted->alive_ms >= time_ms;
}

/* ---- Crash records ---- */

static void remove_record(crash_evidence_t *evidence, size_t index)
{
	crash_record_t *record = &evidence->records[index];

	evidence->record_count--;
	memmove(record, record + 1,
		(evidence->record_count - index) * sizeof(*record));
}

static void expire_records(crash_evidence_t *evidence, uint64_t now_ms)
{
	while (evidence->record_count &&
	       add_saturating(evidence->records[0].time_ms,
			      CRASH_EVIDENCE_TTL_MS) <= now_ms)
		remove_record(evidence, 0);
}

/** @return the index, or record_count */
static size_t find_record(const crash_evidence_t *evidence, uint64_t crash)
{
	size_t index = 0;

	while (index < evidence->record_count &&
	       evidence->records[index].crash != crash)
		index++;
	return index;
}

/** Moves a record to an earlier time, behind those of the same time. */
static size_t move_record(crash_evidence_t *evidence, size_t index,
			  uint64_t time_ms)
{
	crash_record_t moved = evidence->records[index];
	size_t target = index;

	while (target > 0 && evidence->records[target - 1].time_ms > time_ms)
		target--;
	memmove(&evidence->records[target + 1], &evidence->records[target],
		(index - target) * sizeof(moved));
	moved.time_ms = time_ms;
	evidence->records[target] = moved;
	return target;
}

/** @return the record, or NULL if it is older than a full table */
static crash_record_t *get_record(crash_evidence_t *evidence, uint64_t crash,
				  uint64_t time_ms, uint64_t now_ms)
{
	size_t index = find_record(evidence, crash);

	if (index == evidence->record_count) {
		if (evidence->record_count == CRASH_EVIDENCE_CRASHES_MAX) {
			if (time_ms < evidence->records[0].time_ms)
				return NULL;
			remove_record(evidence, 0);
			index--;
		}
		evidence->record_count++;
		evidence->records[index].crash = crash;
		evidence->records[index].learned_ms = now_ms;
		evidence->records[index].suspect_count = 0;
		evidence->records[index].time_ms = UINT64_MAX;
	}
	if (time_ms < evidence->records[index].time_ms)
		index = move_record(evidence, index, time_ms);
	return &evidence->records[index];
}

static bool has_suspect(const crash_record_t *record, uint64_t id)
{
	for (uint32_t i = 0; i < record->suspect_count; i++) {
		if (record->suspects[i].key.id == id)
			return true;
	}
	return false;
}

static bool has_suspect_of(const crash_record_t *record, uint64_t id,
			   uint64_t request)
{
	for (uint32_t i = 0; i < record->suspect_count; i++) {
		if (record->suspects[i].key.id == id &&
		    record->suspects[i].request == request)
			return true;
	}
	return false;
}

static bool has_request(const crash_record_t *record, uint64_t request)
{
	for (uint32_t i = 0; i < record->suspect_count; i++) {
		if (record->suspects[i].request == request)
			return true;
	}
	return false;
}

/** @return whether it stood there */
static bool remove_suspect(crash_record_t *record, uint64_t id)
{
	uint32_t kept = 0;
	bool found;

	for (uint32_t i = 0; i < record->suspect_count; i++) {
		if (record->suspects[i].key.id != id)
			record->suspects[kept++] = record->suspects[i];
	}
	found = kept < record->suspect_count;
	record->suspect_count = kept;
	return found;
}

/* ---- Blocked keys ---- */

const blocked_key_t *crash_evidence_blocked(const crash_evidence_t *evidence,
					    uint64_t key_id)
{
	for (size_t i = 0; i < evidence->blocked_count; i++) {
		if (evidence->blocked[i].key.id == key_id)
			return &evidence->blocked[i];
	}
	return NULL;
}

static blocked_key_t *find_blocked(crash_evidence_t *evidence, uint64_t id)
{
	/* The cast is safe: the table is not constant here. */
	return (blocked_key_t *)crash_evidence_blocked(evidence, id);
}

static void remove_blocked(crash_evidence_t *evidence, blocked_key_t *blocked)
{
	*blocked = evidence->blocked[--evidence->blocked_count];
}

static blocked_key_t *oldest_blocked(crash_evidence_t *evidence)
{
	blocked_key_t *oldest = &evidence->blocked[0];

	for (size_t i = 1; i < evidence->blocked_count; i++) {
		if (evidence->blocked[i].blocked_ms < oldest->blocked_ms)
			oldest = &evidence->blocked[i];
	}
	return oldest;
}

static void add_blocked(crash_evidence_t *evidence, const crash_key_t *key,
			uint64_t blocked_ms, uint32_t probes)
{
	if (evidence->blocked_count == CRASH_EVIDENCE_BLOCKED_MAX)
		remove_blocked(evidence, oldest_blocked(evidence));
	evidence->blocked[evidence->blocked_count++] = (blocked_key_t){
		.key = *key,
		.blocked_ms = blocked_ms,
		.probes = probes,
	};
}

bool crash_evidence_has(const crash_evidence_t *evidence, uint64_t key_id)
{
	for (size_t i = 0; i < evidence->record_count; i++) {
		if (has_suspect(&evidence->records[i], key_id))
			return true;
	}
	return crash_evidence_blocked(evidence, key_id) != NULL;
}

/* ---- Evaluation ---- */

/** Whether another blocked part, which stands at this depth or further down,
 * is a suspect of the crash. */
static bool is_explained(const crash_evidence_t *evidence,
			 const crash_record_t *record, const crash_key_t *key,
			 uint32_t depth_min)
{
	if (!evidence->blocked_count)
		return false;
	for (uint32_t i = 0; i < record->suspect_count; i++) {
		const crash_key_t *other = &record->suspects[i].key;

		if (is_part(other) && other->depth >= depth_min &&
		    other->id != key->id &&
		    crash_evidence_blocked(evidence, other->id))
			return true;
	}
	return false;
}

/** Whether the crash counts against the key. */
static bool counts(const crash_evidence_t *evidence,
		   const crash_record_t *record, const crash_key_t *key)
{
	return has_suspect(record, key->id) &&
	       (!is_part(key) ||
		!is_explained(evidence, record, key, key->depth));
}

static tally_t tally_crashes(const crash_evidence_t *evidence,
			     const crash_key_t *key)
{
	tally_t tally = { 0 };
	uint64_t group_end_ms = 0;

	for (size_t i = 0; i < evidence->record_count; i++) {
		const crash_record_t *record = &evidence->records[i];

		if (!counts(evidence, record, key) ||
		    (tally.crashes && record->time_ms < group_end_ms))
			continue;
		group_end_ms = add_saturating(record->time_ms,
					      CRASH_EVIDENCE_GROUP_MS);
		tally.crashes++;
		if (tally.crashes <= CRASH_EVIDENCE_CRASHES_MIN &&
		    tally.known_ms < record->learned_ms)
			tally.known_ms = record->learned_ms;
	}
	return tally;
}

/** Whether a request ran in all crashes that count against a key. It has the
 * key; news of that may be missing for some of them. */
static bool is_in_all(const crash_evidence_t *evidence, const crash_key_t *key,
		      uint64_t request)
{
	for (size_t i = 0; i < evidence->record_count; i++) {
		const crash_record_t *record = &evidence->records[i];

		if (counts(evidence, record, key) &&
		    !has_request(record, request))
			return false;
	}
	return true;
}

/** Whether one request may have caused all crashes that count against a key. */
static bool is_one_request(const crash_evidence_t *evidence,
			   const crash_key_t *key)
{
	for (size_t i = 0; i < evidence->record_count; i++) {
		const crash_record_t *record = &evidence->records[i];

		if (!counts(evidence, record, key))
			continue;
		for (uint32_t j = 0; j < record->suspect_count; j++) {
			if (record->suspects[j].key.id == key->id &&
			    is_in_all(evidence, key,
				      record->suspects[j].request))
				return true;
		}
	}
	return false;
}

/** Whether a part is to be blocked, now or after a wait. */
static bool qualifies(const crash_evidence_t *evidence, const crash_key_t *key)
{
	return tally_crashes(evidence, key).crashes >=
		       CRASH_EVIDENCE_CRASHES_MIN &&
	       !is_one_request(evidence, key);
}

/** Whether a deeper part is to be blocked first. */
static bool has_deeper_qualified(const crash_evidence_t *evidence,
				 const crash_record_t *record,
				 const crash_key_t *key)
{
	for (uint32_t i = 0; i < record->suspect_count; i++) {
		const crash_key_t *other = &record->suspects[i].key;

		if (is_part(other) && other->depth > key->depth &&
		    qualifies(evidence, other))
			return true;
	}
	return false;
}

/** Time to wait for missing news by which a deeper part may qualify. */
static uint64_t wait_in_record_ms(const crash_evidence_t *evidence,
				  const crash_record_t *record,
				  const crash_key_t *key)
{
	uint64_t wait_ms = 0;

	for (uint32_t i = 0; i < record->suspect_count; i++) {
		const crash_suspect_t *other = &record->suspects[i];

		if (!is_part(&other->key) || other->key.depth <= key->depth)
			continue;
		wait_ms = CRASH_EVIDENCE_NEWS_DELAY_MS;
		if (has_suspect_of(record, key->id, other->request) &&
		    tally_crashes(evidence, &other->key).crashes >=
			    CRASH_EVIDENCE_CRASHES_MIN - 1)
			return CRASH_EVIDENCE_SETTLE_MS;
	}
	return wait_ms;
}

/** Time that a part waits for a deeper one, or UINT64_MAX while it is not its
 * turn. */
static uint64_t wait_for_deeper_ms(const crash_evidence_t *evidence,
				   const crash_key_t *key)
{
	uint64_t wait_ms = 0;

	for (size_t i = 0; i < evidence->record_count; i++) {
		const crash_record_t *record = &evidence->records[i];
		uint64_t record_wait_ms;

		if (!counts(evidence, record, key))
			continue;
		if (has_deeper_qualified(evidence, record, key))
			return UINT64_MAX;
		record_wait_ms = wait_in_record_ms(evidence, record, key);
		if (wait_ms < record_wait_ms)
			wait_ms = record_wait_ms;
	}
	return wait_ms;
}

/** Time from which the key is to be blocked, or UINT64_MAX. */
static uint64_t block_due_ms(const crash_evidence_t *evidence,
			     const crash_key_t *key, const tally_t *tally)
{
	uint64_t wait_ms;

	if (tally->crashes < CRASH_EVIDENCE_CRASHES_MIN)
		return UINT64_MAX;
	if (!is_part(key))
		return 0;
	if (is_one_request(evidence, key))
		return UINT64_MAX;
	wait_ms = wait_for_deeper_ms(evidence, key);
	return wait_ms ? add_saturating(tally->known_ms, wait_ms) : 0;
}

/** Order in which keys are blocked; the same at all instances. */
static bool is_before(const crash_key_t *a, uint32_t a_crashes,
		      const crash_key_t *b, uint32_t b_crashes)
{
	if (a->depth != b->depth)
		return a->depth > b->depth;
	if (a_crashes != b_crashes)
		return a_crashes > b_crashes;
	return a->id < b->id;
}

/** Whether the key is to be blocked now; if later, this is noted. */
static bool must_block(crash_evidence_t *evidence, const crash_key_t *key,
		       const tally_t *tally, uint64_t now_ms)
{
	const uint64_t due_ms = block_due_ms(evidence, key, tally);

	if (due_ms <= now_ms)
		return true;
	if (evidence->recheck_ms > due_ms)
		evidence->recheck_ms = due_ms;
	return false;
}

/** Finds the next key to block; NULL if there is none. */
static const crash_key_t *next_to_block(crash_evidence_t *evidence,
					uint64_t now_ms)
{
	const crash_key_t *best = NULL;
	uint32_t best_crashes = 0;

	evidence->recheck_ms = UINT64_MAX;
	for (size_t i = 0; i < evidence->record_count; i++) {
		const crash_record_t *record = &evidence->records[i];

		for (uint32_t j = 0; j < record->suspect_count; j++) {
			const crash_key_t *key = &record->suspects[j].key;
			tally_t tally;

			if (crash_evidence_blocked(evidence, key->id) ||
			    (best && key->depth < best->depth))
				continue;
			tally = tally_crashes(evidence, key);
			if (best &&
			    !is_before(key, tally.crashes, best, best_crashes))
				continue;
			if (!must_block(evidence, key, &tally, now_ms))
				continue;
			best = key;
			best_crashes = tally.crashes;
		}
	}
	return best;
}

/** Whether blocked parts further down explain what is known against a part. */
static bool is_superseded(const crash_evidence_t *evidence,
			  const crash_key_t *key)
{
	if (!is_part(key) ||
	    tally_crashes(evidence, key).crashes >= CRASH_EVIDENCE_CRASHES_MIN)
		return false;
	for (size_t i = 0; i < evidence->record_count; i++) {
		const crash_record_t *record = &evidence->records[i];

		if (has_suspect(record, key->id) &&
		    is_explained(evidence, record, key, key->depth + 1))
			return true;
	}
	return false;
}

/** Removes blocks that were made before news of a deeper part arrived. */
static void remove_superseded(crash_evidence_t *evidence)
{
	for (size_t i = evidence->blocked_count; i-- > 0;) {
		if (is_superseded(evidence, &evidence->blocked[i].key))
			remove_blocked(evidence, &evidence->blocked[i]);
	}
}

static void evaluate(crash_evidence_t *evidence, uint64_t now_ms)
{
	/* A block that a full table drops could be made again at once. */
	for (int i = 0; i < CRASH_EVIDENCE_BLOCKED_MAX; i++) {
		const crash_key_t *key = next_to_block(evidence, now_ms);

		if (!key)
			return;
		add_blocked(evidence, key, now_ms, 0);
		remove_superseded(evidence);
	}
}

/** Evaluates after a key has become a suspect of one more crash; the others
 * cannot have reached the threshold by that. */
static void evaluate_key(crash_evidence_t *evidence, const crash_key_t *key,
			 uint64_t now_ms)
{
	tally_t tally;

	if (crash_evidence_blocked(evidence, key->id))
		return;
	tally = tally_crashes(evidence, key);
	if (must_block(evidence, key, &tally, now_ms))
		evaluate(evidence, now_ms);
}

void crash_evidence_advance(crash_evidence_t *evidence, uint64_t now_ms)
{
	expire_records(evidence, now_ms);
	if (now_ms >= evidence->recheck_ms)
		evaluate(evidence, now_ms);
}

/* ---- News ---- */

static bool apply_suspect(crash_evidence_t *evidence, const crash_news_t *news,
			  uint64_t now_ms)
{
	const size_t index = find_record(evidence, news->crash);
	uint64_t time_ms = time_of_news(news, now_ms);
	crash_record_t *record;

	if (index < evidence->record_count &&
	    evidence->records[index].time_ms < time_ms)
		time_ms = evidence->records[index].time_ms;
	if (news->age_ms >= CRASH_EVIDENCE_TTL_MS ||
	    is_cleared_since(evidence, news->key.id, time_ms) ||
	    is_refuted(evidence, news->crash, time_ms))
		return false;
	record = get_record(evidence, news->crash, time_ms, now_ms);
	if (!record || record->suspect_count == CRASH_EVIDENCE_SUSPECTS_MAX ||
	    has_suspect_of(record, news->key.id, news->request))
		return false;
	record->suspects[record->suspect_count++] = (crash_suspect_t){
		.key = news->key,
		.request = news->request,
	};
	evaluate_key(evidence, &news->key, now_ms);
	return true;
}

static bool clear_suspects(crash_evidence_t *evidence, uint64_t id,
			   uint64_t cleared_ms)
{
	bool found = false;

	for (size_t i = evidence->record_count; i-- > 0;) {
		crash_record_t *record = &evidence->records[i];

		if (record->time_ms > cleared_ms || !remove_suspect(record, id))
			continue;
		found = true;
		if (!record->suspect_count)
			remove_record(evidence, i);
	}
	return found;
}

static bool apply_cleared(crash_evidence_t *evidence, const crash_news_t *news,
			  uint64_t now_ms)
{
	const uint64_t cleared_ms = time_of_news(news, now_ms);
	blocked_key_t *blocked = find_blocked(evidence, news->key.id);
	bool found;

	remember_cleared(evidence, news->key.id, cleared_ms);
	found = clear_suspects(evidence, news->key.id, cleared_ms);
	if (!blocked || !ends_block(cleared_ms, blocked->blocked_ms))
		return found;
	remove_blocked(evidence, blocked);
	/* The crashes that it explained count against other parts again. */
	evaluate(evidence, now_ms);
	return true;
}

static bool apply_blocked(crash_evidence_t *evidence, const crash_news_t *news,
			  uint64_t now_ms)
{
	const uint64_t blocked_ms = time_of_news(news, now_ms);
	const cleared_key_t *cleared = find_cleared(evidence, news->key.id);
	blocked_key_t *blocked = find_blocked(evidence, news->key.id);

	if (cleared && (ends_block(cleared->cleared_ms, blocked_ms) ||
			ends_block(cleared->unblocked_ms, blocked_ms)))
		return false;
	if (is_superseded(evidence, &news->key))
		return false;
	if (!blocked) {
		add_blocked(evidence, &news->key, blocked_ms, news->probes);
		remove_superseded(evidence);
		return true;
	}
	if (blocked->blocked_ms >
	    add_saturating(blocked_ms, CRASH_EVIDENCE_JITTER_MS))
		blocked->blocked_ms = blocked_ms;
	if (blocked->probes >= news->probes)
		return false;
	blocked->probes = news->probes;
	return true;
}

/** Whether a block began after this crash and has too few others left. */
static bool has_lost_ground(const crash_evidence_t *evidence,
			    const blocked_key_t *blocked,
			    const crash_record_t *refuted)
{
	return has_suspect(refuted, blocked->key.id) &&
	       refuted->time_ms <= add_saturating(blocked->blocked_ms,
						  CRASH_EVIDENCE_JITTER_MS) &&
	       tally_crashes(evidence, &blocked->key).crashes <
		       CRASH_EVIDENCE_CRASHES_MIN;
}

static void remove_groundless(crash_evidence_t *evidence,
			      const crash_record_t *refuted, uint64_t now_ms)
{
	for (size_t i = evidence->blocked_count; i-- > 0;) {
		blocked_key_t *blocked = &evidence->blocked[i];

		if (!has_lost_ground(evidence, blocked, refuted))
			continue;
		get_cleared(evidence, blocked->key.id)->unblocked_ms = now_ms;
		remove_blocked(evidence, blocked);
	}
}

static bool apply_refuted(crash_evidence_t *evidence, const crash_news_t *news,
			  uint64_t now_ms)
{
	const uint64_t alive_ms = time_of_news(news, now_ms);
	const size_t index = find_record(evidence, news->crash);
	crash_record_t refuted;

	remember_refuted(evidence, news->crash, alive_ms);
	if (index == evidence->record_count ||
	    evidence->records[index].time_ms > alive_ms)
		return false;
	refuted = evidence->records[index];
	remove_record(evidence, index);
	remove_groundless(evidence, &refuted, now_ms);
	/* The crashes that a block explained count against other parts again.
	 */
	evaluate(evidence, now_ms);
	return true;
}

bool crash_evidence_is_outlived(const crash_evidence_t *evidence,
				uint64_t crash, uint64_t connected_ms,
				uint64_t sent_ms)
{
	const size_t index = find_record(evidence, crash);
	uint64_t time_ms;

	if (index == evidence->record_count)
		return false;
	time_ms = evidence->records[index].time_ms;
	return connected_ms &&
	       add_saturating(connected_ms, CRASH_EVIDENCE_JITTER_MS) <
		       time_ms &&
	       sent_ms > add_saturating(time_ms, CRASH_EVIDENCE_JITTER_MS);
}

bool crash_evidence_apply(crash_evidence_t *evidence, const crash_news_t *news,
			  uint64_t now_ms)
{
	crash_evidence_advance(evidence, now_ms);
	if (news->kind == CRASH_NEWS_REFUTED)
		return apply_refuted(evidence, news, now_ms);
	if (!news->key.id)
		return false;
	switch (news->kind) {
	case CRASH_NEWS_SUSPECT:
		return apply_suspect(evidence, news, now_ms);
	case CRASH_NEWS_CLEARED:
		return apply_cleared(evidence, news, now_ms);
	case CRASH_NEWS_BLOCKED:
		return apply_blocked(evidence, news, now_ms);
	case CRASH_NEWS_REFUTED:
		break;
	}
	return false;
}

/* ---- Decisions ---- */

static uint64_t probe_due_ms(const blocked_key_t *blocked)
{
	uint64_t wait_ms = CRASH_EVIDENCE_PROBE_MS;

	for (uint32_t i = 0; i < blocked->probes; i++) {
		if (wait_ms > UINT64_MAX / CRASH_EVIDENCE_PROBE_FACTOR)
			return UINT64_MAX;
		wait_ms *= CRASH_EVIDENCE_PROBE_FACTOR;
	}
	return add_saturating(blocked->blocked_ms, wait_ms);
}

static bool is_owner(const instance_place_t *owner, uint64_t id)
{
	return owner->instances && id % owner->instances == owner->rank;
}

/** Time until a run with the key may be a probe here, or should be retried
 * elsewhere; 0 if it may be one now. */
static uint64_t probe_wait_ms(const blocked_key_t *blocked,
			      const instance_place_t *owner, uint64_t now_ms)
{
	const uint64_t due_ms = probe_due_ms(blocked);

	if (due_ms > now_ms)
		return due_ms - now_ms;
	return is_owner(owner, blocked->key.id) ? 0
						: CRASH_EVIDENCE_RETRY_MIN_MS;
}

/** Counts probes that were due without a run too, so that the next one is not
 * due at once. */
static void count_probe(blocked_key_t *blocked, uint64_t now_ms)
{
	do {
		if (blocked->probes == UINT32_MAX)
			return;
		blocked->probes++;
	} while (probe_due_ms(blocked) <
		 add_saturating(now_ms, CRASH_EVIDENCE_PROBE_MS));
}

static void count_probes(crash_evidence_t *evidence, const crash_key_t *keys,
			 size_t count, uint64_t now_ms)
{
	for (size_t i = 0; i < count; i++) {
		blocked_key_t *blocked = find_blocked(evidence, keys[i].id);

		if (blocked)
			count_probe(blocked, now_ms);
	}
}

crash_verdict_t crash_evidence_decide(crash_evidence_t *evidence,
				      const crash_key_t *keys, size_t count,
				      const instance_place_t *owner,
				      uint64_t now_ms, uint64_t *retry_after_ms)
{
	bool is_blocked = false;
	uint64_t wait_ms = 0;

	crash_evidence_advance(evidence, now_ms);
	for (size_t i = 0; i < count; i++) {
		const blocked_key_t *blocked =
			crash_evidence_blocked(evidence, keys[i].id);
		uint64_t key_wait_ms;

		if (!blocked)
			continue;
		is_blocked = true;
		key_wait_ms = probe_wait_ms(blocked, owner, now_ms);
		if (wait_ms < key_wait_ms)
			wait_ms = key_wait_ms;
	}
	if (!is_blocked)
		return CRASH_RUN;
	if (!wait_ms) {
		count_probes(evidence, keys, count, now_ms);
		return CRASH_PROBE;
	}
	if (retry_after_ms)
		*retry_after_ms = wait_ms;
	return CRASH_REFUSE;
}

void crash_evidence_describe_blocked(const crash_evidence_t *evidence,
				     size_t index, uint64_t now_ms,
				     crash_news_t *news)
{
	const blocked_key_t *blocked = &evidence->blocked[index];
	const uint64_t age_ms =
		now_ms > blocked->blocked_ms ? now_ms - blocked->blocked_ms : 0;

	*news = (crash_news_t){
		.kind = CRASH_NEWS_BLOCKED,
		.key = blocked->key,
		.probes = blocked->probes,
		.age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX,
	};
}
