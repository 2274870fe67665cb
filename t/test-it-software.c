/* Resumable streams while engines with several versions of their software serve
 * side by side: a stream goes on only at the version that began it. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/hash.h"
#include "process/software_history.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 3,
	/** Events that a client has received when its stream breaks off. */
	EVENTS_BEFORE_BREAK = 2,
	/** Streams that are broken and taken up. */
	STREAMS = 6,
	/** Of the three engines of a version. */
	ENDED_ENGINES = 2,
	/** Streams that begin at either version. */
	ONE_ANSWER_STREAMS = 6,
	/** Events of a stream that is broken, and the time between two: it goes
	 * on for longer than the steps of a test take. */
	LONG_EVENT_COUNT = 150,
	EVENT_PAUSE_MS = 100,
	ROUTE_TIMEOUT_MS = 20000,
	/** Time until a stream is recorded in the store, ms; clients may take
	 * it up at once. */
	RECORD_WAIT_MS = 2500,
	/** Longest time until a take-up is refused, ms. */
	REFUSAL_MS = 1000,
	/** Bytes of a stream's id in the object that records it. */
	ID_BYTES = 8,
};

#define NONE "none"
#define MIXED "mixed"

static const char *const one_version[] = { "v1", "v1" };
static const char *const one_each[] = { "v1", "v2" };
static const char *const two_each[] = { "v1", "v1", "v2", "v2" };
static const char *const three_each[] = { "v1", "v1", "v1", "v2", "v2", "v2" };

/** The events of an answer. */
typedef struct events {
	int first; /**< Numbers of the first and the last one; 0: none. */
	int last;
	/** Version that made all of them, NONE or MIXED. */
	const char *software;
} events_t;

static events_t read_events(const platform_rig_t *rig, const char *answer)
{
	events_t events = { .software = NONE };

	for (const char *at = answer; (at = strstr(at, "data: e")); at++) {
		const char *software;
		int number = 0;
		int engine = 0;

		/* The last one may be incomplete. */
		if (!strstr(at, "\n\n"))
			break;
		g_assert_cmpint(
			sscanf(at, "data: e%d llm-%d", &number, &engine), ==,
			2);
		if (events.last)
			g_assert_cmpint(number, ==, events.last + 1);
		else
			events.first = number;
		events.last = number;
		software = rig->engines[engine % ENGINES_MAX].software;
		if (!strcmp(events.software, NONE))
			events.software = software;
		else if (strcmp(events.software, software) != 0)
			events.software = MIXED;
	}
	return events;
}

static void start_rig(platform_rig_t *rig, int gateways, int engines,
		      const char *const *software)
{
	const platform_rig_options_t options = {
		.engines = engines,
		.engine_software = software,
		.timeout_ms = ROUTE_TIMEOUT_MS,
		/* Engines that have ended may refuse. */
		.attempts_max = ENDED_ENGINES + 2,
	};

	platform_rig_start_with(rig, gateways, &options);
}

static void make_streams_long(platform_rig_t *rig)
{
	for (int i = 0; i < rig->options.engines; i++) {
		rig->engines[i].event_count = LONG_EVENT_COUNT;
		rig->engines[i].event_pause_ms = EVENT_PAUSE_MS;
	}
}

/* Makes streams go on without pauses. */
static void set_release(platform_rig_t *rig, bool release)
{
	for (int i = 0; i < rig->options.engines; i++)
		rig->engines[i].release = release;
}

/* Each stream has a prompt of its own, so that it may begin at any engine. */
static char *make_request(const char *id, int prompt, const char *more)
{
	return g_strdup_printf(
		"POST /stream/again/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: %s\r\nKey: key-1\r\nDeadline-Ms: %d\r\n"
		"Connection: close\r\nModel: m\r\nToken-Usage: 100,4\r\n"
		"Prompt-Prefix: a%d:50,b%d:50\r\n%s\r\n",
		id, ROUTE_TIMEOUT_MS, prompt, prompt, more);
}

/** A stream that a client takes up. */
typedef struct broken_stream {
	events_t events; /**< That the client has. */
	platform_rig_stream_t connection;
	char id[32]; /**< Of the request that brought the first event. */
	int prompt;
	uint32_t tries; /**< Requests for it so far. */
	bool open;
} broken_stream_t;

