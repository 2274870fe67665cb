#include "version/config_service.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"
#include "version/config.h"
#include "version/ticket_lookup.h"
#include "version/config_source.h"
#include "version/ticket_audit.h"
#include "version/config_sweep.h"

enum {
	COMMIT_TIMEOUT_MS = 10000,
	/** Also the longest interval at which a watcher confirms that its
	 * configuration is current. */
	WATCH_TIMEOUT_MS = 5000,
	TICK_MS = 100,
	/** Mean delay of the next watch call after a failed one. */
	WATCH_RETRY_MS = 500,
	/** How long a fetch from the store retries before it fails and another
	 * source may be used. */
	CATCH_UP_TIMEOUT_MS = 300,
	/** Interval at which audit entries are written. */
	AUDIT_PERIOD_MS = 1000,
};

/** A ticket to commit; on the stack of the thread that waits for it. */
typedef struct pending_ticket {
	ticket_t ticket;
	ticket_result_t result;
	bool done;
	struct pending_ticket *next;
} pending_ticket_t;

struct config_service {
	config_service_options_t options;
	pthread_t sync_thread;
	pthread_t watch_thread;
	bool started; /**< A first configuration is published. */
	pthread_t commit_thread;
	/** Held while a state is replaced and published, so that versions are
	 * published in order. */
	pthread_mutex_t adopt_lock;
	pthread_mutex_t lock; /**< Guards `started` and the members below. */
	pthread_cond_t changed;
	bool stopping;
	config_sync_t sync;
	bool sync_pending; /**< An event was handled since the last step. */
	ticket_state_t state;
	config_log_t log;
	pending_ticket_t *waiting; /**< Oldest first. */
	uint64_t commits; /**< Commits started; gives each its own seed. */
};

/**
 * Waits for a change, at most until the deadline; returns at once if the
 * service stops. The caller holds the lock.
 */
static void wait_until(config_service_t *service, uint64_t deadline_ms)
{
	if (!service->stopping)
		clock_cond_wait_until(&service->changed, &service->lock,
				      deadline_ms);
}

/** Sleeps until the deadline or until the service stops. */
static void pause_until(config_service_t *service, uint64_t deadline_ms)
{
	SCOPED_LOCK(lock, &service->lock);

	while (!service->stopping && clock_now_ms() < deadline_ms)
		wait_until(service, deadline_ms);
}

static bool is_stopping(config_service_t *service)
{
	SCOPED_LOCK(lock, &service->lock);

	return service->stopping;
}

static void publish(uint64_t position, json_t *objects)
{
	config_problem_t problem = { 0 };
	config_t *config;
	int err = config_build(position, objects, &config, &problem);

	if (err) {
		event_log(EVENT_CONFIG_REJECTED,
			  "position=%" PRIu64 " object=%s field=%s error=%s "
			  "text=\"%s\"",
			  position, problem.object, problem.field,
			  error_type(err), problem.text);
		return;
	}
	if (config_publish(config))
		event_log(EVENT_CONFIG_IN_FORCE, "position=%" PRIu64, position);
}

/**
 * Adds contents to the log. A gap in the positions empties the log; peers that
 * need the dropped entries get a snapshot instead.
 */
static void log_contents(config_service_t *service, const json_t *contents)
{
	const json_t *entry;
	size_t i;

	json_array_foreach (contents, i, entry) {
		uint64_t position = (uint64_t)json_integer_value(
			json_object_get(entry, "position"));

		if (position > service->log.position)
			config_log_add(&service->log, position,
				       json_object_get(entry, "content"));
	}
}

/**
 * Replaces the state if `next` has a higher position. On return `next` holds
 * the state that is no longer used.
 */
static bool replace_state(config_service_t *service, ticket_state_t *next,
			  const json_t *contents)
{
	SCOPED_LOCK(lock, &service->lock);
	ticket_state_t old = service->state;

	if (next->position <= old.position)
		return false;
	service->state = *next;
	*next = old;
	log_contents(service, contents);
	return true;
}

