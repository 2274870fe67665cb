#include "process/controller_service.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/controller_store.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/lease.h"
#include "process/metrics.h"
#include "process/rng.h"

enum {
	/** Time limit for releasing the leases when the service stops. */
	RELEASE_TIMEOUT_MS = 2000,
	RELEASE_RETRY_MS = 10,
	/** A report remains valid for this many polling rounds. */
	REPORT_MAX_AGE_ROUNDS = 3,
};

typedef struct pool_engine {
	char id[CONTROLLER_ID_MAX_BYTES];
	engine_address_t address;
	bool checks_fencing;
	uint64_t polled_ms; /**< 0: poll as soon as possible. */
	/** Version loaded when the last order was issued, for the audit. */
	char previous_version[CONTROLLER_ID_MAX_BYTES];
} pool_engine_t;

typedef struct pool {
	char id[CONTROLLER_ID_MAX_BYTES];
	char weight_store[CONTROLLER_ID_MAX_BYTES];
	controller_engine_config_t desired;
	uint32_t ready_min;
	pool_engine_t *engines;
	size_t engine_count;
	bool removed;	/**< No longer configured. */
	bool competing; /**< For the lease, or holding it. */
	lease_t lease;
	uint64_t lease_timer_ms; /**< When the lease's timer ends; 0: none. */
	uint32_t lease_timer_call_id; /**< Call id of that timer. */
	controller_settings_t settings;
	controller_t *controller; /**< NULL unless the lease is held. */
} pool_t;

struct controller_service {
	controller_service_options_t options;
	uint64_t self_hash;
	uint64_t nonce;
	rng_t rng;
	engine_client_t *engines;
	pool_t *pools[CONTROLLER_POOLS_MAX];
	size_t pool_count;
	uint64_t member_hashes[CONTROLLER_INSTANCES_MAX];
	size_t member_count;
	uint64_t next_poll_ms;
	bool stopping;
};

static pool_t *find_pool(const controller_service_t *service, const char *id)
{
	for (size_t i = 0; i < service->pool_count; i++) {
		if (!strcmp(service->pools[i]->id, id))
			return service->pools[i];
	}
	return NULL;
}

static pool_engine_t *find_engine(const pool_t *pool, const char *id)
{
	for (size_t i = 0; i < pool->engine_count; i++) {
		if (!strcmp(pool->engines[i].id, id))
			return &pool->engines[i];
	}
	return NULL;
}

/* Controllers. */

static const char *loaded_version(const pool_t *pool, const char *engine)
{
	const controller_t *controller = pool->controller;

	for (size_t i = 0; controller && i < controller->engine_count; i++) {
		if (!strcmp(controller->engines[i].id, engine))
			return controller->engines[i].state.loaded.version;
	}
	return "";
}

static void audit_order(const controller_service_t *service, const pool_t *pool,
			const controller_order_t *order, const char *outcome)
{
	const pool_engine_t *engine =
		pool ? find_engine(pool, order->engine) : NULL;
	audit_entry_t entry = {
		.at_unix_ms = clock_unix_ms(),
		.who = service->options.instance,
		.what = "engine_order",
		.which = order->engine,
		.before = engine ? engine->previous_version : "",
		.after = order->target.version,
		.outcome = outcome,
	};

	if (service->options.audit)
		service->options.audit(service->options.audit_context, &entry);
}

/** @return false if the order could not be sent */
static bool issue_order(controller_service_t *service, const pool_t *pool,
			const controller_action_t *action)
{
	const controller_order_t *order = &action->issue.order;
	pool_engine_t *engine = find_engine(pool, order->engine);
	engine_name_t name = { 0 };

	if (!engine)
		return false;
	snprintf(name.pool, sizeof(name.pool), "%s", pool->id);
	snprintf(name.engine, sizeof(name.engine), "%s", order->engine);
	event_log(EVENT_ENGINE_ORDER,
		  "pool=%s engine=%s order=%" PRIu64 " version=%s "
		  "fencing=%" PRIu64,
		  pool->id, order->engine, order->id, order->target.version,
		  action->issue.fencing);
	snprintf(engine->previous_version, sizeof(engine->previous_version),
		 "%s", loaded_version(pool, order->engine));
	audit_order(service, pool, order, "issued");
	return engine_client_send_order(
		service->engines, &name, &engine->address, order,
		action->issue.fencing, service->options.order_max_ms);
}

