/*
 * Leases: a table of cases, and seeded random schedules with paused instances,
 * lost answers of the store, and a store that is restored from older copies.
 */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/controller_codec.h"
#include "process/error.h"
#include "process/lease.h"
#include "process/store_revision.h"
#include "t/lib/lease_sim.h"

enum {
	DURATION_MS = LEASE_SIM_DURATION_MS,
	RUN_MS = LEASE_SIM_RUN_MS,
	SEND_INTERVAL_MS = 50,
	SCHEDULES = 2000,
};

#define WRITTEN LEASE_EVENT_WRITTEN
#define READ LEASE_EVENT_READ
#define TIMER LEASE_EVENT_TIMER
#define RELEASE LEASE_EVENT_RELEASE
#define ERA LEASE_EVENT_ERA
/** Note in the records of others. */
#define NOTE "a1:7"
#define FENCING(era, number) \
	(((uint64_t)(era) << STORE_REVISION_BITS) + (number))

/* ---- Cases ---- */

/** Record that a read returns. */
typedef enum found_record {
	NOTHING,
	HELD_BY_OTHER,	   /**< Another holds it with fencing number 4. */
	RELEASED,	   /**< Another released it, fencing number 4. */
	RELEASED_TO_THIRD, /**< Released with a third as successor. */
	OUR_EARLIER,	   /**< Our write before the latest one. */
	OUR_WRITE,	   /**< Our latest write. */
	OUR_HELD,	   /**< Our record, fencing number 4. */
} found_record_t;

typedef struct step {
	lease_event_kind_t kind;
	int result;
	found_record_t found;
	uint64_t version;
	uint64_t at_ms;
	/** R: read, W: write, T: wait for a timer, A: acquired, L: lost,
	 * S: stopped */
	const char *actions;
	uint64_t fencing; /**< lease_fencing() after the step. */
} step_t;

static const struct {
	const char *name;
	step_t steps[9];
} cases[] = {
	{ "first holder renews, then expires while paused",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 100, "AT", 1 },
	    { TIMER, 0, NOTHING, 0, 1000, "W", 1 },
	    { WRITTEN, 0, NOTHING, 2, 1100, "T", 1 },
	    { TIMER, 0, NOTHING, 0, 3000, "LR", 0 },
	    { READ, 0, OUR_WRITE, 2, 3100, "W", 0 },
	    { WRITTEN, 0, NOTHING, 3, 3200, "AT", 2 } } },
	{ "takeover only after a whole duration without a change",
	  { { READ, 0, HELD_BY_OTHER, 5, 100, "T", 0 },
	    { TIMER, 0, NOTHING, 0, 3000, "R", 0 },
	    { READ, 0, HELD_BY_OTHER, 6, 3099, "T", 0 },
	    { TIMER, 0, NOTHING, 0, 6099, "R", 0 },
	    { READ, 0, HELD_BY_OTHER, 6, 6099, "W", 0 },
	    { WRITTEN, 0, NOTHING, 7, 6100, "AT", 5 } } },
	{ "a released lease is taken at once",
	  { { READ, 0, RELEASED, 5, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 7, 10, "AT", 5 } } },
	{ "a lease released to another is not taken",
	  { { READ, 0, RELEASED_TO_THIRD, 5, 0, "T", 0 } } },
	{ "lost answer, write found: valid from before the write",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 400, "R", 0 },
	    { READ, 0, OUR_WRITE, 1, 500, "AT", 1 },
	    { TIMER, 0, NOTHING, 0, 2000, "LR", 0 } } },
	{ "lost answer, another acquired the lease first",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 400, "R", 0 },
	    { READ, 0, HELD_BY_OTHER, 1, 500, "T", 0 } } },
	{ "an earlier renewal that takes effect late extends nothing",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 100, "AT", 1 },
	    { TIMER, 0, NOTHING, 0, 1000, "W", 1 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 1400, "R", 1 },
	    { READ, 0, OUR_EARLIER, 1, 1500, "W", 1 },
	    { WRITTEN, ERR_STORE_CONDITION, NOTHING, 0, 1900, "R", 1 },
	    { READ, 0, OUR_EARLIER, 2, 1950, "W", 1 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 2000, "LR", 0 } } },
	{ "an answer after the expiry acquires nothing",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 2000, "W", 0 },
	    { WRITTEN, 0, NOTHING, 2, 2100, "AT", 2 } } },
	{ "release ends the validity before it is written",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 100, "AT", 1 },
	    { RELEASE, 0, NOTHING, 0, 200, "LW", 0 },
	    { WRITTEN, 0, NOTHING, 2, 300, "S", 0 } } },
};

