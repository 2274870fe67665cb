/* Reading of JSON texts in parts. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/json_span.h"

enum { DEPTH_MAX = 8 };

static const struct {
	const char *text;
	bool readable;
} texts[] = {
	{ "{\"a\":[1,{\"b\":null}]}", true },
	{ "\"a\"", true },
	{ "[[[[[[[[1]]]]]]]]", true },
	{ "[[[[[[[[[1]]]]]]]]]", false },
	{ "{\"a\":1e999}", false },
	{ "{\"a\":99999999999999999999}", false },
	{ "{\"a\":\"\\ud800\"}", false },
	{ "{\"a\":\"\\u0000\"}", false },
	{ "{\"a\":\"\xff\"}", false },
	{ "{\"\xff\":1}", false },
	{ "{\"a\":tru}", false },
	{ "{\"a\"}", false },
	{ "{\"a\":}", false },
	{ "{\"a\" 1}", false },
	{ "{1:1}", false },
	{ "[1 2]", false },
	{ "[1,]", false },
	{ "[,1]", false },
	{ "[1}", false },
	{ "[1", false },
	{ "[\"a", false },
	{ "[\"a\\", false },
	{ "", false },
};

typedef char *long_text_fn(const char *text);

static char *repeat(const char *begin, const char *text, const char *end)
{
	GString *all = g_string_new(begin);

	while (all->len < 3 * JSON_PIECE_MAX_BYTES)
		g_string_append(all, text);
	g_string_append(all, end);
	return g_string_free(all, FALSE);
}

static char *as_last_element(const char *text)
{
	g_autofree char *end = g_strconcat("\"\",", text, "]", NULL);

	return repeat("[", "{\"x\":\"]\"} , ", end);
}

static char *as_member(const char *text)
{
	g_autofree char *begin = g_strconcat("{\"v\":", text, NULL);

	return repeat(begin, ",\"x\\\"\":[1 ]", "}");
}

static char *behind_long_text(const char *text)
{
	g_autofree char *end = g_strconcat("\",\"v\":", text, "}", NULL);

	return repeat("{\"x\":\"", "\\\"}", end);
}

static long_text_fn *const long_texts[] = { as_last_element, as_member,
					    behind_long_text };

static bool is_readable(const char *text, uint32_t depth_max)
{
	return json_span_is_readable((json_span_t){ text, strlen(text) },
				     depth_max);
}

/* Guards against a verdict on a long text that differs from that on a short
 * one. */
static void test_readable(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		const char *text = texts[i].text;

		g_assert_true(is_readable(text, DEPTH_MAX) ==
			      texts[i].readable);
		for (size_t k = 0; k < G_N_ELEMENTS(long_texts); k++) {
			g_autofree char *whole = long_texts[k](text);

			g_assert_true(is_readable(whole, DEPTH_MAX + 1) ==
				      texts[i].readable);
		}
	}
}

static const json_member_t item_members[] = { { "n", NULL }, { NULL, NULL } };
static const json_member_t members[] = {
	{ "a", NULL }, { "b", NULL }, { "list", item_members }, { NULL, NULL }
};

static const struct {
	const char *text;
	const char *decoded;
} objects[] = {
	{ "{}", "{}" },
	{ " { \"a\" : 1 , \"x\" : { \"a\" : 2 } } ", "{\"a\":1}" },
	{ "{\"a\":1,\"a\":2}", "{\"a\":2}" },
	{ "{\"a\":1,\"a\":{}}", "{}" },
	{ "{\"\\u0061\":true,\"b\":null}", "{\"a\":true,\"b\":null}" },
	{ "{\"a\":[1],\"b\":{\"c\":1}}", "{}" },
	{ "{\"list\":{\"n\":1},\"a\":\"]}\"}", "{\"a\":\"]}\"}" },
	{ "{\"list\":[{\"n\":1,\"m\":2},{},7,{\"m\":3},[{\"n\":4}],"
	  "{\"n\":[5]},{\"n\":\"6\"}]}",
	  "{\"list\":[{\"n\":1},{\"n\":\"6\"}]}" },
	{ "[1]", "{}" },
};

static void test_members(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(objects); i++) {
		const char *text = objects[i].text;
		CLEANUP_JSON json_t *decoded = json_span_decode_members(
			(json_span_t){ text, strlen(text) }, members);
		CLEANUP_JSON json_t *expected =
			json_loads(objects[i].decoded, 0, NULL);

		g_assert_true(json_equal(decoded, expected));
	}
}

/* Failure: a part that an answer lacks was read as a text at address 0. */
static void test_missing(void)
{
	static const char *const names[] = { "a", "b", NULL };
	static const char text[] = "{\"a\":1,\"a\":[2]}";
	json_span_t values[2];

	g_assert_false(
		json_span_find_members((json_span_t){ 0 }, names, values));
	g_assert_null(values[0].text);
	g_assert_true(json_span_find_members(
		(json_span_t){ text, strlen(text) }, names, values));
	g_assert_cmpmem(values[0].text, values[0].len, "[2]", 3);
	g_assert_null(values[1].text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json-span/readable", test_readable);
	g_test_add_func("/json-span/members", test_members);
	g_test_add_func("/json-span/missing", test_missing);
	return g_test_run();
}
