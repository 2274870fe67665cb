/*
 * Tests for config_sync: state machine of one instance, answers to peers, and
 * a simulation of many instances with a store.
 */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/hash.h"
#include "version/config_sync.h"

enum {
	SEEDS = 30,
	DOMAINS = 4,
	INSTANCES = 40,
	STEP_MS = 10,
	GOSSIP_MS = 200,
	PROPAGATION_MS = 4000,
};

static config_sync_action_t tick(config_sync_t *sync, uint64_t now_ms)
{
	const config_sync_event_t event = { .kind = CONFIG_SYNC_TICK };
	config_sync_action_t action;

	config_sync_step(sync, &event, now_ms, &action);
	return action;
}

static config_sync_action_t fetched(config_sync_t *sync, uint32_t id, int err,
				    uint64_t position, uint64_t now_ms)
{
	const config_sync_event_t event = {
		.kind = CONFIG_SYNC_FETCHED,
		.fetched = { .id = id, .err = err, .position = position },
	};
	config_sync_action_t action;

	config_sync_step(sync, &event, now_ms, &action);
	return action;
}

static void start_sync(config_sync_t *sync, uint64_t self, bool has_bootstrap,
		       size_t peer_count)
{
	config_sync_member_t members[8] = { 0 };
	config_sync_event_t event = { .kind = CONFIG_SYNC_MEMBERS,
				      .members = { members, peer_count } };
	config_sync_action_t action;

	for (size_t i = 0; i < peer_count; i++)
		members[i] = (config_sync_member_t){ .id = 100 + i,
						     .domain = 1 + i % 2 };
	config_sync_init(sync, self, 1, has_bootstrap, 1, 0);
	config_sync_step(sync, &event, 0, &action);
	/* The watch is started or stopped before the first fetch. */
	while (action.kind == CONFIG_SYNC_WATCH_START ||
	       action.kind == CONFIG_SYNC_WATCH_STOP)
		action = tick(sync, 0);
}

/* A restart must not need the store while a peer has a configuration. */
static void test_start_order(void)
{
	config_sync_t sync;
	config_sync_action_t action;

	start_sync(&sync, 1, true, 6);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpint(sync.fetch.kind, ==, CONFIG_SYNC_FETCH_PEER);
		/* Peers of the same failure domain are tried first. */
		g_assert_cmpuint((sync.fetch.peer - 100) % 2, ==, 0);
		g_assert_cmpuint(sync.fetch.from, ==, 0);
		action = fetched(&sync, sync.fetch.id, ERR_TIMEOUT, 0, 10);
	}
	g_assert_cmpint(action.kind, ==, CONFIG_SYNC_FETCH_STORE);
	action = fetched(&sync, action.id, ERR_STORE_DOWN, 0, 20);
	while (action.kind == CONFIG_SYNC_FETCH_PEER)
		action = fetched(&sync, action.id, ERR_TIMEOUT, 0, 20);
	g_assert_cmpint(action.kind, ==, CONFIG_SYNC_LOAD_BOOTSTRAP);
	action = fetched(&sync, action.id, 0, 5, 30);
	g_assert_true(sync.in_force);
	g_assert_cmpuint(sync.position, ==, 5);
	g_assert_cmpint(action.kind, ==, CONFIG_SYNC_NONE);
	/* It then fetches a current configuration. */
	g_assert_cmpint(tick(&sync, 5000).kind, ==, CONFIG_SYNC_FETCH_STORE);
}

static void test_start_without_any_source(void)
{
	config_sync_t sync;
	config_sync_action_t action;
	int calls = 0;

	start_sync(&sync, 1, false, 0);
	action = sync.fetch;
	for (uint64_t now_ms = 0; now_ms < 60000; now_ms += 10) {
		if (action.kind == CONFIG_SYNC_FETCH_STORE) {
			calls++;
			fetched(&sync, action.id, ERR_STORE_DOWN, 0, now_ms);
		}
		action = tick(&sync, now_ms);
	}
	g_assert_false(sync.in_force);
	/* The backoff allows about 7 calls until it reaches 30 s. */
	g_assert_cmpint(calls, >=, 5);
	g_assert_cmpint(calls, <=, 14);
}

/* A lower position must never replace a higher one. */
static void test_position_never_decreases(void)
{
	config_sync_t sync;

	start_sync(&sync, 1, false, 2);
	fetched(&sync, sync.fetch.id, 0, 9, 10);
	fetched(&sync, sync.fetch.id, 0, 4, 20);
	g_assert_cmpuint(sync.position, ==, 9);
	fetched(&sync, sync.fetch.id + 5, 0, 12, 30);
	g_assert_cmpuint(sync.position, ==, 12);
	fetched(&sync, sync.fetch.id + 5, 0, 11, 40);
	g_assert_cmpuint(sync.position, ==, 12);
}

