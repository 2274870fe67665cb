#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
	RUN_MAX_S = 110,
	READ_BYTES = 65536,
	HISTORY_MAX = 100000,
	READY_MAX_MS = 15000,
	/** Of a page of a list. */
	PAGE_ITEMS = 500,
	PAGE_BYTES = 1048576,
};

static FILE *record;
static char folder_path[512];
static char temp_path[256];
static bool with_trouble = true;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t began_ms;

typedef struct gateway {
	pid_t pid;
	char zone[32];
} gateway_t;

static gateway_t gateways[RIG_GATEWAYS_MAX];
static pthread_mutex_t gateways_lock = PTHREAD_MUTEX_INITIALIZER;
static uint16_t front_port, ready_port, peer_port, forward_port, metrics_port;
static uint16_t store_port;

uint64_t rig_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void rig_sleep_ms(uint64_t ms)
{
	struct timespec left = { (time_t)(ms / 1000),
				 (long)(ms % 1000) * 1000000 };

	while (nanosleep(&left, &left) < 0 && errno == EINTR)
		;
}

void rig_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%7.3f ", (double)(rig_now_ms() - began_ms) / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool rig_trouble(void)
{
	return with_trouble;
}

static void kill_gateways(void)
{
	for (int i = 0; i < RIG_GATEWAYS_MAX; i++) {
		if (gateways[i].pid <= 0)
			continue;
		kill(gateways[i].pid, SIGCONT);
		kill(gateways[i].pid, SIGKILL);
		waitpid(gateways[i].pid, NULL, 0);
		gateways[i].pid = 0;
	}
}

static void remove_temp(void)
{
	char path[512];

	for (int i = 0; i < RIG_GATEWAYS_MAX; i++) {
		snprintf(path, sizeof(path), "%s/settings-%d", temp_path, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/log-%d", temp_path, i);
		if (!getenv("KEEP_LOGS"))
			unlink(path);
	}
	rmdir(temp_path);
}

void rig_end(int status)
{
	pthread_mutex_lock(&gateways_lock);
	kill_gateways();
	remove_temp();
	rig_record("end: exit %d", status);
	fprintf(stderr, "exit %d\n", status);
	_exit(status);
}

void rig_fail(const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	rig_record("cannot run: %s", text);
	fprintf(stderr, "cannot run: %s\n", text);
	rig_end(RIG_CANNOT_RUN);
}

static void *limit_main(void *context)
{
	(void)context;
	rig_sleep_ms(RUN_MAX_S * 1000);
	rig_fail("the run took longer than %d s", RUN_MAX_S);
}

static uint16_t free_port(void)
{
	static uint16_t next;

	if (!next)
		next = (uint16_t)(12000 + getpid() * 97 % 17000);
	for (int tries = 0; tries < 20000; tries++) {
		uint16_t port = next++;
		bool free = true;

		if (next >= 30000)
			next = 12000;
		for (int i = -1; free && i < RIG_GATEWAYS_MAX; i++) {
			struct sockaddr_in address = {
				.sin_family = AF_INET,
				.sin_port = htons(port),
				.sin_addr.s_addr =
					htonl(0x7f000000U +
					      (uint32_t)(i < 0 ? 1 : i + 2)),
			};
			int tcp = socket(AF_INET, SOCK_STREAM, 0);
			int udp = socket(AF_INET, SOCK_DGRAM, 0);

			free = !bind(tcp, (void *)&address, sizeof(address)) &&
			       !bind(udp, (void *)&address, sizeof(address));
			close(tcp);
			close(udp);
		}
		if (free)
			return port;
	}
	rig_fail("no free port");
}

static void on_signal(int number)
{
	for (int i = 0; i < RIG_GATEWAYS_MAX; i++) {
		if (gateways[i].pid > 0)
			kill(gateways[i].pid, SIGKILL);
	}
	_exit(128 + number);
}

void rig_begin(const char *folder, const char *trouble)
{
	const char *tmp = getenv("TMPDIR");
	char path[600];
	pthread_t thread;

	began_ms = rig_now_ms();
	snprintf(folder_path, sizeof(folder_path), "%s", folder);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (!record) {
		perror(path);
		_exit(RIG_CANNOT_RUN);
	}
	with_trouble = strcmp(trouble, "0") != 0;
	snprintf(temp_path, sizeof(temp_path), "%s/review-2-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!mkdtemp(temp_path))
		rig_fail("no temporary folder");
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	pthread_create(&thread, NULL, limit_main, NULL);
	pthread_detach(thread);
	front_port = free_port();
	ready_port = free_port();
	peer_port = free_port();
	forward_port = free_port();
	metrics_port = free_port();
	rig_record("TROUBLE=%d", with_trouble);
}

/* HTTP. */

char *rig_header(const char *head, const char *name)
{
	size_t len = strlen(name);

	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line + 2, "\r\n")) {
		const char *value = line + 2 + len;

		if (strncasecmp(line + 2, name, len) != 0 || *value != ':')
			continue;
		value += 1 + strspn(value + 1, " ");
		return strndup(value, strcspn(value, "\r\n"));
	}
	return NULL;
}

