/**
 * @file
 * Cancellation flag that one thread sets and another one observes.
 */
#ifndef CONNECTION_CANCEL_H
#define CONNECTION_CANCEL_H

#include <pthread.h>

/** One flag may serve several operations in turn. */
typedef struct cancel {
	pthread_mutex_t lock;
	int reason; /**< 0, or the error number of the cancellation. */
	void (*wake)(void *context);
	void *context;
} cancel_t;

void cancel_init(cancel_t *cancel);
void cancel_destroy(cancel_t *cancel);

/**
 * Cancels the current operation and later ones, until cancel_clear(). If a
 * reason is set already, it is kept.
 */
void cancel_set(cancel_t *cancel, int reason);

/** Undoes a cancel_set() with this reason, so that later operations run. */
void cancel_clear(cancel_t *cancel, int reason);

/** Reason given to cancel_set(), or 0. */
int cancel_reason(cancel_t *cancel);

/**
 * Sets the function that cancel_set() calls, on the thread that cancels; NULL
 * for none. When this returns, no call of an earlier `wake` is in progress.
 */
void cancel_set_callback(cancel_t *cancel, void (*wake)(void *context),
			 void *context);

#endif
