#include "process/placement.h"

#include <math.h>

#include "process/hash.h"
#include "process/placement_draw.h"

/** Prefill rate of an engine of average speed, prompt tokens/ms: from the
 * specifications of both deployments. */
#define PREFILL_TOKENS_PER_MS 38.4
/** Weight of the time to recompute a prefix: this work is wasted and delays
 * other requests on the engine. */
#define RECOMPUTE_FACTOR 2.0
/** Cost of each request in progress, ms per answer: it lengthens the decode
 * steps of the others. */
#define RUNNING_COST_MS 0.4
/** An engine whose cache memory is full delays the newest request by about the
 * duration of a request, ms. */
#define OVER_CAPACITY_COST_MS 800.0
/** Time of a request in a slot of an engine of average speed, ms. */
#define REQUEST_MS 800.0
/** Expected wait for a slot of an engine that has none left, ms: half of the
 * duration of a long stream. */
#define SLOT_WAIT_MS 1250
/** Safety factor for the wait at an engine. The wait is an estimate and doesn't
 * include requests that other instances have sent since their last heartbeat.
 */
#define WAIT_SAFETY_FACTOR 2
/** Cost of another failure domain, ms: latency and bandwidth between the
 * domains. */
#define CROSS_DOMAIN_COST_MS 2.0
/** Cost of old weights, ms: an answer from them is worth a fifth less, about as
 * much as is lost if the first token comes this much later. */
#define OLD_WEIGHTS_COST_MS 150.0
/** Cost of an endpoint that fails all requests, ms; scaled by the error rate.
 */
#define ERROR_COST_MS 4000.0
/** Number of endpoints, first in rendezvous order for a prefix, that are
 * ranked: the second takes over while the first is busy. */
#define RENDEZVOUS_RANKS 2
/** Extra weight of the time to compute a prefix that is not known to be cached,
 * at an endpoint other than the preferred one, to which another instance has
 * probably sent the prefix. The second in rendezvous order gets half of it.
 * With 1, in the enlarged deployments, requests left the preferred endpoints
 * under load and prefixes were computed on all engines. */
#define NON_PREFERRED_FACTOR 3.0
/** Cost of each rank, ms: keeps the rendezvous order where no prefix has to be
 * computed. */
#define RANK_COST_MS 3.0
/** How candidates are selected from more than PLACEMENT_CANDIDATES_MAX
 * endpoints: the average number of those first in rendezvous order, and the
 * maximum number of others. The rest of PLACEMENT_CANDIDATES_MAX allows for the
 * variance of the former. */
#define RENDEZVOUS_SELECTED 128
#define OTHERS_SELECTED 64
/** Far below any other cost, ms: decides only between equal candidates. */
#define TIE_COST_MS 0.01
/** Share of the cache memory that requests may fill before they impede each
 * other: the rest holds the shared prefixes. */
#define MEMORY_SHARE 0.85
/** Prompts are read in chunks of this many tokens, between the output tokens of
 * the requests in progress, up to six of which make an event. */
#define CHUNK_TOKENS 2048.0
#define EVENT_TOKENS 6
/** Time of a decode step of an engine of average speed, ms. */
#define STEP_MS 5.95
/** Shortest prompt whose time is mostly prefill, tokens: 27 ms. */
#define LEARN_MIN_TOKENS 1024
/** Shortest time that counts as that of a request when other costs are
 * converted to load, ms. */
#define REQUEST_MIN_MS 10.0
/** Scale of placement_candidate_t::error_rate. */
#define ERROR_RATE_SCALE 1024.0

/* Rendezvous order of the candidates of one request. */
typedef struct rendezvous_order {
	uint64_t rendezvous_weights[PLACEMENT_CANDIDATES_MAX];
	uint64_t top[RENDEZVOUS_RANKS]; /**< Highest weights, descending. */
	uint32_t top_count;
} rendezvous_order_t;

static void insert_top_weight(rendezvous_order_t *order, uint64_t weight)
{
	uint32_t at = order->top_count;

	if (at == RENDEZVOUS_RANKS) {
		if (weight <= order->top[RENDEZVOUS_RANKS - 1])
			return;
		at--;
	} else {
		order->top_count++;
	}
	while (at && order->top[at - 1] < weight) {
		order->top[at] = order->top[at - 1];
		at--;
	}
	order->top[at] = weight;
}

/* Whether any candidate has the new weights; then those with old weights are
 * not ranked. */
static bool has_new_weights(const placement_candidate_t *candidates,
			    size_t count, candidate_state_t worst_state)
{
	for (size_t i = 0; i < count; i++) {
		if (candidates[i].state <= worst_state &&
		    !candidates[i].old_weights)
			return true;
	}
	return false;
}

