#include "process/fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** Longest time between two updates of the pools' waits. */
	TICK_MAX_MS = 50,
	MILLISECONDS_PER_SECOND = 1000,
	NANOSECONDS_PER_MILLISECOND = 1000000,
};

typedef struct fleet_endpoint {
	endpoint_t state;
	fleet_target_t target;
	int pool;
	bool configured;
	bool configured_leaving;
	bool engine;
	bool listed_leaving; /**< By the last row of the instance list. */
	bool spread_leaving; /**< What other instances were told last. */
	uint64_t spread_incarnation;
	uint32_t references; /**< Attempts in progress. */
	uint64_t used_ms;
	uint64_t next_poll_ms;
	uint64_t events_read_ms; /**< Last read of cache events. */
} fleet_endpoint_t;

typedef struct fleet_pool {
	char id[FLEET_ID_MAX_BYTES];
	bool engines;
	uint32_t streams_max;
	routing_t *routing; /**< Engines only. */
	endpoint_t **endpoints;
	int *slots; /**< Slot of each endpoint. */
	size_t count;
} fleet_pool_t;

struct fleet {
	pthread_mutex_t lock;
	routing_policy_t policy;
	rng_t rng;
	admission_t admission;
	fleet_request_t *requests;
	fleet_pool_t pools[ADMISSION_POOLS_MAX];
	size_t pool_count;
	fleet_endpoint_t *slots[FLEET_ENDPOINTS_MAX];
	size_t slot_count;
};

fleet_t *fleet_new(routing_policy_t policy, uint64_t seed)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		return NULL;
	pthread_mutex_init(&fleet->lock, NULL);
	fleet->policy = policy;
	rng_init(&fleet->rng, seed);
	admission_init(&fleet->admission, ADMISSION_WAITING_MAX, 0);
	return fleet;
}

static void clear_pool(fleet_pool_t *pool)
{
	free(pool->endpoints);
	free(pool->slots);
	pool->endpoints = NULL;
	pool->slots = NULL;
	pool->count = 0;
}

void fleet_free(fleet_t *fleet)
{
	if (!fleet)
		return;
	for (size_t i = 0; i < fleet->pool_count; i++) {
		clear_pool(&fleet->pools[i]);
		free(fleet->pools[i].routing);
	}
	for (size_t i = 0; i < fleet->slot_count; i++)
		free(fleet->slots[i]);
	pthread_mutex_destroy(&fleet->lock);
	free(fleet);
}

static int find_slot(const fleet_t *fleet, uint64_t id_hash)
{
	for (size_t i = 0; i < fleet->slot_count; i++) {
		if (fleet->slots[i]->target.id_hash == id_hash)
			return (int)i;
	}
	return ERR_NO_ENDPOINT;
}

/** Slot of an endpoint that is gone and that no attempt refers to. */
static int find_free_slot(const fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->slot_count; i++) {
		if (!fleet->slots[i]->configured &&
		    !fleet->slots[i]->references)
			return (int)i;
	}
	return ERR_LIMIT;
}

static int add_slot(fleet_t *fleet, uint64_t id_hash)
{
	int slot = ERR_LIMIT;

	if (fleet->slot_count == FLEET_ENDPOINTS_MAX) {
		slot = find_free_slot(fleet);
	} else {
		fleet_endpoint_t *endpoint = calloc(1, sizeof(*endpoint));

		if (!endpoint)
			return ERR_NO_MEMORY;
		slot = (int)fleet->slot_count++;
		fleet->slots[slot] = endpoint;
	}
	if (slot < 0)
		return slot;
	*fleet->slots[slot] = (fleet_endpoint_t){ 0 };
	endpoint_init(&fleet->slots[slot]->state, id_hash);
	return slot;
}

