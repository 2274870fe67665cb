#include "process/hash.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "process/error.h"

uint64_t hash_chain(uint64_t previous_key, const void *data, size_t len)
{
	return XXH3_64bits_withSeed(data, len, previous_key);
}

/** Hashes a string and a separator, so that "a","bc" differs from "ab","c". */
static uint64_t chain_part(uint64_t key, const char *text)
{
	key = hash_chain(key, text, strlen(text));
	return hash_chain(key, "|", 1);
}

uint64_t hash_chain_start(const char *salt, const char *model,
			  const char *adapter, const char *version)
{
	uint64_t key = chain_part(0, salt);

	key = chain_part(key, model);
	key = chain_part(key, adapter);
	return chain_part(key, version);
}

uint64_t hash_string(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

uint64_t hash_rendezvous(uint64_t key, uint64_t node)
{
	return XXH3_64bits_withSeed(&node, sizeof(node), key);
}

void hash_digest_hex(const void *data, size_t len,
		     char hex[HASH_DIGEST_HEX_BYTES])
{
	unsigned char digest[HASH_DIGEST_BYTES];

	crypto_hash_sha256(digest, data, len);
	sodium_bin2hex(hex, HASH_DIGEST_HEX_BYTES, digest, sizeof(digest));
}

void hash_key_to_hex(uint64_t key, char hex[HASH_KEY_HEX_BYTES])
{
	snprintf(hex, HASH_KEY_HEX_BYTES, "%016llx", (unsigned long long)key);
}

int hash_key_from_hex(const char *hex, uint64_t *key)
{
	size_t len = strlen(hex);

	if (len != HASH_KEY_HEX_BYTES - 1)
		return ERR_BAD_FIELD;
	for (size_t i = 0; i < len; i++) {
		if (!isxdigit((unsigned char)hex[i]))
			return ERR_BAD_FIELD;
	}
	*key = strtoull(hex, NULL, 16);
	return 0;
}
