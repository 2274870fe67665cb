/**
 * @file
 * JSON encoding of the objects that leases and controllers keep in the object
 * API, and of the messages of the engine order protocol.
 *
 * The encoders return a new reference, or NULL when out of memory. The decoders
 * return 0, or ERR_BAD_JSON if a field is missing or invalid.
 */
#ifndef PROCESS_CONTROLLER_CODEC_H
#define PROCESS_CONTROLLER_CODEC_H

#include <jansson.h>

#include "process/controller.h"
#include "process/lease.h"

/** Value of a lease's record; a missing "era" is 0. */
json_t *lease_record_to_json(const lease_record_t *record);
int lease_record_from_json(const json_t *value, lease_record_t *record);

/** Value of `status/pool/<pool>`. */
json_t *controller_status_to_json(const controller_status_t *status);
int controller_status_from_json(const json_t *value,
				controller_status_t *status);

/** Value of `slots/<weight store>`. */
json_t *controller_slots_to_json(const controller_slots_t *slots);
int controller_slots_from_json(const json_t *value, controller_slots_t *slots);

/** Body of `POST /engine/order`; an empty role is omitted. */
json_t *controller_order_to_request(const controller_order_t *order,
				    uint64_t fencing);

/** Decodes the answer to `GET /engine/state`. */
int controller_engine_state_from_json(const json_t *value,
				      controller_engine_state_t *state);

#endif
