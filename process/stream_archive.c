#include "process/stream_archive.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "process/error.h"

enum {
	/** Row in the object: id, version, remaining time, all big endian. */
	PACKED_BYTES = 14,
	/** Unit of a remaining time in the object, ms. */
	REMAINING_UNIT_MS = 10,
};

void stream_archive_free(stream_archive_t *archive)
{
	stream_table_free(&archive->streams);
	memset(archive, 0, sizeof(*archive));
}

static void set_archived(stream_table_t *streams, const stream_row_t *row,
			 bool archived)
{
	streams->rows[row - streams->rows].archived = archived;
}

static void set_all_archived(stream_table_t *streams, bool archived)
{
	for (size_t i = 0; i < streams->count; i++)
		streams->rows[i].archived = archived;
}

static bool lacks_rows(const stream_table_t *streams)
{
	for (size_t i = 0; i < streams->count; i++) {
		if (!streams->rows[i].archived)
			return true;
	}
	return false;
}

void stream_archive_put(stream_archive_t *archive, const stream_row_t *row)
{
	stream_row_t copy = *row;

	copy.archived = false;
	if (stream_table_put(&archive->streams, &copy))
		archive->added = true;
}

void stream_archive_remove(stream_archive_t *archive, uint64_t id)
{
	const stream_row_t *row = stream_table_find(&archive->streams, id, 0);

	if (row && row->archived)
		archive->removed = true;
	stream_table_remove(&archive->streams, id);
}

static void expire(stream_archive_t *archive, uint64_t now_ms)
{
	const stream_table_t *streams = &archive->streams;

	while (streams->count && streams->rows[0].expires_ms <= now_ms) {
		if (streams->rows[0].archived)
			archive->removed = true;
		stream_table_remove(&archive->streams, streams->rows[0].id);
	}
	stream_table_expire(&archive->streams, now_ms);
}

static bool has_passed(const stream_archive_t *archive, uint64_t pause_ms,
		       uint64_t now_ms)
{
	return !archive->written_ms || now_ms - archive->written_ms >= pause_ms;
}

static bool is_write_due(stream_archive_t *archive, uint64_t now_ms)
{
	if (!has_passed(archive, STREAM_ARCHIVE_INTERVAL_MS, now_ms))
		return false;
	/* Streams that were added may have ended before they were written. */
	if (archive->added)
		archive->added = lacks_rows(&archive->streams);
	return archive->added ||
	       (archive->removed &&
		has_passed(archive, STREAM_ARCHIVE_CLEAN_MS, now_ms));
}

stream_archive_action_t stream_archive_step(stream_archive_t *archive,
					    bool writer, uint64_t now_ms)
{
	expire(archive, now_ms);
	if (!writer)
		archive->loaded = false;
	if (!writer || archive->calling || now_ms < archive->retry_ms ||
	    (!archive->streams.count && !archive->removed))
		return STREAM_ARCHIVE_NONE;
	if (!archive->loaded) {
		archive->calling = true;
		return STREAM_ARCHIVE_READ;
	}
	if (!is_write_due(archive, now_ms))
		return STREAM_ARCHIVE_NONE;
	/* From now on the object may have them, whatever the result. */
	set_all_archived(&archive->streams, true);
	archive->added = false;
	archive->removed = false;
	archive->calling = true;
	return STREAM_ARCHIVE_WRITE;
}

/* Adds a row of the object, unless instances have reported the stream: their
 * row has the exact expiry. */
static void merge_row(stream_archive_t *archive, const stream_row_t *read,
		      uint64_t now_ms)
{
	const stream_row_t *own =
		stream_table_find(&archive->streams, read->id, now_ms);
	stream_row_t row = *read;

	if (read->expires_ms <= now_ms) {
		archive->removed = true;
		return;
	}
	if (own) {
		if (own->software == read->software)
			set_archived(&archive->streams, own, true);
		return;
	}
	row.archived = true;
	stream_table_put(&archive->streams, &row);
}

void stream_archive_on_read(stream_archive_t *archive, int err,
			    uint64_t revision, const stream_table_t *read,
			    uint64_t now_ms)
{
	archive->calling = false;
	if (err && err != ERR_NOT_FOUND && !(err == ERR_BAD_JSON && revision)) {
		archive->retry_ms = now_ms + STREAM_ARCHIVE_RETRY_MS;
		return;
	}
	expire(archive, now_ms);
	set_all_archived(&archive->streams, false);
	archive->loaded = true;
	archive->revision = err == ERR_NOT_FOUND ? 0 : revision;
	archive->removed = false;
	for (size_t i = 0; !err && i < read->count; i++)
		merge_row(archive, &read->rows[i], now_ms);
	archive->added = lacks_rows(&archive->streams);
}

