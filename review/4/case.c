/*
 * A request that crashes each server that begins to run it comes again and
 * again. All gateways are killed at the same time. What the gateways had found
 * out about the request must still hold.
 */
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/standin/rig.h"

enum {
	GATEWAYS = 3,
	SERVERS = 4,
	/* A server that crashed is back after this time. */
	RESTART_MS = 1500,
	/* `stable_window_ms`; a gateway is in touch this long after a start. */
	STABLE_MS = 3000,
	/* The request comes again at this interval. */
	INTERVAL_MS = 500,
	/* Time of the kill, after which the gateways start again. */
	KILL_MS = 16000,
	END_MS = 36000,
	RETRIES_ALLOWED = 3,
};

typedef struct server {
	rig_t *rig;
	raw_server_t *listener;
	int number;
	_Atomic uint64_t down_until_ms;
	_Atomic int lifetime;
} server_t;

static server_t servers[SERVERS];
static uint64_t begin_ms;
static _Atomic uint64_t gateways_started_ms;
static _Atomic int crashes;
static _Atomic uint64_t third_crash_ms;
/* Retries that reached servers; a retry has an id of its own. */
static _Atomic int late_retries;
static char last_late_id[32];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static _Atomic int ordinary_runs;

static void put_entry(server_t *server)
{
	char address[32];
	char id[32];

	snprintf(id, sizeof(id), "i-%d-%d", server->number, server->lifetime);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
		 raw_server_port(server->listener));
	platform_store_put(server->rig->store, "servers", id,
			   json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:[]}",
				     "service", "desk", "addr", address, "zone",
				     "zone-a", "slots", 6, "state", "ready",
				     "seq", 1, "born",
				     (json_int_t)1000 + server->number +
					     100 * server->lifetime,
				     "models"));
}

static void remove_entry(server_t *server)
{
	char id[32];

	snprintf(id, sizeof(id), "i-%d-%d", server->number, server->lifetime);
	platform_store_remove(server->rig->store, "servers", id);
}

static void crash(server_t *server, const char *id)
{
	uint64_t now_ms = rig_now_ms();
	int count = ++crashes;

	if (count == 3)
		third_crash_ms = now_ms;
	/* Only what comes later than `stable_window_ms` after the third crash,
	 * from gateways that have run for as long, counts. */
	pthread_mutex_lock(&lock);
	if (count > 3 && now_ms > third_crash_ms + STABLE_MS &&
	    now_ms > gateways_started_ms + STABLE_MS &&
	    strcmp(last_late_id, id) != 0) {
		late_retries++;
		snprintf(last_late_id, sizeof(last_late_id), "%s", id);
	}
	pthread_mutex_unlock(&lock);
	rig_record(server->rig,
		   "server %d begins to run %s and crashes: crash %d, %d late retries",
		   server->number, id, count, late_retries);
	server->down_until_ms = now_ms + RESTART_MS;
}

static raw_next_t answer_request(void *context, const raw_request_t *request)
{
	server_t *server = context;
	char *id = raw_header(request->head, "Request-Id");
	raw_next_t next = RAW_KEEP;

	if (server->down_until_ms) {
		next = RAW_RESET;
	} else if (strstr(request->head, "/lookup/deadly")) {
		crash(server, id ? id : "-");
		next = RAW_RESET;
	} else {
		ordinary_runs++;
		raw_send(request,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			 "Response-Stamp: s%d\r\nContent-Length: 2\r\n"
			 "Keep-Alive: timeout=30\r\n\r\nok",
			 id, server->number);
	}
	free(id);
	return next;
}

/* Servers that crashed start again, as new lifetimes. */
static void *restart_servers(void *context)
{
	(void)context;
	for (;;) {
		usleep(50000);
		for (int i = 0; i < SERVERS; i++) {
			server_t *server = &servers[i];

			if (!server->down_until_ms ||
			    rig_now_ms() < server->down_until_ms)
				continue;
			remove_entry(server);
			server->lifetime++;
			server->down_until_ms = 0;
			put_entry(server);
		}
	}
	return NULL;
}

