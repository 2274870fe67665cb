/**
 * @file
 * Results of a load run: one set of figures for each target.
 */
#ifndef CMD_LOAD_REPORT_H
#define CMD_LOAD_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "cmd/load_workload.h"

enum {
	/** Width of one row of the series over time, milliseconds. */
	LOAD_SERIES_STEP_MS = 1000,
	LOAD_SERIES_MAX = 3600,
};

/** How a request ended, as the caller saw it. */
typedef enum load_outcome {
	LOAD_COMPLETE,
	LOAD_REFUSED,	/**< Answered with an error from the error table. */
	LOAD_ERROR,	/**< The stream ended with an explicit error. */
	LOAD_TRUNCATED, /**< The stream ended without its end mark. */
	LOAD_NO_ANSWER, /**< The connection failed. */
	LOAD_OUTCOME_COUNT,
} load_outcome_t;

/** One finished request. */
typedef struct load_result {
	load_kind_t kind;
	load_outcome_t outcome;
	uint64_t at_ms;
	double ttft_ms;	    /**< From arrival to the first token; 0 for none. */
	double gap_mean_ms; /**< Mean time between tokens. */
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ideal_cached_tokens;
	char error[32]; /**< Type of the refusal or error. */
} load_result_t;

/** Sums over one step of time. */
typedef struct load_step {
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ideal_cached_tokens;
	double ttft_sum_ms;
	uint64_t ttft_count;
} load_step_t;

typedef struct load_report {
	const char *name;
	GArray *ttft_ms[LOAD_KIND_COUNT]; /**< double */
	GArray *gap_ms;			  /**< double */
	uint64_t outcomes[LOAD_KIND_COUNT][LOAD_OUTCOME_COUNT];
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ideal_cached_tokens;
	GHashTable *errors; /**< Type to count. */
	load_step_t steps[LOAD_SERIES_MAX];
} load_report_t;

load_report_t *load_report_new(const char *name);

void load_report_free(load_report_t *report);

void load_report_add(load_report_t *report, const load_result_t *result);

/** Prints a table with one row for each target. */
void load_report_print(load_report_t *const *reports, size_t count);

/** All figures as JSON. */
json_t *load_report_json(load_report_t *const *reports, size_t count);

/**
 * Writes the series over time, the TTFT distributions and a gnuplot script
 * that draws both into `<prefix>.png`.
 * @return 0 or ERR_INTERNAL if a file cannot be written
 */
int load_report_plot(load_report_t *const *reports, size_t count,
		     const char *prefix);

#endif
