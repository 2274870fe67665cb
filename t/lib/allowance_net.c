#include "t/lib/allowance_net.h"

#include <glib.h>
#include <string.h>

#include "process/hash.h"
#include "process/rng.h"

enum {
	START_MS = 100000,
	/** Datagrams arrive 0 to 5 ms after they were sent, in steps of 1. */
	DELAY_MAX_MS = 5,
	CALENDAR_MS = 16384,
	UDP_BYTES = 28,
	/** Peers are listed, in this interval. */
	LIST_MS = 500,
	/** By a process that has just started. */
	LIST_START_MS = 100,
	/** A peer is missed after this time and a lag. */
	MISSED_MS = 2000,
	STOP_MS = 300,
	BUCKET_MS = 50,
	CHECK_MS = 100,
	BUCKETS = NET_WINDOW_MS / BUCKET_MS,
};

typedef struct datagram {
	uint32_t from;
	uint32_t to;
	int len;
	char bytes[ALLOWANCE_MESSAGE_MAX_BYTES];
} datagram_t;

typedef struct held {
	size_t sender;
	uint32_t cost;
	uint64_t until_ms;
} held_t;

typedef struct local {
	double level;
	double share;
	double demand;
	uint64_t updated_ms;
} local_t;

typedef struct instance {
	uint64_t id;
	uint64_t incarnation;
	bool up;
	bool stopping;
	uint64_t since_ms; /**< Of the last change of these. */
	uint64_t started_ms;
	bool young; /**< In its last heartbeat. */
	uint64_t frozen_until_ms;
	uint64_t down_ms; /**< End of a planned stop; 0: none. */
	bool touched;
	uint64_t next_ms;
	allowance_t allowance;
	GArray *held;
	local_t locals[NET_SENDERS_MAX];
	double bytes;
} instance_t;

struct net {
	net_options_t options;
	rng_t rng;
	uint64_t now_ms;
	uint64_t reset_ms;
	uint64_t incarnations;
	uint32_t cut_first;
	uint32_t cut_before; /**< The last cut, while that is noticed. */
	uint64_t cut_ms;
	instance_t *instances;
	GPtrArray *calendar[CALENDAR_MS];
	size_t sender_count;
	net_sender_t senders[NET_SENDERS_MAX];
	double arrival_ms[NET_SENDERS_MAX];
	double level[NET_SENDERS_MAX]; /**< Of one bucket for all. */
	double buckets[NET_SENDERS_MAX][BUCKETS];
	double window[NET_SENDERS_MAX];
};

static uint64_t customer_key(size_t number)
{
	return hash_rendezvous(number, 77);
}

static bool runs(const net_t *net, const instance_t *instance)
{
	return instance->up && net->now_ms >= instance->frozen_until_ms;
}

static void set_limits(net_t *net, instance_t *instance)
{
	allowance_limit_t limits[NET_CUSTOMERS_MAX];

	for (size_t i = 0; i < net->options.customers; i++) {
		uint64_t rate = i < net->sender_count
					? net->senders[i].rate_per_s
					: 100000;

		limits[i] = (allowance_limit_t){ customer_key(i), rate, rate };
	}
	g_assert_cmpint(allowance_set_limits(&instance->allowance, limits,
					     net->options.customers,
					     net->now_ms),
			==, 0);
}

static bool is_cut(uint32_t first, uint32_t a, uint32_t b)
{
	return first && (a < first) != (b < first);
}

/* Whether instance `a` lists `b`; each learns of changes at another time. */
static bool lists(const net_t *net, uint32_t a, uint32_t b)
{
	const instance_t *peer = &net->instances[b];
	uint64_t lag = hash_rendezvous(peer->since_ms + a, b) % LIST_MS;
	uint64_t missed = MISSED_MS + lag;
	uint64_t now_ms = net->now_ms;
	bool up = now_ms < peer->since_ms + lag ? !peer->up || peer->stopping
						: peer->up && !peer->stopping;
	bool cut = is_cut(net->cut_first, a, b);
	bool cut_before = is_cut(net->cut_before, a, b);

	if (!peer->up)
		up = !peer->stopping && peer->since_ms > START_MS &&
		     now_ms < peer->since_ms + missed;
	if (now_ms < peer->frozen_until_ms && now_ms > peer->since_ms + missed)
		up = false;
	if (now_ms < net->cut_ms + (cut ? missed : lag))
		cut = cut_before;
	/* A process that has just started has heard of nobody; some others
	 * answer its first heartbeat. */
	if (now_ms < net->instances[a].started_ms + lag % LIST_START_MS ||
	    (!peer->up && net->instances[a].started_ms >= peer->since_ms) ||
	    (net->instances[a].started_ms > net->cut_ms &&
	     is_cut(net->cut_first, a, b)))
		return false;
	return up && !cut;
}

