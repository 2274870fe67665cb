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
	/** Time a stop spends on releasing leases. */
	RELEASE_LIMIT_MS = 2000,
	RELEASE_STEP_MS = 10,
	/** A report counts for this many rounds of asking. */
	REPORT_ROUNDS = 3,
};

typedef struct pool_engine {
	char id[CONTROLLER_ID_MAX_BYTES];
	engine_address_t address;
	bool checks_fencing;
	uint64_t asked_ms; /**< 0: ask as soon as possible. */
	/** Version when the last order was issued, for the audit trail. */
	char before[CONTROLLER_ID_MAX_BYTES];
} pool_engine_t;

typedef struct pool {
	char id[CONTROLLER_ID_MAX_BYTES];
	char weight_store[CONTROLLER_ID_MAX_BYTES];
	controller_target_t desired;
	uint32_t ready_min;
	pool_engine_t *engines;
	size_t engine_count;
	bool vanished;	/**< No longer configured. */
	bool competing; /**< `lease` is in use. */
	lease_t lease;
	uint64_t lease_due_ms; /**< When its timer ends; 0 for none. */
	uint32_t lease_call;   /**< Of that timer. */
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
	uint64_t members[CONTROLLER_MEMBERS_MAX];
	size_t member_count;
	uint64_t next_ask_ms;
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

static const char *version_held(const pool_t *pool, const char *engine)
{
	const controller_t *controller = pool->controller;

	for (size_t i = 0; controller && i < controller->engine_count; i++) {
		if (!strcmp(controller->engines[i].id, engine))
			return controller->engines[i].state.holds.version;
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
		.before = engine ? engine->before : "",
		.after = order->target.version,
		.outcome = outcome,
	};

	if (service->options.audit)
		service->options.audit(service->options.audit_context, &entry);
}

/** @return whether the order is on its way */
static bool issue(controller_service_t *service, const pool_t *pool,
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
	snprintf(engine->before, sizeof(engine->before), "%s",
		 version_held(pool, order->engine));
	audit_order(service, pool, order, "issued");
	return engine_client_order(service->engines, &name, &engine->address,
				   order, action->issue.fencing,
				   service->options.order_max_ms);
}

/** Takes an event; performs the actions until no store call is asked for. */
static void step_controller(controller_service_t *service, pool_t *pool,
			    controller_event_t event)
{
	controller_status_t status;
	controller_slots_t slots;
	controller_actions_t actions;
	controller_actions_t refused;
	bool has_event = true;

	while (has_event && pool->controller) {
		controller_step(pool->controller, &event, clock_now_ms(),
				&actions);
		has_event = false;
		refused.count = 0;
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
				if (!issue(service, pool, action))
					refused.items[refused.count++] =
						*action;
				break;
			}
		}
		/* Orders that could not be sent hold no slot for long. */
		for (size_t i = 0; i < refused.count; i++) {
			controller_event_t result = {
				.kind = CONTROLLER_EVENT_RESULT,
				.result = { .order_id = refused.items[i]
								.issue.order.id,
					    .result =
						    CONTROLLER_RESULT_REFUSED },
			};

			step_controller(service, pool, result);
		}
	}
}

/** Time in which each engine of a pool is asked once. */
static uint32_t round_ms(const controller_service_t *service,
			 const pool_t *pool)
{
	uint32_t needed_ms =
		(uint32_t)(pool->engine_count * 1000 / CONTROLLER_STATES_PER_S);

	return needed_ms > service->options.state_poll_ms
		       ? needed_ms
		       : service->options.state_poll_ms;
}

static void configure_controller(const controller_service_t *service,
				 pool_t *pool)
{
	controller_member_t *members =
		calloc(pool->engine_count + 1, sizeof(*members));
	uint32_t report_ms = REPORT_ROUNDS * round_ms(service, pool);

	if (!members)
		return;
	for (size_t i = 0; i < pool->engine_count; i++) {
		members[i].id = pool->engines[i].id;
		members[i].checks_fencing = pool->engines[i].checks_fencing;
	}
	pool->settings = controller_default_settings;
	pool->settings.order_max_ms = service->options.order_max_ms;
	if (pool->settings.report_max_age_ms < report_ms)
		pool->settings.report_max_age_ms = report_ms;
	if (controller_configure(pool->controller, &pool->desired,
				 pool->ready_min, members, pool->engine_count))
		event_log(EVENT_FLEET_LIMIT, "pool=%s engines=%zu", pool->id,
			  pool->engine_count);
	free(members);
}

