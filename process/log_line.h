/**
 * @file
 * Non-blocking log lines on standard output. A line is dropped and counted if
 * the pipe is full or the rate limit is exceeded. Thread-safe.
 */
#ifndef PROCESS_LOG_LINE_H
#define PROCESS_LOG_LINE_H

#include <stddef.h>
#include <stdint.h>

enum {
	/** Sustained lines per second: five lines for each of about 60 requests
	 * per second, several times the load of one instance in the
	 * current deployments. */
	LOG_LINES_PER_S = 300,
	/** Most lines in a burst, such as many failures at once. */
	LOG_LINES_BURST = 2000,
};

/** Makes standard output non-blocking. */
void log_line_open(void);

/** Writes one line; `line` includes the line break. */
void log_line_write(const char *line, size_t len);

/** Returns the number of lines dropped since the last call. */
uint64_t log_line_take_dropped(void);

#endif
