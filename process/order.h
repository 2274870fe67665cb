/**
 * @file
 * Order: a client's non-idempotent request that is sent to an endpoint at most
 * once. Decides when to claim, send and record it. Pure logic: no I/O, clock or
 * locks.
 *
 * A claim, a record in the object API, is created before anything is sent.
 * Only the process that created the claim sends the request, and it sends it
 * once. Any instance that finds an open claim past its deadline closes it:
 * the record becomes ORDER_STATE_UNKNOWN and the request is never sent under
 * that claim.
 *
 * The calling code owns the order_t, performs the actions in sequence and
 * reports each result with the `call_id` of its action. At most one call is
 * pending, so a result with another id is late or a duplicate and is ignored.
 *
 * Results of store calls are error kinds: 0, ERR_NOT_FOUND or
 * ERR_STORE_CONDITION; ERR_STORE_DOWN or ERR_STORE_BUDGET if the call
 * certainly had no effect; ERR_STORE_UNKNOWN if it may have had one.
 *
 * Times named `_ms` are monotonic, `_unix_ms` times of day, which may jump and
 * differ between instances: nothing is decided by them. A claim is closed by an
 * instance that has seen it unchanged for its validity, and a record is removed
 * by its place in the order of the store's changes; see
 * process/order_sweep.h.
 */
#ifndef PROCESS_ORDER_H
#define PROCESS_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/hash.h"
#include "process/rng.h"

enum {
	/** Longest customer, owner or endpoint id with its NUL, bytes. */
	ORDER_ID_MAX_BYTES = 64,
	/** Longest `Idempotency-Key` accepted, bytes without the NUL. */
	ORDER_KEY_MAX_BYTES = 255,
	/** `order/<customer>/<key hash>` with its NUL, bytes. */
	ORDER_PATH_MAX_BYTES = 144,
	/** Maximum number of endpoints in one claim. */
	ORDER_ENDPOINTS_MAX = 4,
	/** Answer headers stored in a record, bytes with the NUL. */
	ORDER_HEADERS_MAX_BYTES = 512,
	/** Longest answer body stored, bytes; a longer one is omitted. */
	ORDER_BODY_MAX_BYTES = 16384,
	/** Maximum number of actions returned by one step. */
	ORDER_ACTIONS_MAX = 4,
	/** Upper bound of sizeof(order_t), checked at compile time. */
	ORDER_SIZE_BYTES = 4096,
};

/** State of a record. Every state except ORDER_STATE_OPEN is final. */
typedef enum order_state {
	ORDER_STATE_OPEN, /**< Claimed; the owner may send it or has sent it. */
	ORDER_STATE_DONE, /**< The endpoint answered; the answer is stored. */
	ORDER_STATE_UNKNOWN, /**< It may have run; it is not sent again. */
	ORDER_STATE_NOT_RUN, /**< It did not run; may be claimed again. */
} order_state_t;

/** Answer of an endpoint. */
typedef struct order_answer {
	uint16_t http_status;
	/** `Name: value\r\n` lines of the stored headers. */
	char headers[ORDER_HEADERS_MAX_BYTES];
	const char *body; /**< Freed by the owner of the answer. */
	size_t body_bytes;
	/** The body exceeded ORDER_BODY_MAX_BYTES and was not stored. */
	bool body_omitted;
} order_answer_t;

/** Value of `order/<customer>/<key hash>`. */
typedef struct order_record {
	order_state_t state;
	uint64_t nonce; /**< Random; identifies the request that claimed. */
	/** Fencing number sent with the request under this claim. */
	uint64_t claim_fencing;
	/**
	 * Highest fencing number of this key. Closing a provable claim raises
	 * it above claim_fencing.
	 */
	uint64_t fencing;
	int64_t created_unix_ms; /**< For operators. */
	/** An instance that has seen the open claim unchanged for this long may
	 * close it. */
	uint32_t valid_ms;
	char digest[HASH_DIGEST_HEX_BYTES]; /**< Of method, path and body. */
	char owner[ORDER_ID_MAX_BYTES];
	/** The only endpoints that the owner may send to. */
	char endpoints[ORDER_ENDPOINTS_MAX][ORDER_ID_MAX_BYTES];
	uint8_t endpoint_count;
	/**
	 * All of `endpoints` check fencing numbers, so that they can prove
	 * that the request did not run.
	 */
	bool provable;
	/** Set in ORDER_STATE_DONE; not owned, must outlive the record. */
	const order_answer_t *answer;
} order_record_t;

