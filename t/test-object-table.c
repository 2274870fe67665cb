/* Tests of the local copy of the store's objects. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/object_table.h"
#include "process/store_revision.h"

enum {
	HOLD_MS = 2100,
};

static int add_to_list(object_table_t *table, const char *name,
		       uint64_t revision)
{
	CLEANUP_JSON json_t *spec = json_pack("{s:s}", "addr", "x");
	object_item_t item = { name, revision, false, spec };

	return object_table_list_add(table, &item);
}

static int apply_change(object_table_t *table, const char *name,
			uint64_t revision, bool deleted, uint64_t now_ms)
{
	CLEANUP_JSON json_t *spec = json_pack("{s:s}", "addr", "y");
	object_item_t item = { name, revision, deleted, spec };
	object_page_t page = { .items = &item,
			       .count = 1,
			       .revision = revision };

	return object_table_apply(table, &page, now_ms);
}

static void fill_table(object_table_t *table)
{
	memset(table, 0, sizeof(*table));
	table->hold_ms = HOLD_MS;
	object_table_list_begin(table);
	add_to_list(table, "a", 5);
	add_to_list(table, "b", 6);
	object_table_list_end(table, 6, 1000);
}

/* Guards against a stale answer that reverts an object to an older revision. */
static void test_stale_answer(void)
{
	object_table_t table;

	fill_table(&table);
	g_assert_cmpint(apply_change(&table, "a", 9, false, 2000), ==, 1);
	g_assert_cmpint(apply_change(&table, "a", 7, false, 2100), ==, 0);
	g_assert_cmpint(apply_change(&table, "a", 8, true, 2100), ==, 0);
	g_assert_cmpuint(table.count, ==, 2);
	g_assert_cmpuint(table.revision, ==, 9);
	object_table_free(&table);
}

/* Guards against an empty answer that advances the table's revision past
 * changes it missed: while the store drops its history, watches get no events.
 */
static void test_empty_answer(void)
{
	object_table_t table;
	object_page_t nothing = { .revision = 50 };

	fill_table(&table);
	g_assert_cmpint(object_table_apply(&table, &nothing, 2000), ==, 0);
	g_assert_cmpuint(table.revision, ==, 6);
	object_table_free(&table);
}

/* Guards against a removed endpoint that stays in the table. */
static void test_removed(void)
{
	object_table_t table;

	fill_table(&table);
	g_assert_cmpint(apply_change(&table, "a", 9, true, 2000), ==, 1);
	g_assert_cmpuint(table.count, ==, 1);
	object_table_free(&table);
}

/* Guards against removing entries at once that expired during an outage of the
 * store, which left no endpoints, and against holding them forever. */
static void test_held_removal(void)
{
	object_table_t table;

	fill_table(&table);
	object_table_hold(&table, 5000);
	object_table_list_begin(&table);
	add_to_list(&table, "b", 6);
	object_table_list_end(&table, 20, 5000);
	g_assert_cmpuint(table.count, ==, 2);
	g_assert_cmpint(apply_change(&table, "b", 21, true, 5100), ==, 0);
	/* "a" is written again, "b" is not. */
	g_assert_cmpint(apply_change(&table, "a", 22, false, 6000), ==, 1);
	g_assert_cmpint(object_table_expire(&table, 5000 + HOLD_MS - 1), ==, 0);
	g_assert_cmpint(object_table_expire(&table, 5000 + HOLD_MS), ==, 1);
	g_assert_cmpuint(table.count, ==, 1);
	g_assert_cmpstr(table.entries[0].name, ==, "a");
	object_table_free(&table);
}

/* Guards against an instance without access to the store that misses a change
 * which a peer has, or applies an older table of a peer. */
