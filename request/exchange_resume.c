#include <string.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "request/exchange_job.h"

/* Time within which a client can resume a stream after its request, ms: it
 * resumes with the time that it had left. */
static uint64_t resume_limit_ms(const exchange_t *exchange)
{
	uint64_t limit_ms = exchange->route->timeout_ms;

	return exchange->headers.deadline_ms > limit_ms
		       ? exchange->headers.deadline_ms
		       : limit_ms;
}

static uint64_t stream_id(const exchange_t *exchange)
{
	const request_headers_t *headers = &exchange->headers;
	const char *id =
		headers->resumed_id ? headers->resumed_id : headers->id;
	uint64_t hash = id ? hash_string(id) : 0;

	return hash ? hash : 1;
}

/* The only version that the endpoints of the service have. */
static uint32_t only_software(const exchange_t *exchange)
{
	const view_group_t *group = &exchange->view->groups[exchange->service];
	uint32_t software = SOFTWARE_UNKNOWN;

	for (size_t i = 0; i < group->count; i++) {
		if (software != SOFTWARE_UNKNOWN &&
		    group->entries[i]->software != software)
			return SOFTWARE_UNKNOWN;
		software = group->entries[i]->software;
	}
	return software;
}

static void place_resumed(exchange_t *exchange, uint32_t software,
			  const char *source)
{
	event_log(EVENT_STREAM_RESUMED,
		  "id=%s stream=%016llx software=%08x source=%s after=%llu",
		  exchange->id, (unsigned long long)exchange->stream_id,
		  software, source, (unsigned long long)exchange->last_event);
	exchange->software = software;
	if (software == SOFTWARE_UNKNOWN)
		exchange_refuse(exchange, ERR_STREAM_UNKNOWN);
	else
		exchange_place(exchange);
}

/* The version, if it is known here or there can be no other. */
static uint32_t known_software(const exchange_t *exchange, const char **source)
{
	const exchange_env_t *env = exchange->env;
	uint64_t now_ms = clock_now_ms();
	const stream_row_t *row =
		stream_table_find(&env->streams, exchange->stream_id, now_ms);

	*source = row ? "own" : "only";
	if (row)
		return row->software;
	return clock_boot_ms() <
			       atomic_load(&env->stream_policy->single_until_ms)
		       ? only_software(exchange)
		       : SOFTWARE_UNKNOWN;
}

static uint32_t check_lookup(const stream_lookup_t *lookup)
{
	const exchange_t *exchange =
		caa_container_of(lookup, exchange_t, lookup);
	const char *source;

	return known_software(exchange, &source);
}

static void on_lookup_done(stream_lookup_t *lookup, uint32_t software)
{
	exchange_t *exchange = caa_container_of(lookup, exchange_t, lookup);
	int err = exchange_refresh_view(exchange);

	if (err) {
		exchange_refuse(exchange, err);
		return;
	}
	place_resumed(exchange, software,
		      software == SOFTWARE_UNKNOWN ? "none" : "lookup");
}

void exchange_resume(exchange_t *exchange)
{
	exchange_env_t *env = exchange->env;
	const char *source;
	uint32_t software;

	exchange->stream_id = stream_id(exchange);
	software = known_software(exchange, &source);
	if (software != SOFTWARE_UNKNOWN) {
		place_resumed(exchange, software, source);
		return;
	}
	exchange->lookup.id = exchange->stream_id;
	exchange->lookup.check = check_lookup;
	exchange->lookup.done = on_lookup_done;
	exchange_arm_timer(exchange);
	stream_lookup_start(&env->stream_lookups, &exchange->lookup,
			    !atomic_load(&env->stream_policy->complete));
}

void exchange_record_stream(exchange_t *exchange)
{
	exchange_env_t *env = exchange->env;
	stream_row_t row;

	if (exchange->recorded || exchange->software == SOFTWARE_UNKNOWN ||
	    !exchange_is_repeatable(exchange) ||
	    !atomic_load(&env->stream_policy->record))
		return;
	if (!exchange->stream_id)
		exchange->stream_id = stream_id(exchange);
	row = (stream_row_t){
		.id = exchange->stream_id,
		.software = exchange->software,
		.expires_ms = exchange->started_ms + resume_limit_ms(exchange),
	};
	exchange->recorded = true;
	stream_table_put(&env->streams, &row);
	stream_ring_put(env->own_streams, &row);
}

void exchange_forget_stream(exchange_t *exchange)
{
	stream_row_t row = { .id = exchange->stream_id };

	if (!exchange->recorded)
		return;
	stream_table_remove(&exchange->env->streams, row.id);
	stream_ring_put(exchange->env->own_streams, &row);
}

void exchange_tick_streams(exchange_env_t *env)
{
	bool records = atomic_load(&env->stream_policy->record);
	exchange_t *exchange;

	stream_table_expire(&env->streams, clock_now_ms());
	if (records && !env->records_streams) {
		LIST_FOREACH(exchange, &env->open, entry)
		exchange_record_stream(exchange);
	}
	env->records_streams = records;
}