static void list_peers(net_t *net, uint32_t number)
{
	instance_t *instance = &net->instances[number];
	allowance_peer_t *peers =
		g_new(allowance_peer_t, net->options.instances);
	size_t count = 0;

	for (uint32_t i = 0; i < net->options.instances; i++) {
		if (i != number && lists(net, number, i))
			peers[count++] = (allowance_peer_t){
				net->instances[i].id,
				net->instances[i].incarnation,
				net->instances[i].young,
			};
	}
	g_assert_cmpint(allowance_set_peers(&instance->allowance, peers, count,
					    net->options.instances,
					    instance->stopping, net->now_ms),
			==, 0);
	instance->touched = true;
	g_free(peers);
}

/* What one bucket for all instances would admit. */
static void take_single(net_t *net, size_t number, uint32_t cost)
{
	if (net->level[number] < cost)
		return;
	net->level[number] -= cost;
	net->senders[number].charged_single += cost;
}

/* What became of a request. */

static void settle(net_t *net, size_t number, uint32_t cost, bool charged)
{
	net_sender_t *sender = &net->senders[number];
	double limit =
		(double)sender->rate_per_s * (NET_WINDOW_MS + 1000) / 1000;
	bool large = cost == sender->costs[0];
	size_t bucket = net->now_ms / BUCKET_MS % BUCKETS;

	*(large ? &sender->large_charged : &sender->small_charged) += charged;
	if (!charged)
		return;
	sender->charged += cost;
	net->buckets[number][bucket] += cost;
	net->window[number] += cost;
	sender->worst = MAX(sender->worst, net->window[number] / limit);
	if (net->window[number] > limit * 1.1 + NET_SLACK)
		sender->beyond = true;
}

static void advance_buckets(net_t *net)
{
	size_t bucket = net->now_ms / BUCKET_MS % BUCKETS;

	for (size_t i = 0; i < net->sender_count; i++) {
		double rate = (double)net->senders[i].rate_per_s;

		net->level[i] = MIN(net->level[i] + rate / 1000, rate);
		if (net->now_ms % BUCKET_MS == 0) {
			net->window[i] -= net->buckets[i][bucket];
			net->buckets[i][bucket] = 0;
		}
	}
}

/* Other policies: a bucket at each instance, for at least one request. */

static bool take_local(net_t *net, instance_t *instance, size_t number,
		       uint32_t cost)
{
	local_t *local = &instance->locals[number];
	const net_sender_t *sender = &net->senders[number];
	double rate = local->share * (double)sender->rate_per_s;

	local->level += rate * (double)(net->now_ms - local->updated_ms) / 1000;
	local->level = MIN(local->level, MAX(rate, sender->costs[0]));
	local->updated_ms = net->now_ms;
	local->demand += cost;
	if (local->level < cost)
		return false;
	local->level -= cost;
	return true;
}

static void follow_demand(net_t *net)
{
	uint32_t count = net->options.instances;

	for (size_t c = 0; c < net->sender_count; c++) {
		/* An instance without demand keeps a little. */
		double least = (double)net->senders[c].rate_per_s / 20 / count;
		double total = 0;

		for (uint32_t i = 0; i < count; i++)
			total += net->instances[i].locals[c].demand + least;
		for (uint32_t i = 0; i < count; i++) {
			local_t *local = &net->instances[i].locals[c];

			take_local(net, &net->instances[i], c, 0);
			local->share = (local->demand + least) / total;
			local->demand = 0;
		}
	}
}

/* Requests. */

