/*
 * The log of orders to engines: a table of cases, and seeded random schedules
 * with real leases, lost answers of the store, a store that is restored, and
 * orders that arrive long after the lease of their sender.
 */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/rollout_log.h"
#include "process/weights_rollout.h"
#include "t/lib/lease_sim.h"

enum {
	RUN_MS = LEASE_SIM_RUN_MS,
	TRANSIT_MS = 2 * LEASE_SIM_DURATION_MS,
	SCHEDULES = 1000,
	ENGINES = 4,
	FLIGHTS_MAX = 256,
	TICK_MS = 50,
	/** Timeout of a call to an engine. */
	CALL_MS = 500,
	ANSWER_MAX_MS = 60,
	/** No order is sent this shortly before the lease ends. */
	MARGIN_MS = 100,
	ORDER_PAUSE_MS = 500,
};

static const char log_key[] = "lease/pool-orders";

/* ---- Cases ---- */

enum {
	/** The term of all cases begins then. */
	ACQUIRED_MS = 10000,
	OBSERVED_MS = 2000,
	FENCING = 7,
	ERA = 2,
	/** Without a log, any engine may have an order on the way. */
	UNKNOWN_UNTIL_MS = ACQUIRED_MS + TRANSIT_MS - OBSERVED_MS,
	TRANSIT_END_MS = ACQUIRED_MS + TRANSIT_MS,
};

/** What a read of the log returns. */
typedef enum found_log {
	NO_LOG,
	STORE_DOWN,
	UNREADABLE,
	EARLIER, /**< Of an earlier holder: 1:3*1 2:5*2. */
	OLD_ERA, /**< The same, of an earlier era of the store. */
	OWN,	 /**< What this holder wrote last. */
	LATER,	 /**< Of a later holder. */
} found_log_t;

typedef enum step_kind {
	STEP,	 /**< `expected`: rollout_log_action_t. */
	READ,	 /**< `value`: found_log_t. */
	WRITTEN, /**< `value`: error. */
	HOLD,	 /**< `expected`: rollout_hold_t. */
	ADD,	 /**< `value`: number of accepted orders, known now. */
	ADD_OLD, /**< The number was requested 10 ms ago. */
	LOGGED,	 /**< `expected`: whether the order may be sent. */
	SENT,
	DROP,
	ANSWERED,
	UNANSWERED,
	REPORT, /**< `value`: number of accepted orders. */
	END,	/**< `expected`: orders that may not have arrived. */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	uint64_t at_ms;
	uint64_t key; /**< Of the engine. */
	int value;
	int expected;
	/** Entries of a write: engine, ':', orders accepted before, '*',
	 * orders sent. */
	const char *written;
} step_t;

#define NONE ROLLOUT_LOG_NONE
#define DO_READ ROLLOUT_LOG_READ
#define WRITE ROLLOUT_LOG_WRITE
#define FREE ROLLOUT_HOLD_NONE
#define REPORTS ROLLOUT_HOLD_REPORTS
#define ALL ROLLOUT_HOLD_ALL

