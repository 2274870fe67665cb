#include "process/clock.h"

#include <errno.h>
#include <time.h>

static uint64_t read_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t clock_now_ms(void)
{
	return read_ms(CLOCK_MONOTONIC);
}

uint64_t clock_boot_ms(void)
{
	return read_ms(CLOCK_BOOTTIME);
}

uint64_t clock_unix_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}

void clock_sleep_us(uint64_t duration_us)
{
	struct timespec remaining = {
		.tv_sec = (time_t)(duration_us / 1000000),
		.tv_nsec = (long)(duration_us % 1000000) * 1000,
	};

	while (clock_nanosleep(CLOCK_MONOTONIC, 0, &remaining, &remaining) ==
	       EINTR)
		;
}

void clock_sleep_ms(uint64_t duration_ms)
{
	clock_sleep_us(duration_ms * 1000);
}

void clock_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attributes);
	pthread_condattr_destroy(&attributes);
}

bool clock_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			   uint64_t deadline_ms)
{
	struct timespec deadline = {
		.tv_sec = (time_t)(deadline_ms / 1000),
		.tv_nsec = (long)(deadline_ms % 1000) * 1000000,
	};

	return !pthread_cond_timedwait(cond, lock, &deadline);
}

bool clock_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
		     uint64_t timeout_ms)
{
	return clock_cond_wait_until(cond, lock, clock_now_ms() + timeout_ms);
}
