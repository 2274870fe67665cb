#include "request/plain_proxy.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"
#include "request/plain_fencing.h"

/** Request headers that apply to one connection or to this proxy only. */
static const char *const request_headers_dropped[] = {
	"Authorization",
	"Connection",
	"Content-Length",
	"Expect",
	"Host",
	"Keep-Alive",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"X-Fencing-Number",
	"X-Deadline-Ms",
	"Accept-Encoding",
	NULL,
};

/** Answer headers that are not forwarded, or are written by the server. */
static const char *const answer_headers_dropped[] = {
	"Connection", "Content-Length", "Content-Type", "Date",
	"Keep-Alive", "Server",		"Trailer",	"Transfer-Encoding",
	"Upgrade",    "X-Run-State",	NULL,
};

static bool is_listed(const char *const *list, const char *name)
{
	for (; *list; list++) {
		if (!strcasecmp(*list, name))
			return true;
	}
	return false;
}

void plain_answer_free(plain_answer_t *answer)
{
	byte_buffer_free(&answer->body);
}

static void copy_headers(plain_answer_t *answer, const http_head_t *head)
{
	size_t used = 0;

	answer->headers[0] = '\0';
	for (uint32_t i = 0; i < head->header_count; i++) {
		const char *name = http_head_name(head, i);
		const char *value = http_head_value(head, i);
		size_t needed = strlen(name) + strlen(value);

		if (is_listed(answer_headers_dropped, name) ||
		    used + needed + 5 > sizeof(answer->headers))
			continue;
		used += (size_t)snprintf(answer->headers + used,
					 sizeof(answer->headers) - used,
					 "%s: %s\r\n", name, value);
	}
}

static bool is_header_set(const http_head_t *head, const char *name)
{
	const char *value = http_head_find(head, name);

	return value && !strcmp(value, "1");
}

static int on_head(void *context, const http_head_t *head)
{
	plain_transfer_t *transfer = context;
	plain_answer_t *answer = &transfer->answer;
	const char *type = http_head_find(head, "Content-Type");

	answer->status = head->status;
	answer->is_leaving = is_header_set(head, "X-Leaving");
	answer->is_not_run = is_header_set(head, "X-Not-Run");
	snprintf(answer->content_type, sizeof(answer->content_type), "%s",
		 type ? type : "");
	copy_headers(answer, head);
	return 0;
}

static int on_body(void *context, const char *bytes, size_t len)
{
	plain_transfer_t *transfer = context;
	plain_answer_t *answer = &transfer->answer;

	if (answer->body.len + len > answer->body_max_bytes) {
		answer->too_large = true;
		return ERR_ENDPOINT_ANSWER;
	}
	return byte_buffer_add(&answer->body, bytes, len);
}

static int before_send(void *context)
{
	plain_transfer_t *transfer = context;

	return transfer->before_send ? transfer->before_send(transfer->context)
				     : 0;
}

static int write_headers(const plain_transfer_t *transfer,
			 byte_buffer_t *headers)
{
	const server_request_t *client_request =
		transfer->request->client_request;
	const char *name;
	const char *value;
	int err = 0;

	for (int i = 0;
	     !err && server_header_at(client_request, i, &name, &value); i++) {
		if (!is_listed(request_headers_dropped, name))
			err = byte_buffer_print(headers, "%s: %s\r\n", name,
						value);
	}
	if (!err && transfer->fencing)
		err = byte_buffer_print(headers,
					"X-Fencing-Number: %" PRIu64 "\r\n",
					transfer->fencing);
	return err;
}

void plain_send(plain_transfer_t *transfer, const fleet_target_t *target,
		upstream_result_t *result)
{
	__attribute__((cleanup(byte_buffer_free)))
	byte_buffer_t headers = { 0 };
	const plain_request_t *request = transfer->request;
	server_request_t *client_request = request->client_request;
	upstream_call_t call = {
		.address = target->address,
		.port = target->port,
		.tls = target->tls,
		.method = client_request->method,
		.path = request->path,
		.body = client_request->body_len ? client_request->body : NULL,
		.body_bytes = client_request->body_len,
		.connect_timeout_ms = transfer->connect_timeout_ms,
		.deadline_ms = transfer->deadline_ms,
		.fresh_connection = transfer->fresh_connection,
		.client_gone = transfer->ignore_disconnect
				       ? NULL
				       : &client_request->client_gone,
		.before_send = before_send,
		.on_head = on_head,
		.on_body = on_body,
		.context = transfer,
	};

	*result = (upstream_result_t){ .err = ERR_NO_MEMORY };
	plain_answer_free(&transfer->answer);
	transfer->answer = (plain_answer_t){
		.body_max_bytes = request->config->limits.body_max_bytes,
	};
	if (write_headers(transfer, &headers))
		return;
	call.headers = headers.bytes;
	upstream_run(transfer->proxy->pool, &call, result);
}