static const struct {
	const char *name;
	step_t steps[24];
} cases[] = {
	{ "no log: any engine may have an order on the way",
	  { { HOLD, 10000, 1, 0, ALL, NULL },
	    { STEP, 10000, 0, 0, DO_READ, NULL },
	    { STEP, 10001, 0, 0, NONE, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { HOLD, UNKNOWN_UNTIL_MS - 1, 1, 0, ALL, NULL },
	    { HOLD, UNKNOWN_UNTIL_MS, 1, 0, FREE, NULL },
	    { STEP, 10010, 0, 0, WRITE, "" },
	    { WRITTEN, 10020, 0, 0, 0, NULL },
	    { STEP, 11009, 0, 0, NONE, NULL },
	    { STEP, 11010, 0, 0, WRITE, "" },
	    { WRITTEN, 11020, 0, 0, 0, NULL },
	    { STEP, UNKNOWN_UNTIL_MS, 0, 0, WRITE, "" },
	    { WRITTEN, UNKNOWN_UNTIL_MS, 0, 0, 0, NULL },
	    { STEP, UNKNOWN_UNTIL_MS + 9000, 0, 0, NONE, NULL },
	    { ADD, UNKNOWN_UNTIL_MS + 9000, 1, 3, 0, NULL },
	    { STEP, UNKNOWN_UNTIL_MS + 9000, 0, 0, WRITE, "1:3*1" } } },
	{ "log of an earlier holder: its engines get requests for reports",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { HOLD, 10010, 1, 0, REPORTS, NULL },
	    { HOLD, 10010, 2, 0, REPORTS, NULL },
	    { HOLD, 10010, 3, 0, FREE, NULL },
	    { HOLD, TRANSIT_END_MS - 1, 1, 0, REPORTS, NULL },
	    { HOLD, TRANSIT_END_MS, 1, 0, FREE, NULL },
	    { HOLD, TRANSIT_END_MS, 2, 0, FREE, NULL } } },
	{ "log of an earlier era: newer entries may be lost",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, OLD_ERA, 0, NULL },
	    { HOLD, 10010, 3, 0, ALL, NULL },
	    { HOLD, UNKNOWN_UNTIL_MS - 1, 1, 0, ALL, NULL },
	    { HOLD, UNKNOWN_UNTIL_MS, 1, 0, FREE, NULL } } },
	{ "log that is unreadable: replaced by the next write",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, UNREADABLE, 0, NULL },
	    { HOLD, UNKNOWN_UNTIL_MS - 1, 3, 0, ALL, NULL },
	    { HOLD, UNKNOWN_UNTIL_MS, 3, 0, FREE, NULL },
	    { ADD, UNKNOWN_UNTIL_MS, 3, 0, 0, NULL },
	    { STEP, UNKNOWN_UNTIL_MS, 0, 0, WRITE, "3:0*1" } } },
	{ "store that is down: nothing is sent before the log is read",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, STORE_DOWN, 0, NULL },
	    { STEP, 10209, 0, 0, NONE, NULL },
	    { HOLD, 20000, 1, 0, ALL, NULL },
	    { STEP, 20000, 0, 0, DO_READ, NULL },
	    { READ, 20010, 0, EARLIER, 0, NULL },
	    { HOLD, 20010, 1, 0, FREE, NULL } } },
	{ "log of a later holder: nothing is sent",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, LATER, 0, NULL },
	    { HOLD, 20000, 1, 0, ALL, NULL },
	    { ADD, 20000, 1, 0, 0, NULL },
	    { STEP, 20000, 0, 0, NONE, NULL },
	    { LOGGED, 20000, 1, 0, false, NULL } } },
	{ "an order is sent once it is logged",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { ADD, 10020, 3, 8, 0, NULL },
	    { LOGGED, 10020, 3, 0, false, NULL },
	    { STEP, 10020, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1" },
	    { LOGGED, 10030, 3, 0, false, NULL },
	    { ADD, 10030, 4, 0, 0, NULL },
	    { STEP, 10030, 0, 0, NONE, NULL },
	    { WRITTEN, 10040, 0, 0, 0, NULL },
	    { LOGGED, 10040, 3, 0, true, NULL },
	    { LOGGED, 10040, 4, 0, false, NULL },
	    { SENT, 10040, 3, 0, 0, NULL },
	    { LOGGED, 10040, 3, 0, false, NULL },
	    { STEP, 10050, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1 4:0*1" },
	    { WRITTEN, 10060, 0, 0, 0, NULL },
	    { LOGGED, 10060, 3, 0, false, NULL },
	    { LOGGED, 10060, 4, 0, true, NULL },
	    { END, 10070, 0, 0, 1, NULL },
	    { LOGGED, 10070, 4, 0, false, NULL } } },
	{ "failed condition: read and written again",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, ERR_STORE_CONDITION, 0, NULL },
	    { LOGGED, 14010, 3, 0, false, NULL },
	    { HOLD, 14010, 4, 0, ALL, NULL },
	    { STEP, 14010, 0, 0, DO_READ, NULL },
	    { READ, 14020, 0, EARLIER, 0, NULL },
	    { HOLD, 14020, 1, 0, REPORTS, NULL },
	    { LOGGED, 14020, 3, 0, false, NULL },
	    { STEP, 14020, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1" },
	    { WRITTEN, 14030, 0, 0, 0, NULL },
	    { LOGGED, 14030, 3, 0, true, NULL } } },
	{ "lost answer, own write found: written again",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { ADD, 10020, 3, 8, 0, NULL },
	    { STEP, 10020, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1" },
	    { WRITTEN, 10400, 0, ERR_STORE_UNKNOWN, 0, NULL },
	    { LOGGED, 10400, 3, 0, false, NULL },
	    { HOLD, 10400, 1, 0, REPORTS, NULL },
	    { HOLD, 10400, 4, 0, FREE, NULL },
	    { STEP, 10599, 0, 0, NONE, NULL },
	    { STEP, 10600, 0, 0, DO_READ, NULL },
	    { READ, 10610, 0, OWN, 0, NULL },
	    { HOLD, 10610, 1, 0, REPORTS, NULL },
	    { HOLD, 10610, 3, 0, FREE, NULL },
	    { LOGGED, 10610, 3, 0, false, NULL },
	    { STEP, 10610, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1" },
	    { WRITTEN, 10620, 0, 0, 0, NULL },
	    { LOGGED, 10620, 3, 0, true, NULL } } },
	{ "lost answer, a later holder has written: no order is sent",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { ADD, 10020, 3, 8, 0, NULL },
	    { STEP, 10020, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1" },
	    { WRITTEN, 10400, 0, ERR_STORE_UNKNOWN, 0, NULL },
	    { STEP, 10600, 0, 0, DO_READ, NULL },
	    { READ, 10610, 0, LATER, 0, NULL },
	    { STEP, 20000, 0, 0, NONE, NULL },
	    { LOGGED, 20000, 3, 0, false, NULL } } },
	{ "an order that is answered is cleaned from the store",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { STEP, 18000, 0, 0, NONE, NULL },
	    { ANSWERED, 18000, 3, 0, 0, NULL },
	    { STEP, 18999, 0, 0, NONE, NULL },
	    { STEP, 19000, 0, 0, WRITE, "" },
	    { WRITTEN, 19010, 0, 0, 0, NULL },
	    { STEP, 30000, 0, 0, NONE, NULL },
	    { END, 30000, 0, 0, 0, NULL } } },
	{ "the next order replaces one that is settled",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { ANSWERED, 14020, 3, 0, 0, NULL },
	    { ADD, 14030, 4, 2, 0, NULL },
	    { STEP, 14030, 0, 0, WRITE, "4:2*1" },
	    { WRITTEN, 14040, 0, 0, 0, NULL },
	    { STEP, 19000, 0, 0, NONE, NULL } } },
	{ "an order without an answer: settled by a report",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { UNANSWERED, 14510, 3, 0, 0, NULL },
	    { REPORT, 14600, 3, 8, 0, NULL },
	    { REPORT, 14600, 4, 9, 0, NULL },
	    { STEP, 15600, 0, 0, NONE, NULL },
	    { REPORT, 15700, 3, 9, 0, NULL },
	    { STEP, 16699, 0, 0, NONE, NULL },
	    { STEP, 16700, 0, 0, WRITE, "" } } },
	{ "an order without an answer: settled by time",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { UNANSWERED, 14510, 3, 0, 0, NULL },
	    { ADD, 20509, 4, 0, 0, NULL },
	    { STEP, 20509, 0, 0, WRITE, "3:8*1 4:0*1" },
	    { WRITTEN, 20509, 0, 0, 0, NULL },
	    { STEP, 20510, 0, 0, NONE, NULL },
	    { STEP, 21510, 0, 0, WRITE, "4:0*1" } } },
	{ "an order without an answer when the term ends",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { UNANSWERED, 14510, 3, 0, 0, NULL },
	    { END, 14520, 0, 0, 1, NULL },
	    { STEP, 14520, 0, 0, NONE, NULL } } },
	{ "repeated order: the number proves nothing",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { UNANSWERED, 14510, 3, 0, 0, NULL },
	    { ADD, 14910, 3, 8, 0, NULL },
	    { LOGGED, 14910, 3, 0, false, NULL },
	    { STEP, 14910, 0, 0, WRITE, "3:8*2" },
	    { WRITTEN, 14920, 0, 0, 0, NULL },
	    { LOGGED, 14920, 3, 0, true, NULL },
	    { SENT, 14920, 3, 0, 0, NULL },
	    { ANSWERED, 15000, 3, 0, 0, NULL },
	    { REPORT, 15100, 3, 9, 0, NULL },
	    { ADD, 20999, 4, 0, 0, NULL },
	    { STEP, 20999, 0, 0, WRITE, "3:8*2 4:0*1" },
	    { WRITTEN, 20999, 0, 0, 0, NULL },
	    { STEP, 21000, 0, 0, NONE, NULL },
	    { STEP, 22000, 0, 0, WRITE, "4:0*1" } } },
	{ "hold by reports: ends when the order has arrived",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { REPORT, 10100, 1, 3, 0, NULL },
	    { HOLD, 10100, 1, 0, REPORTS, NULL },
	    { REPORT, 10350, 1, 4, 0, NULL },
	    { HOLD, 10350, 1, 0, FREE, NULL },
	    { REPORT, 10350, 2, 6, 0, NULL },
	    { HOLD, 10350, 2, 0, REPORTS, NULL },
	    { REPORT, 10350, 2, 7, 0, NULL },
	    { HOLD, 10350, 2, 0, REPORTS, NULL },
	    { STEP, 11009, 0, 0, NONE, NULL },
	    { STEP, 11010, 0, 0, WRITE, "2:5*2" },
	    { WRITTEN, 11020, 0, 0, 0, NULL },
	    { STEP, 12009, 0, 0, NONE, NULL },
	    { STEP, 12010, 0, 0, WRITE, "2:5*2" },
	    { WRITTEN, 12020, 0, 0, 0, NULL },
	    { STEP, TRANSIT_END_MS, 0, 0, WRITE, "" },
	    { WRITTEN, TRANSIT_END_MS, 0, 0, 0, NULL },
	    { STEP, TRANSIT_END_MS + 9000, 0, 0, NONE, NULL } } },
	{ "number of before an order was settled by time: proves nothing",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { STEP, TRANSIT_END_MS, 0, 0, WRITE, "" },
	    { WRITTEN, TRANSIT_END_MS, 0, 0, 0, NULL },
	    { ADD_OLD, TRANSIT_END_MS, 1, 3, 0, NULL },
	    { ADD, TRANSIT_END_MS, 3, 8, 0, NULL },
	    { STEP, TRANSIT_END_MS, 0, 0, WRITE, "1:?*1 3:8*1" },
	    { WRITTEN, 16010, 0, 0, 0, NULL },
	    { SENT, 16010, 1, 0, 0, NULL },
	    { UNANSWERED, 16510, 1, 0, 0, NULL },
	    { REPORT, 16600, 1, 4, 0, NULL },
	    { ADD_OLD, 16610, 4, 1, 0, NULL },
	    { STEP, 16610, 0, 0, WRITE, "1:?*1 3:8*1 4:1*1" },
	    { END, 16620, 0, 0, 1, NULL } } },
	{ "an order that is added before the hold is settled",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, EARLIER, 0, NULL },
	    { ADD, TRANSIT_END_MS, 1, 3, 0, NULL },
	    { STEP, TRANSIT_END_MS, 0, 0, WRITE, "1:?*1" } } },
	{ "an order that is not sent is cleaned from the store",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { DROP, 14010, 3, 0, 0, NULL },
	    { LOGGED, 14010, 3, 0, false, NULL },
	    { STEP, 14020, 0, 0, NONE, NULL },
	    { STEP, 15020, 0, 0, WRITE, "" },
	    { WRITTEN, 15030, 0, 0, 0, NULL },
	    { STEP, 30000, 0, 0, NONE, NULL },
	    { END, 30000, 0, 0, 0, NULL } } },
	{ "an order that is not sent and then added again",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { DROP, 14010, 3, 0, 0, NULL },
	    { ADD, 14010, 3, 9, 0, NULL },
	    { STEP, 14010, 0, 0, WRITE, "3:9*1" } } },
	{ "a repeated order that is not sent: the first may arrive",
	  { { STEP, 10000, 0, 0, DO_READ, NULL },
	    { READ, 10010, 0, NO_LOG, 0, NULL },
	    { ADD, 14000, 3, 8, 0, NULL },
	    { STEP, 14000, 0, 0, WRITE, "3:8*1" },
	    { WRITTEN, 14010, 0, 0, 0, NULL },
	    { SENT, 14010, 3, 0, 0, NULL },
	    { UNANSWERED, 14510, 3, 0, 0, NULL },
	    { ADD, 14910, 3, 8, 0, NULL },
	    { DROP, 14910, 3, 0, 0, NULL },
	    { STEP, 14910, 0, 0, NONE, NULL },
	    { END, 14920, 0, 0, 1, NULL } } },
};