/** Time limits; must be the same on all instances. */
typedef struct order_settings {
	/** From the start of the claim to the latest time of sending. */
	uint32_t send_window_ms;
	/** Timeout for the endpoint's answer. */
	uint32_t endpoint_timeout_ms;
	/** Added to the validity of a claim, because monotonic clocks run at
	 * slightly different rates. */
	uint32_t clock_drift_ms;
	/** First delay between store calls; doubles with each failure. */
	uint32_t retry_ms;
	/** Limit of that delay. */
	uint32_t retry_max_ms;
	/** How long a client waits for its outcome to be recorded. */
	uint32_t answer_wait_ms;
	/** How long the write of the outcome is retried in the background. */
	uint32_t record_retry_ms;
	/** A record is kept for at least this long after its last change. */
	int64_t retention_ms;
} order_settings_t;

/** Default settings. */
extern const order_settings_t order_default_settings;

/** A client's request. Strings are copied. */
typedef struct order_request {
	const char *customer;
	const char *key; /**< `Idempotency-Key`; NULL if missing. */
	const char *digest;
	const char *owner;			    /**< This instance. */
	const char *endpoints[ORDER_ENDPOINTS_MAX]; /**< In the order to try. */
	size_t endpoint_count;
	bool endpoints_check_fencing; /**< All of `endpoints`. */
	uint64_t nonce;
	int64_t unix_ms;
} order_request_t;

/** What an endpoint that checks fencing numbers proves about a key. */
typedef enum order_proof {
	/** It did not run, and the endpoint now refuses lower numbers. */
	ORDER_PROOF_NOT_RUN,
	ORDER_PROOF_NONE, /**< It ran, or the answer is missing or invalid. */
} order_proof_t;

typedef enum order_event_kind {
	ORDER_EVENT_WRITTEN,	    /**< Result of ORDER_ACTION_WRITE. */
	ORDER_EVENT_READ,	    /**< Result of ORDER_ACTION_READ. */
	ORDER_EVENT_TIMER,	    /**< ORDER_ACTION_WAIT has expired. */
	ORDER_EVENT_CONNECTED,	    /**< Connected; nothing sent yet. */
	ORDER_EVENT_CONNECT_FAILED, /**< Connection failed; nothing sent. */
	ORDER_EVENT_ANSWERED,	    /**< The endpoint answered completely. */
	ORDER_EVENT_ANSWER_LOST, /**< Sent, but no complete answer received. */
	ORDER_EVENT_QUERIED,	 /**< Result of ORDER_ACTION_QUERY. */
} order_event_kind_t;

typedef struct order_event {
	order_event_kind_t kind;
	uint32_t call_id; /**< Of the action with this result. */
	union {
		struct {
			int result;
			uint64_t version; /**< New version on success. */
		} written;
		struct {
			int result;
			uint64_t version;
			const order_record_t *record; /**< On success. */
			/** For how long this process has known the record at
			 * this version; see process/claim_watch.h. */
			uint64_t unchanged_ms;
		} read;
		struct {
			/** Valid until ORDER_ACTION_FINISH. */
			const order_answer_t *answer;
			bool not_run; /**< The answer has `X-Not-Run: 1`. */
		} answered;
		struct {
			order_proof_t proof;
		} queried;
	};
} order_event_t;

