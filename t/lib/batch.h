/**
 * @file
 * Continuous batching of the engine stand-in.
 *
 * One thread works in steps: it admits waiting streams by priority, spends the
 * step's share of prefill tokens, and adds one token to each stream that
 * generates.
 */
#ifndef T_LIB_BATCH_H
#define T_LIB_BATCH_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "t/lib/block_cache.h"

enum {
	/** Exit status of a process that a request or a control crashed. */
	BATCH_EXIT_CRASH = 86,
};

typedef enum stream_state {
	STREAM_QUEUED,
	STREAM_ADMITTED,
	STREAM_PREFILL,
	STREAM_DECODE,
	STREAM_DONE,
	STREAM_CANCELLED,
} stream_state_t;

typedef struct stream {
	char id[32];
	char *attempt;
	stream_state_t state;
	uint32_t priority; /**< 0 is the most urgent. */
	uint64_t prompt_hash;
	uint64_t *keys;
	uint32_t key_count;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	double to_compute; /**< Tokens of prefill still to do. */
	uint32_t resume_from;
	uint32_t answer_tokens;
	bool has_max_tokens;
	uint32_t produced; /**< Tokens of the answer, with resumed ones. */
	uint32_t sent;
	uint32_t close_after; /**< Tokens to send before closing. */
	bool crashes;	      /**< The prompt holds the crash marker. */
	uint64_t arrived_ms;
	uint64_t queue_ms;
	uint64_t detached_ms; /**< When the last connection ended. */
	uint32_t attachment;  /**< Number of the connection that follows. */
	uint32_t users;	      /**< Handlers that refer to the stream. */
	bool attached;
} stream_t;

/** What a load report shows. */
typedef struct batch_load {
	uint64_t at_ms;
	uint64_t seq;
	uint32_t running;
	uint32_t queued;
	uint64_t queued_tokens;
	uint32_t used_blocks;
} batch_load_t;

typedef struct batch_settings {
	uint32_t prefill_tokens_per_s;
	double token_ms;  /**< A step, which is one token of every stream. */
	double stream_ms; /**< Added to a step for each running stream. */
	uint32_t streams_max;
	uint32_t cache_blocks;
	uint32_t block_tokens;
	uint32_t load_lag_ms;
	uint32_t hold_ms;     /**< Time a stream outlives its connection. */
	uint32_t crash_after; /**< Tokens before a marked prompt crashes. */
} batch_settings_t;

/** Every member but the settings is protected by `lock`. */
typedef struct batch {
	batch_settings_t settings;
	pthread_mutex_t lock;
	pthread_cond_t changed; /**< Streams have advanced. */
	pthread_t thread;
	bool stopping;
	GPtrArray *streams; /**< `stream_t *` in order of arrival. */
	uint64_t next_number;
	block_cache_t *cache;
	batch_load_t previous;
	batch_load_t latest;
	uint64_t load_seq;
	uint64_t stalled_until_ms;
	uint32_t running_max;
	json_t *totals;	  /**< Counters by name. */
	json_t *attempts; /**< Runs by attempt id. */
} batch_t;

/** Starts the thread; settings and cache are set. */
void batch_start(batch_t *batch);

/** Ends the thread; handlers that wait on `changed` see `stopping`. */
void batch_stop(batch_t *batch);

/* The caller of the following functions holds the lock. */

/** Queues a stream and gives it its id; takes it over. */
void batch_enqueue(batch_t *batch, stream_t *stream);

/** Stream by id; NULL if it is not held. */
stream_t *batch_find(batch_t *batch, const char *id);

/** Streams that wait or run. */
uint32_t batch_count_open(const batch_t *batch);

/** Whether a stream waits or runs. */
bool stream_is_open(const stream_t *stream);

/** Load as reported: between half of the lag and the whole lag old. */
batch_load_t batch_load(batch_t *batch);

#endif