void rig_send(int fd, const char *format, ...)
{
	char *text = NULL;
	va_list args;
	int len;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	for (int sent = 0; len > 0 && sent < len;) {
		ssize_t n = send(fd, text + sent, (size_t)(len - sent),
				 MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (int)n;
	}
	free(text);
}

typedef rig_next_t serve_fn(void *context, const rig_request_t *request);

enum { CONNECTIONS_MAX = 512 };

typedef struct listener {
	int fd;
	serve_fn *serve;
	void *context;
	pthread_mutex_t lock;
	int open[CONNECTIONS_MAX]; /**< Descriptors of connections; 0: free. */
	bool stopped;
} listener_t;

typedef struct connection {
	listener_t *listener;
	int fd;
} connection_t;

/* Reads one request; false at the end of the connection. */
static bool read_request(int fd, char **input, size_t *len, size_t *head_len,
			 size_t *body_len)
{
	for (;;) {
		char bytes[READ_BYTES];
		char *end = *input ? strstr(*input, "\r\n\r\n") : NULL;
		ssize_t got;

		if (end) {
			char *head = strndup(*input,
					     (size_t)(end - *input) + 4);
			char *value = rig_header(head, "Content-Length");

			*head_len = (size_t)(end - *input) + 4;
			*body_len = value ? strtoul(value, NULL, 10) : 0;
			free(value);
			free(head);
			if (*len >= *head_len + *body_len)
				return true;
		}
		got = recv(fd, bytes, sizeof(bytes), 0);
		if (got <= 0)
			return false;
		*input = realloc(*input, *len + (size_t)got + 1);
		memcpy(*input + *len, bytes, (size_t)got);
		*len += (size_t)got;
		(*input)[*len] = '\0';
	}
}

/* Adds a connection to those of the listener; false if it is stopped. */
static bool add_open(listener_t *listener, int fd)
{
	bool added = false;

	pthread_mutex_lock(&listener->lock);
	for (int i = 0; !listener->stopped && !added && i < CONNECTIONS_MAX;
	     i++) {
		if (listener->open[i])
			continue;
		listener->open[i] = fd;
		added = true;
	}
	pthread_mutex_unlock(&listener->lock);
	return added;
}

static void close_open(listener_t *listener, int fd)
{
	pthread_mutex_lock(&listener->lock);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (listener->open[i] == fd)
			listener->open[i] = 0;
	}
	close(fd);
	pthread_mutex_unlock(&listener->lock);
}

static void *connection_main(void *context)
{
	connection_t *connection = context;
	struct linger reset = { 1, 0 };
	char *input = NULL;
	size_t len = 0;
	size_t head_len;
	size_t body_len;
	rig_next_t next = RIG_KEEP;
	int number = 0;

	while (next == RIG_KEEP &&
	       read_request(connection->fd, &input, &len, &head_len,
			    &body_len)) {
		rig_request_t request = {
			.fd = connection->fd,
			.head = strndup(input, head_len),
			.body = strndup(input + head_len, body_len),
			.body_len = body_len,
			.number = number++,
		};

		next = connection->listener->serve(
			connection->listener->context, &request);
		free(request.head);
		free(request.body);
		len -= head_len + body_len;
		memmove(input, input + head_len + body_len, len + 1);
	}
	if (next == RIG_RESET)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	close_open(connection->listener, connection->fd);
	free(input);
	free(connection);
	return NULL;
}