typedef enum order_action_kind {
	ORDER_ACTION_WRITE,   /**< Conditional write of the record. */
	ORDER_ACTION_READ,    /**< Read of the record. */
	ORDER_ACTION_WAIT,    /**< Report a timer event at `deadline_ms`. */
	ORDER_ACTION_CONNECT, /**< Connect; send nothing yet. */
	ORDER_ACTION_SEND,    /**< Send the request on the open connection. */
	ORDER_ACTION_CLOSE,   /**< Close the connection; nothing was sent. */
	ORDER_ACTION_QUERY,   /**< Ask an endpoint whether the key ran and
				   have it refuse lower fencing numbers. */
	ORDER_ACTION_ANSWER,  /**< Answer the client; at most once. */
	ORDER_ACTION_FINISH,  /**< No more actions; order_t may be freed. */
} order_action_kind_t;

typedef struct order_action {
	order_action_kind_t kind;
	uint32_t call_id;
	union {
		struct {
			uint64_t if_version; /**< 0: create only. */
			/** Time limit; 0: that of the store client. */
			uint32_t limit_ms;
			order_record_t record;
		} write;
		struct {
			uint64_t deadline_ms;
		} wait;
		struct {
			const char *endpoint;
			uint64_t send_by_ms;
		} connect;
		struct {
			uint64_t fencing; /**< `X-Fencing-Number` */
		} send;
		struct {
			const char *endpoint;
			uint64_t fencing;
		} query;
		struct {
			int err; /**< 0: send `answer` to the client. */
			const order_answer_t *answer;
			bool from_record;
		} answer;
		struct {
			/** Whether the outcome is known to be stored. */
			bool recorded;
		} finish;
	};
} order_action_t;

typedef struct order_actions {
	size_t count;
	order_action_t items[ORDER_ACTIONS_MAX];
} order_actions_t;

typedef enum order_phase {
	ORDER_PHASE_CLAIM_WRITE,
	ORDER_PHASE_CLAIM_READ,
	ORDER_PHASE_CLAIM_WAIT,
	ORDER_PHASE_CONNECTING,
	ORDER_PHASE_SENT,
	ORDER_PHASE_CLOSE_WRITE, /**< Closing a claim, ours or another's. */
	ORDER_PHASE_QUERYING,
	ORDER_PHASE_RECORD_WRITE,
	ORDER_PHASE_RECORD_READ,
	ORDER_PHASE_RECORD_WAIT,
	ORDER_PHASE_FINISHED,
} order_phase_t;

/** State of one order; owned by the calling code. */
typedef struct order {
	const order_settings_t *settings;
	order_phase_t phase;
	uint32_t call_id;
	uint32_t attempts; /**< Failed store calls, claiming or recording. */
	uint64_t send_by_ms;
	uint64_t record_deadline_ms;
	char path[ORDER_PATH_MAX_BYTES];
	order_record_t claim;	/**< Our claim as written to the store. */
	order_record_t outcome; /**< Record that ends the claim. */
	/** Answer without its body, if that is too long to store. */
	order_answer_t trimmed_answer;
	uint64_t version; /**< Version that the next write replaces. */
	uint8_t endpoint; /**< Index of the one connected to or queried. */
	/** A claim write had an unknown result and may still take effect. */
	bool claim_write_unknown;
	/** The key had a record when the claim was written. */
	bool record_exists;
	/**
	 * `version` is another request's record, which must not be replaced
	 * by one in ORDER_STATE_NOT_RUN.
	 */
	bool may_only_close;
	bool sent;
	bool client_answered;
	/** Of the client, who gets it when the outcome has been recorded. */
	int answer_err;
	const order_answer_t *answer;
} order_t;

/**
 * Starts an order. The first actions may include the answer to the client.
 * @param settings must outlive the order
 */
void order_begin(order_t *order, const order_settings_t *settings,
		 const order_request_t *request, uint64_t now_ms,
		 order_actions_t *actions);

/** Advances an order by one event. */
void order_step(order_t *order, const order_event_t *event, uint64_t now_ms,
		order_actions_t *actions);

/** Whether ORDER_ACTION_SEND was returned. */
static inline bool order_was_sent(const order_t *order)
{
	return order->sent;
}

#endif
