#include "process/peer_auth.h"

#include <sodium.h>
#include <string.h>

#include "process/error.h"

_Static_assert(PEER_KEY_BYTES == crypto_auth_KEYBYTES, "size of the MAC key");
_Static_assert(PEER_MAC_BYTES == crypto_auth_BYTES, "size of the MAC");

/** Fixed fields of the envelope that the MAC covers, in network order. */
typedef struct mac_header {
	uint64_t cluster;
	uint64_t sender;
	uint64_t session;
	uint64_t receiver;
	uint64_t challenge;
	uint64_t sequence;
	uint64_t reply_to;
	uint64_t payload_bytes;
} mac_header_t;

void peer_auth_init(peer_auth_t *auth, uint64_t cluster, const char *secret,
		    uint64_t id, uint64_t seed)
{
	static const char purpose[] = "amaranthvale peer envelope";

	memset(auth, 0, sizeof(*auth));
	rng_init(&auth->rng, seed);
	auth->cluster = cluster;
	auth->id = id;
	auth->session = rng_next(&auth->rng);
	/* Leaves room to count. */
	auth->sequence = rng_next(&auth->rng) >> 1;
	crypto_generichash(auth->key, sizeof(auth->key),
			   (const unsigned char *)secret, strlen(secret),
			   (const unsigned char *)purpose, sizeof(purpose));
}

static uint64_t big_endian(uint64_t value)
{
	unsigned char bytes[8];
	uint64_t result;

	for (int i = 0; i < 8; i++)
		bytes[i] = (unsigned char)(value >> (56 - 8 * i));
	memcpy(&result, bytes, sizeof(result));
	return result;
}

/** The MAC covers fields in network order, so that it is host-independent. */
static void compute_mac(const peer_auth_t *auth,
			const peer_envelope_t *envelope,
			unsigned char mac[PEER_MAC_BYTES])
{
	mac_header_t header = {
		.cluster = big_endian(envelope->cluster),
		.sender = big_endian(envelope->sender),
		.session = big_endian(envelope->session),
		.receiver = big_endian(envelope->receiver),
		.challenge = big_endian(envelope->challenge),
		.sequence = big_endian(envelope->sequence),
		.reply_to = big_endian(envelope->reply_to),
		.payload_bytes = big_endian(envelope->payload.payload_len),
	};
	crypto_auth_hmacsha512256_state state;

	crypto_auth_hmacsha512256_init(&state, auth->key, sizeof(auth->key));
	crypto_auth_hmacsha512256_update(&state, (unsigned char *)&header,
					 sizeof(header));
	crypto_auth_hmacsha512256_update(
		&state, (unsigned char *)envelope->payload.payload_val,
		envelope->payload.payload_len);
	crypto_auth_hmacsha512256_final(&state, mac);
}

static bool is_authentic(const peer_auth_t *auth,
			 const peer_envelope_t *envelope)
{
	unsigned char mac[PEER_MAC_BYTES];

	if (envelope->cluster != auth->cluster)
		return false;
	if (envelope->receiver && envelope->receiver != auth->id)
		return false;
	compute_mac(auth, envelope, mac);
	return !sodium_memcmp(mac, envelope->mac, sizeof(mac));
}

static peer_sender_t *find_sender(peer_auth_t *auth, uint64_t id)
{
	for (size_t i = 0; i < auth->sender_count; i++) {
		if (auth->senders[i].id == id)
			return &auth->senders[i];
	}
	return NULL;
}

/** A free entry, or the one that was not used for longest. */
static peer_sender_t *entry_to_replace(peer_auth_t *auth)
{
	peer_sender_t *oldest = &auth->senders[0];

	if (auth->sender_count < PEER_SENDERS_MAX)
		return &auth->senders[auth->sender_count++];
	for (size_t i = 1; i < auth->sender_count; i++) {
		if (auth->senders[i].last_used < oldest->last_used)
			oldest = &auth->senders[i];
	}
	return oldest;
}

static void renew_challenge(peer_auth_t *auth, peer_sender_t *sender)
{
	sender->challenge = rng_next(&auth->rng);
	sender->session = 0;
	sender->highest_sequence = 0;
	sender->window = 0;
}

static peer_sender_t *find_or_add_sender(peer_auth_t *auth, uint64_t id)
{
	peer_sender_t *sender = find_sender(auth, id);

	if (!sender) {
		sender = entry_to_replace(auth);
		*sender = (peer_sender_t){ .id = id };
		renew_challenge(auth, sender);
	}
	sender->last_used = ++auth->use_count;
	return sender;
}

uint64_t peer_auth_challenge(const peer_auth_t *auth, uint64_t receiver)
{
	for (size_t i = 0; i < auth->sender_count; i++) {
		if (auth->senders[i].id == receiver)
			return auth->senders[i].own_challenge;
	}
	return 0;
}

static void seal(peer_auth_t *auth, peer_envelope_t *envelope,
		 uint64_t receiver, uint64_t challenge)
{
	envelope->cluster = auth->cluster;
	envelope->sender = auth->id;
	envelope->session = auth->session;
	envelope->receiver = receiver;
	envelope->challenge = challenge;
	envelope->sequence = ++auth->sequence;
	compute_mac(auth, envelope, (unsigned char *)envelope->mac);
}

void peer_auth_seal(peer_auth_t *auth, peer_envelope_t *envelope,
		    uint64_t receiver, uint64_t challenge)
{
	envelope->reply_to = 0;
	seal(auth, envelope, receiver, challenge);
}

void peer_auth_seal_answer(peer_auth_t *auth, peer_envelope_t *envelope,
			   const peer_envelope_t *request)
{
	const peer_sender_t *sender = find_sender(auth, request->sender);

	envelope->reply_to = request->sequence;
	seal(auth, envelope, request->sender, sender ? sender->challenge : 0);
}

/** Records a sequence number. @return whether it was not received before */
static bool is_new_sequence(peer_sender_t *sender, uint64_t sequence)
{
	uint64_t behind;

	if (sequence > sender->highest_sequence) {
		uint64_t ahead = sequence - sender->highest_sequence;

		sender->window = ahead < PEER_REPLAY_WINDOW
					 ? sender->window << ahead
					 : 0;
		sender->window |= 1;
		sender->highest_sequence = sequence;
		return true;
	}
	behind = sender->highest_sequence - sequence;
	if (behind >= PEER_REPLAY_WINDOW || sender->window & (1ULL << behind))
		return false;
	sender->window |= 1ULL << behind;
	return true;
}

int peer_auth_check(peer_auth_t *auth, const peer_envelope_t *envelope)
{
	peer_sender_t *sender;

	if (!is_authentic(auth, envelope) || envelope->reply_to)
		return ERR_PEER_AUTH;
	sender = find_or_add_sender(auth, envelope->sender);
	if (envelope->challenge != sender->challenge)
		return ERR_PEER_SESSION;
	if (sender->session && envelope->session != sender->session) {
		renew_challenge(auth, sender);
		return ERR_PEER_SESSION;
	}
	sender->session = envelope->session;
	return is_new_sequence(sender, envelope->sequence) ? 0
							   : ERR_PEER_REPLAY;
}

int peer_auth_check_answer(peer_auth_t *auth, const peer_envelope_t *envelope,
			   uint64_t sequence, uint64_t receiver)
{
	if (!is_authentic(auth, envelope) || envelope->reply_to != sequence ||
	    (receiver && envelope->sender != receiver))
		return ERR_PEER_AUTH;
	find_or_add_sender(auth, envelope->sender)->own_challenge =
		envelope->challenge;
	return 0;
}