static void test_from_peer(void)
{
	object_table_t table;
	object_table_t peer;
	CLEANUP_JSON json_t *newer = NULL;
	CLEANUP_JSON json_t *older = NULL;

	fill_table(&table);
	fill_table(&peer);
	older = object_table_export(&peer, 0, 2000);
	apply_change(&peer, "b", 9, true, 2000);
	apply_change(&peer, "c", 10, false, 2000);
	newer = object_table_export(&peer, 6, 2000);
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

/* Guards against a peer with an incomplete table that empties this one. */
static void test_from_empty_peer(void)
{
	object_table_t table;
	object_table_t peer = { .revision = 99 };
	CLEANUP_JSON json_t *state = object_table_export(&peer, 0, 2000);

	fill_table(&table);
	g_assert_cmpint(object_table_import(&table, state, 3000), ==, 0);
	g_assert_cmpuint(table.count, ==, 2);
	object_table_free(&table);
}

/* Guards against a partial import that counts as up to date: the instance lacks
 * more changes than the peer sent. */
static void test_from_peer_with_gap(void)
{
	object_table_t table;
	object_table_t peer;
	CLEANUP_JSON json_t *part = NULL;

	fill_table(&table);
	fill_table(&peer);
	apply_change(&peer, "c", 9, false, 2000);
	apply_change(&peer, "d", 12, false, 2000);
	part = object_table_export(&peer, 10, 2000);
	g_assert_cmpint(object_table_import(&table, part, 3000), <, 0);
	g_assert_cmpuint(table.revision, ==, 6);
	object_table_free(&table);
	object_table_free(&peer);
}

/* Failure: after the store was restored from a copy, an object that was written
 * anew had a lower revision than the lost one and was ignored (rule CONFIG, day
 * restored). */
static void test_new_era(void)
{
	object_table_t table;

	fill_table(&table);
	apply_change(&table, "a", store_revision_make(1, 75), false, 2000);
	g_assert_cmpint(apply_change(&table, "a", store_revision_make(2, 71),
				     false, 3000),
			==, 1);
	g_assert_cmpuint(store_revision_number(table.revision), ==, 71);
	g_assert_cmpuint(store_revision_era(table.revision), ==, 2);
	/* A late answer of the era before. */
	g_assert_cmpint(apply_change(&table, "a", store_revision_make(1, 76),
				     true, 3000),
			==, 0);
	g_assert_cmpuint(table.count, ==, 2);
	object_table_free(&table);
}

/* Failure: an instance that follows a peer had a higher revision from before
 * the restore and did not take the peer's newer table (rule DRAIN, day
 * restored-drain). The entry "b" is known to the peer from before only. */
static void test_peer_in_new_era(void)
{
	object_table_t table;
	object_table_t peer;
	CLEANUP_JSON json_t *newer = NULL;
	CLEANUP_JSON json_t *older = NULL;

	fill_table(&table);
	fill_table(&peer);
	apply_change(&table, "a", store_revision_make(1, 87), false, 2000);
	older = object_table_export(&table, 0, 2000);
	apply_change(&peer, "a", store_revision_make(2, 80), false, 2000);
	newer = object_table_export(&peer, table.revision, 2000);
	g_assert_cmpint(object_table_import(&table, newer, 3000), ==, 1);
	g_assert_cmpuint(table.revision, ==, store_revision_make(2, 80));
	g_assert_cmpuint(table.count, ==, 2);
	g_assert_cmpint(object_table_import(&peer, older, 3000), ==, 0);
	object_table_free(&table);
	object_table_free(&peer);
}

/* Content of an object with a writer's incarnation and sequence. */
typedef struct content {
	uint64_t incarnation;
	uint64_t sequence;
} content_t;

static object_order_t order_of_content(object_kind_t kind, const json_t *spec)
{
	(void)kind;
	return (object_order_t){
		(uint64_t)json_integer_value(json_object_get(spec, "i")),
		(uint64_t)json_integer_value(json_object_get(spec, "s")),
	};
}

static void put_content(object_table_t *table, uint64_t revision,
			content_t content)
{
	CLEANUP_JSON json_t *spec =
		json_pack("{s:I,s:I}", "i", (json_int_t)content.incarnation,
			  "s", (json_int_t)content.sequence);
	object_item_t item = { "o", revision, false, spec };
	object_page_t page = { .items = &item,
			       .count = 1,
			       .revision = revision };

	g_assert_cmpint(object_table_apply(table, &page, 1000), ==, 1);
}

typedef struct older_case {
	const char *name;
	uint64_t put_era; /**< The known content is of era 1. */
	content_t known;
	content_t put;
	object_kind_t kind;
	bool keeps; /**< The table keeps what it knows. */
} older_case_t;

static const older_case_t older_cases[] = {
	{ "desired-copy", 2, { 0, 12 }, { 0, 9 }, OBJECT_DESIRED, true },
	{ "desired-newer", 2, { 0, 12 }, { 0, 13 }, OBJECT_DESIRED, false },
	/* The operator writes its history again, one by one. */
	{ "desired-again", 1, { 0, 12 }, { 0, 10 }, OBJECT_DESIRED, true },
	{ "weights-copy", 2, { 0, 4 }, { 0, 3 }, OBJECT_WEIGHTS, true },
	/* It has said meanwhile that it leaves. */
	{ "endpoint-copy", 2, { 7, 40 }, { 7, 5 }, OBJECT_ENDPOINTS, true },
	{ "endpoint-newer", 2, { 7, 40 }, { 7, 41 }, OBJECT_ENDPOINTS, false },
	/* It has started again meanwhile, and counts from 1. */
	{ "endpoint-before", 2, { 8, 1 }, { 7, 40 }, OBJECT_ENDPOINTS, true },
	{ "endpoint-restart", 2, { 7, 40 }, { 8, 1 }, OBJECT_ENDPOINTS, false },
	/* Its clock went back, or another writer spoiled the entry. */
	{ "endpoint-clock", 1, { 8, 1 }, { 7, 1 }, OBJECT_ENDPOINTS, false },
	{ "endpoint-torn", 1, { 8, 1 }, { 0, 0 }, OBJECT_ENDPOINTS, false },
};

/* Failure: an object in the copy that a store was restored from was taken for
 * news: an older state of the configuration, or an endpoint that had said
 * meanwhile that it leaves. */
static void test_older_content(const void *data)
{
	const older_case_t *c = data;
	object_table_t table = { .kind = c->kind, .order = order_of_content };
	object_order_t order;

	put_content(&table, store_revision_make(1, 50), c->known);
	put_content(&table, store_revision_make(c->put_era, 60), c->put);
	order = order_of_content(c->kind, table.entries[0].spec);
	g_assert_cmpuint(order.sequence, ==,
			 c->keeps ? c->known.sequence : c->put.sequence);
	g_assert_cmpuint(order.incarnation, ==,
			 c->keeps ? c->known.incarnation : c->put.incarnation);
	g_assert_cmpuint(table.entries[0].revision, ==,
			 store_revision_make(c->put_era, 60));
	object_table_free(&table);
}

/* Lists only "b" in a new era of the store at 5,000 ms. */
static void list_without_a(object_table_t *table)
{
	object_table_list_begin(table);
	add_to_list(table, "b", store_revision_make(2, 3));
	object_table_list_end(table, store_revision_make(2, 4), 5000);
}

/* Failure: an endpoint that had registered after the copy of a restored store
 * was made was removed at once by the watcher, or by an instance that follows
 * it, although it registers again within two seconds. */
static void test_lost_endpoint(void)
{
	object_table_t table;
	object_table_t follower;
	CLEANUP_JSON json_t *state = NULL;

	fill_table(&table);
	fill_table(&follower);
	table.kind = follower.kind = OBJECT_ENDPOINTS;
	list_without_a(&table);
	g_assert_cmpuint(table.count, ==, 2);
	state = object_table_export(&table, follower.revision, 5500);
	g_assert_cmpint(object_table_import(&follower, state, 6000), ==, 1);
	g_assert_cmpuint(follower.count, ==, 2);
	g_assert_cmpuint(object_table_digest(&follower), ==,
			 object_table_digest(&table));
	g_assert_cmpint(object_table_expire(&table, 5000 + HOLD_MS), ==, 1);
	/* The follower holds it for the time that was left at the export. */
	g_assert_cmpint(object_table_expire(&follower, 5500 + HOLD_MS - 1), ==,
			0);
	g_assert_cmpint(object_table_expire(&follower, 5500 + HOLD_MS), ==, 1);
	g_assert_cmpuint(table.count, ==, 1);
	g_assert_cmpuint(follower.count, ==, 1);
	object_table_free(&table);
	object_table_free(&follower);
}

/* Failure: what the operator had set after the copy was made was forgotten, and
 * an instance that started before it was set again had nothing. */
static void test_lost_setting(void)
{
	static const object_kind_t kinds[] = { OBJECT_DESIRED, OBJECT_WEIGHTS };

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		object_table_t table;

		fill_table(&table);
		table.kind = kinds[i];
		list_without_a(&table);
		g_assert_cmpint(object_table_expire(&table, 1000000), ==, 0);
		g_assert_cmpuint(table.count, ==, 2);
		/* It is set again, and then removed. */
		apply_change(&table, "a", store_revision_make(2, 5), false,
			     9000);
		apply_change(&table, "a", store_revision_make(2, 6), true,
			     9000);
		g_assert_cmpuint(table.count, ==, 1);
		object_table_free(&table);
	}
}