static void rank_candidates(const placement_candidate_t *candidates,
			    size_t count, const placement_request_t *request,
			    candidate_state_t worst_state,
			    rendezvous_order_t *order)
{
	uint64_t key =
		request->prefix_key ? request->prefix_key : request->tie_break;
	bool skip_old = has_new_weights(candidates, count, worst_state);

	order->top_count = 0;
	for (size_t i = 0; i < count; i++) {
		if (candidates[i].state > worst_state)
			continue;
		order->rendezvous_weights[i] =
			hash_rendezvous(key, candidates[i].id_hash);
		if (!skip_old || !candidates[i].old_weights)
			insert_top_weight(order, order->rendezvous_weights[i]);
	}
}

static uint32_t rank_of(const rendezvous_order_t *order, size_t at)
{
	for (uint32_t rank = 0; rank < order->top_count; rank++) {
		if (order->top[rank] == order->rendezvous_weights[at])
			return rank;
	}
	return RENDEZVOUS_RANKS;
}

/* Returns 0 for the highest possible rendezvous weight, up to 1 for the lowest;
 * increases with the rank. */
static double rendezvous_distance(const rendezvous_order_t *order, size_t at)
{
	return 1.0 - (double)order->rendezvous_weights[at] / (double)UINT64_MAX;
}

static double speed_of(const placement_candidate_t *candidate)
{
	return candidate->speed > 0 ? candidate->speed : 1;
}

static double prefill_rate(const placement_candidate_t *candidate)
{
	return PREFILL_TOKENS_PER_MS * speed_of(candidate);
}

/* Whether a request is placed by its prefix, without regard to speeds, unseen
 * requests and pauses. Another engine would compute the prefix again, in chunks
 * that lengthen the pauses of other streams; in plays with real engines that
 * cost callers more than even load gave them. */
static bool stays_with_prefix(const placement_candidate_t *candidate,
			      const placement_request_t *request)
{
	return candidate->cache_capacity_tokens &&
	       request->prefix_tokens >= CHUNK_TOKENS;
}

/* Tokens of the prefix that are cached there or can be fetched. */
static uint32_t available_tokens(const placement_candidate_t *candidate)
{
	return candidate->fetchable_tokens > candidate->cached_tokens
		       ? candidate->fetchable_tokens
		       : candidate->cached_tokens;
}

/* Cost of the prefix at a candidate: fetching what is available and computing
 * the rest. */
static double prefix_cost(const placement_candidate_t *candidate,
			  const placement_request_t *request)
{
	uint32_t available = available_tokens(candidate);

	return (available > candidate->cached_tokens ? candidate->fetch_ms
						     : 0) +
	       RECOMPUTE_FACTOR * (request->prefix_tokens - available) /
		       PREFILL_TOKENS_PER_MS;
}

/* Cost of not using the preferred endpoint: a prefix that is computed elsewhere
 * is cached once more. */
static double non_preferred_cost(const placement_candidate_t *candidate,
				 const placement_request_t *request,
				 uint32_t rank)
{
	double compute_ms =
		(request->prefix_tokens - available_tokens(candidate)) /
		PREFILL_TOKENS_PER_MS;

	return rank * (RANK_COST_MS +
		       NON_PREFERRED_FACTOR * compute_ms / RENDEZVOUS_RANKS);
}

static bool has_free_slot(const placement_candidate_t *candidate)
{
	return !candidate->slots || candidate->running < candidate->slots;
}

static bool would_exceed_memory(const placement_candidate_t *candidate,
				const placement_request_t *request)
{
	double need = (double)candidate->reserved_tokens +
		      request->prefix_tokens + request->suffix_tokens +
		      request->output_tokens;

	return candidate->cache_capacity_tokens &&
	       need > MEMORY_SHARE * (double)candidate->cache_capacity_tokens;
}

static bool would_exceed_capacity(const placement_candidate_t *candidate,
				  const placement_request_t *request)
{
	return !has_free_slot(candidate) ||
	       would_exceed_memory(candidate, request);
}

static double engine_cost(const placement_candidate_t *candidate,
			  const placement_request_t *request, uint32_t rank)
{
	double speed =
		stays_with_prefix(candidate, request) ? 1 : speed_of(candidate);
	double cost =
		((double)candidate->prefill_tokens + request->suffix_tokens) /
		(PREFILL_TOKENS_PER_MS * speed);

	if (request->prefix_key)
		cost += non_preferred_cost(candidate, request, rank);
	return cost + prefix_cost(candidate, request) +
	       RUNNING_COST_MS * candidate->running / speed;
}

static double plain_cost(const placement_candidate_t *candidate)
{
	double slots = candidate->slots ? candidate->slots : 1;
	double request_ms = candidate->request_ms > 0 ? candidate->request_ms
						      : PLACEMENT_PLAIN_MS;

	return request_ms / speed_of(candidate) *
	       (1 + candidate->running / slots);
}

