/**
 * @file
 * Authentication of envelopes between instances: MAC, receiver, time and
 * replay protection. Pure logic: no I/O, clock or locks.
 *
 * Size: 40 bytes for each of PEER_SENDERS_MAX senders.
 */
#ifndef PROCESS_PEER_AUTH_H
#define PROCESS_PEER_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer.h"

enum {
	PEER_SENDERS_MAX = PEER_MEMBERS_MAX,
	/**
	 * Size of the replay window. Sequence numbers further below the highest
	 * received one are rejected as replays.
	 */
	PEER_REPLAY_WINDOW = 64,
};

/** Replay protection for one sender. */
typedef struct peer_sender {
	uint64_t id;
	uint64_t incarnation;
	uint64_t highest_sequence;
	/** Bit i: sequence number `highest_sequence - i` was received. */
	uint64_t window;
	uint64_t last_used_unix_ms;
} peer_sender_t;

typedef struct peer_auth {
	uint64_t cluster;
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	unsigned char key[PEER_KEY_BYTES];
	peer_sender_t senders[PEER_SENDERS_MAX];
	size_t sender_count;
} peer_auth_t;

void peer_auth_init(peer_auth_t *auth, uint64_t cluster, const char *secret,
		    uint64_t id, uint64_t incarnation);

/**
 * Completes an envelope whose payload is set: sender, receiver, sequence
 * number, time and MAC.
 * @param receiver id of the receiver, or 0 if unknown
 * @param reply_to sequence number of the request that is answered, or 0
 * @param unix_ms current time since the epoch
 */
void peer_auth_seal(peer_auth_t *auth, peer_envelope_t *envelope,
		    uint64_t receiver, uint64_t reply_to, uint64_t unix_ms);

/**
 * Checks an envelope and records its sequence number.
 * @param unix_ms current time since the epoch
 * @return 0, ERR_PEER_AUTH or ERR_PEER_REPLAY
 */
int peer_auth_check(peer_auth_t *auth, const peer_envelope_t *envelope,
		    uint64_t unix_ms);

#endif