static void put_endpoint(object_table_t *table, uint64_t revision,
			 uint64_t born, uint64_t sequence, bool deleted)
{
	CLEANUP_JSON json_t *spec = json_pack(
		"{s:I,s:I}", "i", (json_int_t)born, "s", (json_int_t)sequence);
	object_item_t item = { "o", revision, deleted, spec };
	object_page_t page = { .items = &item,
			       .count = 1,
			       .revision = revision };

	g_assert_cmpint(object_table_apply(table, &page, 1000), >=, 0);
}

typedef struct gone_case {
	const char *name;
	uint64_t era; /**< Of the entry that appears; the other is of era 1. */
	content_t content; /**< The removed one had { 7, 40 }. */
	bool suspect;
} gone_case_t;

static const gone_case_t gone_cases[] = {
	{ "copy", 2, { 7, 5 }, true },
	{ "last-copy", 2, { 7, 40 }, true },
	{ "earlier-start", 2, { 6, 90 }, true },
	/* It has written its entry anew, or has started again. */
	{ "alive", 2, { 7, 41 }, false },
	{ "restarted", 2, { 8, 1 }, false },
	{ "same-era", 1, { 7, 40 }, false },
};

/* Failure: an endpoint that was gone came back with the copy that the store was
 * restored from, and got requests until the store removed it again. */
