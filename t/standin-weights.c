/*
 * Stand-in for the weight store or, with --role=kv, for the KV cache store.
 * Both limit the number of concurrent transfers; others wait.
 */
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/http_server.h"

static const char *const roles[] = { "weights", "kv", NULL };

static uint32_t role;
static uint32_t transfers_max;
static uint32_t block_us;
static http_server_t server;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool stopping;
	uint64_t outage_until_ms;
	uint32_t open;	   /**< Waiting or running transfers. */
	uint32_t open_max; /**< Maximum of `open` so far. */
	uint32_t running;
	uint32_t running_max;
	uint64_t transfers;
	GHashTable *blocks; /**< Hexadecimal keys in the KV store. */
} store = { .lock = PTHREAD_MUTEX_INITIALIZER };

/**
 * Waits for a free transfer slot and occupies it for a time.
 * @return false if there is an outage or the server stops
 */
static bool run_transfer(uint64_t duration_us)
{
	bool granted;

	pthread_mutex_lock(&store.lock);
	store.open++;
	store.open_max = MAX(store.open_max, store.open);
	while (store.running >= transfers_max && !store.stopping)
		pthread_cond_wait(&store.changed, &store.lock);
	store.running++;
	store.running_max = MAX(store.running_max, store.running);
	granted = clock_now_ms() >= store.outage_until_ms && !store.stopping;
	store.transfers += granted;
	pthread_mutex_unlock(&store.lock);
	if (granted)
		clock_sleep_us(duration_us);
	pthread_mutex_lock(&store.lock);
	store.running--;
	store.open--;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	return granted;
}

static void handle_transfer(http_request_t *request)
{
	if (run_transfer(http_query_number(request, "ms", 0) * 1000))
		http_send_json(request, 200, "", json_object());
	else
		http_send_error(request, 503, "", "outage");
}

/** Adds blocks, or looks them up. @return the keys that are stored */
static json_t *put_or_get_blocks(const json_t *keys, bool put)
{
	json_t *moved = json_array();
	size_t i;
	json_t *key;
	SCOPED_LOCK(held, &store.lock);

	json_array_foreach (keys, i, key) {
		const char *hex = json_string_value(key);

		if (hex && put)
			g_hash_table_add(store.blocks, g_strdup(hex));
		if (hex && g_hash_table_contains(store.blocks, hex))
			json_array_append(moved, key);
	}
	return json_pack("{s:o}", "keys", moved);
}

static void handle_blocks(http_request_t *request)
{
	json_t *keys = json_object_get(request->json, "keys");
	bool put = !strcmp(request->path, "/kv/put");

	if (run_transfer(json_array_size(keys) * block_us))
		http_send_json(request, 200, "", put_or_get_blocks(keys, put));
	else
		http_send_error(request, 503, "", "outage");
}

static void handle_control(http_request_t *request)
{
	SCOPED_LOCK(held, &store.lock);

	store.outage_until_ms =
		clock_now_ms() + http_body_number(request, "outage_ms", 0);
	http_send_ok(request);
}

static void handle_stats(http_request_t *request)
{
	SCOPED_LOCK(held, &store.lock);

	http_send_json(request, 200, "",
		       json_pack("{s:s,s:I,s:i,s:i,s:i}", "role", roles[role],
				 "transfers", (json_int_t)store.transfers,
				 "open_max", store.open_max, "running_max",
				 store.running_max, "blocks",
				 (int)g_hash_table_size(store.blocks)));
}

static const http_route_t routes[] = {
	{ "GET", "/transfer", handle_transfer },
	{ "POST", "/kv/*", handle_blocks },
	{ "POST", "/control", handle_control },
	{ "GET", "/control/stats", handle_stats },
	{ 0 },
};

static const setting_t settings[] = {
	SERVER_ENTRIES(server, "port", "64"),
	{ .flag = "role",
	  .type = SETTING_CHOICE,
	  .value = &role,
	  .text = "name in the statistics",
	  .fallback = "weights",
	  .choices = roles },
	NUMBER_ENTRY("transfers-max", transfers_max, "2",
		     "transfers at once; others wait"),
	NUMBER_ENTRY("block-us", block_us, "2000",
		     "microseconds to move one block"),
	{ 0 },
};

static void start(void)
{
	clock_cond_init(&store.changed);
	store.blocks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void stop(void)
{
	pthread_mutex_lock(&store.lock);
	store.stopping = true;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static http_server_t server = {
	.routes = routes,
	.start = start,
	.stop = stop,
};

int main(int argc, char **argv)
{
	return http_server_main(argc, argv, settings, &server);
}
