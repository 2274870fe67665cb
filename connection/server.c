#include "connection/server.h"

#include <event2/buffer.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <time.h>

#include "connection/inbound.h"
#include "connection/loop.h"
#include "connection/tls.h"
#include "process/byte_buffer.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/event.h"
#include "process/metrics.h"

enum {
	MILLISECONDS_PER_SECOND = 1000,
	/** Lowest rate of a body that takes longer than the client timeout. */
	BODY_MIN_BYTES_PER_MS = 16,
	/** Total size of the bodies that are being received or belong to
	 * requests in progress, bytes: eight of the largest. */
	BODY_TOTAL_MAX_BYTES = 64 * 1024 * 1024,
	/** Open connections per thread; most are idle between requests. */
	CONNECTIONS_PER_THREAD = 4,
	/** Header lines of an error answer, bytes; the values are short. */
	ERROR_HEADERS_BYTES = 160,
	/** Interval at which a stop checks for unsent answers, ms. */
	FLUSH_STEP_MS = 5,
};

/**
 * One request. It links the connection, which belongs to the loop's thread, and
 * the handler, which runs on one of the server's threads. The thread drops its
 * reference when the handler returns, the loop at the flush that follows.
 */
typedef struct server_job {
	server_request_t request;
	server_t *server;
	http_head_t head;
	char *target; /**< Path; the query follows its NUL. */
	byte_buffer_t body;
	loop_call_t flush;
	inbound_request_t *inbound; /**< On the loop; NULL: it has ended. */
	LIST_ENTRY(server_job) job_entry;     /**< In `jobs` of the server. */
	STAILQ_ENTRY(server_job) queue_entry; /**< In `queue` of the server. */
	pthread_mutex_t lock; /**< Protects the members below. */
	pthread_cond_t changed;
	uint32_t references;
	bool flush_posted;    /**< `flush` is posted to the loop. */
	uint16_t status;      /**< Of an answer to be started; else 0. */
	uint64_t body_length; /**< UINT64_MAX: not known. */
	struct evbuffer *headers;
	struct evbuffer *out; /**< Body bytes not yet taken by the loop. */
	bool answer_complete; /**< The handler has written all of it. */
	bool handler_returned;
	bool output_full; /**< Over SERVER_OUTPUT_HIGH_WATERMARK_BYTES unsent.
			   */
	bool client_gone;
} server_job_t;

struct server {
	server_settings_t settings;
	loop_t *loop;
	transport_t *tls;
	inbound_t *inbound;
	uint32_t port;
	int open_err;
	uint64_t unsent_bytes;	      /**< Set by read_unsent_on_loop(). */
	LIST_HEAD(, server_job) jobs; /**< Used on the loop's thread only. */
	pthread_mutex_t lock;	      /**< Protects the members below. */
	pthread_cond_t queued;
	STAILQ_HEAD(, server_job) queue;
	uint32_t queue_len;
	bool stopping;
	uint32_t thread_count;
	pthread_t *threads;
};

/* Creating and freeing jobs. */

static void job_unref(server_job_t *job)
{
	bool last;

	pthread_mutex_lock(&job->lock);
	last = --job->references == 0;
	pthread_mutex_unlock(&job->lock);
	if (!last)
		return;
	http_head_free(&job->head);
	byte_buffer_free(&job->body);
	free(job->target);
	if (job->headers)
		evbuffer_free(job->headers);
	if (job->out)
		evbuffer_free(job->out);
	cancel_destroy(&job->request.client_gone);
	pthread_cond_destroy(&job->changed);
	pthread_mutex_destroy(&job->lock);
	free(job);
}

static int copy_body(server_job_t *job, struct evbuffer *body)
{
	size_t len = body ? evbuffer_get_length(body) : 0;
	const char *bytes =
		len ? (const char *)evbuffer_pullup(body, -1) : NULL;

	if (len && !bytes)
		return ERR_NO_MEMORY;
	if (byte_buffer_add(&job->body, bytes, len))
		return ERR_NO_MEMORY;
	if (len)
		evbuffer_drain(body, len);
	return 0;
}

static int fill_request(server_job_t *job, const inbound_request_t *inbound)
{
	server_request_t *request = &job->request;
	char *query;

	job->target = strdup(http_head_target(inbound->head));
	if (!job->target || http_head_copy(&job->head, inbound->head) ||
	    copy_body(job, inbound->body))
		return ERR_NO_MEMORY;
	query = strchr(job->target, '?');
	if (query)
		*query++ = '\0';
	request->job = job;
	request->head = &job->head;
	request->method = http_method_str((enum http_method)job->head.method);
	request->path = job->target;
	request->query = query ? query : "";
	request->body = job->body.bytes;
	request->body_len = job->body.len;
	return 0;
}

