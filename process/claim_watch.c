#include "process/claim_watch.h"

#include "process/cleanup.h"
#include "process/hash.h"

static claim_watch_entry_t *find(claim_watch_t *watch, uint64_t path_hash)
{
	for (size_t i = 0; i < watch->count; i++) {
		if (watch->entries[i].path_hash == path_hash)
			return &watch->entries[i];
	}
	return NULL;
}

static claim_watch_entry_t *add(claim_watch_t *watch)
{
	claim_watch_entry_t *oldest = &watch->entries[0];

	if (watch->count < CLAIM_WATCH_MAX)
		return &watch->entries[watch->count++];
	for (size_t i = 1; i < watch->count; i++) {
		if (watch->entries[i].last_read_ms < oldest->last_read_ms)
			oldest = &watch->entries[i];
	}
	return oldest;
}

uint64_t claim_watch_read(claim_watch_t *watch, const char *path,
			  uint64_t version, uint64_t now_ms)
{
	uint64_t path_hash = hash_string(path);
	SCOPED_LOCK(guard, &watch->lock);
	claim_watch_entry_t *entry = find(watch, path_hash);

	if (!entry)
		entry = add(watch);
	if (entry->path_hash != path_hash || entry->version != version)
		*entry = (claim_watch_entry_t){ path_hash, version, now_ms, 0 };
	entry->last_read_ms = now_ms;
	/* Another thread may have read it later and noted that first. */
	return now_ms > entry->first_read_ms ? now_ms - entry->first_read_ms
					     : 0;
}
