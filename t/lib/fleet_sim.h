/**
 * @file
 * Experiment on virtual time: fake engines with a bounded LRU cache and a
 * priority queue, and independent routers that see load reports late.
 *
 * Prompts nest on three levels (manual of 10 blocks, section of 4, notes of 2)
 * with exponential popularity that is reshuffled during the run; half of the
 * notes are unique. Blocks are scaled from 2,000 to 20 tokens and the engines'
 * speed likewise, so times are those of full-size prompts.
 */
#ifndef T_LIB_FLEET_SIM_H
#define T_LIB_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "process/routing.h"

enum {
	SIM_CLASSES = 3,
	SIM_BLOCK_TOKENS = 20,
	/** Blocks of 20 tokens; 4 blocks/s is 8,000 full-size tokens/s. */
	SIM_PREFILL_TOKENS_PER_S = 80,
};

typedef struct sim_options {
	uint64_t seed;
	routing_policy_t policy;
	uint32_t engines;
	uint32_t routers;
	uint32_t cache_blocks; /**< Of one engine. */
	uint32_t report_lag_ms;
	uint32_t reshuffle_ms;
	uint32_t duration_ms;
	uint32_t warm_up_ms; /**< Not measured. */
	/** Of what the engines can do at the target hit rate. */
	double load;
	bool single_message;
	bool admission;
} sim_options_t;

typedef struct sim_result {
	uint32_t requests; /**< Measured ones with a first token. */
	uint32_t shed;
	double hit_rate;	   /**< Cached prompt tokens / prompt tokens. */
	double unbounded_hit_rate; /**< Of one unbounded cache, same requests.
				    */
	double relative_hit_rate;
	double avoidable_recompute; /**< Recomputed though another engine held
				       it. */
	/** Share of requests on the busiest engine times engines. */
	double imbalance;
	double p50_ms[SIM_CLASSES];
	double p95_ms[SIM_CLASSES];
	double p99_ms[SIM_CLASSES];
	uint32_t class_requests[SIM_CLASSES];
} sim_result_t;

/** Figures of the design page: 20 engines, 14 routers, reports 1 s late. */
sim_options_t sim_defaults(uint64_t seed);

/** Runs one experiment; equal options give equal results. */
sim_result_t sim_run(const sim_options_t *options);

#endif
