#include "cmd/router_events.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/hash.h"
#include "process/metrics.h"

enum {
	/** Maximum number of events in one answer. */
	EVENTS_MAX = 64,
	/** Limit of an answer with that many events, bytes. */
	ANSWER_MAX_BYTES = 8192,
	/** Shortest time between two calls to one engine. */
	ENGINE_INTERVAL_MS = 250,
	CALL_TIMEOUT_MS = 1000,
	/** Interval at which the thread checks for exit and for due calls. */
	LOOP_SLEEP_MS = 20,
	URL_MAX_BYTES = 160,
};

/** Body of an answer. */
typedef struct answer {
	char text[ANSWER_MAX_BYTES];
	size_t len;
} answer_t;

static size_t append_bytes(char *bytes, size_t size, size_t count,
			   void *context)
{
	answer_t *answer = context;
	size_t len = size * count;

	if (answer->len + len > sizeof(answer->text))
		return 0;
	memcpy(answer->text + answer->len, bytes, len);
	answer->len += len;
	return len;
}

static void set_url(CURL *easy, const fleet_target_t *target, uint64_t since)
{
	bool is_ipv6 = strchr(target->address, ':') != NULL;
	char url[URL_MAX_BYTES];

	snprintf(url, sizeof(url),
		 "%s://%s%s%s:%u/engine/events?since=%" PRIu64 "&max=%d",
		 target->tls ? "https" : "http", is_ipv6 ? "[" : "",
		 target->address, is_ipv6 ? "]" : "", (unsigned)target->port,
		 since, EVENTS_MAX);
	curl_easy_setopt(easy, CURLOPT_URL, url);
}

/** Bytes of the last call, sent and received. */
static uint64_t call_bytes(CURL *easy)
{
	curl_off_t body = 0;
	long request = 0;
	long head = 0;

	curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head);
	return (uint64_t)body + (uint64_t)request + (uint64_t)head;
}

static bool parse_event(const json_t *value, fleet_event_t *event)
{
	json_int_t seq;
	const char *op;
	const char *key;

	if (json_unpack((json_t *)value, "{s:I,s:s,s:s}", "seq", &seq, "op",
			&op, "key", &key) ||
	    seq <= 0 || hash_key_from_hex(key, &event->key))
		return false;
	event->seq = (uint64_t)seq;
	event->added = !strcmp(op, "add");
	return true;
}

/** Updates metrics. @param result return value of fleet_apply_events() */
static void count_result(int result, size_t event_count)
{
	metrics_add(METRIC_CACHE_EVENTS, (int64_t)event_count);
	if (result > 0)
		metrics_add(METRIC_CACHE_EVENTS_TRACKED, result);
	if (result == ERR_NOT_FOUND)
		metrics_add(METRIC_CACHE_EVENT_GAPS, 1);
}

static void apply_answer(const router_t *router, const answer_t *answer,
			 const fleet_target_t *target, uint64_t since)
{
	CLEANUP_JSON json_t *value =
		json_loadb(answer->text, answer->len, 0, NULL);
	fleet_event_t list[EVENTS_MAX];
	fleet_events_t events = { .since = since, .events = list };
	json_int_t incarnation;
	json_int_t first_seq;
	json_t *items;
	json_t *item;
	size_t i;

	if (json_unpack(value, "{s:I,s:I,s:o}", "incarnation", &incarnation,
			"first_seq", &first_seq, "events", &items) ||
	    incarnation <= 0 || first_seq < 0 ||
	    json_array_size(items) > EVENTS_MAX)
		return;
	json_array_foreach (items, i, item) {
		if (!parse_event(item, &list[i]))
			return;
		events.count++;
	}
	events.incarnation = (uint64_t)incarnation;
	events.first_seq = (uint64_t)first_seq;
	count_result(fleet_apply_events(router->fleet, target, &events,
					clock_now_ms()),
		     events.count);
}

/** Calls one engine if one is due. @return bytes of the call, or 0 */
static uint64_t read_events(const router_t *router, CURL *easy,
			    answer_t *answer)
{
	fleet_target_t target;
	uint64_t since;
	uint64_t bytes;
	long status = 0;

	if (fleet_events_due(router->fleet, ENGINE_INTERVAL_MS, clock_now_ms(),
			     &target, &since))
		return 0;
	answer->len = 0;
	set_url(easy, &target, since);
	if (!curl_easy_perform(easy))
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (status == 200)
		apply_answer(router, answer, &target, since);
	bytes = call_bytes(easy);
	metrics_add(METRIC_CACHE_EVENT_BYTES, (int64_t)bytes);
	return bytes;
}

static CURL *open_transfer(const router_t *router, answer_t *answer)
{
	CURL *easy = curl_easy_init();

	if (!easy)
		return NULL;
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (router->settings.endpoint_ca)
		curl_easy_setopt(easy, CURLOPT_CAINFO,
				 router->settings.endpoint_ca);
	return easy;
}

void *router_events_thread(void *context)
{
	static const struct timespec pause = { .tv_nsec = LOOP_SLEEP_MS *
							  1000000L };
	router_t *router = context;
	answer_t answer;
	CURL *easy = open_transfer(router, &answer);
	uint64_t next_ms = 0;

	while (easy && !uatomic_read(&router->exiting)) {
		if (clock_now_ms() >= next_ms) {
			uint64_t bytes = read_events(router, easy, &answer);

			next_ms = clock_now_ms() +
				  bytes * 1000 /
					  router->settings.events_bytes_per_s;
		}
		nanosleep(&pause, NULL);
	}
	curl_easy_cleanup(easy);
	return NULL;
}
