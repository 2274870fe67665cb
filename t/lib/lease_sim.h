/**
 * @file
 * Schedules of the simulation in which instances compete for one lease: they
 * pause, restart and release it, answers of the store are lost or late, and the
 * store fails or is restored from older copies. Asserts that no two instances
 * hold the lease at a time and that fencing numbers rise.
 */
#ifndef T_LIB_LEASE_SIM_H
#define T_LIB_LEASE_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/lease.h"
#include "t/lib/sim.h"

enum {
	LEASE_SIM_INSTANCES = 4,
	LEASE_SIM_DURATION_MS = 3000,
	LEASE_SIM_RUN_MS = 60000,
	LEASE_SIM_COPY_INTERVAL_MS = 1000,
	LEASE_SIM_COPIES_MAX = LEASE_SIM_RUN_MS / LEASE_SIM_COPY_INTERVAL_MS,
	LEASE_SIM_RESTORES = 4,
	/** Time of a holder's last write to the end of its validity. */
	LEASE_SIM_VALID_MS = LEASE_SIM_DURATION_MS * 2 / 3,
};

typedef struct lease_sim lease_sim_t;

typedef struct lease_sim_instance {
	lease_sim_t *run;
	int index;
	char id[8];
	uint64_t incarnation;
	uint64_t paused_until_ms;
	lease_t lease;
} lease_sim_instance_t;

typedef void lease_sim_fn_t(void *context, lease_sim_instance_t *instance);

/** What a test does with the lease; each may be NULL. */
typedef struct lease_sim_user {
	void *context;
	lease_sim_fn_t *added;	 /**< Before the first event. */
	lease_sim_fn_t *started; /**< The process starts, also again. */
	lease_sim_fn_t *acquired;
	lease_sim_fn_t *lost;
	/** Only one process at a time runs under an instance's id. */
	bool ids_are_unique;
	bool has_restores;
} lease_sim_user_t;

/** State of one simulated schedule. */
struct lease_sim {
	sim_t sim;
	lease_sim_user_t user;
	lease_sim_instance_t instances[LEASE_SIM_INSTANCES];
	uint64_t last_acquired; /**< Fencing number. */
	uint64_t acquisitions;
	uint64_t record_fencing; /**< In the store's record, last seen. */
	uint64_t releases;
	sim_copy_t copies[LEASE_SIM_COPIES_MAX];
	size_t copy_count;
	uint64_t restored_at_ms; /**< Start of the current era. */
	uint64_t restores;
	bool ended;
};

/** Runs the schedule of a seed. @param run zeroed */
void lease_sim_run(lease_sim_t *run, uint64_t seed,
		   const lease_sim_user_t *user);

/** Whether an instance executes now; else schedules `fn` for its resumption. */
bool lease_sim_executes(lease_sim_instance_t *instance, sim_event_fn_t fn,
			void *context, uint64_t argument);

/** An instance has learned the era of the store from a call of its own. */
void lease_sim_store_era(lease_sim_instance_t *instance, uint64_t era);

/** Asserts what holds when an instance acts under its lease. */
void lease_sim_check_holder(const lease_sim_instance_t *instance);

#endif
