#include "process/controller_codec.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

enum {
	/** Buffer for a 64-bit number in decimal with its NUL. */
	NUMBER_TEXT_BYTES = 24,
};

static const char *const kind_names[] = {
	[CONTROLLER_LOAD_MODEL] = "load_model",
	[CONTROLLER_LOAD_ADAPTER] = "load_adapter",
	[CONTROLLER_SET_ROLE] = "set_role",
};

#define KIND_COUNT (sizeof(kind_names) / sizeof(kind_names[0]))

/** Copies a required string field; false if it is missing or too long. */
static bool read_string(const json_t *object, const char *name, char *to,
			size_t size)
{
	const json_t *text = json_object_get(object, name);

	if (!json_is_string(text) || json_string_length(text) >= size)
		return false;
	snprintf(to, size, "%s", json_string_value(text));
	return true;
}

/** Reads a required integer field; false if it is missing or negative. */
static bool read_u64(const json_t *object, const char *name, uint64_t *number)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*number = (uint64_t)json_integer_value(value);
	return true;
}

json_t *lease_record_to_json(const lease_record_t *record)
{
	char nonce[HASH_KEY_HEX_BYTES];
	json_t *era =
		record->era ? json_integer((json_int_t)record->era) : NULL;
	const char *note = record->note[0] ? record->note : NULL;

	/* JSON integers are signed; a nonce uses all 64 bits. */
	hash_key_to_hex(record->nonce, nonce);
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:o*,s:s*}", "holder",
			 record->holder, "successor", record->successor,
			 "nonce", nonce, "fencing", (json_int_t)record->fencing,
			 "write_id", (json_int_t)record->write_id,
			 "duration_ms", (json_int_t)record->duration_ms, "era",
			 era, "note", note);
}

int lease_record_from_json(const json_t *value, lease_record_t *record)
{
	char nonce[HASH_KEY_HEX_BYTES];
	uint64_t duration_ms;

	memset(record, 0, sizeof(*record));
	if (!read_string(value, "holder", record->holder,
			 sizeof(record->holder)) ||
	    !read_string(value, "successor", record->successor,
			 sizeof(record->successor)) ||
	    !read_string(value, "nonce", nonce, sizeof(nonce)) ||
	    hash_key_from_hex(nonce, &record->nonce) ||
	    !read_u64(value, "fencing", &record->fencing) ||
	    !read_u64(value, "write_id", &record->write_id) ||
	    !read_u64(value, "duration_ms", &duration_ms) ||
	    duration_ms > UINT32_MAX)
		return ERR_BAD_JSON;
	if (json_object_get(value, "era") &&
	    !read_u64(value, "era", &record->era))
		return ERR_BAD_JSON;
	if (json_object_get(value, "note") &&
	    !read_string(value, "note", record->note, sizeof(record->note)))
		return ERR_BAD_JSON;
	record->duration_ms = (uint32_t)duration_ms;
	return 0;
}

static json_t *order_to_json(const controller_order_t *order)
{
	const controller_engine_config_t *target = &order->target;

	return json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:s}", "id",
			 (json_int_t)order->id, "kind", kind_names[order->kind],
			 "engine", order->engine, "model", target->model,
			 "version", target->version, "adapter", target->adapter,
			 "role", target->role);
}

static bool read_order_kind(const json_t *value, controller_order_kind_t *kind)
{
	const char *name = json_string_value(json_object_get(value, "kind"));

	for (size_t i = 0; name && i < KIND_COUNT; i++) {
		if (!strcmp(kind_names[i], name)) {
			*kind = (controller_order_kind_t)i;
			return true;
		}
	}
	return false;
}

static bool read_engine_config(const json_t *value,
			       controller_engine_config_t *config)
{
	return read_string(value, "model", config->model,
			   sizeof(config->model)) &&
	       read_string(value, "version", config->version,
			   sizeof(config->version)) &&
	       read_string(value, "adapter", config->adapter,
			   sizeof(config->adapter)) &&
	       read_string(value, "role", config->role, sizeof(config->role));
}

