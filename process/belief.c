#include "process/belief.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "process/hash.h"

/**
 * Steps of the learned expiry. One missing prefix outweighs four that are
 * there, so about one relied-on belief in five may be wrong at balance.
 */
static const double EXPIRY_SHRINK = 0.8;
static const double EXPIRY_GROW = 1.06;

void belief_init(belief_t *belief)
{
	memset(belief, 0, sizeof(*belief));
}

static uint64_t tag_of(const belief_source_t *source, uint64_t key)
{
	uint64_t tag = hash_rendezvous(source->id, key);

	return tag ? tag : 1;
}

static const belief_entry_t *find(const belief_t *belief, uint64_t tag)
{
	const belief_entry_t *set = belief->sets[tag % BELIEF_SETS];

	for (size_t i = 0; i < BELIEF_WAYS; i++) {
		if (set[i].tag == tag)
			return &set[i];
	}
	return NULL;
}

static double age_ms(const belief_entry_t *entry, uint64_t now_ms)
{
	if (now_ms < entry->confirmed_ms)
		return 0;
	return (double)(now_ms - entry->confirmed_ms);
}

uint32_t belief_tokens(const belief_t *belief, const belief_source_t *source,
		       uint64_t key, uint64_t now_ms)
{
	const belief_entry_t *entry = find(belief, tag_of(source, key));

	if (!entry || entry->evicted ||
	    age_ms(entry, now_ms) > source->expiry_ms)
		return 0;
	return entry->tokens;
}

/** Entry to write: the same tag, a free one, or the oldest of the set. */
static belief_entry_t *claim(belief_t *belief, uint64_t tag)
{
	belief_entry_t *set = belief->sets[tag % BELIEF_SETS];
	belief_entry_t *oldest = &set[0];

	for (size_t i = 0; i < BELIEF_WAYS; i++) {
		if (set[i].tag == tag)
			return &set[i];
		/* Free entries have the time 0. */
		if (set[i].confirmed_ms < oldest->confirmed_ms)
			oldest = &set[i];
	}
	return oldest;
}

void belief_confirm(belief_t *belief, const belief_source_t *source,
		    uint64_t key, uint32_t tokens, uint64_t now_ms)
{
	uint64_t tag = tag_of(source, key);
	belief_entry_t *entry = claim(belief, tag);

	entry->tag = tag;
	entry->tokens = tokens;
	entry->confirmed_ms = now_ms;
	entry->evicted = false;
}

void belief_answer(belief_t *belief, belief_source_t *source, uint64_t key,
		   uint32_t tokens, uint32_t cached_tokens, uint64_t now_ms)
{
	const belief_entry_t *entry = find(belief, tag_of(source, key));
	double *expiry = &source->expiry_ms;
	double age;

	if (!entry || entry->evicted)
		return;
	age = age_ms(entry, now_ms);
	if (cached_tokens < tokens) {
		if (age < *expiry)
			*expiry *= EXPIRY_SHRINK;
	} else if (age > *expiry / 2) {
		*expiry *= EXPIRY_GROW;
	}
	*expiry =
		fmin(fmax(*expiry, BELIEF_EXPIRY_MIN_MS), BELIEF_EXPIRY_MAX_MS);
}

bool belief_event(belief_t *belief, const belief_source_t *source, uint64_t key,
		  bool added, uint64_t now_ms)
{
	uint64_t tag = tag_of(source, key);
	belief_entry_t *entry = NULL;

	if (!find(belief, tag))
		return false;
	entry = claim(belief, tag);
	entry->evicted = !added;
	if (added)
		entry->confirmed_ms = now_ms;
	return true;
}
