/* The front thread: listeners, signals, periodic work and planned stops. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_allowance.h"
#include "connection/inbound.h"
#include "platform/platform_desired.h"
#include "platform/platform_request.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/log_line.h"
#include "process/metrics.h"
#include "request/exchange.h"
#include "version/view.h"

enum {
	BYTES_PER_MB = 1048576,
	/** Parts of the machine's memory that request bodies, answers that are
	 * buffered for a retry, and unsent answers may take: one of so many. */
	BODIES_MEMORY_PART = 4,
	BUFFERED_ANSWERS_MEMORY_PART = 8,
	UNSENT_MEMORY_PART = 8,
	/** Interval of the front thread's periodic work, ms. */
	TICK_MS = 100,
	/** Interval at which metrics are updated and unneeded outbound
	 * connections are closed, in ticks. */
	SWEEP_INTERVAL_TICKS = 10,
	/** File descriptors reserved for uses other than connections: files,
	 * pipes, other sockets. */
	DESCRIPTORS_RESERVED = 240,
	/** Connections of other instances that forward requests: each request
	 * in progress has one, and some are idle. */
	FORWARD_CONNECTIONS_MAX = 2 * EXCHANGE_FORWARDED_MAX,
	/** Limits until the desired state is known. */
	DEFAULT_HEAD_MAX_BYTES = 16384,
	DEFAULT_BODY_MAX_BYTES = 4194304,
	DEFAULT_HEAD_TIMEOUT_MS = 3000,
	DEFAULT_IDLE_TIMEOUT_MS = 15000,
};

typedef struct front {
	gateway_t *gateway;
	struct event_base *base;
	struct event *tick;
	struct event *signals[3];
	inbound_t *client_listener;
	inbound_t *forward_listener; /**< NULL if there is none. */
	inbound_t *ready_listener;
	inbound_t *metrics_listener;
	exchange_env_t env;
	gateway_allowance_t *allowance;
	store_link_t store; /**< For lookups of streams. */
	inbound_limits_t limits;
	uint32_t ticks;
} front_t;

static inbound_limits_t current_limits(void *context)
{
	const front_t *front = context;

	return front->limits;
}

static void on_request(void *context, inbound_request_t *request)
{
	front_t *front = context;

	exchange_begin(&front->env, request);
}

static void on_client_gone(void *context, inbound_request_t *request)
{
	(void)context;
	exchange_client_gone(request);
}

static void on_client_drained(void *context, inbound_request_t *request)
{
	(void)context;
	exchange_client_drained(request);
}

static void on_request_rejected(void *context, int err,
				struct evbuffer *headers, struct evbuffer *body)
{
	(void)context;
	(void)headers;
	(void)body;
	metrics_count_error(err);
	event_log(EVENT_CLIENT_REFUSED, "kind=%s", error_type(err));
}

static const inbound_callbacks_t client_callbacks = {
	.limits = current_limits,
	.request = on_request,
	.client_gone = on_client_gone,
	.drained = on_client_drained,
	.refused = on_request_rejected,
};

/* Another instance has added lines to the head. */
static inbound_limits_t forward_limits(void *context)
{
	const front_t *front = context;
	inbound_limits_t limits = front->limits;

	limits.head_max_bytes += FORWARD_HEADERS_MAX_BYTES;
	return limits;
}

static void on_forwarded_request(void *context, inbound_request_t *request)
{
	front_t *front = context;

	exchange_begin_forwarded(&front->env, request);
}

static const inbound_callbacks_t forward_callbacks = {
	.limits = forward_limits,
	.request = on_forwarded_request,
	.client_gone = on_client_gone,
	.drained = on_client_drained,
	.refused = on_request_rejected,
};

static bool is_ready(const front_t *front)
{
	view_t *view = view_acquire();
	bool ready = view && !planned_stop_has_begun(&front->env.stop);

	view_put(view);
	return ready;
}

static void on_ready_request(void *context, inbound_request_t *request)
{
	front_t *front = context;

	if (!platform_is_readiness_probe(request->head))
		inbound_answer(request, 404, NULL, NULL, 0);
	else
		inbound_answer(request, is_ready(front) ? 200 : 503, NULL, NULL,
			       0);
}

static void on_metrics_request(void *context, inbound_request_t *request)
{
	char *text = metrics_print();

	(void)context;
	if (!text) {
		inbound_answer(request, 503, NULL, NULL, 0);
		return;
	}
	inbound_answer(request, 200, "Content-Type: text/plain\r\n", text,
		       strlen(text));
	free(text);
}

