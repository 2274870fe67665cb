#include "process/store_budget.h"

#include <string.h>

/** Defaults, used where an option is 0. */
static const store_budget_options_t defaults = {
	/* 340 instances stay below two thousand calls a second. */
	.rate_per_s = 5,      .burst = 50,
	.backoff_ms = 100,    .backoff_max_ms = 10000,
	.outage_failures = 3, .probe_timeout_ms = 15000,
};

/** Share of the bucket that a purpose leaves to more important ones. */
static const double reserve[STORE_PURPOSE_COUNT] = {
	[STORE_PURPOSE_ORDER] = 0.0,  [STORE_PURPOSE_LEASE] = 0.0,
	[STORE_PURPOSE_TICKET] = 0.2, [STORE_PURPOSE_CONFIG] = 0.3,
	[STORE_PURPOSE_AUDIT] = 0.4,  [STORE_PURPOSE_MEMBERSHIP] = 0.5,
	[STORE_PURPOSE_STATUS] = 0.6,
};

const char *store_purpose_name(store_purpose_t purpose)
{
	static const char *const names[STORE_PURPOSE_COUNT] = {
		"order", "lease",      "ticket", "config",
		"audit", "membership", "status",
	};

	return purpose < STORE_PURPOSE_COUNT ? names[purpose] : "unknown";
}

static void default_number(uint32_t *number, uint32_t fallback)
{
	if (!*number)
		*number = fallback;
}

void store_budget_init(store_budget_t *budget,
		       const store_budget_options_t *options, uint64_t seed,
		       uint64_t now_ms)
{
	store_budget_options_t *own = &budget->options;

	memset(budget, 0, sizeof(*budget));
	*own = *options;
	if (own->rate_per_s <= 0)
		own->rate_per_s = defaults.rate_per_s;
	if (own->burst <= 0)
		own->burst = defaults.burst;
	default_number(&own->backoff_ms, defaults.backoff_ms);
	default_number(&own->backoff_max_ms, defaults.backoff_max_ms);
	default_number(&own->outage_failures, defaults.outage_failures);
	default_number(&own->probe_timeout_ms, defaults.probe_timeout_ms);
	rng_init(&budget->rng, seed);
	budget->tokens = own->burst;
	budget->refilled_ms = now_ms;
	budget->start_calls = own->start_calls;
	budget->start_until_ms = now_ms + STORE_BUDGET_START_MS;
}

bool store_budget_is_down(const store_budget_t *budget)
{
	return budget->failures >= budget->options.outage_failures;
}

static void refill(store_budget_t *budget, uint64_t now_ms)
{
	const store_budget_options_t *options = &budget->options;

	if (now_ms <= budget->refilled_ms)
		return;
	budget->tokens += (double)(now_ms - budget->refilled_ms) *
			  options->rate_per_s / 1000.0;
	if (budget->tokens > options->burst)
		budget->tokens = options->burst;
	budget->refilled_ms = now_ms;
}

static store_verdict_t refuse(store_verdict_kind_t kind, uint64_t until_ms,
			      uint64_t now_ms)
{
	uint64_t wait_ms = until_ms > now_ms ? until_ms - now_ms : 1;

	return (store_verdict_t){
		.kind = kind,
		.retry_after_ms = (uint32_t)(wait_ms < 60000 ? wait_ms : 60000),
	};
}

/** Takes one call of the allowance for the start. */
static bool take_start_call(store_budget_t *budget, store_purpose_t purpose,
			    uint64_t now_ms)
{
	if (purpose != STORE_PURPOSE_CONFIG || !budget->start_calls ||
	    now_ms >= budget->start_until_ms)
		return false;
	budget->start_calls--;
	return true;
}

