/*
 * The router daemon: settings, start and planned stop.
 */
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "cmd/router_engines.h"
#include "cmd/router_events.h"
#include "cmd/router_sweep.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/settings.h"

enum {
	/** Threads beyond the stream limit, so that health probes are answered.
	 */
	SPARE_THREADS = 8,
	/** Interval at which a stop checks for open requests. */
	WAIT_STEP_MS = 10,
	/** Time to send errors for requests cancelled at the stop limit. */
	CANCEL_WAIT_MS = 2000,
	SECRET_MIN_BYTES = 16,
	SECRET_MAX_BYTES = 512,
	/** Used until a configuration is in force. */
	DEFAULT_QUARANTINE_MS = 600000,
};

static const char *const log_levels[] = { "debug", "info", "warn", "error",
					  NULL };
/* In the order of routing_policy_t. */
static const char *const policies[] = { "prefix",      "random",
					"round_robin", "least_loaded",
					"prompt_hash", "first_level_hash",
					NULL };

static router_t router;

#define NUMBER(flag_name, member, help, default_text, lowest, highest)        \
	{                                                                     \
		.flag = (flag_name), .type = SETTING_NUMBER,                  \
		.value = &router.settings.member, .text = (help),             \
		.fallback = (default_text), .min = (lowest), .max = (highest) \
	}
#define TEXT(flag_name, member, help, default_text)               \
	{                                                         \
		.flag = (flag_name), .type = SETTING_TEXT,        \
		.value = &router.settings.member, .text = (help), \
		.fallback = (default_text)                        \
	}

static const setting_t setting_table[] = {
	TEXT("instance", instance, "unique name; default router-<port>", NULL),
	TEXT("address", address, "IP address to listen on", "127.0.0.1"),
	NUMBER("port", port, "port for clients; 0 picks one and prints it",
	       "8080", 0, 65535),
	NUMBER("streams-max", streams_max,
	       "maximum number of requests in progress", "320", 1, 4096),
	NUMBER("thread-stack-kib", thread_stack_kib,
	       "stack of a request thread, KiB", "256", 128, 8192),
	NUMBER("header-max-bytes", header_max_bytes,
	       "request line and headers, bytes", "16384", 2048, 262144),
	NUMBER("caller-timeout-ms", client_timeout_ms,
	       "timeout for reading a request or sending a chunk, ms", "10000",
	       100, 600000),
	NUMBER("connect-timeout-ms", connect_timeout_ms,
	       "timeout for connecting to an endpoint, ms", "1000", 10, 60000),
	NUMBER("first-byte-timeout-ms", first_byte_timeout_ms,
	       "timeout for the first byte of an engine's answer, ms", "30000",
	       100, 3600000),
	NUMBER("idle-timeout-ms", idle_timeout_ms,
	       "timeout between bytes of an engine's answer, ms", "30000", 100,
	       3600000),
	NUMBER("poll-ms", poll_ms, "load poll interval of an engine in use, ms",
	       "500", 50, 60000),
	NUMBER("poll-idle-ms", poll_idle_ms,
	       "load poll interval of other engines, ms", "5000", 50, 600000),
	NUMBER("events-bytes-per-s", events_bytes_per_s,
	       "traffic limit for reading cache events, bytes/s; 0 reads none",
	       "0", 0, 8192),
	NUMBER("order-retention-ms", order_retention_ms,
	       "age at which an order record is removed, ms", "86400000", 1000,
	       4000000000.0),
	NUMBER("order-sweep-ms", order_sweep_ms,
	       "interval between removals of old order records, ms", "600000",
	       100, 86400000),
	NUMBER("polls-per-s", polls_per_s,
	       "maximum load polls per second, about 335 bytes each", "8", 1,
	       10000),
	NUMBER("stop-limit-ms", stop_limit_ms,
	       "time limit of a planned stop, ms", "120000", 0, 3600000),
	NUMBER("drain-ms", drain_ms,
	       "time to keep listening after a stop began, ms", "200", 0,
	       60000),
	NUMBER("lease-ms", lease_ms,
	       "lease duration of pool controllers, same on all instances, ms",
	       "15000", 300, 600000),
	NUMBER("engine-order-max-ms", engine_order_max_ms,
	       "time limit of an engine order, same on all instances, ms",
	       "30000", 100, 3600000),
	NUMBER("engine-state-ms", engine_state_ms,
	       "minimum poll interval of an engine's state, ms", "1000", 50,
	       600000),
	TEXT("seed", seed, "seed of random choices; default random", NULL),
	TEXT("store-url", store_url,
	     "URL of the store's object API, http://address:port", NULL),
	TEXT("bootstrap", bootstrap,
	     "JSON file with all configuration objects, read at start", NULL),
	TEXT("cluster", cluster, "name of the cluster", "amaranthvale"),
	TEXT("domain", domain, "failure domain of this instance", "local"),
	TEXT("peer-address", peer_address,
	     "IP address to listen on for other instances", "127.0.0.1"),
	NUMBER("peer-port", peer_port,
	       "port for other instances; 0 picks one and prints it", "0", 0,
	       65535),
	TEXT("peer-advertise", peer_advertise,
	     "address:port that others connect to; default the one listened on",
	     NULL),
	TEXT("peers", peers, "instances to join, address:port,...", ""),
	NUMBER("instances-ms", instances_ms,
	       "interval between reads of the instance list, ms", "30000", 100,
	       3600000),
	TEXT("tls-certificate", tls_certificate,
	     "PEM file with certificate and key; clients then use TLS", NULL),
	TEXT("endpoint-ca", endpoint_ca,
	     "PEM file with the CA certificates for TLS endpoints", NULL),
	{ .flag = "log-level",
	  .type = SETTING_CHOICE,
	  .value = &router.settings.log_level,
	  .text = "lowest level that is logged",
	  .fallback = "info",
	  .choices = log_levels },
	{ .flag = "policy",
	  .type = SETTING_CHOICE,
	  .value = &router.settings.policy,
	  .text = "placement policy; all except prefix are for comparison",
	  .fallback = "prefix",
	  .choices = policies },
	{ .flag = "cluster-key",
	  .type = SETTING_TEXT,
	  .value = &router.settings.cluster_key,
	  .text = "secret shared by all instances",
	  .min = SECRET_MIN_BYTES,
	  .max = SECRET_MAX_BYTES,
	  .required = true,
	  .secret = true },
	{ .flag = "operator-key",
	  .type = SETTING_TEXT,
	  .value = &router.settings.operator_key,
	  .text = "operator key; without it /admin/ is refused",
	  .min = SECRET_MIN_BYTES,
	  .max = SECRET_MAX_BYTES,
	  .secret = true },
	{ 0 },
};

