#include "cmd/router_sweep.h"

#include <stdlib.h>
#include <time.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/order_sweep.h"

enum {
	/** Minimum interval between two store calls. */
	CALL_INTERVAL_MS = 250,
	/** Interval at which the thread checks for exit and for due calls. */
	LOOP_SLEEP_MS = 20,
};

#define ORDER_PREFIX "order/"

/** Number of instances that share the work. */
static uint32_t count_instances(const router_t *router)
{
	return router->gossip ? (uint32_t)gossip_live_count(router->gossip) : 1;
}

/** Lists a page of order records and passes it to the sweep. */
static void list_page(store_client_t *store, order_sweep_t *sweep,
		      const order_sweep_action_t *action)
{
	CLEANUP_STORE_ITEMS store_items_t page = { 0 };
	order_sweep_item_t items[ORDER_SWEEP_PAGE] = { 0 };
	int err = store_client_list(store, STORE_PURPOSE_STATUS, ORDER_PREFIX,
				    *action->path ? action->path : NULL,
				    ORDER_SWEEP_PAGE, &page);
	size_t count =
		page.count < ORDER_SWEEP_PAGE ? page.count : ORDER_SWEEP_PAGE;

	for (size_t i = 0; !err && i < count; i++) {
		items[i].path = page.items[i].key;
		items[i].version = page.items[i].version;
	}
	order_sweep_handle_page(sweep, action->call_id, err, items,
				err ? 0 : count, page.more);
}

/** Reads the marks of the sweeps. An object that is none counts as empty, so
 * that it is replaced in time. */
static void read_marks(store_client_t *store, order_sweep_t *sweep,
		       const order_sweep_action_t *action)
{
	CLEANUP_STORE_OBJECT store_object_t object = { 0 };
	uint64_t marks[ORDER_MARKS];
	order_sweep_marks_t read = { .marks = marks };
	const json_t *list;
	const json_t *mark;
	size_t i;

	read.result = store_client_get(store, STORE_PURPOSE_STATUS,
				       action->path, &object);
	read.version = object.version;
	list = json_object_get(object.value, "marks");
	json_array_foreach ((json_t *)list, i, mark) {
		if (read.count < ORDER_MARKS)
			marks[read.count++] =
				(uint64_t)json_integer_value(mark);
	}
	order_sweep_handle_marks(sweep, action->call_id, &read, clock_now_ms());
}

static void write_marks(store_client_t *store, order_sweep_t *sweep,
			const order_sweep_action_t *action)
{
	CLEANUP_JSON json_t *value = json_pack("{s:[]}", "marks");
	json_t *list = json_object_get(value, "marks");
	uint64_t version = 0;
	int err;

	for (size_t i = 0; i < action->mark_count; i++)
		json_array_append_new(
			list, json_integer((json_int_t)action->marks[i]));
	err = action->version
		      ? store_client_update(store, STORE_PURPOSE_STATUS,
					    action->path, value,
					    action->version, &version)
		      : store_client_create(store, STORE_PURPOSE_STATUS,
					    action->path, value, &version);
	event_log(EVENT_ORDER_MARK, "replaced=%llu marks=%zu result=%s",
		  (unsigned long long)action->version, action->mark_count,
		  error_type(err));
	order_sweep_handle_marks_written(sweep, action->call_id, err, version,
					 clock_now_ms());
}

/** Does the next action of the sweep. @return whether it called the store */
static bool sweep_step(const router_t *router, order_sweep_t *sweep)
{
	order_sweep_action_t action = order_sweep_step(sweep, clock_now_ms());

	switch (action.kind) {
	case ORDER_SWEEP_NONE:
		return false;
	case ORDER_SWEEP_READ_MARKS:
		read_marks(router->store, sweep, &action);
		return true;
	case ORDER_SWEEP_WRITE_MARKS:
		write_marks(router->store, sweep, &action);
		return true;
	case ORDER_SWEEP_LIST:
		if (!*action.path)
			sweep->member_count = count_instances(router);
		list_page(router->store, sweep, &action);
		return true;
	case ORDER_SWEEP_DELETE:
		/* Fails if another instance has removed the record. */
		if (!store_client_delete(router->store, STORE_PURPOSE_STATUS,
					 action.path, action.version))
			event_log(EVENT_ORDER_SWEEP, "order=%s", action.path);
		return true;
	}
	return false;
}

void *router_sweep_thread(void *context)
{
	static const struct timespec pause = { .tv_nsec = LOOP_SLEEP_MS *
							  1000000L };
	router_t *router = context;
	order_settings_t settings = order_default_settings;
	order_sweep_t sweep;
	uint64_t next_ms = 0;
	rng_t rng;

	rng_init(&rng, rng_system_seed());
	settings.retention_ms = router->settings.order_retention_ms;
	order_sweep_init(&sweep, &settings, &rng,
			 router->settings.order_sweep_ms,
			 count_instances(router), clock_now_ms());
	while (!uatomic_read(&router->exiting)) {
		if (clock_now_ms() >= next_ms && sweep_step(router, &sweep))
			next_ms = clock_now_ms() + CALL_INTERVAL_MS;
		nanosleep(&pause, NULL);
	}
	return NULL;
}