/* Whether the request has an outcome. */
static bool decide(net_t *net, instance_t *instance, const held_t *request,
		   bool again)
{
	allowance_decision_t decision = { ALLOWANCE_REFUSED, 0 };

	if (net->options.policy != NET_OWNERS)
		decision.verdict = take_local(net, instance, request->sender,
					      request->cost)
					   ? ALLOWANCE_CHARGED
					   : ALLOWANCE_REFUSED;
	else if (net->now_ms < request->until_ms)
		decision = allowance_take(&instance->allowance,
					  customer_key(request->sender),
					  request->cost, again, net->now_ms);
	if (decision.verdict == ALLOWANCE_ASK_OWNER)
		return false;
	settle(net, request->sender, request->cost,
	       decision.verdict == ALLOWANCE_CHARGED);
	return true;
}

static bool accepts(const net_t *net, const instance_t *instance)
{
	return runs(net, instance) && !instance->stopping;
}

/* One that accepts requests; NULL if none does. */
static instance_t *pick_instance(net_t *net)
{
	uint32_t count = net->options.instances;
	uint32_t first = 0;

	while (first < count && !accepts(net, &net->instances[first]))
		first++;
	while (first < count) {
		instance_t *picked =
			&net->instances[rng_below(&net->rng, count)];

		if (accepts(net, picked))
			return picked;
	}
	return NULL;
}

static void send_requests(net_t *net, size_t number)
{
	net_sender_t *sender = &net->senders[number];
	double mean = (sender->costs[0] + sender->costs[1]) / 2.0;
	double pause_ms;

	while (sender->demand > 0 &&
	       net->arrival_ms[number] < (double)net->now_ms) {
		held_t request = { number,
				   sender->costs[rng_below(&net->rng, 2)],
				   net->now_ms + ALLOWANCE_HOLD_MAX_MS };
		instance_t *instance = pick_instance(net);

		sender->offered += request.cost;
		take_single(net, number, request.cost);
		sender->requests++;
		(*(request.cost == sender->costs[0]
			   ? &sender->large_offered
			   : &sender->small_offered))++;
		if (instance && !decide(net, instance, &request, false)) {
			g_array_append_val(instance->held, request);
			instance->touched = true;
		}
		pause_ms = 1000 * mean / sender->demand /
			   (double)sender->rate_per_s;
		net->arrival_ms[number] +=
			sender->regular ? pause_ms
					: rng_exponential(&net->rng, pause_ms);
	}
}

/* Datagrams. */

static void post(net_t *net, datagram_t *datagram, uint64_t at_ms)
{
	GPtrArray **slot = &net->calendar[at_ms % CALENDAR_MS];

	if (!*slot)
		*slot = g_ptr_array_new();
	g_ptr_array_add(*slot, datagram);
}

static uint32_t number_of(const net_t *net, uint64_t id)
{
	for (uint32_t i = 0; i < net->options.instances; i++) {
		if (net->instances[i].id == id)
			return i;
	}
	g_assert_not_reached();
}

static void send_messages(net_t *net, uint32_t number)
{
	instance_t *instance = &net->instances[number];
	allowance_message_t message;
	uint64_t to_id;

	while (allowance_next_message(&instance->allowance, net->now_ms, &to_id,
				      &message)) {
		datagram_t *datagram = g_new(datagram_t, 1);

		datagram->from = number;
		datagram->to = number_of(net, to_id);
		datagram->len = allowance_message_encode(
			&message, datagram->bytes, sizeof(datagram->bytes));
		g_assert_cmpint(datagram->len, >, 0);
		instance->bytes += datagram->len + UDP_BYTES;
		if (rng_unit(&net->rng) < net->options.loss ||
		    is_cut(net->cut_first, number, datagram->to))
			g_free(datagram);
		else
			post(net, datagram,
			     net->now_ms + 1 +
				     rng_below(&net->rng, DELAY_MAX_MS));
	}
}

