/*
 * Prints what the change of one endpoint costs an instance by the number of
 * endpoints: taking in the table of a peer, and publishing a view.
 */
#include <glib.h>
#include <stdio.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/store_revision.h"
#include "version/view_builder.h"

/** Of the sites, of the largest region of the plan, and of all regions. */
static const int endpoint_counts[] = { 28, 400, 1714, 12000 };

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void put(object_table_t *table, const char *name, uint64_t number,
		json_t *spec)
{
	object_item_t item = { name, store_revision_make(1, number), false,
			       spec };

	g_assert_cmpint(object_table_list_add(table, &item), ==, 1);
}

/** Writes endpoint `i`; `number` is that of the store's revision. */
static void put_endpoint(object_table_t *table, int i, uint64_t number)
{
	g_autofree char *name = g_strdup_printf("i-%08x", i * 2654435761U);
	g_autofree char *address =
		g_strdup_printf("10.0.%d.%d:80", i / 250, i % 250 + 1);
	CLEANUP_JSON json_t *spec = json_pack(
		"{s:s,s:s,s:s,s:i,s:s,s:[{s:s,s:i}],s:I,s:i}", "service", "llm",
		"addr", address, "zone", "z", "slots", 8, "state", "ready",
		"models", "name", "m", "version", 1, "seq", (json_int_t)number,
		"born", 1000 + i);

	put(table, name, number, spec);
}

static void fill_builder(view_builder_t *builder, int count)
{
	object_table_t *endpoints = &builder->tables[OBJECT_ENDPOINTS];
	CLEANUP_JSON json_t *desired =
		json_pack("{s:i,s:[],s:[{s:s}]}", "version", 1, "routes",
			  "services", "name", "llm");

	for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
		object_table_t *table = &builder->tables[kind];

		table->kind = kind;
		object_table_list_begin(table);
		if (kind == OBJECT_DESIRED)
			put(table, "main", 1, desired);
		for (int i = 0; table == endpoints && i < count; i++)
			put_endpoint(table, i, (uint64_t)i + 2);
		object_table_list_end(
			table, store_revision_make(1, (uint64_t)count + 2), 1);
	}
}

/** Changes an endpoint and the revision of its table. */
static void change_endpoint(object_table_t *table)
{
	uint64_t number = store_revision_number(table->revision) + 1;

	put_endpoint(table, 7, number);
	table->revision = store_revision_make(1, number);
}

/** Takes in the table of a peer. @return the time, ms */
static double import(object_table_t *table, const object_table_t *peer)
{
	CLEANUP_JSON json_t *state =
		object_table_export(peer, table->revision, 1);
	double start_ms = now_ms();

	g_assert_cmpint(object_table_import(table, state, 1), ==, 1);
	return now_ms() - start_ms;
}

/** @return the time, ms */
static double publish(view_builder_t *builder)
{
	double start_ms = now_ms();

	g_assert_cmpint(view_builder_publish(builder, 10), ==, 0);
	return now_ms() - start_ms;
}

static void measure(int count)
{
	view_builder_t *builder = g_new0(view_builder_t, 1);
	object_table_t *endpoints = &builder->tables[OBJECT_ENDPOINTS];
	object_table_t follower = { .kind = OBJECT_ENDPOINTS };
	double first_ms;
	double change_ms;

	fill_builder(builder, count);
	first_ms = import(&follower, endpoints);
	change_endpoint(endpoints);
	change_ms = import(&follower, endpoints);
	publish(builder);
	change_endpoint(endpoints);
	/* The view logs a line on standard output. */
	fprintf(stderr, "%9d %15.2f %16.2f %11.2f\n", count, first_ms,
		change_ms, publish(builder));
	object_table_free(&follower);
	view_builder_free(builder);
	g_free(builder);
}

int main(void)
{
	fprintf(stderr, "endpoints first import ms change imported ms "
			"published ms\n");
	for (size_t i = 0; i < G_N_ELEMENTS(endpoint_counts); i++)
		measure(endpoint_counts[i]);
	return 0;
}
