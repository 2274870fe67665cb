/* The weights lease: its calls to the store, its timer and its terms. */
#include "cmd/gateway_lease.h"

#include <stdlib.h>

#include "cmd/gateway_streams.h"
#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/controller_codec.h"
#include "process/error.h"
#include "process/event.h"
#include "process/lease.h"
#include "process/metrics.h"

enum {
	/** A lease lasts 1/LEASE_DURATION_DIVISOR of the platform's time limit
	 * for a lease, so that another instance can take over within it. */
	LEASE_DURATION_DIVISOR = 2,
};

/** Name of the store object that holds the lease. */
#define LEASE_OBJECT_NAME "weights"

struct gateway_lease {
	gateway_control_t *control;
	lease_t lease;
	bool started;
	store_call_t *call; /**< Open call to the store, or NULL. */
	uint32_t call_id;
	bool call_writes;
	bool timer_set;
	uint32_t timer_call_id; /**< 0: report the store as down. */
	uint64_t timer_at_ms;	/**< By clock_boot_ms(). */
	gateway_term_fn *term_changed;
	void *context;
};

static void run_lease_actions(gateway_lease_t *lease, lease_actions_t *actions);
static void handle_lease_event(gateway_lease_t *lease,
			       const lease_event_t *event)
{
	lease_actions_t actions;

	lease_step(&lease->lease, event, clock_boot_ms(), &actions);
	run_lease_actions(lease, &actions);
}

static int parse_lease_record(const store_answer_t *answer, uint64_t *version,
			      lease_record_t *record)
{
	CLEANUP_JSON json_t *root = NULL;
	object_item_t item;
	int err = platform_read_object(answer->body, answer->len, answer->era,
				       &root, &item);

	if (err)
		return err;
	*version = item.revision;
	return lease_record_from_json(item.spec, record);
}

static void on_store_answer(void *context, const store_answer_t *answer)
{
	gateway_lease_t *lease = context;
	lease_event_t event = { .call_id = lease->call_id, .era = answer->era };
	lease_record_t record;
	uint64_t version = 0;
	int result = answer->err;

	lease->call = NULL;
	if (!result && parse_lease_record(answer, &version, &record))
		result = ERR_STORE_UNKNOWN;
	if (lease->call_writes) {
		event.kind = LEASE_EVENT_WRITTEN;
		event.written.result = result;
		event.written.version = version;
	} else {
		event.kind = LEASE_EVENT_READ;
		event.read.result = result;
		event.read.version = version;
		event.read.record = &record;
	}
	handle_lease_event(lease, &event);
}

static void send_store_call(gateway_lease_t *lease,
			    const lease_action_t *action)
{
	struct evbuffer *message = evbuffer_new();
	int err = message ? 0 : ERR_NO_MEMORY;

	lease->call_id = action->call_id;
	lease->call_writes = action->kind == LEASE_ACTION_WRITE;
	if (!err && lease->call_writes) {
		CLEANUP_JSON json_t *spec =
			lease_record_to_json(&action->write.record);

		if (action->write.if_version)
			err = platform_write_replace(
				message, OBJECT_LEASES, LEASE_OBJECT_NAME,
				action->write.if_version, spec);
		else
			err = platform_write_create(message, OBJECT_LEASES,
						    LEASE_OBJECT_NAME, spec);
	} else if (!err) {
		platform_write_get(message, OBJECT_LEASES, LEASE_OBJECT_NAME);
	}
	if (lease->call)
		store_call_cancel(lease->call);
	lease->call = err ? NULL
			  : gateway_control_store_call(lease->control, message,
						       on_store_answer, lease);
	if (message)
		evbuffer_free(message);
	if (!lease->call) {
		/* Counts as an unreachable store, which the next tick
		 * reports to the lease. */
		lease->timer_set = true;
		lease->timer_call_id = 0;
		lease->timer_at_ms = 0;
	}
}

static void begin_term(gateway_lease_t *lease, uint64_t fencing)
{
	gateway_streams_lease_acquired(lease->control->streams,
				       lease_note(&lease->lease));
	lease->term_changed(lease->context);
	metrics_add(METRIC_LEASES_ACQUIRED, 1);
	event_log(EVENT_LEASE_ACQUIRED, "lease=%s fencing=%llu era=%llu",
		  LEASE_OBJECT_NAME, (unsigned long long)fencing,
		  (unsigned long long)lease->control->store.era);
	gateway_peers_send_heartbeat(lease->control->peers);
}

static void end_term(gateway_lease_t *lease)
{
	lease->term_changed(lease->context);
	metrics_add(METRIC_LEASES_LOST, 1);
	event_log(EVENT_LEASE_LOST, "lease=%s", LEASE_OBJECT_NAME);
}

