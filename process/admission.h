/**
 * @file
 * Admission control: decides whether a request starts now, waits or is shed,
 * and which running request is preempted for a more urgent one.
 *
 * Requests have one of three urgency classes: 0 urgent, 1 normal, 2 deferrable.
 * All classes wait in one bounded queue. Among the requests that may start, the
 * most urgent class goes first; within a class, customers share by weighted
 * fair queueing on prompt tokens. A class is held while the expected wait at
 * the endpoints of its pool exceeds the threshold of the class, so that
 * overload delays deferrable requests first, then normal ones. If the queue is
 * full, a new request displaces the least urgent waiting one, or is shed itself
 * if none is less urgent.
 *
 * One admission_t per instance, about 0.33 MB. Pure logic: no I/O, clock or
 * locks; the caller passes `now_ms` (monotonic) and serialises calls. Each
 * decision scans the waiting requests (at most ADMISSION_WAITING_MAX).
 *
 * Use: admission_submit() for a new request; then, after every call that
 * changes state and when admission_timer_ms() has passed, admission_next()
 * until it returns false. After each ADMISSION_START, send the request and
 * call admission_set_pool() with the new expected wait before the next call;
 * otherwise one low wait would release the whole queue at once.
 */
#ifndef PROCESS_ADMISSION_H
#define PROCESS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "process/error.h"

enum {
	ADMISSION_CLASSES = 3,
	ADMISSION_WAITING_MAX = 1024,
	/** Queue entries kept free for preempted and postponed requests. */
	ADMISSION_WAITING_RESERVE = 64,
	ADMISSION_RUNNING_MAX = 2048,
	/** Hash table with open addressing; sized for 620 customers. */
	ADMISSION_CUSTOMERS_MAX = 1024,
	ADMISSION_POOLS_MAX = 64,
	/** Expected waits above which a class is held. */
	ADMISSION_NORMAL_HOLD_MS = 1000,
	ADMISSION_DEFERRABLE_HOLD_MS = 200,
	/** Maximum of unused retry credit. */
	ADMISSION_RETRY_BURST = 10,
	ADMISSION_RETRY_AFTER_MIN_MS = 100,
	ADMISSION_RETRY_AFTER_MAX_MS = 60000,
	/** Time for which admission_postpone() delays a request. */
	ADMISSION_POSTPONE_MS = 200,
};

/** Limits of one customer, from the configuration. */
typedef struct admission_customer {
	uint64_t id_hash;	  /**< Not 0. */
	uint32_t weight;	  /**< >= 1 */
	uint32_t rate_per_s;	  /**< 0 for no limit. */
	uint32_t concurrency_max; /**< Waiting and running; 0 for no limit. */
} admission_customer_t;

typedef struct admission_request {
	uint64_t id; /**< Unique in this instance; not 0. */
	admission_customer_t customer;
	uint32_t urgency; /**< 0 (most urgent) to 2. */
	uint32_t pool;	  /**< Below ADMISSION_POOLS_MAX. */
	uint32_t tokens;  /**< Prompt tokens; cost in fair queueing. */
	/** Deadline of the first token, monotonic; 0 for none. */
	uint64_t deadline_ms;
	/** Whether its stream may be cancelled and resumed later. */
	bool preemptible;
} admission_request_t;

typedef enum admission_kind {
	ADMISSION_START,
	ADMISSION_WAIT,
	ADMISSION_SHED,
	ADMISSION_PREEMPT,
} admission_kind_t;

/** Action that the caller must take for request `id`. */
typedef struct admission_action {
	admission_kind_t kind;
	uint64_t id;
	union {
		/** ADMISSION_SHED: not run; answer with this error. */
		struct {
			err_t err;
			uint32_t retry_after_ms;
		} shed;
		/**
		 * ADMISSION_PREEMPT: cancel the running request `id`, then
		 * call admission_preempted().
		 */
		struct {
			uint64_t for_id; /**< Urgent request that waits. */
		} preempt;
		/** ADMISSION_WAIT: expected time until the start. */
		struct {
			uint32_t expected_ms;
		} wait;
	};
} admission_action_t;

/** A waiting request; 88 bytes. */
typedef struct admission_waiting {
	admission_request_t request; /**< id 0 when free. */
	double finish_tag;	/**< Virtual finish time in fair queueing. */
	uint64_t not_before_ms; /**< Postponed until then. */
	bool resumed;		/**< Was preempted; must not be displaced. */
} admission_waiting_t;

typedef struct admission_running {
	admission_request_t request; /**< id 0 when free. */
	uint64_t started_ms;
	double finish_tag; /**< Used again if the request is postponed. */
	bool preempting;   /**< ADMISSION_PREEMPT was returned for it. */
} admission_running_t;

