#include "process/routing.h"

#include <math.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"

/** ROUTING_LEAST_LOADED treats waits that differ by less as equal. */
static const double EQUAL_WAIT_MS = 20;
/** Minimum gain for the second choice; scaled by branch_factor(). */
static const double GAIN_MIN_MS = 50;
/**
 * Cached share assumed for a level without an answer so far: other instances
 * may have sent it before. With 0, such a prompt would go to its second choice
 * as if its first choice had nothing cached.
 */
static const double UNKNOWN_CACHED_SHARE = 0.5;
/** Bound of the absolute value of log2 of branch_factor(). */
static const double BRANCH_FACTOR_LOG2_MAX = 4;
/** Makes the order of branches independent of rendezvous weights. */
static const uint64_t BRANCH_SEED = 0x62726e6368;
/** Time constant of the smoothed share of busy endpoints. */
static const double BUSY_AVERAGE_MS = 5000;

/** Endpoints that remain in a choice, as indices into the pool. */
typedef struct routing_set {
	uint32_t count;
	uint16_t members[ROUTING_ENDPOINTS_MAX];
	/** Rendezvous weights of the members for one key. */
	uint64_t weights[ROUTING_ENDPOINTS_MAX];
} routing_set_t;

/** Inputs and state of one choice. */
typedef struct routing_choice {
	routing_t *routing;
	endpoint_t *const *endpoints;
	const routing_request_t *request;
	uint64_t now_ms;
	rng_t *rng;
	routing_explanation_t *out;
	routing_set_t set;
} routing_choice_t;

void routing_init(routing_t *routing, routing_policy_t policy,
		  uint32_t prefill_tokens_per_s)
{
	routing->policy = policy;
	routing->prefill_tokens_per_s = prefill_tokens_per_s;
	routing->import_tokens_per_s = 0;
	routing->round_robin = 0;
	routing->busy_share = 0;
	routing->busy_updated_ms = 0;
	prefix_stats_init(&routing->stats);
	cache_index_init(&routing->cache_index);
}

static bool is_mismatch(const char *current, const char *required)
{
	return required && current[0] && strcmp(current, required) != 0;
}

static bool is_excluded(const routing_request_t *request, uint64_t id_hash)
{
	for (size_t i = 0; i < request->excluded_count; i++) {
		if (request->excluded[i] == id_hash)
			return true;
	}
	return false;
}

static bool is_allowed(const routing_request_t *request,
		       const endpoint_t *endpoint, uint64_t now_ms)
{
	endpoint_state_t state = endpoint_state(endpoint, now_ms);

	if (state != ENDPOINT_USABLE && state != ENDPOINT_SLOW_START)
		return false;
	if (is_excluded(request, endpoint->id_hash))
		return false;
	if (is_mismatch(endpoint->model, request->model) ||
	    is_mismatch(endpoint->adapter, request->adapter) ||
	    is_mismatch(endpoint->weights_version, request->weights_version))
		return false;
	return !request->isolated || endpoint_is_idle(endpoint, now_ms);
}

static void update_busy_share(routing_t *routing, double share, uint64_t now_ms)
{
	double interval_ms;

	/* Threads may pass their times out of order. */
	if (now_ms <= routing->busy_updated_ms)
		return;
	interval_ms = (double)(now_ms - routing->busy_updated_ms);
	routing->busy_share += (1 - exp(-interval_ms / BUSY_AVERAGE_MS)) *
			       (share - routing->busy_share);
	routing->busy_updated_ms = now_ms;
}

static void collect_usable(routing_choice_t *choice, size_t endpoint_count)
{
	routing_set_t *set = &choice->set;
	uint32_t busy = 0;

	set->count = 0;
	for (size_t i = 0; i < endpoint_count; i++) {
		const endpoint_t *endpoint = choice->endpoints[i];

		busy += endpoint_is_busy(endpoint, choice->now_ms);
		if (is_allowed(choice->request, endpoint, choice->now_ms))
			set->members[set->count++] = (uint16_t)i;
	}
	if (endpoint_count)
		update_busy_share(choice->routing,
				  (double)busy / endpoint_count,
				  choice->now_ms);
}

