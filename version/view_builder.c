#include "version/view_builder.h"

#include <stdlib.h>
#include <string.h>

#include "platform/platform_desired.h"
#include "process/error.h"
#include "process/event.h"
#include "process/store_revision.h"

void view_builder_free(view_builder_t *builder)
{
	for (int i = 0; i < OBJECT_KIND_COUNT; i++)
		object_table_free(&builder->tables[i]);
	for (size_t i = 0; i < builder->weights_count; i++)
		free(builder->weights[i].model);
	free(builder->weights);
	desired_put(builder->desired);
	view_put(builder->view);
	memset(builder, 0, sizeof(*builder));
}

bool view_builder_is_complete(const view_builder_t *builder)
{
	return builder->tables[OBJECT_DESIRED].complete &&
	       builder->tables[OBJECT_ENDPOINTS].complete &&
	       builder->tables[OBJECT_WEIGHTS].complete;
}

static void reject_desired(view_builder_t *builder, uint64_t revision,
			   const char *reason)
{
	if (builder->rejected_revision == revision)
		return;
	builder->rejected_revision = revision;
	event_log(EVENT_DESIRED_REJECTED, "era=%llu revision=%llu why=%s",
		  (unsigned long long)store_revision_era(revision),
		  (unsigned long long)store_revision_number(revision), reason);
}

/* Applies the newest desired state if it is newer than the current one. */
static int update_desired(view_builder_t *builder)
{
	const object_table_t *table = &builder->tables[OBJECT_DESIRED];
	const object_entry_t *newest = NULL;
	desired_state_t *parsed = NULL;
	int err;

	for (size_t i = 0; i < table->count; i++) {
		if (!newest || table->entries[i].revision > newest->revision)
			newest = &table->entries[i];
	}
	if (!newest)
		return ERR_NOT_READY;
	if (builder->desired && newest->revision <= builder->desired->revision)
		return 0;
	err = platform_read_desired(newest->spec, newest->revision, &parsed);
	if (err) {
		reject_desired(builder, newest->revision, error_type(err));
		return err;
	}
	if (builder->desired && parsed->version < builder->desired->version) {
		reject_desired(builder, newest->revision, "older_version");
		desired_put(parsed);
		return 0;
	}
	desired_put(builder->desired);
	builder->desired = parsed;
	return 0;
}

/* Adds a model without target weights; NULL when out of memory. */
static target_weights_t *add_model(view_builder_t *builder, const char *model)
{
	target_weights_t *weights =
		realloc(builder->weights,
			(builder->weights_count + 1) * sizeof(*weights));
	target_weights_t *added;

	if (!weights)
		return NULL;
	builder->weights = weights;
	added = &weights[builder->weights_count];
	memset(added, 0, sizeof(*added));
	added->model = strdup(model);
	if (!added->model)
		return NULL;
	builder->weights_count++;
	return added;
}

static int update_target_weights(view_builder_t *builder,
				 const model_weights_t *parsed, uint64_t now_ms)
{
	target_weights_t *target = NULL;

	for (size_t i = 0; i < builder->weights_count; i++) {
		if (!strcmp(builder->weights[i].model, parsed->model))
			target = &builder->weights[i];
	}
	if (!target)
		target = add_model(builder, parsed->model);
	if (!target)
		return ERR_NO_MEMORY;
	target_weights_add(target, parsed->version, now_ms);
	return 0;
}

/* Earliest time of a change that becomes known now. */
static uint64_t earliest_change_ms(const view_builder_t *builder,
				   uint64_t now_ms)
{
	return builder->paused_ms &&
			       now_ms < builder->resumed_ms + VIEW_SETTLING_MS
		       ? builder->paused_ms
		       : now_ms;
}

void view_builder_tick(view_builder_t *builder, uint64_t now_ms)
{
	uint64_t last_ms = builder->ticked_ms;

	builder->ticked_ms = now_ms;
	if (!last_ms || now_ms - last_ms <= VIEW_TICK_MAX_MS)
		return;
	builder->paused_ms = earliest_change_ms(builder, last_ms);
	builder->resumed_ms = now_ms;
	event_log(EVENT_PROCESS_PAUSED, "for_ms=%llu",
		  (unsigned long long)(now_ms - last_ms));
}

void view_builder_fetched_weights(view_builder_t *builder, uint64_t since_ms)
{
	if (!builder->peers_weights_ms || since_ms < builder->peers_weights_ms)
		builder->peers_weights_ms = since_ms;
}

