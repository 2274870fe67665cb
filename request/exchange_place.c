#include "request/exchange_job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/fetch_source.h"
#include "process/hash.h"
#include "process/placement.h"
#include "process/refusal_limit.h"

/** Multiple of the route's target latency after which an unanswered idempotent
 * request is sent to another endpoint, and the shortest such time, ms. */
#define SLOW_TARGET_FACTOR 2
#define SLOW_MIN_MS 300
/** Largest priority value that engines accept; 0 is the most urgent. */
#define PRIORITY_MAX 9

/* Load of the endpoint, used for placement here and at other instances. */

void exchange_release_prefill_load(exchange_t *exchange)
{
	if (exchange->endpoint && exchange->counted_prefill_tokens)
		atomic_fetch_sub(&exchange->endpoint->load->own_prefill_tokens,
				 exchange->counted_prefill_tokens);
	exchange->counted_prefill_tokens = 0;
}

void exchange_release_load(exchange_t *exchange)
{
	if (!exchange->endpoint)
		return;
	exchange_release_prefill_load(exchange);
	atomic_fetch_sub(&exchange->endpoint->load->own_running, 1);
	atomic_fetch_sub(&exchange->endpoint->load->own_reserved_tokens,
			 exchange->counted_memory_tokens);
	exchange->counted_memory_tokens = 0;
	exchange->endpoint = NULL;
}

static void add_load(exchange_t *exchange, const endpoint_entry_t *endpoint,
		     const placement_request_t *demand,
		     const placement_candidate_t *candidate)
{
	endpoint_load_t *load = endpoint->load;

	exchange->endpoint = endpoint;
	exchange->counted_memory_tokens =
		demand->suffix_tokens + demand->output_tokens;
	/* One token is added so that it is never 0 during the prefill. */
	exchange->counted_prefill_tokens =
		demand->suffix_tokens + demand->prefix_tokens + 1 -
		(candidate->fetchable_tokens > candidate->cached_tokens
			 ? candidate->fetchable_tokens
			 : candidate->cached_tokens);
	atomic_fetch_add(&load->own_running, 1);
	atomic_fetch_add(&load->own_reserved_tokens,
			 exchange->counted_memory_tokens);
	atomic_fetch_add(&load->own_prefill_tokens,
			 exchange->counted_prefill_tokens);
}

static bool was_tried(const exchange_t *exchange, uint64_t id_hash)
{
	for (uint32_t i = 0; i < exchange->tried_count; i++) {
		if (exchange->tried_id_hashes[i] == id_hash)
			return true;
	}
	return false;
}

static bool is_within_limit(const exchange_t *exchange, endpoint_load_t *load,
			    uint64_t now_ms)
{
	uint32_t limit = atomic_load(&load->limit);
	limit_turn_t turn;

	return limit == ENDPOINT_UNLIMITED ||
	       (limit_turns_current(exchange->env->limit_turns, now_ms,
				    &turn) &&
		endpoint_limit_allows(&load->limit_share, limit, &turn,
				      load->id_hash, now_ms));
}

/* Whether the first event of a stream that may be resumed is still to come. */
static bool begins_stream(const exchange_t *exchange)
{
	return exchange_is_stream(exchange) &&
	       exchange_is_repeatable(exchange) &&
	       exchange->software == SOFTWARE_UNKNOWN;
}

static candidate_state_t candidate_state(const exchange_t *exchange,
					 const endpoint_entry_t *entry,
					 uint64_t now_ms)
{
	endpoint_load_t *load = entry->load;

	if (entry->draining || atomic_load(&load->leaving) ||
	    was_tried(exchange, load->id_hash) ||
	    now_ms < atomic_load(&load->paused_until_ms) ||
	    !is_within_limit(exchange, load, now_ms))
		return CANDIDATE_EXCLUDED;
	if (now_ms < atomic_load(&load->loading_until_ms) ||
	    now_ms < atomic_load(&load->ejected_until_ms) ||
	    endpoint_news_is_avoided(load, now_ms) ||
	    (begins_stream(exchange) &&
	     now_ms < atomic_load(&load->streams_from_ms)))
		return CANDIDATE_AVOIDED;
	return CANDIDATE_USABLE;
}

