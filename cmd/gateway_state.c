/* State that instances fetch from each other instead of from the store. */
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_peers.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/store_revision.h"

enum {
	/** A watcher fetches a peer's newer state if the store has not sent it
	 * within this time, ms; a small part of the time limit for changes. */
	STORE_PRIORITY_MS = 300,
	FETCH_TIMEOUT_MS = 800,
	/** Minimum interval between two fetches of state, ms. */
	FETCH_MIN_INTERVAL_MS = 250,
	/** A peer whose state could not be fetched is asked last for this long,
	 * ms: enough for several fetches from others. */
	FETCH_FAILED_PENALTY_MS = 3000,
	STATE_HEAD_BYTES = 4096,
	/** Largest answer of a peer, bytes: all of its tables. */
	STATE_MAX_BYTES =
		OBJECT_ENDPOINTS_MAX_BYTES + 2 * OBJECT_OTHERS_MAX_BYTES,
};

/** Path of the state that instances fetch from each other. It is followed by
 * the requesting instance's revision of each table, with a minus in front if
 * the table is not requested. */
#define STATE_PATH "/state?"

/* Serving state to other instances. */

static inbound_limits_t state_request_limits(void *context)
{
	(void)context;
	return (inbound_limits_t){ STATE_HEAD_BYTES, STATE_HEAD_BYTES, 3000,
				   30000, 0 };
}

static char *print_state(const gateway_control_t *control, const char *query)
{
	CLEANUP_JSON json_t *state = json_object();

	for (int i = 0; i < OBJECT_LEASES; i++) {
		bool wanted = *query != '-';
		uint64_t since = strtoull(query + !wanted, (char **)&query, 10);

		query += *query == ',';
		if (!wanted)
			continue;
		json_object_set_new(
			state, object_kind_name((object_kind_t)i),
			object_table_export(&control->view_builder.tables[i],
					    since, clock_now_ms()));
	}
	return json_dumps(state, JSON_COMPACT);
}

static void on_state_request(void *context, inbound_request_t *request)
{
	gateway_peers_t *peers = context;
	CLEANUP_FREE char *text = NULL;
	const char *target = http_head_target(request->head);
	uint64_t begin_ms = clock_now_ms();

	if (gateway_desired_serve(peers, request))
		return;
	if (strncmp(target, STATE_PATH, strlen(STATE_PATH)) != 0) {
		inbound_answer(request, 404, NULL, NULL, 0);
		return;
	}
	text = print_state(peers->control, target + strlen(STATE_PATH));
	event_log(EVENT_STATE_SERVED, "bytes=%zu encode_ms=%llu",
		  text ? strlen(text) : 0,
		  (unsigned long long)(clock_now_ms() - begin_ms));
	if (text)
		inbound_answer(request, 200, NULL, text, strlen(text));
	else
		inbound_answer(request, 503, NULL, NULL, 0);
}

static void ignore_client_event(void *context, inbound_request_t *request)
{
	(void)context;
	(void)request;
}

static void on_request_rejected(void *context, int err,
				struct evbuffer *headers, struct evbuffer *body)
{
	(void)context;
	(void)headers;
	(void)body;
	event_log(EVENT_PEER_REJECTED, "kind=%s", error_type(err));
}

const inbound_callbacks_t gateway_state_callbacks = {
	.limits = state_request_limits,
	.request = on_state_request,
	.client_gone = ignore_client_event,
	.drained = ignore_client_event,
	.refused = on_request_rejected,
};

/* Fetching state from another instance. */

/* From sending a request to the head of its answer; -1: none came. */
static long long first_byte_ms(const state_fetch_t *fetch)
{
	return fetch->head_ms ? (long long)(fetch->head_ms - fetch->sent_ms)
			      : -1;
}

static int import_table(object_table_t *table, const json_t *peer_table,
			uint64_t now_ms)
{
	int result = object_table_import(table, peer_table, now_ms);

	if (table->left_out)
		event_log(EVENT_ENTRIES_LEFT_OUT, "kind=%s count=%u bytes=%zu",
			  object_kind_name(table->kind), table->left_out,
			  table->bytes);
	return result;
}

