#include "process/endpoint_speed.h"

#include <math.h>
#include <stdlib.h>

/** Half-life of a sample's weight, ms: a tenth is left after 10 s. */
#define HALF_LIFE_MS 3000.0
/** Samples that an estimate averages over at most: two or three samples, as
 * many as a slowdown of half a second gives, still move it. */
#define WEIGHT_MAX 5.0
/** A weight below this counts as none. */
#define WEIGHT_MIN 0.1
/** Largest step by one sample, as log2 of the ratio before averaging: as far as
 * an engine that slows down by 2.5. */
#define STEP_MAX 1.3
/** Weight of the assumption that a speed is 1. */
#define PRIOR_WEIGHT 0.5
/** In a service whose endpoints differ, a speed differs clearly from 1 beyond
 * this log2 (a factor of 1.3). Between the specified speeds 0.6, 1 and 1.6 are
 * 0.7. */
#define CLEAR_LOG 0.4
/** The same for a single endpoint among equal ones, where hidden queues make
 * some seem slow for a while: a factor of 2 with many samples. */
#define SINGLE_LOG 1.0
#define SINGLE_WEIGHT 4.5
/** The endpoints of a service differ if the median of their distances from 1 is
 * this log2, by the samples of all instances with this weight, or by those of
 * one. */
#define UNEVEN_LOG 0.4
#define OWN_UNEVEN_LOG 0.55
#define UNEVEN_WEIGHT 2.0
/** Fewest endpoints with samples that have a meaningful median. */
#define MEDIAN_ENDPOINTS_MIN 3
/** Endpoints that are enough for a median deviation, of a service with more
 * than twice as many; of a smaller one more than half. */
#define DEVIATION_ENDPOINTS_MIN 16
/** Scales of speed_estimate_t and of the bytes for peers. */
#define LOG_SCALE 256.0
#define WEIGHT_SCALE 16.0
#define BYTE_SCALE 32.0
/** Largest log2 of a sample, as far as the byte reaches. */
#define LOG_MAX 3.9

enum {
	/** Time by which a sample may be newer than the time at which estimates
	 * are computed, ms: another thread adds samples meanwhile. */
	AHEAD_MAX_MS = 60000,
};

static double limit(double value, double max)
{
	return value > max ? max : value < -max ? -max : value;
}

static uint32_t age_at(const speed_estimate_t *estimate, uint64_t now_ms)
{
	uint32_t age_ms = (uint32_t)now_ms - estimate->updated_ms;

	return age_ms > UINT32_MAX - AHEAD_MAX_MS ? 0 : age_ms;
}

static double weight_at(const speed_estimate_t *estimate, uint64_t now_ms)
{
	double weight;

	if (!estimate->weight)
		return 0;
	weight = estimate->weight / WEIGHT_SCALE *
		 exp2(-(double)age_at(estimate, now_ms) / HALF_LIFE_MS);
	return weight < WEIGHT_MIN ? 0 : weight;
}

static double log_of(const speed_estimate_t *estimate)
{
	return estimate->log / LOG_SCALE;
}

static void add_log(speed_estimate_t *estimate, double sample, uint64_t now_ms)
{
	double weight = weight_at(estimate, now_ms);
	double value = weight > 0 ? log_of(estimate) : 0;
	double step = sample - value;

	if (weight > 0)
		step = limit(step, STEP_MAX);
	weight = weight + 1 > WEIGHT_MAX ? WEIGHT_MAX : weight + 1;
	value = limit(value + step / weight, LOG_MAX);
	*estimate = (speed_estimate_t){
		.log = (int16_t)lround(value * LOG_SCALE),
		.weight = (uint8_t)lround(weight * WEIGHT_SCALE),
		.last = (int8_t)lround(limit(sample, LOG_MAX) * BYTE_SCALE),
		.updated_ms = (uint32_t)now_ms,
	};
}

void speed_estimate_add(speed_estimate_t *estimate, double expected_ms,
			double observed_ms, uint64_t now_ms)
{
	if (expected_ms > 0 && observed_ms > 0)
		add_log(estimate,
			limit(log2(expected_ms / observed_ms), LOG_MAX),
			now_ms);
}

void speed_estimate_add_byte(speed_estimate_t *estimate, uint8_t byte,
			     uint64_t now_ms)
{
	if (byte != SPEED_BYTE_UNKNOWN)
		add_log(estimate, (byte - SPEED_BYTE_ONE) / BYTE_SCALE, now_ms);
}

void speed_pauses_add(speed_pauses_t *pauses, uint64_t pause_ms)
{
	pauses->ms[pauses->count++ % SPEED_PAUSES_MAX] =
		pause_ms > UINT16_MAX ? UINT16_MAX : (uint16_t)pause_ms;
}

