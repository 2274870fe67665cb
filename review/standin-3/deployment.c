#include "review/standin-3/deployment.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/clock.h"

enum {
	SLOTS = 48,
	EVENTS = 4,
	EVENT_US = 5000,
	READY_WAIT_MS = 20000,
	/** Ports between gateways: from the first to the last of this many. */
	PORT_RANGE = 16,
};

void deployment_note(deployment_t *deployment, const char *format, ...)
{
	uint64_t at_ms = clock_now_ms() - deployment->started_ms;
	va_list list;

	flockfile(deployment->record);
	fprintf(deployment->record, "%3llu.%03llu ",
		(unsigned long long)(at_ms / 1000),
		(unsigned long long)(at_ms % 1000));
	va_start(list, format);
	vfprintf(deployment->record, format, list);
	va_end(list);
	fputc('\n', deployment->record);
	fflush(deployment->record);
	funlockfile(deployment->record);
}

/* Caches. */

static kv_part_t *find_part(const kv_cache_t *cache, const char *salt,
			    const char *id)
{
	for (guint i = 0; i < cache->parts->len; i++) {
		kv_part_t *part = &g_array_index(cache->parts, kv_part_t, i);

		if (!strcmp(part->salt, salt) && !strcmp(part->id, id))
			return part;
	}
	return NULL;
}

static void add_part(kv_cache_t *cache, const char *salt, const char *id,
		     uint64_t made_version)
{
	kv_part_t part = { .made_version = made_version };

	/* A part that is held stays as it was first made. */
	if (find_part(cache, salt, id))
		return;
	g_strlcpy(part.salt, salt, sizeof(part.salt));
	g_strlcpy(part.id, id, sizeof(part.id));
	g_array_append_val(cache->parts, part);
}

/* The cache at an address; NULL if there is none. */
static kv_cache_t *cache_at(deployment_t *deployment, const char *address)
{
	if (!address)
		return NULL;
	if (!strcmp(address, deployment->kv_address))
		return &deployment->kv_store;
	for (int i = 0; i < deployment->engine_count; i++) {
		if (!strcmp(address, deployment->engines[i].address))
			return &deployment->engines[i].cache;
	}
	return NULL;
}

/* Model servers. */

/* Value of a header without the whitespace around it (RFC 9110, 5.5). */
static char *header(const raw_request_t *request, const char *name)
{
	char *value = raw_header(request->head, name);

	return value ? g_strstrip(value) : NULL;
}

void deployment_put_entry(engine_t *engine)
{
	platform_store_put(
		engine->deployment->store, "servers", engine->id,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:[{s:s,s:I,s:[]}],"
			  "s:I,s:I}",
			  "service", "llm", "addr", engine->address, "zone",
			  "z1", "version", "v1", "slots", SLOTS, "state",
			  "ready", "cold_left_ms", 0, "stage", "prefill_decode",
			  "models", "name", "m", "version",
			  (json_int_t)engine->version, "adapters", "seq",
			  (json_int_t)++engine->entries, "born",
			  (json_int_t)1700000000000));
}

/* Ends a load whose time is over. */
static void settle_load(engine_t *engine)
{
	if (!engine->loading || clock_now_ms() < engine->loaded_at_ms)
		return;
	engine->version = engine->loading;
	engine->loading = 0;
	deployment_note(engine->deployment, "%s has weights %llu", engine->id,
			(unsigned long long)engine->version);
	deployment_put_entry(engine);
}

static void send_json(const raw_request_t *request, int status,
		      const char *text)
{
	raw_send(request,
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\nKeep-Alive: timeout=15\r\n\r\n%s",
		 status, strlen(text), text);
}

static raw_next_t answer_report(engine_t *engine, const raw_request_t *request)
{
	char *text = g_strdup_printf(
		"{\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\","
		"\"version\":%llu,\"adapters\":[]}],\"busy\":%s,\"seq\":%llu,"
		"\"waiting\":0,\"num_running\":0,\"kv_used\":0,"
		"\"kv_total\":98960,\"handles\":0}",
		(unsigned long long)engine->version,
		engine->loading ? "true" : "false",
		(unsigned long long)engine->orders);

	send_json(request, 200, text);
	g_free(text);
	return RAW_KEEP;
}

