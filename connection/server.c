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
	/** Slowest body accepted beyond the caller timeout. */
	BODY_MIN_BYTES_PER_MS = 16,
	/** Bodies of requests in progress and being read, bytes: eight of the
	 * largest. */
	BODY_TOTAL_MAX_BYTES = 64 * 1024 * 1024,
	/** Open connections for each thread; most wait for a next request. */
	CONNECTIONS_PER_THREAD = 4,
	/** Lines of a refusal, bytes; the texts are short. */
	REFUSAL_HEADERS_BYTES = 160,
};

/**
 * One request between its connection, on the loop's thread, and its handler, on
 * a thread of the server. The loop's reference ends with the answer, the
 * thread's with the handler.
 */
typedef struct server_job {
	server_request_t request;
	server_t *server;
	http_head_t head;
	char *target; /**< Cut where the query begins. */
	byte_buffer_t body;
	loop_call_t flush;
	inbound_request_t *inbound;   /**< Of the loop; NULL: nobody listens. */
	LIST_ENTRY(server_job) entry; /**< Of the loop. */
	STAILQ_ENTRY(server_job) waiting; /**< Of the server's queue. */
	pthread_mutex_t lock;		  /**< Guards what follows. */
	pthread_cond_t changed;
	uint32_t references;
	bool posted;	 /**< `flush` was handed to the loop. */
	uint16_t status; /**< Of an answer that is to begin; else 0. */
	uint64_t length; /**< Of its body; UINT64_MAX: not known. */
	struct evbuffer *headers;
	struct evbuffer *out; /**< Body bytes for the loop. */
	bool finished;	      /**< The answer is complete. */
	bool closed;	      /**< The handler has returned. */
	bool over_high;	      /**< The connection holds enough output. */
	bool gone;
} server_job_t;

struct server {
	server_settings_t settings;
	loop_t *loop;
	transport_t *tls;
	inbound_t *inbound;
	uint32_t port;
	int open_err;
	LIST_HEAD(, server_job) jobs; /**< Of the loop. */
	pthread_mutex_t lock;	      /**< Guards what follows. */
	pthread_cond_t queued;
	STAILQ_HEAD(, server_job) queue;
	uint32_t queue_len;
	bool stopping;
	uint32_t thread_count;
	pthread_t *threads;
};

/* Life of a job. */

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
	cancel_destroy(&job->request.gone);
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

