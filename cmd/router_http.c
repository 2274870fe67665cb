/*
 * HTTP requests of the router daemon: finds the handler of a path and checks
 * the key of customers and operators.
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/metrics.h"

enum {
	/** Body limit of /admin/, and of all paths without a configuration. */
	ADMIN_BODY_MAX_BYTES = 8 * 1024 * 1024,
	ROUTE_PATH_MAX_BYTES = 4096,
};

void router_answer_error(server_request_t *request, int err)
{
	server_error_t error = { .err = err };

	server_answer_error(request, &error);
}

static void answer_text(server_request_t *request, int status, const char *type,
			const char *text)
{
	server_answer(request, status, type, NULL, text, strlen(text));
}

void router_answer_json(server_request_t *request, json_t *value)
{
	CLEANUP_FREE char *text =
		value ? json_dumps(value, JSON_COMPACT) : NULL;

	if (text)
		answer_text(request, 200, "application/json", text);
	else
		router_answer_error(request, ERR_NO_MEMORY);
}

bool router_is_ready(router_t *router)
{
	return uatomic_read(&router->config_applied) &&
	       !uatomic_read(&router->stopping);
}

static void handle_health(router_t *router, server_request_t *request)
{
	(void)router;
	answer_text(request, 200, "text/plain", "ok\n");
}

static void handle_ready(router_t *router, server_request_t *request)
{
	if (router_is_ready(router))
		answer_text(request, 200, "text/plain", "ready\n");
	else
		router_answer_error(request, uatomic_read(&router->stopping)
						     ? ERR_STOPPING
						     : ERR_NOT_READY);
}

static void handle_metrics(router_t *router, server_request_t *request)
{
	CLEANUP_FREE char *text = metrics_print();

	(void)router;
	if (text)
		answer_text(request, 200, "text/plain; version=0.0.4", text);
	else
		router_answer_error(request, ERR_NO_MEMORY);
}

/** Finds the customer of a request. @return index, or ERR_UNAUTHENTICATED */
static int32_t authenticate(const config_t *config,
			    const server_request_t *request)
{
	const char *key = server_bearer_key(request);
	int32_t customer =
		key ? config_find_customer_by_key(config, key) : CONFIG_NONE;

	return customer == CONFIG_NONE ? ERR_UNAUTHENTICATED : customer;
}

static void list_models(const config_t *config, int32_t customer,
			server_request_t *request)
{
	const config_customer_t *customer_config = &config->customers[customer];
	json_t *data = json_array();
	CLEANUP_JSON json_t *answer =
		json_pack("{s:s,s:o}", "object", "list", "data", data);

	for (size_t i = 0; i < customer_config->pool_count; i++) {
		const char *model =
			config->pools[customer_config->pools[i]].model;

		if (*model)
			json_array_append_new(
				data, json_pack("{s:s,s:s,s:s}", "id", model,
						"object", "model", "owned_by",
						"amaranthvale"));
	}
	router_answer_json(request, answer);
}

static void serve_model(router_t *router, const config_t *config,
			int32_t customer, server_request_t *request,
			chat_kind_t kind)
{
	relay_request_t relay_request = {
		.client_request = request,
		.config = config,
		.customer = customer,
		.kind = kind,
	};
	int err;

	if (strcmp(request->method, "POST") != 0) {
		router_answer_error(request, ERR_METHOD_NOT_ALLOWED);
		return;
	}
	err = server_check_body(request, config->limits.body_max_bytes);
	if (err)
		router_answer_error(request, err);
	else
		relay_serve(&router->relay, &relay_request);
}

/**
 * Finds the route for `<route>/<path>`.
 * @param rest set to `/<path>`, or to "" without one
 * @return index, or CONFIG_NONE if the customer has no such route
 */
static int32_t find_route(const config_t *config, int32_t customer,
			  const char *path, const char **rest)
{
	char id[CONFIG_ID_MAX_BYTES];
	size_t len = strcspn(path, "/");
	int32_t route;

	if (!len || len >= sizeof(id))
		return CONFIG_NONE;
	memcpy(id, path, len);
	id[len] = '\0';
	*rest = path + len;
	route = config_find_route(config, id);
	if (route == CONFIG_NONE ||
	    !config_customer_has_pool(&config->customers[customer],
				      config->routes[route].pool))
		return CONFIG_NONE;
	return route;
}