static double expected_wait_ms(const routing_choice_t *choice, uint32_t index)
{
	return endpoint_expected_wait_ms(
		choice->endpoints[index], choice->request->urgency,
		choice->routing->prefill_tokens_per_s, choice->now_ms);
}

static void compute_weights(routing_choice_t *choice, uint64_t key)
{
	routing_set_t *set = &choice->set;

	for (uint32_t i = 0; i < set->count; i++)
		set->weights[i] = hash_rendezvous(
			key, choice->endpoints[set->members[i]]->id_hash);
}

static void swap_members(routing_set_t *set, uint32_t a, uint32_t b)
{
	uint16_t member = set->members[a];
	uint64_t weight = set->weights[a];

	set->members[a] = set->members[b];
	set->weights[a] = set->weights[b];
	set->members[b] = member;
	set->weights[b] = weight;
}

/** Moves the member with the highest weight in [from, to) to `from`. */
static void move_highest_to(routing_set_t *set, uint32_t from, uint32_t to)
{
	uint32_t best = from;

	for (uint32_t i = from + 1; i < to; i++) {
		if (set->weights[i] > set->weights[best])
			best = i;
	}
	swap_members(set, from, best);
}

/**
 * Partitions [from, to) around the weight of its middle member, highest first.
 * @return the index of that member afterwards
 */
static uint32_t partition(routing_set_t *set, uint32_t from, uint32_t to)
{
	uint32_t pivot = from;

	swap_members(set, from + (to - from) / 2, to - 1);
	for (uint32_t i = from; i < to - 1; i++) {
		if (set->weights[i] > set->weights[to - 1])
			swap_members(set, i, pivot++);
	}
	swap_members(set, pivot, to - 1);
	return pivot;
}

/** Moves the `count` members with the highest weights to the front. */
static void select_highest(routing_set_t *set, uint32_t count)
{
	uint32_t from = 0;
	uint32_t to = set->count;

	while (to - from > 1) {
		uint32_t pivot = partition(set, from, to);

		if (pivot == count)
			return;
		if (pivot < count)
			from = pivot + 1;
		else
			to = pivot;
	}
}

/**
 * Narrows the set by the steps of a plan. At the end, the first choice is
 * member 0 and the second choice, if any, member 1; both follow from the keys
 * and the set alone. If the last step has one replica, both come from the set
 * of the step before it, ordered by the key of the last step.
 */
static void narrow_by_plan(routing_choice_t *choice, const prefix_plan_t *plan)
{
	routing_set_t *set = &choice->set;

	for (uint32_t i = 0; i < plan->step_count; i++) {
		const prefix_plan_step_t *step = &plan->steps[i];

		compute_weights(choice, step->key);
		if (step->replicas <= 1)
			break;
		if (step->replicas < set->count) {
			select_highest(set, step->replicas);
			set->count = step->replicas;
		}
	}
	if (!plan->step_count)
		compute_weights(choice, choice->request->whole_key);
	move_highest_to(set, 0, set->count);
	if (set->count > 1)
		move_highest_to(set, 1, set->count);
}

/** Cached tokens of this prompt at an endpoint by the cache index. */
static uint32_t find_indexed_tokens(const routing_choice_t *choice,
				    const endpoint_t *endpoint)
{
	const routing_request_t *request = choice->request;

	for (size_t i = request->level_count; i > 0; i--) {
		uint32_t tokens = cache_index_tokens(
			&choice->routing->cache_index,
			&endpoint->cache_index_source,
			prefix_level_block_key(&request->levels[i - 1]),
			choice->now_ms);

		if (tokens)
			return tokens;
	}
	return 0;
}

/**
 * Cached tokens expected at an endpoint to which other instances send the same
 * prefixes: the cached share that answers showed for each level below
 * `limit_tokens`.
 */
static uint32_t estimate_cached_tokens(const routing_choice_t *choice,
				       uint32_t limit_tokens)
{
	const routing_request_t *request = choice->request;
	double tokens = 0;
	double previous_tokens = 0;

	for (size_t i = 0; i < request->level_count; i++) {
		const prefix_level_t *level = &request->levels[i];
		double share;

		if (level->tokens >= limit_tokens)
			break;
		share = prefix_stats_cached_share(&choice->routing->stats,
						  level->key,
						  UNKNOWN_CACHED_SHARE);
		tokens += share * (level->full_tokens - previous_tokens);
		previous_tokens = level->full_tokens;
	}
	return (uint32_t)tokens;
}

