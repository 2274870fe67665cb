#include "process/admission.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

/** Weight of a new sample in smoothed times. */
static const double SAMPLE_WEIGHT = 0.1;
/** Slots of the customer table that a lookup probes. */
static const uint32_t CUSTOMER_PROBES = 16;

/** Expected waits above which a class is held; UINT32_MAX for never. */
static const uint32_t HOLD_THRESHOLD_MS[ADMISSION_CLASSES] = {
	UINT32_MAX,
	ADMISSION_NORMAL_HOLD_MS,
	ADMISSION_DEFERRABLE_HOLD_MS,
};

/** Time since `then_ms`; 0 if threads pass their times out of order. */
static double elapsed_ms(uint64_t now_ms, uint64_t then_ms)
{
	return now_ms > then_ms ? (double)(now_ms - then_ms) : 0;
}

void admission_set_limits(admission_t *admission, uint32_t queue_max,
			  uint32_t retry_budget_percent)
{
	uint32_t limit = ADMISSION_WAITING_MAX - ADMISSION_WAITING_RESERVE;

	admission->queue_max = queue_max < limit ? queue_max : limit;
	admission->retry_ratio = retry_budget_percent / 100.0;
}

void admission_init(admission_t *admission, uint32_t queue_max,
		    uint32_t retry_budget_percent)
{
	memset(admission, 0, sizeof(*admission));
	admission_set_limits(admission, queue_max, retry_budget_percent);
	admission->retry_credit = ADMISSION_RETRY_BURST;
}

void admission_set_pool(admission_t *admission, uint32_t pool, uint32_t wait_ms,
			uint32_t streams_max)
{
	admission_pool_t *state = &admission->pools[pool];

	state->wait_ms = wait_ms;
	state->streams_max = streams_max;
	for (uint32_t i = 0; i < ADMISSION_CLASSES; i++) {
		/* Releasing only at half the threshold keeps a class from
		 * flapping around it. */
		if (wait_ms > HOLD_THRESHOLD_MS[i])
			state->held[i] = true;
		else if (wait_ms <= HOLD_THRESHOLD_MS[i] / 2)
			state->held[i] = false;
	}
}

/**
 * Finds or creates the state of a customer; replaces the idle one not updated
 * for longest.
 * @return NULL if customers with open requests use all probed slots
 */
static admission_customer_state_t *
get_customer(admission_t *admission, const admission_customer_t *customer,
	     uint64_t now_ms)
{
	admission_customer_state_t *idle = NULL;

	for (uint32_t i = 0; i < CUSTOMER_PROBES; i++) {
		admission_customer_state_t *slot =
			&admission->customers[(customer->id_hash + i) %
					      ADMISSION_CUSTOMERS_MAX];

		if (slot->id_hash == customer->id_hash)
			return slot;
		if (!slot->running && !slot->waiting &&
		    (!idle ||
		     slot->bucket_updated_ms < idle->bucket_updated_ms))
			idle = slot;
	}
	if (!idle)
		return NULL;
	memset(idle, 0, sizeof(*idle));
	idle->id_hash = customer->id_hash;
	idle->bucket = customer->rate_per_s;
	idle->bucket_updated_ms = now_ms;
	return idle;
}

static void refill_bucket(admission_customer_state_t *state,
			  uint32_t rate_per_s, uint64_t now_ms)
{
	double added = elapsed_ms(now_ms, state->bucket_updated_ms) *
		       rate_per_s / 1000;

	state->bucket = fmin(state->bucket + added, rate_per_s);
	if (now_ms > state->bucket_updated_ms)
		state->bucket_updated_ms = now_ms;
}

static uint32_t clamp_retry_after_ms(double retry_after_ms)
{
	if (retry_after_ms < ADMISSION_RETRY_AFTER_MIN_MS)
		return ADMISSION_RETRY_AFTER_MIN_MS;
	if (retry_after_ms > ADMISSION_RETRY_AFTER_MAX_MS)
		return ADMISSION_RETRY_AFTER_MAX_MS;
	return (uint32_t)ceil(retry_after_ms);
}

static admission_action_t shed(uint64_t id, err_t err, double retry_after_ms)
{
	admission_action_t action = { .kind = ADMISSION_SHED, .id = id };

	action.shed.err = err;
	action.shed.retry_after_ms = clamp_retry_after_ms(retry_after_ms);
	return action;
}

