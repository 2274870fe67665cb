/**
 * @file
 * Authentication of envelopes between instances: MAC, receiver and protection
 * against replays. Pure logic: no I/O, clock or locks.
 *
 * No time of day is compared, because it may differ between instances and jump.
 * A receiver gives each sender a challenge, a random number that its requests
 * must contain, and gives it a new one when another process of that sender
 * appears. A replayed request therefore contains an old challenge, or a
 * sequence number that was received before. A sender that does not know its
 * challenge gets it with ERR_PEER_SESSION and repeats the request. An answer
 * contains the sequence number of its request, which starts at a random number.
 *
 * Size: 56 bytes for each of PEER_SENDERS_MAX senders.
 */
#ifndef PROCESS_PEER_AUTH_H
#define PROCESS_PEER_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer.h"
#include "process/rng.h"

enum {
	PEER_SENDERS_MAX = PEER_MEMBERS_MAX,
	/**
	 * Size of the replay window. Sequence numbers further below the highest
	 * received one are rejected as replays.
	 */
	PEER_REPLAY_WINDOW = 64,
};

/** What is known of one other instance. */
typedef struct peer_sender {
	uint64_t id;
	uint64_t challenge; /**< That its requests must contain. */
	uint64_t session;   /**< Process that used the challenge; 0: none. */
	uint64_t highest_sequence;
	/** Bit i: sequence number `highest_sequence - i` was received. */
	uint64_t window;
	/** That requests to it must contain; 0: unknown. */
	uint64_t own_challenge;
	uint64_t last_used; /**< Value of `use_count` at its last use. */
} peer_sender_t;

typedef struct peer_auth {
	uint64_t cluster;
	uint64_t id;
	uint64_t session;
	uint64_t sequence;
	unsigned char key[PEER_KEY_BYTES];
	rng_t rng;
	uint64_t use_count;
	peer_sender_t senders[PEER_SENDERS_MAX];
	size_t sender_count;
} peer_auth_t;

/** @param seed differs between processes */
void peer_auth_init(peer_auth_t *auth, uint64_t cluster, const char *secret,
		    uint64_t id, uint64_t seed);

/** Challenge for requests to an instance; 0 if unknown. */
uint64_t peer_auth_challenge(const peer_auth_t *auth, uint64_t receiver);

/**
 * Completes a request whose payload is set: sender, receiver, challenge,
 * sequence number and MAC.
 * @param receiver id of the receiver, or 0 if unknown
 */
void peer_auth_seal(peer_auth_t *auth, peer_envelope_t *envelope,
		    uint64_t receiver, uint64_t challenge);

/** Likewise for the answer to a request. */
void peer_auth_seal_answer(peer_auth_t *auth, peer_envelope_t *envelope,
			   const peer_envelope_t *request);

/**
 * Checks a request and records its sequence number.
 * @return 0, ERR_PEER_AUTH, ERR_PEER_REPLAY, or ERR_PEER_SESSION if it has to
 *         be repeated with the challenge in the answer
 */
int peer_auth_check(peer_auth_t *auth, const peer_envelope_t *envelope);

/**
 * Checks an answer and records the challenge in it.
 * @param sequence of the request
 * @param receiver id of the receiver of the request, or 0 if unknown
 * @return 0 or ERR_PEER_AUTH
 */
int peer_auth_check_answer(peer_auth_t *auth, const peer_envelope_t *envelope,
			   uint64_t sequence, uint64_t receiver);

#endif