static void start_controller(const controller_service_t *service, pool_t *pool)
{
	pool->controller = calloc(1, sizeof(*pool->controller));
	if (!pool->controller)
		return;
	controller_init(pool->controller, pool->id, &pool->settings);
	configure_controller(service, pool);
	for (size_t i = 0; i < pool->engine_count; i++)
		pool->engines[i].asked_ms = 0;
}

static void stop_controller(pool_t *pool)
{
	free(pool->controller);
	pool->controller = NULL;
}

/* Leases. */

static void acquired(const controller_service_t *service, pool_t *pool,
		     uint64_t fencing)
{
	event_log(EVENT_LEASE_ACQUIRED, "pool=%s fencing=%" PRIu64, pool->id,
		  fencing);
	metrics_add(METRIC_LEASES_ACQUIRED, 1);
	metrics_add(METRIC_LEASES_HELD, 1);
	start_controller(service, pool);
}

static void lost(pool_t *pool)
{
	bool released = pool->lease.phase == LEASE_PHASE_RELEASING;

	event_log(released ? EVENT_LEASE_RELEASED : EVENT_LEASE_LOST,
		  "pool=%s fencing=%" PRIu64, pool->id,
		  pool->lease.record.fencing);
	metrics_add(released ? METRIC_LEASES_RELEASED : METRIC_LEASES_LOST, 1);
	metrics_add(METRIC_LEASES_HELD, -1);
	stop_controller(pool);
}

/** Performs one action. @return whether it gave an event */
static bool perform_lease(const controller_service_t *service, pool_t *pool,
			  const lease_action_t *action, lease_record_t *record,
			  lease_event_t *event)
{
	switch (action->kind) {
	case LEASE_ACTION_READ:
	case LEASE_ACTION_WRITE:
		*event = controller_store_lease(service->options.store,
						pool->id, action, record);
		return true;
	case LEASE_ACTION_WAIT:
		pool->lease_due_ms = action->until_ms;
		pool->lease_call = action->call;
		return false;
	case LEASE_ACTION_ACQUIRED:
		acquired(service, pool, action->fencing);
		return false;
	case LEASE_ACTION_LOST:
		lost(pool);
		return false;
	case LEASE_ACTION_STOPPED:
		pool->competing = false;
		pool->lease_due_ms = 0;
		return false;
	}
	return false;
}

