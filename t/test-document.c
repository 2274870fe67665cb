/* Unit tests of documents that are sent as patches, in pieces. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/document.h"
#include "process/error.h"
#include "process/rng.h"

enum {
	/** Routes of the largest configuration that was reported. */
	ROUTE_COUNT = 4200,
	/** Routes that the operator added at once. */
	ADDED_COUNT = 1400,
	/** A change of one route may cost this much, bytes: one packet. */
	SMALL_PATCH_BYTES = 1400,
};

/* Text of a configuration with the first `count` of a sequence of routes, of
 * which one is on another service. */
static char *make_text(int count, int changed)
{
	GString *text = g_string_new("{");
	rng_t rng;

	rng_init(&rng, 1);
	for (int i = 0; i < count; i++)
		g_string_append_printf(
			text,
			"{\"name\":\"r-%08x\",\"host\":\"%06x.example\","
			"\"path_prefix\":\"/%x/\",\"kind\":\"idempotent\","
			"\"timeout_ms\":1500,\"target_latency_ms\":120,"
			"\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,"
			"\"anonymous\":false}",
			(uint32_t)rng_next(&rng), (uint32_t)rng_next(&rng) >> 8,
			(uint32_t)rng_next(&rng),
			i == changed ? "other" : "desk");
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static void add_text(document_history_t *history, int count, int changed)
{
	char *text = make_text(count, changed);

	g_assert_cmpint(document_history_add(history, text, strlen(text)), ==,
			0);
}

/* Sends one piece of the newest version; returns as document_transfer_add(). */
static int send_piece(document_history_t *from, document_history_t *to,
		      document_transfer_t *transfer)
{
	uint64_t base = transfer->patch.target ? transfer->patch.base
					       : document_history_newest(to);
	const document_patch_t *patch =
		document_history_patch(from, transfer->patch.target, base);
	size_t len = 0;
	char *piece;
	int result;

	if (!patch)
		return ERR_NOT_FOUND;
	piece = document_piece_encode(patch, transfer->received, &len);
	result = document_transfer_add(transfer, piece, len);
	free(piece);
	return result;
}

typedef struct patch_case {
	const char *name;
	int from_count; /**< Routes at the receiver; 0: it has nothing. */
	int to_count;
	int changed;	  /**< Route that differs; -1: none. */
	size_t max_bytes; /**< Of the patch. */
} patch_case_t;

static const patch_case_t patch_cases[] = {
	/* What fits into 0.8 s on a link of 10 Mbit/s. */
	{ "whole", 0, ROUTE_COUNT, -1, 1000000 },
	{ "one-route-changed", ROUTE_COUNT, ROUTE_COUNT, 7, SMALL_PATCH_BYTES },
	{ "one-route-added", ROUTE_COUNT - 1, ROUTE_COUNT, -1,
	  SMALL_PATCH_BYTES },
	{ "one-route-removed", ROUTE_COUNT, ROUTE_COUNT - 1, -1,
	  SMALL_PATCH_BYTES },
	{ "unchanged", ROUTE_COUNT, ROUTE_COUNT, -1, SMALL_PATCH_BYTES },
	/* A third of the document. */
	{ "many-added", ROUTE_COUNT - ADDED_COUNT, ROUTE_COUNT, -1, 333333 },
};

/* Failure: each change of a large configuration was sent whole to each
 * instance. */
static void test_patch(const void *data)
{
	const patch_case_t *c = data;
	document_history_t from = { 0 };
	document_history_t to = { 0 };
	document_transfer_t transfer = { 0 };
	const document_version_t *version;
	char *expected = make_text(c->to_count, c->changed);
	int result = 0;

	if (c->from_count) {
		add_text(&from, c->from_count, -1);
		add_text(&to, c->from_count, -1);
	}
	add_text(&from, c->to_count, c->changed);
	while (!result)
		result = send_piece(&from, &to, &transfer);
	g_assert_cmpint(result, ==, 1);
	g_test_message("%zu bytes of %zu", transfer.patch.len,
		       strlen(expected));
	g_assert_cmpuint(transfer.patch.len, <=, c->max_bytes);
	version = document_transfer_finish(&transfer, &to);
	g_assert_nonnull(version);
	g_assert_cmpmem(version->text, version->len, expected,
			strlen(expected));
	g_assert_cmpuint(document_history_newest(&to), ==,
			 document_history_newest(&from));
	g_free(expected);
	document_history_free(&from);
	document_history_free(&to);
}

/* Failure: a fetch that was cut began from nothing. Another instance sends the
 * rest. */
static void test_other_sender(void)
{
	document_history_t first = { 0 };
	document_history_t second = { 0 };
	document_history_t to = { 0 };
	document_transfer_t transfer = { 0 };
	int result = 0;

	add_text(&first, ROUTE_COUNT, -1);
	add_text(&second, ROUTE_COUNT, -1);
	/* The second has a newer version too. */
	add_text(&second, ROUTE_COUNT, 3);
	g_assert_cmpint(send_piece(&first, &to, &transfer), ==, 0);
	g_assert_cmpuint(transfer.received, ==, DOCUMENT_PIECE_BYTES);
	while (!result)
		result = send_piece(&second, &to, &transfer);
	g_assert_cmpint(result, ==, 1);
	g_assert_nonnull(document_transfer_finish(&transfer, &to));
	g_assert_cmpuint(document_history_newest(&to), ==,
			 document_history_newest(&first));
	document_history_free(&first);
	document_history_free(&second);
	document_history_free(&to);
}

/* Failure: a piece of another version was taken for the rest of a transfer. */
static void test_other_version(void)
{
	document_history_t first = { 0 };
	document_history_t other = { 0 };
	document_history_t to = { 0 };
	document_transfer_t transfer = { 0 };
	const document_patch_t *patch;
	size_t len = 0;
	char *piece;

	add_text(&first, ROUTE_COUNT, -1);
	add_text(&other, ROUTE_COUNT, 3);
	g_assert_cmpint(send_piece(&first, &to, &transfer), ==, 0);
	g_assert_cmpint(send_piece(&other, &to, &transfer), ==, ERR_NOT_FOUND);
	patch = document_history_patch(&other, 0, 0);
	piece = document_piece_encode(patch, transfer.received, &len);
	g_assert_cmpint(document_transfer_add(&transfer, piece, len), ==,
			ERR_BAD_FIELD);
	free(piece);
	document_transfer_clear(&transfer);
	document_history_free(&first);
	document_history_free(&other);
}

/* Failure: a patch that does not give the announced version was used. */
static void test_damaged_patch(void)
{
	document_history_t from = { 0 };
	document_history_t to = { 0 };
	document_transfer_t transfer = { 0 };
	int result = 0;

	add_text(&from, ROUTE_COUNT, -1);
	while (!result)
		result = send_piece(&from, &to, &transfer);
	g_assert_cmpint(result, ==, 1);
	g_assert(transfer.patch.bytes);
	transfer.patch.bytes[transfer.patch.len / 2] ^= 1;
	g_assert_null(document_transfer_finish(&transfer, &to));
	g_assert_cmpuint(document_history_newest(&to), ==, 0);
	document_history_free(&from);
	document_history_free(&to);
}

static const struct {
	const char *text;
	int expected;
} invalid_pieces[] = {
	{ "", ERR_BAD_FIELD },
	{ "x", ERR_BAD_FIELD },
	{ "[]x", ERR_BAD_FIELD },
	{ "{}x", ERR_BAD_FIELD },
	{ "{\"target\":1,\"patch\":0,\"offset\":0,\"text\":1}x",
	  ERR_BAD_FIELD },
	{ "{\"target\":1,\"patch\":1,\"offset\":0,\"text\":1}", ERR_BAD_FIELD },
	{ "{\"target\":1,\"patch\":1,\"offset\":1,\"text\":1}x",
	  ERR_BAD_FIELD },
	{ "{\"target\":1,\"patch\":1,\"offset\":0,\"text\":1}xx",
	  ERR_BAD_FIELD },
	{ "{\"target\":1,\"patch\":1,\"offset\":0,\"text\":4194305}x",
	  ERR_LIMIT },
	{ "{\"target\":1,\"patch\":-1,\"offset\":0,\"text\":1}x", ERR_LIMIT },
};

/* Failure: a piece of a faulty peer is used, or takes any amount of memory. */
static void test_invalid_pieces(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_pieces); i++) {
		document_transfer_t transfer = { 0 };

		g_assert_cmpint(
			document_transfer_add(&transfer, invalid_pieces[i].text,
					      strlen(invalid_pieces[i].text)),
			==, invalid_pieces[i].expected);
		document_transfer_clear(&transfer);
	}
}

