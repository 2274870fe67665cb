/* Heartbeats to and from other instances, their loads, and the election of the
 * instances that watch the store. */
#include "cmd/gateway_peers.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cmd/gateway_streams.h"
#include "platform/platform_desired.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "process/stream_report.h"

enum {
	/** Interval of heartbeats, ms, which is the greatest age of peer loads.
	 * Above HEARTBEAT_FULL_RATE_MAX instances it grows with each further
	 * one, because every instance receives the heartbeats of all. */
	HEARTBEAT_MS = 200,
	HEARTBEAT_PER_INSTANCE_MS = 3,
	HEARTBEAT_FULL_RATE_MAX = 20,
	/** Interval while crash news wait, ms. */
	CRASH_NEWS_INTERVAL_MS = 50,
	/** Shortest interval of heartbeats because of news of endpoints, ms. */
	ENDPOINT_NEWS_INTERVAL_MS = 100,
	/** Heartbeats sent at once for crash news that one cannot hold. */
	HEARTBEATS_AT_ONCE_MAX = 4,
	/** A peer without a heartbeat for this many intervals does not count as
	 * live. */
	PEER_LIVE_HEARTBEATS = 6,
	/** Time after the start until heartbeats of all peers have arrived,
	 * ms. */
	START_DISCOVERY_MS = 700,
	/** A lease holder without a heartbeat for this long may be gone, ms. */
	HOLDER_LIVE_MS = 700,
	/** The end of an endpoint's limit is reported for this long, ms:
	 * several heartbeats of the longest interval. */
	LIMIT_END_REPORTED_MS = 5000,
	/** All instances may fetch state from this one at the same time. */
	PEER_CONNECTIONS_MAX = PEERS_MAX,
	/** Total size of request bodies; requests of peers have none. */
	REQUEST_BODIES_MAX_BYTES = 4096,
};

/* Interval of heartbeats, ms, of an instance on which no others depend; it is
 * longer with more instances. */
static uint64_t base_heartbeat_interval(size_t count)
{
	return HEARTBEAT_MS + (count > HEARTBEAT_FULL_RATE_MAX
				       ? (count - HEARTBEAT_FULL_RATE_MAX) *
						 HEARTBEAT_PER_INSTANCE_MS
				       : 0);
}

static uint64_t own_heartbeat_interval(const gateway_peers_t *peers)
{
	size_t count = peers->target_count;

	/* Other instances depend on the lease holder and on the watchers. */
	if (peers->election.watching ||
	    gateway_rollout_fencing(peers->control->rollout))
		return HEARTBEAT_MS;
	return base_heartbeat_interval(count);
}

bool gateway_peer_is_live(const gateway_peers_t *peers, const peer_t *peer,
			  uint64_t now_ms)
{
	uint64_t interval_ms =
		peer->heartbeat.watching || peer->heartbeat.store_fails ||
				peer->heartbeat.fencing
			? HEARTBEAT_MS
			: base_heartbeat_interval(peers->target_count);

	return peer->order.received_ms &&
	       now_ms - peer->order.received_ms <
		       PEER_LIVE_HEARTBEATS * interval_ms;
}

uint32_t gateway_domain_hash(const gateway_control_t *control)
{
	return (uint32_t)hash_string(control->gateway->settings.domain);
}

/* Heartbeats. */

static void fill_loads(const view_t *view, peer_heartbeat_t *heartbeat)
{
	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_load_t *load = view->endpoints[i].load;
		peer_load_t *reported =
			&heartbeat->loads[heartbeat->load_count];

		if (!atomic_load(&load->own_running) ||
		    heartbeat->load_count == PEER_LOADS_MAX ||
		    peer_heartbeat_free_bytes(heartbeat) < PEER_LOAD_BYTES)
			continue;
		reported->endpoint =
			peer_endpoint_key(load->id_hash, load->started_unix_ms);
		reported->runs = atomic_load(&load->own_running);
		reported->tokens = atomic_load(&load->own_reserved_tokens);
		reported->prefill = atomic_load(&load->own_prefill_tokens);
		heartbeat->load_count++;
	}
}

