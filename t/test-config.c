/* Tests for configuration versions: validation, lookup, urgency, publishing. */
#include <glib.h>
#include <string.h>

#include "process/error.h"
#include "version/config.h"

#define KEY_A "3d1d5c2f0cb2ff93ea2c5e3a8a9cd5a6ee2ee35f1b0b0b7f1f9e7e0a1b2c3d4e"

static const char base_text[] =
	"{'model/m1':{'block_tokens':1000},"
	"'pool/p1':{'model':'m1','weights_version':'v1','ready_min':1},"
	"'pool/p2':{},"
	"'urgency/u1':{'time_zone':'Europe/Bucharest','fallback':'deferrable',"
	" 'rules':[{'kind':'verdict','from_hour':22,'to_hour':6,"
	"           'class':'urgent'},"
	"          {'kind':'verdict','class':'normal'}]},"
	"'customer/c1':{'key_sha256':'" KEY_A
	"','salt':'s1','urgency':'u1','pools':['p2','p1']},"
	"'route/dispatch':{'pool':'p2','idempotent_methods':['GET','PUT']},"
	"'endpoint/e2':{'kind':'engine','address':'127.0.0.2','port':9001,"
	" 'domain':'d1','pool':'p1'},"
	"'endpoint/e1':{'kind':'engine','address':'::1','port':9000,"
	" 'domain':'d2','pool':'p1','checks_fencing':true},"
	"'endpoint/x1':{'kind':'plain','address':'127.0.0.1','port':9100,"
	" 'domain':'d1','pool':'p2'}}";

static json_t *parse(const char *text)
{
	g_autofree char *copy = g_strdelimit(g_strdup(text), "'", '"');
	json_t *value = json_loads(copy, JSON_DECODE_ANY, NULL);

	g_assert_nonnull(value);
	return value;
}

/** Returns the base objects with some replaced, or deleted if null. */
static json_t *objects_with(const char *change)
{
	json_t *objects = parse(base_text);
	json_t *changes = parse(change);
	const char *key;
	json_t *value;

	json_object_foreach (changes, key, value) {
		if (json_is_null(value))
			json_object_del(objects, key);
		else
			json_object_set(objects, key, value);
	}
	json_decref(changes);
	return objects;
}

static config_t *build(uint64_t position, const char *change)
{
	json_t *objects = objects_with(change);
	config_problem_t problem;
	config_t *config;

	g_assert_cmpint(config_build(position, objects, &config, &problem), ==,
			0);
	json_decref(objects);
	return config;
}

/* A wrong index between objects would route requests to wrong endpoints. */
static void test_build_links_objects(void)
{
	CLEANUP_CONFIG config_t *config = build(7, "{}");
	int32_t pool = config_find_pool(config, "p1");
	const config_customer_t *customer =
		&config->customers[config_find_customer(config, "c1")];
	const config_route_t *route =
		&config->routes[config_find_route(config, "dispatch")];

	g_assert_cmpuint(config->position, ==, 7);
	g_assert_cmpuint(config->pools[pool].endpoint_count, ==, 2);
	g_assert_cmpint(config->pools[pool].endpoints[0], ==,
			config_find_endpoint(config, "e1"));
	g_assert_cmpint(config->pools[pool].endpoints[1], ==,
			config_find_endpoint(config, "e2"));
	g_assert_true(config->endpoints[0].checks_fencing);
	g_assert_cmpuint(config->models[0].block_tokens, ==, 1000);
	g_assert_cmpuint(config->models[0].token_bytes, ==, 4);
	g_assert_cmpuint(config->limits.attempts_max, ==, 3);
	g_assert_cmpint(config_find_customer_model(config, customer, "m1"), ==,
			pool);
	g_assert_cmpint(config_find_customer_model(config, customer, ""), ==,
			CONFIG_NONE);
	g_assert_true(config_customer_has_pool(customer, pool));
	g_assert_true(config_route_is_idempotent(route, "PUT"));
	g_assert_false(config_route_is_idempotent(route, "POST"));
	g_assert_false(config_route_is_idempotent(route, "PU"));
	g_assert_cmpint(config_find_model(config, "m"), ==, CONFIG_NONE);
}

