/**
 * @file
 * Decision module: executes one non-idempotent request of a caller at most
 * once.
 *
 * The claim is a record in the object API, created before anything is sent.
 * Only the process that owns the claim sends, and it sends once. Whoever finds
 * an open claim past its deadline closes it and never runs it.
 *
 * The caller of the module owns the order_t, performs the actions in order and
 * reports their results with the `call` number they carry. At most one call is
 * open, so an answer with another number is late or repeated and is ignored.
 *
 * Results of store calls are error kinds: 0, ERR_NOT_FOUND,
 * ERR_STORE_CONDITION, ERR_STORE_DOWN or ERR_STORE_BUDGET (certainly without
 * effect), and ERR_STORE_UNKNOWN (the effect is not known).
 *
 * Times named `_ms` are monotonic, `_unix_ms` wall-clock. Wall clocks decide
 * only when a claim is closed and a record removed; no rule about sending
 * depends on them.
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
	/** Endpoints named in one claim. */
	ORDER_ENDPOINTS_MAX = 4,
	/** Answer headers kept in a record, bytes with the NUL. */
	ORDER_HEADERS_MAX_BYTES = 512,
	/** Answer body kept in a record; a longer one is left out. */
	ORDER_BODY_MAX_BYTES = 16384,
	/** Actions returned by one step. */
	ORDER_ACTIONS_MAX = 4,
	/** Upper bound of sizeof(order_t), checked at compile time. */
	ORDER_SIZE_BYTES = 4096,
	/** Upper bound of sizeof(order_sweep_t), checked at compile time. */
	ORDER_SWEEP_SIZE_BYTES = 4096,
	/** Records in one page of a sweep. */
	ORDER_SWEEP_PAGE = 16,
};

/** State of a record. A final state is any but ORDER_STATE_OPEN. */
typedef enum order_state {
	ORDER_STATE_OPEN,    /**< Claimed; the owner may send or has sent. */
	ORDER_STATE_DONE,    /**< The endpoint answered; answer kept. */
	ORDER_STATE_UNKNOWN, /**< It may have run; it is never sent again. */
	ORDER_STATE_NOT_RUN, /**< It did not run; the key may be claimed. */
} order_state_t;

/** Answer of an endpoint. */
typedef struct order_answer {
	uint16_t http_status;
	/** `Name: value\r\n` lines of the headers that are kept. */
	char headers[ORDER_HEADERS_MAX_BYTES];
	const char *body; /**< Owned by whoever owns the answer. */
	size_t body_bytes;
	/** The record has no body because it exceeded the limit. */
	bool body_omitted;
} order_answer_t;

/** Value of `order/<customer>/<key hash>`. */
typedef struct order_record {
	order_state_t state;
	uint64_t nonce; /**< Of the claim; random, one for each request. */
	/** Number sent with the request under this claim. */
	uint64_t claim_fencing;
	/** Highest number of this key; above claim_fencing once closed. */
	uint64_t fencing;
	int64_t created_unix_ms;
	/** After this the claim may be closed by others. */
	int64_t deadline_unix_ms;
	char digest[HASH_DIGEST_HEX_BYTES]; /**< Of method, path and body. */
	char owner[ORDER_ID_MAX_BYTES];
	/** The only endpoints that the owner may send to. */
	char endpoints[ORDER_ENDPOINTS_MAX][ORDER_ID_MAX_BYTES];
	uint8_t endpoint_count;
	/** Every named endpoint checks fencing numbers. */
	bool provable;
	/** Set in ORDER_STATE_DONE; lives as long as the record's owner. */
	const order_answer_t *answer;
} order_record_t;

