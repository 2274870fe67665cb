/**
 * @file
 * Synthetic requests modelled on two deployments, generated from a seed.
 *
 * A prompt consists of a section of a manual or handbook, a subsection
 * (building or chapter) and unique notes. Requests share the first two as
 * prefixes. The popularity of sections and subsections falls exponentially with
 * their rank.
 *
 * At a set time the popular sections change. LOAD_SUBSOL models a storm: the
 * ranks are shuffled and fewer sections get most of the load. LOAD_QURESHI
 * models a change of staff shifts: the ranks are shuffled and most requests use
 * one section.
 */
#ifndef CMD_LOAD_WORKLOAD_H
#define CMD_LOAD_WORKLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"

enum {
	LOAD_SECTIONS_MAX = 256,
	LOAD_KEY_MAX_BYTES = 40, /**< Idempotency key with NUL. */
};

typedef enum load_deployment {
	LOAD_SUBSOL,
	LOAD_QURESHI,
} load_deployment_t;

/** Kinds of request; the first three are model requests. */
typedef enum load_kind {
	LOAD_VERDICT,  /**< Urgent priority. */
	LOAD_QUESTION, /**< Normal priority. */
	LOAD_SUMMARY,  /**< Deferrable priority. */
	LOAD_ORDER,    /**< Non-idempotent request to a plain service. */
	LOAD_KIND_COUNT,
} load_kind_t;

typedef struct load_settings {
	uint32_t deployment; /**< load_deployment_t */
	uint32_t seed;
	double rate_per_s;
	uint32_t duration_s;
	uint32_t shift_s; /**< When the popular sections change; 0: never. */
	uint32_t sections;
	uint32_t subsections;	 /**< In each section. */
	uint32_t section_blocks; /**< Length of a section. */
	uint32_t subsection_blocks;
	uint32_t notes_blocks;
	uint32_t block_tokens;
	uint32_t token_bytes;
	uint32_t answer_tokens;
	uint32_t urgent_percent;
	uint32_t deferrable_percent;
	uint32_t order_percent;
	uint32_t customers;
	uint32_t large_percent; /**< Share of requests of the first customer. */
	bool single_message;	/**< Put the whole prompt into one message. */
	const char *model;
	const char *crash_marker; /**< Text that crashes an engine, or NULL. */
	uint32_t crash_period_s;  /**< Time between requests with the marker. */
} load_settings_t;

typedef struct load_request {
	uint64_t number;
	uint64_t arrival_ms; /**< Milliseconds after the start. */
	load_kind_t kind;
	uint32_t customer;
	bool crashing; /**< Contains the crash marker. */
	char *body;    /**< JSON; freed by load_request_free(). */
	size_t body_bytes;
	char idempotency_key[LOAD_KEY_MAX_BYTES]; /**< For orders only. */
	uint64_t prompt_tokens;
	/** Tokens that one unbounded cache for all engines would hold. */
	uint64_t ideal_cached_tokens;
} load_request_t;

typedef struct load_workload load_workload_t;

/** @return NULL when out of memory */
load_workload_t *load_workload_new(const load_settings_t *settings);

void load_workload_free(load_workload_t *workload);

/**
 * Generates the next request.
 * @return false at the end of the duration or when out of memory
 */
bool load_workload_next(load_workload_t *workload, load_request_t *request);

void load_request_free(load_request_t *request);

/** Name of a kind, as sent in X-Kind. */
const char *load_kind_name(load_kind_t kind);

#endif