/** A step while the store states its era. */
typedef struct era_step {
	step_t step;
	uint64_t era;	     /**< Of the event. */
	uint64_t record_era; /**< Of a record that is not our write. */
} era_step_t;

static const struct {
	const char *name;
	era_step_t steps[9];
} restored_cases[] = {
	{ "absent record: another's may have been lost in a restore",
	  { { { READ, ERR_NOT_FOUND, NOTHING, 0, 100, "T", 0 }, 2, 0 },
	    { { TIMER, 0, NOTHING, 0, 3099, "R", 0 }, 0, 0 },
	    { { READ, ERR_NOT_FOUND, NOTHING, 0, 3099, "T", 0 }, 2, 0 },
	    { { TIMER, 0, NOTHING, 0, 3100, "R", 0 }, 0, 0 },
	    { { READ, ERR_NOT_FOUND, NOTHING, 0, 3100, "W", 0 }, 2, 0 },
	    { { WRITTEN, 0, NOTHING, 5, 3200, "AT", FENCING(2, 1) }, 2, 0 },
	    { { TIMER, 0, NOTHING, 0, 4200, "W", FENCING(2, 1) }, 0, 0 },
	    { { WRITTEN, 0, NOTHING, 6, 4300, "T", FENCING(2, 1) }, 2, 0 } } },
	{ "restored from an older copy: the number rises",
	  { { { READ, 0, HELD_BY_OTHER, 9, 0, "T", 0 }, 1, 1 },
	    { { READ, 0, HELD_BY_OTHER, 5, 2000, "T", 0 }, 2, 1 },
	    { { READ, 0, HELD_BY_OTHER, 5, 5000, "W", 0 }, 2, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 5010, "AT", FENCING(2, 6) }, 2, 0 } } },
	{ "record released in an earlier era: taken after a duration",
	  { { { READ, 0, RELEASED, 5, 0, "T", 0 }, 2, 1 },
	    { { READ, 0, RELEASED, 5, 3000, "W", 0 }, 2, 1 },
	    { { WRITTEN, 0, NOTHING, 7, 3010, "AT", FENCING(2, 6) }, 2, 0 } } },
	{ "record released in this era: taken at once",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 2, 2 },
	    { { WRITTEN, 0, NOTHING, 7, 10, "AT", FENCING(2, 6) }, 2, 0 } } },
	{ "our record of an earlier era: another may have followed",
	  { { { READ, 0, OUR_HELD, 5, 0, "T", 0 }, 2, 1 },
	    { { READ, 0, OUR_HELD, 5, 3000, "W", 0 }, 2, 1 } } },
	{ "our record of this era: taken at once",
	  { { { READ, 0, OUR_HELD, 5, 0, "W", 0 }, 2, 2 } } },
	{ "record without an era, of the version before",
	  { { { READ, 0, RELEASED, 5, 0, "T", 0 }, 1, 0 },
	    { { READ, 0, RELEASED, 5, 3000, "W", 0 }, 1, 0 },
	    { { WRITTEN, 0, NOTHING, 7, 3010, "AT", FENCING(1, 6) }, 1, 0 } } },
	{ "restored while another holds it: the duration starts anew",
	  { { { READ, 0, HELD_BY_OTHER, 9, 0, "T", 0 }, 1, 1 },
	    { { ERA, 0, NOTHING, 0, 2000, "R", 0 }, 2, 0 },
	    { { READ, 0, HELD_BY_OTHER, 9, 2100, "T", 0 }, 2, 1 },
	    { { READ, 0, HELD_BY_OTHER, 9, 5099, "T", 0 }, 2, 1 },
	    { { READ, 0, HELD_BY_OTHER, 9, 5100, "W", 0 }, 2, 1 } } },
	{ "the holder learns of a newer era from another call",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", FENCING(1, 6) }, 1, 0 },
	    { { ERA, 0, NOTHING, 0, 500, "LR", 0 }, 2, 0 },
	    { { READ, 0, OUR_WRITE, 6, 600, "T", 0 }, 2, 0 },
	    { { ERA, 0, NOTHING, 0, 700, "", 0 }, 2, 0 },
	    { { READ, 0, OUR_WRITE, 6, 3600, "W", 0 }, 2, 0 },
	    { { WRITTEN, 0, NOTHING, 7, 3700, "AT", FENCING(2, 7) }, 2, 0 } } },
	{ "a write in a newer era may have replaced another record",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", FENCING(1, 6) }, 1, 0 },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", FENCING(1, 6) }, 0, 0 },
	    { { WRITTEN, 0, NOTHING, 7, 1100, "LR", 0 }, 2, 0 },
	    { { READ, 0, OUR_WRITE, 7, 1200, "T", 0 }, 2, 0 } } },
	{ "a late write of an earlier era replaced our record",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 2, 2 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", FENCING(2, 6) }, 2, 0 },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", FENCING(2, 6) }, 0, 0 },
	    { { WRITTEN, ERR_STORE_CONDITION, NOTHING, 0, 1100, "R",
		FENCING(2, 6) },
	      2,
	      0 },
	    { { READ, 0, HELD_BY_OTHER, 7, 1200, "LT", 0 }, 2, 1 },
	    { { READ, 0, HELD_BY_OTHER, 7, 4200, "W", 0 }, 2, 1 },
	    { { WRITTEN, 0, NOTHING, 8, 4300, "AT", FENCING(2, 8) }, 2, 0 } } },
	{ "an acquisition is answered in a newer era",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "R", 0 }, 2, 0 },
	    { { READ, 0, OUR_WRITE, 6, 20, "T", 0 }, 2, 0 } } },
	{ "a write with a lost answer is found in a newer era",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 400, "R", 0 }, 0, 0 },
	    { { READ, 0, OUR_WRITE, 6, 500, "T", 0 }, 2, 0 } } },
	{ "an answer of an earlier era says nothing",
	  { { { ERA, 0, NOTHING, 0, 0, "R", 0 }, 2, 0 },
	    { { READ, 0, RELEASED, 5, 100, "T", 0 }, 1, 1 },
	    { { TIMER, 0, NOTHING, 0, 400, "R", 0 }, 0, 0 },
	    { { READ, 0, RELEASED, 5, 500, "W", 0 }, 2, 2 },
	    { { WRITTEN, 0, NOTHING, 6, 600, "R", 0 }, 1, 0 } } },
	{ "the store is down in a newer era",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", FENCING(1, 6) }, 1, 0 },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", FENCING(1, 6) }, 0, 0 },
	    { { WRITTEN, ERR_STORE_DOWN, NOTHING, 0, 1010, "LR", 0 }, 2, 0 },
	    { { READ, ERR_STORE_DOWN, NOTHING, 0, 1020, "T", 0 }, 2, 0 },
	    { { TIMER, 0, NOTHING, 0, 1400, "R", 0 }, 0, 0 },
	    { { READ, ERR_NOT_FOUND, NOTHING, 0, 1500, "T", 0 }, 2, 0 } } },
	{ "a release in a newer era is not written again",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", FENCING(1, 6) }, 1, 0 },
	    { { RELEASE, 0, NOTHING, 0, 200, "LW", 0 }, 0, 0 },
	    { { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 600, "T", 0 }, 0, 0 },
	    { { ERA, 0, NOTHING, 0, 650, "S", 0 }, 2, 0 } } },
	{ "a release is answered in a newer era",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, 1, 1 },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", FENCING(1, 6) }, 1, 0 },
	    { { RELEASE, 0, NOTHING, 0, 200, "LW", 0 }, 0, 0 },
	    { { WRITTEN, ERR_STORE_DOWN, NOTHING, 0, 600, "S", 0 }, 2, 0 } } },
};