static void ignore_client_event(void *context, inbound_request_t *request)
{
	(void)context;
	(void)request;
}

static const inbound_callbacks_t ready_callbacks = {
	.limits = current_limits,
	.request = on_ready_request,
	.client_gone = ignore_client_event,
	.drained = ignore_client_event,
	.refused = on_request_rejected,
};

static const inbound_callbacks_t metrics_callbacks = {
	.limits = current_limits,
	.request = on_metrics_request,
	.client_gone = ignore_client_event,
	.drained = ignore_client_event,
	.refused = on_request_rejected,
};

static bool is_endpoint_key_in_use(void *context, const char *key)
{
	const view_t *view = context;

	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		char endpoint_key_text[OUTBOUND_KEY_MAX_BYTES];

		endpoint_incarnation_key(&view->endpoints[i], endpoint_key_text,
					 sizeof(endpoint_key_text));
		if (!strcmp(endpoint_key_text, key))
			return !view->endpoints[i].draining;
	}
	return false;
}

static void apply_view(front_t *front)
{
	view_t *view = view_acquire();
	const desired_limits_t *limits;

	if (!view)
		return;
	limits = &view->desired->limits;
	front->limits.head_max_bytes = limits->header_max_bytes;
	front->limits.body_max_bytes = limits->body_max_bytes;
	front->limits.head_timeout_ms = limits->header_timeout_ms;
	front->limits.idle_timeout_ms = limits->idle_timeout_ms;
	if (front->ticks % SWEEP_INTERVAL_TICKS == 0)
		outbound_sweep(front->env.outbound, is_endpoint_key_in_use,
			       view);
	view_put(view);
}

static void update_metrics(const front_t *front)
{
	const outbound_counts_t *counts = outbound_counts(front->env.outbound);
	uint64_t dropped = log_line_take_dropped();

	metrics_set(METRIC_GATEWAY_REQUESTS, front->env.open_requests);
	metrics_set(METRIC_GATEWAY_CONNECTIONS,
		    inbound_connection_count(front->client_listener));
	metrics_set(METRIC_OUTBOUND_OPENED,
		    (int64_t)counts->connections_opened);
	metrics_set(METRIC_OUTBOUND_REUSED, (int64_t)counts->reused);
	metrics_set(METRIC_OUTBOUND_SKIPPED, (int64_t)counts->answers_skipped);
	if (dropped)
		event_log(EVENT_LOG_DROPPED, "lines=%llu",
			  (unsigned long long)dropped);
}

static void log_stop_limit(const front_t *front,
			   const planned_stop_work_t *work)
{
	if (!work->requests && !work->unsent_bytes)
		return;
	event_log(EVENT_STOP_LIMIT,
		  "requests=%u connections=%u unsent_bytes=%llu",
		  work->requests, work->connections,
		  (unsigned long long)work->unsent_bytes);
	exchange_log_cut(&front->env);
}

static planned_stop_work_t work_left(const front_t *front)
{
	return (planned_stop_work_t){
		.requests = front->env.open_requests,
		.connections = inbound_connection_count(front->client_listener),
		.unsent_bytes = inbound_unsent_bytes(front->client_listener),
	};
}

/* Advances a planned stop, and ends the event loop when nothing is left for
 * clients or the time is up. */
static void continue_stop(front_t *front)
{
	const planned_stop_t *stop = &front->env.stop;
	uint64_t now_ms = clock_now_ms();
	planned_stop_work_t work;

	if (planned_stop_limit_reached(stop, now_ms)) {
		inbound_stop_accepting(front->client_listener);
		inbound_refuse_unread(front->client_listener, ERR_STOPPING);
	}
	if (planned_stop_arrivals_over(stop, now_ms))
		inbound_close_idle(front->client_listener);
	work = work_left(front);
	if (!planned_stop_is_over(stop, &work, now_ms))
		return;
	/* Connections may have been established since the last accept. */
	inbound_stop_accepting(front->client_listener);
	work = work_left(front);
	if (!planned_stop_is_over(stop, &work, now_ms))
		return;
	gateway_allowance_hand_over(front->allowance);
	log_stop_limit(front, &work);
	event_base_loopbreak(front->base);
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	front_t *front = context;
	uint32_t instances = atomic_load(&front->gateway->instances);

	(void)fd;
	(void)what;
	front->ticks++;
	front->env.retry_budget.instances = instances;
	apply_view(front);
	front->env.place = (instance_place_t){
		.rank = atomic_load(&front->gateway->rank),
		.instances = instances,
	};
	front->env.peer_age_ms = atomic_load(&front->gateway->peer_age_ms);
	exchange_tick_crash_evidence(&front->env);
	exchange_withdraw_outdated(&front->env);
	exchange_tick_streams(&front->env);
	exchange_tick_paths(&front->env);
	gateway_allowance_tick(front->allowance);
	if (front->ticks % SWEEP_INTERVAL_TICKS == 0)
		update_metrics(front);
	if (planned_stop_has_begun(&front->env.stop))
		continue_stop(front);
}

