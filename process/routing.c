#include "process/routing.h"

#include <math.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"

/** Waits that differ by less are equal for the choice. */
static const double EQUAL_WAIT_MS = 20;
/** A gain below this moves a request only if its branch leaves early. */
static const double GAIN_MIN_MS = 50;
/**
 * Cached share assumed of a level no answer was seen for: other instances may
 * have sent it before. With 0, such a prompt leaves its first choice as if
 * that had nothing cached.
 */
static const double UNKNOWN_CACHED_SHARE = 0.5;
/** The gain needed varies by 2 to this power, up and down, over branches. */
static const double BRANCH_SPREAD = 4;
/** Separates the order of branches from rendezvous weights. */
static const uint64_t BRANCH_SEED = 0x62726e6368;
/** Time over which the share of busy endpoints is averaged. */
static const double BUSY_AVERAGE_MS = 5000;

/** Endpoints that a choice is made from, as indices into the pool. */
typedef struct routing_set {
	uint32_t count;
	uint16_t members[ROUTING_ENDPOINTS_MAX];
	uint64_t weights[ROUTING_ENDPOINTS_MAX]; /**< For the step at hand. */
} routing_set_t;

/** Inputs of one choice, to keep argument lists short. */
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
	cache_index_init(&routing->beliefs);
}

static bool is_other(const char *in_force, const char *required)
{
	return required && in_force[0] && strcmp(in_force, required) != 0;
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
	if (is_other(endpoint->model, request->model) ||
	    is_other(endpoint->adapter, request->adapter) ||
	    is_other(endpoint->weights_version, request->weights_version))
		return false;
	return !request->isolated || endpoint_is_idle(endpoint, now_ms);
}

static void average_busy(routing_t *routing, double share, uint64_t now_ms)
{
	double age;

	/* Threads may pass times out of order. */
	if (now_ms <= routing->busy_updated_ms)
		return;
	age = (double)(now_ms - routing->busy_updated_ms);
	routing->busy_share += (1 - exp(-age / BUSY_AVERAGE_MS)) *
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
		average_busy(choice->routing, (double)busy / endpoint_count,
			     choice->now_ms);
}

static double wait_of(const routing_choice_t *choice, uint32_t index)
{
	return endpoint_expected_wait_ms(
		choice->endpoints[index], choice->request->urgency,
		choice->routing->prefill_tokens_per_s, choice->now_ms);
}

static void weigh(routing_choice_t *choice, uint64_t key)
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
static void lift_highest(routing_set_t *set, uint32_t from, uint32_t to)
{
	uint32_t best = from;

	for (uint32_t i = from + 1; i < to; i++) {
		if (set->weights[i] > set->weights[best])
			best = i;
	}
	swap_members(set, from, best);
}

/** Splits [from, to) around one weight; highest first. @return its place */
static uint32_t partition(routing_set_t *set, uint32_t from, uint32_t to)
{
	uint32_t place = from;

	swap_members(set, from + (to - from) / 2, to - 1);
	for (uint32_t i = from; i < to - 1; i++) {
		if (set->weights[i] > set->weights[to - 1])
			swap_members(set, i, place++);
	}
	swap_members(set, place, to - 1);
	return place;
}

/** Brings the `count` members with the highest weights to the front. */
static void select_highest(routing_set_t *set, uint32_t count)
{
	uint32_t from = 0;
	uint32_t to = set->count;

	while (to - from > 1) {
		uint32_t place = partition(set, from, to);

		if (place == count)
			return;
		if (place < count)
			from = place + 1;
		else
			to = place;
	}
}

/**
 * Narrows the set along a plan. At the end the first choice is member 0, the
 * fixed second choice member 1 (if any), both of the last set narrowed from.
 */
static void place(routing_choice_t *choice, const prefix_plan_t *plan)
{
	routing_set_t *set = &choice->set;

	for (uint32_t i = 0; i < plan->step_count; i++) {
		const prefix_plan_step_t *step = &plan->steps[i];

		weigh(choice, step->key);
		if (step->replicas <= 1)
			break;
		if (step->replicas < set->count) {
			select_highest(set, step->replicas);
			set->count = step->replicas;
		}
	}
	if (!plan->step_count)
		weigh(choice, choice->request->whole_key);
	lift_highest(set, 0, set->count);
	if (set->count > 1)
		lift_highest(set, 1, set->count);
}

/** Cached tokens one endpoint is believed to have of this prompt. */
static uint32_t believed_tokens(const routing_choice_t *choice,
				const endpoint_t *endpoint)
{
	const routing_request_t *request = choice->request;

	for (size_t i = request->level_count; i > 0; i--) {
		uint32_t tokens = cache_index_tokens(
			&choice->routing->beliefs,
			&endpoint->cache_index_source,
			prefix_level_block_key(&request->levels[i - 1]),
			choice->now_ms);

		if (tokens)
			return tokens;
	}
	return 0;
}

