/*
 * Stand-in for a model engine (section 6 of docs/design.md). Streams are
 * scheduled by t/lib/batch.c; handlers only send their output, so a stream
 * continues for a while when its connection is lost.
 */
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/hash.h"
#include "t/lib/batch.h"
#include "t/lib/block_cache.h"
#include "process/clock.h"
#include "t/lib/generate.h"
#include "t/lib/http_client.h"
#include "t/lib/http_server.h"

enum {
	/** Interval of SSE comments, which reveal lost connections. */
	COMMENT_PERIOD_MS = 100,
	PRIORITY_LOWEST = 9,
	PRIORITY_DEFAULT = 5,
	/** Threads reserved for requests other than streams. */
	RESERVED_THREADS = 16,
	TEXT_MAX_BYTES = 128,
	HEADERS_MAX_BYTES = 512,
};

#define NOT_RUN "X-Not-Run: 1\r\n"

static struct {
	uint32_t event_delay_ms;
	uint32_t event_loss_permille;
	uint32_t load_ms;
	uint32_t drain_ms;
	bool check_fencing;
	const char *weights_url;
	const char *kv_url;
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	const char *crash_marker;
} settings;

static batch_t batch;

/** Protected by `batch.lock`. */
static struct {
	uint64_t incarnation;
	char model[TEXT_MAX_BYTES];
	char version[TEXT_MAX_BYTES];
	char adapter[TEXT_MAX_BYTES];
	char role[TEXT_MAX_BYTES];
	uint64_t fencing; /**< Fencing number of the latest accepted order. */
	char last_order_id[TEXT_MAX_BYTES];
	bool loading;
	uint64_t leaving;
	uint64_t wrong_attempts; /**< Answers left with wrong X-Attempt. */
	uint64_t close_streams;	 /**< Remaining streams to close early. */
	uint64_t close_after;	 /**< Tokens sent before they are closed. */
} engine;

static http_server_t server;

/* Sending of streams as SSE. */

/** Position of a connection in a stream. */
typedef struct cursor {
	stream_t *stream;
	uint32_t connection_number;
	uint32_t next; /**< Index of the next token to send. */
	bool prefill_sent;
	bool ended;
} cursor_t;

static void append_json(GString *out, json_t *value)
{
	CLEANUP_JSON json_t *owned = value;
	CLEANUP_FREE char *text = json_dumps(owned, JSON_COMPACT);

	g_string_append_printf(out, "data: %s\n\n", text);
}

static void append_prefill(GString *out, const stream_t *stream)
{
	append_json(out, json_pack("{s:s,s:i,s:i,s:I}", "amv", "prefill",
				   "cached_tokens", stream->cached_tokens,
				   "prompt_tokens", stream->prompt_tokens,
				   "queue_ms", (json_int_t)stream->queue_ms));
}

static void append_token(GString *out, const stream_t *stream, uint32_t index)
{
	char token[GENERATE_TOKEN_BYTES + 1];

	generate_token(stream->prompt_hash, index, token);
	g_string_append_printf(out, "id: %u\n", index);
	append_json(out, json_pack("{s:[{s:i,s:{s:s}}]}", "choices", "index", 0,
				   "delta", "content", token));
}

static void append_end(GString *out, const stream_t *stream)
{
	const char *reason = stream->has_max_tokens ? "length" : "stop";

	append_json(out,
		    json_pack("{s:[{s:i,s:{},s:s}],s:{s:i,s:i,s:{s:i}}}",
			      "choices", "index", 0, "delta", "finish_reason",
			      reason, "usage", "prompt_tokens",
			      stream->prompt_tokens, "completion_tokens",
			      stream->answer_tokens, "prompt_tokens_details",
			      "cached_tokens", stream->cached_tokens));
	g_string_append(out, "data: [DONE]\n\n");
}

/** Appends events that are not yet sent; the lock must be held. */
static void append_new_events(cursor_t *cursor, GString *out)
{
	const stream_t *stream = cursor->stream;

	if (stream->state < STREAM_PREFILL)
		return;
	if (!cursor->prefill_sent)
		append_prefill(out, stream);
	cursor->prefill_sent = true;
	while (cursor->next < MIN(stream->produced, stream->close_after))
		append_token(out, stream, cursor->next++);
	if (stream->state == STREAM_DONE &&
	    cursor->next >= stream->answer_tokens) {
		append_end(out, stream);
		cursor->ended = true;
	}
}

