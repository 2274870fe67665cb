/**
 * @file
 * Discrete-event simulation of routing: engines with a bounded LRU cache and a
 * priority queue, and independent routers that receive load reports late.
 *
 * A prompt is a manual of 10 blocks, a section of it of 4 blocks, and notes of
 * 2 blocks, so that prompts have shared prefixes on three levels. Popularity
 * is exponential and reshuffled during the run; half of the notes are unique.
 * Blocks are scaled from 2,000 to 20 tokens and the engines' speed likewise,
 * so times are those of full-size prompts.
 */
#ifndef T_LIB_FLEET_SIM_H
#define T_LIB_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "process/routing.h"

enum {
	SIM_CLASSES = 3, /**< Urgency classes; 0 is the most urgent. */
	SIM_BLOCK_TOKENS = 20,
	/** Blocks of 20 tokens; 4 blocks/s is 8,000 full-size tokens/s. */
	SIM_PREFILL_TOKENS_PER_S = 80,
};

typedef struct sim_options {
	uint64_t seed;
	routing_policy_t policy;
	uint32_t engines;
	uint32_t routers;
	uint32_t cache_blocks;	/**< Cache size of each engine. */
	uint32_t report_lag_ms; /**< Age of load reports. */
	uint32_t reshuffle_ms;	/**< Interval of changes of popularity. */
	uint32_t duration_ms;
	uint32_t warm_up_ms; /**< Excluded from the results. */
	/** Share of the engines' capacity at the target hit rate. */
	double load;
	bool single_message; /**< One message per prompt instead of three. */
	bool admission;	     /**< Routers apply admission control. */
} sim_options_t;

typedef struct sim_result {
	uint32_t requests;	   /**< Measured ones with a first token. */
	uint32_t shed;		   /**< Rejected by admission control. */
	double hit_rate;	   /**< Cached prompt tokens / prompt tokens. */
	double unbounded_hit_rate; /**< Same requests, one unbounded cache. */
	double relative_hit_rate;  /**< hit_rate / unbounded_hit_rate */
	/** Share of prompt tokens computed though another engine had them. */
	double avoidable_recompute;
	/** Requests on the busiest engine / mean per engine. */
	double imbalance;
	/* Time to first token by urgency class. */
	double p50_ms[SIM_CLASSES];
	double p95_ms[SIM_CLASSES];
	double p99_ms[SIM_CLASSES];
	uint32_t class_requests[SIM_CLASSES];
} sim_result_t;

/**
 * Options of the deployment's specification: 20 engines, 14 routers, load
 * reports that are 1 s old.
 */
sim_options_t sim_defaults(uint64_t seed);

/** Runs one simulation; equal options give equal results. */
sim_result_t sim_run(const sim_options_t *options);

#endif
