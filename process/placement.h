/**
 * @file
 * Placement: chooses the endpoint for a request. Pure logic: no I/O, clock or
 * locks.
 *
 * Designed for many long prompts with shared prefixes, on engines whose caches
 * hold only a part of these prefixes. Each shared prefix has a preferred
 * endpoint, the first in rendezvous order, so that all instances agree without
 * communication. The cache index takes precedence: a request goes where its
 * prefix is assumed to be cached, unless waiting there costs more than fetching
 * the prefix elsewhere, or much more than recomputing it. A hot prefix spreads
 * over a few engines in rendezvous order.
 *
 * All instances know about the same loads, up to a heartbeat old. Requests
 * without a long shared prefix are placed by the speeds of endpoints; if what
 * others send meanwhile could overrun the best one, it is drawn by its room,
 * see process/placement_draw.h. A prefix of at least a prefill chunk stays at
 * its engines whatever their speeds.
 */
#ifndef PROCESS_PLACEMENT_H
#define PROCESS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Most endpoints of a service that are compared for one request. */
	PLACEMENT_CANDIDATES_MAX = 256,
	PLACEMENT_NONE = -1,
	/** Time that a plain endpoint takes for a request until it is learned,
	 * ms. */
	PLACEMENT_PLAIN_MS = 30,
};

/** Whether a candidate may be used. */
typedef enum candidate_state {
	CANDIDATE_USABLE,
	/** Failed recently, is full or is loading weights; used only if no
	 * usable one is left. */
	CANDIDATE_AVOIDED,
	/** Leaving, tried already, or its weights would be too old. */
	CANDIDATE_EXCLUDED,
} candidate_state_t;

/** An endpoint that the request could be sent to. */
typedef struct placement_candidate {
	candidate_state_t state;
	uint64_t id_hash;
	uint32_t slots;	  /**< Requests it runs at once; 0: not stated. */
	uint32_t running; /**< Requests in progress, of all instances. */
	uint32_t reserved_tokens; /**< Cache memory that they need. */
	uint32_t prefill_tokens;  /**< Prompt tokens waiting for prefill. */
	uint64_t cache_capacity_tokens; /**< 0: a plain service. */
	uint32_t full_ms;    /**< How long it still counts as full. */
	uint32_t error_rate; /**< In 1/1024. */
	uint32_t warm_up_ms;
	/** Relative to the others of the service; 0: not known, counts as 1. */
	double speed;
	/** Plain services: time of a request; 0: not known. */
	double request_ms;
	uint32_t cached_tokens; /**< Of the prefix, in its cache. */
	/** Of the prefix, in another engine's cache or the cache store, from
	 * which it can be fetched. */
	uint32_t fetchable_tokens;
	double fetch_ms;  /**< Estimated time of the fetch. */
	bool same_domain; /**< In this instance's failure domain. */
	bool old_weights; /**< Older than the target weights. */
} placement_candidate_t;

typedef struct placement_request {
	uint64_t prefix_key;	/**< Hash of the shared prefix; 0: none. */
	uint32_t prefix_tokens; /**< Length of the shared prefix. */
	uint32_t suffix_tokens; /**< Of the rest of the prompt. */
	uint32_t output_tokens; /**< Expected. */
	/** Random; spreads requests without a shared prefix. */
	uint64_t tie_break;
	/** Longest time between events that the caller wants; 0: any. */
	uint32_t pause_max_ms;
	/** Expected requests of other instances to the candidates that their
	 * loads do not include yet. */
	double unseen;
} placement_request_t;

typedef struct placement_choice {
	int32_t index;	   /**< Of the candidate, or PLACEMENT_NONE. */
	int32_t preferred; /**< First in rendezvous order. */
	double cost_ms; /**< Estimated time to first token, with penalties. */
	bool exceeds_capacity; /**< Its memory or slots are used up. */
} placement_choice_t;

/**
 * Selects the endpoints to compare where a service has more than
 * PLACEMENT_CANDIDATES_MAX: the first in rendezvous order for the key, which
 * are the same at all instances, and some others in turn.
 * @param key of the shared prefix, or a random one if there is none
 * @param draw random number, where the others start
 * @param selected indexes, PLACEMENT_CANDIDATES_MAX at most
 * @return number of indexes
 */
size_t placement_select(const uint64_t *id_hashes, size_t count, uint64_t key,
			uint64_t draw, uint32_t *selected);

/** Estimated time until an engine starts the prefill of a new prompt, ms. */
uint32_t placement_wait_ms(const placement_candidate_t *candidate);

/** Expected time until a candidate has a free slot, ms; 0: it has one. */
double placement_slot_ms(const placement_candidate_t *candidate);

/** Least time to the first event of a request at an engine, ms: of the waits
 * for a slot and for earlier prompts, only the longer one counts. */
double placement_first_event_ms(const placement_candidate_t *candidate,
				const placement_request_t *request);

/** Time of an answer at average speed, ms, to learn the speed from: up to the
 * first event of an engine, up to the end at a plain service. 0 if the load or
 * too short a prompt makes it uncertain. */
double placement_answer_ms(const placement_candidate_t *candidate,
			   const placement_request_t *request);

/** Expected longest pause between events at an engine, ms, from the prompts
 * that it has to read. */
double placement_pause_ms(const placement_candidate_t *candidate);

/** Whether a new request is expected to begin at an engine within `left_ms`;
 * errs on the safe side. */
bool placement_begins_within(const placement_candidate_t *candidate,
			     uint64_t left_ms);

/** Chooses the candidate with the lowest estimated cost. */
void placement_choose(const placement_candidate_t *candidates, size_t count,
		      const placement_request_t *request,
		      placement_choice_t *choice);

#endif
