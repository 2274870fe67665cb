/* Desired states, endpoints and customers whose names are long, and objects of
 * another writer whose names have special characters. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "t/lib/platform_rig.h"

enum {
	/** As long as the rest of a request's head allows with 16 KiB. */
	NAME_BYTES = 8000,
	SPLIT_COUNT = 40,
	ENDPOINT_REQUESTS = 40,
	GATEWAYS = 2,
	/** Largest head of a request (max_header_bytes). */
	HEAD_MAX_BYTES = 16384,
	ROUTE_TIMEOUT_MS = 300,
	/** Further header of the endpoints' answers. */
	MORE_HEADER_BYTES = 2000,
};

/* A name that differs from others of this function in its last byte only. */
static char *long_name(char last)
{
	char *name = g_strnfill(NAME_BYTES, 'n');

	name[NAME_BYTES - 1] = last;
	return name;
}

static void add_customer(json_t *customers, char last, const char *key)
{
	g_autofree char *name = long_name(last);

	json_array_append_new(customers,
			      json_pack("{s:s,s:[s],s:b}", "name", name,
					"api_keys", key, "isolated", 1));
}

/* Splits the traffic of the first route between the service of the rig and many
 * others, which have no share. */
static void split_first_route(const json_t *spec)
{
	json_t *services = json_object_get(spec, "services");
	json_t *splits =
		json_pack("[{s:s,s:i}]", "service", "desk", "weight", 1);

	for (int i = 1; i < SPLIT_COUNT; i++) {
		g_autofree char *name = g_strdup_printf("spare-%d", i);

		json_array_append_new(services,
				      json_pack("{s:s}", "name", name));
		json_array_append_new(splits, json_pack("{s:s,s:i}", "service",
							name, "weight", 0));
	}
	json_object_set_new(json_array_get(json_object_get(spec, "routes"), 0),
			    "traffic_split", splits);
}

/* Takes the key of the rig's customer away and adds customers with long names.
 */
static void put_long_names(platform_rig_t *rig)
{
	json_t *spec = platform_store_get(rig->store, "config", "main");
	json_t *changed = json_deep_copy(spec);
	json_t *customers = json_object_get(changed, "tenants");

	json_decref(spec);
	json_object_set_new(changed, "version", json_integer(2));
	json_object_set_new(json_array_get(customers, 0), "api_keys",
			    json_array());
	add_customer(customers, 'a', "key-a");
	add_customer(customers, 'b', "key-b");
	split_first_route(changed);
	platform_store_put(rig->store, "config", "main", changed);
}

static char *call_with_key(const platform_rig_t *rig, int gateway,
			   const char *path, const char *key)
{
	g_autofree char *request = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-%s\r\n"
		"Key: %s\r\nConnection: close\r\n" MODEL_HEADERS "\r\n",
		path, key, key);

	return raw_call(rig->ports[gateway], request);
}

static bool has_status(const platform_rig_t *rig, int gateway, const char *key,
		       const char *status)
{
	g_autofree char *answer = call_with_key(rig, gateway, "/get/1", key);

	return g_str_has_prefix(answer, status);
}

/* Failure: a name of 64 bytes or more, or a route with more than 8 services,
 * made all instances reject the desired state: they served a key that had been
 * taken away and refused a new one. */
static void test_desired_state(void)
{
	platform_rig_t rig;

	platform_rig_start(&rig, GATEWAYS);
	put_long_names(&rig);
	for (int i = 0; i < GATEWAYS; i++) {
		g_assert_true(
			WAIT_UNTIL(has_status(&rig, i, "key-a", "HTTP/1.1 200"),
				   HARNESS_WAIT_MS));
		g_assert_true(has_status(&rig, i, "key-1", "HTTP/1.1 401"));
	}
	platform_rig_stop(&rig);
}