/** Handles an event and performs the actions until none is a store call. */
static void step_controller(controller_service_t *service, pool_t *pool,
			    controller_event_t event)
{
	controller_status_t status;
	controller_slots_t slots;
	controller_actions_t actions;
	controller_actions_t unsent;
	bool has_event = true;

	while (has_event && pool->controller) {
		controller_step(pool->controller, &event, clock_boot_ms(),
				&actions);
		has_event = false;
		unsent.count = 0;
		for (size_t i = 0; i < actions.count; i++) {
			const controller_action_t *action = &actions.items[i];

			switch (action->kind) {
			case CONTROLLER_ACTION_READ_STATUS:
			case CONTROLLER_ACTION_WRITE_STATUS:
				event = controller_store_status(
					service->options.store, pool->id,
					action, &status);
				has_event = true;
				break;
			case CONTROLLER_ACTION_READ_SLOTS:
			case CONTROLLER_ACTION_WRITE_SLOTS:
				event = controller_store_slots(
					service->options.store,
					pool->weight_store, action, &slots);
				has_event = true;
				break;
			case CONTROLLER_ACTION_ISSUE:
				if (!issue_order(service, pool, action))
					unsent.items[unsent.count++] = *action;
				break;
			}
		}
		/* Resolve unsent orders now, so that they free their slots. */
		for (size_t i = 0; i < unsent.count; i++) {
			controller_event_t result = {
				.kind = CONTROLLER_EVENT_RESULT,
				.result = { .order_id = unsent.items[i]
								.issue.order.id,
					    .engine =
						    unsent.items[i]
							    .issue.order.engine,
					    .result =
						    CONTROLLER_RESULT_REFUSED },
			};

			step_controller(service, pool, result);
		}
	}
}

/** Time in which each engine of a pool is polled once. */
static uint32_t poll_round_ms(const controller_service_t *service,
			      const pool_t *pool)
{
	uint32_t needed_ms =
		(uint32_t)(pool->engine_count * 1000 / CONTROLLER_POLLS_PER_S);

	return needed_ms > service->options.state_poll_ms
		       ? needed_ms
		       : service->options.state_poll_ms;
}

static void configure_controller(const controller_service_t *service,
				 pool_t *pool)
{
	controller_engine_spec_t *specs =
		calloc(pool->engine_count + 1, sizeof(*specs));
	uint32_t min_report_age_ms =
		REPORT_MAX_AGE_ROUNDS * poll_round_ms(service, pool);

	if (!specs)
		return;
	for (size_t i = 0; i < pool->engine_count; i++) {
		specs[i].id = pool->engines[i].id;
		specs[i].checks_fencing = pool->engines[i].checks_fencing;
	}
	pool->settings = controller_default_settings;
	pool->settings.order_max_ms = service->options.order_max_ms;
	if (pool->settings.report_max_age_ms < min_report_age_ms)
		pool->settings.report_max_age_ms = min_report_age_ms;
	if (controller_configure(pool->controller, &pool->desired,
				 pool->ready_min, specs, pool->engine_count))
		event_log(EVENT_FLEET_LIMIT, "pool=%s engines=%zu", pool->id,
			  pool->engine_count);
	free(specs);
}

static void start_controller(const controller_service_t *service, pool_t *pool)
{
	pool->controller = calloc(1, sizeof(*pool->controller));
	if (!pool->controller)
		return;
	controller_init(pool->controller, pool->id, &pool->settings);
	configure_controller(service, pool);
	for (size_t i = 0; i < pool->engine_count; i++)
		pool->engines[i].polled_ms = 0;
}

