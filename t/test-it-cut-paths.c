/* Gateways that have lost the network paths to all endpoints, while the store,
 * the clients and the other gateways still reach them. The paths that can be
 * cut lead over proxies. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "t/lib/detour.h"
#include "t/lib/platform_rig.h"

enum {
	PATH_COUNT = 2 * ENDPOINT_COUNT,
	/** A gateway must get on with a cut after this time, ms
	 * (stable_window_ms). */
	STABLE_MS = 3000,
	/** Requests of each kind at each gateway, and threads that send them.
	 */
	REQUESTS = 30,
	SENDERS = 10,
	WARM_UP_REQUESTS = 10,
	/** Between two rounds of requests during the stable window, ms. */
	ROUND_PAUSE_MS = 20,
	/** Time that an endpoint takes for a request, so that several
	 * connections are in use at once. */
	ANSWER_MS = 20,
	/** Longest time until a refusal, ms. */
	REFUSAL_MS = 1000,
	/** Longest work for a client that has left, ms. */
	LEFT_MS = 500,
	/** Paths that are back are used after this time, ms. */
	BACK_MS = 2000,
	/** Time until the third event of a stream during which a peer dies. */
	EVENT_PAUSE_MS = 1000,
	/** Largest head of a request (max_header_bytes). */
	HEAD_MAX_BYTES = 16384,
	/** Gateways: the first has its paths cut. */
	CUT_OFF = 0,
	OTHER = 1,
	GATEWAYS = 2,
};

typedef enum kind { LOOKUP, ORDER, STREAM, KIND_COUNT } kind_t;

static const char *const kind_names[] = { "lookup", "order", "stream" };

static const char *const kind_lines[] = {
	"GET /get/%u HTTP/1.1\r\n",
	"POST /order/%u HTTP/1.1\r\nContent-Length: 0\r\n",
	"POST /stream/again/%u HTTP/1.1\r\nContent-Length: 0\r\n" MODEL_HEADERS,
};

typedef struct paths {
	platform_rig_t rig;
	program_t *proxies[GATEWAYS_MAX][PATH_COUNT];
	char *detour_files[GATEWAYS_MAX];
	pthread_mutex_t lock;
	GHashTable *runs; /**< Runs of each request, by its id. */
	_Atomic uint32_t next_id;
	_Atomic uint32_t busy_senders;
} paths_t;

static endpoint_t *path_end(paths_t *paths, int path)
{
	return path < ENDPOINT_COUNT
		       ? &paths->rig.services[path]
		       : &paths->rig.engines[path - ENDPOINT_COUNT];
}

static void count_run(void *context, const endpoint_t *endpoint, const char *id)
{
	paths_t *paths = context;
	gpointer runs;

	(void)endpoint;
	if (!id)
		return;
	pthread_mutex_lock(&paths->lock);
	runs = g_hash_table_lookup(paths->runs, id);
	g_hash_table_insert(paths->runs, g_strdup(id),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
	pthread_mutex_unlock(&paths->lock);
}

static uint32_t runs_of(paths_t *paths, const char *id)
{
	uint32_t runs;

	pthread_mutex_lock(&paths->lock);
	runs = GPOINTER_TO_UINT(g_hash_table_lookup(paths->runs, id));
	pthread_mutex_unlock(&paths->lock);
	return runs;
}

/* Leads the connections of a gateway to endpoints over proxies. */
static void add_proxies(paths_t *paths, int gateway)
{
	detour_t detours[PATH_COUNT];
	int fd = g_file_open_tmp("detour-XXXXXX", &paths->detour_files[gateway],
				 NULL);

	g_assert_cmpint(fd, >=, 0);
	for (int i = 0; i < PATH_COUNT; i++) {
		uint16_t port = raw_server_port(path_end(paths, i)->server);
		g_autofree char *target = g_strdup_printf("%u", port);
		program_t *proxy = standin_start("fault-proxy", "--target-port",
						 target, NULL);

		detours[i] = (detour_t){ port, program_main_port(proxy) };
		paths->proxies[gateway][i] = proxy;
	}
	g_assert_cmpint(write(fd, detours, sizeof(detours)), ==,
			sizeof(detours));
	close(fd);
	paths->rig.detour_files[gateway] = paths->detour_files[gateway];
}

static void control_paths(paths_t *paths, int gateway, const char *control)
{
	for (int i = 0; i < PATH_COUNT; i++)
		standin_control(
			program_port(paths->proxies[gateway][i], "control"),
			control);
}

/* Starts gateways; the first `with_proxies` can be cut off. */
static void start(paths_t *paths, int gateways, int with_proxies)
{
	memset(paths, 0, sizeof(*paths));
	pthread_mutex_init(&paths->lock, NULL);
	paths->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform_rig_start_with(&paths->rig, 0, &(platform_rig_options_t){ 0 });
	for (int i = 0; i < PATH_COUNT; i++) {
		endpoint_t *endpoint = path_end(paths, i);

		endpoint->context = paths;
		endpoint->on_run = count_run;
		endpoint->delay_ms = ANSWER_MS;
	}
	for (int i = 0; i < gateways; i++) {
		if (i < with_proxies)
			add_proxies(paths, i);
		platform_rig_start_gateway(&paths->rig, i);
	}
	for (int i = 0; i < gateways; i++)
		g_assert_true(WAIT_UNTIL(platform_rig_is_ready(&paths->rig, i),
					 HARNESS_WAIT_MS));
}

static void stop(paths_t *paths)
{
	platform_rig_stop(&paths->rig);
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (!paths->detour_files[i])
			continue;
		for (int j = 0; j < PATH_COUNT; j++) {
			program_stop(paths->proxies[i][j]);
			program_free(paths->proxies[i][j]);
		}
		unlink(paths->detour_files[i]);
		g_free(paths->detour_files[i]);
	}
	g_hash_table_destroy(paths->runs);
	pthread_mutex_destroy(&paths->lock);
}

