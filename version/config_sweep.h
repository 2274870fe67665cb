/**
 * @file
 * Removes the snapshot and the log pages that the head no longer names.
 */
#ifndef VERSION_CONFIG_SWEEP_H
#define VERSION_CONFIG_SWEEP_H

#include <stdint.h>

#include "process/store_client.h"
#include "version/ticket.h"

/**
 * Deletes the shards of a snapshot. Best effort: a shard that cannot be
 * deleted stays. Instances that were reading the snapshot start again with
 * the head.
 */
void config_sweep_snapshot(store_client_t *client, uint64_t position,
			   uint32_t shards);

/**
 * Deletes the oldest pages before the start of the log, in the same way. Pages
 * that stay are deleted after a later compaction.
 */
void config_sweep_log(store_client_t *client, const ticket_head_t *head);

#endif
