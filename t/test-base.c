/* Tests of errors, hashes, random numbers, settings and metrics. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "process/rng.h"
#include "process/settings.h"

/* Guards against an error kind without an entry in the table of answers,
 * which would send an empty answer. */
static void test_every_error_has_an_answer(void)
{
	for (int i = 0; i < ERR_KIND_COUNT; i++) {
		const error_answer_t *answer = error_answer(-i);

		g_assert_nonnull(answer->type);
		g_assert_nonnull(answer->text);
		g_assert_cmpuint(answer->http_status, >=, 200);
	}
	g_assert_cmpstr(error_type(-ERR_KIND_COUNT), ==, "internal");
	g_assert_cmpstr(error_type(1), ==, "internal");
}

/* Guards against prompts with equal keys although salt, model, adapter or
 * weights version differ. */
static void test_chain_start_separates(void)
{
	static const char *const starts[][4] = {
		{ "s", "m", "a", "v" }, { "sm", "", "a", "v" },
		{ "s", "m", "", "av" }, { "s", "ma", "", "v" },
		{ "s", "m", "a", "w" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		for (size_t j = 0; j < i; j++)
			g_assert_cmpuint(
				hash_chain_start(starts[i][0], starts[i][1],
						 starts[i][2], starts[i][3]),
				!=,
				hash_chain_start(starts[j][0], starts[j][1],
						 starts[j][2], starts[j][3]));
	}
}

static void test_key_hex(void)
{
	static const struct {
		const char *hex;
		int result;
		uint64_t key;
	} cases[] = {
		{ "00000000000000ff", 0, 255 },
		{ "ffffffffffffffff", 0, UINT64_MAX },
		{ "ff", ERR_BAD_FIELD, 0 },
		{ "00000000000000fg", ERR_BAD_FIELD, 0 },
		{ "", ERR_BAD_FIELD, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t key = 0;

		g_assert_cmpint(hash_key_from_hex(cases[i].hex, &key), ==,
				cases[i].result);
		g_assert_cmpuint(key, ==, cases[i].key);
	}
}

static void test_rng_is_replayed_from_its_seed(void)
{
	rng_t a;
	rng_t b;

	rng_init(&a, 7);
	rng_init(&b, 7);
	for (int i = 0; i < 100; i++) {
		uint64_t bounded = rng_below(&a, 10);

		g_assert_cmpuint(bounded, <, 10);
		g_assert_cmpuint(bounded, ==, rng_below(&b, 10));
	}
}

static uint32_t number;
static uint32_t choice;
static const char *const choices[] = { "red", "green", NULL };
static const setting_t settings[] = {
	{ .flag = "number",
	  .type = SETTING_NUMBER,
	  .value = &number,
	  .fallback = "5",
	  .min = 1,
	  .max = 10 },
	{ .flag = "choice",
	  .type = SETTING_CHOICE,
	  .value = &choice,
	  .fallback = "red",
	  .choices = choices },
	{ 0 },
};

/* Guards against a value out of range that is clamped instead of refused, so
 * that the program starts with it. */
static void test_settings(void)
{
	static const struct {
		const char *argument;
		int result;
		uint32_t number;
		uint32_t choice;
	} cases[] = {
		{ NULL, SETTINGS_RUN, 5, 0 },
		{ "--number=10", SETTINGS_RUN, 10, 0 },
		{ "--choice=green", SETTINGS_RUN, 5, 1 },
		{ "--number=11", ERR_SETTING, 0, 0 },
		{ "--number=-1", ERR_SETTING, 0, 0 },
		{ "--number=1x", ERR_SETTING, 0, 0 },
		{ "--choice=blue", ERR_SETTING, 0, 0 },
		{ "--unknown=1", ERR_SETTING, 0, 0 },
		{ "argument", ERR_SETTING, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *argv[] = { "test", cases[i].argument, NULL };
		int argc = cases[i].argument ? 2 : 1;
		int result = settings_read(argc, argv, settings, "", NULL);

		g_assert_cmpint(result, ==, cases[i].result);
		if (result < 0)
			continue;
		g_assert_cmpuint(number, ==, cases[i].number);
		g_assert_cmpuint(choice, ==, cases[i].choice);
	}
}

static void test_metrics_text(void)
{
	g_autofree char *text = NULL;

	metrics_add(METRIC_REQUESTS_MODEL, 3);
	metrics_observe_ms(METRIC_TTFT_URGENT, 7);
	metrics_count_error(ERR_OVERLOADED);
	text = metrics_print();
	g_assert_nonnull(
		strstr(text, "amv_requests_total{kind=\"model\"} 3\n"));
	g_assert_nonnull(strstr(
		text, "amv_ttft_ms_bucket{class=\"urgent\",le=\"10\"} 1\n"));
	g_assert_nonnull(
		strstr(text, "amv_errors_total{type=\"overloaded\"} 1\n"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/error/every-kind", test_every_error_has_an_answer);
	g_test_add_func("/hash/chain-start", test_chain_start_separates);
	g_test_add_func("/hash/hex", test_key_hex);
	g_test_add_func("/rng/replay", test_rng_is_replayed_from_its_seed);
	g_test_add_func("/settings/cases", test_settings);
	g_test_add_func("/metrics/text", test_metrics_text);
	return g_test_run();
}
