#include "process/stream_report.h"

#include <rpc/rpc.h>
#include <string.h>

#include "process/error.h"

/** First number of each datagram; the last byte is the format version. */
#define REPORT_MAGIC 0x616d7601U

enum {
	HEADER_BYTES = 16,
	ROW_BYTES = 16,
};

_Static_assert(HEADER_BYTES + STREAM_REPORT_ROWS_MAX * ROW_BYTES <=
		       STREAM_REPORT_MAX_BYTES,
	       "a report with all rows fits");

static bool convert_magic(XDR *xdr)
{
	uint32_t magic = REPORT_MAGIC;

	return xdr_uint32_t(xdr, &magic) && magic == REPORT_MAGIC;
}

static bool convert_row(XDR *xdr, stream_report_row_t *row)
{
	return xdr_uint64_t(xdr, &row->id) &&
	       xdr_uint32_t(xdr, &row->software) &&
	       xdr_uint32_t(xdr, &row->remaining_ms);
}

/* Encodes or decodes, depending on the XDR stream, so that both directions use
 * the same format. */
static bool convert_report(XDR *xdr, stream_report_t *report)
{
	bool ok = convert_magic(xdr) &&
		  xdr_uint64_t(xdr, &report->incarnation) &&
		  xdr_uint32_t(xdr, &report->row_count) &&
		  report->row_count <= STREAM_REPORT_ROWS_MAX;

	for (uint32_t i = 0; ok && i < report->row_count; i++)
		ok = convert_row(xdr, &report->rows[i]);
	return ok;
}

/* The version of a stream that has ended is not used. */
static bool is_valid(const stream_report_row_t *row)
{
	return row->id && (row->software || !row->remaining_ms);
}

static void remove_invalid_rows(stream_report_t *report)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < report->row_count; i++) {
		if (is_valid(&report->rows[i]))
			report->rows[count++] = report->rows[i];
	}
	report->row_count = count;
}

bool stream_report_is_one(const char *bytes, size_t len)
{
	char magic[sizeof(uint32_t)];
	XDR xdr;
	bool is_one;

	if (len < sizeof(magic))
		return false;
	memcpy(magic, bytes, sizeof(magic));
	xdrmem_create(&xdr, magic, sizeof(magic), XDR_DECODE);
	is_one = convert_magic(&xdr);
	xdr_destroy(&xdr);
	return is_one;
}

int stream_report_encode(const stream_report_t *report, char *bytes,
			 size_t size)
{
	stream_report_t copy = *report;
	XDR xdr;
	int len;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	len = convert_report(&xdr, &copy) ? (int)xdr_getpos(&xdr) : ERR_LIMIT;
	xdr_destroy(&xdr);
	return len;
}

int stream_report_decode(stream_report_t *report, char *bytes, size_t len)
{
	XDR xdr;
	bool ok;

	memset(report, 0, sizeof(*report));
	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	ok = convert_report(&xdr, report) && report->incarnation &&
	     xdr_getpos(&xdr) == len;
	xdr_destroy(&xdr);
	if (!ok) {
		memset(report, 0, sizeof(*report));
		return ERR_BAD_FIELD;
	}
	remove_invalid_rows(report);
	return 0;
}
