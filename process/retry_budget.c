#include "process/retry_budget.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/** Share of the budget that may be spent. The rest is a margin for windows that
 * don't start at a bucket's boundary. */
#define SPENDABLE_SHARE 0.8
/** Entries of the first allocation. */
#define ENTRIES_FIRST 8

void retry_budget_init(retry_budget_t *budget, double ratio, uint32_t slack,
		       uint32_t window_ms, uint64_t now_ms)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio = ratio;
	budget->slack = slack;
	budget->window_ms = window_ms;
	budget->instances = 1;
	budget->started_ms = now_ms;
}

void retry_budget_free(retry_budget_t *budget)
{
	free(budget->entries);
	memset(budget, 0, sizeof(*budget));
}

static uint64_t epoch_of(const retry_budget_t *budget, uint64_t now_ms)
{
	/* Starts at 1, as 0 marks an empty bucket. */
	return now_ms / (budget->window_ms / RETRY_BUCKETS) + 1;
}

static bool is_in_window(const retry_entry_t *entry, int bucket, uint64_t epoch)
{
	return entry->epochs[bucket] + RETRY_BUCKETS > epoch;
}

/* Whether nothing was counted in the window. */
static bool is_idle(const retry_entry_t *entry, uint64_t epoch)
{
	for (int i = 0; i < RETRY_BUCKETS; i++) {
		if (is_in_window(entry, i, epoch))
			return false;
	}
	return true;
}

/* An entry that is idle or new; NULL when out of memory. */
static retry_entry_t *get_free_entry(retry_budget_t *budget, uint64_t epoch)
{
	retry_entry_t *entries;
	size_t capacity;

	for (size_t i = 0; i < budget->count; i++) {
		if (is_idle(&budget->entries[i], epoch))
			return &budget->entries[i];
	}
	if (budget->count == budget->capacity) {
		capacity =
			budget->capacity ? 2 * budget->capacity : ENTRIES_FIRST;
		entries = realloc(budget->entries, capacity * sizeof(*entries));
		if (!entries)
			return NULL;
		budget->entries = entries;
		budget->capacity = capacity;
	}
	return &budget->entries[budget->count++];
}

static retry_entry_t *find_entry(retry_budget_t *budget, uint64_t service,
				 uint64_t epoch)
{
	retry_entry_t *entry;

	for (size_t i = 0; i < budget->count; i++) {
		if (budget->entries[i].service == service)
			return &budget->entries[i];
	}
	entry = get_free_entry(budget, epoch);
	if (entry)
		*entry = (retry_entry_t){ .service = service };
	return entry;
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
	uint64_t epoch = epoch_of(budget, now_ms);
	retry_entry_t *entry = find_entry(budget, service, epoch);

	if (entry)
		entry->requests[open_bucket(entry, epoch)]++;
}

/* Retries allowed beyond the ratio. */
static double spendable_slack(const retry_budget_t *budget, uint64_t now_ms)
{
	uint64_t run_ms = now_ms - budget->started_ms;
	double part = (double)budget->slack / budget->instances;
	double margin = (1 - SPENDABLE_SHARE) * part;

	if (run_ms >= budget->window_ms)
		return SPENDABLE_SHARE * part;
	return fmax(fmin(1, SPENDABLE_SHARE * part),
		    margin * (double)run_ms / budget->window_ms);
}

bool retry_budget_take(retry_budget_t *budget, uint64_t service,
		       uint64_t now_ms)
{
	uint64_t epoch = epoch_of(budget, now_ms);
	retry_entry_t *entry = find_entry(budget, service, epoch);
	uint32_t bucket;
	double requests = 0;
	double retries = 0;

	if (!entry)
		return false;
	bucket = open_bucket(entry, epoch);
	for (int i = 0; i < RETRY_BUCKETS; i++) {
		if (!is_in_window(entry, i, epoch))
			continue;
		requests += entry->requests[i];
		retries += entry->retries[i];
	}
	if (retries + 1 > SPENDABLE_SHARE * budget->ratio * requests +
				  spendable_slack(budget, now_ms))
		return false;
	entry->retries[bucket]++;
	return true;
}