typedef struct admission_customer_state {
	uint64_t id_hash; /**< 0 when free. */
	uint64_t bucket_updated_ms;
	double bucket; /**< Token bucket of the rate limit, requests. */
	/** Finish tag of the customer's latest request of each class. */
	double last_finish_tag[ADMISSION_CLASSES];
	uint32_t running;
	uint32_t waiting;
} admission_customer_state_t;

typedef struct admission_pool {
	uint32_t wait_ms;     /**< Expected wait at its endpoints. */
	uint32_t streams_max; /**< For this instance; 0 for no limit. */
	uint32_t running;
	uint32_t preempting; /**< Of these, being preempted. */
	double run_ms;	     /**< Smoothed run time of a request. */
	/** Smoothed interval between completions of a class. */
	double completion_interval_ms[ADMISSION_CLASSES];
	uint64_t last_completion_ms[ADMISSION_CLASSES]; /**< 0: none. */
	bool held[ADMISSION_CLASSES]; /**< Class may not start requests. */
} admission_pool_t;

typedef struct admission {
	uint32_t queue_max;
	uint32_t waiting_count;
	uint32_t running_count;
	uint32_t preempting_count; /**< Running requests being preempted. */
	double retry_ratio;	   /**< Retries allowed per request, 0 to 1. */
	double retry_credit;	   /**< Retries allowed now. */
	/** Virtual time of fair queueing: finish tag of the last start. */
	double virtual_time[ADMISSION_CLASSES];
	/** Request displaced from the full queue, not yet returned. */
	admission_action_t displaced;
	bool has_displaced;
	admission_pool_t pools[ADMISSION_POOLS_MAX];
	admission_waiting_t waiting[ADMISSION_WAITING_MAX];
	admission_running_t running[ADMISSION_RUNNING_MAX];
	admission_customer_state_t customers[ADMISSION_CUSTOMERS_MAX];
} admission_t;

/**
 * Initialises with an empty queue and full retry credit.
 * @param queue_max limit of waiting requests; capped to ADMISSION_WAITING_MAX
 *        less the reserve
 * @param retry_budget_percent retries allowed per hundred requests
 */
void admission_init(admission_t *admission, uint32_t queue_max,
		    uint32_t retry_budget_percent);

/** Sets new limits; waiting and running requests stay. */
void admission_set_limits(admission_t *admission, uint32_t queue_max,
			  uint32_t retry_budget_percent);

/**
 * Sets the load and limit of a pool, and holds or releases its classes.
 * @param wait_ms routing_pool_wait_ms()
 * @param streams_max streams this instance may run there at once; 0 for no
 *        limit
 */
void admission_set_pool(admission_t *admission, uint32_t pool, uint32_t wait_ms,
			uint32_t streams_max);

/**
 * Submits a new request. The action is ADMISSION_START, ADMISSION_WAIT or
 * ADMISSION_SHED for this request; call admission_next() afterwards.
 */
admission_action_t admission_submit(admission_t *admission,
				    const admission_request_t *request,
				    uint64_t now_ms);

/**
 * Gets the next action that is due.
 * @return false if there is none
 */
bool admission_next(admission_t *admission, uint64_t now_ms,
		    admission_action_t *action);

/**
 * Milliseconds until a waiting request reaches its deadline or a postponed one
 * may start; UINT32_MAX if there is none.
 */
uint32_t admission_timer_ms(const admission_t *admission, uint64_t now_ms);

/** Removes a request: a started one ended, or a waiting one was abandoned. */
void admission_finished(admission_t *admission, uint64_t id, uint64_t now_ms);

/**
 * Puts a request back into the queue after its stream was cancelled on
 * ADMISSION_PREEMPT; it is started again later to resume. If the stream ended
 * before the cancel took effect, call admission_finished() instead.
 */
void admission_preempted(admission_t *admission, uint64_t id, uint64_t now_ms);

/**
 * Returns a started request to the queue because the wait at the endpoint that
 * routing_choose() chose is too long for its class, although the wait of the
 * pool is not. Without this, non-urgent requests for a hot prefix delay the
 * urgent ones at its endpoint. The request must not have been sent. It keeps
 * its order in the queue and may start again after ADMISSION_POSTPONE_MS.
 * @param endpoint_wait_ms expected wait at the chosen endpoint
 * @return false if the request stays started: the wait is below the threshold
 *         of its class, it is being preempted, or the queue is full
 */
bool admission_postpone(admission_t *admission, uint64_t id,
			uint32_t endpoint_wait_ms, uint64_t now_ms);

/**
 * Requests one retry from the retry budget.
 * @param wait_ms expected wait of the retry
 * @param deadline_ms deadline of the first token, monotonic; 0 for none
 * @return 0 if the budget was charged; ERR_OVERLOADED if it is used up;
 *         ERR_DEADLINE if the retry would miss the deadline
 */
int admission_retry(admission_t *admission, uint32_t wait_ms,
		    uint64_t deadline_ms, uint64_t now_ms);

#endif