static void fill_ejected(const view_t *view, peer_heartbeat_t *heartbeat,
			 uint64_t now_ms)
{
	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_load_t *load = view->endpoints[i].load;
		uint64_t ejected_until_ms =
			atomic_load(&load->ejected_until_ms);

		/* Includes only failures that this instance saw itself: if
		 * instances repeated those of others, they would eject an
		 * endpoint forever. */
		if (ejected_until_ms <= now_ms ||
		    !atomic_load(&load->failures) ||
		    heartbeat->failed_count == PEER_FAILED_MAX)
			continue;
		heartbeat->failed[heartbeat->failed_count++] = (peer_failed_t){
			peer_endpoint_key(load->id_hash, load->started_unix_ms),
			(uint32_t)(ejected_until_ms - now_ms)
		};
	}
}

/* Includes only what endpoints told this instance itself. */
static void fill_limits(const view_t *view, peer_heartbeat_t *heartbeat,
			uint64_t now_ms)
{
	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_load_t *load = view->endpoints[i].load;
		uint64_t changed_ms = atomic_load(&load->limit_changed_ms);
		uint32_t limit = atomic_load(&load->limit);

		if (!changed_ms || heartbeat->limit_count == PEER_LIMITS_MAX ||
		    (limit == ENDPOINT_UNLIMITED &&
		     now_ms > changed_ms + LIMIT_END_REPORTED_MS) ||
		    peer_heartbeat_free_bytes(heartbeat) < PEER_LIMIT_BYTES)
			continue;
		heartbeat->limits[heartbeat->limit_count++] = (peer_limit_t){
			peer_endpoint_key(load->id_hash, load->started_unix_ms),
			limit,
			(uint32_t)(now_ms - atomic_load(&load->limit_known_ms)),
		};
	}
}

/* The clock is sent once a limit is known, as no turns are needed before. */
static void fill_turn_clock(const gateway_control_t *control,
			    peer_heartbeat_t *heartbeat, uint64_t now_ms)
{
	const view_t *view = control->view_builder.view;

	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		if (atomic_load(&view->endpoints[i].load->limit) ==
		    ENDPOINT_UNLIMITED)
			continue;
		heartbeat->turn_clock_ms = limit_turns_clock(
			&control->gateway->limit_turns, now_ms);
		return;
	}
}

static void fill_crash_news(crash_ring_t *ring, peer_heartbeat_t *heartbeat,
			    uint64_t now_ms)
{
	crash_report_t report;

	while (heartbeat->crash_news_count < PEER_CRASH_NEWS_MAX &&
	       peer_heartbeat_free_bytes(heartbeat) >= PEER_CRASH_NEWS_BYTES &&
	       crash_ring_take(ring, &report))
		heartbeat->crash_news[heartbeat->crash_news_count++] =
			crash_report_news(&report, now_ms);
}

static void fill_endpoint_news(gateway_peers_t *peers,
			       peer_heartbeat_t *heartbeat, uint64_t now_ms)
{
	endpoint_news_ring_t *ring =
		&peers->control->gateway->own_endpoint_news;
	uint32_t *count = &heartbeat->endpoint_news_count;
	endpoint_report_t report;

	while (*count < PEER_ENDPOINT_NEWS_MAX &&
	       peer_heartbeat_free_bytes(heartbeat) >=
		       PEER_ENDPOINT_NEWS_COUNT_BYTES +
			       PEER_ENDPOINT_NEWS_BYTES &&
	       endpoint_news_ring_take(ring, &report)) {
		if (endpoint_news_describe(&report, now_ms,
					   &heartbeat->endpoint_news[*count]))
			(*count)++;
	}
	if (!*count)
		return;
	peers->sent_news_ms = now_ms;
	metrics_add(METRIC_ENDPOINT_NEWS_SENT, *count);
}