static int configure_endpoint(fleet_t *fleet, int pool,
			      const fleet_endpoint_setup_t *setup)
{
	int slot = find_slot(fleet, setup->id_hash);
	fleet_endpoint_t *endpoint;
	fleet_target_t *target;

	if (slot < 0)
		slot = add_slot(fleet, setup->id_hash);
	if (slot < 0)
		return slot;
	endpoint = fleet->slots[slot];
	target = &endpoint->target;
	snprintf(target->id, sizeof(target->id), "%s", setup->id);
	snprintf(target->address, sizeof(target->address), "%s",
		 setup->address);
	target->id_hash = setup->id_hash;
	target->port = setup->port;
	target->tls = setup->tls;
	endpoint->pool = pool;
	endpoint->configured = true;
	endpoint->engine = fleet->pools[pool].engines;
	/* Other sources may have marked it since; only a change counts. */
	if (setup->leaving != endpoint->configured_leaving)
		endpoint_set_leaving(&endpoint->state, setup->leaving);
	endpoint->configured_leaving = setup->leaving;
	return slot;
}

static int find_pool(const fleet_t *fleet, const char *id)
{
	for (size_t i = 0; i < fleet->pool_count; i++) {
		if (!strcmp(fleet->pools[i].id, id))
			return (int)i;
	}
	return ERR_NO_ENDPOINT;
}

static int add_pool(fleet_t *fleet, const char *id)
{
	if (fleet->pool_count == ADMISSION_POOLS_MAX)
		return ERR_LIMIT;
	snprintf(fleet->pools[fleet->pool_count].id, FLEET_ID_MAX_BYTES, "%s",
		 id);
	return (int)fleet->pool_count++;
}

static int configure_pool(fleet_t *fleet, const fleet_pool_setup_t *setup)
{
	int number = find_pool(fleet, setup->id);
	fleet_pool_t *pool;
	int err = 0;

	if (number < 0)
		number = add_pool(fleet, setup->id);
	if (number < 0)
		return number;
	pool = &fleet->pools[number];
	pool->engines = setup->engines;
	pool->streams_max = setup->streams_max;
	if (setup->engines && !pool->routing) {
		pool->routing = malloc(sizeof(*pool->routing));
		if (!pool->routing)
			return ERR_NO_MEMORY;
		routing_init(pool->routing, fleet->policy,
			     setup->prefill_tokens_per_s);
	}
	if (pool->routing)
		pool->routing->prefill_tokens_per_s =
			setup->prefill_tokens_per_s;
	pool->endpoints = calloc(setup->endpoint_count + 1, sizeof(void *));
	pool->slots = calloc(setup->endpoint_count + 1, sizeof(*pool->slots));
	if (!pool->endpoints || !pool->slots)
		return ERR_NO_MEMORY;
	for (size_t i = 0; i < setup->endpoint_count; i++) {
		int slot =
			configure_endpoint(fleet, number, &setup->endpoints[i]);

		if (slot < 0) {
			err = slot;
			continue;
		}
		pool->slots[pool->count] = slot;
		pool->endpoints[pool->count++] = &fleet->slots[slot]->state;
	}
	return err;
}

int fleet_configure(fleet_t *fleet, const fleet_pool_setup_t *pools,
		    size_t pool_count, uint32_t queue_max,
		    uint32_t retry_budget_percent, uint64_t now_ms)
{
	int err = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->pool_count; i++)
		clear_pool(&fleet->pools[i]);
	for (size_t i = 0; i < fleet->slot_count; i++)
		fleet->slots[i]->configured = false;
	for (size_t i = 0; i < pool_count; i++) {
		int result = configure_pool(fleet, &pools[i]);

		if (result < 0)
			err = result;
	}
	admission_set_limits(&fleet->admission, queue_max,
			     retry_budget_percent);
	for (size_t i = 0; i < fleet->slot_count; i++) {
		fleet_endpoint_t *endpoint = fleet->slots[i];

		/* Spreads the first polls of all instances. */
		if (endpoint->configured && !endpoint->next_poll_ms)
			endpoint->next_poll_ms =
				now_ms + rng_below(&fleet->rng, TICK_MAX_MS);
	}
	return err;
}

int fleet_find_pool(fleet_t *fleet, const char *id)
{
	SCOPED_LOCK(lock, &fleet->lock);

	return find_pool(fleet, id);
}