/* Sends the first request and reads some events. */
static void begin_stream(platform_rig_t *rig, int gateway,
			 broken_stream_t *stream)
{
	static int streams;
	char *request;

	stream->prompt = ++streams;
	g_snprintf(stream->id, sizeof(stream->id), "stream-%d", streams);
	request = make_request(stream->id, stream->prompt, "");
	platform_rig_open_stream(&stream->connection, rig, gateway, request);
	g_free(request);
	stream->open = true;
	stream->tries = 1;
	g_assert_true(platform_rig_read_event(&stream->connection,
					      EVENTS_BEFORE_BREAK));
	stream->events = read_events(rig, stream->connection.answer->str);
	g_assert_cmpint(stream->events.first, ==, 1);
}

static void close_stream(broken_stream_t *stream)
{
	if (stream->open)
		platform_rig_close_stream(&stream->connection);
	stream->open = false;
}

static bool begun_at(const broken_stream_t *stream, const endpoint_t *engine)
{
	CLEANUP_FREE char *event = g_strdup_printf("data: e1 %s\n", engine->id);

	return strstr(stream->connection.answer->str, event) != NULL;
}

static void begin_stream_at(platform_rig_t *rig, int gateway,
			    const endpoint_t *engine, broken_stream_t *stream)
{
	uint64_t end_ms = clock_now_ms() + HARNESS_WAIT_MS;

	begin_stream(rig, gateway, stream);
	while (!begun_at(stream, engine) && clock_now_ms() < end_ms) {
		close_stream(stream);
		begin_stream(rig, gateway, stream);
	}
	g_assert_true(begun_at(stream, engine));
}

/* The engine at which the streams began and another one of its version end, so
 * that without regard to versions most take-ups go to another version. */
static void end_engines(platform_rig_t *rig, int first)
{
	for (int i = first; i < first + ENDED_ENGINES; i++) {
		endpoint_t *engine = &rig->engines[i];

		engine->behaviour = REFUSE;
		platform_store_remove(rig->store, "servers", engine->id);
	}
}

static char *make_take_up(broken_stream_t *stream)
{
	CLEANUP_FREE char *id =
		g_strdup_printf("%s-%u", stream->id, ++stream->tries);
	CLEANUP_FREE char *more =
		g_strdup_printf("Last-Event-Id: %d\r\nResumes: %s\r\n",
				stream->events.last, stream->id);

	return make_request(id, stream->prompt, more);
}

/* Takes a stream up and reads all of the answer; g_free() it. */
static char *take_up(platform_rig_t *rig, int gateway, broken_stream_t *stream)
{
	CLEANUP_FREE char *request = make_take_up(stream);

	return raw_call(rig->ports[gateway], request);
}

static void assert_goes_on(platform_rig_t *rig, int gateway,
			   broken_stream_t *stream)
{
	CLEANUP_FREE char *answer = take_up(rig, gateway, stream);
	events_t events = read_events(rig, answer);

	/* Joined answers are the worse failure. */
	if (strcmp(events.software, NONE) != 0)
		g_assert_cmpstr(events.software, ==, stream->events.software);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_assert_true(raw_is_whole(answer));
	g_assert_cmpint(events.first, ==, stream->events.last + 1);
	g_assert_cmpint(events.last, ==, LONG_EVENT_COUNT);
}

static void assert_refused(platform_rig_t *rig, int gateway,
			   broken_stream_t *stream)
{
	CLEANUP_FREE char *answer = take_up(rig, gateway, stream);

	g_assert_cmpstr(read_events(rig, answer).software, ==, NONE);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503"));
}

/* Whether the store's object contains the stream's id, in any byte order. */
static bool is_recorded(const platform_rig_t *rig, const char *id)
{
	CLEANUP_JSON json_t *object =
		platform_store_get(rig->store, "amv-streams", "local");
	const char *text =
		json_string_value(json_object_get(object, "streams"));
	g_autofree guchar *bytes = NULL;
	uint64_t number = hash_string(id);
	uint64_t swapped = GUINT64_SWAP_LE_BE(number);
	gsize len = 0;

	if (!text || !*text)
		return false;
	bytes = g_base64_decode(text, &len);
	return memmem(bytes, len, &number, ID_BYTES) ||
	       memmem(bytes, len, &swapped, ID_BYTES);
}