static void *accept_main(void *context)
{
	listener_t *listener = context;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		connection_t *connection;
		pthread_t thread;
		int one = 1;

		if (!add_open(listener, fd)) {
			close(fd);
			continue;
		}
		connection = calloc(1, sizeof(*connection));
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection->listener = listener;
		connection->fd = fd;
		if (pthread_create(&thread, NULL, connection_main, connection))
			rig_fail("no thread");
		pthread_detach(thread);
	}
	return NULL;
}

static listener_t *listen_on(uint16_t *port, serve_fn *serve, void *context)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	listener_t *listener = calloc(1, sizeof(*listener));
	pthread_t thread;

	pthread_mutex_init(&listener->lock, NULL);
	listener->serve = serve;
	listener->context = context;
	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(listener->fd, (void *)&address, size) ||
	    listen(listener->fd, 256) ||
	    getsockname(listener->fd, (void *)&address, &size))
		rig_fail("cannot listen");
	*port = ntohs(address.sin_port);
	if (pthread_create(&thread, NULL, accept_main, listener))
		rig_fail("no thread");
	pthread_detach(thread);
	return listener;
}

/* Ends all connections with a reset, as at the end of a process. */
static void stop_listener(listener_t *listener)
{
	struct linger reset = { 1, 0 };

	pthread_mutex_lock(&listener->lock);
	listener->stopped = true;
	shutdown(listener->fd, SHUT_RDWR);
	close(listener->fd);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (!listener->open[i])
			continue;
		setsockopt(listener->open[i], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		shutdown(listener->open[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&listener->lock);
}

/* The store. */

typedef struct change {
	char *kind;
	char *name;
	uint64_t revision;
	uint64_t created;
	bool deleted;
	bool superseded;
	json_t *spec;
} change_t;

static change_t changes[HISTORY_MAX];
static size_t change_count;
static uint64_t revision = 1;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;

static change_t *find_object(const char *kind, const char *name)
{
	for (size_t i = change_count; i-- > 0;) {
		change_t *change = &changes[i];

		if (!strcmp(change->kind, kind) && !strcmp(change->name, name))
			return change->deleted ? NULL : change;
	}
	return NULL;
}

static change_t *append_change(const char *kind, const char *name,
			       json_t *spec, bool deleted)
{
	change_t *current = find_object(kind, name);
	change_t *change;

	if (change_count == HISTORY_MAX)
		rig_fail("the history of the store is full");
	change = &changes[change_count++];
	if (current)
		current->superseded = true;
	change->kind = strdup(kind);
	change->name = strdup(name);
	change->revision = ++revision;
	change->created = current ? current->created : revision;
	change->deleted = deleted;
	change->superseded = deleted;
	change->spec = deleted && current ? json_incref(current->spec)
					  : json_incref(spec);
	pthread_cond_broadcast(&store_changed);
	return change;
}

static json_t *object_json(const change_t *change)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O?,s:n}", "metadata",
			 "name", change->name, "rev",
			 (json_int_t)change->revision, "created_rev",
			 (json_int_t)change->created, "finalizers", "deleting",
			 0, "spec", change->spec, "status");
}

static void send_json(int fd, int status, json_t *value)
{
	char *text = value ? json_dumps(value, JSON_COMPACT) : strdup("{}");

	rig_send(fd,
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 status, strlen(text), text);
	free(text);
	json_decref(value);
}

static json_t *events_since(const char *kind, uint64_t since)
{
	json_t *events = json_array();

	for (size_t i = 0; i < change_count; i++) {
		if (changes[i].revision > since &&
		    !strcmp(changes[i].kind, kind))
			json_array_append_new(
				events,
				json_pack("{s:b,s:o}", "deleted",
					  changes[i].deleted, "object",
					  object_json(&changes[i])));
	}
	return events;
}

static void answer_watch(int fd, const char *kind, const char *query)
{
	const char *wait = strstr(query, "wait_ms=");
	uint64_t since = strtoull(strstr(query, "watch=") + 6, NULL, 10);
	uint64_t until_ms =
		rig_now_ms() + (wait ? strtoull(wait + 8, NULL, 10) : 0);
	struct timespec until = { (time_t)(until_ms / 1000),
				  (long)(until_ms % 1000) * 1000000 };
	json_t *events = events_since(kind, since);

	while (!json_array_size(events)) {
		int late = pthread_cond_timedwait(&store_changed, &store_lock,
						  &until);

		json_decref(events);
		events = events_since(kind, since);
		if (late)
			break;
	}
	send_json(fd, 200,
		  json_pack("{s:o,s:I}", "events", events, "as_of",
			    (json_int_t)revision));
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(change_t *const *)a)->name,
		      (*(change_t *const *)b)->name);
}

