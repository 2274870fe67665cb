/**
 * @file
 * IPv4 and IPv6 socket addresses.
 */
#ifndef PROCESS_SOCKET_ADDRESS_H
#define PROCESS_SOCKET_ADDRESS_H

#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>

typedef union socket_address {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
} socket_address_t;

/**
 * Parses a numeric IPv4 or IPv6 address.
 * @return 0 or ERR_BAD_FIELD
 */
int socket_address_parse(const char *text, uint16_t port,
			 socket_address_t *address);

/** Length of the union member in use, bytes. */
socklen_t socket_address_len(const socket_address_t *address);

/** Port in host byte order. */
uint16_t socket_address_port(const socket_address_t *address);

#endif
