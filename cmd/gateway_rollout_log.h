/**
 * @file
 * The log of the orders to engines, in the platform's store. Runs on the
 * control thread.
 */
#ifndef CMD_GATEWAY_ROLLOUT_LOG_H
#define CMD_GATEWAY_ROLLOUT_LOG_H

#include "cmd/gateway_control.h"
#include "process/rollout_log.h"

typedef struct gateway_rollout_log gateway_rollout_log_t;

/** Called after orders have been logged, so that they may be sent. */
typedef void gateway_rollout_logged_fn(void *context);

/** Returns NULL when out of memory. */
gateway_rollout_log_t *
gateway_rollout_log_open(gateway_control_t *control,
			 gateway_rollout_logged_fn *logged, void *context);
void gateway_rollout_log_close(gateway_rollout_log_t *log);

/**
 * Begins a term, or ends it if `fencing` is 0.
 * @param observed_ms see rollout_term_t
 */
void gateway_rollout_log_set_term(gateway_rollout_log_t *log, uint64_t fencing,
				  uint64_t observed_ms);

/** Sends the call to the store that is due now. */
void gateway_rollout_log_step(gateway_rollout_log_t *log);

/** State of the log, for its other functions. */
rollout_log_t *gateway_rollout_log_state(gateway_rollout_log_t *log);

#endif
