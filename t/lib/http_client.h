/**
 * @file
 * HTTP client for tests and stand-ins: whole answers, and SSE streams that are
 * collected in the background with arrival times.
 */
#ifndef T_LIB_HTTP_CLIENT_H
#define T_LIB_HTTP_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** An answer; `status` is 0 if none came. */
typedef struct http_answer {
	int curl_result; /**< CURLcode; 0 if the answer is complete. */
	long status;
	char *headers; /**< Header lines as received. */
	char *body;    /**< With a terminating NUL. */
	size_t body_len;
	json_t *json; /**< The body; NULL if it is not JSON. */
} http_answer_t;

/**
 * Sends a request and waits for the whole answer.
 * @param headers NULL-terminated "Name: value" texts, or NULL
 * @param body NUL-terminated, or NULL for none
 * @return never NULL
 */
http_answer_t *http_call(const char *method, const char *url,
			 const char *const *headers, const char *body);

/** PEM file with the authorities trusted from now on; NULL: the system's. */
void http_trust(const char *ca_file);

/** Same on 127.0.0.1 with a port and a path. */
http_answer_t *http_local(const char *method, uint16_t port, const char *path,
			  const char *const *headers, const char *body);

void http_answer_free(http_answer_t *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(http_answer_t, http_answer_free)

/** Value of an answer header; NULL if missing; to g_free(). */
char *http_answer_header(const http_answer_t *answer, const char *name);

/**
 * Integer in the JSON answer to a GET.
 * @param member path of object members separated by ' ', as member names may
 *               hold dots and slashes
 * @return the number; 0 if the member is missing; -1 without a JSON answer
 */
int64_t http_local_number(uint16_t port, const char *path, const char *member);

/** One SSE event; missing fields are NULL. */
typedef struct sse_event {
	char *id;
	char *event;
	char *data;
	uint64_t at_ms; /**< Arrival on the monotonic clock. */
} sse_event_t;

/** A transfer that runs in a thread of its own. */
typedef struct http_stream http_stream_t;

/** Starts a request; arguments as for http_call(). */
http_stream_t *http_stream_open(const char *method, const char *url,
				const char *const *headers, const char *body);

/** Events received so far. */
size_t http_stream_count(http_stream_t *stream);

/** Event `index`, valid until the stream is freed; NULL if not received. */
const sse_event_t *http_stream_event(http_stream_t *stream, size_t index);

/** Whether the transfer has ended, with or without success. */
bool http_stream_ended(http_stream_t *stream);

/** Stops or continues to read, as a slow caller does. */
void http_stream_pause(http_stream_t *stream, bool paused);

/** Cuts the connection. */
void http_stream_cancel(http_stream_t *stream);

/** Waits for the end; the answer belongs to the stream. */
const http_answer_t *http_stream_wait(http_stream_t *stream);

/** Text of all `delta.content` received so far; to g_free(). */
char *http_stream_text(http_stream_t *stream);

/** Whether the last event is `[DONE]`. */
bool http_stream_is_done(http_stream_t *stream);

/** Cuts the connection if it is open and releases everything. */
void http_stream_free(http_stream_t *stream);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(http_stream_t, http_stream_free)

#endif