static void fill_candidate(const exchange_t *exchange,
			   const endpoint_entry_t *entry, uint64_t now_ms,
			   const target_weights_t *target_weights,
			   placement_candidate_t *candidate)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	endpoint_load_t *load = entry->load;
	uint64_t outdated_ms = 0;

	*candidate = (placement_candidate_t){
		.state = candidate_state(exchange, entry, now_ms),
		.id_hash = load->id_hash,
		.slots = entry->slots,
		.running = atomic_load(&load->own_running) +
			   atomic_load(&load->peer_running),
		.reserved_tokens = atomic_load(&load->own_reserved_tokens) +
				   atomic_load(&load->peer_reserved_tokens),
		.prefill_tokens = atomic_load(&load->own_prefill_tokens) +
				  atomic_load(&load->peer_prefill_tokens),
		.cache_capacity_tokens = service->role == SERVICE_ENGINE
						 ? service->engine.cache_tokens
						 : 0,
		.error_rate = atomic_load(&load->error_rate),
		.warm_up_ms = entry->warm_up_ms,
		.same_domain = !strcmp(entry->domain, exchange->env->domain),
	};
	if (target_weights)
		outdated_ms = target_weights_outdated_ms(
			target_weights,
			endpoint_weights(entry, exchange->headers.model),
			now_ms);
	if (outdated_ms) {
		uint64_t used_ms = outdated_ms + EXCHANGE_OLD_WEIGHTS_MARGIN_MS;
		uint64_t limit_ms = exchange->env->weights_ms;

		candidate->old_weights = true;
		if (used_ms > limit_ms ||
		    !placement_begins_within(candidate, limit_ms - used_ms))
			candidate->state = CANDIDATE_EXCLUDED;
	}
}

/* Returns a new string; NULL when out of memory. */
static char *format_cache_salt(const exchange_t *exchange)
{
	const desired_customer_t *customer = exchange->customer;
	char *salt;

	if (asprintf(&salt, "%s.%llu",
		     customer && customer->isolated ? customer->name : "",
		     (unsigned long long)exchange->weights) < 0)
		return NULL;
	return salt;
}

static int32_t request_priority(const exchange_t *exchange)
{
	int32_t priority = exchange->route->priority;

	if (exchange->customer &&
	    exchange->customer->priority != DESIRED_NO_PRIORITY)
		priority = exchange->customer->priority;
	return priority > PRIORITY_MAX ? PRIORITY_MAX : priority;
}

static uint32_t connection_limit(const exchange_t *exchange)
{
	uint64_t service_max =
		exchange->view->desired->services[exchange->service]
			.connections_max;
	uint64_t share = service_max *
			 (100 - EXCHANGE_CONNECTIONS_RESERVED_PERCENT) / 100 /
			 exchange->env->place.instances;

	return share > 2 ? (uint32_t)share : 2;
}

static int send_request(exchange_t *exchange, const endpoint_entry_t *endpoint,
			const char *fetch_from, uint64_t now_ms)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	const desired_service_t *store = NULL;
	struct evbuffer *body = exchange->request->body;
	struct evbuffer *message = evbuffer_new();
	CLEANUP_FREE char *salt = NULL;
	outbound_target_t target = {
		.address.v4 = endpoint->address,
		.connections_max = connection_limit(exchange),
		.connect_timeout_ms = exchange->probes_path
					      ? EXCHANGE_PROBE_TIMEOUT_MS
					      : EXCHANGE_CONNECT_TIMEOUT_MS,
		.user_timeout_ms = EXCHANGE_USER_TIMEOUT_MS,
	};
	dispatch_headers_t dispatch = {
		.deadline_ms = (uint32_t)exchange_time_left(exchange, now_ms),
		.endpoint_id = endpoint->id,
		.customer =
			exchange->customer ? exchange->customer->name : NULL,
		.priority = -1,
		.last_event = exchange->last_event,
		.body_bytes = body ? evbuffer_get_length(body) : 0,
	};
	int err;

	if (!message)
		return ERR_NO_MEMORY;
	exchange->saving = false;
	if (service->role == SERVICE_ENGINE) {
		store = exchange_cache_store(exchange);
		exchange->saving = store && exchange_reserve_save(
						    exchange, store,
						    exchange->weights, now_ms);
		salt = format_cache_salt(exchange);
		if (!salt) {
			evbuffer_free(message);
			return ERR_NO_MEMORY;
		}
		dispatch.cache_salt = salt;
		dispatch.weights_version = exchange->weights;
		dispatch.priority = request_priority(exchange);
		dispatch.cache_fetch_address = fetch_from;
		dispatch.cache_save_address =
			exchange->saving ? store->cache_address : NULL;
	}
	endpoint_incarnation_key(endpoint, target.key, sizeof(target.key));
	platform_write_request(message, exchange->request->head, &dispatch);
	if (body)
		evbuffer_add_buffer_reference(message, body);
	err = outbound_send(exchange->env->outbound, &target, message,
			    exchange->probes_path,
			    exchange->request->head->method == HTTP_HEAD,
			    &exchange_answer_callbacks, exchange,
			    &exchange->call);
	evbuffer_free(message);
	return err;
}