/* The object may now have the streams of the last write or not. */
static void forget_write(stream_archive_t *archive)
{
	set_all_archived(&archive->streams, false);
	archive->added = archive->streams.count;
	archive->removed = true;
}

void stream_archive_on_written(stream_archive_t *archive, int err,
			       uint64_t revision, uint64_t now_ms)
{
	archive->calling = false;
	archive->written_ms = now_ms;
	switch (err) {
	case 0:
		archive->revision = revision;
		return;
	case ERR_STORE_CONDITION:
		/* Another instance has written; read that first. */
		forget_write(archive);
		archive->loaded = false;
		return;
	case ERR_NOT_FOUND:
		forget_write(archive);
		archive->removed = false;
		archive->revision = 0;
		return;
	default:
		forget_write(archive);
		if (!archive->revision)
			archive->loaded = false;
		archive->retry_ms = now_ms + STREAM_ARCHIVE_RETRY_MS;
		return;
	}
}

static void pack_number(unsigned char *bytes, size_t size, uint64_t number)
{
	for (size_t i = size; i-- > 0; number >>= 8)
		bytes[i] = (unsigned char)number;
}

static uint64_t unpack_number(const unsigned char *bytes, size_t size)
{
	uint64_t number = 0;

	for (size_t i = 0; i < size; i++)
		number = number << 8 | bytes[i];
	return number;
}

/* Rounds up: a row that has not expired has a remaining time. */
static uint64_t remaining_units(const stream_row_t *row, uint64_t now_ms)
{
	uint64_t remaining_ms = row->expires_ms - now_ms;
	uint64_t units = remaining_ms / REMAINING_UNIT_MS +
			 (remaining_ms % REMAINING_UNIT_MS != 0);

	return units < UINT16_MAX ? units : UINT16_MAX;
}

static void pack_row(unsigned char bytes[PACKED_BYTES], const stream_row_t *row,
		     uint64_t now_ms)
{
	pack_number(bytes, 8, row->id);
	pack_number(bytes + 8, 4, row->software);
	pack_number(bytes + 12, 2, remaining_units(row, now_ms));
}

static stream_row_t unpack_row(const unsigned char bytes[PACKED_BYTES],
			       uint64_t now_ms)
{
	return (stream_row_t){
		.id = unpack_number(bytes, 8),
		.software = (uint32_t)unpack_number(bytes + 8, 4),
		.expires_ms = now_ms +
			      unpack_number(bytes + 12, 2) * REMAINING_UNIT_MS,
	};
}

static size_t pack_rows(unsigned char *packed, const stream_table_t *streams,
			uint64_t now_ms)
{
	size_t len = 0;

	for (size_t i = 0; i < streams->count; i++) {
		if (streams->rows[i].expires_ms <= now_ms)
			continue;
		pack_row(packed + len, &streams->rows[i], now_ms);
		len += PACKED_BYTES;
	}
	return len;
}

static json_t *encode_base64(const unsigned char *packed, size_t len)
{
	size_t size =
		sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);
	json_t *value;

	if (!text)
		return NULL;
	sodium_bin2base64(text, size, packed, len,
			  sodium_base64_VARIANT_ORIGINAL);
	value = json_string(text);
	free(text);
	return value;
}

json_t *stream_archive_to_json(const stream_table_t *streams, uint64_t now_ms)
{
	unsigned char *packed = malloc(streams->count * PACKED_BYTES + 1);
	json_t *text;

	if (!packed)
		return NULL;
	text = encode_base64(packed, pack_rows(packed, streams, now_ms));
	free(packed);
	return json_pack("{s:o}", "streams", text);
}

static void unpack_rows(const unsigned char *packed, size_t len,
			uint64_t now_ms, stream_table_t *streams)
{
	for (size_t i = 0; i < len; i += PACKED_BYTES) {
		stream_row_t row = unpack_row(packed + i, now_ms);

		if (row.expires_ms > now_ms)
			stream_table_put(streams, &row);
	}
}

int stream_archive_from_json(const json_t *value, uint64_t now_ms,
			     stream_table_t *streams)
{
	const json_t *text = json_object_get(value, "streams");
	size_t size = json_string_length(text) / 4 * 3 + 1;
	unsigned char *packed;
	size_t len;
	int err = ERR_BAD_JSON;

	if (!json_is_string(text))
		return ERR_BAD_JSON;
	packed = malloc(size);
	if (!packed)
		return ERR_NO_MEMORY;
	if (!sodium_base642bin(packed, size, json_string_value(text),
			       json_string_length(text), NULL, &len, NULL,
			       sodium_base64_VARIANT_ORIGINAL) &&
	    len % PACKED_BYTES == 0) {
		unpack_rows(packed, len, now_ms, streams);
		err = 0;
	}
	free(packed);
	return err;
}
