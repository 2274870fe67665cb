/**
 * @file
 * Discrete-event simulation for tests: virtual time, an event queue and an
 * object store with lost, late, repeated and reordered answers. The same seed
 * always gives the same sequence of events.
 */
#ifndef T_LIB_SIM_H
#define T_LIB_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"

enum {
	SIM_KEY_MAX_BYTES = 160,
	/** Time after which a lost call ends with ERR_STORE_UNKNOWN. */
	SIM_CALL_TIMEOUT_MS = 400,
};

typedef void (*sim_event_fn_t)(void *context, uint64_t argument);

typedef struct sim_event {
	uint64_t at_ms;
	uint64_t order; /**< Events of the same time run in this order. */
	sim_event_fn_t fn;
	void *context;
	uint64_t argument;
} sim_event_t;

typedef struct sim_object {
	char key[SIM_KEY_MAX_BYTES];
	uint64_t version;
	void *value;
	size_t size;
} sim_object_t;

/** Faults of the store: probabilities in percent, and the delay of a call. */
typedef struct sim_faults {
	uint32_t lose_request;
	uint32_t lose_answer; /**< The call took effect. */
	uint32_t late_effect; /**< The call takes effect after its timeout. */
	uint32_t repeat_answer;
	uint32_t delay_max_ms; /**< Maximum one-way delay. */
} sim_faults_t;

typedef struct sim {
	rng_t rng;
	uint64_t now_ms;
	uint64_t scheduled_count;
	sim_event_t *heap;
	size_t heap_count;
	size_t heap_capacity;
	sim_faults_t faults;
	bool store_down;
	/** Rises with each restore of the store; 0: answers state none. */
	uint64_t era;
	uint64_t next_version;
	sim_object_t *objects;
	size_t object_count;
} sim_t;

/** Result of a store call. `value` is only valid during the call. */
typedef struct sim_answer {
	int result;
	uint64_t era; /**< Of the store; 0 if there was no answer. */
	uint64_t version;
	const void *value;
	size_t size;
} sim_answer_t;

typedef void (*sim_answer_fn_t)(void *context, uint64_t argument,
				const sim_answer_t *answer);

/** Starts with an empty store, at a virtual time above zero. */
void sim_init(sim_t *sim, uint64_t seed, const sim_faults_t *faults);

/**
 * Frees the store and the event queue. Run all events first: pending calls own
 * memory that is not freed here.
 */
void sim_clear(sim_t *sim);

/** Schedules a call of `fn` after a delay. */
void sim_schedule(sim_t *sim, uint64_t delay_ms, sim_event_fn_t fn,
		  void *context, uint64_t argument);

/** Runs the next event; false if there is none up to `end_ms`. */
bool sim_run_one(sim_t *sim, uint64_t end_ms);

/** Random choice that is true with a probability of `percent`. */
bool sim_chance(sim_t *sim, uint32_t percent);

/** Object that is in the store, or NULL. */
const sim_object_t *sim_find(const sim_t *sim, const char *key);

/** Removes an object if it has this version. */
void sim_delete(sim_t *sim, const char *key, uint64_t version);

/** Reads an object; `fn` receives the answer, and may receive it twice. */
void sim_read(sim_t *sim, const char *key, sim_answer_fn_t fn, void *context,
	      uint64_t argument);

/**
 * Writes an object if its version is `if_version` (0: it does not exist); `fn`
 * receives the answer, and may receive it twice.
 */
void sim_write(sim_t *sim, const char *key, uint64_t if_version,
	       const void *value, size_t size, sim_answer_fn_t fn,
	       void *context, uint64_t argument);

/** The objects of the store at one moment. */
typedef struct sim_copy {
	uint64_t next_version;
	sim_object_t *objects;
	size_t object_count;
} sim_copy_t;

/** Copies the store; sim_copy_clear() it. */
void sim_copy(const sim_t *sim, sim_copy_t *copy);
void sim_copy_clear(sim_copy_t *copy);

/** Restores the store from a copy: later changes are lost, their versions are
 * given out again, and a new era begins. */
void sim_restore(sim_t *sim, const sim_copy_t *copy);

/**
 * Range of the seeds to run: 1 to `count`, or the one seed in AMV_TEST_SEED.
 * Prints the range.
 */
void sim_seed_range(uint64_t count, uint64_t *first, uint64_t *last);

#endif
