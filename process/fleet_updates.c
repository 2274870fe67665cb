/*
 * Updates of endpoint state from other sources than requests: leaving marks,
 * load reports and cache events, and the schedule for fetching them.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/fleet_state.h"
#include "process/metrics.h"

void fleet_mark_leaving(fleet_t *fleet, uint64_t id_hash, uint64_t incarnation,
			bool leaving, uint64_t now_ms)
{
	fleet_endpoint_t *endpoint;
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = fleet_find_slot(fleet, id_hash);
	if (slot < 0)
		return;
	endpoint = fleet->slots[slot];
	endpoint_mark_leaving(&endpoint->state, incarnation, leaving, now_ms);
	endpoint->gossiped_leaving = leaving;
	endpoint->gossiped_incarnation = incarnation;
}

void fleet_apply_list_entry(fleet_t *fleet, uint64_t id_hash, bool leaving,
			    uint64_t now_ms)
{
	fleet_endpoint_t *endpoint;
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = fleet_find_slot(fleet, id_hash);
	if (slot < 0)
		return;
	endpoint = fleet->slots[slot];
	/* The list lags: an unchanged entry must not mark a new incarnation. */
	if (endpoint->listed_leaving == leaving)
		return;
	endpoint->listed_leaving = leaving;
	endpoint_mark_leaving(&endpoint->state, endpoint->state.incarnation,
			      leaving, now_ms);
}

/**
 * Whether there is a leaving change to send to other instances. Records the
 * current state as sent.
 */
static bool take_leaving_change(fleet_endpoint_t *endpoint, uint64_t now_ms)
{
	const endpoint_t *state = &endpoint->state;
	bool leaving = endpoint_is_observed_leaving(state, now_ms);
	bool is_new = leaving != endpoint->gossiped_leaving ||
		      (leaving &&
		       state->incarnation != endpoint->gossiped_incarnation &&
		       state->incarnation);
	/* Other instances learn of a new incarnation from its answers. */
	bool is_ended = !leaving &&
			state->incarnation != endpoint->gossiped_incarnation;

	endpoint->gossiped_leaving = leaving;
	if (is_new)
		endpoint->gossiped_incarnation = state->incarnation;
	return is_new && !is_ended;
}

size_t fleet_leaving_changes(fleet_t *fleet, fleet_leaving_t *changes,
			     size_t max, uint64_t now_ms)
{
	size_t count = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->slot_count && count < max; i++) {
		fleet_endpoint_t *endpoint = fleet->slots[i];

		if (!take_leaving_change(endpoint, now_ms))
			continue;
		changes[count++] = (fleet_leaving_t){
			.id_hash = endpoint->target.id_hash,
			.incarnation = endpoint->gossiped_incarnation,
			.leaving = endpoint->gossiped_leaving,
		};
	}
	return count;
}

size_t fleet_status(fleet_t *fleet, fleet_status_t *out, size_t max,
		    uint64_t now_ms)
{
	size_t count = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->slot_count && count < max; i++) {
		const fleet_endpoint_t *endpoint = fleet->slots[i];
		fleet_status_t *status = &out[count];

		if (!endpoint->configured)
			continue;
		memcpy(status->id, endpoint->target.id, sizeof(status->id));
		status->incarnation = endpoint->state.incarnation;
		status->state = endpoint_state(&endpoint->state, now_ms);
		status->running = endpoint->state.running;
		count++;
	}
	return count;
}

static bool is_polled(const fleet_endpoint_t *endpoint)
{
	return endpoint->configured && endpoint->engine;
}

static bool is_in_use(const fleet_endpoint_t *endpoint, uint64_t now_ms)
{
	return is_polled(endpoint) && endpoint->used_ms &&
	       now_ms - endpoint->used_ms < FLEET_IN_USE_MS;
}

static uint32_t poll_delay_ms(const fleet_endpoint_t *endpoint,
			      const fleet_poll_interval_t *interval,
			      uint64_t now_ms)
{
	return is_in_use(endpoint, now_ms) ? interval->in_use_ms
					   : interval->idle_ms;
}

