#include "process/prefix_stats.h"

#include <math.h>
#include <string.h>

#include "process/hash.h"

/** Share of one endpoint's time that the prompts of a level may use. */
static const double TARGET_UTILIZATION = 0.8;
/** Demand, as ratio to the next lower count, below which replicas decrease. */
static const double SCALE_DOWN_RATIO = 0.7;
/** Minimum count of a level that is assumed to be shared. */
static const float SHARED_COUNT_MIN = 1.5F;
/**
 * Number of standard errors subtracted from a count to get a lower bound of its
 * share. With fewer, instances with few requests each find different hot
 * prefixes, and different replica counts for a prefix place the prompts below
 * it on different endpoints.
 */
static const double COUNT_STD_ERRORS = 3;
/** Prompts diverge at a level with at most this share of the one above. */
static const float DIVERGE_SHARE = 0.75F;
/** Minimum count of the level above for detecting that prompts diverge. */
static const float DIVERGE_COUNT_MIN = 2;
/** Answers after which their counts are halved, to favour recent ones. */
static const float ANSWERS_MAX = 20;

void prefix_stats_init(prefix_stats_t *stats)
{
	memset(stats, 0, sizeof(*stats));
}

static float decayed(float count, uint64_t updated_ms, uint64_t now_ms,
		     float decay_ms)
{
	if (now_ms <= updated_ms)
		return count;
	return count * expf(-(float)(now_ms - updated_ms) / decay_ms);
}

/** Decays both counts to the current time. */
static void decay_counts(float *fast_count, float *slow_count,
			 uint64_t *updated_ms, uint64_t now_ms)
{
	*fast_count =
		decayed(*fast_count, *updated_ms, now_ms, PREFIX_STATS_FAST_MS);
	*slow_count =
		decayed(*slow_count, *updated_ms, now_ms, PREFIX_STATS_SLOW_MS);
	if (now_ms > *updated_ms)
		*updated_ms = now_ms;
}

static void decay_stat(prefix_stat_t *stat, uint64_t now_ms)
{
	decay_counts(&stat->fast_count, &stat->slow_count, &stat->updated_ms,
		     now_ms);
}

static void decay_totals(prefix_stats_t *stats, uint64_t now_ms)
{
	decay_counts(&stats->total_fast_count, &stats->total_slow_count,
		     &stats->total_updated_ms, now_ms);
}

static prefix_stat_t *find(prefix_stats_t *stats, uint64_t key)
{
	prefix_stat_t *set = stats->sets[key % PREFIX_STATS_SETS];

	for (size_t i = 0; i < PREFIX_STATS_WAYS; i++) {
		if (set[i].key == key)
			return &set[i];
	}
	return NULL;
}

static const prefix_stat_t *find_const(const prefix_stats_t *stats,
				       uint64_t key)
{
	const prefix_stat_t *set = stats->sets[key % PREFIX_STATS_SETS];

	for (size_t i = 0; i < PREFIX_STATS_WAYS; i++) {
		if (set[i].key == key)
			return &set[i];
	}
	return NULL;
}

/** Inserts a level in place of the one with the lowest count of its set. */
static prefix_stat_t *insert(prefix_stats_t *stats, uint64_t key,
			     uint64_t now_ms)
{
	prefix_stat_t *set = stats->sets[key % PREFIX_STATS_SETS];
	prefix_stat_t *lowest = &set[0];

	for (size_t i = 0; i < PREFIX_STATS_WAYS; i++) {
		decay_stat(&set[i], now_ms);
		if (set[i].slow_count < lowest->slow_count)
			lowest = &set[i];
	}
	memset(lowest, 0, sizeof(*lowest));
	lowest->key = key;
	lowest->updated_ms = now_ms;
	return lowest;
}

void prefix_stats_request(prefix_stats_t *stats, const prefix_level_t *levels,
			  size_t level_count, uint64_t now_ms)
{
	uint32_t inserted = 0;

	decay_totals(stats, now_ms);
	stats->total_fast_count += 1;
	stats->total_slow_count += 1;
	for (size_t i = 0; i < level_count; i++) {
		prefix_stat_t *stat = find(stats, levels[i].key);

		if (!stat && inserted++ == PREFIX_STATS_NEW_MAX)
			break;
		if (!stat)
			stat = insert(stats, levels[i].key, now_ms);
		decay_stat(stat, now_ms);
		stat->fast_count += 1;
		stat->slow_count += 1;
	}
}

