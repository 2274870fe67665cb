#include "request/order_record.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"

static const char *const state_names[] = {
	[ORDER_STATE_OPEN] = "open",
	[ORDER_STATE_DONE] = "done",
	[ORDER_STATE_UNKNOWN] = "unknown",
	[ORDER_STATE_NOT_RUN] = "not_run",
};

#define STATE_COUNT (sizeof(state_names) / sizeof(state_names[0]))

/** Base64, because a body may contain bytes that JSON strings cannot. */
static json_t *encode_body(const order_answer_t *answer)
{
	size_t size = sodium_base64_encoded_len(answer->body_bytes,
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);
	json_t *value;

	if (!text)
		return NULL;
	sodium_bin2base64(text, size, (const unsigned char *)answer->body,
			  answer->body ? answer->body_bytes : 0,
			  sodium_base64_VARIANT_ORIGINAL);
	value = json_string(text);
	free(text);
	return value;
}

static json_t *answer_to_json(const order_answer_t *answer)
{
	return json_pack("{s:i,s:s,s:o,s:b}", "status", answer->http_status,
			 "headers", answer->headers, "body_base64",
			 encode_body(answer), "body_omitted",
			 answer->body_omitted);
}

static json_t *endpoints_to_json(const order_record_t *record)
{
	json_t *names = json_array();

	for (size_t i = 0; i < record->endpoint_count; i++)
		json_array_append_new(names, json_string(record->endpoints[i]));
	return names;
}

json_t *order_record_to_json(const order_record_t *record)
{
	char nonce[HASH_KEY_HEX_BYTES];
	json_t *value;

	/* Hex, because JSON integers are signed and a nonce uses 64 bits. */
	hash_key_to_hex(record->nonce, nonce);
	value = json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:I,s:s,s:s,s:o,s:b}", "state",
		state_names[record->state], "nonce", nonce, "claim_fencing",
		(json_int_t)record->claim_fencing, "fencing",
		(json_int_t)record->fencing, "created_unix_ms",
		(json_int_t)record->created_unix_ms, "deadline_unix_ms",
		(json_int_t)record->created_unix_ms + record->valid_ms,
		"digest", record->digest, "owner", record->owner, "endpoints",
		endpoints_to_json(record), "provable", record->provable);
	if (value && record->state == ORDER_STATE_DONE && record->answer &&
	    json_object_set_new(value, "answer",
				answer_to_json(record->answer))) {
		json_decref(value);
		return NULL;
	}
	return value;
}

static bool copy_text(const json_t *text, char *to, size_t size)
{
	if (!json_is_string(text) || json_string_length(text) >= size)
		return false;
	snprintf(to, size, "%s", json_string_value(text));
	return true;
}

static bool parse_state(const char *name, order_state_t *state)
{
	for (size_t i = 0; i < STATE_COUNT; i++) {
		if (!strcmp(state_names[i], name)) {
			*state = (order_state_t)i;
			return true;
		}
	}
	return false;
}

static bool parse_endpoints(const json_t *names, order_record_t *record)
{
	size_t count = json_array_size(names);

	if (!json_is_array(names) || count > ORDER_ENDPOINTS_MAX)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (!copy_text(json_array_get(names, i), record->endpoints[i],
			       ORDER_ID_MAX_BYTES))
			return false;
	}
	record->endpoint_count = (uint8_t)count;
	return true;
}

static int decode_body(const json_t *text, parsed_order_record_t *parsed)
{
	size_t len = json_string_length(text);
	size_t size = len / 4 * 3 + 1;

	if (!json_is_string(text))
		return ERR_BAD_JSON;
	parsed->body = malloc(size);
	if (!parsed->body)
		return ERR_NO_MEMORY;
	if (sodium_base642bin((unsigned char *)parsed->body, size,
			      json_string_value(text), len, NULL,
			      &parsed->answer.body_bytes, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return ERR_BAD_JSON;
	parsed->answer.body = parsed->body;
	return 0;
}

static int parse_answer(const json_t *answer, parsed_order_record_t *parsed)
{
	json_int_t status =
		json_integer_value(json_object_get(answer, "status"));

	if (status < 100 || status > 999 ||
	    !copy_text(json_object_get(answer, "headers"),
		       parsed->answer.headers, sizeof(parsed->answer.headers)))
		return ERR_BAD_JSON;
	parsed->answer.http_status = (uint16_t)status;
	parsed->answer.body_omitted =
		json_is_true(json_object_get(answer, "body_omitted"));
	parsed->record.answer = &parsed->answer;
	return decode_body(json_object_get(answer, "body_base64"), parsed);
}

static bool parse_fields(const json_t *value, order_record_t *record)
{
	json_int_t claim_fencing;
	json_int_t fencing;
	json_int_t created;
	json_int_t deadline;
	json_int_t valid;
	const char *state;
	const char *nonce;
	int provable;

	if (json_unpack((json_t *)value, "{s:s,s:s,s:I,s:I,s:I,s:I,s:b}",
			"state", &state, "nonce", &nonce, "claim_fencing",
			&claim_fencing, "fencing", &fencing, "created_unix_ms",
			&created, "deadline_unix_ms", &deadline, "provable",
			&provable) ||
	    !parse_state(state, &record->state) ||
	    hash_key_from_hex(nonce, &record->nonce) || claim_fencing < 0 ||
	    fencing < 0 || __builtin_sub_overflow(deadline, created, &valid) ||
	    valid < 0 || valid > UINT32_MAX)
		return false;
	record->claim_fencing = (uint64_t)claim_fencing;
	record->fencing = (uint64_t)fencing;
	record->created_unix_ms = created;
	record->valid_ms = (uint32_t)valid;
	record->provable = provable;
	return copy_text(json_object_get(value, "digest"), record->digest,
			 sizeof(record->digest)) &&
	       copy_text(json_object_get(value, "owner"), record->owner,
			 sizeof(record->owner)) &&
	       parse_endpoints(json_object_get(value, "endpoints"), record);
}

int order_record_from_json(const json_t *value, parsed_order_record_t *parsed)
{
	int err = ERR_BAD_JSON;

	*parsed = (parsed_order_record_t){ 0 };
	if (parse_fields(value, &parsed->record))
		err = parsed->record.state == ORDER_STATE_DONE
			      ? parse_answer(json_object_get(value, "answer"),
					     parsed)
			      : 0;
	if (err)
		order_record_free(parsed);
	return err;
}

void order_record_free(parsed_order_record_t *parsed)
{
	free(parsed->body);
	parsed->body = NULL;
}
