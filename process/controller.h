/**
 * @file
 * Decision module: engine orders for one pool, issued by the holder of the
 * pool's lease.
 *
 * Two objects in the object API carry what must survive a holder:
 * - `status/pool/<pool>`: the pool's open engine orders and the fencing number
 *   of the holder that wrote it. An order is written here before it is issued.
 * - `slots/<weight store>`: the loads that run now for all pools that share
 *   the weight store, at most CONTROLLER_LOADS_MAX. A load takes its slot here
 *   before it is written to the status.
 * Both are updated conditionally. An order whose outcome is not known keeps its
 * slot until the engine reports it or its longest duration has passed.
 */
#ifndef PROCESS_CONTROLLER_H
#define PROCESS_CONTROLLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Longest identifier with its NUL, bytes. */
	CONTROLLER_ID_MAX_BYTES = 64,
	/** Engines of one pool. */
	CONTROLLER_ENGINES_MAX = 1024,
	/** Loads at once for each weight store. */
	CONTROLLER_LOADS_MAX = 2,
	/** Open engine orders of one pool, loads and role changes. */
	CONTROLLER_OPEN_MAX = 4,
	CONTROLLER_ACTIONS_MAX = 4,
	/** Upper bound of sizeof(controller_t), checked at compile time. */
	CONTROLLER_SIZE_BYTES = 768 * 1024,
};

/** What an engine is to hold, or holds. Empty model: nothing loaded. */
typedef struct controller_target {
	char model[CONTROLLER_ID_MAX_BYTES];
	char version[CONTROLLER_ID_MAX_BYTES];
	char adapter[CONTROLLER_ID_MAX_BYTES];
	char role[CONTROLLER_ID_MAX_BYTES];
} controller_target_t;

typedef enum controller_order_kind {
	CONTROLLER_LOAD_MODEL,
	CONTROLLER_LOAD_ADAPTER,
	CONTROLLER_SET_ROLE,
} controller_order_kind_t;

/** One engine order as it stands in the status object. */
typedef struct controller_order {
	uint64_t id; /**< Unique in the pool: fencing number and counter. */
	controller_order_kind_t kind;
	char engine[CONTROLLER_ID_MAX_BYTES];
	controller_target_t target;
} controller_order_t;

/** Value of `status/pool/<pool>`. */
typedef struct controller_status {
	uint64_t fencing; /**< Of the holder that wrote it. */
	uint64_t next_id;
	size_t open_count;
	controller_order_t open[CONTROLLER_OPEN_MAX];
} controller_status_t;

/** One running load. */
typedef struct controller_slot {
	char pool[CONTROLLER_ID_MAX_BYTES];
	uint64_t order_id;
} controller_slot_t;

/** Value of `slots/<weight store>`. */
typedef struct controller_slots {
	size_t count;
	controller_slot_t items[CONTROLLER_LOADS_MAX];
} controller_slots_t;

/** What `GET /engine/state` of an engine said. */
typedef struct controller_state {
	uint64_t incarnation;
	uint64_t last_order_id; /**< Last order it completed; 0 for none. */
	controller_target_t holds;
} controller_state_t;

typedef struct controller_settings {
	/** Longest time from issuing an order to its end at the engine. */
	uint32_t order_max_ms;
	/** Age at which a report no longer counts as being in service. */
	uint32_t report_max_age_ms;
	/** Delay after an order that an engine refused or failed. */
	uint32_t engine_retry_ms;
	/** Delay after a store call that failed. */
	uint32_t store_retry_ms;
	/** Delay after all slots were found taken. */
	uint32_t slot_retry_ms;
} controller_settings_t;

extern const controller_settings_t controller_default_settings;

/** One engine as the controller knows it. */
typedef struct controller_engine {
	char id[CONTROLLER_ID_MAX_BYTES];
	bool checks_fencing;
	bool vanished; /**< No longer configured; kept while ordered. */
	bool reported;
	uint64_t asked_ms;	/**< When the report was asked for. */
	uint64_t not_before_ms; /**< No order before this. */
	/** Reports asked for before this do not count. */
	uint64_t report_after_ms;
	controller_state_t state;
} controller_engine_t;

