#include "process/allowance_private.h"

#include <stdlib.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"

enum {
	/** For itself it is an owner earlier than for the others, so as to keep
	 * what the owner before sends it; see SEASON_MS. */
	SEASON_SELF_MS = 1000,
	SLOT_NONE = 0,
	CAPACITY_FIRST = 16,
};

/** Of the tolerance that operators set, so much is added to the limits. */
#define OVERAGE_USED 0.8

allowance_customer_t *allowance_find_customer(const allowance_t *allowance,
					      uint64_t key)
{
	for (size_t i = key;; i++) {
		uint16_t slot = allowance->slots[i % ALLOWANCE_SLOTS];

		if (slot == SLOT_NONE)
			return NULL;
		if (allowance->customers[slot - 1].key == key)
			return &allowance->customers[slot - 1];
	}
}

static void index_customer(allowance_t *allowance, size_t number)
{
	size_t i = allowance->customers[number].key;

	while (allowance->slots[i % ALLOWANCE_SLOTS] != SLOT_NONE)
		i++;
	allowance->slots[i % ALLOWANCE_SLOTS] = (uint16_t)(number + 1);
}

allowance_sender_t *allowance_find_sender(const allowance_t *allowance,
					  uint64_t id)
{
	for (size_t i = 0; i < allowance->sender_count; i++) {
		if (allowance->senders[i].id == id)
			return &allowance->senders[i];
	}
	return NULL;
}

void allowance_init(allowance_t *allowance, uint64_t self_id,
		    uint64_t incarnation, uint64_t now_ms)
{
	memset(allowance, 0, sizeof(*allowance));
	allowance->self_id = self_id;
	allowance->incarnation = incarnation;
	allowance->started_ms = now_ms;
	/* Differs from the numbers of the process before this one. */
	allowance->sequence = (uint32_t)hash_rendezvous(self_id, incarnation);
	allowance->period_ms = PERIOD_MIN_MS;
	allowance->converge_ms = CONVERGE_PERIODS * PERIOD_MIN_MS;
	allowance->converge_min_ms = allowance->converge_ms;
	allowance->converge_max_ms = allowance->converge_ms;
	allowance->settled_ms = UINT64_MAX;
	allowance->rank_ms = UINT64_MAX;
	allowance->claim_ms = UINT64_MAX;
	allowance->parts_due_ms = UINT64_MAX;
	allowance->young = true;
	allowance->limit_scale = 1;
	allowance->eligible_ms = now_ms + SEASON_SELF_MS;
}

void allowance_set_overage(allowance_t *allowance, double overage)
{
	allowance->limit_scale = 1 + OVERAGE_USED * overage;
}

void allowance_free(allowance_t *allowance)
{
	free(allowance->customers);
	free(allowance->senders);
	memset(allowance, 0, sizeof(*allowance));
}

/* Makes room for `wanted` elements; the array stays as it was on failure. */
int allowance_grow(void **array, size_t *capacity, size_t wanted, size_t size)
{
	size_t new_capacity = *capacity ? *capacity : CAPACITY_FIRST;
	void *new_array;

	if (wanted <= *capacity)
		return 0;
	while (new_capacity < wanted)
		new_capacity *= 2;
	new_array = realloc(*array, new_capacity * size);
	if (!new_array)
		return ERR_NO_MEMORY;
	*array = new_array;
	*capacity = new_capacity;
	return 0;
}

/* Charges and limits of the configuration. */

static allowance_decision_t refuse(allowance_t *allowance,
				   allowance_customer_t *customer,
				   double tokens, uint64_t now_ms)
{
	double full_ms = tokens / customer->rate_per_ms;
	double wait_ms = DENIED_MIN_MS;

	allowance->counters.refused++;
	if (allowance_is_owner(allowance, customer)) {
		wait_ms = allowance_wait_for_room(customer, tokens, now_ms);
		allowance_deny(customer, tokens, tokens, now_ms);
	} else {
		if (customer->room_ms < now_ms)
			customer->room_ms = now_ms;
		wait_ms = (double)(customer->room_ms - now_ms);
		if (wait_ms < BACKLOG_MAX_MS)
			customer->room_ms +=
				(uint64_t)min_of(full_ms, BACKLOG_MAX_MS);
		customer->unit = max_of(customer->unit, tokens);
	}
	wait_ms = max_of(wait_ms, DENIED_MIN_MS) *
		  (1 + allowance_spread(allowance) / 2);
	return (allowance_decision_t){ ALLOWANCE_REFUSED, to_u32(wait_ms) };
}

