/* Membership and rumors: seeded schedules on virtual time; authentication. */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "process/error.h"
#include "process/membership.h"
#include "process/peer_auth.h"
#include "process/rng.h"
#include "t/lib/seeds.h"

enum {
	NODES = 9,
	DOMAINS = 3,
	TICK_MS = 100,
	CALL_LIMIT_MS = 300,
	MESSAGES_MAX = 4096,
	/** Fault phase, and the time after it to agree again. */
	FAULTS_MS = 20000,
	QUIET_MS = 60000,
};

typedef enum message_kind {
	MESSAGE_REQUEST,
	MESSAGE_ANSWER,
	MESSAGE_TIMEOUT, /**< Reported to the sender of a lost probe. */
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	peer_kind_t request;
	uint64_t at_ms;
	size_t from;
	size_t to;
	size_t subject;	  /**< Of an indirect probe; NODES for none. */
	size_t requester; /**< Of a probe on another's behalf, or NODES. */
	peer_gossip_t gossip;
	peer_rumor_t rumors[PEER_RUMORS_MAX];
} message_t;

typedef struct net {
	membership_t nodes[NODES];
	bool up[NODES];
	uint64_t starts[NODES];
	uint32_t side[NODES]; /**< Nodes on different sides are cut off. */
	message_t messages[MESSAGES_MAX];
	size_t count;
	rng_t rng;
	uint64_t now_ms;
	uint32_t loss_percent;
	uint64_t bytes; /**< Payload bytes of gossip, all nodes. */
} net_t;

static void start_node(net_t *net, size_t i)
{
	peer_member_t self = {
		.id = i + 1,
		.incarnation = 1000 * ++net->starts[i] + net->now_ms * 1000,
		.domain = i % DOMAINS,
	};

	membership_init(&net->nodes[i], &self, rng_next(&net->rng),
			net->now_ms);
	/* The platform's list names all others, alive or not. */
	for (size_t j = 0; j < NODES; j++) {
		peer_member_t other = { .id = j + 1, .domain = j % DOMAINS };

		membership_learn(&net->nodes[i], &other, net->now_ms);
	}
	net->up[i] = true;
}

static bool is_cut(const net_t *net, size_t a, size_t b)
{
	return net->side[a] != net->side[b];
}

/** Queues a message, which may be lost; a lost call ends with its limit. */
static void post(net_t *net, message_t *message)
{
	bool lost = is_cut(net, message->from, message->to) ||
		    rng_below(&net->rng, 100) < net->loss_percent;

	g_assert_cmpuint(net->count, <, MESSAGES_MAX);
	message->at_ms = net->now_ms + 1 + rng_below(&net->rng, 40);
	if (lost) {
		bool answer = message->kind == MESSAGE_ANSWER;
		size_t caller = answer ? message->to : message->from;
		size_t called = answer ? message->from : message->to;

		message->kind = MESSAGE_TIMEOUT;
		message->from = called;
		message->to = caller;
		message->at_ms = net->now_ms + CALL_LIMIT_MS;
	}
	net->messages[net->count++] = *message;
}

static void send_request(net_t *net, peer_kind_t request, size_t from,
			 size_t to, size_t subject, size_t requester)
{
	message_t message = { .kind = MESSAGE_REQUEST,
			      .request = request,
			      .from = from,
			      .to = to,
			      .subject = subject,
			      .requester = requester };

	membership_fill(&net->nodes[from], to + 1, &message.gossip,
			message.rumors);
	net->bytes += 64 + 52ULL * message.gossip.rumors.rumors_len;
	post(net, &message);
}

static void perform(net_t *net, size_t node, const membership_action_t *actions,
		    size_t count)
{
	for (size_t i = 0; i < count; i++) {
		size_t target = actions[i].target.id - 1;

		switch (actions[i].kind) {
		case MEMBERSHIP_SEND_PROBE:
			send_request(net, PEER_PROBE, node, target, NODES,
				     NODES);
			break;
		case MEMBERSHIP_SEND_PUSH:
			send_request(net, PEER_PUSH, node, target, NODES,
				     NODES);
			break;
		case MEMBERSHIP_SEND_INDIRECT:
			send_request(net, PEER_INDIRECT, node, target,
				     actions[i].subject.id - 1, NODES);
			break;
		case MEMBERSHIP_FAILED:
			break;
		}
	}
}

