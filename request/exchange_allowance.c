/* Limits of customers: a request is charged before it is sent, and held while
 * tokens for it are asked for. */
#include "request/exchange_job.h"

#include <stdlib.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** A request is held for one of so many parts of its time left. */
	HOLD_TIME_LEFT_PART = 4,
	/** Retry-After if no answer came, ms, and the range of its random part.
	 */
	RETRY_UNANSWERED_MS = 250,
	RETRY_UNANSWERED_SPREAD_MS = 500,
	/** Longest interval without a line about a customer that is refused,
	 * ms; each line costs processor time. */
	REFUSALS_LOG_INTERVAL_MS = 1000,
};

/* Limits in force. */

void exchange_open_allowances(exchange_env_t *env, uint64_t self_id,
			      uint64_t incarnation)
{
	TAILQ_INIT(&env->allowances.held);
	allowance_init(&env->allowances.state, self_id, incarnation,
		       clock_now_ms());
}

void exchange_close_allowances(exchange_env_t *env)
{
	allowance_free(&env->allowances.state);
	free(env->allowances.refusals);
	desired_put(env->allowances.desired);
}

/* A change of the unit starts a limit of its own: tokens held, granted or on
 * the way before the change are worth something else. */
static uint64_t limit_key(const desired_customer_t *customer)
{
	uint64_t name = hash_string(customer->name);

	return customer->counts_tokens ? hash_rendezvous(name, 1) : name;
}

static size_t list_limits(const desired_state_t *desired,
			  allowance_limit_t *limits)
{
	size_t count = 0;

	for (size_t i = 0; i < desired->customer_count; i++) {
		const desired_customer_t *customer = &desired->customers[i];

		if (customer->rate_per_s)
			limits[count++] = (allowance_limit_t){
				.customer = limit_key(customer),
				.rate_per_s = customer->rate_per_s,
				.burst = customer->burst,
			};
	}
	return count;
}

static int set_limits(allowance_t *allowance, const desired_state_t *desired)
{
	allowance_limit_t *limits =
		calloc(desired->customer_count + 1, sizeof(*limits));
	int err;

	if (!limits)
		return ERR_NO_MEMORY;
	err = allowance_set_limits(allowance, limits,
				   list_limits(desired, limits),
				   clock_now_ms());
	free(limits);
	return err;
}

static void apply_desired(exchange_env_t *env, desired_state_t *desired)
{
	exchange_allowances_t *allowances = &env->allowances;
	exchange_refusals_t *refusals;
	int err;

	if (desired == allowances->desired)
		return;
	refusals = calloc(desired->customer_count + 1, sizeof(*refusals));
	if (!refusals)
		return;
	free(allowances->refusals);
	allowances->refusals = refusals;
	desired_put(allowances->desired);
	desired_get(desired);
	allowances->desired = desired;
	err = set_limits(&allowances->state, desired);
	if (err)
		event_log(EVENT_CUSTOMER_LIMITS_REJECTED,
			  "desired_version=%llu customers=%zu why=%s",
			  (unsigned long long)desired->version,
			  desired->customer_count, error_type(err));
	if (allowances->due)
		event_active(allowances->due, 0, 0);
}

void exchange_apply_limits(exchange_env_t *env)
{
	view_t *view = view_acquire();

	if (view)
		apply_desired(env, view->desired);
	view_put(view);
}

/* Refusals. */

static void log_refusal(exchange_t *exchange, uint64_t now_ms)
{
	exchange_allowances_t *allowances = &exchange->env->allowances;
	const desired_state_t *desired = allowances->desired;
	exchange_refusals_t *refusals;
	allowance_view_t view = { 0 };

	if (exchange->view->desired != desired)
		return;
	refusals =
		&allowances->refusals[exchange->customer - desired->customers];
	refusals->count++;
	if (refusals->logged_ms &&
	    now_ms < refusals->logged_ms + REFUSALS_LOG_INTERVAL_MS)
		return;
	allowance_view(&allowances->state, exchange->limited_customer, now_ms,
		       &view);
	event_log(EVENT_CUSTOMER_LIMITED,
		  "customer=%s refused=%u id=%s cost=%llu retry_after_ms=%llu "
		  "credit=%.0f part=%.4f owner=%d",
		  exchange->customer->name, refusals->count, exchange->id,
		  (unsigned long long)exchange->cost,
		  (unsigned long long)exchange->retry_after_ms, view.tokens,
		  view.part, view.owner);
	refusals->logged_ms = now_ms;
	refusals->count = 0;
}

