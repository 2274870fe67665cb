/**
 * @file
 * Finds the position of an accepted ticket.
 */
#ifndef VERSION_CONFIG_FIND_H
#define VERSION_CONFIG_FIND_H

#include <jansson.h>
#include <stdint.h>

#include "process/store_client.h"

/**
 * Position of a ticket in rows of `{position, ...}`.
 * @param member member of a row that holds the number, or NULL for the row
 * @return 0 if there is none
 */
uint64_t config_find_in_rows(const json_t *rows, const char *member,
			     uint64_t number);

/** Looks into the log of the head. @return 0, ERR_NOT_FOUND or an error */
int config_find_in_store(store_client_t *client, uint64_t number,
			 uint64_t *position);

#endif