/* Candidates for one placement and the cache from which each can fetch. */
typedef struct candidates {
	placement_candidate_t items[PLACEMENT_CANDIDATES_MAX];
	fetch_engine_t fetch_engines[PLACEMENT_CANDIDATES_MAX];
	fetch_source_t fetch_sources[PLACEMENT_CANDIDATES_MAX];
	const endpoint_entry_t *entries[PLACEMENT_CANDIDATES_MAX];
	/** Positions in the list of the service. */
	uint32_t ranks[PLACEMENT_CANDIDATES_MAX];
	size_t count;
} candidates_t;

/* Whether other engines can fetch from this one. One that is about to load new
 * weights can be fetched from: it still has its cache. */
static bool is_fetchable_from(const endpoint_entry_t *entry, uint64_t now_ms)
{
	return !atomic_load(&entry->load->leaving) &&
	       now_ms >= atomic_load(&entry->load->ejected_until_ms) &&
	       !endpoint_news_is_unreachable(entry->load, now_ms);
}

static void find_fetch_sources(const exchange_t *exchange,
			       candidates_t *candidates,
			       const desired_service_t *store, uint64_t now_ms)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	fetch_links_t links = {
		.engine_tokens_per_ms =
			exchange_link_tokens_per_ms(service, service),
		.store_tokens_per_ms =
			store ? exchange_link_tokens_per_ms(store, service) : 0,
		.store_domain =
			store ? (uint32_t)hash_string(store->domain) : 0,
		.store_over_budget =
			!store || !exchange_may_fetch(exchange, store, now_ms),
	};

	for (size_t i = 0; store && i < candidates->count; i++)
		candidates->fetch_engines[i].stored_tokens =
			exchange_store_cached_tokens(
				exchange, store,
				candidates->fetch_engines[i].weights, now_ms);
	fetch_source_find(candidates->fetch_engines, candidates->count, &links,
			  rng_next(&exchange->env->rng),
			  candidates->fetch_sources);
	for (size_t i = 0; i < candidates->count; i++) {
		candidates->items[i].fetchable_tokens =
			candidates->fetch_sources[i].tokens;
		candidates->items[i].fetch_ms =
			candidates->fetch_sources[i].fetch_ms;
	}
}

/* Address of the cache that a candidate fetches from; NULL if there is none.
 * The store is named even if nothing is to be fetched: a prefix in the cache
 * index may have been evicted by the engine, which then fetches it instead of
 * recomputing it. */
static const char *fetch_address(const exchange_t *exchange,
				 const candidates_t *candidates, int32_t index)
{
	const desired_service_t *store = exchange_cache_store(exchange);
	int32_t from = candidates->fetch_sources[index].from;

	if (from >= 0)
		return candidates->entries[from]->address_text;
	return store ? store->cache_address : NULL;
}

