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
	/** Between two tasks, each of which reads and writes a record. */
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

/** Task that is due first; the lock is held and there is one. */
static task_t *first_task(order_backlog_t *backlog)
{
	task_t *first = &backlog->tasks[0];

	for (size_t i = 1; i < backlog->count; i++) {
		if (backlog->tasks[i].due_ms < first->due_ms)
			first = &backlog->tasks[i];
	}
	return first;
}

/**
 * Waits for a task that is due. It keeps its place meanwhile, so that the
 * bound counts the task in progress too.
 * @return its context, or NULL when all are done and the backlog stops
 */
static void *await_task(order_backlog_t *backlog, bool *last)
{
	SCOPED_LOCK(lock, &backlog->lock);

	for (;;) {
		task_t *task = backlog->count ? first_task(backlog) : NULL;

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

static void put_back(order_backlog_t *backlog, const void *context,
		     bool goes_on, uint64_t due_ms)
{
	task_t *task = backlog->tasks;
	SCOPED_LOCK(lock, &backlog->lock);

	while (task->context != context)
		task++;
	task->due_ms = due_ms;
	if (goes_on)
		return;
	*task = backlog->tasks[--backlog->count];
	metrics_add(METRIC_ORDER_BACKLOG, -1);
}

/** Leaves store calls to new orders; a stop ends the pause. */
static void pause_between(order_backlog_t *backlog)
{
	uint64_t until_ms = clock_now_ms() + TASK_INTERVAL_MS;
	SCOPED_LOCK(lock, &backlog->lock);

	while (!backlog->stopping && clock_now_ms() < until_ms)
		clock_cond_wait_until(&backlog->changed, &backlog->lock,
				      until_ms);
}

static void *run_tasks(void *argument)
{
	order_backlog_t *backlog = argument;
	bool last = false;
	void *context;

	while ((context = await_task(backlog, &last))) {
		uint64_t due_ms = 0;
		bool goes_on = backlog->run(context, last, &due_ms);

		put_back(backlog, context, goes_on, due_ms);
		pause_between(backlog);
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
