/**
 * @file
 * Allowances of customers that all instances share: an instance decides whether
 * a request is within its customer's limit. Pure logic: no I/O, clock,
 * randomness or locks; one thread uses it.
 *
 * For each customer with a limit an instance holds a part (fraction of the rate
 * at which it accrues tokens) and tokens. Each part converges to an equal share
 * of the limit, so that the sum over all instances stays at most 1, and is sent
 * to the customer's owner once per period. The others ask the owner for tokens.
 * See docs/design/allowances.md.
 *
 * Use: call allowance_take() when a request arrives. If it answers
 * ALLOWANCE_ASK_OWNER, hold the request and send what allowance_next_message()
 * returns. After allowance_receive(), and at allowance_next_ms(), call
 * allowance_take() once with `held` for each request that is held, oldest
 * first, and then allowance_next_message() until it returns false.
 */
#ifndef PROCESS_ALLOWANCE_H
#define PROCESS_ALLOWANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/allowance_message.h"

enum {
	/** Customers that are remembered, with those whose limit was removed.
	 * 256 bytes each. */
	ALLOWANCE_CUSTOMERS_MAX = 1024,
	/** Peers that are remembered, with those that are no longer live. 88
	 * bytes each. */
	ALLOWANCE_PEERS_MAX = 1024,
	/** Peers that are asked besides the owner. */
	ALLOWANCE_RANKED = 3,
	/** Grants that have not been collected; asks beyond that are dropped.
	 */
	ALLOWANCE_REPLIES_MAX = 16,
	/** Longest time for which a caller holds a request, ms. It also holds
	 * none for more than a quarter of the request's time left. */
	ALLOWANCE_HOLD_MAX_MS = 400,
	/** A process that is about to end goes on sending and receiving for
	 * this long, ms, so that what it holds is not lost. */
	ALLOWANCE_STOP_MS = 300,
	/** Slots of the index of customers. */
	ALLOWANCE_SLOTS = 2 * ALLOWANCE_CUSTOMERS_MAX,
};

/** Limit of a customer in the configuration. */
typedef struct allowance_limit {
	uint64_t customer;   /**< Hash of the name. */
	uint64_t rate_per_s; /**< Tokens; 0: no limit. */
	uint64_t burst;	     /**< Tokens. */
} allowance_limit_t;

/** Another live instance that supports the protocol. */
typedef struct allowance_peer {
	uint64_t id;	      /**< Hash of its name. */
	uint64_t incarnation; /**< From its heartbeat. */
	bool young; /**< See allowance_is_young(); read when it is listed for
			 the first time. */
} allowance_peer_t;

typedef enum allowance_verdict {
	ALLOWANCE_CHARGED,   /**< Admitted. */
	ALLOWANCE_ASK_OWNER, /**< Hold the request and collect datagrams. */
	ALLOWANCE_REFUSED,   /**< Beyond the limit. */
} allowance_verdict_t;

typedef struct allowance_decision {
	allowance_verdict_t verdict;
	uint32_t retry_after_ms; /**< If refused; spread over a range. */
} allowance_decision_t;

/** Counts since the start, for metrics. */
typedef struct allowance_counters {
	uint64_t charged;     /**< Requests. */
	uint64_t refused;     /**< Requests. */
	uint64_t asks;	      /**< Entries sent in asks. */
	uint64_t asks_lost;   /**< Without an answer in time. */
	uint64_t grants;      /**< Answers that grant something. */
	uint64_t denials;     /**< Answers that grant nothing. */
	uint64_t parts_sent;  /**< Entries. */
	uint64_t dropped;     /**< Datagrams: repeated, old or of a stranger. */
	uint64_t grants_late; /**< Answers after their ask was given up. */
	uint64_t no_customer; /**< Received entries of unknown customers. */
	uint64_t parts_unaged; /**< Entries dropped as their age is unknown. */
} allowance_counters_t;

typedef enum allowance_ask_state {
	ALLOWANCE_ASK_NONE,
	ALLOWANCE_ASK_DUE,  /**< To be sent. */
	ALLOWANCE_ASK_SENT, /**< Waiting for the answer. */
} allowance_ask_state_t;

