/**
 * @file
 * ONC RPC between instances: one procedure that exchanges authenticated
 * envelopes over TCP.
 *
 * An envelope is accepted only if its MAC is right, it is meant for this
 * cluster and this instance, its time is near, and its sequence number was
 * not seen before from that incarnation of the sender.
 *
 * The server runs on a thread of its own and answers from it, so handlers
 * must be short and must not call peers. Client handles are never used by two
 * threads at once.
 */
#ifndef PROCESS_PEER_H
#define PROCESS_PEER_H

#include <stddef.h>
#include <stdint.h>

#include "process/peer_proto.h"

enum {
	PEER_KEY_BYTES = 32,
	/** Difference of clocks between instances that is accepted. */
	PEER_CLOCK_SKEW_MAX_MS = 60000,
	/** Client connections kept open. */
	PEER_HANDLES_MAX = 64,
};

typedef struct peer peer_t;

/**
 * Answers one message.
 * @param sender id of the authenticated sender
 * @param answer zeroed; the callee fills it with memory from malloc(), which
 *               is freed by XDR
 */
typedef void (*peer_handler_t)(void *context, uint64_t sender,
			       const peer_message_t *request,
			       peer_message_t *answer);

typedef struct peer_settings {
	uint64_t cluster;     /**< Hash of the cluster's name. */
	const char *secret;   /**< Shared secret; the MAC key is derived. */
	uint64_t id;	      /**< Hash of this instance's id. */
	uint64_t incarnation; /**< Start time, milliseconds since the epoch. */
	const char *address;  /**< Numeric address to listen on. */
	uint16_t port;	      /**< 0 for any free port. */
	uint32_t timeout_ms;  /**< Default limit for a call. */
	peer_handler_t handler;
	void *context;
} peer_settings_t;

/**
 * Opens the port and starts the server thread. One peer per process, because
 * the RPC library keeps its descriptors in globals.
 * @return 0, ERR_SETTING if the address cannot be bound, or ERR_INTERNAL
 */
int peer_open(const peer_settings_t *settings, peer_t **peer);

/** Stops the thread and closes all connections; NULL is allowed. */
void peer_close(peer_t *peer);

/** Port the server listens on. */
uint16_t peer_port(const peer_t *peer);

/**
 * Sends a message and waits for the answer.
 * @param address numeric address in the form of peer_member_t
 * @param receiver id of the receiver, or 0 if unknown
 * @param answer zeroed by this call; free it with peer_message_free()
 * @return 0, ERR_CONNECT, ERR_TIMEOUT, ERR_PEER_AUTH, ERR_PEER_REPLAY,
 *         or the error that the receiver answered
 */
int peer_call(peer_t *peer, const char address[PEER_ADDRESS_BYTES],
	      uint16_t port, uint64_t receiver, const peer_message_t *request,
	      peer_message_t *answer, uint32_t timeout_ms);

/** Frees what an answer owns. */
void peer_message_free(peer_message_t *message);

/**
 * Turns a numeric IPv4 or IPv6 address into the wire form.
 * @return 0 or ERR_BAD_FIELD
 */
int peer_parse_address(const char *text, char address[PEER_ADDRESS_BYTES]);

#endif
