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
	uint64_t sender_incarnation;
	uint64_t receiver;
	uint64_t sequence;
	uint64_t reply_to;
	uint64_t unix_ms;
	uint64_t payload_bytes;
} mac_header_t;

void peer_auth_init(peer_auth_t *auth, uint64_t cluster, const char *secret,
		    uint64_t id, uint64_t incarnation)
{
	static const char purpose[] = "amaranthvale peer envelope";

	memset(auth, 0, sizeof(*auth));
	auth->cluster = cluster;
	auth->id = id;
	auth->incarnation = incarnation;
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
		.sender_incarnation = big_endian(envelope->sender_incarnation),
		.receiver = big_endian(envelope->receiver),
		.sequence = big_endian(envelope->sequence),
		.reply_to = big_endian(envelope->reply_to),
		.unix_ms = big_endian(envelope->unix_ms),
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

void peer_auth_seal(peer_auth_t *auth, peer_envelope_t *envelope,
		    uint64_t receiver, uint64_t reply_to, uint64_t unix_ms)
{
	envelope->cluster = auth->cluster;
	envelope->sender = auth->id;
	envelope->sender_incarnation = auth->incarnation;
	envelope->receiver = receiver;
	envelope->sequence = ++auth->sequence;
	envelope->reply_to = reply_to;
	envelope->unix_ms = unix_ms;
	compute_mac(auth, envelope, (unsigned char *)envelope->mac);
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
	peer_sender_t *oldest = &auth->senders[0];

	for (size_t i = 0; i < auth->sender_count; i++) {
		if (auth->senders[i].id == id)
			return &auth->senders[i];
		if (auth->senders[i].last_used_unix_ms <
		    oldest->last_used_unix_ms)
			oldest = &auth->senders[i];
	}
	if (auth->sender_count < PEER_SENDERS_MAX)
		oldest = &auth->senders[auth->sender_count++];
	memset(oldest, 0, sizeof(*oldest));
	oldest->id = id;
	return oldest;
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

int peer_auth_check(peer_auth_t *auth, const peer_envelope_t *envelope,
		    uint64_t unix_ms)
{
	uint64_t sent_unix_ms = envelope->unix_ms;
	peer_sender_t *sender;

	if (!is_authentic(auth, envelope))
		return ERR_PEER_AUTH;
	if (sent_unix_ms + PEER_CLOCK_SKEW_MAX_MS < unix_ms ||
	    sent_unix_ms > unix_ms + PEER_CLOCK_SKEW_MAX_MS)
		return ERR_PEER_REPLAY;
	sender = find_sender(auth, envelope->sender);
	if (envelope->sender_incarnation < sender->incarnation)
		return ERR_PEER_REPLAY;
	if (envelope->sender_incarnation > sender->incarnation) {
		sender->incarnation = envelope->sender_incarnation;
		sender->highest_sequence = 0;
		sender->window = 0;
	}
	sender->last_used_unix_ms = unix_ms;
	return is_new_sequence(sender, envelope->sequence) ? 0
							   : ERR_PEER_REPLAY;
}
