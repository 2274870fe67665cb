#include "connection/cancel.h"

#include <stddef.h>

#include "process/cleanup.h"

void cancel_init(cancel_t *cancel)
{
	pthread_mutex_init(&cancel->lock, NULL);
	cancel->reason = 0;
	cancel->wake = NULL;
	cancel->context = NULL;
}

void cancel_destroy(cancel_t *cancel)
{
	pthread_mutex_destroy(&cancel->lock);
}

void cancel_set(cancel_t *cancel, int reason)
{
	SCOPED_LOCK(lock, &cancel->lock);

	if (!cancel->reason)
		cancel->reason = reason;
	if (cancel->wake)
		cancel->wake(cancel->context);
}

void cancel_clear(cancel_t *cancel, int reason)
{
	SCOPED_LOCK(lock, &cancel->lock);

	if (cancel->reason == reason)
		cancel->reason = 0;
}

int cancel_reason(cancel_t *cancel)
{
	SCOPED_LOCK(lock, &cancel->lock);

	return cancel->reason;
}

void cancel_set_callback(cancel_t *cancel, void (*wake)(void *context),
			 void *context)
{
	SCOPED_LOCK(lock, &cancel->lock);

	cancel->wake = wake;
	cancel->context = context;
}
