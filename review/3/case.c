/*
 * The operator takes a key away and adds a tenant with a long name. The new
 * desired state must be in force `config_apply_ms` after the store has it.
 */
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/standin/rig.h"

enum {
	GATEWAYS = 3,
	SERVERS = 2,
	/* `stable_window_ms` and `config_apply_ms`. */
	STABLE_MS = 3000,
	APPLY_MS = 2000,
	/* Requests go on for this long after the change. */
	AFTER_MS = 15000,
	INTERVAL_MS = 250,
};

/* 75 characters; the pages set no limit. */
#define LONG_NAME                                     \
	"asociatia-de-proprietari-bloc-14-scara-b-" \
	"strada-anastasie-panu-iasi-centru1"
#define SHORT_NAME "asociatia-bloc-14-scara-b"

typedef struct server {
	rig_t *rig;
	int number;
	_Atomic uint32_t runs;
} server_t;

static raw_next_t answer_request(void *context, const raw_request_t *request)
{
	server_t *server = context;
	char *id = raw_header(request->head, "Request-Id");
	char *tenant = raw_header(request->head, "Tenant");

	server->runs++;
	rig_record(server->rig, "server %d runs %s for the tenant %s",
		   server->number, id, tenant ? tenant : "-");
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		 "Response-Stamp: s%d.%u\r\nContent-Length: 2\r\n"
		 "Keep-Alive: timeout=30\r\n\r\nok",
		 id, server->number, server->runs);
	free(tenant);
	free(id);
	return RAW_KEEP;
}

static void put_desired(rig_t *rig, int version, json_t *tenants)
{
	platform_store_put(
		rig->store, "config", "main",
		json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}],"
			  "s:[{s:s,s:s,s:i}],s:{s:i,s:i,s:i,s:i},s:o}",
			  "version", version, "routes", "name", "lookup",
			  "host", "h.example", "path_prefix", "/lookup/",
			  "kind", "idempotent", "timeout_ms", 800,
			  "target_latency_ms", 150, "priority", 1, "service",
			  "desk", "max_attempts", 2, "anonymous", 0, "services",
			  "name", "desk", "health_path", "/healthz",
			  "max_conns", 200, "limits", "max_header_bytes", 16384,
			  "max_body_bytes", 4194304, "header_timeout_ms", 3000,
			  "idle_timeout_ms", 15000, "tenants", tenants));
}

static void put_state(rig_t *rig)
{
	static server_t servers[SERVERS];

	put_desired(rig, 1,
		    json_pack("[{s:s,s:[s]},{s:s,s:[s]}]", "name", "tenant-1",
			      "api_keys", "key-1", "name", "tenant-2",
			      "api_keys", "key-2"));
	platform_store_put(rig->store, "versions", "m",
			   json_pack("{s:s,s:i}", "model", "m", "version", 1));
	for (int i = 0; i < SERVERS; i++) {
		raw_server_t *listener;
		char address[32];
		char id[16];

		servers[i].rig = rig;
		servers[i].number = i;
		listener = raw_server_start(answer_request, &servers[i]);
		snprintf(id, sizeof(id), "i-%d", i);
		snprintf(address, sizeof(address), "127.0.0.1:%u",
			 raw_server_port(listener));
		platform_store_put(
			rig->store, "servers", id,
			json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:[]}",
				  "service", "desk", "addr", address, "zone",
				  "zone-a", "slots", 6, "state", "ready", "seq",
				  1, "born", (json_int_t)1000 + i, "models"));
	}
}

static int send_lookup(rig_t *rig, int gateway, const char *key, int number)
{
	char request[256];
	char *answer;
	int status = 0;

	snprintf(request, sizeof(request),
		 "GET /lookup/%d HTTP/1.1\r\nHost: h.example\r\n"
		 "Request-Id: r%015d\r\nDeadline-Ms: 800\r\n"
		 "Key: %s\r\nConnection: close\r\n\r\n",
		 number, number, key);
	rig_call(rig, gateway, request, &answer);
	sscanf(answer, "HTTP/1.1 %d", &status);
	rig_record(rig, "client: r%015d with %s at front-%d: %d", number, key,
		   gateway, status);
	free(answer);
	return status;
}

int main(int argc, char **argv)
{
	rig_t rig;
	uint64_t changed_ms;
	int number = 0;
	int served = 0;
	int old_key = 0;
	int new_key = 0;

	rig_open(&rig, argc > 1 ? argv[1] : "review/3");
	put_state(&rig);
	for (int i = 0; i < GATEWAYS; i++)
		rig_start_gateway(&rig, i);
	usleep((STABLE_MS + 200) * 1000);
	for (int i = 0; i < GATEWAYS; i++) {
		served += send_lookup(&rig, i, "key-1", number++) == 200;
		served += send_lookup(&rig, i, "key-2", number++) == 200;
	}
	if (served != 2 * GATEWAYS)
		rig_cannot(&rig, "the first desired state is not served");
	put_desired(&rig, 4,
		    json_pack("[{s:s,s:[s]},{s:s,s:[]},{s:s,s:[s]}]", "name",
			      "tenant-1", "api_keys", "key-1", "name",
			      "tenant-2", "api_keys", "name",
			      rig_trouble() ? LONG_NAME : SHORT_NAME,
			      "api_keys", "key-3"));
	changed_ms = rig_now_ms();
	rig_record(&rig, "the store has version 4: without key-2, with key-3");
	while (rig_now_ms() < changed_ms + AFTER_MS) {
		int gateway = number % GATEWAYS;
		/* Only requests sent later than the bound count. */
		bool counts = rig_now_ms() > changed_ms + APPLY_MS + 100;
		int key_2 = send_lookup(&rig, gateway, "key-2", number++);
		int key_3 = send_lookup(&rig, gateway, "key-3", number++);

		old_key += counts && key_2 == 200;
		new_key += counts && key_3 == 401;
		usleep(INTERVAL_MS * 1000);
	}
	rig_record(&rig,
		   "later than %d ms after the confirmation: %d requests run "
		   "with the key that was taken away, %d refused with 401 though "
		   "their key is there",
		   APPLY_MS, old_key, new_key);
	printf("%d run with the key that was taken away, %d refused with the "
	       "new key\n", old_key, new_key);
	rig_close(&rig);
	return old_key || new_key ? 1 : 0;
}
