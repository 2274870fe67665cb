/**
 * @file
 * Seeds of randomised tests: a fixed range, or the seed in AMV_TEST_SEED.
 */
#ifndef T_LIB_SEEDS_H
#define T_LIB_SEEDS_H

#include <stdint.h>

/**
 * Runs `test` with the seeds 1 to `count`, or with the one in AMV_TEST_SEED. If
 * an assertion fails, prints the seed.
 */
void seeds_run(uint64_t count, void (*test)(uint64_t seed));

#endif
