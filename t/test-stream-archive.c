/* Streams in the store: when the object is read and written, how writers merge,
 * and its codec. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/rng.h"
#include "process/stream_archive.h"
#include "t/lib/seeds.h"

enum {
	LIFE_MS = 60000,
	V1 = 7,
	V2 = 8,
	PACKED_BYTES = 14,
	ARCHIVE_SEEDS = 100,
	CODEC_SEEDS = 2000,
	TICK_MS = 50,
	SHARED_DAY_MS = 20000,
	WRITERS = 3,
	MODEL_IDS = 400,
	BEYOND_ROWS = 100,
};

typedef struct rig {
	stream_archive_t archive;
	uint64_t now_ms;
} rig_t;

static rig_t *open_rig(void)
{
	rig_t *rig = g_new0(rig_t, 1);

	rig->now_ms = 5000;
	return rig;
}

static void close_rig(rig_t *rig)
{
	stream_archive_free(&rig->archive);
	g_free(rig);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC(rig_t, close_rig)

static stream_row_t make_row(uint64_t id, uint32_t software,
			     uint64_t expires_ms)
{
	return (stream_row_t){ .id = id,
			       .software = software,
			       .expires_ms = expires_ms };
}

static void put(rig_t *rig, uint64_t id)
{
	stream_row_t row = make_row(id, V1, rig->now_ms + LIFE_MS);

	stream_archive_put(&rig->archive, &row);
}

static stream_archive_action_t step(rig_t *rig, uint64_t pass_ms)
{
	rig->now_ms += pass_ms;
	return stream_archive_step(&rig->archive, true, rig->now_ms);
}

static void step_idle(rig_t *rig, uint64_t pass_ms)
{
	g_assert_cmpint(step(rig, pass_ms), ==, STREAM_ARCHIVE_NONE);
}

static void step_read(rig_t *rig, uint64_t pass_ms)
{
	g_assert_cmpint(step(rig, pass_ms), ==, STREAM_ARCHIVE_READ);
}

static void step_write(rig_t *rig, uint64_t pass_ms, uint64_t revision)
{
	g_assert_cmpint(step(rig, pass_ms), ==, STREAM_ARCHIVE_WRITE);
	g_assert_cmpuint(rig->archive.revision, ==, revision);
}

static void on_read(rig_t *rig, int err, uint64_t revision,
		    const stream_table_t *read)
{
	stream_archive_on_read(&rig->archive, err, revision, read, rig->now_ms);
}

static void on_written(rig_t *rig, int err, uint64_t revision)
{
	stream_archive_on_written(&rig->archive, err, revision, rig->now_ms);
}

/* Puts stream 1, and writes it as revision 1. */
static rig_t *open_written_rig(void)
{
	rig_t *rig = open_rig();

	put(rig, 1);
	step_read(rig, 0);
	on_read(rig, ERR_NOT_FOUND, 0, NULL);
	step_write(rig, 0, 0);
	on_written(rig, 0, 1);
	return rig;
}

static bool has(const rig_t *rig, uint64_t id)
{
	return stream_table_find(&rig->archive.streams, id, rig->now_ms);
}

/* Failure: a calm instance called the store, or held memory. */
static void test_calm(void)
{
	g_autoptr(rig_t) rig = open_rig();

	for (int i = 0; i < 1000; i++)
		step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
	g_assert_null(rig->archive.streams.rows);
}

/* Failure: an instance wrote again though nothing had changed, more often than
 * the interval allows, or not at once when it could. */
static void test_interval(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
	put(rig, 2);
	step_write(rig, 0, 1);
	on_written(rig, 0, 2);
	put(rig, 3);
	step_idle(rig, STREAM_ARCHIVE_INTERVAL_MS - 1);
	step_write(rig, 1, 2);
	on_written(rig, 0, 3);
	/* The same stream again, with a later expiry. */
	put(rig, 3);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
}

/* Failure: what was removed stayed in the object, or each end of a stream was
 * written at once. */
