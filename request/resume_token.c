#include "request/resume_token.h"

#include <sodium.h>
#include <string.h>

#include "process/error.h"

enum {
	/** First byte of a token; increment when the layout changes. */
	LAYOUT_VERSION = 1,
	MAC_BYTES = 16,
	NUMBER_BYTES = 8,
	NUMBER_COUNT = 5,
	ID_COUNT = 4,
	RAW_MAX_BYTES = 1 + NUMBER_COUNT * NUMBER_BYTES +
			ID_COUNT * RESUME_ID_MAX_BYTES + MAC_BYTES,
};

_Static_assert((RAW_MAX_BYTES + 2) / 3 * 4 + 1 <= RESUME_TOKEN_MAX_BYTES,
	       "the base64url text of the longest token must fit");

/** Binary form of a token while it is encoded or decoded. */
typedef struct raw {
	unsigned char bytes[RAW_MAX_BYTES];
	size_t len;
	size_t at; /**< Read position. */
} raw_t;

void resume_key_init(resume_key_t *key, const char *cluster_key)
{
	static const char purpose[] = "amaranthvale resume token";

	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(key->bytes));
	crypto_generichash_update(&state, (const unsigned char *)purpose,
				  sizeof(purpose));
	crypto_generichash_update(&state, (const unsigned char *)cluster_key,
				  strlen(cluster_key));
	crypto_generichash_final(&state, key->bytes, sizeof(key->bytes));
}

static void sign(const resume_key_t *key, const raw_t *raw, size_t len,
		 unsigned char mac[MAC_BYTES])
{
	crypto_generichash(mac, MAC_BYTES, raw->bytes, len, key->bytes,
			   sizeof(key->bytes));
}

static void put_number(raw_t *raw, uint64_t number)
{
	for (int i = 0; i < NUMBER_BYTES; i++)
		raw->bytes[raw->len++] = (unsigned char)(number >> (8 * i));
}

static int put_id(raw_t *raw, const char *id)
{
	size_t len = strnlen(id, RESUME_ID_MAX_BYTES);

	if (len == RESUME_ID_MAX_BYTES)
		return ERR_LIMIT;
	raw->bytes[raw->len++] = (unsigned char)len;
	memcpy(raw->bytes + raw->len, id, len);
	raw->len += len;
	return 0;
}

int resume_token_encode(const resume_key_t *key, const resume_token_t *token,
			char text[RESUME_TOKEN_MAX_BYTES])
{
	raw_t raw = { .len = 0 };

	raw.bytes[raw.len++] = LAYOUT_VERSION;
	put_number(&raw, token->expires_s);
	put_number(&raw, token->customer_hash);
	put_number(&raw, token->request_hash);
	put_number(&raw, token->text_hash);
	put_number(&raw, token->position);
	if (put_id(&raw, token->request_id) || put_id(&raw, token->endpoint) ||
	    put_id(&raw, token->incarnation) || put_id(&raw, token->stream_id))
		return ERR_LIMIT;
	sign(key, &raw, raw.len, raw.bytes + raw.len);
	raw.len += MAC_BYTES;
	sodium_bin2base64(text, RESUME_TOKEN_MAX_BYTES, raw.bytes, raw.len,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return 0;
}

static int get_number(raw_t *raw, uint64_t *number)
{
	if (raw->len - raw->at < NUMBER_BYTES)
		return ERR_RESUME_TOKEN;
	*number = 0;
	for (int i = 0; i < NUMBER_BYTES; i++)
		*number |= (uint64_t)raw->bytes[raw->at++] << (8 * i);
	return 0;
}

static int get_id(raw_t *raw, char id[RESUME_ID_MAX_BYTES])
{
	size_t len;

	if (raw->at == raw->len)
		return ERR_RESUME_TOKEN;
	len = raw->bytes[raw->at++];
	if (len >= RESUME_ID_MAX_BYTES || raw->len - raw->at < len ||
	    memchr(raw->bytes + raw->at, '\0', len))
		return ERR_RESUME_TOKEN;
	memcpy(id, raw->bytes + raw->at, len);
	id[len] = '\0';
	raw->at += len;
	return 0;
}

static int get_fields(raw_t *raw, resume_token_t *token)
{
	if (get_number(raw, &token->expires_s) ||
	    get_number(raw, &token->customer_hash) ||
	    get_number(raw, &token->request_hash) ||
	    get_number(raw, &token->text_hash) ||
	    get_number(raw, &token->position) ||
	    get_id(raw, token->request_id) || get_id(raw, token->endpoint) ||
	    get_id(raw, token->incarnation) || get_id(raw, token->stream_id))
		return ERR_RESUME_TOKEN;
	return raw->at == raw->len ? 0 : ERR_RESUME_TOKEN;
}

int resume_token_decode(const resume_key_t *key, const char *text,
			uint64_t now_s, resume_token_t *token)
{
	unsigned char mac[MAC_BYTES];
	const char *end;
	raw_t raw = { .at = 0 };
	resume_token_t decoded = { 0 };
	size_t text_len = strnlen(text, RESUME_TOKEN_MAX_BYTES);

	if (text_len == RESUME_TOKEN_MAX_BYTES ||
	    sodium_base642bin(raw.bytes, sizeof(raw.bytes), text, text_len,
			      NULL, &raw.len, &end,
			      sodium_base64_VARIANT_URLSAFE_NO_PADDING) ||
	    end != text + text_len || raw.len < 1 + MAC_BYTES)
		return ERR_RESUME_TOKEN;
	raw.len -= MAC_BYTES;
	sign(key, &raw, raw.len, mac);
	if (sodium_memcmp(mac, raw.bytes + raw.len, MAC_BYTES) != 0)
		return ERR_RESUME_TOKEN;
	if (raw.bytes[raw.at++] != LAYOUT_VERSION)
		return ERR_RESUME_TOKEN;
	if (get_fields(&raw, &decoded) || decoded.expires_s <= now_s)
		return ERR_RESUME_TOKEN;
	*token = decoded;
	return 0;
}