static bool has_free_stream(const admission_pool_t *pool)
{
	return !pool->streams_max || pool->running < pool->streams_max;
}

static bool may_start(const admission_t *admission, uint32_t pool,
		      uint32_t urgency)
{
	const admission_pool_t *state = &admission->pools[pool];

	return admission->running_count < ADMISSION_RUNNING_MAX &&
	       has_free_stream(state) && !state->held[urgency];
}

/** Whether a waiting request starts before a new one of this pool and class. */
static bool has_request_ahead(const admission_t *admission, uint32_t pool,
			      uint32_t urgency, uint64_t now_ms)
{
	if (!admission->waiting_count)
		return false;
	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		const admission_waiting_t *slot = &admission->waiting[i];

		if (slot->request.id && slot->request.pool == pool &&
		    slot->request.urgency <= urgency &&
		    slot->not_before_ms <= now_ms)
			return true;
	}
	return false;
}

static uint32_t count_waiting_in_class(const admission_t *admission,
				       uint32_t pool, uint32_t urgency)
{
	uint32_t count = 0;

	if (!admission->waiting_count)
		return 0;
	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		const admission_request_t *other =
			&admission->waiting[i].request;

		if (other->id && other->pool == pool &&
		    other->urgency == urgency)
			count++;
	}
	return count;
}

/** Expected time until a new request of this pool and class starts. */
static double expected_start_ms(const admission_t *admission, uint32_t pool,
				uint32_t urgency, uint64_t now_ms)
{
	const admission_pool_t *state = &admission->pools[pool];
	uint64_t last_completion_ms = state->last_completion_ms[urgency];
	double interval_ms = state->completion_interval_ms[urgency];
	double held_ms = 0;

	if (may_start(admission, pool, urgency) &&
	    !has_request_ahead(admission, pool, urgency, now_ms))
		return 0;
	/* While nothing completes, the smoothed interval is too short. */
	if (last_completion_ms)
		interval_ms = fmax(interval_ms,
				   elapsed_ms(now_ms, last_completion_ms));
	if (state->held[urgency])
		held_ms = (double)state->wait_ms -
			  HOLD_THRESHOLD_MS[urgency] / 2.0;
	return held_ms +
	       interval_ms *
		       (count_waiting_in_class(admission, pool, urgency) + 1);
}

/** Expected wait until prefill: for the start, then in the endpoint's queue. */
static double expected_wait_ms(const admission_t *admission, uint32_t pool,
			       uint32_t urgency, uint64_t now_ms)
{
	return expected_start_ms(admission, pool, urgency, now_ms) +
	       admission->pools[pool].wait_ms;
}

/**
 * Checks the rate and concurrency limits of a request's customer.
 * @return 0, ERR_RATE_LIMITED or ERR_CONCURRENCY_LIMITED
 */
static int check_limits(const admission_t *admission,
			const admission_request_t *request,
			const admission_customer_state_t *state,
			double *retry_after_ms)
{
	const admission_customer_t *customer = &request->customer;
	uint32_t open = state->running + state->waiting;

	if (customer->rate_per_s && state->bucket < 1) {
		*retry_after_ms =
			(1 - state->bucket) * 1000 / customer->rate_per_s;
		return ERR_RATE_LIMITED;
	}
	if (customer->concurrency_max && open >= customer->concurrency_max) {
		*retry_after_ms = admission->pools[request->pool].run_ms /
				  customer->concurrency_max;
		return ERR_CONCURRENCY_LIMITED;
	}
	return 0;
}

/** Assigns a request its finish tag in weighted fair queueing. */
static double assign_finish_tag(admission_t *admission,
				admission_customer_state_t *state,
				const admission_request_t *request)
{
	uint32_t weight =
		request->customer.weight ? request->customer.weight : 1;
	double *last = &state->last_finish_tag[request->urgency];

	*last = fmax(*last, admission->virtual_time[request->urgency]) +
		(request->tokens + 1.0) / weight;
	return *last;
}

/** Adds a request to the running ones; the caller checked for a free slot. */
static admission_action_t start(admission_t *admission,
				const admission_request_t *request,
				double finish_tag, uint64_t now_ms)
{
	admission_action_t action = { .kind = ADMISSION_START,
				      .id = request->id };
	admission_running_t *slot = admission->running;

	while (slot->request.id)
		slot++;
	slot->request = *request;
	slot->started_ms = now_ms;
	slot->finish_tag = finish_tag;
	slot->preempting = false;
	admission->running_count++;
	admission->virtual_time[request->urgency] = finish_tag;
	admission->pools[request->pool].running++;
	get_customer(admission, &request->customer, now_ms)->running++;
	return action;
}

