/**
 * @file
 * Runs the pool controllers of the router daemon: passes the configuration and
 * the instance list to process/controller_service.h.
 */
#ifndef CMD_ROUTER_ENGINES_H
#define CMD_ROUTER_ENGINES_H

#include "cmd/router.h"

/**
 * Thread that runs the controllers until the router stops; takes a router_t
 * with a store. Leases are released as soon as the router begins to stop.
 */
void *router_engines_thread(void *router);

#endif
