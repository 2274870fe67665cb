/**
 * @file
 * Transport of a connection's bytes, for example TLS. Where a transport is
 * optional, NULL stands for plain TCP.
 */
#ifndef CONNECTION_TRANSPORT_H
#define CONNECTION_TRANSPORT_H

#include <event2/bufferevent.h>
#include <sys/socket.h>

typedef struct transport {
	/**
	 * Creates the stream of a new connection.
	 * @param fd accepted socket, or -1 for a stream that will connect
	 * @param peer address that the stream will connect to, else NULL
	 * @return NULL on failure
	 */
	struct bufferevent *(*new_stream)(const struct transport *self,
					  struct event_base *base,
					  evutil_socket_t fd,
					  const struct sockaddr *peer);
	/** Closes the sending side; input can still be read. */
	void (*shutdown_output)(struct bufferevent *stream);
} transport_t;

#endif