static void fill_hints(hint_ring_t *ring, peer_heartbeat_t *heartbeat)
{
	while (heartbeat->hint_count < PEER_HINTS_MAX &&
	       peer_heartbeat_free_bytes(heartbeat) >= PEER_HINT_BYTES &&
	       hint_ring_take(ring, &heartbeat->hints[heartbeat->hint_count]))
		heartbeat->hint_count++;
}

/* Fills and encodes a heartbeat; returns its length in bytes, or an error.
 * Hints and crash news are sent only once, so only a heartbeat to all may take
 * them. */
static int encode_heartbeat(gateway_peers_t *peers, bool to_all,
			    char bytes[PEER_HEARTBEAT_MAX_BYTES])
{
	gateway_control_t *control = peers->control;
	uint64_t now_ms = clock_now_ms();
	peer_heartbeat_t heartbeat = {
		.incarnation = control->incarnation,
		.sequence = ++peers->sequence,
		.stopping = control->gateway->stopping,
		.watching = peers->election.watching &&
			    gateway_control_store_reachable(control),
		.store_fails = gateway_control_store_contact(control).fails,
		.yielded =
			watcher_election_has_yielded(&peers->election, now_ms),
		.domain = gateway_domain_hash(control),
		.link_mbps = (uint32_t)control->gateway->settings.link_mbps,
		.fencing = gateway_rollout_fencing(control->rollout)
	};

	memcpy(heartbeat.name, control->gateway->peer_name,
	       sizeof(heartbeat.name));
	for (int i = 0; i < PEER_TABLE_COUNT; i++) {
		const object_table_t *table = &control->view_builder.tables[i];

		if (!table->complete)
			continue;
		heartbeat.tables[i].revision = table->revision;
		heartbeat.tables[i].digest = object_table_digest(table);
	}
	gateway_forward_fill_heartbeat(control->gateway, &heartbeat);
	gateway_streams_fill_heartbeat(control->streams, &heartbeat, now_ms);
	fill_ejected(control->view_builder.view, &heartbeat, now_ms);
	/* Before weights and loads, which the next heartbeat repeats. */
	if (to_all)
		fill_crash_news(&control->gateway->own_crash_news, &heartbeat,
				now_ms);
	if (to_all)
		fill_endpoint_news(peers, &heartbeat, now_ms);
	fill_limits(control->view_builder.view, &heartbeat, now_ms);
	fill_turn_clock(control, &heartbeat, now_ms);
	gateway_rollout_fill_heartbeat(control->rollout, &heartbeat, now_ms);
	fill_loads(control->view_builder.view, &heartbeat);
	if (to_all)
		fill_hints(&control->gateway->own_hints, &heartbeat);
	return peer_heartbeat_encode(&heartbeat, bytes,
				     PEER_HEARTBEAT_MAX_BYTES);
}

/* Errors are ignored: the next heartbeat replaces a lost one. */
void gateway_peers_send_to(const gateway_peers_t *peers, const char *bytes,
			   size_t len, const struct sockaddr_in *target)
{
	(void)sendto(peers->fd, bytes, len, 0, (const struct sockaddr *)target,
		     sizeof(*target));
	metrics_add(METRIC_PEER_BYTES_SENT, (int64_t)len);
}

static void send_to_all(gateway_peers_t *peers)
{
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len = encode_heartbeat(peers, true, bytes);

	peers->sent_ms = clock_now_ms();
	peers->sent_lost_count =
		atomic_load(&peers->control->gateway->lost_services.count);
	for (size_t i = 0; len > 0 && i < peers->target_count; i++)
		gateway_peers_send_to(peers, bytes, (size_t)len,
				      &peers->targets[i]);
}

static bool has_crash_news(const gateway_peers_t *peers)
{
	return !crash_ring_is_empty(&peers->control->gateway->own_crash_news);
}

static bool has_endpoint_news(const gateway_peers_t *peers)
{
	return !endpoint_news_ring_is_empty(
		&peers->control->gateway->own_endpoint_news);
}

void gateway_peers_send_heartbeat(gateway_peers_t *peers)
{
	int count = 0;

	do {
		send_to_all(peers);
	} while (++count < HEARTBEATS_AT_ONCE_MAX && has_crash_news(peers));
}

