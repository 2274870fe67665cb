/* Crash evidence in the store: what is kept, when it is written, and what it
 * prevents when all instances are killed again and again. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/crash_archive.h"
#include "process/error.h"

enum {
	DEADLY = 7,
	REQUEST = 101,
	TICK_MS = 100,
	/** A deadly request arrives at this interval. */
	REQUEST_INTERVAL_MS = 500,
	/** Requests this soon after a start, or after the third crash, do not
	 * count (stable_window_ms). */
	STABLE_MS = 3000,
	/** Requests that may reach endpoints later than that. */
	LATE_MAX = 3,
	DAY_MS = 120000,
};

static crash_news_t suspect(uint64_t crash, uint64_t id, uint32_t age_ms)
{
	return (crash_news_t){ .kind = CRASH_NEWS_SUSPECT,
			       .key = { id, CRASH_KEY_REQUEST },
			       .crash = crash,
			       .request = REQUEST,
			       .age_ms = age_ms };
}

static void add_crash(crash_evidence_t *evidence, uint64_t crash, uint64_t id,
		      uint64_t now_ms)
{
	const crash_news_t news = suspect(crash, id, 0);

	crash_evidence_apply(evidence, &news, now_ms);
}

static void block(crash_evidence_t *evidence, uint64_t now_ms)
{
	for (uint64_t i = 0; i < CRASH_EVIDENCE_CRASHES_MIN; i++)
		add_crash(evidence, 1 + i, DEADLY,
			  now_ms + i * 2 * CRASH_EVIDENCE_GROUP_MS);
	g_assert_nonnull(crash_evidence_blocked(evidence, DEADLY));
}

/* Writes a snapshot to the store and reads it. */
static crash_snapshot_t *pass_through_store(const crash_snapshot_t *snapshot)
{
	crash_snapshot_t *read = g_new0(crash_snapshot_t, 1);
	CLEANUP_JSON json_t *value = crash_snapshot_to_json(snapshot);
	CLEANUP_FREE char *text = json_dumps(value, 0);
	CLEANUP_JSON json_t *parsed = json_loads(text, 0, NULL);

	crash_snapshot_from_json(parsed, read);
	return read;
}

/* Failure: evidence that was read from the store differed from what was
 * written.
 */
static void test_round_trip(void)
{
	g_autofree crash_evidence_t *evidence = g_new0(crash_evidence_t, 1);
	g_autofree crash_snapshot_t *read = NULL;
	crash_snapshot_t snapshot;
	crash_key_t key = { DEADLY, CRASH_KEY_REQUEST };
	instance_place_t alone = { 0, 1 };

	crash_evidence_init(evidence);
	block(evidence, 1000);
	add_crash(evidence, UINT64_MAX, UINT64_MAX - 1, 2000);
	g_assert_cmpint(
		crash_evidence_decide(evidence, &key, 1, &alone, 12000, NULL),
		==, CRASH_PROBE);
	crash_snapshot_take(&snapshot, evidence, 12000);
	g_assert_cmpuint(snapshot.count, ==, 5);
	g_assert_cmpuint(snapshot.news[0].probes, ==, 1);
	read = pass_through_store(&snapshot);
	g_assert_cmpuint(read->count, ==, snapshot.count);
	for (size_t i = 0; i < read->count; i++)
		g_assert_cmpuint(read->news[i].age_ms, ==,
				 snapshot.news[i].age_ms);
	g_assert_true(crash_snapshot_contains(read, &snapshot));
	g_assert_true(crash_snapshot_contains(&snapshot, read));
}

/* Failure: suspects that the next run clears were written to the store, or a
 * block only after some time. */
