/**
 * @file
 * Instances that share an endpoint's limit, on virtual time: heartbeats that
 * are delayed and lost, instances that end, start and freeze, that do not hear
 * each other, and times of day that differ and jump.
 */
#ifndef T_LIB_LIMIT_SIM_H
#define T_LIB_LIMIT_SIM_H

#include <stdint.h>

enum {
	LIMIT_SIM_INSTANCES_MAX = 340,
	/** Window in which requests are counted, ms. */
	LIMIT_SIM_WINDOW_MS = 4000,
};

/** How instances divide the limit. */
typedef enum limit_division {
	/** Turns by a shared clock, drawn for each turn; in use. */
	DIVIDE_DRAWN_TURNS,
	/** Turns by a shared clock and the rank among the live ones. */
	DIVIDE_RANKED_TURNS,
	/** Turns by time of day and rank; in use until 2026-12. */
	DIVIDE_TIME_OF_DAY,
	/** A slot of its own for each, at a random time. */
	DIVIDE_OWN_SLOTS,
	LIMIT_DIVISION_COUNT,
} limit_division_t;

typedef struct limit_sim_options {
	uint32_t instances;
	uint32_t limit; /**< Requests per 1000 s. */
	/** Part of the instances whose time of day is off, and by how much at
	 * the most, each by another time. */
	double clocks_off;
	uint64_t clock_off_ms;
	/** Part of the instances that end and start again, at one moment, in
	 * each period of 12 s. */
	double restarts;
	/** Likewise, that stand still for 3 s. */
	double freezes;
	/** Part of the ordered pairs in which one never hears the other. */
	double deaf_pairs;
	double loss; /**< Of heartbeats. */
} limit_sim_options_t;

typedef struct limit_sim_result {
	double over; /**< Largest count in a window, of what is allowed. */
	double used; /**< Requests, of the limit. */
	/** Longest time without a request of any instance, ms. */
	uint64_t idle_ms;
} limit_sim_result_t;

limit_sim_result_t limit_sim_run(const limit_sim_options_t *options,
				 limit_division_t division, uint64_t seed);

#endif
