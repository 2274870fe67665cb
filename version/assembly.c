#include "version/assembly.h"

#include <stdlib.h>
#include <string.h>

#include "platform/platform_desired.h"
#include "process/error.h"
#include "process/event.h"

void assembly_free(assembly_t *assembly)
{
	for (int i = 0; i < OBJECT_KIND_COUNT; i++)
		object_table_free(&assembly->tables[i]);
	desired_put(assembly->desired);
	view_put(assembly->view);
	memset(assembly, 0, sizeof(*assembly));
}

bool assembly_is_complete(const assembly_t *assembly)
{
	return assembly->tables[OBJECT_DESIRED].complete &&
	       assembly->tables[OBJECT_ENDPOINTS].complete &&
	       assembly->tables[OBJECT_WEIGHTS].complete;
}

static void reject_desired(assembly_t *assembly, uint64_t revision,
			   const char *why)
{
	if (assembly->rejected_revision == revision)
		return;
	assembly->rejected_revision = revision;
	event_log(EVENT_DESIRED_REJECTED, "revision=%llu why=%s",
		  (unsigned long long)revision, why);
}

/* Takes the newest desired state if it is newer than the one in force. */
static int read_desired(assembly_t *assembly)
{
	const object_table_t *table = &assembly->tables[OBJECT_DESIRED];
	const object_row_t *newest = NULL;
	desired_state_t *read = NULL;
	int err;

	for (size_t i = 0; i < table->count; i++) {
		if (!newest || table->rows[i].revision > newest->revision)
			newest = &table->rows[i];
	}
	if (!newest)
		return ERR_NOT_READY;
	if (assembly->desired &&
	    newest->revision <= assembly->desired->revision)
		return 0;
	err = platform_read_desired(newest->spec, newest->revision, &read);
	if (err) {
		reject_desired(assembly, newest->revision, error_type(err));
		return err;
	}
	if (assembly->desired && read->version < assembly->desired->version) {
		reject_desired(assembly, newest->revision, "older_version");
		desired_put(read);
		return 0;
	}
	desired_put(assembly->desired);
	assembly->desired = read;
	return 0;
}

static void take_weights(assembly_t *assembly, const model_weights_t *read,
			 uint64_t now_ms)
{
	named_weights_t *named = NULL;

	for (uint32_t i = 0; i < assembly->weights_count; i++) {
		if (!strcmp(assembly->weights[i].model, read->model))
			named = &assembly->weights[i];
	}
	if (!named) {
		if (assembly->weights_count == VIEW_MODELS_MAX)
			return;
		named = &assembly->weights[assembly->weights_count++];
		memcpy(named->model, read->model, sizeof(named->model));
	}
	named_weights_add(named, read->version, now_ms);
}

static void read_weights(assembly_t *assembly, uint64_t now_ms)
{
	const object_table_t *table = &assembly->tables[OBJECT_WEIGHTS];

	/* The first view shows what was named earlier. */
	if (!assembly->view)
		now_ms -= assembly->named_before_ms;
	for (size_t i = 0; i < table->count; i++) {
		model_weights_t read;

		if (!platform_read_weights(table->rows[i].spec, &read))
			take_weights(assembly, &read, now_ms);
	}
}

static endpoint_load_t *load_of(const assembly_t *assembly,
				const endpoint_entry_t *entry)
{
	const view_t *view = assembly->view;

	for (size_t i = 0; view && i < view->endpoint_count; i++) {
		const endpoint_entry_t *old = &view->endpoints[i];

		if (old->born_ms == entry->born_ms &&
		    !strcmp(old->id, entry->id) &&
		    !strcmp(old->address_text, entry->address_text)) {
			endpoint_load_get(old->load);
			return old->load;
		}
	}
	return endpoint_load_new(entry->id, entry->born_ms);
}

/* Entries that can be read; their number, or ERR_NO_MEMORY. */
static int read_endpoints(assembly_t *assembly, endpoint_entry_t *entries)
{
	const object_table_t *table = &assembly->tables[OBJECT_ENDPOINTS];
	int count = 0;

	for (size_t i = 0; i < table->count; i++) {
		const object_row_t *row = &table->rows[i];
		endpoint_entry_t *entry = &entries[count];

		if (platform_read_endpoint(row->name, row->spec, entry)) {
			event_log(EVENT_ENTRY_REJECTED,
				  "endpoint=%s revision=%llu", row->name,
				  (unsigned long long)row->revision);
			continue;
		}
		entry->revision = row->revision;
		entry->load = load_of(assembly, entry);
		if (!entry->load)
			return ERR_NO_MEMORY;
		count++;
	}
	return count;
}

static int publish_entries(assembly_t *assembly,
			   const endpoint_entry_t *entries, size_t count)
{
	view_t *view = view_new(assembly->desired, entries, count,
				assembly->weights, assembly->weights_count);

	if (!view)
		return ERR_NO_MEMORY;
	view_put(assembly->view);
	urcu_ref_get(&view->ref);
	assembly->view = view;
	view_publish(view);
	event_log(
		EVENT_VIEW_PUBLISHED,
		"desired_version=%llu desired_revision=%llu endpoints=%zu "
		"endpoints_revision=%llu weights=%llu",
		(unsigned long long)assembly->desired->version,
		(unsigned long long)assembly->desired->revision, count,
		(unsigned long long)assembly->tables[OBJECT_ENDPOINTS].revision,
		(unsigned long long)(assembly->weights_count
					     ? assembly->weights[0].versions[0]
					     : 0));
	return 0;
}

int assembly_publish(assembly_t *assembly, uint64_t now_ms)
{
	endpoint_entry_t *entries;
	int count;
	int err;

	if (!assembly_is_complete(assembly))
		return ERR_NOT_READY;
	err = read_desired(assembly);
	if (err && !assembly->desired)
		return err;
	read_weights(assembly, now_ms);
	entries = calloc(assembly->tables[OBJECT_ENDPOINTS].count + 1,
			 sizeof(*entries));
	if (!entries)
		return ERR_NO_MEMORY;
	count = read_endpoints(assembly, entries);
	err = count < 0 ? count
			: publish_entries(assembly, entries, (size_t)count);
	/* The view has references of its own. */
	for (int i = 0; i < count; i++)
		endpoint_load_put(entries[i].load);
	free(entries);
	return err;
}
