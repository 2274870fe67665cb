/**
 * @file
 * Removes order records that are older than `--order-retention-ms`.
 *
 * The instances share the work: each sweeps at random times, on average once
 * in `--order-sweep-ms` times the number of live instances. It makes at most 4
 * store calls per second, with the purpose `status`.
 */
#ifndef CMD_ROUTER_SWEEP_H
#define CMD_ROUTER_SWEEP_H

/** Thread that removes the records; takes a router_t with a store. */
void *router_sweep_thread(void *router);

#endif