/** Takes a token if enough are left for the more important purposes. */
static store_verdict_t take(store_budget_t *budget, store_purpose_t purpose,
			    uint64_t now_ms)
{
	const store_budget_options_t *options = &budget->options;
	double needed = 1.0 + options->burst * reserve[purpose];
	double wait_ms;

	if (take_start_call(budget, purpose, now_ms))
		return (store_verdict_t){ .kind = STORE_VERDICT_ALLOW };
	refill(budget, now_ms);
	/* A small bucket must not shut out a purpose for good. */
	if (needed > options->burst)
		needed = options->burst;
	if (budget->tokens + 1e-9 >= needed) {
		budget->tokens -= 1.0;
		return (store_verdict_t){ .kind = STORE_VERDICT_ALLOW };
	}
	wait_ms = (needed - budget->tokens) * 1000.0 / options->rate_per_s;
	return refuse(STORE_VERDICT_BUDGET, now_ms + (uint64_t)wait_ms + 1,
		      now_ms);
}

static store_verdict_t ask_for_probe(store_budget_t *budget, uint64_t now_ms)
{
	if (now_ms < budget->blocked_until_ms)
		return refuse(STORE_VERDICT_DOWN, budget->blocked_until_ms,
			      now_ms);
	if (now_ms < budget->probe_until_ms)
		return refuse(STORE_VERDICT_DOWN, budget->probe_until_ms,
			      now_ms);
	budget->probe_until_ms = now_ms + budget->options.probe_timeout_ms;
	return (store_verdict_t){ .kind = STORE_VERDICT_ALLOW };
}

store_verdict_t store_budget_ask(store_budget_t *budget,
				 store_purpose_t purpose, uint64_t now_ms)
{
	bool urgent = purpose <= STORE_PURPOSE_LEASE;

	if (store_budget_is_down(budget))
		return ask_for_probe(budget, now_ms);
	if (!urgent && now_ms < budget->blocked_until_ms)
		return refuse(STORE_VERDICT_DOWN, budget->blocked_until_ms,
			      now_ms);
	if (!urgent && now_ms < budget->throttled_until_ms)
		return refuse(STORE_VERDICT_BUDGET, budget->throttled_until_ms,
			      now_ms);
	return take(budget, purpose, now_ms);
}

/** Upper bound of the backoff after this many consecutive failures. */
static uint64_t backoff_bound_ms(const store_budget_options_t *options,
				 uint32_t failures)
{
	uint32_t shift = failures > 20 ? 20 : failures - 1;
	uint64_t bound_ms = (uint64_t)options->backoff_ms << shift;

	return bound_ms < options->backoff_max_ms ? bound_ms
						  : options->backoff_max_ms;
}

static void note_failure(store_budget_t *budget, uint64_t now_ms)
{
	uint64_t bound_ms;

	if (budget->failures < UINT32_MAX)
		budget->failures++;
	bound_ms = backoff_bound_ms(&budget->options, budget->failures);
	budget->blocked_until_ms =
		now_ms + rng_below(&budget->rng, bound_ms + 1);
	budget->probe_until_ms = 0;
}

static void note_success(store_budget_t *budget, uint64_t now_ms)
{
	/* All instances return at once: start with what the reserves of the
	 * important purposes allow. */
	if (store_budget_is_down(budget)) {
		budget->refilled_ms = now_ms;
		budget->tokens = budget->options.burst / 4;
	}
	budget->failures = 0;
	budget->blocked_until_ms = 0;
	budget->probe_until_ms = 0;
}

void store_budget_report(store_budget_t *budget, store_outcome_t outcome,
			 uint32_t retry_after_ms, uint64_t now_ms)
{
	uint64_t wait_ms;

	switch (outcome) {
	case STORE_OUTCOME_ANSWERED:
		note_success(budget, now_ms);
		break;
	case STORE_OUTCOME_FAILED:
		note_failure(budget, now_ms);
		break;
	case STORE_OUTCOME_THROTTLED:
		note_success(budget, now_ms);
		/* Jitter spreads the instances that were told the same. */
		wait_ms =
			retry_after_ms +
			rng_below(&budget->rng, budget->options.backoff_ms + 1);
		budget->throttled_until_ms = now_ms + wait_ms;
		break;
	case STORE_OUTCOME_CANCELLED:
		budget->probe_until_ms = 0;
		break;
	}
}
