#include "version/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>
#include <urcu/compiler.h>

#include "process/error.h"

static view_t *published;

static void view_free(struct urcu_ref *ref)
{
	view_t *view = caa_container_of(ref, view_t, ref);

	for (size_t i = 0; i < view->endpoint_count; i++)
		endpoint_load_put(view->endpoints[i].load);
	for (size_t i = 0; i < view->weights_count; i++)
		free(view->weights[i].model);
	desired_put(view->desired);
	free(view->weights);
	free(view->texts);
	free(view->models);
	free(view->endpoints);
	free(view->groups);
	free(view->grouped);
	free(view->grouped_hashes);
	free(view);
}

void view_put(view_t *view)
{
	if (view)
		urcu_ref_put(&view->ref, view_free);
}

static void group_endpoints(view_t *view)
{
	size_t used = 0;

	for (size_t s = 0; s < view->desired->service_count; s++) {
		const char *name = view->desired->services[s].name;
		view_group_t *group = &view->groups[s];

		group->entries = view->grouped + used;
		group->id_hashes = view->grouped_hashes + used;
		for (size_t i = 0; i < view->endpoint_count; i++) {
			const endpoint_entry_t *entry = &view->endpoints[i];

			if (strcmp(entry->service, name) != 0)
				continue;
			view->grouped[used] = entry;
			view->grouped_hashes[used++] = entry->load->id_hash;
		}
		group->count = (size_t)(view->grouped + used - group->entries);
	}
}

static size_t text_bytes(const endpoint_entry_t *entry)
{
	size_t bytes = strlen(entry->id) + strlen(entry->service) +
		       strlen(entry->domain) + strlen(entry->address_text) +
		       strlen(entry->software_name) + 5;

	for (uint32_t i = 0; i < entry->model_count; i++)
		bytes += strlen(entry->models[i].model) + 1;
	return bytes;
}

/* Copies a text to `*end` and moves `*end` behind it. */
static const char *append_text(char **end, const char *text)
{
	char *copy = *end;

	*end = stpcpy(copy, text) + 1;
	return copy;
}

static void copy_endpoint(view_t *view, const endpoint_entry_t *from,
			  char **texts_end, model_weights_t **models_end)
{
	endpoint_entry_t *entry = &view->endpoints[view->endpoint_count++];

	*entry = *from;
	entry->id = append_text(texts_end, from->id);
	entry->service = append_text(texts_end, from->service);
	entry->domain = append_text(texts_end, from->domain);
	entry->address_text = append_text(texts_end, from->address_text);
	entry->software_name = append_text(texts_end, from->software_name);
	entry->models = *models_end;
	for (uint32_t i = 0; i < from->model_count; i++)
		*(*models_end)++ = (model_weights_t){
			append_text(texts_end, from->models[i].model),
			from->models[i].version,
		};
	endpoint_load_get(entry->load);
}

static int copy_endpoints(view_t *view, const endpoint_entry_t *endpoints,
			  size_t count)
{
	size_t bytes = 0;
	size_t model_count = 0;
	char *texts_end;
	model_weights_t *models_end;

	for (size_t i = 0; i < count; i++) {
		bytes += text_bytes(&endpoints[i]);
		model_count += endpoints[i].model_count;
	}
	/* One more, so that none of the sizes is 0. */
	view->endpoints = calloc(count + 1, sizeof(*endpoints));
	view->texts = malloc(bytes + 1);
	view->models = calloc(model_count + 1, sizeof(*view->models));
	if (!view->endpoints || !view->texts || !view->models)
		return ERR_NO_MEMORY;
	texts_end = view->texts;
	models_end = view->models;
	for (size_t i = 0; i < count; i++)
		copy_endpoint(view, &endpoints[i], &texts_end, &models_end);
	return 0;
}

