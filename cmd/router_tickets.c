/*
 * Starts and stops the configuration service of this instance, and handles the
 * operator requests that use it.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"

enum {
	TICKET_BODY_MAX_BYTES = 2 * TICKET_MAX_BYTES,
	/** Below the request timeout of the operator command. */
	TICKET_COMMIT_TIMEOUT_MS = 5000,
	AUDIT_DEFAULT_LIMIT = 50,
	/** Maximum number of members probed for one operator request. */
	PROBES_MAX = 16,
};

int router_tickets_serve_peer(void *context, bool snapshot,
			      uint64_t from_position, uint64_t *position,
			      char **document, size_t *document_bytes)
{
	router_t *router = context;
	CLEANUP_JSON json_t *answer = NULL;

	pthread_rwlock_rdlock(&router->service_lock);
	if (router->service)
		answer = config_service_answer(router->service,
					       snapshot ? 0 : from_position);
	pthread_rwlock_unlock(&router->service_lock);
	if (!answer)
		return ERR_NOT_FOUND;
	*position = (uint64_t)json_integer_value(
		json_object_get(answer, "position"));
	*document = json_dumps(answer, JSON_COMPACT);
	if (!*document)
		return ERR_NO_MEMORY;
	*document_bytes = strlen(*document);
	return 0;
}

static int fetch_peer(void *context, uint64_t peer, uint64_t from,
		      json_t **answer)
{
	router_t *router = context;
	CLEANUP_FREE char *document = NULL;
	uint64_t position = 0;
	size_t bytes = 0;
	int err = gossip_fetch_config(router->gossip, peer, !from, from,
				      &position, &document, &bytes);

	if (err)
		return err;
	*answer = json_loadb(document, bytes, 0, NULL);
	return *answer ? 0 : ERR_BAD_JSON;
}

static int start_service(router_t *router,
			 const config_sync_member_t *sync_members,
			 size_t sync_member_count)
{
	uint64_t seed = router->seed ^ hash_string(router->instance);
	config_service_options_t options = {
		.client = router->store,
		.instance = router->instance,
		.domain = router->settings.domain,
		.bootstrap_file = router->settings.bootstrap,
		.fetch_peer = fetch_peer,
		.fetch_user = router,
		.seed = seed,
		.members = sync_members,
		.member_count = sync_member_count,
		.commit_timeout_ms = TICKET_COMMIT_TIMEOUT_MS,
	};
	config_service_t *service;
	int err;

	err = audit_open(router->store, router->instance, seed, &router->audit);
	if (err)
		return err;
	options.audit = router->audit;
	err = config_service_start(&options, &service);
	if (err)
		return err;
	pthread_rwlock_wrlock(&router->service_lock);
	router->service = service;
	pthread_rwlock_unlock(&router->service_lock);
	return 0;
}

int router_tickets_open(router_t *router)
{
	config_sync_member_t *sync_members;
	size_t count;
	int err;

	if (!router->store)
		return 0;
	sync_members = calloc(CONFIG_SYNC_MEMBERS_MAX, sizeof(*sync_members));
	if (!sync_members)
		return ERR_NO_MEMORY;
	count = router_members_copy_live(router, sync_members,
					 CONFIG_SYNC_MEMBERS_MAX);
	err = start_service(router, sync_members, count);
	free(sync_members);
	return err;
}

void router_tickets_close(router_t *router)
{
	config_service_t *service;

	pthread_rwlock_wrlock(&router->service_lock);
	service = router->service;
	router->service = NULL;
	pthread_rwlock_unlock(&router->service_lock);
	if (service)
		config_service_stop(service);
	if (router->audit)
		audit_close(router->audit);
}

void router_tickets_add_audit(void *context, const audit_entry_t *entry)
{
	router_t *router = context;

	pthread_rwlock_rdlock(&router->service_lock);
	if (router->service)
		audit_add(router->audit, entry);
	pthread_rwlock_unlock(&router->service_lock);
}

config_service_status_t router_tickets_status(router_t *router)
{
	config_service_status_t status = { .age_ms = CONFIG_AGE_UNKNOWN };

	pthread_rwlock_rdlock(&router->service_lock);
	if (router->service)
		config_service_status(router->service, &status);
	pthread_rwlock_unlock(&router->service_lock);
	return status;
}

/*
 * Operator requests. They use the service without its lock, because it is
 * stopped only after the HTTP server.
 */

static config_service_t *get_service(router_t *router)
{
	config_service_t *service;

	pthread_rwlock_rdlock(&router->service_lock);
	service = router->service;
	pthread_rwlock_unlock(&router->service_lock);
	return service;
}