static bool may_ask(const allowance_t *allowance,
		    const allowance_customer_t *customer, uint64_t now_ms)
{
	if (!customer->ranked[0])
		return false;
	if (customer->ask != ALLOWANCE_ASK_NONE)
		return true;
	if (allowance_is_owner(allowance, customer) &&
	    !allowance_is_fresh_owner(allowance, customer, now_ms))
		return false;
	return now_ms >= customer->denied_until_ms;
}

allowance_decision_t allowance_take(allowance_t *allowance, uint64_t customer,
				    uint64_t tokens, bool held, uint64_t now_ms)
{
	allowance_customer_t *entry =
		allowance_find_customer(allowance, customer);
	double cost = (double)tokens;

	if (!entry || !entry->limited) {
		allowance->counters.charged++;
		return (allowance_decision_t){ ALLOWANCE_CHARGED, 0 };
	}
	allowance_tick(allowance, now_ms);
	allowance_update(allowance, entry, now_ms);
	allowance_check_timeout(allowance, entry, now_ms);
	if (!held)
		allowance_count_demand(entry, cost, now_ms);
	if (allowance_charge(entry, cost, now_ms)) {
		allowance->counters.charged++;
		return (allowance_decision_t){ ALLOWANCE_CHARGED, 0 };
	}
	if (!may_ask(allowance, entry, now_ms))
		return refuse(allowance, entry, cost, now_ms);
	if (entry->ask == ALLOWANCE_ASK_NONE) {
		entry->ask = ALLOWANCE_ASK_DUE;
		entry->ask_step =
			allowance_is_owner(allowance, entry) ? OWNER_STEPS : 0;
		entry->ask_counts_held = held;
		entry->ask_target = 0;
		allowance->asks_open++;
	}
	/* A request is counted when it is first held, and again when the
	 * requests that an answer left are. */
	if (!held || entry->ask_counts_held) {
		entry->waiting += cost;
		entry->unit = max_of(entry->unit, cost);
	}
	return (allowance_decision_t){ ALLOWANCE_ASK_OWNER, 0 };
}

void allowance_return(allowance_t *allowance, uint64_t customer,
		      uint64_t tokens, uint64_t now_ms)
{
	allowance_customer_t *entry =
		allowance_find_customer(allowance, customer);

	if (!entry || !entry->limited)
		return;
	allowance_update(allowance, entry, now_ms);
	entry->returned += (double)tokens;
	if (allowance_is_owner(allowance, entry))
		allowance_merge_returned(entry);
}

/* Forgets customers that have no limit any more. */
static void evict_unlisted(allowance_t *allowance)
{
	size_t kept = 0;

	for (size_t i = 0; i < allowance->customer_count; i++) {
		if (!allowance->customers[i].listed) {
			allowance_end_ask(allowance, &allowance->customers[i]);
			continue;
		}
		allowance->customers[kept++] = allowance->customers[i];
	}
	allowance->evicted = true;
	allowance->customer_count = kept;
	memset(allowance->slots, 0, sizeof(allowance->slots));
	for (size_t i = 0; i < kept; i++)
		index_customer(allowance, i);
}

/* Makes room for the customers of a list and marks those that are known. */
static int prepare_list(allowance_t *allowance, const allowance_limit_t *limits,
			size_t count)
{
	size_t known = 0;
	size_t added = 0;
	size_t wanted;
	int ret;

	for (size_t i = 0; i < allowance->customer_count; i++)
		allowance->customers[i].listed = false;
	for (size_t i = 0; i < count; i++) {
		allowance_customer_t *customer =
			allowance_find_customer(allowance, limits[i].customer);

		if (!limits[i].rate_per_s)
			continue;
		if (!customer)
			added++;
		else if (!customer->listed)
			known++;
		if (customer)
			customer->listed = true;
	}
	if (known + added > ALLOWANCE_CUSTOMERS_MAX)
		return ERR_LIMIT;
	wanted = allowance->customer_count + added;
	if (wanted > ALLOWANCE_CUSTOMERS_MAX)
		wanted = ALLOWANCE_CUSTOMERS_MAX;
	ret = allowance_grow((void **)&allowance->customers,
			     &allowance->customer_capacity, wanted,
			     sizeof(*allowance->customers));
	if (!ret && allowance->customer_count + added > ALLOWANCE_CUSTOMERS_MAX)
		evict_unlisted(allowance);
	return ret;
}