/** Replaces the state and publishes it, if its position is higher. */
static void adopt(config_service_t *service, const ticket_state_t *state,
		  const json_t *contents)
{
	SCOPED_LOCK(adopt_lock, &service->adopt_lock);
	CLEANUP_JSON json_t *objects = json_copy(state->objects);
	ticket_state_t next;
	uint64_t position = state->position;

	if (!objects || ticket_state_copy(state, &next))
		return;
	if (replace_state(service, &next, contents))
		publish(position, objects);
	ticket_state_free(&next);
}

static uint64_t current_position(config_service_t *service)
{
	SCOPED_LOCK(lock, &service->lock);

	return service->state.position;
}

/** Performs a store action and fills in the event with its result. */
static void perform_action(config_service_t *service,
			   const ticket_action_t *action,
			   store_purpose_t purpose, ticket_event_t *event,
			   store_object_t *object)
{
	store_client_t *client = service->options.client;

	event->kind = TICKET_EVENT_ANSWER;
	event->id = action->id;
	switch (action->kind) {
	case TICKET_ACTION_GET:
		event->err =
			store_client_get(client, purpose, action->key, object);
		event->version = object->version;
		event->value = object->value;
		return;
	case TICKET_ACTION_CREATE:
		event->err = store_client_create(client, purpose, action->key,
						 action->value, NULL);
		return;
	case TICKET_ACTION_PUT:
		event->err = store_client_update(client, purpose, action->key,
						 action->value, action->version,
						 NULL);
		return;
	case TICKET_ACTION_WAIT:
		pause_until(service, action->wait_until_ms);
		event->kind = TICKET_EVENT_TIMER;
		return;
	case TICKET_ACTION_NONE:
	case TICKET_ACTION_DONE:
		return;
	}
}

static void run_commit(config_service_t *service, ticket_commit_t *commit)
{
	store_purpose_t purpose =
		commit->count ? STORE_PURPOSE_TICKET : STORE_PURPOSE_CONFIG;
	ticket_event_t event = { .kind = TICKET_EVENT_START };
	ticket_action_t action = { 0 };
	store_object_t object = { 0 };

	while (action.kind != TICKET_ACTION_DONE) {
		uint64_t now_ms = clock_now_ms();

		if (is_stopping(service)) {
			/* Retries and delays must not hold up the shutdown. */
			commit->deadline_ms = now_ms;
			commit->wait_until_ms = now_ms;
		}
		ticket_commit_step(commit, &event, now_ms, &action);
		store_object_free(&object);
		memset(&event, 0, sizeof(event));
		perform_action(service, &action, purpose, &event, &object);
	}
	store_object_free(&object);
}

static int init_commit(config_service_t *service, ticket_commit_t *commit,
		       uint64_t timeout_ms)
{
	SCOPED_LOCK(lock, &service->lock);
	ticket_commit_options_t options = service->options.commit;

	options.seed = service->options.seed + ++service->commits;
	return ticket_commit_init(commit, &options, &service->state,
				  clock_unix_ms(), clock_now_ms() + timeout_ms);
}

/** Brings the state up to the head in the store. */
static int fetch_store(config_service_t *service)
{
	CLEANUP_FREE ticket_commit_t *commit = calloc(1, sizeof(*commit));
	int err;

	if (!commit)
		return ERR_NO_MEMORY;
	err = init_commit(service, commit, CATCH_UP_TIMEOUT_MS);
	if (!err) {
		run_commit(service, commit);
		err = ticket_commit_error(commit);
		/* Tickets that were read before a failure are valid too. */
		adopt(service, &commit->state, commit->applied);
	}
	ticket_commit_free(commit);
	return err;
}

