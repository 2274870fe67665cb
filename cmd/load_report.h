/**
 * @file
 * Results of a load run: one report for each target.
 */
#ifndef CMD_LOAD_REPORT_H
#define CMD_LOAD_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "cmd/load_workload.h"

enum {
	/** Interval of the time series, milliseconds. */
	LOAD_SERIES_STEP_MS = 1000,
	/** Intervals in the series; later results are not in it. */
	LOAD_SERIES_STEPS_MAX = 3600,
};

/** How a request ended, as the client saw it. */
typedef enum load_outcome {
	LOAD_COMPLETE,
	LOAD_REFUSED,	/**< Answered with an HTTP status of 400 or more. */
	LOAD_ERROR,	/**< The stream contained an error event. */
	LOAD_TRUNCATED, /**< The answer ended early, without "[DONE]". */
	LOAD_NO_ANSWER, /**< No HTTP status was received. */
	LOAD_OUTCOME_COUNT,
} load_outcome_t;

/** One finished request. */
typedef struct load_result {
	load_kind_t kind;
	load_outcome_t outcome;
	uint64_t arrival_ms; /**< Scheduled arrival after the start. */
	double ttft_ms;	     /**< From arrival to the first token; 0 if none. */
	double gap_mean_ms;  /**< Mean time between tokens. */
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ideal_cached_tokens; /**< See load_request_t. */
	char error[32];		      /**< Type of the error; empty for none. */
} load_result_t;

/** Sums over one interval of the time series. */
typedef struct load_step {
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ideal_cached_tokens;
	double ttft_sum_ms;
	uint64_t ttft_count;
} load_step_t;

/** Results of all requests to one target. */
typedef struct load_report {
	const char *name;
	GArray *ttft_ms[LOAD_KIND_COUNT]; /**< Array of double. */
	GArray *gap_ms;			  /**< Array of double. */
	uint64_t outcomes[LOAD_KIND_COUNT][LOAD_OUTCOME_COUNT];
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ideal_cached_tokens;
	GHashTable *errors; /**< Maps an error type to its count. */
	load_step_t steps[LOAD_SERIES_STEPS_MAX];
} load_report_t;

load_report_t *load_report_new(const char *name);

void load_report_free(load_report_t *report);

void load_report_add(load_report_t *report, const load_result_t *result);

/** Prints a table with one line for each target. */
void load_report_print(load_report_t *const *reports, size_t count);

/** Returns all results as a JSON array with one object for each target. */
json_t *load_report_json(load_report_t *const *reports, size_t count);

/**
 * Writes the hit rate over time, the distribution of the time to first token of
 * urgent requests, and a gnuplot script that draws both into `<prefix>.png`.
 * @return 0 or ERR_INTERNAL if a file cannot be opened
 */
int load_report_plot(load_report_t *const *reports, size_t count,
		     const char *prefix);

#endif
