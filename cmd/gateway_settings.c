/* Settings of the gateway, from the platform's settings file and flags. */
#include "cmd/gateway.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform_settings.h"
#include "process/error.h"
#include "process/settings.h"

enum {
	/** Most arguments from the settings file and the command line. */
	ARGUMENTS_MAX = 128,
	FILE_LINE_MAX_BYTES = 4096,
};

static const char *const log_levels[] = { "debug", "info", "warn", "error",
					  NULL };

#define NUMBER_SETTING(flag_name, member, help, default_value, min_value, \
		       max_value)                                         \
	{                                                                 \
		.flag = (flag_name), .type = SETTING_NUMBER,              \
		.value = &settings->member, .text = (help),               \
		.fallback = (default_value), .min = (min_value),          \
		.max = (max_value)                                        \
	}
/* For values that the platform writes with or without a decimal point. */
#define REAL_SETTING(flag_name, member, help, default_value, min_value, \
		     max_value)                                         \
	{                                                               \
		.flag = (flag_name), .type = SETTING_REAL,              \
		.value = &settings->member, .text = (help),             \
		.fallback = (default_value), .min = (min_value),        \
		.max = (max_value)                                      \
	}
#define TEXT_SETTING(flag_name, member, help, default_value) \
	{                                                    \
		.flag = (flag_name), .type = SETTING_TEXT,   \
		.value = &settings->member, .text = (help),  \
		.fallback = (default_value)                  \
	}

/* Adds the lines of the settings file to `argv`, which holds `argc` arguments.
 * The arguments of the command line follow later and override them.
 * Returns the new number of arguments, or ERR_SETTING. */
static int read_settings_file(const char *path, const char **argv, int argc)
{
	FILE *file = fopen(path, "r");
	char line[FILE_LINE_MAX_BYTES];

	if (!file) {
		fprintf(stderr, "settings file %s: cannot be read\n", path);
		return ERR_SETTING;
	}
	while (argc < ARGUMENTS_MAX && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\r\n")] = '\0';
		/* A setting with an empty value keeps its default: the platform
		 * does not specify it. */
		if (line[0] != '-' || line[strlen(line) - 1] == '=')
			continue;
		argv[argc] = strdup(line);
		if (argv[argc])
			argc++;
	}
	fclose(file);
	return argc;
}

int gateway_settings_load(gateway_settings_t *settings, int argc,
			  const char **argv)
{
	const setting_t setting_table[] = {
		TEXT_SETTING("name", name, "unique name of this instance",
			     "gateway"),
		TEXT_SETTING("domain", domain,
			     "failure domain of this instance", "local"),
		TEXT_SETTING("listen", listen, "IP:PORT for clients",
			     "127.0.0.1:8080"),
		TEXT_SETTING("ready-listen", ready_listen,
			     "IP:PORT for readiness probes", "127.0.0.1:8081"),
		TEXT_SETTING("peer-ip", peer_ip,
			     "IP address for other instances", "127.0.0.1"),
		NUMBER_SETTING("peer-port", peer_port,
			       "port for other instances", "8082", 1, 65535),
		NUMBER_SETTING("forward-port", forward_port,
			       "port on the peer address for requests that "
			       "other instances forward, the same at all of "
			       "them; 0: none are forwarded",
			       "0", 0, 65535),
		NUMBER_SETTING("metrics-port", metrics_port,
			       "port for metrics on the peer address; 0: none",
			       "0", 0, 65535),
		TEXT_SETTING("store", store,
			     "IP:PORT of the platform's store of objects",
			     "127.0.0.1:8083"),
		TEXT_SETTING("seeds", seeds,
			     "IP:PORT of other instances, comma-separated", ""),
		REAL_SETTING("memory-mb", memory_mb,
			     "memory of the machine, MB", "96", 16, 1048576),
		NUMBER_SETTING("descriptors", descriptors,
			       "file descriptor limit of the process", "1024",
			       64, 1048576),
		REAL_SETTING("link-mbps", link_mbps,
			     "bandwidth of the machine's link, Mbit/s", "1000",
			     1, 10000000),
		REAL_SETTING("grace-s", grace_s,
			     "time from the start of a planned stop until the "
			     "process is killed, s",
			     "8", 1, 3600),
		REAL_SETTING("retry-ratio", retry_ratio,
			     "retries per request, over all instances", "0.2",
			     0, 10),
		REAL_SETTING("retry-window-s", retry_window_s,
			     "window of the retry budget, s", "10", 1, 3600),
		REAL_SETTING("retry-slack", retry_slack,
			     "retries per window beyond the ratio", "100", 0,
			     1000000),
		REAL_SETTING("limit-overage", limit_overage,
			     "tolerance for what customers use beyond their "
			     "limits over all instances, fraction",
			     "0", 0, 1),
		REAL_SETTING(
			"lease-ms", lease_ms,
			"time limit for the weights lease to pass to another "
			"instance, ms",
			"3000", 300, 600000),
		REAL_SETTING(
			"weights-ms", weights_ms,
			"time limit for engines to load target weights, ms",
			"8000", 100, 3600000),
		REAL_SETTING(
			"stable-ms", stable_ms,
			"time after which a disturbance counts as over, ms",
			"3000", 1, 600000),
		{ .flag = "log-level",
		  .type = SETTING_CHOICE,
		  .value = &settings->log_level,
		  .text = "lowest level that is logged",
		  .fallback = "info",
		  .choices = log_levels },
		{ .flag = NULL },
	};
	const char *arguments[ARGUMENTS_MAX + 1];
	const char *path = platform_settings_path();
	int count = 1;
	int file_end;
	int result;

	arguments[0] = argv[0];
	if (path)
		count = read_settings_file(path, arguments, count);
	if (count < 0)
		return count;
	file_end = count;
	for (int i = 1; i < argc && count < ARGUMENTS_MAX; i++)
		arguments[count++] = argv[i];
	arguments[count] = NULL;
	result = settings_read(count, arguments, setting_table, "[OPTION...]",
			       NULL);
	/* The settings hold copies of the values, so the lines of the file can
	 * be freed. */
	for (int i = 1; i < file_end; i++)
		free((char *)arguments[i]);
	return result;
}