/**
 * Cached tokens expected where the other instances send the same prefixes too:
 * what answers showed for each level below `limit_tokens`.
 */
static uint32_t usual_tokens(const routing_choice_t *choice,
			     uint32_t limit_tokens)
{
	const routing_request_t *request = choice->request;
	double tokens = 0;
	double before = 0;

	for (size_t i = 0; i < request->level_count; i++) {
		const prefix_level_t *level = &request->levels[i];
		double share;

		if (level->tokens >= limit_tokens)
			break;
		share = prefix_stats_cached_share(&choice->routing->stats,
						  level->key,
						  UNKNOWN_CACHED_SHARE);

		tokens += share * (level->full_tokens - before);
		before = level->full_tokens;
	}
	return (uint32_t)tokens;
}

static uint32_t clamp_ms(double value_ms)
{
	if (value_ms >= UINT32_MAX)
		return UINT32_MAX - 1;
	return (uint32_t)(value_ms + 0.5);
}

static double compute_ms(const routing_choice_t *choice, uint32_t cached)
{
	uint32_t all = choice->request->prompt_tokens;
	uint32_t rate = choice->routing->prefill_tokens_per_s;

	if (!rate || cached >= all)
		return 0;
	return (all - cached) * 1000.0 / rate;
}

/** Time of importing what the store holds and computing the rest. */
static uint32_t import_ms(const routing_choice_t *choice, uint32_t cached)
{
	uint32_t rate = choice->routing->import_tokens_per_s;
	uint32_t stored = choice->request->kv_store_tokens;

	if (!rate || stored <= cached)
		return UINT32_MAX;
	return clamp_ms((stored - cached) * 1000.0 / rate +
			compute_ms(choice, stored));
}

static routing_candidate_t *add_candidate(routing_choice_t *choice,
					  uint32_t index, uint32_t usual)
{
	const endpoint_t *endpoint = choice->endpoints[index];
	routing_explanation_t *out = choice->out;
	routing_candidate_t *candidate =
		&out->candidates[out->candidate_count++];
	uint32_t believed = believed_tokens(choice, endpoint);
	double recompute;

	candidate->endpoint = index;
	candidate->state = endpoint_state(endpoint, choice->now_ms);
	candidate->believed_tokens = believed;
	candidate->cached_tokens = believed > usual ? believed : usual;
	recompute = compute_ms(choice, candidate->cached_tokens);
	if (endpoint->slowness > 1)
		recompute *= endpoint->slowness;
	candidate->recompute_ms = clamp_ms(recompute);
	candidate->import_ms = import_ms(choice, candidate->cached_tokens);
	candidate->wait_ms = clamp_ms(wait_of(choice, index));
	candidate->ttft_ms = candidate->recompute_ms;
	if (candidate->import_ms < candidate->ttft_ms)
		candidate->ttft_ms = candidate->import_ms;
	candidate->ttft_ms =
		clamp_ms((double)candidate->ttft_ms + candidate->wait_ms);
	return candidate;
}

/** Time a candidate spends on getting the tokens it has not cached. */
static double fill_ms(const routing_candidate_t *candidate)
{
	if (candidate->import_ms < candidate->recompute_ms)
		return candidate->import_ms;
	return candidate->recompute_ms;
}

/**
 * Factor of the gain needed, by the branch of the prompt below its placement
 * level. All instances move the same branches first; with one factor for all,
 * each branch would be computed at both choices.
 */
static double branch_factor(const routing_choice_t *choice)
{
	const routing_request_t *request = choice->request;
	uint64_t branch = prefix_stats_branch(
		&choice->routing->stats, request->levels, request->level_count,
		choice->out->level_tokens);
	double place = (double)hash_rendezvous(branch, BRANCH_SEED) /
		       (double)UINT64_MAX;

	return branch ? exp2((2 * place - 1) * BRANCH_SPREAD) : 1;
}

