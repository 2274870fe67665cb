/* Server-sent events: parsing and serialization. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "connection/sse.h"
#include "process/error.h"

enum {
	LINE_MAX_BYTES = 32,
	EVENT_MAX_BYTES = 64,
};

static int collect(void *context, const sse_event_t *event)
{
	GString *collected = context;

	if (!strcmp(event->data, "stop"))
		return ERR_CANCELLED;
	g_assert_cmpuint(strlen(event->data), ==, event->data_len);
	g_string_append_printf(collected, "[%s|%s|%s]", event->event, event->id,
			       event->data);
	return 0;
}

typedef struct parse_case {
	const char *input;
	const char *events;
	int result;
} parse_case_t;

static const parse_case_t parse_cases[] = {
	{ "data: a\n\n", "[||a]", 0 },
	{ "data:a\n\n", "[||a]", 0 },
	{ "data:  a\n\n", "[|| a]", 0 },
	{ "data\n\n", "[||]", 0 },
	{ "id: 7\nevent: error\ndata: x\n\n", "[error|7|x]", 0 },
	{ "data: a\ndata: b\n\n", "[||a\nb]", 0 },
	{ "data: a\r\n\r\ndata: b\r\n\r\n", "[||a][||b]", 0 },
	{ "data: a\r\rdata: b\r\r", "[||a][||b]", 0 },
	{ "\xef\xbb\xbf"
	  "data: a\n\n",
	  "[||a]", 0 },
	{ ": comment\n\ndata: a\n\n", "[||a]", 0 },
	{ "retry: 5\nunknown: x\ndata: a\n\n", "[||a]", 0 },
	/* An id belongs to its own event only, not to later ones. */
	{ "id: 1\ndata: a\n\ndata: b\n\n", "[|1|a][||b]", 0 },
	{ "id: 1\n\ndata: b\n\n", "[||b]", 0 },
	/* The end of the input does not complete an event. */
	{ "data: a\n", "", 0 },
	{ "data: a\n\ndata: b", "[||a]", 0 },
	{ "data: 0123456789012345678901234567890\n\n", "",
	  ERR_ENDPOINT_ANSWER },
	{ "data: 0123456789012345678901234\ndata: 0123456789012345678901234\n"
	  "data: 0123456789012345678901234\n\n",
	  "", ERR_ENDPOINT_ANSWER },
	{ "data: a\n\ndata: stop\n\ndata: b\n\n", "[||a]", ERR_CANCELLED },
};

/* Feeds an input in chunks, as it may arrive from the network. */
static int parse(const char *input, size_t chunk_size, GString *collected)
{
	sse_parser_t parser;
	size_t len = strlen(input);
	int err = 0;

	sse_parser_init(&parser, LINE_MAX_BYTES, EVENT_MAX_BYTES, collect,
			collected);
	for (size_t at = 0; at < len && !err; at += chunk_size)
		err = sse_parser_feed(&parser, input + at,
				      MIN(chunk_size, len - at));
	sse_parser_free(&parser);
	return err;
}

/* However the input is split into chunks, no event may be lost or repeated. */
static void test_parse(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(parse_cases); i++) {
		const parse_case_t *c = &parse_cases[i];

		for (size_t chunk_size = 1; chunk_size <= strlen(c->input);
		     chunk_size++) {
			g_autoptr(GString) collected = g_string_new(NULL);

			g_assert_cmpint(parse(c->input, chunk_size, collected),
					==, c->result);
			g_assert_cmpstr(collected->str, ==, c->events);
		}
	}
}

/* A serialized event must be parsed back unchanged, including line breaks. */
static void test_round_trip(void)
{
	static const char *const texts[] = {
		"", "a", "a\nb", "\n", "\n\n", " a", "{\"x\":\"\xc3\xa9\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		sse_event_t event = { .event = "e",
				      .id = "9",
				      .data = texts[i],
				      .data_len = strlen(texts[i]) };
		g_autoptr(GString) collected = g_string_new(NULL);
		g_autofree char *expected =
			g_strdup_printf("[e|9|%s]", texts[i]);
		size_t len = 0;
		char *text = sse_format(&event, &len);

		g_assert_nonnull(text);
		g_assert_cmpuint(len, ==, strlen(text));
		g_assert_cmpint(parse(text, 3, collected), ==, 0);
		g_assert_cmpstr(collected->str, ==, expected);
		free(text);
	}
}

/* A line break in an id or event name could inject fields or events. */
static void test_writer_refuses_line_breaks(void)
{
	sse_event_t event = { .id = "1\ndata: x", .data = "", .data_len = 0 };
	size_t len;

	g_assert_null(sse_format(&event, &len));
	event.id = "";
	event.event = "a\rb";
	g_assert_null(sse_format(&event, &len));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sse/parse", test_parse);
	g_test_add_func("/sse/round-trip", test_round_trip);
	g_test_add_func("/sse/line-breaks", test_writer_refuses_line_breaks);
	return g_test_run();
}