static void import_state(state_fetch_t *fetch, const json_t *state, size_t len,
			 uint64_t now_ms)
{
	gateway_peers_t *peers = fetch->peers;
	gateway_control_t *control = peers->control;
	bool changed = false;

	fetch->whole = false;
	for (int i = fetch->first_kind; i <= (int)fetch->last_kind; i++) {
		const json_t *table = json_object_get(
			state, object_kind_name((object_kind_t)i));
		int result = 0;

		if (table)
			result = import_table(&control->view_builder.tables[i],
					      table, now_ms);
		if (result > 0 && i == OBJECT_WEIGHTS &&
		    peers->behind_since_ms[i])
			view_builder_fetched_weights(&control->view_builder,
						     peers->behind_since_ms[i]);
		changed |= result > 0;
		fetch->whole |= result < 0;
	}
	event_log(EVENT_PEER_STATE,
		  "changed=%d whole_next=%d bytes=%zu first_ms=%lld ms=%llu",
		  changed, fetch->whole, len, first_byte_ms(fetch),
		  (unsigned long long)(now_ms - fetch->sent_ms));
	if (changed)
		gateway_control_rebuild(control);
}

void gateway_state_failed(state_fetch_t *fetch, int err, uint16_t status,
			  size_t len)
{
	event_log(EVENT_PEER_NO_STATE,
		  "peer=%s result=%s status=%u bytes=%zu first_ms=%lld "
		  "ms=%llu",
		  fetch->peer->heartbeat.name, error_type(err), status, len,
		  first_byte_ms(fetch),
		  (unsigned long long)(clock_now_ms() - fetch->sent_ms));
	fetch->peer->fetch_failed_ms = clock_now_ms();
}

static void on_state_answer(void *context, int err, uint16_t status,
			    const char *body, size_t len)
{
	state_fetch_t *fetch = context;
	CLEANUP_JSON json_t *state = NULL;

	fetch->call = NULL;
	if (!err && status == 200)
		state = json_loadb(body, len, 0, NULL);
	if (state)
		import_state(fetch, state, len, clock_now_ms());
	else
		gateway_state_failed(fetch, err, status, len);
}

static void on_state_head(void *context, const http_head_t *head)
{
	state_fetch_t *fetch = context;

	(void)head;
	fetch->head_ms = clock_now_ms();
}

static bool is_wanted(const state_fetch_t *fetch, int kind)
{
	return kind >= (int)fetch->first_kind &&
	       kind <= (int)fetch->last_kind &&
	       fetch->peers->behind_since_ms[kind];
}

void gateway_state_send(state_fetch_t *fetch, peer_t *peer,
			struct evbuffer *message, http_call_fn *done)
{
	gateway_control_t *control = fetch->peers->control;
	outbound_target_t target = {
		.address.v4 = peer->address,
		.connections_max = FETCH_COUNT,
		.connect_timeout_ms = FETCH_TIMEOUT_MS / 2,
		.user_timeout_ms = FETCH_TIMEOUT_MS,
	};

	snprintf(target.key, sizeof(target.key), "peer/%s",
		 peer->heartbeat.name);
	fetch->call = http_call_send(control->outbound, control->base, &target,
				     message, STATE_MAX_BYTES, FETCH_TIMEOUT_MS,
				     done, fetch);
	if (fetch->call)
		http_call_on_head(fetch->call, on_state_head);
	fetch->peer = peer;
	fetch->sent_ms = clock_now_ms();
	fetch->head_ms = 0;
	fetch->next_ms = fetch->sent_ms +
			 (view_builder_is_complete(&control->view_builder)
				  ? FETCH_MIN_INTERVAL_MS
				  : 0);
}

void gateway_state_fetch_tables(state_fetch_t *fetch, peer_t *peer)
{
	const object_table_t *tables =
		fetch->peers->control->view_builder.tables;
	struct evbuffer *message = evbuffer_new();

	if (!message)
		return;
	evbuffer_add_printf(message, "GET " STATE_PATH);
	for (int i = 0; i < OBJECT_LEASES; i++)
		evbuffer_add_printf(
			message, "%s%llu,", is_wanted(fetch, i) ? "" : "-",
			(unsigned long long)(fetch->whole
						     ? 0
						     : tables[i].revision));
	evbuffer_add_printf(message, " HTTP/1.1\r\nHost: peer\r\n\r\n");
	gateway_state_send(fetch, peer, message, on_state_answer);
	evbuffer_free(message);
}

static bool is_peer_ahead(const gateway_peers_t *peers, const peer_t *peer,
			  object_kind_t kind, uint64_t digest, uint64_t now_ms)
{
	const object_table_t *table =
		&peers->control->view_builder.tables[kind];
	const peer_table_t *peer_table = &peer->heartbeat.tables[kind];

	if (!gateway_peer_is_live(peers, peer, now_ms) || !peer_table->revision)
		return false;
	return !table->complete || (peer_table->revision > table->revision &&
				    peer_table->digest != digest);
}

