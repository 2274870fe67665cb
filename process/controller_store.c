#include "process/controller_store.h"

#include <stdio.h>

#include "process/cleanup.h"
#include "process/controller_codec.h"
#include "process/error.h"

enum {
	/** Longest object key with its NUL, bytes. */
	KEY_MAX_BYTES = 96,
};

static void make_key(char key[KEY_MAX_BYTES], const char *prefix,
		     const char *name)
{
	snprintf(key, KEY_MAX_BYTES, "%s/%s", prefix, name);
}

/** Writes `value` to the store and releases the reference to it. */
static int write_object(store_client_t *store, store_purpose_t purpose,
			const char *key, json_t *value, uint64_t if_version,
			uint64_t *version)
{
	CLEANUP_JSON json_t *owned = value;

	if (!owned)
		return ERR_STORE_DOWN;
	if (!if_version)
		return store_client_create(store, purpose, key, owned, version);
	return store_client_update(store, purpose, key, owned, if_version,
				   version);
}

lease_event_t controller_store_lease(store_client_t *store, const char *pool,
				     const lease_action_t *action,
				     lease_record_t *record)
{
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	lease_event_t event = { .kind = LEASE_EVENT_WRITTEN,
				.call_id = action->call_id };
	char key[KEY_MAX_BYTES];
	int err;

	make_key(key, "lease/pool", pool);
	if (action->kind == LEASE_ACTION_WRITE) {
		event.written.result = write_object(
			store, STORE_PURPOSE_LEASE, key,
			lease_record_to_json(&action->write.record),
			action->write.if_version, &event.written.version);
		return event;
	}
	err = store_client_get(store, STORE_PURPOSE_LEASE, key, &object);
	if (!err)
		err = lease_record_from_json(object.value, record);
	event.kind = LEASE_EVENT_READ;
	event.read.result = err;
	event.read.version = object.version;
	event.read.record = record;
	return event;
}

controller_event_t controller_store_status(store_client_t *store,
					   const char *pool,
					   const controller_action_t *action,
					   controller_status_t *status)
{
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	controller_event_t event = { .kind = CONTROLLER_EVENT_STATUS,
				     .call_id = action->call_id };
	char key[KEY_MAX_BYTES];
	int err;

	make_key(key, "status/pool", pool);
	if (action->kind == CONTROLLER_ACTION_WRITE_STATUS) {
		event.status.result =
			write_object(store, STORE_PURPOSE_STATUS, key,
				     controller_status_to_json(&action->status),
				     action->if_version, &event.status.version);
		return event;
	}
	err = store_client_get(store, STORE_PURPOSE_STATUS, key, &object);
	if (!err)
		err = controller_status_from_json(object.value, status);
	event.status.result = err;
	event.status.version = object.version;
	event.status.value = status;
	return event;
}

controller_event_t controller_store_slots(store_client_t *store,
					  const char *weight_store,
					  const controller_action_t *action,
					  controller_slots_t *slots)
{
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	controller_event_t event = { .kind = CONTROLLER_EVENT_SLOTS,
				     .call_id = action->call_id };
	char key[KEY_MAX_BYTES];
	int err;

	make_key(key, "slots", weight_store);
	if (action->kind == CONTROLLER_ACTION_WRITE_SLOTS) {
		event.slots.result =
			write_object(store, STORE_PURPOSE_STATUS, key,
				     controller_slots_to_json(&action->slots),
				     action->if_version, &event.slots.version);
		return event;
	}
	err = store_client_get(store, STORE_PURPOSE_STATUS, key, &object);
	if (!err)
		err = controller_slots_from_json(object.value, slots);
	event.slots.result = err;
	event.slots.version = object.version;
	event.slots.value = slots;
	return event;
}
