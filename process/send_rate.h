/**
 * @file
 * Rate at which this instance sends requests to a service, from which it
 * estimates what other instances have sent since their last heartbeats. Pure
 * logic: no I/O, clock or locks.
 */
#ifndef PROCESS_SEND_RATE_H
#define PROCESS_SEND_RATE_H

#include <stdint.h>

/** Running count with a time constant of 2 s; starts zeroed. */
typedef struct send_rate {
	double recent; /**< Requests, at `updated_ms`. */
	uint64_t updated_ms;
} send_rate_t;

/** Counts a request. */
void send_rate_count(send_rate_t *rate, uint64_t now_ms);

/**
 * Expected requests of the other instances that are not in their loads yet, if
 * they send as many as this one each.
 * @param instances with this one
 * @param age_ms mean age of their loads
 */
double send_rate_unseen(const send_rate_t *rate, uint32_t instances,
			uint32_t age_ms, uint64_t now_ms);

#endif
