/* Datagrams about streams: what is sent arrives, what is invalid is refused. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/rng.h"
#include "process/stream_report.h"
#include "t/lib/seeds.h"

enum {
	HEADER_BYTES = 16,
	ROW_BYTES = 16,
	SEEDS = 2000,
};

static stream_report_t make_report(uint32_t row_count)
{
	stream_report_t report = { .incarnation = UINT64_MAX - 1,
				   .row_count = row_count };

	for (uint32_t i = 0; i < row_count && i < STREAM_REPORT_ROWS_MAX; i++)
		report.rows[i] =
			(stream_report_row_t){ UINT64_MAX - i, UINT32_MAX - i,
					       i * 1000 };
	return report;
}

static const uint32_t row_counts[] = { 0, 1, 2, STREAM_REPORT_ROWS_MAX };

/* Failure: a report arrived with other rows than were sent. */
static void test_round_trip(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(row_counts); i++) {
		stream_report_t sent = make_report(row_counts[i]);
		stream_report_t received;
		char bytes[STREAM_REPORT_MAX_BYTES];
		int len = stream_report_encode(&sent, bytes, sizeof(bytes));

		g_assert_cmpint(len, ==,
				HEADER_BYTES + row_counts[i] * ROW_BYTES);
		g_assert_true(stream_report_is_one(bytes, (size_t)len));
		g_assert_cmpint(
			stream_report_decode(&received, bytes, (size_t)len), ==,
			0);
		g_assert_cmpuint(received.incarnation, ==, sent.incarnation);
		g_assert_cmpuint(received.row_count, ==, sent.row_count);
		for (uint32_t n = 0; n < sent.row_count; n++) {
			g_assert_cmpuint(received.rows[n].id, ==,
					 sent.rows[n].id);
			g_assert_cmpuint(received.rows[n].software, ==,
					 sent.rows[n].software);
			g_assert_cmpuint(received.rows[n].remaining_ms, ==,
					 sent.rows[n].remaining_ms);
		}
	}
}

/* Failure: instances of different machines did not agree on the format. */
static void test_format(void)
{
	static const unsigned char expected[] = {
		0x61, 0x6d, 0x76, 1, 0,	   0,	 0, 0, 0, 0,	0,
		5,    0,    0,	  0, 1,	   1,	 2, 3, 4, 5,	6,
		7,    8,    0,	  0, 0xab, 0xcd, 0, 0, 3, 0xe8,
	};
	stream_report_t report = {
		.incarnation = 5,
		.row_count = 1,
		.rows = { { 0x0102030405060708, 0xabcd, 1000 } },
	};
	char bytes[STREAM_REPORT_MAX_BYTES];
	int len = stream_report_encode(&report, bytes, sizeof(bytes));

	g_assert_cmpmem(bytes, len, expected, sizeof(expected));
}

/* Failure: a report that does not fit was sent in part. */
static void test_encode_limits(void)
{
	stream_report_t report = make_report(STREAM_REPORT_ROWS_MAX + 1);
	char bytes[STREAM_REPORT_MAX_BYTES];

	g_assert_cmpint(stream_report_encode(&report, bytes, sizeof(bytes)), ==,
			ERR_LIMIT);
	report = make_report(3);
	for (size_t size = 0; size < HEADER_BYTES + 3 * ROW_BYTES; size++)
		g_assert_cmpint(stream_report_encode(&report, bytes, size), ==,
				ERR_LIMIT);
}

/* A report of two rows with one byte set to `value`, cut to `len`; what follows
 * two rows is 0. */
typedef struct bad_case {
	const char *name;
	size_t len;
	size_t at;
	uint8_t value;
	bool is_one;
} bad_case_t;

enum { TWO_ROWS_BYTES = HEADER_BYTES + 2 * ROW_BYTES };

static const bad_case_t bad_cases[] = {
	{ "empty", 0, 0, 0x61, false },
	{ "magic cut off", 3, 0, 0x61, false },
	{ "magic only", 4, 0, 0x61, true },
	{ "heartbeat", TWO_ROWS_BYTES, 3, 3, false },
	{ "other magic", TWO_ROWS_BYTES, 0, 0x62, false },
	{ "no rows", HEADER_BYTES, 0, 0x61, true },
	{ "a row less", TWO_ROWS_BYTES - ROW_BYTES, 0, 0x61, true },
	{ "a byte less", TWO_ROWS_BYTES - 1, 0, 0x61, true },
	{ "a byte more", TWO_ROWS_BYTES + 1, 0, 0x61, true },
	{ "a row more", TWO_ROWS_BYTES + ROW_BYTES, 0, 0x61, true },
	{ "count too small", TWO_ROWS_BYTES, 15, 1, true },
	{ "count too large", TWO_ROWS_BYTES, 15, 3, true },
	{ "count beyond the limit", STREAM_REPORT_MAX_BYTES, 15,
	  STREAM_REPORT_ROWS_MAX + 1, true },
	{ "count of 2^31", TWO_ROWS_BYTES, 12, 0x80, true },
};

