#include "process/endpoint.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "process/cache_index.h"
#include "process/hash.h"

/** Weight of a new sample in smoothed values. */
static const double SAMPLE_WEIGHT = 0.3;
static const double SLOW_START_MIN_SHARE = 0.1;
/** Added to both terms of the slowness ratio to damp it for short times. */
static const double SLOWNESS_OFFSET_MS = 50;
static const double SLOWNESS_MAX = 20;
/** An older observed queue wait is no estimate of the queue now. */
static const uint64_t OBSERVED_MAX_AGE_MS = 2000;

static void update_cache_index_source(endpoint_t *endpoint)
{
	uint64_t key = hash_string(endpoint->weights_version);

	key = hash_rendezvous(key, endpoint->id_hash);
	key = hash_rendezvous(key, endpoint->incarnation);
	endpoint->cache_index_source.id =
		hash_rendezvous(key, endpoint->event_generation);
}

void endpoint_init(endpoint_t *endpoint, uint64_t id_hash)
{
	memset(endpoint, 0, sizeof(*endpoint));
	endpoint->id_hash = id_hash;
	endpoint->slowness = 1;
	endpoint->cache_index_source.expiry_ms = CACHE_INDEX_EXPIRY_START_MS;
	update_cache_index_source(endpoint);
}

/** @return whether the stored text changed */
static bool update_name(char name[ENDPOINT_NAME_MAX_BYTES], const char *value)
{
	if (!value || !strncmp(name, value, ENDPOINT_NAME_MAX_BYTES - 1))
		return false;
	snprintf(name, ENDPOINT_NAME_MAX_BYTES, "%s", value);
	return true;
}

/** Sets the incarnation and, after a restart, resets the previous state. */
static void start_incarnation(endpoint_t *endpoint, uint64_t incarnation,
			      uint64_t now_ms)
{
	bool restarted = endpoint->incarnation != 0;

	endpoint->incarnation = incarnation;
	endpoint->event_seq = 0;
	if (!restarted)
		return;
	endpoint->report_at_ms = 0;
	endpoint->report_seq = 0;
	endpoint->report_tokens = 0;
	memset(endpoint->sent_tokens, 0, sizeof(endpoint->sent_tokens));
	memset(endpoint->observed_at_ms, 0, sizeof(endpoint->observed_at_ms));
	endpoint->slowness = 1;
	endpoint->failures = 0;
	endpoint->ejected_until_ms = 0;
	endpoint->isolated_until_ms = 0;
	endpoint->leaving_reported = false;
	endpoint->slow_start_until_ms = now_ms + ENDPOINT_SLOW_START_MS;
}

bool endpoint_set_identity(endpoint_t *endpoint, uint64_t incarnation,
			   const char *weights_version, uint64_t now_ms)
{
	bool changed = update_name(endpoint->weights_version, weights_version);

	if (incarnation != endpoint->leaving_marked_incarnation)
		endpoint->leaving_marked = false;
	if (incarnation != endpoint->incarnation) {
		start_incarnation(endpoint, incarnation, now_ms);
		changed = true;
	}
	if (changed)
		update_cache_index_source(endpoint);
	return changed;
}

void endpoint_set_role(endpoint_t *endpoint, const char *model,
		       const char *adapter, const char *role)
{
	update_name(endpoint->model, model);
	update_name(endpoint->adapter, adapter);
	update_name(endpoint->role, role);
}

static void set_reported_leaving(endpoint_t *endpoint, bool leaving,
				 uint64_t at_ms)
{
	/* A delayed report must not override a later answer. */
	if (at_ms < endpoint->leaving_reported_at_ms)
		return;
	endpoint->leaving_reported = leaving;
	endpoint->leaving_reported_at_ms = at_ms;
}

