#include "request/sse_splitter.h"

#include <stdlib.h>
#include <string.h>

#include "process/error.h"

void sse_splitter_free(sse_splitter_t *splitter)
{
	byte_buffer_free(&splitter->event);
	sse_splitter_reset(splitter);
}

void sse_splitter_reset(sse_splitter_t *splitter)
{
	splitter->event.len = 0;
	splitter->scanned = 0;
	splitter->line_start = 0;
}

bool sse_splitter_is_partial(const sse_splitter_t *splitter)
{
	return splitter->event.len > 0;
}

static uint64_t event_id(const char *bytes, size_t len)
{
	size_t pos = 0;

	while (pos < len) {
		const char *end = memchr(bytes + pos, '\n', len - pos);
		size_t line_len = end ? (size_t)(end - bytes) - pos : len - pos;

		if (line_len > 3 && !memcmp(bytes + pos, "id:", 3)) {
			const char *digit = bytes + pos + 3;

			while (*digit == ' ')
				digit++;
			return *digit >= '0' && *digit <= '9'
				       ? strtoull(digit, NULL, 10)
				       : SSE_SPLITTER_NO_ID;
		}
		pos += line_len + 1;
	}
	return SSE_SPLITTER_NO_ID;
}

static bool line_is_empty(const sse_splitter_t *splitter)
{
	size_t len = splitter->scanned - splitter->line_start;

	return len == 0 ||
	       (len == 1 &&
		splitter->event.bytes[splitter->line_start] == '\r');
}

static void emit_event(sse_splitter_t *splitter, size_t event_len,
		       sse_splitter_fn *callback, void *context)
{
	callback(context, event_id(splitter->event.bytes, event_len),
		 splitter->event.bytes, event_len);
	memmove(splitter->event.bytes, splitter->event.bytes + event_len,
		splitter->event.len - event_len);
	splitter->event.len -= event_len;
	splitter->scanned = 0;
	splitter->line_start = 0;
}

int sse_splitter_feed(sse_splitter_t *splitter, const char *bytes, size_t len,
		      sse_splitter_fn *callback, void *context)
{
	int err = byte_buffer_add(&splitter->event, bytes, len);

	if (err)
		return err;
	while (splitter->scanned < splitter->event.len) {
		if (splitter->event.bytes[splitter->scanned] != '\n') {
			splitter->scanned++;
			continue;
		}
		/* An empty line ends an event unless it is its first line. */
		if (line_is_empty(splitter) && splitter->line_start) {
			emit_event(splitter, splitter->scanned + 1, callback,
				   context);
			continue;
		}
		splitter->scanned++;
		splitter->line_start = splitter->scanned;
	}
	return splitter->event.len > SSE_SPLITTER_EVENT_MAX_BYTES
		       ? ERR_ENDPOINT_ANSWER
		       : 0;
}
