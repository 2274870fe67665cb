#include "process/socket_address.h"

#include <arpa/inet.h>
#include <string.h>

#include "process/error.h"

int socket_address_parse(const char *text, uint16_t port,
			 socket_address_t *address)
{
	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, text, &address->v4.sin_addr) == 1) {
		address->v4.sin_family = AF_INET;
		address->v4.sin_port = htons(port);
		return 0;
	}
	if (inet_pton(AF_INET6, text, &address->v6.sin6_addr) == 1) {
		address->v6.sin6_family = AF_INET6;
		address->v6.sin6_port = htons(port);
		return 0;
	}
	return ERR_BAD_FIELD;
}

socklen_t socket_address_len(const socket_address_t *address)
{
	return address->any.sa_family == AF_INET6 ? sizeof(address->v6)
						  : sizeof(address->v4);
}

uint16_t socket_address_port(const socket_address_t *address)
{
	return ntohs(address->any.sa_family == AF_INET6 ? address->v6.sin6_port
							: address->v4.sin_port);
}
