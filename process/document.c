#include "process/document.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

enum {
	COMPRESSION_LEVEL = 3,
	/** Base-2 logarithm of the distance of matches: twice the largest text,
	 * so that all of the base is in reach. */
	WINDOW_BITS = 23,
};

static uint64_t text_digest(const char *text, size_t len)
{
	uint64_t digest = hash_chain(0, text, len);

	return digest ? digest : 1;
}

static void clear_patch(document_patch_t *patch)
{
	free(patch->bytes);
	memset(patch, 0, sizeof(*patch));
}

void document_history_free(document_history_t *history)
{
	for (int i = 0; i < DOCUMENT_VERSIONS_MAX; i++)
		free(history->versions[i].text);
	for (int i = 0; i < DOCUMENT_PATCHES_MAX; i++)
		clear_patch(&history->patches[i]);
	memset(history, 0, sizeof(*history));
}

int document_history_add(document_history_t *history, char *text, size_t len)
{
	uint64_t digest = text_digest(text, len);
	bool known = digest == document_history_newest(history);
	document_version_t *version =
		&history->versions[history->versions_added %
				   DOCUMENT_VERSIONS_MAX];

	if (known || len > DOCUMENT_MAX_BYTES) {
		free(text);
		return known ? 0 : ERR_LIMIT;
	}
	free(version->text);
	*version = (document_version_t){ digest, text, len };
	history->versions_added++;
	return 0;
}

static const document_version_t *
newest_version(const document_history_t *history)
{
	return history->versions_added
		       ? &history->versions[(history->versions_added - 1) %
					    DOCUMENT_VERSIONS_MAX]
		       : NULL;
}

uint64_t document_history_newest(const document_history_t *history)
{
	const document_version_t *newest = newest_version(history);

	return newest ? newest->digest : 0;
}

static const document_version_t *find_version(const document_history_t *history,
					      uint64_t digest)
{
	for (int i = 0; digest && i < DOCUMENT_VERSIONS_MAX; i++) {
		if (history->versions[i].digest == digest)
			return &history->versions[i];
	}
	return NULL;
}

static int compress_text(ZSTD_CCtx *context, const document_version_t *target,
			 const char *dictionary, size_t dictionary_len,
			 document_patch_t *patch)
{
	size_t size = ZSTD_compressBound(target->len);
	size_t len;

	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel,
			       COMPRESSION_LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, WINDOW_BITS);
	ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
	ZSTD_CCtx_refPrefix(context, dictionary, dictionary_len);
	patch->bytes = malloc(size);
	if (!patch->bytes)
		return ERR_NO_MEMORY;
	len = ZSTD_compress2(context, patch->bytes, size, target->text,
			     target->len);
	if (ZSTD_isError(len))
		return ERR_NO_MEMORY;
	patch->len = len;
	return 0;
}

static int make_patch(const document_version_t *target,
		      const document_version_t *base, document_patch_t *patch)
{
	ZSTD_CCtx *context = ZSTD_createCCtx();
	size_t dictionary_len = base ? base->len : 0;
	/* A copy, as zstd uses no dictionary that overlaps the text. */
	char *dictionary = malloc(dictionary_len + 1);
	int err = ERR_NO_MEMORY;

	*patch = (document_patch_t){ .target = target->digest,
				     .base = base ? base->digest : 0,
				     .text_bytes = target->len };
	if (context && dictionary) {
		if (base)
			memcpy(dictionary, base->text, dictionary_len);
		err = compress_text(context, target, dictionary, dictionary_len,
				    patch);
	}
	ZSTD_freeCCtx(context);
	free(dictionary);
	if (err)
		clear_patch(patch);
	return err;
}

static const document_patch_t *find_patch(const document_history_t *history,
					  uint64_t target, uint64_t base)
{
	for (int i = 0; i < DOCUMENT_PATCHES_MAX; i++) {
		const document_patch_t *patch = &history->patches[i];

		if (patch->bytes && patch->target == target &&
		    patch->base == base)
			return patch;
	}
	return NULL;
}

const document_patch_t *document_history_patch(document_history_t *history,
					       uint64_t target, uint64_t base)
{
	const document_version_t *version =
		target ? find_version(history, target)
		       : newest_version(history);
	const document_version_t *base_version = find_version(history, base);
	const document_patch_t *found;
	document_patch_t *patch;

	if (!version)
		return NULL;
	found = find_patch(history, version->digest,
			   base_version ? base_version->digest : 0);
	if (found)
		return found;
	patch = &history->patches[history->patches_added %
				  DOCUMENT_PATCHES_MAX];
	clear_patch(patch);
	if (make_patch(version, base_version, patch))
		return NULL;
	history->patches_added++;
	return patch;
}