static int fetch_peer(config_service_t *service, uint64_t peer, uint64_t from)
{
	CLEANUP_JSON json_t *answer = NULL;
	CLEANUP_JSON json_t *contents = json_array();
	ticket_state_t state = { 0 };
	int err;

	if (!service->options.fetch_peer)
		return ERR_NOT_FOUND;
	pthread_mutex_lock(&service->lock);
	err = ticket_state_copy(&service->state, &state);
	pthread_mutex_unlock(&service->lock);
	if (!err)
		err = service->options.fetch_peer(service->options.fetch_user,
						  peer, from, &answer);
	if (!err)
		err = config_sync_apply(&state, answer, contents);
	if (!err)
		adopt(service, &state, contents);
	ticket_state_free(&state);
	return err;
}

static int load_bootstrap(config_service_t *service)
{
	ticket_state_t state = { 0 };
	int err = config_source_bootstrap(service->options.bootstrap_file,
					  &state);

	if (!err && state.objects)
		adopt(service, &state, NULL);
	ticket_state_free(&state);
	return err;
}

/**
 * Lets the watch begin once a configuration is published. Its store calls are
 * not counted among those of the start.
 */
static void update_started(config_service_t *service)
{
	bool started = config_source_is_published();
	SCOPED_LOCK(lock, &service->lock);

	service->started = service->started || started;
}

/** Performs a fetch or load; returns the event with its result. */
static config_sync_event_t fetch(config_service_t *service,
				 const config_sync_action_t *action)
{
	config_sync_event_t event = { .kind = CONFIG_SYNC_FETCHED };
	config_sync_action_kind_t source = action->kind;
	bool was_published = config_source_is_published();
	int err = 0;

	if (action->kind == CONFIG_SYNC_FETCH_PEER)
		err = fetch_peer(service, action->peer, action->from);
	else if (action->kind == CONFIG_SYNC_FETCH_STORE)
		err = fetch_store(service);
	else
		err = load_bootstrap(service);
	/* The store is reachable but empty: use the bootstrap file. */
	if (!err && source == CONFIG_SYNC_FETCH_STORE &&
	    !config_source_is_published() && service->options.bootstrap_file) {
		source = CONFIG_SYNC_LOAD_BOOTSTRAP;
		err = load_bootstrap(service);
	}
	if (!was_published && config_source_is_published())
		config_source_record_start(source);
	update_started(service);
	if (err)
		event_log(EVENT_CONFIG_FETCH_FAILED, "source=%s error=%s",
			  config_source_name(source), error_type(err));
	event.fetched.id = action->id;
	event.fetched.err = err;
	event.fetched.position = current_position(service);
	return event;
}

static config_sync_action_t step(config_service_t *service,
				 const config_sync_event_t *event)
{
	SCOPED_LOCK(lock, &service->lock);
	config_sync_action_t action;
	uint64_t now_ms = clock_now_ms();
	uint64_t age_ms;

	config_sync_step(&service->sync, event, now_ms, &action);
	age_ms = config_sync_age_ms(&service->sync, now_ms);
	metrics_set(METRIC_CONFIG_AGE_MS,
		    age_ms == CONFIG_AGE_UNKNOWN ? -1 : (int64_t)age_ms);
	return action;
}

/** Handles an event from another thread and wakes the sync thread. */
static void post_event(config_service_t *service,
		       const config_sync_event_t *event)
{
	SCOPED_LOCK(lock, &service->lock);

	config_sync_handle_event(&service->sync, event, clock_now_ms());
	service->sync_pending = true;
	pthread_cond_broadcast(&service->changed);
}

static void wait_for_event(config_service_t *service)
{
	SCOPED_LOCK(lock, &service->lock);

	if (!service->sync_pending)
		wait_until(service, clock_now_ms() + TICK_MS);
	service->sync_pending = false;
}

static void *sync_main(void *user)
{
	config_service_t *service = user;
	config_sync_event_t event = { .kind = CONFIG_SYNC_TICK };

	while (!is_stopping(service)) {
		config_sync_action_t action = step(service, &event);

		event = (config_sync_event_t){ .kind = CONFIG_SYNC_TICK };
		switch (action.kind) {
		case CONFIG_SYNC_NONE:
			wait_for_event(service);
			break;
		case CONFIG_SYNC_WATCH_START:
		case CONFIG_SYNC_WATCH_STOP:
			event_log(EVENT_CONFIG_WATCH, "watching=%d",
				  action.kind == CONFIG_SYNC_WATCH_START);
			pthread_cond_broadcast(&service->changed);
			break;
		case CONFIG_SYNC_FETCH_PEER:
		case CONFIG_SYNC_FETCH_STORE:
		case CONFIG_SYNC_LOAD_BOOTSTRAP:
			event = fetch(service, &action);
			break;
		}
	}
	return NULL;
}