static void receive(net_t *net, datagram_t *datagram)
{
	instance_t *instance = &net->instances[datagram->to];
	allowance_message_t message;

	if (instance->up && !runs(net, instance)) {
		post(net, datagram, instance->frozen_until_ms);
		return;
	}
	if (instance->up) {
		g_assert_cmpint(allowance_message_decode(&message,
							 datagram->bytes,
							 (size_t)datagram->len),
				==, 0);
		allowance_receive(&instance->allowance,
				  net->instances[datagram->from].id, &message,
				  net->now_ms);
		instance->bytes += datagram->len + UDP_BYTES;
		instance->touched = true;
	}
	g_free(datagram);
}

static void step_instance(net_t *net, uint32_t number)
{
	instance_t *instance = &net->instances[number];

	if (instance->down_ms && net->now_ms >= instance->down_ms)
		net_kill(net, number);
	if (!runs(net, instance))
		return;
	if ((net->now_ms + number) % LIST_MS == 0)
		instance->young =
			allowance_is_young(&instance->allowance, net->now_ms);
	if ((net->now_ms + number) %
		    (net->now_ms < instance->started_ms + MISSED_MS
			     ? LIST_START_MS
			     : LIST_MS) ==
	    0)
		list_peers(net, number);
	if (!instance->touched && net->now_ms < instance->next_ms)
		return;
	for (guint i = 0; i < instance->held->len;) {
		held_t request = g_array_index(instance->held, held_t, i);

		if (decide(net, instance, &request, true))
			g_array_remove_index(instance->held, i);
		else
			i++;
	}
	send_messages(net, number);
	instance->touched = false;
	instance->next_ms = allowance_next_ms(&instance->allowance);
}

/* Failure: parts were counted twice, and instances admitted more together than
 * the limit. */
static void check_parts(net_t *net)
{
	for (size_t i = 0; i < net->sender_count; i++)
		g_assert_cmpfloat(net_parts(net, i), <=, 1 + 1e-9);
}

static void step(net_t *net)
{
	GPtrArray *due;

	net->now_ms++;
	advance_buckets(net);
	due = g_steal_pointer(&net->calendar[net->now_ms % CALENDAR_MS]);
	for (guint i = 0; due && i < due->len; i++)
		receive(net, due->pdata[i]);
	if (due)
		g_ptr_array_free(due, TRUE);
	for (size_t i = 0; i < net->sender_count; i++)
		send_requests(net, i);
	if (net->options.policy == NET_DEMAND && net->now_ms % LIST_MS == 0)
		follow_demand(net);
	if (net->options.policy != NET_OWNERS)
		return;
	for (uint32_t i = 0; i < net->options.instances; i++)
		step_instance(net, i);
	if (net->now_ms % CHECK_MS == 0)
		check_parts(net);
}

/* Events. */

void net_start(net_t *net, uint32_t number)
{
	instance_t *instance = &net->instances[number];

	instance->up = true;
	instance->stopping = false;
	instance->down_ms = 0;
	instance->since_ms = net->now_ms;
	instance->started_ms = net->now_ms;
	instance->young = true;
	instance->incarnation = ++net->incarnations;
	allowance_init(&instance->allowance, instance->id,
		       instance->incarnation, net->now_ms);
	allowance_set_overage(&instance->allowance, net->options.overage);
	set_limits(net, instance);
	list_peers(net, number);
}

void net_kill(net_t *net, uint32_t number)
{
	instance_t *instance = &net->instances[number];

	for (guint i = 0; i < instance->held->len; i++) {
		held_t *request = &g_array_index(instance->held, held_t, i);

		settle(net, request->sender, request->cost, false);
	}
	g_array_set_size(instance->held, 0);
	allowance_free(&instance->allowance);
	instance->up = false;
	instance->down_ms = 0;
	instance->since_ms = net->now_ms;
}

void net_kill_some(net_t *net, uint32_t first, uint32_t count, uint64_t down_ms)
{
	for (uint32_t i = 0; i < count; i++)
		net_kill(net, (first + i) % net->options.instances);
	net_run(net, down_ms);
	for (uint32_t i = 0; i < count; i++)
		net_start(net, (first + i) % net->options.instances);
}

void net_stop(net_t *net, uint32_t number)
{
	net->instances[number].stopping = true;
	net->instances[number].since_ms = net->now_ms;
	net->instances[number].down_ms = net->now_ms + STOP_MS;
	list_peers(net, number);
}

