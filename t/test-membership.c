/* Membership and rumors on virtual time with random faults; authentication. */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "process/error.h"
#include "process/membership.h"
#include "process/peer_auth.h"
#include "t/lib/fake_net.h"
#include "t/lib/seeds.h"

enum {
	NODES = 9,
	DOMAINS = 3,
	/** Duration of the phase with faults. */
	FAULTS_MS = 20000,
	/** Time until all members must have heard of a restart. */
	HEARD_MS = 3000,
	/** Time without faults after which members must agree. */
	QUIET_MS = 60000,
};

static const membership_member_t *
member_seen_by(const fake_net_t *net, size_t subject, size_t observer)
{
	for (size_t i = 0; i < net->nodes[observer].count; i++) {
		if (net->nodes[observer].members[i].wire.id == subject + 1)
			return &net->nodes[observer].members[i];
	}
	return NULL;
}

static bool is_seen_live(const fake_net_t *net, size_t subject, size_t observer)
{
	const membership_member_t *member =
		member_seen_by(net, subject, observer);

	return member && (member->wire.state == PEER_MEMBER_ALIVE ||
			  member->wire.state == PEER_MEMBER_SUSPECT);
}

static void random_fault(fake_net_t *net)
{
	size_t node = rng_below(&net->rng, NODES);

	switch (rng_below(&net->rng, 4)) {
	case 0:
		net->up[node] = false;
		break;
	case 1:
		fake_net_start(net, node);
		break;
	case 2:
		for (size_t i = 0; i < NODES; i++)
			net->partition[i] = (i % DOMAINS) == node % DOMAINS;
		break;
	default:
		memset(net->partition, 0, NODES * sizeof(*net->partition));
		break;
	}
}

/*
 * After crashes, restarts, partitions and losses, each running node must see
 * exactly the running nodes as live.
 */
static void run_faults(uint64_t seed)
{
	fake_net_t *net = fake_net_new(NODES, DOMAINS, seed);

	net->loss_percent = (uint32_t)rng_below(&net->rng, 20);
	while (net->now_ms < FAULTS_MS) {
		fake_net_run(net,
			     net->now_ms + 500 + rng_below(&net->rng, 3000));
		random_fault(net);
	}
	memset(net->partition, 0, NODES * sizeof(*net->partition));
	net->loss_percent = 0;
	fake_net_run(net, net->now_ms + QUIET_MS);
	for (size_t observer = 0; observer < NODES; observer++) {
		for (size_t subject = 0; subject < NODES; subject++) {
			if (observer == subject || !net->up[observer])
				continue;
			g_assert_cmpint(is_seen_live(net, subject, observer),
					==, net->up[subject]);
		}
	}
	fake_net_free(net);
}

static void test_members_agree_after_faults(void)
{
	seeds_run(1000, run_faults);
}

/* A rumor must reach all nodes within 3 s; the limit for changes is 4 s. */
static void run_spread(uint64_t seed)
{
	fake_net_t *net = fake_net_new(NODES, DOMAINS, seed);
	peer_rumor_t rumor = { .kind = PEER_RUMOR_CRASH };

	net->loss_percent = 5;
	fake_net_run(net, 3000);
	rumor.peer_rumor_t_u.crash.fingerprint = 77;
	rumor.peer_rumor_t_u.crash.crash = 1;
	membership_spread_rumor(&net->nodes[0], &rumor);
	fake_net_run(net, net->now_ms + 3000);
	for (size_t i = 0; i < NODES; i++)
		g_assert_false(membership_spread_rumor(&net->nodes[i], &rumor));
	fake_net_free(net);
}

static void test_rumor_reaches_all(void)
{
	seeds_run(200, run_spread);
}

/* A member that leaves in an orderly way must not be reported as failed. */
static void test_leave(void)
{
	fake_net_t *net = fake_net_new(NODES, DOMAINS, 3);
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];

	fake_net_run(net, 3000);
	fake_net_perform_actions(net, 0, actions,
				 membership_leave(&net->nodes[0], actions));
	fake_net_run(net, net->now_ms + 200);
	net->up[0] = false;
	fake_net_run(net, net->now_ms + 5000);
	for (size_t observer = 1; observer < NODES; observer++)
		g_assert_cmpint(member_seen_by(net, 0, observer)->wire.state,
				==, PEER_MEMBER_LEFT);
	fake_net_free(net);
}

