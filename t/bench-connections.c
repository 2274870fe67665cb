/*
 * Cost of client connections in the gateway and the router: resident memory and
 * wake-ups per second with 0, 100 and 1,000 idle connections, and CPU time of a
 * plain request and of a stream. docs/CAPACITY.md quotes the results.
 */
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib/platform_rig.h"
#include "t/lib/rig.h"

enum {
	IDLE_MAX = 1000,
	REQUESTS = 1000,
	IDLE_MEASURED_S = 2,
};

typedef struct usage {
	long resident_kb;
	long wakeups;
	double cpu_ms;
} usage_t;

static long read_field(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at ? strtol(at + strlen(name), NULL, 10) : -1;
}

/* Wake-ups and CPU time are sums over all threads. */
static usage_t read_usage(const program_t *program)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d", program_pid(program));
	g_autofree char *tasks = g_strdup_printf("%s/task", path);
	g_autofree char *status_path = g_strdup_printf("%s/status", path);
	g_autofree char *stat_path = g_strdup_printf("%s/stat", path);
	g_autofree char *status = NULL;
	g_autofree char *stat = NULL;
	GDir *dir = g_dir_open(tasks, 0, NULL);
	unsigned long user = 0;
	unsigned long system = 0;
	usage_t usage = { 0 };
	const char *task;

	g_file_get_contents(status_path, &status, NULL, NULL);
	g_file_get_contents(stat_path, &stat, NULL, NULL);
	usage.resident_kb = read_field(status, "VmRSS:");
	sscanf(strrchr(stat, ')') + 2,
	       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
	       &system);
	usage.cpu_ms =
		(double)(user + system) * 1000 / (double)sysconf(_SC_CLK_TCK);
	while (dir && (task = g_dir_read_name(dir))) {
		g_autofree char *one =
			g_strdup_printf("%s/%s/status", tasks, task);
		g_autofree char *text = NULL;

		if (g_file_get_contents(one, &text, NULL, NULL))
			usage.wakeups +=
				read_field(text, "\nvoluntary_ctxt_switches:");
	}
	if (dir)
		g_dir_close(dir);
	return usage;
}

static int connect_idle(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void measure_idle(const char *name, const program_t *program,
			 uint16_t port)
{
	static const int steps[] = { 0, 100, IDLE_MAX };
	int fds[IDLE_MAX];
	int open = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		usage_t before;
		usage_t after;

		while (open < steps[i])
			fds[open++] = connect_idle(port);
		g_usleep(G_USEC_PER_SEC / 2);
		before = read_usage(program);
		g_usleep(IDLE_MEASURED_S * G_USEC_PER_SEC);
		after = read_usage(program);
		printf("%s: %4d idle connections: %ld KiB resident, %.1f "
		       "wake-ups/s\n",
		       name, steps[i], after.resident_kb,
		       (double)(after.wakeups - before.wakeups) /
			       IDLE_MEASURED_S);
	}
	while (open)
		close(fds[--open]);
}

typedef void send_request_fn(const void *context);

static void measure_requests(const char *name, const char *what,
			     const program_t *program,
			     send_request_fn *send_request, const void *context)
{
	usage_t before = read_usage(program);
	usage_t after;

	for (int i = 0; i < REQUESTS; i++)
		send_request(context);
	after = read_usage(program);
	printf("%s: %s: %.3f ms of CPU time, %.1f wake-ups each\n", name, what,
	       (after.cpu_ms - before.cpu_ms) / REQUESTS,
	       (double)(after.wakeups - before.wakeups) / REQUESTS);
}

static void request_gateway_plain(const void *context)
{
	g_free(platform_rig_request(context, 0, "GET", "/get/1", ""));
}

static void request_gateway_stream(const void *context)
{
	g_free(platform_rig_request(context, 0, "POST", "/stream/once/1",
				    MODEL_HEADERS));
}

static void measure_gateway(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, 1);
	measure_idle("gateway", rig.gateways[0], rig.ports[0]);
	measure_requests("gateway", "plain request", rig.gateways[0],
			 request_gateway_plain, &rig);
	measure_requests("gateway", "stream of 4 events", rig.gateways[0],
			 request_gateway_stream, &rig);
	platform_rig_stop(&rig);
}

static void request_router_models(const void *context)
{
	const rig_t *rig = context;
	const char *const headers[] = { RIG_KEY_1, NULL };

	http_answer_free(
		http_local("GET", rig->ports[0], "/v1/models", headers, NULL));
}

static void measure_router(void)
{
	rig_options_t options = { .engines = 1, .routers = 1 };
	g_autoptr(rig_t) rig = rig_start(&options);

	measure_idle("router", rig->routers[0], rig->ports[0]);
	measure_requests("router", "list of models", rig->routers[0],
			 request_router_models, rig);
}

int main(void)
{
	measure_gateway();
	measure_router();
	return 0;
}