static fleet_request_t *find_request(const fleet_t *fleet, uint64_t id)
{
	fleet_request_t *request = fleet->requests;

	while (request && request->admission.id != id)
		request = request->next;
	return request;
}

static void apply(fleet_t *fleet, const admission_action_t *action)
{
	fleet_request_t *request = find_request(fleet, action->id);

	if (!request)
		return;
	switch (action->kind) {
	case ADMISSION_START:
		request->state = FLEET_STARTED;
		break;
	case ADMISSION_WAIT:
		request->state = FLEET_WAITING;
		break;
	case ADMISSION_SHED:
		request->state = FLEET_SHED;
		request->err = action->shed.err;
		request->retry_after_ms = action->shed.retry_after_ms;
		break;
	case ADMISSION_PREEMPT:
		request->preempting = true;
		if (request->preempt)
			request->preempt(request->context);
		break;
	}
	pthread_cond_signal(&request->changed);
}

/**
 * Carries out what is due, up to the first start: the load that it adds is
 * known once its engine is chosen, and until then the waits are too low.
 */
static void apply_due(fleet_t *fleet, uint64_t now_ms)
{
	admission_action_t action;

	while (admission_next(&fleet->admission, now_ms, &action)) {
		apply(fleet, &action);
		if (action.kind == ADMISSION_START)
			break;
	}
}

static void update_pool(fleet_t *fleet, int number, uint64_t now_ms)
{
	const fleet_pool_t *pool = &fleet->pools[number];
	uint32_t wait_ms;

	if (!pool->routing)
		return;
	wait_ms = routing_pool_wait_ms(pool->routing, pool->endpoints,
				       pool->count, now_ms);
	/* A pool without a usable engine is answered at once by the choice, so
	 * nothing is held back for it. */
	admission_set_pool(&fleet->admission, (uint32_t)number,
			   wait_ms == UINT32_MAX ? 0 : wait_ms,
			   pool->streams_max);
}

void fleet_submit(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms)
{
	pthread_condattr_t attributes;
	admission_action_t action;
	SCOPED_LOCK(lock, &fleet->lock);

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&request->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	request->state = FLEET_WAITING;
	request->preempting = false;
	request->next = fleet->requests;
	fleet->requests = request;
	action = admission_submit(&fleet->admission, &request->admission,
				  now_ms);
	apply(fleet, &action);
	apply_due(fleet, now_ms);
}

fleet_state_t fleet_wait(fleet_t *fleet, fleet_request_t *request,
			 uint32_t timeout_ms)
{
	struct timespec until;
	SCOPED_LOCK(lock, &fleet->lock);

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += timeout_ms / MILLISECONDS_PER_SECOND;
	until.tv_nsec += (long)(timeout_ms % MILLISECONDS_PER_SECOND) *
			 NANOSECONDS_PER_MILLISECOND;
	if (until.tv_nsec >= 1000L * NANOSECONDS_PER_MILLISECOND) {
		until.tv_sec++;
		until.tv_nsec -= 1000L * NANOSECONDS_PER_MILLISECOND;
	}
	while (request->state == FLEET_WAITING) {
		if (pthread_cond_timedwait(&request->changed, &fleet->lock,
					   &until))
			break;
	}
	return request->state;
}

void fleet_requeue(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms)
{
	SCOPED_LOCK(lock, &fleet->lock);

	request->state = FLEET_WAITING;
	request->preempting = false;
	admission_preempted(&fleet->admission, request->admission.id, now_ms);
	apply_due(fleet, now_ms);
}

void fleet_finished(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms)
{
	fleet_request_t **link = &fleet->requests;
	SCOPED_LOCK(lock, &fleet->lock);

	while (*link && *link != request)
		link = &(*link)->next;
	if (!*link)
		return;
	*link = request->next;
	if (request->state != FLEET_SHED)
		admission_finished(&fleet->admission, request->admission.id,
				   now_ms);
	pthread_cond_destroy(&request->changed);
	apply_due(fleet, now_ms);
}

