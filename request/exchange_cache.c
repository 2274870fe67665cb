#include "request/exchange_job.h"

#include <string.h>

#include "process/clock.h"
#include "process/hash.h"
#include "process/peer_heartbeat.h"

/** How long after its last use a prefix is assumed to stay in an engine's
 * cache, ms: prompts that share no prefix evict it in about ten seconds. */
#define ENGINE_PREFIX_LIFETIME_MS 9000.0
/** The same for the cache store, ms, which receives only shared prefixes and
 * the last parts of their prompts. */
#define STORE_PREFIX_LIFETIME_MS 20000.0
/** Fractions of the store's link bandwidth that saves and fetches of all
 * instances may use. They allow for charges that differ from the real
 * transfers: saves are charged as transfers within a failure domain, and some
 * of the requested tokens are already present. */
#define SAVE_LINK_FRACTION 0.6
#define FETCH_LINK_FRACTION 2.5
/** Shortest shared prefix that is worth a save, tokens. */
#define SAVE_MIN_TOKENS 500

uint64_t exchange_cache_index_source(const endpoint_load_t *load)
{
	return peer_endpoint_key(load->id_hash, load->started_unix_ms);
}

/* Engines don't tie their cached prefixes to a weights version, so the key
 * contains it. */
static uint64_t add_weights_to_key(uint64_t level_key, uint64_t weights)
{
	return hash_rendezvous(level_key, weights);
}

static void record_prefix_levels(exchange_t *exchange, uint64_t source,
				 uint64_t weights)
{
	exchange_env_t *env = exchange->env;
	cache_index_source_t index_source = { .id = source };
	uint64_t now_ms = clock_now_ms();

	for (uint32_t i = 0; i < exchange->level_count; i++) {
		cache_hint_t hint = {
			.source = source,
			.key = add_weights_to_key(exchange->level_keys[i],
						  weights),
			.tokens = exchange->level_tokens[i],
		};

		cache_index_confirm(&env->cache_index, &index_source, hint.key,
				    hint.tokens, now_ms);
		hint_ring_put(env->own_hints, &hint);
	}
}

void exchange_apply_peer_hints(exchange_env_t *env, uint64_t now_ms)
{
	cache_hint_t hint;

	while (hint_ring_take(env->peer_hints, &hint)) {
		cache_index_source_t index_source = { .id = hint.source };

		cache_index_confirm(&env->cache_index, &index_source, hint.key,
				    hint.tokens, now_ms);
	}
}

/* Tokens of the shared prefix in a cache, by the cache index. Looks up the
 * longest prefix level first. */
static uint32_t cached_tokens(const exchange_t *exchange, uint64_t source,
			      double expiry_ms, uint64_t weights,
			      uint64_t now_ms)
{
	cache_index_source_t index_source = { .id = source,
					      .expiry_ms = expiry_ms };

	for (uint32_t i = exchange->level_count; i-- > 0;) {
		uint32_t tokens = cache_index_tokens(
			&exchange->env->cache_index, &index_source,
			add_weights_to_key(exchange->level_keys[i], weights),
			now_ms);

		if (tokens)
			return tokens;
	}
	return 0;
}

uint32_t exchange_engine_cached_tokens(const exchange_t *exchange,
				       const endpoint_load_t *load,
				       uint64_t weights, uint64_t now_ms)
{
	return cached_tokens(exchange, exchange_cache_index_source(load),
			     ENGINE_PREFIX_LIFETIME_MS, weights, now_ms);
}

uint32_t exchange_store_cached_tokens(const exchange_t *exchange,
				      const desired_service_t *store,
				      uint64_t weights, uint64_t now_ms)
{
	return cached_tokens(exchange, hash_string(store->cache_address),
			     STORE_PREFIX_LIFETIME_MS, weights, now_ms);
}

/* All parts of a prompt but the last are shared. Isolated customers share no
 * prefixes with other customers, so their keys differ. */
