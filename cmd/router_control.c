/*
 * Status and drain requests of operators, and the thread that finds peers,
 * starts the configuration service and reads the instance list.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/rng.h"

enum {
	/** Time to find a peer at start before the store is used. */
	START_PEERS_MS = 1000,
	/** Time without a configuration after which the list is read anyway. */
	START_LIST_MS = 5000,
	/** Interval at which the thread checks its conditions. */
	LOOP_SLEEP_MS = 20,
};

static const char *state_name(peer_member_state_t state)
{
	switch (state) {
	case PEER_MEMBER_ALIVE:
		return "alive";
	case PEER_MEMBER_SUSPECT:
		return "suspect";
	case PEER_MEMBER_FAILED:
		return "failed";
	case PEER_MEMBER_LEFT:
		return "left";
	}
	return "unknown";
}

/** Returns null for an unknown age. */
static json_t *age_json(uint64_t age_ms, uint64_t unknown)
{
	return age_ms == unknown ? json_null()
				 : json_integer((json_int_t)age_ms);
}

static json_t *member_json(router_t *router, const gossip_member_t *member)
{
	char name[STORE_NAME_MAX_BYTES];

	router_members_name(router, member->wire.id, name);
	return json_pack("{s:s,s:s,s:I,s:o}", "instance", name, "state",
			 state_name(member->wire.state), "position",
			 (json_int_t)member->config_position, "age_ms",
			 age_json(member->config_age_ms, UINT32_MAX));
}

json_t *router_control_members(router_t *router)
{
	CLEANUP_FREE gossip_member_t *members =
		calloc(PEER_MEMBERS_MAX, sizeof(*members));
	json_t *list = json_array();
	size_t count;

	if (!members)
		return list;
	count = gossip_members(router->gossip, members, PEER_MEMBERS_MAX);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, member_json(router, &members[i]));
	return list;
}

static json_t *endpoints_json(router_t *router)
{
	CLEANUP_FREE fleet_status_t *endpoints =
		calloc(FLEET_ENDPOINTS_MAX, sizeof(*endpoints));
	json_t *list = json_array();
	size_t count;

	if (!endpoints)
		return list;
	count = fleet_status(router->fleet, endpoints, FLEET_ENDPOINTS_MAX,
			     clock_now_ms());
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:I,s:I}", "endpoint",
				  endpoints[i].id, "state",
				  endpoint_state_name(endpoints[i].state),
				  "incarnation",
				  (json_int_t)endpoints[i].incarnation,
				  "running", (json_int_t)endpoints[i].running));
	return list;
}

void router_control_status(router_t *router, server_request_t *request)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	config_service_status_t status = router_tickets_status(router);
	bool store_down = router->store && store_client_is_down(router->store);
	CLEANUP_JSON json_t *answer = json_pack(
		"{s:s,s:s,s:I,s:o,s:b,s:b,s:b,s:o,s:o}", "instance",
		router->instance, "domain", router->settings.domain, "position",
		(json_int_t)(config ? config->position : 0), "age_ms",
		age_json(status.age_ms, CONFIG_AGE_UNKNOWN), "ready",
		(int)router_is_ready(router), "watching", (int)status.watching,
		"store_down", (int)store_down, "members",
		router_control_members(router), "endpoints",
		endpoints_json(router));

	router_answer_json(request, answer);
}

void router_control_drain(router_t *router, server_request_t *request)
{
	CLEANUP_JSON json_t *answer = json_pack(
		"{s:s,s:b}", "instance", router->instance, "draining", 1);

	router_answer_json(request, answer);
	/* The main thread receives the signal and stops the daemon. */
	kill(getpid(), SIGTERM);
}

static bool is_exiting(router_t *router)
{
	return uatomic_read(&router->exiting);
}

/**
 * Waits for an answer of a seed instance, so that its configuration is tried
 * before the store. Reads the instance list if no peer is found.
 */
static void find_peers(router_t *router)
{
	uint64_t deadline_ms = clock_now_ms() + START_PEERS_MS;
	const char *seeds = router->settings.peers;

	while (seeds && *seeds && !is_exiting(router) &&
	       !router_members_has_peers(router) &&
	       clock_now_ms() < deadline_ms)
		clock_sleep_ms(LOOP_SLEEP_MS);
	if (!router_members_has_peers(router))
		router_members_read_list(router);
}

/** Returns when the list is due next: the interval with 25% jitter. */
static uint64_t next_list_due_ms(const router_t *router, rng_t *rng)
{
	uint32_t interval_ms = router->settings.instances_ms;

	return clock_now_ms() + interval_ms * 3 / 4 +
	       rng_below(rng, interval_ms / 2 + 1);
}

/**
 * Whether to read the instance list now. While an instance starts from a peer,
 * the list is not read for START_LIST_MS, so that the start neither needs the
 * store nor waits for it.
 */
static bool is_list_due(router_t *router, uint64_t list_due_ms)
{
	uint64_t now_ms = clock_now_ms();
	bool started = uatomic_read(&router->config_applied) ||
		       !router_members_has_peers(router) ||
		       now_ms >= router->started_ms + START_LIST_MS;

	return started && now_ms >= list_due_ms;
}

void *router_control_thread(void *context)
{
	router_t *router = context;
	uint64_t list_due_ms;
	rng_t rng;
	int err;

	rng_init(&rng, router->seed ^ gossip_id(router->gossip));
	find_peers(router);
	err = router_tickets_open(router);
	if (err)
		event_log(EVENT_START_FAILED, "part=config error=%s",
			  error_type(err));
	/* The first read is random too, since many instances start at once. */
	list_due_ms =
		clock_now_ms() + rng_below(&rng, router->settings.instances_ms);
	while (!is_exiting(router)) {
		clock_sleep_ms(LOOP_SLEEP_MS);
		if (!is_list_due(router, list_due_ms))
			continue;
		router_members_read_list(router);
		list_due_ms = next_list_due_ms(router, &rng);
	}
	return NULL;
}