static rollout_log_entry_t earlier_entries[] = { { 1, 3, 1, TRANSIT_MS },
						 { 2, 5, 2, TRANSIT_MS } };

static void give_read(rollout_log_t *log, const step_t *s, uint64_t revision)
{
	rollout_log_record_t record = { .fencing = FENCING - 1,
					.era = ERA,
					.entries = earlier_entries,
					.count =
						G_N_ELEMENTS(earlier_entries) };
	const rollout_log_record_t nothing = { 0 };
	int err = 0;

	if (s->value == NO_LOG)
		err = ERR_NOT_FOUND;
	else if (s->value == STORE_DOWN)
		err = ERR_STORE_DOWN;
	else if (s->value == UNREADABLE)
		record = nothing;
	else if (s->value == OLD_ERA)
		record.era--;
	else if (s->value == OWN)
		record = log->written;
	else if (s->value == LATER)
		record.fencing = FENCING + 1;
	rollout_log_on_read(log, err, err ? 0 : revision,
			    err ? &nothing : &record, s->at_ms);
}

static void check_written(const rollout_log_t *log, const char *expected)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (size_t i = 0; i < log->written.count; i++) {
		const rollout_log_entry_t *entry = &log->written.entries[i];

		g_string_append_printf(text, "%s%d:", i ? " " : "",
				       (int)entry->key);
		if (entry->accepted == ROLLOUT_LOG_UNCOUNTED)
			g_string_append_c(text, '?');
		else
			g_string_append_printf(text, "%d",
					       (int)entry->accepted);
		g_string_append_printf(text, "*%d", (int)entry->sent);
	}
	g_assert_cmpstr(text->str, ==, expected);
	g_assert_cmpuint(log->written.fencing, ==, FENCING);
	g_assert_cmpuint(log->written.era, ==, ERA);
}

