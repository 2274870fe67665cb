/**
 * @file
 * Whether this instance has lost the network paths to the endpoints of a
 * service. Pure logic: no I/O, clock or locks.
 *
 * The paths count as lost when several endpoints have failed in a row and none
 * has answered since the first of these failures: endpoints fail one by one,
 * while a cut between this instance and them shows at all of them. While they
 * are lost, a request is let through from time to time as a probe; any answer
 * shows that the paths are back.
 */
#ifndef PROCESS_SERVICE_PATH_H
#define PROCESS_SERVICE_PATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Services that are tracked; the paths to others are never lost. */
	SERVICE_PATHS_MAX = 64,
	/** Different endpoints that must have failed, fewer if the service has
	 * fewer. */
	SERVICE_PATH_FAILURES = 4,
	/** Least time without an answer, ms: several round trips; and if the
	 * last failure is only that an answer is late. */
	SERVICE_PATH_SILENCE_MS = 100,
	SERVICE_PATH_LATE_SILENCE_MS = 1500,
	/** Time until the first probe, ms; it doubles with each further one. */
	SERVICE_PATH_PROBE_MIN_MS = 250,
	SERVICE_PATH_PROBE_MAX_MS = 1000,
	/** Failures that are older than this do not count, ms. */
	SERVICE_PATH_FAILURE_TTL_MS = 5000,
};

typedef struct service_path {
	uint64_t service; /**< Hash of its name; 0: free. */
	uint64_t answered_ms;
	/** Endpoints that failed since the last answer. */
	uint64_t failed[SERVICE_PATH_FAILURES];
	uint32_t failed_count;
	uint64_t failed_ms; /**< Of the last failure. */
	bool lost;
	uint64_t probe_ms; /**< When the next probe is due. */
	uint32_t probe_interval_ms;
} service_path_t;

/** Zeroed at the start; owned by the calling code. */
typedef struct service_paths {
	service_path_t items[SERVICE_PATHS_MAX];
	size_t count;
} service_paths_t;

/**
 * Records that an endpoint of the service has answered.
 * @return whether the paths count no longer as lost by this
 */
bool service_path_answered(service_paths_t *paths, uint64_t service,
			   uint64_t now_ms);

/** What an attempt shows of the path to its endpoint. */
typedef enum path_failure {
	/** It could not be reached, or the connection broke before it
	 * answered. */
	PATH_BROKEN,
	PATH_LATE, /**< Its answer is late. */
} path_failure_t;

/**
 * Records a failed attempt.
 * @param endpoints number of endpoints that the service has
 * @return whether the paths count as lost by this
 */
bool service_path_failed(service_paths_t *paths, uint64_t service,
			 uint64_t endpoint, size_t endpoints,
			 path_failure_t failure, uint64_t now_ms);

bool service_path_is_lost(const service_paths_t *paths, uint64_t service);

/**
 * Whether a request may be sent as a probe now; it is counted at once.
 * @param repeatable others are sent only if no such request has come for long
 */
bool service_path_take_probe(service_paths_t *paths, uint64_t service,
			     bool repeatable, uint64_t now_ms);

/** Lists the services whose paths are lost; returns how many they are. */
size_t service_path_list_lost(const service_paths_t *paths, uint64_t *services,
			      size_t max);

#endif
