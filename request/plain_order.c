/*
 * Serves an order: performs the actions of the state machine in process/order.h
 * with the store, the endpoint's connection and the client's request.
 */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "request/order_record.h"
#include "request/plain_fencing.h"
#include "request/plain_proxy.h"

/** An order in progress. */
typedef struct order_run {
	const plain_proxy_t *proxy;
	const plain_request_t *request;
	order_settings_t settings;
	order_t order;
	order_actions_t actions; /**< Pending actions. */
	plain_transfer_t transfer;
	order_answer_t answer; /**< Endpoint's; valid until the end. */
	parsed_order_record_t last_read; /**< Latest record read. */
	fleet_target_t targets[ORDER_ENDPOINTS_MAX];
	size_t target_count;
	uint32_t connect_call_id; /**< `call_id` of the connect action. */
	bool was_connected;
	bool may_send;
	bool finished;
} order_run_t;

static void sleep_until(uint64_t wake_ms)
{
	struct timespec until = {
		.tv_sec = (time_t)(wake_ms / 1000),
		.tv_nsec = (long)(wake_ms % 1000) * 1000000L,
	};

	while (clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL))
		;
}

static order_event_t write_record(order_run_t *run,
				  const order_action_t *action)
{
	order_event_t event = { .kind = ORDER_EVENT_WRITTEN };
	CLEANUP_JSON json_t *value =
		order_record_to_json(&action->write.record);
	uint64_t version = action->write.if_version;

	if (!value)
		event.written.result = ERR_STORE_DOWN;
	else if (version)
		event.written.result = store_client_update_within(
			run->proxy->store, STORE_PURPOSE_ORDER, run->order.path,
			value, version, action->write.limit_ms,
			&event.written.version);
	else
		event.written.result = store_client_create(
			run->proxy->store, STORE_PURPOSE_ORDER, run->order.path,
			value, &event.written.version);
	return event;
}

static order_event_t read_record(order_run_t *run)
{
	order_event_t event = { .kind = ORDER_EVENT_READ };
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	int err = store_client_get(run->proxy->store, STORE_PURPOSE_ORDER,
				   run->order.path, &object);

	order_record_free(&run->last_read);
	if (!err) {
		err = order_record_from_json(object.value, &run->last_read);
		event.read.version = object.version;
		event.read.record = &run->last_read.record;
	}
	if (!err && run->last_read.record.state == ORDER_STATE_OPEN)
		event.read.unchanged_ms =
			claim_watch_read(run->proxy->claims, run->order.path,
					 object.version, clock_now_ms());
	event.read.result = err;
	return event;
}

/**
 * Called once connected, before the first byte is sent: the state machine
 * checks that its claim has not expired and returns either a send or other
 * actions.
 */
static int before_send(void *context)
{
	order_run_t *run = context;
	order_event_t event = {
		.kind = ORDER_EVENT_CONNECTED,
		.call_id = run->connect_call_id,
	};

	run->was_connected = true;
	order_step(&run->order, &event, clock_now_ms(), &run->actions);
	run->may_send = run->actions.count == 1 &&
			run->actions.items[0].kind == ORDER_ACTION_SEND;
	return run->may_send ? 0 : ERR_ORDER_NOT_RUN;
}

static const fleet_target_t *find_target(const order_run_t *run, const char *id)
{
	for (size_t i = 0; i < run->target_count; i++) {
		if (!strcmp(run->targets[i].id, id))
			return &run->targets[i];
	}
	return NULL;
}

/** Copies the answer; headers that do not fit into a record are dropped. */
static void copy_answer(order_run_t *run)
{
	const plain_answer_t *from = &run->transfer.answer;
	order_answer_t *to = &run->answer;
	size_t used = 0;
	const char *line = from->headers;

	*to = (order_answer_t){
		.http_status = (uint16_t)from->status,
		.body = from->body.bytes ? from->body.bytes : "",
		.body_bytes = from->body.len,
	};
	if (*from->content_type)
		used = (size_t)snprintf(to->headers, sizeof(to->headers),
					"Content-Type: %s\r\n",
					from->content_type);
	while (*line) {
		const char *end = strstr(line, "\r\n");
		size_t len = end ? (size_t)(end - line) + 2 : strlen(line);

		if (used + len < sizeof(to->headers)) {
			memcpy(to->headers + used, line, len);
			used += len;
			to->headers[used] = '\0';
		}
		line += len;
	}
}