static char *engine_header(platform_rig_t *rig, const char *key,
			   const char *name)
{
	uint32_t before = rig->engines[0].arrivals;
	g_autofree char *answer = call_with_key(rig, 0, "/stream/once/1", key);
	const endpoint_t *engine =
		&rig->engines[rig->engines[0].arrivals > before ? 0 : 1];

	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	return raw_header(engine->last_head, name);
}

/* Failure: customers whose names begin alike shared a cache, or were passed on
 * under a name that was cut. */
static void test_customers(void)
{
	platform_rig_t rig;
	g_autofree char *name = long_name('a');
	CLEANUP_FREE char *customer = NULL;
	CLEANUP_FREE char *salt_a = NULL;
	CLEANUP_FREE char *salt_b = NULL;

	platform_rig_start(&rig, 1);
	put_long_names(&rig);
	g_assert_true(WAIT_UNTIL(has_status(&rig, 0, "key-b", "HTTP/1.1 200"),
				 HARNESS_WAIT_MS));
	customer = engine_header(&rig, "key-a", "Tenant");
	g_assert_cmpstr(customer, ==, name);
	salt_a = engine_header(&rig, "key-a", "Cache-Salt");
	salt_b = engine_header(&rig, "key-b", "Cache-Salt");
	g_assert_cmpstr(salt_a, !=, salt_b);
	platform_rig_stop(&rig);
}

/* Lets an endpoint take requests under a long id only; returns the id. */
static char *rename_endpoint(endpoint_t *endpoint, char last)
{
	char *id = long_name(last);

	platform_rig_put_entry(endpoint, "draining");
	platform_rig_put_alias(endpoint, id);
	return id;
}

static bool expected_itself(const endpoint_t *endpoint, const char *id)
{
	CLEANUP_FREE char *expected =
		raw_header(endpoint->last_head, "Expect-Instance");

	return !strcmp(expected, id);
}

/* Failure: an endpoint with an id of 64 bytes or more got no requests. With a
 * cut id, its connections would be used for another one. */
static void test_endpoints(void)
{
	platform_rig_t rig;
	g_autofree char *id_a = NULL;
	g_autofree char *id_b = NULL;
	uint32_t before;

	platform_rig_start(&rig, 1);
	id_a = rename_endpoint(&rig.services[0], 'a');
	id_b = rename_endpoint(&rig.services[1], 'b');
	/* Until the instance uses the new ids only. */
	for (int i = 0; i < ENDPOINT_COUNT; i++)
		g_assert_true(
			WAIT_UNTIL(platform_rig_has_status(&rig, 0, "200") &&
					   rig.services[i].arrivals &&
					   expected_itself(&rig.services[i],
							   i ? id_b : id_a),
				   HARNESS_WAIT_MS));
	before = platform_rig_arrivals(rig.services);
	for (int i = 0; i < ENDPOINT_REQUESTS; i++) {
		g_assert_true(platform_rig_has_status(&rig, 0, "200"));
		g_assert_true(expected_itself(&rig.services[0], id_a));
		g_assert_true(expected_itself(&rig.services[1], id_b));
	}
	g_assert_cmpuint(platform_rig_arrivals(rig.services) - before, ==,
			 ENDPOINT_REQUESTS);
	platform_rig_stop(&rig);
}

/* How requests end; all but the first are answers of the gateway's own. */
static const struct {
	const char *name;
	const char *path;
	const char *key;
	int behaviour; /**< Of the endpoints. */
	const char *status;
} ends[] = {
	{ "served", "/get/1", "key-1", ANSWER, "HTTP/1.1 200" },
	{ "no-route", "/none", "key-1", ANSWER, "HTTP/1.1 404" },
	{ "no-key", "/get/1", "key-x", ANSWER, "HTTP/1.1 401" },
	{ "refused", "/order/1", "key-1", REFUSE, "HTTP/1.1 503" },
	{ "lost", "/order/1", "key-1", RESET_CONNECTION, "HTTP/1.1 502" },
	{ "unanswered", "/order/1", "key-1", HOLD, "HTTP/1.1 504" },
};

/** Lengths of ids; 0: as long as a request's head may be. */
static const size_t id_lengths[] = { 1, 200, 241, 242, 255, 256, 300, 8000, 0 };

