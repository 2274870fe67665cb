/* What accrues, is spent and is denied at an instance. */
#include "process/allowance_private.h"

#include <math.h>

#include "process/hash.h"

enum {
	DEMAND_MS = 250,
	/** See reserve(). */
	RESERVE_MS = 500,
};

/** Window of the limit, ms, and the fraction of the limit in it by which all
 * instances together may be in debt; half of what operators tolerate. */
#define QUOTA_WINDOW_MS 8000.0
#define OVERDRAFT 0.05
/** Of the tokens that a balance can hold, kept for denied larger requests. */
#define RESERVE_MAX 0.75
/** Fractions of a token that are the result of rounding. */
#define EPSILON 1e-6

/* Balances. */

double allowance_share(const allowance_t *allowance)
{
	return allowance->instances && !allowance->stopping
		       ? 1.0 / allowance->instances_max
		       : 0;
}

static double balance_max(const allowance_customer_t *customer)
{
	return customer->part * customer->burst;
}

void allowance_cap_tokens(allowance_customer_t *customer)
{
	customer->tokens = min_of(customer->tokens, balance_max(customer));
}

/*
 * While instances may differ in the time, a part grows in the longest and
 * shrinks in the shortest one: the sum of all parts can then not exceed 1.
 */
static double converge_ms(const allowance_t *allowance,
			  const allowance_customer_t *customer)
{
	return customer->part < allowance_share(allowance)
		       ? (double)allowance->converge_max_ms
		       : (double)allowance->converge_min_ms;
}

bool allowance_is_owner(const allowance_t *allowance,
			const allowance_customer_t *customer)
{
	return customer->owner == allowance->self_id;
}

void allowance_merge_returned(allowance_customer_t *customer)
{
	customer->tokens += customer->returned;
	customer->returned = 0;
	allowance_cap_tokens(customer);
}

/* Accounts for the time since the last update. */
void allowance_update(const allowance_t *allowance,
		      allowance_customer_t *customer, uint64_t now_ms)
{
	double target = allowance_share(allowance);
	double converge = converge_ms(allowance, customer);
	double elapsed_ms;
	double moved;
	double accrued;

	if (now_ms > customer->updated_ms) {
		elapsed_ms = (double)(now_ms - customer->updated_ms);
		moved = (customer->part - target) *
			-expm1(-elapsed_ms / converge);
		accrued = customer->rate_per_ms *
			  (target * elapsed_ms + moved * converge);
		customer->part -= moved;
		customer->tokens += accrued;
		allowance_cap_tokens(customer);
		customer->backlog = max_of(0, customer->backlog - accrued);
		customer->updated_ms = now_ms;
	}
	if (customer->granted > 0 && now_ms >= customer->granted_until_ms) {
		customer->returned += customer->granted;
		customer->granted = 0;
		if (allowance_is_owner(allowance, customer))
			allowance_merge_returned(customer);
	}
}

void allowance_update_all(allowance_t *allowance, uint64_t now_ms)
{
	for (size_t i = 0; i < allowance->customer_count; i++)
		allowance_update(allowance, &allowance->customers[i], now_ms);
}

/* The owner before may not have sent its part yet. */
bool allowance_is_fresh_owner(const allowance_t *allowance,
			      const allowance_customer_t *customer,
			      uint64_t now_ms)
{
	return allowance_is_owner(allowance, customer) &&
	       now_ms < customer->owner_since_ms + SEASON_MS;
}

/*
 * Whether a request that costs more than the balance can hold may be charged
 * when the balance is full. All instances together are in debt by at most
 * OVERDRAFT of the limit, and by one request at the instance that has more than
 * half of it. A request that costs more than the limit of a whole window never
 * is within it.
 */
static bool may_overdraw(const allowance_customer_t *customer, double tokens)
{
	double limit =
		customer->rate_per_ms * QUOTA_WINDOW_MS + customer->burst;

	if (customer->part > 0.5)
		return tokens <= limit;
	return tokens - balance_max(customer) <=
	       customer->part * OVERDRAFT * limit;
}

static double reserve_of(const allowance_customer_t *customer, uint64_t now_ms)
{
	return now_ms < customer->reserve_until_ms
		       ? min_of(customer->reserve,
				RESERVE_MAX * balance_max(customer))
		       : 0;
}

/*
 * Keeps small requests from using up what a larger one that was denied waits
 * for: for some time all need the balance that the larger one needs, and are
 * then served in order of arrival.
 */