static lease_record_t record_of(found_record_t found, const lease_t *lease,
				const lease_record_t *earlier, uint64_t era)
{
	lease_record_t record = { .holder = "other",
				  .nonce = 99,
				  .fencing = 4,
				  .era = era,
				  .duration_ms = DURATION_MS,
				  .note = NOTE };

	if (found == OUR_WRITE)
		return lease->written;
	if (found == OUR_EARLIER)
		return *earlier;
	if (found == OUR_HELD)
		record.nonce = lease->nonce;
	else if (found != HELD_BY_OTHER)
		record.holder[0] = '\0';
	if (found == RELEASED_TO_THIRD)
		g_strlcpy(record.successor, "third", LEASE_ID_MAX_BYTES);
	return record;
}

/** A step, and a note that is set after it. */
typedef struct note_step {
	step_t step;
	const char *set;     /**< NULL: none. */
	const char *note;    /**< lease_note() after that. */
	const char *written; /**< In the write of this step; NULL: no write. */
} note_step_t;

static const struct {
	const char *name;
	note_step_t steps[9];
} note_cases[] = {
	{ "kept by the acquisition and renewals of another",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, NULL, NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", 5 }, NULL, NOTE, NULL },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", 5 }, NULL, NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 7, 1100, "T", 5 }, NULL, NOTE, NULL },
	    { { RELEASE, 0, NOTHING, 0, 1200, "LW", 0 }, NULL, NOTE, NOTE } } },
	{ "replaced by the holder, also while a renewal is pending",
	  { { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 }, NULL, "", "" },
	    { { WRITTEN, 0, NOTHING, 1, 10, "AT", 1 }, "b2:8", "b2:8", NULL },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", 1 }, "c3:9", "c3:9", "b2:8" },
	    { { WRITTEN, 0, NOTHING, 2, 1010, "T", 1 }, NULL, "c3:9", NULL },
	    { { TIMER, 0, NOTHING, 0, 2000, "W", 1 }, "", "", "c3:9" },
	    { { WRITTEN, 0, NOTHING, 3, 2010, "T", 1 }, NULL, "", NULL },
	    { { TIMER, 0, NOTHING, 0, 3000, "W", 1 }, NULL, "", "" } } },
	{ "replaced by a release",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, NULL, NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", 5 }, "b2:8", "b2:8", NULL },
	    { { RELEASE, 0, NOTHING, 0, 200, "LW", 0 }, NULL, NOTE, "b2:8" },
	    { { WRITTEN, ERR_STORE_DOWN, NOTHING, 0, 300, "T", 0 },
	      NULL,
	      NOTE,
	      NULL },
	    { { TIMER, 0, NOTHING, 0, 500, "W", 0 }, NULL, NOTE, "b2:8" } } },
	{ "one that is set while not the holder replaces none",
	  { { { READ, 0, HELD_BY_OTHER, 5, 0, "T", 0 }, "b2:8", NOTE, NULL },
	    { { READ, 0, HELD_BY_OTHER, 5, 3000, "W", 0 }, "b2:8", NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 6, 3010, "AT", 5 }, NULL, NOTE, NULL },
	    { { TIMER, 0, NOTHING, 0, 4000, "W", 5 }, NULL, NOTE, NOTE } } },
	{ "renewal with a lost answer",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, NULL, NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", 5 }, "b2:8", "b2:8", NULL },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", 5 }, NULL, "b2:8", "b2:8" },
	    { { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 1400, "R", 5 },
	      "c3:9",
	      "c3:9",
	      NULL },
	    { { READ, 0, OUR_EARLIER, 6, 1500, "W", 5 },
	      NULL,
	      "c3:9",
	      "c3:9" } } },
	{ "our expired lease, which nobody took over",
	  { { { READ, 0, RELEASED, 5, 0, "W", 0 }, NULL, NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 6, 10, "AT", 5 }, "b2:8", "b2:8", NULL },
	    { { TIMER, 0, NOTHING, 0, 1000, "W", 5 }, NULL, "b2:8", "b2:8" },
	    { { WRITTEN, 0, NOTHING, 7, 1010, "T", 5 }, NULL, "b2:8", NULL },
	    { { TIMER, 0, NOTHING, 0, 4000, "LR", 0 }, NULL, "b2:8", NULL },
	    { { READ, 0, OUR_WRITE, 7, 4010, "W", 0 }, NULL, "b2:8", "b2:8" },
	    { { WRITTEN, 0, NOTHING, 8, 4020, "AT", 6 },
	      NULL,
	      "b2:8",
	      NULL } } },
	{ "another took our expired lease over and replaced the note",
	  { { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 }, NULL, "", "" },
	    { { WRITTEN, 0, NOTHING, 1, 10, "AT", 1 }, "b2:8", "b2:8", NULL },
	    { { TIMER, 0, NOTHING, 0, 4000, "LR", 0 }, NULL, "", NULL },
	    { { READ, 0, RELEASED, 7, 4010, "W", 0 }, NULL, NOTE, NOTE },
	    { { WRITTEN, 0, NOTHING, 8, 4020, "AT", 5 }, NULL, NOTE, NULL } } },
};