static int fill_request(server_job_t *job, const inbound_request_t *from)
{
	server_request_t *request = &job->request;
	char *query;

	job->target = strdup(http_head_target(from->head));
	if (!job->target || http_head_copy(&job->head, from->head) ||
	    copy_body(job, from->body))
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

static void run_flush(loop_call_t *call);

static server_job_t *job_new(server_t *server, inbound_request_t *from)
{
	server_job_t *job = calloc(1, sizeof(*job));
	pthread_condattr_t attributes;

	if (!job)
		return NULL;
	job->server = server;
	job->references = 1;
	job->flush.run = run_flush;
	pthread_mutex_init(&job->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&job->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	cancel_init(&job->request.gone);
	job->headers = evbuffer_new();
	job->out = evbuffer_new();
	if (!job->headers || !job->out || fill_request(job, from)) {
		job_unref(job);
		return NULL;
	}
	return job;
}

/* On the loop's thread. */

static void leave_loop(server_job_t *job)
{
	LIST_REMOVE(job, entry);
	job_unref(job);
}

static void set_gone(server_job_t *job)
{
	job->inbound = NULL;
	pthread_mutex_lock(&job->lock);
	job->gone = true;
	pthread_cond_broadcast(&job->changed);
	pthread_mutex_unlock(&job->lock);
	cancel_set(&job->request.gone, ERR_CANCELLED);
}

/* What the handler has done with a job so far. */
typedef struct job_state {
	bool finished;
	bool closed;
} job_state_t;

/* Hands what the handler wrote to the connection. */
static job_state_t pass_on(server_job_t *job)
{
	SCOPED_LOCK(lock, &job->lock);

	job->posted = false;
	if (job->inbound && job->status) {
		inbound_begin(job->inbound, job->status, job->headers,
			      job->length);
		job->status = 0;
	}
	if (job->inbound && evbuffer_get_length(job->out) &&
	    !inbound_write_buffer(job->inbound, job->out))
		job->over_high = true;
	evbuffer_drain(job->out, evbuffer_get_length(job->out));
	pthread_cond_broadcast(&job->changed);
	return (job_state_t){ job->finished, job->closed };
}

static void run_flush(loop_call_t *call)
{
	server_job_t *job = caa_container_of(call, server_job_t, flush);
	job_state_t state = pass_on(job);
	inbound_request_t *inbound = job->inbound;

	if (!state.finished && !state.closed)
		return;
	job->inbound = NULL;
	if (inbound && state.finished)
		inbound_finish(inbound);
	else if (inbound)
		inbound_abort(inbound);
	if (state.closed)
		leave_loop(job);
}

static inbound_limits_t limits_now(void *context)
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

static void refusal_headers(const server_error_t *error, char *headers,
			    size_t size);

static void refuse_now(inbound_request_t *request, int err)
{
	server_error_t error = { .err = err };
	CLEANUP_FREE char *body = server_error_body(&error);
	char headers[REFUSAL_HEADERS_BYTES];

	metrics_count_error(err);
	refusal_headers(&error, headers, sizeof(headers));
	inbound_answer(request, error_answer(err)->http_status, headers, body,
		       body ? strlen(body) : 0);
}

/* @return whether a thread will take the job */
static bool enqueue(server_t *server, server_job_t *job)
{
	SCOPED_LOCK(lock, &server->lock);

	if (server->queue_len >= server->thread_count)
		return false;
	STAILQ_INSERT_TAIL(&server->queue, job, waiting);
	server->queue_len++;
	job->references++;
	pthread_cond_signal(&server->queued);
	return true;
}

static void take_request(void *context, inbound_request_t *request)
{
	server_t *server = context;
	server_job_t *job = job_new(server, request);

	if (!job) {
		refuse_now(request, ERR_NO_MEMORY);
		return;
	}
	job->inbound = request;
	request->user_data = job;
	LIST_INSERT_HEAD(&server->jobs, job, entry);
	if (enqueue(server, job))
		return;
	leave_loop(job);
	refuse_now(request, ERR_OVERLOADED);
}

static void take_gone(void *context, inbound_request_t *request)
{
	(void)context;
	if (request->user_data)
		set_gone(request->user_data);
}

static void take_drained(void *context, inbound_request_t *request)
{
	server_job_t *job = request->user_data;

	(void)context;
	if (!job)
		return;
	pthread_mutex_lock(&job->lock);
	job->over_high = false;
	pthread_cond_broadcast(&job->changed);
	pthread_mutex_unlock(&job->lock);
}

/* What is refused before a handler could see it. */
static void take_refused(void *context, int err, struct evbuffer *headers,
			 struct evbuffer *body)
{
	server_error_t error = { .err = err };
	CLEANUP_FREE char *text = server_error_body(&error);
	char lines[REFUSAL_HEADERS_BYTES];

	(void)context;
	metrics_count_error(err);
	event_log(EVENT_CALLER_REFUSED, "kind=%s", error_type(err));
	refusal_headers(&error, lines, sizeof(lines));
	evbuffer_add(headers, lines, strlen(lines));
	if (text)
		evbuffer_add(body, text, strlen(text));
}

static const inbound_callbacks_t server_calls = {
	.limits = limits_now,
	.request = take_request,
	.client_gone = take_gone,
	.drained = take_drained,
	.refused = take_refused,
};

static void open_on_loop(void *context)
{
	server_t *server = context;
	const server_settings_t *settings = &server->settings;
	inbound_options_t options = {
		.connections_max =
			settings->thread_count * CONNECTIONS_PER_THREAD,
		.body_total_max_bytes = BODY_TOTAL_MAX_BYTES,
		.output_high_watermark = SERVER_OUTPUT_HIGH_BYTES,
		/* The waiting thread reports a slow reader first. */
		.write_timeout_ms = 2 * settings->client_timeout_ms,
		.transport = server->tls,
		.callbacks = &server_calls,
		.context = server,
	};

	server->open_err = socket_address_read(
		settings->address, (uint16_t)settings->port, &options.address);
	if (!server->open_err)
		server->open_err = inbound_open(loop_base(server->loop),
						&options, &server->inbound);
	if (!server->open_err)
		server->port = inbound_port(server->inbound);
}

static void close_on_loop(void *context)
{
	server_t *server = context;
	server_job_t *job;

	LIST_FOREACH(job, &server->jobs, entry)
	{
		if (job->inbound)
			set_gone(job);
	}
	inbound_close(server->inbound);
}

/* On the threads that run handlers. */

static server_job_t *next_job(server_t *server)
{
	server_job_t *job;
	SCOPED_LOCK(lock, &server->lock);

	while (STAILQ_EMPTY(&server->queue) && !server->stopping)
		pthread_cond_wait(&server->queued, &server->lock);
	job = STAILQ_FIRST(&server->queue);
	if (!job)
		return NULL;
	STAILQ_REMOVE_HEAD(&server->queue, waiting);
	server->queue_len--;
	return job;
}

/* Has the loop look at the job; once for all that was written meanwhile. */
static void post_flush(server_job_t *job)
{
	bool post;

	pthread_mutex_lock(&job->lock);
	post = !job->posted;
	job->posted = true;
	pthread_mutex_unlock(&job->lock);
	if (post)
		loop_post(job->server->loop, &job->flush);
}

static void close_job(server_job_t *job)
{
	pthread_mutex_lock(&job->lock);
	job->closed = true;
	pthread_mutex_unlock(&job->lock);
	post_flush(job);
	job_unref(job);
}

static void *thread_main(void *context)
{
	server_t *server = context;
	server_job_t *job;

	while ((job = next_job(server))) {
		/* Nobody waits for it: it left while it was queued. */
		if (!server_client_gone(&job->request))
			server->settings.handle(server->settings.context,
						&job->request);
		close_job(job);
	}
	return NULL;
}

/* Waits until the caller has taken enough for more to be written. */
static int wait_for_room(server_job_t *job)
{
	uint64_t until_ms =
		clock_now_ms() + job->server->settings.client_timeout_ms;
	struct timespec until = {
		.tv_sec = (time_t)(until_ms / MILLISECONDS_PER_SECOND),
		.tv_nsec =
			(long)(until_ms % MILLISECONDS_PER_SECOND) * 1000000L,
	};

	while (!job->gone &&
	       (job->over_high ||
		evbuffer_get_length(job->out) > SERVER_OUTPUT_HIGH_BYTES)) {
		if (pthread_cond_timedwait(&job->changed, &job->lock, &until))
			return ERR_SLOW_READER;
	}
	return job->gone ? ERR_CANCELLED : 0;
}

static int write_out(server_job_t *job, const char *bytes, size_t len)
{
	int err;

	pthread_mutex_lock(&job->lock);
	err = job->gone ? ERR_CANCELLED : 0;
	if (!err && len && evbuffer_add(job->out, bytes, len) < 0)
		err = ERR_NO_MEMORY;
	pthread_mutex_unlock(&job->lock);
	if (err)
		return err;
	post_flush(job);
	pthread_mutex_lock(&job->lock);
	err = wait_for_room(job);
	pthread_mutex_unlock(&job->lock);
	return err;
}

static int begin(server_request_t *request, int status,
		 const char *content_type, const char *headers, uint64_t length)
{
	server_job_t *job = request->job;
	SCOPED_LOCK(lock, &job->lock);

	request->status = status;
	job->status = (uint16_t)status;
	job->length = length;
	if (content_type)
		evbuffer_add_printf(job->headers, "Content-Type: %s\r\n",
				    content_type);
	if (headers)
		evbuffer_add(job->headers, headers, strlen(headers));
	return job->gone ? ERR_CANCELLED : 0;
}

static int finish(server_job_t *job)
{
	bool gone;

	pthread_mutex_lock(&job->lock);
	job->finished = true;
	gone = job->gone;
	pthread_mutex_unlock(&job->lock);
	post_flush(job);
	return gone ? ERR_CANCELLED : 0;
}

/* Start and end. */

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

void server_stop(server_t *server)
{
	if (!server)
		return;
	if (server->inbound)
		loop_run(server->loop, close_on_loop, server);
	stop_threads(server);
	loop_stop(server->loop);
	tls_free(server->tls);
	pthread_cond_destroy(&server->queued);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

/* What handlers read and write. */

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
	return cancel_reason(&request->gone) != 0;
}

int server_answer(server_request_t *request, int status,
		  const char *content_type, const char *headers,
		  const char *body, size_t body_len)
{
	server_job_t *job = request->job;
	int err = begin(request, status, content_type, headers, body_len);

	if (!err && body_len && job->head.method != HTTP_HEAD)
		err = write_out(job, body, body_len);
	return err ? err : finish(job);
}

static run_state_t run_state_of(const server_error_t *error)
{
	return error->has_run_state ? error->run_state
				    : error_answer(error->err)->run_state;
}

static uint32_t retry_after_of(const server_error_t *error)
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
		"message", text, "ran", run_state_name(run_state_of(error)),
		"retry_after_ms", (json_int_t)retry_after_of(error));

	return body ? json_dumps(body, JSON_COMPACT) : NULL;
}

