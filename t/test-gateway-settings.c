/* Settings of the gateway, from the settings file that the platform writes. */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>

#include "cmd/gateway.h"
#include "process/error.h"
#include "process/settings.h"

static int read_text(const char *text, gateway_settings_t *settings)
{
	const char *argv[] = { "amaranthvale-gateway", NULL };
	char *path = NULL;
	int fd = g_file_open_tmp("amv-settings-XXXXXX", &path, NULL);
	int err;

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_setenv("AMARANTHVALE_SETTINGS", path, TRUE);
	err = gateway_settings_load(settings, 1, argv);
	g_unsetenv("AMARANTHVALE_SETTINGS");
	g_unlink(path);
	g_free(path);
	return err;
}

/* Failure: an instance with a bandwidth of 200.0 did not start. */
static void test_fractions(void)
{
	/* Its strings live as long as the process. */
	static gateway_settings_t settings;

	g_assert_cmpint(read_text("--name=front-a-1\n--link-mbps=200.0\n"
				  "--grace-s=8.5\n--lease-ms=3000\n",
				  &settings),
			==, SETTINGS_RUN);
	g_assert_cmpfloat(settings.link_mbps, ==, 200);
	g_assert_cmpfloat(settings.grace_s, ==, 8.5);
	g_assert_cmpstr(settings.name, ==, "front-a-1");
}

/* Failure: a value that the platform does not specify was read as empty instead
 * of its default. */
static void test_missing(void)
{
	/* Its strings live as long as the process. */
	static gateway_settings_t settings;

	g_assert_cmpint(read_text("--name=front-a-1\n--grace-s=\n", &settings),
			==, SETTINGS_RUN);
	g_assert_cmpfloat(settings.grace_s, ==, 8);
}

/* Failure: an invalid value was silently changed to another one. */
static void test_wrong(void)
{
	/* Its strings live as long as the process. */
	static gateway_settings_t settings;

	if (g_test_subprocess()) {
		g_assert_cmpint(read_text("--peer-port=99999\n", &settings), ==,
				ERR_SETTING);
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr("*peer-port*");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-settings/fractions", test_fractions);
	g_test_add_func("/gateway-settings/missing", test_missing);
	g_test_add_func("/gateway-settings/wrong", test_wrong);
	return g_test_run();
}
