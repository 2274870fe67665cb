/**
 * @file
 * Decides on engine orders for one pool: load a model, load an adapter, set a
 * role. Runs in the instance that holds the pool's lease: controller_step()
 * takes events and returns the actions to perform. Pure logic: no I/O, clock or
 * locks.
 *
 * Two objects in the store (the object API) hold the state that the next lease
 * holder needs:
 * - `status/pool/<pool>`: the pool's open engine orders and the fencing number
 *   of the holder that wrote it. An order is written here before it is issued.
 * - `slots/<weight store>`: the running loads of all pools that share the
 *   weight store, at most CONTROLLER_LOADS_MAX. A load takes its slot here
 *   before its order is written to the status.
 * Both are written only if their version did not change since they were read.
 * An order with an unknown outcome keeps its slot until the engine reports it
 * as completed or the maximum duration of an order has passed.
 */
#ifndef PROCESS_CONTROLLER_H
#define PROCESS_CONTROLLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Longest identifier with its NUL, bytes. */
	CONTROLLER_ID_MAX_BYTES = 64,
	/** Maximum number of engines in one pool. */
	CONTROLLER_ENGINES_MAX = 1024,
	/** Concurrent loads per weight store. */
	CONTROLLER_LOADS_MAX = 2,
	/** Open engine orders per pool, loads and role changes. */
	CONTROLLER_OPEN_ORDERS_MAX = 4,
	/** Actions returned by one controller_step(). */
	CONTROLLER_ACTIONS_MAX = 4,
	/** Upper bound of sizeof(controller_t), checked at compile time. */
	CONTROLLER_SIZE_BYTES = 768 * 1024,
};

/**
 * What an engine has loaded or is to load, and its role. An empty model means
 * that nothing is loaded.
 */
typedef struct controller_engine_config {
	char model[CONTROLLER_ID_MAX_BYTES];
	char version[CONTROLLER_ID_MAX_BYTES];
	char adapter[CONTROLLER_ID_MAX_BYTES];
	char role[CONTROLLER_ID_MAX_BYTES];
} controller_engine_config_t;

typedef enum controller_order_kind {
	CONTROLLER_LOAD_MODEL,
	CONTROLLER_LOAD_ADAPTER,
	CONTROLLER_SET_ROLE,
} controller_order_kind_t;

/** One engine order, as stored in the status object. */
typedef struct controller_order {
	uint64_t id; /**< Unique in the pool: fencing number and counter. */
	controller_order_kind_t kind;
	char engine[CONTROLLER_ID_MAX_BYTES];
	controller_engine_config_t target;
} controller_order_t;

/** Value of `status/pool/<pool>`. */
typedef struct controller_status {
	uint64_t fencing; /**< Fencing number of the holder that wrote it. */
	uint64_t next_id; /**< Counter of the last order id assigned. */
	size_t open_count;
	controller_order_t open[CONTROLLER_OPEN_ORDERS_MAX];
} controller_status_t;

/** Slot of one running load. */
typedef struct controller_slot {
	char pool[CONTROLLER_ID_MAX_BYTES];
	uint64_t order_id;
} controller_slot_t;

/** Value of `slots/<weight store>`. */
typedef struct controller_slots {
	size_t count;
	controller_slot_t items[CONTROLLER_LOADS_MAX];
} controller_slots_t;

/** Answer of an engine to `GET /engine/state`. */
typedef struct controller_engine_state {
	uint64_t incarnation;
	uint64_t last_order_id; /**< Last order it completed; 0 for none. */
	controller_engine_config_t loaded;
} controller_engine_state_t;

typedef struct controller_settings {
	/** Maximum time from issuing an order to its end at the engine. */
	uint32_t order_max_ms;
	/**
	 * Maximum age of a report. An engine with an older one does not count
	 * as in service and gets no order.
	 */
	uint32_t report_max_age_ms;
	/** Delay of an engine's next order after a refused or failed one. */
	uint32_t engine_retry_ms;
	/** Delay before the next store call after a failed one. */
	uint32_t store_retry_ms;
	/** Delay before the slots are read again after all were taken. */
	uint32_t slot_retry_ms;
} controller_settings_t;

extern const controller_settings_t controller_default_settings;

/** One engine as the controller knows it. */
typedef struct controller_engine {
	char id[CONTROLLER_ID_MAX_BYTES];
	bool checks_fencing;
	bool removed;  /**< Not in the new list; see controller_configure(). */
	bool reported; /**< `polled_ms` and `state` are set. */
	uint64_t polled_ms;	/**< When the report was requested. */
	uint64_t not_before_ms; /**< Earliest time of the next order. */
	/** Reports requested up to this time are ignored. */
	uint64_t report_min_ms;
	controller_engine_state_t state;
} controller_engine_t;

/** Progress of an open order; not stored. */
typedef struct controller_order_progress {
	bool issued;
	bool resolved;	     /**< It neither runs nor will run. */
	uint64_t expires_ms; /**< When it is resolved even without a result. */
	uint64_t issue_deadline_ms; /**< Not issued from this time on. */
} controller_order_progress_t;

/** Kind of the store call in progress. */
typedef enum controller_call {
	CONTROLLER_CALL_NONE,
	CONTROLLER_CALL_READ_STATUS,
	CONTROLLER_CALL_WRITE_STATUS,
	CONTROLLER_CALL_READ_SLOTS,
	CONTROLLER_CALL_WRITE_SLOTS,
} controller_call_t;

