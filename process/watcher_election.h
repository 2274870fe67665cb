/**
 * @file
 * Watcher election: decides whether this instance watches the store for
 * changes. Pure logic: no I/O, clock or locks.
 *
 * Calls to the store cost money and are limited, so many equal instances must
 * not all make them: one instance of each failure domain watches the store and
 * the others fetch changes from it. Instances with the fastest network links
 * are preferred. A watcher that gets no answer from the store yields to the
 * next instance for some time. Thus during an outage only one instance of each
 * domain keeps trying, and if the store rejects some instances, one that it
 * serves is found. After an outage for all, those of a domain stop yielding as
 * soon as one of them is in contact, so that instances with slow links don't
 * stand in for longer.
 */
#ifndef PROCESS_WATCHER_ELECTION_H
#define PROCESS_WATCHER_ELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Wait for the answers to the first heartbeat, ms: a few round trips
	 * between domains plus a delayed tick. */
	ELECTION_ANSWER_WAIT_MS = 100,
	/** An instance that could not send its first heartbeat takes part
	 * after this time, ms: reading the member list takes a few ms, from a
	 * slow store 300. */
	ELECTION_START_TIMEOUT_MS = 600,
	/** An instance whose state is still incomplete this long after its
	 * start watches the store itself, ms: by then several fetches from
	 * peers have failed. */
	ELECTION_STATE_TIMEOUT_MS = 2500,
	/** A watcher without an answer for this long yields, ms: a slow store
	 * answers within 300 ms. */
	ELECTION_CONTACT_TIMEOUT_MS = 700,
	/** How long an instance yields, ms: enough for a few other instances
	 * of its domain to try in turn. */
	ELECTION_YIELD_MS = 4000,
};

/** A live instance of the same failure domain, from its last heartbeat. */
typedef struct election_peer {
	uint64_t rank;	 /**< The highest rank is preferred. */
	bool in_contact; /**< It watches and the store answers. */
	bool yielded;	 /**< It yields because the store did not answer. */
} election_peer_t;

typedef struct watcher_election {
	uint64_t rank;
	uint64_t started_ms;
	uint64_t first_heartbeat_ms; /**< When it was sent; 0: not yet. */
	bool watching;
	uint64_t unanswered_since_ms; /**< 0: answered, or not watching. */
	uint64_t yield_until_ms;      /**< End of the time to yield. */
	/** At some time of this yield, the store answered no other instance. */
	bool yields_in_outage;
} watcher_election_t;

/** State of this instance. */
typedef struct election_self {
	bool in_contact; /**< The store answers. */
	bool complete;	 /**< All tables have been read. */
	/** The store answers instances of any failure domain. */
	bool others_in_contact;
} election_self_t;

void watcher_election_init(watcher_election_t *election, uint64_t rank,
			   uint64_t now_ms);

/**
 * Repeats the decision with the current state.
 * @param peers live instances of the same failure domain that are not stopping
 * @return whether to watch the store
 */
bool watcher_election_step(watcher_election_t *election,
			   const election_peer_t *peers, size_t count,
			   const election_self_t *self, uint64_t now_ms);

/** Whether this instance yields now because the store did not answer it. */
bool watcher_election_has_yielded(const watcher_election_t *election,
				  uint64_t now_ms);

#endif
