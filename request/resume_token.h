/**
 * @file
 * Signed resume token: the SSE `id:` of each event of a stream.
 *
 * A token identifies the customer, the request, the engine that runs the stream
 * and the number of tokens relayed, so any instance of the cluster can resume
 * the stream without shared state. It is signed with a key derived from the
 * cluster key and expires.
 */
#ifndef REQUEST_RESUME_TOKEN_H
#define REQUEST_RESUME_TOKEN_H

#include <stddef.h>
#include <stdint.h>

enum {
	/** Longest encoded token with its NUL, bytes. */
	RESUME_TOKEN_MAX_BYTES = 480,
	/** Longest identifier in a token with its NUL, bytes. */
	RESUME_ID_MAX_BYTES = 64,
	RESUME_KEY_BYTES = 32,
};

/** Signing key. */
typedef struct resume_key {
	unsigned char bytes[RESUME_KEY_BYTES];
} resume_key_t;

/** Decoded token. */
typedef struct resume_token {
	uint64_t expires_s;	/**< Unix time, seconds. */
	uint64_t customer_hash; /**< hash_string() of the customer id. */
	uint64_t request_hash;	/**< chat_request_t.fingerprint. */
	/** relay_text_hash() of the text of the relayed tokens. */
	uint64_t text_hash;
	uint64_t position; /**< Number of tokens relayed. */
	/** Attempt id under which the engine started the stream. */
	char request_id[RESUME_ID_MAX_BYTES];
	char endpoint[RESUME_ID_MAX_BYTES];
	char incarnation[RESUME_ID_MAX_BYTES];
	char stream_id[RESUME_ID_MAX_BYTES];
} resume_token_t;

/** Derives the signing key from the cluster key. */
void resume_key_init(resume_key_t *key, const char *cluster_key);

/**
 * Signs and encodes a token as base64url.
 * @return 0, or ERR_LIMIT if an identifier is too long
 */
int resume_token_encode(const resume_key_t *key, const resume_token_t *token,
			char text[RESUME_TOKEN_MAX_BYTES]);

/**
 * Decodes a token and checks its signature and expiry. Trailing bytes are an
 * error, so that each token has a single encoding.
 * @return 0, or ERR_RESUME_TOKEN with `token` unchanged
 */
int resume_token_decode(const resume_key_t *key, const char *text,
			uint64_t now_s, resume_token_t *token);

#endif
