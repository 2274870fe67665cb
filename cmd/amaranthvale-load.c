/*
 * The load generator: sends a workload generated from a seed to one or more
 * sets of instances and reports the results that clients see.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/load_report.h"
#include "cmd/load_run.h"
#include "cmd/load_workload.h"
#include "process/cleanup.h"
#include "process/error.h"
#include "process/settings.h"

enum { EXIT_USAGE = 2 };

static load_settings_t workload_settings;
static load_run_settings_t run_settings;
static const char *json_path;
static const char *plot_prefix;

static const char *const deployments[] = { "subsol", "qureshi", NULL };

#define NUMBER(name_, target_, help_, fallback_, low_, high_)                \
	{                                                                    \
		.flag = (name_), .type = SETTING_NUMBER, .value = (target_), \
		.text = (help_), .fallback = (fallback_), .min = (low_),     \
		.max = (high_),                                              \
	}
#define TEXT(name_, target_, help_, fallback_)                             \
	{                                                                  \
		.flag = (name_), .type = SETTING_TEXT, .value = (target_), \
		.text = (help_), .fallback = (fallback_), .min = 1,        \
		.max = 4096,                                               \
	}

static const setting_t settings[] = {
	{ .flag = "deployment",
	  .type = SETTING_CHOICE,
	  .value = &workload_settings.deployment,
	  .text = "workload: subsol or qureshi",
	  .fallback = "subsol",
	  .choices = deployments },
	{ .flag = "rate",
	  .type = SETTING_REAL,
	  .value = &workload_settings.rate_per_s,
	  .text = "requests per second to each target",
	  .fallback = "10",
	  .min = 0.01,
	  .max = 100000 },
	{ .flag = "single-message",
	  .type = SETTING_SWITCH,
	  .value = &workload_settings.single_message,
	  .text = "put the whole prompt into one message",
	  .fallback = "0" },
	NUMBER("seed", &workload_settings.seed, "seed of the workload", "1", 0,
	       4294967295.0),
	NUMBER("duration-s", &workload_settings.duration_s,
	       "duration of the run, s", "30", 1, 3600),
	NUMBER("shift-s", &workload_settings.shift_s,
	       "when the popular sections change, s; 0 for never", "15", 0,
	       3600),
	NUMBER("sections", &workload_settings.sections, "number of sections",
	       "12", 1, LOAD_SECTIONS_MAX),
	NUMBER("subsections", &workload_settings.subsections,
	       "number of subsections of each section", "8", 1, 100),
	NUMBER("section-blocks", &workload_settings.section_blocks,
	       "length of a section, blocks", "10", 0, 100),
	NUMBER("subsection-blocks", &workload_settings.subsection_blocks,
	       "length of a subsection, blocks", "4", 0, 100),
	NUMBER("notes-blocks", &workload_settings.notes_blocks,
	       "length of the unique notes, blocks", "2", 0, 100),
	NUMBER("block-tokens", &workload_settings.block_tokens,
	       "length of a block, tokens", "2000", 1, 100000),
	NUMBER("token-bytes", &workload_settings.token_bytes,
	       "size of a token, bytes", "4", 1, 16),
	NUMBER("answer-tokens", &workload_settings.answer_tokens,
	       "length of an answer, tokens", "40", 1, 100000),
	NUMBER("urgent-percent", &workload_settings.urgent_percent,
	       "share of urgent model requests, %", "40", 0, 100),
	NUMBER("deferrable-percent", &workload_settings.deferrable_percent,
	       "share of deferrable model requests, %", "20", 0, 100),
	NUMBER("order-percent", &workload_settings.order_percent,
	       "share of orders, %", "0", 0, 100),
	NUMBER("customers", &workload_settings.customers, "number of customers",
	       "8", 1, 1000),
	NUMBER("large-percent", &workload_settings.large_percent,
	       "share of requests of the first customer, %", "50", 0, 100),
	NUMBER("crash-period-s", &workload_settings.crash_period_s,
	       "interval of requests with the crash marker, s; 0 for never",
	       "0", 0, 3600),
	TEXT("crash-marker", &workload_settings.crash_marker,
	     "text that crashes a stand-in engine", NULL),
	TEXT("model", &workload_settings.model, "model to request", "model"),
	TEXT("route", &run_settings.route, "route for orders", "dispatch"),
	TEXT("key-prefix", &run_settings.key_prefix,
	     "prefix of API keys; the key of customer N is PREFIX with N",
	     "key-"),
	NUMBER("request-limit-ms", &run_settings.request_limit_ms,
	       "timeout for a request, ms", "60000", 100, 3600000),
	TEXT("json", &json_path, "file for all results as JSON", NULL),
	TEXT("plot", &plot_prefix,
	     "prefix of the files for gnuplot; run `gnuplot PREFIX.gnuplot`",
	     NULL),
	{ 0 },
};

static const char usage[] =
	"[OPTION...] NAME=URL[,URL...]...\n"
	"Each target is a set of instances; all targets receive the same "
	"requests at the same times.\n";

static int parse_targets(const char **args, load_target_t *targets,
			 size_t *count)
{
	for (; *args; args++) {
		if (*count == LOAD_TARGETS_MAX ||
		    load_target_parse(*args, &targets[(*count)++]) < 0) {
			fprintf(stderr,
				"invalid target '%s'; give at most %d targets "
				"NAME=URL[,URL...] with at most %d URLs each\n",
				*args, LOAD_TARGETS_MAX, LOAD_URLS_MAX);
			return ERR_SETTING;
		}
	}
	if (*count)
		return 0;
	fprintf(stderr, "usage: amaranthvale-load %s", usage);
	return ERR_SETTING;
}

static int write_results(const load_target_t *targets, size_t count)
{
	load_report_t *reports[LOAD_TARGETS_MAX];
	CLEANUP_JSON json_t *results = NULL;

	for (size_t i = 0; i < count; i++)
		reports[i] = targets[i].report;
	printf("# seed %u rate %.2f duration-s %u deployment %s\n",
	       workload_settings.seed, workload_settings.rate_per_s,
	       workload_settings.duration_s,
	       deployments[workload_settings.deployment]);
	load_report_print(reports, count);
	results = load_report_json(reports, count);
	if (json_path &&
	    json_dump_file(results, json_path, JSON_INDENT(2)) < 0) {
		fprintf(stderr, "%s: cannot write the results\n", json_path);
		return EXIT_FAILURE;
	}
	if (plot_prefix && load_report_plot(reports, count, plot_prefix) < 0) {
		fprintf(stderr, "%s: cannot write the plot files\n",
			plot_prefix);
		return EXIT_FAILURE;
	}
	return EXIT_SUCCESS;
}

static int run(load_target_t *targets, size_t count)
{
	load_workload_t *workload = load_workload_new(&workload_settings);
	int err = ERR_NO_MEMORY;

	if (workload)
		err = load_run(workload, targets, count, &run_settings);
	load_workload_free(workload);
	if (!err)
		return write_results(targets, count);
	fprintf(stderr, "the run failed: %s\n", error_answer(err)->text);
	return EXIT_FAILURE;
}

int main(int argc, const char **argv)
{
	load_target_t targets[LOAD_TARGETS_MAX] = { 0 };
	const char **args = NULL;
	size_t count = 0;
	int status = EXIT_USAGE;
	int outcome = settings_read(argc, argv, settings, usage, &args);

	if (outcome == SETTINGS_EXIT)
		return EXIT_SUCCESS;
	if (outcome < 0)
		return EXIT_USAGE;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!parse_targets(args, targets, &count))
		status = run(targets, count);
	for (size_t i = 0; i < count; i++)
		load_target_free(&targets[i]);
	curl_global_cleanup();
	return status;
}
