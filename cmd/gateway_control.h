/**
 * @file
 * Parts of the control thread: state from the store, heartbeats between
 * instances, and the weights rollout. All run on the control thread's event
 * loop.
 */
#ifndef CMD_GATEWAY_CONTROL_H
#define CMD_GATEWAY_CONTROL_H

#include "cmd/gateway.h"
#include "connection/http_call.h"
#include "process/object_watch.h"
#include "process/peer_heartbeat.h"
#include "process/store_link.h"
#include "process/store_outage.h"
#include "version/view_builder.h"

typedef struct gateway_peers gateway_peers_t;
typedef struct gateway_rollout gateway_rollout_t;
typedef struct gateway_archive gateway_archive_t;
typedef struct gateway_streams gateway_streams_t;

struct gateway_control {
	gateway_t *gateway;
	pthread_t thread;
	struct event_base *base;
	struct event *tick;
	struct event *rebuild;
	outbound_t *outbound;
	store_link_t store;
	rng_t rng;
	view_builder_t view_builder;
	object_watch_t *watches[OBJECT_KIND_COUNT];
	store_outage_t outage;
	/** Whether the last watch whose contact changed got an answer. */
	bool last_change_answered;
	gateway_peers_t *peers;
	gateway_rollout_t *rollout;
	gateway_archive_t *archive;
	gateway_streams_t *streams;
	_Atomic bool stop_requested;
	bool was_ready;
	bool lease_released; /**< For a planned stop. */
};

/** Schedules the publication of a new view; changes until then share it. */
void gateway_control_rebuild(gateway_control_t *control);

/** Starts or stops watching the store for changes. */
void gateway_control_watch(gateway_control_t *control, bool watching);

/** Whether the store answers the watches of this instance. */
bool gateway_control_store_reachable(const gateway_control_t *control);

/** Time of CLOCK_BOOTTIME, ms, as of which the watches of this instance show
 * that its endpoint list is as new as the store's; 0: they do not. */
uint64_t gateway_control_list_checked_ms(const gateway_control_t *control);

/** What the watches of this instance tell about the store. */
store_contact_t gateway_control_store_contact(const gateway_control_t *control);

/** Sends a call to the store; NULL if it could not be sent. */
store_call_t *gateway_control_store_call(gateway_control_t *control,
					 struct evbuffer *message,
					 store_call_fn *done, void *context);

/** Opens the sockets for other instances; NULL if that fails. */
gateway_peers_t *gateway_peers_open(gateway_control_t *control);
void gateway_peers_close(gateway_peers_t *peers);

/** Whether this instance has registered as a member. */
bool gateway_members_registered(const gateway_peers_t *peers);

/** Periodic work: registers, elects watchers, sums the peers' loads, fetches
 * state that only peers have, and sends heartbeats. */
void gateway_peers_tick(gateway_peers_t *peers, uint64_t now_ms);

/** Sends a heartbeat to all instances now, and further ones if more crash news
 * wait than it can hold. */
void gateway_peers_send_heartbeat(gateway_peers_t *peers);

/** Announces a change by a heartbeat to all instances: now, or soon together
 * with other changes if there are many. */
void gateway_peers_announce(gateway_peers_t *peers);

/** Sends a datagram to another instance. */
void gateway_peers_send_to(const gateway_peers_t *peers, const char *bytes,
			   size_t len, const struct sockaddr_in *target);

/** Whether this instance may compete for the weights lease. Only the watchers
 * of the store do: they have the widest links of their failure domains. */
bool gateway_peers_may_hold_lease(const gateway_peers_t *peers,
				  uint64_t now_ms);

/** Whether this instance is the first, by name, of those that watch the store
 * and get answers. */
bool gateway_peers_is_first_watcher(const gateway_peers_t *peers,
				    uint64_t now_ms);

/** Adds what the live peers tell about the store. */
void gateway_peers_store_contact(const gateway_peers_t *peers, uint64_t now_ms,
				 store_contact_t *contact);

/** Name of the peer whose recent heartbeat says that it holds the weights
 * lease; NULL if there is none. */
const char *gateway_peers_lease_holder(const gateway_peers_t *peers,
				       uint64_t now_ms);

/** Competing for the weights lease starts with the ticks; NULL when out of
 * memory. */
gateway_rollout_t *gateway_rollout_open(gateway_control_t *control);
void gateway_rollout_close(gateway_rollout_t *rollout);
void gateway_rollout_tick(gateway_rollout_t *rollout, uint64_t now_ms);

/** The store has begun a newer era. */
void gateway_rollout_store_era(gateway_rollout_t *rollout);

/** Releases the lease before a planned stop. */
void gateway_rollout_release(gateway_rollout_t *rollout);

/** Fencing number if this instance holds the lease now, else 0. */
uint64_t gateway_rollout_fencing(const gateway_rollout_t *rollout);

/** Adds the engines that are loading or have just loaded weights, if the
 * heartbeat is the lease holder's. */
void gateway_rollout_fill_heartbeat(gateway_rollout_t *rollout,
				    peer_heartbeat_t *heartbeat,
				    uint64_t now_ms);

#endif