static void serve_plain(router_t *router, const config_t *config,
			int32_t customer, server_request_t *request,
			const char *path)
{
	plain_request_t plain_request = {
		.client_request = request,
		.config = config,
		.customer = customer,
	};
	char path_and_query[ROUTE_PATH_MAX_BYTES];
	const char *rest = "";
	int len;
	int err;

	plain_request.route = find_route(config, customer, path, &rest);
	len = snprintf(path_and_query, sizeof(path_and_query), "%s%s%s%s",
		       *rest ? "" : "/", rest, *request->query ? "?" : "",
		       request->query);
	if (plain_request.route == CONFIG_NONE) {
		router_answer_error(request, ERR_UNKNOWN_ROUTE);
		return;
	}
	if (len < 0 || (size_t)len >= sizeof(path_and_query)) {
		router_answer_error(request, ERR_HEADER_TOO_LARGE);
		return;
	}
	plain_request.path = path_and_query;
	err = server_check_body(request, config->limits.body_max_bytes);
	if (err)
		router_answer_error(request, err);
	else
		plain_proxy_serve(&router->plain_proxy, &plain_request);
}

/** Returns the rest of `path` after `prefix`, or NULL if it differs. */
static const char *skip_prefix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) != 0 ? NULL : path + len;
}

/** Handles the paths that need a configuration and a customer. */
static void serve_customer(router_t *router, server_request_t *request)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	const char *path = request->path;
	const char *rest;
	int32_t customer;

	if (uatomic_read(&router->stopping)) {
		router_answer_error(request, ERR_STOPPING);
		return;
	}
	if (!config || !router_is_ready(router)) {
		router_answer_error(request, ERR_NOT_READY);
		return;
	}
	customer = authenticate(config, request);
	if (customer < 0)
		router_answer_error(request, customer);
	else if (!strcmp(path, "/v1/chat/completions"))
		serve_model(router, config, customer, request, CHAT_MESSAGES);
	else if (!strcmp(path, "/v1/completions"))
		serve_model(router, config, customer, request, CHAT_PROMPT);
	else if (!strcmp(path, "/v1/models"))
		list_models(config, customer, request);
	else if ((rest = skip_prefix(path, "/svc/")))
		serve_plain(router, config, customer, request, rest);
	else
		router_answer_error(request, ERR_NOT_FOUND);
}

/* Operator requests under /admin/. */

static bool is_operator(const router_t *router, const server_request_t *request)
{
	const char *key = server_bearer_key(request);
	const char *expected = router->settings.operator_key;
	unsigned char given[HASH_DIGEST_HEX_BYTES];
	unsigned char wanted[HASH_DIGEST_HEX_BYTES];

	if (!key || !expected)
		return false;
	/* Digests have equal length, so the comparison is constant-time. */
	hash_digest_hex(key, strlen(key), (char *)given);
	hash_digest_hex(expected, strlen(expected), (char *)wanted);
	return !sodium_memcmp(given, wanted, sizeof(wanted));
}

static void admin_config(router_t *router, server_request_t *request)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	uint64_t at_ms = uatomic_read(&router->applied_at_ms);
	uint64_t age_ms = router_tickets_status(router).age_ms;
	CLEANUP_JSON json_t *answer = NULL;

	if (!config || !at_ms) {
		router_answer_error(request, ERR_NOT_READY);
		return;
	}
	if (age_ms == CONFIG_AGE_UNKNOWN)
		age_ms = clock_now_ms() - at_ms;
	answer =
		json_pack("{s:s,s:I,s:I,s:b}", "instance", router->instance,
			  "position", (json_int_t)config->position, "age_ms",
			  (json_int_t)age_ms, "store_down",
			  router->store && store_client_is_down(router->store));
	router_answer_json(request, answer);
}