static void charge_fetch(exchange_t *exchange, const candidates_t *candidates,
			 int32_t index)
{
	const fetch_source_t *source = &candidates->fetch_sources[index];
	const desired_service_t *store;

	if (source->from != FETCH_SOURCE_STORE)
		return;
	store = exchange_cache_store(exchange);
	link_budget_take(
		&exchange->env->fetch_budget,
		source->tokens - candidates->items[index].cached_tokens,
		strcmp(store->domain, exchange->endpoint->domain) != 0);
}

/* Name of the fetch source in the log. */
static const char *fetch_source_name(const candidates_t *candidates,
				     int32_t index)
{
	int32_t from = candidates->fetch_sources[index].from;

	if (from == FETCH_SOURCE_STORE)
		return "store";
	return from >= 0 ? candidates->entries[from]->id : "-";
}

/* Key by which the endpoints are ranked. */
static uint64_t placement_key(const placement_request_t *demand)
{
	return demand->prefix_key ? demand->prefix_key : demand->tie_break;
}

/* Lists the endpoints with a version of the software: their positions in the
 * group and their id hashes. */
static size_t list_software(const view_group_t *group, uint32_t software,
			    uint32_t *indexes, uint64_t *id_hashes)
{
	size_t count = 0;

	for (size_t i = 0; i < group->count; i++) {
		if (group->entries[i]->software != software)
			continue;
		indexes[count] = (uint32_t)i;
		id_hashes[count++] = group->id_hashes[i];
	}
	return count;
}

/* Selects among the endpoints with the version of the software at which the
 * stream began; none when out of memory. */
static size_t select_of_software(const view_group_t *group, uint32_t software,
				 const placement_request_t *demand,
				 uint32_t *selected)
{
	uint32_t *indexes = calloc(group->count + 1, sizeof(uint32_t));
	uint64_t *id_hashes = calloc(group->count + 1, sizeof(uint64_t));
	size_t count = 0;

	if (indexes && id_hashes)
		count = placement_select(
			id_hashes,
			list_software(group, software, indexes, id_hashes),
			placement_key(demand), demand->tie_break, selected);
	for (size_t i = 0; i < count; i++)
		selected[i] = indexes[selected[i]];
	free(indexes);
	free(id_hashes);
	return count;
}

static void select_candidates(const exchange_t *exchange,
			      const placement_request_t *demand,
			      candidates_t *candidates)
{
	const view_group_t *group = &exchange->view->groups[exchange->service];
	uint32_t selected[PLACEMENT_CANDIDATES_MAX];

	if (exchange->software != SOFTWARE_UNKNOWN)
		candidates->count = select_of_software(
			group, exchange->software, demand, selected);
	else
		candidates->count = placement_select(
			group->id_hashes, group->count, placement_key(demand),
			demand->tie_break, selected);
	for (size_t i = 0; i < candidates->count; i++) {
		candidates->entries[i] = group->entries[selected[i]];
		candidates->ranks[i] = selected[i];
	}
}

/* Target weights of the request's model; NULL if it has none. Only engines have
 * weights, also if a request to another service names a model. */
static const target_weights_t *requested_weights(const exchange_t *exchange)
{
	const view_t *view = exchange->view;
	const char *model = exchange->headers.model;

	if (!model ||
	    view->desired->services[exchange->service].role != SERVICE_ENGINE)
		return NULL;
	return view_weights(view, model);
}

static bool is_refusal_limit_known(const endpoint_load_t *load, uint64_t now_ms)
{
	uint64_t known_ms = atomic_load(&load->refusals_known_ms);

	return known_ms && now_ms < known_ms + REFUSAL_LIMIT_HOLD_MS;
}

/* What the newest answer of any candidate named: the endpoints of a service
 * usually name it together. */
static uint32_t newest_refusals_max(const candidates_t *candidates,
				    uint64_t now_ms)
{
	uint32_t refusals_max = ENDPOINT_UNLIMITED;
	uint64_t newest_ms = 0;

	for (size_t i = 0; i < candidates->count; i++) {
		const endpoint_load_t *load = candidates->entries[i]->load;
		uint64_t known_ms = atomic_load(&load->refusals_known_ms);

		if (known_ms <= newest_ms ||
		    !is_refusal_limit_known(load, now_ms))
			continue;
		newest_ms = known_ms;
		refusals_max = atomic_load(&load->refusals_max);
	}
	return refusals_max;
}

