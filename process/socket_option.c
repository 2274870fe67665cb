#include "process/socket_option.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "process/event.h"

static void set_option(int fd, int level, int option, const void *value,
		       socklen_t len)
{
	if (setsockopt(fd, level, option, value, len) < 0)
		event_log(EVENT_SOCKET_OPTION_FAILED,
			  "level=%d option=%d reason=\"%s\"", level, option,
			  strerror(errno));
}

void socket_option_set(int fd, int level, int option, int value)
{
	set_option(fd, level, option, &value, sizeof(value));
}

void socket_option_reset_on_close(int fd)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	set_option(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}
