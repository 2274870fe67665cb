#include "process/rng.h"

#include <stdlib.h>
#include <sys/random.h>

#include <math.h>

void rng_init(rng_t *rng, uint64_t seed)
{
	/* splitmix64 step: spreads small seeds and avoids the zero state. */
	uint64_t z = seed + 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	z ^= z >> 31;
	rng->state = z ? z : 1;
}

uint64_t rng_system_seed(void)
{
	uint64_t seed;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		abort();
	return seed;
}

uint64_t rng_next(rng_t *rng)
{
	uint64_t x = rng->state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	rng->state = x;
	return x * 0x2545f4914f6cdd1dULL;
}

uint64_t rng_below(rng_t *rng, uint64_t bound)
{
	if (!bound)
		return 0;
	return (uint64_t)(((unsigned __int128)rng_next(rng) * bound) >> 64);
}

double rng_unit(rng_t *rng)
{
	return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

double rng_exponential(rng_t *rng, double mean)
{
	return -mean * log(1.0 - rng_unit(rng));
}
