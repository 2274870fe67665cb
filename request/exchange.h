/**
 * @file
 * Handles one client request, from the moment it has been received completely
 * until its answer ends. All functions run on the front thread.
 *
 * It finds the route and the customer, sends the request to an endpoint and
 * relays the answer. After a failed attempt it decides whether the request is
 * sent to another endpoint, is refused as not run, or has failed. A request
 * that may not run twice is sent to another endpoint only when it certainly
 * did not run.
 */
#ifndef REQUEST_EXCHANGE_H
#define REQUEST_EXCHANGE_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "connection/inbound.h"
#include "connection/outbound.h"
#include "process/cache_index.h"
#include "process/crash_evidence.h"
#include "process/crash_ring.h"
#include "process/crash_snapshot.h"
#include "process/endpoint_news.h"
#include "process/fetch_source.h"
#include "process/first_token_timeout.h"
#include "process/forward_peers.h"
#include "process/hint_ring.h"
#include "process/limit_turns.h"
#include "process/planned_stop.h"
#include "process/retry_budget.h"
#include "process/rng.h"
#include "process/service_path.h"
#include "process/stream_ring.h"
#include "request/stream_lookup.h"

enum {
	/** Size of the buffer for a request's id with its NUL, bytes; a longer
	 * id is truncated. */
	EXCHANGE_ID_MAX_BYTES = 48,
	/** Attempts of one request that may end without having run before the
	 * client gets a refusal. */
	EXCHANGE_REFUSALS_MAX = 3,
	/** Most attempts of one request that may have run, whatever its route
	 * allows. */
	EXCHANGE_RUNS_MAX = 8,
	/** A non-stream answer is buffered up to this size, bytes, so that the
	 * request can still be retried if the answer breaks off. */
	EXCHANGE_BUFFERED_ANSWER_MAX_BYTES = 256 * 1024,
	/** Peers that one request is forwarded to, one after the other. */
	EXCHANGE_PEERS_MAX = 2,
	/** Forwarded requests of other instances in progress; further ones are
	 * refused. */
	EXCHANGE_FORWARDED_MAX = 256,
	/** Timeout for connecting to an endpoint, ms: allows for some round
	 * trips between failure domains and one lost packet. */
	EXCHANGE_CONNECT_TIMEOUT_MS = 350,
	/** The same for the probe of a lost path, ms. */
	EXCHANGE_PROBE_TIMEOUT_MS = 150,
	/** TCP user timeout of connections to endpoints, ms: outlasts an
	 * endpoint that is silent for a second or so, and lets a dead path be
	 * noticed after 3 s, see outbound_dead_path_ms(). */
	EXCHANGE_USER_TIMEOUT_MS = 2500,
	/** Margin before the time limit for old weights
	 * (exchange_env_t::weights_ms), ms. No request is sent to old weights
	 * within it, because the request may wait in the engine's queue before
	 * it starts. */
	EXCHANGE_OLD_WEIGHTS_MARGIN_MS = 1500,
	/** A request that has not begun this long before that limit is
	 * withdrawn from its engine, ms: the instance learns of new weights
	 * some time after they were set, checks once a tick, and the engine
	 * notices the closed connection later. */
	EXCHANGE_WITHDRAW_MARGIN_MS = 600,
	/** Share of an endpoint's connection limit that all instances together
	 * leave unused, percent, for its clients outside this system. */
	EXCHANGE_CONNECTIONS_RESERVED_PERCENT = 15,
};

/** Requests in progress. */
LIST_HEAD(exchange_list, exchange);

/** State shared by all requests of the front thread. */
typedef struct exchange_env {
	struct event_base *base;
	struct exchange_list open; /**< Requests in progress. */
	outbound_t *outbound;
	retry_budget_t retry_budget;
	rng_t rng;
	cache_index_t cache_index;  /**< Prefixes assumed to be cached. */
	hint_ring_t *own_hints;	    /**< For the other instances. */
	hint_ring_t *peer_hints;    /**< From the other instances. */
	link_budget_t save_budget;  /**< For saves to the cache store. */
	link_budget_t fetch_budget; /**< For fetches from the cache store. */
	const char *domain;	    /**< Failure domain of this instance. */
	uint32_t weights_ms; /**< How long replaced weights may be used, ms. */
	planned_stop_t stop;
	uint32_t open_requests; /**< Number of requests in `open`. */
	/** Bodies of buffered answers, and the most for all requests; above it
	 * an answer is relayed as it is received. */
	uint64_t buffered_bytes;
	uint64_t buffered_max_bytes;
	crash_evidence_t crash_evidence;
	instance_place_t place; /**< Of this instance. */
	const limit_turns_t *limit_turns;
	crash_ring_t *own_crash_news;  /**< For the other instances. */
	crash_ring_t *peer_crash_news; /**< From the other instances. */
	/** For the store. */
	crash_snapshot_slot_t *crash_snapshots;
	uint64_t blocked_shared_ms;
	bool has_new_blocks; /**< Runs in progress may have blocked keys. */
	/** Streams that began here and may be resumed, while they are
	 * recorded. */
	stream_table_t streams;
	stream_lookups_t stream_lookups;
	const stream_policy_t *stream_policy; /**< Of the control thread. */
	stream_ring_t *own_streams;	      /**< For the control thread. */
	bool records_streams;		      /**< Policy at the last tick. */
	service_paths_t service_paths;
	uint64_t path_failed_ms;	/**< Of the last failure; 0: none. */
	lost_services_t *lost_services; /**< For the other instances. */
	endpoint_news_ring_t *own_endpoint_news; /**< Likewise. */
	forward_slot_t *forward_slot;	/**< From the control thread. */
	forward_peers_t *forward_peers; /**< Newest list; may be NULL. */
	uint32_t forwarded_requests;	/**< Of other instances, in progress. */
	/** How long streams may wait for their first token. */
	first_token_timeout_t first_token_timeout;
} exchange_env_t;

/** Starts handling a completely received request; it is answered before this
 * returns or later. */
void exchange_begin(exchange_env_t *env, inbound_request_t *request);

/** The same for a request that another instance has forwarded. */
void exchange_begin_forwarded(exchange_env_t *env, inbound_request_t *request);

/** Handles the disconnect of the client before its answer ended. */
void exchange_client_gone(inbound_request_t *request);

/** Begins a planned stop: requests in progress end before its limit. */
void exchange_begin_stop(exchange_env_t *env, uint64_t grace_ms);

/** Logs each request in progress; for a planned stop that cuts them. */
void exchange_log_cut(const exchange_env_t *env);

/** Exchanges crash evidence with the other instances and ends runs of keys
 * that were blocked; to be called periodically. */
void exchange_tick_crash_evidence(exchange_env_t *env);

/** Records the streams in progress once that becomes necessary; to be called
 * periodically. */
void exchange_tick_streams(exchange_env_t *env);

/** Takes the newest list of peers; to be called periodically. */
void exchange_tick_paths(exchange_env_t *env);

/** Withdraws requests that wait at engines whose weights will soon be past
 * their time limit; to be called periodically. */
void exchange_withdraw_outdated(exchange_env_t *env);

/** Resumes reading from the endpoint after the client's output drained. */
void exchange_client_drained(inbound_request_t *request);

#endif