static void run_step(rollout_log_t *log, const step_t *s, uint64_t revision)
{
	switch (s->kind) {
	case STEP:
		g_assert_cmpint(rollout_log_step(log, s->at_ms), ==,
				s->expected);
		if (s->expected == WRITE)
			check_written(log, s->written);
		return;
	case READ:
		give_read(log, s, revision);
		return;
	case WRITTEN:
		rollout_log_on_written(log, s->value, s->value ? 0 : revision,
				       s->at_ms);
		return;
	case HOLD:
		g_assert_cmpint(rollout_log_hold(log, s->key, s->at_ms), ==,
				s->expected);
		return;
	case ADD:
	case ADD_OLD:
		g_assert_cmpint(
			rollout_log_add(log, s->key, (uint64_t)s->value,
					s->at_ms -
						(s->kind == ADD_OLD ? 10 : 0)),
			==, 0);
		return;
	case LOGGED:
		g_assert_cmpint(rollout_log_is_logged(log, s->key), ==,
				s->expected);
		return;
	case SENT:
		rollout_log_on_sent(log, s->key, s->at_ms);
		return;
	case DROP:
		rollout_log_drop(log, s->key, s->at_ms);
		return;
	case ANSWERED:
	case UNANSWERED:
		rollout_log_on_answer(log, s->key, s->kind == ANSWERED,
				      s->at_ms);
		return;
	case REPORT:
		rollout_log_on_report(log, s->key, (uint64_t)s->value,
				      s->at_ms);
		return;
	case END:
		g_assert_cmpuint(rollout_log_end(log), ==, s->expected);
		return;
	}
}

static void begin_term(rollout_log_t *log)
{
	const rollout_term_t term = { .fencing = FENCING,
				      .era = ERA,
				      .transit_ms = TRANSIT_MS,
				      .observed_ms = OBSERVED_MS };

	rollout_log_begin(log, &term, ACQUIRED_MS);
}

/* Guards against an order that is not logged, and one that is sent while an
 * earlier one may be on the way. */
static void test_cases(void)
{
	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		rollout_log_t log = { 0 };
		uint64_t revision = 30;

		begin_term(&log);
		for (const step_t *s = cases[c].steps; s->at_ms; s++) {
			g_test_message("%s: step %d at %d", cases[c].name,
				       (int)(s - cases[c].steps),
				       (int)s->at_ms);
			run_step(&log, s, ++revision);
		}
		rollout_log_free(&log);
	}
}

/* Guards against a condition on a revision that is not the newest known one. */
static void test_revision(void)
{
	static const step_t steps[] = {
		{ STEP, 10000, 0, 0, DO_READ, NULL },
		{ READ, 10010, 0, EARLIER, 0, NULL },
		{ ADD, 10020, 3, 8, 0, NULL },
		{ STEP, 10020, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1" },
		{ WRITTEN, 10030, 0, 0, 0, NULL },
		{ ADD, 10040, 4, 0, 0, NULL },
		{ STEP, 10040, 0, 0, WRITE, "1:3*1 2:5*2 3:8*1 4:0*1" },
		{ WRITTEN, 10050, 0, ERR_STORE_CONDITION, 0, NULL },
		{ STEP, 10050, 0, 0, DO_READ, NULL },
		{ READ, 10060, 0, OWN, 0, NULL },
	};
	static const uint64_t revisions[] = { 0,  31, 31, 31, 34,
					      34, 34, 34, 34, 39 };
	rollout_log_t log = { 0 };

	begin_term(&log);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		run_step(&log, &steps[i], 30 + i);
		g_assert_cmpuint(log.revision, ==, revisions[i]);
	}
	/* Nothing of a term is known in the next one. */
	begin_term(&log);
	g_assert_cmpuint(log.revision, ==, 0);
	g_assert_cmpint(rollout_log_hold(&log, 3, ACQUIRED_MS), ==, ALL);
	g_assert_cmpint(rollout_log_step(&log, ACQUIRED_MS), ==, DO_READ);
	rollout_log_free(&log);
}

/* ---- Value in the store ---- */

static rollout_log_record_t pass_through_store(const rollout_log_record_t *from)
{
	rollout_log_record_t read = { 0 };
	CLEANUP_JSON json_t *value = rollout_log_to_json(from);
	CLEANUP_FREE char *text = json_dumps(value, 0);
	CLEANUP_JSON json_t *parsed = json_loads(text, 0, NULL);

	g_assert_cmpint(rollout_log_from_json(parsed, &read), ==, 0);
	return read;
}

/* Guards against a log that is read differently from what was written. */
static void test_round_trip(void)
{
	rollout_log_entry_t entries[100];

	for (size_t count = 0; count <= G_N_ELEMENTS(entries); count += 25) {
		rollout_log_record_t record = { .fencing = INT64_MAX,
						.era = count,
						.unknown_ms = (uint32_t)count,
						.entries = entries,
						.count = count };
		CLEANUP_ROLLOUT_LOG_RECORD rollout_log_record_t read = { 0 };

		for (size_t i = 0; i < count; i++)
			entries[i] = (rollout_log_entry_t){
				.key = UINT64_MAX - i,
				.accepted = i ? i : ROLLOUT_LOG_UNCOUNTED,
				.sent = UINT32_MAX - (uint32_t)i,
				.left_ms = UINT32_MAX - (uint32_t)i,
			};
		read = pass_through_store(&record);
		g_assert_cmpuint(read.fencing, ==, record.fencing);
		g_assert_cmpuint(read.era, ==, record.era);
		g_assert_cmpuint(read.unknown_ms, ==, record.unknown_ms);
		g_assert_cmpuint(read.count, ==, count);
		for (size_t i = 0; i < count; i++) {
			g_assert_cmpuint(read.entries[i].key, ==,
					 entries[i].key);
			g_assert_cmpuint(read.entries[i].accepted, ==,
					 entries[i].accepted);
			g_assert_cmpuint(read.entries[i].sent, ==,
					 entries[i].sent);
			g_assert_cmpuint(read.entries[i].left_ms, ==,
					 entries[i].left_ms);
		}
	}
}