static bool are_recorded(const platform_rig_t *rig,
			 const broken_stream_t *streams, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!is_recorded(rig, streams[i].id))
			return false;
	}
	return true;
}

/* What the test asserts is whether streams are taken up, not this. */
static void await_records(const platform_rig_t *rig,
			  const broken_stream_t *streams, size_t count)
{
	if (!WAIT_UNTIL(are_recorded(rig, streams, count), RECORD_WAIT_MS))
		g_test_message("not all streams are recorded in the store");
}

static void restart_gateways(platform_rig_t *rig)
{
	for (int i = 0; i < GATEWAYS; i++)
		platform_rig_start_gateway(rig, i);
	for (int i = 0; i < GATEWAYS; i++)
		g_assert_true(WAIT_UNTIL(platform_rig_is_ready(rig, i),
					 HARNESS_WAIT_MS));
}

/** How a stream breaks off at its engine. */
typedef struct break_case {
	const char *name;
	behaviour_t behaviour;
	int events; /**< Before it. */
} break_case_t;

static const break_case_t break_cases[] = {
	{ "reset", UNFRAMED_RESET, EVENTS_BEFORE_BREAK },
	{ "stall", STALL, EVENTS_BEFORE_BREAK },
	{ "truncated", TRUNCATE_EVENT, EVENTS_BEFORE_BREAK },
	{ "cut-in-first-event", CUT, 0 },
};

/** Answer that breaks off in its first event. */
static const char first_event_cut[] = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				      "Response-Stamp: s\r\n"
				      "Content-Type: text/event-stream\r\n"
				      "\r\nid: 1\nda";

/* Sends requests for streams of which each breaks off at its first engine. */
static void check_one_answer(const break_case_t *c, int engines,
			     const char *const *software, bool whole)
{
	platform_rig_t rig;
	_Atomic int next = ANSWER;

	start_rig(&rig, 1, engines, software);
	for (int i = 0; i < engines; i++) {
		rig.engines[i].next_behaviour = &next;
		rig.engines[i].cut_answer = first_event_cut;
		rig.engines[i].cut_bytes = UINT32_MAX;
		rig.engines[i].cut_resets = true;
	}
	for (int i = 0; i < ONE_ANSWER_STREAMS; i++) {
		CLEANUP_FREE char *request = make_request("r-1", i + 1, "");
		CLEANUP_FREE char *answer = NULL;
		events_t events;

		next = (int)c->behaviour;
		answer = raw_call(rig.ports[0], request);
		events = read_events(&rig, answer);
		g_assert_cmpstr(events.software, !=, MIXED);
		g_assert_cmpint(events.first, ==, whole || c->events);
		g_assert_cmpint(events.last, ==,
				whole ? EVENT_COUNT : c->events);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		g_assert_cmpint(raw_is_whole(answer), ==, whole);
	}
	platform_rig_stop(&rig);
}

/* Failure: a stream that broke off went on at another version in the same
 * answer, or the part of it looked complete. */
static void test_other_version_only(const void *data)
{
	check_one_answer(data, G_N_ELEMENTS(one_each), one_each, false);
}

/* Failure: a stream that broke off did not go on at its version, or at another
 * one, while both served. */
static void test_own_version(const void *data)
{
	check_one_answer(data, G_N_ELEMENTS(two_each), two_each, true);
}

/** What breaks the stream of a client. */
typedef enum fault {
	CLIENT_CUT,
	GATEWAY_KILLED,
	ALL_KILLED,
} fault_t;

typedef struct take_up_case {
	const char *name;
	int engine; /**< At which the streams begin. */
	fault_t fault;
} take_up_case_t;

static const take_up_case_t take_up_cases[] = {
	{ "other-instance/cut-v1", 0, CLIENT_CUT },
	{ "other-instance/cut-v2", 3, CLIENT_CUT },
	{ "other-instance/killed-v1", 0, GATEWAY_KILLED },
	{ "other-instance/killed-v2", 3, GATEWAY_KILLED },
	{ "all-killed/v1", 0, ALL_KILLED },
	{ "all-killed/v2", 3, ALL_KILLED },
};

