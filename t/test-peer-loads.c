/* Loads in heartbeats: turns when not all fit, what receivers keep, and the sum
 * over peers. */
#include <glib.h>
#include <string.h>
#include <time.h>

#include "process/hash.h"
#include "process/peer_loads.h"
#include "process/rng.h"

enum {
	ENDPOINTS = 140,
	/** Heartbeats in which 140 endpoints are reported, 40 in each. */
	TURN_HEARTBEATS = 4,
	STEPS = 400,
	MANY_ENDPOINTS = 12000,
	PEER_COUNT = 340,
};

typedef struct sender {
	uint32_t runs[ENDPOINTS]; /**< By endpoint. */
	uint32_t other_bytes;	  /**< Entries besides loads. */
	uint64_t last_key;
	uint32_t sequence;
} sender_t;

static uint64_t key_of(size_t endpoint)
{
	return hash_rendezvous(endpoint + 1, 5);
}

static void make_heartbeat(sender_t *sender, peer_heartbeat_t *heartbeat)
{
	peer_load_t own[ENDPOINTS];
	size_t count = 0;
	size_t room;

	memset(heartbeat, 0, sizeof(*heartbeat));
	heartbeat->incarnation = 1;
	heartbeat->sequence = ++sender->sequence;
	heartbeat->weights_count = sender->other_bytes / PEER_WEIGHTS_BYTES;
	for (size_t i = 0; i < ENDPOINTS; i++) {
		if (sender->runs[i])
			own[count++] = (peer_load_t){ .endpoint = key_of(i),
						      .runs = sender->runs[i] };
	}
	room = MIN(PEER_LOADS_MAX,
		   peer_heartbeat_free_bytes(heartbeat) / PEER_LOAD_BYTES);
	heartbeat->load_count = (uint32_t)peer_loads_select(own, count, room,
							    &sender->last_key);
	memcpy(heartbeat->loads, own, heartbeat->load_count * sizeof(*own));
	while (peer_heartbeat_free_bytes(heartbeat) >= PEER_HINT_BYTES &&
	       heartbeat->hint_count < PEER_HINTS_MAX)
		heartbeat->hint_count++;
}

static uint32_t known_runs(const peer_loads_t *loads, size_t endpoint)
{
	for (size_t i = 0; i < loads->count; i++) {
		if (loads->entries[i].load.endpoint == key_of(endpoint))
			return loads->entries[i].load.runs;
	}
	return 0;
}

typedef struct turn_case {
	uint32_t loaded; /**< Endpoints with load, of 140. */
	uint32_t other_bytes;
	uint32_t lost_every; /**< One of so many heartbeats; 0: none. */
	/** Heartbeats after which a change is known. */
	uint32_t bound;
} turn_case_t;

/* One more turn where heartbeats are lost. */
static const turn_case_t turn_cases[] = {
	{ 20, 0, 0, 1 },
	{ 40, 0, 0, 1 },
	{ 140, 0, 0, TURN_HEARTBEATS },
	{ 140, 900, 0, 12 },
	{ 140, 0, 7, 2 * TURN_HEARTBEATS },
};

/* Failure: an instance with load at 140 endpoints reported always the same 40,
 * so that others took the rest for idle; or a load that ended was kept. */
static void test_turns(const void *data)
{
	const turn_case_t *test = data;
	sender_t sender = { .other_bytes = test->other_bytes };
	uint32_t changed_at[ENDPOINTS] = { 0 };
	peer_loads_t loads = { 0 };
	rng_t rng;

	rng_init(&rng, 20261207);
	for (uint32_t step = 1; step <= STEPS; step++) {
		size_t at = rng_below(&rng, test->loaded);
		peer_heartbeat_t heartbeat;

		/* Changes of one endpoint wait until the last is known. */
		if (step - changed_at[at] > test->bound) {
			sender.runs[at] =
				sender.runs[at] ? 0 : (uint32_t)(1 + step % 7);
			changed_at[at] = step;
		}
		make_heartbeat(&sender, &heartbeat);
		if (test->lost_every && step % test->lost_every == 0)
			continue;
		peer_loads_receive(&loads, &heartbeat);
		for (size_t i = 0; i < ENDPOINTS; i++) {
			if (step - changed_at[i] >= test->bound)
				g_assert_cmpuint(known_runs(&loads, i), ==,
						 sender.runs[i]);
		}
	}
	peer_loads_free(&loads);
}

/* Failure: loads of an older build, which sends the first 40 of its list, were
 * kept after they had ended. */
static void test_older_build(void)
{
	peer_heartbeat_t heartbeat = { .incarnation = 1, .sequence = 1 };
	peer_loads_t loads = { 0 };

	heartbeat.load_count = PEER_LOADS_MAX;
	for (uint32_t i = 0; i < 2 * PEER_LOADS_MAX; i += PEER_LOADS_MAX) {
		for (uint32_t l = 0; l < PEER_LOADS_MAX; l++)
			heartbeat.loads[l] =
				(peer_load_t){ .endpoint = key_of(i + l),
					       .runs = 1 };
		peer_loads_receive(&loads, &heartbeat);
		heartbeat.sequence++;
	}
	g_assert_cmpuint(loads.count, ==, PEER_LOADS_MAX);
	g_assert_cmpuint(known_runs(&loads, 0), ==, 0);
	g_assert_cmpuint(known_runs(&loads, PEER_LOADS_MAX), ==, 1);
	/* So does a new process. */
	heartbeat = (peer_heartbeat_t){ .incarnation = 2, .sequence = 1 };
	peer_loads_receive(&loads, &heartbeat);
	g_assert_cmpuint(loads.count, ==, 0);
	peer_loads_free(&loads);
}