static void answer_ticket_error(server_request_t *request,
				const ticket_result_t *result)
{
	const config_problem_t *problem = &result->problem;
	char text[sizeof(*problem) + 64];
	server_error_t error = { .err = result->err };

	if (*problem->object || *problem->text) {
		snprintf(text, sizeof(text), "%s%s%s: %s", problem->object,
			 *problem->field ? " " : "", problem->field,
			 *problem->text ? problem->text
					: error_answer(result->err)->text);
		error.text = text;
	}
	server_answer_error(request, &error);
}

/** Returns the name of the operator for the audit trail. */
static const char *operator_name(const server_request_t *request,
				 const json_t *content)
{
	const char *named = server_header(request, "X-Operator");
	const char *author =
		json_string_value(json_object_get(content, "author"));

	if (named)
		return named;
	return author ? author : "operator";
}

void router_tickets_apply(router_t *router, server_request_t *request)
{
	config_service_t *service = get_service(router);
	CLEANUP_JSON json_t *content = NULL;
	CLEANUP_JSON json_t *answer = NULL;
	ticket_result_t result = { 0 };
	int err = server_check_body(request, TICKET_BODY_MAX_BYTES);

	if (!err && !service)
		err = router->store ? ERR_NOT_READY : ERR_STORE_DOWN;
	if (!err) {
		content = json_loadb(request->body, request->body_len,
				     JSON_REJECT_DUPLICATES, NULL);
		err = content ? 0 : ERR_BAD_JSON;
	}
	if (err) {
		router_answer_error(request, err);
		return;
	}
	if (config_service_apply_ticket(service, content,
					operator_name(request, content),
					&result)) {
		answer_ticket_error(request, &result);
		return;
	}
	answer = json_pack("{s:I,s:I,s:b}", "ticket", (json_int_t)result.number,
			   "position", (json_int_t)result.position, "repeated",
			   (int)result.repeated);
	router_answer_json(request, answer);
}

/**
 * Probes members that have not reported the position yet, so that their answers
 * update it.
 */
static void probe_members_behind(router_t *router, uint64_t position)
{
	CLEANUP_FREE gossip_member_t *members =
		calloc(PEER_MEMBERS_MAX, sizeof(*members));
	size_t probes = 0;
	size_t count;

	if (!members)
		return;
	count = gossip_members(router->gossip, members, PEER_MEMBERS_MAX);
	for (size_t i = 1; i < count && probes < PROBES_MAX; i++) {
		if (members[i].config_position >= position)
			continue;
		gossip_probe(router->gossip, &members[i].wire);
		probes++;
	}
}

void router_tickets_show(router_t *router, server_request_t *request)
{
	const char *number = request->path + strlen("/admin/tickets/");
	config_service_t *service = get_service(router);
	CLEANUP_JSON json_t *answer = NULL;
	uint64_t position = 0;
	int err = ERR_NOT_READY;

	if (!*number || strspn(number, "0123456789") != strlen(number))
		err = ERR_NOT_FOUND;
	else if (service)
		err = config_service_find_ticket(
			service, strtoull(number, NULL, 10), &position);
	if (err) {
		router_answer_error(request, err);
		return;
	}
	probe_members_behind(router, position);
	answer = json_pack("{s:I,s:o}", "position", (json_int_t)position,
			   "members", router_control_members(router));
	router_answer_json(request, answer);
}

void router_tickets_objects(router_t *router, server_request_t *request)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	CLEANUP_JSON json_t *answer = NULL;

	(void)router;
	if (!config) {
		router_answer_error(request, ERR_NOT_READY);
		return;
	}
	answer =
		json_pack("{s:I,s:O}", "position", (json_int_t)config->position,
			  "objects", config->objects);
	router_answer_json(request, answer);
}

static size_t audit_limit(const char *query)
{
	const char *limit = strstr(query, "limit=");
	size_t number = limit ? strtoul(limit + 6, NULL, 10) : 0;

	return number ? number : AUDIT_DEFAULT_LIMIT;
}

void router_tickets_audit(router_t *router, server_request_t *request)
{
	CLEANUP_JSON json_t *entries = NULL;
	CLEANUP_JSON json_t *answer = NULL;
	size_t limit = audit_limit(request->query);
	int err = router->store ? audit_read(router->store, &entries)
				: ERR_STORE_DOWN;

	if (err) {
		router_answer_error(request, err);
		return;
	}
	while (json_array_size(entries) > limit)
		json_array_remove(entries, 0);
	answer = json_pack("{s:O}", "entries", entries);
	router_answer_json(request, answer);
}