static const take_up_case_t second_take_up_cases[] = {
	{ "cut-v1", 0, CLIENT_CUT },
	{ "cut-v2", 3, CLIENT_CUT },
	{ "all-killed-v1", 0, ALL_KILLED },
	{ "all-killed-v2", 3, ALL_KILLED },
};

static void break_streams(platform_rig_t *rig, fault_t fault,
			  broken_stream_t *streams, size_t count)
{
	if (fault == GATEWAY_KILLED)
		program_signal(rig->gateways[0], SIGKILL);
	else if (fault == ALL_KILLED)
		platform_rig_kill_gateways(rig);
	for (size_t i = 0; i < count; i++)
		close_stream(&streams[i]);
	if (fault == ALL_KILLED)
		restart_gateways(rig);
}

/* Failure: a client took its stream up at another instance, or after all
 * instances were killed, and it went on at another version, or not at all while
 * its version served. */
static void test_take_up(const void *data)
{
	const take_up_case_t *c = data;
	broken_stream_t streams[STREAMS] = { 0 };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(three_each), three_each);
	make_streams_long(&rig);
	for (int i = 0; i < STREAMS; i++)
		begin_stream_at(&rig, 0, &rig.engines[c->engine], &streams[i]);
	await_records(&rig, streams, STREAMS);
	break_streams(&rig, c->fault, streams, STREAMS);
	end_engines(&rig, c->engine);
	set_release(&rig, true);
	for (int i = 0; i < STREAMS; i++)
		assert_goes_on(&rig, 1 + i % (GATEWAYS - 1), &streams[i]);
	platform_rig_stop(&rig);
}

/* Failure: the engines of a stream's version had left while all instances were
 * dead, and it went on at the only version that was left. */
static void test_version_gone(void)
{
	broken_stream_t stream = { 0 };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(one_each), one_each);
	make_streams_long(&rig);
	begin_stream_at(&rig, 0, &rig.engines[0], &stream);
	await_records(&rig, &stream, 1);
	platform_rig_kill_gateways(&rig);
	close_stream(&stream);
	platform_store_remove(rig.store, "servers", rig.engines[0].id);
	restart_gateways(&rig);
	set_release(&rig, true);
	for (int i = 0; i < GATEWAYS; i++)
		assert_refused(&rig, i, &stream);
	platform_rig_stop(&rig);
}

static bool lease_has_note(const platform_rig_t *rig)
{
	CLEANUP_JSON json_t *record =
		platform_store_get(rig->store, "amv-leases", "weights");
	const char *note = json_string_value(json_object_get(record, "note"));

	return note && *note;
}

/* Failure: the only version that there had been was replaced while all
 * instances were dead, and its streams went on at the new one. */
static void test_version_replaced(void)
{
	broken_stream_t stream = { 0 };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(one_version), one_version);
	make_streams_long(&rig);
	begin_stream(&rig, 0, &stream);
	if (!WAIT_UNTIL(lease_has_note(&rig), RECORD_WAIT_MS))
		g_test_message("the lease record has no note");
	platform_rig_kill_gateways(&rig);
	close_stream(&stream);
	platform_store_remove(rig.store, "servers", rig.engines[0].id);
	rig.engines[1].software = "v2";
	rig.engines[1].crashes++;
	platform_rig_put_entry(&rig.engines[1], "ready");
	restart_gateways(&rig);
	set_release(&rig, true);
	for (int i = 0; i < GATEWAYS; i++)
		assert_refused(&rig, i, &stream);
	platform_rig_stop(&rig);
}

/* Failure: a stream whose beginning nobody knew went on at any version. */
static void test_unknown(void)
{
	broken_stream_t stream = { .id = "unknown",
				   .events = { 1, EVENTS_BEFORE_BREAK, "v1" } };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(one_each), one_each);
	for (int i = 0; i < GATEWAYS; i++)
		assert_refused(&rig, i, &stream);
	platform_rig_stop(&rig);
}

static int find_lease_holder(const platform_rig_t *rig)
{
	for (int i = 0; i < GATEWAYS; i++) {
		if (strstr(program_output(rig->gateways[i]),
			   "name=lease_acquired"))
			return i;
	}
	return -1;
}

/* Failure: with one version only, streams could not be taken up, or were
 * recorded in the store. */