/* A page of at most 500 objects or 1 MB, by name, after the name `after`. */
static void answer_list(int fd, const char *kind, const char *after)
{
	change_t **current = calloc(change_count + 1, sizeof(*current));
	json_t *items = json_array();
	size_t bytes = 0;
	size_t count = 0;
	size_t i = 0;

	for (size_t c = 0; c < change_count; c++) {
		if (!strcmp(changes[c].kind, kind) && !changes[c].superseded)
			current[count++] = &changes[c];
	}
	qsort(current, count, sizeof(*current), compare_names);
	while (i < count && after && strcmp(current[i]->name, after) <= 0)
		i++;
	for (; i < count && json_array_size(items) < PAGE_ITEMS; i++) {
		json_t *object = object_json(current[i]);
		char *text = json_dumps(object, JSON_COMPACT);

		bytes += strlen(text);
		free(text);
		if (bytes > PAGE_BYTES && json_array_size(items)) {
			json_decref(object);
			break;
		}
		json_array_append_new(items, object);
	}
	free(current);
	send_json(fd, 200,
		  json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
			    i < count, "as_of", (json_int_t)revision));
}

static void answer_write(const rig_request_t *request, const char *kind,
			 const char *path_name, const char *query)
{
	json_t *object = json_loads(request->body, 0, NULL);
	json_t *metadata = json_object_get(object, "metadata");
	bool create = !strncmp(request->head, "POST", 4);
	bool removes = !strncmp(request->head, "DELETE", 6);
	const char *rev = strstr(query, "rev=");
	uint64_t wanted =
		rev ? strtoull(rev + 4, NULL, 10)
		    : (uint64_t)json_integer_value(
			      json_object_get(metadata, "rev"));
	const char *name =
		create ? json_string_value(json_object_get(metadata, "name"))
		       : path_name;
	change_t *current = name ? find_object(kind, name) : NULL;

	if (!name || (!create && !current))
		send_json(request->fd, name ? 404 : 400, NULL);
	else if (current &&
		 (create || (wanted && wanted != current->revision)))
		send_json(request->fd, 409, object_json(current));
	else if (removes)
		send_json(request->fd, 200,
			  object_json(append_change(kind, name, NULL, true)));
	else if (current && json_equal(current->spec,
				       json_object_get(object, "spec")))
		send_json(request->fd, 200, object_json(current));
	else
		send_json(request->fd, 200,
			  object_json(append_change(
				  kind, name, json_object_get(object, "spec"),
				  false)));
	json_decref(object);
}

static rig_next_t serve_store(void *context, const rig_request_t *request)
{
	char kind[64] = "";
	char name[128] = "";
	char query[256] = "";
	const char *after;
	const char *path = strstr(request->head, "/v1/objects/");

	(void)context;
	if (path) {
		path += strlen("/v1/objects/");
		sscanf(path, "%63[^/? ]", kind);
		path += strlen(kind);
		sscanf(path, "/%127[^? ]", name);
		path += strcspn(path, "? ");
		sscanf(path, "?%255[^ ]", query);
	}
	after = strncmp(query, "after=", 6) ? NULL : query + 6;
	pthread_mutex_lock(&store_lock);
	if (!*kind)
		send_json(request->fd, 404, NULL);
	else if (strncmp(request->head, "GET", 3) != 0)
		answer_write(request, kind, name, query);
	else if (*name)
		send_json(request->fd, find_object(kind, name) ? 200 : 404,
			  find_object(kind, name)
				  ? object_json(find_object(kind, name))
				  : NULL);
	else if (strstr(query, "watch="))
		answer_watch(request->fd, kind, query);
	else
		answer_list(request->fd, kind, after);
	pthread_mutex_unlock(&store_lock);
	return RIG_KEEP;
}

void rig_store_start(void)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &attributes);
	listen_on(&store_port, serve_store, NULL);
}

void rig_store_put(const char *kind, const char *name, json_t *spec)
{
	pthread_mutex_lock(&store_lock);
	append_change(kind, name, spec, false);
	json_decref(spec);
	pthread_mutex_unlock(&store_lock);
}

