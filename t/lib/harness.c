#include "t/lib/harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "process/cleanup.h"

enum {
	PROGRAMS_MAX = 512,
	/** Sanitizer builds need this long to exit when the machine is busy. */
	STOP_LIMIT_MS = 20000,
	/** Below the range of ports that the system assigns for port 0. */
	FREE_PORT_FIRST = 12000,
	FREE_PORT_COUNT = 18000,
};

struct program {
	pid_t pid;
	int slot;
	int out_fd;
	bool reaped;
	int status;
	GString *output;
	uint16_t main_port;
};

/** Process ids of running programs; 0 marks a free slot. */
static _Atomic pid_t running[PROGRAMS_MAX];

/** Kills all running programs; async-signal-safe. */
static void kill_all(void)
{
	for (int i = 0; i < PROGRAMS_MAX; i++) {
		pid_t pid = atomic_load(&running[i]);

		if (pid > 0)
			kill(pid, SIGKILL);
	}
}

static void kill_all_and_reraise(int number)
{
	kill_all();
	signal(number, SIG_DFL);
	raise(number);
}

static void install_handlers_once(void)
{
	/* g_error() ends the process with SIGTRAP. */
	static const int numbers[] = { SIGABRT, SIGTRAP, SIGTERM, SIGINT,
				       SIGHUP };
	static gsize ready;

	if (!g_once_init_enter(&ready))
		return;
	atexit(kill_all);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		signal(numbers[i], kill_all_and_reraise);
	signal(SIGPIPE, SIG_IGN);
	g_once_init_leave(&ready, 1);
}

static int claim_slot(pid_t pid)
{
	for (int i = 0; i < PROGRAMS_MAX; i++) {
		pid_t free_slot = 0;

		if (atomic_compare_exchange_strong(&running[i], &free_slot,
						   pid))
			return i;
	}
	g_error("more than %d programs at once", PROGRAMS_MAX);
}

static char *find_program(const char *name)
{
	const char *build = g_getenv("BUILD");
	char *path = g_build_filename(build ? build : "build", name, NULL);

	if (access(path, X_OK) == 0)
		return path;
	g_free(path);
	return g_build_filename(build ? build : "build", "t", name, NULL);
}

static pid_t spawn(const char *path, char **argv, int out_fd)
{
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attributes;
	sigset_t none;
	sigset_t all;
	pid_t pid;
	int err;

	sigemptyset(&none);
	sigfillset(&all);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
					 O_RDONLY, 0);
	posix_spawn_file_actions_adddup2(&actions, out_fd, STDOUT_FILENO);
	posix_spawnattr_init(&attributes);
	posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK |
						      POSIX_SPAWN_SETSIGDEF);
	posix_spawnattr_setsigmask(&attributes, &none);
	posix_spawnattr_setsigdefault(&attributes, &all);
	err = posix_spawn(&pid, path, &actions, &attributes, argv, environ);
	posix_spawnattr_destroy(&attributes);
	posix_spawn_file_actions_destroy(&actions);
	if (err)
		g_error("cannot start %s: %s", path, g_strerror(err));
	return pid;
}

program_t *program_start_args(const char *name, const char *const *args)
{
	program_t *program = g_new0(program_t, 1);
	g_autofree char *path = find_program(name);
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	int fds[2];

	install_handlers_once();
	g_ptr_array_add(argv, path);
	for (; *args; args++)
		g_ptr_array_add(argv, (void *)*args);
	g_ptr_array_add(argv, NULL);
	if (pipe2(fds, O_CLOEXEC) != 0)
		g_error("cannot make a pipe: %s", g_strerror(errno));
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	program->pid = spawn(path, (char **)argv->pdata, fds[1]);
	program->slot = claim_slot(program->pid);
	close(fds[1]);
	program->out_fd = fds[0];
	program->output = g_string_new(NULL);
	return program;
}

static program_t *start_va_list(const char *name, va_list list)
{
	g_autoptr(GPtrArray) args = g_ptr_array_new();
	const char *argument;

	while ((argument = va_arg(list, const char *)))
		g_ptr_array_add(args, (void *)argument);
	g_ptr_array_add(args, NULL);
	return program_start_args(name, (const char *const *)args->pdata);
}

program_t *program_start(const char *name, ...)
{
	va_list list;
	program_t *program;

	va_start(list, name);
	program = start_va_list(name, list);
	va_end(list);
	return program;
}

