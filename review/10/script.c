/* Another writer's entries in the list of servers are large. The platform ends
 * a process whose memory exceeds `memory_mb`, and starts it again. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standin-2/rig.h"

enum {
	GATEWAYS = 3,
	SERVERS = 3,
	MEMORY_KB = 96 * 1024,
	VALUE_BYTES = 1048576,
	FOREIGN = 4, /**< Entries of the other writer. */
	GAP_MS = 1500,
	RESTART_MS = 1000,
	WATCH_MS = 20,
	RUN_MS = 20000,
	TIME_LIMIT_MS = 1500,
	/** "end by themselves three times in the day", on two machines at
	 * least. */
	ENDS = 3,
	MACHINES = 2,
};

static const char *const zones[GATEWAYS] = { "iasi-a", "iasi-b", "bacau" };
static rig_server_t servers[SERVERS];
static _Atomic int ends[GATEWAYS];
static _Atomic int served, unserved;
static _Atomic bool stop;

/* Memory of its own that a process has now, without the files that it maps, in
 * kB; -1 if it has ended. */
static long memory_kb(pid_t pid)
{
	char path[64];
	char line[128];
	long kb = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (!strncmp(line, "RssAnon:", 8))
			kb = atol(line + 8);
	}
	if (file)
		fclose(file);
	return kb;
}

/* The platform: it ends a process with too much memory. */
static void *platform_main(void *context)
{
	int gateway = (int)(intptr_t)context;
	long most = 0;

	while (!stop) {
		long kb = memory_kb(rig_gateway_pid(gateway));

		most = kb > most ? kb : most;
		if (kb > MEMORY_KB) {
			rig_record("gateway %d: has %ld kB of its own, over "
				   "the limit of %d kB",
				   gateway, kb, MEMORY_KB);
			rig_gateway_kill(gateway);
			ends[gateway]++;
			rig_sleep_ms(RESTART_MS);
			rig_gateway_start(gateway, zones[gateway]);
		}
		rig_sleep_ms(WATCH_MS);
	}
	rig_record("gateway %d: most memory of its own %ld kB", gateway, most);
	return NULL;
}

/* A client tries another gateway each time. */
static void *client_main(void *context)
{
	int client = (int)(intptr_t)context;

	for (unsigned number = 0; !stop; number++) {
		char request[256];
		rig_answer_t answer;

		snprintf(request, sizeof(request),
			 "POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
			 "Request-Id: c%d-%u\r\nKey: key-1\r\n"
			 "Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nwork",
			 client, number, TIME_LIMIT_MS);
		answer = rig_call((int)(number + (unsigned)client) % GATEWAYS,
				  request, TIME_LIMIT_MS);
		if (answer.status == 200 && answer.whole)
			served++;
		else
			unserved++;
		rig_answer_free(&answer);
		rig_sleep_ms(50);
	}
	return NULL;
}

/* An entry whose `service` is of another type: a list of objects, long in the
 * one run, short in the other. */
static json_t *foreign_entry(void)
{
	/* {"a":1}, and a comma */
	size_t count = rig_trouble() ? (VALUE_BYTES - 1000) / 8 : 3;
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, json_pack("{s:i}", "a", (int)i % 10));
	return json_pack("{s:o,s:s}", "service", list, "zone", "iasi-a");
}

int main(int argc, char **argv)
{
	json_t *routes = json_array();
	pthread_t platform[GATEWAYS];
	pthread_t clients[GATEWAYS];
	int machines = 0;

	if (argc != 3)
		return RIG_CANNOT_RUN;
	rig_begin(argv[1], argv[2]);
	rig_store_start();
	json_array_append_new(routes, rig_route("order", "non_idempotent",
						"desk", 800, 1, false));
	rig_put_desired(1, routes);
	rig_store_put("versions", "m",
		      json_pack("{s:s,s:i}", "model", "m", "version", 1));
	for (int i = 0; i < SERVERS; i++) {
		servers[i] = (rig_server_t){ .service = "desk",
					     .zone = zones[i],
					     .work_ms = 30 };
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i);
		rig_server_start(&servers[i]);
	}
	for (int i = 0; i < GATEWAYS; i++)
		rig_gateway_start(i, zones[i]);
	for (int i = 0; i < GATEWAYS; i++)
		rig_wait_ready(i);
	for (int i = 0; i < GATEWAYS; i++) {
		pthread_create(&platform[i], NULL, platform_main,
			       (void *)(intptr_t)i);
		pthread_create(&clients[i], NULL, client_main,
			       (void *)(intptr_t)i);
	}
	rig_sleep_ms(3500);
	for (int i = 0; i < FOREIGN; i++) {
		char name[32];

		snprintf(name, sizeof(name), "other-%d", i);
		rig_store_put("servers", name, foreign_entry());
		rig_record("another writer: entry %s confirmed", name);
		rig_sleep_ms(GAP_MS);
	}
	rig_sleep_ms(RUN_MS);
	stop = true;
	for (int i = 0; i < GATEWAYS; i++) {
		pthread_join(platform[i], NULL);
		pthread_join(clients[i], NULL);
		machines += ends[i] >= ENDS;
	}
	rig_record("ends for too much memory: %d, %d and %d; orders served: %d, "
		   "not served: %d",
		   ends[0], ends[1], ends[2], served, unserved);
	if (served < 30)
		rig_fail("too few requests were served");
	rig_end(machines >= MACHINES ? RIG_RULE_BROKEN : RIG_RULE_HELD);
}
