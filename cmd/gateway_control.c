/* The control thread: watches of the store, new views and periodic work. */
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_archive.h"
#include "cmd/gateway_control.h"
#include "cmd/gateway_streams.h"
#include "platform/platform_desired.h"
#include "platform/platform_objects.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "process/store_revision.h"
#include "request/exchange.h"

enum {
	/** Interval of the control thread's periodic work, ms. It is shorter
	 * until the instance is first ready, because it bounds how fast the
	 * instance starts. */
	TICK_MS = 100,
	START_TICK_MS = 20,
	/** Entries that expired during a store outage are kept for this long,
	 * ms: the endpoints write them again within about two seconds after
	 * the store returns. */
	EXPIRED_KEEP_MS = 2100,
	/** Connections to the store: one per watch, and some for calls. */
	STORE_CONNECTIONS_MAX = 12,
	STORE_CONNECT_MS = 500,
	/** Sent bytes may stay unacknowledged for this long before the
	 * connection is closed, ms. */
	STORE_USER_TIMEOUT_MS = 1500,
	/** Minimum interval between two watch calls, ms: a quarter of the time
	 * within which a leaving endpoint must stop getting requests, and a
	 * tenth of the time limit for a configuration change. */
	ENDPOINTS_MIN_INTERVAL_MS = 500,
	CHANGES_MIN_INTERVAL_MS = 150,
	/** Longest time that a watch of the members waits for a change, ms. It
	 * is long because each call has a price. The margin is added to it for
	 * the timeout of the answer. */
	MEMBERS_WAIT_MS = 20000,
	MEMBERS_ANSWER_MARGIN_MS = 1500,
	/** Likewise for endpoints and weights. A call that the store receives
	 * while it is silent is never answered, and changes are not known
	 * until it times out. With the time for which removals are held then,
	 * this is less than 5 s: instances are held to the limit of 2 s for a
	 * leaving endpoint once the store has been stable for 3 s. */
	CHANGES_WAIT_MS = 2200,
	/** The watch of the desired state also detects when the store no longer
	 * answers this instance. Its wait is shorter because other instances
	 * depend on this one for changes, which have to arrive within 2 s. A
	 * slow store answers within 300 ms. */
	PROBE_WAIT_MS = 1000,
	ANSWER_MARGIN_MS = 450,
	/** Outdated weights are no longer used from this long before the end of
	 * the settling time after a start, ms. */
	STABLE_MARGIN_MS = 300,
};

static const object_kind_t watched_kinds[] = { OBJECT_DESIRED, OBJECT_ENDPOINTS,
					       OBJECT_WEIGHTS, OBJECT_MEMBERS };

#define WATCHED_KIND_COUNT (sizeof(watched_kinds) / sizeof(watched_kinds[0]))

static void on_rebuild(evutil_socket_t fd, short what, void *context)
{
	gateway_control_t *control = context;
	uint64_t now_ms = clock_now_ms();
	int err;

	(void)fd;
	(void)what;
	gateway_streams_view_changes(control->streams);
	err = view_builder_publish(&control->view_builder, now_ms);
	if (!err)
		gateway_streams_view_changed(control->streams, now_ms);
	if (!err && !control->was_ready) {
		control->was_ready = true;
		event_log(EVENT_READY, "desired_version=%llu",
			  (unsigned long long)
				  control->view_builder.desired->version);
	}
}

void gateway_control_rebuild(gateway_control_t *control)
{
	struct timeval now = { 0 };

	if (!evtimer_pending(control->rebuild, NULL))
		evtimer_add(control->rebuild, &now);
}

static void on_table_changed(void *context, object_kind_t kind)
{
	gateway_control_t *control = context;

	/* A view does not depend on the members. */
	if (kind != OBJECT_MEMBERS)
		gateway_control_rebuild(context);
	/* Notifies the instances that do not watch the store. */
	gateway_peers_announce(control->peers);
}

