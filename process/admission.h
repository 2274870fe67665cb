/**
 * @file
 * Decides which request starts now, waits, is shed, or is cancelled for a more
 * urgent one.
 *
 * A request waits in a queue bounded over all classes. Among those that may
 * start, the most urgent class goes first; inside a class, customers share by
 * weighted fair queueing on prompt tokens. A class is held back while the
 * expected wait at its pool's endpoints exceeds what the class tolerates, so
 * that overload delays deferrable work first, then normal work. A full queue
 * sheds the least urgent request in it.
 *
 * One admission_t per instance, about 0.3 MB. No clock and no lock: the caller
 * passes `now_ms` and serialises calls. Each decision scans the waiting
 * requests (at most ADMISSION_WAITING_MAX), about 10 us.
 *
 * Use: admission_submit() for a new request; then, after every call that
 * changes something and when admission_timer_ms() has passed,
 * admission_next() until it returns false. After each ADMISSION_START, send
 * the request and call admission_set_pool() before the next call, so that one
 * low reading does not release a whole queue at once.
 */
#ifndef PROCESS_ADMISSION_H
#define PROCESS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "process/error.h"

enum {
	ADMISSION_CLASSES = 3,
	ADMISSION_WAITING_MAX = 1024,
	/** Places that only preempted requests may take. */
	ADMISSION_WAITING_RESERVE = 64,
	ADMISSION_RUNNING_MAX = 2048,
	/** Open addressing; the size to design for has 620 customers. */
	ADMISSION_CUSTOMERS_MAX = 1024,
	ADMISSION_POOLS_MAX = 64,
	/** Expected waits above which a class is held back. */
	ADMISSION_NORMAL_HOLD_MS = 1000,
	ADMISSION_DEFERRABLE_HOLD_MS = 200,
	/** Retries that may be saved up. */
	ADMISSION_RETRY_BURST = 10,
	ADMISSION_RETRY_AFTER_MIN_MS = 100,
	ADMISSION_RETRY_AFTER_MAX_MS = 60000,
	/** Time for which admission_put_off() keeps a request back. */
	ADMISSION_PUT_OFF_MS = 200,
};

/** Limits of one customer, from the configuration. */
typedef struct admission_customer {
	uint64_t id_hash;	  /**< Not 0. */
	uint32_t weight;	  /**< >= 1 */
	uint32_t rate_per_s;	  /**< 0 for no limit. */
	uint32_t concurrency_max; /**< Waiting and running; 0: no limit. */
} admission_customer_t;

typedef struct admission_request {
	uint64_t id; /**< Unique in this instance; not 0. */
	admission_customer_t customer;
	uint32_t urgency; /**< 0..2 */
	uint32_t pool;	  /**< Below ADMISSION_POOLS_MAX. */
	uint32_t tokens;  /**< Prompt tokens: cost in the fair queue. */
	/** Latest time for the first token, monotonic; 0 for none. */
	uint64_t deadline_at_ms;
	/** Whether its stream may be cancelled and resumed later. */
	bool preemptible;
} admission_request_t;

typedef enum admission_kind {
	ADMISSION_START,
	ADMISSION_WAIT,
	ADMISSION_SHED,
	ADMISSION_PREEMPT,
} admission_kind_t;

/** What the caller has to do with the request `id`. */
typedef struct admission_action {
	admission_kind_t kind;
	uint64_t id;
	union {
		/** ADMISSION_SHED: answer to the caller; not run. */
		struct {
			err_t err;
			uint32_t retry_after_ms;
		} shed;
		/**
		 * ADMISSION_PREEMPT: cancel the running request `id`, then
		 * call admission_preempted().
		 */
		struct {
			uint64_t for_id; /**< The urgent request waiting. */
		} preempt;
		/** ADMISSION_WAIT: expected time until the start. */
		struct {
			uint32_t expected_ms;
		} wait;
	};
} admission_action_t;

/** A waiting request; 96 bytes. */
typedef struct admission_waiting {
	admission_request_t request; /**< id 0 when free. */
	double tag;		     /**< Virtual finish in the fair queue. */
	uint64_t since_ms;
	uint64_t not_before_ms; /**< Put off until then. */
	bool resumed;		/**< Was running before; never shed. */
} admission_waiting_t;

typedef struct admission_running {
	admission_request_t request; /**< id 0 when free. */
	uint64_t started_ms;
	double tag;	 /**< Its place, if it is put off. */
	bool preempting; /**< Told to be cancelled. */
} admission_running_t;

