/*
 * What connections cost the two programs that serve callers: resident memory
 * with 0, 100 and 1,000 idle ones, wake-ups a second meanwhile, and processor
 * time of a plain request and of a stream. docs/CAPACITY.md quotes it.
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
	IDLE_WATCHED_S = 2,
};

typedef struct usage {
	long resident_kb;
	long wakeups;
	double cpu_ms;
} usage_t;

static long field_of(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at ? strtol(at + strlen(name), NULL, 10) : -1;
}

/* Wake-ups and processor time are of all threads. */
static usage_t usage_of(const program_t *program)
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
	usage.resident_kb = field_of(status, "VmRSS:");
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
				field_of(text, "\nvoluntary_ctxt_switches:");
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
		before = usage_of(program);
		g_usleep(IDLE_WATCHED_S * G_USEC_PER_SEC);
		after = usage_of(program);
		printf("%s: %4d idle connections: %ld KiB resident, %.1f "
		       "wake-ups/s\n",
		       name, steps[i], after.resident_kb,
		       (double)(after.wakeups - before.wakeups) /
			       IDLE_WATCHED_S);
	}
	while (open)
		close(fds[--open]);
}

typedef void ask_fn(const void *world);

static void measure_requests(const char *name, const char *what,
			     const program_t *program, ask_fn *ask,
			     const void *world)
{
	usage_t before = usage_of(program);
	usage_t after;

	for (int i = 0; i < REQUESTS; i++)
		ask(world);
	after = usage_of(program);
	printf("%s: %s: %.3f ms of processor time, %.1f wake-ups each\n", name,
	       what, (after.cpu_ms - before.cpu_ms) / REQUESTS,
	       (double)(after.wakeups - before.wakeups) / REQUESTS);
}

static void ask_gateway_plain(const void *world)
{
	g_free(platform_rig_request(world, 0, "GET", "/get/1", ""));
}

static void ask_gateway_stream(const void *world)
{
	g_free(platform_rig_request(world, 0, "POST", "/stream/once/1", MODEL));
}

static void measure_gateway(void)
{
	platform_rig_t world;

	platform_rig_start(&world, 1);
	measure_idle("gateway", world.gateways[0], world.ports[0]);
	measure_requests("gateway", "plain request", world.gateways[0],
			 ask_gateway_plain, &world);
	measure_requests("gateway", "stream of 4 events", world.gateways[0],
			 ask_gateway_stream, &world);
	platform_rig_stop(&world);
}

static void ask_router_models(const void *world)
{
	const rig_t *rig = world;
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
			 ask_router_models, rig);
}

int main(void)
{
	measure_gateway();
	measure_router();
	return 0;
}
