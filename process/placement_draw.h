/**
 * @file
 * Draws an endpoint for a request when many instances choose by the same
 * loads, which are up to a heartbeat old, and would all choose the same one.
 * Pure logic: no I/O, clock or locks.
 */
#ifndef PROCESS_PLACEMENT_DRAW_H
#define PROCESS_PLACEMENT_DRAW_H

#include "process/placement.h"

/** Believed load of a candidate; starts from placement_candidate_t. */
typedef struct draw_load {
	/** Requests in progress, with other costs as so many requests. */
	double requests;
	double speed; /**< 0: not to be drawn. */
} draw_load_t;

/**
 * Draws by how far the load of an endpoint is below the level that all reach
 * after the unseen requests ("Interpreting Stale Load Information", Dahlin
 * 2000).
 * @param unseen requests of other instances that the loads do not include
 * @param draw random number
 * @return index, or `count` if none may be drawn
 */
size_t placement_draw(const draw_load_t *loads, size_t count, double unseen,
		      uint64_t draw);

#endif
