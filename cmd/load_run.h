/**
 * @file
 * Sends the requests of a workload to one or more targets at the same time.
 *
 * Each target receives the same requests at the same times, so that targets can
 * be compared in one run. The load is open-loop: a request does not wait for
 * the answers to earlier ones.
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

/** A set of instances that route to the same engines. */
typedef struct load_target {
	char *name;
	char *urls[LOAD_URLS_MAX];
	size_t url_count;
	load_report_t *report;
} load_target_t;

typedef struct load_run_settings {
	const char *key_prefix;	   /**< API key of customer N: `<prefix>N`. */
	const char *route;	   /**< Route for orders. */
	uint32_t request_limit_ms; /**< Timeout for a whole request. */
} load_run_settings_t;

/**
 * Parses "name=url,url,...".
 * @return 0 or ERR_SETTING
 */
int load_target_parse(const char *text, load_target_t *target);

void load_target_free(load_target_t *target);

/** Runs a workload and waits for all answers. @return 0 or ERR_NO_MEMORY */
int load_run(load_workload_t *workload, load_target_t *targets, size_t count,
	     const load_run_settings_t *settings);

#endif