/** Factor for all delays that keeps polls within the limit; at least 1. */
static double poll_stretch(const fleet_t *fleet,
			   const fleet_poll_interval_t *interval,
			   uint64_t now_ms)
{
	double wanted_per_s = 0;

	for (size_t i = 0; i < fleet->slot_count; i++) {
		if (is_polled(fleet->slots[i]))
			wanted_per_s +=
				1000.0 / poll_delay_ms(fleet->slots[i],
						       interval, now_ms);
	}
	return fmax(1.0, wanted_per_s / interval->polls_per_s);
}

size_t fleet_poll_due(fleet_t *fleet, const fleet_poll_interval_t *interval,
		      uint64_t now_ms, fleet_target_t *targets, size_t max)
{
	double stretch = 0;
	size_t count = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->slot_count && count < max; i++) {
		fleet_endpoint_t *endpoint = fleet->slots[i];
		uint64_t delay_ms;

		if (!is_polled(endpoint) || endpoint->next_poll_ms > now_ms)
			continue;
		if (stretch == 0)
			stretch = poll_stretch(fleet, interval, now_ms);
		delay_ms =
			(uint64_t)(stretch *
				   poll_delay_ms(endpoint, interval, now_ms));
		endpoint->next_poll_ms =
			now_ms + delay_ms * 3 / 4 +
			rng_below(&fleet->rng, delay_ms / 2 + 1);
		targets[count++] = endpoint->target;
	}
	return count;
}

void fleet_apply_report(fleet_t *fleet, const fleet_target_t *target,
			const engine_load_t *load, uint64_t now_ms)
{
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = fleet_find_slot(fleet, target->id_hash);
	if (slot >= 0 && load)
		endpoint_apply_report(&fleet->slots[slot]->state, load, now_ms);
}

int fleet_events_due(fleet_t *fleet, uint32_t interval_ms, uint64_t now_ms,
		     fleet_target_t *target, uint64_t *since)
{
	fleet_endpoint_t *oldest = NULL;
	uint64_t next_seq;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->slot_count; i++) {
		fleet_endpoint_t *endpoint = fleet->slots[i];

		if (is_in_use(endpoint, now_ms) &&
		    now_ms - endpoint->events_read_ms >= interval_ms &&
		    (!oldest ||
		     endpoint->events_read_ms < oldest->events_read_ms))
			oldest = endpoint;
	}
	if (!oldest)
		return ERR_NO_ENDPOINT;
	oldest->events_read_ms = now_ms;
	next_seq = oldest->state.event_seq;
	*target = oldest->target;
	*since = next_seq ? next_seq - 1 : 0;
	return 0;
}

/** Whether no event is missing between `since` and the last event. */
static bool is_contiguous(const fleet_events_t *events)
{
	for (size_t i = 0; i < events->count; i++) {
		if (events->events[i].seq != events->since + i + 1)
			return false;
	}
	return true;
}

int fleet_apply_events(fleet_t *fleet, const fleet_target_t *target,
		       const fleet_events_t *events, uint64_t now_ms)
{
	uint64_t first_seq = events->first_seq;
	uint64_t next_seq = events->since + 1;
	fleet_endpoint_t *endpoint;
	routing_t *routing;
	int tracked = 0;
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = fleet_find_slot(fleet, target->id_hash);
	if (slot < 0)
		return ERR_NO_ENDPOINT;
	endpoint = fleet->slots[slot];
	routing = fleet->pools[endpoint->pool].routing;
	if (events->count) {
		next_seq = events->events[events->count - 1].seq + 1;
		if (!is_contiguous(events))
			first_seq = next_seq;
	} else if (first_seq > next_seq) {
		next_seq = first_seq;
	}
	if (!endpoint_check_events(&endpoint->state, events->incarnation,
				   first_seq, next_seq, now_ms))
		return ERR_NOT_FOUND;
	for (size_t i = 0; routing && i < events->count; i++)
		tracked += cache_index_apply_event(
			&routing->cache_index,
			&endpoint->state.cache_index_source,
			events->events[i].key, events->events[i].added, now_ms);
	return tracked;
}