/* Answers the first heartbeat of a peer, so that an instance that has just
 * started learns of the others at once. Only watchers answer other domains. */
static void answer_new_peer(gateway_peers_t *peers, const peer_t *peer)
{
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	if (peer->heartbeat.domain != gateway_domain_hash(peers->control) &&
	    !peers->election.watching)
		return;
	len = encode_heartbeat(peers, false, bytes);
	if (len > 0)
		gateway_peers_send_to(peers, bytes, (size_t)len,
				      &peer->address);
}

static endpoint_load_t *find_load(const gateway_peers_t *peers, uint64_t key)
{
	const view_t *view = peers->control->view_builder.view;

	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		endpoint_load_t *load = view->endpoints[i].load;

		if (peer_endpoint_key(load->id_hash, load->started_unix_ms) ==
		    key)
			return load;
	}
	return NULL;
}

static void apply_peer_weights(gateway_peers_t *peers,
			       const peer_heartbeat_t *heartbeat,
			       uint64_t now_ms)
{
	for (uint32_t i = 0; i < heartbeat->weights_count; i++) {
		const peer_weights_t *reported = &heartbeat->weights[i];
		endpoint_load_t *load = find_load(peers, reported->endpoint);

		if (!load)
			continue;
		if (reported->weights > atomic_load(&load->observed_weights))
			atomic_store(&load->observed_weights,
				     reported->weights);
		atomic_store(&load->loading_until_ms,
			     reported->loading_ms
				     ? now_ms + reported->loading_ms
				     : 0);
	}
}

static void apply_peer_limits(gateway_peers_t *peers,
			      const peer_heartbeat_t *heartbeat,
			      uint64_t now_ms)
{
	for (uint32_t i = 0; i < heartbeat->limit_count; i++) {
		const peer_limit_t *reported = &heartbeat->limits[i];
		endpoint_load_t *load = find_load(peers, reported->endpoint);

		if (!load || reported->age_ms > now_ms ||
		    !endpoint_load_set_limit(load, reported->limit,
					     now_ms - reported->age_ms))
			continue;
		/* The peer reports it on. */
		atomic_store(&load->limit_changed_ms, 0);
		event_log(EVENT_ENDPOINT_LIMIT,
			  "endpoint=%s per_1000_s=%lld peer=%s", load->id,
			  endpoint_limit_logged(reported->limit),
			  heartbeat->name);
	}
}

/* Applies endpoint failures that a peer reports. A peer that reports many, or
 * that it has lost the paths to them, is ignored: it is cut off itself. */
static void apply_peer_ejections(gateway_peers_t *peers,
				 const peer_heartbeat_t *heartbeat,
				 uint64_t now_ms)
{
	const view_t *view = peers->control->view_builder.view;

	if (!view || heartbeat->lost_count ||
	    heartbeat->failed_count * 2 > view->endpoint_count ||
	    heartbeat->failed_count == PEER_FAILED_MAX)
		return;
	for (uint32_t i = 0; i < heartbeat->failed_count; i++) {
		const peer_failed_t *reported = &heartbeat->failed[i];
		endpoint_load_t *load = find_load(peers, reported->endpoint);
		bool is_known;

		if (!load)
			continue;
		is_known = endpoint_news_is_unreachable(load, now_ms) ||
			   !endpoint_load_ejection_is_first(load, now_ms);
		if (endpoint_load_peer_failed(load, reported->ejected_ms,
					      now_ms) &&
		    !is_known)
			event_log(EVENT_ENDPOINT_EJECTED,
				  "endpoint=%s peer=%s for_ms=%u", load->id,
				  heartbeat->name, reported->ejected_ms);
	}
}

