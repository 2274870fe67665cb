/* Resume tokens: signature, expiry and strict decoding. */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "process/error.h"
#include "request/resume_token.h"

#define NOW_S 1000

static const resume_token_t sample = {
	.expires_s = NOW_S + 60,
	.customer_hash = UINT64_MAX,
	.request_hash = 2,
	.text_hash = 3,
	.position = 1u << 20,
	.request_id = "abcdef-1.2",
	.endpoint = "engine-17",
	.incarnation = "1796358759766984",
	.stream_id = "s123",
};

static void make_key(resume_key_t *key)
{
	g_assert_cmpint(sodium_init(), >=, 0);
	resume_key_init(key, "a cluster key");
}

static void test_round_trip(void)
{
	char text[RESUME_TOKEN_MAX_BYTES];
	resume_token_t token;
	resume_key_t key;

	make_key(&key);
	g_assert_cmpint(resume_token_encode(&key, &sample, text), ==, 0);
	g_assert_cmpint(resume_token_decode(&key, text, NOW_S, &token), ==, 0);
	g_assert_cmpuint(token.expires_s, ==, sample.expires_s);
	g_assert_cmpuint(token.customer_hash, ==, sample.customer_hash);
	g_assert_cmpuint(token.request_hash, ==, sample.request_hash);
	g_assert_cmpuint(token.text_hash, ==, sample.text_hash);
	g_assert_cmpuint(token.position, ==, sample.position);
	g_assert_cmpstr(token.request_id, ==, sample.request_id);
	g_assert_cmpstr(token.endpoint, ==, sample.endpoint);
	g_assert_cmpstr(token.incarnation, ==, sample.incarnation);
	g_assert_cmpstr(token.stream_id, ==, sample.stream_id);
}

/* Changing any character must not give a client access to another stream. */
static void test_every_change_is_detected(void)
{
	char text[RESUME_TOKEN_MAX_BYTES];
	resume_token_t token;
	resume_key_t key;

	make_key(&key);
	g_assert_cmpint(resume_token_encode(&key, &sample, text), ==, 0);
	for (size_t i = 0; text[i]; i++) {
		char before = text[i];

		text[i] = before == 'A' ? 'B' : 'A';
		g_assert_cmpint(resume_token_decode(&key, text, NOW_S, &token),
				==, ERR_RESUME_TOKEN);
		text[i] = '\0';
		g_assert_cmpint(resume_token_decode(&key, text, NOW_S, &token),
				==, ERR_RESUME_TOKEN);
		text[i] = before;
	}
	g_assert_cmpint(resume_token_decode(&key, text, NOW_S, &token), ==, 0);
}

static void test_refused(void)
{
	g_autofree char *too_long = g_strnfill(2 * RESUME_TOKEN_MAX_BYTES, 'A');
	const char *const texts[] = { "", "A", "AAAA", "not base64!",
				      too_long };
	char text[RESUME_TOKEN_MAX_BYTES];
	resume_token_t token;
	resume_key_t other;
	resume_key_t key;

	make_key(&key);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_cmpint(
			resume_token_decode(&key, texts[i], NOW_S, &token), ==,
			ERR_RESUME_TOKEN);
	g_assert_cmpint(resume_token_encode(&key, &sample, text), ==, 0);
	g_assert_cmpint(resume_token_decode(&key, text, NOW_S + 59, &token), ==,
			0);
	/* Expired. */
	g_assert_cmpint(resume_token_decode(&key, text, NOW_S + 60, &token), ==,
			ERR_RESUME_TOKEN);
	/* Of another cluster. */
	resume_key_init(&other, "another cluster key");
	g_assert_cmpint(resume_token_decode(&other, text, NOW_S, &token), ==,
			ERR_RESUME_TOKEN);
}

/* Identifiers of maximum length must fit; engines choose their length. */
static void test_longest(void)
{
	char text[RESUME_TOKEN_MAX_BYTES];
	resume_token_t token = sample;
	resume_token_t decoded;
	resume_key_t key;

	make_key(&key);
	memset(token.request_id, 'r', RESUME_ID_MAX_BYTES - 1);
	memset(token.endpoint, 'e', RESUME_ID_MAX_BYTES - 1);
	memset(token.incarnation, 'i', RESUME_ID_MAX_BYTES - 1);
	memset(token.stream_id, 's', RESUME_ID_MAX_BYTES - 1);
	g_assert_cmpint(resume_token_encode(&key, &token, text), ==, 0);
	g_assert_cmpint(resume_token_decode(&key, text, NOW_S, &decoded), ==,
			0);
	g_assert_cmpstr(decoded.stream_id, ==, token.stream_id);
	token.stream_id[RESUME_ID_MAX_BYTES - 1] = 's';
	g_assert_cmpint(resume_token_encode(&key, &token, text), ==, ERR_LIMIT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/resume-token/round-trip", test_round_trip);
	g_test_add_func("/resume-token/changes", test_every_change_is_detected);
	g_test_add_func("/resume-token/refused", test_refused);
	g_test_add_func("/resume-token/longest", test_longest);
	return g_test_run();
}
