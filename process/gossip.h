/**
 * @file
 * Gossip between instances: the thread that runs membership over the peer
 * protocol.
 *
 * All functions may be called from any thread. Hooks are called on the
 * peer server's thread or the gossip thread, without locks held; they must
 * return quickly.
 */
#ifndef PROCESS_GOSSIP_H
#define PROCESS_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer.h"
#include "process/peer_proto.h"

enum {
	/** Timeout of a gossip message and its answer. */
	GOSSIP_CALL_TIMEOUT_MS = 300,
	/** Timeout of fetching a configuration. */
	GOSSIP_FETCH_TIMEOUT_MS = 2000,
	GOSSIP_SEEDS_MAX = 64,
};

typedef struct gossip gossip_t;

/** Callbacks into other parts of the process; each may be NULL. */
typedef struct gossip_hooks {
	void *context;
	/** A rumor about an endpoint or a crashed request arrived. */
	void (*on_rumor)(void *context, const peer_rumor_t *rumor);
	/** A member sent the position and age of its configuration. */
	void (*on_config)(void *context, uint64_t member, uint64_t position,
			  uint32_t age_ms);
	/**
	 * Reads the changes above a position, or the whole configuration if
	 * `snapshot`.
	 * @param document receives memory from malloc()
	 * @return 0 or an error, which is sent to the peer
	 */
	int (*config_read)(void *context, bool snapshot, uint64_t from_position,
			   uint64_t *position, char **document,
			   size_t *document_bytes);
	/** Answers a claim about an isolated run of a suspected request. */
	peer_claim_answer_t (*on_claim)(void *context,
					const peer_claim_t *claim);
	/**
	 * Called by the gossip thread after each tick: every 100 ms or sooner,
	 * or later if calls to peers take longer.
	 */
	void (*on_tick)(void *context);
} gossip_hooks_t;

typedef struct gossip_settings {
	const char *cluster;
	const char *secret;
	const char *instance;  /**< Id of this instance. */
	const char *domain;    /**< Failure domain. */
	const char *listen;    /**< Numeric address to listen on. */
	const char *advertise; /**< Numeric address that others connect to. */
	uint16_t port;	       /**< Port to listen on; 0 for any free port. */
	/** Port that others connect to; 0 for the one listened on. */
	uint16_t advertise_port;
	/** Instances to join through, "address:port,..."; may be empty. */
	const char *seeds;
	uint64_t seed; /**< Seed of the random number generator. */
	gossip_hooks_t hooks;
} gossip_settings_t;

/**
 * Starts the peer server and the gossip thread.
 * @return 0, ERR_SETTING, ERR_NO_MEMORY or ERR_INTERNAL
 */
int gossip_open(const gossip_settings_t *settings, gossip_t **gossip);

/** Announces that this instance leaves, and stops; NULL is allowed. */
void gossip_close(gossip_t *gossip);

/** Port that the peer server listens on. */
uint16_t gossip_port(const gossip_t *gossip);

/** Id of this instance in the peer protocol. */
uint64_t gossip_id(const gossip_t *gossip);

/** Adds an instance from the platform's instance list. */
void gossip_add_listed_instance(gossip_t *gossip, const char *instance,
				const char *address, uint16_t port,
				const char *domain);

/** Sets the configuration position that this instance applied. */
void gossip_set_config_position(gossip_t *gossip, uint64_t position);

/**
 * Sets the time since the configuration of this instance was last confirmed
 * as current; UINT32_MAX if unknown.
 */
void gossip_set_config_age(gossip_t *gossip, uint32_t age_ms);

/** A member as this instance knows it. */
typedef struct gossip_member {
	peer_member_t wire; /**< As sent to other instances. */
	uint64_t config_position;
	/** Current age of its configuration; UINT32_MAX if unknown. */
	uint32_t config_age_ms;
} gossip_member_t;

/**
 * Copies all members except those that left, this instance first.
 * @return number copied
 */
size_t gossip_members(gossip_t *gossip, gossip_member_t *out, size_t max);

/**
 * Probes a member and applies its answer, which has its configuration
 * position.
 * @return 0 or an error
 */
int gossip_probe(gossip_t *gossip, const peer_member_t *member);

/** Id of a failure domain in peer_member_t: a hash of its name. */
uint32_t gossip_domain_id(const char *domain);

/** Spreads a rumor to all instances. */
void gossip_spread_rumor(gossip_t *gossip, const peer_rumor_t *rumor);

/** Number of live members, including this instance. */
size_t gossip_live_count(gossip_t *gossip);

/** Copies the live members, this instance first. @return number copied */
size_t gossip_live(gossip_t *gossip, peer_member_t *out, size_t max);

/** The owner of a key, and whether it is this instance. */
peer_member_t gossip_owner(gossip_t *gossip, uint64_t key, bool *is_self);

/** Sends a message to a member; see peer_call(). */
int gossip_call(gossip_t *gossip, const peer_member_t *member,
		const peer_message_t *request, peer_message_t *answer,
		uint32_t timeout_ms);

/**
 * Fetches configuration changes above a position, or a snapshot.
 * @param member id of the live member to ask; 0 for any with a newer one
 * @param document receives memory that the caller frees
 * @return 0, ERR_NOT_FOUND if there is no such member, or an error
 */
int gossip_fetch_config(gossip_t *gossip, uint64_t member, bool snapshot,
			uint64_t from_position, uint64_t *position,
			char **document, size_t *document_bytes);

#endif