static void check_request_id(const platform_rig_t *rig, size_t end,
			     const char *method, size_t id_bytes)
{
	g_autofree char *rest = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h.example\r\nKey: %s\r\n"
		"Deadline-Ms: 2500\r\nContent-Length: 0\r\n"
		"Connection: close\r\nRequest-Id: ",
		method, ends[end].path, ends[end].key);
	g_autofree char *id = g_strnfill(
		id_bytes ? id_bytes : HEAD_MAX_BYTES - strlen(rest) - 4, 'i');
	g_autofree char *request = g_strconcat(rest, id, "\r\n\r\n", NULL);
	g_autofree char *answer = raw_call(rig->ports[0], request);
	CLEANUP_FREE char *answer_id = raw_header(answer, "Request-Id");

	g_assert_true(g_str_has_prefix(answer, ends[end].status));
	g_assert_true(raw_is_whole(answer));
	g_assert_cmpstr(answer_id, ==, id);
}

/* Failure: clients whose request's id had 242 bytes or more got bytes that are
 * no answer where the gateway answered by itself. */
static void test_request_ids(const void *data)
{
	size_t end = GPOINTER_TO_SIZE(data);
	const char *method =
		g_str_has_prefix(ends[end].path, "/order") ? "POST" : "GET";
	g_autofree char *value = g_strnfill(MORE_HEADER_BYTES, 'm');
	g_autofree char *more_headers =
		g_strdup_printf("X-More: %s\r\n", value);
	platform_rig_t rig;

	platform_rig_start_with(
		&rig, 1,
		&(platform_rig_options_t){ .timeout_ms = ROUTE_TIMEOUT_MS });
	platform_rig_set_behaviour(rig.services, ends[end].behaviour);
	platform_rig_set_headers(rig.services, more_headers);
	for (size_t i = 0; i < G_N_ELEMENTS(id_lengths); i++)
		check_request_id(&rig, end, method, id_lengths[i]);
	platform_rig_release(rig.services);
	platform_rig_stop(&rig);
}

static const char *const foreign_names[] = {
	"a&b",	   "a+b",	"a#b",	 "a%b", "a b",	  "a%2",
	"a%26b",   "a=b",	"a?b",	 "a/b", "a\"b\\", "a;b,c|d",
	"a\x7f b", "a\xc3\xa9", "\nb\t", "",	"&&&&",	  "../b",
};

/* Kinds that an instance has to list before it serves. */
static const char *const listed_kinds[] = { "config", "servers", "versions" };

/* Failure: instances that had started while an object of another writer, with a
 * special character in its name, ended a page of a list never served. */
static void test_foreign_names(const void *kind)
{
	platform_rig_t rig;

	platform_rig_start(&rig, GATEWAYS);
	/* Each name ends a page. */
	platform_store_set_page_items(rig.store, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(foreign_names); i++)
		platform_store_put(rig.store, kind, foreign_names[i],
				   json_pack("{s:s}", "state", "odd"));
	platform_rig_kill_gateways(&rig);
	for (int i = 0; i < GATEWAYS; i++)
		platform_rig_start_gateway(&rig, i);
	for (int i = 0; i < GATEWAYS; i++)
		g_assert_true(
			WAIT_UNTIL(platform_rig_has_status(&rig, i, "200"),
				   HARNESS_WAIT_MS));
	platform_rig_stop(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/it-names/desired-state", test_desired_state);
	g_test_add_func("/it-names/customers", test_customers);
	g_test_add_func("/it-names/endpoints", test_endpoints);
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		g_autofree char *path = g_strconcat("/it-names/request-id/",
						    ends[i].name, NULL);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i),
				     test_request_ids);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(listed_kinds); i++) {
		g_autofree char *path = g_strconcat("/it-names/foreign/",
						    listed_kinds[i], NULL);

		g_test_add_data_func(path, listed_kinds[i], test_foreign_names);
	}
	return g_test_run();
}