static json_t *make_content(uint64_t number)
{
	return json_pack("{s:I, s:s, s:{s:{s:I}}}", "ticket",
			 (json_int_t)number, "author", "a", "objects",
			 "model/m", "block_tokens", (json_int_t)number);
}

/* A delta and a snapshot must bring a peer to the same state. */
static void test_answers(void)
{
	static const struct {
		uint64_t from;
		bool is_answered;
		bool is_delta;
	} cases[] = {
		{ 0, true, false },	{ 100, true, false },
		{ 187, true, false },	{ 188, true, true },
		{ 699, true, true },	{ 700, false, false },
		{ 1000, false, false },
	};
	CLEANUP_JSON json_t *contents = json_array();
	ticket_state_t states[701] = { 0 };
	config_log_t log;

	g_assert_cmpint(config_log_init(&log), ==, 0);
	g_assert_cmpint(ticket_state_init(&states[0]), ==, 0);
	for (uint64_t i = 1; i <= 700; i++) {
		CLEANUP_JSON json_t *content = make_content(i);

		ticket_state_copy(&states[i - 1], &states[i]);
		g_assert_cmpint(ticket_state_apply(&states[i], i, content), ==,
				0);
		g_assert_cmpint(config_log_add(&log, i, content), ==, 0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		CLEANUP_JSON json_t *answer =
			config_sync_answer(&log, &states[700], cases[i].from);
		ticket_state_t state;

		g_test_message("case %zu", i);
		g_assert_cmpint(answer != NULL, ==, cases[i].is_answered);
		if (!answer)
			continue;
		g_assert_cmpint(json_object_get(answer, "tickets") != NULL, ==,
				cases[i].is_delta);
		ticket_state_copy(&states[cases[i].from], &state);
		g_assert_cmpint(config_sync_apply(&state, answer, contents), ==,
				0);
		g_assert_cmpuint(state.position, ==, 700);
		g_assert_true(json_equal(state.objects, states[700].objects));
		g_assert_true(json_equal(state.numbers, states[700].numbers));
		/* A repeated answer changes nothing. */
		g_assert_cmpint(config_sync_apply(&state, answer, contents), ==,
				ERR_BAD_FIELD);
		g_assert_cmpuint(state.position, ==, 700);
		ticket_state_free(&state);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(states); i++)
		ticket_state_free(&states[i]);
	config_log_free(&log);
}

static const char gap_answer[] = "{\"position\":5,\"tickets\":[{\"position\":3,"
				 "\"content\":{\"ticket\":3,\"objects\":{}}}]}";

/* Malformed answers must be rejected: a delta with a gap skips a ticket. */
static void test_bad_answers(void)
{
	static const char *const cases[] = {
		"{}",
		"[]",
		"{\"position\":5,\"tickets\":[]}",
		gap_answer,
		"{\"position\":5,\"tickets\":[{\"position\":1,\"content\":1}]}",
		"{\"position\":5,\"objects\":{\"model/m\":{}},\"numbers\":{}}",
		"{\"position\":0,\"objects\":{},\"numbers\":{}}",
		"{\"objects\":{},\"numbers\":{}}",
	};
	CLEANUP_JSON json_t *contents = json_array();
	ticket_state_t state;

	ticket_state_init(&state);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		CLEANUP_JSON json_t *answer = json_loads(cases[i], 0, NULL);

		g_test_message("case %zu", i);
		g_assert_cmpint(config_sync_apply(&state, answer, contents), ==,
				ERR_BAD_FIELD);
		g_assert_cmpuint(state.position, ==, 0);
		g_assert_cmpuint(json_object_size(state.numbers), ==, 0);
	}
	ticket_state_free(&state);
}

typedef struct sim_instance {
	config_sync_t sync;
	bool watching;
	config_sync_action_t fetch; /**< CONFIG_SYNC_NONE: none is open. */
	uint64_t fetch_end_ms;
	bool fetch_fails;
	uint64_t next_watch_answer_ms;
	uint64_t seen_position; /**< Position the watch has reported. */
	uint64_t highest_position;
} sim_instance_t;