void gateway_control_watch(gateway_control_t *control, bool watching)
{
	for (size_t i = 0; i < WATCHED_KIND_COUNT; i++) {
		/* Until the members are known, there is no peer to fetch them
		 * from. They are listed only after this instance has
		 * registered, so that of two instances that start at the same
		 * time the one that registers later sees the other. */
		bool needed =
			watched_kinds[i] == OBJECT_MEMBERS &&
			gateway_members_registered(control->peers) &&
			!control->view_builder.tables[OBJECT_MEMBERS].complete;

		object_watch_set_active(control->watches[watched_kinds[i]],
					watching || needed);
	}
}

bool gateway_control_store_reachable(const gateway_control_t *control)
{
	for (size_t i = 0; i < WATCHED_KIND_COUNT; i++) {
		if (object_watch_is_failing(control->watches[watched_kinds[i]]))
			return false;
	}
	return object_watch_is_in_contact(control->watches[OBJECT_DESIRED]);
}

/* Once the watch of the endpoints has got an answer, its open call would get
 * the changes; that the store still answers is seen by any watch. */
uint64_t gateway_control_list_checked_ms(const gateway_control_t *control)
{
	uint64_t checked_ms = 0;

	if (!object_watch_checked_ms(control->watches[OBJECT_ENDPOINTS]) ||
	    object_watch_is_failing(control->watches[OBJECT_ENDPOINTS]))
		return 0;
	for (size_t i = 0; i < WATCHED_KIND_COUNT; i++) {
		uint64_t kind_ms = object_watch_checked_ms(
			control->watches[watched_kinds[i]]);

		if (checked_ms < kind_ms)
			checked_ms = kind_ms;
	}
	return checked_ms;
}

store_contact_t gateway_control_store_contact(const gateway_control_t *control)
{
	store_contact_t contact = { 0 };
	bool in_contact = false;

	for (size_t i = 0; i < WATCHED_KIND_COUNT; i++) {
		const object_watch_t *watch =
			control->watches[watched_kinds[i]];

		in_contact |= object_watch_is_in_contact(watch);
		contact.fails |= object_watch_is_failing(watch);
	}
	/* The watch of the desired state has the shortest wait, so that it
	 * notices an outage first. */
	contact.answers =
		object_watch_is_in_contact(control->watches[OBJECT_DESIRED]) ||
		(in_contact && control->last_change_answered);
	contact.fails &= !contact.answers;
	return contact;
}

store_call_t *gateway_control_store_call(gateway_control_t *control,
					 struct evbuffer *message,
					 store_call_fn *done, void *context)
{
	return store_call_send(&control->store, message, OBJECT_CALL_TIMEOUT_MS,
			       done, context);
}

static void on_store_era(void *context)
{
	const gateway_control_t *control = context;

	metrics_set(METRIC_STORE_ERA, (int64_t)control->store.era);
	event_log(EVENT_STORE_ERA, "era=%llu",
		  (unsigned long long)control->store.era);
	gateway_rollout_store_era(control->rollout);
	for (size_t i = 0; i < WATCHED_KIND_COUNT; i++)
		object_watch_check_era(control->watches[watched_kinds[i]]);
}

/* Holds removals after an outage: those of endpoints that could not renew their
 * entries are among them. */
static void update_outage(gateway_control_t *control, uint64_t now_ms)
{
	store_contact_t contact = gateway_control_store_contact(control);
	store_outage_change_t change;

	gateway_peers_store_contact(control->peers, now_ms, &contact);
	change = store_outage_update(&control->outage, contact);
	if (change == STORE_OUTAGE_SAME)
		return;
	for (int i = 0; change == STORE_OUTAGE_ENDED && i < OBJECT_KIND_COUNT;
	     i++)
		object_table_hold(&control->view_builder.tables[i], now_ms);
	event_log(EVENT_STORE_DOWN_FOR_ALL, "down=%d", control->outage.active);
}