/** State of one pool's controller; owned by the caller of the module. */
typedef struct controller {
	const controller_settings_t *settings;
	char pool[CONTROLLER_ID_MAX_BYTES];
	controller_engine_config_t desired;
	uint32_t ready_min;

	uint64_t fencing;	 /**< 0: not the lease holder. */
	uint64_t valid_until_ms; /**< End of the lease's validity. */
	uint64_t acquired_ms;	 /**< When the lease was acquired. */

	uint32_t call_id;	     /**< Id of the last store call. */
	controller_call_t call_kind; /**< The one call in progress. */
	uint64_t call_issued_ms;
	uint64_t store_not_before_ms; /**< Earliest next call. */

	bool status_known; /**< `status` was read under this lease. */
	bool status_dirty; /**< `status` has to be written. */
	uint64_t status_version;
	controller_status_t status;
	/** Progress of `status.open`, by the same index. */
	controller_order_progress_t progress[CONTROLLER_OPEN_ORDERS_MAX];

	bool slots_known;
	uint64_t slots_version;
	controller_slots_t slots;
	controller_slots_t slots_to_write; /**< Of the write in progress. */
	uint64_t slot_first_seen_ms[CONTROLLER_LOADS_MAX];
	/** Load that waits for its slot; `engine` is empty if none does. */
	controller_order_t pending_load;
	/** Start of the first write of its slot; 0 before that. */
	uint64_t slot_requested_ms;
	/** Never decreases, even if a status read later has a lower one. */
	uint64_t next_id;

	controller_engine_t engines[CONTROLLER_ENGINES_MAX];
	size_t engine_count;
} controller_t;

typedef enum controller_event_kind {
	CONTROLLER_EVENT_TICK,
	/** The lease was acquired or renewed. */
	CONTROLLER_EVENT_LEASE,
	CONTROLLER_EVENT_LEASE_LOST,
	CONTROLLER_EVENT_REPORT, /**< Answer to `GET /engine/state`. */
	CONTROLLER_EVENT_RESULT, /**< Result of an engine order. */
	CONTROLLER_EVENT_STATUS, /**< Result of a status call. */
	CONTROLLER_EVENT_SLOTS,	 /**< Result of a slots call. */
} controller_event_kind_t;

/** How an engine answered an order. */
typedef enum controller_order_result {
	CONTROLLER_RESULT_DONE,	   /**< 200 */
	CONTROLLER_RESULT_REFUSED, /**< 409, 503, or not sent. */
	CONTROLLER_RESULT_UNKNOWN, /**< No answer; it may run. */
} controller_order_result_t;

typedef struct controller_event {
	controller_event_kind_t kind;
	uint32_t call_id; /**< Of the action, for STATUS and SLOTS. */
	union {
		struct {
			uint64_t fencing;
			uint64_t valid_until_ms;
		} lease;
		struct {
			const char *engine;
			uint64_t polled_ms;
			controller_engine_state_t state;
		} report;
		struct {
			uint64_t order_id;
			const char *engine;
			controller_order_result_t result;
		} result;
		struct {
			int result; /**< 0, ERR_NOT_FOUND or ERR_STORE_*. */
			uint64_t version;
			const controller_status_t *value; /**< Of a read. */
		} status;
		struct {
			int result;
			uint64_t version;
			const controller_slots_t *value; /**< Of a read. */
		} slots;
	};
} controller_event_t;

typedef enum controller_action_kind {
	CONTROLLER_ACTION_READ_STATUS,
	CONTROLLER_ACTION_WRITE_STATUS,
	CONTROLLER_ACTION_READ_SLOTS,
	CONTROLLER_ACTION_WRITE_SLOTS,
	CONTROLLER_ACTION_ISSUE, /**< Send the order to its engine now. */
} controller_action_kind_t;

typedef struct controller_action {
	controller_action_kind_t kind;
	uint32_t call_id;    /**< Returned in the event with the result. */
	uint64_t if_version; /**< Version to replace; 0: create only. */
	union {
		controller_status_t status;
		controller_slots_t slots;
		struct {
			controller_order_t order;
			uint64_t fencing;
		} issue;
	};
} controller_action_t;

typedef struct controller_actions {
	size_t count;
	controller_action_t items[CONTROLLER_ACTIONS_MAX];
} controller_actions_t;

/** One engine in the configuration. */
typedef struct controller_engine_spec {
	const char *id;
	bool checks_fencing;
} controller_engine_spec_t;

/**
 * Initializes a controller without lease, engines and desired state.
 * @param settings must outlive the controller
 */
void controller_init(controller_t *controller, const char *pool,
		     const controller_settings_t *settings);

/**
 * Sets the desired state and the engines of a configuration version.
 * @param ready_min engines that have to stay in service
 * @return 0, or ERR_LIMIT if the pool has too many engines
 */
int controller_configure(controller_t *controller,
			 const controller_engine_config_t *desired,
			 uint32_t ready_min,
			 const controller_engine_spec_t *specs, size_t count);

/** Handles one event and returns the actions to perform for it. */
void controller_step(controller_t *controller, const controller_event_t *event,
		     uint64_t now_ms, controller_actions_t *actions);

/** Counts the engines that serve requests according to their reports. */
uint32_t controller_count_in_service(const controller_t *controller,
				     uint64_t now_ms);

#endif
