/**
 * @file
 * Private declarations of the modules that exchange state with other instances.
 *
 * - gateway_peers.c: heartbeats, loads of peers, watcher election;
 * - gateway_state.c: state that instances fetch from each other;
 * - gateway_desired.c: the desired state, which is sent in pieces;
 * - gateway_members.c: registration, and the targets of heartbeats;
 * - gateway_forward.c: the instances that requests can be forwarded to.
 */
#ifndef CMD_GATEWAY_PEERS_H
#define CMD_GATEWAY_PEERS_H

#include "cmd/gateway_control.h"
#include "connection/inbound.h"
#include "process/document.h"
#include "process/peer_incarnation.h"
#include "process/watcher_election.h"

enum {
	/** Maximum number of other instances that are tracked; the growth plan
	 * for two years has 340 nodes. */
	PEERS_MAX = 400,
};

/** Fetches of state, of which each may be open at the same time. */
typedef enum fetch_kind {
	FETCH_DESIRED, /**< The desired state, which may be large. */
	FETCH_TABLES,  /**< The other tables. */
	FETCH_COUNT,
} fetch_kind_t;

typedef struct peer {
	uint64_t name_hash;
	struct sockaddr_in address;
	peer_incarnation_t order; /**< Of its heartbeats. */
	/** The newest one arrived after this time of CLOCK_BOOTTIME, ms. */
	uint64_t arrived_after_ms;
	uint64_t fetch_failed_ms; /**< Last failed state fetch; 0: never. */
	/** It is of a version that sends the desired state only whole. */
	bool sends_whole;
	peer_heartbeat_t heartbeat;
} peer_t;

/** Fetches of some tables from peers, one at a time. */
typedef struct state_fetch {
	gateway_peers_t *peers;
	object_kind_t first_kind;
	object_kind_t last_kind;
	http_call_t *call;
	peer_t *peer; /**< Of the open or last call. */
	uint64_t sent_ms;
	uint64_t head_ms; /**< When its answer began; 0: not yet. */
	uint64_t next_ms; /**< Earliest time of the next one. */
	/** Content that a peer left out is missing here. */
	bool whole;
} state_fetch_t;

/** The desired state as it is sent to other instances. */
typedef struct gateway_desired {
	document_history_t history;
	uint64_t table_digest; /**< Of the table that was added last. */
	document_transfer_t transfer;
	struct event *next_piece;
	uint64_t begun_ms; /**< Of the transfer. */
} gateway_desired_t;

struct gateway_peers {
	gateway_control_t *control;
	int fd;
	struct event *readable;
	inbound_t *inbound;
	state_fetch_t fetches[FETCH_COUNT];
	gateway_desired_t desired;
	store_call_t *register_call;
	bool registered;
	uint64_t registered_revision; /**< Lowest of the era of that answer. */
	bool object_exists; /**< The member object exists and is replaced. */
	uint64_t register_after_ms;
	uint64_t sent_ms;	  /**< Last heartbeat to all. */
	uint32_t sent_lost_count; /**< Lost services in it. */
	uint64_t sent_news_ms;	  /**< Last one with news of endpoints. */
	uint64_t listed_ms;	  /**< Last list of instances to forward to. */
	/** When no datagram was waiting, CLOCK_BOOTTIME, ms: what is read after
	 * a pause of this process may be as old as that. */
	uint64_t drained_ms;
	uint32_t sequence;
	/** Since when peers have had a newer table; 0: they have not. */
	uint64_t behind_since_ms[OBJECT_KIND_COUNT];
	uint64_t started_ms;
	uint64_t name_hash; /**< Of this instance. */
	/** Whether this instance watches the store. */
	watcher_election_t election;
	struct sockaddr_in targets[PEERS_MAX];
	size_t target_count;
	peer_t *peers[PEERS_MAX];
	size_t peer_count;
};

/** Whether a heartbeat of the peer was received recently. */
bool gateway_peer_is_live(const gateway_peers_t *peers, const peer_t *peer,
			  uint64_t now_ms);

/** Hash of this instance's failure domain. */
uint32_t gateway_domain_hash(const gateway_control_t *control);

/** Serves this instance's state to other instances. */
extern const inbound_callbacks_t gateway_state_callbacks;

/** Sets up the fetches of state. */
void gateway_state_open(gateway_peers_t *peers);

/** Sends a fetch to a peer; its bytes are moved out of the buffer. */
void gateway_state_send(state_fetch_t *fetch, peer_t *peer,
			struct evbuffer *message, http_call_fn *done);

/** Asks a peer for those tables of a fetch that are behind. */
void gateway_state_fetch_tables(state_fetch_t *fetch, peer_t *peer);

/** Logs that a fetch failed; other peers are asked first for some time. */
void gateway_state_failed(state_fetch_t *fetch, int err, uint16_t status,
			  size_t len);

/** Sets up the exchange of the desired state; 0 or ERR_NO_MEMORY. */
int gateway_desired_open(gateway_peers_t *peers);
void gateway_desired_close(gateway_peers_t *peers);

/** Answers a request for a piece; false if it is another one. */
bool gateway_desired_serve(gateway_peers_t *peers, inbound_request_t *request);

/** Asks a peer for the next piece of its desired state. */
void gateway_desired_fetch(gateway_peers_t *peers, peer_t *peer);

/** Adds whether this instance takes forwarded requests, and which services it
 * can't reach. */
void gateway_forward_fill_heartbeat(const gateway_t *gateway,
				    peer_heartbeat_t *heartbeat);

/** Tells the front thread of the instances that it can forward requests to; to
 * be called periodically. */
void gateway_forward_list_peers(gateway_peers_t *peers, uint64_t now_ms);

/** Cancels open fetches. */
void gateway_state_close(gateway_peers_t *peers);

/** Fetches state that a peer has read and this instance has not. */
void gateway_state_fetch_missing(gateway_peers_t *peers, uint64_t now_ms);

/** Registers this instance as a member in the store. */
void gateway_members_register(gateway_peers_t *peers, uint64_t now_ms);

/** Makes the instance register again after the store was restored from a copy,
 * which may lack it. */
void gateway_members_check_era(gateway_peers_t *peers, uint64_t now_ms);

/** Updates the targets of heartbeats: members and live peers, and the seeds
 * until the members are known. */
void gateway_members_update_targets(gateway_peers_t *peers, uint64_t now_ms);

#endif