#define HEAD "{\"fencing\":1,\"era\":1,\"unknown_ms\":0"
#define ROW_HEAD HEAD ",\"orders\":["
#define KEY "\"0000000000000007\""

static const char *const bad_objects[] = {
	"[]",
	"{}",
	HEAD "}",
	HEAD ",\"orders\":{}}",
	"{\"era\":1,\"unknown_ms\":0,\"orders\":[]}",
	"{\"fencing\":1,\"unknown_ms\":0,\"orders\":[]}",
	"{\"fencing\":1,\"era\":1,\"orders\":[]}",
	"{\"fencing\":1,\"era\":1,\"unknown_ms\":-1,\"orders\":[]}",
	"{\"fencing\":\"1\",\"era\":1,\"unknown_ms\":0,\"orders\":[]}",
	"{\"fencing\":-1,\"era\":1,\"unknown_ms\":0,\"orders\":[]}",
	"{\"fencing\":1,\"era\":1.5,\"unknown_ms\":0,\"orders\":[]}",
	ROW_HEAD "7]}",
	ROW_HEAD "[]]}",
	ROW_HEAD "[" KEY "]]}",
	ROW_HEAD "[" KEY ",1]]}",
	ROW_HEAD "[7,1,1,1]]}",
	ROW_HEAD "[\"7\",1,1,1]]}",
	ROW_HEAD "[" KEY ",-1,1,1]]}",
	ROW_HEAD "[" KEY ",\"1\",1,1]]}",
	ROW_HEAD "[" KEY ",1,-1,1]]}",
	ROW_HEAD "[" KEY ",1,4294967296,1]]}",
	ROW_HEAD "[" KEY ",1,1]]}",
	ROW_HEAD "[" KEY ",1,1,-1]]}",
	ROW_HEAD "[" KEY ",1,1,4294967296]]}",
	ROW_HEAD "[" KEY ",1,1,1],[" KEY ",1]]}",
};

/* Guards against an object of another writer that is taken for a log. */
static void test_bad_objects(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_objects); i++) {
		CLEANUP_ROLLOUT_LOG_RECORD rollout_log_record_t record = { 0 };
		CLEANUP_JSON json_t *value =
			json_loads(bad_objects[i], 0, NULL);

		g_test_message("%s", bad_objects[i]);
		g_assert_nonnull(value);
		g_assert_cmpint(rollout_log_from_json(value, &record), ==,
				ERR_BAD_JSON);
	}
}

/* ---- Schedules ---- */

/** An order that has been sent and has not arrived yet. */
typedef struct flight {
	bool open;
	bool followed; /**< The next lease has been acquired since. */
	uint64_t fencing;
	uint64_t sender;
	uint64_t holder;
	uint64_t call;
	uint64_t engine;
	uint64_t accepted;
	uint64_t sent_ms;
	uint64_t arrives_ms;
} flight_t;

/** An engine that checks the fencing numbers of all orders that arrive. */
typedef struct engine {
	uint64_t fencing;
	uint64_t sender;
	uint64_t accepted;
} engine_t;

/** What a holder knows of an engine. */
typedef struct target {
	uint64_t call; /**< Open call; 0: none. */
	bool unlogged; /**< An order waits until it is logged. */
	bool known;    /**< The number of accepted orders is. */
	uint64_t accepted;
	uint64_t counted_ms; /**< When that report was requested. */
	uint64_t not_before_ms;
} target_t;

typedef struct run run_t;

/** What an instance does with the lease. */
typedef struct holder {
	run_t *run;
	lease_sim_instance_t *instance;
	rollout_log_t log;
	uint64_t acquired_ms;
	uint64_t log_call; /**< Open call to the store; 0: none. */
	target_t targets[ENGINES];
} holder_t;

/** Figures of the schedules, so that they prove something. */
typedef struct figures {
	uint64_t sent;
	uint64_t sent_early; /**< Within the transit time of a term. */
	uint64_t arrived;
	uint64_t arrived_late; /**< After the next lease was acquired. */
	uint64_t polls_held;   /**< Requests for reports, while on hold. */
	uint64_t violations;   /**< Orders with a lower number. */
	uint64_t violated;     /**< Schedules with such orders. */
} figures_t;

/** State of one simulated schedule. */
struct run {
	lease_sim_t leases;
	bool ignores_log; /**< Orders are sent at once. */
	holder_t holders[LEASE_SIM_INSTANCES];
	engine_t engines[ENGINES];
	flight_t flights[FLIGHTS_MAX];
	uint64_t calls;
	figures_t figures;
};

/** An answer of the store, delayed while the instance is paused. */
typedef struct log_answer {
	holder_t *holder;
	uint64_t call;
	bool writes;
	int result;
	uint64_t era;
	uint64_t version;
	char *text;
} log_answer_t;

#define CALL(call, engine, value) \
	((call) << 24 | (uint64_t)(engine) << 16 | (value))
#define CALL_NUMBER(argument) ((argument) >> 24)
#define CALL_ENGINE(argument) ((argument) >> 16 & 0xff)
#define CALL_VALUE(argument) ((argument)&0xffff)

static uint64_t delay_ms(run_t *run, uint32_t max_ms)
{
	return 1 + rng_below(&run->leases.sim.rng, max_ms);
}

/* Calls to engines. */

/** The call of an order ends, by an answer or its timeout. */
static void order_ended(void *context, uint64_t argument)
{
	holder_t *holder = context;
	target_t *target = &holder->targets[CALL_ENGINE(argument)];
	uint64_t now_ms = holder->run->leases.sim.now_ms;

	if (!lease_sim_executes(holder->instance, order_ended, holder,
				argument) ||
	    target->call != CALL_NUMBER(argument))
		return;
	target->call = 0;
	target->known = false;
	target->not_before_ms = now_ms + rng_below(&holder->run->leases.sim.rng,
						   ORDER_PAUSE_MS);
	if (!holder->run->ignores_log)
		rollout_log_on_answer(&holder->log, CALL_ENGINE(argument) + 1,
				      CALL_VALUE(argument), now_ms);
}

