#include "t/lib/lease_sim.h"

#include <glib.h>

#include "process/error.h"

static const char lease_key[] = "lease/pool";

/** An event for an instance, delayed while the instance is paused. */
typedef struct message {
	lease_sim_instance_t *instance;
	uint64_t incarnation;
	lease_event_t event;
	lease_record_t record;
} message_t;

static void perform(lease_sim_instance_t *instance,
		    const lease_actions_t *actions);

static void call_user(lease_sim_instance_t *instance, lease_sim_fn_t *fn)
{
	if (fn)
		fn(instance->run->user.context, instance);
}

static void handle_event(lease_sim_instance_t *instance,
			 const lease_event_t *event)
{
	lease_actions_t actions;

	lease_step(&instance->lease, event, instance->run->sim.now_ms,
		   &actions);
	perform(instance, &actions);
}

bool lease_sim_executes(lease_sim_instance_t *instance, sim_event_fn_t fn,
			void *context, uint64_t argument)
{
	sim_t *sim = &instance->run->sim;

	if (sim->now_ms >= instance->paused_until_ms)
		return true;
	sim_schedule(sim, instance->paused_until_ms - sim->now_ms, fn, context,
		     argument);
	return false;
}

static void deliver(void *context, uint64_t argument)
{
	message_t *message = context;
	lease_sim_instance_t *instance = message->instance;

	if (!lease_sim_executes(instance, deliver, message, argument))
		return;
	if (message->incarnation == instance->incarnation) {
		if (message->event.kind == LEASE_EVENT_READ)
			message->event.read.record = &message->record;
		handle_event(instance, &message->event);
	}
	g_free(message);
}

static void post_event(lease_sim_instance_t *instance, uint64_t incarnation,
		       const lease_event_t *event, const lease_record_t *record,
		       uint64_t delay_ms)
{
	message_t *message = g_new0(message_t, 1);

	message->instance = instance;
	message->incarnation = incarnation;
	message->event = *event;
	if (record)
		message->record = *record;
	sim_schedule(&instance->run->sim, delay_ms, deliver, message, 0);
}

/** `argument`: incarnation, call, and whether it was a read. */
static void store_answered(void *context, uint64_t argument,
			   const sim_answer_t *answer)
{
	lease_event_t event = { .kind = LEASE_EVENT_WRITTEN,
				.call_id = (uint32_t)(argument >> 1),
				.era = answer->era };

	if (argument & 1) {
		event.kind = LEASE_EVENT_READ;
		event.read.result = answer->result;
		event.read.version = answer->version;
	} else {
		event.written.result = answer->result;
		event.written.version = answer->version;
	}
	post_event(context, argument >> 33, &event, answer->value, 0);
}

void lease_sim_store_era(lease_sim_instance_t *instance, uint64_t era)
{
	lease_event_t event = { .kind = LEASE_EVENT_ERA, .era = era };

	handle_event(instance, &event);
}

static void check_no_other_holder(const lease_sim_instance_t *instance)
{
	const lease_sim_t *run = instance->run;

	for (int n = 0; n < LEASE_SIM_INSTANCES; n++) {
		if (n != instance->index)
			g_assert_false(lease_is_valid(&run->instances[n].lease,
						      run->sim.now_ms));
	}
}

/** In a new era a holder of before may be valid for the rest of its lease, and
 * no other may act before all instances had to see it expire. */
static void check_era(const lease_sim_instance_t *instance)
{
	const lease_sim_t *run = instance->run;

	if (!run->user.has_restores)
		return;
	if (instance->lease.era == run->sim.era)
		g_assert_cmpuint(run->sim.now_ms, >=,
				 run->restored_at_ms + LEASE_SIM_DURATION_MS);
	else
		g_assert_cmpuint(run->sim.now_ms, <,
				 run->restored_at_ms + LEASE_SIM_VALID_MS);
}

void lease_sim_check_holder(const lease_sim_instance_t *instance)
{
	check_no_other_holder(instance);
	check_era(instance);
}

static void on_acquired(lease_sim_instance_t *instance, uint64_t fencing)
{
	lease_sim_t *run = instance->run;

	check_era(instance);
	g_assert_cmpuint(fencing, >, run->last_acquired);
	run->last_acquired = fencing;
	run->acquisitions++;
	check_no_other_holder(instance);
	call_user(instance, run->user.acquired);
}

