/**
 * @file
 * Decision module: the order in which the holder of the weights lease brings
 * engines to the newest named weights.
 *
 * Answers the load of new weights being named every few seconds, also before
 * the ones before are in place, while engines crash, lose answers or carry out
 * orders late. An engine is first given no new work, then ordered, then asked
 * until it has the weights. Orders state the target and the number of orders
 * that the engine accepted before, so that a late one cannot undo a newer one.
 */
#ifndef PROCESS_WEIGHTS_ROLL_H
#define PROCESS_WEIGHTS_ROLL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Engines that are followed; the plan has 12,000 in 7 regions, each
	 * with a holder of its own. */
	ROLL_ENGINES_MAX = 512,
	/** Actions of one step. */
	ROLL_ACTIONS_MAX = 16,
	/** Part of the engines that are on their way at one moment, 1 in so
	 * many, while there is time: the rest carries the traffic. */
	ROLL_PART = 3,
	/** Time that an engine takes from the news to its weights, ms: the
	 * time to finish, the load of 0.63 s and the questions. */
	ROLL_ENGINE_MS = 2000,
	/** All engines are on their way so long before the bound, ms: requests
	 * are kept off old weights about then. */
	ROLL_MARGIN_MS = 2000,
	/** An engine without new work may finish its runs for so long, ms; then
	 * the long ones that are left go on under the new weights. Measured on
	 * the heavy days: at 2,500 too few engines carry the traffic, at 800
	 * more of what runs make is lost. */
	ROLL_FINISH_MS = 1200,
	/** Time between the news that an engine loads and the order, ms: the
	 * news reaches the other instances. */
	ROLL_AVOID_MS = 60,
	/** Time between two questions to an engine that loads, ms. */
	ROLL_ASK_MS = 250,
	/** First question after an order, ms: a load takes 0.63 s. */
	ROLL_FIRST_ASK_MS = 500,
	/** How long an engine is said to take no work, renewed while it
	 * loads, ms. */
	ROLL_LOADING_MS = 900,
	/** Pause after an engine did not answer, ms. */
	ROLL_FAILED_MS = 400,
};

typedef enum roll_state {
	ROLL_IDLE,    /**< Has the weights, or waits its turn. */
	ROLL_ASKING,  /**< A question is open. */
	ROLL_KNOWN,   /**< Its number of orders is known; may be ordered. */
	ROLL_AVOIDED, /**< Gets no new work; the order follows. */
	ROLL_ORDERED, /**< An order is open. */
	ROLL_LOADING, /**< The order was accepted, or may have been. */
} roll_state_t;

/** One engine as the caller sees it. */
typedef struct roll_engine {
	uint64_t key;	     /**< Names one lifetime. */
	uint32_t index;	     /**< Of the caller. */
	uint64_t weights;    /**< Believed version; 0: not known. */
	uint64_t named;	     /**< Newest named version of its model. */
	uint32_t runs;	     /**< In progress there. */
	uint64_t overdue_ms; /**< Since newer weights were named. */
	bool reachable;	     /**< Not ejected and not leaving. */
} roll_engine_t;

typedef struct roll_row {
	uint64_t key;
	roll_state_t state;
	uint64_t since_ms;
	uint64_t next_ms;   /**< Nothing is done before. */
	uint64_t accepted;  /**< Orders that the engine accepted. */
	uint64_t target;    /**< Of the order. */
	uint64_t confirmed; /**< Version that a report showed. */
	bool seen;	    /**< In the step that runs. */
} roll_row_t;

typedef struct weights_roll {
	uint32_t bound_ms; /**< Named weights are in place after. */
	roll_row_t rows[ROLL_ENGINES_MAX];
	size_t count;
} weights_roll_t;

typedef enum roll_action_kind {
	ROLL_ACTION_ASK,   /**< Ask for a report; roll_reported() follows. */
	ROLL_ACTION_AVOID, /**< Tell all instances; no new work. */
	ROLL_ACTION_ORDER, /**< Order; roll_answered() follows. */
	ROLL_ACTION_DONE,  /**< Has the version; takes work again. */
} roll_action_kind_t;

typedef struct roll_action {
	roll_action_kind_t kind;
	uint32_t index; /**< Of the engine in the step's input. */
	uint64_t key;
	uint64_t version;
	uint64_t accepted; /**< Of an order: the expected number. */
	bool runs_left;	   /**< Of an order: runs go on under the weights. */
} roll_action_t;

typedef struct roll_actions {
	size_t count;
	roll_action_t items[ROLL_ACTIONS_MAX];
} roll_actions_t;

/** What a report says. */
typedef struct roll_report {
	int result; /**< 0, or an error: no answer. */
	bool busy;
	uint64_t accepted;
	uint64_t weights;
} roll_report_t;

/**
 * Forgets everything; at each new term of the lease.
 * @param bound_ms time after which named weights are to be in place
 */
void weights_roll_init(weights_roll_t *roll, uint32_t bound_ms);

/** Decides what to do now. */
void weights_roll_step(weights_roll_t *roll, const roll_engine_t *engines,
		       size_t count, uint64_t now_ms, roll_actions_t *actions);

/** An engine reported. */
void weights_roll_reported(weights_roll_t *roll, uint64_t key,
			   const roll_report_t *report, uint64_t now_ms);

/**
 * An engine answered an order.
 * @param status HTTP status; 0: no answer, the order may be carried out
 */
void weights_roll_answered(weights_roll_t *roll, uint64_t key, uint16_t status,
			   uint64_t now_ms);

/** Whether an engine is being brought to other weights. */
bool weights_roll_is_loading(const weights_roll_t *roll, uint64_t key);

#endif
