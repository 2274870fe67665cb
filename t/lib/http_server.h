/**
 * @file
 * Server code shared by the stand-ins: CivetWeb with a table of routes.
 */
#ifndef T_LIB_HTTP_SERVER_H
#define T_LIB_HTTP_SERVER_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/settings.h"

/** One request; everything it refers to is released after the handler. */
typedef struct http_request {
	struct mg_connection *conn;
	const char *method;
	const char *path; /**< Decoded, without the query. */
	char *body;	  /**< Whole body with a terminating NUL. */
	size_t body_len;
	json_t *json; /**< The body; NULL if it is not JSON. */
} http_request_t;

typedef void (*http_handler_t)(http_request_t *request);

/** The first matching row of a table handles a request. */
typedef struct http_route {
	const char *method;	/**< NULL matches every method. */
	const char *path;	/**< A trailing '*' matches any rest. */
	http_handler_t handler; /**< NULL in the last row. */
} http_route_t;

typedef struct http_server {
	const http_route_t *routes;
	/** Starts threads of the program; NULL if there are none. */
	void (*start)(void);
	/** Makes waiting handlers and threads return; NULL for none. */
	void (*stop)(void);
	const char *port_label; /**< Printed as `label=port`. */
	uint32_t port;		/**< 0 for a free one. */
	uint32_t threads;	/**< One for each open connection. */
} http_server_t;

/** Rows for a program's settings table. */
#define SETTING_ENTRY(name, kind, target, preset, help, low, high)  \
	{                                                           \
		.flag = (name), .type = (kind), .value = &(target), \
		.fallback = (preset), .text = (help), .min = (low), \
		.max = (high)                                       \
	}
#define NUMBER_ENTRY(name, target, preset, help) \
	SETTING_ENTRY(name, SETTING_NUMBER, target, preset, help, 0, UINT32_MAX)
#define REAL_ENTRY(name, target, preset, help) \
	SETTING_ENTRY(name, SETTING_REAL, target, preset, help, 0, 1e6)
#define TEXT_ENTRY(name, target, preset, help) \
	SETTING_ENTRY(name, SETTING_TEXT, target, preset, help, 0, 0)
#define SWITCH_ENTRY(name, target, help) \
	SETTING_ENTRY(name, SETTING_SWITCH, target, NULL, help, 0, 0)
#define SERVER_ENTRIES(server, port_flag, threads_preset)                   \
	SETTING_ENTRY(port_flag, SETTING_NUMBER, (server).port, "0",        \
		      "loopback port; 0 picks a free one and prints it", 0, \
		      65535),                                               \
		SETTING_ENTRY("threads", SETTING_NUMBER, (server).threads,  \
			      threads_preset, "open connections", 4, 4096)

/**
 * Reads the settings, serves until SIGTERM or SIGINT, and stops cleanly.
 * @return exit status of the program
 */
int http_server_main(int argc, char **argv, const setting_t *settings,
		     http_server_t *server);

/** Request header, or `fallback` if it is missing. */
const char *http_header(const http_request_t *request, const char *name,
			const char *fallback);

/** Copies a query variable; empty if it is missing. */
void http_query(const http_request_t *request, const char *name, char *value,
		size_t size);

/** Query variable as a number, or `fallback`. */
uint64_t http_query_number(const http_request_t *request, const char *name,
			   uint64_t fallback);

/**
 * Sends a JSON answer.
 * @param headers complete header lines with their line ends, or ""
 * @param value reference that the call takes over
 */
void http_send_json(http_request_t *request, int status, const char *headers,
		    json_t *value);

/** Sends 200 with `{}`. */
void http_send_ok(http_request_t *request);

/** Sends `{"error":text}`. */
void http_send_error(http_request_t *request, int status, const char *headers,
		     const char *text);

/** Starts a chunked answer; returns whether the connection still works. */
bool http_start_chunks(http_request_t *request, const char *headers);

/** Sends one chunk in one write; `len` 0 ends the answer. */
bool http_send_chunk(http_request_t *request, const char *data, size_t len);

/** Closes the connection after the handler, whatever was sent. */
void http_close(http_request_t *request);

/** Text in the JSON body, or `fallback`. */
const char *http_body_text(const http_request_t *request, const char *name,
			   const char *fallback);

/** Integer or boolean (0 or 1) in the JSON body, or `fallback`. */
uint64_t http_body_number(const http_request_t *request, const char *name,
			  uint64_t fallback);

/** Replaces `*value` if the JSON body has the member. */
void http_update_number(const http_request_t *request, const char *name,
			uint64_t *value);

/** Adds to a counter kept as a member of a JSON object. */
void json_counter_add(json_t *counters, const char *name, int64_t amount);

#endif