static void test_removal(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	put(rig, 2);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 1);
	on_written(rig, 0, 2);
	stream_archive_remove(&rig->archive, 1);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS - 1);
	step_write(rig, 1, 2);
	g_assert_cmpuint(rig->archive.streams.count, ==, 1);
	on_written(rig, 0, 3);
	stream_archive_remove(&rig->archive, 1);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
	/* The last one: an empty object is written, and then nothing. */
	stream_archive_remove(&rig->archive, 2);
	step_write(rig, 0, 3);
	g_assert_cmpuint(rig->archive.streams.count, ==, 0);
	on_written(rig, 0, 4);
	step_idle(rig, LIFE_MS);
	g_assert_null(rig->archive.streams.rows);
}

/* Failure: streams that expired stayed in the object. */
static void test_expiry(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	step_idle(rig, LIFE_MS - 1);
	g_assert_true(has(rig, 1));
	step_write(rig, 1, 1);
	g_assert_null(rig->archive.streams.rows);
	on_written(rig, 0, 2);
	step_idle(rig, LIFE_MS);
}

/* Failure: streams that ended before they were written caused a call. */
static void test_short_streams(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	put(rig, 2);
	stream_archive_remove(&rig->archive, 2);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
	stream_archive_remove(&rig->archive, 99);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
}

/* Failure: what happened while a write was open was not written. */
static void test_changes_during_write(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	put(rig, 2);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 1);
	put(rig, 3);
	step_idle(rig, STREAM_ARCHIVE_INTERVAL_MS);
	on_written(rig, 0, 2);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 2);
	stream_archive_remove(&rig->archive, 3);
	on_written(rig, 0, 3);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS - 1);
	step_write(rig, 1, 3);
}

/* Failure: a stream whose version changed was not written again. */
static void test_other_version(void)
{
	g_autoptr(rig_t) rig = open_written_rig();
	stream_row_t row = make_row(1, V2, rig->now_ms + LIFE_MS);

	stream_archive_put(&rig->archive, &row);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 1);
}

/* Failure: rows without an id or a version were written. */
static void test_invalid_put(void)
{
	g_autoptr(rig_t) rig = open_rig();
	stream_row_t no_id = make_row(0, V1, rig->now_ms + LIFE_MS);
	stream_row_t no_version = make_row(1, 0, rig->now_ms + LIFE_MS);

	stream_archive_put(&rig->archive, &no_id);
	stream_archive_put(&rig->archive, &no_version);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
}

/* Failure: a read that failed was not repeated, or without a pause. */
static void test_failed_read(void)
{
	static const int errors[] = { ERR_STORE_DOWN, ERR_STORE_UNKNOWN,
				      ERR_TIMEOUT, ERR_BAD_JSON };
	g_autoptr(rig_t) rig = open_rig();

	put(rig, 1);
	step_read(rig, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(errors); i++) {
		step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
		on_read(rig, errors[i], 0, NULL);
		step_idle(rig, STREAM_ARCHIVE_RETRY_MS - 1);
		step_read(rig, 1);
	}
}

/* Failure: an object with an invalid value was never replaced. */
static void test_invalid_object(void)
{
	g_autoptr(rig_t) rig = open_rig();

	put(rig, 1);
	step_read(rig, 0);
	on_read(rig, ERR_BAD_JSON, 9, NULL);
	step_write(rig, 0, 9);
}

/* Failure: a write that failed was not repeated, or without a pause. */
static void test_failed_write(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	put(rig, 2);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 1);
	on_written(rig, ERR_STORE_UNKNOWN, 0);
	step_idle(rig, STREAM_ARCHIVE_RETRY_MS - 1);
	step_write(rig, 1, 1);
	on_written(rig, ERR_STORE_DOWN, 0);
	/* The object may have them, since the answers may have been lost. */
	stream_archive_remove(&rig->archive, 1);
	stream_archive_remove(&rig->archive, 2);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS - 1);
	step_write(rig, 1, 1);
	g_assert_cmpuint(rig->archive.streams.count, ==, 0);
}

/* Failure: after a first write without an answer, and the end of the streams,
 * an object was made for nothing or kept its streams. */
static void test_failed_first_write(void)
{
	g_autoptr(rig_t) rig = open_rig();

	put(rig, 1);
	step_read(rig, 0);
	on_read(rig, ERR_NOT_FOUND, 0, NULL);
	step_write(rig, 0, 0);
	on_written(rig, ERR_STORE_DOWN, 0);
	stream_archive_remove(&rig->archive, 1);
	step_read(rig, STREAM_ARCHIVE_RETRY_MS);
	on_read(rig, ERR_NOT_FOUND, 0, NULL);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
}

