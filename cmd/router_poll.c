/*
 * Threads that poll the load of engines and drive the fleet's timers.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/metrics.h"

enum {
	/** Maximum number of concurrent polls. */
	POLLS_MAX = 32,
	/** A load report that takes longer would be out of date. */
	POLL_TIMEOUT_MS = 1000,
	/** Limit of a load report, bytes. */
	REPORT_MAX_BYTES = 4096,
	/** Longest wait for the network between checks for due polls. */
	LOOP_WAIT_MS = 20,
	URL_MAX_BYTES = 96,
	IDLE_CONNECTIONS_MAX = 64,
};

/** One poll in progress. */
typedef struct poll {
	CURL *easy;
	fleet_target_t target;
	char text[REPORT_MAX_BYTES];
	size_t len;
} poll_t;

static size_t append_bytes(char *bytes, size_t size, size_t count,
			   void *context)
{
	poll_t *poll = context;
	size_t len = size * count;

	if (poll->len + len > sizeof(poll->text))
		return 0;
	memcpy(poll->text + poll->len, bytes, len);
	poll->len += len;
	return len;
}

static void start_poll(const router_t *router, CURLM *multi, poll_t *poll)
{
	const fleet_target_t *target = &poll->target;
	bool is_ipv6 = strchr(target->address, ':') != NULL;
	char url[URL_MAX_BYTES];

	poll->len = 0;
	poll->easy = curl_easy_init();
	if (!poll->easy) {
		metrics_add(METRIC_POLLS_FAILED, 1);
		return;
	}
	snprintf(url, sizeof(url), "%s://%s%s%s:%u/engine/load",
		 target->tls ? "https" : "http", is_ipv6 ? "[" : "",
		 target->address, is_ipv6 ? "]" : "", (unsigned)target->port);
	curl_easy_setopt(poll->easy, CURLOPT_URL, url);
	curl_easy_setopt(poll->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(poll->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(poll->easy, CURLOPT_TIMEOUT_MS, (long)POLL_TIMEOUT_MS);
	curl_easy_setopt(poll->easy, CURLOPT_WRITEFUNCTION, append_bytes);
	curl_easy_setopt(poll->easy, CURLOPT_WRITEDATA, poll);
	curl_easy_setopt(poll->easy, CURLOPT_PRIVATE, poll);
	if (router->settings.endpoint_ca)
		curl_easy_setopt(poll->easy, CURLOPT_CAINFO,
				 router->settings.endpoint_ca);
	curl_multi_add_handle(multi, poll->easy);
}

static uint64_t get_uint64(const json_t *report, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(report, name));

	return value > 0 ? (uint64_t)value : 0;
}

static uint32_t get_uint32(const json_t *report, const char *name)
{
	uint64_t value = get_uint64(report, name);

	return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

static const char *get_string(const json_t *report, const char *name)
{
	return json_string_value(json_object_get(report, name));
}

/** @return whether the report was usable */
static bool apply_report(const router_t *router, const poll_t *poll)
{
	CLEANUP_JSON json_t *report =
		json_loadb(poll->text, poll->len, 0, NULL);
	engine_load_t load = {
		.incarnation = get_uint64(report, "incarnation"),
		.seq = get_uint64(report, "seq"),
		.age_ms = get_uint32(report, "age_ms"),
		.running = get_uint32(report, "running"),
		.queued = get_uint32(report, "queued"),
		.queued_tokens = get_uint64(report, "queued_tokens"),
		.kv_used_blocks = get_uint32(report, "kv_used_blocks"),
		.kv_total_blocks = get_uint32(report, "kv_total_blocks"),
		.leaving = json_is_true(json_object_get(report, "leaving")),
		.model = get_string(report, "model"),
		.adapter = get_string(report, "adapter"),
		.weights_version = get_string(report, "weights_version"),
	};

	if (!json_is_object(report) || !load.incarnation)
		return false;
	fleet_apply_report(router->fleet, &poll->target, &load, clock_now_ms());
	return true;
}

static void finish_polls(const router_t *router, CURLM *multi)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(multi, &left))) {
		poll_t *poll = NULL;
		long status = 0;

		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &poll);
		curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
				  &status);
		if (message->data.result != CURLE_OK || status != 200 ||
		    !apply_report(router, poll))
			metrics_add(METRIC_POLLS_FAILED, 1);
		curl_multi_remove_handle(multi, poll->easy);
		curl_easy_cleanup(poll->easy);
		poll->easy = NULL;
	}
}

static void start_due_polls(const router_t *router, CURLM *multi, poll_t *polls)
{
	fleet_poll_interval_t interval = {
		.in_use_ms = router->settings.poll_ms,
		.idle_ms = router->settings.poll_idle_ms,
		.polls_per_s = router->settings.polls_per_s,
	};

	for (size_t i = 0; i < POLLS_MAX; i++) {
		if (polls[i].easy)
			continue;
		if (!fleet_poll_due(router->fleet, &interval, clock_now_ms(),
				    &polls[i].target, 1))
			return;
		start_poll(router, multi, &polls[i]);
	}
}

void *router_poll_thread(void *context)
{
	router_t *router = context;
	CURLM *multi = curl_multi_init();
	poll_t *polls = calloc(POLLS_MAX, sizeof(*polls));

	if (multi)
		curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
				  (long)IDLE_CONNECTIONS_MAX);
	while (multi && polls && !uatomic_read(&router->exiting)) {
		int running = 0;

		start_due_polls(router, multi, polls);
		curl_multi_perform(multi, &running);
		finish_polls(router, multi);
		curl_multi_poll(multi, NULL, 0, LOOP_WAIT_MS, NULL);
	}
	for (size_t i = 0; polls && i < POLLS_MAX; i++) {
		if (!polls[i].easy)
			continue;
		curl_multi_remove_handle(multi, polls[i].easy);
		curl_easy_cleanup(polls[i].easy);
	}
	curl_multi_cleanup(multi);
	free(polls);
	return NULL;
}

void *router_timer_thread(void *context)
{
	router_t *router = context;

	while (!uatomic_read(&router->exiting)) {
		struct timespec pause = { 0 };
		uint32_t wait_ms;

		router_apply_config(router);
		wait_ms = fleet_tick(router->fleet, clock_now_ms());
		pause.tv_nsec = (long)wait_ms * 1000000L;
		nanosleep(&pause, NULL);
	}
	return NULL;
}
