/*
 * Fuzzes what peers send of a document. Guards against a piece that writes
 * beyond its transfer, and against a patch that is taken for another version.
 */
#include <string.h>

#include "process/document.h"
#include "t/lib/fuzz.h"

/* The bytes as a piece with its header. */
static void add_piece(const uint8_t *data, size_t size)
{
	document_transfer_t transfer = { 0 };
	document_history_t history = { 0 };
	const document_version_t *version;
	uint64_t target;

	if (document_transfer_add(&transfer, (const char *)data, size) == 1) {
		target = transfer.patch.target;
		version = document_transfer_finish(&transfer, &history);
		FUZZ_CHECK(!version || version->digest == target);
	}
	FUZZ_CHECK(transfer.received <= transfer.patch.len);
	document_transfer_clear(&transfer);
	document_history_free(&history);
}

/* The bytes as a patch from a version that the receiver has. */
static void add_patch(const uint8_t *data, size_t size)
{
	document_history_t history = { 0 };
	document_transfer_t transfer = { 0 };
	document_patch_t patch = { .target = 1,
				   .text_bytes = size,
				   .bytes = (char *)data,
				   .len = size };
	size_t len = 0;
	char *piece;
	int result = 0;

	FUZZ_CHECK(
		!document_history_add(&history, strdup("{\"routes\":[]}"), 13));
	patch.base = document_history_newest(&history);
	while (!result) {
		piece = document_piece_encode(&patch, transfer.received, &len);
		FUZZ_CHECK(piece);
		result = document_transfer_add(&transfer, piece, len);
		free(piece);
	}
	FUZZ_CHECK(result == 1);
	FUZZ_CHECK(!document_transfer_finish(&transfer, &history));
	document_history_free(&history);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	add_piece(data, size);
	if (size)
		add_patch(data, size);
	return 0;
}
