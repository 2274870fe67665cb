/* A gateway that cannot reach the store fetches its state from another one over
 * a narrow or faulty link. The link is a proxy at an address of its own, for
 * which the test sends heartbeats. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/hash.h"
#include "process/peer_heartbeat.h"
#include "process/store_revision.h"
#include "t/lib/platform_rig.h"

enum {
	/** Routes of the largest configuration that was reported: 0.9 MB. */
	IDLE_ROUTES = 4200,
	/** A change must be in force within this time, ms (config_apply_ms). */
	IN_FORCE_MS = 3000,
	/** A leaving endpoint must get no requests after this time, ms
	 * (drain_ms). */
	LEAVING_MS = 3000,
	HEARTBEAT_MS = 200,
	STORE_ERA = 1,
	FIRST_INCARNATION = 1000,
	/** Gateways before and behind the link. */
	SOURCE = 0,
	FOLLOWER = 1,
};

#define LINK_ADDRESS "127.0.0.9"
#define SOURCE_ADDRESS "127.0.0.2"
#define FOLLOWER_ADDRESS "127.0.0.3"

typedef struct link {
	platform_rig_t rig;
	program_t *proxy;
	uint16_t control_port;
	raw_server_t *old_peer; /**< In place of the proxy. */
	int fd;
	pthread_t sender;
	_Atomic uint64_t incarnation; /**< Of the heartbeats. */
	_Atomic bool stopping;
} link_t;

static struct sockaddr_in address_of(const char *ip, uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(ip),
	};
}

/* Says that the instance behind the link has all that the store has, but for
 * the members: from them the follower would learn of a way around the link. */
static void send_heartbeat(const link_t *link, uint32_t sequence)
{
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	struct sockaddr_in to =
		address_of(FOLLOWER_ADDRESS, link->rig.peer_ports[0]);
	uint64_t revision = store_revision_make(
		STORE_ERA, platform_store_revision(link->rig.store));
	peer_heartbeat_t heartbeat = {
		.name = "link",
		.incarnation = link->incarnation,
		.sequence = sequence,
		.domain = (uint32_t)hash_string(""),
		.link_mbps = 200,
		.watching = true,
	};
	int len;

	for (int i = 0; i < OBJECT_MEMBERS; i++)
		heartbeat.tables[i] = (peer_table_t){ revision, revision };
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	g_assert_cmpint(len, >, 0);
	(void)sendto(link->fd, bytes, (size_t)len, 0,
		     (const struct sockaddr *)&to, sizeof(to));
}

static void *send_heartbeats(void *context)
{
	link_t *link = context;
	uint64_t incarnation = 0;
	uint32_t sequence = 0;

	while (!link->stopping) {
		sequence = incarnation == link->incarnation ? sequence + 1 : 1;
		incarnation = link->incarnation;
		send_heartbeat(link, sequence);
		WAIT_UNTIL(link->stopping, HEARTBEAT_MS);
	}
	return NULL;
}

/* Sends heartbeats from the address at which state is served. */
static void start_heartbeats(link_t *link, const struct sockaddr_in *own)
{
	link->incarnation = FIRST_INCARNATION;
	link->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(
		bind(link->fd, (const struct sockaddr *)own, sizeof(*own)), ==,
		0);
	pthread_create(&link->sender, NULL, send_heartbeats, link);
}

static void open_link(link_t *link)
{
	uint16_t port = link->rig.peer_ports[0];
	struct sockaddr_in own = address_of(LINK_ADDRESS, port);
	char *text = g_strdup_printf("%u", port);

	link->proxy =
		standin_start("fault-proxy", "--address", LINK_ADDRESS,
			      "--port", text, "--target-address",
			      SOURCE_ADDRESS, "--target-port", text, NULL);
	link->control_port = program_port(link->proxy, "control");
	g_free(text);
	start_heartbeats(link, &own);
}

static void start_follower(link_t *link)
{
	link->rig.store_ports[FOLLOWER] = harness_free_port();
	platform_rig_start_gateway(&link->rig, FOLLOWER);
}

/* Starts a gateway at the store, and one that has only the link. */
static void start(link_t *link, const char *control)
{
	platform_rig_options_t options = { .idle_routes = IDLE_ROUTES };

	memset(link, 0, sizeof(*link));
	platform_rig_start_with(&link->rig, 1, &options);
	open_link(link);
	standin_control(link->control_port, control);
	start_follower(link);
}

