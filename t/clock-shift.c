/*
 * Linked into programs for tests, to set their time of day ahead or back. The
 * linker replaces the calls of clock_gettime() and time() in our code by those
 * here. CLOCK_SHIFT_FILE names a file that holds a clock_shift_file_t; the test
 * changes it at any time.
 */
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "t/lib/clock_shift.h"

enum {
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
	NS_PER_S = 1000000000,
};

int __real_clock_gettime(clockid_t clock, struct timespec *now);
int __wrap_clock_gettime(clockid_t clock, struct timespec *now);
time_t __wrap_time(time_t *seconds);

static int shift_fd = -1;

__attribute__((constructor)) static void open_shift(void)
{
	const char *path = getenv("CLOCK_SHIFT_FILE");

	if (path)
		shift_fd = open(path, O_RDONLY | O_CLOEXEC);
}

static clock_shift_file_t read_shift(void)
{
	clock_shift_file_t shift = { 0 };

	if (shift_fd >= 0)
		(void)!pread(shift_fd, &shift, sizeof(shift), 0);
	return shift;
}

static void add_ms(struct timespec *now, int64_t ms)
{
	now->tv_sec += ms / MS_PER_S;
	now->tv_nsec += ms % MS_PER_S * NS_PER_MS;
	if (now->tv_nsec < 0) {
		now->tv_nsec += NS_PER_S;
		now->tv_sec--;
	} else if (now->tv_nsec >= NS_PER_S) {
		now->tv_nsec -= NS_PER_S;
		now->tv_sec++;
	}
}

int __wrap_clock_gettime(clockid_t clock, struct timespec *now)
{
	int result = __real_clock_gettime(clock, now);

	if (!result && clock == CLOCK_REALTIME)
		add_ms(now, read_shift().time_of_day_ms);
	if (!result && clock == CLOCK_BOOTTIME)
		add_ms(now, read_shift().suspended_ms);
	return result;
}

time_t __wrap_time(time_t *seconds)
{
	struct timespec now = { 0 };

	__wrap_clock_gettime(CLOCK_REALTIME, &now);
	if (seconds)
		*seconds = now.tv_sec;
	return now.tv_sec;
}
