#include "process/crash_snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "process/hash.h"

/** Letters of the kinds in the store. */
#define ROW_SUSPECT "s"
#define ROW_BLOCKED "b"

static void add_blocked(crash_snapshot_t *snapshot,
			const crash_evidence_t *evidence, uint64_t now_ms)
{
	for (size_t i = 0; i < evidence->blocked_count; i++)
		crash_evidence_describe_blocked(
			evidence, i, now_ms,
			&snapshot->news[snapshot->count++]);
}

static void add_record(crash_snapshot_t *snapshot, const crash_record_t *record,
		       uint64_t age_ms)
{
	for (uint32_t i = 0; i < record->suspect_count; i++)
		snapshot->news[snapshot->count++] = (crash_news_t){
			.kind = CRASH_NEWS_SUSPECT,
			.key = record->suspects[i].key,
			.crash = record->crash,
			.request = record->suspects[i].request,
			.age_ms = (uint32_t)age_ms,
		};
}

void crash_snapshot_take(crash_snapshot_t *snapshot,
			 const crash_evidence_t *evidence, uint64_t now_ms)
{
	memset(snapshot, 0, sizeof(*snapshot));
	add_blocked(snapshot, evidence, now_ms);
	for (size_t i = evidence->record_count; i-- > 0;) {
		const crash_record_t *record = &evidence->records[i];
		uint64_t age_ms =
			now_ms > record->time_ms ? now_ms - record->time_ms : 0;

		if (age_ms >= CRASH_SNAPSHOT_SETTLE_MS &&
		    age_ms < CRASH_EVIDENCE_TTL_MS &&
		    record->suspect_count <=
			    CRASH_SNAPSHOT_MAX - snapshot->count)
			add_record(snapshot, record, age_ms);
	}
}

static bool is_same(const crash_news_t *a, const crash_news_t *b)
{
	return a->kind == b->kind && a->key.id == b->key.id &&
	       a->key.depth == b->key.depth && a->crash == b->crash &&
	       a->request == b->request && a->probes == b->probes;
}

static bool has_news(const crash_snapshot_t *snapshot, const crash_news_t *news)
{
	for (size_t i = 0; i < snapshot->count; i++) {
		if (is_same(&snapshot->news[i], news))
			return true;
	}
	return false;
}

bool crash_snapshot_contains(const crash_snapshot_t *snapshot,
			     const crash_snapshot_t *part)
{
	for (size_t i = 0; i < part->count; i++) {
		if (!has_news(snapshot, &part->news[i]))
			return false;
	}
	return true;
}

/* Numbers of 64 bits are written as text: those of JSON have a sign. */
static json_t *news_to_json(const crash_news_t *news)
{
	char id[HASH_KEY_HEX_BYTES];
	char crash[HASH_KEY_HEX_BYTES];
	char request[HASH_KEY_HEX_BYTES];

	hash_key_to_hex(news->key.id, id);
	if (news->kind == CRASH_NEWS_BLOCKED)
		return json_pack("[s,s,I,I,I]", ROW_BLOCKED, id,
				 (json_int_t)news->key.depth,
				 (json_int_t)news->age_ms,
				 (json_int_t)news->probes);
	hash_key_to_hex(news->crash, crash);
	hash_key_to_hex(news->request, request);
	return json_pack("[s,s,I,I,s,s]", ROW_SUSPECT, id,
			 (json_int_t)news->key.depth, (json_int_t)news->age_ms,
			 crash, request);
}

json_t *crash_snapshot_to_json(const crash_snapshot_t *snapshot)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < snapshot->count; i++) {
		if (json_array_append_new(rows,
					  news_to_json(&snapshot->news[i]))) {
			json_decref(rows);
			return NULL;
		}
	}
	return json_pack("{s:o}", "keys", rows);
}

static bool read_key(const json_t *row, size_t index, uint64_t *key)
{
	const char *text = json_string_value(json_array_get(row, index));

	return text && !hash_key_from_hex(text, key);
}

static bool read_uint32(const json_t *row, size_t index, uint32_t *number)
{
	const json_t *value = json_array_get(row, index);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > UINT32_MAX)
		return false;
	*number = (uint32_t)json_integer_value(value);
	return true;
}

static bool read_row(const json_t *row, crash_news_t *news)
{
	const char *kind = json_string_value(json_array_get(row, 0));

	memset(news, 0, sizeof(*news));
	if (!kind || !read_key(row, 1, &news->key.id) || !news->key.id ||
	    !read_uint32(row, 2, &news->key.depth) ||
	    !read_uint32(row, 3, &news->age_ms))
		return false;
	if (!strcmp(kind, ROW_BLOCKED)) {
		news->kind = CRASH_NEWS_BLOCKED;
		return read_uint32(row, 4, &news->probes);
	}
	news->kind = CRASH_NEWS_SUSPECT;
	return !strcmp(kind, ROW_SUSPECT) && read_key(row, 4, &news->crash) &&
	       read_key(row, 5, &news->request);
}

void crash_snapshot_from_json(const json_t *value, crash_snapshot_t *snapshot)
{
	const json_t *rows = json_object_get(value, "keys");
	size_t i;
	json_t *row;

	snapshot->count = 0;
	json_array_foreach (rows, i, row) {
		if (snapshot->count < CRASH_SNAPSHOT_MAX &&
		    read_row(row, &snapshot->news[snapshot->count]))
			snapshot->count++;
	}
}

void crash_snapshot_put(crash_snapshot_slot_t *slot,
			const crash_snapshot_t *snapshot)
{
	crash_snapshot_t *copy = malloc(sizeof(*copy));

	if (!copy)
		return;
	*copy = *snapshot;
	free(atomic_exchange(&slot->newest, copy));
}

crash_snapshot_t *crash_snapshot_get(crash_snapshot_slot_t *slot)
{
	return atomic_exchange(&slot->newest, NULL);
}