static raw_next_t answer_order(engine_t *engine, const raw_request_t *request)
{
	json_t *order = json_loads(request->body, 0, NULL);
	const json_t *expected = json_object_get(order, "expected");
	uint64_t version =
		(uint64_t)json_integer_value(json_object_get(order, "version"));

	if (engine->loading ||
	    (expected &&
	     (uint64_t)json_integer_value(expected) != engine->orders)) {
		send_json(request, 409, "{}");
	} else if (engine->version == version) {
		send_json(request, 200, "{}");
	} else {
		engine->orders++;
		engine->loading = version;
		engine->loaded_at_ms = clock_now_ms() + LOAD_MS;
		g_array_set_size(engine->cache.parts, 0);
		deployment_note(engine->deployment,
				"%s is ordered to load weights %llu",
				engine->id, (unsigned long long)version);
		send_json(request, 202, "{}");
	}
	json_decref(order);
	return RAW_KEEP;
}

static void reject(const raw_request_t *request, const char *id, int status,
		   const char *engine_id)
{
	raw_send(request,
		 "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		 "Instance-Id: %s\r\nContent-Length: 0\r\n"
		 "Keep-Alive: timeout=15\r\n\r\n",
		 status, id, engine_id);
}

/* Reads the prompt: each part is found in the server's own cache, fetched, or
 * prefilled, as long as all parts before it were found. Notes the run. */
static void read_prompt(engine_t *engine, const char *id, const char *salt,
			const char *prefix, const char *fetch, const char *save)
{
	deployment_t *deployment = engine->deployment;
	const kv_cache_t *source = cache_at(deployment, fetch);
	kv_cache_t *kept = cache_at(deployment, save);
	g_auto(GStrv) entries = g_strsplit(prefix ? prefix : "", ",", -1);
	GString *used = g_string_new("");
	bool found = true;
	bool stale = false;

	for (int i = 0; entries[i]; i++) {
		char *part_id = g_strstrip(entries[i]);
		const kv_part_t *part;
		uint64_t made = engine->version;
		const char *how = "prefilled";

		part_id[strcspn(part_id, ":")] = '\0';
		part = found ? find_part(&engine->cache, salt, part_id) : NULL;
		if (part)
			how = "cached";
		if (!part && found && source) {
			part = find_part(source, salt, part_id);
			how = part ? "fetched" : how;
		}
		found = part != NULL;
		if (part)
			made = part->made_version;
		stale |= made != engine->version;
		g_string_append_printf(used, " %s=%s(made_under=%llu)", part_id,
				       how, (unsigned long long)made);
		add_part(&engine->cache, salt, part_id, made);
		if (kept)
			add_part(kept, salt, part_id, made);
	}
	deployment->runs++;
	deployment->stale_runs += stale;
	deployment_note(deployment, "run %s at %s weights=%llu salt=%s%s%s", id,
			engine->id, (unsigned long long)engine->version, salt,
			used->str, stale ? " STALE" : "");
	g_string_free(used, TRUE);
}

static void send_stream(const raw_request_t *request, const char *id,
			uint64_t version, int after)
{
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s-%s\r\n"
		 "Content-Type: text/event-stream\r\nWeight-Versions: %llu\r\n"
		 "Keep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n\r\n",
		 id, id, (unsigned long long)version);
	for (int i = after + 1; i <= EVENTS; i++) {
		char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);

		g_usleep(EVENT_US);
		raw_send(request, "%zx\r\n%s\r\n", strlen(event), event);
		g_free(event);
	}
	raw_send(request, "0\r\n\r\n");
}

/* Runs a request that is no generation, as a server does that is named in
 * Expect-Instance. Takes the lock. */