static char *request_text(kind_t kind, uint32_t number, const char *id)
{
	GString *text = g_string_new(kind_lines[kind]);
	g_autofree char *digits = g_strdup_printf("%u", number);

	g_string_replace(text, "%u", digits, 0);
	g_string_append_printf(text,
			       "Host: h.example\r\nRequest-Id: %s\r\n"
			       "Key: key-1\r\nDeadline-Ms: 2500\r\n"
			       "Connection: close\r\n\r\n",
			       id);
	return g_string_free(text, FALSE);
}

static bool is_served(kind_t kind, const char *answer, const char *id)
{
	CLEANUP_FREE char *stamp = raw_header(answer, "Response-Stamp");
	CLEANUP_FREE char *answer_id = raw_header(answer, "Request-Id");
	g_autofree char *body = g_strdup_printf(" for %s", id);

	if (!g_str_has_prefix(answer, "HTTP/1.1 200") || !raw_is_whole(answer))
		return false;
	g_assert_cmpstr(stamp, ==, "s");
	g_assert_cmpstr(answer_id, ==, id);
	if (kind == STREAM)
		platform_rig_assert_events(answer);
	else
		g_assert_true(g_str_has_suffix(answer, body));
	return true;
}

/* A thread that sends requests of all kinds in turn. */
typedef struct sender {
	paths_t *paths;
	int gateway;
	int requests; /**< Of each kind. */
	uint32_t served[KIND_COUNT];
	uint32_t refused; /**< Answered 503. */
	uint64_t longest_ms;
	pthread_t thread;
} sender_t;

static void send_one(sender_t *sender, kind_t kind)
{
	uint32_t number = sender->paths->next_id++;
	g_autofree char *id = g_strdup_printf("p-%u", number);
	g_autofree char *text = request_text(kind, number, id);
	uint64_t begin_ms = clock_now_ms();
	g_autofree char *answer =
		raw_call(sender->paths->rig.ports[sender->gateway], text);
	uint64_t took_ms = clock_now_ms() - begin_ms;
	bool served = is_served(kind, answer, id);

	sender->longest_ms = MAX(sender->longest_ms, took_ms);
	sender->served[kind] += served;
	if (kind == ORDER)
		g_assert_cmpuint(runs_of(sender->paths, id), <=, 1);
	if (g_str_has_prefix(answer, "HTTP/1.1 503")) {
		sender->refused++;
		g_assert_cmpuint(runs_of(sender->paths, id), ==, 0);
	}
	if (!served)
		g_test_message("gateway %d, %s, %u ms: %.*s", sender->gateway,
			       kind_names[kind], (unsigned)took_ms,
			       (int)strcspn(answer, "\r"), answer);
}

static void *send_all(void *context)
{
	sender_t *sender = context;

	for (int i = 0; i < sender->requests * KIND_COUNT; i++)
		send_one(sender, (kind_t)(i % KIND_COUNT));
	sender->paths->busy_senders--;
	return NULL;
}