static void refusal_headers(const server_error_t *error, char *headers,
			    size_t size)
{
	uint32_t after_ms = retry_after_of(error);
	char retry[48] = "";

	if (after_ms)
		snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
			 (after_ms + MILLISECONDS_PER_SECOND - 1) /
				 MILLISECONDS_PER_SECOND);
	snprintf(headers, size,
		 "Content-Type: application/json\r\nX-Run-State: %s\r\n%s",
		 run_state_name(run_state_of(error)), retry);
}

int server_answer_error(server_request_t *request, const server_error_t *error)
{
	CLEANUP_FREE char *body = server_error_body(error);
	char headers[REFUSAL_HEADERS_BYTES];

	metrics_count_error(error->err);
	if (!body)
		return ERR_NO_MEMORY;
	refusal_headers(error, headers, sizeof(headers));
	return server_answer(request, error_answer(error->err)->http_status,
			     NULL, headers, body, strlen(body));
}

int server_stream_begin(server_request_t *request, int status,
			const char *content_type, const char *headers)
{
	int err = begin(request, status, content_type, headers, UINT64_MAX);

	return err ? err : write_out(request->job, NULL, 0);
}

int server_stream_write(server_request_t *request, const char *bytes,
			size_t len)
{
	return len ? write_out(request->job, bytes, len) : 0;
}

int server_stream_end(server_request_t *request)
{
	return finish(request->job);
}
