/**
 * @file
 * Streams that clients may resume: which versions of the endpoints' software
 * there are, and, while there are several, at which one each stream began. This
 * is told to the writer of the failure domain, which keeps it in the platform's
 * store. Runs on the control thread.
 */
#ifndef CMD_GATEWAY_STREAMS_H
#define CMD_GATEWAY_STREAMS_H

#include "cmd/gateway_control.h"

/** Returns NULL when out of memory. */
gateway_streams_t *gateway_streams_open(gateway_control_t *control);
void gateway_streams_close(gateway_streams_t *streams);

void gateway_streams_tick(gateway_streams_t *streams, uint64_t now_ms);

/** A new view is about to be published. */
void gateway_streams_view_changes(gateway_streams_t *streams);

/** A new view has been published. */
void gateway_streams_view_changed(gateway_streams_t *streams, uint64_t now_ms);

/** This instance has acquired the lease, whose record has this note. */
void gateway_streams_lease_acquired(gateway_streams_t *streams,
				    const char *note);

/** Note for the lease record. */
const char *gateway_streams_note(const gateway_streams_t *streams);

/** Handles a stream report of another instance of the failure domain. */
void gateway_streams_receive(gateway_streams_t *streams, char *bytes,
			     size_t len);

/** Adds what this instance knows of the versions. */
void gateway_streams_fill_heartbeat(const gateway_streams_t *streams,
				    peer_heartbeat_t *heartbeat,
				    uint64_t now_ms);

#endif
