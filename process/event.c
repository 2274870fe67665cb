#include "process/event.h"

#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "process/error.h"
#include "process/log_line.h"

/** Longest text of key=value pairs, bytes; longer ones are truncated. */
#define EVENT_TEXT_MAX_BYTES 1024
/** Longest line with time, level and program, bytes. */
#define EVENT_LINE_MAX_BYTES (EVENT_TEXT_MAX_BYTES + 256)

#define EVENT(number, symbol, name, level, text) \
	{ EVENT_##symbol, name, level, text },
static const event_info_t catalogue[] = {
#include "process/event_list.h"
};
#undef EVENT

#define CATALOGUE_COUNT (sizeof(catalogue) / sizeof(catalogue[0]))

static log4c_category_t *category;
static const char *program_name = "amaranthvale";

const event_info_t *event_catalogue(size_t *count)
{
	*count = CATALOGUE_COUNT;
	return catalogue;
}

static int log4c_priority(event_level_t level)
{
	switch (level) {
	case EVENT_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	case EVENT_INFO:
		return LOG4C_PRIORITY_INFO;
	case EVENT_WARN:
		return LOG4C_PRIORITY_WARN;
	case EVENT_ERROR:
		return LOG4C_PRIORITY_ERROR;
	}
	return LOG4C_PRIORITY_ERROR;
}

/** Formats a line with time, level and program; returns its length, bytes. */
static int format_line(const log4c_logging_event_t *event, char *line,
		       size_t size)
{
	char stamp[32];
	struct timespec now;
	struct tm parts;
	int len;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	len = snprintf(line, size, "%s.%03ldZ %s %s %s\n", stamp,
		       now.tv_nsec / 1000000L,
		       log4c_priority_to_string(event->evt_priority),
		       program_name, event->evt_msg);
	return len < (int)size ? len : (int)size - 1;
}

static int append_to_stderr(log4c_appender_t *appender,
			    const log4c_logging_event_t *event)
{
	char line[EVENT_LINE_MAX_BYTES];
	int len = format_line(event, line, sizeof(line));

	(void)appender;
	return (int)fwrite(line, 1, (size_t)len, stderr);
}

static int append_to_stdout(log4c_appender_t *appender,
			    const log4c_logging_event_t *event)
{
	char line[EVENT_LINE_MAX_BYTES];
	int len = format_line(event, line, sizeof(line));

	(void)appender;
	log_line_write(line, (size_t)len);
	return len;
}

static const log4c_appender_type_t stderr_appender = {
	.name = "event_stderr",
	.append = append_to_stderr,
};

static const log4c_appender_type_t stdout_appender = {
	.name = "event_stdout",
	.append = append_to_stdout,
};

static int open_appender(const char *program, event_level_t level,
			 const log4c_appender_type_t *type)
{
	log4c_appender_t *appender;

	program_name = program;
	/* log4c_init() is not called: it reads configuration files, while
	 * settings come from flags and the environment only. */
	log4c_appender_type_set(type);
	appender = log4c_appender_get(type->name);
	category = log4c_category_get("amaranthvale");
	if (!appender || !category)
		return ERR_INTERNAL;
	log4c_appender_set_type(appender, type);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, log4c_priority(level));
	return 0;
}

int event_open(const char *program, event_level_t level)
{
	return open_appender(program, level, &stderr_appender);
}

int event_open_stdout(const char *program, event_level_t level)
{
	log_line_open();
	return open_appender(program, level, &stdout_appender);
}

static const event_info_t *find_event(event_id_t id)
{
	for (size_t i = 0; i < CATALOGUE_COUNT; i++) {
		if (catalogue[i].id == id)
			return &catalogue[i];
	}
	return NULL;
}

static void replace_control_characters(char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < 0x20 || *text == 0x7f)
			*text = '?';
	}
}

void event_log(event_id_t id, const char *fmt, ...)
{
	const event_info_t *info = find_event(id);
	char text[EVENT_TEXT_MAX_BYTES] = "";
	va_list args;

	if (!category || !info)
		return;
	if (!log4c_category_is_priority_enabled(category,
						log4c_priority(info->level)))
		return;
	if (fmt) {
		va_start(args, fmt);
		vsnprintf(text, sizeof(text), fmt, args);
		va_end(args);
		replace_control_characters(text);
	}
	log4c_category_log(category, log4c_priority(info->level),
			   "event=%d name=%s%s%s", (int)id, info->name,
			   *text ? " " : "", text);
}