void rig_store_remove(const char *kind, const char *name)
{
	pthread_mutex_lock(&store_lock);
	if (find_object(kind, name))
		append_change(kind, name, NULL, true);
	pthread_mutex_unlock(&store_lock);
}

json_t *rig_store_get(const char *kind, const char *name)
{
	json_t *spec;

	pthread_mutex_lock(&store_lock);
	spec = find_object(kind, name)
		       ? json_incref(find_object(kind, name)->spec)
		       : NULL;
	pthread_mutex_unlock(&store_lock);
	return spec;
}

json_t *rig_route(const char *name, const char *kind, const char *service,
		  int timeout_ms, int attempts_max, bool resumable)
{
	char prefix[64];

	snprintf(prefix, sizeof(prefix), "/%s/", name);
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,s:b,s:i}",
			 "name", name, "host", "h.example", "path_prefix",
			 prefix, "kind", kind, "timeout_ms", timeout_ms,
			 "target_latency_ms", 150, "priority", 1, "service",
			 service, "max_attempts", attempts_max, "anonymous", 0,
			 "sticky", !strcmp(kind, "stream"), "resumable",
			 resumable, "gap_aim_ms", 400);
}

void rig_put_desired(int version, json_t *routes)
{
	rig_store_put(
		"config", "main",
		json_pack(
			"{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b},"
			"{s:s,s:s,s:i,s:s,s:b,s:{s:i,s:i,s:i,s:f,s:i,s:i}}],"
			"s:{s:i,s:i,s:i,s:i},s:[{s:s,s:[s],s:i,s:b}]}",
			"version", version, "routes", routes, "services",
			"name", "desk", "health_path", "/healthz", "max_conns",
			200, "protocol", "h1", "tls", 0, "name", "llm",
			"health_path", "/healthz", "max_conns", 600,
			"protocol", "h1", "tls", 0, "engine", "slots", 48,
			"kv_capacity", 98960, "kv_token_bytes", 163840,
			"link_mbps", 1100000.0, "stride", 4, "max_inflight",
			12, "limits", "max_header_bytes", 16384,
			"max_body_bytes", 4194304, "header_timeout_ms", 3000,
			"idle_timeout_ms", 15000, "tenants", "name", "cust",
			"api_keys", "key-1", "priority", 1, "isolated", 0));
}

/* Servers. */

static json_t *models_of(const rig_server_t *server)
{
	return server->engine
		       ? json_pack("[{s:s,s:i,s:[]}]", "name", "m", "version",
				   server->weights, "adapters")
		       : json_array();
}

void rig_server_put_entry(rig_server_t *server, const char *state)
{
	char address[32];
	json_t *entry;

	snprintf(address, sizeof(address), "127.0.0.1:%u", server->port);
	entry = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:o,s:i,s:I}",
			  "service", server->service, "addr", address, "zone",
			  server->zone, "version", "v1", "slots",
			  server->engine ? 48 : 6, "state", state,
			  "cold_left_ms", 0, "models", models_of(server),
			  "seq", ++server->entries, "born",
			  (json_int_t)server->born);
	rig_store_put("servers", server->id, entry);
	rig_record("server %s: entry '%s' confirmed by the store", server->id,
		   state);
}

static void answer_order(rig_server_t *server, const rig_request_t *request)
{
	json_t *order = json_loads(request->body, 0, NULL);

	rig_record("server %s: order %s", server->id, request->body);
	server->weights =
		(int)json_integer_value(json_object_get(order, "version"));
	server->seq++;
	json_decref(order);
	rig_send(request->fd, "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n"
			      "Content-Type: application/json\r\n\r\n{}");
	rig_server_put_entry(server, "ready");
}

static void answer_report(rig_server_t *server, const rig_request_t *request)
{
	json_t *report = json_pack(
		"{s:s,s:o,s:b,s:i,s:i,s:i,s:i,s:i,s:i}", "stage",
		"prefill_decode", "models", models_of(server), "busy", 0,
		"seq", server->seq, "waiting", 0, "num_running", 0, "kv_used",
		0, "kv_total", 98960, "handles", 0);
	char *text = json_dumps(report, JSON_COMPACT);

	rig_send(request->fd,
		 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 strlen(text), text);
	free(text);
	json_decref(report);
}