static void perform(lease_sim_instance_t *instance,
		    const lease_actions_t *actions)
{
	sim_t *sim = &instance->run->sim;

	for (size_t i = 0; i < actions->count; i++) {
		const lease_action_t *action = &actions->items[i];
		uint64_t argument = instance->incarnation << 33 |
				    (uint64_t)action->call_id << 1;
		lease_event_t timer = { .kind = LEASE_EVENT_TIMER,
					.call_id = action->call_id };

		switch (action->kind) {
		case LEASE_ACTION_READ:
			sim_read(sim, lease_key, store_answered, instance,
				 argument | 1);
			break;
		case LEASE_ACTION_WRITE:
			sim_write(sim, lease_key, action->write.if_version,
				  &action->write.record,
				  sizeof(action->write.record), store_answered,
				  instance, argument);
			break;
		case LEASE_ACTION_WAIT:
			post_event(instance, instance->incarnation, &timer,
				   NULL,
				   action->wait_until_ms > sim->now_ms
					   ? action->wait_until_ms - sim->now_ms
					   : 0);
			break;
		case LEASE_ACTION_ACQUIRED:
			on_acquired(instance, action->fencing);
			break;
		case LEASE_ACTION_LOST:
		case LEASE_ACTION_STOPPED:
			g_assert_false(
				lease_is_valid(&instance->lease, sim->now_ms));
			if (action->kind == LEASE_ACTION_LOST)
				call_user(instance, instance->run->user.lost);
			break;
		}
	}
}

static void start_instance(void *context, uint64_t argument)
{
	lease_sim_instance_t *instance = context;
	lease_sim_t *run = instance->run;
	lease_actions_t actions;

	(void)argument;
	if (run->ended)
		return;
	instance->incarnation++;
	call_user(instance, run->user.started);
	lease_begin(&instance->lease, instance->id,
		    instance->incarnation << 8 | (uint64_t)instance->index,
		    LEASE_SIM_DURATION_MS, &run->sim.rng, &actions);
	if (run->user.ids_are_unique)
		lease_set_id_unique(&instance->lease);
	perform(instance, &actions);
}

static void pause_instance(void *context, uint64_t duration_ms)
{
	lease_sim_instance_t *instance = context;

	instance->paused_until_ms = instance->run->sim.now_ms + duration_ms;
}

/** The holder releases the lease in a planned stop and starts again later. */
static void release_lease(void *context, uint64_t successor)
{
	lease_sim_t *run = context;
	lease_event_t event = { .kind = LEASE_EVENT_RELEASE };

	for (int n = 0; n < LEASE_SIM_INSTANCES; n++) {
		lease_sim_instance_t *instance = &run->instances[n];

		if (!lease_is_valid(&instance->lease, run->sim.now_ms) ||
		    run->sim.now_ms < instance->paused_until_ms)
			continue;
		if (successor < LEASE_SIM_INSTANCES)
			event.release.successor = run->instances[successor].id;
		handle_event(instance, &event);
		run->releases++;
		sim_schedule(&run->sim, 5000, start_instance, instance, 0);
		return;
	}
}

static void set_store_down(void *context, uint64_t down)
{
	((lease_sim_t *)context)->sim.store_down = down;
}

static void copy_store(void *context, uint64_t argument)
{
	lease_sim_t *run = context;

	(void)argument;
	/* Changes of other objects use up revisions, too. */
	run->sim.next_version += rng_below(&run->sim.rng, 3);
	if (run->copy_count == LEASE_SIM_COPIES_MAX)
		return;
	sim_copy(&run->sim, &run->copies[run->copy_count++]);
	sim_schedule(&run->sim, LEASE_SIM_COPY_INTERVAL_MS, copy_store, run, 0);
}

