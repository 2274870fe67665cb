/**
 * @file
 * Test rig: gateways as real processes, with endpoints and a store that are
 * simulated in the test.
 */
#ifndef T_LIB_PLATFORM_RIG_H
#define T_LIB_PLATFORM_RIG_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "t/lib/clock_shift.h"
#include "t/lib/harness.h"
#include "t/lib/platform_store.h"
#include "t/lib/raw_server.h"

/** Header lines of a request to the engines of the rig. */
#define MODEL_HEADERS \
	"Model: m\r\nToken-Usage: 100,4\r\nPrompt-Prefix: a:50,b:50\r\n"

enum {
	ENDPOINT_COUNT = 2,
	ENGINES_MAX = 6,
	ENDPOINT_HOLDER_MAX_BYTES = 64,
	GATEWAYS_MAX = 3,
	EVENT_COUNT = 4,
};

/** How a simulated endpoint answers requests. */
typedef enum behaviour {
	ANSWER,
	REFUSE,		  /**< Does not run it: `Not-Executed`. */
	FAIL,		  /**< Runs it and answers 500. */
	RESET_CONNECTION, /**< Runs it and resets the connection. */
	WRONG_ID_FIRST,	  /**< Sends an answer to another request first. */
	EXTRA_FIRST,	  /**< Sends `extra_bytes` first,
			   * also before the answer to an order. */
	STALE_REFUSAL,	  /**< Sends an earlier refusal first, then runs it. */
	NAMELESS_REFUSAL, /**< Likewise, but without the request's id. */
	NAMELESS_MISDIRECTED, /**< Likewise, with status 421. */
	TRUNCATE_EVENT,	      /**< Ends a stream within its third event. */
	NO_LENGTH,	      /**< Ends the answer by closing the connection. */
	HOLD,	 /**< Goes on as `after_release` once `release` is set. */
	STALL,	 /**< Sends nothing after the second event. */
	ENDLESS, /**< Sends `endless` until the peer closes. */
	UNFRAMED_STREAM, /**< Ends a stream by closing the connection. */
	UNFRAMED_CUT,	 /**< Likewise, but within its third event. */
	UNFRAMED_RESET,	 /**< Likewise, but by a reset after its second. */
	NO_LENGTH_RESET, /**< Resets an answer that has no length. */
	NO_LENGTH_END,	 /**< Sends such an answer and reads no further. */
	CUT,		 /**< Sends the first `cut_bytes` of `cut_answer`. */
} behaviour_t;

/** Answer without an end. */
typedef struct endless_answer {
	const char
		*start; /**< First bytes; `%s` stands for the request's id. */
	const char *piece; /**< Then sent again and again. */
	uint32_t pause_ms; /**< Between two pieces. */
} endless_answer_t;

