/**
 * @file
 * Clocks for the code that does I/O; decision modules get the time passed in.
 */
#ifndef PROCESS_CLOCK_H
#define PROCESS_CLOCK_H

#include <stdint.h>
#include <time.h>

static inline uint64_t clock_read_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/** Milliseconds of the monotonic clock. */
static inline uint64_t clock_now_ms(void)
{
	return clock_read_ms(CLOCK_MONOTONIC);
}

/** Milliseconds since the epoch. */
static inline uint64_t clock_unix_ms(void)
{
	return clock_read_ms(CLOCK_REALTIME);
}

#endif
