/**
 * @file
 * Instances that share allowances, on virtual time: requests of customers,
 * datagrams that are delayed and lost, and instances that learn of each other
 * with a lag.
 */
#ifndef T_LIB_ALLOWANCE_NET_H
#define T_LIB_ALLOWANCE_NET_H

#include "process/allowance.h"

enum {
	/** Customers that send requests; others are idle. */
	NET_SENDERS_MAX = 3,
	NET_CUSTOMERS_MAX = 620,
	/** Window of the limit, ms. */
	NET_WINDOW_MS = 8000,
	/** What operators tolerate in it, tokens beyond 1.1 of the limit. */
	NET_SLACK = 110000,
};

typedef enum net_policy {
	NET_OWNERS, /**< process/allowance. */
	NET_EQUAL,  /**< Each instance has an equal part. */
	NET_DEMAND, /**< Parts follow what heartbeats say of the demand. */
} net_policy_t;

/** A customer that sends, and what became of its requests. */
typedef struct net_sender {
	uint64_t rate_per_s;
	double demand;	   /**< Of the rate. */
	uint32_t costs[2]; /**< Of a request; drawn with equal chance. */
	bool regular;	   /**< Requests are sent at equal intervals. */
	/** Costs since the last net_reset(). */
	double offered;
	double charged;
	double charged_single; /**< If one bucket for all decided. */
	uint32_t requests;
	uint32_t large_offered; /**< Requests of costs[0]. */
	uint32_t large_charged;
	uint32_t small_offered;
	uint32_t small_charged;
	/** Largest cost of 8 s, of what the limit is without tolerance, and
	 * whether it was beyond what operators tolerate. */
	double worst;
	bool beyond;
} net_sender_t;

typedef struct net_options {
	uint32_t instances;
	uint32_t customers; /**< With a limit, at least those that send. */
	double loss;	    /**< Of datagrams. */
	net_policy_t policy;
	uint64_t seed;
	double overage; /**< See allowance_set_overage(). */
} net_options_t;

typedef struct net net_t;

/** All instances start at once. */
net_t *net_new(const net_options_t *options, const net_sender_t *senders,
	       size_t count);
void net_free(net_t *net);
net_sender_t *net_sender(net_t *net, size_t number);
void net_run(net_t *net, uint64_t duration_ms);
/** Forgets what became of requests so far. */
void net_reset(net_t *net);

void net_kill(net_t *net, uint32_t instance);
void net_start(net_t *net, uint32_t instance);
/** Kills `count` instances from `first` on, all at once, and starts them again
 * after the time. */
void net_kill_some(net_t *net, uint32_t first, uint32_t count,
		   uint64_t down_ms);
void net_stop(net_t *net, uint32_t instance); /**< Planned. */
void net_freeze(net_t *net, uint32_t instance, uint64_t duration_ms);
/** Cuts the instances from number `first` on off from those before; 0 ends
 * it. */
void net_cut(net_t *net, uint32_t first);
/** Sets the rate of a sender at all instances; the burst is one second of it.
 */
void net_set_rate(net_t *net, size_t sender, uint64_t rate_per_s);
/** The instance that others take for the owner of a sender. */
uint32_t net_owner(net_t *net, size_t sender);
/** Sum of the parts of a sender at all instances. */
double net_parts(net_t *net, size_t sender);
/** Largest number of datagram bytes, with headers, that an instance sent or
 * received per second since the last net_reset(). */
double net_bytes_per_s(const net_t *net);

#endif
