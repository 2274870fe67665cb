/**
 * @file
 * Speed of an endpoint relative to the median of its service, learned from the
 * answers that an instance relays and from what its peers learned. Pure logic:
 * no I/O, clock or locks.
 *
 * A sample is the ratio of the expected to the observed time. The estimates are
 * running means of the logarithm that follow a single sample by a bounded step,
 * because a hidden queue or a lost packet can make it many times too long. Old
 * samples lose their weight, and an estimate with little weight counts as
 * unknown. Speeds near 1 count as 1, so that equal endpoints are treated alike.
 */
#ifndef PROCESS_ENDPOINT_SPEED_H
#define PROCESS_ENDPOINT_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What is measured. */
typedef enum speed_kind {
	/** Engines: time to the first event, which is mostly prefill. Plain
	 * services: time of a request that found a free slot. */
	SPEED_ANSWER,
	/** Engines: time between events of a stream. */
	SPEED_EVENTS,
	SPEED_KIND_COUNT,
} speed_kind_t;

enum {
	/** A speed as it is sent to peers: 0 is unknown, 128 is 1, and 32 more
	 * is twice as fast. */
	SPEED_BYTE_UNKNOWN = 0,
	SPEED_BYTE_ONE = 128,
	/** Pauses of a stream whose median is a sample; the last of them. */
	SPEED_PAUSES_MAX = 8,
	/** Fewer pauses are no sample. */
	SPEED_PAUSES_MIN = 3,
};

/** Running estimate; starts zeroed. Small enough to be an atomic object that
 * one thread updates. */
typedef struct speed_estimate {
	int16_t log;	     /**< Log2 of the ratio, in 1/256. */
	uint8_t weight;	     /**< Samples at `updated_ms`, in 1/16. */
	int8_t last;	     /**< Log2 of the last sample, in 1/32. */
	uint32_t updated_ms; /**< Low bits of the time of the last sample. */
} speed_estimate_t;

/** Adds a sample; times of 0 are ignored. */
void speed_estimate_add(speed_estimate_t *estimate, double expected_ms,
			double observed_ms, uint64_t now_ms);

/** Adds a speed that a peer reported. */
void speed_estimate_add_byte(speed_estimate_t *estimate, uint8_t byte,
			     uint64_t now_ms);

/** Times between the events of one stream; starts zeroed. */
typedef struct speed_pauses {
	uint16_t ms[SPEED_PAUSES_MAX];
	uint32_t count; /**< Of all pauses. */
} speed_pauses_t;

void speed_pauses_add(speed_pauses_t *pauses, uint64_t pause_ms);

/** Median of the last pauses, ms; 0 if there were too few. */
double speed_pauses_median(const speed_pauses_t *pauses);

/** One endpoint of a service. */
typedef struct speed_endpoint {
	speed_estimate_t own[SPEED_KIND_COUNT];
	speed_estimate_t peers; /**< Relative already. */
	/* Results. */
	double speed; /**< 1: average or unknown. */
	uint8_t byte; /**< For peers: the newest own samples. */
} speed_endpoint_t;

/** Results for a service. */
typedef struct speed_summary {
	size_t learned; /**< Endpoints whose speed is not 1. */
	/** Own samples or those of peers show that endpoints differ, so that
	 * the peers are to be told. */
	bool differ;
	/** Median of the ratios of SPEED_ANSWER, expected to observed; 0 if not
	 * known. */
	double answer_ratio;
} speed_summary_t;

/**
 * Computes the results for the endpoints of one service.
 * @param new_ms age up to which own samples are new
 * @param scratch `count` elements
 */
speed_summary_t endpoint_speed_compute(speed_endpoint_t *endpoints,
				       size_t count, uint64_t new_ms,
				       uint64_t now_ms, double *scratch);

#endif