/* Failure: a datagram that is no report was taken for one. */
static void test_bad_reports(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		const bad_case_t *test = &bad_cases[i];
		stream_report_t report = make_report(2);
		char bytes[STREAM_REPORT_MAX_BYTES] = { 0 };
		/* Of the exact size, so that the sanitizer sees overruns. */
		g_autofree char *cut = NULL;

		g_test_message("%s", test->name);
		g_assert_cmpint(
			stream_report_encode(&report, bytes, sizeof(bytes)), ==,
			TWO_ROWS_BYTES);
		bytes[test->at] = (char)test->value;
		cut = g_memdup2(bytes, test->len);
		g_assert_cmpint(stream_report_is_one(cut, test->len), ==,
				test->is_one);
		g_assert_cmpint(stream_report_decode(&report, cut, test->len),
				==, ERR_BAD_FIELD);
		g_assert_cmpuint(report.row_count, ==, 0);
	}
}

/* Failure: a report without a sender was accepted. */
static void test_no_incarnation(void)
{
	stream_report_t report = make_report(1);
	char bytes[STREAM_REPORT_MAX_BYTES];
	int len;

	report.incarnation = 0;
	len = stream_report_encode(&report, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	g_assert_cmpint(stream_report_decode(&report, bytes, (size_t)len), ==,
			ERR_BAD_FIELD);
}

/* Failure: a row without an id or a version was used, or the end of a stream
 * was left out. */
static void test_invalid_rows(void)
{
	stream_report_t report = {
		.incarnation = 5,
		.row_count = 6,
		.rows = { { 0, 7, 1000 },
			  { 1, 7, 1000 },
			  { 2, 0, 1000 },
			  { 3, 7, 0 },
			  { 4, 0, 0 },
			  { 0, 0, 0 } },
	};
	char bytes[STREAM_REPORT_MAX_BYTES];
	int len = stream_report_encode(&report, bytes, sizeof(bytes));

	g_assert_cmpint(stream_report_decode(&report, bytes, (size_t)len), ==,
			0);
	g_assert_cmpuint(report.row_count, ==, 3);
	g_assert_cmpuint(report.rows[0].id, ==, 1);
	g_assert_cmpuint(report.rows[1].id, ==, 3);
	g_assert_cmpuint(report.rows[2].id, ==, 4);
}

static void run_garbled(uint64_t seed)
{
	stream_report_t report;
	char bytes[STREAM_REPORT_MAX_BYTES];
	g_autofree char *copy = NULL;
	size_t len;
	rng_t rng;

	rng_init(&rng, seed);
	report = make_report(
		(uint32_t)rng_below(&rng, STREAM_REPORT_ROWS_MAX + 1));
	len = (size_t)stream_report_encode(&report, bytes, sizeof(bytes));
	for (uint64_t n = rng_below(&rng, 4); n > 0; n--)
		bytes[rng_below(&rng, len)] = (char)rng_next(&rng);
	if (rng_below(&rng, 2))
		len = rng_below(&rng, len + 1);
	copy = g_memdup2(bytes, len);
	if (stream_report_decode(&report, copy, len))
		return;
	g_assert_true(stream_report_is_one(bytes, len));
	g_assert_cmpuint(report.row_count, <=, STREAM_REPORT_ROWS_MAX);
	for (uint32_t i = 0; i < report.row_count; i++)
		g_assert_cmpuint(report.rows[i].id, !=, 0);
}

/* Failure: a garbled datagram was read beyond its end or had invalid rows. */
static void test_garbled(void)
{
	seeds_run(SEEDS, run_garbled);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-report/round-trip", test_round_trip);
	g_test_add_func("/stream-report/format", test_format);
	g_test_add_func("/stream-report/encode-limits", test_encode_limits);
	g_test_add_func("/stream-report/bad-reports", test_bad_reports);
	g_test_add_func("/stream-report/no-incarnation", test_no_incarnation);
	g_test_add_func("/stream-report/invalid-rows", test_invalid_rows);
	g_test_add_func("/stream-report/garbled", test_garbled);
	return g_test_run();
}
