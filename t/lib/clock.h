/**
 * @file
 * Monotonic time and condition variables that use it, for stand-ins and tests.
 */
#ifndef T_LIB_CLOCK_H
#define T_LIB_CLOCK_H

#include <pthread.h>
#include <stdint.h>

/** Milliseconds on the monotonic clock. */
uint64_t clock_now_ms(void);

/** Sleeps on the monotonic clock. */
void clock_sleep_us(uint64_t duration_us);

/** Condition variable whose timed waits use the monotonic clock. */
void clock_cond_init(pthread_cond_t *cond);

/** Waits at most `timeout_ms` for a signal; the mutex is held. */
void clock_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
		     uint64_t timeout_ms);

#endif