static rig_next_t serve_request(rig_server_t *server,
				const rig_request_t *request, const char *id)
{
	char *body = NULL;

	if (server->handler)
		return server->handler(server, request);
	rig_sleep_ms((uint64_t)server->work_ms);
	if (asprintf(&body, "%s ran %s", server->id, id) < 0)
		rig_fail("no memory");
	rig_send(request->fd,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		 "Response-Stamp: stamp.%s\r\nKeep-Alive: timeout=10\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 id, id, strlen(body), body);
	free(body);
	return RIG_KEEP;
}

static rig_next_t serve_server(void *context, const rig_request_t *request)
{
	rig_server_t *server = context;
	char *expected = rig_header(request->head, "Expect-Instance");
	char *id = rig_header(request->head, "Request-Id");
	rig_next_t next = RIG_KEEP;

	if (expected && strcmp(expected, server->id) != 0) {
		rig_send(request->fd,
			 "HTTP/1.1 421 Misdirected Request\r\n"
			 "Not-Executed: 1\r\nInstance-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 server->id);
	} else if (!strncmp(request->head, "POST /v1/order", 14)) {
		answer_order(server, request);
	} else if (!strncmp(request->head, "GET /v1/report", 14)) {
		answer_report(server, request);
	} else if (!strncmp(request->head, "GET /healthz", 12)) {
		rig_send(request->fd,
			 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 server->id);
	} else if (!id) {
		rig_send(request->fd, "HTTP/1.1 400 X\r\nNot-Executed: 1\r\n"
				      "Content-Length: 0\r\n\r\n");
	} else {
		server->arrivals++;
		rig_record("server %s: runs request %.60s", server->id, id);
		next = serve_request(server, request, id);
	}
	free(expected);
	free(id);
	return next;
}

void rig_server_start(rig_server_t *server)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	server->born = (uint64_t)now.tv_sec * 1000;
	server->listener = listen_on(&server->port, serve_server, server);
	rig_server_put_entry(server, "ready");
}

void rig_server_end(rig_server_t *server)
{
	stop_listener(server->listener);
	rig_store_remove("servers", server->id);
	rig_record("server %s: ends", server->id);
}

/* Gateways. */

static void write_settings(int index, const char *zone, char *path,
			   size_t size)
{
	FILE *file;

	snprintf(path, size, "%s/settings-%d", temp_path, index);
	file = fopen(path, "w");
	if (!file)
		rig_fail("cannot write %s", path);
	/* As deploy/settings.template makes them on a small deployment. */
	fprintf(file,
		"--name=front-%s-%d\n--domain=%s\n--listen=127.0.0.%d:%u\n"
		"--ready-listen=127.0.0.%d:%u\n--peer-ip=127.0.0.%d\n"
		"--peer-port=%u\n--forward-port=%u\n--metrics-port=%u\n"
		"--store=127.0.0.1:%u\n--seeds=\n--memory-mb=96\n"
		"--descriptors=2940\n--link-mbps=700.0\n--grace-s=8\n"
		"--retry-ratio=0.2\n--retry-window-s=10\n--retry-slack=108\n"
		"--limit-overage=\n--lease-ms=3000\n--weights-ms=8000\n"
		"--stable-ms=3000\n",
		zone, index + 1, zone, index + 2, front_port, index + 2,
		ready_port, index + 2, peer_port, forward_port, metrics_port,
		store_port);
	fclose(file);
}

void rig_gateway_start(int index, const char *zone)
{
	char settings[512];
	char log[512];
	pid_t pid;

	write_settings(index, zone, settings, sizeof(settings));
	snprintf(log, sizeof(log), "%s/log-%d", temp_path, index);
	pthread_mutex_lock(&gateways_lock);
	pid = fork();
	if (pid < 0)
		rig_fail("cannot fork");
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("AMARANTHVALE_SETTINGS", settings, 1);
		execl("target/amaranthvale-gateway",
		      "target/amaranthvale-gateway", (char *)NULL);
		_exit(127);
	}
	gateways[index].pid = pid;
	pthread_mutex_unlock(&gateways_lock);
	rig_record("gateway %d: started in zone %s", index, zone);
}

pid_t rig_gateway_pid(int index)
{
	return gateways[index].pid;
}

void rig_gateway_kill(int index)
{
	pthread_mutex_lock(&gateways_lock);
	kill(gateways[index].pid, SIGKILL);
	waitpid(gateways[index].pid, NULL, 0);
	gateways[index].pid = 0;
	pthread_mutex_unlock(&gateways_lock);
	rig_record("gateway %d: killed", index);
}