char *document_piece_encode(const document_patch_t *patch, size_t offset,
			    size_t *len)
{
	CLEANUP_FREE char *header = NULL;
	CLEANUP_JSON json_t *fields = NULL;
	size_t header_len;
	size_t part;
	char *piece;

	if (offset >= patch->len)
		return NULL;
	fields = json_pack(
		"{s:I,s:I,s:I,s:I,s:I}", "target", (json_int_t)patch->target,
		"base", (json_int_t)patch->base, "text",
		(json_int_t)patch->text_bytes, "patch", (json_int_t)patch->len,
		"offset", (json_int_t)offset);
	header = fields ? json_dumps(fields, JSON_COMPACT) : NULL;
	if (!header)
		return NULL;
	header_len = strlen(header);
	part = patch->len - offset;
	if (part > DOCUMENT_PIECE_BYTES)
		part = DOCUMENT_PIECE_BYTES;
	piece = malloc(header_len + part);
	if (!piece)
		return NULL;
	memcpy(piece, header, header_len);
	memcpy(piece + header_len, patch->bytes + offset, part);
	*len = header_len + part;
	return piece;
}

static uint64_t field(const json_t *fields, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(fields, name));
}

static int begin_transfer(document_transfer_t *transfer, const json_t *fields)
{
	document_patch_t patch = {
		.target = field(fields, "target"),
		.base = field(fields, "base"),
		.text_bytes = field(fields, "text"),
		.len = field(fields, "patch"),
	};

	if (!patch.target || !patch.len)
		return ERR_BAD_FIELD;
	if (patch.text_bytes > DOCUMENT_MAX_BYTES ||
	    patch.len > ZSTD_compressBound(DOCUMENT_MAX_BYTES))
		return ERR_LIMIT;
	patch.bytes = malloc(patch.len);
	if (!patch.bytes)
		return ERR_NO_MEMORY;
	transfer->patch = patch;
	transfer->received = 0;
	return 0;
}

static bool continues(const document_transfer_t *transfer, const json_t *fields,
		      size_t len)
{
	const document_patch_t *patch = &transfer->patch;

	return field(fields, "target") == patch->target &&
	       field(fields, "base") == patch->base &&
	       field(fields, "text") == patch->text_bytes &&
	       field(fields, "patch") == patch->len &&
	       field(fields, "offset") == transfer->received && len &&
	       len <= patch->len - transfer->received;
}

int document_transfer_add(document_transfer_t *transfer, const char *bytes,
			  size_t len)
{
	json_error_t end;
	CLEANUP_JSON json_t *fields =
		json_loadb(bytes, len, JSON_DISABLE_EOF_CHECK, &end);
	size_t header_len = fields ? (size_t)end.position : len;
	int err = 0;

	if (!transfer->patch.target)
		err = begin_transfer(transfer, fields);
	if (err)
		return err;
	bytes += header_len;
	len -= header_len;
	if (!continues(transfer, fields, len))
		return ERR_BAD_FIELD;
	memcpy(transfer->patch.bytes + transfer->received, bytes, len);
	transfer->received += len;
	return transfer->received == transfer->patch.len;
}

/* Returns the text of a patch, or NULL if it is invalid. */
static char *apply_patch(const document_patch_t *patch,
			 const document_version_t *base)
{
	ZSTD_DCtx *context = ZSTD_createDCtx();
	char *text = malloc(patch->text_bytes + 1);
	size_t len = 0;

	if (context && text) {
		if (base)
			ZSTD_DCtx_refPrefix(context, base->text, base->len);
		len = ZSTD_decompressDCtx(context, text, patch->text_bytes,
					  patch->bytes, patch->len);
	}
	ZSTD_freeDCtx(context);
	if (!text || len != patch->text_bytes ||
	    text_digest(text, len) != patch->target) {
		free(text);
		return NULL;
	}
	return text;
}

const document_version_t *
document_transfer_finish(document_transfer_t *transfer,
			 document_history_t *history)
{
	const document_patch_t *patch = &transfer->patch;
	const document_version_t *base = find_version(history, patch->base);
	size_t len = patch->text_bytes;
	char *text = NULL;

	if (base || !patch->base)
		text = apply_patch(patch, base);
	document_transfer_clear(transfer);
	if (!text || document_history_add(history, text, len))
		return NULL;
	return newest_version(history);
}

void document_transfer_clear(document_transfer_t *transfer)
{
	clear_patch(&transfer->patch);
	transfer->received = 0;
}