static void test_owner_is_the_same_everywhere(void)
{
	fake_net_t *net = fake_net_new(NODES, DOMAINS, 4);

	fake_net_run(net, 3000);
	for (uint64_t key = 0; key < 50; key++) {
		uint64_t owner = membership_owner(&net->nodes[0], key).id;

		for (size_t i = 1; i < NODES; i++)
			g_assert_cmpuint(
				membership_owner(&net->nodes[i], key).id, ==,
				owner);
	}
	fake_net_free(net);
}

/* Failure: an instance that only others could reach seemed to have a fresher
 * configuration with each of their acknowledgements. */
static void test_config_age(void)
{
	peer_member_t self = { .id = 1, .incarnation = 1 };
	peer_gossip_t gossip = { .sender = { .id = 2, .incarnation = 1 },
				 .config_age_ms = 100 };
	g_autofree membership_t *membership = g_new0(membership_t, 1);
	const membership_member_t *member = &membership->members[0];

	membership_init(membership, &self, 1, 1000);
	membership_receive(membership, &gossip, 1000, NULL);
	g_assert_cmpuint(membership_config_age_ms(member, 1500), ==, 600);
	membership_indirect_ack(membership, 2, 1);
	g_assert_cmpuint(membership_config_age_ms(member, 9000), ==, 8100);
}

/** Change made to a sealed request before it is checked. */
typedef enum tamper {
	TAMPER_NONE,
	TAMPER_PAYLOAD,
	TAMPER_SEQUENCE,
	TAMPER_SENDER,
	TAMPER_SESSION,
	TAMPER_CHALLENGE,
	TAMPER_REPLY_TO,
	TAMPER_REPEAT,
	TAMPER_OTHER_RECEIVER,
	TAMPER_OTHER_CLUSTER,
	TAMPER_OTHER_SECRET,
	/** It was sealed before the receiver restarted. */
	TAMPER_OLD_RECEIVER,
	/** A newer process of the sender has been heard since. */
	TAMPER_OLD_SENDER,
	TAMPER_NO_CHALLENGE,
} tamper_t;

enum {
	SENDER_ID = 10,
	RECEIVER_ID = 20,
};

typedef struct auth_pair {
	peer_auth_t *sender;
	peer_auth_t *receiver;
} auth_pair_t;

static auth_pair_t new_pair(void)
{
	auth_pair_t pair = { g_new0(peer_auth_t, 1), g_new0(peer_auth_t, 1) };

	peer_auth_init(pair.sender, 1, "secret", SENDER_ID, 6);
	peer_auth_init(pair.receiver, 1, "secret", RECEIVER_ID, 5);
	return pair;
}

static void free_pair(auth_pair_t *pair)
{
	g_free(pair->sender);
	g_free(pair->receiver);
}

/* Answers a request, which gives the sender its challenge. */
static void exchange(const auth_pair_t *pair, const peer_envelope_t *request)
{
	peer_envelope_t answer = { 0 };

	peer_auth_seal_answer(pair->receiver, &answer, request);
	g_assert_cmpint(peer_auth_check_answer(pair->sender, &answer,
					       request->sequence, RECEIVER_ID),
			==, 0);
}

/* Seals a request with the challenge that the sender knows. */
static void seal_known(const auth_pair_t *pair, peer_envelope_t *request)
{
	peer_auth_seal(pair->sender, request, RECEIVER_ID,
		       peer_auth_challenge(pair->sender, RECEIVER_ID));
}

/* The first request has no challenge, and is answered with one. */
static void introduce(const auth_pair_t *pair)
{
	peer_envelope_t request = { 0 };

	seal_known(pair, &request);
	g_assert_cmpint(peer_auth_check(pair->receiver, &request), ==,
			ERR_PEER_SESSION);
	exchange(pair, &request);
}

static void send_accepted(const auth_pair_t *pair)
{
	peer_envelope_t request = { 0 };

	seal_known(pair, &request);
	g_assert_cmpint(peer_auth_check(pair->receiver, &request), ==, 0);
	exchange(pair, &request);
}