static void stop_controller(pool_t *pool)
{
	free(pool->controller);
	pool->controller = NULL;
}

/* Leases. */

static void on_lease_acquired(const controller_service_t *service, pool_t *pool,
			      uint64_t fencing)
{
	event_log(EVENT_LEASE_ACQUIRED, "pool=%s fencing=%" PRIu64, pool->id,
		  fencing);
	metrics_add(METRIC_LEASES_ACQUIRED, 1);
	metrics_add(METRIC_LEASES_HELD, 1);
	start_controller(service, pool);
}

static void on_lease_lost(pool_t *pool)
{
	bool released = pool->lease.phase == LEASE_PHASE_RELEASING;

	event_log(released ? EVENT_LEASE_RELEASED : EVENT_LEASE_LOST,
		  "pool=%s fencing=%" PRIu64, pool->id,
		  pool->lease.record.fencing);
	metrics_add(released ? METRIC_LEASES_RELEASED : METRIC_LEASES_LOST, 1);
	metrics_add(METRIC_LEASES_HELD, -1);
	stop_controller(pool);
}

/** Performs one action. @return whether it produced an event */
static bool perform_lease_action(const controller_service_t *service,
				 pool_t *pool, const lease_action_t *action,
				 lease_record_t *record, lease_event_t *event)
{
	switch (action->kind) {
	case LEASE_ACTION_READ:
	case LEASE_ACTION_WRITE:
		*event = controller_store_lease(service->options.store,
						pool->id, action, record);
		return true;
	case LEASE_ACTION_WAIT:
		pool->lease_timer_ms = action->wait_until_ms;
		pool->lease_timer_call_id = action->call_id;
		return false;
	case LEASE_ACTION_ACQUIRED:
		on_lease_acquired(service, pool, action->fencing);
		return false;
	case LEASE_ACTION_LOST:
		on_lease_lost(pool);
		return false;
	case LEASE_ACTION_STOPPED:
		pool->competing = false;
		pool->lease_timer_ms = 0;
		return false;
	}
	return false;
}

static void perform_lease_actions(controller_service_t *service, pool_t *pool,
				  lease_actions_t *actions)
{
	bool has_event = true;

	while (has_event) {
		lease_actions_t current = *actions;
		lease_record_t record;
		lease_event_t event;

		has_event = false;
		for (size_t i = 0; i < current.count; i++)
			has_event |= perform_lease_action(service, pool,
							  &current.items[i],
							  &record, &event);
		if (has_event)
			lease_step(&pool->lease, &event, clock_boot_ms(),
				   actions);
	}
	if (pool->controller) {
		controller_event_t lease = {
			.kind = CONTROLLER_EVENT_LEASE,
			.lease = { .fencing = pool->lease.record.fencing,
				   .valid_until_ms =
					   pool->lease.valid_until_ms },
		};

		step_controller(service, pool, lease);
	}
}

static void step_lease(controller_service_t *service, pool_t *pool,
		       const lease_event_t *event)
{
	lease_actions_t actions;

	pool->lease_timer_ms = 0;
	lease_step(&pool->lease, event, clock_boot_ms(), &actions);
	perform_lease_actions(service, pool, &actions);
}

static void release_lease(controller_service_t *service, pool_t *pool)
{
	lease_event_t event = { .kind = LEASE_EVENT_RELEASE };

	if (pool->competing && pool->lease.phase != LEASE_PHASE_RELEASING)
		step_lease(service, pool, &event);
}

bool controller_is_candidate(const char *pool, uint64_t self,
			     const uint64_t *members, size_t count)
{
	uint64_t key = hash_string(pool);
	uint64_t own_score = hash_rendezvous(key, self);
	size_t ranked_higher = 0;

	for (size_t i = 0; i < count; i++)
		ranked_higher += hash_rendezvous(key, members[i]) > own_score;
	return ranked_higher < CONTROLLER_LEASE_CANDIDATES;
}