/** Whether this connection is to be closed early; the lock must be held. */
static bool should_close(const cursor_t *cursor)
{
	return batch.stopping || cursor->stream->state == STREAM_CANCELLED ||
	       cursor->connection_number != cursor->stream->connection_number ||
	       cursor->next >= cursor->stream->close_after;
}

/**
 * Waits for the next events, for at most COMMENT_PERIOD_MS.
 * @return false if the connection is to be closed
 */
static bool next_chunk(cursor_t *cursor, GString *out)
{
	SCOPED_LOCK(held, &batch.lock);

	cursor->stream->sent = MAX(cursor->stream->sent, cursor->next);
	g_string_truncate(out, 0);
	if (cursor->ended || should_close(cursor))
		return false;
	append_new_events(cursor, out);
	if (out->len)
		return true;
	clock_cond_wait(&batch.changed, &batch.lock, COMMENT_PERIOD_MS);
	append_new_events(cursor, out);
	return true;
}

static void detach(const cursor_t *cursor)
{
	stream_t *stream = cursor->stream;
	SCOPED_LOCK(held, &batch.lock);

	stream->handler_count--;
	if (cursor->connection_number != stream->connection_number)
		return;
	stream->attached = false;
	stream->detached_ms = clock_now_ms();
}

/** Makes this connection the stream's latest one; the lock must be held. */
static cursor_t attach(stream_t *stream, uint32_t from)
{
	stream->handler_count++;
	stream->attached = true;
	return (cursor_t){
		.stream = stream,
		.connection_number = ++stream->connection_number,
		.next = from,
	};
}

/** Value of X-Attempt in the answer; the lock must be held. */
static const char *echoed_attempt(const stream_t *stream)
{
	if (!engine.wrong_attempts)
		return stream->attempt;
	engine.wrong_attempts--;
	return "other-request.1";
}

static void stream_headers(const stream_t *stream, char *headers)
{
	snprintf(headers, HEADERS_MAX_BYTES,
		 "Content-Type: text/event-stream\r\nX-Attempt: %s\r\n"
		 "X-Engine-Incarnation: %" PRIu64
		 "\r\nX-Weights-Version: %s\r\nX-Stream-Id: %s\r\n",
		 echoed_attempt(stream), engine.incarnation, engine.version,
		 stream->id);
}

static void send_stream(http_request_t *request, cursor_t *cursor,
			const char *headers)
{
	g_autoptr(GString) out = g_string_new(NULL);
	uint64_t written_ms = clock_now_ms();
	bool is_connected = http_start_chunks(request, headers);

	while (is_connected && next_chunk(cursor, out)) {
		uint64_t now_ms = clock_now_ms();

		if (!out->len && now_ms >= written_ms + COMMENT_PERIOD_MS)
			g_string_assign(out, ": waiting\n\n");
		if (!out->len)
			continue;
		is_connected = http_send_chunk(request, out->str, out->len);
		written_ms = now_ms;
	}
	if (is_connected && cursor->ended)
		http_send_chunk(request, "", 0);
	else
		http_close(request);
	detach(cursor);
}

/* Completion requests. */

/** Computes the keys of a prompt's full blocks; the lock must be held. */
static void compute_keys(stream_t *stream, const char *salt, const char *prompt)
{
	size_t block_bytes =
		(size_t)batch.settings.block_tokens * GENERATE_TOKEN_BYTES;
	uint64_t key = hash_chain_start(salt, engine.model, engine.adapter,
					engine.version);

	stream->key_count = (uint32_t)(strlen(prompt) / block_bytes);
	stream->keys = g_new(uint64_t, stream->key_count);
	for (uint32_t i = 0; i < stream->key_count; i++) {
		key = hash_chain(key, prompt + i * block_bytes, block_bytes);
		stream->keys[i] = key;
	}
}

static stream_t *new_stream(const http_request_t *request, const char *prompt)
{
	stream_t *stream = g_new0(stream_t, 1);
	const char *priority = http_header(request, "X-Priority", "");

	stream->attempt = g_strdup(http_header(request, "X-Attempt", ""));
	stream->priority =
		*priority ? (uint32_t)atoi(priority) : PRIORITY_DEFAULT;
	stream->priority = MIN(stream->priority, PRIORITY_LOWEST);
	stream->prompt_hash = hash_string(prompt);
	stream->prompt_tokens = generate_prompt_tokens(prompt);
	stream->answer_tokens = generate_answer_tokens(request->json);
	stream->has_max_tokens = http_body_number(request, "max_tokens", 0) > 0;
	stream->resume_from =
		(uint32_t)atoi(http_header(request, "X-Resume-From", "0"));
	stream->produced = stream->resume_from;
	stream->sent = stream->resume_from;
	stream->close_after = UINT32_MAX;
	stream->crashes =
		*settings.crash_marker && strstr(prompt, settings.crash_marker);
	return stream;
}

