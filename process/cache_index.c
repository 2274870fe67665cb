#include "process/cache_index.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "process/hash.h"

/**
 * Factors by which the learned expiry changes. One missing prefix nearly undoes
 * four that were found, so at equilibrium about one in five prefixes assumed to
 * be cached may be missing.
 */
static const double EXPIRY_SHRINK_FACTOR = 0.8;
static const double EXPIRY_GROWTH_FACTOR = 1.06;

void cache_index_init(cache_index_t *index)
{
	memset(index, 0, sizeof(*index));
}

static uint64_t tag_of(const cache_index_source_t *source, uint64_t key)
{
	uint64_t tag = hash_rendezvous(source->id, key);

	return tag ? tag : 1;
}

static const cached_prefix_t *find_prefix(const cache_index_t *index,
					  uint64_t tag)
{
	const cached_prefix_t *set = index->sets[tag % CACHE_INDEX_SETS];

	for (size_t i = 0; i < CACHE_INDEX_WAYS; i++) {
		if (set[i].tag == tag)
			return &set[i];
	}
	return NULL;
}

static double age_ms(const cached_prefix_t *entry, uint64_t now_ms)
{
	if (now_ms < entry->confirmed_ms)
		return 0;
	return (double)(now_ms - entry->confirmed_ms);
}

uint32_t cache_index_tokens(const cache_index_t *index,
			    const cache_index_source_t *source, uint64_t key,
			    uint64_t now_ms)
{
	const cached_prefix_t *entry = find_prefix(index, tag_of(source, key));

	if (!entry || entry->evicted ||
	    age_ms(entry, now_ms) > source->expiry_ms)
		return 0;
	return entry->tokens;
}

/** Entry to write for a tag: its own, a free one, or the oldest of the set. */
static cached_prefix_t *find_slot(cache_index_t *index, uint64_t tag)
{
	cached_prefix_t *set = index->sets[tag % CACHE_INDEX_SETS];
	cached_prefix_t *oldest = &set[0];

	for (size_t i = 0; i < CACHE_INDEX_WAYS; i++) {
		if (set[i].tag == tag)
			return &set[i];
		/* Free entries have confirmed_ms 0, so they come first. */
		if (set[i].confirmed_ms < oldest->confirmed_ms)
			oldest = &set[i];
	}
	return oldest;
}

void cache_index_confirm(cache_index_t *index,
			 const cache_index_source_t *source, uint64_t key,
			 uint32_t tokens, uint64_t now_ms)
{
	uint64_t tag = tag_of(source, key);
	cached_prefix_t *entry = find_slot(index, tag);

	entry->tag = tag;
	entry->tokens = tokens;
	entry->confirmed_ms = now_ms;
	entry->evicted = false;
}

void cache_index_learn_expiry(cache_index_t *index,
			      cache_index_source_t *source, uint64_t key,
			      uint32_t tokens, uint32_t cached_tokens,
			      uint64_t now_ms)
{
	const cached_prefix_t *entry = find_prefix(index, tag_of(source, key));
	double *expiry = &source->expiry_ms;
	double age;

	if (!entry || entry->evicted)
		return;
	age = age_ms(entry, now_ms);
	if (cached_tokens < tokens) {
		if (age < *expiry)
			*expiry *= EXPIRY_SHRINK_FACTOR;
	} else if (age > *expiry / 2) {
		*expiry *= EXPIRY_GROWTH_FACTOR;
	}
	*expiry = fmin(fmax(*expiry, CACHE_INDEX_EXPIRY_MIN_MS),
		       CACHE_INDEX_EXPIRY_MAX_MS);
}

bool cache_index_apply_event(cache_index_t *index,
			     const cache_index_source_t *source, uint64_t key,
			     bool added, uint64_t now_ms)
{
	uint64_t tag = tag_of(source, key);
	cached_prefix_t *entry = NULL;

	if (!find_prefix(index, tag))
		return false;
	entry = find_slot(index, tag);
	entry->evicted = !added;
	if (added)
		entry->confirmed_ms = now_ms;
	return true;
}
