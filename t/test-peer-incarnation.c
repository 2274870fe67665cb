/* Unit tests of the order of a peer's datagrams. */
#include <glib.h>

#include "process/peer_incarnation.h"

enum {
	LATE_MS = PEER_DATAGRAM_DELAY_MAX_MS,
	DATAGRAMS_MAX = 8,
};

typedef struct datagram {
	uint64_t incarnation;
	uint32_t sequence;
	uint64_t at_ms;
	peer_datagram_t expected;
} datagram_t;

static const struct {
	const char *path;
	datagram_t datagrams[DATAGRAMS_MAX];
} cases[] = {
	{ "/peer-incarnation/in-sequence",
	  { { 5, 1, 1000, PEER_DATAGRAM_NEW_PROCESS },
	    { 5, 2, 1200, PEER_DATAGRAM_NEXT },
	    { 5, 2, 1201, PEER_DATAGRAM_OLD },
	    { 5, 1, 1202, PEER_DATAGRAM_OLD },
	    { 5, 4, 1400, PEER_DATAGRAM_NEXT } } },
	{ "/peer-incarnation/lower-after-restart",
	  { { 9000000, 70, 1000, PEER_DATAGRAM_NEW_PROCESS },
	    { 8000000, 1, 2000, PEER_DATAGRAM_NEW_PROCESS },
	    { 8000000, 2, 2200, PEER_DATAGRAM_NEXT } } },
	{ "/peer-incarnation/delayed-of-ended",
	  { { 5, 70, 1000, PEER_DATAGRAM_NEW_PROCESS },
	    { 7, 1, 1100, PEER_DATAGRAM_NEW_PROCESS },
	    { 5, 71, 1150, PEER_DATAGRAM_OLD },
	    { 7, 2, 1300, PEER_DATAGRAM_NEXT },
	    { 5, 72, 1301 + LATE_MS, PEER_DATAGRAM_NEW_PROCESS },
	    { 5, 70, 1302 + LATE_MS, PEER_DATAGRAM_OLD } } },
	{ "/peer-incarnation/delayed-of-unknown",
	  { { 7, 1, 1000, PEER_DATAGRAM_NEW_PROCESS },
	    { 5, 99, 1100, PEER_DATAGRAM_NEW_PROCESS },
	    { 7, 2, 1200, PEER_DATAGRAM_OLD },
	    { 7, 9, 1099 + LATE_MS, PEER_DATAGRAM_OLD },
	    { 7, 10, 1100 + LATE_MS, PEER_DATAGRAM_NEW_PROCESS },
	    { 7, 11, 1300 + LATE_MS, PEER_DATAGRAM_NEXT },
	    { 5, 100, 1301 + LATE_MS, PEER_DATAGRAM_OLD } } },
	{ "/peer-incarnation/ended-twice",
	  { { 7, 50, 1000, PEER_DATAGRAM_NEW_PROCESS },
	    { 5, 1, 1100, PEER_DATAGRAM_NEW_PROCESS },
	    { 6, 1, 1200, PEER_DATAGRAM_NEW_PROCESS },
	    { 7, 50, 1200 + LATE_MS, PEER_DATAGRAM_OLD },
	    { 5, 1, 1200 + LATE_MS, PEER_DATAGRAM_OLD } } },
};

static void test_datagrams(const void *data)
{
	const datagram_t *datagram = data;
	peer_incarnation_t peer = { 0 };

	for (int i = 0; i < DATAGRAMS_MAX && datagram[i].incarnation; i++)
		g_assert_cmpint(
			peer_incarnation_receive(&peer, datagram[i].incarnation,
						 datagram[i].sequence,
						 datagram[i].at_ms),
			==, datagram[i].expected);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, cases[i].datagrams,
				     test_datagrams);
	return g_test_run();
}