/* Failure: an object that a restored store lacks was not written again. */
static void test_lost_object(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	put(rig, 2);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 1);
	on_written(rig, ERR_NOT_FOUND, 0);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 0);
	g_assert_cmpuint(rig->archive.streams.count, ==, 2);
	stream_archive_remove(&rig->archive, 1);
	stream_archive_remove(&rig->archive, 2);
	on_written(rig, ERR_NOT_FOUND, 0);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
}

/* Failure: of two writers, one deleted the streams of the other. */
static void test_conflict(void)
{
	g_autoptr(rig_t) rig = open_written_rig();
	stream_table_t read = { 0 };
	stream_row_t rows[] = {
		make_row(1, V1, rig->now_ms + 2 * LIFE_MS),
		make_row(5, V2, rig->now_ms + LIFE_MS),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		stream_table_put(&read, &rows[i]);
	put(rig, 2);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 1);
	put(rig, 3);
	on_written(rig, ERR_STORE_CONDITION, 0);
	step_read(rig, 0);
	on_read(rig, 0, 20, &read);
	step_write(rig, STREAM_ARCHIVE_INTERVAL_MS, 20);
	for (uint64_t id = 1; id <= 5; id++)
		g_assert_cmpint(has(rig, id), ==, id != 4);
	/* Its own row has the exact expiry. */
	g_assert_cmpuint(
		stream_table_find(&rig->archive.streams, 1, 0)->expires_ms, ==,
		5000 + LIFE_MS);
	on_written(rig, 0, 21);
	step_idle(rig, STREAM_ARCHIVE_CLEAN_MS);
	stream_table_free(&read);
}

/* Failure: after a read that brought all it knew, an instance wrote the same
 * again; or it kept another version than the one that was reported to it. */