/** A simulated endpoint: plain service or engine. */
typedef struct endpoint {
	raw_server_t *server;
	char id[16];
	const char *service;
	/** Version of its software in its entry of the endpoint list; NULL: the
	 * entry has none. */
	const char *software;
	int number;
	_Atomic int behaviour;
	_Atomic bool release; /**< Ends HOLD and STALL. */
	_Atomic int after_release;
	/** Behaviour for the next stream at any of the endpoints that share
	 * this; ANSWER from then on. NULL: `behaviour` applies. */
	_Atomic int *next_behaviour;
	/** The events of its streams contain its id. */
	bool names_itself;
	_Atomic int event_count; /**< Of its streams; 0: EVENT_COUNT. */
	/** Before each event after the second one, until `release`. */
	_Atomic uint32_t event_pause_ms;
	_Atomic uint32_t delay_ms; /**< Before each answer. */
	const endless_answer_t *endless;
	const char *_Atomic cut_answer; /**< `%s`: the request's id. */
	_Atomic uint32_t cut_bytes;
	const char *_Atomic extra_bytes; /**< Belong to no request. */
	_Atomic bool cut_resets;	 /**< Else it closes in order. */
	_Atomic uint32_t endless_open;	 /**< Endless answers in progress. */
	_Atomic uint32_t arrivals;	 /**< Requests received. */
	/** Header lines of its answers to requests; NULL: none. */
	const char *_Atomic more_headers;
	_Atomic int entries;	 /**< Entries of the endpoint list written. */
	_Atomic uint32_t orders; /**< Weights orders received. */
	/** Orders whose fencing number had been another holder's, or was below
	 * that of an order before. */
	_Atomic uint32_t fenced_orders;
	_Atomic uint64_t fencing;		/**< Highest of the orders. */
	char holder[ENDPOINT_HOLDER_MAX_BYTES]; /**< That had this number. */
	_Atomic bool drops_orders; /**< Neither answers nor executes them. */
	/** The next order stays on the way until `order_arrives`. */
	_Atomic bool delays_order;
	_Atomic bool order_arrives;
	_Atomic uint32_t delayed_orders; /**< Orders that are on the way. */
	_Atomic uint32_t reports;	 /**< Requests for a report. */
	/** Answer to reports and orders; NULL: a proper one. */
	const endless_answer_t *endless_control;
	_Atomic uint32_t endless_control_ends;
	/** Refuses requests that expect other weights than it has. */
	_Atomic bool checks_weights;
	/** A request whose head contains this text crashes the endpoint, which
	 * starts again at once; NULL for none. */
	const char *deadly_text;
	/** It sends the head of an answer without length before it crashes,
	 * and its connection is closed in order. */
	bool crashes_unframed;
	_Atomic uint32_t crashes;
	_Atomic uint64_t weights; /**< Current weights version. */
	pthread_mutex_t lock;
	char *last_head; /**< Of the last request; protected by `lock`. */
	/** Called for each request that the endpoint runs; may be NULL. */
	void (*on_run)(void *context, const struct endpoint *endpoint,
		       const char *id);
	void *context;
	platform_store_t *store; /**< Holds its entry of the endpoint list. */
} endpoint_t;

/** Settings of the gateways; 0 for the default. */
typedef struct platform_rig_options {
	uint32_t weights_ms; /**< See --weights-ms. */
	uint32_t lease_ms;   /**< See --lease-ms. */
	/** Routes of the desired state that get no requests. */
	int idle_routes;
	int attempts_max;    /**< Of each route. */
	int connections_max; /**< Of each endpoint. */
	int timeout_ms;	     /**< Of each route. */
	int body_max_bytes;  /**< Of a request. */
	int engines;	     /**< At most ENGINES_MAX. */
	/** Versions of the engines' software; events of the engines contain
	 * the engine's id. NULL: the entries of the engines have none. */
	const char *const *engine_software;
	/** Each gateway has a time of day of its own. */
	bool own_clocks;
	bool no_forwarding; /**< No --forward-port. */
	bool metrics;	    /**< For platform_rig_metric(). */
	/** More fields of the first customer, as a JSON object; NULL: none. */
	const char *customer_fields;
} platform_rig_options_t;

typedef struct platform_rig {
	platform_rig_options_t options;
	platform_store_t *store;
	endpoint_t services[ENDPOINT_COUNT]; /**< Of one plain service. */
	endpoint_t engines[ENGINES_MAX];
	program_t *gateways[GATEWAYS_MAX];
	uint16_t ports[GATEWAYS_MAX];
	uint16_t ready_ports[GATEWAYS_MAX];
	uint16_t peer_ports[GATEWAYS_MAX];
	uint16_t forward_port; /**< Of all gateways. */
	/** Port that a gateway takes for the store's; 0: the store's. */
	uint16_t store_ports[GATEWAYS_MAX];
	clock_shift_t *clocks[GATEWAYS_MAX]; /**< With `own_clocks`. */
	/** See t/detour.c; NULL: the gateway's connections go where they
	 * should. */
	const char *detour_files[GATEWAYS_MAX];
	/** Program to start as a gateway, for example of another release; NULL:
	 * the one of this build. */
	const char *programs[GATEWAYS_MAX];
	uint16_t metrics_ports[GATEWAYS_MAX]; /**< With `metrics`. */
} platform_rig_t;

/** Starts the store, endpoints and gateways, and waits until they are ready. */
void platform_rig_start(platform_rig_t *rig, int gateways);
void platform_rig_start_with(platform_rig_t *rig, int gateways,
			     const platform_rig_options_t *options);