/*
 * No other process can hold any of a customer that is new to a process that had
 * the configuration before it. A process that has just started may read an old
 * configuration first, and one that has forgotten customers can't tell.
 */
static double first_part(const allowance_t *allowance, uint64_t now_ms)
{
	return allowance->configured && !allowance->evicted &&
			       now_ms >= allowance->configured_ms + SETTLE_MS
		       ? allowance_share(allowance)
		       : 0;
}
static void set_limit(allowance_t *allowance, const allowance_limit_t *limit,
		      uint64_t now_ms)
{
	allowance_customer_t *customer =
		allowance_find_customer(allowance, limit->customer);
	double rate_before;
	double burst_before;

	if (!customer) {
		customer = &allowance->customers[allowance->customer_count];
		*customer = (allowance_customer_t){
			.key = limit->customer,
			.part = first_part(allowance, now_ms),
			.updated_ms = now_ms,
			.parts_due_ms = UINT64_MAX,
		};
		index_customer(allowance, allowance->customer_count++);
	}
	customer->listed = true;
	rate_before = customer->rate_per_ms;
	burst_before = customer->burst;
	customer->rate_per_ms =
		allowance->limit_scale * (double)limit->rate_per_s / 1000;
	customer->burst = allowance->limit_scale * (double)limit->burst;
	if (customer->rate_per_ms < rate_before)
		allowance_scale_granted(customer,
					customer->rate_per_ms / rate_before);
	if (customer->burst < burst_before)
		allowance_scale_granted(customer, 1);
	allowance_cap_tokens(customer);
	if (!customer->limited) {
		customer->limited = true;
		allowance_rank_customer(allowance, customer, now_ms);
	}
}

static void remove_limit(allowance_t *allowance, allowance_customer_t *customer)
{
	allowance_end_ask(allowance, customer);
	customer->limited = false;
	customer->rate_per_ms = 0;
	customer->tokens = 0;
	customer->granted = 0;
	customer->returned = 0;
	customer->owner = 0;
	customer->pieces = 0;
	customer->parts_due_ms = UINT64_MAX;
}

int allowance_set_limits(allowance_t *allowance,
			 const allowance_limit_t *limits, size_t count,
			 uint64_t now_ms)
{
	int ret;

	allowance_tick(allowance, now_ms);
	ret = prepare_list(allowance, limits, count);
	if (ret)
		return ret;
	allowance_update_all(allowance, now_ms);
	for (size_t i = 0; i < count; i++) {
		if (limits[i].rate_per_s)
			set_limit(allowance, &limits[i], now_ms);
	}
	allowance->limited_count = 0;
	for (size_t i = 0; i < allowance->customer_count; i++) {
		if (allowance->customers[i].listed)
			allowance->limited_count++;
		else
			remove_limit(allowance, &allowance->customers[i]);
	}
	if (!allowance->configured)
		allowance->configured_ms = now_ms;
	allowance->configured = true;
	allowance_set_period(allowance, now_ms);
	return 0;
}

uint64_t allowance_next_ms(const allowance_t *allowance)
{
	uint64_t next_ms = allowance->parts_due_ms;

	if (allowance->reply_count)
		return 0;
	if (allowance->settled_ms < next_ms)
		next_ms = allowance->settled_ms;
	if (allowance->rank_ms < next_ms)
		next_ms = allowance->rank_ms;
	if (allowance->configured && allowance->claim_ms < next_ms)
		next_ms = allowance->claim_ms;
	for (size_t i = 0;
	     allowance->asks_open && i < allowance->customer_count; i++) {
		const allowance_customer_t *customer = &allowance->customers[i];

		if (customer->ask == ALLOWANCE_ASK_DUE)
			return 0;
		if (customer->ask == ALLOWANCE_ASK_SENT &&
		    allowance_ask_due_ms(customer) < next_ms)
			next_ms = allowance_ask_due_ms(customer);
	}
	return next_ms;
}

bool allowance_view(allowance_t *allowance, uint64_t customer, uint64_t now_ms,
		    allowance_view_t *view)
{
	allowance_customer_t *entry =
		allowance_find_customer(allowance, customer);

	if (!entry || !entry->limited)
		return false;
	allowance_update(allowance, entry, now_ms);
	view->part = entry->part;
	view->tokens = entry->granted + max_of(0, entry->tokens);
	view->owner = allowance_is_owner(allowance, entry);
	return true;
}
