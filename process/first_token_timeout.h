/**
 * @file
 * First-token timeout: how long a stream waits for its first chunk before it is
 * retried at another engine. Pure logic: no I/O, clock or locks.
 *
 * When all engines have queues, a retry gives up a place in one queue for the
 * end of another and recomputes the prompt there, which makes every queue
 * longer. So the timeout follows the waits of recent streams. If one engine
 * stops answering while the others go on, the timeout stays short, and streams
 * leave that engine about as early as with a fixed timeout.
 */
#ifndef PROCESS_FIRST_TOKEN_TIMEOUT_H
#define PROCESS_FIRST_TOKEN_TIMEOUT_H

#include <stdint.h>

enum {
	/** A retryable stream is moved to another engine after this time
	 * without a chunk, ms: several times the longest pause that the
	 * deployment's specification allows (400). */
	STREAM_STALL_TIMEOUT_MS = 1500,
};

typedef struct first_token_timeout {
	double mean_wait_ms; /**< Running mean of recent waits. */
} first_token_timeout_t;

/** Records how long a stream waited for its first chunk. */
void first_token_timeout_record(first_token_timeout_t *timeout,
				uint64_t wait_ms);

/**
 * Time limit for a stream's first chunk, ms after the request was sent.
 * @param estimate_ms time to first token estimated by the placement
 */
uint64_t first_token_timeout_ms(const first_token_timeout_t *timeout,
				double estimate_ms);

#endif
