/**
 * @file
 * The thread that runs membership over the peer protocol.
 *
 * All functions may be called from any thread. Hooks are called on the
 * server thread or the gossip thread, without locks held; they must be short.
 */
#ifndef PROCESS_GOSSIP_H
#define PROCESS_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer.h"
#include "process/peer_proto.h"

enum {
	/** Limit for a gossip message and its answer. */
	GOSSIP_CALL_LIMIT_MS = 300,
	/** Limit for fetching a configuration. */
	GOSSIP_FETCH_LIMIT_MS = 2000,
	GOSSIP_SEEDS_MAX = 64,
};

typedef struct gossip gossip_t;

/** What other parts of the process do for the gossip thread; each may be NULL.
 */
typedef struct gossip_hooks {
	void *context;
	/** A rumor about an endpoint or a crashed request arrived. */
	void (*on_rumor)(void *context, const peer_rumor_t *rumor);
	/** A member told its configuration position and age. */
	void (*on_config)(void *context, uint64_t member, uint64_t position,
			  uint32_t age_ms);
	/**
	 * Changes above a position, or the whole configuration if `snapshot`.
	 * @param document receives memory from malloc()
	 * @return 0 or an error that the peer is answered with
	 */
	int (*config_read)(void *context, bool snapshot, uint64_t from_position,
			   uint64_t *position, char **document,
			   size_t *document_bytes);
	/** Decides a claim of an isolated run. */
	peer_claim_answer_t (*on_claim)(void *context,
					const peer_claim_t *claim);
	/** Called by the gossip thread at least every 100 ms. */
	void (*on_tick)(void *context);
} gossip_hooks_t;

typedef struct gossip_settings {
	const char *cluster;
	const char *secret;
	const char *instance;  /**< Id of this instance. */
	const char *domain;    /**< Failure domain. */
	const char *listen;    /**< Numeric address to listen on. */
	const char *advertise; /**< Numeric address that others use. */
	uint16_t port;
	/** Port that others use; 0 for the one listened on. */
	uint16_t advertise_port;
	const char *seeds; /**< "address:port,..."; may be empty. */
	uint64_t seed;	   /**< Of the random generator. */
	gossip_hooks_t hooks;
} gossip_settings_t;

/** @return 0, ERR_SETTING, ERR_NO_MEMORY or ERR_INTERNAL */
int gossip_open(const gossip_settings_t *settings, gossip_t **gossip);

/** Tells others that this instance leaves, and stops; NULL is allowed. */
void gossip_close(gossip_t *gossip);

uint16_t gossip_port(const gossip_t *gossip);

/** Id of this instance in the peer protocol. */
uint64_t gossip_id(const gossip_t *gossip);

/** Takes an instance from the platform's list. */
void gossip_learn(gossip_t *gossip, const char *instance, const char *address,
		  uint16_t port, const char *domain);

/** Sets the configuration position in force here. */
void gossip_set_position(gossip_t *gossip, uint64_t position);

/** Sets the age of the configuration here; UINT32_MAX if it is unknown. */
void gossip_set_age(gossip_t *gossip, uint32_t age_ms);

/** What is known of a member. */
typedef struct gossip_member {
	peer_member_t wire;
	uint64_t config_position;
	/** Age of its configuration now; UINT32_MAX if it is unknown. */
	uint32_t config_age_ms;
} gossip_member_t;

/** Copies the members in all states but left, this instance first. */
size_t gossip_members(gossip_t *gossip, gossip_member_t *out, size_t max);

/** Asks a member for its position now. @return 0 or an error */
int gossip_probe(gossip_t *gossip, const peer_member_t *member);

/** The number that stands for a failure domain in peer_member_t. */
uint32_t gossip_domain(const char *domain);

/** Spreads a rumor to all instances. */
void gossip_spread(gossip_t *gossip, const peer_rumor_t *rumor);

/** Number of live members with this instance. */
size_t gossip_live_count(gossip_t *gossip);

/** Copies the live members, this instance first. */
size_t gossip_live(gossip_t *gossip, peer_member_t *out, size_t max);

/** The live member that is home to a key, and whether it is this instance. */
peer_member_t gossip_home(gossip_t *gossip, uint64_t key, bool *is_self);

/** Sends a message to a member; see peer_call(). */
int gossip_call(gossip_t *gossip, const peer_member_t *member,
		const peer_message_t *request, peer_message_t *answer,
		uint32_t timeout_ms);

/**
 * Fetches configuration changes above a position, or a snapshot.
 * @param member id of the live member to ask; 0 for any that has more
 * @param document receives memory to free()
 * @return 0, ERR_NOT_FOUND if there is no such member, or an error
 */
int gossip_fetch_config(gossip_t *gossip, uint64_t member, bool snapshot,
			uint64_t from_position, uint64_t *position,
			char **document, size_t *document_bytes);

#endif