static void test_gone_endpoint(const void *data)
{
	const gone_case_t *c = data;
	object_table_t table = { .kind = OBJECT_ENDPOINTS,
				 .order = order_of_content };

	put_endpoint(&table, store_revision_make(1, 50), 7, 40, false);
	put_endpoint(&table, store_revision_make(1, 51), 7, 40, true);
	g_assert_cmpuint(table.count, ==, 0);
	put_endpoint(&table, store_revision_make(c->era, 60),
		     c->content.incarnation, c->content.sequence, false);
	g_assert_cmpint(table.entries[0].suspect, ==, c->suspect);
	/* If the store does not remove it, it is alive: an endpoint's entry
	 * does not change as long as only its sequence number does. */
	object_table_expire(&table, 1000);
	object_table_expire(&table, 1000 + OBJECT_SUSPECT_MS - 1);
	g_assert_cmpint(table.entries[0].suspect, ==, c->suspect);
	g_assert_cmpint(object_table_expire(&table, 1000 + OBJECT_SUSPECT_MS),
			==, c->suspect);
	g_assert_false(table.entries[0].suspect);
	object_table_free(&table);
}

/* Failure: the copy of an endpoint that was gone was used after the store had
 * been restored once more. */
static void test_gone_over_two_restores(void)
{
	object_table_t table = { .kind = OBJECT_ENDPOINTS,
				 .order = order_of_content };

	put_endpoint(&table, store_revision_make(1, 50), 7, 40, false);
	put_endpoint(&table, store_revision_make(1, 51), 7, 40, true);
	put_endpoint(&table, store_revision_make(2, 45), 7, 30, false);
	object_table_expire(&table, 1000);
	put_endpoint(&table, store_revision_make(3, 45), 7, 30, false);
	g_assert_true(table.entries[0].suspect);
	object_table_expire(&table, 2000);
	object_table_expire(&table, 2000 + OBJECT_SUSPECT_MS - 1);
	g_assert_true(table.entries[0].suspect);
	/* It has written its entry anew. */
	put_endpoint(&table, store_revision_make(3, 46), 7, 41, false);
	g_assert_false(table.entries[0].suspect);
	object_table_free(&table);
}

