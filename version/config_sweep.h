/**
 * @file
 * Deletes the snapshot shards and log pages that a compaction has made
 * obsolete.
 */
#ifndef VERSION_CONFIG_SWEEP_H
#define VERSION_CONFIG_SWEEP_H

#include "process/store_client.h"
#include "version/ticket.h"

/**
 * Deletes the shards of the snapshot that `old_head` refers to, and the oldest
 * pages before the start of the log of `head`. Failures are ignored; pages
 * that remain are deleted after a later compaction. Instances that were
 * reading a deleted object start again by reading the head.
 *
 * The store calls have the least important purpose, STORE_PURPOSE_STATUS. A
 * full default store budget allows for 19 pages; a compaction drops 16.
 */
void config_sweep(store_client_t *client, const ticket_head_t *old_head,
		  const ticket_head_t *head);

#endif