static void tamper_with(auth_pair_t *pair, tamper_t tamper,
			peer_envelope_t *request)
{
	switch (tamper) {
	case TAMPER_PAYLOAD:
		request->payload.payload_val[0] ^= 1;
		return;
	case TAMPER_SEQUENCE:
		request->sequence++;
		return;
	case TAMPER_SENDER:
		request->sender++;
		return;
	case TAMPER_SESSION:
		request->session++;
		return;
	case TAMPER_CHALLENGE:
		request->challenge++;
		return;
	case TAMPER_REPLY_TO:
		request->reply_to++;
		return;
	case TAMPER_REPEAT:
		g_assert_cmpint(peer_auth_check(pair->receiver, request), ==,
				0);
		return;
	case TAMPER_OLD_RECEIVER:
		peer_auth_init(pair->receiver, 1, "secret", RECEIVER_ID, 50);
		introduce(pair);
		return;
	case TAMPER_OLD_SENDER:
		send_accepted(pair);
		peer_auth_init(pair->sender, 1, "secret", SENDER_ID, 60);
		introduce(pair);
		introduce(pair);
		send_accepted(pair);
		return;
	case TAMPER_NO_CHALLENGE:
		peer_auth_seal(pair->sender, request, RECEIVER_ID, 0);
		return;
	default:
		return;
	}
}

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
		{ TAMPER_SESSION, ERR_PEER_AUTH },
		{ TAMPER_CHALLENGE, ERR_PEER_AUTH },
		{ TAMPER_REPLY_TO, ERR_PEER_AUTH },
		{ TAMPER_REPEAT, ERR_PEER_REPLAY },
		{ TAMPER_OTHER_RECEIVER, ERR_PEER_AUTH },
		{ TAMPER_OTHER_CLUSTER, ERR_PEER_AUTH },
		{ TAMPER_OTHER_SECRET, ERR_PEER_AUTH },
		{ TAMPER_OLD_RECEIVER, ERR_PEER_SESSION },
		{ TAMPER_OLD_SENDER, ERR_PEER_SESSION },
		{ TAMPER_NO_CHALLENGE, ERR_PEER_SESSION },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		tamper_t tamper = cases[i].tamper;
		char payload[] = "payload";
		peer_envelope_t request = { 0 };
		auth_pair_t pair = new_pair();

		introduce(&pair);
		request.payload.payload_val = payload;
		request.payload.payload_len = sizeof(payload);
		if (tamper == TAMPER_OTHER_CLUSTER ||
		    tamper == TAMPER_OTHER_SECRET)
			peer_auth_init(pair.sender,
				       tamper == TAMPER_OTHER_CLUSTER ? 2 : 1,
				       tamper == TAMPER_OTHER_SECRET ? "other"
								     : "secret",
				       SENDER_ID, 6);
		peer_auth_seal(pair.sender, &request,
			       tamper == TAMPER_OTHER_RECEIVER ? 21
							       : RECEIVER_ID,
			       peer_auth_challenge(pair.sender, RECEIVER_ID));
		tamper_with(&pair, tamper, &request);
		g_assert_cmpint(peer_auth_check(pair.receiver, &request), ==,
				cases[i].result);
		free_pair(&pair);
	}
}

/* Failure: an instance that started again while its time of day was behind was
 * rejected by all others. */
static void test_restarts(void)
{
	auth_pair_t pair = new_pair();

	introduce(&pair);
	send_accepted(&pair);
	for (uint64_t seed = 100; seed > 0; seed -= 10) {
		peer_envelope_t request = { 0 };

		peer_auth_init(pair.sender, 1, "secret", SENDER_ID, seed);
		introduce(&pair);
		/* Its predecessor has used the challenge. */
		seal_known(&pair, &request);
		g_assert_cmpint(peer_auth_check(pair.receiver, &request), ==,
				ERR_PEER_SESSION);
		exchange(&pair, &request);
		send_accepted(&pair);
		send_accepted(&pair);
	}
	free_pair(&pair);
}

/* An answer belongs to one request of one process. */
static void test_answers(void)
{
	auth_pair_t pair = new_pair();
	peer_envelope_t request = { 0 };
	peer_envelope_t answer = { 0 };
	uint64_t sequence;

	introduce(&pair);
	seal_known(&pair, &request);
	sequence = request.sequence;
	peer_auth_seal_answer(pair.receiver, &answer, &request);
	g_assert_cmpint(peer_auth_check_answer(pair.sender, &answer,
					       sequence + 1, RECEIVER_ID),
			==, ERR_PEER_AUTH);
	g_assert_cmpint(
		peer_auth_check_answer(pair.sender, &answer, sequence, 21), ==,
		ERR_PEER_AUTH);
	g_assert_cmpint(peer_auth_check(pair.sender, &answer), ==,
			ERR_PEER_AUTH);
	g_assert_cmpint(
		peer_auth_check_answer(pair.sender, &answer, sequence, 0), ==,
		0);
	peer_auth_init(pair.sender, 1, "secret", SENDER_ID, 7);
	seal_known(&pair, &request);
	g_assert_cmpint(peer_auth_check_answer(pair.sender, &answer,
					       request.sequence, RECEIVER_ID),
			==, ERR_PEER_AUTH);
	free_pair(&pair);
}