/* A gateway whose output is not read drops lines of its log. */
static bool have_senders_ended(paths_t *paths)
{
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		if (paths->rig.gateways[i])
			(void)program_output(paths->rig.gateways[i]);
	}
	return !paths->busy_senders;
}

/* Sends `requests` of each kind to each gateway at the same time.
 * @param sums gets what was served at each gateway, and the longest time */
static void send_to_all(paths_t *paths, int gateways, int requests,
			sender_t *sums)
{
	sender_t senders[GATEWAYS_MAX][SENDERS] = { 0 };

	for (int i = 0; i < gateways * SENDERS; i++) {
		sender_t *sender = &senders[i / SENDERS][i % SENDERS];

		*sender = (sender_t){ .paths = paths,
				      .gateway = i / SENDERS,
				      .requests = requests / SENDERS };
		paths->busy_senders++;
		pthread_create(&sender->thread, NULL, send_all, sender);
	}
	while (!have_senders_ended(paths))
		clock_sleep_us(HARNESS_POLL_MS * UINT64_C(1000));
	memset(sums, 0, (size_t)gateways * sizeof(*sums));
	for (int i = 0; i < gateways * SENDERS; i++) {
		sender_t *sender = &senders[i / SENDERS][i % SENDERS];
		sender_t *sum = &sums[i / SENDERS];

		pthread_join(sender->thread, NULL);
		sum->refused += sender->refused;
		sum->longest_ms = MAX(sum->longest_ms, sender->longest_ms);
		for (int j = 0; j < KIND_COUNT; j++)
			sum->served[j] += sender->served[j];
	}
}

/* Opens connections that each gateway keeps. */
static void warm_up(paths_t *paths, int gateways)
{
	sender_t sums[GATEWAYS_MAX];

	send_to_all(paths, gateways, WARM_UP_REQUESTS, sums);
	for (int i = 0; i < gateways; i++) {
		for (int j = 0; j < KIND_COUNT; j++)
			g_assert_cmpuint(sums[i].served[j], ==,
					 WARM_UP_REQUESTS);
	}
}

/* Sends requests to the gateways until a time has passed. */
static void send_for(paths_t *paths, int gateways, uint64_t duration_ms)
{
	uint64_t end_ms = clock_now_ms() + duration_ms;
	sender_t sums[GATEWAYS_MAX];

	while (clock_now_ms() < end_ms) {
		send_to_all(paths, gateways, SENDERS, sums);
		clock_sleep_us(ROUND_PAUSE_MS * UINT64_C(1000));
	}
}

typedef struct cut_case {
	const char *name;
	const char *control; /**< Of the proxies. */
	const char *end;     /**< Likewise, ends the cut. */
	bool no_path;	     /**< Else open connections live on. */
} cut_case_t;

static const cut_case_t cut_cases[] = {
	{ "refused", "{\"refuse\":1,\"cut\":1}", "{\"refuse\":0}", true },
	{ "silent", "{\"silent\":1}", "{\"silent\":0,\"cut\":1}", true },
	/* New connections are accepted, and silent too. */
	{ "hang", "{\"blackhole\":1}", "{\"blackhole\":0,\"cut\":1}", true },
	{ "live-on", "{\"refuse\":1}", "{\"refuse\":0}", false },
};

static void check_first_tries(const cut_case_t *c, bool idle)
{
	paths_t paths;
	sender_t sums[GATEWAYS];

	start(&paths, GATEWAYS, 1);
	warm_up(&paths, GATEWAYS);
	control_paths(&paths, CUT_OFF, c->control);
	if (idle)
		clock_sleep_us(STABLE_MS * UINT64_C(1000));
	else
		send_for(&paths, GATEWAYS, STABLE_MS);
	send_to_all(&paths, GATEWAYS, REQUESTS, sums);
	for (int i = 0; i < KIND_COUNT; i++) {
		g_test_message("%s: cut off %u, other %u of %d", kind_names[i],
			       sums[CUT_OFF].served[i], sums[OTHER].served[i],
			       REQUESTS);
		g_assert_cmpuint(sums[OTHER].served[i], ==, REQUESTS);
		g_assert_cmpuint(3 * sums[CUT_OFF].served[i], >=,
				 2 * sums[OTHER].served[i]);
	}
	stop(&paths);
}

/* Failure: first tries at an instance that had lost the paths to all endpoints
 * were served less than two thirds as often as at the others (rule RECOVER). */
static void test_first_tries(const void *data)
{
	check_first_tries(data, false);
}