/* Failure: after a heartbeat to one peer, which does not advance the turn, the
 * peer counted the loads of the next one twice. */
static void test_repeated(void)
{
	peer_heartbeat_t heartbeat = { .incarnation = 1 };
	peer_loads_t loads = { 0 };

	heartbeat.load_count = PEER_LOADS_MAX;
	for (uint64_t ended = 0; ended <= 5; ended += 5) {
		heartbeat.sequence++;
		for (uint64_t i = 0; i < PEER_LOADS_MAX; i++)
			heartbeat.loads[i] = (peer_load_t){
				.endpoint = (ended + i + 1) << 32, .runs = 1
			};
		peer_loads_receive(&loads, &heartbeat);
	}
	/* Those that ended are known once the turn comes to them. */
	g_assert_cmpuint(loads.count, ==, PEER_LOADS_MAX + 5);
	peer_loads_free(&loads);
}

/* Failure: endpoints that were listed for their speed took the room of loads,
 * so that an older build missed loads, or some were never listed. */
static void test_idle_endpoints(void)
{
	bool told[ENDPOINTS] = { false };
	peer_loads_t loads = { 0 };
	uint64_t last_key = 0;

	for (uint32_t step = 1; step <= TURN_HEARTBEATS + 1; step++) {
		peer_heartbeat_t heartbeat = { .incarnation = 1,
					       .sequence = step,
					       .has_speeds = true };
		peer_load_t own[ENDPOINTS];
		uint32_t known = 0;

		/* One more load ends in each step. */
		for (size_t i = 0; i < ENDPOINTS; i++)
			own[i] = (peer_load_t){ .endpoint = key_of(i),
						.runs = i % 10 == 0 &&
							i / 10 >= step };
		heartbeat.load_count = (uint32_t)peer_loads_select(
			own, ENDPOINTS, PEER_LOADS_MAX, &last_key);
		memcpy(heartbeat.loads, own, sizeof(heartbeat.loads));
		peer_loads_receive(&loads, &heartbeat);
		for (size_t i = 0; i < ENDPOINTS; i++) {
			known += known_runs(&loads, i);
			for (uint32_t l = 0; l < heartbeat.load_count; l++)
				told[i] |= heartbeat.loads[l].endpoint ==
					   key_of(i);
		}
		g_assert_cmpuint(known, ==, ENDPOINTS / 10 - step);
	}
	for (size_t i = 0; i < ENDPOINTS; i++)
		g_assert_true(told[i]);
	peer_loads_free(&loads);
}

/* Failure: loads were added to other endpoints, or the sum over 340 peers with
 * 12,000 endpoints took longer than its share of the core. */
static void test_sums(void)
{
	static uint64_t keys[MANY_ENDPOINTS];
	static peer_heartbeat_t heartbeat = { .incarnation = 1 };
	load_sums_t sums = { 0 };
	peer_loads_t loads = { 0 };
	clock_t begin;

	for (size_t i = 0; i < MANY_ENDPOINTS; i++)
		keys[i] = key_of(i);
	g_assert_cmpint(load_sums_set_endpoints(&sums, keys, MANY_ENDPOINTS),
			==, 0);
	heartbeat.load_count = PEER_LOADS_MAX;
	for (size_t i = 0; i < PEER_LOADS_MAX; i++)
		heartbeat.loads[i] =
			(peer_load_t){ key_of(i ? 300 * i : MANY_ENDPOINTS), 2,
				       3, 4 };
	peer_loads_receive(&loads, &heartbeat);
	begin = clock();
	load_sums_clear(&sums);
	for (int i = 0; i < PEER_COUNT; i++)
		load_sums_add(&sums, &loads);
	/* Control may use 2.6% of a core, and this is done every 100 ms. */
	g_assert_cmpint((clock() - begin) * 1000000 / CLOCKS_PER_SEC, <, 2600);
	for (size_t i = 0; i < MANY_ENDPOINTS; i++) {
		bool loaded = i && i % 300 == 0 && i / 300 < PEER_LOADS_MAX;

		g_assert_cmpuint(load_sums_find(&sums, keys[i]), ==, i);
		g_assert_cmpuint(sums.sums[i].runs, ==,
				 loaded ? 2 * PEER_COUNT : 0);
		g_assert_cmpuint(sums.sums[i].prefill, ==,
				 loaded ? 4 * PEER_COUNT : 0);
	}
	g_assert_cmpuint(load_sums_find(&sums, key_of(MANY_ENDPOINTS)), ==,
			 PEER_LOADS_NONE);
	peer_loads_free(&loads);
	load_sums_free(&sums);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(turn_cases); i++) {
		char *path = g_strdup_printf("/peer-loads/turns/%zu", i);

		g_test_add_data_func(path, &turn_cases[i], test_turns);
		g_free(path);
	}
	g_test_add_func("/peer-loads/older-build", test_older_build);
	g_test_add_func("/peer-loads/repeated", test_repeated);
	g_test_add_func("/peer-loads/idle-endpoints", test_idle_endpoints);
	g_test_add_func("/peer-loads/sums", test_sums);
	return g_test_run();
}