static void on_stop_signal(evutil_socket_t number, short what, void *context)
{
	front_t *front = context;

	(void)number;
	(void)what;
	if (planned_stop_has_begun(&front->env.stop))
		return;
	exchange_begin_stop(
		&front->env,
		(uint64_t)(front->gateway->settings.grace_s * 1000));
	atomic_store(&front->gateway->stopping, true);
	inbound_stop(front->client_listener);
	if (front->forward_listener)
		inbound_stop(front->forward_listener);
	gateway_allowance_hand_over(front->allowance);
	event_log(EVENT_STOPPING, "requests=%u connections=%u",
		  front->env.open_requests,
		  inbound_connection_count(front->client_listener));
}

static void on_reload_signal(evutil_socket_t number, short what, void *context)
{
	front_t *front = context;
	gateway_settings_t *current = &front->gateway->settings;
	gateway_settings_t loaded = { 0 };
	const char *argv[] = { "amaranthvale-gateway", NULL };
	int err = gateway_settings_load(&loaded, 1, argv);

	(void)number;
	(void)what;
	if (err >= 0) {
		/* Addresses and names change only with a restart. */
		current->grace_s = loaded.grace_s;
		front->env.retry_budget.ratio = loaded.retry_ratio;
		front->env.retry_budget.slack = (uint32_t)loaded.retry_slack;
	}
	event_log(EVENT_SETTINGS_RELOADED, "result=%s grace_s=%.1f",
		  error_type(err < 0 ? err : 0), current->grace_s);
}

static uint64_t memory_part(const gateway_settings_t *settings, uint32_t part)
{
	return (uint64_t)(settings->memory_mb * BYTES_PER_MB / part);
}

static int open_listener(front_t *front, const char *address_text,
			 uint16_t port, const inbound_callbacks_t *callbacks,
			 uint32_t connections_max, inbound_t **inbound)
{
	const gateway_settings_t *settings = &front->gateway->settings;
	inbound_options_t options = {
		.connections_max = connections_max,
		.body_total_max_bytes =
			memory_part(settings, BODIES_MEMORY_PART),
		.output_high_watermark = INBOUND_OUTPUT_HIGH_WATERMARK_BYTES,
		.output_total_max_bytes =
			memory_part(settings, UNSENT_MEMORY_PART),
		.write_timeout_ms = INBOUND_WRITE_TIMEOUT_MS,
		.callbacks = callbacks,
		.context = front,
	};
	char address_with_port[64];

	if (port) {
		snprintf(address_with_port, sizeof(address_with_port), "%s:%u",
			 address_text, port);
		address_text = address_with_port;
	}
	if (platform_read_address(address_text, &options.address.v4) ||
	    inbound_open(front->base, &options, inbound)) {
		event_log(EVENT_START_FAILED, "listener=%s", address_text);
		return ERR_SETTING;
	}
	return 0;
}

static int open_listeners(front_t *front)
{
	const gateway_settings_t *settings = &front->gateway->settings;
	/* Half of the descriptors for clients, half for endpoints. */
	uint32_t connections =
		settings->descriptors > 2 * DESCRIPTORS_RESERVED
			? (settings->descriptors - DESCRIPTORS_RESERVED) / 2
			: settings->descriptors / 4;
	int err = open_listener(front, settings->listen, 0, &client_callbacks,
				connections, &front->client_listener);

	if (!err)
		err = open_listener(front, settings->ready_listen, 0,
				    &ready_callbacks, 16,
				    &front->ready_listener);
	if (!err && settings->forward_port)
		err = open_listener(front, settings->peer_ip,
				    (uint16_t)settings->forward_port,
				    &forward_callbacks, FORWARD_CONNECTIONS_MAX,
				    &front->forward_listener);
	if (!err && settings->metrics_port)
		err = open_listener(front, settings->peer_ip,
				    (uint16_t)settings->metrics_port,
				    &metrics_callbacks, 8,
				    &front->metrics_listener);
	return err;
}

