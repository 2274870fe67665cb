#include "t/lib/batch.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/http_server.h"

enum {
	/** Interval of checks for expired streams and stalls when idle. */
	IDLE_WAIT_MS = 20,
};

static bool is_running(const stream_t *stream)
{
	return stream->state == STREAM_ADMITTED ||
	       stream->state == STREAM_PREFILL ||
	       stream->state == STREAM_DECODE;
}

bool stream_is_open(const stream_t *stream)
{
	return stream->state < STREAM_DONE;
}

static uint32_t count_running(const batch_t *batch)
{
	uint32_t count = 0;

	for (guint i = 0; i < batch->streams->len; i++)
		count += is_running(g_ptr_array_index(batch->streams, i));
	return count;
}

uint32_t batch_count_open(const batch_t *batch)
{
	uint32_t count = 0;

	for (guint i = 0; i < batch->streams->len; i++)
		count += stream_is_open(g_ptr_array_index(batch->streams, i));
	return count;
}

/** Most urgent stream in either state; the earliest one if several are. */
static stream_t *most_urgent_in_state(const batch_t *batch,
				      stream_state_t state,
				      stream_state_t other)
{
	stream_t *best = NULL;

	for (guint i = 0; i < batch->streams->len; i++) {
		stream_t *stream = g_ptr_array_index(batch->streams, i);

		if (stream->state != state && stream->state != other)
			continue;
		if (!best || stream->priority < best->priority)
			best = stream;
	}
	return best;
}

static void free_stream(void *data)
{
	stream_t *stream = data;

	g_free(stream->attempt);
	g_free(stream->keys);
	g_free(stream);
}

static void expire_streams(batch_t *batch, uint64_t now_ms)
{
	for (guint i = batch->streams->len; i > 0; i--) {
		stream_t *stream = g_ptr_array_index(batch->streams, i - 1);

		if (stream->attached ||
		    now_ms < stream->detached_ms + batch->settings.hold_ms)
			continue;
		if (stream_is_open(stream)) {
			stream->state = STREAM_CANCELLED;
			json_counter_add(batch->totals, "expired", 1);
		}
		/* Removal keeps the order of arrival. */
		if (!stream->handler_count)
			g_ptr_array_remove_index(batch->streams, i - 1);
	}
}

stream_t *batch_find(batch_t *batch, const char *id)
{
	for (guint i = 0; i < batch->streams->len; i++) {
		stream_t *stream = g_ptr_array_index(batch->streams, i);

		if (!strcmp(stream->id, id))
			return stream;
	}
	return NULL;
}

/** Prompt tokens that a queued stream would have to prefill now. */
static uint32_t uncached_tokens(const batch_t *batch, const stream_t *stream)
{
	uint32_t cached = 0;

	while (cached < stream->key_count &&
	       block_cache_has(batch->cache, stream->keys[cached]))
		cached++;
	cached *= batch->settings.block_tokens;
	return stream->prompt_tokens > cached ? stream->prompt_tokens - cached
					      : 0;
}

static void take_snapshot(batch_t *batch, batch_load_t *snapshot)
{
	*snapshot = (batch_load_t){
		.at_ms = clock_now_ms(),
		.seq = ++batch->load_seq,
		.running = count_running(batch),
		.used_blocks = block_cache_used(batch->cache),
	};
	for (guint i = 0; i < batch->streams->len; i++) {
		stream_t *stream = g_ptr_array_index(batch->streams, i);

		snapshot->queued += stream->state == STREAM_QUEUED;
		if (stream->state < STREAM_PREFILL)
			snapshot->queued_tokens +=
				uncached_tokens(batch, stream);
		else if (stream->state == STREAM_PREFILL)
			snapshot->queued_tokens +=
				(uint64_t)stream->prefill_left_tokens;
	}
}

/**
 * Takes a snapshot each half lag. Reports show the previous one, which is
 * therefore at least half the lag old.
 */
static void refresh_snapshots(batch_t *batch, uint64_t now_ms)
{
	if (now_ms < batch->latest.at_ms + batch->settings.load_lag_ms / 2)
		return;
	batch->previous = batch->latest;
	take_snapshot(batch, &batch->latest);
}

static void admit(batch_t *batch, uint64_t now_ms)
{
	uint32_t running = count_running(batch);
	stream_t *stream;

	while (running < batch->settings.streams_max &&
	       (stream = most_urgent_in_state(batch, STREAM_QUEUED,
					      STREAM_QUEUED))) {
		stream->state = STREAM_ADMITTED;
		stream->queue_ms = now_ms - stream->arrived_ms;
		json_counter_add(batch->totals, "requests_run", 1);
		json_counter_add(batch->attempts, stream->attempt, 1);
		running++;
	}
	batch->running_max = MAX(batch->running_max, running);
}

/**
 * Starts the prefill of an admitted stream. The cache lookup is done only now,
 * so that blocks computed for other streams in the meantime are reused.
 */
