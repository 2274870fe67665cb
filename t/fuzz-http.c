/*
 * Fuzzes the parser of HTTP requests and answers. Guards against results that
 * depend on how TCP splits the input, and against reads out of bounds.
 */
#include <string.h>

#include "connection/http_head.h"
#include "platform/platform_request.h"
#include "process/error.h"
#include "process/hash.h"
#include "t/lib/fuzz.h"

enum { HEAD_MAX_BYTES = 2048 };

/** Chained hash over everything that a reader reported. */
typedef struct digest {
	uint64_t key;
	uint32_t messages;
} digest_t;

static int take_head(void *context, http_head_t *head)
{
	digest_t *digest = context;
	request_headers_t request;
	answer_headers_t answer;

	for (uint32_t i = 0; i < head->header_count; i++) {
		const char *name = http_head_name(head, i);
		const char *value = http_head_value(head, i);

		FUZZ_CHECK(!strpbrk(name, " \r\n") && !strpbrk(value, "\r\n"));
		digest->key = hash_chain(digest->key, name, strlen(name) + 1);
		digest->key = hash_chain(digest->key, value, strlen(value) + 1);
	}
	platform_read_request(head, &request);
	platform_read_answer(head, &answer);
	FUZZ_CHECK(request.part_count <= REQUEST_PARTS_MAX);
	return 0;
}

static int take_body(void *context, const char *bytes, size_t len)
{
	digest_t *digest = context;

	for (size_t i = 0; i < len; i++)
		digest->key = hash_chain(digest->key, bytes + i, 1);
	return 0;
}

static int take_end(void *context)
{
	((digest_t *)context)->messages++;
	return 1;
}

static const http_reader_callbacks_t callbacks = {
	.head = take_head,
	.body = take_body,
	.end = take_end,
};

/* Feeds messages in chunks of `chunk_size` bytes. Returns 0 or the error that
 * ended parsing. */
static int read_all(enum http_parser_type type, const char *bytes, size_t len,
		    size_t chunk_size, digest_t *digest)
{
	http_reader_t reader;
	int err = 0;

	memset(digest, 0, sizeof(*digest));
	http_reader_init(&reader, type, HEAD_MAX_BYTES, &callbacks, digest);
	while (len && err >= 0) {
		size_t chunk = len < chunk_size ? len : chunk_size;
		size_t used = 0;

		err = http_reader_feed(&reader, bytes, chunk, &used);
		FUZZ_CHECK(used <= chunk);
		if (err == 1)
			http_reader_next(&reader);
		else if (!err)
			FUZZ_CHECK(used == chunk);
		bytes += used;
		len -= used;
	}
	http_reader_free(&reader);
	return err < 0 ? err : 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum http_parser_type type;
	digest_t whole;
	digest_t chunked;
	int err;

	if (!size)
		return 0;
	type = data[0] & 1 ? HTTP_RESPONSE : HTTP_REQUEST;
	err = read_all(type, (const char *)data + 1, size - 1, size, &whole);
	FUZZ_CHECK(err == read_all(type, (const char *)data + 1, size - 1, 1,
				   &chunked));
	FUZZ_CHECK(err || (whole.key == chunked.key &&
			   whole.messages == chunked.messages));
	return 0;
}
