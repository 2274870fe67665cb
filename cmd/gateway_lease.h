/**
 * @file
 * The lease that allows one instance at a time to order engines to load new
 * weights. It is kept in the platform's store. Runs on the control thread.
 */
#ifndef CMD_GATEWAY_LEASE_H
#define CMD_GATEWAY_LEASE_H

#include "cmd/gateway_control.h"

typedef struct gateway_lease gateway_lease_t;

/** Called when this instance acquires or loses the lease; state from before is
 * no longer valid. */
typedef void gateway_term_fn(void *context);

/** Competing for the lease starts with the ticks; NULL when out of memory. */
gateway_lease_t *gateway_lease_open(gateway_control_t *control,
				    gateway_term_fn *term_changed,
				    void *context);
void gateway_lease_close(gateway_lease_t *lease);

void gateway_lease_tick(gateway_lease_t *lease, uint64_t now_ms);

/** The store has begun a newer era. */
void gateway_lease_store_era(gateway_lease_t *lease);

/** Releases the lease before a planned stop. */
void gateway_lease_release(gateway_lease_t *lease);

/** Fencing number if this instance still holds the lease `ahead_ms` from now,
 * else 0. */
uint64_t gateway_lease_fencing(const gateway_lease_t *lease, uint32_t ahead_ms);

/** Time since this instance first read the record as it was before it acquired
 * the lease, ms. */
uint64_t gateway_lease_observed_ms(const gateway_lease_t *lease);

#endif
