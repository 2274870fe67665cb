/**
 * @file
 * Revisions of the store that can be compared across its eras.
 *
 * A store that was restored from an older copy begins a new era and gives out
 * revisions again, so a revision orders changes only within an era. Here it
 * has the era in its upper bits and what the store itself calls the revision in
 * the lower ones. The era is 0 if the store states none.
 */
#ifndef PROCESS_STORE_REVISION_H
#define PROCESS_STORE_REVISION_H

#include <stdint.h>

enum {
	/** Bits of the revision within its era: enough for 400 writes a second
	 * over 600 years. */
	STORE_REVISION_BITS = 43,
	/** Bits of the era; an era beyond them wraps around. Together 63 bits,
	 * so that a JSON integer holds both. */
	STORE_ERA_BITS = 20,
};

#define STORE_REVISION_MASK ((UINT64_C(1) << STORE_REVISION_BITS) - 1)
#define STORE_ERA_MASK ((UINT64_C(1) << STORE_ERA_BITS) - 1)

/** @param number what the store calls the revision */
static inline uint64_t store_revision_make(uint64_t era, uint64_t number)
{
	return (era & STORE_ERA_MASK) << STORE_REVISION_BITS |
	       (number & STORE_REVISION_MASK);
}

static inline uint64_t store_revision_era(uint64_t revision)
{
	return revision >> STORE_REVISION_BITS;
}

/** What the store calls the revision. */
static inline uint64_t store_revision_number(uint64_t revision)
{
	return revision & STORE_REVISION_MASK;
}

#endif
