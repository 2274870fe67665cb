/*
 * Software history: tables of cases, and seeded schedules of instances that
 * start and end, alone and all at once, while versions come and go.
 */
#include <glib.h>
#include <string.h>

#include "process/software_history.h"
#include "t/lib/sim.h"

enum {
	KEEP_MS = SOFTWARE_KEEP_MS,
	NEW_MS = SOFTWARE_NEW_MS,
	/** Most versions in a step of a case. */
	KEYS_MAX = SOFTWARE_HISTORY_MAX + 8,
	/** Schedules. */
	SCHEDULES = 500,
	INSTANCES = 4,
	SERVICES = 2,
	VERSIONS = 3,
	TICK_MS = 100,
	RUN_MS = 600000,
	/** Longest time without the first instance of those that run. */
	DOWN_MAX_MS = 5000,
	/** Time that the lease takes to change its holder. */
	TAKEOVER_MS = 2000,
	RENEWAL_MS = 1000,
};

/* ---- Cases ---- */

/** Versions are written as a letter for the service and one for the software,
 * separated by spaces. */
typedef struct step {
	uint64_t at_ms;
	const char *note;    /**< That is read instead of a step, or NULL. */
	const char *present; /**< NULL: neither step nor note. */
	const char *peers;   /**< C: any_complete, M: any_mixed. */
	/** C: complete, M: mixed, S: says mixed. */
	const char *state;
	const char *new_keys; /**< Of those that are present. */
	const char *written;  /**< Note; NULL: not checked. */
} step_t;

