/*
 * Fuzzes the parsers of store objects of the platform, reports of engines and
 * heartbeats of peers. Guards against entries that are truncated or written by
 * other software.
 */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform_desired.h"
#include "platform/platform_engine.h"
#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/object_table.h"
#include "process/peer_heartbeat.h"
#include "t/lib/fuzz.h"

static void read_spec(const json_t *spec)
{
	desired_state_t *state = NULL;
	endpoint_entry_t entry;
	model_weights_t weights;

	if (!platform_read_desired(spec, 1, &state)) {
		(void)desired_find_route(state, "h", "/p/");
		(void)desired_find_key(state, "k");
		desired_put(state);
	}
	if (!platform_read_endpoint("i", spec, &entry)) {
		for (uint32_t i = 0; i < entry.model_count; i++)
			FUZZ_CHECK(entry.models[i].model[0] != '\0');
		free(entry.models);
	}
	(void)platform_read_weights(spec, &weights);
}

static void read_address(const uint8_t *data, size_t size)
{
	struct sockaddr_in address;
	char text[64];

	if (!size || size >= sizeof(text))
		return;
	memcpy(text, data, size);
	text[size] = '\0';
	if (platform_read_address(text, &address))
		return;
	FUZZ_CHECK(address.sin_port != 0);
	FUZZ_CHECK(isdigit((unsigned char)text[strlen(text) - 1]));
}

/* What is accepted is valid, and can be sent again. */
static void read_heartbeat(const uint8_t *data, size_t size)
{
	peer_heartbeat_t heartbeat;
	char bytes[PEER_HEARTBEAT_MAX_BYTES];
	int len;

	if (size > sizeof(bytes))
		return;
	memcpy(bytes, data, size);
	if (peer_heartbeat_decode(&heartbeat, bytes, size))
		return;
	FUZZ_CHECK(heartbeat.crash_news_count <= PEER_CRASH_NEWS_MAX);
	for (uint32_t i = 0; i < heartbeat.crash_news_count; i++)
		FUZZ_CHECK((uint32_t)heartbeat.crash_news[i].kind <=
			   CRASH_NEWS_REFUTED);
	len = peer_heartbeat_encode(&heartbeat, bytes, sizeof(bytes));
	FUZZ_CHECK(len > 0 && (size_t)len <= size);
	FUZZ_CHECK(!peer_heartbeat_decode(&heartbeat, bytes, (size_t)len));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	CLEANUP_OBJECT_PAGE object_page_t page = { 0 };
	CLEANUP_JSON json_t *root =
		json_loadb((const char *)data, size, 0, NULL);
	object_table_t table = { 0 };
	engine_report_t report;

	read_spec(root);
	(void)platform_read_report((const char *)data, size, "m", &report);
	if (!platform_read_page(OBJECT_ENDPOINTS, (const char *)data, size, 1,
				&page)) {
		(void)object_table_apply(&table, &page, 1);
		for (size_t i = 0; i < page.count; i++)
			read_spec(page.items[i].spec);
	}
	(void)object_table_import(&table, root, 2);
	object_table_free(&table);
	read_heartbeat(data, size);
	read_address(data, size);
	return 0;
}
