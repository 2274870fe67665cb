/*
 * The operator command: changes the configuration, shows the state of an
 * instance and explains routing decisions.
 */
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/operator_client.h"
#include "cmd/operator_ticket.h"
#include "process/cleanup.h"
#include "process/error.h"
#include "process/event.h"
#include "process/settings.h"

enum {
	EXIT_USAGE = 2,
	AUDIT_PATH_MAX_BYTES = 64,
};

static operator_client_t client;
static uint32_t audit_limit;
static const char *explain_customer;
static const char *explain_kind;

static const setting_t settings[] = {
	{ .flag = "router",
	  .type = SETTING_TEXT,
	  .value = &client.url,
	  .text = "URL of any instance",
	  .fallback = "http://127.0.0.1:8080",
	  .min = 8,
	  .max = 512 },
	{ .flag = "operator-key",
	  .type = SETTING_TEXT,
	  .value = &client.key,
	  .text = "operator key",
	  .fallback = "",
	  .secret = true,
	  .max = 256 },
	{ .flag = "ca",
	  .type = SETTING_TEXT,
	  .value = &client.ca,
	  .text = "file with the CA certificates for an https URL",
	  .min = 1,
	  .max = 4096 },
	{ .flag = "timeout-ms",
	  .type = SETTING_NUMBER,
	  .value = &client.timeout_ms,
	  .text = "timeout for a request, ms",
	  .fallback = "10000",
	  .min = 100,
	  .max = 600000 },
	{ .flag = "limit",
	  .type = SETTING_NUMBER,
	  .value = &audit_limit,
	  .text = "maximum number of audit entries to show",
	  .fallback = "50",
	  .min = 1,
	  .max = 16384 },
	{ .flag = "customer",
	  .type = SETTING_TEXT,
	  .value = &explain_customer,
	  .text = "customer to explain a request for",
	  .min = 1,
	  .max = 63 },
	{ .flag = "kind",
	  .type = SETTING_TEXT,
	  .value = &explain_kind,
	  .text = "kind of the request to explain",
	  .fallback = "",
	  .max = 63 },
	{ 0 },
};

static int print_answer(const char *path, const char *body)
{
	CLEANUP_JSON json_t *answer = NULL;

	if (operator_call(&client, path, body, &answer))
		return EXIT_FAILURE;
	json_dumpf(answer, stdout, JSON_INDENT(2));
	putchar('\n');
	return EXIT_SUCCESS;
}

static int show_status(const char **args)
{
	(void)args;
	return print_answer("/admin/status", NULL);
}

static int show_audit(const char **args)
{
	char path[AUDIT_PATH_MAX_BYTES];

	(void)args;
	snprintf(path, sizeof(path), "/admin/audit?limit=%u", audit_limit);
	return print_answer(path, NULL);
}

static int drain(const char **args)
{
	(void)args;
	return print_answer("/admin/drain", "{}");
}

/** Prints the routing decision for the request body in a file. */
static int explain(const char **args)
{
	json_error_t problem;
	CLEANUP_JSON json_t *body = NULL;
	CLEANUP_JSON json_t *request = NULL;
	CLEANUP_FREE char *text = NULL;

	if (!args[0] || !explain_customer) {
		fprintf(stderr, "give --customer and a file with the body\n");
		return EXIT_USAGE;
	}
	body = json_load_file(args[0], 0, &problem);
	if (!body) {
		fprintf(stderr, "%s: line %d: %s\n", args[0], problem.line,
			problem.text);
		return EXIT_USAGE;
	}
	request = json_pack("{s:s, s:s, s:O}", "customer", explain_customer,
			    "kind", explain_kind, "request", body);
	text = request ? json_dumps(request, JSON_COMPACT) : NULL;
	return text ? print_answer("/admin/explain", text) : EXIT_FAILURE;
}

static const char *level_name(event_level_t level)
{
	switch (level) {
	case EVENT_DEBUG:
		return "debug";
	case EVENT_INFO:
		return "info";
	case EVENT_WARN:
		return "warn";
	case EVENT_ERROR:
		return "error";
	}
	return "error";
}