/** State of one customer; see allowance_private.h. */
typedef struct allowance_customer {
	uint64_t key;
	bool limited; /**< Listed in the configuration in force. */
	bool listed;  /**< Found in the list that is being applied. */
	double rate_per_ms;
	double burst;
	double part;	/**< Fraction of the limit. */
	double tokens;	/**< Accrued at `part`; below 0 after an overdraft. */
	double granted; /**< Granted by others; may be spent until then. */
	uint64_t granted_until_ms;
	double returned; /**< Only to be sent to the owner. */
	double backlog;	 /**< Denied, and expected to be asked again. */
	double reserve;	 /**< See reserve() in allowance_balance.c. */
	uint64_t reserve_until_ms;
	uint64_t updated_ms;
	uint64_t parts_due_ms;
	uint32_t pieces; /**< Datagrams left of the transfer of a large part. */
	/* Whom to ask. */
	uint64_t owner; /**< Id of the owner, which may be this instance. */
	uint64_t owner_since_ms;
	uint64_t ranked[ALLOWANCE_RANKED]; /**< Other live ones; 0: none. */
	/* The ask that is due or sent. */
	allowance_ask_state_t ask;
	bool ask_counts_held; /**< Held requests are not in `waiting` yet. */
	uint32_t ask_step;    /**< Position in the order of those to ask. */
	uint32_t ask_silent;  /**< Asks without an answer. */
	uint32_t ask_first_sequence; /**< Of the asks for the same requests. */
	uint32_t ask_sequence;
	uint64_t ask_target;
	uint64_t ask_sent_ms;
	double waiting; /**< Tokens that held requests need. */
	double unit;	/**< Largest request held or refused lately. */
	double demand;	/**< Tokens requested in this quarter of a second. */
	double demand_before; /**< In the one before it. */
	uint64_t demand_epoch;
	/* Refusals. */
	uint64_t denied_until_ms;
	uint64_t room_ms; /**< Room is expected then. */
} allowance_customer_t;

/** What is known of a peer; see allowance_private.h. */
typedef struct allowance_sender {
	uint64_t id;
	uint64_t incarnation;
	uint64_t retired; /**< Its incarnation before that. */
	bool live;
	bool listed;		  /**< Found in the list that is applied. */
	bool heard;		  /**< `sequence` and `window` are set. */
	bool clock_known;	  /**< `clock_offset_ms` is set. */
	uint64_t eligible_ms;	  /**< When it may become an owner. */
	uint64_t absent_ms;	  /**< When it was last live, if it is not. */
	uint64_t window;	  /**< Received ones up to 64 before it. */
	uint32_t sequence;	  /**< Highest one received. */
	uint32_t clock_offset_ms; /**< Of its clock, at the least. */
	uint64_t clock_set_ms;	  /**< When that was learned. */
	uint64_t asked_ms;	  /**< When the last ask was sent to it. */
	uint32_t asked_sequence;
} allowance_sender_t;

/** A grant to be collected. */
typedef struct allowance_reply {
	uint64_t to_id;
	allowance_message_t message;
} allowance_reply_t;

/** All state, owned by the caller; read `counters` only. 17 KB, and memory that
 * grows by doubling for customers and peers: with 620 customers and 340 peers
 * 325 KB in all, and at the most 370 KB. */
typedef struct allowance {
	allowance_counters_t counters;
	uint64_t self_id;
	uint64_t incarnation;
	uint64_t started_ms;
	uint32_t sequence;
	bool stopping;
	bool young;		/**< See allowance_is_young(). */
	uint64_t claim_ms;	/**< When the share is claimed, if young. */
	uint64_t eligible_ms;	/**< When this instance may be an owner. */
	bool configured;	/**< Limits have been set. */
	uint64_t configured_ms; /**< When, for the first time. */
	bool evicted;		/**< A removed customer was forgotten. */
	double limit_scale;	/**< See allowance_set_overage(). */
	/** Number of instances, and time in which parts converge; the extremes
	 * are those of the time in which other instances may have another. */
	uint32_t instances;
	uint64_t instances_ms; /**< When that changed. */
	uint32_t instances_max;
	uint64_t period_ms; /**< In which parts are sent. */
	uint64_t converge_ms;
	uint64_t converge_min_ms;
	uint64_t converge_max_ms;
	uint64_t settled_ms; /**< When all have the present values. */
	uint64_t rank_ms;    /**< When a peer may become an owner. */
	uint64_t parts_due_ms;
	uint32_t asks_open;
	uint64_t refusals; /**< Spreads the times to come back. */
	allowance_customer_t *customers;
	size_t customer_count;
	size_t customer_capacity;
	size_t limited_count;
	uint16_t slots[ALLOWANCE_SLOTS]; /**< Index + 1, by key. */
	allowance_sender_t *senders;
	size_t sender_count;
	size_t sender_capacity;
	uint64_t peers_digest; /**< Of the list of live ones. */
	allowance_reply_t replies[ALLOWANCE_REPLIES_MAX];
	size_t reply_first;
	size_t reply_count;
} allowance_t;

