#include "process/retry_budget.h"

#include <string.h>

/** Part of the budget that is spent; the rest covers windows that slide
 * across the buckets' bounds. */
#define SPENT_PART 0.8

void retry_budget_init(retry_budget_t *budget, double ratio, uint32_t slack,
		       uint32_t window_ms)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio = ratio;
	budget->slack = slack;
	budget->window_ms = window_ms;
	budget->instances = 1;
}

static retry_row_t *find_row(retry_budget_t *budget, uint64_t service)
{
	for (int i = 0; i < RETRY_SERVICES_MAX - 1; i++) {
		retry_row_t *row = &budget->rows[i];

		if (!row->service)
			row->service = service;
		if (row->service == service)
			return row;
	}
	return &budget->rows[RETRY_SERVICES_MAX - 1];
}

static uint64_t epoch_of(const retry_budget_t *budget, uint64_t now_ms)
{
	/* Epoch 0 would look like an empty bucket. */
	return now_ms / (budget->window_ms / RETRY_BUCKETS) + 1;
}

static uint32_t open_bucket(retry_row_t *row, uint64_t epoch)
{
	uint32_t at = (uint32_t)(epoch % RETRY_BUCKETS);

	if (row->epochs[at] != epoch) {
		row->epochs[at] = epoch;
		row->requests[at] = 0;
		row->repeats[at] = 0;
	}
	return at;
}

void retry_budget_request(retry_budget_t *budget, uint64_t service,
			  uint64_t now_ms)
{
	retry_row_t *row = find_row(budget, service);

	row->requests[open_bucket(row, epoch_of(budget, now_ms))]++;
}

bool retry_budget_take(retry_budget_t *budget, uint64_t service,
		       uint64_t now_ms)
{
	retry_row_t *row = find_row(budget, service);
	uint64_t epoch = epoch_of(budget, now_ms);
	uint32_t at = open_bucket(row, epoch);
	double requests = 0;
	double repeats = 0;

	for (int i = 0; i < RETRY_BUCKETS; i++) {
		if (row->epochs[i] + RETRY_BUCKETS <= epoch)
			continue;
		requests += row->requests[i];
		repeats += row->repeats[i];
	}
	if (repeats + 1 >
	    SPENT_PART * (budget->ratio * requests +
			  (double)budget->slack / budget->instances))
		return false;
	row->repeats[at]++;
	return true;
}