static void start_competing(controller_service_t *service, pool_t *pool)
{
	lease_actions_t actions;

	pool->competing = true;
	lease_begin(&pool->lease, service->options.instance, service->nonce,
		    service->options.lease_ms, &service->rng, &actions);
	perform_lease_actions(service, pool, &actions);
}

/** Starts or stops competing for the lease, and runs its expired timer. */
static void update_lease(controller_service_t *service, pool_t *pool)
{
	lease_event_t timer = { .kind = LEASE_EVENT_TIMER,
				.call_id = pool->lease_timer_call_id };
	bool candidate = !pool->removed && !service->stopping &&
			 controller_is_candidate(pool->id, service->self_hash,
						 service->member_hashes,
						 service->member_count);

	if (!pool->competing && candidate) {
		start_competing(service, pool);
		return;
	}
	if (pool->competing && !candidate &&
	    (pool->lease.phase == LEASE_PHASE_WATCHING ||
	     pool->lease.phase == LEASE_PHASE_READING)) {
		pool->competing = false;
		return;
	}
	if (pool->competing && pool->lease_timer_ms &&
	    clock_boot_ms() >= pool->lease_timer_ms)
		step_lease(service, pool, &timer);
}

/* Engines. */

/** Polls the engine that is due and was polled longest ago. */
static void poll_next_engine(controller_service_t *service, uint64_t now_ms)
{
	pool_t *chosen = NULL;
	pool_engine_t *engine = NULL;
	engine_name_t name = { 0 };

	for (size_t p = 0; p < service->pool_count; p++) {
		pool_t *pool = service->pools[p];
		uint32_t interval_ms = poll_round_ms(service, pool);

		for (size_t i = 0; pool->controller && i < pool->engine_count;
		     i++) {
			pool_engine_t *other = &pool->engines[i];

			if (now_ms - other->polled_ms < interval_ms ||
			    (engine && other->polled_ms >= engine->polled_ms))
				continue;
			chosen = pool;
			engine = other;
		}
	}
	if (!engine)
		return;
	snprintf(name.pool, sizeof(name.pool), "%s", chosen->id);
	snprintf(name.engine, sizeof(name.engine), "%s", engine->id);
	if (!engine_client_request_state(service->engines, &name,
					 &engine->address))
		return;
	engine->polled_ms = now_ms;
	service->next_poll_ms = now_ms + 1000 / CONTROLLER_POLLS_PER_S;
}

static bool may_send(void *context, const engine_name_t *name, uint64_t fencing)
{
	const controller_service_t *service = context;
	const pool_t *pool = find_pool(service, name->pool);

	if (!pool || !pool->controller ||
	    lease_fencing(&pool->lease, clock_boot_ms()) != fencing)
		return false;
	metrics_add(METRIC_ENGINE_ORDERS_SENT, 1);
	return true;
}

static void on_engine_state(void *context, const engine_name_t *name,
			    uint64_t polled_ms,
			    const controller_engine_state_t *state)
{
	controller_service_t *service = context;
	pool_t *pool = find_pool(service, name->pool);
	controller_event_t event = {
		.kind = CONTROLLER_EVENT_REPORT,
		.report = { .engine = name->engine,
			    .polled_ms = polled_ms,
			    .state = *state },
	};

	if (!pool || !pool->controller)
		return;
	/* A pool with no desired role does not change its engines' roles. */
	if (!pool->desired.role[0])
		event.report.state.loaded.role[0] = '\0';
	step_controller(service, pool, event);
}

