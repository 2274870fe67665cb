#include "process/prefix_stats.h"

#include <math.h>
#include <string.h>

#include "process/hash.h"

/** Part of one endpoint's time that the prompts of a level may take. */
static const double TARGET_USE = 0.8;
/** Replicas fall when demand is below this part of the next lower count. */
static const double FALL_SHARE = 0.7;
/** A level with a lower count is not known to be shared. */
static const float SHARED_MIN = 1.5F;
/**
 * Standard errors by which a count is lowered before a share is taken. With
 * less, two instances with few requests each find different hot prefixes, and
 * each replica count of its own moves the prompts below a prefix.
 */
static const double COUNT_ERRORS = 3;
/** A level with a lower share of the requests of the one above diverges. */
static const float DIVERGE_SHARE = 0.75F;
/** Requests to a level before it can be seen to diverge. */
static const float DIVERGE_MIN = 2;
/** Answers are remembered as a mean over about this many. */
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
static void update(float *fast, float *slow, uint64_t *updated_ms,
		   uint64_t now_ms)
{
	*fast = decayed(*fast, *updated_ms, now_ms, PREFIX_STATS_FAST_MS);
	*slow = decayed(*slow, *updated_ms, now_ms, PREFIX_STATS_SLOW_MS);
	if (now_ms > *updated_ms)
		*updated_ms = now_ms;
}

static void update_stat(prefix_stat_t *stat, uint64_t now_ms)
{
	update(&stat->fast, &stat->slow, &stat->updated_ms, now_ms);
}

static void update_total(prefix_stats_t *stats, uint64_t now_ms)
{
	update(&stats->total_fast, &stats->total_slow, &stats->total_updated_ms,
	       now_ms);
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

/** Enters a level in place of the one with the lowest count of its set. */
static prefix_stat_t *enter(prefix_stats_t *stats, uint64_t key,
			    uint64_t now_ms)
{
	prefix_stat_t *set = stats->sets[key % PREFIX_STATS_SETS];
	prefix_stat_t *lowest = &set[0];

	for (size_t i = 0; i < PREFIX_STATS_WAYS; i++) {
		update_stat(&set[i], now_ms);
		if (set[i].slow < lowest->slow)
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
	uint32_t entered = 0;

	update_total(stats, now_ms);
	stats->total_fast += 1;
	stats->total_slow += 1;
	for (size_t i = 0; i < level_count; i++) {
		prefix_stat_t *stat = find(stats, levels[i].key);

		if (!stat && entered++ == PREFIX_STATS_NEW_MAX)
			break;
		if (!stat)
			stat = enter(stats, levels[i].key, now_ms);
		update_stat(stat, now_ms);
		stat->fast += 1;
		stat->slow += 1;
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

/** Share of the requests that a count shows with some certainty. */
static double share_of(float count, float total)
{
	double certain = count - COUNT_ERRORS * sqrt((double)count);

	if (certain <= 0 || total <= 0)
		return 0;
	return certain / total;
}

/** Endpoints that a level's demand needs. */
static double wanted(const prefix_stats_t *stats, const prefix_stat_t *stat,
		     double busy_endpoints)
{
	double fast = share_of(stat->fast, stats->total_fast);
	double slow = share_of(stat->slow, stats->total_slow);

	return fmax(fast, slow) * busy_endpoints / TARGET_USE;
}

static uint16_t replicas_for(double want, uint32_t endpoint_count)
{
	double replicas = ceil(want);

	if (replicas < 1)
		return 1;
	if (replicas > endpoint_count)
		return (uint16_t)endpoint_count;
	return (uint16_t)replicas;
}

/** Brings a level's replica count up to date, with hysteresis on the way down.
 */
static void update_replicas(const prefix_stats_t *stats, prefix_stat_t *stat,
			    uint32_t endpoint_count, double busy_share,
			    uint64_t now_ms)
{
	double want;
	uint16_t now;

	update_stat(stat, now_ms);
	want = wanted(stats, stat, busy_share * endpoint_count);
	now = replicas_for(want, endpoint_count);

	if (now >= stat->replicas || want < FALL_SHARE * (stat->replicas - 1))
		stat->replicas = now;
	if (stat->replicas > endpoint_count)
		stat->replicas = (uint16_t)endpoint_count;
}

/** Narrows the plan to fewer endpoints; the last slot is written over. */
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
	update_total(stats, now_ms);
	for (size_t i = 0; i < level_count && width > 1; i++) {
		prefix_stat_t *stat = find(stats, levels[i].key);
		uint16_t replicas = 1;

		if (stat) {
			update_replicas(stats, stat, endpoint_count, busy_share,
					now_ms);
			replicas = stat->replicas;
		}
		/* A step that narrows little costs a hash pass for nothing. */
		if (replicas > 1 && replicas * 4 > width * 3)
			continue;
		add_step(plan, &levels[i], replicas);
		width = replicas;
	}
}

uint64_t prefix_stats_branch(const prefix_stats_t *stats,
			     const prefix_level_t *levels, size_t level_count,
			     uint32_t tokens)
{
	const prefix_stat_t *above = NULL;

	for (size_t i = 0; i < level_count; i++) {
		const prefix_stat_t *stat;

		if (levels[i].tokens < tokens)
			continue;
		stat = find_const(stats, levels[i].key);
		if (i > 0 && levels[i].tokens > tokens) {
			if (!above || above->slow < DIVERGE_MIN)
				return 0;
			if (!stat || stat->slow <= DIVERGE_SHARE * above->slow)
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

	return stat && stat->slow >= SHARED_MIN;
}