static void post_head(config_service_t *service, uint64_t position)
{
	const config_sync_event_t event = { .kind = CONFIG_SYNC_HEAD,
					    .head = { position } };

	post_event(service, &event);
}

static void post_adopted(config_service_t *service, uint64_t position)
{
	const config_sync_event_t event = { .kind = CONFIG_SYNC_ADOPTED,
					    .adopted = { position } };

	if (position)
		post_event(service, &event);
}

/** The head as the watch last read it. */
typedef struct head_watch {
	uint64_t revision; /**< Of the store; 0: the head must be read. */
	uint64_t position;
} head_watch_t;

/** Reads position and revision in one call, so that no change is missed. */
static int read_head(config_service_t *service, head_watch_t *watch)
{
	CLEANUP_STORE_ITEMS store_items_t items = { 0 };
	int err =
		store_client_list(service->options.client, STORE_PURPOSE_CONFIG,
				  "config/head", NULL, 1, &items);

	if (err)
		return err;
	watch->revision = items.revision;
	watch->position = 0;
	if (items.count)
		watch->position = (uint64_t)json_integer_value(
			json_object_get(items.items[0].value, "position"));
	post_head(service, watch->position);
	return 0;
}

static int wait_for_change(config_service_t *service, head_watch_t *watch)
{
	CLEANUP_STORE_ITEMS store_items_t changes = { 0 };
	int err = store_client_watch(
		service->options.client, STORE_PURPOSE_CONFIG, "config/head",
		watch->revision, service->options.watch_timeout_ms, &changes);

	if (err == ERR_STORE_GONE) {
		watch->revision = 0;
		return 0;
	}
	if (!err && changes.count) {
		/* The head is read once, after all these changes, and covers
		 * them. */
		err = fetch_store(service);
		watch->position = current_position(service);
		post_adopted(service, watch->position);
	}
	if (err)
		return err;
	watch->revision = changes.revision;
	post_head(service, watch->position);
	return 0;
}

static bool wait_until_watcher(config_service_t *service)
{
	SCOPED_LOCK(lock, &service->lock);

	/* An instance needs no watch to start, and many that start together
	 * would all read the head at the same time. */
	while (!service->stopping &&
	       !(service->started && service->sync.watching &&
		 service->sync.in_force))
		wait_until(service, clock_now_ms() + TICK_MS);
	return !service->stopping;
}

static void *watch_main(void *user)
{
	config_service_t *service = user;
	head_watch_t watch = { 0 };
	rng_t rng;

	rng_init(&rng, service->options.seed ^ 1);
	while (wait_until_watcher(service)) {
		int err = watch.revision ? wait_for_change(service, &watch)
					 : read_head(service, &watch);

		if (!err)
			continue;
		watch.revision = 0;
		pause_until(service, clock_now_ms() + WATCH_RETRY_MS / 2 +
					     rng_below(&rng, WATCH_RETRY_MS));
	}
	return NULL;
}

/**
 * Takes waiting tickets. The batch is empty if none arrives within
 * AUDIT_PERIOD_MS or the service stops.
 */
static size_t take_batch(config_service_t *service,
			 pending_ticket_t *batch[TICKET_BATCH_MAX])
{
	SCOPED_LOCK(lock, &service->lock);
	size_t count = 0;

	if (!service->waiting)
		wait_until(service, clock_now_ms() + AUDIT_PERIOD_MS);
	while (service->waiting && count < TICKET_BATCH_MAX) {
		batch[count++] = service->waiting;
		service->waiting = service->waiting->next;
	}
	return count;
}

