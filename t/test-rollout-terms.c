/* Log of orders to engines over several terms. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/rollout_log.h"

enum {
	KEY = 7,
	TRANSIT_MS = 3000,
	ERA = 2,
	STEP_MS = 100,
};

/** The object in the store. */
typedef struct stored_log {
	uint64_t revision; /**< 0: there is none. */
	rollout_log_record_t record;
} stored_log_t;

static void begin(rollout_log_t *log, uint64_t fencing, uint64_t observed_ms,
		  uint64_t now_ms)
{
	rollout_term_t term = { .fencing = fencing,
				.era = ERA,
				.transit_ms = TRANSIT_MS,
				.observed_ms = observed_ms };

	rollout_log_begin(log, &term, now_ms);
}

static void store_record(stored_log_t *stored,
			 const rollout_log_record_t *record)
{
	json_t *value = rollout_log_to_json(record);

	rollout_log_record_free(&stored->record);
	g_assert_cmpint(rollout_log_from_json(value, &stored->record), ==, 0);
	stored->revision++;
	json_decref(value);
}

/* Makes the calls that are due. */
static void run_calls(rollout_log_t *log, stored_log_t *stored, uint64_t now_ms)
{
	for (;;) {
		switch (rollout_log_step(log, now_ms)) {
		case ROLLOUT_LOG_NONE:
			return;
		case ROLLOUT_LOG_READ:
			rollout_log_on_read(
				log, stored->revision ? 0 : ERR_NOT_FOUND,
				stored->revision, &stored->record, now_ms);
			break;
		case ROLLOUT_LOG_WRITE:
			store_record(stored, &log->written);
			rollout_log_on_written(log, 0, stored->revision,
					       now_ms);
			break;
		}
	}
}

/* Runs a term up to its end. */
static void run_term(rollout_log_t *log, stored_log_t *stored, uint64_t now_ms,
		     uint64_t end_ms)
{
	for (; now_ms < end_ms; now_ms += STEP_MS)
		run_calls(log, stored, now_ms);
}

static void send_order(rollout_log_t *log, stored_log_t *stored,
		       uint64_t accepted, uint64_t now_ms)
{
	g_assert_cmpint(rollout_log_add(log, KEY, accepted, now_ms), ==, 0);
	run_calls(log, stored, now_ms);
	g_assert_true(rollout_log_is_logged(log, KEY));
	rollout_log_on_sent(log, KEY, now_ms);
}

/* Failure: each of several short-lived holders held an engine for the whole
 * transit time anew, for one order. */
static void test_hold_is_not_renewed(void)
{
	rollout_log_t log = { 0 };
	stored_log_t stored = { 0 };
	uint64_t now_ms = 100000;
	uint64_t sent_ms;

	begin(&log, 10, TRANSIT_MS, now_ms);
	run_calls(&log, &stored, now_ms);
	send_order(&log, &stored, 0, now_ms);
	sent_ms = now_ms;
	for (uint64_t fencing = 11; fencing < 15; fencing++) {
		run_term(&log, &stored, now_ms, now_ms + 2500);
		now_ms += 2500;
		begin(&log, fencing, 1500, now_ms);
		run_calls(&log, &stored, now_ms);
	}
	/* The lease that the order was sent under has ended long ago. */
	g_assert_cmpuint(now_ms - sent_ms, >, 3 * TRANSIT_MS);
	g_assert_cmpint(rollout_log_hold(&log, KEY, now_ms), ==,
			ROLLOUT_HOLD_NONE);
	rollout_log_free(&log);
	rollout_log_record_free(&stored.record);
}

/* Failure: after a restore, each of several short-lived holders held all
 * engines anew. */
static void test_lost_log_is_not_forgotten(void)
{
	rollout_log_t log = { 0 };
	stored_log_t stored = { 0 };
	uint64_t now_ms = 100000;
	uint64_t restored_ms = now_ms;

	for (uint64_t fencing = 10; fencing < 15; fencing++) {
		begin(&log, fencing, 1500, now_ms);
		run_term(&log, &stored, now_ms, now_ms + 1450);
		now_ms += 1450;
	}
	g_assert_cmpuint(now_ms - restored_ms, >, TRANSIT_MS);
	g_assert_cmpint(rollout_log_hold(&log, KEY, now_ms), ==,
			ROLLOUT_HOLD_NONE);
	rollout_log_free(&log);
	rollout_log_record_free(&stored.record);
}

/* Failure: an order whose call was open was forgotten, because a later one to
 * the same engine was not sent. */
