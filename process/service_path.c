#include "process/service_path.h"

#include <string.h>

static service_path_t *find_path(const service_paths_t *paths, uint64_t service)
{
	for (size_t i = 0; i < paths->count; i++) {
		if (paths->items[i].service == service)
			return (service_path_t *)&paths->items[i];
	}
	return NULL;
}

static service_path_t *find_or_add_path(service_paths_t *paths,
					uint64_t service)
{
	service_path_t *path = find_path(paths, service);

	if (path || paths->count == SERVICE_PATHS_MAX)
		return path;
	path = &paths->items[paths->count++];
	memset(path, 0, sizeof(*path));
	path->service = service;
	return path;
}

bool service_path_answered(service_paths_t *paths, uint64_t service,
			   uint64_t now_ms)
{
	service_path_t *path = find_or_add_path(paths, service);
	bool was_lost;

	if (!path)
		return false;
	was_lost = path->lost;
	path->answered_ms = now_ms;
	path->failed_count = 0;
	path->lost = false;
	return was_lost;
}

static bool has_failed(const service_path_t *path, uint64_t endpoint)
{
	for (uint32_t i = 0; i < path->failed_count; i++) {
		if (path->failed[i] == endpoint)
			return true;
	}
	return false;
}

static void add_failure(service_path_t *path, uint64_t endpoint,
			uint64_t now_ms)
{
	if (now_ms - path->failed_ms > SERVICE_PATH_FAILURE_TTL_MS)
		path->failed_count = 0;
	path->failed_ms = now_ms;
	if (path->failed_count < SERVICE_PATH_FAILURES &&
	    !has_failed(path, endpoint))
		path->failed[path->failed_count++] = endpoint;
}

bool service_path_failed(service_paths_t *paths, uint64_t service,
			 uint64_t endpoint, size_t endpoints,
			 path_failure_t failure, uint64_t now_ms)
{
	service_path_t *path = find_or_add_path(paths, service);
	size_t needed = endpoints < SERVICE_PATH_FAILURES
				? endpoints
				: SERVICE_PATH_FAILURES;
	uint64_t silence_ms = failure == PATH_LATE
				      ? SERVICE_PATH_LATE_SILENCE_MS
				      : SERVICE_PATH_SILENCE_MS;

	if (!path || path->lost)
		return false;
	add_failure(path, endpoint, now_ms);
	if (path->failed_count < needed ||
	    now_ms - path->answered_ms < silence_ms)
		return false;
	path->lost = true;
	path->probe_interval_ms = SERVICE_PATH_PROBE_MIN_MS;
	path->probe_ms = now_ms + path->probe_interval_ms;
	return true;
}

bool service_path_is_lost(const service_paths_t *paths, uint64_t service)
{
	const service_path_t *path = find_path(paths, service);

	return path && path->lost;
}

bool service_path_take_probe(service_paths_t *paths, uint64_t service,
			     bool repeatable, uint64_t now_ms)
{
	service_path_t *path = find_path(paths, service);
	uint64_t wait_ms = repeatable ? 0 : SERVICE_PATH_PROBE_MAX_MS;

	if (!path || !path->lost || now_ms < path->probe_ms + wait_ms)
		return false;
	path->probe_interval_ms *= 2;
	if (path->probe_interval_ms > SERVICE_PATH_PROBE_MAX_MS)
		path->probe_interval_ms = SERVICE_PATH_PROBE_MAX_MS;
	path->probe_ms = now_ms + path->probe_interval_ms;
	return true;
}

size_t service_path_list_lost(const service_paths_t *paths, uint64_t *services,
			      size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < paths->count && count < max; i++) {
		if (paths->items[i].lost)
			services[count++] = paths->items[i].service;
	}
	return count;
}
