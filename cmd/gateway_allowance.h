/**
 * @file
 * Exchange of customers' allowances with other instances, on the front thread.
 * Without --forward-port an instance keeps to its own part and exchanges
 * nothing.
 */
#ifndef CMD_GATEWAY_ALLOWANCE_H
#define CMD_GATEWAY_ALLOWANCE_H

#include "cmd/gateway.h"
#include "request/exchange.h"

typedef struct gateway_allowance gateway_allowance_t;

/** Sets up the limits of customers and the socket for datagrams; NULL if that
 * fails. */
gateway_allowance_t *gateway_allowance_open(gateway_t *gateway,
					    exchange_env_t *env);

/** To be called when no request is ended any more. */
void gateway_allowance_close(gateway_allowance_t *allowance);

/** Puts the newest limits and instances in force; to be called periodically. */
void gateway_allowance_tick(gateway_allowance_t *allowance);

/** Hands over to other instances what this one holds; to be called at the begin
 * of a planned stop and before the process ends. */
void gateway_allowance_hand_over(gateway_allowance_t *allowance);

#endif
