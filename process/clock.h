/**
 * @file
 * Clocks, sleeps and timed waits for code that does I/O. Modules that only make
 * decisions take the time as a parameter.
 */
#ifndef PROCESS_CLOCK_H
#define PROCESS_CLOCK_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** Milliseconds of the monotonic clock. */
uint64_t clock_now_ms(void);

/**
 * Milliseconds of CLOCK_BOOTTIME, which includes time spent suspended. Used for
 * leases: they expire for other instances while this machine is suspended.
 */
uint64_t clock_boot_ms(void);

/** Milliseconds since the Unix epoch. */
uint64_t clock_unix_ms(void);

/** Sleeps for a duration on the monotonic clock, resuming after signals. */
void clock_sleep_us(uint64_t duration_us);

/** Like clock_sleep_us(), in milliseconds. */
void clock_sleep_ms(uint64_t duration_ms);

/** Initializes a condition variable with waits on the monotonic clock. */
void clock_cond_init(pthread_cond_t *cond);

/**
 * Waits for a condition variable until a deadline on the monotonic clock. The
 * caller holds the mutex.
 * @return false on timeout
 */
bool clock_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			   uint64_t deadline_ms);

/** Like clock_cond_wait_until(), with a timeout from now. */
bool clock_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
		     uint64_t timeout_ms);

#endif
