/* The watch of one kind of objects beside a store that is restored from an
 * older copy; the loop runs on the test's thread. */
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/object_watch.h"
#include "process/store_outage.h"
#include "process/store_revision.h"
#include "t/lib/platform_store.h"

enum {
	WAIT_MS = 5000,
	POLL_MS = 5,
	/** Longer than WAIT_MS, so that a watch that missed a change fails. */
	WATCH_WAIT_MS = 20000,
	/** Changes of the endpoints after the copy was made. */
	LOST_CHANGES = 3,
	/** Changes of other objects after the return. */
	LATER_CHANGES = 10,
	/** Time for which removals are held after the return. */
	HOLD_MS = 600,
	/** `value_bytes` of the platform, less the rest of an object. */
	VALUE_BYTES = 1048000,
	/** More than an answer may have. */
	LARGE_CHANGES = 5,
	/** Of a table with little room. */
	TABLE_MAX_BYTES = 20000,
};

typedef struct rig {
	platform_store_t *store;
	struct event_base *base;
	store_link_t link;
	rng_t rng;
	object_table_t table;
	object_watch_t *watch;
	store_outage_t outage;
	bool failing;
	uint64_t copied; /**< Revision of the copy. */
} rig_t;

static void on_era(void *context)
{
	const rig_t *rig = context;

	object_watch_check_era(rig->watch);
}

static void on_changed(void *context, object_kind_t kind)
{
	(void)context;
	(void)kind;
}

static void on_contact(void *context, object_kind_t kind, int err)
{
	rig_t *rig = context;

	(void)kind;
	rig->failing = err != 0;
	if (store_outage_update(
		    &rig->outage,
		    (store_contact_t){ .answers = !err, .fails = err != 0 }) ==
	    STORE_OUTAGE_ENDED)
		object_table_hold(&rig->table, clock_now_ms());
	event_base_loopbreak(rig->base);
}

static void put_endpoint(rig_t *rig, const char *name)
{
	platform_store_put(rig->store, "servers", name, json_pack("{}"));
}

/* Runs the loop for POLL_MS, or until the contact changes. */
static void run_loop(rig_t *rig)
{
	struct timeval poll = { .tv_usec = POLL_MS * 1000 };

	event_base_loopexit(rig->base, &poll);
	event_base_dispatch(rig->base);
}

/* Runs the loop until `condition` is true; false after WAIT_MS. */
#define RUN_UNTIL(rig, condition)                                     \
	({                                                            \
		uint64_t deadline_ms_ = clock_now_ms() + WAIT_MS;     \
                                                                      \
		while (!(condition) && clock_now_ms() < deadline_ms_) \
			run_loop(rig);                                \
		(condition);                                          \
	})

static bool has_endpoint(const rig_t *rig, const char *name)
{
	for (size_t i = 0; i < rig->table.count; i++) {
		if (!strcmp(rig->table.entries[i].name, name))
			return true;
	}
	return false;
}

static void rig_open(rig_t *rig)
{
	object_watch_options_t options = {
		.store = &rig->link,
		.kind = OBJECT_ENDPOINTS,
		.table = &rig->table,
		.wait_ms = WATCH_WAIT_MS,
		.answer_margin_ms = WAIT_MS,
		.rng = &rig->rng,
		.changed = on_changed,
		.contact_changed = on_contact,
		.context = rig,
	};

	memset(rig, 0, sizeof(*rig));
	rig->store = platform_store_start();
	rig->base = event_base_new();
	rng_init(&rig->rng, 1);
	rig->table.kind = OBJECT_ENDPOINTS;
	rig->table.hold_ms = HOLD_MS;
	rig->link = (store_link_t){
		.outbound = outbound_open(rig->base),
		.base = rig->base,
		.target = { .key = "store",
			    .connections_max = 2,
			    .connect_timeout_ms = WAIT_MS },
		.era_changed = on_era,
		.context = rig,
	};
	rig->link.target.address.v4.sin_family = AF_INET;
	rig->link.target.address.v4.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rig->link.target.address.v4.sin_port =
		htons(platform_store_port(rig->store));
	rig->watch = object_watch_start(&options);
	g_assert_nonnull(rig->watch);
	put_endpoint(rig, "a");
	rig->copied = platform_store_revision(rig->store);
	for (int i = 0; i < LOST_CHANGES; i++)
		put_endpoint(rig, "a");
	object_watch_set_active(rig->watch, true);
	g_assert_true(RUN_UNTIL(rig, rig->table.complete));
}

static void rig_close(rig_t *rig)
{
	object_watch_stop(rig->watch);
	object_table_free(&rig->table);
	outbound_close(rig->link.outbound);
	event_base_free(rig->base);
	platform_store_stop(rig->store);
}

/* The store is away and returns from the copy. Before the watch is sent again,
 * the endpoint "b" registers and the revision passes that of the table. */
