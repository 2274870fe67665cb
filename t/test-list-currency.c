/* Unit tests of the currency of the endpoint list. */
#include <glib.h>

#include "process/list_currency.h"

enum {
	NOW_MS = 100000,
	PEERS_MAX = 4,
};

#define NONE LIST_AGE_UNKNOWN

static const struct {
	const char *name;
	currency_self_t self;
	size_t count;
	currency_peer_t peers[PEERS_MAX];
	uint64_t as_of_ms;
} cases[] = {
	{ "nothing is known", { false, 0 }, 0, { { 0 } }, 0 },
	{ "own watch", { false, 99000 }, 0, { { 0 } }, 99000 },
	{ "a watcher's heartbeat",
	  { false, 0 },
	  1,
	  { { 1, false, 700, 99900 } },
	  99200 },
	{ "a watcher that was cut off from the store",
	  { false, 0 },
	  1,
	  { { 1, false, 5000, 99900 } },
	  94900 },
	{ "no watcher", { false, 0 }, 1, { { 1, false, NONE, 99900 } }, 0 },
	{ "heartbeats that waited during a pause",
	  { false, 0 },
	  2,
	  { { 1, false, 100, 90000 }, { 2, false, 0, 90100 } },
	  90100 },
	{ "the newest proof counts",
	  { false, 99000 },
	  3,
	  { { 1, false, 100, 99900 },
	    { 2, false, 400, 99950 },
	    { 3, false, NONE, 99990 } },
	  99800 },
	{ "one is ahead",
	  { false, 99900 },
	  2,
	  { { 1, false, 100, 99900 }, { 2, true, NONE, 99700 } },
	  0 },
	{ "one was ahead before it fell silent",
	  { false, 99900 },
	  1,
	  { { 2, true, NONE, 95000 } },
	  99900 },
	{ "an age before the clock's start",
	  { false, 0 },
	  1,
	  { { 1, false, 100001, 99900 } },
	  0 },
	{ "outage, all are heard",
	  { true, 95000 },
	  3,
	  { { 1, false, NONE, 99800 },
	    { 2, false, NONE, 99900 },
	    { 2, false, NONE, 90000 } },
	  99800 },
	{ "outage, one domain is silent",
	  { true, 95000 },
	  3,
	  { { 1, false, NONE, 99800 },
	    { 2, false, NONE, 96000 },
	    { 2, false, NONE, 90000 } },
	  96000 },
	{ "outage, nobody is heard: cut off",
	  { true, 95000 },
	  2,
	  { { 1, false, NONE, 94000 }, { 2, false, NONE, 94500 } },
	  95000 },
	{ "outage, an instance without others",
	  { true, 0 },
	  0,
	  { { 0 } },
	  NOW_MS },
	{ "outage, one is ahead",
	  { true, 0 },
	  1,
	  { { 1, true, NONE, 99900 } },
	  0 },
};

/* Guards against a list that counts as current while its instance was cut off
 * or stood still. */
static void test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		g_assert_cmpuint(list_currency_as_of(&cases[i].self,
						     cases[i].peers,
						     cases[i].count, NOW_MS),
				 ==, cases[i].as_of_ms);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/list-currency/cases", test_cases);
	return g_test_run();
}
