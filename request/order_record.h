/**
 * @file
 * JSON encoding of order records as stored in the object API.
 */
#ifndef REQUEST_ORDER_RECORD_H
#define REQUEST_ORDER_RECORD_H

#include <jansson.h>

#include "process/order.h"

/** A parsed record and the memory that its pointers refer to. */
typedef struct parsed_order_record {
	order_record_t record;
	order_answer_t answer;
	char *body;
} parsed_order_record_t;

/** @return a new reference, or NULL when out of memory */
json_t *order_record_to_json(const order_record_t *record);

/**
 * Parses a record; release with order_record_free().
 * @return 0; ERR_BAD_JSON if a field is missing or invalid; ERR_NO_MEMORY
 */
int order_record_from_json(const json_t *value, parsed_order_record_t *parsed);

void order_record_free(parsed_order_record_t *parsed);

#endif
