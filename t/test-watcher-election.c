/* Watcher election: simulates many instances that receive each other's
 * heartbeats with a delay. */
#include <glib.h>
#include <string.h>

#include "process/rng.h"
#include "process/watcher_election.h"

enum {
	INSTANCES = 134,
	DOMAINS = 5,
	TICK_MS = 100,
	/** Heartbeat interval with this many instances. */
	HEARTBEAT_INTERVAL_MS = 500,
	/** From the start of watching to the first answer: a failed call is
	 * retried at least this often. */
	ANSWER_DELAY_MS = 200,
};

typedef struct instance {
	watcher_election_t election;
	election_peer_t announced;  /**< In the last heartbeat. */
	uint64_t heartbeat_ms;	    /**< Of the last heartbeat. */
	uint64_t watching_since_ms; /**< Last start of watching. */
	bool store_answers;	    /**< If the instance watches. */
	bool alive;
} instance_t;

typedef struct fleet {
	instance_t instances[INSTANCES];
	uint64_t now_ms;
	uint32_t max_unanswered;  /**< Concurrent unanswered watchers. */
	uint64_t unanswered_ms;	  /**< Sum of all unanswered watchers. */
	uint64_t last_contact_ms; /**< Of any instance. */
	uint64_t longest_gap_ms;
} fleet_t;

static bool in_contact(const fleet_t *fleet, const instance_t *instance)
{
	return instance->election.watching && instance->store_answers &&
	       fleet->now_ms - instance->watching_since_ms >= ANSWER_DELAY_MS;
}

static void send_heartbeat(fleet_t *fleet, instance_t *instance)
{
	instance->heartbeat_ms = fleet->now_ms;
	instance->announced.rank = instance->election.rank;
	instance->announced.in_contact = in_contact(fleet, instance);
	instance->announced.yielded = watcher_election_has_yielded(
		&instance->election, fleet->now_ms);
}

static void step_one(fleet_t *fleet, int index)
{
	instance_t *instance = &fleet->instances[index];
	election_peer_t peers[INSTANCES];
	election_self_t self = { .in_contact = in_contact(fleet, instance),
				 .complete = true };
	bool was_watching = instance->election.watching;
	size_t count = 0;

	for (int i = 0; i < INSTANCES; i++) {
		const instance_t *peer = &fleet->instances[i];

		if (i == index || !peer->alive || !peer->heartbeat_ms)
			continue;
		self.others_in_contact |= peer->announced.in_contact;
		if (i % DOMAINS == index % DOMAINS)
			peers[count++] = peer->announced;
	}
	watcher_election_step(&instance->election, peers, count, &self,
			      fleet->now_ms);
	if (instance->election.watching && !was_watching)
		instance->watching_since_ms = fleet->now_ms;
	/* The control thread also sends changes at once. */
	if (was_watching != instance->election.watching ||
	    fleet->now_ms - instance->heartbeat_ms >= HEARTBEAT_INTERVAL_MS)
		send_heartbeat(fleet, instance);
}

static void record_statistics(fleet_t *fleet)
{
	uint32_t unanswered = 0;
	bool contact = false;

	for (int i = 0; i < INSTANCES; i++) {
		const instance_t *instance = &fleet->instances[i];

		if (!instance->alive || !instance->election.watching)
			continue;
		if (in_contact(fleet, instance))
			contact = true;
		else if (!instance->store_answers)
			unanswered++;
	}
	fleet->max_unanswered = MAX(fleet->max_unanswered, unanswered);
	fleet->unanswered_ms += (uint64_t)unanswered * TICK_MS;
	if (contact)
		fleet->last_contact_ms = fleet->now_ms;
	fleet->longest_gap_ms = MAX(fleet->longest_gap_ms,
				    fleet->now_ms - fleet->last_contact_ms);
}

static void run_for(fleet_t *fleet, uint64_t for_ms)
{
	for (uint64_t deadline_ms = fleet->now_ms + for_ms;
	     fleet->now_ms < deadline_ms; fleet->now_ms += TICK_MS) {
		for (int i = 0; i < INSTANCES; i++) {
			if (fleet->instances[i].alive)
				step_one(fleet, i);
		}
		record_statistics(fleet);
	}
}

static void reset_statistics(fleet_t *fleet)
{
	fleet->max_unanswered = 0;
	fleet->unanswered_ms = 0;
	fleet->longest_gap_ms = 0;
}

static void init_fleet(fleet_t *fleet)
{
	rng_t rng;

	memset(fleet, 0, sizeof(*fleet));
	rng_init(&rng, 1);
	fleet->now_ms = 1000;
	fleet->last_contact_ms = 1000;
	for (int i = 0; i < INSTANCES; i++) {
		instance_t *instance = &fleet->instances[i];

		instance->store_answers = true;
		instance->alive = true;
		watcher_election_init(&instance->election, rng_next(&rng),
				      fleet->now_ms);
		instance->election.first_heartbeat_ms = fleet->now_ms;
		send_heartbeat(fleet, instance);
	}
}