static void on_store_contact(void *context, object_kind_t kind, int err)
{
	gateway_control_t *control = context;

	event_log(EVENT_STORE_CONTACT,
		  "kind=%s result=%s era=%llu revision=%llu",
		  object_kind_name(kind), error_type(err),
		  (unsigned long long)control->store.era,
		  (unsigned long long)store_revision_number(
			  control->view_builder.tables[kind].revision));
	control->last_change_answered = !err;
	update_outage(control, clock_now_ms());
	gateway_peers_send_heartbeat(control->peers);
}

static int schedule_tick(gateway_control_t *control, uint32_t after_ms)
{
	struct timeval after = { .tv_usec = (suseconds_t)after_ms * 1000 };

	return evtimer_add(control->tick, &after);
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	gateway_control_t *control = context;
	uint64_t now_ms = clock_now_ms();

	(void)fd;
	(void)what;
	if (atomic_load(&control->stop_requested)) {
		event_base_loopbreak(control->base);
		return;
	}
	view_builder_tick(&control->view_builder, now_ms);
	update_outage(control, now_ms);
	for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
		if (object_table_expire(&control->view_builder.tables[i],
					now_ms))
			gateway_control_rebuild(control);
	}
	if (atomic_load(&control->gateway->stopping) &&
	    !control->lease_released) {
		control->lease_released = true;
		gateway_rollout_release(control->rollout);
		gateway_peers_send_heartbeat(control->peers);
	}
	gateway_peers_tick(control->peers, now_ms);
	gateway_rollout_tick(control->rollout, now_ms);
	gateway_archive_tick(control->archive, now_ms);
	gateway_streams_tick(control->streams, now_ms);
	schedule_tick(control, control->was_ready ? TICK_MS : START_TICK_MS);
}

static uint32_t watch_wait_ms(object_kind_t kind)
{
	switch (kind) {
	case OBJECT_DESIRED:
		return PROBE_WAIT_MS;
	case OBJECT_MEMBERS:
		return MEMBERS_WAIT_MS;
	default:
		return CHANGES_WAIT_MS;
	}
}

static int start_watches(gateway_control_t *control)
{
	object_watch_options_t options = {
		.store = &control->store,
		.rng = &control->rng,
		.changed = on_table_changed,
		.contact_changed = on_store_contact,
		.context = control,
	};

	for (size_t i = 0; i < WATCHED_KIND_COUNT; i++) {
		options.kind = watched_kinds[i];
		options.min_interval_ms = watched_kinds[i] == OBJECT_ENDPOINTS
						  ? ENDPOINTS_MIN_INTERVAL_MS
						  : CHANGES_MIN_INTERVAL_MS;
		options.wait_ms = watch_wait_ms(watched_kinds[i]);
		options.answer_margin_ms = watched_kinds[i] == OBJECT_MEMBERS
						   ? MEMBERS_ANSWER_MARGIN_MS
						   : ANSWER_MARGIN_MS;
		options.probe_first = watched_kinds[i] == OBJECT_DESIRED ||
				      watched_kinds[i] == OBJECT_ENDPOINTS;
		options.table = &control->view_builder.tables[watched_kinds[i]];
		control->watches[watched_kinds[i]] =
			object_watch_start(&options);
		if (!control->watches[watched_kinds[i]])
			return ERR_NO_MEMORY;
	}
	return 0;
}

static void control_free(gateway_control_t *control)
{
	gateway_peers_close(control->peers);
	gateway_rollout_close(control->rollout);
	gateway_archive_close(control->archive);
	gateway_streams_close(control->streams);
	for (int i = 0; i < OBJECT_KIND_COUNT; i++)
		object_watch_stop(control->watches[i]);
	if (control->tick)
		event_free(control->tick);
	if (control->rebuild)
		event_free(control->rebuild);
	if (control->outbound)
		outbound_close(control->outbound);
	if (control->base)
		event_base_free(control->base);
	view_builder_free(&control->view_builder);
	free(control);
}