/** A lease, and the record of its last write but one. */
typedef struct case_run {
	lease_t lease;
	lease_record_t earlier;
	rng_t rng;
} case_run_t;

static void begin_case(case_run_t *run)
{
	lease_actions_t actions;

	memset(run, 0, sizeof(*run));
	rng_init(&run->rng, 1);
	lease_begin(&run->lease, "self", 7, DURATION_MS, &run->rng, &actions);
}

static void run_step(case_run_t *run, const char *name, const step_t *s,
		     uint64_t era, uint64_t record_era)
{
	static const char action_letters[] = "RWTALS";
	lease_t *lease = &run->lease;
	lease_record_t record =
		record_of(s->found, lease, &run->earlier, record_era);
	lease_record_t before = lease->written;
	lease_event_t event = { .kind = s->kind,
				.call_id = lease->call_id,
				.era = era };
	char got[LEASE_ACTIONS_MAX + 1] = "";
	lease_actions_t actions;

	if (s->kind == LEASE_EVENT_READ) {
		event.read.result = s->result;
		event.read.version = s->version;
		event.read.record = &record;
	} else if (s->kind == LEASE_EVENT_WRITTEN) {
		event.written.result = s->result;
		event.written.version = s->version;
	}
	lease_step(lease, &event, s->at_ms, &actions);
	for (size_t i = 0; i < actions.count; i++)
		got[i] = action_letters[actions.items[i].kind];
	if (strchr(got, 'W'))
		run->earlier = before;
	g_test_message("%s at %d: %s", name, (int)s->at_ms, got);
	g_assert_cmpstr(got, ==, s->actions);
	g_assert_cmpuint(lease_fencing(lease, s->at_ms), ==, s->fencing);
}