static raw_next_t run_order(deployment_t *deployment, const char *service,
			    const char *server, const raw_request_t *request)
{
	g_autofree char *id = header(request, "Request-Id");
	g_autofree char *instance = header(request, "Expect-Instance");

	if (!id || (instance && strcmp(instance, server) != 0)) {
		reject(request, id ? id : "", 421, server);
		return RAW_KEEP;
	}
	pthread_mutex_lock(&deployment->lock);
	deployment->orders_run++;
	deployment->orders_misrouted += strcmp(service, "desk") != 0;
	pthread_mutex_unlock(&deployment->lock);
	deployment_note(deployment, "order %s is run by %s of service %s%s", id,
			server, service,
			strcmp(service, "desk") != 0 ? " NOT ALLOWED" : "");
	raw_send(request,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s-%s\r\n"
		 "Content-Length: 4\r\nKeep-Alive: timeout=15\r\n\r\ndone",
		 id, id);
	return RAW_KEEP;
}

static raw_next_t answer_run(engine_t *engine, const raw_request_t *request)
{
	deployment_t *deployment = engine->deployment;
	g_autofree char *id = header(request, "Request-Id");
	g_autofree char *instance = header(request, "Expect-Instance");
	g_autofree char *expected = header(request, "Expect-Version");
	g_autofree char *salt = header(request, "Cache-Salt");
	g_autofree char *prefix = header(request, "Prompt-Prefix");
	g_autofree char *fetch = header(request, "Kv-Fetch");
	g_autofree char *save = header(request, "Kv-Save");
	g_autofree char *last = header(request, "Last-Event-Id");
	uint64_t version;

	pthread_mutex_lock(&deployment->lock);
	settle_load(engine);
	version = engine->version;
	if (!id || (instance && strcmp(instance, engine->id) != 0) ||
	    (expected && strtoull(expected, NULL, 10) != version) ||
	    engine->loading) {
		bool misdirected = !engine->loading;

		pthread_mutex_unlock(&deployment->lock);
		reject(request, id ? id : "", misdirected ? 421 : 503,
		       engine->id);
		return RAW_KEEP;
	}
	read_prompt(engine, id, salt ? salt : "", prefix, fetch, save);
	pthread_mutex_unlock(&deployment->lock);
	send_stream(request, id, version, last ? atoi(last) : 0);
	return RAW_KEEP;
}

static raw_next_t answer_engine(void *context, const raw_request_t *request)
{
	engine_t *engine = context;
	deployment_t *deployment = engine->deployment;
	raw_next_t next;

	if (strstr(request->head, " /order/"))
		return run_order(deployment, "llm", engine->id, request);
	if (!strstr(request->head, " /v1/"))
		return answer_run(engine, request);
	pthread_mutex_lock(&deployment->lock);
	settle_load(engine);
	if (g_str_has_prefix(request->head, "POST /v1/order"))
		next = answer_order(engine, request);
	else
		next = answer_report(engine, request);
	pthread_mutex_unlock(&deployment->lock);
	return next;
}

bool deployment_has_weights(deployment_t *deployment, uint64_t version)
{
	bool all = true;

	pthread_mutex_lock(&deployment->lock);
	for (int i = 0; i < deployment->engine_count; i++) {
		settle_load(&deployment->engines[i]);
		all &= deployment->engines[i].version == version &&
		       !deployment->engines[i].loading;
	}
	pthread_mutex_unlock(&deployment->lock);
	return all;
}

static raw_next_t answer_desk(void *context, const raw_request_t *request)
{
	const desk_t *desk = context;

	return run_order(desk->deployment, "desk", desk->id, request);
}

static void start_desk(deployment_t *deployment, int index)
{
	desk_t *desk = &deployment->desks[index];
	g_autofree char *address = NULL;

	desk->deployment = deployment;
	g_snprintf(desk->id, sizeof(desk->id), "d-%d", index + 1);
	desk->server = raw_server_start(answer_desk, desk);
	address =
		g_strdup_printf("127.0.0.1:%u", raw_server_port(desk->server));
	platform_store_put(deployment->store, "servers", desk->id,
			   json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}",
				     "service", "desk", "addr", address, "zone",
				     "z1", "version", "v1", "slots", 6, "state",
				     "ready", "cold_left_ms", 0, "seq", 1,
				     "born", (json_int_t)1700000000000));
}