static void stop(link_t *link)
{
	link->stopping = true;
	pthread_join(link->sender, NULL);
	close(link->fd);
	platform_rig_stop(&link->rig);
	if (link->proxy)
		program_stop(link->proxy);
	if (link->proxy)
		program_free(link->proxy);
	if (link->old_peer)
		raw_server_stop(link->old_peer);
}

static bool has_status(const link_t *link, int gateway, const char *status)
{
	return platform_rig_has_status(&link->rig, gateway, status);
}

typedef struct link_case {
	const char *name;
	const char *control; /**< Of the link. */
} link_case_t;

static const link_case_t link_cases[] = {
	/* 10 Mbit/s, the narrowest of the users' links. */
	{ "narrow", "{\"answer_bytes_per_ms\":1250}" },
	/* 2 Mbit/s: most of that link is in use. */
	{ "busy", "{\"answer_bytes_per_ms\":250}" },
	{ "silent-after-40-kb", "{\"answer_limit_bytes\":40000}" },
};

/* Failure: a change of a large configuration was in force late or never on
 * instances with narrow links (rule CONFIG, incident inc1). */
static void test_large_configuration(const void *data)
{
	const link_case_t *c = data;
	link_t link;

	start(&link, c->control);
	g_assert_true(WAIT_UNTIL(platform_rig_is_ready(&link.rig, FOLLOWER),
				 HARNESS_WAIT_MS));
	g_assert_true(has_status(&link, FOLLOWER, "200"));
	platform_rig_put_desired(&link.rig, 2, "key-2");
	g_assert_true(
		WAIT_UNTIL(has_status(&link, FOLLOWER, "401"), IN_FORCE_MS));
	stop(&link);
}

static bool has_logged(const link_t *link, int gateway, const char *text)
{
	return strstr(program_output(link->rig.gateways[gateway]), text);
}

/* Failure: requests still reached a leaving endpoint, because an instance was
 * fetching a large configuration (rule DRAIN, incident inc2). */
static void test_leaving_endpoint(void)
{
	link_t link;

	start(&link, "{\"answer_bytes_per_ms\":12500}");
	g_assert_true(WAIT_UNTIL(platform_rig_is_ready(&link.rig, FOLLOWER),
				 HARNESS_WAIT_MS));
	standin_control(link.control_port, "{\"answer_bytes_per_ms\":12}");
	link.rig.options.idle_routes *= 2;
	platform_rig_put_desired(&link.rig, 2, "key-1");
	g_assert_true(
		WAIT_UNTIL(has_logged(&link, SOURCE, "desired_version=2 "),
			   HARNESS_WAIT_MS));
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		platform_rig_put_entry(&link.rig.services[i], "draining");
	g_assert_true(
		WAIT_UNTIL(has_status(&link, FOLLOWER, "503"), LEAVING_MS));
	stop(&link);
}

/* Failure: before the operator had set the first configuration, instances asked
 * each other for it in a loop, and were refused. */
static void test_no_configuration(void)
{
	link_t link = { 0 };

	platform_rig_start_with(&link.rig, 0, &(platform_rig_options_t){ 0 });
	platform_store_remove(link.rig.store, "config", "main");
	platform_rig_start_gateway(&link.rig, SOURCE);
	g_assert_true(
		WAIT_UNTIL(strstr(program_output(link.rig.gateways[SOURCE]),
				  "name=store_contact kind=desired result=ok"),
			   HARNESS_WAIT_MS));
	open_link(&link);
	start_follower(&link);
	g_assert_true(WAIT_UNTIL(
		has_logged(&link, FOLLOWER, "name=peer_state kind=desired"),
		HARNESS_WAIT_MS));
	g_assert_false(has_logged(&link, FOLLOWER, "name=peer_no_state"));
	platform_rig_put_desired(&link.rig, 1, "key-1");
	g_assert_true(WAIT_UNTIL(platform_rig_is_ready(&link.rig, FOLLOWER),
				 HARNESS_WAIT_MS));
	stop(&link);
}

static json_t *old_table(const link_t *link, const char *kind,
			 const char *const *names)
{
	json_int_t revision =
		(json_int_t)platform_store_revision(link->rig.store);
	json_t *rows = json_array();

	for (; *names; names++)
		json_array_append_new(
			rows, json_pack("[s,I,o]", *names, revision,
					platform_store_get(link->rig.store,
							   kind, *names)));
	return json_pack("{s:i,s:I,s:b,s:o}", "era", STORE_ERA, "revision",
			 revision, "complete", 1, "rows", rows);
}