/** Queues a stream; the lock must be held. */
static void enqueue(stream_t *stream, const char *salt, const char *prompt)
{
	compute_keys(stream, salt, prompt);
	if (engine.close_streams > 0) {
		engine.close_streams--;
		stream->close_after =
			stream->resume_from + (uint32_t)engine.close_after;
	}
	batch_enqueue(&batch, stream);
}

/** Whether `resume_text` is the answer's text before token X-Resume-From. */
static bool resume_matches(const http_request_t *request, const char *prompt)
{
	int from = atoi(http_header(request, "X-Resume-From", "0"));
	const char *text = http_body_text(request, "resume_text", "");
	g_autofree char *expected = NULL;

	if (from < 0 || (uint32_t)from > generate_answer_tokens(request->json))
		return false;
	expected = generate_text(prompt, (uint32_t)from);
	return !strcmp(text, expected);
}

/**
 * Checks whether a request must be refused; the lock must be held.
 * @param status receives the status of a refusal
 * @param headers receives the header lines of a refusal
 * @return reason, or NULL if the request is accepted
 */
static const char *refusal_reason(const http_request_t *request, int *status,
				  const char **headers)
{
	*status = 503;
	*headers = NOT_RUN "Retry-After: 1\r\n";
	if (engine.leaving) {
		*headers = NOT_RUN "X-Leaving: 1\r\n";
		return "leaving";
	}
	if (engine.loading)
		return "loading weights";
	/* Load reports and cancellations need threads too. */
	if (batch_count_open(&batch) + RESERVED_THREADS >= server.threads)
		return "queue full";
	*status = 404;
	*headers = NOT_RUN;
	if (strcmp(http_body_text(request, "model", ""), engine.model) != 0)
		return "model not loaded";
	return NULL;
}

/** @return what is wrong with a request, or NULL */
static const char *request_error(const http_request_t *request,
				 const char *prompt)
{
	if (!prompt)
		return "no messages or prompt";
	if (!http_body_number(request, "stream", 0))
		return "only streams are served";
	if (!*http_header(request, "X-Attempt", ""))
		return "no X-Attempt";
	if (!resume_matches(request, prompt))
		return "resume_text differs from the tokens produced";
	return NULL;
}

/** Queues a request. @return reason to refuse it, or NULL */
static const char *enqueue_request(http_request_t *request, const char *prompt,
				   int *status, const char **refusal_headers,
				   cursor_t *cursor, char *headers)
{
	stream_t *stream;
	const char *problem;
	SCOPED_LOCK(held, &batch.lock);

	problem = refusal_reason(request, status, refusal_headers);
	if (problem) {
		json_counter_add(batch.totals, "refused", 1);
		return problem;
	}
	stream = new_stream(request, prompt);
	enqueue(stream, http_header(request, "X-Cache-Salt", ""), prompt);
	*cursor = attach(stream, stream->resume_from);
	stream_headers(stream, headers);
	return NULL;
}

static void handle_completion(http_request_t *request)
{
	g_autofree char *prompt = generate_prompt(request->json);
	const char *problem = request_error(request, prompt);
	char headers[HEADERS_MAX_BYTES];
	const char *refusal_headers = NOT_RUN;
	int status = 400;
	cursor_t cursor;

	if (!problem)
		problem = enqueue_request(request, prompt, &status,
					  &refusal_headers, &cursor, headers);
	if (problem)
		http_send_error(request, status, refusal_headers, problem);
	else
		send_stream(request, &cursor, headers);
}

static bool reattach(http_request_t *request, cursor_t *cursor, char *headers)
{
	uint64_t from = http_query_number(request, "from", 0);
	char id[TEXT_MAX_BYTES];
	stream_t *stream;
	SCOPED_LOCK(held, &batch.lock);

	http_query(request, "id", id, sizeof(id));
	stream = batch_find(&batch, id);
	if (!stream || stream->state == STREAM_CANCELLED ||
	    from > stream->produced)
		return false;
	stream->close_after = UINT32_MAX;
	*cursor = attach(stream, (uint32_t)from);
	stream_headers(stream, headers);
	pthread_cond_broadcast(&batch.changed);
	return true;
}