/* Costs that do not depend on the load. */
static double penalty_of(const placement_candidate_t *candidate)
{
	double cost = ERROR_COST_MS * candidate->error_rate / ERROR_RATE_SCALE;

	if (!candidate->same_domain)
		cost += CROSS_DOMAIN_COST_MS;
	if (candidate->old_weights)
		cost += OLD_WEIGHTS_COST_MS;
	return cost + candidate->warm_up_ms / 10.0;
}

static double cost_of(const placement_candidate_t *candidate,
		      const placement_request_t *request, uint32_t rank)
{
	double cost = candidate->cache_capacity_tokens
			      ? engine_cost(candidate, request, rank)
			      : plain_cost(candidate);

	if (would_exceed_capacity(candidate, request))
		cost += OVER_CAPACITY_COST_MS *
			(1 +
			 (double)candidate->running / (candidate->slots + 1.0));
	return cost + penalty_of(candidate);
}

uint32_t placement_wait_ms(const placement_candidate_t *candidate)
{
	return (uint32_t)(candidate->prefill_tokens / prefill_rate(candidate)) +
	       (has_free_slot(candidate)
			? 0
			: (uint32_t)(SLOT_WAIT_MS / speed_of(candidate)));
}

double placement_slot_ms(const placement_candidate_t *candidate)
{
	double request_ms = candidate->request_ms > 0 ? candidate->request_ms
						      : PLACEMENT_PLAIN_MS;

	if (has_free_slot(candidate))
		return 0;
	if (candidate->cache_capacity_tokens)
		request_ms = REQUEST_MS;
	return request_ms / speed_of(candidate) *
	       (candidate->running - candidate->slots + 1.0) / candidate->slots;
}

double placement_first_event_ms(const placement_candidate_t *candidate,
				const placement_request_t *request)
{
	uint32_t available = available_tokens(candidate);
	double own_tokens = (double)request->suffix_tokens +
			    request->prefix_tokens - available;

	return fmax(placement_slot_ms(candidate),
		    candidate->prefill_tokens / prefill_rate(candidate)) +
	       own_tokens / prefill_rate(candidate) +
	       (available > candidate->cached_tokens ? candidate->fetch_ms : 0);
}

double placement_answer_ms(const placement_candidate_t *candidate,
			   const placement_request_t *request)
{
	double own_tokens = (double)request->suffix_tokens +
			    request->prefix_tokens -
			    available_tokens(candidate);

	if (!has_free_slot(candidate))
		return 0;
	if (!candidate->cache_capacity_tokens)
		return PLACEMENT_PLAIN_MS;
	if (own_tokens < LEARN_MIN_TOKENS ||
	    candidate->prefill_tokens > own_tokens)
		return 0;
	return (candidate->prefill_tokens + own_tokens) /
		       PREFILL_TOKENS_PER_MS +
	       (available_tokens(candidate) > candidate->cached_tokens
			? candidate->fetch_ms
			: 0);
}

double placement_pause_ms(const placement_candidate_t *candidate)
{
	double tokens = candidate->prefill_tokens;

	if (tokens > EVENT_TOKENS * CHUNK_TOKENS)
		tokens = EVENT_TOKENS * CHUNK_TOKENS;
	return tokens / prefill_rate(candidate) +
	       EVENT_TOKENS * STEP_MS / speed_of(candidate);
}

bool placement_begins_within(const placement_candidate_t *candidate,
			     uint64_t left_ms)
{
	return WAIT_SAFETY_FACTOR * (uint64_t)placement_wait_ms(candidate) <=
	       left_ms;
}

size_t placement_select(const uint64_t *id_hashes, size_t count, uint64_t key,
			uint64_t draw, uint32_t *selected)
{
	/* About RENDEZVOUS_SELECTED endpoints have at least this weight. */
	uint64_t min_weight =
		UINT64_MAX - UINT64_MAX / (count + 1) * RENDEZVOUS_SELECTED;
	size_t ranked_max = PLACEMENT_CANDIDATES_MAX - OTHERS_SELECTED;
	size_t selected_count = 0;

	if (count <= PLACEMENT_CANDIDATES_MAX) {
		for (; selected_count < count; selected_count++)
			selected[selected_count] = (uint32_t)selected_count;
		return selected_count;
	}
	for (size_t i = 0; i < count && selected_count < ranked_max; i++) {
		if (hash_rendezvous(key, id_hashes[i]) >= min_weight)
			selected[selected_count++] = (uint32_t)i;
	}
	for (size_t i = 0; i < OTHERS_SELECTED; i++) {
		uint32_t at = (uint32_t)((draw + i) % count);

		if (hash_rendezvous(key, id_hashes[at]) < min_weight)
			selected[selected_count++] = at;
	}
	return selected_count;
}

