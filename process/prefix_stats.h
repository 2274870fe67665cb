/**
 * @file
 * Demand for the shared prefixes of one pool, and the placement plan derived
 * from it.
 *
 * Each prefix level has a request count that decays over time. Its share of
 * the pool's requests gives the number of endpoints that must carry it (its
 * replicas). A plan goes from the shortest level of a prompt to longer ones.
 * Each step narrows the endpoints to as many as the level's demand needs,
 * chosen by rendezvous hashing on the level's key among those of the previous
 * step. The plan ends at the first level that one endpoint can carry: the
 * placement level. A prefix is therefore cached at no more endpoints than its
 * demand needs, and prompts that share a longer prefix are placed on the same
 * one of them. Two instances whose counts differ a little still agree on most
 * endpoints, because the first k endpoints of a rendezvous order are among the
 * first k + 1.
 *
 * Size: 4,096 levels of 40 bytes, 163,840 bytes, and a few counters. A full
 * set replaces the entry with the lowest count. One request inserts at most
 * PREFIX_STATS_NEW_MAX levels, so unique prompts cannot flood the table.
 */
#ifndef PROCESS_PREFIX_STATS_H
#define PROCESS_PREFIX_STATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** The table is set-associative: a key may be in any way of its set. */
	PREFIX_STATS_SETS = 512,
	PREFIX_STATS_WAYS = 8,
	/** Narrowing steps of a plan: enough for 1,024 endpoints. */
	PREFIX_PLAN_STEPS_MAX = 12,
	/** New levels inserted for one request. */
	PREFIX_STATS_NEW_MAX = 16,
	/**
	 * Time constants of the decay (to 1/e) of the two counts of a level.
	 * An instance may see less than one request per second, so shares
	 * are taken from the slow count; the fast one follows a surge.
	 */
	PREFIX_STATS_FAST_MS = 5000,
	PREFIX_STATS_SLOW_MS = 30000,
};

/** A prefix level of a prompt: a boundary at which prompts may diverge. */
typedef struct prefix_level {
	uint64_t key;	 /**< Key of the prompt up to the boundary. */
	uint32_t tokens; /**< Prompt tokens before it, rounded up. */
	/** Of these, tokens in full blocks, which an engine can cache. */
	uint32_t full_tokens;
	/** Key of the last full block; 0 if the level ends with it. */
	uint64_t block_key;
} prefix_level_t;

/** Key under which engines report the last full block of a level. */
static inline uint64_t prefix_level_block_key(const prefix_level_t *level)
{
	return level->block_key ? level->block_key : level->key;
}

/** Statistics of one prefix level. */
typedef struct prefix_stat {
	uint64_t key; /**< 0 when free. */
	uint64_t updated_ms;
	/** Requests, decayed up to `updated_ms`. */
	float fast_count;
	float slow_count;
	/** Answers, and those whose cached tokens cover this level; halved when
	 * their number reaches a limit. */
	float answers;
	float cached;
	uint16_t replicas; /**< Current; 0 before the first plan. */
} prefix_stat_t;

/** Statistics of one pool. */
typedef struct prefix_stats {
	prefix_stat_t sets[PREFIX_STATS_SETS][PREFIX_STATS_WAYS];
	float total_fast_count; /**< Requests of the pool, decayed. */
	float total_slow_count;
	uint64_t total_updated_ms;
} prefix_stats_t;

/** One narrowing step: a level and the endpoints it is narrowed to. */
typedef struct prefix_plan_step {
	uint64_t key;
	uint32_t tokens;
	uint16_t replicas;
} prefix_plan_step_t;

/** Placement of one prompt; the last step is the placement level. */
typedef struct prefix_plan {
	uint32_t step_count;
	prefix_plan_step_t steps[PREFIX_PLAN_STEPS_MAX];
} prefix_plan_t;

void prefix_stats_init(prefix_stats_t *stats);

/** Counts a request. @param levels in ascending order of tokens */
void prefix_stats_request(prefix_stats_t *stats, const prefix_level_t *levels,
			  size_t level_count, uint64_t now_ms);

/** Counts the cached tokens that an answer reports. */
void prefix_stats_answer(prefix_stats_t *stats, const prefix_level_t *levels,
			 size_t level_count, uint32_t cached_tokens);

/**
 * Plans the placement of a prompt over `endpoint_count` endpoints.
 * Replica counts rise at once with demand and fall only when demand is well
 * below what the next lower count can carry.
 * @param busy_share share of the endpoints that are busy, 0 to 1; multiplied
 *        by a level's share of the requests, it gives the share of the
 *        endpoints that the level keeps busy
 */
void prefix_stats_plan(prefix_stats_t *stats, const prefix_level_t *levels,
		       size_t level_count, uint32_t endpoint_count,
		       double busy_share, uint64_t now_ms, prefix_plan_t *plan);

/**
 * Key of the first level longer than `tokens` at which the counted prompts
 * diverge; prompts with the same continuation get the same key.
 * @return 0 while too few prompts were counted to find it
 */
uint64_t prefix_stats_branch_key(const prefix_stats_t *stats,
				 const prefix_level_t *levels,
				 size_t level_count, uint32_t tokens);

/**
 * Share of answers that found a level cached, 0 to 1.
 * @param unknown returned if the level is not in the table or has no answer
 */
double prefix_stats_cached_share(const prefix_stats_t *stats, uint64_t key,
				 double unknown);

/**
 * Whether several prompts share a level, so that an entry in the cache index
 * is useful.
 */
bool prefix_stats_is_shared(const prefix_stats_t *stats, uint64_t key);

#endif
