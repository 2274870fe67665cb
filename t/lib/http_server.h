/**
 * @file
 * HTTP server shared by the stand-ins: CivetWeb with a table of routes.
 */
#ifndef T_LIB_HTTP_SERVER_H
#define T_LIB_HTTP_SERVER_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/settings.h"

/** One request; everything it refers to is freed after the handler. */
typedef struct http_request {
	struct mg_connection *conn;
	const char *method;
	const char *path; /**< Decoded, without the query. */
	char *body;	  /**< Complete, with a terminating NUL. */
	size_t body_len;
	json_t *json; /**< The body; NULL if it is not JSON. */
} http_request_t;

typedef void (*http_handler_t)(http_request_t *request);

/** Entry of a table; the first one that matches a request handles it. */
typedef struct http_route {
	const char *method;	/**< NULL matches every method. */
	const char *path;	/**< A trailing '*' matches any suffix. */
	http_handler_t handler; /**< NULL in the last entry. */
} http_route_t;

typedef struct http_server {
	const http_route_t *routes;
	/** Called before the server listens; may be NULL. */
	void (*start)(void);
	/** Makes waiting handlers and threads return; may be NULL. */
	void (*stop)(void);
	const char *port_label; /**< Printed as `label=port`; NULL: "port". */
	uint32_t port;		/**< 0 selects a free one. */
	uint32_t threads;	/**< One for each open connection. */
} http_server_t;

/* Entries of a program's settings table. */
#define SETTING_ENTRY(name, kind, target, default_text, help, low, high)  \
	{                                                                 \
		.flag = (name), .type = (kind), .value = &(target),       \
		.fallback = (default_text), .text = (help), .min = (low), \
		.max = (high)                                             \
	}
#define NUMBER_ENTRY(name, target, default_text, help)                     \
	SETTING_ENTRY(name, SETTING_NUMBER, target, default_text, help, 0, \
		      UINT32_MAX)
#define REAL_ENTRY(name, target, default_text, help) \
	SETTING_ENTRY(name, SETTING_REAL, target, default_text, help, 0, 1e6)
#define TEXT_ENTRY(name, target, default_text, help) \
	SETTING_ENTRY(name, SETTING_TEXT, target, default_text, help, 0, 0)
#define SWITCH_ENTRY(name, target, help) \
	SETTING_ENTRY(name, SETTING_SWITCH, target, NULL, help, 0, 0)
#define SERVER_ENTRIES(server, port_flag, threads_default)                  \
	SETTING_ENTRY(port_flag, SETTING_NUMBER, (server).port, "0",        \
		      "loopback port; 0 picks a free one and prints it", 0, \
		      65535),                                               \
		SETTING_ENTRY("threads", SETTING_NUMBER, (server).threads,  \
			      threads_default, "open connections", 4, 4096)

/**
 * Reads the settings, serves until SIGTERM or SIGINT, and stops cleanly.
 * @return exit status of the program
 */
int http_server_main(int argc, char **argv, const setting_t *settings,
		     http_server_t *server);

/** Returns a request header, or `fallback` if it is missing. */
const char *http_header(const http_request_t *request, const char *name,
			const char *fallback);

/** Copies a query parameter; an empty string if it is missing. */
void http_query(const http_request_t *request, const char *name, char *value,
		size_t size);

/** Returns a query parameter as a number, or `fallback` if it is missing. */
uint64_t http_query_number(const http_request_t *request, const char *name,
			   uint64_t fallback);

/**
 * Sends a JSON answer.
 * @param headers complete header lines with CRLF, or ""
 * @param value the call takes ownership of this reference
 */
void http_send_json(http_request_t *request, int status, const char *headers,
		    json_t *value);

/** Sends 200 with `{}`. */
void http_send_ok(http_request_t *request);

/** Sends `{"error":text}`. */
void http_send_error(http_request_t *request, int status, const char *headers,
		     const char *text);

/** Starts a chunked answer with status 200; returns false if it failed. */
bool http_start_chunks(http_request_t *request, const char *headers);

/** Sends a chunk in one write; `len` 0 ends the answer. False if it failed. */
bool http_send_chunk(http_request_t *request, const char *data, size_t len);

/** Closes the connection when the handler returns, whatever was sent. */
void http_close(http_request_t *request);

/** Returns a string member of the JSON body, or `fallback` if it has none. */
const char *http_body_text(const http_request_t *request, const char *name,
			   const char *fallback);

/**
 * Returns an integer member, or a boolean one as 0 or 1, of the JSON body, or
 * `fallback` if it has none.
 */
uint64_t http_body_number(const http_request_t *request, const char *name,
			  uint64_t fallback);

/** Sets `*value` as http_body_number() if the JSON body has the member. */
void http_update_number(const http_request_t *request, const char *name,
			uint64_t *value);

/** Adds to a counter that is a member of a JSON object. */
void json_counter_add(json_t *counters, const char *name, int64_t amount);

#endif