static void restore_store(void *context, uint64_t argument)
{
	lease_sim_t *run = context;
	sim_t *sim = &run->sim;

	(void)argument;
	if (run->ended)
		return;
	sim_restore(sim, &run->copies[rng_below(&sim->rng, run->copy_count)]);
	sim->store_down = false;
	run->restored_at_ms = sim->now_ms;
	run->restores++;
	/* Some instances learn of the era from their other calls. */
	for (int n = 0; n < LEASE_SIM_INSTANCES; n++) {
		lease_event_t event = { .kind = LEASE_EVENT_ERA,
					.era = sim->era };

		if (sim_chance(sim, 50))
			post_event(&run->instances[n],
				   run->instances[n].incarnation, &event, NULL,
				   rng_below(&sim->rng, LEASE_SIM_DURATION_MS));
	}
}

static void schedule_restores(lease_sim_t *run)
{
	sim_t *sim = &run->sim;

	sim->era = 1;
	run->restored_at_ms = sim->now_ms;
	sim_schedule(sim, 0, copy_store, run, 0);
	for (int i = 0; i < LEASE_SIM_RESTORES; i++) {
		uint64_t at_ms = rng_below(&sim->rng, LEASE_SIM_RUN_MS);

		sim_schedule(sim, at_ms, set_store_down, run, 1);
		sim_schedule(
			sim,
			1 + at_ms + rng_below(&sim->rng, LEASE_SIM_DURATION_MS),
			restore_store, run, 0);
	}
}

static void schedule_faults(lease_sim_t *run)
{
	sim_t *sim = &run->sim;
	rng_t *rng = &sim->rng;

	for (int n = 0; n < LEASE_SIM_INSTANCES; n++) {
		lease_sim_instance_t *instance = &run->instances[n];

		instance->run = run;
		instance->index = n;
		g_snprintf(instance->id, sizeof(instance->id), "n%d", n);
		sim_schedule(sim, rng_below(rng, 100), start_instance, instance,
			     0);
		call_user(instance, run->user.added);
		for (int i = 0; i < 4; i++)
			sim_schedule(sim, rng_below(rng, LEASE_SIM_RUN_MS),
				     pause_instance, instance,
				     rng_below(rng, 3 * LEASE_SIM_DURATION_MS));
		sim_schedule(sim, 200 + rng_below(rng, LEASE_SIM_RUN_MS),
			     start_instance, instance, 0);
	}
	for (int i = 0; i < 2; i++) {
		uint64_t at_ms = rng_below(rng, LEASE_SIM_RUN_MS);

		sim_schedule(sim, 200 + rng_below(rng, LEASE_SIM_RUN_MS),
			     release_lease, run,
			     rng_below(rng, 2 * LEASE_SIM_INSTANCES));
		sim_schedule(sim, at_ms, set_store_down, run, 1);
		sim_schedule(sim,
			     at_ms + rng_below(rng, 2 * LEASE_SIM_DURATION_MS),
			     set_store_down, run, 0);
	}
}

static void check_record(lease_sim_t *run)
{
	const sim_object_t *object = sim_find(&run->sim, lease_key);
	const lease_record_t *record = object ? object->value : NULL;

	/* After a restore, writes of an earlier era may replace newer ones. */
	if (!record || run->restores)
		return;
	g_assert_cmpuint(record->fencing, >=, run->record_fencing);
	run->record_fencing = record->fencing;
}

/** Runs the events that are left, which frees their messages. */
static void discard_remaining_events(lease_sim_t *run)
{
	run->ended = true;
	for (int n = 0; n < LEASE_SIM_INSTANCES; n++)
		run->instances[n].incarnation++;
	while (sim_run_one(&run->sim, UINT64_MAX))
		;
}

void lease_sim_run(lease_sim_t *run, uint64_t seed,
		   const lease_sim_user_t *user)
{
	static const sim_faults_t faults = { .lose_request = 3,
					     .lose_answer = 8,
					     .late_effect = 6,
					     .repeat_answer = 10,
					     .delay_max_ms = 60 };

	sim_init(&run->sim, seed, &faults);
	run->user = *user;
	schedule_faults(run);
	if (user->has_restores)
		schedule_restores(run);
	while (sim_run_one(&run->sim, 1000000 + LEASE_SIM_RUN_MS))
		check_record(run);
	discard_remaining_events(run);
	for (size_t i = 0; i < run->copy_count; i++)
		sim_copy_clear(&run->copies[i]);
	sim_clear(&run->sim);
}
