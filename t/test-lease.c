/* Leases: cases, and seeded schedules with pauses and lost answers. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/lease.h"
#include "t/lib/sim.h"

enum {
	NODES = 4,
	DURATION_MS = 3000,
	RUN_MS = 60000,
	ACT_MS = 50,
	SCHEDULES = 2000,
};

#define WRITTEN LEASE_EVENT_WRITTEN
#define READ LEASE_EVENT_READ
#define TIMER LEASE_EVENT_TIMER
#define RELEASE LEASE_EVENT_RELEASE

static const char lease_key[] = "lease/pool";

/* ---- Cases ---- */

/** Record that a read returns. */
typedef enum found {
	NOTHING,
	OTHERS,	     /**< Held by another under number 4. */
	RELEASED,    /**< By another under number 4. */
	HANDED_OVER, /**< Released for a third. */
	OUR_EARLIER, /**< Our renewal before the one written last. */
	OUR_WRITE,   /**< Exactly what was written last. */
} found_t;

typedef struct step {
	lease_event_kind_t kind;
	int result;
	found_t found;
	uint64_t version;
	uint64_t at_ms;
	const char *actions; /**< R W T(wait) A(cquired) L(ost) S(topped) */
	uint64_t fencing;    /**< Valid number afterwards; 0: none. */
} step_t;

static const struct {
	const char *name;
	step_t steps[9];
} cases[] = {
	{ "first holder renews, then lapses while paused",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 100, "AT", 1 },
	    { TIMER, 0, NOTHING, 0, 1000, "W", 1 },
	    { WRITTEN, 0, NOTHING, 2, 1100, "T", 1 },
	    { TIMER, 0, NOTHING, 0, 3000, "LR", 0 },
	    { READ, 0, OUR_WRITE, 2, 3100, "W", 0 },
	    { WRITTEN, 0, NOTHING, 3, 3200, "AT", 2 } } },
	{ "takeover only after a whole duration without a change",
	  { { READ, 0, OTHERS, 5, 100, "T", 0 },
	    { TIMER, 0, NOTHING, 0, 3000, "R", 0 },
	    { READ, 0, OTHERS, 6, 3099, "T", 0 },
	    { TIMER, 0, NOTHING, 0, 6099, "R", 0 },
	    { READ, 0, OTHERS, 6, 6099, "W", 0 },
	    { WRITTEN, 0, NOTHING, 7, 6100, "AT", 5 } } },
	{ "a released lease is taken at once",
	  { { READ, 0, RELEASED, 5, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 7, 10, "AT", 5 } } },
	{ "a lease handed to another is not",
	  { { READ, 0, HANDED_OVER, 5, 0, "T", 0 } } },
	{ "lost answer, write found: held from before the write",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 400, "R", 0 },
	    { READ, 0, OUR_WRITE, 1, 500, "AT", 1 },
	    { TIMER, 0, NOTHING, 0, 2000, "LR", 0 } } },
	{ "lost answer, another was faster",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 400, "R", 0 },
	    { READ, 0, OTHERS, 1, 500, "T", 0 } } },
	{ "an earlier renewal that arrived late extends nothing",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 100, "AT", 1 },
	    { TIMER, 0, NOTHING, 0, 1000, "W", 1 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 1400, "R", 1 },
	    { READ, 0, OUR_EARLIER, 1, 1500, "W", 1 },
	    { WRITTEN, ERR_STORE_CONDITION, NOTHING, 0, 1900, "R", 1 },
	    { READ, 0, OUR_EARLIER, 2, 1950, "W", 1 },
	    { WRITTEN, ERR_STORE_UNKNOWN, NOTHING, 0, 2000, "LR", 0 } } },
	{ "answer that comes after the term holds nothing",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 2000, "W", 0 },
	    { WRITTEN, 0, NOTHING, 2, 2100, "AT", 2 } } },
	{ "release ends the validity before it is written",
	  { { READ, ERR_NOT_FOUND, NOTHING, 0, 0, "W", 0 },
	    { WRITTEN, 0, NOTHING, 1, 100, "AT", 1 },
	    { RELEASE, 0, NOTHING, 0, 200, "LW", 0 },
	    { WRITTEN, 0, NOTHING, 2, 300, "S", 0 } } },
};

