/*
 * Linked into a program for tests, to lead its connections to some ports of
 * 127.0.0.1 to other ones. The linker replaces the calls of
 * bufferevent_socket_connect() in our code by the one here. DETOUR_FILE names a
 * file that holds detour_t entries; it is read once, at the start.
 */
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib/detour.h"

int __real_bufferevent_socket_connect(struct bufferevent *stream,
				      const struct sockaddr *address, int len);
int __wrap_bufferevent_socket_connect(struct bufferevent *stream,
				      const struct sockaddr *address, int len);

static detour_t detours[DETOURS_MAX];
static size_t detour_count;

__attribute__((constructor)) static void read_detours(void)
{
	const char *path = getenv("DETOUR_FILE");
	int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
	ssize_t len;

	if (fd < 0)
		return;
	len = read(fd, detours, sizeof(detours));
	close(fd);
	if (len > 0)
		detour_count = (size_t)len / sizeof(detours[0]);
}

static void lead_elsewhere(struct sockaddr_in *address)
{
	if (address->sin_addr.s_addr != htonl(INADDR_LOOPBACK))
		return;
	for (size_t i = 0; i < detour_count; i++) {
		if (address->sin_port == htons(detours[i].port)) {
			address->sin_port = htons(detours[i].other_port);
			return;
		}
	}
}

int __wrap_bufferevent_socket_connect(struct bufferevent *stream,
				      const struct sockaddr *address, int len)
{
	struct sockaddr_in other;

	if (address->sa_family != AF_INET)
		return __real_bufferevent_socket_connect(stream, address, len);
	memcpy(&other, address, sizeof(other));
	lead_elsewhere(&other);
	return __real_bufferevent_socket_connect(
		stream, (const struct sockaddr *)&other, sizeof(other));
}
