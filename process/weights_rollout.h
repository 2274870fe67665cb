/**
 * @file
 * Weights rollout: decides when the holder of the weights lease updates which
 * engine to its newest target weights. Pure logic: no I/O, clock or locks.
 *
 * Target weights may change every few seconds, also before the previous ones
 * are loaded everywhere, while engines crash, lose answers or execute orders
 * late. An engine first gets no new requests, then an order to load the
 * weights, then it is polled for reports until it has loaded them; an order
 * that has not been executed by then is repeated without a pause. An order
 * contains the target version and the number of orders that the engine has
 * accepted so far, so that a delayed order cannot undo a newer one. An engine
 * to which an order of an earlier holder may be on the way gets none until that
 * is settled (process/rollout_log.h).
 */
#ifndef PROCESS_WEIGHTS_ROLLOUT_H
#define PROCESS_WEIGHTS_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/rollout_log.h"

enum {
	/** Actions returned by one step, which may end the updates of a third
	 * of the engines and begin those of another third: the largest region
	 * of the plan has 1,714. */
	ROLLOUT_ACTIONS_MAX = 1144,
	/** While time allows, at most 1 in this many engines is updated at the
	 * same time; the others serve the traffic. */
	ROLLOUT_SHARE_DIVISOR = 3,
	/** Expected duration of one engine's update, ms: draining, loading
	 * (0.63 s) and polling. */
	ROLLOUT_ENGINE_MS = 2000,
	/** Updates are scheduled to finish this long before the time limit,
	 * ms: at about that time requests start to avoid old weights. */
	ROLLOUT_MARGIN_MS = 2000,
	/** Time for a draining engine to finish its running requests, ms; those
	 * that remain continue under the new weights. Under heavy load, 2,500
	 * left too few engines for the traffic and 800 lost more of the output
	 * of running requests. */
	ROLLOUT_DRAIN_MS = 1200,
	/** Time between announcing that an engine is draining and the order,
	 * ms: heartbeats reach the other instances within it. */
	ROLLOUT_ANNOUNCE_MS = 60,
	/** Interval between polls of a loading engine, ms. */
	ROLLOUT_POLL_MS = 250,
	/** Time from an order to the first poll, ms: a load takes 0.63 s. */
	ROLLOUT_FIRST_POLL_MS = 500,
	/** Validity of the announcement that an engine takes no new requests,
	 * ms; it is renewed until the engine has loaded the weights. */
	ROLLOUT_LOADING_TTL_MS = 900,
	/** Pause after an engine did not answer or rejected an order, ms. */
	ROLLOUT_RETRY_MS = 400,
};

typedef enum rollout_state {
	ROLLOUT_IDLE,	  /**< Has its target weights, or waits its turn. */
	ROLLOUT_POLLING,  /**< Waits for the first report. */
	ROLLOUT_READY,	  /**< Number of accepted orders is known. */
	ROLLOUT_DRAINING, /**< Gets no new requests; an order follows, also
			     after one that was not executed. */
	ROLLOUT_ORDERED,  /**< Waits for the answer to an order. */
	ROLLOUT_LOADING,  /**< The order was accepted, or may have been. */
} rollout_state_t;

/** An engine, as input to a step. */
typedef struct rollout_engine {
	uint64_t key;	  /**< Identifies one incarnation of the engine. */
	uint32_t index;	  /**< Chosen by the caller, copied to actions. */
	uint64_t weights; /**< Assumed version; 0: unknown. */
	uint64_t target_version; /**< Newest for its model; 0: none. */
	uint32_t runs;		 /**< Requests that it is running. */
	uint64_t outdated_ms; /**< Time since newer target weights were set. */
	bool reachable;	      /**< Not ejected and not leaving. */
	rollout_hold_t hold;  /**< See rollout_log_hold(). */
} rollout_engine_t;

typedef struct rollout_entry {
	uint64_t key;
	rollout_state_t state;
	uint64_t since_ms;	  /**< When it entered the state. */
	uint64_t not_before_ms;	  /**< Time of the next action. */
	uint64_t drain_since_ms;  /**< When it last began to drain. */
	uint64_t accepted;	  /**< Orders that the engine accepted. */
	uint64_t counted_ms;	  /**< When that report was requested. */
	uint64_t ordered_version; /**< Version in the last order. */
	uint64_t confirmed;	  /**< Version by report or answer. */
	bool seen;		  /**< Listed in the current step. */
} rollout_entry_t;

typedef struct weights_rollout {
	uint32_t time_limit_ms;	  /**< For loading new target weights. */
	rollout_entry_t *entries; /**< Sorted by key. */
	size_t count;
	size_t capacity;
} weights_rollout_t;

typedef enum rollout_action_kind {
	ROLLOUT_ACTION_POLL,  /**< Request a report, then call
				 weights_rollout_on_report(). */
	ROLLOUT_ACTION_DRAIN, /**< Announce to all instances that the
				 engine takes no new requests. */
	ROLLOUT_ACTION_ORDER, /**< Send an order, then call
				 weights_rollout_on_answer(). */
	ROLLOUT_ACTION_DONE,  /**< Has the version; takes requests again. */
} rollout_action_kind_t;

typedef struct rollout_action {
	rollout_action_kind_t kind;
	uint32_t index; /**< From rollout_engine_t. */
	uint64_t key;
	uint64_t version;
	uint64_t accepted;   /**< In an order: number of accepted orders that is
				expected of the engine. */
	uint64_t counted_ms; /**< In an order: see rollout_log_add(). */
	bool runs_left;	     /**< In an order: running requests continue under
				the new weights. */
} rollout_action_t;

typedef struct rollout_actions {
	size_t count;
	rollout_action_t items[ROLLOUT_ACTIONS_MAX];
} rollout_actions_t;

/** Result of a poll. */
typedef struct rollout_report {
	int result;	   /**< 0, or an error: no answer. */
	bool busy;	   /**< An order is being executed. */
	uint64_t accepted; /**< Orders that the engine accepted. */
	uint64_t weights;  /**< Version. */
} rollout_report_t;

/**
 * Resets all state; called whenever the lease is acquired.
 * @param rollout zeroed, or used before
 * @param time_limit_ms time within which new target weights must be loaded
 */
void weights_rollout_reset(weights_rollout_t *rollout, uint32_t time_limit_ms);

/** Frees what a zeroed or used rollout holds. */
void weights_rollout_free(weights_rollout_t *rollout);

/**
 * Determines the actions that are due now. When memory is short, engines that
 * were not listed before wait for a later step.
 */
void weights_rollout_step(weights_rollout_t *rollout,
			  const rollout_engine_t *engines, size_t count,
			  uint64_t now_ms, rollout_actions_t *actions);

/** Handles a report of an engine, or its absence. */
void weights_rollout_on_report(weights_rollout_t *rollout, uint64_t key,
			       const rollout_report_t *report, uint64_t now_ms);

/**
 * Handles the answer to an order.
 * @param status HTTP status; 0: no answer, the order may still be executed
 */
void weights_rollout_on_answer(weights_rollout_t *rollout, uint64_t key,
			       uint16_t status, uint64_t now_ms);

/** Whether an engine is draining, has an order or is loading weights. */
bool weights_rollout_is_updating(const weights_rollout_t *rollout,
				 uint64_t key);

#endif
