/**
 * @file
 * Continuous batching scheduler of the engine stand-in.
 *
 * One thread runs in steps. Each step admits queued streams by priority,
 * computes prefill tokens up to the step's budget, and generates one token for
 * each stream in the decode phase.
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
	/** Exit status after a crash caused by a prompt or a control call. */
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
	double prefill_left_tokens;
	uint32_t resume_from;
	uint32_t answer_tokens;
	bool has_max_tokens;
	/** Tokens of the answer that exist, including resumed ones. */
	uint32_t produced;
	uint32_t sent;	      /**< Tokens of the answer that were sent. */
	uint32_t close_after; /**< Sent tokens that end the connection. */
	bool crashes;	      /**< The prompt contains the crash marker. */
	uint64_t arrived_ms;
	uint64_t queue_ms;
	uint64_t detached_ms; /**< When the latest connection ended. */
	/** Number of the latest connection; older ones are closed. */
	uint32_t connection_number;
	uint32_t handler_count; /**< Handlers that use the stream. */
	bool attached;		/**< The latest connection is open. */
} stream_t;

/** Contents of a load report. */
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
	double token_ms;  /**< Base duration of a step. */
	double stream_ms; /**< Added to a step for each running stream. */
	uint32_t streams_max;
	uint32_t cache_blocks;
	uint32_t block_tokens;
	uint32_t load_lag_ms; /**< Maximum age of a load report. */
	uint32_t hold_ms; /**< Time a stream is kept without a connection. */
	/** Tokens generated before a marked prompt crashes the engine. */
	uint32_t crash_after;
} batch_settings_t;

/** All members except the settings are protected by `lock`. */
typedef struct batch {
	batch_settings_t settings;
	pthread_mutex_t lock;
	pthread_cond_t changed; /**< Signalled when a stream has changed. */
	pthread_t thread;
	bool stopping;
	GPtrArray *streams; /**< `stream_t *` in order of arrival. */
	uint64_t last_stream_number;
	block_cache_t *cache;
	batch_load_t previous; /**< Snapshot before `latest`. */
	batch_load_t latest;   /**< Latest snapshot. */
	uint64_t load_seq;
	uint64_t stalled_until_ms;
	uint32_t running_max;
	json_t *totals;	  /**< Counters by name. */
	json_t *attempts; /**< Number of admitted streams by attempt id. */
} batch_t;

/** Starts the thread; the settings and the cache must be set. */
void batch_start(batch_t *batch);

/** Stops the thread and wakes handlers that wait on `changed`. */
void batch_stop(batch_t *batch);

/* The following functions must be called with the lock held. */

/** Assigns an id to a stream and queues it; takes ownership. */
void batch_enqueue(batch_t *batch, stream_t *stream);

/** Returns a stream by id; NULL if it is unknown or has expired. */
stream_t *batch_find(batch_t *batch, const char *id);

/** Number of streams that are queued or running. */
uint32_t batch_count_open(const batch_t *batch);

/** Whether a stream is queued or running. */
bool stream_is_open(const stream_t *stream);

/**
 * Returns the load as reported: current if `load_lag_ms` is 0, otherwise
 * between half of it and all of it old.
 */
batch_load_t batch_load(batch_t *batch);

#endif
