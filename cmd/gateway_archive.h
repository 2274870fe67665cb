/**
 * @file
 * Crash evidence in the platform's store. Runs on the control thread.
 */
#ifndef CMD_GATEWAY_ARCHIVE_H
#define CMD_GATEWAY_ARCHIVE_H

#include "cmd/gateway_control.h"

/** Reading and writing start with the ticks; NULL when out of memory. */
gateway_archive_t *gateway_archive_open(gateway_control_t *control);
void gateway_archive_close(gateway_archive_t *archive);

void gateway_archive_tick(gateway_archive_t *archive, uint64_t now_ms);

#endif