static uint32_t clamp_ms(double value_ms)
{
	if (value_ms >= UINT32_MAX)
		return UINT32_MAX - 1;
	return (uint32_t)(value_ms + 0.5);
}

static double prefill_ms(const routing_choice_t *choice, uint32_t cached)
{
	uint32_t prompt_tokens = choice->request->prompt_tokens;
	uint32_t tokens_per_s = choice->routing->prefill_tokens_per_s;

	if (!tokens_per_s || cached >= prompt_tokens)
		return 0;
	return (prompt_tokens - cached) * 1000.0 / tokens_per_s;
}

/** Time to import what the KV cache store holds and prefill the rest. */
static uint32_t import_ms(const routing_choice_t *choice, uint32_t cached)
{
	uint32_t tokens_per_s = choice->routing->import_tokens_per_s;
	uint32_t stored = choice->request->kv_store_tokens;

	if (!tokens_per_s || stored <= cached)
		return UINT32_MAX;
	return clamp_ms((stored - cached) * 1000.0 / tokens_per_s +
			prefill_ms(choice, stored));
}

static routing_candidate_t *add_candidate(routing_choice_t *choice,
					  uint32_t index,
					  uint32_t estimated_tokens)
{
	const endpoint_t *endpoint = choice->endpoints[index];
	routing_explanation_t *out = choice->out;
	routing_candidate_t *candidate =
		&out->candidates[out->candidate_count++];
	uint32_t indexed_tokens = find_indexed_tokens(choice, endpoint);
	double recompute_ms;

	candidate->endpoint = index;
	candidate->state = endpoint_state(endpoint, choice->now_ms);
	candidate->indexed_tokens = indexed_tokens;
	candidate->cached_tokens = indexed_tokens > estimated_tokens
					   ? indexed_tokens
					   : estimated_tokens;
	recompute_ms = prefill_ms(choice, candidate->cached_tokens);
	if (endpoint->slowness > 1)
		recompute_ms *= endpoint->slowness;
	candidate->recompute_ms = clamp_ms(recompute_ms);
	candidate->import_ms = import_ms(choice, candidate->cached_tokens);
	candidate->wait_ms = clamp_ms(expected_wait_ms(choice, index));
	candidate->ttft_ms = candidate->recompute_ms;
	if (candidate->import_ms < candidate->ttft_ms)
		candidate->ttft_ms = candidate->import_ms;
	candidate->ttft_ms =
		clamp_ms((double)candidate->ttft_ms + candidate->wait_ms);
	return candidate;
}

/** Time to import or prefill the tokens that a candidate has not cached. */
static double cache_fill_ms(const routing_candidate_t *candidate)
{
	if (candidate->import_ms < candidate->recompute_ms)
		return candidate->import_ms;
	return candidate->recompute_ms;
}

/**
 * Factor on the gain needed for the second choice, from a hash of the prompt's
 * branch below its placement level. Thus all instances move the same branches
 * first; with one factor for all, each branch would be computed at both
 * choices.
 */
static double branch_factor(const routing_choice_t *choice)
{
	const routing_request_t *request = choice->request;
	uint64_t branch = prefix_stats_branch_key(
		&choice->routing->stats, request->levels, request->level_count,
		choice->out->level_tokens);
	double position = (double)hash_rendezvous(branch, BRANCH_SEED) /
			  (double)UINT64_MAX;

	return branch ? exp2((2 * position - 1) * BRANCH_FACTOR_LOG2_MAX) : 1;
}

/** Whether the second choice gains enough over the first. */
static bool prefers_second(const routing_candidate_t *first,
			   const routing_candidate_t *second, double factor)
{
	double gain_ms = (double)first->wait_ms - second->wait_ms;
	double added_ms = fmax(0, cache_fill_ms(second) - cache_fill_ms(first));

	return gain_ms >=
	       factor * fmax(GAIN_MIN_MS, ROUTING_MIN_GAIN_FACTOR * added_ms);
}

