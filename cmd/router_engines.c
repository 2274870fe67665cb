#include "cmd/router_engines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/uatomic.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/controller_service.h"
#include "process/error.h"
#include "process/event.h"

enum {
	/** Longest wait for engines; limits the delay of a lease renewal. */
	RUN_WAIT_MS = 20,
	/** Interval of passing on the list that the control thread reads. */
	MEMBERS_INTERVAL_MS = 1000,
};

/** State of the thread. */
typedef struct engines_thread {
	router_t *router;
	controller_service_t *service;
	bool has_position; /**< A configuration was passed to the service. */
	uint64_t position; /**< Position of that configuration. */
	uint64_t members_due_ms;
} engines_thread_t;

/** Pools of a configuration; `engines` holds the engines of all of them. */
typedef struct pool_list {
	controller_service_pool_t *pools;
	controller_service_engine_t *engines;
	size_t pool_count;
	size_t engine_count;
} pool_list_t;

static void add_engine(pool_list_t *list, const config_endpoint_t *endpoint)
{
	controller_service_engine_t *engine =
		&list->engines[list->engine_count++];

	engine->id = endpoint->id;
	engine->checks_fencing = endpoint->checks_fencing;
	engine->address.port = endpoint->port;
	engine->address.tls = endpoint->tls;
	snprintf(engine->address.address, sizeof(engine->address.address), "%s",
		 endpoint->address);
}

static void copy_id(char to[CONTROLLER_ID_MAX_BYTES], const char *from)
{
	snprintf(to, CONTROLLER_ID_MAX_BYTES, "%s", from);
}

static void add_pool(pool_list_t *list, const config_t *config,
		     const config_pool_t *from)
{
	controller_service_pool_t *pool = &list->pools[list->pool_count++];

	pool->id = from->id;
	pool->weight_store = from->weight_store;
	pool->ready_min = from->ready_min;
	copy_id(pool->desired.model, from->model);
	copy_id(pool->desired.version, from->weights_version);
	copy_id(pool->desired.adapter, from->adapter);
	copy_id(pool->desired.role, from->role);
	pool->engines = &list->engines[list->engine_count];
	for (size_t i = 0; i < from->endpoint_count; i++) {
		const config_endpoint_t *endpoint =
			&config->endpoints[from->endpoints[i]];

		/* A leaving engine does not need new weights. */
		if (endpoint->leaving)
			continue;
		add_engine(list, endpoint);
		pool->engine_count++;
	}
}

/** Adds the pools with a desired state: a model and a weights version. */
static void add_pools(pool_list_t *list, const config_t *config)
{
	for (size_t i = 0; i < config->pool_count; i++) {
		const config_pool_t *pool = &config->pools[i];

		if (*pool->model && *pool->weights_version)
			add_pool(list, config, pool);
	}
}

static int configure_pools(engines_thread_t *thread, const config_t *config)
{
	pool_list_t list = {
		.pools = calloc(config->pool_count + 1, sizeof(*list.pools)),
		.engines = calloc(config->endpoint_count + 1,
				  sizeof(*list.engines)),
	};
	int err = ERR_NO_MEMORY;

	if (list.pools && list.engines) {
		add_pools(&list, config);
		err = controller_service_configure(thread->service, list.pools,
						   list.pool_count);
	}
	free(list.pools);
	free(list.engines);
	return err;
}

static void apply_config(engines_thread_t *thread)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	int err;

	if (!config ||
	    (thread->has_position && config->position == thread->position))
		return;
	err = configure_pools(thread, config);
	if (err)
		event_log(EVENT_FLEET_LIMIT, "part=engines error=%s",
			  error_type(err));
	thread->has_position = true;
	thread->position = config->position;
}

static void set_listed_members(engines_thread_t *thread, const char **ids)
{
	const router_t *router = thread->router;
	size_t used = 0;

	for (size_t i = 0; i < router->instance_count; i++) {
		const store_instance_t *instance = &router->instances[i];

		if (instance->kind == STORE_INSTANCE_ROUTER &&
		    !instance->leaving)
			ids[used++] = instance->id;
	}
	/* With an empty list the last known members stay. */
	if (used)
		controller_service_set_members(thread->service, ids, used);
}

/** Passes the instance list to the service if that is due. */
static void update_members(engines_thread_t *thread, uint64_t now_ms)
{
	router_t *router = thread->router;
	const char **ids;

	if (now_ms < thread->members_due_ms)
		return;
	thread->members_due_ms = now_ms + MEMBERS_INTERVAL_MS;
	SCOPED_LOCK(guard, &router->instances_lock);
	ids = calloc(router->instance_count + 1, sizeof(*ids));
	if (ids)
		set_listed_members(thread, ids);
	free(ids);
}

static bool is_stopping(router_t *router)
{
	return uatomic_read(&router->stopping) ||
	       uatomic_read(&router->exiting);
}

void *router_engines_thread(void *context)
{
	router_t *router = context;
	engines_thread_t thread = { .router = router };
	controller_service_options_t options = {
		.instance = router->instance,
		.store = router->store,
		.endpoint_ca = router->settings.endpoint_ca,
		.lease_ms = router->settings.lease_ms,
		.order_max_ms = router->settings.engine_order_max_ms,
		.state_poll_ms = router->settings.engine_state_ms,
		.seed = rng_system_seed(),
		.audit = router_tickets_add_audit,
		.audit_context = router,
	};

	if (controller_service_open(&options, &thread.service)) {
		event_log(EVENT_START_FAILED, "part=engines error=%s",
			  error_type(ERR_NO_MEMORY));
		return NULL;
	}
	while (!is_stopping(router)) {
		update_members(&thread, clock_now_ms());
		apply_config(&thread);
		controller_service_run(thread.service, RUN_WAIT_MS);
	}
	controller_service_stop(thread.service);
	controller_service_close(thread.service);
	return NULL;
}
