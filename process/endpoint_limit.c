#include "process/endpoint_limit.h"

#include "process/hash.h"

/** Converts a limit, which is per 1000 s, to requests per ms. */
#define MS_PER_1000_S 1000000.0

static uint32_t sender_count(double per_ms, uint32_t instances)
{
	double per_s = per_ms * 1000;

	if (per_s < 1)
		return 1;
	return per_s < instances ? (uint32_t)per_s : instances;
}

/* Part of a request with which a turn begins. It differs between turns, so that
 * what a share has beyond whole requests is used in some of them. */
static double first_part(const limit_turn_t *turn, uint64_t endpoint)
{
	uint64_t draw =
		hash_rendezvous(turn->number + turn->position, endpoint);

	return (double)(draw >> 11) * 0x1.0p-53;
}

/* Adds the share since the last call or the begin of the turn. */
static void refill(endpoint_limit_t *state, double share_per_ms,
		   const limit_turn_t *turn, uint64_t endpoint, uint64_t now_ms)
{
	double burst = share_per_ms * ENDPOINT_LIMIT_BURST_MS;

	if (burst < 1)
		burst = 1;
	if (state->turn_after != turn->number + 1) {
		state->turn_after = turn->number + 1;
		state->requests = first_part(turn, endpoint);
		state->refilled_ms = turn->begin_ms;
	}
	if (now_ms > state->refilled_ms)
		state->requests +=
			share_per_ms * (double)(now_ms - state->refilled_ms);
	state->refilled_ms = now_ms;
	if (state->requests > burst)
		state->requests = burst;
}

bool endpoint_limit_allows(endpoint_limit_t *state, uint32_t limit,
			   const limit_turn_t *turn, uint64_t endpoint,
			   uint64_t now_ms)
{
	double per_ms =
		(limit < ENDPOINT_LIMIT_MIN ? ENDPOINT_LIMIT_MIN : limit) /
		MS_PER_1000_S;
	uint32_t senders = sender_count(per_ms, turn->instances);

	if (turn->position >= senders)
		return false;
	refill(state, per_ms / senders, turn, endpoint, now_ms);
	return state->requests >= 1;
}

void endpoint_limit_count(endpoint_limit_t *state)
{
	state->requests = state->requests > 1 ? state->requests - 1 : 0;
}
