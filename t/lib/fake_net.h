/**
 * @file
 * Instances that gossip with each other in one process on virtual time, over
 * a network that delays, loses and cuts.
 */
#ifndef T_LIB_FAKE_NET_H
#define T_LIB_FAKE_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/membership.h"
#include "process/rng.h"

enum {
	/** Period of membership_tick(), as in the gossip thread. */
	FAKE_NET_TICK_MS = 100,
	/** Time after which a caller gives up. */
	FAKE_NET_CALL_LIMIT_MS = 300,
};

typedef enum fake_message_kind {
	FAKE_REQUEST,
	FAKE_ANSWER,
	FAKE_TIMEOUT, /**< Tells the sender of a lost call. */
	FAKE_FETCHED, /**< A configuration change was fetched. */
} fake_message_kind_t;

typedef struct fake_message {
	fake_message_kind_t kind;
	peer_kind_t request;
	uint64_t at_ms;
	size_t from;
	size_t to;
	size_t subject;	  /**< Of an indirect probe, or FAKE_NONE. */
	size_t requester; /**< Of a probe on another's behalf, or FAKE_NONE. */
	peer_gossip_t gossip;
	peer_rumor_t rumors[PEER_RUMORS_MAX];
} fake_message_t;

#define FAKE_NONE SIZE_MAX

typedef struct fake_net {
	size_t node_count;
	size_t domain_count;
	membership_t *nodes;
	bool *up;
	uint64_t *starts;
	uint64_t *fetching;  /**< Position that a node is fetching. */
	uint32_t *side;	     /**< Nodes on different sides are cut off. */
	GPtrArray *messages; /**< On their way; `fake_message_t *`. */
	rng_t rng;
	uint64_t now_ms;
	uint32_t loss_percent;
	uint32_t delay_max_ms; /**< One way. */
	uint32_t change_bytes; /**< Of one configuration change. */
	uint64_t message_total;
	uint64_t byte_total; /**< As encoded, with the envelope. */
} fake_net_t;

/** All nodes start at time 0 and know each other from the list. */
fake_net_t *fake_net_new(size_t node_count, size_t domain_count, uint64_t seed);

void fake_net_free(fake_net_t *net);

/** Starts or restarts a node. */
void fake_net_start(fake_net_t *net, size_t node);

void fake_net_run(fake_net_t *net, uint64_t until_ms);

/** Performs the actions that a membership call returned for a node. */
void fake_net_perform(fake_net_t *net, size_t node,
		      const membership_action_t *actions, size_t count);

#endif