static void set_refused(exchange_t *exchange, uint32_t retry_after_ms,
			uint64_t now_ms)
{
	exchange->retry_after_ms = retry_after_ms;
	metrics_add(METRIC_ALLOWANCE_REFUSED, 1);
	log_refusal(exchange, now_ms);
}

/* Charging. */

/* Finds what the request costs its customer, if that has a limit. */
static void set_cost(exchange_t *exchange)
{
	const desired_customer_t *customer = exchange->customer;
	const request_headers_t *headers = &exchange->headers;

	if (!customer || !customer->rate_per_s || exchange->forwarded ||
	    exchange_is_resumed(exchange))
		return;
	exchange->limited_customer = limit_key(customer);
	if (!customer->counts_tokens)
		exchange->cost = 1;
	else if (headers->has_tokens)
		exchange->cost = (uint64_t)headers->prompt_tokens +
				 headers->output_tokens_max;
	else
		exchange->cost = customer->plain_tokens;
}

static exchange_charge_t take(exchange_t *exchange, bool held, uint64_t now_ms)
{
	allowance_decision_t decision = allowance_take(
		&exchange->env->allowances.state, exchange->limited_customer,
		exchange->cost, held, now_ms);

	switch (decision.verdict) {
	case ALLOWANCE_CHARGED:
		exchange->charged = true;
		return EXCHANGE_CHARGED;
	case ALLOWANCE_ASK_OWNER:
		return EXCHANGE_HELD;
	case ALLOWANCE_REFUSED:
		break;
	}
	set_refused(exchange, decision.retry_after_ms, now_ms);
	return EXCHANGE_OVER_LIMIT;
}

/* Holding. */

static void hold(exchange_t *exchange, uint64_t now_ms)
{
	exchange_allowances_t *allowances = &exchange->env->allowances;
	uint64_t hold_ms =
		exchange_time_left(exchange, now_ms) / HOLD_TIME_LEFT_PART;

	exchange->hold = EXCHANGE_HELD_FOR_ALLOWANCE;
	exchange->hold_until_ms = now_ms + (hold_ms < ALLOWANCE_HOLD_MAX_MS
						    ? hold_ms
						    : ALLOWANCE_HOLD_MAX_MS);
	TAILQ_INSERT_TAIL(&allowances->held, exchange, hold_entry);
	metrics_set(METRIC_ALLOWANCE_HELD, ++allowances->held_count);
	metrics_add(METRIC_ALLOWANCE_WAITS, 1);
	if (allowances->due)
		event_active(allowances->due, 0, 0);
}

static void unhold(exchange_t *exchange)
{
	exchange_allowances_t *allowances = &exchange->env->allowances;

	if (exchange->hold != EXCHANGE_HELD_FOR_ALLOWANCE)
		return;
	exchange->hold = EXCHANGE_NOT_HELD;
	TAILQ_REMOVE(&allowances->held, exchange, hold_entry);
	metrics_set(METRIC_ALLOWANCE_HELD, --allowances->held_count);
}

exchange_charge_t exchange_charge(exchange_t *exchange)
{
	uint64_t now_ms = clock_now_ms();
	exchange_charge_t charge;

	apply_desired(exchange->env, exchange->view->desired);
	set_cost(exchange);
	if (!exchange->limited_customer)
		return EXCHANGE_CHARGED;
	charge = take(exchange, false, now_ms);
	if (charge == EXCHANGE_HELD)
		hold(exchange, now_ms);
	return charge;
}

exchange_t *exchange_next_unheld(exchange_t **next, exchange_charge_t *charge)
{
	uint64_t now_ms = clock_now_ms();
	exchange_t *exchange;

	while ((exchange = *next)) {
		*next = TAILQ_NEXT(exchange, hold_entry);
		*charge = take(exchange, true, now_ms);
		if (*charge == EXCHANGE_HELD)
			continue;
		unhold(exchange);
		return exchange;
	}
	return NULL;
}

void exchange_give_up_hold(exchange_t *exchange)
{
	set_refused(exchange,
		    RETRY_UNANSWERED_MS +
			    (uint32_t)rng_below(&exchange->env->rng,
						RETRY_UNANSWERED_SPREAD_MS),
		    clock_now_ms());
}

void exchange_end_charge(exchange_t *exchange)
{
	unhold(exchange);
	if (!exchange->charged || exchange->runs)
		return;
	allowance_return(&exchange->env->allowances.state,
			 exchange->limited_customer, exchange->cost,
			 clock_now_ms());
	exchange->charged = false;
}
