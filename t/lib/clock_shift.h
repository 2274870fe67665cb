/**
 * @file
 * Times of day that a test sets ahead or back in programs that it starts. The
 * programs are linked with t/clock-shift.c and are named `shifted-*`. The
 * monotonic clock is left alone; the one that counts the time of a suspended
 * machine can be set ahead.
 */
#ifndef T_LIB_CLOCK_SHIFT_H
#define T_LIB_CLOCK_SHIFT_H

#include <stdint.h>

/** What t/clock-shift.c reads. */
typedef struct clock_shift_file {
	int64_t time_of_day_ms; /**< Added to CLOCK_REALTIME. */
	int64_t suspended_ms;	/**< Added to CLOCK_BOOTTIME. */
} clock_shift_file_t;

typedef struct clock_shift clock_shift_t;

/** A clock that is right at first; clock_shift_free() it. */
clock_shift_t *clock_shift_new(void);
void clock_shift_free(clock_shift_t *shift);

/** Sets the time of day ahead, or back if negative, from now on. */
void clock_shift_set(clock_shift_t *shift, int64_t shift_ms);

/** Makes the machine seem to have been suspended for this time before now. */
void clock_shift_suspend(clock_shift_t *shift, int64_t duration_ms);

/** Programs `shifted-*` that are started from now on have this clock. */
void clock_shift_use(const clock_shift_t *shift);

#endif