static void test_settling(void)
{
	g_autofree crash_evidence_t *evidence = g_new0(crash_evidence_t, 1);
	crash_snapshot_t snapshot;

	crash_evidence_init(evidence);
	add_crash(evidence, 1, 1, 1000);
	crash_snapshot_take(&snapshot, evidence, 1100);
	g_assert_cmpuint(snapshot.count, ==, 0);
	crash_snapshot_take(&snapshot, evidence,
			    1000 + CRASH_SNAPSHOT_SETTLE_MS);
	g_assert_cmpuint(snapshot.count, ==, 1);
	crash_evidence_init(evidence);
	block(evidence, 1000);
	crash_snapshot_take(&snapshot, evidence, 1500);
	g_assert_cmpuint(snapshot.count, ==, 1);
	g_assert_cmpint(snapshot.news[0].kind, ==, CRASH_NEWS_BLOCKED);
}

/* Failure: a part of the suspects of a crash was kept without the deeper ones
 * that explain it. */
static void test_whole_crashes(void)
{
	g_autofree crash_evidence_t *evidence = g_new0(crash_evidence_t, 1);
	crash_snapshot_t snapshot;
	uint32_t crashes = 0;

	crash_evidence_init(evidence);
	for (uint64_t crash = 1; crash <= 8; crash++) {
		for (uint64_t i = 1; i < CRASH_EVIDENCE_SUSPECTS_MAX; i++)
			add_crash(evidence, crash, crash * 1000 + i,
				  crash * 1000);
	}
	crash_snapshot_take(&snapshot, evidence, 20000);
	g_assert_cmpuint(snapshot.count, <=, CRASH_SNAPSHOT_MAX);
	for (size_t i = 0; i < snapshot.count; i++) {
		if (i && snapshot.news[i].crash == snapshot.news[i - 1].crash)
			continue;
		g_assert_cmpuint(snapshot.news[i].crash, ==, 8 - crashes);
		crashes++;
	}
	g_assert_cmpuint(crashes, >, 1);
	g_assert_cmpuint(snapshot.count, ==,
			 crashes * (CRASH_EVIDENCE_SUSPECTS_MAX - 1));
}

static const char *const bad_objects[] = {
	"[]",
	"{}",
	"{\"keys\":7}",
	"{\"keys\":[7,[],[\"b\"],{}]}",
	"{\"keys\":[[\"x\",\"0000000000000007\",1,1,1]]}",
	"{\"keys\":[[\"b\",\"0000000000000000\",1,1,1]]}",
	"{\"keys\":[[\"b\",\"7\",1,1,1]]}",
	"{\"keys\":[[\"b\",\"0000000000000007\",1,-1,1]]}",
	"{\"keys\":[[\"b\",\"0000000000000007\",1,4294967296,1]]}",
	"{\"keys\":[[\"s\",\"0000000000000007\",1,1,\"0000000000000001\"]]}",
	"{\"keys\":[[7,\"0000000000000007\",1,1,1]]}",
};

/* Failure: an object that another writer left in the store was taken for
 * evidence. */
static void test_bad_objects(void)
{
	crash_snapshot_t snapshot;

	for (size_t i = 0; i < G_N_ELEMENTS(bad_objects); i++) {
		CLEANUP_JSON json_t *value =
			json_loads(bad_objects[i], 0, NULL);

		g_assert_nonnull(value);
		crash_snapshot_from_json(value, &snapshot);
		g_assert_cmpuint(snapshot.count, ==, 0);
	}
}

typedef struct archive_rig {
	crash_archive_t archive;
	crash_snapshot_t current;
	bool reachable;
	bool writer;
	uint64_t now_ms;
} archive_rig_t;

static void open_rig(archive_rig_t *rig)
{
	memset(rig, 0, sizeof(*rig));
	rig->reachable = true;
	rig->writer = true;
	rig->now_ms = 5000;
}

static void set_keys(crash_snapshot_t *snapshot, size_t count)
{
	snapshot->count = count;
	for (size_t i = 0; i < count; i++)
		snapshot->news[i] = suspect(1, 1 + i, 0);
}

static crash_archive_action_t step(archive_rig_t *rig, uint64_t pass_ms)
{
	crash_archive_input_t input = { rig->reachable, rig->writer,
					&rig->current };

	rig->now_ms += pass_ms;
	return crash_archive_step(&rig->archive, &input, rig->now_ms);
}