static void on_flush(loop_call_t *call);

static server_job_t *job_new(server_t *server, inbound_request_t *inbound)
{
	server_job_t *job = calloc(1, sizeof(*job));
	pthread_condattr_t attributes;

	if (!job)
		return NULL;
	job->server = server;
	job->references = 1;
	job->flush.run = on_flush;
	pthread_mutex_init(&job->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&job->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	cancel_init(&job->request.client_gone);
	job->headers = evbuffer_new();
	job->out = evbuffer_new();
	if (!job->headers || !job->out || fill_request(job, inbound)) {
		job_unref(job);
		return NULL;
	}
	return job;
}

/* Functions called on the loop's thread. */

static void drop_loop_reference(server_job_t *job)
{
	LIST_REMOVE(job, job_entry);
	job_unref(job);
}

static void mark_client_gone(server_job_t *job)
{
	job->inbound = NULL;
	pthread_mutex_lock(&job->lock);
	job->client_gone = true;
	pthread_cond_broadcast(&job->changed);
	pthread_mutex_unlock(&job->lock);
	cancel_set(&job->request.client_gone, ERR_CANCELLED);
}

/* Progress of a job's handler. */
typedef struct job_state {
	bool answer_complete;
	bool handler_returned;
} job_state_t;

/* Passes the output of the handler to the connection. */
static job_state_t flush_output(server_job_t *job)
{
	SCOPED_LOCK(lock, &job->lock);

	job->flush_posted = false;
	if (job->inbound && job->status) {
		inbound_begin(job->inbound, job->status, job->headers,
			      job->body_length);
		job->status = 0;
	}
	if (job->inbound && evbuffer_get_length(job->out) &&
	    !inbound_write_buffer(job->inbound, job->out))
		job->output_full = true;
	evbuffer_drain(job->out, evbuffer_get_length(job->out));
	pthread_cond_broadcast(&job->changed);
	return (job_state_t){ job->answer_complete, job->handler_returned };
}

static void on_flush(loop_call_t *call)
{
	server_job_t *job = caa_container_of(call, server_job_t, flush);
	job_state_t state = flush_output(job);
	inbound_request_t *inbound = job->inbound;

	if (!state.answer_complete && !state.handler_returned)
		return;
	job->inbound = NULL;
	if (inbound && state.answer_complete)
		inbound_finish(inbound);
	else if (inbound)
		inbound_abort(inbound);
	if (state.handler_returned)
		drop_loop_reference(job);
}

static inbound_limits_t current_limits(void *context)
{
	const server_settings_t *settings = &((server_t *)context)->settings;

	return (inbound_limits_t){
		.head_max_bytes = settings->header_max_bytes,
		.body_max_bytes = settings->body_max_bytes(settings->context),
		.head_timeout_ms = settings->client_timeout_ms,
		.idle_timeout_ms = settings->client_timeout_ms,
		.body_min_bytes_per_ms = BODY_MIN_BYTES_PER_MS,
	};
}

static void error_headers(const server_error_t *error, char *headers,
			  size_t size);

static void send_error(inbound_request_t *request, int err)
{
	server_error_t error = { .err = err };
	CLEANUP_FREE char *body = server_error_body(&error);
	char headers[ERROR_HEADERS_BYTES];

	metrics_count_error(err);
	error_headers(&error, headers, sizeof(headers));
	inbound_answer(request, error_answer(err)->http_status, headers, body,
		       body ? strlen(body) : 0);
}

static int enqueue(server_t *server, server_job_t *job)
{
	SCOPED_LOCK(lock, &server->lock);

	if (server->stopping)
		return ERR_STOPPING;
	if (server->queue_len >= server->thread_count)
		return ERR_OVERLOADED;
	STAILQ_INSERT_TAIL(&server->queue, job, queue_entry);
	server->queue_len++;
	job->references++;
	pthread_cond_signal(&server->queued);
	return 0;
}

static void on_request(void *context, inbound_request_t *request)
{
	server_t *server = context;
	server_job_t *job = job_new(server, request);
	int err;

	if (!job) {
		send_error(request, ERR_NO_MEMORY);
		return;
	}
	job->inbound = request;
	request->user_data = job;
	LIST_INSERT_HEAD(&server->jobs, job, job_entry);
	err = enqueue(server, job);
	if (!err)
		return;
	drop_loop_reference(job);
	send_error(request, err);
}

static void on_client_gone(void *context, inbound_request_t *request)
{
	(void)context;
	if (request->user_data)
		mark_client_gone(request->user_data);
}

static void on_drained(void *context, inbound_request_t *request)
{
	server_job_t *job = request->user_data;

	(void)context;
	if (!job)
		return;
	pthread_mutex_lock(&job->lock);
	job->output_full = false;
	pthread_cond_broadcast(&job->changed);
	pthread_mutex_unlock(&job->lock);
}

/* Answers a request that is rejected before it reaches a handler. */
static void on_refused(void *context, int err, struct evbuffer *headers,
		       struct evbuffer *body)
{
	server_error_t error = { .err = err };
	CLEANUP_FREE char *text = server_error_body(&error);
	char lines[ERROR_HEADERS_BYTES];

	(void)context;
	metrics_count_error(err);
	event_log(EVENT_CLIENT_REFUSED, "kind=%s", error_type(err));
	error_headers(&error, lines, sizeof(lines));
	evbuffer_add(headers, lines, strlen(lines));
	if (text)
		evbuffer_add(body, text, strlen(text));
}

static const inbound_callbacks_t server_callbacks = {
	.limits = current_limits,
	.request = on_request,
	.client_gone = on_client_gone,
	.drained = on_drained,
	.refused = on_refused,
};

static void open_on_loop(void *context)
{
	server_t *server = context;
	const server_settings_t *settings = &server->settings;
	inbound_options_t options = {
		.connections_max =
			settings->thread_count * CONNECTIONS_PER_THREAD,
		.body_total_max_bytes = BODY_TOTAL_MAX_BYTES,
		.output_high_watermark = SERVER_OUTPUT_HIGH_WATERMARK_BYTES,
		/* Twice the client timeout, so that the blocked handler
		 * detects a slow reader first. */
		.write_timeout_ms = 2 * settings->client_timeout_ms,
		.transport = server->tls,
		.callbacks = &server_callbacks,
		.context = server,
	};

	server->open_err = socket_address_parse(
		settings->address, (uint16_t)settings->port, &options.address);
	if (!server->open_err)
		server->open_err = inbound_open(loop_base(server->loop),
						&options, &server->inbound);
	if (!server->open_err)
		server->port = inbound_port(server->inbound);
}

/* Stops a handler early. Only one that has not begun its answer can still send
 * a complete one. */
static void interrupt_handler(server_job_t *job)
{
	int reason = ERR_STOPPING;

	pthread_mutex_lock(&job->lock);
	if (job->request.status && !job->answer_complete) {
		reason = ERR_CANCELLED;
		job->client_gone = true;
		pthread_cond_broadcast(&job->changed);
	}
	pthread_mutex_unlock(&job->lock);
	cancel_set(&job->request.client_gone, reason);
}

static void begin_stop_on_loop(void *context)
{
	server_t *server = context;
	server_job_t *job;

	inbound_stop(server->inbound);
	inbound_stop_accepting(server->inbound);
	inbound_refuse_unread(server->inbound, ERR_STOPPING);
	inbound_close_idle(server->inbound);
	LIST_FOREACH(job, &server->jobs, job_entry)
	interrupt_handler(job);
}

static void read_unsent_on_loop(void *context)
{
	server_t *server = context;

	server->unsent_bytes = inbound_unsent_bytes(server->inbound);
}

static void close_on_loop(void *context)
{
	inbound_close(((server_t *)context)->inbound);
}

/* Functions called on the threads that run handlers. */

static server_job_t *next_job(server_t *server)
{
	server_job_t *job;
	SCOPED_LOCK(lock, &server->lock);

	while (STAILQ_EMPTY(&server->queue) && !server->stopping)
		pthread_cond_wait(&server->queued, &server->lock);
	job = STAILQ_FIRST(&server->queue);
	if (!job)
		return NULL;
	STAILQ_REMOVE_HEAD(&server->queue, queue_entry);
	server->queue_len--;
	return job;
}

/* Posts a flush of the job to the loop unless one is pending. A flush that sees
 * `handler_returned` is the last one, so both are set at once. */
static void post_flush(server_job_t *job, bool handler_returned)
{
	bool post;

	pthread_mutex_lock(&job->lock);
	job->handler_returned = handler_returned;
	post = !job->flush_posted;
	job->flush_posted = true;
	pthread_mutex_unlock(&job->lock);
	if (post)
		loop_post(job->server->loop, &job->flush);
}

static void finish_job(server_job_t *job)
{
	post_flush(job, true);
	job_unref(job);
}

static void *thread_main(void *context)
{
	server_t *server = context;
	server_job_t *job;

	while ((job = next_job(server))) {
		/* Skip requests whose client left while they were queued. */
		if (!server_client_gone(&job->request))
			server->settings.handle(server->settings.context,
						&job->request);
		finish_job(job);
	}
	return NULL;
}

/*
 * Waits until the unsent output is below the limit. Returns ERR_SLOW_READER
 * after the client timeout.
 */
static int wait_for_output_space(server_job_t *job)
{
	uint64_t deadline_ms =
		clock_now_ms() + job->server->settings.client_timeout_ms;
	struct timespec deadline = {
		.tv_sec = (time_t)(deadline_ms / MILLISECONDS_PER_SECOND),
		.tv_nsec = (long)(deadline_ms % MILLISECONDS_PER_SECOND) *
			   1000000L,
	};

	while (!job->client_gone &&
	       (job->output_full ||
		evbuffer_get_length(job->out) >
			SERVER_OUTPUT_HIGH_WATERMARK_BYTES)) {
		if (pthread_cond_timedwait(&job->changed, &job->lock,
					   &deadline))
			return ERR_SLOW_READER;
	}
	return job->client_gone ? ERR_CANCELLED : 0;
}

static int write_answer(server_job_t *job, const char *bytes, size_t len)
{
	int err;

	pthread_mutex_lock(&job->lock);
	err = job->client_gone ? ERR_CANCELLED : 0;
	if (!err && len && evbuffer_add(job->out, bytes, len) < 0)
		err = ERR_NO_MEMORY;
	pthread_mutex_unlock(&job->lock);
	if (err)
		return err;
	post_flush(job, false);
	pthread_mutex_lock(&job->lock);
	err = wait_for_output_space(job);
	pthread_mutex_unlock(&job->lock);
	return err;
}

static int begin_answer(server_request_t *request, int status,
			const char *content_type, const char *headers,
			uint64_t length)
{
	server_job_t *job = request->job;
	SCOPED_LOCK(lock, &job->lock);

	request->status = status;
	job->status = (uint16_t)status;
	job->body_length = length;
	if (content_type)
		evbuffer_add_printf(job->headers, "Content-Type: %s\r\n",
				    content_type);
	if (headers)
		evbuffer_add(job->headers, headers, strlen(headers));
	return job->client_gone ? ERR_CANCELLED : 0;
}

static int finish_answer(server_job_t *job)
{
	bool gone;

	pthread_mutex_lock(&job->lock);
	job->answer_complete = true;
	gone = job->client_gone;
	pthread_mutex_unlock(&job->lock);
	post_flush(job, false);
	return gone ? ERR_CANCELLED : 0;
}

/* Starting and stopping the server. */

static uint32_t start_threads(server_t *server)
{
	const server_settings_t *settings = &server->settings;
	pthread_attr_t attributes;
	uint32_t count = 0;

	server->threads =
		calloc(settings->thread_count, sizeof(*server->threads));
	if (!server->threads || pthread_attr_init(&attributes))
		return 0;
	if (settings->thread_stack_bytes)
		pthread_attr_setstacksize(&attributes,
					  settings->thread_stack_bytes);
	while (count < settings->thread_count &&
	       !pthread_create(&server->threads[count], &attributes,
			       thread_main, server))
		count++;
	pthread_attr_destroy(&attributes);
	return count;
}

static void stop_threads(server_t *server)
{
	pthread_mutex_lock(&server->lock);
	server->stopping = true;
	pthread_cond_broadcast(&server->queued);
	pthread_mutex_unlock(&server->lock);
	for (uint32_t i = 0; i < server->thread_count; i++)
		pthread_join(server->threads[i], NULL);
	free(server->threads);
}

static int open_server(server_t *server)
{
	const server_settings_t *settings = &server->settings;

	if (settings->tls_certificate) {
		server->tls = tls_server_new(settings->tls_certificate);
		if (!server->tls)
			return ERR_SETTING;
	}
	server->loop = loop_start(0);
	if (!server->loop)
		return ERR_NO_MEMORY;
	server->thread_count = start_threads(server);
	if (server->thread_count < settings->thread_count)
		return ERR_NO_MEMORY;
	loop_run(server->loop, open_on_loop, server);
	return server->open_err;
}

server_t *server_start(const server_settings_t *settings)
{
	server_t *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->settings = *settings;
	LIST_INIT(&server->jobs);
	STAILQ_INIT(&server->queue);
	pthread_mutex_init(&server->lock, NULL);
	pthread_cond_init(&server->queued, NULL);
	if (!open_server(server))
		return server;
	server_stop(server);
	return NULL;
}

uint32_t server_port(const server_t *server)
{
	return server->port;
}

/* Waits until the answers have left the process. A client that reads nothing
 * for the client timeout counts as gone. */
static void wait_for_output(server_t *server)
{
	uint64_t deadline_ms =
		clock_now_ms() + server->settings.client_timeout_ms;

	for (;;) {
		loop_run(server->loop, read_unsent_on_loop, server);
		if (!server->unsent_bytes || clock_now_ms() >= deadline_ms)
			return;
		clock_sleep_ms(FLUSH_STEP_MS);
	}
}

void server_stop(server_t *server)
{
	if (!server)
		return;
	if (server->inbound)
		loop_run(server->loop, begin_stop_on_loop, server);
	stop_threads(server);
	if (server->inbound) {
		wait_for_output(server);
		loop_run(server->loop, close_on_loop, server);
	}
	loop_stop(server->loop);
	tls_free(server->tls);
	pthread_cond_destroy(&server->queued);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

/* Functions called by handlers. */

const char *server_header(const server_request_t *request, const char *name)
{
	return http_head_find(request->head, name);
}

bool server_header_at(const server_request_t *request, int index,
		      const char **name, const char **value)
{
	if ((uint32_t)index >= request->head->header_count)
		return false;
	*name = http_head_name(request->head, (uint32_t)index);
	*value = http_head_value(request->head, (uint32_t)index);
	return true;
}

const char *server_bearer_key(const server_request_t *request)
{
	static const char scheme[] = "Bearer ";
	const char *value = server_header(request, "Authorization");

	if (!value || strncasecmp(value, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	value += sizeof(scheme) - 1;
	return *value ? value : NULL;
}

int server_check_body(const server_request_t *request, size_t body_max_bytes)
{
	return request->body_len > body_max_bytes ? ERR_BODY_TOO_LARGE : 0;
}

bool server_client_gone(server_request_t *request)
{
	return cancel_reason(&request->client_gone) == ERR_CANCELLED;
}

int server_answer(server_request_t *request, int status,
		  const char *content_type, const char *headers,
		  const char *body, size_t body_len)
{
	server_job_t *job = request->job;
	int err =
		begin_answer(request, status, content_type, headers, body_len);

	if (!err && body_len && job->head.method != HTTP_HEAD)
		err = write_answer(job, body, body_len);
	return err ? err : finish_answer(job);
}

static run_state_t error_run_state(const server_error_t *error)
{
	return error->has_run_state ? error->run_state
				    : error_answer(error->err)->run_state;
}

static uint32_t error_retry_after_ms(const server_error_t *error)
{
	return error->retry_after_ms ? error->retry_after_ms
				     : error_answer(error->err)->retry_after_ms;
}

char *server_error_body(const server_error_t *error)
{
	const error_answer_t *answer = error_answer(error->err);
	const char *text = error->text ? error->text : answer->text;
	CLEANUP_JSON json_t *body = json_pack(
		"{s:{s:s,s:s,s:s,s:I}}", "error", "type", answer->type,
		"message", text, "ran", run_state_name(error_run_state(error)),
		"retry_after_ms", (json_int_t)error_retry_after_ms(error));

	return body ? json_dumps(body, JSON_COMPACT) : NULL;
}

static void error_headers(const server_error_t *error, char *headers,
			  size_t size)
{
	uint32_t after_ms = error_retry_after_ms(error);
	char retry[48] = "";

	if (after_ms)
		snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
			 (after_ms + MILLISECONDS_PER_SECOND - 1) /
				 MILLISECONDS_PER_SECOND);
	snprintf(headers, size,
		 "Content-Type: application/json\r\nX-Run-State: %s\r\n%s",
		 run_state_name(error_run_state(error)), retry);
}

int server_answer_error(server_request_t *request, const server_error_t *error)
{
	CLEANUP_FREE char *body = server_error_body(error);
	char headers[ERROR_HEADERS_BYTES];

	metrics_count_error(error->err);
	if (!body)
		return ERR_NO_MEMORY;
	error_headers(error, headers, sizeof(headers));
	return server_answer(request, error_answer(error->err)->http_status,
			     NULL, headers, body, strlen(body));
}

int server_stream_begin(server_request_t *request, int status,
			const char *content_type, const char *headers)
{
	int err = begin_answer(request, status, content_type, headers,
			       UINT64_MAX);

	return err ? err : write_answer(request->job, NULL, 0);
}

int server_stream_write(server_request_t *request, const char *bytes,
			size_t len)
{
	return len ? write_answer(request->job, bytes, len) : 0;
}

int server_stream_end(server_request_t *request)
{
	return finish_answer(request->job);
}
