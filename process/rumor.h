/**
 * @file
 * Bounded buffer of the rumors that an instance spreads by gossip.
 *
 * Each rumor is sent a number of times that grows with the logarithm of the
 * number of members, the least-sent first. A rumor that was seen before is
 * not spread again, so that its spreading ends. Pure logic: no I/O, clock or
 * locks.
 *
 * Size: about 28 KB per buffer.
 */
#ifndef PROCESS_RUMOR_H
#define PROCESS_RUMOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer_proto.h"

enum {
	/** Rumors waiting to be sent. */
	RUMOR_BUFFER_MAX = 192,
	/** Keys of recent rumors that are kept to detect duplicates. */
	RUMOR_SEEN_MAX = 1024,
};

typedef struct rumor_entry {
	peer_rumor_t rumor;
	/** Hash of its subject; a newer rumor on the same one replaces it. */
	uint64_t subject;
	uint32_t sent_count;
} rumor_entry_t;

typedef struct rumor_buffer {
	rumor_entry_t entries[RUMOR_BUFFER_MAX];
	size_t count;
	uint64_t seen[RUMOR_SEEN_MAX]; /**< Ring of keys. */
	size_t seen_next;
} rumor_buffer_t;

void rumor_init(rumor_buffer_t *buffer);

/**
 * Adds a rumor unless the same one was seen before. If the buffer is full, the
 * rumor that was sent most often is dropped.
 * @return whether the rumor is new
 */
bool rumor_add(rumor_buffer_t *buffer, const peer_rumor_t *rumor);

/**
 * Picks rumors for one message and counts them as sent.
 * @param member_count number of members, which determines how often each is
 *                     sent
 * @return number of rumors written to `out`
 */
size_t rumor_pick(rumor_buffer_t *buffer, size_t member_count,
		  peer_rumor_t *out, size_t max);

/** Number of times a rumor is sent in a cluster of this many members. */
uint32_t rumor_send_limit(size_t member_count);

#endif