/* Guards against two holders, and a fencing number that does not rise. */
static void test_cases(void)
{
	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		case_run_t run;

		begin_case(&run);
		for (const step_t *s = cases[c].steps; s->actions; s++)
			run_step(&run, cases[c].name, s, 0, 0);
	}
}

/* Guards against the same in a store that was restored from an older copy. */
static void test_restored_cases(void)
{
	for (size_t c = 0; c < G_N_ELEMENTS(restored_cases); c++) {
		case_run_t run;

		begin_case(&run);
		for (const era_step_t *s = restored_cases[c].steps;
		     s->step.actions; s++)
			run_step(&run, restored_cases[c].name, &s->step, s->era,
				 s->record_era);
	}
}

/* Guards against a note that an acquisition, a renewal or a release loses. */
static void test_note_cases(void)
{
	for (size_t c = 0; c < G_N_ELEMENTS(note_cases); c++) {
		case_run_t run;

		begin_case(&run);
		for (const note_step_t *s = note_cases[c].steps;
		     s->step.actions; s++) {
			run_step(&run, note_cases[c].name, &s->step, 0, 0);
			g_assert_true(!strchr(s->step.actions, 'W') ==
				      !s->written);
			if (s->written)
				g_assert_cmpstr(run.lease.written.note, ==,
						s->written);
			if (s->set)
				lease_set_note(&run.lease, s->set);
			g_assert_cmpstr(lease_note(&run.lease), ==, s->note);
		}
	}
}

/* ---- Schedules ---- */

/** An endpoint that checks fencing numbers. */
typedef struct endpoint {
	uint64_t fencing;
	int holder;
	uint64_t accepted;
} endpoint_t;

/** State of one simulated schedule. */
typedef struct run {
	lease_sim_t leases;
	endpoint_t endpoint;
	uint64_t requests_sent;
	uint64_t note_found; /**< By the last holder. */
	uint64_t notes_changed;
	uint64_t last_sent; /**< Fencing number. */
} run_t;