static int report_start_failure(const char *part, int err)
{
	event_log(EVENT_START_FAILED, "part=%s error=%s", part,
		  error_type(err));
	return EXIT_FAILURE;
}

static claim_watch_t claims = CLAIM_WATCH_INIT;

static uint64_t choose_seed(void)
{
	return router.settings.seed ? hash_string(router.settings.seed)
				    : rng_system_seed();
}

static int open_store(uint64_t seed)
{
	store_client_options_t options = {
		.url = router.settings.store_url,
		.seed = seed,
		.budget.startup_calls = STORE_BUDGET_STARTUP_CALLS,
	};

	return options.url ? store_client_open(&options, &router.store) : 0;
}

static uint64_t quarantine_ms(void)
{
	CLEANUP_CONFIG config_t *config = config_acquire();

	return config ? config->limits.quarantine_ms : DEFAULT_QUARANTINE_MS;
}

static int open_state(void)
{
	const router_settings_t *settings = &router.settings;
	relay_settings_t relay = {
		.instance = router.instance,
		.cluster_key = settings->cluster_key,
		.connect_timeout_ms = settings->connect_timeout_ms,
		.first_byte_timeout_ms = settings->first_byte_timeout_ms,
		.idle_timeout_ms = settings->idle_timeout_ms,
	};
	uint64_t seed = choose_seed();

	router.seed = seed;
	pthread_rwlock_init(&router.service_lock, NULL);
	pthread_mutex_init(&router.instances_lock, NULL);

	if (settings->instance)
		snprintf(router.instance, sizeof(router.instance), "%s",
			 settings->instance);
	else
		snprintf(router.instance, sizeof(router.instance), "router-%u",
			 settings->port);
	router.fleet = fleet_new((routing_policy_t)settings->policy, seed);
	router.pool = upstream_pool_new(settings->endpoint_ca);
	if (!router.fleet || !router.pool || open_store(seed) ||
	    crash_guard_open(quarantine_ms(), seed, &router.crash_guard))
		return ERR_NO_MEMORY;
	relay_init(&router.relay, &relay, router.fleet, router.pool,
		   router.crash_guard);
	router.plain_proxy = (plain_proxy_t){
		.claims = &claims,
		.settings = { .instance = router.instance,
			      .connect_timeout_ms =
				      settings->connect_timeout_ms },
		.fleet = router.fleet,
		.pool = router.pool,
		.store = router.store,
		.backlog = order_backlog_start(plain_retry_order),
	};
	return router.plain_proxy.backlog ? 0 : ERR_NO_MEMORY;
}

