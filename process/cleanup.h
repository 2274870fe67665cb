/**
 * @file
 * Cleanup attributes: a variable declared with one of these releases what it
 * owns when it goes out of scope.
 */
#ifndef PROCESS_CLEANUP_H
#define PROCESS_CLEANUP_H

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

static inline void cleanup_free_ptr(void *ptr)
{
	free(*(void **)ptr);
}

static inline void cleanup_json(json_t **value)
{
	json_decref(*value);
}

static inline void cleanup_fd(const int *fd)
{
	if (*fd >= 0)
		close(*fd);
}

static inline void cleanup_unlock(pthread_mutex_t **lock)
{
	if (*lock)
		pthread_mutex_unlock(*lock);
}

static inline pthread_mutex_t *lock_mutex(pthread_mutex_t *lock)
{
	pthread_mutex_lock(lock);
	return lock;
}

/** Frees the heap block a pointer variable refers to at scope exit. */
#define CLEANUP_FREE __attribute__((cleanup(cleanup_free_ptr)))
/** Drops the reference held by a `json_t *` variable at scope exit. */
#define CLEANUP_JSON __attribute__((cleanup(cleanup_json)))
/** Closes the file descriptor in an `int` variable at scope exit. */
#define CLEANUP_FD __attribute__((cleanup(cleanup_fd)))
/** Holds a mutex until scope exit. */
#define SCOPED_LOCK(name, mutex)                         \
	__attribute__((cleanup(cleanup_unlock), unused)) \
	pthread_mutex_t *(name) = lock_mutex(mutex)

#endif