/* The store of kept KV cache is called by model servers only. */
static raw_next_t answer_kv(void *context, const raw_request_t *request)
{
	(void)context;
	send_json(request, 404, "{}");
	return RAW_KEEP;
}

/* The operator. */

static void put_config(deployment_t *deployment)
{
	platform_store_put(
		deployment->store, "config", "main",
		json_pack(
			"{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,"
			"s:b,s:i},{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}],"
			"s:[{s:s,s:s,s:i,s:s,s:b,s:{s:i,s:i,s:i,s:f}}"
			",{s:s,s:s,s:s,s:i,s:f,s:i},{s:s,s:s,s:i,s:s,s:b}],"
			"s:{s:i,s:i,s:i,s:i},s:[{s:s,s:[s]}]}",
			"version", 1, "routes", "name", "verdict", "host",
			"h.example", "path_prefix", "/verdict/", "kind",
			"stream", "timeout_ms", 5000, "target_latency_ms", 600,
			"priority", 1, "service", "llm", "max_attempts", 2,
			"anonymous", 0, "sticky", 1, "resumable", 1,
			"gap_aim_ms", 400, "name", "order", "host", "h.example",
			"path_prefix", "/order/", "kind", "non_idempotent",
			"timeout_ms", 800, "target_latency_ms", 150, "priority",
			2, "service", "desk", "max_attempts", 1, "anonymous", 0,
			"services", "name", "llm", "health_path", "/healthz",
			"max_conns", 600, "protocol", "h1", "tls", 0, "engine",
			"slots", SLOTS, "kv_capacity", 98960, "kv_token_bytes",
			163840, "link_mbps", 1100000.0, "name", "kept",
			"kv_store_addr", deployment->kv_address, "zone", "z1",
			"kv_capacity", 1638587, "link_mbps", 280000.0,
			"max_inflight", 12, "name", "desk", "health_path",
			"/healthz", "max_conns", 200, "protocol", "h1", "tls",
			0, "limits", "max_header_bytes", 16384,
			"max_body_bytes", 4194304, "header_timeout_ms", 3000,
			"idle_timeout_ms", 15000, "tenants", "name", "t1",
			"api_keys", "key-1"));
}

void deployment_name_weights(deployment_t *deployment, int version)
{
	platform_store_put(
		deployment->store, "versions", "m",
		json_pack("{s:s,s:i}", "model", "m", "version", version));
	deployment_note(deployment, "the operator names weights %d", version);
}

/* Gateways. */

static void replace(GString *text, const char *name, const char *format, ...)
{
	g_autofree char *placeholder = g_strdup_printf("{{%s}}", name);
	g_autofree char *value = NULL;
	va_list list;

	va_start(list, format);
	value = g_strdup_vprintf(format, list);
	va_end(list);
	g_string_replace(text, placeholder, value, 0);
}

/* Four zones, the last of which has two machines, as in the small sites. */
static int zone_of(int index)
{
	return index < 12 ? index % 3 : 3;
}

