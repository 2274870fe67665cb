/*
 * Prints what a change of the desired state costs by its number of routes:
 * bytes of the text and of patches, and the time of each step on the way from
 * one instance to another.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform/platform_desired.h"
#include "process/cleanup.h"
#include "process/document.h"
#include "process/rng.h"

enum {
	/** Routes that the operator adds at once. */
	ADDED_COUNT = 1400,
	LOOKUPS = 1000,
};

/** As many routes as the site files have, as were reported, and as fit into an
 * object of the store. */
static const int route_counts[] = { 40, 1440, 4200, 4700 };

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static json_t *make_state(int routes, int version)
{
	json_t *list = json_array();
	rng_t rng;

	rng_init(&rng, 1);
	for (int i = 0; i < routes; i++) {
		char *name = g_strdup_printf("r-%07x",
					     (uint32_t)rng_next(&rng) >> 4);
		char *host = g_strdup_printf("%06x.example",
					     (uint32_t)rng_next(&rng) >> 8);
		char *path = g_strdup_printf("/%x/", (uint32_t)rng_next(&rng));

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,"
				  "s:b,s:b,s:i}",
				  "name", name, "host", host, "path_prefix",
				  path, "kind", "idempotent", "timeout_ms",
				  1500, "target_latency_ms", 120, "priority", 1,
				  "service", "desk", "max_attempts", 2,
				  "anonymous", 0, "sticky", 0, "resumable", 0,
				  "gap_aim_ms", 0));
		g_free(name);
		g_free(host);
		g_free(path);
	}
	return json_pack("{s:i,s:o,s:[{s:s,s:s}]}", "version", version,
			 "routes", list, "services", "name", "desk",
			 "health_path", "/h");
}

/* Adds a state to the history; returns its digest. */
static uint64_t add_state(document_history_t *history, int routes, int version)
{
	CLEANUP_JSON json_t *state = make_state(routes, version);
	char *text = json_dumps(state, JSON_COMPACT | JSON_SORT_KEYS);

	document_history_add(history, text, strlen(text));
	return document_history_newest(history);
}

static void print_patch(document_history_t *history, const char *name,
			uint64_t target, uint64_t base)
{
	double begin_ms = now_ms();
	const document_patch_t *patch =
		document_history_patch(history, target, base);

	printf("  patch, %-12s %8zu bytes %6.2f ms\n", name, patch->len,
	       now_ms() - begin_ms);
}

static void print_receiving(int routes)
{
	CLEANUP_JSON json_t *state = make_state(routes, 1);
	CLEANUP_JSON json_t *parsed = NULL;
	CLEANUP_FREE char *text = NULL;
	desired_state_t *desired = NULL;
	double times_ms[5];

	times_ms[0] = now_ms();
	text = json_dumps(state, JSON_COMPACT | JSON_SORT_KEYS);
	times_ms[1] = now_ms();
	parsed = json_loads(text, 0, NULL);
	times_ms[2] = now_ms();
	if (platform_read_desired(parsed, 1, &desired))
		g_error("invalid state");
	times_ms[3] = now_ms();
	for (int i = 0; i < LOOKUPS; i++)
		(void)desired_find_route(desired, "none.example", "/none/");
	times_ms[4] = now_ms();
	printf("  text %zu bytes, encode %.2f ms, parse %.2f ms, build %.2f "
	       "ms, find a route %.1f us\n",
	       strlen(text), times_ms[1] - times_ms[0],
	       times_ms[2] - times_ms[1], times_ms[3] - times_ms[2],
	       (times_ms[4] - times_ms[3]) * 1000 / LOOKUPS);
	desired_put(desired);
}

int main(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route_counts); i++) {
		int routes = route_counts[i];
		int fewer = routes > ADDED_COUNT ? routes - ADDED_COUNT : 1;
		document_history_t history = { 0 };
		uint64_t before = add_state(&history, fewer, 1);
		uint64_t first = add_state(&history, routes, 1);
		uint64_t second = add_state(&history, routes, 2);

		printf("%d routes\n", routes);
		print_receiving(routes);
		print_patch(&history, "whole", first, 0);
		print_patch(&history, "1,400 more", first, before);
		print_patch(&history, "one change", second, first);
		document_history_free(&history);
	}
	return 0;
}
