/*
 * Fuzzes messages between instances. Guards against accepting a modified or
 * repeated envelope, a message that changes when it is decoded and
 * encoded again, and gossip that puts a member into an invalid state that it
 * never leaves.
 */
#include <string.h>

#include "process/error.h"
#include "process/membership.h"
#include "process/peer_auth.h"
#include "t/lib/fuzz.h"

enum { NOW_MS = 1000000, SELF = 7 };

static char *encode(peer_message_t *message, u_int *size)
{
	char *bytes;
	XDR xdr;

	*size = (u_int)xdr_sizeof((xdrproc_t)xdr_peer_message_t, message);
	bytes = malloc(*size);
	xdrmem_create(&xdr, bytes, *size, XDR_ENCODE);
	FUZZ_CHECK(xdr_peer_message_t(&xdr, message));
	return bytes;
}

static bool decode(char *bytes, u_int size, peer_message_t *message)
{
	XDR xdr;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, bytes, size, XDR_DECODE);
	return xdr_peer_message_t(&xdr, message);
}

static void release(peer_message_t *message)
{
	xdr_free((xdrproc_t)xdr_peer_message_t, (char *)message);
}

static void check_same(peer_message_t *message)
{
	peer_message_t again;
	u_int size;
	u_int second_size;
	char *bytes = encode(message, &size);
	char *second;

	FUZZ_CHECK(decode(bytes, size, &again));
	second = encode(&again, &second_size);
	FUZZ_CHECK(size == second_size && !memcmp(bytes, second, size));
	release(&again);
	free(bytes);
	free(second);
}

static void check_gossip(const peer_gossip_t *gossip)
{
	static membership_t membership;
	static const peer_member_t self = { .id = SELF, .incarnation = 100 };
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	peer_rumor_t new_rumors[PEER_RUMORS_MAX];

	membership_init(&membership, &self, 1, NOW_MS);
	FUZZ_CHECK(membership_receive(&membership, gossip, NOW_MS,
				      new_rumors) <= gossip->rumors.rumors_len);
	/*
	 * An instance refutes a rumor about itself by a higher incarnation. If
	 * that overflowed, others would treat it as failed for good.
	 */
	FUZZ_CHECK(membership.self.incarnation >= self.incarnation);
	for (size_t i = 0; i < membership.count; i++) {
		const peer_member_t *member = &membership.members[i].wire;

		FUZZ_CHECK(member->id != SELF);
		FUZZ_CHECK(member->state <= PEER_MEMBER_LEFT);
		FUZZ_CHECK(member->incarnation < UINT64_MAX);
	}
	FUZZ_CHECK(membership_tick(&membership, NOW_MS + 2000, actions) <=
		   MEMBERSHIP_ACTIONS_MAX);
}

/** A change of one bit and a repeated envelope must be rejected. */
static void check_envelope(const uint8_t *data, size_t size)
{
	static peer_auth_t sender;
	static peer_auth_t receiver;
	peer_envelope_t envelope = { 0 };
	char *payload = malloc(size + 1);
	size_t at = size ? data[0] % size : 0;

	memcpy(payload, data, size);
	envelope.payload.payload_val = payload;
	envelope.payload.payload_len = (u_int)size;
	peer_auth_init(&sender, 1, "secret", 2, 3);
	peer_auth_init(&receiver, 1, "secret", SELF, 4);
	peer_auth_seal(&sender, &envelope, SELF, 0);
	payload[at] ^= 1;
	FUZZ_CHECK(!size ||
		   peer_auth_check(&receiver, &envelope) == ERR_PEER_AUTH);
	payload[at] ^= 1;
	envelope.sequence ^= 1ULL << (size % 64);
	FUZZ_CHECK(peer_auth_check(&receiver, &envelope) == ERR_PEER_AUTH);
	envelope.sequence ^= 1ULL << (size % 64);
	FUZZ_CHECK(!receiver.sender_count);
	FUZZ_CHECK(peer_auth_check(&receiver, &envelope) == ERR_PEER_SESSION);
	peer_auth_seal(&sender, &envelope, SELF, receiver.senders[0].challenge);
	FUZZ_CHECK(!peer_auth_check(&receiver, &envelope));
	FUZZ_CHECK(peer_auth_check(&receiver, &envelope) == ERR_PEER_REPLAY);
	free(payload);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	peer_message_t message;
	char *bytes = malloc(size + 1);

	memcpy(bytes, data, size);
	if (decode(bytes, (u_int)size, &message)) {
		check_same(&message);
		if (message.kind == PEER_PROBE || message.kind == PEER_PUSH)
			check_gossip(&message.peer_message_t_u.gossip);
	}
	release(&message);
	free(bytes);
	check_envelope(data, size);
	return 0;
}