/** Explains the routing of `{"customer", "kind", "request"}`. */
static json_t *explain(router_t *router, const config_t *config,
		       const json_t *input, server_error_t *error,
		       chat_problem_t *problem)
{
	const json_t *body = json_object_get(input, "request");
	const char *kind = json_string_value(json_object_get(input, "kind"));
	const char *id = json_string_value(json_object_get(input, "customer"));
	CLEANUP_FREE char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	relay_explain_request_t explain_request = {
		.config = config,
		.customer = id ? config_find_customer(config, id) : CONFIG_NONE,
		.kind_name = kind ? kind : "",
		.kind = json_object_get(body, "messages") ? CHAT_MESSAGES
							  : CHAT_PROMPT,
		.body = text,
		.body_len = text ? strlen(text) : 0,
	};

	if (explain_request.customer == CONFIG_NONE || !text) {
		error->err = ERR_BAD_FIELD;
		error->text = "give 'customer' and 'request'";
		return NULL;
	}
	return relay_explain(&router->relay, &explain_request, error, problem);
}

static void admin_explain(router_t *router, server_request_t *request)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	CLEANUP_JSON json_t *input = NULL;
	CLEANUP_JSON json_t *explanation = NULL;
	chat_problem_t problem = { 0 };
	server_error_t error = { 0 };

	if (!config || !router_is_ready(router)) {
		router_answer_error(request, ERR_NOT_READY);
		return;
	}
	error.err = server_check_body(request, ADMIN_BODY_MAX_BYTES);
	if (!error.err) {
		input = json_loadb(request->body, request->body_len, 0, NULL);
		error.err = input ? 0 : ERR_BAD_JSON;
	}
	if (!error.err)
		explanation = explain(router, config, input, &error, &problem);
	if (explanation) {
		router_answer_json(request, explanation);
		return;
	}
	if (*problem.text)
		error.text = problem.text;
	server_answer_error(request, &error);
}

void router_admin(router_t *router, server_request_t *request)
{
	static const struct {
		const char *method;
		const char *path;
		void (*handle)(router_t *router, server_request_t *request);
	} admin_paths[] = {
		{ "GET", "/admin/config", admin_config },
		{ "POST", "/admin/explain", admin_explain },
		{ "GET", "/admin/status", router_control_status },
		{ "POST", "/admin/drain", router_control_drain },
		{ "POST", "/admin/tickets", router_tickets_apply },
		{ "GET", "/admin/objects", router_tickets_objects },
		{ "GET", "/admin/audit", router_tickets_audit },
	};

	for (size_t i = 0; i < sizeof(admin_paths) / sizeof(*admin_paths);
	     i++) {
		if (!strcmp(request->path, admin_paths[i].path) &&
		    !strcmp(request->method, admin_paths[i].method)) {
			admin_paths[i].handle(router, request);
			return;
		}
	}
	if (skip_prefix(request->path, "/admin/tickets/") &&
	    !strcmp(request->method, "GET"))
		router_tickets_show(router, request);
	else
		router_answer_error(request, ERR_NOT_FOUND);
}

static void route(router_t *router, server_request_t *request)
{
	static const struct {
		const char *path;
		void (*handle)(router_t *router, server_request_t *request);
	} public_paths[] = {
		{ "/healthz", handle_health },
		{ "/readyz", handle_ready },
		{ "/metrics", handle_metrics },
	};

	for (size_t i = 0; i < sizeof(public_paths) / sizeof(*public_paths);
	     i++) {
		if (!strcmp(request->path, public_paths[i].path)) {
			public_paths[i].handle(router, request);
			return;
		}
	}
	if (!skip_prefix(request->path, "/admin/"))
		serve_customer(router, request);
	else if (is_operator(router, request))
		router_admin(router, request);
	else
		router_answer_error(request, ERR_UNAUTHENTICATED);
}

void router_handle(void *context, server_request_t *request)
{
	router_t *router = context;

	uatomic_inc(&router->open_requests);
	route(router, request);
	uatomic_dec(&router->open_requests);
}

uint32_t router_body_max(void *context)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	uint32_t max_bytes = config ? config->limits.body_max_bytes : 0;

	(void)context;
	return max_bytes > ADMIN_BODY_MAX_BYTES ? max_bytes
						: ADMIN_BODY_MAX_BYTES;
}