static void test_drop_keeps_open_order(void)
{
	rollout_log_t log = { 0 };
	stored_log_t stored = { 0 };
	const uint64_t now_ms = 100000;

	begin(&log, 10, TRANSIT_MS, now_ms);
	run_calls(&log, &stored, now_ms);
	send_order(&log, &stored, 0, now_ms);
	g_assert_cmpint(rollout_log_add(&log, KEY, 0, now_ms), ==, 0);
	run_calls(&log, &stored, now_ms + 300);
	rollout_log_drop(&log, KEY, now_ms + 300);
	run_calls(&log, &stored, now_ms + 310);
	run_calls(&log, &stored, now_ms + 310 + ROLLOUT_LOG_CLEAN_MS);
	g_assert_cmpuint(stored.record.count, ==, 1);
	rollout_log_free(&log);
	rollout_log_record_free(&stored.record);
}

/* Failure: an order that had not arrived counted as settled, because the engine
 * carried out an older one late. */
static void test_late_execution_settles_nothing_else(void)
{
	rollout_log_t log = { 0 };
	stored_log_t stored = { 0 };
	uint64_t now_ms = 100000;

	/* No answer; carried out 5 s later. */
	begin(&log, 10, TRANSIT_MS, now_ms);
	run_calls(&log, &stored, now_ms);
	send_order(&log, &stored, 0, now_ms);
	rollout_log_on_answer(&log, KEY, false, now_ms + 500);
	now_ms += 2000;
	begin(&log, 11, 1500, now_ms);
	run_calls(&log, &stored, now_ms);
	run_term(&log, &stored, now_ms, now_ms + TRANSIT_MS + STEP_MS);
	now_ms += TRANSIT_MS + STEP_MS;
	g_assert_cmpint(rollout_log_hold(&log, KEY, now_ms), ==,
			ROLLOUT_HOLD_NONE);
	/* Is on the way when its sender ends. */
	send_order(&log, &stored, 0, now_ms);
	now_ms += 1500;
	begin(&log, 12, 1500, now_ms);
	run_calls(&log, &stored, now_ms);
	/* The first order has been carried out. */
	rollout_log_on_report(&log, KEY, 1, now_ms + 10);
	g_assert_cmpint(rollout_log_hold(&log, KEY, now_ms + 10), ==,
			ROLLOUT_HOLD_REPORTS);
	rollout_log_free(&log);
	rollout_log_record_free(&stored.record);
}

/* Failure: an instance that had lost the lease to another acted again within
 * the time in which two holders must not take turns. */
static void test_returning_holder(void)
{
	rollout_log_t logs[2] = { { 0 }, { 0 } };
	stored_log_t stored = { 0 };
	const uint64_t now_ms = 100000;

	begin(&logs[0], 10, TRANSIT_MS, now_ms);
	run_calls(&logs[0], &stored, now_ms);
	send_order(&logs[0], &stored, 0, now_ms);
	rollout_log_on_answer(&logs[0], KEY, true, now_ms + 10);
	run_term(&logs[0], &stored, now_ms, now_ms + 100);
	begin(&logs[1], 11, 0, now_ms + 100);
	run_calls(&logs[1], &stored, now_ms + 100);
	rollout_log_on_report(&logs[1], KEY, 1, now_ms + 110);
	send_order(&logs[1], &stored, 1, now_ms + 660);
	begin(&logs[0], 12, 1500, now_ms + 2300);
	run_calls(&logs[0], &stored, now_ms + 2300);
	rollout_log_on_report(&logs[0], KEY, 2, now_ms + 2310);
	g_assert_cmpint(
		rollout_log_hold(&logs[0], KEY, now_ms + TRANSIT_MS - 1), ==,
		ROLLOUT_HOLD_ALL);
	g_assert_cmpint(rollout_log_hold(&logs[0], KEY, now_ms + TRANSIT_MS),
			==, ROLLOUT_HOLD_NONE);
	rollout_log_free(&logs[0]);
	rollout_log_free(&logs[1]);
	rollout_log_record_free(&stored.record);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout-terms/hold-is-not-renewed",
			test_hold_is_not_renewed);
	g_test_add_func("/rollout-terms/lost-log-is-not-forgotten",
			test_lost_log_is_not_forgotten);
	g_test_add_func("/rollout-terms/drop-keeps-open-order",
			test_drop_keeps_open_order);
	g_test_add_func("/rollout-terms/late-execution-settles-nothing-else",
			test_late_execution_settles_nothing_else);
	g_test_add_func("/rollout-terms/returning-holder",
			test_returning_holder);
	return g_test_run();
}
