/**
 * @file
 * JSON form of an order's record in the object API.
 */
#ifndef REQUEST_ORDER_RECORD_H
#define REQUEST_ORDER_RECORD_H

#include <jansson.h>

#include "process/order.h"

/** A record that was read, with the memory its pointers refer to. */
typedef struct order_record_held {
	order_record_t record;
	order_answer_t answer;
	char *body;
} order_record_held_t;

/** @return a new reference, or NULL when out of memory */
json_t *order_record_to_json(const order_record_t *record);

/**
 * Reads a record; release with order_record_free().
 * @return 0; ERR_BAD_JSON if a field is missing or invalid; ERR_NO_MEMORY
 */
int order_record_from_json(const json_t *value, order_record_held_t *held);

void order_record_free(order_record_held_t *held);

#endif