/* Failure: the store was called more often than needed, by several instances,
 * or a failed call was not repeated. */
static void test_calls(void)
{
	archive_rig_t rig;

	open_rig(&rig);
	rig.reachable = false;
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_NONE);
	rig.reachable = true;
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_READ);
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_NONE);
	crash_archive_on_read(&rig.archive, ERR_STORE_DOWN, 0, NULL,
			      rig.now_ms);
	g_assert_cmpint(step(&rig, CRASH_ARCHIVE_RETRY_MS - 1), ==,
			CRASH_ARCHIVE_NONE);
	g_assert_cmpint(step(&rig, 1), ==, CRASH_ARCHIVE_READ);
	crash_archive_on_read(&rig.archive, ERR_NOT_FOUND, 0, NULL, rig.now_ms);
	/* Nothing is known. */
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_NONE);
	set_keys(&rig.current, 2);
	rig.writer = false;
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_NONE);
	rig.writer = true;
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_WRITE);
	crash_archive_on_written(&rig.archive, 0, 9, rig.now_ms);
	g_assert_cmpuint(rig.archive.revision, ==, 9);
	g_assert_cmpint(step(&rig, DAY_MS), ==, CRASH_ARCHIVE_NONE);
	set_keys(&rig.current, 3);
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_WRITE);
	crash_archive_on_written(&rig.archive, 0, 10, rig.now_ms);
	set_keys(&rig.current, 4);
	g_assert_cmpint(step(&rig, CRASH_ARCHIVE_INTERVAL_MS - 1), ==,
			CRASH_ARCHIVE_NONE);
	g_assert_cmpint(step(&rig, 1), ==, CRASH_ARCHIVE_WRITE);
	crash_archive_on_written(&rig.archive, 0, 11, rig.now_ms);
	/* What was cleared is removed as soon. */
	set_keys(&rig.current, 1);
	g_assert_cmpint(step(&rig, CRASH_ARCHIVE_INTERVAL_MS - 1), ==,
			CRASH_ARCHIVE_NONE);
	g_assert_cmpint(step(&rig, 1), ==, CRASH_ARCHIVE_WRITE);
}

/* Failure: of two instances that wrote, one deleted what the other had found
 * out, or a restored store without the object was not written again. */
static void test_conflicts(void)
{
	archive_rig_t rig;
	crash_snapshot_t others;

	open_rig(&rig);
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_READ);
	crash_archive_on_read(&rig.archive, ERR_NOT_FOUND, 0, NULL, rig.now_ms);
	set_keys(&rig.current, 2);
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_WRITE);
	crash_archive_on_written(&rig.archive, ERR_STORE_CONDITION, 0,
				 rig.now_ms);
	g_assert_cmpint(step(&rig, 0), ==, CRASH_ARCHIVE_READ);
	set_keys(&others, 3);
	crash_archive_on_read(&rig.archive, 0, 20, &others, rig.now_ms);
	/* What was read is news, and then part of the evidence here. */
	set_keys(&rig.current, 4);
	g_assert_cmpint(step(&rig, CRASH_ARCHIVE_INTERVAL_MS), ==,
			CRASH_ARCHIVE_WRITE);
	g_assert_cmpuint(rig.archive.revision, ==, 20);
	crash_archive_on_written(&rig.archive, ERR_NOT_FOUND, 0, rig.now_ms);
	g_assert_cmpint(step(&rig, CRASH_ARCHIVE_INTERVAL_MS), ==,
			CRASH_ARCHIVE_WRITE);
	g_assert_cmpuint(rig.archive.revision, ==, 0);
}

/* An instance, a store and endpoints on virtual time. */
typedef struct day {
	crash_evidence_t evidence;
	archive_rig_t instance;
	bool has_object;
	uint64_t revision;
	crash_snapshot_t object;
	uint64_t started_ms;
	uint64_t third_ms;
	uint64_t crashes;
	uint32_t late;
} day_t;