/* Failure: all instances fetched the contents of all objects after a restore,
 * though they had them, and the link of the peer that they asked was full. */
static void test_unchanged_content(void)
{
	object_table_t table;
	object_table_t follower;
	CLEANUP_JSON json_t *state = NULL;
	size_t i;
	json_t *row;

	fill_table(&table);
	fill_table(&follower);
	object_table_list_begin(&table);
	add_to_list(&table, "a", store_revision_make(2, 5));
	add_to_list(&table, "b", store_revision_make(2, 6));
	object_table_list_end(&table, store_revision_make(2, 7), 5000);
	state = object_table_export(&table, follower.revision, 5500);
	json_array_foreach (json_object_get(state, "rows"), i, row)
		g_assert_true(json_is_null(json_array_get(row, 2)));
	g_assert_cmpint(object_table_import(&follower, state, 6000), ==, 1);
	g_assert_cmpuint(object_table_digest(&follower), ==,
			 object_table_digest(&table));
	g_assert_nonnull(follower.entries[0].spec);
	object_table_free(&table);
	object_table_free(&follower);
}

static const struct {
	const char *name;
	size_t text_bytes; /**< Of each foreign entry's content. */
	int values;	   /**< Likewise. */
	int name_bytes;
} large_cases[] = {
	{ "text", 1048576, 1, 10 },
	{ "values", 1, 40000, 10 },
	{ "name", 1, 1, 1000000 },
	{ "many-small", 100, 10, 100 },
};

enum {
	ENDPOINTS = 50,
	/** Smaller than the limit of the program, so that the test is short. */
	TABLE_MAX_BYTES = 300000,
	/** Size of all foreign entries, bytes. */
	FOREIGN_BYTES = 4 * TABLE_MAX_BYTES,
};

static size_t list_foreign(object_table_t *table, size_t c)
{
	g_autofree char *text = g_strnfill(large_cases[c].text_bytes, 'x');
	CLEANUP_JSON json_t *values = json_array();
	CLEANUP_JSON json_t *spec =
		json_pack("{s:s,s:O}", "service", text, "models", values);
	size_t count = 0;

	for (int i = 0; i < large_cases[c].values; i++)
		json_array_append_new(values, json_integer(i));
	for (size_t bytes = 0; bytes < FOREIGN_BYTES; count++) {
		g_autofree char *name = g_strdup_printf(
			"%0*zu", large_cases[c].name_bytes, count);
		object_item_t item = { name, 5, false, spec };

		g_assert_cmpint(object_table_list_add(table, &item), ==, 1);
		g_assert_cmpuint(table->bytes, <=, TABLE_MAX_BYTES);
		bytes += large_cases[c].text_bytes +
			 (size_t)large_cases[c].name_bytes +
			 (size_t)large_cases[c].values * OBJECT_VALUE_BYTES;
	}
	return count;
}

