#include "request/order_backlog.h"

#include <pthread.h>
#include <stddef.h>
#include <stdlib.h>
#include <time.h>

#include "connection/upstream.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/metrics.h"

enum {
	/** Pause after each task, which reads and writes a record. */
	TASK_INTERVAL_MS = 500,
};

typedef struct task {
	void *context;
	uint64_t due_ms;
} task_t;

struct order_backlog {
	order_backlog_fn *run;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool stopping;
	size_t count;
	task_t tasks[ORDER_BACKLOG_MAX];
};

/** Task that is due first. The lock is held and there is a task. */
static task_t *earliest_task(order_backlog_t *backlog)
{
	task_t *first = &backlog->tasks[0];

	for (size_t i = 1; i < backlog->count; i++) {
		if (backlog->tasks[i].due_ms < first->due_ms)
			first = &backlog->tasks[i];
	}
	return first;
}

/**
 * Waits for a task that is due. The task stays in the table while it runs, so
 * that ORDER_BACKLOG_MAX includes it.
 * @param last set if the backlog is stopping
 * @return its context, or NULL when the backlog stops and no task is left
 */
static void *wait_for_task(order_backlog_t *backlog, bool *last)
{
	SCOPED_LOCK(lock, &backlog->lock);

	for (;;) {
		task_t *task = backlog->count ? earliest_task(backlog) : NULL;

		*last = backlog->stopping;
		if (task && (*last || task->due_ms <= clock_now_ms()))
			return task->context;
		if (*last)
			return NULL;
		if (task)
			clock_cond_wait_until(&backlog->changed, &backlog->lock,
					      task->due_ms);
		else
			pthread_cond_wait(&backlog->changed, &backlog->lock);
	}
}

/** Sets the time of a task's next run, or removes a task that has ended. */
static void finish_run(order_backlog_t *backlog, const void *context,
		       bool is_pending, uint64_t due_ms)
{
	task_t *task = backlog->tasks;
	SCOPED_LOCK(lock, &backlog->lock);

	while (task->context != context)
		task++;
	task->due_ms = due_ms;
	if (is_pending)
		return;
	*task = backlog->tasks[--backlog->count];
	metrics_add(METRIC_ORDER_BACKLOG, -1);
}

/**
 * Pauses so that the limit on store calls leaves enough of them for new orders.
 * A stop ends the pause.
 */
static void pause_between_tasks(order_backlog_t *backlog)
{
	uint64_t deadline_ms = clock_now_ms() + TASK_INTERVAL_MS;
	SCOPED_LOCK(lock, &backlog->lock);

	while (!backlog->stopping && clock_now_ms() < deadline_ms)
		clock_cond_wait_until(&backlog->changed, &backlog->lock,
				      deadline_ms);
}

static void *run_tasks(void *argument)
{
	order_backlog_t *backlog = argument;
	bool last = false;
	void *context;

	while ((context = wait_for_task(backlog, &last))) {
		uint64_t due_ms = 0;
		bool is_pending = backlog->run(context, last, &due_ms);

		finish_run(backlog, context, is_pending, due_ms);
		pause_between_tasks(backlog);
	}
	return NULL;
}

order_backlog_t *order_backlog_start(order_backlog_fn *run)
{
	order_backlog_t *backlog = calloc(1, sizeof(*backlog));

	if (!backlog)
		return NULL;
	backlog->run = run;
	pthread_mutex_init(&backlog->lock, NULL);
	clock_cond_init(&backlog->changed);
	if (!pthread_create(&backlog->thread, NULL, run_tasks, backlog))
		return backlog;
	pthread_cond_destroy(&backlog->changed);
	pthread_mutex_destroy(&backlog->lock);
	free(backlog);
	return NULL;
}

bool order_backlog_add(order_backlog_t *backlog, void *context, uint64_t due_ms)
{
	SCOPED_LOCK(lock, &backlog->lock);

	if (backlog->stopping || backlog->count == ORDER_BACKLOG_MAX)
		return false;
	backlog->tasks[backlog->count++] =
		(task_t){ .context = context, .due_ms = due_ms };
	metrics_add(METRIC_ORDER_BACKLOG, 1);
	pthread_cond_signal(&backlog->changed);
	return true;
}

void order_backlog_stop(order_backlog_t *backlog)
{
	if (!backlog)
		return;
	pthread_mutex_lock(&backlog->lock);
	backlog->stopping = true;
	pthread_cond_signal(&backlog->changed);
	pthread_mutex_unlock(&backlog->lock);
	pthread_join(backlog->thread, NULL);
	pthread_cond_destroy(&backlog->changed);
	pthread_mutex_destroy(&backlog->lock);
	free(backlog);
}