static const struct {
	const char *name;
	step_t steps[8];
} cases[] = {
	{ "one version is never mixed or new",
	  { { 0, NULL, "a1 b1", "", "", "", "61:31,62:31" },
	    { 100, NULL, "a1 b1", "C", "C", "", "61:31,62:31" },
	    { 2 * KEEP_MS, NULL, "a1 b1", "C", "C", "", "61:31,62:31" } } },
	{ "complete after a while alone",
	  { { 0, NULL, "", "", "", "", "" },
	    { KEEP_MS - 1, NULL, "a1", "", "", "", "61:31" },
	    { KEEP_MS, NULL, "a1", "", "C", "", "61:31" } } },
	{ "complete by a note, also an empty one",
	  { { 0, NULL, "a1", "", "", "", "61:31" },
	    { 10, "", NULL, NULL, "C", "", "61:31" } } },
	{ "several versions in the first step are mixed, but not new",
	  { { 0, NULL, "a1 a2", "", "MS", "", "61:31,61:32" },
	    { 100, NULL, "a1 a2", "C", "CMS", "", NULL } } },
	{ "the first step may show none",
	  { { 0, NULL, "", "", "", "", "" },
	    { 100, NULL, "a1 a2", "", "MS", "", NULL } } },
	{ "a second version is new for a while",
	  { { 0, NULL, "a1", "C", "C", "", NULL },
	    { 5000, NULL, "a1 a2", "C", "CMS", "a2", "61:31,61:32" },
	    { 5000 + NEW_MS - 1, NULL, "a1 a2", "C", "CMS", "a2", NULL },
	    { 5000 + NEW_MS, NULL, "a1 a2", "C", "CMS", "", NULL } } },
	{ "new also after the first one has left",
	  { { 0, NULL, "a1", "C", "C", "", NULL },
	    { 100, NULL, "", "C", "C", "", "61:31" },
	    { KEEP_MS - 1, NULL, "a2", "C", "CMS", "a2", NULL } } },
	{ "a version of another service is not new",
	  { { 0, NULL, "a1", "C", "C", "", NULL },
	    { 100, NULL, "a1 b2", "C", "C", "", "61:31,62:32" } } },
	{ "kept after it was last seen, and not new when it returns",
	  { { 0, NULL, "a1 a2", "C", "CMS", "", NULL },
	    { 100, NULL, "a1", "C", "CMS", "", "61:31,61:32" },
	    { KEEP_MS - 1, NULL, "a1 a2", "C", "CMS", "", "61:31,61:32" },
	    { 2 * KEEP_MS - 2, NULL, "a1", "C", "CMS", "", "61:31,61:32" },
	    { 2 * KEEP_MS - 1, NULL, "a1", "C", "C", "", "61:31" },
	    { 2 * KEEP_MS, NULL, "a1 a2", "C", "CMS", "a2", NULL } } },
	{ "the end of a version between two steps",
	  { { 0, NULL, "a1 a2", "C", "CMS", "", NULL },
	    { 100, NULL, "a1", "C", "CMS", "", NULL },
	    { KEEP_MS, NULL, NULL, NULL, "C", "", NULL } } },
	{ "one that is present after a pause goes on",
	  { { 0, NULL, "a1", "C", "C", "", NULL },
	    { 3 * KEEP_MS, NULL, "a1 a2", "C", "CMS", "a2", NULL } } },
	{ "a forgotten version does not make another one new",
	  { { 0, NULL, "a1", "C", "C", "", NULL },
	    { 100, NULL, "", "C", "C", "", NULL },
	    { KEEP_MS, NULL, "a2", "C", "C", "", "61:32" } } },
	{ "a note counts as seen when it is read",
	  { { 1000, NULL, "a1", "", "", "", NULL },
	    { 1500, "61:32,61:31", NULL, NULL, "CMS", "", "61:31,61:32" },
	    { 1500 + KEEP_MS - 1, NULL, "a1", "", "CMS", "", NULL },
	    { 1500 + KEEP_MS, NULL, "a1", "", "C", "", "61:31" } } },
	{ "a version beside one of the note is not new in the first step",
	  { { 0, "61:31", NULL, NULL, "C", "", "61:31" },
	    { 10, NULL, "a2", "", "CMS", "", "61:31,61:32" },
	    { 20, NULL, "a2 a3", "", "CMS", "a3", NULL } } },
	{ "note without names",
	  { { 0, "*", NULL, NULL, "CMS", "", "*" },
	    { 10, NULL, "a1", "", "CMS", "", "*" },
	    { KEEP_MS - 1, NULL, "a1", "", "CMS", "", "*" },
	    { KEEP_MS, NULL, "a1", "", "C", "", "61:31" } } },
	{ "a complete instance that says mixed is taken over from",
	  { { 100, NULL, "a1", "CM", "CMS", "", "*" },
	    { 200, NULL, "a1", "C", "CMS", "", "*" },
	    { 100 + KEEP_MS - 1, NULL, "a1", "C", "CMS", "", "*" },
	    { 100 + KEEP_MS, NULL, "a1", "C", "C", "", "61:31" } } },
	{ "heard in the step that makes it complete by its age",
	  { { 0, NULL, "a1", "", "", "", NULL },
	    { KEEP_MS, NULL, "a1", "CM", "CMS", "", NULL },
	    { 2 * KEEP_MS - 1, NULL, "a1", "C", "CMS", "", NULL },
	    { 2 * KEEP_MS, NULL, "a1", "C", "C", "", NULL } } },
	{ "a complete one follows others only while they say so",
	  { { 0, NULL, "a1", "C", "C", "", "61:31" },
	    { KEEP_MS, NULL, "a1", "CM", "CM", "", "*" },
	    { 2 * KEEP_MS, NULL, "a1", "CM", "CM", "", "*" },
	    { 2 * KEEP_MS + NEW_MS - 1, NULL, "a1", "C", "CM", "", "*" },
	    { 2 * KEEP_MS + NEW_MS, NULL, "a1", "C", "C", "", "61:31" } } },
	{ "heard soon after the start: others may know what left before it",
	  { { 0, NULL, "a1", "C", "C", "", "61:31" },
	    { KEEP_MS - 1, NULL, "a1", "CM", "CMS", "", "*" },
	    { KEEP_MS, NULL, "a1", "C", "CM", "", "*" },
	    { KEEP_MS - 1 + NEW_MS, NULL, "a1", "C", "C", "", "61:31" } } },
	{ "the same after a note",
	  { { 0, "", NULL, NULL, "C", "", "" },
	    { 100, NULL, "a1", "CM", "CMS", "", NULL },
	    { KEEP_MS - 1, NULL, "a1", "", "CMS", "", NULL },
	    { KEEP_MS, NULL, "a1", "", "C", "", NULL } } },
	{ "an instance that is not complete says what it sees",
	  { { 0, NULL, "a1 a2", "", "MS", "", NULL },
	    { 100, NULL, "a1", "", "MS", "", NULL },
	    { KEEP_MS, NULL, "a1", "", "C", "", NULL } } },
};

