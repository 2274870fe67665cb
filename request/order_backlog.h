/**
 * @file
 * Order records that could not be written, retried by one thread, so that no
 * caller's thread waits for the store. A task takes two store calls; at most
 * two tasks a second leave the rest of an instance's 5 calls a second and its
 * burst to new orders.
 *
 * Bounded to ORDER_BACKLOG_MAX tasks; an order keeps about 12 KB and its
 * answer, of which a record holds 16 KiB at most.
 */
#ifndef REQUEST_ORDER_BACKLOG_H
#define REQUEST_ORDER_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

enum { ORDER_BACKLOG_MAX = 512 };

typedef struct order_backlog order_backlog_t;

/**
 * Continues a task.
 * @param last no later call follows; the task must end
 * @param due_ms set to the monotonic time of the next call
 * @return whether the task goes on; otherwise it has released its context
 */
typedef bool order_backlog_fn(void *context, bool last, uint64_t *due_ms);

/** @return NULL if memory or a thread is short */
order_backlog_t *order_backlog_start(order_backlog_fn *run);

/** Takes over a task. @return false if there is no room */
bool order_backlog_add(order_backlog_t *backlog, void *context,
		       uint64_t due_ms);

/** Tries each task once more and ends; NULL is allowed. */
void order_backlog_stop(order_backlog_t *backlog);

#endif
