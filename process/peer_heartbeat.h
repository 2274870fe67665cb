/**
 * @file
 * Heartbeat: datagram in which a gateway instance sends its state to the
 * others. It contains the revisions of the store's tables that the instance
 * has, its load at each endpoint, cache hints, endpoints that failed, crash
 * news, limits of endpoints, news of endpoints that take no requests, and, if
 * it holds the weights lease, the weights of engines. Encoded as XDR.
 */
#ifndef PROCESS_PEER_HEARTBEAT_H
#define PROCESS_PEER_HEARTBEAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/crash_evidence.h"
#include "process/endpoint_news.h"
#include "process/forward_peers.h"
#include "process/hint_ring.h"
#include "process/object.h"

enum {
	/** Longest name of an instance in a heartbeat with its NUL, bytes. */
	PEER_NAME_MAX_BYTES = 64,
	/** Tables whose revisions a heartbeat contains: the kinds up to the
	 * leases. */
	PEER_TABLE_COUNT = OBJECT_LEASES + 1,
	/** Largest datagram, bytes: fits one packet without fragmentation. */
	PEER_HEARTBEAT_MAX_BYTES = 1400,
	/** Part of a datagram besides the lists of variable length, bytes. */
	PEER_HEARTBEAT_HEADER_BYTES = 244,
	/** Endpoints with weights: a third of 90 that are being updated, and
	 * those whose update was completed recently. */
	PEER_WEIGHTS_MAX = 50,
	PEER_WEIGHTS_BYTES = 20,
	/** Endpoints that failed. */
	PEER_FAILED_MAX = 12,
	PEER_FAILED_BYTES = 12,
	/** Endpoints with load. */
	PEER_LOADS_MAX = 40,
	PEER_LOAD_BYTES = 20,
	/** Cache hints. */
	PEER_HINTS_MAX = 30,
	PEER_HINT_BYTES = 20,
	/** Crash news. */
	PEER_CRASH_NEWS_MAX = 12,
	PEER_CRASH_NEWS_BYTES = 40,
	/** Endpoints that name a limit. */
	PEER_LIMITS_MAX = 24,
	PEER_LIMIT_BYTES = 16,
	/** A service whose endpoints the sender can't reach. */
	PEER_LOST_BYTES = 4,
	/** News of endpoints, and their count, which is not sent without any.
	 * As many fit beside PEER_LOADS_MAX loads. */
	PEER_ENDPOINT_NEWS_MAX = 24,
	PEER_ENDPOINT_NEWS_BYTES = 12,
	PEER_ENDPOINT_NEWS_COUNT_BYTES = 4,
};

/** State of a table of the store at the sender. */
typedef struct peer_table {
	uint64_t revision; /**< See process/store_revision.h; 0: incomplete, or
				of an earlier era than other tables. */
	uint64_t digest;
} peer_table_t;

/** Load that the sender puts on one endpoint. */
typedef struct peer_load {
	uint64_t endpoint; /**< See peer_endpoint_key(). */
	uint32_t runs;	   /**< Running requests. */
	uint32_t tokens;   /**< KV cache that they need. */
	uint32_t prefill;  /**< Prompt tokens still to prefill. */
} peer_load_t;

/** Weights of one endpoint, sent by the holder of the weights lease. */
typedef struct peer_weights {
	uint64_t endpoint;
	uint64_t weights;    /**< Loaded version; 0: unknown. */
	uint32_t loading_ms; /**< No new requests for this time; 0: not
				  loading. */
} peer_weights_t;

/** An endpoint that gets no requests from the sender because it failed. */
typedef struct peer_failed {
	uint64_t endpoint;
	uint32_t ejected_ms; /**< Remaining time. */
} peer_failed_t;

/** Limit that an endpoint named in an answer to the sender. */
typedef struct peer_limit {
	uint64_t endpoint;
	uint32_t limit; /**< See endpoint_load_t::limit. */
	uint32_t age_ms;
} peer_limit_t;

typedef struct peer_heartbeat {
	char name[PEER_NAME_MAX_BYTES]; /**< See peer_name_make(). */
	uint64_t incarnation;		/**< Random; not 0. */
	uint32_t sequence;		/**< Increases with each datagram. */
	uint32_t domain;    /**< Hash of the name of the failure domain. */
	uint32_t link_mbps; /**< Speed of the machine's network link. */
	bool stopping;
	bool watching;	  /**< It watches the store, which answers. */
	bool store_fails; /**< It watches the store, which does not answer. */
	bool yielded;	  /**< It yields in the watcher election. */
	/** Versions are mixed, see software_history_says_mixed(). */
	bool software_mixed;
	/** It knows which versions there were. */
	bool software_complete;
	bool takes_forwarded; /**< Requests that others forward. */
	/** Time since its endpoint list was known to be as new as the store's;
	 * LIST_AGE_UNKNOWN if that is not known or too long. */
	uint32_t list_age_ms;
	uint64_t fencing; /**< Fencing number of the weights lease; 0:
			       not the holder. */
	peer_table_t tables[PEER_TABLE_COUNT];
	uint32_t load_count;
	peer_load_t loads[PEER_LOADS_MAX];
	uint32_t weights_count;
	peer_weights_t weights[PEER_WEIGHTS_MAX];
	uint32_t hint_count;
	cache_hint_t hints[PEER_HINTS_MAX];
	uint32_t failed_count;
	peer_failed_t failed[PEER_FAILED_MAX];
	uint32_t crash_news_count;
	crash_news_t crash_news[PEER_CRASH_NEWS_MAX];
	uint32_t limit_count;
	peer_limit_t limits[PEER_LIMITS_MAX];
	/** Clock of the turns for limits, ms; 0: it knows of no limit. */
	uint64_t turn_clock_ms;
	/** Services whose endpoints it can't reach. */
	uint32_t lost_count;
	uint32_t lost[LOST_SERVICES_MAX]; /**< See lost_service_key(). */
	uint32_t endpoint_news_count;
	endpoint_news_t endpoint_news[PEER_ENDPOINT_NEWS_MAX];
} peer_heartbeat_t;

/** Writes the name of an instance for the others: `name`, or if that is too
 * long, its first bytes and a hash of all. */
void peer_name_make(char peer_name[PEER_NAME_MAX_BYTES], const char *name);

/** Identifies one incarnation of an endpoint. */
static inline uint64_t peer_endpoint_key(uint64_t id_hash,
					 uint64_t started_unix_ms)
{
	return id_hash + started_unix_ms;
}

/** Bytes that remain for more list entries. */
size_t peer_heartbeat_free_bytes(const peer_heartbeat_t *heartbeat);

/** @return the encoded length in bytes, or ERR_LIMIT */
int peer_heartbeat_encode(const peer_heartbeat_t *heartbeat, char *bytes,
			  size_t size);

/** @return 0 or ERR_BAD_FIELD */
int peer_heartbeat_decode(peer_heartbeat_t *heartbeat, char *bytes, size_t len);

#endif
