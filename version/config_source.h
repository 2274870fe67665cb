/**
 * @file
 * The bootstrap file, and which source gave the first configuration.
 */
#ifndef VERSION_CONFIG_SOURCE_H
#define VERSION_CONFIG_SOURCE_H

#include <stdbool.h>

#include "version/config_sync.h"
#include "version/ticket.h"

/**
 * Reads a bootstrap file. With numbers it is a snapshot and the base for later
 * tickets, which `state` receives. Without, its objects are published with
 * position 0, so that whatever another source has replaces them.
 * @return 0 or the error of the file
 */
int config_source_bootstrap(const char *path, ticket_state_t *state);

/** Whether some configuration is in force. */
bool config_source_is_published(void);

/** Counts the source of the first configuration, and the calls it took. */
void config_source_note_start(config_sync_action_kind_t kind);

/** Name of a source in log lines. */
const char *config_source_name(config_sync_action_kind_t kind);

#endif
