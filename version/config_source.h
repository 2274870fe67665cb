/**
 * @file
 * Sources of the first configuration: loading the bootstrap file, and metrics
 * on which source was used.
 */
#ifndef VERSION_CONFIG_SOURCE_H
#define VERSION_CONFIG_SOURCE_H

#include <stdbool.h>

#include "version/config_sync.h"
#include "version/ticket.h"

/**
 * Reads a bootstrap file. A file with the member `numbers` is a snapshot to
 * which later tickets can be applied; it is returned in `state`. Otherwise the
 * objects are published at position 0, so that a configuration from any other
 * source replaces them, and `state` is left alone.
 * @return 0 or an error if the file is missing or invalid
 */
int config_source_bootstrap(const char *path, ticket_state_t *state);

/** Whether a configuration is published in this process. */
bool config_source_is_published(void);

/**
 * Sets the metrics for the source of the first configuration and for the
 * store calls made until then.
 */
void config_source_record_start(config_sync_action_kind_t kind);

/** Name of a source in log lines. */
const char *config_source_name(config_sync_action_kind_t kind);

#endif