static software_key_t key_of(const char *text)
{
	return (software_key_t){ (uint8_t)text[0], (uint8_t)text[1] };
}

static size_t read_keys(const char *text, software_key_t *keys)
{
	size_t count = 0;

	for (; *text; text += text[2] ? 3 : 2)
		keys[count++] = key_of(text);
	return count;
}

static void apply_step(software_history_t *history, const step_t *s)
{
	software_key_t keys[KEYS_MAX];
	software_peers_t peers = { 0 };

	if (s->note) {
		software_history_read_note(history, s->note, s->at_ms);
	} else if (s->present) {
		peers.any_complete = strchr(s->peers, 'C');
		peers.any_mixed = strchr(s->peers, 'M');
		software_history_step(history, keys,
				      read_keys(s->present, keys), &peers,
				      s->at_ms);
	}
}

static void check_state(const software_history_t *history, const step_t *s)
{
	char note[SOFTWARE_NOTE_MAX_BYTES];
	g_autoptr(GString) state = g_string_new("");
	g_autoptr(GString) new_keys = g_string_new("");

	if (software_history_is_complete(history))
		g_string_append_c(state, 'C');
	if (software_history_is_mixed(history, s->at_ms))
		g_string_append_c(state, 'M');
	if (software_history_says_mixed(history, s->at_ms))
		g_string_append_c(state, 'S');
	g_assert_cmpstr(state->str, ==, s->state);
	for (const char *at = s->present; at && *at; at += at[2] ? 3 : 2) {
		if (software_history_is_new(history, key_of(at), s->at_ms))
			g_string_append_printf(new_keys, "%s%.2s",
					       new_keys->len ? " " : "", at);
	}
	g_assert_cmpstr(new_keys->str, ==, s->new_keys);
	software_history_write_note(history, note);
	if (s->written)
		g_assert_cmpstr(note, ==, s->written);
}

/* Guards against streams of several versions that are not recorded, and against
 * records while there is one version. */
static void test_cases(void)
{
	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		software_history_t history;

		software_history_init(&history, 0);
		for (const step_t *s = cases[c].steps; s->state; s++) {
			g_test_message("%s at %d", cases[c].name,
				       (int)s->at_ms);
			apply_step(&history, s);
			check_state(&history, s);
		}
	}
}

/* Guards against a stream that begins at a version before the first step that
 * shows it. */
static void test_new_before_step(void)
{
	static const software_peers_t peers = { .any_complete = true };
	software_key_t first = key_of("a1");
	software_key_t second = key_of("a2");
	software_history_t history;

	software_history_init(&history, 0);
	g_assert_false(software_history_is_new(&history, first, 0));
	software_history_read_note(&history, "61:31", 0);
	g_assert_false(software_history_is_new(&history, second, 0));
	software_history_step(&history, &first, 1, &peers, 100);
	g_assert_true(software_history_is_new(&history, second, 150));
	g_assert_false(software_history_is_new(&history, key_of("b2"), 150));
}

static const struct {
	const char *note;
	bool readable;
	size_t count; /**< Versions that are known afterwards. */
} notes[] = {
	{ "", true, 0 },
	{ "0:1", true, 1 },
	{ "ffffffff:ffffffff", true, 1 },
	{ "1:2,3:4,5:6", true, 3 },
	{ "00000001:2,1:2", true, 1 },
	{ "*", false, 0 },
	{ ",", false, 0 },
	{ ":", false, 0 },
	{ "1", false, 0 },
	{ "1:", false, 0 },
	{ ":1", false, 0 },
	{ "1:2,", false, 1 },
	{ "1:2,,3:4", false, 1 },
	{ "1:2 ", false, 0 },
	{ " 1:2", false, 0 },
	{ "1:2:3", false, 0 },
	{ "1,2", false, 0 },
	{ "1:2,*", false, 1 },
	{ "1:A", false, 0 },
	{ "-1:2", false, 0 },
	{ "0x1:2", false, 0 },
	{ "100000000:2", false, 0 },
	{ "1:100000000", false, 0 },
	{ "\xff:1", false, 0 },
};