static void complete_tickets(config_service_t *service,
			     pending_ticket_t *const *batch, size_t count,
			     const ticket_commit_t *commit, int err)
{
	SCOPED_LOCK(lock, &service->lock);

	for (size_t i = 0; i < count; i++) {
		if (err)
			batch[i]->result.err = err;
		else
			batch[i]->result = commit->items[i].result;
		batch[i]->done = true;
	}
	pthread_cond_broadcast(&service->changed);
}

/** Deletes the snapshot and the pages that a compaction has replaced. */
static void sweep_replaced(config_service_t *service,
			   const ticket_commit_t *commit)
{
	if (!ticket_commit_has_compacted(commit))
		return;
	event_log(EVENT_CONFIG_COMPACTED, "snapshot_position=%" PRIu64,
		  commit->next_head.snapshot_position);
	config_sweep(service->options.client, &commit->head,
		     &commit->next_head);
}

static void commit_batch(config_service_t *service,
			 pending_ticket_t *const *batch, size_t count)
{
	CLEANUP_FREE ticket_commit_t *commit = calloc(1, sizeof(*commit));
	size_t index;
	int err;

	if (!commit) {
		complete_tickets(service, batch, count, NULL, ERR_NO_MEMORY);
		return;
	}
	err = init_commit(service, commit, service->options.commit_timeout_ms);
	for (size_t i = 0; i < count && !err; i++)
		err = ticket_commit_add(commit, &batch[i]->ticket, &index);
	if (!err) {
		run_commit(service, commit);
		adopt(service, &commit->state, commit->applied);
		post_adopted(service, current_position(service));
	}
	complete_tickets(service, batch, count, commit, err);
	sweep_replaced(service, commit);
	ticket_commit_free(commit);
}

static bool has_work(config_service_t *service)
{
	SCOPED_LOCK(lock, &service->lock);

	return !service->stopping || service->waiting;
}

static void *commit_main(void *user)
{
	config_service_t *service = user;
	pending_ticket_t *batch[TICKET_BATCH_MAX];

	while (has_work(service)) {
		size_t count = take_batch(service, batch);

		if (count)
			commit_batch(service, batch, count);
		if (service->options.audit)
			audit_flush(service->options.audit);
	}
	/* Try once to write the audit entries of the last tickets. */
	if (service->options.audit)
		audit_flush(service->options.audit);
	return NULL;
}

/** Queues a ticket and waits for its result. */
static int wait_for_result(config_service_t *service, pending_ticket_t *pending)
{
	SCOPED_LOCK(lock, &service->lock);
	pending_ticket_t **end = &service->waiting;

	if (service->stopping)
		return ERR_STOPPING;
	while (*end)
		end = &(*end)->next;
	*end = pending;
	pthread_cond_broadcast(&service->changed);
	while (!pending->done)
		pthread_cond_wait(&service->changed, &service->lock);
	return pending->result.err;
}

int config_service_apply_ticket(config_service_t *service, json_t *content,
				const char *operator_name,
				ticket_result_t *result)
{
	pending_ticket_t pending = { 0 };
	uint64_t before = current_position(service);
	int err =
		ticket_parse(content, &pending.ticket, &pending.result.problem);

	pending.result.number = pending.ticket.number;
	if (!err)
		err = wait_for_result(service, &pending);
	pending.result.err = err;
	ticket_free(&pending.ticket);
	*result = pending.result;
	ticket_audit_result(service->options.audit, operator_name, result,
			    before);
	return err;
}

void config_service_set_members(config_service_t *service,
				const config_sync_member_t *members,
				size_t count)
{
	const config_sync_event_t event = { .kind = CONFIG_SYNC_MEMBERS,
					    .members = { members, count } };

	post_event(service, &event);
}

void config_service_gossip(config_service_t *service, uint64_t member,
			   uint64_t position, uint64_t age_ms)
{
	const config_sync_event_t event = {
		.kind = CONFIG_SYNC_GOSSIP,
		.gossip = { member, position, age_ms },
	};

	post_event(service, &event);
}