static void restore_and_pass(rig_t *rig)
{
	platform_store_set_down(rig->store, true);
	g_assert_true(RUN_UNTIL(rig, rig->failing));
	platform_store_restore(rig->store, rig->copied);
	put_endpoint(rig, "b");
	for (int i = 0; i < LATER_CHANGES; i++)
		platform_store_put(rig->store, "others", "o", json_pack("{}"));
	platform_store_set_down(rig->store, false);
}

/* Takes the table of a peer that listed the endpoints right after the return.
 */
static void import_from_peer(rig_t *rig)
{
	object_table_t peer = { .kind = OBJECT_ENDPOINTS };
	CLEANUP_JSON json_t *spec = json_pack("{}");
	object_item_t item = { "a", store_revision_make(2, rig->copied), false,
			       spec };
	CLEANUP_JSON json_t *state = NULL;

	object_table_list_begin(&peer);
	object_table_list_add(&peer, &item);
	object_table_list_end(&peer, item.revision, 1);
	state = object_table_export(&peer, 0, 1);
	g_assert_cmpint(object_table_import(&rig->table, state, 1), ==, 1);
	object_table_free(&peer);
}

static void on_other_answer(void *context, const store_answer_t *answer)
{
	(void)context;
	g_assert_cmpuint(answer->era, ==, 2);
}

/* Makes another call, whose answer shows the new era. */
static void make_other_call(rig_t *rig)
{
	struct evbuffer *message = evbuffer_new();

	platform_write_get(message, OBJECT_DESIRED, "main");
	g_assert_nonnull(store_call_send(&rig->link, message, WAIT_MS,
					 on_other_answer, NULL));
	evbuffer_free(message);
}

/* Failure: a watch from a revision of before the restore went on after a
 * peer's table of the new era had been taken, and missed what was written in
 * between. */
static void test_pending_call(const void *data)
{
	bool answered = *(const bool *)data;
	rig_t rig;
	uint32_t calls;

	rig_open(&rig);
	restore_and_pass(&rig);
	calls = platform_store_calls(rig.store);
	g_assert_true(RUN_UNTIL(&rig, platform_store_calls(rig.store) > calls));
	import_from_peer(&rig);
	g_assert_false(has_endpoint(&rig, "b"));
	if (answered)
		put_endpoint(&rig, "c");
	else
		make_other_call(&rig);
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "b")));
	if (answered)
		g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "c")));
	rig_close(&rig);
}

/* Failure: a watch that was activated after the new era was known went on from
 * a revision of before the restore. */
static void test_activated(void)
{
	rig_t rig;

	rig_open(&rig);
	restore_and_pass(&rig);
	object_watch_set_active(rig.watch, false);
	make_other_call(&rig);
	g_assert_true(RUN_UNTIL(&rig, rig.link.era == 2));
	object_watch_set_active(rig.watch, true);
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "b")));
	rig_close(&rig);
}

/* Failure: endpoints that had lapsed while the store was away were dropped at
 * its return, before they could register again. */
static void test_lapsed(const void *data)
{
	bool listed = *(const bool *)data;
	rig_t rig;
	uint64_t returned_ms;

	rig_open(&rig);
	platform_store_set_down(rig.store, true);
	g_assert_true(RUN_UNTIL(&rig, rig.failing));
	platform_store_remove(rig.store, "servers", "a");
	if (listed)
		platform_store_forget(rig.store);
	returned_ms = clock_now_ms();
	platform_store_set_down(rig.store, false);
	g_assert_true(RUN_UNTIL(&rig, !rig.failing));
	g_assert_true(has_endpoint(&rig, "a"));
	g_assert_true(
		RUN_UNTIL(&rig, clock_now_ms() >= returned_ms + HOLD_MS / 2));
	g_assert_true(has_endpoint(&rig, "a"));
	g_assert_true(
		RUN_UNTIL(&rig, clock_now_ms() > returned_ms + 2 * HOLD_MS));
	g_assert_cmpint(object_table_expire(&rig.table, clock_now_ms()), ==, 1);
	g_assert_false(has_endpoint(&rig, "a"));
	rig_close(&rig);
}

/* Failure: a new watcher took its first answer for the end of an outage and
 * held removals, so requests went to endpoints that were gone for 2 s and more.
 */
static void test_handover(const void *data)
{
	bool listed = *(const bool *)data;
	rig_t rig;

	rig_open(&rig);
	put_endpoint(&rig, "b");
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "b")));
	object_watch_set_active(rig.watch, false);
	platform_store_remove(rig.store, "servers", "a");
	if (listed)
		platform_store_forget(rig.store);
	object_watch_set_active(rig.watch, true);
	g_assert_true(RUN_UNTIL(&rig, !has_endpoint(&rig, "a")));
	platform_store_remove(rig.store, "servers", "b");
	g_assert_true(RUN_UNTIL(&rig, !has_endpoint(&rig, "b")));
	rig_close(&rig);
}

