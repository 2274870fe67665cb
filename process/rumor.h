/**
 * @file
 * Decision module: bounded buffer of rumors that an instance passes on.
 *
 * Each rumor is sent a number of times that grows with the logarithm of the
 * number of members, the least-sent first. A rumor that was seen before is
 * not spread again, so that spreading ends.
 *
 * Size: about 28 KB for each buffer.
 */
#ifndef PROCESS_RUMOR_H
#define PROCESS_RUMOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer_proto.h"

enum {
	/** Rumors that wait to be passed on. */
	RUMOR_BUFFER_MAX = 192,
	/** Keys of rumors seen lately. */
	RUMOR_SEEN_MAX = 1024,
};

typedef struct rumor_entry {
	peer_rumor_t rumor;
	uint64_t subject; /**< A newer rumor replaces one of its subject. */
	uint32_t sent_count;
} rumor_entry_t;

typedef struct rumor_buffer {
	rumor_entry_t entries[RUMOR_BUFFER_MAX];
	size_t count;
	uint64_t seen[RUMOR_SEEN_MAX];
	size_t seen_next;
} rumor_buffer_t;

void rumor_init(rumor_buffer_t *buffer);

/**
 * Adds a rumor unless the same one was seen before. When the buffer is full,
 * the rumor that was sent most often makes room.
 * @return whether the rumor is new
 */
bool rumor_add(rumor_buffer_t *buffer, const peer_rumor_t *rumor);

/**
 * Picks rumors for one message and counts them as sent.
 * @param member_count number of members, which sets how often each is sent
 * @return number of rumors written to `out`
 */
size_t rumor_pick(rumor_buffer_t *buffer, size_t member_count,
		  peer_rumor_t *out, size_t max);

/** Number of times one rumor is sent among this many members. */
uint32_t rumor_send_limit(size_t member_count);

#endif
