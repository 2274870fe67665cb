/*
 * Fuzzes the parser of engines' event streams. Guards against events that
 * depend on how TCP splits the stream, and against events that change when they
 * are serialized and parsed again.
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
	int depth; /**< 1 while a serialized event is parsed again. */
} digest_t;

static int take(void *context, const sse_event_t *event);

/** Serializing and parsing an event must give exactly this event. */
static void check_round_trip(const sse_event_t *event, const digest_t *original)
{
	digest_t reparsed = { .depth = 1 };
	sse_parser_t parser;
	size_t len = 0;
	char *text = sse_format(event, &len);

	FUZZ_CHECK(text);
	sse_parser_init(&parser, 2048, EVENT_MAX_BYTES, take, &reparsed);
	FUZZ_CHECK(!sse_parser_feed(&parser, text, len));
	FUZZ_CHECK(reparsed.count == 1 && reparsed.key == original->key);
	sse_parser_free(&parser);
	free(text);
}

static int take(void *context, const sse_event_t *event)
{
	digest_t *digest = context;
	digest_t single = { 0 };

	FUZZ_CHECK(event->data_len <= EVENT_MAX_BYTES);
	FUZZ_CHECK(event->data[event->data_len] == '\0');
	single.key = hash_chain(0, event->event, strlen(event->event));
	single.key = hash_chain(single.key, event->id, strlen(event->id));
	single.key = hash_chain(single.key, event->data, event->data_len);
	digest->key = digest->depth || !digest->count
			      ? single.key
			      : hash_chain(digest->key, &single.key,
					   sizeof(single.key));
	digest->count++;
	if (!digest->depth)
		check_round_trip(event, &single);
	return 0;
}

/** Feeds the stream in chunks of `chunk_size` bytes. */
static int parse(const uint8_t *data, size_t size, size_t chunk_size,
		 digest_t *digest)
{
	sse_parser_t parser;
	int err = 0;

	sse_parser_init(&parser, LINE_MAX_BYTES, EVENT_MAX_BYTES, take, digest);
	for (size_t at = 0; at < size && !err; at += chunk_size) {
		size_t len = chunk_size < size - at ? chunk_size : size - at;

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
	for (size_t chunk_size = 1; chunk_size <= 7; chunk_size += 3) {
		digest_t chunked = { 0 };

		FUZZ_CHECK(parse(data, size, chunk_size, &chunked) == err);
		FUZZ_CHECK(chunked.count == whole.count &&
			   chunked.key == whole.key);
	}
	return 0;
}