static void test_read_rows(void)
{
	static const struct {
		uint32_t software; /* Of stream 1 in the object. */
		uint64_t life_ms;
		stream_archive_action_t then;
	} tests[] = {
		{ V1, LIFE_MS, STREAM_ARCHIVE_NONE },
		{ V2, LIFE_MS, STREAM_ARCHIVE_WRITE },
		{ V1, 0, STREAM_ARCHIVE_WRITE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		g_autoptr(rig_t) rig = open_rig();
		stream_table_t read = { 0 };
		stream_row_t row = make_row(1, tests[i].software,
					    rig->now_ms + tests[i].life_ms);

		stream_table_put(&read, &row);
		put(rig, 1);
		step_read(rig, 0);
		on_read(rig, 0, 20, &read);
		g_assert_cmpint(step(rig, 0), ==, tests[i].then);
		g_assert_cmpuint(stream_table_find(&rig->archive.streams, 1, 0)
					 ->software,
				 ==, V1);
		stream_table_free(&read);
	}
}

/* Failure: streams of others that were read were written again, or what had
 * expired when it was read stayed in the object. */
static void test_read_others(void)
{
	static const struct {
		uint64_t life_ms; /* Of stream 5, which only the object has. */
		stream_archive_action_t then;
	} tests[] = {
		{ LIFE_MS, STREAM_ARCHIVE_NONE },
		{ 1, STREAM_ARCHIVE_NONE },
		{ 0, STREAM_ARCHIVE_WRITE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		g_autoptr(rig_t) rig = open_rig();
		stream_table_t read = { 0 };
		stream_row_t rows[] = {
			make_row(1, V1, rig->now_ms + LIFE_MS),
			make_row(5, V2, rig->now_ms + tests[i].life_ms),
		};

		for (size_t n = 0; n < G_N_ELEMENTS(rows); n++)
			stream_table_put(&read, &rows[n]);
		put(rig, 1);
		step_read(rig, 0);
		on_read(rig, 0, 20, &read);
		g_assert_cmpint(has(rig, 5), ==, tests[i].life_ms != 0);
		g_assert_cmpint(step(rig, 0), ==, tests[i].then);
		stream_table_free(&read);
	}
}

/* Failure: an instance that is not the writer called the store, lost what was
 * reported to it, or wrote under what it had read before. */
static void test_writer_changes(void)
{
	g_autoptr(rig_t) rig = open_written_rig();

	put(rig, 2);
	rig->now_ms += STREAM_ARCHIVE_CLEAN_MS;
	for (int i = 0; i < 10; i++)
		g_assert_cmpint(stream_archive_step(&rig->archive, false,
						    rig->now_ms + i),
				==, STREAM_ARCHIVE_NONE);
	put(rig, 3);
	step_read(rig, 0);
	on_read(rig, ERR_NOT_FOUND, 0, NULL);
	step_write(rig, 0, 0);
	for (uint64_t id = 1; id <= 3; id++)
		g_assert_true(has(rig, id));
	/* A write that was open when it stopped being the writer. */
	g_assert_cmpint(stream_archive_step(&rig->archive, false, rig->now_ms),
			==, STREAM_ARCHIVE_NONE);
	on_written(rig, 0, 30);
	step_read(rig, 0);
	on_read(rig, ERR_NOT_FOUND, 0, NULL);
	/* Streams expire at an instance that is not the writer, too. */
	g_assert_cmpint(stream_archive_step(&rig->archive, false,
					    rig->now_ms + LIFE_MS),
			==, STREAM_ARCHIVE_NONE);
	g_assert_null(rig->archive.streams.rows);
}

/* The store, and instances of a domain on virtual time. */
typedef struct shared_day {
	rng_t rng;
	json_t *object; /* NULL: none. */
	uint64_t revision;
	rig_t *rigs[WRITERS];
	json_t *sent[WRITERS];		/* Value of the open write. */
	uint64_t condition[WRITERS];	/* Of the open write. */
	uint64_t put_ms[MODEL_IDS + 1]; /* 0: not put at a writer. */
	uint32_t calls;
} shared_day_t;

static void finish_read(shared_day_t *day, rig_t *rig)
{
	stream_table_t read = { 0 };

	day->calls++;
	if (rng_below(&day->rng, 10) == 0) {
		on_read(rig, ERR_STORE_DOWN, 0, NULL);
		return;
	}
	if (!day->object) {
		on_read(rig, ERR_NOT_FOUND, 0, NULL);
		return;
	}
	g_assert_cmpint(
		stream_archive_from_json(day->object, rig->now_ms, &read), ==,
		0);
	on_read(rig, 0, day->revision, &read);
	stream_table_free(&read);
}

/* Some writes fail, and some are carried out without an answer. */
static void finish_write(shared_day_t *day, size_t i)
{
	uint64_t luck = rng_below(&day->rng, 10);

	day->calls++;
	if (luck == 0) {
		json_decref(day->sent[i]);
		on_written(day->rigs[i], ERR_STORE_DOWN, 0);
	} else if (day->condition[i] != day->revision) {
		json_decref(day->sent[i]);
		on_written(day->rigs[i], ERR_STORE_CONDITION, 0);
	} else {
		json_decref(day->object);
		day->object = day->sent[i];
		day->revision++;
		on_written(day->rigs[i], luck == 1 ? ERR_STORE_UNKNOWN : 0,
			   day->revision);
	}
	day->sent[i] = NULL;
}

static void tick_instance(shared_day_t *day, size_t i, bool writer,
			  uint64_t now_ms)
{
	rig_t *rig = day->rigs[i];

	rig->now_ms = now_ms;
	if (day->sent[i])
		finish_write(day, i);
	switch (stream_archive_step(&rig->archive, writer, now_ms)) {
	case STREAM_ARCHIVE_NONE:
		break;
	case STREAM_ARCHIVE_READ:
		finish_read(day, rig);
		break;
	case STREAM_ARCHIVE_WRITE:
		day->sent[i] =
			stream_archive_to_json(&rig->archive.streams, now_ms);
		day->condition[i] = rig->archive.revision;
		break;
	}
}

/* Streams that were put are in the object, unless its writer may not have
 * reached the store yet. */
static void check_object(const shared_day_t *day, uint64_t now_ms)
{
	stream_table_t read = { 0 };

	if (day->object)
		stream_archive_from_json(day->object, now_ms, &read);
	for (uint64_t id = 1; id <= MODEL_IDS; id++) {
		if (day->put_ms[id])
			g_assert_nonnull(stream_table_find(&read, id, now_ms));
	}
	stream_table_free(&read);
}

/* The instances are the writer in turn, and two of them at times. */
static void run_shared(uint64_t seed)
{
	shared_day_t day = { 0 };
	uint64_t now_ms = 1000;
	uint64_t next = 1;

	rng_init(&day.rng, seed);
	for (size_t i = 0; i < WRITERS; i++)
		day.rigs[i] = open_rig();
	for (; now_ms < SHARED_DAY_MS; now_ms += TICK_MS) {
		size_t writer = now_ms / 1000 % WRITERS;
		size_t second = rng_below(&day.rng, 3) ? writer : WRITERS - 1;

		if (next <= MODEL_IDS) {
			day.rigs[writer]->now_ms = now_ms;
			day.put_ms[next] = now_ms;
			put(day.rigs[writer], next++);
		}
		for (size_t i = 0; i < WRITERS; i++)
			tick_instance(&day, i, i == writer || i == second,
				      now_ms);
	}
	/* All of them write until the object has what each knows. */
	for (int n = 0; n < 200; n++, now_ms += TICK_MS) {
		for (size_t i = 0; i < WRITERS; i++)
			tick_instance(&day, i, true, now_ms);
	}
	check_object(&day, now_ms);
	/* All have expired everywhere, and calls end. */
	for (int n = 0; n < 40; n++) {
		now_ms += LIFE_MS;
		for (size_t i = 0; i < WRITERS; i++)
			tick_instance(&day, i, true, now_ms);
	}
	day.calls = 0;
	for (size_t i = 0; i < WRITERS; i++) {
		tick_instance(&day, i, true, now_ms + LIFE_MS);
		g_assert_null(day.rigs[i]->archive.streams.rows);
		json_decref(day.sent[i]);
		close_rig(day.rigs[i]);
	}
	g_assert_cmpuint(day.calls, ==, 0);
	json_decref(day.object);
}

/* Failure: streams were missing in the object after changes of the writer,
 * conflicts and failed calls, or the calls never ended. */
static void test_shared(void)
{
	seeds_run(ARCHIVE_SEEDS, run_shared);
}

/* Remaining times of what is written and read. */
static const struct {
	uint64_t remaining_ms;
	uint64_t read_ms; /* 0: left out. */
} remaining_cases[] = {
	{ 0, 0 },
	{ 1, 10 },
	{ 10, 10 },
	{ 11, 20 },
	{ 60000, 60000 },
	{ 655350, 655350 },
	{ 655351, 655350 },
	{ 99999999, 655350 },
	{ UINT64_MAX - 500, 655350 },
};

/* Failure: streams that were read from the store differed from those that were
 * written, or remaining times were cut to nothing. */
static void test_round_trip(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(remaining_cases); i++) {
		stream_table_t streams = { 0 };
		stream_table_t read = { 0 };
		CLEANUP_JSON json_t *value = NULL;
		CLEANUP_JSON json_t *parsed = NULL;
		CLEANUP_FREE char *text = NULL;
		const stream_row_t *row;
		stream_row_t written =
			make_row(UINT64_MAX - i, UINT32_MAX - (uint32_t)i,
				 500 + remaining_cases[i].remaining_ms);

		stream_table_put(&streams, &written);
		value = stream_archive_to_json(&streams, 500);
		text = json_dumps(value, 0);
		parsed = json_loads(text, 0, NULL);
		g_assert_cmpint(stream_archive_from_json(parsed, 9000, &read),
				==, 0);
		row = stream_table_find(&read, written.id, 9000);
		g_assert_cmpint(!!row, ==, remaining_cases[i].read_ms != 0);
		if (row) {
			g_assert_cmpuint(row->software, ==, written.software);
			g_assert_cmpuint(row->expires_ms, ==,
					 9000 + remaining_cases[i].read_ms);
			g_assert_false(row->archived);
		}
		stream_table_free(&streams);
		stream_table_free(&read);
	}
}

/* Failure: instances of different machines did not agree on the format. */
static void test_format(void)
{
	stream_table_t streams = { 0 };
	stream_row_t row = make_row(0x0102030405060708, 0x0a0b0c0d, 2570);
	CLEANUP_JSON json_t *value = NULL;
	CLEANUP_JSON json_t *empty = NULL;
	CLEANUP_FREE char *text = NULL;
	CLEANUP_FREE char *empty_text = NULL;

	empty = stream_archive_to_json(&streams, 0);
	empty_text = json_dumps(empty, JSON_COMPACT);
	g_assert_cmpstr(empty_text, ==, "{\"streams\":\"\"}");
	stream_table_put(&streams, &row);
	value = stream_archive_to_json(&streams, 0);
	text = json_dumps(value, JSON_COMPACT);
	g_assert_cmpstr(text, ==, "{\"streams\":\"AQIDBAUGBwgKCwwNAQE=\"}");
	stream_table_free(&streams);
}

/* Failure: streams that had expired were written with a new remaining time. */
static void test_expired_rows(void)
{
	stream_table_t streams = { 0 };
	stream_table_t read = { 0 };
	CLEANUP_JSON json_t *value = NULL;

	for (uint64_t id = 1; id <= 4; id++) {
		stream_row_t row = make_row(id, V1, 498 + id);

		stream_table_put(&streams, &row);
	}
	value = stream_archive_to_json(&streams, 500);
	g_assert_cmpint(stream_archive_from_json(value, 0, &read), ==, 0);
	g_assert_cmpuint(read.count, ==, 2);
	g_assert_nonnull(stream_table_find(&read, 3, 0));
	g_assert_nonnull(stream_table_find(&read, 4, 0));
	stream_table_free(&streams);
	stream_table_free(&read);
}

typedef struct value_case {
	const char *text;
	int err;
	size_t count;
} value_case_t;

/* "AAAAAAAAAAEAAAAHAAE=" is the stream 1 of version 7, with 10 ms. */
static const value_case_t value_cases[] = {
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAE=\"}", 0, 1 },
	{ "{\"streams\":\"\"}", 0, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAE=\",\"more\":[1]}", 0, 1 },
	/* Id 0, version 0, no remaining time. */
	{ "{\"streams\":\"AAAAAAAAAAAAAAAHAAE=\"}", 0, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAAAAE=\"}", 0, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAA=\"}", 0, 0 },
	/* Bytes missing or left over. */
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAA==\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAEA\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AA==\"}", ERR_BAD_JSON, 0 },
	/* Invalid base64. */
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAE\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAE==\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAE=A\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAA HAAE=\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAA\\nHAAE=\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAA\\u0000HAAE=\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"AAAAAAAAAAEAAAAHAAE=\\u0000\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"\\u00e4\"}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":\"=\"}", ERR_BAD_JSON, 0 },
	/* Other values. */
	{ "{\"streams\":7}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":null}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":[\"AAAAAAAAAAEAAAAHAAE=\"]}", ERR_BAD_JSON, 0 },
	{ "{\"streams\":{}}", ERR_BAD_JSON, 0 },
	{ "{}", ERR_BAD_JSON, 0 },
	{ "[]", ERR_BAD_JSON, 0 },
	{ "[\"streams\"]", ERR_BAD_JSON, 0 },
	{ "\"streams\"", ERR_BAD_JSON, 0 },
	{ "7", ERR_BAD_JSON, 0 },
	{ "1.5", ERR_BAD_JSON, 0 },
	{ "true", ERR_BAD_JSON, 0 },
	{ "null", ERR_BAD_JSON, 0 },
};

