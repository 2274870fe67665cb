/**
 * @file
 * What the front and the control thread tell each other about streams that may
 * be resumed.
 */
#ifndef PROCESS_STREAM_RING_H
#define PROCESS_STREAM_RING_H

#include "process/spsc_ring.h"
#include "process/stream_table.h"

enum {
	/** Capacity, streams: those that begin and end at an instance between
	 * two ticks of the control thread, and those in progress when their
	 * recording begins. */
	STREAM_RING_SIZE = 1024,
};

/** Streams that have begun, and, with `expires_ms` 0, ended. */
DEFINE_SPSC_RING(stream_ring, stream_row_t, STREAM_RING_SIZE);

/** Set by the control thread. */
typedef struct stream_policy {
	/** Streams have to be recorded. */
	_Atomic bool record;
	/** It is known which versions there were; soon after a start it is
	 * not. */
	_Atomic bool complete;
	/** Until then, a stream of a service whose endpoints have one version
	 * has begun at that version. CLOCK_BOOTTIME,
	 * ms. */
	_Atomic uint64_t single_until_ms;
} stream_policy_t;

#endif