int fleet_retry(fleet_t *fleet, int pool, uint64_t deadline_at_ms,
		uint64_t now_ms)
{
	const fleet_pool_t *at = &fleet->pools[pool];
	uint32_t wait_ms = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	if (at->routing)
		wait_ms = routing_pool_wait_ms(at->routing, at->endpoints,
					       at->count, now_ms);
	/* Without a usable engine the choice gives the error. */
	if (wait_ms == UINT32_MAX)
		wait_ms = 0;
	return admission_retry(&fleet->admission, wait_ms, deadline_at_ms,
			       now_ms);
}

static void fill_choice(const fleet_t *fleet, int slot, uint64_t now_ms,
			fleet_choice_t *choice)
{
	choice->slot = slot;
	choice->target = fleet->slots[slot]->target;
	choice->sent_at_ms = now_ms;
	choice->had_first_token = false;
}

static int choose(fleet_t *fleet, int pool, const routing_request_t *request,
		  uint64_t now_ms, fleet_choice_t *choice)
{
	fleet_pool_t *at = &fleet->pools[pool];
	int index;

	choice->explanation = (routing_explanation_t){ 0 };
	if (!at->routing)
		return ERR_NO_ENDPOINT;
	index = routing_choose(at->routing, at->endpoints, at->count, request,
			       now_ms, &fleet->rng, &choice->explanation);
	if (index < 0)
		return index;
	fill_choice(fleet, at->slots[index], now_ms, choice);
	return 0;
}

static bool put_off(fleet_t *fleet, fleet_request_t *start,
		    const fleet_choice_t *choice, uint64_t now_ms)
{
	const routing_explanation_t *why = &choice->explanation;
	uint32_t wait_ms = why->candidates[why->chosen].wait_ms;

	if (!admission_put_off(&fleet->admission, start->admission.id, wait_ms,
			       now_ms))
		return false;
	start->state = FLEET_WAITING;
	return true;
}

int fleet_choose(fleet_t *fleet, int pool, const routing_request_t *request,
		 fleet_request_t *start, uint64_t now_ms,
		 fleet_choice_t *choice)
{
	fleet_endpoint_t *endpoint;
	int err;
	SCOPED_LOCK(lock, &fleet->lock);

	err = choose(fleet, pool, request, now_ms, choice);
	if (err < 0)
		return err;
	if (start && put_off(fleet, start, choice, now_ms)) {
		apply_due(fleet, now_ms);
		return FLEET_PUT_OFF;
	}
	endpoint = fleet->slots[choice->slot];
	endpoint->references++;
	endpoint->used_ms = now_ms;
	routing_sent(fleet->pools[pool].routing, &endpoint->state, request,
		     &choice->explanation, now_ms);
	update_pool(fleet, pool, now_ms);
	apply_due(fleet, now_ms);
	return 0;
}

int fleet_explain(fleet_t *fleet, int pool, const routing_request_t *request,
		  uint64_t now_ms, fleet_choice_t *choice)
{
	routing_request_t asked = *request;
	SCOPED_LOCK(lock, &fleet->lock);

	asked.again = true; /* Counts no demand. */
	return choose(fleet, pool, &asked, now_ms, choice);
}

void fleet_endpoint_name(fleet_t *fleet, int pool, uint32_t index,
			 char id[FLEET_ID_MAX_BYTES])
{
	const fleet_pool_t *at = &fleet->pools[pool];
	SCOPED_LOCK(lock, &fleet->lock);

	id[0] = '\0';
	if (index < at->count)
		snprintf(id, FLEET_ID_MAX_BYTES, "%s",
			 fleet->slots[at->slots[index]]->target.id);
}

static bool may_get_work(const fleet_endpoint_t *endpoint, uint64_t now_ms)
{
	endpoint_state_t state = endpoint_state(&endpoint->state, now_ms);

	return state == ENDPOINT_USABLE || state == ENDPOINT_SLOW_START;
}

