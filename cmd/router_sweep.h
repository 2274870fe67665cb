/**
 * @file
 * Removes order records past their retention.
 *
 * All instances share the work: each sweeps at random times, on average once
 * in `--order-sweep-ms` times the number of routers in the instance list. At
 * most 4 store calls a second, counted under the purpose `status`.
 */
#ifndef CMD_ROUTER_SWEEP_H
#define CMD_ROUTER_SWEEP_H

/** Thread that sweeps; takes a router_t with a store. */
void *router_sweep_thread(void *router);

#endif