static bool passes_slow_start(const routing_choice_t *choice, uint32_t index)
{
	const endpoint_t *endpoint = choice->endpoints[index];

	return rng_unit(choice->rng) <
	       endpoint_slow_start_share(endpoint, choice->now_ms);
}

static bool is_unusable_first(const routing_choice_t *choice,
			      const prefix_plan_t *plan, size_t endpoint_count)
{
	uint64_t key = plan->step_count ? plan->steps[0].key
					: choice->request->whole_key;
	uint64_t best = 0;
	uint32_t index = 0;

	/* With more steps, the first choice is not taken from all endpoints. */
	if (choice->set.count == endpoint_count || plan->step_count > 1)
		return false;
	for (uint32_t i = 0; i < endpoint_count; i++) {
		uint64_t weight =
			hash_rendezvous(key, choice->endpoints[i]->id_hash);

		if (weight > best) {
			best = weight;
			index = i;
		}
	}
	return !is_allowed(choice->request, choice->endpoints[index],
			   choice->now_ms);
}

/** Moves two random members to the front; all members are equal replicas. */
static void pick_two_at_random(routing_choice_t *choice)
{
	routing_set_t *set = &choice->set;

	for (uint32_t i = 0; i < 2 && i < set->count; i++)
		swap_members(
			set, i,
			i + (uint32_t)rng_below(choice->rng, set->count - i));
}

static void choose_prefix(routing_choice_t *choice, size_t endpoint_count)
{
	routing_explanation_t *out = choice->out;
	const routing_request_t *request = choice->request;
	const routing_candidate_t *first;
	const routing_candidate_t *second;
	prefix_plan_t plan;
	uint32_t estimated_tokens = estimate_cached_tokens(choice, UINT32_MAX);
	uint32_t second_tokens = 0;

	prefix_stats_plan(&choice->routing->stats, request->levels,
			  request->level_count, (uint32_t)endpoint_count,
			  choice->routing->busy_share, choice->now_ms, &plan);
	out->replicas = 1;
	out->reason = is_unusable_first(choice, &plan, endpoint_count)
			      ? ROUTING_REASON_FIRST_UNUSABLE
			      : ROUTING_REASON_FIRST_CHOICE;
	narrow_by_plan(choice, &plan);
	if (plan.step_count) {
		out->level_key = plan.steps[plan.step_count - 1].key;
		out->level_tokens = plan.steps[plan.step_count - 1].tokens;
		out->replicas = plan.steps[plan.step_count - 1].replicas;
	}
	/* If the second choice is a replica of the placement level, it is
	 * expected to cache as much as the first; otherwise it is expected to
	 * cache only the levels above. */
	if (out->replicas > 1)
		second_tokens = estimated_tokens;
	else if (plan.step_count > 1)
		second_tokens =
			estimate_cached_tokens(choice, out->level_tokens);
	if (out->replicas > 1)
		pick_two_at_random(choice);
	first = add_candidate(choice, choice->set.members[0], estimated_tokens);
	if (choice->set.count < 2)
		return;
	second = add_candidate(choice, choice->set.members[1], second_tokens);
	if (prefers_second(first, second, branch_factor(choice))) {
		out->chosen = 1;
		out->reason = ROUTING_REASON_SECOND_CHOICE;
	} else if (!passes_slow_start(choice, first->endpoint)) {
		out->chosen = 1;
		out->reason = ROUTING_REASON_SLOW_START;
	}
}

/** Chooses the lowest wait, at random among nearly equal ones. */
static void choose_least_loaded(routing_choice_t *choice)
{
	const routing_set_t *set = &choice->set;
	double lowest_ms = INFINITY;
	uint32_t equal_count = 0;
	uint32_t chosen = 0;

	for (uint32_t i = 0; i < set->count; i++)
		lowest_ms = fmin(lowest_ms,
				 expected_wait_ms(choice, set->members[i]));
	for (uint32_t i = 0; i < set->count; i++) {
		double wait_ms = expected_wait_ms(choice, set->members[i]);

		if (wait_ms <= lowest_ms + EQUAL_WAIT_MS &&
		    !rng_below(choice->rng, ++equal_count))
			chosen = set->members[i];
	}
	add_candidate(choice, chosen, 0);
}