static void test_one_version(void)
{
	broken_stream_t streams[STREAMS + 1] = { 0 };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(one_version), one_version);
	make_streams_long(&rig);
	g_assert_true(
		WAIT_UNTIL(find_lease_holder(&rig) >= 0, HARNESS_WAIT_MS));
	for (int i = 0; i < STREAMS; i++)
		begin_stream(&rig, 0, &streams[i]);
	break_streams(&rig, CLIENT_CUT, streams, STREAMS);
	set_release(&rig, true);
	for (int i = 0; i < STREAMS; i++)
		assert_goes_on(&rig, 1 + i % (GATEWAYS - 1), &streams[i]);
	set_release(&rig, false);
	begin_stream(&rig, 0, &streams[STREAMS]);
	break_streams(&rig, ALL_KILLED, &streams[STREAMS], 1);
	set_release(&rig, true);
	/* The holder knows which versions there were. */
	g_assert_true(
		WAIT_UNTIL(find_lease_holder(&rig) >= 0, HARNESS_WAIT_MS));
	assert_goes_on(&rig, find_lease_holder(&rig), &streams[STREAMS]);
	g_assert_cmpuint(platform_store_calls_of(rig.store, "amv-streams"), ==,
			 0);
	platform_rig_stop(&rig);
}

/* Takes a stream up, and breaks it off again after some events. */
static void take_up_and_break(platform_rig_t *rig, int gateway,
			      broken_stream_t *stream)
{
	CLEANUP_FREE char *request = make_take_up(stream);
	events_t events;

	platform_rig_open_stream(&stream->connection, rig, gateway, request);
	stream->open = true;
	g_assert_true(platform_rig_read_event(&stream->connection,
					      stream->events.last +
						      EVENTS_BEFORE_BREAK));
	events = read_events(rig, stream->connection.answer->str);
	g_assert_cmpstr(events.software, ==, stream->events.software);
	g_assert_cmpint(events.first, ==, stream->events.last + 1);
	stream->events.last = events.last;
	close_stream(stream);
}

/* Failure: a stream that had been taken up could not be taken up again, or went
 * on at another version then. */
static void test_second_take_up(const void *data)
{
	const take_up_case_t *c = data;
	broken_stream_t streams[STREAMS] = { 0 };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(three_each), three_each);
	make_streams_long(&rig);
	for (int i = 0; i < STREAMS; i++)
		begin_stream_at(&rig, 0, &rig.engines[c->engine], &streams[i]);
	await_records(&rig, streams, STREAMS);
	break_streams(&rig, CLIENT_CUT, streams, STREAMS);
	end_engines(&rig, c->engine);
	for (int i = 0; i < STREAMS; i++)
		take_up_and_break(&rig, 1, &streams[i]);
	break_streams(&rig, c->fault, streams, STREAMS);
	set_release(&rig, true);
	for (int i = 0; i < STREAMS; i++)
		assert_goes_on(&rig, 2, &streams[i]);
	platform_rig_stop(&rig);
}

/* Failure: while the store did not answer, a stream whose beginning nobody knew
 * went on, or its client waited for the answer. */
static void test_store_down(void)
{
	broken_stream_t stream = { .id = "unknown",
				   .events = { 1, EVENTS_BEFORE_BREAK, "v1" } };
	platform_rig_t rig;

	start_rig(&rig, GATEWAYS, G_N_ELEMENTS(one_each), one_each);
	platform_store_set_down(rig.store, true);
	for (int i = 0; i < GATEWAYS; i++) {
		uint64_t start_ms = clock_now_ms();

		assert_refused(&rig, i, &stream);
		g_assert_cmpuint(clock_now_ms() - start_ms, <, REFUSAL_MS);
	}
	platform_rig_stop(&rig);
}

/** Gateways of a cut. */
enum {
	CUT_OFF,
	IN_CONTACT,
	/** Within it a cut-off instance sees that the store does not answer and
	 * no other instance is heard, ms. */
	CUT_OFF_MS = 4000,
};

static bool has_logged(const platform_rig_t *rig, int gateway, const char *text)
{
	return strstr(program_output(rig->gateways[gateway]), text);
}