static void check_fencing(run_t *run, const engine_t *engine,
			  const flight_t *flight)
{
	bool holds = flight->fencing > engine->fencing ||
		     (flight->fencing == engine->fencing &&
		      flight->sender == engine->sender);

	run->figures.violations += !holds;
	if (run->ignores_log)
		return;
	g_assert_cmpuint(flight->fencing, >=, engine->fencing);
	g_assert_true(holds);
}

static void order_arrives(void *context, uint64_t argument)
{
	run_t *run = context;
	flight_t *flight = &run->flights[argument];
	engine_t *engine = &run->engines[flight->engine];

	/* It may have been scheduled anew. */
	if (!flight->open || run->leases.sim.now_ms != flight->arrives_ms ||
	    run->leases.ended)
		return;
	flight->open = false;
	run->figures.arrived++;
	run->figures.arrived_late += flight->followed;
	check_fencing(run, engine, flight);
	if (flight->fencing >= engine->fencing) {
		engine->fencing = flight->fencing;
		engine->sender = flight->sender;
	}
	engine->accepted += flight->accepted == engine->accepted;
	sim_schedule(&run->leases.sim, delay_ms(run, ANSWER_MAX_MS),
		     order_ended, &run->holders[flight->holder],
		     CALL(flight->call, flight->engine, 1));
}

static void schedule_arrival(run_t *run, flight_t *flight, uint64_t delay)
{
	flight->arrives_ms = run->leases.sim.now_ms + delay;
	sim_schedule(&run->leases.sim, delay, order_arrives, run,
		     (uint64_t)(flight - run->flights));
}

static flight_t *free_flight(run_t *run)
{
	for (size_t i = 0; i < FLIGHTS_MAX; i++) {
		if (!run->flights[i].open)
			return &run->flights[i];
	}
	g_assert_not_reached();
}

static void put_on_the_way(run_t *run, const flight_t *sent)
{
	flight_t *flight;
	uint32_t draw = rng_below(&run->leases.sim.rng, 100);

	if (draw < 5)
		return;
	flight = free_flight(run);
	*flight = *sent;
	flight->open = true;
	if (draw < 50)
		schedule_arrival(run, flight, delay_ms(run, ANSWER_MAX_MS));
	else if (draw < 80)
		schedule_arrival(run, flight, delay_ms(run, 4 * CALL_MS));
	else
		schedule_arrival(run, flight,
				 delay_ms(run, CALL_MS + TRANSIT_MS));
}

/** Whether the store has the log of this era. */
static bool has_log(const run_t *run)
{
	const sim_object_t *object = sim_find(&run->leases.sim, log_key);
	CLEANUP_ROLLOUT_LOG_RECORD rollout_log_record_t record = { 0 };
	CLEANUP_JSON json_t *value =
		object ? json_loadb(object->value, object->size, 0, NULL)
		       : NULL;

	return !rollout_log_from_json(value, &record) &&
	       record.era == run->leases.sim.era;
}

/** When an order of before has arrived, after the next lease was acquired. */
static uint64_t arrival_limit_ms(const run_t *run, const flight_t *flight,
				 uint64_t observed_at_ms, bool log_is_lost)
{
	uint64_t now_ms = run->leases.sim.now_ms;

	/* See rollout_term_t. */
	if (log_is_lost &&
	    flight->sent_ms < observed_at_ms + LEASE_SIM_VALID_MS)
		return observed_at_ms + TRANSIT_MS > now_ms
			       ? observed_at_ms + TRANSIT_MS
			       : now_ms + 1;
	return now_ms + TRANSIT_MS;
}

/**
 * The next lease is acquired. Orders of before arrive within the transit time:
 * some at any time, some at the last moment.
 */
static void delay_flights(run_t *run, uint64_t observed_at_ms)
{
	sim_t *sim = &run->leases.sim;
	bool log_is_lost = run->leases.restores && !has_log(run);

	for (size_t i = 0; i < FLIGHTS_MAX; i++) {
		flight_t *flight = &run->flights[i];
		uint64_t limit_ms;
		uint32_t draw;

		if (!flight->open || flight->followed)
			continue;
		flight->followed = true;
		limit_ms = arrival_limit_ms(run, flight, observed_at_ms,
					    log_is_lost);
		draw = rng_below(&sim->rng, 4);
		if (draw == 0)
			schedule_arrival(run, flight, limit_ms - sim->now_ms);
		else if (draw < 3 || flight->arrives_ms > limit_ms)
			schedule_arrival(
				run, flight,
				delay_ms(run,
					 (uint32_t)(limit_ms - sim->now_ms)));
	}
}

static void send_order(holder_t *holder, uint64_t engine)
{
	run_t *run = holder->run;
	sim_t *sim = &run->leases.sim;
	target_t *target = &holder->targets[engine];
	const lease_sim_instance_t *instance = holder->instance;
	uint64_t fencing =
		lease_fencing(&instance->lease, sim->now_ms + MARGIN_MS);
	flight_t flight = { .fencing = fencing,
			    .sender = instance->incarnation << 8 |
				      (uint64_t)instance->index,
			    .holder = (uint64_t)instance->index,
			    .call = ++run->calls,
			    .engine = engine,
			    .accepted = target->accepted,
			    .sent_ms = sim->now_ms };

	target->unlogged = false;
	target->known = false;
	if (!fencing) {
		if (!run->ignores_log)
			rollout_log_drop(&holder->log, engine + 1, sim->now_ms);
		return;
	}
	lease_sim_check_holder(instance);
	if (!run->ignores_log)
		rollout_log_on_sent(&holder->log, engine + 1, sim->now_ms);
	run->figures.sent++;
	run->figures.sent_early +=
		sim->now_ms < holder->acquired_ms + TRANSIT_MS;
	target->call = flight.call;
	put_on_the_way(run, &flight);
	sim_schedule(sim, CALL_MS, order_ended, holder,
		     CALL(flight.call, engine, 0));
}

