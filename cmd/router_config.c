/*
 * Loads the bootstrap file and applies configurations to the fleet.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"

int router_load_bootstrap(const char *path, bool publish)
{
	config_problem_t problem = { 0 };
	config_t *config = NULL;
	json_error_t error;
	CLEANUP_JSON json_t *objects =
		json_load_file(path, JSON_REJECT_DUPLICATES, &error);
	json_t *wrapped;
	int err;

	if (!json_is_object(objects)) {
		event_log(EVENT_BOOTSTRAP_INVALID,
			  "file=%s line=%d problem=\"%s\"", path, error.line,
			  objects ? "not a JSON object" : error.text);
		return ERR_BAD_JSON;
	}
	wrapped = json_object_get(objects, "objects");
	err = config_build(0, wrapped ? wrapped : objects, &config, &problem);
	if (err) {
		event_log(EVENT_BOOTSTRAP_INVALID,
			  "file=%s object=%s field=%s problem=\"%s\"", path,
			  problem.object, problem.field, problem.text);
		return err;
	}
	if (!publish) {
		config_release(config);
		return 0;
	}
	config_publish(config);
	metrics_set(METRIC_START_BOOTSTRAP, 1);
	return 0;
}

static uint32_t pool_prefill_rate(const config_t *config,
				  const config_pool_t *pool)
{
	int32_t model = config_find_model(config, pool->model);

	return model == CONFIG_NONE
		       ? 0
		       : config->models[model].prefill_tokens_per_s;
}

static void fill_endpoint(const config_endpoint_t *endpoint,
			  fleet_endpoint_config_t *fleet_endpoint)
{
	*fleet_endpoint = (fleet_endpoint_config_t){
		.id = endpoint->id,
		.id_hash = endpoint->id_hash,
		.address = endpoint->address,
		.port = endpoint->port,
		.tls = endpoint->tls,
		.leaving = endpoint->leaving,
	};
}

static void fill_pool(const config_t *config, const config_pool_t *pool,
		      fleet_endpoint_config_t *endpoints,
		      fleet_pool_config_t *fleet_pool)
{
	for (size_t i = 0; i < pool->endpoint_count; i++)
		fill_endpoint(&config->endpoints[pool->endpoints[i]],
			      &endpoints[i]);
	*fleet_pool = (fleet_pool_config_t){
		.id = pool->id,
		.engines = *pool->model != '\0',
		.prefill_tokens_per_s = pool_prefill_rate(config, pool),
		.streams_max = config->limits.endpoint_streams_max *
			       (uint32_t)pool->endpoint_count,
		.endpoints = endpoints,
		.endpoint_count = pool->endpoint_count,
	};
}

static int fill_and_configure_fleet(router_t *router, const config_t *config,
				    fleet_pool_config_t *pools,
				    fleet_endpoint_config_t *endpoints)
{
	size_t used = 0;

	for (size_t i = 0; i < config->pool_count; i++) {
		fill_pool(config, &config->pools[i], endpoints + used,
			  &pools[i]);
		used += config->pools[i].endpoint_count;
	}
	return fleet_configure(router->fleet, pools, config->pool_count,
			       config->limits.queue_max,
			       config->limits.retry_budget_percent,
			       clock_now_ms());
}

static int configure_fleet(router_t *router, const config_t *config)
{
	fleet_pool_config_t *pools =
		calloc(config->pool_count + 1, sizeof(*pools));
	fleet_endpoint_config_t *endpoints =
		calloc(config->endpoint_count + 1, sizeof(*endpoints));
	int err = ERR_NO_MEMORY;

	if (pools && endpoints)
		err = fill_and_configure_fleet(router, config, pools,
					       endpoints);
	free(pools);
	free(endpoints);
	return err;
}

static void log_ready(router_t *router, const config_t *config)
{
	uint64_t start_ms = clock_now_ms() - router->started_ms;

	metrics_set(METRIC_START_MS, (int64_t)start_ms);
	event_log(EVENT_READY, "position=%llu start_ms=%llu store_calls=%lld",
		  (unsigned long long)config->position,
		  (unsigned long long)start_ms,
		  (long long)metrics_get(METRIC_START_STORE_CALLS));
}

void router_apply_config(router_t *router)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	bool first = !uatomic_read(&router->config_applied);
	int err;

	if (!config || (!first && config->position == router->applied_position))
		return;
	err = configure_fleet(router, config);
	if (err)
		event_log(EVENT_FLEET_LIMIT, "error=%s", error_type(err));
	router->applied_position = config->position;
	uatomic_set(&router->applied_at_ms, clock_now_ms());
	cmm_smp_mb();
	uatomic_set(&router->config_applied, true);
	crash_guard_set_block(router->crash_guard,
			      config->limits.quarantine_ms);
	router_members_set_config(router);
	if (first)
		log_ready(router, config);
}