static int update_weights(view_builder_t *builder, uint64_t now_ms)
{
	const object_table_t *table = &builder->tables[OBJECT_WEIGHTS];
	int err = 0;

	now_ms = earliest_change_ms(builder, now_ms);
	if (builder->peers_weights_ms && builder->peers_weights_ms < now_ms)
		now_ms = builder->peers_weights_ms;
	builder->peers_weights_ms = 0;
	/* The first view contains versions that were set earlier. */
	if (!builder->view)
		now_ms -= builder->initial_weights_age_ms;
	for (size_t i = 0; !err && i < table->count; i++) {
		model_weights_t parsed;

		if (!platform_read_weights(table->entries[i].spec, &parsed))
			err = update_target_weights(builder, &parsed, now_ms);
	}
	return err;
}

/* Carries the load of an endpoint over from the last view if its incarnation
 * and address are the same. The search begins at `cursor` and moves it: views
 * have about the same order. */
static endpoint_load_t *get_or_create_load(const view_builder_t *builder,
					   const endpoint_entry_t *entry,
					   size_t *cursor)
{
	const view_t *view = builder->view;
	size_t count = view ? view->endpoint_count : 0;

	for (size_t n = 0; n < count; n++) {
		size_t i = (*cursor + n) % count;
		const endpoint_entry_t *old = &view->endpoints[i];

		if (old->started_unix_ms == entry->started_unix_ms &&
		    !strcmp(old->id, entry->id) &&
		    !strcmp(old->address_text, entry->address_text)) {
			*cursor = i + 1;
			endpoint_load_get(old->load);
			return old->load;
		}
	}
	return endpoint_load_new(entry->id, entry->started_unix_ms);
}

/* Reads all valid entries. `*count` entries are to be cleared in any case. */
static int read_endpoints(view_builder_t *builder, endpoint_entry_t *entries,
			  size_t *count)
{
	const object_table_t *table = &builder->tables[OBJECT_ENDPOINTS];
	size_t cursor = 0;
	int err;

	for (size_t i = 0; i < table->count; i++) {
		const object_entry_t *object = &table->entries[i];
		endpoint_entry_t *entry = &entries[*count];

		if (object->suspect)
			continue;
		err = platform_read_endpoint(object->name, object->spec, entry);
		if (err == ERR_NO_MEMORY)
			return err;
		if (err) {
			event_log(EVENT_ENTRY_REJECTED,
				  "endpoint=%s revision=%llu", object->name,
				  (unsigned long long)store_revision_number(
					  object->revision));
			continue;
		}
		entry->revision = object->revision;
		entry->load = get_or_create_load(builder, entry, &cursor);
		(*count)++;
		if (!entry->load)
			return ERR_NO_MEMORY;
	}
	return 0;
}

/* The view has its own references and copies. */
static void clear_entries(endpoint_entry_t *entries, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		endpoint_load_put(entries[i].load);
		free(entries[i].models);
	}
	free(entries);
}

static int publish_entries(view_builder_t *builder,
			   const endpoint_entry_t *entries, size_t count)
{
	uint64_t revision = builder->tables[OBJECT_ENDPOINTS].revision;
	view_t *view = view_new(builder->desired, entries, count,
				builder->weights, builder->weights_count);

	if (!view)
		return ERR_NO_MEMORY;
	view_put(builder->view);
	urcu_ref_get(&view->ref);
	builder->view = view;
	view_publish(view);
	event_log(EVENT_VIEW_PUBLISHED,
		  "desired_version=%llu desired_revision=%llu endpoints=%zu "
		  "endpoints_revision=%llu era=%llu weights=%llu",
		  (unsigned long long)builder->desired->version,
		  (unsigned long long)store_revision_number(
			  builder->desired->revision),
		  count, (unsigned long long)store_revision_number(revision),
		  (unsigned long long)store_revision_era(revision),
		  (unsigned long long)(builder->weights_count
					       ? builder->weights[0].versions[0]
					       : 0));
	return 0;
}

int view_builder_publish(view_builder_t *builder, uint64_t now_ms)
{
	endpoint_entry_t *entries;
	size_t count = 0;
	int err;

	if (!view_builder_is_complete(builder))
		return ERR_NOT_READY;
	/* The first event after a pause may be a change. */
	view_builder_tick(builder, now_ms);
	err = update_desired(builder);
	if (err && !builder->desired)
		return err;
	err = update_weights(builder, now_ms);
	if (err)
		return err;
	entries = calloc(builder->tables[OBJECT_ENDPOINTS].count + 1,
			 sizeof(*entries));
	if (!entries)
		return ERR_NO_MEMORY;
	err = read_endpoints(builder, entries, &count);
	if (!err)
		err = publish_entries(builder, entries, count);
	clear_entries(entries, count);
	return err;
}
