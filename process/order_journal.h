/**
 * @file
 * Decision module: grouped claims. It stands between orders and the object
 * API and keeps the records of one shard in one journal object, so that many
 * records are written by one conditional write.
 *
 * Orders run the same state machine (process/order.h): their record writes and
 * reads are submitted here and answered with the same results. A record has
 * its own version inside the object. A lost answer of a group is passed on as
 * ERR_STORE_UNKNOWN to every order in it; each one reads back and compares its
 * nonce.
 */
#ifndef PROCESS_ORDER_JOURNAL_H
#define PROCESS_ORDER_JOURNAL_H

#include "process/order.h"

enum {
	/** Operations that wait or are in the group under way. */
	ORDER_JOURNAL_OPS_MAX = 64,
	ORDER_JOURNAL_ACTIONS_MAX = ORDER_JOURNAL_OPS_MAX + 2,
	/** Writes of one group that may fail before its orders are told. */
	ORDER_JOURNAL_ATTEMPTS_MAX = 6,
	/** Upper bound of sizeof(order_journal_t) without the entries. */
	ORDER_JOURNAL_SIZE_BYTES = 64 * 1024,
};

/** One record in the journal object. */
typedef struct order_journal_entry {
	char path[ORDER_PATH_MAX_BYTES];
	uint64_t version; /**< 1 when created, then one more each write. */
	order_record_t record;
} order_journal_entry_t;

/** One record operation of an order. */
typedef struct order_journal_op {
	void *owner; /**< Returned with the result. */
	uint32_t call;
	bool is_write;
	bool in_group; /**< Part of the call under way. */
	int result;    /**< Decided while the group is built. */
	uint64_t version;
	uint64_t if_version;
	char path[ORDER_PATH_MAX_BYTES];
	order_record_t record;
} order_journal_op_t;

typedef enum order_journal_action_kind {
	ORDER_JOURNAL_READ,  /**< Read the object. */
	ORDER_JOURNAL_WRITE, /**< Write all entries if `if_version`. */
	ORDER_JOURNAL_WAIT,  /**< Call order_journal_timer() then. */
	ORDER_JOURNAL_REPLY, /**< Pass the event to `owner`. */
} order_journal_action_kind_t;

typedef struct order_journal_action {
	order_journal_action_kind_t kind;
	uint32_t call;
	union {
		struct {
			uint64_t if_version; /**< 0: create only. */
			const order_journal_entry_t *entries;
			size_t count;
		} write;
		uint64_t until_ms;
		struct {
			void *owner;
			/** A record points into the entries: use it at once. */
			order_event_t event;
		} reply;
	};
} order_journal_action_t;

typedef struct order_journal_actions {
	size_t count;
	order_journal_action_t items[ORDER_JOURNAL_ACTIONS_MAX];
} order_journal_actions_t;

typedef enum order_journal_phase {
	ORDER_JOURNAL_IDLE,
	ORDER_JOURNAL_GATHERING,
	ORDER_JOURNAL_READING,
	ORDER_JOURNAL_WRITING,
} order_journal_phase_t;

/** State of one shard in one instance; owned by the caller of the module. */
typedef struct order_journal {
	const order_settings_t *settings;
	order_journal_phase_t phase;
	rng_t *rng;
	uint32_t gather_ms; /**< How long a group waits for more orders. */
	uint32_t call;
	uint32_t attempts;
	bool known; /**< `entries` is a state that the object had. */
	uint64_t version;
	order_journal_entry_t *entries;
	size_t entry_count;
	size_t entry_max;
	order_journal_op_t ops[ORDER_JOURNAL_OPS_MAX];
	size_t op_count;
} order_journal_t;

/**
 * Starts with nothing known of the object.
 * @param entries room for `entry_max` records; bounds the object's size
 * @param gather_ms 0 groups only what waits while a write is under way
 */
void order_journal_init(order_journal_t *journal,
			const order_settings_t *settings, rng_t *rng,
			order_journal_entry_t *entries, size_t entry_max,
			uint32_t gather_ms);

/**
 * Submits an ORDER_ACTION_WRITE or ORDER_ACTION_READ of an order.
 * @return 0, or ERR_LIMIT if too many operations wait; the order is then told
 *         ERR_STORE_BUDGET by its driver
 */
int order_journal_submit(order_journal_t *journal, void *owner,
			 const char *path, const order_action_t *action,
			 uint64_t now_ms, order_journal_actions_t *actions);

/** The gathering time or a back-off is over. */
void order_journal_timer(order_journal_t *journal, uint32_t call,
			 uint64_t now_ms, int64_t unix_ms,
			 order_journal_actions_t *actions);

/** Result of a read. ERR_NOT_FOUND stands for an empty object. */
void order_journal_was_read(order_journal_t *journal, uint32_t call, int result,
			    uint64_t version,
			    const order_journal_entry_t *entries, size_t count,
			    uint64_t now_ms, int64_t unix_ms,
			    order_journal_actions_t *actions);

/** Result of a write. */
void order_journal_was_written(order_journal_t *journal, uint32_t call,
			       int result, uint64_t version, uint64_t now_ms,
			       int64_t unix_ms,
			       order_journal_actions_t *actions);

#endif