static admission_waiting_t *enqueue(admission_t *admission,
				    const admission_request_t *request,
				    double finish_tag, uint64_t now_ms)
{
	admission_waiting_t *slot = admission->waiting;

	while (slot->request.id)
		slot++;
	*slot = (admission_waiting_t){
		.request = *request,
		.finish_tag = finish_tag,
	};
	admission->waiting_count++;
	get_customer(admission, &request->customer, now_ms)->waiting++;
	return slot;
}

static void dequeue(admission_t *admission, admission_waiting_t *slot,
		    uint64_t now_ms)
{
	get_customer(admission, &slot->request.customer, now_ms)->waiting--;
	slot->request.id = 0;
	admission->waiting_count--;
}

/** Finds the last request of the least urgent class; skips resumed streams. */
static admission_waiting_t *find_least_urgent(admission_t *admission)
{
	admission_waiting_t *least = NULL;

	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		admission_waiting_t *slot = &admission->waiting[i];

		if (!slot->request.id || slot->resumed)
			continue;
		if (!least || slot->request.urgency > least->request.urgency ||
		    (slot->request.urgency == least->request.urgency &&
		     slot->finish_tag > least->finish_tag))
			least = slot;
	}
	return least;
}

/**
 * Frees an entry of a full queue by shedding a less urgent request.
 * @return false if there is none, or the last one was not returned yet
 */
static bool displace_less_urgent(admission_t *admission,
				 const admission_request_t *request,
				 uint64_t now_ms)
{
	admission_waiting_t *least = find_least_urgent(admission);
	const admission_request_t *other;

	if (admission->has_displaced || !least ||
	    least->request.urgency <= request->urgency)
		return false;
	other = &least->request;
	admission->displaced = shed(other->id, ERR_OVERLOADED,
				    expected_start_ms(admission, other->pool,
						      other->urgency, now_ms));
	admission->has_displaced = true;
	dequeue(admission, least, now_ms);
	return true;
}

static bool would_miss_deadline(const admission_request_t *request,
				double wait_ms, uint64_t now_ms)
{
	return request->deadline_ms &&
	       (double)now_ms + wait_ms > (double)request->deadline_ms;
}

/** Charges the rate limit and credits the retry budget. */
static void charge_request(admission_t *admission,
			   admission_customer_state_t *state,
			   const admission_customer_t *customer)
{
	if (customer->rate_per_s)
		state->bucket -= 1;
	admission->retry_credit =
		fmin(admission->retry_credit + admission->retry_ratio,
		     ADMISSION_RETRY_BURST);
}

/** Starts or queues a request that is within its limits, or sheds it. */
static admission_action_t accept(admission_t *admission,
				 admission_customer_state_t *state,
				 const admission_request_t *request,
				 uint64_t now_ms)
{
	admission_action_t action = { .kind = ADMISSION_WAIT,
				      .id = request->id };
	double expected_ms = expected_start_ms(admission, request->pool,
					       request->urgency, now_ms);
	bool starts = may_start(admission, request->pool, request->urgency) &&
		      !has_request_ahead(admission, request->pool,
					 request->urgency, now_ms);

	if (!starts && admission->waiting_count >= admission->queue_max &&
	    !displace_less_urgent(admission, request, now_ms))
		return shed(request->id, ERR_OVERLOADED, expected_ms);
	charge_request(admission, state, &request->customer);
	if (starts)
		return start(admission, request,
			     assign_finish_tag(admission, state, request),
			     now_ms);
	enqueue(admission, request,
		assign_finish_tag(admission, state, request), now_ms);
	action.wait.expected_ms = (uint32_t)fmin(expected_ms, UINT32_MAX - 1.0);
	return action;
}

