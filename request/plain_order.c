/* Runs the order state machine for one call: store, connection, caller. */
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
#include "request/plain.h"
#include "request/plain_fencing.h"

typedef struct order_run {
	const plain_t *plain;
	const plain_request_t *request;
	order_settings_t settings;
	order_t order;
	order_actions_t actions; /**< To be performed next. */
	plain_transfer_t transfer;
	order_answer_t answer;	  /**< The endpoint's, lives to the end. */
	order_record_held_t held; /**< Record read last. */
	fleet_target_t targets[ORDER_ENDPOINTS_MAX];
	size_t target_count;
	uint32_t connect_call;
	bool was_connected;
	bool may_send;
	bool finished;
} order_run_t;

static void sleep_until(uint64_t until_ms)
{
	struct timespec until = {
		.tv_sec = (time_t)(until_ms / 1000),
		.tv_nsec = (long)(until_ms % 1000) * 1000000L,
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
		event.written.result = store_client_update(
			run->plain->store, STORE_PURPOSE_ORDER, run->order.path,
			value, version, &event.written.version);
	else
		event.written.result = store_client_create(
			run->plain->store, STORE_PURPOSE_ORDER, run->order.path,
			value, &event.written.version);
	return event;
}

static order_event_t read_record(order_run_t *run)
{
	order_event_t event = { .kind = ORDER_EVENT_READ };
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	int err = store_client_get(run->plain->store, STORE_PURPOSE_ORDER,
				   run->order.path, &object);

	order_record_free(&run->held);
	if (!err) {
		err = order_record_from_json(object.value, &run->held);
		event.read.version = object.version;
		event.read.record = &run->held.record;
	}
	event.read.result = err;
	event.read.unix_ms = (int64_t)clock_unix_ms();
	return event;
}

/**
 * Last step before the first byte: the state machine checks its claim against
 * the clock and answers with a send or with what to do instead.
 */
static int before_send(void *context)
{
	order_run_t *run = context;
	order_event_t event = {
		.kind = ORDER_EVENT_CONNECTED,
		.call = run->connect_call,
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

/** Keeps the answer's headers as far as a record has room for them. */
static void keep_answer(order_run_t *run)
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

static endpoint_outcome_t outcome_of(const order_run_t *run,
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

static void transfer_to(order_run_t *run, const fleet_target_t *target,
			uint64_t send_by_ms, upstream_result_t *result)
{
	plain_transfer_t *transfer = &run->transfer;
	fleet_choice_t choice = { 0 };
	uint64_t now_ms = clock_now_ms();
	uint64_t left_ms = send_by_ms > now_ms ? send_by_ms - now_ms : 1;
	uint32_t connect_ms = run->plain->settings.connect_timeout_ms;

	transfer->connect_timeout_ms =
		left_ms < connect_ms ? (uint32_t)left_ms : connect_ms;
	transfer->deadline_ms = now_ms + transfer->connect_timeout_ms +
				run->settings.endpoint_timeout_ms;
	transfer->fencing = run->order.claim.claim_fencing;
	fleet_sent(run->plain->fleet, target, now_ms, &choice);
	plain_send(transfer, target, result);
	fleet_ended(run->plain->fleet, &choice, NULL, outcome_of(run, result),
		    clock_now_ms());
}

/** @return whether there is an event; else `actions` are to be performed */
static bool connect_and_send(order_run_t *run, const order_action_t *action,
			     order_event_t *event)
{
	const fleet_target_t *target =
		find_target(run, action->connect.endpoint);
	upstream_result_t result = { .err = ERR_CONNECT };

	run->connect_call = action->call;
	run->was_connected = false;
	run->may_send = false;
	if (target)
		transfer_to(run, target, action->connect.send_by_ms, &result);
	if (run->was_connected && !run->may_send)
		return false;
	*event = (order_event_t){ .kind = ORDER_EVENT_CONNECT_FAILED };
	if (!run->was_connected)
		return true;
	event->kind = ORDER_EVENT_LOST;
	if (result.err)
		return true;
	keep_answer(run);
	event->kind = ORDER_EVENT_ANSWERED;
	event->answered.answer = &run->answer;
	event->answered.not_run = run->transfer.answer.is_not_run;
	return true;
}

static void reply(const order_run_t *run, const order_action_t *action)
{
	server_request_t *caller = run->request->caller;
	const order_answer_t *answer = action->reply.answer;
	server_error_t error = { .err = action->reply.err };
	char headers[ORDER_HEADERS_MAX_BYTES + 64];

	if (action->reply.err || !answer) {
		if (!error.err)
			error.err = ERR_ORDER_UNKNOWN;
		if (error.err == ERR_ORDER_UNKNOWN)
			event_log(EVENT_ORDER_UNKNOWN, "order=%s",
				  run->order.path);
		if (error.err == ERR_KEY_REUSED)
			event_log(EVENT_ORDER_KEY_REUSED, "order=%s",
				  run->order.path);
		server_answer_error(caller, &error);
		return;
	}
	snprintf(headers, sizeof(headers), "%sX-Run-State: ran\r\n%s",
		 answer->headers,
		 answer->body_omitted ? "X-Body-Omitted: 1\r\n" : "");
	server_answer(caller, answer->http_status, NULL, headers,
		      answer->body ? answer->body : "", answer->body_bytes);
}

/** Asks an endpoint of the claim; one that is not known gives no proof. */
static order_proof_t ask(const order_run_t *run, const order_action_t *action)
{
	const config_t *config = run->request->config;
	int32_t index = config_find_endpoint(config, action->ask.endpoint);
	plain_fencing_t question = {
		.key = server_header(run->request->caller, "Idempotency-Key"),
		.number = action->ask.fencing,
		.connect_timeout_ms = run->plain->settings.connect_timeout_ms,
		.answer_timeout_ms = run->settings.endpoint_timeout_ms,
	};

	if (index == CONFIG_NONE || !config->endpoints[index].checks_fencing)
		return ORDER_PROOF_NONE;
	return plain_fencing_ask(run->plain->pool, &config->endpoints[index],
				 &question);
}

/** Logs what an operator should know about a write of the record. */
static void log_write(const order_run_t *run, const order_action_t *action,
		      const order_event_t *event)
{
	const order_record_t *record = &action->write.record;

	if (record->state == ORDER_STATE_OPEN &&
	    event->written.result == ERR_STORE_UNKNOWN)
		event_log(EVENT_ORDER_CLAIM_LOST, "order=%s", run->order.path);
	/* Only a claim of another request has another nonce. */
	if (record->state == ORDER_STATE_UNKNOWN && !event->written.result &&
	    record->nonce != run->order.claim.nonce)
		event_log(EVENT_ORDER_CLOSED, "order=%s", run->order.path);
}

/** Performs one action. @return whether it gave an event */
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
		sleep_until(action->wait.until_ms);
		*event = (order_event_t){ .kind = ORDER_EVENT_TIMER };
		return true;
	case ORDER_ACTION_CONNECT:
		return connect_and_send(run, action, event);
	case ORDER_ACTION_ASK:
		*event = (order_event_t){ .kind = ORDER_EVENT_ASKED,
					  .asked.proof = ask(run, action) };
		return true;
	case ORDER_ACTION_REPLY:
		reply(run, action);
		return false;
	case ORDER_ACTION_FINISH:
		run->finished = true;
		if (!action->finish.recorded)
			event_log(EVENT_ORDER_RECORD_FAILED, "order=%s",
				  run->order.path);
		return false;
	case ORDER_ACTION_SEND:
	case ORDER_ACTION_CLOSE:
		/* Done by the transfer that asked before sending. */
		return false;
	}
	return false;
}

/** Whether all that is left is to write the record after a wait. */
static bool waits_for_record(const order_run_t *run)
{
	return run->order.replied &&
	       run->order.phase == ORDER_PHASE_RECORD_WAIT;
}

/** Performs the pending actions. @return whether the order goes on */
static bool drive_once(order_run_t *run)
{
	order_actions_t actions = run->actions;
	bool has_event = false;

	run->actions.count = 0;
	for (size_t i = 0; i < actions.count; i++) {
		order_event_t event = { 0 };

		if (!perform(run, &actions.items[i], &event))
			continue;
		event.call = actions.items[i].call;
		order_step(&run->order, &event, clock_now_ms(), &run->actions);
		has_event = true;
	}
	/* Without either, the state machine would wait for ever. */
	return !run->finished && (has_event || run->actions.count);
}

static void free_run(order_run_t *run)
{
	order_record_free(&run->held);
	plain_answer_free(&run->transfer.answer);
	free(run);
}

/** Time of the wait that comes next; 0 if none does. */
static uint64_t wait_end(const order_run_t *run)
{
	const order_action_t *action = &run->actions.items[0];

	return run->actions.count && action->kind == ORDER_ACTION_WAIT
		       ? action->wait.until_ms
		       : 0;
}

/** Hands the rest of an answered order over to the backlog. */
static bool hand_over(order_run_t *run)
{
	if (!run->plain->backlog || !waits_for_record(run))
		return false;
	run->request = NULL;
	run->transfer.request = NULL;
	/* A record leaves out a body over the limit. */
	if (run->answer.body_bytes > ORDER_BODY_MAX_BYTES) {
		plain_answer_free(&run->transfer.answer);
		run->answer.body = NULL;
		run->answer.body_bytes = 0;
	}
	if (run->order.attempts == 1)
		event_log(EVENT_ORDER_RECORD_RETRY, "order=%s",
			  run->order.path);
	return order_backlog_add(run->plain->backlog, run, wait_end(run));
}

bool plain_retry_order(void *context, bool last, uint64_t *due_ms)
{
	order_run_t *run = context;
	bool goes_on = true;

	/* The wait is over, or is cut short for the last try. */
	if (wait_end(run))
		run->actions.items[0].wait.until_ms = 0;
	do
		goes_on = drive_once(run);
	while (goes_on && !waits_for_record(run));
	if (goes_on && !last) {
		*due_ms = wait_end(run);
		return true;
	}
	if (goes_on)
		event_log(EVENT_ORDER_RECORD_FAILED, "order=%s",
			  run->order.path);
	free_run(run);
	return false;
}

static void digest_request(const plain_request_t *request,
			   char digest[HASH_DIGEST_HEX_BYTES])
{
	const server_request_t *caller = request->caller;
	crypto_hash_sha256_state state;
	unsigned char bytes[HASH_DIGEST_BYTES];

	crypto_hash_sha256_init(&state);
	crypto_hash_sha256_update(&state, (const unsigned char *)caller->method,
				  strlen(caller->method) + 1);
	crypto_hash_sha256_update(&state, (const unsigned char *)request->path,
				  strlen(request->path) + 1);
	crypto_hash_sha256_update(&state, (const unsigned char *)caller->body,
				  caller->body_len);
	crypto_hash_sha256_final(&state, bytes);
	sodium_bin2hex(digest, HASH_DIGEST_HEX_BYTES, bytes, sizeof(bytes));
}

/** Whether all endpoints of the claim refuse old fencing numbers. */
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

static void begin(order_run_t *run)
{
	const plain_request_t *request = run->request;
	const config_t *config = request->config;
	const config_route_t *route = &config->routes[request->route];
	fleet_t *fleet = run->plain->fleet;
	int pool = fleet_find_pool(fleet, config->pools[route->pool].id);
	char digest[HASH_DIGEST_HEX_BYTES];
	order_request_t order = {
		.customer = config->customers[request->customer].id,
		.key = server_header(request->caller, "Idempotency-Key"),
		.digest = digest,
		.owner = run->plain->settings.instance,
		.unix_ms = (int64_t)clock_unix_ms(),
	};

	randombytes_buf(&order.nonce, sizeof(order.nonce));
	digest_request(request, digest);
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

void plain_serve_order(const plain_t *plain, const plain_request_t *request)
{
	order_run_t *run = plain->store ? calloc(1, sizeof(*run)) : NULL;
	server_error_t error = {
		.err = plain->store ? ERR_NO_MEMORY : ERR_STORE_DOWN,
	};

	if (!run) {
		server_answer_error(request->caller, &error);
		return;
	}
	run->plain = plain;
	run->request = request;
	run->transfer = (plain_transfer_t){
		.plain = plain,
		.request = request,
		.before_send = before_send,
		.context = run,
		/* The outcome is recorded whether or not the caller waits. */
		.keep_caller = true,
		/* On a kept connection that just closes, the order is lost and
		 * its outcome unknown. */
		.fresh_connection = true,
	};
	begin(run);
	while (drive_once(run)) {
		if (hand_over(run))
			return;
	}
	free_run(run);
}