/** Whether to leave the first choice for the second. */
static bool leaves_first(const routing_candidate_t *first,
			 const routing_candidate_t *second, double factor)
{
	double gain = (double)first->wait_ms - second->wait_ms;
	double caused = fmax(0, fill_ms(second) - fill_ms(first));

	return gain >=
	       factor * fmax(GAIN_MIN_MS, ROUTING_LEAVE_FACTOR * caused);
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

	/* Only a plan of one step names a first choice over all endpoints. */
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

/** Of equal replicas of the last level, two at random are compared. */
static void draw_two(routing_choice_t *choice)
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
	uint32_t usual = usual_tokens(choice, UINT32_MAX);
	uint32_t usual_second = 0;

	prefix_stats_plan(&choice->routing->stats, request->levels,
			  request->level_count, (uint32_t)endpoint_count,
			  choice->routing->busy_share, choice->now_ms, &plan);
	out->replicas = 1;
	out->reason = is_unusable_first(choice, &plan, endpoint_count)
			      ? ROUTING_REASON_FIRST_UNUSABLE
			      : ROUTING_REASON_FIRST_CHOICE;
	place(choice, &plan);
	if (plan.step_count) {
		out->level_key = plan.steps[plan.step_count - 1].key;
		out->level_tokens = plan.steps[plan.step_count - 1].tokens;
		out->replicas = plan.steps[plan.step_count - 1].replicas;
	}
	/* The other members of the set carry what the prompts share above the
	 * placement level, or all of it if they are replicas of that level. */
	if (out->replicas > 1)
		usual_second = usual;
	else if (plan.step_count > 1)
		usual_second = usual_tokens(choice, out->level_tokens);
	if (out->replicas > 1)
		draw_two(choice);
	first = add_candidate(choice, choice->set.members[0], usual);
	if (choice->set.count < 2)
		return;
	second = add_candidate(choice, choice->set.members[1], usual_second);
	if (leaves_first(first, second, branch_factor(choice))) {
		out->chosen = 1;
		out->reason = ROUTING_REASON_SECOND_CHOICE;
	} else if (!passes_slow_start(choice, first->endpoint)) {
		out->chosen = 1;
		out->reason = ROUTING_REASON_SLOW_START;
	}
}

/** The member with the lowest wait; near-equal ones are drawn at random. */
static void choose_least_loaded(routing_choice_t *choice)
{
	const routing_set_t *set = &choice->set;
	double lowest = INFINITY;
	uint32_t equal = 0;
	uint32_t chosen = 0;

	for (uint32_t i = 0; i < set->count; i++)
		lowest = fmin(lowest, wait_of(choice, set->members[i]));
	for (uint32_t i = 0; i < set->count; i++) {
		double wait = wait_of(choice, set->members[i]);

		if (wait <= lowest + EQUAL_WAIT_MS &&
		    !rng_below(choice->rng, ++equal))
			chosen = set->members[i];
	}
	add_candidate(choice, chosen, 0);
}

static void choose_hash(routing_choice_t *choice, uint64_t key)
{
	prefix_plan_t plan = { .step_count = 1,
			       .steps = { { .key = key, .replicas = 1 } } };

	place(choice, &plan);
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
	if (!request->again)
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
	uint64_t tokens = (uint64_t)((double)fill_ms(chosen) / 1000 *
				     routing->prefill_tokens_per_s);

	if (tokens > request->prompt_tokens)
		tokens = request->prompt_tokens;
	endpoint_sent(endpoint, (uint32_t)tokens, now_ms);
	if (request->isolated)
		endpoint_isolate(endpoint, now_ms);
}

/** The longest level in the table at this endpoint, live or expired. */
static void learn_expiry(routing_t *routing, endpoint_t *endpoint,
			 const routing_request_t *request,
			 uint32_t cached_tokens, uint64_t now_ms)
{
	for (size_t i = 0; i < request->level_count; i++) {
		const prefix_level_t *level = &request->levels[i];

		if (level->full_tokens)
			cache_index_learn_expiry(&routing->beliefs,
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
	uint64_t took = now_ms - sent_at_ms;
	uint32_t compute = took > queue_ms ? clamp_ms(took - queue_ms) : 0;
	double expected = 0;

	if (routing->prefill_tokens_per_s)
		expected = uncached * 1000.0 / routing->prefill_tokens_per_s;
	endpoint_first_token(endpoint, request->urgency, queue_ms, compute,
			     clamp_ms(expected), now_ms);
	learn_expiry(routing, endpoint, request, cached_tokens, now_ms);
	prefix_stats_answer(&routing->stats, request->levels,
			    request->level_count, cached_tokens);
	for (size_t i = 0; i < request->level_count; i++) {
		const prefix_level_t *level = &request->levels[i];

		if (level->full_tokens &&
		    prefix_stats_is_shared(&routing->stats, level->key))
			cache_index_confirm(&routing->beliefs,
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
	uint32_t counts[ROUTING_WAIT_CLASSES] = { 0 };
	uint32_t usable = 0;
	uint32_t below = 0;

	for (size_t i = 0; i < endpoint_count; i++) {
		endpoint_state_t state = endpoint_state(endpoints[i], now_ms);
		double wait;
		double slot;

		if (state != ENDPOINT_USABLE && state != ENDPOINT_SLOW_START)
			continue;
		wait = endpoint_expected_wait_ms(
			endpoints[i], 0, routing->prefill_tokens_per_s, now_ms);
		slot = ceil(wait / ROUTING_WAIT_CLASS_MS);
		if (slot >= ROUTING_WAIT_CLASSES)
			slot = ROUTING_WAIT_CLASSES - 1;
		counts[(uint32_t)slot]++;
		usable++;
	}
	if (!usable)
		return UINT32_MAX;
	for (uint32_t i = 0; i < ROUTING_WAIT_CLASSES; i++) {
		below += counts[i];
		if (2 * below >= usable)
			return i * ROUTING_WAIT_CLASS_MS;
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