static void drive_lease(controller_service_t *service, pool_t *pool,
			lease_actions_t *actions)
{
	bool has_event = true;

	while (has_event) {
		lease_actions_t current = *actions;
		lease_record_t record;
		lease_event_t event;

		has_event = false;
		for (size_t i = 0; i < current.count; i++)
			has_event |=
				perform_lease(service, pool, &current.items[i],
					      &record, &event);
		if (has_event)
			lease_step(&pool->lease, &event, clock_now_ms(),
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

	pool->lease_due_ms = 0;
	lease_step(&pool->lease, event, clock_now_ms(), &actions);
	drive_lease(service, pool, &actions);
}

static void release(controller_service_t *service, pool_t *pool)
{
	lease_event_t event = { .kind = LEASE_EVENT_RELEASE };

	if (pool->competing && pool->lease.phase != LEASE_PHASE_RELEASING)
		step_lease(service, pool, &event);
}

bool controller_is_candidate(const char *pool, uint64_t self,
			     const uint64_t *members, size_t count)
{
	uint64_t key = hash_string(pool);
	uint64_t own = hash_rendezvous(key, self);
	size_t before = 0;

	for (size_t i = 0; i < count; i++)
		before += hash_rendezvous(key, members[i]) > own;
	return before < CONTROLLER_CANDIDATES;
}

static void compete(controller_service_t *service, pool_t *pool)
{
	lease_actions_t actions;

	pool->competing = true;
	lease_begin(&pool->lease, service->options.instance, service->nonce,
		    service->options.lease_ms, &service->rng, &actions);
	drive_lease(service, pool, &actions);
}

/** Begins or gives up to compete, and ends what the lease waits for. */
static void run_lease(controller_service_t *service, pool_t *pool)
{
	lease_event_t timer = { .kind = LEASE_EVENT_TIMER,
				.call = pool->lease_call };
	bool candidate = !pool->vanished && !service->stopping &&
			 controller_is_candidate(pool->id, service->self_hash,
						 service->members,
						 service->member_count);

	if (!pool->competing && candidate) {
		compete(service, pool);
		return;
	}
	if (pool->competing && !candidate &&
	    (pool->lease.phase == LEASE_PHASE_WATCHING ||
	     pool->lease.phase == LEASE_PHASE_READING)) {
		pool->competing = false;
		return;
	}
	if (pool->competing && pool->lease_due_ms &&
	    clock_now_ms() >= pool->lease_due_ms)
		step_lease(service, pool, &timer);
}

/* Engines. */

/** Asks the engine that has waited longest beyond its time. */
static void ask_next(controller_service_t *service, uint64_t now_ms)
{
	pool_t *chosen = NULL;
	pool_engine_t *engine = NULL;
	engine_name_t name = { 0 };

	for (size_t p = 0; p < service->pool_count; p++) {
		pool_t *pool = service->pools[p];
		uint32_t interval_ms = round_ms(service, pool);

		for (size_t i = 0; pool->controller && i < pool->engine_count;
		     i++) {
			pool_engine_t *other = &pool->engines[i];

			if (now_ms - other->asked_ms < interval_ms ||
			    (engine && other->asked_ms >= engine->asked_ms))
				continue;
			chosen = pool;
			engine = other;
		}
	}
	if (!engine)
		return;
	snprintf(name.pool, sizeof(name.pool), "%s", chosen->id);
	snprintf(name.engine, sizeof(name.engine), "%s", engine->id);
	if (!engine_client_ask(service->engines, &name, &engine->address))
		return;
	engine->asked_ms = now_ms;
	service->next_ask_ms = now_ms + 1000 / CONTROLLER_STATES_PER_S;
}

static bool may_send(void *context, const engine_name_t *name, uint64_t fencing)
{
	const controller_service_t *service = context;
	const pool_t *pool = find_pool(service, name->pool);

	if (!pool || !pool->controller ||
	    lease_fencing(&pool->lease, clock_now_ms()) != fencing)
		return false;
	metrics_add(METRIC_ENGINE_ORDERS_SENT, 1);
	return true;
}

static void take_state(void *context, const engine_name_t *name,
		       uint64_t asked_ms, const controller_state_t *state)
{
	controller_service_t *service = context;
	pool_t *pool = find_pool(service, name->pool);
	controller_event_t event = {
		.kind = CONTROLLER_EVENT_REPORT,
		.report = { .engine = name->engine,
			    .asked_ms = asked_ms,
			    .state = *state },
	};

	if (!pool || !pool->controller)
		return;
	/* A pool that names no role leaves the engines as they are. */
	if (!pool->desired.role[0])
		event.report.state.holds.role[0] = '\0';
	step_controller(service, pool, event);
}

static void take_result(void *context, const engine_name_t *name,
			const controller_order_t *order,
			controller_result_t result)
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
		.result = { .order_id = order->id, .result = result },
	};

	event_log(result == CONTROLLER_RESULT_UNKNOWN
			  ? EVENT_ENGINE_ORDER_UNKNOWN
			  : EVENT_ENGINE_ORDER_RESULT,
		  "pool=%s engine=%s order=%" PRIu64 " outcome=%s", name->pool,
		  name->engine, order->id, outcomes[result].outcome);
	metrics_add(outcomes[result].metric, 1);
	audit_order(service, pool, order, outcomes[result].outcome);
	if (engine)
		engine->asked_ms = 0;
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
		.state = take_state,
		.result = take_result,
		.context = service,
	};

	if (!service)
		return ERR_NO_MEMORY;
	service->options = *options;
	service->self_hash = hash_string(options->instance);
	rng_init(&service->rng, options->seed);
	/* Not from the seed, which may be the same after a restart. */
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

