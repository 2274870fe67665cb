/**
 * @file
 * Membership and failure detection between instances, in the manner of the
 * SWIM protocol.
 *
 * One member is probed per period, in a shuffled order that is renewed after
 * each round. A member that does not answer is probed through two others, then
 * suspected, and declared failed if it does not refute the suspicion in time.
 * State changes spread as rumors: they are pushed at once to a few members and
 * piggybacked on later messages.
 *
 * Pure logic: no I/O, clock or locks. The caller performs the actions that
 * membership_tick() returns and reports their results. Times are in
 * milliseconds of a monotonic clock.
 *
 * Size: 96 bytes per member, 126 KB in total.
 */
#ifndef PROCESS_MEMBERSHIP_H
#define PROCESS_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/peer_proto.h"
#include "process/rng.h"
#include "process/rumor.h"

enum {
	MEMBERSHIP_MAX = PEER_MEMBERS_MAX,
	MEMBERSHIP_PROBE_PERIOD_MS = 1000,
	/** Time limit for the direct and the indirect probes together. */
	MEMBERSHIP_PROBE_TIMEOUT_MS = 1500,
	/** Time a suspected member has to refute the suspicion. */
	MEMBERSHIP_SUSPICION_TIMEOUT_MS = 4000,
	/**
	 * Time for which a failed member stays in the table. It is probed
	 * occasionally, so that a network partition is noticed to have healed.
	 */
	MEMBERSHIP_FAILED_RETENTION_MS = 900000,
	/** Time for which a member that left stays in the table. */
	MEMBERSHIP_LEFT_RETENTION_MS = 60000,
	/** Members that are asked to probe a member that does not answer. */
	MEMBERSHIP_INDIRECT_PROBES = 2,
	/** Members of the same failure domain that a change is pushed to. */
	MEMBERSHIP_PUSH_SAME_DOMAIN = 1,
	/** Members of other failure domains that a change is pushed to. */
	MEMBERSHIP_PUSH_CROSS_DOMAIN = 2,
	/** Maximum number of actions that one call returns. */
	MEMBERSHIP_ACTIONS_MAX = 8,
};

/** Highest incarnation of a process that has just started. */
#define MEMBERSHIP_START_INCARNATION_MAX 0xffffffffULL

typedef struct membership_member {
	peer_member_t wire; /**< As sent to other instances. */
	uint64_t state_since_ms;
	uint64_t config_position;
	/** As last received, and when; UINT32_MAX if unknown. */
	uint32_t config_age_ms;
	uint64_t config_age_received_ms;
	uint64_t probe_deadline_ms; /**< 0 if no probe is open. */
	/** Its last message had a lower incarnation than is known: it has
	 * restarted and has to be told. */
	bool sent_lower;
	bool indirect_requested;
} membership_member_t;

typedef struct membership {
	peer_member_t self;
	membership_member_t members[MEMBERSHIP_MAX];
	size_t count;
	/** Indexes into `members`, shuffled for each round of probes. */
	uint16_t probe_order[MEMBERSHIP_MAX];
	size_t probe_order_next;
	size_t probe_order_count;
	uint64_t next_probe_ms;
	uint64_t config_position; /**< Position that this instance applied. */
	uint32_t config_age_ms;	  /**< UINT32_MAX if unknown. */
	bool push_pending;	  /**< A change has not been pushed yet. */
	rumor_buffer_t rumors;
	rng_t rng;
} membership_t;

typedef enum membership_action_kind {
	/** Send PEER_PROBE to `target`. */
	MEMBERSHIP_SEND_PROBE,
	/** Send PEER_INDIRECT to `target`, naming `subject`. */
	MEMBERSHIP_SEND_INDIRECT,
	/** Send PEER_PUSH to `target`. */
	MEMBERSHIP_SEND_PUSH,
	/** Member `target` was declared failed. */
	MEMBERSHIP_FAILED,
} membership_action_kind_t;

typedef struct membership_action {
	membership_action_kind_t kind;
	peer_member_t target;
	peer_member_t subject;
} membership_action_t;

/**
 * Starts with this instance as the only member.
 * @param self this instance; its incarnation is random and at most
 *             MEMBERSHIP_START_INCARNATION_MAX. It is raised above that of an
 *             earlier process once a member tells it.
 */
void membership_init(membership_t *membership, const peer_member_t *self,
		     uint64_t seed, uint64_t now_ms);

/**
 * Starts due probes, requests pushes and updates member states.
 * @return number of actions written to `actions`
 */
size_t membership_tick(membership_t *membership, uint64_t now_ms,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);

/**
 * Reports that a direct probe of `id` failed; requests indirect probes.
 * @return number of actions written to `actions`
 */
size_t
membership_probe_failed(membership_t *membership, uint64_t id, uint64_t now_ms,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);

/** Age of a member's configuration, ms; UINT32_MAX if unknown. */
uint32_t membership_config_age_ms(const membership_member_t *member,
				  uint64_t now_ms);

/** Reports that another member reached `id` for this instance. */
void membership_indirect_ack(membership_t *membership, uint64_t id,
			     uint64_t incarnation);

/**
 * Applies the gossip part of a message: the sender's state and the rumors.
 * @param new_rumors receives the rumors that were not known before, except
 *                   those about members; at most PEER_RUMORS_MAX
 * @return number of rumors in `new_rumors`
 */
size_t membership_receive(membership_t *membership, const peer_gossip_t *gossip,
			  uint64_t now_ms, peer_rumor_t *new_rumors);

/**
 * Adds one member from the platform's instance list, without evidence that it
 * is alive. No rumor is spread, because all instances read the same list.
 */
void membership_add_listed_member(membership_t *membership,
				  const peer_member_t *member, uint64_t now_ms);

/**
 * Adds a rumor that is not about a member; a new one is pushed at the next
 * tick.
 * @return whether the rumor is new
 */
bool membership_spread_rumor(membership_t *membership,
			     const peer_rumor_t *rumor);

/**
 * Sets the configuration position that this instance applied. An increase is
 * pushed at the next tick; a lower position is ignored.
 */
void membership_set_config_position(membership_t *membership,
				    uint64_t position);

/**
 * Fills the gossip part of a message. If `target` is not in state alive here,
 * the message includes its state, so that it can refute it.
 * @param target id of the receiver, or 0 if unknown
 * @param storage array of PEER_RUMORS_MAX rumors that `gossip` points to
 */
void membership_fill_gossip(membership_t *membership, uint64_t target,
			    peer_gossip_t *gossip, peer_rumor_t *storage);

/**
 * Marks this instance as having left.
 * @return number of actions written to `actions`: messages to some members
 */
size_t membership_leave(membership_t *membership,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);

/** Number of members that are alive or suspected, including this instance. */
size_t membership_live_count(const membership_t *membership);

/**
 * Copies the live members, this instance first.
 * @return number copied
 */
size_t membership_live(const membership_t *membership, peer_member_t *out,
		       size_t max);

/** Finds a live member by its id. @return false if there is none */
bool membership_find_live(membership_t *membership, uint64_t id,
			  peer_member_t *member);

/** The owner of `key`: the alive member with the highest rendezvous weight. */
peer_member_t membership_owner(const membership_t *membership, uint64_t key);

/**
 * Picks a random live member whose configuration is newer than `position`,
 * preferably one of the same failure domain.
 * @return false if no such member is known
 */
bool membership_config_source(membership_t *membership, uint64_t position,
			      peer_member_t *source);

#endif
