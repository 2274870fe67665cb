/**
 * @file
 * For how long this process has known the open claims of orders that it read:
 * by its monotonic clock, as the times of day of two instances may differ.
 * Thread-safe.
 *
 * Size: 32 bytes for each of CLAIM_WATCH_MAX claims. In a full table the claim
 * that was read last longest ago is replaced, and is known for a shorter time
 * when it is read again.
 */
#ifndef PROCESS_CLAIM_WATCH_H
#define PROCESS_CLAIM_WATCH_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CLAIM_WATCH_MAX = 512,
};

typedef struct claim_watch_entry {
	uint64_t path_hash;
	uint64_t version;
	uint64_t first_read_ms;
	uint64_t last_read_ms;
} claim_watch_entry_t;

typedef struct claim_watch {
	pthread_mutex_t lock;
	claim_watch_entry_t entries[CLAIM_WATCH_MAX];
	size_t count;
} claim_watch_t;

#define CLAIM_WATCH_INIT                          \
	{                                         \
		.lock = PTHREAD_MUTEX_INITIALIZER \
	}

/**
 * Notes that a claim was read.
 * @param now_ms monotonic time
 * @return time since it was first read at this version, ms
 */
uint64_t claim_watch_read(claim_watch_t *watch, const char *path,
			  uint64_t version, uint64_t now_ms);

#endif