/** Adds the endpoints with or without failures, starting at `first`. */
static size_t list_some(const fleet_t *fleet, const fleet_pool_t *pool,
			size_t first, bool failing, fleet_target_t *targets,
			size_t max, uint64_t now_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < pool->count && count < max; i++) {
		int slot = pool->slots[(first + i) % pool->count];
		const fleet_endpoint_t *endpoint = fleet->slots[slot];

		if (may_get_work(endpoint, now_ms) &&
		    (endpoint->state.failures > 0) == failing)
			targets[count++] = endpoint->target;
	}
	return count;
}

size_t fleet_list(fleet_t *fleet, int pool, fleet_target_t *targets, size_t max,
		  uint64_t now_ms)
{
	const fleet_pool_t *at = &fleet->pools[pool];
	size_t first;
	size_t count;
	SCOPED_LOCK(lock, &fleet->lock);

	first = (size_t)rng_below(&fleet->rng, at->count);
	count = list_some(fleet, at, first, false, targets, max, now_ms);
	return count + list_some(fleet, at, first, true, targets + count,
				 max - count, now_ms);
}

void fleet_sent(fleet_t *fleet, const fleet_target_t *target, uint64_t now_ms,
		fleet_choice_t *choice)
{
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = find_slot(fleet, target->id_hash);
	choice->slot = slot;
	if (slot < 0)
		return;
	fill_choice(fleet, slot, now_ms, choice);
	fleet->slots[slot]->references++;
	endpoint_sent(&fleet->slots[slot]->state, 0, now_ms);
}

int fleet_find_endpoint(fleet_t *fleet, int pool, const char *id,
			fleet_target_t *target)
{
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = find_slot(fleet, hash_string(id));
	if (slot < 0 || !fleet->slots[slot]->configured ||
	    fleet->slots[slot]->pool != pool)
		return ERR_NO_ENDPOINT;
	*target = fleet->slots[slot]->target;
	return 0;
}

void fleet_identity(fleet_t *fleet, const fleet_choice_t *choice,
		    uint64_t incarnation, const char *weights_version,
		    uint64_t now_ms)
{
	SCOPED_LOCK(lock, &fleet->lock);

	endpoint_identity(&fleet->slots[choice->slot]->state, incarnation,
			  weights_version, now_ms);
}

uint64_t fleet_incarnation(fleet_t *fleet, const fleet_choice_t *choice)
{
	SCOPED_LOCK(lock, &fleet->lock);

	return choice->slot < 0 ? 0
				: fleet->slots[choice->slot]->state.incarnation;
}

void fleet_first_token(fleet_t *fleet, int pool, fleet_choice_t *choice,
		       const routing_request_t *request, uint32_t cached_tokens,
		       uint32_t queue_ms, uint64_t now_ms)
{
	SCOPED_LOCK(lock, &fleet->lock);

	choice->had_first_token = true;
	routing_first_token(
		fleet->pools[pool].routing, &fleet->slots[choice->slot]->state,
		request, cached_tokens, queue_ms, choice->sent_at_ms, now_ms);
}

void fleet_ended(fleet_t *fleet, fleet_choice_t *choice,
		 const routing_request_t *request, endpoint_outcome_t outcome,
		 uint64_t now_ms)
{
	fleet_endpoint_t *endpoint;
	SCOPED_LOCK(lock, &fleet->lock);

	if (choice->slot < 0)
		return;
	endpoint = fleet->slots[choice->slot];
	endpoint->references--;
	if (request)
		routing_ended(&endpoint->state, request, outcome,
			      choice->had_first_token, &fleet->rng, now_ms);
	else
		endpoint_ended(&endpoint->state, outcome, false, &fleet->rng,
			       now_ms);
}

void fleet_tell_leaving(fleet_t *fleet, uint64_t id_hash, uint64_t incarnation,
			bool leaving, uint64_t now_ms)
{
	fleet_endpoint_t *endpoint;
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = find_slot(fleet, id_hash);
	if (slot < 0)
		return;
	endpoint = fleet->slots[slot];
	endpoint_tell_leaving(&endpoint->state, incarnation, leaving, now_ms);
	endpoint->spread_leaving = leaving;
	endpoint->spread_incarnation = incarnation;
}