static void on_order_result(void *context, const engine_name_t *name,
			    const controller_order_t *order,
			    controller_order_result_t result)
{
	static const struct {
		const char *outcome;
		metric_t metric;
	} outcomes[] = {
		[CONTROLLER_RESULT_DONE] = { "done",
					     METRIC_ENGINE_ORDERS_DONE },
		[CONTROLLER_RESULT_REFUSED] = { "refused",
						METRIC_ENGINE_ORDERS_REFUSED },
		[CONTROLLER_RESULT_UNKNOWN] = { "unknown",
						METRIC_ENGINE_ORDERS_UNKNOWN },
	};
	controller_service_t *service = context;
	pool_t *pool = find_pool(service, name->pool);
	pool_engine_t *engine = pool ? find_engine(pool, name->engine) : NULL;
	controller_event_t event = {
		.kind = CONTROLLER_EVENT_RESULT,
		.result = { .order_id = order->id,
			    .engine = name->engine,
			    .result = result },
	};

	event_log(result == CONTROLLER_RESULT_UNKNOWN
			  ? EVENT_ENGINE_ORDER_UNKNOWN
			  : EVENT_ENGINE_ORDER_RESULT,
		  "pool=%s engine=%s order=%" PRIu64 " outcome=%s", name->pool,
		  name->engine, order->id, outcomes[result].outcome);
	metrics_add(outcomes[result].metric, 1);
	audit_order(service, pool, order, outcomes[result].outcome);
	if (engine)
		engine->polled_ms = 0;
	if (pool)
		step_controller(service, pool, event);
}

/* The service. */

int controller_service_open(const controller_service_options_t *options,
			    controller_service_t **result)
{
	controller_service_t *service = calloc(1, sizeof(*service));
	engine_client_hooks_t hooks = {
		.may_send = may_send,
		.on_state = on_engine_state,
		.on_result = on_order_result,
		.context = service,
	};

	if (!service)
		return ERR_NO_MEMORY;
	service->options = *options;
	service->self_hash = hash_string(options->instance);
	rng_init(&service->rng, options->seed);
	/* Not derived from the seed, which may be reused after a restart. */
	randombytes_buf(&service->nonce, sizeof(service->nonce));
	service->engines = engine_client_open(options->endpoint_ca, &hooks);
	if (!service->engines) {
		free(service);
		return ERR_NO_MEMORY;
	}
	*result = service;
	return 0;
}

static void free_pool(pool_t *pool)
{
	stop_controller(pool);
	free(pool->engines);
	free(pool);
}

void controller_service_close(controller_service_t *service)
{
	if (!service)
		return;
	engine_client_close(service->engines);
	for (size_t i = 0; i < service->pool_count; i++)
		free_pool(service->pools[i]);
	free(service);
}

static pool_t *add_pool(controller_service_t *service, const char *id)
{
	pool_t *pool;

	if (service->pool_count == CONTROLLER_POOLS_MAX)
		return NULL;
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		return NULL;
	snprintf(pool->id, sizeof(pool->id), "%s", id);
	service->pools[service->pool_count++] = pool;
	return pool;
}

/** Replaces the engines; those that remain keep their poll time. */
static bool set_engines(pool_t *pool, const controller_service_pool_t *from)
{
	pool_engine_t *engines =
		calloc(from->engine_count + 1, sizeof(*engines));

	if (!engines)
		return false;
	for (size_t i = 0; i < from->engine_count; i++) {
		const controller_service_engine_t *engine = &from->engines[i];
		const pool_engine_t *old = find_engine(pool, engine->id);

		snprintf(engines[i].id, sizeof(engines[i].id), "%s",
			 engine->id);
		engines[i].address = engine->address;
		engines[i].checks_fencing = engine->checks_fencing;
		if (!old)
			continue;
		engines[i].polled_ms = old->polled_ms;
		memcpy(engines[i].previous_version, old->previous_version,
		       sizeof(old->previous_version));
	}
	free(pool->engines);
	pool->engines = engines;
	pool->engine_count = from->engine_count;
	return true;
}

