#include "connection/http_head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "process/error.h"

const char *http_head_target(const http_head_t *head)
{
	return head->text.len ? head->text.bytes : "";
}

const char *http_head_name(const http_head_t *head, uint32_t index)
{
	return head->text.bytes + head->headers[index].name_offset;
}

const char *http_head_value(const http_head_t *head, uint32_t index)
{
	return head->text.bytes + head->headers[index].value_offset;
}

const char *http_head_find(const http_head_t *head, const char *name)
{
	for (uint32_t i = 0; i < head->header_count; i++) {
		if (!strcasecmp(http_head_name(head, i), name))
			return http_head_value(head, i);
	}
	return NULL;
}

static bool list_contains(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (list && *list) {
		size_t item;

		list += strspn(list, " \t,");
		item = strcspn(list, " \t,");
		if (item == len && !strncasecmp(list, name, len))
			return true;
		list += item;
	}
	return false;
}

bool http_head_is_hop_by_hop(const http_head_t *head, const char *name)
{
	static const char *const hop_by_hop[] = {
		"Connection",	     "Keep-Alive", "Proxy-Connection",
		"Transfer-Encoding", "TE",	   "Trailer",
		"Upgrade",	     "Expect",	   "Content-Length",
	};

	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]);
	     i++) {
		if (!strcasecmp(name, hop_by_hop[i]))
			return true;
	}
	return list_contains(http_head_find(head, "Connection"), name);
}

int http_head_copy(http_head_t *to, const http_head_t *from)
{
	byte_buffer_t text = { 0 };

	if (byte_buffer_add(&text, from->text.bytes, from->text.len))
		return ERR_NO_MEMORY;
	*to = *from;
	to->text = text;
	return 0;
}

void http_head_free(http_head_t *head)
{
	byte_buffer_free(&head->text);
}

static http_reader_t *reader_of(http_parser *parser)
{
	return parser->data;
}

static int fail(http_reader_t *reader, int err)
{
	reader->error = err;
	return 1;
}

static int append(http_reader_t *reader, const char *bytes, size_t len)
{
	http_head_t *head = &reader->head;

	if (head->text.len + len + 1 > reader->head_max_bytes)
		return fail(reader, ERR_HEADER_TOO_LARGE);
	if (byte_buffer_add(&head->text, bytes, len))
		return fail(reader, ERR_NO_MEMORY);
	return 0;
}

static int end_string(http_reader_t *reader)
{
	return append(reader, "", 1);
}

static int on_begin(http_parser *parser)
{
	http_reader_t *reader = reader_of(parser);

	reader->in_message = true;
	reader->in_value = false;
	reader->head.text.len = 0;
	reader->head.header_count = 0;
	return 0;
}

static int on_url(http_parser *parser, const char *bytes, size_t len)
{
	return append(reader_of(parser), bytes, len);
}

static int on_field(http_parser *parser, const char *bytes, size_t len)
{
	http_reader_t *reader = reader_of(parser);
	http_head_t *head = &reader->head;

	for (size_t i = 0; i < len; i++) {
		/* http-parser accepts a space in a header name, which other
		 * implementations do not. */
		if (bytes[i] <= ' ' || bytes[i] >= 0x7f)
			return fail(reader, ERR_BAD_FIELD);
	}
	if (reader->in_value || !head->header_count) {
		if (end_string(reader))
			return 1;
		if (head->header_count == HTTP_HEADERS_MAX)
			return fail(reader, ERR_HEADER_TOO_LARGE);
		head->headers[head->header_count].name_offset =
			(uint32_t)head->text.len;
		head->headers[head->header_count].value_offset =
			(uint32_t)head->text.len;
		head->header_count++;
		reader->in_value = false;
	}
	return append(reader, bytes, len);
}

static int on_value(http_parser *parser, const char *bytes, size_t len)
{
	http_reader_t *reader = reader_of(parser);
	http_head_t *head = &reader->head;

	if (!head->header_count)
		return fail(reader, ERR_BAD_FIELD);
	if (!reader->in_value) {
		if (end_string(reader))
			return 1;
		head->headers[head->header_count - 1].value_offset =
			(uint32_t)head->text.len;
		reader->in_value = true;
	}
	for (size_t i = 0; i < len; i++) {
		if (bytes[i] == '\0' || bytes[i] == '\r' || bytes[i] == '\n')
			return fail(reader, ERR_BAD_FIELD);
	}
	return append(reader, bytes, len);
}

