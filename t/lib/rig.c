#include "t/lib/rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/hash.h"
#include "t/lib/generate.h"

enum {
	ARGS_MAX = 24,
	NUMBER_BYTES = 8,
};

static void add_args(GPtrArray *args, const char *const *extra)
{
	for (; *extra; extra++)
		g_ptr_array_add(args, (void *)*extra);
}

static program_t *start_engine(const rig_t *rig, uint16_t port)
{
	g_autoptr(GPtrArray) args = g_ptr_array_new();
	char number[NUMBER_BYTES];

	g_snprintf(number, sizeof(number), "%u", port);
	g_ptr_array_add(args, (void *)"--port");
	g_ptr_array_add(args, number);
	if (rig->options.engines_check_fencing)
		g_ptr_array_add(args, (void *)"--check-fencing");
	if (rig->weights) {
		g_ptr_array_add(args, (void *)"--weights-url");
		g_ptr_array_add(args, rig->weights_url);
	}
	add_args(args, rig->options.engine_args);
	g_ptr_array_add(args, NULL);
	return program_start_args("standin-engine",
				  (const char *const *)args->pdata);
}

static void add_customer(GString *out, const char *id, const char *key,
			 const char *pools)
{
	char digest[HASH_DIGEST_HEX_BYTES];

	hash_digest_hex(key, strlen(key), digest);
	g_string_append_printf(
		out,
		"\"customer/%s\":{\"key_sha256\":\"%s\",\"salt\":\"salt-%s\","
		"\"urgency\":\"u\",\"pools\":[%s]},",
		id, digest, id, pools);
}

static void add_endpoint(GString *out, const char *name, int number,
			 const char *fields, uint16_t port)
{
	g_string_append_printf(
		out,
		"\"endpoint/%s%d\":{\"address\":\"127.0.0.1\",\"port\":%u,"
		"\"domain\":\"d1\",%s},",
		name, number, port, fields);
}

/**
 * Starts a fault proxy in front of a port if the rig has proxies.
 * @return port for clients to connect to
 */
static uint16_t add_proxy(const rig_t *rig, rig_proxy_t *proxy, uint16_t port)
{
	char number[NUMBER_BYTES];

	if (!rig->options.proxies)
		return port;
	g_snprintf(number, sizeof(number), "%u", port);
	proxy->program =
		program_start("fault-proxy", "--target-port", number, NULL);
	proxy->port = program_port(proxy->program, "port");
	proxy->control = program_port(proxy->program, "control");
	return proxy->port;
}

static char *format_objects(rig_t *rig)
{
	GString *out = g_string_new("{");
	const char *plain = rig->options.plain_services_check_fencing
				    ? "\"kind\":\"plain\",\"pool\":\"crews\","
				      "\"checks_fencing\":true"
				    : "\"kind\":\"plain\",\"pool\":\"crews\"";
	const char *engine = rig->options.engines_check_fencing
				     ? "\"kind\":\"engine\",\"pool\":"
				       "\"models\",\"checks_fencing\":true"
				     : "\"kind\":\"engine\",\"pool\":"
				       "\"models\"";

	add_customer(out, "c1", "key-of-customer-1", "\"models\",\"crews\"");
	add_customer(out, "c2", "key-of-customer-2", "\"models\",\"others\"");
	for (int i = 0; i < rig->options.engines; i++)
		add_endpoint(out, "e", i, engine,
			     add_proxy(rig, &rig->engine_proxies[i],
				       rig->engine_ports[i]));
	for (int i = 0; i < rig->options.plain_services; i++)
		add_endpoint(out, "p", i, plain,
			     add_proxy(rig, &rig->plain_proxies[i],
				       rig->plain_ports[i]));
	if (rig->options.objects)
		g_string_append(out, rig->options.objects);
	g_string_append_printf(
		out, "\"pool/models\":%s,",
		rig->options.models_pool
			? rig->options.models_pool
			: "{\"model\":\"m1\",\"weights_version\":\"1\"}");
	g_string_append_printf(
		out,
		"\"pool/others\":{\"model\":\"m2\"},\"pool/crews\":{},"
		"\"urgency/u\":{\"time_zone\":\"UTC\",\"rules\":["
		"{\"kind\":\"verdict\",\"class\":\"urgent\"},"
		"{\"kind\":\"summary\",\"class\":\"deferrable\"}]},"
		"\"model/m1\":{\"block_tokens\":100},\"model/m2\":{},"
		"\"route/dispatch\":{\"pool\":\"crews\","
		"\"idempotent_methods\":[\"GET\"],\"timeout_ms\":%d}}",
		rig->options.dispatch_timeout_ms
			? rig->options.dispatch_timeout_ms
			: 3000);
	return g_string_free(out, FALSE);
}

