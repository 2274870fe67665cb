#include "process/audit.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** Attempts per flush on write conflicts and lost answers. */
	ATTEMPTS_MAX = 8,
	/** Largest shard value; JSON escapes can make entries larger than
	 * their texts. */
	SHARD_MAX_BYTES = 900000,
};

struct audit {
	store_client_t *client;
	char key[32]; /**< Object key of the shard this instance writes to. */
	char id_prefix[STORE_NAME_MAX_BYTES + HASH_KEY_HEX_BYTES + 2];
	pthread_mutex_t flush_lock;
	pthread_mutex_t lock; /**< Protects the members below. */
	uint64_t sequence;
	json_t *queue;
	json_t *batch; /**< Taken from the queue, not known to be stored. */
};

static void shard_key(uint64_t shard, char *key, size_t size)
{
	snprintf(key, size, "audit/%" PRIu64, shard);
}

int audit_open(store_client_t *client, const char *instance, uint64_t seed,
	       audit_t **audit)
{
	audit_t *new_audit = calloc(1, sizeof(*new_audit));
	char seed_hex[HASH_KEY_HEX_BYTES];

	if (!new_audit)
		return ERR_NO_MEMORY;
	hash_key_to_hex(seed, seed_hex);
	new_audit->client = client;
	new_audit->queue = json_array();
	new_audit->batch = json_array();
	pthread_mutex_init(&new_audit->flush_lock, NULL);
	pthread_mutex_init(&new_audit->lock, NULL);
	snprintf(new_audit->id_prefix, sizeof(new_audit->id_prefix), "%.*s-%s",
		 STORE_NAME_MAX_BYTES - 1, instance, seed_hex);
	shard_key(hash_string(instance) % AUDIT_SHARDS, new_audit->key,
		  sizeof(new_audit->key));
	if (new_audit->queue && new_audit->batch) {
		*audit = new_audit;
		return 0;
	}
	audit_close(new_audit);
	return ERR_NO_MEMORY;
}

void audit_close(audit_t *audit)
{
	if (!audit)
		return;
	json_decref(audit->queue);
	json_decref(audit->batch);
	pthread_mutex_destroy(&audit->flush_lock);
	pthread_mutex_destroy(&audit->lock);
	free(audit);
}

/** Truncates a text to the limit without splitting a UTF-8 sequence. */
static json_t *truncated_text(const char *text)
{
	size_t len = text ? strnlen(text, AUDIT_TEXT_MAX_BYTES) : 0;

	if (len == AUDIT_TEXT_MAX_BYTES) {
		len--;
		while (len && ((unsigned char)text[len] & 0xc0) == 0x80)
			len--;
	}
	return json_stringn(text ? text : "", len);
}

static json_t *make_entry(const audit_entry_t *entry, const char *id)
{
	return json_pack("{s:s, s:I, s:o*, s:o*, s:o*, s:o*, s:o*, s:o*}", "id",
			 id, "at_ms", (json_int_t)entry->at_unix_ms, "who",
			 truncated_text(entry->who), "what",
			 truncated_text(entry->what), "which",
			 truncated_text(entry->which), "before",
			 truncated_text(entry->before), "after",
			 truncated_text(entry->after), "outcome",
			 truncated_text(entry->outcome));
}

void audit_add(audit_t *audit, const audit_entry_t *entry)
{
	SCOPED_LOCK(lock, &audit->lock);
	char id[sizeof(audit->id_prefix) + 24];

	snprintf(id, sizeof(id), "%s-%" PRIu64, audit->id_prefix,
		 ++audit->sequence);
	json_array_append_new(audit->queue, make_entry(entry, id));
	while (json_array_size(audit->queue) > AUDIT_QUEUE_MAX) {
		json_array_remove(audit->queue, 0);
		metrics_add(METRIC_AUDIT_DROPPED, 1);
		/* Log once per AUDIT_QUEUE_MAX dropped entries. */
		if (metrics_get(METRIC_AUDIT_DROPPED) % AUDIT_QUEUE_MAX == 1)
			event_log(EVENT_AUDIT_DROPPED, NULL);
	}
}

size_t audit_pending(audit_t *audit)
{
	SCOPED_LOCK(lock, &audit->lock);

	return json_array_size(audit->queue) + json_array_size(audit->batch);
}

/** Returns a copy of the current batch; fills an empty one from the queue. */
static json_t *take_batch(audit_t *audit)
{
	SCOPED_LOCK(lock, &audit->lock);

	/* A batch whose outcome is unknown is written again unchanged. */
	if (json_array_size(audit->batch))
		return json_copy(audit->batch);
	while (json_array_size(audit->queue) &&
	       json_array_size(audit->batch) < AUDIT_BATCH_MAX) {
		json_array_append(audit->batch,
				  json_array_get(audit->queue, 0));
		json_array_remove(audit->queue, 0);
	}
	return json_copy(audit->batch);
}