void fleet_listed(fleet_t *fleet, uint64_t id_hash, bool leaving,
		  uint64_t now_ms)
{
	fleet_endpoint_t *endpoint;
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = find_slot(fleet, id_hash);
	if (slot < 0)
		return;
	endpoint = fleet->slots[slot];
	/* The list lags, so a repeated row must not mark a new incarnation. */
	if (endpoint->listed_leaving == leaving)
		return;
	endpoint->listed_leaving = leaving;
	endpoint_tell_leaving(&endpoint->state, endpoint->state.incarnation,
			      leaving, now_ms);
}

static bool is_leaving_news(fleet_endpoint_t *endpoint, uint64_t now_ms)
{
	const endpoint_t *state = &endpoint->state;
	bool leaving = endpoint_is_told_leaving(state, now_ms);
	bool is_new = leaving != endpoint->spread_leaving ||
		      (leaving &&
		       state->incarnation != endpoint->spread_incarnation &&
		       state->incarnation);
	/* A new incarnation is known to the others from its own answers. */
	bool is_ended =
		!leaving && state->incarnation != endpoint->spread_incarnation;

	endpoint->spread_leaving = leaving;
	if (is_new)
		endpoint->spread_incarnation = state->incarnation;
	return is_new && !is_ended;
}

size_t fleet_leaving_news(fleet_t *fleet, fleet_leaving_t *news, size_t max,
			  uint64_t now_ms)
{
	size_t count = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->slot_count && count < max; i++) {
		fleet_endpoint_t *endpoint = fleet->slots[i];

		if (!is_leaving_news(endpoint, now_ms))
			continue;
		news[count++] = (fleet_leaving_t){
			.id_hash = endpoint->target.id_hash,
			.incarnation = endpoint->spread_incarnation,
			.leaving = endpoint->spread_leaving,
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
		fleet_status_t *row = &out[count];

		if (!endpoint->configured)
			continue;
		memcpy(row->id, endpoint->target.id, sizeof(row->id));
		row->incarnation = endpoint->state.incarnation;
		row->state = endpoint_state(&endpoint->state, now_ms);
		row->running = endpoint->state.running;
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

/** Factor that brings all polls together down to the limit; at least 1. */
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

void fleet_report(fleet_t *fleet, const fleet_target_t *target,
		  const endpoint_load_t *load, uint64_t now_ms)
{
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = find_slot(fleet, target->id_hash);
	if (slot >= 0 && load)
		endpoint_report(&fleet->slots[slot]->state, load, now_ms);
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

/** Whether no number is missing from the one asked for to the last one. */
static bool is_contiguous(const fleet_events_t *events)
{
	for (size_t i = 0; i < events->count; i++) {
		if (events->events[i].seq != events->since + i + 1)
			return false;
	}
	return true;
}

int fleet_take_events(fleet_t *fleet, const fleet_target_t *target,
		      const fleet_events_t *events, uint64_t now_ms)
{
	uint64_t first_seq = events->first_seq;
	uint64_t next_seq = events->since + 1;
	fleet_endpoint_t *endpoint;
	routing_t *routing;
	int tracked = 0;
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = find_slot(fleet, target->id_hash);
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
	if (!endpoint_events(&endpoint->state, events->incarnation, first_seq,
			     next_seq, now_ms))
		return ERR_NOT_FOUND;
	for (size_t i = 0; routing && i < events->count; i++)
		tracked += belief_event(&routing->beliefs, &endpoint->state,
					events->events[i].key,
					events->events[i].added, now_ms);
	return tracked;
}

uint32_t fleet_tick(fleet_t *fleet, uint64_t now_ms)
{
	uint32_t timer_ms;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->pool_count; i++)
		update_pool(fleet, (int)i, now_ms);
	apply_due(fleet, now_ms);
	timer_ms = admission_timer_ms(&fleet->admission, now_ms);
	return timer_ms < TICK_MAX_MS ? timer_ms + 1 : TICK_MAX_MS;
}
