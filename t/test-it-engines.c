/*
 * Weights rollouts and engine orders with real processes: routers, engines,
 * weight store and object API. Where the configuration changes, the controller
 * service runs without a router.
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "process/controller_service.h"
#include "process/clock.h"
#include "process/hash.h"
#include "t/lib/rig.h"

enum {
	/** A rollout or a lease takeover, with a margin for a busy machine. */
	ROLLOUT_WAIT_MS = 40000,
};

/* Macros, as they are also passed as command-line arguments. */
#define LEASE_MS 2000
#define ORDER_MAX_MS 1500
#define LOAD_MS "300"
#define STRINGIFY_ARGUMENT(text) #text
#define STRINGIFY(number) STRINGIFY_ARGUMENT(number)
#define POOL_VERSION_2 "{\"model\":\"m1\",\"weights_version\":\"2\"}"

#define SLOTS_TAKEN                                        \
	"{\"loads\":[{\"pool\":\"other\",\"order_id\":1}," \
	"{\"pool\":\"other\",\"order_id\":2}]}"
#define SLOTS_FREE "{\"loads\":[]}"

typedef struct setup {
	int engines;
	int routers;
	bool check_fencing;
	bool proxies;
	const char *pool;	  /**< NULL: POOL_VERSION_2. */
	const char *load_ms;	  /**< NULL: LOAD_MS. */
	const char *order_max_ms; /**< NULL: ORDER_MAX_MS. */
} setup_t;

/** Starts engines with weights version 1 and routers with target version 2. */
static rig_t *start_rig(const setup_t *setup)
{
	rig_options_t options = {
		.engines = setup->engines,
		.routers = setup->routers,
		.engines_check_fencing = setup->check_fencing,
		.weights = true,
		.proxies = setup->proxies,
		.models_pool = setup->pool ? setup->pool : POOL_VERSION_2,
		.engine_args = { "--load-ms",
				 setup->load_ms ? setup->load_ms : LOAD_MS },
		.router_args = { "--lease-ms", STRINGIFY(LEASE_MS),
				 "--engine-order-max-ms",
				 setup->order_max_ms ? setup->order_max_ms
						     : STRINGIFY(ORDER_MAX_MS),
				 "--engine-state-ms", "100" },
	};

	return rig_start(&options);
}

/** Value from `/control/stats` of the weight store. */
static int64_t weight_store_stat(const rig_t *rig, const char *member)
{
	return http_local_number(rig->weights_port, "/control/stats", member);
}

static bool engine_has_version(const rig_t *rig, int engine,
			       const char *version)
{
	g_autoptr(http_answer_t) state = http_local(
		"GET", rig->engine_ports[engine], "/engine/state", NULL, NULL);

	return !g_strcmp0(
		json_string_value(json_object_get(state->json, "version")),
		version);
}

static int count_updated_engines(const rig_t *rig)
{
	int count = 0;

	for (int i = 0; i < rig->options.engines; i++)
		count += engine_has_version(rig, i, "2");
	return count;
}

static bool wait_until_all_updated(const rig_t *rig)
{
	return WAIT_UNTIL(count_updated_engines(rig) == rig->options.engines,
			  ROLLOUT_WAIT_MS);
}

/** Router that holds the lease of the pool, or -1. */
static int lease_holder(rig_t *rig, int routers)
{
	for (int i = 0; i < routers; i++) {
		if (program_is_running(rig->routers[i]) &&
		    rig_metric(rig, i, "amv_leases_held") == 1)
			return i;
	}
	return -1;
}

/* A rollout must have at most two loads from the weight store open at once and
 * must load each engine once. A load takes longer than the pause between
 * orders, so that without the limit more loads would overlap. */
static void test_rollout(void)
{
	g_autoptr(rig_t) rig = start_rig(&(setup_t){ .engines = 6,
						     .routers = 3,
						     .check_fencing = true,
						     .load_ms = "2000",
						     .order_max_ms = "6000" });

	g_assert_true(wait_until_all_updated(rig));
	g_assert_cmpint(weight_store_stat(rig, "open_max"), ==, 2);
	g_assert_cmpint(weight_store_stat(rig, "transfers"), ==, 6);
	g_assert_cmpint(rig_engine_sum(rig, "orders"), ==, 6);
}

/* With six engines and ready_min 5 only one load at a time is allowed, because
 * an engine does not serve while it loads. */