/* Guards against a note that is misread, as if there had been one version. */
static void test_notes(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(notes); i++) {
		software_history_t history;

		g_test_message("note \"%s\"", notes[i].note);
		software_history_init(&history, 0);
		software_history_read_note(&history, notes[i].note, 1000);
		g_assert_true(software_history_is_complete(&history));
		g_assert_cmpuint(history.count, ==, notes[i].count);
		g_assert_true(software_history_says_mixed(&history,
							  1000 + KEEP_MS - 1) ==
			      !notes[i].readable);
		g_assert_false(
			software_history_is_mixed(&history, 1000 + KEEP_MS));
	}
}

/* Guards against a note that is cut off at the size of the record. */
static void test_note_size(void)
{
	static const software_peers_t peers = { 0 };
	software_key_t keys[SOFTWARE_HISTORY_MAX];
	char note[SOFTWARE_NOTE_MAX_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		keys[i] = (software_key_t){ UINT32_MAX - (uint32_t)i,
					    UINT32_MAX };
	for (size_t count = 0; count <= G_N_ELEMENTS(keys); count++) {
		/* Two numbers, a colon, and a comma between entries. */
		bool fits = count * 18 <= SOFTWARE_NOTE_MAX_BYTES;
		software_history_t history;
		software_history_t reader;

		software_history_init(&history, 0);
		software_history_step(&history, keys, count, &peers, 0);
		software_history_write_note(&history, note);
		g_assert_true(!strcmp(note, "*") == !fits);
		software_history_init(&reader, 0);
		software_history_read_note(&reader, note, 0);
		g_assert_cmpuint(reader.count, ==, fits ? count : 0);
		g_assert_true(software_history_is_mixed(&reader, 0) == !fits);
	}
}

static const struct {
	const char *name;
	size_t before; /**< Versions in the first step. */
	size_t after;  /**< Versions in the second step; the first ones stay. */
	size_t skip;   /**< First ones that leave before the second step. */
	bool mixed;    /**< Although each service has one version. */
} full_cases[] = {
	{ "just fits", 0, SOFTWARE_HISTORY_MAX, 0, false },
	{ "too many at once", 0, SOFTWARE_HISTORY_MAX + 1, 0, true },
	{ "too many in the second step", SOFTWARE_HISTORY_MAX,
	  SOFTWARE_HISTORY_MAX + 3, 0, true },
	{ "one that has left is replaced", SOFTWARE_HISTORY_MAX,
	  SOFTWARE_HISTORY_MAX + 1, 1, true },
};

/* Guards against versions that find no room and seem never to have been. */
static void test_full(void)
{
	static const software_peers_t peers = { 0 };
	software_key_t keys[KEYS_MAX];

	for (size_t i = 0; i < KEYS_MAX; i++)
		keys[i] = (software_key_t){ (uint32_t)i + 1, 1 };
	for (size_t c = 0; c < G_N_ELEMENTS(full_cases); c++) {
		size_t skip = full_cases[c].skip;
		size_t left = full_cases[c].after - skip;
		software_history_t history;

		g_test_message("%s", full_cases[c].name);
		software_history_init(&history, 0);
		software_history_step(&history, keys, full_cases[c].before,
				      &peers, 100);
		g_assert_false(software_history_is_mixed(&history, 100));
		software_history_step(&history, keys + skip, left, &peers, 200);
		g_assert_true(software_history_says_mixed(&history, 200) ==
			      full_cases[c].mixed);
		g_assert_cmpuint(history.count, ==, SOFTWARE_HISTORY_MAX);
		for (size_t i = 0; i < left; i++)
			g_assert_false(software_history_is_new(
				&history, keys[skip + i], 200));
		/* Those that are present are kept before those that left. */
		if (skip)
			g_assert_cmpuint(history.entries[0].key.service, ==,
					 full_cases[c].after);
		software_history_step(&history, keys, 1, &peers, 200 + KEEP_MS);
		g_assert_false(
			software_history_is_mixed(&history, 200 + KEEP_MS));
		g_assert_cmpuint(history.count, ==, 1);
	}
}

/* ---- Schedules ---- */

typedef struct instance {
	bool up;
	uint64_t starts_at_ms;
	bool holder;
	software_history_t history;
	/** Of the heartbeats that the others have. */
	bool says_mixed;
	bool says_complete;
} instance_t;

/** A version, which streams use once it has been present for NEW_MS while an
 * instance held the lease. Those of instances that are not complete are
 * recorded in any case. */
typedef struct version {
	bool present;
	uint64_t since_ms;
	uint64_t used_ms; /**< Streams could last be resumed or begin; 0: none.
			   */
} version_t;

typedef struct run {
	rng_t rng;
	uint64_t now_ms;
	instance_t instances[INSTANCES];
	version_t versions[SERVICES][VERSIONS];
	char note[SOFTWARE_NOTE_MAX_BYTES];
	uint64_t lease_free_at_ms;
	uint64_t held_since_ms; /**< By any instance; 0: not held. */
	bool quiet; /**< No more starts, ends and changes of versions. */
	/** Sums of all schedules, by instance and tick. */
	uint64_t mixed;
	uint64_t not_mixed;
	uint64_t restarts;
} run_t;

static bool is_changed(run_t *run, const version_t *version, bool first)
{
	if (run->quiet)
		return version->present != first;
	return !rng_below(&run->rng, first ? 6000 : 4000);
}

static bool is_any_complete(const run_t *run)
{
	for (int n = 0; n < INSTANCES; n++) {
		const instance_t *instance = &run->instances[n];

		if (instance->up &&
		    software_history_is_complete(&instance->history))
			return true;
	}
	return false;
}

static bool is_begun(const run_t *run, const version_t *version)
{
	return version->present && run->held_since_ms &&
	       run->now_ms >= run->held_since_ms + NEW_MS &&
	       run->now_ms >= version->since_ms + NEW_MS;
}

static void change_versions(run_t *run)
{
	bool complete = is_any_complete(run);

	for (int s = 0; s < SERVICES; s++) {
		for (int v = 0; v < VERSIONS; v++) {
			version_t *version = &run->versions[s][v];

			if (is_changed(run, version, v == 0)) {
				version->present = !version->present;
				version->since_ms = run->now_ms;
			}
			if (complete && is_begun(run, version))
				version->used_ms = run->now_ms;
		}
	}
}

static void end_instance(run_t *run, instance_t *instance)
{
	if (instance->holder) {
		run->lease_free_at_ms = run->now_ms + TAKEOVER_MS;
		run->held_since_ms = 0;
	}
	instance->up = false;
	instance->holder = false;
	instance->says_mixed = false;
	instance->says_complete = false;
	instance->starts_at_ms =
		run->now_ms + 1 + rng_below(&run->rng, DOWN_MAX_MS);
}

static void change_instances(run_t *run)
{
	bool all_end = !run->quiet && !rng_below(&run->rng, 1500);

	for (int n = 0; n < INSTANCES; n++) {
		instance_t *instance = &run->instances[n];

		if (instance->up &&
		    (all_end || (!run->quiet && !rng_below(&run->rng, 600)))) {
			end_instance(run, instance);
			run->restarts++;
		} else if (!instance->up &&
			   run->now_ms >= instance->starts_at_ms) {
			instance->up = true;
			software_history_init(&instance->history, run->now_ms);
		}
	}
}

static void step_instances(run_t *run)
{
	software_key_t present[SERVICES * VERSIONS];
	size_t count = 0;

	for (uint32_t s = 0; s < SERVICES; s++) {
		for (uint32_t v = 0; v < VERSIONS; v++) {
			if (run->versions[s][v].present)
				present[count++] =
					(software_key_t){ s + 1, v + 1 };
		}
	}
	for (int n = 0; n < INSTANCES; n++) {
		software_peers_t peers = { 0 };

		for (int i = 0; i < INSTANCES; i++) {
			const instance_t *peer = &run->instances[i];

			if (i == n || !peer->says_complete)
				continue;
			peers.any_complete = true;
			peers.any_mixed |= peer->says_mixed;
		}
		if (run->instances[n].up)
			software_history_step(&run->instances[n].history,
					      present, count, &peers,
					      run->now_ms);
	}
}

static void send_heartbeats(run_t *run)
{
	for (int n = 0; n < INSTANCES; n++) {
		instance_t *instance = &run->instances[n];

		if (!instance->up)
			continue;
		instance->says_complete =
			software_history_is_complete(&instance->history);
		instance->says_mixed = software_history_says_mixed(
			&instance->history, run->now_ms);
	}
}

static void hold_lease(run_t *run)
{
	instance_t *holder = NULL;

	for (int n = 0; n < INSTANCES; n++) {
		if (run->instances[n].holder)
			holder = &run->instances[n];
	}
	if (!holder && run->now_ms >= run->lease_free_at_ms) {
		holder = &run->instances[rng_below(&run->rng, INSTANCES)];
		if (!holder->up)
			return;
		holder->holder = true;
		run->held_since_ms = run->now_ms;
		software_history_read_note(&holder->history, run->note,
					   run->now_ms);
	} else if (holder && run->now_ms % RENEWAL_MS == 0) {
		software_history_write_note(&holder->history, run->note);
	}
}

/** Whether streams of several versions of a service can be alive. */
static bool are_versions_mixed(const run_t *run)
{
	for (int s = 0; s < SERVICES; s++) {
		int used = 0;

		for (int v = 0; v < VERSIONS; v++) {
			uint64_t used_ms = run->versions[s][v].used_ms;

			used += used_ms && run->now_ms < used_ms + KEEP_MS;
		}
		if (used > 1)
			return true;
	}
	return false;
}

static void check_instances(run_t *run)
{
	bool mixed = are_versions_mixed(run);

	for (int n = 0; n < INSTANCES; n++) {
		const instance_t *instance = &run->instances[n];
		const software_history_t *history = &instance->history;

		if (!instance->up || !software_history_is_complete(history))
			continue;
		if (software_history_is_mixed(history, run->now_ms)) {
			run->mixed++;
		} else {
			g_assert_false(mixed);
			run->not_mixed++;
		}
	}
}

static void tick(run_t *run)
{
	change_versions(run);
	change_instances(run);
	step_instances(run);
	hold_lease(run);
	check_instances(run);
	send_heartbeats(run);
	run->now_ms += TICK_MS;
}

/** All instances are complete, and none says or thinks that versions are
 * mixed. */
static void check_calm(const run_t *run)
{
	for (int n = 0; n < INSTANCES; n++) {
		const software_history_t *history = &run->instances[n].history;

		g_assert_true(run->instances[n].up);
		g_assert_true(software_history_is_complete(history));
		g_assert_false(software_history_is_mixed(history, run->now_ms));
		g_assert_false(
			software_history_says_mixed(history, run->now_ms));
	}
	/* The versions have an order only by when they appeared. */
	if (strcmp(run->note, "2:1,1:1") != 0)
		g_assert_cmpstr(run->note, ==, "1:1,2:1");
}

static void run_schedule(uint64_t seed, run_t *totals)
{
	run_t run = { .now_ms = 1000000 };
	uint64_t until_ms = run.now_ms + RUN_MS;

	rng_init(&run.rng, seed);
	run.versions[0][0].present = true;
	run.versions[1][0].present = true;
	for (int n = 0; n < INSTANCES; n++)
		run.instances[n].starts_at_ms =
			run.now_ms + rng_below(&run.rng, DOWN_MAX_MS);
	while (run.now_ms < until_ms)
		tick(&run);
	run.quiet = true;
	/* The last start, the note that is read then, and what is heard of it
	 * from others. */
	until_ms +=
		DOWN_MAX_MS + TAKEOVER_MS + KEEP_MS + 2 * NEW_MS + RENEWAL_MS;
	while (run.now_ms < until_ms)
		tick(&run);
	check_calm(&run);
	totals->mixed += run.mixed;
	totals->not_mixed += run.not_mixed;
	totals->restarts += run.restarts;
}

/*
 * Guards against an instance that, after others or all have ended, seems to
 * know that there was one version, and against instances that keep each other
 * mixed.
 */
static void test_schedules(void)
{
	run_t totals = { 0 };
	uint64_t first;
	uint64_t last;

	sim_seed_range(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, &totals);
	}
	g_print("# restarts %" G_GUINT64_FORMAT
		", steps while mixed %" G_GUINT64_FORMAT
		", not mixed %" G_GUINT64_FORMAT "\n",
		totals.restarts, totals.mixed, totals.not_mixed);
	g_assert_cmpuint(totals.restarts, >, last - first + 1);
	g_assert_cmpuint(totals.mixed, >, 1000 * (last - first + 1));
	g_assert_cmpuint(totals.not_mixed, >, 1000 * (last - first + 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/software-history/cases", test_cases);
	g_test_add_func("/software-history/new-before-step",
			test_new_before_step);
	g_test_add_func("/software-history/notes", test_notes);
	g_test_add_func("/software-history/note-size", test_note_size);
	g_test_add_func("/software-history/full", test_full);
	g_test_add_func("/software-history/schedules", test_schedules);
	return g_test_run();
}