program_t *standin_start(const char *name, ...)
{
	va_list list;
	program_t *program;

	va_start(list, name);
	program = start_va_list(name, list);
	va_end(list);
	program_main_port(program);
	return program;
}

static void read_output(program_t *program)
{
	char buffer[512];
	ssize_t got;

	while ((got = read(program->out_fd, buffer, sizeof(buffer))) > 0)
		g_string_append_len(program->output, buffer, got);
}

/** Port from a complete line `label=N`; 0 if there is none yet. */
static uint16_t find_port(program_t *program, const char *label)
{
	g_auto(GStrv) lines = NULL;

	read_output(program);
	lines = g_strsplit(program->output->str, "\n", -1);
	/* The text after the last newline may be an incomplete line. */
	for (char **line = lines; line[0] && line[1]; line++) {
		if (g_str_has_prefix(*line, label) &&
		    (*line)[strlen(label)] == '=')
			return (uint16_t)g_ascii_strtoull(
				*line + strlen(label) + 1, NULL, 10);
	}
	return 0;
}

uint16_t program_port(program_t *program, const char *label)
{
	uint16_t port = 0;

	if (!WAIT_UNTIL((port = find_port(program, label)) ||
				!program_is_running(program),
			HARNESS_WAIT_MS) ||
	    (!port && !(port = find_port(program, label))))
		g_error("process %d printed no line %s=<port>", program->pid,
			label);
	return port;
}

const char *program_output(program_t *program)
{
	read_output(program);
	return program->output->str;
}

uint16_t program_main_port(program_t *program)
{
	if (!program->main_port)
		program->main_port = program_port(program, "port");
	return program->main_port;
}

bool program_is_running(program_t *program)
{
	int status;

	if (program->reaped)
		return false;
	if (waitpid(program->pid, &status, WNOHANG) != program->pid)
		return true;
	atomic_store(&running[program->slot], 0);
	program->reaped = true;
	program->status = WIFEXITED(status) ? WEXITSTATUS(status)
					    : 128 + WTERMSIG(status);
	return false;
}

int program_pid(const program_t *program)
{
	return program->pid;
}

void program_signal(program_t *program, int signal_number)
{
	if (program_is_running(program))
		kill(program->pid, signal_number);
}

int program_wait(program_t *program, uint64_t timeout_ms)
{
	if (!WAIT_UNTIL(!program_is_running(program), timeout_ms))
		return -1;
	return program->status;
}

int program_stop(program_t *program)
{
	int status;

	program_signal(program, SIGTERM);
	status = program_wait(program, STOP_LIMIT_MS);
	if (status >= 0)
		return status;
	program_signal(program, SIGKILL);
	return program_wait(program, STOP_LIMIT_MS);
}

void program_free(program_t *program)
{
	program_stop(program);
	close(program->out_fd);
	g_string_free(program->output, TRUE);
	g_free(program);
}

void standin_control(uint16_t port, const char *json)
{
	g_autoptr(http_answer_t) answer =
		http_local("POST", port, "/control", NULL, json);

	if (answer->status != 200)
		g_error("control %s: status %ld %s", json, answer->status,
			answer->body);
}

static struct sockaddr_in loopback(uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
}

bool port_accepts(uint16_t port)
{
	CLEANUP_FD int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = loopback(port);

	return fd >= 0 &&
	       !connect(fd, (struct sockaddr *)&address, sizeof(address));
}

bool url_answers(const char *url)
{
	g_autoptr(http_answer_t) answer = http_call("GET", url, NULL, NULL);

	return answer->status == 200;
}

static bool can_bind(uint16_t port, int type)
{
	CLEANUP_FD int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = loopback(port);

	return fd >= 0 &&
	       !bind(fd, (struct sockaddr *)&address, sizeof(address));
}

uint16_t harness_free_port(void)
{
	static atomic_uint next;

	/* Concurrent test programs start the search at different ports. */
	for (int i = 0; i < FREE_PORT_COUNT; i++) {
		uint32_t offset =
			(uint32_t)getpid() * 97 + atomic_fetch_add(&next, 1);
		uint16_t port =
			(uint16_t)(FREE_PORT_FIRST + offset % FREE_PORT_COUNT);

		if (can_bind(port, SOCK_STREAM) && can_bind(port, SOCK_DGRAM))
			return port;
	}
	g_error("no free port");
}