/* An entry that is replaced in a full table must not let replays through. */
static void test_full_table(void)
{
	auth_pair_t pair = new_pair();
	peer_envelope_t old = { 0 };

	introduce(&pair);
	seal_known(&pair, &old);
	g_assert_cmpint(peer_auth_check(pair.receiver, &old), ==, 0);
	for (uint64_t id = 1000; id < 1000 + PEER_SENDERS_MAX; id++) {
		peer_envelope_t request = { 0 };

		peer_auth_init(pair.sender, 1, "secret", id, id);
		seal_known(&pair, &request);
		g_assert_cmpint(peer_auth_check(pair.receiver, &request), ==,
				ERR_PEER_SESSION);
	}
	g_assert_cmpuint(pair.receiver->sender_count, ==, PEER_SENDERS_MAX);
	g_assert_cmpint(peer_auth_check(pair.receiver, &old), ==,
			ERR_PEER_SESSION);
	free_pair(&pair);
}

/* Reordered messages are accepted; only a repeated one is rejected. */
static void test_sequence_window(void)
{
	auth_pair_t pair = new_pair();
	peer_envelope_t envelopes[80] = { 0 };

	introduce(&pair);
	for (size_t i = 0; i < G_N_ELEMENTS(envelopes); i++)
		seal_known(&pair, &envelopes[i]);
	for (size_t i = 40; i > 0; i--)
		g_assert_cmpint(
			peer_auth_check(pair.receiver, &envelopes[i - 1]), ==,
			0);
	for (size_t i = 0; i < 40; i++)
		g_assert_cmpint(peer_auth_check(pair.receiver, &envelopes[i]),
				==, ERR_PEER_REPLAY);
	g_assert_cmpint(peer_auth_check(pair.receiver, &envelopes[79]), ==, 0);
	/* A sequence number below the replay window is rejected. */
	g_assert_cmpint(peer_auth_check(pair.receiver, &envelopes[2]), ==,
			ERR_PEER_REPLAY);
	free_pair(&pair);
}

/* Failure: an instance that started again with a lower incarnation than before,
 * because its time of day had been ahead, seemed to have failed for good. */
static void run_lower_incarnation(uint64_t seed)
{
	fake_net_t *net = fake_net_new(NODES, DOMAINS, seed);
	size_t node = rng_below(&net->rng, NODES);
	uint64_t before;

	fake_net_run(net, 3000);
	before = net->nodes[node].self.incarnation;
	net->up[node] = false;
	fake_net_run(net, net->now_ms + rng_below(&net->rng, 20000));
	fake_net_start(net, node);
	net->nodes[node].self.incarnation = 1;
	fake_net_run(net, net->now_ms + HEARD_MS);
	g_assert_cmpuint(net->nodes[node].self.incarnation, >, before);
	for (size_t i = 0; i < NODES; i++) {
		if (i == node)
			continue;
		g_assert_true(is_seen_live(net, node, i));
		g_assert_cmpuint(member_seen_by(net, node, i)->wire.incarnation,
				 ==, net->nodes[node].self.incarnation);
	}
	fake_net_free(net);
}

static void test_lower_incarnation(void)
{
	seeds_run(200, run_lower_incarnation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/membership/config-age", test_config_age);
	g_test_add_func("/membership/faults", test_members_agree_after_faults);
	g_test_add_func("/membership/spread", test_rumor_reaches_all);
	g_test_add_func("/membership/leave", test_leave);
	g_test_add_func("/membership/owner", test_owner_is_the_same_everywhere);
	g_test_add_func("/peer/envelopes", test_envelopes);
	g_test_add_func("/membership/lower-incarnation",
			test_lower_incarnation);
	g_test_add_func("/peer/restarts", test_restarts);
	g_test_add_func("/peer/answers", test_answers);
	g_test_add_func("/peer/full-table", test_full_table);
	g_test_add_func("/peer/window", test_sequence_window);
	return g_test_run();
}
