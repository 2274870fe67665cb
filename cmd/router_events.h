/**
 * @file
 * Reads the cache events of the engines that this instance uses.
 *
 * An answer is paid for before the next call: after B bytes the thread waits
 * B / `--events-bytes-per-s`, so the traffic never exceeds that rate. A call
 * without events takes about 0.3 KB and a full one of 64 events 3.8 KB. Within
 * the whole control budget of a node, 8 KB/s, 35 engines are therefore read
 * every 1.3 s while their caches do not change and every 16 s when all answers
 * are full. At 92 events a second from one engine (1.1 million a second over
 * 12,000 servers) the events outrun this reader.
 */
#ifndef CMD_ROUTER_EVENTS_H
#define CMD_ROUTER_EVENTS_H

/** Thread that reads cache events; takes a router_t. */
void *router_events_thread(void *router);

#endif