/* Failure: an object that another writer left was taken for streams. */
static void test_values(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(value_cases); i++) {
		stream_table_t read = { 0 };
		CLEANUP_JSON json_t *value =
			json_loads(value_cases[i].text,
				   JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

		g_test_message("%s", value_cases[i].text);
		g_assert_nonnull(value);
		g_assert_cmpint(stream_archive_from_json(value, 500, &read), ==,
				value_cases[i].err);
		g_assert_cmpuint(read.count, ==, value_cases[i].count);
		stream_table_free(&read);
	}
}

/* Failure: the object's value was missing and was read all the same. */
static void test_no_value(void)
{
	stream_table_t read = { 0 };

	g_assert_cmpint(stream_archive_from_json(NULL, 500, &read), ==,
			ERR_BAD_JSON);
	g_assert_null(read.rows);
}

/* Row `i` has the id i + 1 and expires after i + 1 units. */
static json_t *make_value(size_t count)
{
	guchar *packed = g_malloc0(count * PACKED_BYTES);
	g_autofree char *text = NULL;

	for (size_t i = 0; i < count; i++) {
		guchar *row = packed + i * PACKED_BYTES;

		row[6] = row[12] = (guchar)((i + 1) >> 8);
		row[7] = row[13] = (guchar)(i + 1);
		row[11] = V1;
	}
	text = g_base64_encode(packed, count * PACKED_BYTES);
	g_free(packed);
	return json_pack("{s:s}", "streams", text);
}

