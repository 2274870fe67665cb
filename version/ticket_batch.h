/**
 * @file
 * Decides which tickets of a commit are accepted. Part of ticket_commit, which
 * owns the state and requests the store operations that a decision needs.
 */
#ifndef VERSION_TICKET_BATCH_H
#define VERSION_TICKET_BATCH_H

#include <stdbool.h>

#include "version/ticket_commit.h"

/**
 * Whether the decision needs an older page of the log: for a ticket with an
 * outdated number, that page may show that the ticket itself was accepted.
 */
bool ticket_batch_needs_page(const ticket_commit_t *commit);

/**
 * Decides about all tickets without a final result. Fills in `next_state` and
 * `next_head`, which must be empty, and the results.
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_batch_decide(ticket_commit_t *commit);

#endif