static void receive(net_t *net, message_t *message)
{
	peer_rumor_t news[PEER_RUMORS_MAX];

	message->gossip.rumors.rumors_val = message->rumors;
	membership_receive(&net->nodes[message->to], &message->gossip,
			   net->now_ms, news);
}

static void deliver_request(net_t *net, message_t *message)
{
	message_t answer = *message;

	receive(net, message);
	if (message->request == PEER_INDIRECT)
		send_request(net, PEER_PROBE, message->to, message->subject,
			     NODES, message->from);
	if (message->request == PEER_INDIRECT_ACK)
		membership_indirect_ack(
			&net->nodes[message->to], message->subject + 1,
			net->nodes[message->subject].self.incarnation,
			net->now_ms);
	answer.kind = MESSAGE_ANSWER;
	answer.from = message->to;
	answer.to = message->from;
	membership_fill(&net->nodes[answer.from], answer.to + 1, &answer.gossip,
			answer.rumors);
	post(net, &answer);
}

static void deliver(net_t *net, message_t *message)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t to = message->to;

	/* A process that is down does not answer: the caller's limit passes. */
	if (!net->up[to]) {
		if (message->kind != MESSAGE_REQUEST || !net->up[message->from])
			return;
		message->kind = MESSAGE_TIMEOUT;
		message->to = message->from;
		message->from = to;
		message->at_ms = net->now_ms + CALL_LIMIT_MS;
		net->messages[net->count++] = *message;
		return;
	}
	switch (message->kind) {
	case MESSAGE_REQUEST:
		deliver_request(net, message);
		break;
	case MESSAGE_ANSWER:
		receive(net, message);
		if (message->requester != NODES)
			send_request(net, PEER_INDIRECT_ACK, to,
				     message->requester, message->from, NODES);
		break;
	case MESSAGE_TIMEOUT:
		if (message->request == PEER_PROBE &&
		    message->requester == NODES)
			perform(net, to, actions,
				membership_probe_failed(&net->nodes[to],
							message->from + 1,
							net->now_ms, actions));
		break;
	}
}

static void deliver_due(net_t *net)
{
	size_t i = 0;

	while (i < net->count) {
		message_t message;

		if (net->messages[i].at_ms > net->now_ms) {
			i++;
			continue;
		}
		message = net->messages[i];
		net->messages[i] = net->messages[--net->count];
		deliver(net, &message);
	}
}

static void run_until(net_t *net, uint64_t until_ms)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];

	for (; net->now_ms < until_ms; net->now_ms += 10) {
		deliver_due(net);
		if (net->now_ms % TICK_MS)
			continue;
		for (size_t i = 0; i < NODES; i++) {
			if (!net->up[i])
				continue;
			perform(net, i, actions,
				membership_tick(&net->nodes[i], net->now_ms,
						actions));
		}
	}
}

static net_t *new_net(uint64_t seed)
{
	net_t *net = g_new0(net_t, 1);

	rng_init(&net->rng, seed);
	for (size_t i = 0; i < NODES; i++)
		start_node(net, i);
	return net;
}

static const membership_member_t *view(const net_t *net, size_t of, size_t at)
{
	for (size_t i = 0; i < net->nodes[at].count; i++) {
		if (net->nodes[at].members[i].wire.id == of + 1)
			return &net->nodes[at].members[i];
	}
	return NULL;
}

static bool believed_live(const net_t *net, size_t of, size_t at)
{
	const membership_member_t *member = view(net, of, at);

	return member && (member->wire.state == PEER_MEMBER_ALIVE ||
			  member->wire.state == PEER_MEMBER_SUSPECT);
}

static void random_fault(net_t *net)
{
	size_t node = rng_below(&net->rng, NODES);

	switch (rng_below(&net->rng, 4)) {
	case 0:
		net->up[node] = false;
		break;
	case 1:
		start_node(net, node);
		break;
	case 2:
		for (size_t i = 0; i < NODES; i++)
			net->side[i] = (i % DOMAINS) == node % DOMAINS;
		break;
	default:
		memset(net->side, 0, sizeof(net->side));
		break;
	}
}

