#include "t/lib/fake_net.h"

#include <rpc/rpc.h>
#include <string.h>

/** TCP/IP headers, RPC headers and the fixed fields of the envelope. */
#define FAKE_NET_ENVELOPE_BYTES (40 + 44 + 100)

void fake_net_start(fake_net_t *net, size_t i)
{
	peer_member_t self = {
		.id = i + 1,
		.incarnation = 1 + rng_below(&net->rng,
					     MEMBERSHIP_START_INCARNATION_MAX),
		.domain = i % net->domain_count,
	};

	membership_init(&net->nodes[i], &self, rng_next(&net->rng),
			net->now_ms);
	/* The platform's instance list has all others, alive or not. */
	for (size_t j = 0; j < net->node_count; j++) {
		peer_member_t other = { .id = j + 1,
					.domain = j % net->domain_count };

		membership_add_listed_member(&net->nodes[i], &other,
					     net->now_ms);
	}
	net->fetching_position[i] = 0;
	net->up[i] = true;
}

static bool is_partitioned(const fake_net_t *net, size_t a, size_t b)
{
	return net->partition[a] != net->partition[b];
}

/** Queues a message, which may be lost; the call of a lost one times out. */
static void queue_message(fake_net_t *net, fake_message_t *message)
{
	bool lost = is_partitioned(net, message->from, message->to) ||
		    rng_below(&net->rng, 100) < net->loss_percent;

	message->at_ms =
		net->now_ms + 1 + rng_below(&net->rng, net->delay_max_ms);
	if (lost) {
		bool answer = message->kind == FAKE_ANSWER;
		size_t client = answer ? message->to : message->from;
		size_t server = answer ? message->from : message->to;

		message->kind = FAKE_TIMEOUT;
		message->from = server;
		message->to = client;
		message->at_ms = net->now_ms + FAKE_NET_CALL_TIMEOUT_MS;
	}
	g_ptr_array_add(net->messages, g_memdup2(message, sizeof(*message)));
}

static void count_bytes(fake_net_t *net, const peer_gossip_t *gossip)
{
	net->message_total++;
	net->byte_total +=
		FAKE_NET_ENVELOPE_BYTES +
		xdr_sizeof((xdrproc_t)xdr_peer_gossip_t, (void *)gossip);
}

static void send_request(fake_net_t *net, peer_kind_t request, size_t from,
			 size_t to, size_t subject, size_t requester)
{
	fake_message_t message = { .kind = FAKE_REQUEST,
				   .request = request,
				   .from = from,
				   .to = to,
				   .subject = subject,
				   .requester = requester };

	membership_fill_gossip(&net->nodes[from], to + 1, &message.gossip,
			       message.rumors);
	count_bytes(net, &message.gossip);
	queue_message(net, &message);
}

void fake_net_perform_actions(fake_net_t *net, size_t node,
			      const membership_action_t *actions, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		size_t target = actions[i].target.id - 1;

		switch (actions[i].kind) {
		case MEMBERSHIP_SEND_PROBE:
			send_request(net, PEER_PROBE, node, target, FAKE_NONE,
				     FAKE_NONE);
			break;
		case MEMBERSHIP_SEND_PUSH:
			send_request(net, PEER_PUSH, node, target, FAKE_NONE,
				     FAKE_NONE);
			break;
		case MEMBERSHIP_SEND_INDIRECT:
			send_request(net, PEER_INDIRECT, node, target,
				     actions[i].subject.id - 1, FAKE_NONE);
			break;
		case MEMBERSHIP_FAILED:
			break;
		}
	}
}

/** A node that receives a higher position fetches it from the sender. */
static void fetch_config(fake_net_t *net, const fake_message_t *message)
{
	const membership_t *node = &net->nodes[message->to];
	fake_message_t done = { .kind = FAKE_CONFIG_FETCHED,
				.from = message->from,
				.to = message->to };

	if (message->gossip.config_position <= node->config_position ||
	    message->gossip.config_position <=
		    net->fetching_position[message->to])
		return;
	net->fetching_position[message->to] = message->gossip.config_position;
	done.gossip.config_position = message->gossip.config_position;
	done.at_ms = net->now_ms + 2 + rng_below(&net->rng, net->delay_max_ms) +
		     rng_below(&net->rng, net->delay_max_ms);
	net->message_total += 2;
	net->byte_total += 2ULL * FAKE_NET_ENVELOPE_BYTES + net->change_bytes;
	g_ptr_array_add(net->messages, g_memdup2(&done, sizeof(done)));
}

