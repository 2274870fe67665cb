#include "process/log_line.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "process/clock.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double tokens = LOG_LINES_BURST;
static uint64_t refilled_ms;
static _Atomic uint64_t dropped;

void log_line_open(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	refilled_ms = clock_now_ms();
}

static int take_token(void)
{
	uint64_t now_ms = clock_now_ms();
	int taken = 0;

	pthread_mutex_lock(&lock);
	tokens += (double)(now_ms - refilled_ms) * LOG_LINES_PER_S / 1000;
	if (tokens > LOG_LINES_BURST)
		tokens = LOG_LINES_BURST;
	refilled_ms = now_ms;
	if (tokens >= 1) {
		tokens -= 1;
		taken = 1;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

void log_line_write(const char *line, size_t len)
{
	/* A partial write cannot be undone, so it counts as written. */
	if (!take_token() || write(STDOUT_FILENO, line, len) <= 0)
		atomic_fetch_add(&dropped, 1);
}

uint64_t log_line_take_dropped(void)
{
	return atomic_exchange(&dropped, 0);
}