static void run_lease_actions(gateway_lease_t *lease, lease_actions_t *actions)
{
	for (size_t i = 0; i < actions->count; i++) {
		const lease_action_t *action = &actions->items[i];

		switch (action->kind) {
		case LEASE_ACTION_READ:
		case LEASE_ACTION_WRITE:
			send_store_call(lease, action);
			break;
		case LEASE_ACTION_WAIT:
			lease->timer_set = true;
			lease->timer_call_id = action->call_id;
			lease->timer_at_ms = action->wait_until_ms;
			break;
		case LEASE_ACTION_ACQUIRED:
			begin_term(lease, action->fencing);
			break;
		case LEASE_ACTION_LOST:
			end_term(lease);
			break;
		case LEASE_ACTION_STOPPED:
			event_log(EVENT_LEASE_RELEASED, "lease=%s",
				  LEASE_OBJECT_NAME);
			break;
		}
	}
}

static void start_competing(gateway_lease_t *lease)
{
	gateway_control_t *control = lease->control;
	lease_actions_t actions;

	lease->started = true;
	lease_begin(&lease->lease, control->gateway->peer_name,
		    control->gateway->incarnation ^ rng_next(&control->rng),
		    (uint32_t)(control->gateway->settings.lease_ms /
			       LEASE_DURATION_DIVISOR),
		    &control->rng, &actions);
	/* The platform restarts a process only after it has ended, so no two
	 * processes have this name at the same time. */
	lease_set_id_unique(&lease->lease);
	run_lease_actions(lease, &actions);
}

static void report_store_down(gateway_lease_t *lease)
{
	lease_event_t event = { .kind = lease->call_writes ? LEASE_EVENT_WRITTEN
							   : LEASE_EVENT_READ,
				.call_id = lease->call_id };

	if (lease->call_writes)
		event.written.result = ERR_STORE_DOWN;
	else
		event.read.result = ERR_STORE_DOWN;
	handle_lease_event(lease, &event);
}

static void check_lease_timer(gateway_lease_t *lease, uint64_t now_ms)
{
	lease_event_t event = { .kind = LEASE_EVENT_TIMER,
				.call_id = lease->timer_call_id };

	if (!lease->timer_set || clock_boot_ms() < lease->timer_at_ms)
		return;
	/* While heartbeats of a holder arrive, the record need not be read. An
	 * instance that may not hold the lease has a slower link than others
	 * or no contact to the store: its orders would be late. */
	if (lease->lease.phase == LEASE_PHASE_WATCHING &&
	    (gateway_peers_lease_holder(lease->control->peers, now_ms) ||
	     !gateway_peers_may_hold_lease(lease->control->peers, now_ms)))
		return;
	lease->timer_set = false;
	if (lease->timer_call_id)
		handle_lease_event(lease, &event);
	else
		report_store_down(lease);
}

uint64_t gateway_lease_fencing(const gateway_lease_t *lease, uint32_t ahead_ms)
{
	return lease->started ? lease_fencing(&lease->lease,
					      clock_boot_ms() + ahead_ms)
			      : 0;
}

uint64_t gateway_lease_observed_ms(const gateway_lease_t *lease)
{
	uint64_t observed_ms = clock_boot_ms() - lease->lease.observed_at_ms;

	/* Older if it is the lease that this instance itself let expire. */
	return observed_ms < lease->lease.duration_ms
		       ? observed_ms
		       : lease->lease.duration_ms;
}

void gateway_lease_store_era(gateway_lease_t *lease)
{
	lease_event_t event = { .kind = LEASE_EVENT_ERA,
				.era = lease->control->store.era };

	if (lease->started)
		handle_lease_event(lease, &event);
}

void gateway_lease_tick(gateway_lease_t *lease, uint64_t now_ms)
{
	if (!lease->started) {
		if (lease->control->lease_released ||
		    !gateway_peers_may_hold_lease(lease->control->peers,
						  now_ms) ||
		    !view_builder_is_complete(&lease->control->view_builder))
			return;
		start_competing(lease);
	}
	if (gateway_lease_fencing(lease, 0))
		lease_set_note(&lease->lease,
			       gateway_streams_note(lease->control->streams));
	check_lease_timer(lease, now_ms);
}

void gateway_lease_release(gateway_lease_t *lease)
{
	lease_event_t event = { .kind = LEASE_EVENT_RELEASE };

	if (lease->started)
		handle_lease_event(lease, &event);
}

gateway_lease_t *gateway_lease_open(gateway_control_t *control,
				    gateway_term_fn *term_changed,
				    void *context)
{
	gateway_lease_t *lease = calloc(1, sizeof(*lease));

	if (!lease)
		return NULL;
	lease->control = control;
	lease->term_changed = term_changed;
	lease->context = context;
	return lease;
}

void gateway_lease_close(gateway_lease_t *lease)
{
	if (lease->call)
		store_call_cancel(lease->call);
	free(lease);
}