void net_freeze(net_t *net, uint32_t number, uint64_t duration_ms)
{
	net->instances[number].frozen_until_ms = net->now_ms + duration_ms;
	net->instances[number].since_ms = net->now_ms;
}

void net_cut(net_t *net, uint32_t first)
{
	net->cut_before = net->cut_first;
	net->cut_first = first;
	net->cut_ms = net->now_ms;
}

void net_set_rate(net_t *net, size_t sender, uint64_t rate_per_s)
{
	net->senders[sender].rate_per_s = rate_per_s;
	for (uint32_t i = 0; i < net->options.instances; i++) {
		if (net->instances[i].up)
			set_limits(net, &net->instances[i]);
	}
}

uint32_t net_owner(net_t *net, size_t sender)
{
	for (uint32_t i = 0; i < net->options.instances; i++) {
		allowance_view_t view;

		if (runs(net, &net->instances[i]) &&
		    allowance_view(&net->instances[i].allowance,
				   customer_key(sender), net->now_ms, &view) &&
		    view.owner)
			return i;
	}
	g_assert_not_reached();
}

double net_parts(net_t *net, size_t sender)
{
	double sum = 0;

	for (uint32_t i = 0; i < net->options.instances; i++) {
		allowance_view_t view;

		if (runs(net, &net->instances[i]) &&
		    allowance_view(&net->instances[i].allowance,
				   customer_key(sender), net->now_ms, &view))
			sum += view.part;
	}
	return sum;
}

double net_bytes_per_s(const net_t *net)
{
	double most = 0;

	for (uint32_t i = 0; i < net->options.instances; i++)
		most = MAX(most, net->instances[i].bytes);
	return most * 1000 / (double)(net->now_ms - net->reset_ms);
}

void net_reset(net_t *net)
{
	net->reset_ms = net->now_ms;
	for (uint32_t i = 0; i < net->options.instances; i++)
		net->instances[i].bytes = 0;
	for (size_t i = 0; i < net->sender_count; i++) {
		net_sender_t *sender = &net->senders[i];

		*sender = (net_sender_t){
			.rate_per_s = sender->rate_per_s,
			.demand = sender->demand,
			.costs = { sender->costs[0], sender->costs[1] },
			.regular = sender->regular,
		};
	}
}

net_t *net_new(const net_options_t *options, const net_sender_t *senders,
	       size_t count)
{
	net_t *net = g_new0(net_t, 1);

	net->options = *options;
	net->now_ms = START_MS;
	net->reset_ms = START_MS;
	net->sender_count = count;
	rng_init(&net->rng, options->seed);
	net->incarnations = rng_next(&net->rng) >> 1;
	net->instances = g_new0(instance_t, options->instances);
	for (size_t i = 0; i < count; i++) {
		net->senders[i] = senders[i];
		net->arrival_ms[i] = START_MS;
	}
	for (uint32_t i = 0; i < options->instances; i++) {
		instance_t *instance = &net->instances[i];

		instance->id = hash_rendezvous(i, options->seed);
		instance->held = g_array_new(FALSE, FALSE, sizeof(held_t));
		for (size_t c = 0; c < count; c++) {
			instance->locals[c].share = 1.0 / options->instances;
			instance->locals[c].updated_ms = START_MS;
		}
		instance->since_ms = START_MS;
	}
	for (uint32_t i = 0; i < options->instances; i++)
		net_start(net, i);
	return net;
}

net_sender_t *net_sender(net_t *net, size_t number)
{
	return &net->senders[number];
}

void net_run(net_t *net, uint64_t duration_ms)
{
	for (uint64_t i = 0; i < duration_ms; i++)
		step(net);
}

void net_free(net_t *net)
{
	for (uint32_t i = 0; i < net->options.instances; i++) {
		g_array_free(net->instances[i].held, TRUE);
		if (net->instances[i].up)
			allowance_free(&net->instances[i].allowance);
	}
	for (size_t i = 0; i < CALENDAR_MS; i++) {
		if (!net->calendar[i])
			continue;
		g_ptr_array_set_free_func(net->calendar[i], g_free);
		g_ptr_array_free(net->calendar[i], TRUE);
	}
	g_free(net->instances);
	g_free(net);
}
