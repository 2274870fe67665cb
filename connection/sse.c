#include "connection/sse.h"

#include <stdlib.h>
#include <string.h>

#include "process/error.h"

static int append_limited(byte_buffer_t *buffer, const char *bytes, size_t len,
			  size_t max)
{
	return buffer->len + len > max ? ERR_ENDPOINT_ANSWER
				       : byte_buffer_add(buffer, bytes, len);
}

void sse_parser_init(sse_parser_t *parser, size_t line_max, size_t event_max,
		     sse_event_fn *on_event, void *context)
{
	*parser = (sse_parser_t){
		.line_max = line_max,
		.data_max = event_max,
		.on_event = on_event,
		.context = context,
	};
}

void sse_parser_free(sse_parser_t *parser)
{
	byte_buffer_free(&parser->line);
	byte_buffer_free(&parser->data);
}

static int copy_field(char field[SSE_FIELD_MAX_BYTES], const char *value,
		      size_t len)
{
	if (len >= SSE_FIELD_MAX_BYTES || memchr(value, '\0', len))
		return ERR_ENDPOINT_ANSWER;
	memcpy(field, value, len);
	field[len] = '\0';
	return 0;
}

static int add_data(sse_parser_t *parser, const char *value, size_t len)
{
	int err = 0;

	if (parser->has_data)
		err = append_limited(&parser->data, "\n", 1, parser->data_max);
	parser->has_data = true;
	return err ? err
		   : append_limited(&parser->data, value, len,
				    parser->data_max);
}

static int end_event(sse_parser_t *parser)
{
	int err = 0;

	if (parser->has_data) {
		sse_event_t event = {
			.event = parser->event,
			.id = parser->id,
			.data = parser->data.bytes,
			.data_len = parser->data.len,
		};

		err = parser->on_event(parser->context, &event);
	}
	parser->data.len = 0;
	parser->has_data = false;
	parser->event[0] = '\0';
	parser->id[0] = '\0';
	return err < 0 ? err : 0;
}

static bool name_is(const char *line, size_t len, const char *name)
{
	return len == strlen(name) && !memcmp(line, name, len);
}

static int end_line(sse_parser_t *parser)
{
	const char *line = parser->line.bytes;
	size_t len = parser->line.len;
	const char *colon;
	const char *value;
	size_t name_len;
	size_t value_len;

	if (!parser->first_line_done && len >= 3 &&
	    !memcmp(line, "\xef\xbb\xbf", 3)) {
		line += 3;
		len -= 3;
	}
	parser->first_line_done = true;
	if (!len)
		return end_event(parser);
	colon = memchr(line, ':', len);
	name_len = colon ? (size_t)(colon - line) : len;
	value = line + name_len + (colon ? 1 : 0);
	value_len = (size_t)(line + len - value);
	if (value_len && *value == ' ') {
		value++;
		value_len--;
	}
	if (name_is(line, name_len, "data"))
		return add_data(parser, value, value_len);
	if (name_is(line, name_len, "event"))
		return copy_field(parser->event, value, value_len);
	if (name_is(line, name_len, "id"))
		return copy_field(parser->id, value, value_len);
	return 0; /* Comments and unknown fields are ignored. */
}

int sse_parser_feed(sse_parser_t *parser, const char *bytes, size_t len)
{
	const char *end = bytes + len;

	while (bytes < end) {
		const char *at = bytes;
		int err;

		if (parser->last_was_cr && *at == '\n') {
			parser->last_was_cr = false;
			bytes++;
			continue;
		}
		parser->last_was_cr = false;
		while (at < end && *at != '\n' && *at != '\r')
			at++;
		err = append_limited(&parser->line, bytes, (size_t)(at - bytes),
				     parser->line_max);
		if (err)
			return err;
		if (at == end)
			return 0;
		parser->last_was_cr = *at == '\r';
		bytes = at + 1;
		err = end_line(parser);
		parser->line.len = 0;
		if (err)
			return err;
	}
	return 0;
}

static char *put_bytes(char *to, const char *text, size_t len)
{
	memcpy(to, text, len);
	return to + len;
}

static char *put_field(char *to, const char *name, const char *value)
{
	if (!value || !*value)
		return to;
	to = put_bytes(to, name, strlen(name));
	to = put_bytes(to, value, strlen(value));
	return put_bytes(to, "\n", 1);
}

static bool has_line_break(const char *text)
{
	return text && text[strcspn(text, "\r\n")] != '\0';
}

/* Starts a new `data` line after each LF, CR LF and CR: a parser treats each of
 * them as the end of a line. */
static char *put_data(char *to, const char *data, size_t len)
{
	const char *end = data + len;

	to = put_bytes(to, "data: ", 6);
	for (; data < end; data++) {
		if (*data == '\r' && data + 1 < end && data[1] == '\n')
			continue;
		if (*data == '\n' || *data == '\r')
			to = put_bytes(to, "\ndata: ", 7);
		else
			*to++ = *data;
	}
	return put_bytes(to, "\n", 1);
}

char *sse_format(const sse_event_t *event, size_t *len)
{
	size_t lines = 1;
	size_t size = 64;
	char *text;
	char *to;

	if (has_line_break(event->event) || has_line_break(event->id))
		return NULL;
	for (size_t i = 0; i < event->data_len; i++)
		lines += event->data[i] == '\n' || event->data[i] == '\r';
	size += event->data_len + lines * 7;
	size += event->event ? strlen(event->event) : 0;
	size += event->id ? strlen(event->id) : 0;
	text = malloc(size);
	if (!text)
		return NULL;
	to = put_field(text, "event: ", event->event);
	to = put_field(to, "id: ", event->id);
	to = put_data(to, event->data, event->data_len);
	*to++ = '\n';
	*to = '\0';
	*len = (size_t)(to - text);
	return text;
}
