/**
 * @file
 * Which instances may use an endpoint that fails if it has to refuse more than
 * some requests a second for want of room. Pure logic: no I/O, clock or locks.
 *
 * Instances know each other's load only as of the last heartbeats. So the slots
 * are divided: as many instances as the endpoint withstands refusals have a
 * share in them, others at other endpoints. With at most one refusal of each a
 * second the limit holds even if something else takes the slots. More instances
 * have a share if some would have none in the service.
 */
#ifndef PROCESS_REFUSAL_LIMIT_H
#define PROCESS_REFUSAL_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "process/instance_place.h"

enum {
	/** After a refusal the instance sends nothing for this long, ms: the
	 * period in which refusals are counted. */
	REFUSAL_PAUSE_MS = 1000,
	/** Time in which a refusal arrives, ms: until then nothing else is
	 * sent, unless all requests have ended. */
	REFUSAL_ARRIVES_MS = 30,
	/** A limit that no answer repeats ends after this time, ms. */
	REFUSAL_LIMIT_HOLD_MS = 5000,
};

/** An endpoint, as one instance knows it. */
typedef struct refusal_room {
	uint32_t refusals_max; /**< That it withstands in a second. */
	uint32_t slots;	       /**< Requests it runs at once; 0: not stated. */
	uint32_t own_running;
	uint32_t peer_running; /**< Of all other instances. */
	uint32_t rank;	       /**< Position in the list of its service. */
	uint32_t endpoints;    /**< In that list. */
	uint64_t sent_ms;      /**< Monotonic time of the last own request. */
} refusal_room_t;

/**
 * Whether the instance may send a request now.
 * @param now_ms monotonic time
 */
bool refusal_limit_allows(const refusal_room_t *room,
			  const instance_place_t *place, uint64_t now_ms);

#endif