admission_action_t admission_submit(admission_t *admission,
				    const admission_request_t *request,
				    uint64_t now_ms)
{
	admission_customer_state_t *state;
	double retry_after_ms = 0;
	double wait_ms;
	int err;

	if (request->pool >= ADMISSION_POOLS_MAX ||
	    request->urgency >= ADMISSION_CLASSES)
		return shed(request->id, ERR_INTERNAL, 0);
	state = get_customer(admission, &request->customer, now_ms);
	if (!state)
		return shed(request->id, ERR_OVERLOADED, 0);
	refill_bucket(state, request->customer.rate_per_s, now_ms);
	err = check_limits(admission, request, state, &retry_after_ms);
	if (err)
		return shed(request->id, (err_t)err, retry_after_ms);
	wait_ms = expected_wait_ms(admission, request->pool, request->urgency,
				   now_ms);
	if (would_miss_deadline(request, wait_ms, now_ms))
		return shed(request->id, ERR_DEADLINE, wait_ms);
	return accept(admission, state, request, now_ms);
}

static bool next_displaced(admission_t *admission, admission_action_t *action)
{
	if (!admission->has_displaced)
		return false;
	*action = admission->displaced;
	admission->has_displaced = false;
	return true;
}

static bool next_expired(admission_t *admission, uint64_t now_ms,
			 admission_action_t *action)
{
	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		admission_waiting_t *slot = &admission->waiting[i];
		const admission_request_t *request = &slot->request;

		if (!request->id || !request->deadline_ms ||
		    request->deadline_ms > now_ms)
			continue;
		*action = shed(request->id, ERR_DEADLINE,
			       expected_wait_ms(admission, request->pool,
						request->urgency, now_ms));
		dequeue(admission, slot, now_ms);
		return true;
	}
	return false;
}

static bool starts_before(const admission_waiting_t *a,
			  const admission_waiting_t *b)
{
	if (a->request.urgency != b->request.urgency)
		return a->request.urgency < b->request.urgency;
	return a->finish_tag < b->finish_tag;
}

static bool next_start(admission_t *admission, uint64_t now_ms,
		       admission_action_t *action)
{
	admission_waiting_t *best = NULL;
	admission_request_t request;

	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		admission_waiting_t *slot = &admission->waiting[i];

		if (!slot->request.id || slot->not_before_ms > now_ms ||
		    !may_start(admission, slot->request.pool,
			       slot->request.urgency))
			continue;
		if (!best || starts_before(slot, best))
			best = slot;
	}
	if (!best)
		return false;
	request = best->request;
	dequeue(admission, best, now_ms);
	*action = start(admission, &request, best->finish_tag, now_ms);
	return true;
}

/** Finds the deferrable stream started last, whose restart repeats the least
 * work. */
static admission_running_t *find_victim(admission_t *admission, uint32_t pool)
{
	admission_running_t *victim = NULL;

	for (uint32_t i = 0; i < ADMISSION_RUNNING_MAX; i++) {
		admission_running_t *slot = &admission->running[i];

		if (!slot->request.id || slot->preempting ||
		    !slot->request.preemptible || slot->request.pool != pool ||
		    slot->request.urgency != ADMISSION_CLASSES - 1)
			continue;
		if (!victim || slot->started_ms > victim->started_ms)
			victim = slot;
	}
	return victim;
}

/** Preempts one deferrable stream for each urgent request without a stream. */
static bool next_preempt(admission_t *admission, admission_action_t *action)
{
	uint32_t urgent[ADMISSION_POOLS_MAX] = { 0 };

	if (admission->waiting_count + admission->preempting_count >=
	    ADMISSION_WAITING_MAX)
		return false;
	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		const admission_request_t *request =
			&admission->waiting[i].request;
		admission_pool_t *pool = &admission->pools[request->pool];
		admission_running_t *victim;

		if (!request->id || request->urgency || has_free_stream(pool) ||
		    ++urgent[request->pool] <= pool->preempting)
			continue;
		victim = find_victim(admission, request->pool);
		if (!victim)
			continue;
		victim->preempting = true;
		pool->preempting++;
		admission->preempting_count++;
		action->kind = ADMISSION_PREEMPT;
		action->id = victim->request.id;
		action->preempt.for_id = request->id;
		return true;
	}
	return false;
}

bool admission_next(admission_t *admission, uint64_t now_ms,
		    admission_action_t *action)
{
	if (next_displaced(admission, action))
		return true;
	if (!admission->waiting_count)
		return false;
	return next_expired(admission, now_ms, action) ||
	       next_start(admission, now_ms, action) ||
	       next_preempt(admission, action);
}