/* Failure: likewise, as it had had no requests since it lost them. */
static void test_first_tries_idle(const void *data)
{
	check_first_tries(data, true);
}

/* Requests that a gateway has forwarded. */
static uint32_t forwards(const paths_t *paths, int gateway)
{
	const char *at = program_output(paths->rig.gateways[gateway]);
	uint32_t count = 0;

	while ((at = strstr(at, "name=request_forwarded "))) {
		at++;
		count++;
	}
	return count;
}

/* Failure: instances that had all lost their paths forwarded requests to each
 * other again and again, or refused them late. */
static void test_all_cut_off(void)
{
	paths_t paths;
	sender_t sums[GATEWAYS_MAX];
	uint32_t runs;
	uint32_t before = 0;
	uint32_t forwarded = 0;

	start(&paths, GATEWAYS_MAX, GATEWAYS_MAX);
	warm_up(&paths, GATEWAYS_MAX);
	for (int i = 0; i < GATEWAYS_MAX; i++)
		control_paths(&paths, i, cut_cases[0].control);
	send_for(&paths, GATEWAYS_MAX, STABLE_MS);
	for (int i = 0; i < GATEWAYS_MAX; i++)
		before += forwards(&paths, i);
	runs = g_hash_table_size(paths.runs);
	send_to_all(&paths, GATEWAYS_MAX, REQUESTS, sums);
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		g_assert_cmpuint(sums[i].refused, ==, KIND_COUNT * REQUESTS);
		g_assert_cmpuint(sums[i].longest_ms, <, REFUSAL_MS);
		forwarded += forwards(&paths, i);
	}
	g_assert_cmpuint(g_hash_table_size(paths.runs), ==, runs);
	g_test_message("forwarded %u before, %u in all", before, forwarded);
	g_assert_cmpuint(forwarded - before, <=,
			 GATEWAYS_MAX * KIND_COUNT * REQUESTS *
				 (GATEWAYS_MAX - 1));
	stop(&paths);
}

/* Starts gateways of which one forwards requests of all kinds. */
static void start_forwarding(paths_t *paths, const cut_case_t *cut)
{
	start(paths, GATEWAYS, 1);
	warm_up(paths, GATEWAYS);
	control_paths(paths, CUT_OFF, cut->control);
	send_for(paths, 1, STABLE_MS);
	if (cut->no_path)
		g_assert_cmpuint(forwards(paths, CUT_OFF), >, 0);
}

static void open_request(paths_t *paths, platform_rig_stream_t *stream,
			 kind_t kind, const char *id)
{
	g_autofree char *text = request_text(kind, paths->next_id++, id);

	platform_rig_open_stream(stream, &paths->rig, CUT_OFF, text);
}

/* Failure: a request whose head was as long as allowed was refused as too long
 * by the instance that it was forwarded to. */
static void test_long_head(void)
{
	static const char rest[] =
		"POST /order/1 HTTP/1.0\r\nHost: h.example\r\n"
		"Key: key-1\r\nContent-Length: 0\r\n"
		"Request-Id: ";
	g_autofree char *id =
		g_strnfill(HEAD_MAX_BYTES - strlen(rest) - 4, 'i');
	g_autofree char *request = g_strconcat(rest, id, "\r\n\r\n", NULL);
	g_autofree char *answer = NULL;
	paths_t paths;
	uint32_t before;

	start_forwarding(&paths, &cut_cases[0]);
	before = forwards(&paths, CUT_OFF);
	answer = raw_call(paths.rig.ports[CUT_OFF], request);
	g_assert_cmpuint(forwards(&paths, CUT_OFF), >, before);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_nonnull(strstr(answer, id));
	g_assert_true(raw_is_whole(answer));
	stop(&paths);
}

typedef struct leave_case {
	const char *name;
	kind_t kind;
	endless_answer_t answer;
} leave_case_t;

#define ENDLESS_HEAD                                                \
	"HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n" \
	"Transfer-Encoding: chunked\r\n"

static const leave_case_t leave_cases[] = {
	{ "lookup", LOOKUP, { ENDLESS_HEAD "\r\n", "5\r\n12345\r\n", 10 } },
	{ "stream",
	  STREAM,
	  { ENDLESS_HEAD "Content-Type: text/event-stream\r\n\r\n",
	    "c\r\ndata: 1234\n\n\r\n", 10 } },
};

static uint32_t open_answers(paths_t *paths)
{
	uint32_t open = 0;

	for (int i = 0; i < PATH_COUNT; i++)
		open += path_end(paths, i)->endless_open;
	return open;
}