/* Whole objects of another writer. */
static const struct {
	const char *name;
	const char *text;
	bool has_name;
} odd_objects[] = {
	{ "content",
	  "{\"metadata\":{\"name\":\"b&1\",\"rev\":9},\"spec\":{\"seq\":1e999}}",
	  true },
	{ "status",
	  "{\"spec\":{},\"status\":\"\\ud800\","
	  "\"metadata\":{\"rev\":9,\"name\":\"b&1\"}}",
	  true },
	{ "number", "7", false },
	{ "no-metadata", "{\"spec\":{}}", false },
	{ "unreadable-name",
	  "{\"metadata\":{\"name\":\"\\ud800\",\"rev\":9},\"spec\":{}}",
	  false },
};

/* Failure: a page of which no object could be read ended the list, and all that
 * was behind it was taken for removed. */
static void test_odd_page(const void *data)
{
	size_t i = GPOINTER_TO_SIZE(data);
	rig_t rig;

	rig_open(&rig);
	put_endpoint(&rig, "c");
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "c")));
	object_watch_set_active(rig.watch, false);
	platform_store_set_page_items(rig.store, 1);
	platform_store_put_text(rig.store, "servers", "b&1",
				odd_objects[i].text);
	put_endpoint(&rig, "d");
	platform_store_forget(rig.store);
	object_watch_set_active(rig.watch, true);
	if (!odd_objects[i].has_name) {
		/* The list cannot go on behind it; nothing is lost. */
		g_assert_true(RUN_UNTIL(&rig, rig.failing));
		g_assert_true(has_endpoint(&rig, "c"));
		platform_store_remove(rig.store, "servers", "b&1");
	}
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "d")));
	g_assert_true(has_endpoint(&rig, "c"));
	g_assert_false(has_endpoint(&rig, "b&1"));
	rig_close(&rig);
}

/* Failure: changes that were too long for one answer were asked for again and
 * again, and none was taken. */
static void test_large_changes(void)
{
	rig_t rig;

	rig_open(&rig);
	object_watch_set_active(rig.watch, false);
	for (int i = 0; i < LARGE_CHANGES; i++) {
		g_autofree char *name = g_strdup_printf("large-%d", i);
		g_autofree char *text = g_strnfill(VALUE_BYTES, 'x');

		platform_store_put(rig.store, "servers", name,
				   json_pack("{s:s}", "text", text));
	}
	put_endpoint(&rig, "b");
	platform_store_remove(rig.store, "servers", "a");
	object_watch_set_active(rig.watch, true);
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "b")));
	g_assert_true(RUN_UNTIL(&rig, !has_endpoint(&rig, "a")));
	g_assert_false(rig.failing);
	rig_close(&rig);
}

static void put_text(rig_t *rig, const char *name, size_t bytes)
{
	g_autofree char *text = g_strnfill(bytes, 'x');

	platform_store_put(rig->store, "servers", name,
			   json_pack("{s:s,s:s,s:s,s:i,s:s}", "service", text,
				     "addr", "127.0.0.1:9", "zone", "z",
				     "slots", 1, "state", "ready"));
}

/* Failure: an entry that was left out for want of room stayed away after others
 * had made room. */
static void test_room(const void *data)
{
	bool listed = *(const bool *)data;
	rig_t rig;

	rig_open(&rig);
	object_watch_set_active(rig.watch, false);
	rig.table.max_bytes = TABLE_MAX_BYTES;
	put_text(&rig, "large", TABLE_MAX_BYTES / 2);
	object_watch_set_active(rig.watch, true);
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "large")));
	if (listed)
		object_watch_set_active(rig.watch, false);
	put_text(&rig, "larger", TABLE_MAX_BYTES / 3 * 2);
	if (!listed)
		g_assert_true(RUN_UNTIL(&rig, rig.table.left_out == 1));
	g_assert_false(has_endpoint(&rig, "larger"));
	platform_store_remove(rig.store, "servers", "large");
	if (listed) {
		platform_store_forget(rig.store);
		object_watch_set_active(rig.watch, true);
	}
	g_assert_true(RUN_UNTIL(&rig, has_endpoint(&rig, "larger")));
	g_assert_true(has_endpoint(&rig, "a"));
	g_assert_false(has_endpoint(&rig, "large"));
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	static const bool answered[] = { false, true };

	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/object-watch/pending-call/waiting", &answered[0],
			     test_pending_call);
	g_test_add_data_func("/object-watch/pending-call/answered",
			     &answered[1], test_pending_call);
	g_test_add_func("/object-watch/activated", test_activated);
	g_test_add_data_func("/object-watch/lapsed/watched", &answered[0],
			     test_lapsed);
	g_test_add_data_func("/object-watch/lapsed/listed", &answered[1],
			     test_lapsed);
	g_test_add_data_func("/object-watch/handover/watched", &answered[0],
			     test_handover);
	g_test_add_data_func("/object-watch/handover/listed", &answered[1],
			     test_handover);
	g_test_add_func("/object-watch/large-changes", test_large_changes);
	g_test_add_data_func("/object-watch/room/watched", &answered[0],
			     test_room);
	g_test_add_data_func("/object-watch/room/listed", &answered[1],
			     test_room);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_objects); i++) {
		g_autofree char *path = g_strconcat("/object-watch/odd-page/",
						    odd_objects[i].name, NULL);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_odd_page);
	}
	return g_test_run();
}