/** A request sent under a lease reaches the endpoint, possibly late. */
static void leased_request_arrives(void *context, uint64_t argument)
{
	run_t *run = context;
	endpoint_t *endpoint = &run->endpoint;
	uint64_t fencing = argument >> 8;
	int holder = (int)(argument & 0xff);

	if (fencing < endpoint->fencing)
		return;
	if (fencing == endpoint->fencing)
		g_assert_cmpint(endpoint->holder, ==, holder);
	endpoint->fencing = fencing;
	endpoint->holder = holder;
	endpoint->accepted++;
}

static void send_leased_request(void *context, uint64_t remaining)
{
	lease_sim_instance_t *instance = context;
	run_t *run = instance->run->user.context;
	sim_t *sim = &run->leases.sim;
	uint64_t fencing = lease_fencing(&instance->lease, sim->now_ms);

	if (sim->now_ms >= instance->paused_until_ms && fencing) {
		/* No two instances may consider their lease valid. */
		lease_sim_check_holder(instance);
		g_assert_cmpuint(fencing, >=, run->last_sent);
		run->last_sent = fencing;
		run->requests_sent++;
		sim_schedule(sim, rng_below(&sim->rng, 2 * DURATION_MS),
			     leased_request_arrives, run,
			     fencing << 8 | (uint64_t)instance->index);
	}
	if (remaining)
		sim_schedule(sim, SEND_INTERVAL_MS, send_leased_request,
			     instance, remaining - 1);
}

static void start_sending(void *context, lease_sim_instance_t *instance)
{
	run_t *run = context;

	sim_schedule(&run->leases.sim, 200, send_leased_request, instance,
		     RUN_MS / SEND_INTERVAL_MS);
}

static uint64_t parse_note(const char *note)
{
	return g_ascii_strtoull(note, NULL, 16);
}

/* Each holder notes its fencing number; without restores the next one finds it,
 * or, if it was never written, that of an earlier one. */
static void check_note(void *context, lease_sim_instance_t *instance)
{
	run_t *run = context;
	uint64_t found = parse_note(lease_note(&instance->lease));
	char note[LEASE_NOTE_MAX_BYTES];

	if (!run->leases.user.has_restores)
		g_assert_cmpuint(found, >=, run->note_found);
	run->notes_changed += found > run->note_found;
	run->note_found = found;
	g_snprintf(note, sizeof(note), "%" G_GINT64_MODIFIER "x",
		   instance->lease.record.fencing);
	lease_set_note(&instance->lease, note);
}

static void run_schedule(uint64_t seed, bool has_restores, run_t *totals)
{
	run_t *run = g_new0(run_t, 1);
	const lease_sim_user_t user = { .context = run,
					.added = start_sending,
					.acquired = check_note,
					.has_restores = has_restores };

	lease_sim_run(&run->leases, seed, &user);
	totals->leases.acquisitions += run->leases.acquisitions;
	totals->requests_sent += run->requests_sent;
	totals->endpoint.accepted += run->endpoint.accepted;
	totals->leases.releases += run->leases.releases;
	totals->leases.restores += run->leases.restores;
	totals->notes_changed += run->notes_changed;
	g_free(run);
}

static void run_schedules(bool has_restores, uint64_t sent_share_percent)
{
	run_t *totals = g_new0(run_t, 1);
	uint64_t first;
	uint64_t last;

	sim_seed_range(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, has_restores, totals);
	}
	g_print("# acquisitions %" G_GUINT64_FORMAT ", requests sent "
		"%" G_GUINT64_FORMAT ", accepted %" G_GUINT64_FORMAT
		", releases %" G_GUINT64_FORMAT ", restores %" G_GUINT64_FORMAT
		"\n",
		totals->leases.acquisitions, totals->requests_sent,
		totals->endpoint.accepted, totals->leases.releases,
		totals->leases.restores);
	/* Without acquisitions and changes of holder the run proves nothing. */
	g_assert_cmpuint(totals->leases.acquisitions, >,
			 3 * (last - first + 1));
	g_assert_cmpuint(totals->requests_sent * SEND_INTERVAL_MS, >,
			 (last - first + 1) * RUN_MS * sent_share_percent /
				 100);
	if (!has_restores)
		g_assert_cmpuint(totals->notes_changed, >,
				 3 * (last - first + 1));
	g_free(totals);
}

/* Guards against two holders at a time, and a fencing number given to both. */
static void test_schedules(void)
{
	run_schedules(false, 50);
}