static void exclude_if_refusing(const exchange_t *exchange,
				candidates_t *candidates, uint64_t now_ms)
{
	uint32_t newest = newest_refusals_max(candidates, now_ms);

	for (size_t i = 0; i < candidates->count; i++) {
		const endpoint_entry_t *entry = candidates->entries[i];
		const endpoint_load_t *load = entry->load;
		refusal_room_t room = {
			.refusals_max = newest,
			.slots = entry->slots,
			.own_running = atomic_load(&load->own_running),
			.peer_running = atomic_load(&load->peer_running),
			.rank = candidates->ranks[i],
			.sent_ms = load->sent_ms,
			.endpoints = (uint32_t)exchange->view
					     ->groups[exchange->service]
					     .count,
		};

		if (is_refusal_limit_known(load, now_ms))
			room.refusals_max = atomic_load(&load->refusals_max);
		if (room.refusals_max != ENDPOINT_UNLIMITED &&
		    !refusal_limit_allows(&room, &exchange->env->place, now_ms))
			candidates->items[i].state = CANDIDATE_EXCLUDED;
	}
}

static void fill_candidates(const exchange_t *exchange, uint64_t now_ms,
			    const placement_request_t *demand,
			    candidates_t *candidates)
{
	const char *model = exchange->headers.model;
	const target_weights_t *target_weights = requested_weights(exchange);

	select_candidates(exchange, demand, candidates);
	for (size_t i = 0; i < candidates->count; i++) {
		const endpoint_entry_t *entry = candidates->entries[i];
		placement_candidate_t *item = &candidates->items[i];
		uint64_t weights = model ? endpoint_weights(entry, model) : 0;

		fill_candidate(exchange, entry, now_ms, target_weights, item);
		item->cached_tokens = exchange_engine_cached_tokens(
			exchange, entry->load, weights, now_ms);
		candidates->fetch_sources[i].from = FETCH_SOURCE_NONE;
		candidates->fetch_engines[i] = (fetch_engine_t){
			.cached_tokens = item->cached_tokens,
			.weights = weights,
			.domain = (uint32_t)hash_string(entry->domain),
			.serves_fetches = is_fetchable_from(entry, now_ms),
		};
	}
	exclude_if_refusing(exchange, candidates, now_ms);
	if (exchange->level_count)
		find_fetch_sources(exchange, candidates,
				   exchange_cache_store(exchange), now_ms);
}

static void describe_request(const exchange_t *exchange,
			     placement_request_t *demand)
{
	const request_headers_t *headers = &exchange->headers;
	uint32_t level_count = exchange->level_count;

	memset(demand, 0, sizeof(*demand));
	demand->output_tokens = headers->output_tokens_max;
	demand->tie_break = rng_next(&exchange->env->rng);
	if (level_count) {
		demand->prefix_key = exchange->level_keys[level_count - 1];
		demand->prefix_tokens = exchange->level_tokens[level_count - 1];
	}
	demand->suffix_tokens =
		headers->prompt_tokens > demand->prefix_tokens
			? headers->prompt_tokens - demand->prefix_tokens
			: 0;
}

void exchange_set_attempt_deadline(exchange_t *exchange, uint64_t now_ms,
				   double estimate_ms)
{
	exchange->attempt_deadline_ms = 0;
	if (exchange_is_stream(exchange) && exchange_is_repeatable(exchange))
		exchange->attempt_deadline_ms =
			now_ms + first_token_timeout_ms(
					 &exchange->env->first_token_timeout,
					 estimate_ms);
	if (exchange->route->kind == ROUTE_IDEMPOTENT) {
		uint64_t limit_ms =
			SLOW_TARGET_FACTOR *
			(uint64_t)exchange->route->target_latency_ms;

		exchange->attempt_deadline_ms =
			now_ms +
			(limit_ms > SLOW_MIN_MS ? limit_ms : SLOW_MIN_MS);
	}
}

