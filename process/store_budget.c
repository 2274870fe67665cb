#include "process/store_budget.h"

#include <string.h>

/** Defaults for options that are 0. */
static const store_budget_options_t defaults = {
	/* Keeps 340 instances below 2000 calls per second. */
	.rate_per_s = 5,      .burst = 50,
	.backoff_ms = 100,    .backoff_max_ms = 10000,
	.outage_failures = 3, .probe_timeout_ms = 15000,
};

/** Fraction of the bucket that a purpose leaves to more important ones. */
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

static void apply_default(uint32_t *number, uint32_t fallback)
{
	if (!*number)
		*number = fallback;
}

void store_budget_init(store_budget_t *budget,
		       const store_budget_options_t *options, uint64_t seed,
		       uint64_t now_ms)
{
	store_budget_options_t *resolved = &budget->options;

	memset(budget, 0, sizeof(*budget));
	*resolved = *options;
	if (resolved->rate_per_s <= 0)
		resolved->rate_per_s = defaults.rate_per_s;
	if (resolved->burst <= 0)
		resolved->burst = defaults.burst;
	apply_default(&resolved->backoff_ms, defaults.backoff_ms);
	apply_default(&resolved->backoff_max_ms, defaults.backoff_max_ms);
	apply_default(&resolved->outage_failures, defaults.outage_failures);
	apply_default(&resolved->probe_timeout_ms, defaults.probe_timeout_ms);
	rng_init(&budget->rng, seed);
	budget->tokens = resolved->burst;
	budget->refilled_ms = now_ms;
	budget->startup_calls = resolved->startup_calls;
	budget->startup_deadline_ms = now_ms + STORE_BUDGET_STARTUP_MS;
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

static store_verdict_t refuse(store_verdict_kind_t kind, uint64_t retry_at_ms,
			      uint64_t now_ms)
{
	uint64_t wait_ms = retry_at_ms > now_ms ? retry_at_ms - now_ms : 1;

	return (store_verdict_t){
		.kind = kind,
		.retry_after_ms = (uint32_t)(wait_ms < 60000 ? wait_ms : 60000),
	};
}

/** Takes one call from the startup allowance. */
static bool take_startup_call(store_budget_t *budget, store_purpose_t purpose,
			      uint64_t now_ms)
{
	if (purpose != STORE_PURPOSE_CONFIG || !budget->startup_calls ||
	    now_ms >= budget->startup_deadline_ms)
		return false;
	budget->startup_calls--;
	return true;
}

/** Takes a token unless only those reserved for other purposes are left. */
static store_verdict_t take_token(store_budget_t *budget,
				  store_purpose_t purpose, uint64_t now_ms)
{
	const store_budget_options_t *options = &budget->options;
	double needed = 1.0 + options->burst * reserve[purpose];
	double wait_ms;

	if (take_startup_call(budget, purpose, now_ms))
		return (store_verdict_t){ .kind = STORE_VERDICT_ALLOW };
	refill(budget, now_ms);
	/* With a small bucket a purpose must not be refused forever. */
	if (needed > options->burst)
		needed = options->burst;
	if (budget->tokens + 1e-9 >= needed) {
		budget->tokens -= 1.0;
		return (store_verdict_t){ .kind = STORE_VERDICT_ALLOW };
	}
	wait_ms = (needed - budget->tokens) * 1000.0 / options->rate_per_s;
	return refuse(STORE_VERDICT_OVER_BUDGET, now_ms + (uint64_t)wait_ms + 1,
		      now_ms);
}

static store_verdict_t acquire_probe(store_budget_t *budget, uint64_t now_ms)
{
	if (now_ms < budget->blocked_until_ms)
		return refuse(STORE_VERDICT_DOWN, budget->blocked_until_ms,
			      now_ms);
	if (now_ms < budget->probe_deadline_ms)
		return refuse(STORE_VERDICT_DOWN, budget->probe_deadline_ms,
			      now_ms);
	budget->probe_deadline_ms = now_ms + budget->options.probe_timeout_ms;
	return (store_verdict_t){ .kind = STORE_VERDICT_ALLOW };
}

store_verdict_t store_budget_acquire(store_budget_t *budget,
				     store_purpose_t purpose, uint64_t now_ms)
{
	bool urgent = purpose <= STORE_PURPOSE_LEASE;

	if (store_budget_is_down(budget))
		return acquire_probe(budget, now_ms);
	if (!urgent && now_ms < budget->blocked_until_ms)
		return refuse(STORE_VERDICT_DOWN, budget->blocked_until_ms,
			      now_ms);
	if (!urgent && now_ms < budget->throttled_until_ms)
		return refuse(STORE_VERDICT_OVER_BUDGET,
			      budget->throttled_until_ms, now_ms);
	return take_token(budget, purpose, now_ms);
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

static void record_failure(store_budget_t *budget, uint64_t now_ms)
{
	uint64_t bound_ms;

	if (budget->failures < UINT32_MAX)
		budget->failures++;
	bound_ms = backoff_bound_ms(&budget->options, budget->failures);
	budget->blocked_until_ms =
		now_ms + rng_below(&budget->rng, bound_ms + 1);
	budget->probe_deadline_ms = 0;
}

static void record_success(store_budget_t *budget, uint64_t now_ms)
{
	/* After an outage all instances send calls at the same time. Start with
	 * a quarter of the bucket, which the reserves leave to the important
	 * purposes. */
	if (store_budget_is_down(budget)) {
		budget->refilled_ms = now_ms;
		budget->tokens = budget->options.burst / 4;
	}
	budget->failures = 0;
	budget->blocked_until_ms = 0;
	budget->probe_deadline_ms = 0;
}

void store_budget_report(store_budget_t *budget, store_outcome_t outcome,
			 uint32_t retry_after_ms, uint64_t now_ms)
{
	uint64_t wait_ms;

	switch (outcome) {
	case STORE_OUTCOME_ANSWERED:
		record_success(budget, now_ms);
		break;
	case STORE_OUTCOME_FAILED:
		record_failure(budget, now_ms);
		break;
	case STORE_OUTCOME_THROTTLED:
		record_success(budget, now_ms);
		/* Jitter spreads instances that got the same Retry-After. */
		wait_ms =
			retry_after_ms +
			rng_below(&budget->rng, budget->options.backoff_ms + 1);
		budget->throttled_until_ms = now_ms + wait_ms;
		break;
	case STORE_OUTCOME_CANCELLED:
		budget->probe_deadline_ms = 0;
		break;
	}
}
