/* Crash guard: permissions for isolated runs. */
#include <glib.h>

#include "process/clock.h"
#include "process/crash_guard.h"
#include "process/error.h"

enum {
	BLOCK_MS = 600000,
	SUSPECT = 1,
	/** Enough for a permission that is free. */
	PERMISSION_WAIT_MS = 1000,
};

static int begin(crash_guard_t *guard, uint64_t fingerprint,
		 crash_guard_run_t *run)
{
	uint64_t retry_after_ms;

	return crash_guard_begin(guard, fingerprint,
				 clock_now_ms() + PERMISSION_WAIT_MS, run,
				 &retry_after_ms);
}

/* Failure: a permission that could not be used, as too many attempts ran, kept
 * the request from running until the permission expired. */
static void test_full(void)
{
	g_autofree crash_guard_run_t *runs =
		g_new0(crash_guard_run_t, CRASH_GUARD_RUNS_MAX);
	crash_guard_t *guard;
	crash_guard_run_t run;

	g_assert_cmpint(crash_guard_open(BLOCK_MS, 1, &guard), ==, 0);
	g_assert_cmpint(begin(guard, SUSPECT, &run), ==, 0);
	crash_guard_end(guard, &run, CRASH_GUARD_CRASHED, 100);
	for (uint64_t i = 0; i < CRASH_GUARD_RUNS_MAX; i++)
		g_assert_cmpint(begin(guard, SUSPECT + 1 + i, &runs[i]), ==, 0);
	g_assert_cmpint(begin(guard, SUSPECT, &run), ==, ERR_LIMIT);
	crash_guard_end(guard, &runs[0], CRASH_GUARD_COMPLETED, 0);
	g_assert_cmpint(begin(guard, SUSPECT, &run), ==, 0);
	g_assert_true(run.isolated);
	crash_guard_close(guard);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-guard/full", test_full);
	return g_test_run();
}
