/**
 * @file
 * Removes the snapshot and the log pages that the head no longer names.
 */
#ifndef VERSION_CONFIG_SWEEP_H
#define VERSION_CONFIG_SWEEP_H

#include "process/store_client.h"
#include "version/ticket.h"

/**
 * Deletes the shards of the old snapshot and the oldest pages before the start
 * of the log. Best effort: what cannot be deleted stays; pages that stay are
 * deleted after a later compaction. Instances that were reading a deleted
 * object start again with the head.
 *
 * The calls have the least important purpose. With a full default budget they
 * reach 19 pages; a compaction drops 16.
 */
void config_sweep(store_client_t *client, const ticket_head_t *old_head,
		  const ticket_head_t *head);

#endif
