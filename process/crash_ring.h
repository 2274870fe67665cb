/**
 * @file
 * Ring buffer that passes crash news between two threads.
 */
#ifndef PROCESS_CRASH_RING_H
#define PROCESS_CRASH_RING_H

#include <stdint.h>

#include "process/crash_evidence.h"
#include "process/spsc_ring.h"

enum {
	/** Capacity, reports. */
	CRASH_RING_SIZE = 256,
};

/** News with a time that stays valid while they wait. */
typedef struct crash_report {
	crash_news_t news; /**< age_ms is not used. */
	uint64_t time_ms;  /**< Of the crash, the answer or the block, on this
				machine's monotonic clock. */
	bool from_store;   /**< Read from the store; peers may not know it. */
} crash_report_t;

DEFINE_SPSC_RING(crash_ring, crash_report_t, CRASH_RING_SIZE);

/** The time of news that are older than the monotonic clock is 0. */
static inline crash_report_t crash_report_from_news(const crash_news_t *news,
						    uint64_t now_ms)
{
	return (crash_report_t){
		.news = *news,
		.time_ms = news->age_ms < now_ms ? now_ms - news->age_ms : 0,
	};
}

/** The reported news with their age at `now_ms`. */
static inline crash_news_t crash_report_news(const crash_report_t *report,
					     uint64_t now_ms)
{
	crash_news_t news = report->news;
	uint64_t age_ms =
		report->time_ms < now_ms ? now_ms - report->time_ms : 0;

	news.age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
	return news;
}

#endif
