/**
 * @file
 * Socket options. A socket works without them, so a failure to set one is only
 * logged.
 */
#ifndef PROCESS_SOCKET_OPTION_H
#define PROCESS_SOCKET_OPTION_H

/** Sets an option with an int value. */
void socket_option_set(int fd, int level, int option, int value);

/** Makes close() reset the connection, by SO_LINGER with a timeout of 0. */
void socket_option_reset_on_close(int fd);

#endif