/** `argument`: number of accepted orders and 1, or 0 without an answer. */
static void report_arrives(void *context, uint64_t argument)
{
	holder_t *holder = context;
	target_t *target = &holder->targets[CALL_ENGINE(argument)];

	if (!lease_sim_executes(holder->instance, report_arrives, holder,
				argument) ||
	    target->call != CALL_NUMBER(argument))
		return;
	target->call = 0;
	if (!CALL_VALUE(argument))
		return;
	target->known = true;
	target->accepted = CALL_VALUE(argument) - 1;
	if (!holder->run->ignores_log)
		rollout_log_on_report(&holder->log, CALL_ENGINE(argument) + 1,
				      target->accepted,
				      holder->run->leases.sim.now_ms);
}

static void poll_arrives(void *context, uint64_t argument)
{
	holder_t *holder = context;
	run_t *run = holder->run;
	uint64_t engine = CALL_ENGINE(argument);

	sim_schedule(&run->leases.sim, delay_ms(run, ANSWER_MAX_MS),
		     report_arrives, holder,
		     CALL(CALL_NUMBER(argument), engine,
			  run->engines[engine].accepted + 1));
}

static void poll(holder_t *holder, uint64_t engine)
{
	run_t *run = holder->run;
	sim_t *sim = &run->leases.sim;
	target_t *target = &holder->targets[engine];

	target->call = ++run->calls;
	target->counted_ms = sim->now_ms;
	target->not_before_ms = sim->now_ms + ROLLOUT_POLL_MS;
	sim_schedule(sim, CALL_MS, report_arrives, holder,
		     CALL(target->call, engine, 0));
	if (!sim_chance(sim, 5))
		sim_schedule(sim, delay_ms(run, ANSWER_MAX_MS), poll_arrives,
			     holder, CALL(target->call, engine, 0));
}

/* The log in the store. */

static void step_log(holder_t *holder);

static void send_logged(holder_t *holder)
{
	for (uint64_t i = 0; i < ENGINES; i++) {
		if (holder->targets[i].unlogged &&
		    rollout_log_is_logged(&holder->log, i + 1))
			send_order(holder, i);
	}
}

static void handle_read(holder_t *holder, const log_answer_t *answer)
{
	CLEANUP_ROLLOUT_LOG_RECORD rollout_log_record_t record = { 0 };

	if (!answer->result) {
		CLEANUP_JSON json_t *value = json_loads(answer->text, 0, NULL);

		g_assert_cmpint(rollout_log_from_json(value, &record), ==, 0);
	}
	rollout_log_on_read(&holder->log, answer->result, answer->version,
			    &record, holder->run->leases.sim.now_ms);
}

static void handle_log_answer(holder_t *holder, const log_answer_t *answer)
{
	lease_sim_instance_t *instance = holder->instance;

	if (holder->log_call != answer->call)
		return;
	/* A newer era ends the term, and with it the call. */
	lease_sim_store_era(instance, answer->era);
	if (holder->log_call != answer->call)
		return;
	holder->log_call = 0;
	if (!answer->writes) {
		handle_read(holder, answer);
		return;
	}
	rollout_log_on_written(&holder->log, answer->result, answer->version,
			       holder->run->leases.sim.now_ms);
	if (!answer->result)
		send_logged(holder);
}

static void deliver_log_answer(void *context, uint64_t argument)
{
	log_answer_t *answer = context;

	if (!lease_sim_executes(answer->holder->instance, deliver_log_answer,
				answer, argument))
		return;
	if (!answer->holder->run->leases.ended)
		handle_log_answer(answer->holder, answer);
	g_free(answer->text);
	g_free(answer);
}

/** `argument`: call, and whether it was a write. */
static void log_answered(void *context, uint64_t argument,
			 const sim_answer_t *answer)
{
	holder_t *holder = context;
	log_answer_t *copy = g_new0(log_answer_t, 1);

	copy->holder = holder;
	copy->call = argument >> 1;
	copy->writes = argument & 1;
	copy->result = answer->result;
	copy->era = answer->era;
	copy->version = answer->version;
	copy->text = g_strndup(answer->value, answer->size);
	deliver_log_answer(copy, 0);
}

static void write_log(holder_t *holder)
{
	CLEANUP_JSON json_t *value = rollout_log_to_json(&holder->log.written);
	CLEANUP_FREE char *text = json_dumps(value, JSON_COMPACT);

	sim_write(&holder->run->leases.sim, log_key, holder->log.revision, text,
		  strlen(text), log_answered, holder,
		  holder->log_call << 1 | 1);
}

static void step_log(holder_t *holder)
{
	run_t *run = holder->run;
	rollout_log_action_t action =
		rollout_log_step(&holder->log, run->leases.sim.now_ms);

	if (action == ROLLOUT_LOG_NONE)
		return;
	g_assert_cmpuint(holder->log_call, ==, 0);
	holder->log_call = ++run->calls;
	if (action == ROLLOUT_LOG_WRITE)
		write_log(holder);
	else
		sim_read(&run->leases.sim, log_key, log_answered, holder,
			 holder->log_call << 1);
}

/* Holders. */

static rollout_hold_t hold_of(holder_t *holder, uint64_t engine)
{
	uint64_t now_ms = holder->run->leases.sim.now_ms;
	rollout_hold_t hold;

	if (holder->run->ignores_log)
		return ROLLOUT_HOLD_NONE;
	hold = rollout_log_hold(&holder->log, engine + 1, now_ms);
	/* An engine is not held for longer, once the log has been read. */
	if (holder->log.loaded && now_ms >= holder->acquired_ms + TRANSIT_MS)
		g_assert_cmpint(hold, ==, ROLLOUT_HOLD_NONE);
	return hold;
}

static void step_target(holder_t *holder, uint64_t engine)
{
	run_t *run = holder->run;
	target_t *target = &holder->targets[engine];
	rollout_hold_t hold = hold_of(holder, engine);

	if (target->call || target->unlogged || hold == ROLLOUT_HOLD_ALL ||
	    run->leases.sim.now_ms < target->not_before_ms)
		return;
	run->figures.polls_held += hold == ROLLOUT_HOLD_REPORTS;
	if (hold == ROLLOUT_HOLD_REPORTS || !target->known) {
		poll(holder, engine);
	} else if (run->ignores_log) {
		send_order(holder, engine);
	} else {
		g_assert_cmpint(rollout_log_add(&holder->log, engine + 1,
						target->accepted,
						target->counted_ms),
				==, 0);
		target->unlogged = true;
	}
}

