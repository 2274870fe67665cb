/**
 * @file
 * How the bytes of a connection travel. A pointer that is NULL where one of
 * these may be given stands for plain TCP.
 */
#ifndef CONNECTION_TRANSPORT_H
#define CONNECTION_TRANSPORT_H

#include <event2/bufferevent.h>
#include <sys/socket.h>

typedef struct transport {
	/**
	 * Makes the stream of a new connection.
	 * @param fd accepted socket, or -1 for one that is still to connect
	 * @param peer address that a connecting stream will go to, else NULL
	 * @return NULL if it cannot be made
	 */
	struct bufferevent *(*new_stream)(const struct transport *kind,
					  struct event_base *base,
					  evutil_socket_t fd,
					  const struct sockaddr *peer);
	/** Tells the other side that nothing follows; its end is read on. */
	void (*shutdown_output)(struct bufferevent *stream);
} transport_t;

#endif
