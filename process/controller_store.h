/**
 * @file
 * Performs the store actions of leases and controllers on the objects
 * `lease/pool/<pool>`, `status/pool/<pool>` and `slots/<weight store>`.
 *
 * Each function makes one call and returns its result as an event. A value
 * that cannot be decoded gives ERR_BAD_JSON, which is treated as a failed call.
 */
#ifndef PROCESS_CONTROLLER_STORE_H
#define PROCESS_CONTROLLER_STORE_H

#include "process/controller.h"
#include "process/lease.h"
#include "process/store_client.h"

/** @param record receives the value of a read; the event refers to it */
lease_event_t controller_store_lease(store_client_t *store, const char *pool,
				     const lease_action_t *action,
				     lease_record_t *record);

/** @param status receives the value of a read; the event refers to it */
controller_event_t controller_store_status(store_client_t *store,
					   const char *pool,
					   const controller_action_t *action,
					   controller_status_t *status);

/** @param slots receives the value of a read; the event refers to it */
controller_event_t controller_store_slots(store_client_t *store,
					  const char *weight_store,
					  const controller_action_t *action,
					  controller_slots_t *slots);

#endif
