#include "process/fleet_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** Longest time between two updates of the pools' expected waits. */
	TICK_MAX_MS = 50,
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

int fleet_find_slot(const fleet_t *fleet, uint64_t id_hash)
{
	for (size_t i = 0; i < fleet->slot_count; i++) {
		if (fleet->slots[i]->target.id_hash == id_hash)
			return (int)i;
	}
	return ERR_NO_ENDPOINT;
}

/** Finds the slot of a removed endpoint that no attempt refers to. */
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
			      const fleet_endpoint_config_t *config)
{
	int slot = fleet_find_slot(fleet, config->id_hash);
	fleet_endpoint_t *endpoint;
	fleet_target_t *target;

	if (slot < 0)
		slot = add_slot(fleet, config->id_hash);
	if (slot < 0)
		return slot;
	endpoint = fleet->slots[slot];
	target = &endpoint->target;
	snprintf(target->id, sizeof(target->id), "%s", config->id);
	snprintf(target->address, sizeof(target->address), "%s",
		 config->address);
	target->id_hash = config->id_hash;
	target->port = config->port;
	target->tls = config->tls;
	endpoint->pool = pool;
	endpoint->configured = true;
	endpoint->engine = fleet->pools[pool].engines;
	/* Applied only on change, as other sources may have marked it since.
	 */
	if (config->leaving != endpoint->configured_leaving)
		endpoint_set_leaving(&endpoint->state, config->leaving);
	endpoint->configured_leaving = config->leaving;
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

static int configure_pool(fleet_t *fleet, const fleet_pool_config_t *config)
{
	int index = find_pool(fleet, config->id);
	fleet_pool_t *pool;
	int err = 0;

	if (index < 0)
		index = add_pool(fleet, config->id);
	if (index < 0)
		return index;
	pool = &fleet->pools[index];
	pool->engines = config->engines;
	pool->streams_max = config->streams_max;
	if (config->engines && !pool->routing) {
		pool->routing = malloc(sizeof(*pool->routing));
		if (!pool->routing)
			return ERR_NO_MEMORY;
		routing_init(pool->routing, fleet->policy,
			     config->prefill_tokens_per_s);
	}
	if (pool->routing)
		pool->routing->prefill_tokens_per_s =
			config->prefill_tokens_per_s;
	pool->endpoints = calloc(config->endpoint_count + 1, sizeof(void *));
	pool->slots = calloc(config->endpoint_count + 1, sizeof(*pool->slots));
	if (!pool->endpoints || !pool->slots)
		return ERR_NO_MEMORY;
	for (size_t i = 0; i < config->endpoint_count; i++) {
		int slot =
			configure_endpoint(fleet, index, &config->endpoints[i]);

		if (slot < 0) {
			err = slot;
			continue;
		}
		pool->slots[pool->count] = slot;
		pool->endpoints[pool->count++] = &fleet->slots[slot]->state;
	}
	return err;
}

int fleet_configure(fleet_t *fleet, const fleet_pool_config_t *pools,
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

		/* Jitter, so that instances do not poll at the same time. */
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

static void apply_action(fleet_t *fleet, const admission_action_t *action)
{
	fleet_request_t *request = find_request(fleet, action->id);

	if (!request)
		return;
	switch (action->kind) {
	case ADMISSION_START:
		request->state = FLEET_REQUEST_STARTED;
		break;
	case ADMISSION_WAIT:
		request->state = FLEET_REQUEST_WAITING;
		break;
	case ADMISSION_SHED:
		request->state = FLEET_REQUEST_SHED;
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
 * Applies due admission actions up to the first start. The load that a start
 * adds is known only once its engine is chosen; until then the expected waits
 * would be too low for further starts.
 */
static void apply_due_actions(fleet_t *fleet, uint64_t now_ms)
{
	admission_action_t action;

	while (admission_next(&fleet->admission, now_ms, &action)) {
		apply_action(fleet, &action);
		if (action.kind == ADMISSION_START)
			break;
	}
}

static void update_pool_wait(fleet_t *fleet, int index, uint64_t now_ms)
{
	const fleet_pool_t *pool = &fleet->pools[index];
	uint32_t wait_ms;

	if (!pool->routing)
		return;
	wait_ms = routing_pool_wait_ms(pool->routing, pool->endpoints,
				       pool->count, now_ms);
	/* Without a usable engine fleet_choose() fails at once, so admission
	 * need not hold requests back. */
	admission_set_pool(&fleet->admission, (uint32_t)index,
			   wait_ms == UINT32_MAX ? 0 : wait_ms,
			   pool->streams_max);
}

void fleet_submit(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms)
{
	admission_action_t action;
	SCOPED_LOCK(lock, &fleet->lock);

	clock_cond_init(&request->changed);
	request->state = FLEET_REQUEST_WAITING;
	request->preempting = false;
	request->next = fleet->requests;
	fleet->requests = request;
	action = admission_submit(&fleet->admission, &request->admission,
				  now_ms);
	apply_action(fleet, &action);
	apply_due_actions(fleet, now_ms);
}

fleet_request_state_t fleet_wait(fleet_t *fleet, fleet_request_t *request,
				 uint32_t timeout_ms)
{
	uint64_t deadline_ms = clock_now_ms() + timeout_ms;
	SCOPED_LOCK(lock, &fleet->lock);

	while (request->state == FLEET_REQUEST_WAITING) {
		if (!clock_cond_wait_until(&request->changed, &fleet->lock,
					   deadline_ms))
			break;
	}
	return request->state;
}

void fleet_requeue(fleet_t *fleet, fleet_request_t *request, uint64_t now_ms)
{
	SCOPED_LOCK(lock, &fleet->lock);

	request->state = FLEET_REQUEST_WAITING;
	request->preempting = false;
	admission_preempted(&fleet->admission, request->admission.id, now_ms);
	apply_due_actions(fleet, now_ms);
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
	if (request->state != FLEET_REQUEST_SHED)
		admission_finished(&fleet->admission, request->admission.id,
				   now_ms);
	pthread_cond_destroy(&request->changed);
	apply_due_actions(fleet, now_ms);
}

int fleet_retry(fleet_t *fleet, int pool, uint64_t deadline_ms, uint64_t now_ms)
{
	const fleet_pool_t *pool_state = &fleet->pools[pool];
	uint32_t wait_ms = 0;
	SCOPED_LOCK(lock, &fleet->lock);

	if (pool_state->routing)
		wait_ms = routing_pool_wait_ms(pool_state->routing,
					       pool_state->endpoints,
					       pool_state->count, now_ms);
	/* Without a usable engine fleet_choose() returns the error. */
	if (wait_ms == UINT32_MAX)
		wait_ms = 0;
	return admission_retry(&fleet->admission, wait_ms, deadline_ms, now_ms);
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
	fleet_pool_t *pool_state = &fleet->pools[pool];
	int index;

	choice->explanation = (routing_explanation_t){ 0 };
	if (!pool_state->routing)
		return ERR_NO_ENDPOINT;
	index = routing_choose(pool_state->routing, pool_state->endpoints,
			       pool_state->count, request, now_ms, &fleet->rng,
			       &choice->explanation);
	if (index < 0)
		return index;
	fill_choice(fleet, pool_state->slots[index], now_ms, choice);
	return 0;
}

static bool postpone_start(fleet_t *fleet, fleet_request_t *start,
			   const fleet_choice_t *choice, uint64_t now_ms)
{
	const routing_explanation_t *explanation = &choice->explanation;
	uint32_t wait_ms = explanation->candidates[explanation->chosen].wait_ms;

	if (!admission_postpone(&fleet->admission, start->admission.id, wait_ms,
				now_ms))
		return false;
	start->state = FLEET_REQUEST_WAITING;
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
	if (start && postpone_start(fleet, start, choice, now_ms)) {
		apply_due_actions(fleet, now_ms);
		return FLEET_POSTPONED;
	}
	endpoint = fleet->slots[choice->slot];
	endpoint->references++;
	endpoint->used_ms = now_ms;
	routing_sent(fleet->pools[pool].routing, &endpoint->state, request,
		     &choice->explanation, now_ms);
	update_pool_wait(fleet, pool, now_ms);
	apply_due_actions(fleet, now_ms);
	return 0;
}

int fleet_explain(fleet_t *fleet, int pool, const routing_request_t *request,
		  uint64_t now_ms, fleet_choice_t *choice)
{
	routing_request_t copy = *request;
	SCOPED_LOCK(lock, &fleet->lock);

	copy.already_counted = true; /* Do not count demand for the prefix. */
	return choose(fleet, pool, &copy, now_ms, choice);
}

void fleet_endpoint_name(fleet_t *fleet, int pool, uint32_t index,
			 char id[FLEET_ID_MAX_BYTES])
{
	const fleet_pool_t *pool_state = &fleet->pools[pool];
	SCOPED_LOCK(lock, &fleet->lock);

	id[0] = '\0';
	if (index < pool_state->count)
		snprintf(id, FLEET_ID_MAX_BYTES, "%s",
			 fleet->slots[pool_state->slots[index]]->target.id);
}

static bool is_usable(const fleet_endpoint_t *endpoint, uint64_t now_ms)
{
	endpoint_state_t state = endpoint_state(&endpoint->state, now_ms);

	return state == ENDPOINT_USABLE || state == ENDPOINT_SLOW_START;
}

/** Lists usable endpoints with or without failures, from index `first` on. */
static size_t list_by_health(const fleet_t *fleet, const fleet_pool_t *pool,
			     size_t first, bool failing,
			     fleet_target_t *targets, size_t max,
			     uint64_t now_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < pool->count && count < max; i++) {
		int slot = pool->slots[(first + i) % pool->count];
		const fleet_endpoint_t *endpoint = fleet->slots[slot];

		if (is_usable(endpoint, now_ms) &&
		    (endpoint->state.failures > 0) == failing)
			targets[count++] = endpoint->target;
	}
	return count;
}

size_t fleet_list_usable(fleet_t *fleet, int pool, fleet_target_t *targets,
			 size_t max, uint64_t now_ms)
{
	const fleet_pool_t *pool_state = &fleet->pools[pool];
	size_t first;
	size_t count;
	SCOPED_LOCK(lock, &fleet->lock);

	first = (size_t)rng_below(&fleet->rng, pool_state->count);
	count = list_by_health(fleet, pool_state, first, false, targets, max,
			       now_ms);
	return count + list_by_health(fleet, pool_state, first, true,
				      targets + count, max - count, now_ms);
}

void fleet_sent(fleet_t *fleet, const fleet_target_t *target, uint64_t now_ms,
		fleet_choice_t *choice)
{
	int slot;
	SCOPED_LOCK(lock, &fleet->lock);

	slot = fleet_find_slot(fleet, target->id_hash);
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

	slot = fleet_find_slot(fleet, hash_string(id));
	if (slot < 0 || !fleet->slots[slot]->configured ||
	    fleet->slots[slot]->pool != pool)
		return ERR_NO_ENDPOINT;
	*target = fleet->slots[slot]->target;
	return 0;
}

void fleet_set_identity(fleet_t *fleet, const fleet_choice_t *choice,
			uint64_t incarnation, const char *weights_version,
			uint64_t now_ms)
{
	SCOPED_LOCK(lock, &fleet->lock);

	endpoint_set_identity(&fleet->slots[choice->slot]->state, incarnation,
			      weights_version, now_ms);
}

uint64_t fleet_get_incarnation(fleet_t *fleet, const fleet_choice_t *choice)
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

uint32_t fleet_tick(fleet_t *fleet, uint64_t now_ms)
{
	uint32_t timer_ms;
	SCOPED_LOCK(lock, &fleet->lock);

	for (size_t i = 0; i < fleet->pool_count; i++)
		update_pool_wait(fleet, (int)i, now_ms);
	apply_due_actions(fleet, now_ms);
	timer_ms = admission_timer_ms(&fleet->admission, now_ms);
	return timer_ms < TICK_MAX_MS ? timer_ms + 1 : TICK_MAX_MS;
}
