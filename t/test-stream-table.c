/* Table of streams: against a plain model, at its limit, and its memory. */
#include <glib.h>
#include <string.h>

#include "process/rng.h"
#include "process/stream_table.h"
#include "t/lib/seeds.h"

enum {
	SEEDS = 200,
	MODEL_STEPS = 2000,
	MODEL_IDS = 150,
	MODEL_LIFE_MS = 400,
	FULL_SEEDS = 5,
	FULL_STEPS = 30000,
};

static stream_row_t make_row(uint64_t id, uint32_t software,
			     uint64_t expires_ms)
{
	return (stream_row_t){ .id = id,
			       .software = software,
			       .expires_ms = expires_ms };
}

static bool put(stream_table_t *table, uint64_t id, uint32_t software,
		uint64_t expires_ms)
{
	stream_row_t row = make_row(id, software, expires_ms);

	return stream_table_put(table, &row);
}

/* Each row is found, and the first is the one that expires first. */
static void check_rows(const stream_table_t *table)
{
	g_assert_cmpuint(table->count, <=, table->capacity);
	for (size_t i = 0; i < table->count; i++) {
		const stream_row_t *row = &table->rows[i];

		g_assert_true(stream_table_find(table, row->id,
						row->expires_ms - 1) == row);
		g_assert_cmpuint(row->expires_ms, >=,
				 table->rows[0].expires_ms);
	}
}

typedef enum op {
	OP_PUT,
	OP_REMOVE,
	OP_FIND,
	OP_EXPIRE,
} op_t;

typedef struct table_case {
	op_t op;
	uint32_t id;
	uint32_t software;
	uint32_t time_ms; /* Expiry of a put, otherwise the time now. */
	bool result;
	uint32_t count; /* Afterwards. */
} table_case_t;

static const table_case_t cases[] = {
	{ OP_FIND, 1, 0, 0, false, 0 },	    { OP_REMOVE, 1, 0, 0, false, 0 },
	{ OP_EXPIRE, 0, 0, 9, false, 0 },   { OP_PUT, 0, 7, 100, false, 0 },
	{ OP_PUT, 1, 0, 100, false, 0 },    { OP_PUT, 1, 7, 100, true, 1 },
	{ OP_PUT, 1, 7, 100, false, 1 },    { OP_PUT, 1, 8, 100, true, 1 },
	{ OP_FIND, 1, 8, 99, true, 1 },	    { OP_FIND, 1, 0, 100, false, 1 },
	{ OP_PUT, 1, 8, 200, false, 1 },    { OP_FIND, 1, 8, 199, true, 1 },
	{ OP_PUT, 2, 9, 150, true, 2 },	    { OP_EXPIRE, 0, 0, 149, true, 2 },
	{ OP_EXPIRE, 0, 0, 150, true, 1 },  { OP_FIND, 2, 0, 149, false, 1 },
	{ OP_FIND, 1, 8, 150, true, 1 },    { OP_REMOVE, 2, 0, 0, false, 1 },
	{ OP_REMOVE, 1, 0, 0, true, 0 },    { OP_FIND, 1, 0, 0, false, 0 },
	{ OP_EXPIRE, 0, 0, 150, false, 0 },
};

static bool apply(stream_table_t *table, const table_case_t *test)
{
	const stream_row_t *row;

	switch (test->op) {
	case OP_PUT:
		return put(table, test->id, test->software, test->time_ms);
	case OP_REMOVE:
		return stream_table_remove(table, test->id);
	case OP_FIND:
		row = stream_table_find(table, test->id, test->time_ms);
		if (row)
			g_assert_cmpuint(row->software, ==, test->software);
		return row;
	default:
		stream_table_expire(table, test->time_ms);
		return table->rows;
	}
}

/* Failure: a row was lost, found after its expiry, or taken for a new one. */
static void test_cases(void)
{
	stream_table_t table = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("case %zu", i);
		g_assert_cmpint(apply(&table, &cases[i]), ==, cases[i].result);
		g_assert_cmpuint(table.count, ==, cases[i].count);
	}
	g_assert_null(table.rows);
}

/* Failure: a put that only extends a stream marked it as not written. */
static void test_archived(void)
{
	stream_table_t table = { 0 };
	stream_row_t row = make_row(1, 7, 100);

	row.archived = true;
	g_assert_true(stream_table_put(&table, &row));
	g_assert_false(put(&table, 1, 7, 200));
	g_assert_true(stream_table_find(&table, 1, 0)->archived);
	g_assert_true(put(&table, 1, 8, 200));
	g_assert_false(stream_table_find(&table, 1, 0)->archived);
	stream_table_free(&table);
}

/* Rows by id; `expires_ms` is 0 where there is none. */
typedef struct model {
	stream_row_t rows[MODEL_IDS + 1];
} model_t;

static size_t count_model(const model_t *model)
{
	size_t count = 0;

	for (size_t id = 1; id <= MODEL_IDS; id++)
		count += model->rows[id].expires_ms != 0;
	return count;
}

/* Ids whose hashes are near each other, and whose rows hence share slots. */
static uint64_t model_id(uint64_t number)
{
	return number % 2 ? number : number << 40;
}

