/**
 * @file
 * Planned stop: decides which requests an instance still takes after it was
 * asked to stop, so that it can answer all of them before its process ends.
 * Pure logic: no I/O, clock or signals.
 *
 * New requests arrive until the load balancer and all clients have noticed the
 * stop. A request is taken if it has to be answered before the limit of the
 * stop. For a short time after the start of the stop, others are taken too:
 * most requests end long before their deadlines.
 */
#ifndef PROCESS_PLANNED_STOP_H
#define PROCESS_PLANNED_STOP_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** How long new connections arrive after the start, ms: the load
	 * balancer probes once a second and removes an instance after the
	 * second failed probe. */
	PLANNED_STOP_ARRIVALS_MS = 2700,
	/** The limit lies this long before the process is killed, ms: last
	 * answers are sent, the lease and the membership are given back. */
	PLANNED_STOP_MARGIN_MS = 700,
	/** Time after the limit in which answers may leave the process, ms:
	 * some round trips between failure domains and one lost packet. */
	PLANNED_STOP_FLUSH_MS = 350,
	/** Part of the time until the limit in which requests with later
	 * deadlines are taken, percent; the rest is for finishing them. */
	PLANNED_STOP_ARRIVALS_PERCENT = 40,
};

/** Times are monotonic. */
typedef struct planned_stop {
	uint64_t started_ms; /**< 0: not stopping. */
	uint64_t limit_ms;   /**< All requests end before it. */
} planned_stop_t;

/** @param grace_ms time until the process is killed */
void planned_stop_begin(planned_stop_t *stop, uint64_t grace_ms,
			uint64_t now_ms);

static inline bool planned_stop_has_begun(const planned_stop_t *stop)
{
	return stop->started_ms != 0;
}

/** Whether the time has passed in which new connections are expected. */
bool planned_stop_arrivals_over(const planned_stop_t *stop, uint64_t now_ms);

/** What is left to do for clients. */
typedef struct planned_stop_work {
	uint32_t requests;     /**< In progress. */
	uint32_t connections;  /**< Open ones. */
	uint64_t unsent_bytes; /**< Of answers, still in the process. */
} planned_stop_work_t;

/** Whether no new request is read any more. */
bool planned_stop_limit_reached(const planned_stop_t *stop, uint64_t now_ms);

/** Whether the process can end: nothing is left, or the time is up. */
bool planned_stop_is_over(const planned_stop_t *stop,
			  const planned_stop_work_t *work, uint64_t now_ms);

/** Whether a request is taken that must be answered before `deadline_ms`. */
bool planned_stop_takes(const planned_stop_t *stop, uint64_t deadline_ms,
			uint64_t now_ms);

/** The earlier one of a request's deadline and the limit of the stop. */
uint64_t planned_stop_cap(const planned_stop_t *stop, uint64_t deadline_ms);

#endif
