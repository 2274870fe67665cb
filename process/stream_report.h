/**
 * @file
 * Stream report: datagram in which an instance tells the writer of its failure
 * domain which streams have begun and ended. Encoded as XDR.
 */
#ifndef PROCESS_STREAM_REPORT_H
#define PROCESS_STREAM_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Largest datagram, bytes: fits one packet without fragmentation. */
	STREAM_REPORT_MAX_BYTES = 1400,
	STREAM_REPORT_ROWS_MAX = 80,
};

typedef struct stream_report_row {
	uint64_t id;
	uint32_t software;
	uint32_t remaining_ms; /**< 0: the stream has ended. */
} stream_report_row_t;

typedef struct stream_report {
	uint64_t incarnation; /**< Of the sender. */
	uint32_t row_count;
	stream_report_row_t rows[STREAM_REPORT_ROWS_MAX];
} stream_report_t;

/** Whether a datagram is a stream report, by its first number. */
bool stream_report_is_one(const char *bytes, size_t len);

/** @return the encoded length in bytes, or ERR_LIMIT */
int stream_report_encode(const stream_report_t *report, char *bytes,
			 size_t size);

/**
 * Rows with the id 0, and rows of streams that go on with the version 0, are
 * left out.
 * @return 0 or ERR_BAD_FIELD
 */
int stream_report_decode(stream_report_t *report, char *bytes, size_t len);

#endif