/* Failure: an object with more streams than the limit was not read, or made the
 * table grow beyond it. */
static void test_beyond_limit(void)
{
	stream_table_t read = { 0 };
	CLEANUP_JSON json_t *value = make_value(STREAM_TABLE_MAX + BEYOND_ROWS);

	g_assert_cmpint(stream_archive_from_json(value, 500, &read), ==, 0);
	g_assert_cmpuint(read.count, ==, STREAM_TABLE_MAX);
	g_assert_null(stream_table_find(&read, BEYOND_ROWS, 500));
	g_assert_nonnull(stream_table_find(&read, BEYOND_ROWS + 1, 500));
	g_assert_nonnull(
		stream_table_find(&read, STREAM_TABLE_MAX + BEYOND_ROWS, 500));
	stream_table_free(&read);
}

static void run_garbled(uint64_t seed)
{
	stream_table_t read = { 0 };
	CLEANUP_JSON json_t *value = NULL;
	CLEANUP_JSON json_t *garbled = NULL;
	g_autofree char *text = NULL;
	size_t len;
	rng_t rng;

	rng_init(&rng, seed);
	value = make_value(1 + rng_below(&rng, 20));
	text = g_strdup(json_string_value(json_object_get(value, "streams")));
	len = strlen(text);
	for (uint64_t n = 1 + rng_below(&rng, 4); n > 0; n--)
		text[rng_below(&rng, len)] =
			(char)(' ' + rng_below(&rng, '~' - ' '));
	text[rng_below(&rng, len + 1)] = '\0';
	garbled = json_pack("{s:s}", "streams", text);
	if (stream_archive_from_json(garbled, 500, &read))
		g_assert_null(read.rows);
	for (size_t i = 0; i < read.count; i++) {
		g_assert_cmpuint(read.rows[i].id, !=, 0);
		g_assert_cmpuint(read.rows[i].software, !=, 0);
		g_assert_cmpuint(read.rows[i].expires_ms, >, 500);
	}
	stream_table_free(&read);
}

