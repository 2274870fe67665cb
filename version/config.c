#include "version/config.h"

#include <glib.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "process/cleanup.h"
#include "process/metrics.h"

/** The current version, protected by RCU. */
static config_t *published;
static pthread_mutex_t publish_lock = PTHREAD_MUTEX_INITIALIZER;

static void free_config(config_t *config)
{
	for (size_t i = 0; config->customers && i < config->customer_count; i++)
		free(config->customers[i].pools);
	for (size_t i = 0; config->pools && i < config->pool_count; i++)
		free(config->pools[i].endpoints);
	for (size_t i = 0; config->urgencies && i < config->urgency_count;
	     i++) {
		free(config->urgencies[i].rules);
		if (config->urgencies[i].zone)
			g_time_zone_unref(config->urgencies[i].zone);
	}
	free(config->customers);
	free(config->endpoints);
	free(config->pools);
	free(config->models);
	free(config->routes);
	free(config->urgencies);
	json_decref(config->objects);
	free(config);
}

config_t *config_acquire(void)
{
	config_t *config;

	rcu_read_lock();
	config = rcu_dereference(published);
	/* The publisher drops its reference only after a grace period. */
	if (config)
		uatomic_inc(&config->refcount);
	rcu_read_unlock();
	return config;
}

void config_release(config_t *config)
{
	if (config && !uatomic_add_return(&config->refcount, -1))
		free_config(config);
}

/** Returns the version to release: the old one, or `config` if rejected. */
static config_t *swap_published(config_t *config)
{
	SCOPED_LOCK(lock, &publish_lock);
	config_t *old = published;

	if (old && old->position >= config->position)
		return config;
	rcu_assign_pointer(published, config);
	metrics_set(METRIC_CONFIG_POSITION, (int64_t)config->position);
	return old;
}

bool config_publish(config_t *config)
{
	config_t *replaced = swap_published(config);

	if (replaced == config) {
		config_release(config);
		return false;
	}
	if (replaced)
		synchronize_rcu();
	config_release(replaced);
	return true;
}

static int compare_ids(const void *a, const void *b)
{
	/* Every object struct starts with its id. */
	return strcmp(a, b);
}

static int32_t find_id(const void *array, size_t count, size_t size,
		       const char *id)
{
	const char *found =
		count ? bsearch(id, array, count, size, compare_ids) : NULL;

	if (!found)
		return CONFIG_NONE;
	return (int32_t)((size_t)(found - (const char *)array) / size);
}

int32_t config_find_customer(const config_t *config, const char *id)
{
	return find_id(config->customers, config->customer_count,
		       sizeof(*config->customers), id);
}

int32_t config_find_endpoint(const config_t *config, const char *id)
{
	return find_id(config->endpoints, config->endpoint_count,
		       sizeof(*config->endpoints), id);
}

int32_t config_find_pool(const config_t *config, const char *id)
{
	return find_id(config->pools, config->pool_count,
		       sizeof(*config->pools), id);
}

int32_t config_find_model(const config_t *config, const char *id)
{
	return find_id(config->models, config->model_count,
		       sizeof(*config->models), id);
}

int32_t config_find_route(const config_t *config, const char *id)
{
	return find_id(config->routes, config->route_count,
		       sizeof(*config->routes), id);
}

int32_t config_find_urgency(const config_t *config, const char *id)
{
	return find_id(config->urgencies, config->urgency_count,
		       sizeof(*config->urgencies), id);
}

int32_t config_find_customer_by_key(const config_t *config, const char *api_key)
{
	char digest[HASH_DIGEST_HEX_BYTES];
	int32_t found = CONFIG_NONE;

	hash_digest_hex(api_key, strlen(api_key), digest);
	/* Compares with all keys in constant time, so that the duration does
	 * not reveal which customer matches or how many characters do. */
	for (size_t i = 0; i < config->customer_count; i++) {
		if (!sodium_memcmp(digest, config->customers[i].key_digest,
				   sizeof(digest)))
			found = (int32_t)i;
	}
	return found;
}

bool config_customer_has_pool(const config_customer_t *customer, int32_t pool)
{
	for (size_t i = 0; i < customer->pool_count; i++) {
		if (customer->pools[i] == pool)
			return true;
	}
	return false;
}

int32_t config_find_customer_model(const config_t *config,
				   const config_customer_t *customer,
				   const char *model)
{
	for (size_t i = 0; *model && i < customer->pool_count; i++) {
		int32_t pool = customer->pools[i];

		if (!strcmp(config->pools[pool].model, model))
			return pool;
	}
	return CONFIG_NONE;
}

bool config_route_is_idempotent(const config_route_t *route, const char *method)
{
	const char *at = route->idempotent_methods;
	size_t len = strlen(method);

	while (len && *at) {
		size_t word = strcspn(at, ",");

		if (word == len && !strncmp(at, method, len))
			return true;
		at += word;
		at += *at == ',';
	}
	return false;
}

static int local_hour(const config_urgency_t *urgency, int64_t now_unix_s)
{
	int interval = g_time_zone_find_interval(
		urgency->zone, G_TIME_TYPE_UNIVERSAL, now_unix_s);
	int64_t offset_s = g_time_zone_get_offset(urgency->zone, interval);
	int64_t day_s = (now_unix_s + offset_s) % 86400;

	return (int)((day_s < 0 ? day_s + 86400 : day_s) / 3600);
}

static bool rule_matches(const config_urgency_rule_t *rule, const char *kind,
			 int hour)
{
	if (*rule->kind && strcmp(rule->kind, kind) != 0)
		return false;
	if (rule->from_hour < rule->to_hour)
		return hour >= rule->from_hour && hour < rule->to_hour;
	return hour >= rule->from_hour || hour < rule->to_hour;
}

urgency_class_t config_urgency(const config_t *config,
			       const config_customer_t *customer,
			       const char *kind, int64_t now_unix_s)
{
	const config_urgency_t *urgency;
	int hour;

	if (customer->urgency == CONFIG_NONE)
		return URGENCY_NORMAL;
	urgency = &config->urgencies[customer->urgency];
	hour = local_hour(urgency, now_unix_s);
	for (size_t i = 0; i < urgency->rule_count; i++) {
		if (rule_matches(&urgency->rules[i], kind, hour))
			return urgency->rules[i].urgency;
	}
	return urgency->fallback;
}

const char *urgency_name(urgency_class_t urgency)
{
	switch (urgency) {
	case URGENCY_URGENT:
		return "urgent";
	case URGENCY_NORMAL:
		return "normal";
	case URGENCY_DEFERRABLE:
		return "deferrable";
	case URGENCY_COUNT:
		break;
	}
	return "unknown";
}