static endpoint_outcome_t endpoint_outcome(const order_run_t *run,
					   const upstream_result_t *result)
{
	if (!result->err)
		return run->transfer.answer.is_leaving ? ENDPOINT_REFUSED
						       : ENDPOINT_DONE;
	if (!result->sent && run->was_connected)
		return ENDPOINT_CANCELLED;
	return result->err == ERR_ENDPOINT_LOST ? ENDPOINT_LOST
						: ENDPOINT_FAILED;
}

static void send_to_target(order_run_t *run, const fleet_target_t *target,
			   uint64_t send_by_ms, upstream_result_t *result)
{
	plain_transfer_t *transfer = &run->transfer;
	fleet_choice_t choice = { 0 };
	uint64_t now_ms = clock_now_ms();
	uint64_t left_ms = send_by_ms > now_ms ? send_by_ms - now_ms : 1;
	uint32_t connect_ms = run->proxy->settings.connect_timeout_ms;

	transfer->connect_timeout_ms =
		left_ms < connect_ms ? (uint32_t)left_ms : connect_ms;
	transfer->deadline_ms = now_ms + transfer->connect_timeout_ms +
				run->settings.endpoint_timeout_ms;
	transfer->fencing = run->order.claim.claim_fencing;
	fleet_sent(run->proxy->fleet, target, now_ms, &choice);
	plain_send(transfer, target, result);
	fleet_ended(run->proxy->fleet, &choice, NULL,
		    endpoint_outcome(run, result), clock_now_ms());
}

/**
 * Connects and, if the state machine allows it, sends the request.
 * @return true if `event` is set; false if `run->actions` are pending instead
 */
static bool connect_and_send(order_run_t *run, const order_action_t *action,
			     order_event_t *event)
{
	const fleet_target_t *target =
		find_target(run, action->connect.endpoint);
	upstream_result_t result = { .err = ERR_CONNECT };

	run->connect_call_id = action->call_id;
	run->was_connected = false;
	run->may_send = false;
	if (target)
		send_to_target(run, target, action->connect.send_by_ms,
			       &result);
	if (run->was_connected && !run->may_send)
		return false;
	*event = (order_event_t){ .kind = ORDER_EVENT_CONNECT_FAILED };
	if (!run->was_connected)
		return true;
	event->kind = ORDER_EVENT_ANSWER_LOST;
	if (result.err)
		return true;
	copy_answer(run);
	event->kind = ORDER_EVENT_ANSWERED;
	event->answered.answer = &run->answer;
	event->answered.not_run = run->transfer.answer.is_not_run;
	return true;
}

static void send_answer(const order_run_t *run, const order_action_t *action)
{
	server_request_t *client_request = run->request->client_request;
	const order_answer_t *answer = action->answer.answer;
	server_error_t error = { .err = action->answer.err };
	char headers[ORDER_HEADERS_MAX_BYTES + 64];

	if (action->answer.err || !answer) {
		if (!error.err)
			error.err = ERR_ORDER_UNKNOWN;
		if (error.err == ERR_ORDER_UNKNOWN)
			event_log(EVENT_ORDER_UNKNOWN, "order=%s",
				  run->order.path);
		if (error.err == ERR_KEY_REUSED)
			event_log(EVENT_ORDER_KEY_REUSED, "order=%s",
				  run->order.path);
		server_answer_error(client_request, &error);
		return;
	}
	snprintf(headers, sizeof(headers), "%sX-Run-State: ran\r\n%s",
		 answer->headers,
		 answer->body_omitted ? "X-Body-Omitted: 1\r\n" : "");
	server_answer(client_request, answer->http_status, NULL, headers,
		      answer->body ? answer->body : "", answer->body_bytes);
}

/**
 * Queries an endpoint of the claim. An endpoint that is not in the
 * configuration proves nothing.
 */
static order_proof_t query_fencing(const order_run_t *run,
				   const order_action_t *action)
{
	const config_t *config = run->request->config;
	int32_t index = config_find_endpoint(config, action->query.endpoint);
	plain_fencing_query_t query = {
		.key = server_header(run->request->client_request,
				     "Idempotency-Key"),
		.number = action->query.fencing,
		.connect_timeout_ms = run->proxy->settings.connect_timeout_ms,
		.answer_timeout_ms = run->settings.endpoint_timeout_ms,
	};

	if (index == CONFIG_NONE || !config->endpoints[index].checks_fencing)
		return ORDER_PROOF_NONE;
	return plain_fencing_query(run->proxy->pool, &config->endpoints[index],
				   &query);
}