void endpoint_apply_report(endpoint_t *endpoint, const engine_load_t *load,
			   uint64_t now_ms)
{
	uint64_t at_ms = now_ms > load->age_ms ? now_ms - load->age_ms : 1;

	if (load->incarnation == endpoint->incarnation &&
	    load->seq < endpoint->report_seq)
		return;
	endpoint_set_identity(endpoint, load->incarnation,
			      load->weights_version, now_ms);
	endpoint_set_role(endpoint, load->model, load->adapter, NULL);
	endpoint->report_seq = load->seq;
	endpoint->report_at_ms = at_ms;
	endpoint->report_running = load->running;
	endpoint->report_queued = load->queued;
	endpoint->report_tokens = (double)load->queued_tokens;
	endpoint->kv_used_blocks = load->kv_used_blocks;
	endpoint->kv_total_blocks = load->kv_total_blocks;
	set_reported_leaving(endpoint, load->leaving, at_ms);
}

bool endpoint_check_events(endpoint_t *endpoint, uint64_t incarnation,
			   uint64_t first_seq, uint64_t next_seq,
			   uint64_t now_ms)
{
	bool first;
	bool follows;

	endpoint_set_identity(endpoint, incarnation, NULL, now_ms);
	first = endpoint->event_seq == 0;
	follows = first || first_seq <= endpoint->event_seq;
	endpoint->event_seq = next_seq;
	if (follows)
		return true;
	endpoint->event_generation++;
	update_cache_index_source(endpoint);
	return false;
}

/** Advances the ring of sent tokens to the current time. */
static void advance_buckets(endpoint_t *endpoint, uint64_t now_ms)
{
	uint64_t bucket = now_ms / ENDPOINT_SENT_BUCKET_MS;

	if (bucket >= endpoint->sent_bucket + ENDPOINT_SENT_BUCKETS) {
		memset(endpoint->sent_tokens, 0, sizeof(endpoint->sent_tokens));
		endpoint->sent_bucket = bucket;
	}
	while (endpoint->sent_bucket < bucket) {
		endpoint->sent_bucket++;
		endpoint->sent_tokens[endpoint->sent_bucket %
				      ENDPOINT_SENT_BUCKETS] = 0;
	}
}

void endpoint_sent(endpoint_t *endpoint, uint32_t tokens, uint64_t now_ms)
{
	advance_buckets(endpoint, now_ms);
	endpoint->sent_tokens[endpoint->sent_bucket % ENDPOINT_SENT_BUCKETS] +=
		tokens;
	endpoint->running++;
	if (!endpoint->waiting++)
		endpoint->waiting_since_ms = now_ms;
}

static double smooth(double old, double sample)
{
	return old + SAMPLE_WEIGHT * (sample - old);
}

static void record_queue_wait(endpoint_t *endpoint, uint32_t urgency,
			      uint32_t queue_ms, uint64_t now_ms)
{
	double *observed = &endpoint->observed_wait_ms[urgency];
	uint64_t *observed_at = &endpoint->observed_at_ms[urgency];

	if (!*observed_at || now_ms - *observed_at > OBSERVED_MAX_AGE_MS)
		*observed = queue_ms;
	else
		*observed = smooth(*observed, queue_ms);
	*observed_at = now_ms;
}

void endpoint_first_token(endpoint_t *endpoint, uint32_t urgency,
			  uint32_t queue_ms, uint32_t compute_ms,
			  uint32_t expected_ms, uint64_t now_ms)
{
	double ratio = (compute_ms + SLOWNESS_OFFSET_MS) /
		       (expected_ms + SLOWNESS_OFFSET_MS);

	if (endpoint->waiting)
		endpoint->waiting--;
	endpoint->waiting_since_ms = now_ms;
	endpoint->failures = 0;
	endpoint->slowness =
		smooth(endpoint->slowness, fmin(ratio, SLOWNESS_MAX));
	if (urgency < ENDPOINT_URGENCY_COUNT)
		record_queue_wait(endpoint, urgency, queue_ms, now_ms);
}

