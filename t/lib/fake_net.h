/**
 * @file
 * Simulation of instances that gossip with each other, in one process and on
 * virtual time, over a network with delays, losses and partitions.
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
	/** Timeout of a call between instances. */
	FAKE_NET_CALL_TIMEOUT_MS = 300,
};

typedef enum fake_message_kind {
	FAKE_REQUEST,
	FAKE_ANSWER,
	FAKE_TIMEOUT,	     /**< The sender's call timed out. */
	FAKE_CONFIG_FETCHED, /**< A configuration change was fetched. */
} fake_message_kind_t;

typedef struct fake_message {
	fake_message_kind_t kind;
	peer_kind_t request;
	uint64_t at_ms; /**< Time of delivery. */
	size_t from;	/**< Index of the sending node. */
	size_t to;	/**< Index of the receiving node. */
	/** Node that an indirect probe is for, or FAKE_NONE. */
	size_t subject;
	/** Node that asked the sender for this probe, or FAKE_NONE. */
	size_t requester;
	peer_gossip_t gossip;
	peer_rumor_t rumors[PEER_RUMORS_MAX];
} fake_message_t;

#define FAKE_NONE SIZE_MAX

typedef struct fake_net {
	size_t node_count;
	size_t domain_count;
	membership_t *nodes;
	bool *up;
	/** Configuration position that each node is fetching. */
	uint64_t *fetching_position;
	/** Partition of each node; messages between partitions are lost. */
	uint32_t *partition;
	GPtrArray *messages; /**< In flight; `fake_message_t *`. */
	rng_t rng;
	uint64_t now_ms;
	uint32_t loss_percent;
	uint32_t delay_max_ms; /**< Maximum one-way delay. */
	uint32_t change_bytes; /**< Size of one configuration change. */
	uint64_t message_total;
	uint64_t byte_total; /**< Encoded, including envelopes. */
} fake_net_t;

/** Starts all nodes at time 0 with the complete instance list. */
fake_net_t *fake_net_new(size_t node_count, size_t domain_count, uint64_t seed);

void fake_net_free(fake_net_t *net);

/** Starts or restarts a node. */
void fake_net_start(fake_net_t *net, size_t node);

/** Runs the simulation up to the virtual time `end_ms`. */
void fake_net_run(fake_net_t *net, uint64_t end_ms);

/** Performs the actions that a membership call returned for a node. */
void fake_net_perform_actions(fake_net_t *net, size_t node,
			      const membership_action_t *actions, size_t count);

#endif