static void choose_hash(routing_choice_t *choice, uint64_t key)
{
	prefix_plan_t plan = { .step_count = 1,
			       .steps = { { .key = key, .replicas = 1 } } };

	narrow_by_plan(choice, &plan);
	choice->out->level_key = key;
	add_candidate(choice, choice->set.members[0], 0);
}

static void choose_by_policy(routing_choice_t *choice, size_t endpoint_count)
{
	routing_t *routing = choice->routing;
	const routing_request_t *request = choice->request;
	const routing_set_t *set = &choice->set;

	switch (routing->policy) {
	case ROUTING_RANDOM:
		add_candidate(choice,
			      set->members[rng_below(choice->rng, set->count)],
			      0);
		break;
	case ROUTING_ROUND_ROBIN:
		add_candidate(choice,
			      set->members[routing->round_robin++ % set->count],
			      0);
		break;
	case ROUTING_LEAST_LOADED:
		choose_least_loaded(choice);
		break;
	case ROUTING_PROMPT_HASH:
		choose_hash(choice, request->whole_key);
		break;
	case ROUTING_FIRST_LEVEL_HASH:
		choose_hash(choice, request->level_count
					    ? request->levels[0].key
					    : request->whole_key);
		break;
	case ROUTING_PREFIX:
	case ROUTING_POLICY_COUNT:
		choose_prefix(choice, endpoint_count);
		break;
	}
}

int routing_choose(routing_t *routing, endpoint_t *const *endpoints,
		   size_t endpoint_count, const routing_request_t *request,
		   uint64_t now_ms, rng_t *rng,
		   routing_explanation_t *explanation)
{
	routing_choice_t choice;
	const routing_candidate_t *chosen;

	memset(explanation, 0, sizeof(*explanation));
	explanation->policy = routing->policy;
	explanation->reason = ROUTING_REASON_POLICY;
	explanation->endpoints = (uint32_t)endpoint_count;
	if (endpoint_count > ROUTING_ENDPOINTS_MAX)
		return ERR_LIMIT;
	choice.routing = routing;
	choice.endpoints = endpoints;
	choice.request = request;
	choice.now_ms = now_ms;
	choice.rng = rng;
	choice.out = explanation;
	if (!request->already_counted)
		prefix_stats_request(&routing->stats, request->levels,
				     request->level_count, now_ms);
	collect_usable(&choice, endpoint_count);
	explanation->usable = choice.set.count;
	if (!choice.set.count)
		return ERR_NO_ENDPOINT;
	choose_by_policy(&choice, endpoint_count);
	if (request->isolated)
		explanation->reason = ROUTING_REASON_ISOLATED;
	chosen = &explanation->candidates[explanation->chosen];
	explanation->import_kv = chosen->import_ms < chosen->recompute_ms;
	return (int)chosen->endpoint;
}

void routing_sent(routing_t *routing, endpoint_t *endpoint,
		  const routing_request_t *request,
		  const routing_explanation_t *explanation, uint64_t now_ms)
{
	const routing_candidate_t *chosen =
		&explanation->candidates[explanation->chosen];
	uint64_t tokens = (uint64_t)((double)cache_fill_ms(chosen) / 1000 *
				     routing->prefill_tokens_per_s);

	if (tokens > request->prompt_tokens)
		tokens = request->prompt_tokens;
	endpoint_sent(endpoint, (uint32_t)tokens, now_ms);
	if (request->isolated)
		endpoint_isolate(endpoint, now_ms);
}

/** Adjusts the endpoint's cache expiry by each level of the prompt. */
static void learn_expiry(routing_t *routing, endpoint_t *endpoint,
			 const routing_request_t *request,
			 uint32_t cached_tokens, uint64_t now_ms)
{
	for (size_t i = 0; i < request->level_count; i++) {
		const prefix_level_t *level = &request->levels[i];

		if (level->full_tokens)
			cache_index_learn_expiry(&routing->cache_index,
						 &endpoint->cache_index_source,
						 prefix_level_block_key(level),
						 level->full_tokens,
						 cached_tokens, now_ms);
	}
}

