/**
 * @file
 * Subcommands of `amaranthvale ticket`.
 */
#ifndef CMD_OPERATOR_TICKET_H
#define CMD_OPERATOR_TICKET_H

#include "cmd/operator_client.h"

/** Sends the ticket in a file and prints its position. @return exit status */
int operator_ticket_apply(const operator_client_t *client, const char **args);

/** Prints which instances have a ticket in force. @return exit status */
int operator_ticket_status(const operator_client_t *client, const char **args);

/** Prints what the ticket in a file would change. @return exit status */
int operator_ticket_diff(const operator_client_t *client, const char **args);

#endif
