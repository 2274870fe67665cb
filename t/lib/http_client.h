/**
 * @file
 * HTTP client for tests and stand-ins: blocking calls that return the whole
 * answer, and SSE streams that a background thread reads with arrival times.
 */
#ifndef T_LIB_HTTP_CLIENT_H
#define T_LIB_HTTP_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** An answer; `status` is 0 if none was received. */
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
 * @param headers NULL-terminated array of "Name: value" strings, or NULL
 * @param body NUL-terminated, or NULL for none
 * @return never NULL
 */
http_answer_t *http_call(const char *method, const char *url,
			 const char *const *headers, const char *body);

/**
 * Sets the PEM file of the certificate authorities that later calls trust; NULL
 * selects those of the system.
 */
void http_trust(const char *ca_file);

/** Like http_call(), with a port and path of 127.0.0.1. */
http_answer_t *http_local(const char *method, uint16_t port, const char *path,
			  const char *const *headers, const char *body);

void http_answer_free(http_answer_t *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(http_answer_t, http_answer_free)

/** Returns the value of an answer header to g_free(); NULL if missing. */
char *http_answer_header(const http_answer_t *answer, const char *name);

/**
 * Returns an integer from the JSON answer to a GET on 127.0.0.1.
 * @param member path of object members separated by ' ', as member names may
 *               contain dots and slashes
 * @return the number; 0 if the member is missing; -1 without a JSON answer
 */
int64_t http_local_number(uint16_t port, const char *path, const char *member);

/** One SSE event; missing fields are NULL. */
typedef struct sse_event {
	char *id;
	char *event;
	char *data;
	uint64_t at_ms; /**< Time of arrival; monotonic clock. */
} sse_event_t;

/** A request whose answer is read by a separate thread. */
typedef struct http_stream http_stream_t;

/** Starts a request; arguments as for http_call(). */
http_stream_t *http_stream_open(const char *method, const char *url,
				const char *const *headers, const char *body);

/** Events received so far. */
size_t http_stream_count(http_stream_t *stream);

/** Event `index`, valid until the stream is freed; NULL if not yet received. */
const sse_event_t *http_stream_event(http_stream_t *stream, size_t index);

/** Whether the transfer has ended, with or without success. */
bool http_stream_ended(http_stream_t *stream);

/** Stops or resumes reading, to simulate a slow client. */
void http_stream_pause(http_stream_t *stream, bool paused);

/** Closes the connection before the end of the answer. */
void http_stream_cancel(http_stream_t *stream);

/** Waits for the end; the answer belongs to the stream. */
const http_answer_t *http_stream_wait(http_stream_t *stream);

/** Joins all `delta.content` received so far; g_free() the string. */
char *http_stream_text(http_stream_t *stream);

/** Whether the last event is `[DONE]`. */
bool http_stream_is_done(http_stream_t *stream);

/** Closes the connection if it is open, and frees the stream. */
void http_stream_free(http_stream_t *stream);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(http_stream_t, http_stream_free)

#endif