void prefix_stats_answer(prefix_stats_t *stats, const prefix_level_t *levels,
			 size_t level_count, uint32_t cached_tokens)
{
	for (size_t i = 0; i < level_count; i++) {
		prefix_stat_t *stat = find(stats, levels[i].key);

		if (!stat)
			continue;
		if (stat->answers >= ANSWERS_MAX) {
			stat->answers *= 0.5F;
			stat->cached *= 0.5F;
		}
		stat->answers += 1;
		if (cached_tokens >= levels[i].full_tokens)
			stat->cached += 1;
	}
}

/** Lower confidence bound of a count's share of the total. */
static double lower_bound_share(float count, float total)
{
	double lower_bound = count - COUNT_STD_ERRORS * sqrt((double)count);

	if (lower_bound <= 0 || total <= 0)
		return 0;
	return lower_bound / total;
}

/** Replicas that a level's demand needs, not rounded. */
static double replicas_needed(const prefix_stats_t *stats,
			      const prefix_stat_t *stat, double busy_endpoints)
{
	double fast_share =
		lower_bound_share(stat->fast_count, stats->total_fast_count);
	double slow_share =
		lower_bound_share(stat->slow_count, stats->total_slow_count);

	return fmax(fast_share, slow_share) * busy_endpoints /
	       TARGET_UTILIZATION;
}

static uint16_t clamp_replicas(double needed, uint32_t endpoint_count)
{
	double replicas = ceil(needed);

	if (replicas < 1)
		return 1;
	if (replicas > endpoint_count)
		return (uint16_t)endpoint_count;
	return (uint16_t)replicas;
}

/** Updates a level's replica count; hysteresis delays a decrease. */
static void update_replicas(const prefix_stats_t *stats, prefix_stat_t *stat,
			    uint32_t endpoint_count, double busy_share,
			    uint64_t now_ms)
{
	double needed;
	uint16_t replicas;

	decay_stat(stat, now_ms);
	needed = replicas_needed(stats, stat, busy_share * endpoint_count);
	replicas = clamp_replicas(needed, endpoint_count);

	if (replicas >= stat->replicas ||
	    needed < SCALE_DOWN_RATIO * (stat->replicas - 1))
		stat->replicas = replicas;
	if (stat->replicas > endpoint_count)
		stat->replicas = (uint16_t)endpoint_count;
}

/** Adds a narrowing step; replaces the last one if the plan is full. */
static void add_step(prefix_plan_t *plan, const prefix_level_t *level,
		     uint16_t replicas)
{
	if (plan->step_count < PREFIX_PLAN_STEPS_MAX)
		plan->step_count++;
	plan->steps[plan->step_count - 1] = (prefix_plan_step_t){
		.key = level->key,
		.tokens = level->tokens,
		.replicas = replicas,
	};
}

void prefix_stats_plan(prefix_stats_t *stats, const prefix_level_t *levels,
		       size_t level_count, uint32_t endpoint_count,
		       double busy_share, uint64_t now_ms, prefix_plan_t *plan)
{
	uint32_t width = endpoint_count;

	plan->step_count = 0;
	decay_totals(stats, now_ms);
	for (size_t i = 0; i < level_count && width > 1; i++) {
		prefix_stat_t *stat = find(stats, levels[i].key);
		uint16_t replicas = 1;

		if (stat) {
			update_replicas(stats, stat, endpoint_count, busy_share,
					now_ms);
			replicas = stat->replicas;
		}
		/* A step that removes few endpoints is not worth a hash of
		 * each endpoint. */
		if (replicas > 1 && replicas * 4 > width * 3)
			continue;
		add_step(plan, &levels[i], replicas);
		width = replicas;
	}
}

uint64_t prefix_stats_branch_key(const prefix_stats_t *stats,
				 const prefix_level_t *levels,
				 size_t level_count, uint32_t tokens)
{
	const prefix_stat_t *above = NULL;

	for (size_t i = 0; i < level_count; i++) {
		const prefix_stat_t *stat;

		if (levels[i].tokens < tokens)
			continue;
		stat = find_const(stats, levels[i].key);
		if (i > 0 && levels[i].tokens > tokens) {
			if (!above || above->slow_count < DIVERGE_COUNT_MIN)
				return 0;
			if (!stat || stat->slow_count <=
					     DIVERGE_SHARE * above->slow_count)
				return levels[i].key;
		}
		above = stat;
	}
	return 0;
}

double prefix_stats_cached_share(const prefix_stats_t *stats, uint64_t key,
				 double unknown)
{
	const prefix_stat_t *stat = find_const(stats, key);

	if (!stat || stat->answers < 1)
		return unknown;
	return stat->cached / stat->answers;
}

bool prefix_stats_is_shared(const prefix_stats_t *stats, uint64_t key)
{
	const prefix_stat_t *stat = find_const(stats, key);

	return stat && stat->slow_count >= SHARED_COUNT_MIN;
}
