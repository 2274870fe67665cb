/**
 * @file
 * Clocks, sleeps and timed waits for the code that does I/O; decision modules
 * get the time passed in.
 */
#ifndef PROCESS_CLOCK_H
#define PROCESS_CLOCK_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** Milliseconds of the monotonic clock. */
uint64_t clock_now_ms(void);

/**
 * Milliseconds of a clock that goes on while the machine is suspended; for
 * leases, whose time passes for the others too.
 */
uint64_t clock_boot_ms(void);

/** Milliseconds since the epoch. */
uint64_t clock_unix_ms(void);

/** Sleeps on the monotonic clock. */
void clock_sleep_us(uint64_t duration_us);

/** Sleeps on the monotonic clock. */
void clock_sleep_ms(uint64_t duration_ms);

/** Condition variable whose timed waits use the monotonic clock. */
void clock_cond_init(pthread_cond_t *cond);

/**
 * Waits for a signal until a monotonic time; the mutex is held.
 * @return false when the time has passed
 */
bool clock_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			   uint64_t until_ms);

/** The same with the time counted from now. */
bool clock_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
		     uint64_t timeout_ms);

#endif