static void test_ready_min(void)
{
	g_autoptr(rig_t) rig = start_rig(&(setup_t){
		.engines = 6,
		.routers = 2,
		.check_fencing = true,
		.load_ms = "1000",
		.order_max_ms = "6000",
		.pool = "{\"model\":\"m1\",\"weights_version\":\"2\",\"ready_min\":5}" });

	g_assert_true(wait_until_all_updated(rig));
	g_assert_cmpint(weight_store_stat(rig, "open_max"), ==, 1);
	g_assert_cmpint(weight_store_stat(rig, "transfers"), ==, 6);
}

/* Loads that a killed lease holder left open must count against the limit of
 * concurrent loads. They take longer than the lease takeover. */
static void test_holder_killed(void)
{
	g_autoptr(rig_t) rig = start_rig(&(setup_t){ .engines = 6,
						     .routers = 3,
						     .check_fencing = true,
						     .load_ms = "3500",
						     .order_max_ms = "9000" });
	int killed;

	g_assert_true(WAIT_UNTIL(weight_store_stat(rig, "transfers") >= 2,
				 ROLLOUT_WAIT_MS));
	killed = lease_holder(rig, 3);
	g_assert_cmpint(killed, >=, 0);
	rig_kill_router(rig, killed);
	g_assert_cmpint(count_updated_engines(rig), <, 6);
	g_assert_true(wait_until_all_updated(rig));
	g_assert_cmpint(weight_store_stat(rig, "open_max"), ==, 2);
	g_assert_cmpint(weight_store_stat(rig, "transfers"), ==, 6);
}

static void put_object(const rig_t *rig, const char *key, const char *value)
{
	g_autofree char *path = g_strdup_printf("/objects/%s", key);
	g_autoptr(http_answer_t) old =
		http_local("GET", rig->store_port, path, NULL, NULL);
	g_autofree char *version = http_answer_header(old, "ETag");
	g_autofree char *condition =
		version ? g_strdup_printf("If-Match: %s", version)
			: g_strdup("If-None-Match: *");
	const char *const headers[] = { "Content-Type: application/json",
					condition, NULL };
	g_autoptr(http_answer_t) put =
		http_local("PUT", rig->store_port, path, headers, value);

	g_assert_cmpint(put->status / 100, ==, 2);
}

static bool store_has_object(const rig_t *rig, const char *key)
{
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/objects/%s",
					       rig->store_port, key);

	return url_answers(url);
}

static int64_t orders_sent(rig_t *rig, int router)
{
	return rig_metric(rig, router, "amv_engine_orders_sent_total");
}

/**
 * Stops the lease holder (SIGSTOP) while a proxy delays its order to the
 * engine, and starts the router that takes over.
 * @param delay_control control message that sets the proxy's `delay_ms`
 */
static rig_t *freeze_holder(bool check_fencing, const char *delay_control)
{
	rig_t *rig = start_rig(&(setup_t){ .engines = 1,
					   .routers = 0,
					   .check_fencing = check_fencing,
					   .proxies = true });
	uint16_t proxy = rig->engine_proxies[0].control;

	/*
	 * All load slots are taken until the proxy delays, so that the order
	 * cannot be sent earlier. The third read of the slots shows that a load
	 * is waiting: the first is put_object()'s, the second is made when the
	 * lease is acquired, and later ones for each planned load.
	 */
	put_object(rig, "slots/default", SLOTS_TAKEN);
	rig_start_router(rig, 0);
	g_assert_true(
		WAIT_UNTIL(http_local_number(rig->store_port, "/control/stats",
					     "calls GET slots/") >= 3,
			   ROLLOUT_WAIT_MS));
	g_assert_cmpint(orders_sent(rig, 0), ==, 0);
	standin_control(proxy, delay_control);
	put_object(rig, "slots/default", SLOTS_FREE);
	g_assert_true(WAIT_UNTIL(orders_sent(rig, 0) == 1, ROLLOUT_WAIT_MS));
	program_signal(rig->routers[0], SIGSTOP);
	standin_control(proxy, "{\"delay_ms\":0}");
	g_assert_cmpint(rig_engine_sum(rig, "orders"), ==, 0);
	rig_start_router(rig, 1);
	return rig;
}

/* An engine that checks fencing numbers must refuse the frozen holder's order
 * if it arrives after that of the next holder. */