/** What an instance holds for a customer, for metrics. */
typedef struct allowance_view {
	double part;   /**< Fraction of the limit. */
	double tokens; /**< That may be spent here. */
	bool owner;    /**< This instance is the customer's owner. */
} allowance_view_t;

/**
 * Starts with nothing. Until the limits are set every request is admitted.
 * @param self_id hash of this instance's name
 * @param incarnation of this process, as in its heartbeats
 */
void allowance_init(allowance_t *allowance, uint64_t self_id,
		    uint64_t incarnation, uint64_t now_ms);

/**
 * Sets what operators tolerate beyond the limits, over all instances, as a
 * fraction of the limit of a window. Most of it is admitted: tokens on the way,
 * granted and not spent, or lost would be missing otherwise. To be called
 * before the limits are set, with the same value in all instances; it is 0 at
 * first.
 */
void allowance_set_overage(allowance_t *allowance, double overage);

/** Frees what an initialised state holds. */
void allowance_free(allowance_t *allowance);

/**
 * Sets the limits of the configuration in force; customers that are not listed
 * have none. To be called for the first configuration too, even if it has no
 * limits, and not before there is one: a customer that a later configuration
 * adds is known to be new.
 * @return 0, ERR_NO_MEMORY, or ERR_LIMIT if there are more than
 *         ALLOWANCE_CUSTOMERS_MAX; after an error the limits stay as they were
 */
int allowance_set_limits(allowance_t *allowance,
			 const allowance_limit_t *limits, size_t count,
			 uint64_t now_ms);

/**
 * Sets who takes part; cheap if nothing changes.
 * @param peers the other live instances that support the protocol and are not
 *        stopping, each once, in any order
 * @param instances registered members, or live ones if there are more of these;
 *        0 if the list of members is unknown: there is no part then
 * @param stopping this instance is about to end: it gives away all that it
 *        holds within ALLOWANCE_STOP_MS
 * @return 0, ERR_NO_MEMORY, or ERR_LIMIT if there are more than
 *         ALLOWANCE_PEERS_MAX; after an error nothing has changed
 */
int allowance_set_peers(allowance_t *allowance, const allowance_peer_t *peers,
			size_t count, uint32_t instances, bool stopping,
			uint64_t now_ms);

/**
 * Charges a request, or tells what to do with it.
 * @param tokens its cost
 * @param held it is held since an answer of ALLOWANCE_ASK_OWNER
 */
allowance_decision_t allowance_take(allowance_t *allowance, uint64_t customer,
				    uint64_t tokens, bool held,
				    uint64_t now_ms);

/** Refunds a charged request that was not executed. */
void allowance_return(allowance_t *allowance, uint64_t customer,
		      uint64_t tokens, uint64_t now_ms);

/** Handles a datagram from the peer `from_id`. */
void allowance_receive(allowance_t *allowance, uint64_t from_id,
		       const allowance_message_t *message, uint64_t now_ms);

/**
 * Returns the next datagram that is due. What it transfers is no longer held
 * here, so it must be sent now or is lost.
 * @return false if none is due
 */
bool allowance_next_message(allowance_t *allowance, uint64_t now_ms,
			    uint64_t *to_id, allowance_message_t *message);

/** Time at which something is due, ms; UINT64_MAX if nothing is. */
uint64_t allowance_next_ms(const allowance_t *allowance);

/**
 * Whether the process started lately, has heard only of such processes, and has
 * not claimed its share of the limits. To be told to the others: if all are
 * young, no part of before is left, and each claims its share at once.
 */
bool allowance_is_young(const allowance_t *allowance, uint64_t now_ms);

/**
 * Tells what is held for a customer.
 * @return false if it has no limit
 */
bool allowance_view(allowance_t *allowance, uint64_t customer, uint64_t now_ms,
		    allowance_view_t *view);

#endif