/* Kills, restarts, cuts and losses; then all must agree with the truth. */
static void run_faults(uint64_t seed)
{
	net_t *net = new_net(seed);

	net->loss_percent = (uint32_t)rng_below(&net->rng, 20);
	while (net->now_ms < FAULTS_MS) {
		run_until(net, net->now_ms + 500 + rng_below(&net->rng, 3000));
		random_fault(net);
	}
	memset(net->side, 0, sizeof(net->side));
	net->loss_percent = 0;
	run_until(net, net->now_ms + QUIET_MS);
	for (size_t at = 0; at < NODES; at++) {
		for (size_t of = 0; of < NODES; of++) {
			if (at == of || !net->up[at])
				continue;
			g_assert_cmpint(believed_live(net, of, at), ==,
					net->up[of]);
		}
	}
	g_free(net);
}

static void test_views_agree_after_faults(void)
{
	seeds_run(1000, run_faults);
}

/* News of a new position must be everywhere well within the 4 s allowed. */
static void run_spread(uint64_t seed)
{
	net_t *net = new_net(seed);
	peer_rumor_t rumor = { .kind = PEER_RUMOR_CRASH };

	net->loss_percent = 5;
	run_until(net, 3000);
	rumor.peer_rumor_t_u.crash.fingerprint = 77;
	rumor.peer_rumor_t_u.crash.crash = 1;
	membership_spread(&net->nodes[0], &rumor);
	run_until(net, net->now_ms + 3000);
	for (size_t i = 0; i < NODES; i++)
		g_assert_false(membership_spread(&net->nodes[i], &rumor));
	g_free(net);
}

static void test_rumor_reaches_all(void)
{
	seeds_run(200, run_spread);
}

/* A member that leaves on purpose must not be reported as failed. */
static void test_leave(void)
{
	net_t *net = new_net(3);
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];

	run_until(net, 3000);
	perform(net, 0, actions, membership_leave(&net->nodes[0], actions));
	run_until(net, net->now_ms + 200);
	net->up[0] = false;
	run_until(net, net->now_ms + 5000);
	for (size_t at = 1; at < NODES; at++)
		g_assert_cmpint(view(net, 0, at)->wire.state, ==,
				PEER_MEMBER_LEFT);
	g_free(net);
}

static void test_home_is_the_same_everywhere(void)
{
	net_t *net = new_net(4);

	run_until(net, 3000);
	for (uint64_t key = 0; key < 50; key++) {
		uint64_t home = membership_home(&net->nodes[0], key).id;

		for (size_t i = 1; i < NODES; i++)
			g_assert_cmpuint(
				membership_home(&net->nodes[i], key).id, ==,
				home);
	}
	g_free(net);
}

/** Changes made to a sealed envelope, and how it must be received. */
typedef enum tamper {
	TAMPER_NONE,
	TAMPER_PAYLOAD,
	TAMPER_SEQUENCE,
	TAMPER_SENDER,
	TAMPER_TIME,
	TAMPER_REPLY,
	TAMPER_REPEAT,
	TAMPER_LATE,
	TAMPER_OTHER_RECEIVER,
	TAMPER_OTHER_CLUSTER,
	TAMPER_OTHER_SECRET,
	TAMPER_OLD_INCARNATION,
} tamper_t;

