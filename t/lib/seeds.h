/**
 * @file
 * Seeds of randomised tests: a fixed set, or the one seed in AMV_TEST_SEED.
 */
#ifndef T_LIB_SEEDS_H
#define T_LIB_SEEDS_H

#include <stdint.h>

/** Runs `schedule` for seeds 1 to `count`, and prints a seed that fails. */
void seeds_run(uint64_t count, void (*schedule)(uint64_t seed));

#endif