static lease_record_t record_of(found_t found, const lease_t *lease,
				const lease_record_t *earlier)
{
	lease_record_t record = { .holder = "other",
				  .nonce = 99,
				  .fencing = 4,
				  .duration_ms = DURATION_MS };

	if (found == OUR_WRITE)
		return lease->written;
	if (found == OUR_EARLIER)
		return *earlier;
	if (found != OTHERS)
		record.holder[0] = '\0';
	if (found == HANDED_OVER)
		g_strlcpy(record.successor, "third", LEASE_ID_MAX_BYTES);
	return record;
}

/* A wrong turn here gives two holders, or a number that does not rise. */
static void test_cases(void)
{
	static const char letters[] = "RWTALS";

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		lease_actions_t actions;
		lease_t lease;
		lease_record_t earlier = { 0 };
		rng_t rng;

		rng_init(&rng, 1);
		lease_begin(&lease, "self", 7, DURATION_MS, &rng, &actions);
		for (const step_t *s = cases[c].steps; s->actions; s++) {
			lease_record_t record =
				record_of(s->found, &lease, &earlier);
			lease_record_t before = lease.written;
			lease_event_t event = { .kind = s->kind,
						.call = lease.call };
			char got[LEASE_ACTIONS_MAX + 1] = "";

			if (s->kind == LEASE_EVENT_READ) {
				event.read.result = s->result;
				event.read.version = s->version;
				event.read.record = &record;
			} else if (s->kind == LEASE_EVENT_WRITTEN) {
				event.written.result = s->result;
				event.written.version = s->version;
			}
			lease_step(&lease, &event, s->at_ms, &actions);
			for (size_t i = 0; i < actions.count; i++)
				got[i] = letters[actions.items[i].kind];
			if (strchr(got, 'W'))
				earlier = before;
			g_test_message("%s at %d: %s", cases[c].name,
				       (int)s->at_ms, got);
			g_assert_cmpstr(got, ==, s->actions);
			g_assert_cmpuint(lease_fencing(&lease, s->at_ms), ==,
					 s->fencing);
		}
	}
}

/* ---- Schedules ---- */

typedef struct world world_t;

typedef struct node {
	world_t *world;
	int index;
	char id[8];
	uint64_t epoch;
	uint64_t paused_until_ms;
	lease_t lease;
} node_t;

/** An endpoint that checks fencing numbers. */
typedef struct endpoint {
	uint64_t fencing;
	int holder;
	uint64_t accepted;
} endpoint_t;

struct world {
	sim_t sim;
	node_t nodes[NODES];
	endpoint_t endpoint;
	uint64_t last_acquired;
	uint64_t acquisitions;
	uint64_t seen_fencing;
	uint64_t acts;
	uint64_t handed_over;
	bool ended;
};

typedef struct message {
	node_t *node;
	uint64_t epoch;
	lease_event_t event;
	lease_record_t record;
} message_t;

static void perform(node_t *node, const lease_actions_t *actions);

static void deliver(void *context, uint64_t argument)
{
	message_t *message = context;
	node_t *node = message->node;
	sim_t *sim = &node->world->sim;
	lease_actions_t actions;

	(void)argument;
	if (sim->now_ms < node->paused_until_ms) {
		sim_after(sim, node->paused_until_ms - sim->now_ms, deliver,
			  message, 0);
		return;
	}
	if (message->epoch == node->epoch) {
		if (message->event.kind == LEASE_EVENT_READ)
			message->event.read.record = &message->record;
		lease_step(&node->lease, &message->event, sim->now_ms,
			   &actions);
		perform(node, &actions);
	}
	g_free(message);
}

static void post(node_t *node, uint64_t epoch, const lease_event_t *event,
		 const lease_record_t *record, uint64_t delay_ms)
{
	message_t *message = g_new0(message_t, 1);

	message->node = node;
	message->epoch = epoch;
	message->event = *event;
	if (record)
		message->record = *record;
	sim_after(&node->world->sim, delay_ms, deliver, message, 0);
}

/** `argument`: epoch, call, and whether it was a read. */
static void store_answered(void *context, uint64_t argument,
			   const sim_answer_t *answer)
{
	lease_event_t event = { .kind = LEASE_EVENT_WRITTEN,
				.call = (uint32_t)(argument >> 1) };

	if (argument & 1) {
		event.kind = LEASE_EVENT_READ;
		event.read.result = answer->result;
		event.read.version = answer->version;
	} else {
		event.written.result = answer->result;
		event.written.version = answer->version;
	}
	post(context, argument >> 33, &event, answer->value, 0);
}

static void acquired(node_t *node, uint64_t fencing)
{
	world_t *world = node->world;

	g_assert_cmpuint(fencing, >, world->last_acquired);
	world->last_acquired = fencing;
	world->acquisitions++;
	for (int n = 0; n < NODES; n++) {
		if (n != node->index)
			g_assert_false(lease_is_valid(&world->nodes[n].lease,
						      world->sim.now_ms));
	}
}