static void start_prefill(batch_t *batch, stream_t *stream, uint64_t now_ms)
{
	uint32_t cached_blocks = block_cache_match(batch->cache, stream->keys,
						   stream->key_count);

	stream->state = STREAM_PREFILL;
	stream->queue_ms = now_ms - stream->arrived_ms;
	stream->cached_tokens =
		MIN(cached_blocks * batch->settings.block_tokens,
		    stream->prompt_tokens);
	/* Tokens that another engine generated are part of the context. */
	stream->prefill_left_tokens = stream->prompt_tokens -
				      stream->cached_tokens +
				      stream->resume_from;
	json_counter_add(batch->totals, "prompt_tokens", stream->prompt_tokens);
	json_counter_add(batch->totals, "cached_tokens", stream->cached_tokens);
	json_counter_add(batch->totals, "computed_tokens",
			 (int64_t)stream->prefill_left_tokens);
}

static void finish_prefill(batch_t *batch, stream_t *stream)
{
	for (uint32_t i = 0; i < stream->key_count; i++)
		block_cache_add(batch->cache, stream->keys[i]);
	stream->state = STREAM_DECODE;
}

static void prefill(batch_t *batch, double budget_tokens, uint64_t now_ms)
{
	stream_t *stream;

	while ((stream = most_urgent_in_state(batch, STREAM_ADMITTED,
					      STREAM_PREFILL))) {
		double tokens;

		if (stream->state == STREAM_ADMITTED)
			start_prefill(batch, stream, now_ms);
		tokens = MIN(budget_tokens, stream->prefill_left_tokens);
		stream->prefill_left_tokens -= tokens;
		budget_tokens -= tokens;
		if (stream->prefill_left_tokens > 0)
			return;
		finish_prefill(batch, stream);
	}
}

/**
 * Whether a stream has reached the token at which it crashes. Exits once all
 * tokens before that one were sent to the client.
 */
static bool reached_crash_point(const batch_t *batch, const stream_t *stream)
{
	if (!stream->crashes ||
	    stream->produced <
		    stream->resume_from + batch->settings.crash_after)
		return false;
	if (stream->sent >= stream->produced || !stream->attached)
		_exit(BATCH_EXIT_CRASH);
	return true;
}

static void decode(batch_t *batch)
{
	for (guint i = 0; i < batch->streams->len; i++) {
		stream_t *stream = g_ptr_array_index(batch->streams, i);

		if (stream->state != STREAM_DECODE ||
		    reached_crash_point(batch, stream))
			continue;
		if (stream->produced < stream->answer_tokens) {
			stream->produced++;
			json_counter_add(batch->totals, "generated_tokens", 1);
		}
		if (stream->produced >= stream->answer_tokens)
			stream->state = STREAM_DONE;
	}
}

static void run_step(batch_t *batch)
{
	double step_ms = batch->settings.token_ms +
			 batch->settings.stream_ms * count_running(batch);
	uint64_t now_ms;

	pthread_mutex_unlock(&batch->lock);
	clock_sleep_us((uint64_t)(step_ms * 1000));
	pthread_mutex_lock(&batch->lock);
	now_ms = clock_now_ms();
	if (now_ms < batch->stalled_until_ms)
		return;
	admit(batch, now_ms);
	prefill(batch, batch->settings.prefill_tokens_per_s * step_ms / 1000,
		now_ms);
	decode(batch);
	pthread_cond_broadcast(&batch->changed);
}

static void *run_scheduler(void *data)
{
	batch_t *batch = data;
	SCOPED_LOCK(held, &batch->lock);

	while (!batch->stopping) {
		uint64_t now_ms = clock_now_ms();

		expire_streams(batch, now_ms);
		refresh_snapshots(batch, now_ms);
		if (batch_count_open(batch) > 0 &&
		    now_ms >= batch->stalled_until_ms)
			run_step(batch);
		else
			clock_cond_wait(&batch->changed, &batch->lock,
					IDLE_WAIT_MS);
	}
	return NULL;
}

void batch_start(batch_t *batch)
{
	pthread_mutex_init(&batch->lock, NULL);
	clock_cond_init(&batch->changed);
	batch->streams = g_ptr_array_new_with_free_func(free_stream);
	batch->totals = json_object();
	batch->attempts = json_object();
	take_snapshot(batch, &batch->latest);
	batch->previous = batch->latest;
	if (pthread_create(&batch->thread, NULL, run_scheduler, batch) != 0)
		g_error("cannot start the scheduler thread");
}

void batch_stop(batch_t *batch)
{
	pthread_mutex_lock(&batch->lock);
	batch->stopping = true;
	pthread_cond_broadcast(&batch->changed);
	pthread_mutex_unlock(&batch->lock);
	pthread_join(batch->thread, NULL);
}

void batch_enqueue(batch_t *batch, stream_t *stream)
{
	snprintf(stream->id, sizeof(stream->id), "s%llu",
		 (unsigned long long)++batch->last_stream_number);
	stream->arrived_ms = clock_now_ms();
	g_ptr_array_add(batch->streams, stream);
	pthread_cond_broadcast(&batch->changed);
}

batch_load_t batch_load(batch_t *batch)
{
	batch_load_t now;

	if (batch->settings.load_lag_ms)
		return batch->previous;
	take_snapshot(batch, &now);
	return now;
}
