#include "process/retry_budget.h"

#include <string.h>

/** Share of the budget that may be spent. The rest is a margin for windows that
 * don't start at a bucket's boundary. */
#define SPENDABLE_SHARE 0.8

void retry_budget_init(retry_budget_t *budget, double ratio, uint32_t slack,
		       uint32_t window_ms)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio = ratio;
	budget->slack = slack;
	budget->window_ms = window_ms;
	budget->instances = 1;
}

static retry_entry_t *find_entry(retry_budget_t *budget, uint64_t service)
{
	for (int i = 0; i < RETRY_SERVICES_MAX - 1; i++) {
		retry_entry_t *entry = &budget->entries[i];

		if (!entry->service)
			entry->service = service;
		if (entry->service == service)
			return entry;
	}
	return &budget->entries[RETRY_SERVICES_MAX - 1];
}

static uint64_t epoch_of(const retry_budget_t *budget, uint64_t now_ms)
{
	/* Starts at 1, as 0 marks an empty bucket. */
	return now_ms / (budget->window_ms / RETRY_BUCKETS) + 1;
}

static uint32_t open_bucket(retry_entry_t *entry, uint64_t epoch)
{
	uint32_t bucket = (uint32_t)(epoch % RETRY_BUCKETS);

	if (entry->epochs[bucket] != epoch) {
		entry->epochs[bucket] = epoch;
		entry->requests[bucket] = 0;
		entry->retries[bucket] = 0;
	}
	return bucket;
}

void retry_budget_count_request(retry_budget_t *budget, uint64_t service,
				uint64_t now_ms)
{
	retry_entry_t *entry = find_entry(budget, service);

	entry->requests[open_bucket(entry, epoch_of(budget, now_ms))]++;
}

bool retry_budget_take(retry_budget_t *budget, uint64_t service,
		       uint64_t now_ms)
{
	retry_entry_t *entry = find_entry(budget, service);
	uint64_t epoch = epoch_of(budget, now_ms);
	uint32_t bucket = open_bucket(entry, epoch);
	double requests = 0;
	double retries = 0;

	for (int i = 0; i < RETRY_BUCKETS; i++) {
		if (entry->epochs[i] + RETRY_BUCKETS <= epoch)
			continue;
		requests += entry->requests[i];
		retries += entry->retries[i];
	}
	if (retries + 1 >
	    SPENDABLE_SHARE * (budget->ratio * requests +
			       (double)budget->slack / budget->instances))
		return false;
	entry->retries[bucket]++;
	return true;
}