static void write_bootstrap(rig_t *rig)
{
	int fd = g_file_open_tmp("bootstrap-XXXXXX", &rig->bootstrap, NULL);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	rig->objects = format_objects(rig);
	g_assert_true(
		g_file_set_contents(rig->bootstrap, rig->objects, -1, NULL));
}

/** Peer addresses of all other routers that have a peer port. */
static char *format_other_peers(const rig_t *rig, int router)
{
	GString *out = g_string_new(NULL);

	for (int i = 0; i < rig->options.routers; i++) {
		if (i != router && rig->peer_ports[i])
			g_string_append_printf(out, "%s127.0.0.1:%u",
					       out->len ? "," : "",
					       rig->peer_ports[i]);
	}
	return g_string_free(out, FALSE);
}

static void start_router(rig_t *rig, int router)
{
	g_autoptr(GPtrArray) args = g_ptr_array_new();
	uint16_t store_port =
		rig->store_proxy ? program_main_port(rig->store_proxy)
				 : add_proxy(rig, &rig->store_proxies[router],
					     rig->store_port);
	int domains = rig->options.domains;
	g_autofree char *store =
		g_strdup_printf("http://127.0.0.1:%u", store_port);
	g_autofree char *name = g_strdup_printf("r%d", router);
	g_autofree char *domain =
		g_strdup_printf("d%d", domains ? router % domains : 0);
	g_autofree char *port = g_strdup_printf("%u", rig->peer_ports[router]);
	g_autofree char *peers = format_other_peers(rig, router);
	const char *const standalone_args[] = { "--bootstrap", rig->bootstrap,
						NULL };
	const char *const domain_args[] = {
		"--domain", domain,	      "--peer-port", port, "--peers",
		peers,	    "--instances-ms", "500",	     NULL
	};
	const char *const common_args[] = {
		"--port",
		"0",
		"--seed",
		"1",
		"--instance",
		name,
		"--store-url",
		store,
		"--poll-ms",
		"50",
		"--poll-idle-ms",
		"100",
		"--log-level",
		"warn",
		NULL,
	};

	add_args(args, common_args);
	add_args(args, domains ? domain_args : standalone_args);
	add_args(args, rig->options.router_args);
	g_ptr_array_add(args, NULL);
	if (rig->options.own_clocks && !rig->clocks[router])
		rig->clocks[router] = clock_shift_new();
	if (rig->clocks[router])
		clock_shift_use(rig->clocks[router]);
	rig->routers[router] = program_start_args(
		rig->clocks[router] ? "shifted-router" : "amaranthvale-router",
		(const char *const *)args->pdata);
	rig->ports[router] = program_main_port(rig->routers[router]);
	rig->peer_ports[router] =
		program_port(rig->routers[router], "peer-port");
}

bool rig_is_ready(rig_t *rig, int router)
{
	g_autofree char *url = g_strdup_printf(
		"http%s://127.0.0.1:%u/readyz",
		rig->options.routers_tls ? "s" : "", rig->ports[router]);

	return url_answers(url);
}

void rig_start_router(rig_t *rig, int router)
{
	start_router(rig, router);
	g_assert_true(WAIT_UNTIL(rig_is_ready(rig, router), HARNESS_WAIT_MS));
}

void rig_restart_router(rig_t *rig, int router)
{
	program_free(rig->routers[router]);
	start_router(rig, router);
}

void rig_set_store_down(rig_t *rig, bool down)
{
	standin_control(rig->store_control,
			down ? "{\"refuse\":true,\"cut\":true}"
			     : "{\"refuse\":false}");
}

http_answer_t *rig_admin(rig_t *rig, int router, const char *path,
			 const char *body)
{
	static const char *const headers[] = { RIG_OPERATOR, NULL };
	g_autofree char *full = g_strdup_printf("/admin/%s", path);

	return http_local(body ? "POST" : "GET", rig->ports[router], full,
			  headers, body);
}

http_answer_t *rig_apply_ticket(rig_t *rig, int router, int number,
				const char *objects)
{
	g_autofree char *body = g_strdup_printf(
		"{\"ticket\":%d,\"author\":\"rig\",\"objects\":%s}", number,
		objects);

	return rig_admin(rig, router, "tickets", body);
}

static bool apply_initial_config(rig_t *rig, const char *objects)
{
	g_autoptr(http_answer_t) answer = rig_apply_ticket(rig, 0, 1, objects);

	return answer->status == 200;
}