/** Logs record writes that an operator should know about. */
static void log_write(const order_run_t *run, const order_action_t *action,
		      const order_event_t *event)
{
	const order_record_t *record = &action->write.record;

	if (record->state == ORDER_STATE_OPEN &&
	    event->written.result == ERR_STORE_UNKNOWN)
		event_log(EVENT_ORDER_CLAIM_LOST, "order=%s", run->order.path);
	/* A different nonce means that the claim is another request's. */
	if (record->state == ORDER_STATE_UNKNOWN && !event->written.result &&
	    record->nonce != run->order.claim.nonce)
		event_log(EVENT_ORDER_CLOSED, "order=%s", run->order.path);
}

/** Performs one action. @return whether `event` is set */
static bool perform(order_run_t *run, const order_action_t *action,
		    order_event_t *event)
{
	switch (action->kind) {
	case ORDER_ACTION_WRITE:
		*event = write_record(run, action);
		log_write(run, action, event);
		return true;
	case ORDER_ACTION_READ:
		*event = read_record(run);
		return true;
	case ORDER_ACTION_WAIT:
		sleep_until(action->wait.deadline_ms);
		*event = (order_event_t){ .kind = ORDER_EVENT_TIMER };
		return true;
	case ORDER_ACTION_CONNECT:
		return connect_and_send(run, action, event);
	case ORDER_ACTION_QUERY:
		*event = (order_event_t){ .kind = ORDER_EVENT_QUERIED,
					  .queried.proof =
						  query_fencing(run, action) };
		return true;
	case ORDER_ACTION_ANSWER:
		send_answer(run, action);
		return false;
	case ORDER_ACTION_FINISH:
		run->finished = true;
		if (!action->finish.recorded)
			event_log(EVENT_ORDER_RECORD_FAILED, "order=%s",
				  run->order.path);
		return false;
	case ORDER_ACTION_SEND:
	case ORDER_ACTION_CLOSE:
		/* plain_send() continues after before_send() returns. */
		return false;
	}
	return false;
}

/**
 * Whether only the record write is retried. The client has its answer then,
 * as send_due_answer() leaves none among the pending actions.
 */
static bool waits_for_record(const order_run_t *run)
{
	return run->order.phase == ORDER_PHASE_RECORD_WAIT;
}

/** Answers the client before the actions that follow, which may take long. */
static void send_due_answer(order_run_t *run)
{
	order_actions_t *actions = &run->actions;

	if (!actions->count || actions->items[0].kind != ORDER_ACTION_ANSWER)
		return;
	send_answer(run, &actions->items[0]);
	actions->count--;
	memmove(&actions->items[0], &actions->items[1],
		actions->count * sizeof(actions->items[0]));
}

/** Performs the pending actions. @return whether the order continues */
static bool perform_actions(order_run_t *run)
{
	order_actions_t actions = run->actions;
	bool has_event = false;

	run->actions.count = 0;
	for (size_t i = 0; i < actions.count; i++) {
		order_event_t event = { 0 };

		if (!perform(run, &actions.items[i], &event))
			continue;
		event.call_id = actions.items[i].call_id;
		order_step(&run->order, &event, clock_now_ms(), &run->actions);
		has_event = true;
	}
	/* Without an event or action the state machine cannot proceed. */
	return !run->finished && (has_event || run->actions.count);
}

static void free_order_run(order_run_t *run)
{
	order_record_free(&run->last_read);
	plain_answer_free(&run->transfer.answer);
	free(run);
}

/** Monotonic end of the pending wait; 0 if none. */
static uint64_t next_wait_end_ms(const order_run_t *run)
{
	const order_action_t *action = &run->actions.items[0];

	return run->actions.count && action->kind == ORDER_ACTION_WAIT
		       ? action->wait.deadline_ms
		       : 0;
}

/** Moves an order whose client has its answer to the backlog. */
static bool hand_to_backlog(order_run_t *run)
{
	if (!run->proxy->backlog || !waits_for_record(run))
		return false;
	run->request = NULL;
	run->transfer.request = NULL;
	/* A record omits a body over the limit. */
	if (run->answer.body_bytes > ORDER_BODY_MAX_BYTES) {
		plain_answer_free(&run->transfer.answer);
		run->answer.body = NULL;
		run->answer.body_bytes = 0;
	}
	if (run->order.attempts == 1)
		event_log(EVENT_ORDER_RECORD_RETRY, "order=%s",
			  run->order.path);
	return order_backlog_add(run->proxy->backlog, run,
				 next_wait_end_ms(run));
}

