#include "process/send_rate.h"

#include <math.h>

/** Several heartbeat intervals, and some requests of an instance among a
 * hundred, ms. */
#define TIME_CONSTANT_MS 2000.0

static double recent_at(const send_rate_t *rate, uint64_t now_ms)
{
	return rate->recent *
	       exp(-(double)(now_ms - rate->updated_ms) / TIME_CONSTANT_MS);
}

void send_rate_count(send_rate_t *rate, uint64_t now_ms)
{
	rate->recent = recent_at(rate, now_ms) + 1;
	rate->updated_ms = now_ms;
}

double send_rate_unseen(const send_rate_t *rate, uint32_t instances,
			uint32_t age_ms, uint64_t now_ms)
{
	uint32_t others = instances > 1 ? instances - 1 : 0;

	return recent_at(rate, now_ms) / TIME_CONSTANT_MS * age_ms * others;
}
