/**
 * @file
 * Datagrams by which instances share the allowances of customers. Encoded as
 * XDR.
 */
#ifndef PROCESS_ALLOWANCE_MESSAGE_H
#define PROCESS_ALLOWANCE_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

enum {
	/** Entries of a datagram. */
	ALLOWANCE_ENTRIES_MAX = 32,
	/** Header of an encoded datagram, bytes. */
	ALLOWANCE_HEADER_BYTES = 40,
	/** Encoded entry, bytes. */
	ALLOWANCE_ENTRY_BYTES = 20,
	/** Largest encoded datagram, bytes. */
	ALLOWANCE_MESSAGE_MAX_BYTES =
		ALLOWANCE_HEADER_BYTES +
		ALLOWANCE_ENTRIES_MAX * ALLOWANCE_ENTRY_BYTES,
};

typedef enum allowance_kind {
	ALLOWANCE_ASK = 1,   /**< Asks for tokens, or for an empty answer. */
	ALLOWANCE_GRANT = 2, /**< Answers an ask. */
	ALLOWANCE_PARTS = 3, /**< Transfers parts and tokens. */
} allowance_kind_t;

/** What a datagram says of one customer. */
typedef struct allowance_entry {
	uint64_t customer; /**< Hash of the name. */
	uint32_t part;	   /**< PARTS: in units of 2^-32 of the limit. */
	uint32_t tokens;   /**< Wanted, granted or transferred. */
	/** ASK: cost of the largest request that the tokens are for. On the
	 * wire it takes the place of wait_ms. */
	uint32_t unit;
	/** GRANT: time until room is expected, ms; 0: everything was granted,
	 * or, if `tokens` is 0 too, the sender is not the owner. */
	uint32_t wait_ms;
} allowance_entry_t;

typedef struct allowance_message {
	allowance_kind_t kind;
	uint64_t incarnation; /**< Of the sender. */
	/** Incarnation of the receiver: a process does not accept what was sent
	 * to the one before it, which may have passed it on. */
	uint64_t receiver;
	uint32_t sequence; /**< Increases with each datagram of the sender. */
	uint32_t answered; /**< GRANT: sequence of the ask; otherwise 0. */
	/** Low half of the sender's monotonic time, ms; shows how old the
	 * datagram is. */
	uint32_t clock_ms;
	uint32_t count;
	allowance_entry_t entries[ALLOWANCE_ENTRIES_MAX];
} allowance_message_t;

/**
 * Encodes a datagram.
 * @param size at least ALLOWANCE_MESSAGE_MAX_BYTES is always enough
 * @return the encoded length in bytes, or ERR_LIMIT
 */
int allowance_message_encode(const allowance_message_t *message, char *bytes,
			     size_t size);

/** @return 0, or ERR_BAD_FIELD if the datagram is malformed */
int allowance_message_decode(allowance_message_t *message, char *bytes,
			     size_t len);

#endif
