/* Tests of the growable byte buffer. */
#include <glib.h>
#include <string.h>

#include "process/byte_buffer.h"
#include "process/error.h"

/* Guards against bytes lost or moved when a buffer grows past its size. */
static void test_grows(void)
{
	byte_buffer_t buffer = { 0 };

	for (int i = 0; i < 5000; i++) {
		char byte = (char)('a' + i % 26);

		g_assert_cmpint(byte_buffer_add(&buffer, &byte, 1), ==, 0);
		g_assert_cmpuint(strlen(buffer.bytes), ==, buffer.len);
	}
	g_assert_cmpuint(buffer.len, ==, 5000);
	for (int i = 0; i < 5000; i++)
		g_assert_true(buffer.bytes[i] == 'a' + i % 26);
	byte_buffer_free(&buffer);
	g_assert_null(buffer.bytes);
	g_assert_cmpuint(buffer.len, ==, 0);
}

/* Guards against a NULL `bytes` after an empty answer was added, which its
 * reader dereferenced. */
static void test_empty(void)
{
	byte_buffer_t buffer = { 0 };

	g_assert_cmpint(byte_buffer_add(&buffer, NULL, 0), ==, 0);
	g_assert_cmpstr(buffer.bytes, ==, "");
	byte_buffer_free(&buffer);
}

/* Guards against a length that overflows the sum and is taken for a small one.
 */
static void test_overflow(void)
{
	byte_buffer_t buffer = { 0 };

	g_assert_cmpint(byte_buffer_add(&buffer, "abc", 3), ==, 0);
	g_assert_cmpint(byte_buffer_add(&buffer, "x", SIZE_MAX - 2), ==,
			ERR_NO_MEMORY);
	g_assert_cmpstr(buffer.bytes, ==, "abc");
	byte_buffer_free(&buffer);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/byte-buffer/grows", test_grows);
	g_test_add_func("/byte-buffer/empty", test_empty);
	g_test_add_func("/byte-buffer/overflow", test_overflow);
	return g_test_run();
}
