#include "process/endpoint_load.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

#include "process/hash.h"

/** Scale of endpoint_load_t::error_rate. */
#define ERROR_RATE_SCALE 1024U

endpoint_load_t *endpoint_load_new(const char *id, uint64_t started_unix_ms)
{
	endpoint_load_t *load = calloc(1, sizeof(*load));

	if (!load)
		return NULL;
	urcu_ref_init(&load->ref);
	load->id = strdup(id);
	if (!load->id) {
		free(load);
		return NULL;
	}
	load->started_unix_ms = started_unix_ms;
	load->id_hash = hash_string(id);
	load->limit = ENDPOINT_UNLIMITED;
	load->refusals_max = ENDPOINT_UNLIMITED;
	return load;
}

static void load_free(struct urcu_ref *ref)
{
	endpoint_load_t *load = caa_container_of(ref, endpoint_load_t, ref);

	free(load->id);
	free(load);
}

void endpoint_load_get(endpoint_load_t *load)
{
	urcu_ref_get(&load->ref);
}

void endpoint_load_put(endpoint_load_t *load)
{
	if (load)
		urcu_ref_put(&load->ref, load_free);
}

static void update_error_rate(endpoint_load_t *load, uint32_t sample)
{
	uint32_t rate = atomic_load(&load->error_rate);

	rate = (rate * (ERROR_RATE_SCALE - ENDPOINT_LOAD_ERROR_WEIGHT) +
		sample * ENDPOINT_LOAD_ERROR_WEIGHT) /
	       ERROR_RATE_SCALE;
	atomic_store(&load->error_rate, rate);
}

void endpoint_load_succeeded(endpoint_load_t *load, uint64_t now_ms)
{
	atomic_store(&load->last_byte_ms, now_ms);
	atomic_store(&load->failures, 0);
	atomic_store(&load->ejections, 0);
	atomic_store(&load->ejected_until_ms, 0);
	update_error_rate(load, 0);
}

void endpoint_load_avoid(endpoint_load_t *load, uint64_t until_ms)
{
	uint64_t current_ms = atomic_load(&load->loading_until_ms);

	while (current_ms < until_ms &&
	       !atomic_compare_exchange_weak(&load->loading_until_ms,
					     &current_ms, until_ms))
		;
}

bool endpoint_load_set_limit(endpoint_load_t *load, uint32_t limit,
			     uint64_t known_ms)
{
	if (known_ms < atomic_load(&load->limit_known_ms))
		return false;
	atomic_store(&load->limit_known_ms, known_ms);
	return atomic_exchange(&load->limit, limit) != limit;
}

bool endpoint_load_peer_failed(endpoint_load_t *load, uint32_t ejected_ms,
			       uint64_t now_ms)
{
	uint64_t known_until_ms = atomic_load(&load->ejected_until_ms);
	uint64_t ejected_until_ms;

	if (now_ms - atomic_load(&load->last_byte_ms) <
	    ENDPOINT_LOAD_TRUST_OWN_MS)
		return false;
	if (ejected_ms > ENDPOINT_LOAD_EJECT_MAX_MS)
		ejected_ms = ENDPOINT_LOAD_EJECT_MAX_MS;
	ejected_until_ms = now_ms + ejected_ms;
	if (ejected_until_ms > known_until_ms)
		atomic_store(&load->ejected_until_ms, ejected_until_ms);
	return known_until_ms <= now_ms;
}

bool endpoint_load_ejection_is_first(const endpoint_load_t *load,
				     uint64_t now_ms)
{
	uint64_t ejected_until_ms = atomic_load(&load->ejected_until_ms);

	return !ejected_until_ms ||
	       now_ms >= ejected_until_ms + ENDPOINT_LOAD_EJECT_MAX_MS;
}

void endpoint_load_continue_ejection(endpoint_load_t *load, uint64_t ejected_ms)
{
	uint64_t next_ms = ENDPOINT_LOAD_EJECT_MIN_MS;
	uint32_t ejections = 0;

	for (; next_ms <= ejected_ms && next_ms < ENDPOINT_LOAD_EJECT_MAX_MS;
	     next_ms *= 2)
		ejections++;
	if (ejections > atomic_load(&load->ejections))
		atomic_store(&load->ejections, ejections);
}

bool endpoint_load_failed(endpoint_load_t *load, failure_severity_t severity,
			  uint64_t now_ms)
{
	uint32_t count =
		severity == FAILURE_UNREACHABLE || severity == FAILURE_REFUSED
			? ENDPOINT_LOAD_FAILURES_MAX
			: 1;
	uint32_t failures = atomic_fetch_add(&load->failures, count) + count;
	uint64_t ejected_ms = ENDPOINT_LOAD_EJECT_MIN_MS;
	uint32_t ejections;

	update_error_rate(load, ERROR_RATE_SCALE);
	if (failures < ENDPOINT_LOAD_FAILURES_MAX ||
	    now_ms < atomic_load(&load->ejected_until_ms))
		return false;
	ejections = atomic_fetch_add(&load->ejections, 1);
	while (ejections-- && ejected_ms < ENDPOINT_LOAD_EJECT_MAX_MS)
		ejected_ms *= 2;
	if (ejected_ms > ENDPOINT_LOAD_EJECT_MAX_MS)
		ejected_ms = ENDPOINT_LOAD_EJECT_MAX_MS;
	atomic_store(&load->ejected_until_ms, now_ms + ejected_ms);
	return true;
}