static bool read_order(const json_t *value, controller_order_t *order)
{
	return read_u64(value, "id", &order->id) &&
	       read_order_kind(value, &order->kind) &&
	       read_string(value, "engine", order->engine,
			   sizeof(order->engine)) &&
	       read_engine_config(value, &order->target);
}

json_t *controller_status_to_json(const controller_status_t *status)
{
	json_t *open = json_array();

	for (size_t i = 0; i < status->open_count; i++)
		json_array_append_new(open, order_to_json(&status->open[i]));
	return json_pack("{s:I,s:I,s:o}", "fencing",
			 (json_int_t)status->fencing, "next_id",
			 (json_int_t)status->next_id, "open", open);
}

int controller_status_from_json(const json_t *value,
				controller_status_t *status)
{
	const json_t *open = json_object_get(value, "open");
	size_t i;
	const json_t *order;

	memset(status, 0, sizeof(*status));
	if (!read_u64(value, "fencing", &status->fencing) ||
	    !read_u64(value, "next_id", &status->next_id) ||
	    !json_is_array(open) ||
	    json_array_size(open) > CONTROLLER_OPEN_ORDERS_MAX)
		return ERR_BAD_JSON;
	json_array_foreach (open, i, order) {
		if (!read_order(order, &status->open[i]))
			return ERR_BAD_JSON;
	}
	status->open_count = json_array_size(open);
	return 0;
}

json_t *controller_slots_to_json(const controller_slots_t *slots)
{
	json_t *loads = json_array();

	for (size_t i = 0; i < slots->count; i++)
		json_array_append_new(
			loads, json_pack("{s:s,s:I}", "pool",
					 slots->items[i].pool, "order_id",
					 (json_int_t)slots->items[i].order_id));
	return json_pack("{s:o}", "loads", loads);
}

int controller_slots_from_json(const json_t *value, controller_slots_t *slots)
{
	const json_t *loads = json_object_get(value, "loads");
	size_t i;
	const json_t *load;

	memset(slots, 0, sizeof(*slots));
	if (!json_is_array(loads) ||
	    json_array_size(loads) > CONTROLLER_LOADS_MAX)
		return ERR_BAD_JSON;
	json_array_foreach (loads, i, load) {
		if (!read_string(load, "pool", slots->items[i].pool,
				 sizeof(slots->items[i].pool)) ||
		    !read_u64(load, "order_id", &slots->items[i].order_id))
			return ERR_BAD_JSON;
	}
	slots->count = json_array_size(loads);
	return 0;
}

json_t *controller_order_to_request(const controller_order_t *order,
				    uint64_t fencing)
{
	const controller_engine_config_t *target = &order->target;
	char id[NUMBER_TEXT_BYTES];
	json_t *request;

	snprintf(id, sizeof(id), "%" PRIu64, order->id);
	request = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I}", "order_id", id, "kind",
			    kind_names[order->kind], "model", target->model,
			    "version", target->version, "adapter",
			    target->adapter, "fencing", (json_int_t)fencing);
	if (request && target->role[0])
		json_object_set_new(request, "role", json_string(target->role));
	return request;
}

/** Parses the id of a controller's order; 0 for any other text. */
static uint64_t parse_order_id(const char *text)
{
	char *end;
	uint64_t id = strtoull(text, &end, 10);

	return *text >= '0' && *text <= '9' && !*end ? id : 0;
}

int controller_engine_state_from_json(const json_t *value,
				      controller_engine_state_t *state)
{
	char order_id[CONTROLLER_ID_MAX_BYTES];

	memset(state, 0, sizeof(*state));
	if (!read_u64(value, "incarnation", &state->incarnation) ||
	    !read_string(value, "last_order_id", order_id, sizeof(order_id)) ||
	    !read_engine_config(value, &state->loaded))
		return ERR_BAD_JSON;
	state->last_order_id = parse_order_id(order_id);
	return 0;
}