static void put_state(rig_t *rig)
{
	platform_store_put(
		rig->store, "config", "main",
		json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}],"
			  "s:[{s:s,s:s,s:i}],s:{s:i,s:i,s:i,s:i},"
			  "s:[{s:s,s:[s]}]}",
			  "version", 1, "routes", "name", "lookup", "host",
			  "h.example", "path_prefix", "/lookup/", "kind",
			  "idempotent", "timeout_ms", 800, "target_latency_ms",
			  150, "priority", 1, "service", "desk",
			  "max_attempts", 2, "anonymous", 0, "services", "name",
			  "desk", "health_path", "/healthz", "max_conns", 200,
			  "limits", "max_header_bytes", 16384, "max_body_bytes",
			  4194304, "header_timeout_ms", 3000, "idle_timeout_ms",
			  15000, "tenants", "name", "tenant-1", "api_keys",
			  "key-1"));
	platform_store_put(rig->store, "versions", "m",
			   json_pack("{s:s,s:i}", "model", "m", "version", 1));
	for (int i = 0; i < SERVERS; i++) {
		servers[i].rig = rig;
		servers[i].number = i;
		servers[i].listener =
			raw_server_start(answer_request, &servers[i]);
		put_entry(&servers[i]);
	}
}

static void send_lookup(rig_t *rig, int gateway, const char *what, int number)
{
	char request[256];
	char *answer;
	int status = 0;

	snprintf(request, sizeof(request),
		 "GET /lookup/%s HTTP/1.1\r\nHost: h.example\r\n"
		 "Request-Id: r%015d\r\nDeadline-Ms: 800\r\n"
		 "Key: key-1\r\nConnection: close\r\n\r\n",
		 what, number);
	rig_call(rig, gateway, request, &answer);
	sscanf(answer, "HTTP/1.1 %d", &status);
	rig_record(rig, "client: r%015d, %s at front-%d: %d", number, what,
		   gateway, status);
	free(answer);
}

static void start_all(rig_t *rig)
{
	for (int i = 0; i < GATEWAYS; i++)
		rig_start_gateway(rig, i);
	gateways_started_ms = rig_now_ms();
}

static void kill_all(rig_t *rig)
{
	for (int i = 0; i < GATEWAYS; i++)
		kill(rig->gateways[i], SIGKILL);
	for (int i = 0; i < GATEWAYS; i++)
		waitpid(rig->gateways[i], NULL, 0);
	rig_record(rig, "all gateways were killed");
	start_all(rig);
}

int main(int argc, char **argv)
{
	rig_t rig;
	pthread_t thread;
	bool killed = false;
	int number = 0;

	rig_open(&rig, argc > 1 ? argv[1] : "review/4");
	put_state(&rig);
	pthread_create(&thread, NULL, restart_servers, NULL);
	start_all(&rig);
	begin_ms = rig_now_ms();
	/* Until all gateways are in touch. */
	usleep((STABLE_MS + 200) * 1000);
	while (rig_now_ms() < begin_ms + END_MS) {
		uint64_t at_ms = rig_now_ms() - begin_ms;

		if (rig_trouble() && !killed && at_ms > KILL_MS) {
			killed = true;
			kill_all(&rig);
			usleep((STABLE_MS + 200) * 1000);
		}
		send_lookup(&rig, number % GATEWAYS, "deadly", number);
		number++;
		send_lookup(&rig, number % GATEWAYS, "fine", number);
		number++;
		usleep(INTERVAL_MS * 1000);
	}
	rig_record(&rig,
		   "%d crashes; %d retries reached servers later than %d ms after "
		   "the third, from gateways in touch; allowed: %d; %d ordinary runs",
		   crashes, late_retries, STABLE_MS, RETRIES_ALLOWED,
		   ordinary_runs);
	printf("%d crashes, %d late retries, allowed %d\n", crashes,
	       late_retries, RETRIES_ALLOWED);
	if (crashes < 3 || !ordinary_runs)
		rig_cannot(&rig, "the request did not crash three servers");
	rig_close(&rig);
	return late_retries > RETRIES_ALLOWED ? 1 : 0;
}
