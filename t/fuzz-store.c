/*
 * Fuzzes the parsers for values of the object API and configuration answers of
 * peers: head, snapshot, delta, order record. Guards against accepting a value
 * that differs after a round trip, and against a refused answer that changes
 * the current state.
 */
#include <string.h>

#include "process/cleanup.h"
#include "request/order_record.h"
#include "t/lib/fuzz.h"
#include "version/config_sync.h"

static void check_head(const json_t *value)
{
	CLEANUP_JSON json_t *serialized = NULL;
	CLEANUP_JSON json_t *reserialized = NULL;
	ticket_head_t head;
	ticket_head_t reparsed;

	if (ticket_head_from_json(value, &head)) {
		FUZZ_CHECK(!head.log);
		return;
	}
	serialized = ticket_head_to_json(&head);
	FUZZ_CHECK(!ticket_head_from_json(serialized, &reparsed));
	reserialized = ticket_head_to_json(&reparsed);
	FUZZ_CHECK(json_equal(serialized, reserialized));
	ticket_head_free(&head);
	ticket_head_free(&reparsed);
}

static void check_numbers(const ticket_state_t *state)
{
	const char *key;
	json_t *value;

	json_object_foreach (state->numbers, key, value)
		FUZZ_CHECK(json_integer_value(value) > 0);
	json_object_foreach (state->objects, key, value)
		FUZZ_CHECK(json_object_get(state->numbers, key));
}

static void check_apply(const json_t *answer)
{
	CLEANUP_JSON json_t *contents = json_array();
	CLEANUP_JSON json_t *before = NULL;
	CLEANUP_JSON json_t *after = NULL;
	CLEANUP_JSON json_t *ticket =
		json_loads("{\"ticket\":5,\"objects\":{\"model/m\":{}}}", 0, 0);
	ticket_state_t state;
	int err;

	FUZZ_CHECK(!ticket_state_init(&state));
	FUZZ_CHECK(!ticket_state_apply(&state, 1, ticket));
	after = ticket_state_to_json(&state);
	before = json_deep_copy(after);
	json_decref(after);
	err = config_sync_apply(&state, answer, contents);
	after = ticket_state_to_json(&state);
	FUZZ_CHECK(!err || json_equal(before, after));
	FUZZ_CHECK(!err || !json_array_size(contents));
	FUZZ_CHECK(err || state.position > 1);
	check_numbers(&state);
	ticket_state_free(&state);
}

static void check_record(const json_t *value)
{
	CLEANUP_JSON json_t *serialized = NULL;
	CLEANUP_JSON json_t *reserialized = NULL;
	parsed_order_record_t parsed;
	parsed_order_record_t reparsed;

	if (order_record_from_json(value, &parsed)) {
		FUZZ_CHECK(!parsed.body);
		return;
	}
	serialized = order_record_to_json(&parsed.record);
	FUZZ_CHECK(!order_record_from_json(serialized, &reparsed));
	reserialized = order_record_to_json(&reparsed.record);
	FUZZ_CHECK(json_equal(serialized, reserialized));
	order_record_free(&parsed);
	order_record_free(&reparsed);
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	/* Jansson's hash seed is random by default, so runs would differ. */
	json_object_seed(1);
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	CLEANUP_JSON json_t *value =
		json_loadb((const char *)data, size, JSON_DECODE_ANY, NULL);

	if (!value)
		return 0;
	check_head(value);
	check_apply(value);
	check_record(value);
	return 0;
}