/* Fills in the settings template as the platform does. */
static char *write_settings(const deployment_t *deployment, int index)
{
	const char *ip = deployment->gateway_ip[index];
	g_autofree char *template = NULL;
	char *path = g_strdup_printf("%s/boot-%d", deployment->folder, index);
	GString *text;

	if (!g_file_get_contents("deploy/settings.template", &template, NULL,
				 NULL))
		return NULL;
	text = g_string_new(template);
	replace(text, "node_name", "front-z%d-%d", zone_of(index) + 1,
		index + 1);
	replace(text, "zone", "z%d", zone_of(index) + 1);
	replace(text, "listen.front", "%s:%u", ip, deployment->front_port);
	replace(text, "listen.ready", "%s:%u", ip, deployment->ready_port);
	replace(text, "ip", "%s", ip);
	replace(text, "port_range.0", "%u", deployment->first_port);
	replace(text, "port_range.1", "%u",
		deployment->first_port + PORT_RANGE - 1);
	replace(text, "platform.addr", "127.0.0.1:%u",
		platform_store_port(deployment->store));
	replace(text, "seeds", "%s", "");
	replace(text, "limits.memory_mb", "%d", MEMORY_MB);
	replace(text, "limits.max_fds", "2940");
	replace(text, "limits.link_mbps", "700.0");
	replace(text, "bounds.grace_s", "8");
	replace(text, "bounds.retry_budget_ratio", "0.2");
	replace(text, "bounds.budget_window_s", "10");
	replace(text, "bounds.retry_budget_slack", "108");
	replace(text, "bounds.quota_overage", "%s", "");
	replace(text, "bounds.lease_ms", "%d", LEASE_MS);
	replace(text, "bounds.version_ms", "%d", VERSION_MS);
	replace(text, "bounds.stable_window_ms", "3000");
	g_file_set_contents(path, text->str, -1, NULL);
	g_string_free(text, TRUE);
	return path;
}