static void perform(node_t *node, const lease_actions_t *actions)
{
	sim_t *sim = &node->world->sim;

	for (size_t i = 0; i < actions->count; i++) {
		const lease_action_t *a = &actions->items[i];
		uint64_t argument = node->epoch << 33 | (uint64_t)a->call << 1;
		lease_event_t timer = { .kind = LEASE_EVENT_TIMER,
					.call = a->call };

		switch (a->kind) {
		case LEASE_ACTION_READ:
			sim_read(sim, lease_key, store_answered, node,
				 argument | 1);
			break;
		case LEASE_ACTION_WRITE:
			sim_write(sim, lease_key, a->write.if_version,
				  &a->write.record, sizeof(a->write.record),
				  store_answered, node, argument);
			break;
		case LEASE_ACTION_WAIT:
			post(node, node->epoch, &timer, NULL,
			     a->until_ms > sim->now_ms
				     ? a->until_ms - sim->now_ms
				     : 0);
			break;
		case LEASE_ACTION_ACQUIRED:
			acquired(node, a->fencing);
			break;
		case LEASE_ACTION_LOST:
		case LEASE_ACTION_STOPPED:
			g_assert_false(
				lease_is_valid(&node->lease, sim->now_ms));
			break;
		}
	}
}

/** An order under a lease reaches the endpoint, perhaps late. */
static void order_arrives(void *context, uint64_t argument)
{
	world_t *world = context;
	endpoint_t *endpoint = &world->endpoint;
	uint64_t fencing = argument >> 8;
	int holder = (int)(argument & 0xff);

	if (fencing < endpoint->fencing)
		return;
	if (fencing == endpoint->fencing)
		g_assert_cmpint(endpoint->holder, ==, holder);
	endpoint->fencing = fencing;
	endpoint->holder = holder;
	endpoint->accepted++;
}

static void act(void *context, uint64_t left)
{
	node_t *node = context;
	world_t *world = node->world;
	sim_t *sim = &world->sim;
	uint64_t fencing = lease_fencing(&node->lease, sim->now_ms);

	if (sim->now_ms >= node->paused_until_ms && fencing) {
		/* No two instances may believe they hold the lease. */
		for (int n = 0; n < NODES; n++) {
			if (n != node->index)
				g_assert_false(lease_is_valid(
					&world->nodes[n].lease, sim->now_ms));
		}
		world->acts++;
		sim_after(sim, rng_below(&sim->rng, 2 * DURATION_MS),
			  order_arrives, world,
			  fencing << 8 | (uint64_t)node->index);
	}
	if (left)
		sim_after(sim, ACT_MS, act, node, left - 1);
}

static void start_node(void *context, uint64_t argument)
{
	node_t *node = context;
	lease_actions_t actions;

	(void)argument;
	if (node->world->ended)
		return;
	node->epoch++;
	lease_begin(&node->lease, node->id,
		    node->epoch << 8 | (uint64_t)node->index, DURATION_MS,
		    &node->world->sim.rng, &actions);
	perform(node, &actions);
}

static void pause_node(void *context, uint64_t duration_ms)
{
	node_t *node = context;

	node->paused_until_ms = node->world->sim.now_ms + duration_ms;
}

/** The holder stops as planned, and starts again later. */
static void hand_over(void *context, uint64_t successor)
{
	world_t *world = context;
	lease_event_t event = { .kind = LEASE_EVENT_RELEASE };
	lease_actions_t actions;

	for (int n = 0; n < NODES; n++) {
		node_t *node = &world->nodes[n];

		if (!lease_is_valid(&node->lease, world->sim.now_ms) ||
		    world->sim.now_ms < node->paused_until_ms)
			continue;
		if (successor < NODES)
			event.release.successor = world->nodes[successor].id;
		lease_step(&node->lease, &event, world->sim.now_ms, &actions);
		perform(node, &actions);
		world->handed_over++;
		sim_after(&world->sim, 5000, start_node, node, 0);
		return;
	}
}

static void switch_store(void *context, uint64_t down)
{
	((world_t *)context)->sim.store_down = down;
}