/*
 * Guards against a second holder, and a fencing number that is given again,
 * after the store was restored from an older copy.
 */
static void test_restored_schedules(void)
{
	run_schedules(true, 30);
}

/* Guards against a record of before a restore that looks like one of now. */
static void test_record_json(void)
{
	static const uint64_t eras[] = { 0, 1, 70000 };

	for (size_t i = 0; i < G_N_ELEMENTS(eras); i++) {
		lease_record_t record = { .holder = "self",
					  .successor = "third",
					  .nonce = UINT64_MAX,
					  .fencing = FENCING(eras[i], 6),
					  .write_id = 3,
					  .era = eras[i],
					  .duration_ms = DURATION_MS };
		lease_record_t decoded;
		CLEANUP_JSON json_t *value = lease_record_to_json(&record);

		/* Records of the version before have no era. */
		g_assert_true(!json_object_get(value, "era") == !eras[i]);
		g_assert_cmpint(lease_record_from_json(value, &decoded), ==, 0);
		g_assert_cmpuint(decoded.fencing, ==, record.fencing);
		g_assert_cmpuint(decoded.era, ==, record.era);
		json_object_set_new(value, "era", json_string("1"));
		g_assert_cmpint(lease_record_from_json(value, &decoded), ==,
				ERR_BAD_JSON);
	}
}

/*
 * Guards against a note that differs when read, a field in records without a
 * note, and a note that is cut off.
 */
static void test_record_note(void)
{
	static const size_t lengths[] = { 0, 1, LEASE_NOTE_MAX_BYTES - 1 };
	char note[LEASE_NOTE_MAX_BYTES + 1] = "";

	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		lease_record_t record = { .holder = "self", .nonce = 7 };
		lease_record_t decoded;
		CLEANUP_JSON json_t *value = NULL;

		memset(record.note, 'f', lengths[i]);
		value = lease_record_to_json(&record);
		g_assert_true(!json_object_get(value, "note") == !lengths[i]);
		g_assert_cmpint(lease_record_from_json(value, &decoded), ==, 0);
		g_assert_cmpstr(decoded.note, ==, record.note);
		memset(note, 'f', LEASE_NOTE_MAX_BYTES);
		json_object_set_new(value, "note", json_string(note));
		g_assert_cmpint(lease_record_from_json(value, &decoded), ==,
				ERR_BAD_JSON);
		json_object_set_new(value, "note", json_integer(1));
		g_assert_cmpint(lease_record_from_json(value, &decoded), ==,
				ERR_BAD_JSON);
	}
}

/*
 * Guards against an instance that, after a restart of all instances, waits for
 * the expiry of a lease that its own earlier incarnation held.
 */
static void test_unique_id(void)
{
	lease_record_t record = { .holder = "self",
				  .nonce = 99,
				  .fencing = 4,
				  .duration_ms = DURATION_MS };

	for (int id_is_unique = 0; id_is_unique < 2; id_is_unique++) {
		lease_actions_t actions;
		lease_event_t event = { .kind = LEASE_EVENT_READ };
		lease_t lease;
		rng_t rng;

		rng_init(&rng, 1);
		lease_begin(&lease, "self", 7, DURATION_MS, &rng, &actions);
		if (id_is_unique)
			lease_set_id_unique(&lease);
		event.call_id = actions.items[0].call_id;
		event.read.version = 3;
		event.read.record = &record;
		lease_step(&lease, &event, 1000, &actions);
		g_assert_cmpuint(actions.count, ==, 1);
		g_assert_cmpint(actions.items[0].kind, ==,
				id_is_unique ? LEASE_ACTION_WRITE
					     : LEASE_ACTION_WAIT);
		if (id_is_unique)
			g_assert_cmpuint(actions.items[0].write.record.fencing,
					 ==, 5);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/cases", test_cases);
	g_test_add_func("/lease/restored-cases", test_restored_cases);
	g_test_add_func("/lease/schedules", test_schedules);
	g_test_add_func("/lease/restored-schedules", test_restored_schedules);
	g_test_add_func("/lease/record-json", test_record_json);
	g_test_add_func("/lease/unique-id", test_unique_id);
	g_test_add_func("/lease/note-cases", test_note_cases);
	g_test_add_func("/lease/record-note", test_record_note);
	return g_test_run();
}