static uint32_t count_watchers(const fleet_t *fleet)
{
	uint32_t count = 0;

	for (int i = 0; i < INSTANCES; i++)
		count += fleet->instances[i].alive &&
			 fleet->instances[i].election.watching;
	return count;
}

/* Failure: all 134 instances watched the store for the first 3 s, which took
 * 2,400 of the 2,965 calls of a day with little load (enlarged deployment kiln,
 * simulated day quiet-1). */
static void test_start(void)
{
	static fleet_t fleet;

	init_fleet(&fleet);
	run_for(&fleet, ELECTION_ANSWER_WAIT_MS);
	g_assert_cmpuint(count_watchers(&fleet), ==, 0);
	run_for(&fleet, 2 * HEARTBEAT_INTERVAL_MS);
	g_assert_cmpuint(count_watchers(&fleet), ==, DOMAINS);
	g_assert_cmpuint(fleet.longest_gap_ms, <, 1000);
}

/* Failure: during an outage every instance called the store, which cost 500
 * billed calls per second (enlarged deployment kiln, simulated days trouble-1
 * and trouble-3); or no instance noticed the end of the outage. */
static void test_outage(void)
{
	static fleet_t fleet;

	init_fleet(&fleet);
	run_for(&fleet, 3000);
	reset_statistics(&fleet);
	for (int i = 0; i < INSTANCES; i++)
		fleet.instances[i].store_answers = false;
	run_for(&fleet, 9000);
	g_assert_cmpuint(fleet.max_unanswered, <=, 2 * DOMAINS);
	for (int i = 0; i < INSTANCES; i++)
		fleet.instances[i].store_answers = true;
	reset_statistics(&fleet);
	fleet.last_contact_ms = fleet.now_ms;
	run_for(&fleet, 3000);
	g_assert_cmpuint(fleet.longest_gap_ms, <, 1000);
	g_assert_cmpuint(count_watchers(&fleet), ==, DOMAINS);
}

static bool is_best_watching(const fleet_t *fleet, int domain)
{
	const instance_t *best = &fleet->instances[domain];

	for (int i = domain; i < INSTANCES; i += DOMAINS) {
		if (fleet->instances[i].election.rank > best->election.rank)
			best = &fleet->instances[i];
	}
	return in_contact(fleet, best);
}

/* Failure: after an outage for all, stand-ins with slow links watched for
 * another 3 s, served the state to their domains and took the weights lease. */
static void test_yield_ends_with_outage(void)
{
	static fleet_t fleet;

	for (uint64_t outage_ms = 500; outage_ms <= 8000; outage_ms += 500) {
		init_fleet(&fleet);
		run_for(&fleet, 3000);
		for (int i = 0; i < INSTANCES; i++)
			fleet.instances[i].store_answers = false;
		run_for(&fleet, outage_ms);
		for (int i = 0; i < INSTANCES; i++)
			fleet.instances[i].store_answers = true;
		run_for(&fleet, 2 * HEARTBEAT_INTERVAL_MS);
		for (int domain = 0; domain < DOMAINS; domain++)
			g_assert_true(is_best_watching(&fleet, domain));
	}
}

static void answer_all(fleet_t *fleet, bool answers)
{
	for (int i = 0; i < INSTANCES; i++)
		fleet->instances[i].store_answers = answers;
}

/* The store turns away the best `count` of a domain. */
static void reject_best(fleet_t *fleet, int domain, int count)
{
	for (int n = 0; n < count; n++) {
		instance_t *best = NULL;

		for (int i = domain; i < INSTANCES; i += DOMAINS) {
			instance_t *one = &fleet->instances[i];

			if (one->alive && one->store_answers &&
			    (!best || one->election.rank > best->election.rank))
				best = one;
		}
		if (best)
			best->store_answers = false;
	}
}

/* Time until some instance of a domain is in contact, at most 10 s. */
static uint64_t time_to_contact(fleet_t *fleet, int domain)
{
	uint64_t began_ms = fleet->now_ms;

	while (fleet->now_ms - began_ms < 10000) {
		run_for(fleet, TICK_MS);
		for (int i = domain; i < INSTANCES; i += DOMAINS) {
			if (fleet->instances[i].alive &&
			    in_contact(fleet, &fleet->instances[i]))
				return fleet->now_ms - began_ms;
		}
	}
	return UINT64_MAX;
}

/* Failure: all of a domain had yielded in an outage for all; the best one,
 * which the store turned away afterwards, never yielded again. */
static void test_rejected_after_outage(void)
{
	static fleet_t fleet;

	for (int size = 2; size <= 8; size++) {
		for (uint64_t outage_ms = 500; outage_ms <= 12000;
		     outage_ms += 500) {
			init_fleet(&fleet);
			for (int i = size * DOMAINS; i < INSTANCES; i++)
				fleet.instances[i].alive = false;
			run_for(&fleet, 3000);
			answer_all(&fleet, false);
			run_for(&fleet, outage_ms);
			answer_all(&fleet, true);
			reject_best(&fleet, 0, 1);
			g_assert_cmpuint(time_to_contact(&fleet, 0), <=,
					 ELECTION_YIELD_MS +
						 HEARTBEAT_INTERVAL_MS);
		}
	}
}

