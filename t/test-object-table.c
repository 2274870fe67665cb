/* Objects of the store as an instance believes them. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/object_table.h"

enum {
	HOLD_MS = 2100,
};

static int list_one(object_table_t *table, const char *name, uint64_t revision)
{
	CLEANUP_JSON json_t *spec = json_pack("{s:s}", "addr", "x");
	object_item_t item = { name, revision, false, spec };

	return object_table_list_add(table, &item);
}

static int watch_one(object_table_t *table, const char *name, uint64_t revision,
		     bool deleted, uint64_t now_ms)
{
	CLEANUP_JSON json_t *spec = json_pack("{s:s}", "addr", "y");
	object_item_t item = { name, revision, deleted, spec };
	object_page_t page = { .items = &item,
			       .count = 1,
			       .revision = revision };

	return object_table_apply(table, &page, now_ms);
}

static void fill_two(object_table_t *table)
{
	memset(table, 0, sizeof(*table));
	table->hold_ms = HOLD_MS;
	object_table_list_begin(table);
	list_one(table, "a", 5);
	list_one(table, "b", 6);
	object_table_list_end(table, 6, 1000);
}

/* Failure: a stale answer took an object back to an older revision. */
static void test_only_forward(void)
{
	object_table_t table;

	fill_two(&table);
	g_assert_cmpint(watch_one(&table, "a", 9, false, 2000), ==, 1);
	g_assert_cmpint(watch_one(&table, "a", 7, false, 2100), ==, 0);
	g_assert_cmpint(watch_one(&table, "a", 8, true, 2100), ==, 0);
	g_assert_cmpuint(table.count, ==, 2);
	g_assert_cmpuint(table.revision, ==, 9);
	object_table_free(&table);
}

/* Failure: while the store drops its history its watches hear nothing; an empty
 * answer moved the table past changes that it had not seen. */
static void test_empty_answer(void)
{
	object_table_t table;
	object_page_t nothing = { .revision = 50 };

	fill_two(&table);
	g_assert_cmpint(object_table_apply(&table, &nothing, 2000), ==, 0);
	g_assert_cmpuint(table.revision, ==, 6);
	object_table_free(&table);
}

/* Failure: a leaving endpoint stayed in the table. */
static void test_removed(void)
{
	object_table_t table;

	fill_two(&table);
	g_assert_cmpint(watch_one(&table, "a", 9, true, 2000), ==, 1);
	g_assert_cmpuint(table.count, ==, 1);
	object_table_free(&table);
}

/* Failure: entries that lapsed while the store was away were dropped at once,
 * and all endpoints seemed gone; or they stayed for ever. */
static void test_lapsed(void)
{
	object_table_t table;

	fill_two(&table);
	object_table_hold(&table, 5000);
	object_table_list_begin(&table);
	list_one(&table, "b", 6);
	object_table_list_end(&table, 20, 5000);
	g_assert_cmpuint(table.count, ==, 2);
	g_assert_cmpint(watch_one(&table, "b", 21, true, 5100), ==, 0);
	/* One is back, the other is not. */
	g_assert_cmpint(watch_one(&table, "a", 22, false, 6000), ==, 1);
	g_assert_cmpint(object_table_expire(&table, 5000 + HOLD_MS - 1), ==, 0);
	g_assert_cmpint(object_table_expire(&table, 5000 + HOLD_MS), ==, 1);
	g_assert_cmpuint(table.count, ==, 1);
	g_assert_cmpstr(table.rows[0].name, ==, "a");
	object_table_free(&table);
}

/* Failure: an instance that the store turns away did not learn a change, or
 * took an older table from a peer that was behind. */
static void test_from_peer(void)
{
	object_table_t table;
	object_table_t peer;
	CLEANUP_JSON json_t *newer = NULL;
	CLEANUP_JSON json_t *older = NULL;

	fill_two(&table);
	fill_two(&peer);
	older = object_table_export(&peer, 0);
	watch_one(&peer, "b", 9, true, 2000);
	watch_one(&peer, "c", 10, false, 2000);
	newer = object_table_export(&peer, 6);
	g_assert_cmpuint(object_table_digest(&table), !=,
			 object_table_digest(&peer));
	g_assert_cmpint(object_table_import(&table, newer, 3000), ==, 1);
	g_assert_cmpuint(object_table_digest(&table), ==,
			 object_table_digest(&peer));
	g_assert_cmpint(object_table_import(&table, older, 3000), ==, 0);
	g_assert_cmpuint(table.revision, ==, 10);
	object_table_free(&table);
	object_table_free(&peer);
}

/* Failure: a peer that had read nothing emptied the table. */
static void test_from_empty_peer(void)
{
	object_table_t table;
	object_table_t peer = { .revision = 99 };
	CLEANUP_JSON json_t *state = object_table_export(&peer, 0);

	fill_two(&table);
	g_assert_cmpint(object_table_import(&table, state, 3000), ==, 0);
	g_assert_cmpuint(table.count, ==, 2);
	object_table_free(&table);
}

/* Failure: an instance that had missed more than the peer sent took part of
 * the peer's table and counted as up to date. */
static void test_from_peer_with_gap(void)
{
	object_table_t table;
	object_table_t peer;
	CLEANUP_JSON json_t *part = NULL;

	fill_two(&table);
	fill_two(&peer);
	watch_one(&peer, "c", 9, false, 2000);
	watch_one(&peer, "d", 12, false, 2000);
	part = object_table_export(&peer, 10);
	g_assert_cmpint(object_table_import(&table, part, 3000), <, 0);
	g_assert_cmpuint(table.revision, ==, 6);
	object_table_free(&table);
	object_table_free(&peer);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/object-table/only-forward", test_only_forward);
	g_test_add_func("/object-table/empty-answer", test_empty_answer);
	g_test_add_func("/object-table/removed", test_removed);
	g_test_add_func("/object-table/lapsed", test_lapsed);
	g_test_add_func("/object-table/from-peer", test_from_peer);
	g_test_add_func("/object-table/from-empty-peer", test_from_empty_peer);
	g_test_add_func("/object-table/from-peer-with-gap",
			test_from_peer_with_gap);
	return g_test_run();
}