static void receive_group_news(const view_group_t *group, const peer_t *peer,
			       uint64_t now_ms, endpoint_news_counts_t *counts)
{
	const peer_heartbeat_t *heartbeat = &peer->heartbeat;
	endpoint_news_sender_t sender = { peer->name_hash,
					  heartbeat->lost_count > 0 };
	endpoint_load_t **loads =
		calloc(group->count + 1, sizeof(endpoint_load_t *));

	for (size_t i = 0; loads && i < group->count; i++)
		loads[i] = group->entries[i]->load;
	if (loads)
		endpoint_news_receive(loads, group->count,
				      heartbeat->endpoint_news,
				      heartbeat->endpoint_news_count, &sender,
				      now_ms, counts);
	free(loads);
}

static void apply_endpoint_news(gateway_peers_t *peers, const peer_t *peer,
				uint64_t now_ms)
{
	const view_t *view = peers->control->view_builder.view;
	const peer_heartbeat_t *heartbeat = &peer->heartbeat;
	endpoint_news_counts_t counts = { 0 };

	if (!view || !heartbeat->endpoint_news_count)
		return;
	for (size_t i = 0; i < view->desired->service_count; i++)
		receive_group_news(&view->groups[i], peer, now_ms, &counts);
	metrics_add(METRIC_ENDPOINT_NEWS_RECEIVED,
		    heartbeat->endpoint_news_count);
	metrics_add(METRIC_ENDPOINT_NEWS_APPLIED, counts.applied);
	event_log(EVENT_ENDPOINT_NEWS,
		  "peer=%s count=%u applied=%u known=%u ignored=%u lost=%u",
		  heartbeat->name, heartbeat->endpoint_news_count,
		  counts.applied, counts.known, counts.ignored,
		  heartbeat->lost_count);
}

static peer_t *find_or_add_peer(gateway_peers_t *peers, const char *name)
{
	peer_t *peer;

	for (size_t i = 0; i < peers->peer_count; i++) {
		if (!strcmp(peers->peers[i]->heartbeat.name, name))
			return peers->peers[i];
	}
	if (peers->peer_count == PEERS_MAX)
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	peer->name_hash = hash_string(name);
	peers->peers[peers->peer_count++] = peer;
	return peer;
}

static void pass_crash_news(gateway_peers_t *peers,
			    const peer_heartbeat_t *heartbeat, uint64_t now_ms)
{
	for (uint32_t i = 0; i < heartbeat->crash_news_count; i++) {
		crash_report_t report = crash_report_from_news(
			&heartbeat->crash_news[i], now_ms);

		crash_ring_put(&peers->control->gateway->peer_crash_news,
			       &report);
	}
}

static void on_heartbeat(gateway_peers_t *peers,
			 const peer_heartbeat_t *heartbeat,
			 const struct sockaddr_in *from)
{
	uint64_t now_ms = clock_now_ms();
	peer_datagram_t datagram;
	peer_t *peer;
	bool was_live;
	bool is_new;

	if (!strcmp(heartbeat->name, peers->control->gateway->peer_name))
		return;
	peer = find_or_add_peer(peers, heartbeat->name);
	if (!peer)
		return;
	was_live = gateway_peer_is_live(peers, peer, now_ms);
	datagram =
		peer_incarnation_receive(&peer->order, heartbeat->incarnation,
					 heartbeat->sequence, now_ms);
	if (datagram == PEER_DATAGRAM_OLD)
		return;
	is_new = !was_live || datagram == PEER_DATAGRAM_NEW_PROCESS;
	if (is_new)
		event_log(EVENT_PEER_APPEARED, "peer=%s incarnation=%llu",
			  heartbeat->name,
			  (unsigned long long)heartbeat->incarnation);
	if (datagram == PEER_DATAGRAM_NEW_PROCESS)
		peer->sends_whole = false;
	peer->heartbeat = *heartbeat;
	peer->address = *from;
	peer->arrived_after_ms = peers->drained_ms;
	if (is_new)
		answer_new_peer(peers, peer);
	if (heartbeat->fencing)
		apply_peer_weights(peers, heartbeat, now_ms);
	apply_endpoint_news(peers, peer, now_ms);
	apply_peer_ejections(peers, heartbeat, now_ms);
	limit_turns_receive(&peers->control->gateway->limit_turns,
			    heartbeat->turn_clock_ms, now_ms);
	apply_peer_limits(peers, heartbeat, now_ms);
	for (uint32_t i = 0; i < heartbeat->hint_count; i++)
		hint_ring_put(&peers->control->gateway->peer_hints,
			      &heartbeat->hints[i]);
	pass_crash_news(peers, heartbeat, now_ms);
}