/** Prints the contents of docs/log-events.md. */
static int print_events(const char **args)
{
	size_t count;
	const event_info_t *events = event_catalogue(&count);

	(void)args;
	printf("# Log events\n\nPrinted by `amaranthvale events`. A line has "
	       "time, level, program, `event=<number> name=<name>` and\n"
	       "key=value pairs. Numbers are stable.\n\n"
	       "| event | name | level | meaning |\n|---|---|---|---|\n");
	for (size_t i = 0; i < count; i++)
		printf("| %d | %s | %s | %s |\n", (int)events[i].id,
		       events[i].name, level_name(events[i].level),
		       events[i].text);
	return EXIT_SUCCESS;
}

static const char *advice_name(retry_advice_t advice)
{
	switch (advice) {
	case RETRY_NEVER:
		return "do not retry";
	case RETRY_LATER:
		return "retry after the delay";
	case RETRY_NOW:
		return "retry at once";
	case RETRY_SAME_KEY:
		return "retry with the same key";
	}
	return "do not retry";
}

/** Prints the contents of docs/errors.md. */
static int print_errors(const char **args)
{
	(void)args;
	printf("# Errors\n\nPrinted by `amaranthvale errors`. Every error "
	       "answer has the type, whether the request was executed\n"
	       "(`not_run`, `unknown`, `ran`) and when to retry.\n\n"
	       "| number | type | HTTP | execution | advice | delay, ms | "
	       "meaning |\n|---|---|---|---|---|---|---|\n");
	for (int err = -1; err > -ERR_KIND_COUNT; err--) {
		const error_answer_t *answer = error_answer(err);

		printf("| %d | %s | %u | %s | %s | %u | %s |\n", err,
		       answer->type, answer->http_status,
		       run_state_name(answer->run_state),
		       advice_name(answer->advice), answer->retry_after_ms,
		       answer->text);
	}
	return EXIT_SUCCESS;
}

static int ticket_apply(const char **args)
{
	return operator_ticket_apply(&client, args);
}

static int ticket_status(const char **args)
{
	return operator_ticket_status(&client, args);
}

static int ticket_diff(const char **args)
{
	return operator_ticket_diff(&client, args);
}

typedef struct command {
	const char *name;
	const char *subcommand; /**< NULL if the command has none. */
	int (*run)(const char **args);
} command_t;

static const command_t commands[] = {
	{ "ticket", "apply", ticket_apply },
	{ "ticket", "status", ticket_status },
	{ "ticket", "diff", ticket_diff },
	{ "status", NULL, show_status },
	{ "audit", NULL, show_audit },
	{ "drain", NULL, drain },
	{ "explain", NULL, explain },
	{ "events", NULL, print_events },
	{ "errors", NULL, print_errors },
};

static const char usage[] =
	"[OPTION...] COMMAND\n"
	"Commands:\n"
	"  ticket apply FILE     send a change ticket; - is standard input\n"
	"  ticket status NUMBER  show which instances have a ticket in force\n"
	"  ticket diff FILE      show what a ticket would change\n"
	"  status                show an instance, its members and endpoints\n"
	"  audit                 show the audit trail\n"
	"  drain                 begin a planned stop of the instance\n"
	"  explain FILE          show how a request would be routed, and why\n"
	"  events                print the catalogue of log events\n"
	"  errors                print the error table\n";

static int run_command(const char **args)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		const command_t *command = &commands[i];

		if (!args[0] || strcmp(args[0], command->name) != 0)
			continue;
		if (!command->subcommand)
			return command->run(args + 1);
		if (args[1] && !strcmp(args[1], command->subcommand))
			return command->run(args + 2);
	}
	fprintf(stderr, "usage: amaranthvale %s", usage);
	return EXIT_USAGE;
}

int main(int argc, const char **argv)
{
	const char **args = NULL;
	int outcome = settings_read(argc, argv, settings, usage, &args);
	int status;

	if (outcome == SETTINGS_EXIT)
		return EXIT_SUCCESS;
	if (outcome < 0)
		return EXIT_USAGE;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = run_command(args);
	curl_global_cleanup();
	return status;
}
