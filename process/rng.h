/**
 * @file
 * Seeded pseudo-random generator (xorshift64*), so that decisions and tests
 * can be replayed from a seed. Not for secrets.
 */
#ifndef PROCESS_RNG_H
#define PROCESS_RNG_H

#include <stdint.h>

typedef struct rng {
	uint64_t state;
} rng_t;

/** Starts a generator; any seed is valid. */
void rng_init(rng_t *rng, uint64_t seed);

/**
 * A seed from the system's random source. Ends the process if there is none,
 * because incarnations and nonces would repeat.
 */
uint64_t rng_system_seed(void);

/** Next 64 random bits. */
uint64_t rng_next(rng_t *rng);

/** Uniform number below `bound`; 0 if `bound` is 0. */
uint64_t rng_below(rng_t *rng, uint64_t bound);

/** Uniform number in [0, 1). */
double rng_unit(rng_t *rng);

/** Exponentially distributed number with the given mean. */
double rng_exponential(rng_t *rng, double mean);

#endif