static int connect_to(const char *ip, uint16_t port)
{
	struct timeval timeout = { .tv_sec = 8 };
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends text and reads until the peer closes; g_free() the answer. */
static char *exchange_text(const char *ip, uint16_t port, const char *text)
{
	GString *answer = g_string_new("");
	char buffer[4096];
	int fd = connect_to(ip, port);
	ssize_t len;

	if (fd >= 0 && send(fd, text, strlen(text), MSG_NOSIGNAL) >= 0) {
		while ((len = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			g_string_append_len(answer, buffer, len);
	}
	if (fd >= 0)
		close(fd);
	return g_string_free(answer, FALSE);
}

static bool is_ready(const deployment_t *deployment, int index)
{
	g_autofree char *answer = exchange_text(
		deployment->gateway_ip[index], deployment->ready_port,
		"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
		"Connection: close\r\n\r\n");

	return g_str_has_prefix(answer, "HTTP/1.1 200");
}

bool deployment_start_gateway(deployment_t *deployment, int index)
{
	g_autofree char *path = write_settings(deployment, index);

	if (!path)
		return false;
	g_setenv("AMARANTHVALE_SETTINGS", path, TRUE);
	deployment->gateways[index] =
		program_start("amaranthvale-gateway", NULL);
	return true;
}

bool deployment_start(deployment_t *deployment, const char *record_path,
		      int engines, int gateways)
{
	/* Loopback addresses that no other run uses at the same time. */
	unsigned net = (unsigned)getpid();

	memset(deployment, 0, sizeof(*deployment));
	g_setenv("BUILD", "target", TRUE);
	pthread_mutex_init(&deployment->lock, NULL);
	deployment->started_ms = clock_now_ms();
	deployment->record = g_fopen(record_path, "w");
	deployment->folder = g_dir_make_tmp("review-3-XXXXXX", NULL);
	if (!deployment->record || !deployment->folder)
		return false;
	deployment->store = platform_store_start();
	deployment->kv_store.parts =
		g_array_new(FALSE, TRUE, sizeof(kv_part_t));
	deployment->kv_server = raw_server_start(answer_kv, deployment);
	g_snprintf(deployment->kv_address, sizeof(deployment->kv_address),
		   "127.0.0.1:%u", raw_server_port(deployment->kv_server));
	put_config(deployment);
	for (int i = 0; i < engines; i++) {
		engine_t *engine = &deployment->engines[i];

		engine->deployment = deployment;
		engine->version = 1;
		engine->cache.parts =
			g_array_new(FALSE, TRUE, sizeof(kv_part_t));
		g_snprintf(engine->id, sizeof(engine->id), "i-%d", i + 1);
		engine->server = raw_server_start(answer_engine, engine);
		g_snprintf(engine->address, sizeof(engine->address),
			   "127.0.0.1:%u", raw_server_port(engine->server));
		deployment->engine_count++;
		deployment_put_entry(engine);
	}
	for (int i = 0; i < DESKS_3; i++)
		start_desk(deployment, i);
	deployment->front_port = harness_free_port();
	deployment->ready_port = harness_free_port();
	deployment->first_port = 30000 + (uint16_t)(net % 1000) * 20;
	for (int i = 0; i < gateways; i++) {
		g_snprintf(deployment->gateway_ip[i],
			   sizeof(deployment->gateway_ip[i]), "127.%u.%u.%d",
			   64 + net % 64, 1 + (net >> 6) % 250, i + 1);
		deployment->gateway_count++;
		if (!deployment_start_gateway(deployment, i))
			return false;
	}
	for (int i = 0; i < gateways; i++) {
		if (!WAIT_UNTIL(is_ready(deployment, i), READY_WAIT_MS))
			return false;
	}
	deployment_note(deployment, "%d gateways are ready, %d model servers",
			gateways, engines);
	return true;
}

void deployment_stop_gateways(deployment_t *deployment)
{
	for (int i = 0; i < deployment->gateway_count; i++) {
		char *path =
			g_strdup_printf("%s/boot-%d", deployment->folder, i);

		if (deployment->gateways[i]) {
			program_signal(deployment->gateways[i], SIGKILL);
			program_free(deployment->gateways[i]);
			deployment->gateways[i] = NULL;
		}
		g_unlink(path);
		g_free(path);
	}
	g_rmdir(deployment->folder);
}

void deployment_stop(deployment_t *deployment)
{
	deployment_stop_gateways(deployment);
	for (int i = 0; i < deployment->engine_count; i++)
		raw_server_stop(deployment->engines[i].server);
	for (int i = 0; i < DESKS_3; i++)
		raw_server_stop(deployment->desks[i].server);
	raw_server_stop(deployment->kv_server);
	platform_store_stop(deployment->store);
	fclose(deployment->record);
}

/* Consumers. */

bool deployment_request(deployment_t *deployment, int gateway,
			const char *model_line, const char *prefix)
{
	uint32_t number = ++deployment->sent;
	g_autofree char *shown = g_strescape(model_line, NULL);
	g_autofree char *request = g_strdup_printf(
		"POST /verdict/x HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: r-%u\r\n%sToken-Usage: 7100,13\r\n"
		"Prompt-Prefix: %s\r\nDeadline-Ms: 5000\r\nKey: key-1\r\n"
		"Connection: close\r\nContent-Length: 2\r\n\r\nhi",
		number, model_line, prefix);
	g_autofree char *answer = NULL;
	bool whole;

	deployment_note(deployment, "send r-%u to gateway %d: %s %s", number,
			gateway + 1, shown, prefix);
	answer = exchange_text(deployment->gateway_ip[gateway],
			       deployment->front_port, request);
	whole = g_str_has_prefix(answer, "HTTP/1.1 200") &&
		strstr(answer, "\r\nResponse-Stamp: s-") &&
		g_str_has_suffix(answer, "0\r\n\r\n");
	deployment_note(deployment, "answer to r-%u: %.12s %s", number,
			*answer ? answer : "none",
			whole ? "whole" : "not whole");
	deployment->served += whole;
	return whole;
}

bool deployment_order(deployment_t *deployment, int gateway)
{
	uint32_t number = ++deployment->sent;
	g_autofree char *request = g_strdup_printf(
		"POST /order/x HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: r-%u\r\nDeadline-Ms: 1500\r\nKey: key-1\r\n"
		"Connection: close\r\nContent-Length: 2\r\n\r\nhi",
		number);
	g_autofree char *answer = NULL;
	bool whole;

	deployment_note(deployment, "send order r-%u to gateway %d", number,
			gateway + 1);
	answer = exchange_text(deployment->gateway_ip[gateway],
			       deployment->front_port, request);
	whole = g_str_has_prefix(answer, "HTTP/1.1 200") &&
		strstr(answer, "\r\nResponse-Stamp: s-") &&
		g_str_has_suffix(answer, "\r\n\r\ndone");
	deployment_note(deployment, "answer to r-%u: %.12s %s", number,
			*answer ? answer : "none",
			whole ? "whole" : "not whole");
	deployment->served += whole;
	return whole;
}
