/**
 * @file
 * Finds the position of an accepted ticket.
 */
#ifndef VERSION_TICKET_LOOKUP_H
#define VERSION_TICKET_LOOKUP_H

#include <jansson.h>
#include <stdint.h>

#include "process/store_client.h"

/**
 * Finds a ticket in an array of log entries.
 * @param entries JSON array of `{position, ...}`
 * @param member name of the member of an entry that has the field `ticket`,
 *        or NULL if the entry itself has it
 * @param number number of the ticket
 * @return its position, or 0 if no entry is for this ticket
 */
uint64_t ticket_lookup_in_entries(const json_t *entries, const char *member,
				  uint64_t number);

/**
 * Finds a ticket in the log entries of the head in the store.
 * @return 0, ERR_NOT_FOUND, or an error of the store
 */
int ticket_lookup_in_store(store_client_t *client, uint64_t number,
			   uint64_t *position);

#endif