/** Sets the store's instance list to the routers, without endpoints. */
static void publish_instances(rig_t *rig)
{
	GString *list = g_string_new("{\"instances\":[");

	for (int i = 0; i < rig->options.routers; i++)
		g_string_append_printf(list,
				       "%s{\"id\":\"r%d\",\"kind\":\"router\","
				       "\"address\":\"127.0.0.1\",\"port\":%u,"
				       "\"domain\":\"d%d\",\"state\":\"live\"}",
				       i ? "," : "", i, rig->peer_ports[i],
				       i % rig->options.domains);
	g_string_append(list, "]}");
	standin_control(rig->store_port, list->str);
	g_string_free(list, TRUE);
}

static void start_store_proxy(rig_t *rig)
{
	g_autofree char *target = g_strdup_printf("%u", rig->store_port);

	rig->store_proxy =
		standin_start("fault-proxy", "--target-port", target, NULL);
	rig->store_control = program_port(rig->store_proxy, "control");
}

static bool sees_all_members(rig_t *rig, int router)
{
	return !rig->options.domains ||
	       rig_metric(rig, router, "amv_members_live") ==
		       rig->options.routers;
}

static void wait_until_ready(rig_t *rig)
{
	if (rig->options.domains) {
		publish_instances(rig);
		g_assert_true(
			WAIT_UNTIL(apply_initial_config(rig, rig->objects),
				   HARNESS_WAIT_MS));
	}
	for (int i = 0; i < rig->options.routers; i++)
		g_assert_true(WAIT_UNTIL(rig_is_ready(rig, i) &&
						 sees_all_members(rig, i),
					 HARNESS_WAIT_MS));
}

static void start_weight_store(rig_t *rig)
{
	rig->weights =
		standin_start("standin-weights", "--transfers-max", "8", NULL);
	rig->weights_port = program_main_port(rig->weights);
	rig->weights_url =
		g_strdup_printf("http://127.0.0.1:%u", rig->weights_port);
}

rig_t *rig_start(const rig_options_t *options)
{
	rig_t *rig = g_new0(rig_t, 1);

	rig->options = *options;
	g_setenv("AMV_CLUSTER_KEY", "key-of-the-test-cluster", TRUE);
	g_setenv("AMV_OPERATOR_KEY", "key-of-the-operators", TRUE);
	rig->store = standin_start("standin-store", NULL);
	rig->store_port = program_main_port(rig->store);
	if (options->weights)
		start_weight_store(rig);
	for (int i = 0; i < options->engines; i++) {
		rig->engines[i] = start_engine(rig, 0);
		rig->engine_ports[i] = program_main_port(rig->engines[i]);
	}
	for (int i = 0; i < options->plain_services; i++) {
		rig->plain_services[i] =
			standin_start("standin-plain",
				      options->plain_services_check_fencing
					      ? "--check-fencing"
					      : NULL,
				      NULL);
		rig->plain_ports[i] = program_main_port(rig->plain_services[i]);
	}
	write_bootstrap(rig);
	if (options->domains)
		start_store_proxy(rig);
	for (int i = 0; i < options->routers; i++)
		start_router(rig, i);
	wait_until_ready(rig);
	return rig;
}

static void free_all(program_t **programs, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (programs[i])
			program_free(programs[i]);
	}
}

static void free_proxies(const rig_proxy_t *proxies, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!proxies[i].program)
			continue;
		program_signal(proxies[i].program, SIGKILL);
		program_free(proxies[i].program);
	}
}

void rig_free(rig_t *rig)
{
	/*
	 * Routers are signalled together because each takes up to 2 s to stop.
	 * Stand-ins are killed, as they have nothing to finish.
	 */
	for (int i = 0; i < RIG_ROUTERS_MAX; i++) {
		if (!rig->routers[i])
			continue;
		program_signal(rig->routers[i], SIGCONT);
		program_signal(rig->routers[i], SIGTERM);
	}
	free_all(rig->routers, RIG_ROUTERS_MAX);
	for (int i = 0; i < RIG_ENGINES_MAX; i++) {
		if (rig->engines[i])
			program_signal(rig->engines[i], SIGKILL);
	}
	for (int i = 0; i < RIG_PLAIN_SERVICES_MAX; i++) {
		if (rig->plain_services[i])
			program_signal(rig->plain_services[i], SIGKILL);
	}
	program_signal(rig->store, SIGKILL);
	free_proxies(rig->engine_proxies, RIG_ENGINES_MAX);
	free_proxies(rig->plain_proxies, RIG_PLAIN_SERVICES_MAX);
	free_proxies(rig->store_proxies, RIG_ROUTERS_MAX);
	free_all(rig->engines, RIG_ENGINES_MAX);
	free_all(rig->plain_services, RIG_PLAIN_SERVICES_MAX);
	program_free(rig->store);
	if (rig->weights)
		program_signal(rig->weights, SIGKILL);
	free_all(&rig->weights, 1);
	g_free(rig->weights_url);
	if (rig->store_proxy)
		program_free(rig->store_proxy);
	for (int i = 0; i < RIG_ROUTERS_MAX; i++)
		clock_shift_free(rig->clocks[i]);
	remove(rig->bootstrap);
	g_free(rig->bootstrap);
	g_free(rig->objects);
	g_free(rig);
}