static bool has_id(const json_t *entries, const char *id)
{
	const json_t *entry;
	size_t i;

	json_array_foreach (entries, i, entry) {
		const char *other =
			json_string_value(json_object_get(entry, "id"));

		if (other && !strcmp(other, id))
			return true;
	}
	return false;
}

/** Drops the oldest entries above the shard's limits of entries and bytes. */
static void drop_oldest(json_t *entries)
{
	size_t bytes = json_dumpb(entries, NULL, 0, JSON_COMPACT);

	while (json_array_size(entries) > AUDIT_SHARD_ENTRIES ||
	       bytes > SHARD_MAX_BYTES) {
		bytes -= json_dumpb(json_array_get(entries, 0), NULL, 0,
				    JSON_COMPACT);
		json_array_remove(entries, 0);
	}
}

json_t *audit_merge(const json_t *shard, const json_t *batch)
{
	json_t *old = json_object_get(shard, "entries");
	json_t *entries = json_is_array(old) ? json_copy(old) : json_array();
	json_t *entry;
	size_t i;

	if (!entries)
		return NULL;
	json_array_foreach (batch, i, entry) {
		const char *id =
			json_string_value(json_object_get(entry, "id"));

		if (!has_id(old, id) && json_array_append(entries, entry)) {
			json_decref(entries);
			return NULL;
		}
	}
	drop_oldest(entries);
	return json_pack("{s:o}", "entries", entries);
}

/** Appends a batch by one read and one conditional write. */
static int append_once(audit_t *audit, const json_t *batch)
{
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	CLEANUP_JSON json_t *value = NULL;
	int err = store_client_get(audit->client, STORE_PURPOSE_AUDIT,
				   audit->key, &object);

	if (err && err != ERR_NOT_FOUND)
		return err;
	value = audit_merge(object.value, batch);
	if (!value)
		return ERR_NO_MEMORY;
	/* All entries are stored: only the answer to an earlier write was
	 * lost. */
	if (object.value && json_equal(value, object.value))
		return 0;
	if (!object.value)
		return store_client_create(audit->client, STORE_PURPOSE_AUDIT,
					   audit->key, value, NULL);
	return store_client_update(audit->client, STORE_PURPOSE_AUDIT,
				   audit->key, value, object.version, NULL);
}

int audit_flush(audit_t *audit)
{
	SCOPED_LOCK(flush_lock, &audit->flush_lock);
	CLEANUP_JSON json_t *batch = take_batch(audit);
	int err = ERR_STORE_CONDITION;

	if (!json_array_size(batch))
		return batch ? 0 : ERR_NO_MEMORY;
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		err = append_once(audit, batch);
		if (err != ERR_STORE_CONDITION && err != ERR_STORE_UNKNOWN)
			break;
	}
	if (err)
		return err;
	pthread_mutex_lock(&audit->lock);
	json_array_clear(audit->batch);
	pthread_mutex_unlock(&audit->lock);
	return 0;
}

static int compare_times(const void *a, const void *b)
{
	const json_t *left = *(json_t *const *)a;
	const json_t *right = *(json_t *const *)b;
	json_int_t left_unix_ms =
		json_integer_value(json_object_get(left, "at_ms"));
	json_int_t right_unix_ms =
		json_integer_value(json_object_get(right, "at_ms"));

	return (left_unix_ms > right_unix_ms) - (left_unix_ms < right_unix_ms);
}

static json_t *sort_by_time(const json_t *entries)
{
	size_t count = json_array_size(entries);
	CLEANUP_FREE json_t **by_time = calloc(count + 1, sizeof(json_t *));
	json_t *sorted = json_array();

	for (size_t i = 0; by_time && i < count; i++)
		by_time[i] = json_array_get(entries, i);
	if (by_time)
		qsort(by_time, count, sizeof(json_t *), compare_times);
	for (size_t i = 0; by_time && i < count; i++)
		json_array_append(sorted, by_time[i]);
	return sorted;
}

int audit_read(store_client_t *client, json_t **entries)
{
	CLEANUP_JSON json_t *all = json_array();

	CLEANUP_STORE_ITEMS store_items_t shards = { 0 };
	int err = store_client_list(client, STORE_PURPOSE_AUDIT, "audit/", NULL,
				    AUDIT_SHARDS, &shards);

	*entries = NULL;
	if (err)
		return err;
	for (size_t i = 0; i < shards.count; i++)
		json_array_extend(
			all, json_object_get(shards.items[i].value, "entries"));
	*entries = sort_by_time(all);
	return json_array_size(*entries) == json_array_size(all)
		       ? 0
		       : ERR_NO_MEMORY;
}