void exchange_compute_prefix_levels(exchange_t *exchange)
{
	const request_headers_t *headers = &exchange->headers;
	bool isolated = exchange->customer && exchange->customer->isolated;
	uint64_t key = isolated ? hash_string(exchange->customer->name) : 1;
	uint32_t tokens = 0;

	if (headers->model)
		key = hash_chain(key, headers->model, strlen(headers->model));
	for (uint32_t i = 0; i + 1 < headers->part_count; i++) {
		tokens += headers->parts[i].tokens;
		key = hash_chain(key, &headers->parts[i].id,
				 sizeof(headers->parts[i].id));
		exchange->level_keys[i] = key;
		exchange->level_tokens[i] = tokens;
		exchange->level_count = i + 1;
	}
}

static uint32_t count_cache_stores(const desired_state_t *desired)
{
	uint32_t count = 0;

	for (size_t i = 0; i < desired->service_count; i++)
		count += desired->services[i].role == SERVICE_CACHE_STORE;
	return count;
}

/* Rendezvous hashing by the longest shared prefix, so that all instances find
 * it at the same store and the stores together hold each prefix once. */
const desired_service_t *exchange_cache_store(const exchange_t *exchange)
{
	const desired_state_t *desired = exchange->view->desired;
	const desired_service_t *best = NULL;
	uint64_t best_weight = 0;
	uint64_t key = exchange->level_count
			       ? exchange->level_keys[exchange->level_count - 1]
			       : 0;

	for (size_t i = 0; i < desired->service_count; i++) {
		const desired_service_t *store = &desired->services[i];
		uint64_t weight;

		if (store->role != SERVICE_CACHE_STORE)
			continue;
		weight =
			hash_rendezvous(key, hash_string(store->cache_address));
		if (!best || weight > best_weight) {
			best = store;
			best_weight = weight;
		}
	}
	return best;
}

double exchange_link_tokens_per_ms(const desired_service_t *service,
				   const desired_service_t *engines)
{
	/* 1 Mbit/s is 125 bytes a ms. */
	return service->engine.link_mbps * 125 /
	       ((double)engines->engine.token_bytes + 1);
}

/* This instance's share of a fraction of the links of all stores, tokens per
 * ms; prefixes are spread evenly over the stores. */
static double link_share(const exchange_t *exchange,
			 const desired_service_t *store, double fraction)
{
	const desired_service_t *engines =
		&exchange->view->desired->services[exchange->service];

	return fraction * exchange_link_tokens_per_ms(store, engines) *
	       count_cache_stores(exchange->view->desired) /
	       exchange->env->place.instances;
}

bool exchange_may_fetch(const exchange_t *exchange,
			const desired_service_t *store, uint64_t now_ms)
{
	return link_budget_refill(
		&exchange->env->fetch_budget,
		link_share(exchange, store, FETCH_LINK_FRACTION), now_ms);
}

bool exchange_reserve_save(exchange_t *exchange, const desired_service_t *store,
			   uint64_t weights, uint64_t now_ms)
{
	exchange_env_t *env = exchange->env;
	uint32_t shared_tokens =
		exchange->level_count
			? exchange->level_tokens[exchange->level_count - 1]
			: 0;
	bool has_budget = link_budget_refill(
		&env->save_budget,
		link_share(exchange, store, SAVE_LINK_FRACTION), now_ms);

	if (!has_budget || shared_tokens < SAVE_MIN_TOKENS ||
	    exchange_store_cached_tokens(exchange, store, weights, now_ms) >=
		    shared_tokens)
		return false;
	link_budget_take(&env->save_budget, exchange->headers.prompt_tokens,
			 false);
	return true;
}

void exchange_record_cached_prefix(exchange_t *exchange)
{
	const desired_service_t *store = exchange_cache_store(exchange);

	record_prefix_levels(
		exchange, exchange_cache_index_source(exchange->endpoint->load),
		exchange->weights);
	if (exchange->saving && store)
		record_prefix_levels(exchange,
				     hash_string(store->cache_address),
				     exchange->weights);
}
