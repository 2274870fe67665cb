/* Requests that are forwarded to another instance because this one has lost the
 * paths to the endpoints. */
#include "request/exchange_job.h"

#include <stdio.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** Connections to one peer, each with one request. */
	FORWARD_CONNECTIONS_MAX = 64,
	/** The list of peers is kept up to date for this long after a failed
	 * path, ms. */
	PEERS_WANTED_MS = 10000,
};

static uint64_t service_hash(const exchange_t *exchange)
{
	return hash_string(
		exchange->view->desired->services[exchange->service].name);
}

static void publish_lost(exchange_env_t *env)
{
	uint64_t services[SERVICE_PATHS_MAX];
	size_t count = service_path_list_lost(&env->service_paths, services,
					      SERVICE_PATHS_MAX);

	lost_services_set(env->lost_services, services, count);
}

static void log_path(const exchange_t *exchange, bool lost)
{
	event_log(lost ? EVENT_PATHS_LOST : EVENT_PATHS_BACK,
		  "service=%s id=%s",
		  exchange->view->desired->services[exchange->service].name,
		  exchange->id);
	publish_lost(exchange->env);
}

void exchange_path_answered(exchange_t *exchange)
{
	if (service_path_answered(&exchange->env->service_paths,
				  service_hash(exchange), clock_now_ms()))
		log_path(exchange, false);
}

void exchange_path_failed(exchange_t *exchange, path_failure_t failure)
{
	exchange_env_t *env = exchange->env;
	uint64_t now_ms = clock_now_ms();

	exchange->unreached = true;
	env->path_failed_ms = now_ms;
	atomic_store(&env->forward_slot->wanted, true);
	if (service_path_failed(&env->service_paths, service_hash(exchange),
				exchange->endpoint->load->id_hash,
				exchange->view->groups[exchange->service].count,
				failure, now_ms))
		log_path(exchange, true);
}

bool exchange_avoids_paths(exchange_t *exchange, uint64_t now_ms)
{
	service_paths_t *paths = &exchange->env->service_paths;
	uint64_t service = service_hash(exchange);

	exchange->probes_path = false;
	if (!service_path_is_lost(paths, service))
		return false;
	exchange->probes_path = service_path_take_probe(
		paths, service, exchange_is_repeatable(exchange), now_ms);
	return !exchange->probes_path;
}

void exchange_tick_paths(exchange_env_t *env)
{
	uint64_t now_ms = clock_now_ms();

	forward_slot_update(env->forward_slot, &env->forward_peers);
	if (now_ms - env->path_failed_ms > PEERS_WANTED_MS &&
	    !atomic_load(&env->lost_services->count))
		atomic_store(&env->forward_slot->wanted, false);
}

/* The peer's answer. */

static void on_peer_head(void *context, const http_head_t *head)
{
	exchange_t *exchange = context;
	struct evbuffer *lines;

	platform_read_answer(head, &exchange->answer);
	exchange->has_answer_head = true;
	exchange->status = head->status;
	exchange->attempt_deadline_ms = 0;
	exchange_arm_timer(exchange);
	/* Without a receipt it is an error of the peer itself. */
	if (!exchange->answer.has_response_stamp || !exchange->request)
		return;
	lines = evbuffer_new();
	platform_write_answer(lines, head);
	inbound_begin(exchange->request, head->status, lines,
		      head->content_length);
	exchange->relay_started = true;
	evbuffer_free(lines);
}

static void on_peer_body(void *context, const char *bytes, size_t len)
{
	exchange_t *exchange = context;

	if (exchange->relay_started && exchange->request &&
	    !inbound_write(exchange->request, bytes, len))
		outbound_pause(exchange->call);
}

static void on_peer_refusal(exchange_t *exchange)
{
	exchange_log_failure(exchange, "peer_refused");
	if (exchange->answer.not_run)
		exchange_after_attempt(exchange, ATTEMPT_NOT_RUN);
	else
		exchange_refuse(exchange,
				exchange->status == HTTP_STATUS_GATEWAY_TIMEOUT
					? ERR_TIMEOUT
					: ERR_ENDPOINT_LOST);
}

