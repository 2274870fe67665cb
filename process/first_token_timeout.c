#include "process/first_token_timeout.h"

/** Weight of a new sample in the running mean: averages over about ten streams,
 * one to two seconds of one instance. */
#define SAMPLE_WEIGHT 0.1
/** Factor on the estimate, which includes little of the load that other
 * instances cause. */
#define ESTIMATE_FACTOR 4
/** Factor on the mean of recent waits; few streams wait three times as long. */
#define MEAN_FACTOR 3

void first_token_timeout_record(first_token_timeout_t *timeout,
				uint64_t wait_ms)
{
	timeout->mean_wait_ms +=
		SAMPLE_WEIGHT * ((double)wait_ms - timeout->mean_wait_ms);
}

uint64_t first_token_timeout_ms(const first_token_timeout_t *timeout,
				double estimate_ms)
{
	return STREAM_STALL_TIMEOUT_MS +
	       (uint64_t)(ESTIMATE_FACTOR * estimate_ms +
			  MEAN_FACTOR * timeout->mean_wait_ms);
}