typedef struct admission_customer_state {
	uint64_t id_hash; /**< 0 when free. */
	uint64_t bucket_updated_ms;
	double bucket; /**< Requests that may come at once. */
	double last_tag[ADMISSION_CLASSES];
	uint32_t running;
	uint32_t waiting;
} admission_customer_state_t;

typedef struct admission_pool {
	uint32_t wait_ms;     /**< Expected wait at the endpoints. */
	uint32_t streams_max; /**< Streams of this instance; 0: no limit. */
	uint32_t running;
	uint32_t preempting; /**< Of these, told to be cancelled. */
	double run_ms;	     /**< Mean time a request runs, smoothed. */
	/** Mean time between ends of a class, smoothed, and the last end. */
	double end_gap_ms[ADMISSION_CLASSES];
	uint64_t last_end_ms[ADMISSION_CLASSES];
	bool held[ADMISSION_CLASSES];
} admission_pool_t;

typedef struct admission {
	uint32_t queue_max;
	uint32_t waiting_count;
	uint32_t running_count;
	uint32_t preempting_count; /**< Preemptions not yet answered. */
	double retry_share;	   /**< Retries for each request, 0 to 1. */
	double retry_credit;
	double virtual_time[ADMISSION_CLASSES];
	/** Request pushed out of a full queue, not yet reported. */
	admission_action_t pushed_out;
	bool has_pushed_out;
	admission_pool_t pools[ADMISSION_POOLS_MAX];
	admission_waiting_t waiting[ADMISSION_WAITING_MAX];
	admission_running_t running[ADMISSION_RUNNING_MAX];
	admission_customer_state_t customers[ADMISSION_CUSTOMERS_MAX];
} admission_t;

/**
 * @param queue_max waiting requests; at most ADMISSION_WAITING_MAX less the
 *        reserve
 * @param retry_budget_percent retries a hundred requests
 */
void admission_init(admission_t *admission, uint32_t queue_max,
		    uint32_t retry_budget_percent);

/** Takes over new limits; nothing waiting or running is affected. */
void admission_set_limits(admission_t *admission, uint32_t queue_max,
			  uint32_t retry_budget_percent);

/**
 * Takes over the load of a pool.
 * @param wait_ms routing_pool_wait_ms()
 * @param streams_max streams this instance may run there at once; 0: no limit
 */
void admission_set_pool(admission_t *admission, uint32_t pool, uint32_t wait_ms,
			uint32_t streams_max);

/**
 * A new request. The action is ADMISSION_START, ADMISSION_WAIT or
 * ADMISSION_SHED for this request; follow with admission_next().
 */
admission_action_t admission_submit(admission_t *admission,
				    const admission_request_t *request,
				    uint64_t now_ms);

/**
 * Next action that became due.
 * @return false if there is none
 */
bool admission_next(admission_t *admission, uint64_t now_ms,
		    admission_action_t *action);

/**
 * Milliseconds until a waiting request expires or a put-off one is due;
 * UINT32_MAX if there is none.
 */
uint32_t admission_timer_ms(const admission_t *admission, uint64_t now_ms);

/** A started request ended, or a waiting one's caller went away. */
void admission_finished(admission_t *admission, uint64_t id, uint64_t now_ms);

/**
 * The stream of a request was cancelled on ADMISSION_PREEMPT; it waits again
 * and is started later to resume. If it ended by itself before the cancel took
 * effect, call admission_finished() instead.
 */
void admission_preempted(admission_t *admission, uint64_t id, uint64_t now_ms);

/**
 * Takes back the start of a request because the endpoint that routing_choose()
 * names has too long a queue for its class, though the pool as a whole has
 * not: without this, non-urgent requests for a hot prefix delay the urgent
 * ones at its endpoint. Nothing was sent. The request keeps its place and is
 * started again after ADMISSION_PUT_OFF_MS.
 * @param endpoint_wait_ms expected wait at the chosen endpoint
 * @return false if the request goes ahead: the class tolerates the wait
 */
bool admission_put_off(admission_t *admission, uint64_t id,
		       uint32_t endpoint_wait_ms, uint64_t now_ms);

/**
 * Asks for one retry out of the budget.
 * @param wait_ms expected wait of the retry
 * @param deadline_at_ms 0 for none
 * @return 0 and the budget is charged; ERR_OVERLOADED when it is used up;
 *         ERR_DEADLINE if the retry would come too late
 */
int admission_retry(admission_t *admission, uint32_t wait_ms,
		    uint64_t deadline_at_ms, uint64_t now_ms);

#endif