static void handle_stream(http_request_t *request)
{
	char headers[HEADERS_MAX_BYTES];
	cursor_t cursor;

	if (reattach(request, &cursor, headers))
		send_stream(request, &cursor, headers);
	else
		http_send_error(request, 404, "", "stream not held");
}

static void handle_cancel(http_request_t *request)
{
	stream_t *stream;
	bool cancelled;
	SCOPED_LOCK(held, &batch.lock);

	stream = batch_find(&batch, http_body_text(request, "stream_id", ""));
	cancelled = stream && stream_is_open(stream);
	if (cancelled) {
		stream->state = STREAM_CANCELLED;
		json_counter_add(batch.totals, "cancelled", 1);
		pthread_cond_broadcast(&batch.changed);
	}
	http_send_json(request, 200, "",
		       json_pack("{s:b}", "cancelled", cancelled));
}

/* Reports. */

static void handle_load(http_request_t *request)
{
	batch_load_t load;
	SCOPED_LOCK(held, &batch.lock);

	load = batch_load(&batch);
	http_send_json(
		request, 200, "",
		json_pack("{s:I,s:I,s:I,s:i,s:i,s:I,s:i,s:i,s:b,s:s,s:s,s:s}",
			  "incarnation", (json_int_t)engine.incarnation, "seq",
			  (json_int_t)load.seq, "age_ms",
			  (json_int_t)(clock_now_ms() - load.at_ms), "running",
			  load.running, "queued", load.queued, "queued_tokens",
			  (json_int_t)load.queued_tokens, "kv_used_blocks",
			  load.used_blocks, "kv_total_blocks",
			  batch.settings.cache_blocks, "leaving",
			  (int)engine.leaving, "model", engine.model, "adapter",
			  engine.adapter, "weights_version", engine.version));
}

static void handle_events(http_request_t *request)
{
	uint64_t since = http_query_number(request, "since", 0);
	uint64_t max = http_query_number(request, "max", 1000);
	SCOPED_LOCK(held, &batch.lock);

	http_send_json(request, 200, "",
		       block_cache_events(batch.cache, since, max,
					  engine.incarnation));
}

static void handle_state(http_request_t *request)
{
	SCOPED_LOCK(held, &batch.lock);

	http_send_json(request, 200, "",
		       json_pack("{s:I,s:s,s:s,s:s,s:s,s:I,s:s}", "incarnation",
				 (json_int_t)engine.incarnation, "model",
				 engine.model, "version", engine.version,
				 "adapter", engine.adapter, "role", engine.role,
				 "fencing", (json_int_t)engine.fencing,
				 "last_order_id", engine.last_order_id));
}

static void handle_stats(http_request_t *request)
{
	json_t *stats;
	SCOPED_LOCK(held, &batch.lock);

	stats = json_deep_copy(batch.totals);
	json_object_set(stats, "attempts", batch.attempts);
	json_object_set_new(stats, "running_max",
			    json_integer(batch.running_max));
	json_object_set_new(stats, "open",
			    json_integer(batch_count_open(&batch)));
	http_send_json(request, 200, "", stats);
}

/* Engine orders. */

static bool state_matches(const http_request_t *request)
{
	return !strcmp(engine.model,
		       http_body_text(request, "model", engine.model)) &&
	       !strcmp(engine.version,
		       http_body_text(request, "version", engine.version)) &&
	       !strcmp(engine.adapter,
		       http_body_text(request, "adapter", engine.adapter));
}

/**
 * Waits until no stream is open, as weights cannot change while a stream runs.
 * `engine.loading` keeps new ones out.
 * @return false if streams are still open after `drain_ms`
 */
static bool drain(void)
{
	uint64_t deadline_ms = clock_now_ms() + settings.drain_ms;
	SCOPED_LOCK(held, &batch.lock);

	while (batch_count_open(&batch) && clock_now_ms() < deadline_ms &&
	       !batch.stopping)
		clock_cond_wait(&batch.changed, &batch.lock, COMMENT_PERIOD_MS);
	return !batch_count_open(&batch);
}

/** Loads weights, in `load_ms` or longer if the weight store is busy. */
static bool load_weights(void)
{
	g_autoptr(http_answer_t) answer = NULL;
	g_autofree char *url = g_strdup_printf(
		"%s/transfer?ms=%u", settings.weights_url, settings.load_ms);

	if (!*settings.weights_url) {
		clock_sleep_us((uint64_t)settings.load_ms * 1000);
		return true;
	}
	answer = http_call("GET", url, NULL, NULL);
	return answer->status == 200;
}

