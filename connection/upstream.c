#include "connection/upstream.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"

enum {
	/** Longest wait between two looks at the caller's socket. */
	CALLER_CHECK_MS = 100,
	/** Idle connections older than this are not used again. */
	IDLE_MAX_AGE_S = 15,
	RECEIVE_BUFFER_BYTES = 16 * 1024,
};

/** A curl handle pair with at most one connection. */
typedef struct link {
	CURLM *multi;
	CURL *easy;
	char origin[UPSTREAM_ORIGIN_MAX_BYTES];
} link_t;

struct upstream_pool {
	pthread_mutex_t lock;
	/** Idle links, the most recently used last. */
	link_t *idle[UPSTREAM_IDLE_MAX];
	size_t idle_count;
	char *ca_file;
};

/** State of one transfer for the curl callbacks. */
typedef struct transfer {
	const upstream_call_t *call;
	upstream_result_t *result;
	CURL *easy;
	uint64_t last_byte_ms;
	int err;
	bool has_head;
} transfer_t;

bool upstream_peer_gone(int fd)
{
	struct pollfd poller = { .fd = fd, .events = POLLRDHUP };

	return fd >= 0 && poll(&poller, 1, 0) > 0 &&
	       (poller.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL));
}

upstream_pool_t *upstream_pool_new(const char *ca_file)
{
	upstream_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pthread_mutex_init(&pool->lock, NULL);
	if (ca_file)
		pool->ca_file = strdup(ca_file);
	return pool;
}

static void link_free(link_t *link)
{
	if (!link)
		return;
	if (link->easy)
		curl_easy_cleanup(link->easy);
	if (link->multi)
		curl_multi_cleanup(link->multi);
	free(link);
}

void upstream_pool_free(upstream_pool_t *pool)
{
	if (!pool)
		return;
	for (size_t i = 0; i < pool->idle_count; i++)
		link_free(pool->idle[i]);
	pthread_mutex_destroy(&pool->lock);
	free(pool->ca_file);
	free(pool);
}

static link_t *link_new(const char *origin)
{
	link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->multi = curl_multi_init();
	link->easy = curl_easy_init();
	snprintf(link->origin, sizeof(link->origin), "%s", origin);
	if (link->multi && link->easy) {
		curl_multi_setopt(link->multi, CURLMOPT_MAXCONNECTS, 1L);
		return link;
	}
	link_free(link);
	return NULL;
}

static link_t *take_idle(upstream_pool_t *pool, const char *origin)
{
	SCOPED_LOCK(lock, &pool->lock);

	for (size_t i = pool->idle_count; i-- > 0;) {
		link_t *link = pool->idle[i];

		if (strcmp(link->origin, origin) != 0)
			continue;
		pool->idle_count--;
		memmove(&pool->idle[i], &pool->idle[i + 1],
			(pool->idle_count - i) * sizeof(void *));
		return link;
	}
	return NULL;
}

/** Puts a link into the pool and returns the one that has to make room. */
static link_t *put_idle(upstream_pool_t *pool, link_t *link)
{
	link_t *oldest = NULL;
	SCOPED_LOCK(lock, &pool->lock);

	if (pool->idle_count == UPSTREAM_IDLE_MAX) {
		oldest = pool->idle[0];
		pool->idle_count--;
		memmove(&pool->idle[0], &pool->idle[1],
			pool->idle_count * sizeof(void *));
	}
	pool->idle[pool->idle_count++] = link;
	return oldest;
}

void upstream_cancel_init(upstream_cancel_t *cancel)
{
	pthread_mutex_init(&cancel->lock, NULL);
	cancel->multi = NULL;
	cancel->reason = 0;
}

void upstream_cancel_destroy(upstream_cancel_t *cancel)
{
	pthread_mutex_destroy(&cancel->lock);
}

void upstream_cancel(upstream_cancel_t *cancel, int reason)
{
	SCOPED_LOCK(lock, &cancel->lock);

	if (!cancel->reason)
		cancel->reason = reason;
	if (cancel->multi)
		curl_multi_wakeup(cancel->multi);
}

void upstream_cancel_clear(upstream_cancel_t *cancel, int reason)
{
	SCOPED_LOCK(lock, &cancel->lock);

	if (cancel->reason == reason)
		cancel->reason = 0;
}

int upstream_cancel_reason(upstream_cancel_t *cancel)
{
	SCOPED_LOCK(lock, &cancel->lock);

	return cancel->reason;
}

static void attach_cancel(const upstream_call_t *call, CURLM *multi)
{
	if (!call->cancel)
		return;
	pthread_mutex_lock(&call->cancel->lock);
	call->cancel->multi = multi;
	pthread_mutex_unlock(&call->cancel->lock);
}

const char *upstream_header(CURL *transfer, const char *name)
{
	struct curl_header *header = NULL;

	if (curl_easy_header(transfer, name, 0, CURLH_HEADER, -1, &header))
		return NULL;
	return header->value;
}

/**
 * Runs right before the first byte. curl repeats a request by itself when an
 * idle connection turns out to be closed; the second call refuses that, as the
 * endpoint may have started the first one.
 */
static int on_before_send(void *context, char *remote, char *local,
			  int remote_port, int local_port)
{
	transfer_t *transfer = context;
	const upstream_call_t *call = transfer->call;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	if (transfer->result->sent) {
		transfer->err = ERR_ENDPOINT_LOST;
		return CURL_PREREQFUNC_ABORT;
	}
	if (call->before_send)
		transfer->err = call->before_send(call->context);
	if (transfer->err < 0)
		return CURL_PREREQFUNC_ABORT;
	transfer->result->sent = true;
	return CURL_PREREQFUNC_OK;
}