static void list_endpoints(object_table_t *table)
{
	for (int i = 0; i < ENDPOINTS; i++) {
		g_autofree char *name = g_strdup_printf("e%d", i);

		add_to_list(table, name, 5);
	}
}

static size_t count_endpoints(const object_table_t *table)
{
	size_t count = 0;

	for (size_t i = 0; i < table->count; i++)
		count += *table->entries[i].name == 'e';
	return count;
}

/* Failure: entries of another writer took the memory of an instance without
 * limit. The endpoints' own are smaller, and stay. */
static void test_large_entries(const void *data)
{
	size_t c = GPOINTER_TO_SIZE(data);
	object_table_t table = { .max_bytes = TABLE_MAX_BYTES };
	object_table_t peer = { .max_bytes = TABLE_MAX_BYTES };
	CLEANUP_JSON json_t *state = NULL;
	size_t foreign;

	object_table_list_begin(&table);
	foreign = list_foreign(&table, c);
	list_endpoints(&table);
	object_table_list_end(&table, 5, 1000);
	g_assert_cmpuint(count_endpoints(&table), ==, ENDPOINTS);
	g_assert_cmpuint(table.left_out, >, 0);
	g_assert_cmpuint(table.left_out + table.count, ==, ENDPOINTS + foreign);
	g_assert_false(table.has_room);
	state = object_table_export(&table, 0, 1000);
	g_assert_cmpuint(json_dumpb(state, NULL, 0, JSON_COMPACT), <,
			 TABLE_MAX_BYTES);
	g_assert_cmpint(object_table_import(&peer, state, 1000), ==, 1);
	g_assert_cmpuint(object_table_digest(&peer), ==,
			 object_table_digest(&table));
	object_table_free(&peer);
	/* Once one has gone, a list may find room. */
	g_assert_cmpint(apply_change(&table, "e0", 6, true, 2000), ==, 1);
	g_assert_true(table.has_room);
	object_table_list_begin(&table);
	list_endpoints(&table);
	object_table_list_end(&table, 7, 3000);
	g_assert_cmpuint(table.count, ==, ENDPOINTS);
	g_assert_cmpuint(table.left_out, ==, 0);
	object_table_free(&table);
	g_assert_cmpuint(table.bytes, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/object-table/stale-answer", test_stale_answer);
	g_test_add_func("/object-table/empty-answer", test_empty_answer);
	g_test_add_func("/object-table/removed", test_removed);
	g_test_add_func("/object-table/held-removal", test_held_removal);
	g_test_add_func("/object-table/from-peer", test_from_peer);
	g_test_add_func("/object-table/from-empty-peer", test_from_empty_peer);
	g_test_add_func("/object-table/from-peer-with-gap",
			test_from_peer_with_gap);
	g_test_add_func("/object-table/new-era", test_new_era);
	g_test_add_func("/object-table/peer-in-new-era", test_peer_in_new_era);
	g_test_add_func("/object-table/lost-endpoint", test_lost_endpoint);
	g_test_add_func("/object-table/lost-setting", test_lost_setting);
	g_test_add_func("/object-table/unchanged-content",
			test_unchanged_content);
	g_test_add_func("/object-table/gone-over-two-restores",
			test_gone_over_two_restores);
	for (size_t i = 0; i < G_N_ELEMENTS(older_cases); i++) {
		char *path = g_strdup_printf("/object-table/older-content/%s",
					     older_cases[i].name);

		g_test_add_data_func(path, &older_cases[i], test_older_content);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(gone_cases); i++) {
		char *path = g_strdup_printf("/object-table/gone-endpoint/%s",
					     gone_cases[i].name);

		g_test_add_data_func(path, &gone_cases[i], test_gone_endpoint);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(large_cases); i++) {
		g_autofree char *path =
			g_strconcat("/object-table/large-entries/",
				    large_cases[i].name, NULL);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i),
				     test_large_entries);
	}
	return g_test_run();
}