static void set_text(char *target, const http_request_t *request,
		     const char *member)
{
	const char *value = http_body_text(request, member, NULL);

	if (value)
		g_strlcpy(target, value, TEXT_MAX_BYTES);
}

static void complete_order(const http_request_t *request)
{
	SCOPED_LOCK(held, &batch.lock);

	if (!state_matches(request))
		block_cache_clear(batch.cache);
	set_text(engine.model, request, "model");
	set_text(engine.version, request, "version");
	set_text(engine.adapter, request, "adapter");
	set_text(engine.role, request, "role");
	set_text(engine.last_order_id, request, "order_id");
	json_counter_add(batch.totals, "orders_done", 1);
}

/**
 * Accepts an order and sets `engine.loading` if it needs to load weights.
 * @return 0, or the status of a refusal
 */
static int start_order(const http_request_t *request, bool *needs_load)
{
	static const char *const kinds[] = { "load_model", "load_adapter",
					     "set_role", NULL };
	uint64_t fencing = http_body_number(request, "fencing", 0);
	SCOPED_LOCK(held, &batch.lock);

	if (!g_strv_contains(kinds, http_body_text(request, "kind", "")))
		return 400;
	json_counter_add(batch.totals, "orders", 1);
	if (settings.check_fencing && fencing < engine.fencing)
		return 409;
	if (engine.loading)
		return 503;
	engine.fencing = fencing;
	*needs_load = !state_matches(request);
	engine.loading = *needs_load;
	return 0;
}

static void handle_order(http_request_t *request)
{
	bool needs_load = false;
	int status = start_order(request, &needs_load);

	if (!status && needs_load && (!drain() || !load_weights()))
		status = 503;
	if (!status)
		complete_order(request);
	if (needs_load) {
		SCOPED_LOCK(held, &batch.lock);
		engine.loading = false;
	}
	if (status)
		http_send_error(request, status, "", "order refused");
	else
		handle_state(request);
}

/* Transfers to and from the KV cache store. */

/**
 * Import: adds all keys to the cache. Export: selects the cached ones.
 * @return the keys added or selected
 */
static json_t *select_keys(json_t *keys, bool import)
{
	json_t *selected = json_array();
	size_t i;
	json_t *item;
	SCOPED_LOCK(held, &batch.lock);

	json_array_foreach (keys, i, item) {
		const char *hex = json_string_value(item);
		uint64_t key;

		if (!hex || hash_key_from_hex(hex, &key) < 0)
			continue;
		if (import)
			block_cache_add(batch.cache, key);
		else if (!block_cache_has(batch.cache, key))
			continue;
		json_array_append(selected, item);
	}
	return selected;
}

/** Sends `{"keys":[...]}` to the KV store; its answer has the same form. */
static http_answer_t *call_kv_store(const char *path, json_t *keys)
{
	CLEANUP_JSON json_t *body = json_pack("{s:O}", "keys", keys);
	CLEANUP_FREE char *text = json_dumps(body, JSON_COMPACT);
	g_autofree char *url = g_strconcat(settings.kv_url, path, NULL);

	return http_call("POST", url, NULL, text);
}

static void handle_kv(http_request_t *request)
{
	bool import = !strcmp(request->path, "/engine/kv/import");
	json_t *wanted = json_object_get(request->json, "keys");
	CLEANUP_JSON json_t *sent =
		import ? json_incref(wanted) : select_keys(wanted, false);
	g_autoptr(http_answer_t) answer =
		call_kv_store(import ? "/kv/get" : "/kv/put", sent);
	json_t *moved = json_object_get(answer->json, "keys");

	if (answer->status != 200)
		http_send_error(request, 503, "", "KV store did not answer");
	else
		http_send_json(request, 200, "",
			       json_pack("{s:o}", "keys",
					 import ? select_keys(moved, true)
						: json_incref(moved)));
}

/** Configures faults; a call without `stall_ms` ends a stall. */
static void handle_control(http_request_t *request)
{
	uint64_t now_ms = clock_now_ms();
	SCOPED_LOCK(held, &batch.lock);

	if (http_body_number(request, "crash", 0))
		_exit(BATCH_EXIT_CRASH);
	http_update_number(request, "leaving", &engine.leaving);
	http_update_number(request, "wrong_attempts", &engine.wrong_attempts);
	http_update_number(request, "close_streams", &engine.close_streams);
	http_update_number(request, "close_after_tokens", &engine.close_after);
	batch.stalled_until_ms =
		now_ms + http_body_number(request, "stall_ms", 0);
	block_cache_drop_events(batch.cache,
				http_body_number(request, "drop_events", 0));
	if (http_body_number(request, "clear_cache", 0))
		block_cache_clear(batch.cache);
	http_send_ok(request);
}

