/**
 * @file
 * Turns in which instances send to endpoints that limit the requests of all
 * instances together. Pure logic: no I/O, clock or locks.
 *
 * Time is divided into turns, and the live instances are drawn for each turn in
 * an order that each of them computes alike. Instances agree on the time of the
 * turns by a clock of their own, because the times of day may differ and jump:
 * heartbeats contain it, and each instance goes on from the highest value that
 * it has heard, at the rate of its monotonic clock. It starts anew when no
 * instance is left.
 *
 * Instances that disagree about who lives draw nearly the same order: an
 * instance that one of them misses only moves those behind it up by one.
 *
 * One thread changes the turns; others read them.
 */
#ifndef PROCESS_LIMIT_TURNS_H
#define PROCESS_LIMIT_TURNS_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Length of a turn, ms: as long as the window in which requests are
	 * counted. */
	LIMIT_TURN_MS = 4000,
	/** Turns that are drawn: the one that runs and the next one. */
	LIMIT_TURNS_DRAWN = 2,
	/** Bits of a position in limit_turns_t::drawn. */
	LIMIT_POSITION_BITS = 16,
};

typedef struct limit_turns {
	/** Added to the monotonic time; it may wrap around. */
	_Atomic uint64_t offset_ms;
	/** Number and position of a turn, at the number modulo the size. */
	_Atomic uint64_t drawn[LIMIT_TURNS_DRAWN];
	_Atomic uint32_t instances;
} limit_turns_t;

/** A turn, as one instance sees it. */
typedef struct limit_turn {
	uint64_t number;
	uint64_t begin_ms;  /**< Monotonic time. */
	uint32_t position;  /**< Of this instance in the draw, from 0. */
	uint32_t instances; /**< Live ones; at least 1. */
} limit_turn_t;

/** Starts without a drawn turn. */
void limit_turns_init(limit_turns_t *turns, uint64_t now_ms);

/** The clock of the turns, as heartbeats contain it. */
uint64_t limit_turns_clock(const limit_turns_t *turns, uint64_t now_ms);

/** Handles the clock of another instance. */
void limit_turns_receive(limit_turns_t *turns, uint64_t clock_ms,
			 uint64_t now_ms);

/**
 * Draws the turn that runs and the next one.
 * @param self hash of this instance's name
 * @param others hashes of the names of the other live instances
 */
void limit_turns_draw(limit_turns_t *turns, uint64_t self,
		      const uint64_t *others, size_t count, uint64_t now_ms);

/** The turn that runs; false if it has not been drawn. */
bool limit_turns_current(const limit_turns_t *turns, uint64_t now_ms,
			 limit_turn_t *turn);

#endif