typedef struct fleet {
	rng_t rng;
	uint64_t now_ms;
	sim_instance_t instances[INSTANCES];
	config_sync_member_t members[INSTANCES];
	uint64_t store_position;
	bool store_reachable;
	int loss_percent;
	int store_calls;
	int peer_calls;
} fleet_t;

static bool is_lost(fleet_t *fleet)
{
	return (int)rng_below(&fleet->rng, 100) < fleet->loss_percent;
}

static void perform_action(fleet_t *fleet, sim_instance_t *instance,
			   config_sync_action_t action)
{
	switch (action.kind) {
	case CONFIG_SYNC_NONE:
		return;
	case CONFIG_SYNC_WATCH_START:
	case CONFIG_SYNC_WATCH_STOP:
		instance->watching = action.kind == CONFIG_SYNC_WATCH_START;
		break;
	case CONFIG_SYNC_FETCH_PEER:
	case CONFIG_SYNC_FETCH_STORE:
	case CONFIG_SYNC_LOAD_BOOTSTRAP:
		g_assert_cmpint(instance->fetch.kind, ==, CONFIG_SYNC_NONE);
		instance->fetch = action;
		instance->fetch_fails = is_lost(fleet);
		instance->fetch_end_ms =
			fleet->now_ms + (instance->fetch_fails ? 1000 : 20);
		if (action.kind == CONFIG_SYNC_FETCH_STORE)
			fleet->store_calls++;
		else
			fleet->peer_calls++;
		break;
	}
	perform_action(fleet, instance, tick(&instance->sync, fleet->now_ms));
}

static void send_event(fleet_t *fleet, sim_instance_t *instance,
		       config_sync_event_t event)
{
	config_sync_action_t action;

	config_sync_step(&instance->sync, &event, fleet->now_ms, &action);
	perform_action(fleet, instance, action);
}

static void end_fetch(fleet_t *fleet, sim_instance_t *instance)
{
	config_sync_event_t event = { .kind = CONFIG_SYNC_FETCHED };
	config_sync_action_t fetch = instance->fetch;

	event.fetched.id = fetch.id;
	event.fetched.err = ERR_TIMEOUT;
	if (fetch.kind == CONFIG_SYNC_FETCH_PEER && !instance->fetch_fails) {
		const sim_instance_t *peer = &fleet->instances[fetch.peer - 1];

		event.fetched.position = peer->sync.position;
		event.fetched.err =
			peer->sync.position > fetch.from ? 0 : ERR_NOT_FOUND;
	}
	if (fetch.kind == CONFIG_SYNC_FETCH_STORE && fleet->store_reachable) {
		event.fetched.position = fleet->store_position;
		event.fetched.err = 0;
	}
	instance->fetch.kind = CONFIG_SYNC_NONE;
	send_event(fleet, instance, event);
}

static void gossip(fleet_t *fleet, const sim_instance_t *from)
{
	sim_instance_t *to =
		&fleet->instances[rng_below(&fleet->rng, INSTANCES)];
	config_sync_event_t event = { .kind = CONFIG_SYNC_GOSSIP };

	if (!from->sync.in_force || is_lost(fleet))
		return;
	event.gossip.member = from->sync.self;
	event.gossip.position = from->sync.position;
	event.gossip.age_ms = config_sync_age_ms(&from->sync, fleet->now_ms);
	send_event(fleet, to, event);
}

static void run_watch(fleet_t *fleet, sim_instance_t *instance)
{
	config_sync_event_t event = { .kind = CONFIG_SYNC_HEAD };

	/* A watch call returns on a change, or after 1 s without one. */
	if (!fleet->store_reachable ||
	    (instance->seen_position == fleet->store_position &&
	     fleet->now_ms < instance->next_watch_answer_ms))
		return;
	instance->seen_position = fleet->store_position;
	instance->next_watch_answer_ms = fleet->now_ms + 1000;
	event.head.position = fleet->store_position;
	send_event(fleet, instance, event);
}

static void start_instance(fleet_t *fleet, size_t i, bool has_bootstrap)
{
	sim_instance_t *instance = &fleet->instances[i];
	config_sync_event_t event = { .kind = CONFIG_SYNC_MEMBERS };

	memset(instance, 0, sizeof(*instance));
	config_sync_init(&instance->sync, i + 1, i % DOMAINS, has_bootstrap,
			 rng_next(&fleet->rng), fleet->now_ms);
	event.members.entries = fleet->members;
	event.members.count = INSTANCES;
	send_event(fleet, instance, event);
}