/* As instances of the version before pieces do. */
static raw_next_t answer_as_old_peer(void *context,
				     const raw_request_t *request)
{
	static const char *const config[] = { "main", NULL };
	static const char *const servers[] = { "desk-0", "desk-1", "llm-0",
					       "llm-1", NULL };
	static const char *const versions[] = { "m", NULL };
	const link_t *link = context;
	CLEANUP_JSON json_t *state = NULL;
	CLEANUP_FREE char *text = NULL;

	if (!g_str_has_prefix(request->head, "GET /state?")) {
		raw_send(request,
			 "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
		return RAW_KEEP;
	}
	state = json_pack("{s:o,s:o,s:o}", "desired",
			  old_table(link, "config", config), "endpoints",
			  old_table(link, "servers", servers), "weights",
			  old_table(link, "versions", versions));
	text = json_dumps(state, JSON_COMPACT);
	raw_send(request, "HTTP/1.1 200 X\r\nContent-Length: %zu\r\n\r\n%s",
		 strlen(text), text);
	return RAW_KEEP;
}

/* Failure: during an upgrade a new instance got no configuration from those of
 * the version before, which do not send it in pieces. */
static void test_old_peer(void)
{
	link_t link = { 0 };
	struct sockaddr_in own;

	platform_rig_start_with(&link.rig, 0, &(platform_rig_options_t){ 0 });
	link.old_peer = raw_server_start(answer_as_old_peer, &link);
	own = address_of("127.0.0.1", raw_server_port(link.old_peer));
	start_heartbeats(&link, &own);
	start_follower(&link);
	g_assert_true(WAIT_UNTIL(platform_rig_is_ready(&link.rig, FOLLOWER),
				 HARNESS_WAIT_MS));
	g_assert_true(has_status(&link, FOLLOWER, "200"));
	stop(&link);
}

/* Failure: an instance that had started while its time of day was ahead, and
 * started again after it was back, was ignored from then on. */
static void test_lower_incarnation(void)
{
	link_t link;

	start(&link, "{}");
	g_assert_true(WAIT_UNTIL(
		has_logged(&link, FOLLOWER, "name=peer_heard peer=link"),
		HARNESS_WAIT_MS));
	link.incarnation = FIRST_INCARNATION - 1;
	g_assert_true(WAIT_UNTIL(
		has_logged(&link, FOLLOWER, "peer=link incarnation=999"),
		HARNESS_WAIT_MS));
	platform_rig_put_desired(&link.rig, 2, "key-2");
	g_assert_true(
		WAIT_UNTIL(has_status(&link, FOLLOWER, "401"), IN_FORCE_MS));
	stop(&link);
}

/* Failure: a watch whose answer takes longer than its wait is cut and sent
 * again, so a change of a large configuration is never read from the store. */
static void test_narrow_link_to_store(void)
{
	platform_rig_options_t options = { .idle_routes = IDLE_ROUTES };
	platform_rig_t rig;
	program_t *proxy;
	char *store;

	platform_rig_start_with(&rig, 0, &options);
	store = g_strdup_printf("%u", platform_store_port(rig.store));
	proxy = standin_start("fault-proxy", "--target-port", store, NULL);
	g_free(store);
	rig.store_ports[0] = program_main_port(proxy);
	platform_rig_start_gateway(&rig, 0);
	g_assert_true(
		WAIT_UNTIL(platform_rig_is_ready(&rig, 0), HARNESS_WAIT_MS));
	standin_control(program_port(proxy, "control"),
			"{\"answer_bytes_per_ms\":500}");
	platform_rig_put_desired(&rig, 2, "key-2");
	g_assert_true(WAIT_UNTIL(platform_rig_has_status(&rig, 0, "401"),
				 IN_FORCE_MS));
	platform_rig_stop(&rig);
	program_stop(proxy);
	program_free(proxy);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed case ends what it started. */
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(link_cases); i++) {
		char *path = g_strdup_printf("/state/large-configuration/%s",
					     link_cases[i].name);

		g_test_add_data_func(path, &link_cases[i],
				     test_large_configuration);
		g_free(path);
	}
	g_test_add_func("/state/leaving-endpoint-beside-large-configuration",
			test_leaving_endpoint);
	g_test_add_func("/state/no-configuration", test_no_configuration);
	g_test_add_func("/state/old-peer", test_old_peer);
	g_test_add_func("/state/lower-incarnation", test_lower_incarnation);
	g_test_add_func("/state/large-configuration-from-store",
			test_narrow_link_to_store);
	return g_test_run();
}
