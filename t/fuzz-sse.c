/*
 * Event streams of engines. Guards against events that depend on how TCP cut
 * the stream, and against events that change when they are written again.
 */
#include <string.h>

#include "connection/sse.h"
#include "process/error.h"
#include "process/hash.h"
#include "t/lib/fuzz.h"

enum { LINE_MAX_BYTES = 64, EVENT_MAX_BYTES = 96 };

/** Chained hash over all events of a stream. */
typedef struct digest {
	uint64_t key;
	size_t count;
	int depth; /**< Of writing an event and parsing it again. */
} digest_t;

static int take(void *context, const sse_event_t *event);

/** An event must come back alone and unchanged. */
static void check_again(const sse_event_t *event, const digest_t *first)
{
	digest_t again = { .depth = 1 };
	sse_parser_t parser;
	size_t len = 0;
	char *text = sse_format(event, &len);

	FUZZ_CHECK(text);
	sse_parser_init(&parser, 2048, EVENT_MAX_BYTES, take, &again);
	FUZZ_CHECK(!sse_parser_feed(&parser, text, len));
	FUZZ_CHECK(again.count == 1 && again.key == first->key);
	sse_parser_free(&parser);
	free(text);
}

static int take(void *context, const sse_event_t *event)
{
	digest_t *digest = context;
	digest_t alone = { 0 };

	FUZZ_CHECK(event->data_len <= EVENT_MAX_BYTES);
	FUZZ_CHECK(event->data[event->data_len] == '\0');
	alone.key = hash_chain(0, event->event, strlen(event->event));
	alone.key = hash_chain(alone.key, event->id, strlen(event->id));
	alone.key = hash_chain(alone.key, event->data, event->data_len);
	digest->key = digest->depth || !digest->count
			      ? alone.key
			      : hash_chain(digest->key, &alone.key,
					   sizeof(alone.key));
	digest->count++;
	if (!digest->depth)
		check_again(event, &alone);
	return 0;
}

/** Feeds the stream in pieces. */
static int parse(const uint8_t *data, size_t size, size_t piece,
		 digest_t *digest)
{
	sse_parser_t parser;
	int err = 0;

	sse_parser_init(&parser, LINE_MAX_BYTES, EVENT_MAX_BYTES, take, digest);
	for (size_t at = 0; at < size && !err; at += piece) {
		size_t len = piece < size - at ? piece : size - at;

		err = sse_parser_feed(&parser, (const char *)data + at, len);
	}
	sse_parser_free(&parser);
	return err;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	digest_t whole = { 0 };
	int err = parse(data, size, size, &whole);

	FUZZ_CHECK(!err || err == ERR_ENDPOINT_ANSWER);
	for (size_t piece = 1; piece <= 7; piece += 3) {
		digest_t cut = { 0 };

		FUZZ_CHECK(parse(data, size, piece, &cut) == err);
		FUZZ_CHECK(cut.count == whole.count && cut.key == whole.key);
	}
	return 0;
}
