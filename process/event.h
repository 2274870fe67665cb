/**
 * @file
 * Numbered log events, written through log4c as one line of key=value pairs.
 *
 * The events are listed in process/event_list.h; `amaranthvale events` prints
 * docs/log-events.md from that list.
 */
#ifndef PROCESS_EVENT_H
#define PROCESS_EVENT_H

#include <stddef.h>
#include <stdint.h>

typedef enum event_level {
	EVENT_DEBUG,
	EVENT_INFO,
	EVENT_WARN,
	EVENT_ERROR,
} event_level_t;

#define EVENT(number, symbol, name, level, text) EVENT_##symbol = (number),
/** Event numbers; stable and never reused. */
typedef enum event_id {
#include "process/event_list.h"
} event_id_t;
#undef EVENT

/** Entry of the event catalogue. */
typedef struct event_info {
	event_id_t id;
	const char *name;
	event_level_t level;
	const char *text; /**< Meaning, and what an operator should do. */
} event_info_t;

/**
 * Starts logging to standard error.
 * @param program program name written in each line; not copied
 * @param level lowest level that is written
 * @return 0, or ERR_INTERNAL if log4c cannot be set up
 */
int event_open(const char *program, event_level_t level);

/**
 * Like event_open(), on standard output. Never blocks: lines above a rate limit
 * and lines that a full pipe does not take are dropped, see log_line.h.
 */
int event_open_stdout(const char *program, event_level_t level);

/**
 * Writes one event. Control characters in the text are replaced, so that one
 * event is always one line. Do not pass API keys, tokens or prompt text.
 * @param fmt printf format of the key=value pairs, or NULL for none
 */
void event_log(event_id_t id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** All events in order of their numbers; `count` receives how many. */
const event_info_t *event_catalogue(size_t *count);

#endif
