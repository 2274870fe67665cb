/**
 * @file
 * Bounded, expiring table of prefixes believed to be cached at endpoints.
 *
 * An entry is keyed by belief_source_t.id and a level or block key. The
 * source covers id, incarnation, weights version and event generation, so a
 * restart, new weights or a gap in the events end all beliefs about an
 * endpoint at once without a pass over the table.
 *
 * Size: 8,192 entries of 24 bytes, 196,608 bytes. A full set replaces the
 * entry confirmed longest ago.
 */
#ifndef PROCESS_BELIEF_H
#define PROCESS_BELIEF_H

#include <stdbool.h>
#include <stdint.h>

enum {
	BELIEF_SETS = 1024,
	BELIEF_WAYS = 8,
	/** Limits of the learned expiry. */
	BELIEF_EXPIRY_MIN_MS = 500,
	BELIEF_EXPIRY_START_MS = 20000,
	BELIEF_EXPIRY_MAX_MS = 3600000,
};

/** One state of one endpoint that beliefs are about. */
typedef struct belief_source {
	uint64_t id;
	/** Age up to which a belief is relied on, ms. */
	double expiry_ms;
} belief_source_t;

typedef struct belief_entry {
	uint64_t tag; /**< Hash of source and key; 0 when free. */
	uint64_t confirmed_ms;
	uint32_t tokens; /**< Tokens cached up to this key. */
	bool evicted;	 /**< An event said so; kept to notice its return. */
} belief_entry_t;

typedef struct belief {
	belief_entry_t sets[BELIEF_SETS][BELIEF_WAYS];
} belief_t;

/** Empties the table. */
void belief_init(belief_t *belief);

/**
 * Tokens believed to be cached for a key.
 * @return 0 if nothing is known or the belief is older than the endpoint's
 *         learned expiry
 */
uint32_t belief_tokens(const belief_t *belief, const belief_source_t *source,
		       uint64_t key, uint64_t now_ms);

/** Records that an endpoint has the prefix of a key in its cache. */
void belief_confirm(belief_t *belief, const belief_source_t *source,
		    uint64_t key, uint32_t tokens, uint64_t now_ms);

/**
 * Learns from the cached tokens of an answer, before the prompt's levels are
 * confirmed. A prefix of `tokens` tokens that was believed and is missing
 * shortens the endpoint's expiry; one that is there beyond half the expiry
 * lengthens it.
 */
void belief_answer(belief_t *belief, belief_source_t *source, uint64_t key,
		   uint32_t tokens, uint32_t cached_tokens, uint64_t now_ms);

/**
 * Applies a cache event. Events of keys that are not in the table are ignored.
 * @param added false for an eviction
 * @return whether the key is tracked
 */
bool belief_event(belief_t *belief, const belief_source_t *source, uint64_t key,
		  bool added, uint64_t now_ms);

#endif
