/**
 * @file
 * Removes a snapshot that the head no longer names.
 */
#ifndef VERSION_CONFIG_SWEEP_H
#define VERSION_CONFIG_SWEEP_H

#include <stdint.h>

#include "process/store_client.h"

/**
 * Deletes the shards of a snapshot. Best effort: a shard that cannot be
 * deleted stays. Instances that were reading the snapshot start again with
 * the head.
 */
void config_sweep_snapshot(store_client_t *client, uint64_t position,
			   uint32_t shards);

#endif