json_t *config_service_answer(config_service_t *service, uint64_t from)
{
	SCOPED_LOCK(lock, &service->lock);

	/* A state is replaced as a whole and its JSON values never change, so
	 * the answer may share them. */
	return config_sync_answer(&service->log, &service->state, from);
}

static uint64_t find_in_log(config_service_t *service, uint64_t number)
{
	SCOPED_LOCK(lock, &service->lock);

	return ticket_lookup_in_entries(service->log.entries, "content",
					number);
}

int config_service_find_ticket(config_service_t *service, uint64_t number,
			       uint64_t *position)
{
	*position = find_in_log(service, number);
	if (*position)
		return 0;
	return ticket_lookup_in_store(service->options.client, number,
				      position);
}

void config_service_status(config_service_t *service,
			   config_service_status_t *status)
{
	SCOPED_LOCK(lock, &service->lock);

	status->in_force = service->sync.in_force;
	status->position = service->sync.position;
	status->age_ms = config_sync_age_ms(&service->sync, clock_now_ms());
	status->watching = service->sync.watching;
}

static void init_locks(config_service_t *service)
{
	pthread_mutex_init(&service->adopt_lock, NULL);
	pthread_mutex_init(&service->lock, NULL);
	clock_cond_init(&service->changed);
}

static void free_service(config_service_t *service)
{
	ticket_state_free(&service->state);
	config_log_free(&service->log);
	pthread_cond_destroy(&service->changed);
	pthread_mutex_destroy(&service->lock);
	pthread_mutex_destroy(&service->adopt_lock);
	free(service);
}

static void stop_threads(config_service_t *service)
{
	pthread_mutex_lock(&service->lock);
	service->stopping = true;
	pthread_cond_broadcast(&service->changed);
	pthread_mutex_unlock(&service->lock);
	store_client_stop(service->options.client);
}

static int start_threads(config_service_t *service)
{
	if (pthread_create(&service->sync_thread, NULL, sync_main, service))
		return ERR_INTERNAL;
	if (pthread_create(&service->watch_thread, NULL, watch_main, service)) {
		stop_threads(service);
		pthread_join(service->sync_thread, NULL);
		return ERR_INTERNAL;
	}
	if (pthread_create(&service->commit_thread, NULL, commit_main,
			   service)) {
		stop_threads(service);
		pthread_join(service->sync_thread, NULL);
		pthread_join(service->watch_thread, NULL);
		return ERR_INTERNAL;
	}
	return 0;
}

static void set_options(config_service_t *service,
			const config_service_options_t *options)
{
	service->options = *options;
	if (!service->options.commit_timeout_ms)
		service->options.commit_timeout_ms = COMMIT_TIMEOUT_MS;
	if (!service->options.watch_timeout_ms)
		service->options.watch_timeout_ms = WATCH_TIMEOUT_MS;
	config_sync_init(&service->sync, hash_string(options->instance),
			 hash_string(options->domain),
			 options->bootstrap_file != NULL, options->seed,
			 clock_now_ms());
	config_sync_handle_event(
		&service->sync,
		&(config_sync_event_t){ .kind = CONFIG_SYNC_MEMBERS,
					.members = { options->members,
						     options->member_count } },
		clock_now_ms());
}

int config_service_start(const config_service_options_t *options,
			 config_service_t **service)
{
	config_service_t *created = calloc(1, sizeof(*created));
	int err;

	if (!created)
		return ERR_NO_MEMORY;
	init_locks(created);
	set_options(created, options);
	err = ticket_state_init(&created->state);
	if (!err)
		err = config_log_init(&created->log);
	if (!err)
		err = start_threads(created);
	if (err) {
		free_service(created);
		return err;
	}
	*service = created;
	return 0;
}

void config_service_stop(config_service_t *service)
{
	stop_threads(service);
	pthread_join(service->commit_thread, NULL);
	pthread_join(service->sync_thread, NULL);
	pthread_join(service->watch_thread, NULL);
	free_service(service);
}
