/*
 * Fuzzes the decoder of resume tokens. Guards against two encodings of one
 * token, against writes to the output by a rejected token, and, by signing the
 * input, against faults after the signature check.
 */
#include <sodium.h>
#include <string.h>

#include "process/error.h"
#include "request/resume_token.h"
#include "t/lib/fuzz.h"

enum { MAC_BYTES = 16, NOW_S = 1000 };

static void check(const resume_key_t *key, const char *text)
{
	resume_token_t token;
	resume_token_t before;
	char again[RESUME_TOKEN_MAX_BYTES];
	int err;

	memset(&token, 0x5a, sizeof(token));
	before = token;
	err = resume_token_decode(key, text, NOW_S, &token);
	if (err) {
		FUZZ_CHECK(err == ERR_RESUME_TOKEN);
		FUZZ_CHECK(!memcmp(&token, &before, sizeof(token)));
		return;
	}
	FUZZ_CHECK(token.expires_s > NOW_S);
	FUZZ_CHECK(!resume_token_encode(key, &token, again));
	FUZZ_CHECK(!strcmp(text, again));
}

/** Signs the input as the content of a token and checks the result. */
static void check_signed(const resume_key_t *key, const uint8_t *data,
			 size_t size)
{
	unsigned char raw[512];
	char text[1024];

	if (size > sizeof(raw) - MAC_BYTES)
		return;
	memcpy(raw, data, size);
	crypto_generichash(raw + size, MAC_BYTES, raw, size, key->bytes,
			   sizeof(key->bytes));
	sodium_bin2base64(text, sizeof(text), raw, size + MAC_BYTES,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	check(key, text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = malloc(size + 1);
	resume_key_t key;

	resume_key_init(&key, "fuzz");
	memcpy(text, data, size);
	text[size] = '\0';
	check(&key, text);
	free(text);
	check_signed(&key, data, size);
	return 0;
}