bool rig_gateway_running(int index)
{
	int status;

	if (gateways[index].pid <= 0)
		return false;
	if (waitpid(gateways[index].pid, &status, WNOHANG) == 0)
		return true;
	rig_record("gateway %d: ended by itself, %s %d", index,
		   WIFSIGNALED(status) ? "signal" : "status",
		   WIFSIGNALED(status) ? WTERMSIG(status)
				       : WEXITSTATUS(status));
	gateways[index].pid = 0;
	return false;
}

static int connect_to(int gateway, uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(0x7f000002U + (uint32_t)gateway),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (connect(fd, (void *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int rig_connect(int gateway)
{
	return connect_to(gateway, front_port);
}

bool rig_gateway_ready(int index)
{
	int fd = connect_to(index, ready_port);
	rig_answer_t answer;
	bool ready;

	if (fd < 0)
		return false;
	answer = rig_call_on(fd,
			     "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
			     "Connection: close\r\n\r\n",
			     1000);
	ready = answer.status == 200;
	rig_answer_free(&answer);
	close(fd);
	return ready;
}

void rig_wait_ready(int index)
{
	uint64_t until_ms = rig_now_ms() + READY_MAX_MS;

	while (!rig_gateway_ready(index)) {
		if (rig_now_ms() > until_ms)
			rig_fail("gateway %d is not ready", index);
		rig_sleep_ms(50);
	}
	rig_record("gateway %d: ready", index);
}

/* Clients. */

static bool chunks_end(const char *body, const char *end)
{
	while (body < end) {
		char *digits;
		unsigned long size = strtoul(body, &digits, 16);
		const char *data = strstr(body, "\r\n");

		if (!data || digits == body)
			return false;
		data += 2;
		if (!size)
			return end - data >= 2 && !memcmp(data, "\r\n", 2);
		if ((unsigned long)(end - data) < size + 2)
			return false;
		body = data + size + 2;
	}
	return false;
}

static void judge(rig_answer_t *answer)
{
	char *end = answer->text ? strstr(answer->text, "\r\n\r\n") : NULL;
	char *head;
	char *length;
	char *coding;

	answer->status = 0;
	answer->whole = false;
	if (!end || strncmp(answer->text, "HTTP/1.1 ", 9) != 0)
		return;
	head = strndup(answer->text, (size_t)(end - answer->text) + 4);
	answer->status = atoi(head + 9);
	length = rig_header(head, "Content-Length");
	coding = rig_header(head, "Transfer-Encoding");
	if (length)
		answer->whole =
			answer->len - strlen(head) >= strtoul(length, NULL, 10);
	else if (coding)
		answer->whole = chunks_end(answer->text + strlen(head),
					   answer->text + answer->len);
	free(length);
	free(coding);
	free(head);
}

rig_answer_t rig_call_on(int fd, const char *request, int limit_ms)
{
	rig_answer_t answer = { 0 };
	uint64_t start_ms = rig_now_ms();

	rig_send(fd, "%s", request);
	while (!answer.whole) {
		struct pollfd wait = { .fd = fd, .events = POLLIN };
		int left = limit_ms - (int)(rig_now_ms() - start_ms);
		char bytes[READ_BYTES];
		ssize_t got;

		if (left <= 0 || poll(&wait, 1, left) <= 0)
			break;
		got = recv(fd, bytes, sizeof(bytes), 0);
		if (got <= 0) {
			answer.closed = true;
			break;
		}
		answer.text = realloc(answer.text, answer.len + (size_t)got + 1);
		memcpy(answer.text + answer.len, bytes, (size_t)got);
		answer.len += (size_t)got;
		answer.text[answer.len] = '\0';
		judge(&answer);
	}
	answer.ms = rig_now_ms() - start_ms;
	return answer;
}

rig_answer_t rig_call(int gateway, const char *request, int limit_ms)
{
	int fd = rig_connect(gateway);
	rig_answer_t answer = { .closed = true };

	if (fd < 0)
		return answer;
	answer = rig_call_on(fd, request, limit_ms);
	close(fd);
	return answer;
}

void rig_answer_free(rig_answer_t *answer)
{
	free(answer->text);
	answer->text = NULL;
}
