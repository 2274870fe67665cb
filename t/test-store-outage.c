/* When instances take the store to be down, by what they know of each other. */
#include <glib.h>

#include "process/store_outage.h"

enum {
	STEPS_MAX = 6,
};

#define UNKNOWN              \
	{                    \
		false, false \
	}
#define ANSWERS             \
	{                   \
		true, false \
	}
#define FAILS               \
	{                   \
		false, true \
	}
/** Some instances get answers and others do not. */
#define BOTH               \
	{                  \
		true, true \
	}

typedef struct outage_case {
	const char *name; /**< The failure it guards against. */
	size_t count;
	int ends; /**< Outages that have ended. */
	store_contact_t steps[STEPS_MAX];
} outage_case_t;

static const outage_case_t cases[] = {
	{ "a new watcher was taken for the end of an outage",
	  3,
	  0,
	  { ANSWERS, UNKNOWN, ANSWERS } },
	{ "the first answer after the start was taken for the end of an outage",
	  2,
	  0,
	  { UNKNOWN, ANSWERS } },
	{ "an instance that lost contact was taken for an outage",
	  5,
	  0,
	  { ANSWERS, BOTH, ANSWERS, BOTH, ANSWERS } },
	{ "the end of an outage was missed",
	  3,
	  1,
	  { ANSWERS, FAILS, ANSWERS } },
	{ "an outage was forgotten when the watcher changed",
	  5,
	  1,
	  { ANSWERS, FAILS, UNKNOWN, UNKNOWN, ANSWERS } },
	{ "the end of an outage was missed as not all got answers again",
	  4,
	  1,
	  { BOTH, FAILS, BOTH, ANSWERS } },
	{ "an instance that started in an outage did not notice it",
	  3,
	  1,
	  { FAILS, UNKNOWN, ANSWERS } },
	{ "only the first of two outages was noticed",
	  4,
	  2,
	  { FAILS, ANSWERS, FAILS, ANSWERS } },
};

static void test_outage(const void *data)
{
	const outage_case_t *c = data;
	store_outage_t outage = { 0 };
	int ends = 0;

	for (size_t i = 0; i < c->count; i++)
		ends += store_outage_update(&outage, c->steps[i]) ==
			STORE_OUTAGE_ENDED;
	g_assert_cmpint(ends, ==, c->ends);
	g_assert_false(outage.active);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/store-outage/%s", cases[i].name);

		g_strdelimit(path, " ", '-');
		g_test_add_data_func(path, &cases[i], test_outage);
	}
	return g_test_run();
}