/* Failure: an endpoint went on with a request that had been forwarded, after
 * its client had left (rule GONE). */
static void test_client_leaves(const void *data)
{
	const leave_case_t *c = data;
	platform_rig_stream_t stream;
	paths_t paths;

	start_forwarding(&paths, &cut_cases[0]);
	for (int i = 0; i < PATH_COUNT; i++) {
		path_end(&paths, i)->endless = &c->answer;
		path_end(&paths, i)->behaviour = ENDLESS;
	}
	open_request(&paths, &stream, c->kind, "leaves");
	g_assert_true(WAIT_UNTIL(open_answers(&paths) == 1, HARNESS_WAIT_MS));
	platform_rig_close_stream(&stream);
	g_assert_true(WAIT_UNTIL(!open_answers(&paths), LEFT_MS));
	stop(&paths);
}

/* Failure: the peer that had taken over a request died, and the client got an
 * answer that looked whole, or was told that the request had not run. */
static void test_peer_dies(const void *data)
{
	kind_t kind = *(const kind_t *)data;
	platform_rig_stream_t stream;
	paths_t paths;

	start_forwarding(&paths, &cut_cases[0]);
	for (int i = 0; i < PATH_COUNT; i++) {
		endpoint_t *endpoint = path_end(&paths, i);

		endpoint->event_pause_ms = EVENT_PAUSE_MS;
		endpoint->behaviour = kind == STREAM ? ANSWER : HOLD;
	}
	open_request(&paths, &stream, kind, "dies");
	if (kind == STREAM)
		g_assert_true(platform_rig_read_event(&stream, 2));
	else
		g_assert_true(WAIT_UNTIL(runs_of(&paths, "dies") == 1,
					 HARNESS_WAIT_MS));
	program_signal(paths.rig.gateways[OTHER], SIGKILL);
	/* There is no such event: reads to the end. */
	g_assert_false(platform_rig_read_event(&stream, EVENT_COUNT + 1));
	g_test_message("%s", stream.answer->str);
	if (kind == STREAM ||
	    !g_str_has_prefix(stream.answer->str, "HTTP/1.1 502"))
		g_assert_false(raw_is_whole(stream.answer->str));
	g_assert_cmpuint(runs_of(&paths, "dies"), ==, 1);
	platform_rig_close_stream(&stream);
	stop(&paths);
}

/* Failure: an instance whose paths were back went on forwarding. */
static void test_paths_back(const void *data)
{
	const cut_case_t *c = data;
	paths_t paths;
	sender_t sum;
	uint32_t before;

	start_forwarding(&paths, c);
	control_paths(&paths, CUT_OFF, c->end);
	send_for(&paths, 1, BACK_MS);
	before = forwards(&paths, CUT_OFF);
	send_to_all(&paths, 1, REQUESTS, &sum);
	g_assert_cmpuint(forwards(&paths, CUT_OFF), ==, before);
	for (int i = 0; i < KIND_COUNT; i++)
		g_assert_cmpuint(sum.served[i], ==, REQUESTS);
	stop(&paths);
}

static void add_case(const char *test, const char *name, const void *data,
		     GTestDataFunc function)
{
	g_autofree char *path =
		g_strdup_printf("/it-cut-paths/%s/%s", test, name);

	g_test_add_data_func(path, data, function);
}

int main(int argc, char **argv)
{
	static const kind_t dying_kinds[] = { ORDER, STREAM };

	g_test_init(&argc, &argv, NULL);
	/* A failed case ends what it started. */
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cut_cases); i++) {
		add_case("first-tries", cut_cases[i].name, &cut_cases[i],
			 test_first_tries);
		add_case("first-tries-idle", cut_cases[i].name, &cut_cases[i],
			 test_first_tries_idle);
		add_case("paths-back", cut_cases[i].name, &cut_cases[i],
			 test_paths_back);
	}
	g_test_add_func("/it-cut-paths/all-cut-off", test_all_cut_off);
	g_test_add_func("/it-cut-paths/long-head", test_long_head);
	for (size_t i = 0; i < G_N_ELEMENTS(leave_cases); i++)
		add_case("client-leaves", leave_cases[i].name, &leave_cases[i],
			 test_client_leaves);
	for (size_t i = 0; i < G_N_ELEMENTS(dying_kinds); i++)
		add_case("peer-dies", kind_names[dying_kinds[i]],
			 &dying_kinds[i], test_peer_dies);
	return g_test_run();
}