bool plain_retry_order(void *context, bool last, uint64_t *due_ms)
{
	order_run_t *run = context;
	bool is_pending = true;

	/* The wait has ended, or is skipped for the last attempt. */
	if (next_wait_end_ms(run))
		run->actions.items[0].wait.deadline_ms = 0;
	do
		is_pending = perform_actions(run);
	while (is_pending && !waits_for_record(run));
	if (is_pending && !last) {
		*due_ms = next_wait_end_ms(run);
		return true;
	}
	if (is_pending)
		event_log(EVENT_ORDER_RECORD_FAILED, "order=%s",
			  run->order.path);
	free_order_run(run);
	return false;
}

static void compute_digest(const plain_request_t *request,
			   char digest[HASH_DIGEST_HEX_BYTES])
{
	const server_request_t *client_request = request->client_request;
	crypto_hash_sha256_state state;
	unsigned char bytes[HASH_DIGEST_BYTES];

	crypto_hash_sha256_init(&state);
	crypto_hash_sha256_update(&state,
				  (const unsigned char *)client_request->method,
				  strlen(client_request->method) + 1);
	crypto_hash_sha256_update(&state, (const unsigned char *)request->path,
				  strlen(request->path) + 1);
	crypto_hash_sha256_update(&state,
				  (const unsigned char *)client_request->body,
				  client_request->body_len);
	crypto_hash_sha256_final(&state, bytes);
	sodium_bin2hex(digest, HASH_DIGEST_HEX_BYTES, bytes, sizeof(bytes));
}

/** Whether all endpoints of the claim check fencing numbers. */
static bool all_check_fencing(const order_run_t *run)
{
	const config_t *config = run->request->config;

	for (size_t i = 0; i < run->target_count; i++) {
		int32_t index =
			config_find_endpoint(config, run->targets[i].id);

		if (index == CONFIG_NONE ||
		    !config->endpoints[index].checks_fencing)
			return false;
	}
	return run->target_count > 0;
}

static void begin_order(order_run_t *run)
{
	const plain_request_t *request = run->request;
	const config_t *config = request->config;
	const config_route_t *route = &config->routes[request->route];
	fleet_t *fleet = run->proxy->fleet;
	int pool = fleet_find_pool(fleet, config->pools[route->pool].id);
	char digest[HASH_DIGEST_HEX_BYTES];
	order_request_t order = {
		.customer = config->customers[request->customer].id,
		.key = server_header(request->client_request,
				     "Idempotency-Key"),
		.digest = digest,
		.owner = run->proxy->settings.instance,
		.unix_ms = (int64_t)clock_unix_ms(),
	};

	randombytes_buf(&order.nonce, sizeof(order.nonce));
	compute_digest(request, digest);
	if (pool >= 0)
		run->target_count =
			fleet_list_usable(fleet, pool, run->targets,
					  ORDER_ENDPOINTS_MAX, clock_now_ms());
	for (size_t i = 0; i < run->target_count; i++)
		order.endpoints[i] = run->targets[i].id;
	order.endpoint_count = run->target_count;
	order.endpoints_check_fencing = all_check_fencing(run);
	run->settings = order_default_settings;
	run->settings.endpoint_timeout_ms = route->timeout_ms;
	order_begin(&run->order, &run->settings, &order, clock_now_ms(),
		    &run->actions);
}

void plain_serve_order(const plain_proxy_t *proxy,
		       const plain_request_t *request)
{
	order_run_t *run = proxy->store ? calloc(1, sizeof(*run)) : NULL;
	server_error_t error = {
		.err = proxy->store ? ERR_NO_MEMORY : ERR_STORE_DOWN,
	};

	if (!run) {
		server_answer_error(request->client_request, &error);
		return;
	}
	run->proxy = proxy;
	run->request = request;
	run->transfer = (plain_transfer_t){
		.proxy = proxy,
		.request = request,
		.before_send = before_send,
		.context = run,
		/* The outcome is recorded even if the client disconnects. */
		.ignore_disconnect = true,
		/* A reused connection may be closed by the endpoint during the
		 * send, which would leave the outcome unknown. */
		.fresh_connection = true,
	};
	begin_order(run);
	while (perform_actions(run)) {
		send_due_answer(run);
		if (hand_to_backlog(run))
			return;
	}
	free_order_run(run);
}