/* Starts gateways of which one has a proxy in front of the store. */
static program_t *start_rig_with_proxy(platform_rig_t *rig)
{
	CLEANUP_FREE char *port = NULL;
	program_t *proxy;

	start_rig(rig, 0, G_N_ELEMENTS(one_each), one_each);
	make_streams_long(rig);
	platform_store_remove(rig->store, "servers", rig->engines[1].id);
	port = g_strdup_printf("%u", platform_store_port(rig->store));
	proxy = standin_start("fault-proxy", "--target-port", port, NULL);
	rig->store_ports[CUT_OFF] = program_main_port(proxy);
	restart_gateways(rig);
	for (int i = 0; i < GATEWAYS; i++)
		g_assert_true(
			WAIT_UNTIL(has_logged(rig, i, "mixed=0 complete=1"),
				   HARNESS_WAIT_MS));
	return proxy;
}

/* Cuts an instance off from the store and the others. One of these goes on, and
 * another version joins. */
static void cut_off(platform_rig_t *rig, program_t *proxy)
{
	standin_control(program_port(proxy, "control"), "{\"blackhole\":1}");
	for (int i = 0; i < GATEWAYS; i++) {
		if (i == CUT_OFF)
			continue;
		program_signal(rig->gateways[i], SIGKILL);
		program_free(rig->gateways[i]);
		rig->gateways[i] = NULL;
	}
	platform_store_remove(rig->store, "amv-members", "gw-0");
	platform_rig_put_entry(&rig->engines[1], "ready");
	rig->peer_ports[0] = harness_free_port();
	platform_rig_start_gateway(rig, IN_CONTACT);
	g_assert_true(WAIT_UNTIL(platform_rig_is_ready(rig, IN_CONTACT),
				 HARNESS_WAIT_MS));
}

/* Failure: an instance that was cut off from the store and the others took that
 * for an outage, or stood still and then took old heartbeats for new ones, and
 * streams of a version that had joined went on there at the old one. */
static void test_out_of_step(const void *paused)
{
	broken_stream_t stream = { 0 };
	platform_rig_t rig;
	program_t *proxy = start_rig_with_proxy(&rig);

	if (paused)
		program_signal(rig.gateways[CUT_OFF], SIGSTOP);
	cut_off(&rig, proxy);
	/* An instance that knew the old version waits, too. */
	clock_sleep_ms(SOFTWARE_NEW_MS);
	begin_stream_at(&rig, IN_CONTACT, &rig.engines[1], &stream);
	close_stream(&stream);
	if (paused)
		program_signal(rig.gateways[CUT_OFF], SIGCONT);
	else if (!WAIT_UNTIL(has_logged(&rig, CUT_OFF,
					"name=store_down_for_all down=1"),
			     CUT_OFF_MS))
		g_test_message("the instance has not noticed that it is alone");
	set_release(&rig, true);
	for (int i = 0; i < STREAMS; i++)
		assert_refused(&rig, CUT_OFF, &stream);
	platform_rig_stop(&rig);
	program_stop(proxy);
	program_free(proxy);
}

static void add_case(const char *group, const char *name, const void *data,
		     GTestDataFunc function)
{
	g_autofree char *path =
		g_strdup_printf("/it-software/%s/%s", group, name);

	g_test_add_data_func(path, data, function);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed case ends what it started. */
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(break_cases); i++) {
		const break_case_t *c = &break_cases[i];

		add_case("one-answer/other-version-only", c->name, c,
			 test_other_version_only);
		add_case("one-answer/own-version", c->name, c,
			 test_own_version);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(take_up_cases); i++)
		add_case("take-up", take_up_cases[i].name, &take_up_cases[i],
			 test_take_up);
	for (size_t i = 0; i < G_N_ELEMENTS(second_take_up_cases); i++)
		add_case("take-up/second-take-up", second_take_up_cases[i].name,
			 &second_take_up_cases[i], test_second_take_up);
	g_test_add_func("/it-software/take-up/version-gone", test_version_gone);
	g_test_add_func("/it-software/take-up/version-replaced",
			test_version_replaced);
	g_test_add_func("/it-software/take-up/unknown", test_unknown);
	g_test_add_func("/it-software/take-up/one-version", test_one_version);
	g_test_add_func("/it-software/take-up/store-down", test_store_down);
	add_case("take-up", "cut-off", NULL, test_out_of_step);
	add_case("take-up", "paused", "paused", test_out_of_step);
	return g_test_run();
}