void routing_first_token(routing_t *routing, endpoint_t *endpoint,
			 const routing_request_t *request,
			 uint32_t cached_tokens, uint32_t queue_ms,
			 uint64_t sent_at_ms, uint64_t now_ms)
{
	uint32_t uncached = request->prompt_tokens > cached_tokens
				    ? request->prompt_tokens - cached_tokens
				    : 0;
	uint64_t elapsed_ms = now_ms - sent_at_ms;
	uint32_t compute_ms =
		elapsed_ms > queue_ms ? clamp_ms(elapsed_ms - queue_ms) : 0;
	double expected_ms = 0;

	if (routing->prefill_tokens_per_s)
		expected_ms = uncached * 1000.0 / routing->prefill_tokens_per_s;
	endpoint_first_token(endpoint, request->urgency, queue_ms, compute_ms,
			     clamp_ms(expected_ms), now_ms);
	learn_expiry(routing, endpoint, request, cached_tokens, now_ms);
	prefix_stats_answer(&routing->stats, request->levels,
			    request->level_count, cached_tokens);
	for (size_t i = 0; i < request->level_count; i++) {
		const prefix_level_t *level = &request->levels[i];

		if (level->full_tokens &&
		    prefix_stats_is_shared(&routing->stats, level->key))
			cache_index_confirm(&routing->cache_index,
					    &endpoint->cache_index_source,
					    prefix_level_block_key(level),
					    level->full_tokens, now_ms);
	}
}

void routing_ended(endpoint_t *endpoint, const routing_request_t *request,
		   endpoint_outcome_t outcome, bool had_first_token, rng_t *rng,
		   uint64_t now_ms)
{
	endpoint_ended(endpoint, outcome, had_first_token, rng, now_ms);
	if (request->isolated)
		endpoint_end_isolation(endpoint);
}

uint32_t routing_pool_wait_ms(const routing_t *routing,
			      endpoint_t *const *endpoints,
			      size_t endpoint_count, uint64_t now_ms)
{
	uint32_t counts[ROUTING_WAIT_BINS] = { 0 };
	uint32_t usable = 0;
	uint32_t cumulative = 0;

	for (size_t i = 0; i < endpoint_count; i++) {
		endpoint_state_t state = endpoint_state(endpoints[i], now_ms);
		double wait_ms;
		double bin;

		if (state != ENDPOINT_USABLE && state != ENDPOINT_SLOW_START)
			continue;
		wait_ms = endpoint_expected_wait_ms(
			endpoints[i], 0, routing->prefill_tokens_per_s, now_ms);
		bin = ceil(wait_ms / ROUTING_WAIT_BIN_MS);
		if (bin >= ROUTING_WAIT_BINS)
			bin = ROUTING_WAIT_BINS - 1;
		counts[(uint32_t)bin]++;
		usable++;
	}
	if (!usable)
		return UINT32_MAX;
	for (uint32_t i = 0; i < ROUTING_WAIT_BINS; i++) {
		cumulative += counts[i];
		if (2 * cumulative >= usable)
			return i * ROUTING_WAIT_BIN_MS;
	}
	return UINT32_MAX;
}

const char *routing_policy_name(routing_policy_t policy)
{
	switch (policy) {
	case ROUTING_PREFIX:
		return "prefix";
	case ROUTING_RANDOM:
		return "random";
	case ROUTING_ROUND_ROBIN:
		return "round_robin";
	case ROUTING_LEAST_LOADED:
		return "least_loaded";
	case ROUTING_PROMPT_HASH:
		return "prompt_hash";
	case ROUTING_FIRST_LEVEL_HASH:
		return "first_level_hash";
	case ROUTING_POLICY_COUNT:
		break;
	}
	return "unknown";
}

const char *routing_reason_name(routing_reason_t reason)
{
	switch (reason) {
	case ROUTING_REASON_POLICY:
		return "policy";
	case ROUTING_REASON_FIRST_CHOICE:
		return "first_choice";
	case ROUTING_REASON_SECOND_CHOICE:
		return "second_choice";
	case ROUTING_REASON_FIRST_UNUSABLE:
		return "first_unusable";
	case ROUTING_REASON_ISOLATED:
		return "isolated";
	case ROUTING_REASON_SLOW_START:
		return "slow_start";
	}
	return "unknown";
}