/* Failure: the first contact in one domain ended the yields in another that had
 * not found an instance in contact, so that its search began anew. */
static void test_contact_of_other_domain(void)
{
	static fleet_t fleet;

	init_fleet(&fleet);
	run_for(&fleet, 3000);
	for (int domain = 0; domain < DOMAINS; domain++)
		reject_best(&fleet, domain, domain ? 1 : 2);
	g_assert_cmpuint(time_to_contact(&fleet, 0), <=, 2000);
}

/* Failure: an instance that had been cut off from the store and from its peers
 * watched on without an answer when its peers were back. */
static void test_peers_back(void)
{
	watcher_election_t election;
	election_peer_t peer = { .rank = 1, .in_contact = true };
	election_self_t self = { .complete = true };
	uint64_t now_ms = 1000;

	watcher_election_init(&election, 9, now_ms);
	for (; now_ms < 5000; now_ms += TICK_MS)
		watcher_election_step(&election, NULL, 0, &self, now_ms);
	self.others_in_contact = true;
	for (; now_ms < 7000; now_ms += TICK_MS)
		watcher_election_step(&election, &peer, 1, &self, now_ms);
	g_assert_false(election.watching);
}

/* Failure: the store rejected a third of the instances, including all watchers,
 * and no other instance watched within 2 s, the time limit for changes. */
static void test_some_rejected(void)
{
	static fleet_t fleet;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		rng_t rng;

		rng_init(&rng, seed);
		init_fleet(&fleet);
		run_for(&fleet, 3000);
		reset_statistics(&fleet);
		for (int i = 0; i < INSTANCES; i++)
			fleet.instances[i].store_answers =
				!fleet.instances[i].election.watching &&
				rng_below(&rng, 100) >= 35;
		run_for(&fleet, 12000);
		g_assert_cmpuint(fleet.longest_gap_ms, <, 2000);
		/* Rejected instances retry briefly every few seconds. */
		g_assert_cmpuint(fleet.unanswered_ms, <, 12000 * DOMAINS);
	}
}

/* Failure: a watcher in contact yielded to a peer of higher rank that the
 * store rejected, so that a domain had no watcher every few seconds. */
static void test_no_gap(void)
{
	static fleet_t fleet;
	int best = 0;

	init_fleet(&fleet);
	for (int i = 0; i < INSTANCES; i += DOMAINS) {
		if (fleet.instances[i].election.rank >
		    fleet.instances[best].election.rank)
			best = i;
	}
	run_for(&fleet, 3000);
	g_assert_true(fleet.instances[best].election.watching);
	for (int i = 0; i < INSTANCES; i++)
		fleet.instances[i].store_answers =
			i % DOMAINS == 0 ? i != best : false;
	run_for(&fleet, 2500);
	reset_statistics(&fleet);
	run_for(&fleet, 20000);
	g_assert_cmpuint(fleet.longest_gap_ms, ==, 0);
}

/* Failure: all watchers were killed and no instance of their domains replaced
 * them. */
static void test_killed(void)
{
	static fleet_t fleet;

	init_fleet(&fleet);
	run_for(&fleet, 3000);
	for (int i = 0; i < INSTANCES; i++) {
		if (fleet.instances[i].election.watching)
			fleet.instances[i].alive = false;
	}
	g_assert_cmpuint(count_watchers(&fleet), ==, 0);
	reset_statistics(&fleet);
	run_for(&fleet, 1000);
	g_assert_cmpuint(count_watchers(&fleet), ==, DOMAINS);
	g_assert_cmpuint(fleet.longest_gap_ms, <, 1000);
}

/* Failure: an instance that got no state from its peers waited forever. */
static void test_incomplete_state(void)
{
	watcher_election_t election;
	election_peer_t peer = { .rank = 9 };
	election_self_t self = { 0 };

	watcher_election_init(&election, 1, 1000);
	g_assert_false(watcher_election_step(&election, &peer, 1, &self, 1100));
	g_assert_false(watcher_election_step(&election, &peer, 1, &self, 2000));
	g_assert_true(watcher_election_step(&election, &peer, 1, &self,
					    1000 + ELECTION_STATE_TIMEOUT_MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/watcher-election/start", test_start);
	g_test_add_func("/watcher-election/outage", test_outage);
	g_test_add_func("/watcher-election/yield-ends-with-outage",
			test_yield_ends_with_outage);
	g_test_add_func("/watcher-election/rejected-after-outage",
			test_rejected_after_outage);
	g_test_add_func("/watcher-election/contact-of-other-domain",
			test_contact_of_other_domain);
	g_test_add_func("/watcher-election/peers-back", test_peers_back);
	g_test_add_func("/watcher-election/some-rejected", test_some_rejected);
	g_test_add_func("/watcher-election/no-gap", test_no_gap);
	g_test_add_func("/watcher-election/killed", test_killed);
	g_test_add_func("/watcher-election/incomplete-state",
			test_incomplete_state);
	return g_test_run();
}
