#include "process/heartbeat_pace.h"

bool heartbeat_pace_request(heartbeat_pace_t *pace, uint64_t now_ms)
{
	pace->wanted = true;
	return now_ms >= pace->next_ms;
}

bool heartbeat_pace_is_due(const heartbeat_pace_t *pace, uint64_t now_ms)
{
	return pace->wanted && now_ms >= pace->next_ms;
}

void heartbeat_pace_sent(heartbeat_pace_t *pace, uint64_t begin_ms,
			 uint64_t end_ms)
{
	uint64_t pause_ms = HEARTBEAT_PACE_FACTOR * (end_ms - begin_ms);

	if (pause_ms < HEARTBEAT_PACE_MIN_MS)
		pause_ms = HEARTBEAT_PACE_MIN_MS;
	pace->next_ms = end_ms + pause_ms;
	pace->wanted = false;
}