static bool has_long_pauses(const placement_candidate_t *candidate,
			    const placement_request_t *request)
{
	return request->pause_max_ms && candidate->cache_capacity_tokens &&
	       !stays_with_prefix(candidate, request) &&
	       placement_pause_ms(candidate) > request->pause_max_ms;
}

static void choose_cheapest(const placement_candidate_t *candidates,
			    size_t count, const placement_request_t *request,
			    candidate_state_t worst_state, bool skip_pauses,
			    placement_choice_t *choice)
{
	rendezvous_order_t order;

	rank_candidates(candidates, count, request, worst_state, &order);
	for (size_t i = 0; i < count; i++) {
		uint32_t rank;
		double cost;

		if (candidates[i].state > worst_state)
			continue;
		rank = rank_of(&order, i);
		if (!rank)
			choice->preferred = (int32_t)i;
		if (skip_pauses && has_long_pauses(&candidates[i], request))
			continue;
		cost = cost_of(&candidates[i], request, rank);
		/* The rendezvous order breaks ties between equal candidates. */
		cost += TIE_COST_MS * rendezvous_distance(&order, i);
		if (choice->index == PLACEMENT_NONE || cost < choice->cost_ms) {
			choice->index = (int32_t)i;
			choice->cost_ms = cost;
		}
	}
}

/* Whether the requests that other instances have sent meanwhile would take more
 * than half of the slots if they all went to this endpoint. */
static bool may_be_overrun(const placement_candidate_t *candidate,
			   const placement_request_t *request)
{
	return request->unseen > 0 && candidate->slots &&
	       !stays_with_prefix(candidate, request) &&
	       candidate->running + request->unseen >
		       candidate->slots * speed_of(candidate) / 2;
}

/* Time by which one more request delays others there, ms. */
static double unit_ms(const placement_candidate_t *candidate,
		      const placement_request_t *request)
{
	double ms = candidate->cache_capacity_tokens
			    ? request->suffix_tokens / prefill_rate(candidate)
			    : plain_cost(candidate) / (candidate->slots + 1.0);

	return ms > REQUEST_MIN_MS ? ms : REQUEST_MIN_MS;
}

/* Draws one of those that have memory, or one of all; `count` if none may be
 * used. */
static size_t draw(const placement_candidate_t *candidates, size_t count,
		   const placement_request_t *request, bool need_memory)
{
	draw_load_t loads[PLACEMENT_CANDIDATES_MAX] = { 0 };

	for (size_t i = 0; i < count; i++) {
		const placement_candidate_t *candidate = &candidates[i];

		if (candidate->state > CANDIDATE_USABLE ||
		    has_long_pauses(candidate, request) ||
		    (need_memory && would_exceed_memory(candidate, request)))
			continue;
		loads[i] = (draw_load_t){
			.requests = candidate->running +
				    penalty_of(candidate) /
					    unit_ms(candidate, request),
			.speed = speed_of(candidate),
		};
	}
	return placement_draw(loads, count, request->unseen,
			      request->tie_break);
}

static void choose_drawn(const placement_candidate_t *candidates, size_t count,
			 const placement_request_t *request,
			 placement_choice_t *choice)
{
	size_t drawn = draw(candidates, count, request, true);
	rendezvous_order_t order;

	if (drawn == count)
		drawn = draw(candidates, count, request, false);
	if (drawn == count)
		return;
	rank_candidates(candidates, count, request, CANDIDATE_USABLE, &order);
	choice->index = (int32_t)drawn;
	choice->cost_ms =
		cost_of(&candidates[drawn], request, rank_of(&order, drawn));
}

void placement_choose(const placement_candidate_t *candidates, size_t count,
		      const placement_request_t *request,
		      placement_choice_t *choice)
{
	choice->index = PLACEMENT_NONE;
	choice->preferred = PLACEMENT_NONE;
	choice->cost_ms = INFINITY;
	choice->exceeds_capacity = false;
	choose_cheapest(candidates, count, request, CANDIDATE_USABLE, true,
			choice);
	if (choice->index != PLACEMENT_NONE &&
	    may_be_overrun(&candidates[choice->index], request))
		choose_drawn(candidates, count, request, choice);
	/* A request is not refused because of its pauses. */
	if (choice->index == PLACEMENT_NONE && request->pause_max_ms)
		choose_cheapest(candidates, count, request, CANDIDATE_USABLE,
				false, choice);
	if (choice->index == PLACEMENT_NONE)
		choose_cheapest(candidates, count, request, CANDIDATE_AVOIDED,
				false, choice);
	if (choice->index != PLACEMENT_NONE)
		choice->exceeds_capacity = would_exceed_capacity(
			&candidates[choice->index], request);
}
