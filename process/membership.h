/**
 * @file
 * Decision module: which instances are members and alive.
 *
 * One member is probed each period, in shuffled rounds. A member that does
 * not answer is probed through two others, then suspected, and declared
 * failed when the suspicion is not refuted in time. News spread as rumors:
 * pushed at once to a few members and carried by each message after that.
 *
 * The caller performs the actions that membership_tick() returns and reports
 * what came of them. Times are in milliseconds of a monotonic clock.
 *
 * Size: 96 bytes a member, 126 KB in all.
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
	/** Time for the direct and the indirect probes to be answered. */
	MEMBERSHIP_PROBE_LIMIT_MS = 1500,
	/** Time a suspected member has to refute the suspicion. */
	MEMBERSHIP_SUSPICION_MS = 4000,
	/** A failed member is probed now and then, to end a partition. */
	MEMBERSHIP_FORGET_MS = 900000,
	MEMBERSHIP_LEFT_FORGET_MS = 60000,
	/** Members asked to probe on one's behalf. */
	MEMBERSHIP_INDIRECT_COUNT = 2,
	/** Members that news are pushed to at once, near and far. */
	MEMBERSHIP_PUSH_NEAR = 1,
	MEMBERSHIP_PUSH_FAR = 2,
	/** Most actions that one call returns. */
	MEMBERSHIP_ACTIONS_MAX = 8,
};

typedef struct membership_member {
	peer_member_t wire;
	uint64_t state_since_ms;
	uint64_t heard_ms; /**< Last direct message. */
	uint64_t config_position;
	uint32_t config_age_ms;	    /**< When heard; UINT32_MAX if unknown. */
	uint64_t probe_deadline_ms; /**< 0 if no probe is open. */
	bool indirect_asked;
} membership_member_t;

typedef struct membership {
	peer_member_t self;
	membership_member_t members[MEMBERSHIP_MAX];
	size_t count;
	uint16_t round[MEMBERSHIP_MAX]; /**< Shuffled order of probes. */
	size_t round_next;
	size_t round_count;
	uint64_t next_probe_ms;
	uint64_t config_position; /**< Position in force here. */
	uint32_t config_age_ms;	  /**< UINT32_MAX if unknown. */
	bool push_wanted;
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

/** @param self this instance; its incarnation is its start time */
void membership_init(membership_t *membership, const peer_member_t *self,
		     uint64_t seed, uint64_t now_ms);

/**
 * Advances time.
 * @return number of actions written to `actions`
 */
size_t membership_tick(membership_t *membership, uint64_t now_ms,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);

/**
 * A direct probe of `id` failed; asks others to probe it.
 * @return number of actions
 */
size_t
membership_probe_failed(membership_t *membership, uint64_t id, uint64_t now_ms,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);

/** Another member reached `id` on this instance's behalf. */
void membership_indirect_ack(membership_t *membership, uint64_t id,
			     uint64_t incarnation, uint64_t now_ms);

/**
 * Takes what a message tells of its sender and of other members.
 * @param news receives the rumors of other kinds that were not known, at most
 *             PEER_RUMORS_MAX
 * @return number of rumors in `news`
 */
size_t membership_receive(membership_t *membership, const peer_gossip_t *gossip,
			  uint64_t now_ms, peer_rumor_t *news);

/**
 * Takes one member from a list, without direct evidence that it lives. It is
 * not spread, since every other instance can read the same list.
 */
void membership_learn(membership_t *membership, const peer_member_t *member,
		      uint64_t now_ms);

/** Adds a rumor of another kind; it is pushed at once when new. */
bool membership_spread(membership_t *membership, const peer_rumor_t *rumor);

/** Sets the position in force here; a rise is pushed at once. */
void membership_set_position(membership_t *membership, uint64_t position);

/**
 * Fills the gossip part of a message. If `target` is not believed to be
 * alive, the message tells it so, for it to refute that.
 * @param target id of the receiver, or 0 if unknown
 * @param storage room for PEER_RUMORS_MAX rumors, used by the result
 */
void membership_fill(membership_t *membership, uint64_t target,
		     peer_gossip_t *gossip, peer_rumor_t *storage);

/** Marks this instance as leaving and returns whom to tell. */
size_t membership_leave(membership_t *membership,
			membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);

/** Number of members that are alive or suspected, with this instance. */
size_t membership_live_count(const membership_t *membership);

/**
 * Copies the live members, this instance first.
 * @return number copied
 */
size_t membership_live(const membership_t *membership, peer_member_t *out,
		       size_t max);

/** A live member by its id. @return false if there is none */
bool membership_find_live(membership_t *membership, uint64_t id,
			  peer_member_t *member);

/** The live member with the highest rendezvous weight for `key`. */
peer_member_t membership_home(const membership_t *membership, uint64_t key);

/**
 * A live member to fetch a configuration above `position` from, near ones
 * preferred.
 * @return false if none is known to have one
 */
bool membership_config_source(membership_t *membership, uint64_t position,
			      peer_member_t *source);

#endif
