#include "process/planned_stop.h"

void planned_stop_begin(planned_stop_t *stop, uint64_t grace_ms,
			uint64_t now_ms)
{
	stop->started_ms = now_ms;
	stop->limit_ms = now_ms;
	if (grace_ms > PLANNED_STOP_MARGIN_MS)
		stop->limit_ms += grace_ms - PLANNED_STOP_MARGIN_MS;
}

/* End of the time in which any request is taken. */
static uint64_t arrivals_end(const planned_stop_t *stop)
{
	uint64_t part_ms = (stop->limit_ms - stop->started_ms) *
			   PLANNED_STOP_ARRIVALS_PERCENT / 100;

	return stop->started_ms + (part_ms < PLANNED_STOP_ARRIVALS_MS
					   ? part_ms
					   : PLANNED_STOP_ARRIVALS_MS);
}

bool planned_stop_arrivals_over(const planned_stop_t *stop, uint64_t now_ms)
{
	return planned_stop_has_begun(stop) && now_ms >= arrivals_end(stop);
}

bool planned_stop_takes(const planned_stop_t *stop, uint64_t deadline_ms,
			uint64_t now_ms)
{
	return !planned_stop_arrivals_over(stop, now_ms) ||
	       deadline_ms <= stop->limit_ms;
}

uint64_t planned_stop_cap(const planned_stop_t *stop, uint64_t deadline_ms)
{
	return planned_stop_has_begun(stop) && stop->limit_ms < deadline_ms
		       ? stop->limit_ms
		       : deadline_ms;
}

bool planned_stop_limit_reached(const planned_stop_t *stop, uint64_t now_ms)
{
	return planned_stop_has_begun(stop) && now_ms >= stop->limit_ms;
}

bool planned_stop_is_over(const planned_stop_t *stop,
			  const planned_stop_work_t *work, uint64_t now_ms)
{
	if (planned_stop_limit_reached(stop, now_ms))
		return (!work->requests && !work->unsent_bytes) ||
		       now_ms >= stop->limit_ms + PLANNED_STOP_FLUSH_MS;
	return planned_stop_arrivals_over(stop, now_ms) && !work->requests &&
	       !work->connections;
}