/* Reads and handles a datagram; false if none was waiting. */
static bool read_datagram(gateway_peers_t *peers)
{
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	peer_heartbeat_t heartbeat;
	ssize_t len = recvfrom(peers->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
			       (struct sockaddr *)&from, &from_len);

	if (len <= 0)
		return false;
	metrics_add(METRIC_PEER_BYTES_RECEIVED, len);
	if (stream_report_is_one(bytes, (size_t)len))
		gateway_streams_receive(peers->control->streams, bytes,
					(size_t)len);
	else if (peer_heartbeat_decode(&heartbeat, bytes, (size_t)len))
		metrics_add(METRIC_PEER_REJECTED, 1);
	else
		on_heartbeat(peers, &heartbeat, &from);
	return true;
}

static void drain_datagrams(gateway_peers_t *peers)
{
	uint64_t begin_ms;

	do {
		begin_ms = clock_boot_ms();
	} while (read_datagram(peers));
	peers->drained_ms = begin_ms;
}

static void on_readable(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	drain_datagrams(context);
}

/* Loads of the peers at each endpoint. */

static void add_peer_loads(const peer_t *peer, const view_t *view)
{
	for (uint32_t l = 0; l < peer->heartbeat.load_count; l++) {
		const peer_load_t *reported = &peer->heartbeat.loads[l];

		for (size_t i = 0; i < view->endpoint_count; i++) {
			endpoint_load_t *load = view->endpoints[i].load;

			if (peer_endpoint_key(load->id_hash,
					      load->started_unix_ms) !=
			    reported->endpoint)
				continue;
			load->peer_running += reported->runs;
			load->peer_reserved_tokens += reported->tokens;
			load->peer_prefill_tokens += reported->prefill;
		}
	}
}

static void sum_loads(gateway_peers_t *peers, uint64_t now_ms)
{
	const view_t *view = peers->control->view_builder.view;

	if (!view)
		return;
	for (size_t i = 0; i < view->endpoint_count; i++) {
		endpoint_load_t *load = view->endpoints[i].load;

		atomic_store(&load->peer_running, 0);
		atomic_store(&load->peer_reserved_tokens, 0);
		atomic_store(&load->peer_prefill_tokens, 0);
	}
	for (size_t i = 0; i < peers->peer_count; i++) {
		if (gateway_peer_is_live(peers, peers->peers[i], now_ms))
			add_peer_loads(peers->peers[i], view);
	}
}

static void count_live_instances(const gateway_peers_t *peers, uint64_t now_ms)
{
	gateway_t *gateway = peers->control->gateway;
	uint32_t live = 1;
	uint32_t rank = 0;

	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (!gateway_peer_is_live(peers, peer, now_ms))
			continue;
		live++;
		if (strcmp(peer->heartbeat.name, gateway->peer_name) < 0)
			rank++;
	}
	atomic_store(&gateway->instances, live);
	atomic_store(&gateway->rank, rank);
	metrics_set(METRIC_MEMBERS_LIVE, live);
}

/* Right after the start the others have not been heard yet. */
static void draw_limit_turns(gateway_peers_t *peers, uint64_t now_ms)
{
	gateway_t *gateway = peers->control->gateway;
	uint64_t others[PEERS_MAX];
	size_t count = 0;

	if (now_ms - peers->started_ms < START_DISCOVERY_MS)
		return;
	for (size_t i = 0; i < peers->peer_count; i++) {
		if (gateway_peer_is_live(peers, peers->peers[i], now_ms))
			others[count++] = peers->peers[i]->name_hash;
	}
	limit_turns_draw(&gateway->limit_turns, peers->name_hash, others, count,
			 now_ms);
}

