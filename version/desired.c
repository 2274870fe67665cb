#include "version/desired.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu/compiler.h>

#include "process/error.h"
#include "process/hash.h"

desired_state_t *desired_new(void)
{
	desired_state_t *state = calloc(1, sizeof(*state));

	if (state)
		urcu_ref_init(&state->ref);
	return state;
}

static void free_keys(desired_state_t *state)
{
	for (size_t i = 0; i < state->bucket_count; i++) {
		desired_key_t *key = state->key_buckets[i];

		while (key) {
			desired_key_t *next = key->next;

			free(key->text);
			free(key);
			key = next;
		}
	}
	free(state->key_buckets);
}

static void desired_free(struct urcu_ref *ref)
{
	desired_state_t *state = caa_container_of(ref, desired_state_t, ref);

	for (size_t i = 0; i < state->route_count; i++) {
		free(state->routes[i].name);
		free(state->routes[i].host);
		free(state->routes[i].path_prefix);
		free(state->routes[i].splits);
	}
	for (size_t i = 0; i < state->service_count; i++) {
		free(state->services[i].name);
		free(state->services[i].domain);
		free(state->services[i].cache_address);
	}
	for (size_t i = 0; i < state->customer_count; i++)
		free(state->customers[i].name);
	free_keys(state);
	free(state->routes);
	free(state->services);
	free(state->customers);
	free(state);
}

void desired_get(desired_state_t *state)
{
	urcu_ref_get(&state->ref);
}

void desired_put(desired_state_t *state)
{
	if (state)
		urcu_ref_put(&state->ref, desired_free);
}

int desired_reserve_keys(desired_state_t *state, size_t count)
{
	size_t buckets = 16;

	while (buckets < count * 2)
		buckets *= 2;
	state->key_buckets = calloc(buckets, sizeof(desired_key_t *));
	if (!state->key_buckets)
		return ERR_NO_MEMORY;
	state->bucket_count = buckets;
	return 0;
}

int desired_add_key(desired_state_t *state, const char *text, uint32_t customer)
{
	size_t bucket = hash_string(text) & (state->bucket_count - 1);
	desired_key_t *key = calloc(1, sizeof(*key));

	if (!key)
		return ERR_NO_MEMORY;
	key->text = strdup(text);
	if (!key->text) {
		free(key);
		return ERR_NO_MEMORY;
	}
	key->customer = customer;
	key->next = state->key_buckets[bucket];
	state->key_buckets[bucket] = key;
	return 0;
}

const desired_customer_t *desired_find_key(const desired_state_t *state,
					   const char *text)
{
	const desired_key_t *key;

	if (!state->bucket_count)
		return NULL;
	key = state->key_buckets[hash_string(text) & (state->bucket_count - 1)];
	for (; key; key = key->next) {
		if (!strcmp(key->text, text))
			return &state->customers[key->customer];
	}
	return NULL;
}

static bool host_matches(const char *wanted, const char *host)
{
	size_t len = strlen(wanted);

	return !strncasecmp(wanted, host, len) &&
	       (host[len] == '\0' || host[len] == ':');
}

const desired_route_t *desired_find_route(const desired_state_t *state,
					  const char *host, const char *target)
{
	const desired_route_t *best = NULL;
	size_t path_len = strcspn(target, "?#");
	size_t best_len = 0;

	for (size_t i = 0; i < state->route_count; i++) {
		const desired_route_t *route = &state->routes[i];
		size_t len = strlen(route->path_prefix);

		if (len < best_len || len > path_len ||
		    (best && len == best_len))
			continue;
		if (strncmp(route->path_prefix, target, len) != 0 ||
		    !host_matches(route->host, host))
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

uint32_t desired_pick_service(const desired_route_t *route,
			      uint64_t random_value)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < route->split_count; i++)
		total += route->splits[i].weight;
	if (!total)
		return route->splits[0].service;
	random_value %= total;
	for (uint32_t i = 0; i < route->split_count; i++) {
		if (random_value < route->splits[i].weight)
			return route->splits[i].service;
		random_value -= route->splits[i].weight;
	}
	return route->splits[0].service;
}