/** Takes the engines; those that stay keep when they were asked. */
static bool take_engines(pool_t *pool, const controller_service_pool_t *from)
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
		engines[i].asked_ms = old->asked_ms;
		memcpy(engines[i].before, old->before, sizeof(old->before));
	}
	free(pool->engines);
	pool->engines = engines;
	pool->engine_count = from->engine_count;
	return true;
}

static int take_pool(controller_service_t *service,
		     const controller_service_pool_t *from)
{
	const char *weight_store =
		*from->weight_store ? from->weight_store : "default";
	pool_t *pool = find_pool(service, from->id);

	if (!pool)
		pool = add_pool(service, from->id);
	if (!pool)
		return ERR_LIMIT;
	pool->vanished = false;
	/* A controller knows only the slots of one weight store. */
	if (pool->controller && strcmp(pool->weight_store, weight_store) != 0)
		release(service, pool);
	snprintf(pool->weight_store, sizeof(pool->weight_store), "%s",
		 weight_store);
	pool->desired = from->desired;
	pool->ready_min = from->ready_min;
	if (!take_engines(pool, from))
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
		service->pools[i]->vanished = true;
	for (size_t i = 0; i < count; i++) {
		int err = take_pool(service, &pools[i]);

		result = err ? err : result;
	}
	for (size_t i = 0; i < service->pool_count; i++) {
		if (service->pools[i]->vanished)
			release(service, service->pools[i]);
	}
	return result;
}

void controller_service_members(controller_service_t *service,
				const char *const *ids, size_t count)
{
	service->member_count = 0;
	for (size_t i = 0; i < count; i++) {
		uint64_t hash = hash_string(ids[i]);

		if (hash != service->self_hash &&
		    service->member_count < CONTROLLER_MEMBERS_MAX)
			service->members[service->member_count++] = hash;
	}
}

static void remove_ended_pools(controller_service_t *service)
{
	size_t kept = 0;

	for (size_t i = 0; i < service->pool_count; i++) {
		pool_t *pool = service->pools[i];

		if (pool->vanished && !pool->competing)
			free_pool(pool);
		else
			service->pools[kept++] = pool;
	}
	service->pool_count = kept;
}

static void count_in_service(const controller_service_t *service)
{
	int64_t count = 0;

	for (size_t i = 0; i < service->pool_count; i++) {
		const pool_t *pool = service->pools[i];

		if (pool->controller)
			count += controller_in_service(pool->controller,
						       clock_now_ms());
	}
	metrics_set(METRIC_ENGINES_IN_SERVICE, count);
}

void controller_service_run(controller_service_t *service, uint32_t wait_ms)
{
	controller_event_t tick = { .kind = CONTROLLER_EVENT_TICK };
	uint64_t now_ms;

	for (size_t i = 0; i < service->pool_count; i++) {
		run_lease(service, service->pools[i]);
		step_controller(service, service->pools[i], tick);
	}
	remove_ended_pools(service);
	count_in_service(service);
	now_ms = clock_now_ms();
	if (now_ms >= service->next_ask_ms)
		ask_next(service, now_ms);
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
		.tv_nsec = (long)RELEASE_STEP_MS * 1000000L
	};
	uint64_t until_ms = clock_now_ms() + RELEASE_LIMIT_MS;

	service->stopping = true;
	for (size_t i = 0; i < service->pool_count; i++)
		release(service, service->pools[i]);
	while (is_releasing(service) && clock_now_ms() < until_ms) {
		for (size_t i = 0; i < service->pool_count; i++)
			run_lease(service, service->pools[i]);
		nanosleep(&pause, NULL);
	}
}