static void start_attempt(exchange_t *exchange, uint64_t now_ms,
			  double estimate_ms)
{
	exchange->sent_ms = now_ms;
	exchange->has_answer_head = false;
	exchange->status = 0;
	exchange->last_chunk_ms = 0;
	exchange->begun_ms = 0;
	exchange->has_event = false;
	exchange->keys_cleared = false;
	exchange_set_attempt_deadline(exchange, now_ms, estimate_ms);
	exchange_arm_timer(exchange);
}

static void refuse_unplaced(exchange_t *exchange, uint64_t now_ms)
{
	if (exchange->unreached && exchange_forward(exchange, now_ms))
		return;
	if (exchange->runs)
		exchange_refuse(exchange, ERR_ENDPOINT_LOST);
	else
		exchange_refuse(exchange, exchange->refusals ? ERR_OVERLOADED
							     : ERR_NO_ENDPOINT);
}

/* Handles a request while the paths to the endpoints are lost; false if it is
 * to be sent to one of them nevertheless: they may be lost for all. */
static bool place_without_paths(exchange_t *exchange, uint64_t now_ms)
{
	if (!exchange_avoids_paths(exchange, now_ms))
		return false;
	if (exchange->forwarded) {
		exchange_refuse(exchange, exchange->runs ? ERR_ENDPOINT_LOST
							 : ERR_NO_ENDPOINT);
		return true;
	}
	return exchange_forward(exchange, now_ms);
}

void exchange_place(exchange_t *exchange)
{
	uint64_t now_ms = clock_now_ms();
	placement_request_t demand;
	placement_choice_t choice;
	candidates_t candidates;
	const endpoint_entry_t *endpoint;
	int err;

	err = exchange_check_crash_evidence(exchange, now_ms);
	if (err) {
		exchange_refuse(exchange,
				exchange->runs ? ERR_ENDPOINT_LOST : err);
		return;
	}
	if (place_without_paths(exchange, now_ms))
		return;
	exchange_apply_peer_hints(exchange->env, now_ms);
	describe_request(exchange, &demand);
	fill_candidates(exchange, now_ms, &demand, &candidates);
	placement_choose(candidates.items, candidates.count, &demand, &choice);
	if (choice.index == PLACEMENT_NONE) {
		refuse_unplaced(exchange, now_ms);
		return;
	}
	endpoint = candidates.entries[choice.index];
	exchange->weights = candidates.fetch_engines[choice.index].weights;
	err = send_request(exchange, endpoint,
			   fetch_address(exchange, &candidates, choice.index),
			   now_ms);
	exchange->tried_id_hashes[exchange->tried_count++] =
		endpoint->load->id_hash;
	exchange->runs++;
	endpoint_limit_count(&endpoint->load->limit_share);
	endpoint->load->sent_ms = now_ms;
	add_load(exchange, endpoint, &demand, &candidates.items[choice.index]);
	charge_fetch(exchange, &candidates, choice.index);
	event_log(
		EVENT_REQUEST_PLACED,
		"id=%s endpoint=%s software=%s resumed=%d home=%d weights=%llu "
		"outdated_ms=%llu "
		"wait_ms=%u cost_ms=%.0f "
		"shared=%u held=%u fetchable=%u from=%s saving=%d prefill=%u runs=%u "
		"left_ms=%llu reused=%d err=%s",
		exchange->id, endpoint->id, endpoint->software_name,
		exchange->software != SOFTWARE_UNKNOWN,
		choice.index == choice.preferred,
		(unsigned long long)exchange->weights,
		(unsigned long long)exchange_outdated_ms(
			exchange, exchange->view, exchange->weights, now_ms),
		placement_wait_ms(&candidates.items[choice.index]),
		choice.cost_ms, demand.prefix_tokens,
		candidates.items[choice.index].cached_tokens,
		candidates.items[choice.index].fetchable_tokens,
		fetch_source_name(&candidates, choice.index), exchange->saving,
		candidates.items[choice.index].prefill_tokens,
		candidates.items[choice.index].running,
		(unsigned long long)exchange_time_left(exchange, now_ms),
		!err && outbound_was_reused(exchange->call), error_type(err));
	start_attempt(exchange, now_ms, choice.cost_ms);
	if (err)
		exchange_after_attempt(exchange, ATTEMPT_NOT_SENT);
}
