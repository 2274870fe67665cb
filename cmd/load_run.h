/**
 * @file
 * Sends the requests of a workload to one or more targets at the same time.
 *
 * Each target gets the same requests at the same times, so that targets can be
 * compared in one run. Arrivals do not wait for answers (open loop).
 */
#ifndef CMD_LOAD_RUN_H
#define CMD_LOAD_RUN_H

#include <stddef.h>

#include "cmd/load_report.h"
#include "cmd/load_workload.h"

enum {
	LOAD_TARGETS_MAX = 12,
	LOAD_URLS_MAX = 32,
};

/** A set of instances that share their engines. */
typedef struct load_target {
	char *name;
	char *urls[LOAD_URLS_MAX];
	size_t url_count;
	load_report_t *report;
} load_target_t;

typedef struct load_run_settings {
	const char *key_prefix; /**< API key of customer N: prefix, N. */
	const char *route;	/**< Route of orders. */
	uint32_t request_limit_ms;
} load_run_settings_t;

/**
 * Parses "name=url,url,...".
 * @return 0 or ERR_SETTING
 */
int load_target_parse(const char *text, load_target_t *target);

void load_target_free(load_target_t *target);

/** Runs a workload to its end. @return 0 or an error */
int load_run(load_workload_t *workload, load_target_t *targets, size_t count,
	     const load_run_settings_t *settings);

#endif