double speed_pauses_median(const speed_pauses_t *pauses)
{
	uint16_t sorted[SPEED_PAUSES_MAX];
	uint32_t count = pauses->count < SPEED_PAUSES_MAX ? pauses->count
							  : SPEED_PAUSES_MAX;
	uint32_t middle;

	if (count < SPEED_PAUSES_MIN)
		return 0;
	for (uint32_t i = 0; i < count; i++) {
		uint32_t at = i;

		for (; at && sorted[at - 1] > pauses->ms[i]; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = pauses->ms[i];
	}
	middle = count / 2;
	return sorted[middle];
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double median(double *values, size_t count)
{
	qsort(values, count, sizeof(*values), compare_doubles);
	return count % 2 ? values[count / 2]
			 : (values[count / 2 - 1] + values[count / 2]) / 2;
}

/* Endpoints whose median deviation is meaningful. */
static size_t deviation_endpoints(size_t count)
{
	size_t known_min = count - count / 4;

	if (known_min > DEVIATION_ENDPOINTS_MIN)
		known_min = DEVIATION_ENDPOINTS_MIN;
	return known_min > MEDIAN_ENDPOINTS_MIN ? known_min
						: MEDIAN_ENDPOINTS_MIN;
}

/* Median of the own estimates; NAN if not known. Sets their median deviation
 * from it, 0 if too few are known. */
static double median_log(const speed_endpoint_t *endpoints, size_t count,
			 speed_kind_t kind, uint64_t now_ms, double *scratch,
			 double *deviation)
{
	size_t known = 0;
	double middle;

	*deviation = 0;
	for (size_t i = 0; i < count; i++) {
		if (weight_at(&endpoints[i].own[kind], now_ms) > 0)
			scratch[known++] = log_of(&endpoints[i].own[kind]);
	}
	if (known < MEDIAN_ENDPOINTS_MIN)
		return NAN;
	middle = median(scratch, known);
	for (size_t i = 0; i < known; i++)
		scratch[i] = fabs(scratch[i] - middle);
	if (known >= deviation_endpoints(count))
		*deviation = median(scratch, known);
	return middle;
}

static bool is_new(const speed_estimate_t *estimate, uint64_t new_ms,
		   uint64_t now_ms)
{
	return estimate->weight && age_at(estimate, now_ms) <= new_ms;
}

/* The samples since the last heartbeat, not the estimates: those would be
 * averaged twice. */
static uint8_t byte_of(const speed_endpoint_t *endpoint,
		       const double medians[SPEED_KIND_COUNT], uint64_t new_ms,
		       uint64_t now_ms)
{
	double sum = 0;
	int count = 0;

	for (int kind = 0; kind < SPEED_KIND_COUNT; kind++) {
		const speed_estimate_t *own = &endpoint->own[kind];

		if (isnan(medians[kind]) || !is_new(own, new_ms, now_ms))
			continue;
		sum += own->last / BYTE_SCALE - medians[kind];
		count++;
	}
	if (!count)
		return SPEED_BYTE_UNKNOWN;
	return (uint8_t)(SPEED_BYTE_ONE +
			 lround(limit(sum / count, LOG_MAX) * BYTE_SCALE));
}

/* Sums of weighted logs of one endpoint, relative to the median. */
typedef struct evidence {
	double sum;
	double weight;
} evidence_t;

static evidence_t evidence_of(const speed_endpoint_t *endpoint,
			      const double medians[SPEED_KIND_COUNT],
			      uint64_t now_ms)
{
	double weight = weight_at(&endpoint->peers, now_ms);
	evidence_t evidence = { weight * log_of(&endpoint->peers), weight };

	for (int kind = 0; kind < SPEED_KIND_COUNT; kind++) {
		const speed_estimate_t *own = &endpoint->own[kind];

		if (isnan(medians[kind]))
			continue;
		weight = weight_at(own, now_ms);
		evidence.sum += weight * (log_of(own) - medians[kind]);
		evidence.weight += weight;
	}
	return evidence;
}

/* The speed; 1 unless it is clearly different. */
static double clear_speed(const evidence_t *evidence, double weight_min,
			  double log_min)
{
	double log = evidence->sum / (evidence->weight + PRIOR_WEIGHT);

	return evidence->weight >= weight_min && fabs(log) >= log_min
		       ? exp2(log)
		       : 1;
}

/* Whether the endpoints of the service differ as a whole. */
static bool are_uneven(const speed_endpoint_t *endpoints, size_t count,
		       const double medians[SPEED_KIND_COUNT], uint64_t now_ms,
		       double *scratch)
{
	size_t known = 0;

	for (size_t i = 0; i < count; i++) {
		evidence_t evidence =
			evidence_of(&endpoints[i], medians, now_ms);

		if (evidence.weight >= UNEVEN_WEIGHT)
			scratch[known++] = fabs(evidence.sum / evidence.weight);
	}
	return known >= deviation_endpoints(count) &&
	       median(scratch, known) >= UNEVEN_LOG;
}

speed_summary_t endpoint_speed_compute(speed_endpoint_t *endpoints,
				       size_t count, uint64_t new_ms,
				       uint64_t now_ms, double *scratch)
{
	speed_summary_t summary = { 0 };
	double medians[SPEED_KIND_COUNT];
	double deviation;
	bool uneven;

	for (int kind = 0; kind < SPEED_KIND_COUNT; kind++) {
		medians[kind] = median_log(endpoints, count, (speed_kind_t)kind,
					   now_ms, scratch, &deviation);
		summary.differ |= deviation >= OWN_UNEVEN_LOG;
	}
	uneven = are_uneven(endpoints, count, medians, now_ms, scratch);
	for (size_t i = 0; i < count; i++) {
		speed_endpoint_t *endpoint = &endpoints[i];
		evidence_t all = evidence_of(endpoint, medians, now_ms);

		endpoint->speed =
			uneven ? clear_speed(&all, UNEVEN_WEIGHT, CLEAR_LOG)
			       : clear_speed(&all, SINGLE_WEIGHT, SINGLE_LOG);
		endpoint->byte = byte_of(endpoint, medians, new_ms, now_ms);
		summary.learned += endpoint->speed != 1;
	}
	summary.differ |= summary.learned > 0;
	if (!isnan(medians[SPEED_ANSWER]))
		summary.answer_ratio = exp2(medians[SPEED_ANSWER]);
	return summary;
}
