/**
 * @file
 * Internal declarations shared by the source files of the allowances; not to be
 * included elsewhere.
 *
 * - allowance.c: start, limits of the configuration, charges;
 * - allowance_balance.c: what accrues, is spent and denied at an instance;
 * - allowance_instances.c: who takes part, the owner, when parts are sent, and
 *   the restart of all;
 * - allowance_exchange.c: asks, and datagrams in and out.
 */
#ifndef PROCESS_ALLOWANCE_PRIVATE_H
#define PROCESS_ALLOWANCE_PRIVATE_H

#include "process/allowance.h"

enum {
	/** Shortest period in which parts are sent, ms. */
	PERIOD_MIN_MS = 500,
	/** Time in which a part converges to its share, in periods that follow
	 * from the datagrams sent. An eighth of the limit is on the way to the
	 * owner at the most. */
	CONVERGE_PERIODS = 8,
	/** A configuration is in force everywhere after 4 s, and a change of
	 * the instances known; both with a margin. */
	SETTLE_MS = 10000,
	/** All others have heard of a new instance after this time; only then
	 * is it an owner. */
	SEASON_MS = 2000,
	/** A process is young for this long. All are restarted within less, and
	 * each has heard of the others by then. */
	YOUNG_MS = 3000,
	/** Asks without an answer, see ASK_TIMEOUT_MS. */
	ASKS_SILENT_MAX = 4,
	/** Only the owner is asked again when an ask or its answer is lost; no
	 * other has anything. Others follow if it says that it isn't. */
	OWNER_STEPS = ASKS_SILENT_MAX,
	/** Shortest and longest time without asking after a denial; the
	 * shortest to come back, too. */
	DENIED_MIN_MS = 50,
	/** Longest backlog that is believed, and longest time to come back. */
	BACKLOG_MAX_MS = 10000,
};

static inline double min_of(double a, double b)
{
	return a < b ? a : b;
}

static inline double max_of(double a, double b)
{
	return a > b ? a : b;
}

static inline uint32_t to_u32(double value)
{
	if (value <= 0)
		return 0;
	return value >= (double)UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

/* allowance.c */

allowance_customer_t *allowance_find_customer(const allowance_t *allowance,
					      uint64_t key);
allowance_sender_t *allowance_find_sender(const allowance_t *allowance,
					  uint64_t id);
int allowance_grow(void **array, size_t *capacity, size_t wanted, size_t size);

/* allowance_balance.c */

double allowance_share(const allowance_t *allowance);
void allowance_cap_tokens(allowance_customer_t *customer);
bool allowance_is_owner(const allowance_t *allowance,
			const allowance_customer_t *customer);
void allowance_merge_returned(allowance_customer_t *customer);
void allowance_update(const allowance_t *allowance,
		      allowance_customer_t *customer, uint64_t now_ms);
void allowance_update_all(allowance_t *allowance, uint64_t now_ms);
bool allowance_is_fresh_owner(const allowance_t *allowance,
			      const allowance_customer_t *customer,
			      uint64_t now_ms);
double allowance_draw(allowance_customer_t *customer, double wanted,
		      double unit, uint64_t now_ms);
double allowance_wait_for_room(const allowance_customer_t *customer,
			       double unit, uint64_t now_ms);
void allowance_deny(allowance_customer_t *customer, double tokens, double unit,
		    uint64_t now_ms);
bool allowance_charge(allowance_customer_t *customer, double tokens,
		      uint64_t now_ms);
double allowance_recent_demand(const allowance_customer_t *customer,
			       uint64_t now_ms);
void allowance_count_demand(allowance_customer_t *customer, double tokens,
			    uint64_t now_ms);
double allowance_spread(allowance_t *allowance);
void allowance_scale_granted(allowance_customer_t *customer, double factor);

/* allowance_instances.c */

uint64_t allowance_next_due_ms(const allowance_t *allowance, uint64_t owner,
			       uint64_t now_ms);
bool allowance_is_large(const allowance_t *allowance,
			const allowance_customer_t *customer);
void allowance_plan_transfer(allowance_t *allowance,
			     allowance_customer_t *customer, bool was_owner,
			     uint64_t now_ms);
void allowance_rank_customer(allowance_t *allowance,
			     allowance_customer_t *customer, uint64_t now_ms);
void allowance_set_period(allowance_t *allowance, uint64_t now_ms);
void allowance_tick(allowance_t *allowance, uint64_t now_ms);

/* allowance_exchange.c */

void allowance_end_ask(allowance_t *allowance, allowance_customer_t *customer);
uint64_t allowance_ask_due_ms(const allowance_customer_t *customer);
void allowance_check_timeout(allowance_t *allowance,
			     allowance_customer_t *customer, uint64_t now_ms);

#endif
