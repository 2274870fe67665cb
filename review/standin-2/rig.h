/**
 * @file
 * Rig of the second review: a platform's store, servers and clients in one
 * process, and gateways as separate processes that are started with the command
 * and the settings template of the deploy file. All addresses are loopback
 * addresses.
 */
#ifndef REVIEW_STANDIN_2_RIG_H
#define REVIEW_STANDIN_2_RIG_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	RIG_GATEWAYS_MAX = 4,
	RIG_RULE_HELD = 0,
	RIG_RULE_BROKEN = 1,
	RIG_CANNOT_RUN = 2,
};

/** One request as a server has received it. */
typedef struct rig_request {
	int fd;
	char *head; /**< Ends with the empty line. */
	char *body;
	size_t body_len;
	int number; /**< Of its connection, from 0. */
} rig_request_t;

typedef enum rig_next { RIG_KEEP, RIG_CLOSE, RIG_RESET } rig_next_t;

struct rig_server;
typedef rig_next_t rig_handler_t(struct rig_server *server,
				 const rig_request_t *request);

/** A server of a service. */
typedef struct rig_server {
	const char *service;
	char id[32];
	const char *zone;
	bool engine;
	int weights; /**< Of an engine. */
	int seq;     /**< Orders that it has accepted. */
	int work_ms;
	int entries;
	uint64_t born;
	uint16_t port;
	struct listener *listener;
	/** Called for each request that is not refused; NULL: answers it. */
	rig_handler_t *handler;
	void *context;
	_Atomic int arrivals; /**< Requests of clients that it ran. */
} rig_server_t;

/**
 * Opens record.txt and sets the limit for the whole run.
 * @param trouble "0" leaves the disruption out
 */
void rig_begin(const char *folder, const char *trouble);
/** Whether the disruption is to be made. */
bool rig_trouble(void);
/** Ends all processes, and this one with the status. */
void rig_end(int status) __attribute__((noreturn));
/** Ends the run with status 2. */
void rig_fail(const char *format, ...)
	__attribute__((noreturn, format(printf, 1, 2)));
/** Adds a line with the time to record.txt. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

uint64_t rig_now_ms(void);
void rig_sleep_ms(uint64_t ms);

/* The store. */

void rig_store_start(void);
/** Writes an object; takes ownership of `spec`. */
void rig_store_put(const char *kind, const char *name, json_t *spec);
void rig_store_remove(const char *kind, const char *name);
/** New reference to the `spec` of an object; NULL if there is none. */
json_t *rig_store_get(const char *kind, const char *name);
/** Route of the desired state. */
json_t *rig_route(const char *name, const char *kind, const char *service,
		  int timeout_ms, int attempts_max, bool resumable);
/** Writes the desired state with these routes and one customer. */
void rig_put_desired(int version, json_t *routes);

/* Servers. */

void rig_server_start(rig_server_t *server);
/** Ends the process of the server: its connections break, its entry goes. */
void rig_server_end(rig_server_t *server);
void rig_server_put_entry(rig_server_t *server, const char *state);
/** Value of a header; free() it. NULL if absent. */
char *rig_header(const char *head, const char *name);
void rig_send(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Gateways. */

/** Starts a gateway on 127.0.0.(2 + index). */
void rig_gateway_start(int index, const char *zone);
pid_t rig_gateway_pid(int index);
/** The end of a gateway that was killed; it can be started again. */
void rig_gateway_kill(int index);
bool rig_gateway_running(int index);
bool rig_gateway_ready(int index);
void rig_wait_ready(int index);

/* Clients. */

/** An answer as a client has received it. */
typedef struct rig_answer {
	int status;   /**< 0: no complete head. */
	bool whole;   /**< The head and the whole body were received. */
	bool closed;  /**< The connection ended; else the time was up. */
	char *text;   /**< All bytes. */
	size_t len;
	uint64_t ms;  /**< Duration. */
} rig_answer_t;

int rig_connect(int gateway);
/** Sends a request on a connection and reads the answer. */
rig_answer_t rig_call_on(int fd, const char *request, int limit_ms);
rig_answer_t rig_call(int gateway, const char *request, int limit_ms);
void rig_answer_free(rig_answer_t *answer);

#endif
