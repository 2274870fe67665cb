/**
 * @file
 * Background thread that retries writes of order records, so that no server
 * thread waits for the store. A task takes two store calls and at most two
 * tasks run per second, which leaves the rest of the instance's limit of 5
 * store calls per second, and its burst, to new orders.
 *
 * There are at most ORDER_BACKLOG_MAX tasks. Each holds an order of about 12 KB
 * and its answer, of which a record stores at most 16 KiB.
 */
#ifndef REQUEST_ORDER_BACKLOG_H
#define REQUEST_ORDER_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

enum { ORDER_BACKLOG_MAX = 512 };

typedef struct order_backlog order_backlog_t;

/**
 * Runs a task once.
 * @param last this is the last call; the task must end
 * @param due_ms set to the monotonic time of the next call
 * @return whether the task must run again; if not, `context` is freed
 */
typedef bool order_backlog_fn(void *context, bool last, uint64_t *due_ms);

/** @return NULL if memory or a thread cannot be allocated */
order_backlog_t *order_backlog_start(order_backlog_fn *run);

/**
 * Adds a task.
 * @param due_ms monotonic time of its first run
 * @return false if the backlog is full or stopping
 */
bool order_backlog_add(order_backlog_t *backlog, void *context,
		       uint64_t due_ms);

/** Runs each task a last time and stops the thread; NULL is allowed. */
void order_backlog_stop(order_backlog_t *backlog);

#endif