static void on_peer_end(void *context, outbound_result_t result)
{
	exchange_t *exchange = context;

	exchange->call = NULL;
	switch (result) {
	case OUTBOUND_COMPLETE:
		if (exchange->answer.has_response_stamp)
			exchange_finish(exchange);
		else
			on_peer_refusal(exchange);
		return;
	case OUTBOUND_NOT_SENT:
		exchange_log_failure(exchange, "peer_not_sent");
		exchange_after_attempt(exchange, ATTEMPT_NOT_SENT);
		return;
	case OUTBOUND_LOST:
	case OUTBOUND_MALFORMED:
		exchange_log_failure(exchange, "peer_lost");
		/* Which events the client has is not known here. */
		if (exchange->relay_started)
			exchange_refuse(exchange, ERR_ENDPOINT_LOST);
		else
			exchange_after_attempt(exchange, ATTEMPT_UNKNOWN);
		return;
	}
}

static const outbound_callbacks_t peer_callbacks = {
	.matches_call = exchange_is_answer_to_request,
	.head = on_peer_head,
	.body = on_peer_body,
	.end = on_peer_end,
};

/* Sending. */

static int send_to_peer(exchange_t *exchange, const forward_peer_t *peer,
			uint64_t now_ms)
{
	const http_head_t *head = exchange->request->head;
	struct evbuffer *body = exchange->request->body;
	struct evbuffer *message = evbuffer_new();
	outbound_target_t target = {
		.address.v4 = peer->address,
		.connections_max = FORWARD_CONNECTIONS_MAX,
		.connect_timeout_ms = EXCHANGE_CONNECT_TIMEOUT_MS,
		.user_timeout_ms = EXCHANGE_USER_TIMEOUT_MS,
	};
	forward_headers_t headers = {
		.deadline_ms = (uint32_t)exchange_time_left(exchange, now_ms),
		.runs = exchange->runs,
		.body_bytes = body ? evbuffer_get_length(body) : 0,
	};
	int err;

	if (!message)
		return ERR_NO_MEMORY;
	snprintf(target.key, sizeof(target.key), "peer %016llx",
		 (unsigned long long)peer->incarnation);
	platform_write_forward(message, head, &headers);
	if (body)
		evbuffer_add_buffer_reference(message, body);
	err = outbound_send(exchange->env->outbound, &target, message, false,
			    head->method == HTTP_HEAD, &peer_callbacks,
			    exchange, &exchange->call);
	evbuffer_free(message);
	return err;
}

static void start_forward(exchange_t *exchange, uint64_t now_ms)
{
	exchange->runs++;
	exchange->sent_ms = now_ms;
	exchange->has_answer_head = false;
	exchange->status = 0;
	exchange->last_chunk_ms = 0;
	exchange->begun_ms = 0;
	exchange_set_attempt_deadline(exchange, now_ms, 0);
	exchange_arm_timer(exchange);
}

bool exchange_forward(exchange_t *exchange, uint64_t now_ms)
{
	exchange_env_t *env = exchange->env;

	/* A request is forwarded once, so that it cannot circulate. */
	if (exchange->forwarded || exchange->relay_started ||
	    !exchange->request)
		return false;
	forward_slot_update(env->forward_slot, &env->forward_peers);
	while (exchange->tried_peer_count < EXCHANGE_PEERS_MAX) {
		const forward_peer_t *peer = forward_peers_select(
			env->forward_peers, service_hash(exchange),
			exchange->tried_peers, exchange->tried_peer_count,
			&env->rng);
		int err;

		if (!peer)
			return false;
		exchange->tried_peers[exchange->tried_peer_count++] =
			peer->incarnation;
		err = send_to_peer(exchange, peer, now_ms);
		event_log(EVENT_REQUEST_FORWARDED,
			  "id=%s peer=%016llx runs=%u left_ms=%llu err=%s",
			  exchange->id, (unsigned long long)peer->incarnation,
			  exchange->runs,
			  (unsigned long long)exchange_time_left(exchange,
								 now_ms),
			  error_type(err));
		if (err)
			continue;
		metrics_add(METRIC_REQUESTS_FORWARDED, 1);
		start_forward(exchange, now_ms);
		return true;
	}
	return false;
}