static int copy_weights(view_t *view, const target_weights_t *weights,
			size_t count)
{
	view->weights = calloc(count + 1, sizeof(*weights));
	if (!view->weights)
		return ERR_NO_MEMORY;
	for (size_t i = 0; i < count; i++) {
		view->weights[i] = weights[i];
		view->weights[i].model = strdup(weights[i].model);
		view->weights_count++;
		if (!view->weights[i].model)
			return ERR_NO_MEMORY;
	}
	return 0;
}

view_t *view_new(desired_state_t *desired, const endpoint_entry_t *endpoints,
		 size_t endpoint_count, const target_weights_t *weights,
		 size_t weights_count)
{
	view_t *view = calloc(1, sizeof(*view));

	if (!view)
		return NULL;
	urcu_ref_init(&view->ref);
	view->groups =
		calloc(desired->service_count + 1, sizeof(*view->groups));
	view->grouped = calloc(endpoint_count + 1, sizeof(endpoint_entry_t *));
	view->grouped_hashes =
		calloc(endpoint_count + 1, sizeof(*view->grouped_hashes));
	if (!view->groups || !view->grouped || !view->grouped_hashes ||
	    copy_endpoints(view, endpoints, endpoint_count) ||
	    copy_weights(view, weights, weights_count)) {
		view_free(&view->ref);
		return NULL;
	}
	desired_get(desired);
	view->desired = desired;
	group_endpoints(view);
	return view;
}

void view_publish(view_t *view)
{
	view_t *old = rcu_xchg_pointer(&published, view);

	if (old) {
		synchronize_rcu();
		view_put(old);
	}
}

view_t *view_acquire(void)
{
	view_t *view;

	rcu_read_lock();
	view = rcu_dereference(published);
	if (view)
		urcu_ref_get(&view->ref);
	rcu_read_unlock();
	return view;
}

const target_weights_t *view_weights(const view_t *view, const char *model)
{
	for (size_t i = 0; i < view->weights_count; i++) {
		if (!strcmp(view->weights[i].model, model))
			return &view->weights[i];
	}
	return NULL;
}

void target_weights_add(target_weights_t *target, uint64_t version,
			uint64_t now_ms)
{
	uint32_t kept = target->count < VIEW_TARGET_VERSIONS_MAX
				? target->count
				: VIEW_TARGET_VERSIONS_MAX - 1;

	if (target->count && version <= target->versions[0])
		return;
	/* The two oldest become one, known since the older one was set, so that
	 * the time limit for the weights before them does not start again. */
	if (kept < target->count)
		target->known_since_ms[kept - 1] = target->known_since_ms[kept];
	memmove(target->versions + 1, target->versions,
		kept * sizeof(target->versions[0]));
	memmove(target->known_since_ms + 1, target->known_since_ms,
		kept * sizeof(target->known_since_ms[0]));
	target->versions[0] = version;
	target->known_since_ms[0] = now_ms;
	target->count = kept + 1;
}

uint64_t target_weights_outdated_ms(const target_weights_t *target,
				    uint64_t version, uint64_t now_ms)
{
	uint64_t outdated_ms = 0;

	for (uint32_t i = 0; i < target->count; i++) {
		if (target->versions[i] > version)
			outdated_ms = now_ms - target->known_since_ms[i];
	}
	return outdated_ms;
}

void endpoint_incarnation_key(const endpoint_entry_t *endpoint, char *key,
			      size_t size)
{
	snprintf(key, size, "%llx/%llx",
		 (unsigned long long)endpoint->load->id_hash,
		 (unsigned long long)endpoint->started_unix_ms);
}

uint64_t endpoint_weights(const endpoint_entry_t *endpoint, const char *model)
{
	uint64_t observed = atomic_load(&endpoint->load->observed_weights);

	for (uint32_t i = 0; i < endpoint->model_count; i++) {
		const model_weights_t *weights = &endpoint->models[i];

		if (strcmp(weights->model, model) != 0)
			continue;
		return endpoint->model_count == 1 && observed > weights->version
			       ? observed
			       : weights->version;
	}
	return 0;
}