static const http_route_t routes[] = {
	{ "POST", "/v1/chat/completions", handle_completion },
	{ "POST", "/v1/completions", handle_completion },
	{ "GET", "/engine/stream", handle_stream },
	{ "POST", "/engine/cancel", handle_cancel },
	{ "GET", "/engine/load", handle_load },
	{ "GET", "/engine/events", handle_events },
	{ "GET", "/engine/state", handle_state },
	{ "POST", "/engine/order", handle_order },
	{ "POST", "/engine/kv/*", handle_kv },
	{ "POST", "/control", handle_control },
	{ "GET", "/control/stats", handle_stats },
	{ 0 },
};

static const setting_t settings_table[] = {
	SERVER_ENTRIES(server, "port", "128"),
	NUMBER_ENTRY("prefill-tokens-per-s",
		     batch.settings.prefill_tokens_per_s, "20000",
		     "prompt tokens computed each second"),
	REAL_ENTRY("token-ms", batch.settings.token_ms, "20",
		   "ms for each step, which is one token of each stream"),
	REAL_ENTRY("stream-ms", batch.settings.stream_ms, "0.2",
		   "ms added to a step for each running stream"),
	NUMBER_ENTRY("streams-max", batch.settings.streams_max, "32",
		     "streams that run at once; others wait"),
	NUMBER_ENTRY("cache-blocks", batch.settings.cache_blocks, "160",
		     "blocks in the cache"),
	NUMBER_ENTRY("block-tokens", batch.settings.block_tokens, "2000",
		     "tokens in a block"),
	NUMBER_ENTRY("load-lag-ms", batch.settings.load_lag_ms, "1000",
		     "age of load reports"),
	NUMBER_ENTRY("hold-ms", batch.settings.hold_ms, "2000",
		     "ms a stream is kept without a connection"),
	NUMBER_ENTRY("event-delay-ms", settings.event_delay_ms, "500",
		     "ms until a cache event becomes visible"),
	NUMBER_ENTRY("event-loss-permille", settings.event_loss_permille, "0",
		     "cache events lost, per thousand"),
	NUMBER_ENTRY("load-ms", settings.load_ms, "600", "ms to load weights"),
	NUMBER_ENTRY("drain-ms", settings.drain_ms, "10000",
		     "ms that an order waits for running streams"),
	SWITCH_ENTRY("check-fencing", settings.check_fencing,
		     "refuse orders with an old fencing number"),
	TEXT_ENTRY("weights-url", settings.weights_url, "", "weight store"),
	TEXT_ENTRY("kv-url", settings.kv_url, "", "KV cache store"),
	TEXT_ENTRY("model", settings.model, "m1", "model loaded at start"),
	TEXT_ENTRY("weights-version", settings.version, "1",
		   "weights version at start"),
	TEXT_ENTRY("adapter", settings.adapter, "", "adapter loaded at start"),
	TEXT_ENTRY("role", settings.role, "serve", "role at start"),
	TEXT_ENTRY("crash-marker", settings.crash_marker, "",
		   "a prompt with this text crashes the process"),
	NUMBER_ENTRY("crash-after-tokens", batch.settings.crash_after, "0",
		     "tokens sent before a marked prompt crashes the process"),
	{ 0 },
};

static void start(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	engine.incarnation =
		(uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
	g_strlcpy(engine.model, settings.model, TEXT_MAX_BYTES);
	g_strlcpy(engine.version, settings.version, TEXT_MAX_BYTES);
	g_strlcpy(engine.adapter, settings.adapter, TEXT_MAX_BYTES);
	g_strlcpy(engine.role, settings.role, TEXT_MAX_BYTES);
	batch.cache = block_cache_new(
		batch.settings.cache_blocks, settings.event_delay_ms,
		settings.event_loss_permille, engine.incarnation);
	batch_start(&batch);
}

static void stop(void)
{
	batch_stop(&batch);
}

static http_server_t server = {
	.routes = routes,
	.start = start,
	.stop = stop,
};

int main(int argc, char **argv)
{
	return http_server_main(argc, argv, settings_table, &server);
}
