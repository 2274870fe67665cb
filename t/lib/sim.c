#include "t/lib/sim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/error.h"

typedef struct call {
	sim_t *sim;
	bool is_write;
	char key[SIM_KEY_MAX_BYTES];
	uint64_t if_version;
	void *value;
	size_t size;
	sim_answer_fn_t fn;
	void *context;
	uint64_t argument;
	sim_answer_t answer;
	int references; /**< Scheduled events that refer to it. */
} call_t;

static void *check_allocated(void *memory)
{
	if (!memory)
		abort();
	return memory;
}

void sim_init(sim_t *sim, uint64_t seed, const sim_faults_t *faults)
{
	memset(sim, 0, sizeof(*sim));
	rng_init(&sim->rng, seed);
	sim->now_ms = 1000000;
	sim->faults = *faults;
}

static void release_call(call_t *call)
{
	if (--call->references > 0)
		return;
	free(call->value);
	free((void *)call->answer.value);
	free(call);
}

static void deliver_answer(void *context, uint64_t is_lost)
{
	call_t *call = context;
	sim_answer_t lost = { .result = ERR_STORE_UNKNOWN };

	call->fn(call->context, call->argument,
		 is_lost ? &lost : &call->answer);
	release_call(call);
}

static bool before(const sim_event_t *a, const sim_event_t *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void swap(sim_event_t *a, sim_event_t *b)
{
	sim_event_t copy = *a;

	*a = *b;
	*b = copy;
}

void sim_schedule(sim_t *sim, uint64_t delay_ms, sim_event_fn_t fn,
		  void *context, uint64_t argument)
{
	size_t i = sim->heap_count++;

	if (i == sim->heap_capacity) {
		sim->heap_capacity = i ? 2 * i : 64;
		sim->heap = check_allocated(realloc(
			sim->heap, sim->heap_capacity * sizeof(*sim->heap)));
	}
	sim->heap[i] =
		(sim_event_t){ sim->now_ms + delay_ms, ++sim->scheduled_count,
			       fn, context, argument };
	for (; i && before(&sim->heap[i], &sim->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		swap(&sim->heap[i], &sim->heap[(i - 1) / 2]);
}

static sim_event_t take_first(sim_t *sim)
{
	sim_event_t first = sim->heap[0];
	size_t i = 0;

	sim->heap[0] = sim->heap[--sim->heap_count];
	for (;;) {
		size_t least = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++) {
			if (c < sim->heap_count &&
			    before(&sim->heap[c], &sim->heap[least]))
				least = c;
		}
		if (least == i)
			return first;
		swap(&sim->heap[i], &sim->heap[least]);
		i = least;
	}
}

bool sim_run_one(sim_t *sim, uint64_t end_ms)
{
	sim_event_t event;

	if (!sim->heap_count || sim->heap[0].at_ms > end_ms)
		return false;
	event = take_first(sim);
	sim->now_ms = event.at_ms;
	event.fn(event.context, event.argument);
	return true;
}

bool sim_chance(sim_t *sim, uint32_t percent)
{
	return rng_below(&sim->rng, 100) < percent;
}

static sim_object_t *find(const sim_t *sim, const char *key)
{
	for (size_t i = 0; i < sim->object_count; i++) {
		if (strcmp(sim->objects[i].key, key) == 0)
			return &sim->objects[i];
	}
	return NULL;
}

const sim_object_t *sim_find(const sim_t *sim, const char *key)
{
	return find(sim, key);
}

void sim_delete(sim_t *sim, const char *key, uint64_t version)
{
	sim_object_t *object = find(sim, key);

	if (!object || object->version != version)
		return;
	free(object->value);
	*object = sim->objects[--sim->object_count];
}

static void *copy_of(const void *value, size_t size)
{
	void *copy = check_allocated(malloc(size ? size : 1));

	if (size)
		memcpy(copy, value, size);
	return copy;
}

static void apply_write(sim_t *sim, call_t *call)
{
	sim_object_t *object = find(sim, call->key);

	if ((object ? object->version : 0) != call->if_version) {
		call->answer.result = ERR_STORE_CONDITION;
		return;
	}
	if (!object) {
		size_t bytes = (sim->object_count + 1) * sizeof(*object);

		sim->objects = check_allocated(realloc(sim->objects, bytes));
		object = &sim->objects[sim->object_count++];
		memset(object, 0, sizeof(*object));
		memcpy(object->key, call->key, sizeof(object->key));
	}
	free(object->value);
	object->value = copy_of(call->value, call->size);
	object->size = call->size;
	object->version = ++sim->next_version;
	call->answer.version = object->version;
}

static void apply_read(sim_t *sim, call_t *call)
{
	const sim_object_t *object = find(sim, call->key);

	if (!object) {
		call->answer.result = ERR_NOT_FOUND;
		return;
	}
	call->answer.version = object->version;
	call->answer.size = object->size;
	call->answer.value = copy_of(object->value, object->size);
}

static uint64_t random_delay_ms(sim_t *sim)
{
	return 1 + rng_below(&sim->rng, sim->faults.delay_max_ms + 1);
}

/** The call reaches the store; if `late`, it has already timed out. */
static void reach_store(void *context, uint64_t late)
{
	call_t *call = context;
	sim_t *sim = call->sim;

	call->answer.era = sim->era;
	if (sim->store_down)
		call->answer.result = ERR_STORE_DOWN;
	else if (call->is_write)
		apply_write(sim, call);
	else
		apply_read(sim, call);
	if (late) {
		release_call(call);
		return;
	}
	if (sim_chance(sim, sim->faults.lose_answer)) {
		sim_schedule(sim, SIM_CALL_TIMEOUT_MS, deliver_answer, call, 1);
		return;
	}
	if (sim_chance(sim, sim->faults.repeat_answer)) {
		call->references++;
		sim_schedule(sim, random_delay_ms(sim) * 20, deliver_answer,
			     call, 0);
	}
	sim_schedule(sim, random_delay_ms(sim), deliver_answer, call, 0);
}

static void start_call(sim_t *sim, call_t *call)
{
	call->sim = sim;
	call->references = 1;
	if (sim_chance(sim, sim->faults.lose_request)) {
		sim_schedule(sim, SIM_CALL_TIMEOUT_MS, deliver_answer, call, 1);
	} else if (sim_chance(sim, sim->faults.late_effect)) {
		call->references++;
		sim_schedule(sim, SIM_CALL_TIMEOUT_MS, deliver_answer, call, 1);
		sim_schedule(
			sim,
			SIM_CALL_TIMEOUT_MS +
				rng_below(&sim->rng, 2 * SIM_CALL_TIMEOUT_MS),
			reach_store, call, 1);
	} else {
		sim_schedule(sim, random_delay_ms(sim), reach_store, call, 0);
	}
}

static call_t *new_call(const char *key, sim_answer_fn_t fn, void *context,
			uint64_t argument)
{
	call_t *call = check_allocated(calloc(1, sizeof(*call)));

	snprintf(call->key, sizeof(call->key), "%s", key);
	call->fn = fn;
	call->context = context;
	call->argument = argument;
	return call;
}

void sim_read(sim_t *sim, const char *key, sim_answer_fn_t fn, void *context,
	      uint64_t argument)
{
	start_call(sim, new_call(key, fn, context, argument));
}

void sim_write(sim_t *sim, const char *key, uint64_t if_version,
	       const void *value, size_t size, sim_answer_fn_t fn,
	       void *context, uint64_t argument)
{
	call_t *call = new_call(key, fn, context, argument);

	call->is_write = true;
	call->if_version = if_version;
	call->value = copy_of(value, size);
	call->size = size;
	start_call(sim, call);
}

static void free_objects(sim_object_t *objects, size_t count)
{
	for (size_t i = 0; i < count; i++)
		free(objects[i].value);
	free(objects);
}

static sim_object_t *copy_objects(const sim_object_t *objects, size_t count)
{
	sim_object_t *copies =
		check_allocated(calloc(count + 1, sizeof(*copies)));

	for (size_t i = 0; i < count; i++) {
		copies[i] = objects[i];
		copies[i].value = copy_of(objects[i].value, objects[i].size);
	}
	return copies;
}

void sim_copy(const sim_t *sim, sim_copy_t *copy)
{
	copy->next_version = sim->next_version;
	copy->objects = copy_objects(sim->objects, sim->object_count);
	copy->object_count = sim->object_count;
}

void sim_copy_clear(sim_copy_t *copy)
{
	free_objects(copy->objects, copy->object_count);
	memset(copy, 0, sizeof(*copy));
}

void sim_restore(sim_t *sim, const sim_copy_t *copy)
{
	free_objects(sim->objects, sim->object_count);
	sim->objects = copy_objects(copy->objects, copy->object_count);
	sim->object_count = copy->object_count;
	sim->next_version = copy->next_version;
	sim->era++;
}

void sim_clear(sim_t *sim)
{
	free_objects(sim->objects, sim->object_count);
	free(sim->heap);
}

void sim_seed_range(uint64_t count, uint64_t *first, uint64_t *last)
{
	const char *text = getenv("AMV_TEST_SEED");

	*first = text ? strtoull(text, NULL, 10) : 1;
	*last = text ? *first : count;
	printf("# seeds %" PRIu64 " to %" PRIu64
	       " (AMV_TEST_SEED=n runs one of them)\n",
	       *first, *last);
}