/** Limits of time, the same on all instances. */
typedef struct order_settings {
	/** From the start of the claim to the last moment of sending. */
	uint32_t send_window_ms;
	/** Longest time an endpoint may take to answer. */
	uint32_t endpoint_timeout_ms;
	/** Allowed difference of wall clocks between instances. */
	uint32_t clock_skew_ms;
	/** First delay between attempts at the store; doubles each time. */
	uint32_t retry_ms;
	uint32_t retry_max_ms;
	/** How long the outcome record is retried in the background. */
	uint32_t record_retry_ms;
	/** Age at which a record is removed. */
	int64_t retention_ms;
} order_settings_t;

/** Settings in use unless a test shortens them. */
extern const order_settings_t order_default_settings;

/** A caller's request. Strings are copied. */
typedef struct order_request {
	const char *customer;
	const char *key; /**< `Idempotency-Key`; NULL if missing. */
	const char *digest;
	const char *owner;			    /**< This instance. */
	const char *endpoints[ORDER_ENDPOINTS_MAX]; /**< In order of use. */
	size_t endpoint_count;
	bool endpoints_check_fencing; /**< All of them. */
	uint64_t nonce;
	int64_t unix_ms;
} order_request_t;

/** What an endpoint that checks fencing says about a key. */
typedef enum order_proof {
	/** It did not run, and lower numbers are refused from now on. */
	ORDER_PROOF_NOT_RUN,
	ORDER_PROOF_NONE, /**< It ran, or there is no usable answer. */
} order_proof_t;

typedef enum order_event_kind {
	ORDER_EVENT_WRITTEN,	    /**< Result of ORDER_ACTION_WRITE. */
	ORDER_EVENT_READ,	    /**< Result of ORDER_ACTION_READ. */
	ORDER_EVENT_TIMER,	    /**< ORDER_ACTION_WAIT is over. */
	ORDER_EVENT_CONNECTED,	    /**< Connected, nothing sent yet. */
	ORDER_EVENT_CONNECT_FAILED, /**< Closed with nothing sent. */
	ORDER_EVENT_ANSWERED,	    /**< The endpoint's complete answer. */
	ORDER_EVENT_LOST,	    /**< No complete answer after the send. */
	ORDER_EVENT_ASKED,	    /**< Result of ORDER_ACTION_ASK. */
} order_event_kind_t;

typedef struct order_event {
	order_event_kind_t kind;
	uint32_t call; /**< Of the action this is the result of. */
	union {
		struct {
			int result;
			uint64_t version; /**< New version on success. */
		} written;
		struct {
			int result;
			uint64_t version;
			const order_record_t *record; /**< On success. */
			int64_t unix_ms;
		} read;
		struct {
			/** Valid until ORDER_ACTION_FINISH. */
			const order_answer_t *answer;
			bool not_run; /**< The answer has `X-Not-Run: 1`. */
		} answered;
		struct {
			order_proof_t proof;
		} asked;
	};
} order_event_t;

typedef enum order_action_kind {
	ORDER_ACTION_WRITE,   /**< Conditional write of the record. */
	ORDER_ACTION_READ,    /**< Read of the record. */
	ORDER_ACTION_WAIT,    /**< Report ORDER_EVENT_TIMER at `until_ms`. */
	ORDER_ACTION_CONNECT, /**< Connect, send nothing. */
	ORDER_ACTION_SEND,    /**< Send now on the open connection. */
	ORDER_ACTION_CLOSE,   /**< Close the connection, nothing was sent. */
	ORDER_ACTION_ASK,     /**< Ask an endpoint whether the key ran. */
	ORDER_ACTION_REPLY,   /**< Answer the caller; at most once. */
	ORDER_ACTION_FINISH,  /**< The struct may be released. */
} order_action_kind_t;