const char *gateway_peers_lease_holder(const gateway_peers_t *peers,
				       uint64_t now_ms)
{
	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (peer->order.received_ms && peer->heartbeat.fencing &&
		    now_ms - peer->order.received_ms < HOLDER_LIVE_MS)
			return peer->heartbeat.name;
	}
	return NULL;
}

bool gateway_peers_is_first_watcher(const gateway_peers_t *peers,
				    uint64_t now_ms)
{
	const gateway_control_t *control = peers->control;

	if (!peers->election.watching || control->gateway->stopping ||
	    !gateway_control_store_reachable(control))
		return false;
	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (gateway_peer_is_live(peers, peer, now_ms) &&
		    peer->heartbeat.watching && !peer->heartbeat.stopping &&
		    strcmp(peer->heartbeat.name, control->gateway->peer_name) <
			    0)
			return false;
	}
	return true;
}

void gateway_peers_store_contact(const gateway_peers_t *peers, uint64_t now_ms,
				 store_contact_t *contact)
{
	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (!gateway_peer_is_live(peers, peer, now_ms))
			continue;
		contact->answers |= peer->heartbeat.watching;
		contact->fails |= peer->heartbeat.store_fails;
	}
}

/* Watcher election. */

/* Instances with the widest links rank first, because a watcher serves each
 * change to many others. */
static uint64_t watcher_rank(const char *name, uint32_t link_mbps)
{
	return ((uint64_t)link_mbps << 32) + (uint32_t)hash_string(name);
}

bool gateway_peers_may_hold_lease(const gateway_peers_t *peers, uint64_t now_ms)
{
	return now_ms - peers->started_ms > START_DISCOVERY_MS &&
	       peers->election.watching &&
	       gateway_control_store_reachable(peers->control);
}

static size_t list_domain_peers(const gateway_peers_t *peers, uint64_t now_ms,
				election_peer_t list[PEERS_MAX])
{
	size_t count = 0;

	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (!gateway_peer_is_live(peers, peer, now_ms) ||
		    peer->heartbeat.stopping ||
		    peer->heartbeat.domain !=
			    gateway_domain_hash(peers->control))
			continue;
		list[count++] = (election_peer_t){
			.rank = watcher_rank(peer->heartbeat.name,
					     peer->heartbeat.link_mbps),
			.in_contact = peer->heartbeat.watching,
			.yielded = peer->heartbeat.yielded,
		};
	}
	return count;
}

static void run_watcher_election(gateway_peers_t *peers, uint64_t now_ms)
{
	gateway_control_t *control = peers->control;
	election_self_t self = {
		.in_contact = gateway_control_store_reachable(control),
		.complete = view_builder_is_complete(&control->view_builder),
	};
	store_contact_t others = { 0 };
	election_peer_t list[PEERS_MAX];
	size_t count = list_domain_peers(peers, now_ms, list);
	bool was_watching = peers->election.watching;
	bool watching;

	gateway_peers_store_contact(peers, now_ms, &others);
	self.others_in_contact = others.answers;
	watching = watcher_election_step(&peers->election, list, count, &self,
					 now_ms);
	gateway_control_watch(control, watching);
	if (watching == was_watching)
		return;
	event_log(EVENT_WATCHING, "watching=%d gave_way=%d peers=%zu", watching,
		  watcher_election_has_yielded(&peers->election, now_ms),
		  count);
	gateway_peers_send_heartbeat(peers);
}

/* Sends the first heartbeat as soon as the members are known. */
static void send_first_heartbeat(gateway_peers_t *peers, uint64_t now_ms)
{
	const gateway_control_t *control = peers->control;

	if (peers->election.first_heartbeat_ms ||
	    !control->view_builder.tables[OBJECT_MEMBERS].complete)
		return;
	peers->election.first_heartbeat_ms = now_ms;
	gateway_peers_send_heartbeat(peers);
}

