/**
 * @file
 * Virtual time for tests of decision modules: an event queue and a store with
 * lost, late, repeated and reordered answers. One seed gives one schedule.
 */
#ifndef T_LIB_SIM_H
#define T_LIB_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rng.h"

enum {
	SIM_KEY_MAX_BYTES = 160,
	/** Answer of a call whose answer was lost comes after this. */
	SIM_CALL_TIMEOUT_MS = 400,
};

typedef void (*sim_fn_t)(void *context, uint64_t argument);

typedef struct sim_event {
	uint64_t at_ms;
	uint64_t order;
	sim_fn_t fn;
	void *context;
	uint64_t argument;
} sim_event_t;

typedef struct sim_object {
	char key[SIM_KEY_MAX_BYTES];
	uint64_t version;
	void *value;
	size_t size;
} sim_object_t;

/** How often something goes wrong, in percent. */
typedef struct sim_faults {
	uint32_t lose_request;
	uint32_t lose_answer; /**< After the effect. */
	uint32_t late_effect; /**< Takes effect after its time-out. */
	uint32_t repeat_answer;
	uint32_t delay_max_ms;
} sim_faults_t;

typedef struct sim {
	rng_t rng;
	uint64_t now_ms;
	uint64_t scheduled;
	sim_event_t *heap;
	size_t heap_count;
	size_t heap_max;
	sim_faults_t faults;
	bool store_down;
	uint64_t next_version;
	sim_object_t *objects;
	size_t object_count;
} sim_t;

/** Result of a store call. `value` is only valid during the call. */
typedef struct sim_answer {
	int result;
	uint64_t version;
	const void *value;
	size_t size;
} sim_answer_t;

typedef void (*sim_answer_fn_t)(void *context, uint64_t argument,
				const sim_answer_t *answer);

/** Starts with an empty store at a time above zero. */
void sim_init(sim_t *sim, uint64_t seed, const sim_faults_t *faults);

/** Frees the store. Run all events before: open calls own memory. */
void sim_clear(sim_t *sim);

/** Calls `fn` after a delay. */
void sim_after(sim_t *sim, uint64_t delay_ms, sim_fn_t fn, void *context,
	       uint64_t argument);

/** Runs the next event; false if there is none up to `until_ms`. */
bool sim_run_one(sim_t *sim, uint64_t until_ms);

/** True in `percent` of a hundred cases. */
bool sim_chance(sim_t *sim, uint32_t percent);

/** Object in the store now, or NULL. */
const sim_object_t *sim_find(const sim_t *sim, const char *key);

/** Removes an object if it has this version. */
void sim_delete(sim_t *sim, const char *key, uint64_t version);

/** Calls to the store; the answer comes through `fn`, perhaps twice. */
void sim_read(sim_t *sim, const char *key, sim_answer_fn_t fn, void *context,
	      uint64_t argument);
void sim_write(sim_t *sim, const char *key, uint64_t if_version,
	       const void *value, size_t size, sim_answer_fn_t fn,
	       void *context, uint64_t argument);

/**
 * Seeds to run: `count` from a fixed start, or the one in AMV_TEST_SEED.
 * Prints them.
 */
void sim_seeds(uint64_t count, uint64_t *first, uint64_t *last);

#endif