static void test_envelopes(void)
{
	static const struct {
		tamper_t tamper;
		int result;
	} cases[] = {
		{ TAMPER_NONE, 0 },
		{ TAMPER_PAYLOAD, ERR_PEER_AUTH },
		{ TAMPER_SEQUENCE, ERR_PEER_AUTH },
		{ TAMPER_SENDER, ERR_PEER_AUTH },
		{ TAMPER_TIME, ERR_PEER_AUTH },
		{ TAMPER_REPLY, ERR_PEER_AUTH },
		{ TAMPER_REPEAT, ERR_PEER_REPLAY },
		{ TAMPER_LATE, ERR_PEER_REPLAY },
		{ TAMPER_OTHER_RECEIVER, ERR_PEER_AUTH },
		{ TAMPER_OTHER_CLUSTER, ERR_PEER_AUTH },
		{ TAMPER_OTHER_SECRET, ERR_PEER_AUTH },
		{ TAMPER_OLD_INCARNATION, ERR_PEER_REPLAY },
	};
	const uint64_t now_ms = 1000000;
	peer_auth_t *sender = g_new0(peer_auth_t, 1);
	peer_auth_t *receiver = g_new0(peer_auth_t, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		tamper_t tamper = cases[i].tamper;
		char payload[] = "payload";
		peer_envelope_t envelope = { 0 };
		uint64_t at_ms = now_ms;

		envelope.payload.payload_val = payload;
		envelope.payload.payload_len = sizeof(payload);
		peer_auth_init(receiver, 1, "secret", 20, 5);
		peer_auth_init(sender, tamper == TAMPER_OTHER_CLUSTER ? 2 : 1,
			       tamper == TAMPER_OTHER_SECRET ? "other"
							     : "secret",
			       10, 6);
		peer_auth_seal(sender, &envelope,
			       tamper == TAMPER_OTHER_RECEIVER ? 21 : 20, 0,
			       now_ms);
		payload[0] ^= tamper == TAMPER_PAYLOAD;
		envelope.sequence += tamper == TAMPER_SEQUENCE;
		envelope.sender += tamper == TAMPER_SENDER;
		envelope.unix_ms += tamper == TAMPER_TIME;
		envelope.reply_to += tamper == TAMPER_REPLY;
		if (tamper == TAMPER_LATE)
			at_ms += PEER_CLOCK_SKEW_MAX_MS + 1;
		if (tamper == TAMPER_REPEAT)
			g_assert_cmpint(
				peer_auth_check(receiver, &envelope, at_ms), ==,
				0);
		if (tamper == TAMPER_OLD_INCARNATION) {
			peer_envelope_t newer = envelope;

			sender->incarnation = 7;
			peer_auth_seal(sender, &newer, 20, 0, now_ms);
			g_assert_cmpint(
				peer_auth_check(receiver, &newer, at_ms), ==,
				0);
		}
		g_assert_cmpint(peer_auth_check(receiver, &envelope, at_ms), ==,
				cases[i].result);
	}
	g_free(sender);
	g_free(receiver);
}

/* Messages may overtake each other; only a repeat is refused. */
static void test_sequence_window(void)
{
	peer_auth_t *sender = g_new0(peer_auth_t, 1);
	peer_auth_t *receiver = g_new0(peer_auth_t, 1);
	peer_envelope_t envelopes[80] = { 0 };

	peer_auth_init(sender, 1, "secret", 10, 6);
	peer_auth_init(receiver, 1, "secret", 20, 5);
	for (size_t i = 0; i < G_N_ELEMENTS(envelopes); i++)
		peer_auth_seal(sender, &envelopes[i], 20, 0, 1000);
	for (size_t i = 40; i > 0; i--)
		g_assert_cmpint(
			peer_auth_check(receiver, &envelopes[i - 1], 1000), ==,
			0);
	for (size_t i = 0; i < 40; i++)
		g_assert_cmpint(peer_auth_check(receiver, &envelopes[i], 1000),
				==, ERR_PEER_REPLAY);
	g_assert_cmpint(peer_auth_check(receiver, &envelopes[79], 1000), ==, 0);
	/* Too far behind to tell: refused. */
	g_assert_cmpint(peer_auth_check(receiver, &envelopes[2], 1000), ==,
			ERR_PEER_REPLAY);
	g_free(sender);
	g_free(receiver);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/membership/faults", test_views_agree_after_faults);
	g_test_add_func("/membership/spread", test_rumor_reaches_all);
	g_test_add_func("/membership/leave", test_leave);
	g_test_add_func("/membership/home", test_home_is_the_same_everywhere);
	g_test_add_func("/peer/envelopes", test_envelopes);
	g_test_add_func("/peer/window", test_sequence_window);
	return g_test_run();
}
