#include "connection/loop.h"

#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct loop {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	struct event_base *base;
	struct event *wake;
	int wake_fd;
	pthread_t thread;
};

/* A call of loop_run(), whose thread waits until it has ended. */
typedef struct sync_call {
	loop_call_t call;
	void (*run)(void *context);
	void *context;
	pthread_mutex_t lock;
	pthread_cond_t ended;
	bool has_ended;
} sync_call_t;

static void run_calls(evutil_socket_t fd, short what, void *context)
{
	loop_t *loop = context;
	struct cds_wfcq_node *node;
	uint64_t count;

	(void)what;
	/* The eventfd is reset before the queue is read, so that a call posted
	 * meanwhile wakes the loop again. */
	if (read(fd, &count, sizeof(count)) < 0)
		return;
	while ((node = cds_wfcq_dequeue_blocking(&loop->head, &loop->tail))) {
		loop_call_t *call = caa_container_of(node, loop_call_t, node);

		call->run(call);
	}
}

static void *loop_main(void *context)
{
	loop_t *loop = context;

	event_base_loop(loop->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static int start_thread(loop_t *loop, size_t stack_bytes)
{
	pthread_attr_t attributes;
	sigset_t all;
	sigset_t before;
	int failed;

	if (pthread_attr_init(&attributes))
		return -1;
	if (stack_bytes)
		pthread_attr_setstacksize(&attributes, stack_bytes);
	/* Signals are blocked: another thread of the process handles them. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	failed = pthread_create(&loop->thread, &attributes, loop_main, loop);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	pthread_attr_destroy(&attributes);
	return failed ? -1 : 0;
}

static void loop_free(loop_t *loop)
{
	if (loop->wake)
		event_free(loop->wake);
	if (loop->base)
		event_base_free(loop->base);
	if (loop->wake_fd >= 0)
		close(loop->wake_fd);
	cds_wfcq_destroy(&loop->head, &loop->tail);
	free(loop);
}

loop_t *loop_start(size_t stack_bytes)
{
	loop_t *loop = calloc(1, sizeof(*loop));

	if (!loop)
		return NULL;
	cds_wfcq_init(&loop->head, &loop->tail);
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	loop->base = event_base_new();
	if (loop->wake_fd >= 0 && loop->base)
		loop->wake = event_new(loop->base, loop->wake_fd,
				       EV_READ | EV_PERSIST, run_calls, loop);
	if (loop->wake && !event_add(loop->wake, NULL) &&
	    !start_thread(loop, stack_bytes))
		return loop;
	loop_free(loop);
	return NULL;
}

struct event_base *loop_base(loop_t *loop)
{
	return loop->base;
}

void loop_post(loop_t *loop, loop_call_t *call)
{
	const uint64_t one = 1;

	cds_wfcq_node_init(&call->node);
	/* Only the first of several calls needs to wake the thread. The write
	 * fails only if the counter is full; the thread wakes up then anyway.
	 */
	if (!cds_wfcq_enqueue(&loop->head, &loop->tail, &call->node) &&
	    write(loop->wake_fd, &one, sizeof(one)) < 0)
		return;
}

static void run_sync_call(loop_call_t *call)
{
	sync_call_t *pending = caa_container_of(call, sync_call_t, call);

	pending->run(pending->context);
	pthread_mutex_lock(&pending->lock);
	pending->has_ended = true;
	pthread_cond_signal(&pending->ended);
	pthread_mutex_unlock(&pending->lock);
}

void loop_run(loop_t *loop, void (*run)(void *context), void *context)
{
	sync_call_t pending = { .call.run = run_sync_call,
				.run = run,
				.context = context };

	pthread_mutex_init(&pending.lock, NULL);
	pthread_cond_init(&pending.ended, NULL);
	loop_post(loop, &pending.call);
	pthread_mutex_lock(&pending.lock);
	while (!pending.has_ended)
		pthread_cond_wait(&pending.ended, &pending.lock);
	pthread_mutex_unlock(&pending.lock);
	pthread_cond_destroy(&pending.ended);
	pthread_mutex_destroy(&pending.lock);
}

static void break_loop(void *context)
{
	event_base_loopbreak(((loop_t *)context)->base);
}

void loop_stop(loop_t *loop)
{
	if (!loop)
		return;
	loop_run(loop, break_loop, loop);
	pthread_join(loop->thread, NULL);
	loop_free(loop);
}