static void eject(endpoint_t *endpoint, rng_t *rng, uint64_t now_ms)
{
	double eject_ms = ENDPOINT_EJECT_MIN_MS;

	/* Requests that fail together cause one ejection. */
	if (now_ms < endpoint->ejected_until_ms)
		return;
	eject_ms = fmin(ldexp(eject_ms, (int)endpoint->ejections),
			ENDPOINT_EJECT_MAX_MS);
	if (endpoint->ejections < 16)
		endpoint->ejections++;
	eject_ms *= 0.75 + 0.5 * rng_unit(rng);
	endpoint->ejected_until_ms = now_ms + (uint64_t)eject_ms;
	endpoint->slow_start_until_ms =
		endpoint->ejected_until_ms + ENDPOINT_SLOW_START_MS;
	endpoint->failures = 0;
}

static void record_success(endpoint_t *endpoint, uint64_t now_ms)
{
	endpoint->failures = 0;
	if (now_ms >= endpoint->slow_start_until_ms)
		endpoint->ejections = 0;
}

void endpoint_ended(endpoint_t *endpoint, endpoint_outcome_t outcome,
		    bool had_first_token, rng_t *rng, uint64_t now_ms)
{
	if (endpoint->running)
		endpoint->running--;
	if (!had_first_token && endpoint->waiting)
		endpoint->waiting--;
	switch (outcome) {
	case ENDPOINT_DONE:
		record_success(endpoint, now_ms);
		break;
	case ENDPOINT_CANCELLED:
		break;
	case ENDPOINT_REFUSED:
		set_reported_leaving(endpoint, true, now_ms);
		break;
	case ENDPOINT_FAILED:
		if (++endpoint->failures >= ENDPOINT_FAILURES_MAX)
			eject(endpoint, rng, now_ms);
		break;
	case ENDPOINT_LOST:
		/* A lost connection usually means that the process died. */
		eject(endpoint, rng, now_ms);
		break;
	}
}

void endpoint_set_leaving(endpoint_t *endpoint, bool leaving)
{
	endpoint->leaving = leaving;
}

void endpoint_mark_leaving(endpoint_t *endpoint, uint64_t incarnation,
			   bool leaving, uint64_t now_ms)
{
	endpoint->leaving_marked = leaving;
	endpoint->leaving_marked_at_ms = now_ms;
	endpoint->leaving_marked_incarnation = incarnation;
}

/**
 * Whether a leaving mark set at `at_ms` still counts. It expires only if no
 * incarnation is known, neither of the mark nor of the endpoint.
 */
static bool is_leaving_mark_valid(const endpoint_t *endpoint,
				  uint64_t incarnation, uint64_t at_ms,
				  uint64_t now_ms)
{
	return incarnation || endpoint->incarnation ||
	       now_ms < at_ms + ENDPOINT_LEAVING_UNKNOWN_MS;
}

bool endpoint_is_observed_leaving(const endpoint_t *endpoint, uint64_t now_ms)
{
	if (endpoint->leaving_marked &&
	    is_leaving_mark_valid(endpoint,
				  endpoint->leaving_marked_incarnation,
				  endpoint->leaving_marked_at_ms, now_ms))
		return true;
	return endpoint->leaving_reported &&
	       is_leaving_mark_valid(endpoint, 0,
				     endpoint->leaving_reported_at_ms, now_ms);
}

void endpoint_isolate(endpoint_t *endpoint, uint64_t now_ms)
{
	endpoint->isolated_until_ms = now_ms + ENDPOINT_ISOLATION_MAX_MS;
}

void endpoint_end_isolation(endpoint_t *endpoint)
{
	endpoint->isolated_until_ms = 0;
}

endpoint_state_t endpoint_state(const endpoint_t *endpoint, uint64_t now_ms)
{
	if (endpoint->leaving || endpoint_is_observed_leaving(endpoint, now_ms))
		return ENDPOINT_LEAVING;
	if (now_ms < endpoint->ejected_until_ms)
		return ENDPOINT_EJECTED;
	if (now_ms < endpoint->isolated_until_ms)
		return ENDPOINT_ISOLATED;
	if (now_ms < endpoint->slow_start_until_ms)
		return ENDPOINT_SLOW_START;
	return ENDPOINT_USABLE;
}