/* Repeated Content-Length headers, or one together with Transfer-Encoding, are
 * used for request smuggling. */
static bool framing_is_unambiguous(const http_head_t *head)
{
	uint32_t lengths = 0;
	uint32_t codings = 0;

	for (uint32_t i = 0; i < head->header_count; i++) {
		const char *name = http_head_name(head, i);

		if (!strcasecmp(name, "Content-Length"))
			lengths++;
		if (!strcasecmp(name, "Transfer-Encoding")) {
			codings++;
			if (strcasecmp(http_head_value(head, i), "chunked") !=
			    0)
				return false;
		}
	}
	return lengths + codings <= 1;
}

/* RFC 9110: 100 to 599. http-parser accepts any number up to 999. */
static bool status_is_valid(const http_parser *parser)
{
	return parser->type != HTTP_RESPONSE ||
	       (parser->status_code >= HTTP_STATUS_MIN &&
		parser->status_code <= HTTP_STATUS_MAX);
}

static int on_headers(http_parser *parser)
{
	http_reader_t *reader = reader_of(parser);
	http_head_t *head = &reader->head;

	if (end_string(reader))
		return 1;
	/* A header without a value gets the empty string: the NUL that ends its
	 * name. */
	if (head->header_count && !reader->in_value)
		head->headers[head->header_count - 1].value_offset =
			(uint32_t)head->text.len - 1;
	if (!framing_is_unambiguous(head) || parser->upgrade ||
	    !status_is_valid(parser))
		return fail(reader, ERR_BAD_FIELD);
	head->method = (uint8_t)parser->method;
	head->status = (uint16_t)parser->status_code;
	head->keep_alive = http_should_keep_alive(parser);
	head->content_length = parser->content_length;
	reader->error = reader->callbacks->head(reader->context, head);
	if (reader->error)
		return 3; /* Any value but 0, 1 (no body) and 2 (upgrade). */
	return reader->body_absent ? 1 : 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t len)
{
	http_reader_t *reader = reader_of(parser);

	reader->error = reader->callbacks->body(reader->context, bytes, len);
	return reader->error ? 1 : 0;
}

static int on_complete(http_parser *parser)
{
	http_reader_t *reader = reader_of(parser);

	reader->in_message = false;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_reader_init(http_reader_t *reader, enum http_parser_type type,
		      uint32_t head_max_bytes,
		      const http_reader_callbacks_t *callbacks, void *context)
{
	memset(reader, 0, sizeof(*reader));
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->head_max_bytes = head_max_bytes;
	reader->callbacks = callbacks;
	reader->context = context;
}

void http_reader_free(http_reader_t *reader)
{
	byte_buffer_free(&reader->head.text);
}

/* Whether the status of an answer has a leading zero, which http-parser
 * ignores. */
static bool status_has_zero(http_reader_t *reader, const char *bytes,
			    size_t len)
{
	if (reader->parser.type != HTTP_RESPONSE)
		return false;
	for (size_t i = 0; i < len && !reader->status_begun; i++) {
		reader->status_begun =
			reader->last_byte == ' ' && bytes[i] != ' ';
		reader->last_byte = bytes[i];
	}
	return reader->status_begun && reader->last_byte == '0';
}

int http_reader_feed(http_reader_t *reader, const char *bytes, size_t len,
		     size_t *used)
{
	enum http_errno code;

	*used = 0;
	if (status_has_zero(reader, bytes, len))
		return ERR_BAD_FIELD;
	*used = http_parser_execute(&reader->parser, &parser_settings, bytes,
				    len);
	code = HTTP_PARSER_ERRNO(&reader->parser);
	if (reader->error)
		return reader->error;
	if (code == HPE_PAUSED)
		return reader->callbacks->end(reader->context);
	if (code == HPE_HEADER_OVERFLOW)
		return ERR_HEADER_TOO_LARGE;
	if (code != HPE_OK || reader->parser.upgrade)
		return ERR_BAD_FIELD;
	return 0;
}

int http_reader_finish(http_reader_t *reader)
{
	size_t used;

	return http_reader_feed(reader, NULL, 0, &used);
}

void http_reader_next(http_reader_t *reader)
{
	http_parser_init(&reader->parser, reader->parser.type);
	reader->parser.data = reader;
	reader->in_message = false;
	reader->status_begun = false;
	reader->last_byte = '\0';
	reader->error = 0;
}