void rig_kill_router(rig_t *rig, int router)
{
	program_signal(rig->routers[router], SIGKILL);
	program_wait(rig->routers[router], HARNESS_WAIT_MS);
}

void rig_kill_engine(rig_t *rig, int engine)
{
	program_signal(rig->engines[engine], SIGKILL);
	program_wait(rig->engines[engine], HARNESS_WAIT_MS);
}

void rig_restart_engine(rig_t *rig, int engine)
{
	program_free(rig->engines[engine]);
	rig->engines[engine] = start_engine(rig, rig->engine_ports[engine]);
	g_assert_cmpuint(program_main_port(rig->engines[engine]), ==,
			 rig->engine_ports[engine]);
}

int rig_busy_engine(rig_t *rig)
{
	for (int i = 0; i < rig->options.engines; i++) {
		if (program_is_running(rig->engines[i]) &&
		    http_local_number(rig->engine_ports[i], "/control/stats",
				      "open") > 0)
			return i;
	}
	return -1;
}

int rig_running_engines(rig_t *rig)
{
	int running = 0;

	for (int i = 0; i < rig->options.engines; i++)
		running += program_is_running(rig->engines[i]);
	return running;
}

int64_t rig_engine_sum(rig_t *rig, const char *member)
{
	int64_t sum = 0;

	for (int i = 0; i < rig->options.engines; i++) {
		if (program_is_running(rig->engines[i]))
			sum += http_local_number(rig->engine_ports[i],
						 "/control/stats", member);
	}
	return sum;
}

char *rig_body(const char *text, int max_tokens, bool stream)
{
	CLEANUP_JSON json_t *body =
		json_pack("{s:s,s:[{s:s,s:s}],s:i,s:b}", "model", "m1",
			  "messages", "role", "user", "content", text,
			  "max_tokens", max_tokens, "stream", stream);

	g_assert_nonnull(body);
	return json_dumps(body, JSON_COMPACT);
}

http_answer_t *rig_chat(rig_t *rig, int router, const char *body)
{
	static const char *const headers[] = { RIG_KEY_1, NULL };

	return http_local("POST", rig->ports[router], RIG_CHAT, headers, body);
}

http_stream_t *rig_stream(rig_t *rig, int router, const char *key,
			  const char *body, const char *last_id)
{
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u" RIG_CHAT,
					       rig->ports[router]);
	g_autofree char *resume =
		last_id ? g_strdup_printf("Last-Event-ID: %s", last_id) : NULL;
	const char *const headers[] = { key, resume, NULL };

	return http_stream_open("POST", url, headers, body);
}

http_stream_t *rig_kind_stream(rig_t *rig, int router, const char *kind_line,
			       const char *body)
{
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u" RIG_CHAT,
					       rig->ports[router]);
	const char *const headers[] = { RIG_KEY_1, kind_line, NULL };

	return http_stream_open("POST", url, headers, body);
}

int64_t rig_metric(rig_t *rig, int router, const char *name)
{
	g_autoptr(http_answer_t) answer =
		http_local("GET", rig->ports[router], "/metrics", NULL, NULL);
	g_autofree char *start = g_strdup_printf("\n%s ", name);
	const char *line = strstr(answer->body, start);

	return line ? g_ascii_strtoll(line + strlen(start), NULL, 10) : -1;
}

void rig_assert_complete(http_stream_t *stream, const char *body)
{
	g_autofree char *expected = generate_answer(body);
	g_autofree char *text = NULL;

	http_stream_wait(stream);
	text = http_stream_text(stream);
	g_assert_cmpstr(text, ==, expected);
	g_assert_true(http_stream_is_done(stream));
}

void rig_assert_refused(const http_answer_t *answer, long status,
			const char *type)
{
	g_autofree char *state = http_answer_header(answer, "X-Run-State");
	const char *given_type = NULL;
	const char *ran = NULL;

	g_assert_cmpint(answer->status, ==, status);
	g_assert_cmpint(json_unpack(answer->json, "{s:{s:s,s:s}}", "error",
				    "type", &given_type, "ran", &ran),
			==, 0);
	g_assert_cmpstr(given_type, ==, type);
	g_assert_cmpstr(ran, ==, "not_run");
	g_assert_cmpstr(state, ==, "not_run");
}