double endpoint_slow_start_share(const endpoint_t *endpoint, uint64_t now_ms)
{
	double left_ms;

	if (now_ms >= endpoint->slow_start_until_ms)
		return 1;
	left_ms = (double)(endpoint->slow_start_until_ms - now_ms);
	return fmax(SLOW_START_MIN_SHARE, 1 - left_ms / ENDPOINT_SLOW_START_MS);
}

static bool has_report(const endpoint_t *endpoint, uint64_t now_ms)
{
	return endpoint->report_at_ms &&
	       now_ms - endpoint->report_at_ms <= ENDPOINT_REPORT_MAX_AGE_MS;
}

bool endpoint_is_busy(const endpoint_t *endpoint, uint64_t now_ms)
{
	if (!has_report(endpoint, now_ms))
		return endpoint->waiting != 0;
	return endpoint->report_queued || endpoint->report_tokens > 0;
}

bool endpoint_is_idle(const endpoint_t *endpoint, uint64_t now_ms)
{
	if (endpoint->running)
		return false;
	return !has_report(endpoint, now_ms) ||
	       (!endpoint->report_running && !endpoint->report_queued);
}

/** Prompt tokens of own requests sent after `since_ms`. */
static double tokens_sent_since(const endpoint_t *endpoint, uint64_t since_ms)
{
	double tokens = 0;

	for (uint64_t i = 0; i < ENDPOINT_SENT_BUCKETS; i++) {
		uint64_t bucket = endpoint->sent_bucket - i;

		if (i > endpoint->sent_bucket ||
		    (bucket + 1) * ENDPOINT_SENT_BUCKET_MS <= since_ms)
			break;
		tokens += endpoint->sent_tokens[bucket % ENDPOINT_SENT_BUCKETS];
	}
	return tokens;
}

static double backlog_ms(const endpoint_t *endpoint, double tokens_per_ms,
			 uint64_t now_ms)
{
	uint64_t since_ms = now_ms > ENDPOINT_REPORT_MAX_AGE_MS
				    ? now_ms - ENDPOINT_REPORT_MAX_AGE_MS
				    : 0;
	double tokens = 0;

	if (tokens_per_ms <= 0)
		return 0;
	if (has_report(endpoint, now_ms)) {
		since_ms = endpoint->report_at_ms;
		tokens = endpoint->report_tokens;
	}
	tokens += tokens_sent_since(endpoint, since_ms);
	return fmax(0, tokens / tokens_per_ms - (double)(now_ms - since_ms));
}

double endpoint_expected_wait_ms(const endpoint_t *endpoint, uint32_t urgency,
				 uint32_t prefill_tokens_per_s, uint64_t now_ms)
{
	double wait_ms =
		backlog_ms(endpoint, prefill_tokens_per_s / 1000.0, now_ms);
	uint64_t observed_at = urgency < ENDPOINT_URGENCY_COUNT
				       ? endpoint->observed_at_ms[urgency]
				       : 0;

	if (observed_at && observed_at > endpoint->report_at_ms &&
	    now_ms - observed_at <= OBSERVED_MAX_AGE_MS) {
		double observed = endpoint->observed_wait_ms[urgency] -
				  (double)(now_ms - observed_at);

		wait_ms = (wait_ms + fmax(0, observed)) / 2;
	}
	if (endpoint->slowness > 1)
		wait_ms *= endpoint->slowness;
	if (endpoint->waiting &&
	    now_ms > endpoint->waiting_since_ms + ENDPOINT_STALL_MS)
		wait_ms = fmax(wait_ms,
			       (double)(now_ms - endpoint->waiting_since_ms));
	return wait_ms;
}

const char *endpoint_state_name(endpoint_state_t state)
{
	switch (state) {
	case ENDPOINT_USABLE:
		return "usable";
	case ENDPOINT_SLOW_START:
		return "slow_start";
	case ENDPOINT_EJECTED:
		return "ejected";
	case ENDPOINT_LEAVING:
		return "leaving";
	case ENDPOINT_ISOLATED:
		return "isolated";
	}
	return "unknown";
}