static void test_frozen_holder_fencing(void)
{
	g_autoptr(rig_t) rig = freeze_holder(true, "{\"delay_ms\":15000}");

	g_assert_true(wait_until_all_updated(rig));
	g_assert_cmpint(rig_engine_sum(rig, "orders"), ==, 1);
	g_assert_true(WAIT_UNTIL(rig_engine_sum(rig, "orders") == 2,
				 ROLLOUT_WAIT_MS));
	g_assert_cmpint(rig_engine_sum(rig, "orders_done"), ==, 1);
	program_signal(rig->routers[0], SIGCONT);
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_leases_held") == 0,
				 ROLLOUT_WAIT_MS));
	g_assert_cmpint(orders_sent(rig, 0), ==, 1);
	g_assert_cmpint(orders_sent(rig, 1), ==, 1);
}

/**
 * Whether the pool status was written under this fencing number or a higher
 * one, and lists no open order.
 */
static bool has_no_open_order(const rig_t *rig, json_int_t fencing)
{
	g_autoptr(http_answer_t) status =
		http_local("GET", rig->store_port,
			   "/objects/status/pool/models", NULL, NULL);

	return json_integer_value(json_object_get(status->json, "fencing")) >=
		       fencing &&
	       json_array_size(json_object_get(status->json, "open")) == 0;
}

/* An engine that ignores fencing numbers must get no second order: the next
 * holder waits for the maximum order duration and then finds the order done. */
static void test_frozen_holder_no_fencing(void)
{
	g_autoptr(rig_t) rig = freeze_holder(false, "{\"delay_ms\":2800}");

	g_assert_true(wait_until_all_updated(rig));
	/* The next holder, with fencing number 2, has found the inherited
	 * order done. */
	g_assert_true(WAIT_UNTIL(has_no_open_order(rig, 2), ROLLOUT_WAIT_MS));
	program_signal(rig->routers[0], SIGCONT);
	g_assert_true(WAIT_UNTIL(rig_metric(rig, 0, "amv_leases_held") == 0,
				 ROLLOUT_WAIT_MS));
	g_assert_cmpint(rig_engine_sum(rig, "orders"), ==, 1);
	g_assert_cmpint(orders_sent(rig, 1), ==, 0);
}

/* An engine that restarts with old weights must be loaded again. */
static void test_engine_restarted(void)
{
	g_autoptr(rig_t) rig = start_rig(&(setup_t){
		.engines = 2, .routers = 1, .check_fencing = true });

	/* The lease holder must see the new version before the restart. */
	g_assert_true(wait_until_all_updated(rig));
	g_assert_true(
		WAIT_UNTIL(rig_metric(rig, 0, "amv_engines_in_service") == 2,
			   ROLLOUT_WAIT_MS));
	rig_kill_engine(rig, 1);
	g_assert_true(WAIT_UNTIL(
		rig_metric(rig, 0, "amv_engine_polls_failed_total") > 0,
		HARNESS_WAIT_MS));
	rig_restart_engine(rig, 1);
	g_assert_true(engine_has_version(rig, 1, "1"));
	g_assert_true(wait_until_all_updated(rig));
	g_assert_cmpint(weight_store_stat(rig, "transfers"), ==, 3);
}

static bool is_lease_released(const rig_t *rig)
{
	g_autoptr(http_answer_t) lease =
		http_local("GET", rig->store_port, "/objects/lease/pool/models",
			   NULL, NULL);

	return !g_strcmp0(
		json_string_value(json_object_get(lease->json, "holder")), "");
}

/* A planned stop must release the lease; otherwise the pool has no controller
 * until the lease expires. */
static void test_planned_stop(void)
{
	g_autoptr(rig_t) rig = start_rig(&(setup_t){
		.engines = 1, .routers = 1, .check_fencing = true });

	g_assert_true(wait_until_all_updated(rig));
	g_assert_cmpint(program_stop(rig->routers[0]), ==, 0);
	g_assert_true(is_lease_released(rig));
}

/* All instances must agree on which CONTROLLER_LEASE_CANDIDATES of them compete
 * for the lease of a pool, and the candidacies must spread over the instances:
 * none may be a candidate for more than 4 of the 15 pools. */
static void test_lease_candidates(void)
{
	enum { MEMBERS = 340, POOLS = 15 };
	uint64_t members[MEMBERS];
	uint32_t candidacies[MEMBERS] = { 0 };
	uint32_t max_candidacies = 0;

	for (uint64_t i = 0; i < MEMBERS; i++)
		members[i] = hash_rendezvous(i, 7);
	for (int p = 0; p < POOLS; p++) {
		g_autofree char *pool = g_strdup_printf("pool-%d", p);
		int count = 0;

		for (int i = 0; i < MEMBERS; i++) {
			bool is_candidate = controller_is_candidate(
				pool, members[i], members, MEMBERS);

			count += is_candidate;
			candidacies[i] += is_candidate;
			max_candidacies = MAX(max_candidacies, candidacies[i]);
		}
		g_assert_cmpint(count, ==, CONTROLLER_LEASE_CANDIDATES);
	}
	g_assert_cmpuint(max_candidacies, <=, 4);
}

