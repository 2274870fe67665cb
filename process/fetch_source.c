#include "process/fetch_source.h"

/** Time to set up a transfer, ms: 1.7 by the deployment's specification, and a
 * round trip. */
#define FETCH_SETUP_MS 4.0
/** A transfer between failure domains takes this many times as long. */
#define CROSS_DOMAIN_FACTOR 2.0
/** Bandwidth assumed where none is stated, tokens/ms: that of the cache store
 * in the deployment's specification. */
#define DEFAULT_LINK_TOKENS_PER_MS 200.0
/** Unused bandwidth accumulates for up to this time, ms. */
#define LINK_BUDGET_BURST_MS 1000.0

bool link_budget_refill(link_budget_t *budget, double tokens_per_ms,
			uint64_t now_ms)
{
	budget->tokens +=
		tokens_per_ms * (double)(now_ms - budget->refilled_ms);
	if (budget->tokens > tokens_per_ms * LINK_BUDGET_BURST_MS)
		budget->tokens = tokens_per_ms * LINK_BUDGET_BURST_MS;
	budget->refilled_ms = now_ms;
	return budget->tokens > 0;
}

void link_budget_take(link_budget_t *budget, uint32_t tokens, bool cross_domain)
{
	budget->tokens -= tokens * (cross_domain ? CROSS_DOMAIN_FACTOR : 1);
}

/* Engines of one weights version that can serve most tokens of the prefix; the
 * first FETCH_HOLDERS_MAX by index of those with equally many. */
typedef struct holders {
	uint64_t weights;
	uint32_t tokens;
	uint32_t count;
	uint32_t indexes[FETCH_HOLDERS_MAX];
} holders_t;

static void find_holders(const fetch_engine_t *engines, size_t count,
			 uint64_t weights, holders_t *holders)
{
	holders->weights = weights;
	holders->tokens = FETCH_MIN_TOKENS;
	holders->count = 0;
	for (size_t i = 0; i < count; i++) {
		if (!engines[i].serves_fetches ||
		    engines[i].weights != weights ||
		    engines[i].cached_tokens < holders->tokens)
			continue;
		if (engines[i].cached_tokens > holders->tokens)
			holders->count = 0;
		holders->tokens = engines[i].cached_tokens;
		if (holders->count < FETCH_HOLDERS_MAX)
			holders->indexes[holders->count++] = (uint32_t)i;
	}
}

/* Holders that were found; while weights are replaced, the engines have one of
 * two versions. */
typedef struct holder_cache {
	holders_t items[2];
	uint32_t used;
	uint32_t next;
} holder_cache_t;

static const holders_t *holders_of(holder_cache_t *cache,
				   const fetch_engine_t *engines, size_t count,
				   uint64_t weights)
{
	holders_t *holders;

	for (uint32_t i = 0; i < cache->used; i++) {
		if (cache->items[i].weights == weights)
			return &cache->items[i];
	}
	holders = &cache->items[cache->next];
	cache->next = 1 - cache->next;
	if (cache->used < 2)
		cache->used++;
	find_holders(engines, count, weights, holders);
	return holders;
}

static double transfer_ms(uint32_t tokens, double tokens_per_ms,
			  bool cross_domain)
{
	double rate =
		tokens_per_ms > 0 ? tokens_per_ms : DEFAULT_LINK_TOKENS_PER_MS;

	return FETCH_SETUP_MS +
	       tokens / rate * (cross_domain ? CROSS_DOMAIN_FACTOR : 1);
}

/* Whether a source is better than the best so far: it has more tokens, or as
 * many as another engine and is faster. */
static bool is_better(uint32_t tokens, double ms, const fetch_source_t *best)
{
	if (tokens != best->tokens)
		return tokens > best->tokens;
	return best->from >= 0 && ms < best->fetch_ms;
}

static void consider_holders(const fetch_engine_t *engines, size_t target,
			     const holders_t *holders,
			     const fetch_links_t *links, uint64_t draw,
			     fetch_source_t *source)
{
	const fetch_engine_t *engine = &engines[target];

	for (uint32_t i = 0; i < holders->count; i++) {
		uint32_t from = holders->indexes[(draw + i) % holders->count];
		const fetch_engine_t *holder = &engines[from];
		double ms = transfer_ms(holder->cached_tokens,
					links->engine_tokens_per_ms,
					holder->domain != engine->domain);

		if (from == target ||
		    !is_better(holder->cached_tokens, ms, source))
			continue;
		*source = (fetch_source_t){ (int32_t)from,
					    holder->cached_tokens, ms };
	}
}

static void consider_store(const fetch_engine_t *engine,
			   const fetch_links_t *links, fetch_source_t *source)
{
	if (!links->store_over_budget &&
	    engine->stored_tokens >= FETCH_MIN_TOKENS &&
	    engine->stored_tokens > source->tokens)
		*source = (fetch_source_t){
			FETCH_SOURCE_STORE, engine->stored_tokens,
			transfer_ms(engine->stored_tokens,
				    links->store_tokens_per_ms,
				    links->store_domain != engine->domain)
		};
}

void fetch_source_find(const fetch_engine_t *engines, size_t count,
		       const fetch_links_t *links, uint64_t draw,
		       fetch_source_t *sources)
{
	holder_cache_t cache = { 0 };

	for (size_t i = 0; i < count; i++) {
		sources[i] = (fetch_source_t){ FETCH_SOURCE_NONE,
					       engines[i].cached_tokens, 0 };
		consider_store(&engines[i], links, &sources[i]);
		consider_holders(
			engines, i,
			holders_of(&cache, engines, count, engines[i].weights),
			links, draw, &sources[i]);
	}
}