static void plan(world_t *world)
{
	sim_t *sim = &world->sim;
	rng_t *rng = &sim->rng;

	for (int n = 0; n < NODES; n++) {
		node_t *node = &world->nodes[n];

		node->world = world;
		node->index = n;
		g_snprintf(node->id, sizeof(node->id), "n%d", n);
		sim_after(sim, rng_below(rng, 100), start_node, node, 0);
		sim_after(sim, 200, act, node, RUN_MS / ACT_MS);
		for (int i = 0; i < 4; i++)
			sim_after(sim, rng_below(rng, RUN_MS), pause_node, node,
				  rng_below(rng, 3 * DURATION_MS));
		sim_after(sim, 200 + rng_below(rng, RUN_MS), start_node, node,
			  0);
	}
	for (int i = 0; i < 2; i++) {
		uint64_t at_ms = rng_below(rng, RUN_MS);

		sim_after(sim, 200 + rng_below(rng, RUN_MS), hand_over, world,
			  rng_below(rng, 2 * NODES));
		sim_after(sim, at_ms, switch_store, world, 1);
		sim_after(sim, at_ms + rng_below(rng, 2 * DURATION_MS),
			  switch_store, world, 0);
	}
}

static void check_record(world_t *world)
{
	const sim_object_t *object = sim_find(&world->sim, lease_key);
	const lease_record_t *record = object ? object->value : NULL;

	if (!record)
		return;
	g_assert_cmpuint(record->fencing, >=, world->seen_fencing);
	world->seen_fencing = record->fencing;
}

/** Lets a schedule end: messages that are left own memory. */
static void drain(world_t *world)
{
	world->ended = true;
	for (int n = 0; n < NODES; n++)
		world->nodes[n].epoch++;
	while (sim_run_one(&world->sim, UINT64_MAX))
		;
}

static void run_schedule(uint64_t seed, world_t *sum)
{
	static const sim_faults_t faults = { .lose_request = 3,
					     .lose_answer = 8,
					     .late_effect = 6,
					     .repeat_answer = 10,
					     .delay_max_ms = 60 };
	world_t *world = g_new0(world_t, 1);

	sim_init(&world->sim, seed, &faults);
	plan(world);
	while (sim_run_one(&world->sim, 1000000 + RUN_MS))
		check_record(world);
	drain(world);
	sum->acquisitions += world->acquisitions;
	sum->acts += world->acts;
	sum->endpoint.accepted += world->endpoint.accepted;
	sum->handed_over += world->handed_over;
	sim_clear(&world->sim);
	g_free(world);
}

/* Two holders at one time, or a fencing number given to two of them. */
static void test_schedules(void)
{
	world_t *sum = g_new0(world_t, 1);
	uint64_t first;
	uint64_t last;

	sim_seeds(SCHEDULES, &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_schedule(seed, sum);
	}
	g_print("# acquisitions %" G_GUINT64_FORMAT ", actions "
		"%" G_GUINT64_FORMAT ", accepted %" G_GUINT64_FORMAT
		", releases %" G_GUINT64_FORMAT "\n",
		sum->acquisitions, sum->acts, sum->endpoint.accepted,
		sum->handed_over);
	/* A lease that nobody gets or that never moves proves nothing. */
	g_assert_cmpuint(sum->acquisitions, >, 3 * (last - first + 1));
	g_assert_cmpuint(sum->acts * ACT_MS, >,
			 (last - first + 1) * RUN_MS / 2);
	g_free(sum);
}

/* Failure: after a restart of all instances the next holder waited for the end
 * of a lease whose holder was itself, in an earlier life. */
static void test_bound_name(void)
{
	lease_record_t record = { .holder = "self",
				  .nonce = 99,
				  .fencing = 4,
				  .duration_ms = DURATION_MS };

	for (int bound = 0; bound < 2; bound++) {
		lease_actions_t actions;
		lease_event_t event = { .kind = LEASE_EVENT_READ };
		lease_t lease;
		rng_t rng;

		rng_init(&rng, 1);
		lease_begin(&lease, "self", 7, DURATION_MS, &rng, &actions);
		if (bound)
			lease_bind_name(&lease);
		event.call = actions.items[0].call;
		event.read.version = 3;
		event.read.record = &record;
		lease_step(&lease, &event, 1000, &actions);
		g_assert_cmpuint(actions.count, ==, 1);
		g_assert_cmpint(actions.items[0].kind, ==,
				bound ? LEASE_ACTION_WRITE : LEASE_ACTION_WAIT);
		if (bound)
			g_assert_cmpuint(actions.items[0].write.record.fencing,
					 ==, 5);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/cases", test_cases);
	g_test_add_func("/lease/schedules", test_schedules);
	g_test_add_func("/lease/bound-name", test_bound_name);
	return g_test_run();
}