/* Peers of the same failure domain are asked first, those whose state could not
 * be fetched recently last. */
static uint32_t fetch_preference(const gateway_peers_t *peers,
				 const peer_t *peer, uint64_t now_ms)
{
	if (peer->fetch_failed_ms &&
	    now_ms - peer->fetch_failed_ms < FETCH_FAILED_PENALTY_MS)
		return 0;
	return peer->heartbeat.domain == gateway_domain_hash(peers->control)
		       ? 2
		       : 1;
}

/* Picks a live peer that has a newer revision of the table with different
 * content. The pick is random so that not all instances ask the same peer. */
static peer_t *pick_peer_ahead(const gateway_peers_t *peers, object_kind_t kind,
			       uint64_t now_ms)
{
	uint64_t digest =
		object_table_digest(&peers->control->view_builder.tables[kind]);
	peer_t *picked = NULL;
	uint64_t candidates = 0;
	uint32_t best_preference = 0;

	for (size_t i = 0; i < peers->peer_count; i++) {
		peer_t *peer = peers->peers[i];
		uint32_t rank;

		if (!is_peer_ahead(peers, peer, kind, digest, now_ms))
			continue;
		rank = fetch_preference(peers, peer, now_ms);
		if (rank < best_preference)
			continue;
		if (rank > best_preference)
			candidates = 0;
		best_preference = rank;
		if (!rng_below(&peers->control->rng, ++candidates))
			picked = peer;
	}
	return picked;
}

/* Records for each table since when peers have had newer state. */
static void update_behind_since(gateway_peers_t *peers, uint64_t now_ms)
{
	for (int i = 0; i < OBJECT_LEASES; i++) {
		if (!pick_peer_ahead(peers, (object_kind_t)i, now_ms))
			peers->behind_since_ms[i] = 0;
		else if (!peers->behind_since_ms[i])
			peers->behind_since_ms[i] = now_ms;
	}
}

/* A watcher first gives the store time to send the change. */
static bool is_fetch_due(const gateway_peers_t *peers, int kind,
			 uint64_t now_ms)
{
	uint64_t since_ms = peers->behind_since_ms[kind];

	return since_ms && (!peers->election.watching ||
			    now_ms - since_ms >= STORE_PRIORITY_MS);
}

/* The peer to ask if one of the tables of a fetch is due, or NULL. */
static peer_t *pick_due_peer(const state_fetch_t *fetch, uint64_t now_ms)
{
	const gateway_peers_t *peers = fetch->peers;

	if (fetch->call || now_ms < fetch->next_ms)
		return NULL;
	for (int i = fetch->first_kind; i <= (int)fetch->last_kind; i++) {
		peer_t *peer;
		uint64_t revision;

		if (!is_fetch_due(peers, i, now_ms))
			continue;
		peer = pick_peer_ahead(peers, (object_kind_t)i, now_ms);
		revision = peer->heartbeat.tables[i].revision;
		event_log(EVENT_PEER_AHEAD,
			  "kind=%s peer=%s era=%llu revision=%llu",
			  object_kind_name((object_kind_t)i),
			  peer->heartbeat.name,
			  (unsigned long long)store_revision_era(revision),
			  (unsigned long long)store_revision_number(revision));
		return peer;
	}
	return NULL;
}

void gateway_state_fetch_missing(gateway_peers_t *peers, uint64_t now_ms)
{
	peer_t *peer;

	update_behind_since(peers, now_ms);
	peer = pick_due_peer(&peers->fetches[FETCH_DESIRED], now_ms);
	if (peer)
		gateway_desired_fetch(peers, peer);
	peer = pick_due_peer(&peers->fetches[FETCH_TABLES], now_ms);
	if (peer)
		gateway_state_fetch_tables(&peers->fetches[FETCH_TABLES], peer);
}

void gateway_state_open(gateway_peers_t *peers)
{
	peers->fetches[FETCH_DESIRED] =
		(state_fetch_t){ .peers = peers,
				 .first_kind = OBJECT_DESIRED,
				 .last_kind = OBJECT_DESIRED };
	peers->fetches[FETCH_TABLES] =
		(state_fetch_t){ .peers = peers,
				 .first_kind = OBJECT_ENDPOINTS,
				 .last_kind = OBJECT_MEMBERS };
}

void gateway_state_close(gateway_peers_t *peers)
{
	for (int i = 0; i < FETCH_COUNT; i++) {
		if (peers->fetches[i].call)
			http_call_cancel(peers->fetches[i].call);
	}
}
