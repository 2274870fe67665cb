/**
 * @file
 * Hashes: prefix keys, rendezvous weights and content digests.
 */
#ifndef PROCESS_HASH_H
#define PROCESS_HASH_H

#include <stddef.h>
#include <stdint.h>

enum {
	/** SHA-256 digest, bytes. */
	HASH_DIGEST_BYTES = 32,
	/** SHA-256 digest as hex digits with the terminating NUL, bytes. */
	HASH_DIGEST_HEX_BYTES = 2 * HASH_DIGEST_BYTES + 1,
	/** 64-bit key as hex digits with the terminating NUL, bytes. */
	HASH_KEY_HEX_BYTES = 17,
};

/** XXH3-64 of `len` bytes, seeded with the key of the bytes before them. */
uint64_t hash_chain(uint64_t previous_key, const void *data, size_t len);

/**
 * First key in the chain of a prompt's block keys. It covers what separates
 * cache entries: prompts that differ in salt (customer), model, adapter or
 * weights version must not share any.
 */
uint64_t hash_chain_start(const char *salt, const char *model,
			  const char *adapter, const char *version);

/** XXH3-64 of a NUL-terminated string. */
uint64_t hash_string(const char *text);

/** Weight of `node` for `key` in rendezvous hashing; the highest wins. */
uint64_t hash_rendezvous(uint64_t key, uint64_t node);

/** SHA-256 of `len` bytes as lower-case hex digits. */
void hash_digest_hex(const void *data, size_t len,
		     char hex[HASH_DIGEST_HEX_BYTES]);

/** Writes a key as 16 lower-case hex digits. */
void hash_key_to_hex(uint64_t key, char hex[HASH_KEY_HEX_BYTES]);

/**
 * Reads 16 hex digits.
 * @return 0, or ERR_BAD_FIELD if `hex` is not exactly 16 hex digits
 */
int hash_key_from_hex(const char *hex, uint64_t *key);

#endif
