/**
 * @file
 * ONC RPC between instances: one procedure that exchanges authenticated
 * envelopes over TCP.
 *
 * An envelope is accepted only if its MAC is valid, it is addressed to this
 * cluster and this process, and its sequence number was not seen before; see
 * process/peer_auth.h.
 *
 * The server runs on a thread of its own and calls handlers on it, so they
 * must return quickly and must not call peers. A client connection is never
 * used by two threads at once.
 */
#ifndef PROCESS_PEER_H
#define PROCESS_PEER_H

#include <stddef.h>
#include <stdint.h>

#include "process/peer_proto.h"

enum {
	PEER_KEY_BYTES = 32,
	/** Most idle client connections. */
	PEER_CLIENT_CONNECTIONS_MAX = 64,
};

typedef struct peer peer_t;

/**
 * Answers one message.
 * @param sender id of the authenticated sender
 * @param answer zeroed; the handler fills it. Memory in it is from malloc()
 *               and is freed with xdr_free()
 */
typedef void (*peer_handler_t)(void *context, uint64_t sender,
			       const peer_message_t *request,
			       peer_message_t *answer);

typedef struct peer_settings {
	uint64_t cluster;   /**< Hash of the cluster's name. */
	const char *secret; /**< Shared secret that the MAC key derives from. */
	uint64_t id;	    /**< Hash of this instance's id. */
	const char *address; /**< Numeric address to listen on. */
	uint16_t port;	     /**< 0 for any free port. */
	uint32_t timeout_ms; /**< Default timeout of a call. */
	peer_handler_t handler;
	void *context;
} peer_settings_t;

/**
 * Opens the port and starts the server thread. A process can have only one
 * peer, because the RPC library keeps its descriptors in global variables.
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
 * @param timeout_ms 0 for the default timeout
 * @return 0, ERR_CONNECT, ERR_TIMEOUT, ERR_PEER_AUTH, ERR_PEER_SESSION,
 *         or the error that the receiver sent
 */
int peer_call(peer_t *peer, const char address[PEER_ADDRESS_BYTES],
	      uint16_t port, uint64_t receiver, const peer_message_t *request,
	      peer_message_t *answer, uint32_t timeout_ms);

/** Frees the memory that a message owns, and zeroes the message. */
void peer_message_free(peer_message_t *message);

/**
 * Parses a numeric IPv4 or IPv6 address into its wire format, an IPv6 address;
 * an IPv4 address becomes an IPv4-mapped one.
 * @return 0 or ERR_BAD_FIELD
 */
int peer_parse_address(const char *text, char address[PEER_ADDRESS_BYTES]);

#endif