static size_t on_header(char *bytes, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;
	const upstream_call_t *call = transfer->call;
	size_t len = size * count;
	long status = 0;

	transfer->result->received = true;
	transfer->last_byte_ms = clock_now_ms();
	if (transfer->has_head || len > 2 || *bytes != '\r')
		return len;
	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200)
		return len;
	transfer->has_head = true;
	transfer->result->status = status;
	if (call->take_head)
		transfer->err =
			call->take_head(call->context, transfer->easy, status);
	return transfer->err < 0 ? 0 : len;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;
	const upstream_call_t *call = transfer->call;
	size_t len = size * count;

	if (call->take_body)
		transfer->err = call->take_body(call->context, bytes, len);
	/* Taken after the callback, which may wait for a slow caller. */
	transfer->last_byte_ms = clock_now_ms();
	return transfer->err < 0 ? CURL_WRITEFUNC_ERROR : len;
}

static void set_method(CURL *easy, const upstream_call_t *call)
{
	if (!strcmp(call->method, "HEAD")) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (call->body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->body_bytes);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static void set_options(upstream_pool_t *pool, transfer_t *transfer,
			const char *url)
{
	const upstream_call_t *call = transfer->call;
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	/* Endpoints are addressed directly, whatever the environment says. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)IDLE_MAX_AGE_S);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 call->fresh_connection ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)call->connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	if (pool->ca_file)
		curl_easy_setopt(easy, CURLOPT_CAINFO, pool->ca_file);
	set_method(easy, call);
}

/** Error that ends a transfer from outside, or 0. */
static int check_limits(const transfer_t *transfer, uint64_t start_ms)
{
	const upstream_call_t *call = transfer->call;
	uint64_t now_ms = clock_now_ms();
	int reason = call->cancel ? upstream_cancel_reason(call->cancel) : 0;

	if (reason)
		return reason;
	if (upstream_peer_gone(call->caller_fd))
		return ERR_CANCELLED;
	if (call->deadline_ms && now_ms >= call->deadline_ms)
		return ERR_DEADLINE;
	if (!transfer->result->received && call->first_byte_timeout_ms &&
	    now_ms - start_ms >= call->first_byte_timeout_ms)
		return ERR_TIMEOUT;
	if (transfer->result->received && call->idle_timeout_ms &&
	    now_ms - transfer->last_byte_ms >= call->idle_timeout_ms)
		return ERR_TIMEOUT;
	return 0;
}

static bool read_end(CURLM *multi, CURLcode *code)
{
	int left;
	CURLMsg *message = curl_multi_info_read(multi, &left);

	if (!message || message->msg != CURLMSG_DONE)
		return false;
	*code = message->data.result;
	return true;
}

static int error_of(CURLcode code, const upstream_result_t *result)
{
	if (code == CURLE_OK)
		return 0;
	return result->sent ? ERR_ENDPOINT_LOST : ERR_CONNECT;
}

/** Drives the transfer and returns the error it ends with. */
static int drive(link_t *link, transfer_t *transfer)
{
	uint64_t start_ms = clock_now_ms();
	int running = 1;

	for (;;) {
		CURLcode code;
		int err;

		if (curl_multi_perform(link->multi, &running))
			return ERR_INTERNAL;
		if (read_end(link->multi, &code))
			return transfer->err < 0
				       ? transfer->err
				       : error_of(code, transfer->result);
		err = check_limits(transfer, start_ms);
		if (err)
			return err;
		curl_multi_poll(link->multi, NULL, 0, CALLER_CHECK_MS, NULL);
	}
}

static bool format_url(const upstream_call_t *call,
		       char origin[UPSTREAM_ORIGIN_MAX_BYTES], char **url)
{
	bool is_ipv6 = strchr(call->address, ':') != NULL;

	snprintf(origin, UPSTREAM_ORIGIN_MAX_BYTES, "%s://%s%s%s:%u",
		 call->tls ? "https" : "http", is_ipv6 ? "[" : "",
		 call->address, is_ipv6 ? "]" : "", (unsigned)call->port);
	return asprintf(url, "%s%s", origin, call->path) >= 0;
}

void upstream_run(upstream_pool_t *pool, const upstream_call_t *call,
		  upstream_result_t *result)
{
	char origin[UPSTREAM_ORIGIN_MAX_BYTES];
	CLEANUP_FREE char *url = NULL;
	transfer_t transfer = { .call = call, .result = result };
	link_t *link = NULL;

	*result = (upstream_result_t){ .err = ERR_NO_MEMORY };
	if (!format_url(call, origin, &url))
		return;
	if (!call->fresh_connection)
		link = take_idle(pool, origin);
	if (!link)
		link = link_new(origin);
	if (!link)
		return;
	transfer.easy = link->easy;
	curl_easy_reset(link->easy);
	set_options(pool, &transfer, url);
	curl_multi_add_handle(link->multi, link->easy);
	attach_cancel(call, link->multi);
	result->err = drive(link, &transfer);
	attach_cancel(call, NULL);
	curl_multi_remove_handle(link->multi, link->easy);
	link_free(result->err ? link : put_idle(pool, link));
}
