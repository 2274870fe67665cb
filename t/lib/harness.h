/**
 * @file
 * Starts and stops programs on loopback and waits for conditions.
 *
 * Programs that are still running when the test program exits, aborts or is
 * terminated are killed by process id.
 */
#ifndef T_LIB_HARNESS_H
#define T_LIB_HARNESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/clock.h"
#include "t/lib/http_client.h"

enum {
	/** Timeout of something that normally takes milliseconds. */
	HARNESS_WAIT_MS = 10000,
	/** Interval at which WAIT_UNTIL() evaluates its expression. */
	HARNESS_POLL_MS = 5,
};

/**
 * Evaluates an expression repeatedly until it is true or the timeout expires.
 * The macro's value is whether the expression was true.
 */
#define WAIT_UNTIL(expression, timeout_ms)                                \
	__extension__({                                                   \
		uint64_t deadline_ms_ = clock_now_ms() + (timeout_ms);    \
		bool reached_ = false;                                    \
		while (!(reached_ = (expression)) &&                      \
		       clock_now_ms() < deadline_ms_)                     \
			clock_sleep_us((uint64_t)HARNESS_POLL_MS * 1000); \
		reached_;                                                 \
	})

/** A started program. */
typedef struct program program_t;

/**
 * Starts a program from $BUILD or $BUILD/t. Its standard output is captured for
 * program_port() and program_output(). Fails the test if it cannot be started.
 * @param ... arguments as strings, ended by NULL
 */
program_t *program_start(const char *name, ...) G_GNUC_NULL_TERMINATED;

/** Like program_start(), with a NULL-terminated array of arguments. */
program_t *program_start_args(const char *name, const char *const *args);

/** Starts a stand-in and waits until it prints `port=N`. */
program_t *standin_start(const char *name, ...) G_GNUC_NULL_TERMINATED;

/**
 * Waits until the program prints `label=N` on standard output.
 * @return N; fails the test if the line is not printed in time
 */
uint16_t program_port(program_t *program, const char *label);

/**
 * Returns the standard output of the program so far.
 * @return text that is valid until the next call for this program
 */
const char *program_output(program_t *program);

/** Returns N from the line `port=N`; waits for the line if necessary. */
uint16_t program_main_port(program_t *program);

/** Process id, for example to read statistics under /proc. */
int program_pid(const program_t *program);

/** Sends a signal if the program is running. */
void program_signal(program_t *program, int signal_number);

/** Whether the program is running. */
bool program_is_running(program_t *program);

/**
 * Waits until the program exits.
 * @return exit status; 128 + signal number if a signal ended it; -1 if it is
 *         still running after the timeout
 */
int program_wait(program_t *program, uint64_t timeout_ms);

/**
 * Sends SIGTERM and, if the program does not exit in time, SIGKILL.
 * @return as for program_wait()
 */
int program_stop(program_t *program);

/** Stops the program if it is running, and frees it. */
void program_free(program_t *program);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(program_t, program_free)

/** POST to `/control` of a stand-in; fails the test unless it returns 200. */
void standin_control(uint16_t port, const char *json);

/** Whether a process accepts connections on the port. */
bool port_accepts(uint16_t port);

/** Whether a GET of the URL is answered with status 200. */
bool url_answers(const char *url);

/**
 * Returns a port that is currently free for TCP and UDP. Prefer port 0 where
 * the program prints its port; this is for programs whose port must be known
 * to others before they start.
 */
uint16_t harness_free_port(void);

#endif
