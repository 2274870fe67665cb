/**
 * @file
 * Fetch source: the cache from which an engine fetches the shared prefix of a
 * prompt. Pure logic: no I/O, clock or locks.
 *
 * Designed for hundreds of fetches a second of up to 1 GB each. The cache store
 * comes first, because it keeps prefixes for longer than engines do. But it has
 * one link with a fraction of the bandwidth of an engine's, and most engines
 * are in other failure domains, where a transfer takes twice as long. So each
 * instance uses only its share of that link. Beyond it, engines that have the
 * prefix cached serve it over their own links, those in the same domain first
 * and in turn.
 */
#ifndef PROCESS_FETCH_SOURCE_H
#define PROCESS_FETCH_SOURCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** The prefix is not fetched. */
	FETCH_SOURCE_NONE = -1,
	FETCH_SOURCE_STORE = -2,
	/** Most engines that are compared as sources. */
	FETCH_HOLDERS_MAX = 32,
	/** Shortest prefix that is fetched, tokens: computing a shorter one
	 * takes no longer than setting up a transfer. */
	FETCH_MIN_TOKENS = 64,
};

/** An engine that could run the request or serve its cache to another. */
typedef struct fetch_engine {
	uint32_t cached_tokens; /**< Of the prefix, with its weights. */
	/** Tokens of the prefix with its weights in the cache store. */
	uint32_t stored_tokens;
	uint64_t weights;    /**< Version. */
	uint32_t domain;     /**< Hash of its failure domain. */
	bool serves_fetches; /**< Reachable, and its cache stays available. */
} fetch_engine_t;

/** Bandwidth of the links, in tokens of this model per ms; 0: not stated. */
typedef struct fetch_links {
	double engine_tokens_per_ms;
	double store_tokens_per_ms;
	uint32_t store_domain;
	bool store_over_budget; /**< This instance has used up its share of the
				   store's link. */
} fetch_links_t;

typedef struct fetch_source {
	int32_t from;	 /**< Index of an engine, or FETCH_SOURCE_*. */
	uint32_t tokens; /**< Of the prefix, cached after the fetch. */
	double fetch_ms; /**< Estimated time of the transfer. */
} fetch_source_t;

/** Token bucket for this instance's share of the cache store's link. */
typedef struct link_budget {
	double tokens; /**< Cached tokens that may be transferred now. */
	uint64_t refilled_ms;
} link_budget_t;

/**
 * Refills the budget for the time since the last call, up to one second's
 * worth.
 * @return whether a transfer may start
 */
bool link_budget_refill(link_budget_t *budget, double tokens_per_ms,
			uint64_t now_ms);

/** Charges a transfer; one between failure domains costs twice as much. */
void link_budget_take(link_budget_t *budget, uint32_t tokens,
		      bool cross_domain);

/**
 * Finds the fetch source for each engine.
 * @param draw random number, so that equal sources take turns
 * @param sources result for each engine, `count` elements
 */
void fetch_source_find(const fetch_engine_t *engines, size_t count,
		       const fetch_links_t *links, uint64_t draw,
		       fetch_source_t *sources);

#endif