/* Idempotent requests. */

static endpoint_outcome_t endpoint_outcome(const plain_answer_t *answer,
					   const upstream_result_t *result)
{
	if (result->err == ERR_CANCELLED || result->err == ERR_STOPPING ||
	    result->err == ERR_NO_MEMORY)
		return ENDPOINT_CANCELLED;
	if (result->err == ERR_ENDPOINT_LOST)
		return ENDPOINT_LOST;
	if (result->err)
		return ENDPOINT_FAILED;
	return answer->is_leaving ? ENDPOINT_REFUSED : ENDPOINT_DONE;
}

static void send_to_target(plain_transfer_t *transfer,
			   const fleet_target_t *target,
			   upstream_result_t *result)
{
	fleet_t *fleet = transfer->proxy->fleet;
	fleet_choice_t choice = { 0 };

	fleet_sent(fleet, target, clock_now_ms(), &choice);
	plain_send(transfer, target, result);
	fleet_ended(fleet, &choice, NULL,
		    endpoint_outcome(&transfer->answer, result),
		    clock_now_ms());
}

/**
 * Whether another endpoint may be tried.
 * @param needs_budget set if the retry is charged to the retry budget
 */
static bool may_retry(const plain_answer_t *answer,
		      const upstream_result_t *result, bool *needs_budget)
{
	*needs_budget = false;
	if (!result->err)
		return answer->is_not_run && answer->status == 503;
	if (result->err == ERR_CANCELLED || result->err == ERR_STOPPING ||
	    result->err == ERR_NO_MEMORY || result->err == ERR_DEADLINE ||
	    answer->too_large)
		return false;
	*needs_budget = result->sent;
	return true;
}

static void answer_error(const plain_request_t *request, int err,
			 bool may_have_run)
{
	server_error_t error = {
		.err = err,
		.has_run_state = true,
		.run_state =
			may_have_run ? RUN_STATE_UNKNOWN : RUN_STATE_NOT_RUN,
	};

	server_answer_error(request->client_request, &error);
}

static void forward_answer(const plain_request_t *request,
			   const plain_answer_t *answer)
{
	server_answer(request->client_request, (int)answer->status,
		      *answer->content_type ? answer->content_type : NULL,
		      answer->headers,
		      answer->body.bytes ? answer->body.bytes : "",
		      answer->body.len);
}

static void serve_idempotent(const plain_proxy_t *proxy,
			     const plain_request_t *request, int pool,
			     uint64_t deadline_ms)
{
	fleet_target_t targets[PLAIN_TRIES_MAX];
	size_t count = fleet_list_usable(proxy->fleet, pool, targets,
					 PLAIN_TRIES_MAX, clock_now_ms());
	plain_transfer_t transfer = {
		.proxy = proxy,
		.request = request,
		.deadline_ms = deadline_ms,
		.connect_timeout_ms = proxy->settings.connect_timeout_ms,
	};
	upstream_result_t result = { .err = ERR_NO_ENDPOINT };
	bool may_have_run = false;

	for (size_t i = 0; i < count; i++) {
		bool needs_budget;

		send_to_target(&transfer, &targets[i], &result);
		may_have_run = may_have_run ||
			       (result.sent && !transfer.answer.is_not_run);
		if (!may_retry(&transfer.answer, &result, &needs_budget) ||
		    (needs_budget && fleet_retry(proxy->fleet, pool,
						 deadline_ms, clock_now_ms())))
			break;
	}
	/* An earlier try may have run what the last endpoint refused. */
	if (!result.err && transfer.answer.is_not_run && may_have_run)
		result.err = ERR_ENDPOINT_LOST;
	/* The status of ERR_STOPPING promises that the request did not run. */
	if (result.err == ERR_STOPPING && may_have_run)
		result.err = ERR_TIMEOUT;
	if (result.err)
		answer_error(request, result.err, may_have_run);
	else
		forward_answer(request, &transfer.answer);
	plain_answer_free(&transfer.answer);
}

void plain_proxy_serve(const plain_proxy_t *proxy,
		       const plain_request_t *request)
{
	const config_t *config = request->config;
	const config_route_t *route = &config->routes[request->route];
	int pool = fleet_find_pool(proxy->fleet, config->pools[route->pool].id);

	metrics_add(METRIC_REQUESTS_PLAIN, 1);
	if (plain_fencing_is_path(request->path)) {
		answer_error(request, ERR_UNKNOWN_ROUTE, false);
		return;
	}
	if (!config_route_is_idempotent(route,
					request->client_request->method)) {
		plain_serve_order(proxy, request);
		return;
	}
	if (pool < 0) {
		answer_error(request, ERR_NO_ENDPOINT, false);
		return;
	}
	serve_idempotent(proxy, request, pool,
			 clock_now_ms() + route->timeout_ms);
}