/*
 * An invalid object that is accepted would be in force on all instances. The
 * error must name the object and the field.
 */
static void test_invalid_objects_are_named(void)
{
	static const struct {
		const char *change;
		const char *object;
		const char *field;
	} cases[] = {
		{ "{'model/m1':{'block_token':1}}", "model/m1", "block_token" },
		{ "{'model/m1':{'block_tokens':0}}", "model/m1",
		  "block_tokens" },
		{ "{'model/m1':{'block_tokens':'1'}}", "model/m1",
		  "block_tokens" },
		{ "{'model/m1':{'block_tokens':1.5}}", "model/m1",
		  "block_tokens" },
		{ "{'model/m1':{'token_bytes':4294967300}}", "model/m1",
		  "token_bytes" },
		{ "{'model/m1':7}", "model/m1", "" },
		{ "{'model/m1':null}", "pool/p1", "model" },
		{ "{'pool/p2':null}", "route/dispatch", "pool" },
		{ "{'route/dispatch':{'pool':'p1'}}", "route/dispatch",
		  "pool" },
		{ "{'route/dispatch':{'pool':'p2',"
		  "'idempotent_methods':['get']}}",
		  "route/dispatch", "idempotent_methods" },
		{ "{'endpoint/e1':{'kind':'engine','address':'localhost',"
		  "'port':1,'domain':'d','pool':'p1'}}",
		  "endpoint/e1", "address" },
		{ "{'endpoint/e1':{'kind':'engine','address':'127.0.0.1',"
		  "'port':70000,'domain':'d','pool':'p1'}}",
		  "endpoint/e1", "port" },
		{ "{'endpoint/e1':{'kind':'plain','address':'127.0.0.1',"
		  "'port':1,'domain':'d','pool':'p1'}}",
		  "endpoint/e1", "pool" },
		{ "{'endpoint/e1':{'kind':'gpu','address':'127.0.0.1',"
		  "'port':1,'domain':'d','pool':'p1'}}",
		  "endpoint/e1", "kind" },
		{ "{'endpoint/e1':{'kind':'engine'}}", "endpoint/e1",
		  "address" },
		{ "{'customer/c1':{'key_sha256':'abc','salt':'s'}}",
		  "customer/c1", "key_sha256" },
		{ "{'customer/c2':{'key_sha256':'" KEY_A "','salt':'s'}}",
		  "customer/c2", "key_sha256" },
		{ "{'customer/c1':{'key_sha256':'" KEY_A
		  "','salt':'s','pools':['p9']}}",
		  "customer/c1", "pools" },
		{ "{'customer/c1':{'key_sha256':'" KEY_A
		  "','salt':'s','urgency':'u9'}}",
		  "customer/c1", "urgency" },
		{ "{'urgency/u1':{'time_zone':'Mars/Base'}}", "urgency/u1",
		  "time_zone" },
		{ "{'urgency/u1':{'time_zone':'UTC',"
		  "'rules':[{'class':'soon'}]}}",
		  "urgency/u1", "class" },
		{ "{'urgency/u1':{'time_zone':'UTC','rules':{}}}", "urgency/u1",
		  "rules" },
		{ "{'limits/global':{'attempts_max':99}}", "limits/global",
		  "attempts_max" },
		{ "{'limits/other':{}}", "limits/other", "" },
		{ "{'machine/x':{}}", "machine/x", "" },
		{ "{'model/a b':{}}", "model/a b", "" },
		{ "{'model/':{}}", "model/", "" },
		{ "{'model/..':{}}", "model/..", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *objects = objects_with(cases[i].change);
		config_problem_t problem;
		config_t *config;
		int err = config_build(1, objects, &config, &problem);

		g_test_message("case %zu: %s", i, cases[i].change);
		g_assert_cmpint(err, ==, ERR_TICKET_INVALID);
		g_assert_null(config);
		g_assert_cmpstr(problem.object, ==, cases[i].object);
		g_assert_cmpstr(problem.field, ==, cases[i].field);
		g_assert_cmpuint(strlen(problem.text), >, 0);
		json_decref(objects);
	}
}

/* A wrong local hour, as after a daylight saving change, would delay urgent
 * requests. */
static void test_urgency_by_local_hour(void)
{
	static const struct {
		int64_t unix_s;
		const char *kind;
		urgency_class_t urgency;
	} cases[] = {
		/* 2026-01-10 19:59 and 20:00 UTC are 21:59 and 22:00 EET. */
		{ 1768075140, "verdict", URGENCY_NORMAL },
		{ 1768075200, "verdict", URGENCY_URGENT },
		/* 2026-01-11 03:59 and 04:00 UTC are 05:59 and 06:00 EET. */
		{ 1768103940, "verdict", URGENCY_URGENT },
		{ 1768104000, "verdict", URGENCY_NORMAL },
		/* 2026-07-10 19:00 UTC is 22:00 EEST. */
		{ 1783710000, "verdict", URGENCY_URGENT },
		{ 1768075200, "summary", URGENCY_DEFERRABLE },
		{ 1768075200, "", URGENCY_DEFERRABLE },
	};
	CLEANUP_CONFIG config_t *config = build(1, "{}");

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(config_urgency(config, &config->customers[0],
					       cases[i].kind, cases[i].unix_s),
				==, cases[i].urgency);
}

/* An API key must identify only its own customer. */
static void test_find_customer_by_key(void)
{
	char digest[HASH_DIGEST_HEX_BYTES];
	g_autofree char *change = NULL;
	config_t *config;

	hash_digest_hex("secret", 6, digest);
	change = g_strdup_printf(
		"{'customer/c2':{'key_sha256':'%s','salt':'s'}}", digest);
	config = build(1, change);
	g_assert_cmpint(config_find_customer_by_key(config, "secret"), ==,
			config_find_customer(config, "c2"));
	g_assert_cmpint(config_find_customer_by_key(config, "secret2"), ==,
			CONFIG_NONE);
	g_assert_cmpint(config_find_customer_by_key(config, ""), ==,
			CONFIG_NONE);
	config_release(config);
}

static gpointer read_positions(gpointer stop)
{
	uint64_t last = 0;

	while (!g_atomic_int_get((int *)stop)) {
		CLEANUP_CONFIG config_t *config = config_acquire();

		g_assert_cmpuint(config->position, >=, last);
		g_assert_cmpuint(config->endpoint_count, ==, 3);
		last = config->position;
	}
	return NULL;
}

/* Concurrent readers must never get a freed version or a lower position. */
static void test_published_position_never_decreases(void)
{
	GThread *readers[4];
	int stop = 0;

	g_assert_null(config_acquire());
	g_assert_true(config_publish(build(5, "{}")));
	for (size_t i = 0; i < G_N_ELEMENTS(readers); i++)
		readers[i] = g_thread_new("reader", read_positions, &stop);
	for (uint64_t position = 6; position < 300; position++) {
		g_assert_true(config_publish(build(position, "{}")));
		g_assert_false(config_publish(build(position, "{}")));
		g_assert_false(config_publish(build(position - 1, "{}")));
	}
	g_atomic_int_set(&stop, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(readers); i++)
		g_thread_join(readers[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/links", test_build_links_objects);
	g_test_add_func("/config/invalid", test_invalid_objects_are_named);
	g_test_add_func("/config/urgency", test_urgency_by_local_hour);
	g_test_add_func("/config/key", test_find_customer_by_key);
	g_test_add_func("/config/publish",
			test_published_position_never_decreases);
	return g_test_run();
}