static void reserve(allowance_customer_t *customer, double unit,
		    uint64_t now_ms)
{
	if (now_ms >= customer->reserve_until_ms || unit >= customer->reserve) {
		customer->reserve = unit;
		customer->reserve_until_ms = now_ms + RESERVE_MS;
	}
}

static bool can_serve(const allowance_customer_t *customer, double unit)
{
	return unit <= balance_max(customer) + EPSILON ||
	       (customer->part > 0 && may_overdraw(customer, unit));
}

/*
 * Tokens to spend out of the balance: all that are wanted, or else as many
 * requests of the largest size as there is room for, as a fraction of one is of
 * no use. A request that costs more than the balance can hold needs a full one.
 */
double allowance_draw(allowance_customer_t *customer, double wanted,
		      double unit, uint64_t now_ms)
{
	double balance = customer->tokens + EPSILON;
	double reserved = reserve_of(customer, now_ms);
	double drawn = 0;

	if (!can_serve(customer, unit)) {
		if (balance >= reserved)
			drawn = floor(
				max_of(0, min_of(wanted - unit, balance)));
	} else if (balance >= max_of(wanted, reserved)) {
		drawn = wanted;
	} else if (balance >= max_of(unit, reserved)) {
		drawn = unit * floor(balance / unit);
	} else if (unit > balance_max(customer) &&
		   balance >= balance_max(customer)) {
		drawn = unit;
	}
	customer->tokens -= drawn;
	customer->backlog = max_of(0, customer->backlog - drawn);
	return drawn;
}

/* Time until there is room for `unit` after what has been denied, ms. */
double allowance_wait_for_room(const allowance_customer_t *customer,
			       double unit, uint64_t now_ms)
{
	double needed =
		max_of(min_of(unit, balance_max(customer)) + customer->backlog,
		       reserve_of(customer, now_ms));
	double missing = needed - customer->tokens;
	double rate = customer->part * customer->rate_per_ms;

	if (!can_serve(customer, unit) || missing >= rate * BACKLOG_MAX_MS)
		return BACKLOG_MAX_MS;
	return max_of(1, missing / rate);
}

void allowance_deny(allowance_customer_t *customer, double tokens, double unit,
		    uint64_t now_ms)
{
	if (can_serve(customer, unit))
		reserve(customer, unit, now_ms);
	customer->backlog = min_of(customer->backlog + tokens,
				   customer->rate_per_ms * BACKLOG_MAX_MS);
}

/* Granted tokens go first, as they expire. */
bool allowance_charge(allowance_customer_t *customer, double tokens,
		      uint64_t now_ms)
{
	double rest = tokens - customer->granted;

	if (rest > EPSILON && allowance_draw(customer, rest, rest, now_ms) <= 0)
		return false;
	customer->granted = max_of(0, customer->granted - tokens);
	return true;
}

/* Tokens requested here in the last DEMAND_MS. */
double allowance_recent_demand(const allowance_customer_t *customer,
			       uint64_t now_ms)
{
	uint64_t epoch = now_ms / DEMAND_MS;
	double rest = 1 - (double)(now_ms % DEMAND_MS) / DEMAND_MS;

	if (customer->demand_epoch == epoch)
		return customer->demand + rest * customer->demand_before;
	return customer->demand_epoch + 1 == epoch ? rest * customer->demand
						   : 0;
}

void allowance_count_demand(allowance_customer_t *customer, double tokens,
			    uint64_t now_ms)
{
	uint64_t epoch = now_ms / DEMAND_MS;

	if (customer->demand_epoch != epoch) {
		customer->demand_before = customer->demand_epoch + 1 == epoch
						  ? customer->demand
						  : 0;
		customer->demand = 0;
		customer->demand_epoch = epoch;
	}
	customer->demand += tokens;
}

/* A number in [0, 1) that differs each time and between instances. */
double allowance_spread(allowance_t *allowance)
{
	return (double)hash_rendezvous(++allowance->refusals,
				       allowance->self_id) /
	       ((double)UINT64_MAX + 1);
}

/* Tokens of an earlier limit; at most a burst of them. */
void allowance_scale_granted(allowance_customer_t *customer, double factor)
{
	customer->granted = min_of(customer->granted * factor, customer->burst);
	customer->returned =
		min_of(customer->returned * factor, customer->burst);
}