static int add_timers_and_signals(front_t *front)
{
	struct timeval tick = { .tv_usec = TICK_MS * 1000 };

	front->tick = event_new(front->base, -1, EV_PERSIST, on_tick, front);
	front->signals[0] =
		evsignal_new(front->base, SIGTERM, on_stop_signal, front);
	front->signals[1] =
		evsignal_new(front->base, SIGINT, on_stop_signal, front);
	front->signals[2] =
		evsignal_new(front->base, SIGHUP, on_reload_signal, front);
	if (!front->tick || event_add(front->tick, &tick))
		return ERR_NO_MEMORY;
	for (size_t i = 0; i < 3; i++) {
		if (!front->signals[i] || event_add(front->signals[i], NULL))
			return ERR_NO_MEMORY;
	}
	return 0;
}

/* The control thread handles the eras of the store. */
static void on_store_era(void *context)
{
	(void)context;
}

static int open_store(front_t *front)
{
	front->store = (store_link_t){
		.outbound = front->env.outbound,
		.base = front->base,
		.era_changed = on_store_era,
	};
	if (gateway_store_target(front->gateway, &front->store.target))
		return ERR_SETTING;
	return stream_lookups_init(&front->env.stream_lookups, front->base,
				   &front->store);
}

static int front_open(front_t *front)
{
	const gateway_settings_t *settings = &front->gateway->settings;
	int err;

	front->base = event_base_new();
	if (!front->base)
		return ERR_NO_MEMORY;
	front->limits = (inbound_limits_t){ DEFAULT_HEAD_MAX_BYTES,
					    DEFAULT_BODY_MAX_BYTES,
					    DEFAULT_HEAD_TIMEOUT_MS,
					    DEFAULT_IDLE_TIMEOUT_MS, 0 };
	front->env.base = front->base;
	front->env.domain = settings->domain;
	front->env.weights_ms = (uint32_t)settings->weights_ms;
	front->env.own_hints = &front->gateway->own_hints;
	front->env.peer_hints = &front->gateway->peer_hints;
	front->env.own_crash_news = &front->gateway->own_crash_news;
	front->env.peer_crash_news = &front->gateway->peer_crash_news;
	front->env.crash_snapshots = &front->gateway->crash_snapshots;
	front->env.own_streams = &front->gateway->own_streams;
	front->env.stream_policy = &front->gateway->stream_policy;
	front->env.lost_services = &front->gateway->lost_services;
	front->env.forward_slot = &front->gateway->forward_slot;
	crash_evidence_init(&front->env.crash_evidence);
	front->env.place.instances = 1;
	front->env.buffered_max_bytes =
		memory_part(settings, BUFFERED_ANSWERS_MEMORY_PART);
	front->env.limit_turns = &front->gateway->limit_turns;
	front->env.save_budget.refilled_ms = clock_now_ms();
	front->env.fetch_budget.refilled_ms = clock_now_ms();
	cache_index_init(&front->env.cache_index);
	front->env.outbound = outbound_open(front->base);
	rng_init(&front->env.rng, rng_system_seed());
	retry_budget_init(&front->env.retry_budget, settings->retry_ratio,
			  (uint32_t)settings->retry_slack,
			  (uint32_t)(settings->retry_window_s * 1000),
			  clock_now_ms());
	if (!front->env.outbound)
		return ERR_NO_MEMORY;
	front->allowance = gateway_allowance_open(front->gateway, &front->env);
	if (!front->allowance)
		return ERR_SETTING;
	err = open_store(front);
	return err ? err : open_listeners(front);
}

static void front_close(front_t *front)
{
	for (size_t i = 0; i < 3; i++) {
		if (front->signals[i])
			event_free(front->signals[i]);
	}
	if (front->tick)
		event_free(front->tick);
	if (front->client_listener)
		inbound_close(front->client_listener);
	if (front->forward_listener)
		inbound_close(front->forward_listener);
	if (front->ready_listener)
		inbound_close(front->ready_listener);
	if (front->metrics_listener)
		inbound_close(front->metrics_listener);
	gateway_allowance_close(front->allowance);
	stream_lookups_free(&front->env.stream_lookups);
	stream_table_free(&front->env.streams);
	free(front->env.forward_peers);
	if (front->env.outbound)
		outbound_close(front->env.outbound);
	retry_budget_free(&front->env.retry_budget);
	if (front->base)
		event_base_free(front->base);
}

int gateway_front_run(gateway_t *gateway)
{
	static front_t front;
	int err;

	front.gateway = gateway;
	err = front_open(&front);
	if (!err)
		err = add_timers_and_signals(&front);
	if (!err)
		event_base_dispatch(front.base);
	front_close(&front);
	return err;
}