static void tick(void *context, uint64_t remaining)
{
	holder_t *holder = context;
	lease_sim_instance_t *instance = holder->instance;
	sim_t *sim = &holder->run->leases.sim;

	if (sim->now_ms >= instance->paused_until_ms &&
	    lease_fencing(&instance->lease, sim->now_ms)) {
		for (uint64_t i = 0; i < ENGINES; i++)
			step_target(holder, i);
		step_log(holder);
	}
	if (remaining)
		sim_schedule(sim, TICK_MS, tick, holder, remaining - 1);
}

static void on_added(void *context, lease_sim_instance_t *instance)
{
	run_t *run = context;
	holder_t *holder = &run->holders[instance->index];

	holder->run = run;
	holder->instance = instance;
	sim_schedule(&run->leases.sim, 200, tick, holder, RUN_MS / TICK_MS);
}

static void end_calls(holder_t *holder)
{
	holder->log_call = 0;
	memset(holder->targets, 0, sizeof(holder->targets));
}

static void on_started(void *context, lease_sim_instance_t *instance)
{
	run_t *run = context;
	holder_t *holder = &run->holders[instance->index];

	end_calls(holder);
	rollout_log_free(&holder->log);
}

static void on_acquired(void *context, lease_sim_instance_t *instance)
{
	run_t *run = context;
	holder_t *holder = &run->holders[instance->index];
	uint64_t now_ms = run->leases.sim.now_ms;
	rollout_term_t term = {
		.fencing = lease_fencing(&instance->lease, now_ms),
		.era = instance->lease.era,
		.transit_ms = TRANSIT_MS,
		.observed_ms = now_ms - instance->lease.observed_at_ms,
	};

	delay_flights(run, instance->lease.observed_at_ms);
	end_calls(holder);
	holder->acquired_ms = now_ms;
	if (run->ignores_log)
		return;
	rollout_log_begin(&holder->log, &term, now_ms);
	step_log(holder);
}

static void on_lost(void *context, lease_sim_instance_t *instance)
{
	run_t *run = context;
	holder_t *holder = &run->holders[instance->index];

	end_calls(holder);
	rollout_log_end(&holder->log);
}

static void run_schedule(uint64_t seed, const lease_sim_user_t *kind,
			 bool ignores_log, figures_t *totals)
{
	run_t *run = g_new0(run_t, 1);
	lease_sim_user_t user = *kind;

	user.context = run;
	run->ignores_log = ignores_log;
	lease_sim_run(&run->leases, seed, &user);
	totals->sent += run->figures.sent;
	totals->sent_early += run->figures.sent_early;
	totals->arrived += run->figures.arrived;
	totals->arrived_late += run->figures.arrived_late;
	totals->polls_held += run->figures.polls_held;
	totals->violations += run->figures.violations;
	totals->violated += run->figures.violations > 0;
	for (int n = 0; n < LEASE_SIM_INSTANCES; n++)
		rollout_log_free(&run->holders[n].log);
	g_free(run);
}

/** Returns the number of schedules. */
static uint64_t run_schedules(bool has_restores, bool ignores_log,
			      figures_t *totals)
{
	lease_sim_user_t kind = { .added = on_added,
				  .started = on_started,
				  .acquired = on_acquired,
				  .lost = on_lost,
				  .has_restores = has_restores };
	uint64_t first;
	uint64_t last;

	memset(totals, 0, sizeof(*totals));
	sim_seed_range(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		kind.ids_are_unique = seed % 2;
		run_schedule(seed, &kind, ignores_log, totals);
	}
	g_print("# orders sent %" G_GUINT64_FORMAT ", within the transit time "
		"of a term %" G_GUINT64_FORMAT ", arrived %" G_GUINT64_FORMAT
		", after the next lease was acquired %" G_GUINT64_FORMAT
		", polls while on hold %" G_GUINT64_FORMAT
		", lower numbers %" G_GUINT64_FORMAT " in %" G_GUINT64_FORMAT
		" schedules\n",
		totals->sent, totals->sent_early, totals->arrived,
		totals->arrived_late, totals->polls_held, totals->violations,
		totals->violated);
	return last - first + 1;
}

static void check_figures(const figures_t *totals, uint64_t schedules)
{
	/* Without orders, also late ones, the run proves nothing. */
	g_assert_cmpuint(totals->sent, >, 10 * schedules);
	g_assert_cmpuint(totals->sent_early, >, 5 * schedules);
	g_assert_cmpuint(totals->arrived_late, >, schedules);
	g_assert_cmpuint(totals->polls_held, >, schedules);
}

/* Guards against an order that arrives after those of the next holder. */
static void test_schedules(void)
{
	figures_t totals;
	uint64_t schedules = run_schedules(false, false, &totals);

	check_figures(&totals, schedules);
}

/* Guards against the same after the store was restored from an older copy. */
static void test_restored_schedules(void)
{
	figures_t totals;
	uint64_t schedules = run_schedules(true, false, &totals);

	check_figures(&totals, schedules);
}

/* Guards against schedules that would not show the absence of the log. */
static void test_schedules_without_log(void)
{
	for (int has_restores = 0; has_restores < 2; has_restores++) {
		figures_t totals;
		uint64_t schedules = run_schedules(has_restores, true, &totals);

		if (schedules > 1)
			g_assert_cmpuint(totals.violated, >, schedules / 2);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout-log/cases", test_cases);
	g_test_add_func("/rollout-log/revision", test_revision);
	g_test_add_func("/rollout-log/round-trip", test_round_trip);
	g_test_add_func("/rollout-log/bad-objects", test_bad_objects);
	g_test_add_func("/rollout-log/schedules", test_schedules);
	g_test_add_func("/rollout-log/restored-schedules",
			test_restored_schedules);
	g_test_add_func("/rollout-log/schedules-without-log",
			test_schedules_without_log);
	return g_test_run();
}