static void append_audit_entry(void *context, const audit_entry_t *entry)
{
	g_string_append_printf(context, "%s %s>%s %s\n", entry->which,
			       entry->before, entry->after, entry->outcome);
}

/** Runs the service until the engine has the version and the order is done. */
static bool run_until_version(controller_service_t *service, const rig_t *rig,
			      const char *version, const GString *entries)
{
	uint64_t deadline_ms = clock_now_ms() + ROLLOUT_WAIT_MS;

	while (clock_now_ms() < deadline_ms) {
		controller_service_run(service, 10);
		if (engine_has_version(rig, 0, version) &&
		    g_str_has_suffix(entries->str, " done\n"))
			return true;
	}
	return false;
}

/* A pool that moves to another weight store must take load slots of the new
 * store, under a new fencing number. Each order must have its audit entries. */
static void test_weight_store_moved(void)
{
	g_autoptr(rig_t) rig =
		start_rig(&(setup_t){ .engines = 1,
				      .routers = 0,
				      .check_fencing = true,
				      .pool = "{\"model\":\"m1\"}" });
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u", rig->store_port);
	g_autoptr(GString) entries = g_string_new("");
	store_client_options_t store_options = { .url = url, .seed = 1 };
	controller_service_options_t options = {
		.instance = "c1",
		.lease_ms = LEASE_MS,
		.order_max_ms = ORDER_MAX_MS,
		.state_poll_ms = 100,
		.seed = 1,
		.audit = append_audit_entry,
		.audit_context = entries,
	};
	controller_service_engine_t engine = {
		.id = "e0",
		.address = { .address = "127.0.0.1",
			     .port = rig->engine_ports[0] },
		.checks_fencing = true,
	};
	controller_service_pool_t pool = {
		.id = "models",
		.weight_store = "w1",
		.desired = { .model = "m1", .version = "2" },
		.engines = &engine,
		.engine_count = 1,
	};
	controller_service_t *service = NULL;

	g_assert_cmpint(store_client_open(&store_options, &options.store), ==,
			0);
	g_assert_cmpint(controller_service_open(&options, &service), ==, 0);
	g_assert_cmpint(controller_service_configure(service, &pool, 1), ==, 0);
	g_assert_true(run_until_version(service, rig, "2", entries));
	g_assert_false(store_has_object(rig, "slots/w2"));
	pool.weight_store = "w2";
	memcpy(pool.desired.version, "3", 2);
	g_assert_cmpint(controller_service_configure(service, &pool, 1), ==, 0);
	g_assert_true(run_until_version(service, rig, "3", entries));
	g_assert_true(store_has_object(rig, "slots/w2"));
	g_assert_cmpint(http_local_number(rig->store_port,
					  "/objects/lease/pool/models",
					  "fencing"),
			==, 2);
	g_assert_cmpint(http_local_number(rig->engine_ports[0], "/engine/state",
					  "fencing"),
			==, 2);
	g_assert_nonnull(strstr(entries->str, "e0 1>2 issued\ne0 1>2 done\n"));
	g_assert_nonnull(strstr(entries->str, "e0 2>3 issued\ne0 2>3 done\n"));
	controller_service_stop(service);
	g_assert_true(is_lease_released(rig));
	controller_service_close(service);
	store_client_close(options.store);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/engines/candidates", test_lease_candidates);
	g_test_add_func("/engines/rollout", test_rollout);
	g_test_add_func("/engines/ready-min", test_ready_min);
	g_test_add_func("/engines/holder-killed", test_holder_killed);
	g_test_add_func("/engines/frozen-holder-fencing",
			test_frozen_holder_fencing);
	g_test_add_func("/engines/frozen-holder-no-fencing",
			test_frozen_holder_no_fencing);
	g_test_add_func("/engines/engine-restarted", test_engine_restarted);
	g_test_add_func("/engines/planned-stop", test_planned_stop);
	g_test_add_func("/engines/weight-store-moved", test_weight_store_moved);
	return g_test_run();
}