static void compare(const stream_table_t *table, const model_t *model,
		    uint64_t now_ms)
{
	g_assert_cmpuint(table->count, ==, count_model(model));
	for (size_t id = 1; id <= MODEL_IDS; id++) {
		const stream_row_t *expected = &model->rows[id];
		const stream_row_t *row =
			stream_table_find(table, model_id(id), now_ms);

		g_assert_cmpint(!!row, ==, expected->expires_ms > now_ms);
		if (!row)
			continue;
		g_assert_cmpuint(row->software, ==, expected->software);
		g_assert_cmpuint(row->expires_ms, ==, expected->expires_ms);
	}
	check_rows(table);
}

static void expire_model(model_t *model, uint64_t now_ms)
{
	for (size_t id = 1; id <= MODEL_IDS; id++) {
		if (model->rows[id].expires_ms <= now_ms)
			model->rows[id].expires_ms = 0;
	}
}

static void put_both(stream_table_t *table, model_t *model, uint64_t id,
		     const stream_row_t *row)
{
	bool is_new = !model->rows[id].expires_ms ||
		      model->rows[id].software != row->software;

	g_assert_cmpint(stream_table_put(table, row), ==, is_new);
	model->rows[id] = *row;
}

static void run_model(uint64_t seed)
{
	g_autofree model_t *model = g_new0(model_t, 1);
	stream_table_t table = { 0 };
	uint64_t now_ms = 1000;
	rng_t rng;

	rng_init(&rng, seed);
	for (int i = 0; i < MODEL_STEPS; i++) {
		uint64_t id = 1 + rng_below(&rng, MODEL_IDS);
		uint64_t choice = rng_below(&rng, 100);
		stream_row_t row =
			make_row(model_id(id), 1 + (uint32_t)rng_below(&rng, 2),
				 now_ms + 1 + rng_below(&rng, MODEL_LIFE_MS));

		now_ms += rng_below(&rng, 3);
		if (row.expires_ms <= now_ms)
			continue;
		if (choice < 60) {
			put_both(&table, model, id, &row);
		} else if (choice < 95) {
			g_assert_cmpint(stream_table_remove(&table, row.id), ==,
					model->rows[id].expires_ms != 0);
			model->rows[id].expires_ms = 0;
		} else {
			now_ms += rng_below(&rng, MODEL_LIFE_MS / 2);
			stream_table_expire(&table, now_ms);
			expire_model(model, now_ms);
		}
		if (i % 10 == 0)
			compare(&table, model, now_ms);
	}
	stream_table_expire(&table, now_ms + MODEL_LIFE_MS + 1);
	g_assert_null(table.rows);
}

/* Failure: after puts and removals in any order, rows were lost or doubled. */
static void test_model(void)
{
	seeds_run(SEEDS, run_model);
}

/* Failure: the table grew beyond its limit, or left out the newest streams. */
static void test_limit(void)
{
	stream_table_t table = { 0 };

	for (uint64_t id = 1; id <= STREAM_TABLE_MAX; id++)
		g_assert_true(put(&table, id, 7, 1000 + id));
	g_assert_cmpuint(table.count, ==, STREAM_TABLE_MAX);
	g_assert_false(put(&table, STREAM_TABLE_MAX + 1, 7, 1001));
	g_assert_nonnull(stream_table_find(&table, 1, 0));
	g_assert_true(put(&table, STREAM_TABLE_MAX + 1, 7, 1002));
	g_assert_null(stream_table_find(&table, 1, 0));
	/* A row that is contained takes no other's place. */
	g_assert_false(put(&table, 2, 7, 99999));
	g_assert_nonnull(stream_table_find(&table, 3, 0));
	g_assert_cmpuint(table.count, ==, STREAM_TABLE_MAX);
	check_rows(&table);
	stream_table_expire(&table, 1000 + STREAM_TABLE_MAX);
	g_assert_cmpuint(table.count, ==, 1);
	g_assert_nonnull(stream_table_find(&table, 2, 0));
	stream_table_expire(&table, 99999);
	g_assert_null(table.rows);
	g_assert_cmpuint(table.capacity, ==, 0);
}

/* Puts and removals at the limit. */
static void run_full(uint64_t seed)
{
	stream_table_t table = { 0 };
	rng_t rng;

	rng_init(&rng, seed);
	while (table.count < STREAM_TABLE_MAX)
		put(&table, rng_next(&rng), 7, 1000 + rng_below(&rng, 60000));
	for (int i = 0; i < FULL_STEPS; i++) {
		uint64_t id = rng_next(&rng);
		uint64_t first_ms = table.rows[0].expires_ms;
		uint64_t expires_ms = 1000 + rng_below(&rng, 60000);
		bool full = table.count == STREAM_TABLE_MAX;

		g_assert_cmpint(put(&table, id, 7, expires_ms), ==,
				!full || expires_ms > first_ms);
		if (i % 2)
			g_assert_true(stream_table_remove(
				&table,
				table.rows[rng_below(&rng, table.count)].id));
		g_assert_cmpuint(table.count, <=, STREAM_TABLE_MAX);
	}
	check_rows(&table);
	stream_table_free(&table);
	g_assert_null(table.rows);
}

/* Failure: a full table lost rows that do not expire first. */
static void test_full(void)
{
	seeds_run(FULL_SEEDS, run_full);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-table/cases", test_cases);
	g_test_add_func("/stream-table/archived", test_archived);
	g_test_add_func("/stream-table/model", test_model);
	g_test_add_func("/stream-table/limit", test_limit);
	g_test_add_func("/stream-table/full", test_full);
	return g_test_run();
}