/* The assumed age, in ms, of target weights that were set before the start.
 * Their real age is unknown and may be long, so outdated weights may be used
 * only during the settling time after the start. */
static uint32_t initial_weights_age(const gateway_t *gateway)
{
	const gateway_settings_t *settings = &gateway->settings;
	uint32_t stable_ms = (uint32_t)settings->stable_ms;
	uint32_t weights_ms = (uint32_t)settings->weights_ms;
	uint32_t usable_ms =
		stable_ms > STABLE_MARGIN_MS ? stable_ms - STABLE_MARGIN_MS : 0;
	uint32_t limit_ms =
		weights_ms > EXCHANGE_OLD_WEIGHTS_MARGIN_MS
			? weights_ms - EXCHANGE_OLD_WEIGHTS_MARGIN_MS
			: 0;

	return limit_ms > usable_ms ? limit_ms - usable_ms : 0;
}

int gateway_store_target(const gateway_t *gateway, outbound_target_t *target)
{
	*target = (outbound_target_t){
		.key = "store",
		.connections_max = STORE_CONNECTIONS_MAX,
		.connect_timeout_ms = STORE_CONNECT_MS,
		.user_timeout_ms = STORE_USER_TIMEOUT_MS,
	};
	return platform_read_address(gateway->settings.store,
				     &target->address.v4);
}

static int control_open(gateway_control_t *control)
{
	control->base = event_base_new();
	if (!control->base)
		return ERR_NO_MEMORY;
	control->outbound = outbound_open(control->base);
	control->tick = evtimer_new(control->base, on_tick, control);
	control->rebuild = evtimer_new(control->base, on_rebuild, control);
	if (!control->outbound || !control->tick || !control->rebuild ||
	    schedule_tick(control, 0))
		return ERR_NO_MEMORY;
	rng_init(&control->rng, rng_system_seed());
	control->view_builder.initial_weights_age_ms =
		initial_weights_age(control->gateway);
	for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
		control->view_builder.tables[i].kind = (object_kind_t)i;
		control->view_builder.tables[i].order = platform_object_order;
		control->view_builder.tables[i].max_bytes =
			object_table_max_bytes((object_kind_t)i);
	}
	control->view_builder.tables[OBJECT_ENDPOINTS].hold_ms =
		EXPIRED_KEEP_MS;
	control->view_builder.tables[OBJECT_MEMBERS].hold_ms = EXPIRED_KEEP_MS;
	control->store = (store_link_t){
		.outbound = control->outbound,
		.base = control->base,
		.era_changed = on_store_era,
		.context = control,
	};
	if (gateway_store_target(control->gateway, &control->store.target))
		return ERR_SETTING;
	control->streams = gateway_streams_open(control);
	if (!control->streams)
		return ERR_NO_MEMORY;
	control->peers = gateway_peers_open(control);
	control->rollout = gateway_rollout_open(control);
	control->archive = gateway_archive_open(control);
	if (!control->peers || !control->rollout || !control->archive)
		return ERR_NO_MEMORY;
	return start_watches(control);
}

static void *control_main(void *context)
{
	gateway_control_t *control = context;

	event_base_dispatch(control->base);
	return NULL;
}

gateway_control_t *gateway_control_start(gateway_t *gateway)
{
	gateway_control_t *control = calloc(1, sizeof(*control));

	if (!control)
		return NULL;
	control->gateway = gateway;
	if (control_open(control) ||
	    pthread_create(&control->thread, NULL, control_main, control)) {
		control_free(control);
		return NULL;
	}
	return control;
}

void gateway_control_stop(gateway_control_t *control)
{
	atomic_store(&control->stop_requested, true);
	pthread_join(control->thread, NULL);
	control_free(control);
}