static bool is_heartbeat_due(const gateway_peers_t *peers, uint64_t now_ms)
{
	const lost_services_t *lost = &peers->control->gateway->lost_services;
	bool is_urgent = has_crash_news(peers) ||
			 atomic_load(&lost->count) != peers->sent_lost_count;
	uint64_t interval_ms = is_urgent ? CRASH_NEWS_INTERVAL_MS
					 : own_heartbeat_interval(peers);

	return now_ms >= peers->sent_ms + interval_ms ||
	       (has_endpoint_news(peers) &&
		now_ms >= peers->sent_news_ms + ENDPOINT_NEWS_INTERVAL_MS);
}

void gateway_peers_tick(gateway_peers_t *peers, uint64_t now_ms)
{
	drain_datagrams(peers);
	gateway_members_update_targets(peers, now_ms);
	gateway_members_check_era(peers, now_ms);
	if (!peers->registered && !peers->register_call &&
	    now_ms >= peers->register_after_ms)
		gateway_members_register(peers, now_ms);
	send_first_heartbeat(peers, now_ms);
	sum_loads(peers, now_ms);
	count_live_instances(peers, now_ms);
	draw_limit_turns(peers, now_ms);
	gateway_forward_list_peers(peers, now_ms);
	run_watcher_election(peers, now_ms);
	gateway_state_fetch_missing(peers, now_ms);
	if (is_heartbeat_due(peers, now_ms))
		gateway_peers_send_heartbeat(peers);
}

static int open_sockets(gateway_peers_t *peers)
{
	const gateway_settings_t *settings = &peers->control->gateway->settings;
	inbound_options_t options = {
		.connections_max = PEER_CONNECTIONS_MAX,
		.body_total_max_bytes = REQUEST_BODIES_MAX_BYTES,
		.output_high_watermark = INBOUND_OUTPUT_HIGH_WATERMARK_BYTES,
		.write_timeout_ms = INBOUND_WRITE_TIMEOUT_MS,
		.callbacks = &gateway_state_callbacks,
		.context = peers,
	};
	char text[64];
	int err;

	snprintf(text, sizeof(text), "%s:%u", settings->peer_ip,
		 settings->peer_port);
	if (platform_read_address(text, &options.address.v4))
		return ERR_SETTING;
	err = inbound_open(peers->control->base, &options, &peers->inbound);
	if (err)
		return err;
	peers->fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peers->fd < 0 || bind(peers->fd, &options.address.any,
				  sizeof(options.address.v4)) < 0)
		return ERR_LIMIT;
	peers->readable = event_new(peers->control->base, peers->fd,
				    EV_READ | EV_PERSIST, on_readable, peers);
	return peers->readable && !event_add(peers->readable, NULL)
		       ? 0
		       : ERR_NO_MEMORY;
}

gateway_peers_t *gateway_peers_open(gateway_control_t *control)
{
	gateway_peers_t *peers = calloc(1, sizeof(*peers));

	if (!peers)
		return NULL;
	peers->control = control;
	peers->started_ms = clock_now_ms();
	peers->drained_ms = clock_boot_ms();
	peers->name_hash = hash_string(control->gateway->peer_name);
	limit_turns_init(&control->gateway->limit_turns, peers->started_ms);
	gateway_state_open(peers);
	watcher_election_init(
		&peers->election,
		watcher_rank(control->gateway->peer_name,
			     (uint32_t)control->gateway->settings.link_mbps),
		peers->started_ms);
	peers->fd = -1;
	if (gateway_desired_open(peers) || open_sockets(peers)) {
		event_log(EVENT_START_FAILED, "part=peers port=%u",
			  control->gateway->settings.peer_port);
		gateway_peers_close(peers);
		return NULL;
	}
	return peers;
}

void gateway_peers_close(gateway_peers_t *peers)
{
	if (!peers)
		return;
	gateway_state_close(peers);
	gateway_desired_close(peers);
	if (peers->register_call)
		store_call_cancel(peers->register_call);
	if (peers->readable)
		event_free(peers->readable);
	if (peers->inbound)
		inbound_close(peers->inbound);
	if (peers->fd >= 0)
		close(peers->fd);
	for (size_t i = 0; i < peers->peer_count; i++)
		free(peers->peers[i]);
	free(peers);
}
