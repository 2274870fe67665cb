/**
 * @file
 * Authentication of envelopes between instances: MAC, addressee, time and
 * protection against replays. Decision module; no clock and no socket.
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
	/** Sequence numbers below the highest that are still told apart. */
	PEER_WINDOW = 64,
};

/** What was received from one sender. */
typedef struct peer_sender {
	uint64_t id;
	uint64_t incarnation;
	uint64_t highest;
	uint64_t window; /**< Bit i: sequence `highest - i` was seen. */
	uint64_t used_ms;
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
 * Completes an envelope whose payload is set: identity, sequence, time, MAC.
 * @param reply_to sequence of the request that is answered, or 0
 */
void peer_auth_seal(peer_auth_t *auth, peer_envelope_t *envelope,
		    uint64_t receiver, uint64_t reply_to, uint64_t unix_ms);

/**
 * Checks an envelope and remembers its sequence.
 * @return 0, ERR_PEER_AUTH or ERR_PEER_REPLAY
 */
int peer_auth_check(peer_auth_t *auth, const peer_envelope_t *envelope,
		    uint64_t unix_ms);

#endif