static int configure_pool(controller_service_t *service,
			  const controller_service_pool_t *from)
{
	const char *weight_store =
		*from->weight_store ? from->weight_store : "default";
	pool_t *pool = find_pool(service, from->id);

	if (!pool)
		pool = add_pool(service, from->id);
	if (!pool)
		return ERR_LIMIT;
	pool->removed = false;
	/* A controller knows only the slots of one weight store. */
	if (pool->controller && strcmp(pool->weight_store, weight_store) != 0)
		release_lease(service, pool);
	snprintf(pool->weight_store, sizeof(pool->weight_store), "%s",
		 weight_store);
	pool->desired = from->desired;
	pool->ready_min = from->ready_min;
	if (!set_engines(pool, from))
		return ERR_NO_MEMORY;
	if (pool->controller)
		configure_controller(service, pool);
	return 0;
}

int controller_service_configure(controller_service_t *service,
				 const controller_service_pool_t *pools,
				 size_t count)
{
	int result = 0;

	for (size_t i = 0; i < service->pool_count; i++)
		service->pools[i]->removed = true;
	for (size_t i = 0; i < count; i++) {
		int err = configure_pool(service, &pools[i]);

		result = err ? err : result;
	}
	for (size_t i = 0; i < service->pool_count; i++) {
		if (service->pools[i]->removed)
			release_lease(service, service->pools[i]);
	}
	return result;
}

void controller_service_set_members(controller_service_t *service,
				    const char *const *ids, size_t count)
{
	service->member_count = 0;
	for (size_t i = 0; i < count; i++) {
		uint64_t hash = hash_string(ids[i]);

		if (hash != service->self_hash &&
		    service->member_count < CONTROLLER_INSTANCES_MAX)
			service->member_hashes[service->member_count++] = hash;
	}
}

static void free_removed_pools(controller_service_t *service)
{
	size_t kept = 0;

	for (size_t i = 0; i < service->pool_count; i++) {
		pool_t *pool = service->pools[i];

		if (pool->removed && !pool->competing)
			free_pool(pool);
		else
			service->pools[kept++] = pool;
	}
	service->pool_count = kept;
}

static void update_in_service_metric(const controller_service_t *service)
{
	int64_t count = 0;

	for (size_t i = 0; i < service->pool_count; i++) {
		const pool_t *pool = service->pools[i];

		if (pool->controller)
			count += controller_count_in_service(pool->controller,
							     clock_boot_ms());
	}
	metrics_set(METRIC_ENGINES_IN_SERVICE, count);
}

void controller_service_run(controller_service_t *service, uint32_t wait_ms)
{
	controller_event_t tick = { .kind = CONTROLLER_EVENT_TICK };
	uint64_t now_ms;

	for (size_t i = 0; i < service->pool_count; i++) {
		update_lease(service, service->pools[i]);
		step_controller(service, service->pools[i], tick);
	}
	free_removed_pools(service);
	update_in_service_metric(service);
	now_ms = clock_boot_ms();
	if (now_ms >= service->next_poll_ms)
		poll_next_engine(service, now_ms);
	engine_client_run(service->engines, wait_ms);
}

static bool is_releasing(const controller_service_t *service)
{
	for (size_t i = 0; i < service->pool_count; i++) {
		if (service->pools[i]->competing)
			return true;
	}
	return false;
}

void controller_service_stop(controller_service_t *service)
{
	static const struct timespec pause = {
		.tv_nsec = (long)RELEASE_RETRY_MS * 1000000L
	};
	uint64_t deadline_ms = clock_boot_ms() + RELEASE_TIMEOUT_MS;

	service->stopping = true;
	for (size_t i = 0; i < service->pool_count; i++)
		release_lease(service, service->pools[i]);
	while (is_releasing(service) && clock_boot_ms() < deadline_ms) {
		for (size_t i = 0; i < service->pool_count; i++)
			update_lease(service, service->pools[i]);
		nanosleep(&pause, NULL);
	}
}
