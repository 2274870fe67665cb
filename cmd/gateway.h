/**
 * @file
 * The parts of the gateway and what its two threads share.
 */
#ifndef CMD_GATEWAY_H
#define CMD_GATEWAY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/note_ring.h"

/** Settings of the process, from flags or the settings file. */
typedef struct gateway_settings {
	const char *name;
	const char *domain;
	const char *listen;
	const char *ready_listen;
	const char *peer_ip;
	uint32_t peer_port;
	uint32_t metrics_port;
	const char *store;
	const char *seeds;
	double memory_mb;
	uint32_t descriptors;
	double link_mbps;
	double grace_s;
	double retry_ratio;
	double retry_window_s;
	double retry_slack;
	double lease_ms;
	double weights_ms;
	double stable_ms;
	uint32_t log_level;
} gateway_settings_t;

typedef struct gateway {
	gateway_settings_t settings;
	_Atomic uint32_t instances; /**< Of the system, with this one. */
	_Atomic bool stopping;
	note_ring_t own_notes;	/**< Front to control. */
	note_ring_t peer_notes; /**< Control to front. */
} gateway_t;

/**
 * Runs the front thread's work on the calling thread until a planned stop has
 * ended.
 * @return 0, or an error if a listener cannot be opened
 */
int gateway_front_run(gateway_t *gateway);

typedef struct gateway_control gateway_control_t;

/** Starts the control thread; NULL if it cannot be started. */
gateway_control_t *gateway_control_start(gateway_t *gateway);

/** Ends and frees it. */
void gateway_control_stop(gateway_control_t *control);

/** Reads the settings; a settings_outcome_t or ERR_SETTING. */
int gateway_settings_read(gateway_settings_t *settings, int argc,
			  const char **argv);

#endif
