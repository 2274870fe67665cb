/**
 * @file
 * Settings of the gateway process and the state that its two threads share.
 *
 * The front thread serves client requests. The control thread exchanges state
 * with the platform's store and with other instances, and rolls out weights to
 * engines.
 */
#ifndef CMD_GATEWAY_H
#define CMD_GATEWAY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/outbound.h"
#include "process/crash_ring.h"
#include "process/crash_snapshot.h"
#include "process/endpoint_news.h"
#include "process/forward_peers.h"
#include "process/hint_ring.h"
#include "process/limit_turns.h"
#include "process/peer_heartbeat.h"
#include "process/stream_ring.h"

/** Settings of the process, from flags or the settings file;
 * gateway_settings_load() describes each. */
typedef struct gateway_settings {
	const char *name;
	const char *domain;
	const char *listen;
	const char *ready_listen;
	const char *peer_ip;
	uint32_t peer_port;
	uint32_t forward_port;
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
	char peer_name[PEER_NAME_MAX_BYTES]; /**< See peer_name_make(). */
	_Atomic uint32_t instances; /**< Live ones, including this one. */
	/** Position of this one among the live ones in strcmp() order of peer
	 * names, from 0. */
	_Atomic uint32_t rank;
	limit_turns_t limit_turns; /**< Set by the control thread. */
	_Atomic bool stopping;
	hint_ring_t own_hints;	/**< From the front to the control thread. */
	hint_ring_t peer_hints; /**< From the control to the front thread. */
	/** From the front to the control thread. */
	crash_ring_t own_crash_news;
	/** From the control to the front thread. */
	crash_ring_t peer_crash_news;
	/** From the front to the control thread. */
	crash_snapshot_slot_t crash_snapshots;
	stream_ring_t own_streams; /**< From the front to the control thread. */
	stream_policy_t stream_policy; /**< Set by the control thread. */
	lost_services_t lost_services; /**< Set by the front thread. */
	/** From the front to the control thread. */
	endpoint_news_ring_t own_endpoint_news;
	forward_slot_t forward_slot; /**< From the control to the front
					thread. */
} gateway_t;

/**
 * Serves client requests on the calling thread until a planned stop has
 * completed.
 * @return 0, or an error if a listener cannot be opened
 */
int gateway_front_run(gateway_t *gateway);

typedef struct gateway_control gateway_control_t;

/** Starts the control thread; NULL if it cannot be started. */
gateway_control_t *gateway_control_start(gateway_t *gateway);

/** Where the store is; 0 or ERR_SETTING. */
int gateway_store_target(const gateway_t *gateway, outbound_target_t *target);

/** Stops the control thread and frees its state. */
void gateway_control_stop(gateway_control_t *control);

/**
 * Reads the settings from the settings file and the command line.
 * @return a settings_outcome_t or ERR_SETTING
 */
int gateway_settings_load(gateway_settings_t *settings, int argc,
			  const char **argv);

#endif
