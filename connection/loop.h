/**
 * @file
 * An event loop on its own thread, and function calls that other threads post
 * to it.
 */
#ifndef CONNECTION_LOOP_H
#define CONNECTION_LOOP_H

#include <event2/event.h>
#include <stddef.h>
#include <urcu/wfcqueue.h>

typedef struct loop loop_t;

/** A call posted to the loop; embedded in the structure that it works on. */
typedef struct loop_call {
	struct cds_wfcq_node node;
	void (*run)(struct loop_call *call);
} loop_call_t;

/**
 * Starts the thread.
 * @param stack_bytes stack size of the thread; 0 for the system's default
 * @return NULL if memory, a file descriptor or a thread is not available
 */
loop_t *loop_start(size_t stack_bytes);

/**
 * Event base of the loop. Events may be added to it on the loop's thread, or
 * before anything runs on it.
 */
struct event_base *loop_base(loop_t *loop);

/**
 * Queues `call->run` to run once on the loop's thread. Calls posted by one
 * thread run in the order in which they were posted. `call` must stay valid
 * until it runs. Never blocks.
 */
void loop_post(loop_t *loop, loop_call_t *call);

/** Runs `run(context)` on the loop's thread and waits until it returns. */
void loop_run(loop_t *loop, void (*run)(void *context), void *context);

/** Runs the calls posted so far, ends the thread and frees the loop. */
void loop_stop(loop_t *loop);

#endif