typedef struct order_action {
	order_action_kind_t kind;
	uint32_t call;
	union {
		struct {
			uint64_t if_version; /**< 0: create only. */
			order_record_t record;
		} write;
		struct {
			uint64_t until_ms;
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
		} ask;
		struct {
			int err; /**< 0: `answer` goes to the caller. */
			const order_answer_t *answer;
			bool from_record;
		} reply;
		struct {
			/** Whether the outcome is known to be recorded. */
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
	ORDER_PHASE_CLOSE_WRITE, /**< Closing a claim under a raised number. */
	ORDER_PHASE_ASKING,
	ORDER_PHASE_RECORD_WRITE,
	ORDER_PHASE_RECORD_READ,
	ORDER_PHASE_RECORD_WAIT,
	ORDER_PHASE_FINISHED,
} order_phase_t;

/** State of one order; owned by the caller of the module. */
typedef struct order {
	const order_settings_t *settings;
	order_phase_t phase;
	uint32_t call;
	uint32_t attempts; /**< Failed store calls in this phase. */
	uint64_t send_by_ms;
	uint64_t record_until_ms;
	char path[ORDER_PATH_MAX_BYTES];
	order_record_t claim;  /**< Our claim as it is written. */
	order_record_t target; /**< Record to be written when closing. */
	order_answer_t kept;   /**< Answer without a body over the limit. */
	uint64_t version;      /**< Version that the next write replaces. */
	uint8_t endpoint;      /**< Being connected to or asked. */
	bool claim_lost;       /**< A claim write may still take effect. */
	bool other_seen;       /**< A record existed when claiming. */
	bool closing;	       /**< `version` is of another's open claim. */
	bool sent;
	bool replied;
} order_t;

/**
 * Starts an order. The reply can be among the first actions.
 * @param settings must outlive the order
 */
void order_begin(order_t *order, const order_settings_t *settings,
		 const order_request_t *request, uint64_t now_ms,
		 order_actions_t *actions);

/** Advances an order by one event. */
void order_step(order_t *order, const order_event_t *event, uint64_t now_ms,
		order_actions_t *actions);

/** Whether the request was handed out for sending. */
static inline bool order_was_sent(const order_t *order)
{
	return order->sent;
}

/**
 * Removal of old records in the background. Deletes are conditional, so that
 * several instances may sweep at the same time.
 */
typedef struct order_sweep {
	const order_settings_t *settings;
	rng_t *rng;
	uint32_t interval_ms;  /**< Between two sweeps of the whole fleet. */
	uint32_t member_count; /**< Instances that share the work. */
	uint64_t next_ms;
	uint32_t call;
	bool reading;
	char after[ORDER_PATH_MAX_BYTES]; /**< Last key of the last page. */
	size_t pending_count;
	char pending[ORDER_SWEEP_PAGE][ORDER_PATH_MAX_BYTES];
	uint64_t pending_version[ORDER_SWEEP_PAGE];
	bool more;
} order_sweep_t;

/** One record of a page. */
typedef struct order_sweep_item {
	const char *path;
	uint64_t version;
	int64_t created_unix_ms;
} order_sweep_item_t;

typedef enum order_sweep_action_kind {
	ORDER_SWEEP_NONE,
	ORDER_SWEEP_LIST,   /**< List `order/` after `path`. */
	ORDER_SWEEP_DELETE, /**< Delete `path` if it has `version`. */
} order_sweep_action_kind_t;

typedef struct order_sweep_action {
	order_sweep_action_kind_t kind;
	uint32_t call;
	const char *path;
	uint64_t version;
} order_sweep_action_t;

/** Starts a sweep at a random time within its interval. */
void order_sweep_init(order_sweep_t *sweep, const order_settings_t *settings,
		      rng_t *rng, uint32_t interval_ms, uint32_t member_count,
		      uint64_t now_ms);

/** Next call that is due; at most one a step, to leave room for claims. */
order_sweep_action_t order_sweep_step(order_sweep_t *sweep, uint64_t now_ms);

/**
 * Takes one page.
 * @param result 0, or an error kind, which ends this sweep
 * @param count at most ORDER_SWEEP_PAGE items are used
 */
void order_sweep_page(order_sweep_t *sweep, uint32_t call, int result,
		      const order_sweep_item_t *items, size_t count, bool more,
		      int64_t unix_ms);

#endif