static int open_server(void)
{
	const router_settings_t *settings = &router.settings;
	server_settings_t server = {
		.address = settings->address,
		.port = settings->port,
		.thread_count = settings->streams_max + SPARE_THREADS,
		.thread_stack_bytes = settings->thread_stack_kib * 1024,
		.client_timeout_ms = settings->client_timeout_ms,
		.header_max_bytes = settings->header_max_bytes,
		.body_max_bytes = router_body_max,
		.tls_certificate = settings->tls_certificate,
		.handle = router_handle,
		.context = &router,
	};

	router.server = server_start(&server);
	if (!router.server)
		return ERR_SETTING;
	printf("port=%u\n", server_port(router.server));
	fflush(stdout);
	return 0;
}

/** Waits until no request is open. @return false after `limit_ms` */
static bool wait_for_requests(uint32_t limit_ms)
{
	uint64_t deadline_ms = clock_now_ms() + limit_ms;

	while (uatomic_read(&router.open_requests)) {
		if (clock_now_ms() >= deadline_ms)
			return false;
		clock_sleep_ms(WAIT_STEP_MS);
	}
	return true;
}

/** Waits for open requests; cancels those left at the stop limit. */
static void stop_requests(void)
{
	uatomic_set(&router.stopping, true);
	event_log(EVENT_STOPPING, "open=%lu",
		  uatomic_read(&router.open_requests));
	clock_sleep_ms(router.settings.drain_ms);
	if (wait_for_requests(router.settings.stop_limit_ms))
		return;
	event_log(EVENT_STOP_LIMIT, "open=%lu",
		  uatomic_read(&router.open_requests));
	relay_cancel_all(&router.relay, ERR_STOPPING);
	wait_for_requests(CANCEL_WAIT_MS);
}

static void close_state(void)
{
	order_backlog_stop(router.plain_proxy.backlog);
	relay_destroy(&router.relay);
	/* Gossip first: it asks the others to take over, and its hooks use
	 * what is freed below. */
	router_members_close(&router);
	crash_guard_close(router.crash_guard);
	upstream_pool_free(router.pool);
	store_client_close(router.store);
	fleet_free(router.fleet);
	curl_global_cleanup();
}

static int run(const sigset_t *signals)
{
	pthread_t poller;
	pthread_t timer;
	pthread_t events = 0;
	pthread_t sweeper = 0;
	pthread_t engines;
	bool has_engines = false;
	pthread_t control;
	int number;
	int err = 0;

	if (router.settings.bootstrap)
		err = router_load_bootstrap(router.settings.bootstrap,
					    !router.settings.store_url);
	if (err)
		return report_start_failure("bootstrap", err);
	err = open_state();
	if (err)
		return report_start_failure("state", err);
	err = router_members_open(&router);
	if (err)
		return report_start_failure("peers", err);
	router_apply_config(&router);
	err = open_server();
	if (err)
		return report_start_failure("server", err);
	pthread_create(&poller, NULL, router_poll_thread, &router);
	pthread_create(&timer, NULL, router_timer_thread, &router);
	if (router.settings.events_bytes_per_s)
		pthread_create(&events, NULL, router_events_thread, &router);
	if (router.store)
		pthread_create(&sweeper, NULL, router_sweep_thread, &router);
	if (router.store)
		has_engines = !pthread_create(&engines, NULL,
					      router_engines_thread, &router);
	pthread_create(&control, NULL, router_control_thread, &router);
	sigwait(signals, &number);
	stop_requests();
	server_stop(router.server);
	uatomic_set(&router.exiting, true);
	pthread_join(poller, NULL);
	pthread_join(timer, NULL);
	if (router.settings.events_bytes_per_s)
		pthread_join(events, NULL);
	if (router.store)
		pthread_join(sweeper, NULL);
	if (has_engines)
		pthread_join(engines, NULL);
	pthread_join(control, NULL);
	router_tickets_close(&router);
	close_state();
	event_log(EVENT_STOPPED, NULL);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	sigset_t signals;
	int result;

	router.started_ms = clock_now_ms();
	result = settings_read(argc, (const char **)argv, setting_table,
			       "[options]", NULL);

	if (result == SETTINGS_EXIT)
		return EXIT_SUCCESS;
	if (result < 0 || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) ||
	    event_open("amaranthvale-router",
		       (event_level_t)router.settings.log_level))
		return EXIT_FAILURE;
	/* Blocked in all threads; run() receives them with sigwait(). */
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	event_log(EVENT_STARTED, "version=%s", AMV_VERSION);
	return run(&signals);
}
