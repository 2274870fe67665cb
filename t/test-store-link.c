/* Calls to the store and the era that its answers state; the loop runs on the
 * test's thread. */
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "connection/http_call.h"
#include "platform/platform_objects.h"
#include "process/error.h"
#include "process/store_link.h"
#include "t/lib/platform_store.h"
#include "t/lib/raw_server.h"

enum {
	WAIT_MS = 5000,
};

typedef struct rig {
	struct event_base *base;
	store_link_t link;
	uint32_t era_changes;
	uint32_t answers;
	int err;
	uint64_t era; /**< Of the last answer. */
} rig_t;

static void on_era(void *context)
{
	((rig_t *)context)->era_changes++;
}

static void on_answer(void *context, const store_answer_t *answer)
{
	rig_t *rig = context;

	rig->answers++;
	rig->err = answer->err;
	rig->era = answer->era;
	event_base_loopbreak(rig->base);
}

static void rig_open(rig_t *rig, uint16_t port)
{
	memset(rig, 0, sizeof(*rig));
	rig->base = event_base_new();
	rig->link = (store_link_t){
		.outbound = outbound_open(rig->base),
		.base = rig->base,
		.target = { .key = "store",
			    .connections_max = 1,
			    .connect_timeout_ms = WAIT_MS },
		.era_changed = on_era,
		.context = rig,
	};
	rig->link.target.address.v4.sin_family = AF_INET;
	rig->link.target.address.v4.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rig->link.target.address.v4.sin_port = htons(port);
}

static void rig_close(rig_t *rig)
{
	outbound_close(rig->link.outbound);
	event_base_free(rig->base);
}

/* Reads an object and waits for the answer. */
static void call_store(rig_t *rig)
{
	struct evbuffer *message = evbuffer_new();
	uint32_t answers = rig->answers;

	platform_write_get(message, OBJECT_DESIRED, "main");
	g_assert_nonnull(
		store_call_send(&rig->link, message, WAIT_MS, on_answer, rig));
	evbuffer_free(message);
	event_base_dispatch(rig->base);
	g_assert_cmpuint(rig->answers, ==, answers + 1);
}

/* Failure: an instance that does not notice that the store was restored, or
 * takes each answer for a new restore. Error answers state the era, too. */
static void test_era(void)
{
	platform_store_t *store = platform_store_start();
	rig_t rig;

	rig_open(&rig, platform_store_port(store));
	call_store(&rig);
	g_assert_cmpint(rig.err, ==, ERR_NOT_FOUND);
	g_assert_cmpuint(rig.link.era, ==, 1);
	call_store(&rig);
	g_assert_cmpuint(rig.era_changes, ==, 1);
	platform_store_restore(store, 1);
	platform_store_set_down(store, true);
	call_store(&rig);
	g_assert_cmpint(rig.err, ==, ERR_STORE_DOWN);
	g_assert_cmpuint(rig.era, ==, 2);
	g_assert_cmpuint(rig.link.era, ==, 2);
	g_assert_cmpuint(rig.era_changes, ==, 2);
	rig_close(&rig);
	platform_store_stop(store);
}

typedef struct header_case {
	const char *header; /**< Header line of the answer. */
	int err;
	uint64_t era;
} header_case_t;

static const header_case_t header_cases[] = {
	{ "", 0, 0 },
	{ "Store-Era: 7\r\n", 0, 7 },
	{ "store-era: 18446744073709551616\r\n", ERR_BAD_FIELD, 0 },
	{ "Store-Era: -1\r\n", ERR_BAD_FIELD, 0 },
	{ "Store-Era: 7x\r\n", ERR_BAD_FIELD, 0 },
	{ "Store-Era: \r\n", ERR_BAD_FIELD, 0 },
};

static raw_next_t answer_with_header(void *context,
				     const raw_request_t *request)
{
	const header_case_t *c = context;

	raw_send(request, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n{}",
		 c->header);
	return RAW_CLOSE;
}

/* Failure: an era that cannot be read is taken for another one. */
static void test_era_header(const void *data)
{
	const header_case_t *c = data;
	raw_server_t *server = raw_server_start(answer_with_header, (void *)c);
	rig_t rig;

	rig_open(&rig, raw_server_port(server));
	call_store(&rig);
	g_assert_cmpint(rig.err, ==, c->err);
	g_assert_cmpuint(rig.link.era, ==, c->era);
	rig_close(&rig);
	raw_server_stop(server);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-link/era", test_era);
	for (size_t i = 0; i < G_N_ELEMENTS(header_cases); i++) {
		char *path = g_strdup_printf("/store-link/era-header/%zu", i);

		g_test_add_data_func(path, &header_cases[i], test_era_header);
		g_free(path);
	}
	return g_test_run();
}