static fleet_t *make_fleet(uint64_t seed, bool has_bootstrap)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	rng_init(&fleet->rng, seed);
	fleet->store_reachable = true;
	fleet->store_position = 1;
	for (size_t i = 0; i < INSTANCES; i++)
		fleet->members[i] =
			(config_sync_member_t){ .id = i + 1,
						.domain = i % DOMAINS };
	for (size_t i = 0; i < INSTANCES; i++)
		start_instance(fleet, i, has_bootstrap);
	return fleet;
}

static void run_instance(fleet_t *fleet, sim_instance_t *instance)
{
	if (instance->fetch.kind != CONFIG_SYNC_NONE &&
	    fleet->now_ms >= instance->fetch_end_ms)
		end_fetch(fleet, instance);
	if (instance->watching)
		run_watch(fleet, instance);
	if (fleet->now_ms % GOSSIP_MS == 0)
		gossip(fleet, instance);
	perform_action(fleet, instance, tick(&instance->sync, fleet->now_ms));
	g_assert_cmpuint(instance->sync.position, >=,
			 instance->highest_position);
	instance->highest_position = instance->sync.position;
}

static void run_for(fleet_t *fleet, uint64_t duration_ms)
{
	uint64_t end_ms = fleet->now_ms + duration_ms;

	for (; fleet->now_ms < end_ms; fleet->now_ms += STEP_MS) {
		for (size_t i = 0; i < INSTANCES; i++)
			run_instance(fleet, &fleet->instances[i]);
	}
}

static void check_all_at(const fleet_t *fleet, uint64_t position)
{
	for (size_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(fleet->instances[i].sync.position, ==,
				 position);
}

/* An accepted change must be in force everywhere within 4 s. */
static void test_change_propagation(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		fleet_t *fleet = make_fleet(seed, false);
		int watchers = 0;

		g_test_message("seed %d", (int)seed);
		run_for(fleet, PROPAGATION_MS);
		check_all_at(fleet, 1);
		for (size_t i = 0; i < INSTANCES; i++)
			watchers += fleet->instances[i].watching;
		g_assert_cmpint(watchers, ==, DOMAINS * CONFIG_SYNC_WATCHERS);
		fleet->loss_percent = 10;
		fleet->store_calls = 0;
		for (int change = 0; change < 5; change++) {
			fleet->store_position++;
			run_for(fleet, PROPAGATION_MS);
			check_all_at(fleet, fleet->store_position);
		}
		/* Only watchers read the store, a few times per change. */
		g_assert_cmpint(fleet->store_calls, <=, 5 * 3 * watchers);
		g_assert_cmpint(fleet->peer_calls, >, 5 * 20);
		g_free(fleet);
	}
}

/*
 * During an outage of the store, instances keep their configuration and report
 * its age, and restarted ones fetch it from peers.
 */
static void test_outage(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		fleet_t *fleet = make_fleet(seed, true);

		run_for(fleet, PROPAGATION_MS);
		fleet->store_reachable = false;
		fleet->store_calls = 0;
		run_for(fleet, 30000);
		/* One instance restarts, then half of them at once. */
		for (size_t i = 0; i < INSTANCES / 2; i++) {
			start_instance(fleet, i, false);
			run_for(fleet, i ? 0 : 3000);
		}
		run_for(fleet, 3000);
		check_all_at(fleet, 1);
		for (size_t i = INSTANCES / 2; i < INSTANCES; i++)
			g_assert_cmpuint(
				config_sync_age_ms(&fleet->instances[i].sync,
						   fleet->now_ms),
				>, 33000);
		/* With backoff, 36 s of outage cause few calls per instance. */
		g_assert_cmpint(fleet->store_calls, <, 20 * INSTANCES);
		fleet->store_reachable = true;
		fleet->store_position = 2;
		run_for(fleet, PROPAGATION_MS);
		check_all_at(fleet, 2);
		run_for(fleet, PROPAGATION_MS);
		for (size_t i = 0; i < INSTANCES; i++)
			g_assert_cmpuint(
				config_sync_age_ms(&fleet->instances[i].sync,
						   fleet->now_ms),
				<, 3000);
		g_free(fleet);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-sync/start-order", test_start_order);
	g_test_add_func("/config-sync/no-source",
			test_start_without_any_source);
	g_test_add_func("/config-sync/position", test_position_never_decreases);
	g_test_add_func("/config-sync/answers", test_answers);
	g_test_add_func("/config-sync/bad-answers", test_bad_answers);
	g_test_add_func("/config-sync/fleet", test_change_propagation);
	g_test_add_func("/config-sync/outage", test_outage);
	return g_test_run();
}