/* Failure: a garbled value was read in part, or with invalid rows. */
static void test_garbled(void)
{
	seeds_run(CODEC_SEEDS, run_garbled);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-archive/calm", test_calm);
	g_test_add_func("/stream-archive/interval", test_interval);
	g_test_add_func("/stream-archive/removal", test_removal);
	g_test_add_func("/stream-archive/expiry", test_expiry);
	g_test_add_func("/stream-archive/short-streams", test_short_streams);
	g_test_add_func("/stream-archive/changes-during-write",
			test_changes_during_write);
	g_test_add_func("/stream-archive/other-version", test_other_version);
	g_test_add_func("/stream-archive/invalid-put", test_invalid_put);
	g_test_add_func("/stream-archive/failed-read", test_failed_read);
	g_test_add_func("/stream-archive/invalid-object", test_invalid_object);
	g_test_add_func("/stream-archive/failed-write", test_failed_write);
	g_test_add_func("/stream-archive/failed-first-write",
			test_failed_first_write);
	g_test_add_func("/stream-archive/lost-object", test_lost_object);
	g_test_add_func("/stream-archive/conflict", test_conflict);
	g_test_add_func("/stream-archive/read-rows", test_read_rows);
	g_test_add_func("/stream-archive/read-others", test_read_others);
	g_test_add_func("/stream-archive/writer-changes", test_writer_changes);
	g_test_add_func("/stream-archive/shared", test_shared);
	g_test_add_func("/stream-archive/round-trip", test_round_trip);
	g_test_add_func("/stream-archive/format", test_format);
	g_test_add_func("/stream-archive/expired-rows", test_expired_rows);
	g_test_add_func("/stream-archive/values", test_values);
	g_test_add_func("/stream-archive/no-value", test_no_value);
	g_test_add_func("/stream-archive/beyond-limit", test_beyond_limit);
	g_test_add_func("/stream-archive/garbled", test_garbled);
	return g_test_run();
}
