/**
 * @file
 * Log lines on standard output that never hold up the caller: a full pipe or
 * too many lines drop the line and count it. Thread-safe.
 */
#ifndef PROCESS_LOG_LINE_H
#define PROCESS_LOG_LINE_H

#include <stddef.h>
#include <stdint.h>

enum {
	/** Lines a second in the long run: five for each of some 60 requests
	 * a second, several times what one instance of today's sites gets. */
	LOG_LINES_PER_S = 300,
	/** Lines that may come at once, for bursts of failures. */
	LOG_LINES_BURST = 2000,
};

/** Prepares standard output. */
void log_line_open(void);

/** Writes one line with its line break. */
void log_line_write(const char *line, size_t len);

/** Number of lines dropped since the last call. */
uint64_t log_line_take_dropped(void);

#endif