void platform_rig_stop(platform_rig_t *rig);

/** Starts a gateway, or restarts it on the same ports. */
void platform_rig_start_gateway(platform_rig_t *rig, int index);

/** Kills all gateways with SIGKILL. */
void platform_rig_kill_gateways(platform_rig_t *rig);

/** Whether the readiness probe of a gateway succeeds. */
bool platform_rig_is_ready(platform_rig_t *rig, int gateway);

/** Writes an endpoint's entry of the endpoint list to the store. */
void platform_rig_put_entry(endpoint_t *endpoint, const char *state);

/** Writes the entry of another endpoint, which the same server plays. */
void platform_rig_put_alias(endpoint_t *endpoint, const char *id);

/**
 * Writes a desired state with two customers: one with `key`, and an isolated
 * one with the key `key-w`.
 */
void platform_rig_put_desired(platform_rig_t *rig, int version,
			      const char *key);

/** Puts a configuration in force at all gateways in which the first customer
 * has these fields; NULL: no more than its keys. */
void platform_rig_set_customer(platform_rig_t *rig, int version,
			       const char *fields);

/** The first of the gateways in rendezvous order of the first customer. */
int platform_rig_owner(int gateways);

/** Value of a metric, with its labels as they are printed; -1 if the gateway
 * does not tell it. */
int64_t platform_rig_metric(const platform_rig_t *rig, int gateway,
			    const char *metric);

/** Whether the first engines, ENDPOINT_COUNT of them, have these weights. */
bool platform_rig_have_weights(const platform_rig_t *rig, uint64_t version);

/** Writes the target weights of the model `m`. */
void platform_rig_put_target_weights(platform_rig_t *rig, int version);

/** Sends a request to a gateway and reads until it closes; g_free() it. */
char *platform_rig_request(const platform_rig_t *rig, int gateway,
			   const char *method, const char *path,
			   const char *more);

/** An answer that is read bit by bit. */
typedef struct platform_rig_stream {
	int fd;
	GString *answer; /**< Received so far. */
} platform_rig_stream_t;

/** Sends a request, as the text that goes over the connection. */
void platform_rig_open_stream(platform_rig_stream_t *stream,
			      const platform_rig_t *rig, int gateway,
			      const char *request);

/** Reads until the answer contains an event.
 * @return false if the connection has ended before */
bool platform_rig_read_event(platform_rig_stream_t *stream, int number);

/** Closes the client's end of the connection. */
void platform_rig_close_stream(platform_rig_stream_t *stream);

/** A request to the first gateway that a thread of its own sends. */
typedef struct platform_rig_call {
	const platform_rig_t *rig;
	const char *method;
	const char *path;
	const char *headers;
	char *answer; /**< g_free() it after platform_rig_join_call(). */
	_Atomic bool done;
	pthread_t thread;
} platform_rig_call_t;

void platform_rig_start_call(platform_rig_call_t *call,
			     const platform_rig_t *rig, const char *method,
			     const char *path, const char *headers);

/** Waits until the answer is complete. */
void platform_rig_join_call(platform_rig_call_t *call);

/** Whether the answer to a request of the plain service has this status. */
bool platform_rig_has_status(const platform_rig_t *rig, int gateway,
			     const char *status);

/** Gateway that holds the weights lease; -1 if none does. */
int platform_rig_lease_holder(const platform_rig_t *rig);

/** Ends HOLD, STALL and delays at both endpoints of a service. */
void platform_rig_release(endpoint_t *endpoints);

/** Requests received by both endpoints of a service. */
uint32_t platform_rig_arrivals(const endpoint_t *endpoints);

/** Sets header lines of the answers of both endpoints of a service. */
void platform_rig_set_headers(endpoint_t *endpoints, const char *lines);

/** Sets the behaviour of both endpoints of a service. */
void platform_rig_set_behaviour(endpoint_t *endpoints, behaviour_t behaviour);

/** The endpoint that has received requests. */
const endpoint_t *platform_rig_used_endpoint(const endpoint_t *endpoints);

/** Fails the test unless an answer has each event of a stream once, in order.
 */
void platform_rig_assert_events(const char *answer);

#endif
