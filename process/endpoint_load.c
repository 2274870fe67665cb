#include "process/endpoint_load.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

#include "process/hash.h"

/** Scale of endpoint_load_t::error_rate. */
#define RATE_ONE 1024U

endpoint_load_t *endpoint_load_new(const char *id, uint64_t born_ms)
{
	endpoint_load_t *load = calloc(1, sizeof(*load));

	if (!load)
		return NULL;
	urcu_ref_init(&load->ref);
	strncpy(load->id, id, sizeof(load->id) - 1);
	load->born_ms = born_ms;
	load->id_hash = hash_string(load->id);
	return load;
}

static void load_free(struct urcu_ref *ref)
{
	free(caa_container_of(ref, endpoint_load_t, ref));
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

static void add_sample(endpoint_load_t *load, uint32_t sample)
{
	uint32_t rate = atomic_load(&load->error_rate);

	rate = (rate * (RATE_ONE - ENDPOINT_ERROR_WEIGHT) +
		sample * ENDPOINT_ERROR_WEIGHT) /
	       RATE_ONE;
	atomic_store(&load->error_rate, rate);
}

void endpoint_load_succeeded(endpoint_load_t *load, uint64_t now_ms)
{
	atomic_store(&load->last_byte_ms, now_ms);
	atomic_store(&load->failures, 0);
	atomic_store(&load->ejections, 0);
	atomic_store(&load->ejected_until_ms, 0);
	add_sample(load, 0);
}

bool endpoint_load_peer_failed(endpoint_load_t *load, uint32_t ejected_ms,
			       uint64_t now_ms)
{
	uint64_t until_ms;

	if (now_ms - atomic_load(&load->last_byte_ms) < ENDPOINT_DOUBT_MS)
		return false;
	if (ejected_ms > ENDPOINT_EJECT_MAX_MS)
		ejected_ms = ENDPOINT_EJECT_MAX_MS;
	until_ms = now_ms + ejected_ms;
	if (until_ms > atomic_load(&load->ejected_until_ms))
		atomic_store(&load->ejected_until_ms, until_ms);
	return true;
}

bool endpoint_load_failed(endpoint_load_t *load, failure_weight_t weight,
			  uint64_t now_ms)
{
	uint32_t count = weight == FAILURE_DOWN ? ENDPOINT_FAILURES_MAX : 1;
	uint32_t failures = atomic_fetch_add(&load->failures, count) + count;
	uint64_t time_ms = ENDPOINT_EJECT_MIN_MS;
	uint32_t ejections;

	add_sample(load, RATE_ONE);
	if (failures < ENDPOINT_FAILURES_MAX ||
	    now_ms < atomic_load(&load->ejected_until_ms))
		return false;
	ejections = atomic_fetch_add(&load->ejections, 1);
	while (ejections-- && time_ms < ENDPOINT_EJECT_MAX_MS)
		time_ms *= 2;
	if (time_ms > ENDPOINT_EJECT_MAX_MS)
		time_ms = ENDPOINT_EJECT_MAX_MS;
	atomic_store(&load->ejected_until_ms, now_ms + time_ms);
	return true;
}
