/**
 * @file
 * Decides about the tickets of a commit. Part of ticket_commit, which owns
 * the state and does what the decision needs.
 */
#ifndef VERSION_TICKET_BATCH_H
#define VERSION_TICKET_BATCH_H

#include <stdbool.h>

#include "version/ticket_commit.h"

/**
 * Whether the decision needs one more page of the log: a ticket that an
 * accepted one has passed may have been accepted in it.
 */
bool ticket_batch_needs_page(const ticket_commit_t *commit);

/**
 * Decides about all tickets without a final result. Fills in `next` and
 * `next_head`, which must be empty, and the results.
 * @return 0 or ERR_NO_MEMORY
 */
int ticket_batch_decide(ticket_commit_t *commit);

#endif