uint32_t admission_timer_ms(const admission_t *admission, uint64_t now_ms)
{
	uint64_t first = UINT64_MAX;

	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		const admission_waiting_t *slot = &admission->waiting[i];
		uint64_t deadline_ms = slot->request.deadline_ms;

		if (!slot->request.id)
			continue;
		if (deadline_ms && deadline_ms < first)
			first = deadline_ms;
		if (slot->not_before_ms > now_ms && slot->not_before_ms < first)
			first = slot->not_before_ms;
	}
	if (first == UINT64_MAX || first >= now_ms + UINT32_MAX)
		return UINT32_MAX;
	return first > now_ms ? (uint32_t)(first - now_ms) : 0;
}

static admission_running_t *find_running(admission_t *admission, uint64_t id)
{
	for (uint32_t i = 0; i < ADMISSION_RUNNING_MAX; i++) {
		if (admission->running[i].request.id == id)
			return &admission->running[i];
	}
	return NULL;
}

static admission_waiting_t *find_waiting(admission_t *admission, uint64_t id)
{
	for (uint32_t i = 0; i < ADMISSION_WAITING_MAX; i++) {
		if (admission->waiting[i].request.id == id)
			return &admission->waiting[i];
	}
	return NULL;
}

/** Removes a request from the running ones and frees its stream. */
static void remove_running(admission_t *admission, admission_running_t *slot,
			   uint64_t now_ms)
{
	if (slot->preempting) {
		admission->pools[slot->request.pool].preempting--;
		admission->preempting_count--;
	}
	admission->pools[slot->request.pool].running--;
	get_customer(admission, &slot->request.customer, now_ms)->running--;
	admission->running_count--;
	slot->request.id = 0;
}

static void record_completion(admission_pool_t *pool,
			      const admission_running_t *slot, uint64_t now_ms)
{
	uint32_t urgency = slot->request.urgency;
	double run_ms = elapsed_ms(now_ms, slot->started_ms);
	double interval_ms =
		elapsed_ms(now_ms, pool->last_completion_ms[urgency]);

	pool->run_ms += SAMPLE_WEIGHT * (run_ms - pool->run_ms);
	if (pool->last_completion_ms[urgency])
		pool->completion_interval_ms[urgency] +=
			SAMPLE_WEIGHT *
			(interval_ms - pool->completion_interval_ms[urgency]);
	pool->last_completion_ms[urgency] = now_ms;
}

void admission_finished(admission_t *admission, uint64_t id, uint64_t now_ms)
{
	admission_running_t *running = id ? find_running(admission, id) : NULL;
	admission_waiting_t *waiting = NULL;
	if (running) {
		record_completion(&admission->pools[running->request.pool],
				  running, now_ms);
		remove_running(admission, running, now_ms);
		return;
	}
	waiting = id ? find_waiting(admission, id) : NULL;
	if (waiting)
		dequeue(admission, waiting, now_ms);
}

void admission_preempted(admission_t *admission, uint64_t id, uint64_t now_ms)
{
	admission_running_t *running = id ? find_running(admission, id) : NULL;
	admission_customer_state_t *state;
	admission_request_t request;
	admission_waiting_t *slot;

	if (!running || !running->preempting)
		return;
	request = running->request;
	/* The deadline is for the first token, which may have been sent. */
	request.deadline_ms = 0;
	state = get_customer(admission, &request.customer, now_ms);
	slot = enqueue(admission, &request,
		       state->last_finish_tag[request.urgency], now_ms);
	slot->resumed = true;
	remove_running(admission, running, now_ms);
}

bool admission_postpone(admission_t *admission, uint64_t id,
			uint32_t endpoint_wait_ms, uint64_t now_ms)
{
	admission_running_t *running = id ? find_running(admission, id) : NULL;
	admission_waiting_t *slot;

	if (!running || running->preempting ||
	    endpoint_wait_ms <= HOLD_THRESHOLD_MS[running->request.urgency] ||
	    admission->waiting_count + admission->preempting_count >=
		    ADMISSION_WAITING_MAX)
		return false;
	slot = enqueue(admission, &running->request, running->finish_tag,
		       now_ms);
	slot->not_before_ms = now_ms + ADMISSION_POSTPONE_MS;
	remove_running(admission, running, now_ms);
	return true;
}

int admission_retry(admission_t *admission, uint32_t wait_ms,
		    uint64_t deadline_ms, uint64_t now_ms)
{
	if (deadline_ms && now_ms + wait_ms > deadline_ms)
		return ERR_DEADLINE;
	if (admission->retry_credit < 1)
		return ERR_OVERLOADED;
	admission->retry_credit -= 1;
	return 0;
}
