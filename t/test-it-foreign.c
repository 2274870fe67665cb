/* Entries of another writer in the list of endpoints. */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "t/lib/platform_rig.h"

enum {
	GATEWAYS = 2,
	/** Memory of the smallest instance (`memory_mb`). */
	MEMORY_KB = 96 * 1024,
	/** `value_bytes` of the platform, less the rest of an object. */
	VALUE_BYTES = 1048000,
	POLL_US = 2000,
};

/** An entry whose content is `begin`, as many times `part` as fit, and `end`.
 */
typedef struct foreign_case {
	const char *name;
	int count;
	const char *begin;
	const char *part; /**< NULL: `begin` is all. */
	const char *end;
} foreign_case_t;

#define VALID(service)                                                    \
	"{\"addr\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":4,\"seq\":1," \
	"\"state\":\"ready\",\"service\":\"" service

static const foreign_case_t foreign_cases[] = {
	{ "no-content", 3, "null", NULL, NULL },
	{ "list", 3, "[]", NULL, NULL },
	{ "large-service-list", 12, "{\"service\":[0", ",{\"a\":1}", "]}" },
	{ "large-unknown-field", 12, VALID("x") "\",\"x\":[0", ",{}", "]}" },
	{ "large-service-name", 24, VALID(""), "xxxxxxxx", "\"}" },
	{ "large-models", 12, VALID("x") "\",\"models\":[0",
	  ",{\"name\":\"m\",\"version\":1}", "]}" },
};

static char *content(const foreign_case_t *c)
{
	GString *text = g_string_new(c->begin);

	while (c->part && text->len < VALUE_BYTES)
		g_string_append(text, c->part);
	g_string_append(text, c->end ? c->end : "");
	return g_string_free(text, FALSE);
}

static void put_foreign(platform_rig_t *rig, const foreign_case_t *c)
{
	g_autofree char *spec = content(c);

	for (int i = 0; i < c->count; i++) {
		g_autofree char *name = g_strdup_printf("foreign-%d", i);

		platform_store_put(rig->store, "servers", name,
				   json_loads(spec, JSON_DECODE_ANY, NULL));
	}
}

/* Memory of a gateway, without the files that it maps. */
static long memory_kb(const platform_rig_t *rig, int gateway)
{
	g_autofree char *path = g_strdup_printf(
		"/proc/%d/status", program_pid(rig->gateways[gateway]));
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "RssAnon:");
	return line ? atol(line + strlen("RssAnon:")) : 0;
}

/* Waits until all gateways use an endpoint's new id only, which they know from
 * the list, and checks their memory meanwhile. */
static void wait_for_id(const platform_rig_t *rig, const char *id)
{
	uint64_t deadline_ms = clock_now_ms() + HARNESS_WAIT_MS;
	long most_kb = 0;
	int done = 0;

	while (done < GATEWAYS) {
		const endpoint_t *endpoint = &rig->services[0];
		CLEANUP_FREE char *expected = NULL;

		for (int i = 0; i < GATEWAYS; i++)
			most_kb = MAX(most_kb, memory_kb(rig, i));
		g_assert_cmpint(most_kb, <, MEMORY_KB);
		g_assert_cmpuint(clock_now_ms(), <, deadline_ms);
		clock_sleep_us(POLL_US);
		if (!platform_rig_has_status(rig, done, "200"))
			continue;
		if (endpoint->last_head)
			expected = raw_header(endpoint->last_head,
					      "Expect-Instance");
		done += expected && !strcmp(expected, id);
	}
	g_test_message("most memory %ld kB", most_kb);
}

/* Leaves one endpoint in the list, under this id. */
static void rename_endpoint(platform_rig_t *rig, const char *old_id,
			    const char *id)
{
	platform_rig_put_alias(&rig->services[0], id);
	platform_store_remove(rig->store, "servers", old_id);
}

/* Failure: entries of another writer took more memory than an instance may use,
 * or kept it from following the list of endpoints. */
static void test_foreign(const void *data)
{
	platform_rig_t rig;

	platform_rig_start(&rig, GATEWAYS);
	platform_store_remove(rig.store, "servers", rig.services[1].id);
	put_foreign(&rig, data);
	rename_endpoint(&rig, rig.services[0].id, "z-1");
	wait_for_id(&rig, "z-1");
	platform_rig_kill_gateways(&rig);
	for (int i = 0; i < GATEWAYS; i++)
		platform_rig_start_gateway(&rig, i);
	wait_for_id(&rig, "z-1");
	rename_endpoint(&rig, "z-1", "z-2");
	wait_for_id(&rig, "z-2");
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(foreign_cases); i++) {
		g_autofree char *path = g_strconcat(
			"/it-foreign/", foreign_cases[i].name, NULL);

		g_test_add_data_func(path, &foreign_cases[i], test_foreign);
	}
	return g_test_run();
}