static void start_instance(day_t *day, uint64_t now_ms)
{
	crash_evidence_init(&day->evidence);
	open_rig(&day->instance);
	day->started_ms = now_ms;
}

static void send_deadly(day_t *day, uint64_t now_ms)
{
	crash_key_t key = { DEADLY, CRASH_KEY_REQUEST };
	instance_place_t alone = { 0, 1 };

	if (crash_evidence_decide(&day->evidence, &key, 1, &alone, now_ms,
				  NULL) == CRASH_REFUSE)
		return;
	day->crashes++;
	if (day->crashes == CRASH_EVIDENCE_CRASHES_MIN)
		day->third_ms = now_ms;
	day->late += day->crashes > CRASH_EVIDENCE_CRASHES_MIN &&
		     now_ms > day->third_ms + STABLE_MS &&
		     now_ms > day->started_ms + STABLE_MS;
	add_crash(&day->evidence, day->crashes, DEADLY, now_ms);
}

static void answer_read(day_t *day, uint64_t now_ms)
{
	if (!day->has_object) {
		crash_archive_on_read(&day->instance.archive, ERR_NOT_FOUND, 0,
				      NULL, now_ms);
		return;
	}
	for (size_t i = 0; i < day->object.count; i++)
		crash_evidence_apply(&day->evidence, &day->object.news[i],
				     now_ms);
	crash_archive_on_read(&day->instance.archive, 0, day->revision,
			      &day->object, now_ms);
}

static void tick(day_t *day, uint64_t now_ms)
{
	archive_rig_t *instance = &day->instance;

	crash_evidence_advance(&day->evidence, now_ms);
	crash_snapshot_take(&instance->current, &day->evidence, now_ms);
	instance->now_ms = now_ms;
	switch (step(instance, 0)) {
	case CRASH_ARCHIVE_NONE:
		return;
	case CRASH_ARCHIVE_READ:
		answer_read(day, now_ms);
		return;
	case CRASH_ARCHIVE_WRITE:
		day->has_object = true;
		day->object = instance->archive.sent;
		crash_archive_on_written(&instance->archive, 0, ++day->revision,
					 now_ms);
		return;
	}
}

static const uint64_t lives_ms[] = { 3400,  5000,  7700,  12000,
				     16000, 20000, 31000, 60000 };

/* Failure: each time that all instances were killed, what crashes endpoints was
 * sent to them some more times. */
static void test_killed_again_and_again(const void *data)
{
	uint64_t life_ms = *(const uint64_t *)data;
	g_autofree day_t *day = g_new0(day_t, 1);

	for (uint64_t now_ms = 1000; now_ms < DAY_MS; now_ms += TICK_MS) {
		if (now_ms % life_ms < TICK_MS || now_ms == 1000)
			start_instance(day, now_ms);
		tick(day, now_ms);
		/* A client does not get through right after the start. */
		if (now_ms % REQUEST_INTERVAL_MS == 0 &&
		    now_ms >= day->started_ms + REQUEST_INTERVAL_MS)
			send_deadly(day, now_ms);
	}
	g_assert_cmpuint(day->crashes, >=, CRASH_EVIDENCE_CRASHES_MIN);
	g_assert_cmpuint(day->late, <=, LATE_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-archive/round-trip", test_round_trip);
	g_test_add_func("/crash-archive/settling", test_settling);
	g_test_add_func("/crash-archive/whole-crashes", test_whole_crashes);
	g_test_add_func("/crash-archive/bad-objects", test_bad_objects);
	g_test_add_func("/crash-archive/calls", test_calls);
	g_test_add_func("/crash-archive/conflicts", test_conflicts);
	for (size_t i = 0; i < G_N_ELEMENTS(lives_ms); i++) {
		g_autofree char *path = g_strdup_printf(
			"/crash-archive/killed-again-and-again/%u-ms",
			(uint32_t)lives_ms[i]);

		g_test_add_data_func(path, &lives_ms[i],
				     test_killed_again_and_again);
	}
	return g_test_run();
}