static void receive(fake_net_t *net, fake_message_t *message)
{
	peer_rumor_t new_rumors[PEER_RUMORS_MAX];

	message->gossip.rumors.rumors_val = message->rumors;
	membership_receive(&net->nodes[message->to], &message->gossip,
			   net->now_ms, new_rumors);
	fetch_config(net, message);
}

static void deliver_request(fake_net_t *net, fake_message_t *message)
{
	fake_message_t answer = *message;

	receive(net, message);
	if (message->request == PEER_INDIRECT)
		send_request(net, PEER_PROBE, message->to, message->subject,
			     FAKE_NONE, message->from);
	if (message->request == PEER_INDIRECT_ACK)
		membership_indirect_ack(
			&net->nodes[message->to], message->subject + 1,
			net->nodes[message->subject].self.incarnation);
	answer.kind = FAKE_ANSWER;
	answer.from = message->to;
	answer.to = message->from;
	membership_fill_gossip(&net->nodes[answer.from], answer.to + 1,
			       &answer.gossip, answer.rumors);
	count_bytes(net, &answer.gossip);
	queue_message(net, &answer);
}

static void deliver(fake_net_t *net, fake_message_t *message)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t to = message->to;

	/* A node that is down does not answer, so the call times out. */
	if (!net->up[to]) {
		if (message->kind != FAKE_REQUEST || !net->up[message->from])
			return;
		message->kind = FAKE_TIMEOUT;
		message->to = message->from;
		message->from = to;
		message->at_ms = net->now_ms + FAKE_NET_CALL_TIMEOUT_MS;
		g_ptr_array_add(net->messages,
				g_memdup2(message, sizeof(*message)));
		return;
	}
	switch (message->kind) {
	case FAKE_REQUEST:
		deliver_request(net, message);
		break;
	case FAKE_ANSWER:
		receive(net, message);
		if (message->requester != FAKE_NONE)
			send_request(net, PEER_INDIRECT_ACK, to,
				     message->requester, message->from,
				     FAKE_NONE);
		break;
	case FAKE_CONFIG_FETCHED:
		membership_set_config_position(&net->nodes[to],
					       message->gossip.config_position);
		break;
	case FAKE_TIMEOUT:
		if (message->request == PEER_PROBE &&
		    message->requester == FAKE_NONE)
			fake_net_perform_actions(
				net, to, actions,
				membership_probe_failed(&net->nodes[to],
							message->from + 1,
							net->now_ms, actions));
		break;
	}
}

static void deliver_due(fake_net_t *net)
{
	guint i = 0;

	while (i < net->messages->len) {
		fake_message_t *message = g_ptr_array_index(net->messages, i);

		if (message->at_ms > net->now_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(net->messages, i);
		deliver(net, message);
		g_free(message);
	}
}

void fake_net_run(fake_net_t *net, uint64_t end_ms)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];

	for (; net->now_ms < end_ms; net->now_ms += 10) {
		deliver_due(net);
		if (net->now_ms % FAKE_NET_TICK_MS)
			continue;
		for (size_t i = 0; i < net->node_count; i++) {
			if (!net->up[i])
				continue;
			fake_net_perform_actions(net, i, actions,
						 membership_tick(&net->nodes[i],
								 net->now_ms,
								 actions));
		}
	}
}

fake_net_t *fake_net_new(size_t node_count, size_t domain_count, uint64_t seed)
{
	fake_net_t *net = g_new0(fake_net_t, 1);

	net->node_count = node_count;
	net->domain_count = domain_count;
	net->delay_max_ms = 40;
	net->nodes = g_new0(membership_t, node_count);
	net->up = g_new0(bool, node_count);
	net->fetching_position = g_new0(uint64_t, node_count);
	net->partition = g_new0(uint32_t, node_count);
	net->messages = g_ptr_array_new();
	rng_init(&net->rng, seed);
	for (size_t i = 0; i < node_count; i++)
		fake_net_start(net, i);
	return net;
}

void fake_net_free(fake_net_t *net)
{
	g_ptr_array_set_free_func(net->messages, g_free);
	g_ptr_array_unref(net->messages);
	g_free(net->nodes);
	g_free(net->up);
	g_free(net->fetching_position);
	g_free(net->partition);
	g_free(net);
}