/** What this holder knows about an open order. */
typedef struct controller_open {
	bool issued;
	bool resolved;	      /**< It does not run and will not run. */
	uint64_t expires_ms;  /**< Then it is resolved without an answer. */
	uint64_t issue_by_ms; /**< Not issued after this. */
} controller_open_t;

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
	controller_target_t desired;
	uint32_t ready_min;

	uint64_t fencing; /**< 0: not the holder. */
	uint64_t valid_until_ms;
	uint64_t acquired_ms;

	uint32_t call;
	controller_call_t call_kind; /**< The one store call under way. */
	uint64_t call_issued_ms;
	uint64_t store_after_ms; /**< No store call before this. */

	bool status_known; /**< `status` is in the store under our number. */
	bool status_dirty;
	uint64_t status_version;
	controller_status_t status;
	controller_open_t open[CONTROLLER_OPEN_MAX];

	bool slots_known;
	uint64_t slots_version;
	controller_slots_t slots;
	controller_slots_t slots_written; /**< By the write under way. */
	uint64_t slot_seen_ms[CONTROLLER_LOADS_MAX];
	/** Load that waits for its slot; engine empty if there is none. */
	controller_order_t wanted;
	/** Before its slot was first written; 0: not yet. */
	uint64_t wanted_slot_ms;
	uint64_t next_id; /**< Never falls, whatever the status says. */

	controller_engine_t engines[CONTROLLER_ENGINES_MAX];
	size_t engine_count;
} controller_t;

typedef enum controller_event_kind {
	CONTROLLER_EVENT_TICK,
	/** The lease was acquired or renewed. */
	CONTROLLER_EVENT_LEASE,
	CONTROLLER_EVENT_LEASE_LOST,
	CONTROLLER_EVENT_REPORT, /**< Answer of `GET /engine/state`. */
	CONTROLLER_EVENT_RESULT, /**< Result of an engine order. */
	CONTROLLER_EVENT_STATUS, /**< Result of a status call. */
	CONTROLLER_EVENT_SLOTS,	 /**< Result of a slots call. */
} controller_event_kind_t;

/** How an engine answered an order. */
typedef enum controller_result {
	CONTROLLER_RESULT_DONE,	   /**< 200 */
	CONTROLLER_RESULT_REFUSED, /**< 409, 503 or nothing was sent. */
	CONTROLLER_RESULT_UNKNOWN, /**< No answer; it may run. */
} controller_result_t;

typedef struct controller_event {
	controller_event_kind_t kind;
	uint32_t call; /**< Of STATUS and SLOTS. */
	union {
		struct {
			uint64_t fencing;
			uint64_t valid_until_ms;
		} lease;
		struct {
			const char *engine;
			uint64_t asked_ms;
			controller_state_t state;
		} report;
		struct {
			uint64_t order_id;
			controller_result_t result;
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
	CONTROLLER_ACTION_ISSUE, /**< Send this order to its engine now. */
} controller_action_kind_t;

typedef struct controller_action {
	controller_action_kind_t kind;
	uint32_t call;
	uint64_t if_version; /**< Of writes; 0: create only. */
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

/** One engine of the configuration. */
typedef struct controller_member {
	const char *id;
	bool checks_fencing;
} controller_member_t;

/** Starts without lease, engines and desired state. */
void controller_init(controller_t *controller, const char *pool,
		     const controller_settings_t *settings);

/**
 * Takes the desired state of a configuration version.
 * @return 0, or ERR_LIMIT if the pool has too many engines
 */
int controller_configure(controller_t *controller,
			 const controller_target_t *desired, uint32_t ready_min,
			 const controller_member_t *members, size_t count);

/** Advances the controller by one event. */
void controller_step(controller_t *controller, const controller_event_t *event,
		     uint64_t now_ms, controller_actions_t *actions);

/** Engines that take requests as far as the reports tell. */
uint32_t controller_in_service(const controller_t *controller, uint64_t now_ms);

#endif
