#include "review/standin/rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static uint64_t started_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t rig_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

bool rig_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void rig_record(rig_t *rig, const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(rig->record, "%7.3f s  ",
		(double)(rig_now_ms() - started_ms) / 1000);
	va_start(args, format);
	vfprintf(rig->record, format, args);
	va_end(args);
	fputc('\n', rig->record);
	fflush(rig->record);
	pthread_mutex_unlock(&record_lock);
}

static void end_gateways(rig_t *rig)
{
	for (int i = 0; i < RIG_GATEWAYS_MAX; i++) {
		if (rig->gateways[i] <= 0)
			continue;
		kill(rig->gateways[i], SIGCONT);
		kill(rig->gateways[i], SIGKILL);
		waitpid(rig->gateways[i], NULL, 0);
		rig->gateways[i] = 0;
	}
}

static void remove_folder(rig_t *rig)
{
	char path[160];

	for (int i = 0; i < RIG_GATEWAYS_MAX; i++) {
		snprintf(path, sizeof(path), "%s/settings-%d", rig->folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/log-%d", rig->folder, i);
		unlink(path);
	}
	rmdir(rig->folder);
}

void rig_cannot(rig_t *rig, const char *what)
{
	fprintf(stderr, "cannot run: %s\n", what);
	if (rig->record)
		rig_record(rig, "cannot run: %s", what);
	end_gateways(rig);
	remove_folder(rig);
	_exit(2);
}

static uint16_t free_port(rig_t *rig)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) ||
	    getsockname(fd, (struct sockaddr *)&address, &len))
		rig_cannot(rig, "no free port");
	close(fd);
	return ntohs(address.sin_port);
}

void rig_open(rig_t *rig, const char *case_folder)
{
	char path[256];

	memset(rig, 0, sizeof(*rig));
	signal(SIGPIPE, SIG_IGN);
	started_ms = rig_now_ms();
	snprintf(path, sizeof(path), "%s/record.txt", case_folder);
	rig->record = fopen(path, "w");
	snprintf(rig->folder, sizeof(rig->folder), "/tmp/review-XXXXXX");
	if (!rig->record || !mkdtemp(rig->folder))
		rig_cannot(rig, "no folder");
	rig->store = platform_store_start();
	rig->front_port = free_port(rig);
	rig->ready_port = free_port(rig);
	rig->peer_port = free_port(rig);
}

void rig_close(rig_t *rig)
{
	end_gateways(rig);
	remove_folder(rig);
	fclose(rig->record);
}

/* What deploy/settings.template yields for a small deployment. */
static void write_settings(rig_t *rig, int index, const char *path)
{
	FILE *file = fopen(path, "w");

	if (!file)
		rig_cannot(rig, "no settings file");
	fprintf(file,
		"--name=front-%d\n--domain=zone-a\n"
		"--listen=127.0.0.%d:%u\n--ready-listen=127.0.0.%d:%u\n"
		"--peer-ip=127.0.0.%d\n--peer-port=%u\n--metrics-port=0\n"
		"--store=127.0.0.1:%u\n--seeds=127.0.0.20:1\n"
		"--memory-mb=96\n--descriptors=2940\n--link-mbps=700.0\n"
		"--grace-s=8\n--retry-ratio=0.2\n--retry-window-s=10\n"
		"--retry-slack=108\n--lease-ms=3000\n--weights-ms=8000\n"
		"--stable-ms=3000\n",
		index, 20 + index, rig->front_port, 20 + index,
		rig->ready_port, 20 + index, rig->peer_port,
		platform_store_port(rig->store));
	fclose(file);
}

static int connect_to(int gateway, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	struct timeval limit = { .tv_sec = 20 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(0x7f000000U + 20 + (uint32_t)gateway);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	return fd;
}

static size_t exchange(int gateway, uint16_t port, const char *request,
		       char **answer)
{
	size_t size = 65536;
	size_t len = 0;
	int fd = connect_to(gateway, port);

	*answer = calloc(1, size);
	if (fd < 0)
		return 0;
	if (send(fd, request, strlen(request), 0) > 0) {
		ssize_t got;

		while ((got = recv(fd, *answer + len, size - len - 1, 0)) > 0) {
			len += (size_t)got;
			if (size - len < 32768) {
				size *= 2;
				*answer = realloc(*answer, size);
			}
		}
	}
	(*answer)[len] = '\0';
	close(fd);
	return len;
}

size_t rig_call(rig_t *rig, int gateway, const char *request, char **answer)
{
	return exchange(gateway, rig->front_port, request, answer);
}

static bool is_ready(rig_t *rig, int index)
{
	char *answer;
	bool ready;

	exchange(index, rig->ready_port,
		 "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
		 "Connection: close\r\n\r\n",
		 &answer);
	ready = !strncmp(answer, "HTTP/1.1 200", 12);
	free(answer);
	return ready;
}

void rig_start_gateway(rig_t *rig, int index)
{
	char settings[160];
	char log[160];
	char variable[200];
	uint64_t limit_ms = rig_now_ms() + 10000;

	snprintf(settings, sizeof(settings), "%s/settings-%d", rig->folder,
		 index);
	snprintf(log, sizeof(log), "%s/log-%d", rig->folder, index);
	snprintf(variable, sizeof(variable), "AMARANTHVALE_SETTINGS=%s",
		 settings);
	write_settings(rig, index, settings);
	rig->gateways[index] = fork();
	if (!rig->gateways[index]) {
		char *arguments[] = { (char *)"target/amaranthvale-gateway",
				      NULL };
		char *variables[] = { variable, (char *)"PATH=/usr/bin:/bin",
				      NULL };

		/* Not to be left behind if the case is ended early. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
			_exit(2);
		execve(arguments[0], arguments, variables);
		_exit(2);
	}
	while (!is_ready(rig, index)) {
		if (rig_now_ms() > limit_ms)
			rig_cannot(rig, "a gateway did not become ready");
		usleep(20000);
	}
	rig_record(rig, "gateway front-%d is ready", index);
}
