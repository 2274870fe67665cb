/**
 * @file
 * A request to end something, made by one thread and heeded by another.
 */
#ifndef CONNECTION_CANCEL_H
#define CONNECTION_CANCEL_H

#include <pthread.h>

/** One may end many things in turn. */
typedef struct cancel {
	pthread_mutex_t lock;
	int reason; /**< 0, or the error number to end with. */
	void (*wake)(void *context);
	void *context;
} cancel_t;

void cancel_init(cancel_t *cancel);
void cancel_destroy(cancel_t *cancel);

/** Ends what runs and what follows. The first reason stays. */
void cancel_set(cancel_t *cancel, int reason);

/** Takes back a cancel with this reason, so that what follows runs. */
void cancel_clear(cancel_t *cancel, int reason);

/** Reason given to cancel_set(), or 0. */
int cancel_reason(cancel_t *cancel);

/**
 * Has `wake` called by whoever cancels from now on; NULL ends that. After the
 * return no call of an earlier `wake` is in progress.
 */
void cancel_set_callback(cancel_t *cancel, void (*wake)(void *context),
			 void *context);

#endif
