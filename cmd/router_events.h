/**
 * @file
 * Fetches the cache events of the engines that this instance uses.
 *
 * After a call that took B bytes the thread waits B / `--events-bytes-per-s`
 * before the next one, so the traffic never exceeds that rate. A call without
 * events takes about 0.3 KB, a full one with 64 events 3.8 KB. With the whole
 * control traffic budget of a node, 8 KB/s, 35 engines are therefore read every
 * 1.3 s while their caches do not change and every 16 s when all answers are
 * full. At 92 events per second from each engine (1.1 million per second over
 * 12,000 servers) events arrive faster than this thread can read them.
 */
#ifndef CMD_ROUTER_EVENTS_H
#define CMD_ROUTER_EVENTS_H

/** Thread that fetches cache events; takes a router_t. */
void *router_events_thread(void *router);

#endif