/* Failure: a version that was added again took the place of older ones. */
static void test_same_version(void)
{
	document_history_t history = { 0 };
	uint64_t first;

	add_text(&history, 1, -1);
	first = document_history_newest(&history);
	for (int i = 0; i <= DOCUMENT_VERSIONS_MAX; i++)
		add_text(&history, 2, -1);
	g_assert_nonnull(document_history_patch(&history, first, 0));
	document_history_free(&history);
}

/* Failure: a version that is too long was kept. */
static void test_too_long(void)
{
	document_history_t history = { 0 };

	g_assert_cmpint(document_history_add(&history,
					     malloc(DOCUMENT_MAX_BYTES + 1),
					     DOCUMENT_MAX_BYTES + 1),
			==, ERR_LIMIT);
	g_assert_cmpuint(document_history_newest(&history), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(patch_cases); i++) {
		char *path = g_strdup_printf("/document/patch/%s",
					     patch_cases[i].name);

		g_test_add_data_func(path, &patch_cases[i], test_patch);
		g_free(path);
	}
	g_test_add_func("/document/other-sender", test_other_sender);
	g_test_add_func("/document/other-version", test_other_version);
	g_test_add_func("/document/damaged-patch", test_damaged_patch);
	g_test_add_func("/document/invalid-pieces", test_invalid_pieces);
	g_test_add_func("/document/same-version", test_same_version);
	g_test_add_func("/document/too-long", test_too_long);
	return g_test_run();
}
