/**
 * @file
 * Order of a peer's datagrams: which ones are of its running process and newer
 * than those before. Pure logic: no I/O, clock or locks.
 *
 * An incarnation is a random number that a process draws at its start, so it
 * says nothing about which process is the later one; a number from the time of
 * day would be wrong after a jump. The process heard last is the running one,
 * and those before it have ended. A delayed datagram of an ended process that
 * was never heard before can be taken for a new process. The running one then
 * counts as ended, until the other has been silent for longer than a datagram
 * can be delayed.
 */
#ifndef PROCESS_PEER_INCARNATION_H
#define PROCESS_PEER_INCARNATION_H

#include <stddef.h>
#include <stdint.h>

enum {
	/** Ended processes of a peer that are remembered. */
	PEER_ENDED_MAX = 4,
	/** Longest delay of a datagram, ms. */
	PEER_DATAGRAM_DELAY_MAX_MS = 2000,
};

/** A process of a peer and its newest datagram. */
typedef struct peer_run {
	uint64_t incarnation; /**< 0: none. */
	uint32_t sequence;
} peer_run_t;

/** What is known of one peer; starts zeroed. */
typedef struct peer_incarnation {
	peer_run_t running;
	uint64_t received_ms; /**< When its newest datagram arrived. */
	peer_run_t ended[PEER_ENDED_MAX];
	size_t next_ended; /**< The entry that is replaced next. */
} peer_incarnation_t;

typedef enum peer_datagram {
	PEER_DATAGRAM_OLD,	   /**< Delayed or repeated; to be ignored. */
	PEER_DATAGRAM_NEXT,	   /**< Of the process heard before. */
	PEER_DATAGRAM_NEW_PROCESS, /**< First of another process. */
} peer_datagram_t;

/**
 * Handles the numbers of a datagram that arrived.
 * @param incarnation not 0
 * @param now_ms monotonic time
 */
peer_datagram_t peer_incarnation_receive(peer_incarnation_t *peer,
					 uint64_t incarnation,
					 uint32_t sequence, uint64_t now_ms);

#endif
